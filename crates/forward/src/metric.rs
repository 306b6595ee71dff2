use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use {
    cadence::{Counted, MetricSink, StatsdClient, Timed},
    http::StatusCode,
};

use crate::request::RefusalKind;

/// Prefix of all metric names.
const PREFIX: &str = "jasminewall";
/// Names of all metrics, as listed in `docs/metrics.md`.
pub const METRIC_NAMES: &[&str] = &[
    "answers",
    "refusals",
    "token_asks",
    "endpoint_rejections",
    "endpoint_losses",
    "stream_pauses",
    "restricted_requests",
    "cold_sends",
    "answer_ms",
    "first_event_ms",
];
/// Upper bounds of the latency buckets in ms; they cover the target latencies and deadlines of all
/// routes.
const BUCKETS_MS: [u64; 12] = [
    10, 25, 50, 100, 150, 250, 500, 1_000, 2_000, 4_000, 8_000, 16_000,
];

/// Counters and latency histograms, kept in memory and served as text.
#[derive(Clone)]
pub(crate) struct ForwardMetrics {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<MetricTotals>>,
}

#[derive(Debug, Default)]
struct MetricTotals {
    counters: BTreeMap<String, i64>,
    histograms: BTreeMap<String, LatencyHistogram>,
}

#[derive(Debug, Default)]
struct LatencyHistogram {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

/// Sink that accumulates metrics in memory instead of sending them.
struct TotalSink(Arc<Mutex<MetricTotals>>);

impl MetricSink for TotalSink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        totals.add(metric);
        Ok(metric.len())
    }
}

impl MetricTotals {
    /// Adds one statsd line, `name:value|type` with optional `|#tag:value` parts.
    fn add(&mut self, metric: &str) {
        let Some((name, rest)) = metric.split_once(':') else {
            return;
        };
        let mut fields = rest.split('|');
        let value = fields.next().and_then(|text| text.parse::<i64>().ok());
        let kind = fields.next();
        let tags = fields.find_map(|field| field.strip_prefix('#'));
        let labels = tags.map_or(String::new(), label_text);
        let name = name.replace('.', "_");
        match (kind, value) {
            (Some("c"), Some(value)) => {
                *self.counters.entry(format!("{name}{labels}")).or_default() += value;
            }
            (Some("ms"), Some(value)) => {
                let key = format!("{name}|{labels}");
                let value = u64::try_from(value).unwrap_or_default();
                self.histograms.entry(key).or_default().add(value);
            }
            _ => {}
        }
    }

    fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in &self.counters {
            let _ = writeln!(text, "{name} {value}");
        }
        for (key, histogram) in &self.histograms {
            let (name, labels) = key.split_once('|').unwrap_or((key, ""));
            let inner = labels.trim_matches(|character| character == '{' || character == '}');
            let comma = if inner.is_empty() { "" } else { "," };
            for (bound, count) in BUCKETS_MS.iter().zip(&histogram.buckets) {
                let _ = writeln!(
                    text,
                    "{name}_bucket{{{inner}{comma}le=\"{bound}\"}} {count}"
                );
            }
            let count = histogram.count;
            let _ = writeln!(text, "{name}_bucket{{{inner}{comma}le=\"+Inf\"}} {count}");
            let _ = writeln!(text, "{name}_sum{labels} {}", histogram.sum_ms);
            let _ = writeln!(text, "{name}_count{labels} {count}");
        }
        text
    }
}

fn label_text(tags: &str) -> String {
    let pairs = tags.split(',').filter_map(|tag| tag.split_once(':'));
    let pairs: Vec<String> = pairs
        .map(|(key, value)| format!("{key}=\"{value}\""))
        .collect();
    format!("{{{}}}", pairs.join(","))
}

impl LatencyHistogram {
    fn add(&mut self, value_ms: u64) {
        for (bound, count) in BUCKETS_MS.iter().zip(&mut self.buckets) {
            if value_ms <= *bound {
                *count += 1;
            }
        }
        self.count += 1;
        self.sum_ms += value_ms;
    }
}

impl Default for ForwardMetrics {
    fn default() -> Self {
        let totals = Arc::new(Mutex::new(MetricTotals::default()));
        let client = StatsdClient::from_sink(PREFIX, TotalSink(totals.clone()));
        // Shows that nothing was restricted so far, rather than that nothing is counted.
        let _ = client.count("restricted_requests", 0);
        let _ = client.count("cold_sends", 0);
        for outcome in ["moved", "waited", "lost"] {
            let counter = client.count_with_tags("stream_pauses", 0);
            let _ = counter.with_tag("outcome", outcome).try_send();
        }
        Self {
            client: Arc::new(client),
            totals,
        }
    }
}

impl ForwardMetrics {
    /// All metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> String {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.text()
    }

    /// Counts a response and records its latency since the request arrived.
    pub(crate) fn answered(&self, route: &str, status: StatusCode, arrived: Instant) {
        let class = if status.is_success() { "ok" } else { "failed" };
        let counter = self.client.count_with_tags("answers", 1);
        let _ = counter
            .with_tag("route", route)
            .with_tag("outcome", class)
            .try_send();
        let timer = self.client.time_with_tags("answer_ms", arrived.elapsed());
        let _ = timer.with_tag("route", route).try_send();
    }

    /// Records the time to the first event of a stream.
    pub(crate) fn first_event(&self, route: &str, arrived: Instant) {
        let timer = self
            .client
            .time_with_tags("first_event_ms", arrived.elapsed());
        let _ = timer.with_tag("route", route).try_send();
    }

    /// Counts a refusal by its reason.
    pub(crate) fn refused(&self, kind: RefusalKind) {
        let counter = self.client.count_with_tags("refusals", 1);
        let _ = counter.with_tag("reason", kind.code()).try_send();
    }

    /// Counts a request that lacked tokens of its router, by what came of asking peers.
    pub(crate) fn asked_tokens(&self, outcome: &str) {
        let counter = self.client.count_with_tags("token_asks", 1);
        let _ = counter.with_tag("outcome", outcome).try_send();
    }

    /// Counts a request that an endpoint rejected.
    pub(crate) fn rejected(&self) {
        let _ = self.client.count("endpoint_rejections", 1);
    }

    /// Counts a call to an endpoint whose outcome is unknown.
    pub(crate) fn lost(&self) {
        let _ = self.client.count("endpoint_losses", 1);
    }

    /// Counts a pause of a stream that was long enough to offer the rest to another endpoint, by how it
    /// ended.
    pub(crate) fn paused(&self, outcome: &str) {
        let counter = self.client.count_with_tags("stream_pauses", 1);
        let _ = counter.with_tag("outcome", outcome).try_send();
    }

    /// Counts a request that evacuated failure domains or regions keep from some endpoints.
    pub(crate) fn restricted(&self) {
        let _ = self.client.count("restricted_requests", 1);
    }

    /// Counts a request that is sent to a cold endpoint.
    pub(crate) fn cold_send(&self) {
        let _ = self.client.count("cold_sends", 1);
    }
}
