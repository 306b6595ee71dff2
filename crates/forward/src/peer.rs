//! RPC service between routers, for newer state, loads, news about endpoints and tokens.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    futures_util::StreamExt,
    jasminewall_core::{BootId, CustomerId, DomainId, Tokens, VmId},
    jasminewall_ports::{FIRST_ERA, StoreEra},
    serde::{Deserialize, Serialize},
    tarpc::{
        context,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Bincode,
    },
};

use crate::{
    balancer::RouterLoad,
    draws::{DrawRecord, DrawReport},
    evacuation::EvacuationReport,
    fleet::FleetView,
    forwarder::Forwarder,
    manager::BudgetManager,
    notice::FleetNotice,
    record::{EndpointRecord, FleetConfig},
    session::Heartbeat,
    supply::SupplyAnswer,
};

/// Longest wait for a peer; round trips within a region take a few milliseconds.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// Registration of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Run of the router.
    pub boot: BootId,
    /// Address for other routers.
    pub address: SocketAddr,
    /// Failure domain of the router.
    pub domain: DomainId,
    /// Speed of the VM's network link in Mbit/s, rounded down; 0 if unknown.
    #[serde(default)]
    pub link_mbps: u32,
    /// Whether the router answers [`RouterPeer::give_or_hint`]; earlier versions do not.
    #[serde(default)]
    pub has_supply_hints: bool,
}

/// Last heartbeat of a router run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRecord {
    /// Run of the router.
    pub boot: BootId,
    /// See [`StoreSession`](crate::session::StoreSession).
    pub heartbeat: Heartbeat,
    /// Era of the store in which the run's accounts stand.
    #[serde(default = "first_era")]
    pub era: StoreEra,
}

fn first_era() -> StoreEra {
    FIRST_ERA
}

/// State that is newer than that of the calling router.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Newer configuration.
    pub config: Option<FleetConfig>,
    /// Newer registrations with their store version.
    pub endpoints: Option<(u64, Vec<EndpointRecord>)>,
    /// Evacuated failure domains; `None` if this router has not read them yet.
    #[serde(default)]
    pub evacuations: Option<EvacuationReport>,
}

/// RPC service that each router offers to the others.
#[tarpc::service]
pub trait RouterPeer {
    /// Returns state that is newer than the given versions.
    async fn updates(config_version: u64, endpoint_version: u64) -> FleetUpdate;
    /// Reports the load that the calling router puts on endpoints; `number` orders its messages.
    async fn loads(vm: VmId, number: u64, loads: Vec<RouterLoad>);
    /// Reports news about endpoints.
    async fn notice(notice: FleetNotice);
    /// Asks for tokens of a customer; returns how many are given.
    async fn give(customer: CustomerId, wanted: Tokens) -> Tokens;
    /// Hands over tokens of a customer.
    async fn deposit(customer: CustomerId, tokens: Tokens);
    /// Tells of a draw; returns whether it is remembered.
    async fn record_draw(customer: CustomerId, record: DrawRecord) -> bool;
    /// Asks for the known draws of a customer, to start an era of the store.
    async fn report_draws(customer: CustomerId, era: StoreEra) -> DrawReport;
    /// Asks for tokens of a customer; with fewer than `wanted`, the answer says when more are
    /// expected. `is_first` tells whether no other router was asked for them before.
    async fn give_or_hint(customer: CustomerId, wanted: Tokens, is_first: bool) -> SupplyAnswer;
}

#[derive(Clone)]
struct PeerServer {
    view: Arc<FleetView>,
    budgets: Arc<BudgetManager>,
    forwarder: Arc<Forwarder>,
}

impl RouterPeer for PeerServer {
    async fn updates(
        self,
        _: context::Context,
        config_version: u64,
        endpoint_version: u64,
    ) -> FleetUpdate {
        let config = self.view.config();
        let config = config.filter(|config| config.version > config_version);
        let version = self.view.endpoint_version();
        let newer = version > endpoint_version && !self.view.is_store_unreachable();
        FleetUpdate {
            config: config.map(|config| FleetConfig::clone(&config)),
            endpoints: newer.then(|| (version, self.view.live_endpoints(Instant::now()))),
            evacuations: self.view.evacuation_report(),
        }
    }

    async fn loads(self, _: context::Context, vm: VmId, number: u64, loads: Vec<RouterLoad>) {
        self.forwarder.merge_loads(&vm, number, loads);
    }

    async fn notice(self, _: context::Context, notice: FleetNotice) {
        self.forwarder.merge_notice(&notice, Duration::ZERO);
    }

    async fn deposit(self, _: context::Context, customer: CustomerId, tokens: Tokens) {
        self.budgets.take_back(&customer, tokens);
        tracing::info!(%customer, tokens, "a peer handed over tokens");
    }

    async fn record_draw(
        self,
        _: context::Context,
        customer: CustomerId,
        record: DrawRecord,
    ) -> bool {
        self.budgets.record_peer_draw(&customer, &record)
    }

    async fn report_draws(
        self,
        _: context::Context,
        customer: CustomerId,
        era: StoreEra,
    ) -> DrawReport {
        self.budgets.report_draws(&customer, era)
    }

    async fn give(self, _: context::Context, customer: CustomerId, wanted: Tokens) -> Tokens {
        let given = self.budgets.give(&customer, wanted).await;
        tracing::info!(%customer, wanted, given, "gave tokens to a peer");
        given
    }

    async fn give_or_hint(
        self,
        _: context::Context,
        customer: CustomerId,
        wanted: Tokens,
        is_first: bool,
    ) -> SupplyAnswer {
        let answer = self.budgets.give_or_hint(&customer, wanted, is_first).await;
        let SupplyAnswer { given, lent, .. } = answer;
        let outlook = (given < wanted).then_some(answer.outlook);
        tracing::info!(
            %customer, wanted, given, lent, outlook = outlook.map(tracing::field::debug),
            more_in_ms = answer.more_in_ms, "gave tokens to a peer"
        );
        answer
    }
}

/// Starts to serve other routers, for as long as this one runs.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    view: Arc<FleetView>,
    budgets: Arc<BudgetManager>,
    forwarder: Arc<Forwarder>,
) -> std::io::Result<()> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let server = PeerServer {
        view,
        budgets,
        forwarder,
    };
    tokio::spawn(async move {
        while let Some(accepted) = incoming.next().await {
            let transport = match accepted {
                Ok(transport) => transport,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection of a router");
                    continue;
                }
            };
            let channel = BaseChannel::with_defaults(transport);
            let server = server.clone();
            tokio::spawn(async move {
                let requests = channel.execute(server.serve());
                requests
                    .for_each(async |request| {
                        tokio::spawn(request);
                    })
                    .await;
            });
        }
    });
    Ok(())
}
