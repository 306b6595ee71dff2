//! Commands that validate, print and change the configuration.

use std::collections::BTreeMap;

use {
    jasminewall_core::{
        ConfigRecord, ConfigState, RecordKind,
        record::{DeclaredRecord, DeclaredSet, SCHEMA_NEWEST, StopRecord, TopUpRecord},
    },
    serde_json::json,
    sha2::{Digest, Sha256},
    smol_str::SmolStr,
};

use crate::{
    ApplyOptions, CommandReport, ControlClient, DeclarationFile, Error, Result,
    client::HeadState,
    declare::{self, ChangePlan},
};

/// Payment that `top-up` declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopUpPayment {
    /// Id of the payment; repeating a payment with the same id has no effect.
    pub id: String,
    /// Budget that the tokens are paid into.
    pub budget: String,
    /// Tokens paid in; a negative amount takes free tokens back.
    pub amount: i64,
}

/// Change that `drain` declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Takes an endpoint out of service for good.
    Leaving(String),
    /// Puts a leaving endpoint back into service.
    Returning(String),
    /// Plans a stop of an endpoint or a failure domain.
    Stop {
        /// Name of the stop.
        name: String,
        /// Endpoint to stop.
        endpoint: Option<String>,
        /// Failure domain to stop.
        failure_domain: Option<String>,
        /// Start of the window, in seconds since the Unix epoch.
        from: u64,
        /// End of the window, in seconds since the Unix epoch.
        until: u64,
        /// Minimum share of the slots of each route that must stay available, in percent.
        remaining_percent: u32,
    },
}

/// Validates declarations on their own, without the configuration in force.
///
/// # Errors
///
/// `Refused`, with one line for each error.
pub fn check(files: &[DeclarationFile]) -> Result<CommandReport> {
    let set = declare::parse_files(files);
    let count = set.records.len();
    ChangePlan::new(&set, &[], &ConfigState::default())?;
    let text = format!("{} valid", pluralize(count, "record is", "records are"));
    Ok(CommandReport::success(text, json!({"records": count})))
}

/// Returns the SHA-256 of a caller's key in hexadecimal, the form that declarations use.
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(
        key.trim_end_matches(['\r', '\n']).as_bytes(),
    ))
}

impl ControlClient {
    /// Validates declarations against the configuration in force.
    ///
    /// # Errors
    ///
    /// `Refused` with all errors, `Unreachable` without the platform.
    pub async fn check(&self, files: &[DeclarationFile]) -> Result<CommandReport> {
        let head = self.read_head().await?;
        let set = declare::parse_files(files);
        ChangePlan::new(&set, &[], &head.state)?;
        let text = format!(
            "{} valid on revision {}",
            pluralize(set.records.len(), "record is", "records are"),
            head.state.revision()
        );
        let json = json!({"records": set.records.len(), "revision": head.state.revision()});
        Ok(CommandReport::success(text, json))
    }

    /// Shows what `apply` would change.
    ///
    /// # Errors
    ///
    /// `Refused` with all errors, `Unreachable` without the platform.
    pub async fn diff(
        &self,
        files: &[DeclarationFile],
        options: &ApplyOptions,
    ) -> Result<CommandReport> {
        let head = self.read_head().await?;
        let plan = ChangePlan::new(&declare::parse_files(files), &options.remove, &head.state)?;
        let revision = head.state.revision();
        let mut lines = plan.lines.clone();
        lines.push(format!(
            "{} on revision {revision}; apply with --base {revision}",
            pluralize(plan.changes.len(), "change", "changes")
        ));
        let mut json = plan.json();
        json["revision"] = json!(revision);
        Ok(CommandReport::success(lines.join("\n"), json))
    }

    /// Applies declarations atomically.
    ///
    /// # Errors
    ///
    /// `Refused` with all errors, `Conflict` when another operator committed first, `Unreachable`
    /// without the platform. The message says whether anything was changed.
    pub async fn apply(
        &self,
        files: &[DeclarationFile],
        options: &ApplyOptions,
    ) -> Result<CommandReport> {
        self.apply_declarations(&declare::parse_files(files), options)
            .await
    }

    async fn apply_declarations(
        &self,
        set: &DeclaredSet,
        options: &ApplyOptions,
    ) -> Result<CommandReport> {
        let head = self.read_head().await?;
        let plan = ChangePlan::new(set, &options.remove, &head.state)?;
        let mut lines = plan.lines.clone();
        let current = head.state.revision();
        // A command that is repeated after a lost response finds nothing to change; this is no conflict.
        if !plan.changes.is_empty() && options.base.is_some_and(|base| base != current) {
            return Err(self.conflict_error(options.base.unwrap_or(current)).await);
        }
        let state = self.commit_plan(head, &plan, &mut lines).await?;
        let revision = state.revision();
        let applied = self.apply_top_ups(&state).await.map_err(|error| {
            let message = format!(
                "revision {revision} is accepted, but some top-ups are not in their pools yet: {error}; \
                 repeat the command, each top-up is added only once"
            );
            Error::new(error.exit(), message)
        })?;
        lines.extend(applied);
        let mut json = plan.json();
        json["revision"] = json!(revision);
        Ok(CommandReport::success(lines.join("\n"), json))
    }

    /// Commits the changes of a plan, if any, and returns the configuration in force afterwards.
    async fn commit_plan(
        &self,
        head: HeadState,
        plan: &ChangePlan,
        lines: &mut Vec<String>,
    ) -> Result<ConfigState> {
        let revision = head.state.revision();
        if plan.changes.is_empty() {
            lines.push(format!(
                "nothing to change; revision {revision} is in force"
            ));
            return Ok(head.state);
        }
        let delta = plan.delta(revision + 1);
        self.commit(&head, &delta).await?;
        lines.push(format!(
            "revision {} is accepted, with {}",
            delta.revision,
            pluralize(delta.changes.len(), "changed record", "changed records")
        ));
        let mut state = head.state;
        state.apply(&delta)?;
        Ok(state)
    }

    /// Prints the configuration in force, or a part of it, as declarations.
    ///
    /// # Errors
    ///
    /// `Refused` for an unknown kind or name, `Unreachable` without the platform.
    pub async fn get(&self, kind: Option<&str>, name: Option<&str>) -> Result<CommandReport> {
        let kind = kind.map(parse_kind).transpose()?;
        let head = self.read_head().await?;
        let is_selected = |record: &&ConfigRecord| {
            kind.is_none_or(|kind| record.kind() == kind)
                && name.is_none_or(|name| record.name() == name)
        };
        let records: Vec<&ConfigRecord> = head.state.records().filter(is_selected).collect();
        if let (true, Some(kind), Some(name)) = (records.is_empty(), kind, name) {
            let message = format!(
                "no {} is named '{name}' in revision {}; see 'jasminectl get {}'",
                kind.as_str(),
                head.state.revision(),
                kind.as_str()
            );
            return Err(Error::refused(message));
        }
        let json = json!({"revision": head.state.revision(), "records": records});
        Ok(CommandReport::success(to_toml(&records)?, json))
    }

    /// Declares a payment and adds it to the pool of its budget, once per id.
    ///
    /// # Errors
    ///
    /// As for `apply`.
    pub async fn top_up(&self, payment: &TopUpPayment) -> Result<CommandReport> {
        let record = ConfigRecord::TopUp(TopUpRecord {
            name: payment.id.as_str().into(),
            budget: payment.budget.as_str().into(),
            amount: payment.amount,
        });
        self.apply_record(record).await
    }

    /// Declares a planned stop, or whether an endpoint is leaving.
    ///
    /// # Errors
    ///
    /// As for `apply`.
    pub async fn drain(&self, action: &DrainAction) -> Result<CommandReport> {
        let record = match action {
            DrainAction::Leaving(endpoint) => self.set_leaving(endpoint, true).await?,
            DrainAction::Returning(endpoint) => self.set_leaving(endpoint, false).await?,
            DrainAction::Stop {
                name,
                endpoint,
                failure_domain,
                from,
                until,
                remaining_percent,
            } => ConfigRecord::Stop(StopRecord {
                name: name.as_str().into(),
                endpoint: endpoint.as_deref().map(SmolStr::new),
                failure_domain: failure_domain.as_deref().map(SmolStr::new),
                from: *from,
                until: *until,
                remaining_percent: *remaining_percent,
            }),
        };
        self.apply_record(record).await
    }

    /// Returns the record in force of an endpoint, with its `leaving` flag replaced.
    async fn set_leaving(&self, name: &str, leaving: bool) -> Result<ConfigRecord> {
        let head = self.read_head().await?;
        match head.state.get(RecordKind::Endpoint, name) {
            Some(ConfigRecord::Endpoint(endpoint)) => {
                let mut endpoint = endpoint.clone();
                endpoint.leaving = leaving;
                Ok(ConfigRecord::Endpoint(endpoint))
            }
            _ => {
                let message =
                    format!("no endpoint is named '{name}'; see 'jasminectl get endpoint'");
                Err(Error::refused(message))
            }
        }
    }

    async fn apply_record(&self, record: ConfigRecord) -> Result<CommandReport> {
        let set = DeclaredSet {
            records: vec![DeclaredRecord::from_command_line(record)],
            ..DeclaredSet::default()
        };
        self.apply_declarations(&set, &ApplyOptions::default())
            .await
    }
}

fn parse_kind(name: &str) -> Result<RecordKind> {
    RecordKind::from_name(name).ok_or_else(|| {
        let names: Vec<&str> = RecordKind::ALL.iter().map(|kind| kind.as_str()).collect();
        let message = format!(
            "no kind is named '{name}'; use one of: {}",
            names.join(", ")
        );
        Error::refused(message)
    })
}

/// Formats records as a declaration file that `apply` accepts.
fn to_toml(records: &[&ConfigRecord]) -> Result<String> {
    let mut sections = BTreeMap::<RecordKind, Vec<toml::Table>>::new();
    for record in records {
        let mut table =
            toml::Table::try_from(record).map_err(|error| Error::refused(error.to_string()))?;
        table.remove("kind");
        sections.entry(record.kind()).or_default().push(table);
    }
    let mut text = format!("schema = {SCHEMA_NEWEST}\n");
    for (kind, tables) in sections {
        for table in tables {
            text.push_str(&format!("\n[[{}]]\n{table}", kind.as_str()));
        }
    }
    Ok(text.trim_end().to_owned())
}

/// Formats a count with the singular or plural form of its noun.
pub(crate) fn pluralize(count: usize, singular: &str, plural: &str) -> String {
    format!("{count} {}", if count == 1 { singular } else { plural })
}
