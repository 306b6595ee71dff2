//! Routers as processes of their own, with the command and the settings of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Limits that the platform fills into the template of the settings.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub grace_s: f64,
    pub drain_ms: f64,
    pub retry_slack: f64,
}

impl Default for Bounds {
    /// Those of `sites/llvc-auth.toml`.
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            drain_ms: 2_000.0,
            retry_slack: 56.0,
        }
    }
}

pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Child,
    record: Record,
}

/// Processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all routers that still run, before the process exits without unwinding.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
}

fn free_ports<const COUNT: usize>(ip: &str) -> [SocketAddr; COUNT] {
    let listeners = [(); COUNT].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a bound address"))
}

impl Router {
    /// Starts a router on a loopback address of its own.
    pub fn start(
        index: usize,
        zone: &str,
        store: SocketAddr,
        bounds: &Bounds,
        root: &Path,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let [front, readiness, peer, metrics] = free_ports(&crate::own_address());
        let name = format!("edge-{}", index + 1);
        let template = fs::read_to_string(root.join("deploy/router.ini")).expect("the template");
        let values = [
            ("{{NodeName}}", name.clone()),
            ("{{Zone}}", zone.to_owned()),
            ("{{Listen.Front}}", front.to_string()),
            ("{{Listen.Readiness}}", readiness.to_string()),
            ("{{Ip}}:{{InternalPorts.0}}", peer.to_string()),
            ("{{Limits.LinkMbps}}", "1000.0".into()),
            ("{{Platform.Address}}", store.to_string()),
            ("{{Bounds.GraceS}}", bounds.grace_s.to_string()),
            ("{{Bounds.DrainMs}}", bounds.drain_ms.to_string()),
            ("{{Bounds.RetryBudgetRatio}}", "0.2".into()),
            ("{{Bounds.RetryWindowS}}", "10".into()),
            ("{{Bounds.RetrySlack}}", bounds.retry_slack.to_string()),
            ("{{Ip}}:9464", metrics.to_string()),
        ];
        let filled = values
            .iter()
            .fold(template, |text, (name, value)| text.replace(name, value));
        assert!(
            !filled.contains("{{"),
            "a placeholder is left in the settings:\n{filled}"
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, filled).expect("a settings file");
        let log = folder.join(format!("{name}.log"));
        let child = Self::spawn(root, &settings, &log);
        record.line(&format!("router {name} starts, front {front}"));
        Self {
            name,
            front,
            readiness,
            settings,
            log,
            root: root.into(),
            child,
            record: record.clone(),
        }
    }

    fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
        let file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let mut command = Command::new(root.join("target/release/jasminewall"));
        command
            .arg("serve")
            .current_dir(root)
            .env_clear()
            .env("JASMINEWALL_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("a log file"))
            .stderr(file);
        let child = command.spawn().expect("the router starts; build it first");
        RUNNING.lock().unwrap().push(child.id());
        child
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, to this process.
    pub fn signal(&self, signal: &str) {
        self.record
            .line(&format!("router {} gets SIG{signal}", self.name));
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.pid().to_string())
            .status();
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended; kills it after `limit`, as the platform does.
    pub fn wait_exit(&mut self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline && !self.has_exited() {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if !self.has_exited() {
            self.signal("KILL");
        }
        self.reap();
        self.record.line(&format!("router {} has ended", self.name));
    }

    fn reap(&mut self) {
        let _ = self.child.wait();
        let pid = self.pid();
        RUNNING.lock().unwrap().retain(|other| *other != pid);
    }

    pub fn restart(&mut self) {
        self.child = Self::spawn(&self.root, &self.settings, &self.log);
        self.record
            .line(&format!("router {} starts again", self.name));
    }

    /// Answer to the platform's readiness check.
    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/readyz HTTP/1.1\r\nHost: readiness\r\nConnection: close\r\n\r\n";
        let deadline = Instant::now() + Duration::from_secs(1);
        let gap = Duration::from_secs(1);
        let answer = http::call(self.readiness, request.as_bytes(), b"", gap, deadline);
        answer.end == http::End::Status(200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if !self.has_exited() {
            let _ = self.child.kill();
        }
        self.reap();
    }
}
