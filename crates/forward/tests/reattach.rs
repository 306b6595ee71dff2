//! Accounts of an owner of grants in a large fleet when the store is back after an outage.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{
        BudgetManager, PredecessorEnd, account::AccountRow, supply::SupplyOutlook,
    },
    jasminewall_ports::{
        MemoryRows, PortFuture, RowFault, RowKey, RowPage, RowPort, RowReply, RowTransaction,
        StoreEra, StoredRow,
    },
};

#[path = "support/peers.rs"]
mod peers;

const CUSTOMERS: usize = 24;
const PREPAID: Tokens = 900_000;
/// Time that a transaction takes while all routers write their accounts.
const BUSY_TIME: Duration = Duration::from_millis(40);

/// Store with slow transactions.
struct BusyRows(MemoryRows);

impl RowPort for BusyRows {
    fn era(&self) -> StoreEra {
        self.0.era()
    }

    fn transact(&self, transaction: RowTransaction) -> PortFuture<'_, RowReply> {
        Box::pin(async move {
            tokio::time::sleep(BUSY_TIME).await;
            self.0.transact(transaction).await
        })
    }

    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> PortFuture<'a, RowPage> {
        self.0.read(table, partition)
    }

    fn read_row<'a>(&'a self, key: &'a RowKey) -> PortFuture<'a, Option<StoredRow>> {
        self.0.read_row(key)
    }

    fn watch<'a>(&'a self, table: &'a str, since: u64, until: Instant) -> PortFuture<'a, RowPage> {
        self.0.watch(table, since, until)
    }
}

async fn spend(manager: &Arc<BudgetManager>, customer: &CustomerId, amount: Tokens) -> Tokens {
    let (request, deadline) = (
        "request".into(),
        Instant::now() + Duration::from_millis(150),
    );
    let held = manager.hold(&request, customer, PREPAID, amount, deadline);
    held.await.map_or(0, |mut hold| {
        hold.set_charge(amount);
        amount
    })
}

/// Guards against refusals for seconds after an outage: the accounts of 24 customers were written one
/// after the other, while none of them might consume tokens. What is consumed meanwhile must stay
/// within what a successor leaves to this run.
#[tokio::test]
async fn requests_are_served_while_accounts_are_written_after_an_outage() {
    let rows = MemoryRows::new();
    let manager = BudgetManager::new(
        HolderId::new("vm-1", 1),
        Arc::new(BusyRows(rows.clone())),
        Arc::new(peers::NoPeers),
    );
    manager.set_predecessor(PredecessorEnd::Unknown);
    manager.set_large(true);
    manager.session().record_clock(0, Instant::now());
    let customers: Vec<CustomerId> = (0..CUSTOMERS)
        .map(|number| format!("customer-{number}").as_str().into())
        .collect();
    for customer in &customers {
        assert!(spend(&manager, customer, 4_000).await > 0, "{customer}");
    }
    rows.set_fault(RowFault::Unavailable);
    let late_after = manager.session().late_after();
    manager
        .session()
        .heartbeat_sent(Instant::now() - late_after - Duration::from_secs(8));
    for customer in &customers {
        while spend(&manager, customer, 2_000).await > 0 {}
    }
    // An owner that the store does not answer gives what it may without a wait, even when the pause
    // after the last failed call is over.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let begin = Instant::now();
    let answer = manager.give_or_hint(&customers[0], 100_000, true).await;
    assert!(begin.elapsed() < BUSY_TIME / 2, "{:?}", begin.elapsed());
    assert_eq!(answer.outlook, SupplyOutlook::StoreAway);
    // Refills that began meanwhile fail.
    tokio::time::sleep(BUSY_TIME * 2).await;
    rows.set_fault(RowFault::None);
    let begin = Instant::now();
    let writer = tokio::spawn({
        let manager = manager.clone();
        async move { manager.write_before_attach().await }
    });
    tokio::time::sleep(BUSY_TIME * 2).await;
    // Requests of these refill their grants themselves.
    let mut served = 0;
    for customer in &customers[CUSTOMERS - 4..] {
        served += usize::from(spend(&manager, customer, 500).await > 0);
    }
    assert!(writer.await.expect("the writer ends"));
    let time = begin.elapsed();
    // Eight at a time, with the read and the write of each.
    assert!(
        time < BUSY_TIME * 12,
        "the accounts were written in {time:?}"
    );
    assert_eq!(served, 4, "customers served while accounts are written");

    manager.session().begin_attach();
    assert!(manager.write_overdrawn().await);
    for customer in &customers {
        let key = RowKey::new("spend", customer.clone(), "grant/vm-1");
        let row = rows.get(&key).expect("the account exists");
        let row: AccountRow = serde_json::from_slice(&row).expect("the account is JSON");
        let left = row.granted - row.charged;
        assert!(manager.spendable(customer) <= left, "{customer}");
        assert!(
            row.reclaimable(Duration::ZERO) <= manager.spendable(customer),
            "{customer}"
        );
        assert!(
            spend(&manager, customer, 500).await > 0,
            "{customer} is served again"
        );
    }
}
