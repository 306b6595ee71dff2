use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use {bytes::Bytes, smol_str::SmolStr, tokio::sync::Notify};

use crate::{Category, Error, PortFuture};

/// Number of a store's life: 1 at first, and one more whenever the store was restored from a copy and
/// lost what it had acknowledged since.
pub type StoreEra = u64;

/// Era of a store that was never restored.
pub const FIRST_ERA: StoreEra = 1;

/// Bits of a version below the era. A restored store assigns the versions of its copy's future again,
/// so a version without the era would not identify a state.
const VERSION_BITS: u32 = 48;

/// Version that a store in `era` assigned, as used by [`RowPort`]. Versions of a later era are
/// larger. In the first era it is the store's own version.
pub fn era_version(era: StoreEra, version: u64) -> u64 {
    (era.saturating_sub(FIRST_ERA) << VERSION_BITS) | stored_version(version)
}

/// Era in which a version was assigned.
pub fn era_of(version: u64) -> StoreEra {
    (version >> VERSION_BITS) + FIRST_ERA
}

/// Version as the store itself numbers it.
pub fn stored_version(version: u64) -> u64 {
    version & ((1 << VERSION_BITS) - 1)
}

/// Key of a row in a partitioned table store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowKey {
    /// Name of the table.
    pub table: SmolStr,
    /// Partition; a transaction is limited to one partition.
    pub partition: SmolStr,
    /// Key within the partition.
    pub key: SmolStr,
}

impl RowKey {
    /// Creates a key.
    pub fn new(
        table: impl Into<SmolStr>,
        partition: impl Into<SmolStr>,
        key: impl Into<SmolStr>,
    ) -> Self {
        Self {
            table: table.into(),
            partition: partition.into(),
            key: key.into(),
        }
    }
}

/// Row with the version of the transaction that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Key of the row.
    pub key: RowKey,
    /// Version, see [`era_version`]; versions increase across the whole store. 0 if the row is absent.
    pub version: u64,
    /// Content; `None` for a removed row in the result of a watch, or an absent row in a conflict.
    pub value: Option<Bytes>,
}

/// Version that a row must have for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowPrecondition {
    /// Key of the row.
    pub key: RowKey,
    /// Required version; 0 if the row must be absent.
    pub version: u64,
}

/// New content of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowUpdate {
    /// Key of the row.
    pub key: RowKey,
    /// Content; `None` removes the row.
    pub value: Option<Bytes>,
}

/// Set of updates that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTransaction {
    /// Preconditions; all must hold for the transaction to commit.
    pub preconditions: Vec<RowPrecondition>,
    /// Updates to apply.
    pub updates: Vec<RowUpdate>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowReply {
    /// All updates took effect.
    Committed {
        /// Version of the updated rows.
        version: u64,
        /// Monotonic clock of the store at the response, in ms.
        now_ms: u64,
    },
    /// A precondition did not hold. Contains the current rows of all preconditions; absent rows
    /// have version 0 and no value.
    Conflict(Vec<StoredRow>),
}

/// Rows of a partition, or changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Rows, in key order for a read and in commit order for a watch.
    pub rows: Vec<StoredRow>,
    /// Latest version of the store; a watch can continue from this version.
    pub version: u64,
    /// Monotonic clock of the store at the response, in ms.
    pub now_ms: u64,
}

/// Partitioned table store with transactions and watches.
///
/// A response of an earlier era than that of another response counts as lost.
pub trait RowPort: Send + Sync {
    /// Latest era of the store, as far as known.
    fn era(&self) -> StoreEra;
    /// Applies all updates atomically, or none if a precondition does not hold.
    fn transact(&self, transaction: RowTransaction) -> PortFuture<'_, RowReply>;
    /// Reads all rows of a partition.
    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> PortFuture<'a, RowPage>;
    /// Reads one row; `None` if it is absent.
    fn read_row<'a>(&'a self, key: &'a RowKey) -> PortFuture<'a, Option<StoredRow>>;
    /// Waits for changes of a table after version `since`. Returns an empty page at the deadline.
    ///
    /// Fails with `Compacted` if the history since that version is no longer available, or if the
    /// store was restored since.
    fn watch<'a>(
        &'a self,
        table: &'a str,
        since: u64,
        deadline: Instant,
    ) -> PortFuture<'a, RowPage>;
}

/// Fault to inject into [`MemoryRows`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowFault {
    /// No fault.
    #[default]
    None,
    /// All calls fail without effect.
    Unavailable,
    /// Transactions take effect, but their responses are lost.
    LostResponses,
    /// Transactions get no response and are performed by [`MemoryRows::perform_late_writes`].
    LateWrites,
}

/// Copy of the state of a [`MemoryRows`].
#[derive(Clone, Debug)]
pub struct RowCopy {
    rows: BTreeMap<RowKey, StoredRow>,
    history: Vec<StoredRow>,
    version: u64,
}

/// In-memory table store for tests.
#[derive(Clone, Default)]
pub struct MemoryRows {
    shared: Arc<SharedRows>,
}

#[derive(Default)]
struct SharedRows {
    state: Mutex<RowState>,
    changed: Notify,
}

struct RowState {
    era: StoreEra,
    rows: BTreeMap<RowKey, StoredRow>,
    history: Vec<StoredRow>,
    compacted_version: u64,
    version: u64,
    fault: RowFault,
    transaction_count: u64,
    started: Option<Instant>,
    clock_offset_ms: u64,
    delay: Duration,
    late_writes: Vec<RowTransaction>,
}

impl Default for RowState {
    fn default() -> Self {
        Self {
            era: FIRST_ERA,
            rows: BTreeMap::new(),
            history: Vec::new(),
            compacted_version: 0,
            version: 0,
            fault: RowFault::None,
            transaction_count: 0,
            started: None,
            clock_offset_ms: 0,
            delay: Duration::ZERO,
            late_writes: Vec::new(),
        }
    }
}

impl MemoryRows {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the fault of all subsequent calls.
    pub fn set_fault(&self, fault: RowFault) {
        self.with_state(|state| state.fault = fault);
    }

    /// Compacts the history; watches from earlier versions fail.
    pub fn compact(&self) {
        self.with_state(|state| {
            state.history.clear();
            state.compacted_version = state.version;
        });
        self.shared.changed.notify_waiters();
    }

    /// Copies the current state.
    pub fn copy(&self) -> RowCopy {
        self.with_state(|state| RowCopy {
            rows: state.rows.clone(),
            history: state.history.clone(),
            version: state.version,
        })
    }

    /// Returns to an earlier state, in a new era.
    pub fn restore(&self, copy: RowCopy) {
        self.with_state(|state| {
            state.era += 1;
            state.rows = copy.rows;
            state.history = copy.history;
            state.version = copy.version;
        });
        self.shared.changed.notify_waiters();
    }

    /// Performs the transactions of [`RowFault::LateWrites`] whose preconditions hold by now.
    pub fn perform_late_writes(&self) {
        self.with_state(|state| {
            for transaction in std::mem::take(&mut state.late_writes) {
                state.perform(transaction);
            }
        });
        self.shared.changed.notify_waiters();
    }

    /// Writes a row unconditionally, or removes it with `None`.
    pub fn put(&self, key: RowKey, value: Option<Bytes>) {
        self.with_state(|state| state.apply(vec![RowUpdate { key, value }]));
        self.shared.changed.notify_waiters();
    }

    /// Sets the delay of transaction responses.
    pub fn set_delay(&self, delay: Duration) {
        self.with_state(|state| state.delay = delay);
    }

    /// Advances the store's clock.
    pub fn advance_clock(&self, ms: u64) {
        self.with_state(|state| state.clock_offset_ms += ms);
    }

    /// Returns the content of a row.
    pub fn get(&self, key: &RowKey) -> Option<Bytes> {
        self.with_state(|state| state.rows.get(key).and_then(|row| row.value.clone()))
    }

    /// Returns the number of transactions, including those with a conflict.
    pub fn transaction_count(&self) -> u64 {
        self.with_state(|state| state.transaction_count)
    }

    fn with_state<T>(&self, operation: impl FnOnce(&mut RowState) -> T) -> T {
        let mut state = self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        operation(&mut state)
    }

    fn changes_since(&self, table: &str, since: u64) -> Result<RowPage, Error> {
        self.with_state(|state| {
            if state.fault == RowFault::Unavailable {
                return Err(Error::unavailable());
            }
            let is_known = era_of(since) == state.era && stored_version(since) <= state.version;
            let since = stored_version(since);
            if !is_known || since < state.compacted_version {
                return Err(Error::new(
                    Category::Compacted,
                    "the requested history was compacted; read the whole table",
                ));
            }
            let now_ms = state.now_ms();
            let rows = state.history.iter();
            let rows = rows.filter(|row| row.version > since && row.key.table == table);
            Ok(RowPage {
                rows: rows.map(|row| state.in_era(row)).collect(),
                version: era_version(state.era, state.version),
                now_ms,
            })
        })
    }
}

impl RowState {
    /// Row with the current era in its version.
    fn in_era(&self, row: &StoredRow) -> StoredRow {
        let version = match row.version {
            0 => 0,
            version => era_version(self.era, version),
        };
        StoredRow {
            version,
            ..row.clone()
        }
    }

    fn apply(&mut self, updates: Vec<RowUpdate>) {
        self.version += 1;
        for update in updates {
            let row = StoredRow {
                key: update.key.clone(),
                version: self.version,
                value: update.value,
            };
            if row.value.is_some() {
                self.rows.insert(update.key, row.clone());
            } else {
                self.rows.remove(&update.key);
            }
            self.history.push(row);
        }
    }

    fn now_ms(&mut self) -> u64 {
        let started = *self.started.get_or_insert_with(Instant::now);
        let elapsed = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        elapsed + self.clock_offset_ms
    }

    fn current_row(&self, key: &RowKey) -> StoredRow {
        self.rows.get(key).cloned().unwrap_or_else(|| StoredRow {
            key: key.clone(),
            version: 0,
            value: None,
        })
    }

    /// Applies a transaction if its preconditions hold, and returns whether they did. Like the
    /// platform's store, it compares versions without their era.
    fn perform(&mut self, transaction: RowTransaction) -> bool {
        let holds = transaction.preconditions.iter().all(|condition| {
            self.current_row(&condition.key).version == stored_version(condition.version)
        });
        if holds {
            self.apply(transaction.updates);
        }
        holds
    }

    fn transact(&mut self, transaction: RowTransaction) -> Result<RowReply, Error> {
        if self.fault == RowFault::Unavailable {
            return Err(Error::unavailable());
        }
        self.transaction_count += 1;
        if self.fault == RowFault::LateWrites {
            self.late_writes.push(transaction);
            return Err(Error::unknown());
        }
        let preconditions = transaction.preconditions.clone();
        let preconditions_hold = self.perform(transaction);
        if self.fault == RowFault::LostResponses {
            return Err(Error::unknown());
        }
        if preconditions_hold {
            return Ok(RowReply::Committed {
                version: era_version(self.era, self.version),
                now_ms: self.now_ms(),
            });
        }
        let rows = preconditions
            .iter()
            .map(|condition| self.in_era(&self.current_row(&condition.key)));
        Ok(RowReply::Conflict(rows.collect()))
    }
}

impl RowPort for MemoryRows {
    fn era(&self) -> StoreEra {
        self.with_state(|state| state.era)
    }

    fn transact(&self, transaction: RowTransaction) -> PortFuture<'_, RowReply> {
        let result = self.with_state(|state| state.transact(transaction));
        let delay = self.with_state(|state| state.delay);
        self.shared.changed.notify_waiters();
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            result
        })
    }

    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> PortFuture<'a, RowPage> {
        let page = self.with_state(|state| {
            if state.fault == RowFault::Unavailable {
                return Err(Error::unavailable());
            }
            let now_ms = state.now_ms();
            let rows = state.rows.values();
            let rows = rows.filter(|row| row.key.table == table && row.key.partition == partition);
            Ok(RowPage {
                rows: rows.map(|row| state.in_era(row)).collect(),
                version: era_version(state.era, state.version),
                now_ms,
            })
        });
        Box::pin(async move { page })
    }

    fn read_row<'a>(&'a self, key: &'a RowKey) -> PortFuture<'a, Option<StoredRow>> {
        Box::pin(async move {
            let page = self.read(&key.table, &key.partition).await?;
            Ok(page.rows.into_iter().find(|row| row.key == *key))
        })
    }

    fn watch<'a>(
        &'a self,
        table: &'a str,
        since: u64,
        deadline: Instant,
    ) -> PortFuture<'a, RowPage> {
        Box::pin(async move {
            loop {
                let changed = self.shared.changed.notified();
                let page = self.changes_since(table, since)?;
                if !page.rows.is_empty() {
                    return Ok(page);
                }
                if tokio::time::timeout_at(deadline.into(), changed)
                    .await
                    .is_err()
                {
                    return Ok(page);
                }
            }
        })
    }
}
