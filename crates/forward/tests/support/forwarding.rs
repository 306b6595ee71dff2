//! A forwarder with endpoints of one service, and a customer with a prepaid budget.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{HeaderMap, Method},
    jasminewall_core::{HolderId, Tokens},
    jasminewall_forward::{
        BudgetManager, FleetView, Forwarder, PredecessorEnd,
        origin::StreamOrigins,
        port::{EndpointChange, EndpointPort, EndpointUpdate},
        record::{
            CallerLimits, CustomerRule, EndpointRecord, EndpointState, FleetConfig, RetryPolicy,
            RouteRule,
        },
        request::{ForwardRequest, PromptSpec},
        setting::FleetBounds,
    },
    jasminewall_ports::MemoryRows,
};

use crate::peers;

pub(crate) const PREPAID: Tokens = 100_000;
pub(crate) const INPUT: Tokens = 1_000;

/// Route to the service of all endpoints.
pub(crate) fn route(policy: RetryPolicy, timeout: Duration, target: Duration) -> RouteRule {
    RouteRule {
        name: "draft".into(),
        host: "shop".into(),
        prefix: "/".into(),
        weighted_services: vec![("llm".into(), 1)],
        retry_policy: policy,
        timeout,
        target_latency: target,
        target_gap: None,
        max_attempts: 3,
        priority: 0,
        anonymous: false,
        allowed_regions: Vec::new(),
    }
}

pub(crate) fn forwarder(
    endpoints: Arc<dyn EndpointPort>,
    rule: RouteRule,
    endpoint_count: u16,
) -> (Arc<Forwarder>, Arc<BudgetManager>) {
    let rows = MemoryRows::new();
    let view = Arc::new(FleetView::default());
    let customer = CustomerRule {
        name: "parish".into(),
        priority: None,
        prepaid: Some(PREPAID),
        allowed_regions: Vec::new(),
    };
    let config = FleetConfig::new(
        7,
        vec![rule],
        Default::default(),
        vec![(customer, vec!["key".into()])],
        CallerLimits::default(),
    );
    view.install(config, "test");
    let changes = (1..=endpoint_count).map(|number: u16| EndpointChange {
        id: format!("engine-{number}").into(),
        record: Some(EndpointRecord {
            id: format!("engine-{number}").into(),
            started_ms: 1,
            service: "llm".into(),
            address: ([127, 0, 0, 1], number).into(),
            domain: "a".into(),
            slots: 4,
            state: EndpointState::Ready,
            sequence: 0,
            software: "".into(),
            cold_remaining: Default::default(),
            cold: None,
        }),
    });
    let update = EndpointUpdate {
        changes: changes.collect(),
        version: 1,
    };
    view.replace_endpoints(update, Instant::now());
    let budgets = BudgetManager::new(
        HolderId::new("vm-1", 1),
        Arc::new(rows.clone()),
        Arc::new(peers::NoPeers),
    );
    budgets.set_predecessor(PredecessorEnd::Unknown);
    let forwarder = Forwarder::new(
        "a".into(),
        view,
        budgets.clone(),
        endpoints,
        Arc::new(StreamOrigins::new(Arc::new(rows.clone()))),
        Arc::new(rows),
        FleetBounds::default(),
    );
    (forwarder, budgets)
}

pub(crate) fn request(id: &str, timeout: Duration, max_output_tokens: Tokens) -> ForwardRequest {
    let arrived = Instant::now();
    ForwardRequest {
        id: id.into(),
        host: "shop".into(),
        method: Method::POST,
        path_and_query: "/draft".into(),
        headers: HeaderMap::new(),
        body: Bytes::default(),
        key: Some("key".into()),
        arrived,
        deadline: Some(arrived + timeout),
        prompt: Some(PromptSpec {
            input_tokens: INPUT,
            max_output_tokens,
            parts: Vec::new(),
        }),
        resume_from: None,
        resumes: None,
    }
}

/// Largest hold that the budget still covers.
pub(crate) async fn largest_hold(budgets: &Arc<BudgetManager>) -> Tokens {
    let (mut covered, mut excess) = (0, PREPAID + 1);
    while excess - covered > 1 {
        let amount = covered.midpoint(excess);
        let until = Instant::now() + Duration::from_millis(500);
        let (request, customer) = ("probe".into(), "parish".into());
        let held = budgets.hold(&request, &customer, PREPAID, amount, until);
        match held.await {
            Ok(_) => covered = amount,
            Err(_) => excess = amount,
        }
    }
    covered
}
