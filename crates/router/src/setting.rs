//! Router settings, read from an INI file and validated as a whole.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddr},
    ops::Deref,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use {
    jasminewall_core::{DomainId, ShardId, VmId},
    jasminewall_setting::SettingReader,
};

pub use jasminewall_setting::{LogFormat, LogSetting, SettingErrors};

/// Sections and keys of the settings of a router, as listed in `docs/settings.md`.
pub const ROUTER_KEYS: &[(&str, &[&str])] = &[
    (
        "router",
        &["vm", "failure_domain", "listen", "advertise", "peer_listen"],
    ),
    ("fleet", &["peers", "secret", "secret_file", "shards"]),
    ("platform", &["address"]),
    (
        "limits",
        &[
            "body_bytes",
            "body_timeout_ms",
            "header_bytes",
            "header_count",
            "header_timeout_ms",
            "memory_mb",
        ],
    ),
    ("log", &["format", "level"]),
    ("metrics", &["address"]),
];

/// Sections and keys of the settings of `jasminewall standins`, as listed in `docs/settings.md`.
pub const STANDIN_KEYS: &[(&str, &[&str])] = &[
    ("standins", &["platform", "declarations", "shards", "vms"]),
    ("log", &["format", "level"]),
];

/// Minimum length of the fleet secret. A shorter one can be guessed from a recorded token.
const MIN_SECRET_BYTES: usize = 12;

/// Secret that all routers of a fleet share. Its text is never printed.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct FleetSecret(String);

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(hidden)")
    }
}

impl Deref for FleetSecret {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl<T: Into<String>> From<T> for FleetSecret {
    fn from(secret: T) -> Self {
        Self(secret.into())
    }
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Largest total size of header names and values, in bytes.
    pub header_bytes: usize,
    /// Largest number of headers.
    pub header_count: usize,
    /// Timeout for receiving the headers.
    pub header_timeout: Duration,
    /// Memory of the machine in MB, if known.
    pub memory_mb: Option<usize>,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            body_timeout: Duration::from_secs(30),
            header_bytes: 16 << 10,
            header_count: 64,
            header_timeout: Duration::from_secs(10),
            memory_mb: None,
        }
    }
}

/// Settings of one router.
#[derive(Clone, Debug)]
pub struct RouterSetting {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: DomainId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which other routers reach the caller API, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// Address for the peer service.
    pub peer_listen: SocketAddr,
    /// Addresses of the peer services of other routers.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform, as `ip:port`.
    pub platform: String,
    /// Secret that all routers of the fleet share.
    pub secret: FleetSecret,
    /// Number of budget shards of the deployment.
    pub shards: ShardId,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
    /// Format and level of the log.
    pub log: LogSetting,
    /// Address that metrics are sent to over UDP.
    pub metrics: Option<SocketAddr>,
}

impl Default for RouterSetting {
    /// A router on free ports of 127.0.0.1, without peers or platform, for tests to start from.
    fn default() -> Self {
        let free_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            vm: VmId::default(),
            failure_domain: DomainId::default(),
            listen: free_port,
            advertise: None,
            peer_listen: free_port,
            peers: Vec::new(),
            platform: String::new(),
            secret: FleetSecret::default(),
            shards: 1,
            limits: CallerLimits::default(),
            log: LogSetting::default(),
            metrics: None,
        }
    }
}

impl FromStr for RouterSetting {
    type Err = SettingErrors;

    /// Reads settings from INI text. The error lists all mistakes.
    fn from_str(text: &str) -> Result<Self, SettingErrors> {
        let mut reader = SettingReader::new(text, ROUTER_KEYS)?;
        let defaults = Self::default();
        let limits = &defaults.limits;
        let setting = Self {
            vm: reader.required("router", "vm").into(),
            failure_domain: reader.required("router", "failure_domain").into(),
            listen: reader.parse("router", "listen", "ip:port", None),
            advertise: reader.optional("router", "advertise", "ip:port"),
            peer_listen: reader.parse("router", "peer_listen", "ip:port", None),
            peers: reader.list("fleet", "peers", "ip:port, ip:port"),
            platform: reader
                .parse::<SocketAddr>("platform", "address", "ip:port", None)
                .to_string(),
            secret: read_secret(&mut reader),
            shards: reader.count("fleet", "shards", None),
            limits: CallerLimits {
                body_bytes: reader.count("limits", "body_bytes", Some(limits.body_bytes)),
                body_timeout: reader.millis("limits", "body_timeout_ms", limits.body_timeout),
                header_bytes: reader.count("limits", "header_bytes", Some(limits.header_bytes)),
                header_count: reader.count("limits", "header_count", Some(limits.header_count)),
                header_timeout: reader.millis("limits", "header_timeout_ms", limits.header_timeout),
                memory_mb: reader.memory("limits"),
            },
            log: reader.log(),
            metrics: reader.optional("metrics", "address", "ip:port"),
        };
        if setting
            .advertise
            .unwrap_or(setting.listen)
            .ip()
            .is_unspecified()
        {
            reader.push_error("[router] advertise: 'listen' is every address; add the one ip:port at which other routers reach this one");
        }
        if setting.peers.contains(&setting.peer_listen) {
            reader.push_error("[fleet] peers: it lists this router's own peer_listen; remove it");
        }
        reader.finish(setting)
    }
}

/// Settings of `jasminewall standins`.
#[derive(Clone, Debug)]
pub struct StandinSetting {
    /// Address of the stand-in platform.
    pub platform: SocketAddr,
    /// Declaration file; each endpoint in it is served at its declared address.
    pub declarations: PathBuf,
    /// Number of budget shards of the deployment.
    pub shards: ShardId,
    /// VMs on the platform's list.
    pub vms: Vec<VmId>,
    /// Format and level of the log.
    pub log: LogSetting,
}

impl FromStr for StandinSetting {
    type Err = SettingErrors;

    /// Reads settings from INI text. The error lists all mistakes.
    fn from_str(text: &str) -> Result<Self, SettingErrors> {
        let mut reader = SettingReader::new(text, STANDIN_KEYS)?;
        let setting = Self {
            platform: reader.parse("standins", "platform", "ip:port", None),
            declarations: reader.required("standins", "declarations").into(),
            shards: reader.count("standins", "shards", None),
            vms: reader.list("standins", "vms", "name, name"),
            log: reader.log(),
        };
        reader.finish(setting)
    }
}

/// Reads the secret from `secret`, or from the file that `secret_file` names. Errors never quote
/// it.
fn read_secret(reader: &mut SettingReader) -> FleetSecret {
    let text = match (
        reader.get("fleet", "secret"),
        reader.get("fleet", "secret_file"),
    ) {
        (Some(text), None) => text,
        (None, Some(path)) => match std::fs::read_to_string(Path::new(&path)) {
            Ok(text) => text.trim().to_owned(),
            Err(error) => {
                reader.push_error(format!(
                    "[fleet] secret_file: cannot read '{path}': {error}"
                ));
                return FleetSecret::default();
            }
        },
        (Some(_), Some(_)) => {
            reader.push_error("[fleet] secret: 'secret_file' is set too; keep one of them");
            return FleetSecret::default();
        }
        (None, None) => {
            reader.push_error("[fleet] secret: it is missing; add it or 'secret_file'");
            return FleetSecret::default();
        }
    };
    if text.len() < MIN_SECRET_BYTES {
        reader.push_error(format!(
            "[fleet] secret: it is too short; use at least {MIN_SECRET_BYTES} bytes"
        ));
    }
    text.into()
}
