use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, Tokens},
    tokio::sync::Mutex as AsyncMutex,
};

use crate::{book::BudgetShortage, total::TotalAccount};

/// Part of the open tokens that must be left before the account is written again, as a divisor; an
/// outage may begin at any moment between two writes.
const OPEN_LEFT: Tokens = 2;
/// Time constant of the demand of a customer; short enough to follow a swing within seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// State of one customer. Lock order: `account`, then the ledger, then `demand`.
pub(crate) struct SpendTab {
    pub(crate) customer: CustomerId,
    pub(crate) account: AsyncMutex<TotalAccount>,
    pub(crate) demand: Mutex<TabDemand>,
}

#[derive(Default)]
pub(crate) struct TabDemand {
    pub(crate) prepaid: Tokens,
    /// Spendable tokens below which the grant is refilled; `None` before the first grant.
    pub(crate) refill_below: Option<Tokens>,
    /// Room below which the account is written again.
    pub(crate) write_below: Tokens,
    pub(crate) rate: DemandRate,
    /// Consumption up to which the stored account allows; see [`StoreLink`].
    pub(crate) limit: Tokens,
    /// Limit of a change that may have landed.
    pub(crate) pending_limit: Option<Tokens>,
    /// Tokens given to peers.
    pub(crate) given: Tokens,
    /// Tokens received from peers.
    pub(crate) received: Tokens,
    pub(crate) refilling: bool,
    /// Why the pool had too few tokens, and until when it is not asked again.
    pub(crate) drained: Option<(Instant, BudgetShortage)>,
    /// Set when a peer ran short, so that the pool may have fewer tokens than known here.
    pub(crate) stale: bool,
}

/// Moving rate of the tokens that a customer's requests ask for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DemandRate {
    per_second: f64,
    updated: Option<Instant>,
}

impl DemandRate {
    pub(crate) fn add(&mut self, tokens: Tokens, now: Instant) {
        self.per_second = self.at(now) + tokens as f64 / DEMAND_WINDOW.as_secs_f64();
        self.updated = Some(now);
    }

    pub(crate) fn at(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(updated).as_secs_f64();
        self.per_second * (-passed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    pub(crate) fn expect(&self, time: Duration, now: Instant) -> Tokens {
        (self.at(now) * time.as_secs_f64()) as Tokens
    }
}

impl TabDemand {
    /// Consumption that is allowed whether or not the last change landed.
    pub(crate) fn limit(&self) -> Tokens {
        let pending = self.pending_limit.unwrap_or(Tokens::MAX);
        self.limit.min(pending)
    }

    pub(crate) fn expect_limit(&mut self, limit: Tokens) {
        let pending = self.pending_limit.unwrap_or(Tokens::MAX);
        self.pending_limit = Some(limit.min(pending));
    }

    pub(crate) fn set_limit(&mut self, limit: Tokens, room: Tokens) {
        self.limit = limit;
        self.write_below = room / OPEN_LEFT;
        self.pending_limit = None;
    }
}

impl SpendTab {
    /// Takes in a total, which only rises.
    pub(crate) fn raise(&self, prepaid: Tokens) {
        let mut demand = self.demand();
        if prepaid > demand.prepaid {
            demand.prepaid = prepaid;
            demand.drained = None;
        }
    }

    pub(crate) fn demand(&self) -> MutexGuard<'_, TabDemand> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
