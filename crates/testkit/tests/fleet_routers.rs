//! Guards against faults of whole fleets in one process: of configuration, restarts, planned stops,
//! leaving endpoints, graceful stops and engine orders.
#![allow(clippy::unwrap_used, reason = "helpers panic to fail the test")]

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jasminewall_core::{
        ConfigDelta, HolderId,
        budget::{PoolRow, pool_key},
        member::{MemberState, RegistrationRow, registration_key},
        order::{EngineOrder, ModelVersion, OrderRow, order_key},
        record,
        revision::{ConfigChange, HEAD_KEY, HeadRow, SNAPSHOT_PREFIX, log_key},
        shard_of,
    },
    jasminewall_ports::{FaultPlan, MemoryPlatform, RowWrite, TransactOutcome, VmState},
    jasminewall_router::{RouterHandle, RouterSetting, StopPlan},
    jasminewall_standin::{ModelEngine, OrderServer},
    jasminewall_testkit::loopback::unique_loopback,
    jasminewall_wire::PeerServiceClient,
    serde_json::{Value, json},
    tokio::{net::TcpListener, task::JoinSet},
};

const SECRET: &str = "fleet-test-secret";
const KEY: &str = "sample-key-parish";
const KEY_SHA256: &str = "b217bdf7b013b544e53b5047c5cbe4bda70e4d58d090da88b04561230ae93f39";
/// Time limit for a change to be in force on all routers, at the current fleet size; see design.md
/// section 2.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time limit after which a leaving endpoint gets no new work; see design.md section 2.
const NO_NEW_WORK_LIMIT: Duration = Duration::from_secs(3);

struct TestFleet {
    platform: MemoryPlatform,
    settings: Vec<RouterSetting>,
    routers: Vec<Option<RouterHandle>>,
    engines: Vec<(String, SocketAddr)>,
    client: Client<HttpConnector, Full<Bytes>>,
    tasks: JoinSet<std::io::Result<()>>,
}

impl TestFleet {
    /// Starts routers and two model engines, with a customer and a budget declared.
    async fn start(count: usize) -> Self {
        let mut fleet = Self {
            platform: MemoryPlatform::new(),
            settings: settings(count),
            routers: Vec::new(),
            engines: Vec::new(),
            client: Client::builder(TokioExecutor::new()).build_http(),
            tasks: JoinSet::new(),
        };
        for name in ["engine-1", "engine-2"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            fleet
                .engines
                .push((name.into(), listener.local_addr().unwrap()));
            let engine = ModelEngine::new(name, &["glass-7b"]);
            fleet.tasks.spawn(engine.serve(listener));
        }
        let budget = "parish-2026";
        let mut pool = PoolRow::default();
        let entry = pool.budgets.entry("parish-2026".into()).or_default();
        entry.top_up(&"first".into(), 10_000_000);
        let key = pool_key(shard_of(budget, 4));
        let row = RowWrite::create(key, serde_json::to_string(&pool).unwrap());
        fleet
            .platform
            .ports()
            .table
            .transact(vec![row])
            .await
            .unwrap();
        let mut text = format!(
            "[[customer]]\nname = \"parish\"\nkey_sha256 = [\"{KEY_SHA256}\"]\n\
             [[budget]]\nname = \"parish-2026\"\ncustomer = \"parish\"\n\
             [[route]]\nname = \"glass-7b\"\nendpoints = [\"engine-1\", \"engine-2\"]\n"
        );
        for (name, address) in &fleet.engines {
            text.push_str(&engine_toml(name, *address, "domain-a", false));
        }
        fleet.publish(&text).await;
        for index in 0..count {
            fleet
                .platform
                .set_vm(&fleet.settings[index].vm, Some(VmState::Live));
            fleet.routers.push(None);
            fleet.restart(index).await;
        }
        fleet
            .wait("ready", IN_FORCE_LIMIT, |router| router.state.is_ready())
            .await;
        fleet
    }

    async fn restart(&mut self, index: usize) {
        let setting = self.settings[index].clone();
        let router = RouterHandle::start(setting, self.platform.ports());
        self.routers[index] = Some(router.await.unwrap());
    }

    fn router(&self, index: usize) -> &RouterHandle {
        self.routers[index].as_ref().unwrap()
    }

    /// Publishes a configuration change and returns its revision.
    async fn publish(&self, text: &str) -> u64 {
        let table = self.platform.ports().table;
        let head = table.read(HEAD_KEY).await.unwrap();
        let (version, revision) = head.map_or((0, 0), |row| {
            let head: HeadRow = serde_json::from_str(&row.value).unwrap();
            (row.version, head.revision)
        });
        let revision = revision + 1;
        let records = record::from_str(&format!("schema = 2\n{text}")).unwrap();
        let delta = ConfigDelta {
            revision,
            schema: 2,
            changes: records.into_iter().map(ConfigChange::Put).collect(),
        };
        let head = serde_json::to_string(&HeadRow { revision }).unwrap();
        let writes = vec![
            RowWrite::replace(HEAD_KEY, version, head),
            RowWrite::create(log_key(revision), serde_json::to_string(&delta).unwrap()),
        ];
        assert_eq!(
            table.transact(writes).await.unwrap(),
            TransactOutcome::Committed
        );
        revision
    }

    /// Waits until a condition holds for every running router; fails after `limit`.
    async fn wait(
        &self,
        description: &str,
        limit: Duration,
        condition: impl Fn(&RouterHandle) -> bool,
    ) {
        let started = Instant::now();
        while !self.routers.iter().flatten().all(&condition) {
            assert!(
                started.elapsed() < limit,
                "not {description} within {limit:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn send_completion(
        &self,
        router: usize,
        tokens: u64,
        stream: bool,
    ) -> impl Future<Output = Result<(u16, String), String>> + Send + 'static {
        let body = json!({"model": "glass-7b", "max_tokens": tokens, "stream": stream,
            "messages": [{"role": "user", "content": "crack"}]});
        let address = self.router(router).address;
        let request = Request::post(format!("http://{address}/v1/chat/completions"))
            .header("authorization", format!("Bearer {KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        let response = self.client.request(request);
        async move {
            let response = response.await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            Ok((status, String::from_utf8_lossy(&body).into_owned()))
        }
    }

    async fn stop(mut self) {
        for router in self.routers.into_iter().flatten() {
            router.stop().await;
        }
        self.tasks.shutdown().await;
    }
}

fn settings(count: usize) -> Vec<RouterSetting> {
    let ip = unique_loopback();
    let listeners: Vec<_> = (0..count)
        .map(|_| std::net::TcpListener::bind((ip, 0)).unwrap())
        .collect();
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let setting = |index: usize| {
        let own_address = addresses[index];
        let others = addresses.iter().filter(|address| **address != own_address);
        let peers: Vec<String> = others.map(ToString::to_string).collect();
        let domain = ["domain-a", "domain-b", "domain-c"][index % 3];
        format!(
            "[router]\nvm = vm-{index}\nfailure_domain = {domain}\nlisten = {ip}:0\n\
             peer_listen = {}\n[fleet]\npeers = {}\nsecret = {SECRET}\nshards = 4\n\
             [platform]\naddress = 127.0.0.1:1\n",
            own_address,
            peers.join(",")
        )
    };
    (0..count)
        .map(|index| setting(index).parse().unwrap())
        .collect()
}

fn engine_toml(name: &str, address: SocketAddr, domain: &str, honours_fencing: bool) -> String {
    format!(
        "[[endpoint]]\nname = \"{name}\"\nruns = \"model_engine\"\naddress = \"{address}\"\n\
         failure_domain = \"{domain}\"\nhonours_fencing = {honours_fencing}\n"
    )
}

/// Connects to a router's peer service with a secret.
async fn peer_client(address: SocketAddr, secret: &str) -> PeerServiceClient {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let holder = HolderId::new("vm-test", 1);
    let (_, transport) = jasminewall_wire::connect(stream, secret, &holder)
        .await
        .unwrap();
    PeerServiceClient::new(tarpc::client::Config::default(), transport).spawn()
}

/// Guards against a configuration change that some router does not apply in time.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_in_force_on_nine_routers_within_five_seconds() {
    let fleet = TestFleet::start(9).await;
    for _ in 0..3 {
        let text = "[[budget]]\nname = \"more\"\ncustomer = \"parish\"\n";
        let revision = fleet.publish(text).await;
        let in_force = |router: &RouterHandle| router.state.version().revision == revision;
        fleet.wait("in force", IN_FORCE_LIMIT, in_force).await;
    }
    fleet.stop().await;
}

/// Guards against a router that restarts in a table outage and serves an outdated configuration, or
/// serves without one.
#[tokio::test(flavor = "multi_thread")]
async fn restart_in_a_table_outage_takes_the_highest_revision_of_a_peer() {
    let mut fleet = TestFleet::start(3).await;
    let text = "[[budget]]\nname = \"more\"\ncustomer = \"parish\"\n";
    let revision = fleet.publish(text).await;
    let in_force = |router: &RouterHandle| router.state.version().revision == revision;
    fleet.wait("in force", IN_FORCE_LIMIT, in_force).await;
    fleet.platform.set_faults(FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    });
    fleet.routers[0].take().unwrap().abort().await;
    fleet.restart(0).await;
    let ready = |router: &RouterHandle| router.state.is_ready() && in_force(router);
    fleet.wait("ready again", IN_FORCE_LIMIT, ready).await;
    assert!(!fleet.router(0).state.version().registered);

    // A router that cannot get a configuration from anywhere must not accept requests.
    for router in &mut fleet.routers {
        router.take().unwrap().abort().await;
    }
    fleet.restart(1).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!fleet.router(1).state.is_ready());
    fleet.platform.set_faults(FaultPlan::default());
    fleet
        .wait("ready with the table", IN_FORCE_LIMIT * 2, ready)
        .await;
    fleet.stop().await;
}

/// Guards against a start that needs the complete log although the object store or a peer has a
/// snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn restart_takes_a_snapshot_from_the_store_and_from_a_peer() {
    let mut fleet = TestFleet::start(3).await;
    for _ in 0..1_001 {
        let text = "[[budget]]\nname = \"more\"\ncustomer = \"parish\"\n";
        fleet.publish(text).await;
    }
    let ready =
        |router: &RouterHandle| router.state.is_ready() && router.state.version().revision == 1_002;
    fleet.wait("in force", IN_FORCE_LIMIT, ready).await;
    let started = Instant::now();
    let ports = fleet.platform.ports();
    while ports.object.list(SNAPSHOT_PREFIX).await.unwrap().is_empty() {
        assert!(started.elapsed() < IN_FORCE_LIMIT, "no snapshot is written");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // With an early row of the log deleted, only a snapshot leads to the head revision.
    let row = ports.table.read(&log_key(500)).await.unwrap().unwrap();
    let deletion = vec![RowWrite::delete(row.key, row.version)];
    ports.table.transact(deletion).await.unwrap();
    for router in &mut fleet.routers {
        router.take().unwrap().abort().await;
    }
    fleet.restart(0).await;
    fleet
        .wait("restored from the store", IN_FORCE_LIMIT, ready)
        .await;
    fleet.platform.set_faults(FaultPlan {
        table_down: true,
        object_down: true,
        ..FaultPlan::default()
    });
    fleet.restart(1).await;
    fleet
        .wait("restored from a peer", IN_FORCE_LIMIT, ready)
        .await;
    fleet.platform.set_faults(FaultPlan::default());
    fleet.stop().await;
}

/// Guards against new work for an endpoint in its planned stop, and against requests that the stop
/// interrupts.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_interrupts_no_request_and_blocks_new_work() {
    let fleet = TestFleet::start(3).await;
    let mut running = JoinSet::new();
    for index in 0..30 {
        running.spawn(fleet.send_completion(index % 3, 400, index % 2 == 0));
    }
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs();
    let stop = format!(
        "[[stop]]\nname = \"s\"\nendpoint = \"engine-1\"\nfrom = {now}\nuntil = {}\n",
        now + 3_600
    );
    let revision = fleet.publish(&stop).await;
    let in_force = |router: &RouterHandle| router.state.version().revision == revision;
    fleet.wait("in force", IN_FORCE_LIMIT, in_force).await;
    check_no_new_work(&fleet).await;
    let mut engines = BTreeSet::new();
    while let Some(response) = running.join_next().await {
        let (status, text) = response.unwrap().unwrap();
        assert_eq!(status, 200, "{text}");
        assert!(text.contains(":399"), "a response was cut off: {text}");
        engines.insert(text.contains("engine-1:"));
    }
    assert_eq!(engines.len(), 2, "work ran on both engines before the stop");
    fleet.stop().await;
}

/// Sends requests through every router; none may reach engine-1.
async fn check_no_new_work(fleet: &TestFleet) {
    for index in 0..60 {
        let (status, text) = fleet
            .send_completion(index % fleet.routers.len(), 1, false)
            .await
            .unwrap();
        assert_eq!(status, 200, "{text}");
        assert!(!text.contains("engine-1:"), "new work was sent to engine-1");
    }
}

/// Guards against routers that are not informed of a leaving endpoint, and against forged messages.
#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_three_seconds_after_a_peer_reports_an_endpoint_as_leaving() {
    let fleet = TestFleet::start(9).await;
    let address = fleet.settings[4].peer_listen;
    let forged = peer_client(address, "another secret").await;
    let context = tarpc::context::current();
    assert!(forged.leaving(context, "engine-2".into(), 0).await.is_err());
    let peer = peer_client(address, SECRET).await;
    peer.leaving(context, "engine-1".into(), 0).await.unwrap();
    tokio::time::sleep(NO_NEW_WORK_LIMIT).await;
    check_no_new_work(&fleet).await;
    fleet.stop().await;
}

/// Guards against new work for an endpoint that the VM list shows as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_to_an_endpoint_that_is_listed_as_leaving() {
    let fleet = TestFleet::start(3).await;
    fleet.platform.set_vm("engine-1", Some(VmState::Leaving));
    // The list is read every 5 s with 20% jitter; the time limit starts when it is read.
    tokio::time::sleep(Duration::from_secs(6) + NO_NEW_WORK_LIMIT).await;
    check_no_new_work(&fleet).await;
    fleet.stop().await;
}

/// Sends requests to a stopping router until it refuses one; its port must stay open until then.
///
/// The requests need no endpoint, because a request that waits for a slot could take longer than
/// the period in which the router refuses requests.
async fn first_refusal(fleet: &TestFleet, address: SocketAddr) -> Response<Incoming> {
    loop {
        let request = Request::get(format!("http://{address}/v1/models"))
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::default())
            .unwrap();
        let response = fleet.client.request(request).await.unwrap();
        if response.status() == 503 {
            return response;
        }
        assert_eq!(response.status(), 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a graceful stop that cuts off streams, loses requests or leaves the registration
/// of the router behind.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_interrupts_no_stream_and_removes_the_registration() {
    let mut fleet = TestFleet::start(3).await;
    let mut streams = JoinSet::new();
    for _ in 0..10 {
        streams.spawn(fleet.send_completion(0, 1_200, true));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let during_grace = fleet.send_completion(0, 1, false);
    let router = fleet.routers[0].take().unwrap();
    let state = router.state.clone();
    let plan = StopPlan {
        grace: Duration::from_secs(1),
        refuse: Duration::from_secs(3),
        drain: Duration::from_secs(30),
    };
    let address = router.address;
    let stopping = tokio::spawn(router.stop_with(plan));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!state.is_ready(), "readiness is withdrawn first");
    assert_eq!(
        during_grace.await.unwrap().0,
        200,
        "served in the grace period"
    );
    let vm = state.holder.vm.clone();
    let leaving = |router: &RouterHandle| {
        let members = router.state.version().members;
        let member = members.iter().find(|member| member.holder.vm == vm);
        member.is_some_and(|member| member.state == MemberState::Leaving)
    };
    let ((), refused) = tokio::join!(
        fleet.wait("informed of the leaving router", NO_NEW_WORK_LIMIT, leaving),
        first_refusal(&fleet, address),
    );
    let body = refused.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(serde_json::from_slice::<Value>(&body).unwrap()["ran"], "no");
    while let Some(response) = streams.join_next().await {
        let (status, text) = response.unwrap().unwrap();
        assert_eq!(status, 200);
        assert!(text.contains("[DONE]"), "a stream was cut off: {text}");
    }
    stopping.await.unwrap();
    let table = fleet.platform.ports().table;
    let row = table
        .read(&registration_key(&state.holder.vm))
        .await
        .unwrap();
    let row = row.map(|row| serde_json::from_str::<RegistrationRow>(&row.value).unwrap());
    let has_ended = row.is_none_or(|row| row.stopped);
    assert!(has_ended, "the registration still shows a running router");
    fleet.stop().await;
}

/// Guards against engines that do not run the model of the latest order, with and without fencing.
#[tokio::test(flavor = "multi_thread")]
async fn engines_run_what_is_declared_and_stale_orders_are_replaced() {
    let mut fleet = TestFleet::start(3).await;
    let servers = [("ordered-1", true), ("ordered-2", false)].map(|(name, honours_fencing)| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        (
            name,
            OrderServer::new(honours_fencing),
            listener,
            honours_fencing,
        )
    });
    let mut text = String::from("[[model]]\nname = \"came-3b\"\nversion = \"2\"\nreplicas = 2\n");
    text.push_str("[[route]]\nname = \"came-3b\"\nendpoints = [\"ordered-1\", \"ordered-2\"]\n");
    let mut engines = Vec::new();
    for (name, server, listener, honours_fencing) in servers {
        let address = listener.local_addr().unwrap();
        text.push_str(&engine_toml(name, address, "domain-a", honours_fencing));
        let listener = TcpListener::from_std(listener).unwrap();
        fleet.tasks.spawn(server.clone().serve(listener));
        engines.push((name, server, address, honours_fencing));
    }
    fleet.publish(&text).await;
    wait_for_models(&engines).await;
    let stale = EngineOrder {
        number: 0,
        target: ModelVersion {
            model: "came-3b".into(),
            version: "1".into(),
        },
        valid_until_ms: 0,
    };
    for (name, server, address, honours_fencing) in &engines {
        let request = Request::post(format!("http://{address}/jasminewall/order"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(serde_json::to_vec(&stale).unwrap())))
            .unwrap();
        let status = fleet.client.request(request).await.unwrap().status();
        assert_eq!(status, if *honours_fencing { 409 } else { 200 }, "{name}");
        let running = server.report().running.unwrap().version;
        assert_eq!(running, if *honours_fencing { "2" } else { "1" }, "{name}");
    }
    wait_for_models(&engines).await;
    for (name, server, _, _) in &engines {
        let table = fleet.platform.ports().table;
        let row = table.read(&order_key(name)).await.unwrap().unwrap();
        let row: OrderRow = serde_json::from_str(&row.value).unwrap();
        assert_eq!(row.target.version, "2");
        let last = server.orders().last().unwrap().number;
        assert_eq!(row.number, last, "the row names the order in effect");
    }
    fleet.stop().await;
}

/// Waits until every engine runs version 2; fails after the time limit for replacing stale orders.
async fn wait_for_models(engines: &[(&str, OrderServer, SocketAddr, bool)]) {
    let started = Instant::now();
    let runs = |server: &OrderServer| {
        server
            .report()
            .running
            .is_some_and(|model| model.version == "2")
    };
    while !engines.iter().all(|(_, server, _, _)| runs(server)) {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "an engine still runs a stale order"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
