//! Contact of a router run with the store, as its successor on the same VM can judge it.
//!
//! A run writes a heartbeat with a lower bound of the store's clock. As long as the last heartbeat
//! that may have landed is younger than [`DETACH_AFTER`], the run is attached and consumes only what
//! its accounts leave open. After that it is detached and may consume whole grants. A successor that
//! reads the heartbeat before that age therefore knows that its predecessor ended attached, and
//! takes over all but the open tokens.

use std::time::{Duration, Instant};

/// Age of the last heartbeat from which a run may consume whole grants. It is longer than a restart
/// takes on the users' platform (up to two seconds) with the age of a heartbeat, and short against
/// outages of the store.
pub const DETACH_AFTER: Duration = Duration::from_millis(3_000);
/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);

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

    /// Whether a run that wrote `seen_ms` surely ended attached, at `now_ms` of the store.
    pub fn ended_attached(seen_ms: u64, now_ms: u64) -> bool {
        let age = now_ms.saturating_sub(seen_ms);
        Duration::from_millis(age) < DETACH_AFTER
    }

    /// Present mode.
    pub fn mode(&self, now: Instant) -> ContactMode {
        if self.attaching {
            return ContactMode::Attaching;
        }
        match self.sent {
            // Without a heartbeat there is no grant that anyone could take over.
            None => ContactMode::Attached,
            Some(sent) if now < sent + DETACH_AFTER => ContactMode::Attached,
            Some(_) => ContactMode::Detached,
        }
    }

    /// When a run that waits for the store may consume whole grants; `None` when it has contact.
    pub fn detaches_at(&self, now: Instant) -> Option<Instant> {
        let at = self.sent? + DETACH_AFTER;
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
