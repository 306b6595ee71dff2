//! Settings of a router, read from an INI file and checked as a whole.

use std::{
    collections::BTreeMap,
    fmt,
    net::{Ipv4Addr, SocketAddr},
    ops::Deref,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use {
    ini::Ini,
    jasminewall_core::{DomainId, ShardId, VmId},
};

use crate::telemetry::LogFormat;

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

/// Similarity above which a known name is offered for an unknown one, from 0 to 1.
const SIMILARITY_MIN: f64 = 0.6;
/// Smallest fleet secret in bytes; a shorter one can be guessed from a recorded token.
const SECRET_MIN: usize = 12;

/// Secret that all routers of a fleet share; its text is never printed.
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
    /// Longest time for a request body to arrive.
    pub body_timeout: Duration,
    /// Largest sum of header names and values, in bytes.
    pub header_bytes: usize,
    /// Largest number of headers.
    pub header_count: usize,
    /// Longest time for the headers to arrive.
    pub header_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            body_timeout: Duration::from_secs(30),
            header_bytes: 16 << 10,
            header_count: 64,
            header_timeout: Duration::from_secs(10),
        }
    }
}

/// Form and level of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSetting {
    /// Form of the lines.
    pub format: LogFormat,
    /// Filter such as `info` or `jasminewall_router=debug,warn`.
    pub level: String,
}

impl Default for LogSetting {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".into(),
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
    /// Address at which the other routers reach the caller interface, when it is not `listen`.
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
    /// Form and level of the log.
    pub log: LogSetting,
    /// Address that metrics are sent to over UDP.
    pub metrics: Option<SocketAddr>,
}

impl Default for RouterSetting {
    /// A router on free ports of 127.0.0.1, without peers or platform, for tests to start from.
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            vm: VmId::default(),
            failure_domain: DomainId::default(),
            listen: any,
            advertise: None,
            peer_listen: any,
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
    type Err = SettingReport;

    /// Reads settings from INI text; the error lists all mistakes.
    fn from_str(text: &str) -> Result<Self, SettingReport> {
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
            secret: reader.secret(),
            shards: reader.count("fleet", "shards", None),
            limits: CallerLimits {
                body_bytes: reader.count("limits", "body_bytes", Some(limits.body_bytes)),
                body_timeout: reader.millis("limits", "body_timeout_ms", limits.body_timeout),
                header_bytes: reader.count("limits", "header_bytes", Some(limits.header_bytes)),
                header_count: reader.count("limits", "header_count", Some(limits.header_count)),
                header_timeout: reader.millis("limits", "header_timeout_ms", limits.header_timeout),
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
            reader.fault("[router] advertise: 'listen' is every address; add the one ip:port at which other routers reach this one");
        }
        if setting.peers.contains(&setting.peer_listen) {
            reader.fault("[fleet] peers: it lists this router's own peer_listen; remove it");
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
    /// Form and level of the log.
    pub log: LogSetting,
}

impl FromStr for StandinSetting {
    type Err = SettingReport;

    /// Reads settings from INI text; the error lists all mistakes.
    fn from_str(text: &str) -> Result<Self, SettingReport> {
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

/// All mistakes of one settings file, a line each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingReport {
    faults: Vec<String>,
}

impl fmt::Display for SettingReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} mistake(s) in the settings", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingReport {}

/// Reads values and collects every mistake.
struct SettingReader {
    values: BTreeMap<(String, String), String>,
    faults: Vec<String>,
}

impl SettingReader {
    fn new(text: &str, known: &[(&str, &[&str])]) -> Result<Self, SettingReport> {
        let ini = Ini::load_from_str(text).map_err(|error| SettingReport {
            faults: vec![format!("line {}: {}", error.line, error.msg)],
        })?;
        let mut reader = Self {
            values: BTreeMap::new(),
            faults: Vec::new(),
        };
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            let keys = known.iter().find(|(name, _)| *name == section);
            let Some((_, keys)) = keys else {
                if !(section.is_empty() && properties.is_empty()) {
                    let names = known.iter().map(|(name, _)| *name);
                    reader.fault(unknown(&format!("[{section}]"), "section", section, names));
                }
                continue;
            };
            for (key, value) in properties {
                let place = format!("[{section}] {key}");
                if !keys.contains(&key) {
                    reader.fault(unknown(&place, "key", key, keys.iter().copied()));
                    continue;
                }
                let slot = (section.to_owned(), key.to_owned());
                if reader
                    .values
                    .insert(slot, value.trim().to_owned())
                    .is_some()
                {
                    reader.fault(format!("{place}: it is set twice; keep one"));
                }
            }
        }
        Ok(reader)
    }

    fn fault(&mut self, fault: impl Into<String>) {
        self.faults.push(fault.into());
    }

    fn get(&self, section: &str, key: &str) -> Option<String> {
        let slot = (section.to_owned(), key.to_owned());
        self.values
            .get(&slot)
            .filter(|text| !text.is_empty())
            .cloned()
    }

    fn required(&mut self, section: &str, key: &str) -> String {
        let value = self.get(section, key);
        if value.is_none() {
            self.fault(format!("[{section}] {key}: it is missing; add it"));
        }
        value.unwrap_or_default()
    }

    fn optional<T: FromStr>(&mut self, section: &str, key: &str, form: &str) -> Option<T> {
        let text = self.get(section, key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(format!(
                "[{section}] {key}: '{text}' is not valid; write {form}"
            ));
        }
        value
    }

    /// Value of a key; without a default the key is required.
    fn parse<T>(&mut self, section: &str, key: &str, form: &str, default: Option<T>) -> T
    where
        T: FromStr + SettingFallback,
    {
        if let Some(default) = default
            && self.get(section, key).is_none()
        {
            return default;
        }
        if self.required(section, key).is_empty() {
            return T::fallback();
        }
        self.optional(section, key, form)
            .unwrap_or_else(T::fallback)
    }

    fn count<T>(&mut self, section: &str, key: &str, default: Option<T>) -> T
    where
        T: FromStr + SettingFallback + PartialEq + Default,
    {
        let value = self.parse(section, key, "a whole number above 0", default);
        if value == T::default() {
            self.fault(format!("[{section}] {key}: write a whole number above 0"));
        }
        value
    }

    fn millis(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.count(section, key, Some(default)))
    }

    fn list<T: FromStr>(&mut self, section: &str, key: &str, form: &str) -> Vec<T> {
        let text = self.get(section, key).unwrap_or_default();
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        let mut values = Vec::new();
        for item in items {
            match item.parse() {
                Ok(value) => values.push(value),
                Err(_) => {
                    self.fault(format!(
                        "[{section}] {key}: '{item}' is not valid; write {form}"
                    ));
                }
            }
        }
        values
    }

    /// Secret from the file of `secret_file` or from `secret`; mistakes never quote it.
    fn secret(&mut self) -> FleetSecret {
        let text = match (
            self.get("fleet", "secret"),
            self.get("fleet", "secret_file"),
        ) {
            (Some(text), None) => text,
            (None, Some(path)) => match std::fs::read_to_string(Path::new(&path)) {
                Ok(text) => text.trim().to_owned(),
                Err(error) => {
                    self.fault(format!(
                        "[fleet] secret_file: cannot read '{path}': {error}"
                    ));
                    return FleetSecret::default();
                }
            },
            (Some(_), Some(_)) => {
                self.fault("[fleet] secret: 'secret_file' is set too; keep one of them");
                return FleetSecret::default();
            }
            (None, None) => {
                self.fault("[fleet] secret: it is missing; add it or 'secret_file'");
                return FleetSecret::default();
            }
        };
        if text.len() < SECRET_MIN {
            self.fault(format!(
                "[fleet] secret: it is too short; use at least {SECRET_MIN} bytes"
            ));
        }
        text.into()
    }

    fn log(&mut self) -> LogSetting {
        let defaults = LogSetting::default();
        let level = self.get("log", "level").unwrap_or(defaults.level);
        if let Err(error) = level.parse::<tracing_subscriber::EnvFilter>() {
            self.fault(format!("[log] level: '{level}' is not valid ({error}); write error, warn, info, debug or trace"));
        }
        let format = match self.get("log", "format").as_deref() {
            None | Some("text") => LogFormat::Text,
            Some("json") => LogFormat::Json,
            Some(other) => {
                self.fault(format!(
                    "[log] format: '{other}' is not valid; write text or json"
                ));
                LogFormat::Text
            }
        };
        LogSetting { format, level }
    }

    fn finish<T>(self, setting: T) -> Result<T, SettingReport> {
        if self.faults.is_empty() {
            return Ok(setting);
        }
        let mut faults = self.faults;
        faults.dedup();
        Err(SettingReport { faults })
    }
}

/// Value that stands in for a mistaken one while the rest of the file is checked.
trait SettingFallback {
    fn fallback() -> Self;
}

impl SettingFallback for SocketAddr {
    fn fallback() -> Self {
        Self::from((Ipv4Addr::LOCALHOST, 0))
    }
}

macro_rules! fallback_one {
    ($($number:ty),*) => {
        $(impl SettingFallback for $number {
            fn fallback() -> Self {
                1
            }
        })*
    };
}

fallback_one!(u32, u64, usize);

/// Fault of an unknown name, with the nearest known one.
fn unknown<'a>(
    place: &str,
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> String {
    let near = known
        .clone()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|one, other| one.0.total_cmp(&other.0));
    match near {
        Some((_, near)) => format!("{place}: the {what} is not known; did you mean '{near}'?"),
        None => {
            let all: Vec<&str> = known.collect();
            format!(
                "{place}: the {what} is not known; known are {}",
                all.join(", ")
            )
        }
    }
}
