//! Router processes with stand-ins for everything that they need.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use {
    axum::{
        Router,
        body::Bytes,
        http::{HeaderMap, HeaderValue},
    },
    jasminewall_ports::{MemoryRows, RowKey},
    serde_json::{Value, json},
    tokio::net::{TcpListener, TcpStream},
};

use crate::{
    MEMORY_MB,
    crowd::SendPlan,
    sampler::MemorySampler,
    standin::{self, Behavior, FakeEndpoint},
};

/// Longest wait for a process to serve its first request.
const START_ATTEMPTS: usize = 150;
/// Attempts of an ordinary caller, and its pause after a refusal.
const ORDINARY_ATTEMPTS: usize = 5;
const RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProcessFigures {
    pub(crate) peak_kb: usize,
    pub(crate) descriptors: usize,
}

/// Process that is killed when the test ends.
struct ChildProcess(Child);

impl ChildProcess {
    fn spawn(command: &str, setting: &Path, log: &Path) -> Self {
        let log = File::create(log).expect("a log file");
        let mut process = Command::new(env!("CARGO_BIN_EXE_jasminewall"));
        process.arg(command);
        if command == "serve" {
            process.arg("--settings");
        }
        let process = process
            .arg(setting)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        Self(process.spawn().expect("the process starts"))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Router process under test.
pub(crate) struct RouterTarget {
    /// The router is the first one, its stand-ins follow.
    processes: Vec<ChildProcess>,
    pub(crate) address: SocketAddr,
    /// Target of ordinary requests.
    pub(crate) path: String,
    /// Target of requests with a large response.
    pub(crate) large_path: String,
    /// Target of requests whose response has 200 KB.
    pub(crate) wide_path: String,
    /// Target of requests that are answered after a minute.
    pub(crate) slow_path: String,
    /// Address of readiness checks, if it is not that of callers.
    pub(crate) readiness: Option<SocketAddr>,
    /// Ports of the endpoints.
    endpoint_ports: Vec<u16>,
    /// Stand-ins in the process of the test.
    endpoints: Vec<FakeEndpoint>,
    /// Bytes of a request head that the router still waits to end.
    pub(crate) open_head: usize,
    headers: &'static str,
}

impl RouterTarget {
    /// Request head with an id of its own.
    pub(crate) fn head(&self, method: &str, path: &str, length: &str) -> String {
        static SERIAL: AtomicUsize = AtomicUsize::new(1);
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nattempt-id: id-{serial}\r\n{}{length}\r\n\r\n",
            self.headers
        )
    }

    /// Sends a request with a body of `size` bytes and returns the status of the response.
    pub(crate) async fn request(&self, path: &str, size: usize) -> Result<u16, String> {
        let head = self.head("POST", path, &format!("Content-Length: {size}"));
        let plan = SendPlan::new(&head).repeat(&vec![b'x'; size], 1);
        plan.send_and_read(self.address).await
    }

    pub(crate) fn is_alive(&mut self) -> bool {
        matches!(self.processes[0].0.try_wait(), Ok(None))
    }

    pub(crate) fn measure(&self) -> ProcessFigures {
        let folder = PathBuf::from(format!("/proc/{}", self.processes[0].0.id()));
        let status = std::fs::read_to_string(folder.join("status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().strip_suffix(" kB")?.trim().parse().ok());
        let descriptors = std::fs::read_dir(folder.join("fd")).map(Iterator::count);
        ProcessFigures {
            peak_kb: peak.expect("a running process"),
            descriptors: descriptors.expect("a running process"),
        }
    }

    /// Waits until the figures have not changed for two seconds, or for the given time.
    pub(crate) async fn wait_settled(&self, limit: Duration) -> ProcessFigures {
        let deadline = Instant::now() + limit;
        loop {
            let before = self.measure();
            tokio::time::sleep(Duration::from_secs(2)).await;
            let after = self.measure();
            if before == after || Instant::now() >= deadline {
                return after;
            }
        }
    }

    /// Sends a request of an ordinary caller, which repeats it after a refusal.
    pub(crate) async fn request_with_retries(&self) -> Result<u16, String> {
        let mut answer = Err("not sent".to_owned());
        for _ in 0..ORDINARY_ATTEMPTS {
            answer = self.request(&self.path, 4_000).await;
            if answer == Ok(200) {
                break;
            }
            tokio::time::sleep(RETRY_AFTER).await;
        }
        answer
    }

    /// Measures the process until the sampler ends.
    pub(crate) fn sampler(&self) -> MemorySampler {
        let process = self.processes[0].0.id();
        MemorySampler::start(process, self.address.port(), self.endpoint_ports.clone())
    }

    /// Forgets the requests that stand-ins in the process of the test keep.
    pub(crate) fn forget_requests(&self) {
        for endpoint in &self.endpoints {
            endpoint.ran.lock().expect("not poisoned").clear();
        }
    }

    /// Waits until an ordinary request is answered.
    async fn wait_ready(self) -> Self {
        for _ in 0..START_ATTEMPTS {
            if TcpStream::connect(self.address).await.is_ok()
                && self.request(&self.path, 10).await == Ok(200)
            {
                return self;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        panic!("the router does not serve requests");
    }
}

/// Returns a free port of a loopback address that no other test uses: connections that are still closing
/// occupy ports of 127.0.0.1.
async fn free_port() -> SocketAddr {
    static SERIAL: AtomicU32 = AtomicU32::new(1);
    let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
    let host = (std::process::id() << 8 | serial & 0xff) & 0x00ff_ffff;
    let ip = Ipv4Addr::from(0x7f00_0000 | host);
    let listener = TcpListener::bind((ip, 0)).await;
    let address = listener.and_then(|listener| listener.local_addr());
    address.expect("a free port")
}

/// Folder for the settings and logs of one test.
fn test_folder(name: &str) -> PathBuf {
    static SERIAL: AtomicUsize = AtomicUsize::new(0);
    let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("hostile-{name}-{serial}"));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn write(path: &Path, text: &str) {
    std::fs::write(path, text).expect("a file");
}

/// Responds with 200 KB.
async fn respond_wide(headers: HeaderMap) -> ([(&'static str, HeaderValue); 2], Vec<u8>) {
    let headers = [
        ("attempt-id", headers["attempt-id"].clone()),
        ("response-seal", HeaderValue::from_static("seal")),
    ];
    (headers, vec![b'x'; 200_000])
}

/// Starts `jasminewall serve` with a stand-in store, and two services of one endpoint each.
pub(crate) async fn start_serve() -> RouterTarget {
    let rows = MemoryRows::new();
    let put = |table: &str, key: &str, value: &Value| {
        let bytes = Bytes::from(value.to_string());
        rows.put(RowKey::new(table, "", key), Some(bytes));
    };
    let route = |service: &str| {
        json!({"Name": service, "Host": "shop.example", "Prefix": format!("/{service}/"),
            "Kind": "safe", "TimeoutMs": 60_000, "TargetLatencyMs": 300, "Priority": 1,
            "Service": service, "MaxAttempts": 2, "StreamResume": false, "TargetGapMs": 500})
    };
    put(
        "op",
        "config",
        &json!({
            "Version": 1,
            "Routes": [route("app"), route("large"), route("wide"), route("slow")],
            "Services": [{"Name": "app"}, {"Name": "large"}, {"Name": "wide"}, {"Name": "slow"}],
            "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "IdleTimeoutMs": 60_000},
        }),
    );
    let register = |service: &str, name: &str, address: SocketAddr| {
        let slots = match service {
            "wide" | "slow" => 2_000,
            _ => 200,
        };
        put(
            "servers",
            name,
            &json!({"Service": service, "Address": address, "Zone": "a",
            "Slots": slots, "State": "ready", "Sequence": 1, "born": 1}),
        );
    };
    let services = [
        ("app", "app-1", Behavior::Healthy),
        ("large", "large-1", Behavior::EndlessBody),
        ("slow", "slow-1", Behavior::Unresponsive),
    ];
    let (mut endpoints, mut endpoint_ports) = (Vec::new(), Vec::new());
    for (service, name, behavior) in services {
        let (endpoint, address) = FakeEndpoint::start(name, behavior).await;
        endpoints.push(endpoint);
        register(service, name, address);
        endpoint_ports.push(address.port());
    }
    let wide_address = standin::spawn_server(Router::new().fallback(respond_wide)).await;
    register("wide", "wide-1", wide_address);
    endpoint_ports.push(wide_address.port());
    let store = standin::start_store(rows.clone()).await;
    let (address, readiness) = (free_port().await, free_port().await);
    let folder = test_folder("serve");
    let setting = folder.join("router.ini");
    write(
        &setting,
        &format!(
            "[router]\nvm = vm-1\nfailure_domain = a\nlisten = {address}\nreadiness = {readiness}\n\
         peer_listen = {}\nmemory_mb = {MEMORY_MB}\n[store]\naddress = {store}\n[log]\nformat = json\nlevel = info,tarpc=error\n",
            free_port().await,
        ),
    );
    let process = ChildProcess::spawn("serve", &setting, &folder.join("router.log"));
    let target = RouterTarget {
        processes: vec![process],
        address,
        path: "/app/1".to_owned(),
        large_path: "/large/1".to_owned(),
        wide_path: "/wide/1".to_owned(),
        slow_path: "/slow/1".to_owned(),
        readiness: Some(readiness),
        endpoint_ports,
        endpoints,
        open_head: 30_000,
        headers: "",
    };
    target.wait_ready().await
}

/// Starts `jasminewall standins` with one plain service, and `jasminewall run`.
pub(crate) async fn start_run() -> RouterTarget {
    let (address, platform) = (free_port().await, free_port().await);
    let folder = test_folder("run");
    let mut endpoints = Vec::new();
    let mut declarations = "schema = 2\n".to_owned();
    for (name, slots) in [("app", 200), ("wide", 2_000), ("slow", 2_000)] {
        let address = free_port().await;
        endpoints.push((name, address));
        declarations += &format!(
            "[[endpoint]]\nname = \"{name}-1\"\nruns = \"plain_service\"\naddress = \"{address}\"\n\
             failure_domain = \"domain-a\"\nslots = {slots}\n\
             [[route]]\nname = \"{name}\"\nendpoints = [\"{name}-1\"]\nprice = 1\n\
             answer_limit_bytes = 4194304\n"
        );
    }
    declarations += "[[customer]]\nname = \"parish\"\n\
         key_sha256 = [\"b217bdf7b013b544e53b5047c5cbe4bda70e4d58d090da88b04561230ae93f39\"]\n\
         [[budget]]\nname = \"parish-2026\"\ncustomer = \"parish\"\n\
         [[top_up]]\nname = \"parish-first\"\nbudget = \"parish-2026\"\namount = 1000000\n";
    write(&folder.join("fleet.toml"), &declarations);
    let standins = folder.join("standins.ini");
    write(
        &standins,
        &format!(
            "[standins]\nplatform = {platform}\ndeclarations = fleet.toml\nshards = 1\nvms = vm-1\n[log]\nlevel = warn\n"
        ),
    );
    let setting = folder.join("router.ini");
    write(
        &setting,
        &format!(
            "[router]\nvm = vm-1\nfailure_domain = domain-a\nlisten = {address}\npeer_listen = {}\n\
         [fleet]\nsecret = sample-secret\nshards = 1\n[platform]\naddress = {platform}\n\
         [limits]\nheader_timeout_ms = 60000\nmemory_mb = {MEMORY_MB}\n[log]\nlevel = info\n",
            free_port().await,
        ),
    );
    let standins = ChildProcess::spawn("standins", &standins, &folder.join("standins.log"));
    let mut attempts = 0;
    while TcpStream::connect(platform).await.is_err() {
        attempts += 1;
        assert!(attempts < START_ATTEMPTS, "the stand-ins do not start");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let router = ChildProcess::spawn("run", &setting, &folder.join("router.log"));
    let target = RouterTarget {
        processes: vec![router, standins],
        address,
        path: "/svc/app/1".to_owned(),
        large_path: "/svc/app/1?bytes=4000000".to_owned(),
        wide_path: "/svc/wide/1?bytes=200000".to_owned(),
        slow_path: "/svc/slow/1?sleep_ms=60000".to_owned(),
        readiness: None,
        endpoint_ports: endpoints
            .iter()
            .map(|(_, address)| address.port())
            .collect(),
        endpoints: Vec::new(),
        open_head: 200_000,
        headers: "Authorization: Bearer sample-key-parish\r\n",
    };
    target.wait_ready().await
}
