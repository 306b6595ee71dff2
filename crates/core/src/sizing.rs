//! Sizes of grants: how much of a budget one holder takes and hands back.

use std::time::{Duration, Instant};

use crate::Tokens;

/// Time constant of the spend rate; long enough that a pause of a few minutes keeps the forecast.
const RATE_WINDOW: Duration = Duration::from_secs(600);
/// Age up to which a holder counts as this old, so that its first requests are no high rate.
const YOUNG_AGE_S: f64 = 30.0;
/// Part of the free tokens that all holders in use take together, as a divisor.
const FREE_SHARE: u64 = 2;
/// Idle time after which a grant is handed back.
pub const IDLE_LIMIT: Duration = Duration::from_secs(3_600);

/// Forecast of the spend of one budget at one holder.
#[derive(Clone, Copy, Debug)]
pub struct SpendForecast {
    rate: f64,
    updated: Instant,
    started: Instant,
    used: Instant,
}

impl SpendForecast {
    /// Starts without any spend.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated: now,
            started: now,
            used: now,
        }
    }

    /// Adds tokens that were spent.
    pub fn add(&mut self, now: Instant, tokens: Tokens) {
        self.decay(now);
        self.rate += tokens as f64 / RATE_WINDOW.as_secs_f64();
        self.used = now;
    }

    /// Time without any spend.
    pub fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.used)
    }

    /// Tokens that will be spent within a time at the present rate.
    pub fn expected(&self, now: Instant, cover: Duration) -> Tokens {
        let mut current = *self;
        current.decay(now);
        // The average of a holder younger than the window is too low by the part not yet seen.
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        let seen = 1.0 - (-(age.max(YOUNG_AGE_S)) / RATE_WINDOW.as_secs_f64()).exp();
        (current.rate / seen * cover.as_secs_f64()) as Tokens
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated);
        self.rate *= (-passed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
        self.updated = self.updated.max(now);
    }
}

/// Facts on which the size of a grant depends.
#[derive(Clone, Copy, Debug)]
pub struct GrantSizing {
    /// Tokens that the holder may spend now.
    pub spendable: Tokens,
    /// Tokens that waiting requests need.
    pub request: Tokens,
    /// Size of a full grant by the forecast; see [`grant_size`].
    pub forecast: Tokens,
    /// Free tokens of the pool.
    pub free: Tokens,
    /// Holders that have tokens of the budget, this one included.
    pub holders: u64,
}

/// Size of a full grant for the forecast spend in the time that it must cover.
///
/// It is twice that spend, because a refill starts at half of the grant: a partition that begins
/// just before the refill must still be covered.
pub fn grant_size(expected: Tokens) -> Tokens {
    expected.saturating_mul(2)
}

impl GrantSizing {
    /// Part of the remaining tokens that one holder may have, so that the end of a budget is
    /// spread over the holders and most of it stays free.
    fn share(&self) -> Tokens {
        (self.free + self.spendable) / (FREE_SHARE * self.holders.max(1))
    }

    /// Tokens that the holder should have.
    pub fn target(&self) -> Tokens {
        self.forecast.min(self.share())
    }

    /// Whether the budget nears its end, so that its share and not the forecast limits the grant.
    pub fn is_scarce(&self) -> bool {
        self.share() < self.forecast
    }

    /// Tokens to take from the pool: up to the target once half of it is used, and always what
    /// waiting requests need. Near the end of a budget only the latter remains.
    pub fn refill_amount(&self) -> Tokens {
        let missing = self.request.saturating_sub(self.spendable);
        let target = self.target();
        let ahead = if self.spendable < target / 2 || missing > 0 {
            target.saturating_sub(self.spendable)
        } else {
            0
        };
        missing.max(ahead).min(self.free)
    }

    /// Whether half of the grant is spent or held.
    pub fn needs_refill(&self) -> bool {
        self.spendable < self.forecast / 2
    }

    /// Tokens to hand back: all of an idle grant, or what exceeds the target.
    ///
    /// The margin above the target avoids moves back and forth. It is smaller near the end of a
    /// budget, where tokens that lie here are missing elsewhere.
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
