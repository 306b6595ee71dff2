//! Simulations in virtual time with fixed seeds.

pub mod routing;
pub mod spend;
