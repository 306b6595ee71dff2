use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use {
    jasminewall_core::body_account::{BodyAccount, BodyGrowth, BodyId, MemoryPlan},
    tokio::sync::{Notify, Semaphore},
};

use crate::connection::{CallerSlot, REFUSAL_LIMIT};

/// Names of the metrics of `jasminewall serve`, as listed in `docs/metrics.md`.
pub const METRIC_NAMES: &[&str] = &["caller_limits", "body_bytes"];

/// Whose body it is; each kind has an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum BodyKind {
    Request,
    Response,
}

/// Limit that a caller met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerEvent {
    /// A body is larger than the limit.
    BodyTooLarge,
    /// A body was refused since the account is full.
    BodyMemoryFull,
    /// A body without progress was evicted from the full account.
    BodyEvicted,
    /// A body made no progress for a long time.
    BodyStalled,
    /// A connection gave up its slot to a new one, or its memory to other request heads.
    ConnectionEvicted,
    /// A connection was refused since all others have requests.
    ConnectionRefused,
    /// A connection whose caller does not read its response was closed since there are too many.
    ReaderEvicted,
}

impl CallerEvent {
    /// All events, in the order of the counters.
    pub const ALL: [Self; 7] = [
        Self::BodyTooLarge,
        Self::BodyMemoryFull,
        Self::BodyEvicted,
        Self::BodyStalled,
        Self::ConnectionEvicted,
        Self::ConnectionRefused,
        Self::ReaderEvicted,
    ];

    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "body_too_large",
            Self::BodyMemoryFull => "body_memory_full",
            Self::BodyEvicted => "body_evicted",
            Self::BodyStalled => "body_stalled",
            Self::ConnectionEvicted => "connection_evicted",
            Self::ConnectionRefused => "connection_refused",
            Self::ReaderEvicted => "reader_evicted",
        }
    }
}

/// Memory that a process holds for callers.
pub struct CallerMemory {
    pub(crate) plan: MemoryPlan,
    requests: Mutex<BodyAccount>,
    responses: Mutex<BodyAccount>,
    evictors: Mutex<HashMap<(BodyKind, BodyId), Arc<Notify>>>,
    pub(crate) released: Notify,
    pub(crate) slots: Mutex<HashMap<u64, Arc<CallerSlot>>>,
    pub(crate) heads: AtomicUsize,
    /// Callers that do not read their responses.
    pub(crate) blocked: AtomicUsize,
    /// Permits of refused connections that are still open.
    pub(crate) refusals: Arc<Semaphore>,
    counts: [AtomicU64; CallerEvent::ALL.len()],
}

impl CallerMemory {
    /// Creates the accounts and the slots for a machine with the given memory in MB.
    pub fn new(memory_mb: Option<usize>) -> Arc<Self> {
        Self::with_plan(memory_mb, MemoryPlan::of_machine(memory_mb))
    }

    /// Like [`Self::new`], for requests that run in tasks of their own.
    pub fn detached(memory_mb: Option<usize>) -> Arc<Self> {
        Self::with_plan(memory_mb, MemoryPlan::of_detached(memory_mb))
    }

    fn with_plan(memory_mb: Option<usize>, plan: MemoryPlan) -> Arc<Self> {
        tracing::info!(?memory_mb, ?plan, "limits of callers");
        Arc::new(Self {
            plan,
            requests: Mutex::new(BodyAccount::new(plan.body_bytes)),
            responses: Mutex::new(BodyAccount::new(plan.response_bytes)),
            evictors: Mutex::default(),
            released: Notify::new(),
            slots: Mutex::default(),
            heads: AtomicUsize::new(0),
            blocked: AtomicUsize::new(0),
            refusals: Arc::new(Semaphore::new(REFUSAL_LIMIT)),
            counts: Default::default(),
        })
    }

    fn account(&self, kind: BodyKind) -> MutexGuard<'_, BodyAccount> {
        let account = match kind {
            BodyKind::Request => &self.requests,
            BodyKind::Response => &self.responses,
        };
        account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evictors(&self) -> MutexGuard<'_, HashMap<(BodyKind, BodyId), Arc<Notify>>> {
        self.evictors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs and counts an event.
    pub(crate) fn record(&self, event: CallerEvent) {
        tracing::info!(limit = event.name(), "a caller met a limit");
        self.counts[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of events of one kind since the start.
    pub fn count(&self, event: CallerEvent) -> u64 {
        self.counts[event as usize].load(Ordering::Relaxed)
    }

    /// Bytes that are held for bodies.
    pub fn held_bytes(&self) -> usize {
        let kinds = [BodyKind::Request, BodyKind::Response];
        kinds.map(|kind| self.account(kind).held()).iter().sum()
    }

    /// Adds a body that `evictor` ends.
    pub(crate) fn open_body(self: &Arc<Self>, kind: BodyKind, evictor: Arc<Notify>) -> BodyHold {
        let id = self.account(kind).open(Instant::now());
        self.evictors().insert((kind, id), evictor);
        BodyHold {
            memory: self.clone(),
            kind,
            id,
        }
    }
}

/// Body in the account, released on drop.
pub(crate) struct BodyHold {
    pub(crate) memory: Arc<CallerMemory>,
    kind: BodyKind,
    id: BodyId,
}

impl BodyHold {
    fn account(&self) -> MutexGuard<'_, BodyAccount> {
        self.memory.account(self.kind)
    }

    /// Counts `bytes` more.
    pub(crate) fn try_grow(&self, bytes: usize) -> BodyGrowth {
        self.account().grow(self.id, bytes, Instant::now())
    }

    /// Ends another body of the account.
    pub(crate) fn evict(&self, other: BodyId) {
        self.memory.record(CallerEvent::BodyEvicted);
        if let Some(evictor) = self.memory.evictors().get(&(self.kind, other)) {
            evictor.notify_one();
        }
    }

    /// Records bytes that arrived.
    pub(crate) fn record(&self, bytes: usize) {
        self.account().record(self.id, bytes, Instant::now());
    }

    /// When the body ends unless it makes progress; `None` if it was evicted.
    pub(crate) fn expires_at(&self) -> Option<Instant> {
        self.account().expires_at(self.id)
    }

    /// Marks the body as complete. Returns `false` if it was evicted before.
    pub(crate) fn complete(&self) -> bool {
        self.account().complete(self.id)
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.account().close(self.id);
        self.memory.evictors().remove(&(self.kind, self.id));
        self.memory.released.notify_waiters();
    }
}
