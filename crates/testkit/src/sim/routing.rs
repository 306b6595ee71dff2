//! Routers, engines and load in virtual time, for the request bounds of the design page.
//!
//! Every router sees only its own work. Engines run a batch of slots, keep a queue in order of
//! priority and report their load late. All draws come from the seed of the scenario, so that a
//! run repeats exactly.

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
/// Index of a job at an engine.
type JobId = usize;

/// Time before measures count, for estimates to settle.
const WARM_UP: Micros = 12 * SECOND;
/// Time between two load reports of an engine.
const REPORT_INTERVAL: Micros = SECOND;
/// Age of a load report when a router receives it.
const REPORT_LAG: Micros = 5 * SECOND;
/// Time between two looks at a router's queue, for requests whose deadline passes.
const TICK: Micros = 50_000;
/// Tokens after which a probe is cancelled.
const PROBE_TOKENS: u64 = 4;

/// How requests reach engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The policy of the router.
    Jasminewall,
    /// Engines in turn.
    RoundRobin,
    /// Engine with the fewest own open requests.
    LeastOutstanding,
    /// The less loaded of two random engines.
    PowerOfTwo,
    /// One queue in order of arrival for the whole fleet, which knows every free slot at once.
    SingleQueue,
}

impl RoutingPolicy {
    /// All policies, the router's own first.
    pub const ALL: [Self; 5] = [
        Self::Jasminewall,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::PowerOfTwo,
        Self::SingleQueue,
    ];
}

/// One run of the simulation.
#[derive(Clone, Debug)]
pub struct RoutingScenario {
    /// Seed of all draws.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Slots of an engine.
    pub slots: usize,
    /// Whether engines pause less urgent work, and later read it again, when all slots are taken.
    pub preempts: bool,
    /// Mean offered work as a share of the capacity.
    pub load: f64,
    /// Virtual seconds during which requests arrive.
    pub seconds: usize,
    /// Work by class.
    pub classes: Vec<ClassLoad>,
    /// Share of the requests per customer.
    pub customers: Vec<f64>,
    /// Slowed engines.
    pub slowdowns: Vec<Slowdown>,
    /// How requests reach engines.
    pub policy: RoutingPolicy,
}

impl RoutingScenario {
    /// Load and size of the consortium: 8 routers, 10 engines, many dossiers.
    pub fn consortium(policy: RoutingPolicy) -> Self {
        Self::sized(policy, 8, [0.15, 0.45, 0.40])
    }

    /// Load and size of the cooperative: 9 routers, 10 engines, many checks at counters.
    pub fn cooperative(policy: RoutingPolicy) -> Self {
        Self::sized(policy, 9, [0.30, 0.30, 0.40])
    }

    fn sized(policy: RoutingPolicy, routers: usize, shares: [f64; 3]) -> Self {
        let mix = |class, share, range: (f64, f64), tail, prompt, limit| ClassLoad {
            class,
            share,
            least: range.0,
            most: range.1,
            tail,
            prompt,
            limit: limit * SECOND,
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
                mix(WorkClass::Short, shares[0], (10.0, 60.0), 1.3, 300, 5),
                mix(WorkClass::Normal, shares[1], (50.0, 600.0), 1.5, 1_000, 60),
                mix(
                    WorkClass::Long,
                    shares[2],
                    (500.0, 6_000.0),
                    1.2,
                    2_000,
                    600,
                ),
            ],
            // A few customers are large.
            customers: vec![6.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0],
            slowdowns: Vec::new(),
            policy,
        }
    }

    /// The same run without one class of work.
    #[must_use]
    pub fn without_class(mut self, class: WorkClass) -> Self {
        self.classes.retain(|mix| mix.class != class);
        self
    }

    /// Runs the scenario to the end of the last request.
    pub fn run(&self) -> RoutingResult {
        Simulation::new(self).run()
    }

    /// Output tokens that all engines generate in one second with full batches.
    pub fn tokens_per_second(&self) -> f64 {
        let batch = 1.0 + 0.01 * (self.slots as f64 - 1.0);
        let slots = (self.engines * self.slots) as f64;
        slots * SECOND as f64 / (TOKEN_TIME as f64 * batch)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive(usize),
    Token(JobId, u32),
    Hedge(usize),
    Deadline(usize),
    Report(usize),
    Deliver(usize, u32, u32),
    Tick,
}

#[derive(Debug)]
struct SimJob {
    request: usize,
    engine: usize,
    done: u64,
    pauses: u32,
    open: bool,
    probe: bool,
    last: Micros,
    dispatch: SimDispatch,
}

#[derive(Debug, Default)]
struct RequestState {
    jobs: Vec<JobId>,
    ended: bool,
    streaming: Option<JobId>,
    started: bool,
    /// Tokens generated in the measured time.
    generated: u64,
}

struct Simulation<'a> {
    scenario: &'a RoutingScenario,
    epoch: Instant,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    sequence: u64,
    requests: Vec<LoadRequest>,
    states: Vec<RequestState>,
    jobs: Vec<SimJob>,
    engines: Vec<SimEngine>,
    routers: Vec<SimRouter>,
    open: usize,
    measure: RoutingResult,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a RoutingScenario) -> Self {
        let until = scenario.seconds as Micros * SECOND;
        let rate = scenario.tokens_per_second() * scenario.load;
        let mut requests: Vec<LoadRequest> = Vec::new();
        for mix in &scenario.classes {
            requests.extend(load::draw(
                mix,
                scenario.seed,
                rate,
                until,
                scenario.routers,
                &scenario.customers,
            ));
        }
        requests.sort_by_key(|request| request.at);
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
            open: requests.len(),
            jobs: Vec::new(),
            engines: engines.collect(),
            routers: routers.collect(),
            measure: RoutingResult::new(
                scenario.engines,
                scenario.customers.len(),
                scenario.seconds,
            ),
            requests,
        };
        simulation.measure.capacity =
            scenario.tokens_per_second() * (until - WARM_UP) as f64 / SECOND as f64;
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].at, SimEvent::Arrive(index));
            self.schedule(self.requests[index].deadline, SimEvent::Deadline(index));
            let request = &self.requests[index];
            self.measure.offered[request.customer] += self.offered_tokens(request);
        }
        if self.scenario.policy == RoutingPolicy::Jasminewall {
            self.schedule(TICK, SimEvent::Tick);
            for engine in 0..self.engines.len() {
                self.schedule(REPORT_INTERVAL, SimEvent::Report(engine));
            }
        }
    }

    /// Tokens of a request that an idle engine would generate in the measured time.
    fn offered_tokens(&self, request: &LoadRequest) -> u64 {
        let until = self.scenario.seconds as Micros * SECOND;
        let first = request.at + TOKEN_TIME * request.prompt / 200;
        let last = (first + request.output * TOKEN_TIME).min(until);
        last.saturating_sub(first.max(WARM_UP)) / TOKEN_TIME
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn instant(&self) -> Instant {
        self.epoch + Duration::from_micros(self.now)
    }

    fn run(mut self) -> RoutingResult {
        while self.open > 0 {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.measure
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.arrive(request),
            SimEvent::Token(job, pauses) => self.token(job, pauses),
            SimEvent::Hedge(request) => self.hedge(request),
            SimEvent::Deadline(request) => self.deadline(request),
            SimEvent::Report(engine) => {
                let known = &self.engines[engine];
                let (running, queued) = (known.running.len() as u32, known.waiting.len() as u32);
                self.schedule(
                    self.now + REPORT_LAG,
                    SimEvent::Deliver(engine, running, queued),
                );
                self.schedule(self.now + REPORT_INTERVAL, SimEvent::Report(engine));
            }
            SimEvent::Deliver(engine, running, queued) => {
                let at = self.epoch + Duration::from_micros(self.now - REPORT_LAG);
                for router in &mut self.routers {
                    router.update_report(engine, at, running, queued);
                }
            }
            SimEvent::Tick => {
                for router in 0..self.routers.len() {
                    self.pump(router);
                }
                self.schedule(self.now + TICK, SimEvent::Tick);
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let load = &self.requests[request];
        let (router, epoch, now) = (load.router, self.epoch, self.instant());
        match self.scenario.policy {
            RoutingPolicy::Jasminewall => {
                let refused = self.routers[router].offer(request, load, epoch, now);
                for (refused, code) in refused {
                    self.refuse(refused, code);
                }
                self.pump(router);
            }
            RoutingPolicy::SingleQueue => {
                self.routers[0].line.push_back(request);
                self.drain_line();
            }
            policy => {
                let engine = self.routers[router].pick_baseline(policy);
                self.send(request, SimDispatch::plain(engine), false);
            }
        }
    }

    /// Releases requests of a router's queue while it finds places for them.
    fn pump(&mut self, router: usize) {
        loop {
            let now = self.instant();
            match self.routers[router].release(&self.requests, now) {
                None => return,
                Some(Ok((request, dispatch))) => {
                    self.measure.examined = self.measure.examined.max(dispatch.examined);
                    self.send(request, dispatch, false);
                    self.probe(router, request);
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

    fn drain_line(&mut self) {
        let free = |engine: &SimEngine| engine.running.len() < engine.slots;
        while !self.routers[0].line.is_empty() {
            let Some(engine) = self.engines.iter().position(free) else {
                return;
            };
            if let Some(request) = self.routers[0].line.pop_front()
                && !self.states[request].ended
            {
                self.send(request, SimDispatch::plain(engine), false);
            }
        }
    }

    fn send(&mut self, request: usize, dispatch: SimDispatch, probe: bool) {
        let job = self.jobs.len();
        let engine = dispatch.engine;
        let load = &self.requests[request];
        // Only the router's own policy passes priorities on.
        let priority = if self.scenario.policy == RoutingPolicy::Jasminewall {
            load.class as u8
        } else {
            0
        };
        let second = (self.now / SECOND) as usize;
        if let Some(count) = self.measure.dispatched[engine].get_mut(second) {
            *count += u32::from(!probe);
        }
        self.routers[load.router].begin(engine);
        self.jobs.push(SimJob {
            request,
            engine,
            done: 0,
            pauses: 0,
            open: true,
            probe,
            last: self.now,
            dispatch,
        });
        self.states[request].jobs.push(job);
        if probe || self.states[request].jobs.len() > 1 {
            self.measure.extra_attempts += 1;
        } else {
            self.measure.first_attempts += 1;
        }
        let prompt = self.requests[request].prompt;
        self.engines[engine].waiting.insert((priority, job), prompt);
        self.start_waiting(engine);
    }

    fn start_waiting(&mut self, engine: usize) {
        while let Some(step) = self.engines[engine].step() {
            match step {
                EngineStep::Start(job, tokens) => {
                    let at = self.now + self.engines[engine].first_time(tokens, self.now);
                    self.schedule(at, SimEvent::Token(job, self.jobs[job].pauses));
                }
                EngineStep::Pause(priority, job) => {
                    // A paused request loses its place in memory and is read again.
                    let read = self.requests[self.jobs[job].request].prompt + self.jobs[job].done;
                    self.jobs[job].pauses += 1;
                    self.engines[engine].waiting.insert((priority, job), read);
                }
            }
        }
    }

    fn token(&mut self, job: JobId, pauses: u32) {
        if !self.jobs[job].open || self.jobs[job].pauses != pauses {
            return;
        }
        let now = self.instant();
        let SimJob {
            request,
            engine,
            probe,
            last,
            ..
        } = self.jobs[job];
        self.jobs[job].done += 1;
        self.jobs[job].last = self.now;
        let done = self.jobs[job].done;
        let counted = self.requests[request].at >= WARM_UP;
        let router = self.requests[request].router;
        let class = self.requests[request].class;
        self.routers[router].progress(&self.jobs[job].dispatch, class, now);
        if !probe {
            if self.states[request].streaming.is_none() {
                self.stream(request, job);
            }
            if done == 1 && counted {
                let first = self.now - self.requests[request].at;
                let class = self.requests[request].class;
                self.measure.note_first(class, first);
            } else if counted {
                self.measure.note_gap(self.now - last);
            }
            let measured = WARM_UP..self.scenario.seconds as Micros * SECOND;
            self.states[request].generated += u64::from(measured.contains(&self.now));
            self.states[request].started = true;
        }
        let whole = done >= self.requests[request].output;
        if whole || (probe && done >= PROBE_TOKENS) {
            self.end_job(job, whole.then_some(done));
            if !probe {
                self.complete(request);
            }
            return;
        }
        let at = self.now + self.engines[engine].token_time(self.now);
        self.schedule(at, SimEvent::Token(job, pauses));
    }

    /// Makes a job the one that answers the caller, and cancels a hedge beside it.
    fn stream(&mut self, request: usize, job: JobId) {
        self.states[request].streaming = Some(job);
        for other in self.states[request].jobs.clone() {
            if other != job && self.jobs[other].open && !self.jobs[other].probe {
                self.end_job(other, None);
            }
        }
    }

    fn end_job(&mut self, job: JobId, output: Option<u64>) {
        if !self.jobs[job].open {
            return;
        }
        self.jobs[job].open = false;
        let engine = self.jobs[job].engine;
        let router = self.requests[self.jobs[job].request].router;
        let now = self.instant();
        self.routers[router].end(&self.jobs[job].dispatch, output, now);
        self.engines[engine].remove(job);
        self.start_waiting(engine);
        if self.scenario.policy == RoutingPolicy::SingleQueue {
            self.drain_line();
        }
    }

    fn complete(&mut self, request: usize) {
        self.close(request);
        let load = &self.requests[request];
        let tokens = self.states[request].generated;
        self.measure.goodput += tokens;
        self.measure.customer_goodput[load.customer] += tokens;
        if load.at >= WARM_UP {
            self.measure.note_end(load.class, self.now - load.at);
        }
    }

    /// Ends a request for its router and lets the next one in.
    fn close(&mut self, request: usize) {
        if std::mem::replace(&mut self.states[request].ended, true) {
            return;
        }
        self.open -= 1;
        let load = &self.requests[request];
        let router = load.router;
        let streaming = self.states[request].streaming;
        let done = streaming.map_or(0, |job| self.jobs[job].done);
        if self.scenario.policy == RoutingPolicy::Jasminewall
            && !self.states[request].jobs.is_empty()
        {
            self.routers[router].close(request, load, done);
            self.pump(router);
        }
    }

    fn refuse(&mut self, request: usize, _code: RefusalCode) {
        if std::mem::replace(&mut self.states[request].ended, true) {
            return;
        }
        self.open -= 1;
        let load = &self.requests[request];
        if load.at < WARM_UP {
            return;
        }
        self.measure.refused[load.class as usize] += 1;
        let limit = load.deadline - load.at;
        self.measure.refused_late += u64::from(self.now - load.at > limit / 10);
        self.measure.refused_started += u64::from(self.states[request].started);
    }

    fn deadline(&mut self, request: usize) {
        if self.states[request].ended {
            return;
        }
        for job in self.states[request].jobs.clone() {
            self.end_job(job, None);
        }
        let load = &self.requests[request];
        if load.at >= WARM_UP {
            self.measure.late[load.class as usize] += 1;
        }
        self.close(request);
    }

    fn hedge(&mut self, request: usize) {
        let state = &self.states[request];
        if state.ended || state.streaming.is_some() {
            return;
        }
        let now = self.instant();
        let router = self.requests[request].router;
        let first = state.jobs.first().map(|job| self.jobs[*job].engine);
        let found = self.routers[router].hedge(&self.requests[request], first, now);
        if let Some(dispatch) = found {
            self.send(request, dispatch, false);
        }
    }

    fn probe(&mut self, router: usize, request: usize) {
        let now = self.instant();
        let found = self.routers[router].probe(&self.requests[request], now);
        if let Some(dispatch) = found {
            self.send(request, dispatch, true);
        }
    }
}
