//! A worker answers one stream with status 500 and its connection breaks within that answer. The
//! router repeats the request at another worker. Is what the caller then gets paid from its budget?

use std::{
    collections::BTreeMap,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
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

const WORKERS: u8 = 9;
/// Answers of the faulty worker before the one that breaks off: one in 34 is 3 in 100.
const SOUND_ANSWERS: usize = 33;
const INPUT: u64 = 10;
/// Output tokens of a request, and of one after the first refusal: small requests use up the rest.
const OUTPUT: u64 = 500;
const SMALL_OUTPUT: u64 = 50;
/// Total of the tenant: it covers 400 requests.
const PREPAID: u64 = 400 * (INPUT + OUTPUT);
const CALLERS: usize = 8;
const TIME: Duration = Duration::from_secs(75);
/// Refusals in a row after which a caller stops: the total is used up.
const REFUSALS: usize = 12;

/// Tokens that the tenant got, by attempt.
type Consumption = Mutex<BTreeMap<String, (u64, u64)>>;

pub fn play(setup: &Setup) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let network = Network::choose();
    let folder = Folder::create().map_err(text)?;
    let store = Store::start(network.address(1, fleet::STORE_PORT)).map_err(text)?;
    store.put("op", "config", Some(&worker::config(7, PREPAID)));
    let broken = Arc::new(Mutex::new(None::<String>));
    for index in 0..WORKERS {
        let zone = ["gulberg", "model-town", "johar-town"][usize::from(index) % 3];
        let id = format!("i-{index}");
        let address = network.address(100 + index, 8080);
        let registration = Registration::new(&id, "appraiser-model", address, zone);
        let is_faulty = index == 0 && setup.has_trouble;
        let (answers, broken) = (AtomicUsize::new(0), broken.clone());
        worker::start(&registration, move |request, stream| {
            let number = answers.fetch_add(1, Ordering::SeqCst);
            let attempt = worker::attempt_id(request);
            if is_faulty && number == SOUND_ANSWERS {
                *broken.lock().unwrap() = Some(attempt.clone());
                let head = format!(
                    "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {attempt}\r\n\
                     Response-Seal: seal-{id}\r\nContent-Length: 40\r\n\r\ninternal er"
                );
                stream.write_all(head.as_bytes())?;
                return Ok(false);
            }
            worker::write_stream(request, &format!("seal-{id}"), stream, |number| {
                format!("piece {number} of {attempt}")
            })
        })
        .map_err(text)?;
        registration.register(&store);
    }
    let routers =
        fleet::start_routers(&setup.root, &folder, network, 3, fleet::MEMORY_MB).map_err(text)?;
    if !fleet::wait_ready(&routers, Duration::from_secs(15)) {
        return Err("the routers are not ready".to_owned());
    }
    // The routers draw their first tokens within five seconds of their start.
    thread::sleep(Duration::from_secs(6));
    let consumption = Consumption::default();
    let deadline = Instant::now() + TIME;
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let front = routers[caller % routers.len()].front;
            let (consumption, record) = (&consumption, &setup.record);
            scope.spawn(move || {
                let (mut number, mut refusals, mut output) = (0, 0, OUTPUT);
                while refusals < REFUSALS && Instant::now() < deadline {
                    let attempt = format!("c{caller}x{number}");
                    number += 1;
                    let request = worker::stream_request(&attempt, INPUT, output, &[]);
                    let answer = http::fetch(front, &request, Duration::from_secs(14));
                    let events = answer.text().matches("\n\n").count() as u64;
                    record.add(&format!(
                        "attempt {attempt}: status {}, {events} events, complete: {}",
                        answer.status, answer.is_complete
                    ));
                    if answer.status == 200 && events > 0 {
                        let tokens = (INPUT, events * worker::STRIDE);
                        consumption.lock().unwrap().insert(attempt, tokens);
                        refusals = 0;
                    } else {
                        (refusals, output) = (refusals + 1, SMALL_OUTPUT);
                        thread::sleep(Duration::from_millis(400));
                    }
                }
            });
        }
    });
    drop(routers);
    let consumption = consumption.into_inner().unwrap();
    let input: u64 = consumption.values().map(|(input, _)| input).sum();
    let output: u64 = consumption.values().map(|(_, output)| output).sum();
    let broken = broken.lock().unwrap().clone();
    let summary = format!(
        "{} requests got an answer: {input} input and {output} output tokens, {} in all, of a Prepaid of {PREPAID}; \
         the request whose 500 broke off: {broken:?}",
        consumption.len(),
        input + output
    );
    setup.record.tell(&summary);
    if setup.has_trouble && broken.is_none() {
        return Err("the faulty worker got too few requests".to_owned());
    }
    Ok(if input + output > PREPAID {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
