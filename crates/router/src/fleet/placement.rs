//! Places models on engines: numbers orders, sends them, reads back what the engines run and
//! repairs deviations.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use {
    axum::{body::Body, http::Request},
    futures_util::future::join_all,
    http_body_util::{BodyExt, Limited},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jasminewall_core::{
        ConfigRecord, ConfigState, EndpointId, RecordKind,
        member::owner_of,
        order::{
            EngineOrder, EngineReport, ModelVersion, ORDER_VALIDITY, OrderRow, PendingOrder,
            PlacementChoice, PlacementInput, RepairStep, order_key, place, repair_step,
            takes_orders,
        },
        record::EndpointRecord,
    },
    jasminewall_ports::{RowWrite, TransactOutcome},
    tokio::time::timeout,
};

use super::{FleetIntervals, PLATFORM_TIMEOUT, accepts_work, sleep_jittered};
use crate::state::RouterState;

/// Path of the order interface of an engine.
const ORDER_PATH: &str = "/jasminewall/order";
/// Timeout for an order to an engine and for a read-back.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest response of an engine to an order or a read-back.
const RESPONSE_LIMIT_BYTES: usize = 64 << 10;
/// Key prefix of all order rows.
const ORDER_PREFIX: &str = "order/";

/// Order rows as last read, with their versions.
#[derive(Default)]
struct OrderCache {
    rows: BTreeMap<EndpointId, (u64, OrderRow)>,
    read_at: Option<Instant>,
}

/// Places models on the engines that this router owns.
struct PlacementWorker {
    state: Arc<RouterState>,
    client: Client<HttpConnector, Body>,
    orders: OrderCache,
}

/// Places models until the router stops.
pub(super) async fn run(state: Arc<RouterState>) {
    let mut worker = PlacementWorker {
        client: Client::builder(TokioExecutor::new()).build_http(),
        orders: OrderCache::default(),
        state: state.clone(),
    };
    while sleep_jittered(&state, FleetIntervals::current(&state).read_back).await {
        if !state.fleet.is_ready() || state.fleet.is_leaving() {
            continue;
        }
        if let Err(error) = worker.run_round().await {
            tracing::warn!(%error, "placement round failed; retried in the next round");
        }
    }
}

impl PlacementWorker {
    /// Computes the placement and reconciles the owned engines with it.
    async fn run_round(&mut self) -> anyhow::Result<()> {
        let config = self.state.fleet.config();
        if config.of_kind(RecordKind::Model).next().is_none() {
            return Ok(());
        }
        self.read_rows().await?;
        let engines = eligible_engines(&self.state, &config);
        let owned_engines = self.owned_engines(&engines);
        let reports = join_all(owned_engines.iter().map(|engine| self.read_back(engine))).await;
        let mut running: BTreeMap<EndpointId, ModelVersion> = BTreeMap::new();
        for (endpoint, (_, row)) in &self.orders.rows {
            running.insert(endpoint.clone(), row.target.clone());
        }
        let mut reachable = Vec::new();
        for (engine, report) in owned_engines.into_iter().zip(reports) {
            match report {
                Ok(report) => {
                    if let Some(target) = report.loading.clone().or(report.running.clone()) {
                        running.entry(engine.name.clone()).or_insert(target);
                    }
                    reachable.push((engine, report));
                }
                Err(error) => {
                    tracing::debug!(endpoint = %engine.name, %error, "cannot read back an engine");
                }
            }
        }
        let input = PlacementInput {
            engines: engines.iter().map(|engine| engine.name.clone()).collect(),
            running,
            demand: BTreeMap::new(),
        };
        let plan = place(&config, &input);
        for (engine, report) in &reachable {
            if let Some(choice) = plan.get(&engine.name) {
                self.reconcile(engine, report, choice).await?;
            }
        }
        Ok(())
    }

    /// Engines that this router places models on, as their rendezvous owner.
    fn owned_engines(&self, engines: &[EndpointRecord]) -> Vec<EndpointRecord> {
        let state = &self.state;
        let domain = &state.setting.failure_domain;
        let members = state.fleet.members();
        let candidates = members.candidates(domain, Instant::now());
        let is_owner = |engine: &&EndpointRecord| {
            let vms = candidates.iter().map(|(vm, _)| vm);
            owner_of(&engine.name, vms) == Some(&state.holder.vm)
        };
        engines.iter().filter(is_owner).cloned().collect()
    }

    /// Reads the order rows again when they are older than the interval.
    async fn read_rows(&mut self) -> anyhow::Result<()> {
        let interval = FleetIntervals::current(&self.state).orders;
        let recent = |at: Instant| at.elapsed() < interval;
        if self.orders.read_at.is_some_and(recent) {
            return Ok(());
        }
        let scan = self.state.ports.table.scan(ORDER_PREFIX);
        let rows = timeout(PLATFORM_TIMEOUT, scan).await??;
        self.orders.rows.clear();
        for row in rows {
            let order: OrderRow = serde_json::from_str(&row.value)?;
            let entry = (row.version, order.clone());
            self.orders.rows.insert(order.endpoint, entry);
        }
        self.orders.read_at = Some(Instant::now());
        Ok(())
    }

    /// Orders an engine to run its chosen model, unless it does already.
    async fn reconcile(
        &mut self,
        engine: &EndpointRecord,
        report: &EngineReport,
        choice: &PlacementChoice,
    ) -> anyhow::Result<()> {
        let row = self.orders.rows.get(&engine.name);
        let step = repair_step(&choice.target, row.map(|(_, row)| row), report);
        let reason = match step {
            RepairStep::Nothing => return Ok(()),
            RepairStep::Replace => choice.reason,
            RepairStep::Repair => "the engine runs something else than its latest order",
        };
        let model = &choice.target.model;
        let permit = self.state.ports.weights.permit(model);
        if !timeout(PLATFORM_TIMEOUT, permit).await?? {
            tracing::info!(endpoint = %engine.name, %model, reason, "placement postponed: the weight store is at its rate limit");
            return Ok(());
        }
        let decided = Instant::now();
        let version = row.map_or(0, |(version, _)| *version);
        let last = row.map_or(0, |(_, row)| row.number);
        let until = SystemTime::now() + ORDER_VALIDITY;
        let until = until.duration_since(UNIX_EPOCH).unwrap_or_default();
        let next = OrderRow {
            endpoint: engine.name.clone(),
            number: last.max(report.number) + 1,
            target: choice.target.clone(),
            decider: self.state.holder.clone(),
            valid_until_ms: u64::try_from(until.as_millis()).unwrap_or(u64::MAX),
            reason: reason.into(),
        };
        if !self.commit(&next, version).await? {
            tracing::info!(endpoint = %engine.name, "another router placed a model on the engine at the same time");
            return Ok(());
        }
        tracing::info!(
            endpoint = %engine.name,
            model = %next.target.model,
            version = %next.target.version,
            was = report.running.as_ref().map_or("nothing", |running| running.model.as_str()),
            number = next.number,
            revision = self.state.fleet.config().revision(),
            reason,
            "placement decided"
        );
        let pending = PendingOrder::new(next, decided);
        let Some(order) = pending.message(Instant::now()) else {
            tracing::warn!(endpoint = %engine.name, "order not sent: its deadline has passed");
            return Ok(());
        };
        if let Err(error) = self.send(engine, &order).await {
            tracing::warn!(endpoint = %engine.name, number = order.number, %error, "cannot send the order; the next read-back repairs this");
        }
        Ok(())
    }

    /// Writes the next order, with its fencing number, by compare-and-set; `false` when another
    /// router was first.
    async fn commit(&mut self, next: &OrderRow, version: u64) -> anyhow::Result<bool> {
        let key = order_key(&next.endpoint);
        let table = self.state.ports.table.as_ref();
        let write = RowWrite::replace(key.clone(), version, serde_json::to_string(next)?);
        // The stored row shows what took effect, even if the response of the write was lost.
        let outcome = timeout(PLATFORM_TIMEOUT, table.transact(vec![write])).await?;
        let row = timeout(PLATFORM_TIMEOUT, table.read(&key)).await??;
        let Some(row) = row else {
            self.orders.rows.remove(&next.endpoint);
            return Ok(false);
        };
        let stored: OrderRow = serde_json::from_str(&row.value)?;
        let is_own = stored == *next && !matches!(outcome, Ok(TransactOutcome::Conflict));
        let entry = (row.version, stored);
        self.orders.rows.insert(next.endpoint.clone(), entry);
        Ok(is_own)
    }

    /// Sends an order to an engine.
    async fn send(&self, engine: &EndpointRecord, order: &EngineOrder) -> anyhow::Result<()> {
        let request = Request::post(format!("http://{}{ORDER_PATH}", engine.address))
            .header("content-type", "application/json")
            .body(Body::from(serde_json::to_vec(order)?))?;
        self.call(request).await?;
        Ok(())
    }

    /// Reads what an engine runs.
    async fn read_back(&self, engine: &EndpointRecord) -> anyhow::Result<EngineReport> {
        let request =
            Request::get(format!("http://{}{ORDER_PATH}", engine.address)).body(Body::empty())?;
        Ok(serde_json::from_slice(&self.call(request).await?)?)
    }

    /// Sends a request to an engine and returns the body of a successful response.
    async fn call(&self, request: Request<Body>) -> anyhow::Result<Vec<u8>> {
        let call = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES)
                .collect()
                .await;
            let body = body.map_err(|error| anyhow::anyhow!(error))?.to_bytes();
            anyhow::ensure!(
                status.is_success(),
                "the engine responded with status {status}"
            );
            Ok(body.to_vec())
        };
        timeout(ENGINE_TIMEOUT, call).await?
    }
}

/// Engines that accept orders and new work.
fn eligible_engines(state: &RouterState, config: &ConfigState) -> Vec<EndpointRecord> {
    let engine = |record: &ConfigRecord| match record {
        ConfigRecord::Endpoint(endpoint) if takes_orders(record) => Some(endpoint.clone()),
        _ => None,
    };
    config
        .of_kind(RecordKind::Endpoint)
        .filter_map(engine)
        .filter(|engine| accepts_work(state, engine))
        .collect()
}
