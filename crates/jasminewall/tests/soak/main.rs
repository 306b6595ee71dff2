//! Randomized soak of whole routers as processes of their own.
//!
//! Routers run before stand-ins of the store and of endpoints; faults come from outside: proxies on
//! their links, signals, faults of the store. The promises are checked from what callers and
//! endpoints saw. `SOAK_SEEDS=100..150 SOAK_SECONDS=20 cargo test -p jasminewall --test soak` runs
//! other seeds than the regression cases.

use std::{collections::HashMap, ops::Range, time::Duration};

use fleet::SoakFleet;

mod caller;
mod fleet;
mod proxy;
#[path = "../../../../platform/tests/path/standin.rs"]
#[allow(dead_code, reason = "the soak needs a part of the stand-ins")]
mod standin;

/// Seeds that run in CI. None has failed for a fault of a router so far; each one that does is added
/// with its cause.
const REGRESSIONS: [u64; 2] = [1, 2];
/// Time with faults of one seed in CI, in seconds.
const SECONDS: u64 = 8;

fn number(name: &str, usual: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(usual, |text| text.parse().expect("a number"))
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return REGRESSIONS.to_vec();
    };
    let (first, last) = text.split_once("..").expect("write SOAK_SEEDS=FIRST..END");
    let range: Range<u64> = first.parse().expect("a number")..last.parse().expect("a number");
    range.collect()
}

/// Guards against broken promises while links, the store and processes fail: totals are never
/// overspent, orders run once at most, refusals are true, answers are whole and the caller's own, and
/// the fleet serves again afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_while_everything_fails() {
    let seconds = number("SOAK_SECONDS", SECONDS);
    let routers = usize::try_from(number("SOAK_ROUTERS", 3)).expect("a small number");
    let mut broken = HashMap::new();
    for seed in seeds() {
        let mut fleet = SoakFleet::start(seed, routers).await;
        fleet.run(Duration::from_secs(seconds)).await;
        let found = fleet.check();
        println!("seed {seed}: {}", fleet.summary());
        if !found.is_empty() {
            println!("seed {seed} broke: {found:#?}, logs in {}", fleet.folder());
            broken.insert(seed, found);
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
