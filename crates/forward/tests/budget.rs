//! Prepaid totals: draws, outages, crashes and restarts of routers against an in-memory store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{BudgetManager, BudgetShortage, PredecessorEnd},
    jasminewall_ports::{MemoryRows, RowFault, RowKey},
};

#[path = "support/peers.rs"]
mod peers;

fn book(rows: &MemoryRows, vm: &str, boot: u64, end: PredecessorEnd) -> Arc<BudgetManager> {
    let book = BudgetManager::new(
        HolderId::new(vm, boot),
        Arc::new(rows.clone()),
        Arc::new(peers::NoPeers),
    );
    book.set_predecessor(end);
    book
}

/// A run that ended while its heartbeat was not late.
fn attached(boot: u64) -> PredecessorEnd {
    let late = Duration::ZERO;
    PredecessorEnd::Attached { boot, late }
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
    book.set_owner_count(9);
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

    let second = book(&rows, "vm-1", 2, attached(1));
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
        one.set_owner_count(3);
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
        // A failure pauses the use of the store for half a second. Pauses shorter than that leave it to
        // chance whether the next call meets a fault again, and then hardly anything can be used.
        if round % 50 == 49 {
            rows.set_fault(RowFault::None);
            tokio::time::sleep(Duration::from_millis(520)).await;
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
        one.set_owner_count(4);
        let held = one
            .hold(&"request".into(), &customer(), 80_000, 100, soon())
            .await;
        held.expect("the total covers the request").set_charge(100);
    }
    let given = giver.give(&customer(), 800).await;
    assert!(given > 0);
    receiver.receive(&customer(), given);
    let before = receiver.spendable(&customer());
    let all = receiver
        .hold(&"all".into(), &customer(), 80_000, before, soon())
        .await;
    drop(all);
    let left = grant(&rows, "vm-2");
    assert_eq!(left["received"].as_u64(), Some(given));

    let successor = book(&rows, "vm-2", 3, attached(2));
    successor.set_owner_count(4);
    let held = successor
        .hold(&"next".into(), &customer(), 80_000, 10, soon())
        .await;
    assert!(held.is_ok());
    let unspent = left["granted"].as_u64().unwrap() + given - left["charged"].as_u64().unwrap();
    let open = left["open"].as_u64().unwrap();
    assert!(successor.spendable(&customer()) + 10 >= unspent - open);
}

/// Guards against tokens of peers that cannot be used before the next write: with the store away, a
/// request that peers have paid for was refused until the router was detached.
#[tokio::test]
async fn tokens_of_peers_are_usable_without_the_store() {
    let rows = MemoryRows::new();
    let book = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    book.set_owner_count(9);
    let held = book
        .hold(&"first".into(), &customer(), 90_000, 100, soon())
        .await;
    held.expect("the total covers the request").set_charge(100);
    // As after a heartbeat that landed a moment ago.
    book.session().heartbeat_sent(Instant::now());
    rows.set_fault(RowFault::Unavailable);
    book.receive(&customer(), 20_000);
    let held = book
        .hold(&"second".into(), &customer(), 90_000, 20_000, soon())
        .await;
    assert!(held.is_ok());
}

/// Guards against refusals in the seconds between a late heartbeat and detaching, and against a
/// successor that takes over what became open meanwhile.
#[tokio::test]
async fn a_late_heartbeat_opens_tokens_that_a_successor_leaves() {
    let rows = MemoryRows::new();
    let first = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    for number in 0..20 {
        let request = format!("request-{number}").as_str().into();
        let held = first
            .hold(&request, &customer(), 900_000, 4_000, soon())
            .await;
        held.expect("the total covers the request")
            .set_charge(4_000);
    }
    rows.set_fault(RowFault::Unavailable);
    let late = Duration::from_millis(1_000);
    let sent = Instant::now() - first.session().late_after() - late;
    first.session().heartbeat_sent(sent);
    let mut used = 0;
    while let Ok(mut hold) = first
        .hold(&"late".into(), &customer(), 900_000, 2_000, soon())
        .await
    {
        hold.set_charge(2_000);
        used += 2_000;
    }
    let left = grant(&rows, "vm-1");
    let field = |name: &str| left[name].as_u64().unwrap();
    assert!(used > field("open"), "{used} tokens used, {left}");

    rows.set_fault(RowFault::None);
    let late = first.session().lateness(Instant::now());
    let boot = 1;
    let second = book(&rows, "vm-1", 2, PredecessorEnd::Attached { boot, late });
    let held = second
        .hold(&"next".into(), &customer(), 900_000, 10, soon())
        .await;
    drop(held.expect("the rest covers the request"));
    let inherited = grant(&rows, "vm-1")["granted"].as_u64().unwrap();
    let consumed = field("charged") + used;
    assert!(
        inherited + consumed <= field("granted"),
        "{inherited} taken over, {left}"
    );
    assert!(inherited > 0);
}

/// Guards against draws of the store for each request of a router that keeps no grant: it asks those
/// that do.
#[tokio::test]
async fn a_router_without_a_grant_asks_those_that_keep_one() {
    let rows = MemoryRows::new();
    let keeper = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    let held = keeper
        .hold(&"first".into(), &customer(), 90_000, 100, soon())
        .await;
    held.expect("the total covers the request").set_charge(100);
    let other = BudgetManager::new(
        HolderId::new("vm-2", 2),
        Arc::new(rows.clone()),
        Arc::new(peers::KeeperPeer(keeper)),
    );
    other.set_predecessor(PredecessorEnd::Unknown);
    for _ in 0..5 {
        let held = other
            .hold(&"request".into(), &customer(), 90_000, 5_000, soon())
            .await;
        held.expect("the keeper gives tokens").set_charge(5_000);
    }
    let row = rows.get(&RowKey::new("spend", customer(), "grant/vm-2"));
    assert!(row.is_none(), "the router drew tokens of its own");
    let refused = other
        .hold(&"all".into(), &customer(), 90_000, 70_000, soon())
        .await;
    assert_eq!(refused.err(), Some(BudgetShortage::Spent));
}

/// Guards against writes for requests that a drained total cannot cover; each one took three
/// transactions (vitrales-andinos-grown trouble-2).
#[tokio::test]
async fn a_drained_total_is_not_written_again() {
    let rows = MemoryRows::new();
    let book = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
    let held = book
        .hold(&"first".into(), &customer(), 10_000, 9_500, soon())
        .await;
    held.expect("the total covers the request")
        .set_charge(9_500);
    let refused = book
        .hold(&"second".into(), &customer(), 10_000, 2_000, soon())
        .await;
    assert_eq!(refused.err(), Some(BudgetShortage::Spent));
    // What is left goes to peers first.
    while drawn(&rows) < 10_000 || book.spendable(&customer()) > 0 {
        book.give(&customer(), 100).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let before = rows.transactions();
    for _ in 0..5 {
        // The demand of the customer falls meanwhile, and with it what a write would open.
        tokio::time::sleep(Duration::from_millis(60)).await;
        let given = book.give(&customer(), 2_000).await;
        assert_eq!(given, 0);
    }
    assert_eq!(rows.transactions(), before);
}

/// Guards against grants that are stranded by a stop while the store is away: a peer gets all of them
/// once the router is detached (llvc-auth trouble-2).
#[tokio::test]
async fn a_stop_without_the_store_hands_whole_grants_to_a_peer() {
    for fault in [RowFault::Unavailable, RowFault::LostAnswers] {
        let rows = MemoryRows::new();
        let keeper = book(&rows, "vm-1", 1, PredecessorEnd::Unknown);
        let stopping = BudgetManager::new(
            HolderId::new("vm-2", 2),
            Arc::new(rows.clone()),
            Arc::new(peers::KeeperPeer(keeper.clone())),
        );
        stopping.set_predecessor(PredecessorEnd::Unknown);
        let held = stopping
            .hold(&"request".into(), &customer(), 90_000, 60_000, soon())
            .await;
        held.expect("the total covers the request").set_charge(100);
        let spare = stopping.spendable(&customer());
        rows.set_fault(fault);
        // The last heartbeat was written a moment before the store went away.
        let detaches_in = Duration::from_millis(300);
        let sent = Instant::now() + detaches_in - stopping.session().detach_after();
        stopping.session().heartbeat_sent(sent);
        let before = keeper.spendable(&customer());
        stopping.return_all(soon() + detaches_in).await;
        let given = keeper.spendable(&customer()) - before;
        assert_eq!(given, spare, "{fault:?}");
    }
}

/// Guards against tokens that pile up at one router: requests that asked peers at the same time each
/// asked ahead as well, and a crash lost all of it (llvc-auth scale-1).
#[tokio::test]
async fn requests_that_ask_at_the_same_time_ask_ahead_once() {
    for (is_owner, most) in [(true, 0), (false, 1)] {
        let rows = MemoryRows::new();
        let asked = Arc::new(peers::AskedPeers {
            is_owner,
            asked: std::sync::Mutex::default(),
        });
        let book = BudgetManager::new(
            HolderId::new("vm-1", 1),
            Arc::new(rows.clone()),
            asked.clone(),
        );
        book.set_predecessor(PredecessorEnd::Unknown);
        let held = book
            .hold(&"first".into(), &customer(), 90_000, 20_000, soon())
            .await;
        held.expect("the total covers the request")
            .set_charge(20_000);
        rows.set_fault(RowFault::Unavailable);
        let request = "request".into();
        let name = customer();
        let hold = || book.hold(&request, &name, 90_000, 89_000, soon());
        let results = tokio::join!(hold(), hold(), hold());
        assert!(results.0.is_err() && results.1.is_err() && results.2.is_err());
        let asked = asked.asked.lock().unwrap();
        let ahead = asked.iter().filter(|(least, wanted)| wanted > least);
        let ahead = ahead.filter(|(least, _)| *least > 60_000).count();
        assert!(asked.len() >= 3 && ahead <= most, "{is_owner}: {asked:?}");
    }
}
