//! Tokens that owners of grants supply to other routers of a large fleet.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{
        BudgetManager, BudgetShortage, PredecessorEnd, TokenPeers,
        supply::{
            LentTokens, OwnerState, SupplyAnswer, SupplyMemory, SupplyOutcome, SupplyOutlook,
            longest_wait, spread_delay,
        },
    },
    jasminewall_ports::{MemoryRows, RowFault},
};

#[path = "support/peers.rs"]
mod peers;

fn customer() -> CustomerId {
    "parish".into()
}

fn router(rows: &MemoryRows, vm: &str, peers: Arc<dyn TokenPeers>) -> Arc<BudgetManager> {
    let manager = BudgetManager::new(HolderId::new(vm, 1), Arc::new(rows.clone()), peers);
    manager.set_predecessor(PredecessorEnd::Unknown);
    manager.set_large(true);
    manager
}

async fn hold(
    router: &Arc<BudgetManager>,
    amount: Tokens,
) -> Result<jasminewall_forward::BudgetHold, BudgetShortage> {
    let deadline = Instant::now() + Duration::from_millis(150);
    let request = "request".into();
    router
        .hold(&request, &customer(), 90_000, amount, deadline)
        .await
}

const MS: Duration = Duration::from_millis(1);

fn answer(given: Tokens, outlook: SupplyOutlook, more_in_ms: u32) -> SupplyAnswer {
    SupplyAnswer {
        given,
        lent: 0,
        outlook,
        more_in_ms: Some(more_in_ms),
    }
}

/// Guards against requests of a customer without tokens that all ask owners and wait: 39,955 answers
/// on a day, a third of them without tokens.
#[test]
fn answers_without_tokens_are_remembered_for_requests_of_that_size() {
    let now = Instant::now();
    let mut memory = SupplyMemory::default();
    let mut outcome = SupplyOutcome::default();
    memory.record(500, outcome, now);
    assert!(memory.shortage(500, now).is_none(), "nobody answered");
    outcome.add(answer(100, SupplyOutlook::StoreAway, 3_000));
    outcome.add(answer(0, SupplyOutlook::PoolShort, 800));
    memory.record(500, outcome, now);
    assert!(
        memory.shortage(399, now).is_none(),
        "a smaller request asks"
    );
    let known = memory.shortage(400, now + 249 * MS).expect("remembered");
    assert_eq!(known.outlook, SupplyOutlook::StoreAway);
    assert!(memory.shortage(400, now + 250 * MS).is_none(), "too old");
    assert_eq!(memory.more_at(now + 700 * MS), Some(now + 800 * MS));
    assert_eq!(memory.more_at(now + 800 * MS), None);
    outcome.add(answer(400, SupplyOutlook::Unknown, 0));
    memory.record(500, outcome, now);
    assert!(
        memory.shortage(500, now).is_none(),
        "the request was served"
    );
}

/// Guards against callers that return when no owner has tokens, and against all of them returning at
/// once.
#[test]
fn owners_name_the_time_after_which_callers_return() {
    let owner = OwnerState {
        missing: 300,
        spendable: 1_000,
        late_rate: 600,
        is_store_away: true,
        pool_read_in: None,
    };
    let outlook = |owner: OwnerState| owner.outlook();
    assert_eq!(outlook(owner), (SupplyOutlook::StoreAway, 500 * MS));
    for (spendable, late_rate) in [(299, 600), (1_000, 0), (1_000, 1)] {
        let owner = OwnerState {
            spendable,
            late_rate,
            ..owner
        };
        assert_eq!(outlook(owner), (SupplyOutlook::StoreAway, 1_000 * MS));
    }
    let attached = OwnerState {
        is_store_away: false,
        ..owner
    };
    assert_eq!(outlook(attached), (SupplyOutlook::Writing, 100 * MS));
    let short = OwnerState {
        pool_read_in: Some(420 * MS),
        ..attached
    };
    assert_eq!(outlook(short), (SupplyOutlook::PoolShort, 420 * MS));
    assert_eq!(spread_delay(1_000 * MS, 0.0), 1_000 * MS);
    assert_eq!(spread_delay(1_000 * MS, 1.0), 1_500 * MS);
    assert_eq!(spread_delay(100 * MS, 1.0), 300 * MS);
    assert_eq!(longest_wait(600 * MS, true), 150 * MS);
    assert_eq!(longest_wait(16_000 * MS, true), 400 * MS);
    assert_eq!(longest_wait(600 * MS, false), 400 * MS);
}

/// Guards against refusals that take as long as the answers of owners, while all routers are cut off
/// from the store.
#[tokio::test]
async fn requests_that_no_holder_can_serve_are_refused_at_once() {
    let rows = MemoryRows::new();
    let owner = router(&rows, "vm-1", Arc::new(peers::NoPeers));
    drop(
        hold(&owner, 100)
            .await
            .expect("the budget covers the request"),
    );
    rows.set_fault(RowFault::Unavailable);
    owner.session().heartbeat_sent(Instant::now());
    let slow = Arc::new(peers::OwnerPeer::slow(owner.clone(), 40 * MS));
    let asking = router(&rows, "vm-2", slow.clone());
    asking.session().heartbeat_sent(Instant::now());
    for amount in [80_000, 80_000, 85_000] {
        assert_eq!(
            hold(&asking, amount).await.err(),
            Some(BudgetShortage::StoreAway)
        );
    }
    assert_eq!(slow.asked.load(Ordering::Relaxed), 1);
    assert!(
        hold(&asking, 500).await.is_ok(),
        "a smaller request is served"
    );
    assert_eq!(
        slow.asked.load(Ordering::Relaxed),
        1,
        "by tokens given before"
    );
    let now = Instant::now();
    let returns = asking.retry_at(Some(&customer()), now) - now;
    assert!(returns > 500 * MS && returns <= 1_500 * MS, "{returns:?}");
}

/// Guards against 402 while other routers hold what an owner gave them: their requests may hand a
/// part back.
#[tokio::test]
async fn a_budget_is_not_spent_while_lent_tokens_may_come_back() {
    let rows = MemoryRows::new();
    let owner = router(&rows, "vm-1", Arc::new(peers::NoPeers));
    drop(
        hold(&owner, 100)
            .await
            .expect("the budget covers the request"),
    );
    let asking: Vec<_> = ["vm-2", "vm-3"]
        .into_iter()
        .map(|vm| router(&rows, vm, Arc::new(peers::OwnerPeer::new(owner.clone()))))
        .collect();
    let held = hold(&asking[0], 60_000)
        .await
        .expect("the owner gives tokens");
    let refused = hold(&asking[1], 70_000).await;
    assert_eq!(refused.err(), Some(BudgetShortage::HeldElsewhere));
    let refused = hold(&owner, 70_000).await;
    assert_eq!(refused.err(), Some(BudgetShortage::HeldElsewhere));
    let refused = hold(&asking[1], 90_001).await;
    assert_eq!(refused.err(), Some(BudgetShortage::Spent));
    drop(held);
    let now = Instant::now();
    let mut lent = LentTokens::default();
    lent.lend(1_000, now);
    lent.take_back(400, now);
    assert_eq!(lent.recent(now), 600);
    assert_eq!(lent.recent(now + 499 * MS), 600);
    assert_eq!(lent.recent(now + 1_000 * MS), 0);
    lent.take_back(5_000, now);
    assert_eq!(lent.recent(now), 0);
}

/// Guards against requests of a busy customer that each wait for an owner, and against a router that
/// keeps more of its tokens than 0.4 s of demand.
#[tokio::test]
async fn a_router_with_many_requests_asks_before_it_lacks_tokens() {
    let rows = MemoryRows::new();
    let owner = router(&rows, "vm-1", Arc::new(peers::NoPeers));
    drop(
        hold(&owner, 100)
            .await
            .expect("the budget covers the request"),
    );
    let slow = Arc::new(peers::OwnerPeer::slow(owner.clone(), 20 * MS));
    let asking = router(&rows, "vm-2", slow.clone());
    tokio::spawn(asking.clone().hand_over_leftovers());
    let (mut waited, mut kept, mut asked_before) = (0, 0, 0);
    for number in 0..150 {
        let begin = Instant::now();
        let held = hold(&asking, 100).await;
        held.expect("the owner gives tokens").set_charge(100);
        // By then the measured demand covers a few requests ahead.
        if number == 75 {
            asked_before = slow.asked.load(Ordering::Relaxed);
        }
        if number >= 75 {
            waited += u32::from(begin.elapsed() >= 15 * MS);
            kept = kept.max(asking.spendable(&customer()));
        }
        tokio::time::sleep(10 * MS).await;
    }
    let asked = slow.asked.load(Ordering::Relaxed) - asked_before;
    assert!(waited <= 4 && asked <= 25, "{waited} waited, {asked} asked");
    // 0.4 s of at most 100 requests a second.
    assert!(kept <= 4_000, "{kept} tokens kept");
}
