//! Prepaid totals: draws, outages, crashes and restarts of routers against an in-memory store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{BudgetShortage, PredecessorEnd, SpendBook},
    jasminewall_ports::{MemoryRows, RowFault, RowKey},
};

#[path = "support/peers.rs"]
mod peers;

fn book(rows: &MemoryRows, vm: &str, boot: u64, end: PredecessorEnd) -> Arc<SpendBook> {
    let book = SpendBook::new(
        HolderId::new(vm, boot),
        Arc::new(rows.clone()),
        Arc::new(peers::NoPeers),
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

fn grant(rows: &MemoryRows, vm: &str) -> serde_json::Value {
    let row = rows.get(&RowKey::new("spend", customer(), format!("grant/{vm}")));
    serde_json::from_slice(&row.expect("the account is there")).expect("the account is JSON")
}

/// Guards against tokens that a crash strands although the run ended in contact with the store, and
/// against taking over what it may have consumed.
#[tokio::test]
async fn a_successor_takes_over_all_but_the_open_tokens() {
    let rows = MemoryRows::new();
    let first = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    let held = first
        .hold(&"request".into(), &customer(), 90_000, 900, soon())
        .await;
    std::mem::forget(held);
    let left = grant(&rows, "vm-1");
    let (granted, open) = (
        left["granted"].as_u64().unwrap(),
        left["open"].as_u64().unwrap(),
    );
    assert!(open >= 900 && open < granted);

    let second = book(&rows, "vm-1", 2, PredecessorEnd::Attached(1));
    let held = second
        .hold(&"next".into(), &customer(), 90_000, 100, soon())
        .await;
    assert!(held.is_ok());
    // The first grant of a lone router is three quarters of the total.
    assert_eq!(granted, 67_500);
    assert!(second.spendable(&customer()) + 100 >= granted - open);
    assert!(drawn(&rows) <= 90_000);

    let third = book(&rows, "vm-1", 3, PredecessorEnd::Unknown);
    let most = 90_000 - drawn(&rows);
    let held = third
        .hold(&"last".into(), &customer(), 90_000, most + 1, soon())
        .await;
    assert!(
        held.is_err(),
        "nothing is taken over from a run that may have consumed whole grants"
    );
}

/// Guards against spending beyond a total when answers of the store are lost and changes land all
/// the same.
#[tokio::test]
async fn lost_answers_never_overdraw_a_total() {
    let rows = MemoryRows::new();
    let books: Vec<_> = (0..3)
        .map(|number| {
            book(
                &rows,
                &format!("vm-{number}"),
                10 + number,
                PredecessorEnd::Unknown,
            )
        })
        .collect();
    for one in &books {
        one.set_holders(3);
    }
    let mut used = 0;
    for round in 0..300_u64 {
        let fault = match round % 5 {
            1 => RowFault::LostAnswers,
            3 => RowFault::Unavailable,
            _ => RowFault::None,
        };
        rows.set_fault(fault);
        let amount = 40 + (round * 37) % 400;
        let one = &books[(round % 3) as usize];
        let held = one
            .hold(&"request".into(), &customer(), 30_000, amount, soon())
            .await;
        if let Ok(mut hold) = held {
            hold.set_charge(amount);
            used += amount;
        }
        assert!(used <= 30_000, "round {round}: {used} tokens used");
        // Failures pause the use of the store; let the pause pass now and then.
        if round % 10 == 9 {
            rows.set_fault(RowFault::None);
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }
    assert!(used > 5_000, "only {used} tokens could be used");
}

/// Guards against raises that are forgotten, or taken twice when a configuration comes again.
#[tokio::test]
async fn a_raised_total_counts_once() {
    let rows = MemoryRows::new();
    let book = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    for prepaid in [1_000, 1_500, 1_500, 1_000] {
        let held = book
            .hold(&"request".into(), &customer(), prepaid, 500, soon())
            .await;
        if let Ok(mut hold) = held {
            hold.set_charge(500);
        }
    }
    let refused = book
        .hold(&"request".into(), &customer(), 1_500, 1, soon())
        .await;
    assert_eq!(refused.err(), Some(BudgetShortage::Spent));
    assert_eq!(drawn(&rows), 1_500);
}

/// Guards against an unreadable pool row that looks like an untouched total.
#[tokio::test]
async fn an_unreadable_pool_row_gives_no_tokens() {
    let rows = MemoryRows::new();
    let key = RowKey::new("spend", customer(), "pool");
    rows.put(key, Some(Bytes::from_static(b"not json")));
    let book = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    let held = book
        .hold(&"request".into(), &customer(), 1_000, 10, soon())
        .await;
    assert!(held.is_err());
}

/// Guards against tokens of peers that are lost with their receiver: after a crash, the successor
/// takes over what the run received as well.
#[tokio::test]
async fn a_successor_takes_over_tokens_of_peers() {
    let rows = MemoryRows::new();
    let giver = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    let receiver = book(&rows, "vm-2", 2, PredecessorEnd::Unknown);
    for one in [&giver, &receiver] {
        one.set_holders(4);
        let held = one
            .hold(&"request".into(), &customer(), 80_000, 100, soon())
            .await;
        held.expect("the total covers the request").set_charge(100);
    }
    let given = giver.give(&customer(), 800);
    assert!(given > 0);
    receiver.receive(&customer(), given);
    let before = receiver.spendable(&customer());
    let all = receiver
        .hold(&"all".into(), &customer(), 80_000, before, soon())
        .await;
    drop(all);
    let left = grant(&rows, "vm-2");
    assert_eq!(left["received"].as_u64(), Some(given));

    let successor = book(&rows, "vm-2", 3, PredecessorEnd::Attached(2));
    successor.set_holders(4);
    let held = successor
        .hold(&"next".into(), &customer(), 80_000, 10, soon())
        .await;
    assert!(held.is_ok());
    let unspent = left["granted"].as_u64().unwrap() + given - left["charged"].as_u64().unwrap();
    let open = left["open"].as_u64().unwrap();
    assert!(successor.spendable(&customer()) + 10 >= unspent - open);
}
