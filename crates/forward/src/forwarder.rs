use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        DomainId, VmId, crash,
        suspect::{self, ActiveBlock, CrashReport, CrashSuspect, SuspectTable},
    },
    jasminewall_ports::{RowPort, StoredRow},
    tokio::{sync::Notify, time::timeout_at},
};

use crate::{
    attempt::{AdmittedRequest, InFlightGuard, refusal_of},
    balancer::{InFlight, LoadBalancer, RouterLoad},
    buffered::KeptResponses,
    dispatch::FirstResponse,
    fleet::FleetView,
    manager::{BudgetManager, BudgetShortage},
    metric::ForwardMetrics,
    notice::FleetNotice,
    offer::OfferGate,
    origin::{StreamOrigin, StreamOrigins},
    placement::PlacementQuery,
    port::{EndpointPort, EndpointResponse, PortState, SendCount},
    record::{FleetConfig, ServiceId},
    request::{ForwardRequest, ForwardResponse, RefusalKind},
    retry::RetryBudget,
    setting::FleetBounds,
    stream::StreamRelay,
    supply::longest_wait,
    trial::{SuspectTrials, TrialPermit},
};

/// Time after the deadline within which the endpoint's own response may still arrive.
pub(crate) const RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// Largest number of sends of one request, including those that endpoints rejected.
pub(crate) const SEND_LIMIT: u32 = 4;
/// Number of routers from which endpoints with an open connection are preferred. A router of a
/// smaller fleet has connections to all endpoints that it uses, and a preference for the first ones
/// would only bunch requests there.
const PREFER_CONNECTED_MIN: usize = 17;
/// Time after a broken connection within which the port of a crashed endpoint closes.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);
/// Time after which a refused caller may retry; endpoints free slots within it.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// Admits requests, sends them to endpoints and relays the responses.
pub struct Forwarder {
    pub(crate) view: Arc<FleetView>,
    budgets: Arc<BudgetManager>,
    pub(crate) endpoints: Arc<dyn EndpointPort>,
    balancer: Mutex<LoadBalancer>,
    retry_budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    /// One for each service with responses that paused; the configuration bounds the services.
    pub(crate) offer_gates: Mutex<HashMap<ServiceId, OfferGate>>,
    bounds: Mutex<FleetBounds>,
    routers: AtomicUsize,
    stop: Mutex<Option<StopWindow>>,
    pub(crate) origins: Arc<StreamOrigins>,
    suspects: Mutex<SuspectTable>,
    trials: Arc<SuspectTrials>,
    /// News that was not sent to other routers yet.
    outbox: Mutex<FleetNotice>,
    pub(crate) notice_added: Notify,
    pub(crate) load_changed: Notify,
    pub(crate) kept: Arc<KeptResponses>,
    pub(crate) metrics: ForwardMetrics,
}

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct StopWindow {
    /// Time from which requests with a deadline after the exit are refused.
    pub refuse_at: Instant,
    /// When the process exits.
    pub exit_at: Instant,
}

impl Forwarder {
    /// Creates a forwarder that sends requests through `endpoints`. It shares trials of blocked
    /// suspects with other routers through `rows`.
    pub fn new(
        domain: DomainId,
        view: Arc<FleetView>,
        budgets: Arc<BudgetManager>,
        endpoints: Arc<dyn EndpointPort>,
        origins: Arc<StreamOrigins>,
        rows: Arc<dyn RowPort>,
        bounds: FleetBounds,
    ) -> Arc<Self> {
        let mut balancer = LoadBalancer::new(domain);
        balancer.set_cold_bound(bounds.cold_overrun, bounds.cold_slack);
        let metrics = ForwardMetrics::default();
        budgets.set_metrics(metrics.clone());
        Arc::new(Self {
            view,
            budgets,
            endpoints,
            balancer: Mutex::new(balancer),
            retry_budgets: Mutex::default(),
            offer_gates: Mutex::default(),
            bounds: Mutex::new(bounds),
            routers: AtomicUsize::new(1),
            stop: Mutex::default(),
            origins,
            suspects: Mutex::default(),
            trials: SuspectTrials::new(rows),
            outbox: Mutex::default(),
            notice_added: Notify::new(),
            load_changed: Notify::new(),
            kept: Arc::default(),
            metrics,
        })
    }

    /// Sets the VMs of this router and of the others, which share the retry budget and the rate limits
    /// of endpoints.
    pub fn set_routers(&self, own: VmId, others: Vec<VmId>) {
        self.routers.store(others.len() + 1, Ordering::Relaxed);
        self.origins.set_routers(others.len() + 1);
        self.balancer().set_routers(own, others, Instant::now());
    }

    /// Applies changed settings.
    pub fn set_bounds(&self, bounds: FleetBounds) {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner) = bounds;
        self.balancer()
            .set_cold_bound(bounds.cold_overrun, bounds.cold_slack);
        self.retry_budgets().clear();
    }

    /// Starts a graceful stop with the given times.
    pub fn set_stop(&self, window: StopWindow) {
        *self.stop.lock().unwrap_or_else(PoisonError::into_inner) = Some(window);
    }

    /// When the process exits, if a stop is planned.
    pub(crate) fn exit_at(&self) -> Option<Instant> {
        let stop = *self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        stop.map(|stop| stop.exit_at)
    }

    fn is_too_late(&self, deadline: Instant) -> bool {
        let stop = *self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        stop.is_some_and(|stop| Instant::now() >= stop.refuse_at && deadline > stop.exit_at)
    }

    /// Changed load of this router, to be sent to other routers.
    pub(crate) fn take_loads(&self, all: bool) -> Vec<RouterLoad> {
        self.balancer().take_loads(all)
    }

    /// Merges loads reported by another router.
    pub(crate) fn merge_loads(&self, vm: &VmId, number: u64, loads: Vec<RouterLoad>) {
        self.balancer()
            .merge_loads(vm, number, loads, Instant::now());
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.view.config()
    }

    /// Serves one request.
    pub async fn handle(self: &Arc<Self>, request: ForwardRequest) -> ForwardResponse {
        let id = request.id.clone();
        let arrived = request.arrived;
        let deadline = request.deadline;
        let key = request.key.clone();
        match self.serve(request).await {
            Ok(response) => response,
            Err(kind) => {
                let retry_at = self.retry_at(kind, key.as_deref(), deadline);
                let held_ms = arrived.elapsed().as_millis();
                tracing::info!(request = %id, refusal = kind.code(), %held_ms, "refused");
                self.metrics.refused(kind);
                ForwardResponse::Refused { kind, retry_at }
            }
        }
    }

    /// When the caller may retry: after a third of its remaining time at the latest.
    fn retry_at(
        &self,
        kind: RefusalKind,
        key: Option<&str>,
        deadline: Option<Instant>,
    ) -> Option<Instant> {
        let now = Instant::now();
        let config = self.view.config();
        let customer = || config.as_ref()?.customer(key?);
        let at = match kind {
            RefusalKind::BudgetUnavailable => {
                let customer = customer().map(|customer| &customer.name);
                self.budgets.retry_at(customer, now)
            }
            RefusalKind::NotConfigured
            | RefusalKind::NoEndpoint
            | RefusalKind::UnknownOrigin
            | RefusalKind::Stopping => now + RETRY_AFTER_MIN,
            RefusalKind::RateLimited(at) => at,
            _ => return None,
        };
        let Some(deadline) = deadline else {
            return Some(at);
        };
        let remaining = deadline.saturating_duration_since(now);
        Some(at.min(now + remaining / 3))
    }

    async fn serve(
        self: &Arc<Self>,
        request: ForwardRequest,
    ) -> Result<ForwardResponse, RefusalKind> {
        let mut admitted = self.admit(request).await?;
        self.find_origin(&mut admitted).await?;
        match self.dispatch(&mut admitted, None).await? {
            FirstResponse::Open(open) => self.relay(admitted, *open).await,
            FirstResponse::Stream(run) => Ok(StreamRelay::start(self.clone(), admitted, run)),
        }
    }

    /// Finds out which software version began a stream that the caller takes up.
    async fn find_origin(&self, admitted: &mut AdmittedRequest) -> Result<(), RefusalKind> {
        let request = &admitted.request;
        if request.resume_from.is_none() || !admitted.route.retry_policy.is_stream() {
            return Ok(());
        }
        let origin = self
            .origins
            .find(request.resumes.as_ref(), &admitted.service);
        let origin = timeout_at(admitted.deadline.into(), origin).await;
        tracing::info!(request = %request.id, resumes = request.resumes.as_deref(), ?origin, "found where a stream began");
        match origin {
            Ok(StreamOrigin::Known(software)) => {
                admitted.begun_at = Some(software);
                Ok(())
            }
            Ok(StreamOrigin::Unknown) => Err(RefusalKind::UnknownOrigin),
            Err(_) => Err(RefusalKind::DeadlinePassed),
        }
    }

    async fn admit(&self, request: ForwardRequest) -> Result<AdmittedRequest, RefusalKind> {
        let config = self.view.config().ok_or(RefusalKind::NotConfigured)?;
        let route = config.route(&request.host, request.path());
        let route = route.ok_or(RefusalKind::UnknownRoute)?.clone();
        let key = request.key.as_deref();
        let customer = key.and_then(|key| config.customer(key)).cloned();
        if customer.is_none() && config.has_customers() && !route.anonymous {
            return Err(RefusalKind::UnknownKey);
        }
        let service = route
            .pick_service(&mut rand::rng())
            .ok_or(RefusalKind::NoEndpoint)?;
        let latest = request.arrived + route.timeout;
        let deadline = request
            .deadline
            .map_or(latest, |requested| requested.min(latest));
        if self.is_too_late(deadline) {
            return Err(RefusalKind::Stopping);
        }
        let caller = customer
            .as_ref()
            .map_or("", |customer| customer.name.as_str());
        let parts = [
            caller.as_bytes(),
            request.path_and_query.as_bytes(),
            &request.body,
        ];
        let fingerprint = crash::fingerprint(&parts);
        let suspects = suspects_of(&request, fingerprint);
        let blocks = self.find_blocks(&suspects, service);
        if let Some(block) = blocks.first()
            && !self.may_try(&blocks)
        {
            return Err(Self::refuse_blocked(&request.id, block));
        }
        let engine = config.services.get(service).and_then(|rule| rule.engine);
        let regions = self.check_eligible(&config, &route, customer.as_ref(), service)?;
        tracing::info!(
            request = %request.id, route = %route.name, service = %service, version = config.version,
            customer = customer.as_ref().map(|customer| customer.name.as_str()),
            resumes = request.resumes.as_deref(), resume_from = request.resume_from.as_deref(), "admitted"
        );
        let open_sends = Arc::new(SendCount::default());
        let hold = match (&customer, &request.prompt) {
            (Some(customer), Some(prompt)) => match customer.prepaid {
                Some(prepaid) => {
                    let amount = prompt.input_tokens + prompt.max_output_tokens;
                    let wait = longest_wait(route.target_latency, self.budgets.is_large());
                    let wait = deadline.min(Instant::now() + wait);
                    let hold = self
                        .budgets
                        .hold(&request.id, &customer.name, prepaid, amount, wait)
                        .await;
                    let mut hold = hold.map_err(|shortage| match shortage {
                        BudgetShortage::Spent => RefusalKind::BudgetSpent,
                        BudgetShortage::HeldElsewhere | BudgetShortage::StoreAway => {
                            RefusalKind::BudgetUnavailable
                        }
                    })?;
                    hold.charge_input_of(open_sends.clone(), prompt.input_tokens);
                    Some(hold)
                }
                None => None,
            },
            _ => None,
        };
        let priority = customer.as_ref().and_then(|customer| customer.priority);
        Ok(AdmittedRequest {
            service: service.clone(),
            customer: customer.map(|customer| customer.name),
            regions,
            deadline,
            event_tokens: engine.map_or(1, |rule| rule.event_tokens.max(1)),
            hold,
            priority: engine.map(|_| priority.unwrap_or(route.priority).min(9)),
            suspects,
            sends: 0,
            send_limit: SEND_LIMIT,
            rejections: 0,
            open_sends,
            failed_connects: 0,
            runners: Vec::new(),
            excluded: Vec::new(),
            begun_at: None,
            trial: None,
            request: Arc::new(request),
            route,
        })
    }

    /// Called after a connection broke while an endpoint ran a request. Records a crash if the
    /// endpoint's port is closed too.
    pub(crate) async fn detect_crash(
        &self,
        suspects: Vec<CrashSuspect>,
        in_flight: &InFlight,
        address: SocketAddr,
    ) {
        tokio::time::sleep(CRASH_CHECK_DELAY).await;
        if self.endpoints.probe(address).await != PortState::Closed {
            return;
        }
        let endpoint = in_flight.endpoint();
        self.view
            .suspect_cold(endpoint, in_flight.started_ms(), Instant::now());
        let crash = suspect::crash_id(endpoint, in_flight.started_ms());
        tracing::warn!(%endpoint, crash, ?suspects, "the endpoint crashed with the request open");
        let notice = FleetNotice {
            crashes: vec![CrashReport { crash, suspects }],
            ..FleetNotice::default()
        };
        self.apply_notice(&notice, Instant::now());
        self.outbox().crashes.extend(notice.crashes);
        self.notice_added.notify_one();
    }

    /// Records that a request completed, which clears it and its prompt parts of the crashes so far.
    pub(crate) fn record_completion(&self, admitted: &AdmittedRequest) {
        let now = Instant::now();
        let reports = self.suspects().record_completion(&admitted.suspects, now);
        if !reports.is_empty() {
            self.outbox().cleared.extend(reports);
            self.notice_added.notify_one();
        }
        if let Some(trial) = &admitted.trial
            && let Some(now_ms) = self.budgets.session().clock(now)
        {
            tracing::info!(request = %admitted.request.id, suspect = ?trial.suspect(), "a trial completed");
            trial.complete(now_ms);
        }
    }

    /// Merges a trial that a router wrote to the store, whose clock is `now_ms`.
    pub(crate) fn merge_trial(&self, row: &StoredRow, now_ms: u64) {
        let Some(record) = self.trials.merge_row(row) else {
            return;
        };
        if let Some(completed_ms) = record.completed_ms {
            let age = Duration::from_millis(now_ms.saturating_sub(completed_ms));
            let completed = before(Instant::now(), age);
            self.suspects().record_proof(record.suspect, completed);
        }
    }

    /// Takes the news that was not sent to other routers yet.
    pub(crate) fn take_notice(&self) -> FleetNotice {
        std::mem::take(&mut *self.outbox())
    }

    /// Whether news that other routers need soon waits to be sent.
    pub(crate) fn has_urgent_news(&self) -> bool {
        let outbox = self.outbox();
        !outbox.crashes.is_empty() || !outbox.rates.is_empty()
    }

    /// Merges news that another router reported `age` ago.
    pub(crate) fn merge_notice(&self, notice: &FleetNotice, age: Duration) {
        self.outbox().remove_reported(notice);
        self.apply_notice(notice, before(Instant::now(), age));
    }

    fn apply_notice(&self, notice: &FleetNotice, reported: Instant) {
        let now = Instant::now();
        let mut suspects = self.suspects();
        for report in &notice.crashes {
            suspects.record_crash(report, reported);
        }
        suspects.clear(&notice.cleared, reported);
        drop(suspects);
        let mut balancer = self.balancer();
        for report in &notice.rates {
            balancer.merge_rate(report, now, &mut rand::rng());
        }
    }

    /// Refuses a request that crashes endpoints, or has a prompt part that does, unless it is the
    /// fleet's turn to try whether that is still so.
    pub(crate) async fn check_suspects(
        &self,
        admitted: &mut AdmittedRequest,
    ) -> Result<(), RefusalKind> {
        let blocks = self.find_blocks(&admitted.suspects, &admitted.service);
        let Some(block) = blocks.first() else {
            return Ok(());
        };
        if blocks.len() == 1 && admitted.runners.is_empty() {
            if admitted.trial.is_none() {
                admitted.trial = self.claim_trial(admitted, block).await;
            }
            let trial = admitted.trial.as_ref();
            if let Some(trial) = trial.filter(|trial| trial.suspect() == block.suspect) {
                tracing::warn!(
                    request = %admitted.request.id, culprit = ?block.suspect, trial = trial.number(),
                    "sent although it is blocked, to find out whether it still crashes endpoints"
                );
                return Ok(());
            }
        }
        Err(Self::refuse_blocked(&admitted.request.id, block))
    }

    fn find_blocks(&self, suspects: &[CrashSuspect], service: &ServiceId) -> Vec<ActiveBlock> {
        let mut table = self.suspects();
        let blocks = table.blocks_among(suspects, Instant::now());
        self.log_blocks(&mut table, service);
        blocks
    }

    /// Whether a request with these blocks may become a trial.
    fn may_try(&self, blocks: &[ActiveBlock]) -> bool {
        let clock = self.budgets.session().clock(Instant::now());
        match (blocks, clock) {
            ([block], Some(now_ms)) => self.trials.is_due(block, now_ms),
            _ => false,
        }
    }

    async fn claim_trial(
        &self,
        admitted: &AdmittedRequest,
        block: &ActiveBlock,
    ) -> Option<TrialPermit> {
        let now_ms = self.budgets.session().clock(Instant::now())?;
        let sends = admitted.open_sends.clone();
        self.trials.claim(block, now_ms, sends).await
    }

    fn refuse_blocked(id: &str, block: &ActiveBlock) -> RefusalKind {
        tracing::info!(request = %id, culprit = ?block.suspect, "not sent to an endpoint");
        RefusalKind::CrashesEndpoints
    }

    /// Logs which crashes new blocks rest on. The lines about these crashes, which may be in the logs
    /// of several routers, name the endpoints.
    fn log_blocks(&self, table: &mut SuspectTable, service: &ServiceId) {
        for block in table.take_blocks() {
            let ready = self.view.eligible_endpoints(service, &None, Instant::now());
            let ready = ready.len();
            tracing::warn!(
                culprit = ?block.suspect, events = block.events, crashes = ?block.crashes,
                completed_before = ?block.completed_before, %service, ready,
                "blocked after the crashes of several endpoints that ran it"
            );
        }
    }

    fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outbox(&self) -> MutexGuard<'_, FleetNotice> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn place(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
    ) -> Result<(SocketAddr, InFlightGuard), RefusalKind> {
        let now = Instant::now();
        if now >= admitted.deadline {
            return Err(refusal_of(admitted, RefusalKind::DeadlinePassed));
        }
        let mut records = self
            .view
            .eligible_endpoints(&admitted.service, &admitted.regions, now);
        if let Some(software) = &admitted.begun_at {
            let fitting = records.iter().filter(|record| admitted.fits(record));
            records = Arc::new(fitting.cloned().collect());
            if records.is_empty() {
                tracing::info!(request = %admitted.request.id, %software, "no endpoint of the software version that began the stream");
                return Err(refusal_of(admitted, RefusalKind::SoftwareGone));
            }
        }
        let prompt = admitted.request.prompt.as_ref();
        let prefers_connected = self.routers.load(Ordering::Relaxed) >= PREFER_CONNECTED_MIN;
        let connected = prefers_connected.then(|| {
            let retryable = admitted.route.retry_policy.may_retry();
            self.endpoints.connected(retryable)
        });
        let query = PlacementQuery {
            prompt,
            max_gap: admitted.route.target_gap,
            excluded: &admitted.excluded,
            connected: connected.as_ref(),
        };
        let mut balancer = self.balancer();
        let chosen = balancer.choose(&records, query, now, &mut rand::rng());
        let Some(placement) = chosen else {
            let next = balancer.next_permit(&records, &admitted.excluded, now);
            drop(balancer);
            if let Some(at) = next {
                return Err(refusal_of(admitted, RefusalKind::RateLimited(at)));
            }
            tracing::info!(request = %admitted.request.id, service = %admitted.service, known = records.len(), "no endpoint to choose");
            return Err(refusal_of(admitted, RefusalKind::NoEndpoint));
        };
        let in_flight = balancer.begin(&placement, prompt, now);
        drop(balancer);
        self.load_changed.notify_one();
        if admitted.sends == 0 && admitted.failed_connects == 0 {
            self.with_retry_budget(&admitted.service, |budget| budget.deposit(now));
        }
        admitted.sends += 1;
        if placement.record.cold.is_some() {
            self.metrics.cold_send();
        }
        tracing::info!(
            request = %admitted.request.id, endpoint = %placement.record.id, software = %placement.record.software, cost_ms = placement.cost_ms as u64,
            runner_up = ?placement.runner_up.as_ref().map(|(id, _)| id.as_str()),
            runner_up_ms = placement.runner_up.as_ref().map_or(0, |(_, cost)| *cost as u64),
            uncached = placement.uncached, send = admitted.sends,
            report_age_ms = placement.report_age.map_or(-1, |age| age.as_millis() as i64), "placed"
        );
        let guard = InFlightGuard {
            forwarder: self.clone(),
            in_flight,
            software: placement.record.software.clone(),
            address: placement.record.address,
            failed: false,
        };
        Ok((placement.record.address, guard))
    }

    pub(crate) fn record_response(&self, guard: &mut InFlightGuard, response: &EndpointResponse) {
        let mut balancer = self.balancer();
        balancer.record_response(&mut guard.in_flight, response.load, Instant::now());
    }

    /// Records what an endpoint asks for, and tells other routers of a new rate limit.
    pub(crate) fn record_signals(&self, guard: &InFlightGuard, response: &EndpointResponse) {
        let Some(signals) = response.signals else {
            return;
        };
        let drain = self.bounds().drain;
        let now = Instant::now();
        if let Some(cold_for) = signals.cold_for {
            let run = &guard.in_flight;
            self.view
                .extend_cold(run.endpoint(), run.started_ms(), cold_for, now);
        }
        let report =
            self.balancer()
                .record_signals(&guard.in_flight, signals, drain, now, &mut rand::rng());
        if let Some(report) = report {
            self.outbox().add_rate(report);
            self.notice_added.notify_one();
        }
    }

    fn bounds(&self) -> FleetBounds {
        *self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a retry from the budget of the service; `false` if none is left.
    pub(crate) fn take_retry(&self, admitted: &AdmittedRequest) -> bool {
        if admitted.sends >= admitted.send_limit {
            return false;
        }
        let now = Instant::now();
        let allowed = self.with_retry_budget(&admitted.service, |budget| budget.withdraw(now));
        if !allowed {
            tracing::info!(request = %admitted.request.id, service = %admitted.service, "the retry budget is used up");
        }
        allowed
    }

    /// Whether an interrupted stream may continue at another endpoint; if so, takes a retry from
    /// the budget of the service.
    pub(crate) fn take_resume(&self, admitted: &AdmittedRequest) -> bool {
        admitted.may_run_again() && self.take_retry(admitted)
    }

    /// Whether the service of a request has a ready endpoint that was not tried.
    pub(crate) fn has_untried_endpoint(&self, admitted: &AdmittedRequest) -> bool {
        let (service, regions) = (&admitted.service, &admitted.regions);
        let records = self
            .view
            .eligible_endpoints(service, regions, Instant::now());
        let mut records = records.iter();
        records.any(|record| admitted.fits(record) && !admitted.excluded.contains(&record.id))
    }

    /// Drops the load statistics of endpoints that are no longer registered.
    pub fn prune_endpoint_stats(&self) {
        let records = self.view.live_endpoints(Instant::now());
        self.balancer().retain(&records);
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let bounds = self.bounds();
        let routers = self.routers.load(Ordering::Relaxed) as f64;
        let mut retry_budgets = self.retry_budgets();
        let budget = retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds.retry_window, bounds.retry_ratio, 0.0));
        budget.set_slack(bounds.retry_slack / routers);
        operation(budget)
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retry_budgets(&self) -> MutexGuard<'_, HashMap<ServiceId, RetryBudget>> {
        self.retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time that lies `age` before `now`, as far as the clock goes back.
fn before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}

/// What is suspected if an endpoint crashes while it runs a request: the prompt parts that other
/// requests may share, which are all except the last one, and the request itself.
fn suspects_of(request: &ForwardRequest, fingerprint: u64) -> Vec<CrashSuspect> {
    let prompt = request.prompt.as_ref();
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    let shared = parts.iter().take(parts.len().saturating_sub(1));
    let shared = shared.map(|part| CrashSuspect::Part(part.id));
    shared.chain([CrashSuspect::Request(fingerprint)]).collect()
}
