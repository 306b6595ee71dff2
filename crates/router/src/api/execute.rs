//! Runs one job at an endpoint and reads its whole answer.

use std::{sync::Arc, time::Duration};

use {
    axum::{
        body::{Body, Bytes},
        http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
        response::Response,
    },
    http_body_util::{BodyExt, LengthLimitError, Limited},
    jasminewall_core::{Refusal, RefusalCode, RequestId, Tokens, refusal::RunState},
    serde::Deserialize,
    tokio::time::Instant as TokioInstant,
    xxhash_rust::xxh3::Xxh3,
};

use super::{CallerApi, auth::CallerRequest};
use crate::{
    dispatch::{self, DispatchAnswer, DispatchJob},
    spend::{self, ChargeOutcome, HoldRequest},
};

/// Time beyond the deadline after which a dispatch that does not return is abandoned.
const DISPATCH_GRACE: Duration = Duration::from_millis(500);
/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those set anew.
const HOP_HEADERS: &[&str] = &[
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
const OWN_PREFIX: &str = "x-jasminewall-";

/// Whole answer of an endpoint, charged.
#[derive(Clone, Debug)]
pub(super) struct WholeAnswer {
    pub(super) request: RequestId,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) charged: Tokens,
    /// Whether the endpoint itself said that it did not run the request.
    pub(super) not_run: bool,
}

impl WholeAnswer {
    /// Response for the caller, with the headers of the router.
    pub(super) fn into_response(self, api: &CallerApi, caller: &CallerRequest) -> Response {
        let mut response = Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&self.request) {
            headers.insert("x-jasminewall-request", id);
        }
        headers.insert("x-jasminewall-charged", HeaderValue::from(self.charged));
        let left = spend::spendable(&api.state, &caller.budget);
        headers.insert("x-jasminewall-budget-left", HeaderValue::from(left));
        response
    }
}

/// How the charge of a whole answer is found.
#[derive(Clone, Copy, Debug)]
pub(super) enum AnswerPrice {
    /// Usage that the engine reports.
    Usage,
    /// Fixed price of a successful call.
    Call(Tokens),
}

/// What the router reads of an answer's body.
#[derive(Default, Deserialize)]
struct AnswerHead {
    #[serde(default)]
    id: Option<serde_json::Value>,
    #[serde(default)]
    usage: Option<UsageHead>,
    #[serde(default)]
    error: Option<ErrorHead>,
}

#[derive(Deserialize)]
struct UsageHead {
    #[serde(default)]
    total_tokens: Option<Tokens>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ErrorHead {
    Object { code: Option<serde_json::Value> },
    Other(serde::de::IgnoredAny),
}

/// Total tokens that a body reports, if any.
pub(super) fn usage_of(body: &[u8]) -> Option<Tokens> {
    let head: AnswerHead = serde_json::from_slice(body).ok()?;
    head.usage?.total_tokens
}

/// Whether an id has the form of a fleet request id but is not this request's.
pub(super) fn is_foreign(request: &RequestId, id: &str) -> bool {
    id != request.as_str() && id.starts_with("jw-")
}

/// Reads a request body within the limits of the settings.
pub(super) async fn read_body(
    api: &CallerApi,
    headers: &HeaderMap,
    body: Body,
) -> Result<Bytes, Refusal> {
    let limits = &api.state.setting.limits;
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.body_bytes) {
        return Err(RefusalCode::BodyTooLarge.into());
    }
    let whole = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.body_timeout, whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RefusalCode::BodyTooLarge.into()),
        Ok(Err(_)) => Err(Refusal::new(RefusalCode::InvalidRequest)
            .note("The request body ended early; send all of it.")),
        Err(_) => Err(RefusalCode::RequestTimeout.into()),
    }
}

/// Copies headers without those of one connection, of the router and of authentication.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut copied = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let dropped = HOP_HEADERS.contains(&text)
            || text.starts_with(OWN_PREFIX)
            || name == header::AUTHORIZATION
            || named.contains(name);
        if !dropped {
            copied.append(name.clone(), value.clone());
        }
    }
    copied
}

/// Builds the job of a request; `headers` are those for the endpoint.
pub(super) fn job_of(
    api: &CallerApi,
    caller: &CallerRequest,
    work: Tokens,
    target: (Method, String),
    mut headers: HeaderMap,
    bodies: (&[u8], Bytes),
) -> DispatchJob {
    let (received, body) = bodies;
    let (method, path) = target;
    for (name, value) in [
        ("x-jasminewall-request", caller.id.to_string()),
        ("x-jasminewall-holder", api.state.holder.to_string()),
        ("x-jasminewall-budget", caller.budget.to_string()),
    ] {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    DispatchJob {
        request: caller.id.clone(),
        customer: caller.customer.clone(),
        route: caller.route.clone(),
        class: caller.class,
        is_stream: false,
        work,
        deadline: caller.deadline,
        fingerprint: fingerprint(caller, received),
        method,
        path,
        headers,
        body,
    }
}

/// Hash of customer, route and body, each closed by a byte that no name contains.
fn fingerprint(caller: &CallerRequest, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        caller.customer.as_bytes(),
        caller.route.name.as_bytes(),
        body,
    ] {
        hash.update(part);
        hash.update(&[0xff]);
    }
    hash.digest()
}

/// Holds the worst case of a job.
pub(super) async fn hold(
    api: &CallerApi,
    caller: &CallerRequest,
    job: &DispatchJob,
) -> Result<(), Refusal> {
    let hold = HoldRequest {
        request: caller.id.clone(),
        customer: caller.customer.clone(),
        budget: caller.budget.clone(),
        route: caller.route.name.clone(),
        amount: job.work,
    };
    spend::hold(&api.state, &hold).await
}

/// Settles a hold and counts the charge.
pub(super) fn settle(
    api: &CallerApi,
    caller: &CallerRequest,
    tokens: Tokens,
    end: ChargeOutcome,
) -> Tokens {
    let charge = spend::settle(&api.state, &caller.id, tokens, end);
    let charged = charge.map_or(0, |charge| charge.tokens);
    let metrics = &api.state.metrics;
    metrics.answered(&caller.route.name, charged);
    metrics.answer(&caller.route.name, caller.received.elapsed());
    charged
}

/// Settles a hold whose request failed with a refusal, and names the charge in it.
pub(super) fn settle_failed(
    api: &CallerApi,
    caller: &CallerRequest,
    work: Tokens,
    refusal: Refusal,
) -> Refusal {
    let (tokens, end) = match refusal.code.ran() {
        RunState::No => (0, ChargeOutcome::NotRun),
        // A refusal that carries no usage is not charged.
        RunState::Yes => (0, ChargeOutcome::Ran),
        RunState::Unknown => (work, ChargeOutcome::Unknown),
    };
    let charged = settle(api, caller, tokens, end);
    refusal.charged(charged)
}

/// Sends a held job; settles the hold when that fails.
pub(super) async fn execute(
    api: &CallerApi,
    caller: &CallerRequest,
    job: &DispatchJob,
) -> Result<DispatchAnswer, Refusal> {
    let deadline = TokioInstant::from_std(job.deadline) + DISPATCH_GRACE;
    let sent = tokio::time::timeout_at(deadline, dispatch::execute(&api.state, job)).await;
    let answer = sent.unwrap_or_else(|_| Err(RefusalCode::AnswerTimeout.into()));
    let metrics = &api.state.metrics;
    match answer {
        Ok(answer) => {
            metrics.first_byte(&caller.route.name, caller.received.elapsed());
            Ok(answer)
        }
        Err(refusal) => Err(settle_failed(api, caller, job.work, refusal)),
    }
}

/// Reads, checks and charges the whole answer of a held job.
pub(super) async fn collect(
    api: &CallerApi,
    caller: &CallerRequest,
    job: &DispatchJob,
    answer: DispatchAnswer,
    price: AnswerPrice,
) -> Result<WholeAnswer, Refusal> {
    let DispatchAnswer {
        response, guard, ..
    } = answer;
    let (parts, body) = response.into_parts();
    let deadline = TokioInstant::from_std(job.deadline);
    let whole = Limited::new(body, caller.route.answer_limit_bytes).collect();
    let refusal = match tokio::time::timeout_at(deadline, whole).await {
        Ok(Ok(whole)) => {
            guard.complete();
            let body = whole.to_bytes();
            return check(
                api,
                caller,
                job,
                (parts.status, &parts.headers, body),
                price,
            );
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            guard.complete();
            let refusal = Refusal::new(RefusalCode::AnswerTooLarge);
            let (tokens, end) = match price {
                AnswerPrice::Call(price) => (price, ChargeOutcome::Ran),
                AnswerPrice::Usage => (job.work, ChargeOutcome::Unknown),
            };
            return Err(refusal.charged(settle(api, caller, tokens, end)));
        }
        Ok(Err(_)) => {
            guard.fail();
            RefusalCode::OutcomeUnknown
        }
        Err(_) => {
            guard.fail();
            RefusalCode::AnswerTimeout
        }
    };
    Err(settle_failed(api, caller, job.work, refusal.into()))
}

/// Withholds an answer of another request; charges the others.
fn check(
    api: &CallerApi,
    caller: &CallerRequest,
    job: &DispatchJob,
    answer: (StatusCode, &HeaderMap, Bytes),
    price: AnswerPrice,
) -> Result<WholeAnswer, Refusal> {
    let (status, headers, body) = answer;
    let head = serde_json::from_slice::<AnswerHead>(&body);
    let invalid = || RefusalCode::AnswerInvalid.into();
    let whole = head.is_ok() || matches!(price, AnswerPrice::Call(_)) || !status.is_success();
    let head = head.unwrap_or_default();
    let named = headers.get("x-jasminewall-request");
    let foreign = named.is_some_and(|id| id.as_bytes() != caller.id.as_bytes())
        || (matches!(price, AnswerPrice::Usage)
            && head
                .id
                .as_ref()
                .and_then(serde_json::Value::as_str)
                .is_some_and(|id| is_foreign(&caller.id, id)));
    if foreign || !whole {
        tracing::warn!(request = %caller.id, foreign, "an answer is withheld");
        return Err(settle_failed(api, caller, job.work, invalid()));
    }
    let usage = head.usage.and_then(|usage| usage.total_tokens);
    let not_run = !status.is_success()
        && matches!(&head.error, Some(ErrorHead::Object { code: Some(code) }) if code == "not_run");
    let (tokens, end) = match (status.is_success(), price, usage) {
        (true, AnswerPrice::Call(price), _) => (price, ChargeOutcome::Ran),
        (_, _, Some(usage)) => (usage, ChargeOutcome::Ran),
        // The engine ran the request but did not say what it used.
        (true, AnswerPrice::Usage, None) => (job.work, ChargeOutcome::Unknown),
        (false, _, None) if not_run => (0, ChargeOutcome::NotRun),
        (false, _, None) => (0, ChargeOutcome::Ran),
    };
    Ok(WholeAnswer {
        request: caller.id.clone(),
        status,
        headers: end_to_end(headers),
        body,
        charged: settle(api, caller, tokens, end),
        not_run,
    })
}

/// Holds, sends and reads a job whose answer is not streamed.
pub(super) async fn run_whole(
    api: &Arc<CallerApi>,
    caller: &CallerRequest,
    job: &DispatchJob,
    price: AnswerPrice,
) -> Result<WholeAnswer, Refusal> {
    hold(api, caller, job).await?;
    run_held(api, caller, job, price).await
}

/// Sends and reads a job whose tokens are held.
pub(super) async fn run_held(
    api: &Arc<CallerApi>,
    caller: &CallerRequest,
    job: &DispatchJob,
    price: AnswerPrice,
) -> Result<WholeAnswer, Refusal> {
    let answer = execute(api, caller, job).await?;
    collect(api, caller, job, answer, price).await
}
