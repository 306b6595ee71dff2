//! Two workers are upgraded in place: they start again under the ids that they had, with another
//! software version, and register at once. One of them crashes a second later. Do the streams that it
//! began go on at the other version?

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Setup, Verdict,
    fleet::{self, Folder, Network, unix_ms},
    http::{self, Server},
    store::Store,
    worker::{self, Registration},
};

const WORKERS: u8 = 9;
const CALLERS: usize = 200;
const INPUT: u64 = 10;
/// Output tokens: 75 events.
const OUTPUT: u64 = 375;
const EVENT_TIME: Duration = Duration::from_millis(20);
/// Time for which an upgraded worker is down.
const DOWN_TIME: Duration = Duration::from_millis(200);
/// Time between the starts of the two upgraded workers.
const START_GAP: Duration = Duration::from_millis(40);
/// Time from its start to the crash of the second one.
const CRASH_AFTER: Duration = Duration::from_millis(1_000);
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;

fn start(registration: &Registration) -> std::io::Result<Arc<Server>> {
    let (id, version) = (registration.id.clone(), registration.version.clone());
    worker::start(registration, move |request, stream| {
        let attempt = worker::attempt_id(request);
        let text = |number| format!("piece {number} of {attempt} by {version} at {id}");
        worker::write_slow_stream(request, &format!("seal-{id}"), stream, EVENT_TIME, text)
    })
}

pub fn play(setup: &Setup) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let network = Network::choose();
    let folder = Folder::create().map_err(text)?;
    let store = Store::start(network.address(1, fleet::STORE_PORT)).map_err(text)?;
    store.put("op", "config", Some(&worker::config(7, 100_000_000)));
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let zone = ["gulberg", "model-town", "johar-town"][usize::from(index) % 3];
        let address = network.address(100 + index, 8080);
        let registration = Registration::new(&format!("i-{index}"), "appraiser-model", address, zone);
        let server = start(&registration).map_err(text)?;
        registration.register(&store);
        workers.push((registration, server));
    }
    let routers = fleet::start_routers(&setup.root, &folder, network, 3, fleet::MEMORY_MB).map_err(text)?;
    if !fleet::wait_ready(&routers, Duration::from_secs(15)) {
        return Err("the routers are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let (is_over, joined) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let front = routers[caller % routers.len()].front;
            let (is_over, joined, record) = (&is_over, &joined, &setup.record);
            scope.spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let attempt = format!("c{caller}x{number}");
                    number += 1;
                    let request = worker::stream_request(&attempt, INPUT, OUTPUT, &[]);
                    let answer = http::fetch(front, &request, Duration::from_secs(14));
                    let body = answer.text();
                    let has = |version: &str| body.contains(&format!(" by {version} "));
                    let is_joined = has("v1") && has("v2");
                    if is_joined {
                        joined.fetch_add(1, Ordering::SeqCst);
                        let first = body.lines().find(|line| line.contains(" by v1 "));
                        let last = body.lines().rfind(|line| line.contains("data"));
                        record.add(&format!("{attempt} joins versions: v1 in {first:?}, ends with {last:?}"));
                    }
                    record.add(&format!(
                        "attempt {attempt}: status {}, {} events, complete: {}, v1: {}, v2: {}",
                        answer.status, body.matches("\n\n").count(), answer.is_complete, has("v1"), has("v2")
                    ));
                    if answer.status != 200 {
                        thread::sleep(Duration::from_millis(300));
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(4));
        for index in [0, 1] {
            setup.record.add(&format!("{} stops", workers[index].0.id));
            workers[index].1.crash();
        }
        thread::sleep(DOWN_TIME);
        for index in [0, 1] {
            let (registration, server) = &mut workers[index];
            registration.version = "v2".to_owned();
            registration.born = unix_ms();
            setup.record.add(&format!("{} starts with v2", registration.id));
            registration.register(&store);
            match start(registration) {
                Ok(started) => *server = started,
                Err(error) => setup.record.add(&format!("it could not start: {error}")),
            }
            thread::sleep(START_GAP);
        }
        thread::sleep(CRASH_AFTER - START_GAP);
        if setup.has_trouble {
            setup.record.add(&format!("{} crashes", workers[1].0.id));
            workers[1].1.crash();
        }
        thread::sleep(Duration::from_secs(4));
        is_over.store(true, Ordering::SeqCst);
    });
    let joined = joined.load(Ordering::SeqCst);
    setup.record.tell(&format!(
        "{joined} streams hold events of two software versions; {ALLOWED} are allowed"
    ));
    Ok(if joined > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
