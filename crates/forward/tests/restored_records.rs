//! Registrations of endpoints and configurations when the store is restored from a copy.

use std::{
    collections::HashSet,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    jasminewall_forward::{
        FleetView, ForwardNode, ForwardPorts, ForwardSetting,
        port::{
            CallError, CallFuture, ConfigUpdate, EndpointCall, EndpointChange, EndpointPort,
            EndpointUpdate, PortState, RecordPort,
        },
        record::{CallerLimits, EndpointRecord, EndpointState, FleetConfig},
    },
    jasminewall_ports::{MemoryRows, PortFuture, RowKey, era_version},
};

fn record(id: &str, state: EndpointState, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        started_ms: 1_000,
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        slots: 4,
        state,
        sequence,
        software: "".into(),
        cold_remaining: Default::default(),
        cold: None,
    }
}

fn update(version: u64, records: Vec<EndpointRecord>) -> EndpointUpdate {
    let changes = records.into_iter().map(|record| EndpointChange {
        id: record.id.clone(),
        record: Some(record),
    });
    EndpointUpdate {
        changes: changes.collect(),
        version,
    }
}

fn ready(view: &FleetView, now: Instant) -> Vec<String> {
    let records = view.ready_endpoints(&"llm".into(), now);
    let mut ids: Vec<_> = records.iter().map(|record| record.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against requests to endpoints that drain or left in the time that the store lost.
#[test]
fn a_restored_store_brings_no_leaving_endpoint_back() {
    use EndpointState::{Draining, Ready};
    let now = Instant::now();
    let view = FleetView::default();
    let copy = || vec![record("drains", Ready, 5), record("left", Ready, 5)];
    view.replace_endpoints(update(10, copy()), now);
    let removed = EndpointChange {
        id: "left".into(),
        record: None,
    };
    let mut lost = update(20, vec![record("drains", Draining, 6)]);
    lost.changes.push(removed);
    view.update_endpoints(lost, now);
    view.replace_endpoints(update(era_version(2, 10), copy()), now);
    assert_eq!(ready(&view, now), Vec::<String>::new());

    // An endpoint that was only silent for a while registers again.
    let again = update(era_version(2, 11), vec![record("left", Ready, 7)]);
    view.update_endpoints(again, now);
    assert_eq!(ready(&view, now), ["left"]);
}

/// Guards against endpoints that a router drops because they registered in the time that the store
/// lost.
#[test]
fn an_endpoint_of_the_lost_time_has_time_to_register_again() {
    let now = Instant::now();
    let view = FleetView::default();
    view.replace_endpoints(update(10, Vec::new()), now);
    let new = || record("new", EndpointState::Ready, 1);
    view.update_endpoints(update(20, vec![new()]), now);
    view.replace_endpoints(update(era_version(2, 10), Vec::new()), now);
    assert_eq!(ready(&view, now), ["new"]);
    let later = now + Duration::from_secs(5);
    assert_eq!(ready(&view, later), Vec::<String>::new());
}

/// Platform without endpoints whose store returns one configuration.
struct ConfigPlatform {
    config_version: u64,
    /// Version of the store.
    version: u64,
}

impl RecordPort for ConfigPlatform {
    fn read_config(&self) -> PortFuture<'_, ConfigUpdate> {
        let limits = CallerLimits::default();
        let services = Default::default();
        let config = FleetConfig::new(
            self.config_version,
            Vec::new(),
            services,
            Vec::new(),
            limits,
        );
        Box::pin(async move {
            Ok(ConfigUpdate {
                config: Some(config),
                version: self.version,
                ..ConfigUpdate::default()
            })
        })
    }

    fn watch_config(&self, version: u64, deadline: Instant) -> PortFuture<'_, ConfigUpdate> {
        Box::pin(async move {
            tokio::time::sleep_until(deadline.into()).await;
            Ok(ConfigUpdate {
                config: None,
                version,
                ..ConfigUpdate::default()
            })
        })
    }

    fn read_endpoints(&self) -> PortFuture<'_, EndpointUpdate> {
        Box::pin(async { Ok(update(self.version, Vec::new())) })
    }

    fn watch_endpoints(&self, version: u64, deadline: Instant) -> PortFuture<'_, EndpointUpdate> {
        Box::pin(async move {
            tokio::time::sleep_until(deadline.into()).await;
            Ok(update(version, Vec::new()))
        })
    }
}

impl EndpointPort for ConfigPlatform {
    fn call<'a>(&'a self, _: EndpointCall<'a>) -> CallFuture<'a> {
        Box::pin(async { Err(CallError::NotSent("there are no endpoints".into())) })
    }

    fn connected(&self, _: bool) -> HashSet<SocketAddr> {
        HashSet::new()
    }

    fn probe(&self, _: SocketAddr) -> Pin<Box<dyn Future<Output = PortState> + Send + '_>> {
        Box::pin(async { PortState::Unreachable })
    }
}

async fn start_node(rows: &MemoryRows, vm: &str, platform: ConfigPlatform) -> Arc<ForwardNode> {
    let free_port = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = free_port.local_addr().expect("the port is bound");
    drop(free_port);
    let text = format!(
        "[router]\nvm = {vm}\nfailure_domain = a\nlisten = 127.0.0.1:1\n\
         readiness = 127.0.0.1:2\npeer_listen = {address}\n[store]\naddress = 127.0.0.1:3\n"
    );
    let setting: ForwardSetting = text.parse().expect("the settings are valid");
    let platform = Arc::new(platform);
    let ports = ForwardPorts {
        rows: Arc::new(rows.clone()),
        records: platform.clone(),
        endpoints: platform,
    };
    let node = ForwardNode::start(&setting, ports).await;
    node.expect("the port is still free")
}

/// Guards against a router that starts after a restore and serves the configuration of the copy.
#[tokio::test]
async fn a_router_that_starts_in_a_restored_store_asks_for_the_latest_configuration() {
    let rows = MemoryRows::new();
    let latest = ConfigPlatform {
        config_version: 7,
        version: 20,
    };
    let restored = ConfigPlatform {
        config_version: 5,
        version: era_version(2, 10),
    };
    let _running = start_node(&rows, "vm-1", latest).await;
    let started = start_node(&rows, "vm-2", restored).await;
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let config = started
        .forwarder
        .config()
        .expect("a configuration is known");
    assert_eq!(config.version, 7);
}

/// Guards against a run that hides from the next one that the run before it may have drawn tokens in
/// the lost time.
#[tokio::test]
async fn a_heartbeat_names_the_era_in_which_the_accounts_stand() {
    let rows = MemoryRows::new();
    let key = RowKey::new("heartbeat", "vm-1", "run");
    let before = r#"{"boot":7,"heartbeat":{"seen_ms":0,"late_ms":750,"detach_ms":2500},"era":1}"#;
    rows.put(key.clone(), Some(before.into()));
    rows.restore(rows.copy());
    // Without a customer, the router cannot have learned the draws of all customers.
    let platform = ConfigPlatform {
        config_version: 5,
        version: era_version(2, 10),
    };
    let _node = start_node(&rows, "vm-1", platform).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let row = rows.get(&key).expect("the heartbeat is written");
    let row: serde_json::Value = serde_json::from_slice(&row).expect("JSON");
    assert_ne!(row["boot"], 7);
    assert_eq!(row["era"], 1);
}
