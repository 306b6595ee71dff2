//! Follows the configuration and the membership of the fleet and places models on engines.

mod config;
mod membership;
mod placement;
mod register;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use {
    jasminewall_core::{
        BootId, ConfigState, DomainId, EndpointId, HolderId, Revision, VmId,
        member::{
            FULL_MESH_LIMIT, LIST_LAG, MemberState, MemberTable, MemberView, TerminationProof,
            probe_targets,
        },
        order::{REPAIR_INTERVAL, REPAIR_INTERVAL_LARGE},
        record::EndpointRecord,
        revision::{ConfigChange, ConfigFollower, DeltaOutcome},
        stop,
    },
    serde::Serialize,
    tokio::{sync::Notify, task::JoinSet},
};

use crate::{peer::PeerView, state::RouterState};

pub(crate) use self::{membership::answer_probe, register::remove as remove_registration};

/// Time for which an endpoint reported as leaving gets no new work. If it is still leaving after
/// that, its own responses or its record report it again.
const LEAVING_TTL: Duration = Duration::from_secs(600);
/// Largest size of the deltas in one reply to a peer: half a frame, which leaves room for the
/// encoding.
const DELTAS_LIMIT_BYTES: usize = 512 << 10;
/// Timeout for one call to the platform, which may be slow for long periods.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Configuration in force, members and leaving endpoints as this router knows them.
pub(crate) struct FleetState {
    follower: RwLock<ConfigFollower>,
    members: Mutex<MemberTable>,
    /// Endpoints reported as leaving, with the time of the report.
    endpoints_leaving: Mutex<BTreeMap<EndpointId, Instant>>,
    /// Addresses of peers that reported a higher revision.
    newer_peers: Mutex<Vec<SocketAddr>>,
    newer_peer_added: Notify,
    /// Failure domain of this router.
    own_domain: DomainId,
    /// Whether this router is leaving the fleet.
    leaving: AtomicBool,
    /// Whether the table has the registration of this run.
    registered: AtomicBool,
}

/// Configuration state of a router and the members that it knows.
#[derive(Clone, Debug, Serialize)]
pub struct VersionReport {
    /// Build of the router.
    pub build: &'static str,
    /// VM on which it runs.
    pub vm: VmId,
    /// Boot id of the router run.
    pub boot: BootId,
    /// Revision in force.
    pub revision: Revision,
    /// Highest revision known from the platform or a peer.
    pub highest: Revision,
    /// Why the next revision was refused, if it was.
    pub refusal: Option<String>,
    /// Whether the router accepts requests.
    pub ready: bool,
    /// Whether the table has the registration of this run.
    pub registered: bool,
    /// Members as this router knows them.
    pub members: Vec<MemberView>,
}

impl FleetState {
    pub(crate) fn new(holder: &HolderId, own_domain: DomainId) -> Self {
        Self {
            follower: RwLock::default(),
            members: Mutex::new(MemberTable::new(holder.clone(), LIST_LAG)),
            endpoints_leaving: Mutex::default(),
            newer_peers: Mutex::default(),
            newer_peer_added: Notify::new(),
            own_domain,
            leaving: AtomicBool::new(false),
            registered: AtomicBool::new(false),
        }
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Arc<ConfigState> {
        self.follower
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .config()
            .clone()
    }

    /// Whether the configuration is at least as new as the highest revision that the table or any
    /// reachable peer had when this run started.
    pub(crate) fn is_ready(&self) -> bool {
        let follower = self.follower.read();
        follower.unwrap_or_else(PoisonError::into_inner).is_ready()
    }

    /// Whether this router is leaving the fleet.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Deltas after a revision, as sent to a peer.
    pub(crate) fn deltas_after(&self, revision: Revision) -> Vec<String> {
        let follower = self.follower.read();
        let follower = follower.unwrap_or_else(PoisonError::into_inner);
        let deltas = follower.deltas_after(revision, DELTAS_LIMIT_BYTES);
        deltas.iter().map(|text| text.to_string()).collect()
    }

    /// Part of a snapshot of the configuration in force, as sent to a peer.
    pub(crate) fn snapshot_part(&self, part: u32) -> Option<String> {
        let follower = self.follower.read();
        let follower = follower.unwrap_or_else(PoisonError::into_inner);
        follower.snapshot_part(usize::try_from(part).ok()?)
    }

    /// Records a revision reported by a peer. If it is newer than the one in force, it is read from
    /// `address`.
    pub(crate) fn observe_revision(&self, revision: Revision, address: SocketAddr) {
        {
            let mut follower = self.follower_mut();
            if revision <= follower.config().revision() {
                return;
            }
            follower.observe_revision(revision);
        }
        let mut newer_peers = self
            .newer_peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !newer_peers.contains(&address) {
            newer_peers.push(address);
        }
        self.newer_peer_added.notify_one();
    }

    /// Applies a delta if it is the next one, or a part of a snapshot.
    fn apply(&self, text: &str) -> jasminewall_core::Result<DeltaOutcome> {
        let outcome = self.follower_mut().offer(text)?;
        if let DeltaOutcome::Restored(revision) = &outcome {
            tracing::info!(revision, "configuration revision in force, from a snapshot");
        }
        if let DeltaOutcome::Applied(delta) = &outcome {
            tracing::info!(revision = delta.revision, "configuration revision in force");
            let mut leaving = self.endpoints_leaving();
            for change in &delta.changes {
                // A new record of an endpoint overrides earlier reports that it is leaving.
                if let ConfigChange::Put(record) = change {
                    leaving.remove(record.name());
                }
            }
        }
        Ok(outcome)
    }

    /// Routers that answer probes.
    pub(crate) fn peers(&self) -> Vec<PeerView> {
        self.peers_matching(|state| state == MemberState::Alive)
    }

    /// Addresses of known members and seeds, whether or not they have answered a probe.
    pub(crate) fn peer_addresses(&self, seeds: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let peers = self.peers_matching(|state| state != MemberState::Gone);
        let known = peers.iter().map(|peer| peer.address);
        known.chain(seeds.iter().copied()).collect()
    }

    fn peers_matching(&self, matches: impl Fn(MemberState) -> bool) -> Vec<PeerView> {
        let views = self.members().views(Instant::now()).into_iter();
        let views = views.filter(|view| matches(view.state));
        let peer = |view: MemberView| PeerView {
            same_domain: view.failure_domain == self.own_domain,
            holder: view.holder,
            address: view.address,
        };
        views.map(peer).collect()
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn follower_mut(&self) -> std::sync::RwLockWriteGuard<'_, ConfigFollower> {
        self.follower
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn endpoints_leaving(&self) -> MutexGuard<'_, BTreeMap<EndpointId, Instant>> {
        let leaving = self.endpoints_leaving.lock();
        leaving.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an endpoint was reported as leaving within [`LEAVING_TTL`].
    fn is_endpoint_leaving(&self, endpoint: &EndpointId) -> bool {
        let leaving = self.endpoints_leaving();
        let marked_at = leaving.get(endpoint);
        marked_at.is_some_and(|at| at.elapsed() < LEAVING_TTL)
    }
}

/// Whether an endpoint may get new work: no planned stop covers it, and neither its record, the VM
/// list, a peer nor the endpoint itself reports it as leaving.
pub(crate) fn accepts_work(state: &RouterState, endpoint: &EndpointRecord) -> bool {
    let config = state.fleet.config();
    !endpoint.leaving
        && stop::active_stop(&config, endpoint, SystemTime::now()).is_none()
        && !state.fleet.members().is_listed_leaving(&endpoint.name)
        && !state.fleet.is_endpoint_leaving(&endpoint.name)
}

/// Marks an endpoint as leaving and forwards a new report to the neighbours at once.
///
/// Called for a response of the endpoint itself and for a report of a peer. Each router forwards a
/// new report to its neighbours, so it reaches every router within a few hops.
pub(crate) fn mark_endpoint_leaving(state: &Arc<RouterState>, endpoint: &EndpointId) {
    if state.fleet.is_endpoint_leaving(endpoint) {
        return;
    }
    let mut leaving = state.fleet.endpoints_leaving();
    leaving.insert(endpoint.clone(), Instant::now());
    drop(leaving);
    tracing::info!(%endpoint, "endpoint is leaving; it gets no new work");
    membership::spawn_send_leaving(state, endpoint, 0);
}

/// Marks a router run as leaving and forwards a new report to the neighbours.
pub(crate) fn mark_member_leaving(state: &Arc<RouterState>, holder: &HolderId) {
    if state.fleet.members().observe_leaving(holder) {
        tracing::info!(%holder, "router is leaving");
        membership::spawn_send_leaving(state, &holder.vm, holder.boot);
    }
}

/// Withdraws readiness and notifies the neighbours.
pub(crate) async fn begin_leaving(state: &Arc<RouterState>) {
    state.fleet.leaving.store(true, Ordering::SeqCst);
    membership::send_leaving(state, &state.holder.vm, state.holder.boot).await;
}

/// Revision in force, readiness and members, for operators.
pub(crate) fn version_report(state: &RouterState) -> VersionReport {
    let members = state.fleet.members().views(Instant::now());
    let follower = state.fleet.follower.read();
    let follower = follower.unwrap_or_else(PoisonError::into_inner);
    VersionReport {
        build: env!("CARGO_PKG_VERSION"),
        vm: state.holder.vm.clone(),
        boot: state.holder.boot,
        revision: follower.config().revision(),
        highest: follower.highest(),
        refusal: follower.last_error().map(ToString::to_string),
        ready: follower.is_ready() && !state.fleet.is_leaving(),
        registered: state.fleet.registered.load(Ordering::SeqCst),
        members,
    }
}

/// Settles the account of a run that is proven to be dead. Returns `true` when nothing is left to
/// do.
///
/// Only the rendezvous owner of the dead run calls this, after each read of the VM list until it
/// returns `true`.
pub(crate) async fn reclaim_dead(
    state: &RouterState,
    dead: &HolderId,
    proof: TerminationProof,
) -> bool {
    match state.reclaim(dead, proof).await {
        Ok(report) => report.open_rows == 0,
        Err(error) => {
            tracing::warn!(%dead, %error, "cannot settle the account of a dead router yet");
            false
        }
    }
}

/// Members that this router probes and forwards reports to.
pub(crate) fn neighbour_views(state: &RouterState) -> Vec<MemberView> {
    let views = membership::present_members(state);
    let mut all: Vec<_> = views
        .iter()
        .map(|view| (view.holder.vm.clone(), view.failure_domain.clone()))
        .collect();
    all.push((
        state.holder.vm.clone(),
        state.setting.failure_domain.clone(),
    ));
    let chosen = probe_targets(&state.holder.vm, &state.setting.failure_domain, &all);
    let is_chosen = |view: &MemberView| chosen.contains(&view.holder.vm);
    views.into_iter().filter(is_chosen).collect()
}

/// Intervals of the periodic calls of a router, which depend on the size of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetIntervals {
    /// Between probes of a neighbour.
    pub probe: Duration,
    /// Between reads of the configuration head.
    pub head: Duration,
    /// Between reads of the VM list.
    pub list: Duration,
    /// Between reads of all registrations. Those of VMs new on the list are read with the list.
    pub registrations: Duration,
    /// Between reads of all order rows. A router also reads a row back whenever it changes it.
    pub orders: Duration,
    /// Between read-backs of an engine by its owner.
    pub read_back: Duration,
}

impl FleetIntervals {
    /// Intervals for a fleet in which every router probes every other one.
    const SMALL: Self = Self {
        probe: Duration::from_secs(1),
        head: Duration::from_secs(2),
        list: Duration::from_secs(5),
        registrations: Duration::from_secs(5),
        orders: Duration::from_secs(10),
        read_back: REPAIR_INTERVAL,
    };
    /// Intervals for a larger fleet. 320 routers and 600 engines make 80 head reads, 171
    /// registration reads and 107 order reads per second. The VM list, of 11 KB, is read as often
    /// as it may lag.
    const LARGE: Self = Self {
        probe: Duration::from_secs(1),
        head: Duration::from_secs(4),
        list: Duration::from_secs(60),
        registrations: Duration::from_secs(600),
        orders: Duration::from_secs(1_800),
        read_back: REPAIR_INTERVAL_LARGE,
    };

    /// Intervals for a number of routers.
    pub fn for_routers(routers: usize) -> Self {
        if routers <= FULL_MESH_LIMIT {
            Self::SMALL
        } else {
            Self::LARGE
        }
    }

    /// Intervals for the fleet as this router knows it.
    fn current(state: &RouterState) -> Self {
        Self::for_routers(membership::present_members(state).len() + 1)
    }
}

/// Runs all fleet tasks until the router stops.
pub(crate) async fn run(state: Arc<RouterState>) {
    let mut tasks = JoinSet::new();
    tasks.spawn(config::run(state.clone()));
    tasks.spawn(membership::run_probes(state.clone()));
    tasks.spawn(membership::run_list(state.clone()));
    tasks.spawn(register::run(state.clone()));
    tasks.spawn(placement::run(state.clone()));
    while tasks.join_next().await.is_some() {}
}

/// Sleeps with a jitter of a fifth either way, so that routers started together do not poll in
/// step. Returns `false` when the router stops.
async fn sleep_jittered(state: &RouterState, wait: Duration) -> bool {
    let wait = wait.mul_f64(rand::random_range(0.8..1.2));
    tokio::select! {
        () = tokio::time::sleep(wait) => true,
        () = state.stop.cancelled() => false,
    }
}
