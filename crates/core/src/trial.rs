//! Schedule of the requests that a fleet sends although they have a blocked suspect.
//!
//! A blocked suspect can't complete, so that nothing but a trial shows that it was blocked wrongly. A
//! trial with a suspect that does crash endpoints costs one of them. All routers therefore share one
//! schedule for each suspect, with growing delays; see [`crate::suspect`] for the suspects.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::suspect::{ActiveBlock, CrashSuspect};

/// Shortest time between the last crash that counts against a suspect and a trial. Crashed endpoints
/// are back after some seconds.
const WEAK_PAUSE: Duration = Duration::from_secs(2);
/// The same if the block is unlikely to be wrong.
const STRONG_PAUSE: Duration = Duration::from_secs(15);
/// Delay after the first trial of a suspect.
const DELAY_MIN: Duration = Duration::from_secs(45);
/// Factor between the delays after two trials.
const DELAY_FACTOR: u32 = 5;
/// Longest delay after a trial.
const DELAY_MAX: Duration = Duration::from_secs(900);
/// Delay after a trial that did not reach an endpoint.
const WITHDRAWN_DELAY: Duration = Duration::from_millis(500);

/// Trials of one suspect. Times are the store's clock in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRecord {
    /// Suspect that is tried.
    pub suspect: CrashSuspect,
    /// Number of trials since one completed.
    pub sent: u32,
    /// When the next trial may be sent.
    pub next_ms: u64,
    /// When a trial last completed.
    pub completed_ms: Option<u64>,
}

impl TrialRecord {
    /// Creates the record of a suspect without trials.
    pub fn new(suspect: CrashSuspect) -> Self {
        Self {
            suspect,
            sent: 0,
            next_ms: 0,
            completed_ms: None,
        }
    }

    /// Record of another suspect that shares the schedule.
    #[must_use]
    pub fn of(self, suspect: CrashSuspect) -> Self {
        let completed_ms = self.completed_ms.filter(|_| suspect == self.suspect);
        Self {
            suspect,
            completed_ms,
            ..self
        }
    }

    /// Whether a trial of a blocked suspect may be sent now.
    pub fn is_due(&self, now_ms: u64, block: &ActiveBlock, now: Instant) -> bool {
        let wait_ms = self.next_ms.saturating_sub(now_ms);
        // A clock that was set back, like that of a restored store, must not delay it further.
        let is_over = wait_ms == 0 || wait_ms > to_ms(DELAY_MAX);
        let pause = if block.is_strong {
            STRONG_PAUSE
        } else {
            WEAK_PAUSE
        };
        is_over && now.saturating_duration_since(block.last_crash) >= pause
    }

    /// Record after a trial is sent.
    #[must_use]
    pub fn begin(self, now_ms: u64) -> Self {
        let factor = DELAY_FACTOR.saturating_pow(self.sent);
        let delay = DELAY_MIN.saturating_mul(factor).min(DELAY_MAX);
        Self {
            sent: self.sent.saturating_add(1),
            next_ms: now_ms + to_ms(delay),
            ..self
        }
    }

    /// Record after a trial that did not reach an endpoint.
    #[must_use]
    pub fn withdraw(self, now_ms: u64) -> Self {
        Self {
            sent: self.sent.saturating_sub(1),
            next_ms: now_ms + to_ms(WITHDRAWN_DELAY),
            ..self
        }
    }

    /// Record after a trial that completed.
    #[must_use]
    pub fn complete(self, now_ms: u64) -> Self {
        Self {
            sent: 0,
            next_ms: now_ms,
            completed_ms: Some(now_ms),
            ..self
        }
    }
}

fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
