//! Clients send large bodies within the limits at the same time.

use std::{fs, sync::{Arc, atomic::{AtomicBool, Ordering}}, thread, time::{Duration, Instant}};

use crate::{
    Request, Stage, Verdict, config,
    fleet::{Bounds, Router},
    send,
    store::Store,
    worker::Worker,
};

fn memory_kb(pid: u32, name: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.trim().trim_end_matches(" kB").trim().parse().ok()).unwrap_or(0)
}

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::new();
    store.put("op", "config", Some(&config(7, &[("tenant-a", "key-a", 2_000_000_000)])));
    let _workers: Vec<Worker> = (1..=3)
        .map(|number| Worker::start(&format!("a-{number}"), "app", "v1", &store, record))
        .collect();
    let address = store.serve();
    let bounds = Bounds::default();
    let mut routers: Vec<Router> = (0..3)
        .map(|index| Router::start(index, ["a", "b", "c"][index], address, &bounds, &stage.root, &stage.temporary, record))
        .collect();
    if !routers.iter().all(|router| router.wait_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let clients: usize = std::env::var("CLIENTS").ok().and_then(|n| n.parse().ok()).unwrap_or(40);
    let front = routers[0].front;
    let running = Arc::new(AtomicBool::new(true));
    let body: &'static [u8] = vec![b'x'; 4_000_000].leak();
    let threads: Vec<_> = (0..if stage.trouble { clients } else { 1 })
        .map(|_| {
            let (running, record) = (running.clone(), record.clone());
            thread::spawn(move || {
                while running.load(Ordering::Relaxed) {
                    let request = Request { path: "/order/2f", key: "key-a", deadline_ms: 2_000, prompt: None, resume: None, body, gap: Duration::from_secs(2) };
                    send(front, &request, &record);
                }
            })
        })
        .collect();
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(8) {
        thread::sleep(Duration::from_millis(200));
        record.line(&format!("rss {} peak {}", memory_kb(routers[0].pid(), "VmRSS:"), memory_kb(routers[0].pid(), "VmHWM:")));
    }
    running.store(false, Ordering::Relaxed);
    for thread in threads { let _ = thread.join(); }
    record.say(&format!("peak {} kB, exited {}", memory_kb(routers[0].pid(), "VmHWM:"), routers[0].has_exited()));
    Verdict::Held
}
