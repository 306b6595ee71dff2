//! Workers run requests and their answers are lost, until the tenant's total is used up.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
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

const PREPAID: u64 = 200_000;
const INPUT: u64 = 1_000;
const OUTPUT: u64 = 70;
/// `answer_lost` at its dose: share 0.6 of the workers lose 0.3 of their answers for 6 s.
const WORKERS: usize = 5;
const LOSING: usize = 3;
const LOST: (u64, u64) = (3, 10);
const LOSS_TIME: Duration = Duration::from_secs(6);
const CALM_TIME: Duration = Duration::from_secs(1);

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::new();
    store.put(
        "op",
        "config",
        Some(&config(7, &[("tenant-a", "key-a", PREPAID)])),
    );
    let workers: Vec<Worker> = (1..=WORKERS)
        .map(|number| Worker::start(&format!("i-{number}"), "llm", "v1", &store, record))
        .collect();
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
    thread::sleep(Duration::from_secs(6));
    let begin = Instant::now();
    let ended = Arc::new(AtomicBool::new(false));
    let losses = {
        let (trouble, ended, workers) = (stage.trouble, ended.clone(), workers.clone());
        thread::spawn(move || {
            while trouble && !ended.load(Ordering::Relaxed) {
                for (lose, time) in [(Some(LOST), LOSS_TIME), (None, CALM_TIME)] {
                    for worker in &workers[..LOSING] {
                        worker.set(|behavior| behavior.lose = lose);
                    }
                    thread::sleep(time);
                }
            }
        })
    };
    let number = Arc::new(AtomicU64::new(0));
    let delivered: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let refused = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..12)
        .map(|index| {
            let (number, delivered, refused) = (number.clone(), delivered.clone(), refused.clone());
            let (front, record) = (routers[index % 3].front, record.clone());
            thread::spawn(move || {
                let mut in_a_row = 0;
                while begin.elapsed() < Duration::from_secs(60) && in_a_row < 10 {
                    let number = number.fetch_add(1, Ordering::Relaxed) + 1;
                    let (count, prefix) =
                        (format!("{INPUT},{OUTPUT}"), format!("{number:x}:{INPUT}"));
                    let request = Request {
                        path: "/draft/2f",
                        key: "key-a",
                        deadline_ms: 12_000,
                        prompt: Some((&count, &prefix)),
                        resume: None,
                        body: format!("prompt {number}").as_bytes().to_vec().leak(),
                        gap: Duration::from_millis(2_400),
                    };
                    let (attempt, answer) = send(front, &request, &record);
                    delivered
                        .lock()
                        .unwrap()
                        .insert(attempt, answer.events().len() as u64);
                    if answer.end == End::Status(402) {
                        refused.fetch_add(1, Ordering::Relaxed);
                        in_a_row += 1;
                    } else if answer.end != End::Status(503) {
                        in_a_row = 0;
                    }
                    let pause = answer.retry_after.unwrap_or(0.02).min(1.0);
                    thread::sleep(Duration::from_secs_f64(pause));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    ended.store(true, Ordering::Relaxed);
    let _ = losses.join();
    let delivered = delivered.lock().unwrap();
    let ran: HashSet<String> = record.runs().into_iter().map(|run| run.attempt).collect();
    let input = ran.len() as u64 * INPUT;
    let output: u64 = delivered
        .values()
        .map(|events| (events * STRIDE).min(OUTPUT))
        .sum();
    let unanswered = ran
        .iter()
        .filter(|attempt| delivered.get(*attempt) == Some(&0))
        .count();
    let refused = refused.load(Ordering::Relaxed);
    record.say(&format!(
        "prepaid {PREPAID}; {} requests ran, {unanswered} of them without any event for the client: \
         {input} input tokens, {output} delivered output tokens, together {}; {refused} answers 402",
        ran.len(),
        input + output
    ));
    if refused == 0 {
        return Verdict::CouldNotRun;
    }
    if input + output > PREPAID {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
