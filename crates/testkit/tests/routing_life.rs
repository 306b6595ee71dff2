//! Guards the request state machine: at most one run of a non-idempotent request, one bill, and
//! "not run" only when it is proven.

use {
    jasminewall_core::{
        HolderId, RefusalCode,
        life::{AttemptFailure, LifeEnd, LifeEvent, RequestLife},
        refusal::RunState,
        suspect::{SuspectTable, SuspectVerdict},
    },
    quickcheck::{Gen, QuickCheck},
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Instant,
    },
};

/// Random schedules of one property.
const SCHEDULES: u64 = 40_000;

/// What the world does with one attempt.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Unconnected,
    ReportedNotRun,
    LostBeforeRun,
    LostAfterRun,
    SilentAfterRun,
    BreaksInAnswer,
    Answers,
}

impl Fate {
    const ALL: [Self; 7] = [
        Self::Unconnected,
        Self::ReportedNotRun,
        Self::LostBeforeRun,
        Self::LostAfterRun,
        Self::SilentAfterRun,
        Self::BreaksInAnswer,
        Self::Answers,
    ];

    fn has_run(self) -> bool {
        matches!(
            self,
            Self::LostAfterRun | Self::SilentAfterRun | Self::BreaksInAnswer | Self::Answers
        )
    }

    /// What the router sees of it.
    fn events(self) -> &'static [LifeEvent] {
        match self {
            Self::Unconnected => &[LifeEvent::Fail(AttemptFailure::Unconnected)],
            Self::ReportedNotRun => &[LifeEvent::Fail(AttemptFailure::ReportedNotRun)],
            Self::LostBeforeRun | Self::LostAfterRun => &[LifeEvent::Fail(AttemptFailure::Broken)],
            Self::SilentAfterRun => &[LifeEvent::Fail(AttemptFailure::Silent)],
            Self::BreaksInAnswer => &[LifeEvent::Answer, LifeEvent::Fail(AttemptFailure::Broken)],
            Self::Answers => &[LifeEvent::Answer, LifeEvent::Complete],
        }
    }
}

/// Runs one schedule of router decisions and attempt fates; checks it after every event.
fn run(idempotent: bool, draws: &[u8]) -> u32 {
    let mut life = RequestLife::new(idempotent);
    let (mut runs, mut bills) = (0, 0);
    let mut pending: Vec<LifeEvent> = Vec::new();
    for draw in draws {
        if life.end().is_some() {
            break;
        }
        let event = if !pending.is_empty() && draw % 4 != 0 {
            pending.remove(0)
        } else {
            match draw % 16 {
                0..=3 => LifeEvent::Admit,
                4..=7 => LifeEvent::Hold,
                8..=10 => LifeEvent::Claim,
                15 if draw / 16 < 3 => LifeEvent::Cancel,
                15 if draw / 16 < 6 => LifeEvent::Refuse(RefusalCode::Overloaded),
                _ => LifeEvent::Dispatch,
            }
        };
        let allowed = life.apply(event).is_ok();
        if allowed && event == LifeEvent::Dispatch {
            let fate = Fate::ALL[usize::from(draw / 16) % Fate::ALL.len()];
            runs += u32::from(fate.has_run());
            pending.extend(fate.events());
        }
        if allowed && event == LifeEvent::Complete {
            bills += 1;
        }
        if !idempotent {
            assert!(runs <= 1, "a non-idempotent request ran {runs} times");
        }
        if let Some(end) = life.end() {
            match end.run_state() {
                RunState::No => assert_eq!(runs, 0, "'not run' of a request that ran"),
                RunState::Yes => assert!(runs >= 1, "'ran' of a request that did not run"),
                RunState::Unknown => assert!(life.attempts() > 0, "no attempt can have run"),
            }
            assert_eq!(bills, u32::from(end == LifeEnd::Ran), "bills at {end:?}");
            assert!(
                life.apply(LifeEvent::Complete).is_err(),
                "a late answer changed the outcome"
            );
        }
    }
    life.attempts()
}

/// Guards against a second run, a wrong bill and an untrue "not run" in any order of events.
#[test]
fn outcomes_are_true_in_random_schedules() {
    static DISPATCHED: AtomicU64 = AtomicU64::new(0);
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(idempotent: bool, draws: Vec<u8>) -> bool {
        DISPATCHED.fetch_add(u64::from(run(idempotent, &draws) > 0), Ordering::Relaxed);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(SCHEDULES)
        .max_tests(SCHEDULES)
        .quickcheck(property as fn(bool, Vec<u8>) -> bool);
    let dispatched = DISPATCHED.load(Ordering::Relaxed);
    assert!(
        dispatched >= 10_000,
        "only {dispatched} schedules reached an endpoint"
    );
}

/// Guards against a dispatch without a claim, which could run a request twice.
#[test]
fn non_idempotent_request_needs_a_claim() {
    let mut life = RequestLife::new(false);
    life.apply(LifeEvent::Admit).unwrap();
    life.apply(LifeEvent::Hold).unwrap();
    assert!(life.apply(LifeEvent::Dispatch).is_err());
    life.apply(LifeEvent::Claim).unwrap();
    life.apply(LifeEvent::Dispatch).unwrap();
    life.apply(LifeEvent::Fail(AttemptFailure::Broken)).unwrap();
    assert_eq!(life.end(), Some(LifeEnd::MayHaveRun));
}

/// Guards against a third run of a crashing request when two routers saw one crash each, and when
/// the counts are exchanged late, twice and in any order.
#[test]
fn crashes_of_all_routers_add_up() {
    let now = Instant::now();
    let mut one = SuspectTable::new(HolderId::new("vm-1", 1));
    let mut other = SuspectTable::new(HolderId::new("vm-2", 2));
    one.crash(&[5], now);
    other.crash(&[5], now);
    let counts = one.counts();
    for _ in 0..3 {
        other.merge(&counts, now);
        one.merge(&other.counts(), now);
    }
    assert_eq!(one.verdict(5, now), SuspectVerdict::Refuse);
    assert_eq!(other.verdict(5, now), SuspectVerdict::Refuse);
    one.clear(5);
    other.merge(&one.counts(), now);
    assert_eq!(other.verdict(5, now), SuspectVerdict::Clear);
    other.merge(&counts, now);
    assert_eq!(
        other.verdict(5, now),
        SuspectVerdict::Clear,
        "an old count came back"
    );
}

/// Guards against a second run of a request that must run at most once and may have run.
#[test]
fn unproven_failure_allows_no_second_dispatch() {
    for (failure, again) in [
        (AttemptFailure::Unconnected, true),
        (AttemptFailure::Broken, false),
        (AttemptFailure::Silent, false),
    ] {
        let mut life = RequestLife::new(false);
        for event in [
            LifeEvent::Admit,
            LifeEvent::Hold,
            LifeEvent::Claim,
            LifeEvent::Dispatch,
            LifeEvent::Fail(failure),
        ] {
            life.apply(event).unwrap();
        }
        assert_eq!(life.may_dispatch(), again, "{failure:?}");
        assert_eq!(
            life.apply(LifeEvent::Dispatch).is_ok(),
            again,
            "{failure:?}"
        );
    }
}
