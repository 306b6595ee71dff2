//! Routers lose power for longer than they count on, one after the other; then all are killed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Request, STRIDE, Stage, Verdict, config,
    fleet::{Bounds, Router},
    http::End,
    send,
    store::Store,
    worker::Worker,
};

const PREPAID: u64 = 1_000_000;
const INPUT: u64 = 1_000;
const OUTPUT: u64 = 70;
/// Losses of power, the time that each lasts, and the time from one to the next.
const LOSSES: usize = 17;
const DOWN: Duration = Duration::from_millis(3_500);
const INTERVAL: Duration = Duration::from_secs(4);
/// Time for which all routers are down after the final fault.
const ALL_DOWN: Duration = Duration::from_millis(1_500);
/// `RecoverS` of the small sites.
const RECOVER: Duration = Duration::from_secs(12);
/// Time of traffic after it.
const JUDGED: Duration = Duration::from_secs(8);

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::new();
    store.put(
        "op",
        "config",
        Some(&config(7, &[("tenant-a", "key-a", PREPAID)])),
    );
    let _workers: Vec<Worker> = (1..=3)
        .map(|number| Worker::start(&format!("i-{number}"), "llm", "v1", &store, record))
        .collect();
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
    thread::sleep(Duration::from_secs(6));
    let fronts: Arc<Mutex<Vec<SocketAddr>>> = Arc::new(Mutex::new(
        routers.iter().map(|router| router.front).collect(),
    ));
    let running = Arc::new(AtomicBool::new(true));
    // When each request was sent, how it ended, and its events.
    let answers: Arc<Mutex<Vec<(Instant, End, u64)>>> = Arc::default();
    let client = {
        let (fronts, running) = (fronts.clone(), running.clone());
        let (answers, record) = (answers.clone(), record.clone());
        thread::spawn(move || {
            let mut open = Vec::new();
            let mut number = 0;
            while running.load(Ordering::Relaxed) {
                let fronts = fronts.lock().unwrap().clone();
                number += 1;
                if !fronts.is_empty() {
                    let front = fronts[number % fronts.len()];
                    let (answers, record) = (answers.clone(), record.clone());
                    open.push(thread::spawn(move || {
                        let (count, prefix) =
                            (format!("{INPUT},{OUTPUT}"), format!("{number:x}:{INPUT}"));
                        let body = format!("prompt {number}");
                        let request = Request {
                            path: "/draft/2f",
                            key: "key-a",
                            deadline_ms: 12_000,
                            prompt: Some((&count, &prefix)),
                            resume: None,
                            body: body.as_bytes(),
                            gap: Duration::from_millis(2_400),
                        };
                        let sent = Instant::now();
                        let (_, answer) = send(front, &request, &record);
                        let events = answer.events().len() as u64;
                        answers.lock().unwrap().push((sent, answer.end, events));
                    }));
                }
                thread::sleep(Duration::from_millis(250));
            }
            for request in open {
                let _ = request.join();
            }
        })
    };
    let begin = Instant::now();
    for loss in 0..LOSSES {
        let next = begin + INTERVAL * (loss as u32 + 1);
        if stage.trouble {
            let router = &mut routers[loss % 3];
            let front = router.front;
            // The platform's readiness checks keep clients away while the machine is down.
            fronts.lock().unwrap().retain(|other| *other != front);
            router.kill();
            thread::sleep(DOWN);
            router.restart();
            if !router.wait_ready(Duration::from_secs(5)) {
                return Verdict::CouldNotRun;
            }
            fronts.lock().unwrap().push(front);
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let final_fault = Instant::now();
    let all = std::mem::take(&mut *fronts.lock().unwrap());
    for router in &mut routers {
        router.kill();
    }
    thread::sleep(ALL_DOWN);
    for router in &mut routers {
        router.restart();
    }
    let back = Instant::now();
    if !routers
        .iter()
        .all(|router| router.wait_ready(Duration::from_secs(10)))
    {
        return Verdict::CouldNotRun;
    }
    *fronts.lock().unwrap() = all;
    thread::sleep((back + RECOVER + JUDGED).saturating_duration_since(Instant::now()));
    running.store(false, Ordering::Relaxed);
    let _ = client.join();
    let answers = answers.lock().unwrap();
    let share = |is_counted: &dyn Fn(Instant) -> bool| {
        let counted: Vec<_> = answers
            .iter()
            .filter(|(sent, _, _)| is_counted(*sent))
            .collect();
        let served = counted
            .iter()
            .filter(|(_, end, _)| *end == End::Status(200))
            .count();
        (served, counted.len())
    };
    let before = share(&|sent| sent < final_fault);
    let after = share(&|sent| sent > back + RECOVER);
    let mut ends: BTreeMap<String, u64> = BTreeMap::new();
    for (sent, end, _) in answers.iter() {
        if *sent > back + RECOVER {
            *ends.entry(format!("{end:?}")).or_default() += 1;
        }
    }
    let runs = record.runs().len() as u64;
    let output: u64 = answers
        .iter()
        .map(|(_, _, events)| (events * STRIDE).min(OUTPUT))
        .sum();
    let used = runs * INPUT + output;
    record.say(&format!(
        "before the final fault {} of {} requests were served; later than {RECOVER:?} after all were \
         back {} of {}: {ends:?}; the tenant has used {used} of {PREPAID} prepaid tokens",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 < 20 {
        return Verdict::CouldNotRun;
    }
    if after.0 * 4 < after.1 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
