//! Random schedules that test the budget accounting of a few routers that share one shard.
//!
//! Every write can be refused, lost before or after it takes effect, or arrive late; every message
//! between routers can be lost, late or duplicated; routers pause, crash, restart and stop.

use std::collections::{BTreeMap, BTreeSet};

use {
    jasminewall_core::{
        BudgetId, GrantLedger, HolderId, RequestId, ShardId, Tokens,
        budget::{GrantRow, HolderKey, PoolEntry, PoolRow, can_fold, fold, holder_key},
        commit::{CommitSequence, GrantMove},
        ledger::PendingTransfer,
        segment::{ChargeLine, SegmentRecord},
        settle::{ChargeEvidence, SettlementEvidence, settle_row},
    },
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    smol_str::SmolStr,
};

mod check;

/// The simulated shard.
const SHARD: ShardId = 0;
/// Its budgets.
const BUDGETS: [&str; 2] = ["glass", "lead"];
/// Endpoints of the simulated fleet.
const ENDPOINTS: [&str; 3] = ["engine-1", "engine-2", "engine-3"];
/// Number of VMs, each with at most one running router.
const VMS: usize = 4;
/// Tokens added by each top-up.
const TOP_UP_TOKENS: Tokens = 100;
/// Tokens that each lowering of a budget takes back, as far as they are free.
const LOWERED_TOKENS: Tokens = 150;
/// Number of rounds without faults after the random steps.
const RECOVERY_ROUNDS: usize = 40;

/// Numbers of events in a schedule, to show that the schedule exercised the faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScheduleCounts {
    /// Requests whose tokens were held.
    pub requests: u64,
    /// Writes that took effect but whose response was lost.
    pub lost_responses: u64,
    /// Writes that took effect late.
    pub late_writes: u64,
    /// Tokens transferred between routers.
    pub transferred: Tokens,
    /// Routers that crashed.
    pub crashes: u64,
    /// Grant rows of crashed or stopped routers that were folded into the pool.
    pub folds: u64,
    /// Tokens charged by settling the rows of crashed or stopped routers.
    pub settled: Tokens,
    /// Tokens left unresolved at the end.
    pub unresolved: Tokens,
}

/// Version of a row and its content.
type Versioned<T> = (u64, T);

/// One transaction, which writes the pool row, one grant row or both, if they have the expected
/// versions.
#[derive(Clone)]
struct TableWrite {
    pool: Option<Versioned<PoolRow>>,
    /// Key, expected version (0 if missing) and new content (`None` deletes the row).
    grant: Option<(HolderKey, u64, Option<GrantRow>)>,
}

/// Rows of the table service.
struct Table {
    pool: Versioned<PoolRow>,
    grants: BTreeMap<HolderKey, Versioned<GrantRow>>,
    last_version: u64,
    deleted: Vec<GrantRow>,
}

impl Table {
    /// Applies a write if both versions match; returns whether it took effect.
    fn apply(&mut self, write: &TableWrite) -> bool {
        let pool_matches = write
            .pool
            .as_ref()
            .is_none_or(|(version, _)| *version == self.pool.0);
        let grant_matches = write.grant.as_ref().is_none_or(|(key, version, _)| {
            self.grants.get(key).map_or(0, |(stored, _)| *stored) == *version
        });
        if !pool_matches || !grant_matches {
            return false;
        }
        self.last_version += 1;
        if let Some((_, pool)) = &write.pool {
            self.pool = (self.last_version, pool.clone());
        }
        match &write.grant {
            Some((key, _, Some(row))) => {
                self.grants
                    .insert(key.clone(), (self.last_version, row.clone()));
            }
            Some((key, _, None)) => {
                self.deleted
                    .extend(self.grants.remove(key).map(|(_, row)| row));
            }
            None => {}
        }
        true
    }
}

struct Router {
    ledger: GrantLedger,
    commit: CommitSequence,
    /// Charge lines that are not in a segment yet.
    lines: Vec<ChargeLine>,
    /// Whether the sealed segment is in the object store.
    is_segment_stored: bool,
    is_alive: bool,
    is_paused: bool,
    is_stopping: bool,
    /// Whether the router reaches the platform.
    has_platform: bool,
}

impl Router {
    fn new(holder: &HolderId) -> Self {
        Self {
            ledger: GrantLedger::new(holder.clone()),
            commit: CommitSequence::new(SHARD, holder.clone()),
            lines: Vec::new(),
            is_segment_stored: false,
            is_alive: true,
            is_paused: false,
            is_stopping: false,
            has_platform: true,
        }
    }

    fn is_running(&self) -> bool {
        self.is_alive && !self.is_paused
    }
}

/// Actual execution of a request at an endpoint.
struct Run {
    request: RequestId,
    budget: BudgetId,
    router: usize,
    endpoint: usize,
    tokens: Tokens,
    has_ended: bool,
    /// Whether the router has settled the hold of the request.
    is_settled: bool,
}

/// Message between routers.
#[derive(Clone)]
enum Message {
    /// Transfer request with its receiver and giver.
    Request(HolderId, HolderId, PendingTransfer),
    /// Reply with the receiver, the giver, the number of the request, the given tokens and those that
    /// the giver can still transfer.
    Reply(HolderId, HolderId, u64, Tokens, Tokens),
}

/// One random schedule.
pub struct SpendSchedule {
    rng: ChaCha8Rng,
    table: Table,
    segments: BTreeMap<(HolderKey, u64), SegmentRecord>,
    /// Evidence from streams that callers resumed at another router.
    resumed: BTreeMap<HolderKey, Vec<ChargeEvidence>>,
    late_writes: Vec<TableWrite>,
    /// All routers, also those that no longer run.
    routers: Vec<Router>,
    /// Index of the latest router on each VM.
    current: Vec<usize>,
    runs: Vec<Run>,
    messages: Vec<Message>,
    /// Pairs of VMs where the first cannot reach the second.
    partitioned: BTreeSet<(usize, usize)>,
    /// Whether all endpoints list their streams; otherwise the first one does not.
    all_endpoints_list: bool,
    has_faults: bool,
    counts: ScheduleCounts,
    /// Committed charges at the last check.
    last_charged: BTreeMap<BudgetId, Tokens>,
    initial_prepaid: BTreeMap<BudgetId, Tokens>,
}

impl SpendSchedule {
    /// Runs a schedule and checks the invariants after each step.
    ///
    /// # Errors
    ///
    /// Describes the violated invariant, with the seed and the step.
    pub fn run(seed: u64, steps: usize) -> Result<ScheduleCounts, String> {
        let mut schedule = Self::new(seed);
        for step in 0..steps {
            schedule.step();
            schedule
                .check_step()
                .and_then(|()| schedule.check_allowances())
                .map_err(|violation| format!("seed {seed}, step {step}: {violation}"))?;
        }
        schedule.recover();
        schedule
            .check_step()
            .and_then(|()| schedule.check_end())
            .map_err(|violation| format!("seed {seed}, end: {violation}"))?;
        Ok(schedule.counts)
    }

    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut pool = PoolRow::default();
        for budget in BUDGETS {
            let entry = pool.budgets.entry(budget.into()).or_default();
            entry.top_up(&"first".into(), rng.random_range(200..1_500));
        }
        let prepaid = |(name, entry): (&BudgetId, &PoolEntry)| (name.clone(), entry.prepaid);
        let initial_prepaid = pool.budgets.iter().map(prepaid).collect();
        let holder = |vm: usize| HolderId::new(format!("vm-{vm}"), vm as u64);
        let all_endpoints_list = rng.random_bool(0.8);
        Self {
            rng,
            table: Table {
                pool: (1, pool),
                grants: BTreeMap::new(),
                last_version: 1,
                deleted: Vec::new(),
            },
            segments: BTreeMap::new(),
            resumed: BTreeMap::new(),
            late_writes: Vec::new(),
            routers: (0..VMS).map(|vm| Router::new(&holder(vm))).collect(),
            current: (0..VMS).collect(),
            runs: Vec::new(),
            messages: Vec::new(),
            partitioned: BTreeSet::new(),
            all_endpoints_list,
            has_faults: true,
            counts: ScheduleCounts::default(),
            last_charged: BTreeMap::new(),
            initial_prepaid,
        }
    }

    fn step(&mut self) {
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..100) {
            0..30 => self.start_request(vm),
            30..44 => self.finish_random(),
            44..60 => self.commit(self.current[vm]),
            60..66 => self.request_transfer(vm),
            66..78 => self.deliver_message(),
            78..81 => self.apply_late_write(),
            81..84 => self.toggle_pause(vm),
            84..88 => self.toggle_partition(vm),
            88..89 => self.crash(vm),
            89..92 => self.restart(vm),
            92..93 => self.routers[self.current[vm]].is_stopping = true,
            93..95 => self.change_prepaid(),
            _ => self.reclaim_random(),
        }
    }

    fn start_request(&mut self, vm: usize) {
        let index = self.current[vm];
        let budget: BudgetId = BUDGETS[self.rng.random_range(0..BUDGETS.len())].into();
        let amount = self.rng.random_range(1..80);
        let router = &mut self.routers[index];
        if !router.is_running() || router.is_stopping {
            return;
        }
        let request: RequestId = format!("r{}", self.runs.len()).into();
        if router.ledger.hold(&budget, &request, amount).is_err() {
            self.refill(index, &budget, amount);
            return;
        }
        self.counts.requests += 1;
        self.runs.push(Run {
            request,
            budget,
            router: index,
            endpoint: self.rng.random_range(0..ENDPOINTS.len()),
            tokens: self.rng.random_range(0..=amount),
            has_ended: false,
            is_settled: false,
        });
    }

    fn finish_random(&mut self) {
        let unsettled: Vec<usize> = (0..self.runs.len())
            .filter(|index| !self.runs[*index].is_settled)
            .collect();
        if let Some(index) = unsettled.choose(&mut self.rng) {
            self.finish_run(*index);
        }
    }

    fn finish_run(&mut self, index: usize) {
        let is_resumed = self.rng.random_bool(0.3);
        let run = &mut self.runs[index];
        run.has_ended = true;
        let router = &mut self.routers[run.router];
        if router.is_running() {
            run.is_settled = true;
            let Ok(charge) = router.ledger.settle(&run.request, run.tokens) else {
                return;
            };
            router.lines.push(ChargeLine {
                request: run.request.clone(),
                customer: "parish".into(),
                budget: charge.budget,
                route: "glass-7b".into(),
                endpoint: Some(ENDPOINTS[run.endpoint].into()),
                tokens: charge.tokens,
                outcome: "ran".into(),
                ended_at: std::time::SystemTime::UNIX_EPOCH,
            });
        } else if !router.is_alive && is_resumed {
            // The caller resumed the stream through another router, which stored the evidence.
            let key = holder_key(router.ledger.holder());
            let charges = self.resumed.entry(key).or_default();
            if !charges.iter().any(|charge| charge.request == run.request) {
                charges.push(charge_evidence(run));
            }
        }
    }

    /// Sends a write; returns whether it took effect, or `None` if the sender does not know.
    fn write(&mut self, write: TableWrite) -> Option<bool> {
        let outcome = if self.has_faults {
            self.rng.random_range(0..100)
        } else {
            // Selects the branch without a fault.
            99
        };
        match outcome {
            0..5 => None,
            5..10 => {
                self.late_writes.push(write);
                None
            }
            10..20 => {
                if self.table.apply(&write) {
                    self.counts.lost_responses += 1;
                }
                None
            }
            _ => Some(self.table.apply(&write)),
        }
    }

    fn apply_late_write(&mut self) {
        if self.late_writes.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.late_writes.len());
        let write = self.late_writes.swap_remove(index);
        if self.table.apply(&write) {
            self.counts.late_writes += 1;
        }
    }

    fn refill(&mut self, index: usize, budget: &BudgetId, amount: Tokens) {
        if !self.can_commit(index) || self.routers[index].commit.plan().is_some() {
            self.send_plan(index);
            return;
        }
        let tokens = amount + self.rng.random_range(0..100);
        let moves = [GrantMove::Take(budget.clone(), tokens)];
        self.build_plan(index, &moves, false);
        self.send_plan(index);
    }

    fn can_commit(&self, index: usize) -> bool {
        let router = &self.routers[index];
        router.is_running() && router.has_platform && !router.ledger.is_closed()
    }

    fn build_plan(&mut self, index: usize, moves: &[GrantMove], is_segment_stored: bool) {
        let pool = (self.table.pool.1.clone(), self.table.pool.0);
        let pool = (!moves.is_empty()).then_some(pool);
        let router = &mut self.routers[index];
        router
            .commit
            .build(&mut router.ledger, |_| true, pool, moves, is_segment_stored);
    }

    /// Sends the commit plan of a router and resolves its outcome by reading the row back.
    fn send_plan(&mut self, index: usize) {
        if !self.can_commit(index) {
            return;
        }
        let Some(plan) = self.routers[index].commit.plan().cloned() else {
            return;
        };
        let key = holder_key(&plan.row.holder);
        self.write(TableWrite {
            pool: plan.pool.clone().map(|(pool, version)| (version, pool)),
            grant: Some((key.clone(), plan.row_version, Some(plan.row.clone()))),
        });
        if self.has_faults && self.rng.random_bool(0.1) {
            return;
        }
        let stored = self.table.grants.get(&key);
        let version = stored.map_or(0, |(version, _)| *version);
        let row = stored.map(|(version, row)| (*version, row));
        let state = plan.classify(row, Some(self.table.pool.0));
        let router = &mut self.routers[index];
        let seq = router.commit.row().seq;
        router.commit.resolve(&mut router.ledger, state, version);
        router.is_segment_stored &= router.commit.row().seq == seq;
    }

    fn commit(&mut self, index: usize) {
        if !self.can_commit(index) {
            return;
        }
        if self.routers[index].commit.plan().is_some() {
            self.send_plan(index);
            return;
        }
        let can_store = !self.has_faults || self.rng.random_bool(0.8);
        let keys = self.table.grants.keys().cloned().collect();
        let router = &mut self.routers[index];
        let closed = router.ledger.closed_peers();
        router
            .commit
            .set_closed_peers(closed.intersection(&keys).cloned().collect());
        let router = &mut self.routers[index];
        router.commit.seal_segment(&mut router.lines, Vec::new());
        if let (true, Some(segment)) = (can_store, router.commit.segment()) {
            let key = (holder_key(&segment.holder), segment.seq);
            self.segments.entry(key).or_insert_with(|| segment.clone());
            router.is_segment_stored = true;
        }
        if router.is_stopping && self.close_stopped(index) {
            return;
        }
        let budget: BudgetId = BUDGETS[self.rng.random_range(0..BUDGETS.len())].into();
        let router = &self.routers[index];
        let moves: Vec<GrantMove> = if router.is_stopping {
            BUDGETS
                .iter()
                .map(|name| GrantMove::Return((*name).into(), Tokens::MAX))
                .collect()
        } else if self.has_faults && self.rng.random_bool(0.3) {
            vec![GrantMove::Return(budget, self.rng.random_range(0..200))]
        } else {
            Vec::new()
        };
        let router = &self.routers[index];
        let has_work = !moves.is_empty()
            || router.is_segment_stored
            || router.commit.has_uncommitted(&router.ledger, |_| true);
        if has_work {
            let is_segment_stored = router.is_segment_stored;
            self.build_plan(index, &moves, is_segment_stored);
            self.send_plan(index);
        }
    }

    /// Closes the row of a stopping router once it has no open holds, charges, tokens or transfers;
    /// returns whether it sent the write.
    fn close_stopped(&mut self, index: usize) -> bool {
        let router = &mut self.routers[index];
        let row = router.commit.row();
        let has_open_work = router.ledger.holds().next().is_some()
            || router.commit.segment().is_some()
            || !router.lines.is_empty()
            || row.accounts.values().any(|account| account.balance() > 0)
            || router.commit.has_uncommitted(&router.ledger, |_| true);
        if has_open_work || row.step == 0 {
            return false;
        }
        let givers = router.ledger.pending_givers();
        router.ledger.close();
        let other_keys = self
            .table
            .grants
            .keys()
            .filter(|key| !givers.contains(*key));
        let plan = router
            .commit
            .build_close(other_keys.cloned().collect::<Vec<_>>());
        let key = holder_key(&plan.row.holder);
        let write = TableWrite {
            pool: None,
            grant: Some((key, plan.row_version, Some(plan.row))),
        };
        // If the write fails, the row is closed by reclaiming.
        router.is_alive = false;
        self.write(write);
        true
    }

    fn request_transfer(&mut self, vm: usize) {
        let giver_vm = self.rng.random_range(0..VMS);
        let (index, giver) = (self.current[vm], self.current[giver_vm]);
        let giver = self.routers[giver].ledger.holder().clone();
        let budget: BudgetId = BUDGETS[self.rng.random_range(0..BUDGETS.len())].into();
        let amount = self.rng.random_range(1..120);
        let router = &mut self.routers[index];
        // A router that reclaims the giver's row finds the receivers by their rows, so a router
        // without a row must not receive tokens.
        if vm == giver_vm
            || !router.is_running()
            || router.is_stopping
            || router.commit.version() == 0
        {
            return;
        }
        if let Some(request) = router
            .ledger
            .request_transfer(&giver, SHARD, &budget, 1, amount)
        {
            let receiver = router.ledger.holder().clone();
            self.messages
                .push(Message::Request(receiver, giver, request));
        }
    }

    fn deliver_message(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = match self.rng.random_range(0..100) {
            0..10 if self.has_faults => {
                self.messages.swap_remove(index);
                return;
            }
            10..30 if self.has_faults => self.messages[index].clone(),
            _ => self.messages.swap_remove(index),
        };
        match message {
            Message::Request(receiver, giver, request) => {
                let Some(index) = self.reachable_router(&receiver, &giver) else {
                    return;
                };
                let ledger = &mut self.routers[index].ledger;
                let tokens = ledger.give(&giver, &receiver, &request, 0);
                let left = ledger.transfer_limit(&request.budget);
                self.messages.push(Message::Reply(
                    receiver,
                    giver,
                    request.number,
                    tokens,
                    left,
                ));
            }
            Message::Reply(receiver, giver, number, tokens, left) => {
                let Some(index) = self.reachable_router(&giver, &receiver) else {
                    return;
                };
                if self.routers[index]
                    .ledger
                    .receive(&receiver, &giver, number, tokens, left)
                {
                    self.counts.transferred += tokens;
                }
            }
        }
    }

    /// Returns the router that now runs on the VM of the recipient, if the message can reach that
    /// router. It may be a later run than the recipient.
    fn reachable_router(&self, from: &HolderId, to: &HolderId) -> Option<usize> {
        let vm = |holder: &HolderId| holder.boot as usize % VMS;
        let index = self.current[vm(to)];
        let is_blocked = self.partitioned.contains(&(vm(from), vm(to)));
        (!is_blocked && self.routers[index].is_running()).then_some(index)
    }

    /// Decides whether a fault begins. Faults begin less often than they end, so that most routers
    /// work most of the time.
    fn begins_fault(&mut self) -> bool {
        self.rng.random_bool(0.3)
    }

    fn toggle_pause(&mut self, vm: usize) {
        let begins = self.begins_fault();
        let router = &mut self.routers[self.current[vm]];
        router.is_paused = !router.is_paused && begins;
    }

    /// Starts or ends a fault of the link from a VM to another one, or to the platform if the
    /// random choice is the VM itself.
    fn toggle_partition(&mut self, vm: usize) {
        let other = self.rng.random_range(0..VMS);
        let begins = self.begins_fault();
        if other == vm {
            let router = &mut self.routers[self.current[vm]];
            router.has_platform = !router.has_platform || !begins;
        } else if !self.partitioned.remove(&(vm, other)) && begins {
            self.partitioned.insert((vm, other));
        }
    }

    fn crash(&mut self, vm: usize) {
        let router = &mut self.routers[self.current[vm]];
        if router.is_alive {
            router.is_alive = false;
            self.counts.crashes += 1;
        }
    }

    fn restart(&mut self, vm: usize) {
        if self.routers[self.current[vm]].is_alive {
            return;
        }
        let index = self.routers.len();
        // The VM is the boot number modulo the number of VMs.
        let boot = (index * VMS + vm) as u64;
        self.routers
            .push(Router::new(&HolderId::new(format!("vm-{vm}"), boot)));
        self.current[vm] = index;
    }

    /// Tops up or lowers a budget: two operators write their changes based on the same version of
    /// the pool row, and the first operator repeats its change.
    fn change_prepaid(&mut self) {
        let budget: BudgetId = BUDGETS[self.rng.random_range(0..BUDGETS.len())].into();
        let (version, pool) = self.table.pool.clone();
        let first = self.rng.random_range(0..20);
        for id in [first, first + 1, first] {
            let mut pool = pool.clone();
            if let Some(entry) = pool.budgets.get_mut(&budget) {
                let id: SmolStr =
                    format!("{}{id}", if id % 4 == 3 { "lower-" } else { "raise-" }).into();
                if is_top_up(&id) {
                    entry.top_up(&id, TOP_UP_TOKENS);
                } else {
                    entry.lower(&id, LOWERED_TOKENS);
                }
            }
            self.write(TableWrite {
                pool: Some((version, pool)),
                grant: None,
            });
        }
    }

    fn reclaim_random(&mut self) {
        let keys: Vec<HolderKey> = self.ended_rows();
        if let Some(key) = keys.choose(&mut self.rng).cloned() {
            self.reclaim(&key);
        }
    }

    /// Returns the keys of the grant rows of crashed and stopped routers.
    fn ended_rows(&self) -> Vec<HolderKey> {
        let ended = self.routers.iter().filter(|router| !router.is_alive);
        ended
            .map(|router| holder_key(router.ledger.holder()))
            .filter(|key| self.table.grants.contains_key(key))
            .collect()
    }

    /// Attempts the next step of reclaiming a grant row: close it, then close its holder at the
    /// peers, settle it and fold it into the pool.
    fn reclaim(&mut self, key: &HolderKey) {
        let Some((version, row)) = self.table.grants.get(key).cloned() else {
            return;
        };
        if !row.closed {
            let row = GrantRow {
                closed: true,
                ..row
            };
            self.write(TableWrite {
                pool: None,
                grant: Some((key.clone(), version, Some(row))),
            });
            return;
        }
        for index in self.current.clone() {
            let is_reachable = !self.has_faults || self.rng.random_bool(0.7);
            if is_reachable && self.routers[index].is_running() {
                self.routers[index].ledger.close_peer(&row.holder);
            }
        }
        let other_rows: Vec<GrantRow> = self
            .table
            .grants
            .iter()
            .filter(|(other, _)| *other != key)
            .map(|(_, (_, row))| row.clone())
            .collect();
        let (pool_version, mut pool) = self.table.pool.clone();
        let mut next = row.clone();
        let outcome = settle_row(&mut pool, &mut next, &other_rows, &self.evidence(key));
        let is_foldable = can_fold(&next, &other_rows);
        if is_foldable {
            fold(&mut pool, &next);
        }
        if next == row && !is_foldable && pool == self.table.pool.1 {
            return;
        }
        // A settled row is first written with its final content, which the checks read, and deleted
        // by a later write.
        let grant = if is_foldable && next == row {
            None
        } else {
            pool = self.table.pool.1.clone();
            next = row.clone();
            settle_row(&mut pool, &mut next, &other_rows, &self.evidence(key));
            Some(next)
        };
        let is_deleted = grant.is_none();
        let result = self.write(TableWrite {
            pool: Some((pool_version, pool)),
            grant: Some((key.clone(), version, grant)),
        });
        if result == Some(true) {
            self.counts.folds += u64::from(is_deleted);
            self.counts.settled += outcome.charged.values().sum::<Tokens>();
        }
    }

    /// Collects the settlement evidence about the holder of a grant row.
    fn evidence(&self, key: &HolderKey) -> SettlementEvidence {
        let segments = self
            .segments
            .iter()
            .filter(|((holder, _), _)| holder == key);
        let mut evidence = SettlementEvidence {
            segments: segments.map(|(_, segment)| segment.clone()).collect(),
            resumed: self.resumed.get(key).cloned().unwrap_or_default(),
            listed: BTreeMap::new(),
            endpoints: ENDPOINTS.iter().map(|name| (*name).into()).collect(),
        };
        for (index, endpoint) in ENDPOINTS.iter().enumerate() {
            let runs: Vec<&Run> = self
                .runs
                .iter()
                .filter(|run| run.endpoint == index)
                .filter(|run| holder_key(self.routers[run.router].ledger.holder()) == *key)
                .collect();
            // A list is conclusive only once all streams of the holder have ended.
            let is_listing = self.all_endpoints_list || index > 0;
            if is_listing && runs.iter().all(|run| run.has_ended) {
                let charges = runs.into_iter().map(charge_evidence).collect();
                evidence.listed.insert((*endpoint).into(), charges);
            }
        }
        evidence
    }

    /// Ends all faults and lets routers and reclaiming finish.
    fn recover(&mut self) {
        self.has_faults = false;
        self.partitioned.clear();
        for _ in 0..RECOVERY_ROUNDS {
            self.apply_late_write();
            while !self.messages.is_empty() {
                self.deliver_message();
            }
            for index in 0..self.runs.len() {
                if !self.runs[index].is_settled {
                    self.finish_run(index);
                }
            }
            for index in self.current.clone() {
                let router = &mut self.routers[index];
                router.is_paused = false;
                router.has_platform = true;
                self.commit(index);
                self.resend_requests(index);
            }
            for key in self.ended_rows() {
                self.reclaim(&key);
            }
        }
    }

    /// Repeats the pending transfer requests of a router.
    fn resend_requests(&mut self, index: usize) {
        if !self.routers[index].is_running() {
            return;
        }
        for giver in self.current.clone() {
            let giver = self.routers[giver].ledger.holder().clone();
            let router = &mut self.routers[index];
            let receiver = router.ledger.holder().clone();
            if router.ledger.pending_givers().contains(&holder_key(&giver))
                && let Some(request) =
                    router
                        .ledger
                        .request_transfer(&giver, SHARD, &BUDGETS[0].into(), 1, 1)
            {
                self.messages
                    .push(Message::Request(receiver, giver, request));
            }
        }
    }
}

/// Whether a payment id belongs to a top-up, not to a lowering.
fn is_top_up(id: &str) -> bool {
    id.starts_with("raise-")
}

fn charge_evidence(run: &Run) -> ChargeEvidence {
    ChargeEvidence {
        request: run.request.clone(),
        budget: run.budget.clone(),
        tokens: run.tokens,
    }
}
