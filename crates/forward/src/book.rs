use std::{
    collections::HashMap,
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use {
    jasminewall_core::{BootId, CustomerId, GrantLedger, HolderId, RequestId, Tokens},
    jasminewall_ports::{Category, RowPort, RowReply},
    rand::Rng,
    tokio::{sync::Mutex as AsyncMutex, time::timeout_at},
};

use crate::{
    budget::{CustomerBudget, ExhaustedPool, SpendLimit},
    session::{SessionMode, StoreSession},
    total::{AccountUsage, CustomerRows, SPEND_TABLE},
};

/// Part of the remaining tokens that all routers together hold at most. It covers outages of the
/// store of a quarter of the time for which a total lasts, at twice the usual demand; the rest is
/// what a crash of every router leaves.
const GRANTED_SHARE: f64 = 0.75;
/// Time of own demand that is open to consumption before the next write. An account is written again
/// when half of it is used, and the other half lasts until a heartbeat is late. A crash loses the
/// open tokens, and a budget counts as spent by callers' bounds when 3 in 100 are left, about 1.3
/// seconds of the demand for which a total is made on the users' platform.
const OPEN_TIME: Duration = Duration::from_millis(900);
/// Growth of the open tokens while a heartbeat is late, in multiples of the own demand; the demand
/// may rise during an outage.
const LATE_DEMAND_FACTOR: f64 = 1.2;
/// Smallest growth a second as a part of the grant, as a divisor, for customers without recent
/// demand.
const LATE_RATE_DIVISOR: Tokens = 16;
/// Longest time in which a router that gives tokens opens more of its grant; a few transactions.
const GIVE_REFILL_TIMEOUT: Duration = Duration::from_millis(60);
/// Time between two looks at whether a stopping router is detached.
const DETACH_POLL: Duration = Duration::from_millis(20);
/// Time between two looks at whether a restart has accounts to take over.
const INHERIT_POLL: Duration = Duration::from_millis(50);
/// Smallest open part of a grant, as a divisor, for customers without recent demand.
const OPEN_DIVISOR: Tokens = 16;
/// Changes that one request waits for when others use up what is open.
const REFILL_ATTEMPTS: u32 = 3;
/// Customers up to which every router draws a grant before it sees a request, so that an outage
/// finds none without tokens.
const PREFETCH_CUSTOMERS: usize = 64;
/// Wait before the first grants are drawn, until routers that start together know each other, and
/// its random part, so that they do not conflict; both in ms.
const PREFETCH_DELAY_MS: u64 = 2_500;
const PREFETCH_JITTER_MS: u64 = 2_000;
/// Tries of a change against conflicts with other routers.
const CONFLICT_ATTEMPTS: u32 = 8;
/// Time in which the store is not asked again after it failed, so that requests turn to peers at
/// once. A failure is noticed after up to 1.5 s.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Time in which peers move their tokens and totals are read again.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time in which a pool that was found without enough tokens is not asked again; excess tokens of
/// other routers come back to it every [`REBALANCE_INTERVAL`].
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two tries, in ms; about four transactions of a partition.
const CONFLICT_PAUSE_MS: u64 = 20;
/// Time after which idle or excess tokens are looked for again.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(2);

/// Why tokens cannot be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetShortage {
    /// All tokens that anyone may still spend do not cover the request.
    Spent,
    /// Other routers hold the tokens.
    HeldElsewhere,
    /// The store cannot be reached.
    StoreAway,
}

/// Other routers that may give tokens which they hold.
pub trait TokenPeers: Send + Sync {
    /// Whether this router keeps a grant of the customer ahead of demand.
    fn is_owner(&self, customer: &CustomerId) -> bool;
    /// Asks peers for tokens of a customer, up to `wanted`, until there are `least`; says how many
    /// they gave.
    fn ask<'a>(
        &'a self,
        customer: &'a CustomerId,
        least: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = Tokens> + Send + 'a>>;
    /// Hands tokens to a peer that keeps a grant; says whether one took them.
    fn deposit<'a>(
        &'a self,
        customer: &'a CustomerId,
        tokens: Tokens,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>>;
}

/// Tokens of all customers that this router may spend.
pub struct BudgetManager {
    holder: HolderId,
    rows: Arc<dyn RowPort>,
    peers: Arc<dyn TokenPeers>,
    ledger: Mutex<GrantLedger>,
    budgets: Mutex<HashMap<CustomerId, Arc<CustomerBudget>>>,
    store_paused: Mutex<Option<Instant>>,
    session: Mutex<StoreSession>,
    predecessor: Mutex<Option<PredecessorEnd>>,
    owner_count: AtomicU64,
    next_hold: AtomicU64,
    /// Set by the stop, from which on nothing is drawn.
    closed: AtomicBool,
}

/// How the run before this one on the VM ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorEnd {
    /// It surely consumed no more than its accounts left open by then.
    Attached {
        /// Run.
        boot: BootId,
        /// Longest time for which its heartbeat was late.
        late: Duration,
    },
    /// It may have consumed whole grants, or there was none.
    Unknown,
}

/// Hold of one request; settled when it is dropped.
pub struct BudgetHold {
    book: Arc<BudgetManager>,
    /// Name of the request in the log.
    request: RequestId,
    /// Name of the hold in the ledger; callers may repeat their ids.
    number: RequestId,
    charge: Tokens,
}

impl BudgetHold {
    /// Sets the charge of the request so far.
    pub fn set_charge(&mut self, tokens: Tokens) {
        self.charge = tokens;
    }

    /// Adds tokens to the charge.
    pub fn add_charge(&mut self, tokens: Tokens) {
        self.charge += tokens;
    }
}

impl Drop for BudgetHold {
    fn drop(&mut self) {
        let settled = self.book.ledger().settle(&self.number, self.charge);
        match settled {
            Ok(charge) => tracing::info!(
                request = %self.request, customer = %charge.budget, charged = charge.tokens, "settled"
            ),
            Err(error) => {
                tracing::error!(request = %self.request, %error, "a hold could not be settled");
            }
        }
    }
}

impl BudgetManager {
    /// Starts without any tokens.
    pub fn new(holder: HolderId, rows: Arc<dyn RowPort>, peers: Arc<dyn TokenPeers>) -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::new(GrantLedger::new(holder.clone())),
            holder,
            rows,
            peers,
            budgets: Mutex::default(),
            store_paused: Mutex::default(),
            session: Mutex::default(),
            predecessor: Mutex::default(),
            owner_count: AtomicU64::new(1),
            next_hold: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        })
    }

    /// Sets the number of routers that share the totals.
    pub fn set_owner_count(&self, owner_count: usize) {
        let owner_count = u64::try_from(owner_count).unwrap_or(u64::MAX).max(1);
        self.owner_count.store(owner_count, Ordering::Relaxed);
    }

    /// Tokens of a customer that new requests may hold without asking the store.
    pub fn spendable(&self, customer: &CustomerId) -> Tokens {
        self.ledger().spendable(customer)
    }

    /// Reserves the worst case of a request, drawing from the total when the grant is too small.
    ///
    /// # Errors
    ///
    /// Says why the tokens cannot be had before `deadline`.
    pub async fn hold(
        self: &Arc<Self>,
        request: &RequestId,
        customer: &CustomerId,
        prepaid: Tokens,
        amount: Tokens,
        deadline: Instant,
    ) -> Result<BudgetHold, BudgetShortage> {
        let budget = self.budget(customer);
        let now = Instant::now();
        budget.raise_prepaid(prepaid);
        budget.state().record_request(amount);
        if let Some(hold) = self.try_hold(&budget, request, amount) {
            self.maybe_refill(&budget);
            return Ok(hold);
        }
        if !self.peers.is_owner(customer) {
            self.ask_peers(request, &budget, amount, None, deadline)
                .await;
            if let Some(hold) = self.try_hold(&budget, request, amount) {
                return Ok(hold);
            }
        }
        let known_shortage = self.known_shortage(&budget, amount, now);
        let shortage = if let Some(shortage) = known_shortage {
            shortage
        } else {
            match timeout_at(deadline.into(), self.refill(Some(request), &budget, amount)).await {
                Ok(Ok(())) => BudgetShortage::HeldElsewhere,
                Ok(Err(shortage)) => shortage,
                Err(_) => {
                    self.pause_store();
                    BudgetShortage::StoreAway
                }
            }
        };
        if let Some(hold) = self.try_hold(&budget, request, amount) {
            return Ok(hold);
        }
        if shortage != BudgetShortage::Spent && self.peers.is_owner(customer) {
            self.ask_peers(request, &budget, amount, Some(shortage), deadline)
                .await;
        }
        self.try_hold(&budget, request, amount).ok_or(shortage)
    }

    /// Asks peers for what a request lacks. Tokens that arrive after `deadline` serve later requests.
    async fn ask_peers(
        self: &Arc<Self>,
        request: &RequestId,
        budget: &CustomerBudget,
        amount: Tokens,
        shortage: Option<BudgetShortage>,
        deadline: Instant,
    ) {
        let (book, customer) = (self.clone(), budget.customer.clone());
        let missing = amount.saturating_sub(self.allowance(budget).min(self.spendable(&customer)));
        let is_owner = self.peers.is_owner(&customer);
        let ahead = budget.state().ask_ahead(is_owner, Instant::now());
        let asked = tokio::spawn(async move {
            let given = book.peers.ask(&customer, missing, missing + ahead).await;
            book.receive(&customer, given);
            given
        });
        let given = match timeout_at(deadline.into(), asked).await {
            Ok(Ok(given)) => Some(given),
            _ => None,
        };
        tracing::info!(
            %request, customer = %budget.customer, missing, given,
            shortage = shortage.map(tracing::field::debug), "asked peers for tokens"
        );
    }

    /// Gives tokens to a peer that has a request to serve; a keeper opens more of its grant first
    /// when it has to.
    pub async fn give(self: &Arc<Self>, customer: &CustomerId, wanted: Tokens) -> Tokens {
        let budget = self.budget(customer);
        let is_owner = self.peers.is_owner(customer);
        let may_open = self
            .known_shortage(&budget, wanted, Instant::now())
            .is_none();
        if is_owner && may_open && !self.covers(&budget, wanted) && budget.state().prepaid > 0 {
            let deadline = Instant::now() + GIVE_REFILL_TIMEOUT;
            // A shortage shows in what can be given.
            let _ = timeout_at(deadline.into(), self.refill(None, &budget, wanted)).await;
        }
        let given = self.withdraw(&budget, wanted);
        if is_owner {
            budget.state().demand_rate.add(given, Instant::now());
            self.maybe_refill(&budget);
        }
        given
    }

    /// Takes tokens out of the ledger, as far as they may be consumed.
    fn withdraw(&self, budget: &CustomerBudget, wanted: Tokens) -> Tokens {
        let allowance = self.allowance(budget);
        let given = self
            .ledger()
            .begin_return(&budget.customer, wanted.min(allowance));
        let mut state = budget.state();
        state.given += given;
        state.pool_stale |= given < wanted;
        given
    }

    /// Contact with the store.
    pub fn session(&self) -> MutexGuard<'_, StoreSession> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When a request that was refused for its budget may find tokens.
    pub fn retry_at(&self, now: Instant) -> Instant {
        let detaches = self.session().detaches_at(now);
        detaches.unwrap_or(now + RETRY_AFTER)
    }

    /// Says how the run before this one ended. Accounts are not changed before that is known.
    pub fn set_predecessor(&self, end: PredecessorEnd) {
        *self.predecessor() = Some(end);
    }

    /// Writes all accounts that consumed more than they left open; `false` when one could not be
    /// written.
    pub async fn write_overdrawn(&self) -> bool {
        let budgets: Vec<Arc<CustomerBudget>> = self.budgets().values().cloned().collect();
        for budget in budgets {
            if self.consumed(&budget) <= budget.state().allowed(Duration::ZERO) {
                continue;
            }
            let mut account = budget.account.lock().await;
            if self
                .commit_change(&budget, &mut account, 0, |_| 0)
                .await
                .is_err()
            {
                return false;
            }
        }
        true
    }

    /// Tokens consumed, held and given so far.
    fn consumed(&self, budget: &CustomerBudget) -> Tokens {
        let given = budget.state().given;
        let ledger = self.ledger();
        ledger.charged(&budget.customer) + ledger.held(&budget.customer) + given
    }

    /// Tokens that may be consumed before the next write.
    fn allowance(&self, budget: &CustomerBudget) -> Tokens {
        let now = Instant::now();
        let session = *self.session();
        let late = match session.mode(now) {
            SessionMode::Detached => return Tokens::MAX,
            SessionMode::Late => session.lateness(now),
            SessionMode::Attached | SessionMode::Attaching => Duration::ZERO,
        };
        let allowed = budget.state().allowed(late);
        allowed.saturating_sub(self.consumed(budget))
    }

    /// Hands back all tokens that no request holds, to the store or, while it does not answer, to
    /// peers. They get whole grants only once this router is detached, which is waited for.
    pub async fn return_all(&self, deadline: Instant) {
        self.closed.store(true, Ordering::Relaxed);
        let budgets: Vec<Arc<CustomerBudget>> = self.budgets().values().cloned().collect();
        let mut left = Vec::new();
        for budget in budgets {
            if !self.return_unheld(&budget, deadline).await {
                left.push(budget);
            }
        }
        while !left.is_empty() && Instant::now() < deadline {
            let is_detached = self.session().mode(Instant::now()) == SessionMode::Detached;
            if is_detached || self.is_store_responsive() {
                break;
            }
            tokio::time::sleep(DETACH_POLL).await;
        }
        for budget in left {
            if self.return_unheld(&budget, deadline).await {
                continue;
            }
            let tokens = self.withdraw(&budget, self.spendable(&budget.customer));
            let kept = self.peers.deposit(&budget.customer, tokens).await;
            tracing::info!(customer = %budget.customer, tokens, kept, "gave tokens to a peer at the stop");
        }
    }

    /// Returns what no request holds to the store; `false` when it does not answer.
    async fn return_unheld(&self, budget: &CustomerBudget, deadline: Instant) -> bool {
        if !self.is_store_responsive() {
            return false;
        }
        let tokens = self.spendable(&budget.customer);
        let returned = timeout_at(deadline.into(), self.return_tokens(budget, tokens)).await;
        let done = matches!(returned, Ok(Ok(())));
        tracing::info!(customer = %budget.customer, tokens, done, "returned tokens at the stop");
        done
    }

    /// Whether the store answered a moment ago.
    fn is_store_responsive(&self) -> bool {
        let now = Instant::now();
        let session = *self.session();
        !self.is_store_paused()
            && session.mode(now) == SessionMode::Attached
            && !session.is_overdue(now)
    }

    /// Adds tokens that a peer hands over.
    pub fn receive(&self, customer: &CustomerId, tokens: Tokens) {
        let budget = self.budget(customer);
        budget.state().received += tokens;
        self.ledger().credit(customer, tokens);
    }

    /// Draws grants ahead of demand and hands back what exceeds them, again and again.
    pub async fn rebalance(
        self: Arc<Self>,
        prepaid_budgets: impl Fn() -> Vec<(CustomerId, Tokens)>,
    ) {
        let spread = rand::rng().random_range(0..PREFETCH_JITTER_MS);
        let start = Instant::now() + Duration::from_millis(PREFETCH_DELAY_MS + spread);
        while Instant::now() < start && !self.may_inherit() {
            tokio::time::sleep(INHERIT_POLL).await;
        }
        let mut tick = tokio::time::interval(REBALANCE_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let prepaid_budgets = prepaid_budgets();
            let advance = prepaid_budgets.len() <= PREFETCH_CUSTOMERS;
            for (customer, prepaid) in prepaid_budgets {
                let keeps = advance && (self.peers.is_owner(&customer) || self.may_inherit());
                if keeps || self.budgets().contains_key(&customer) {
                    let budget = self.budget(&customer);
                    budget.raise_prepaid(prepaid);
                    self.rebalance_budget(&budget).await;
                }
            }
        }
    }

    /// Whether a run before this one left accounts that can be taken over.
    fn may_inherit(&self) -> bool {
        matches!(*self.predecessor(), Some(PredecessorEnd::Attached { .. }))
    }

    async fn rebalance_budget(self: &Arc<Self>, budget: &Arc<CustomerBudget>) {
        let excess = {
            let mut account = budget.account.lock().await;
            let pool_stale = std::mem::take(&mut budget.state().pool_stale);
            if pool_stale && let Err(shortage) = self.read_accounts(budget, &mut account).await {
                tracing::info!(customer = %budget.customer, ?shortage, "the accounts stay as known");
            }
            if account.is_known() {
                let target_grant = self.target_grant(budget, &account);
                let target_grant = if self.peers.is_owner(&budget.customer) {
                    target_grant
                } else {
                    // What requests left over serves the next ones.
                    2 * budget.state().largest_request
                };
                let spendable = self.spendable(&budget.customer);
                // The margin avoids moves back and forth.
                if spendable > target_grant + target_grant / 2 {
                    spendable - target_grant
                } else {
                    0
                }
            } else {
                0
            }
        };
        if excess == 0 {
            // An account of an earlier run is taken over even where no grant is kept.
            self.refill_when_low(budget);
            return;
        }
        let done = self.return_tokens(budget, excess).await.is_ok();
        tracing::info!(customer = %budget.customer, tokens = excess, done, "returned excess tokens");
    }

    async fn return_tokens(
        &self,
        budget: &CustomerBudget,
        spare: Tokens,
    ) -> Result<(), BudgetShortage> {
        let mut account = budget.account.lock().await;
        let taken = self.ledger().begin_return(&budget.customer, spare);
        account.add_return(taken);
        self.commit_change(budget, &mut account, 0, |_| 0).await
    }

    fn try_hold(
        self: &Arc<Self>,
        budget: &CustomerBudget,
        request: &RequestId,
        amount: Tokens,
    ) -> Option<BudgetHold> {
        if self.allowance(budget) < amount {
            return None;
        }
        let number = self.next_hold.fetch_add(1, Ordering::Relaxed);
        let number = RequestId::from(number.to_string());
        self.ledger().hold(&budget.customer, &number, amount).ok()?;
        budget.state().demand_rate.add(amount, Instant::now());
        Some(BudgetHold {
            book: self.clone(),
            request: request.clone(),
            number,
            charge: 0,
        })
    }

    /// Refills a grant once half of it is used.
    async fn refill_ahead(&self, budget: &CustomerBudget) {
        if self.is_store_paused() {
            return;
        }
        if let Err(shortage) = self.refill(None, budget, 0).await {
            tracing::info!(customer = %budget.customer, ?shortage, "a refill ahead of need failed");
        }
    }

    /// Starts a refill in the background unless one is running.
    fn maybe_refill(self: &Arc<Self>, budget: &Arc<CustomerBudget>) {
        if !self.peers.is_owner(&budget.customer) {
            return;
        }
        self.refill_when_low(budget);
    }

    fn refill_when_low(self: &Arc<Self>, budget: &Arc<CustomerBudget>) {
        let spendable = self.spendable(&budget.customer);
        let allowance = self.allowance(budget);
        let mut state = budget.state();
        let below = state.refill_below.is_none_or(|below| spendable < below);
        let low = below || allowance < state.write_below.min(spendable);
        if state.refilling || !low {
            return;
        }
        state.refilling = true;
        drop(state);
        let (book, budget) = (self.clone(), budget.clone());
        tokio::spawn(async move {
            book.refill_ahead(&budget).await;
            budget.state().refilling = false;
        });
    }

    async fn refill(
        &self,
        request: Option<&RequestId>,
        budget: &CustomerBudget,
        amount: Tokens,
    ) -> Result<(), BudgetShortage> {
        let mut account = budget.account.lock().await;
        if self.is_store_paused() || self.closed.load(Ordering::Relaxed) {
            return Err(BudgetShortage::StoreAway);
        }
        if amount > 0 && self.covers(budget, amount) {
            return Ok(());
        }
        for _ in 0..REFILL_ATTEMPTS {
            let known = account.is_known() && !account.is_previous_run();
            let most = self.spendable(&budget.customer) + account.free(budget.state().prepaid);
            if known && amount > most {
                // A write would not help this request.
                break;
            }
            self.commit_change(budget, &mut account, amount, |account| {
                self.draw_amount(budget, account, amount)
            })
            .await?;
            if amount == 0 || self.covers(budget, amount) {
                return Ok(());
            }
        }
        if self.spendable(&budget.customer) >= amount
            || account.free(budget.state().prepaid) >= amount
        {
            return Err(BudgetShortage::HeldElsewhere);
        }
        // Only a fresh look at all accounts can prove that the total is spent.
        self.read_accounts(budget, &mut account).await?;
        let prepaid = budget.state().prepaid;
        let reachable =
            account.free(prepaid) + account.held_by_others() + self.spendable(&budget.customer);
        let shortage = if amount > reachable {
            BudgetShortage::Spent
        } else {
            BudgetShortage::HeldElsewhere
        };
        tracing::info!(
            request = request.map(|id| id.as_str()), customer = %budget.customer, amount, prepaid, free = account.free(prepaid),
            others = account.held_by_others(), ?shortage, "the total does not cover a request"
        );
        budget.state().exhausted = Some(ExhaustedPool {
            until: Instant::now() + EXHAUSTED_PAUSE,
            free: account.free(prepaid),
            shortage,
        });
        Err(shortage)
    }

    /// Commits one change of an account; `take` says how much to draw, given the rows as known.
    async fn commit_change(
        &self,
        budget: &CustomerBudget,
        account: &mut CustomerRows,
        amount: Tokens,
        take: impl Fn(&CustomerRows) -> Tokens,
    ) -> Result<(), BudgetShortage> {
        match *self.predecessor() {
            None => return Err(BudgetShortage::StoreAway),
            Some(PredecessorEnd::Attached { boot, late }) => account.inherit(boot, late),
            Some(PredecessorEnd::Unknown) => {}
        }
        for _ in 0..CONFLICT_ATTEMPTS {
            if !account.is_known() {
                self.read_accounts(budget, account).await?;
            }
            let prepaid = budget.state().prepaid;
            // An account is taken over by itself, so that this does not conflict over the pool.
            let take = if account.is_previous_run() {
                0
            } else {
                take(account)
            };
            let spendable = self.spendable(&budget.customer) + take + account.inheritable();
            let charged = self.consumed(budget) - self.ledger().held(&budget.customer);
            let expected = budget
                .state()
                .demand_rate
                .expected(OPEN_TIME, Instant::now());
            let allowance = expected.max(spendable / OPEN_DIVISOR).max(amount);
            let allowance = allowance.min(spendable);
            let received = budget.state().received;
            let usage = AccountUsage {
                charged,
                received,
                open: self.consumed(budget) + allowance - charged,
                late_rate: self.late_rate(budget, spendable),
            };
            let Some(change) = account.change(prepaid, take, usage) else {
                return Ok(());
            };
            let (inherited, stranded) = (account.inheritable(), account.stranded());
            let limit = SpendLimit {
                tokens: usage.charged + usage.open,
                received,
                late_rate: usage.late_rate,
            };
            budget.state().push_limit(limit);
            // A cancelled call leaves the outcome unknown.
            account.mark_unknown();
            match self.rows.transact(change.transaction.clone()).await {
                Ok(RowReply::Committed { version, .. }) => {
                    let granted = account.committed(&change, version);
                    account.mark_known();
                    if inherited + stranded > 0 {
                        tracing::info!(customer = %budget.customer, inherited, stranded, "took over the account of an earlier run");
                    }
                    self.ledger().credit(&budget.customer, granted);
                    budget.state().commit_limit(limit, allowance);
                    tracing::info!(customer = %budget.customer, granted, version, room = allowance, free = account.free(prepaid), "account changed");
                    return Ok(());
                }
                Ok(RowReply::Conflict(rows)) => {
                    budget.state().pop_limit();
                    let granted = account.load_conflict(&rows);
                    self.ledger().credit(&budget.customer, granted);
                    let pause = rand::rng().random_range(0..CONFLICT_PAUSE_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
                Err(error) => {
                    tracing::warn!(customer = %budget.customer, %error, "an account could not be changed");
                    self.pause_store();
                    if error.category() == Category::Unavailable {
                        budget.state().pop_limit();
                        account.mark_known();
                    }
                    return Err(BudgetShortage::StoreAway);
                }
            }
        }
        tracing::warn!(customer = %budget.customer, "gave up a change of an account after conflicts");
        Err(BudgetShortage::HeldElsewhere)
    }

    async fn read_accounts(
        &self,
        budget: &CustomerBudget,
        account: &mut CustomerRows,
    ) -> Result<(), BudgetShortage> {
        let page = self.rows.read(SPEND_TABLE, &budget.customer).await;
        let page = page.map_err(|error| {
            tracing::warn!(customer = %budget.customer, %error, "the accounts could not be read");
            self.pause_store();
            BudgetShortage::StoreAway
        })?;
        let granted = account.load_all(&page.rows);
        budget.state().limit = SpendLimit::of(account.stored());
        self.ledger().credit(&budget.customer, granted);
        Ok(())
    }

    /// Why own tokens and the pool do not cover an amount, as of a moment ago.
    fn known_shortage(
        &self,
        budget: &CustomerBudget,
        amount: Tokens,
        now: Instant,
    ) -> Option<BudgetShortage> {
        let missing = amount.saturating_sub(self.spendable(&budget.customer));
        budget.state().shortage_at(now, missing)
    }

    fn covers(&self, budget: &CustomerBudget, amount: Tokens) -> bool {
        self.spendable(&budget.customer) >= amount && self.allowance(budget) >= amount
    }

    fn predecessor(&self) -> MutexGuard<'_, Option<PredecessorEnd>> {
        self.predecessor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn pause_store(&self) {
        let mut store_pause = self.store_pause();
        *store_pause = Some(Instant::now() + STORE_PAUSE);
    }

    fn is_store_paused(&self) -> bool {
        self.store_pause()
            .is_some_and(|until| until > Instant::now())
    }

    fn store_pause(&self) -> MutexGuard<'_, Option<Instant>> {
        self.store_paused
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Growth of the open tokens while a heartbeat is late, in tokens a second.
    fn late_rate(&self, budget: &CustomerBudget, spendable: Tokens) -> Tokens {
        let state = budget.state().demand_rate.at(Instant::now()) * LATE_DEMAND_FACTOR;
        (state as Tokens).max(spendable / LATE_RATE_DIVISOR)
    }

    /// Tokens that this router should hold: its part of the remaining ones.
    fn target_grant(&self, budget: &CustomerBudget, account: &CustomerRows) -> Tokens {
        if !self.peers.is_owner(&budget.customer) {
            return 0;
        }
        let prepaid = budget.state().prepaid;
        let remaining = account.free(prepaid) + self.spendable(&budget.customer);
        let owner_count = self.owner_count.load(Ordering::Relaxed);
        let target_grant = (remaining as f64 * GRANTED_SHARE) as Tokens / owner_count;
        budget.state().refill_below = Some(target_grant / 2);
        target_grant
    }

    /// Tokens to draw: up to the target once half of it is used, and always what a request needs.
    fn draw_amount(
        &self,
        budget: &CustomerBudget,
        account: &CustomerRows,
        request: Tokens,
    ) -> Tokens {
        let target_grant = self.target_grant(budget, account);
        let spendable = self.spendable(&budget.customer);
        let free = account.free(budget.state().prepaid) + account.unreturned();
        let missing = request.saturating_sub(spendable);
        let ahead = if missing > 0 || spendable < target_grant / 2 {
            target_grant.saturating_sub(spendable)
        } else {
            0
        };
        missing.max(ahead).min(free)
    }

    fn budget(&self, customer: &CustomerId) -> Arc<CustomerBudget> {
        let mut budgets = self.budgets();
        if let Some(budget) = budgets.get(customer) {
            return budget.clone();
        }
        let HolderId { vm, boot } = self.holder.clone();
        let budget = Arc::new(CustomerBudget {
            customer: customer.clone(),
            account: AsyncMutex::new(CustomerRows::new(customer.clone(), vm, boot)),
            state: Mutex::default(),
        });
        budgets.insert(customer.clone(), budget.clone());
        budget
    }

    fn ledger(&self) -> MutexGuard<'_, GrantLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budgets(&self) -> MutexGuard<'_, HashMap<CustomerId, Arc<CustomerBudget>>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
