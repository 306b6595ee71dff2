//! Measures the costs per item for docs/CAPACITY.md, and prints them with the totals at the target
//! size.
//!
//! Run it with `cargo run --release -p jasminewall-testkit --example capacity`.

use std::{
    hint::black_box,
    time::{Duration, Instant, SystemTime},
};

use jasminewall_core::{
    BudgetId, ConfigDelta, ConfigRecord, ConfigState, GrantLedger, HolderId,
    budget::{GrantAccount, GrantRow},
    record::{BudgetRecord, CustomerRecord, EndpointKind, EndpointRecord},
    revision::ConfigChange,
    segment::ChargeLine,
};

/// Number of routers at the target size.
const ROUTERS: f64 = 320.0;
/// Peak request rate at the target size.
const REQUESTS_PER_SECOND: f64 = 2_600.0;
/// Number of budgets at the target size.
const BUDGETS: f64 = 450_000.0;
/// Number of budget shards at the target size.
const SHARDS: f64 = 1_024.0;
/// Time between two commits of a dirty shard at the target size.
const FLUSH_SECONDS: f64 = 30.0;
/// Configuration changes per day at the target size.
const CHANGES_PER_DAY: f64 = 1_300.0;

fn main() {
    println!("| measure | slope | at the target size |");
    println!("|---|---|---|");
    measure_config();
    measure_ledger();
    measure_rows();
    print_writes();
}

fn print_row(measure: &str, slope: &str, target: &str) {
    println!("| {measure} | {slope} | {target} |");
}

/// Returns the resident memory of this process in bytes, or 0 if it is unknown.
fn resident_memory() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0.0);
    pages * 4_096.0
}

/// Returns the memory of one item in bytes, from the difference between two sizes.
///
/// The values are never freed, because memory that a later measurement reuses would not be counted.
fn bytes_per_item<T>(build: impl Fn(usize) -> T) -> f64 {
    let (small, large) = (20_000, 120_000);
    let start = resident_memory();
    std::mem::forget(black_box(build(small)));
    let middle = resident_memory();
    std::mem::forget(black_box(build(large)));
    let end = resident_memory();
    ((end - middle) - (middle - start)) / (large - small) as f64
}

/// Returns the mean time of a call over a number of calls.
fn mean_time(calls: u32, mut call: impl FnMut(u32)) -> Duration {
    let start = Instant::now();
    for index in 0..calls {
        call(index);
    }
    start.elapsed() / calls
}

fn endpoint(index: usize) -> ConfigRecord {
    ConfigRecord::Endpoint(EndpointRecord {
        name: format!("engine-{index:06}").into(),
        runs: EndpointKind::ModelEngine,
        address: format!("10.0.{}.{}:8000", index / 250 % 250, index % 250).into(),
        failure_domain: "domain-a".into(),
        slots: 8,
        honours_fencing: true,
        lists_streams: true,
        leaving: false,
    })
}

fn customer(index: usize) -> ConfigRecord {
    ConfigRecord::Customer(CustomerRecord {
        name: format!("customer-{index:06}").into(),
        key_sha256: vec![format!("{index:064x}").into(); 2],
        weight: 1,
    })
}

fn budget(index: usize) -> ConfigRecord {
    ConfigRecord::Budget(BudgetRecord {
        name: format!("budget-{index:06}").into(),
        customer: format!("customer-{:06}", index % 2_400).into(),
    })
}

/// Builds a configuration from deltas of one record each, so that the measured memory contains no
/// large delta.
fn config_with(count: usize, record: fn(usize) -> ConfigRecord) -> ConfigState {
    let mut state = ConfigState::default();
    for index in 0..count {
        let changes = vec![ConfigChange::Put(record(index))];
        let revision = state.revision() + 1;
        let _ = state.apply(&ConfigDelta {
            revision,
            schema: 2,
            changes,
        });
    }
    state
}

fn measure_config() {
    for (name, record, count) in [
        ("endpoint", endpoint as fn(usize) -> ConfigRecord, 600.0),
        ("customer", customer, 2_400.0),
        ("budget", budget, BUDGETS),
    ] {
        let bytes = bytes_per_item(|count| config_with(count, record));
        print_row(
            &format!("memory of one {name} record in the configuration"),
            &format!("{bytes:.0} B each"),
            &format!("{:.2} MB for {count}", bytes * count / 1e6),
        );
    }
    let delta_bytes = serde_json::to_string(&ConfigDelta {
        revision: 1,
        schema: 2,
        changes: vec![ConfigChange::Put(endpoint(1))],
    })
    .map_or(0, |text| text.len()) as f64;
    print_row(
        "size of a delta with one record",
        &format!("{delta_bytes:.0} B"),
        &format!(
            "{:.1} B/s a router at {CHANGES_PER_DAY} changes a day",
            delta_bytes * CHANGES_PER_DAY / 86_400.0
        ),
    );
    for count in [600, 3_000, 30_000] {
        let state = config_with(count, endpoint);
        let time = mean_time(20, |index| {
            let mut next = state.clone();
            let changes = vec![ConfigChange::Put(endpoint(index as usize))];
            let _ = next.apply(&ConfigDelta {
                revision: 2,
                schema: 2,
                changes,
            });
            black_box(next);
        });
        print_row(
            &format!("copy and change of a configuration of {count} records"),
            &format!("{time:.1?}"),
            "",
        );
    }
}

fn measure_ledger() {
    let ledger_with = |count: usize| {
        let mut ledger = GrantLedger::new(HolderId::new("vm-1", 1));
        for index in 0..count {
            ledger.credit(&format!("budget-{index:06}").into(), 1_000_000);
        }
        ledger
    };
    let bytes = bytes_per_item(ledger_with);
    let owned_budgets = BUDGETS / ROUTERS * 8.0;
    print_row(
        "memory of a budget in the ledger",
        &format!("{bytes:.0} B each"),
        &format!(
            "{:.2} MB for {owned_budgets:.0} (owner of its share in one of 8 failure domains)",
            bytes * owned_budgets / 1e6
        ),
    );
    let mut ledger = ledger_with(10_000);
    let budgets: Vec<BudgetId> = (0..10_000)
        .map(|index| format!("budget-{index:06}").into())
        .collect();
    let time = mean_time(200_000, |index| {
        let request = format!("request-{index}").into();
        let budget = &budgets[index as usize % budgets.len()];
        let _ = ledger.hold(budget, &request, 500);
        let _ = black_box(ledger.settle(&request, 100));
    });
    let share = time.as_secs_f64() * REQUESTS_PER_SECOND / ROUTERS * 100.0;
    print_row(
        "hold and settlement of a request",
        &format!("{time:.1?}"),
        &format!("{share:.4}% of a core a router"),
    );
}

fn measure_rows() {
    let row_with = |count: usize| {
        let mut row = GrantRow::new(HolderId::new("vm-1", 1));
        row.accounts = (0..count)
            .map(|index| (format!("budget-{index:06}").into(), GrantAccount::default()))
            .collect();
        row
    };
    let size = |count| serde_json::to_string(&row_with(count)).map_or(0, |text| text.len()) as f64;
    let slope = (size(800) - size(400)) / 400.0;
    let commits = SHARDS * 8.0 / FLUSH_SECONDS / ROUTERS;
    let accounts = BUDGETS / SHARDS;
    print_row(
        "size of an account in a grant row",
        &format!("{slope:.0} B each"),
        &format!(
            "{:.1} KB/s a router for whole rows of {accounts:.0} accounts",
            slope * accounts * commits / 1e3
        ),
    );
    let rate = REQUESTS_PER_SECOND / ROUTERS;
    print_row(
        "accounts that change between two commits of a shard",
        &format!(
            "{:.0} at most",
            REQUESTS_PER_SECOND / SHARDS / 8.0 * FLUSH_SECONDS
        ),
        &format!(
            "{:.2} KB/s a router when only these are written",
            slope * rate / 1e3
        ),
    );
    let line = ChargeLine {
        request: "vm-001-0123456789abcdef".into(),
        customer: "customer-000001".into(),
        budget: "budget-000001".into(),
        route: "glass-7b".into(),
        endpoint: Some("engine-000001".into()),
        tokens: 431,
        outcome: "ran".into(),
        ended_at: SystemTime::UNIX_EPOCH,
    };
    let bytes = serde_json::to_string(&line).map_or(0, |text| text.len()) as f64;
    print_row(
        "size of a charge line",
        &format!("{bytes:.0} B"),
        &format!("{:.2} KB/s a router", bytes * rate / 1e3),
    );
}

fn print_writes() {
    for domains in [4.0, 8.0] {
        let commits = SHARDS * domains / FLUSH_SECONDS;
        print_row(
            &format!("commits of all shards with {domains} failure domains"),
            &format!("one row each {FLUSH_SECONDS} s"),
            &format!("{commits:.0} table writes/s"),
        );
    }
}
