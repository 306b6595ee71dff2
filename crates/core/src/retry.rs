//! Limits on attempts beyond the first: retries and hedges.

use std::time::{Duration, Instant};

use crate::admission::WorkClass;

/// Retries and hedges per request, in percent.
pub const RETRY_PERCENT: u32 = 10;
/// Retries that a quiet router may make at once. One crashed endpoint of 8 slots fails 8 requests
/// together, which all have to be rerun.
const RETRY_BURST: u32 = 10;
/// Hundredths of a retry in one retry.
const RETRY_COST: u32 = 100;
/// A hedge is sent when the first token takes this many times its usual 95th percentile.
const HEDGE_FACTOR: u32 = 2;
/// Shortest wait before a hedge; below it, the jitter of a healthy endpoint triggers hedges.
const HEDGE_WAIT_MIN: Duration = Duration::from_millis(50);

/// Budget that keeps retries at a share of the requests, so that an outage is not amplified.
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

    /// Takes one retry; `false` when the budget is used up.
    pub fn withdraw(&mut self) -> bool {
        let Some(left) = self.credit.checked_sub(RETRY_COST) else {
            return false;
        };
        self.credit = left;
        true
    }

    /// Retries that are left.
    pub fn remaining(&self) -> u32 {
        self.credit / RETRY_COST
    }
}

/// Time at which a second attempt is sent beside a silent first one; `None` when it must not be.
///
/// `usual` is the 95th percentile of the time to the first token. No hedge is sent while other
/// requests wait, as it would take their place.
pub fn hedge_at(
    class: WorkClass,
    idempotent: bool,
    waiting: usize,
    usual: Option<Duration>,
    sent: Instant,
) -> Option<Instant> {
    if class != WorkClass::Short || !idempotent || waiting > 0 {
        return None;
    }
    Some(sent + (usual? * HEDGE_FACTOR).max(HEDGE_WAIT_MIN))
}
