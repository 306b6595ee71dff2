//! Policies for the sizes of grants, compared by false refusals and table writes.
//!
//! A refusal is false when the tokens of the budget that nobody has spent or holds for a running
//! request cover the refused request. All policies see the same requests.

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

/// Routers, three in each failure domain, as in design.md section 1.
const HOLDERS: usize = 9;
/// Routers of one failure domain.
const DOMAIN_SIZE: usize = 3;
/// Budgets, with loads that fall as 1/rank.
const BUDGETS: usize = 10;
/// Shards of today's deployments.
const SHARDS: u32 = 4;
/// Average requests each second of the whole fleet.
const REQUESTS_PER_SECOND: f64 = 6.0;
/// Time before the measured phase, in seconds.
const WARM_SECONDS: u64 = 3_600;
/// Length of the measured phase, in seconds.
const MEASURED_SECONDS: u64 = 3_600;
/// Time that a forecast must cover.
const COVER: Duration = Duration::from_secs(3_600);
/// Seconds between early refills of one budget at one router.
const REFILL_PAUSE: u64 = 10;
/// Seconds between checks for tokens to hand back.
const RETURN_INTERVAL: u64 = 60;
/// Requests that a refill covers at least while free tokens abound.
const FIRST_REQUESTS: Tokens = 16;
/// Size of a grant in the fixed-size policy: the smallest grant of the first router version.
const FIXED_GRANT: Tokens = 1_000;

/// Rule that decides how tokens reach routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantPolicy {
    /// Grants by forecast, early refill, hand-back and transfers.
    Forecast,
    /// As `Forecast`, without transfers between routers.
    NoTransfers,
    /// Grants of one size, with neither hand-back nor transfers.
    FixedGrant,
    /// Each router gets the same part of the budget at the start.
    EqualSplit,
}

impl GrantPolicy {
    /// All policies, the one in use first.
    pub const ALL: [Self; 4] = [
        Self::Forecast,
        Self::NoTransfers,
        Self::FixedGrant,
        Self::EqualSplit,
    ];
}

/// What can be reached, and how large budgets are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyScenario {
    /// Everything can be reached; half of the budgets run out.
    Normal,
    /// For one hour, failure domains reach neither each other nor the platform; budgets last.
    Partition,
    /// All budgets run out while failure domains reach the platform, but not each other.
    LastTokens,
}

impl PolicyScenario {
    /// All scenes.
    pub const ALL: [Self; 3] = [Self::Normal, Self::Partition, Self::LastTokens];
}

/// Result of one policy in one scene.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyResult {
    /// Requests in the measured phase that the budget could pay.
    pub payable: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Requests of the whole run that were served.
    pub served: u64,
    /// Rows written in the whole run.
    pub writes: u64,
    /// Budgets that were overspent.
    pub overspent: u64,
}

impl PolicyResult {
    /// False refusals, as a part of the payable requests.
    pub fn refused_rate(&self) -> f64 {
        self.refused as f64 / self.payable.max(1) as f64
    }

    /// Table writes for 1,000 served requests.
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

/// Runs one policy in one scene with several seeds and adds the results.
pub fn measure(policy: GrantPolicy, scene: PolicyScenario, seeds: &[u64]) -> PolicyResult {
    let mut total = PolicyResult::default();
    for seed in seeds {
        total.add(PolicyRun::new(policy, scene, *seed).run());
    }
    total
}

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
    weight: f64,
    holders: BTreeSet<usize>,
}

impl Budget {
    fn remaining(&self) -> Tokens {
        self.prepaid.saturating_sub(self.charged + self.held)
    }
}

/// Request that runs, by the second of its end.
struct RunningRequest {
    holder: usize,
    budget: usize,
    hold: Tokens,
    tokens: Tokens,
}

struct PolicyRun {
    policy: GrantPolicy,
    scene: PolicyScenario,
    rng: ChaCha8Rng,
    start: Instant,
    second: u64,
    budgets: Vec<Budget>,
    accounts: Vec<Vec<Account>>,
    /// Requests that end in each of the coming seconds.
    running: VecDeque<Vec<RunningRequest>>,
    result: PolicyResult,
}

impl PolicyRun {
    fn new(policy: GrantPolicy, scene: PolicyScenario, seed: u64) -> Self {
        let start = Instant::now();
        let total: f64 = (1..=BUDGETS).map(|rank| 1.0 / rank as f64).sum();
        let seconds = (WARM_SECONDS + MEASURED_SECONDS) as f64;
        let budgets = (0..BUDGETS).map(|index| {
            let weight = 1.0 / (index + 1) as f64 / total;
            // Expected spend of the whole run; a request spends 600 tokens on average.
            let expected = seconds * REQUESTS_PER_SECOND * weight * 600.0;
            let part = match scene {
                PolicyScenario::Normal if index % 2 == 0 => 0.75,
                PolicyScenario::LastTokens => 0.75,
                // Lasts for five more hours at the start of the partition.
                PolicyScenario::Partition => 3.0,
                PolicyScenario::Normal => 20.0,
            };
            let prepaid = (expected * part) as Tokens;
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
            next_return: RETURN_INTERVAL,
            is_scarce: false,
            is_dirty: false,
        };
        let mut run = Self {
            policy,
            scene,
            rng: ChaCha8Rng::seed_from_u64(seed),
            start,
            second: 0,
            budgets: budgets.collect(),
            accounts: vec![vec![account; BUDGETS]; HOLDERS],
            running: VecDeque::new(),
            result: PolicyResult::default(),
        };
        if policy == GrantPolicy::EqualSplit {
            for index in 0..BUDGETS {
                let part = run.budgets[index].prepaid / HOLDERS as Tokens;
                for holder in 0..HOLDERS {
                    run.take(holder, index, part);
                }
            }
        }
        run
    }

    fn run(mut self) -> PolicyResult {
        while self.second < WARM_SECONDS + MEASURED_SECONDS {
            self.end_requests();
            self.arrive();
            self.flush();
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
        self.second >= WARM_SECONDS
    }

    fn has_platform(&self) -> bool {
        self.scene != PolicyScenario::Partition || !self.is_measured()
    }

    fn end_requests(&mut self) {
        let now = self.now();
        for request in self.running.pop_front().unwrap_or_default() {
            let budget = &mut self.budgets[request.budget];
            budget.held -= request.hold;
            budget.charged += request.tokens;
            let account = &mut self.accounts[request.holder][request.budget];
            account.spendable += request.hold - request.tokens;
            account.forecast.add(now, request.tokens);
            account.is_dirty = true;
        }
    }

    /// Requests of one second. The load of each customer swings 1:8 within 20 s.
    fn arrive(&mut self) {
        for index in 0..BUDGETS {
            let is_peak = (self.second / 10 + index as u64).is_multiple_of(2);
            let swing = if is_peak { 16.0 / 9.0 } else { 2.0 / 9.0 };
            let rate = REQUESTS_PER_SECOND * self.budgets[index].weight * swing;
            for _ in 0..self.poisson(rate) {
                self.request(index);
            }
        }
    }

    /// Poisson number by multiplication of uniform numbers.
    fn poisson(&mut self, rate: f64) -> u32 {
        let limit = (-rate).exp();
        let mut product: f64 = self.rng.random();
        let mut count = 0;
        while product > limit {
            product *= self.rng.random::<f64>();
            count += 1;
        }
        count
    }

    fn request(&mut self, index: usize) {
        let holder = self.rng.random_range(0..HOLDERS);
        // Pareto tail of index 1.5, cut at 40 times the least; the mean charge is about 600.
        let tail = self.rng.random_range(0.004_f64..1.0).powf(-1.0 / 1.5);
        let tokens = (220.0 * tail) as Tokens;
        let hold = tokens * self.rng.random_range(1..=4);
        let seconds = (tokens / 60).clamp(1, 300) as usize;
        let remaining = self.budgets[index].remaining();
        let is_counted = self.is_measured() || self.scene == PolicyScenario::LastTokens;
        let is_last = remaining <= self.budgets[index].prepaid / 20;
        let is_counted = is_counted && (self.scene != PolicyScenario::LastTokens || is_last);
        let is_payable = remaining >= hold && is_counted;
        self.result.payable += u64::from(is_payable);
        if !self.hold(holder, index, hold) {
            self.result.refused += u64::from(is_payable);
            return;
        }
        self.result.served += 1;
        self.accounts[holder][index].spendable -= hold;
        self.budgets[index].held += hold;
        while self.running.len() <= seconds {
            self.running.push_back(Vec::new());
        }
        self.running[seconds].push(RunningRequest {
            holder,
            budget: index,
            hold,
            tokens,
        });
    }

    /// Finds tokens in the order of the router: own grant, spare of peers, pool, rest of peers.
    fn hold(&mut self, holder: usize, index: usize, amount: Tokens) -> bool {
        if self.accounts[holder][index].spendable >= amount {
            return true;
        }
        if self.policy == GrantPolicy::EqualSplit {
            return false;
        }
        let forecast = self.expect(holder, index);
        self.transfer(holder, index, amount, forecast / 16, true);
        if self.accounts[holder][index].spendable >= amount {
            return true;
        }
        if self.has_platform() {
            let missing = amount - self.accounts[holder][index].spendable;
            if self.budgets[index].free < missing {
                self.transfer(holder, index, amount - self.budgets[index].free, 0, false);
            }
            self.refill(holder, index, amount);
        } else {
            self.transfer(holder, index, amount, 0, false);
        }
        self.accounts[holder][index].spendable >= amount
    }

    fn refill(&mut self, holder: usize, index: usize, amount: Tokens) {
        let free = self.budgets[index].free;
        let spendable = self.accounts[holder][index].spendable;
        if spendable >= amount || spendable + free < amount {
            return;
        }
        let tokens = if self.policy == GrantPolicy::FixedGrant {
            (amount - spendable).max(FIXED_GRANT).min(free)
        } else {
            let size = grant_size(self.expect(holder, index)).max(amount * FIRST_REQUESTS);
            self.need(holder, index, size, amount).refill_amount()
        };
        self.take(holder, index, tokens);
        self.result.writes += 2;
    }

    fn expect(&self, holder: usize, index: usize) -> Tokens {
        self.accounts[holder][index]
            .forecast
            .expected(self.now(), COVER)
    }

    fn need(&self, holder: usize, index: usize, size: Tokens, request: Tokens) -> GrantSizing {
        let budget = &self.budgets[index];
        let others = budget.holders.iter().filter(|other| **other != holder);
        GrantSizing {
            spendable: self.accounts[holder][index].spendable,
            request,
            forecast: size,
            free: budget.free,
            holders: others.count() as u64 + 1,
        }
    }

    fn take(&mut self, holder: usize, index: usize, tokens: Tokens) {
        self.budgets[index].free -= tokens;
        self.budgets[index].holders.insert(holder);
        self.accounts[holder][index].spendable += tokens;
    }

    /// Moves tokens of reachable peers; with `keeps`, only what they do not need themselves.
    fn transfer(
        &mut self,
        holder: usize,
        index: usize,
        amount: Tokens,
        ahead: Tokens,
        keeps: bool,
    ) {
        if self.policy != GrantPolicy::Forecast {
            return;
        }
        let domain = holder / DOMAIN_SIZE;
        let mut peers: Vec<usize> = (0..HOLDERS).filter(|peer| *peer != holder).collect();
        let is_cut = match self.scene {
            PolicyScenario::Normal => false,
            PolicyScenario::Partition => self.is_measured(),
            PolicyScenario::LastTokens => true,
        };
        if is_cut {
            peers.retain(|peer| peer / DOMAIN_SIZE == domain);
        }
        peers.sort_by_key(|peer| peer / DOMAIN_SIZE != domain);
        if keeps {
            peers.truncate(2);
        }
        for peer in peers {
            let spendable = self.accounts[holder][index].spendable;
            let missing = amount.saturating_sub(spendable);
            if missing == 0 {
                return;
            }
            let keep = if keeps { self.expect(peer, index) } else { 0 };
            let spare = self.accounts[peer][index].spendable.saturating_sub(keep);
            if keeps && spare < missing {
                continue;
            }
            let tokens = spare.min(missing.max(ahead));
            self.accounts[peer][index].spendable -= tokens;
            self.accounts[holder][index].spendable += tokens;
            if tokens > 0 {
                self.accounts[peer][index].is_dirty = true;
                self.accounts[holder][index].is_dirty = true;
            }
        }
    }

    /// Group commit of each router: one row for each dirty shard, and the pool row with moves.
    fn flush(&mut self) {
        if !self.has_platform() {
            return;
        }
        for holder in 0..HOLDERS {
            let mut rows = BTreeSet::new();
            let mut pools = BTreeSet::new();
            for index in 0..BUDGETS {
                let shard = shard_of(&format!("budget-{index}"), SHARDS);
                let moves = matches!(
                    self.policy,
                    GrantPolicy::Forecast | GrantPolicy::NoTransfers
                ) && self.adjust(holder, index);
                if moves {
                    pools.insert(shard);
                }
                if moves || std::mem::take(&mut self.accounts[holder][index].is_dirty) {
                    rows.insert(shard);
                }
            }
            self.result.writes += (rows.len() + pools.len()) as u64;
        }
    }

    /// Early refill and hand-back; says whether tokens moved.
    fn adjust(&mut self, holder: usize, index: usize) -> bool {
        let now = self.now();
        let size = grant_size(self.expect(holder, index));
        let need = self.need(holder, index, size, 0);
        let second = self.second;
        let account = &mut self.accounts[holder][index];
        if need.needs_refill() && second >= account.next_refill {
            account.next_refill = second + REFILL_PAUSE;
            account.is_scarce = need.is_scarce();
            let tokens = need.refill_amount();
            if tokens > 0 {
                self.take(holder, index, tokens);
                return true;
            }
        }
        let account = &mut self.accounts[holder][index];
        if account.spendable == 0 || (!account.is_scarce && second < account.next_return) {
            return false;
        }
        account.next_return = second + RETURN_INTERVAL;
        account.is_scarce = need.is_scarce();
        let tokens = need.excess(account.forecast.idle(now));
        account.spendable -= tokens;
        if account.spendable == 0 {
            self.budgets[index].holders.remove(&holder);
        }
        self.budgets[index].free += tokens;
        tokens > 0
    }
}

/// Table of all policies in all scenes.
pub fn report(seeds: &[u64]) -> String {
    let mut text = String::from(
        "scene       policy        payable  refused  refused%    served  writes/1000  ratio\n",
    );
    for scene in PolicyScenario::ALL {
        let base = measure(GrantPolicy::Forecast, scene, seeds).refused_rate();
        for policy in GrantPolicy::ALL {
            let result = measure(policy, scene, seeds);
            // Against the forecast policy; a rate of 0 has no ratio.
            let ratio = if base > 0.0 {
                format!("{:.1}", result.refused_rate() / base)
            } else {
                "-".into()
            };
            text.push_str(&format!(
                "{:<11} {:<12} {result} {ratio:>8}\n",
                format!("{scene:?}"),
                format!("{policy:?}")
            ));
        }
    }
    text
}
