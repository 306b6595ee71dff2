//! Scenario language, simulations and invariant checks for the development of jasminewall.
//!
//! ```
//! use jasminewall_testkit::invariant::FleetEvidence;
//!
//! assert!(FleetEvidence::default().violations().is_empty());
//! ```

pub mod caller;
pub mod invariant;
pub mod loopback;
pub mod scenario;
pub mod sim;
