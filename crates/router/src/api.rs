//! HTTP API for callers.

use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use {
    axum::{
        Json, Router,
        body::Body,
        extract::{Request, State},
        http::{HeaderValue, StatusCode, header},
        middleware::{self, Next},
        response::Response,
        routing::{any, get, post},
    },
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    jasminewall_caller::{CallerMemory, CallerSlot, CallerStream},
    jasminewall_core::{
        ConfigRecord, RecordKind, Refusal, RefusalCode, RequestId, record::EndpointKind,
    },
    serde_json::{Value, json},
    tokio::net::{TcpListener, TcpStream},
    tokio_util::task::TaskTracker,
    tower::ServiceExt,
};

use crate::state::RouterState;

mod auth;
mod completions;
mod execute;
mod once;
mod problems;
#[cfg(test)]
mod problems_test;
mod relay;
mod resume;
mod services;
mod sse;
#[cfg(test)]
mod sse_test;
mod tickets;

/// Timeout for connecting to an engine or another router. Without it, callers would hang during a
/// network partition.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Read buffer of a connection of a caller or to an endpoint. Bounds the size of headers that are
/// refused without being parsed, and the bytes of a response that wait for a slow caller. With 256 KB,
/// hundreds of connections exceeded the memory of a small machine.
pub(crate) const READ_BUFFER_BYTES: usize = 64 << 10;
/// Receive buffer of a connection to an endpoint: left to the system, it grows to megabytes for a
/// response that its caller does not read.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
/// Header count limit of hyper. The settings have a lower limit, whose refusals carry problem
/// details.
const MAX_PARSED_HEADERS: usize = 512;

/// State shared by the handlers of the caller API.
pub(crate) struct CallerApi {
    state: Arc<RouterState>,
    /// Opens a new connection for each call. Used where a pooled connection may be dead.
    client: Client<HttpConnector, Body>,
    /// Tasks that keep running after their caller disconnects, until the request is charged.
    tracker: TaskTracker,
    auth: auth::AuthTable,
    claims: once::ClaimTable,
    tickets: tickets::TicketTable,
    open_requests: AtomicU64,
    /// Bodies and connections of callers.
    memory: Arc<CallerMemory>,
}

impl CallerApi {
    fn new(state: Arc<RouterState>) -> Self {
        let memory = CallerMemory::detached(state.setting.limits.memory_mb);
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_recv_buffer_size(Some(RECEIVE_BUFFER_BYTES));
        Self {
            state,
            client: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .http1_max_buf_size(READ_BUFFER_BYTES)
                .build(connector),
            tracker: TaskTracker::new(),
            auth: auth::AuthTable::default(),
            claims: once::ClaimTable::default(),
            tickets: tickets::TicketTable::default(),
            open_requests: AtomicU64::new(0),
            memory,
        }
    }

    /// Runs a request in its own task, so that it is charged even if the caller disconnects.
    async fn run_detached<F>(self: Arc<Self>, id: RequestId, future: F) -> Response
    where
        F: Future<Output = Result<Response, Refusal>> + Send + 'static,
    {
        let guard = OpenRequestGuard::new(self.clone());
        let task = self.tracker.spawn(async move {
            let _guard = guard;
            future.await
        });
        let result = task.await;
        let refusal = match result {
            Ok(Ok(response)) => return response,
            Ok(Err(refusal)) => refusal,
            Err(error) => {
                tracing::error!(request = %id, %error, "request task failed");
                RefusalCode::InternalError.into()
            }
        };
        self.refuse(Some(&id), &refusal)
    }

    /// Logs, counts and renders a refusal.
    fn refuse(&self, request: Option<&RequestId>, refusal: &Refusal) -> Response {
        tracing::info!(
            request = request.map_or("none", |id| id.as_str()),
            code = refusal.code.as_str(),
            charged = refusal.charged,
            "request refused"
        );
        self.state.metrics.count_refusal(refusal.code.as_str());
        problems::render(request, refusal)
    }
}

/// Counts a request as open until its response is complete or its stream has started.
struct OpenRequestGuard {
    api: Arc<CallerApi>,
}

impl OpenRequestGuard {
    fn new(api: Arc<CallerApi>) -> Self {
        let open_requests = api.open_requests.fetch_add(1, Ordering::Relaxed) + 1;
        api.state.metrics.set_open_requests(open_requests);
        Self { api }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let open_requests = self.api.open_requests.fetch_sub(1, Ordering::Relaxed) - 1;
        self.api.state.metrics.set_open_requests(open_requests);
    }
}

/// Serves callers until the router stops, then waits for the running requests to end.
pub(crate) async fn run(state: Arc<RouterState>, listener: TcpListener) {
    let api = Arc::new(CallerApi::new(state.clone()));
    let app = routes(api.clone());
    let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(state.setting.limits.header_timeout)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAX_PARSED_HEADERS);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.drain.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => match api.memory.admit() {
                Some(slot) => serve_connection(&builder, &graceful, &app, &api, stream, slot),
                None => api.memory.refuse(stream),
            },
            Err(error) => {
                // `accept` fails for all callers when file descriptors run out. The pause lets
                // running requests release some.
                tracing::warn!(%error, "cannot accept a connection");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
    api.tracker.close();
    api.tracker.wait().await;
}

fn serve_connection(
    builder: &auto::Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    app: &Router,
    api: &Arc<CallerApi>,
    stream: TcpStream,
    slot: Arc<CallerSlot>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set TCP_NODELAY");
    }
    // The handlers find the slot among the extensions of the request.
    let service = {
        let (app, slot) = (app.clone(), slot.clone());
        service_fn(move |mut request: hyper::Request<Incoming>| {
            slot.end_head();
            request.extensions_mut().insert(slot.clone());
            app.clone().oneshot(request.map(Body::new))
        })
    };
    let stream = CallerStream::new(stream, slot.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection.into_owned());
    let api = api.clone();
    tokio::spawn(async move {
        let result = tokio::select! {
            // An evicted connection must not begin a request.
            biased;
            _ = slot.evicted() => {
                api.state.metrics.count_refusal("connection_evicted");
                Ok(())
            }
            result = connection => result,
        };
        if let Err(error) = result {
            tracing::debug!(%error, "caller connection failed");
        }
        slot.release();
    });
}

fn routes(api: Arc<CallerApi>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/models", get(models))
        .route("/v1/tickets", post(issue_ticket))
        .route("/svc/{*path}", any(forward))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .route("/version", get(version))
        .fallback(unknown_path)
        .method_not_allowed_fallback(unknown_path)
        .layer(middleware::from_fn_with_state(api.clone(), check_head))
        .layer(middleware::from_fn(guard_response))
        .with_state(api)
}

/// Tells the slot of the connection when the response ends, and announces that the connection closes.
async fn guard_response(request: Request, next: Next) -> Response {
    let slot = request.extensions().get::<Arc<CallerSlot>>().cloned();
    let mut response = next.run(request).await;
    let Some(slot) = slot else { return response };
    if slot.is_closing() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| Body::new(slot.guard(body)))
}

/// Refuses new work while the router is draining, and requests with too many or too large headers.
async fn check_head(State(api): State<Arc<CallerApi>>, request: Request, next: Next) -> Response {
    let path = request.uri().path();
    let is_work = path.starts_with("/v1/") || path.starts_with("/svc/");
    if is_work && api.state.refuses_requests() {
        return api.refuse(None, &RefusalCode::Draining.into());
    }
    let limits = &api.state.setting.limits;
    let headers = request.headers();
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if headers.len() > limits.header_count || bytes > limits.header_bytes {
        return api.refuse(None, &RefusalCode::HeadersTooLarge.into());
    }
    next.run(request).await
}

async fn unknown_path(State(api): State<Arc<CallerApi>>) -> Response {
    api.refuse(None, &RefusalCode::UnknownPath.into())
}

async fn ready(State(api): State<Arc<CallerApi>>) -> StatusCode {
    if api.state.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn version(State(api): State<Arc<CallerApi>>) -> Json<Value> {
    let holder = &api.state.holder;
    Json(json!({
        "version": env!("CARGO_PKG_VERSION"),
        "vm": holder.vm,
        "boot": format!("{:016x}", holder.boot),
        "revision": api.state.fleet.config().revision(),
    }))
}

async fn models(State(api): State<Arc<CallerApi>>, request: Request) -> Response {
    let config = api.state.fleet.config();
    if let Err(refusal) = api.auth.authenticate(&config, request.headers()) {
        return api.refuse(None, &refusal);
    }
    let routes = config.of_kind(RecordKind::Route).filter_map(|record| match record {
        ConfigRecord::Route(route) if auth::runs_kind(&config, route, EndpointKind::ModelEngine) => {
            Some(json!({"id": route.name, "object": "model", "created": 0, "owned_by": "jasminewall"}))
        }
        _ => None,
    });
    let list = json!({"object": "list", "data": routes.collect::<Vec<_>>()});
    axum::response::IntoResponse::into_response(Json(list))
}

async fn complete(State(api): State<Arc<CallerApi>>, request: Request) -> Response {
    let id = api.state.new_request_id();
    let future = completions::run(api.clone(), id.clone(), Instant::now(), request);
    api.run_detached(id, future).await
}

async fn forward(State(api): State<Arc<CallerApi>>, request: Request) -> Response {
    let id = api.state.new_request_id();
    let future = services::run(api.clone(), id.clone(), Instant::now(), request);
    api.run_detached(id, future).await
}

async fn issue_ticket(State(api): State<Arc<CallerApi>>, request: Request) -> Response {
    let id = api.state.new_request_id();
    let future = tickets::issue(api.clone(), id.clone(), request);
    api.run_detached(id, future).await
}
