use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    futures_util::future::join_all, jasminewall_core::crash::CrashCount,
    jasminewall_wire::SuspectReport, tokio::time::timeout,
};

use super::{count_of, report_of};
use crate::{peer, state::RouterState};

/// Longest wait for a peer to take crash counts; a request that may run again waits for it, so that
/// its caller's retries through other routers are counted together.
const SHARE_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends the crash counts of fingerprints to all peers that may run and takes over theirs.
///
/// Peers that have not answered a probe yet are asked as well: right after the start of a fleet,
/// callers send the same request to a router that knows of this one before this one knows of it.
pub(super) async fn share(state: &RouterState, fingerprints: &[u64]) {
    let counts = state.routing.suspects().counts_of(fingerprints);
    let reports: Vec<SuspectReport> = counts.into_iter().map(report_of).collect();
    if reports.is_empty() {
        return;
    }
    let peers = state.fleet.peer_addresses(&state.setting.peers);
    let replies = peers.iter().map(|peer| send(state, *peer, &reports));
    let replies = join_all(replies).await;
    let counts: Vec<CrashCount> = replies.iter().flatten().map(count_of).collect();
    state.routing.suspects().merge(&counts, Instant::now());
}

async fn send(
    state: &RouterState,
    peer: SocketAddr,
    reports: &[SuspectReport],
) -> Vec<SuspectReport> {
    let call = async {
        let client = peer::connect(state, peer).await?;
        anyhow::Ok(
            client
                .suspects(tarpc::context::current(), reports.to_vec())
                .await?,
        )
    };
    match timeout(SHARE_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply,
        _ => {
            tracing::warn!(%peer, "peer did not take the crash counts; it counts alone");
            peer::disconnect(state, peer);
            Vec::new()
        }
    }
}
