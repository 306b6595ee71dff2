use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    http::StatusCode,
    jasminewall_core::{CustomerId, EndpointId, Tokens, suspect::CrashSuspect},
};

use crate::{
    balancer::InFlight,
    eligible::RegionRule,
    forwarder::{Forwarder, RESPONSE_GRACE},
    manager::BudgetHold,
    port::{EndpointResponse, SendCount},
    record::{EndpointRecord, RetryPolicy, RouteRule, ServiceId, SoftwareVersion},
    request::{ForwardRequest, RefusalKind},
    trial::TrialPermit,
};

/// Time to wait for the response to a retryable request, as a multiple of the route's target
/// latency.
const TARGET_LATENCY_FACTOR: u32 = 2;
/// Time since the last event of any stream within which an endpoint counts as working.
const LIFE_SIGN_AGE: Duration = Duration::from_millis(600);

/// Admitted request and the state of its attempts.
pub(crate) struct AdmittedRequest {
    pub(crate) request: Arc<ForwardRequest>,
    pub(crate) route: RouteRule,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<CustomerId>,
    /// Regions whose endpoints may get the request.
    pub(crate) regions: RegionRule,
    pub(crate) deadline: Instant,
    /// Tokens charged for each event of a stream.
    pub(crate) event_tokens: Tokens,
    pub(crate) hold: Option<BudgetHold>,
    pub(crate) priority: Option<u8>,
    /// What is suspected if an endpoint crashes while it runs the request.
    pub(crate) suspects: Vec<CrashSuspect>,
    /// Number of times that the request was sent to an endpoint.
    pub(crate) sends: u32,
    /// Those of them that may have run.
    pub(crate) open_sends: Arc<SendCount>,
    /// Number of sends after which it is not sent again, except in a later offer of a stream.
    pub(crate) send_limit: u32,
    /// Number of times that an endpoint rejected the request.
    pub(crate) rejections: u32,
    /// Number of endpoints that could not be connected.
    pub(crate) failed_connects: u32,
    /// Endpoints that ran the request or may have run it.
    pub(crate) runners: Vec<EndpointId>,
    /// Endpoints that are not tried again, unless the rest of a stream is offered later.
    pub(crate) excluded: Vec<EndpointId>,
    /// Software version that began the stream; only its endpoints may continue it.
    pub(crate) begun_at: Option<SoftwareVersion>,
    /// Permission to run although one of the suspects is blocked.
    pub(crate) trial: Option<TrialPermit>,
}

impl AdmittedRequest {
    /// Whether an endpoint's software fits the part of the stream that the caller has.
    pub(crate) fn fits(&self, record: &EndpointRecord) -> bool {
        let begun_at = self.begun_at.as_ref();
        begun_at.is_none_or(|software| *software == record.software)
    }

    /// Number of endpoints that ran the request or may have run it.
    pub(crate) fn runs(&self) -> u32 {
        u32::try_from(self.runners.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn may_run_again(&self) -> bool {
        self.runners.is_empty()
            || (self.route.retry_policy.may_retry() && self.runs() < self.route.max_attempts)
    }

    /// Whether the request may be offered to another endpoint while one has it.
    pub(crate) fn may_offer(&self) -> bool {
        self.route.retry_policy.may_retry() && self.runs() + 1 < self.route.max_attempts
    }

    /// Prepares an offer to up to `sends` endpoints. Those that only rejected the request or could not be
    /// connected may have room by now.
    pub(crate) fn prepare_offer(&mut self, sends: u32) {
        self.excluded.clone_from(&self.runners);
        self.failed_connects = 0;
        self.send_limit = self.sends + sends;
    }
}

/// Request in flight at an endpoint. Dropping the guard ends it in the load balancer.
pub(crate) struct InFlightGuard {
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) in_flight: InFlight,
    pub(crate) address: SocketAddr,
    /// Software of the endpoint when the request was sent.
    pub(crate) software: SoftwareVersion,
    pub(crate) failed: bool,
}

impl InFlightGuard {
    pub(crate) fn endpoint(&self) -> &EndpointId {
        self.in_flight.endpoint()
    }

    pub(crate) fn mark_failed(&mut self) {
        self.failed = true;
    }

    /// When the endpoint last wrote an event of any stream of this router, if that shows that it works.
    pub(crate) fn life_sign(&self) -> Option<Instant> {
        let progress = self.in_flight.last_progress();
        progress.filter(|at| at.elapsed() < LIFE_SIGN_AGE)
    }

    /// Called after the endpoint closed the connection before the response was complete. Finds out
    /// whether it crashed before the request may be sent to another endpoint.
    pub(crate) async fn check_crash(&mut self, admitted: &AdmittedRequest) {
        self.failed = true;
        let suspects = admitted.suspects.clone();
        let (forwarder, in_flight) = (self.forwarder.clone(), self.in_flight.clone());
        let address = self.address;
        // The check goes on if the caller leaves.
        let check = tokio::spawn(async move {
            let check = forwarder.detect_crash(suspects, &in_flight, address);
            check.await;
        });
        if admitted.may_run_again()
            && let Err(error) = check.await
        {
            tracing::error!(%error, "the check for a crash failed");
        }
    }

    pub(crate) fn mark_responded(&mut self) {
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

/// Authentic response of an endpoint. It can only be read after [`OpenResponse::classify`].
pub(crate) struct OpenResponse {
    response: EndpointResponse,
    guard: InFlightGuard,
}

/// Response of an endpoint, by how it is relayed and charged.
///
/// Each response to a request is classified by itself: a request that is repeated after an error may
/// get a stream.
pub(crate) enum ClassifiedResponse {
    Stream(StreamResponse),
    Whole(WholeResponse),
}

/// Event stream, which carries output tokens. Only [`StreamRelay`](crate::stream::StreamRelay) reads
/// it, and charges them.
pub(crate) struct StreamResponse(OpenResponse);

/// Response without output tokens: an error, or the response of a route without streams.
pub(crate) struct WholeResponse(OpenResponse);

impl OpenResponse {
    pub(crate) fn new(response: EndpointResponse, guard: InFlightGuard) -> Self {
        Self { response, guard }
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.response.status
    }

    pub(crate) fn endpoint(&self) -> &EndpointId {
        self.guard.endpoint()
    }

    pub(crate) fn classify(self, policy: RetryPolicy) -> ClassifiedResponse {
        if policy.is_stream() && self.response.status.is_success() {
            ClassifiedResponse::Stream(StreamResponse(self))
        } else {
            ClassifiedResponse::Whole(WholeResponse(self))
        }
    }
}

impl StreamResponse {
    pub(crate) fn into_parts(self) -> (EndpointResponse, InFlightGuard) {
        (self.0.response, self.0.guard)
    }
}

impl WholeResponse {
    pub(crate) fn into_parts(self) -> (EndpointResponse, InFlightGuard) {
        (self.0.response, self.0.guard)
    }
}

/// Returns the deadline for the start of the response to an offer. It is earlier while another endpoint
/// may still be tried.
pub(crate) fn response_deadline(admitted: &AdmittedRequest) -> Instant {
    let latest = admitted.deadline + RESPONSE_GRACE;
    if !admitted.may_offer() {
        return latest;
    }
    latest.min(Instant::now() + response_time(&admitted.route))
}

/// Time after which a request without a response is offered to another endpoint.
pub(crate) fn response_time(route: &RouteRule) -> Duration {
    route.target_latency * TARGET_LATENCY_FACTOR
}

/// Whether a response may be relayed: it is authentic, and its status does not claim that the
/// request has not run.
pub(crate) fn is_usable(response: &EndpointResponse) -> bool {
    let claims_not_run = matches!(
        response.status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    response.authentic && !claims_not_run
}

/// Returns the reason to report for a refusal: a request that may have run is not reported as one
/// that has not.
pub(crate) fn refusal_of(admitted: &AdmittedRequest, kind: RefusalKind) -> RefusalKind {
    match kind {
        RefusalKind::NoEndpoint
        | RefusalKind::SoftwareGone
        | RefusalKind::DeadlinePassed
        | RefusalKind::RateLimited(_)
            if admitted.runs() > 0 =>
        {
            RefusalKind::Lost
        }
        kind => kind,
    }
}
