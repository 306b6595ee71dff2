//! Guards against lost, repeated and delayed requests when endpoints refuse connections, crash or
//! stop responding.

#![expect(clippy::unwrap_used, reason = "helpers panic to fail the test")]

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

/// Text in a request body that makes a fault proxy crash.
const FATAL_PROMPT: &[u8] = b"fatal prompt";

/// Proxy in front of an engine that injects faults.
struct FaultProxy {
    address: SocketAddr,
    crashed: watch::Receiver<bool>,
}

impl FaultProxy {
    /// Starts a proxy that crashes when a request contains the fatal prompt, and that forwards no
    /// request on the first `silent` connections.
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
            if seen
                .windows(FATAL_PROMPT.len())
                .any(|window| window == FATAL_PROMPT)
            {
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

/// Fleet with a route for short work, `fault-7b`, and one for long work, `dossier-7b`, that share
/// the endpoints of a test.
struct FaultFleet {
    embedded: EmbeddedFleet,
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
        let embedded = EmbeddedFleet::start(unique_loopback().into())
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
        let table = embedded.platform.ports().table;
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
        let fleet = Self { embedded, client };
        while !fleet.has_route().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        fleet
    }

    async fn has_route(&self) -> bool {
        let url = format!("http://{}/v1/models", self.embedded.routers[0].address);
        let request = Request::get(url)
            .header("authorization", "Bearer sample-key-parish")
            .body(Full::default())
            .unwrap();
        let response = self.client.request(request).await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        String::from_utf8_lossy(&body).contains("fault-7b")
    }

    async fn complete(&self, body: Value) -> (u16, String) {
        self.complete_at(0, body).await
    }

    async fn complete_at(&self, router: usize, body: Value) -> (u16, String) {
        let address = self.embedded.routers[router].address;
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

fn completion(model: &str, text: &str, tokens: u32) -> Value {
    json!({"model": model, "max_tokens": tokens, "messages": [{"role": "user", "content": text}]})
}

fn problem_code(body: &str) -> Value {
    serde_json::from_str::<Value>(body).unwrap_or_default()["code"].take()
}

/// Address on which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a refusal, or a request counted as run, when one endpoint refuses connections.
#[tokio::test]
async fn refused_connection_is_retried_elsewhere() {
    let fleet = FaultFleet::start(&[closed_address().await, start_engine().await], 8).await;
    for index in 0..30 {
        let (status, body) = fleet
            .complete(completion("fault-7b", &format!("question {index}"), 2))
            .await;
        assert_eq!(status, 200, "{body}");
    }
    fleet.embedded.stop().await;
}

/// Guards against a result other than "not run" when the only endpoint refuses connections.
#[tokio::test]
async fn unreachable_endpoints_are_reported_as_not_run() {
    let fleet = FaultFleet::start(&[closed_address().await], 8).await;
    let (status, body) = fleet.complete(completion("fault-7b", "question", 2)).await;
    assert_eq!(
        (status, problem_code(&body)),
        (502, json!("endpoint_unreachable"))
    );
    assert!(body.contains("\"ran\":\"no\""), "{body}");
    fleet.embedded.stop().await;
}

/// Guards against a request that crashes every endpoint of its route, and against the loss of other
/// requests that were open on the crashed endpoints.
#[tokio::test]
async fn crashing_request_runs_twice_and_the_others_complete() {
    let mut proxies = Vec::new();
    for _ in 0..4 {
        proxies.push(FaultProxy::start(start_engine().await, 0).await);
    }
    let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
    let fleet = FaultFleet::start(&addresses, 8).await;
    let fatal = completion("fault-7b", "fatal prompt", 2);
    let others = (0..6).map(|index| {
        let body = completion("fault-7b", &format!("question {index}"), 80);
        fleet.complete(body)
    });
    let delayed = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.complete(fatal.clone()).await
    };
    let (others, (status, body)) = tokio::join!(futures_util::future::join_all(others), delayed);
    assert_eq!(
        (status, problem_code(&body)),
        (422, json!("crashes_endpoints"))
    );
    for (status, body) in others {
        assert_eq!(status, 200, "{body}");
    }
    // The caller repeats the request through every router; they must share their crash counts.
    for router in 0..3 {
        let (status, body) = fleet.complete_at(router, fatal.clone()).await;
        assert_eq!(
            (status, problem_code(&body)),
            (422, json!("crashes_endpoints"))
        );
    }
    let crashed = proxies.iter().filter(|proxy| proxy.has_crashed()).count();
    assert_eq!(crashed, 2, "a third run crashed another endpoint");
    let (status, body) = fleet
        .complete(completion("fault-7b", "a last question", 2))
        .await;
    assert_eq!(status, 200, "{body}");
    fleet.embedded.stop().await;
}

/// Guards against a request that waits for its whole time limit on an unresponsive connection
/// although the only endpoint responds on new connections.
#[tokio::test]
async fn silent_connection_is_replaced_while_the_endpoint_stays_in_use() {
    let proxy = FaultProxy::start(start_engine().await, 1).await;
    let fleet = FaultFleet::start(&[proxy.address], 8).await;
    fleet.embedded.routers[0]
        .state
        .set_head_timeout(Duration::from_millis(200));
    let mut body = completion("fault-7b", "question", 2);
    body["stream"] = json!(true);
    let (status, text) = fleet.complete(body).await;
    assert_eq!(status, 200, "{text}");
    assert!(text.contains("[DONE]"), "{text}");
    fleet.embedded.stop().await;
}

/// Guards against short work that waits until earlier long work has ended.
#[tokio::test]
async fn short_work_overtakes_long_work() {
    let fleet = FaultFleet::start(&[start_engine().await], 4).await;
    let ended = AtomicUsize::new(0);
    let long = (0..6).map(|index| {
        let body = completion("dossier-7b", &format!("dossier {index}"), 200);
        let (fleet, ended) = (&fleet, &ended);
        async move {
            let (status, body) = fleet.complete(body).await;
            assert_eq!(status, 200, "{body}");
            ended.fetch_add(1, Ordering::SeqCst);
        }
    });
    let short = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let (status, body) = fleet.complete(completion("fault-7b", "question", 2)).await;
        assert_eq!(status, 200, "{body}");
        ended.load(Ordering::SeqCst)
    };
    let (_, ended_before) = tokio::join!(futures_util::future::join_all(long), short);
    assert_eq!(ended_before, 0, "long requests ended before the short one");
    fleet.embedded.stop().await;
}
