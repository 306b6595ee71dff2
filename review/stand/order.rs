//! The workers of a service crash in turn and come back with newer software under their ids.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Request, Stage, Verdict, config,
    fleet::{Bounds, Router},
    send,
    store::Store,
    worker::Worker,
};

/// Workers of the service, of which one in four is down at a time.
const WORKERS: usize = 4;
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_secs(3);
/// Time between the return of a worker and the crash of the next one.
const NEXT: Duration = Duration::from_millis(50);
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::new();
    store.put(
        "op",
        "config",
        Some(&config(7, &[("tenant-a", "key-a", 2_000_000_000)])),
    );
    let workers: Vec<Worker> = (1..=WORKERS)
        .map(|number| Worker::start(&format!("i-{number}"), "llm", "v1", &store, record))
        .collect();
    for worker in &workers {
        worker.set(|behavior| behavior.step = Duration::from_millis(60));
    }
    let address = store.serve();
    let bounds = Bounds::default();
    let routers: Vec<Router> = (0..3)
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
    let running = Arc::new(AtomicBool::new(true));
    let number = Arc::new(AtomicU64::new(0));
    let delivered: Arc<Mutex<HashMap<String, Vec<u64>>>> = Arc::default();
    let clients: Vec<_> = (0..30)
        .map(|index| {
            let (number, delivered, running) = (number.clone(), delivered.clone(), running.clone());
            let (front, record) = (routers[index % 3].front, record.clone());
            thread::spawn(move || {
                while running.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed) + 1;
                    let prefix = format!("{number:x}:1000");
                    let request = Request {
                        path: "/query/2f",
                        key: "key-a",
                        deadline_ms: 12_000,
                        prompt: Some(("1000,175", &prefix)),
                        resume: None,
                        body: format!("prompt {number}").as_bytes().to_vec().leak(),
                        gap: Duration::from_millis(2_400),
                    };
                    let (attempt, answer) = send(front, &request, &record);
                    delivered.lock().unwrap().insert(attempt, answer.events());
                    thread::sleep(Duration::from_secs_f64(
                        answer.retry_after.unwrap_or(0.02).min(0.3),
                    ));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if stage.trouble {
        for worker in &workers {
            worker.crash(None, DOWN, Some("v2"));
            let deadline = Instant::now() + Duration::from_secs(8);
            while !worker.is_up() && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(NEXT);
        }
    }
    thread::sleep(Duration::from_secs(6));
    running.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let delivered = delivered.lock().unwrap();
    let mut versions: HashMap<String, BTreeSet<String>> = HashMap::new();
    for run in record.runs() {
        let got = delivered
            .get(&run.attempt)
            .and_then(|events| events.last())
            .copied()
            .unwrap_or(0);
        // A run whose events did not reach the client says nothing.
        if run.resume_from.unwrap_or(0) < got {
            versions.entry(run.attempt).or_default().insert(run.version);
        }
    }
    let mixed: Vec<&String> = versions
        .iter()
        .filter(|(_, seen)| seen.len() > 1)
        .map(|(attempt, _)| attempt)
        .collect();
    record.say(&format!(
        "{} streams with events of two software versions: {mixed:?}",
        mixed.len()
    ));
    if mixed.len() > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
