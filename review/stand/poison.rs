//! A prompt part crashes each worker, and the routers are restarted in turn.

use std::{
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
    send,
    store::Store,
    worker::Worker,
};

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::new();
    store.put("op", "config", Some(&config(7, &[("tenant-a", "key-a", 2_000_000_000)])));
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
            Router::start(index, zone, address, &bounds, &stage.root, &stage.temporary, record)
        })
        .collect();
    if !routers.iter().all(|router| router.wait_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let fronts: Arc<Mutex<Vec<SocketAddr>>> =
        Arc::new(Mutex::new(routers.iter().map(|router| router.front).collect()));
    let running = Arc::new(AtomicBool::new(true));
    let number = Arc::new(AtomicU64::new(0));
    let client = |pause: Duration, is_deadly: bool| {
        let (fronts, running, record) = (fronts.clone(), running.clone(), record.clone());
        let number = number.clone();
        thread::spawn(move || {
            while running.load(Ordering::Relaxed) {
                let number = number.fetch_add(1, Ordering::Relaxed) + 1;
                let (fronts, record) = (fronts.lock().unwrap().clone(), record.clone());
                thread::spawn(move || {
                    if fronts.is_empty() {
                        return;
                    }
                    let front = fronts[(number * 7 / 3) as usize % fronts.len()];
                    let second = if is_deadly { "dead" } else { "feed" };
                    let prefix = format!("a1:300,{second}:500,{:x}:200", 0x1_0000 + number);
                    let request = Request {
                        path: "/draft/2f",
                        key: "key-a",
                        deadline_ms: 12_000,
                        prompt: Some(("1000,70", &prefix)),
                        resume: None,
                        body: format!("prompt {number}").as_bytes().to_vec().leak(),
                        gap: Duration::from_millis(2_400),
                    };
                    send(front, &request, &record);
                });
                thread::sleep(pause);
            }
        })
    };
    let begin = Instant::now();
    let clients = [client(Duration::from_millis(100), false), client(Duration::from_millis(500), true)];
    let limited = {
        let (running, workers) = (running.clone(), workers.clone());
        thread::spawn(move || {
            let mut high = false;
            while running.load(Ordering::Relaxed) {
                high = !high;
                if begin.elapsed() > Duration::from_secs(10) && std::env::var("NOISE").is_ok() {
                    for worker in &workers {
                        worker.set(|behavior| behavior.limit = Some(if high { 60.0 } else { 30.0 }));
                    }
                }
                thread::sleep(Duration::from_millis(250));
            }
        })
    };
    thread::sleep(Duration::from_secs(25));
    for index in 0..routers.len() {
        if stage.trouble {
            let front = routers[index].front;
            routers[index].signal("TERM");
            thread::sleep(Duration::from_millis(2_000));
            fronts.lock().unwrap().retain(|other| *other != front);
            let deadline = Instant::now() + Duration::from_secs(6);
            while Instant::now() < deadline && !routers[index].has_exited() {
                thread::sleep(Duration::from_millis(10));
            }
            routers[index].kill();
            routers[index].restart();
            routers[index].wait_ready(Duration::from_secs(5));
            thread::sleep(STABLE_WINDOW);
            fronts.lock().unwrap().push(front);
        }
        thread::sleep(Duration::from_secs(10));
    }
    running.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = limited.join();
    thread::sleep(Duration::from_secs(1));
    let runs = record.runs();
    let deadly: Vec<Instant> =
        runs.iter().filter(|run| run.prefix.contains("dead:")).map(|run| run.at).collect();
    for at in &deadly {
        record.say(&format!("deadly at {:.2}", (*at - begin).as_secs_f64()));
    }
    Verdict::Held
}
