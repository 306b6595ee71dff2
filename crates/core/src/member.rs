//! Membership of the fleet as one router sees it, proof that a run is over, and ownership.
//!
//! Nothing here is agreed between routers. Safety never rests on a state of this table: only a
//! [`TerminationProof`] lets a reclaimer touch the tokens of another run.

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

/// Time without an answer after which a member is suspect: three probe rounds, so that one lost
/// round and one slow answer do not mark it.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Largest lag of the VM list, unless the settings say otherwise.
pub const LIST_LAG: Duration = Duration::from_secs(60);
/// Earlier runs kept in a registration row. An account of a run beyond them stays unresolved.
const EARLIER_LIMIT: usize = 64;
/// Largest fleet in which every router probes every other.
pub const FULL_MESH_LIMIT: usize = 12;
/// Members of its own failure domain that a router probes in a larger fleet.
const DOMAIN_NEIGHBOURS: u64 = 2;
/// Members of other failure domains that a router probes in a larger fleet.
const FAR_NEIGHBOURS: u64 = 1;

/// Key of the registration row of a VM.
pub fn registration_key(vm: &str) -> String {
    format!("vm/{vm}")
}

/// Prefix of all registration rows.
pub const REGISTRATION_PREFIX: &str = "vm/";

/// Run that an entry of the table replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierRun {
    /// Boot of the run.
    pub boot: BootId,
    /// Address of its peer service.
    pub address: SocketAddr,
}

/// Registration of a router run; the row defines the order of the runs of a VM.
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
    /// Whether the latest run ended by itself, after its last commit.
    #[serde(default)]
    pub stopped: bool,
    /// Runs that later ones replaced, oldest first.
    #[serde(default)]
    pub earlier: Vec<EarlierRun>,
}

impl RegistrationRow {
    /// Row of a new run that replaces the row found, if any.
    #[must_use]
    pub fn replacing(mut self, found: Option<Self>) -> Self {
        let Some(found) = found else {
            return self;
        };
        self.earlier = found.earlier;
        self.earlier.push(EarlierRun {
            boot: found.boot,
            address: found.address,
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
    /// Named by the list or the table, and not heard of yet.
    Unknown,
    /// Answers probes.
    Alive,
    /// Does not answer; it may be paused, partitioned or dead.
    Suspect,
    /// Runs, and takes no new work.
    Leaving,
    /// Off the list and silent, or its run is over.
    Gone,
}

/// Why a run can surely not spend any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TerminationProof {
    /// The registration row names it as replaced by a run on the same address.
    NewerBoot,
    /// The VM was on the list after the list's lag had passed since the registration, and left it.
    LeftList,
    /// The run ended by itself after its last commit.
    Returned,
}

/// Notice about a member that routers pass on with their probes. It is a hint that expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNotice {
    /// Member and run.
    pub holder: HolderId,
    /// State that a prober saw.
    pub state: MemberState,
    /// Time since it was seen, in milliseconds; counts on while the notice is passed on.
    pub age_ms: u64,
}

/// Answer of a peer to a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeAnswer {
    /// Run that answered.
    pub holder: HolderId,
    /// Address of its peer service.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its revision in force.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Known facts about a member.
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
    /// Revision in force at its last answer.
    pub revision: Revision,
    /// Whether it calls this router but does not answer it (a one-way partition).
    pub one_way: bool,
}

#[derive(Clone, Debug, Default)]
struct MemberEntry {
    boot: Option<BootId>,
    address: Option<SocketAddr>,
    domain: DomainId,
    revision: Revision,
    /// Runs that a row names as replaced; a run heard only by probe is never among them.
    superseded: BTreeSet<BootId>,
    retired: BTreeSet<BootId>,
    runs: BTreeMap<BootId, RunEntry>,
    answered: Option<Instant>,
    missed: Option<Instant>,
    called: Option<Instant>,
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

/// Members of the fleet other than this router.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: HolderId,
    list_lag: Duration,
    members: BTreeMap<VmId, MemberEntry>,
}

impl MemberTable {
    /// Starts without members.
    pub fn new(own: HolderId, list_lag: Duration) -> Self {
        Self {
            own,
            list_lag,
            members: BTreeMap::new(),
        }
    }

    /// Takes in a registration row that was read by the time `now`.
    pub fn observe_registration(&mut self, row: &RegistrationRow, now: Instant) {
        if row.vm == self.own.vm {
            self.observe_own_row(row, now);
            return;
        }
        let entry = self.members.entry(row.vm.clone()).or_default();
        entry.track(row, now);
        // A row read late may name a run that a later row replaced.
        if entry.superseded.contains(&row.boot) {
            return;
        }
        entry.address = Some(row.address);
        entry.domain = row.failure_domain.clone();
        if entry.boot != Some(row.boot) {
            entry.start_run(row.boot);
        }
    }

    /// Earlier runs on this router's own VM are over as soon as its own row replaced them.
    fn observe_own_row(&mut self, row: &RegistrationRow, now: Instant) {
        let entry = self.members.entry(row.vm.clone()).or_default();
        entry.track(row, now);
    }

    /// Takes in the VM list, whose call started at `started` and whose content may be older than
    /// that by the list's lag.
    pub fn observe_list(&mut self, list: &[(VmId, bool)], started: Instant) {
        for (vm, _) in list {
            if *vm != self.own.vm {
                self.members.entry(vm.clone()).or_default();
            }
        }
        let listed: BTreeMap<&VmId, bool> = list.iter().map(|(vm, left)| (vm, *left)).collect();
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

    /// Takes in the answer to a probe that started at `started`.
    ///
    /// Says whether it counts: answers of replaced runs, and late answers that name another run
    /// than a newer answer did, change nothing.
    pub fn observe_answer(&mut self, answer: &ProbeAnswer, started: Instant, now: Instant) -> bool {
        if answer.holder.vm == self.own.vm {
            return false;
        }
        let entry = self.members.entry(answer.holder.vm.clone()).or_default();
        let boot = answer.holder.boot;
        if entry.superseded.contains(&boot) || entry.retired.contains(&boot) {
            return false;
        }
        if entry.boot != Some(boot) {
            if entry.answered.is_some_and(|answered| started <= answered) {
                return false;
            }
            entry.start_run(boot);
        }
        entry.address = Some(answer.address);
        entry.domain = answer.failure_domain.clone();
        entry.revision = entry.revision.max(answer.revision);
        entry.leaving |= answer.leaving;
        entry.answered = Some(now);
        entry.missed = None;
        entry.notice = None;
        true
    }

    /// Notes that a member did not answer a probe.
    pub fn observe_timeout(&mut self, vm: &VmId, now: Instant) {
        if let Some(entry) = self.members.get_mut(vm) {
            entry.missed.get_or_insert(now);
        }
    }

    /// Notes a call from a member. A call alone proves no two-way connection, so it makes nobody
    /// alive and never replaces a known run.
    pub fn observe_call(&mut self, holder: &HolderId, now: Instant) {
        if holder.vm == self.own.vm {
            return;
        }
        let entry = self.members.entry(holder.vm.clone()).or_default();
        if entry.boot.is_none_or(|boot| boot == holder.boot) {
            entry.called = Some(now);
        }
    }

    /// Notes that a run says, or a peer says of it, that it is leaving; says whether that is news.
    pub fn observe_leaving(&mut self, holder: &HolderId) -> bool {
        let Some(entry) = self.members.get_mut(&holder.vm) else {
            return false;
        };
        let news = entry.boot == Some(holder.boot) && !entry.leaving;
        entry.leaving |= news;
        news
    }

    /// Takes in a notice that a peer passed on; says whether it is news.
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
        let fits = entry.boot == Some(notice.holder.boot);
        if !fits || !newer || entry.answered.is_some_and(|at| at >= seen) {
            return false;
        }
        let news = entry.notice.is_none_or(|(state, _)| state != notice.state);
        entry.notice = Some((notice.state, seen));
        news
    }

    /// Notices about suspect and leaving members for the next probes, at most `limit`.
    pub fn notices(&self, now: Instant, limit: usize) -> Vec<MemberNotice> {
        let mut notices = Vec::new();
        for (vm, entry) in &self.members {
            let (Some(boot), true) = (entry.boot, notices.len() < limit) else {
                continue;
            };
            let (state, seen) = match (entry.state(now), entry.missed, entry.notice) {
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
            if *vm == self.own.vm {
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

    /// Whether the VM list names a VM as leaving; endpoints on the list are covered as well.
    pub fn is_listed_leaving(&self, vm: &str) -> bool {
        let entry = self.members.get(vm);
        entry.is_some_and(|entry| entry.listed == Some(ListedState::Leaving))
    }

    /// VMs of the list whose registration row is not known.
    pub fn unregistered(&self) -> Vec<VmId> {
        let known = |entry: &MemberEntry| match entry.boot {
            Some(boot) => entry.runs.contains_key(&boot),
            None => false,
        };
        let present = |entry: &MemberEntry| entry.listed != Some(ListedState::Absent);
        let unknown = self
            .members
            .iter()
            .filter(|(vm, entry)| **vm != self.own.vm && present(entry) && !known(entry));
        unknown.map(|(vm, _)| vm.clone()).collect()
    }

    /// VMs of this router and of members that are neither leaving nor gone, with their domains.
    pub fn candidates(&self, own_domain: &DomainId, now: Instant) -> Vec<(VmId, DomainId)> {
        let mut candidates = vec![(self.own.vm.clone(), own_domain.clone())];
        for view in self.views(now) {
            if matches!(view.state, MemberState::Alive | MemberState::Unknown) {
                candidates.push((view.holder.vm, view.failure_domain));
            }
        }
        candidates
    }

    /// Proof that a run can surely not spend any more. Silence, however long, is none.
    pub fn proof(&self, holder: &HolderId) -> Option<TerminationProof> {
        if *holder == self.own {
            return None;
        }
        self.members.get(&holder.vm)?.runs.get(&holder.boot)?.proof
    }

    /// Runs that are proven dead and whose accounts were not noted as settled.
    pub fn dead(&self) -> Vec<(HolderId, TerminationProof)> {
        let mut dead = Vec::new();
        for (vm, entry) in &self.members {
            for (boot, run) in &entry.runs {
                let holder = HolderId::new(vm.clone(), *boot);
                if let (Some(proof), false) = (run.proof, run.settled || holder == self.own) {
                    dead.push((holder, proof));
                }
            }
        }
        dead
    }

    /// Notes that the account of a dead run needs no more attention.
    pub fn mark_settled(&mut self, holder: &HolderId) {
        let entry = self.members.get_mut(&holder.vm);
        if let Some(run) = entry.and_then(|entry| entry.runs.get_mut(&holder.boot)) {
            run.settled = true;
        }
    }

    /// Drops members that are gone and whose runs are all settled; a run that comes back is learned
    /// again from its row or its answer.
    pub fn prune(&mut self, now: Instant) {
        let own = self.own.vm.clone();
        self.members.retain(|vm, entry| {
            *vm == own
                || entry.state(now) != MemberState::Gone
                || entry.runs.values().any(|run| !run.settled)
        });
    }
}

impl MemberEntry {
    fn start_run(&mut self, boot: BootId) {
        if let Some(old) = self.boot.replace(boot) {
            self.retired.insert(old);
        }
        self.retired.remove(&boot);
        self.revision = 0;
        self.leaving = false;
        self.answered = None;
        self.missed = None;
        self.called = None;
        self.notice = None;
    }

    fn track(&mut self, row: &RegistrationRow, now: Instant) {
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
            // Only a run that bound the same address shows that the earlier one stopped listening.
            if earlier.address == row.address {
                run.proof.get_or_insert(TerminationProof::NewerBoot);
            }
        }
    }

    fn state(&self, now: Instant) -> MemberState {
        let over = self.boot.and_then(|boot| self.runs.get(&boot));
        if over.is_some_and(|run| run.proof.is_some()) {
            return MemberState::Gone;
        }
        let fresh = |at: Instant| now.saturating_duration_since(at) < SUSPECT_AFTER;
        let answers = self.answered.is_some_and(fresh);
        if self.listed == Some(ListedState::Absent) && !answers {
            return MemberState::Gone;
        }
        if self.leaving || self.listed == Some(ListedState::Leaving) {
            return MemberState::Leaving;
        }
        if answers {
            return MemberState::Alive;
        }
        let missed_long = self.missed.is_some_and(|at| !fresh(at));
        if missed_long || (self.answered.is_some() && self.missed.is_some()) {
            return MemberState::Suspect;
        }
        match self.notice {
            Some((MemberState::Suspect, at)) if fresh(at) => MemberState::Suspect,
            // A member that others probe counts as alive while nobody reports its silence.
            _ if self.answered.is_some() => MemberState::Alive,
            _ if self.boot.is_some() && self.listed == Some(ListedState::Live) => {
                MemberState::Alive
            }
            _ => MemberState::Unknown,
        }
    }

    fn is_one_way(&self, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) < SUSPECT_AFTER;
        self.called.is_some_and(fresh) && self.missed.is_some() && !self.answered.is_some_and(fresh)
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

/// Owner of a key among VMs, by rendezvous hashing: a VM that leaves moves only its own keys.
pub fn owner_of<'a>(key: &str, vms: impl IntoIterator<Item = &'a VmId>) -> Option<&'a VmId> {
    let weight = |vm: &VmId| xxh3_64_with_seed(key.as_bytes(), xxh3_64(vm.as_bytes()));
    vms.into_iter().max_by_key(|vm| (weight(vm), *vm))
}

/// Members that a router probes, and to which it passes on news.
///
/// Up to [`FULL_MESH_LIMIT`] VMs these are all the others. In a larger fleet they are successors on
/// rings that order the VMs by hash, each ring with a seed of its own: two rings of the router's
/// failure domain and one of all VMs, on which it skips its own domain. A ring gives every VM a
/// prober, which a random choice does not, and rings of different order reach all VMs in few hops.
pub fn probe_targets(own: &VmId, own_domain: &DomainId, members: &[(VmId, DomainId)]) -> Vec<VmId> {
    let others = members.iter().filter(|(vm, _)| vm != own);
    if members.len() <= FULL_MESH_LIMIT {
        return others.map(|(vm, _)| vm.clone()).collect();
    }
    let near: Vec<&VmId> = others
        .clone()
        .filter(|(_, domain)| domain == own_domain)
        .map(|(vm, _)| vm)
        .collect();
    let far = others.filter(|(_, domain)| domain != own_domain);
    let far: Vec<&VmId> = far.map(|(vm, _)| vm).collect();
    let mut chosen = Vec::new();
    for seed in 0..DOMAIN_NEIGHBOURS {
        chosen.extend(successor(own, seed, &near, &chosen));
    }
    for seed in DOMAIN_NEIGHBOURS..DOMAIN_NEIGHBOURS + FAR_NEIGHBOURS {
        chosen.extend(successor(own, seed, &far, &chosen));
    }
    chosen
}

/// Next VM on the ring of a seed that is not chosen already.
fn successor(own: &VmId, seed: u64, others: &[&VmId], chosen: &[VmId]) -> Option<VmId> {
    let place = |vm: &VmId| xxh3_64_with_seed(vm.as_bytes(), seed);
    let start = place(own);
    let free = others.iter().filter(|vm| !chosen.contains(vm));
    // The distance wraps around at the end of the ring.
    let next = free.min_by_key(|vm| (place(vm).wrapping_sub(start), **vm));
    next.map(|vm| (*vm).clone())
}
