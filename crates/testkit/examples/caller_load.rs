//! Measures the overhead of one router: request rate and latency compared with direct requests to
//! the stand-in endpoint in the same run, and the resident memory of an idle router.
//!
//! ```text
//! cargo run --release -p jasminewall-testkit --example caller_load            # load
//! cargo run --release -p jasminewall-testkit --example caller_load -- idle    # memory
//! ```

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use {
    anyhow::{Context, Result, bail},
    hdrhistogram::Histogram,
    hyper::Method,
    jasminewall_core::{ConfigRecord, record::EndpointKind},
    jasminewall_ports::{MemoryPlatform, TablePort, VmState},
    jasminewall_router::{RouterHandle, RouterSetting},
    jasminewall_testkit::caller::{CallerClient, completion_body, start_fleet},
    serde_json::{Value, json},
    tokio::{task::JoinSet, time::sleep},
};

/// Number of requests of one measurement.
const REQUESTS: u64 = 4_000;
/// Number of concurrent callers, each with one request at a time.
const CALLERS: u64 = 16;
/// Time limit of one measurement.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Number of requests sent before each measurement.
const WARM_UP_REQUESTS: u64 = 200;
/// Number of measurements of each target. Measurements of the two targets alternate, so that
/// changes in the load of the machine affect both.
const ROUNDS: u32 = 3;

/// Kind of measured request.
#[derive(Clone)]
struct LoadKind {
    name: &'static str,
    method: Method,
    /// Paths on the router and on the endpoint.
    paths: [&'static str; 2],
    body: String,
    endpoint: EndpointKind,
}

#[tokio::main]
async fn main() -> Result<()> {
    match std::env::args().nth(1).as_deref() {
        None => measure_load().await,
        Some("idle") => measure_idle().await,
        Some(other) => bail!("unknown argument '{other}'; expected none or 'idle'"),
    }
}

async fn measure_load() -> Result<()> {
    let fleet = start_fleet(Default::default()).await?;
    let router = fleet.routers[0].address;
    let fields = json!({"max_tokens": 16, "standin": {"token_ms": 0}});
    let mut streamed_fields = fields.clone();
    streamed_fields["stream"] = json!(true);
    let kinds = [
        LoadKind {
            name: "plain service call",
            method: Method::GET,
            paths: ["/svc/catalogue/pane", "/pane"],
            body: String::new(),
            endpoint: EndpointKind::PlainService,
        },
        LoadKind {
            name: "whole completion, 16 tokens",
            method: Method::POST,
            paths: ["/v1/chat/completions"; 2],
            body: completion_body(&fields).to_string(),
            endpoint: EndpointKind::ModelEngine,
        },
        LoadKind {
            name: "streamed completion, 16 tokens",
            method: Method::POST,
            paths: ["/v1/chat/completions"; 2],
            body: completion_body(&streamed_fields).to_string(),
            endpoint: EndpointKind::ModelEngine,
        },
    ];
    println!(
        "{REQUESTS} requests by {CALLERS} callers, {ROUNDS} rounds in turn, all in one process"
    );
    for kind in kinds {
        let endpoint = endpoint_address(&fleet.platform, kind.endpoint).await?;
        for round in 1..=ROUNDS {
            let (direct_rate, direct) = measure(&kind, endpoint, kind.paths[1]).await?;
            let (routed_rate, routed) = measure(&kind, router, kind.paths[0]).await?;
            let added_ms = |quantile: f64| {
                let micros = |histogram: &Histogram<u64>| histogram.value_at_quantile(quantile);
                (micros(&routed) as f64 - micros(&direct) as f64) / 1_000.0
            };
            println!(
                "{} round {round}: direct {direct_rate:.0}/s p50 {:.2} ms p99 {:.2} ms | router \
                 {routed_rate:.0}/s p50 {:.2} ms p99 {:.2} ms | added p50 {:.2} ms p99 {:.2} ms",
                kind.name,
                direct.value_at_quantile(0.5) as f64 / 1_000.0,
                direct.value_at_quantile(0.99) as f64 / 1_000.0,
                routed.value_at_quantile(0.5) as f64 / 1_000.0,
                routed.value_at_quantile(0.99) as f64 / 1_000.0,
                added_ms(0.5),
                added_ms(0.99),
            );
        }
    }
    fleet.stop().await;
    Ok(())
}

/// Returns the address of the first declared endpoint of a kind.
async fn endpoint_address(platform: &MemoryPlatform, kind: EndpointKind) -> Result<SocketAddr> {
    for row in platform.scan("config/log/").await? {
        let delta: Value = serde_json::from_str(&row.value)?;
        for change in delta["changes"].as_array().into_iter().flatten() {
            if let Ok(ConfigRecord::Endpoint(endpoint)) =
                serde_json::from_value(change["put"].clone())
                && endpoint.runs == kind
            {
                return Ok(endpoint.address.parse()?);
            }
        }
    }
    bail!("no endpoint of that kind is declared")
}

/// Returns the request rate per second and the latencies in microseconds.
async fn measure(
    kind: &LoadKind,
    address: SocketAddr,
    path: &'static str,
) -> Result<(f64, Histogram<u64>)> {
    send_all(kind, address, path, WARM_UP_REQUESTS).await?;
    let started = Instant::now();
    let histogram = send_all(kind, address, path, REQUESTS).await?;
    let rate = histogram.len() as f64 / started.elapsed().as_secs_f64();
    Ok((rate, histogram))
}

/// Sends requests from all callers and returns the latencies in microseconds.
async fn send_all(
    kind: &LoadKind,
    address: SocketAddr,
    path: &'static str,
    requests: u64,
) -> Result<Histogram<u64>> {
    let client = CallerClient::new(address);
    let sent = Arc::new(AtomicU64::new(0));
    let deadline = Instant::now() + TIME_LIMIT;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let (client, sent, kind) = (client.clone(), sent.clone(), kind.clone());
        callers.spawn(async move {
            let mut histogram = Histogram::<u64>::new(3)?;
            while sent.fetch_add(1, Ordering::Relaxed) < requests && Instant::now() < deadline {
                let started = Instant::now();
                let response = client.send(kind.method.clone(), path, &[], kind.body.clone());
                let response = response.await?;
                if response.status != 200 {
                    bail!("{}: {}", response.status, response.text());
                }
                histogram.record(u64::try_from(started.elapsed().as_micros())?)?;
            }
            Ok(histogram)
        });
    }
    let mut histogram = Histogram::<u64>::new(3)?;
    while let Some(caller) = callers.join_next().await {
        histogram.add(caller??)?;
    }
    Ok(histogram)
}

/// Prints the resident memory of a process before and after it starts an idle router.
async fn measure_idle() -> Result<()> {
    let before = resident_kib()?;
    let platform = MemoryPlatform::new();
    platform.set_vm("vm-idle", Some(VmState::Live));
    let setting = RouterSetting {
        vm: "vm-idle".into(),
        failure_domain: "domain-a".into(),
        secret: "sample-secret".into(),
        ..RouterSetting::default()
    };
    let router = RouterHandle::start(setting, platform.ports()).await?;
    sleep(Duration::from_secs(5)).await;
    let idle = resident_kib()?;
    println!("resident memory: {before} KiB before the router started, {idle} KiB after 5 s idle");
    router.stop().await;
    Ok(())
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let size = line.and_then(|line| line.split_whitespace().next());
    Ok(size.context("/proc/self/status has no VmRSS")?.parse()?)
}
