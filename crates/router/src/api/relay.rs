//! Relays an engine's event stream to the caller and charges it exactly once.

use std::{future::Future, io, sync::Arc, time::Duration};

use {
    axum::{
        body::{Body, Bytes},
        http::{HeaderValue, Method, header},
        response::Response,
    },
    bytes::BytesMut,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    jasminewall_core::{Refusal, RefusalCode, RequestId, Tokens, token::ResumeToken},
    serde::Deserialize,
    serde_json::Value,
    tokio::{
        runtime::Handle,
        time::{Instant, sleep_until, timeout, timeout_at},
    },
    tokio_util::sync::CancellationToken,
};

use super::{
    CallerApi,
    auth::RequestContext,
    execute, problems, resume,
    sse::{SseDecoder, SseEvent, contains},
};
use crate::{
    dispatch::RequestGuard,
    spend::{self, ChargeOutcome},
};

/// Time without data after which a stream is resumed on a new connection, if that is possible.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of times that a stream is resumed on a new connection after its connection broke.
const MAX_RESUME_ATTEMPTS: u32 = 3;
/// Time to read the rest of an endpoint's body after `[DONE]`, so that the connection can be
/// reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
/// Time after the deadline for a stream to end by itself and report that to the caller.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// Timeout for cancelling a stream at the engine.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Router whose hold a stream is charged to.
#[derive(Clone, Debug)]
pub(super) enum ChargeTarget {
    /// This router, with the amount of its hold.
    Own(Tokens),
    /// The router that started the stream.
    Holder(ResumeToken),
}

/// Open engine stream that is charged exactly once: when it ends, or when the caller disconnects.
pub(super) struct StreamCharge {
    api: Arc<CallerApi>,
    context: RequestContext,
    /// Id of the stream at the engine.
    stream_id: RequestId,
    /// Address of the engine.
    address: String,
    target: ChargeTarget,
    settled: CancellationToken,
}

impl StreamCharge {
    pub(super) fn new(
        api: Arc<CallerApi>,
        context: RequestContext,
        address: String,
        target: ChargeTarget,
    ) -> Self {
        let stream_id = match &target {
            ChargeTarget::Own(_) => context.id.clone(),
            ChargeTarget::Holder(token) => token.request.clone(),
        };
        Self {
            api,
            context,
            stream_id,
            address,
            target,
            settled: CancellationToken::new(),
        }
    }

    /// Returns a future that cancels the engine stream and charges what it generated.
    fn cancellation(
        &self,
        outcome: ChargeOutcome,
    ) -> impl Future<Output = Tokens> + Send + 'static {
        let api = self.api.clone();
        let context = self.context.clone();
        let stream_id = self.stream_id.clone();
        let address = self.address.clone();
        let target = self.target.clone();
        async move { cancel_and_charge(&api, &context, &address, &stream_id, &target, outcome).await }
    }

    /// Spawns a task that cancels the stream after its deadline. If a caller stops reading, the
    /// relay is not polled, and its hold would otherwise last as long as its connection.
    fn watch_deadline(&self) {
        let settled = self.settled.clone();
        let deadline = Instant::from_std(self.context.deadline) + DEADLINE_GRACE;
        let cancellation = self.cancellation(ChargeOutcome::Cancelled);
        let stream_id = self.stream_id.clone();
        self.api.tracker.spawn(async move {
            tokio::select! {
                () = settled.cancelled() => return,
                () = sleep_until(deadline) => settled.cancel(),
            }
            let charged = cancellation.await;
            tracing::warn!(request = %stream_id, charged, "stream cancelled at its deadline; the caller had stopped reading");
        });
    }

    /// Charges the usage, or leaves the hold unresolved if the usage is unknown.
    async fn settle(&mut self, usage: Option<Tokens>, outcome: ChargeOutcome) -> Tokens {
        self.settled.cancel();
        charge(&self.api, &self.context, &self.target, usage, outcome).await
    }

    /// Cancels the engine stream and charges what it generated.
    async fn cancel(&mut self, outcome: ChargeOutcome) -> Tokens {
        self.settled.cancel();
        self.cancellation(outcome).await
    }
}

impl Drop for StreamCharge {
    fn drop(&mut self) {
        if self.settled.is_cancelled() {
            return;
        }
        self.settled.cancel();
        // No runtime exists while the process exits. The charge is then settled from the engine's
        // list of streams.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let cancellation = self.cancellation(ChargeOutcome::Cancelled);
        let stream_id = self.stream_id.clone();
        let task = async move {
            let charged = cancellation.await;
            tracing::info!(request = %stream_id, charged, "stream cancelled; the caller disconnected");
        };
        self.api.tracker.spawn_on(task, &runtime);
    }
}

async fn cancel_and_charge(
    api: &CallerApi,
    context: &RequestContext,
    address: &str,
    stream_id: &RequestId,
    target: &ChargeTarget,
    outcome: ChargeOutcome,
) -> Tokens {
    let usage = cancel_stream(api, address, stream_id).await;
    if usage.is_none() {
        tracing::warn!(request = %stream_id, "the engine reported no usage; the charge stays unresolved");
    }
    charge(api, context, target, usage, outcome).await
}

/// Cancels a stream at the engine. Returns the tokens that it used, if the engine reports them.
async fn cancel_stream(api: &CallerApi, address: &str, stream: &RequestId) -> Option<Tokens> {
    let uri = format!("http://{address}/v1/streams/{stream}");
    let request = hyper::Request::builder()
        .method(Method::DELETE)
        .uri(uri)
        .body(Body::empty())
        .ok()?;
    let exchange = async {
        let response = api.client.request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.into_body().collect().await.ok()?;
        execute::parse_usage(&body.to_bytes())
    };
    timeout(CANCEL_TIMEOUT, exchange).await.ok().flatten()
}

async fn charge(
    api: &CallerApi,
    context: &RequestContext,
    target: &ChargeTarget,
    usage: Option<Tokens>,
    outcome: ChargeOutcome,
) -> Tokens {
    match (target, usage) {
        (ChargeTarget::Own(_), Some(tokens)) => execute::settle(api, context, tokens, outcome),
        (ChargeTarget::Own(held_tokens), None) => {
            execute::settle(api, context, *held_tokens, ChargeOutcome::Unknown)
        }
        (ChargeTarget::Holder(token), Some(tokens)) => {
            resume::charge_holder(api, token, tokens).await;
            tokens
        }
        // The holder settles the charge from the engine's list of streams.
        (ChargeTarget::Holder(_), None) => 0,
    }
}

/// What the relay does with an event.
enum EventAction {
    Forward(Bytes),
    Skip,
    Done,
    /// The event belongs to another stream.
    Mismatch,
}

/// Validates and filters the events of one stream.
struct EventFilter {
    request: RequestId,
    /// `id` of the first chunk as JSON text, which all other chunks contain.
    chunk_id: Option<String>,
    last_event_id: Option<u64>,
    usage: Option<Tokens>,
    include_usage: bool,
}

#[derive(Deserialize)]
struct ChunkFields<'a> {
    #[serde(default, borrow)]
    id: Option<std::borrow::Cow<'a, str>>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
    #[serde(default)]
    choices: Option<Vec<serde::de::IgnoredAny>>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    #[serde(default)]
    total_tokens: Option<Tokens>,
}

impl EventFilter {
    /// Decides what to do with an event. Parses its JSON only if it is the first chunk, contains
    /// usage, or does not contain the `id` of the first chunk as text.
    fn classify(&mut self, event: SseEvent) -> EventAction {
        // The engine sends comments to keep the connection alive. Standard clients fail on an event
        // without data.
        let Some(data) = &event.data else {
            return EventAction::Skip;
        };
        if data.as_ref() == b"[DONE]" {
            return EventAction::Done;
        }
        if let Some(id) = event.id {
            if self
                .last_event_id
                .is_some_and(|last_event_id| id <= last_event_id)
            {
                return EventAction::Skip;
            }
            self.last_event_id = Some(id);
        }
        let id_matches = self
            .chunk_id
            .as_ref()
            .is_some_and(|id| contains(data, id.as_bytes()));
        let has_usage = contains(data, b"\"usage\"")
            && !contains(data, b"\"usage\":null")
            && !contains(data, b"\"usage\": null");
        if id_matches && !has_usage {
            return EventAction::Forward(event.raw);
        }
        let Ok(fields) = serde_json::from_slice::<ChunkFields<'_>>(data) else {
            return EventAction::Forward(event.raw);
        };
        if !id_matches && let Some(id) = &fields.id {
            // An id with JSON escapes may be spelled differently in this chunk, so the parsed ids
            // are compared.
            let text = Value::from(id.as_ref()).to_string();
            match &self.chunk_id {
                Some(expected) if *expected != text => return EventAction::Mismatch,
                None if execute::is_other_request(&self.request, id) => {
                    return EventAction::Mismatch;
                }
                _ => self.chunk_id = Some(text),
            }
        }
        if let Some(usage) = fields.usage.and_then(|usage| usage.total_tokens) {
            self.usage = Some(usage);
            let only_usage = fields.choices.is_some_and(|choices| choices.is_empty());
            if only_usage && !self.include_usage {
                return EventAction::Skip;
            }
        }
        EventAction::Forward(event.raw)
    }
}

/// Engine stream, with the state needed to relay it.
pub(super) struct StreamRelay {
    pub(super) body: Incoming,
    pub(super) guard: Option<RequestGuard>,
    pub(super) charge: StreamCharge,
    /// For a resumed stream, the id of the last event that the caller has received.
    pub(super) last_event_id: Option<u64>,
    pub(super) include_usage: bool,
}

/// Builds the response that relays a stream, with the router's own headers.
pub(super) fn into_response(relay: StreamRelay, resume_token: &str) -> Response {
    let charge = &relay.charge;
    charge.watch_deadline();
    let left = spend::spendable(&charge.api.state, &charge.context.budget);
    let stream_id = charge.stream_id.clone();
    let mut response = Response::new(Body::from_stream(relay_events(relay)));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert("x-jasminewall-budget-left", HeaderValue::from(left));
    for (name, value) in [
        ("x-jasminewall-request", stream_id.as_str()),
        ("x-jasminewall-resume", resume_token),
    ] {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    response
}

/// Returns the events for the caller. Dropping the returned stream cancels the engine stream.
fn relay_events(relay: StreamRelay) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    let StreamRelay {
        mut body,
        mut guard,
        mut charge,
        last_event_id,
        include_usage,
    } = relay;
    async_stream::stream! {
        let mut filter = EventFilter {
            request: charge.stream_id.clone(),
            chunk_id: None,
            last_event_id,
            usage: None,
            include_usage,
        };
        let mut decoder = SseDecoder::default();
        let mut attempts = 0;
        let deadline = Instant::from_std(charge.context.deadline);
        let failure = 'relay: loop {
            let wait_until = deadline.min(Instant::now() + PROGRESS_TIMEOUT);
            let frame = timeout_at(wait_until, body.frame()).await;
            if let Ok(Some(Ok(frame))) = frame {
                let Ok(data) = frame.into_data() else { continue };
                if let Some(guard) = &mut guard {
                    guard.record_progress();
                }
                if !decoder.push(&data) {
                    break RefusalCode::AnswerTooLarge;
                }
                let mut out = BytesMut::new();
                while let Some(event) = decoder.next_event() {
                    match filter.classify(event) {
                        EventAction::Forward(raw) => out.extend_from_slice(&raw),
                        EventAction::Skip => {}
                        EventAction::Mismatch => break 'relay RefusalCode::AnswerInvalid,
                        EventAction::Done => {
                            if !out.is_empty() {
                                yield Ok(out.freeze());
                            }
                            let charged = charge.settle(filter.usage, ChargeOutcome::Ran).await;
                            yield Ok(final_event(&charge, charged));
                            let drain = async { while let Some(Ok(_)) = body.frame().await {} };
                            let _ = timeout(DRAIN_TIMEOUT, drain).await;
                            if let Some(guard) = guard.take() {
                                guard.complete();
                            }
                            return;
                        }
                    }
                }
                if !out.is_empty() {
                    yield Ok(out.freeze());
                }
                continue;
            }
            if Instant::now() >= deadline {
                break RefusalCode::AnswerTimeout;
            }
            // A silent engine may still go on where it is, so its connection is kept until another one
            // brings the stream.
            let is_silent = frame.is_err();
            attempts += u32::from(!is_silent);
            if attempts > MAX_RESUME_ATTEMPTS {
                break RefusalCode::OutcomeUnknown;
            }
            tracing::warn!(request = %charge.stream_id, attempts, is_silent, "engine stream interrupted; resuming it on a new connection");
            match resume::open_stream(&charge.api, &charge.address, &charge.stream_id, filter.last_event_id).await {
                Ok(response) => {
                    body = response.into_body();
                    decoder = SseDecoder::default();
                }
                // Without a time for a retry, the engine said that it no longer has the stream.
                Err(refusal) if is_silent && refusal.retry_after.is_some() => {
                    tracing::warn!(request = %charge.stream_id, "the silent engine stream cannot be resumed now; waiting for it");
                }
                Err(_) => break RefusalCode::OutcomeUnknown,
            }
        };
        if let Some(guard) = guard.take() {
            guard.fail();
        }
        let charged = charge.cancel(ChargeOutcome::Ran).await;
        let refusal = Refusal::new(failure).charged(charged);
        yield Ok(error_event(&charge, &refusal));
        // hyper flushes buffered data while the body is pending, and drops it when the body fails.
        tokio::task::yield_now().await;
        // Aborts the connection, so that no client takes the response for complete.
        yield Err(io::Error::other("engine stream interrupted"));
    }
}

/// Builds the last event of a complete response: `[DONE]`, with the charge in a comment, which
/// standard clients ignore.
fn final_event(charge: &StreamCharge, charged: Tokens) -> Bytes {
    let left = spend::spendable(&charge.api.state, &charge.context.budget);
    tracing::info!(request = %charge.stream_id, charged, "stream ended");
    // The comment is part of the `[DONE]` event. After an event with an id, some clients treat a
    // comment between blank lines as an event without data, and fail.
    format!(": x-jasminewall-charged={charged} x-jasminewall-budget-left={left}\ndata: [DONE]\n\n")
        .into()
}

fn error_event(charge: &StreamCharge, refusal: &Refusal) -> Bytes {
    tracing::warn!(request = %charge.stream_id, code = refusal.code.as_str(), "stream failed");
    charge
        .api
        .state
        .metrics
        .count_refusal(refusal.code.as_str());
    let problem = problems::to_json(Some(&charge.stream_id), refusal);
    let error = serde_json::json!({"error": {
        "message": problem["detail"], "code": problem["code"], "problem": problem,
    }});
    format!("data: {error}\n\n").into()
}
