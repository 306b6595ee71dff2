use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use {
    jasminewall_core::body_account::{BodyAccount, BodyId, MemoryPlan},
    tokio::sync::{Notify, Semaphore},
};

use crate::connection::{CallerSlot, REFUSAL_LIMIT};

/// Names of the metrics of `jasminewall serve`, as listed in `docs/metrics.md`.
pub const METRIC_NAMES: &[&str] = &["caller_limits", "body_bytes"];

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
}

impl CallerEvent {
    /// All events, in the order of the counters.
    pub const ALL: [Self; 6] = [
        Self::BodyTooLarge,
        Self::BodyMemoryFull,
        Self::BodyEvicted,
        Self::BodyStalled,
        Self::ConnectionEvicted,
        Self::ConnectionRefused,
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
        }
    }
}

/// Memory that a process holds for callers.
pub struct CallerMemory {
    pub(crate) plan: MemoryPlan,
    account: Mutex<BodyAccount>,
    evictors: Mutex<HashMap<BodyId, Arc<Notify>>>,
    pub(crate) released: Notify,
    pub(crate) slots: Mutex<HashMap<u64, Arc<CallerSlot>>>,
    pub(crate) heads: AtomicUsize,
    /// Permits of refused connections that are still open.
    pub(crate) refusals: Arc<Semaphore>,
    counts: [AtomicU64; CallerEvent::ALL.len()],
}

impl CallerMemory {
    /// Creates the account and the slots for a machine with the given memory in MB.
    pub fn new(memory_mb: Option<usize>) -> Arc<Self> {
        let plan = MemoryPlan::of_machine(memory_mb);
        tracing::info!(?memory_mb, ?plan, "limits of callers");
        Arc::new(Self {
            plan,
            account: Mutex::new(BodyAccount::new(plan.body_bytes)),
            evictors: Mutex::default(),
            released: Notify::new(),
            slots: Mutex::default(),
            heads: AtomicUsize::new(0),
            refusals: Arc::new(Semaphore::new(REFUSAL_LIMIT)),
            counts: Default::default(),
        })
    }

    pub(crate) fn account(&self) -> MutexGuard<'_, BodyAccount> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn evictors(&self) -> MutexGuard<'_, HashMap<BodyId, Arc<Notify>>> {
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
        self.account().held()
    }

    /// Adds a body that `evictor` ends.
    pub(crate) fn open_body(self: &Arc<Self>, evictor: Arc<Notify>) -> BodyHold {
        let id = self.account().open(Instant::now());
        self.evictors().insert(id, evictor);
        BodyHold {
            memory: self.clone(),
            id,
        }
    }
}

/// Body in the account, released on drop.
pub(crate) struct BodyHold {
    pub(crate) memory: Arc<CallerMemory>,
    pub(crate) id: BodyId,
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.account().close(self.id);
        self.memory.evictors().remove(&self.id);
        self.memory.released.notify_waiters();
    }
}
