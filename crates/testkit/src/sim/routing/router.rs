use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        CustomerId, EndpointId, RefusalCode, RouteId, Tokens,
        admission::{
            self, AdmissionQueue, CapacityView, LengthTable, QueueRelease, QueuedRequest, WorkClass,
        },
        choice::{AttemptId, EndpointPool, EndpointTable, LoadReport, RequestSpec},
        retry::{self, RetryBudget},
    },
    rand::Rng,
    rand_chacha::ChaCha8Rng,
};

use super::{LoadRequest, RoutingPolicy, RoutingScenario};

/// Index of a refused request and the code of the refusal.
pub(super) type SimRefusal = (usize, RefusalCode);

/// Dispatch of a job to an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimDispatch {
    pub(super) engine: usize,
    /// Number of endpoints examined for the choice.
    pub(super) examined: usize,
    attempt: Option<AttemptId>,
}

impl SimDispatch {
    /// Creates a dispatch of a baseline policy, which keeps no estimates.
    pub(super) fn baseline(engine: usize) -> Self {
        Self {
            engine,
            examined: 0,
            attempt: None,
        }
    }
}

/// Router with the decision logic of the core crate or of a baseline policy.
pub(super) struct SimRouter {
    /// Queue of all routers under `RoutingPolicy::SingleQueue`; only that of the first router is
    /// used.
    pub(super) shared_queue: VecDeque<usize>,
    names: Vec<EndpointId>,
    indices: HashMap<EndpointId, usize>,
    customers: Vec<CustomerId>,
    pool: EndpointPool,
    table: EndpointTable,
    queue: AdmissionQueue<usize>,
    lengths: LengthTable,
    retries: RetryBudget,
    /// Expected output by request.
    expected: HashMap<usize, Tokens>,
    /// Open requests of this router by engine.
    outstanding: Vec<u32>,
    /// Counter of the round-robin policy.
    round_robin: usize,
    rng: ChaCha8Rng,
}

impl SimRouter {
    pub(super) fn new(scenario: &RoutingScenario, rng: ChaCha8Rng) -> Self {
        let names: Vec<EndpointId> = (0..scenario.engines)
            .map(|index| format!("engine-{index}").into())
            .collect();
        let slots = scenario.slots as u32;
        let mut table = EndpointTable::default();
        table.set_routers(scenario.routers as u32);
        let customers = (0..scenario.customers.len()).map(|index| format!("customer-{index}"));
        Self {
            shared_queue: VecDeque::new(),
            indices: names.iter().cloned().zip(0..).collect(),
            customers: customers.map(CustomerId::from).collect(),
            pool: EndpointPool::new(names.iter().map(|name| (name.clone(), slots))),
            names,
            table,
            queue: AdmissionQueue::default(),
            lengths: LengthTable::default(),
            retries: RetryBudget::default(),
            expected: HashMap::new(),
            outstanding: vec![0; scenario.engines],
            round_robin: 0,
            rng,
        }
    }

    /// Chooses an engine by a baseline policy.
    pub(super) fn choose_baseline(&mut self, policy: RoutingPolicy) -> usize {
        let count = self.outstanding.len();
        match policy {
            RoutingPolicy::RoundRobin => {
                self.round_robin += 1;
                self.round_robin % count
            }
            RoutingPolicy::LeastOutstanding => {
                let start = self.rng.random_range(0..count);
                let engines = (0..count).map(|offset| (start + offset) % count);
                engines
                    .min_by_key(|index| self.outstanding[*index])
                    .unwrap_or(0)
            }
            _ => {
                let first = self.rng.random_range(0..count);
                let second = (first + self.rng.random_range(1..count)) % count;
                if self.outstanding[second] < self.outstanding[first] {
                    second
                } else {
                    first
                }
            }
        }
    }

    pub(super) fn count_dispatch(&mut self, engine: usize) {
        self.outstanding[engine] += 1;
    }

    pub(super) fn update_report(&mut self, engine: usize, at: Instant, running: u32, queued: u32) {
        let stats = self.table.stats(&self.names[engine], 8);
        stats.update_report(LoadReport {
            at,
            running,
            queued,
        });
    }

    fn route(class: WorkClass) -> RouteId {
        match class {
            WorkClass::Short => "tagging".into(),
            WorkClass::Normal => "questions".into(),
            WorkClass::Long => "dossiers".into(),
        }
    }

    fn expected_output(&self, load: &LoadRequest) -> Tokens {
        let customer = &self.customers[load.customer];
        self.lengths
            .expected(customer, &Self::route(load.class), load.class, 8_192)
    }

    fn capacity(&self) -> CapacityView {
        self.table.capacity(&self.pool)
    }

    /// Adds a request to the queue; returns the requests that are refused.
    pub(super) fn offer(
        &mut self,
        request: usize,
        load: &LoadRequest,
        epoch: Instant,
        now: Instant,
    ) -> Vec<SimRefusal> {
        let work = self.expected_output(load);
        self.expected.insert(request, work);
        let queued = QueuedRequest {
            customer: self.customers[load.customer].clone(),
            weight: 1,
            class: load.class,
            work,
            min_work: work,
            deadline: epoch + Duration::from_micros(load.deadline),
            refuse_at: admission::refuse_at(epoch + Duration::from_micros(load.deadline), now),
            item: request,
        };
        let refused = self.queue.offer(queued, self.capacity(), now);
        refused
            .into_iter()
            .map(|refused| (refused.item, refused.code))
            .collect()
    }

    /// Takes the next request from the queue and returns it with its dispatch, or with a refusal;
    /// returns `None` if no request can leave the queue now.
    pub(super) fn release(
        &mut self,
        requests: &[LoadRequest],
        now: Instant,
    ) -> Option<Result<(usize, SimDispatch), SimRefusal>> {
        let capacity = self.capacity();
        let Self {
            queue,
            table,
            pool,
            rng,
            ..
        } = self;
        let release = queue.next(capacity, now, |queued| {
            let spec = work_spec(&requests[queued.item], queued.work, &[]);
            let choice = table.choose(pool, &spec, |_| true, now, rng)?;
            let attempt = table.begin(&choice.endpoint, &spec, now);
            Some((choice, attempt))
        })?;
        Some(match release {
            QueueRelease::Admit(queued, (choice, attempt)) => {
                self.retries.deposit();
                let dispatch = SimDispatch {
                    engine: self.indices[&choice.endpoint],
                    examined: choice.examined,
                    attempt: Some(attempt),
                };
                Ok((queued.item, dispatch))
            }
            QueueRelease::Refuse(refused) => Err((refused.item, refused.code)),
        })
    }

    /// Returns the time at which a request without a first token is hedged.
    pub(super) fn hedge_at(&self, load: &LoadRequest, now: Instant) -> Option<Instant> {
        retry::hedge_at(
            load.class,
            true,
            self.queue.waiting(),
            self.table.first_token_p95(),
            now,
        )
    }

    /// Chooses another engine than `first_engine` for a hedge, if the retry budget allows it.
    pub(super) fn hedge(
        &mut self,
        load: &LoadRequest,
        first_engine: Option<usize>,
        now: Instant,
    ) -> Option<SimDispatch> {
        if self.retries.remaining() == 0 {
            return None;
        }
        let avoid: Vec<EndpointId> = first_engine
            .iter()
            .map(|engine| self.names[*engine].clone())
            .collect();
        let spec = work_spec(load, self.expected_output(load), &avoid);
        let choice = self
            .table
            .choose(&mut self.pool, &spec, |_| true, now, &mut self.rng)?;
        self.retries.withdraw();
        let attempt = self.table.begin(&choice.endpoint, &spec, now);
        Some(SimDispatch {
            engine: self.indices[&choice.endpoint],
            examined: choice.examined,
            attempt: Some(attempt),
        })
    }

    /// Chooses an engine for a probe with a copy of a short request, if a probe is due and the
    /// retry budget allows it.
    pub(super) fn probe(&mut self, load: &LoadRequest, now: Instant) -> Option<SimDispatch> {
        if load.class != WorkClass::Short || self.retries.remaining() == 0 {
            return None;
        }
        let endpoint = self.table.probe(&self.pool, |_| true, now, &mut self.rng)?;
        self.retries.withdraw();
        let spec = work_spec(load, 1, &[]);
        let attempt = self.table.begin(&endpoint, &spec, now);
        Some(SimDispatch {
            engine: self.indices[&endpoint],
            examined: 2,
            attempt: Some(attempt),
        })
    }

    /// Records a generated token.
    pub(super) fn progress(&mut self, dispatch: &SimDispatch, class: WorkClass, now: Instant) {
        let Some(attempt) = dispatch.attempt else {
            return;
        };
        let first_token = self
            .table
            .progress(&self.names[dispatch.engine], attempt, 1, now);
        if let Some(first_token) = first_token {
            self.queue.observe_first_token(&first_token);
        }
        self.queue.progress(class, 1, now);
    }

    /// Records the end of a job; `output` is `None` unless it completed.
    pub(super) fn finish_job(
        &mut self,
        dispatch: &SimDispatch,
        output: Option<Tokens>,
        now: Instant,
    ) {
        self.outstanding[dispatch.engine] -= 1;
        if let Some(attempt) = dispatch.attempt {
            self.table
                .finish(&self.names[dispatch.engine], attempt, output, now);
        }
    }

    /// Records the end of an admitted request with the number of tokens it generated.
    pub(super) fn finish_request(&mut self, request: usize, load: &LoadRequest, output: Tokens) {
        let expected = self.expected.remove(&request).unwrap_or(0);
        let customer = &self.customers[load.customer];
        self.queue.finish(customer, load.class, expected, output);
        self.lengths
            .record(customer, &Self::route(load.class), output);
    }
}

fn work_spec<'a>(load: &LoadRequest, work: Tokens, avoid: &'a [EndpointId]) -> RequestSpec<'a> {
    RequestSpec {
        class: load.class,
        expected_output: work,
        prompt: load.prompt,
        prefix: None,
        isolate: false,
        avoid,
    }
}
