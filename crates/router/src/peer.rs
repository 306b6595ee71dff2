//! Calls to and from the other routers of the fleet, over authenticated connections that are kept.

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
        CloseReply, PeerService, PeerServiceClient, ProbeReply, ProbeRequest, SettleRequest,
        SuspectReport, TransferReply, TransferRequest,
    },
    tarpc::{
        client, context,
        server::{BaseChannel, Channel},
    },
    tokio::{net::TcpStream, time::timeout},
};

use crate::{
    dispatch, fleet,
    spend::{self, RequestOutcome},
    state::RouterState,
};

/// Longest time to open a connection to a peer, or to accept one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before the next attempt to accept after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Calls that a peer may have open on one connection.
const CALLS_AT_ONCE: usize = 64;

/// Another router that answers probes.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// Router run that answered the last probe.
    pub(crate) holder: HolderId,
    /// Address of its peer service.
    pub(crate) address: SocketAddr,
    /// Whether it stands in the failure domain of this router.
    pub(crate) same_domain: bool,
}

/// Connections to peers, kept from call to call.
#[derive(Default)]
pub(crate) struct PeerLinks {
    clients: Mutex<HashMap<SocketAddr, PeerServiceClient>>,
}

impl PeerLinks {
    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerServiceClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Client for the peer service at an address, on the connection kept or a new one.
pub(crate) async fn connect(
    state: &RouterState,
    address: SocketAddr,
) -> anyhow::Result<PeerServiceClient> {
    let kept = state.links.clients().get(&address).cloned();
    if let Some(client) = kept {
        return Ok(client);
    }
    let open = async {
        let stream = TcpStream::connect(address).await?;
        jasminewall_wire::connect(stream, &state.setting.secret, &state.holder).await
    };
    let (_, transport) = timeout(CONNECT_TIMEOUT, open).await??;
    let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
    state.links.clients().insert(address, client.clone());
    Ok(client)
}

/// Drops the connection kept to an address; call it when a call failed or went unanswered.
pub(crate) fn disconnect(state: &RouterState, address: SocketAddr) {
    state.links.clients().remove(&address);
}

/// Serves peers until the router stops.
pub(crate) async fn run(state: Arc<RouterState>, listener: std::net::TcpListener) {
    if let Err(error) = serve(&state, listener).await {
        tracing::error!(%error, "the listener for peers failed");
    }
    state.links.clients().clear();
}

async fn serve(state: &Arc<RouterState>, listener: std::net::TcpListener) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let (stream, address) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    // Running out of file handles passes; the listener must outlive it.
                    tracing::warn!(%error, "cannot accept a connection of a peer");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
                        tracing::warn!(%address, %error, "a connection of a peer was refused");
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
        .for_each_concurrent(CALLS_AT_ONCE, |call| call)
        .await;
    Ok(())
}

#[derive(Clone)]
struct PeerServer {
    state: Arc<RouterState>,
    /// Run at the other end, as authenticated by the frames of the connection.
    peer: HolderId,
}

impl PeerService for PeerServer {
    async fn probe(self, _: context::Context, mut request: ProbeRequest) -> ProbeReply {
        request.holder = self.peer;
        fleet::answer_probe(&self.state, &request)
    }

    async fn transfer(self, _: context::Context, request: TransferRequest) -> TransferReply {
        if request.receiver != self.peer {
            tracing::warn!(peer = %self.peer, receiver = %request.receiver, "transfer for another router refused");
            return TransferReply {
                tokens: 0,
                remaining: 0,
            };
        }
        spend::give(&self.state, &request)
    }

    async fn close_peer(self, _: context::Context, giver: HolderId) -> CloseReply {
        spend::close_giver(&self.state, &giver)
    }

    async fn configs_after(self, _: context::Context, revision: Revision) -> Vec<String> {
        self.state.fleet.deltas_after(revision)
    }

    async fn config_part(self, _: context::Context, part: u32) -> Option<String> {
        self.state.fleet.snapshot_part(part)
    }

    async fn exchange_suspects(
        self,
        _: context::Context,
        reports: Vec<SuspectReport>,
    ) -> Vec<SuspectReport> {
        dispatch::merge_crash_counts(&self.state, &reports)
    }

    async fn settle(self, _: context::Context, request: SettleRequest) -> bool {
        spend::settle(
            &self.state,
            &request.request,
            request.tokens,
            RequestOutcome::Ran,
        )
        .is_some()
    }

    async fn leaving(self, _: context::Context, name: VmId, boot: BootId) {
        match boot {
            0 => fleet::note_endpoint_leaving(&self.state, &EndpointId::from(name)),
            _ => fleet::note_member_leaving(&self.state, &HolderId::new(name, boot)),
        }
    }
}
