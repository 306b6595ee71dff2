//! Scenario language, simulations and invariant checks for the development of jasminewall.

pub mod caller;
