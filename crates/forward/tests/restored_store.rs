//! Prepaid budgets when the store is restored from a copy and loses what it acknowledged since.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{BudgetManager, PredecessorEnd},
    jasminewall_ports::MemoryRows,
};

#[path = "support/peers.rs"]
mod peers;

const PREPAID: Tokens = 50_000;

fn customer() -> CustomerId {
    "parish".into()
}

/// Holds and charges requests of 500 tokens until the budget refuses one. Returns the tokens.
async fn spend(manager: &Arc<BudgetManager>, limit: Tokens) -> Tokens {
    let (request, customer) = ("request".into(), customer());
    let mut spent = 0;
    while spent < limit {
        let deadline = Instant::now() + Duration::from_millis(300);
        let held = manager.hold(&request, &customer, PREPAID, 500, deadline);
        let Ok(mut hold) = held.await else { break };
        hold.set_charge(500);
        spent += 500;
    }
    spent
}

/// Guards against draws from a pool that lacks the draws of the lost time.
#[tokio::test]
async fn a_restored_store_grants_no_token_twice() {
    let rows = MemoryRows::new();
    let manager = BudgetManager::new(
        HolderId::new("vm-1", 1),
        Arc::new(rows.clone()),
        Arc::new(peers::NoPeers),
    );
    manager.set_predecessor(PredecessorEnd::Unknown);
    let mut spent = spend(&manager, 1_000).await;
    let copy = rows.copy();
    spent += spend(&manager, 46_000).await;
    rows.restore(copy);
    spent += spend(&manager, PREPAID).await;
    assert_eq!(spent, PREPAID);
}
