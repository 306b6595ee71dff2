use std::{
    ops::RangeInclusive,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, Tokens},
    tokio::sync::Mutex as AsyncMutex,
};

use crate::{
    account::{AccountRow, CustomerAccount, late_tokens},
    draws::DrawMap,
    manager::BudgetShortage,
    supply::{LentTokens, SupplyMemory},
};

/// The account is written again when fewer than the open tokens divided by this number are left.
/// The rest must cover the start of an outage, which may begin at any moment between two writes.
const REWRITE_DIVISOR: Tokens = 2;
/// Time constant of the average demand of a customer; short enough to follow a change within
/// seconds.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// Number of requests that the open tokens cover at least, and by which they grow per second while a
/// heartbeat is late, for customers without recent demand. A crash loses them.
const IDLE_REQUESTS: Tokens = 8;
/// Limits of these tokens, as divisors of the spendable ones. The lower limit is for customers whose
/// requests are not known here.
const IDLE_DIVISORS: RangeInclusive<Tokens> = 16..=64;

/// Time of future demand for which a router without a grant asks peers in advance. A crash loses
/// these tokens.
const ASK_AHEAD_TIME: Duration = Duration::from_millis(400);

/// Budget of one customer at this router.
///
/// Lock order: `account`, then the ledger, then `state`.
pub(crate) struct CustomerBudget {
    pub(crate) customer: CustomerId,
    pub(crate) account: AsyncMutex<CustomerAccount>,
    pub(crate) state: Mutex<BudgetState>,
}

#[derive(Default)]
pub(crate) struct BudgetState {
    pub(crate) prepaid: Tokens,
    /// Spendable tokens below which the grant is refilled; `None` before the first grant.
    pub(crate) refill_below: Option<Tokens>,
    /// Allowance below which the account is written again.
    pub(crate) write_below: Tokens,
    pub(crate) demand_rate: DemandRate,
    /// Limit of the stored account.
    pub(crate) limit: SpendLimit,
    /// Limits of account changes that may have been committed or may still be.
    pub(crate) pending_limits: Vec<SpendLimit>,
    /// Whether peers are being asked for tokens of future demand.
    pub(crate) asking_ahead: bool,
    /// Size of the last request, of a caller or of a peer.
    pub(crate) last_amount: Tokens,
    /// Tokens given to peers.
    pub(crate) given: Tokens,
    /// Tokens received from peers.
    pub(crate) received: Tokens,
    /// Tokens given to peers that may come back.
    pub(crate) lent: LentTokens,
    /// Last answers of peers that were asked for tokens.
    pub(crate) supply: SupplyMemory,
    pub(crate) refilling: bool,
    /// Pool that recently had too few tokens.
    pub(crate) exhausted: Option<ExhaustedPool>,
    /// Draws from the pool as far as known, those of other routers included; one entry for each VM
    /// that ever drew.
    pub(crate) known_draws: DrawMap,
    /// Whether all draws before this run's start are in `known_draws`.
    pub(crate) knows_earlier_draws: bool,
    /// Set when a peer got fewer tokens than it asked for: the pool may hold fewer than known here.
    pub(crate) pool_stale: bool,
}

/// Result of a read that found too few tokens in the pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExhaustedPool {
    /// When the result expires, so that the pool is read again.
    pub(crate) until: Instant,
    /// Free tokens in the pool.
    pub(crate) free: Tokens,
    /// All tokens that may still become available to a request here: those in the pool, of other
    /// routers, and of this one except those that requests hold.
    pub(crate) reachable: Tokens,
}

impl ExhaustedPool {
    /// Why a request of `amount` tokens gets none. A smaller request than the one that led to the
    /// read may be covered by tokens that are held elsewhere.
    pub(crate) fn shortage_of(self, amount: Tokens) -> BudgetShortage {
        if amount > self.reachable {
            BudgetShortage::Spent
        } else {
            BudgetShortage::HeldElsewhere
        }
    }
}

/// Limit on consumption that an account row sets for its run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SpendLimit {
    /// Charged and open tokens in the row.
    pub(crate) tokens: Tokens,
    /// Tokens received from peers in the row; tokens received later may be consumed in addition.
    pub(crate) received: Tokens,
    /// Growth rate of the open tokens from when a heartbeat is late, in tokens per second; see
    /// [`late_tokens`].
    pub(crate) late_rate: Tokens,
}

impl SpendLimit {
    /// Limit of a run whose accounts no successor can take over.
    pub(crate) const UNLIMITED: Self = Self {
        tokens: Tokens::MAX,
        received: 0,
        late_rate: 0,
    };

    pub(crate) fn of(row: AccountRow) -> Self {
        Self {
            tokens: row.charged + row.open,
            received: row.received,
            late_rate: row.late_rate,
        }
    }

    fn allowed(self, received: Tokens, late: Duration) -> Tokens {
        let grown = late_tokens(self.late_rate, late);
        let allowed = self.tokens.saturating_add(received).saturating_add(grown);
        allowed.saturating_sub(self.received)
    }
}

/// Exponentially decaying average of the tokens per second that a customer's requests ask for.
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
    /// Consumption that is allowed no matter which pending change was committed, with a heartbeat
    /// that is late by `late`.
    pub(crate) fn allowed(&self, late: Duration) -> Tokens {
        let limits = self.pending_limits.iter().chain([&self.limit]);
        let allowed = limits.map(|limit| limit.allowed(self.received, late));
        allowed.min().unwrap_or(0)
    }

    /// Tokens for sudden demand of a customer, of `spendable` ones.
    pub(crate) fn idle_tokens(&self, spendable: Tokens) -> Tokens {
        let most = spendable / IDLE_DIVISORS.start();
        let least = spendable / IDLE_DIVISORS.end();
        (IDLE_REQUESTS * self.last_amount).clamp(least, most)
    }

    /// Why a request of `amount` tokens, of which `missing` are not here, gets none, if the pool
    /// recently had fewer than that.
    pub(crate) fn shortage_at(
        &self,
        now: Instant,
        amount: Tokens,
        missing: Tokens,
    ) -> Option<BudgetShortage> {
        let pool = self.exhausted?;
        (pool.until > now && missing > pool.free).then(|| pool.shortage_of(amount))
    }

    /// Tokens of future demand to ask peers for, beyond what a request lacks, of a router that has
    /// `spendable` ones. It is 0 for owners, which have their own grants, and for concurrent requests
    /// after the first one. If it is more, `asking_ahead` must be unset after the answers.
    pub(crate) fn ask_ahead(&mut self, is_owner: bool, spendable: Tokens, now: Instant) -> Tokens {
        if is_owner || self.asking_ahead {
            return 0;
        }
        let ahead = self.expected_soon(now).saturating_sub(spendable);
        self.asking_ahead = ahead > 0;
        ahead
    }

    /// Like [`Self::ask_ahead`], for a router whose tokens still cover its requests: 0 while at least
    /// half of what it keeps is left, and while peers recently had nothing.
    pub(crate) fn ask_early(&mut self, spendable: Tokens, now: Instant) -> Tokens {
        let kept = self.expected_soon(now);
        let ahead = kept.saturating_sub(spendable);
        if spendable >= kept / 2 || self.supply.shortage(ahead, now).is_some() {
            return 0;
        }
        self.ask_ahead(false, spendable, now)
    }

    /// Tokens that a router without a grant needs within [`ASK_AHEAD_TIME`]; 0 if that is less than
    /// a request.
    fn expected_soon(&self, now: Instant) -> Tokens {
        let expected = self.demand_rate.expected(ASK_AHEAD_TIME, now);
        if expected < self.last_amount {
            0
        } else {
            expected
        }
    }

    /// Records the limit of a change that is being written.
    pub(crate) fn push_limit(&mut self, limit: SpendLimit) {
        self.pending_limits.push(limit);
    }

    /// Drops the limit of the newest change, which had no effect. An earlier change with an unknown
    /// outcome may still be committed.
    pub(crate) fn pop_limit(&mut self) {
        self.pending_limits.pop();
    }

    /// Lifts all limits, since a successor does not take over accounts of an earlier era of the
    /// store.
    pub(crate) fn begin_era(&mut self) {
        self.limit = SpendLimit::UNLIMITED;
        self.pending_limits.clear();
        self.exhausted = None;
    }

    /// Applies the limit of a committed change. Earlier changes cannot be committed any more,
    /// because their preconditions name older row versions.
    pub(crate) fn commit_limit(&mut self, limit: SpendLimit, allowance: Tokens) {
        self.limit = limit;
        self.write_below = allowance / REWRITE_DIVISOR;
        self.pending_limits.clear();
    }
}

impl CustomerBudget {
    /// Sets the prepaid tokens, which only rise.
    pub(crate) fn raise_prepaid(&self, prepaid: Tokens) {
        let mut state = self.state();
        if prepaid > state.prepaid {
            state.prepaid = prepaid;
            state.exhausted = None;
        }
    }

    /// Tokens that a router without a grant keeps for its next requests.
    pub(crate) fn kept_ahead(&self) -> Tokens {
        self.state().expected_soon(Instant::now())
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
