//! Reads configuration revisions from the table, the object store and peers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    futures_util::future::join_all,
    jasminewall_core::{
        Revision,
        member::owner_of,
        revision::{
            DeltaOutcome, HEAD_KEY, HeadRow, SNAPSHOT_EVERY, SNAPSHOT_PREFIX, log_key, snapshot_key,
        },
    },
    tarpc::context,
    tokio::time::timeout,
};

use super::{FleetIntervals, PLATFORM_TIMEOUT, membership, neighbour_views, sleep_jittered};
use crate::{peer, state::RouterState};

/// Timeout for reading or writing a whole snapshot, which has 45 MB at the target size of the
/// fleet.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(30);
/// Key prefix of the rows of all revisions.
const LOG_PREFIX: &str = "config/log/";

/// Follows the configuration until the router stops.
pub(super) async fn run(state: Arc<RouterState>) {
    catch_up(&state).await;
    loop {
        let poll = FleetIntervals::current(&state).head;
        tokio::select! {
            running = sleep_jittered(&state, poll) => {
                if !running {
                    return;
                }
                if state.fleet.is_ready() {
                    warn_table_error(follow_table(&state).await);
                } else {
                    catch_up(&state).await;
                }
            }
            () = state.fleet.newer_peer_added.notified() => {}
        }
        follow_newer_peers(&state).await;
    }
}

/// Catches up with the table and every reachable peer before the router becomes ready.
///
/// A router that restarts while the table is unreachable must not accept requests with an older
/// revision than a reachable peer has.
async fn catch_up(state: &Arc<RouterState>) {
    state.fleet.follower_mut().begin_sync();
    let (table, ()) = tokio::join!(follow_table(state), membership::probe_all(state));
    warn_table_error(table);
    follow_newer_peers(state).await;
    state.fleet.follower_mut().finish_sync();
}

fn warn_table_error(outcome: anyhow::Result<()>) {
    if let Err(error) = outcome {
        tracing::warn!(%error, "cannot read the configuration from the table; it is read from peers");
    }
}

/// Applies the revisions in the table that are newer than the one in force.
async fn follow_table(state: &Arc<RouterState>) -> anyhow::Result<()> {
    let table = state.ports.table.as_ref();
    let head = match timeout(PLATFORM_TIMEOUT, table.read(HEAD_KEY)).await?? {
        Some(row) => serde_json::from_str::<HeadRow>(&row.value)?.revision,
        None => 0,
    };
    let before = revision(state);
    state.fleet.follower_mut().observe_revision(head);
    let snapshot = match before {
        0 if head > 0 => read_snapshot(state).await,
        _ => Ok(()),
    };
    if let Err(error) = snapshot {
        tracing::warn!(%error, "cannot read a snapshot of the configuration; reading the whole log");
    }
    if revision(state) == 0 && head > 0 {
        let rows = timeout(PLATFORM_TIMEOUT, table.scan(LOG_PREFIX)).await??;
        for row in rows {
            state.fleet.apply(&row.value)?;
        }
    }
    while revision(state) < head {
        let next = revision(state) + 1;
        let row = timeout(PLATFORM_TIMEOUT, table.read(&log_key(next))).await??;
        let Some(row) = row else {
            anyhow::bail!("revision {next} is missing from the table");
        };
        state.fleet.apply(&row.value)?;
    }
    announce_revision(state, before);
    Ok(())
}

/// Applies the revisions of all peers in `newer_peers`.
async fn follow_newer_peers(state: &Arc<RouterState>) {
    let before = revision(state);
    loop {
        let next = state
            .fleet
            .newer_peers
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .pop();
        let Some(address) = next else { break };
        if let Err(error) = follow_peer(state, address).await {
            tracing::warn!(%error, %address, "cannot apply the configuration of a peer");
        }
    }
    announce_revision(state, before);
}

/// Applies deltas from a peer until it has no newer one.
async fn follow_peer(state: &Arc<RouterState>, address: SocketAddr) -> anyhow::Result<()> {
    loop {
        let client = peer::connect(state, address).await?;
        let deltas = client
            .configs_after(context::current(), revision(state))
            .await
            .inspect_err(|_| peer::disconnect(state, address))?;
        let mut progress = false;
        for text in &deltas {
            let mut outcome = state.fleet.apply(text)?;
            while let DeltaOutcome::NextPart(part) = outcome {
                let part = client.config_part(context::current(), u32::try_from(part)?);
                // If the revision of the peer changes during the transfer, its parts belong to
                // another snapshot, and the transfer starts over with part 0.
                let Some(text) = part.await? else { break };
                outcome = state.fleet.apply(&text)?;
            }
            progress |= matches!(
                outcome,
                DeltaOutcome::Applied(_) | DeltaOutcome::Restored(_)
            );
        }
        if !progress {
            return Ok(());
        }
    }
}

/// Applies the newest snapshot in the object store, if there is one.
async fn read_snapshot(state: &Arc<RouterState>) -> anyhow::Result<()> {
    let store = state.ports.object.as_ref();
    let keys = timeout(PLATFORM_TIMEOUT, store.list(SNAPSHOT_PREFIX)).await??;
    let Some(key) = keys.last() else {
        return Ok(());
    };
    let object = timeout(SNAPSHOT_TIMEOUT, store.get(key)).await??;
    let text = String::from_utf8(object.unwrap_or_default())?;
    for part in text.lines() {
        state.fleet.apply(part)?;
    }
    Ok(())
}

/// Writes a snapshot once every [`SNAPSHOT_EVERY`] revisions, a thousand, so that a starting router
/// need not read the whole log. Only the rendezvous owner of the period writes it.
async fn write_snapshot(state: &Arc<RouterState>, before: Revision) {
    let config = state.fleet.config();
    let revision = config.revision();
    let period = revision / SNAPSHOT_EVERY;
    if period <= before / SNAPSHOT_EVERY {
        return;
    }
    let candidates = {
        let domain = &state.setting.failure_domain;
        state.fleet.members().candidates(domain, Instant::now())
    };
    let owner = owner_of(&snapshot_key(period), candidates.iter().map(|(vm, _)| vm));
    if owner != Some(&state.holder.vm) {
        return;
    }
    let key = snapshot_key(revision);
    let put = state
        .ports
        .object
        .put_new(&key, config.snapshot().into_bytes());
    match timeout(SNAPSHOT_TIMEOUT, put).await {
        Ok(Ok(_)) => tracing::info!(revision, "configuration snapshot written"),
        Ok(Err(error)) => tracing::warn!(%error, revision, "cannot write a configuration snapshot"),
        Err(_) => tracing::warn!(revision, "timed out writing a configuration snapshot"),
    }
}

/// Probes the neighbours with an older revision, which then read the new one from this router.
fn announce_revision(state: &Arc<RouterState>, before: Revision) {
    let now = revision(state);
    if now <= before {
        return;
    }
    let state = state.clone();
    tokio::spawn(async move {
        write_snapshot(&state, before).await;
        let behind = neighbour_views(&state).into_iter();
        let behind = behind.filter(|view| view.revision < now);
        join_all(behind.map(|view| membership::probe(&state, view.address))).await;
    });
}

fn revision(state: &RouterState) -> Revision {
    state.fleet.config().revision()
}
