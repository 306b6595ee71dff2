//! Relays an engine's event stream to the caller and charges it once.

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
    auth::CallerRequest,
    execute, problems, resume,
    sse::{SseDecoder, SseEvent, contains},
};
use crate::{
    dispatch::WorkGuard,
    spend::{self, ChargeOutcome},
};

/// Longest time without an event before the stream is continued on a new connection.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Times that a stream is continued on a new connection.
const RESUME_ATTEMPTS: u32 = 3;
/// Time to read the end of an endpoint's body after `[DONE]`, so that its connection is reused.
const DRAIN_TIME: Duration = Duration::from_millis(50);
/// Time beyond its deadline that a stream has to report its own end.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// Longest time that the engine may take to cancel a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Whose account a stream is charged to.
#[derive(Clone, Debug)]
pub(super) enum ChargeTarget {
    /// The hold of this router, with its amount.
    Own(Tokens),
    /// The hold of the router that started the stream.
    Holder(ResumeToken),
}

/// Open stream of an engine that is charged exactly once: at its end, or when the caller leaves.
pub(super) struct StreamCharge {
    api: Arc<CallerApi>,
    caller: CallerRequest,
    /// Id under which the engine keeps the stream.
    stream: RequestId,
    /// Address of the engine.
    address: String,
    target: ChargeTarget,
    settled: CancellationToken,
}

impl StreamCharge {
    pub(super) fn new(
        api: Arc<CallerApi>,
        caller: CallerRequest,
        address: String,
        target: ChargeTarget,
    ) -> Self {
        let stream = match &target {
            ChargeTarget::Own(_) => caller.id.clone(),
            ChargeTarget::Holder(token) => token.request.clone(),
        };
        Self {
            api,
            caller,
            stream,
            address,
            target,
            settled: CancellationToken::new(),
        }
    }

    /// Work of cancelling the engine stream and charging what it generated.
    fn cancellation(&self, end: ChargeOutcome) -> impl Future<Output = Tokens> + Send + 'static {
        let api = self.api.clone();
        let caller = self.caller.clone();
        let stream = self.stream.clone();
        let address = self.address.clone();
        let target = self.target.clone();
        async move { cancel_and_charge(&api, &caller, &address, &stream, &target, end).await }
    }

    /// Ends the stream after its deadline. A caller that does not read keeps the relay from being
    /// polled, and its hold would last as long as its connection.
    fn watch_deadline(&self) {
        let settled = self.settled.clone();
        let deadline = Instant::from_std(self.caller.deadline) + DEADLINE_GRACE;
        let cancellation = self.cancellation(ChargeOutcome::Cancelled);
        let stream = self.stream.clone();
        self.api.tracker.spawn(async move {
            tokio::select! {
                () = settled.cancelled() => return,
                () = sleep_until(deadline) => settled.cancel(),
            }
            let charged = cancellation.await;
            tracing::warn!(request = %stream, charged, "the caller did not read the stream until its deadline; it was cancelled");
        });
    }

    /// Charges the usage, or leaves the hold unresolved when it is not known.
    async fn settle(&mut self, usage: Option<Tokens>, end: ChargeOutcome) -> Tokens {
        self.settled.cancel();
        charge(&self.api, &self.caller, &self.target, usage, end).await
    }

    /// Cancels the engine stream and charges what it generated.
    async fn cancel(&mut self, end: ChargeOutcome) -> Tokens {
        self.settled.cancel();
        self.cancellation(end).await
    }
}

impl Drop for StreamCharge {
    fn drop(&mut self) {
        if self.settled.is_cancelled() {
            return;
        }
        self.settled.cancel();
        // There is no runtime any more when the process itself ends; the engine's list remains.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let cancellation = self.cancellation(ChargeOutcome::Cancelled);
        let stream = self.stream.clone();
        let task = async move {
            let charged = cancellation.await;
            tracing::info!(request = %stream, charged, "the caller left the stream; it was cancelled");
        };
        self.api.tracker.spawn_on(task, &runtime);
    }
}

async fn cancel_and_charge(
    api: &CallerApi,
    caller: &CallerRequest,
    address: &str,
    stream: &RequestId,
    target: &ChargeTarget,
    end: ChargeOutcome,
) -> Tokens {
    let usage = cancel(api, address, stream).await;
    if usage.is_none() {
        tracing::warn!(request = %stream, "the engine did not say what it generated; the charge stays unresolved");
    }
    charge(api, caller, target, usage, end).await
}

/// Cancels a stream at the engine; returns the tokens that it used.
async fn cancel(api: &CallerApi, address: &str, stream: &RequestId) -> Option<Tokens> {
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
        execute::usage_of(&body.to_bytes())
    };
    timeout(CANCEL_TIMEOUT, exchange).await.ok().flatten()
}

async fn charge(
    api: &CallerApi,
    caller: &CallerRequest,
    target: &ChargeTarget,
    usage: Option<Tokens>,
    end: ChargeOutcome,
) -> Tokens {
    match (target, usage) {
        (ChargeTarget::Own(_), Some(tokens)) => execute::settle(api, caller, tokens, end),
        (ChargeTarget::Own(work), None) => {
            execute::settle(api, caller, *work, ChargeOutcome::Unknown)
        }
        (ChargeTarget::Holder(token), Some(tokens)) => {
            resume::charge_holder(api, token, tokens).await;
            tokens
        }
        // The holder's own settlement finds the usage in the engine's list.
        (ChargeTarget::Holder(_), None) => 0,
    }
}

/// What becomes of one event.
enum EventStep {
    Pass(Bytes),
    Skip,
    Done,
    Foreign,
}

/// Checks of the events of one stream.
struct EventFilter {
    request: RequestId,
    /// `"id":"..."` of the first chunk, as text that all other chunks contain.
    stream_id: Option<String>,
    last: Option<u64>,
    usage: Option<Tokens>,
    usage_wanted: bool,
}

#[derive(Deserialize)]
struct ChunkHead<'a> {
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
    /// Decides on an event; parses its JSON only for the first chunk, for usage, and when the id
    /// of the stream is not in its text.
    fn take(&mut self, event: SseEvent) -> EventStep {
        // Comments of the engine keep the connection alive; standard clients fail on an event
        // without data.
        let Some(data) = &event.data else {
            return EventStep::Skip;
        };
        if data.as_ref() == b"[DONE]" {
            return EventStep::Done;
        }
        if let Some(id) = event.id {
            if self.last.is_some_and(|last| id <= last) {
                return EventStep::Skip;
            }
            self.last = Some(id);
        }
        let known = self
            .stream_id
            .as_ref()
            .is_some_and(|id| contains(data, id.as_bytes()));
        let has_usage = contains(data, b"\"usage\"")
            && !contains(data, b"\"usage\":null")
            && !contains(data, b"\"usage\": null");
        if known && !has_usage {
            return EventStep::Pass(event.raw);
        }
        let Ok(head) = serde_json::from_slice::<ChunkHead<'_>>(data) else {
            return EventStep::Pass(event.raw);
        };
        if !known && let Some(id) = &head.id {
            // An id that needs escapes in JSON does not occur as plain text and is compared again.
            let text = Value::from(id.as_ref()).to_string();
            match &self.stream_id {
                Some(expected) if *expected != text => return EventStep::Foreign,
                None if execute::is_foreign(&self.request, id) => return EventStep::Foreign,
                _ => self.stream_id = Some(text),
            }
        }
        if let Some(usage) = head.usage.and_then(|usage| usage.total_tokens) {
            self.usage = Some(usage);
            let only_usage = head.choices.is_some_and(|choices| choices.is_empty());
            if only_usage && !self.usage_wanted {
                return EventStep::Skip;
            }
        }
        EventStep::Pass(event.raw)
    }
}

/// Stream of an engine and what is needed to relay it.
pub(super) struct StreamRelay {
    pub(super) body: Incoming,
    pub(super) guard: Option<WorkGuard>,
    pub(super) charge: StreamCharge,
    /// Offset that the caller has already, for a resumed stream.
    pub(super) last: Option<u64>,
    pub(super) usage_wanted: bool,
}

/// Response that relays a stream, with the headers of the router.
pub(super) fn respond(relay: StreamRelay, resume_token: &str) -> Response {
    let charge = &relay.charge;
    charge.watch_deadline();
    let left = spend::spendable(&charge.api.state, &charge.caller.budget);
    let stream = charge.stream.clone();
    let mut response = Response::new(Body::from_stream(events(relay)));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    headers.insert("x-jasminewall-budget-left", HeaderValue::from(left));
    for (name, value) in [
        ("x-jasminewall-request", stream.as_str()),
        ("x-jasminewall-resume", resume_token),
    ] {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    response
}

/// Events for the caller; dropping the stream cancels the engine's.
fn events(relay: StreamRelay) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    let StreamRelay {
        mut body,
        mut guard,
        mut charge,
        last,
        usage_wanted,
    } = relay;
    async_stream::stream! {
        let mut filter = EventFilter {
            request: charge.stream.clone(),
            stream_id: None,
            last,
            usage: None,
            usage_wanted,
        };
        let mut decoder = SseDecoder::default();
        let mut attempts = 0;
        let deadline = Instant::from_std(charge.caller.deadline);
        let failure = 'relay: loop {
            let wait = deadline.min(Instant::now() + PROGRESS_TIMEOUT);
            let frame = timeout_at(wait, body.frame()).await;
            if let Ok(Some(Ok(frame))) = frame {
                let Ok(data) = frame.into_data() else { continue };
                if let Some(guard) = &mut guard {
                    guard.progress();
                }
                if !decoder.push(&data) {
                    break RefusalCode::AnswerTooLarge;
                }
                let mut out = BytesMut::new();
                while let Some(event) = decoder.next_event() {
                    match filter.take(event) {
                        EventStep::Pass(raw) => out.extend_from_slice(&raw),
                        EventStep::Skip => {}
                        EventStep::Foreign => break 'relay RefusalCode::AnswerInvalid,
                        EventStep::Done => {
                            if !out.is_empty() {
                                yield Ok(out.freeze());
                            }
                            let charged = charge.settle(filter.usage, ChargeOutcome::Ran).await;
                            yield Ok(last_events(&charge, charged));
                            let drained = async { while let Some(Ok(_)) = body.frame().await {} };
                            let _ = timeout(DRAIN_TIME, drained).await;
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
            attempts += 1;
            if attempts > RESUME_ATTEMPTS {
                break RefusalCode::OutcomeUnknown;
            }
            tracing::warn!(request = %charge.stream, attempts, "the stream broke off; it is continued on a new connection");
            match resume::open_stream(&charge.api, &charge.address, &charge.stream, filter.last).await {
                Ok(response) => {
                    body = response.into_body();
                    decoder = SseDecoder::default();
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
        // hyper flushes what it has while the body is pending and drops it when the body fails.
        tokio::task::yield_now().await;
        // The connection is cut, so that no client takes the answer for a whole one.
        yield Err(io::Error::other("the engine stream broke off"));
    }
}

/// Cost as a comment, which standard clients ignore, and the mark of a whole answer.
fn last_events(charge: &StreamCharge, charged: Tokens) -> Bytes {
    let left = spend::spendable(&charge.api.state, &charge.caller.budget);
    tracing::info!(request = %charge.stream, charged, "stream ended");
    // The comment stands in the event of `[DONE]`: after an event with an id, some clients take a
    // comment between blank lines for an event without data and fail on it.
    format!(": x-jasminewall-charged={charged} x-jasminewall-budget-left={left}\ndata: [DONE]\n\n")
        .into()
}

fn error_event(charge: &StreamCharge, refusal: &Refusal) -> Bytes {
    tracing::warn!(request = %charge.stream, code = refusal.code.as_str(), "stream failed");
    charge.api.state.metrics.refused(refusal.code.as_str());
    let problem = problems::body(Some(&charge.stream), refusal);
    let error = serde_json::json!({"error": {
        "message": problem["detail"], "code": problem["code"], "problem": problem,
    }});
    format!("data: {error}\n\n").into()
}
