//! Calls to and from the other routers of the fleet.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    futures_util::StreamExt,
    jasminewall_core::{HolderId, Revision, VmId},
    jasminewall_wire::{
        CloseReply, PeerService, PeerServiceClient, ProbeReply, SettleRequest, SuspectReport,
        TransferReply, TransferRequest,
    },
    tarpc::{
        client, context,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Bincode,
    },
};

use crate::{
    dispatch,
    spend::{self, RequestEnd},
    state::RouterState,
};

/// Largest frame between routers, in bytes.
const FRAME_LIMIT: usize = 1 << 20;
/// Longest time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Another router, as last probed.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// Router run that answered the last probe.
    pub(crate) holder: HolderId,
    /// Address of its peer service.
    pub(crate) address: SocketAddr,
    /// Whether it stands in the failure domain of this router.
    pub(crate) same_domain: bool,
}

/// Connects to the peer service at an address.
pub(crate) async fn connect(address: SocketAddr) -> anyhow::Result<PeerServiceClient> {
    let mut connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(FRAME_LIMIT);
    let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
}

/// Serves peers until the router stops.
pub(crate) async fn run(state: Arc<RouterState>, listener: std::net::TcpListener) {
    if let Err(error) = serve(state, listener).await {
        tracing::error!(%error, "the listener for peers failed");
    }
}

async fn serve(state: Arc<RouterState>, listener: std::net::TcpListener) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted?,
            () = state.stop.cancelled() => return Ok(()),
        };
        let codec = tarpc::tokio_util::codec::LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT)
            .new_framed(stream);
        let transport = tarpc::serde_transport::new(codec, Bincode::default());
        let calls = BaseChannel::with_defaults(transport).execute(
            PeerServer {
                state: state.clone(),
            }
            .serve(),
        );
        tokio::spawn(calls.for_each(|call| async move {
            tokio::spawn(call);
        }));
    }
}

#[derive(Clone)]
struct PeerServer {
    state: Arc<RouterState>,
}

impl PeerService for PeerServer {
    async fn probe(self, _: context::Context) -> ProbeReply {
        ProbeReply {
            vm: self.state.holder.vm.clone(),
            boot: self.state.holder.boot,
            revision: self.state.fleet.config().revision(),
            leaving: self.state.stop.is_cancelled(),
        }
    }

    async fn transfer(self, _: context::Context, request: TransferRequest) -> TransferReply {
        spend::give(&self.state, &request)
    }

    async fn close_giver(self, _: context::Context, giver: HolderId) -> CloseReply {
        spend::close_giver(&self.state, &giver)
    }

    async fn configs_after(self, _: context::Context, _revision: Revision) -> Vec<String> {
        Vec::new()
    }

    async fn suspects(
        self,
        _: context::Context,
        reports: Vec<SuspectReport>,
    ) -> Vec<SuspectReport> {
        dispatch::merge_suspects(&self.state, &reports)
    }

    async fn settle(self, _: context::Context, request: SettleRequest) -> bool {
        spend::settle(
            &self.state,
            &request.request,
            request.tokens,
            RequestEnd::Ran,
        )
        .is_some()
    }

    async fn leaving(self, _: context::Context, name: VmId) {
        tracing::info!(%name, "a peer says that this VM or endpoint is leaving");
    }
}
