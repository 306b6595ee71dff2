//! Simulations in virtual time.

pub mod routing;
