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
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the link from which it is crowded. Bytes of callers come in and go out again, beside
/// those of headers, the store and other routers, which are not counted.
const CROWDED_SHARE: f64 = 0.5;
/// Part of the link below which it is crowded no more.
const FREE_SHARE: f64 = 0.3;
/// Shortest time for which a router stays crowded, so that it does not change at each burst.
const CROWDED_MIN: Duration = Duration::from_secs(4);
/// Time in which the platform notices that a router asks for no connections: two checks, one each
/// second.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);
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
    crowded_at: Option<Instant>,
    free_at: Option<Instant>,
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
        state.roll(speed, now);
        state.bytes += bytes;
    }

    /// Whether new connections should go to other routers.
    pub fn is_crowded(&self, now: Instant) -> bool {
        let Some(speed) = self.speed else {
            return false;
        };
        let mut state = self.state();
        state.roll(speed, now);
        state.crowded_at.is_some()
    }

    /// Whether kept connections should be closed after their answers.
    pub fn closes(&self, now: Instant) -> bool {
        let crowded_at = self.state().crowded_at;
        crowded_at.is_some_and(|at| now.saturating_duration_since(at) >= NOTICE_TIME)
    }

    fn state(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MeterState {
    /// Ends the present window when its time is over.
    fn roll(&mut self, speed: f64, now: Instant) {
        let end = *self.window_end.get_or_insert(now + WINDOW);
        if now < end {
            return;
        }
        let time = WINDOW + now.saturating_duration_since(end);
        let share = self.bytes as f64 / time.as_secs_f64() / speed;
        self.bytes = 0;
        self.window_end = Some(now + WINDOW);
        if share > CROWDED_SHARE {
            if self.crowded_at.is_none() {
                tracing::info!(share, "callers crowd the link; readiness withdrawn");
                self.crowded_at = Some(now);
            }
            self.free_at = Some(now + CROWDED_MIN);
        } else if share < FREE_SHARE
            && self.crowded_at.is_some()
            && self.free_at.is_none_or(|at| now >= at)
        {
            tracing::info!(share, "the link is free again");
            self.crowded_at = None;
        }
    }
}
