//! Shared state of one router.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use {
    anyhow::Result,
    jasminewall_core::{BootId, HolderId, RequestId},
    jasminewall_ports::PlatformPorts,
    rand::Rng,
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, timeout, timeout_at},
    },
    tokio_util::sync::CancellationToken,
};

use crate::{
    api,
    dispatch::RoutingTable,
    fleet,
    fleet::{FleetState, VersionReport},
    peer,
    peer::PeerClients,
    setting::RouterSetting,
    spend,
    spend::SpendState,
    telemetry::RouterMetrics,
};

/// Timeout for each step of a stop that calls peers or the platform.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// State that all tasks of one router share.
pub struct RouterState {
    /// Settings of the router.
    pub setting: RouterSetting,
    /// This router run.
    pub holder: HolderId,
    /// Platform services.
    pub ports: PlatformPorts,
    /// Cancelled when the router accepts no more connections; running requests continue.
    pub drain: CancellationToken,
    /// Cancelled when the router stops.
    pub stop: CancellationToken,
    /// Whether new requests are refused.
    refusing: AtomicBool,
    pub(crate) peer_clients: PeerClients,
    pub(crate) spend: SpendState,
    pub(crate) fleet: FleetState,
    pub(crate) routing: RoutingTable,
    pub(crate) metrics: RouterMetrics,
}

impl RouterState {
    /// Creates the state of a new router run.
    pub fn new(setting: RouterSetting, ports: PlatformPorts) -> Self {
        let holder = HolderId::new(setting.vm.clone(), new_boot_id());
        Self {
            spend: SpendState::new(holder.clone()),
            fleet: FleetState::new(&holder, setting.failure_domain.clone()),
            routing: RoutingTable::new(holder.clone()),
            peer_clients: PeerClients::default(),
            drain: CancellationToken::new(),
            metrics: RouterMetrics::new(&setting.vm, setting.metrics),
            stop: CancellationToken::new(),
            refusing: AtomicBool::new(false),
            setting,
            holder,
            ports,
        }
    }

    /// Whether the router accepts requests: its configuration is current and it is not leaving.
    pub fn is_ready(&self) -> bool {
        self.fleet.is_ready() && !self.fleet.is_leaving() && !self.stop.is_cancelled()
    }

    /// Whether new requests are refused because the router is stopping.
    pub fn refuses_requests(&self) -> bool {
        self.refusing.load(Ordering::SeqCst) || self.stop.is_cancelled()
    }

    /// Revision in force, readiness and members, for operators.
    pub fn version(&self) -> VersionReport {
        fleet::version_report(self)
    }

    /// Generates a request id that is unique in the fleet.
    pub fn new_request_id(&self) -> RequestId {
        format!(
            "jw-{}-{:016x}",
            self.setting.vm,
            rand::rng().random::<u64>()
        )
        .into()
    }
}

/// Generates a boot id: the start time in milliseconds, followed by 20 random bits; never 0.
fn new_boot_id() -> BootId {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = time.unwrap_or_default().as_millis();
    let millis = u64::try_from(millis).unwrap_or(u64::MAX);
    (millis << 20) | rand::rng().random_range(1..1 << 20)
}

/// Durations of the phases of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// Time from the withdrawal of readiness until new requests are refused. It must be longer than
    /// the load balancer takes to notice the withdrawal.
    pub grace: Duration,
    /// Time during which new requests are refused before the port closes, so that callers with open
    /// connections learn that their request did not run.
    pub refuse: Duration,
    /// Time for running requests to end.
    pub drain: Duration,
}

impl Default for StopPlan {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(10),
            refuse: Duration::from_secs(1),
            drain: Duration::from_secs(600),
        }
    }
}

impl StopPlan {
    /// Plan without waiting for a load balancer, for tests and trials.
    pub fn without_grace() -> Self {
        Self {
            grace: Duration::ZERO,
            refuse: Duration::ZERO,
            drain: Duration::from_secs(30),
        }
    }
}

/// A running router.
pub struct RouterHandle {
    /// State of the router.
    pub state: Arc<RouterState>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Task that serves callers.
    api_tasks: JoinSet<()>,
    /// Tasks that serve peers, follow the fleet and commit charges.
    background_tasks: JoinSet<()>,
}

impl RouterHandle {
    /// Starts a router: binds its addresses, then spawns its tasks.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start(setting: RouterSetting, ports: PlatformPorts) -> Result<Self> {
        let listener = jasminewall_caller::listen(setting.listen)?;
        let address = listener.local_addr()?;
        let setting = RouterSetting {
            listen: address,
            ..setting
        };
        let peer_listener = std::net::TcpListener::bind(setting.peer_listen)?;
        peer_listener.set_nonblocking(true)?;
        let state = Arc::new(RouterState::new(setting, ports));
        let mut api_tasks = JoinSet::new();
        api_tasks.spawn(api::run(state.clone(), listener));
        let mut background_tasks = JoinSet::new();
        background_tasks.spawn(peer::run(state.clone(), peer_listener));
        background_tasks.spawn(fleet::run(state.clone()));
        background_tasks.spawn(spend::run(state.clone()));
        Ok(Self {
            state,
            address,
            api_tasks,
            background_tasks,
        })
    }

    /// Stops the router without waiting for a load balancer: waits for running requests, commits
    /// the charges and returns the grants.
    pub async fn stop(self) {
        self.stop_with(StopPlan::without_grace()).await;
    }

    /// Stops the router: withdraws readiness, refuses new requests after the grace period, waits
    /// for running requests, commits the charges, returns the grants and removes the registration.
    pub async fn stop_with(mut self, plan: StopPlan) {
        let state = self.state.clone();
        tracing::info!(holder = %state.holder, ?plan, "stop: readiness withdrawn");
        if timeout(STEP_TIMEOUT, fleet::begin_leaving(&state))
            .await
            .is_err()
        {
            tracing::warn!("stop: timed out before all peers were notified");
        }
        sleep(plan.grace).await;
        state.refusing.store(true, Ordering::SeqCst);
        tracing::info!("stop: new requests are refused");
        sleep(plan.refuse).await;
        state.drain.cancel();
        self.drain(Instant::now() + plan.drain).await;
        state.stop.cancel();
        while self.background_tasks.join_next().await.is_some() {}
        close(&state).await;
    }

    /// Waits for running requests until the deadline, then aborts them.
    async fn drain(&mut self, deadline: Instant) {
        if timeout_at(deadline, self.api_tasks.join_next())
            .await
            .is_ok()
        {
            tracing::info!("stop: all requests have ended");
            return;
        }
        tracing::warn!(
            holder = %self.state.holder,
            "stop: requests still running at the deadline are aborted; their tokens stay held until \
             the account is settled, and callers may resume them through another router"
        );
        self.api_tasks.shutdown().await;
    }

    /// Ends the router immediately, as a crash does: nothing is committed, returned or removed.
    pub async fn abort(mut self) {
        self.state.stop.cancel();
        self.api_tasks.shutdown().await;
        self.background_tasks.shutdown().await;
    }
}

/// Commits the last charges and returns the grants, then removes the registration.
async fn close(state: &RouterState) {
    if timeout(STEP_TIMEOUT, spend::close(state)).await.is_err() {
        tracing::warn!(
            holder = %state.holder,
            "stop: timed out while committing the last charges; the registration stays, and the \
             account is settled after the VM has left the VM list"
        );
        return;
    }
    match fleet::remove_registration(state).await {
        Ok(()) => tracing::info!(holder = %state.holder, "stop: registration removed"),
        Err(error) => tracing::warn!(
            holder = %state.holder, %error,
            "stop: cannot remove the registration; the account is settled after the VM has left the VM list"
        ),
    }
}
