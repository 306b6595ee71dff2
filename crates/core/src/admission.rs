//! Admission control: work classes with reserved capacity, weighted fair queueing between customers,
//! bounded queues and early refusal.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{CustomerId, RefusalCode, RouteId, Tokens, choice::FirstToken};

/// Class of work, by how long the caller can wait and how long the work takes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Interactive work: a person is waiting for the response.
    Short,
    /// Ordinary work.
    #[default]
    Normal,
    /// Batch work that can wait.
    Long,
}

impl WorkClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Short, Self::Normal, Self::Long];

    /// Output in tokens expected for a customer and route without observations. Low, because an
    /// overestimate refuses requests that could have finished in time.
    fn default_output(self) -> Tokens {
        match self {
            Self::Short => 16,
            Self::Normal => 128,
            Self::Long => 1_024,
        }
    }

    fn index(self) -> usize {
        self as usize
    }

    /// Maximum share of the capacity that is reserved for the class, in percent.
    fn reserve_percent(self) -> f64 {
        match self {
            Self::Short => 30.0,
            Self::Normal => 20.0,
            Self::Long => 10.0,
        }
    }
}

/// Maximum number of waiting requests of one class.
const QUEUE_LIMIT: usize = 256;
/// Time constant of the recent peak that sizes a reservation. Load varies within seconds, and a
/// reservation has to outlast the gap between two bursts.
const PEAK_DECAY: Duration = Duration::from_secs(8);
/// Time constant of the measured token rates; covers a few bursts of load.
const RATE_DECAY: Duration = Duration::from_secs(10);
/// Minimum share of the capacity that a class is assumed to get.
const RATE_MIN: f64 = 0.05;
/// Safety factor on the expected wait when it is compared with a deadline. Output lengths are
/// heavy-tailed, and work that is cut off at its deadline is wasted.
const WAIT_MARGIN: u32 = 2;
/// Share of the time limit after which a waiting request is refused.
const REFUSE_SHARE: f64 = 0.08;
/// Increase of the reservations per delayed short request, as a share of their full size.
const RESERVE_STEP: f64 = 0.25;
/// Factor on the reservations per short request that was not delayed. Endpoints that start urgent
/// work immediately regardless of other work need no idle slots.
const RESERVE_DECAY: f64 = 0.97;
/// Minimum share of the full reservations. Without it, urgent work that arrives at full endpoints
/// preempts long work repeatedly, which costs more than the idle slots.
const RESERVE_MIN: f64 = 0.4;
/// Units of service per token and unit of weight: service is counted in thousandths of a token.
const SERVICE_SCALE: u64 = 1_000;
/// Maximum number of pairs of customer and route with a stored mean length.
const LENGTH_LIMIT: usize = 16_384;
/// Weight of a new observation in the mean length; small, because lengths are heavy-tailed.
const LENGTH_WEIGHT: f64 = 0.05;

/// Mean observed output length per customer and route.
#[derive(Debug, Default)]
pub struct LengthTable {
    means: HashMap<(CustomerId, RouteId), f64>,
}

impl LengthTable {
    /// Expected output in tokens, between 1 and `limit`.
    pub fn expected(
        &self,
        customer: &CustomerId,
        route: &RouteId,
        class: WorkClass,
        limit: Tokens,
    ) -> Tokens {
        let mean = self.means.get(&(customer.clone(), route.clone()));
        mean.map_or(class.default_output(), |mean| *mean as Tokens)
            .clamp(1, limit.max(1))
    }

    /// Mean output of a customer's finished requests on a route, between 1 and `limit`; `None` before the
    /// first one.
    pub fn observed_mean(
        &self,
        customer: &CustomerId,
        route: &RouteId,
        limit: Tokens,
    ) -> Option<Tokens> {
        let mean = self.means.get(&(customer.clone(), route.clone()))?;
        Some((*mean as Tokens).clamp(1, limit.max(1)))
    }

    /// Records the output of a finished request.
    pub fn record(&mut self, customer: &CustomerId, route: &RouteId, output: Tokens) {
        let key = (customer.clone(), route.clone());
        if self.means.len() >= LENGTH_LIMIT && !self.means.contains_key(&key) {
            self.means.clear();
        }
        let mean = self.means.entry(key).or_insert(output as f64);
        *mean += (output as f64 - *mean) * LENGTH_WEIGHT;
    }
}

/// Request that waits for admission.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Fair-share weight of the customer.
    pub weight: u32,
    /// Class of work.
    pub class: WorkClass,
    /// Expected work in tokens.
    pub work: Tokens,
    /// Minimum work in tokens for checks against the deadline. Excludes lengths that are only assumed
    /// from the class, which must not justify a refusal.
    pub min_work: Tokens,
    /// Time by which the whole response must have arrived.
    pub deadline: Instant,
    /// Time at which the request is refused if it is still waiting; see [`refuse_at`].
    pub refuse_at: Instant,
    /// Payload of the caller of the queue.
    pub item: T,
}

/// Request that the queue refuses; it did not run.
#[derive(Debug)]
pub struct RefusedRequest<T> {
    /// Payload of the request.
    pub item: T,
    /// Why it is refused.
    pub code: RefusalCode,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Request released by the queue.
#[derive(Debug)]
pub enum QueueRelease<T, P> {
    /// Run this request at the endpoint that was picked for it.
    Admit(QueuedRequest<T>, P),
    /// Refuse this request; its deadline can no longer be met.
    Refuse(RefusedRequest<T>),
}

/// Estimate of the capacity that one router may use.
#[derive(Clone, Copy, Debug)]
pub struct CapacityView {
    /// Requests that this router may have open at once.
    pub slots: f64,
    /// Slots of this router if all routers are equally loaded.
    pub share: f64,
    /// Generation time per token of one request.
    pub token_time: Duration,
}

#[derive(Debug, Default)]
struct ClassState {
    running: u32,
    peak: f64,
    waiting: usize,
    rate: f64,
}

#[derive(Debug)]
struct CustomerAccount<T> {
    weight: u32,
    service: u64,
    running: u32,
    queues: [VecDeque<QueuedRequest<T>>; 3],
    queued: [Tokens; 3],
}

/// Admission queues of one router for one set of endpoints.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    classes: [ClassState; 3],
    accounts: BTreeMap<CustomerId, CustomerAccount<T>>,
    virtual_time: u64,
    reserve_factor: f64,
    rates_updated: Option<Instant>,
    peaks_updated: Option<Instant>,
}

impl<T> Default for AdmissionQueue<T> {
    fn default() -> Self {
        Self {
            classes: Default::default(),
            accounts: BTreeMap::new(),
            virtual_time: 0,
            reserve_factor: 1.0,
            rates_updated: None,
            peaks_updated: None,
        }
    }
}

impl<T> CustomerAccount<T> {
    fn new(weight: u32) -> Self {
        Self {
            weight: weight.max(1),
            service: 0,
            running: 0,
            queues: Default::default(),
            queued: [0; 3],
        }
    }

    fn is_idle(&self) -> bool {
        self.running == 0 && self.queues.iter().all(VecDeque::is_empty)
    }

    fn charge(&mut self, work: Tokens) -> u64 {
        let cost = work * SERVICE_SCALE / u64::from(self.weight);
        self.service += cost;
        cost
    }

    fn load(&self, class: WorkClass) -> u64 {
        self.queued[class.index()] * SERVICE_SCALE / u64::from(self.weight)
    }
}

impl<T> AdmissionQueue<T> {
    /// Queues a request, or refuses it if it cannot finish in time or the queue is full.
    ///
    /// A full queue refuses the newest request of the customer with the most waiting work in
    /// proportion to its weight.
    pub fn offer(
        &mut self,
        request: QueuedRequest<T>,
        view: CapacityView,
        now: Instant,
    ) -> Vec<RefusedRequest<T>> {
        let class = request.class;
        let wait = self.expected_wait(&request.customer, request.weight, class, view);
        if now + wait * WAIT_MARGIN + run_time(request.min_work, view) > request.deadline {
            return vec![RefusedRequest {
                item: request.item,
                code: RefusalCode::DeadlineTooShort,
                retry_after: wait,
            }];
        }
        self.push(request);
        let mut refused = Vec::new();
        if self.classes[class.index()].waiting > QUEUE_LIMIT
            && let Some(item) = self.evict(class)
        {
            refused.push(RefusedRequest {
                item,
                code: RefusalCode::Overloaded,
                retry_after: wait,
            });
        }
        refused
    }

    /// Releases the next request: from the most urgent class and, within a class, from the customer with
    /// the least service for its weight. `pick` chooses an endpoint; while it returns `None`, the
    /// request stays first in its queue.
    pub fn next<P>(
        &mut self,
        view: CapacityView,
        now: Instant,
        mut pick: impl FnMut(&QueuedRequest<T>) -> Option<P>,
    ) -> Option<QueueRelease<T, P>> {
        self.decay_peaks(now);
        for class in WorkClass::ALL {
            let Some(customer) = self.next_customer(class) else {
                continue;
            };
            let overdue = self.overdue_customer(class, now);
            let account = self
                .accounts
                .get_mut(overdue.as_ref().unwrap_or(&customer))?;
            let head = account.queues[class.index()].front()?;
            if overdue.is_some() || now + run_time(head.min_work, view) > head.deadline {
                let request = self.pop(overdue.as_ref().unwrap_or(&customer), class)?;
                return Some(QueueRelease::Refuse(RefusedRequest {
                    item: request.item,
                    code: RefusalCode::DeadlineTooShort,
                    retry_after: Duration::ZERO,
                }));
            }
            if !self.has_room(class, view) {
                continue;
            }
            let account = self.accounts.get(&customer)?;
            let head = account.queues[class.index()].front()?;
            let Some(endpoint) = pick(head) else { continue };
            let request = self.pop(&customer, class)?;
            self.start(&request);
            return Some(QueueRelease::Admit(request, endpoint));
        }
        None
    }

    /// Counts a request that starts without queueing, such as an isolated request.
    pub fn start_unqueued(
        &mut self,
        customer: &CustomerId,
        weight: u32,
        class: WorkClass,
        work: Tokens,
    ) {
        let state = &mut self.classes[class.index()];
        state.running += 1;
        let virtual_time = self.virtual_time;
        let account = self
            .accounts
            .entry(customer.clone())
            .or_insert_with(|| CustomerAccount::new(weight));
        if account.is_idle() {
            account.service = account.service.max(virtual_time);
        }
        account.running += 1;
        account.charge(work);
    }

    /// Counts the end of an admitted request. Replaces the expected work by the `actual` work in the
    /// customer's service, so that a wrong estimate gives no advantage.
    pub fn finish(
        &mut self,
        customer: &CustomerId,
        class: WorkClass,
        expected: Tokens,
        actual: Tokens,
    ) {
        let state = &mut self.classes[class.index()];
        state.running = state.running.saturating_sub(1);
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        account.running = account.running.saturating_sub(1);
        if actual > expected {
            account.charge(actual - expected);
        } else {
            let refund = (expected - actual) * SERVICE_SCALE / u64::from(account.weight);
            account.service = account.service.saturating_sub(refund);
        }
    }

    /// Adds generated tokens to the measured rate of a class.
    pub fn progress(&mut self, class: WorkClass, tokens: Tokens, now: Instant) {
        let elapsed = self
            .rates_updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-elapsed.as_secs_f64() / RATE_DECAY.as_secs_f64()).exp();
        for state in &mut self.classes {
            state.rate *= factor;
        }
        self.classes[class.index()].rate += tokens as f64 / RATE_DECAY.as_secs_f64();
        self.rates_updated = Some(now);
    }

    /// Adapts the reservations to a first token: delayed short work raises them, other short work
    /// lowers them.
    pub fn observe_first_token(&mut self, first: &FirstToken) {
        if first.class != WorkClass::Short {
            return;
        }
        self.reserve_factor = if first.delayed {
            (self.reserve_factor + RESERVE_STEP).min(1.0)
        } else {
            (self.reserve_factor * RESERVE_DECAY).max(RESERVE_MIN)
        };
    }

    /// Whether no request is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.accounts.values().all(CustomerAccount::is_idle)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.classes.iter().map(|class| class.waiting).sum()
    }

    /// Number of running requests of a class.
    pub fn running(&self, class: WorkClass) -> u32 {
        self.classes[class.index()].running
    }

    /// Removes a waiting request whose caller disconnected; `None` if it is not waiting.
    pub fn remove(
        &mut self,
        customer: &CustomerId,
        class: WorkClass,
        matches: impl Fn(&T) -> bool,
    ) -> Option<QueuedRequest<T>> {
        let account = self.accounts.get_mut(customer)?;
        let queue = &mut account.queues[class.index()];
        let index = queue.iter().position(|request| matches(&request.item))?;
        let request = queue.remove(index)?;
        account.queued[class.index()] -= request.work;
        self.classes[class.index()].waiting -= 1;
        Some(request)
    }

    fn expected_wait(
        &self,
        customer: &CustomerId,
        weight: u32,
        class: WorkClass,
        view: CapacityView,
    ) -> Duration {
        let index = class.index();
        let own = self.accounts.get(customer);
        let own = own.map_or(0, |account| account.queued[index]);
        if own == 0 {
            return Duration::ZERO;
        }
        let queued = self.accounts.values();
        let active = queued.filter(|account| account.queued[index] > 0);
        let (weights, total) = active.fold((0.0, 0), |(weights, total), account| {
            (
                weights + f64::from(account.weight),
                total + account.queued[index],
            )
        });
        let share = f64::from(weight.max(1)) / weights;
        let work = (own as f64 / share).min(total as f64);
        let rate = self.available_rate(class, view).max(1.0);
        Duration::from_secs_f64((work / rate).min(3_600.0))
    }

    /// Tokens per second that a class is expected to get: its recent rate, or what more urgent classes
    /// leave of the router's share.
    fn available_rate(&self, class: WorkClass, view: CapacityView) -> f64 {
        let capacity = view.share / view.token_time.as_secs_f64().max(1e-6);
        let urgent: f64 = self.classes[..class.index()]
            .iter()
            .map(|state| state.rate)
            .sum();
        self.classes[class.index()]
            .rate
            .max(capacity - urgent)
            .max(capacity * RATE_MIN)
    }

    fn push(&mut self, request: QueuedRequest<T>) {
        let virtual_time = self.virtual_time;
        let account = self
            .accounts
            .entry(request.customer.clone())
            .or_insert_with(|| CustomerAccount::new(request.weight));
        account.weight = request.weight.max(1);
        if account.is_idle() {
            // An idle customer does not accumulate credit.
            account.service = account.service.max(virtual_time);
        }
        let index = request.class.index();
        account.queued[index] += request.work;
        account.queues[index].push_back(request);
        self.classes[index].waiting += 1;
    }

    fn pop(&mut self, customer: &CustomerId, class: WorkClass) -> Option<QueuedRequest<T>> {
        let account = self.accounts.get_mut(customer)?;
        let request = account.queues[class.index()].pop_front()?;
        account.queued[class.index()] -= request.work;
        self.classes[class.index()].waiting -= 1;
        Some(request)
    }

    fn start(&mut self, request: &QueuedRequest<T>) {
        let state = &mut self.classes[request.class.index()];
        state.running += 1;
        state.peak = state.peak.max(f64::from(state.running));
        if let Some(account) = self.accounts.get_mut(&request.customer) {
            self.virtual_time = self.virtual_time.max(account.service);
            account.running += 1;
            account.charge(request.work);
        }
    }

    fn next_customer(&self, class: WorkClass) -> Option<CustomerId> {
        if self.classes[class.index()].waiting == 0 {
            return None;
        }
        let waiting = self
            .accounts
            .iter()
            .filter(|(_, account)| !account.queues[class.index()].is_empty());
        waiting
            .min_by_key(|(_, account)| account.service)
            .map(|(customer, _)| customer.clone())
    }

    /// Customer whose oldest request of a class has reached its `refuse_at` time.
    fn overdue_customer(&self, class: WorkClass, now: Instant) -> Option<CustomerId> {
        let mut accounts = self.accounts.iter();
        let overdue = accounts.find(|(_, account)| {
            let head = account.queues[class.index()].front();
            head.is_some_and(|head| head.refuse_at <= now)
        });
        overdue.map(|(customer, _)| customer.clone())
    }

    fn evict(&mut self, class: WorkClass) -> Option<T> {
        let most_loaded = self
            .accounts
            .iter()
            .max_by_key(|(_, account)| account.load(class));
        let customer = most_loaded?.0.clone();
        let account = self.accounts.get_mut(&customer)?;
        let request = account.queues[class.index()].pop_back()?;
        account.queued[class.index()] -= request.work;
        self.classes[class.index()].waiting -= 1;
        Some(request.item)
    }

    /// Whether a class may start a request without using slots reserved for other classes.
    fn has_room(&self, class: WorkClass, view: CapacityView) -> bool {
        let mut free = view.slots;
        for other in WorkClass::ALL {
            let running = f64::from(self.classes[other.index()].running);
            free -= if other == class {
                running
            } else {
                running.max(self.reserve(other, view))
            };
        }
        free >= 1.0 || f64::from(self.running(class)) + 1.0 <= self.reserve(class, view)
    }

    /// Slots reserved for a class: its recent peak, capped at its share of the capacity and scaled by
    /// the current need for reservations.
    fn reserve(&self, class: WorkClass, view: CapacityView) -> f64 {
        let share = view.slots * class.reserve_percent() / 100.0;
        self.classes[class.index()].peak.min(share) * self.reserve_factor
    }

    fn decay_peaks(&mut self, now: Instant) {
        let elapsed = self
            .peaks_updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-elapsed.as_secs_f64() / PEAK_DECAY.as_secs_f64()).exp();
        for state in &mut self.classes {
            state.peak = (state.peak * factor).max(f64::from(state.running));
        }
        self.peaks_updated = Some(now);
    }
}

/// Time at which a waiting request is refused. Refusals must come within a tenth of the time limit,
/// and the queue is polled slightly after this time.
pub fn refuse_at(deadline: Instant, now: Instant) -> Instant {
    now + deadline
        .saturating_duration_since(now)
        .mul_f64(REFUSE_SHARE)
}

fn run_time(work: Tokens, view: CapacityView) -> Duration {
    Duration::from_secs_f64(work as f64 * view.token_time.as_secs_f64())
}
