//! Runs one case of the review: `stand CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod fleet;
mod http;
mod json;
mod order;
mod poison;
mod prepaid;
mod record;
mod starved;
mod store;
mod stranded;
mod worker;

use std::{
    panic::{self, AssertUnwindSafe},
    path::{Path, PathBuf},
    process::ExitCode,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Answer, record::Record};

/// Longest run of a case.
const TIME_LIMIT: Duration = Duration::from_secs(115);
/// Tokens in an event of a stream.
pub const STRIDE: u64 = 7;
/// `StableWindowMs` of the small sites.
pub const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// What a case needs.
pub struct Stage {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder, removed at the end.
    pub temporary: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// Request of a client.
pub struct Request<'a> {
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// Values of `Token-Count` and `Prompt-Prefix` of a model request.
    pub prompt: Option<(&'a str, &'a str)>,
    pub resume: Option<(u64, &'a str)>,
    pub body: &'a [u8],
    /// Time without a byte after which the client gives up.
    pub gap: Duration,
}

static ADDRESSES: AtomicU64 = AtomicU64::new(2);

/// Loopback address that no other process of a case uses, so that its ports stay free while it is
/// down.
pub fn own_address() -> String {
    let pid = std::process::id();
    let last = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{}.{last}", 1 + pid % 200, 1 + pid / 200 % 200)
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// Sends a request on a new connection. Returns its `Attempt-Id` and the answer.
pub fn send(
    router: std::net::SocketAddr,
    request: &Request<'_>,
    record: &Record,
) -> (String, Answer) {
    let attempt = format!("{:016x}", ATTEMPTS.fetch_add(1, Ordering::Relaxed) + 1);
    let mut text = format!(
        "POST {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer {}\r\nContent-Length: {}\r\nConnection: close\r\n",
        request.path,
        request.deadline_ms,
        request.key,
        request.body.len()
    );
    if let Some((count, prefix)) = request.prompt {
        text += &format!("Model: m\r\nToken-Count: {count}\r\nPrompt-Prefix: {prefix}\r\n");
    }
    if let Some((last, first_attempt)) = request.resume {
        text += &format!("Last-Event-Id: {last}\r\nResumes: {first_attempt}\r\n");
    }
    text += "\r\n";
    let deadline = Instant::now() + Duration::from_millis(request.deadline_ms);
    let answer = http::call(router, text.as_bytes(), request.body, request.gap, deadline);
    record.line(&format!(
        "client {attempt} {} prompt={:?} resume={:?} at {router}: {:?} events={}",
        request.path,
        request.prompt,
        request.resume,
        answer.end,
        answer.events().len()
    ));
    (attempt, answer)
}

/// Configuration with one tenant per entry of `tenants`: name, key and prepaid tokens.
pub fn config(version: u64, tenants: &[(&str, &str, u64)]) -> String {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 attempts: u32,
                 resume: bool,
                 timeout: u32| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Host\":\"shop.example\",\"Prefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":{timeout},\"TargetLatencyMs\":500,\"TargetGapMs\":300,\"Priority\":1,\
             \"Service\":\"{service}\",\"MaxAttempts\":{attempts},\"Anonymous\":false,\
             \"SessionAffinity\":true,\"StreamResume\":{resume}}}"
        )
    };
    let routes = [
        route("draft", "streaming", "llm", 1, false, 12_000),
        route("query", "streaming", "llm", 2, true, 12_000),
        route("order", "non_idempotent", "app", 1, false, 2_000),
        route("read", "safe", "app", 2, false, 2_000),
    ];
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, key, prepaid)| {
            format!("{{\"Name\":\"{name}\",\"ApiKeys\":[\"{key}\"],\"Prepaid\":{prepaid}}}")
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\
         \"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":64,\"KvCapacity\":402228,\
         \"Stride\":{STRIDE}}}}},{{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(record)) = (words.next(), words.next()) else {
        eprintln!("stand CASE RECORD");
        return ExitCode::from(2);
    };
    let root = std::env::current_dir().expect("a current folder");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let stage = Stage {
        root,
        temporary: temporary.clone(),
        record: Record::create(Path::new(&record)),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        println!("the case took too long");
        fleet::kill_all();
        std::process::exit(2);
    });
    let run = || match case.as_str() {
        "stranded" => stranded::run(&stage),
        "order" => order::run(&stage),
        "poison" => poison::run(&stage),
        "starved" => starved::run(&stage),
        "prepaid" => prepaid::run(&stage),
        _ => Verdict::CouldNotRun,
    };
    // A panic means that the case could not run; the routers end with their handles.
    let verdict = panic::catch_unwind(AssertUnwindSafe(run)).unwrap_or(Verdict::CouldNotRun);
    stage
        .record
        .say(&format!("trouble: {}, verdict: {verdict:?}", stage.trouble));
    // `KEEP=1` keeps the logs of the routers.
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("kept {}", temporary.display());
    }
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    })
}
