//! Guards against faults of the request lifecycle: a non-idempotent request that runs twice, a
//! charge for a request that did not run to its end or no charge for one that did, and "not run"
//! reported without proof.

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

/// Number of random schedules.
const SCHEDULES: u64 = 40_000;

/// Simulated course of one attempt, including what the router cannot observe.
#[derive(Clone, Copy, Debug)]
enum AttemptResult {
    ConnectFailed,
    ReportedNotRun,
    LostBeforeRun,
    LostAfterRun,
    TimedOutAfterRun,
    LostInResponse,
    Completed,
}

impl AttemptResult {
    const ALL: [Self; 7] = [
        Self::ConnectFailed,
        Self::ReportedNotRun,
        Self::LostBeforeRun,
        Self::LostAfterRun,
        Self::TimedOutAfterRun,
        Self::LostInResponse,
        Self::Completed,
    ];

    fn has_run(self) -> bool {
        matches!(
            self,
            Self::LostAfterRun | Self::TimedOutAfterRun | Self::LostInResponse | Self::Completed
        )
    }

    /// Events that the router observes.
    fn events(self) -> &'static [RequestEvent] {
        match self {
            Self::ConnectFailed => &[RequestEvent::Fail(AttemptFailure::ConnectFailed)],
            Self::ReportedNotRun => &[RequestEvent::Fail(AttemptFailure::ReportedNotRun)],
            Self::LostBeforeRun | Self::LostAfterRun => {
                &[RequestEvent::Fail(AttemptFailure::ConnectionLost)]
            }
            Self::TimedOutAfterRun => &[RequestEvent::Fail(AttemptFailure::TimedOut)],
            Self::LostInResponse => &[
                RequestEvent::Answer,
                RequestEvent::Fail(AttemptFailure::ConnectionLost),
            ],
            Self::Completed => &[RequestEvent::Answer, RequestEvent::Complete],
        }
    }
}

/// Runs one schedule of router decisions and attempt results, checks the invariants after every
/// event, and returns the number of attempts.
fn run_schedule(idempotent: bool, draws: &[u8]) -> u32 {
    let mut lifecycle = RequestLifecycle::new(idempotent);
    let (mut runs, mut charges) = (0, 0);
    let mut pending: Vec<RequestEvent> = Vec::new();
    for draw in draws {
        if lifecycle.outcome().is_some() {
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
        let allowed = lifecycle.apply(event).is_ok();
        if allowed && event == RequestEvent::Dispatch {
            let result = AttemptResult::ALL[usize::from(draw / 16) % AttemptResult::ALL.len()];
            runs += u32::from(result.has_run());
            pending.extend(result.events());
        }
        if allowed && event == RequestEvent::Complete {
            charges += 1;
        }
        if !idempotent {
            assert!(runs <= 1, "a non-idempotent request ran {runs} times");
        }
        if let Some(outcome) = lifecycle.outcome() {
            match outcome.run_state() {
                RunState::No => assert_eq!(runs, 0, "'not run' is reported after a run"),
                RunState::Yes => assert!(runs >= 1, "'ran' is reported without a run"),
                RunState::Unknown => assert!(
                    lifecycle.attempts() > 0,
                    "a request without attempts cannot have run"
                ),
            }
            assert_eq!(
                charges,
                u32::from(outcome == RequestOutcome::Ran),
                "charges at {outcome:?}"
            );
            assert!(
                lifecycle.apply(RequestEvent::Complete).is_err(),
                "a late response changed the outcome"
            );
        }
    }
    lifecycle.attempts()
}

/// Guards against a second run, a wrong charge and a false "not run" in any order of events.
#[test]
fn outcomes_are_correct_in_random_schedules() {
    static DISPATCHED: AtomicU64 = AtomicU64::new(0);
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(idempotent: bool, draws: Vec<u8>) -> bool {
        DISPATCHED.fetch_add(
            u64::from(run_schedule(idempotent, &draws) > 0),
            Ordering::Relaxed,
        );
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
    let mut lifecycle = RequestLifecycle::new(false);
    lifecycle.apply(RequestEvent::Admit).unwrap();
    lifecycle.apply(RequestEvent::Hold).unwrap();
    assert!(lifecycle.apply(RequestEvent::Dispatch).is_err());
    lifecycle.apply(RequestEvent::Claim).unwrap();
    lifecycle.apply(RequestEvent::Dispatch).unwrap();
    lifecycle
        .apply(RequestEvent::Fail(AttemptFailure::ConnectionLost))
        .unwrap();
    assert_eq!(lifecycle.outcome(), Some(RequestOutcome::MayHaveRun));
}

/// Guards against a third run of a crashing request when two routers observed one crash each and
/// exchange their counts late, repeatedly or out of order.
#[test]
fn crash_counts_of_all_routers_are_summed() {
    let now = Instant::now();
    let mut first = CrashTable::new(HolderId::new("vm-1", 1));
    let mut second = CrashTable::new(HolderId::new("vm-2", 2));
    first.record_crash(&[5], now);
    second.record_crash(&[5], now);
    let counts = first.counts();
    for _ in 0..3 {
        second.merge(&counts, now);
        first.merge(&second.counts(), now);
    }
    assert_eq!(first.decide(5, now), CrashDecision::Refuse);
    assert_eq!(second.decide(5, now), CrashDecision::Refuse);
    first.clear(5);
    second.merge(&first.counts(), now);
    assert_eq!(second.decide(5, now), CrashDecision::Allow);
    second.merge(&counts, now);
    assert_eq!(
        second.decide(5, now),
        CrashDecision::Allow,
        "an outdated count was merged again"
    );
}

/// Guards against a second dispatch of a non-idempotent request that may have run.
#[test]
fn unproven_failure_allows_no_second_dispatch() {
    for (failure, can_retry) in [
        (AttemptFailure::ConnectFailed, true),
        (AttemptFailure::ConnectionLost, false),
        (AttemptFailure::TimedOut, false),
    ] {
        let mut lifecycle = RequestLifecycle::new(false);
        for event in [
            RequestEvent::Admit,
            RequestEvent::Hold,
            RequestEvent::Claim,
            RequestEvent::Dispatch,
            RequestEvent::Fail(failure),
        ] {
            lifecycle.apply(event).unwrap();
        }
        assert_eq!(lifecycle.can_dispatch(), can_retry, "{failure:?}");
        assert_eq!(
            lifecycle.apply(RequestEvent::Dispatch).is_ok(),
            can_retry,
            "{failure:?}"
        );
    }
}
