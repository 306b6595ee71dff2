//! Stand-in for workers: model workers that write streams, and plain services.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    fleet::unix_ms,
    http::{self, Request, Server},
    json::Json,
    store::Store,
};

/// Tokens in one event of a stream.
pub const STRIDE: u64 = 5;
/// Time between two events of a stream.
pub const EVENT_TIME: Duration = Duration::from_millis(8);

/// Registration of a worker.
#[derive(Clone)]
pub struct Registration {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub version: String,
    pub slots: u64,
    pub born: u64,
}

impl Registration {
    pub fn new(id: &str, service: &str, address: SocketAddr, zone: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            slots: 128,
            born: unix_ms(),
        }
    }

    /// Registers the worker in the store, as it does at its start. Its heartbeats change nothing but
    /// `Sequence` after that and are left out.
    pub fn register(&self, store: &Store) {
        let value = Json::object([
            ("Service", Json::text(&self.service)),
            ("Address", Json::text(self.address.to_string())),
            ("Zone", Json::text(&self.zone)),
            ("Version", Json::text(&self.version)),
            ("Slots", Json::number(self.slots)),
            ("State", Json::text("ready")),
            ("ColdRemainingMs", Json::number(0)),
            ("Sequence", Json::number(1)),
            ("born", Json::number(self.born)),
        ]);
        store.put("servers", &self.id, Some(&value));
    }
}

/// Output tokens that a request asks for at most.
pub fn output_tokens(request: &Request) -> u64 {
    let counts = request.head.get("token-count").unwrap_or("0,0");
    let (_, output) = counts.split_once(',').unwrap_or(("0", "0"));
    output.trim().parse().unwrap_or(0)
}

pub fn attempt_id(request: &Request) -> String {
    request.head.get("attempt-id").unwrap_or("").to_owned()
}

/// Answers a request for another worker with 421; `None` if it is for this one.
pub fn reject_stranger(
    id: &str,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<io::Result<bool>> {
    let expected = request.head.get("expect-instance");
    if expected.is_none_or(|expected| expected == id) {
        return None;
    }
    let attempt = attempt_id(request);
    let headers = [("Attempt-Id", attempt.as_str()), ("Instance-Id", id)];
    Some(http::respond(stream, 421, &headers, b""))
}

/// Head of a successful stream.
pub fn begin_stream(request: &Request, seal: &str, stream: &mut TcpStream) -> io::Result<()> {
    let attempt = attempt_id(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {seal}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())
}

pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}

/// Writes a whole stream, from the event after `Last-Event-Id`. `text` is the data of an event.
pub fn write_stream(
    request: &Request,
    seal: &str,
    stream: &mut TcpStream,
    text: impl Fn(u64) -> String,
) -> io::Result<bool> {
    write_slow_stream(request, seal, stream, EVENT_TIME, text)
}

/// Like [`write_stream`], with a time between two events.
pub fn write_slow_stream(
    request: &Request,
    seal: &str,
    stream: &mut TcpStream,
    event_time: Duration,
    text: impl Fn(u64) -> String,
) -> io::Result<bool> {
    let events = output_tokens(request).div_ceil(STRIDE);
    let last = request.head.get("last-event-id");
    let last: u64 = last.and_then(|id| id.parse().ok()).unwrap_or(0);
    begin_stream(request, seal, stream)?;
    for number in last + 1..=events {
        thread::sleep(event_time);
        let event = format!("id: {number}\ndata: {}\n\n", text(number));
        write_chunk(stream, event.as_bytes())?;
    }
    write_chunk(stream, b"")?;
    Ok(true)
}

/// Starts a worker whose requests `run` answers.
pub fn start<F>(registration: &Registration, run: F) -> io::Result<Arc<Server>>
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(registration.address)?;
    let id = registration.id.clone();
    let run = Arc::new(run);
    http::serve(listener, move |request, stream| {
        match reject_stranger(&id, request, stream) {
            Some(answer) => answer,
            None => run(request, stream),
        }
    })
}

/// Configuration with a route of each kind: streams that may be resumed (`/stitch/`), requests that
/// may be repeated (`/lookup/`) and requests that may not (`/issue/`).
pub fn config(version: u64, prepaid: u64) -> Json {
    let route = |name: &str, kind: &str, service: &str, attempts: u64, timeout: u64, aim: u64| {
        let mut fields = vec![
            ("Name", Json::text(format!("r-{name}"))),
            ("Host", Json::text(HOST)),
            ("Prefix", Json::text(format!("/{name}/"))),
            ("Kind", Json::text(kind)),
            ("TimeoutMs", Json::number(timeout)),
            ("TargetLatencyMs", Json::number(aim)),
            ("Priority", Json::number(1)),
            ("Service", Json::text(service)),
            ("MaxAttempts", Json::number(attempts)),
            ("Anonymous", Json::Bool(false)),
        ];
        if kind == "streaming" {
            fields.push(("SessionAffinity", Json::Bool(true)));
            fields.push(("StreamResume", Json::Bool(true)));
            fields.push(("TargetGapMs", Json::number(300)));
        }
        let fields = fields.into_iter();
        Json::Object(
            fields
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
        )
    };
    let routes = vec![
        route("stitch", "streaming", "appraiser-model", 2, 12_000, 400),
        route("issue", "non_idempotent", "registry", 1, 4_000, 300),
        route("lookup", "safe", "registry", 2, 4_000, 300),
    ];
    let engine = Json::object([
        ("Slots", Json::number(128)),
        ("KvCapacity", Json::number(734_104)),
        ("Stride", Json::number(STRIDE)),
    ]);
    let service = |name: &str, connections: u64| {
        vec![
            ("Name".to_owned(), Json::text(name)),
            ("HealthPath".to_owned(), Json::text("/healthz")),
            ("MaxConnections".to_owned(), Json::number(connections)),
        ]
    };
    let mut model = service("appraiser-model", 620);
    model.push(("Engine".to_owned(), engine));
    let services = vec![Json::Object(model), Json::Object(service("registry", 110))];
    let limits = Json::object([
        ("MaxHeaderBytes", Json::number(16_384)),
        ("MaxBodyBytes", Json::number(4_194_304)),
        ("HeaderTimeoutMs", Json::number(3_000)),
        ("IdleTimeoutMs", Json::number(15_000)),
    ]);
    let tenant = Json::object([
        ("Name", Json::text("shop")),
        ("ApiKeys", Json::List(vec![Json::text(KEY)])),
        ("Priority", Json::number(1)),
        ("Prepaid", Json::number(prepaid)),
    ]);
    Json::object([
        ("Version", Json::number(version)),
        ("Routes", Json::List(routes)),
        ("Services", Json::List(services)),
        ("Limits", limits),
        ("Tenants", Json::List(vec![tenant])),
    ])
}

pub const HOST: &str = "bags.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Request for a stream.
pub fn stream_request(attempt: &str, input: u64, output: u64, extra: &[(&str, &str)]) -> Vec<u8> {
    let counts = format!("{input},{output}");
    let own: u64 = attempt
        .bytes()
        .fold(7, |hash, byte| hash * 31 % 1_000_003 + u64::from(byte));
    let prefix = format!("{own:x}:{input}");
    let bearer = format!("Bearer {KEY}");
    let mut headers = vec![
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Model", "m"),
        ("Token-Count", counts.as_str()),
        ("Prompt-Prefix", prefix.as_str()),
        ("Deadline-Ms", "12000"),
        ("Authorization", bearer.as_str()),
    ];
    headers.extend_from_slice(extra);
    let body = format!("the prompt of {attempt}");
    http::format_request("POST", "/stitch/2f", &headers, body.as_bytes())
}

/// Request for a plain service.
pub fn plain_request(method: &str, path: &str, attempt: &str, body: &[u8]) -> Vec<u8> {
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", "4000"),
        ("Authorization", bearer.as_str()),
    ];
    http::format_request(method, path, &headers, body)
}
