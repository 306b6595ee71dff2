//! Routers as separate processes, with settings made from the template of the deploy file.

use std::{
    fs,
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http;

const FRONT_PORT: u16 = 8227;
const READINESS_PORT: u16 = 8220;
/// Memory of a machine of the small deployment, in MB.
pub const MEMORY_MB: u64 = 260;
const PEER_PORT: u16 = 7340;
pub const STORE_PORT: u16 = 8223;
const ZONES: [&str; 3] = ["gulberg", "model-town", "johar-town"];

/// Loopback network of one run: an address of its own for each machine.
#[derive(Clone, Copy)]
pub struct Network {
    block: [u8; 2],
}

impl Network {
    /// Chooses a block of addresses on which no process listens.
    pub fn choose() -> Self {
        let mut seed = std::process::id() ^ (now_nanos() >> 8);
        loop {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let [_, _, high, low] = (seed >> 8).to_be_bytes();
            let network = Self {
                block: [64 + high % 128, low],
            };
            if TcpListener::bind(network.address(1, STORE_PORT)).is_ok() {
                return network;
            }
        }
    }

    pub fn address(self, machine: u8, port: u16) -> SocketAddr {
        let [high, low] = self.block;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, high, low, machine)), port)
    }
}

fn now_nanos() -> u32 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |now| now.subsec_nanos())
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Record of a run: what was sent, answered and run.
pub struct Record {
    file: Mutex<fs::File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = fs::File::create(path)?;
        Ok(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Adds a line that the caller of the script should see too.
    pub fn tell(&self, text: &str) {
        self.add(text);
        println!("{text}");
    }
}

pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    child: Child,
}

impl Router {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let request = http::format_request("GET", "/v1/readyz", &[("Host", "router")], b"");
        http::fetch(self.readiness, &request, Duration::from_secs(1)).status == 200
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }

    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([name, &pid]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after it was killed.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(&self.root, &self.settings)?;
        Ok(())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, settings: &Path) -> io::Result<Child> {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    Command::new(root.join("target/release/jasminewall"))
        .arg("serve")
        .current_dir(root)
        .env("JASMINEWALL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
}

/// Fills in the template of the settings as the platform does.
fn settings_text(
    template: &str,
    network: Network,
    machine: u8,
    name: &str,
    zone: &str,
    memory_mb: u64,
) -> String {
    let ip = network.address(machine, 0).ip().to_string();
    let address = |port| network.address(machine, port).to_string();
    let values = [
        ("NodeName", name.to_owned()),
        ("Zone", zone.to_owned()),
        ("Listen.Front", address(FRONT_PORT)),
        ("Listen.Readiness", address(READINESS_PORT)),
        ("Ip", ip),
        ("InternalPorts.0", PEER_PORT.to_string()),
        ("Limits.LinkMbps", "1000.0".to_owned()),
        ("Limits.MemoryMb", memory_mb.to_string()),
        (
            "Platform.Address",
            network.address(1, STORE_PORT).to_string(),
        ),
        ("Bounds.GraceS", "8".to_owned()),
        ("Bounds.DrainMs", "2000".to_owned()),
        ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
        ("Bounds.RetryWindowS", "10".to_owned()),
        ("Bounds.RetrySlack", "56".to_owned()),
    ];
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, section)) = rest.split_once("{{#") {
        text += before;
        let (key, section) = section.split_once("}}").unwrap_or((section, ""));
        let (body, after) = section
            .split_once(&format!("{{{{/{key}}}}}"))
            .unwrap_or((section, ""));
        // The deployment has the zones; the bounds of cold workers have no value here.
        if key == "Zones" {
            for zone in ZONES {
                text += &body.replace("{{@}}", zone).replace("{{.}}", "punjab");
            }
        }
        rest = after;
    }
    text += rest;
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}}}}}"), &value);
    }
    text
}

/// Folder of one run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("jasminewall-review-{}-{}", std::process::id(), now_nanos());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        } else {
            println!("kept {}", self.0.display());
        }
    }
}

/// Starts `count` routers, one per zone in turn, as machines 11, 12, ...
pub fn start_routers(
    root: &Path,
    folder: &Folder,
    network: Network,
    count: u8,
    memory_mb: u64,
) -> io::Result<Vec<Router>> {
    let template = fs::read_to_string(root.join("deploy/router.ini"))?;
    let mut routers = Vec::new();
    for index in 0..count {
        let zone = ZONES[usize::from(index) % ZONES.len()];
        let name = format!("edge-{zone}-{}", index / 3 + 1);
        let machine = 11 + index;
        let settings = folder.0.join(format!("{name}.ini"));
        fs::write(
            &settings,
            settings_text(&template, network, machine, &name, zone, memory_mb),
        )?;
        routers.push(Router {
            name,
            front: network.address(machine, FRONT_PORT),
            readiness: network.address(machine, READINESS_PORT),
            child: spawn(root, &settings)?,
            settings,
            root: root.to_owned(),
        });
    }
    Ok(routers)
}

/// Waits until all routers say that they are ready.
pub fn wait_ready(routers: &[Router], timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if routers.iter().all(Router::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
