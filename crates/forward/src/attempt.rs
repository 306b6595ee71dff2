use std::{net::SocketAddr, sync::Arc, time::Instant};

use {
    http::StatusCode,
    jasminewall_core::{CustomerId, EndpointId, Tokens},
};

use crate::{
    balancer::InFlight,
    book::BudgetHold,
    engine::{Forwarder, RESPONSE_GRACE},
    port::EndpointResponse,
    record::{RouteRule, ServiceId},
    request::{ForwardRequest, RefusalKind},
};

/// Wait for the first answer to a repeatable request, in multiples of the aim of its route.
const TARGET_LATENCY_FACTOR: u32 = 2;

/// Request that was admitted.
pub(crate) struct AdmittedRequest {
    pub(crate) request: ForwardRequest,
    pub(crate) route: RouteRule,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) deadline: Instant,
    pub(crate) event_tokens: Tokens,
    pub(crate) hold: Option<BudgetHold>,
    pub(crate) priority: Option<u8>,
    /// Recognises the request when it is sent again under another id.
    pub(crate) fingerprint: u64,
    pub(crate) sends: u32,
    pub(crate) failed_connects: u32,
    pub(crate) runs: u32,
    pub(crate) excluded: Vec<EndpointId>,
}

impl AdmittedRequest {
    pub(crate) fn may_run_again(&self) -> bool {
        self.runs == 0
            || (self.route.retry_policy.may_retry() && self.runs < self.route.max_attempts)
    }

    pub(crate) fn input_tokens(&self) -> Tokens {
        self.request
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.input_tokens)
    }
}

/// Request at an endpoint; ends its flight on the board when it is dropped.
pub(crate) struct InFlightGuard {
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) in_flight: InFlight,
    pub(crate) address: SocketAddr,
    pub(crate) failed: bool,
}

impl InFlightGuard {
    pub(crate) fn endpoint(&self) -> &EndpointId {
        self.in_flight.endpoint()
    }

    pub(crate) fn mark_failed(&mut self) {
        self.failed = true;
    }

    /// Notes that the endpoint closed the connection within its answer.
    pub(crate) fn mark_closed(&mut self, fingerprint: u64) {
        self.failed = true;
        self.forwarder
            .detect_crash(fingerprint, self.in_flight.endpoint(), self.address);
    }

    pub(crate) fn mark_answered(&mut self) {
        let mut balancer = self.forwarder.balancer();
        balancer.record_response(&mut self.in_flight, None, Instant::now());
        self.forwarder.load_changed.notify_one();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut balancer = self.forwarder.balancer();
        balancer.finish(&self.in_flight, self.failed, Instant::now());
        self.forwarder.load_changed.notify_one();
    }
}

/// Answer of an endpoint that goes to the caller.
pub(crate) struct OpenResponse {
    pub(crate) response: EndpointResponse,
    pub(crate) guard: InFlightGuard,
}

/// When a call without an answer is given up.
pub(crate) fn response_deadline(admitted: &AdmittedRequest) -> Instant {
    let last = admitted.deadline + RESPONSE_GRACE;
    let may_retry =
        admitted.route.retry_policy.may_retry() && admitted.runs + 1 < admitted.route.max_attempts;
    if !may_retry {
        return last;
    }
    let aim = admitted.route.target_latency * TARGET_LATENCY_FACTOR;
    last.min(Instant::now() + aim)
}

/// Whether an answer may go to the caller: signed, or a failure that promises nothing.
pub(crate) fn is_usable(answer: &EndpointResponse) -> bool {
    let promises = matches!(
        answer.status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    answer.authentic && !promises
}

/// A request that may have run is never refused as one that has not.
pub(crate) fn refusal_of(admitted: &AdmittedRequest, kind: RefusalKind) -> RefusalKind {
    match kind {
        RefusalKind::NoEndpoint | RefusalKind::DeadlinePassed if admitted.runs > 0 => {
            RefusalKind::Lost
        }
        kind => kind,
    }
}
