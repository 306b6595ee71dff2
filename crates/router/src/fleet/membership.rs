//! Probes peers, reads the VM list and the registrations, and forwards reports of leaving members
//! and endpoints.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    futures_util::future::join_all,
    jasminewall_core::{
        BootId, HolderId, VmId,
        member::{
            MemberState, MemberView, ProbeAnswer, REGISTRATION_PREFIX, RegistrationRow, owner_of,
            registration_key,
        },
    },
    jasminewall_ports::VmState,
    jasminewall_wire::{ProbeReply, ProbeRequest},
    smol_str::SmolStr,
    tarpc::context,
    tokio::time::timeout,
};

use super::{FleetIntervals, PLATFORM_TIMEOUT, neighbour_views, reclaim_dead, sleep_jittered};
use crate::{peer, state::RouterState};

/// Timeout for a probe, below the probe interval so that rounds do not overlap.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest number of notices in one probe.
const NOTICE_LIMIT: usize = 8;

/// Members that are not gone.
pub(super) fn present_members(state: &RouterState) -> Vec<MemberView> {
    let mut views = state.fleet.members().views(Instant::now());
    views.retain(|view| view.state != MemberState::Gone);
    views
}

/// Probes the neighbours each second until the router stops.
pub(super) async fn run_probes(state: Arc<RouterState>) {
    while sleep_jittered(&state, FleetIntervals::current(&state).probe).await {
        let mut targets: BTreeSet<SocketAddr> = unknown_seeds(&state).into_iter().collect();
        targets.extend(neighbour_views(&state).iter().map(|view| view.address));
        join_all(targets.into_iter().map(|address| probe(&state, address))).await;
    }
}

/// Probes every known address once.
pub(super) async fn probe_all(state: &Arc<RouterState>) {
    let mut targets: BTreeSet<SocketAddr> = seeds(state).collect();
    targets.extend(present_members(state).iter().map(|view| view.address));
    join_all(targets.into_iter().map(|address| probe(state, address))).await;
}

/// Seeds at which no member is known yet.
fn unknown_seeds(state: &RouterState) -> Vec<SocketAddr> {
    let known: BTreeSet<SocketAddr> = state
        .fleet
        .members()
        .views(Instant::now())
        .iter()
        .map(|view| view.address)
        .collect();
    seeds(state)
        .filter(|address| !known.contains(address))
        .collect()
}

/// Peer addresses from the settings, without that of this router.
fn seeds(state: &RouterState) -> impl Iterator<Item = SocketAddr> {
    let own = state.setting.peer_listen;
    let peers = state.setting.peers.iter().copied();
    peers.filter(move |address| *address != own)
}

/// Probes one peer. A probe that fails well before its timeout is retried once on a new connection.
pub(super) async fn probe(state: &Arc<RouterState>, address: SocketAddr) {
    let started = Instant::now();
    let answer = match try_probe(state, address).await {
        // A reused connection breaks whenever the peer restarts, so one failure is no evidence.
        Err(_) if started.elapsed() < PROBE_TIMEOUT / 2 => try_probe(state, address).await,
        answer => answer,
    };
    match answer {
        Ok(reply) => handle_reply(state, address, reply, started),
        Err(error) => {
            tracing::debug!(%address, %error, "probe of a peer failed");
            let mut members = state.fleet.members();
            let views = members.views(started).into_iter();
            for view in views.filter(|view| view.address == address) {
                members.observe_timeout(&view.holder.vm, Instant::now());
            }
        }
    }
}

async fn try_probe(state: &Arc<RouterState>, address: SocketAddr) -> anyhow::Result<ProbeReply> {
    let request = ProbeRequest {
        holder: state.holder.clone(),
        address: state.setting.peer_listen,
        revision: state.fleet.config().revision(),
        notices: state.fleet.members().notices(Instant::now(), NOTICE_LIMIT),
    };
    let call = async {
        let client = peer::connect(state, address).await?;
        anyhow::Ok(client.probe(context::current(), request).await?)
    };
    let reply = timeout(PROBE_TIMEOUT, call).await;
    let reply = reply.unwrap_or_else(|elapsed| Err(elapsed.into()));
    reply.inspect_err(|_| peer::disconnect(state, address))
}

/// Records the reply to a probe.
fn handle_reply(
    state: &Arc<RouterState>,
    address: SocketAddr,
    reply: ProbeReply,
    started: Instant,
) {
    let now = Instant::now();
    let answer = ProbeAnswer {
        holder: HolderId::new(reply.vm, reply.boot),
        address,
        failure_domain: reply.failure_domain,
        revision: reply.revision,
        leaving: reply.leaving,
    };
    {
        let mut members = state.fleet.members();
        if !members.observe_answer(&answer, started, now) {
            return;
        }
        for notice in &reply.notices {
            members.observe_notice(notice, now);
        }
    }
    state.fleet.observe_revision(reply.revision, address);
}

/// Records the probe of a peer and answers it.
pub(crate) fn answer_probe(state: &RouterState, request: &ProbeRequest) -> ProbeReply {
    let now = Instant::now();
    let notices = {
        let mut members = state.fleet.members();
        members.observe_call(&request.holder, now);
        for notice in &request.notices {
            members.observe_notice(notice, now);
        }
        members.notices(now, NOTICE_LIMIT)
    };
    state
        .fleet
        .observe_revision(request.revision, request.address);
    ProbeReply {
        vm: state.holder.vm.clone(),
        boot: state.holder.boot,
        failure_domain: state.setting.failure_domain.clone(),
        revision: state.fleet.config().revision(),
        leaving: state.fleet.is_leaving(),
        notices,
    }
}

/// Reads the VM list and registrations until the router stops.
pub(super) async fn run_list(state: Arc<RouterState>) {
    let mut rows_read_at: Option<Instant> = None;
    loop {
        if let Err(error) = read_list(&state).await {
            tracing::warn!(%error, "cannot read the VM list; the previous one stays in use");
        }
        let intervals = FleetIntervals::current(&state);
        // In a small fleet, all registrations are read with each read of the list.
        let due = rows_read_at.is_none_or(|at| {
            intervals.registrations <= intervals.list || at.elapsed() >= intervals.registrations
        });
        let rows = if due {
            read_all_rows(&state).await
        } else {
            read_new_rows(&state).await
        };
        match rows {
            Ok(()) if due => rows_read_at = Some(Instant::now()),
            Ok(()) => {}
            Err(error) => tracing::warn!(%error, "cannot read the registrations"),
        }
        settle_dead_runs(&state).await;
        state.fleet.members().prune(Instant::now());
        if !sleep_jittered(&state, intervals.list).await {
            return;
        }
    }
}

async fn read_list(state: &RouterState) -> anyhow::Result<()> {
    let started = Instant::now();
    let list = timeout(PLATFORM_TIMEOUT, state.ports.vms.list()).await??;
    let list: Vec<(VmId, bool)> = list
        .into_iter()
        .map(|entry| (entry.vm, entry.state == VmState::Leaving))
        .collect();
    state.fleet.members().observe_list(&list, started);
    Ok(())
}

/// Reads all registrations.
async fn read_all_rows(state: &RouterState) -> anyhow::Result<()> {
    let scan = state.ports.table.scan(REGISTRATION_PREFIX);
    for row in timeout(PLATFORM_TIMEOUT, scan).await?? {
        observe_row(state, &row.value);
    }
    Ok(())
}

/// Reads the registrations of VMs on the list that have none yet.
async fn read_new_rows(state: &RouterState) -> anyhow::Result<()> {
    let unregistered = state.fleet.members().unregistered();
    for vm in unregistered {
        let key = registration_key(&vm);
        let read = state.ports.table.read(&key);
        if let Some(row) = timeout(PLATFORM_TIMEOUT, read).await?? {
            observe_row(state, &row.value);
        }
    }
    Ok(())
}

fn observe_row(state: &RouterState, text: &str) {
    match serde_json::from_str::<RegistrationRow>(text) {
        Ok(row) => {
            let mut members = state.fleet.members();
            members.observe_registration(&row, Instant::now());
        }
        Err(error) => {
            tracing::warn!(%error, "cannot parse a registration row; update the router");
        }
    }
}

/// Settles the accounts of the dead runs whose rendezvous owner is this router.
async fn settle_dead_runs(state: &RouterState) {
    let (dead, candidates) = {
        let members = state.fleet.members();
        let domain = &state.setting.failure_domain;
        (members.dead(), members.candidates(domain, Instant::now()))
    };
    for (holder, proof) in dead {
        let vms = candidates.iter().map(|(vm, _)| vm);
        if owner_of(&holder.to_string(), vms) != Some(&state.holder.vm) {
            continue;
        }
        if reclaim_dead(state, &holder, proof).await {
            state.fleet.members().mark_settled(&holder);
        }
    }
}

/// Reports a leaving router run or endpoint (boot 0) to the neighbours, in the background.
pub(super) fn spawn_send_leaving(state: &Arc<RouterState>, name: &SmolStr, boot: BootId) {
    let state = state.clone();
    let name = name.clone();
    tokio::spawn(async move { send_leaving(&state, &name, boot).await });
}

/// Reports a leaving router run or endpoint (boot 0) to the neighbours.
pub(super) async fn send_leaving(state: &Arc<RouterState>, name: &SmolStr, boot: BootId) {
    let neighbours = neighbour_views(state);
    let sends = neighbours.iter().map(|view| async {
        let call = async {
            let client = peer::connect(state, view.address).await?;
            anyhow::Ok(
                client
                    .leaving(context::current(), name.clone(), boot)
                    .await?,
            )
        };
        if !matches!(timeout(PROBE_TIMEOUT, call).await, Ok(Ok(()))) {
            tracing::debug!(peer = %view.holder, %name, "cannot send a leaving notice to a peer; probes repeat it for members");
        }
    });
    join_all(sends).await;
}
