//! Runs one job at an endpoint and buffers its response.

use std::{sync::Arc, time::Duration};

use {
    axum::{
        body::{Body, Bytes},
        http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header, request::Parts},
        response::Response,
    },
    jasminewall_caller::{BodyError, CallerSlot},
    jasminewall_core::{Refusal, RefusalCode, RequestId, Tokens, refusal::RunState},
    serde::Deserialize,
    tokio::time::Instant as TokioInstant,
    xxhash_rust::xxh3::Xxh3,
};

use super::{CallerApi, auth::RequestContext};
use crate::{
    dispatch::{self, DispatchJob, DispatchedJob},
    spend::{self, ChargeOutcome, HoldRequest},
};

/// Time after the deadline at which a dispatch that has not returned is abandoned.
const DISPATCH_GRACE: Duration = Duration::from_millis(500);
/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are set anew for each hop.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
    "content-length",
];
/// Prefix of the router's own headers.
const ROUTER_HEADER_PREFIX: &str = "x-jasminewall-";

/// Complete response of an endpoint, already charged.
#[derive(Clone, Debug)]
pub(super) struct BufferedResponse {
    pub(super) request: RequestId,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) charged: Tokens,
    /// Whether the endpoint reported that it did not run the request.
    pub(super) not_run: bool,
}

impl BufferedResponse {
    /// Builds the response for the caller, with the router's own headers.
    pub(super) fn into_response(self, api: &CallerApi, context: &RequestContext) -> Response {
        let mut response = Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&self.request) {
            headers.insert("x-jasminewall-request", id);
        }
        headers.insert("x-jasminewall-charged", HeaderValue::from(self.charged));
        let left = spend::spendable(&api.state, &context.budget);
        headers.insert("x-jasminewall-budget-left", HeaderValue::from(left));
        response
    }
}

/// How a buffered response is charged.
#[derive(Clone, Copy, Debug)]
pub(super) enum ResponsePrice {
    /// The usage that the engine reports.
    Usage,
    /// A fixed price for each successful call.
    Call(Tokens),
}

/// Fields of a response body that the router reads.
#[derive(Default, Deserialize)]
struct ResponseFields {
    #[serde(default)]
    id: Option<serde_json::Value>,
    #[serde(default)]
    usage: Option<UsageField>,
    #[serde(default)]
    error: Option<ErrorField>,
}

#[derive(Deserialize)]
struct UsageField {
    #[serde(default)]
    total_tokens: Option<Tokens>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ErrorField {
    Object { code: Option<serde_json::Value> },
    Other(serde::de::IgnoredAny),
}

/// Returns the total token usage that a response body reports, if any.
pub(super) fn parse_usage(body: &[u8]) -> Option<Tokens> {
    let fields: ResponseFields = serde_json::from_slice(body).ok()?;
    fields.usage?.total_tokens
}

/// Returns whether `id` is a request id of the fleet, but not that of `request`.
pub(super) fn is_other_request(request: &RequestId, id: &str) -> bool {
    id != request.as_str() && id.starts_with("jw-")
}

/// Slot of the connection of a request.
pub(super) fn slot_of(parts: &Parts) -> Result<Arc<CallerSlot>, Refusal> {
    let slot = parts.extensions.get::<Arc<CallerSlot>>();
    Ok(slot.ok_or(RefusalCode::InternalError)?.clone())
}

/// Reads a request body within the limits of the settings and the memory for bodies.
pub(super) async fn read_body(
    api: &CallerApi,
    parts: &Parts,
    body: Body,
) -> Result<Bytes, Refusal> {
    let limits = &api.state.setting.limits;
    let slot = slot_of(parts)?;
    let read = api.memory.read_body(body, limits.body_bytes, &slot);
    match tokio::time::timeout(limits.body_timeout, read).await {
        Ok(Ok(bytes)) => {
            slot.begin();
            Ok(bytes)
        }
        Ok(Err(BodyError::TooLarge)) => Err(RefusalCode::BodyTooLarge.into()),
        Ok(Err(BodyError::Broken)) => Err(Refusal::new(RefusalCode::InvalidRequest)
            .note("The request body ended early; send all of it.")),
        Ok(Err(BodyError::MemoryFull)) => Err(RefusalCode::BodyMemoryFull.into()),
        Ok(Err(BodyError::Stalled)) => Err(RefusalCode::RequestTimeout.into()),
        Err(_) => {
            slot.close_after_response();
            Err(RefusalCode::RequestTimeout.into())
        }
    }
}

/// Copies the headers, except hop-by-hop headers, the router's own headers and `authorization`.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut copied = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_dropped = HOP_BY_HOP_HEADERS.contains(&text)
            || text.starts_with(ROUTER_HEADER_PREFIX)
            || name == header::AUTHORIZATION
            || connection_headers.contains(name);
        if !is_dropped {
            copied.append(name.clone(), value.clone());
        }
    }
    copied
}

/// Builds the job of a request. `headers` are sent to the endpoint; `bodies` are the body as
/// received and the body to send.
pub(super) fn build_job(
    api: &CallerApi,
    context: &RequestContext,
    held_tokens: Tokens,
    target: (Method, String),
    mut headers: HeaderMap,
    bodies: (&[u8], Bytes),
) -> DispatchJob {
    let (received_body, body) = bodies;
    let (method, path) = target;
    for (name, value) in [
        ("x-jasminewall-request", context.id.to_string()),
        ("x-jasminewall-holder", api.state.holder.to_string()),
        ("x-jasminewall-budget", context.budget.to_string()),
    ] {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    DispatchJob {
        request: context.id.clone(),
        customer: context.customer.clone(),
        route: context.route.clone(),
        class: context.class,
        is_stream: false,
        held_tokens,
        deadline: context.deadline,
        fingerprint: fingerprint(context, received_body),
        method,
        path,
        headers,
        body,
    }
}

/// Hashes customer, route and body, each followed by a byte that no name contains.
fn fingerprint(context: &RequestContext, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        context.customer.as_bytes(),
        context.route.name.as_bytes(),
        body,
    ] {
        hash.update(part);
        hash.update(&[0xff]);
    }
    hash.digest()
}

/// Places a hold for the worst-case charge of a job.
pub(super) async fn hold(
    api: &CallerApi,
    context: &RequestContext,
    job: &DispatchJob,
) -> Result<(), Refusal> {
    let hold = HoldRequest {
        request: context.id.clone(),
        customer: context.customer.clone(),
        budget: context.budget.clone(),
        route: context.route.name.clone(),
        amount: job.held_tokens,
    };
    spend::hold(&api.state, &hold).await
}

/// Settles a hold and records the charge in the metrics. Returns the charge.
pub(super) fn settle(
    api: &CallerApi,
    context: &RequestContext,
    tokens: Tokens,
    outcome: ChargeOutcome,
) -> Tokens {
    let charge = spend::settle(&api.state, &context.id, tokens, outcome);
    let charged = charge.map_or(0, |charge| charge.tokens);
    let metrics = &api.state.metrics;
    metrics.count_request(&context.route.name, charged);
    metrics.record_duration(&context.route.name, context.received_at.elapsed());
    charged
}

/// Settles the hold of a failed request and adds the charge to its refusal.
pub(super) fn settle_failed(
    api: &CallerApi,
    context: &RequestContext,
    held_tokens: Tokens,
    refusal: Refusal,
) -> Refusal {
    let (tokens, outcome) = match refusal.code.ran() {
        RunState::No => (0, ChargeOutcome::NotRun),
        // Without reported usage, the request is not charged.
        RunState::Yes => (0, ChargeOutcome::Ran),
        RunState::Unknown => (held_tokens, ChargeOutcome::Unknown),
    };
    let charged = settle(api, context, tokens, outcome);
    refusal.charged(charged)
}

/// Dispatches a job whose tokens are held. Settles the hold if that fails.
pub(super) async fn send_held(
    api: &CallerApi,
    context: &RequestContext,
    job: &DispatchJob,
) -> Result<DispatchedJob, Refusal> {
    let deadline = TokioInstant::from_std(job.deadline) + DISPATCH_GRACE;
    let result = tokio::time::timeout_at(deadline, dispatch::execute(&api.state, job)).await;
    let dispatched = result.unwrap_or_else(|_| Err(RefusalCode::AnswerTimeout.into()));
    let metrics = &api.state.metrics;
    match dispatched {
        Ok(dispatched) => {
            metrics.record_first_byte(&context.route.name, context.received_at.elapsed());
            Ok(dispatched)
        }
        Err(refusal) => Err(settle_failed(api, context, job.held_tokens, refusal)),
    }
}

/// Reads, validates and charges the complete response to a dispatched job.
pub(super) async fn collect_response(
    api: &CallerApi,
    context: &RequestContext,
    job: &DispatchJob,
    dispatched: DispatchedJob,
    price: ResponsePrice,
) -> Result<BufferedResponse, Refusal> {
    let DispatchedJob {
        response, guard, ..
    } = dispatched;
    let (parts, body) = response.into_parts();
    let deadline = TokioInstant::from_std(job.deadline);
    let limit = context.route.answer_limit_bytes;
    let collected = api
        .memory
        .read_response(body, limit, &context.slot, job.deadline);
    let refusal = match tokio::time::timeout_at(deadline, collected).await {
        Ok(Ok(body)) => {
            guard.complete();
            return check_response(
                api,
                context,
                job,
                (parts.status, &parts.headers, body),
                price,
            );
        }
        Ok(Err(BodyError::MemoryFull | BodyError::Stalled)) => {
            // The endpoint is not to blame: callers do not read their responses.
            tracing::warn!(request = %context.id, "no memory for the response");
            guard.complete();
            RefusalCode::OutcomeUnknown
        }
        Ok(Err(BodyError::TooLarge)) => {
            guard.complete();
            let refusal = Refusal::new(RefusalCode::AnswerTooLarge);
            let (tokens, outcome) = match price {
                ResponsePrice::Call(price) => (price, ChargeOutcome::Ran),
                ResponsePrice::Usage => (job.held_tokens, ChargeOutcome::Unknown),
            };
            return Err(refusal.charged(settle(api, context, tokens, outcome)));
        }
        Ok(Err(BodyError::Broken)) => {
            guard.fail();
            RefusalCode::OutcomeUnknown
        }
        Err(_) => {
            guard.fail();
            RefusalCode::AnswerTimeout
        }
    };
    Err(settle_failed(api, context, job.held_tokens, refusal.into()))
}

/// Validates and charges a response. Withholds one that is invalid or belongs to another request.
fn check_response(
    api: &CallerApi,
    context: &RequestContext,
    job: &DispatchJob,
    response: (StatusCode, &HeaderMap, Bytes),
    price: ResponsePrice,
) -> Result<BufferedResponse, Refusal> {
    let (status, headers, body) = response;
    let fields = serde_json::from_slice::<ResponseFields>(&body);
    let invalid = || RefusalCode::AnswerInvalid.into();
    let is_valid =
        fields.is_ok() || matches!(price, ResponsePrice::Call(_)) || !status.is_success();
    let fields = fields.unwrap_or_default();
    let response_id = headers.get("x-jasminewall-request");
    let mismatched = response_id.is_some_and(|id| id.as_bytes() != context.id.as_bytes())
        || (matches!(price, ResponsePrice::Usage)
            && fields
                .id
                .as_ref()
                .and_then(serde_json::Value::as_str)
                .is_some_and(|id| is_other_request(&context.id, id)));
    if mismatched || !is_valid {
        tracing::warn!(request = %context.id, mismatched, "response withheld; it is invalid or belongs to another request");
        return Err(settle_failed(api, context, job.held_tokens, invalid()));
    }
    let usage = fields.usage.and_then(|usage| usage.total_tokens);
    let not_run = !status.is_success()
        && matches!(&fields.error, Some(ErrorField::Object { code: Some(code) }) if code == "not_run");
    let (tokens, outcome) = match (status.is_success(), price, usage) {
        (true, ResponsePrice::Call(price), _) => (price, ChargeOutcome::Ran),
        (_, _, Some(usage)) => (usage, ChargeOutcome::Ran),
        // The engine ran the request but reported no usage.
        (true, ResponsePrice::Usage, None) => (job.held_tokens, ChargeOutcome::Unknown),
        (false, _, None) if not_run => (0, ChargeOutcome::NotRun),
        (false, _, None) => (0, ChargeOutcome::Ran),
    };
    Ok(BufferedResponse {
        request: context.id.clone(),
        status,
        headers: end_to_end_headers(headers),
        body,
        charged: settle(api, context, tokens, outcome),
        not_run,
    })
}

/// Places the hold of a job, dispatches it and buffers its response.
pub(super) async fn run_buffered(
    api: &Arc<CallerApi>,
    context: &RequestContext,
    job: &DispatchJob,
    price: ResponsePrice,
) -> Result<BufferedResponse, Refusal> {
    hold(api, context, job).await?;
    run_held(api, context, job, price).await
}

/// Dispatches a job whose tokens are held, and buffers its response.
pub(super) async fn run_held(
    api: &Arc<CallerApi>,
    context: &RequestContext,
    job: &DispatchJob,
    price: ResponsePrice,
) -> Result<BufferedResponse, Refusal> {
    let dispatched = send_held(api, context, job).await?;
    collect_response(api, context, job, dispatched, price).await
}
