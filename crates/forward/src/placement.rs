//! Expected cost of an endpoint for a request, and which endpoints a decision compares.
//!
//! What is known of the endpoints is passed in; [`LoadBalancer`](crate::LoadBalancer) keeps it.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

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
/// Number of random endpoints among those that a decision compares in a larger fleet.
const RANDOM_CANDIDATES: usize = 16;
/// Number of engines compared because they may cache the shared parts of a prompt: the first by
/// rendezvous hashing, and those that take its place while it is busy or blocked.
const HOME_CANDIDATES: usize = 4;
/// Largest number of endpoints compared because a connection to them is open.
const CONNECTED_CANDIDATES: usize = 12;

/// Requirements of a request on its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Prompt, if the endpoint is a model engine.
    pub prompt: Option<&'a PromptSpec>,
    /// Longest acceptable pause between two events.
    pub max_gap: Option<Duration>,
    /// Endpoints that were already tried.
    pub excluded: &'a [EndpointId],
    /// Addresses to which an idle connection is open; `None` if they are not preferred.
    pub connected: Option<&'a HashSet<SocketAddr>>,
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

impl EngineOutlook {
    /// Expected cost of a prompt in ms, and its tokens that the engine has probably not cached.
    pub(crate) fn cost(
        &self,
        prompt: &PromptSpec,
        chain: &[(u64, Tokens)],
        fit: EngineFit,
    ) -> (f64, Tokens) {
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
        let cost = (read_ms + wait_ms + load_ms) * self.slowdown + reread + misplaced;
        (cost, uncached)
    }
}

/// Endpoint that a decision compares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) record: &'a EndpointRecord,
    /// Expected cost in ms.
    pub(crate) cost_ms: f64,
    /// Prompt tokens that the endpoint has probably not cached.
    pub(crate) uncached: Tokens,
}

/// Sorts the endpoints of a decision, best first.
pub(crate) fn rank_candidates(candidates: &mut [Candidate<'_>]) {
    candidates.sort_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms));
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
