//! Requests that run at most once: by a durable claim row, or by a ticket.

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
    auth::CallerRequest,
    execute::{self, AnswerPrice, WholeAnswer},
    tickets,
};
use crate::{dispatch::DispatchJob, spend::ChargeOutcome};

/// Largest idempotency key, in bytes.
const KEY_LIMIT: usize = 256;
/// Times that a claim is tried again after another request changed the row.
const CLAIM_ATTEMPTS: u32 = 4;
/// Time between two attempts to reach the table service.
const RETRY_WAIT: Duration = Duration::from_millis(250);
/// Attempts to read back a claim whose write had an unknown outcome.
const READ_BACK_ATTEMPTS: u32 = 4;
/// Attempts to record an outcome once the router is stopping.
const STOP_ATTEMPTS: u32 = 8;
/// Attempts to find a claim row that may still appear after its write had an unknown outcome.
const LATE_ATTEMPTS: u32 = 40;

/// Claims of this router that run, or whose outcome is not recorded yet.
#[derive(Default)]
pub(super) struct ClaimTable {
    running: Mutex<HashSet<RequestId>>,
}

impl ClaimTable {
    fn insert(&self, request: &RequestId) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.insert(request.clone());
    }

    fn remove(&self, request: &RequestId) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.remove(request);
    }

    fn contains(&self, request: &RequestId) -> bool {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.contains(request)
    }
}

/// Request that must run at most once, as received.
pub(super) struct OnceCall {
    /// SHA-256 of route, method, path and body, in hex.
    pub(super) fingerprint: String,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl OnceCall {
    pub(super) fn new(caller: &CallerRequest, parts: &Parts, body: Bytes) -> Self {
        let mut hash = Sha256::new();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        for part in [&caller.route.name, parts.method.as_str(), path] {
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
    Changed,
}

/// Runs a call at most once.
pub(super) async fn run(
    api: &Arc<CallerApi>,
    caller: &CallerRequest,
    job: DispatchJob,
    call: OnceCall,
    price: AnswerPrice,
) -> Result<Response, Refusal> {
    if call.headers.contains_key(tickets::HEADER) {
        return tickets::run(api, caller, &job, &call, price).await;
    }
    let key = call.headers.get("idempotency-key");
    let key = key.and_then(|key| key.to_str().ok()).map(str::trim);
    let key = key
        .filter(|key| !key.is_empty() && key.len() <= KEY_LIMIT)
        .ok_or(RefusalCode::KeyRequired)?;
    let key = claim_key(&caller.customer, key);
    for _ in 0..CLAIM_ATTEMPTS {
        let version = match look_up(api, &key, &call.fingerprint).await? {
            Err(recorded) => return replay(recorded),
            Ok(version) => version,
        };
        execute::hold(api, caller, &job).await?;
        match claim(api, caller, &key, &call.fingerprint, version).await {
            Ok(ClaimAttempt::Claimed) => return run_claimed(api, caller, job, key, price).await,
            Ok(ClaimAttempt::Changed) => {
                execute::settle(api, caller, 0, ChargeOutcome::NotRun);
            }
            Err(refusal) => return Err(execute::settle_failed(api, caller, job.work, refusal)),
        }
    }
    Err(RefusalCode::KeyInProgress.into())
}

/// Reads the row of a key: the version to replace, 0 when there is none, or the recorded answer.
async fn look_up(
    api: &CallerApi,
    key: &str,
    fingerprint: &str,
) -> Result<Result<u64, ClaimRow>, Refusal> {
    let unavailable = |_| Refusal::new(RefusalCode::ClaimsUnavailable).retry_after(RETRY_WAIT);
    let table = &api.state.ports.table;
    let Some(row) = table.read(key).await.map_err(unavailable)? else {
        return Ok(Ok(0));
    };
    let claim: ClaimRow =
        serde_json::from_str(&row.value).map_err(|_| RefusalCode::ClaimsUnavailable)?;
    match claim.decide(fingerprint, view_of(api, &claim)) {
        ClaimDecision::Claim => Ok(Ok(row.version)),
        ClaimDecision::Answer => Ok(Err(claim)),
        ClaimDecision::Refuse(code) => Err(code.into()),
    }
}

fn view_of(api: &CallerApi, claim: &ClaimRow) -> HolderStatus {
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

/// Writes the claim before dispatch; reads it back when the answer is lost.
async fn claim(
    api: &Arc<CallerApi>,
    caller: &CallerRequest,
    key: &str,
    fingerprint: &str,
    expected: u64,
) -> Result<ClaimAttempt, Refusal> {
    let row = ClaimRow {
        request: caller.id.clone(),
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
    api.claims.insert(&caller.id);
    let attempt = match api.state.ports.table.transact(vec![write]).await {
        Ok(TransactOutcome::Committed) => Ok(ClaimAttempt::Claimed),
        Ok(TransactOutcome::Conflict) => Ok(ClaimAttempt::Changed),
        Err(error) if error.category() == Category::Unavailable => {
            Err(RefusalCode::ClaimsUnavailable.into())
        }
        Err(_) => read_back(api, caller, key, expected).await,
    };
    if !matches!(attempt, Ok(ClaimAttempt::Claimed)) {
        api.claims.remove(&caller.id);
    }
    attempt
}

async fn read_back(
    api: &Arc<CallerApi>,
    caller: &CallerRequest,
    key: &str,
    expected: u64,
) -> Result<ClaimAttempt, Refusal> {
    for _ in 0..READ_BACK_ATTEMPTS {
        match api.state.ports.table.read(key).await {
            Ok(Some(row)) if is_claim_of(&row.value, &caller.id) => {
                return Ok(ClaimAttempt::Claimed);
            }
            Ok(Some(row)) if row.version != expected => return Ok(ClaimAttempt::Changed),
            Ok(_) => break,
            Err(error) => tracing::warn!(request = %caller.id, %error, "cannot read back a claim"),
        }
        tokio::time::sleep(RETRY_WAIT).await;
    }
    // The write may still take effect; the row would then look as if the request were running.
    let task = withdraw(api.clone(), key.to_owned(), caller.id.clone());
    api.tracker.spawn(task);
    Err(RefusalCode::ClaimsUnavailable.into())
}

fn is_claim_of(value: &str, request: &RequestId) -> bool {
    serde_json::from_str::<ClaimRow>(value).is_ok_and(|claim| claim.request == *request)
}

/// Marks a claim as not run if its write took effect late.
async fn withdraw(api: Arc<CallerApi>, key: String, request: RequestId) {
    for _ in 0..LATE_ATTEMPTS {
        if record(&api, &key, &request, &ClaimState::NotRun).await {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(RETRY_WAIT) => {}
            () = api.state.stop.cancelled() => return,
        }
    }
}

async fn run_claimed(
    api: &Arc<CallerApi>,
    caller: &CallerRequest,
    job: DispatchJob,
    key: String,
    price: AnswerPrice,
) -> Result<Response, Refusal> {
    let result = execute::run_held(api, caller, &job, price).await;
    let state = state_of(&result);
    if record(api, &key, &caller.id, &state).await {
        api.claims.remove(&caller.id);
    } else {
        let task = keep_recording(api.clone(), key, caller.id.clone(), state);
        api.tracker.spawn(task);
    }
    Ok(result?.into_response(api, caller))
}

fn state_of(result: &Result<WholeAnswer, Refusal>) -> ClaimState {
    match result {
        Ok(answer) if answer.not_run => ClaimState::NotRun,
        Ok(answer) => ClaimState::Ran {
            status: answer.status.as_u16(),
            content_type: answer
                .headers
                .get(header::CONTENT_TYPE)
                .and_then(|kind| kind.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: STANDARD.encode(&answer.body),
            charged: answer.charged,
        },
        Err(refusal) if refusal.code.ran() == RunState::No => ClaimState::NotRun,
        Err(_) => ClaimState::Unknown,
    }
}

/// Records the outcome in the claim row, if the row is still the open claim of the request.
async fn record(api: &CallerApi, key: &str, request: &RequestId, state: &ClaimState) -> bool {
    let table = &api.state.ports.table;
    let Ok(Some(row)) = table.read(key).await else {
        return false;
    };
    let Ok(claim) = serde_json::from_str::<ClaimRow>(&row.value) else {
        return false;
    };
    // Also read after a write whose answer was lost: then the outcome is recorded already.
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

/// Records an outcome that the table service did not take at first.
async fn keep_recording(api: Arc<CallerApi>, key: String, request: RequestId, state: ClaimState) {
    let mut left = STOP_ATTEMPTS;
    while left > 0 {
        tokio::time::sleep(RETRY_WAIT).await;
        if record(&api, &key, &request, &state).await {
            api.claims.remove(&request);
            return;
        }
        if api.state.stop.is_cancelled() {
            left -= 1;
        }
    }
    tracing::error!(%request, "the outcome of a claim is not recorded; a retry is told that it may have run");
}

/// Response with a recorded answer.
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
