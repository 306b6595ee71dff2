//! Reads configuration revisions from the table and from peers.

use std::{net::SocketAddr, sync::Arc};

use {
    futures_util::future::join_all,
    jasminewall_core::{
        Revision,
        revision::{DeltaOutcome, HEAD_KEY, HeadRow, log_key},
    },
    tarpc::context,
    tokio::time::timeout,
};

use super::{FleetIntervals, PLATFORM_TIMEOUT, membership, neighbour_views, pause};
use crate::{peer, state::RouterState};

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
    state.fleet.follower_mut().begin_asking();
    let (table, ()) = tokio::join!(follow_table(state), membership::probe_all(state));
    log_table(table);
    follow_hints(state).await;
    state.fleet.follower_mut().finish_asking();
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
    state.fleet.follower_mut().hear(head);
    if before == 0 && head > 0 {
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
            progress |= matches!(state.fleet.offer(text)?, DeltaOutcome::Applied(_));
        }
        if !progress {
            return Ok(());
        }
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
        let behind = neighbour_views(&state).into_iter();
        let behind = behind.filter(|view| view.revision < now);
        join_all(behind.map(|view| membership::probe(&state, view.address))).await;
    });
}

fn revision(state: &RouterState) -> Revision {
    state.fleet.config().revision()
}
