//! Limit on retries, shared by all routers of a fleet.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Share of the allowed retries that is used. The rest is a margin: the routers' windows do not
/// start at the same time, and a retry arrives at its endpoint with a delay.
const USABLE_SHARE: f64 = 0.8;

/// Retries allowed by a sliding window over the requests to one service at one router.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request plus `slack` retries for this router.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets this router's share of the retries that the fleet may make without any request.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts the first send of a request.
    pub fn deposit(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry; `false` if none is left in the window.
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
