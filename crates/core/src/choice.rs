//! Load balancing: chooses an endpoint for a request from the state that one router knows.
//!
//! A router observes its own requests immediately and all other load with a delay. The table
//! therefore keeps the router's own observations per endpoint and uses a load report only if it is
//! newer than these.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use rand::{Rng, seq::index};

use crate::{
    EndpointId, Tokens,
    admission::{CapacityView, WorkClass},
};

pub use crate::choice::{
    pool::EndpointPool,
    stats::{AttemptId, EndpointStats, FirstToken, LoadReport},
};

mod pool;
mod stats;

/// Maximum number of endpoints examined per decision if the first two have no capacity. Bounds the
/// cost of a decision with 600 endpoints.
const SAMPLE_LIMIT: usize = 12;
/// Maximum share of a score that a prefix-cache hint may subtract. Cache events are late and
/// incomplete, so a hint must not outweigh a queue.
const HINT_SHARE: f64 = 0.3;
/// Time without an observation by this router after which a slow endpoint is probed again.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Traffic weight below which an endpoint is probed, since it gets too little work to be observed.
const PROBE_WEIGHT: f64 = 0.5;

/// Properties of a request that determine the choice of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec<'a> {
    /// Work class.
    pub class: WorkClass,
    /// Expected output length in tokens.
    pub expected_output: Tokens,
    /// Prompt length in tokens.
    pub prompt: Tokens,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Whether it must run alone, because it may crash the endpoint.
    pub isolate: bool,
    /// Endpoints on which this request has failed.
    pub avoid: &'a [EndpointId],
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It has the lower expected time of the two compared endpoints.
    LeastExpectedTime,
    /// Its prompt cache probably contains the prefix, unlike that of the other compared endpoint.
    PrefixHint,
    /// It is one of the endpoints on which long work is concentrated.
    LongWorkEndpoint,
    /// No other examined endpoint has capacity.
    OnlyCapacity,
    /// It is idle, and the request must run alone.
    Isolation,
}

impl ChoiceReason {
    /// Text for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeastExpectedTime => "least expected time of two",
            Self::PrefixHint => "prefix probably cached",
            Self::LongWorkEndpoint => "preferred endpoint for long work",
            Self::OnlyCapacity => "only examined endpoint with capacity",
            Self::Isolation => "isolated, the request may crash endpoints",
        }
    }
}

/// Chosen endpoint, with the runner-up for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChoice {
    /// Endpoint that gets the request.
    pub endpoint: EndpointId,
    /// The other compared candidate, if any.
    pub runner_up: Option<EndpointId>,
    /// Why the endpoint was chosen.
    pub reason: ChoiceReason,
    /// Number of endpoints examined.
    pub examined: usize,
}

/// Statistics of one router about all endpoints.
#[derive(Debug)]
pub struct EndpointTable {
    stats: HashMap<EndpointId, EndpointStats>,
    routers: u32,
    next_attempt: u64,
    first_tokens: VecDeque<Duration>,
}

impl Default for EndpointTable {
    fn default() -> Self {
        Self {
            stats: HashMap::new(),
            routers: 1,
            next_attempt: 0,
            first_tokens: VecDeque::new(),
        }
    }
}

/// Number of first-token times of short work kept for the percentile.
const FIRST_TOKEN_SAMPLES: usize = 128;
/// Minimum number of first-token times for the percentile; without it no hedges are sent.
const FIRST_TOKEN_MIN: usize = 32;

struct Candidate<'a> {
    endpoint: &'a EndpointId,
    score: f64,
    prefix_hint: bool,
}

impl EndpointTable {
    /// Sets the number of routers that share the endpoints.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Statistics of an endpoint; creates them with a number of slots.
    pub fn stats(&mut self, endpoint: &EndpointId, slots: u32) -> &mut EndpointStats {
        let routers = self.routers;
        self.stats
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointStats::new(slots, routers))
    }

    /// Statistics of an endpoint, if it was ever used.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointStats> {
        self.stats.get(endpoint)
    }

    /// Chooses an endpoint of a pool; `None` if no examined endpoint has capacity.
    ///
    /// `takes_work` returns whether an endpoint accepts new work.
    pub fn choose(
        &mut self,
        pool: &mut EndpointPool,
        spec: &RequestSpec<'_>,
        takes_work: impl Fn(&EndpointId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<EndpointChoice> {
        let mut examined = self.refresh(pool, now, rng);
        if spec.class == WorkClass::Long && !spec.isolate {
            let preferred = pool.long_work_endpoints(self.long_demand(pool));
            let sample = index::sample(rng, preferred, preferred.min(SAMPLE_LIMIT)).into_vec();
            let choice = self.compare(pool, &sample, spec, &takes_work, now, rng, &mut examined);
            if let Some(mut choice) = choice {
                choice.reason = ChoiceReason::LongWorkEndpoint;
                return Some(choice);
            }
        }
        let sample = index::sample(rng, pool.len(), pool.len().min(SAMPLE_LIMIT)).into_vec();
        let choice = self.compare(pool, &sample, spec, &takes_work, now, rng, &mut examined);
        if choice.is_none() && spec.isolate {
            self.block_for_isolation(pool, &sample, spec, &takes_work, now);
        }
        choice
    }

    /// Blocks new work on the endpoint that is expected to be idle first, so that an isolated request
    /// can run there.
    fn block_for_isolation(
        &mut self,
        pool: &EndpointPool,
        sample: &[usize],
        spec: &RequestSpec<'_>,
        takes_work: &impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) {
        let endpoints = sample.iter().map(|index| pool.endpoint(*index));
        let eligible =
            endpoints.filter(|endpoint| !spec.avoid.contains(endpoint) && takes_work(endpoint));
        let first = eligible.min_by_key(|endpoint| {
            let stats = self.stats.get(*endpoint);
            stats.map_or((true, 0), |stats| {
                (!stats.is_blocked(now), stats.outstanding())
            })
        });
        if let Some(stats) = first.and_then(|endpoint| self.stats.get_mut(endpoint)) {
            stats.block_new_work(now);
        }
    }

    /// Slow endpoint of a pool that should get a copy of a short request, to check whether it is still
    /// slow; at most one copy per endpoint and probe interval.
    pub fn probe(
        &mut self,
        pool: &EndpointPool,
        takes_work: impl Fn(&EndpointId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<EndpointId> {
        let sample = index::sample(rng, pool.len(), pool.len().min(2)).into_vec();
        let candidates = sample.into_iter().map(|index| pool.endpoint(index));
        let mut candidates = candidates.filter(|endpoint| takes_work(endpoint));
        let endpoint = candidates.find(|endpoint| {
            let stats = self.stats.get(*endpoint);
            stats.is_some_and(|stats| {
                stats.weight() < PROBE_WEIGHT && stats.is_probe_due(PROBE_INTERVAL, now)
            })
        })?;
        self.stats.get_mut(endpoint)?.record_probe(now);
        Some(endpoint.clone())
    }

    /// Capacity of a pool that this router may use.
    pub fn capacity(&self, pool: &EndpointPool) -> CapacityView {
        pool.capacity(self.routers)
    }

    /// Records an attempt of a request as sent.
    pub fn begin(
        &mut self,
        endpoint: &EndpointId,
        spec: &RequestSpec<'_>,
        now: Instant,
    ) -> AttemptId {
        self.next_attempt += 1;
        let id = AttemptId(self.next_attempt);
        let routers = self.routers;
        let stats = self
            .stats
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointStats::new(1, routers));
        stats.begin(id, spec, now);
        id
    }

    /// Records that an endpoint sent part of a response; returns the first token, if it is in this part.
    pub fn progress(
        &mut self,
        endpoint: &EndpointId,
        id: AttemptId,
        tokens: Tokens,
        now: Instant,
    ) -> Option<FirstToken> {
        let first = self.stats.get_mut(endpoint)?.progress(id, tokens, now)?;
        if first.class == WorkClass::Short {
            if self.first_tokens.len() == FIRST_TOKEN_SAMPLES {
                self.first_tokens.pop_front();
            }
            self.first_tokens.push_back(first.time);
        }
        Some(first)
    }

    /// Records the end of an attempt; `output` is set if the whole response arrived.
    pub fn finish(
        &mut self,
        endpoint: &EndpointId,
        id: AttemptId,
        output: Option<Tokens>,
        now: Instant,
    ) {
        if let Some(stats) = self.stats.get_mut(endpoint) {
            stats.finish(id, output, now);
        }
    }

    /// Records that an attempt failed at the endpoint or with its connection.
    pub fn fail(&mut self, endpoint: &EndpointId, id: AttemptId, now: Instant) {
        if let Some(stats) = self.stats.get_mut(endpoint) {
            stats.fail(id, now);
        }
    }

    /// 95th percentile of the time to the first token of recent short requests, once known.
    pub fn first_token_p95(&self) -> Option<Duration> {
        if self.first_tokens.len() < FIRST_TOKEN_MIN {
            return None;
        }
        let mut times: Vec<Duration> = self.first_tokens.iter().copied().collect();
        let rank = times.len() * 95 / 100;
        Some(*times.select_nth_unstable(rank).1)
    }

    fn refresh(&self, pool: &mut EndpointPool, now: Instant, rng: &mut impl Rng) -> usize {
        pool.refresh(&self.stats, now, rng)
    }

    /// Estimated number of long requests in the fleet. Extrapolates from this router's own ones, since
    /// callers are spread evenly over the routers.
    fn long_demand(&self, pool: &EndpointPool) -> f64 {
        pool.long_running(&self.stats) * f64::from(self.routers)
    }

    #[expect(clippy::too_many_arguments, reason = "one call site per sampling rule")]
    fn compare(
        &mut self,
        pool: &EndpointPool,
        sample: &[usize],
        spec: &RequestSpec<'_>,
        takes_work: &impl Fn(&EndpointId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
        examined: &mut usize,
    ) -> Option<EndpointChoice> {
        let mut candidates: Vec<Candidate<'_>> = Vec::with_capacity(2);
        let mut fallback: Option<Candidate<'_>> = None;
        let mut has_healthy = false;
        for index in sample {
            *examined += 1;
            let endpoint = pool.endpoint(*index);
            if spec.avoid.contains(endpoint) || !takes_work(endpoint) {
                continue;
            }
            let candidate = self.candidate(pool, *index, spec, now);
            let weight = self.stats.get(endpoint).map_or(1.0, EndpointStats::weight);
            has_healthy |= weight >= PROBE_WEIGHT;
            let Some(candidate) = candidate else { continue };
            if weight < 1.0 && rng.random::<f64>() >= weight {
                // A slow endpoint is skipped by its weight, but kept as a fallback for work that
                // would otherwise wait.
                if fallback
                    .as_ref()
                    .is_none_or(|best| candidate.score < best.score)
                {
                    fallback = Some(candidate);
                }
                continue;
            }
            candidates.push(candidate);
            if candidates.len() == 2 {
                break;
            }
        }
        if candidates.is_empty() && (!has_healthy || pool.is_saturated()) {
            candidates.extend(fallback);
        }
        decide(candidates, spec, *examined)
    }

    fn candidate<'a>(
        &mut self,
        pool: &'a EndpointPool,
        index: usize,
        spec: &RequestSpec<'_>,
        now: Instant,
    ) -> Option<Candidate<'a>> {
        let endpoint = pool.endpoint(index);
        let routers = self.routers;
        let stats = self
            .stats
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointStats::new(pool.slots(index), routers));
        stats.update_weight(pool.token_time(), now);
        if !stats.has_capacity(spec, now) {
            return None;
        }
        let prefix_hint = spec.prefix.is_some_and(|prefix| stats.has_prefix(prefix));
        let expected = stats.expected_time(spec, pool.token_time(), now);
        let saved = if prefix_hint {
            stats.prompt_time(spec).min(expected * HINT_SHARE)
        } else {
            0.0
        };
        Some(Candidate {
            endpoint,
            score: expected - saved,
            prefix_hint,
        })
    }
}

fn decide(
    mut candidates: Vec<Candidate<'_>>,
    spec: &RequestSpec<'_>,
    examined: usize,
) -> Option<EndpointChoice> {
    candidates.sort_by(|left, right| left.score.total_cmp(&right.score));
    let best = candidates.first()?;
    let runner_up = candidates.get(1);
    let reason = match runner_up {
        _ if spec.isolate => ChoiceReason::Isolation,
        None => ChoiceReason::OnlyCapacity,
        Some(other) if best.prefix_hint && !other.prefix_hint => ChoiceReason::PrefixHint,
        Some(_) => ChoiceReason::LeastExpectedTime,
    };
    Some(EndpointChoice {
        endpoint: best.endpoint.clone(),
        runner_up: runner_up.map(|other| other.endpoint.clone()),
        reason,
        examined,
    })
}
