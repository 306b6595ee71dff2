use std::{sync::Arc, time::Instant};

use jasminewall_core::{
    CustomerId, EndpointId, RouteId, Tokens,
    admission::WorkClass,
    choice::AttemptId,
    lifecycle::{AttemptFailure, RequestEvent, RequestLifecycle},
};

use super::{apply_event, attempt, queue, table::PoolKey};
use crate::state::RouterState;

/// Admitted request, with the data that its queue needs when it ends.
pub(super) struct AdmittedRequest {
    pub(super) pool_key: PoolKey,
    pub(super) customer: CustomerId,
    pub(super) route: RouteId,
    pub(super) class: WorkClass,
    pub(super) expected_output: Tokens,
}

/// Counts a request as outstanding at an endpoint until it ends.
pub(crate) struct RequestGuard {
    state: Arc<RouterState>,
    admitted: AdmittedRequest,
    endpoint: EndpointId,
    /// Attempt in progress, if any.
    attempt: Option<AttemptId>,
    /// Endpoints that failed this request, which a retry avoids.
    excluded: Vec<EndpointId>,
    /// Fingerprint for crash detection; 0 if unknown.
    fingerprint: u64,
    lifecycle: Option<RequestLifecycle>,
    output_tokens: Tokens,
}

impl RequestGuard {
    pub(super) fn new(
        state: Arc<RouterState>,
        admitted: AdmittedRequest,
        fingerprint: u64,
        endpoint: &EndpointId,
        attempt: AttemptId,
    ) -> Self {
        Self {
            state,
            admitted,
            endpoint: endpoint.clone(),
            attempt: Some(attempt),
            excluded: Vec::new(),
            fingerprint,
            lifecycle: None,
            output_tokens: 0,
        }
    }

    pub(super) fn admitted(&self) -> &AdmittedRequest {
        &self.admitted
    }

    pub(super) fn excluded(&self) -> &[EndpointId] {
        &self.excluded
    }

    pub(super) fn exclude(&mut self, endpoint: EndpointId) {
        self.excluded.push(endpoint);
    }

    pub(super) fn move_to(&mut self, endpoint: &EndpointId, attempt: AttemptId) {
        self.endpoint = endpoint.clone();
        self.attempt = Some(attempt);
    }

    /// Takes over the lifecycle of the request once its response has begun.
    pub(super) fn with_lifecycle(mut self, lifecycle: RequestLifecycle) -> Self {
        self.lifecycle = Some(lifecycle);
        self
    }

    /// Records that the attempt at the current endpoint failed.
    pub(super) fn fail_attempt(&mut self, failure: AttemptFailure) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let now = Instant::now();
        let mut routing = self.state.routing.lock();
        // An unresponsive connection does not mean that the endpoint failed, so it stays in use.
        if failure == AttemptFailure::TimedOut {
            routing.table.finish(&self.endpoint, attempt, None, now);
        } else {
            routing.table.fail(&self.endpoint, attempt, now);
        }
    }

    /// Records that the endpoint sent part of the response.
    pub(crate) fn record_progress(&mut self) {
        let Some(attempt) = self.attempt else { return };
        self.output_tokens += 1;
        let now = Instant::now();
        let mut routing = self.state.routing.lock();
        let first = routing.table.progress(&self.endpoint, attempt, 1, now);
        let Some(pool) = routing.pools.get_mut(&self.admitted.pool_key) else {
            return;
        };
        pool.queue.progress(self.admitted.class, 1, now);
        if let Some(first) = first {
            pool.queue.observe_first_token(&first);
        }
    }

    /// Records that the complete response has arrived.
    pub(crate) fn complete(mut self) {
        if let Some(lifecycle) = &mut self.lifecycle {
            apply_event(lifecycle, RequestEvent::Complete);
        }
        if self.fingerprint != 0 {
            self.state.routing.crash_counts().clear(self.fingerprint);
        }
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let now = Instant::now();
        let mut routing = self.state.routing.lock();
        // The length of a response that was not streamed is unknown here, so the expected length is
        // used.
        let output_tokens = if self.output_tokens > 0 {
            let AdmittedRequest {
                customer, route, ..
            } = &self.admitted;
            routing.lengths.record(customer, route, self.output_tokens);
            self.output_tokens
        } else {
            self.admitted.expected_output
        };
        routing
            .table
            .finish(&self.endpoint, attempt, Some(output_tokens), now);
    }

    /// Records that the response was cut off.
    pub(crate) fn fail(mut self) {
        if let Some(lifecycle) = &mut self.lifecycle {
            apply_event(
                lifecycle,
                RequestEvent::Fail(AttemptFailure::ConnectionLost),
            );
        }
        self.fail_attempt(AttemptFailure::ConnectionLost);
        let (state, endpoint, pool_key) = (
            self.state.clone(),
            self.endpoint.clone(),
            self.admitted.pool_key.clone(),
        );
        let fingerprint = self.fingerprint;
        tokio::spawn(async move {
            let record = {
                let routing = state.routing.lock();
                let pool = routing.pools.get(&pool_key);
                pool.and_then(|pool| pool.records.get(&endpoint).cloned())
            };
            if let Some(record) = record {
                attempt::handle_disconnect(&state, &record, &[fingerprint], false).await;
            }
        });
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        {
            let mut routing = self.state.routing.lock();
            if let Some(attempt) = self.attempt.take() {
                routing.table.finish(&self.endpoint, attempt, None, now);
            }
            let AdmittedRequest {
                pool_key,
                customer,
                class,
                expected_output,
                ..
            } = &self.admitted;
            if let Some(pool) = routing.pools.get_mut(pool_key) {
                let actual = if self.output_tokens > 0 {
                    self.output_tokens
                } else {
                    *expected_output
                };
                pool.queue
                    .finish(customer, *class, *expected_output, actual);
            }
        }
        queue::admit_waiting(&self.state, &self.admitted.pool_key);
    }
}
