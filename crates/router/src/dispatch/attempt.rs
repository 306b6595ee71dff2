use std::time::{Duration, Instant};

use {
    axum::{
        body::Body,
        http::{Request, Response},
    },
    hyper::body::Incoming,
    jasminewall_core::{lifecycle::AttemptFailure, record::EndpointRecord},
    tokio::{
        net::TcpStream,
        time::{sleep, timeout},
    },
};

use super::{DispatchJob, share};
use crate::{spend, state::RouterState};

/// Longest time to connect to an endpoint that may have crashed.
const CRASH_CHECK: Duration = Duration::from_millis(500);
/// Time within which several broken connections to one endpoint count as a crash of it.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time that the signs of a crash need to show.
const CRASH_SETTLE: Duration = Duration::from_millis(50);

/// Sends a job to one endpoint and waits for the head of the answer.
pub(super) async fn send(
    state: &RouterState,
    job: &DispatchJob,
    endpoint: &EndpointRecord,
) -> Result<Response<Incoming>, AttemptFailure> {
    let uri = format!("http://{}{}", endpoint.address, job.path);
    let built = Request::builder()
        .method(job.method.clone())
        .uri(uri)
        .body(Body::from(job.body.clone()));
    let Ok(mut outgoing) = built else {
        tracing::error!(endpoint = %endpoint.name, address = %endpoint.address, "the endpoint's address or the path is not a valid URI; correct the declaration");
        return Err(AttemptFailure::ConnectFailed);
    };
    *outgoing.headers_mut() = job.headers.clone();
    spend::record_endpoint(state, &job.request, &endpoint.name);
    let client = state.routing.client(&endpoint.name);
    let limit = head_limit(state, job);
    let failure = match timeout(limit, client.request(outgoing)).await {
        Ok(Ok(response)) => return Ok(response),
        Ok(Err(error)) => {
            tracing::warn!(request = %job.request, endpoint = %endpoint.name, %error, "request to the endpoint failed");
            if error.is_connect() {
                AttemptFailure::ConnectFailed
            } else {
                AttemptFailure::ConnectionLost
            }
        }
        Err(_) => {
            tracing::warn!(request = %job.request, endpoint = %endpoint.name, ?limit, "the connection is silent; it is abandoned for a new one");
            state.routing.abandon_connections(&endpoint.name);
            AttemptFailure::TimedOut
        }
    };
    Err(failure)
}

/// Longest wait for the head of an answer.
///
/// A streamed answer begins at once. Any other answer is sent when it is whole, so that silence
/// shows only late; half of the time that is left remains for a second attempt, if one is allowed.
fn head_limit(state: &RouterState, job: &DispatchJob) -> Duration {
    let left = job.deadline.saturating_duration_since(Instant::now());
    if job.is_stream {
        left.min(state.routing.head_timeout())
    } else if job.route.idempotent {
        left / 2
    } else {
        left
    }
}

/// Notes a broken connection, and counts a crash against the requests when the endpoint crashed.
///
/// An endpoint crashed when it takes no new connection, or when several connections to it broke
/// at once. With `alone`, a break counts as well when no other request is open to contradict it.
pub(super) async fn note_break(
    state: &RouterState,
    endpoint: &EndpointRecord,
    fingerprints: &[u64],
    alone: bool,
) {
    let now = Instant::now();
    let unopposed = {
        let mut inner = state.routing.inner();
        let breaks = inner.breaks.entry(endpoint.name.clone()).or_default();
        breaks.retain(|at| now.saturating_duration_since(*at) < CRASH_WINDOW);
        breaks.push(now);
        let stats = inner.table.get(&endpoint.name);
        stats.is_none_or(|stats| stats.open() == 0)
    };
    // The other connections of a crashed process break within moments, and its port closes.
    sleep(CRASH_SETTLE).await;
    let connected = timeout(CRASH_CHECK, TcpStream::connect(endpoint.address.as_str())).await;
    let refused = !matches!(connected, Ok(Ok(_)));
    let repeated = {
        let inner = state.routing.inner();
        let breaks = inner.breaks.get(&endpoint.name);
        breaks.is_some_and(|breaks| breaks.len() > 1)
    };
    if !(refused || repeated || (alone && unopposed)) {
        return;
    }
    let known: Vec<u64> = fingerprints
        .iter()
        .copied()
        .filter(|one| *one != 0)
        .collect();
    tracing::warn!(endpoint = %endpoint.name, refused, repeated, suspects = ?known, "the endpoint crashed with requests open");
    state.routing.abandon_connections(&endpoint.name);
    state.routing.suspects().record_crash(&known, now);
    share::share(state, &known).await;
}

impl RouterState {
    /// Sets the longest silence of an endpoint before it sends the head of a streamed answer.
    pub fn set_head_timeout(&self, timeout: Duration) {
        self.routing.set_head_timeout(timeout);
    }
}
