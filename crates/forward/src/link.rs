//! Use of a router's own network link by its callers.
//!
//! The platform sends a caller's connections to one router, so that one router may get most callers
//! of its failure domain. When they fill its link, configurations and registrations arrive late as
//! well. A router that is crowded asks for no new connections and, once the platform has noticed,
//! closes kept ones after their answers; the callers connect to others.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Time over which the use is averaged; shorter bursts wait in the link's queue.
const METER_WINDOW: Duration = Duration::from_secs(1);
/// Part of the link from which it is crowded. Bytes of callers come in and go out again, beside
/// those of headers, the store and other routers, which are not counted.
const CONGESTED_SHARE: f64 = 0.5;
/// Part of the link below which it is crowded no more.
const CLEAR_SHARE: f64 = 0.3;
/// Shortest time for which a router stays crowded, so that it does not change at each burst.
const CONGESTED_MIN: Duration = Duration::from_secs(4);
/// Time in which the platform notices that a router asks for no connections: two checks, one each
/// second.
const READINESS_DELAY: Duration = Duration::from_millis(2_500);
/// Bytes of the heads of a request and its answer.
const HEAD_BYTES: usize = 600;

/// Meter of the callers' bytes on one direction of the link.
#[derive(Debug)]
pub struct LinkMeter {
    /// Speed of the link in bytes a second; `None` when it is not known.
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
    /// Builds a meter for a link; its speed is in Mbit/s.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            speed: link_mbps.map(|mbps| mbps * 1e6 / 8.0),
            state: Mutex::default(),
        }
    }

    /// Counts a request whose body has a length in bytes.
    pub fn record_request(&self, length: usize, now: Instant) {
        self.record_bytes(length + HEAD_BYTES, now);
    }

    /// Counts bytes of an answer.
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

    /// Whether kept connections should be closed after their answers.
    pub fn should_close(&self, now: Instant) -> bool {
        let congested_since = self.state().congested_since;
        congested_since.is_some_and(|at| now.saturating_duration_since(at) >= READINESS_DELAY)
    }

    fn state(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MeterState {
    /// Ends the present window when its time is over.
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
