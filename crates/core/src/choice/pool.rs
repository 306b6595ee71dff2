use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use {
    rand::{Rng, seq::index},
    xxhash_rust::xxh3::xxh3_64,
};

use crate::{EndpointId, admission::CapacityView, choice::stats::EndpointStats};

/// Interval at which the statistics of a pool are refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Number of endpoints sampled per refresh. The median of 32 is stable, and the cost of a decision
/// stays bounded with 600 endpoints.
const REFRESH_SAMPLE: usize = 32;
/// Token time assumed before the first observation, in seconds.
const DEFAULT_TOKEN_TIME: f64 = 0.02;
/// Share of the concurrency limits in use from which a pool is saturated.
const SATURATED_SHARE: f64 = 0.95;
/// Target number of long requests per endpoint, as a share of its slots.
const LONG_TARGET_SHARE: f64 = 0.5;

/// Endpoints of a route and their aggregated statistics.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    members: Vec<(EndpointId, u32)>,
    refreshed: Option<Instant>,
    token_time: f64,
    /// Slots, reduced by the weights of slow endpoints.
    slots: f64,
    limit: f64,
    open: f64,
}

impl EndpointPool {
    /// Creates a pool of endpoints with their slots.
    ///
    /// Members are ordered by a hash of their names, so that all routers concentrate long work on the
    /// same endpoints.
    pub fn new(members: impl IntoIterator<Item = (EndpointId, u32)>) -> Self {
        let mut members: Vec<_> = members.into_iter().collect();
        members.sort_by_key(|(endpoint, _)| (xxh3_64(endpoint.as_bytes()), endpoint.clone()));
        let limit = members.iter().map(|(_, slots)| f64::from(*slots)).sum();
        Self {
            members,
            refreshed: None,
            token_time: DEFAULT_TOKEN_TIME,
            slots: limit,
            limit,
            open: 0.0,
        }
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the pool has no endpoints.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Names of the endpoints, those preferred for long work first.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.members.iter().map(|(endpoint, _)| endpoint)
    }

    pub(super) fn endpoint(&self, index: usize) -> &EndpointId {
        &self.members[index].0
    }

    pub(super) fn slots(&self, index: usize) -> u32 {
        self.members[index].1
    }

    /// Median token time of the endpoints, in seconds.
    pub(super) fn token_time(&self) -> f64 {
        self.token_time
    }

    pub(super) fn is_saturated(&self) -> bool {
        self.open >= self.limit * SATURATED_SHARE
    }

    pub(super) fn capacity(&self, routers: u32) -> CapacityView {
        CapacityView {
            slots: self.limit,
            share: self.slots / f64::from(routers),
            token_time: Duration::from_secs_f64(self.token_time),
        }
    }

    /// Number of endpoints, counted from the first, on which long work is concentrated.
    pub(super) fn long_work_endpoints(&self, demand: f64) -> usize {
        let mut covered = 0.0;
        for (index, (_, slots)) in self.members.iter().enumerate() {
            covered += f64::from(*slots) * LONG_TARGET_SHARE;
            if covered > demand {
                return index + 1;
            }
        }
        self.members.len()
    }

    pub(super) fn long_running(&self, stats: &HashMap<EndpointId, EndpointStats>) -> f64 {
        let sampled = self.members.iter().take(REFRESH_SAMPLE);
        let known = sampled.filter_map(|(endpoint, _)| stats.get(endpoint));
        known.map(|stats| stats.long_open() as f64).sum()
    }

    /// Refreshes the statistics from a sample of the endpoints; returns the size of the sample.
    pub(super) fn refresh(
        &mut self,
        stats: &HashMap<EndpointId, EndpointStats>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> usize {
        let is_fresh = self
            .refreshed
            .is_some_and(|at| now.saturating_duration_since(at) < REFRESH_INTERVAL);
        if is_fresh || self.members.is_empty() {
            return 0;
        }
        self.refreshed = Some(now);
        let sampled = self.members.len().min(REFRESH_SAMPLE);
        let mut times = Vec::with_capacity(sampled);
        let (mut weighted_slots, mut limit, mut open) = (0.0, 0.0, 0.0);
        for member in index::sample(rng, self.members.len(), sampled) {
            let (endpoint, slots) = &self.members[member];
            let Some(known) = stats.get(endpoint) else {
                weighted_slots += f64::from(*slots);
                limit += f64::from(*slots);
                continue;
            };
            weighted_slots += f64::from(*slots) * known.weight();
            limit += known.limit() * known.weight();
            open += known.open() as f64;
            times.extend(known.token_time());
        }
        let scale = self.members.len() as f64 / sampled as f64;
        self.slots = weighted_slots * scale;
        self.limit = limit * scale;
        self.open = open * scale;
        if !times.is_empty() {
            times.sort_by(f64::total_cmp);
            self.token_time = times[(times.len() - 1) / 2];
        }
        sampled
    }
}
