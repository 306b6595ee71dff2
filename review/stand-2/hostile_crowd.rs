//! Callers that nobody controls send many large and many chunked bodies, most of which stop just short
//! of their end. Does the router stay within the memory of its machine? The stand-in for the platform
//! kills a process that exceeds it, as the platform does; what ordinary callers had open is lost then.

use std::{
    fs,
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, Verdict,
    fleet::{self, Folder, Network},
    http,
    store::Store,
    worker::{self, Registration},
};

/// Memory of the machine, in MB and in the unit of `/proc`; a MB counts as 1,024 kB here.
const MEMORY_MB: u64 = 110;
const MEMORY_KB: u64 = MEMORY_MB * 1_024;
const CROWD: usize = 1_500;
const CROWD_TIME: Duration = Duration::from_secs(40);
const ORDINARY_CALLERS: usize = 40;
/// Time for which a worker works on an order.
const WORK_TIME: Duration = Duration::from_millis(300);
/// Number of kills after which the case ends.
const KILLS_MAX: u32 = 4;
/// Requests without an answer that the rule allows.
const ALLOWED: usize = 3;

/// What one connection of the crowd sends.
#[derive(Clone, Copy)]
enum Body {
    /// 72 kB in chunks of 8 kB, without the last chunk.
    Chunked,
    /// 16 kB that stop 10 bytes short.
    Short,
    /// 72 kB that stop 10 bytes short.
    Large,
    /// 4 MB, whole.
    Whole,
    /// 20,000 chunks of one byte, without the last chunk.
    Tiny,
}

const BODIES: [Body; 5] = [
    Body::Chunked,
    Body::Whole,
    Body::Large,
    Body::Tiny,
    Body::Short,
];

fn send(stream: &mut TcpStream, attempt: &str, body: Body) -> io::Result<()> {
    let head = |length: &str| {
        format!(
            "POST /issue/1 HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 4000\r\n\
             Authorization: Bearer {}\r\n{length}\r\n\r\n",
            worker::HOST,
            worker::KEY
        )
    };
    let announced = |length: usize, sent: usize| {
        let mut bytes = head(&format!("Content-Length: {length}")).into_bytes();
        bytes.resize(bytes.len() + sent, b'x');
        bytes
    };
    let chunked = |size: usize, count: usize| {
        let mut bytes = head("Transfer-Encoding: chunked").into_bytes();
        let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        for _ in 0..count {
            bytes.extend_from_slice(chunk.as_bytes());
        }
        bytes
    };
    let bytes = match body {
        Body::Chunked => chunked(8_000, 9),
        Body::Short => announced(16_000, 15_990),
        Body::Large => announced(73_000, 72_990),
        Body::Whole => announced(4_000_000, 4_000_000),
        Body::Tiny => chunked(1, 20_000),
    };
    stream.write_all(&bytes)
}

/// Sends one request after the other, each on a connection that stays open until the router closes it.
fn press(front: SocketAddr, caller: usize, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let attempt = format!("h{caller}x{number}");
        let sent =
            TcpStream::connect_timeout(&front, Duration::from_secs(2)).and_then(|mut stream| {
                stream.set_write_timeout(Some(Duration::from_secs(8)))?;
                stream.set_read_timeout(Some(Duration::from_millis(500)))?;
                send(&mut stream, &attempt, BODIES[caller % BODIES.len()])?;
                let mut answer = [0; 256];
                while !is_over.load(Ordering::SeqCst) {
                    match stream.read(&mut answer) {
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        _ => break,
                    }
                }
                Ok(())
            });
        if sent.is_err() {
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Bytes that callers have sent to `front` and that the process has not read yet, in kB.
fn unread_kb(front: SocketAddr) -> u64 {
    const ESTABLISHED: &str = "01";
    let SocketAddr::V4(front) = front else {
        return 0;
    };
    let ip = u32::from_ne_bytes(front.ip().octets());
    let local = format!("{ip:08X}:{:04X}", front.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let bytes = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace();
        let is_front = fields.nth(1)? == local;
        let is_open = fields.nth(1)? == ESTABLISHED;
        let (_, unread) = fields.next()?.split_once(':')?;
        (is_front && is_open).then(|| u64::from_str_radix(unread, 16).unwrap_or(0))
    });
    bytes.sum::<u64>() / 1_024
}

fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Sends orders on kept connections. Adds those that end without an answer to `lost`.
fn order(
    front: SocketAddr,
    caller: usize,
    is_over: &AtomicBool,
    lost: &Mutex<Vec<String>>,
    setup: &Setup,
) -> io::Result<()> {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(front) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            number += 1;
            let attempt = format!("o{caller}x{number}");
            let request = worker::plain_request("POST", "/issue/1", &attempt, b"one certificate");
            if is_over.load(Ordering::SeqCst) || stream.write_all(&request).is_err() {
                break;
            }
            let answer = http::read_answer(&mut reader);
            setup
                .record
                .add(&format!("order {attempt}: status {}", answer.status));
            if answer.status == 0 {
                lost.lock().unwrap().push(attempt);
                break;
            }
            let closes = answer
                .head
                .get("connection")
                .is_some_and(|value| value == "close");
            if closes || !answer.is_complete {
                break;
            }
        }
    }
    Ok(())
}

pub fn play(setup: &Setup) -> Result<Verdict, String> {
    let text = |error: io::Error| error.to_string();
    let network = Network::choose();
    let folder = Folder::create().map_err(text)?;
    let store = Store::start(network.address(1, fleet::STORE_PORT)).map_err(text)?;
    store.put("op", "config", Some(&worker::config(7, 1_000_000)));
    let ran = std::sync::Arc::new(std::sync::Mutex::new(std::collections::HashSet::new()));
    for index in 0..3 {
        let id = format!("i-{index}");
        let address = network.address(100 + index, 8080);
        let zone = ["gulberg", "model-town", "johar-town"][usize::from(index)];
        let registration = Registration::new(&id, "registry", address, zone);
        let ran = ran.clone();
        worker::start(&registration, move |request, stream| {
            let attempt = worker::attempt_id(request);
            ran.lock().unwrap().insert(attempt.clone());
            thread::sleep(WORK_TIME);
            let headers = [("Attempt-Id", attempt.as_str()), ("Response-Seal", "seal")];
            http::respond(stream, 200, &headers, b"certificate")
        })
        .map_err(text)?;
        registration.register(&store);
    }
    let mut routers =
        fleet::start_routers(&setup.root, &folder, network, 1, MEMORY_MB).map_err(text)?;
    if !fleet::wait_ready(&routers, Duration::from_secs(15)) {
        return Err("the router is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let front = routers[0].front;
    let (is_over, lost) = (AtomicBool::new(false), Mutex::default());
    let crowd_size = if setup.has_trouble { CROWD } else { 0 };
    let (peak, kills) = thread::scope(|scope| {
        for caller in 0..ORDINARY_CALLERS {
            let (is_over, lost) = (&is_over, &lost);
            scope.spawn(move || order(front, caller, is_over, lost, setup));
        }
        thread::sleep(Duration::from_secs(1));
        for caller in 0..crowd_size {
            let is_over = &is_over;
            let spawned = thread::Builder::new()
                .stack_size(128 << 10)
                .spawn_scoped(scope, move || press(front, caller, is_over));
            spawned.expect("a thread for a caller");
        }
        let deadline = Instant::now() + CROWD_TIME;
        let (mut peak, mut kills, mut reported) = (0, 0, Instant::now());
        while Instant::now() < deadline && kills < KILLS_MAX {
            let (resident, unread) = (resident_kb(routers[0].pid()), unread_kb(front));
            let total = resident + unread;
            peak = peak.max(total);
            if reported.elapsed() > Duration::from_millis(500) || total > MEMORY_KB {
                setup.record.add(&format!(
                    "the router has {resident} kB, and {unread} kB are not read yet; {peak} kB at most"
                ));
                reported = Instant::now();
            }
            if total > MEMORY_KB {
                kills += 1;
                setup
                    .record
                    .tell(&format!("the router has {total} kB and is killed"));
                if let Err(error) = routers[0].restart() {
                    setup
                        .record
                        .tell(&format!("it could not start again: {error}"));
                    break;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_millis(300));
        is_over.store(true, Ordering::SeqCst);
        (peak, kills)
    });
    let ran = ran.lock().unwrap();
    let lost: Vec<String> = lost.into_inner().unwrap();
    let lost = lost.iter().filter(|attempt| ran.contains(*attempt)).count();
    setup.record.tell(&format!(
        "the router had {peak} kB at most, its machine has {MEMORY_KB} kB; it was killed {kills} times; \
         {lost} orders that a worker had got ended without an answer, {ALLOWED} are allowed"
    ));
    Ok(if lost > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
