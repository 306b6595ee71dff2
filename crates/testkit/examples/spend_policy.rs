//! Simulates each grant sizing policy in virtual time and prints its false refusals and table
//! writes.
//!
//! ```text
//! cargo run --release -p jasminewall-testkit --example spend_policy
//! ```

use jasminewall_testkit::sim::policy;

/// Seeds of the runs whose results are summed.
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn main() {
    print!("{}", policy::report(&SEEDS));
}
