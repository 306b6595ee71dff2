//! Reads and changes the configuration and the pool rows through the platform.

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

/// Key prefix of the rows that hold the changes of each revision.
const LOG_PREFIX: &str = "config/log/";
/// Maximum attempts to update a pool row, which routers may change at the same time.
const MAX_POOL_ATTEMPTS: u32 = 50;

/// Client with which operators read and change the configuration and the budgets of a fleet.
#[derive(Clone)]
pub struct ControlClient {
    pub(crate) ports: PlatformPorts,
    pub(crate) routers: Vec<String>,
    shards: u32,
}

/// Configuration in force, with the version of the head row at the time of the read.
pub(crate) struct HeadState {
    pub(crate) state: ConfigState,
    version: u64,
}

impl ControlClient {
    /// Creates a client; `shards` must equal the number of budget shards in the routers' settings.
    pub fn new(ports: PlatformPorts, shards: u32) -> Self {
        Self {
            ports,
            routers: Vec::new(),
            shards,
        }
    }

    /// Sets the caller-facing addresses of the routers, as `ip:port`, that `status` queries.
    #[must_use]
    pub fn with_routers(mut self, routers: Vec<String>) -> Self {
        self.routers = routers;
        self
    }

    /// Reads the configuration in force.
    pub(crate) async fn read_head(&self) -> Result<HeadState> {
        let row = self.ports.table.read(HEAD_KEY).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let head = match &row {
            Some(row) => parse_row::<HeadRow>(HEAD_KEY, &row.value)?.revision,
            None => 0,
        };
        let mut state = ConfigState::default();
        for row in self.ports.table.scan(LOG_PREFIX).await? {
            let delta: ConfigDelta = parse_row(&row.key, &row.value)?;
            if delta.revision <= head {
                state.apply(&delta)?;
            }
        }
        if state.revision() != head {
            let message = format!(
                "revision {head} is in force, but the log is readable up to revision {} only; repeat the command",
                state.revision()
            );
            return Err(Error::refused(message));
        }
        Ok(HeadState { state, version })
    }

    /// Commits the next revision in one transaction. If the outcome is unknown, reads the log row to
    /// determine it.
    pub(crate) async fn commit(&self, head: &HeadState, delta: &ConfigDelta) -> Result<()> {
        let row = HeadRow {
            revision: delta.revision,
        };
        let key = log_key(delta.revision);
        let writes = vec![
            RowWrite::replace(HEAD_KEY, head.version, to_json(&row)?),
            RowWrite::create(key.clone(), to_json(delta)?),
        ];
        match self.ports.table.transact(writes).await {
            Ok(TransactOutcome::Committed) => Ok(()),
            Ok(TransactOutcome::Conflict) => Err(self.conflict_error(delta.revision - 1).await),
            Err(error) if error.category() == Category::Unknown => {
                self.confirm_commit(&key, delta).await
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Finds out whether a commit of unknown outcome took effect.
    async fn confirm_commit(&self, key: &str, delta: &ConfigDelta) -> Result<()> {
        let stored = self.ports.table.read(key).await.map_err(|_| {
            let message = format!(
                "the platform's response was lost and the outcome cannot be read back; revision {} may have \
                 been committed, so repeat the command: a committed change is not applied again",
                delta.revision
            );
            Error::new(ExitKind::Unreachable, message)
        })?;
        match stored {
            Some(row) if parse_row::<ConfigDelta>(key, &row.value)? == *delta => Ok(()),
            Some(_) => Err(self.conflict_error(delta.revision - 1).await),
            None => {
                let message = "the platform did not commit the change; nothing was changed, repeat the command";
                Err(Error::new(ExitKind::Unreachable, message))
            }
        }
    }

    /// Builds the error for a change that is based on an outdated revision.
    pub(crate) async fn conflict_error(&self, base: Revision) -> Error {
        let current = match self.read_head().await {
            Ok(head) => format!("revision {} is in force now", head.state.revision()),
            Err(_) => "a newer revision is in force".to_owned(),
        };
        let message = format!(
            "the configuration was changed in between: {current}, and this change was prepared on \
             revision {base}; nothing was changed, see 'jasminectl diff' and apply again"
        );
        Error::new(ExitKind::Conflict, message)
    }

    /// Applies the top-ups that are not in their pools yet. Returns one line per applied top-up.
    pub(crate) async fn apply_top_ups(&self, state: &ConfigState) -> Result<Vec<String>> {
        let mut lines = Vec::new();
        for record in state.records() {
            if let ConfigRecord::TopUp(top_up) = record {
                lines.extend(self.apply_top_up(top_up).await?);
            }
        }
        Ok(lines)
    }

    async fn apply_top_up(&self, top_up: &TopUpRecord) -> Result<Option<String>> {
        let key = pool_key(shard_of(&top_up.budget, self.shards));
        let mut unconfirmed = None;
        for _ in 0..MAX_POOL_ATTEMPTS {
            let row = self.ports.table.read(&key).await?;
            let version = row.as_ref().map_or(0, |row| row.version);
            let mut pool: PoolRow = match &row {
                Some(row) => parse_row(&key, &row.value)?,
                None => PoolRow::default(),
            };
            let entry = pool.budgets.entry(top_up.budget.clone()).or_default();
            if entry.top_ups.contains(&top_up.name) {
                return Ok(unconfirmed);
            }
            let line = add_to_pool(entry, top_up);
            let write = RowWrite::replace(key.clone(), version, to_json(&pool)?);
            match self.ports.table.transact(vec![write]).await {
                Ok(TransactOutcome::Committed) => return Ok(Some(line)),
                Ok(TransactOutcome::Conflict) => {}
                // The next read shows whether this write took effect.
                Err(error) if error.category() == Category::Unknown => unconfirmed = Some(line),
                Err(error) => return Err(error.into()),
            }
        }
        let message = format!(
            "top-up {} is accepted but not in its pool yet: the pool row kept changing during all attempts; repeat the command",
            top_up.name
        );
        Err(Error::new(ExitKind::Unreachable, message))
    }
}

/// Adds a top-up to a pool entry and describes the change. A negative amount takes free tokens back.
fn add_to_pool(entry: &mut PoolEntry, top_up: &TopUpRecord) -> String {
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
        shortfall => format!(
            "{line}; {shortfall} could not be taken: they are granted, spent or were never paid in"
        ),
    }
}

/// Parses the JSON value of a stored row or object.
pub(crate) fn parse_row<T: DeserializeOwned>(key: &str, value: &str) -> Result<T> {
    serde_json::from_str(value).map_err(|error| {
        Error::refused(format!(
            "cannot parse row {key}: {error}; update jasminectl"
        ))
    })
}

fn to_json<T: serde::Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::refused(error.to_string()))
}
