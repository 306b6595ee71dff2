//! Tokens of earlier runs after all routers of a large fleet lost power.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{BudgetManager, PredecessorEnd, account::AccountRow},
    jasminewall_ports::{MemoryRows, RowFault, RowKey},
};

#[path = "support/peers.rs"]
mod peers;

const PREPAID: Tokens = 90_000;

fn customer() -> CustomerId {
    "parish".into()
}

fn run(rows: &MemoryRows, boot: u64, end: PredecessorEnd) -> Arc<BudgetManager> {
    let manager = BudgetManager::new(
        HolderId::new("vm-1", boot),
        Arc::new(rows.clone()),
        Arc::new(peers::NoPeers),
    );
    manager.set_predecessor(end);
    manager.set_large(true);
    manager
}

fn account(rows: &MemoryRows) -> AccountRow {
    let row = rows.get(&RowKey::new("spend", customer(), "grant/vm-1"));
    serde_json::from_slice(&row.expect("the account exists")).expect("the account is JSON")
}

/// Guards against tokens that stay out of use for seconds after a loss of all routers: when the store
/// failed the first attempt, as it may when all routers start together, the next one came 2 s later,
/// and another 2 s passed before the grant was refilled.
#[tokio::test]
async fn grants_are_taken_over_and_refilled_soon_after_a_failed_attempt() {
    let rows = MemoryRows::new();
    let first = run(&rows, 1, PredecessorEnd::Unknown);
    let deadline = Instant::now() + Duration::from_millis(300);
    let (request, name) = ("request".into(), customer());
    let held = first.hold(&request, &name, PREPAID, 60_000, deadline);
    held.await.expect("the budget covers it").set_charge(50_000);
    drop(first);
    let before = account(&rows);

    rows.set_fault(RowFault::Unavailable);
    let late = Duration::ZERO;
    let next = run(&rows, 2, PredecessorEnd::Attached { boot: 1, late });
    let budgets = vec![(customer(), PREPAID)];
    let task = tokio::spawn(next.clone().rebalance(move || budgets.clone()));
    tokio::time::sleep(Duration::from_millis(100)).await;
    rows.set_fault(RowFault::None);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    task.abort();
    let after = account(&rows);
    assert_eq!(after.boot, 2, "the account is taken over");
    let drawn = after.totals.drawn - before.totals.drawn;
    assert!(drawn > 0, "the grant is refilled");
    assert_eq!(after.granted, before.reclaimable(late) + drawn);
    assert_eq!(next.spendable(&customer()), after.granted);
    assert!(after.totals.drawn <= PREPAID);
}
