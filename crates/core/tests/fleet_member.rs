//! Guards against a termination proof for a run that can still spend, against messages of older runs
//! that change the state of a newer one, and against members that no router probes.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        HolderId, VmId,
        member::{
            EarlierRun, MemberState, MemberTable, ProbeAnswer, RegistrationRow, TerminationProof,
            owner_of, probe_targets,
        },
    },
    quickcheck::QuickCheck,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
};

const SCHEDULES: u64 = 10_000;
const STEPS: usize = 150;
/// Maximum number of hops for a notice to reach all routers. A leaving endpoint must be known within
/// 3 s at the 0.1 s per hop of a busy router; with the probe timeout of 0.8 s per hop, only three hops
/// would fit.
const MAX_HOPS: usize = 30;
const LAG: Duration = Duration::from_secs(60);

fn row(vm: &str, boot: u64, port: u16) -> RegistrationRow {
    RegistrationRow {
        vm: vm.into(),
        boot,
        address: ([10, 0, 0, 1], port).into(),
        failure_domain: "domain-a".into(),
        stopped: false,
        earlier: Vec::new(),
    }
}

fn answer(vm: &str, boot: u64) -> ProbeAnswer {
    ProbeAnswer {
        holder: HolderId::new(vm, boot),
        address: ([10, 0, 0, 1], 1).into(),
        failure_domain: "domain-a".into(),
        revision: 1,
        leaving: false,
    }
}

fn table() -> MemberTable {
    MemberTable::new(HolderId::new("own", 1), LAG)
}

/// History of one VM name: successive VM instances, each with successive runs.
#[derive(Default)]
struct VmHistory {
    up: bool,
    port: u16,
    /// Run that can still spend tokens, even if it is paused.
    active_run: Option<u64>,
    row: Option<RegistrationRow>,
    /// State changes of the VM, as second and whether it was up since then.
    history: Vec<(u64, bool)>,
}

impl VmHistory {
    fn set_up(&mut self, second: u64, up: bool) {
        self.up = up;
        self.history.push((second, up));
    }

    fn was_up(&self, second: u64) -> bool {
        let past = self.history.iter().rev();
        past.into_iter()
            .find(|(at, _)| *at <= second)
            .is_some_and(|(_, up)| *up)
    }
}

#[derive(Clone)]
enum Delayed {
    Row(RegistrationRow),
    Answer(ProbeAnswer, Instant),
    Call(HolderId),
    List(Vec<(VmId, bool)>, Instant),
}

struct FailureSchedule {
    rng: ChaCha8Rng,
    start: Instant,
    second: u64,
    next_boot: u64,
    vms: BTreeMap<VmId, VmHistory>,
    delayed: Vec<Delayed>,
    table: MemberTable,
}

impl FailureSchedule {
    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.second)
    }

    fn step(&mut self) {
        self.second += self.rng.random_range(0..20);
        let name = *["a", "b"].choose(&mut self.rng).unwrap();
        let (second, now) = (self.second, self.now());
        let vm = self.vms.get_mut(name).unwrap();
        match self.rng.random_range(0..11) {
            // A VM of this name starts, on the previous address or on a new one.
            0 if !vm.up => {
                vm.set_up(second, true);
                vm.port += u16::from(self.rng.random::<bool>());
            }
            1 if vm.up && self.rng.random_ratio(1, 2) => {
                vm.set_up(second, false);
                vm.active_run = None;
            }
            // A new run registers after it bound the port, which the older run must have released.
            2 if vm.up => {
                self.next_boot += 1;
                vm.active_run = Some(self.next_boot);
                let next = row(name, self.next_boot, vm.port);
                vm.row = Some(next.replacing(vm.row.take()));
            }
            3 if vm.up && self.rng.random_ratio(1, 3) => {
                let registered = vm
                    .row
                    .as_mut()
                    .filter(|row| Some(row.boot) == vm.active_run);
                if let Some(registered) = registered {
                    registered.stopped = true;
                    vm.active_run = None;
                }
            }
            4 => self.delayed.extend(vm.row.clone().map(Delayed::Row)),
            5 => {
                let boot = vm.active_run.unwrap_or(self.next_boot);
                self.delayed.push(Delayed::Answer(answer(name, boot), now));
                self.delayed.push(Delayed::Call(HolderId::new(name, boot)));
            }
            6 => self.table.observe_timeout(&name.into(), now),
            7 | 8 => self.read_list(),
            _ => self.deliver(),
        }
    }

    /// Reads the VM list, each entry delayed by up to the lag.
    fn read_list(&mut self) {
        let mut list = Vec::new();
        for (name, vm) in &self.vms {
            let delay = self.rng.random_range(0..LAG.as_secs());
            if vm.was_up(self.second.saturating_sub(delay)) {
                list.push((name.clone(), self.rng.random_ratio(1, 4)));
            }
        }
        self.delayed.push(Delayed::List(list, self.now()));
    }

    fn deliver(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.delayed.len());
        let message = self.delayed[index].clone();
        if self.rng.random_ratio(3, 4) {
            self.delayed.swap_remove(index);
        }
        let now = self.now();
        match message {
            Delayed::Row(row) => self.table.observe_registration(&row, now),
            Delayed::Answer(answer, started) => {
                self.table.observe_answer(&answer, started, now);
            }
            Delayed::Call(holder) => self.table.observe_call(&holder, now),
            Delayed::List(list, started) => self.table.observe_list(&list, started),
        }
    }

    fn active_runs_have_no_proof(&self) -> bool {
        self.vms.iter().all(|(name, vm)| {
            let proof = |boot| self.table.proof(&HolderId::new(name.clone(), boot));
            vm.active_run.and_then(proof).is_none()
        })
    }
}

fn failure_schedule(seed: u64) -> bool {
    let mut schedule = FailureSchedule {
        rng: ChaCha8Rng::seed_from_u64(seed),
        start: Instant::now(),
        second: 100,
        next_boot: 0,
        vms: [
            ("a".into(), VmHistory::default()),
            ("b".into(), VmHistory::default()),
        ]
        .into(),
        delayed: Vec::new(),
        table: table(),
    };
    (0..STEPS).all(|_| {
        schedule.step();
        schedule.active_runs_have_no_proof()
    })
}

#[test]
fn no_termination_proof_for_a_run_that_can_spend() {
    QuickCheck::new()
        .tests(SCHEDULES)
        .quickcheck(failure_schedule as fn(u64) -> bool);
}

/// Guards against a missing proof, which would block tokens forever.
#[test]
fn each_proof_is_given_when_its_evidence_is_complete() {
    let start = Instant::now();
    let (old, gone) = (HolderId::new("a", 1), HolderId::new("b", 2));
    let mut members = table();
    members.observe_registration(&row("a", 1, 1), start);
    members.observe_registration(&row("b", 2, 1), start);
    let both = [("a".into(), false), ("b".into(), false)];
    members.observe_list(&both, start + LAG / 2);
    members.observe_list(&both[..1], start + LAG);
    assert_eq!(
        members.proof(&gone),
        None,
        "never seen on the list after the lag"
    );
    members.observe_list(&both, start + LAG);
    members.observe_list(&both[..1], start + LAG + Duration::from_secs(1));
    assert_eq!(members.proof(&gone), Some(TerminationProof::LeftList));

    let silence = start + Duration::from_secs(86_400);
    members.observe_timeout(&"a".into(), start);
    assert_eq!(members.state(&"a".into(), silence), MemberState::Suspect);
    assert_eq!(
        members.proof(&old),
        None,
        "unresponsiveness for a day is no proof"
    );
    members.observe_registration(&row("a", 3, 2).replacing(Some(row("a", 1, 1))), silence);
    assert_eq!(
        members.proof(&old),
        None,
        "the newer run has another address"
    );
    let mut same = row("a", 4, 1);
    same.earlier = vec![EarlierRun {
        boot: 1,
        address: same.address,
    }];
    members.observe_registration(&same, silence);
    assert_eq!(members.proof(&old), Some(TerminationProof::NewerBoot));

    same.stopped = true;
    members.observe_registration(&same, silence);
    assert_eq!(
        members.proof(&HolderId::new("a", 4)),
        Some(TerminationProof::Returned)
    );
    let dead = members.dead();
    assert_eq!(dead.len(), 3);
    for (holder, _) in &dead {
        members.mark_settled(holder);
    }
    assert!(
        members.dead().is_empty(),
        "a settled run is not settled again"
    );
}

/// Guards against delayed answers and calls from an older run on the same address.
#[test]
fn messages_of_an_older_run_change_nothing() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut members = table();
    assert!(members.observe_answer(&answer("a", 1), at(0), at(0)));
    assert!(members.observe_answer(&answer("a", 2), at(2), at(3)));
    assert!(
        !members.observe_answer(&answer("a", 1), at(1), at(4)),
        "late answer"
    );
    assert!(
        !members.observe_answer(&answer("a", 1), at(5), at(6)),
        "answer over an old connection"
    );
    assert!(!members.observe_leaving(&HolderId::new("a", 1)));
    members.observe_call(&HolderId::new("a", 1), at(6));
    let view = &members.views(at(4))[0];
    assert_eq!((view.holder.boot, view.state), (2, MemberState::Alive));
}

#[test]
fn one_way_partition_shows_as_a_suspect_that_calls() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut members = table();
    members.observe_answer(&answer("a", 1), at(0), at(0));
    for second in 1..=5 {
        members.observe_timeout(&"a".into(), at(second));
        members.observe_call(&HolderId::new("a", 1), at(second));
    }
    let view = &members.views(at(5))[0];
    assert_eq!((view.state, view.one_way), (MemberState::Suspect, true));
    members.observe_answer(&answer("a", 1), at(6), at(6));
    let view = &members.views(at(6))[0];
    assert_eq!((view.state, view.one_way), (MemberState::Alive, false));
}

#[test]
fn states_follow_the_list_and_the_run_itself() {
    let start = Instant::now();
    let mut members = table();
    let vm: VmId = "a".into();
    assert_eq!(members.state(&vm, start), MemberState::Unknown);
    members.observe_list(&[(vm.clone(), false)], start);
    assert_eq!(members.state(&vm, start), MemberState::Unknown);
    members.observe_answer(&answer("a", 1), start, start);
    assert_eq!(members.state(&vm, start), MemberState::Alive);
    assert!(members.observe_leaving(&HolderId::new("a", 1)));
    assert_eq!(members.state(&vm, start), MemberState::Leaving);
    let later = start + Duration::from_secs(10);
    members.observe_answer(&answer("a", 2), later, later);
    assert_eq!(
        members.state(&vm, later),
        MemberState::Alive,
        "a new run stays"
    );
    members.observe_list(&[(vm.clone(), true)], later);
    assert_eq!(members.state(&vm, later), MemberState::Leaving);
    members.observe_list(&[], later);
    let silent = later + Duration::from_secs(10);
    assert_eq!(members.state(&vm, silent), MemberState::Gone);
}

/// Guards against members that no router probes, and against probe load that grows with the fleet.
#[test]
fn each_member_of_a_large_fleet_has_a_prober_in_its_domain() {
    let members: Vec<(VmId, VmId)> = (0..320)
        .map(|index| {
            (
                format!("vm-{index}").into(),
                format!("d{}", index % 8).into(),
            )
        })
        .collect();
    let mut probers = BTreeMap::<VmId, usize>::new();
    for (vm, domain) in &members {
        let chosen = probe_targets(vm, domain, &members);
        assert_eq!(chosen.len(), 3);
        let domains: BTreeMap<_, _> = members.iter().cloned().collect();
        for target in chosen.iter().filter(|other| domains[*other] == *domain) {
            *probers.entry(target.clone()).or_default() += 1;
        }
    }
    assert_eq!(probers.len(), 320);
    check_dissemination(&members);
    assert!(
        probers.values().all(|count| (1..=4).contains(count)),
        "{probers:?}"
    );
}

/// Guards against notices that do not reach every router, or only after too many hops.
fn check_dissemination(members: &[(VmId, VmId)]) {
    let domains: BTreeMap<_, _> = members.iter().cloned().collect();
    let mut informed = BTreeSet::from([members[0].0.clone()]);
    let mut hops = 0;
    while informed.len() < members.len() {
        let next = informed
            .iter()
            .flat_map(|vm| probe_targets(vm, &domains[vm], members));
        let next: BTreeSet<VmId> = next.collect();
        assert!(
            !next.is_subset(&informed),
            "the notice stops at {} routers",
            informed.len()
        );
        informed.extend(next);
        hops += 1;
    }
    assert!(hops <= MAX_HOPS, "{hops} hops");
}

#[test]
fn a_vm_that_leaves_moves_only_its_own_keys() {
    let vms: BTreeSet<VmId> = (0..9).map(|index| format!("vm-{index}").into()).collect();
    let remaining: BTreeSet<VmId> = vms.iter().filter(|vm| *vm != "vm-3").cloned().collect();
    let mut moved = 0;
    for key in (0..600).map(|index| format!("engine-{index}")) {
        let (before, after) = (owner_of(&key, &vms), owner_of(&key, &remaining));
        if before != after {
            assert_eq!(before.unwrap(), "vm-3");
            moved += 1;
        }
    }
    assert!(moved > 0);
}
