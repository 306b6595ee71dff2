//! Sends admitted requests to endpoints until one of them responds.
//!
//! An endpoint that has not responded may have the request in its queue, have preempted it, or be
//! gone. So its call is kept while the request is offered to another endpoint, like the response of a
//! stream that pauses, and ends once the other one has begun.

use std::{
    collections::HashMap,
    pin::Pin,
    sync::{Arc, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    http::StatusCode,
    jasminewall_core::EndpointId,
    smol_str::SmolStr,
    tokio::time::{sleep_until, timeout_at},
};

use crate::{
    attempt::{
        AdmittedRequest, InFlightGuard, OpenResponse, is_usable, refusal_of, response_deadline,
        response_time,
    },
    balancer::InFlight,
    forwarder::{Forwarder, RESPONSE_GRACE, SEND_LIMIT},
    offer::{OfferGate, OfferSchedule},
    port::{CallError, EndpointCall, EndpointResponse},
    record::{RetryPolicy, RouteRule, ServiceId},
    request::RefusalKind,
    stream::{PreviousResponse, StreamRun},
};

/// Number of connection failures after which a request is refused.
const CONNECT_LIMIT: u32 = 6;
/// Longest wait for an endpoint that limits its rate, as a part of the route's target latency.
const PERMIT_WAIT_DIVISOR: u32 = 4;
/// Time after which an offer that could not be made is tried again.
const OFFER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Largest number of endpoints that get one offer of a response that broke off, and of one that pauses
/// or was rejected: the loads that routers know are up to a second old, so a few attempts are worth it
/// once, but under full load each one is a retry for nothing.
const BREAK_SENDS: u32 = 3;
const PAUSE_SENDS: u32 = 1;
/// Longest time for which two endpoints work on a request whose response tells only its end. The rules
/// allow 400 ms.
const OVERLAP_LIMIT: Duration = Duration::from_millis(300);

/// Outcome of a call; `None` if there was none in time.
type CallOutcome = Option<Result<EndpointResponse, CallError>>;

/// Response of the endpoint that began first.
pub(crate) enum FirstResponse {
    Open(Box<OpenResponse>),
    /// Stream whose first event has arrived, or whose endpoint is the only one left.
    Stream(Box<StreamRun>),
}

type ResponseFuture = Pin<Box<dyn Future<Output = Result<EndpointResponse, CallError>> + Send>>;

/// Call to an endpoint that has not responded.
struct PendingCall {
    guard: InFlightGuard,
    call: ResponseFuture,
}

/// Outcome of a call once it is recorded.
enum RecordedOutcome {
    Response(Box<OpenResponse>),
    /// The endpoint rejected the request, or the outcome is unknown.
    Failed(EndpointId, RefusalKind),
    /// The endpoint could not be connected.
    NotSent,
}

/// End of the wait for the response of an endpoint.
enum WaitEnd {
    Outcome(InFlightGuard, Box<CallOutcome>),
    /// Another endpoint has begun.
    Moved(FirstResponse),
}

/// End of an offer that is made while an endpoint has not responded.
enum OfferEnd {
    /// Nothing came of the offer.
    Refused,
    /// The first endpoint has responded, or the deadline has passed.
    Responded(CallOutcome),
    /// The other endpoint has begun; with the outcome at the first one, if it has failed meanwhile.
    Moved(FirstResponse, CallOutcome),
    /// The other endpoint has the request alone and has not responded; with the outcome at the first.
    Replaced(PendingCall, CallOutcome),
}

impl Forwarder {
    /// Sends a request until an endpoint returns a response for the caller; `resume_from` continues a
    /// stream after that event.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
        resume_from: Option<u64>,
    ) -> Result<FirstResponse, RefusalKind> {
        let latest_permit = latest_permit(admitted);
        loop {
            let pending = self
                .begin_call(admitted, resume_from, latest_permit)
                .await?;
            let waited = self.wait_response(admitted, pending, resume_from);
            let (guard, outcome) = match waited.await {
                WaitEnd::Outcome(guard, outcome) => (guard, *outcome),
                WaitEnd::Moved(response) => return Ok(response),
            };
            let open = match self.record_outcome(admitted, guard, outcome).await {
                RecordedOutcome::Response(open) => open,
                RecordedOutcome::Failed(endpoint, kind) => {
                    self.give_up_or_retry(admitted, endpoint, kind)?;
                    continue;
                }
                RecordedOutcome::NotSent => {
                    check_connects(admitted)?;
                    continue;
                }
            };
            let status = open.status();
            let retry = status.is_server_error()
                && admitted.route.retry_policy == RetryPolicy::Idempotent
                && admitted.may_run_again()
                && self.take_retry(admitted);
            if !retry {
                return Ok(FirstResponse::Open(open));
            }
            tracing::info!(request = %admitted.request.id, endpoint = %open.endpoint(), %status, "retrying after an error of the endpoint");
        }
    }

    /// Sends the rest of a stream until an endpoint starts an authentic response.
    pub(crate) async fn send_offer(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
        resume_from: Option<u64>,
        previous: &PreviousResponse,
    ) -> Result<Box<OpenResponse>, RefusalKind> {
        let latest_permit = latest_permit(admitted);
        loop {
            let mut pending = self
                .begin_call(admitted, resume_from, latest_permit)
                .await?;
            let latest = admitted.deadline + RESPONSE_GRACE;
            let deadline = response_deadline(admitted);
            let outcome = match timeout_at(deadline.into(), &mut pending.call).await {
                // The offer is all that is left.
                Err(_) if !previous.is_kept() => {
                    timeout_at(latest.into(), &mut pending.call).await.ok()
                }
                outcome => outcome.ok(),
            };
            match self.record_outcome(admitted, pending.guard, outcome).await {
                RecordedOutcome::Response(open) => return Ok(open),
                RecordedOutcome::Failed(endpoint, kind) => {
                    self.give_up_or_retry(admitted, endpoint, kind)?;
                }
                RecordedOutcome::NotSent => check_connects(admitted)?,
            }
        }
    }

    /// Chooses an endpoint and calls it. The request is sent when the call is polled.
    async fn begin_call(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
        resume_from: Option<u64>,
        latest_permit: Instant,
    ) -> Result<PendingCall, RefusalKind> {
        let (address, guard) = loop {
            self.check_suspects(admitted).await?;
            match self.place(admitted) {
                Err(RefusalKind::RateLimited(at)) if at < latest_permit => {
                    sleep_until(at.into()).await;
                }
                placed => break placed?,
            }
        };
        let (endpoints, request) = (self.endpoints.clone(), admitted.request.clone());
        let sends = admitted.open_sends.clone();
        let (endpoint, customer) = (guard.endpoint().clone(), admitted.customer.clone());
        let (deadline, priority) = (admitted.deadline, admitted.priority);
        let retryable = admitted.route.retry_policy.may_retry();
        let resume_from = resume_from.map(|id| SmolStr::from(id.to_string()));
        let call = async move {
            let call = EndpointCall {
                request: &request,
                endpoint,
                address,
                customer,
                deadline,
                resume_from: resume_from.or_else(|| request.resume_from.clone()),
                priority,
                retryable,
                sends: &sends,
            };
            endpoints.call(call).await
        };
        Ok(PendingCall {
            guard,
            call: Box::pin(call),
        })
    }

    /// Waits for the response of an endpoint, and meanwhile offers the request to others.
    async fn wait_response(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
        mut pending: PendingCall,
        resume_from: Option<u64>,
    ) -> WaitEnd {
        let latest = admitted.deadline + RESPONSE_GRACE;
        let mut offers = first_offer(&admitted.route);
        loop {
            let has_offer = admitted.may_offer() && !offers.has_ended;
            let offer_at = has_offer.then_some(offers.next_at);
            let wait_until = offer_at.map_or(latest, |at| at.min(latest));
            match timeout_at(wait_until.into(), &mut pending.call).await {
                Ok(outcome) => return WaitEnd::Outcome(pending.guard, Box::new(Some(outcome))),
                Err(_) if Instant::now() >= latest => {
                    return WaitEnd::Outcome(pending.guard, Box::new(None));
                }
                Err(_) => {}
            }
            let endpoint = pending.guard.endpoint().clone();
            if offers.due == 0 {
                tracing::info!(request = %admitted.request.id, %endpoint, "no response yet");
            }
            // While the request is offered, the endpoint counts as one that may run it.
            admitted.runners.push(endpoint.clone());
            let mut end = OfferEnd::Refused;
            if self.begin_offer(admitted, &mut offers, Some(&pending.guard.in_flight)) {
                let call = &mut pending.call;
                end = self
                    .offer_beside(admitted, call, resume_from, &mut offers)
                    .await;
                // The limit of the offer does not hold for a retry after the first endpoint has failed.
                admitted.send_limit = SEND_LIMIT.max(admitted.sends + BREAK_SENDS);
            }
            if let OfferEnd::Moved(response, None) = end {
                self.leave_endpoint(admitted, pending.guard);
                return WaitEnd::Moved(response);
            }
            admitted.runners.retain(|runner| *runner != endpoint);
            match end {
                OfferEnd::Refused => {}
                OfferEnd::Responded(outcome) => {
                    return WaitEnd::Outcome(pending.guard, Box::new(outcome));
                }
                OfferEnd::Moved(response, outcome) => {
                    self.record_outcome(admitted, pending.guard, outcome).await;
                    return WaitEnd::Moved(response);
                }
                OfferEnd::Replaced(next, outcome) => {
                    let previous = std::mem::replace(&mut pending, next);
                    self.record_outcome(admitted, previous.guard, outcome).await;
                    offers = first_offer(&admitted.route);
                }
            }
        }
    }

    /// Offers a request to another endpoint while `previous` waits for the response of the first one. A
    /// stream has moved when its first event has arrived, another request when its response is no error.
    async fn offer_beside(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
        previous: &mut ResponseFuture,
        resume_from: Option<u64>,
        offers: &mut OfferSchedule,
    ) -> OfferEnd {
        let offered = Instant::now();
        let latest = admitted.deadline + RESPONSE_GRACE;
        let mut next = match self.begin_call(admitted, resume_from, offered).await {
            Ok(next) => next,
            Err(kind) => return self.refuse_offer(admitted, offers, kind, offered),
        };
        // A response that tells only its end does not show when its endpoint begins.
        let is_stream = admitted.route.retry_policy.is_stream();
        let overlap_end = offered + OVERLAP_LIMIT;
        let outcome = tokio::select! {
            biased;
            outcome = &mut next.call => outcome,
            outcome = &mut *previous => {
                return match has_final_response(&outcome) {
                    true => OfferEnd::Responded(Some(outcome)),
                    false => OfferEnd::Replaced(next, Some(outcome)),
                };
            }
            () = sleep_until(overlap_end.into()), if !is_stream => {
                return OfferEnd::Replaced(next, None);
            }
            () = sleep_until(latest.into()) => return OfferEnd::Responded(None),
        };
        let open = match self
            .record_outcome(admitted, next.guard, Some(outcome))
            .await
        {
            RecordedOutcome::Response(open) => open,
            RecordedOutcome::Failed(endpoint, kind) => {
                admitted.excluded.push(endpoint);
                return self.refuse_offer(admitted, offers, kind, offered);
            }
            RecordedOutcome::NotSent => {
                return self.refuse_offer(admitted, offers, RefusalKind::Lost, offered);
            }
        };
        if !is_stream {
            let status = open.status();
            if status.is_server_error() {
                tracing::info!(request = %admitted.request.id, %status, "the response to an offer is an error");
                return self.refuse_offer(admitted, offers, RefusalKind::Lost, offered);
            }
            self.accept_offer(&admitted.service);
            return OfferEnd::Moved(FirstResponse::Open(open), None);
        }
        let Ok(mut run) = Self::begin_stream(admitted, *open) else {
            return self.refuse_offer(admitted, offers, RefusalKind::Lost, offered);
        };
        let begun = tokio::select! {
            biased;
            begun = run.wait_first_event(admitted) => begun,
            outcome = previous => {
                return match has_final_response(&outcome) {
                    true => OfferEnd::Responded(Some(outcome)),
                    false => OfferEnd::Moved(FirstResponse::Stream(run), Some(outcome)),
                };
            }
        };
        match begun {
            Ok(()) => {
                self.accept_offer(&admitted.service);
                OfferEnd::Moved(FirstResponse::Stream(run), None)
            }
            Err(kind) => self.refuse_offer(admitted, offers, kind, offered),
        }
    }

    /// Records an offer that was made at `offered` and not accepted.
    fn refuse_offer(
        &self,
        admitted: &AdmittedRequest,
        offers: &mut OfferSchedule,
        kind: RefusalKind,
        offered: Instant,
    ) -> OfferEnd {
        let is_rejected = kind == RefusalKind::NoEndpoint;
        tracing::info!(
            request = %admitted.request.id, refusal = kind.code(), is_rejected,
            "no other endpoint accepted the request"
        );
        self.postpone_offer(&admitted.service, offers, kind, is_rejected, offered);
        OfferEnd::Refused
    }

    /// Records that a request has moved away from an endpoint that has not responded.
    fn leave_endpoint(&self, admitted: &AdmittedRequest, mut guard: InFlightGuard) {
        let is_working = guard.life_sign().is_some();
        tracing::info!(request = %admitted.request.id, endpoint = %guard.endpoint(), is_working, "the request moved to another endpoint");
        // An endpoint that only let this request wait is sound.
        if !is_working {
            guard.mark_failed();
            self.metrics.lost();
        }
    }

    /// Records the outcome of a call: for the endpoint in the balancer, for the request in `admitted`.
    async fn record_outcome(
        self: &Arc<Self>,
        admitted: &mut AdmittedRequest,
        mut guard: InFlightGuard,
        outcome: CallOutcome,
    ) -> RecordedOutcome {
        let id = &admitted.request.id;
        let endpoint = guard.endpoint().clone();
        if let Some(Ok(response)) = &outcome {
            self.record_signals(&guard, response);
        }
        match outcome {
            Some(Ok(response)) if response.not_run => {
                tracing::info!(request = %id, %endpoint, status = %response.status, load = ?response.load, "rejected by the endpoint");
                admitted.open_sends.withdraw();
                self.record_response(&mut guard, &response);
                if response.status == StatusCode::MISDIRECTED_REQUEST {
                    self.balancer().block(&endpoint, Instant::now());
                }
                drop(guard);
                admitted.rejections += 1;
                self.metrics.rejected();
                RecordedOutcome::Failed(endpoint, RefusalKind::NoEndpoint)
            }
            Some(Ok(response)) if is_usable(&response) => {
                admitted.runners.push(endpoint.clone());
                let failed = response.status.is_server_error();
                if !admitted.route.retry_policy.is_stream() || failed {
                    self.record_response(&mut guard, &response);
                }
                guard.failed = failed;
                admitted.excluded.push(endpoint);
                RecordedOutcome::Response(Box::new(OpenResponse::new(response, guard)))
            }
            Some(Err(CallError::NotSent(reason))) => {
                tracing::info!(request = %id, %endpoint, %reason, "the endpoint could not be connected");
                self.balancer().block(&endpoint, Instant::now());
                self.view
                    .suspect_cold(&endpoint, guard.in_flight.started_ms(), Instant::now());
                drop(guard);
                admitted.sends -= 1;
                admitted.failed_connects += 1;
                admitted.excluded.push(endpoint);
                RecordedOutcome::NotSent
            }
            other => {
                if let Some(Err(_)) = &other {
                    guard.check_crash(admitted).await;
                }
                let (reason, kind) = match other {
                    Some(Ok(response)) => (
                        format!("status {} without a signature", response.status),
                        RefusalKind::Lost,
                    ),
                    Some(Err(error)) => (error.to_string(), RefusalKind::Lost),
                    None => ("no answer in time".to_owned(), RefusalKind::TimedOut),
                };
                tracing::info!(request = %id, %endpoint, reason, sends = admitted.sends, "the outcome is unknown");
                guard.mark_failed();
                drop(guard);
                admitted.runners.push(endpoint.clone());
                self.metrics.lost();
                RecordedOutcome::Failed(endpoint, kind)
            }
        }
    }

    /// Continues with another endpoint if the request may be sent again; otherwise returns the
    /// refusal.
    fn give_up_or_retry(
        &self,
        admitted: &mut AdmittedRequest,
        endpoint: EndpointId,
        kind: RefusalKind,
    ) -> Result<(), RefusalKind> {
        admitted.excluded.push(endpoint);
        let expired = Instant::now() >= admitted.deadline;
        if expired || !admitted.may_run_again() || !self.take_retry(admitted) {
            return Err(refusal_of(admitted, kind));
        }
        Ok(())
    }

    /// Whether an offer may be made now; otherwise sets the time of the next one. `waiting` is the
    /// request at the silent endpoint, unless its response broke off.
    pub(crate) fn begin_offer(
        &self,
        admitted: &mut AdmittedRequest,
        offers: &mut OfferSchedule,
        waiting: Option<&InFlight>,
    ) -> bool {
        let now = Instant::now();
        let is_break = offers.due == 0 && waiting.is_none();
        offers.due += 1;
        if let Some(in_flight) = waiting {
            in_flight.record_silence(now);
        }
        // A stream that broke off is offered at once: most endpoints have room after a crash.
        if !is_break && let Err(at) = self.permit_offer(&admitted.service, now) {
            offers.next_at = at;
            return false;
        }
        admitted.prepare_offer(if is_break { BREAK_SENDS } else { PAUSE_SENDS });
        if waiting.is_some() {
            self.exclude_silent(admitted, now);
        }
        let may_offer = self.has_untried_endpoint(admitted) && self.take_resume(admitted);
        if !may_offer {
            offers.next_at = now + OFFER_RETRY_DELAY;
            // The caller may take up a broken stream itself, which costs the fleet no retry.
            offers.has_ended = is_break;
        }
        may_offer
    }

    /// Excludes silent endpoints from an offer if others are left: they are as bad as the one that has
    /// the request, and take the last attempt of most routes.
    fn exclude_silent(&self, admitted: &mut AdmittedRequest, now: Instant) {
        let tried = admitted.excluded.len();
        let silent = self.balancer().silent_endpoints(now);
        admitted.excluded.extend(silent);
        if !self.has_untried_endpoint(admitted) {
            admitted.excluded.truncate(tried);
        }
    }

    /// Sets the time of the next offer after one that was made at `offered` and not accepted.
    pub(crate) fn postpone_offer(
        &self,
        service: &ServiceId,
        offers: &mut OfferSchedule,
        kind: RefusalKind,
        is_rejected: bool,
        offered: Instant,
    ) {
        let now = Instant::now();
        offers.next_at = now + OFFER_RETRY_DELAY;
        offers.has_ended = kind == RefusalKind::CrashesEndpoints;
        if is_rejected {
            self.reject_offer(service, offered, now);
        }
    }

    /// Permits an offer of a request of a service, or returns when to ask again.
    fn permit_offer(&self, service: &ServiceId, now: Instant) -> Result<(), Instant> {
        let mut gates = self.offer_gates();
        gates.entry(service.clone()).or_default().permit(now)
    }

    /// Records that no endpoint accepted an offer that was made at `offered`.
    fn reject_offer(&self, service: &ServiceId, offered: Instant, now: Instant) {
        let mut gates = self.offer_gates();
        let gate = gates.entry(service.clone()).or_default();
        gate.record_rejection(offered, now);
    }

    /// Records that an endpoint accepted an offer.
    pub(crate) fn accept_offer(&self, service: &ServiceId) {
        if let Some(gate) = self.offer_gates().get_mut(service) {
            gate.record_acceptance();
        }
    }

    fn offer_gates(&self) -> MutexGuard<'_, HashMap<ServiceId, OfferGate>> {
        self.offer_gates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Until when a request waits for an endpoint that limits its rate.
fn latest_permit(admitted: &AdmittedRequest) -> Instant {
    let wait = admitted.route.target_latency / PERMIT_WAIT_DIVISOR;
    admitted.deadline.min(Instant::now() + wait)
}

fn check_connects(admitted: &AdmittedRequest) -> Result<(), RefusalKind> {
    if admitted.failed_connects < CONNECT_LIMIT {
        return Ok(());
    }
    Err(refusal_of(admitted, RefusalKind::NoEndpoint))
}

/// When a request that has just been sent is offered to other endpoints.
fn first_offer(route: &RouteRule) -> OfferSchedule {
    OfferSchedule::new(Instant::now() + response_time(route))
}

/// Whether the caller gets the response although an offer of the request is open.
fn has_final_response(outcome: &Result<EndpointResponse, CallError>) -> bool {
    outcome.as_ref().is_ok_and(|response| {
        !response.not_run && is_usable(response) && !response.status.is_server_error()
    })
}
