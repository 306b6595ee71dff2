//! Contact of a router run with the store, as its successor on the same VM can judge it.
//!
//! A run writes a heartbeat with a lower bound of the store's clock and the age from which it counts
//! as detached. As long as the last heartbeat that may have landed is younger, the run consumes only
//! what its accounts leave open; once the next heartbeat is late, the open tokens grow with time, at
//! a rate that the account names. After that it is detached and may consume whole grants. A successor
//! that reads the heartbeat before that age therefore knows how long its predecessor may have been
//! late, and takes over all but the tokens that were open by then.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time between a crash and the first reading of the successor, at most: outages of a machine that
/// is killed last two seconds on the users' platform, and a process starts within 0.2 s.
const RESTART_TIME_MAX: Duration = Duration::from_millis(2_250);
/// Shortest time between two heartbeats.
const HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Time between two heartbeats for each router of the fleet, which keeps all of them at a hundred
/// writes a second.
const HEARTBEAT_PER_ROUTER: Duration = Duration::from_millis(10);

/// Delay of a heartbeat beyond which it counts as late; calls of a slow store take a few hundred ms.
const LATE_MARGIN: Duration = Duration::from_millis(500);

/// Longest time that the store usually takes to answer a heartbeat.
const USUAL_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Whether a run may consume whole grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionMode {
    /// Consumes only what its accounts leave open.
    Attached,
    /// The next heartbeat is late: the open tokens grow with time.
    Late,
    /// Like attached, until all accounts are written after an outage.
    Attaching,
    /// May consume whole grants.
    Detached,
}

/// What a heartbeat says; times in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Lower bound of the store's clock when it was sent.
    pub seen_ms: u64,
    /// Age from which the next heartbeat is late.
    #[serde(default)]
    pub late_ms: u64,
    /// Age from which the run may consume whole grants.
    pub detach_ms: u64,
}

/// Contact of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreSession {
    clock_reading: Option<(Instant, u64)>,
    /// When the last heartbeat that may have landed was sent.
    last_sent: Option<Instant>,
    previous_sent: Option<Instant>,
    attaching: bool,
    unresolved: bool,
    router_count: u32,
}

impl StoreSession {
    /// Notes a reading of the store's clock.
    pub fn record_clock(&mut self, now_ms: u64, received: Instant) {
        self.clock_reading = Some((received, now_ms));
    }

    /// Lower bound of the store's clock; `None` before the first reading.
    pub fn clock(&self, now: Instant) -> Option<u64> {
        let (received, now_ms) = self.clock_reading?;
        let passed = now.saturating_duration_since(received).as_millis();
        Some(now_ms + u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Sets the number of routers, for the time between heartbeats; it never shrinks, so that what
    /// earlier heartbeats promised holds.
    pub fn set_routers(&mut self, router_count: usize) {
        let router_count = u32::try_from(router_count).unwrap_or(u32::MAX);
        self.router_count = self.router_count.max(router_count);
    }

    /// Time between two heartbeats.
    pub fn interval(&self) -> Duration {
        HEARTBEAT_INTERVAL_MIN.max(HEARTBEAT_PER_ROUTER * self.router_count)
    }

    /// Age of the last heartbeat from which the run is detached.
    pub fn detach_after(&self) -> Duration {
        RESTART_TIME_MAX + self.interval()
    }

    /// Age of the last heartbeat from which the next one is late.
    pub fn late_after(&self) -> Duration {
        self.interval() + LATE_MARGIN
    }

    /// Longest time for which a run may have been late that wrote `mark` and surely ended before
    /// `now_ms` of the store; `None` when it may have been detached.
    pub fn max_lateness(heartbeat: Heartbeat, now_ms: u64) -> Option<Duration> {
        let age_ms = now_ms.saturating_sub(heartbeat.seen_ms);
        let late_ms = age_ms.saturating_sub(heartbeat.late_ms);
        (age_ms < heartbeat.detach_ms).then_some(Duration::from_millis(late_ms))
    }

    /// Content of a heartbeat that is sent now.
    pub fn heartbeat(&self, now: Instant) -> Heartbeat {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Heartbeat {
            seen_ms: self.clock(now).unwrap_or(0),
            late_ms: ms(self.late_after()),
            detach_ms: ms(self.detach_after()),
        }
    }

    /// Time for which the next heartbeat has been late.
    pub fn lateness(&self, now: Instant) -> Duration {
        let late_at = self
            .last_sent
            .map(|last_sent| last_sent + self.late_after());
        late_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Present mode.
    pub fn mode(&self, now: Instant) -> SessionMode {
        if self.attaching {
            return SessionMode::Attaching;
        }
        match self.last_sent {
            // Without a heartbeat there is no grant that anyone could take over.
            None => SessionMode::Attached,
            Some(last_sent) if now < last_sent + self.late_after() => SessionMode::Attached,
            Some(last_sent) if now < last_sent + self.detach_after() => SessionMode::Late,
            Some(_) => SessionMode::Detached,
        }
    }

    /// When a run that waits for the store may consume whole grants; `None` when it has contact.
    pub fn detaches_at(&self, now: Instant) -> Option<Instant> {
        let at = self.last_sent? + self.detach_after();
        (self.unresolved && now < at).then_some(at)
    }

    /// Whether the store owes the answer to a heartbeat for longer than answers usually take.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let last_sent = self.last_sent.filter(|_| self.unresolved);
        last_sent
            .is_some_and(|last_sent| now.saturating_duration_since(last_sent) > USUAL_RESPONSE_TIME)
    }

    /// Whether a heartbeat may be sent. While the outcome of one is unknown, another one would put
    /// off the time from which whole grants may be consumed.
    pub fn may_send(&self, now: Instant) -> bool {
        match self.mode(now) {
            SessionMode::Attached => !self.unresolved,
            SessionMode::Attaching => true,
            SessionMode::Late | SessionMode::Detached => false,
        }
    }

    /// Starts to attach again after a late heartbeat or an outage.
    pub fn begin_attach(&mut self) {
        self.attaching = true;
    }

    /// Gives up attaching; the run stays detached.
    pub fn cancel_attach(&mut self) {
        self.attaching = false;
    }

    /// Notes that a heartbeat is being sent.
    pub fn heartbeat_sent(&mut self, now: Instant) {
        self.previous_sent = self.last_sent;
        self.last_sent = Some(now);
        self.unresolved = true;
    }

    /// Notes that the heartbeat landed.
    pub fn heartbeat_written(&mut self) {
        self.unresolved = false;
        self.attaching = false;
    }

    /// Notes that the heartbeat surely did not land.
    pub fn heartbeat_rejected(&mut self) {
        self.last_sent = self.previous_sent;
        self.unresolved = false;
        self.attaching = false;
    }

    /// Notes that the heartbeat may have landed.
    pub fn heartbeat_uncertain(&mut self) {
        self.attaching = false;
    }
}
