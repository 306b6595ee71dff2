//! Contact of a router run with the store, as its successor on the same VM can judge it.
//!
//! A run writes a heartbeat with a lower bound of the store's clock and the age from which it counts
//! as detached. As long as the last heartbeat that may have landed is younger, the run is attached
//! and consumes only what its accounts leave open. After that it is detached and may consume whole
//! grants. A successor that reads the heartbeat before that age therefore knows that its predecessor
//! ended attached, and takes over all but the open tokens.

use std::time::{Duration, Instant};

/// Time between a crash and the first reading of the successor, at most: outages of a machine that
/// is killed last two seconds on the users' platform, and a process starts within 0.2 s.
const RESTART_TIME: Duration = Duration::from_millis(2_250);
/// Shortest time between two heartbeats.
const HEARTBEAT_MIN: Duration = Duration::from_millis(250);
/// Time between two heartbeats for each router of the fleet, which keeps all of them at a hundred
/// writes a second.
const HEARTBEAT_EACH: Duration = Duration::from_millis(10);

/// Whether a run may consume whole grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactMode {
    /// Consumes only what its accounts leave open.
    Attached,
    /// Like attached, until all accounts are written after an outage.
    Attaching,
    /// May consume whole grants.
    Detached,
}

/// Contact of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreLink {
    anchor: Option<(Instant, u64)>,
    /// When the last heartbeat that may have landed was sent.
    sent: Option<Instant>,
    before: Option<Instant>,
    attaching: bool,
    unresolved: bool,
    routers: u32,
}

impl StoreLink {
    /// Notes a reading of the store's clock.
    pub fn read_clock(&mut self, now_ms: u64, received: Instant) {
        self.anchor = Some((received, now_ms));
    }

    /// Lower bound of the store's clock; `None` before the first reading.
    pub fn clock(&self, now: Instant) -> Option<u64> {
        let (received, now_ms) = self.anchor?;
        let passed = now.saturating_duration_since(received).as_millis();
        Some(now_ms + u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Sets the number of routers, for the time between heartbeats; it never shrinks, so that what
    /// earlier heartbeats promised holds.
    pub fn set_routers(&mut self, routers: usize) {
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        self.routers = self.routers.max(routers);
    }

    /// Time between two heartbeats.
    pub fn interval(&self) -> Duration {
        HEARTBEAT_MIN.max(HEARTBEAT_EACH * self.routers)
    }

    /// Age of the last heartbeat from which the run is detached.
    pub fn detach_after(&self) -> Duration {
        RESTART_TIME + self.interval()
    }

    /// Whether a run surely ended attached that wrote a heartbeat at `seen_ms` and detaches after
    /// `detach_ms`, at `now_ms` of the store.
    pub fn ended_attached(seen_ms: u64, detach_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(seen_ms) < detach_ms
    }

    /// Present mode.
    pub fn mode(&self, now: Instant) -> ContactMode {
        if self.attaching {
            return ContactMode::Attaching;
        }
        match self.sent {
            // Without a heartbeat there is no grant that anyone could take over.
            None => ContactMode::Attached,
            Some(sent) if now < sent + self.detach_after() => ContactMode::Attached,
            Some(_) => ContactMode::Detached,
        }
    }

    /// When a run that waits for the store may consume whole grants; `None` when it has contact.
    pub fn detaches_at(&self, now: Instant) -> Option<Instant> {
        let at = self.sent? + self.detach_after();
        (self.unresolved && now < at).then_some(at)
    }

    /// Whether a heartbeat may be sent. While the outcome of one is unknown, another one would put
    /// off the time from which whole grants may be consumed.
    pub fn may_beat(&self, now: Instant) -> bool {
        match self.mode(now) {
            ContactMode::Attached => !self.unresolved,
            ContactMode::Attaching => true,
            ContactMode::Detached => false,
        }
    }

    /// Starts to attach again after an outage.
    pub fn begin_attach(&mut self) {
        self.attaching = true;
    }

    /// Gives up attaching; the run stays detached.
    pub fn cancel_attach(&mut self) {
        self.attaching = false;
    }

    /// Notes that a heartbeat is being sent.
    pub fn beat_sent(&mut self, now: Instant) {
        self.before = self.sent;
        self.sent = Some(now);
        self.unresolved = true;
    }

    /// Notes that the heartbeat landed.
    pub fn beat_landed(&mut self) {
        self.unresolved = false;
        self.attaching = false;
    }

    /// Notes that the heartbeat surely did not land.
    pub fn beat_refused(&mut self) {
        self.sent = self.before;
        self.unresolved = false;
        self.attaching = false;
    }

    /// Notes that the heartbeat may have landed.
    pub fn beat_unknown(&mut self) {
        self.attaching = false;
    }
}
