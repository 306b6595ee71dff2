//! HTTP interface for callers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    axum::{
        Json, Router,
        body::{Body, Bytes},
        extract::{DefaultBodyLimit, Path, State},
        http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header},
        response::{IntoResponse, Response},
        routing::{any, get, post},
    },
    http_body_util::BodyExt,
    jasminewall_core::{
        BudgetId, ConfigRecord, ConfigState, CustomerId, RecordKind, Refusal, RefusalCode,
        RequestId, Tokens, record::RouteRecord, refusal::RunState,
    },
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    tokio::net::TcpListener,
};

use crate::{
    dispatch::{self, DispatchAnswer, DispatchJob},
    spend::{self, HoldRequest, RequestEnd},
    state::RouterState,
};

/// Largest request body, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Serves callers until the router stops and the running requests have ended.
pub(crate) async fn run(state: Arc<RouterState>, listener: TcpListener) {
    let stop = state.drain.clone();
    let app = Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/models", get(models))
        .route("/svc/{route}/{*path}", any(forward))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .fallback(|| async { problem(None, &RefusalCode::UnknownPath.into()) })
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(state);
    let served = axum::serve(listener, app)
        .with_graceful_shutdown(stop.cancelled_owned())
        .await;
    if let Err(error) = served {
        tracing::error!(%error, "the listener for callers failed");
    }
}

/// Renders a refusal as problem details (RFC 9457).
pub(crate) fn problem(request: Option<&RequestId>, refusal: &Refusal) -> Response {
    let code = refusal.code;
    let detail = refusal.note.as_deref().unwrap_or(code.detail());
    let body = json!({
        "type": format!("urn:jasminewall:problem:{}", code.as_str()),
        "title": code.as_str().replace('_', " "), "status": code.status(), "code": code.as_str(),
        "detail": detail, "ran": code.ran(), "charged": refusal.charged, "request": request,
    });
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, body.to_string()).into_response();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(wait) = refusal.retry_after {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(wait.as_secs().max(1)),
        );
    }
    tracing::info!(
        request = request.map_or("none", |id| id.as_str()),
        code = code.as_str(),
        "request refused"
    );
    response
}

async fn ready(State(state): State<Arc<RouterState>>) -> StatusCode {
    if state.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn models(State(state): State<Arc<RouterState>>) -> Json<Value> {
    let config = state.fleet.config();
    let routes = config.records().filter_map(|record| match record {
        ConfigRecord::Route(route) if route.price == 0 => Some(
            json!({"id": route.name, "object": "model", "created": 0, "owned_by": "jasminewall"}),
        ),
        _ => None,
    });
    Json(json!({"object": "list", "data": routes.collect::<Vec<_>>()}))
}

/// A caller's request after authentication.
struct CallerRequest {
    id: RequestId,
    customer: CustomerId,
    budget: BudgetId,
    route: RouteRecord,
}

async fn complete(
    State(state): State<Arc<RouterState>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let id = state.new_request();
    match run_completion(&state, id.clone(), &headers, &body).await {
        Ok(response) => response,
        Err(refusal) => problem(Some(&id), &refusal),
    }
}

async fn run_completion(
    state: &Arc<RouterState>,
    id: RequestId,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Response, Refusal> {
    let invalid = |note: String| Refusal::new(RefusalCode::InvalidRequest).note(note);
    let mut payload: Value = serde_json::from_slice(body)
        .map_err(|error| invalid(format!("The body is not valid JSON: {error}.")))?;
    let model = payload["model"]
        .as_str()
        .ok_or_else(|| invalid("Name the 'model'.".into()))?
        .to_owned();
    let request = authorize(state, id, headers, &model)?;
    let wanted = payload["max_completion_tokens"]
        .as_u64()
        .or_else(|| payload["max_tokens"].as_u64());
    let output = wanted
        .unwrap_or(request.route.max_output)
        .min(request.route.max_output);
    if wanted != Some(output) {
        payload["max_tokens"] = json!(output);
    }
    if payload["stream"].as_bool().unwrap_or(false) {
        payload["stream_options"]["include_usage"] = json!(true);
    }
    let work = body.len() as Tokens + output;
    let body = Bytes::from(payload.to_string());
    let job = job_of(&request, work, Method::POST, "/v1/chat/completions", body);
    let answer = hold_and_execute(state, &request, &job).await?;
    let kind = answer.response.headers().get(header::CONTENT_TYPE);
    if kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream")) {
        let stream = relay_stream(state.clone(), request, answer);
        return Ok(Response::builder()
            .header(header::CONTENT_TYPE, "text/event-stream")
            .body(Body::from_stream(stream))
            .unwrap_or_default());
    }
    let (status, whole) = collect(state, &request, work, answer).await?;
    let charged = usage_of(&whole).unwrap_or(0);
    Ok(answer_with_cost(state, &request, status, whole, charged))
}

/// Holds the worst case and sends the job; frees the hold when the job surely did not run.
async fn hold_and_execute(
    state: &Arc<RouterState>,
    request: &CallerRequest,
    job: &DispatchJob,
) -> Result<DispatchAnswer, Refusal> {
    let hold = HoldRequest {
        request: request.id.clone(),
        customer: request.customer.clone(),
        budget: request.budget.clone(),
        route: request.route.name.clone(),
        amount: job.work,
    };
    spend::hold(state, &hold).await?;
    let answer = dispatch::execute(state, job).await;
    if let Err(refusal) = &answer {
        let (charged, end) = match refusal.code.ran() {
            RunState::No => (0, RequestEnd::NotRun),
            RunState::Yes | RunState::Unknown => (job.work, RequestEnd::Unknown),
        };
        spend::settle(state, &request.id, charged, end);
    }
    answer
}

/// Reads the whole body of an answer.
async fn collect(
    state: &RouterState,
    request: &CallerRequest,
    work: Tokens,
    answer: DispatchAnswer,
) -> Result<(StatusCode, Bytes), Refusal> {
    let status = answer.response.status();
    match answer.response.into_body().collect().await {
        Ok(whole) => {
            answer.guard.complete();
            Ok((status, whole.to_bytes()))
        }
        Err(_) => {
            answer.guard.fail();
            spend::settle(state, &request.id, work, RequestEnd::Unknown);
            Err(RefusalCode::OutcomeUnknown.into())
        }
    }
}

/// Passes events on and charges the usage that the engine reports at the end.
fn relay_stream(
    state: Arc<RouterState>,
    request: CallerRequest,
    answer: DispatchAnswer,
) -> impl futures_util::Stream<Item = Result<Bytes, hyper::Error>> {
    async_stream::stream! {
        let DispatchAnswer { endpoint, response, mut guard } = answer;
        let mut body = response.into_body();
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { break };
            let Ok(data) = frame.into_data() else { continue };
            guard.progress();
            text.push_str(&String::from_utf8_lossy(&data));
            yield Ok(data);
        }
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let usage = events.filter_map(|event| usage_of(event.as_bytes())).next_back();
        let end = if usage.is_some() { RequestEnd::Ran } else { RequestEnd::Unknown };
        tracing::info!(request = %request.id, %endpoint, "stream ended");
        spend::settle(&state, &request.id, usage.unwrap_or(Tokens::MAX), end);
    }
}

fn usage_of(body: &[u8]) -> Option<Tokens> {
    serde_json::from_slice::<Value>(body).ok()?["usage"]["total_tokens"].as_u64()
}

fn answer_with_cost(
    state: &RouterState,
    request: &CallerRequest,
    status: StatusCode,
    body: Bytes,
    tokens: Tokens,
) -> Response {
    let charge = spend::settle(state, &request.id, tokens, RequestEnd::Ran);
    let charged = charge.map_or(0, |charge| charge.tokens);
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-jasminewall-request", request.id.as_str())
        .header("x-jasminewall-charged", charged)
        .header(
            "x-jasminewall-budget-left",
            spend::spendable(state, &request.budget),
        )
        .body(Body::from(body))
        .unwrap_or_default()
}

fn job_of(
    request: &CallerRequest,
    work: Tokens,
    method: Method,
    path: &str,
    body: Bytes,
) -> DispatchJob {
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(id) = HeaderValue::from_str(&request.id) {
        headers.insert("x-jasminewall-request", id);
    }
    DispatchJob {
        request: request.id.clone(),
        customer: request.customer.clone(),
        route: request.route.clone(),
        class: request.route.class,
        work,
        deadline: Instant::now() + Duration::from_millis(request.route.time_limit_ms),
        fingerprint: 0,
        method,
        path: path.to_owned(),
        headers,
        body,
    }
}

async fn forward(
    State(state): State<Arc<RouterState>>,
    Path((route, _)): Path<(String, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let id = state.new_request();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let path = path
        .strip_prefix(&format!("/svc/{route}"))
        .unwrap_or("/")
        .to_owned();
    match run_service(&state, id.clone(), &route, &method, &path, &headers, body).await {
        Ok(response) => response,
        Err(refusal) => problem(Some(&id), &refusal),
    }
}

async fn run_service(
    state: &Arc<RouterState>,
    id: RequestId,
    route: &str,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response, Refusal> {
    let request = authorize(state, id, headers, route)?;
    if !request.route.idempotent {
        return Err(RefusalCode::ClaimsUnavailable.into());
    }
    let price = request.route.price;
    let job = job_of(&request, price, method.clone(), path, body);
    let answer = hold_and_execute(state, &request, &job).await?;
    let (status, whole) = collect(state, &request, price, answer).await?;
    Ok(answer_with_cost(state, &request, status, whole, price))
}

/// Finds the customer, budget and route of a request.
fn authorize(
    state: &RouterState,
    id: RequestId,
    headers: &HeaderMap,
    route: &str,
) -> Result<CallerRequest, Refusal> {
    let config = state.fleet.config();
    if config.revision() == 0 || state.refuses_work() {
        return Err(RefusalCode::NotReady.into());
    }
    let customer = authenticate(&config, headers).ok_or(RefusalCode::Unauthenticated)?;
    let budget = budget_of(&config, &customer, headers)?;
    let Some(ConfigRecord::Route(route)) = config.get(RecordKind::Route, route) else {
        return Err(RefusalCode::UnknownRoute.into());
    };
    Ok(CallerRequest {
        id,
        customer,
        budget,
        route: route.clone(),
    })
}

fn authenticate(config: &ConfigState, headers: &HeaderMap) -> Option<CustomerId> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let hash = hex::encode(Sha256::digest(value.strip_prefix("Bearer ")?.as_bytes()));
    config.records().find_map(|record| match record {
        ConfigRecord::Customer(customer) if customer.key_sha256.iter().any(|key| *key == hash) => {
            Some(customer.name.clone())
        }
        _ => None,
    })
}

fn budget_of(
    config: &ConfigState,
    customer: &CustomerId,
    headers: &HeaderMap,
) -> Result<BudgetId, Refusal> {
    let named = headers
        .get("x-jasminewall-budget")
        .and_then(|name| name.to_str().ok());
    let mut owned = config.records().filter_map(|record| match record {
        ConfigRecord::Budget(budget) if budget.customer == *customer => Some(&budget.name),
        _ => None,
    });
    match named {
        Some(name) => owned
            .find(|budget| *budget == name)
            .cloned()
            .ok_or_else(|| RefusalCode::BudgetForbidden.into()),
        None => match (owned.next(), owned.next()) {
            (Some(only), None) => Ok(only.clone()),
            _ => Err(RefusalCode::BudgetRequired.into()),
        },
    }
}
