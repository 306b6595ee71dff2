use std::{sync::Arc, time::Instant};

use jasminewall_core::{
    CustomerId, EndpointId, RouteId, Tokens,
    admission::WorkClass,
    choice::WorkId,
    lifecycle::{AttemptFailure, RequestEvent, RequestLifecycle},
};

use super::{attempt, note, queue, table::PoolKey};
use crate::state::RouterState;

/// What an admitted request occupies in its queue.
pub(super) struct AdmissionTicket {
    pub(super) key: PoolKey,
    pub(super) customer: CustomerId,
    pub(super) route: RouteId,
    pub(super) class: WorkClass,
    pub(super) expected: Tokens,
}

/// Counts a request as outstanding at an endpoint until it ends.
pub(crate) struct WorkGuard {
    state: Arc<RouterState>,
    ticket: AdmissionTicket,
    endpoint: EndpointId,
    work: Option<WorkId>,
    avoid: Vec<EndpointId>,
    fingerprint: u64,
    life: Option<RequestLifecycle>,
    output: Tokens,
}

impl WorkGuard {
    pub(super) fn new(
        state: Arc<RouterState>,
        ticket: AdmissionTicket,
        fingerprint: u64,
        endpoint: &EndpointId,
        work: WorkId,
    ) -> Self {
        Self {
            state,
            ticket,
            endpoint: endpoint.clone(),
            work: Some(work),
            avoid: Vec::new(),
            fingerprint,
            life: None,
            output: 0,
        }
    }

    pub(super) fn ticket(&self) -> &AdmissionTicket {
        &self.ticket
    }

    pub(super) fn avoided(&self) -> &[EndpointId] {
        &self.avoid
    }

    pub(super) fn avoid(&mut self, endpoint: EndpointId) {
        self.avoid.push(endpoint);
    }

    pub(super) fn move_to(&mut self, endpoint: &EndpointId, work: WorkId) {
        self.endpoint = endpoint.clone();
        self.work = Some(work);
    }

    /// Takes over the life of the request, whose answer has begun.
    pub(super) fn attend(mut self, life: RequestLifecycle) -> Self {
        self.life = Some(life);
        self
    }

    /// Notes that the attempt at the present endpoint failed.
    pub(super) fn end_attempt(&mut self, failure: AttemptFailure) {
        let Some(work) = self.work.take() else { return };
        let now = Instant::now();
        let mut inner = self.state.routing.inner();
        // A silent connection says nothing of the endpoint, which stays in use.
        if failure == AttemptFailure::TimedOut {
            inner.table.finish(&self.endpoint, work, None, now);
        } else {
            inner.table.fail(&self.endpoint, work, now);
        }
    }

    /// Notes that the endpoint sent part of the answer.
    pub(crate) fn progress(&mut self) {
        let Some(work) = self.work else { return };
        self.output += 1;
        let now = Instant::now();
        let mut inner = self.state.routing.inner();
        let first = inner.table.progress(&self.endpoint, work, 1, now);
        let Some(pool) = inner.pools.get_mut(&self.ticket.key) else {
            return;
        };
        pool.queue.progress(self.ticket.class, 1, now);
        if let Some(first) = first {
            pool.queue.observe_first_token(&first);
        }
    }

    /// Notes that the whole answer arrived.
    pub(crate) fn complete(mut self) {
        if let Some(life) = &mut self.life {
            note(life, RequestEvent::Complete);
        }
        if self.fingerprint != 0 {
            self.state.routing.suspects().clear(self.fingerprint);
        }
        let Some(work) = self.work.take() else { return };
        let now = Instant::now();
        let mut inner = self.state.routing.inner();
        // An answer that came as a whole shows no length here, so the expected one stands for it.
        let output = if self.output > 0 {
            let AdmissionTicket {
                customer, route, ..
            } = &self.ticket;
            inner.lengths.record(customer, route, self.output);
            self.output
        } else {
            self.ticket.expected
        };
        inner.table.finish(&self.endpoint, work, Some(output), now);
    }

    /// Notes that the endpoint broke off.
    pub(crate) fn fail(mut self) {
        if let Some(life) = &mut self.life {
            note(life, RequestEvent::Fail(AttemptFailure::ConnectionLost));
        }
        self.end_attempt(AttemptFailure::ConnectionLost);
        let (state, endpoint, key) = (
            self.state.clone(),
            self.endpoint.clone(),
            self.ticket.key.clone(),
        );
        let fingerprint = self.fingerprint;
        tokio::spawn(async move {
            let record = {
                let inner = state.routing.inner();
                let pool = inner.pools.get(&key);
                pool.and_then(|pool| pool.records.get(&endpoint).cloned())
            };
            if let Some(record) = record {
                attempt::note_break(&state, &record, &[fingerprint], false).await;
            }
        });
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        {
            let mut inner = self.state.routing.inner();
            if let Some(work) = self.work.take() {
                inner.table.finish(&self.endpoint, work, None, now);
            }
            let AdmissionTicket {
                key,
                customer,
                class,
                expected,
                ..
            } = &self.ticket;
            if let Some(pool) = inner.pools.get_mut(key) {
                let actual = if self.output > 0 {
                    self.output
                } else {
                    *expected
                };
                pool.queue.finish(customer, *class, *expected, actual);
            }
        }
        queue::pump(&self.state, &self.ticket.key);
    }
}
