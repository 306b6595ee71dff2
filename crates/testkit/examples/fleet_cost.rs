//! Measures the cost of fleet management for one router at several fleet sizes: traffic, CPU time
//! and memory.
//!
//! Run it with `cargo run --release -p jasminewall-testkit --example fleet_cost` on an otherwise
//! idle machine. Each measurement uses the state and the messages of a whole fleet of one size; the
//! cost at the target size is extrapolated.

use std::{
    hint::black_box,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use {
    anyhow::{Context, Result},
    jasminewall_core::{
        BootId, ConfigDelta, ConfigFollower, ConfigRecord, ConfigState, DomainId, HolderId,
        Revision, VmId,
        member::{
            EarlierRun, LIST_LAG, MemberNotice, MemberState, MemberTable, ProbeAnswer,
            RegistrationRow, probe_targets,
        },
        order::{EngineReport, ModelVersion, OrderRow},
        record::{BudgetRecord, EndpointKind, EndpointRecord},
        revision::{ConfigChange, HeadRow},
    },
    jasminewall_ports::{PortRequest, PortResponse, TableRow, VmEntry, VmState},
    jasminewall_router::FleetIntervals,
    jasminewall_wire::{
        CloseReply, CrashReport, PeerService, PeerServiceClient, PeerServiceRequest,
        PeerServiceResponse, ProbeReply, ProbeRequest, SettleRequest, TransferReply,
        TransferRequest, frame_size,
    },
    serde::Serialize,
    tarpc::{
        client, context,
        server::{BaseChannel, Channel},
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Measured fleet sizes, in routers.
const SIZES: [usize; 4] = [3, 9, 27, 81];
const TARGET_ROUTERS: usize = 320;
const TARGET_BUDGETS: usize = 450_000;
const TARGET_ENGINES: usize = 600;
const DOMAINS: usize = 8;
/// Configuration changes of the whole fleet per day.
const CHANGES_PER_DAY: f64 = 1_300.0;
/// Restarts and failures of VMs in the whole fleet per day.
const LEAVES_PER_DAY: f64 = 335.0;
const DAY_SECONDS: f64 = 86_400.0;
/// IPv4 and TCP headers (with timestamps) of a call in bytes. A call takes three packets: request,
/// response and final ACK.
const PACKET_HEADERS: f64 = 3.0 * 52.0;
/// Headers of an HTTP request and its response, in bytes.
const HTTP_HEADERS: f64 = 250.0;
/// Limit of the traffic of one router in design.md section 1, in bytes per second.
const TRAFFIC_LIMIT: f64 = 5_000.0;
/// Limit of the CPU time of one router in design.md section 1, as a share of a core.
const CORE_LIMIT: f64 = 0.043;
/// Limit of the memory of one router in design.md section 1, in bytes.
const MEMORY_LIMIT: f64 = 32e6;
const SECRET: &str = "cost";
const BOOT: BootId = 1 << 60;
/// Number of probes of a CPU measurement.
const PROBES: u32 = 10_000;
/// Number of probe rounds of a CPU measurement.
const ROUNDS: u32 = 20_000;
/// Number of deltas of a CPU measurement.
const DELTAS: u64 = 2_000;

/// Cost of one router at one fleet size.
struct CostSample {
    routers: f64,
    /// Traffic in bytes per second.
    traffic: f64,
    /// Traffic if every router probed all others, in bytes per second.
    mesh_traffic: f64,
    /// CPU time of probes as a share of a core.
    probe_core: f64,
    /// CPU time per delta.
    delta_seconds: f64,
    /// Memory of members and records in bytes.
    memory: f64,
}

fn vm(index: usize) -> VmId {
    format!("vm-{index:03}").into()
}

fn domain(index: usize) -> DomainId {
    format!("domain-{}", index % DOMAINS).into()
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).unwrap_or(0).to_be_bytes();
    ([10, 0, high, low], 7000).into()
}

fn registration(index: usize) -> RegistrationRow {
    RegistrationRow {
        vm: vm(index),
        boot: BOOT + 1,
        address: address(index),
        failure_domain: domain(index),
        stopped: false,
        earlier: vec![EarlierRun {
            boot: BOOT,
            address: address(index),
        }],
    }
}

fn answer(index: usize) -> ProbeAnswer {
    ProbeAnswer {
        holder: HolderId::new(vm(index), BOOT + 1),
        address: address(index),
        failure_domain: domain(index),
        revision: 1_300,
        leaving: false,
    }
}

fn member_table(routers: usize, now: Instant) -> MemberTable {
    let mut table = MemberTable::new(HolderId::new(vm(0), BOOT), LIST_LAG);
    let list: Vec<_> = (0..routers).map(|index| (vm(index), false)).collect();
    table.observe_list(&list, now);
    for index in 1..routers {
        table.observe_registration(&registration(index), now);
        table.observe_answer(&answer(index), now, now);
    }
    table
}

fn notice() -> MemberNotice {
    MemberNotice {
        holder: HolderId::new(vm(7), BOOT + 1),
        state: MemberState::Suspect,
        age_ms: 1_000,
    }
}

fn probe_request() -> ProbeRequest {
    ProbeRequest {
        holder: HolderId::new(vm(0), BOOT),
        address: address(0),
        revision: 1_300,
        notices: vec![notice()],
    }
}

fn probe_reply() -> ProbeReply {
    ProbeReply {
        vm: vm(1),
        boot: BOOT,
        failure_domain: domain(1),
        revision: 1_300,
        leaving: false,
        notices: vec![notice()],
    }
}

fn delta(revision: Revision) -> ConfigDelta {
    let record = EndpointRecord {
        name: "engine-domain-3-017".into(),
        runs: EndpointKind::ModelEngine,
        address: "10.20.30.40:8000".into(),
        failure_domain: domain(3),
        slots: 8,
        honours_fencing: true,
        lists_streams: true,
        leaving: false,
    };
    ConfigDelta {
        revision,
        schema: 2,
        changes: vec![ConfigChange::Put(ConfigRecord::Endpoint(record))],
    }
}

fn order() -> OrderRow {
    OrderRow {
        endpoint: "engine-domain-3-017".into(),
        number: 1_000,
        target: ModelVersion {
            model: "glass-7b".into(),
            version: "2026-11".into(),
        },
        decider: HolderId::new(vm(1), BOOT),
        valid_until_ms: 1 << 40,
        reason: "keeps its model, whose cache is warm".into(),
    }
}

/// Returns the bytes of a call between routers: request, response and packet headers.
fn peer_call(request: PeerServiceRequest, response: PeerServiceResponse) -> Result<f64> {
    let request = tarpc::ClientMessage::Request(tarpc::Request {
        context: context::current(),
        id: 1_000_000,
        message: request,
    });
    let response = tarpc::Response {
        request_id: 1_000_000,
        message: Ok(response),
    };
    Ok((frame_size(&request)? + frame_size(&response)?) as f64 + PACKET_HEADERS)
}

/// Returns the bytes of a platform call over HTTP, with the headers of another packet per 1,448
/// bytes.
fn port_call(request: &PortRequest, response: &PortResponse) -> Result<f64> {
    let bytes = json_size(request)? + json_size(response)? + HTTP_HEADERS;
    Ok(bytes + PACKET_HEADERS + bytes / 1_448.0 * 52.0)
}

fn json_size(value: &impl Serialize) -> Result<f64> {
    Ok(serde_json::to_vec(value)?.len() as f64)
}

fn table_row(key: &str, value: &impl Serialize) -> Result<TableRow> {
    Ok(TableRow {
        key: key.into(),
        version: 1_000_000,
        value: serde_json::to_string(value)?,
    })
}

fn row_read(key: &str, value: &impl Serialize) -> Result<f64> {
    let row = table_row(key, value)?;
    port_call(
        &PortRequest::Read { key: key.into() },
        &PortResponse::Row(Some(row)),
    )
}

fn row_scan(prefix: &str, rows: Vec<TableRow>) -> Result<f64> {
    let prefix = prefix.into();
    port_call(&PortRequest::Scan { prefix }, &PortResponse::Rows(rows))
}

/// Returns the traffic of one router: name of the call, bytes per call, calls per second. Calls
/// between routers count at both ends.
fn traffic(routers: usize) -> Result<Vec<(&'static str, f64, f64)>> {
    let intervals = FleetIntervals::for_routers(routers);
    let members: Vec<_> = (0..routers)
        .map(|index| (vm(index), domain(index)))
        .collect();
    let targets = probe_targets(&vm(0), &domain(0), &members).len() as f64;
    let scale = routers as f64 / TARGET_ROUTERS as f64;
    let engines = (TARGET_ENGINES as f64 * scale).round();
    let probe = peer_call(
        PeerServiceRequest::Probe {
            request: probe_request(),
        },
        PeerServiceResponse::Probe(probe_reply()),
    )?;
    let fetch = peer_call(
        PeerServiceRequest::ConfigsAfter { revision: 1_299 },
        PeerServiceResponse::ConfigsAfter(vec![serde_json::to_string(&delta(1_300))?]),
    )?;
    let leaving = peer_call(
        PeerServiceRequest::Leaving {
            name: vm(1),
            boot: BOOT,
        },
        PeerServiceResponse::Leaving(()),
    )?;
    let entries = (0..routers).map(|index| VmEntry {
        vm: vm(index),
        state: VmState::Live,
    });
    // The request for the VM list is about as small as `PortRequest::Counts`.
    let list = port_call(&PortRequest::Counts, &PortResponse::Vms(entries.collect()))?;
    let rows = (0..routers).map(|index| table_row("vm/vm-000", &registration(index)));
    let orders = (0..engines as usize).map(|_| table_row("order/engine-domain-3-017", &order()));
    let report = EngineReport {
        running: Some(order().target),
        loading: None,
        number: 1_000,
    };
    let read_back = json_size(&report)? + HTTP_HEADERS + PACKET_HEADERS;
    let changes = CHANGES_PER_DAY * scale / DAY_SECONDS;
    let leaves = LEAVES_PER_DAY * scale / DAY_SECONDS;
    let rate_of = |interval: Duration| 1.0 / interval.as_secs_f64();
    Ok(vec![
        ("probes", probe, 2.0 * targets * rate_of(intervals.probe)),
        ("announced revisions", probe, 2.0 * targets * changes),
        ("deltas from peers", fetch, 2.0 * changes),
        (
            "deltas from the table",
            row_read("config/log/000000001300", &delta(1_300))?,
            changes,
        ),
        ("leaving messages", leaving, 2.0 * targets * leaves),
        (
            "configuration head",
            row_read("config/head", &HeadRow { revision: 1_300 })?,
            rate_of(intervals.head),
        ),
        ("VM list", list, rate_of(intervals.list)),
        (
            "registrations",
            row_scan("vm/", rows.collect::<Result<_>>()?)?,
            rate_of(intervals.registrations),
        ),
        (
            "order rows",
            row_scan("order/", orders.collect::<Result<_>>()?)?,
            rate_of(intervals.orders),
        ),
        (
            "read-back of engines",
            read_back,
            engines / routers as f64 * rate_of(intervals.read_back),
        ),
    ])
}

/// Returns the CPU time used by the main thread, which runs everything here.
fn cpu_time() -> Result<Duration> {
    let text = std::fs::read_to_string("/proc/self/schedstat")?;
    let nanos = text
        .split(' ')
        .next()
        .context("/proc/self/schedstat is empty")?
        .parse()?;
    Ok(Duration::from_nanos(nanos))
}

/// Returns the resident memory of this process in bytes.
fn resident_memory() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text
        .split(' ')
        .nth(1)
        .context("/proc/self/statm has no resident size")?
        .parse()?;
    Ok(pages * 4_096.0)
}

/// Returns the CPU seconds of one probe at both ends: call, authentication, encoding and reply.
async fn probe_cpu(routers: usize) -> Result<f64> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let table = Arc::new(Mutex::new(member_table(routers, Instant::now())));
    let server = ProbeServer {
        table: table.clone(),
    };
    let server_task = tokio::spawn(async move {
        let (stream, _) = listener.accept().await?;
        let callee = HolderId::new(vm(1), BOOT);
        let (_, transport) = jasminewall_wire::accept(stream, SECRET, &callee).await?;
        let calls = BaseChannel::with_defaults(transport).execute(server.serve());
        futures_util::StreamExt::for_each_concurrent(calls, 4, |call| call).await;
        anyhow::Ok(())
    });
    let stream = TcpStream::connect(address).await?;
    let caller = HolderId::new(vm(0), BOOT);
    let (_, transport) = jasminewall_wire::connect(stream, SECRET, &caller).await?;
    let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
    let before = cpu_time()?;
    for _ in 0..PROBES {
        let started = Instant::now();
        let reply = client.probe(context::current(), probe_request()).await?;
        black_box(&reply);
        if let Ok(mut table) = table.lock() {
            table.observe_answer(&answer(1), started, Instant::now());
        }
    }
    let used = cpu_time()? - before;
    server_task.abort();
    Ok(used.as_secs_f64() / f64::from(PROBES))
}

/// Returns the CPU seconds per probe round for choosing the routers to probe and the notices to
/// send.
fn round_cpu(routers: usize) -> Result<f64> {
    let now = Instant::now();
    let table = member_table(routers, now);
    let before = cpu_time()?;
    for _ in 0..ROUNDS {
        let views = table.views(now).into_iter();
        let members: Vec<_> = views
            .map(|view| (view.holder.vm, view.failure_domain))
            .collect();
        black_box(probe_targets(&vm(0), &domain(0), &members));
        black_box(table.notices(now, 8));
    }
    Ok((cpu_time()? - before).as_secs_f64() / f64::from(ROUNDS))
}

/// Returns the number of budgets for a number of routers, in proportion to the target size.
fn budget_count(routers: usize) -> usize {
    TARGET_BUDGETS * routers / TARGET_ROUTERS
}

/// Returns a delta with the records of all budgets for a number of routers.
fn budgets_delta(routers: usize) -> ConfigDelta {
    let budget = |index: usize| {
        ConfigChange::Put(ConfigRecord::Budget(BudgetRecord {
            name: format!("budget-{index:06}").into(),
            customer: format!("customer-{:04}", index % 2_400).into(),
        }))
    };
    ConfigDelta {
        revision: 1,
        schema: 2,
        changes: (0..budget_count(routers)).map(budget).collect(),
    }
}

/// Returns the CPU seconds to apply a delta while a request holds the previous configuration, which
/// therefore has to be copied.
fn delta_cpu(routers: usize) -> Result<f64> {
    let mut follower = ConfigFollower::default();
    follower.offer(&serde_json::to_string(&budgets_delta(routers))?)?;
    let texts: Vec<String> = (0..DELTAS)
        .map(|index| serde_json::to_string(&delta(index + 2)))
        .collect::<serde_json::Result<_>>()?;
    let before = cpu_time()?;
    for text in &texts {
        let previous = follower.config().clone();
        follower.offer(text)?;
        black_box(previous);
    }
    Ok((cpu_time()? - before).as_secs_f64() / DELTAS as f64)
}

/// Returns the memory of the records of one router in bytes, as the mean of several copies.
fn record_memory(routers: usize) -> Result<f64> {
    let delta = budgets_delta(routers);
    let copies = TARGET_BUDGETS / budget_count(routers);
    let before = resident_memory()?;
    let mut states = vec![ConfigState::default(); copies];
    for state in &mut states {
        state.apply(&delta)?;
    }
    let used = resident_memory()? - before;
    // Never freed: later measurements would not count memory that they reuse.
    std::mem::forget((states, delta));
    Ok(used / copies as f64)
}

/// Returns the memory of the member table of one router in bytes, as the mean of several copies.
fn member_memory(routers: usize) -> Result<f64> {
    let copies = 30_000 / routers;
    let now = Instant::now();
    let before = resident_memory()?;
    let tables: Vec<_> = (0..copies).map(|_| member_table(routers, now)).collect();
    let used = resident_memory()? - before;
    std::mem::forget(tables);
    Ok(used / copies as f64)
}

async fn measure(routers: usize, members: f64, records: f64) -> Result<CostSample> {
    let delta_seconds = delta_cpu(routers)?;
    let calls = traffic(routers)?;
    let traffic = calls.iter().map(|(_, bytes, rate)| bytes * rate).sum();
    let (_, probe_bytes, probe_rate) = calls[0];
    let mesh_rate = 2.0 * (routers - 1) as f64;
    let mesh_traffic = traffic + probe_bytes * (mesh_rate - probe_rate);
    let probe_cpu = probe_cpu(routers).await?;
    let round_cpu = round_cpu(routers)?;
    // A router bears the cost of one end of each probe that it sends or answers.
    let probe_core = probe_cpu * probe_rate / 2.0 + round_cpu;
    println!(
        "{routers:>3} routers: {traffic:>6.0} B/s (as full mesh {mesh_traffic:>6.0}), probe {:>5.1} us \
         at both ends, round {:>6.1} us, delta {:>8.1} us, member {:>5.0} B, record {:>5.0} B",
        probe_cpu * 1e6,
        round_cpu * 1e6,
        delta_seconds * 1e6,
        members / (routers - 1) as f64,
        records / budget_count(routers) as f64,
    );
    Ok(CostSample {
        routers: routers as f64,
        traffic,
        mesh_traffic,
        probe_core,
        delta_seconds,
        memory: members + records,
    })
}

/// Returns the slope and the intercept of the least-squares line through the samples.
fn fit_line(samples: &[CostSample], value: impl Fn(&CostSample) -> f64) -> (f64, f64) {
    let count = samples.len() as f64;
    let mean_x = samples.iter().map(|sample| sample.routers).sum::<f64>() / count;
    let mean_y = samples.iter().map(&value).sum::<f64>() / count;
    let product = |sample: &CostSample| (sample.routers - mean_x) * (value(sample) - mean_y);
    let square = |sample: &CostSample| (sample.routers - mean_x).powi(2);
    let slope = samples.iter().map(product).sum::<f64>() / samples.iter().map(square).sum::<f64>();
    (slope, mean_y - slope * mean_x)
}

/// Prints the slope of a line and its value at the target size, compared with a limit.
fn print_line(name: &str, unit: &str, limit: Option<f64>, line: (f64, f64)) {
    let (slope, intercept) = line;
    let target = slope * TARGET_ROUTERS as f64 + intercept;
    let comparison = match limit {
        Some(limit) if target <= limit => format!("within {limit}"),
        Some(limit) => format!("OVER {limit}"),
        None => "no separate limit".into(),
    };
    println!(
        "{name:<30} {slope:>14.6} {unit} for each router, {target:>14.4} {unit} at {TARGET_ROUTERS}: {comparison}"
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let mut samples = Vec::new();
    let mut memories = Vec::new();
    for routers in SIZES {
        memories.push((member_memory(routers)?, record_memory(routers)?));
    }
    for (routers, (members, records)) in SIZES.into_iter().zip(memories) {
        samples.push(measure(routers, members, records).await?);
    }
    println!(
        "\ntraffic of one router at {TARGET_ROUTERS} routers, from the sizes of its messages:"
    );
    let mut total = 0.0;
    for (name, bytes, rate) in traffic(TARGET_ROUTERS)? {
        total += bytes * rate;
        println!(
            "  {name:<22} {bytes:>9.0} B x {rate:>8.4}/s = {:>7.1} B/s",
            bytes * rate
        );
    }
    println!("  total {total:.0} B/s\n");
    // Smaller fleets probe as a full mesh and do not show how the ring scales.
    let ring_samples = &samples[2..];
    let line = fit_line(&samples, |sample| sample.mesh_traffic);
    print_line(
        "traffic, probes as full mesh",
        "B/s",
        Some(TRAFFIC_LIMIT),
        line,
    );
    let line = fit_line(ring_samples, |sample| sample.traffic);
    print_line(
        "traffic, probes on the ring",
        "B/s",
        Some(TRAFFIC_LIMIT),
        line,
    );
    let line = fit_line(ring_samples, |sample| sample.probe_core);
    print_line("probes", "core", Some(CORE_LIMIT), line);
    let line = fit_line(&samples, |sample| sample.delta_seconds);
    print_line("one delta", "s", None, line);
    let rate = CHANGES_PER_DAY / DAY_SECONDS;
    let share = (line.0 * rate, line.1 * rate);
    print_line(
        "deltas at the target's rate",
        "core",
        Some(CORE_LIMIT),
        share,
    );
    let line = fit_line(&samples, |sample| sample.memory);
    print_line("members and records", "B", Some(MEMORY_LIMIT), line);
    Ok(())
}

/// Router that answers probes from its member table; other calls get empty replies.
#[derive(Clone)]
struct ProbeServer {
    table: Arc<Mutex<MemberTable>>,
}

impl PeerService for ProbeServer {
    async fn probe(self, _: context::Context, request: ProbeRequest) -> ProbeReply {
        let now = Instant::now();
        if let Ok(mut table) = self.table.lock() {
            table.observe_call(&request.holder, now);
            for notice in &request.notices {
                table.observe_notice(notice, now);
            }
            black_box(table.notices(now, 8));
        }
        probe_reply()
    }

    async fn transfer(self, _: context::Context, _: TransferRequest) -> TransferReply {
        TransferReply {
            tokens: 0,
            remaining: 0,
        }
    }

    async fn close_peer(self, _: context::Context, _: HolderId) -> CloseReply {
        CloseReply {
            received: std::collections::BTreeMap::new(),
        }
    }

    async fn configs_after(self, _: context::Context, _: Revision) -> Vec<String> {
        Vec::new()
    }

    async fn config_part(self, _: context::Context, _: u32) -> Option<String> {
        None
    }

    async fn exchange_crashes(self, _: context::Context, _: Vec<CrashReport>) -> Vec<CrashReport> {
        Vec::new()
    }

    async fn settle(self, _: context::Context, _: SettleRequest) -> bool {
        false
    }

    async fn leaving(self, _: context::Context, _: VmId, _: BootId) {}
}
