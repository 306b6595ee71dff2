//! Discrete-event simulation of routers and engines, for the request bounds in design.md.
//!
//! Every router sees only its own work. Engines, the endpoints of the simulation, run a batch of
//! slots, keep a priority queue and report their load with a delay. All random numbers derive from
//! the seed of the scenario, so that a run repeats exactly.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{RefusalCode, admission::WorkClass},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
};

use self::{
    engine::{EngineStep, SimEngine, TOKEN_TIME},
    router::{SimDispatch, SimRouter},
};

pub use self::{
    engine::Slowdown,
    load::{ClassLoad, LoadRequest},
    measure::RoutingResult,
};

mod engine;
mod load;
mod measure;
mod router;

/// Virtual time in microseconds.
pub type Micros = u64;
/// One second of virtual time.
pub const SECOND: Micros = 1_000_000;
/// Index of a job. A job is one attempt of a request at an engine.
type JobId = usize;

/// Time before measurements start, in which estimates converge.
const WARM_UP: Micros = 12 * SECOND;
/// Time between two load reports of an engine.
const REPORT_INTERVAL: Micros = SECOND;
/// Age of a load report when the routers receive it.
const REPORT_DELAY: Micros = 5 * SECOND;
/// Time between two checks of the router queues for requests that have to be refused.
const TICK_INTERVAL: Micros = 50_000;
/// Number of output tokens after which a probe is cancelled.
const PROBE_TOKENS: u64 = 4;

/// Policy that distributes requests over engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Policy of the jasminewall router.
    Jasminewall,
    /// Engines in cyclic order.
    RoundRobin,
    /// Engine with the fewest open requests of the same router.
    LeastOutstanding,
    /// Of two random engines, the one with fewer open requests of the same router.
    PowerOfTwo,
    /// One FIFO queue for the whole fleet, which knows every free slot without delay.
    SingleQueue,
}

impl RoutingPolicy {
    /// All policies; the first one is that of the router.
    pub const ALL: [Self; 5] = [
        Self::Jasminewall,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::PowerOfTwo,
        Self::SingleQueue,
    ];
}

/// Parameters of a simulation run.
#[derive(Clone, Debug)]
pub struct RoutingScenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of slots of an engine.
    pub slots: usize,
    /// Whether an engine without free slots pauses less urgent requests for more urgent ones. A
    /// paused request is prefilled again when it continues.
    pub preempts: bool,
    /// Mean offered load as a share of the capacity.
    pub load: f64,
    /// Virtual time during which requests arrive, in seconds.
    pub seconds: usize,
    /// Load of each class of work.
    pub classes: Vec<ClassLoad>,
    /// Relative share of the requests of each customer.
    pub customers: Vec<f64>,
    /// Slow periods of engines.
    pub slowdowns: Vec<Slowdown>,
    /// Policy that distributes requests over engines.
    pub policy: RoutingPolicy,
}

impl RoutingScenario {
    /// Size and load of the consortium deployment: 8 routers, 10 engines, much normal and long
    /// work.
    pub fn consortium(policy: RoutingPolicy) -> Self {
        Self::with_size(policy, 8, [0.15, 0.45, 0.40])
    }

    /// Size and load of the cooperative deployment: 9 routers, 10 engines, much short work.
    pub fn cooperative(policy: RoutingPolicy) -> Self {
        Self::with_size(policy, 9, [0.30, 0.30, 0.40])
    }

    fn with_size(policy: RoutingPolicy, routers: usize, shares: [f64; 3]) -> Self {
        let load = |class, share, output: (f64, f64), shape, max_prompt, time_limit| ClassLoad {
            class,
            share,
            min_output: output.0,
            max_output: output.1,
            shape,
            max_prompt,
            time_limit: time_limit * SECOND,
        };
        Self {
            seed: 1,
            routers,
            engines: 10,
            slots: 8,
            preempts: true,
            load: 0.8,
            seconds: 120,
            classes: vec![
                load(WorkClass::Short, shares[0], (10.0, 60.0), 1.3, 300, 5),
                load(WorkClass::Normal, shares[1], (50.0, 600.0), 1.5, 1_000, 60),
                load(
                    WorkClass::Long,
                    shares[2],
                    (500.0, 6_000.0),
                    1.2,
                    2_000,
                    600,
                ),
            ],
            // Three customers are larger than the others.
            customers: vec![6.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0],
            slowdowns: Vec::new(),
            policy,
        }
    }

    /// Removes one class of work.
    #[must_use]
    pub fn without_class(mut self, class: WorkClass) -> Self {
        self.classes.retain(|load| load.class != class);
        self
    }

    /// Runs the scenario until the last request has ended.
    pub fn run(&self) -> RoutingResult {
        Simulation::new(self).run()
    }

    /// Returns the number of output tokens that all engines generate per second with full batches.
    pub fn tokens_per_second(&self) -> f64 {
        let slowdown = 1.0 + 0.01 * (self.slots as f64 - 1.0);
        let slots = (self.engines * self.slots) as f64;
        slots * SECOND as f64 / (TOKEN_TIME as f64 * slowdown)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// Arrival of a request.
    Arrival(usize),
    /// Next token of a job, with the number of its pauses when the event was scheduled. The event
    /// is ignored if the job has been paused since.
    Token(JobId, u32),
    /// Time to hedge a request.
    Hedge(usize),
    /// Deadline of a request.
    Deadline(usize),
    /// An engine sends a load report.
    SendReport(usize),
    /// The routers receive the load report of an engine: running and queued jobs.
    ReceiveReport(usize, u32, u32),
    /// The routers check their queues for requests that have to be refused.
    Tick,
}

#[derive(Debug)]
struct SimJob {
    request: usize,
    engine: usize,
    /// Number of generated tokens.
    output: u64,
    /// Number of times the job was paused.
    pauses: u32,
    is_open: bool,
    is_probe: bool,
    /// Time of the last token, or of the dispatch.
    last_token: Micros,
    dispatch: SimDispatch,
}

#[derive(Debug, Default)]
struct RequestState {
    jobs: Vec<JobId>,
    has_ended: bool,
    /// Job whose tokens are sent to the caller.
    streaming_job: Option<JobId>,
    /// Whether an engine generated a token, probes excluded.
    has_started: bool,
    /// Tokens generated during the measured time.
    measured_tokens: u64,
}

struct Simulation<'a> {
    scenario: &'a RoutingScenario,
    /// Instant of virtual time 0.
    epoch: Instant,
    now: Micros,
    /// Events by time and sequence number, which keeps the order of simultaneous events.
    events: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    sequence: u64,
    requests: Vec<LoadRequest>,
    states: Vec<RequestState>,
    jobs: Vec<SimJob>,
    engines: Vec<SimEngine>,
    routers: Vec<SimRouter>,
    /// Number of requests that have not ended.
    open_requests: usize,
    result: RoutingResult,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a RoutingScenario) -> Self {
        let until = scenario.seconds as Micros * SECOND;
        let rate = scenario.tokens_per_second() * scenario.load;
        let mut requests: Vec<LoadRequest> = Vec::new();
        for load in &scenario.classes {
            requests.extend(load::generate(
                load,
                scenario.seed,
                rate,
                until,
                scenario.routers,
                &scenario.customers,
            ));
        }
        requests.sort_by_key(|request| request.arrival);
        let routers = (0..scenario.routers).map(|index| {
            let rng = ChaCha8Rng::seed_from_u64(scenario.seed.wrapping_add(index as u64) << 8);
            SimRouter::new(scenario, rng)
        });
        let engines = (0..scenario.engines).map(|index| {
            SimEngine::new(
                index,
                scenario.slots,
                scenario.preempts,
                &scenario.slowdowns,
            )
        });
        let mut simulation = Self {
            scenario,
            epoch: Instant::now(),
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            states: requests.iter().map(|_| RequestState::default()).collect(),
            open_requests: requests.len(),
            jobs: Vec::new(),
            engines: engines.collect(),
            routers: routers.collect(),
            result: RoutingResult::new(
                scenario.engines,
                scenario.customers.len(),
                scenario.seconds,
            ),
            requests,
        };
        simulation.result.capacity =
            scenario.tokens_per_second() * (until - WARM_UP) as f64 / SECOND as f64;
        simulation.schedule_initial_events();
        simulation
    }

    /// Schedules the arrivals and deadlines of all requests, and the first ticks and load reports.
    fn schedule_initial_events(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].arrival, SimEvent::Arrival(index));
            self.schedule(self.requests[index].deadline, SimEvent::Deadline(index));
            let request = &self.requests[index];
            self.result.offered[request.customer] += self.offered_tokens(request);
        }
        if self.scenario.policy == RoutingPolicy::Jasminewall {
            self.schedule(TICK_INTERVAL, SimEvent::Tick);
            for engine in 0..self.engines.len() {
                self.schedule(REPORT_INTERVAL, SimEvent::SendReport(engine));
            }
        }
    }

    /// Returns the tokens of a request that an idle engine would generate during the measured time.
    fn offered_tokens(&self, request: &LoadRequest) -> u64 {
        let until = self.scenario.seconds as Micros * SECOND;
        let start = request.arrival + TOKEN_TIME * request.prompt / 200;
        let end = (start + request.output * TOKEN_TIME).min(until);
        end.saturating_sub(start.max(WARM_UP)) / TOKEN_TIME
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Returns the current virtual time as an `Instant`, which the core crate expects.
    fn instant(&self) -> Instant {
        self.epoch + Duration::from_micros(self.now)
    }

    fn run(mut self) -> RoutingResult {
        while self.open_requests > 0 {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle_event(event);
        }
        self.result
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(request) => self.handle_arrival(request),
            SimEvent::Token(job, pauses) => self.handle_token(job, pauses),
            SimEvent::Hedge(request) => self.handle_hedge(request),
            SimEvent::Deadline(request) => self.handle_deadline(request),
            SimEvent::SendReport(engine) => {
                let state = &self.engines[engine];
                let (running, queued) = (state.running.len() as u32, state.waiting.len() as u32);
                self.schedule(
                    self.now + REPORT_DELAY,
                    SimEvent::ReceiveReport(engine, running, queued),
                );
                self.schedule(self.now + REPORT_INTERVAL, SimEvent::SendReport(engine));
            }
            SimEvent::ReceiveReport(engine, running, queued) => {
                let at = self.epoch + Duration::from_micros(self.now - REPORT_DELAY);
                for router in &mut self.routers {
                    router.update_report(engine, at, running, queued);
                }
            }
            SimEvent::Tick => {
                for router in 0..self.routers.len() {
                    self.release_requests(router);
                }
                self.schedule(self.now + TICK_INTERVAL, SimEvent::Tick);
            }
        }
    }

    fn handle_arrival(&mut self, request: usize) {
        let load = &self.requests[request];
        let (router, epoch, now) = (load.router, self.epoch, self.instant());
        match self.scenario.policy {
            RoutingPolicy::Jasminewall => {
                let refused = self.routers[router].offer(request, load, epoch, now);
                for (request, code) in refused {
                    self.refuse(request, code);
                }
                self.release_requests(router);
            }
            RoutingPolicy::SingleQueue => {
                self.routers[0].shared_queue.push_back(request);
                self.drain_shared_queue();
            }
            policy => {
                let engine = self.routers[router].choose_baseline(policy);
                self.dispatch(request, SimDispatch::baseline(engine), false);
            }
        }
    }

    /// Releases requests from the queue of a router while engines have capacity.
    fn release_requests(&mut self, router: usize) {
        loop {
            let now = self.instant();
            match self.routers[router].release(&self.requests, now) {
                None => return,
                Some(Ok((request, dispatch))) => {
                    self.result.examined = self.result.examined.max(dispatch.examined);
                    self.dispatch(request, dispatch, false);
                    self.send_probe(router, request);
                    let hedge_at = self.routers[router].hedge_at(&self.requests[request], now);
                    if let Some(at) = hedge_at {
                        let at = at.saturating_duration_since(self.epoch).as_micros() as Micros;
                        self.schedule(at, SimEvent::Hedge(request));
                    }
                }
                Some(Err((request, code))) => self.refuse(request, code),
            }
        }
    }

    fn drain_shared_queue(&mut self) {
        let has_free_slot = |engine: &SimEngine| engine.running.len() < engine.slots;
        while !self.routers[0].shared_queue.is_empty() {
            let Some(engine) = self.engines.iter().position(has_free_slot) else {
                return;
            };
            if let Some(request) = self.routers[0].shared_queue.pop_front()
                && !self.states[request].has_ended
            {
                self.dispatch(request, SimDispatch::baseline(engine), false);
            }
        }
    }

    fn dispatch(&mut self, request: usize, dispatch: SimDispatch, is_probe: bool) {
        let job = self.jobs.len();
        let engine = dispatch.engine;
        let load = &self.requests[request];
        // Only the policy of the router sends priorities to the engines.
        let priority = if self.scenario.policy == RoutingPolicy::Jasminewall {
            load.class as u8
        } else {
            0
        };
        let second = (self.now / SECOND) as usize;
        if let Some(count) = self.result.dispatched[engine].get_mut(second) {
            *count += u32::from(!is_probe);
        }
        self.routers[load.router].count_dispatch(engine);
        self.jobs.push(SimJob {
            request,
            engine,
            output: 0,
            pauses: 0,
            is_open: true,
            is_probe,
            last_token: self.now,
            dispatch,
        });
        self.states[request].jobs.push(job);
        if is_probe || self.states[request].jobs.len() > 1 {
            self.result.extra_attempts += 1;
        } else {
            self.result.first_attempts += 1;
        }
        let prompt = self.requests[request].prompt;
        self.engines[engine].waiting.insert((priority, job), prompt);
        self.start_waiting(engine);
    }

    fn start_waiting(&mut self, engine: usize) {
        while let Some(step) = self.engines[engine].step() {
            match step {
                EngineStep::Start(job, tokens) => {
                    let at = self.now + self.engines[engine].prefill_time(tokens, self.now);
                    self.schedule(at, SimEvent::Token(job, self.jobs[job].pauses));
                }
                EngineStep::Pause(priority, job) => {
                    // A paused job loses its cache, so all its tokens are prefilled again.
                    let tokens =
                        self.requests[self.jobs[job].request].prompt + self.jobs[job].output;
                    self.jobs[job].pauses += 1;
                    self.engines[engine].waiting.insert((priority, job), tokens);
                }
            }
        }
    }

    fn handle_token(&mut self, job: JobId, pauses: u32) {
        if !self.jobs[job].is_open || self.jobs[job].pauses != pauses {
            return;
        }
        let now = self.instant();
        let SimJob {
            request,
            engine,
            is_probe,
            last_token,
            ..
        } = self.jobs[job];
        self.jobs[job].output += 1;
        self.jobs[job].last_token = self.now;
        let output = self.jobs[job].output;
        let is_measured = self.requests[request].arrival >= WARM_UP;
        let router = self.requests[request].router;
        let class = self.requests[request].class;
        self.routers[router].progress(&self.jobs[job].dispatch, class, now);
        if !is_probe {
            if self.states[request].streaming_job.is_none() {
                self.select_stream(request, job);
            }
            if output == 1 && is_measured {
                let time = self.now - self.requests[request].arrival;
                let class = self.requests[request].class;
                self.result.record_first_token(class, time);
            } else if is_measured {
                self.result.record_token_gap(self.now - last_token);
            }
            let measured = WARM_UP..self.scenario.seconds as Micros * SECOND;
            self.states[request].measured_tokens += u64::from(measured.contains(&self.now));
            self.states[request].has_started = true;
        }
        let is_complete = output >= self.requests[request].output;
        if is_complete || (is_probe && output >= PROBE_TOKENS) {
            self.end_job(job, is_complete.then_some(output));
            if !is_probe {
                self.complete(request);
            }
            return;
        }
        let at = self.now + self.engines[engine].token_time(self.now);
        self.schedule(at, SimEvent::Token(job, pauses));
    }

    /// Selects the job whose tokens are sent to the caller, and cancels the other open jobs of the
    /// request, except probes.
    fn select_stream(&mut self, request: usize, job: JobId) {
        self.states[request].streaming_job = Some(job);
        for other in self.states[request].jobs.clone() {
            if other != job && self.jobs[other].is_open && !self.jobs[other].is_probe {
                self.end_job(other, None);
            }
        }
    }

    fn end_job(&mut self, job: JobId, output: Option<u64>) {
        if !self.jobs[job].is_open {
            return;
        }
        self.jobs[job].is_open = false;
        let engine = self.jobs[job].engine;
        let router = self.requests[self.jobs[job].request].router;
        let now = self.instant();
        self.routers[router].finish_job(&self.jobs[job].dispatch, output, now);
        self.engines[engine].remove(job);
        self.start_waiting(engine);
        if self.scenario.policy == RoutingPolicy::SingleQueue {
            self.drain_shared_queue();
        }
    }

    fn complete(&mut self, request: usize) {
        self.finish_request(request);
        let load = &self.requests[request];
        let tokens = self.states[request].measured_tokens;
        self.result.goodput += tokens;
        self.result.customer_goodput[load.customer] += tokens;
        if load.arrival >= WARM_UP {
            self.result
                .record_completion(load.class, self.now - load.arrival);
        }
    }

    /// Ends a request and lets its router release the next ones.
    fn finish_request(&mut self, request: usize) {
        if std::mem::replace(&mut self.states[request].has_ended, true) {
            return;
        }
        self.open_requests -= 1;
        let load = &self.requests[request];
        let router = load.router;
        let streaming_job = self.states[request].streaming_job;
        let output = streaming_job.map_or(0, |job| self.jobs[job].output);
        if self.scenario.policy == RoutingPolicy::Jasminewall
            && !self.states[request].jobs.is_empty()
        {
            self.routers[router].finish_request(request, load, output);
            self.release_requests(router);
        }
    }

    fn refuse(&mut self, request: usize, _code: RefusalCode) {
        if std::mem::replace(&mut self.states[request].has_ended, true) {
            return;
        }
        self.open_requests -= 1;
        let load = &self.requests[request];
        if load.arrival < WARM_UP {
            return;
        }
        self.result.refused[load.class as usize] += 1;
        let limit = load.deadline - load.arrival;
        self.result.refused_late += u64::from(self.now - load.arrival > limit / 10);
        self.result.refused_started += u64::from(self.states[request].has_started);
    }

    fn handle_deadline(&mut self, request: usize) {
        if self.states[request].has_ended {
            return;
        }
        for job in self.states[request].jobs.clone() {
            self.end_job(job, None);
        }
        let load = &self.requests[request];
        if load.arrival >= WARM_UP {
            self.result.late[load.class as usize] += 1;
        }
        self.finish_request(request);
    }

    fn handle_hedge(&mut self, request: usize) {
        let state = &self.states[request];
        if state.has_ended || state.streaming_job.is_some() {
            return;
        }
        let now = self.instant();
        let router = self.requests[request].router;
        let first_engine = state.jobs.first().map(|job| self.jobs[*job].engine);
        let found = self.routers[router].hedge(&self.requests[request], first_engine, now);
        if let Some(dispatch) = found {
            self.dispatch(request, dispatch, false);
        }
    }

    fn send_probe(&mut self, router: usize, request: usize) {
        let now = self.instant();
        let found = self.routers[router].probe(&self.requests[request], now);
        if let Some(dispatch) = found {
            self.dispatch(request, dispatch, true);
        }
    }
}
