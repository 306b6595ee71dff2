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
        net::TcpListener,
        task::JoinSet,
        time::{Instant, sleep, timeout, timeout_at},
    },
    tokio_util::sync::CancellationToken,
};

use crate::{
    api,
    dispatch::RoutingTable,
    fleet,
    fleet::{FleetTable, VersionReport},
    peer,
    peer::PeerLinks,
    setting::RouterSetting,
    spend,
    spend::SpendTable,
    telemetry::RouterMetrics,
};

/// Longest wait for one step of a stop that calls peers or the platform.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// State that all tasks of one router share.
pub struct RouterState {
    /// Settings of the router.
    pub setting: RouterSetting,
    /// This run of the router.
    pub holder: HolderId,
    /// Ports of the platform.
    pub ports: PlatformPorts,
    /// Cancelled when the router accepts no more callers; running requests go on.
    pub drain: CancellationToken,
    /// Cancelled when the router stops.
    pub stop: CancellationToken,
    refusing: AtomicBool,
    pub(crate) links: PeerLinks,
    pub(crate) spend: SpendTable,
    pub(crate) fleet: FleetTable,
    pub(crate) routing: RoutingTable,
    pub(crate) metrics: RouterMetrics,
}

impl RouterState {
    /// Builds the state of a new run.
    pub fn new(setting: RouterSetting, ports: PlatformPorts) -> Self {
        let holder = HolderId::new(setting.vm.clone(), new_boot());
        Self {
            spend: SpendTable::new(holder.clone()),
            fleet: FleetTable::new(&holder, setting.failure_domain.clone()),
            routing: RoutingTable::new(holder.clone()),
            links: PeerLinks::default(),
            drain: CancellationToken::new(),
            metrics: RouterMetrics::new(&setting.vm, setting.metrics),
            stop: CancellationToken::new(),
            refusing: AtomicBool::new(false),
            setting,
            holder,
            ports,
        }
    }

    /// Whether the router takes requests and does not leave.
    pub fn is_ready(&self) -> bool {
        self.fleet.is_ready() && !self.fleet.is_leaving() && !self.stop.is_cancelled()
    }

    /// Whether new requests are refused because the router stops.
    pub fn refuses_requests(&self) -> bool {
        self.refusing.load(Ordering::SeqCst) || self.stop.is_cancelled()
    }

    /// Revision in force, readiness and members, for operators.
    pub fn version(&self) -> VersionReport {
        fleet::version_report(self)
    }

    /// Id for a new request, unique over the fleet.
    pub fn new_request_id(&self) -> RequestId {
        format!(
            "jw-{}-{:016x}",
            self.setting.vm,
            rand::rng().random::<u64>()
        )
        .into()
    }
}

/// Boot id: start time in milliseconds with 20 random bits, never 0.
fn new_boot() -> BootId {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = time.unwrap_or_default().as_millis();
    let millis = u64::try_from(millis).unwrap_or(u64::MAX);
    (millis << 20) | rand::rng().random_range(1..1 << 20)
}

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// Time from the withdrawal of readiness until new requests are refused. It must cover the time
    /// in which the load balancer notices the withdrawal.
    pub grace: Duration,
    /// Time during which new requests are answered with a refusal before the port closes, so that
    /// callers with open connections get an answer that says "not run".
    pub refuse: Duration,
    /// Time that running requests have to end.
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
    /// Stop for tests and trials, without waiting for a load balancer.
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
    callers: JoinSet<()>,
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
        let setting = RouterSetting {
            listen: address,
            ..setting
        };
        let peer_listener = std::net::TcpListener::bind(setting.peer_listen)?;
        peer_listener.set_nonblocking(true)?;
        let state = Arc::new(RouterState::new(setting, ports));
        let mut callers = JoinSet::new();
        callers.spawn(api::run(state.clone(), listener));
        let mut tasks = JoinSet::new();
        tasks.spawn(peer::run(state.clone(), peer_listener));
        tasks.spawn(fleet::run(state.clone()));
        tasks.spawn(spend::run(state.clone()));
        Ok(Self {
            state,
            address,
            callers,
            tasks,
        })
    }

    /// Stops the router without waiting for a load balancer: running requests end, charges are
    /// committed and grants returned.
    pub async fn stop(self) {
        self.stop_with(StopPlan::without_grace()).await;
    }

    /// Stops the router: readiness is withdrawn, new requests are refused after the grace period,
    /// running requests end, charges are committed, grants returned and the registration removed.
    pub async fn stop_with(mut self, plan: StopPlan) {
        let state = self.state.clone();
        tracing::info!(holder = %state.holder, ?plan, "stop: readiness withdrawn");
        if timeout(STEP_TIMEOUT, fleet::begin_leaving(&state))
            .await
            .is_err()
        {
            tracing::warn!("stop: not every peer could be told in time");
        }
        sleep(plan.grace).await;
        state.refusing.store(true, Ordering::SeqCst);
        tracing::info!("stop: new requests are refused");
        sleep(plan.refuse).await;
        state.drain.cancel();
        self.drain(Instant::now() + plan.drain).await;
        state.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        close(&state).await;
    }

    async fn drain(&mut self, deadline: Instant) {
        if timeout_at(deadline, self.callers.join_next()).await.is_ok() {
            tracing::info!("stop: all requests have ended");
            return;
        }
        tracing::warn!(
            holder = %self.state.holder,
            "stop: requests still ran at the deadline; they end with the process, their holds stay \
             with this run until settlement, and callers may resume them through another router"
        );
        self.callers.shutdown().await;
    }

    /// Ends the router at once, as a crash does: nothing is committed, returned or removed.
    pub async fn abort(mut self) {
        self.state.stop.cancel();
        self.callers.shutdown().await;
        self.tasks.shutdown().await;
    }
}

/// Commits the last charges, then removes the registration.
async fn close(state: &RouterState) {
    if timeout(STEP_TIMEOUT, spend::close(state)).await.is_err() {
        tracing::warn!(
            holder = %state.holder,
            "stop: the platform did not take the last charges in time; the registration stays, and \
             the account is settled once the VM has left the list"
        );
        return;
    }
    match fleet::remove_registration(state).await {
        Ok(()) => tracing::info!(holder = %state.holder, "stop: registration removed"),
        Err(error) => tracing::warn!(
            holder = %state.holder, %error,
            "stop: the registration stays, and the account is settled once the VM has left the list"
        ),
    }
}
