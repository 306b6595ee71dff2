//! Orders that tell model engines which model to run: placement, fencing numbers, read-back and
//! repair.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::{
    ConfigRecord, ConfigState, EndpointId, HolderId, RecordKind, Tokens, record::EndpointKind,
};

/// Time after the decision during which an order may be sent. Together with a read-back every
/// [`REPAIR_INTERVAL`] or [`REPAIR_INTERVAL_LARGE`], this limits the effect of a stale order to 10 s.
pub const ORDER_VALIDITY: Duration = Duration::from_secs(10);
/// Time between two read-backs of an engine.
pub const REPAIR_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two read-backs of an engine in a large fleet, where read-backs are a relevant part
/// of a router's traffic.
pub const REPAIR_INTERVAL_LARGE: Duration = Duration::from_secs(4);

/// Key of the order row of an endpoint.
pub fn order_key(endpoint: &str) -> String {
    format!("order/{endpoint}")
}

/// Model and version that an engine runs or should run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: SmolStr,
    /// Version of the model.
    pub version: SmolStr,
}

/// Latest order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Engine.
    pub endpoint: EndpointId,
    /// Fencing number; increases with each order to the engine.
    pub number: u64,
    /// What the engine should run.
    pub target: ModelVersion,
    /// Router run that made the decision.
    pub decider: HolderId,
    /// Time after which the order may not be sent, in milliseconds since the Unix epoch.
    pub valid_until_ms: u64,
    /// Why the engine should run it.
    pub reason: SmolStr,
}

/// Order as sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number.
    pub number: u64,
    /// What the engine should run.
    #[serde(flatten)]
    pub target: ModelVersion,
    /// Time after which an engine may reject the order by its clock, in milliseconds since the Unix
    /// epoch.
    pub valid_until_ms: u64,
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Model and version that it runs, if any.
    pub running: Option<ModelVersion>,
    /// Model and version that it is loading, if any.
    #[serde(default)]
    pub loading: Option<ModelVersion>,
    /// Highest fencing number that it accepted; 0 if it ignores fencing numbers.
    pub number: u64,
}

/// Model of an engine's fencing, for stand-ins and simulations.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    honours: bool,
    report: EngineReport,
}

impl FencingGuard {
    /// Creates the guard; an engine that does not honour fencing numbers accepts every order.
    pub fn new(honours: bool) -> Self {
        Self {
            honours,
            report: EngineReport::default(),
        }
    }

    /// Accepts an order; `false` if the engine honours fencing numbers and this one is old.
    pub fn accept(&mut self, order: &EngineOrder) -> bool {
        if self.honours && order.number < self.report.number {
            return false;
        }
        if self.honours {
            self.report.number = order.number;
        }
        self.report.loading = Some(order.target.clone());
        true
    }

    /// Records that a model is loaded, unless a later order replaced it.
    pub fn finish_load(&mut self, target: &ModelVersion) {
        if self.report.loading.as_ref() == Some(target) {
            self.report.running = self.report.loading.take();
        }
    }

    /// Current state of the engine.
    pub fn report(&self) -> &EngineReport {
        &self.report
    }
}

/// Order whose row is committed to the table and that may be sent until its deadline.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    /// Committed row.
    pub row: OrderRow,
    deadline: Instant,
}

impl PendingOrder {
    /// Creates a pending order from the monotonic time at which its decision began.
    pub fn new(row: OrderRow, decided: Instant) -> Self {
        Self {
            row,
            deadline: decided + ORDER_VALIDITY,
        }
    }

    /// Message to send now; `None` after the deadline.
    pub fn message(&self, now: Instant) -> Option<EngineOrder> {
        (now < self.deadline).then(|| EngineOrder {
            number: self.row.number,
            target: self.row.target.clone(),
            valid_until_ms: self.row.valid_until_ms,
        })
    }
}

/// Action after a read-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairStep {
    /// The engine runs or is loading the wanted model, and the latest order, if any, names it.
    Nothing,
    /// There is no order yet, or the latest one names another target: send a new order with the next
    /// number.
    Replace,
    /// The engine does not run the target of the latest order: send it again with the next number.
    Repair,
}

/// Compares the wanted model with the latest order and the engine's report.
pub fn repair_step(
    wanted: &ModelVersion,
    row: Option<&OrderRow>,
    report: &EngineReport,
) -> RepairStep {
    // An engine that is loading a model will replace the one that it still runs.
    let next = report.loading.as_ref().or(report.running.as_ref());
    match row {
        Some(row) if row.target != *wanted => RepairStep::Replace,
        _ if next == Some(wanted) => RepairStep::Nothing,
        None => RepairStep::Replace,
        Some(_) => RepairStep::Repair,
    }
}

/// Model chosen for one engine, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// Model and version.
    pub target: ModelVersion,
    /// Why the engine should run it.
    pub reason: &'static str,
}

/// Input of the placement besides the configuration.
#[derive(Clone, Debug, Default)]
pub struct PlacementInput {
    /// Engines that take orders and that no planned stop covers.
    pub engines: BTreeSet<EndpointId>,
    /// Model that each engine runs or was last ordered to run.
    pub running: BTreeMap<EndpointId, ModelVersion>,
    /// Recent demand for each model, in tokens.
    pub demand: BTreeMap<SmolStr, Tokens>,
}

/// Decides which model each engine should run.
///
/// Each model first gets its minimum number of engines: those that run the wanted version, then those
/// that run another version of it, then idle ones, then those of other models. Remaining engines
/// keep a declared model, because loading another one takes weight-store permits and discards the
/// prefix cache; idle ones take the model with the highest demand per engine. Equal inputs give
/// equal placements on every router.
pub fn place(
    config: &ConfigState,
    input: &PlacementInput,
) -> BTreeMap<EndpointId, PlacementChoice> {
    let models = wanted_models(config);
    let mut plan = BTreeMap::new();
    let mut counts = BTreeMap::<&SmolStr, u32>::new();
    // All models are served at one rank before the next, so that a model keeps its own engines.
    for (rank, reason) in REASONS.into_iter().enumerate() {
        for (target, replicas) in &models {
            for engine in eligible(config, input, &target.model) {
                let count = counts.entry(&target.model).or_default();
                if *count >= *replicas {
                    break;
                }
                let running = input.running.get(engine);
                if plan.contains_key(engine) || engine_rank(target, running, &models) != rank {
                    continue;
                }
                *count += 1;
                plan.insert(engine.clone(), choice(target, reason));
            }
        }
    }
    for engine in &input.engines {
        if plan.contains_key(engine) {
            continue;
        }
        let Some((target, reason)) = assign_spare(config, input, engine, &models, &counts) else {
            continue;
        };
        *counts.entry(&target.model).or_default() += 1;
        plan.insert(engine.clone(), choice(target, reason));
    }
    plan
}

/// Reasons for the minimum number of engines, by rank.
const REASONS: [&str; 4] = [
    "runs the wanted version",
    "runs another version of the model",
    "runs no declared model",
    "another model has engines to spare",
];

fn choice(target: &ModelVersion, reason: &'static str) -> PlacementChoice {
    PlacementChoice {
        target: target.clone(),
        reason,
    }
}

fn wanted_models(config: &ConfigState) -> Vec<(ModelVersion, u32)> {
    let model = |record: &ConfigRecord| match record {
        ConfigRecord::Model(model) => {
            let target = ModelVersion {
                model: model.name.clone(),
                version: model.version.clone(),
            };
            Some((target, model.replicas))
        }
        _ => None,
    };
    config
        .of_kind(RecordKind::Model)
        .filter_map(model)
        .collect()
}

/// Engines that may run a model: those of its route, or all without a route.
fn eligible<'a>(
    config: &'a ConfigState,
    input: &'a PlacementInput,
    model: &'a SmolStr,
) -> impl Iterator<Item = &'a EndpointId> {
    let route = match config.get(RecordKind::Route, model) {
        Some(ConfigRecord::Route(route)) => Some(&route.endpoints),
        _ => None,
    };
    input
        .engines
        .iter()
        .filter(move |name| route.is_none_or(|route| route.contains(*name)))
}

fn engine_rank(
    target: &ModelVersion,
    running: Option<&ModelVersion>,
    models: &[(ModelVersion, u32)],
) -> usize {
    match running {
        Some(running) if running == target => 0,
        Some(running) if running.model == target.model => 1,
        Some(running) if models.iter().any(|(other, _)| other.model == running.model) => 3,
        _ => 2,
    }
}

fn assign_spare<'a>(
    config: &ConfigState,
    input: &PlacementInput,
    engine: &EndpointId,
    models: &'a [(ModelVersion, u32)],
    counts: &BTreeMap<&SmolStr, u32>,
) -> Option<(&'a ModelVersion, &'static str)> {
    let allowed =
        |target: &ModelVersion| eligible(config, input, &target.model).any(|name| name == engine);
    let running = input.running.get(engine);
    let kept = models.iter().find(|(target, _)| {
        allowed(target) && running.is_some_and(|running| running.model == target.model)
    });
    if let Some((target, _)) = kept {
        return Some((target, "keeps its model, whose cache is warm"));
    }
    let relative_demand = |target: &ModelVersion| {
        let demand = input.demand.get(&target.model).copied().unwrap_or_default();
        demand
            / u64::from(
                counts
                    .get(&target.model)
                    .copied()
                    .unwrap_or_default()
                    .max(1),
            )
    };
    let targets = models.iter().map(|(target, _)| target);
    let target = targets
        .filter(|target| allowed(target))
        .max_by_key(|target| relative_demand(target))?;
    (relative_demand(target) > 0).then_some((target, "most demand an engine"))
}

/// Whether an endpoint record takes orders.
pub fn takes_orders(record: &ConfigRecord) -> bool {
    matches!(record, ConfigRecord::Endpoint(endpoint)
        if endpoint.runs == EndpointKind::ModelEngine && !endpoint.leaving)
}
