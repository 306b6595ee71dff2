//! Simulations in virtual time with fixed seeds.

pub mod spend;
