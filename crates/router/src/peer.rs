//! Calls to and from the other routers of the fleet, over authenticated connections that are
//! reused.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    futures_util::StreamExt,
    jasminewall_core::{BootId, EndpointId, HolderId, Revision, VmId},
    jasminewall_wire::{
        CloseReply, CrashReport, PeerService, PeerServiceClient, ProbeReply, ProbeRequest,
        SettleRequest, TransferReply, TransferRequest,
    },
    tarpc::{
        client, context,
        server::{BaseChannel, Channel},
    },
    tokio::{net::TcpStream, time::timeout},
};

use crate::{
    dispatch, fleet,
    spend::{self, ChargeOutcome},
    state::RouterState,
};

/// Timeout for opening or accepting a connection, including the authentication.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed attempt to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Calls of one connection that are processed concurrently.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Another router that answers probes.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// Router run that answered the last probe.
    pub(crate) holder: HolderId,
    /// Address of its peer service.
    pub(crate) address: SocketAddr,
    /// Whether it is in the failure domain of this router.
    pub(crate) same_domain: bool,
}

/// Clients of peers by address, reused from call to call.
#[derive(Default)]
pub(crate) struct PeerClients {
    clients: Mutex<HashMap<SocketAddr, PeerServiceClient>>,
}

impl PeerClients {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerServiceClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the client for the peer service at an address; connects if there is none yet.
pub(crate) async fn connect(
    state: &RouterState,
    address: SocketAddr,
) -> anyhow::Result<PeerServiceClient> {
    let cached = state.peer_clients.lock().get(&address).cloned();
    if let Some(client) = cached {
        return Ok(client);
    }
    let open = async {
        let stream = TcpStream::connect(address).await?;
        jasminewall_wire::connect(stream, &state.setting.secret, &state.holder).await
    };
    let (_, transport) = timeout(CONNECT_TIMEOUT, open).await??;
    let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
    state.peer_clients.lock().insert(address, client.clone());
    Ok(client)
}

/// Drops the client for an address. Call this after a call that failed or timed out.
pub(crate) fn disconnect(state: &RouterState, address: SocketAddr) {
    state.peer_clients.lock().remove(&address);
}

/// Serves peers until the router stops.
pub(crate) async fn run(state: Arc<RouterState>, listener: std::net::TcpListener) {
    if let Err(error) = serve(&state, listener).await {
        tracing::error!(%error, "the peer listener failed");
    }
    state.peer_clients.lock().clear();
}

async fn serve(state: &Arc<RouterState>, listener: std::net::TcpListener) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let (stream, address) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    // The error may pass, as when the process is out of file handles, so the
                    // listener stays open.
                    tracing::warn!(%error, "cannot accept a peer connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = state.stop.cancelled() => return Ok(()),
        };
        let state = state.clone();
        tokio::spawn(async move {
            let stop = state.stop.clone();
            tokio::select! {
                served = serve_peer(state, stream) => {
                    if let Err(error) = served {
                        tracing::warn!(%address, %error, "peer connection refused: the handshake failed");
                    }
                }
                () = stop.cancelled() => {}
            }
        });
    }
}

async fn serve_peer(state: Arc<RouterState>, stream: TcpStream) -> anyhow::Result<()> {
    let accept = jasminewall_wire::accept(stream, &state.setting.secret, &state.holder);
    let (peer, transport) = timeout(CONNECT_TIMEOUT, accept).await??;
    let server = PeerServer { state, peer };
    BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call)
        .await;
    Ok(())
}

#[derive(Clone)]
struct PeerServer {
    state: Arc<RouterState>,
    /// Router run at the other end, as authenticated by the frames of the connection.
    peer: HolderId,
}

impl PeerService for PeerServer {
    async fn probe(self, _: context::Context, mut request: ProbeRequest) -> ProbeReply {
        request.holder = self.peer;
        fleet::answer_probe(&self.state, &request)
    }

    async fn transfer(self, _: context::Context, request: TransferRequest) -> TransferReply {
        if request.receiver != self.peer {
            tracing::warn!(peer = %self.peer, receiver = %request.receiver, "refused a transfer request on behalf of another router");
            return TransferReply {
                tokens: 0,
                remaining: 0,
            };
        }
        spend::give(&self.state, &request)
    }

    async fn close_peer(self, _: context::Context, giver: HolderId) -> CloseReply {
        spend::close_peer(&self.state, &giver)
    }

    async fn configs_after(self, _: context::Context, revision: Revision) -> Vec<String> {
        self.state.fleet.deltas_after(revision)
    }

    async fn config_part(self, _: context::Context, part: u32) -> Option<String> {
        self.state.fleet.snapshot_part(part)
    }

    async fn exchange_crashes(
        self,
        _: context::Context,
        reports: Vec<CrashReport>,
    ) -> Vec<CrashReport> {
        dispatch::merge_crash_counts(&self.state, &reports)
    }

    async fn settle(self, _: context::Context, request: SettleRequest) -> bool {
        spend::settle(
            &self.state,
            &request.request,
            request.tokens,
            ChargeOutcome::Ran,
        )
        .is_some()
    }

    async fn leaving(self, _: context::Context, name: VmId, boot: BootId) {
        match boot {
            0 => fleet::mark_endpoint_leaving(&self.state, &EndpointId::from(name)),
            _ => fleet::mark_member_leaving(&self.state, &HolderId::new(name, boot)),
        }
    }
}
