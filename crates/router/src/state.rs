//! Shared state of one router.

use std::{net::SocketAddr, sync::Arc};

use {
    anyhow::Result,
    jasminewall_core::{HolderId, RequestId},
    jasminewall_platform::PlatformPorts,
    rand::Rng,
    tokio::{net::TcpListener, task::JoinSet},
    tokio_util::sync::CancellationToken,
};

use crate::{
    api, dispatch::RoutingTable, fleet, fleet::FleetTable, peer, setting::RouterSetting, spend,
    spend::SpendTable,
};

/// State that all tasks of one router share.
pub struct RouterState {
    /// Settings of the router.
    pub setting: RouterSetting,
    /// This run of the router.
    pub holder: HolderId,
    /// Ports of the platform.
    pub ports: PlatformPorts,
    /// Cancelled when the router stops.
    pub stop: CancellationToken,
    pub(crate) spend: SpendTable,
    pub(crate) fleet: FleetTable,
    pub(crate) routing: RoutingTable,
}

impl RouterState {
    /// Builds the state of a new run.
    pub fn new(setting: RouterSetting, ports: PlatformPorts) -> Self {
        let holder = HolderId::new(setting.vm.clone(), rand::rng().random());
        Self {
            spend: SpendTable::new(holder.clone()),
            fleet: FleetTable::default(),
            routing: RoutingTable::new(holder.clone()),
            stop: CancellationToken::new(),
            setting,
            holder,
            ports,
        }
    }

    /// Whether a configuration is in force and the router takes requests.
    pub fn is_ready(&self) -> bool {
        self.fleet.config().revision() > 0 && !self.stop.is_cancelled()
    }

    /// Id for a new request, unique over the fleet.
    pub fn new_request(&self) -> RequestId {
        format!("{}-{:016x}", self.setting.vm, rand::rng().random::<u64>()).into()
    }
}

/// A running router.
pub struct RouterHandle {
    /// State of the router.
    pub state: Arc<RouterState>,
    /// Address for callers.
    pub address: SocketAddr,
    tasks: JoinSet<()>,
}

impl RouterHandle {
    /// Starts a router: binds its address, then runs its tasks.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(setting: RouterSetting, ports: PlatformPorts) -> Result<Self> {
        let listener = TcpListener::bind(setting.listen).await?;
        let address = listener.local_addr()?;
        let peer_listener = std::net::TcpListener::bind(setting.peer_listen)?;
        peer_listener.set_nonblocking(true)?;
        let state = Arc::new(RouterState::new(setting, ports));
        let mut tasks = JoinSet::new();
        tasks.spawn(fleet::run(state.clone()));
        tasks.spawn(peer::run(state.clone(), peer_listener));
        tasks.spawn(spend::run(state.clone()));
        tasks.spawn(api::run(state.clone(), listener));
        Ok(Self {
            state,
            address,
            tasks,
        })
    }

    /// Stops the router: running requests end, charges are committed and grants returned.
    pub async fn stop(mut self) {
        self.state.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        spend::close(&self.state).await;
    }
}
