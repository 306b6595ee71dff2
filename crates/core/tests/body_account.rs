//! Replays crowds of callers against the account of body memory.

use std::time::{Duration, Instant};

use jasminewall_core::body_account::{
    BodyAccount, BodyGrowth, MemoryPlan, PROGRESS_TIMEOUT, SMALL_BODY, SOCKET_BUFFER,
};

const LARGE: usize = 4 << 20;

/// Guards against a machine whose shares, with the buffers of sockets, exceed its memory, and one that
/// cannot serve a single body of the permitted size.
#[test]
fn shares_fit_every_machine() {
    for memory_mb in [88, 128, 256, 512] {
        let plan = MemoryPlan::of_machine(Some(memory_mb));
        assert!(plan.body_bytes - plan.body_bytes / 8 >= LARGE);
        let connection = (48 << 10) + 4 * SOCKET_BUFFER;
        let total = plan.body_bytes + plan.connections * connection + plan.head_bytes;
        assert!(
            total <= memory_mb * (1 << 20) * 5 / 8,
            "{memory_mb}: {plan:?}"
        );
        let buffered = plan.kept_bytes.max(plan.response_bytes);
        assert!(plan.response_bytes - plan.response_bytes / 8 >= LARGE);
        let responses = buffered + plan.blocked_callers * (128 << 10);
        assert!(
            total + responses <= memory_mb * (1 << 20) * 7 / 8,
            "{memory_mb}: {plan:?}"
        );
    }
    let default = MemoryPlan::of_machine(None);
    assert_eq!(default, MemoryPlan::of_machine(Some(256)));
    for memory_mb in [1, 4_096, usize::MAX] {
        let plan = MemoryPlan::of_machine(Some(memory_mb));
        let descriptors = 3 * plan.connections;
        assert!(descriptors <= 3_900, "{memory_mb}: {plan:?}");
    }
}

/// Guards against large bodies that take the memory of ordinary requests, and against held bytes over
/// the limit, with 60 callers of which most stop short of the end.
#[test]
fn stalled_bodies_make_room_and_small_ones_have_a_reserve() {
    let plan = MemoryPlan::of_machine(Some(88));
    let mut account = BodyAccount::new(plan.body_bytes);
    let start = Instant::now();
    let mut admitted = Vec::new();
    for _ in 0..60 {
        let id = account.open(start);
        match account.grow(id, LARGE, start) {
            BodyGrowth::Granted => admitted.push(id),
            other => {
                assert_eq!(other, BodyGrowth::Refused, "all make progress");
                account.close(id);
            }
        }
    }
    assert_eq!(admitted.len(), 5);
    let small = account.open(start);
    assert_eq!(account.grow(small, SMALL_BODY, start), BodyGrowth::Granted);
    let later = start + Duration::from_secs(2);
    account.record(admitted[0], 64 << 10, later);
    assert!(account.complete(admitted[1]));
    let newcomer = account.open(later);
    let growth = account.grow(newcomer, LARGE, later);
    assert_eq!(growth, BodyGrowth::Wait(vec![admitted[2].min(admitted[3])]));
    assert_eq!(
        account.grow(newcomer, LARGE, later),
        BodyGrowth::Wait(Vec::new()),
        "the evicted body is not released yet; no other one is evicted"
    );
    assert!(!account.complete(admitted[2]), "an evicted body cannot run");
    account.close(admitted[2]);
    assert_eq!(account.grow(newcomer, LARGE, later), BodyGrowth::Granted);
    for id in admitted.into_iter().chain([small, newcomer]) {
        account.close(id);
    }
    assert_eq!(account.held(), 0, "everything is given back");
}

/// Guards against a body that is kept open with a byte now and then.
#[test]
fn single_bytes_are_no_progress() {
    let mut account = BodyAccount::new(8 << 20);
    let start = Instant::now();
    let id = account.open(start);
    account.record(id, 1, start + Duration::from_secs(14));
    assert_eq!(account.expires_at(id), Some(start + PROGRESS_TIMEOUT));
    account.record(id, 2_000, start + Duration::from_secs(14));
    assert!(account.expires_at(id) > Some(start + PROGRESS_TIMEOUT));
}

/// Guards against a body that is kept open for minutes with as many bytes as count as progress.
#[test]
fn dripping_bodies_end() {
    let mut account = BodyAccount::new(8 << 20);
    let start = Instant::now();
    let id = account.open(start);
    for second in 1..60 {
        account.record(id, 2_000, start + Duration::from_secs(second));
    }
    let latest = start + Duration::from_secs(60);
    assert!(
        account.expires_at(id) <= Some(latest),
        "a minute is enough for the largest body"
    );
}
