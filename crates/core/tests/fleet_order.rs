//! Guards against stale orders that remain in effect, and against placements that differ from the
//! configuration or reload engines unnecessarily.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        ConfigState, EndpointId, HolderId,
        order::{
            EngineOrder, FencingGuard, ModelVersion, ORDER_VALIDITY, OrderRow, PendingOrder,
            PlacementInput, REPAIR_INTERVAL_LARGE, RepairStep, place, repair_step, takes_orders,
        },
        record,
        revision::{ConfigChange, ConfigDelta},
    },
    quickcheck::QuickCheck,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const SCHEDULES: u64 = 10_000;
/// Maximum time that a stale order may remain in effect on an engine that ignores fencing numbers;
/// see design.md section 2.
const STALE_BOUND: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(100);
const DECIDERS: usize = 3;

fn target(version: u64) -> ModelVersion {
    ModelVersion {
        model: "glass-7b".into(),
        version: format!("{version}").into(),
    }
}

#[derive(Default)]
struct Decider {
    paused_until: u64,
    next_round: u64,
    /// Committed order that is not yet sent, possibly because of a pause.
    pending: Option<PendingOrder>,
    /// Wanted version that this decider knows; others may know a newer one.
    wanted: u64,
    read_back: Option<(u64, Option<OrderRow>)>,
}

struct OrderSchedule {
    rng: ChaCha8Rng,
    start: Instant,
    tick: u64,
    row: Option<OrderRow>,
    row_version: u64,
    engine: FencingGuard,
    honours: bool,
    wanted: u64,
    deciders: Vec<Decider>,
    in_flight: Vec<(u64, EngineOrder)>,
    faults_enabled: bool,
    stale_since: Option<u64>,
    max_stale: u64,
    highest_accepted: u64,
}

impl OrderSchedule {
    fn new(seed: u64, honours: bool) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            tick: 0,
            row: None,
            row_version: 0,
            engine: FencingGuard::new(honours),
            honours,
            wanted: 1,
            deciders: (0..DECIDERS).map(|_| Decider::default()).collect(),
            in_flight: Vec::new(),
            faults_enabled: true,
            stale_since: None,
            max_stale: 0,
            highest_accepted: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + TICK * u32::try_from(self.tick).unwrap()
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick += 1;
            if self.faults_enabled && self.rng.random_ratio(1, 100) {
                self.wanted += 1;
            }
            for index in 0..DECIDERS {
                self.inject_faults(index);
                self.act(index);
            }
            self.deliver();
            self.measure();
        }
    }

    /// Pauses a decider for up to 30 s and delays its configuration updates. Decider 0 is never paused,
    /// since repair needs one running owner.
    fn inject_faults(&mut self, index: usize) {
        let newest = self.wanted;
        let learns = index == 0 || !self.faults_enabled || self.rng.random_ratio(1, 20);
        let pauses = index != 0 && self.faults_enabled && self.rng.random_ratio(1, 50);
        let pause = self.rng.random_range(0..300);
        let decider = &mut self.deciders[index];
        if learns {
            decider.wanted = newest;
        }
        if pauses {
            decider.paused_until = self.tick + pause;
        }
    }

    fn act(&mut self, index: usize) {
        let now = self.now();
        let mut decider = std::mem::take(&mut self.deciders[index]);
        if decider.paused_until <= self.tick {
            if let Some(pending) = decider.pending.take() {
                if let Some(order) = pending.message(now) {
                    // After the deadline check, the process or the network may still delay the message.
                    let longest = if self.faults_enabled { 150 } else { 2 };
                    let wait = self.rng.random_range(0..longest);
                    self.in_flight.push((self.tick + wait, order));
                }
            } else if let Some((version, row)) = decider.read_back.take() {
                decider.pending = self.decide(index, decider.wanted, version, row);
            } else if decider.next_round <= self.tick {
                let interval = REPAIR_INTERVAL_LARGE.as_millis() / TICK.as_millis();
                decider.next_round = self.tick + u64::try_from(interval).unwrap();
                decider.read_back = Some((self.row_version, self.row.clone()));
            }
        }
        self.deciders[index] = decider;
    }

    fn decide(
        &mut self,
        index: usize,
        wanted: u64,
        version: u64,
        row: Option<OrderRow>,
    ) -> Option<PendingOrder> {
        let wanted = target(wanted);
        // The last decision wins; a decider with an older configuration does not send an order.
        let row_version_of = |row: &OrderRow| row.target.version.parse::<u64>().unwrap();
        let ahead = row
            .as_ref()
            .is_some_and(|row| row_version_of(row) > version_of(&wanted));
        if ahead || repair_step(&wanted, row.as_ref(), self.engine.report()) == RepairStep::Nothing
        {
            return None;
        }
        if version != self.row_version {
            return None;
        }
        let next = OrderRow {
            endpoint: "engine".into(),
            number: row.map_or(0, |row| row.number) + 1,
            target: wanted,
            decider: HolderId::new(format!("vm-{index}"), 1),
            valid_until_ms: 0,
            reason: "test".into(),
        };
        self.row = Some(next.clone());
        self.row_version += 1;
        Some(PendingOrder::new(next, self.now()))
    }

    fn deliver(&mut self) {
        let tick = self.tick;
        let (due, later) = self.in_flight.drain(..).partition(|(at, _)| *at <= tick);
        self.in_flight = later;
        let due: Vec<(u64, EngineOrder)> = due;
        for (_, order) in due {
            let taken = self.engine.accept(&order);
            self.engine.finish_load(&order.target);
            if self.honours {
                assert_eq!(taken, order.number >= self.highest_accepted);
            }
            if taken {
                let stale = order.number < self.highest_accepted;
                assert!(
                    !(stale && self.honours),
                    "an order with an old fencing number took effect"
                );
                self.highest_accepted = self.highest_accepted.max(order.number);
            }
        }
    }

    /// Measures how long the engine runs the target of an older order after a newer one took effect.
    fn measure(&mut self) {
        let running = self.engine.report().running.clone();
        let latest = self.row.as_ref().map(|row| &row.target);
        let was_in_effect = self
            .row
            .as_ref()
            .is_some_and(|row| row.number <= self.highest_accepted);
        if was_in_effect && running.as_ref() != latest {
            let since = *self.stale_since.get_or_insert(self.tick);
            self.max_stale = self.max_stale.max(self.tick - since);
        } else {
            self.stale_since = None;
        }
    }

    /// Ends the faults; the engine must run the wanted target within the bound and keep running it.
    fn converges(&mut self) -> bool {
        self.faults_enabled = false;
        for decider in &mut self.deciders {
            decider.paused_until = 0;
        }
        // Orders in flight arrive within 15 s, and a repair follows within two read-backs.
        self.run(150);
        self.run(u64::try_from(STALE_BOUND.as_millis() / TICK.as_millis()).unwrap());
        (0..50).all(|_| {
            self.run(1);
            self.engine.report().running == Some(target(self.wanted))
                && self.row.as_ref().map(|row| &row.target) == Some(&target(self.wanted))
        })
    }
}

fn version_of(target: &ModelVersion) -> u64 {
    target.version.parse().unwrap()
}

fn schedule(seed: u64, honours: bool) -> bool {
    let mut schedule = OrderSchedule::new(seed, honours);
    schedule.run(300);
    let bound = STALE_BOUND.as_millis() / TICK.as_millis();
    schedule.converges() && (honours || u128::from(schedule.max_stale) <= bound)
}

#[test]
fn stale_orders_are_repaired_and_fenced() {
    QuickCheck::new()
        .tests(SCHEDULES)
        .quickcheck(schedule as fn(u64, bool) -> bool);
}

/// Guards against a decider that resumes after a pause and sends an outdated decision.
#[test]
fn paused_decider_does_not_send_after_the_deadline() {
    let decided = Instant::now();
    let row = OrderRow {
        endpoint: "engine".into(),
        number: 1,
        target: target(1),
        decider: HolderId::new("vm-1", 1),
        valid_until_ms: 0,
        reason: "test".into(),
    };
    let pending = PendingOrder::new(row, decided);
    assert!(pending.message(decided + ORDER_VALIDITY - TICK).is_some());
    assert!(pending.message(decided + ORDER_VALIDITY).is_none());
}

fn config(text: &str) -> ConfigState {
    let engine = |name| {
        format!(
            "[[endpoint]]\nname = \"{name}\"\nruns = \"model_engine\"\naddress = \"10.0.0.1:1\"\n\
             failure_domain = \"a\"\n"
        )
    };
    let engines: String = ["e1", "e2", "e3", "e4"].map(engine).concat();
    let records = record::from_str(&format!("schema = 2\n{engines}{text}")).unwrap();
    let mut config = ConfigState::default();
    let changes = records.into_iter().map(ConfigChange::Put).collect();
    config
        .apply(&ConfigDelta {
            revision: 1,
            schema: 2,
            changes,
        })
        .unwrap();
    config
}

fn plan(config: &ConfigState, running: &[(&str, &str, &str)], demand: &[(&str, u64)]) -> String {
    let engines = config.records().filter(|record| takes_orders(record));
    let running = running.iter().map(|(engine, model, version)| {
        let target = ModelVersion {
            model: (*model).into(),
            version: (*version).into(),
        };
        (EndpointId::from(*engine), target)
    });
    let input = PlacementInput {
        engines: engines.map(|record| record.name().clone()).collect(),
        running: running.collect(),
        demand: demand
            .iter()
            .map(|(model, tokens)| ((*model).into(), *tokens))
            .collect(),
    };
    let plan: BTreeMap<_, _> = place(config, &input);
    let line = |(engine, choice): (&EndpointId, &jasminewall_core::order::PlacementChoice)| {
        format!(
            "{engine} {} {}: {}\n",
            choice.target.model, choice.target.version, choice.reason
        )
    };
    plan.iter().map(line).collect()
}

const MODELS: &str = "[[model]]\nname = \"big\"\nversion = \"2\"\nreplicas = 2\n\
     [[model]]\nname = \"small\"\nversion = \"1\"\nreplicas = 1\n";

/// Guards against unnecessary loads, which take a weight-store permit and discard a warm cache.
#[test]
fn placement_keeps_what_runs() {
    let running = [
        ("e1", "small", "1"),
        ("e2", "big", "1"),
        ("e3", "small", "1"),
    ];
    assert_eq!(
        plan(&config(MODELS), &running, &[]),
        "e1 small 1: runs the wanted version\n\
         e2 big 2: runs another version of the model\n\
         e3 small 1: keeps its model, whose cache is warm\n\
         e4 big 2: runs no declared model\n"
    );
}

#[test]
fn spare_engines_follow_demand_and_routes_limit_engines() {
    let route = "[[route]]\nname = \"big\"\nendpoints = [\"e3\", \"e4\"]\n";
    let demand = [("small", 10), ("big", 30)];
    assert_eq!(
        plan(&config(&format!("{MODELS}{route}")), &[], &demand),
        "e1 small 1: runs no declared model\n\
         e2 small 1: most demand an engine\n\
         e3 big 2: runs no declared model\n\
         e4 big 2: runs no declared model\n"
    );
}
