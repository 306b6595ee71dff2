use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, Tokens},
    tokio::sync::Mutex as AsyncMutex,
};

use crate::{
    book::BudgetShortage,
    total::{CustomerRows, GrantAccount, late_tokens},
};

/// Part of the open tokens that must be left before the account is written again, as a divisor; an
/// outage may begin at any moment between two writes.
const REWRITE_DIVISOR: Tokens = 2;
/// Time constant of the demand of a customer; short enough to follow a swing within seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// Time of own demand for which a router that keeps no grant asks ahead; a crash loses it.
const ASK_AHEAD_TIME: Duration = Duration::from_millis(400);

/// State of one customer. Lock order: `account`, then the ledger, then `demand`.
pub(crate) struct CustomerBudget {
    pub(crate) customer: CustomerId,
    pub(crate) account: AsyncMutex<CustomerRows>,
    pub(crate) state: Mutex<BudgetState>,
}

#[derive(Default)]
pub(crate) struct BudgetState {
    pub(crate) prepaid: Tokens,
    /// Spendable tokens below which the grant is refilled; `None` before the first grant.
    pub(crate) refill_below: Option<Tokens>,
    /// Room below which the account is written again.
    pub(crate) write_below: Tokens,
    pub(crate) demand_rate: DemandRate,
    /// Consumption that the stored account allows.
    pub(crate) limit: SpendLimit,
    /// Limits of changes that may have landed or may land later.
    pub(crate) pending_limits: Vec<SpendLimit>,
    /// Time until which tokens were asked for ahead.
    pub(crate) ahead_until: Option<Instant>,
    /// Largest request that was held.
    pub(crate) largest_request: Tokens,
    /// Tokens given to peers.
    pub(crate) given: Tokens,
    /// Tokens received from peers.
    pub(crate) received: Tokens,
    pub(crate) refilling: bool,
    /// Pool that had too few tokens a moment ago.
    pub(crate) exhausted: Option<ExhaustedPool>,
    /// Set when a peer ran short, so that the pool may have fewer tokens than known here.
    pub(crate) pool_stale: bool,
}

/// Pool that does not cover requests beyond its free tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExhaustedPool {
    /// When it is asked again.
    pub(crate) until: Instant,
    pub(crate) free: Tokens,
    pub(crate) shortage: BudgetShortage,
}

/// Consumption that an account row allows its run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SpendLimit {
    /// Tokens charged and open, by the row.
    pub(crate) tokens: Tokens,
    /// Tokens received from peers, by the row; what came later may be consumed on top.
    pub(crate) received: Tokens,
    /// Growth of the open tokens while a heartbeat is late, in tokens a second.
    pub(crate) late_rate: Tokens,
}

impl SpendLimit {
    pub(crate) fn of(row: GrantAccount) -> Self {
        Self {
            tokens: row.charged + row.open,
            received: row.received,
            late_rate: row.late_rate,
        }
    }

    fn allowed(self, received: Tokens, late: Duration) -> Tokens {
        let grown = late_tokens(self.late_rate, late);
        (self.tokens + received + grown).saturating_sub(self.received)
    }
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

    pub(crate) fn expected(&self, time: Duration, now: Instant) -> Tokens {
        (self.at(now) * time.as_secs_f64()) as Tokens
    }
}

impl BudgetState {
    /// Consumption that is allowed whichever of the last changes landed, when a heartbeat has been
    /// late for a time.
    pub(crate) fn allowed(&self, late: Duration) -> Tokens {
        let limits = self.pending_limits.iter().chain([&self.limit]);
        let allowed = limits.map(|limit| limit.allowed(self.received, late));
        allowed.min().unwrap_or(0)
    }

    /// Why the pool was found with fewer than `missing` tokens a moment ago.
    pub(crate) fn shortage_at(&self, now: Instant, missing: Tokens) -> Option<BudgetShortage> {
        let pool = self.exhausted?;
        (pool.until > now && missing > pool.free).then_some(pool.shortage)
    }

    /// Tokens that are asked for beyond what a request lacks. Keepers have grants of their own, and
    /// requests that ask at the same time would add up.
    pub(crate) fn ask_ahead(&mut self, is_owner: bool, now: Instant) -> Tokens {
        if is_owner || self.ahead_until.is_some_and(|until| now < until) {
            return 0;
        }
        self.ahead_until = Some(now + ASK_AHEAD_TIME);
        self.demand_rate.expected(ASK_AHEAD_TIME, now)
    }

    /// Notes the size of a request.
    pub(crate) fn record_request(&mut self, amount: Tokens) {
        self.largest_request = self.largest_request.max(amount);
    }

    /// Notes the limit of a change that is being written.
    pub(crate) fn push_limit(&mut self, limit: SpendLimit) {
        self.pending_limits.push(limit);
    }

    /// Drops the limit of the newest change, which surely had no effect. A change before it without
    /// a known outcome may still land.
    pub(crate) fn pop_limit(&mut self) {
        self.pending_limits.pop();
    }

    /// Takes in a change that took effect; its expectations rule out all changes before it.
    pub(crate) fn commit_limit(&mut self, limit: SpendLimit, allowance: Tokens) {
        self.limit = limit;
        self.write_below = allowance / REWRITE_DIVISOR;
        self.pending_limits.clear();
    }
}

impl CustomerBudget {
    /// Takes in a total, which only rises.
    pub(crate) fn raise_prepaid(&self, prepaid: Tokens) {
        let mut state = self.state();
        if prepaid > state.prepaid {
            state.prepaid = prepaid;
            state.exhausted = None;
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
