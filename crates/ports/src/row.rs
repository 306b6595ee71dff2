use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use {bytes::Bytes, smol_str::SmolStr, tokio::sync::Notify};

use crate::{Category, Error, PortFuture};

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
    /// Version, starting at 1; versions increase across the whole store.
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
pub trait RowPort: Send + Sync {
    /// Applies all updates atomically, or none if a precondition does not hold.
    fn transact(&self, transaction: RowTransaction) -> PortFuture<'_, RowReply>;
    /// Reads all rows of a partition.
    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> PortFuture<'a, RowPage>;
    /// Waits for changes of a table after version `since`. Returns an empty page at the deadline.
    ///
    /// Fails with `Compacted` if the history since that version is no longer available.
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

#[derive(Default)]
struct RowState {
    rows: BTreeMap<RowKey, StoredRow>,
    history: Vec<StoredRow>,
    compacted_version: u64,
    version: u64,
    fault: RowFault,
    transaction_count: u64,
    started: Option<Instant>,
    clock_offset_ms: u64,
    delay: Duration,
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
            if since < state.compacted_version {
                return Err(Error::new(
                    Category::Compacted,
                    "the requested history was compacted; read the whole table",
                ));
            }
            let now_ms = state.now_ms();
            let rows = state.history.iter();
            let rows = rows.filter(|row| row.version > since && row.key.table == table);
            Ok(RowPage {
                rows: rows.cloned().collect(),
                version: state.version,
                now_ms,
            })
        })
    }
}

impl RowState {
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

    fn transact(&mut self, transaction: RowTransaction) -> Result<RowReply, Error> {
        if self.fault == RowFault::Unavailable {
            return Err(Error::unavailable());
        }
        self.transaction_count += 1;
        let preconditions = &transaction.preconditions;
        let preconditions_hold = preconditions
            .iter()
            .all(|condition| self.current_row(&condition.key).version == condition.version);
        if preconditions_hold {
            self.apply(transaction.updates);
        }
        if self.fault == RowFault::LostResponses {
            return Err(Error::unknown());
        }
        if preconditions_hold {
            return Ok(RowReply::Committed {
                version: self.version,
                now_ms: self.now_ms(),
            });
        }
        let rows = preconditions
            .iter()
            .map(|condition| self.current_row(&condition.key));
        Ok(RowReply::Conflict(rows.collect()))
    }
}

impl RowPort for MemoryRows {
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
                rows: rows.cloned().collect(),
                version: state.version,
                now_ms,
            })
        });
        Box::pin(async move { page })
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
