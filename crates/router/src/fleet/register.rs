//! Registers this run in the table, and removes the registration when the run ends.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use {
    jasminewall_core::{
        budget::grant_key,
        member::{RegistrationRow, registration_key},
    },
    jasminewall_ports::{RowWrite, TableRow, TransactOutcome},
    tokio::time::timeout,
};

use super::{PLATFORM_TIMEOUT, sleep_jittered};
use crate::state::RouterState;

/// Delay after a failed attempt to register.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks that no later run of the VM replaced this one.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Registers the run, then checks periodically that no later run of the VM replaced it.
pub(super) async fn run(state: Arc<RouterState>) {
    loop {
        let wait = match register(&state).await {
            Ok(true) => CHECK_INTERVAL,
            Ok(false) => {
                tracing::error!(
                    holder = %state.holder,
                    "a later run registered this VM; this run accepts no more requests and must be stopped"
                );
                state.fleet.leaving.store(true, Ordering::SeqCst);
                return;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot register; retrying");
                RETRY_INTERVAL
            }
        };
        if !sleep_jittered(&state, wait).await {
            return;
        }
    }
}

/// Registers the run unless it is registered already; `false` when a later run replaced it.
async fn register(state: &RouterState) -> anyhow::Result<bool> {
    let found = read(state).await?;
    let version = found.as_ref().map_or(0, |(row, _)| row.version);
    let found = found.map(|(_, registration)| registration);
    if let Some(registration) = &found {
        if registration.boot == state.holder.boot {
            state.fleet.registered.store(true, Ordering::SeqCst);
            return Ok(true);
        }
        let boot = state.holder.boot;
        if registration.earlier.iter().any(|run| run.boot == boot) {
            return Ok(false);
        }
    }
    let row = RegistrationRow {
        vm: state.holder.vm.clone(),
        boot: state.holder.boot,
        address: state.setting.peer_listen,
        failure_domain: state.setting.failure_domain.clone(),
        stopped: false,
        earlier: Vec::new(),
    }
    .replacing(found);
    let write = RowWrite::replace(
        registration_key(&state.holder.vm),
        version,
        serde_json::to_string(&row)?,
    );
    match transact(state, write).await? {
        TransactOutcome::Committed => {
            state.fleet.registered.store(true, Ordering::SeqCst);
            tracing::info!(holder = %state.holder, earlier = row.earlier.len(), "registered");
            Ok(true)
        }
        TransactOutcome::Conflict => {
            anyhow::bail!("another run changed the registration of this VM at the same time")
        }
    }
}

/// Removes the registration of a run whose account is closed.
///
/// The row is deleted when nothing depends on it. It stays, marked as stopped, when it is the proof
/// that earlier runs were replaced or that this run ended with part of its account open.
///
/// # Errors
///
/// When the table cannot be reached. The row then stays, and the VM list shows later that the run
/// is gone.
pub(crate) async fn remove(state: &RouterState) -> anyhow::Result<()> {
    let Some((row, mut registration)) = read(state).await? else {
        return Ok(());
    };
    if registration.boot != state.holder.boot {
        return Ok(());
    }
    let write = if registration.earlier.is_empty() && !has_account(state).await? {
        RowWrite::delete(row.key, row.version)
    } else {
        registration.stopped = true;
        RowWrite::replace(row.key, row.version, serde_json::to_string(&registration)?)
    };
    transact(state, write).await?;
    state.fleet.registered.store(false, Ordering::SeqCst);
    Ok(())
}

/// Whether the table has a grant account of this run.
async fn has_account(state: &RouterState) -> anyhow::Result<bool> {
    for shard in 0..state.setting.shards {
        let key = grant_key(shard, &state.holder);
        let row = timeout(PLATFORM_TIMEOUT, state.ports.table.read(&key)).await??;
        if row.is_some() {
            return Ok(true);
        }
    }
    Ok(false)
}

async fn read(state: &RouterState) -> anyhow::Result<Option<(TableRow, RegistrationRow)>> {
    let key = registration_key(&state.holder.vm);
    let row = timeout(PLATFORM_TIMEOUT, state.ports.table.read(&key)).await??;
    let Some(row) = row else {
        return Ok(None);
    };
    let registration = serde_json::from_str(&row.value)?;
    Ok(Some((row, registration)))
}

async fn transact(state: &RouterState, write: RowWrite) -> anyhow::Result<TransactOutcome> {
    let transact = state.ports.table.transact(vec![write]);
    Ok(timeout(PLATFORM_TIMEOUT, transact).await??)
}
