//! When a request, or the rest of a stream, is offered to another endpoint.
//!
//! A silent response may belong to an endpoint that preempted its request and goes on later, or to one
//! that is gone. So it is kept until another endpoint has begun, and rejected offers are repeated. Each
//! offer counts as a retry of the whole fleet, and a service whose engines preempt has little room:
//! [`OfferGate`] limits the offers of all requests of a service together.

use std::time::{Duration, Instant};

use crate::record::RouteRule;

/// Time without an event after which the rest of a stream is offered to other endpoints. Callers wait
/// for [`PATIENCE_MIN`] at least, of which an offer and the start of its response take up to a third.
const OFFER_DELAY: Duration = Duration::from_millis(1_200);
/// Shortest time for which callers wait for an event.
const PATIENCE_MIN: Duration = Duration::from_secs(2);
/// Multiples of a route's target latency and of its target gap for which callers wait for an event.
const PATIENCE_LATENCIES: u32 = 4;
const PATIENCE_GAPS: u32 = 8;
/// Interval of the offers of a service. Several fit into the time for which callers wait.
const OFFER_INTERVAL: Duration = Duration::from_millis(200);
/// Number of offers in the first interval. It doubles with each accepted offer, and is one after a
/// rejection.
const FIRST_GROUP: u32 = 4;
/// Time without an offer after which earlier results tell nothing.
const GROUP_MEMORY: Duration = Duration::from_secs(2);

/// When the rest of a stream whose last event arrived at `last_event` is offered to other endpoints.
pub fn offer_time(last_event: Instant) -> Instant {
    last_event + OFFER_DELAY
}

/// When the caller of a stream of `route` leaves after an event at `last_event`.
pub fn leave_time(route: &RouteRule, last_event: Instant) -> Instant {
    let by_latency = route.target_latency * PATIENCE_LATENCIES;
    let by_gap = route.target_gap.unwrap_or_default() * PATIENCE_GAPS;
    last_event + PATIENCE_MIN.max(by_latency).max(by_gap)
}

/// When the offers of one request are made, while its endpoint pauses or after it broke off.
#[derive(Clone, Copy, Debug)]
pub struct OfferSchedule {
    /// Earliest time of the next offer.
    pub next_at: Instant,
    /// Number of times that an offer was due since the last event or break, also if none could be made.
    pub due: u32,
    /// Set when no further offer is made.
    pub has_ended: bool,
}

impl OfferSchedule {
    /// Creates a schedule whose first offer is made at `first_at`.
    pub fn new(first_at: Instant) -> Self {
        Self {
            next_at: first_at,
            due: 0,
            has_ended: false,
        }
    }
}

/// Limits the offers of all requests of one service at this router.
///
/// A wave of preemptions makes many streams pause at once, and each offer that is rejected takes a
/// retry. So offers are made in small groups, which grow while endpoints accept them.
#[derive(Clone, Debug)]
pub struct OfferGate {
    /// Number of offers in an interval.
    group: u32,
    /// Offers that are left in the interval.
    left: u32,
    interval_end: Option<Instant>,
    rejected_at: Option<Instant>,
}

impl Default for OfferGate {
    fn default() -> Self {
        Self {
            group: FIRST_GROUP,
            left: 0,
            interval_end: None,
            rejected_at: None,
        }
    }
}

impl OfferGate {
    /// Permits an offer.
    ///
    /// # Errors
    ///
    /// When to ask again, if no offer is permitted now.
    pub fn permit(&mut self, now: Instant) -> Result<(), Instant> {
        match self.interval_end {
            Some(end) if now < end => {}
            end => {
                if end.is_none_or(|end| now >= end + GROUP_MEMORY) {
                    self.group = FIRST_GROUP;
                }
                self.left = self.group;
                self.interval_end = Some(now + OFFER_INTERVAL);
            }
        }
        match self.left.checked_sub(1) {
            Some(left) => {
                self.left = left;
                Ok(())
            }
            None => Err(self.interval_end.unwrap_or(now)),
        }
    }

    /// Records that no endpoint accepted an offer that was made at `offered`. Offers that were made
    /// before an earlier rejection was known tell nothing new.
    pub fn record_rejection(&mut self, offered: Instant, now: Instant) {
        if self.rejected_at.is_some_and(|at| offered <= at) {
            return;
        }
        self.rejected_at = Some(now);
        self.group = 1;
        self.left = 0;
        self.interval_end = Some(now + OFFER_INTERVAL);
    }

    /// Records that an endpoint accepted an offer.
    pub fn record_acceptance(&mut self) {
        self.group = self.group.max(FIRST_GROUP).saturating_mul(2);
    }
}
