use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use {
    jasminewall_core::{DomainId, EndpointId, Tokens, VmId},
    rand::Rng,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

use crate::{
    allowance::{AllowanceTable, LimitSharing, RateReport, RunId, SendPermit},
    group::NEIGHBOUR_LIMIT,
    placement::{
        COMPARE_ALL_MAX, Candidate, EngineFit, EngineOutlook, Placement, PlacementQuery,
        RUNNING_COST_MS, home_engines, prefix_chain, rank_candidates, select_candidates,
        shared_tokens,
    },
    port::{EndpointLoad, EndpointSignals},
    record::EndpointRecord,
    request::PromptSpec,
};

/// Prompt tokens that an engine reads per millisecond, assumed until a prompt was measured.
const INITIAL_PREFILL_RATE: f64 = 55.0;
/// Smallest uncached prompt, in tokens, that is used to measure the prefill rate. Network time and
/// the first decoding step dominate shorter ones.
const MEASURED_TOKENS_MIN: Tokens = 4_000;
/// A prompt is long when reading the request's own part takes more than this share of the pause
/// that its route allows between events. Other streams on the same engine would pause too long.
const LONG_PROMPT_SHARE: f64 = 0.5;
/// At most one in this many engines is reserved for long prompts.
const RESERVED_DIVISOR: usize = 3;
/// Smallest number of engines at which some are reserved for long prompts.
const RESERVED_MIN_ENGINES: usize = 4;
/// Cost in ms of using an endpoint of another failure domain, for the longer round trip and the
/// price of the traffic.
const CROSS_DOMAIN_COST_MS: f64 = 5.0;
/// Cost in ms of opening a connection. The operators rate one as bad as reading a few hundred tokens
/// of a shared part again.
const CONNECT_COST_MS: f64 = 60.0;
/// Cost in ms of a certain failure; a few times the usual target latencies.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Weight of a new observation in an exponential moving average.
const AVERAGE_WEIGHT: f64 = 0.3;
/// Half-life of an observation, so that a slow or failing endpoint is tried again.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(4);
/// Half-life of a load report; the load of an endpoint changes within a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Time for which an endpoint is blocked after it could not be connected. It doubles with each
/// further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(500);
/// Longest time for which an endpoint is blocked, so that a recovered one is used again within
/// seconds.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Lower and upper bound of an observed slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);
/// Latency of a service in ms, assumed until a response was seen.
const INITIAL_LATENCY_MS: f64 = 40.0;
/// Prompt tokens over which the share of long prompts is averaged; a few hundred requests.
const DEMAND_WINDOW_TOKENS: f64 = 500_000.0;
/// Largest number of prompt prefixes that are remembered for an endpoint.
const PREFIX_LIMIT: usize = 512;
/// Age at which the load reported by another router is dropped. Routers repeat loads above zero
/// every second.
const LOAD_EXPIRY: Duration = Duration::from_secs(3);
/// Interval at which this router's share of the endpoints' rate limits is updated, and the weight of
/// the new share. It follows the demand within two seconds.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
const SHARE_WEIGHT: f64 = 0.15;
/// Largest random increase of a cost, so that routers with equal knowledge do not all choose the
/// same endpoint.
const JITTER: f64 = 0.05;

/// Request in flight at an endpoint, as counted by the [`LoadBalancer`].
#[derive(Clone, Debug)]
pub struct InFlight {
    endpoint: EndpointId,
    started_ms: u64,
    uncached: Tokens,
    /// Whether the endpoint had no other unread prompt when the request was sent, as far as known.
    only_unread: bool,
    predicted_ms: f64,
    sent: Instant,
    responded: bool,
    progress: Arc<EndpointProgress>,
}

impl InFlight {
    /// Records that the endpoint wrote an event.
    pub(crate) fn record_progress(&self, now: Instant) {
        self.progress.record(now);
    }

    /// Records that the request has waited for so long that it is offered to other endpoints.
    pub(crate) fn record_silence(&self, now: Instant) {
        self.progress.record_silence(now);
    }

    /// When the endpoint last wrote an event of any stream of this router, to the ms.
    pub(crate) fn last_progress(&self) -> Option<Instant> {
        self.progress.last()
    }

    /// Endpoint that the request was sent to.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Start of the endpoint's run as Unix time in ms.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }
}

/// Time after which a silent endpoint may get offers again if no request waits for it any more.
const SILENCE_MEMORY: Duration = Duration::from_secs(1);

/// When an endpoint last wrote an event, and whether requests wait for it. Its requests share it, since
/// they record each event.
#[derive(Debug)]
struct EndpointProgress {
    created: Instant,
    /// Time since `created` in ms; 0 before the first event.
    last_ms: AtomicU64,
    /// When a request of this router last waited for too long; 0 if the endpoint has responded since.
    silent_ms: AtomicU64,
}

impl EndpointProgress {
    fn new(now: Instant) -> Arc<Self> {
        Arc::new(Self {
            created: now,
            last_ms: AtomicU64::new(0),
            silent_ms: AtomicU64::new(0),
        })
    }

    fn age_ms(&self, now: Instant) -> u64 {
        let age_ms = now.saturating_duration_since(self.created).as_millis();
        u64::try_from(age_ms).unwrap_or(u64::MAX)
    }

    fn record(&self, now: Instant) {
        self.last_ms.fetch_max(self.age_ms(now), Ordering::Relaxed);
        self.record_response();
    }

    fn record_response(&self) {
        self.silent_ms.store(0, Ordering::Relaxed);
    }

    fn record_silence(&self, now: Instant) {
        self.silent_ms
            .store(self.age_ms(now).max(1), Ordering::Relaxed);
    }

    fn is_silent(&self, now: Instant) -> bool {
        let silent_ms = self.silent_ms.load(Ordering::Relaxed);
        let until = self.created + Duration::from_millis(silent_ms) + SILENCE_MEMORY;
        silent_ms > 0 && now < until
    }

    fn last(&self) -> Option<Instant> {
        let last_ms = self.last_ms.load(Ordering::Relaxed);
        (last_ms > 0).then(|| self.created + Duration::from_millis(last_ms))
    }
}

/// Load that one router puts on an endpoint, as sent to other routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterLoad {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Requests of the router that are in flight.
    pub running: u32,
    /// Prompt tokens of the router's requests that the endpoint has not read yet.
    pub unread_tokens: Tokens,
}

/// Chooses endpoints by what one router knows about their load, caches and failures.
#[derive(Debug)]
pub struct LoadBalancer {
    domain: DomainId,
    stats: HashMap<EndpointId, EndpointStats>,
    allowances: AllowanceTable,
    routers: usize,
    /// Moving average of this router's share of the fleet's running requests.
    demand_share: f64,
    /// When the share is updated next.
    share_at: Option<Instant>,
    usual_latency_ms: f64,
    prefill_rate: f64,
    /// Moving average of the share of long prompts in all prompt tokens.
    long_prompt_share: f64,
    changed: HashSet<EndpointId>,
    /// Number of the last message from each router; older messages are ignored.
    last_message: HashMap<VmId, u64>,
    /// When outdated loads of other routers are dropped next.
    expire_at: Option<Instant>,
}

#[derive(Debug)]
struct EndpointStats {
    started_ms: u64,
    running: u32,
    unread_tokens: Tokens,
    loads: HashMap<VmId, (RouterLoad, Instant)>,
    /// Sum of the running requests in `loads`.
    other_running: u32,
    /// Sum of the unread tokens in `loads`.
    other_unread: Tokens,
    load: Option<(EndpointLoad, Instant)>,
    slowdown: DecayingAverage,
    failures: DecayingAverage,
    blocked_until: Option<Instant>,
    failed_connects: u32,
    prefixes: HashMap<u64, Instant>,
    progress: Arc<EndpointProgress>,
}

/// Moving average that decays to its baseline while nothing is observed.
#[derive(Clone, Copy, Debug)]
struct DecayingAverage {
    value: f64,
    baseline: f64,
    updated: Instant,
}

impl DecayingAverage {
    fn new(baseline: f64, now: Instant) -> Self {
        Self {
            value: baseline,
            baseline,
            updated: now,
        }
    }

    fn get(&self, now: Instant) -> f64 {
        let weight = decay_factor(now, self.updated, OBSERVATION_HALF_LIFE);
        self.baseline + (self.value - self.baseline) * weight
    }

    fn observe(&mut self, value: f64, now: Instant) {
        let current = self.get(now);
        self.value = current + (value - current) * AVERAGE_WEIGHT;
        self.updated = now;
    }
}

/// Weight of an observation at `now`; it halves with each half-life since the observation.
fn decay_factor(now: Instant, seen: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(seen);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

impl EndpointStats {
    fn new(started_ms: u64, now: Instant) -> Self {
        Self {
            started_ms,
            running: 0,
            unread_tokens: 0,
            loads: HashMap::new(),
            other_running: 0,
            other_unread: 0,
            load: None,
            slowdown: DecayingAverage::new(1.0, now),
            failures: DecayingAverage::new(0.0, now),
            blocked_until: None,
            failed_connects: 0,
            prefixes: HashMap::new(),
            progress: EndpointProgress::new(now),
        }
    }

    fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }

    /// Requests and unread prompt tokens of all routers at the endpoint, as far as known.
    fn known_load(&self) -> (u32, Tokens) {
        (
            self.running + self.other_running,
            self.unread_tokens + self.other_unread,
        )
    }

    /// Replaces the load that another router reported before.
    fn replace_load(&mut self, vm: VmId, load: RouterLoad, now: Instant) {
        self.other_running += load.running;
        self.other_unread += load.unread_tokens;
        if let Some((before, _)) = self.loads.insert(vm, (load, now)) {
            self.other_running -= before.running;
            self.other_unread -= before.unread_tokens;
        }
    }

    /// Drops outdated loads of other routers.
    fn expire_loads(&mut self, now: Instant) {
        self.loads
            .retain(|_, (_, received)| now.saturating_duration_since(*received) < LOAD_EXPIRY);
        let loads = self.loads.values().map(|(load, _)| load);
        (self.other_running, self.other_unread) =
            loads.fold((0, 0), |(running, unread_tokens), load| {
                (running + load.running, unread_tokens + load.unread_tokens)
            });
    }

    /// Running and waiting requests at the endpoint. A fresh report counts more than an old one;
    /// running requests are never fewer than the known ones.
    fn outstanding(&self, now: Instant) -> (f64, f64) {
        let known_running = f64::from(self.known_load().0);
        let Some((load, seen)) = self.load else {
            return (known_running, 0.0);
        };
        let weight = decay_factor(now, seen, REPORT_HALF_LIFE);
        let running = known_running.max(f64::from(load.running) * weight);
        (running, f64::from(load.waiting) * weight)
    }

    fn slowdown(&self, now: Instant) -> f64 {
        let learned = self.slowdown.get(now);
        let Some((load, seen)) = self.load else {
            return learned;
        };
        let weight = decay_factor(now, seen, REPORT_HALF_LIFE);
        let reported = f64::from(load.slowdown_percent.max(100)) / 100.0;
        learned * (1.0 + (reported - 1.0) * weight)
    }

    fn cached_tokens(&self, chain: &[(u64, Tokens)]) -> Tokens {
        let longest = chain
            .iter()
            .rev()
            .find(|(hash, _)| self.prefixes.contains_key(hash));
        longest.map_or(0, |(_, tokens)| *tokens)
    }

    fn remember_prefixes(&mut self, chain: &[(u64, Tokens)], now: Instant) {
        self.prefixes
            .extend(chain.iter().map(|(hash, _)| (*hash, now)));
        if self.prefixes.len() > PREFIX_LIMIT {
            let mut times: Vec<Instant> = self.prefixes.values().copied().collect();
            times.sort_unstable();
            let oldest = times[times.len() / 4];
            self.prefixes.retain(|_, used| *used > oldest);
        }
    }
}

impl LoadBalancer {
    /// Creates a balancer without any observations for a router in a failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            stats: HashMap::new(),
            allowances: AllowanceTable::new(),
            routers: 1,
            demand_share: 1.0,
            share_at: None,
            usual_latency_ms: INITIAL_LATENCY_MS,
            prefill_rate: INITIAL_PREFILL_RATE,
            long_prompt_share: 0.0,
            changed: HashSet::new(),
            last_message: HashMap::new(),
            expire_at: None,
        }
    }

    /// Chooses the endpoint with the lowest expected cost; `None` if no endpoint qualifies.
    pub fn choose(
        &mut self,
        records: &[EndpointRecord],
        query: PlacementQuery<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        self.expire_loads(now);
        self.update_share(now);
        let chain = prefix_chain(query.prompt.map_or(&[], |prompt| &prompt.parts));
        let is_usable = |record: &EndpointRecord, permit: SendPermit| {
            !query.excluded.contains(&record.id) && self.allowances.permit(record, now) == permit
        };
        let selected = select_candidates(records, query, &chain, rng).into_iter();
        let mut usable: Vec<&EndpointRecord> = selected
            .filter(|record| is_usable(record, SendPermit::Allowed))
            .collect();
        let has_limits =
            self.allowances.has_limits() || records.iter().any(|record| record.cold.is_some());
        if records.len() > COMPARE_ALL_MAX && has_limits {
            // A send that is due and not used is lost.
            let due = records.iter().filter(|record| {
                self.allowances.is_limited(record) && is_usable(record, SendPermit::Allowed)
            });
            let due: Vec<&EndpointRecord> = due
                .filter(|record| usable.iter().all(|other| other.id != record.id))
                .collect();
            usable.extend(due);
        }
        for permit in [SendPermit::Allowed, SendPermit::LastResort] {
            if usable.is_empty() {
                let all = records.iter();
                usable = all.filter(|record| is_usable(record, permit)).collect();
            }
        }
        for record in &usable {
            self.stats_mut(record, now);
        }
        let unblocked = usable.iter().copied();
        let unblocked: Vec<&EndpointRecord> = unblocked
            .filter(|record| !self.is_blocked(record, now))
            .collect();
        // If all endpoints are blocked, trying one costs less than a refusal.
        let candidates = if unblocked.is_empty() {
            usable
        } else {
            unblocked
        };
        let is_long = self.is_long(query, &chain);
        let reserved_engines = self.reserved_engines(query, records, now);
        let unreserved = candidates.iter().copied();
        let unreserved = unreserved.filter(|record| !reserved_engines.contains(&record.id));
        let home = home_engines(&chain, unreserved, 1).pop();
        let mut ranked = Vec::with_capacity(candidates.len());
        for record in candidates {
            let stats = self.stats.get(&record.id)?;
            let (cost, uncached) = match query.prompt {
                Some(prompt) => {
                    let fit = EngineFit {
                        is_home: home.is_some_and(|home| home.id == record.id),
                        is_reserved: reserved_engines.contains(&record.id),
                        is_long,
                    };
                    self.outlook(stats, &chain, now).cost(prompt, &chain, fit)
                }
                None => (self.service_cost(stats, record, now), 0),
            };
            let cross_domain = if record.domain == self.domain {
                0.0
            } else {
                CROSS_DOMAIN_COST_MS
            };
            let connect = match query.connected {
                Some(connected) if !connected.contains(&record.address) => CONNECT_COST_MS,
                _ => 0.0,
            };
            let failure = stats.failures.get(now) * FAILURE_COST_MS;
            let jitter = 1.0 + rng.random::<f64>() * JITTER;
            ranked.push(Candidate {
                record,
                cost_ms: (cost + cross_domain + connect + failure) * jitter,
                uncached,
            });
        }
        if let Some(prompt) = query.prompt {
            self.record_demand(prompt.input_tokens, is_long);
        }
        rank_candidates(&mut ranked);
        let best = *ranked.first()?;
        let stats = self.stats.get(&best.record.id)?;
        Some(Placement {
            record: best.record.clone(),
            cost_ms: best.cost_ms,
            runner_up: ranked
                .get(1)
                .map(|other| (other.record.id.clone(), other.cost_ms)),
            uncached: best.uncached,
            wait_ms: self.expected_ms(stats, best.uncached),
            report_age: stats
                .load
                .map(|(_, seen)| now.saturating_duration_since(seen)),
        })
    }

    /// When the first endpoint that accepts no request at the moment does so again.
    pub fn next_permit(
        &self,
        records: &[EndpointRecord],
        excluded: &[EndpointId],
        now: Instant,
    ) -> Option<Instant> {
        let records = records.iter();
        let records = records.filter(|record| !excluded.contains(&record.id));
        let times = records.filter_map(|record| match self.allowances.permit(record, now) {
            SendPermit::DeniedUntil(at) => Some(at),
            _ => None,
        });
        times.min()
    }

    /// Sets the VMs of this router and of the others, which share the rate limits of endpoints.
    pub fn set_routers(&mut self, own: VmId, others: Vec<VmId>, now: Instant) {
        self.routers = others.len() + 1;
        self.allowances.warmup().set_routers(&own, &others, now);
        let sharing = if self.knows_all_loads() {
            self.demand_share = 1.0 / self.routers as f64;
            LimitSharing::Demand(self.demand_share)
        } else {
            LimitSharing::Owners { own, others }
        };
        self.allowances.set_sharing(sharing, now);
    }

    /// Sets the bound on requests to cold endpoints.
    pub fn set_cold_bound(&mut self, overrun: f64, slack: f64) {
        self.allowances.warmup().set_bound(overrun, slack);
    }

    /// Whether the other routers send their loads to this one.
    fn knows_all_loads(&self) -> bool {
        self.routers <= NEIGHBOUR_LIMIT
    }

    /// Updates this router's share of the rate limits in a small fleet, which is its share of the
    /// running requests.
    fn update_share(&mut self, now: Instant) {
        if !self.knows_all_loads() || self.share_at.is_some_and(|at| now < at) {
            return;
        }
        self.share_at = Some(now + SHARE_INTERVAL);
        let stats = self.stats.values();
        let (own, others) = stats.fold((0, 0), |(own, others), entry| {
            (own + entry.running, others + entry.other_running)
        });
        // Routers without a request keep a part as well.
        let own = f64::from(own) + 1.0;
        let share = own / (own + f64::from(others) + self.routers as f64 - 1.0);
        self.demand_share += (share - self.demand_share) * SHARE_WEIGHT;
        let sharing = LimitSharing::Demand(self.demand_share);
        self.allowances.set_sharing(sharing, now);
    }

    /// Records what an endpoint asked for in a response. Returns its rate limit if other routers
    /// should learn it.
    ///
    /// `drain` is the time for which a leaving endpoint still accepts requests.
    pub fn record_signals(
        &mut self,
        in_flight: &InFlight,
        signals: EndpointSignals,
        drain: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<RateReport> {
        let run = RunId {
            endpoint: &in_flight.endpoint,
            started_ms: in_flight.started_ms,
        };
        self.allowances
            .record(run, signals, in_flight.sent, drain, now, rng)
    }

    /// Sets a rate limit that another router reported.
    pub fn merge_rate(&mut self, report: &RateReport, now: Instant, rng: &mut impl Rng) {
        let run = RunId {
            endpoint: &report.endpoint,
            started_ms: report.started_ms,
        };
        self.allowances.set_rate(run, report.per_second, now, rng);
    }

    /// Records that a request is sent to the chosen endpoint.
    pub fn begin(
        &mut self,
        placement: &Placement,
        prompt: Option<&PromptSpec>,
        now: Instant,
    ) -> InFlight {
        let record = &placement.record;
        let usual_latency_ms = self.usual_latency_ms;
        self.changed.insert(record.id.clone());
        self.allowances.take(record, now);
        let stats = self.stats_mut(record, now);
        let only_unread = stats.known_load().1 == 0;
        stats.running += 1;
        stats.unread_tokens += placement.uncached;
        let progress = stats.progress.clone();
        let predicted_ms = match prompt {
            Some(prompt) => {
                stats.remember_prefixes(&prefix_chain(&prompt.parts), now);
                placement.wait_ms.max(usual_latency_ms)
            }
            None => usual_latency_ms,
        };
        InFlight {
            endpoint: record.id.clone(),
            started_ms: record.started_ms,
            uncached: placement.uncached,
            only_unread,
            predicted_ms,
            sent: now,
            responded: false,
            progress,
        }
    }

    /// Records the first part of a response.
    pub fn record_response(
        &mut self,
        in_flight: &mut InFlight,
        load: Option<EndpointLoad>,
        now: Instant,
    ) {
        if in_flight.responded {
            return;
        }
        in_flight.responded = true;
        in_flight.progress.record_response();
        let taken_ms = now.saturating_duration_since(in_flight.sent).as_secs_f64() * 1e3;
        if in_flight.only_unread && in_flight.uncached >= MEASURED_TOKENS_MIN {
            let rate = in_flight.uncached as f64 / taken_ms.max(1.0);
            self.prefill_rate += (rate - self.prefill_rate) * 0.1;
        }
        if in_flight.uncached == 0 {
            self.usual_latency_ms += (taken_ms - self.usual_latency_ms) * 0.05;
        }
        self.changed.insert(in_flight.endpoint.clone());
        let Some(stats) = self.current_stats(in_flight) else {
            return;
        };
        stats.unread_tokens = stats.unread_tokens.saturating_sub(in_flight.uncached);
        let (low, high) = SLOWDOWN_RANGE;
        let ratio = (taken_ms / in_flight.predicted_ms.max(1.0)).clamp(low, high);
        stats.slowdown.observe(ratio, now);
        stats.failed_connects = 0;
        stats.blocked_until = None;
        if let Some(load) = load {
            stats.load = Some((load, now));
        }
    }

    /// Records the end of a request; `failed` if the endpoint closed the connection early or
    /// responded with an error.
    pub fn finish(&mut self, in_flight: &InFlight, failed: bool, now: Instant) {
        self.changed.insert(in_flight.endpoint.clone());
        let Some(stats) = self.current_stats(in_flight) else {
            return;
        };
        stats.running = stats.running.saturating_sub(1);
        if !in_flight.responded {
            stats.unread_tokens = stats.unread_tokens.saturating_sub(in_flight.uncached);
        }
        stats.failures.observe(if failed { 1.0 } else { 0.0 }, now);
    }

    /// Records that an endpoint could not be connected, or that another run answered at its
    /// address, and blocks the endpoint for a while.
    pub fn block(&mut self, endpoint: &EndpointId, now: Instant) {
        let Some(stats) = self.stats.get_mut(endpoint) else {
            return;
        };
        let pause = (BACKOFF_MIN * 2_u32.saturating_pow(stats.failed_connects)).min(BACKOFF_MAX);
        stats.failures.observe(1.0, now);
        stats.failed_connects = (stats.failed_connects + 1).min(8);
        stats.blocked_until = Some(now + pause);
    }

    /// Returns the load that this router puts on endpoints where it has changed since the last call
    /// or, with `all`, where requests are running.
    pub fn take_loads(&mut self, all: bool) -> Vec<RouterLoad> {
        let changed = std::mem::take(&mut self.changed);
        let stats = self.stats.iter();
        let shown = stats.filter(|(id, entry)| changed.contains(*id) || (all && entry.running > 0));
        let loads = shown.map(|(id, entry)| RouterLoad {
            endpoint: id.clone(),
            running: entry.running,
            unread_tokens: entry.unread_tokens,
        });
        loads.collect()
    }

    /// Merges loads reported by another router; `number` orders its messages.
    pub fn merge_loads(&mut self, vm: &VmId, number: u64, loads: Vec<RouterLoad>, now: Instant) {
        let last = self.last_message.entry(vm.clone()).or_default();
        if number <= *last {
            return;
        }
        *last = number;
        for load in loads {
            if let Some(stats) = self.stats.get_mut(&load.endpoint) {
                stats.replace_load(vm.clone(), load, now);
            }
        }
    }

    fn expire_loads(&mut self, now: Instant) {
        if self.expire_at.is_some_and(|at| now < at) {
            return;
        }
        self.expire_at = Some(now + LOAD_EXPIRY / 6);
        for stats in self.stats.values_mut() {
            stats.expire_loads(now);
        }
    }

    /// Endpoints for whose responses requests of this router wait for too long.
    pub(crate) fn silent_endpoints(&self, now: Instant) -> Vec<EndpointId> {
        let silent = self.stats.iter();
        let silent = silent.filter(|(_, stats)| stats.progress.is_silent(now));
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Drops the statistics of endpoints that are no longer registered and run no request.
    pub fn retain(&mut self, records: &[EndpointRecord]) {
        self.allowances.expire(Instant::now());
        let ids: HashSet<&EndpointId> = records.iter().map(|record| &record.id).collect();
        self.stats
            .retain(|id, stats| ids.contains(id) || stats.running > 0);
    }

    /// Whether reading the request's own part of a prompt makes other streams pause for too long.
    fn is_long(&self, query: PlacementQuery<'_>, chain: &[(u64, Tokens)]) -> bool {
        let (Some(prompt), Some(max_gap)) = (query.prompt, query.max_gap) else {
            return false;
        };
        let own_tokens = prompt.input_tokens.saturating_sub(shared_tokens(chain));
        let read_ms = own_tokens as f64 / self.prefill_rate;
        read_ms > max_gap.as_secs_f64() * 1e3 * LONG_PROMPT_SHARE
    }

    /// Engines reserved for long prompts. Their share of all engines follows the share of long
    /// prompts in the prompt tokens. All routers pick the same engines.
    fn reserved_engines<'a>(
        &self,
        query: PlacementQuery<'_>,
        records: &'a [EndpointRecord],
        now: Instant,
    ) -> HashSet<&'a EndpointId> {
        if query.prompt.is_none() || self.long_prompt_share * records.len() as f64 <= 0.5 {
            return HashSet::new();
        }
        // An engine that limits its rate cannot take the long prompts of the others.
        let usable = records.iter().filter(|record| {
            !query.excluded.contains(&record.id)
                && !self.is_blocked(record, now)
                && !self.allowances.is_limited(record)
        });
        let mut ids: Vec<&EndpointId> = usable.map(|record| &record.id).collect();
        if ids.len() < RESERVED_MIN_ENGINES {
            return HashSet::new();
        }
        let wanted = (ids.len() as f64 * self.long_prompt_share).round() as usize;
        let limit = wanted.min(ids.len() / RESERVED_DIVISOR);
        ids.sort_by_cached_key(|id| xxh3_64_with_seed(id.as_bytes(), 0));
        ids.truncate(limit);
        ids.into_iter().collect()
    }

    fn record_demand(&mut self, input: Tokens, is_long: bool) {
        // Weights each prompt by its size in relation to the averaging window.
        let weight = input as f64 / (input as f64 + DEMAND_WINDOW_TOKENS);
        let observed = if is_long { 1.0 } else { 0.0 };
        self.long_prompt_share += (observed - self.long_prompt_share) * weight;
    }

    fn outlook(
        &self,
        stats: &EndpointStats,
        chain: &[(u64, Tokens)],
        now: Instant,
    ) -> EngineOutlook {
        let (running, waiting) = stats.outstanding(now);
        EngineOutlook {
            prefill_rate: self.prefill_rate,
            cached_tokens: stats.cached_tokens(chain),
            unread_tokens: stats.known_load().1,
            running,
            waiting,
            slowdown: stats.slowdown(now),
        }
    }

    /// Time to the first event, without the slowdown of the engine.
    fn expected_ms(&self, stats: &EndpointStats, uncached: Tokens) -> f64 {
        let (running, unread_tokens) = stats.known_load();
        let read_ms = (uncached + unread_tokens) as f64 / self.prefill_rate;
        read_ms + f64::from(running) * RUNNING_COST_MS
    }

    fn service_cost(&self, stats: &EndpointStats, record: &EndpointRecord, now: Instant) -> f64 {
        let (running, waiting) = stats.outstanding(now);
        let slots = f64::from(record.slots.max(1));
        self.usual_latency_ms * (1.0 + (running + waiting) / slots) * stats.slowdown(now)
    }

    fn is_blocked(&self, record: &EndpointRecord, now: Instant) -> bool {
        let stats = self.stats.get(&record.id);
        stats.is_some_and(|stats| stats.is_blocked(now))
    }

    /// Statistics of an endpoint's run. A new run under the same id starts with empty statistics.
    fn stats_mut(&mut self, record: &EndpointRecord, now: Instant) -> &mut EndpointStats {
        let stats = self
            .stats
            .entry(record.id.clone())
            .or_insert_with(|| EndpointStats::new(record.started_ms, now));
        if stats.started_ms != record.started_ms {
            *stats = EndpointStats::new(record.started_ms, now);
        }
        stats
    }

    fn current_stats(&mut self, in_flight: &InFlight) -> Option<&mut EndpointStats> {
        let stats = self.stats.get_mut(&in_flight.endpoint)?;
        (stats.started_ms == in_flight.started_ms).then_some(stats)
    }
}
