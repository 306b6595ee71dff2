//! Sizes of grants: how much of a budget one holder takes and hands back.

use std::time::{Duration, Instant};

use crate::Tokens;

/// Time constant of the spend rate; long enough that a pause of a few minutes keeps the forecast.
const RATE_WINDOW: Duration = Duration::from_secs(600);
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
    pub fn expect(&self, now: Instant, cover: Duration) -> Tokens {
        let mut current = *self;
        current.decay(now);
        // The average of a holder younger than the window is too low by the part not yet seen.
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        let seen = 1.0 - (-(age.max(1.0)) / RATE_WINDOW.as_secs_f64()).exp();
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
pub struct GrantNeed {
    /// Tokens that the holder may spend now.
    pub spendable: Tokens,
    /// Tokens that a waiting request needs.
    pub request: Tokens,
    /// Forecast spend in the time that a grant covers.
    pub forecast: Tokens,
    /// Free tokens of the pool.
    pub free: Tokens,
    /// Holders that have tokens of the budget, this one included.
    pub holders: u64,
}

impl GrantNeed {
    /// Tokens to take from the pool.
    ///
    /// The forecast is limited to a share of the free tokens, so that the end of a budget is
    /// spread over the holders; below that share a grant covers the waiting request only.
    pub fn take(&self) -> Tokens {
        let share = self.free / (FREE_SHARE * self.holders.max(1));
        let missing = self.request.saturating_sub(self.spendable);
        let ahead = self.forecast.saturating_sub(self.spendable).min(share);
        missing.max(ahead).min(self.free)
    }

    /// Whether half of the grant is spent or held.
    pub fn wants_refill(&self) -> bool {
        self.spendable < self.forecast / 2
    }

    /// Tokens to hand back: all of an idle grant, or what exceeds twice the need.
    pub fn excess(&self, idle: Duration) -> Tokens {
        if idle >= IDLE_LIMIT {
            return self.spendable;
        }
        let need = self.forecast.max(self.request);
        if self.spendable > need.saturating_mul(2) {
            self.spendable - need
        } else {
            0
        }
    }
}
