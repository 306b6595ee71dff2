//! Log of configuration revisions and the configuration that results from it.

use std::{collections::VecDeque, sync::Arc};

use {
    imbl::OrdMap,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    smol_str::SmolStr,
};

use crate::{
    Category, ConfigRecord, Error, RecordKind, Result, Revision,
    record::{SCHEMA_NEWEST, SCHEMA_OLDEST},
};

/// Key prefix of the configuration snapshots in the object store.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";
/// Revisions between two snapshots in the object store; at the target size, most of a day.
pub const SNAPSHOT_EVERY: Revision = 1_000;

/// Key of the snapshot of a revision.
pub fn snapshot_key(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{revision:012}")
}

/// Number of deltas kept for peers: three days at the target rate of change, 2 MB at 500 bytes each.
/// A peer that is further behind gets a snapshot.
const LOG_LIMIT: usize = 4_096;
/// Records in one part of a snapshot: about 100 KB, well below the frame limit between routers.
const PART_RECORDS: usize = 1_000;
/// Schema version that added `model` records.
const MODEL_SCHEMA: u32 = 2;

/// Key of the row with the highest accepted revision.
pub const HEAD_KEY: &str = "config/head";

/// Key of the row with the changes of one revision.
pub fn log_key(revision: Revision) -> String {
    format!("config/log/{revision:012}")
}

/// Row with the highest accepted revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Highest accepted revision.
    pub revision: Revision,
}

/// Changes that one revision made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDelta {
    /// Revision after the changes.
    pub revision: Revision,
    /// Schema version of the records.
    pub schema: u32,
    /// Changed records.
    pub changes: Vec<ConfigChange>,
}

/// Change of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// Adds or replaces a record.
    Put(ConfigRecord),
    /// Removes a record.
    Remove {
        /// Kind of the record.
        record: RecordKind,
        /// Name of the record.
        name: SmolStr,
    },
}

/// Part of a snapshot of the records at one revision, for routers that are far behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// Revision of the snapshot.
    pub snapshot: Revision,
    /// Schema version of the records.
    pub schema: u32,
    /// Index of the part.
    pub part: usize,
    /// Number of parts.
    pub parts: usize,
    /// Records of the part.
    pub records: Vec<ConfigRecord>,
}

/// Parses a delta with any schema version that this build supports.
///
/// # Errors
///
/// See [`from_str_as`].
pub fn from_str(text: &str) -> Result<ConfigDelta> {
    from_str_as(text, SCHEMA_NEWEST)
}

/// Parses a delta like a build that supports schema versions up to `newest`.
///
/// # Errors
///
/// `Syntax` for text that is not JSON, `Schema` for an unknown version, kind or field. The caller
/// must then keep its active records.
pub fn from_str_as(text: &str, newest: u32) -> Result<ConfigDelta> {
    let delta: ConfigDelta = parse(text, newest)?;
    let position = format!("revision {}", delta.revision);
    if delta.schema < MODEL_SCHEMA && delta.changes.iter().any(ConfigChange::is_model) {
        let message = format!("'model' records need 'schema = {MODEL_SCHEMA}'");
        return Err(Error::new(Category::Schema, message).at(position));
    }
    Ok(delta)
}

/// Schema version and revision of a delta or snapshot part.
///
/// Parsed separately first, so that a text with a newer schema is rejected because of its version
/// and not because of the first unknown field.
#[derive(Deserialize)]
struct SchemaHeader {
    schema: u32,
    #[serde(default)]
    revision: Revision,
    snapshot: Option<Revision>,
}

impl SchemaHeader {
    fn parse(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|error| Error::new(Category::Syntax, error.to_string()))
    }
}

fn parse<T: DeserializeOwned>(text: &str, newest: u32) -> Result<T> {
    let header = SchemaHeader::parse(text)?;
    let position = format!("revision {}", header.snapshot.unwrap_or(header.revision));
    if !(SCHEMA_OLDEST..=newest).contains(&header.schema) {
        let message = format!(
            "schema version {} is not known here (known: {SCHEMA_OLDEST} to {newest}); update the \
             router, or apply the change again with 'schema = {newest}'",
            header.schema
        );
        return Err(Error::new(Category::Schema, message).at(position));
    }
    serde_json::from_str(text).map_err(|error| {
        let message = format!("{error}; update the router, or apply the change without it");
        Error::new(Category::Schema, message).at(position)
    })
}

impl ConfigChange {
    /// Kind of the changed record.
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Put(record) => record.kind(),
            Self::Remove { record, .. } => *record,
        }
    }

    /// Name of the changed record.
    pub fn name(&self) -> &SmolStr {
        match self {
            Self::Put(record) => record.name(),
            Self::Remove { name, .. } => name,
        }
    }

    fn is_model(&self) -> bool {
        self.kind() == RecordKind::Model
    }
}

/// Records that are active at one revision.
///
/// Requests keep the configuration that they started with, so changes are made on a copy. The
/// persistent map shares unchanged nodes; a plain map of 450,000 budgets would be copied in full.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    revision: Revision,
    records: OrdMap<(RecordKind, SmolStr), Arc<ConfigRecord>>,
}

impl ConfigState {
    /// Active revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Active records.
    pub fn records(&self) -> impl Iterator<Item = &ConfigRecord> {
        self.records.values().map(Arc::as_ref)
    }

    /// Active records of one kind, ordered by name; does not iterate over other kinds.
    pub fn of_kind(&self, kind: RecordKind) -> impl Iterator<Item = &ConfigRecord> {
        let first = (kind, SmolStr::default());
        let records = self.records.range(first..);
        records
            .take_while(move |((found, _), _)| *found == kind)
            .map(|(_, record)| record.as_ref())
    }

    /// Active record of a kind and name.
    pub fn get(&self, kind: RecordKind, name: &str) -> Option<&ConfigRecord> {
        let record = self.records.get(&(kind, SmolStr::new(name)));
        record.map(Arc::as_ref)
    }

    /// Applies the next revision; returns `false` without effect if it is already applied.
    ///
    /// # Errors
    ///
    /// `Conflict` if an earlier revision is missing.
    pub fn apply(&mut self, delta: &ConfigDelta) -> Result<bool> {
        if delta.revision <= self.revision {
            return Ok(false);
        }
        if delta.revision != self.revision + 1 {
            return Err(Error::new(
                Category::Conflict,
                format!("revision {} is missing; read it first", self.revision + 1),
            ));
        }
        for change in &delta.changes {
            match change {
                ConfigChange::Put(record) => self.put(record),
                ConfigChange::Remove { record, name } => {
                    self.records.remove(&(*record, name.clone()));
                }
            }
        }
        self.revision = delta.revision;
        Ok(true)
    }

    /// Parts of a snapshot, one per line, to be offered to a [`ConfigFollower`] in order.
    pub fn snapshot(&self) -> String {
        let mut text = String::new();
        for part in (0..).map_while(|part| self.snapshot_part(part, PART_RECORDS)) {
            text.push_str(&part);
            text.push('\n');
        }
        text
    }

    fn snapshot_part(&self, part: usize, part_records: usize) -> Option<String> {
        let parts = self.records.len().div_ceil(part_records).max(1);
        if part >= parts {
            return None;
        }
        let records = self.records().skip(part * part_records);
        let part = SnapshotPart {
            snapshot: self.revision,
            schema: SCHEMA_NEWEST,
            part,
            parts,
            records: records.take(part_records).cloned().collect(),
        };
        serde_json::to_string(&part).ok()
    }

    fn put(&mut self, record: &ConfigRecord) {
        let key = (record.kind(), record.name().clone());
        self.records.insert(key, Arc::new(record.clone()));
    }
}

/// Result of offering a delta or snapshot part to a [`ConfigFollower`].
#[derive(Clone, Debug, PartialEq)]
pub enum DeltaOutcome {
    /// The delta was applied.
    Applied(ConfigDelta),
    /// Its revision or a higher one is already active.
    Stale,
    /// Earlier revisions are missing, starting with this one.
    Gap(Revision),
    /// The snapshot is incomplete; this part of it is expected next.
    NextPart(usize),
    /// The snapshot is complete, and its revision is now active.
    Restored(Revision),
}

/// Follows the configuration log: keeps the active records and the recent deltas.
///
/// Deltas from the table and from peers may arrive late, repeatedly and out of order. The active
/// revision never decreases. A run becomes ready once it has asked the platform and every reachable
/// peer, and has applied the highest revision that any of them reported.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    newest: u32,
    config: Arc<ConfigState>,
    log: VecDeque<Arc<str>>,
    log_limit: usize,
    part_records: usize,
    partial_snapshot: Option<(SnapshotPart, ConfigState)>,
    highest: Revision,
    synced: bool,
    ready: bool,
    last_error: Option<Error>,
}

impl Default for ConfigFollower {
    fn default() -> Self {
        Self::new(SCHEMA_NEWEST)
    }
}

impl ConfigFollower {
    /// Creates a follower with the empty configuration and schema versions up to `newest`.
    pub fn new(newest: u32) -> Self {
        Self {
            newest,
            config: Arc::default(),
            log: VecDeque::new(),
            log_limit: LOG_LIMIT,
            part_records: PART_RECORDS,
            partial_snapshot: None,
            highest: 0,
            synced: false,
            ready: false,
            last_error: None,
        }
    }

    /// Sets the number of deltas kept for peers and the number of records in a snapshot part.
    #[must_use]
    pub fn with_limits(mut self, deltas: usize, part_records: usize) -> Self {
        self.log_limit = deltas;
        self.part_records = part_records.max(1);
        self
    }

    /// Active configuration.
    pub fn config(&self) -> &Arc<ConfigState> {
        &self.config
    }

    /// Highest revision that the platform or a peer reported.
    pub fn highest(&self) -> Revision {
        self.highest.max(self.config.revision())
    }

    /// Error of the last offered delta or snapshot, until a later one is applied.
    pub fn last_error(&self) -> Option<&Error> {
        self.last_error.as_ref()
    }

    /// Whether the run may accept requests; once `true`, it stays `true`.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Records a revision that the platform or a peer reported.
    pub fn observe_revision(&mut self, revision: Revision) {
        self.highest = self.highest.max(revision);
    }

    /// Starts asking all sources for their revision. Discards an earlier round that did not make the
    /// run ready, because other sources may be reachable now.
    pub fn begin_sync(&mut self) {
        self.synced = false;
    }

    /// Records that the platform and every reachable peer were asked for their revision.
    pub fn finish_sync(&mut self) {
        self.synced = true;
        self.check_ready();
    }

    /// Applies a delta if it is the next one, or a snapshot once its last part is offered.
    ///
    /// # Errors
    ///
    /// See [`from_str_as`]; the active records are kept.
    pub fn offer(&mut self, text: &str) -> Result<DeltaOutcome> {
        let outcome = match SchemaHeader::parse(text) {
            Ok(header) if header.snapshot.is_some() => self.offer_part(text),
            _ => self.offer_delta(text),
        };
        match &outcome {
            Ok(DeltaOutcome::Applied(_) | DeltaOutcome::Restored(_)) => {
                self.last_error = None;
                self.check_ready();
            }
            Ok(_) => {}
            Err(error) => self.last_error = Some(error.clone()),
        }
        outcome
    }

    fn offer_delta(&mut self, text: &str) -> Result<DeltaOutcome> {
        let delta = from_str_as(text, self.newest)?;
        self.observe_revision(delta.revision);
        let next = self.config.revision() + 1;
        if delta.revision < next {
            return Ok(DeltaOutcome::Stale);
        }
        if delta.revision > next {
            return Ok(DeltaOutcome::Gap(next));
        }
        Arc::make_mut(&mut self.config).apply(&delta)?;
        self.log.push_back(text.into());
        while self.log.len() > self.log_limit {
            self.log.pop_front();
        }
        Ok(DeltaOutcome::Applied(delta))
    }

    /// Collects the parts of one snapshot in order; restarts when a part of another snapshot arrives.
    fn offer_part(&mut self, text: &str) -> Result<DeltaOutcome> {
        let part: SnapshotPart = parse(text, self.newest)?;
        self.observe_revision(part.snapshot);
        if part.snapshot <= self.config.revision() {
            return Ok(DeltaOutcome::Stale);
        }
        let (last, mut state) = match self.partial_snapshot.take() {
            Some(partial) => partial,
            None if part.part == 0 => (part.clone(), ConfigState::default()),
            None => return Ok(DeltaOutcome::NextPart(0)),
        };
        let expected = if part.part == 0 {
            state = ConfigState::default();
            true
        } else {
            let same = (last.snapshot, last.parts) == (part.snapshot, part.parts);
            same && last.part + 1 == part.part
        };
        if !expected {
            return Ok(DeltaOutcome::NextPart(0));
        }
        for record in &part.records {
            state.put(record);
        }
        if part.part + 1 < part.parts {
            let next = part.part + 1;
            let last = SnapshotPart {
                records: Vec::new(),
                ..part
            };
            self.partial_snapshot = Some((last, state));
            return Ok(DeltaOutcome::NextPart(next));
        }
        state.revision = part.snapshot;
        self.config = Arc::new(state);
        // The deltas before the snapshot are unknown.
        self.log.clear();
        Ok(DeltaOutcome::Restored(part.snapshot))
    }

    /// Texts for a peer at the given revision: the deltas after it in order, at least one and at most
    /// `limit` bytes in total, or the first part of a snapshot if these deltas are no longer kept.
    pub fn deltas_after(&self, revision: Revision, limit: usize) -> Vec<Arc<str>> {
        let newest = self.config.revision();
        let base = newest - self.log.len() as Revision;
        if revision < base {
            return self.snapshot_part(0).into_iter().map(Arc::from).collect();
        }
        let start = usize::try_from(revision - base).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut deltas = Vec::new();
        for text in self.log.iter().skip(start) {
            bytes += text.len();
            if bytes > limit && !deltas.is_empty() {
                break;
            }
            deltas.push(text.clone());
        }
        deltas
    }

    /// Part of a snapshot of the active configuration; `None` after the last part.
    pub fn snapshot_part(&self, part: usize) -> Option<String> {
        self.config.snapshot_part(part, self.part_records)
    }

    fn check_ready(&mut self) {
        let revision = self.config.revision();
        self.ready |= self.synced && revision > 0 && revision >= self.highest;
    }
}
