//! Command line of operators and customers of a jasminewall fleet.
//!
//! ```
//! let records = jasminewall_ctl::check("schema = 2\n[[budget]]\nname = \"b\"\ncustomer = \"c\"\n");
//! assert_eq!(records.expect("the declarations are valid").len(), 1);
//! ```

use jasminewall_core::{ConfigRecord, Result, record};

/// Reads and checks declarations.
///
/// # Errors
///
/// Names the line or field and the remedy.
pub fn check(text: &str) -> Result<Vec<ConfigRecord>> {
    record::from_str(text)
}
