//! Starts the settlement of the accounts of router runs that are proven to be dead.

use std::{sync::Arc, time::Duration};

use {
    jasminewall_core::{
        HolderId, VmId,
        member::{DeathProof, MemberState, owner_of},
    },
    tokio::time::Instant,
};

use super::pause;
use crate::state::RouterState;

/// Time between two attempts to settle the accounts that are still open.
const RECLAIM_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a router that does not own a death forgets it. The owner may die as well, so
/// the others must remember the death for longer than a death takes to be noticed.
const DEATH_MEMORY: Duration = Duration::from_secs(3_600);

/// Death whose account may not be settled yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingDeath {
    proof: DeathProof,
    expires: Instant,
}

/// Notes a proven death; the owner of the death among the live routers settles its account.
pub(super) fn note_death(state: &RouterState, dead: &HolderId, proof: DeathProof) {
    tracing::info!(%dead, ?proof, "router run is proven dead");
    let expires = Instant::now() + DEATH_MEMORY;
    let death = PendingDeath { proof, expires };
    state.fleet.deaths().insert(dead.clone(), death);
}

/// Settles the accounts of the deaths that this router owns until the router stops.
pub(super) async fn run(state: Arc<RouterState>) {
    while pause(&state, RECLAIM_INTERVAL).await {
        let pending: Vec<(HolderId, PendingDeath)> = {
            let deaths = state.fleet.deaths();
            deaths
                .iter()
                .map(|(dead, death)| (dead.clone(), *death))
                .collect()
        };
        for (dead, death) in pending {
            if is_finished(&state, &dead, death).await {
                state.fleet.deaths().remove(&dead);
            }
        }
    }
}

async fn is_finished(state: &RouterState, dead: &HolderId, death: PendingDeath) -> bool {
    if !is_owner(state, dead) {
        return Instant::now() >= death.expires;
    }
    match state.reclaim(dead, death.proof).await {
        Ok(report) => report.open_rows == 0,
        Err(error) => {
            tracing::warn!(%dead, %error, "account of a dead router is not settled yet");
            false
        }
    }
}

/// Whether this router settles a death, so that the others do not repeat its table reads.
fn is_owner(state: &RouterState, dead: &HolderId) -> bool {
    let views = state.fleet.members().views(std::time::Instant::now());
    let alive = views
        .into_iter()
        .filter(|view| view.state == MemberState::Alive);
    let mut vms: Vec<VmId> = alive.map(|view| view.holder.vm).collect();
    vms.push(state.holder.vm.clone());
    owner_of(&dead.to_string(), &vms) == Some(&state.holder.vm)
}
