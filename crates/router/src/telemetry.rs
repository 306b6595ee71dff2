//! Logs and metrics.

use std::{
    io::{BufWriter, IsTerminal},
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use {
    anyhow::{Result, anyhow},
    cadence::{
        Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
    },
    jasminewall_setting::LogFormat,
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::EnvFilter,
};

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "jasminewall";
/// Names of all metrics, as listed in `docs/metrics.md`.
pub const METRIC_NAMES: &[&str] = &[
    "requests",
    "refusals",
    "charged_tokens",
    "open_requests",
    "first_byte",
    "answer",
];
/// Maximum number of queued metrics. Further metrics are dropped, so that a slow socket delays no
/// request.
const MAX_QUEUED_METRICS: usize = 4_096;

/// Starts logging to standard error. `RUST_LOG` takes precedence over `filter`.
///
/// # Errors
///
/// When the filter is not valid or logging was started before.
pub fn start(format: LogFormat, filter: &str) -> Result<()> {
    let filter = match EnvFilter::try_from_default_env() {
        Ok(filter) => filter,
        Err(_) => EnvFilter::try_new(filter)
            .map_err(|error| anyhow!("log level '{filter}': {error}; write warn or info"))?,
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    let started = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|error| anyhow!("cannot start logging: {error}"))
}

/// Maximum number of queued log lines. Further lines are dropped and counted, so that a stalled log
/// reader delays no request. At 300 bytes a line, the queue takes 1.2 MB.
const MAX_QUEUED_LINES: usize = 4_096;
/// Buffer that combines queued lines into one write to standard output. Holds about thirty lines.
const STDOUT_BUFFER_BYTES: usize = 8 << 10;

/// Starts logging to standard output without ever blocking on its reader. Dropping the guard writes
/// the last lines.
///
/// # Errors
///
/// When the filter is not valid or logging was started before.
pub fn start_stdout(format: LogFormat, filter: &str) -> Result<LogGuard> {
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| anyhow!("log level '{filter}': {error}; write warn or info"))?;
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(BufWriter::with_capacity(
            STDOUT_BUFFER_BYTES,
            std::io::stdout(),
        ));
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_target(false)
        .with_writer(writer);
    let started = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .try_init(),
    };
    started.map_err(|error| anyhow!("cannot start logging: {error}"))?;
    Ok(LogGuard {
        dropped,
        _worker: worker,
    })
}

/// Keeps the log running. Writes the last lines when dropped.
pub struct LogGuard {
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

impl LogGuard {
    /// Returns the number of lines that were dropped because the log reader was too slow.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Metrics of one router, sent over UDP in the statsd format when an address is set.
pub(crate) struct RouterMetrics {
    client: StatsdClient,
}

impl RouterMetrics {
    /// Opens the socket. Without an address, or if that fails, metrics are dropped.
    pub(crate) fn new(vm: &str, address: Option<SocketAddr>) -> Self {
        let client = address.and_then(|address| match open_client(vm, address) {
            Ok(client) => Some(client),
            Err(error) => {
                tracing::warn!(%error, %address, "cannot open the metrics socket; metrics are dropped");
                None
            }
        });
        let client =
            client.unwrap_or_else(|| StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
        Self { client }
    }

    /// Counts a settled request of a route and its charge.
    pub(crate) fn count_request(&self, route: &str, tokens: u64) {
        let _ = self
            .client
            .count_with_tags("requests", 1)
            .with_tag("route", route)
            .try_send();
        let tokens = i64::try_from(tokens).unwrap_or(i64::MAX);
        let _ = self
            .client
            .count_with_tags("charged_tokens", tokens)
            .with_tag("route", route)
            .try_send();
    }

    /// Counts a refusal by its code.
    pub(crate) fn count_refusal(&self, code: &str) {
        let _ = self
            .client
            .count_with_tags("refusals", 1)
            .with_tag("code", code)
            .try_send();
    }

    /// Reports the number of open requests.
    pub(crate) fn set_open_requests(&self, requests: u64) {
        let _ = self.client.gauge("open_requests", requests);
    }

    /// Reports the time from the arrival of a request to the head of its response.
    pub(crate) fn record_first_byte(&self, route: &str, elapsed: Duration) {
        let _ = self
            .client
            .time_with_tags("first_byte", elapsed)
            .with_tag("route", route)
            .try_send();
    }

    /// Reports the time from the arrival of a request to the end of its response.
    pub(crate) fn record_duration(&self, route: &str, elapsed: Duration) {
        let _ = self
            .client
            .time_with_tags("answer", elapsed)
            .with_tag("route", route)
            .try_send();
    }
}

fn open_client(vm: &str, address: SocketAddr) -> Result<StatsdClient> {
    let local = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    // A buffering sink would delay the metrics of an idle router until its buffer is full.
    let sink = UdpMetricSink::from(address, socket)?;
    let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::builder(METRIC_PREFIX, sink)
        .with_tag("vm", vm)
        .build())
}
