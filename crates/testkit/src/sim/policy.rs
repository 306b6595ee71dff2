//! Simulation of grant sizing policies, which compares them by false refusals and table writes.
//!
//! A refusal is false when the budget's tokens that are neither spent nor held for running requests
//! cover the refused request. All policies get the same requests for a seed.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{
        Tokens, shard_of,
        sizing::{GrantSizing, SpendForecast, grant_size},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Number of routers, three in each failure domain, as in design.md section 1.
const ROUTERS: usize = 9;
/// Number of routers in each failure domain.
const DOMAIN_SIZE: usize = 3;
/// Number of budgets; their loads are proportional to 1/rank.
const BUDGETS: usize = 10;
/// Number of budget shards in present deployments.
const SHARDS: u32 = 4;
/// Mean request rate of the whole fleet.
const REQUESTS_PER_SECOND: f64 = 6.0;
/// Time before the measured phase, in seconds.
const WARM_UP_SECONDS: u64 = 3_600;
/// Length of the measured phase, in seconds.
const MEASURED_SECONDS: u64 = 3_600;
/// Time that a spend forecast covers.
const FORECAST_HORIZON: Duration = Duration::from_secs(3_600);
/// Minimum time between early refills of one budget on one router, in seconds.
const REFILL_INTERVAL_SECONDS: u64 = 10;
/// Time between checks for excess tokens to return, in seconds.
const RETURN_INTERVAL_SECONDS: u64 = 60;
/// Minimum number of requests that a refill covers while free tokens are not scarce.
const MIN_REFILL_REQUESTS: Tokens = 16;
/// Grant size of the fixed-size policy in tokens: the smallest grant of the first router version.
const FIXED_GRANT: Tokens = 1_000;

/// Policy that decides how tokens are granted to routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantPolicy {
    /// Grants sized by forecast, with early refills, returns and transfers.
    Forecast,
    /// Same as `Forecast`, but without transfers between routers.
    NoTransfers,
    /// Grants of a fixed size, with neither returns nor transfers.
    FixedGrant,
    /// Each router gets an equal share of the budget at the start.
    EqualSplit,
}

impl GrantPolicy {
    /// All policies; the first one is that of the router.
    pub const ALL: [Self; 4] = [
        Self::Forecast,
        Self::NoTransfers,
        Self::FixedGrant,
        Self::EqualSplit,
    ];
}

/// Network conditions and sizes of the budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyScenario {
    /// No network faults; half of the budgets run out.
    Normal,
    /// For one hour, failure domains reach neither each other nor the platform; no budget runs out.
    Partition,
    /// All budgets run out while failure domains reach the platform but not each other.
    LastTokens,
}

impl PolicyScenario {
    /// All scenarios.
    pub const ALL: [Self; 3] = [Self::Normal, Self::Partition, Self::LastTokens];
}

/// Result of one policy in one scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyResult {
    /// Requests of the measured phase that the remaining tokens of the budget cover. For
    /// [`PolicyScenario::LastTokens`], requests of the whole run that arrive when at most 5% of the
    /// budget remains.
    pub payable: u64,
    /// Payable requests that were refused.
    pub refused: u64,
    /// Requests served in the whole run.
    pub served: u64,
    /// Table rows written in the whole run.
    pub writes: u64,
    /// Budgets that were overspent.
    pub overspent: u64,
}

impl PolicyResult {
    /// Returns the false refusals as a share of the payable requests.
    pub fn refused_rate(&self) -> f64 {
        self.refused as f64 / self.payable.max(1) as f64
    }

    /// Returns the table writes per 1,000 served requests.
    pub fn writes_per_1000(&self) -> f64 {
        self.writes as f64 * 1_000.0 / self.served.max(1) as f64
    }

    fn add(&mut self, other: Self) {
        self.payable += other.payable;
        self.refused += other.refused;
        self.served += other.served;
        self.writes += other.writes;
        self.overspent += other.overspent;
    }
}

impl fmt::Display for PolicyResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>9} {:>8} {:>8.3}% {:>9} {:>9.0}",
            self.payable,
            self.refused,
            self.refused_rate() * 100.0,
            self.served,
            self.writes_per_1000()
        )
    }
}

/// Runs one policy in one scenario with several seeds and sums the results.
pub fn measure(policy: GrantPolicy, scenario: PolicyScenario, seeds: &[u64]) -> PolicyResult {
    let mut total = PolicyResult::default();
    for seed in seeds {
        total.add(PolicyRun::new(policy, scenario, *seed).run());
    }
    total
}

/// Account of one budget on one router. Times are in seconds since the start of the run.
#[derive(Clone)]
struct Account {
    spendable: Tokens,
    forecast: SpendForecast,
    next_refill: u64,
    next_return: u64,
    is_scarce: bool,
    is_dirty: bool,
}

struct Budget {
    prepaid: Tokens,
    free: Tokens,
    charged: Tokens,
    held: Tokens,
    /// Share of all requests.
    weight: f64,
    /// Routers that hold tokens of this budget.
    holders: BTreeSet<usize>,
}

impl Budget {
    fn remaining(&self) -> Tokens {
        self.prepaid.saturating_sub(self.charged + self.held)
    }
}

/// Request that is running.
struct RunningRequest {
    router: usize,
    budget: usize,
    hold: Tokens,
    tokens: Tokens,
}

struct PolicyRun {
    policy: GrantPolicy,
    scenario: PolicyScenario,
    rng: ChaCha8Rng,
    start: Instant,
    second: u64,
    budgets: Vec<Budget>,
    accounts: Vec<Vec<Account>>,
    /// Requests that end in each of the next seconds, the current one first.
    running: VecDeque<Vec<RunningRequest>>,
    result: PolicyResult,
}

impl PolicyRun {
    fn new(policy: GrantPolicy, scenario: PolicyScenario, seed: u64) -> Self {
        let start = Instant::now();
        let total: f64 = (1..=BUDGETS).map(|rank| 1.0 / rank as f64).sum();
        let seconds = (WARM_UP_SECONDS + MEASURED_SECONDS) as f64;
        let budgets = (0..BUDGETS).map(|index| {
            let weight = 1.0 / (index + 1) as f64 / total;
            // Expected spend of the whole run: a request spends 600 tokens on average.
            let expected = seconds * REQUESTS_PER_SECOND * weight * 600.0;
            let factor = match scenario {
                PolicyScenario::Normal if index % 2 == 0 => 0.75,
                PolicyScenario::LastTokens => 0.75,
                // The budget lasts for five hours from the start of the partition.
                PolicyScenario::Partition => 3.0,
                PolicyScenario::Normal => 20.0,
            };
            let prepaid = (expected * factor) as Tokens;
            Budget {
                prepaid,
                free: prepaid,
                charged: 0,
                held: 0,
                weight,
                holders: BTreeSet::new(),
            }
        });
        let account = Account {
            spendable: 0,
            forecast: SpendForecast::new(start),
            next_refill: 0,
            next_return: RETURN_INTERVAL_SECONDS,
            is_scarce: false,
            is_dirty: false,
        };
        let mut run = Self {
            policy,
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start,
            second: 0,
            budgets: budgets.collect(),
            accounts: vec![vec![account; BUDGETS]; ROUTERS],
            running: VecDeque::new(),
            result: PolicyResult::default(),
        };
        if policy == GrantPolicy::EqualSplit {
            for index in 0..BUDGETS {
                let share = run.budgets[index].prepaid / ROUTERS as Tokens;
                for router in 0..ROUTERS {
                    run.grant(router, index, share);
                }
            }
        }
        run
    }

    fn run(mut self) -> PolicyResult {
        while self.second < WARM_UP_SECONDS + MEASURED_SECONDS {
            self.end_requests();
            self.send_requests();
            self.commit();
            self.second += 1;
        }
        let overspent = self
            .budgets
            .iter()
            .filter(|budget| budget.charged + budget.held > budget.prepaid);
        self.result.overspent = overspent.count() as u64;
        self.result
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.second)
    }

    fn is_measured(&self) -> bool {
        self.second >= WARM_UP_SECONDS
    }

    fn has_platform(&self) -> bool {
        self.scenario != PolicyScenario::Partition || !self.is_measured()
    }

    fn end_requests(&mut self) {
        let now = self.now();
        for request in self.running.pop_front().unwrap_or_default() {
            let budget = &mut self.budgets[request.budget];
            budget.held -= request.hold;
            budget.charged += request.tokens;
            let account = &mut self.accounts[request.router][request.budget];
            account.spendable += request.hold - request.tokens;
            account.forecast.add(now, request.tokens);
            account.is_dirty = true;
        }
    }

    /// Sends the requests of one second. The load of each budget alternates between low and high,
    /// 1:8, with a period of 20 s.
    fn send_requests(&mut self) {
        for index in 0..BUDGETS {
            let is_peak = (self.second / 10 + index as u64).is_multiple_of(2);
            let load = if is_peak { 16.0 / 9.0 } else { 2.0 / 9.0 };
            let rate = REQUESTS_PER_SECOND * self.budgets[index].weight * load;
            for _ in 0..self.sample_poisson(rate) {
                self.send_request(index);
            }
        }
    }

    /// Draws from a Poisson distribution by multiplying uniform numbers (Knuth).
    fn sample_poisson(&mut self, rate: f64) -> u32 {
        let limit = (-rate).exp();
        let mut product: f64 = self.rng.random();
        let mut count = 0;
        while product > limit {
            product *= self.rng.random::<f64>();
            count += 1;
        }
        count
    }

    fn send_request(&mut self, index: usize) {
        let router = self.rng.random_range(0..ROUTERS);
        // Pareto distribution with shape 1.5, cut off at 40 times the minimum; the mean charge is
        // about 600 tokens.
        let factor = self.rng.random_range(0.004_f64..1.0).powf(-1.0 / 1.5);
        let tokens = (220.0 * factor) as Tokens;
        let hold = tokens * self.rng.random_range(1..=4);
        let seconds = (tokens / 60).clamp(1, 300) as usize;
        let remaining = self.budgets[index].remaining();
        let is_counted = self.is_measured() || self.scenario == PolicyScenario::LastTokens;
        let is_last = remaining <= self.budgets[index].prepaid / 20;
        let is_counted = is_counted && (self.scenario != PolicyScenario::LastTokens || is_last);
        let is_payable = remaining >= hold && is_counted;
        self.result.payable += u64::from(is_payable);
        if !self.ensure_spendable(router, index, hold) {
            self.result.refused += u64::from(is_payable);
            return;
        }
        self.result.served += 1;
        self.accounts[router][index].spendable -= hold;
        self.budgets[index].held += hold;
        while self.running.len() <= seconds {
            self.running.push_back(Vec::new());
        }
        self.running[seconds].push(RunningRequest {
            router,
            budget: index,
            hold,
            tokens,
        });
    }

    /// Makes the amount spendable on a router, from these sources in order as the router does: its
    /// own grant, the excess of peers, the pool, the remaining tokens of peers. Returns whether it
    /// succeeded.
    fn ensure_spendable(&mut self, router: usize, index: usize, amount: Tokens) -> bool {
        if self.accounts[router][index].spendable >= amount {
            return true;
        }
        if self.policy == GrantPolicy::EqualSplit {
            return false;
        }
        let expected = self.expected_spend(router, index);
        self.transfer(router, index, amount, expected / 16, true);
        if self.accounts[router][index].spendable >= amount {
            return true;
        }
        if self.has_platform() {
            let missing = amount - self.accounts[router][index].spendable;
            if self.budgets[index].free < missing {
                self.transfer(router, index, amount - self.budgets[index].free, 0, false);
            }
            self.refill(router, index, amount);
        } else {
            self.transfer(router, index, amount, 0, false);
        }
        self.accounts[router][index].spendable >= amount
    }

    fn refill(&mut self, router: usize, index: usize, amount: Tokens) {
        let free = self.budgets[index].free;
        let spendable = self.accounts[router][index].spendable;
        if spendable >= amount || spendable + free < amount {
            return;
        }
        let tokens = if self.policy == GrantPolicy::FixedGrant {
            (amount - spendable).max(FIXED_GRANT).min(free)
        } else {
            let size =
                grant_size(self.expected_spend(router, index)).max(amount * MIN_REFILL_REQUESTS);
            self.sizing(router, index, size, amount).refill_amount()
        };
        self.grant(router, index, tokens);
        self.result.writes += 2;
    }

    fn expected_spend(&self, router: usize, index: usize) -> Tokens {
        self.accounts[router][index]
            .forecast
            .expected(self.now(), FORECAST_HORIZON)
    }

    fn sizing(&self, router: usize, index: usize, size: Tokens, request: Tokens) -> GrantSizing {
        let budget = &self.budgets[index];
        let other_holders = budget.holders.iter().filter(|other| **other != router);
        GrantSizing {
            spendable: self.accounts[router][index].spendable,
            request,
            forecast: size,
            free: budget.free,
            holders: other_holders.count() as u64 + 1,
        }
    }

    fn grant(&mut self, router: usize, index: usize, tokens: Tokens) {
        self.budgets[index].free -= tokens;
        self.budgets[index].holders.insert(router);
        self.accounts[router][index].spendable += tokens;
    }

    /// Transfers tokens from reachable peers until `amount` is spendable, peers in the same failure
    /// domain first; takes up to `ahead` tokens from a peer if fewer are missing. With
    /// `excess_only`, asks at most two peers and leaves each of them its expected spend.
    fn transfer(
        &mut self,
        router: usize,
        index: usize,
        amount: Tokens,
        ahead: Tokens,
        excess_only: bool,
    ) {
        if self.policy != GrantPolicy::Forecast {
            return;
        }
        let domain = router / DOMAIN_SIZE;
        let mut peers: Vec<usize> = (0..ROUTERS).filter(|peer| *peer != router).collect();
        let is_partitioned = match self.scenario {
            PolicyScenario::Normal => false,
            PolicyScenario::Partition => self.is_measured(),
            PolicyScenario::LastTokens => true,
        };
        if is_partitioned {
            peers.retain(|peer| peer / DOMAIN_SIZE == domain);
        }
        peers.sort_by_key(|peer| peer / DOMAIN_SIZE != domain);
        if excess_only {
            peers.truncate(2);
        }
        for peer in peers {
            let spendable = self.accounts[router][index].spendable;
            let missing = amount.saturating_sub(spendable);
            if missing == 0 {
                return;
            }
            let reserved = if excess_only {
                self.expected_spend(peer, index)
            } else {
                0
            };
            let available = self.accounts[peer][index]
                .spendable
                .saturating_sub(reserved);
            if excess_only && available < missing {
                continue;
            }
            let tokens = available.min(missing.max(ahead));
            self.accounts[peer][index].spendable -= tokens;
            self.accounts[router][index].spendable += tokens;
            if tokens > 0 {
                self.accounts[peer][index].is_dirty = true;
                self.accounts[router][index].is_dirty = true;
            }
        }
    }

    /// Commits the changes of each router: writes one grant row per dirty shard, and the pool row
    /// of each shard where tokens were granted or returned.
    fn commit(&mut self) {
        if !self.has_platform() {
            return;
        }
        for router in 0..ROUTERS {
            let mut grant_rows = BTreeSet::new();
            let mut pool_rows = BTreeSet::new();
            for index in 0..BUDGETS {
                let shard = shard_of(&format!("budget-{index}"), SHARDS);
                let has_moves = matches!(
                    self.policy,
                    GrantPolicy::Forecast | GrantPolicy::NoTransfers
                ) && self.adjust_grant(router, index);
                if has_moves {
                    pool_rows.insert(shard);
                }
                if has_moves || std::mem::take(&mut self.accounts[router][index].is_dirty) {
                    grant_rows.insert(shard);
                }
            }
            self.result.writes += (grant_rows.len() + pool_rows.len()) as u64;
        }
    }

    /// Refills a grant early or returns its excess; returns whether tokens moved.
    fn adjust_grant(&mut self, router: usize, index: usize) -> bool {
        let now = self.now();
        let size = grant_size(self.expected_spend(router, index));
        let sizing = self.sizing(router, index, size, 0);
        let second = self.second;
        let account = &mut self.accounts[router][index];
        if sizing.needs_refill() && second >= account.next_refill {
            account.next_refill = second + REFILL_INTERVAL_SECONDS;
            account.is_scarce = sizing.is_scarce();
            let tokens = sizing.refill_amount();
            if tokens > 0 {
                self.grant(router, index, tokens);
                return true;
            }
        }
        let account = &mut self.accounts[router][index];
        if account.spendable == 0 || (!account.is_scarce && second < account.next_return) {
            return false;
        }
        account.next_return = second + RETURN_INTERVAL_SECONDS;
        account.is_scarce = sizing.is_scarce();
        let tokens = sizing.excess(account.forecast.idle(now));
        account.spendable -= tokens;
        if account.spendable == 0 {
            self.budgets[index].holders.remove(&router);
        }
        self.budgets[index].free += tokens;
        tokens > 0
    }
}

/// Formats a table of all policies in all scenarios.
pub fn report(seeds: &[u64]) -> String {
    let mut text = String::from(
        "scenario    policy        payable  refused  refused%    served  writes/1000  ratio\n",
    );
    for scenario in PolicyScenario::ALL {
        let forecast_rate = measure(GrantPolicy::Forecast, scenario, seeds).refused_rate();
        for policy in GrantPolicy::ALL {
            let result = measure(policy, scenario, seeds);
            // Ratio to the forecast policy; undefined if the forecast policy has no false refusals.
            let ratio = if forecast_rate > 0.0 {
                format!("{:.1}", result.refused_rate() / forecast_rate)
            } else {
                "-".into()
            };
            text.push_str(&format!(
                "{:<11} {:<12} {result} {ratio:>8}\n",
                format!("{scenario:?}"),
                format!("{policy:?}")
            ));
        }
    }
    text
}
