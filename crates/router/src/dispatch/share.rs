use std::time::{Duration, Instant};

use {
    futures_util::future::join_all, jasminewall_core::suspect::CrashCount,
    jasminewall_wire::SuspectReport, tokio::time::timeout,
};

use super::{count_of, report_of};
use crate::{
    peer::{self, PeerView},
    state::RouterState,
};

/// Longest wait for a peer to take crash counts; a request that may run again waits for it, so that
/// its caller's retries through other routers are counted together.
const SHARE_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends the crash counts of fingerprints to all peers in reach and takes over theirs.
pub(super) async fn share(state: &RouterState, fingerprints: &[u64]) {
    let counts = state.routing.suspects().counts_of(fingerprints);
    let reports: Vec<SuspectReport> = counts.into_iter().map(report_of).collect();
    if reports.is_empty() {
        return;
    }
    let peers = state.fleet.peers();
    let replies = peers.iter().map(|peer| send(state, peer, &reports));
    let replies = join_all(replies).await;
    let counts: Vec<CrashCount> = replies.iter().flatten().map(count_of).collect();
    state.routing.suspects().merge(&counts, Instant::now());
}

async fn send(
    state: &RouterState,
    peer: &PeerView,
    reports: &[SuspectReport],
) -> Vec<SuspectReport> {
    let call = async {
        let client = peer::connect(state, peer.address).await?;
        anyhow::Ok(
            client
                .suspects(tarpc::context::current(), reports.to_vec())
                .await?,
        )
    };
    match timeout(SHARE_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply,
        _ => {
            tracing::warn!(peer = %peer.holder, "peer did not take the crash counts; it counts alone");
            peer::disconnect(state, peer.address);
            Vec::new()
        }
    }
}
