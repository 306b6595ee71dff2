//! Test tools of jasminewall: a scenario language, simulations and invariant checks.
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
