//! Deterministic simulations in virtual time, each with a fixed seed.

pub mod policy;
pub mod routing;
pub mod spend;
