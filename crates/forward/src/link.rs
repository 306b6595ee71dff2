//! Use of a router's network link by its callers.
//!
//! The platform sends all connections of a caller to one router, so one router may get most callers
//! of its failure domain. If they fill its link, configurations and registrations arrive late too.
//! A congested router reports that it is not ready and, once the platform has noticed, closes
//! kept-alive connections after their responses. The callers then connect to other routers.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Time over which the use is averaged; shorter bursts fit into the link's queue.
const METER_WINDOW: Duration = Duration::from_secs(1);
/// Share of the link's speed above which it counts as congested. The rest is left for traffic that
/// is not counted: packet headers, and calls to the store and other routers. The router receives
/// and sends each of the callers' bytes once, so the counted bytes are the load of one direction.
const CONGESTED_SHARE: f64 = 0.5;
/// Share of the link's speed below which it is no longer congested.
const CLEAR_SHARE: f64 = 0.3;
/// Shortest time for which a router counts as congested, so that it does not change state with each
/// burst.
const CONGESTED_MIN: Duration = Duration::from_secs(4);
/// Time within which the platform notices that a router is not ready: two checks that are a second
/// apart, and a margin.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Estimated size of the headers of a request and its response, in bytes.
const ESTIMATED_HEAD_BYTES: usize = 600;

/// Measures the callers' bytes in one direction of the link.
#[derive(Debug)]
pub struct LinkMeter {
    /// Speed of the link in bytes per second; `None` if unknown.
    speed: Option<f64>,
    state: Mutex<MeterState>,
}

#[derive(Debug, Default)]
struct MeterState {
    bytes: usize,
    window_end: Option<Instant>,
    congested_since: Option<Instant>,
    clear_after: Option<Instant>,
}

impl LinkMeter {
    /// Creates a meter for a link with a speed in Mbit/s.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            speed: link_mbps.map(|mbps| mbps * 1e6 / 8.0),
            state: Mutex::default(),
        }
    }

    /// Counts a request with a body of `length` bytes, and its estimated headers.
    pub fn record_request(&self, length: usize, now: Instant) {
        self.record_bytes(length + ESTIMATED_HEAD_BYTES, now);
    }

    /// Counts transferred bytes, such as those of a response body.
    pub fn record_bytes(&self, bytes: usize, now: Instant) {
        let Some(speed) = self.speed else { return };
        let mut state = self.state();
        state.roll_window(speed, now);
        state.bytes += bytes;
    }

    /// Whether new connections should go to other routers.
    pub fn is_congested(&self, now: Instant) -> bool {
        let Some(speed) = self.speed else {
            return false;
        };
        let mut state = self.state();
        state.roll_window(speed, now);
        state.congested_since.is_some()
    }

    /// Whether kept-alive connections should be closed after their responses.
    pub fn should_close(&self, now: Instant) -> bool {
        let congested_since = self.state().congested_since;
        congested_since.is_some_and(|at| now.saturating_duration_since(at) >= READINESS_NOTICE_TIME)
    }

    fn state(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MeterState {
    /// Ends the current window when its time is over.
    fn roll_window(&mut self, speed: f64, now: Instant) {
        let end = *self.window_end.get_or_insert(now + METER_WINDOW);
        if now < end {
            return;
        }
        let time = METER_WINDOW + now.saturating_duration_since(end);
        let share = self.bytes as f64 / time.as_secs_f64() / speed;
        self.bytes = 0;
        self.window_end = Some(now + METER_WINDOW);
        if share > CONGESTED_SHARE {
            if self.congested_since.is_none() {
                tracing::info!(share, "callers crowd the link; readiness withdrawn");
                self.congested_since = Some(now);
            }
            self.clear_after = Some(now + CONGESTED_MIN);
        } else if share < CLEAR_SHARE
            && self.congested_since.is_some()
            && self.clear_after.is_none_or(|at| now >= at)
        {
            tracing::info!(share, "the link is free again");
            self.congested_since = None;
        }
    }
}
