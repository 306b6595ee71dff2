use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use {
    jasminewall_core::{HolderId, VmId, body_account::MemoryPlan},
    jasminewall_ports::RowPort,
    tokio::task::{AbortHandle, spawn},
};

use crate::{
    fleet::FleetView,
    follow,
    forwarder::{Forwarder, StopWindow},
    group::{self, ALL_OWNERS_MAX, PeerGroup},
    link::LinkMeter,
    manager::BudgetManager,
    origin::StreamOrigins,
    peer::{self, PeerRecord},
    port::{EndpointPort, RecordPort},
    setting::{FleetBounds, ForwardSetting},
    snapshot,
};

/// Time that the last writes to the store get when the router stops, even if the exit is due
/// earlier.
const FINAL_WRITES_MIN: Duration = Duration::from_millis(1_000);
/// Interval at which statistics of removed endpoints are dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Implementations of the interfaces between a router and its environment.
#[derive(Clone)]
pub struct ForwardPorts {
    /// Rows of the store.
    pub rows: Arc<dyn RowPort>,
    /// Configuration and registrations.
    pub records: Arc<dyn RecordPort>,
    /// Calls to endpoints.
    pub endpoints: Arc<dyn EndpointPort>,
}

/// One running router.
pub struct ForwardNode {
    /// Serves requests.
    pub forwarder: Arc<Forwarder>,
    /// Measures the use of the link by callers.
    pub link: Arc<LinkMeter>,
    view: Arc<FleetView>,
    budgets: Arc<BudgetManager>,
    peers: Arc<PeerGroup>,
    stopping: AtomicBool,
    tasks: Vec<AbortHandle>,
}

impl ForwardNode {
    /// Starts a router that uses the given implementations.
    ///
    /// # Errors
    ///
    /// When the address for other routers cannot be bound.
    pub async fn start(
        setting: &ForwardSetting,
        ports: ForwardPorts,
    ) -> std::io::Result<Arc<Self>> {
        let holder = HolderId::new(setting.vm.clone(), rand::random());
        let record = PeerRecord {
            boot: holder.boot,
            address: setting.peer_listen,
            domain: setting.failure_domain.clone(),
            link_mbps: setting.link_mbps.unwrap_or_default() as u32,
            has_supply_hints: true,
        };
        let view = Arc::new(FleetView::new(setting.regions.clone()));
        let peers = PeerGroup::new(setting.vm.clone(), record, ports.rows.clone());
        let origins = Arc::new(StreamOrigins::new(ports.rows.clone()));
        let budgets = BudgetManager::new(holder, ports.rows.clone(), peers.clone());
        let forwarder = Forwarder::new(
            setting.failure_domain.clone(),
            view.clone(),
            budgets.clone(),
            ports.endpoints,
            origins.clone(),
            ports.rows.clone(),
            setting.bounds,
        );
        let plan = MemoryPlan::of_machine(setting.memory_mb);
        forwarder.kept.set_limit(plan.kept_bytes);
        peer::serve(
            setting.peer_listen,
            view.clone(),
            budgets.clone(),
            forwarder.clone(),
        )
        .await?;
        let on_peers_changed = {
            let (forwarder, budgets) = (forwarder.clone(), budgets.clone());
            let own = setting.vm.clone();
            move |others: Vec<VmId>, grant_owners| {
                budgets.set_large(others.len() >= ALL_OWNERS_MAX);
                forwarder.set_routers(own.clone(), others);
                budgets.set_owner_count(grant_owners);
            }
        };
        let prepaid_budgets = {
            let view = view.clone();
            move || {
                view.config()
                    .map_or_else(Vec::new, |config| config.prepaid_budgets())
            }
        };
        let tasks = vec![
            spawn(follow::follow_config(view.clone(), ports.records.clone())).abort_handle(),
            spawn(follow::follow_endpoints(
                view.clone(),
                ports.records.clone(),
                ports.rows.clone(),
                setting.bounds.drain,
            ))
            .abort_handle(),
            spawn(snapshot::publish(
                peers.clone(),
                view.clone(),
                ports.rows,
                ports.records,
            ))
            .abort_handle(),
            spawn(group::follow_peers(
                peers.clone(),
                budgets.clone(),
                on_peers_changed,
            ))
            .abort_handle(),
            spawn(group::send_heartbeats(peers.clone(), budgets.clone())).abort_handle(),
            spawn(group::poll_peer_updates(
                Arc::downgrade(&peers),
                view.clone(),
            ))
            .abort_handle(),
            spawn(budgets.clone().rebalance(prepaid_budgets)).abort_handle(),
            spawn(budgets.clone().hand_over_leftovers()).abort_handle(),
            spawn(group::send_loads(peers.clone(), forwarder.clone())).abort_handle(),
            spawn(group::send_notices(
                peers.clone(),
                budgets.clone(),
                forwarder.clone(),
            ))
            .abort_handle(),
            spawn(origins.write_all(view.clone())).abort_handle(),
            spawn(group::follow_notices(peers.clone(), forwarder.clone())).abort_handle(),
            spawn(prune_endpoint_stats(forwarder.clone())).abort_handle(),
        ];
        Ok(Arc::new(Self {
            forwarder,
            link: Arc::new(LinkMeter::new(setting.link_mbps)),
            view,
            budgets,
            peers,
            stopping: AtomicBool::new(false),
            tasks,
        }))
    }

    /// Whether the readiness check succeeds: the router can serve new connections.
    pub fn is_ready(&self) -> bool {
        self.view.is_ready() && !self.is_stopping() && !self.link.is_congested(Instant::now())
    }

    /// Whether callers' kept-alive connections should be closed after the next response.
    pub fn should_close(&self) -> bool {
        self.is_stopping() || self.link.should_close(Instant::now())
    }

    /// Whether the router is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Starts a graceful stop: the readiness check fails from now on, and after
    /// [`StopWindow::refuse_at`] only requests whose deadline is before the exit are served.
    pub fn begin_stop(&self, window: StopWindow) {
        self.forwarder.set_stop(window);
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Applies changed bounds.
    pub fn set_bounds(&self, bounds: FleetBounds) {
        self.forwarder.set_bounds(bounds);
    }

    /// Metrics in the text format of Prometheus.
    pub fn metrics_text(&self) -> String {
        self.forwarder.metrics.text()
    }

    /// Returns all tokens and removes the registration.
    pub async fn finish(&self) {
        let earliest = Instant::now() + FINAL_WRITES_MIN;
        let deadline = self
            .forwarder
            .exit_at()
            .map_or(earliest, |exit| exit.max(earliest));
        let returned = self.budgets.return_all(deadline).await;
        let unregistered = tokio::time::timeout_at(deadline.into(), self.peers.unregister()).await;
        if !matches!(unregistered, Ok(Ok(()))) {
            tracing::warn!("failed to remove the registration of this router");
        }
        if !returned {
            tracing::warn!("the next run on this VM takes over the tokens that are not returned");
            return;
        }
        let removed = tokio::time::timeout_at(deadline.into(), self.peers.remove_heartbeat()).await;
        if !matches!(removed, Ok(Ok(()))) {
            tracing::warn!("failed to remove the heartbeat of this router");
        }
    }
}

impl Drop for ForwardNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn prune_endpoint_stats(forwarder: Arc<Forwarder>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        forwarder.prune_endpoint_stats();
    }
}
