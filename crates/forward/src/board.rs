use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{DomainId, EndpointId, Tokens, VmId},
    rand::Rng,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed},
};

use crate::{
    port::EndpointLoad,
    record::EndpointRecord,
    request::{PromptPart, PromptSpec},
};

/// Prompt tokens that an engine reads in a millisecond, before any prompt was measured.
const FIRST_PREFILL_RATE: f64 = 55.0;
/// Smallest prompt, in unread tokens, by which the rate is measured; shorter ones are dominated by
/// the way there and the first step.
const MEASURED_PROMPT: Tokens = 4_000;
/// Cost of a token of a shared part that another engine has cached and this one must read, in ms
/// beside the reading. The operators price a thousand such tokens like about a quarter of a second
/// of delay of a request whose time to the first event is a second.
const REREAD_COST_MS: f64 = 0.25;
/// A prompt is long when reading its own part takes this share of the pause that its route allows
/// between events; beside it, other streams would pause too long.
const LONG_SHARE: f64 = 0.5;
/// Cost of a short request at an engine that is kept for long prompts, in ms.
const LONG_PLACE_COST_MS: f64 = 200.0;
/// Cost of a long prompt beside a running stream, as a part of the time to read it.
const BESIDE_LONG_SHARE: f64 = 0.5;
/// Largest part of the engines that is kept for long prompts, as a divisor.
const LONG_PLACES_MAX: usize = 3;
/// Engines from which on some are kept for long prompts.
const LONG_PLACES_FROM: usize = 4;
/// Cost of a request that runs beside another one at an engine, in ms.
const RUNNING_COST_MS: f64 = 1.0;
/// Cost of a request that waits at an engine, in ms; about the time to read a mean prompt.
const WAITING_COST_MS: f64 = 60.0;
/// Cost of leaving the own failure domain, in ms: the way there and back, and the priced bytes.
const FAR_COST_MS: f64 = 5.0;
/// Cost of a certain failure, in ms; a few times the usual latency aims.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Weight of a new observation in a moving average.
const AVERAGE_WEIGHT: f64 = 0.3;
/// Time after which an observation counts for half, so that a slow or failing endpoint is tried
/// again.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(4);
/// Time after which a load report counts for half; endpoints' load changes within a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// First pause after an endpoint could not be connected; it doubles with each further failure.
const BLOCK_MIN: Duration = Duration::from_millis(500);
/// Longest pause, so that an endpoint that is back is found within seconds.
const BLOCK_MAX: Duration = Duration::from_secs(4);
/// Range of a learned slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);
/// Usual latency of a service before any answer was seen, in ms.
const FIRST_USUAL_MS: f64 = 40.0;
/// Unread tokens over which the part of long prompts is averaged; some hundred requests.
const DEMAND_MEMORY: f64 = 500_000.0;
/// Prompt prefixes remembered for an endpoint.
const PREFIX_LIMIT: usize = 512;
/// Age at which what another router said of its load counts no more; it repeats what is not zero
/// every second.
const SHARE_EXPIRY: Duration = Duration::from_secs(3);
/// Random part of a cost, so that routers with equal knowledge do not all choose the same endpoint.
const JITTER: f64 = 0.05;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementNeed<'a> {
    /// Prompt, for a model engine.
    pub prompt: Option<&'a PromptSpec>,
    /// Longest pause between two events that is still on time.
    pub gap: Option<Duration>,
    /// Endpoints that failed this request before.
    pub avoid: &'a [EndpointId],
}

/// Chosen endpoint with the facts for the decision log.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Endpoint that gets the request.
    pub record: EndpointRecord,
    /// Expected cost in ms.
    pub cost_ms: f64,
    /// Expected time to the first part of the answer in ms.
    pub wait_ms: f64,
    /// Second-best endpoint and its cost in ms.
    pub runner_up: Option<(EndpointId, f64)>,
    /// Prompt tokens that the endpoint probably has to read.
    pub uncached: Tokens,
    /// Age of the endpoint's last load report.
    pub report_age: Option<Duration>,
}

/// Request in flight at an endpoint; names it in the board.
#[derive(Clone, Debug)]
pub struct Flight {
    endpoint: EndpointId,
    started_ms: u64,
    uncached: Tokens,
    /// Whether the endpoint had no other unread prompt, as far as known.
    alone: bool,
    predicted_ms: f64,
    sent: Instant,
    answered: bool,
}

impl Flight {
    /// Endpoint that runs the request.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }
}

/// Load that one router puts on an endpoint, for other routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Requests of the router that have not ended.
    pub running: u32,
    /// Prompt tokens of the router that the endpoint has not read yet.
    pub pending: Tokens,
}

/// What one router knows of the load and the faults of all endpoints.
#[derive(Debug)]
pub struct EndpointBoard {
    domain: DomainId,
    stats: HashMap<EndpointId, EndpointStats>,
    usual_ms: f64,
    prefill_rate: f64,
    /// Moving part of long prompts in all unread prompt tokens.
    long_part: f64,
    changed: HashSet<EndpointId>,
    /// Number of the last message of each router; older ones are left out.
    heard: HashMap<VmId, u64>,
    /// When shares that are too old are dropped next.
    expire_at: Option<Instant>,
}

#[derive(Debug)]
struct EndpointStats {
    started_ms: u64,
    running: u32,
    pending: Tokens,
    shares: HashMap<VmId, (LoadShare, Instant)>,
    /// Sum of the running requests in `shares`.
    shared_running: u32,
    /// Sum of the unread tokens in `shares`.
    shared_pending: Tokens,
    load: Option<(EndpointLoad, Instant)>,
    slowdown: FadingAverage,
    failures: FadingAverage,
    blocked_until: Option<Instant>,
    blocks: u32,
    prefixes: HashMap<u64, Instant>,
}

/// Moving average that returns to its resting value when nothing is observed.
#[derive(Clone, Copy, Debug)]
struct FadingAverage {
    value: f64,
    rest: f64,
    updated: Instant,
}

impl FadingAverage {
    fn new(rest: f64, now: Instant) -> Self {
        Self {
            value: rest,
            rest,
            updated: now,
        }
    }

    fn get(&self, now: Instant) -> f64 {
        let kept = fade(now, self.updated, OBSERVATION_HALF_LIFE);
        self.rest + (self.value - self.rest) * kept
    }

    fn observe(&mut self, value: f64, now: Instant) {
        let current = self.get(now);
        self.value = current + (value - current) * AVERAGE_WEIGHT;
        self.updated = now;
    }
}

/// Part of an observation that still counts.
fn fade(now: Instant, seen: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(seen);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

impl EndpointStats {
    fn new(started_ms: u64, now: Instant) -> Self {
        Self {
            started_ms,
            running: 0,
            pending: 0,
            shares: HashMap::new(),
            shared_running: 0,
            shared_pending: 0,
            load: None,
            slowdown: FadingAverage::new(1.0, now),
            failures: FadingAverage::new(0.0, now),
            blocked_until: None,
            blocks: 0,
            prefixes: HashMap::new(),
        }
    }

    fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|until| until > now)
    }

    /// Requests and unread prompt tokens that all routers have at the endpoint, as far as known.
    fn known(&self) -> (u32, Tokens) {
        (
            self.running + self.shared_running,
            self.pending + self.shared_pending,
        )
    }

    /// Takes in what another router said.
    fn share(&mut self, vm: VmId, share: LoadShare, now: Instant) {
        self.shared_running += share.running;
        self.shared_pending += share.pending;
        if let Some((before, _)) = self.shares.insert(vm, (share, now)) {
            self.shared_running -= before.running;
            self.shared_pending -= before.pending;
        }
    }

    /// Drops what other routers said too long ago.
    fn expire_shares(&mut self, now: Instant) {
        self.shares
            .retain(|_, (_, heard)| now.saturating_duration_since(*heard) < SHARE_EXPIRY);
        let shares = self.shares.values().map(|(share, _)| share);
        (self.shared_running, self.shared_pending) = shares
            .fold((0, 0), |(running, pending), share| {
                (running + share.running, pending + share.pending)
            });
    }

    /// Requests that run and wait at the endpoint: the report while it is fresh, and those known.
    fn outstanding(&self, now: Instant) -> (f64, f64) {
        let own = f64::from(self.known().0);
        let Some((load, seen)) = self.load else {
            return (own, 0.0);
        };
        let weight = fade(now, seen, REPORT_HALF_LIFE);
        let running = own.max(f64::from(load.running) * weight);
        (running, f64::from(load.waiting) * weight)
    }

    fn slowdown(&self, now: Instant) -> f64 {
        let learned = self.slowdown.get(now);
        let Some((load, seen)) = self.load else {
            return learned;
        };
        let weight = fade(now, seen, REPORT_HALF_LIFE);
        let reported = f64::from(load.slowdown_percent.max(100)) / 100.0;
        learned * (1.0 + (reported - 1.0) * weight)
    }

    fn cached(&self, chain: &[(u64, Tokens)]) -> Tokens {
        let known = chain
            .iter()
            .rev()
            .find(|(hash, _)| self.prefixes.contains_key(hash));
        known.map_or(0, |(_, tokens)| *tokens)
    }

    fn remember(&mut self, chain: &[(u64, Tokens)], now: Instant) {
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

/// Hashes of all beginnings of a prompt, each with its length in tokens.
fn prefix_chain(parts: &[PromptPart]) -> Vec<(u64, Tokens)> {
    let mut hash = Xxh3::new();
    let mut tokens = 0;
    let mut chain = Vec::with_capacity(parts.len());
    for part in parts {
        hash.update(&part.id.to_le_bytes());
        tokens += part.tokens;
        chain.push((hash.digest(), tokens));
    }
    chain
}

impl EndpointBoard {
    /// Starts without any knowledge, for a router in a failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            stats: HashMap::new(),
            usual_ms: FIRST_USUAL_MS,
            prefill_rate: FIRST_PREFILL_RATE,
            long_part: 0.0,
            changed: HashSet::new(),
            heard: HashMap::new(),
            expire_at: None,
        }
    }

    /// Chooses the endpoint with the least expected cost; `None` when there is none to choose.
    pub fn choose(
        &mut self,
        records: &[EndpointRecord],
        need: PlacementNeed<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        self.expire_shares(now);
        let usable = records.iter().filter(|one| !need.avoid.contains(&one.id));
        let usable: Vec<&EndpointRecord> = usable.collect();
        for record in &usable {
            self.meet(record, now);
        }
        let open = usable.iter().copied();
        let open: Vec<&EndpointRecord> = open.filter(|one| !self.is_blocked(one, now)).collect();
        // With all of them blocked, a try costs less than a refusal.
        let candidates = if open.is_empty() { usable } else { open };
        let chain = prefix_chain(need.prompt.map_or(&[], |prompt| &prompt.parts));
        let is_long = self.is_long(need, &chain);
        let long_places = self.long_places(need, &candidates);
        let shorts = candidates.iter().copied();
        let shorts: Vec<&EndpointRecord> = shorts
            .filter(|one| !long_places.contains(&one.id))
            .collect();
        let home = shared_home(&chain, &shorts);
        let mut costs: Vec<(f64, Tokens, &EndpointRecord)> = Vec::with_capacity(candidates.len());
        for record in candidates {
            let stats = self.stats.get(&record.id)?;
            let (cost, uncached) = match need.prompt {
                Some(prompt) => {
                    let place = EnginePlace {
                        at_home: home == Some(&record.id),
                        for_long: long_places.contains(&record.id),
                        is_long,
                    };
                    self.engine_cost(stats, prompt, &chain, place, now)
                }
                None => (self.service_cost(stats, record, now), 0),
            };
            let far = if record.domain == self.domain {
                0.0
            } else {
                FAR_COST_MS
            };
            let failing = stats.failures.get(now) * FAILURE_COST_MS;
            let jitter = 1.0 + rng.random::<f64>() * JITTER;
            costs.push(((cost + far + failing) * jitter, uncached, record));
        }
        if let Some(prompt) = need.prompt {
            self.note_demand(prompt.input_tokens, is_long);
        }
        costs.sort_by(|one, other| one.0.total_cmp(&other.0));
        let (cost_ms, uncached, record) = *costs.first()?;
        let stats = self.stats.get(&record.id)?;
        Some(Placement {
            record: record.clone(),
            cost_ms,
            runner_up: costs
                .get(1)
                .map(|(cost, _, other)| (other.id.clone(), *cost)),
            uncached,
            wait_ms: self.expected_ms(stats, uncached),
            report_age: stats
                .load
                .map(|(_, seen)| now.saturating_duration_since(seen)),
        })
    }

    /// Notes a request as sent.
    pub fn begin(
        &mut self,
        placement: &Placement,
        prompt: Option<&PromptSpec>,
        now: Instant,
    ) -> Flight {
        let record = &placement.record;
        let usual = self.usual_ms;
        self.changed.insert(record.id.clone());
        let stats = self.meet(record, now);
        let alone = stats.known().1 == 0;
        stats.running += 1;
        stats.pending += placement.uncached;
        let predicted_ms = match prompt {
            Some(prompt) => {
                stats.remember(&prefix_chain(&prompt.parts), now);
                placement.wait_ms.max(usual)
            }
            None => usual,
        };
        Flight {
            endpoint: record.id.clone(),
            started_ms: record.started_ms,
            uncached: placement.uncached,
            alone,
            predicted_ms,
            sent: now,
            answered: false,
        }
    }

    /// Notes the first part of an answer.
    pub fn answered(&mut self, flight: &mut Flight, load: Option<EndpointLoad>, now: Instant) {
        if flight.answered {
            return;
        }
        flight.answered = true;
        let taken_ms = now.saturating_duration_since(flight.sent).as_secs_f64() * 1e3;
        if flight.alone && flight.uncached >= MEASURED_PROMPT {
            let rate = flight.uncached as f64 / taken_ms.max(1.0);
            self.prefill_rate += (rate - self.prefill_rate) * 0.1;
        }
        if flight.uncached == 0 {
            self.usual_ms += (taken_ms - self.usual_ms) * 0.05;
        }
        self.changed.insert(flight.endpoint.clone());
        let Some(stats) = self.current(flight) else {
            return;
        };
        stats.pending = stats.pending.saturating_sub(flight.uncached);
        let (low, high) = SLOWDOWN_RANGE;
        let ratio = (taken_ms / flight.predicted_ms.max(1.0)).clamp(low, high);
        stats.slowdown.observe(ratio, now);
        stats.blocks = 0;
        stats.blocked_until = None;
        if let Some(load) = load {
            stats.load = Some((load, now));
        }
    }

    /// Notes the end of a request; `failed` when the endpoint broke off or answered with an error.
    pub fn finish(&mut self, flight: &Flight, failed: bool, now: Instant) {
        self.changed.insert(flight.endpoint.clone());
        let Some(stats) = self.current(flight) else {
            return;
        };
        stats.running = stats.running.saturating_sub(1);
        if !flight.answered {
            stats.pending = stats.pending.saturating_sub(flight.uncached);
        }
        stats.failures.observe(if failed { 1.0 } else { 0.0 }, now);
    }

    /// Notes that an endpoint could not be connected or does not answer at all.
    pub fn block(&mut self, endpoint: &EndpointId, now: Instant) {
        let Some(stats) = self.stats.get_mut(endpoint) else {
            return;
        };
        let pause = (BLOCK_MIN * 2_u32.saturating_pow(stats.blocks)).min(BLOCK_MAX);
        stats.failures.observe(1.0, now);
        stats.blocks = (stats.blocks + 1).min(8);
        stats.blocked_until = Some(now + pause);
    }

    /// Own load of the endpoints where it changed since the last call; with `all`, also of those
    /// where it did not change and is not zero.
    pub fn take_shares(&mut self, all: bool) -> Vec<LoadShare> {
        let changed = std::mem::take(&mut self.changed);
        let stats = self.stats.iter();
        let shown = stats.filter(|(id, one)| changed.contains(*id) || (all && one.running > 0));
        let shares = shown.map(|(id, one)| LoadShare {
            endpoint: id.clone(),
            running: one.running,
            pending: one.pending,
        });
        shares.collect()
    }

    /// Takes in the load that another router puts on endpoints; `number` orders its messages.
    pub fn hear(&mut self, vm: &VmId, number: u64, shares: Vec<LoadShare>, now: Instant) {
        let last = self.heard.entry(vm.clone()).or_default();
        if number <= *last {
            return;
        }
        *last = number;
        for share in shares {
            if let Some(stats) = self.stats.get_mut(&share.endpoint) {
                stats.share(vm.clone(), share, now);
            }
        }
    }

    fn expire_shares(&mut self, now: Instant) {
        if self.expire_at.is_some_and(|at| now < at) {
            return;
        }
        self.expire_at = Some(now + SHARE_EXPIRY / 6);
        for stats in self.stats.values_mut() {
            stats.expire_shares(now);
        }
    }

    /// Forgets endpoints that are not registered any more.
    pub fn retain(&mut self, records: &[EndpointRecord]) {
        let ids: HashSet<&EndpointId> = records.iter().map(|record| &record.id).collect();
        self.stats
            .retain(|id, stats| ids.contains(id) || stats.running > 0);
    }

    /// Whether reading the own part of a prompt would make other streams pause for too long.
    fn is_long(&self, need: PlacementNeed<'_>, chain: &[(u64, Tokens)]) -> bool {
        let (Some(prompt), Some(gap)) = (need.prompt, need.gap) else {
            return false;
        };
        let own = prompt.input_tokens.saturating_sub(shared_tokens(chain));
        let read_ms = own as f64 / self.prefill_rate;
        read_ms > gap.as_secs_f64() * 1e3 * LONG_SHARE
    }

    /// Engines that are kept for long prompts: as large a part of all as the long prompts are of
    /// the unread tokens. All routers order the engines alike.
    fn long_places<'a>(
        &self,
        need: PlacementNeed<'_>,
        candidates: &[&'a EndpointRecord],
    ) -> HashSet<&'a EndpointId> {
        let count = candidates.len();
        let places = (count as f64 * self.long_part).round() as usize;
        if need.prompt.is_none() || count < LONG_PLACES_FROM || places == 0 {
            return HashSet::new();
        }
        let mut ids: Vec<&EndpointId> = candidates.iter().map(|record| &record.id).collect();
        ids.sort_by_cached_key(|id| xxh3_64_with_seed(id.as_bytes(), 0));
        ids.truncate(places.min(count / LONG_PLACES_MAX));
        ids.into_iter().collect()
    }

    fn note_demand(&mut self, input: Tokens, is_long: bool) {
        // Weighs each prompt by its size, against a memory of a few hundred requests.
        let weight = input as f64 / (input as f64 + DEMAND_MEMORY);
        let part = if is_long { 1.0 } else { 0.0 };
        self.long_part += (part - self.long_part) * weight;
    }

    fn engine_cost(
        &self,
        stats: &EndpointStats,
        prompt: &PromptSpec,
        chain: &[(u64, Tokens)],
        place: EnginePlace,
        now: Instant,
    ) -> (f64, Tokens) {
        let shared = shared_tokens(chain);
        let assumed = if place.at_home { shared } else { 0 };
        let cached = stats.cached(chain).max(assumed);
        let uncached = prompt.input_tokens.saturating_sub(cached);
        let (_, pending) = stats.known();
        let read_ms = uncached as f64 / self.prefill_rate;
        let wait_ms = pending as f64 / self.prefill_rate;
        let (running, waiting) = stats.outstanding(now);
        let beside_ms = running * RUNNING_COST_MS + waiting * WAITING_COST_MS;
        let reread = shared.saturating_sub(cached) as f64 * REREAD_COST_MS;
        let misplaced = match (place.is_long, place.for_long) {
            (true, false) => running * read_ms * BESIDE_LONG_SHARE,
            (false, true) => LONG_PLACE_COST_MS,
            _ => 0.0,
        };
        let slow = stats.slowdown(now);
        let cost = (read_ms + wait_ms + beside_ms) * slow + reread + misplaced;
        (cost, uncached)
    }

    /// Time to the first event, without what the engine's slowness adds.
    fn expected_ms(&self, stats: &EndpointStats, uncached: Tokens) -> f64 {
        let (running, pending) = stats.known();
        let read_ms = (uncached + pending) as f64 / self.prefill_rate;
        read_ms + f64::from(running) * RUNNING_COST_MS
    }

    fn service_cost(&self, stats: &EndpointStats, record: &EndpointRecord, now: Instant) -> f64 {
        let (running, waiting) = stats.outstanding(now);
        let slots = f64::from(record.slots.max(1));
        self.usual_ms * (1.0 + (running + waiting) / slots) * stats.slowdown(now)
    }

    fn is_blocked(&self, record: &EndpointRecord, now: Instant) -> bool {
        let stats = self.stats.get(&record.id);
        stats.is_some_and(|stats| stats.is_blocked(now))
    }

    /// State of a run; a new run under the same id starts without a past.
    fn meet(&mut self, record: &EndpointRecord, now: Instant) -> &mut EndpointStats {
        let stats = self
            .stats
            .entry(record.id.clone())
            .or_insert_with(|| EndpointStats::new(record.started_ms, now));
        if stats.started_ms != record.started_ms {
            *stats = EndpointStats::new(record.started_ms, now);
        }
        stats
    }

    fn current(&mut self, flight: &Flight) -> Option<&mut EndpointStats> {
        let stats = self.stats.get_mut(&flight.endpoint)?;
        (stats.started_ms == flight.started_ms).then_some(stats)
    }
}

/// How a request and an engine fit.
#[derive(Clone, Copy, Debug)]
struct EnginePlace {
    at_home: bool,
    for_long: bool,
    is_long: bool,
}

/// Tokens of the shared parts of a prompt; the last part belongs to the request.
fn shared_tokens(chain: &[(u64, Tokens)]) -> Tokens {
    chain.len().checked_sub(2).map_or(0, |last| chain[last].1)
}

/// Endpoint that keeps the shared parts of a prompt, by rendezvous hashing, so that all routers
/// send requests with the same parts to the same engine.
fn shared_home<'a>(
    chain: &[(u64, Tokens)],
    candidates: &[&'a EndpointRecord],
) -> Option<&'a EndpointId> {
    let (hash, _) = chain.get(chain.len().checked_sub(2)?)?;
    let ids = candidates.iter().map(|record| &record.id);
    ids.max_by_key(|id| xxh3_64_with_seed(id.as_bytes(), *hash))
}
