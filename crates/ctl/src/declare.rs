//! Parses declaration files and computes the changes that they make to the configuration in force.

use {
    jasminewall_core::{
        ConfigRecord, ConfigState, RecordKind,
        record::{self, DeclaredRecord, DeclaredSet, SCHEMA_OLDEST},
        revision::ConfigChange,
    },
    serde_json::{Value, json},
    smol_str::SmolStr,
};

use crate::{Error, Result};

/// Name and text of a declaration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclarationFile {
    name: String,
    text: String,
}

impl DeclarationFile {
    /// Creates a file from its text; `name` appears in error messages.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}

/// Options of `apply` and `diff`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Revision that the change is based on; `apply` fails with a conflict if another revision is in
    /// force.
    pub base: Option<u64>,
    /// Records to remove, as `kind/name`.
    pub remove: Vec<String>,
}

/// Parses declaration files, without the checks across records.
pub(crate) fn parse_files(files: &[DeclarationFile]) -> DeclaredSet {
    let mut set = DeclaredSet::default();
    for file in files {
        set.extend(record::parse_file(&file.name, &file.text));
    }
    set
}

/// Changes from the configuration in force to the declared records.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ChangePlan {
    pub(crate) schema: u32,
    pub(crate) changes: Vec<ConfigChange>,
    /// Description of each change, for the output.
    pub(crate) lines: Vec<String>,
}

impl ChangePlan {
    /// Validates declarations against the configuration in force and computes the changes.
    pub(crate) fn new(
        set: &DeclaredSet,
        removals: &[String],
        current: &ConfigState,
    ) -> Result<Self> {
        let mut errors = set.errors.clone();
        errors.extend(record::check(set, current));
        if !errors.is_empty() {
            return Err(Error::from_errors(&errors));
        }
        let mut plan = Self {
            schema: SCHEMA_OLDEST,
            ..Self::default()
        };
        for declared in &set.records {
            plan.put(declared, current);
        }
        for path in removals {
            plan.remove(path, current)?;
        }
        plan.check_removals(current)?;
        Ok(plan)
    }

    fn put(&mut self, declared: &DeclaredRecord, current: &ConfigState) {
        let record = &declared.record;
        let label = record_label(record.kind(), record.name());
        match current.get(record.kind(), record.name()) {
            Some(old) if old == record => return,
            Some(old) => {
                let fields = changed_fields(old, record);
                self.lines.push(format!("~ {label}: {}", fields.join(", ")));
            }
            None => self.lines.push(format!("+ {label}")),
        }
        self.schema = self.schema.max(declared.schema);
        self.changes.push(ConfigChange::Put(record.clone()));
    }

    fn remove(&mut self, path: &str, current: &ConfigState) -> Result<()> {
        let parsed = path.split_once('/');
        let parsed = parsed.and_then(|(kind, name)| Some((RecordKind::from_name(kind)?, name)));
        let Some((kind, name)) = parsed else {
            let message = format!("--remove {path}: expected kind/name, such as stop/roof-works");
            return Err(Error::refused(message));
        };
        if current.get(kind, name).is_none() {
            return Ok(());
        }
        self.lines.push(format!("- {}", record_label(kind, name)));
        self.changes.push(ConfigChange::Remove {
            record: kind,
            name: name.into(),
        });
        Ok(())
    }

    /// Rejects the removal of records that others still refer to.
    fn check_removals(&self, current: &ConfigState) -> Result<()> {
        let mut planned = current.clone();
        let delta = self.delta(current.revision() + 1);
        planned.apply(&delta)?;
        let mut errors = Vec::new();
        for change in &self.changes {
            if let ConfigChange::Remove { record, name } = change {
                errors.extend(record::check_removal(*record, name, &planned));
            }
        }
        match errors.is_empty() {
            true => Ok(()),
            false => Err(Error::from_errors(&errors)),
        }
    }

    pub(crate) fn delta(&self, revision: u64) -> jasminewall_core::ConfigDelta {
        jasminewall_core::ConfigDelta {
            revision,
            schema: self.schema,
            changes: self.changes.clone(),
        }
    }

    pub(crate) fn json(&self) -> Value {
        json!({"changes": self.lines})
    }
}

pub(crate) fn record_label(kind: RecordKind, name: &str) -> SmolStr {
    smol_str::format_smolstr!("{} {name}", kind.as_str())
}

/// Describes the fields that differ between two versions of a record.
fn changed_fields(old: &ConfigRecord, new: &ConfigRecord) -> Vec<String> {
    let to_value = |record| serde_json::to_value(record).unwrap_or_default();
    let (old, new) = (to_value(old), to_value(new));
    let fields = new.as_object().into_iter().flatten();
    let changed = fields.filter(|(field, value)| old[field.as_str()] != **value);
    changed
        .map(|(field, value)| format!("{field} {} -> {value}", old[field.as_str()]))
        .collect()
}
