use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use {bytes::Bytes, smol_str::SmolStr, tokio::sync::Notify};

use crate::{Category, Error, PortFuture};

/// Place of a row in a partitioned table store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowKey {
    /// Name of the table.
    pub table: SmolStr,
    /// Partition; all rows of a transaction share it.
    pub partition: SmolStr,
    /// Key within the partition.
    pub key: SmolStr,
}

impl RowKey {
    /// Builds a key.
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
    /// Place of the row.
    pub key: RowKey,
    /// Version, from 1; versions grow over the whole store.
    pub version: u64,
    /// Content; `None` marks a removed row in an answer to a watch.
    pub value: Option<Bytes>,
}

/// Version that a row must have for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowPrecondition {
    /// Place of the row.
    pub key: RowKey,
    /// Version; 0 when the row must be absent.
    pub version: u64,
}

/// New content of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowUpdate {
    /// Place of the row.
    pub key: RowKey,
    /// Content; `None` removes the row.
    pub value: Option<Bytes>,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowTransaction {
    /// Conditions.
    pub preconditions: Vec<RowPrecondition>,
    /// Changes.
    pub updates: Vec<RowUpdate>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowReply {
    /// All changes took effect.
    Committed {
        /// Version of the changed rows.
        version: u64,
        /// Steady clock of the store at the answer, in ms.
        now_ms: u64,
    },
    /// A condition did not hold; the rows of all conditions as they are. An absent row has no value.
    Conflict(Vec<StoredRow>),
}

/// Rows of a table at one moment, or its changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// Rows, in key order for a read and in order of change for a watch.
    pub rows: Vec<StoredRow>,
    /// Newest version of the store; a watch goes on from here.
    pub version: u64,
    /// Steady clock of the store at the answer, in ms.
    pub now_ms: u64,
}

/// Partitioned table store with transactions and watches.
pub trait RowPort: Send + Sync {
    /// Applies all changes or none.
    fn transact(&self, transaction: RowTransaction) -> PortFuture<'_, RowReply>;
    /// Reads all rows of a partition.
    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> PortFuture<'a, RowPage>;
    /// Waits for changes of a table after a version; an empty page after `deadline`.
    ///
    /// Fails with `Compacted` when the history is gone.
    fn watch<'a>(
        &'a self,
        table: &'a str,
        since: u64,
        deadline: Instant,
    ) -> PortFuture<'a, RowPage>;
}

/// How the in-memory store answers, for tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowFault {
    /// Answers every call.
    #[default]
    None,
    /// Refuses every call without effect.
    Unavailable,
    /// Performs transactions and loses the answers.
    LostAnswers,
}

/// In-memory store for tests.
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
    compacted: u64,
    version: u64,
    fault: RowFault,
    transactions: u64,
    started: Option<Instant>,
    skipped_ms: u64,
    delay: Duration,
}

impl MemoryRows {
    /// Starts an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how calls are answered from now on.
    pub fn set_fault(&self, fault: RowFault) {
        self.with(|state| state.fault = fault);
    }

    /// Drops the history, so that running watches fail.
    pub fn compact(&self) {
        self.with(|state| {
            state.history.clear();
            state.compacted = state.version;
        });
        self.shared.changed.notify_waiters();
    }

    /// Writes a row without a condition.
    pub fn put(&self, key: RowKey, value: Option<Bytes>) {
        self.with(|state| state.apply(vec![RowUpdate { key, value }]));
        self.shared.changed.notify_waiters();
    }

    /// Sets the time that each answer to a transaction takes.
    pub fn set_delay(&self, delay: Duration) {
        self.with(|state| state.delay = delay);
    }

    /// Moves the store's clock ahead.
    pub fn advance_clock(&self, ms: u64) {
        self.with(|state| state.skipped_ms += ms);
    }

    /// Content of a row.
    pub fn get(&self, key: &RowKey) -> Option<Bytes> {
        self.with(|state| state.rows.get(key).and_then(|row| row.value.clone()))
    }

    /// Number of transactions that were performed or refused for a conflict.
    pub fn transaction_count(&self) -> u64 {
        self.with(|state| state.transactions)
    }

    fn with<T>(&self, act: impl FnOnce(&mut RowState) -> T) -> T {
        let mut state = self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        act(&mut state)
    }

    fn changes(&self, table: &str, since: u64) -> Result<RowPage, Error> {
        self.with(|state| {
            if state.fault == RowFault::Unavailable {
                return Err(Error::unavailable());
            }
            if since < state.compacted {
                return Err(Error::new(
                    Category::Compacted,
                    "the history is gone; read the whole table",
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
        elapsed + self.skipped_ms
    }

    fn current(&self, key: &RowKey) -> StoredRow {
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
        self.transactions += 1;
        let preconditions = &transaction.preconditions;
        let holds = preconditions
            .iter()
            .all(|one| self.current(&one.key).version == one.version);
        if holds {
            self.apply(transaction.updates);
        }
        if self.fault == RowFault::LostAnswers {
            return Err(Error::unknown());
        }
        if holds {
            return Ok(RowReply::Committed {
                version: self.version,
                now_ms: self.now_ms(),
            });
        }
        let rows = preconditions.iter().map(|one| self.current(&one.key));
        Ok(RowReply::Conflict(rows.collect()))
    }
}

impl RowPort for MemoryRows {
    fn transact(&self, transaction: RowTransaction) -> PortFuture<'_, RowReply> {
        let reply = self.with(|state| state.transact(transaction));
        let delay = self.with(|state| state.delay);
        self.shared.changed.notify_waiters();
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            reply
        })
    }

    fn read<'a>(&'a self, table: &'a str, partition: &'a str) -> PortFuture<'a, RowPage> {
        let page = self.with(|state| {
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
                let page = self.changes(table, since)?;
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
