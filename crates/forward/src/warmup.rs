//! Cold endpoints: until when an endpoint counts as cold, and how many requests this router may send
//! to it meanwhile.
//!
//! A cold endpoint crashes when it gets many more requests than its service's warm-up rate, from all
//! routers together. The load that this handles is a failure domain that returns with all its
//! endpoints cold, while all routers have requests for it.
//!
//! The routers do not coordinate. For each endpoint, rendezvous hashing over the known routers names
//! [`OWNERS`] of them, and each sends at most one request in a fixed time. This time is chosen so
//! that the bound also holds with twice as many senders, which allows for routers that disagree
//! about the membership. Sends that were not used are lost.

use std::{
    cell::RefCell,
    collections::HashMap,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{EndpointId, VmId},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

use crate::{
    allowance::SendPermit,
    record::{EndpointRecord, ServiceRule},
};

/// Number of routers that send to a cold endpoint. More would send too rarely each to have a request
/// at the right time; with fewer, one that is down would take a large part of the rate away.
const OWNERS: usize = 5;
/// Number of senders for which the bound holds, as a multiple of the intended number.
const SENDER_MARGIN: usize = 2;
/// Part of a second by which the network may bring two requests closer together.
const ARRIVAL_JITTER: f64 = 0.2;
/// Time after the start and after a new router is known within which the other routers learn of it:
/// a write to the store, the delay of a watch (up to 800 ms) and its pause.
const SETTLE: Duration = Duration::from_secs(2);
/// Time without a new router after which a fleet smaller than [`OWNERS`] counts as complete.
const COMPLETE_AFTER: Duration = Duration::from_secs(10);
/// Time for which a router that is no longer registered still counts, since a restored store may
/// have lost its registration.
const REMOVED_TTL: Duration = Duration::from_secs(10);
/// Time for which an endpoint that crashed or refused a connection counts as cold if no later
/// registration of it arrives.
const UNCONFIRMED_COLD: Duration = Duration::from_secs(600);
/// Longest cold time that is believed.
const COLD_MAX: Duration = Duration::from_secs(3_600);
/// Largest number of endpoints that are remembered; a fleet has some hundreds.
const ENDPOINT_LIMIT: usize = 4_096;

/// State of an endpoint that is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPhase {
    /// When the endpoint is warm.
    pub until: Instant,
    /// Requests a second that a cold endpoint of the service can take.
    pub per_second: f64,
}

/// Until when an endpoint counts as cold, by this router's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdClock {
    until: Option<Instant>,
}

impl ColdClock {
    /// Sets the remaining time of a registration that was just received. It replaces what was known
    /// if the registration is later than the one before.
    pub fn register(&mut self, remaining: Duration, is_later: bool, now: Instant) {
        if is_later {
            self.until = (remaining > Duration::ZERO).then(|| now + remaining.min(COLD_MAX));
        }
    }

    /// Records that the endpoint is cold for at least some time.
    pub fn extend(&mut self, remaining: Duration, now: Instant) {
        self.until = self.until.max(Some(now + remaining.min(COLD_MAX)));
    }

    /// Records a crash or a refused connection: the endpoint may be back before its registration.
    pub fn suspect(&mut self, now: Instant) {
        self.extend(UNCONFIRMED_COLD, now);
    }

    /// Records that the evacuation of the endpoint's failure domain was revoked.
    pub fn revoke(&mut self, rule: &ServiceRule, now: Instant) {
        self.extend(rule.cold_start, now);
    }

    /// Time for which the endpoint still counts as cold.
    pub fn remaining(&self, now: Instant) -> Duration {
        let until = self.until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Phase of an endpoint; `None` if it is warm or its service has no warm-up rate.
    pub fn phase(&self, rule: &ServiceRule, now: Instant) -> Option<ColdPhase> {
        let per_second = rule.warmup_per_s.filter(|rate| *rate > 0.0)?;
        let until = self.until.filter(|until| *until > now)?;
        Some(ColdPhase { until, per_second })
    }
}

/// Sends of one router to cold endpoints.
#[derive(Debug)]
pub struct WarmupTable {
    overrun: f64,
    slack: f64,
    /// This router; `None` until the others are known.
    own: Option<VmId>,
    /// The others, with the time from which one that is no longer registered is forgotten.
    others: HashMap<VmId, Option<Instant>>,
    /// When this router learned of the others first, and of a new one last.
    known_at: Option<Instant>,
    joined_at: Option<Instant>,
    /// When the last request was sent to an endpoint.
    last_sends: HashMap<EndpointId, Instant>,
    /// Number of routers before this one, by endpoint, as far as it was asked for.
    ranks: RefCell<HashMap<EndpointId, usize>>,
}

impl Default for WarmupTable {
    fn default() -> Self {
        Self {
            overrun: 1.0,
            slack: 0.0,
            own: None,
            others: HashMap::new(),
            known_at: None,
            joined_at: None,
            last_sends: HashMap::new(),
            ranks: RefCell::default(),
        }
    }
}

impl WarmupTable {
    /// Sets the bound: in a second, an endpoint gets its service's rate times `overrun`, plus
    /// `slack` requests at most.
    pub fn set_bound(&mut self, overrun: f64, slack: f64) {
        (self.overrun, self.slack) = (overrun, slack);
    }

    /// Sets the VMs of this router and of the others.
    pub fn set_routers(&mut self, own: &VmId, others: &[VmId], now: Instant) {
        for (vm, forget_at) in &mut self.others {
            if !others.contains(vm) {
                forget_at.get_or_insert(now + REMOVED_TTL);
            }
        }
        self.others
            .retain(|_, forget_at| forget_at.is_none_or(|at| now < at));
        for vm in others {
            if self.others.insert(vm.clone(), None).is_none() {
                self.joined_at = Some(now);
            }
        }
        if self.own.is_none() {
            tracing::debug!(
                routers = others.len() + 1,
                "the routers that share cold endpoints are known"
            );
        }
        self.own = Some(own.clone());
        self.known_at.get_or_insert(now);
        self.ranks.get_mut().clear();
    }

    /// Whether a request may be sent to an endpoint now, as far as it is cold.
    pub fn permit(&self, record: &EndpointRecord, now: Instant) -> SendPermit {
        let Some(phase) = record.cold.filter(|phase| phase.until > now) else {
            return SendPermit::Allowed;
        };
        let is_known = self.known_at.is_some_and(|at| now >= at + SETTLE);
        let owners = self.owner_count(self.bound(phase.per_second), now);
        if !is_known || self.rank(&record.id) >= owners {
            return SendPermit::DeniedUntil(phase.until);
        }
        let last = self.last_sends.get(&record.id);
        match last.map(|last| *last + self.interval(phase.per_second, now)) {
            Some(next) if next > now => SendPermit::DeniedUntil(next.min(phase.until)),
            _ => SendPermit::Allowed,
        }
    }

    /// Counts a request that is sent to an endpoint. Returns whether the endpoint is cold.
    pub fn take(&mut self, record: &EndpointRecord, now: Instant) -> bool {
        let is_cold = record.cold.is_some_and(|phase| phase.until > now);
        if is_cold {
            if self.last_sends.len() >= ENDPOINT_LIMIT {
                self.expire(now);
            }
            self.last_sends.insert(record.id.clone(), now);
        }
        is_cold
    }

    /// Forgets sends that no longer matter, and routers that were removed long enough ago.
    pub fn expire(&mut self, now: Instant) {
        let known = self.others.len();
        self.others
            .retain(|_, forget_at| forget_at.is_none_or(|at| now < at));
        if self.others.len() < known {
            self.ranks.get_mut().clear();
        }
        self.last_sends
            .retain(|_, last| now.saturating_duration_since(*last) < UNCONFIRMED_COLD);
    }

    /// Requests that a cold endpoint may get in a second.
    fn bound(&self, per_second: f64) -> f64 {
        (per_second * self.overrun + self.slack).floor().max(1.0)
    }

    /// Number of routers that send to an endpoint, so that each may send at least one request a
    /// second within the bound.
    fn owner_count(&self, bound: f64, now: Instant) -> usize {
        let is_complete = self
            .joined_at
            .or(self.known_at)
            .is_some_and(|at| now >= at + COMPLETE_AFTER);
        let routers = if is_complete {
            self.others.len() + 1
        } else {
            OWNERS
        };
        let fitting = (bound / SENDER_MARGIN as f64).clamp(1.0, OWNERS as f64);
        OWNERS.min(routers).min(fitting as usize)
    }

    /// Time between two sends of an owner.
    fn interval(&self, per_second: f64, now: Instant) -> Duration {
        let bound = self.bound(per_second);
        let owners = self.owner_count(bound, now);
        let sends = (bound / (owners * SENDER_MARGIN) as f64).floor().max(1.0);
        let by_bound = (1.0 + ARRIVAL_JITTER) / sends;
        let by_rate = owners as f64 / per_second;
        let interval = Duration::try_from_secs_f64(by_bound.max(by_rate));
        interval.unwrap_or(COLD_MAX).min(COLD_MAX)
    }

    /// Number of known routers that come before this one for an endpoint.
    fn rank(&self, endpoint: &EndpointId) -> usize {
        let Some(own) = &self.own else {
            return usize::MAX;
        };
        let mut ranks = self.ranks.borrow_mut();
        if let Some(rank) = ranks.get(endpoint) {
            return *rank;
        }
        let seed = xxh3_64(endpoint.as_bytes());
        let own_hash = xxh3_64_with_seed(own.as_bytes(), seed);
        let hashes = self.others.keys();
        let hashes = hashes.map(|vm| xxh3_64_with_seed(vm.as_bytes(), seed));
        let rank = hashes.filter(|hash| *hash > own_hash).count();
        if ranks.len() >= ENDPOINT_LIMIT {
            ranks.clear();
        }
        ranks.insert(endpoint.clone(), rank);
        rank
    }
}
