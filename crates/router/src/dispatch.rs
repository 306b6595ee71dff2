//! Sends requests to endpoints: admission, choice, retries and observation.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use {
    axum::{
        body::{Body, Bytes},
        http::{HeaderMap, Method, Request, Response},
    },
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jasminewall_core::{
        ConfigRecord, CustomerId, EndpointId, RecordKind, Refusal, RefusalCode, RequestId, Tokens,
        admission::WorkClass,
        choice::{EndpointView, choose},
        record::{EndpointRecord, RouteRecord},
    },
    jasminewall_wire::SuspectReport,
};

use crate::{fleet, spend, state::RouterState};

/// What the router knows of endpoints.
pub(crate) struct RoutingTable {
    client: Client<HttpConnector, Body>,
    outstanding: Mutex<HashMap<EndpointId, Tokens>>,
}

impl RoutingTable {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            outstanding: Mutex::default(),
        }
    }

    fn add(&self, endpoint: &EndpointId, work: Tokens) {
        let mut outstanding = self
            .outstanding
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *outstanding.entry(endpoint.clone()).or_default() += work;
    }

    fn remove(&self, endpoint: &EndpointId, work: Tokens) {
        let mut outstanding = self
            .outstanding
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = outstanding.entry(endpoint.clone()).or_default();
        *entry = entry.saturating_sub(work);
    }

    fn of(&self, endpoint: &EndpointId) -> Tokens {
        let outstanding = self
            .outstanding
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        outstanding.get(endpoint).copied().unwrap_or_default()
    }
}

/// Request that is ready for an endpoint: authenticated, and its tokens held.
#[derive(Clone, Debug)]
pub(crate) struct DispatchJob {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// Customer that sent it.
    pub(crate) customer: CustomerId,
    /// Route that serves it.
    pub(crate) route: RouteRecord,
    /// Class of work.
    pub(crate) class: WorkClass,
    /// Worst case in tokens.
    pub(crate) work: Tokens,
    /// Time by which the answer must be whole.
    pub(crate) deadline: Instant,
    /// Hash of customer, route and body.
    pub(crate) fingerprint: u64,
    /// Method at the endpoint.
    pub(crate) method: Method,
    /// Path and query at the endpoint.
    pub(crate) path: String,
    /// Headers for the endpoint.
    pub(crate) headers: HeaderMap,
    /// Body for the endpoint.
    pub(crate) body: Bytes,
}

/// Head of an endpoint's answer, with the guard that counts the work until the body ends.
pub(crate) struct DispatchAnswer {
    /// Endpoint that answers.
    pub(crate) endpoint: EndpointId,
    /// Head and body of the answer.
    pub(crate) response: Response<Incoming>,
    /// Outstanding work; drop it or call one of its methods when the body has ended.
    pub(crate) guard: WorkGuard,
}

/// Counts a request as outstanding at an endpoint until it ends.
pub(crate) struct WorkGuard {
    state: Arc<RouterState>,
    endpoint: EndpointId,
    work: Tokens,
}

impl WorkGuard {
    /// Notes that the endpoint sent part of the answer.
    pub(crate) fn progress(&mut self) {}

    /// Notes that the whole answer arrived.
    pub(crate) fn complete(self) {}

    /// Notes that the endpoint broke off.
    pub(crate) fn fail(self) {}
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.state.routing.remove(&self.endpoint, self.work);
    }
}

/// Sends a job to an endpoint of its route and waits for the head of the answer.
///
/// # Errors
///
/// A refusal whose code says whether the job ran.
pub(crate) async fn execute(
    state: &Arc<RouterState>,
    job: &DispatchJob,
) -> Result<DispatchAnswer, Refusal> {
    let endpoint = pick(state, job)?;
    let mut outgoing = Request::builder()
        .method(job.method.clone())
        .uri(format!("http://{}{}", endpoint.address, job.path))
        .body(Body::from(job.body.clone()))
        .map_err(|_| RefusalCode::InvalidRequest)?;
    *outgoing.headers_mut() = job.headers.clone();
    spend::note_endpoint(state, &job.request, &endpoint.name);
    state.routing.add(&endpoint.name, job.work);
    let guard = WorkGuard {
        state: state.clone(),
        endpoint: endpoint.name.clone(),
        work: job.work,
    };
    match state.routing.client.request(outgoing).await {
        Ok(response) => Ok(DispatchAnswer {
            endpoint: endpoint.name,
            response,
            guard,
        }),
        Err(error) => {
            tracing::warn!(request = %job.request, endpoint = %endpoint.name, %error, "request to the endpoint failed");
            let code = if error.is_connect() {
                RefusalCode::EndpointUnreachable
            } else {
                RefusalCode::OutcomeUnknown
            };
            Err(code.into())
        }
    }
}

/// Merges crash counts from a peer and returns this router's own.
pub(crate) fn merge_suspects(
    _state: &RouterState,
    _reports: &[SuspectReport],
) -> Vec<SuspectReport> {
    Vec::new()
}

/// Chooses an endpoint of a route and logs the decision.
fn pick(state: &RouterState, job: &DispatchJob) -> Result<EndpointRecord, Refusal> {
    let config = state.fleet.config();
    let records: Vec<&EndpointRecord> = job
        .route
        .endpoints
        .iter()
        .filter_map(|name| match config.get(RecordKind::Endpoint, name) {
            Some(ConfigRecord::Endpoint(record)) if fleet::takes_work(state, record) => {
                Some(record)
            }
            _ => None,
        })
        .collect();
    let views: Vec<EndpointView> = records
        .iter()
        .map(|record| EndpointView {
            endpoint: record.name.clone(),
            outstanding: state.routing.of(&record.name),
        })
        .collect();
    let choice = choose(&views, &mut rand::rng()).ok_or(RefusalCode::NoEndpoint)?;
    tracing::info!(
        request = %job.request,
        customer = %job.customer,
        route = %job.route.name,
        class = ?job.class,
        fingerprint = job.fingerprint,
        time_left = ?job.deadline.saturating_duration_since(Instant::now()),
        revision = config.revision(),
        choice = %choice.endpoint,
        runner_up = choice.runner_up.as_deref().unwrap_or("none"),
        reason = "least outstanding of two",
        "endpoint chosen"
    );
    let record = records
        .into_iter()
        .find(|record| record.name == choice.endpoint);
    record
        .cloned()
        .ok_or_else(|| RefusalCode::NoEndpoint.into())
}
