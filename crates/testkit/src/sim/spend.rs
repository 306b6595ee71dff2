//! Random schedules over the budget accounting of a few routers that share one shard.
//!
//! Every write can be refused, lost before or after it took effect, or arrive late; every message
//! between routers can be lost, late or duplicated; routers pause, die, restart and stop.

use std::collections::{BTreeMap, BTreeSet};

use {
    jasminewall_core::{
        BudgetId, GrantLedger, HolderId, RequestId, Tokens,
        budget::{GrantRow, HolderKey, PoolEntry, PoolRow, can_fold, fold, holder_key},
        commit::{GrantMove, ShardCommit},
        ledger::PendingTransfer,
        segment::{ChargeLine, SegmentRecord},
        settle::{ChargeEvidence, SettlementEvidence, settle_row},
    },
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    smol_str::SmolStr,
};

mod check;

/// Budgets of the simulated shard.
const BUDGETS: [&str; 2] = ["glass", "lead"];
/// Endpoints that run requests.
const ENDPOINTS: [&str; 3] = ["engine-1", "engine-2", "engine-3"];
/// VMs, each with at most one running router.
const VMS: usize = 4;
/// Tokens of each top-up.
const RAISE: Tokens = 100;
/// Tokens that each lowering asks back.
const LOWER: Tokens = 150;
/// Rounds in which the platform and all messages work, after the random steps.
const QUIET_ROUNDS: usize = 40;

/// Events that happened in a schedule, to show that the faults were exercised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScheduleCounts {
    /// Requests that got a hold.
    pub requests: u64,
    /// Writes whose response was lost after they took effect.
    pub lost_responses: u64,
    /// Writes that arrived late.
    pub late_writes: u64,
    /// Tokens moved by transfers between routers.
    pub transferred: Tokens,
    /// Routers that died.
    pub crashes: u64,
    /// Rows of dead or stopped routers that were folded into the pool.
    pub folds: u64,
    /// Tokens charged by settlement of dead routers.
    pub settled: Tokens,
    /// Tokens left unresolved at the end.
    pub unresolved: Tokens,
}

type Versioned<T> = (u64, T);

/// Writes of one transaction: the pool row and one grant row, each with its expected version.
#[derive(Clone)]
struct TableWrite {
    pool: Option<Versioned<PoolRow>>,
    grant: Option<(HolderKey, u64, Option<GrantRow>)>,
}

struct Table {
    pool: Versioned<PoolRow>,
    grants: BTreeMap<HolderKey, Versioned<GrantRow>>,
    next: u64,
    finished: Vec<GrantRow>,
}

impl Table {
    fn apply(&mut self, write: &TableWrite) -> bool {
        let pool_ok = write
            .pool
            .as_ref()
            .is_none_or(|(version, _)| *version == self.pool.0);
        let grant_ok = write.grant.as_ref().is_none_or(|(key, version, _)| {
            self.grants.get(key).map_or(0, |(stored, _)| *stored) == *version
        });
        if !pool_ok || !grant_ok {
            return false;
        }
        self.next += 1;
        if let Some((_, pool)) = &write.pool {
            self.pool = (self.next, pool.clone());
        }
        match &write.grant {
            Some((key, _, Some(row))) => {
                self.grants.insert(key.clone(), (self.next, row.clone()));
            }
            Some((key, _, None)) => {
                self.finished
                    .extend(self.grants.remove(key).map(|(_, row)| row));
            }
            None => {}
        }
        true
    }
}

struct Router {
    ledger: GrantLedger,
    commit: ShardCommit,
    lines: Vec<ChargeLine>,
    segment_stored: bool,
    is_alive: bool,
    is_paused: bool,
    is_stopping: bool,
    has_platform: bool,
}

impl Router {
    fn new(holder: &HolderId) -> Self {
        Self {
            ledger: GrantLedger::new(holder.clone()),
            commit: ShardCommit::new(0, holder.clone()),
            lines: Vec::new(),
            segment_stored: false,
            is_alive: true,
            is_paused: false,
            is_stopping: false,
            has_platform: true,
        }
    }

    fn runs(&self) -> bool {
        self.is_alive && !self.is_paused
    }
}

/// One request at an endpoint, as it really happened.
struct Run {
    request: RequestId,
    budget: BudgetId,
    router: usize,
    endpoint: usize,
    tokens: Tokens,
    has_ended: bool,
    is_settled: bool,
}

#[derive(Clone)]
enum Message {
    Ask(HolderId, HolderId, PendingTransfer),
    Reply(HolderId, HolderId, u64, Tokens),
}

/// One random schedule.
pub struct SpendSchedule {
    rng: ChaCha8Rng,
    table: Table,
    segments: BTreeMap<(HolderKey, u64), SegmentRecord>,
    resumed: BTreeMap<HolderKey, Vec<ChargeEvidence>>,
    late: Vec<TableWrite>,
    routers: Vec<Router>,
    on_vm: Vec<usize>,
    runs: Vec<Run>,
    messages: Vec<Message>,
    partitioned: BTreeSet<(usize, usize)>,
    all_list: bool,
    faults: bool,
    counts: ScheduleCounts,
    charged_before: BTreeMap<BudgetId, Tokens>,
    first_paid: BTreeMap<BudgetId, Tokens>,
}

impl SpendSchedule {
    /// Runs a schedule and checks its invariants after each step.
    ///
    /// # Errors
    ///
    /// The invariant that was broken, with the step.
    pub fn run(seed: u64, steps: usize) -> Result<ScheduleCounts, String> {
        let mut schedule = Self::new(seed);
        for step in 0..steps {
            schedule.step();
            schedule
                .check_step()
                .and_then(|()| schedule.check_allowances())
                .map_err(|broken| format!("seed {seed}, step {step}: {broken}"))?;
        }
        schedule.calm();
        schedule
            .check_step()
            .and_then(|()| schedule.check_end())
            .map_err(|broken| format!("seed {seed}, end: {broken}"))?;
        Ok(schedule.counts)
    }

    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut pool = PoolRow::default();
        for budget in BUDGETS {
            let entry = pool.budgets.entry(budget.into()).or_default();
            entry.top_up(&"first".into(), rng.random_range(200..1_500));
        }
        let paid = |(name, entry): (&BudgetId, &PoolEntry)| (name.clone(), entry.prepaid);
        let first_paid = pool.budgets.iter().map(paid).collect();
        let holder = |vm: usize| HolderId::new(format!("vm-{vm}"), vm as u64);
        let all_list = rng.random_bool(0.8);
        Self {
            rng,
            table: Table {
                pool: (1, pool),
                grants: BTreeMap::new(),
                next: 1,
                finished: Vec::new(),
            },
            segments: BTreeMap::new(),
            resumed: BTreeMap::new(),
            late: Vec::new(),
            routers: (0..VMS).map(|vm| Router::new(&holder(vm))).collect(),
            on_vm: (0..VMS).collect(),
            runs: Vec::new(),
            messages: Vec::new(),
            partitioned: BTreeSet::new(),
            all_list,
            faults: true,
            counts: ScheduleCounts::default(),
            charged_before: BTreeMap::new(),
            first_paid,
        }
    }

    fn step(&mut self) {
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..100) {
            0..30 => self.arrive(vm),
            30..44 => self.finish(),
            44..60 => self.commit(self.on_vm[vm]),
            60..66 => self.ask(vm),
            66..78 => self.deliver(),
            78..81 => self.land_late(),
            81..84 => self.toggle_pause(vm),
            84..88 => self.toggle_partition(vm),
            88..89 => self.die(vm),
            89..92 => self.restart(vm),
            92..93 => self.routers[self.on_vm[vm]].is_stopping = true,
            93..95 => self.top_up(),
            _ => self.reclaim_any(),
        }
    }

    fn arrive(&mut self, vm: usize) {
        let index = self.on_vm[vm];
        let budget: BudgetId = BUDGETS[self.rng.random_range(0..BUDGETS.len())].into();
        let amount = self.rng.random_range(1..80);
        let router = &mut self.routers[index];
        if !router.runs() || router.is_stopping {
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

    fn finish(&mut self) {
        let open: Vec<usize> = (0..self.runs.len())
            .filter(|index| !self.runs[*index].is_settled)
            .collect();
        if let Some(index) = open.choose(&mut self.rng) {
            self.finish_run(*index);
        }
    }

    fn finish_run(&mut self, index: usize) {
        let resumes = self.rng.random_bool(0.3);
        let run = &mut self.runs[index];
        run.has_ended = true;
        let router = &mut self.routers[run.router];
        if router.runs() {
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
        } else if !router.is_alive && resumes {
            // A caller resumed the stream through another router, which wrote the evidence object.
            let key = holder_key(router.ledger.holder());
            let charges = self.resumed.entry(key).or_default();
            if !charges.iter().any(|charge| charge.request == run.request) {
                charges.push(evidence_of(run));
            }
        }
    }

    /// Sends a write; `None` when its outcome is not known to the sender.
    fn write(&mut self, write: TableWrite) -> Option<bool> {
        let fate = if self.faults {
            self.rng.random_range(0..100)
        } else {
            99
        };
        match fate {
            0..5 => None,
            5..10 => {
                self.late.push(write);
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

    fn land_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.late.len());
        let write = self.late.swap_remove(index);
        if self.table.apply(&write) {
            self.counts.late_writes += 1;
        }
    }

    fn refill(&mut self, index: usize, budget: &BudgetId, amount: Tokens) {
        if !self.can_commit(index) || self.routers[index].commit.plan().is_some() {
            self.send(index);
            return;
        }
        let tokens = amount + self.rng.random_range(0..100);
        let moves = [GrantMove::Take(budget.clone(), tokens)];
        self.build(index, &moves, false);
        self.send(index);
    }

    fn can_commit(&self, index: usize) -> bool {
        let router = &self.routers[index];
        router.runs() && router.has_platform && !router.ledger.is_closed()
    }

    fn build(&mut self, index: usize, moves: &[GrantMove], stored: bool) {
        let pool = (self.table.pool.1.clone(), self.table.pool.0);
        let pool = (!moves.is_empty()).then_some(pool);
        let router = &mut self.routers[index];
        router
            .commit
            .build(&mut router.ledger, |_| true, pool, moves, stored);
    }

    /// Sends the plan of a router and resolves it by reading back.
    fn send(&mut self, index: usize) {
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
        if self.faults && self.rng.random_bool(0.1) {
            return;
        }
        let stored = self.table.grants.get(&key);
        let version = stored.map_or(0, |(version, _)| *version);
        let row = stored.map(|(version, row)| (*version, row));
        let state = plan.classify(row, Some(self.table.pool.0));
        let router = &mut self.routers[index];
        let seq = router.commit.row().seq;
        router.commit.resolve(&mut router.ledger, state, version);
        router.segment_stored &= router.commit.row().seq == seq;
    }

    fn commit(&mut self, index: usize) {
        if !self.can_commit(index) {
            return;
        }
        if self.routers[index].commit.plan().is_some() {
            self.send(index);
            return;
        }
        let put = !self.faults || self.rng.random_bool(0.8);
        let rows = self.table.grants.keys().cloned().collect();
        let router = &mut self.routers[index];
        let closed = router.ledger.closed_peers();
        router
            .commit
            .set_closed_peers(closed.intersection(&rows).cloned().collect());
        let router = &mut self.routers[index];
        router.commit.seal_segment(&mut router.lines, Vec::new());
        if let (true, Some(segment)) = (put, router.commit.segment()) {
            let key = (holder_key(&segment.holder), segment.seq);
            self.segments.entry(key).or_insert_with(|| segment.clone());
            router.segment_stored = true;
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
        } else if self.faults && self.rng.random_bool(0.3) {
            vec![GrantMove::Return(budget, self.rng.random_range(0..200))]
        } else {
            Vec::new()
        };
        let router = &self.routers[index];
        let has_work = !moves.is_empty()
            || router.segment_stored
            || router.commit.has_transfers(&router.ledger, |_| true);
        if has_work {
            let stored = router.segment_stored;
            self.build(index, &moves, stored);
            self.send(index);
        }
    }

    /// Closes the row of a stopping router once nothing of its account is open.
    fn close_stopped(&mut self, index: usize) -> bool {
        let router = &mut self.routers[index];
        let row = router.commit.row();
        let has_open = router.ledger.holds().next().is_some()
            || router.commit.segment().is_some()
            || !router.lines.is_empty()
            || row.accounts.values().any(|account| account.balance() > 0)
            || router.commit.has_transfers(&router.ledger, |_| true);
        if has_open || row.step == 0 {
            return false;
        }
        let open = router.ledger.pending_givers();
        router.ledger.close();
        let others = self.table.grants.keys().filter(|key| !open.contains(*key));
        let plan = router
            .commit
            .build_close(others.cloned().collect::<Vec<_>>());
        let key = holder_key(&plan.row.holder);
        let write = TableWrite {
            pool: None,
            grant: Some((key, plan.row_version, Some(plan.row))),
        };
        // A stopped router that cannot close its row leaves it to the reclaimer.
        router.is_alive = false;
        self.write(write);
        true
    }

    fn ask(&mut self, vm: usize) {
        let giver_vm = self.rng.random_range(0..VMS);
        let (index, giver) = (self.on_vm[vm], self.on_vm[giver_vm]);
        let giver = self.routers[giver].ledger.holder().clone();
        let budget: BudgetId = BUDGETS[self.rng.random_range(0..BUDGETS.len())].into();
        let wanted = self.rng.random_range(1..120);
        let router = &mut self.routers[index];
        // Without a row in the table, the reclaimer of the giver would not know of this receiver.
        if vm == giver_vm || !router.runs() || router.is_stopping || router.commit.version() == 0 {
            return;
        }
        if let Some(ask) = router.ledger.request_transfer(&giver, &budget, 1, wanted) {
            let receiver = router.ledger.holder().clone();
            self.messages.push(Message::Ask(receiver, giver, ask));
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = match self.rng.random_range(0..100) {
            0..10 if self.faults => {
                self.messages.swap_remove(index);
                return;
            }
            10..30 if self.faults => self.messages[index].clone(),
            _ => self.messages.swap_remove(index),
        };
        match message {
            Message::Ask(receiver, giver, ask) => {
                let Some(index) = self.reach(&receiver, &giver) else {
                    return;
                };
                let ledger = &mut self.routers[index].ledger;
                let tokens = ledger.give(&giver, &receiver, &ask, 0);
                self.messages
                    .push(Message::Reply(receiver, giver, ask.number, tokens));
            }
            Message::Reply(receiver, giver, number, tokens) => {
                let Some(index) = self.reach(&giver, &receiver) else {
                    return;
                };
                if self.routers[index]
                    .ledger
                    .receive(&receiver, &giver, number, tokens)
                {
                    self.counts.transferred += tokens;
                }
            }
        }
    }

    /// Router that now runs on the VM of a message's target, which may be a later run.
    fn reach(&self, from: &HolderId, to: &HolderId) -> Option<usize> {
        let vm = |holder: &HolderId| holder.boot as usize % VMS;
        let index = self.on_vm[vm(to)];
        let blocked = self.partitioned.contains(&(vm(from), vm(to)));
        (!blocked && self.routers[index].runs()).then_some(index)
    }

    /// Faults begin less often than they end, so that most routers work most of the time.
    fn begins_fault(&mut self) -> bool {
        self.rng.random_bool(0.3)
    }

    fn toggle_pause(&mut self, vm: usize) {
        let begins = self.begins_fault();
        let router = &mut self.routers[self.on_vm[vm]];
        router.is_paused = !router.is_paused && begins;
    }

    fn toggle_partition(&mut self, vm: usize) {
        let other = self.rng.random_range(0..VMS);
        let begins = self.begins_fault();
        if other == vm {
            let router = &mut self.routers[self.on_vm[vm]];
            router.has_platform = !router.has_platform || !begins;
        } else if !self.partitioned.remove(&(vm, other)) && begins {
            self.partitioned.insert((vm, other));
        }
    }

    fn die(&mut self, vm: usize) {
        let router = &mut self.routers[self.on_vm[vm]];
        if router.is_alive {
            router.is_alive = false;
            self.counts.crashes += 1;
        }
    }

    fn restart(&mut self, vm: usize) {
        if self.routers[self.on_vm[vm]].is_alive {
            return;
        }
        let index = self.routers.len();
        // The remainder of the boot number by the number of VMs is the VM.
        let boot = (index * VMS + vm) as u64;
        self.routers
            .push(Router::new(&HolderId::new(format!("vm-{vm}"), boot)));
        self.on_vm[vm] = index;
    }

    /// Two operators change the pool from the same version, and one repeats its change.
    fn top_up(&mut self) {
        let budget: BudgetId = BUDGETS[self.rng.random_range(0..BUDGETS.len())].into();
        let (version, pool) = self.table.pool.clone();
        let first = self.rng.random_range(0..20);
        for id in [first, first + 1, first] {
            let mut pool = pool.clone();
            if let Some(entry) = pool.budgets.get_mut(&budget) {
                let id: SmolStr =
                    format!("{}{id}", if id % 4 == 3 { "lower-" } else { "raise-" }).into();
                if is_raise(&id) {
                    entry.top_up(&id, RAISE);
                } else {
                    entry.lower(&id, LOWER);
                }
            }
            self.write(TableWrite {
                pool: Some((version, pool)),
                grant: None,
            });
        }
    }

    fn reclaim_any(&mut self) {
        let keys: Vec<HolderKey> = self.dead_rows();
        if let Some(key) = keys.choose(&mut self.rng).cloned() {
            self.reclaim(&key);
        }
    }

    fn dead_rows(&self) -> Vec<HolderKey> {
        let dead = self.routers.iter().filter(|router| !router.is_alive);
        dead.map(|router| holder_key(router.ledger.holder()))
            .filter(|key| self.table.grants.contains_key(key))
            .collect()
    }

    /// One attempt at each stage of reclaiming: close, ask peers, settle, fold.
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
        for index in self.on_vm.clone() {
            let is_reached = !self.faults || self.rng.random_bool(0.7);
            if is_reached && self.routers[index].runs() {
                self.routers[index].ledger.close_peer(&row.holder);
            }
        }
        let others: Vec<GrantRow> = self
            .table
            .grants
            .iter()
            .filter(|(other, _)| *other != key)
            .map(|(_, (_, row))| row.clone())
            .collect();
        let (pool_version, mut pool) = self.table.pool.clone();
        let mut next = row.clone();
        let outcome = settle_row(&mut pool, &mut next, &others, &self.evidence(key));
        let folds = can_fold(&next, &others);
        if folds {
            fold(&mut pool, &next);
        }
        // The row is stored once more before it is deleted, so that the check sees its last state.
        if next == row && !folds && pool == self.table.pool.1 {
            return;
        }
        let grant = if folds && next == row {
            None
        } else {
            pool = self.table.pool.1.clone();
            next = row.clone();
            settle_row(&mut pool, &mut next, &others, &self.evidence(key));
            Some(next)
        };
        let deletes = grant.is_none();
        let written = self.write(TableWrite {
            pool: Some((pool_version, pool)),
            grant: Some((key.clone(), version, grant)),
        });
        if written == Some(true) {
            self.counts.folds += u64::from(deletes);
            self.counts.settled += outcome.charged.values().sum::<Tokens>();
        }
    }

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
            // A list with a stream that still runs says nothing final.
            let lists = self.all_list || index > 0;
            if lists && runs.iter().all(|run| run.has_ended) {
                let charges = runs.into_iter().map(evidence_of).collect();
                evidence.listed.insert((*endpoint).into(), charges);
            }
        }
        evidence
    }

    /// Heals everything and lets routers and reclaimer finish.
    fn calm(&mut self) {
        self.faults = false;
        self.partitioned.clear();
        for _ in 0..QUIET_ROUNDS {
            self.land_late();
            while !self.messages.is_empty() {
                self.deliver();
            }
            for index in 0..self.runs.len() {
                if !self.runs[index].is_settled {
                    self.finish_run(index);
                }
            }
            for index in self.on_vm.clone() {
                let router = &mut self.routers[index];
                router.is_paused = false;
                router.has_platform = true;
                self.commit(index);
                self.resend_asks(index);
            }
            for key in self.dead_rows() {
                self.reclaim(&key);
            }
        }
    }

    fn resend_asks(&mut self, index: usize) {
        if !self.routers[index].runs() {
            return;
        }
        for giver in self.on_vm.clone() {
            let giver = self.routers[giver].ledger.holder().clone();
            let router = &mut self.routers[index];
            let receiver = router.ledger.holder().clone();
            if router.ledger.pending_givers().contains(&holder_key(&giver))
                && let Some(ask) = router
                    .ledger
                    .request_transfer(&giver, &BUDGETS[0].into(), 1, 1)
            {
                self.messages.push(Message::Ask(receiver, giver, ask));
            }
        }
    }
}

/// Whether the id of a payment is that of a top-up and not of a lowering.
fn is_raise(id: &str) -> bool {
    id.starts_with("raise-")
}

fn evidence_of(run: &Run) -> ChargeEvidence {
    ChargeEvidence {
        request: run.request.clone(),
        budget: run.budget.clone(),
        tokens: run.tokens,
    }
}
