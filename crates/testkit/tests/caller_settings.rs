//! Guards against errors in settings that are reported one at a time or only at runtime, against
//! secrets in output, and against documentation that differs from the code.

use std::{collections::BTreeSet, net::UdpSocket, time::Duration};

use {
    jasminewall_forward::setting::FORWARD_KEYS,
    jasminewall_router::{
        RouterHandle, RouterSetting, StandinSetting,
        setting::{ROUTER_KEYS, STANDIN_KEYS},
        telemetry::METRIC_NAMES,
    },
    jasminewall_testkit::caller::{CallerClient, start_fleet, wait_ready},
    serde_json::json,
};

const SETTINGS_DOC: &str = include_str!("../../../docs/settings.md");
const METRICS_DOC: &str = include_str!("../../../docs/metrics.md");

/// Guards against mistakes in settings that are reported one at a time.
#[test]
fn all_mistakes_are_in_one_report() {
    let text = "[router]\nvm = vm-1\nlisten = 127.0.0.1\npeer_listn = 127.0.0.1:7201\n\
        [fleet]\nsecret = short\nshards = none\npeers = 127.0.0.1:1, x\n[platfrom]\n\
        address = 127.0.0.1:7000\n[limits]\nbody_bytes = 0\n[log]\nformat = xml\n";
    let report = text.parse::<RouterSetting>().unwrap_err().to_string();
    insta::assert_snapshot!(report, @r"
    11 mistake(s) in the settings
      [router] peer_listn: the key is not known; did you mean 'peer_listen'?
      [platfrom]: the section is not known; did you mean 'platform'?
      [router] failure_domain: it is missing; add it
      [router] listen: '127.0.0.1' is not valid; write ip:port
      [router] peer_listen: it is missing; add it
      [fleet] peers: 'x' is not valid; write ip:port, ip:port
      [platform] address: it is missing; add it
      [fleet] secret: it is too short; use at least 12 bytes
      [fleet] shards: 'none' is not valid; write a whole number above 0
      [limits] body_bytes: write a whole number above 0
      [log] format: 'xml' is not valid; write text or json
    ");
}

/// Guards against a secret in debug output or in an error message.
#[test]
fn secret_is_never_printed() {
    let text = include_str!("../../../samples/router-a.ini");
    let setting: RouterSetting = text.parse().unwrap();
    assert_eq!(&*setting.secret, "sample-secret");
    assert!(!format!("{setting:?}").contains("sample-secret"));
    let two_secrets = text.replace("shards = 4", "shards = 4\nsecret_file = /nowhere");
    let report = two_secrets
        .parse::<RouterSetting>()
        .unwrap_err()
        .to_string();
    assert!(!report.contains("sample-secret"), "{report}");
}

/// Guards against sample files that the programs do not accept.
#[test]
fn samples_are_valid() {
    for text in [
        include_str!("../../../samples/router-a.ini"),
        include_str!("../../../samples/router-b.ini"),
        include_str!("../../../samples/router-c.ini"),
    ] {
        text.parse::<RouterSetting>().unwrap();
    }
    let standins = include_str!("../../../samples/standins.ini");
    standins.parse::<StandinSetting>().unwrap();
    let records = include_str!("../../../samples/fleet.toml");
    jasminewall_core::record::from_str(records).unwrap();
}

/// Guards against keys and metrics without documentation, and against documentation of keys and
/// metrics that do not exist.
#[test]
fn every_key_and_metric_is_documented() {
    let programs = [ROUTER_KEYS, STANDIN_KEYS, FORWARD_KEYS];
    for (section, keys) in programs.into_iter().flatten() {
        for key in *keys {
            let row = format!("| `{section}` | `{key}` |");
            assert!(SETTINGS_DOC.contains(&row), "{row} is missing");
        }
    }
    let rows = SETTINGS_DOC
        .lines()
        .filter(|line| line.starts_with("| `"))
        .count();
    let keys = programs.into_iter().flatten().map(|(_, keys)| keys.len());
    assert_eq!(rows, keys.sum::<usize>());
    let names = [
        METRIC_NAMES,
        jasminewall_forward::METRIC_NAMES,
        jasminewall_caller::METRIC_NAMES,
    ];
    for name in names.into_iter().flatten() {
        assert!(
            METRICS_DOC.contains(&format!("| `{name}` |")),
            "{name} is missing"
        );
    }
    let rows = METRICS_DOC
        .lines()
        .filter(|line| line.starts_with("| `"))
        .count();
    assert_eq!(rows, names.into_iter().flatten().count());
}

/// Guards against metrics that are documented but never sent.
#[tokio::test]
async fn every_metric_is_sent() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    let fleet = start_fleet(Default::default()).await.unwrap();
    let setting = RouterSetting {
        vm: "vm-metrics".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        peer_listen: "127.0.0.1:0".parse().unwrap(),
        metrics: Some(socket.local_addr().unwrap()),
        ..fleet.routers[0].state.setting.clone()
    };
    let router = RouterHandle::start(setting, fleet.platform.ports())
        .await
        .unwrap();
    wait_ready(&router.state).await.unwrap();
    let client = CallerClient::new(router.address);
    client.complete(&json!({})).await.unwrap();
    client.complete(&json!({"model": "none"})).await.unwrap();
    let mut missing: BTreeSet<&str> = METRIC_NAMES.iter().copied().collect();
    let mut buffer = [0; 2_048];
    while !missing.is_empty() {
        let Ok(length) = socket.recv(&mut buffer) else {
            panic!("not sent: {missing:?}");
        };
        let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
        assert!(text.contains("vm:vm-metrics"), "{text}");
        missing.retain(|name| !text.contains(&format!("jasminewall.{name}:")));
    }
    router.stop().await;
    fleet.stop().await;
}
