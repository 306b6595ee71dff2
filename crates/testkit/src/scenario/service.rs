//! Plain service that records each order that it runs, and can break off the response afterwards.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU32, Ordering},
};

use {
    axum::{
        Router,
        body::{Body, Bytes},
        extract::State,
        http::Uri,
        response::{IntoResponse, Response},
    },
    smol_str::SmolStr,
    tokio::net::TcpListener,
};

use crate::invariant::EndpointRun;

/// Plain service of a scenario; clones share its records.
#[derive(Clone, Default)]
pub(super) struct RecordingService {
    name: SmolStr,
    runs: Arc<Mutex<Vec<EndpointRun>>>,
    /// Number of responses still to be broken off.
    responses_to_lose: Arc<AtomicU32>,
}

impl RecordingService {
    pub(super) fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            ..Self::default()
        }
    }

    /// Returns the executions so far, in order.
    pub(super) fn runs(&self) -> Vec<EndpointRun> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }

    /// Breaks off the response of one more order after it ran.
    pub(super) fn lose_response(&self) {
        self.responses_to_lose.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let app = Router::new().fallback(run).with_state(self);
        axum::serve(listener, app).await
    }
}

async fn run(State(service): State<RecordingService>, uri: Uri, body: Bytes) -> Response {
    let work = format!("order {} of {}", uri.path(), String::from_utf8_lossy(&body));
    let run = EndpointRun {
        endpoint: service.name.clone(),
        work: work.clone(),
        idempotent: false,
    };
    let mut runs = service.runs.lock().unwrap_or_else(PoisonError::into_inner);
    runs.push(run);
    drop(runs);
    let decrement = |left: u32| left.checked_sub(1);
    let decremented =
        service
            .responses_to_lose
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
    if decremented.is_ok() {
        let error = std::io::Error::other("the response is lost");
        let body = futures_util::stream::once(async { Err::<Bytes, _>(error) });
        return Body::from_stream(body).into_response();
    }
    work.into_response()
}
