//! Continues an engine stream that another connection, or another router, started.

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
    auth::CallerRequest,
    relay::{self, ChargeTarget, StreamCharge, StreamRelay},
};
use crate::{
    peer,
    spend::{self, ChargeOutcome},
};

/// Longest time for the head of a resumed stream or for a peer to settle.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to write evidence while the object store is unavailable.
const EVIDENCE_RETRY: Duration = Duration::from_millis(500);
/// Attempts to write evidence; without it the holder's settlement asks the engine.
const EVIDENCE_ATTEMPTS: u32 = 120;

/// Signs the token with which the caller may resume a stream.
pub(super) fn sign(api: &CallerApi, token: ResumeToken) -> String {
    let secret = api.state.setting.secret.as_bytes();
    token::sign(secret, &CallerToken::Resume(token)).unwrap_or_default()
}

/// Continues the stream of a token from the offset in `last-event-id`.
pub(super) async fn run(
    api: &Arc<CallerApi>,
    caller: CallerRequest,
    headers: &HeaderMap,
    usage_wanted: bool,
) -> Result<Response, Refusal> {
    let text = headers.get("x-jasminewall-resume");
    let text = text.and_then(|text| text.to_str().ok()).unwrap_or_default();
    let secret = api.state.setting.secret.as_bytes();
    let resume = match token::verify(secret, text) {
        Ok(CallerToken::Resume(resume)) if resume.customer == caller.customer => resume,
        _ => return Err(RefusalCode::ResumeInvalid.into()),
    };
    let last = offset(headers)?;
    let address = address_of(api, &resume.endpoint).ok_or(RefusalCode::ResumeUnavailable)?;
    let response = open_stream(api, &address, &resume.request, last).await?;
    tracing::info!(
        request = %resume.request, customer = %caller.customer, endpoint = %resume.endpoint,
        holder = %resume.holder, after = last, "stream resumed"
    );
    let target = ChargeTarget::Holder(resume);
    let relay = StreamRelay {
        body: response.into_body(),
        guard: None,
        charge: StreamCharge::new(api.clone(), caller, address, target),
        last,
        usage_wanted,
    };
    Ok(relay::respond(relay, text))
}

fn offset(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(None);
    };
    let offset = value.to_str().ok().and_then(|text| text.parse().ok());
    offset.map(Some).ok_or_else(|| {
        Refusal::new(RefusalCode::InvalidRequest)
            .note("Send the id of the last received event in the header 'last-event-id'.")
    })
}

/// Address of an endpoint that is declared.
pub(super) fn address_of(api: &CallerApi, endpoint: &str) -> Option<String> {
    match api.state.fleet.config().get(RecordKind::Endpoint, endpoint) {
        Some(ConfigRecord::Endpoint(endpoint)) => Some(endpoint.address.to_string()),
        _ => None,
    }
}

/// Asks an engine for the events of a stream after an offset, on a new connection.
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

/// Reports a charge to the router whose grant holds it, or leaves evidence for its settlement.
pub(super) async fn charge_holder(api: &CallerApi, resume: &ResumeToken, tokens: Tokens) {
    if resume.holder == api.state.holder {
        spend::settle(&api.state, &resume.request, tokens, ChargeOutcome::Ran);
        return;
    }
    if let Some(known) = settle_at_peer(api, resume, tokens).await {
        // `false` is a holder that runs and has charged the request itself.
        tracing::info!(request = %resume.request, holder = %resume.holder, tokens, known, "charge reported to the holder");
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
    let known = timeout(CALL_TIMEOUT, call).await.ok().flatten();
    if known.is_none() {
        peer::disconnect(&api.state, peer.address);
    }
    known
}

/// Writes the evidence object; keeps trying in the background while the store is unavailable.
fn write_evidence(api: &CallerApi, resume: &ResumeToken, tokens: Tokens) {
    let key = format!("evidence/{}/{}", resume.holder, resume.request);
    let record = json!({
        "request": resume.request, "customer": resume.customer, "budget": resume.budget,
        "endpoint": resume.endpoint, "holder": resume.holder, "tokens": tokens,
    });
    let object = api.state.ports.object.clone();
    let stop = api.state.stop.clone();
    api.tracker.spawn(async move {
        for _ in 0..EVIDENCE_ATTEMPTS {
            match object.put_new(&key, record.to_string().into_bytes()).await {
                Ok(written) => {
                    tracing::info!(key, written, "evidence of a resumed stream");
                    return;
                }
                Err(error) => tracing::warn!(key, %error, "evidence is not written yet"),
            }
            tokio::select! {
                () = tokio::time::sleep(EVIDENCE_RETRY) => {}
                () = stop.cancelled() => break,
            }
        }
        tracing::error!(
            key,
            tokens,
            "evidence was not written; the engine's list settles the charge"
        );
    });
}
