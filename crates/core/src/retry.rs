//! Limits on retries and hedged requests.

use std::time::{Duration, Instant};

use crate::admission::WorkClass;

/// Retries and hedges allowed per request, in percent.
pub const RETRY_PERCENT: u32 = 10;
/// Retries that an idle router may make at once. A crashed endpoint with 8 slots fails 8 requests
/// together, all of which need a retry.
const RETRY_BURST: u32 = 10;
/// Cost of one retry, in hundredths.
const RETRY_COST: u32 = 100;
/// Multiple of the 95th percentile of the first-token time after which a hedge is sent.
const HEDGE_FACTOR: u32 = 2;
/// Minimum wait before a hedge; below it, the jitter of a healthy endpoint triggers hedges.
const HEDGE_MIN_WAIT: Duration = Duration::from_millis(50);

/// Budget that limits retries to a share of the requests, so that they do not amplify an outage.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: RETRY_BURST * RETRY_COST,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + RETRY_PERCENT).min(RETRY_BURST * RETRY_COST);
    }

    /// Takes one retry; `false` if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let Some(remaining) = self.credit.checked_sub(RETRY_COST) else {
            return false;
        };
        self.credit = remaining;
        true
    }

    /// Number of retries available now.
    pub fn remaining(&self) -> u32 {
        self.credit / RETRY_COST
    }
}

/// Time at which to send a hedge if the first attempt has not answered; `None` if hedging is not
/// allowed.
///
/// `first_token_p95` is the 95th percentile of the time to the first token. No hedge is sent while
/// requests are waiting, since it would delay them.
pub fn hedge_at(
    class: WorkClass,
    idempotent: bool,
    waiting: usize,
    first_token_p95: Option<Duration>,
    sent: Instant,
) -> Option<Instant> {
    if class != WorkClass::Short || !idempotent || waiting > 0 {
        return None;
    }
    Some(sent + (first_token_p95? * HEDGE_FACTOR).max(HEDGE_MIN_WAIT))
}
