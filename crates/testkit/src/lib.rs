//! Scenario language, simulations and invariant checks for the development of jasminewall.

pub mod sim;
pub mod caller;
