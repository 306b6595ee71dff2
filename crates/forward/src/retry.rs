//! Limit on sends beyond the first of each request, shared by all routers of a fleet.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Part of the shared allowance that is used; the rest covers the different starts of the windows
/// of routers and the time for a send to arrive.
const USABLE_SHARE: f64 = 0.8;

/// Sliding window over the requests and repeats of one service at one router.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Builds a window: `ratio` repeats for each request, and `slack` repeats for this router.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets this router's part of the repeats that the fleet may make without any request.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts the first send of a request.
    pub fn deposit(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat; `false` when none is left in the window.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.expire(now);
        let earned = self.ratio * self.requests.len() as f64 * USABLE_SHARE;
        let allowed = earned + self.slack;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while let Some(first) = times.front() {
                if now.saturating_duration_since(*first) <= self.window {
                    break;
                }
                times.pop_front();
            }
        }
    }
}
