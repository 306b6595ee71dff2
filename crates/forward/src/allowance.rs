//! What endpoints ask of a router in their responses: to send less, to pause, or to stay away.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{EndpointId, VmId},
    rand::Rng,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

use crate::{port::EndpointSignals, record::EndpointRecord, warmup::WarmupTable};

/// Number of routers that share the rate limit of an endpoint in a large fleet. With a share of
/// their own for each endpoint, most routers would have no fitting request while a send is due.
const LIMIT_OWNERS: usize = 4;
/// Share of a router that has none; it must not be 0.
const NO_SHARE: f64 = 1e-9;
/// Time for which an unused send is kept. Sends that were saved for longer could arrive from all
/// routers of a large fleet at the same moment.
const SEND_TTL: Duration = Duration::from_secs(1);
/// Change of this router's share, as a part of it, from which it is applied.
const APPLIED_CHANGE: f64 = 0.1;
/// Change of a rate limit, as a part of it, from which other routers are told.
const REPORTED_CHANGE: f64 = 0.2;
/// Shortest time between two sends that is told apart from none.
const INTERVAL_MIN: Duration = Duration::from_micros(1);
/// Time after which an endpoint run that was not heard of is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// One run of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RunId<'a> {
    /// Id of the endpoint.
    pub endpoint: &'a EndpointId,
    /// Start of the run as Unix time in ms.
    pub started_ms: u64,
}

/// Rate limit of an endpoint run, for other routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Start of the run as Unix time in ms.
    pub started_ms: u64,
    /// Requests a second that the endpoint accepts from all routers together; `None` for no limit.
    pub per_second: Option<f64>,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermit {
    /// It may be sent.
    Allowed,
    /// The endpoint leaves: only if no other endpoint is left.
    LastResort,
    /// Not before this time.
    DeniedUntil(Instant),
    /// Never.
    Denied,
}

/// How routers share the rate limits of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitSharing {
    /// Each router uses its share of the fleet's demand; more than 0, at most 1.
    Demand(f64),
    /// A few routers use equal shares, chosen for each endpoint by rendezvous hashing.
    Owners {
        /// VM of this router.
        own: VmId,
        /// VMs of the other routers.
        others: Vec<VmId>,
    },
}

impl LimitSharing {
    fn share_of(&self, endpoint: &EndpointId) -> f64 {
        match self {
            Self::Demand(share) => share.max(NO_SHARE),
            Self::Owners { own, others } => {
                let seed = xxh3_64(endpoint.as_bytes());
                let own_rank = xxh3_64_with_seed(own.as_bytes(), seed);
                let ranks = others
                    .iter()
                    .map(|vm| xxh3_64_with_seed(vm.as_bytes(), seed));
                let ahead = ranks.filter(|rank| *rank > own_rank).count();
                let owners = LIMIT_OWNERS.min(others.len() + 1);
                if ahead < owners {
                    1.0 / owners as f64
                } else {
                    NO_SHARE
                }
            }
        }
    }
}

/// What the endpoints of a fleet asked for, by endpoint run.
#[derive(Debug)]
pub struct AllowanceTable {
    sharing: LimitSharing,
    warmup: WarmupTable,
    runs: HashMap<EndpointId, EndpointAllowance>,
}

#[derive(Debug)]
struct EndpointAllowance {
    started_ms: u64,
    heard: Instant,
    /// When requests may no longer be sent, if the endpoint leaves.
    leaves_at: Option<Instant>,
    /// When requests may be sent again.
    paused_until: Option<Instant>,
    rate: Option<SharedRate>,
}

/// This router's share of a rate limit: sends at regular times from a random start.
#[derive(Clone, Copy, Debug)]
struct SharedRate {
    /// Requests a second that the endpoint accepts from all routers.
    per_second: f64,
    start: Instant,
    /// Number of sends since the start that were used or have expired.
    used: u64,
    share: f64,
    /// When the endpoint last named the limit.
    named: Instant,
}

impl SharedRate {
    fn new(per_second: f64, share: f64, now: Instant, rng: &mut impl Rng) -> Self {
        let mut rate = Self {
            per_second,
            start: now,
            used: 0,
            share,
            named: now,
        };
        // Routers must not all begin at the same time.
        rate.start = now + rate.interval().mul_f64(rng.random::<f64>());
        rate
    }

    /// Time between two sends of this router.
    fn interval(&self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / (self.per_second * self.share));
        interval
            .unwrap_or(FORGET_AFTER)
            .clamp(INTERVAL_MIN, FORGET_AFTER)
    }

    /// Changes the share. The send that is due next comes sooner or later in the same proportion.
    fn set_share(&mut self, share: f64, now: Instant) {
        if share == self.share {
            return;
        }
        let wait = match self.permit(now) {
            SendPermit::DeniedUntil(at) => at.saturating_duration_since(now),
            _ => Duration::ZERO,
        };
        self.start = now + wait.mul_f64(self.share / share).min(FORGET_AFTER);
        self.used = 0;
        self.share = share;
    }

    /// Number of sends that were due by a time.
    fn due(&self, at: Instant) -> u64 {
        match at.checked_duration_since(self.start) {
            Some(passed) => (passed.as_secs_f64() / self.interval().as_secs_f64()) as u64 + 1,
            None => 0,
        }
    }

    fn expired(&self, now: Instant) -> u64 {
        now.checked_sub(SEND_TTL).map_or(0, |at| self.due(at))
    }

    fn permit(&self, now: Instant) -> SendPermit {
        let used = self.used.max(self.expired(now));
        if used < self.due(now) {
            return SendPermit::Allowed;
        }
        let next = self.interval().as_secs_f64() * used as f64;
        SendPermit::DeniedUntil(self.start + Duration::from_secs_f64(next))
    }

    fn take(&mut self, now: Instant) {
        self.used = self.used.max(self.expired(now)) + 1;
    }
}

impl AllowanceTable {
    /// Creates a table of a router without peers.
    pub fn new() -> Self {
        Self {
            sharing: LimitSharing::Demand(1.0),
            warmup: WarmupTable::default(),
            runs: HashMap::new(),
        }
    }

    /// Sets how this router shares the rate limits.
    pub fn set_sharing(&mut self, sharing: LimitSharing, now: Instant) {
        if let (LimitSharing::Demand(before), LimitSharing::Demand(after)) =
            (&self.sharing, &sharing)
            && (after - before).abs() < before * APPLIED_CHANGE
        {
            return;
        }
        self.sharing = sharing;
        for (endpoint, run) in &mut self.runs {
            if let Some(rate) = &mut run.rate {
                rate.set_share(self.sharing.share_of(endpoint), now);
            }
        }
    }

    /// Sends of this router to cold endpoints.
    pub fn warmup(&mut self) -> &mut WarmupTable {
        &mut self.warmup
    }

    /// Whether any endpoint limits its rate.
    pub fn has_limits(&self) -> bool {
        self.runs.values().any(|run| run.rate.is_some())
    }

    /// Records what an endpoint run asked for in the response to a request that was sent at `sent`.
    /// Returns its rate limit if other routers should learn it.
    ///
    /// `drain` is the time for which a leaving endpoint still accepts requests.
    pub fn record(
        &mut self,
        run: RunId<'_>,
        signals: EndpointSignals,
        sent: Instant,
        drain: Duration,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<RateReport> {
        let RunId { endpoint, .. } = run;
        if !self.runs.contains_key(endpoint) && signals == EndpointSignals::default() {
            return None;
        }
        let entry = self.entry(run, now)?;
        if signals.is_leaving && entry.leaves_at.is_none() {
            tracing::info!(%endpoint, "the endpoint leaves, as its response says");
            entry.leaves_at = Some(now + drain / 2);
        }
        if let Some(until) = signals.retry_at {
            tracing::info!(%endpoint, pause_ms = until.saturating_duration_since(now).as_millis() as u64, "the endpoint asks for a pause");
            entry.paused_until = entry.paused_until.max(Some(until));
        }
        let limit = signals.rate_limit;
        match &mut entry.rate {
            Some(rate) if limit.is_some() => rate.named = now,
            // The endpoint may have sent this response before it named the limit.
            Some(rate) if sent < rate.named => return None,
            _ => {}
        }
        self.set_rate(run, limit, now, rng)
    }

    /// Sets the rate limit of an endpoint run; `None` if it accepts any number of requests. Returns
    /// it if it differs from what was known.
    pub fn set_rate(
        &mut self,
        run: RunId<'_>,
        per_second: Option<f64>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<RateReport> {
        let RunId {
            endpoint,
            started_ms,
        } = run;
        if per_second.is_none() && !self.runs.contains_key(endpoint) {
            return None;
        }
        let share = self.sharing.share_of(endpoint);
        let entry = self.entry(run, now)?;
        let before = entry.rate.map(|rate| rate.per_second);
        match (entry.rate, per_second) {
            (Some(rate), Some(limit)) if rate.per_second == limit => {}
            (_, Some(limit)) => entry.rate = Some(SharedRate::new(limit, share, now, rng)),
            (_, None) => entry.rate = None,
        }
        let is_change = match (before, per_second) {
            (Some(before), Some(limit)) => (limit - before).abs() > before * REPORTED_CHANGE,
            (before, limit) => before.is_some() != limit.is_some(),
        };
        is_change.then(|| {
            tracing::info!(%endpoint, ?before, limit = ?per_second, share, "the rate limit of an endpoint changed");
            RateReport {
                endpoint: endpoint.clone(),
                started_ms,
                per_second,
            }
        })
    }

    /// Whether a request may be sent to an endpoint now: both the endpoint's own wishes and its
    /// warm-up must allow it.
    pub fn permit(&self, record: &EndpointRecord, now: Instant) -> SendPermit {
        match (self.asked(record, now), self.warmup.permit(record, now)) {
            (SendPermit::DeniedUntil(one), SendPermit::DeniedUntil(other)) => {
                SendPermit::DeniedUntil(one.max(other))
            }
            (SendPermit::Denied, _) => SendPermit::Denied,
            (_, denied @ SendPermit::DeniedUntil(_)) => denied,
            (asked, _) => asked,
        }
    }

    /// What the endpoint itself asks for.
    fn asked(&self, record: &EndpointRecord, now: Instant) -> SendPermit {
        let run = self.runs.get(&record.id);
        let Some(run) = run.filter(|run| run.started_ms == record.started_ms) else {
            return SendPermit::Allowed;
        };
        if run.leaves_at.is_some_and(|at| at <= now) {
            return SendPermit::Denied;
        }
        if let Some(until) = run.paused_until.filter(|until| *until > now) {
            return SendPermit::DeniedUntil(until);
        }
        match run.rate.map(|rate| rate.permit(now)) {
            Some(denied @ SendPermit::DeniedUntil(_)) => denied,
            _ if run.leaves_at.is_some() => SendPermit::LastResort,
            _ => SendPermit::Allowed,
        }
    }

    /// Whether an endpoint limits its rate or is cold.
    pub fn is_limited(&self, record: &EndpointRecord) -> bool {
        if record.cold.is_some() {
            return true;
        }
        let run = self.runs.get(&record.id);
        run.is_some_and(|run| run.started_ms == record.started_ms && run.rate.is_some())
    }

    /// Counts a request that is sent to an endpoint.
    pub fn take(&mut self, record: &EndpointRecord, now: Instant) {
        self.warmup.take(record, now);
        if let Some(run) = self.runs.get_mut(&record.id)
            && run.started_ms == record.started_ms
            && let Some(rate) = &mut run.rate
        {
            rate.take(now);
        }
    }

    /// Forgets runs that were not heard of for long.
    pub fn expire(&mut self, now: Instant) {
        self.warmup.expire(now);
        self.runs.retain(|_, run| {
            let is_paused = run.paused_until.is_some_and(|until| until > now);
            is_paused || now.saturating_duration_since(run.heard) < FORGET_AFTER
        });
    }

    /// Entry of an endpoint run; `None` if a later run of the endpoint is known.
    fn entry(&mut self, run: RunId<'_>, now: Instant) -> Option<&mut EndpointAllowance> {
        let new = || EndpointAllowance {
            started_ms: run.started_ms,
            heard: now,
            leaves_at: None,
            paused_until: None,
            rate: None,
        };
        let entry = self.runs.entry(run.endpoint.clone());
        let entry = entry.or_insert_with(new);
        if entry.started_ms < run.started_ms {
            *entry = new();
        }
        entry.heard = now;
        (entry.started_ms == run.started_ms).then_some(entry)
    }
}

impl Default for AllowanceTable {
    fn default() -> Self {
        Self::new()
    }
}
