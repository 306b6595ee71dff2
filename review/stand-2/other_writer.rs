//! Another writer replaces the registration of a worker by an entry in which fields are missing. Such an
//! entry names no worker to use. Do requests of another service reach the worker through it?

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Setup, Verdict,
    fleet::{self, Folder, Network},
    http,
    json::Json,
    store::Store,
    worker::{self, Registration},
};

const CALLERS: usize = 90;
/// Time after which the worker writes its registration again: its heartbeat.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn play(setup: &Setup) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let network = Network::choose();
    let folder = Folder::create().map_err(text)?;
    let store = Store::start(network.address(1, fleet::STORE_PORT)).map_err(text)?;
    store.put("op", "config", Some(&worker::config(7, 100_000_000)));
    // Requests for the model service that a worker of the registry ran.
    let strayed = Arc::new(Mutex::new(Vec::new()));
    let mut registry = Vec::new();
    for index in 0..3 {
        let zone = ["gulberg", "model-town", "johar-town"][usize::from(index)];
        let id = format!("i-model-{index}");
        let model = Registration::new(
            &id,
            "appraiser-model",
            network.address(100 + index, 8080),
            zone,
        );
        worker::start(&model, |request, stream| {
            worker::write_stream(request, "seal", stream, |number| format!("piece {number}"))
        })
        .map_err(text)?;
        model.register(&store);
        let id = format!("i-registry-{index}");
        let plain = Registration::new(&id, "registry", network.address(110 + index, 8080), zone);
        let strayed = strayed.clone();
        worker::start(&plain, move |request, stream| {
            let attempt = worker::attempt_id(request);
            if request.path().starts_with("/stitch/") {
                strayed.lock().unwrap().push(format!("{attempt} at {id}"));
            }
            let headers = [("Attempt-Id", attempt.as_str()), ("Response-Seal", "seal")];
            http::respond(stream, 200, &headers, b"certificate")
        })
        .map_err(text)?;
        plain.register(&store);
        registry.push(plain);
    }
    let routers =
        fleet::start_routers(&setup.root, &folder, network, 3, fleet::MEMORY_MB).map_err(text)?;
    if !fleet::wait_ready(&routers, Duration::from_secs(15)) {
        return Err("the routers are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let front = routers[caller % routers.len()].front;
            let (is_over, record) = (&is_over, &setup.record);
            scope.spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let attempt = format!("c{caller}x{number}");
                    number += 1;
                    let request = worker::stream_request(&attempt, 628, 290, &[]);
                    let answer = http::fetch(front, &request, Duration::from_secs(14));
                    record.add(&format!(
                        "attempt {attempt}: status {}, {} bytes, {:?}",
                        answer.status,
                        answer.body.len(),
                        answer.text().chars().take(20).collect::<String>()
                    ));
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        if setup.has_trouble {
            let worker = &registry[0];
            let entry = Json::object([
                ("Service", Json::text("appraiser-model")),
                ("Address", Json::text(worker.address.to_string())),
                ("State", Json::text("ready")),
            ]);
            setup.record.add(&format!(
                "another writer writes servers/{}: {entry}",
                worker.id
            ));
            store.put("servers", &worker.id, Some(&entry));
            thread::sleep(HEARTBEAT);
            worker.register(&store);
            setup
                .record
                .add(&format!("{} writes its registration again", worker.id));
        }
        thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::SeqCst);
    });
    let strayed = strayed.lock().unwrap();
    for request in strayed.iter() {
        setup.record.add(&format!(
            "request for appraiser-model run by the registry: {request}"
        ));
    }
    setup.record.tell(&format!(
        "{} requests for appraiser-model were run by a worker of the registry",
        strayed.len()
    ));
    Ok(if strayed.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
