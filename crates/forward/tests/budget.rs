//! Prepaid totals: draws, outages, crashes and restarts of routers against an in-memory store.

use std::{
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{BudgetShortage, PredecessorEnd, SpendBook, TokenPeers},
    jasminewall_ports::{MemoryRows, RowKey},
};

/// No peer ever gives tokens.
struct NoPeers;

impl TokenPeers for NoPeers {
    fn ask<'a>(
        &'a self,
        _: &'a CustomerId,
        _: Tokens,
    ) -> Pin<Box<dyn Future<Output = Tokens> + Send + 'a>> {
        Box::pin(async { 0 })
    }

    fn deposit<'a>(
        &'a self,
        _: &'a CustomerId,
        _: Tokens,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        Box::pin(async { false })
    }
}

fn book(rows: &MemoryRows, vm: &str, boot: u64, end: PredecessorEnd) -> Arc<SpendBook> {
    let book = SpendBook::new(
        HolderId::new(vm, boot),
        Arc::new(rows.clone()),
        Arc::new(NoPeers),
    );
    book.set_predecessor(end);
    book
}

fn soon() -> Instant {
    Instant::now() + Duration::from_millis(300)
}

fn customer() -> CustomerId {
    "parish".into()
}

/// Guards against refusals while the total has tokens: every request that fits is held.
#[tokio::test]
async fn requests_are_held_as_long_as_the_total_covers_them() {
    let rows = MemoryRows::new();
    let book = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    book.set_holders(9);
    let mut used = 0;
    for round in 0..40 {
        let amount = 100 + round * 40;
        let held = book
            .hold(&"request".into(), &customer(), 50_000, amount, soon())
            .await;
        let mut hold = held.unwrap_or_else(|shortage| {
            panic!("round {round}: {amount} after {used} of 50000: {shortage:?}")
        });
        hold.set_charge(amount);
        used += amount;
    }
    let left = 50_000 - used;
    let refused = book
        .hold(&"request".into(), &customer(), 50_000, left + 1, soon())
        .await;
    assert_eq!(refused.err(), Some(BudgetShortage::Spent));
    assert!(
        book.hold(&"request".into(), &customer(), 50_000, left, soon())
            .await
            .is_ok()
    );
}

fn drawn(rows: &MemoryRows) -> Tokens {
    let row = rows.get(&RowKey::new("spend", customer(), "pool"));
    let row: Bytes = row.expect("the pool row is there");
    let pool: serde_json::Value = serde_json::from_slice(&row).expect("the pool row is JSON");
    pool["drawn"]
        .as_u64()
        .expect("the drawn tokens are a number")
}

/// Guards against grants that a stopping router draws again after it returned them, which were
/// stranded when it ended (llvc-auth scale-1).
#[tokio::test]
async fn a_stopping_router_draws_nothing_after_it_returned_its_tokens() {
    let rows = MemoryRows::new();
    let book = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    let held = book
        .hold(&"request".into(), &customer(), 50_000, 700, soon())
        .await;
    held.expect("the total covers the request").set_charge(700);
    book.return_all(soon()).await;
    assert_eq!(drawn(&rows), 700);
    let late = book
        .hold(&"late".into(), &customer(), 50_000, 10, soon())
        .await;
    assert!(late.is_err(), "a stopped book holds nothing");
    assert_eq!(drawn(&rows), 700);
}
