use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        CustomerId, EndpointId, RefusalCode, RouteId, Tokens,
        admission::{
            self, AdmissionQueue, CapacityView, LengthTable, QueueRelease, QueuedWork, WorkClass,
        },
        choice::{EndpointPool, EndpointTable, LoadReport, WorkId, WorkSpec},
        retry::{self, RetryBudget},
    },
    rand::Rng,
    rand_chacha::ChaCha8Rng,
};

use super::{LoadRequest, RoutingPolicy, RoutingScenario};

/// Request and the code of its refusal.
pub(super) type SimRefusal = (usize, RefusalCode);

/// Where a job goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimDispatch {
    pub(super) engine: usize,
    pub(super) examined: usize,
    work: Option<WorkId>,
}

impl SimDispatch {
    /// Dispatch by a baseline, which keeps no estimates.
    pub(super) fn plain(engine: usize) -> Self {
        Self {
            engine,
            examined: 0,
            work: None,
        }
    }
}

/// One router, with the decision logic of the core or a baseline.
pub(super) struct SimRouter {
    pub(super) line: VecDeque<usize>,
    names: Vec<EndpointId>,
    indices: HashMap<EndpointId, usize>,
    customers: Vec<CustomerId>,
    pool: EndpointPool,
    table: EndpointTable,
    queue: AdmissionQueue<usize>,
    lengths: LengthTable,
    retries: RetryBudget,
    expected: HashMap<usize, Tokens>,
    own: Vec<u32>,
    turn: usize,
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
            line: VecDeque::new(),
            indices: names.iter().cloned().zip(0..).collect(),
            customers: customers.map(CustomerId::from).collect(),
            pool: EndpointPool::new(names.iter().map(|name| (name.clone(), slots))),
            names,
            table,
            queue: AdmissionQueue::default(),
            lengths: LengthTable::default(),
            retries: RetryBudget::default(),
            expected: HashMap::new(),
            own: vec![0; scenario.engines],
            turn: 0,
            rng,
        }
    }

    pub(super) fn pick_baseline(&mut self, policy: RoutingPolicy) -> usize {
        let count = self.own.len();
        match policy {
            RoutingPolicy::RoundRobin => {
                self.turn += 1;
                self.turn % count
            }
            RoutingPolicy::LeastOutstanding => {
                let start = self.rng.random_range(0..count);
                let order = (0..count).map(|step| (start + step) % count);
                order.min_by_key(|index| self.own[*index]).unwrap_or(0)
            }
            _ => {
                let first = self.rng.random_range(0..count);
                let second = (first + self.rng.random_range(1..count)) % count;
                if self.own[second] < self.own[first] {
                    second
                } else {
                    first
                }
            }
        }
    }

    pub(super) fn begin(&mut self, engine: usize) {
        self.own[engine] += 1;
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

    fn expect(&self, load: &LoadRequest) -> Tokens {
        let customer = &self.customers[load.customer];
        self.lengths
            .expected(customer, &Self::route(load.class), load.class, 8_192)
    }

    fn view(&self) -> CapacityView {
        self.table.capacity(&self.pool)
    }

    pub(super) fn offer(
        &mut self,
        request: usize,
        load: &LoadRequest,
        epoch: Instant,
        now: Instant,
    ) -> Vec<SimRefusal> {
        let work = self.expect(load);
        self.expected.insert(request, work);
        let queued = QueuedWork {
            customer: self.customers[load.customer].clone(),
            weight: 1,
            class: load.class,
            work,
            min_work: work,
            deadline: epoch + Duration::from_micros(load.deadline),
            refuse_at: admission::refuse_at(epoch + Duration::from_micros(load.deadline), now),
            item: request,
        };
        let refused = self.queue.offer(queued, self.view(), now);
        refused
            .into_iter()
            .map(|refused| (refused.item, refused.code))
            .collect()
    }

    /// Next request of the queue with its place, or one that is refused.
    pub(super) fn release(
        &mut self,
        requests: &[LoadRequest],
        now: Instant,
    ) -> Option<Result<(usize, SimDispatch), SimRefusal>> {
        let view = self.view();
        let Self {
            queue,
            table,
            pool,
            rng,
            ..
        } = self;
        let release = queue.next(view, now, |queued| {
            let need = need_of(&requests[queued.item], queued.work, &[]);
            let choice = table.choose(pool, &need, |_| true, now, rng)?;
            let work = table.begin(&choice.endpoint, &need, now);
            Some((choice, work))
        })?;
        Some(match release {
            QueueRelease::Admit(queued, (choice, work)) => {
                self.retries.deposit();
                let dispatch = SimDispatch {
                    engine: self.indices[&choice.endpoint],
                    examined: choice.examined,
                    work: Some(work),
                };
                Ok((queued.item, dispatch))
            }
            QueueRelease::Refuse(refused) => Err((refused.item, refused.code)),
        })
    }

    pub(super) fn hedge_at(&self, load: &LoadRequest, now: Instant) -> Option<Instant> {
        retry::hedge_at(
            load.class,
            true,
            self.queue.waiting(),
            self.table.first_token_p95(),
            now,
        )
    }

    pub(super) fn hedge(
        &mut self,
        load: &LoadRequest,
        first: Option<usize>,
        now: Instant,
    ) -> Option<SimDispatch> {
        if self.retries.remaining() == 0 {
            return None;
        }
        let avoid: Vec<EndpointId> = first
            .iter()
            .map(|engine| self.names[*engine].clone())
            .collect();
        let need = need_of(load, self.expect(load), &avoid);
        let choice = self
            .table
            .choose(&mut self.pool, &need, |_| true, now, &mut self.rng)?;
        self.retries.withdraw();
        let work = self.table.begin(&choice.endpoint, &need, now);
        Some(SimDispatch {
            engine: self.indices[&choice.endpoint],
            examined: choice.examined,
            work: Some(work),
        })
    }

    pub(super) fn probe(&mut self, load: &LoadRequest, now: Instant) -> Option<SimDispatch> {
        if load.class != WorkClass::Short || self.retries.remaining() == 0 {
            return None;
        }
        let endpoint = self.table.probe(&self.pool, |_| true, now, &mut self.rng)?;
        self.retries.withdraw();
        let need = need_of(load, 1, &[]);
        let work = self.table.begin(&endpoint, &need, now);
        Some(SimDispatch {
            engine: self.indices[&endpoint],
            examined: 2,
            work: Some(work),
        })
    }

    pub(super) fn progress(&mut self, dispatch: &SimDispatch, class: WorkClass, now: Instant) {
        let Some(work) = dispatch.work else { return };
        let first = self
            .table
            .progress(&self.names[dispatch.engine], work, 1, now);
        if let Some(first) = first {
            self.queue.observe_first_token(&first);
        }
        self.queue.progress(class, 1, now);
    }

    pub(super) fn end(&mut self, dispatch: &SimDispatch, output: Option<Tokens>, now: Instant) {
        self.own[dispatch.engine] -= 1;
        if let Some(work) = dispatch.work {
            self.table
                .finish(&self.names[dispatch.engine], work, output, now);
        }
    }

    /// Ends an admitted request.
    pub(super) fn close(&mut self, request: usize, load: &LoadRequest, done: Tokens) {
        let expected = self.expected.remove(&request).unwrap_or(0);
        let customer = &self.customers[load.customer];
        self.queue.finish(customer, load.class, expected, done);
        self.lengths
            .record(customer, &Self::route(load.class), done);
    }
}

fn need_of<'a>(load: &LoadRequest, work: Tokens, avoid: &'a [EndpointId]) -> WorkSpec<'a> {
    WorkSpec {
        class: load.class,
        work,
        prompt: load.prompt,
        prefix: None,
        isolate: false,
        avoid,
    }
}
