//! Measures what one router adds to a call: requests a second and latency against the stand-in
//! endpoint in the same run, and the resident memory of an idle router.
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

/// Requests of one measurement.
const REQUESTS: u64 = 4_000;
/// Callers that send them, each one at a time.
const CALLERS: u64 = 16;
/// Longest time of one measurement.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Requests that are sent before each measurement.
const WARM_UP: u64 = 200;
/// Measurements of each target, in turn, so that a change of the machine's load meets both.
const ROUNDS: u32 = 3;

/// Kind of request that is measured.
#[derive(Clone)]
struct LoadKind {
    name: &'static str,
    method: Method,
    /// Path at the router, and at the endpoint.
    paths: [&'static str; 2],
    body: String,
    endpoint: EndpointKind,
}

#[tokio::main]
async fn main() -> Result<()> {
    match std::env::args().nth(1).as_deref() {
        None => measure_load().await,
        Some("idle") => measure_idle().await,
        Some(other) => bail!("'{other}' is not known; write nothing or 'idle'"),
    }
}

async fn measure_load() -> Result<()> {
    let fleet = start_fleet(Default::default()).await?;
    let router = fleet.routers[0].address;
    let quick = json!({"max_tokens": 16, "standin": {"token_ms": 0}});
    let mut streamed = quick.clone();
    streamed["stream"] = json!(true);
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
            body: completion_body(&quick).to_string(),
            endpoint: EndpointKind::ModelEngine,
        },
        LoadKind {
            name: "streamed completion, 16 tokens",
            method: Method::POST,
            paths: ["/v1/chat/completions"; 2],
            body: completion_body(&streamed).to_string(),
            endpoint: EndpointKind::ModelEngine,
        },
    ];
    println!(
        "{REQUESTS} requests by {CALLERS} callers, {ROUNDS} rounds in turn, all in one process"
    );
    for kind in kinds {
        let direct = endpoint_address(&fleet.platform, kind.endpoint).await?;
        for round in 1..=ROUNDS {
            let (direct_rate, direct) = measure(&kind, direct, kind.paths[1]).await?;
            let (routed_rate, routed) = measure(&kind, router, kind.paths[0]).await?;
            let added = |quantile: f64| {
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
                added(0.5),
                added(0.99),
            );
        }
    }
    fleet.stop().await;
    Ok(())
}

/// Address of the first declared endpoint of a kind.
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

/// Requests a second, and latencies in microseconds.
async fn measure(
    kind: &LoadKind,
    address: SocketAddr,
    path: &'static str,
) -> Result<(f64, Histogram<u64>)> {
    send_all(kind, address, path, WARM_UP).await?;
    let started = Instant::now();
    let histogram = send_all(kind, address, path, REQUESTS).await?;
    let rate = histogram.len() as f64 / started.elapsed().as_secs_f64();
    Ok((rate, histogram))
}

async fn send_all(
    kind: &LoadKind,
    address: SocketAddr,
    path: &'static str,
    requests: u64,
) -> Result<Histogram<u64>> {
    let client = CallerClient::new(address);
    let next = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + TIME_LIMIT;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let (client, next, kind) = (client.clone(), next.clone(), kind.clone());
        callers.spawn(async move {
            let mut histogram = Histogram::<u64>::new(3)?;
            while next.fetch_add(1, Ordering::Relaxed) < requests && Instant::now() < until {
                let sent = Instant::now();
                let reply = client.send(kind.method.clone(), path, &[], kind.body.clone());
                let reply = reply.await?;
                if reply.status != 200 {
                    bail!("{}: {}", reply.status, reply.text());
                }
                histogram.record(u64::try_from(sent.elapsed().as_micros())?)?;
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

/// Resident memory of a process with one router that has no work.
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

fn resident_kib() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.context("/proc/self/status has no VmRSS")?.parse()?)
}
