//! Commands that check, show and change the configuration.

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

/// Payment to declare with `top-up`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopUpPayment {
    /// Id of the payment; a repeat with the same id adds nothing.
    pub id: String,
    /// Budget that receives it.
    pub budget: String,
    /// Tokens paid in; a negative amount takes free tokens back.
    pub amount: i64,
}

/// What `drain` keeps new work off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// An endpoint that leaves for good.
    Leaving(String),
    /// An endpoint that takes work again.
    Returning(String),
    /// A planned stop.
    Stop {
        /// Name of the stop.
        name: String,
        /// Endpoint that stops.
        endpoint: Option<String>,
        /// Failure domain that stops.
        failure_domain: Option<String>,
        /// Start of the window, in seconds since the Unix epoch.
        from: u64,
        /// End of the window, in seconds since the Unix epoch.
        until: u64,
        /// Share of the slots of each route that must remain, in percent.
        remaining_percent: u32,
    },
}

/// Checks declarations against each other only.
///
/// # Errors
///
/// `Refused`, with one line for each mistake.
pub fn check(files: &[DeclarationFile]) -> Result<CommandReport> {
    let set = declare::read(files);
    let count = set.records.len();
    ChangePlan::new(&set, &[], &ConfigState::default())?;
    let text = format!("{} valid", counted(count, "record is", "records are"));
    Ok(CommandReport::done(text, json!({"records": count})))
}

/// SHA-256 of a caller's key, as declarations hold it.
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(
        key.trim_end_matches(['\r', '\n']).as_bytes(),
    ))
}

impl ControlClient {
    /// Checks declarations against the records in force as well.
    ///
    /// # Errors
    ///
    /// `Refused` with all mistakes, `Unreachable` without the platform.
    pub async fn check(&self, files: &[DeclarationFile]) -> Result<CommandReport> {
        let head = self.read_head().await?;
        let set = declare::read(files);
        ChangePlan::new(&set, &[], &head.state)?;
        let text = format!(
            "{} valid on revision {}",
            counted(set.records.len(), "record is", "records are"),
            head.state.revision()
        );
        let json = json!({"records": set.records.len(), "revision": head.state.revision()});
        Ok(CommandReport::done(text, json))
    }

    /// Shows what `apply` would change.
    ///
    /// # Errors
    ///
    /// `Refused` with all mistakes, `Unreachable` without the platform.
    pub async fn diff(
        &self,
        files: &[DeclarationFile],
        option: &ApplyOptions,
    ) -> Result<CommandReport> {
        let head = self.read_head().await?;
        let plan = ChangePlan::new(&declare::read(files), &option.remove, &head.state)?;
        let revision = head.state.revision();
        let mut lines = plan.lines.clone();
        lines.push(format!(
            "{} on revision {revision}; apply with --base {revision}",
            counted(plan.changes.len(), "change", "changes")
        ));
        let mut json = plan.json();
        json["revision"] = json!(revision);
        Ok(CommandReport::done(lines.join("\n"), json))
    }

    /// Puts declarations in force, all of them or none.
    ///
    /// # Errors
    ///
    /// `Refused` with all mistakes, `Conflict` when another operator was first, `Unreachable`
    /// without the platform; the message says whether anything was changed.
    pub async fn apply(
        &self,
        files: &[DeclarationFile],
        option: &ApplyOptions,
    ) -> Result<CommandReport> {
        self.apply_set(&declare::read(files), option).await
    }

    async fn apply_set(&self, set: &DeclaredSet, option: &ApplyOptions) -> Result<CommandReport> {
        let head = self.read_head().await?;
        let plan = ChangePlan::new(set, &option.remove, &head.state)?;
        let mut lines = plan.lines.clone();
        let seen = head.state.revision();
        // A repeat after a lost answer finds nothing to change, so that it is no conflict.
        if !plan.changes.is_empty() && option.base.is_some_and(|base| base != seen) {
            return Err(self.conflict(option.base.unwrap_or(seen)).await);
        }
        let state = self.put_in_force(head, &plan, &mut lines).await?;
        let revision = state.revision();
        let settled = self.settle_top_ups(&state).await.map_err(|error| {
            let message = format!(
                "revision {revision} is accepted, but not all top-ups are in their pools: {error}; \
                 repeat the command, each top-up is added once"
            );
            Error::new(error.exit(), message)
        })?;
        lines.extend(settled);
        let mut json = plan.json();
        json["revision"] = json!(revision);
        Ok(CommandReport::done(lines.join("\n"), json))
    }

    async fn put_in_force(
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
            counted(delta.changes.len(), "changed record", "changed records")
        ));
        let mut state = head.state;
        state.apply(&delta)?;
        Ok(state)
    }

    /// Prints records in force as declarations.
    ///
    /// # Errors
    ///
    /// `Refused` for an unknown kind or name, `Unreachable` without the platform.
    pub async fn get(&self, kind: Option<&str>, name: Option<&str>) -> Result<CommandReport> {
        let kind = kind.map(kind_named).transpose()?;
        let head = self.read_head().await?;
        let wanted = |record: &&ConfigRecord| {
            kind.is_none_or(|kind| record.kind() == kind)
                && name.is_none_or(|name| record.name() == name)
        };
        let records: Vec<&ConfigRecord> = head.state.records().filter(wanted).collect();
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
        Ok(CommandReport::done(to_toml(&records)?, json))
    }

    /// Declares a payment into a budget and adds it to the pool, once for each id.
    ///
    /// # Errors
    ///
    /// As for `apply`.
    pub async fn top_up(&self, order: &TopUpPayment) -> Result<CommandReport> {
        let record = ConfigRecord::TopUp(TopUpRecord {
            name: order.id.as_str().into(),
            budget: order.budget.as_str().into(),
            amount: order.amount,
        });
        self.apply_record(record).await
    }

    /// Declares a planned stop or an endpoint that leaves.
    ///
    /// # Errors
    ///
    /// As for `apply`.
    pub async fn drain(&self, target: &DrainAction) -> Result<CommandReport> {
        let record = match target {
            DrainAction::Leaving(endpoint) => self.mark(endpoint, true).await?,
            DrainAction::Returning(endpoint) => self.mark(endpoint, false).await?,
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

    async fn mark(&self, name: &str, leaving: bool) -> Result<ConfigRecord> {
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
            records: vec![DeclaredRecord::from_command(record)],
            ..DeclaredSet::default()
        };
        self.apply_set(&set, &ApplyOptions::default()).await
    }
}

fn kind_named(name: &str) -> Result<RecordKind> {
    RecordKind::from_name(name).ok_or_else(|| {
        let names: Vec<&str> = RecordKind::ALL.iter().map(|kind| kind.as_str()).collect();
        let message = format!(
            "no kind is named '{name}'; use one of: {}",
            names.join(", ")
        );
        Error::refused(message)
    })
}

/// Writes records as a declaration file that `apply` accepts.
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

/// Counts things with the right word for one or many.
pub(crate) fn counted(count: usize, one: &str, many: &str) -> String {
    format!("{count} {}", if count == 1 { one } else { many })
}
