use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {bytes::Bytes, futures_util::StreamExt, tokio::time::timeout_at};

use crate::{
    attempt::{AdmittedRequest, InFlightGuard, OpenResponse},
    forwarder::Forwarder,
    port::EndpointBody,
    record::RetryPolicy,
    request::{BrokenResponse, ForwardResponse, ResponseBody},
    sse::{EventSplitter, StreamEvent},
};

/// Time after the deadline within which an endpoint may still end its stream.
const END_GRACE: Duration = Duration::from_millis(100);
/// Longest time without an event before another endpoint continues a resumable stream. Callers give
/// up after two seconds without an event.
const GAP_LIMIT: Duration = Duration::from_millis(1_200);

/// Time for which an endpoint writes events before its crash has another cause than the request. An
/// engine crashes within a few steps after the first event, of which a slow one takes several 100 ms.
const PROOF_TIME: Duration = Duration::from_secs(2);

/// Relays the events of a stream to the caller. If the endpoint fails and the route allows it, the
/// relay continues the stream at another endpoint.
pub(crate) struct StreamRelay {
    forwarder: Arc<Forwarder>,
    admitted: AdmittedRequest,
    guard: InFlightGuard,
    body: EndpointBody,
    splitter: EventSplitter,
    last_event_id: Option<u64>,
    event_count: u64,
    last_event_at: Instant,
    longest_gap: Duration,
    /// See [`EndpointResponse::is_framed`](crate::port::EndpointResponse::is_framed).
    is_framed: bool,
    /// When enough of the stream has arrived that its endpoint does not crash with it.
    proven_at: Option<Instant>,
    /// Whether other requests with the same prompt parts were told so.
    is_proof_recorded: bool,
    /// Set when no other endpoint may continue a slow stream: it then has until its deadline.
    waits: bool,
}

/// Result of reading from the current endpoint.
enum StreamStep {
    Event(Bytes),
    Complete,
    /// The endpoint sent no event for [`GAP_LIMIT`].
    Stalled,
    /// The endpoint sent no event before the deadline, or sent an event that is too large.
    Failed(String),
    /// The connection failed before the response was complete, or ended within an event.
    Closed(String),
}

impl StreamRelay {
    /// Starts the response to the caller.
    pub(crate) fn start(
        forwarder: Arc<Forwarder>,
        admitted: AdmittedRequest,
        open: OpenResponse,
    ) -> ForwardResponse {
        let status = open.response.status;
        let headers = open.response.headers;
        let relay = Self {
            forwarder,
            admitted,
            guard: open.guard,
            body: open.response.body,
            splitter: EventSplitter::default(),
            last_event_id: None,
            event_count: 0,
            last_event_at: Instant::now(),
            longest_gap: Duration::ZERO,
            is_framed: open.response.is_framed,
            proven_at: None,
            is_proof_recorded: false,
            waits: false,
        };
        ForwardResponse::Relayed {
            status,
            headers,
            length: None,
            body: relay.into_body(),
        }
    }

    fn into_body(mut self) -> ResponseBody {
        Box::pin(async_stream::stream! {
            loop {
                match self.step().await {
                    StreamStep::Event(bytes) => yield Ok(bytes),
                    StreamStep::Complete => {
                        self.record_end();
                        return;
                    }
                    StreamStep::Stalled if !self.take_move() => {
                        tracing::info!(
                            request = %self.admitted.request.id, endpoint = %self.guard.endpoint(),
                            last_event = self.last_event_id,
                            "the stream is slow and cannot be moved; waiting for it"
                        );
                        self.forwarder.metrics.paused("waited");
                        self.waits = true;
                    }
                    StreamStep::Stalled => {
                        self.guard.mark_failed();
                        let reason = "no event in time";
                        self.log_break(reason);
                        if self.resume_elsewhere().await {
                            self.forwarder.metrics.paused("moved");
                            continue;
                        }
                        self.forwarder.metrics.paused("lost");
                        yield Err(BrokenResponse(reason.into()));
                        return;
                    }
                    step @ (StreamStep::Failed(_) | StreamStep::Closed(_)) => {
                        let reason = self.record_failure(step).await;
                        if self.resume(&reason).await {
                            continue;
                        }
                        yield Err(BrokenResponse(reason.into()));
                        return;
                    }
                }
            }
        })
    }

    async fn step(&mut self) -> StreamStep {
        loop {
            if let Some(event) = self.splitter.next_event() {
                if let Some(bytes) = self.accept_event(event) {
                    return StreamStep::Event(bytes);
                }
                continue;
            }
            let read_deadline = self.read_deadline();
            match timeout_at(read_deadline.into(), self.body.next()).await {
                Err(_) if Instant::now() < self.latest_end() => return StreamStep::Stalled,
                Err(_) => return StreamStep::Failed("no event before the deadline".into()),
                Ok(None) if self.splitter.has_partial() => {
                    return StreamStep::Closed("the stream ended within an event".into());
                }
                Ok(None) => return StreamStep::Complete,
                Ok(Some(Err(error))) => return StreamStep::Closed(error.to_string()),
                Ok(Some(Ok(bytes))) => {
                    if !self.splitter.push(&bytes) {
                        return StreamStep::Failed("an event is too large".into());
                    }
                }
            }
        }
    }

    /// Counts and charges an event; `None` if the caller already has it.
    fn accept_event(&mut self, event: StreamEvent) -> Option<Bytes> {
        if self.event_count == 0 {
            self.guard.mark_responded();
            let taken_ms = self.admitted.request.arrived.elapsed().as_millis();
            tracing::info!(
                request = %self.admitted.request.id, endpoint = %self.guard.endpoint(), %taken_ms,
                "first event"
            );
            let arrived = self.admitted.request.arrived;
            self.forwarder
                .metrics
                .first_event(&self.admitted.route.name, arrived);
        }
        if let (Some(id), Some(previous)) = (event.id, self.last_event_id)
            && id <= previous
        {
            return None;
        }
        if !event.has_data {
            // A comment is neither charged nor progress.
            return Some(event.bytes);
        }
        let now = Instant::now();
        if self.event_count > 0 {
            let gap = now.saturating_duration_since(self.last_event_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.proven_at.get_or_insert(now + PROOF_TIME);
        if self.admitted.begun_at.is_none() {
            self.record_start();
        }
        self.last_event_at = now;
        self.last_event_id = event.id.or(self.last_event_id);
        self.event_count += 1;
        if self.is_proven() {
            self.record_proof();
        }
        let tokens = self.admitted.event_tokens;
        if let Some(hold) = &mut self.admitted.hold {
            hold.add_charge(tokens);
        }
        Some(event.bytes)
    }

    /// Records which software version brings the first event.
    fn record_start(&mut self) {
        let software = self.guard.software.clone();
        self.admitted.begun_at = Some(software.clone());
        if self.route_resumes() {
            let (request, service) = (&self.admitted.request, &self.admitted.service);
            self.forwarder
                .origins
                .record_start(&request.id, service, software);
        }
    }

    /// When the next bytes must arrive. Only events move it: an endpoint that sends single bytes or
    /// comments now and then is as stalled as a silent one.
    fn read_deadline(&self) -> Instant {
        let latest = self.latest_end();
        self.gap_ends_at().map_or(latest, |at| latest.min(at))
    }

    fn latest_end(&self) -> Instant {
        self.admitted.deadline + END_GRACE
    }

    /// When the pause since the last event is so long that another endpoint continues the stream.
    fn gap_ends_at(&self) -> Option<Instant> {
        let may_move = self.route_resumes() && self.last_event_id.is_some() && !self.waits;
        may_move.then(|| self.last_event_at + GAP_LIMIT)
    }

    fn route_resumes(&self) -> bool {
        self.admitted.route.retry_policy == RetryPolicy::ResumableStream
    }

    /// Records that the endpoint failed, and returns the reason.
    async fn record_failure(&mut self, step: StreamStep) -> String {
        match step {
            StreamStep::Closed(reason) if self.is_proven() => {
                self.guard.mark_failed();
                reason
            }
            StreamStep::Closed(reason) => {
                self.guard.check_crash(&self.admitted).await;
                reason
            }
            StreamStep::Failed(reason) => {
                self.guard.mark_failed();
                reason
            }
            StreamStep::Event(_) | StreamStep::Complete | StreamStep::Stalled => String::new(),
        }
    }

    /// Whether another endpoint may continue the stream. The current one is left only then.
    fn take_move(&self) -> bool {
        self.forwarder.has_untried_endpoint(&self.admitted)
            && self.forwarder.take_resume(&self.admitted)
    }

    fn log_break(&self, reason: &str) {
        tracing::info!(
            request = %self.admitted.request.id, endpoint = %self.guard.endpoint(),
            events = self.event_count, last_event = self.last_event_id, reason,
            "the stream broke off"
        );
        self.forwarder.metrics.lost();
    }

    /// Continues the stream at another endpoint; `false` if that is not possible.
    async fn resume(&mut self, reason: &str) -> bool {
        self.log_break(reason);
        let expired = Instant::now() >= self.admitted.deadline;
        // If the events have no ids, the next endpoint cannot tell which ones the caller has.
        let has_position = self.event_count == 0 || self.last_event_id.is_some();
        if expired
            || !has_position
            || !self.route_resumes()
            || !self.forwarder.take_resume(&self.admitted)
        {
            return false;
        }
        self.resume_elsewhere().await
    }

    /// Sends the request to another endpoint, from the event after the last one.
    async fn resume_elsewhere(&mut self) -> bool {
        let request = self.admitted.request.id.clone();
        self.body = Box::pin(futures_util::stream::empty());
        match self
            .forwarder
            .send(&mut self.admitted, self.last_event_id)
            .await
        {
            Ok(open) if open.response.status.is_success() => {
                tracing::info!(%request, endpoint = %open.guard.endpoint(), last_event = self.last_event_id, "the stream goes on");
                self.guard = open.guard;
                self.is_framed = open.response.is_framed;
                self.body = open.response.body;
                self.splitter = EventSplitter::default();
                self.last_event_at = Instant::now();
                self.proven_at = None;
                true
            }
            Ok(open) => {
                tracing::info!(%request, status = %open.response.status, "the stream could not be resumed");
                false
            }
            Err(kind) => {
                tracing::info!(%request, refusal = kind.code(), "the stream could not be resumed");
                false
            }
        }
    }

    /// Whether the endpoint has written events for long enough that the request does not crash it.
    fn is_proven(&self) -> bool {
        self.proven_at.is_some_and(|at| self.last_event_at >= at)
    }

    /// Records that the request does not crash endpoints, as soon as that is known: a long stream would
    /// otherwise keep its prompt parts under suspicion.
    fn record_proof(&mut self) {
        if !std::mem::replace(&mut self.is_proof_recorded, true) {
            self.forwarder.record_completion(&self.admitted);
        }
    }

    fn record_end(&mut self) {
        if self.is_framed || self.is_proven() {
            self.record_proof();
        }
        let arrived = self.admitted.request.arrived;
        let taken_ms = arrived.elapsed().as_millis();
        tracing::info!(
            request = %self.admitted.request.id, endpoint = %self.guard.endpoint(),
            events = self.event_count, longest_gap_ms = self.longest_gap.as_millis() as u64, %taken_ms,
            "answered"
        );
        self.forwarder
            .metrics
            .answered(&self.admitted.route.name, http::StatusCode::OK, arrived);
    }
}
