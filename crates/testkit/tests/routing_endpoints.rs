//! Guards the router against endpoints that refuse, crash or fall silent, with real connections.

#![expect(
    clippy::unwrap_used,
    reason = "a failed step of the set-up fails the test"
)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jasminewall_core::{
        ConfigDelta, record,
        revision::{ConfigChange, HEAD_KEY, HeadRow, log_key},
    },
    jasminewall_ports::RowWrite,
    jasminewall_router::EmbeddedFleet,
    jasminewall_standin::ModelEngine,
    jasminewall_testkit::loopback::unique_loopback,
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Text in a body that makes a fault proxy crash.
const FATAL: &[u8] = b"fatal prompt";

/// Forwards connections to an engine, with faults.
struct FaultProxy {
    address: SocketAddr,
    crashed: watch::Receiver<bool>,
}

impl FaultProxy {
    /// Crashes when a request contains the fatal text; the first `silent` connections get no answer.
    async fn start(engine: SocketAddr, silent: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (crash, crashed) = watch::channel(false);
        let crash = Arc::new(crash);
        let accepted = AtomicUsize::new(0);
        let mut stop = crashed.clone();
        tokio::spawn(async move {
            loop {
                let client = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    _ = stop.changed() => return,
                };
                let is_silent = accepted.fetch_add(1, Ordering::SeqCst) < silent;
                tokio::spawn(relay(client, engine, crash.clone(), is_silent));
            }
        });
        Self { address, crashed }
    }

    fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }
}

async fn relay(
    client: TcpStream,
    engine: SocketAddr,
    crash: Arc<watch::Sender<bool>>,
    is_silent: bool,
) {
    let mut stop = crash.subscribe();
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_engine, mut to_engine) = TcpStream::connect(engine).await.unwrap().into_split();
    let forward = async {
        let mut seen = Vec::new();
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = from_client.read(&mut buffer).await {
            seen.extend_from_slice(&buffer[..count]);
            if seen.windows(FATAL.len()).any(|window| window == FATAL) {
                crash.send_replace(true);
                return;
            }
            if !is_silent && to_engine.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = forward => {}
        _ = tokio::io::copy(&mut from_engine, &mut to_client) => {}
        _ = stop.changed() => {}
    }
}

/// A fleet whose route `fault-7b` has the endpoints of a test.
struct FaultFleet {
    fleet: EmbeddedFleet,
    client: Client<HttpConnector, Full<Bytes>>,
}

async fn start_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(ModelEngine::new("engine", &["fault-7b", "dossier-7b"]).serve(listener));
    address
}

impl FaultFleet {
    async fn start(endpoints: &[SocketAddr], slots: u32) -> Self {
        let fleet = EmbeddedFleet::start(unique_loopback().into())
            .await
            .unwrap();
        let mut text = String::from("schema = 2\n");
        let names: Vec<String> = (0..endpoints.len())
            .map(|index| format!("fault-{index}"))
            .collect();
        for (name, address) in names.iter().zip(endpoints) {
            text.push_str(&format!(
                "[[endpoint]]\nname = \"{name}\"\nruns = \"model_engine\"\naddress = \"{address}\"\n\
                 failure_domain = \"domain-a\"\nslots = {slots}\n"
            ));
        }
        for (route, class) in [("fault-7b", "short"), ("dossier-7b", "long")] {
            text.push_str(&format!(
                "[[route]]\nname = \"{route}\"\nendpoints = {names:?}\nclass = \"{class}\"\n\
                 time_limit_ms = 120000\n"
            ));
        }
        let table = fleet.platform.ports().table;
        let head = table.read(HEAD_KEY).await.unwrap().unwrap();
        let revision = serde_json::from_str::<HeadRow>(&head.value)
            .unwrap()
            .revision
            + 1;
        let records = record::from_str(&text).unwrap();
        let delta = ConfigDelta {
            revision,
            schema: record::SCHEMA_NEWEST,
            changes: records.into_iter().map(ConfigChange::Put).collect(),
        };
        let writes = vec![
            RowWrite::create(log_key(revision), serde_json::to_string(&delta).unwrap()),
            RowWrite::replace(
                HEAD_KEY,
                head.version,
                serde_json::to_string(&HeadRow { revision }).unwrap(),
            ),
        ];
        table.transact(writes).await.unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        let fleet = Self { fleet, client };
        while !fleet.knows_route().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet
    }

    async fn knows_route(&self) -> bool {
        let url = format!("http://{}/v1/models", self.fleet.routers[0].address);
        let request = Request::get(url)
            .header("authorization", "Bearer sample-key-parish")
            .body(Full::default())
            .unwrap();
        let response = self.client.request(request).await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        String::from_utf8_lossy(&body).contains("fault-7b")
    }

    async fn ask(&self, body: Value) -> (u16, String) {
        self.ask_at(0, body).await
    }

    async fn ask_at(&self, router: usize, body: Value) -> (u16, String) {
        let address = self.fleet.routers[router].address;
        let url = format!("http://{address}/v1/chat/completions");
        let request = Request::post(url)
            .header("authorization", "Bearer sample-key-parish")
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        let response = self.client.request(request).await.unwrap();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, String::from_utf8_lossy(&body).into_owned())
    }
}

fn prompt(model: &str, text: &str, tokens: u32) -> Value {
    json!({"model": model, "max_tokens": tokens, "messages": [{"role": "user", "content": text}]})
}

fn code_of(body: &str) -> Value {
    serde_json::from_str::<Value>(body).unwrap_or_default()["code"].take()
}

async fn refused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a refusal, or a request counted as run, when one endpoint cannot be connected.
#[tokio::test]
async fn refused_connection_is_retried_elsewhere() {
    let fleet = FaultFleet::start(&[refused_address().await, start_engine().await], 8).await;
    for index in 0..30 {
        let (status, body) = fleet
            .ask(prompt("fault-7b", &format!("question {index}"), 2))
            .await;
        assert_eq!(status, 200, "{body}");
    }
    fleet.fleet.stop().await;
}

/// Guards against an outcome other than "not run" when no endpoint could be connected.
#[tokio::test]
async fn unreachable_endpoints_are_reported_as_not_run() {
    let fleet = FaultFleet::start(&[refused_address().await], 8).await;
    let (status, body) = fleet.ask(prompt("fault-7b", "question", 2)).await;
    assert_eq!(
        (status, code_of(&body)),
        (502, json!("endpoint_unreachable"))
    );
    assert!(body.contains("\"ran\":\"no\""), "{body}");
    fleet.fleet.stop().await;
}

/// Guards against a request that crashes every endpoint of its route, and against the loss of the
/// requests that were open beside it.
#[tokio::test]
async fn crashing_request_runs_twice_and_the_others_complete() {
    let mut proxies = Vec::new();
    for _ in 0..4 {
        proxies.push(FaultProxy::start(start_engine().await, 0).await);
    }
    let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
    let fleet = FaultFleet::start(&addresses, 8).await;
    let fatal = prompt("fault-7b", "fatal prompt", 2);
    let others = (0..6).map(|index| {
        let body = prompt("fault-7b", &format!("question {index}"), 80);
        fleet.ask(body)
    });
    let delayed = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.ask(fatal.clone()).await
    };
    let (others, (status, body)) = tokio::join!(futures_util::future::join_all(others), delayed);
    assert_eq!((status, code_of(&body)), (422, json!("crashes_endpoints")));
    for (status, body) in others {
        assert_eq!(status, 200, "{body}");
    }
    // The caller sends it again through every router; their counts must be shared.
    for router in 0..3 {
        let (status, body) = fleet.ask_at(router, fatal.clone()).await;
        assert_eq!((status, code_of(&body)), (422, json!("crashes_endpoints")));
    }
    let crashed = proxies.iter().filter(|proxy| proxy.has_crashed()).count();
    assert_eq!(crashed, 2, "a third run crashed another endpoint");
    let (status, body) = fleet.ask(prompt("fault-7b", "a last question", 2)).await;
    assert_eq!(status, 200, "{body}");
    fleet.fleet.stop().await;
}

/// Guards against a request that waits for its whole time limit on a connection that is silent,
/// while the only endpoint answers on new ones.
#[tokio::test]
async fn silent_connection_is_replaced_while_the_endpoint_stays_in_use() {
    let proxy = FaultProxy::start(start_engine().await, 1).await;
    let fleet = FaultFleet::start(&[proxy.address], 8).await;
    fleet.fleet.routers[0]
        .state
        .set_head_timeout(Duration::from_millis(200));
    let mut body = prompt("fault-7b", "question", 2);
    body["stream"] = json!(true);
    let (status, text) = fleet.ask(body).await;
    assert_eq!(status, 200, "{text}");
    assert!(text.contains("[DONE]"), "{text}");
    fleet.fleet.stop().await;
}

/// Guards against short work that waits until the long work before it has ended.
#[tokio::test]
async fn short_work_passes_long_work() {
    let fleet = FaultFleet::start(&[start_engine().await], 4).await;
    let ended = AtomicUsize::new(0);
    let long = (0..6).map(|index| {
        let body = prompt("dossier-7b", &format!("dossier {index}"), 200);
        let (fleet, ended) = (&fleet, &ended);
        async move {
            let (status, body) = fleet.ask(body).await;
            assert_eq!(status, 200, "{body}");
            ended.fetch_add(1, Ordering::SeqCst);
        }
    });
    let short = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let (status, body) = fleet.ask(prompt("fault-7b", "question", 2)).await;
        assert_eq!(status, 200, "{body}");
        ended.load(Ordering::SeqCst)
    };
    let (_, before) = tokio::join!(futures_util::future::join_all(long), short);
    assert_eq!(before, 0, "long requests ended before the short one");
    fleet.fleet.stop().await;
}
