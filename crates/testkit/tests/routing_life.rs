//! Guards the request state machine: at most one run of a non-idempotent request, one bill, and
//! "not run" only when it is proven.

use {
    jasminewall_core::{
        HolderId, RefusalCode,
        crash::{CrashDecision, CrashTable},
        lifecycle::{AttemptFailure, RequestEvent, RequestLifecycle, RequestOutcome},
        refusal::RunState,
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
    fn events(self) -> &'static [RequestEvent] {
        match self {
            Self::Unconnected => &[RequestEvent::Fail(AttemptFailure::ConnectFailed)],
            Self::ReportedNotRun => &[RequestEvent::Fail(AttemptFailure::ReportedNotRun)],
            Self::LostBeforeRun | Self::LostAfterRun => {
                &[RequestEvent::Fail(AttemptFailure::ConnectionLost)]
            }
            Self::SilentAfterRun => &[RequestEvent::Fail(AttemptFailure::TimedOut)],
            Self::BreaksInAnswer => &[
                RequestEvent::Answer,
                RequestEvent::Fail(AttemptFailure::ConnectionLost),
            ],
            Self::Answers => &[RequestEvent::Answer, RequestEvent::Complete],
        }
    }
}

/// Runs one schedule of router decisions and attempt fates; checks it after every event.
fn run(idempotent: bool, draws: &[u8]) -> u32 {
    let mut life = RequestLifecycle::new(idempotent);
    let (mut runs, mut bills) = (0, 0);
    let mut pending: Vec<RequestEvent> = Vec::new();
    for draw in draws {
        if life.outcome().is_some() {
            break;
        }
        let event = if !pending.is_empty() && draw % 4 != 0 {
            pending.remove(0)
        } else {
            match draw % 16 {
                0..=3 => RequestEvent::Admit,
                4..=7 => RequestEvent::Hold,
                8..=10 => RequestEvent::Claim,
                15 if draw / 16 < 3 => RequestEvent::Cancel,
                15 if draw / 16 < 6 => RequestEvent::Refuse(RefusalCode::Overloaded),
                _ => RequestEvent::Dispatch,
            }
        };
        let allowed = life.apply(event).is_ok();
        if allowed && event == RequestEvent::Dispatch {
            let fate = Fate::ALL[usize::from(draw / 16) % Fate::ALL.len()];
            runs += u32::from(fate.has_run());
            pending.extend(fate.events());
        }
        if allowed && event == RequestEvent::Complete {
            bills += 1;
        }
        if !idempotent {
            assert!(runs <= 1, "a non-idempotent request ran {runs} times");
        }
        if let Some(end) = life.outcome() {
            match end.run_state() {
                RunState::No => assert_eq!(runs, 0, "'not run' of a request that ran"),
                RunState::Yes => assert!(runs >= 1, "'ran' of a request that did not run"),
                RunState::Unknown => assert!(life.attempts() > 0, "no attempt can have run"),
            }
            assert_eq!(
                bills,
                u32::from(end == RequestOutcome::Ran),
                "bills at {end:?}"
            );
            assert!(
                life.apply(RequestEvent::Complete).is_err(),
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
    let mut life = RequestLifecycle::new(false);
    life.apply(RequestEvent::Admit).unwrap();
    life.apply(RequestEvent::Hold).unwrap();
    assert!(life.apply(RequestEvent::Dispatch).is_err());
    life.apply(RequestEvent::Claim).unwrap();
    life.apply(RequestEvent::Dispatch).unwrap();
    life.apply(RequestEvent::Fail(AttemptFailure::ConnectionLost))
        .unwrap();
    assert_eq!(life.outcome(), Some(RequestOutcome::MayHaveRun));
}

/// Guards against a third run of a crashing request when two routers saw one crash each, and when
/// the counts are exchanged late, twice and in any order.
#[test]
fn crashes_of_all_routers_add_up() {
    let now = Instant::now();
    let mut one = CrashTable::new(HolderId::new("vm-1", 1));
    let mut other = CrashTable::new(HolderId::new("vm-2", 2));
    one.record_crash(&[5], now);
    other.record_crash(&[5], now);
    let counts = one.counts();
    for _ in 0..3 {
        other.merge(&counts, now);
        one.merge(&other.counts(), now);
    }
    assert_eq!(one.decide(5, now), CrashDecision::Refuse);
    assert_eq!(other.decide(5, now), CrashDecision::Refuse);
    one.clear(5);
    other.merge(&one.counts(), now);
    assert_eq!(other.decide(5, now), CrashDecision::Allow);
    other.merge(&counts, now);
    assert_eq!(
        other.decide(5, now),
        CrashDecision::Allow,
        "an old count came back"
    );
}

/// Guards against a second run of a request that must run at most once and may have run.
#[test]
fn unproven_failure_allows_no_second_dispatch() {
    for (failure, again) in [
        (AttemptFailure::ConnectFailed, true),
        (AttemptFailure::ConnectionLost, false),
        (AttemptFailure::TimedOut, false),
    ] {
        let mut life = RequestLifecycle::new(false);
        for event in [
            RequestEvent::Admit,
            RequestEvent::Hold,
            RequestEvent::Claim,
            RequestEvent::Dispatch,
            RequestEvent::Fail(failure),
        ] {
            life.apply(event).unwrap();
        }
        assert_eq!(life.can_dispatch(), again, "{failure:?}");
        assert_eq!(
            life.apply(RequestEvent::Dispatch).is_ok(),
            again,
            "{failure:?}"
        );
    }
}
