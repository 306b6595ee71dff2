//! Sizing of grants: how many tokens of a budget one holder takes and returns.

use std::time::{Duration, Instant};

use crate::Tokens;

/// Time constant of the spend rate; long enough to keep the forecast over a pause of a few minutes.
const RATE_WINDOW: Duration = Duration::from_secs(600);
/// Minimum age assumed of a holder in seconds, so that its first requests do not appear as a high
/// rate.
const MIN_AGE_S: f64 = 30.0;
/// Divisor for the part of the free tokens that all active holders may take together.
const FREE_SHARE: u64 = 2;
/// Idle time after which a grant is returned.
pub const IDLE_LIMIT: Duration = Duration::from_secs(3_600);

/// Forecast of one holder's spending from one budget.
#[derive(Clone, Copy, Debug)]
pub struct SpendForecast {
    rate: f64,
    updated: Instant,
    started: Instant,
    last_spend: Instant,
}

impl SpendForecast {
    /// Creates a forecast without any spending.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated: now,
            started: now,
            last_spend: now,
        }
    }

    /// Adds spent tokens.
    pub fn add(&mut self, now: Instant, tokens: Tokens) {
        self.decay(now);
        self.rate += tokens as f64 / RATE_WINDOW.as_secs_f64();
        self.last_spend = now;
    }

    /// Time since the last spending.
    pub fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_spend)
    }

    /// Tokens expected to be spent within a duration at the current rate.
    pub fn expected(&self, now: Instant, horizon: Duration) -> Tokens {
        let mut current = *self;
        current.decay(now);
        // Corrects the average of a holder that is younger than the window.
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        let covered = 1.0 - (-(age.max(MIN_AGE_S)) / RATE_WINDOW.as_secs_f64()).exp();
        (current.rate / covered * horizon.as_secs_f64()) as Tokens
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.rate *= (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
        self.updated = self.updated.max(now);
    }
}

/// Inputs for sizing a grant.
#[derive(Clone, Copy, Debug)]
pub struct GrantSizing {
    /// Tokens that the holder may spend now.
    pub spendable: Tokens,
    /// Tokens needed by waiting requests.
    pub request: Tokens,
    /// Size of a full grant according to the forecast; see [`grant_size`].
    pub forecast: Tokens,
    /// Free tokens of the pool.
    pub free: Tokens,
    /// Number of holders that have tokens of the budget, including this one.
    pub holders: u64,
}

/// Size of a full grant, given the expected spending in the time that it must cover.
///
/// It is twice that spending, because a refill starts when half of the grant is used, and a
/// partition that begins just before the refill must still be covered.
pub fn grant_size(expected: Tokens) -> Tokens {
    expected.saturating_mul(2)
}

impl GrantSizing {
    /// Part of the remaining tokens that one holder may have, so that the last tokens of a budget are
    /// spread over the holders and mostly stay free.
    fn share(&self) -> Tokens {
        (self.free + self.spendable) / (FREE_SHARE * self.holders.max(1))
    }

    /// Tokens that the holder should have.
    pub fn target(&self) -> Tokens {
        self.forecast.min(self.share())
    }

    /// Whether the remaining tokens of the budget, not the forecast, limit the grant.
    pub fn is_scarce(&self) -> bool {
        self.share() < self.forecast
    }

    /// Tokens to take from the pool: up to the target once half of it is used, and always what waiting
    /// requests need. When a budget is almost spent, only the latter applies.
    pub fn refill_amount(&self) -> Tokens {
        let missing = self.request.saturating_sub(self.spendable);
        let target = self.target();
        let prefetch = if self.spendable < target / 2 || missing > 0 {
            target.saturating_sub(self.spendable)
        } else {
            0
        };
        missing.max(prefetch).min(self.free)
    }

    /// Whether more than half of the grant is spent or held.
    pub fn needs_refill(&self) -> bool {
        self.spendable < self.forecast / 2
    }

    /// Tokens to return to the pool: all of an idle grant, or what exceeds the target.
    ///
    /// A margin above the target prevents repeated moves back and forth. It is smaller when the
    /// budget is scarce, because other holders need the tokens.
    pub fn excess(&self, idle: Duration) -> Tokens {
        if idle >= IDLE_LIMIT {
            return self.spendable;
        }
        let target = self.target().max(self.request);
        let margin = if self.is_scarce() { target / 2 } else { target };
        if self.spendable > target + margin {
            self.spendable - target
        } else {
            0
        }
    }
}
