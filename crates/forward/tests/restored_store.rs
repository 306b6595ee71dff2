//! Prepaid budgets when the store is restored from a copy and loses what it acknowledged since.

use std::{
    collections::HashSet,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use {
    futures_util::StreamExt,
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{
        BudgetManager, DepositOutcome, PredecessorEnd, TokenPeers,
        draws::{DrawRecord, DrawSurvey, acks_needed},
        supply::SupplyOutcome,
    },
    jasminewall_ports::{
        Error, MemoryRows, PortFuture, RowCopy, RowFault, RowKey, RowPage, RowPort, RowReply,
        RowTransaction, StoreEra, StoredRow,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
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

/// Connection of one router run to the store, which can be cut. The era is that of its last response.
struct RouterRows {
    rows: MemoryRows,
    is_cut: AtomicBool,
    era: AtomicU64,
}

impl RouterRows {
    fn new(rows: MemoryRows) -> Arc<Self> {
        let era = AtomicU64::new(rows.era());
        Arc::new(Self {
            rows,
            is_cut: AtomicBool::new(false),
            era,
        })
    }

    fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn call<'a, T: Send + 'a>(&'a self, call: PortFuture<'a, T>) -> PortFuture<'a, T> {
        if self.is_cut.load(Ordering::Relaxed) {
            return Box::pin(async { Err(Error::unavailable()) });
        }
        self.era.store(self.rows.era(), Ordering::Relaxed);
        call
    }
}

impl RowPort for RouterRows {
    fn era(&self) -> StoreEra {
        self.era.load(Ordering::Relaxed)
    }

    fn transact(&self, transaction: RowTransaction) -> PortFuture<'_, RowReply> {
        if self.is_cut.load(Ordering::Relaxed) {
            return Box::pin(async { Err(Error::unavailable()) });
        }
        self.call(self.rows.transact(transaction))
    }

    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> PortFuture<'a, RowPage> {
        self.call(self.rows.read(table, partition))
    }

    fn read_row<'a>(&'a self, key: &'a RowKey) -> PortFuture<'a, Option<StoredRow>> {
        self.call(self.rows.read_row(key))
    }

    fn watch<'a>(
        &'a self,
        table: &'a str,
        since: u64,
        deadline: Instant,
    ) -> PortFuture<'a, RowPage> {
        self.call(self.rows.watch(table, since, deadline))
    }
}

/// Router of a [`Fleet`] that is up.
#[derive(Clone)]
struct FleetRouter {
    manager: Arc<BudgetManager>,
    rows: Arc<RouterRows>,
}

/// Routers in one process; `None` while a router is down.
#[derive(Default)]
struct FleetState {
    routers: Vec<Option<FleetRouter>>,
    /// Pairs of routers that cannot reach each other.
    cuts: HashSet<(usize, usize)>,
}

#[derive(Clone, Default)]
struct Fleet {
    state: Arc<Mutex<FleetState>>,
}

impl Fleet {
    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().expect("no holder panicked")
    }
}

/// Other routers of a [`Fleet`], as one run of a router sees them.
struct FleetPeers {
    fleet: Fleet,
    own: usize,
    rows: Arc<RouterRows>,
    is_large: bool,
}

impl FleetPeers {
    fn reachable(&self) -> Vec<Arc<BudgetManager>> {
        let state = self.fleet.lock();
        let own = state.routers[self.own].as_ref();
        if own.is_none_or(|own| !Arc::ptr_eq(&own.rows, &self.rows)) {
            // This run was killed.
            return Vec::new();
        }
        let others = (0..state.routers.len()).filter(|other| {
            let pair = (self.own.min(*other), self.own.max(*other));
            *other != self.own && !state.cuts.contains(&pair)
        });
        others
            .filter_map(|other| Some(state.routers[other].as_ref()?.manager.clone()))
            .collect()
    }

    fn count(&self) -> usize {
        self.fleet.lock().routers.len()
    }
}

impl TokenPeers for FleetPeers {
    fn is_owner(&self, _: &CustomerId) -> bool {
        !self.is_large || self.own.is_multiple_of(3)
    }

    fn ask<'a>(
        &'a self,
        customer: &'a CustomerId,
        minimum: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = SupplyOutcome> + Send + 'a>> {
        Box::pin(async move {
            let mut outcome = SupplyOutcome::default();
            for router in self.reachable() {
                if outcome.given < minimum {
                    let wanted = wanted.saturating_sub(outcome.given);
                    let is_first = outcome.answers == 0;
                    outcome.add(router.give_or_hint(customer, wanted, is_first).await);
                }
            }
            outcome
        })
    }

    fn keeps_draws(&self) -> Option<bool> {
        Some(true)
    }

    fn record_draw<'a>(
        &'a self,
        customer: &'a CustomerId,
        record: DrawRecord,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        let routers = self.reachable();
        let needed = acks_needed(self.count() - 1);
        let acks = routers.iter().take(needed);
        let acks = acks.filter(|router| router.record_peer_draw(customer, &record));
        let known = acks.count() >= needed;
        Box::pin(async move { known })
    }

    fn survey_draws<'a>(
        &'a self,
        customer: &'a CustomerId,
        era: StoreEra,
    ) -> Pin<Box<dyn Future<Output = Option<DrawSurvey>> + Send + 'a>> {
        let routers = self.reachable();
        let reports = routers
            .iter()
            .map(|router| router.report_draws(customer, era));
        let survey = DrawSurvey {
            keepers: self.count(),
            reports: reports.collect(),
        };
        Box::pin(async move { Some(survey) })
    }

    fn deposit<'a>(
        &'a self,
        customer: &'a CustomerId,
        tokens: Tokens,
    ) -> Pin<Box<dyn Future<Output = DepositOutcome> + Send + 'a>> {
        let Some(router) = self.reachable().into_iter().next() else {
            return Box::pin(async { DepositOutcome::NotSent });
        };
        router.take_back(customer, tokens);
        Box::pin(async { DepositOutcome::Accepted })
    }
}

/// Fleet on one store, with the faults of a schedule.
struct Schedule {
    rows: MemoryRows,
    fleet: Fleet,
    copies: Vec<RowCopy>,
    /// Run of the last start of each router, and the era in which its last heartbeat was written.
    runs: Vec<(u64, StoreEra)>,
    /// Whether only every third router owns a grant, as in a large fleet.
    is_large: bool,
    spent: Tokens,
}

impl Schedule {
    async fn start(routers: usize, is_large: bool) -> Self {
        let mut schedule = Self {
            rows: MemoryRows::new(),
            fleet: Fleet::default(),
            copies: Vec::new(),
            runs: vec![(0, 0); routers],
            is_large,
            spent: 0,
        };
        schedule.fleet.lock().routers = vec![None; routers];
        for router in 0..routers {
            schedule.start_router(router).await;
        }
        schedule
    }

    /// Starts a router, which reads the accounts like a router that starts in a fleet.
    async fn start_router(&mut self, router: usize) {
        let (boot, era) = self.runs[router];
        let rows = RouterRows::new(self.rows.clone());
        let peers = FleetPeers {
            fleet: self.fleet.clone(),
            own: router,
            rows: rows.clone(),
            is_large: self.is_large,
        };
        let manager = BudgetManager::new(
            HolderId::new(format!("vm-{router}"), boot + 1),
            rows.clone(),
            Arc::new(peers),
        );
        manager.set_owner_count(self.runs.len());
        manager.set_large(self.is_large);
        let late = Duration::ZERO;
        manager.set_predecessor(match boot {
            0 => PredecessorEnd::Unknown,
            _ if era == self.rows.era() => PredecessorEnd::Attached { boot, late },
            _ => PredecessorEnd::BeforeRestore,
        });
        self.runs[router] = (boot + 1, manager.entered_era());
        self.fleet.lock().routers[router] = Some(FleetRouter {
            manager: manager.clone(),
            rows,
        });
        manager.learn_draws(&[(customer(), PREPAID)]).await;
    }

    fn router(&self, router: usize) -> Option<FleetRouter> {
        self.fleet.lock().routers[router].clone()
    }

    fn kill(&mut self, router: usize) {
        if let Some(FleetRouter { manager, rows }) = self.fleet.lock().routers[router].take() {
            rows.set_cut(true);
            self.runs[router].1 = manager.entered_era();
        }
    }

    async fn step(&mut self, rng: &mut StdRng) {
        let count = self.runs.len();
        let router = rng.random_range(0..count);
        match rng.random_range(0..100) {
            0..50 => {
                if let Some(FleetRouter { manager, .. }) = self.router(router) {
                    if rng.random_bool(0.5) {
                        manager.learn_draws(&[(customer(), PREPAID)]).await;
                        manager.enter_era().await;
                        manager.write_before_attach().await;
                    }
                    self.spent += spend(&manager, rng.random_range(1..8) * 500).await;
                }
            }
            50..58 => self.copies.push(self.rows.copy()),
            58..64 => {
                let first = self.copies.len().saturating_sub(3);
                if let Some(copy) = self.copies.drain(first..).next() {
                    self.rows.restore(copy);
                }
            }
            64..72 => self.kill(router),
            72..86 => {
                if self.router(router).is_none() {
                    self.start_router(router).await;
                }
            }
            86..88 => (0..count).for_each(|router| self.kill(router)),
            88..91 => {
                let other = rng.random_range(0..count);
                let pair = (router.min(other), router.max(other));
                let cuts = &mut self.fleet.lock().cuts;
                if !cuts.remove(&pair) {
                    cuts.insert(pair);
                }
            }
            91..93 => {
                if let Some(FleetRouter { rows, .. }) = self.router(router) {
                    rows.set_cut(rng.random_bool(0.5));
                }
            }
            93..95 => self.rows.set_fault(RowFault::LateWrites),
            95..97 => self.rows.set_fault(RowFault::None),
            _ => self.rows.perform_late_writes(),
        }
    }
}

async fn play_schedule(seed: u64, routers: usize, steps: usize) -> Tokens {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut schedule = Schedule::start(routers, seed % 2 == 1).await;
    for _ in 0..steps {
        schedule.step(&mut rng).await;
    }
    schedule.rows.set_fault(RowFault::None);
    schedule.rows.perform_late_writes();
    for router in 0..routers {
        if let Some(FleetRouter { manager, rows }) = schedule.router(router) {
            rows.set_cut(false);
            schedule.spent += spend(&manager, PREPAID).await;
        }
    }
    schedule.spent
}

/// Guards against overspends in schedules of restores, kills, cuts and late writes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_schedule_with_a_restored_store_overspends() {
    let seeds = std::env::var("RESTORE_SEEDS").unwrap_or_else(|_| "0..400".into());
    let (first, end) = seeds.split_once("..").expect("a range of seeds");
    let seeds = first.parse::<u64>().expect("a seed")..end.parse().expect("a seed");
    let mut played = futures_util::stream::iter(seeds)
        .map(|seed| {
            tokio::spawn(async move {
                let routers = 1 + seed as usize % 9;
                (seed, play_schedule(seed, routers, 60).await)
            })
        })
        .buffer_unordered(64);
    let mut overspent = Vec::new();
    while let Some(outcome) = played.next().await {
        let (seed, spent) = outcome.expect("the schedule ends");
        if spent > PREPAID {
            overspent.push((seed, spent));
        }
    }
    assert_eq!(
        overspent,
        Vec::new(),
        "seeds that spent more than {PREPAID}"
    );
}

/// Guards against draws from a pool of which no router remembers the lost time.
#[tokio::test]
async fn tokens_that_may_be_spent_are_not_granted_after_all_routers_were_killed() {
    let mut schedule = Schedule::start(3, false).await;
    let first = schedule.router(0).expect("the router is up");
    schedule.spent += spend(&first.manager, 1_000).await;
    let copy = schedule.rows.copy();
    schedule.spent += spend(&first.manager, 40_000).await;
    schedule.rows.restore(copy);
    (0..3).for_each(|router| schedule.kill(router));
    for router in 0..3 {
        schedule.start_router(router).await;
    }
    // The routers wait for others that may remember.
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    for router in 0..3 {
        let router = schedule.router(router).expect("the router is up");
        router.manager.enter_era().await;
        schedule.spent += spend(&router.manager, PREPAID).await;
    }
    assert!(schedule.spent <= PREPAID, "{} tokens", schedule.spent);
    let router = schedule.router(0).expect("the router is up");
    let (request, customer) = ("raised".into(), customer());
    let deadline = Instant::now() + Duration::from_millis(300);
    let raised = PREPAID + 10_000;
    let held = router
        .manager
        .hold(&request, &customer, raised, 5_000, deadline);
    assert!(held.await.is_ok(), "a raise is spendable");
}
