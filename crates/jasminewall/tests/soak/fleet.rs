//! Router processes, the faults injected into them, and the checks of their guarantees.

use std::{
    collections::{HashMap, HashSet},
    fs::File,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use {
    axum::body::Bytes,
    hyper::StatusCode,
    jasminewall_ports::{MemoryRows, RowFault, RowKey},
    nix::{
        sys::signal::{self, Signal},
        unistd::Pid,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    tokio::{net::TcpListener, task::JoinSet},
};

use crate::{
    caller::{PROMPT_TOKENS, RequestKind, RequestObservation, SoakCaller, TOKENS_PER_EVENT},
    proxy::{FaultyLink, LinkFault},
    standin::{self, Behavior, FakeEndpoint},
};

/// Names of the endpoints; the first `ENGINE_COUNT` are engines.
const ENDPOINTS: [&str; 5] = ["engine-1", "engine-2", "engine-3", "app-1", "app-2"];
const ENGINE_COUNT: usize = 3;
/// Number of callers of each customer.
const CALLERS_PER_CUSTOMER: usize = 4;
/// Prepaid tokens of the customer `scarce`, which runs out of tokens.
const SCARCE_PREPAID: u64 = 8_000;
/// Prepaid tokens of the customer `plenty`, which does not run out of tokens.
const PLENTY_PREPAID: u64 = 1_000_000_000;
/// Number of tasks that inject faults at the same time.
const FAULT_TASKS: usize = 3;
/// Time without faults before the success rate is measured.
const RECOVERY_TIME: Duration = Duration::from_secs(7);
/// Time over which the success rate is measured.
const MEASURED_TIME: Duration = Duration::from_secs(2);
/// Time limit for a router to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Router process, with its settings file and its log file.
struct RouterProcess {
    child: Child,
    setting: PathBuf,
    log: PathBuf,
}

impl RouterProcess {
    fn spawn(setting: PathBuf, log: PathBuf) -> Self {
        let file = File::options().create(true).append(true).open(&log);
        let file = file.expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_jasminewall"))
            .args(["serve", "--settings"])
            .arg(&setting)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("a log file"))
            .stderr(file)
            .spawn()
            .expect("the router starts");
        Self {
            child,
            setting,
            log,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        // The process may have exited already.
        let _ = signal::kill(Pid::from_raw(pid), signal);
    }

    /// Waits for the process to exit, and kills it after a time limit.
    async fn stop(&mut self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline && matches!(self.child.try_wait(), Ok(None)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait();
    }

    fn restart(&mut self) {
        *self = Self::spawn(self.setting.clone(), self.log.clone());
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
        let _ = self.child.wait();
    }
}

/// Parts of the fleet that faults are injected into.
struct FaultTargets {
    rows: MemoryRows,
    store_links: Vec<FaultyLink>,
    endpoint_links: Vec<FaultyLink>,
    endpoints: Vec<FakeEndpoint>,
    routers: Vec<tokio::sync::Mutex<RouterProcess>>,
    /// Version of the configuration and prepaid tokens of the customer `scarce`.
    prepaid: Mutex<(u64, u64)>,
}

/// Fleet of one soak run.
pub(crate) struct SoakFleet {
    seed: u64,
    folder: PathBuf,
    targets: Arc<FaultTargets>,
    router_addresses: Vec<SocketAddr>,
    observations: Arc<Mutex<Vec<RequestObservation>>>,
    measured_from: Instant,
}

fn put(rows: &MemoryRows, table: &str, key: &str, value: &Value) {
    rows.put(
        RowKey::new(table, "", key),
        Some(Bytes::from(value.to_string())),
    );
}

/// Stores a configuration with the given version.
fn put_config(rows: &MemoryRows, version: u64, scarce: u64) {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "Name": name, "Host": "shop.example", "Prefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 2000, "TargetLatencyMs": 300, "Priority": 1, "Service": service,
            "MaxAttempts": attempts, "StreamResume": attempts > 1, "TargetGapMs": 500,
        })
    };
    let config = json!({
        "Version": version,
        "Routes": [
            route("read", "safe", "app", 3), route("order", "non_idempotent", "app", 1),
            route("draft", "streaming", "llm", 1), route("query", "streaming", "llm", 3),
        ],
        "Services": [{"Name": "app"}, {"Name": "llm", "Engine": {"Slots": 8, "Stride": TOKENS_PER_EVENT}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 2000, "IdleTimeoutMs": 5000},
        "Tenants": [
            {"Name": "scarce", "ApiKeys": ["key-scarce"], "Prepaid": scarce},
            {"Name": "plenty", "ApiKeys": ["key-plenty"], "Prepaid": PLENTY_PREPAID},
        ],
    });
    put(rows, "op", "config", &config);
}

async fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

impl SoakFleet {
    /// Starts the stand-ins, the proxies and the routers.
    pub(crate) async fn start(seed: u64, count: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // The folder of an earlier run may be absent.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder for the logs");
        let rows = MemoryRows::new();
        put_config(&rows, 1, SCARCE_PREPAID);
        let (mut endpoints, mut endpoint_links) = (Vec::new(), Vec::new());
        for (index, name) in ENDPOINTS.into_iter().enumerate() {
            let (endpoint, address) = FakeEndpoint::start(name, Behavior::Healthy).await;
            let link = FaultyLink::start(address).await;
            let service = if index < ENGINE_COUNT { "llm" } else { "app" };
            let record = json!({"Service": service, "Address": link.address, "Zone": "a",
                "Slots": 8, "State": "ready", "Sequence": 1, "born": 1});
            put(&rows, "servers", name, &record);
            endpoints.push(endpoint);
            endpoint_links.push(link);
        }
        let store = standin::start_store(rows.clone()).await;
        let (mut store_links, mut router_addresses, mut routers) =
            (Vec::new(), Vec::new(), Vec::new());
        for index in 0..count {
            let link = FaultyLink::start(store).await;
            let router_address = free_port().await;
            let text = format!(
                "[router]\nvm = vm-{index}\nfailure_domain = {}\nlisten = {router_address}\nreadiness = {}\n\
                 peer_listen = {}\n[store]\naddress = {}\n[bounds]\ngrace_s = 6\nretry_slack = 50\n\
                 [log]\nformat = json\nlevel = info,tarpc=error\n",
                ["a", "b", "c"][index % 3],
                free_port().await,
                free_port().await,
                link.address,
            );
            let setting = folder.join(format!("vm-{index}.ini"));
            std::fs::write(&setting, text).expect("a settings file");
            let log = folder.join(format!("vm-{index}.log"));
            let process = RouterProcess::spawn(setting, log);
            routers.push(tokio::sync::Mutex::new(process));
            store_links.push(link);
            router_addresses.push(router_address);
        }
        let targets = FaultTargets {
            rows,
            store_links,
            endpoint_links,
            endpoints,
            routers,
            prepaid: Mutex::new((1, SCARCE_PREPAID)),
        };
        Self {
            seed,
            folder,
            targets: Arc::new(targets),
            router_addresses,
            observations: Arc::default(),
            measured_from: Instant::now(),
        }
    }

    /// Runs the callers while faults are injected, during recovery and while the success rate is measured.
    pub(crate) async fn run(&mut self, time: Duration) {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for index in 0..2 * CALLERS_PER_CUSTOMER {
            let caller = SoakCaller {
                index,
                customer: ["plenty", "scarce"][index % 2],
                routers: self.router_addresses.clone(),
                observations: self.observations.clone(),
                stopped: stopped.clone(),
            };
            callers.spawn(caller.run(self.seed * 1_000 + index as u64));
        }
        let deadline = Instant::now() + time;
        let mut fault_tasks = JoinSet::new();
        for number in 0..FAULT_TASKS as u64 {
            let rng = ChaCha8Rng::seed_from_u64(self.seed * 1_000 + 500 + number);
            fault_tasks.spawn(inject_faults(self.targets.clone(), rng, deadline));
        }
        while let Some(ended) = fault_tasks.join_next().await {
            ended.expect("no fault panics");
        }
        self.targets.rows.set_fault(RowFault::None);
        tokio::time::sleep(RECOVERY_TIME).await;
        self.measured_from = Instant::now();
        tokio::time::sleep(MEASURED_TIME).await;
        stopped.store(true, Ordering::Relaxed);
        while let Some(ended) = callers.join_next().await {
            ended.expect("no caller panics");
        }
    }

    fn observations(&self) -> Vec<RequestObservation> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns for each request id how often the request ran on all endpoints, and the customer that
    /// the request was billed to.
    fn runs(&self) -> HashMap<String, (u32, String)> {
        let mut runs = HashMap::new();
        for endpoint in &self.targets.endpoints {
            let ran = endpoint.ran.lock().unwrap_or_else(PoisonError::into_inner);
            for (headers, _) in ran.iter() {
                let header_text = |name: &str| {
                    let value = headers.get(name).and_then(|value| value.to_str().ok());
                    value.unwrap_or_default().to_owned()
                };
                let run = runs
                    .entry(header_text("attempt-id"))
                    .or_insert((0, String::new()));
                run.0 += 1;
                run.1 = header_text("tenant");
            }
        }
        runs
    }

    /// Returns the violated guarantees.
    pub(crate) fn check(&self) -> Vec<String> {
        let (observations, runs) = (self.observations(), self.runs());
        let mut violations = Vec::new();
        let mut spent: HashMap<&str, u64> = HashMap::new();
        let sent_ids: HashSet<&str> = observations
            .iter()
            .map(|observation| observation.id.as_str())
            .collect();
        violations.extend(
            runs.keys()
                .filter(|id| !sent_ids.contains(id.as_str()))
                .map(|id| format!("{id}: ran, but no caller sent it")),
        );
        for observation in &observations {
            let (count, customer) = runs.get(&observation.id).cloned().unwrap_or_default();
            let mut report =
                |what: &str| violations.push(format!("{what}: {observation:?}, {count} runs"));
            if count > 0 && customer != observation.customer {
                report("billed to another customer");
            }
            if count > 1 && !observation.kind.may_retry() {
                report("ran more than once");
            }
            let refused = matches!(
                observation.status,
                Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
            );
            if refused && count > 0 && !observation.kind.may_retry() {
                report("refused, but it ran");
            }
            if let Some(status) = observation.status
                && status.is_client_error()
                && (status != StatusCode::PAYMENT_REQUIRED || observation.customer == "plenty")
            {
                report("rejected without a reason");
            }
            if observation.status == Some(StatusCode::OK) {
                if observation.response_id.as_ref() != Some(&observation.id) {
                    report("response of another request");
                }
                let events = observation.events();
                if observation.kind.is_stream() {
                    if !events.iter().copied().eq(1..=events.len() as u64) {
                        report("events missing, duplicated or out of order");
                    }
                    if observation.is_complete && !observation.has_all_events() {
                        report("an incomplete stream looks complete");
                    }
                } else if observation.is_complete && !observation.body.starts_with("answer of app-")
                {
                    report("not the endpoint's response");
                }
            }
            if observation.kind.is_stream() && count > 0 {
                let tokens = PROMPT_TOKENS + observation.events().len() as u64 * TOKENS_PER_EVENT;
                *spent.entry(observation.customer).or_default() += tokens;
            }
        }
        let prepaid = self.targets.prepaid().1;
        let scarce = spent.get("scarce").copied().unwrap_or_default();
        if scarce > prepaid {
            violations.push(format!("{scarce} of {prepaid} prepaid tokens spent"));
        }
        let sent_after = observations.iter().filter(|observation| {
            observation.customer == "plenty" && observation.sent_at > self.measured_from
        });
        let served = sent_after.clone().filter(|observation| {
            observation.is_complete && observation.status == Some(StatusCode::OK)
        });
        let (sent_after, served) = (sent_after.count(), served.count());
        if served * 4 < sent_after || sent_after == 0 {
            violations.push(format!("{served} of {sent_after} served after the faults"));
        }
        violations
    }

    /// Returns the request counts of the run.
    pub(crate) fn summary(&self) -> String {
        let observations = self.observations();
        let complete_count = |kind: RequestKind| {
            let complete = observations
                .iter()
                .filter(|observation| observation.kind == kind);
            complete
                .filter(|observation| observation.is_complete)
                .count()
        };
        let statuses = observations
            .iter()
            .map(|observation| observation.status.map_or(0, |status| status.as_u16()));
        let mut counts = std::collections::BTreeMap::new();
        for status in statuses {
            *counts.entry(status).or_insert(0) += 1;
        }
        let [orders, queries] = [RequestKind::Order, RequestKind::Query].map(complete_count);
        format!(
            "{} requests, {orders} orders and {queries} queries complete, by status {counts:?}",
            observations.len()
        )
    }

    /// Returns the folder with the settings and the logs.
    pub(crate) fn folder(&self) -> String {
        self.folder.display().to_string()
    }
}

impl FaultTargets {
    fn prepaid(&self) -> (u64, u64) {
        *self.prepaid.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Raises the prepaid tokens of the customer `scarce` with a new configuration.
    fn raise_prepaid(&self) {
        let mut prepaid = self.prepaid.lock().unwrap_or_else(PoisonError::into_inner);
        *prepaid = (prepaid.0 + 1, prepaid.1 + SCARCE_PREPAID / 4);
        put_config(&self.rows, prepaid.0, prepaid.1);
    }
}

/// Injects random faults one after the other until the deadline.
async fn inject_faults(targets: Arc<FaultTargets>, mut rng: ChaCha8Rng, deadline: Instant) {
    while Instant::now() < deadline {
        let pause = rng.random_range(50..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let length = Duration::from_millis(rng.random_range(100..3_500));
        let index = rng.random_range(0..1_000);
        let router = &targets.routers[index % targets.routers.len()];
        match rng.random_range(0..10) {
            0 => {
                let fault = [RowFault::Unavailable, RowFault::LostResponses][index % 2];
                targets.rows.set_fault(fault);
                tokio::time::sleep(length).await;
                targets.rows.set_fault(RowFault::None);
            }
            1..=2 => {
                let link = &targets.store_links[index % targets.store_links.len()];
                fault_link(link, &mut rng, length).await;
            }
            3..=4 => {
                let link = &targets.endpoint_links[index % targets.endpoint_links.len()];
                fault_link(link, &mut rng, length).await;
            }
            5 => {
                let behaviors = [
                    Behavior::Rejects,
                    Behavior::Fails,
                    Behavior::ClosesEarly,
                    Behavior::Unsigned,
                    Behavior::WrongId,
                    Behavior::Interrupted,
                ];
                let endpoint = &targets.endpoints[index % targets.endpoints.len()];
                endpoint.set_behavior(behaviors[rng.random_range(0..behaviors.len())]);
                tokio::time::sleep(length).await;
                endpoint.set_behavior(Behavior::Healthy);
            }
            6 => {
                let router = router.lock().await;
                router.signal(Signal::SIGSTOP);
                tokio::time::sleep(length).await;
                router.signal(Signal::SIGCONT);
            }
            7 => {
                let mut router = router.lock().await;
                router.stop(Duration::ZERO).await;
                tokio::time::sleep(length / 2).await;
                router.restart();
            }
            8 => {
                let mut router = router.lock().await;
                router.signal(Signal::SIGTERM);
                router.stop(STOP_TIMEOUT).await;
                router.restart();
            }
            _ if rng.random_bool(0.2) => {
                for router in &targets.routers {
                    let mut router = router.lock().await;
                    router.stop(Duration::ZERO).await;
                    router.restart();
                }
            }
            _ => targets.raise_prepaid(),
        }
    }
}

/// Injects a random fault into a link for some time.
async fn fault_link(link: &FaultyLink, rng: &mut ChaCha8Rng, length: Duration) {
    let fault = match rng.random_range(0..4) {
        0 => LinkFault::Delayed(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkFault::ResponsesDropped,
        2 => LinkFault::Blackhole,
        _ => {
            link.reset();
            return;
        }
    };
    link.set_fault(fault);
    tokio::time::sleep(length).await;
    link.set_fault(LinkFault::None);
}
