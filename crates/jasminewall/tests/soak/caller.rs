//! Callers that note what they were told.

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

/// Prompt tokens of a request to an engine.
pub(crate) const INPUT: u64 = 120;
/// Tokens of one event.
pub(crate) const STRIDE: u64 = 7;
/// Time that a caller waits.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Order,
    Read,
    Draft,
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

    pub(crate) fn may_repeat(self) -> bool {
        matches!(self, Self::Read | Self::Query)
    }
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub(crate) struct CallerView {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) customer: &'static str,
    pub(crate) sent: Instant,
    pub(crate) status: Option<StatusCode>,
    /// Id that the answer names.
    pub(crate) answered_id: Option<String>,
    pub(crate) body: String,
    /// Whether the answer came to its proper end.
    pub(crate) is_whole: bool,
}

impl CallerView {
    /// Numbers of the events that came, in order.
    pub(crate) fn events(&self) -> Vec<u64> {
        let whole = self.body.matches("\n\n").count();
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        let numbers = lines.filter_map(|number| number.parse().ok());
        numbers.take(whole).collect()
    }

    pub(crate) fn is_complete_stream(&self) -> bool {
        self.events().iter().copied().eq(1..=EVENT_COUNT)
    }
}

/// One caller with connections that it uses again.
pub(crate) struct SoakCaller {
    pub(crate) name: usize,
    pub(crate) customer: &'static str,
    pub(crate) fronts: Vec<SocketAddr>,
    pub(crate) views: Arc<Mutex<Vec<CallerView>>>,
    pub(crate) stopped: Arc<AtomicBool>,
}

impl SoakCaller {
    /// Sends requests one after the other until the soak ends.
    pub(crate) async fn run(self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let client: Client<HttpConnector, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let mut number = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            number += 1;
            let kind = *RequestKind::ALL.choose(&mut rng).expect("there are kinds");
            let front = *self.fronts.choose(&mut rng).expect("there are routers");
            let mut view = CallerView {
                id: format!("r{}-{number}", self.name),
                kind,
                customer: self.customer,
                sent: Instant::now(),
                status: None,
                answered_id: None,
                body: String::new(),
                is_whole: false,
            };
            let patience = if rng.random_bool(0.05) {
                Duration::from_millis(30)
            } else {
                PATIENCE
            };
            let deadline = view.sent + patience;
            // Without an answer, the view says so.
            let _ = timeout_at(deadline.into(), ask(&client, front, &mut view)).await;
            self.views
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(view);
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
        }
    }
}

async fn ask(
    client: &Client<HttpConnector, Full<Bytes>>,
    front: SocketAddr,
    view: &mut CallerView,
) -> Option<()> {
    let mut request = Request::post(format!("http://{front}{}", view.kind.path()))
        .header("host", "shop.example")
        .header("attempt-id", &view.id)
        .header("deadline-ms", PATIENCE.as_millis().to_string())
        .header("authorization", format!("Bearer key-{}", view.customer));
    if view.kind.is_stream() {
        let count = format!("{INPUT},{}", EVENT_COUNT * STRIDE);
        let parts = format!("5c:20,9a:{}", INPUT - 20);
        request = request
            .header("token-count", count)
            .header("prompt-prefix", parts);
    }
    let request = request
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("a request");
    let response = client.request(request).await.ok()?;
    view.status = Some(response.status());
    let id = response.headers().get("attempt-id");
    view.answered_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let bytes = frame.ok()?.into_data().unwrap_or_default();
        view.body.push_str(&String::from_utf8_lossy(&bytes));
    }
    view.is_whole = true;
    Some(())
}
