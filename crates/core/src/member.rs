//! Fleet membership as seen by one router, proof that a run has ended, and key ownership.
//!
//! Membership is not agreed between routers, so safety does not depend on it: only a
//! [`TerminationProof`] allows another router to reclaim the tokens of a run.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

use crate::{BootId, DomainId, HolderId, Revision, VmId};

/// Time without an answer after which a member is suspect: three probe rounds, to tolerate one lost
/// probe and one slow answer.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Default for the maximum lag of the VM list.
pub const LIST_LAG: Duration = Duration::from_secs(60);
/// Maximum number of earlier runs in a registration row. Accounts of even earlier runs stay
/// unresolved.
const EARLIER_LIMIT: usize = 64;
/// Maximum number of VMs up to which every router probes every other.
pub const FULL_MESH_LIMIT: usize = 12;
/// Number of members of its own failure domain that a router probes in a larger fleet.
const DOMAIN_TARGETS: u64 = 2;
/// Number of members of other failure domains that a router probes in a larger fleet.
const REMOTE_TARGETS: u64 = 1;

/// Key of the registration row of a VM.
pub fn registration_key(vm: &str) -> String {
    format!("vm/{vm}")
}

/// Key prefix of all registration rows.
pub const REGISTRATION_PREFIX: &str = "vm/";

/// Earlier run on the same VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierRun {
    /// Id of the run.
    pub boot: BootId,
    /// Address of its peer service.
    pub address: SocketAddr,
}

/// Registration of a router run; defines the order of the runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistrationRow {
    /// VM on which the router runs.
    pub vm: VmId,
    /// Latest run.
    pub boot: BootId,
    /// Address of its peer service.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: DomainId,
    /// Whether the latest run stopped by itself after its last commit.
    #[serde(default)]
    pub stopped: bool,
    /// Replaced runs, oldest first.
    #[serde(default)]
    pub earlier: Vec<EarlierRun>,
}

impl RegistrationRow {
    /// Adds the runs of the row that this one replaces, if any.
    #[must_use]
    pub fn replacing(mut self, previous: Option<Self>) -> Self {
        let Some(previous) = previous else {
            return self;
        };
        self.earlier = previous.earlier;
        self.earlier.push(EarlierRun {
            boot: previous.boot,
            address: previous.address,
        });
        let excess = self.earlier.len().saturating_sub(EARLIER_LIMIT);
        self.earlier.drain(..excess);
        self
    }
}

/// State of a member as this router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// On the VM list or registered, but no contact yet.
    Unknown,
    /// Answers probes, or is not reported as unresponsive.
    Alive,
    /// Does not answer; may be paused, partitioned or dead.
    Suspect,
    /// Running, but takes no new work.
    Leaving,
    /// Unresponsive and no longer on the list, or its run has ended.
    Gone,
}

/// Proof that a run can no longer spend tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TerminationProof {
    /// The registration row shows that a run on the same address replaced it.
    NewerBoot,
    /// The VM was on the list after the list's lag had passed since the registration, and later left
    /// the list.
    LeftList,
    /// The run stopped by itself after its last commit.
    Returned,
}

/// Notice about a member that routers forward with their probes; ignored once it is older than
/// [`SUSPECT_AFTER`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNotice {
    /// Member and run.
    pub holder: HolderId,
    /// State that a prober observed.
    pub state: MemberState,
    /// Time since the observation, in milliseconds; accumulates while the notice is forwarded.
    pub age_ms: u64,
}

/// Answer of a peer to a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeAnswer {
    /// Run that answered.
    pub holder: HolderId,
    /// Address of its peer service.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub failure_domain: DomainId,
    /// Its active configuration revision.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Known state of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// VM and its latest known run.
    pub holder: HolderId,
    /// Address of its peer service.
    pub address: SocketAddr,
    /// Failure domain, empty while unknown.
    pub failure_domain: DomainId,
    /// State.
    pub state: MemberState,
    /// Highest configuration revision that it reported.
    pub revision: Revision,
    /// Whether it calls this router but does not answer probes (a one-way partition).
    pub one_way: bool,
}

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    /// Latest known run.
    boot: Option<BootId>,
    address: Option<SocketAddr>,
    domain: DomainId,
    revision: Revision,
    /// Runs that a registration row lists as replaced; never a run known only from probes.
    superseded: BTreeSet<BootId>,
    /// Runs that were the latest known one until a row or an answer named another.
    retired: BTreeSet<BootId>,
    runs: BTreeMap<BootId, RunEntry>,
    last_answer: Option<Instant>,
    missed_since: Option<Instant>,
    last_call: Option<Instant>,
    leaving: bool,
    listed: Option<ListedState>,
    notice: Option<(MemberState, Instant)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListedState {
    Live,
    Leaving,
    Absent,
}

#[derive(Clone, Copy, Debug)]
struct RunEntry {
    registered: Instant,
    listed_after_lag: bool,
    settled: bool,
    proof: Option<TerminationProof>,
}

/// Members of the fleet as known to this router.
#[derive(Clone, Debug)]
pub struct MemberTable {
    local: HolderId,
    list_lag: Duration,
    members: BTreeMap<VmId, MemberEntry>,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new(local: HolderId, list_lag: Duration) -> Self {
        Self {
            local,
            list_lag,
            members: BTreeMap::new(),
        }
    }

    /// Processes a registration row that was read at or before `now`.
    pub fn observe_registration(&mut self, row: &RegistrationRow, now: Instant) {
        if row.vm == self.local.vm {
            self.observe_own_row(row, now);
            return;
        }
        let entry = self.members.entry(row.vm.clone()).or_default();
        entry.record_runs(row, now);
        // A row that arrives late may contain a run that a later row replaced.
        if entry.superseded.contains(&row.boot) {
            return;
        }
        entry.address = Some(row.address);
        entry.domain = row.failure_domain.clone();
        if entry.boot != Some(row.boot) {
            entry.replace_run(row.boot);
        }
    }

    /// Processes the row of this router's own VM; earlier runs have ended once its row replaces them.
    fn observe_own_row(&mut self, row: &RegistrationRow, now: Instant) {
        let entry = self.members.entry(row.vm.clone()).or_default();
        entry.record_runs(row, now);
    }

    /// Processes the VM list, which has each VM with whether it is leaving. `started` is the start of the
    /// call; the content may be older than that by the list's lag.
    pub fn observe_list(&mut self, list: &[(VmId, bool)], started: Instant) {
        for (vm, _) in list {
            if *vm != self.local.vm {
                self.members.entry(vm.clone()).or_default();
            }
        }
        let listed: BTreeMap<&VmId, bool> =
            list.iter().map(|(vm, leaving)| (vm, *leaving)).collect();
        for (vm, entry) in &mut self.members {
            let found = listed.get(vm).copied();
            entry.listed = match found {
                Some(true) => Some(ListedState::Leaving),
                Some(false) => Some(ListedState::Live),
                None => entry.listed.map(|_| ListedState::Absent),
            };
            for run in entry.runs.values_mut() {
                run.observe_list(found.is_some(), started, self.list_lag);
            }
        }
    }

    /// Processes the answer to a probe that started at `started`.
    ///
    /// Returns `false` without effect for answers of replaced runs, and for late answers of another
    /// run than a newer answer.
    pub fn observe_answer(&mut self, answer: &ProbeAnswer, started: Instant, now: Instant) -> bool {
        if answer.holder.vm == self.local.vm {
            return false;
        }
        let entry = self.members.entry(answer.holder.vm.clone()).or_default();
        let boot = answer.holder.boot;
        if entry.superseded.contains(&boot) || entry.retired.contains(&boot) {
            return false;
        }
        if entry.boot != Some(boot) {
            if entry
                .last_answer
                .is_some_and(|last_answer| started <= last_answer)
            {
                return false;
            }
            entry.replace_run(boot);
        }
        entry.address = Some(answer.address);
        entry.domain = answer.failure_domain.clone();
        entry.revision = entry.revision.max(answer.revision);
        entry.leaving |= answer.leaving;
        entry.last_answer = Some(now);
        entry.missed_since = None;
        entry.notice = None;
        true
    }

    /// Records that a member did not answer a probe.
    pub fn observe_timeout(&mut self, vm: &VmId, now: Instant) {
        if let Some(entry) = self.members.get_mut(vm) {
            entry.missed_since.get_or_insert(now);
        }
    }

    /// Records a call from a member. A call alone does not prove a two-way connection, so it neither
    /// makes a member alive nor replaces a known run.
    pub fn observe_call(&mut self, holder: &HolderId, now: Instant) {
        if holder.vm == self.local.vm {
            return;
        }
        let entry = self.members.entry(holder.vm.clone()).or_default();
        if entry.boot.is_none_or(|boot| boot == holder.boot) {
            entry.last_call = Some(now);
        }
    }

    /// Records that a run is leaving, as reported by itself or by a peer; returns whether this is new.
    pub fn observe_leaving(&mut self, holder: &HolderId) -> bool {
        let Some(entry) = self.members.get_mut(&holder.vm) else {
            return false;
        };
        let is_new = entry.boot == Some(holder.boot) && !entry.leaving;
        entry.leaving |= is_new;
        is_new
    }

    /// Processes a notice forwarded by a peer; returns whether it is new.
    pub fn observe_notice(&mut self, notice: &MemberNotice, now: Instant) -> bool {
        let age = Duration::from_millis(notice.age_ms);
        if age >= SUSPECT_AFTER {
            return false;
        }
        if notice.state == MemberState::Leaving {
            return self.observe_leaving(&notice.holder);
        }
        let Some(entry) = self.members.get_mut(&notice.holder.vm) else {
            return false;
        };
        let seen = now.checked_sub(age).unwrap_or(now);
        let newer = entry.notice.is_none_or(|(_, at)| at < seen);
        let is_current_run = entry.boot == Some(notice.holder.boot);
        if !is_current_run || !newer || entry.last_answer.is_some_and(|at| at >= seen) {
            return false;
        }
        let is_new = entry.notice.is_none_or(|(state, _)| state != notice.state);
        entry.notice = Some((notice.state, seen));
        is_new
    }

    /// Notices about suspect and leaving members to send with the next probes, at most `limit`.
    pub fn notices(&self, now: Instant, limit: usize) -> Vec<MemberNotice> {
        let mut notices = Vec::new();
        for (vm, entry) in &self.members {
            let (Some(boot), true) = (entry.boot, notices.len() < limit) else {
                continue;
            };
            let (state, seen) = match (entry.state(now), entry.missed_since, entry.notice) {
                (MemberState::Leaving, ..) => (MemberState::Leaving, now),
                (MemberState::Suspect, Some(_), _) => (MemberState::Suspect, now),
                (MemberState::Suspect, None, Some(notice)) => notice,
                _ => continue,
            };
            let age = now.saturating_duration_since(seen);
            notices.push(MemberNotice {
                holder: HolderId::new(vm.clone(), boot),
                state,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            });
        }
        notices
    }

    /// State of a member.
    pub fn state(&self, vm: &VmId, now: Instant) -> MemberState {
        let entry = self.members.get(vm);
        entry.map_or(MemberState::Unknown, |entry| entry.state(now))
    }

    /// Members with a known run and address.
    pub fn views(&self, now: Instant) -> Vec<MemberView> {
        let view = |(vm, entry): (&VmId, &MemberEntry)| {
            if *vm == self.local.vm {
                return None;
            }
            Some(MemberView {
                holder: HolderId::new(vm.clone(), entry.boot?),
                address: entry.address?,
                failure_domain: entry.domain.clone(),
                state: entry.state(now),
                revision: entry.revision,
                one_way: entry.is_one_way(now),
            })
        };
        self.members.iter().filter_map(view).collect()
    }

    /// Whether a VM or an endpoint is marked as leaving on the VM list.
    pub fn is_listed_leaving(&self, vm: &str) -> bool {
        let entry = self.members.get(vm);
        entry.is_some_and(|entry| entry.listed == Some(ListedState::Leaving))
    }

    /// VMs, except those that left the list, whose current registration row is not known.
    pub fn unregistered(&self) -> Vec<VmId> {
        let has_row = |entry: &MemberEntry| match entry.boot {
            Some(boot) => entry.runs.contains_key(&boot),
            None => false,
        };
        let present = |entry: &MemberEntry| entry.listed != Some(ListedState::Absent);
        let unknown = self
            .members
            .iter()
            .filter(|(vm, entry)| **vm != self.local.vm && present(entry) && !has_row(entry));
        unknown.map(|(vm, _)| vm.clone()).collect()
    }

    /// VMs eligible to own keys, with their domains: this router's and those of alive or unknown members.
    pub fn candidates(&self, local_domain: &DomainId, now: Instant) -> Vec<(VmId, DomainId)> {
        let mut candidates = vec![(self.local.vm.clone(), local_domain.clone())];
        for view in self.views(now) {
            if matches!(view.state, MemberState::Alive | MemberState::Unknown) {
                candidates.push((view.holder.vm, view.failure_domain));
            }
        }
        candidates
    }

    /// Proof that a run can no longer spend tokens, if there is one. Unresponsiveness is never a proof,
    /// however long it lasts.
    pub fn proof(&self, holder: &HolderId) -> Option<TerminationProof> {
        if *holder == self.local {
            return None;
        }
        self.members.get(&holder.vm)?.runs.get(&holder.boot)?.proof
    }

    /// Runs that are proven to have ended and are not marked as settled.
    pub fn dead(&self) -> Vec<(HolderId, TerminationProof)> {
        let mut dead = Vec::new();
        for (vm, entry) in &self.members {
            for (boot, run) in &entry.runs {
                let holder = HolderId::new(vm.clone(), *boot);
                if let (Some(proof), false) = (run.proof, run.settled || holder == self.local) {
                    dead.push((holder, proof));
                }
            }
        }
        dead
    }

    /// Marks the account of a dead run as settled.
    pub fn mark_settled(&mut self, holder: &HolderId) {
        let entry = self.members.get_mut(&holder.vm);
        if let Some(run) = entry.and_then(|entry| entry.runs.get_mut(&holder.boot)) {
            run.settled = true;
        }
    }

    /// Removes members that are gone and whose runs are all settled. A run that reappears is added again
    /// from its row or its answer.
    pub fn prune(&mut self, now: Instant) {
        let local = self.local.vm.clone();
        self.members.retain(|vm, entry| {
            *vm == local
                || entry.state(now) != MemberState::Gone
                || entry.runs.values().any(|run| !run.settled)
        });
    }
}

impl MemberEntry {
    fn replace_run(&mut self, boot: BootId) {
        if let Some(old) = self.boot.replace(boot) {
            self.retired.insert(old);
        }
        self.retired.remove(&boot);
        self.revision = 0;
        self.leaving = false;
        self.last_answer = None;
        self.missed_since = None;
        self.last_call = None;
        self.notice = None;
    }

    fn record_runs(&mut self, row: &RegistrationRow, now: Instant) {
        let new = RunEntry {
            registered: now,
            listed_after_lag: false,
            settled: false,
            proof: None,
        };
        let run = self.runs.entry(row.boot).or_insert(new);
        if row.stopped {
            run.proof.get_or_insert(TerminationProof::Returned);
        }
        for earlier in &row.earlier {
            self.superseded.insert(earlier.boot);
            let run = self.runs.entry(earlier.boot).or_insert(new);
            // Only a run that bound the same address proves that the earlier one stopped listening.
            if earlier.address == row.address {
                run.proof.get_or_insert(TerminationProof::NewerBoot);
            }
        }
    }

    fn state(&self, now: Instant) -> MemberState {
        let run = self.boot.and_then(|boot| self.runs.get(&boot));
        if run.is_some_and(|run| run.proof.is_some()) {
            return MemberState::Gone;
        }
        let fresh = |at: Instant| now.saturating_duration_since(at) < SUSPECT_AFTER;
        let is_responsive = self.last_answer.is_some_and(fresh);
        if self.listed == Some(ListedState::Absent) && !is_responsive {
            return MemberState::Gone;
        }
        if self.leaving || self.listed == Some(ListedState::Leaving) {
            return MemberState::Leaving;
        }
        if is_responsive {
            return MemberState::Alive;
        }
        let is_overdue = self.missed_since.is_some_and(|at| !fresh(at));
        if is_overdue || (self.last_answer.is_some() && self.missed_since.is_some()) {
            return MemberState::Suspect;
        }
        match self.notice {
            Some((MemberState::Suspect, at)) if fresh(at) => MemberState::Suspect,
            // A member probed by others is alive unless one of them reports it as suspect.
            _ if self.last_answer.is_some() => MemberState::Alive,
            _ if self.boot.is_some() && self.listed == Some(ListedState::Live) => {
                MemberState::Alive
            }
            _ => MemberState::Unknown,
        }
    }

    fn is_one_way(&self, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) < SUSPECT_AFTER;
        self.last_call.is_some_and(fresh)
            && self.missed_since.is_some()
            && !self.last_answer.is_some_and(fresh)
    }
}

impl RunEntry {
    fn observe_list(&mut self, listed: bool, started: Instant, lag: Duration) {
        if started < self.registered + lag {
            return;
        }
        if listed {
            self.listed_after_lag = true;
        } else if self.listed_after_lag {
            self.proof.get_or_insert(TerminationProof::LeftList);
        }
    }
}

/// Owner of a key among VMs by rendezvous hashing: removing a VM only moves the keys that it owned.
pub fn owner_of<'a>(key: &str, vms: impl IntoIterator<Item = &'a VmId>) -> Option<&'a VmId> {
    let weight = |vm: &VmId| xxh3_64_with_seed(key.as_bytes(), xxh3_64(vm.as_bytes()));
    vms.into_iter().max_by_key(|vm| (weight(vm), *vm))
}

/// Members that a router probes and forwards notices to.
///
/// Up to [`FULL_MESH_LIMIT`] VMs these are all others. In a larger fleet they are the router's
/// successors on rings that order the VMs by hash, each with its own seed: two rings of its own
/// failure domain and one of all VMs without that domain. Unlike a random choice, a ring gives every
/// VM a prober, and rings of different order spread notices to all VMs in few hops.
pub fn probe_targets(
    local: &VmId,
    local_domain: &DomainId,
    members: &[(VmId, DomainId)],
) -> Vec<VmId> {
    let others = members.iter().filter(|(vm, _)| vm != local);
    if members.len() <= FULL_MESH_LIMIT {
        return others.map(|(vm, _)| vm.clone()).collect();
    }
    let same_domain: Vec<&VmId> = others
        .clone()
        .filter(|(_, domain)| domain == local_domain)
        .map(|(vm, _)| vm)
        .collect();
    let other_domains = others.filter(|(_, domain)| domain != local_domain);
    let other_domains: Vec<&VmId> = other_domains.map(|(vm, _)| vm).collect();
    let mut chosen = Vec::new();
    for seed in 0..DOMAIN_TARGETS {
        chosen.extend(successor(local, seed, &same_domain, &chosen));
    }
    for seed in DOMAIN_TARGETS..DOMAIN_TARGETS + REMOTE_TARGETS {
        chosen.extend(successor(local, seed, &other_domains, &chosen));
    }
    chosen
}

/// Next VM on the ring of a seed that is not yet chosen.
fn successor(local: &VmId, seed: u64, others: &[&VmId], chosen: &[VmId]) -> Option<VmId> {
    let position = |vm: &VmId| xxh3_64_with_seed(vm.as_bytes(), seed);
    let start = position(local);
    let free = others.iter().filter(|vm| !chosen.contains(vm));
    // Ring distances wrap around.
    let next = free.min_by_key(|vm| (position(vm).wrapping_sub(start), **vm));
    next.map(|vm| (*vm).clone())
}
