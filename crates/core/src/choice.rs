//! Choice of an endpoint for a request, from what one router knows.
//!
//! A router sees its own requests at once and everything else late. The table therefore keeps the
//! router's own observations per endpoint and falls back on a load report only where it has seen
//! nothing itself since the report was made.

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
    stats::{EndpointStats, FirstToken, LoadReport, WorkId},
};

mod pool;
mod stats;

/// Endpoints that one decision looks at when the first two have no room. Bounds the cost of a
/// decision at 600 endpoints.
const SAMPLE_LIMIT: usize = 12;
/// Largest part of a score that a prefix-cache hint may take off. Cache events are late and
/// incomplete, so a hint must not outweigh a queue.
const HINT_SHARE: f64 = 0.3;
/// Time without an own observation after which a slow endpoint is probed again.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Share of traffic below which an endpoint is probed, as it gets too little work to be observed.
const PROBE_WEIGHT: f64 = 0.5;

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct WorkSpec<'a> {
    /// Class of work.
    pub class: WorkClass,
    /// Expected output in tokens.
    pub work: Tokens,
    /// Prompt in tokens.
    pub prompt: Tokens,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Whether nothing else may run beside it, because it may crash the endpoint.
    pub isolate: bool,
    /// Endpoints that failed this request before.
    pub avoid: &'a [EndpointId],
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It has the least expected time of the two that were compared.
    LeastExpectedTime,
    /// Its prompt cache probably holds the prefix, which decided between the two.
    PrefixHint,
    /// It belongs to the few endpoints on which long work is concentrated.
    LongWorkEndpoint,
    /// No other endpoint that was looked at has room.
    OnlyCapacity,
    /// It runs nothing else, and the request may crash endpoints.
    Isolation,
}

impl ChoiceReason {
    /// Text for the decision log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeastExpectedTime => "least expected time of two",
            Self::PrefixHint => "prefix probably cached",
            Self::LongWorkEndpoint => "place for long work",
            Self::OnlyCapacity => "only endpoint found with room",
            Self::Isolation => "isolated, the request may crash endpoints",
        }
    }
}

/// Outcome of a choice, with the runner-up for the decision log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointChoice {
    /// Endpoint that gets the request.
    pub endpoint: EndpointId,
    /// The other candidate that was compared.
    pub runner_up: Option<EndpointId>,
    /// Why the endpoint was chosen.
    pub reason: ChoiceReason,
    /// Endpoints that were looked at.
    pub examined: usize,
}

/// What one router knows of all endpoints.
#[derive(Debug)]
pub struct EndpointTable {
    stats: HashMap<EndpointId, EndpointStats>,
    routers: u32,
    next_work: u64,
    first_tokens: VecDeque<Duration>,
}

impl Default for EndpointTable {
    fn default() -> Self {
        Self {
            stats: HashMap::new(),
            routers: 1,
            next_work: 0,
            first_tokens: VecDeque::new(),
        }
    }
}

/// First-token times kept for the usual time of short work.
const FIRST_TOKEN_SAMPLES: usize = 128;
/// First-token times needed before hedges are sent.
const FIRST_TOKEN_MIN: usize = 32;

struct Candidate<'a> {
    endpoint: &'a EndpointId,
    score: f64,
    hinted: bool,
}

impl EndpointTable {
    /// Sets the number of routers that share the endpoints.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// What is known of an endpoint with a number of slots.
    pub fn stats(&mut self, endpoint: &EndpointId, slots: u32) -> &mut EndpointStats {
        let routers = self.routers;
        self.stats
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointStats::new(slots, routers))
    }

    /// What is known of an endpoint, if it was ever used.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointStats> {
        self.stats.get(endpoint)
    }

    /// Chooses an endpoint of a pool; `None` when no endpoint that was looked at has room.
    ///
    /// `takes_work` says whether an endpoint takes new work at all.
    pub fn choose(
        &mut self,
        pool: &mut EndpointPool,
        need: &WorkSpec<'_>,
        takes_work: impl Fn(&EndpointId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<EndpointChoice> {
        let mut examined = self.refresh(pool, now, rng);
        if need.class == WorkClass::Long && !need.isolate {
            let places = pool.long_places(self.long_demand(pool));
            let sample = index::sample(rng, places, places.min(SAMPLE_LIMIT)).into_vec();
            let found = self.compare(pool, &sample, need, &takes_work, now, rng, &mut examined);
            if let Some(mut choice) = found {
                choice.reason = ChoiceReason::LongWorkEndpoint;
                return Some(choice);
            }
        }
        let sample = index::sample(rng, pool.len(), pool.len().min(SAMPLE_LIMIT)).into_vec();
        let found = self.compare(pool, &sample, need, &takes_work, now, rng, &mut examined);
        if found.is_none() && need.isolate {
            self.keep_one_free(pool, &sample, need, &takes_work, now);
        }
        found
    }

    /// Keeps new work away from the endpoint that will be free first, for a suspect to run alone.
    fn keep_one_free(
        &mut self,
        pool: &EndpointPool,
        sample: &[usize],
        need: &WorkSpec<'_>,
        takes_work: &impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) {
        let endpoints = sample.iter().map(|index| pool.endpoint(*index));
        let usable = endpoints.filter(|one| !need.avoid.contains(one) && takes_work(one));
        let first = usable.min_by_key(|endpoint| {
            let stats = self.stats.get(*endpoint);
            stats.map_or((true, 0), |stats| {
                (!stats.is_kept_free(now), stats.outstanding())
            })
        });
        if let Some(stats) = first.and_then(|endpoint| self.stats.get_mut(endpoint)) {
            stats.keep_free(now);
        }
    }

    /// Endpoint of a pool that should get a copy of a short request, to learn whether it is still
    /// slow; at most one in a probe interval and endpoint.
    pub fn probe(
        &mut self,
        pool: &EndpointPool,
        takes_work: impl Fn(&EndpointId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<EndpointId> {
        let sample = index::sample(rng, pool.len(), pool.len().min(2)).into_vec();
        let due = sample.into_iter().map(|index| pool.endpoint(index));
        let mut due = due.filter(|endpoint| takes_work(endpoint));
        let endpoint = due.find(|endpoint| {
            let stats = self.stats.get(*endpoint);
            stats.is_some_and(|stats| {
                stats.weight() < PROBE_WEIGHT && stats.is_unseen(PROBE_INTERVAL, now)
            })
        })?;
        self.stats.get_mut(endpoint)?.note_probe(now);
        Some(endpoint.clone())
    }

    /// Capacity of a pool that this router may use.
    pub fn capacity(&self, pool: &EndpointPool) -> CapacityView {
        pool.capacity(self.routers)
    }

    /// Notes a request as sent.
    pub fn begin(&mut self, endpoint: &EndpointId, need: &WorkSpec<'_>, now: Instant) -> WorkId {
        self.next_work += 1;
        let id = WorkId(self.next_work);
        let routers = self.routers;
        let stats = self
            .stats
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointStats::new(1, routers));
        stats.begin(id, need, now);
        id
    }

    /// Notes that an endpoint sent part of an answer; describes the first token of a request.
    pub fn progress(
        &mut self,
        endpoint: &EndpointId,
        id: WorkId,
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

    /// Notes the end of a request; `output` is known when the whole answer arrived.
    pub fn finish(
        &mut self,
        endpoint: &EndpointId,
        id: WorkId,
        output: Option<Tokens>,
        now: Instant,
    ) {
        if let Some(stats) = self.stats.get_mut(endpoint) {
            stats.finish(id, output, now);
        }
    }

    /// Notes that an endpoint broke off a request or could not be connected.
    pub fn fail(&mut self, endpoint: &EndpointId, id: WorkId, now: Instant) {
        if let Some(stats) = self.stats.get_mut(endpoint) {
            stats.fail(id, now);
        }
    }

    /// Usual time to the first token (95th percentile of recent requests), once known.
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

    /// Long requests that run in the whole fleet, judged by the own ones: callers are spread
    /// evenly over the routers.
    fn long_demand(&self, pool: &EndpointPool) -> f64 {
        pool.long_running(&self.stats) * f64::from(self.routers)
    }

    #[expect(clippy::too_many_arguments, reason = "one call site per sampling rule")]
    fn compare(
        &mut self,
        pool: &EndpointPool,
        sample: &[usize],
        need: &WorkSpec<'_>,
        takes_work: &impl Fn(&EndpointId) -> bool,
        now: Instant,
        rng: &mut impl Rng,
        examined: &mut usize,
    ) -> Option<EndpointChoice> {
        let mut found: Vec<Candidate<'_>> = Vec::with_capacity(2);
        let mut passed: Option<Candidate<'_>> = None;
        let mut healthy = false;
        for index in sample {
            *examined += 1;
            let endpoint = pool.endpoint(*index);
            if need.avoid.contains(endpoint) || !takes_work(endpoint) {
                continue;
            }
            let candidate = self.candidate(pool, *index, need, now);
            let weight = self.stats.get(endpoint).map_or(1.0, EndpointStats::weight);
            healthy |= weight >= PROBE_WEIGHT;
            let Some(candidate) = candidate else { continue };
            if weight < 1.0 && rng.random::<f64>() >= weight {
                // A slow endpoint is passed over, but stays better than no endpoint at all for
                // work that would otherwise wait.
                if passed
                    .as_ref()
                    .is_none_or(|one| candidate.score < one.score)
                {
                    passed = Some(candidate);
                }
                continue;
            }
            found.push(candidate);
            if found.len() == 2 {
                break;
            }
        }
        if found.is_empty() && (!healthy || pool.is_short_of_room()) {
            found.extend(passed);
        }
        decide(found, need, *examined)
    }

    fn candidate<'a>(
        &mut self,
        pool: &'a EndpointPool,
        index: usize,
        need: &WorkSpec<'_>,
        now: Instant,
    ) -> Option<Candidate<'a>> {
        let endpoint = pool.endpoint(index);
        let routers = self.routers;
        let stats = self
            .stats
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointStats::new(pool.slots(index), routers));
        stats.update_weight(pool.token_time(), now);
        if !stats.has_room(need, now) {
            return None;
        }
        let hinted = need.prefix.is_some_and(|prefix| stats.has_prefix(prefix));
        let full = stats.expected_time(need, pool.token_time(), now);
        let saved = if hinted {
            stats.prompt_time(need).min(full * HINT_SHARE)
        } else {
            0.0
        };
        Some(Candidate {
            endpoint,
            score: full - saved,
            hinted,
        })
    }
}

fn decide(
    mut found: Vec<Candidate<'_>>,
    need: &WorkSpec<'_>,
    examined: usize,
) -> Option<EndpointChoice> {
    found.sort_by(|one, other| one.score.total_cmp(&other.score));
    let best = found.first()?;
    let runner_up = found.get(1);
    let reason = match runner_up {
        _ if need.isolate => ChoiceReason::Isolation,
        None => ChoiceReason::OnlyCapacity,
        Some(other) if best.hinted && !other.hinted => ChoiceReason::PrefixHint,
        Some(_) => ChoiceReason::LeastExpectedTime,
    };
    Some(EndpointChoice {
        endpoint: best.endpoint.clone(),
        runner_up: runner_up.map(|other| other.endpoint.clone()),
        reason,
        examined,
    })
}
