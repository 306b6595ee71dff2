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

/// First status that HTTP does not define. The HTTP client rejects those below 100 only.
const STATUS_END: u16 = 600;
/// Timeout for connecting to an endpoint that may have crashed.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which several broken connections to an endpoint count as a crash.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time that a crashing endpoint needs to close its port and its other connections.
const CRASH_SETTLE_TIME: Duration = Duration::from_millis(50);

/// Sends a job to one endpoint and waits for the response head.
pub(super) async fn send(
    state: &RouterState,
    job: &DispatchJob,
    endpoint: &EndpointRecord,
) -> Result<Response<Incoming>, AttemptFailure> {
    let uri = format!("http://{}{}", endpoint.address, job.path);
    let request = Request::builder()
        .method(job.method.clone())
        .uri(uri)
        .body(Body::from(job.body.clone()));
    let Ok(mut outgoing) = request else {
        tracing::error!(endpoint = %endpoint.name, address = %endpoint.address, "the endpoint's address or the path is not a valid URI; correct the declaration");
        return Err(AttemptFailure::ConnectFailed);
    };
    *outgoing.headers_mut() = job.headers.clone();
    spend::record_endpoint(state, &job.request, &endpoint.name);
    let client = state.routing.client(&endpoint.name);
    let limit = head_limit(state, job);
    let failure = match timeout(limit, client.request(outgoing)).await {
        Ok(Ok(response)) if response.status().as_u16() < STATUS_END => return Ok(response),
        Ok(Ok(response)) => {
            let status = response.status().as_u16();
            tracing::warn!(request = %job.request, endpoint = %endpoint.name, status, "the status of the response does not exist");
            AttemptFailure::InvalidResponse
        }
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

/// Returns the timeout for the response head.
///
/// A streamed response begins at once. Any other response is sent when it is complete, so that a
/// dead connection is detected only late. If a retry is allowed, half of the remaining time is
/// reserved for it.
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

/// Records a broken connection. If the endpoint crashed, counts the crash against the fingerprints
/// of the affected requests.
///
/// An endpoint counts as crashed if it accepts no new connection, or if several connections to it
/// broke at once. With `count_single`, a single broken connection is enough if no other request is
/// open at the endpoint.
pub(super) async fn handle_disconnect(
    state: &RouterState,
    endpoint: &EndpointRecord,
    fingerprints: &[u64],
    count_single: bool,
) {
    let now = Instant::now();
    let no_other_open = {
        let mut routing = state.routing.lock();
        let disconnects = routing
            .disconnects
            .entry(endpoint.name.clone())
            .or_default();
        disconnects.retain(|at| now.saturating_duration_since(*at) < CRASH_WINDOW);
        disconnects.push(now);
        let stats = routing.table.get(&endpoint.name);
        stats.is_none_or(|stats| stats.open() == 0)
    };
    // The other connections of a crashed process break shortly afterwards, and its port closes.
    sleep(CRASH_SETTLE_TIME).await;
    let probe = timeout(
        CRASH_PROBE_TIMEOUT,
        TcpStream::connect(endpoint.address.as_str()),
    )
    .await;
    let refused = !matches!(probe, Ok(Ok(_)));
    let repeated = {
        let routing = state.routing.lock();
        let disconnects = routing.disconnects.get(&endpoint.name);
        disconnects.is_some_and(|disconnects| disconnects.len() > 1)
    };
    if !(refused || repeated || (count_single && no_other_open)) {
        return;
    }
    let known: Vec<u64> = fingerprints
        .iter()
        .copied()
        .filter(|fingerprint| *fingerprint != 0)
        .collect();
    tracing::warn!(endpoint = %endpoint.name, refused, repeated, suspects = ?known, "the endpoint crashed with requests open");
    state.routing.abandon_connections(&endpoint.name);
    state.routing.crash_counts().record_crash(&known, now);
    share::share_counts(state, &known).await;
}

impl RouterState {
    /// Sets the timeout for the head of a streamed response.
    pub fn set_head_timeout(&self, timeout: Duration) {
        self.routing.set_head_timeout(timeout);
    }
}
