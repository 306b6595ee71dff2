//! Requests that run at most once, guarded by a durable claim row or by a ticket.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use {
    axum::{
        body::Bytes,
        http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header, request::Parts},
        response::Response,
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    jasminewall_core::{
        Refusal, RefusalCode, RequestId,
        claim::{ClaimDecision, ClaimRow, ClaimState, HolderStatus, claim_key},
        refusal::RunState,
    },
    jasminewall_ports::{Category, RowWrite, TransactOutcome},
    sha2::{Digest, Sha256},
};

use super::{
    CallerApi,
    auth::RequestContext,
    execute::{self, BufferedResponse, ResponsePrice},
    tickets,
};
use crate::{dispatch::DispatchJob, spend::ChargeOutcome};

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Attempts to claim a key while other requests change its row.
const MAX_CLAIM_ATTEMPTS: u32 = 4;
/// Time between attempts to reach the table service.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Attempts to read back a claim whose write had an unknown outcome.
const READ_BACK_ATTEMPTS: u32 = 4;
/// Attempts to record an outcome once the router is stopping.
const ATTEMPTS_AFTER_STOP: u32 = 8;
/// Attempts to find a claim row that may still appear after its write had an unknown outcome.
const LATE_CLAIM_ATTEMPTS: u32 = 40;

/// Claims of this router whose outcome is not recorded yet.
#[derive(Default)]
pub(super) struct ClaimTable {
    unrecorded: Mutex<HashSet<RequestId>>,
}

impl ClaimTable {
    fn insert(&self, request: &RequestId) {
        let mut unrecorded = self
            .unrecorded
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unrecorded.insert(request.clone());
    }

    fn remove(&self, request: &RequestId) {
        let mut unrecorded = self
            .unrecorded
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unrecorded.remove(request);
    }

    fn contains(&self, request: &RequestId) -> bool {
        let unrecorded = self
            .unrecorded
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unrecorded.contains(request)
    }
}

/// Request that must run at most once, as received.
pub(super) struct OnceCall {
    /// Hex-encoded SHA-256 of route, method, path and body.
    pub(super) fingerprint: String,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl OnceCall {
    pub(super) fn new(context: &RequestContext, parts: &Parts, body: Bytes) -> Self {
        let mut hash = Sha256::new();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        for part in [&context.route.name, parts.method.as_str(), path] {
            hash.update(part.as_bytes());
            hash.update([0]);
        }
        hash.update(&body);
        Self {
            fingerprint: hex::encode(hash.finalize()),
            method: parts.method.clone(),
            uri: parts.uri.clone(),
            headers: parts.headers.clone(),
            body,
        }
    }
}

/// Outcome of an attempt to claim a key.
enum ClaimAttempt {
    Claimed,
    Conflicting,
}

/// Runs a call at most once.
pub(super) async fn run(
    api: &Arc<CallerApi>,
    context: &RequestContext,
    job: DispatchJob,
    call: OnceCall,
    price: ResponsePrice,
) -> Result<Response, Refusal> {
    if call.headers.contains_key(tickets::TICKET_HEADER) {
        return tickets::run(api, context, &job, &call, price).await;
    }
    let key = call.headers.get("idempotency-key");
    let key = key.and_then(|key| key.to_str().ok()).map(str::trim);
    let key = key
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)
        .ok_or(RefusalCode::KeyRequired)?;
    let key = claim_key(&context.customer, key);
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let version = match look_up_claim(api, &key, &call.fingerprint).await? {
            Err(recorded) => return replay(recorded),
            Ok(version) => version,
        };
        execute::hold(api, context, &job).await?;
        match claim(api, context, &key, &call.fingerprint, version).await {
            Ok(ClaimAttempt::Claimed) => return run_claimed(api, context, job, key, price).await,
            Ok(ClaimAttempt::Conflicting) => {
                execute::settle(api, context, 0, ChargeOutcome::NotRun);
            }
            Err(refusal) => {
                return Err(execute::settle_failed(
                    api,
                    context,
                    job.held_tokens,
                    refusal,
                ));
            }
        }
    }
    Err(RefusalCode::KeyInProgress.into())
}

/// Reads the row of a key. The inner result is `Ok` with the row version to replace (0 if there is no
/// row) if the key can be claimed, and `Err` with the row if it has a recorded response to replay.
async fn look_up_claim(
    api: &CallerApi,
    key: &str,
    fingerprint: &str,
) -> Result<Result<u64, ClaimRow>, Refusal> {
    let unavailable = |_| Refusal::new(RefusalCode::ClaimsUnavailable).retry_after(RETRY_INTERVAL);
    let table = &api.state.ports.table;
    let Some(row) = table.read(key).await.map_err(unavailable)? else {
        return Ok(Ok(0));
    };
    let claim: ClaimRow =
        serde_json::from_str(&row.value).map_err(|_| RefusalCode::ClaimsUnavailable)?;
    match claim.decide(fingerprint, holder_status(api, &claim)) {
        ClaimDecision::Claim => Ok(Ok(row.version)),
        ClaimDecision::Replay => Ok(Err(claim)),
        ClaimDecision::Refuse(code) => Err(code.into()),
    }
}

fn holder_status(api: &CallerApi, claim: &ClaimRow) -> HolderStatus {
    if claim.holder == api.state.holder {
        return if api.claims.contains(&claim.request) {
            HolderStatus::Running
        } else {
            HolderStatus::NotDispatched
        };
    }
    let peers = api.state.fleet.peers();
    if peers.iter().any(|peer| peer.holder == claim.holder) {
        HolderStatus::Alive
    } else {
        HolderStatus::Unresponsive
    }
}

/// Writes the claim before dispatch. Reads it back if the outcome of the write is unknown.
async fn claim(
    api: &Arc<CallerApi>,
    context: &RequestContext,
    key: &str,
    fingerprint: &str,
    expected: u64,
) -> Result<ClaimAttempt, Refusal> {
    let row = ClaimRow {
        request: context.id.clone(),
        holder: api.state.holder.clone(),
        fingerprint: fingerprint.to_owned(),
        state: ClaimState::Open,
    };
    let value = serde_json::to_string(&row).map_err(|_| RefusalCode::InternalError)?;
    let write = RowWrite {
        key: key.to_owned(),
        expected,
        value: Some(value),
    };
    api.claims.insert(&context.id);
    let attempt = match api.state.ports.table.transact(vec![write]).await {
        Ok(TransactOutcome::Committed) => Ok(ClaimAttempt::Claimed),
        Ok(TransactOutcome::Conflict) => Ok(ClaimAttempt::Conflicting),
        Err(error) if error.category() == Category::Unavailable => {
            Err(RefusalCode::ClaimsUnavailable.into())
        }
        Err(_) => read_back(api, context, key, expected).await,
    };
    if !matches!(attempt, Ok(ClaimAttempt::Claimed)) {
        api.claims.remove(&context.id);
    }
    attempt
}

async fn read_back(
    api: &Arc<CallerApi>,
    context: &RequestContext,
    key: &str,
    expected: u64,
) -> Result<ClaimAttempt, Refusal> {
    for _ in 0..READ_BACK_ATTEMPTS {
        match api.state.ports.table.read(key).await {
            Ok(Some(row)) if is_claim_of(&row.value, &context.id) => {
                return Ok(ClaimAttempt::Claimed);
            }
            Ok(Some(row)) if row.version != expected => return Ok(ClaimAttempt::Conflicting),
            Ok(_) => break,
            Err(error) => tracing::warn!(request = %context.id, %error, "cannot read back a claim"),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    // The write may still take effect. Other routers would then refuse retries because the request
    // seems to be running, although it never ran.
    let task = cancel_late_claim(api.clone(), key.to_owned(), context.id.clone());
    api.tracker.spawn(task);
    Err(RefusalCode::ClaimsUnavailable.into())
}

fn is_claim_of(value: &str, request: &RequestId) -> bool {
    serde_json::from_str::<ClaimRow>(value).is_ok_and(|claim| claim.request == *request)
}

/// Records that the request did not run if the write of its claim takes effect late.
async fn cancel_late_claim(api: Arc<CallerApi>, key: String, request: RequestId) {
    for _ in 0..LATE_CLAIM_ATTEMPTS {
        if record_outcome(&api, &key, &request, &ClaimState::NotRun).await {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(RETRY_INTERVAL) => {}
            () = api.state.stop.cancelled() => return,
        }
    }
}

async fn run_claimed(
    api: &Arc<CallerApi>,
    context: &RequestContext,
    job: DispatchJob,
    key: String,
    price: ResponsePrice,
) -> Result<Response, Refusal> {
    let result = execute::run_held(api, context, &job, price).await;
    let state = claim_state(&result);
    if record_outcome(api, &key, &context.id, &state).await {
        api.claims.remove(&context.id);
    } else {
        let task = retry_recording(api.clone(), key, context.id.clone(), state);
        api.tracker.spawn(task);
    }
    Ok(result?.into_response(api, context))
}

fn claim_state(result: &Result<BufferedResponse, Refusal>) -> ClaimState {
    match result {
        Ok(response) if response.not_run => ClaimState::NotRun,
        Ok(response) => ClaimState::Ran {
            status: response.status.as_u16(),
            content_type: response
                .headers
                .get(header::CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: STANDARD.encode(&response.body),
            charged: response.charged,
        },
        Err(refusal) if refusal.code.ran() == RunState::No => ClaimState::NotRun,
        Err(_) => ClaimState::Unknown,
    }
}

/// Records the outcome in the claim row, if the row is still the open claim of the request. Returns
/// `false` if this failed or the row does not exist yet, so that it must be retried.
async fn record_outcome(
    api: &CallerApi,
    key: &str,
    request: &RequestId,
    state: &ClaimState,
) -> bool {
    let table = &api.state.ports.table;
    let Ok(Some(row)) = table.read(key).await else {
        return false;
    };
    let Ok(claim) = serde_json::from_str::<ClaimRow>(&row.value) else {
        return false;
    };
    // If the response to an earlier write was lost, the outcome may be recorded already.
    if claim.request != *request || claim.state != ClaimState::Open {
        return true;
    }
    let claim = ClaimRow {
        state: state.clone(),
        ..claim
    };
    let Ok(value) = serde_json::to_string(&claim) else {
        return false;
    };
    let write = RowWrite::replace(key, row.version, value);
    matches!(
        table.transact(vec![write]).await,
        Ok(TransactOutcome::Committed)
    )
}

/// Retries to record an outcome after the first attempt failed.
async fn retry_recording(api: Arc<CallerApi>, key: String, request: RequestId, state: ClaimState) {
    let mut attempts_left = ATTEMPTS_AFTER_STOP;
    while attempts_left > 0 {
        tokio::time::sleep(RETRY_INTERVAL).await;
        if record_outcome(&api, &key, &request, &state).await {
            api.claims.remove(&request);
            return;
        }
        if api.state.stop.is_cancelled() {
            attempts_left -= 1;
        }
    }
    tracing::error!(%request, "cannot record the outcome of a claim; a retry is told that the request may have run");
}

/// Builds the response from a recorded outcome.
fn replay(claim: ClaimRow) -> Result<Response, Refusal> {
    let ClaimState::Ran {
        status,
        content_type,
        body,
        charged,
    } = claim.state
    else {
        return Err(RefusalCode::MayHaveRun.into());
    };
    let body = STANDARD.decode(body).map_err(|_| RefusalCode::MayHaveRun)?;
    Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::OK))
        .header(header::CONTENT_TYPE, content_type)
        .header("x-jasminewall-request", claim.request.as_str())
        .header("x-jasminewall-charged", charged)
        .header("x-jasminewall-replayed", HeaderValue::from_static("true"))
        .body(body.into())
        .map_err(|_| RefusalCode::MayHaveRun.into())
}
