use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        ConfigRecord, CustomerId, EndpointId, RecordKind, Refusal, RefusalCode, RequestId, Tokens,
        admission::{self, QueueRelease, QueuedRequest, RefusedRequest, WorkClass},
        choice::{AttemptId, EndpointChoice, RequestSpec},
        record::EndpointRecord,
    },
    tokio::sync::oneshot,
};

use super::{
    DispatchJob, RequestGuard,
    guard::AdmittedRequest,
    job_fingerprint,
    table::{PoolKey, RoutingState},
};
use crate::{fleet::accepts_work, state::RouterState};

/// Interval at which a waiting request polls the queue. Slots freed by other routers are noticed
/// only by polling.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for an endpoint for a retry.
const RETRY_WAIT: Duration = Duration::from_secs(1);
/// Bytes of a request body that are counted as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Request that waits in the queue.
pub(super) struct WaitingJob {
    request: RequestId,
    prompt: Tokens,
    sender: oneshot::Sender<Result<Placement, Refusal>>,
}

/// Endpoint chosen for an admitted request.
pub(super) struct Placement {
    choice: EndpointChoice,
    attempt: AttemptId,
}

/// Reply to a waiting request, sent after the lock is released.
struct QueueReply {
    sender: oneshot::Sender<Result<Placement, Refusal>>,
    result: Result<Placement, Refusal>,
    customer: CustomerId,
    class: WorkClass,
    expected_output: Tokens,
}

/// Waits until the job is admitted to an endpoint.
pub(super) async fn admit(
    state: &Arc<RouterState>,
    job: &DispatchJob,
    isolate: bool,
) -> Result<(EndpointRecord, RequestGuard), Refusal> {
    if isolate {
        return admit_isolated(state, job).await;
    }
    let (sender, receiver) = oneshot::channel();
    let (key, expected_output) = enqueue(state, job, sender)?;
    let mut entry = QueueEntry {
        state,
        job,
        key,
        expected_output,
        receiver,
        is_waiting: true,
    };
    loop {
        tokio::select! {
            result = &mut entry.receiver => {
                entry.is_waiting = false;
                let placement = result.map_err(|_| RefusalCode::Overloaded)??;
                return entry.start_job(&placement);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => admit_waiting(state, &entry.key),
        }
    }
}

/// Waits until an endpoint runs no other request of this router. A job that is suspected of
/// crashing endpoints does not wait in the queue, where it would block other jobs until an endpoint
/// is idle.
async fn admit_isolated(
    state: &Arc<RouterState>,
    job: &DispatchJob,
) -> Result<(EndpointRecord, RequestGuard), Refusal> {
    let (key, expected_output) = find_pool(state, job)?;
    loop {
        if let Some(placement) = place_isolated(state, job, &key, expected_output) {
            return start_job(state, job, key, expected_output, &placement);
        }
        if Instant::now() + RETRY_WAIT >= job.deadline {
            return Err(RefusalCode::DeadlineTooShort.into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn place_isolated(
    state: &RouterState,
    job: &DispatchJob,
    key: &PoolKey,
    expected_output: Tokens,
) -> Option<Placement> {
    let spec = RequestSpec {
        class: job.class,
        expected_output,
        prompt: estimate_prompt(job),
        prefix: None,
        isolate: true,
        avoid: &[],
    };
    let weight = customer_weight(state, job);
    let mut routing = state.routing.lock();
    let (choice, attempt) = choose_endpoint(state, &mut routing, key, &spec, Instant::now())?;
    if let Some(pool) = routing.pools.get_mut(key) {
        pool.queue
            .start_unqueued(&job.customer, weight, job.class, expected_output);
    }
    Some(Placement { choice, attempt })
}

/// Builds the guard of a placed job.
fn start_job(
    state: &Arc<RouterState>,
    job: &DispatchJob,
    key: PoolKey,
    expected_output: Tokens,
    placement: &Placement,
) -> Result<(EndpointRecord, RequestGuard), Refusal> {
    let endpoint = &placement.choice.endpoint;
    let record = endpoint_record(state, &key, endpoint);
    let admitted = admitted_request(job, key, expected_output);
    let guard = RequestGuard::new(
        state.clone(),
        admitted,
        job_fingerprint(job),
        endpoint,
        placement.attempt,
    );
    log_choice(state, job, &placement.choice);
    let record = record.ok_or(RefusalCode::NoEndpoint)?;
    Ok((record, guard))
}

/// Finds an endpoint for a retry of an admitted job. Returns `None` if there is none in time.
pub(super) async fn place_retry(
    state: &Arc<RouterState>,
    job: &DispatchJob,
    guard: &mut RequestGuard,
    isolate: bool,
) -> Option<EndpointRecord> {
    // A suspected job may wait until its deadline for an endpoint that runs nothing else.
    let latest = if isolate {
        job.deadline
    } else {
        Instant::now() + RETRY_WAIT
    };
    let until = job.deadline.min(latest);
    loop {
        let now = Instant::now();
        let key = guard.admitted().pool_key.clone();
        let spec = RequestSpec {
            class: job.class,
            expected_output: guard.admitted().expected_output,
            prompt: estimate_prompt(job),
            prefix: None,
            isolate,
            avoid: guard.excluded(),
        };
        // A separate statement, so that the lock is released before the branch below takes it
        // again.
        let chosen = choose_endpoint(state, &mut state.routing.lock(), &key, &spec, now);
        if let Some((choice, attempt)) = chosen {
            guard.move_to(&choice.endpoint, attempt);
            log_choice(state, job, &choice);
            return endpoint_record(state, &key, &choice.endpoint);
        }
        if now >= until {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Admits waiting requests while endpoints have free slots.
pub(super) fn admit_waiting(state: &RouterState, key: &PoolKey) {
    let mut replies = Vec::new();
    let mut routing = state.routing.lock();
    let now = Instant::now();
    while let Some(reply) = admit_next(state, &mut routing, key, now) {
        replies.push(reply);
    }
    drop(routing);
    for reply in replies {
        // The caller may have disconnected after its request was admitted, so the slot is released.
        if let Err(Ok(placement)) = reply.sender.send(reply.result) {
            let mut routing = state.routing.lock();
            let endpoint = &placement.choice.endpoint;
            routing.table.finish(endpoint, placement.attempt, None, now);
            if let Some(pool) = routing.pools.get_mut(key) {
                pool.queue
                    .finish(&reply.customer, reply.class, reply.expected_output, 0);
            }
        }
    }
}

fn admit_next(
    state: &RouterState,
    routing: &mut RoutingState,
    key: &PoolKey,
    now: Instant,
) -> Option<QueueReply> {
    let RoutingState {
        table,
        pools,
        retries,
        ..
    } = routing;
    let pool_state = pools.get_mut(key)?;
    let records = &pool_state.records;
    let pool = &mut pool_state.pool;
    let capacity = table.capacity(pool);
    let released = pool_state.queue.next(capacity, now, |queued| {
        let spec = RequestSpec {
            class: queued.class,
            expected_output: queued.work,
            prompt: queued.item.prompt,
            prefix: None,
            isolate: false,
            avoid: &[],
        };
        let is_available = |endpoint: &EndpointId| {
            let record = records.get(endpoint);
            record.is_some_and(|record| accepts_work(state, record))
        };
        let choice = table.choose(pool, &spec, is_available, now, &mut rand::rng())?;
        let attempt = table.begin(&choice.endpoint, &spec, now);
        Some((choice, attempt))
    })?;
    Some(match released {
        QueueRelease::Admit(queued, (choice, attempt)) => {
            retries.deposit();
            QueueReply {
                sender: queued.item.sender,
                result: Ok(Placement { choice, attempt }),
                customer: queued.customer,
                class: queued.class,
                expected_output: queued.work,
            }
        }
        QueueRelease::Refuse(refused) => {
            let (sender, refusal) = queue_refusal(refused);
            QueueReply {
                sender,
                result: Err(refusal),
                customer: CustomerId::default(),
                class: WorkClass::default(),
                expected_output: 0,
            }
        }
    })
}

fn queue_refusal(
    refused: RefusedRequest<WaitingJob>,
) -> (oneshot::Sender<Result<Placement, Refusal>>, Refusal) {
    let refusal = Refusal::new(refused.code).retry_after(refused.retry_after);
    tracing::info!(
        request = %refused.item.request,
        code = refused.code.as_str(),
        expected_wait = ?refused.retry_after,
        "request refused by the queue"
    );
    (refused.item.sender, refusal)
}

/// Finds the endpoint pool of a job and the expected length of its response.
fn find_pool(state: &RouterState, job: &DispatchJob) -> Result<(PoolKey, Tokens), Refusal> {
    let config = state.fleet.config();
    let mut routing = state.routing.lock();
    let routers = u32::try_from(state.setting.peers.len()).unwrap_or(u32::MAX);
    routing.table.set_routers(routers.saturating_add(1));
    let key = routing.ensure_pool(&config, &job.route);
    let pool = routing.pools.get(&key).ok_or(RefusalCode::NoEndpoint)?;
    let mut records = pool.records.values();
    if !records.any(|record| accepts_work(state, record)) {
        return Err(RefusalCode::NoEndpoint.into());
    }
    let expected_output =
        routing
            .lengths
            .expected(&job.customer, &job.route.name, job.class, job.held_tokens);
    Ok((key, expected_output))
}

fn customer_weight(state: &RouterState, job: &DispatchJob) -> u32 {
    let config = state.fleet.config();
    match config.get(RecordKind::Customer, &job.customer) {
        Some(ConfigRecord::Customer(customer)) => customer.weight,
        _ => 1,
    }
}

/// Adds a job to the queue of its endpoint pool.
fn enqueue(
    state: &RouterState,
    job: &DispatchJob,
    sender: oneshot::Sender<Result<Placement, Refusal>>,
) -> Result<(PoolKey, Tokens), Refusal> {
    let (key, expected_output) = find_pool(state, job)?;
    let weight = customer_weight(state, job);
    let mut routing = state.routing.lock();
    let RoutingState {
        table,
        pools,
        lengths,
        ..
    } = &mut *routing;
    let learned_length = lengths.observed_mean(&job.customer, &job.route.name, job.held_tokens);
    let queued = QueuedRequest {
        customer: job.customer.clone(),
        weight,
        class: job.class,
        work: expected_output,
        min_work: learned_length.unwrap_or(1),
        deadline: job.deadline,
        refuse_at: admission::refuse_at(job.deadline, Instant::now()),
        item: WaitingJob {
            request: job.request.clone(),
            prompt: estimate_prompt(job),
            sender,
        },
    };
    let pool = pools.get_mut(&key).ok_or(RefusalCode::NoEndpoint)?;
    let capacity = table.capacity(&pool.pool);
    let refused = pool.queue.offer(queued, capacity, Instant::now());
    drop(routing);
    for refused in refused {
        let (sender, refusal) = queue_refusal(refused);
        // A dropped receiver needs no reply.
        let _ = sender.send(Err(refusal));
    }
    admit_waiting(state, &key);
    Ok((key, expected_output))
}

fn choose_endpoint(
    state: &RouterState,
    routing: &mut RoutingState,
    key: &PoolKey,
    spec: &RequestSpec<'_>,
    now: Instant,
) -> Option<(EndpointChoice, AttemptId)> {
    let RoutingState { table, pools, .. } = routing;
    let pool_state = pools.get_mut(key)?;
    let records = &pool_state.records;
    let is_available = |endpoint: &EndpointId| {
        let record = records.get(endpoint);
        record.is_some_and(|record| accepts_work(state, record))
    };
    let choice = table.choose(
        &mut pool_state.pool,
        spec,
        is_available,
        now,
        &mut rand::rng(),
    )?;
    let attempt = table.begin(&choice.endpoint, spec, now);
    Some((choice, attempt))
}

fn endpoint_record(
    state: &RouterState,
    key: &PoolKey,
    endpoint: &EndpointId,
) -> Option<EndpointRecord> {
    let routing = state.routing.lock();
    routing.pools.get(key)?.records.get(endpoint).cloned()
}

fn admitted_request(
    job: &DispatchJob,
    pool_key: PoolKey,
    expected_output: Tokens,
) -> AdmittedRequest {
    AdmittedRequest {
        pool_key,
        customer: job.customer.clone(),
        route: job.route.name.clone(),
        class: job.class,
        expected_output,
    }
}

fn estimate_prompt(job: &DispatchJob) -> Tokens {
    (job.body.len() / BYTES_PER_TOKEN) as Tokens
}

fn log_choice(state: &RouterState, job: &DispatchJob, choice: &EndpointChoice) {
    tracing::info!(
        request = %job.request,
        customer = %job.customer,
        route = %job.route.name,
        class = ?job.class,
        revision = state.fleet.config().revision(),
        choice = %choice.endpoint,
        runner_up = choice.runner_up.as_deref().unwrap_or("none"),
        reason = choice.reason.as_str(),
        time_left = ?job.deadline.saturating_duration_since(Instant::now()),
        "endpoint chosen"
    );
}

/// Job in the queue. If dropped while it waits, the job leaves the queue or releases its slot.
struct QueueEntry<'a> {
    state: &'a Arc<RouterState>,
    job: &'a DispatchJob,
    key: PoolKey,
    expected_output: Tokens,
    receiver: oneshot::Receiver<Result<Placement, Refusal>>,
    is_waiting: bool,
}

impl QueueEntry<'_> {
    fn start_job(&self, placement: &Placement) -> Result<(EndpointRecord, RequestGuard), Refusal> {
        start_job(
            self.state,
            self.job,
            self.key.clone(),
            self.expected_output,
            placement,
        )
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if !self.is_waiting {
            return;
        }
        let job = self.job;
        let waiting = {
            let mut routing = self.state.routing.lock();
            let pool = routing.pools.get_mut(&self.key);
            pool.and_then(|pool| {
                pool.queue.remove(&job.customer, job.class, |waiting| {
                    waiting.request == job.request
                })
            })
        };
        if waiting.is_some() {
            return;
        }
        // The job may have been admitted already. Dropping its guard releases the slot.
        if let Ok(Ok(placement)) = self.receiver.try_recv() {
            drop(self.start_job(&placement));
        }
    }
}
