//! Reads configuration revisions from the table and from peers.

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

use super::{FleetIntervals, PLATFORM_TIMEOUT, membership, neighbour_views, pause};
use crate::{peer, state::RouterState};

/// Longest wait for a whole snapshot, 45 MB at the target size.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(30);
/// Prefix of the rows of all revisions.
const LOG_PREFIX: &str = "config/log/";

/// Follows the configuration until the router stops.
pub(super) async fn run(state: Arc<RouterState>) {
    ask(&state).await;
    loop {
        let poll = FleetIntervals::current(&state).head;
        tokio::select! {
            more = pause(&state, poll) => {
                if !more {
                    return;
                }
                if state.fleet.is_ready() {
                    log_table(follow_table(&state).await);
                } else {
                    ask(&state).await;
                }
            }
            () = state.fleet.hinted.notified() => {}
        }
        follow_hints(&state).await;
    }
}

/// Asks the table and every peer in reach before the first answer counts: a router that restarts
/// while the table is away must not take requests with an older revision than a peer in reach has.
async fn ask(state: &Arc<RouterState>) {
    state.fleet.follower_mut().begin_sync();
    let (table, ()) = tokio::join!(follow_table(state), membership::probe_all(state));
    log_table(table);
    follow_hints(state).await;
    state.fleet.follower_mut().finish_sync();
}

fn log_table(outcome: anyhow::Result<()>) {
    if let Err(error) = outcome {
        tracing::warn!(%error, "cannot read the configuration from the table; peers are asked");
    }
}

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
        tracing::warn!(%error, "cannot read a snapshot of the configuration; the whole log is read");
    }
    if revision(state) == 0 && head > 0 {
        let rows = timeout(PLATFORM_TIMEOUT, table.scan(LOG_PREFIX)).await??;
        for row in rows {
            state.fleet.offer(&row.value)?;
        }
    }
    while revision(state) < head {
        let next = revision(state) + 1;
        let row = timeout(PLATFORM_TIMEOUT, table.read(&log_key(next))).await??;
        let Some(row) = row else {
            anyhow::bail!("revision {next} is missing from the table");
        };
        state.fleet.offer(&row.value)?;
    }
    announce_since(state, before);
    Ok(())
}

/// Reads the deltas that peers named.
async fn follow_hints(state: &Arc<RouterState>) {
    let before = revision(state);
    loop {
        let hint = state
            .fleet
            .hints
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .pop();
        let Some(address) = hint else { break };
        if let Err(error) = follow_peer(state, address).await {
            tracing::warn!(%error, %address, "cannot take the configuration of a peer into force");
        }
    }
    announce_since(state, before);
}

/// Reads deltas from a peer until it has no newer one.
async fn follow_peer(state: &Arc<RouterState>, address: SocketAddr) -> anyhow::Result<()> {
    loop {
        let client = peer::connect(state, address).await?;
        let deltas = client
            .configs_after(context::current(), revision(state))
            .await
            .inspect_err(|_| peer::disconnect(state, address))?;
        let mut progress = false;
        for text in &deltas {
            let mut outcome = state.fleet.offer(text)?;
            while let DeltaOutcome::NextPart(part) = outcome {
                let part = client.config_part(context::current(), u32::try_from(part)?);
                // A peer whose revision changed meanwhile sends parts of another snapshot, which
                // start over with part 0.
                let Some(text) = part.await? else { break };
                outcome = state.fleet.offer(&text)?;
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

/// Takes the newest snapshot of the object store into force, if there is one.
async fn read_snapshot(state: &Arc<RouterState>) -> anyhow::Result<()> {
    let store = state.ports.object.as_ref();
    let keys = timeout(PLATFORM_TIMEOUT, store.list(SNAPSHOT_PREFIX)).await??;
    let Some(key) = keys.last() else {
        return Ok(());
    };
    let object = timeout(SNAPSHOT_TIMEOUT, store.get(key)).await??;
    let text = String::from_utf8(object.unwrap_or_default())?;
    for part in text.lines() {
        state.fleet.offer(part)?;
    }
    Ok(())
}

/// Writes a snapshot now and then, so that a router that starts need not read the whole log. The
/// rendezvous owner of each thousand of revisions writes it.
async fn write_snapshot(state: &Arc<RouterState>, before: Revision) {
    let config = state.fleet.config();
    let revision = config.revision();
    let turn = revision / SNAPSHOT_EVERY;
    if turn <= before / SNAPSHOT_EVERY {
        return;
    }
    let candidates = {
        let domain = &state.setting.failure_domain;
        state.fleet.members().candidates(domain, Instant::now())
    };
    let owner = owner_of(&snapshot_key(turn), candidates.iter().map(|(vm, _)| vm));
    if owner != Some(&state.holder.vm) {
        return;
    }
    let key = snapshot_key(revision);
    let put = state
        .ports
        .object
        .put_new(&key, config.snapshot().into_bytes());
    match timeout(SNAPSHOT_TIMEOUT, put).await {
        Ok(Ok(_)) => tracing::info!(revision, "snapshot of the configuration written"),
        Ok(Err(error)) => tracing::warn!(%error, revision, "cannot write a snapshot"),
        Err(_) => tracing::warn!(revision, "writing a snapshot took too long"),
    }
}

/// Tells neighbours with an older revision of the new one; they read it from here.
fn announce_since(state: &Arc<RouterState>, before: Revision) {
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
