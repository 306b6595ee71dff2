//! Guards against overspend, double or missing bills and lost tokens under any mix of faults.

use std::sync::{Mutex, PoisonError};

use {
    jasminewall_testkit::sim::spend::{ScheduleCounts, SpendSchedule},
    quickcheck::{QuickCheck, TestResult},
};

/// Schedules in total; design.md asks for at least 10,000.
const SCHEDULES: u64 = 10_000;
/// Random steps of each schedule.
const STEPS: usize = 120;
/// Threads that share the schedules.
const THREADS: u64 = 4;

static COUNTS: Mutex<Option<ScheduleCounts>> = Mutex::new(None);

fn holds(seed: u64) -> TestResult {
    match SpendSchedule::run(seed, STEPS) {
        Ok(counts) => {
            let mut slot = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
            let total = slot.get_or_insert_default();
            total.requests += counts.requests;
            total.lost_responses += counts.lost_responses;
            total.late_writes += counts.late_writes;
            total.transferred += counts.transferred;
            total.crashes += counts.crashes;
            total.folds += counts.folds;
            total.settled += counts.settled;
            total.unresolved += counts.unresolved;
            TestResult::passed()
        }
        Err(broken) => TestResult::error(broken),
    }
}

/// `SPEND_SEED` replays one schedule.
#[test]
fn tokens_are_conserved_and_requests_billed_once() {
    if let Ok(seed) = std::env::var("SPEND_SEED") {
        let counts = SpendSchedule::run(seed.parse().unwrap(), STEPS);
        println!("{counts:?}");
        assert!(counts.is_ok());
        return;
    }
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                QuickCheck::new()
                    .tests(SCHEDULES / THREADS)
                    .quickcheck(holds as fn(u64) -> TestResult);
            });
        }
    });
    let total = COUNTS.lock().unwrap().unwrap_or_default();
    println!("{total:?}");
    // A schedule without these events would prove nothing about them.
    for count in [
        total.requests,
        total.lost_responses,
        total.late_writes,
        total.transferred,
        total.crashes,
        total.folds,
        total.settled,
        total.unresolved,
    ] {
        assert!(count > SCHEDULES / 10, "too few events: {total:?}");
    }
}
