//! Simulations in virtual time with fixed seeds.

pub mod policy;
pub mod routing;
pub mod spend;
