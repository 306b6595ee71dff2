//! Counts table writes and peer transfers of grants at the target size, in virtual time.
//!
//! Requests arrive as a Poisson process, budgets follow a Zipf distribution, and the load balancer
//! spreads requests evenly over the routers. In each failure domain one router owns a shard of budgets
//! and is the only one there with a grant row; the others get tokens from it by transfer. The run covers
//! `RUN_SECONDS` after a warm-up, with a fixed seed, so that its counts are the same each time.
//!
//! Run it with `cargo run --release -p jasminewall-testkit --example scale`.

use std::collections::{HashMap, HashSet};

use {
    jasminewall_core::shard_of,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rand_distr::{Distribution, Zipf},
};

const SEED: u64 = 17;
const ROUTERS: u32 = 320;
const BUDGETS: u32 = 450_000;
const SHARDS: u32 = 1_024;
const REQUESTS_PER_SECOND: u32 = 2_600;
const WARM_UP_SECONDS: u32 = 300;
const RUN_SECONDS: u32 = 600;
/// Requests that one transfer covers when a router used the budget in the last `CACHE_SECONDS`.
const LOT: u32 = 16;
/// Time after which a router gives unused tokens back to the owner, in seconds.
const CACHE_SECONDS: u32 = 60;

#[derive(Clone, Copy)]
struct ScaleCase {
    exponent: f64,
    domains: u32,
    flush_seconds: u32,
}

#[derive(Default)]
struct ScaleCounts {
    requests: u64,
    commits: u64,
    transfers: u64,
    accounts: u64,
    peak_tokens: usize,
}

/// Tokens that a router has from the owner, counted in requests.
#[derive(Clone, Copy, Default)]
struct RouterStock {
    left: u32,
    last_used: u32,
}

fn main() {
    println!(
        "| Zipf | failure domains | flush | table writes/s | accounts a commit | transfers a request | budgets with tokens a router |"
    );
    println!("|---|---|---|---|---|---|---|");
    for exponent in [0.8, 1.0, 1.2] {
        for domains in [4, 8] {
            for flush_seconds in [30, 60] {
                print_case(ScaleCase {
                    exponent,
                    domains,
                    flush_seconds,
                });
            }
        }
    }
}

fn print_case(case: ScaleCase) {
    let counts = run(case);
    println!(
        "| {:.1} | {} | {} s | {:.0} | {:.1} | {:.2} | {:.0} |",
        case.exponent,
        case.domains,
        case.flush_seconds,
        counts.commits as f64 / f64::from(RUN_SECONDS),
        counts.accounts as f64 / counts.commits.max(1) as f64,
        counts.transfers as f64 / counts.requests.max(1) as f64,
        counts.peak_tokens as f64 / f64::from(ROUTERS),
    );
}

fn run(case: ScaleCase) -> ScaleCounts {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let zipf = Zipf::new(f64::from(BUDGETS), case.exponent).expect("the distribution is valid");
    let shards: Vec<u32> = (0..BUDGETS)
        .map(|index| shard_of(&format!("budget-{index}"), SHARDS))
        .collect();
    let mut counts = ScaleCounts::default();
    let mut dirty: HashMap<(u32, u32), HashSet<u32>> = HashMap::new();
    let mut stock: HashMap<(u32, u32), RouterStock> = HashMap::new();
    for second in 0..WARM_UP_SECONDS + RUN_SECONDS {
        let counted = second >= WARM_UP_SECONDS;
        for _ in 0..REQUESTS_PER_SECOND {
            let budget = (zipf.sample(&mut rng) as u32 - 1).min(BUDGETS - 1);
            let router = rng.random_range(0..ROUTERS);
            let domain = router % case.domains;
            let shard = shards[budget as usize];
            dirty.entry((shard, domain)).or_default().insert(budget);
            let transferred = take(&mut stock, (router, budget), second);
            if counted {
                counts.requests += 1;
                counts.transfers += u64::from(transferred);
            }
        }
        flush(case, second, counted, &mut dirty, &mut counts);
        if second % CACHE_SECONDS == 0 {
            stock.retain(|_, stock| second - stock.last_used < CACHE_SECONDS);
            counts.peak_tokens = counts.peak_tokens.max(stock.len());
        }
    }
    counts
}

/// Takes the tokens of one request from a router's stock; says whether the owner had to be asked.
fn take(stock: &mut HashMap<(u32, u32), RouterStock>, key: (u32, u32), second: u32) -> bool {
    let entry = stock.entry(key).or_default();
    let asked = entry.left == 0;
    if asked {
        let is_warm = entry.last_used > 0 && second - entry.last_used < CACHE_SECONDS;
        entry.left = if is_warm { LOT } else { 1 };
    }
    entry.left -= 1;
    entry.last_used = second;
    asked
}

/// Commits the dirty shards whose turn it is; turns are spread evenly over the flush interval.
fn flush(
    case: ScaleCase,
    second: u32,
    counted: bool,
    dirty: &mut HashMap<(u32, u32), HashSet<u32>>,
    counts: &mut ScaleCounts,
) {
    dirty.retain(|(shard, _), budgets| {
        if shard % case.flush_seconds != second % case.flush_seconds {
            return true;
        }
        if counted {
            counts.commits += 1;
            counts.accounts += budgets.len() as u64;
        }
        false
    });
}
