//! Sends requests to endpoints: admission, choice, retries and observation.

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
    jasminewall_wire::SuspectReport,
};

use crate::state::RouterState;

pub(crate) use self::{guard::WorkGuard, table::RoutingTable};

mod attempt;
mod guard;
mod queue;
mod share;
mod table;

/// Request that is ready for an endpoint: authenticated, and its tokens held.
#[derive(Clone, Debug)]
pub(crate) struct DispatchJob {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// Customer that sent it.
    pub(crate) customer: CustomerId,
    /// Route that serves it.
    pub(crate) route: RouteRecord,
    /// Class of work.
    pub(crate) class: WorkClass,
    /// Whether the caller asked for a streamed answer.
    pub(crate) is_stream: bool,
    /// Worst case in tokens.
    pub(crate) work: Tokens,
    /// Time by which the answer must be whole.
    pub(crate) deadline: Instant,
    /// Hash of customer, route and body; 0 when it is not known.
    pub(crate) fingerprint: u64,
    /// Method at the endpoint.
    pub(crate) method: Method,
    /// Path and query at the endpoint.
    pub(crate) path: String,
    /// Headers for the endpoint.
    pub(crate) headers: HeaderMap,
    /// Body for the endpoint.
    pub(crate) body: Bytes,
}

/// Head of an endpoint's answer, with the guard that counts the work until the body ends.
pub(crate) struct DispatchAnswer {
    /// Endpoint that answers.
    pub(crate) endpoint: EndpointId,
    /// Head and body of the answer.
    pub(crate) response: Response<Incoming>,
    /// Outstanding work; drop it or call one of its methods when the body has ended.
    pub(crate) guard: WorkGuard,
}

/// Sends a job to an endpoint of its route and waits for the head of the answer.
///
/// # Errors
///
/// A refusal whose code says whether the job ran.
pub(crate) async fn execute(
    state: &Arc<RouterState>,
    job: &DispatchJob,
) -> Result<DispatchAnswer, Refusal> {
    let mut life = RequestLifecycle::new(job.route.idempotent);
    let verdict = state.routing.verdict(fingerprint_of(job));
    if verdict == CrashDecision::Refuse {
        return Err(RefusalCode::CrashesEndpoints.into());
    }
    let (record, mut guard) = queue::admit(state, job, verdict == CrashDecision::Isolate).await?;
    begin(&mut life, job);
    let mut record = record;
    loop {
        note(&mut life, RequestEvent::Dispatch);
        let failure = match attempt::send(state, job, &record).await {
            Ok(response) => {
                note(&mut life, RequestEvent::Answer);
                return Ok(DispatchAnswer {
                    endpoint: record.name,
                    response,
                    guard: guard.attend(life),
                });
            }
            Err(failure) => failure,
        };
        note(&mut life, RequestEvent::Fail(failure));
        guard.end_attempt(failure);
        if failure == AttemptFailure::ConnectionLost {
            attempt::note_break(state, &record, &[fingerprint_of(job)], true).await;
        }
        record = next_place(state, job, &life, &mut guard, (&record, failure)).await?;
    }
}

/// Merges crash counts from a peer and returns what this router knows of the same fingerprints.
pub(crate) fn merge_crash_counts(
    state: &RouterState,
    reports: &[SuspectReport],
) -> Vec<SuspectReport> {
    let counts: Vec<CrashCount> = reports.iter().map(count_of).collect();
    let mut suspects = state.routing.suspects();
    suspects.merge(&counts, Instant::now());
    let asked: Vec<u64> = reports.iter().map(|report| report.fingerprint).collect();
    let known = suspects.counts_of(&asked).into_iter();
    known.map(report_of).collect()
}

fn count_of(report: &SuspectReport) -> CrashCount {
    CrashCount {
        reporter: report.reporter.clone(),
        fingerprint: report.fingerprint,
        crashes: report.crashes,
        cleared: report.cleared,
    }
}

fn report_of(count: CrashCount) -> SuspectReport {
    SuspectReport {
        reporter: count.reporter,
        fingerprint: count.fingerprint,
        crashes: count.crashes,
        cleared: count.cleared,
    }
}

/// Hash of customer, route and body of a job.
fn fingerprint_of(job: &DispatchJob) -> u64 {
    if job.fingerprint != 0 {
        return job.fingerprint;
    }
    crash::fingerprint(&[
        job.customer.as_bytes(),
        job.route.name.as_bytes(),
        &job.body,
    ])
}

/// Brings a life to the point of its first dispatch. The caller of `execute` placed the hold and,
/// for a route that is not idempotent, the claim.
fn begin(life: &mut RequestLifecycle, job: &DispatchJob) {
    note(life, RequestEvent::Admit);
    note(life, RequestEvent::Hold);
    if !job.route.idempotent {
        note(life, RequestEvent::Claim);
    }
}

fn note(life: &mut RequestLifecycle, event: RequestEvent) {
    if let Err(error) = life.apply(event) {
        tracing::error!(%error, "the life of a request took an impossible turn; report this fault");
    }
}

/// Finds an endpoint for another attempt, when one is allowed.
async fn next_place(
    state: &Arc<RouterState>,
    job: &DispatchJob,
    life: &RequestLifecycle,
    guard: &mut WorkGuard,
    last: (&EndpointRecord, AttemptFailure),
) -> Result<EndpointRecord, Refusal> {
    let (failed, failure) = last;
    let verdict = state.routing.verdict(fingerprint_of(job));
    if verdict == CrashDecision::Refuse {
        return Err(RefusalCode::CrashesEndpoints.into());
    }
    let allowed =
        life.can_dispatch() && (failure.proves_not_run() || state.routing.withdraw_retry());
    if !allowed {
        return Err(refusal_of(life, failure));
    }
    // A silent connection says nothing of the endpoint, which may be tried again on a new one.
    if failure != AttemptFailure::TimedOut {
        guard.avoid(failed.name.clone());
    }
    let isolate = verdict == CrashDecision::Isolate;
    match queue::place_again(state, job, guard, isolate).await {
        Some(record) => Ok(record),
        None => Err(refusal_of(life, failure)),
    }
}

/// Refusal of a job that is given up, with a code that is true for all its attempts.
fn refusal_of(life: &RequestLifecycle, last: AttemptFailure) -> Refusal {
    let code = match last {
        _ if life.has_not_run() => RefusalCode::EndpointUnreachable,
        AttemptFailure::TimedOut => RefusalCode::AnswerTimeout,
        _ => RefusalCode::OutcomeUnknown,
    };
    code.into()
}
