//! Reads and changes the fleet's configuration and pools through the platform.

use {
    jasminewall_core::{
        ConfigDelta, ConfigRecord, ConfigState, Revision,
        budget::{PoolEntry, PoolRow, pool_key},
        record::TopUpRecord,
        revision::{HEAD_KEY, HeadRow, log_key},
        shard_of,
    },
    jasminewall_ports::{Category, PlatformPorts, RowWrite, TransactOutcome},
    serde::de::DeserializeOwned,
};

use crate::{Error, ExitKind, Result};

/// Prefix of the rows with the changes of each revision.
const LOG_PREFIX: &str = "config/log/";
/// Times that a pool row is read and written again after a router changed it in between.
const POOL_ATTEMPTS: u32 = 50;

/// Operator's access to the platform.
#[derive(Clone)]
pub struct ControlClient {
    pub(crate) ports: PlatformPorts,
    pub(crate) routers: Vec<String>,
    shards: u32,
}

/// Records in force, with the version of the head row that they were read under.
pub(crate) struct HeadState {
    pub(crate) state: ConfigState,
    version: u64,
}

impl ControlClient {
    /// Uses ports of a platform; `shards` is the routers' setting.
    pub fn new(ports: PlatformPorts, shards: u32) -> Self {
        Self {
            ports,
            routers: Vec::new(),
            shards,
        }
    }

    /// Names the callers' addresses of routers, as `ip:port`, for `status`.
    #[must_use]
    pub fn with_routers(mut self, routers: Vec<String>) -> Self {
        self.routers = routers;
        self
    }

    /// Reads the records in force.
    pub(crate) async fn read_head(&self) -> Result<HeadState> {
        let row = self.ports.table.read(HEAD_KEY).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let head = match &row {
            Some(row) => parse::<HeadRow>(HEAD_KEY, &row.value)?.revision,
            None => 0,
        };
        let mut state = ConfigState::default();
        for row in self.ports.table.scan(LOG_PREFIX).await? {
            let delta: ConfigDelta = parse(&row.key, &row.value)?;
            if delta.revision <= head {
                state.apply(&delta)?;
            }
        }
        if state.revision() != head {
            let message = format!(
                "revision {head} is in force but only {} can be read; repeat the command",
                state.revision()
            );
            return Err(Error::refused(message));
        }
        Ok(HeadState { state, version })
    }

    /// Writes the next revision in one transaction; a lost answer is read back.
    pub(crate) async fn commit(&self, head: &HeadState, delta: &ConfigDelta) -> Result<()> {
        let row = HeadRow {
            revision: delta.revision,
        };
        let key = log_key(delta.revision);
        let writes = vec![
            RowWrite::replace(HEAD_KEY, head.version, text(&row)?),
            RowWrite::create(key.clone(), text(delta)?),
        ];
        match self.ports.table.transact(writes).await {
            Ok(TransactOutcome::Committed) => Ok(()),
            Ok(TransactOutcome::Conflict) => Err(self.conflict(delta.revision - 1).await),
            Err(error) if error.category() == Category::Unknown => {
                self.read_back(&key, delta).await
            }
            Err(error) => Err(error.into()),
        }
    }

    async fn read_back(&self, key: &str, delta: &ConfigDelta) -> Result<()> {
        let stored = self.ports.table.read(key).await.map_err(|_| {
            let message = format!(
                "the platform's answer was lost and cannot be read back; revision {} may be accepted, \
                 so repeat the command: a change that is in force is not made again",
                delta.revision
            );
            Error::new(ExitKind::Unreachable, message)
        })?;
        match stored {
            Some(row) if parse::<ConfigDelta>(key, &row.value)? == *delta => Ok(()),
            Some(_) => Err(self.conflict(delta.revision - 1).await),
            None => {
                let message =
                    "the platform lost the change; nothing was changed, repeat the command";
                Err(Error::new(ExitKind::Unreachable, message))
            }
        }
    }

    /// Error for a change that was prepared on an outdated revision.
    pub(crate) async fn conflict(&self, seen: Revision) -> Error {
        let now = match self.read_head().await {
            Ok(head) => format!("revision {} is in force now", head.state.revision()),
            Err(_) => "a newer revision is in force".to_owned(),
        };
        let message = format!(
            "the configuration was changed in between: {now}, and this change was prepared on \
             revision {seen}; nothing was changed, see 'jasminectl diff' and apply again"
        );
        Error::new(ExitKind::Conflict, message)
    }

    /// Adds top-ups to their pools unless they took effect already; says what was done.
    pub(crate) async fn settle_top_ups(&self, state: &ConfigState) -> Result<Vec<String>> {
        let mut lines = Vec::new();
        for record in state.records() {
            if let ConfigRecord::TopUp(top_up) = record {
                lines.extend(self.settle_top_up(top_up).await?);
            }
        }
        Ok(lines)
    }

    async fn settle_top_up(&self, top_up: &TopUpRecord) -> Result<Option<String>> {
        let key = pool_key(shard_of(&top_up.budget, self.shards));
        let mut attempted = None;
        for _ in 0..POOL_ATTEMPTS {
            let row = self.ports.table.read(&key).await?;
            let version = row.as_ref().map_or(0, |row| row.version);
            let mut pool: PoolRow = match &row {
                Some(row) => parse(&key, &row.value)?,
                None => PoolRow::default(),
            };
            let entry = pool.budgets.entry(top_up.budget.clone()).or_default();
            if entry.top_ups.contains(&top_up.name) {
                return Ok(attempted);
            }
            let line = add_top_up(entry, top_up);
            let write = RowWrite::replace(key.clone(), version, text(&pool)?);
            match self.ports.table.transact(vec![write]).await {
                Ok(TransactOutcome::Committed) => return Ok(Some(line)),
                Ok(TransactOutcome::Conflict) => {}
                // The next read shows whether the write took effect.
                Err(error) if error.category() == Category::Unknown => attempted = Some(line),
                Err(error) => return Err(error.into()),
            }
        }
        let message = format!(
            "top-up {} is accepted but not in the pool yet, because routers change the pool; repeat the command",
            top_up.name
        );
        Err(Error::new(ExitKind::Unreachable, message))
    }
}

/// Adds a top-up, or takes free tokens back for a negative amount.
fn add_top_up(entry: &mut PoolEntry, top_up: &TopUpRecord) -> String {
    let TopUpRecord {
        name,
        budget,
        amount,
    } = top_up;
    let Some(outcome) = entry.apply_payment(top_up) else {
        return format!("top-up {name} added {amount} tokens to budget {budget}");
    };
    let taken = outcome.taken;
    let line = format!("top-up {name} took {taken} tokens from budget {budget}");
    match outcome.shortfall {
        0 => line,
        rest => format!(
            "{line}; {rest} could not be taken: they are granted, spent or were never paid in"
        ),
    }
}

pub(crate) fn parse<T: DeserializeOwned>(key: &str, value: &str) -> Result<T> {
    serde_json::from_str(value).map_err(|error| {
        Error::refused(format!(
            "row {key} cannot be read: {error}; update jasminectl"
        ))
    })
}

fn text<T: serde::Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::refused(error.to_string()))
}
