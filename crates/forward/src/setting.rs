//! Settings of a router that forwards requests, read from an INI file.

use std::{collections::HashMap, net::SocketAddr, str::FromStr, time::Duration};

use {
    jasminewall_core::{DomainId, VmId},
    jasminewall_setting::{ANY_KEY, LogSetting, SettingErrors, SettingReader},
};

use crate::record::RegionId;

/// Sections and keys, as listed in `docs/settings.md`.
pub const FORWARD_KEYS: &[(&str, &[&str])] = &[
    (
        "router",
        &[
            "vm",
            "failure_domain",
            "listen",
            "readiness",
            "peer_listen",
            "link_mbps",
            "memory_mb",
        ],
    ),
    ("store", &["address"]),
    (
        "bounds",
        &[
            "grace_s",
            "drain_s",
            "retry_ratio",
            "retry_window_s",
            "retry_slack",
            "cold_overrun",
            "cold_slack",
        ],
    ),
    ("regions", ANY_KEY),
    ("log", &["format", "level"]),
    ("metrics", &["listen"]),
];

/// Limits that the operators set for all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time after the registration of an endpoint shows that it leaves within which requests may
    /// still be sent to it.
    pub drain: Duration,
    /// Retries allowed per request to a service.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Retries to a service that all routers together may make without any request.
    pub retry_slack: f64,
    /// Requests that a cold endpoint may get in a second, as a multiple of the rate that its service
    /// states.
    pub cold_overrun: f64,
    /// Requests that it may get in a second beyond that.
    pub cold_slack: f64,
}

impl Default for FleetBounds {
    /// A small retry budget, the grace period that most platforms give, and a short drain time.
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            drain: Duration::from_secs(2),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 10.0,
            cold_overrun: 1.5,
            cold_slack: 5.0,
        }
    }
}

/// Settings of one router that forwards requests.
#[derive(Clone, Debug)]
pub struct ForwardSetting {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: DomainId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address for other routers.
    pub peer_listen: SocketAddr,
    /// Speed of the VM's network link in Mbit/s, if known.
    pub link_mbps: Option<f64>,
    /// Memory of the VM in MB, if known.
    pub memory_mb: Option<usize>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Limits for the fleet.
    pub bounds: FleetBounds,
    /// Region of each failure domain.
    pub regions: HashMap<DomainId, RegionId>,
    /// Format and level of the log.
    pub log: LogSetting,
    /// Address at which metrics are served.
    pub metrics: Option<SocketAddr>,
}

impl FromStr for ForwardSetting {
    type Err = SettingErrors;

    /// Parses settings from INI text; the error lists all mistakes.
    fn from_str(text: &str) -> Result<Self, SettingErrors> {
        let mut reader = SettingReader::new(text, FORWARD_KEYS)?;
        let bounds = FleetBounds::default();
        let setting = Self {
            vm: reader.required("router", "vm").into(),
            failure_domain: reader.required("router", "failure_domain").into(),
            listen: reader.parse("router", "listen", "ip:port", None),
            readiness: reader.parse("router", "readiness", "ip:port", None),
            peer_listen: reader.parse("router", "peer_listen", "ip:port", None),
            link_mbps: read_speed(&mut reader),
            memory_mb: reader.memory("router"),
            store: reader.parse("store", "address", "ip:port", None),
            bounds: FleetBounds {
                grace: read_seconds(&mut reader, "grace_s", bounds.grace),
                drain: read_seconds(&mut reader, "drain_s", bounds.drain),
                retry_ratio: read_share(&mut reader, "retry_ratio", bounds.retry_ratio),
                retry_window: read_seconds(&mut reader, "retry_window_s", bounds.retry_window),
                retry_slack: read_share(&mut reader, "retry_slack", bounds.retry_slack),
                cold_overrun: read_share(&mut reader, "cold_overrun", bounds.cold_overrun),
                cold_slack: read_share(&mut reader, "cold_slack", bounds.cold_slack),
            },
            regions: reader
                .section("regions")
                .map(|(domain, region)| (domain.into(), region.into()))
                .collect(),
            log: reader.log(),
            metrics: reader.optional("metrics", "listen", "ip:port"),
        };
        reader.finish(setting)
    }
}

fn read_speed(reader: &mut SettingReader) -> Option<f64> {
    let speed: f64 = reader.optional("router", "link_mbps", "a number over 0")?;
    if speed.is_finite() && speed > 0.0 {
        return Some(speed);
    }
    reader.push_error("[router] link_mbps: write a number over 0".to_owned());
    None
}

fn read_share(reader: &mut SettingReader, key: &str, default: f64) -> f64 {
    let value = reader.optional("bounds", key, "a number from 0");
    let value = value.unwrap_or(default);
    if value.is_finite() && value >= 0.0 {
        return value;
    }
    reader.push_error(format!("[bounds] {key}: write a number from 0"));
    default
}

/// Reads a time in seconds, which may be a fraction.
fn read_seconds(reader: &mut SettingReader, key: &str, default: Duration) -> Duration {
    let seconds = read_share(reader, key, default.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or(default)
}
