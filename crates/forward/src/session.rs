//! Session of a router run with the store, as its successor on the same VM sees it.
//!
//! A run writes heartbeats with a lower bound of the store's clock and the age from which the next
//! heartbeat is late. While the last heartbeat that may have been written is younger, the run consumes
//! only the tokens that its accounts leave open. From then on the open tokens grow with time, at a rate
//! stored in the account. A successor that reads the heartbeat knows how late its predecessor can have
//! been, and takes over all tokens except those that were open by then.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time without a heartbeat, beyond its interval, after which runs of earlier versions of this software
/// consume whole grants.
const EARLIER_DETACH_TIME: Duration = Duration::from_millis(2_250);
/// Shortest time between two heartbeats of a router.
const HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Heartbeat interval per router that sends heartbeats as often. The interval grows with their
/// number, so that all of them together write at most a hundred heartbeats per second.
const HEARTBEAT_PER_ROUTER: Duration = Duration::from_millis(10);

/// Delay from which a heartbeat counts as late. Calls to a slow store take a few hundred ms.
const LATE_MARGIN: Duration = Duration::from_millis(500);
/// Lateness up to which runs of earlier versions of this software take over accounts. They assume that
/// the open tokens grow at a constant rate until then.
pub(crate) const EARLIER_LATENESS_MAX: Duration = EARLIER_DETACH_TIME.saturating_sub(LATE_MARGIN);

/// Time within which the store usually acknowledges a heartbeat.
const USUAL_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Interval of the heartbeats of `writer_count` routers.
fn interval_of(writer_count: u32) -> Duration {
    HEARTBEAT_INTERVAL_MIN.max(HEARTBEAT_PER_ROUTER * writer_count)
}

fn detach_age(writer_count: u32) -> Duration {
    EARLIER_DETACH_TIME + interval_of(writer_count)
}

fn late_age(writer_count: u32) -> Duration {
    interval_of(writer_count) + LATE_MARGIN
}

/// Whether the open tokens of a run grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionMode {
    /// Consumes only what its accounts leave open.
    Attached,
    /// The next heartbeat is late: the open tokens grow with time.
    Late,
    /// Like attached, while accounts are written after an outage.
    Attaching,
}

/// Content of a heartbeat; times in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Lower bound of the store's clock when the heartbeat was sent.
    pub seen_ms: u64,
    /// Age from which the next heartbeat is late.
    #[serde(default)]
    pub late_ms: u64,
    /// Age from which the run may consume whole grants, unless `is_bounded` is set.
    pub detach_ms: u64,
    /// Whether the run never consumes more than its open tokens. Runs of earlier versions, which do not
    /// write this field, consume whole grants from `detach_ms`.
    #[serde(default)]
    pub is_bounded: bool,
}

/// Session of one run with the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreSession {
    /// Last reading of the store's clock in ms, and when it was received.
    clock_reading: Option<(Instant, u64)>,
    /// When the last heartbeat that may have been written was sent.
    last_sent: Option<Instant>,
    /// Value of `last_sent` before the current heartbeat, restored if that one is rejected.
    previous_sent: Option<Instant>,
    attaching: bool,
    /// Whether the outcome of the last heartbeat is unknown.
    unresolved: bool,
    /// Number of routers that send heartbeats as often as this one.
    writer_count: u32,
    /// Largest value of `writer_count` since a heartbeat with the current one was written.
    stored_count: u32,
    /// Value of `writer_count` in the last heartbeat that was sent.
    sent_count: u32,
}

impl StoreSession {
    /// Records a reading of the store's clock.
    pub fn record_clock(&mut self, now_ms: u64, received: Instant) {
        self.clock_reading = Some((received, now_ms));
    }

    /// Lower bound of the store's clock; `None` before the first reading.
    pub fn clock(&self, now: Instant) -> Option<u64> {
        let (received, now_ms) = self.clock_reading?;
        let passed = now.saturating_duration_since(received).as_millis();
        Some(now_ms + u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Sets the number of routers that send heartbeats as often as this one, which determines the
    /// interval. After it falls, the ages of the stored heartbeat apply until one with the new ages
    /// was written.
    pub fn set_writers(&mut self, writer_count: usize) {
        self.writer_count = u32::try_from(writer_count).unwrap_or(u32::MAX);
        self.stored_count = self.stored_count.max(self.writer_count);
    }

    /// Time between two heartbeats.
    pub fn interval(&self) -> Duration {
        interval_of(self.writer_count)
    }

    /// Age of the last heartbeat from which the next one is late.
    pub fn late_after(&self) -> Duration {
        late_age(self.stored_count)
    }

    /// Longest time for which the heartbeat of a run that wrote `heartbeat` and ended before
    /// `now_ms` of the store's clock may have been late; `None` if the run may have consumed whole
    /// grants.
    pub fn max_lateness(heartbeat: Heartbeat, now_ms: u64) -> Option<Duration> {
        let age_ms = now_ms.saturating_sub(heartbeat.seen_ms);
        let late_ms = age_ms.saturating_sub(heartbeat.late_ms);
        (heartbeat.is_bounded || age_ms < heartbeat.detach_ms)
            .then_some(Duration::from_millis(late_ms))
    }

    /// Heartbeat to send now.
    pub fn heartbeat(&self, now: Instant) -> Heartbeat {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Heartbeat {
            seen_ms: self.clock(now).unwrap_or(0),
            late_ms: ms(late_age(self.writer_count)),
            detach_ms: ms(detach_age(self.writer_count)),
            is_bounded: true,
        }
    }

    /// Time by which the next heartbeat is late.
    pub fn lateness(&self, now: Instant) -> Duration {
        let late_at = self
            .last_sent
            .map(|last_sent| last_sent + self.late_after());
        late_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Current mode.
    pub fn mode(&self, now: Instant) -> SessionMode {
        if self.attaching {
            return SessionMode::Attaching;
        }
        match self.last_sent {
            // Without a heartbeat there is no grant that a successor could take over.
            None => SessionMode::Attached,
            Some(last_sent) if now < last_sent + self.late_after() => SessionMode::Attached,
            Some(_) => SessionMode::Late,
        }
    }

    /// Whether a heartbeat has been unacknowledged for longer than usual.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let last_sent = self.last_sent.filter(|_| self.unresolved);
        last_sent
            .is_some_and(|last_sent| now.saturating_duration_since(last_sent) > USUAL_RESPONSE_TIME)
    }

    /// Whether a heartbeat may be sent. While the outcome of one is unknown, another one would put
    /// off the time from which the open tokens grow.
    pub fn may_send(&self, now: Instant) -> bool {
        match self.mode(now) {
            SessionMode::Attached => !self.unresolved,
            SessionMode::Attaching => true,
            SessionMode::Late => false,
        }
    }

    /// Starts to reattach after a late heartbeat or an outage.
    pub fn begin_attach(&mut self) {
        self.attaching = true;
    }

    /// Stops reattaching; the run stays late.
    pub fn cancel_attach(&mut self) {
        self.attaching = false;
    }

    /// Records that a heartbeat is being sent.
    pub fn heartbeat_sent(&mut self, now: Instant) {
        self.previous_sent = self.last_sent;
        self.last_sent = Some(now);
        self.sent_count = self.writer_count;
        self.unresolved = true;
    }

    /// Records that the heartbeat was written.
    pub fn heartbeat_written(&mut self) {
        // A heartbeat without a response was followed by this one only after it was late, so its
        // ages end earlier.
        self.stored_count = self.sent_count.max(self.writer_count);
        self.unresolved = false;
        self.attaching = false;
    }

    /// Records that the heartbeat was not written.
    pub fn heartbeat_rejected(&mut self) {
        self.last_sent = self.previous_sent;
        self.unresolved = false;
        self.attaching = false;
    }

    /// Records that the heartbeat may have been written, or may still be.
    pub fn heartbeat_uncertain(&mut self) {
        self.attaching = false;
    }
}
