//! Logs: the cause of a refused request can be found by the request's id.

use std::{
    collections::HashSet,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use {
    http::{HeaderMap, Method},
    jasminewall_core::{HolderId, Tokens},
    jasminewall_forward::{
        BudgetManager, FleetView, Forwarder, PredecessorEnd,
        origin::StreamOrigins,
        port::{
            CallError, CallFuture, EndpointCall, EndpointChange, EndpointPort, EndpointUpdate,
            PortState,
        },
        record::{
            CallerLimits, CustomerRule, EndpointRecord, EndpointState, FleetConfig, RetryPolicy,
            RouteRule,
        },
        request::{ForwardRequest, ForwardResponse, PromptSpec, RefusalKind},
        setting::FleetBounds,
    },
    jasminewall_ports::{MemoryRows, RowFault},
};

#[path = "support/peers.rs"]
mod peers;

/// Endpoints behind a network partition: connections fail, or responses never arrive.
struct PartitionedEndpoints {
    connects: bool,
}

impl EndpointPort for PartitionedEndpoints {
    fn connected(&self, _: bool) -> HashSet<SocketAddr> {
        HashSet::new()
    }

    fn call<'a>(&'a self, call: EndpointCall<'a>) -> CallFuture<'a> {
        let connects = self.connects;
        Box::pin(async move {
            if connects {
                call.sends.begin();
                tokio::time::sleep(Duration::from_secs(60)).await;
            }
            Err(CallError::NotSent("timed out".into()))
        })
    }

    fn probe(&self, _: SocketAddr) -> Pin<Box<dyn Future<Output = PortState> + Send + '_>> {
        Box::pin(async { PortState::Open })
    }
}

/// Writer that records all lines.
#[derive(Clone, Default)]
struct RecordedLines(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for RecordedLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer panicked").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl RecordedLines {
    /// Messages of a request, in order, with the given fields.
    fn of(&self, request: &str, fields: &[&str]) -> Vec<String> {
        let bytes = self.0.lock().expect("no writer panicked").clone();
        let text = String::from_utf8(bytes).expect("the log is text");
        let lines = text.lines().map(|line| {
            serde_json::from_str::<serde_json::Value>(line).expect("each line is JSON")
        });
        let matching = lines.filter(|line| line["request"] == request);
        let messages = matching.map(|line| {
            let fields = fields.iter().filter(|field| !line[**field].is_null());
            let fields: Vec<String> = fields
                .map(|field| format!(" {field}={}", line[*field]))
                .collect();
            format!(
                "{}{}",
                line["message"].as_str().unwrap_or_default(),
                fields.concat()
            )
        });
        messages.collect()
    }
}

fn forwarder(
    rows: &MemoryRows,
    endpoints: PartitionedEndpoints,
    prepaid: Tokens,
) -> Arc<Forwarder> {
    let holder = HolderId::new("vm-1", 1);
    let view = Arc::new(FleetView::default());
    let rule = RouteRule {
        name: "draft".into(),
        host: "shop".into(),
        prefix: "/".into(),
        weighted_services: vec![("llm".into(), 1)],
        retry_policy: RetryPolicy::Stream,
        timeout: Duration::from_millis(400),
        target_latency: Duration::from_millis(100),
        target_gap: None,
        max_attempts: 1,
        priority: 0,
        anonymous: false,
        allowed_regions: Vec::new(),
    };
    let customer = CustomerRule {
        name: "parish".into(),
        priority: None,
        prepaid: Some(prepaid),
        allowed_regions: Vec::new(),
    };
    let customers = vec![(customer, vec!["key".into()])];
    let config = FleetConfig::new(
        7,
        vec![rule],
        Default::default(),
        customers,
        CallerLimits::default(),
    );
    view.install(config, "test");
    let changes = vec![EndpointChange {
        id: "engine-1".into(),
        record: Some(EndpointRecord {
            id: "engine-1".into(),
            started_ms: 1,
            service: "llm".into(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: "a".into(),
            slots: 4,
            state: EndpointState::Ready,
            sequence: 0,
            software: "".into(),
            cold_remaining: Default::default(),
            cold: None,
        }),
    }];
    view.replace_endpoints(
        EndpointUpdate {
            changes,
            version: 1,
        },
        Instant::now(),
    );
    let budgets = BudgetManager::new(
        holder.clone(),
        Arc::new(rows.clone()),
        Arc::new(peers::NoPeers),
    );
    budgets.set_predecessor(PredecessorEnd::Unknown);
    let bounds = FleetBounds::default();
    let origins = Arc::new(StreamOrigins::new(Arc::new(rows.clone())));
    Forwarder::new(
        "a".into(),
        view,
        budgets,
        Arc::new(endpoints),
        origins,
        Arc::new(rows.clone()),
        bounds,
    )
}

fn request(id: &str, input: Tokens) -> ForwardRequest {
    let arrived = Instant::now();
    ForwardRequest {
        id: id.into(),
        host: "shop".into(),
        method: Method::POST,
        path_and_query: "/draft".into(),
        headers: HeaderMap::new(),
        body: Default::default(),
        key: Some("key".into()),
        arrived,
        deadline: Some(arrived + Duration::from_secs(2)),
        prompt: Some(PromptSpec {
            input_tokens: input,
            max_output_tokens: 10,
            parts: Vec::new(),
        }),
        resume_from: None,
        resumes: None,
    }
}

async fn refusal(forwarder: &Arc<Forwarder>, request: ForwardRequest) -> RefusalKind {
    match forwarder.handle(request).await {
        ForwardResponse::Refused { kind, .. } => kind,
        ForwardResponse::Relayed { status, .. } => panic!("the request was answered {status}"),
    }
}

/// Guards against refusals whose cause is missing in the log: spent budget, unreachable store,
/// network partition, and an endpoint that does not respond.
#[tokio::test]
async fn the_log_leads_from_a_request_to_its_cause() {
    let lines = RecordedLines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(move || writer.clone())
        .finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    let rows = MemoryRows::new();
    let partitioned = forwarder(&rows, PartitionedEndpoints { connects: false }, 1_000);
    assert_eq!(
        refusal(&partitioned, request("spent", 5_000)).await,
        RefusalKind::BudgetSpent
    );
    assert_eq!(
        refusal(&partitioned, request("partition", 50)).await,
        RefusalKind::NoEndpoint
    );
    rows.set_fault(RowFault::Unavailable);
    let unreachable = forwarder(&rows, PartitionedEndpoints { connects: true }, 1_000);
    assert_eq!(
        refusal(&unreachable, request("away", 50)).await,
        RefusalKind::BudgetUnavailable
    );
    rows.set_fault(RowFault::None);
    let unresponsive = forwarder(
        &MemoryRows::new(),
        PartitionedEndpoints { connects: true },
        1_000,
    );
    assert_eq!(
        refusal(&unresponsive, request("silent", 50)).await,
        RefusalKind::TimedOut
    );

    let fields = [
        "customer", "version", "endpoint", "reason", "shortage", "refusal", "charged",
    ];
    let messages =
        ["spent", "partition", "away", "silent"].map(|id| lines.of(id, &fields).join("\n  "));
    insta::assert_snapshot!(messages.join("\n\n  "));
}
