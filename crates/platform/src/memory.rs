use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    Error, Result,
    port::{
        ObjectPort, PlatformPorts, PortFuture, RowWrite, TablePort, TableRow, TransactOutcome,
        VmEntry, VmListPort, VmState, WeightPort,
    },
};

/// Faults that the stand-in platform shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// The table service refuses every call.
    pub table_down: bool,
    /// The object store refuses every call.
    pub object_down: bool,
    /// The VM list refuses every call.
    pub vms_down: bool,
    /// Time before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming table writes that take effect but whose answers are lost.
    pub lose_answers: u32,
}

/// Number of calls that the stand-in platform has served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Rows written or deleted.
    pub row_writes: u64,
    /// Rows read, by key or by scan.
    pub row_reads: u64,
    /// Objects written.
    pub object_writes: u64,
}

/// Stand-in for the platform, held in memory.
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<PlatformState>>,
}

#[derive(Default)]
struct PlatformState {
    rows: BTreeMap<String, TableRow>,
    next_version: u64,
    objects: BTreeMap<String, Vec<u8>>,
    vms: BTreeMap<String, VmEntry>,
    faults: FaultPlan,
    counts: PlatformCounts,
}

impl MemoryPlatform {
    /// Starts an empty platform without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Ports that reach this platform.
    pub fn ports(&self) -> PlatformPorts {
        let port = Arc::new(self.clone());
        PlatformPorts {
            table: port.clone(),
            object: port.clone(),
            vms: port.clone(),
            weights: port,
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: FaultPlan) {
        self.lock().faults = faults;
    }

    /// Faults in effect.
    pub fn faults(&self) -> FaultPlan {
        self.lock().faults.clone()
    }

    /// Calls served so far.
    pub fn counts(&self) -> PlatformCounts {
        self.lock().counts
    }

    /// Puts a VM on the list, or takes it off with `None`.
    pub fn set_vm(&self, vm: &str, state: Option<VmState>) {
        let mut platform = self.lock();
        match state {
            Some(state) => {
                platform.vms.insert(
                    vm.to_owned(),
                    VmEntry {
                        vm: vm.into(),
                        state,
                    },
                );
            }
            None => {
                platform.vms.remove(vm);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait(&self) {
        let delay = self.lock().faults.delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    fn table(&self) -> Result<MutexGuard<'_, PlatformState>> {
        let state = self.lock();
        if state.faults.table_down {
            Err(Error::unavailable())
        } else {
            Ok(state)
        }
    }

    fn store(&self) -> Result<MutexGuard<'_, PlatformState>> {
        let state = self.lock();
        if state.faults.object_down {
            Err(Error::unavailable())
        } else {
            Ok(state)
        }
    }
}

impl PlatformState {
    fn transact(&mut self, writes: Vec<RowWrite>) -> TransactOutcome {
        let holds = |write: &RowWrite| {
            self.rows.get(&write.key).map_or(0, |row| row.version) == write.expected
        };
        if !writes.iter().all(holds) {
            return TransactOutcome::Conflict;
        }
        for write in writes {
            self.counts.row_writes += 1;
            self.next_version += 1;
            match write.value {
                Some(value) => {
                    let row = TableRow {
                        key: write.key.clone(),
                        version: self.next_version,
                        value,
                    };
                    self.rows.insert(write.key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        TransactOutcome::Committed
    }
}

impl TablePort for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<TableRow>> {
        Box::pin(async move {
            self.wait().await;
            let mut state = self.table()?;
            state.counts.row_reads += 1;
            Ok(state.rows.get(key).cloned())
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<TableRow>> {
        Box::pin(async move {
            self.wait().await;
            let mut state = self.table()?;
            let rows: Vec<TableRow> = state
                .rows
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
                .map(|(_, row)| row.clone())
                .collect();
            state.counts.row_reads += rows.len().max(1) as u64;
            Ok(rows)
        })
    }

    fn transact(&self, writes: Vec<RowWrite>) -> PortFuture<'_, TransactOutcome> {
        Box::pin(async move {
            self.wait().await;
            let mut state = self.table()?;
            let outcome = state.transact(writes);
            if outcome == TransactOutcome::Committed && state.faults.lose_answers > 0 {
                state.faults.lose_answers -= 1;
                return Err(Error::unknown());
            }
            Ok(outcome)
        })
    }
}

impl ObjectPort for MemoryPlatform {
    fn put_new<'a>(&'a self, key: &'a str, value: Vec<u8>) -> PortFuture<'a, bool> {
        Box::pin(async move {
            self.wait().await;
            let mut state = self.store()?;
            if state.objects.contains_key(key) {
                return Ok(false);
            }
            state.counts.object_writes += 1;
            state.objects.insert(key.to_owned(), value);
            Ok(true)
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            self.wait().await;
            Ok(self.store()?.objects.get(key).cloned())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<String>> {
        Box::pin(async move {
            self.wait().await;
            let state = self.store()?;
            let keys = state.objects.range(prefix.to_owned()..).map(|(key, _)| key);
            Ok(keys
                .take_while(|key| key.starts_with(prefix))
                .cloned()
                .collect())
        })
    }
}

impl VmListPort for MemoryPlatform {
    fn list(&self) -> PortFuture<'_, Vec<VmEntry>> {
        Box::pin(async move {
            self.wait().await;
            let state = self.lock();
            if state.faults.vms_down {
                return Err(Error::unavailable());
            }
            Ok(state.vms.values().cloned().collect())
        })
    }
}

impl WeightPort for MemoryPlatform {
    fn permit<'a>(&'a self, _model: &'a str) -> PortFuture<'a, bool> {
        Box::pin(async move {
            self.wait().await;
            Ok(true)
        })
    }
}
