//! Crowds on many connections. The memory of the process and the bytes in its sockets count together.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{
    BODY_LIMIT, DESCRIPTOR_LIMIT, MEMORY_MB, SEND_TIME,
    crowd::{Crowd, SendPlan},
    sampler::MemorySampler,
    target::RouterTarget,
};

/// Largest memory with the bytes in sockets: that of the machine, with a MB of 1,000,000 bytes.
const TOTAL_LIMIT_KB: usize = MEMORY_MB * 1_000_000 / 1_024;
/// Callers that connect again whenever they are closed.
const RESTLESS_CALLERS: usize = 1_000;
/// Time for which they do so.
const RESTLESS_TIME: Duration = Duration::from_secs(15);
/// Callers of each of three crowds that follow each other, and the time of each.
const RETURNING_CALLERS: usize = 500;
const RETURNING_TIME: Duration = Duration::from_secs(6);
/// Callers whose requests run for a minute, and the bytes that each sends behind its request.
const RUNNING_CALLERS: usize = 1_500;
const EXTRA_BYTES: usize = 256 << 10;
/// Callers that do not read a response of 200 KB.
const UNREAD_CALLERS: usize = 900;
/// Connections with an endless head to the address of readiness checks.
const STATUS_CALLERS: usize = 400;
/// Pause after every tenth new connection, which the queue of the listener absorbs.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Time for which a crowd that has sent everything stays connected.
const STAY_TIME: Duration = Duration::from_secs(3);
/// Time after a crowd has gone at which an ordinary request is sent.
const LEAVE_TIME: Duration = Duration::from_secs(1);

/// Ends the crowd, and checks the router.
async fn check_after(mut target: RouterTarget, crowd: Crowd, sampler: MemorySampler, name: &str) {
    let sent = crowd.sent();
    drop(crowd);
    sleep(LEAVE_TIME).await;
    let answer = target.request_with_retries().await;
    let peak = sampler.finish();
    println!(
        "{name}: {} KB of {TOTAL_LIMIT_KB} KB, at most {} KB in sockets, {} descriptors; {sent} requests sent",
        peak.total_kb, peak.socket_kb, peak.descriptors
    );
    assert!(target.is_alive(), "{name}: the process ended");
    assert!(
        peak.total_kb <= TOTAL_LIMIT_KB,
        "{name}: {peak:?}, limit {TOTAL_LIMIT_KB} KB"
    );
    assert!(
        peak.descriptors <= DESCRIPTOR_LIMIT,
        "{name}: {peak:?}, limit {DESCRIPTOR_LIMIT}"
    );
    assert_eq!(answer, Ok(200), "{name}: after the crowd has gone");
}

/// Lets the crowd send for a time. Requests that stand-ins have run are forgotten meanwhile.
async fn wait_restless(target: &RouterTarget, crowd: &Crowd, time: Duration) {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        target.forget_requests();
        sleep(Duration::from_millis(100)).await;
    }
    assert!(crowd.sent() > 0, "the crowd could not send a request");
}

/// What a caller sends; all but `Whole` stop short of the end.
#[derive(Clone, Copy)]
enum BodyPattern {
    /// Chunks of 8 KB.
    Chunked,
    /// The largest body, complete.
    Whole,
    /// More than an ordinary body.
    Large,
    /// Chunks of one byte.
    ByteChunks,
    /// An ordinary body.
    Small,
}

impl BodyPattern {
    fn plan(self, target: &RouterTarget) -> SendPlan {
        let head = |length: &str| SendPlan::new(&target.head("POST", &target.path, length));
        let announced = |length: usize, sent: usize| {
            head(&format!("Content-Length: {length}")).repeat(&vec![b'x'; sent], 1)
        };
        let chunked = |size: usize, times: usize| {
            let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
            let chunks = chunk.repeat(times);
            head("Transfer-Encoding: chunked").repeat(chunks.as_bytes(), 1)
        };
        match self {
            Self::Chunked => chunked(8_000, 9),
            Self::Whole => announced(BODY_LIMIT, BODY_LIMIT),
            Self::Large => announced(73_000, 72_990),
            Self::ByteChunks => chunked(1, 20_000),
            Self::Small => announced(16_000, 15_990),
        }
    }
}

async fn connect_restless(
    target: &RouterTarget,
    callers: usize,
    patterns: &[BodyPattern],
) -> Crowd {
    let plans: Vec<SendPlan> = patterns.iter().map(|body| body.plan(target)).collect();
    let mut crowd = Crowd::default();
    for index in 0..callers {
        crowd.add_restless(target.address, plans[index % plans.len()].clone());
        if index % 10 == 9 {
            sleep(CONNECT_PAUSE).await;
        }
    }
    crowd
}

/// Guards against the memory of many connections with bodies of all kinds, and of their sockets.
pub(crate) async fn mixed_bodies(target: RouterTarget) {
    let sampler = target.sampler();
    let patterns = [
        BodyPattern::Chunked,
        BodyPattern::Whole,
        BodyPattern::Large,
        BodyPattern::ByteChunks,
        BodyPattern::Small,
    ];
    let crowd = connect_restless(&target, RESTLESS_CALLERS, &patterns).await;
    wait_restless(&target, &crowd, RESTLESS_TIME).await;
    check_after(target, crowd, sampler, "mixed bodies").await;
}

/// Guards against the memory of many connections with chunks of one byte and of 8 KB.
pub(crate) async fn chunked_bodies(target: RouterTarget) {
    let sampler = target.sampler();
    let patterns = [BodyPattern::ByteChunks, BodyPattern::Chunked];
    let crowd = connect_restless(&target, RESTLESS_CALLERS, &patterns).await;
    wait_restless(&target, &crowd, RESTLESS_TIME).await;
    check_after(target, crowd, sampler, "chunked bodies").await;
}

/// Guards against memory that the allocator keeps from crowds with bodies of other sizes.
pub(crate) async fn returning_crowds(target: RouterTarget) {
    let sampler = target.sampler();
    let mut last = Crowd::default();
    for patterns in [
        [BodyPattern::Whole, BodyPattern::Large],
        [BodyPattern::ByteChunks, BodyPattern::Chunked],
        [BodyPattern::Small, BodyPattern::Whole],
    ] {
        drop(last);
        last = connect_restless(&target, RETURNING_CALLERS, &patterns).await;
        wait_restless(&target, &last, RETURNING_TIME).await;
    }
    check_after(target, last, sampler, "returning crowds").await;
}

/// Guards against connections whose requests run: they took all descriptors, and what their callers
/// sent meanwhile, also on connections that were not accepted, took memory of the system.
pub(crate) async fn running_requests(target: RouterTarget) {
    let sampler = target.sampler();
    let mut crowd = Crowd::default();
    for index in 0..RUNNING_CALLERS {
        let head = target.head("POST", &target.slow_path, "Content-Length: 10");
        let plan = SendPlan::new(&head).repeat(b"xxxxxxxxxx", 1);
        crowd.add(target.address, plan.repeat(&vec![b'x'; EXTRA_BYTES], 1));
        if index % 10 == 9 {
            sleep(CONNECT_PAUSE).await;
        }
    }
    // The router does not read what follows a request that runs.
    crowd.wait_sent(STAY_TIME).await;
    check_after(target, crowd, sampler, "running requests").await;
}

/// Guards against responses that pile up in the process and in its sockets because their callers do
/// not read them.
pub(crate) async fn unread_responses(target: RouterTarget) {
    let sampler = target.sampler();
    let mut crowd = Crowd::default();
    for index in 0..UNREAD_CALLERS {
        let head = target.head("POST", &target.wide_path, "Content-Length: 10");
        crowd.add(target.address, SendPlan::new(&head).repeat(b"x", 10));
        if index % 10 == 9 {
            sleep(CONNECT_PAUSE).await;
        }
    }
    crowd.wait_sent(SEND_TIME).await;
    sleep(STAY_TIME).await;
    check_after(target, crowd, sampler, "unread responses").await;
}

/// Guards against crowds at the address of readiness checks.
pub(crate) async fn status_connections(target: RouterTarget) {
    let readiness = target.readiness.expect("a separate address");
    let sampler = target.sampler();
    let mut crowd = Crowd::default();
    let head = SendPlan::new("GET /v1/readyz HTTP/1.1\r\nx-long: ");
    for index in 0..STATUS_CALLERS {
        crowd.add(readiness, head.clone().repeat(&vec![b'x'; 64 << 10], 16));
        if index % 10 == 9 {
            sleep(CONNECT_PAUSE).await;
        }
    }
    crowd.wait_sent(SEND_TIME).await;
    sleep(STAY_TIME).await;
    let check = SendPlan::new("GET /v1/readyz HTTP/1.1\r\nHost: router\r\n\r\n");
    let answer = check.send_and_read(readiness).await;
    check_after(target, crowd, sampler, "status connections").await;
    assert_eq!(answer, Ok(200), "a readiness check beside the crowd");
}
