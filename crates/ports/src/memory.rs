use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    tokio::time::Instant,
};

use crate::{
    Category, Error, Result,
    port::{
        ObjectPort, PlatformPorts, PortFuture, RowWrite, TablePort, TableRow, TransactOutcome,
        VmEntry, VmListPort, VmState, WeightPort,
    },
};

/// Key prefix of the rows that only operators may write.
const CONFIG_PREFIX: &str = "config/";

/// Faults to inject into the stand-in platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// The table service is unavailable.
    pub table_down: bool,
    /// The object store is unavailable.
    pub object_down: bool,
    /// The VM list is unavailable.
    pub vms_down: bool,
    /// The weight store is unavailable.
    pub weights_down: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Additional delay of each call to the table service, in milliseconds.
    pub table_delay_ms: u64,
    /// Additional delay of each call to the object store, in milliseconds.
    pub object_delay_ms: u64,
    /// Number of upcoming table writes that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Number of upcoming table reads whose responses are lost.
    pub lose_read_answers: u32,
    /// Number of upcoming object writes that take effect but whose responses are lost.
    pub lose_object_answers: u32,
    /// Number of upcoming weight permits that are granted but whose responses are lost.
    pub lose_permit_answers: u32,
    /// Names of the clients that are partitioned from all services.
    pub partitioned: BTreeSet<String>,
}

/// Counts of the operations that the stand-in platform has performed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformCounts {
    /// Rows written or deleted.
    pub row_writes: u64,
    /// Rows read, by key or by scan; an empty scan counts as one.
    pub row_reads: u64,
    /// Committed transactions.
    pub commits: u64,
    /// Transactions refused because of a version conflict.
    pub conflicts: u64,
    /// Objects written.
    pub object_writes: u64,
    /// Reads and listings of objects.
    pub object_reads: u64,
    /// Reads of the VM list.
    pub vm_reads: u64,
    /// Weight permits granted.
    pub permits: u64,
}

/// In-memory stand-in for the platform. Clones share the same state.
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<PlatformState>>,
    client: SmolStr,
    credential: Option<SmolStr>,
}

/// Service of the platform; each service has its own faults.
#[derive(Clone, Copy)]
enum PlatformService {
    Table,
    Object,
    Vms,
    Weights,
}

#[derive(Default)]
struct PlatformState {
    rows: BTreeMap<String, TableRow>,
    next_version: u64,
    objects: BTreeMap<String, Vec<u8>>,
    vm_changes: Vec<VmChange>,
    vms_lag: Duration,
    weight_limit: Option<WeightLimit>,
    required_credential: Option<SmolStr>,
    faults: FaultPlan,
    counts: PlatformCounts,
}

struct VmChange {
    at: Instant,
    vm: SmolStr,
    state: Option<VmState>,
}

/// Sliding-window rate limit.
struct WeightLimit {
    permits: usize,
    window: Duration,
    granted: VecDeque<Instant>,
}

impl WeightLimit {
    fn try_acquire(&mut self, now: Instant) -> bool {
        while let Some(first) = self.granted.front() {
            if now.duration_since(*first) < self.window {
                break;
            }
            self.granted.pop_front();
        }
        if self.granted.len() >= self.permits {
            return false;
        }
        self.granted.push_back(now);
        true
    }
}

impl MemoryPlatform {
    /// Creates an empty platform without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a handle with a client name, which a fault plan can partition.
    #[must_use]
    pub fn client(&self, name: impl Into<SmolStr>) -> Self {
        let mut platform = self.clone();
        platform.client = name.into();
        platform
    }

    /// Returns a handle with an operator's credential.
    #[must_use]
    pub fn with_credential(&self, credential: impl Into<SmolStr>) -> Self {
        let mut platform = self.clone();
        platform.credential = Some(credential.into());
        platform
    }

    /// Returns ports to this platform.
    pub fn ports(&self) -> PlatformPorts {
        let port = Arc::new(self.clone());
        PlatformPorts {
            table: port.clone(),
            object: port.clone(),
            vms: port.clone(),
            weights: port,
        }
    }

    /// Requires a credential for all subsequent writes of `config/` rows.
    pub fn require_credential(&self, credential: impl Into<SmolStr>) {
        self.lock().required_credential = Some(credential.into());
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: FaultPlan) {
        self.lock().faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> FaultPlan {
        self.lock().faults.clone()
    }

    /// Returns the counts of the operations performed so far.
    pub fn counts(&self) -> PlatformCounts {
        self.lock().counts
    }

    /// Limits the weight store to `permits` permits per sliding window.
    pub fn set_weight_limit(&self, permits: usize, window: Duration) {
        self.lock().weight_limit = Some(WeightLimit {
            permits,
            window,
            granted: VecDeque::new(),
        });
    }

    /// Sets the delay after which changes appear in the VM list.
    pub fn set_vms_lag(&self, lag: Duration) {
        self.lock().vms_lag = lag;
    }

    /// Sets the state of a VM, or removes it with `None`. The change appears in the VM list after
    /// the lag.
    pub fn set_vm(&self, vm: &str, state: Option<VmState>) {
        self.lock().vm_changes.push(VmChange {
            at: Instant::now(),
            vm: vm.into(),
            state,
        });
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the injected delay, then fails if the service is down or the client is
    /// partitioned.
    async fn begin_call(&self, service: PlatformService) -> Result<MutexGuard<'_, PlatformState>> {
        let delay = self.lock().faults.delay_of(service);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let state = self.lock();
        let faults = &state.faults;
        if faults.is_down(service) || faults.partitioned.contains(self.client.as_str()) {
            return Err(Error::unavailable());
        }
        Ok(state)
    }
}

impl FaultPlan {
    fn delay_of(&self, service: PlatformService) -> u64 {
        let service_delay = match service {
            PlatformService::Table => self.table_delay_ms,
            PlatformService::Object => self.object_delay_ms,
            PlatformService::Vms | PlatformService::Weights => 0,
        };
        self.delay_ms + service_delay
    }

    fn is_down(&self, service: PlatformService) -> bool {
        match service {
            PlatformService::Table => self.table_down,
            PlatformService::Object => self.object_down,
            PlatformService::Vms => self.vms_down,
            PlatformService::Weights => self.weights_down,
        }
    }
}

/// Fails with `Unknown` and decrements `remaining` while there are responses left to lose.
fn lose_response(remaining: &mut u32) -> Result<()> {
    if *remaining == 0 {
        return Ok(());
    }
    *remaining -= 1;
    Err(Error::unknown())
}

impl PlatformState {
    /// Rejects configuration writes without the operator's credential.
    fn authorize(&self, writes: &[RowWrite], credential: Option<&SmolStr>) -> Result<()> {
        let writes_config = writes
            .iter()
            .any(|write| write.key.starts_with(CONFIG_PREFIX));
        if !writes_config
            || self.required_credential.is_none()
            || self.required_credential.as_ref() == credential
        {
            return Ok(());
        }
        Err(Error::new(
            Category::Invalid,
            "the operator credential is missing or wrong; set [operator] credential",
        ))
    }

    fn transact(&mut self, writes: Vec<RowWrite>) -> TransactOutcome {
        let version_matches = |write: &RowWrite| {
            self.rows.get(&write.key).map_or(0, |row| row.version) == write.expected
        };
        if !writes.iter().all(version_matches) {
            self.counts.conflicts += 1;
            return TransactOutcome::Conflict;
        }
        self.counts.commits += 1;
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

    fn vm_list(&self) -> Vec<VmEntry> {
        let mut vms = BTreeMap::new();
        for change in &self.vm_changes {
            if change.at.elapsed() < self.vms_lag {
                continue;
            }
            match change.state {
                Some(state) => vms.insert(change.vm.clone(), state),
                None => vms.remove(&change.vm),
            };
        }
        vms.into_iter()
            .map(|(vm, state)| VmEntry { vm, state })
            .collect()
    }
}

impl TablePort for MemoryPlatform {
    fn read<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<TableRow>> {
        Box::pin(async move {
            let mut state = self.begin_call(PlatformService::Table).await?;
            state.counts.row_reads += 1;
            lose_response(&mut state.faults.lose_read_answers)?;
            Ok(state.rows.get(key).cloned())
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<TableRow>> {
        Box::pin(async move {
            let mut state = self.begin_call(PlatformService::Table).await?;
            let rows: Vec<TableRow> = state
                .rows
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
                .map(|(_, row)| row.clone())
                .collect();
            state.counts.row_reads += rows.len().max(1) as u64;
            lose_response(&mut state.faults.lose_read_answers)?;
            Ok(rows)
        })
    }

    fn transact(&self, writes: Vec<RowWrite>) -> PortFuture<'_, TransactOutcome> {
        Box::pin(async move {
            let mut state = self.begin_call(PlatformService::Table).await?;
            state.authorize(&writes, self.credential.as_ref())?;
            let outcome = state.transact(writes);
            if outcome == TransactOutcome::Committed {
                lose_response(&mut state.faults.lose_answers)?;
            }
            Ok(outcome)
        })
    }
}

impl ObjectPort for MemoryPlatform {
    fn put_new<'a>(&'a self, key: &'a str, value: Vec<u8>) -> PortFuture<'a, bool> {
        Box::pin(async move {
            let mut state = self.begin_call(PlatformService::Object).await?;
            if state.objects.contains_key(key) {
                return Ok(false);
            }
            state.counts.object_writes += 1;
            state.objects.insert(key.to_owned(), value);
            lose_response(&mut state.faults.lose_object_answers)?;
            Ok(true)
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let mut state = self.begin_call(PlatformService::Object).await?;
            state.counts.object_reads += 1;
            Ok(state.objects.get(key).cloned())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<String>> {
        Box::pin(async move {
            let mut state = self.begin_call(PlatformService::Object).await?;
            state.counts.object_reads += 1;
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
            let mut state = self.begin_call(PlatformService::Vms).await?;
            state.counts.vm_reads += 1;
            Ok(state.vm_list())
        })
    }
}

impl WeightPort for MemoryPlatform {
    fn permit<'a>(&'a self, _model: &'a str) -> PortFuture<'a, bool> {
        Box::pin(async move {
            let mut state = self.begin_call(PlatformService::Weights).await?;
            let now = Instant::now();
            let granted = match &mut state.weight_limit {
                Some(limit) => limit.try_acquire(now),
                None => true,
            };
            if granted {
                state.counts.permits += 1;
                lose_response(&mut state.faults.lose_permit_answers)?;
            }
            Ok(granted)
        })
    }
}
