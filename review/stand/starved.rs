//! All model workers of a service crash at the same moment and are back after two seconds.

use std::{
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
    http::End,
    send,
    store::Store,
    worker::Worker,
};

/// Workers of the small sites.
const ENGINES: usize = 9;
const APPS: usize = 3;
/// Time of traffic before the crash.
const CALM: Duration = Duration::from_secs(4);
/// Time of traffic after it.
const AFTER: Duration = Duration::from_secs(70);
/// Time after the crash from which the workers serve again: down for 2 s, and registered.
const BACK: Duration = Duration::from_secs(5);

/// Requests of one kind: sent, served, and answered 502.
#[derive(Clone, Copy, Default)]
struct Count {
    sent: u64,
    served: u64,
    bad_gateway: u64,
}

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::new();
    store.put(
        "op",
        "config",
        Some(&config(7, &[("tenant-a", "key-a", 2_000_000_000)])),
    );
    let start = |prefix: &str, service: &str, count: usize| -> Vec<Worker> {
        (1..=count)
            .map(|number| {
                Worker::start(&format!("{prefix}-{number}"), service, "v1", &store, record)
            })
            .collect()
    };
    let engines = start("i", "llm", ENGINES);
    let _apps = start("a", "app", APPS);
    for engine in &engines {
        engine.set(|behavior| behavior.step = Duration::from_millis(60));
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
    let begin = Instant::now();
    // Streams, orders, and streams sent after the workers were back.
    let counts = Arc::new(Mutex::new([Count::default(); 3]));
    let fronts: Vec<_> = routers.iter().map(|router| router.front).collect();
    // One stream and one order each 100 ms, at the routers in turn.
    let clients: Vec<_> = [true, false]
        .into_iter()
        .map(|is_stream| {
            let (running, number, counts) = (running.clone(), number.clone(), counts.clone());
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || {
                let mut open = Vec::new();
                while running.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed) + 1;
                    let front = fronts[(number / 2) as usize % fronts.len()];
                    let (counts, record) = (counts.clone(), record.clone());
                    open.push(thread::spawn(move || {
                        // All streams share the first part, as requests of one application share
                        // their instructions; 20 subjects, and a last part of the request's own.
                        let prefix =
                            format!("a1:300,5{:02x}:500,{:x}:200", number % 20, 0x10000 + number);
                        let body = format!("body {number}");
                        let request = Request {
                            path: if is_stream { "/draft/2f" } else { "/order/2f" },
                            key: "key-a",
                            deadline_ms: if is_stream { 12_000 } else { 1_500 },
                            prompt: is_stream.then_some(("1000,175", prefix.as_str())),
                            resume: None,
                            body: body.as_bytes(),
                            gap: Duration::from_millis(2_400),
                        };
                        let is_after = begin.elapsed() > CALM + BACK;
                        let (_, answer) = send(front, &request, &record);
                        let mut counts = counts.lock().unwrap();
                        let mut add = |index: usize| {
                            counts[index].sent += 1;
                            counts[index].served += u64::from(answer.end == End::Status(200));
                            counts[index].bad_gateway += u64::from(answer.end == End::Status(502));
                        };
                        add(usize::from(!is_stream));
                        if is_stream && is_after {
                            add(2);
                        }
                    }));
                    thread::sleep(Duration::from_millis(100));
                }
                for request in open {
                    let _ = request.join();
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    if stage.trouble {
        for engine in &engines {
            engine.crash(None, Duration::from_secs(2), None);
        }
    }
    thread::sleep(AFTER);
    running.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let [streams, orders, after] = *counts.lock().unwrap();
    let share = |count: Count| count.served as f64 / count.sent.max(1) as f64;
    let all = Count {
        sent: streams.sent + orders.sent,
        served: streams.served + orders.served,
        bad_gateway: 0,
    };
    record.say(&format!(
        "streams: {} of {} served; orders: {} of {}; all: {:.3}; streams sent later than {BACK:?} \
         after the crash: {} of {} served, {} answered 502",
        streams.served,
        streams.sent,
        orders.served,
        orders.sent,
        share(all),
        after.served,
        after.sent,
        after.bad_gateway
    ));
    if share(orders) < 0.5 || streams.sent < 100 {
        return Verdict::CouldNotRun;
    }
    if share(streams) < share(all) / 4.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
