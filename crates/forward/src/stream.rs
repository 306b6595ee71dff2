use std::{
    future::pending,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    futures_util::StreamExt,
    http::{HeaderMap, StatusCode},
    tokio::time::{sleep_until, timeout_at},
};

use crate::{
    attempt::{AdmittedRequest, ClassifiedResponse, InFlightGuard, OpenResponse, StreamResponse},
    dispatch::FirstResponse,
    forwarder::Forwarder,
    offer::{self, OfferSchedule},
    port::EndpointBody,
    record::RetryPolicy,
    request::{BrokenResponse, ForwardResponse, RefusalKind, ResponseBody},
    sse::{EventSplitter, StreamEvent},
};

/// Time after the deadline within which an endpoint may still end its stream.
const END_GRACE: Duration = Duration::from_millis(100);
/// Time for which an endpoint writes events before its crash has another cause than the request. An
/// engine crashes within a few steps after the first event, of which a slow one takes several 100 ms.
const PROOF_TIME: Duration = Duration::from_secs(2);

/// Relays the events of a stream to the caller. If the endpoint fails or pauses and the route allows
/// it, another endpoint continues the stream.
pub(crate) struct StreamRelay {
    forwarder: Arc<Forwarder>,
    admitted: AdmittedRequest,
    /// Response that is relayed; `None` after it broke off.
    run: Option<Box<StreamRun>>,
    /// Why the last response broke off.
    break_reason: String,
    last_event_id: Option<u64>,
    event_count: u64,
    last_event_at: Instant,
    longest_gap: Duration,
    /// Whether other requests with the same prompt parts were told that they crash no endpoint.
    is_proof_recorded: bool,
    offers: OfferSchedule,
}

/// One endpoint's response to a stream.
pub(crate) struct StreamRun {
    guard: InFlightGuard,
    status: StatusCode,
    headers: HeaderMap,
    body: EndpointBody,
    splitter: EventSplitter,
    /// See [`EndpointResponse::is_framed`](crate::port::EndpointResponse::is_framed).
    is_framed: bool,
    /// When enough of the stream has arrived that its endpoint does not crash with it.
    proven_at: Option<Instant>,
    /// Input that was read before the response became the relayed one.
    pending: Option<RunInput>,
}

/// Input from the endpoint of a [`StreamRun`].
enum RunInput {
    Event(StreamEvent),
    Complete,
    /// The endpoint sent an event that is too large.
    Oversized,
    /// The connection failed before the response was complete, or ended within an event.
    Closed(String),
}

/// Whether the response of the previous endpoint is kept while the request is offered to another one.
#[derive(Debug)]
pub(crate) struct PreviousResponse(AtomicBool);

impl PreviousResponse {
    pub(crate) fn new(is_kept: bool) -> Self {
        Self(AtomicBool::new(is_kept))
    }

    pub(crate) fn is_kept(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Called when the offer is all that is left.
    pub(crate) fn end(&self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// What the relay does next.
enum StreamStep {
    Input(RunInput),
    /// The rest of the stream is to be offered to another endpoint.
    OfferDue,
    /// The endpoint sent no event before the deadline.
    Expired,
    /// The response broke off, and no other endpoint may continue it.
    Broken,
}

/// Result of an offer, or of the running response while the offer was open.
enum OfferStep {
    Accepted(Box<StreamRun>),
    Refused(RefusalKind),
    Input(RunInput),
    Expired,
}

impl StreamRun {
    pub(crate) fn new(response: StreamResponse) -> Self {
        let (response, guard) = response.into_parts();
        Self {
            guard,
            status: response.status,
            headers: response.headers,
            body: response.body,
            splitter: EventSplitter::default(),
            is_framed: response.is_framed,
            proven_at: None,
            pending: None,
        }
    }

    /// Reads the next event. Nothing is lost if the future is dropped.
    async fn next(&mut self) -> RunInput {
        if let Some(input) = self.pending.take() {
            return input;
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return RunInput::Event(event);
            }
            match self.body.next().await {
                None if self.splitter.has_partial() => {
                    return RunInput::Closed("the stream ended within an event".into());
                }
                None => return RunInput::Complete,
                Some(Err(error)) => return RunInput::Closed(error.to_string()),
                Some(Ok(bytes)) => {
                    if !self.splitter.push(&bytes) {
                        return RunInput::Oversized;
                    }
                }
            }
        }
    }

    /// Waits until the endpoint of an offer has begun, while the previous one may go on at any moment.
    /// Nothing is lost if the future is dropped.
    pub(crate) async fn wait_first_event(
        &mut self,
        admitted: &AdmittedRequest,
    ) -> Result<(), RefusalKind> {
        let latest = admitted.deadline + END_GRACE;
        // An endpoint that has the request in its queue may write the head long before the first event.
        let expires_at = match admitted.may_run_again() {
            true => latest.min(offer::offer_time(Instant::now())),
            false => latest,
        };
        let first = async {
            loop {
                match self.next().await {
                    RunInput::Event(event) if !event.has_data => {}
                    input => return input,
                }
            }
        };
        let first = timeout_at(expires_at.into(), first).await;
        let (id, endpoint) = (&admitted.request.id, self.guard.endpoint());
        match first {
            Ok(RunInput::Closed(reason)) => {
                tracing::info!(request = %id, %endpoint, reason, "the rest of the stream broke off before its first event");
                self.pending = Some(RunInput::Closed(reason));
                self.guard.check_crash(admitted).await;
                Err(RefusalKind::Lost)
            }
            Ok(RunInput::Oversized) => {
                self.pending = Some(RunInput::Oversized);
                self.guard.mark_failed();
                Err(RefusalKind::Lost)
            }
            Ok(input) => {
                self.pending = Some(input);
                Ok(())
            }
            Err(_) => {
                let is_working = self.guard.life_sign().is_some();
                tracing::info!(request = %id, %endpoint, is_working, "no first event of the rest of the stream");
                if !is_working {
                    self.guard.mark_failed();
                }
                Err(RefusalKind::TimedOut)
            }
        }
    }

    /// Whether the endpoint has written events until `last_event_at`, for long enough that the request
    /// does not crash it.
    fn is_proven(&self, last_event_at: Instant) -> bool {
        self.proven_at.is_some_and(|at| last_event_at >= at)
    }
}

impl StreamRelay {
    /// Starts the response to the caller.
    pub(crate) fn start(
        forwarder: Arc<Forwarder>,
        admitted: AdmittedRequest,
        mut run: Box<StreamRun>,
    ) -> ForwardResponse {
        let status = run.status;
        let headers = std::mem::take(&mut run.headers);
        let now = Instant::now();
        let relay = Self {
            forwarder,
            admitted,
            run: Some(run),
            break_reason: String::new(),
            last_event_id: None,
            event_count: 0,
            last_event_at: now,
            longest_gap: Duration::ZERO,
            is_proof_recorded: false,
            offers: OfferSchedule::new(now),
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
                let mut step = self.step().await;
                if let StreamStep::OfferDue = step {
                    if !self.begin_offer() {
                        continue;
                    }
                    let offered = Instant::now();
                    let latest_end = self.latest_end();
                    let rejections = self.admitted.rejections;
                    let mut broken = None;
                    let outcome = {
                        let Self { forwarder, admitted, run, last_event_id, .. } = &mut self;
                        let previous = PreviousResponse::new(run.is_some());
                        let mut offer = pin!(forwarder.offer_rest(admitted, *last_event_id, &previous));
                        loop {
                            match offer_step(offer.as_mut(), run.as_mut(), latest_end).await {
                                // The caller has the event already.
                                OfferStep::Input(RunInput::Event(event))
                                    if is_repeated(&event, *last_event_id) => {}
                                // Comments are no progress, but the caller gets them.
                                OfferStep::Input(RunInput::Event(event)) if !event.has_data => {
                                    yield Ok(event.bytes);
                                }
                                OfferStep::Input(input @ (RunInput::Closed(_) | RunInput::Oversized)) => {
                                    // The offer is now all that is left.
                                    broken = run.take().map(|run| (run, input));
                                    previous.end();
                                }
                                outcome => break outcome,
                            }
                        }
                    };
                    let is_rejected = self.admitted.rejections > rejections;
                    if let Some((run, input)) = broken {
                        self.record_break(run, input).await;
                    }
                    match outcome {
                        OfferStep::Accepted(run) => {
                            self.continue_at(run);
                            continue;
                        }
                        OfferStep::Refused(kind) => {
                            self.postpone_offer(kind, is_rejected, offered);
                            continue;
                        }
                        OfferStep::Input(input) => step = StreamStep::Input(input),
                        OfferStep::Expired => step = StreamStep::Expired,
                    }
                }
                match step {
                    StreamStep::Input(RunInput::Event(event)) => {
                        if let Some(bytes) = self.accept_event(event) {
                            yield Ok(bytes);
                        }
                    }
                    StreamStep::Input(RunInput::Complete) => {
                        self.record_end();
                        return;
                    }
                    StreamStep::Input(input) => {
                        if let Some(run) = self.run.take() {
                            self.record_break(run, input).await;
                        }
                    }
                    // Replaced by the result of the offer.
                    StreamStep::OfferDue => {}
                    StreamStep::Expired => {
                        self.record_expiry();
                        yield Err(BrokenResponse(self.break_reason.as_str().into()));
                        return;
                    }
                    StreamStep::Broken => {
                        yield Err(BrokenResponse(self.break_reason.as_str().into()));
                        return;
                    }
                }
            }
        })
    }

    /// Waits for the next event, or until the stream is offered to another endpoint.
    async fn step(&mut self) -> StreamStep {
        let latest_end = self.latest_end();
        let offer_at = self.offer_at();
        let Some(run) = &mut self.run else {
            let Some(at) = offer_at else {
                return StreamStep::Broken;
            };
            sleep_until(at.into()).await;
            return StreamStep::OfferDue;
        };
        // Only events move the time of an offer: an endpoint that sends single bytes or comments now and
        // then is as silent as one that sends nothing.
        let wait_until = offer_at.map_or(latest_end, |at| at.min(latest_end));
        match timeout_at(wait_until.into(), run.next()).await {
            Ok(input) => StreamStep::Input(input),
            Err(_) if Instant::now() < latest_end => StreamStep::OfferDue,
            Err(_) => StreamStep::Expired,
        }
    }

    /// When the rest of the stream is offered to another endpoint; `None` if that is not allowed, or
    /// not possible in time.
    fn offer_at(&self) -> Option<Instant> {
        // If the events have no ids, the next endpoint cannot tell which ones the caller has.
        let has_position = self.event_count == 0 || self.last_event_id.is_some();
        if !self.route_resumes()
            || !has_position
            || self.offers.has_ended
            || !self.admitted.may_run_again()
        {
            return None;
        }
        if self.run.is_some() {
            // Before its first event, a request may still wait at its endpoint.
            self.last_event_id?;
            let at = offer::offer_time(self.last_event_at);
            return Some(at.max(self.offers.next_at));
        }
        let at = self.offers.next_at;
        let leaves_at = offer::leave_time(&self.admitted.route, self.last_event_at);
        let is_timely = at < self.admitted.deadline && (self.offers.due == 0 || at < leaves_at);
        is_timely.then_some(at)
    }

    /// Whether an offer may be made now; otherwise sets the time of the next one.
    fn begin_offer(&mut self) -> bool {
        let is_first = self.offers.due == 0;
        if is_first && self.run.is_some() {
            tracing::info!(
                request = %self.admitted.request.id, endpoint = self.endpoint_id(),
                events = self.event_count, last_event = self.last_event_id,
                is_working = self.is_endpoint_working(), "the stream pauses"
            );
        }
        let Self {
            forwarder,
            admitted,
            offers,
            run,
            ..
        } = self;
        let waiting = run.as_ref().map(|run| &run.guard.in_flight);
        forwarder.begin_offer(admitted, offers, waiting)
    }

    /// Continues with the response of another endpoint, which has begun. Ends the previous one.
    fn continue_at(&mut self, run: Box<StreamRun>) {
        tracing::info!(
            request = %self.admitted.request.id, endpoint = %run.guard.endpoint(),
            last_event = self.last_event_id, "the stream goes on"
        );
        self.forwarder.accept_offer(&self.admitted.service);
        let is_working = self.is_endpoint_working();
        if let Some(previous) = &mut self.run {
            self.forwarder.metrics.paused("moved");
            // An endpoint that only preempted this stream is sound.
            if !is_working {
                previous.guard.mark_failed();
                self.forwarder.metrics.lost();
            }
        }
        self.run = Some(run);
        self.last_event_at = Instant::now();
        self.offers.due = 0;
    }

    /// Sets the time of the next offer after one that no endpoint accepted.
    fn postpone_offer(&mut self, kind: RefusalKind, is_rejected: bool, offered: Instant) {
        tracing::info!(
            request = %self.admitted.request.id, refusal = kind.code(), is_rejected,
            has_response = self.run.is_some(), "the stream could not be resumed"
        );
        let (service, offers) = (&self.admitted.service, &mut self.offers);
        self.forwarder
            .postpone_offer(service, offers, kind, is_rejected, offered);
    }

    /// Counts and charges an event; `None` if the caller already has it.
    fn accept_event(&mut self, event: StreamEvent) -> Option<Bytes> {
        let run = self.run.as_mut()?;
        if self.event_count == 0 {
            run.guard.mark_responded();
            let taken_ms = self.admitted.request.arrived.elapsed().as_millis();
            tracing::info!(
                request = %self.admitted.request.id, endpoint = %run.guard.endpoint(), %taken_ms,
                "first event"
            );
            let arrived = self.admitted.request.arrived;
            self.forwarder
                .metrics
                .first_event(&self.admitted.route.name, arrived);
        }
        if is_repeated(&event, self.last_event_id) {
            return None;
        }
        if !event.has_data {
            // A comment is neither charged nor progress.
            return Some(event.bytes);
        }
        let now = Instant::now();
        run.guard.in_flight.record_progress(now);
        run.proven_at.get_or_insert(now + PROOF_TIME);
        let is_proven = run.is_proven(now);
        if self.event_count > 0 {
            let gap = now.saturating_duration_since(self.last_event_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
        if self.offers.due > 0 {
            self.forwarder.metrics.paused("waited");
            self.offers.due = 0;
        }
        if self.admitted.begun_at.is_none() {
            self.record_start();
        }
        self.last_event_at = now;
        self.last_event_id = event.id.or(self.last_event_id);
        self.event_count += 1;
        if is_proven {
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
        let Some(run) = &self.run else { return };
        let software = run.guard.software.clone();
        self.admitted.begun_at = Some(software.clone());
        if self.route_resumes() {
            let (request, service) = (&self.admitted.request, &self.admitted.service);
            self.forwarder
                .origins
                .record_start(&request.id, service, software);
        }
    }

    fn latest_end(&self) -> Instant {
        self.admitted.deadline + END_GRACE
    }

    fn route_resumes(&self) -> bool {
        self.admitted.route.retry_policy == RetryPolicy::ResumableStream
    }

    /// Whether other streams of the endpoint go on while this one pauses.
    fn is_endpoint_working(&self) -> bool {
        let sign = self.run.as_ref().and_then(|run| run.guard.life_sign());
        sign.is_some_and(|at| at > self.last_event_at)
    }

    fn endpoint_id(&self) -> &str {
        let run = self.run.as_ref();
        run.map_or("", |run| run.guard.endpoint().as_str())
    }

    /// Records that the response of an endpoint broke off, and finds out whether the endpoint crashed.
    async fn record_break(&mut self, mut run: Box<StreamRun>, input: RunInput) {
        let (reason, is_closed) = match input {
            RunInput::Closed(reason) => (reason, true),
            _ => ("an event is too large".to_owned(), false),
        };
        self.log_break(&run.guard, &reason);
        self.break_reason = reason;
        if is_closed && !run.is_proven(self.last_event_at) {
            run.guard.check_crash(&self.admitted).await;
        } else {
            run.guard.mark_failed();
        }
        self.offers.next_at = Instant::now();
        self.offers.due = 0;
    }

    /// Records that the endpoint has not ended the stream before the deadline.
    fn record_expiry(&mut self) {
        self.break_reason = "no event before the deadline".to_owned();
        if let Some(mut run) = self.run.take() {
            run.guard.mark_failed();
            self.log_break(&run.guard, &self.break_reason);
        }
    }

    fn log_break(&self, guard: &InFlightGuard, reason: &str) {
        tracing::info!(
            request = %self.admitted.request.id, endpoint = %guard.endpoint(),
            events = self.event_count, last_event = self.last_event_id, reason,
            "the stream broke off"
        );
        self.forwarder.metrics.lost();
        if self.offers.due > 0 {
            self.forwarder.metrics.paused("lost");
        }
    }

    /// Records that the request does not crash endpoints, as soon as that is known: a long stream would
    /// otherwise keep its prompt parts under suspicion.
    fn record_proof(&mut self) {
        if !std::mem::replace(&mut self.is_proof_recorded, true) {
            self.forwarder.record_completion(&self.admitted);
        }
    }

    fn record_end(&mut self) {
        let Some(run) = &self.run else { return };
        if run.is_framed || run.is_proven(self.last_event_at) {
            self.record_proof();
        }
        let arrived = self.admitted.request.arrived;
        let taken_ms = arrived.elapsed().as_millis();
        tracing::info!(
            request = %self.admitted.request.id, endpoint = self.endpoint_id(),
            events = self.event_count, longest_gap_ms = self.longest_gap.as_millis() as u64, %taken_ms,
            "answered"
        );
        self.forwarder
            .metrics
            .answered(&self.admitted.route.name, StatusCode::OK, arrived);
    }
}

impl Forwarder {
    /// Offers the rest of a stream to other endpoints.
    async fn offer_rest(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
        last_event_id: Option<u64>,
        previous: &PreviousResponse,
    ) -> Result<Box<StreamRun>, RefusalKind> {
        if previous.is_kept() {
            return self
                .offer_rest_beside(admitted, last_event_id, previous)
                .await;
        }
        match self.dispatch(admitted, last_event_id).await? {
            FirstResponse::Open(open) => Self::begin_stream(admitted, *open),
            FirstResponse::Stream(run) => Ok(run),
        }
    }

    /// Begins to read the response to an offer, which may be an error.
    pub(crate) fn begin_stream(
        admitted: &AdmittedRequest,
        open: OpenResponse,
    ) -> Result<Box<StreamRun>, RefusalKind> {
        let status = open.status();
        match open.classify(admitted.route.retry_policy) {
            ClassifiedResponse::Stream(response) => Ok(Box::new(StreamRun::new(response))),
            ClassifiedResponse::Whole(_) => {
                tracing::info!(request = %admitted.request.id, %status, "the rest of the stream is an error");
                Err(RefusalKind::Lost)
            }
        }
    }

    /// Offers the rest of a stream to other endpoints while the previous response is kept, which may go on
    /// at any moment: the offer counts as accepted only when the new endpoint has begun.
    async fn offer_rest_beside(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
        last_event_id: Option<u64>,
        previous: &PreviousResponse,
    ) -> Result<Box<StreamRun>, RefusalKind> {
        let open = self.send_offer(admitted, last_event_id, previous).await?;
        let mut run = Self::begin_stream(admitted, *open)?;
        if !previous.is_kept() {
            return Ok(run);
        }
        match run.wait_first_event(admitted).await {
            Ok(()) => Ok(run),
            Err(RefusalKind::TimedOut) if !previous.is_kept() => Ok(run),
            Err(kind) => Err(kind),
        }
    }
}

/// Whether an event is not after the last one that the caller got.
fn is_repeated(event: &StreamEvent, last_event_id: Option<u64>) -> bool {
    let ids = event.id.zip(last_event_id);
    ids.is_some_and(|(id, last)| id <= last)
}

/// Waits for the result of an offer, and meanwhile for input of the response that is relayed.
async fn offer_step(
    offer: Pin<&mut impl Future<Output = Result<Box<StreamRun>, RefusalKind>>>,
    run: Option<&mut Box<StreamRun>>,
    latest_end: Instant,
) -> OfferStep {
    let input = async {
        match run {
            Some(run) => run.next().await,
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        // Once the new endpoint has begun, the previous one must not go on as well.
        outcome = offer => outcome.map_or_else(OfferStep::Refused, OfferStep::Accepted),
        input = input => OfferStep::Input(input),
        () = sleep_until(latest_end.into()) => OfferStep::Expired,
    }
}
