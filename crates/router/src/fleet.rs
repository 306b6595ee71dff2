//! Follows the configuration of the fleet.

use std::{
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use {
    jasminewall_core::{
        ConfigDelta, ConfigState, HolderId, Revision,
        revision::{HEAD_KEY, HeadRow, log_key},
    },
    jasminewall_platform::TablePort,
};

use crate::{
    peer::{self, PeerView},
    state::RouterState,
};

/// Time between two reads of the configuration head.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration that the router has in force.
#[derive(Default)]
pub(crate) struct FleetTable {
    config: RwLock<Arc<ConfigState>>,
    peers: RwLock<Vec<PeerView>>,
}

impl FleetTable {
    /// Configuration in force.
    pub(crate) fn config(&self) -> Arc<ConfigState> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Routers that answered their last probe.
    pub(crate) fn peers(&self) -> Vec<PeerView> {
        self.peers
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Takes the next revision into force.
    pub(crate) fn apply(&self, delta: &ConfigDelta) -> jasminewall_core::Result<bool> {
        let mut slot = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let mut config = ConfigState::clone(&slot);
        let changed = config.apply(delta)?;
        if changed {
            *slot = Arc::new(config);
        }
        Ok(changed)
    }
}

/// Reads new revisions until the router stops.
pub(crate) async fn run(state: Arc<RouterState>) {
    loop {
        if let Err(error) = catch_up(&state).await {
            tracing::warn!(%error, "cannot read the configuration");
        }
        probe_peers(&state).await;
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = state.stop.cancelled() => return,
        }
    }
}

/// Probes every peer of the settings and keeps those that answer.
async fn probe_peers(state: &RouterState) {
    let mut peers = Vec::new();
    for address in &state.setting.peers {
        let Ok(client) = peer::connect(*address).await else {
            continue;
        };
        let Ok(reply) = client.probe(tarpc::context::current()).await else {
            continue;
        };
        let holder = HolderId::new(reply.vm, reply.boot);
        peers.push(PeerView {
            holder,
            address: *address,
            same_domain: false,
        });
    }
    *state
        .fleet
        .peers
        .write()
        .unwrap_or_else(PoisonError::into_inner) = peers;
}

async fn catch_up(state: &RouterState) -> anyhow::Result<()> {
    let head = read_head(state.ports.table.as_ref()).await?;
    while state.fleet.config().revision() < head {
        let next = state.fleet.config().revision() + 1;
        let Some(row) = state.ports.table.read(&log_key(next)).await? else {
            anyhow::bail!("revision {next} is missing from the table");
        };
        state.fleet.apply(&serde_json::from_str(&row.value)?)?;
        tracing::info!(revision = next, "configuration revision in force");
    }
    Ok(())
}

async fn read_head(table: &dyn TablePort) -> anyhow::Result<Revision> {
    let Some(row) = table.read(HEAD_KEY).await? else {
        return Ok(0);
    };
    Ok(serde_json::from_str::<HeadRow>(&row.value)?.revision)
}
