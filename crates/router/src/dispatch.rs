//! Dispatch of requests to endpoints: admission, endpoint choice, retries and crash detection.

use std::{sync::Arc, time::Instant};

use {
    axum::{
        body::Bytes,
        http::{HeaderMap, Method, Response},
    },
    hyper::body::Incoming,
    jasminewall_core::{
        CustomerId, EndpointId, Refusal, RefusalCode, RequestId, Tokens,
        admission::WorkClass,
        crash::{self, CrashCount, CrashDecision},
        lifecycle::{AttemptFailure, RequestEvent, RequestLifecycle},
        record::{EndpointRecord, RouteRecord},
    },
    jasminewall_wire::CrashReport,
};

use crate::state::RouterState;

pub(crate) use self::{guard::RequestGuard, table::RoutingTable};

mod attempt;
mod guard;
mod queue;
mod share;
mod table;

/// Request that is ready for dispatch: authenticated, and its tokens held.
#[derive(Clone, Debug)]
pub(crate) struct DispatchJob {
    pub(crate) request: RequestId,
    /// Customer that sent it.
    pub(crate) customer: CustomerId,
    /// Route that serves it.
    pub(crate) route: RouteRecord,
    pub(crate) class: WorkClass,
    /// Whether the caller asked for a streamed response.
    pub(crate) is_stream: bool,
    /// Tokens held for the worst-case charge.
    pub(crate) held_tokens: Tokens,
    /// Time by which the response must be complete.
    pub(crate) deadline: Instant,
    /// Hash of customer, route and body as received, for crash detection; if 0, it is computed from
    /// `body`.
    pub(crate) fingerprint: u64,
    /// Method of the request to the endpoint.
    pub(crate) method: Method,
    /// Path and query of the request to the endpoint.
    pub(crate) path: String,
    /// Headers sent to the endpoint.
    pub(crate) headers: HeaderMap,
    /// Body sent to the endpoint.
    pub(crate) body: Bytes,
}

/// Response head of an endpoint, with the guard that counts the request as outstanding until the
/// body ends.
pub(crate) struct DispatchedJob {
    /// Endpoint that responded.
    pub(crate) endpoint: EndpointId,
    /// Response head, and the body that is still to be read.
    pub(crate) response: Response<Incoming>,
    /// Guard of the outstanding request. Must be dropped, completed or failed when the body ends.
    pub(crate) guard: RequestGuard,
}

/// Sends a job to an endpoint of its route and waits for the response head.
///
/// # Errors
///
/// A refusal whose code says whether the job ran.
pub(crate) async fn execute(
    state: &Arc<RouterState>,
    job: &DispatchJob,
) -> Result<DispatchedJob, Refusal> {
    let mut lifecycle = RequestLifecycle::new(job.route.idempotent);
    let decision = state.routing.decision(job_fingerprint(job));
    if decision == CrashDecision::Refuse {
        return Err(RefusalCode::CrashesEndpoints.into());
    }
    let (record, mut guard) = queue::admit(state, job, decision == CrashDecision::Isolate).await?;
    begin_lifecycle(&mut lifecycle, job);
    let mut record = record;
    loop {
        apply_event(&mut lifecycle, RequestEvent::Dispatch);
        let failure = match attempt::send(state, job, &record).await {
            Ok(response) => {
                apply_event(&mut lifecycle, RequestEvent::Answer);
                return Ok(DispatchedJob {
                    endpoint: record.name,
                    response,
                    guard: guard.with_lifecycle(lifecycle),
                });
            }
            Err(failure) => failure,
        };
        apply_event(&mut lifecycle, RequestEvent::Fail(failure));
        guard.fail_attempt(failure);
        if failure == AttemptFailure::ConnectionLost {
            attempt::handle_disconnect(state, &record, &[job_fingerprint(job)], true).await;
        }
        record = next_endpoint(state, job, &lifecycle, &mut guard, (&record, failure)).await?;
    }
}

/// Merges crash counts from a peer. Returns this router's counts for the same fingerprints.
pub(crate) fn merge_crash_counts(state: &RouterState, reports: &[CrashReport]) -> Vec<CrashReport> {
    let counts: Vec<CrashCount> = reports.iter().map(to_count).collect();
    let mut crash_counts = state.routing.crash_counts();
    crash_counts.merge(&counts, Instant::now());
    let fingerprints: Vec<u64> = reports.iter().map(|report| report.fingerprint).collect();
    let own_counts = crash_counts.counts_of(&fingerprints).into_iter();
    own_counts.map(to_report).collect()
}

fn to_count(report: &CrashReport) -> CrashCount {
    CrashCount {
        reporter: report.reporter.clone(),
        fingerprint: report.fingerprint,
        crashes: report.crashes,
        cleared: report.cleared,
    }
}

fn to_report(count: CrashCount) -> CrashReport {
    CrashReport {
        reporter: count.reporter,
        fingerprint: count.fingerprint,
        crashes: count.crashes,
        cleared: count.cleared,
    }
}

/// Hash of customer, route and body of a job.
fn job_fingerprint(job: &DispatchJob) -> u64 {
    if job.fingerprint != 0 {
        return job.fingerprint;
    }
    crash::fingerprint(&[
        job.customer.as_bytes(),
        job.route.name.as_bytes(),
        &job.body,
    ])
}

/// Advances a lifecycle to the first dispatch. The caller of `execute` has placed the hold and, for
/// a route that is not idempotent, the claim.
fn begin_lifecycle(lifecycle: &mut RequestLifecycle, job: &DispatchJob) {
    apply_event(lifecycle, RequestEvent::Admit);
    apply_event(lifecycle, RequestEvent::Hold);
    if !job.route.idempotent {
        apply_event(lifecycle, RequestEvent::Claim);
    }
}

fn apply_event(lifecycle: &mut RequestLifecycle, event: RequestEvent) {
    if let Err(error) = lifecycle.apply(event) {
        tracing::error!(%error, "invalid transition in the lifecycle of a request; please report this bug");
    }
}

/// Chooses an endpoint for a retry, if a retry is allowed.
async fn next_endpoint(
    state: &Arc<RouterState>,
    job: &DispatchJob,
    lifecycle: &RequestLifecycle,
    guard: &mut RequestGuard,
    last: (&EndpointRecord, AttemptFailure),
) -> Result<EndpointRecord, Refusal> {
    let (failed, failure) = last;
    let decision = state.routing.decision(job_fingerprint(job));
    if decision == CrashDecision::Refuse {
        return Err(RefusalCode::CrashesEndpoints.into());
    }
    let allowed =
        lifecycle.can_dispatch() && (failure.proves_not_run() || state.routing.take_retry());
    if !allowed {
        return Err(final_refusal(lifecycle, failure));
    }
    // An unresponsive connection does not mean that the endpoint failed. It may be tried again on a
    // new connection.
    if failure != AttemptFailure::TimedOut {
        guard.exclude(failed.name.clone());
    }
    let isolate = decision == CrashDecision::Isolate;
    match queue::place_retry(state, job, guard, isolate).await {
        Some(record) => Ok(record),
        None => Err(final_refusal(lifecycle, failure)),
    }
}

/// Returns the refusal of a job that is not retried. Its code is true for all attempts.
fn final_refusal(lifecycle: &RequestLifecycle, last: AttemptFailure) -> Refusal {
    let code = match last {
        _ if lifecycle.has_not_run() => RefusalCode::EndpointUnreachable,
        AttemptFailure::TimedOut => RefusalCode::AnswerTimeout,
        _ => RefusalCode::OutcomeUnknown,
    };
    code.into()
}
