//! Declarations of one call and the changes that they make to the records in force.

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

/// Text of one declaration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclarationFile {
    file: String,
    text: String,
}

impl DeclarationFile {
    /// Names a text for error messages.
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
        }
    }
}

/// How declarations are applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Revision that the operator has seen; another one in force is a conflict.
    pub base: Option<u64>,
    /// Records to remove, as `kind/name`.
    pub remove: Vec<String>,
}

/// Reads declarations without their cross-checks.
pub(crate) fn read(files: &[DeclarationFile]) -> DeclaredSet {
    let mut set = DeclaredSet::default();
    for file in files {
        set.extend(record::read_file(&file.file, &file.text));
    }
    set
}

/// Changes that lead from the records in force to the declared ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ChangePlan {
    pub(crate) schema: u32,
    pub(crate) changes: Vec<ConfigChange>,
    pub(crate) lines: Vec<String>,
}

impl ChangePlan {
    /// Checks declarations against the records in force and lists what changes.
    pub(crate) fn new(set: &DeclaredSet, remove: &[String], base: &ConfigState) -> Result<Self> {
        let mut errors = set.errors.clone();
        errors.extend(record::check(set, base));
        if !errors.is_empty() {
            return Err(Error::report(&errors));
        }
        let mut plan = Self {
            schema: SCHEMA_OLDEST,
            ..Self::default()
        };
        for declared in &set.records {
            plan.put(declared, base);
        }
        for name in remove {
            plan.remove(name, base)?;
        }
        plan.check_removals(base)?;
        Ok(plan)
    }

    fn put(&mut self, declared: &DeclaredRecord, base: &ConfigState) {
        let record = &declared.record;
        let label = label(record.kind(), record.name());
        match base.get(record.kind(), record.name()) {
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

    fn remove(&mut self, name: &str, base: &ConfigState) -> Result<()> {
        let parsed = name.split_once('/');
        let parsed = parsed.and_then(|(kind, name)| Some((RecordKind::from_name(kind)?, name)));
        let Some((kind, name)) = parsed else {
            let message = format!("--remove {name}: write kind/name, such as stop/roof-works");
            return Err(Error::refused(message));
        };
        if base.get(kind, name).is_none() {
            return Ok(());
        }
        self.lines.push(format!("- {}", label(kind, name)));
        self.changes.push(ConfigChange::Remove {
            record: kind,
            name: name.into(),
        });
        Ok(())
    }

    /// Refuses the removal of a record that another one needs.
    fn check_removals(&self, base: &ConfigState) -> Result<()> {
        let mut after = base.clone();
        let delta = self.delta(base.revision() + 1);
        after.apply(&delta)?;
        let mut errors = Vec::new();
        for change in &self.changes {
            if let ConfigChange::Remove { record, name } = change {
                errors.extend(record::check_removal(*record, name, &after));
            }
        }
        match errors.is_empty() {
            true => Ok(()),
            false => Err(Error::report(&errors)),
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

pub(crate) fn label(kind: RecordKind, name: &str) -> SmolStr {
    smol_str::format_smolstr!("{} {name}", kind.as_str())
}

fn changed_fields(old: &ConfigRecord, new: &ConfigRecord) -> Vec<String> {
    let value = |record| serde_json::to_value(record).unwrap_or_default();
    let (old, new) = (value(old), value(new));
    let fields = new.as_object().into_iter().flatten();
    let changed = fields.filter(|(field, value)| old[field.as_str()] != **value);
    changed
        .map(|(field, value)| format!("{field} {} -> {value}", old[field.as_str()]))
        .collect()
}
