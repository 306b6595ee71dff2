//! Log of configuration revisions and the state that it adds up to.

use std::collections::BTreeMap;

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::{Category, ConfigRecord, Error, RecordKind, Result, Revision};

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

/// Records in force at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    revision: Revision,
    records: BTreeMap<(RecordKind, SmolStr), ConfigRecord>,
}

impl ConfigState {
    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records in force.
    pub fn records(&self) -> impl Iterator<Item = &ConfigRecord> {
        self.records.values()
    }

    /// Record of a kind and name.
    pub fn get(&self, kind: RecordKind, name: &str) -> Option<&ConfigRecord> {
        self.records.get(&(kind, SmolStr::new(name)))
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
                    self.records.insert(key, record.clone());
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
