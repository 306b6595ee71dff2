//! Prints false refusals and table writes of each grant policy, in virtual time.
//!
//! `cargo run --release -p jasminewall-testkit --example spend_policy`

use jasminewall_testkit::sim::policy;

/// Seeds of the runs whose results are added.
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn main() {
    print!("{}", policy::report(&SEEDS));
}
