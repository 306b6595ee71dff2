//! Simulates grants at the target size in virtual time, and counts table writes and transfers.
//!
//! Requests arrive at a constant rate, their budgets follow a Zipf distribution, and the load
//! balancer spreads them evenly over the routers. In each failure domain, one router owns a shard
//! of budgets and is the only one there with a grant row; the other routers of the domain get
//! tokens from the owner by transfer. The run covers `RUN_SECONDS` after a warm-up, with a fixed
//! seed, so that its counts are reproducible.
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
/// Number of requests that one transfer covers if the router used the budget in the last
/// `CACHE_SECONDS`; otherwise a transfer covers one request.
const TRANSFER_REQUESTS: u32 = 16;
/// Time after which a router returns unused tokens to the owner.
const CACHE_SECONDS: u32 = 60;

/// Parameters of a run.
#[derive(Clone, Copy)]
struct ScaleCase {
    /// Exponent of the Zipf distribution.
    exponent: f64,
    /// Number of failure domains.
    domains: u32,
    /// Time between two commits of a shard.
    flush_seconds: u32,
}

#[derive(Default)]
struct ScaleCounts {
    requests: u64,
    commits: u64,
    transfers: u64,
    /// Accounts written by all commits.
    accounts: u64,
    /// Maximum number of pairs of router and budget with transferred tokens.
    peak_cached: usize,
}

/// Tokens that a router got from the owner of a budget, counted in requests.
#[derive(Clone, Copy, Default)]
struct CachedTokens {
    remaining: u32,
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
        counts.peak_cached as f64 / f64::from(ROUTERS),
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
    let mut cache: HashMap<(u32, u32), CachedTokens> = HashMap::new();
    for second in 0..WARM_UP_SECONDS + RUN_SECONDS {
        let is_measured = second >= WARM_UP_SECONDS;
        for _ in 0..REQUESTS_PER_SECOND {
            let budget = (zipf.sample(&mut rng) as u32 - 1).min(BUDGETS - 1);
            let router = rng.random_range(0..ROUTERS);
            let domain = router % case.domains;
            let shard = shards[budget as usize];
            dirty.entry((shard, domain)).or_default().insert(budget);
            let is_transferred = take(&mut cache, (router, budget), second);
            if is_measured {
                counts.requests += 1;
                counts.transfers += u64::from(is_transferred);
            }
        }
        flush(case, second, is_measured, &mut dirty, &mut counts);
        if second % CACHE_SECONDS == 0 {
            cache.retain(|_, cached| second - cached.last_used < CACHE_SECONDS);
            counts.peak_cached = counts.peak_cached.max(cache.len());
        }
    }
    counts
}

/// Takes the tokens of one request from the cache of a router; returns whether that needed a
/// transfer from the owner.
fn take(cache: &mut HashMap<(u32, u32), CachedTokens>, key: (u32, u32), second: u32) -> bool {
    let cached = cache.entry(key).or_default();
    let needs_transfer = cached.remaining == 0;
    if needs_transfer {
        let is_recent = cached.last_used > 0 && second - cached.last_used < CACHE_SECONDS;
        cached.remaining = if is_recent { TRANSFER_REQUESTS } else { 1 };
    }
    cached.remaining -= 1;
    cached.last_used = second;
    needs_transfer
}

/// Commits the dirty shards that are due; their commits are spread evenly over the flush interval.
fn flush(
    case: ScaleCase,
    second: u32,
    is_measured: bool,
    dirty: &mut HashMap<(u32, u32), HashSet<u32>>,
    counts: &mut ScaleCounts,
) {
    dirty.retain(|(shard, _), budgets| {
        if shard % case.flush_seconds != second % case.flush_seconds {
            return true;
        }
        if is_measured {
            counts.commits += 1;
            counts.accounts += budgets.len() as u64;
        }
        false
    });
}
