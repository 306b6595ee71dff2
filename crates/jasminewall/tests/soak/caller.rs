//! Callers that record the responses to their requests.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use {
    axum::body::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    tokio::time::timeout_at,
};

use crate::standin::EVENT_COUNT;

/// Prompt tokens of each request to an engine.
pub(crate) const PROMPT_TOKENS: u64 = 120;
/// Generated tokens per event.
pub(crate) const TOKENS_PER_EVENT: u64 = 7;
/// Time limit of a request.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Kind of a request; each kind has a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Request without streaming that must run at most once.
    Order,
    /// Request without streaming that is safe to run again.
    Read,
    /// Stream that must run at most once.
    Draft,
    /// Stream that may be resumed or run again.
    Query,
}

impl RequestKind {
    const ALL: [Self; 4] = [Self::Order, Self::Read, Self::Draft, Self::Query];

    fn path(self) -> &'static str {
        match self {
            Self::Order => "/order/1",
            Self::Read => "/read/1",
            Self::Draft => "/draft/1",
            Self::Query => "/query/1",
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Query)
    }

    pub(crate) fn may_retry(self) -> bool {
        matches!(self, Self::Read | Self::Query)
    }
}

/// Request as its caller observed it.
#[derive(Clone, Debug)]
pub(crate) struct RequestObservation {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) customer: &'static str,
    pub(crate) sent_at: Instant,
    pub(crate) status: Option<StatusCode>,
    /// Request id in the response.
    pub(crate) response_id: Option<String>,
    pub(crate) body: String,
    /// Whether the response body ended without an error.
    pub(crate) is_complete: bool,
}

impl RequestObservation {
    /// Returns the ids of the complete events in the body, in order.
    pub(crate) fn events(&self) -> Vec<u64> {
        let complete_events = self.body.matches("\n\n").count();
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        let ids = lines.filter_map(|id| id.parse().ok());
        ids.take(complete_events).collect()
    }

    pub(crate) fn has_all_events(&self) -> bool {
        self.events().iter().copied().eq(1..=EVENT_COUNT)
    }
}

/// Caller that reuses its connections.
pub(crate) struct SoakCaller {
    pub(crate) index: usize,
    pub(crate) customer: &'static str,
    pub(crate) routers: Vec<SocketAddr>,
    pub(crate) observations: Arc<Mutex<Vec<RequestObservation>>>,
    pub(crate) stopped: Arc<AtomicBool>,
}

impl SoakCaller {
    /// Sends requests one after the other until `stopped` is set.
    pub(crate) async fn run(self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let client: Client<HttpConnector, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let mut serial = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            serial += 1;
            let kind = *RequestKind::ALL.choose(&mut rng).expect("there are kinds");
            let router = *self.routers.choose(&mut rng).expect("there are routers");
            let mut observation = RequestObservation {
                id: format!("r{}-{serial}", self.index),
                kind,
                customer: self.customer,
                sent_at: Instant::now(),
                status: None,
                response_id: None,
                body: String::new(),
                is_complete: false,
            };
            let timeout = if rng.random_bool(0.05) {
                Duration::from_millis(30)
            } else {
                CALLER_TIMEOUT
            };
            let deadline = observation.sent_at + timeout;
            // Without a response in time, the observation keeps its initial values.
            let _ = timeout_at(
                deadline.into(),
                send_request(&client, router, &mut observation),
            )
            .await;
            self.observations
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(observation);
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
        }
    }
}

/// Sends a request and records the response. Returns `None` if the connection fails.
async fn send_request(
    client: &Client<HttpConnector, Full<Bytes>>,
    router: SocketAddr,
    observation: &mut RequestObservation,
) -> Option<()> {
    let mut request = Request::post(format!("http://{router}{}", observation.kind.path()))
        .header("host", "shop.example")
        .header("attempt-id", &observation.id)
        .header("deadline-ms", CALLER_TIMEOUT.as_millis().to_string())
        .header(
            "authorization",
            format!("Bearer key-{}", observation.customer),
        );
    if observation.kind.is_stream() {
        let token_count = format!("{PROMPT_TOKENS},{}", EVENT_COUNT * TOKENS_PER_EVENT);
        let prefix = format!("5c:20,9a:{}", PROMPT_TOKENS - 20);
        request = request
            .header("token-count", token_count)
            .header("prompt-prefix", prefix);
    }
    let request = request
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("a request");
    let response = client.request(request).await.ok()?;
    observation.status = Some(response.status());
    let id = response.headers().get("attempt-id");
    observation.response_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let bytes = frame.ok()?.into_data().unwrap_or_default();
        observation.body.push_str(&String::from_utf8_lossy(&bytes));
    }
    observation.is_complete = true;
    Some(())
}
