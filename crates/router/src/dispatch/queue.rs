use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        ConfigRecord, CustomerId, EndpointId, RecordKind, Refusal, RefusalCode, RequestId, Tokens,
        admission::{self, QueueRelease, QueuedWork, RefusedWork, WorkClass},
        choice::{EndpointChoice, WorkId, WorkSpec},
        record::EndpointRecord,
    },
    tokio::sync::oneshot,
};

use super::{
    DispatchJob, WorkGuard, fingerprint_of,
    guard::AdmissionTicket,
    table::{PoolKey, RoutingInner},
};
use crate::{fleet::accepts_work, state::RouterState};

/// Time between two looks of a waiting request at the queue. Slots that other routers free are
/// seen only so.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a place for another attempt.
const AGAIN_WAIT: Duration = Duration::from_secs(1);
/// Bytes of a body that are counted as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// A request in the queue.
pub(super) struct WaitingJob {
    request: RequestId,
    prompt: Tokens,
    sender: oneshot::Sender<Result<PlacedJob, Refusal>>,
}

/// Place of an admitted request.
pub(super) struct PlacedJob {
    choice: EndpointChoice,
    work: WorkId,
}

/// Answer of the queue, to be sent after its lock is released.
struct QueueAnswer {
    sender: oneshot::Sender<Result<PlacedJob, Refusal>>,
    answer: Result<PlacedJob, Refusal>,
    customer: CustomerId,
    class: WorkClass,
    expected: Tokens,
}

/// Waits until the job has a place at an endpoint.
pub(super) async fn admit(
    state: &Arc<RouterState>,
    job: &DispatchJob,
    isolate: bool,
) -> Result<(EndpointRecord, WorkGuard), Refusal> {
    if isolate {
        return admit_alone(state, job).await;
    }
    let (sender, receiver) = oneshot::channel();
    let (key, expected) = offer(state, job, sender)?;
    let mut entry = QueueEntry {
        state,
        job,
        key,
        expected,
        receiver,
        waits: true,
    };
    loop {
        tokio::select! {
            answer = &mut entry.receiver => {
                entry.waits = false;
                let placed = answer.map_err(|_| RefusalCode::Overloaded)??;
                return entry.start(&placed);
            }
            () = tokio::time::sleep(LOOK_INTERVAL) => pump(state, &entry.key),
        }
    }
}

/// Waits until an endpoint runs nothing else of this router. A suspect does not wait in the queue,
/// where it would hold up others until an endpoint is free.
async fn admit_alone(
    state: &Arc<RouterState>,
    job: &DispatchJob,
) -> Result<(EndpointRecord, WorkGuard), Refusal> {
    let (key, expected) = pool_for(state, job)?;
    loop {
        if let Some(placed) = place_alone(state, job, &key, expected) {
            return start(state, job, key, expected, &placed);
        }
        if Instant::now() + AGAIN_WAIT >= job.deadline {
            return Err(RefusalCode::DeadlineTooShort.into());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

fn place_alone(
    state: &RouterState,
    job: &DispatchJob,
    key: &PoolKey,
    expected: Tokens,
) -> Option<PlacedJob> {
    let need = WorkSpec {
        class: job.class,
        work: expected,
        prompt: prompt_of(job),
        prefix: None,
        isolate: true,
        avoid: &[],
    };
    let weight = weight_of(state, job);
    let mut inner = state.routing.inner();
    let (choice, work) = choose(state, &mut inner, key, &need, Instant::now())?;
    if let Some(pool) = inner.pools.get_mut(key) {
        pool.queue
            .start_unqueued(&job.customer, weight, job.class, expected);
    }
    Some(PlacedJob { choice, work })
}

/// Builds the guard of a job that has its place.
fn start(
    state: &Arc<RouterState>,
    job: &DispatchJob,
    key: PoolKey,
    expected: Tokens,
    placed: &PlacedJob,
) -> Result<(EndpointRecord, WorkGuard), Refusal> {
    let endpoint = &placed.choice.endpoint;
    let record = record_of(state, &key, endpoint);
    let ticket = ticket_of(job, key, expected);
    let guard = WorkGuard::new(
        state.clone(),
        ticket,
        fingerprint_of(job),
        endpoint,
        placed.work,
    );
    log_choice(state, job, &placed.choice);
    let record = record.ok_or(RefusalCode::NoEndpoint)?;
    Ok((record, guard))
}

/// Finds a place for another attempt of an admitted job; `None` when there is none in time.
pub(super) async fn place_again(
    state: &Arc<RouterState>,
    job: &DispatchJob,
    guard: &mut WorkGuard,
    isolate: bool,
) -> Option<EndpointRecord> {
    // A suspect waits for as long as it takes to run alone.
    let patience = if isolate {
        job.deadline
    } else {
        Instant::now() + AGAIN_WAIT
    };
    let until = job.deadline.min(patience);
    loop {
        let now = Instant::now();
        let key = guard.ticket().key.clone();
        let need = WorkSpec {
            class: job.class,
            work: guard.ticket().expected,
            prompt: prompt_of(job),
            prefix: None,
            isolate,
            avoid: guard.avoided(),
        };
        // The lock must be free again before the branch below takes it.
        let found = choose(state, &mut state.routing.inner(), &key, &need, now);
        if let Some((choice, work)) = found {
            guard.move_to(&choice.endpoint, work);
            log_choice(state, job, &choice);
            return record_of(state, &key, &choice.endpoint);
        }
        if now >= until {
            return None;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Gives places to waiting requests while there are any.
pub(super) fn pump(state: &RouterState, key: &PoolKey) {
    let mut answers = Vec::new();
    let mut inner = state.routing.inner();
    let now = Instant::now();
    while let Some(answer) = release(state, &mut inner, key, now) {
        answers.push(answer);
    }
    drop(inner);
    for sent in answers {
        // The caller of a request may have left since its turn came; its place is free again.
        if let Err(Ok(placed)) = sent.sender.send(sent.answer) {
            let mut inner = state.routing.inner();
            let endpoint = &placed.choice.endpoint;
            inner.table.finish(endpoint, placed.work, None, now);
            if let Some(pool) = inner.pools.get_mut(key) {
                pool.queue
                    .finish(&sent.customer, sent.class, sent.expected, 0);
            }
        }
    }
}

fn release(
    state: &RouterState,
    inner: &mut RoutingInner,
    key: &PoolKey,
    now: Instant,
) -> Option<QueueAnswer> {
    let RoutingInner {
        table,
        pools,
        retries,
        ..
    } = inner;
    let pool_state = pools.get_mut(key)?;
    let records = &pool_state.records;
    let pool = &mut pool_state.pool;
    let view = table.capacity(pool);
    let released = pool_state.queue.next(view, now, |queued| {
        let need = WorkSpec {
            class: queued.class,
            work: queued.work,
            prompt: queued.item.prompt,
            prefix: None,
            isolate: false,
            avoid: &[],
        };
        let open = |endpoint: &EndpointId| {
            let record = records.get(endpoint);
            record.is_some_and(|record| accepts_work(state, record))
        };
        let choice = table.choose(pool, &need, open, now, &mut rand::rng())?;
        let work = table.begin(&choice.endpoint, &need, now);
        Some((choice, work))
    })?;
    Some(match released {
        QueueRelease::Admit(queued, (choice, work)) => {
            retries.deposit();
            QueueAnswer {
                sender: queued.item.sender,
                answer: Ok(PlacedJob { choice, work }),
                customer: queued.customer,
                class: queued.class,
                expected: queued.work,
            }
        }
        QueueRelease::Refuse(refused) => {
            let (sender, refusal) = refusal_of(refused);
            QueueAnswer {
                sender,
                answer: Err(refusal),
                customer: CustomerId::default(),
                class: WorkClass::default(),
                expected: 0,
            }
        }
    })
}

fn refusal_of(
    refused: RefusedWork<WaitingJob>,
) -> (oneshot::Sender<Result<PlacedJob, Refusal>>, Refusal) {
    let refusal = Refusal::new(refused.code).retry_after(refused.retry_after);
    tracing::info!(
        request = %refused.item.request,
        code = refused.code.as_str(),
        expected_wait = ?refused.retry_after,
        "request leaves the queue without a place"
    );
    (refused.item.sender, refusal)
}

/// Finds the endpoints of a job, with the expected length of its answer.
fn pool_for(state: &RouterState, job: &DispatchJob) -> Result<(PoolKey, Tokens), Refusal> {
    let config = state.fleet.config();
    let mut inner = state.routing.inner();
    let routers = u32::try_from(state.setting.peers.len()).unwrap_or(u32::MAX);
    inner.table.set_routers(routers.saturating_add(1));
    let key = inner.pool(&config, &job.route);
    let pool = inner.pools.get(&key).ok_or(RefusalCode::NoEndpoint)?;
    let mut records = pool.records.values();
    if !records.any(|record| accepts_work(state, record)) {
        return Err(RefusalCode::NoEndpoint.into());
    }
    let expected = inner
        .lengths
        .expected(&job.customer, &job.route.name, job.class, job.work);
    Ok((key, expected))
}

fn weight_of(state: &RouterState, job: &DispatchJob) -> u32 {
    let config = state.fleet.config();
    match config.get(RecordKind::Customer, &job.customer) {
        Some(ConfigRecord::Customer(customer)) => customer.weight,
        _ => 1,
    }
}

/// Puts a job into the queue of its endpoints.
fn offer(
    state: &RouterState,
    job: &DispatchJob,
    sender: oneshot::Sender<Result<PlacedJob, Refusal>>,
) -> Result<(PoolKey, Tokens), Refusal> {
    let (key, expected) = pool_for(state, job)?;
    let weight = weight_of(state, job);
    let mut inner = state.routing.inner();
    let RoutingInner {
        table,
        pools,
        lengths,
        ..
    } = &mut *inner;
    let learned = lengths.observed_mean(&job.customer, &job.route.name, job.work);
    let queued = QueuedWork {
        customer: job.customer.clone(),
        weight,
        class: job.class,
        work: expected,
        min_work: learned.unwrap_or(1),
        deadline: job.deadline,
        refuse_at: admission::refuse_at(job.deadline, Instant::now()),
        item: WaitingJob {
            request: job.request.clone(),
            prompt: prompt_of(job),
            sender,
        },
    };
    let pool = pools.get_mut(&key).ok_or(RefusalCode::NoEndpoint)?;
    let view = table.capacity(&pool.pool);
    let refused = pool.queue.offer(queued, view, Instant::now());
    drop(inner);
    for refused in refused {
        let (sender, refusal) = refusal_of(refused);
        // A receiver that is gone needs no answer.
        let _ = sender.send(Err(refusal));
    }
    pump(state, &key);
    Ok((key, expected))
}

fn choose(
    state: &RouterState,
    inner: &mut RoutingInner,
    key: &PoolKey,
    need: &WorkSpec<'_>,
    now: Instant,
) -> Option<(EndpointChoice, WorkId)> {
    let RoutingInner { table, pools, .. } = inner;
    let pool_state = pools.get_mut(key)?;
    let records = &pool_state.records;
    let open = |endpoint: &EndpointId| {
        let record = records.get(endpoint);
        record.is_some_and(|record| accepts_work(state, record))
    };
    let choice = table.choose(&mut pool_state.pool, need, open, now, &mut rand::rng())?;
    let work = table.begin(&choice.endpoint, need, now);
    Some((choice, work))
}

fn record_of(state: &RouterState, key: &PoolKey, endpoint: &EndpointId) -> Option<EndpointRecord> {
    let inner = state.routing.inner();
    inner.pools.get(key)?.records.get(endpoint).cloned()
}

fn ticket_of(job: &DispatchJob, key: PoolKey, expected: Tokens) -> AdmissionTicket {
    AdmissionTicket {
        key,
        customer: job.customer.clone(),
        route: job.route.name.clone(),
        class: job.class,
        expected,
    }
}

fn prompt_of(job: &DispatchJob) -> Tokens {
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

/// A job in the queue; dropped while it waits, it leaves the queue and returns its place.
struct QueueEntry<'a> {
    state: &'a Arc<RouterState>,
    job: &'a DispatchJob,
    key: PoolKey,
    expected: Tokens,
    receiver: oneshot::Receiver<Result<PlacedJob, Refusal>>,
    waits: bool,
}

impl QueueEntry<'_> {
    fn start(&self, placed: &PlacedJob) -> Result<(EndpointRecord, WorkGuard), Refusal> {
        start(
            self.state,
            self.job,
            self.key.clone(),
            self.expected,
            placed,
        )
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if !self.waits {
            return;
        }
        let job = self.job;
        let waiting = {
            let mut inner = self.state.routing.inner();
            let pool = inner.pools.get_mut(&self.key);
            pool.and_then(|pool| {
                pool.queue.remove(&job.customer, job.class, |waiting| {
                    waiting.request == job.request
                })
            })
        };
        if waiting.is_some() {
            return;
        }
        // The place may be on its way; its guard returns it.
        if let Ok(Ok(placed)) = self.receiver.try_recv() {
            drop(self.start(&placed));
        }
    }
}
