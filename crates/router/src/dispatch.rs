//! Sends requests to endpoints: admission, choice, retries and observation.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
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
        choice::{EndpointPool, EndpointTable, WorkId, WorkNeed},
        record::{EndpointRecord, RouteRecord},
    },
    jasminewall_wire::SuspectReport,
};

use crate::{fleet, spend, state::RouterState};

/// What the router knows of endpoints.
pub(crate) struct RoutingTable {
    client: Client<HttpConnector, Body>,
    endpoints: Mutex<EndpointTable>,
}

impl RoutingTable {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            endpoints: Mutex::default(),
        }
    }

    fn endpoints(&self) -> MutexGuard<'_, EndpointTable> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
    work: WorkId,
}

impl WorkGuard {
    /// Notes that the endpoint sent part of the answer.
    pub(crate) fn progress(&mut self) {
        let mut table = self.state.routing.endpoints();
        let _first = table.progress(&self.endpoint, self.work, 1, Instant::now());
    }

    /// Notes that the whole answer arrived.
    pub(crate) fn complete(self) {}

    /// Notes that the endpoint broke off.
    pub(crate) fn fail(self) {
        let mut table = self.state.routing.endpoints();
        table.fail(&self.endpoint, self.work, Instant::now());
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let mut table = self.state.routing.endpoints();
        table.finish(&self.endpoint, self.work, None, Instant::now());
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
    let (endpoint, work) = pick(state, job)?;
    let mut outgoing = Request::builder()
        .method(job.method.clone())
        .uri(format!("http://{}{}", endpoint.address, job.path))
        .body(Body::from(job.body.clone()))
        .map_err(|_| RefusalCode::InvalidRequest)?;
    *outgoing.headers_mut() = job.headers.clone();
    spend::note_endpoint(state, &job.request, &endpoint.name);
    let guard = WorkGuard {
        state: state.clone(),
        endpoint: endpoint.name.clone(),
        work,
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
fn pick(state: &RouterState, job: &DispatchJob) -> Result<(EndpointRecord, WorkId), Refusal> {
    let config = state.fleet.config();
    let records: HashMap<&EndpointId, &EndpointRecord> = job
        .route
        .endpoints
        .iter()
        .filter_map(|name| match config.get(RecordKind::Endpoint, name) {
            Some(ConfigRecord::Endpoint(record)) if fleet::takes_work(state, record) => {
                Some((name, record))
            }
            _ => None,
        })
        .collect();
    let members = records
        .iter()
        .map(|(name, record)| ((*name).clone(), record.slots));
    let mut pool = EndpointPool::new(members);
    let need = WorkNeed {
        class: job.class,
        work: job.work,
        prompt: job.body.len() as Tokens,
        prefix: None,
        isolate: false,
        avoid: &[],
    };
    let now = Instant::now();
    let mut table = state.routing.endpoints();
    let choice = table
        .choose(&mut pool, &need, |_| true, now, &mut rand::rng())
        .ok_or(RefusalCode::NoEndpoint)?;
    tracing::info!(
        request = %job.request,
        customer = %job.customer,
        route = %job.route.name,
        class = ?job.class,
        fingerprint = job.fingerprint,
        time_left = ?job.deadline.saturating_duration_since(now),
        revision = config.revision(),
        choice = %choice.endpoint,
        runner_up = choice.runner_up.as_deref().unwrap_or("none"),
        reason = choice.reason.as_str(),
        "endpoint chosen"
    );
    let record = records
        .get(&choice.endpoint)
        .ok_or(RefusalCode::NoEndpoint)?;
    let work = table.begin(&choice.endpoint, &need, now);
    Ok(((*record).clone(), work))
}
