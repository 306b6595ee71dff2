//! A prompt part crashes each worker. The routers find out and block it; then they are restarted in
//! turn.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Request, STABLE_WINDOW, Stage, Verdict, config,
    fleet::{Bounds, Router},
    http::End,
    send,
    store::Store,
    worker::Worker,
};

/// Time of traffic before the first restart.
const BEFORE: Duration = Duration::from_secs(30);
/// Time after which the workers need relief and name a limit.
const IN_NEED: Duration = Duration::from_secs(8);
/// Interval at which their limits change between these requests a second.
const LIMIT_INTERVAL: Duration = Duration::from_millis(500);
const LIMITS: [f64; 2] = [60.0, 30.0];
/// Time between the return of a router and the next restart.
const BETWEEN: Duration = Duration::from_secs(10);
/// Time after SIGTERM in which the platform notices that the router is not ready: two checks.
const NOTICED: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_secs(8);
/// Requests with the deadly part that the rule allows.
const ALLOWED: usize = 3;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::new();
    store.put(
        "op",
        "config",
        Some(&config(7, &[("tenant-a", "key-a", 2_000_000_000)])),
    );
    let workers: Vec<Worker> = (1..=3)
        .map(|number| Worker::start(&format!("i-{number}"), "llm", "v1", &store, record))
        .collect();
    for worker in &workers {
        worker.set(|behavior| behavior.deadly_part = Some("dead".into()));
    }
    let address = store.serve();
    let bounds = Bounds::default();
    let mut routers: Vec<Router> = (0..3)
        .map(|index| {
            let zone = ["a", "b", "c"][index];
            Router::start(
                index,
                zone,
                address,
                &bounds,
                &stage.root,
                &stage.temporary,
                record,
            )
        })
        .collect();
    if !routers
        .iter()
        .all(|router| router.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let fronts: Arc<Mutex<Vec<SocketAddr>>> = Arc::new(Mutex::new(
        routers.iter().map(|router| router.front).collect(),
    ));
    let running = Arc::new(AtomicBool::new(true));
    let number = Arc::new(AtomicU64::new(0));
    // Router that a request with the deadly part was sent to.
    let senders: Arc<Mutex<HashMap<String, SocketAddr>>> = Arc::default();
    let cut = Arc::new(AtomicU64::new(0));
    let client = |pause: Duration, is_deadly: bool| {
        let (fronts, running, record) = (fronts.clone(), running.clone(), record.clone());
        let (number, senders, cut) = (number.clone(), senders.clone(), cut.clone());
        thread::spawn(move || {
            let mut turn = 0;
            while running.load(Ordering::Relaxed) {
                let number = number.fetch_add(1, Ordering::Relaxed) + 1;
                let fronts = fronts.lock().unwrap().clone();
                let (record, senders, cut) = (record.clone(), senders.clone(), cut.clone());
                turn += 1;
                thread::spawn(move || {
                    let front = fronts[turn % fronts.len()];
                    // Sound requests share the caller and the first part.
                    let second = if is_deadly { "dead" } else { "feed" };
                    let prefix = format!("a1:300,{second}:500,{:x}:200", 0x1_0000 + number);
                    let body = format!("prompt {number}");
                    let request = Request {
                        path: "/draft/2f",
                        key: "key-a",
                        deadline_ms: 12_000,
                        prompt: Some(("1000,70", &prefix)),
                        resume: None,
                        body: body.as_bytes(),
                        gap: Duration::from_millis(2_400),
                    };
                    let (attempt, answer) = send(front, &request, &record);
                    if is_deadly {
                        senders.lock().unwrap().insert(attempt, front);
                    } else if answer.end == End::Cut {
                        cut.fetch_add(1, Ordering::Relaxed);
                    }
                });
                thread::sleep(pause);
            }
        })
    };
    let begin = Instant::now();
    let clients = [
        client(Duration::from_millis(100), false),
        client(Duration::from_millis(500), true),
    ];
    let limits = {
        let (running, workers) = (running.clone(), workers.clone());
        thread::spawn(move || {
            thread::sleep(IN_NEED);
            for limit in LIMITS.into_iter().cycle() {
                if !running.load(Ordering::Relaxed) {
                    return;
                }
                for worker in &workers {
                    worker.set(|behavior| behavior.limit = Some(limit));
                }
                thread::sleep(LIMIT_INTERVAL);
            }
        })
    };
    thread::sleep(BEFORE);
    // Starts and SIGTERMs of a router.
    let mut changes: Vec<(SocketAddr, Instant)> = Vec::new();
    for router in &mut routers {
        if stage.trouble {
            let front = router.front;
            router.signal("TERM");
            changes.push((front, Instant::now()));
            thread::sleep(NOTICED);
            fronts.lock().unwrap().retain(|other| *other != front);
            router.wait_exit(GRACE - NOTICED);
            router.restart();
            changes.push((front, Instant::now()));
            if !router.wait_ready(Duration::from_secs(5)) {
                return Verdict::CouldNotRun;
            }
            thread::sleep(STABLE_WINDOW);
            fronts.lock().unwrap().push(front);
        }
        thread::sleep(BETWEEN);
    }
    running.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = limits.join();
    thread::sleep(Duration::from_secs(1));
    let senders = senders.lock().unwrap();
    let is_in_touch = |front: SocketAddr, at: Instant| {
        let mut of_router = changes.iter().filter(|(other, _)| *other == front);
        !of_router.any(|(_, change)| *change <= at && at < *change + STABLE_WINDOW)
    };
    let crashes = record.crashes();
    let fifth = crashes.get(4).map(|at| *at + STABLE_WINDOW);
    let runs = record.runs();
    let deadly = runs.iter().filter(|run| run.prefix.contains("dead:"));
    let late: Vec<f64> = deadly
        .filter(|run| fifth.is_some_and(|from| run.at > from))
        .filter(|run| {
            senders
                .get(&run.attempt)
                .is_some_and(|front| is_in_touch(*front, run.at))
        })
        .map(|run| (run.at - begin).as_secs_f64())
        .collect();
    let crashed: Vec<String> = crashes
        .iter()
        .map(|at| format!("{:.1}", (*at - begin).as_secs_f64()))
        .collect();
    record.say(&format!(
        "workers crashed at {} s of the traffic",
        crashed.join(", ")
    ));
    record.say(&format!(
        "{} requests with the deadly part reached workers later than {STABLE_WINDOW:?} after the \
         fifth crash, from routers in touch; {ALLOWED} are allowed; {} sound streams were cut",
        late.len(),
        cut.load(Ordering::Relaxed)
    ));
    if late.len() > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
