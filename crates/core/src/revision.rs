//! Log of configuration revisions and the state that it adds up to.

use std::sync::Arc;

use {
    imbl::OrdMap,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::{
    Category, ConfigRecord, Error, RecordKind, Result, Revision,
    record::{SCHEMA_NEWEST, SCHEMA_OLDEST},
};

/// Schema version that added `model` records.
const SCHEMA_OF_MODELS: u32 = 2;

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
    /// Revision that the changes lead to.
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

/// Reads a delta with the schema versions of this build.
///
/// # Errors
///
/// See [`from_str_until`].
pub fn from_str(text: &str) -> Result<ConfigDelta> {
    from_str_until(text, SCHEMA_NEWEST)
}

/// Reads a delta with the schema versions up to `newest`, as a build of that version does.
///
/// # Errors
///
/// `Syntax` for text that is not JSON, `Schema` for an unknown version, kind or field; the message
/// names the remedy, and the records in force are to stay.
pub fn from_str_until(text: &str, newest: u32) -> Result<ConfigDelta> {
    // The version is read alone first, so that a newer delta is reported by its version and not
    // by the first field that this build does not know.
    #[derive(Deserialize)]
    struct SchemaProbe {
        schema: u32,
        #[serde(default)]
        revision: Revision,
    }
    let syntax = |error: serde_json::Error| Error::new(Category::Syntax, error.to_string());
    let probe: SchemaProbe = serde_json::from_str(text).map_err(syntax)?;
    let position = format!("revision {}", probe.revision);
    if !(SCHEMA_OLDEST..=newest).contains(&probe.schema) {
        let message = format!(
            "schema version {} is not known here (known: {SCHEMA_OLDEST} to {newest}); update the \
             router, or apply the change again with 'schema = {newest}'",
            probe.schema
        );
        return Err(Error::new(Category::Schema, message).at(position));
    }
    let delta: ConfigDelta = serde_json::from_str(text).map_err(|error| {
        let message = format!("{error}; update the router, or apply the change without it");
        Error::new(Category::Schema, message).at(position.clone())
    })?;
    if delta.schema < SCHEMA_OF_MODELS && delta.changes.iter().any(ConfigChange::is_model) {
        let message = format!("'model' records need 'schema = {SCHEMA_OF_MODELS}'");
        return Err(Error::new(Category::Schema, message).at(position));
    }
    Ok(delta)
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

/// Records in force at one revision.
///
/// Requests hold the configuration that they began with, so a change is made on a copy. The map
/// shares what did not change; a plain map of 450,000 budgets would be copied whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    revision: Revision,
    records: OrdMap<(RecordKind, SmolStr), Arc<ConfigRecord>>,
}

impl ConfigState {
    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records in force.
    pub fn records(&self) -> impl Iterator<Item = &ConfigRecord> {
        self.records.values().map(Arc::as_ref)
    }

    /// Record of a kind and name.
    pub fn get(&self, kind: RecordKind, name: &str) -> Option<&ConfigRecord> {
        let record = self.records.get(&(kind, SmolStr::new(name)));
        record.map(Arc::as_ref)
    }

    /// Applies the next revision; a revision that is in force already changes nothing.
    ///
    /// # Errors
    ///
    /// `Conflict` when a revision between is missing.
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
                ConfigChange::Put(record) => {
                    let key = (record.kind(), record.name().clone());
                    self.records.insert(key, Arc::new(record.clone()));
                }
                ConfigChange::Remove { record, name } => {
                    self.records.remove(&(*record, name.clone()));
                }
            }
        }
        self.revision = delta.revision;
        Ok(true)
    }
}

/// What became of an offered delta.
#[derive(Clone, Debug, PartialEq)]
pub enum DeltaOutcome {
    /// The delta is in force now.
    Applied(ConfigDelta),
    /// Its revision or a higher one was in force already.
    Old,
    /// Revisions between are missing; read them from this one on.
    Gap(Revision),
}

/// Follows the configuration log: keeps the records in force and the deltas that led to them.
///
/// Deltas may come from the table and from peers, late, twice and out of order. The revision in
/// force only rises. A run becomes ready once it has asked the platform and every peer in reach,
/// and has the highest revision in force that any of them named.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    newest: u32,
    config: Arc<ConfigState>,
    log: Vec<Arc<str>>,
    highest: Revision,
    asked: bool,
    ready: bool,
    refusal: Option<Error>,
}

impl Default for ConfigFollower {
    fn default() -> Self {
        Self::new(SCHEMA_NEWEST)
    }
}

impl ConfigFollower {
    /// Starts from the empty configuration, with the schema versions up to `newest`.
    pub fn new(newest: u32) -> Self {
        Self {
            newest,
            config: Arc::default(),
            log: Vec::new(),
            highest: 0,
            asked: false,
            ready: false,
            refusal: None,
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> &Arc<ConfigState> {
        &self.config
    }

    /// Highest revision that the platform or a peer named.
    pub fn highest(&self) -> Revision {
        self.highest.max(self.config.revision())
    }

    /// Why the next revision is not in force, when it was read and refused.
    pub fn refusal(&self) -> Option<&Error> {
        self.refusal.as_ref()
    }

    /// Whether the run may take requests; once ready, it stays ready.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Notes a revision that the platform or a peer named.
    pub fn hear(&mut self, revision: Revision) {
        self.highest = self.highest.max(revision);
    }

    /// Starts a round of asking. An earlier round that did not make the run ready counts no more:
    /// sources may have come into reach since then.
    pub fn begin_asking(&mut self) {
        self.asked = false;
    }

    /// Notes that the platform and every peer in reach were asked for their revision.
    pub fn finish_asking(&mut self) {
        self.asked = true;
        self.check_ready();
    }

    /// Takes a delta into force when it is the next one.
    ///
    /// # Errors
    ///
    /// Those of [`from_str_until`]; the records in force stay.
    pub fn offer(&mut self, text: &str) -> Result<DeltaOutcome> {
        let delta = match from_str_until(text, self.newest) {
            Ok(delta) => delta,
            Err(error) => {
                self.refusal = Some(error.clone());
                return Err(error);
            }
        };
        self.hear(delta.revision);
        let next = self.config.revision() + 1;
        if delta.revision < next {
            return Ok(DeltaOutcome::Old);
        }
        if delta.revision > next {
            return Ok(DeltaOutcome::Gap(next));
        }
        Arc::make_mut(&mut self.config).apply(&delta)?;
        self.log.push(text.into());
        self.refusal = None;
        self.check_ready();
        Ok(DeltaOutcome::Applied(delta))
    }

    /// Deltas after a revision, in order, of at most `limit` bytes in all but at least one.
    pub fn deltas_after(&self, revision: Revision, limit: usize) -> Vec<Arc<str>> {
        let start = usize::try_from(revision).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut deltas = Vec::new();
        for text in self.log.get(start..).unwrap_or_default() {
            bytes += text.len();
            if bytes > limit && !deltas.is_empty() {
                break;
            }
            deltas.push(text.clone());
        }
        deltas
    }

    fn check_ready(&mut self) {
        let revision = self.config.revision();
        self.ready |= self.asked && revision > 0 && revision >= self.highest;
    }
}
