//! Expected cost of an endpoint for a request, and which endpoints a decision compares.
//!
//! What is known of the endpoints is passed in; [`LoadBalancer`](crate::LoadBalancer) keeps it.

use std::{
    collections::HashSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{EndpointId, Tokens},
    rand::{Rng, seq::index},
    xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed},
};

use crate::{
    record::EndpointRecord,
    request::{PromptPart, PromptSpec},
};

/// Cost in ms of reading a token of a shared prompt part that another engine has cached, in
/// addition to the reading time. The operators rate a thousand such tokens as bad as a delay of a
/// quarter of a second, for a request whose first event is due after a second.
const REREAD_COST_MS: f64 = 0.25;
/// Cost in ms of a short request at an engine that is reserved for long prompts.
const RESERVED_COST_MS: f64 = 200.0;
/// Cost of a long prompt at an engine that runs other requests, per running request, as a share of
/// the time to read the prompt.
const INTERFERENCE_SHARE: f64 = 0.5;
/// Cost in ms of each request that already runs at an engine.
pub(crate) const RUNNING_COST_MS: f64 = 1.0;
/// Cost in ms of each request that waits at an engine; about the time to read an average prompt.
const WAITING_COST_MS: f64 = 60.0;
/// Number of endpoints up to which a decision compares all of them.
pub(crate) const COMPARE_ALL_MAX: usize = 32;
/// Part of the target latency that a response which counts as in time is expected to leave: for the
/// network, for the first event after the prompt was read, and for requests of routers whose loads
/// are not known.
const TARGET_MARGIN: f64 = 0.1;
/// Weight of a measured rate that is higher or lower than the known one: half of the way to a higher
/// one, so that a router knows the rate after a few prompts; it places three long ones a second.
const RATE_WEIGHT_UP: f64 = 0.5;
const RATE_WEIGHT_DOWN: f64 = 0.05;
/// Number of random endpoints among those that a decision compares in a larger fleet.
const RANDOM_CANDIDATES: usize = 16;
/// Number of engines compared because they may cache the shared parts of a prompt: the first by
/// rendezvous hashing, and those that take its place while it is busy or blocked.
const HOME_CANDIDATES: usize = 4;
/// Largest number of endpoints compared because a connection to them is open.
const CONNECTED_CANDIDATES: usize = 12;

/// Requirements of a request on its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementQuery<'a> {
    /// Prompt, if the endpoint is a model engine.
    pub prompt: Option<&'a PromptSpec>,
    /// Longest acceptable pause between two events.
    pub max_gap: Option<Duration>,
    /// Endpoints that were already tried.
    pub excluded: &'a [EndpointId],
    /// Addresses to which an idle connection is open; `None` if they are not preferred.
    pub connected: Option<&'a HashSet<SocketAddr>>,
    /// When the response should begin; `None` to choose by cost alone.
    pub target: Option<LatencyTarget>,
}

/// When the response to a request should begin.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTarget {
    /// Intended time from the arrival of a request to its response, or to its first event.
    pub latency: Duration,
    /// End of this time for the request.
    pub start_by: Instant,
}

/// Chosen endpoint, with the values that the choice is logged with.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Registration of the chosen endpoint.
    pub record: EndpointRecord,
    /// Expected cost in ms.
    pub cost_ms: f64,
    /// Expected time to the first part of the response in ms.
    pub wait_ms: f64,
    /// Second-best endpoint and its cost in ms.
    pub runner_up: Option<(EndpointId, f64)>,
    /// Prompt tokens that the endpoint has probably not cached.
    pub uncached: Tokens,
    /// Whether the response is expected in time.
    pub outlook: PlacementOutlook,
    /// Age of the endpoint's last load report.
    pub report_age: Option<Duration>,
}

/// How well an engine suits a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineFit {
    /// Whether the engine is the one that caches the shared parts of the prompt.
    pub(crate) is_home: bool,
    /// Whether the engine is reserved for long prompts.
    pub(crate) is_reserved: bool,
    /// Whether the prompt is long.
    pub(crate) is_long: bool,
}

/// Prompt tokens that the engines read per ms, from the times to the first events of long prompts.
///
/// Prompts of other routers, of which this one may not know, and slow engines only lengthen these
/// times, so that a higher rate counts more than a lower one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillRate(f64);

impl PrefillRate {
    pub(crate) fn new(initial: f64) -> Self {
        Self(initial)
    }

    pub(crate) fn get(self) -> f64 {
        self.0
    }

    pub(crate) fn observe(&mut self, rate: f64) {
        let weight = if rate > self.0 {
            RATE_WEIGHT_UP
        } else {
            RATE_WEIGHT_DOWN
        };
        self.0 += (rate - self.0) * weight;
    }
}

/// What is known of an engine when a request is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineOutlook {
    /// Prompt tokens that the engine reads per ms.
    pub(crate) prefill_rate: f64,
    /// Tokens of the prompt that it has cached, as far as this router has seen.
    pub(crate) cached_tokens: Tokens,
    /// Prompt tokens of other requests that it has not read yet.
    pub(crate) unread_tokens: Tokens,
    /// Running requests.
    pub(crate) running: f64,
    /// Waiting requests.
    pub(crate) waiting: f64,
    /// Observed latency as a multiple of the expected one.
    pub(crate) slowdown: f64,
}

/// What is expected of a prompt at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineCost {
    /// Cost in ms.
    pub(crate) cost_ms: f64,
    /// Time in ms until the engine has read the prompt.
    pub(crate) start_ms: f64,
    /// Prompt tokens that the engine has probably not cached.
    pub(crate) uncached: Tokens,
}

impl EngineOutlook {
    /// What is expected of a prompt.
    pub(crate) fn cost(
        &self,
        prompt: &PromptSpec,
        chain: &[(u64, Tokens)],
        fit: EngineFit,
    ) -> EngineCost {
        let shared = shared_tokens(chain);
        let assumed = if fit.is_home { shared } else { 0 };
        let cached_tokens = self.cached_tokens.max(assumed);
        let uncached = prompt.input_tokens.saturating_sub(cached_tokens);
        let read_ms = uncached as f64 / self.prefill_rate;
        let wait_ms = self.unread_tokens as f64 / self.prefill_rate;
        let load_ms = self.running * RUNNING_COST_MS + self.waiting * WAITING_COST_MS;
        let reread = shared.saturating_sub(cached_tokens) as f64 * REREAD_COST_MS;
        let misplaced = match (fit.is_long, fit.is_reserved) {
            (true, false) => self.running * read_ms * INTERFERENCE_SHARE,
            (false, true) => RESERVED_COST_MS,
            _ => 0.0,
        };
        let start_ms = (read_ms + wait_ms + load_ms) * self.slowdown;
        EngineCost {
            cost_ms: start_ms + reread + misplaced,
            start_ms,
            uncached,
        }
    }
}

/// Endpoint that a decision compares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) record: &'a EndpointRecord,
    /// Expected cost in ms.
    pub(crate) cost_ms: f64,
    /// Expected time to the beginning of the response in ms; 0 if it does not matter.
    pub(crate) start_ms: f64,
    /// Prompt tokens that the endpoint has probably not cached.
    pub(crate) uncached: Tokens,
}

impl LatencyTarget {
    /// Longest expected time in ms, of a request that is sent now, with which it counts as in time.
    fn budget_ms(&self, now: Instant) -> f64 {
        let remaining = self.start_by.saturating_duration_since(now);
        remaining.as_secs_f64() * 1e3 - self.latency.as_secs_f64() * 1e3 * TARGET_MARGIN
    }
}

/// What is expected of the chosen endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementOutlook {
    /// The cheapest endpoint was chosen; no time was asked for.
    ByCost,
    /// The response begins in time.
    InTime,
    /// The response begins late, and would at each compared endpoint at the moment.
    Late,
}

impl PlacementOutlook {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ByCost => "by_cost",
            Self::InTime => "in_time",
            Self::Late => "late",
        }
    }
}

/// Which endpoint of a decision is best.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RankRule {
    /// The cheapest.
    Cost,
    /// The cheapest of those that are expected to begin the response within this time in ms; if
    /// there is none, the earliest.
    InTime(f64),
}

impl RankRule {
    pub(crate) fn new(query: PlacementQuery<'_>, now: Instant) -> Self {
        let (Some(_), Some(target)) = (query.prompt, query.target) else {
            return Self::Cost;
        };
        Self::InTime(target.budget_ms(now))
    }

    fn is_late(self, candidate: &Candidate<'_>) -> bool {
        matches!(self, Self::InTime(budget_ms) if candidate.start_ms > budget_ms)
    }

    /// Sorts the endpoints of a decision, best first.
    pub(crate) fn sort(self, candidates: &mut [Candidate<'_>]) {
        let rank = |candidate: &Candidate<'_>| {
            let is_late = self.is_late(candidate);
            let value = if is_late {
                candidate.start_ms
            } else {
                candidate.cost_ms
            };
            (is_late, value)
        };
        candidates.sort_by(|left, right| {
            let (left, right) = (rank(left), rank(right));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        });
    }

    pub(crate) fn outlook(self, chosen: &Candidate<'_>) -> PlacementOutlook {
        match self {
            Self::Cost => PlacementOutlook::ByCost,
            Self::InTime(_) if self.is_late(chosen) => PlacementOutlook::Late,
            Self::InTime(_) => PlacementOutlook::InTime,
        }
    }
}

/// Hashes of all prefixes of a prompt, each with its length in tokens.
pub(crate) fn prefix_chain(parts: &[PromptPart]) -> Vec<(u64, Tokens)> {
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

/// Tokens of the shared parts of a prompt, which are all except the last one.
pub(crate) fn shared_tokens(chain: &[(u64, Tokens)]) -> Tokens {
    chain.len().checked_sub(2).map_or(0, |last| chain[last].1)
}

/// Endpoints to compare for a request: all of a small fleet. In a larger one the cost of a decision
/// must not grow with the fleet, so these are the engines that may cache the prompt, some that are
/// connected and some random ones.
pub(crate) fn select_candidates<'a>(
    records: &'a [EndpointRecord],
    query: PlacementQuery<'_>,
    chain: &[(u64, Tokens)],
    rng: &mut impl Rng,
) -> Vec<&'a EndpointRecord> {
    if records.len() <= COMPARE_ALL_MAX {
        return records.iter().collect();
    }
    let mut selected = home_engines(chain, records.iter(), HOME_CANDIDATES);
    let mut add = |record: &'a EndpointRecord| {
        if selected.iter().all(|other| other.id != record.id) {
            selected.push(record);
        }
    };
    // Starts at a random endpoint, so that not always the same connected ones are left out.
    let (before, after) = records.split_at(rng.random_range(0..records.len()));
    let is_connected = |record: &EndpointRecord| {
        let connected = query.connected;
        connected.is_some_and(|connected| connected.contains(&record.address))
    };
    let connected = after.iter().chain(before);
    let connected = connected.filter(|record| is_connected(record));
    connected.take(CONNECTED_CANDIDATES).for_each(&mut add);
    let random = index::sample(rng, records.len(), RANDOM_CANDIDATES);
    random
        .into_iter()
        .for_each(|position| add(&records[position]));
    selected
}

/// Engines that cache the shared parts of a prompt, best first, by rendezvous hashing, so that all
/// routers send requests with the same parts to the same engine.
pub(crate) fn home_engines<'a>(
    chain: &[(u64, Tokens)],
    candidates: impl Iterator<Item = &'a EndpointRecord>,
    limit: usize,
) -> Vec<&'a EndpointRecord> {
    let shared = chain.len().checked_sub(2).map(|last| chain[last].0);
    let Some(hash) = shared else {
        return Vec::new();
    };
    let mut homes: Vec<(u64, &EndpointRecord)> = Vec::with_capacity(limit + 1);
    for record in candidates {
        let rank = xxh3_64_with_seed(record.id.as_bytes(), hash);
        let position = homes.partition_point(|(other, _)| *other >= rank);
        if position < limit {
            homes.truncate(limit - 1);
            homes.insert(position, (rank, record));
        }
    }
    homes.into_iter().map(|(_, record)| record).collect()
}
