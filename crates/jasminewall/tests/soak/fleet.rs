//! Routers as processes, the faults that befall them, and the promises that they keep.

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
    caller::{CallerView, INPUT, RequestKind, STRIDE, SoakCaller},
    proxy::{FaultyLink, LinkFault},
    standin::{self, Behavior, FakeEndpoint},
};

/// Endpoints; the first ones are engines.
const ENDPOINTS: [&str; 5] = ["engine-1", "engine-2", "engine-3", "app-1", "app-2"];
const ENGINES: usize = 3;
/// Callers of each customer.
const CALLERS: usize = 4;
/// Total of the customer that runs out of tokens, and of the one that does not.
const SCARCE: u64 = 8_000;
const PLENTY: u64 = 1_000_000_000;
/// Faults that overlap.
const TROUBLES: usize = 3;
/// Time without faults before the fleet is judged, and time in which it is.
const CALM: Duration = Duration::from_secs(7);
const JUDGED: Duration = Duration::from_secs(2);
/// Time in which a stopped router ends by itself.
const GRACE: Duration = Duration::from_secs(8);

/// Router process.
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
        // The process may have ended by itself.
        let _ = signal::kill(Pid::from_raw(pid), signal);
    }

    async fn end(&mut self, limit: Duration) {
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

/// What faults can befall.
struct Targets {
    rows: MemoryRows,
    store_links: Vec<FaultyLink>,
    endpoint_links: Vec<FaultyLink>,
    endpoints: Vec<FakeEndpoint>,
    routers: Vec<tokio::sync::Mutex<RouterProcess>>,
    prepaid: Mutex<(u64, u64)>,
}

/// One seed of the soak.
pub(crate) struct SoakFleet {
    seed: u64,
    folder: PathBuf,
    targets: Arc<Targets>,
    fronts: Vec<SocketAddr>,
    views: Arc<Mutex<Vec<CallerView>>>,
    judged_from: Instant,
}

fn put(rows: &MemoryRows, table: &str, key: &str, value: &Value) {
    rows.put(
        RowKey::new(table, "", key),
        Some(Bytes::from(value.to_string())),
    );
}

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
        "Services": [{"Name": "app"}, {"Name": "llm", "Engine": {"Slots": 8, "Stride": STRIDE}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 2000, "IdleTimeoutMs": 5000},
        "Tenants": [
            {"Name": "scarce", "ApiKeys": ["key-scarce"], "Prepaid": scarce},
            {"Name": "plenty", "ApiKeys": ["key-plenty"], "Prepaid": PLENTY},
        ],
    });
    put(rows, "op", "config", &config);
}

async fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener
        .and_then(|one| one.local_addr())
        .expect("a free port")
}

impl SoakFleet {
    /// Starts the stand-ins, the links and the routers.
    pub(crate) async fn start(seed: u64, count: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // The folder of an earlier run may be absent.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder for the logs");
        let rows = MemoryRows::new();
        put_config(&rows, 1, SCARCE);
        let (mut endpoints, mut endpoint_links) = (Vec::new(), Vec::new());
        for (index, name) in ENDPOINTS.into_iter().enumerate() {
            let (endpoint, address) = FakeEndpoint::start(name, Behavior::Healthy).await;
            let link = FaultyLink::start(address).await;
            let service = if index < ENGINES { "llm" } else { "app" };
            let record = json!({"Service": service, "Address": link.address, "Zone": "a",
                "Slots": 8, "State": "ready", "Sequence": 1, "born": 1});
            put(&rows, "servers", name, &record);
            endpoints.push(endpoint);
            endpoint_links.push(link);
        }
        let store = standin::start_store(rows.clone()).await;
        let (mut store_links, mut fronts, mut routers) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..count {
            let link = FaultyLink::start(store).await;
            let front = free_port().await;
            let text = format!(
                "[router]\nvm = vm-{index}\nfailure_domain = {}\nlisten = {front}\nreadiness = {}\n\
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
            fronts.push(front);
        }
        let targets = Targets {
            rows,
            store_links,
            endpoint_links,
            endpoints,
            routers,
            prepaid: Mutex::new((1, SCARCE)),
        };
        Self {
            seed,
            folder,
            targets: Arc::new(targets),
            fronts,
            views: Arc::default(),
            judged_from: Instant::now(),
        }
    }

    /// Plays a time with faults, a calm and a time in which service is judged.
    pub(crate) async fn run(&mut self, time: Duration) {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for name in 0..2 * CALLERS {
            let caller = SoakCaller {
                name,
                customer: ["plenty", "scarce"][name % 2],
                fronts: self.fronts.clone(),
                views: self.views.clone(),
                stopped: stopped.clone(),
            };
            callers.spawn(caller.run(self.seed * 1_000 + name as u64));
        }
        let end = Instant::now() + time;
        let mut troubles = JoinSet::new();
        for number in 0..TROUBLES as u64 {
            let rng = ChaCha8Rng::seed_from_u64(self.seed * 1_000 + 500 + number);
            troubles.spawn(trouble(self.targets.clone(), rng, end));
        }
        while let Some(ended) = troubles.join_next().await {
            ended.expect("no fault panics");
        }
        self.targets.rows.set_fault(RowFault::None);
        tokio::time::sleep(CALM).await;
        self.judged_from = Instant::now();
        tokio::time::sleep(JUDGED).await;
        stopped.store(true, Ordering::Relaxed);
        while let Some(ended) = callers.join_next().await {
            ended.expect("no caller panics");
        }
    }

    fn views(&self) -> Vec<CallerView> {
        self.views
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Runs of each request, over all endpoints, with the customer that they were billed to.
    fn runs(&self) -> HashMap<String, (u32, String)> {
        let mut runs = HashMap::new();
        for endpoint in &self.targets.endpoints {
            let ran = endpoint.ran.lock().unwrap_or_else(PoisonError::into_inner);
            for (headers, _) in ran.iter() {
                let text = |name: &str| {
                    let value = headers.get(name).and_then(|value| value.to_str().ok());
                    value.unwrap_or_default().to_owned()
                };
                let run = runs.entry(text("attempt-id")).or_insert((0, String::new()));
                run.0 += 1;
                run.1 = text("tenant");
            }
        }
        runs
    }

    /// Broken promises.
    pub(crate) fn check(&self) -> Vec<String> {
        let (views, runs) = (self.views(), self.runs());
        let mut broken = Vec::new();
        let mut spent: HashMap<&str, u64> = HashMap::new();
        let known: HashSet<&str> = views.iter().map(|view| view.id.as_str()).collect();
        broken.extend(
            runs.keys()
                .filter(|id| !known.contains(id.as_str()))
                .map(|id| format!("{id}: ran, but no caller sent it")),
        );
        for view in &views {
            let (count, customer) = runs.get(&view.id).cloned().unwrap_or_default();
            let mut say = |what: &str| broken.push(format!("{what}: {view:?}, {count} runs"));
            if count > 0 && customer != view.customer {
                say("billed to another customer");
            }
            if count > 1 && !view.kind.may_repeat() {
                say("ran more than once");
            }
            let refused = matches!(
                view.status,
                Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
            );
            if refused && count > 0 && !view.kind.may_repeat() {
                say("refused, but it ran");
            }
            if let Some(status) = view.status
                && status.is_client_error()
                && (status != StatusCode::PAYMENT_REQUIRED || view.customer == "plenty")
            {
                say("denied without a reason");
            }
            if view.status == Some(StatusCode::OK) {
                if view.answered_id.as_ref() != Some(&view.id) {
                    say("answer of another request");
                }
                let events = view.events();
                if view.kind.is_stream() {
                    if !events.iter().copied().eq(1..=events.len() as u64) {
                        say("events missing, doubled or out of order");
                    }
                    if view.is_whole && !view.is_complete_stream() {
                        say("a broken stream looks complete");
                    }
                } else if view.is_whole && !view.body.starts_with("answer of app-") {
                    say("not the endpoint's answer");
                }
            }
            if view.kind.is_stream() && count > 0 {
                let tokens = INPUT + view.events().len() as u64 * STRIDE;
                *spent.entry(view.customer).or_default() += tokens;
            }
        }
        let most = self.targets.prepaid().1;
        let scarce = spent.get("scarce").copied().unwrap_or_default();
        if scarce > most {
            broken.push(format!("{scarce} of {most} prepaid tokens spent"));
        }
        let late = views
            .iter()
            .filter(|view| view.customer == "plenty" && view.sent > self.judged_from);
        let served = late
            .clone()
            .filter(|view| view.is_whole && view.status == Some(StatusCode::OK));
        let (late, served) = (late.count(), served.count());
        if served * 4 < late || late == 0 {
            broken.push(format!("{served} of {late} served after the faults"));
        }
        broken
    }

    /// Figures of the run.
    pub(crate) fn summary(&self) -> String {
        let views = self.views();
        let whole = |kind: RequestKind| {
            let whole = views.iter().filter(|view| view.kind == kind);
            whole.filter(|view| view.is_whole).count()
        };
        let ends = views
            .iter()
            .map(|view| view.status.map_or(0, |one| one.as_u16()));
        let mut counts = std::collections::BTreeMap::new();
        for status in ends {
            *counts.entry(status).or_insert(0) += 1;
        }
        let [orders, queries] = [RequestKind::Order, RequestKind::Query].map(whole);
        format!(
            "{} requests, {orders} orders and {queries} queries whole, by status {counts:?}",
            views.len()
        )
    }

    /// Folder of the settings and the logs.
    pub(crate) fn folder(&self) -> String {
        self.folder.display().to_string()
    }
}

impl Targets {
    fn prepaid(&self) -> (u64, u64) {
        *self.prepaid.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Raises the scarce total with a new configuration.
    fn raise(&self) {
        let mut prepaid = self.prepaid.lock().unwrap_or_else(PoisonError::into_inner);
        *prepaid = (prepaid.0 + 1, prepaid.1 + SCARCE / 4);
        put_config(&self.rows, prepaid.0, prepaid.1);
    }
}

/// Faults one after the other, each ended before the next begins.
async fn trouble(targets: Arc<Targets>, mut rng: ChaCha8Rng, end: Instant) {
    while Instant::now() < end {
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
                harm(link, &mut rng, length).await;
            }
            3..=4 => {
                let link = &targets.endpoint_links[index % targets.endpoint_links.len()];
                harm(link, &mut rng, length).await;
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
                router.end(Duration::ZERO).await;
                tokio::time::sleep(length / 2).await;
                router.restart();
            }
            8 => {
                let mut router = router.lock().await;
                router.signal(Signal::SIGTERM);
                router.end(GRACE).await;
                router.restart();
            }
            _ if rng.random_bool(0.2) => {
                for router in &targets.routers {
                    let mut router = router.lock().await;
                    router.end(Duration::ZERO).await;
                    router.restart();
                }
            }
            _ => targets.raise(),
        }
    }
}

/// Harms a link for a while.
async fn harm(link: &FaultyLink, rng: &mut ChaCha8Rng, length: Duration) {
    let fault = match rng.random_range(0..4) {
        0 => LinkFault::Delayed(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkFault::AnswersLost,
        2 => LinkFault::Silent,
        _ => {
            link.reset();
            return;
        }
    };
    link.set(fault);
    tokio::time::sleep(length).await;
    link.set(LinkFault::None);
}
