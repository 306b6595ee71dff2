//! Resumes an engine stream that was started on another connection or by another router.

use std::{sync::Arc, time::Duration};

use {
    axum::{
        body::Body,
        http::{HeaderMap, Request, Response as HttpResponse},
        response::Response,
    },
    hyper::body::Incoming,
    jasminewall_core::{
        ConfigRecord, RecordKind, Refusal, RefusalCode, Tokens,
        token::{self, CallerToken, ResumeToken},
    },
    jasminewall_wire::SettleRequest,
    serde_json::json,
    tokio::time::timeout,
};

use super::{
    CallerApi,
    auth::RequestContext,
    relay::{self, ChargeTarget, StreamCharge, StreamRelay},
};
use crate::{
    peer,
    spend::{self, ChargeOutcome},
};

/// Timeout for the response head of a resumed stream, and for a peer to settle a charge.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between attempts to write evidence while the object store is unavailable.
const EVIDENCE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Attempts to write evidence of a charge. Without evidence, the charge is settled from the engine's
/// list of streams.
const MAX_EVIDENCE_ATTEMPTS: u32 = 120;

/// Signs the token that lets the caller resume a stream.
pub(super) fn sign_token(api: &CallerApi, token: ResumeToken) -> String {
    let secret = api.state.setting.secret.as_bytes();
    token::sign(secret, &CallerToken::Resume(token)).unwrap_or_default()
}

/// Resumes the stream of a resume token after the event in `last-event-id`.
pub(super) async fn run(
    api: &Arc<CallerApi>,
    context: RequestContext,
    headers: &HeaderMap,
    include_usage: bool,
) -> Result<Response, Refusal> {
    let text = headers.get("x-jasminewall-resume");
    let text = text.and_then(|text| text.to_str().ok()).unwrap_or_default();
    let secret = api.state.setting.secret.as_bytes();
    let resume = match token::verify(secret, text) {
        Ok(CallerToken::Resume(resume)) if resume.customer == context.customer => resume,
        _ => return Err(RefusalCode::ResumeInvalid.into()),
    };
    let last_event_id = parse_event_id(headers)?;
    let address = endpoint_address(api, &resume.endpoint).ok_or(RefusalCode::ResumeUnavailable)?;
    let response = open_stream(api, &address, &resume.request, last_event_id).await?;
    tracing::info!(
        request = %resume.request, customer = %context.customer, endpoint = %resume.endpoint,
        holder = %resume.holder, after = last_event_id, "stream resumed"
    );
    let target = ChargeTarget::Holder(resume);
    let relay = StreamRelay {
        body: response.into_body(),
        guard: None,
        charge: StreamCharge::new(api.clone(), context, address, target),
        last_event_id,
        include_usage,
    };
    Ok(relay::into_response(relay, text))
}

fn parse_event_id(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(None);
    };
    let id = value.to_str().ok().and_then(|text| text.parse().ok());
    id.map(Some).ok_or_else(|| {
        Refusal::new(RefusalCode::InvalidRequest)
            .note("Send the id of the last received event in the header 'last-event-id'.")
    })
}

/// Returns the address of an endpoint, if it is declared.
pub(super) fn endpoint_address(api: &CallerApi, endpoint: &str) -> Option<String> {
    match api.state.fleet.config().get(RecordKind::Endpoint, endpoint) {
        Some(ConfigRecord::Endpoint(endpoint)) => Some(endpoint.address.to_string()),
        _ => None,
    }
}

/// Requests the events of a stream after the event `after`, on a new connection.
pub(super) async fn open_stream(
    api: &CallerApi,
    address: &str,
    stream: &str,
    after: Option<u64>,
) -> Result<HttpResponse<Incoming>, Refusal> {
    let query = after.map_or(String::new(), |after| format!("?after={after}"));
    let request = Request::get(format!("http://{address}/v1/streams/{stream}{query}"))
        .body(Body::empty())
        .map_err(|_| RefusalCode::ResumeInvalid)?;
    let unavailable = Refusal::new(RefusalCode::ResumeUnavailable).retry_after(CALL_TIMEOUT);
    match timeout(CALL_TIMEOUT, api.client.request(request)).await {
        Ok(Ok(response)) if response.status().is_success() => Ok(response),
        Ok(Ok(response)) if response.status().is_client_error() => {
            Err(Refusal::new(RefusalCode::ResumeUnavailable)
                .note("The engine no longer has the stream: it ended long ago or was cancelled."))
        }
        _ => Err(unavailable),
    }
}

/// Reports a charge to the router whose grant holds the tokens. If that fails, writes evidence, from
/// which the account of that router can be settled after its death.
pub(super) async fn charge_holder(api: &CallerApi, resume: &ResumeToken, tokens: Tokens) {
    if resume.holder == api.state.holder {
        spend::settle(&api.state, &resume.request, tokens, ChargeOutcome::Ran);
        return;
    }
    if let Some(settled) = settle_at_peer(api, resume, tokens).await {
        // `false` means that the holder has already charged the request itself.
        tracing::info!(request = %resume.request, holder = %resume.holder, tokens, settled, "charge reported to the holder");
        return;
    }
    write_evidence(api, resume, tokens);
}

async fn settle_at_peer(api: &CallerApi, resume: &ResumeToken, tokens: Tokens) -> Option<bool> {
    let mut peers = api.state.fleet.peers().into_iter();
    let peer = peers.find(|peer| peer.holder == resume.holder)?;
    let request = SettleRequest {
        request: resume.request.clone(),
        tokens,
    };
    let call = async {
        let client = peer::connect(&api.state, peer.address).await.ok()?;
        client.settle(tarpc::context::current(), request).await.ok()
    };
    let settled = timeout(CALL_TIMEOUT, call).await.ok().flatten();
    if settled.is_none() {
        peer::disconnect(&api.state, peer.address);
    }
    settled
}

/// Writes the evidence object in the background. Retries while the object store is unavailable.
fn write_evidence(api: &CallerApi, resume: &ResumeToken, tokens: Tokens) {
    let key = format!("evidence/{}/{}", resume.holder, resume.request);
    let record = json!({
        "request": resume.request, "customer": resume.customer, "budget": resume.budget,
        "endpoint": resume.endpoint, "holder": resume.holder, "tokens": tokens,
    });
    let object = api.state.ports.object.clone();
    let stop = api.state.stop.clone();
    api.tracker.spawn(async move {
        for _ in 0..MAX_EVIDENCE_ATTEMPTS {
            match object.put_new(&key, record.to_string().into_bytes()).await {
                Ok(written) => {
                    tracing::info!(key, written, "evidence of a resumed stream is stored");
                    return;
                }
                Err(error) => tracing::warn!(key, %error, "cannot write evidence; retrying"),
            }
            tokio::select! {
                () = tokio::time::sleep(EVIDENCE_RETRY_INTERVAL) => {}
                () = stop.cancelled() => break,
            }
        }
        tracing::error!(
            key,
            tokens,
            "evidence was not written; the charge is settled from the engine's list of streams"
        );
    });
}
