//! Claims of trials in the store, which all routers share.
//!
//! A router claims a trial with a conditional write of the suspect's row, so that no two routers send
//! the same one. Without the store there are no trials. A restored store may bring an earlier row
//! back, which repeats the trials since. See [`jasminewall_core::trial`] for the schedule.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        suspect::{ActiveBlock, CrashSuspect},
        trial::TrialRecord,
    },
    jasminewall_ports::{
        RowKey, RowPort, RowPrecondition, RowReply, RowTransaction, RowUpdate, StoredRow,
    },
    smol_str::SmolStr,
    tokio::time::timeout,
};

use crate::{
    group::{NOTICE_PARTITION, NOTICE_TABLE},
    port::SendCount,
};

/// Start of the keys of trials in the table of news about endpoints.
const KEY_PREFIX: &str = "trial/";
/// Number of rows with trials, which bounds them. Two suspects with the same row share its schedule.
const ROW_COUNT: u64 = 256;
/// Longest wait for a claim; the caller waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// Trials of all suspects, as far as known.
pub(crate) struct SuspectTrials {
    rows: Arc<dyn RowPort>,
    /// At most [`ROW_COUNT`] entries, by their keys.
    known: Mutex<HashMap<SmolStr, KnownTrial>>,
}

#[derive(Clone, Copy)]
struct KnownTrial {
    /// Version of the row; 0 if there is none.
    version: u64,
    record: TrialRecord,
    /// Whether this router is claiming a trial.
    is_claiming: bool,
}

/// Permission to send one request with a blocked suspect. It is given back if no endpoint got the
/// request.
pub(crate) struct TrialPermit {
    trials: Arc<SuspectTrials>,
    suspect: CrashSuspect,
    version: u64,
    record: TrialRecord,
    /// Store's clock at the claim.
    claimed_ms: u64,
    /// Sends of the request.
    sends: Arc<SendCount>,
}

/// Whether a row of the table of news about endpoints is a trial.
pub(crate) fn is_trial(key: &RowKey) -> bool {
    key.key.starts_with(KEY_PREFIX)
}

impl SuspectTrials {
    pub(crate) fn new(rows: Arc<dyn RowPort>) -> Arc<Self> {
        Arc::new(Self {
            rows,
            known: Mutex::default(),
        })
    }

    /// Records a row that another router wrote. Returns its content.
    pub(crate) fn merge_row(&self, row: &StoredRow) -> Option<TrialRecord> {
        let value = row.value.as_deref()?;
        let record = match serde_json::from_slice::<TrialRecord>(value) {
            Ok(record) => record,
            Err(error) => {
                tracing::warn!(key = %row.key.key, %error, "skipped an unreadable trial");
                return None;
            }
        };
        let key = SmolStr::from(row.key.key.as_str());
        let mut known = self.known();
        let trial = known.entry(key).or_insert_with(|| KnownTrial::new(record));
        if row.version > trial.version {
            trial.version = row.version;
            trial.record = record;
        }
        Some(record)
    }

    /// Whether a trial of a suspect is due, as far as known. `now_ms` is the store's clock.
    pub(crate) fn is_due(&self, block: &ActiveBlock, now_ms: u64) -> bool {
        let now = Instant::now();
        match self.known().get(&key_of(block.suspect)) {
            Some(trial) => !trial.is_claiming && trial.record.is_due(now_ms, block, now),
            None => TrialRecord::new(block.suspect).is_due(now_ms, block, now),
        }
    }

    /// Claims the next trial of a suspect if it is due. `now_ms` is the store's clock, and `sends` are
    /// those of the request.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        block: &ActiveBlock,
        now_ms: u64,
        sends: Arc<SendCount>,
    ) -> Option<TrialPermit> {
        if !self.is_due(block, now_ms) {
            return None;
        }
        let suspect = block.suspect;
        let key = key_of(suspect);
        let trial = {
            let mut known = self.known();
            let trial = known
                .entry(key.clone())
                .or_insert_with(|| KnownTrial::new(TrialRecord::new(suspect)));
            trial.is_claiming = true;
            *trial
        };
        let record = trial.record.of(suspect).begin(now_ms);
        let claiming = ClaimGuard {
            trials: self,
            key: &key,
        };
        let version = self.write(&key, trial.version, record).await;
        drop(claiming);
        Some(TrialPermit {
            trials: self.clone(),
            suspect,
            version: version?,
            record,
            claimed_ms: now_ms,
            sends,
        })
    }

    /// Replaces a row if it has the given version. Returns the new version.
    async fn write(&self, key: &SmolStr, version: u64, record: TrialRecord) -> Option<u64> {
        let row = RowKey::new(NOTICE_TABLE, NOTICE_PARTITION, key.as_str());
        // Serializing plain fields cannot fail.
        let value = serde_json::to_vec(&record).unwrap_or_default().into();
        let transaction = RowTransaction {
            preconditions: vec![RowPrecondition {
                key: row.clone(),
                version,
            }],
            updates: vec![RowUpdate {
                key: row,
                value: Some(value),
            }],
        };
        match timeout(CLAIM_TIMEOUT, self.rows.transact(transaction)).await {
            Ok(Ok(RowReply::Committed { version, .. })) => {
                if let Some(trial) = self.known().get_mut(key)
                    && version > trial.version
                {
                    trial.version = version;
                    trial.record = record;
                }
                Some(version)
            }
            Ok(Ok(RowReply::Conflict(rows))) => {
                for row in rows {
                    self.merge_row(&row);
                }
                None
            }
            Ok(Err(error)) => {
                tracing::info!(suspect = ?record.suspect, %error, "a trial was not written");
                None
            }
            Err(_) => {
                tracing::info!(suspect = ?record.suspect, "a trial was not written in time");
                None
            }
        }
    }

    fn known(&self) -> MutexGuard<'_, HashMap<SmolStr, KnownTrial>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KnownTrial {
    fn new(record: TrialRecord) -> Self {
        Self {
            version: 0,
            record,
            is_claiming: false,
        }
    }
}

/// Ends a claim, also if the caller leaves meanwhile.
struct ClaimGuard<'a> {
    trials: &'a SuspectTrials,
    key: &'a SmolStr,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        if let Some(trial) = self.trials.known().get_mut(self.key) {
            trial.is_claiming = false;
        }
    }
}

impl TrialPermit {
    pub(crate) fn suspect(&self) -> CrashSuspect {
        self.suspect
    }

    /// Number of trials of the suspect, this one included.
    pub(crate) fn number(&self) -> u32 {
        self.record.sent
    }

    /// Tells all routers, also those that start later, that the request completed.
    pub(crate) fn complete(&self, now_ms: u64) {
        self.write(self.record.complete(now_ms));
    }

    fn write(&self, record: TrialRecord) {
        let (trials, version) = (self.trials.clone(), self.version);
        let key = key_of(self.suspect);
        tokio::spawn(async move { trials.write(&key, version, record).await });
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        if !self.sends.may_have_run() {
            self.write(self.record.withdraw(self.claimed_ms));
        }
    }
}

fn key_of(suspect: CrashSuspect) -> SmolStr {
    let (CrashSuspect::Part(id) | CrashSuspect::Request(id)) = suspect;
    smol_str::format_smolstr!("{KEY_PREFIX}{:02x}", id % ROW_COUNT)
}
