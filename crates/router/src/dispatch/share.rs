use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    futures_util::future::join_all, jasminewall_core::crash::CrashCount,
    jasminewall_wire::CrashReport, tokio::time::timeout,
};

use super::{to_count, to_report};
use crate::{peer, state::RouterState};

/// Timeout for exchanging crash counts with a peer. A request that may be retried waits for the
/// exchange, so that the caller's retries through other routers are counted together.
const SHARE_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends the crash counts of fingerprints to all peers that may be running, and merges the counts in
/// their replies into those of this router.
///
/// Peers that have not answered a probe yet are included: right after the start of a fleet, a caller
/// may retry through a router that this one has not heard from.
pub(super) async fn share_counts(state: &RouterState, fingerprints: &[u64]) {
    let counts = state.routing.crash_counts().counts_of(fingerprints);
    let reports: Vec<CrashReport> = counts.into_iter().map(to_report).collect();
    if reports.is_empty() {
        return;
    }
    let peers = state.fleet.peer_addresses(&state.setting.peers);
    let exchanges = peers
        .iter()
        .map(|peer| send_reports(state, *peer, &reports));
    let replies = join_all(exchanges).await;
    let received: Vec<CrashCount> = replies.iter().flatten().map(to_count).collect();
    state
        .routing
        .crash_counts()
        .merge(&received, Instant::now());
}

async fn send_reports(
    state: &RouterState,
    peer: SocketAddr,
    reports: &[CrashReport],
) -> Vec<CrashReport> {
    let call = async {
        let client = peer::connect(state, peer).await?;
        anyhow::Ok(
            client
                .exchange_crashes(tarpc::context::current(), reports.to_vec())
                .await?,
        )
    };
    match timeout(SHARE_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply,
        _ => {
            tracing::warn!(%peer, "cannot exchange crash counts with the peer; each router counts on its own");
            peer::disconnect(state, peer);
            Vec::new()
        }
    }
}
