//! Prepaid budgets in fleets in which only a few routers own grants.

use std::{
    collections::HashSet,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, HolderId, Tokens},
    jasminewall_forward::{
        BudgetManager, FleetView, ForwardNode, ForwardPorts, ForwardSetting, Forwarder,
        PredecessorEnd, TokenPeers,
        origin::StreamOrigins,
        peer::{self, RouterPeerClient},
        port::{
            CallError, CallFuture, ConfigUpdate, EndpointCall, EndpointPort, EndpointUpdate,
            PortState, RecordPort,
        },
        record::{CallerLimits, CustomerRule, FleetConfig},
        setting::FleetBounds,
        supply::SupplyOutlook,
    },
    jasminewall_ports::{MemoryRows, PortFuture, RowFault, RowKey, RowPort},
    tarpc::{client, context, tokio_serde::formats::Bincode},
};

#[path = "support/peers.rs"]
mod peers;

fn customer() -> CustomerId {
    "parish".into()
}

fn manager(
    rows: &MemoryRows,
    vm: &str,
    boot: u64,
    peers: Arc<dyn TokenPeers>,
) -> Arc<BudgetManager> {
    let manager = BudgetManager::new(HolderId::new(vm, boot), Arc::new(rows.clone()), peers);
    manager.set_predecessor(PredecessorEnd::Unknown);
    manager
}

/// Guards against tokens that idle at routers without a grant. Each of hundreds of routers kept
/// what its last request of a customer had not used, up to a few requests' worth: together they
/// held the whole budget, requests were refused, and a loss of power lost all of it.
#[tokio::test]
async fn left_over_tokens_serve_requests_at_other_routers() {
    const PREPAID: Tokens = 400_000;
    const ROUTERS: u64 = 100;
    let rows = MemoryRows::new();
    let owner = manager(&rows, "vm-owner", 1, Arc::new(peers::NoPeers));
    let routers: Vec<_> = (0..ROUTERS)
        .map(|number| {
            let owner_peer = Arc::new(peers::OwnerPeer::new(owner.clone()));
            manager(&rows, &format!("vm-{number}"), 10 + number, owner_peer)
        })
        .collect();
    for router in &routers {
        tokio::spawn(router.clone().hand_over_leftovers());
    }
    // The owner draws its first grant.
    let first = owner
        .hold(&"first".into(), &customer(), PREPAID, 100, deadline())
        .await;
    drop(first);
    let mut served = 0;
    for round in 0..3 {
        for router in &routers {
            let request = format!("request-{round}").as_str().into();
            let held = router
                .hold(&request, &customer(), PREPAID, 3_000, deadline())
                .await;
            if let Ok(mut hold) = held {
                hold.set_charge(1_000);
                served += 1;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        served, 300,
        "requests served of 300 that fit into the budget"
    );
    let idle: Tokens = routers
        .iter()
        .map(|router| router.spendable(&customer()))
        .sum();
    assert!(idle < PREPAID / 100, "{idle} tokens idle at the routers");
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_millis(400)
}

/// Platform with one customer and no endpoints.
struct QuietPlatform;

impl RecordPort for QuietPlatform {
    fn read_config(&self) -> PortFuture<'_, ConfigUpdate> {
        let customer = CustomerRule {
            name: customer(),
            priority: None,
            prepaid: Some(1_000_000),
            allowed_regions: Vec::new(),
        };
        let config = FleetConfig::new(
            1,
            Vec::new(),
            Default::default(),
            vec![(customer, vec!["key".into()])],
            CallerLimits::default(),
        );
        Box::pin(async {
            Ok(ConfigUpdate {
                config: Some(config),
                version: 1,
                ..ConfigUpdate::default()
            })
        })
    }

    fn watch_config(&self, _: u64, deadline: Instant) -> PortFuture<'_, ConfigUpdate> {
        Box::pin(async move {
            tokio::time::sleep_until(deadline.into()).await;
            Ok(ConfigUpdate::default())
        })
    }

    fn read_endpoints(&self) -> PortFuture<'_, EndpointUpdate> {
        Box::pin(async { Ok(EndpointUpdate::default()) })
    }

    fn watch_endpoints(&self, _: u64, deadline: Instant) -> PortFuture<'_, EndpointUpdate> {
        Box::pin(async move {
            tokio::time::sleep_until(deadline.into()).await;
            Ok(EndpointUpdate::default())
        })
    }
}

impl EndpointPort for QuietPlatform {
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

async fn start_node(rows: &MemoryRows, number: usize, link_mbps: u32) -> Arc<ForwardNode> {
    let free_port = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = free_port.local_addr().expect("the port is bound");
    drop(free_port);
    let text = format!(
        "[router]\nvm = vm-{number}\nfailure_domain = a\nlisten = 127.0.0.1:1\n\
         readiness = 127.0.0.1:2\npeer_listen = {address}\nlink_mbps = {link_mbps}\n\
         [store]\naddress = 127.0.0.1:3\n"
    );
    let setting: ForwardSetting = text.parse().expect("the settings are valid");
    let ports = ForwardPorts {
        rows: Arc::new(rows.clone()),
        records: Arc::new(QuietPlatform),
        endpoints: Arc::new(QuietPlatform),
    };
    let node = ForwardNode::start(&setting, ports).await;
    node.expect("the port is still free")
}

/// Version of the last heartbeat of a router.
async fn heartbeat_version(rows: &MemoryRows, number: usize) -> u64 {
    let page = rows.read("heartbeat", &format!("vm-{number}")).await;
    let page = page.expect("the store responds");
    page.rows.first().map_or(0, |row| row.version)
}

/// Guards against store traffic and grants that grow with the fleet: in a fleet with more than 16
/// routers only the three with the fastest links of a failure domain own grants, and a registration
/// that all routers watch does not change with each heartbeat.
#[tokio::test]
async fn the_routers_with_the_fastest_links_own_the_grants() {
    const FAST: [usize; 3] = [3, 8, 13];
    let rows = MemoryRows::new();
    let mut nodes = Vec::new();
    for number in 0..20 {
        let link_mbps = if FAST.contains(&number) { 200 } else { 20 };
        nodes.push(start_node(&rows, number, link_mbps).await);
    }
    // The first grants are drawn after 4.5 s at most.
    tokio::time::sleep(Duration::from_millis(5_000)).await;
    let has_grant = |number: &usize| {
        let key = RowKey::new("spend", customer(), format!("grant/vm-{number}"));
        rows.get(&key).is_some()
    };
    let owners: Vec<usize> = (0..20).filter(has_grant).collect();
    assert_eq!(
        owners.len(),
        1,
        "one owner in the failure domain: {owners:?}"
    );
    assert!(FAST.contains(&owners[0]), "{owners:?}");

    let registration = |number: usize| RowKey::new("router", "", format!("vm-{number}"));
    let registered = rows.read("router", "").await.expect("the store responds");
    assert_eq!(registered.rows.len(), 20);
    let heartbeat = heartbeat_version(&rows, 0).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(heartbeat_version(&rows, 0).await > heartbeat);
    let later = rows.read("router", "").await.expect("the store responds");
    assert_eq!(later.rows, registered.rows);

    // A router that finds its registration removed writes it again.
    rows.put(registration(5), None);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(rows.get(&registration(5)).is_some());

    // A router that stops does not.
    nodes[6].finish().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(rows.get(&registration(6)).is_none());
}

/// Guards against the heartbeat of a stopped router that remains in the store, so that the next run
/// on the VM takes the stop for a crash.
#[tokio::test]
async fn a_stopped_router_leaves_no_heartbeat() {
    let rows = MemoryRows::new();
    let node = start_node(&rows, 6, 20).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let heartbeat = RowKey::new("heartbeat", "vm-6", "run");
    assert!(rows.get(&heartbeat).is_some());
    node.finish().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(rows.get(&heartbeat).is_none());
}

/// Guards against routers of different versions that cannot exchange tokens: an owner answers the call
/// of earlier versions as before, and the new one with the reason and the time for what it lacks.
#[tokio::test]
async fn an_owner_answers_both_calls_for_tokens() {
    let rows = MemoryRows::new();
    let owner = manager(&rows, "vm-owner", 1, Arc::new(peers::NoPeers));
    owner.set_large(true);
    let held = owner
        .hold(&"first".into(), &customer(), 400_000, 100, deadline())
        .await;
    drop(held);
    let (view, port) = (Arc::new(FleetView::default()), Arc::new(rows.clone()));
    let forwarder = Forwarder::new(
        "a".into(),
        view.clone(),
        owner.clone(),
        Arc::new(QuietPlatform),
        Arc::new(StreamOrigins::new(port.clone())),
        port,
        FleetBounds::default(),
    );
    let free_port = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = free_port.local_addr().expect("the port is bound");
    drop(free_port);
    let served = peer::serve(address, view, owner.clone(), forwarder).await;
    served.expect("the port is still free");
    let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    let transport = transport.await.expect("the owner listens");
    let client = RouterPeerClient::new(client::Config::default(), transport).spawn();
    let call = client.give(context::current(), customer(), 500);
    assert_eq!(call.await.expect("the owner answers"), 500);
    rows.set_fault(RowFault::Unavailable);
    owner.session().heartbeat_sent(Instant::now());
    let call = client.give_or_hint(context::current(), customer(), 900_000, true);
    let answer = call.await.expect("the owner answers");
    assert!(answer.given < 900_000 && answer.lent >= 500, "{answer:?}");
    assert_eq!(answer.outlook, SupplyOutlook::StoreAway);
    assert_eq!(answer.more_in_ms, Some(1_000));
    let registration = r#"{"boot":1,"address":"127.0.0.1:1","domain":"a"}"#;
    let earlier: peer::PeerRecord = serde_json::from_str(registration).expect("a registration");
    assert!(
        !earlier.has_supply_hints,
        "earlier versions get the call that they know"
    );
}
