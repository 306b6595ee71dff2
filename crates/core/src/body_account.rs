//! Memory that a process holds for callers: which bodies are accepted, and which are evicted.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Largest ordinary body in bytes. Larger ones do not use the reserve.
pub const SMALL_BODY: usize = 72 << 10;
/// Part of an account that is reserved for small bodies: 25 of the largest ones on the smallest machine,
/// beside five bodies of 4 MB.
const RESERVE_DIVISOR: usize = 12;
/// Time without progress after which a body is evicted if the account is full. Covers a lost packet,
/// which is sent again after up to a second.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time without progress after which a body ends in any case: the default idle timeout of a connection.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time for a body to arrive: 4 MB take 34 s if ten callers share a link of 10 Mbit/s.
pub const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(40);
/// Bytes that count as progress; fewer within [`PROGRESS_TIMEOUT`] do not keep a body.
const PROGRESS_BYTES: usize = 1 << 10;
/// Memory of a machine whose settings do not name it: half of the largest in use.
const DEFAULT_MEMORY_MB: usize = 256;
/// Size of the receive buffer and of the send buffer of a caller's socket, as set on the listener. Links
/// of up to 4 ms carry 2 MB/s and more with it.
pub const SOCKET_BUFFER: usize = 16 << 10;
/// Bytes that the system holds for a caller's socket. It doubles the size that is set, and lets the
/// send buffer exceed it by one segment of up to 24 KB.
const SOCKET_BYTES: usize = 4 * SOCKET_BUFFER + (24 << 10);
/// Memory of a connection: its socket, two buffers of 8 KB and the state of its task.
const CONNECTION_BYTES: usize = SOCKET_BYTES + (24 << 10);
/// Memory of a connection of `run`, whose requests run in tasks of their own, with the buffers of their
/// connections to endpoints.
const DETACHED_CONNECTION_BYTES: usize = CONNECTION_BYTES + (64 << 10);
/// Largest number of connections on any machine: a third of the 3,900 descriptors that machines have for
/// sockets. As many are left for the requests that run at endpoints, and for idle connections to
/// endpoints, other routers and the store.
const CONNECTION_LIMIT: usize = 1_300;
/// Memory for a caller that does not read its response, besides its connection: the read buffer of the
/// endpoint's connection and its socket, and the responses that wait to be written.
const BLOCKED_BYTES: usize = 128 << 10;
/// Smallest account: one body of 4 MB, and the reserve.
const BODY_BYTES_MIN: usize = 8 << 20;

/// Shares of a machine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bytes for bodies of requests.
    pub body_bytes: usize,
    /// Bytes for buffered responses.
    pub response_bytes: usize,
    /// Connections of callers.
    pub connections: usize,
    /// Bytes for request heads that are not complete.
    pub head_bytes: usize,
    /// Bytes for responses that are kept so that their requests can be retried.
    pub kept_bytes: usize,
    /// Callers that do not read their responses.
    pub blocked_callers: usize,
}

impl MemoryPlan {
    /// A quarter of the memory holds bodies of requests, a third connections with the buffers of their
    /// sockets, a thirty-second heads, and an eighth callers that do not read. An eighth holds buffered
    /// responses in `run`, a sixteenth kept ones in `serve`.
    pub fn of_machine(memory_mb: Option<usize>) -> Self {
        Self::with_connections(memory_mb, CONNECTION_BYTES)
    }

    /// Plan of an interface whose requests run in tasks of their own.
    pub fn of_detached(memory_mb: Option<usize>) -> Self {
        Self::with_connections(memory_mb, DETACHED_CONNECTION_BYTES)
    }

    fn with_connections(memory_mb: Option<usize>, connection_bytes: usize) -> Self {
        let memory = memory_mb
            .unwrap_or(DEFAULT_MEMORY_MB)
            .saturating_mul(1 << 20);
        Self {
            body_bytes: (memory / 4).max(BODY_BYTES_MIN),
            response_bytes: (memory / 8).max(BODY_BYTES_MIN),
            connections: (memory / 3 / connection_bytes).clamp(16, CONNECTION_LIMIT),
            head_bytes: memory / 32,
            kept_bytes: memory / 16,
            blocked_callers: (memory / 8 / BLOCKED_BYTES).max(16),
        }
    }
}

/// Number of a body in an account.
pub type BodyId = u64;

/// Answer to a body that needs more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyGrowth {
    /// The bytes are counted.
    Granted,
    /// The bytes are free as soon as evicted bodies have been released. The listed ones were evicted
    /// by this call.
    Wait(Vec<BodyId>),
    /// The account is full and all of its bodies make progress.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct BodyState {
    bytes: usize,
    progress_at: Instant,
    /// When the body ends in any case.
    latest_at: Instant,
    /// Bytes since the last progress.
    received: usize,
    evictable: bool,
    leaving: bool,
}

/// Account of the bytes held for bodies.
#[derive(Debug)]
pub struct BodyAccount {
    limit: usize,
    large_limit: usize,
    held: usize,
    large: usize,
    bodies: HashMap<BodyId, BodyState>,
    next: BodyId,
}

fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_BODY { bytes } else { 0 }
}

impl BodyAccount {
    /// Creates an account for `limit` bytes. A part is reserved for bodies of up to [`SMALL_BODY`].
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            large_limit: limit - limit / RESERVE_DIVISOR,
            held: 0,
            large: 0,
            bodies: HashMap::new(),
            next: 0,
        }
    }

    /// Bytes that are held now.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a body without bytes.
    pub fn open(&mut self, now: Instant) -> BodyId {
        self.next += 1;
        let state = BodyState {
            bytes: 0,
            progress_at: now,
            latest_at: now + ARRIVAL_TIMEOUT,
            received: 0,
            evictable: true,
            leaving: false,
        };
        self.bodies.insert(self.next, state);
        self.next
    }

    /// Counts `bytes` more for a body, or decides what to evict for them.
    pub fn grow(&mut self, id: BodyId, bytes: usize, now: Instant) -> BodyGrowth {
        let Some(state) = self.bodies.get(&id).copied() else {
            return BodyGrowth::Refused;
        };
        if state.leaving {
            return BodyGrowth::Refused;
        }
        let size = state.bytes.saturating_add(bytes);
        let large_more = large_part(size) - large_part(state.bytes);
        let excess = self.held.saturating_add(bytes).saturating_sub(self.limit);
        let large_excess = (self.large.saturating_add(large_more)).saturating_sub(self.large_limit);
        let large_excess = if large_more > 0 { large_excess } else { 0 };
        if excess == 0 && large_excess == 0 {
            self.held += bytes;
            self.large += large_more;
            if let Some(state) = self.bodies.get_mut(&id) {
                state.bytes = size;
            }
            return BodyGrowth::Granted;
        }
        self.evict(id, excess, large_excess, now)
    }

    fn evict(&mut self, id: BodyId, excess: usize, large: usize, now: Instant) -> BodyGrowth {
        let leaving = self.bodies.values().filter(|state| state.leaving);
        let (mut freed, mut freed_large) = leaving.fold((0, 0), |(all, large), state| {
            (all + state.bytes, large + large_part(state.bytes))
        });
        let mut stalled: Vec<(Instant, BodyId)> = self
            .bodies
            .iter()
            .filter(|(other, state)| {
                **other != id
                    && state.evictable
                    && !state.leaving
                    && state.bytes > 0
                    && now.saturating_duration_since(state.progress_at) >= STALL_TIME
            })
            .map(|(other, state)| (state.progress_at, *other))
            .collect();
        stalled.sort_unstable();
        let mut evicted = Vec::new();
        for (_, other) in stalled {
            if freed >= excess && freed_large >= large {
                break;
            }
            let bytes = self.bodies[&other].bytes;
            if freed >= excess && large_part(bytes) == 0 {
                continue;
            }
            freed += bytes;
            freed_large += large_part(bytes);
            evicted.push(other);
        }
        if freed < excess || freed_large < large {
            return BodyGrowth::Refused;
        }
        for other in &evicted {
            if let Some(state) = self.bodies.get_mut(other) {
                state.leaving = true;
            }
        }
        BodyGrowth::Wait(evicted)
    }

    /// Records bytes that arrived for a body.
    pub fn record(&mut self, id: BodyId, bytes: usize, now: Instant) {
        if let Some(state) = self.bodies.get_mut(&id) {
            state.received += bytes;
            if state.received >= PROGRESS_BYTES {
                state.received = 0;
                state.progress_at = now;
            }
        }
    }

    /// When a body ends unless it makes progress, and at the latest.
    pub fn expires_at(&self, id: BodyId) -> Option<Instant> {
        let state = self.bodies.get(&id)?;
        Some(state.latest_at.min(state.progress_at + PROGRESS_TIMEOUT))
    }

    /// Marks a body as complete: its request may run and must not be evicted. Returns `false` if it
    /// was evicted before.
    pub fn complete(&mut self, id: BodyId) -> bool {
        match self.bodies.get_mut(&id) {
            Some(state) if !state.leaving => {
                state.evictable = false;
                true
            }
            _ => false,
        }
    }

    /// Releases a body and its bytes.
    pub fn close(&mut self, id: BodyId) {
        if let Some(state) = self.bodies.remove(&id) {
            self.held -= state.bytes;
            self.large -= large_part(state.bytes);
        }
    }
}
