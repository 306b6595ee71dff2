//! Contact with the store: heartbeats, detaching and what a successor may conclude.

use std::time::{Duration, Instant};

use {
    jasminewall_forward::contact::{ContactMode, HeartbeatMark, StoreLink},
    quickcheck::{QuickCheck, TestResult},
};

/// Guards against a run that consumes more than its successor assumes: whatever heartbeats were
/// sent, lost or refused, the store shows a detached run as such, and a late one as late for no
/// shorter a time.
#[test]
fn a_successor_never_underrates_how_late_a_run_was() {
    fn holds(steps: Vec<(u8, u16)>) -> TestResult {
        let start = Instant::now();
        let mut now = start;
        let mut link = StoreLink::default();
        link.read_clock(1_000, start);
        let store_ms = |now: Instant| 1_000 + (now - start).as_millis() as u64;
        // Every heartbeat that may have landed; the store shows any of them.
        let mut written: Vec<HeartbeatMark> = Vec::new();
        for (outcome, pause_ms) in steps {
            now += Duration::from_millis(u64::from(pause_ms % 1_500));
            link.set_routers(usize::from(outcome));
            let mode = link.mode(now);
            if let Some(mark) = written.iter().max() {
                let judged = StoreLink::longest_late(*mark, store_ms(now));
                let late = link.late_time(now);
                match mode {
                    ContactMode::Detached if judged.is_some() => {
                        return TestResult::error(format!("looks attached at {}", store_ms(now)));
                    }
                    ContactMode::Late if judged.is_some_and(|judged| judged < late) => {
                        return TestResult::error(format!("{late:?} late, judged {judged:?}"));
                    }
                    _ => {}
                }
            }
            if matches!(mode, ContactMode::Late | ContactMode::Detached) {
                link.begin_attach();
            }
            if !link.may_beat(now) {
                continue;
            }
            let mark = link.mark(now);
            link.beat_sent(now);
            match outcome % 3 {
                0 => {
                    written.push(mark);
                    link.read_clock(store_ms(now), now);
                    link.beat_landed();
                }
                1 => link.beat_refused(),
                _ => {
                    written.push(mark);
                    link.beat_unknown();
                }
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(5_000)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> TestResult);
}

/// Guards against heartbeats without end during an outage, which would put off detaching forever.
#[test]
fn a_run_without_answers_detaches() {
    let start = Instant::now();
    let mut link = StoreLink::default();
    link.read_clock(0, start);
    link.beat_sent(start);
    link.beat_unknown();
    assert!(!link.may_beat(start + Duration::from_millis(500)));
    assert_eq!(
        link.mode(start + link.detach_after()),
        ContactMode::Detached
    );
}
