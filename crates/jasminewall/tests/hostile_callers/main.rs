//! Callers that send too much, never end or never read, against processes of `serve` and `run`.
//!
//! The tests check only what does not depend on the machine's speed: the process is alive, its peak
//! resident set and its open descriptors stay under a bound that follows from `memory_mb`, and an
//! ordinary request is answered while the crowd is connected and after it has gone.

use std::{sync::LazyLock, time::Duration};

use tokio::sync::{Mutex, MutexGuard};

use crate::{
    crowd::{Crowd, SendPlan},
    pressure::{
        chunked_bodies, mixed_bodies, returning_crowds, running_requests, status_connections,
        unread_responses,
    },
    target::{RouterTarget, start_run, start_serve},
};

mod crowd;
mod pressure;
mod sampler;
#[path = "../../../../platform/tests/path/standin.rs"]
#[allow(dead_code, reason = "these tests use only some of the stand-ins")]
mod standin;
mod target;

/// Memory of the smallest machine in MB, as `memory_mb` of all tests.
const MEMORY_MB: usize = 88;
/// Largest peak resident set: a quarter of the machine's memory is left to its system.
const RESIDENT_LIMIT_KB: usize = MEMORY_MB * 1_024 * 3 / 4;
/// Largest number of open descriptors: one for each 64 KB of the machine's memory. The smallest machine
/// has 4,100.
const DESCRIPTOR_LIMIT: usize = MEMORY_MB * 1_024 / 64;
/// Largest permitted body.
const BODY_LIMIT: usize = 4 << 20;
/// Callers with large bodies.
const BODY_CALLERS: usize = 60;
/// Callers with chunks of one byte, and the size of their bodies.
const BYTE_CALLERS: usize = 60;
const BYTE_BODY: usize = 400_000;
/// Callers with bodies over the limit.
const EXCESS_CALLERS: usize = 20;
/// Connections with a head that does not end, and as many without any byte.
const WAITING_CALLERS: usize = 1_050;
/// Pause after each two of these connections.
const CONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Callers that do not read their responses.
const SLOW_READERS: usize = 100;
/// Time for a crowd to be sent as far as the router accepts it.
const SEND_TIME: Duration = Duration::from_secs(20);

/// Longest wait for a router to have processed what a crowd sent.
const SETTLE_TIME: Duration = Duration::from_secs(40);

/// The tests run one at a time, since each loads the machine.
static EXCLUSIVE: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);

async fn exclusive() -> MutexGuard<'static, ()> {
    EXCLUSIVE.lock().await
}

/// Checks the router while the crowd is connected and after it has gone.
async fn check_with(mut target: RouterTarget, crowd: Crowd, name: &str) {
    crowd.wait_sent(SEND_TIME).await;
    let during = target.wait_settled(SETTLE_TIME).await;
    let answer_during = target.request(&target.path, 4_000).await;
    drop(crowd);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answer_after = target.request(&target.path, 4_000).await;
    let after = target.measure();
    println!("{name}: during {during:?}, after {after:?}");
    assert!(target.is_alive(), "{name}: the process ended");
    assert_eq!(answer_during, Ok(200), "{name}: while the crowd is there");
    assert_eq!(answer_after, Ok(200), "{name}: after the crowd has gone");
    for figures in [during, after] {
        assert!(
            figures.peak_kb <= RESIDENT_LIMIT_KB,
            "{name}: {figures:?}, limit {RESIDENT_LIMIT_KB} KB"
        );
        assert!(
            figures.descriptors <= DESCRIPTOR_LIMIT,
            "{name}: {figures:?}, limit {DESCRIPTOR_LIMIT}"
        );
    }
}

/// Guards against memory exhaustion by bodies with a length that stop one byte short.
async fn large_bodies(target: RouterTarget) {
    let calm = target.request(&target.path, BODY_LIMIT).await;
    assert_eq!(calm, Ok(200), "a single body of the permitted size");
    let head = target.head(
        "POST",
        &target.path,
        &format!("Content-Length: {BODY_LIMIT}"),
    );
    let mut crowd = Crowd::default();
    for index in 0..BODY_CALLERS {
        let piece = if index % 2 == 0 { 1 << 20 } else { 64 << 10 };
        let mut plan = SendPlan::new(&head).repeat(&vec![b'x'; piece], BODY_LIMIT / piece - 1);
        plan = plan.repeat(&vec![b'x'; piece - 1], 1);
        if index % 10 == 0 {
            plan = plan.repeat(b"x", 1);
        }
        crowd.add(target.address, plan);
    }
    check_with(target, crowd, "large bodies").await;
}

/// Guards against memory exhaustion by large chunks of bodies that do not end.
async fn large_chunks(target: RouterTarget) {
    let head = target.head("POST", &target.path, "Transfer-Encoding: chunked");
    let mut chunk = b"10000\r\n".to_vec();
    chunk.resize(chunk.len() + (64 << 10), b'x');
    chunk.extend(b"\r\n");
    let mut crowd = Crowd::default();
    for index in 0..BODY_CALLERS {
        let mut plan = SendPlan::new(&head).repeat(&chunk, BODY_LIMIT / (64 << 10) - 1);
        if index % 10 == 0 {
            plan = plan.repeat(b"0\r\n\r\n", 1);
        }
        crowd.add(target.address, plan);
    }
    check_with(target, crowd, "large chunks").await;
}

/// Guards against the bookkeeping of chunks of one byte, which took fifteen times their size.
async fn byte_chunks(target: RouterTarget) {
    let head = target.head("POST", &target.path, "Transfer-Encoding: chunked");
    let chunks = b"1\r\nx\r\n".repeat(1_000);
    let mut crowd = Crowd::default();
    for index in 0..BYTE_CALLERS {
        let mut plan = SendPlan::new(&head).repeat(&chunks, BYTE_BODY / 1_000);
        if index % 10 == 0 {
            plan = plan.repeat(b"0\r\n\r\n", 1);
        }
        crowd.add(target.address, plan);
    }
    check_with(target, crowd, "chunks of one byte").await;
}

/// Guards against bodies over the limit that are read, and against a reset before the caller has
/// read the refusal.
async fn excess_bodies(target: RouterTarget) {
    let chunked = target.head("POST", &target.path, "Transfer-Encoding: chunked");
    let announced = target.head("POST", &target.path, "Content-Length: 67108864");
    let mut chunk = b"10000\r\n".to_vec();
    chunk.resize(chunk.len() + (64 << 10), b'x');
    chunk.extend(b"\r\n");
    let expecting = "Content-Length: 67108864\r\nExpect: 100-continue";
    let expecting = SendPlan::new(&target.head("POST", &target.path, expecting));
    assert_eq!(
        expecting.send_and_read(target.address).await,
        Ok(413),
        "the caller waits with the body"
    );
    let sent = 6 << 20;
    let whole = target.head("POST", &target.path, &format!("Content-Length: {sent}"));
    let whole = SendPlan::new(&whole).repeat(&vec![b'x'; 64 << 10], sent / (64 << 10));
    let parts = SendPlan::new(&chunked).repeat(&chunk, sent / (64 << 10));
    let parts = parts.repeat(b"0\r\n\r\n", 1);
    let mut readers = tokio::task::JoinSet::new();
    for _ in 0..EXCESS_CALLERS / 4 {
        for plan in [&whole, &parts] {
            let (plan, address) = (plan.clone(), target.address);
            readers.spawn(async move { plan.send_and_read(address).await });
        }
    }
    let answers = readers.join_all().await;
    let refused = answers.iter().all(|answer| *answer == Ok(413));
    assert!(
        refused,
        "bodies of 6 MB, sent before the answer is read: {answers:?}"
    );
    let mut crowd = Crowd::default();
    for index in 0..EXCESS_CALLERS {
        let plan = match index % 2 {
            0 => SendPlan::new(&announced).repeat(&vec![b'x'; 64 << 10], 1_000),
            _ => SendPlan::new(&chunked).repeat(&chunk, 1_000),
        };
        crowd.add(target.address, plan);
    }
    check_with(target, crowd, "bodies over the limit").await;
}

/// Guards against request heads that never end and idle connections: they take memory, and the
/// slots of callers with a request.
async fn waiting_connections(target: RouterTarget) {
    let head = format!("POST {} HTTP/1.1\r\nx-long: ", target.path);
    let mut crowd = Crowd::default();
    for _ in 0..WAITING_CALLERS {
        let plan = SendPlan::new(&head).repeat(&vec![b'x'; target.open_head], 1);
        crowd.add(target.address, plan);
        crowd.add(target.address, SendPlan::default());
        // A full queue of the listener would drop connections that the callers believe open.
        tokio::time::sleep(CONNECT_PAUSE).await;
    }
    check_with(target, crowd, "waiting connections").await;
}

/// Guards against responses that pile up because their callers do not read them.
async fn slow_readers(target: RouterTarget) {
    let mut crowd = Crowd::default();
    for _ in 0..SLOW_READERS {
        let head = target.head("POST", &target.large_path, "Content-Length: 10");
        crowd.add(target.address, SendPlan::new(&head).repeat(b"x", 10));
    }
    check_with(target, crowd, "slow readers").await;
}

macro_rules! patterns {
    ($module:ident, $start:path, [$($pattern:ident),*]) => {
        mod $module {
            $(
                #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
                async fn $pattern() {
                    let _exclusive = super::exclusive().await;
                    super::$pattern($start().await).await;
                }
            )*
        }
    };
}

patterns!(
    serve,
    crate::start_serve,
    [
        large_bodies,
        large_chunks,
        byte_chunks,
        excess_bodies,
        waiting_connections,
        slow_readers,
        mixed_bodies,
        chunked_bodies,
        returning_crowds,
        running_requests,
        unread_responses,
        status_connections
    ]
);
patterns!(
    run,
    crate::start_run,
    [
        large_bodies,
        large_chunks,
        byte_chunks,
        excess_bodies,
        waiting_connections,
        slow_readers,
        mixed_bodies,
        chunked_bodies,
        returning_crowds,
        running_requests,
        unread_responses
    ]
);
