use std::{
    collections::{HashMap, HashSet},
    future::Future,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use {
    futures_util::future::join_all,
    jasminewall_core::{BootId, CustomerId, GrantLedger, HolderId, RequestId, Tokens},
    jasminewall_ports::{Category, FIRST_ERA, RowPort, RowReply, StoreEra, era_of},
    rand::Rng,
    tokio::{
        sync::{Mutex as AsyncMutex, Notify},
        time::timeout_at,
    },
};

use crate::{
    account::{AccountUsage, CustomerAccount, LoadedRows, SPEND_TABLE},
    budget::{CustomerBudget, ExhaustedPool, SpendLimit},
    draws::{DrawRecord, DrawSurvey, merge_totals},
    metric::ForwardMetrics,
    port::SendCount,
    session::{SessionMode, StoreSession},
    supply::SupplyOutcome,
};

mod era;
mod exchange;
mod reattach;

/// Share of the remaining tokens that all routers together hold at most. It covers a store outage
/// of a quarter of the time for which a budget lasts, at twice the usual demand. The rest is still
/// available after a crash of every router.
const GRANTED_SHARE: f64 = 0.75;
/// Time for which the open tokens cover this router's demand until the next write. The account is
/// written again when half of them are used; the other half must last until a heartbeat counts as
/// late. A longer time would lose more tokens in a crash: callers count a budget as spent when 3% of
/// it are left, which is about 1.3 seconds of the demand that it is sized for.
const OPEN_TIME: Duration = Duration::from_millis(900);
/// Growth rate of the open tokens while a heartbeat is late, as a multiple of this router's demand,
/// which may rise during an outage.
const LATE_DEMAND_FACTOR: f64 = 1.2;
/// Interval at which a stopping router checks whether the store responds.
const STORE_POLL: Duration = Duration::from_millis(20);
/// Time after which a router tries again to take over accounts in a large fleet, whose routers may all
/// start together. The tokens must be usable within 3 s, and a failure pauses calls for 0.5 s.
const INHERIT_RETRY: Duration = Duration::from_millis(250);
/// Interval at which a starting router checks whether it can take over the accounts of the previous
/// run.
const INHERIT_POLL: Duration = Duration::from_millis(50);
/// Largest number of account changes that one request waits for. Other requests may use up the
/// tokens that a change opens.
const REFILL_ATTEMPTS: u32 = 3;
/// Largest number of customers for which routers draw grants before the first request, so that an
/// outage finds none of them without tokens.
const PREFETCH_CUSTOMERS: usize = 64;
/// Delay before the first grants are drawn, and the largest random time added to it, in ms. During
/// the delay, routers that start together find each other. The random time keeps their transactions
/// from conflicting.
const PREFETCH_DELAY_MS: u64 = 2_500;
const PREFETCH_JITTER_MS: u64 = 2_000;
/// Number of attempts at an account change that conflicts with those of other routers.
const CONFLICT_ATTEMPTS: u32 = 8;
/// Time for which the store is not called after a failure, so that requests ask peers for tokens
/// immediately. Otherwise each would wait for another failure, which may take up to 1.5 s.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a pool without enough tokens is not read again. It gets more only when other
/// routers return excess tokens, every [`REBALANCE_INTERVAL`].
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause in ms between two attempts; about four transactions of a partition.
const CONFLICT_PAUSE_MS: u64 = 20;
/// Interval at which idle and excess tokens are returned.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which left-over tokens of several requests are collected before they are handed over.
const HANDOVER_DELAY: Duration = Duration::from_millis(100);

/// Why a request gets no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetShortage {
    /// All unspent tokens of the budget together do not cover the request.
    Spent,
    /// Other routers hold the tokens.
    HeldElsewhere,
    /// The store is unreachable.
    StoreAway,
}

/// Whether a peer took over tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepositOutcome {
    /// The peer has the tokens.
    Accepted,
    /// No peer was called; the tokens are still here.
    NotSent,
    /// The peer may have the tokens. They must not be used here.
    Unknown,
}

/// Other routers that can give tokens from their grants.
pub trait TokenPeers: Send + Sync {
    /// Whether this router owns a grant of the customer, which it draws ahead of demand.
    fn is_owner(&self, customer: &CustomerId) -> bool;
    /// Asks peers for up to `wanted` tokens of a customer, until they have given `minimum`. Returns
    /// how many they gave, and when they expect more.
    fn ask<'a>(
        &'a self,
        customer: &'a CustomerId,
        minimum: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = SupplyOutcome> + Send + 'a>>;
    /// Whether this router remembers draws for others; `None` until it knows the other routers.
    fn keeps_draws(&self) -> Option<bool>;
    /// Tells the routers that remember draws of one. Returns whether enough of them know it; see
    /// [`draws`](crate::draws).
    fn record_draw<'a>(
        &'a self,
        customer: &'a CustomerId,
        record: DrawRecord,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>>;
    /// Asks the routers that remember draws for those of a customer, at the start of an era. `None`
    /// until the other routers are known.
    fn survey_draws<'a>(
        &'a self,
        customer: &'a CustomerId,
        era: StoreEra,
    ) -> Pin<Box<dyn Future<Output = Option<DrawSurvey>> + Send + 'a>>;
    /// Hands tokens over to a peer that owns a grant.
    fn deposit<'a>(
        &'a self,
        customer: &'a CustomerId,
        tokens: Tokens,
    ) -> Pin<Box<dyn Future<Output = DepositOutcome> + Send + 'a>>;
}

/// Tokens of all customers that this router may spend, and their exchange with the store and peers.
pub struct BudgetManager {
    holder: HolderId,
    rows: Arc<dyn RowPort>,
    peers: Arc<dyn TokenPeers>,
    ledger: Mutex<GrantLedger>,
    budgets: Mutex<HashMap<CustomerId, Arc<CustomerBudget>>>,
    /// When the store may be called again after a failure.
    store_pause_end: Mutex<Option<Instant>>,
    session: Mutex<StoreSession>,
    started: Instant,
    /// Latest era of the store, and when this router learned of it.
    latest_era: Mutex<(StoreEra, Instant)>,
    /// Era in whose rows the accounts of this run stand.
    entered_era: AtomicU64,
    /// Whether this router has read the accounts of all customers, or need not.
    has_learned_draws: AtomicBool,
    /// How the previous run ended; `None` until the router has found out.
    predecessor: Mutex<Option<PredecessorEnd>>,
    /// Number of routers that own a grant of each customer.
    owner_count: AtomicU64,
    /// Whether only some routers of the fleet own grants.
    is_large: AtomicBool,
    metrics: OnceLock<ForwardMetrics>,
    /// Id of the next hold in the ledger.
    next_hold: AtomicU64,
    /// Set when the router stops; nothing is drawn from then on.
    closed: AtomicBool,
    /// Customers whose requests ended or were refused since left-over tokens were last handed over;
    /// at most those in the configuration.
    leftovers: Mutex<HashSet<CustomerId>>,
    leftover_noted: Notify,
}

/// How the previous router run on this VM ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorEnd {
    /// It consumed at most what its accounts left open.
    Attached {
        /// Id of the run.
        boot: BootId,
        /// Longest time for which its heartbeat may have been late.
        late: Duration,
    },
    /// It may have consumed whole grants, or there was no previous run.
    Unknown,
    /// The store was restored since, and this is the first run on the VM that met it.
    BeforeRestore,
}

/// Tokens reserved for one request; settled on drop.
pub struct BudgetHold {
    manager: Arc<BudgetManager>,
    /// Id of the request, for the log.
    request: RequestId,
    /// Id of the hold in the ledger. The request id does not serve, because callers may use one
    /// twice.
    hold_id: RequestId,
    charge: Tokens,
    /// Sends of the request, and the input tokens that are charged once one of them may have run.
    input: Option<(Arc<SendCount>, Tokens)>,
}

impl BudgetHold {
    /// Charges `tokens` of input in addition, once, if an endpoint may have run the request when the
    /// hold is dropped.
    pub fn charge_input_of(&mut self, sends: Arc<SendCount>, tokens: Tokens) {
        self.input = Some((sends, tokens));
    }

    /// Sets the tokens charged to the request so far.
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
        let input = self.input.as_ref();
        let input = input.filter(|(sends, _)| sends.may_have_run());
        let input = input.map_or(0, |(_, tokens)| *tokens);
        let charge = self.charge + input;
        let settled = self.manager.ledger().settle(&self.hold_id, charge);
        match settled {
            Ok(charge) => {
                tracing::info!(
                    request = %self.request, customer = %charge.budget, charged = charge.tokens,
                    input, output = self.charge, "settled"
                );
                self.manager.note_leftover(charge.budget);
            }
            Err(error) => {
                tracing::error!(request = %self.request, %error, "failed to settle a hold");
            }
        }
    }
}

impl BudgetManager {
    /// Creates a manager without tokens.
    pub fn new(holder: HolderId, rows: Arc<dyn RowPort>, peers: Arc<dyn TokenPeers>) -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::new(GrantLedger::new(holder.clone())),
            holder,
            rows,
            peers,
            budgets: Mutex::default(),
            store_pause_end: Mutex::default(),
            session: Mutex::default(),
            started: Instant::now(),
            latest_era: Mutex::new((FIRST_ERA, Instant::now())),
            entered_era: AtomicU64::new(FIRST_ERA),
            has_learned_draws: AtomicBool::new(false),
            predecessor: Mutex::default(),
            owner_count: AtomicU64::new(1),
            is_large: AtomicBool::new(false),
            metrics: OnceLock::new(),
            next_hold: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            leftovers: Mutex::default(),
            leftover_noted: Notify::new(),
        })
    }

    /// Sets the number of routers that own a grant of each customer.
    pub fn set_owner_count(&self, owner_count: usize) {
        let owner_count = u64::try_from(owner_count).unwrap_or(u64::MAX).max(1);
        self.owner_count.store(owner_count, Ordering::Relaxed);
    }

    /// Sets whether only some routers of the fleet own grants. Routers of such a fleet remember what
    /// peers answered and bound their waits by the target latency.
    pub fn set_large(&self, is_large: bool) {
        self.is_large.store(is_large, Ordering::Relaxed);
    }

    /// See [`Self::set_large`].
    pub fn is_large(&self) -> bool {
        self.is_large.load(Ordering::Relaxed)
    }

    /// Sets where asks for tokens are counted. Later calls have no effect.
    pub(crate) fn set_metrics(&self, metrics: ForwardMetrics) {
        let _ = self.metrics.set(metrics);
    }

    /// Tokens of a customer that new requests can hold without a draw from the store.
    pub fn spendable(&self, customer: &CustomerId) -> Tokens {
        self.ledger().spendable(customer)
    }

    /// Reserves `amount` tokens, the most that a request can cost. Gets tokens from the store or
    /// peers if the grant does not cover them.
    ///
    /// # Errors
    ///
    /// Returns why the tokens are not available before `deadline`.
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
        budget.state().last_amount = amount;
        if let Some(hold) = self.try_hold(&budget, request, amount) {
            self.maybe_refill(&budget);
            self.maybe_ask_early(&budget);
            return Ok(hold);
        }
        let is_owner = self.peers.is_owner(customer);
        let mut supply = None;
        if !is_owner {
            supply = self
                .ask_peers(request, &budget, amount, None, deadline)
                .await;
            if let Some(hold) = self.try_hold(&budget, request, amount) {
                return Ok(hold);
            }
        }
        let shortage = self
            .draw(request, &budget, amount, supply, now, deadline)
            .await;
        if let Some(hold) = self.try_hold(&budget, request, amount) {
            return Ok(hold);
        }
        if shortage != BudgetShortage::Spent && is_owner {
            self.ask_peers(request, &budget, amount, Some(shortage), deadline)
                .await;
        }
        let hold = self.try_hold(&budget, request, amount);
        if hold.is_none() {
            // Peers may have given a part of the tokens.
            self.note_leftover(customer.clone());
            if is_owner && self.is_large() {
                budget.state().demand_rate.add(amount, Instant::now());
            }
        }
        hold.ok_or_else(|| self.final_shortage(&budget, amount, shortage, supply))
    }

    /// Takes up to `wanted` tokens out of the ledger, but no more than may be consumed before the
    /// next write of the account.
    fn withdraw(&self, budget: &CustomerBudget, wanted: Tokens) -> Tokens {
        let allowance = self.allowance(budget);
        let given = self
            .ledger()
            .reserve_outgoing(&budget.customer, wanted.min(allowance));
        let mut state = budget.state();
        state.given += given;
        state.pool_stale |= given < wanted;
        given
    }

    /// Session with the store.
    pub fn session(&self) -> MutexGuard<'_, StoreSession> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how the previous run ended. No account is changed before this is known.
    pub fn set_predecessor(&self, end: PredecessorEnd) {
        if end != PredecessorEnd::BeforeRestore {
            self.entered_era
                .store(self.current_era(), Ordering::Relaxed);
        }
        *self.predecessor() = Some(end);
    }

    /// Tokens consumed, held and given to peers so far.
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
            SessionMode::Late => session.lateness(now),
            SessionMode::Attached | SessionMode::Attaching => Duration::ZERO,
        };
        let allowed = budget.state().allowed(late);
        allowed.saturating_sub(self.consumed(budget))
    }

    /// Returns all tokens that no request holds to the store. While it is unreachable, peers get those
    /// that the accounts leave open; the rest waits for the store until `deadline`. Returns whether none
    /// are left for a successor.
    pub async fn return_all(&self, deadline: Instant) -> bool {
        self.closed.store(true, Ordering::Relaxed);
        let budgets: Vec<Arc<CustomerBudget>> = self.budgets().values().cloned().collect();
        let mut remaining = Vec::new();
        for budget in budgets {
            if !self.return_unheld(&budget, deadline).await {
                remaining.push(budget);
            }
        }
        for budget in &remaining {
            let tokens = self.spendable(&budget.customer);
            let (tokens, outcome) = self.hand_over(budget, tokens).await;
            let kept = outcome == DepositOutcome::Accepted;
            tracing::info!(customer = %budget.customer, tokens, kept, ?outcome, "gave tokens to a peer before stopping");
        }
        while !remaining.is_empty() && !self.is_store_responsive() && Instant::now() < deadline {
            tokio::time::sleep(STORE_POLL).await;
        }
        let mut returned = true;
        for budget in remaining {
            returned &= self.return_unheld(&budget, deadline).await;
        }
        returned
    }

    /// Hands up to `tokens` over to a peer that owns a grant. Returns how many were taken out of the
    /// ledger, and whether the peer has them.
    async fn hand_over(&self, budget: &CustomerBudget, tokens: Tokens) -> (Tokens, DepositOutcome) {
        let tokens = self.withdraw(budget, tokens);
        if tokens == 0 {
            return (0, DepositOutcome::NotSent);
        }
        let outcome = self.peers.deposit(&budget.customer, tokens).await;
        if outcome == DepositOutcome::NotSent {
            self.ledger().release_outgoing(&budget.customer, tokens);
            budget.state().given -= tokens;
        }
        (tokens, outcome)
    }

    /// Records that tokens of a customer may be left over.
    fn note_leftover(&self, customer: CustomerId) {
        self.leftovers().insert(customer);
        self.leftover_noted.notify_one();
    }

    /// Hands left-over tokens to the owners of grants whenever requests have ended, for as long as
    /// the router runs.
    pub async fn hand_over_leftovers(self: Arc<Self>) {
        loop {
            self.leftover_noted.notified().await;
            tokio::time::sleep(HANDOVER_DELAY).await;
            let customers = std::mem::take(&mut *self.leftovers());
            join_all(customers.iter().map(|id| self.hand_over_leftover(id))).await;
        }
    }

    /// Hands the tokens of a customer that this router needs no more to the owner of a grant.
    ///
    /// In a fleet of hundreds of routers, each would otherwise keep a few requests' worth of every
    /// customer's tokens. Together that can exceed the budget, and a loss of power loses all of it.
    async fn hand_over_leftover(&self, customer: &CustomerId) {
        if self.peers.is_owner(customer) {
            return;
        }
        let budget = self.budget(customer);
        let leftover = self.spendable(customer).saturating_sub(budget.kept_ahead());
        let (tokens, outcome) = self.hand_over(&budget, leftover).await;
        if tokens > 0 {
            tracing::debug!(%customer, tokens, ?outcome, "handed over left-over tokens");
        }
    }

    /// Returns the tokens that no request holds to the store; `false` if it does not respond.
    async fn return_unheld(&self, budget: &CustomerBudget, deadline: Instant) -> bool {
        if !self.is_store_responsive() {
            return false;
        }
        let tokens = self.spendable(&budget.customer);
        let returned = timeout_at(deadline.into(), self.return_tokens(budget, tokens)).await;
        let done = matches!(returned, Ok(Ok(())));
        tracing::info!(customer = %budget.customer, tokens, done, "returned tokens before stopping");
        done
    }

    /// Whether the store responded recently.
    fn is_store_responsive(&self) -> bool {
        let now = Instant::now();
        let session = *self.session();
        !self.is_store_paused()
            && session.mode(now) == SessionMode::Attached
            && !session.is_overdue(now)
    }

    /// Adds tokens that a peer hands back or over.
    pub fn take_back(&self, customer: &CustomerId, tokens: Tokens) {
        let budget = self.budget(customer);
        budget.state().lent.take_back(tokens, Instant::now());
        self.receive(customer, tokens);
    }

    /// Adds tokens that a peer gave or handed over.
    pub fn receive(&self, customer: &CustomerId, tokens: Tokens) {
        let budget = self.budget(customer);
        budget.state().received += tokens;
        self.ledger().credit(customer, tokens);
    }

    /// Periodically draws grants ahead of demand and returns excess tokens.
    pub async fn rebalance(
        self: Arc<Self>,
        prepaid_budgets: impl Fn() -> Vec<(CustomerId, Tokens)>,
    ) {
        let jitter = rand::rng().random_range(0..PREFETCH_JITTER_MS);
        let start = Instant::now() + Duration::from_millis(PREFETCH_DELAY_MS + jitter);
        while Instant::now() < start && !self.may_inherit() {
            self.learn_draws(&prepaid_budgets()).await;
            tokio::time::sleep(INHERIT_POLL).await;
        }
        let mut tick = tokio::time::interval(REBALANCE_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let prepaid_budgets = prepaid_budgets();
            self.learn_draws(&prepaid_budgets).await;
            let prefetch = prepaid_budgets.len() <= PREFETCH_CUSTOMERS;
            for (customer, prepaid) in prepaid_budgets {
                let draws_ahead =
                    prefetch && (self.peers.is_owner(&customer) || self.may_inherit());
                if draws_ahead || self.budgets().contains_key(&customer) {
                    let budget = self.budget(&customer);
                    budget.raise_prepaid(prepaid);
                    self.rebalance_budget(&budget).await;
                }
            }
            if self.is_large() && self.has_untaken_accounts() {
                tick.reset_after(INHERIT_RETRY);
            }
        }
    }

    /// Whether accounts of the previous run may not be taken over yet.
    fn has_untaken_accounts(&self) -> bool {
        self.may_inherit()
            && self.budgets().values().any(|budget| {
                let account = budget.account.try_lock();
                account.map_or(true, |account| {
                    !account.is_known() || account.holds_previous_run()
                })
            })
    }

    /// Whether the previous run left accounts that can be taken over.
    fn may_inherit(&self) -> bool {
        matches!(*self.predecessor(), Some(PredecessorEnd::Attached { .. }))
    }

    async fn rebalance_budget(self: &Arc<Self>, budget: &Arc<CustomerBudget>) {
        let excess = {
            let mut account = budget.account.lock().await;
            let pool_stale = std::mem::take(&mut budget.state().pool_stale);
            if pool_stale && let Err(shortage) = self.read_accounts(budget, &mut account).await {
                tracing::info!(customer = %budget.customer, ?shortage, "failed to read the accounts again");
            }
            if account.is_known() {
                let target_grant = self.target_grant(budget, &account);
                let is_owner = self.peers.is_owner(&budget.customer);
                let target_grant = if is_owner {
                    target_grant
                } else {
                    budget.kept_ahead()
                };
                let spendable = self.spendable(&budget.customer);
                // Tokens that only came from peers go back to owners after each request.
                let was_drawn = is_owner || account.stored().granted > 0;
                // The margin avoids returning tokens that are soon drawn again.
                if was_drawn && spendable > target_grant + target_grant / 2 {
                    spendable - target_grant
                } else {
                    0
                }
            } else {
                0
            }
        };
        if excess == 0 {
            // Even a router that owns no grant must take over the account of the previous run.
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
        let returned = self.ledger().reserve_outgoing(&budget.customer, spare);
        account.add_return(returned);
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
        let hold_id = self.next_hold.fetch_add(1, Ordering::Relaxed);
        let hold_id = RequestId::from(hold_id.to_string());
        self.ledger()
            .hold(&budget.customer, &hold_id, amount)
            .ok()?;
        budget.state().demand_rate.add(amount, Instant::now());
        Some(BudgetHold {
            manager: self.clone(),
            request: request.clone(),
            hold_id,
            charge: 0,
            input: None,
        })
    }

    /// Refills a grant ahead of demand, unless the store failed recently.
    async fn refill_ahead(&self, budget: &CustomerBudget) {
        if self.is_store_paused() {
            return;
        }
        if let Err(shortage) = self.refill(None, budget, 0).await {
            tracing::info!(customer = %budget.customer, ?shortage, "failed to refill a grant ahead of need");
        }
    }

    /// Starts a refill in the background if this router owns a grant and few tokens of it are left.
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
        let (manager, budget) = (self.clone(), budget.clone());
        tokio::spawn(async move {
            manager.refill_ahead(&budget).await;
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
            let rows_known = account.is_known() && !account.holds_previous_run();
            let available = self.spendable(&budget.customer) + account.free(budget.state().prepaid);
            if rows_known && amount > available {
                // The grant and the pool together do not cover the request.
                break;
            }
            let may_draw = AtomicBool::new(false);
            self.commit_change(budget, &mut account, amount, |account| {
                may_draw.store(true, Ordering::Relaxed);
                self.draw_amount(budget, account, amount)
            })
            .await?;
            // The change that takes over an account draws nothing.
            let draws_next = !may_draw.into_inner() && self.is_large();
            if (amount == 0 && !draws_next) || (amount > 0 && self.covers(budget, amount)) {
                return Ok(());
            }
        }
        if self.spendable(&budget.customer) >= amount
            || account.free(budget.state().prepaid) >= amount
        {
            return Err(BudgetShortage::HeldElsewhere);
        }
        // Only a fresh read of all accounts can prove that the budget is spent.
        self.read_accounts(budget, &mut account).await?;
        let prepaid = budget.state().prepaid;
        // What running requests hold counts as consumed: they may use all of it.
        let own =
            self.spendable(&budget.customer) + account.unconfirmed() + account.pending_return();
        let pool = ExhaustedPool {
            until: Instant::now() + EXHAUSTED_PAUSE,
            free: account.free(prepaid),
            reachable: account.free(prepaid) + account.others_unspent() + own,
        };
        let shortage = pool.shortage_of(amount);
        tracing::info!(
            request = request.map(|id| id.as_str()), customer = %budget.customer, amount, prepaid, free = account.free(prepaid),
            others = account.others_unspent(), ?shortage, "the total does not cover a request"
        );
        budget.state().exhausted = Some(pool);
        Err(shortage)
    }

    /// Commits one change of an account; `draw` returns the tokens to draw, given the known rows.
    async fn commit_change(
        &self,
        budget: &CustomerBudget,
        account: &mut CustomerAccount,
        amount: Tokens,
        draw: impl Fn(&CustomerAccount) -> Tokens,
    ) -> Result<(), BudgetShortage> {
        match *self.predecessor() {
            None => return Err(BudgetShortage::StoreAway),
            Some(PredecessorEnd::Attached { boot, late }) => account.set_predecessor(boot, late),
            Some(PredecessorEnd::Unknown | PredecessorEnd::BeforeRestore) => {}
        }
        for _ in 0..CONFLICT_ATTEMPTS {
            self.adopt_era(budget, account);
            if !account.is_known() {
                self.read_accounts(budget, account).await?;
            }
            self.confirm_draws(budget, account).await;
            let prepaid = budget.state().prepaid;
            // The change that takes over an account draws nothing, so that it does not conflict
            // with other routers over the pool row.
            let draw = if account.holds_previous_run() {
                0
            } else {
                draw(account)
            };
            let spendable = self.spendable(&budget.customer) + draw + account.inheritable();
            let charged = self.consumed(budget) - self.ledger().held(&budget.customer);
            let expected = budget
                .state()
                .demand_rate
                .expected(OPEN_TIME, Instant::now());
            let idle = budget.state().idle_tokens(spendable);
            let allowance = expected.max(idle).max(amount);
            let allowance = allowance.min(spendable);
            let received = budget.state().received;
            let usage = AccountUsage {
                charged,
                received,
                open: self.consumed(budget) + allowance - charged,
                late_rate: self.late_rate(budget, spendable),
            };
            let Some(change) = account.change(prepaid, draw, usage) else {
                return Ok(());
            };
            let (inherited, stranded) = (account.inheritable(), account.stranded());
            let limit = SpendLimit {
                tokens: usage.charged + usage.open,
                received,
                late_rate: usage.late_rate,
            };
            budget.state().push_limit(limit);
            // If the call is cancelled, its outcome is unknown.
            account.mark_unknown();
            let reply = self.rows.transact(change.transaction.clone()).await;
            if self.current_era() != account.era() {
                // The change affects only rows of an earlier era.
                continue;
            }
            match reply {
                Ok(RowReply::Committed { version, .. }) => {
                    let granted = account.apply_commit(&change, version);
                    account.mark_known();
                    if inherited + stranded > 0 {
                        tracing::info!(customer = %budget.customer, inherited, stranded, "took over the account of an earlier run");
                    }
                    let draw = draw.min(granted);
                    self.ledger().credit(&budget.customer, granted - draw);
                    account.add_unconfirmed(draw, Instant::now());
                    budget.state().commit_limit(limit, allowance);
                    tracing::info!(customer = %budget.customer, granted, version, room = allowance, free = account.free(prepaid), prepaid, charged, "account changed");
                    self.confirm_draws(budget, account).await;
                    return Ok(());
                }
                Ok(RowReply::Conflict(rows)) => {
                    budget.state().pop_limit();
                    account.load_conflict(&rows, Instant::now());
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
        tracing::warn!(customer = %budget.customer, "account change failed after repeated conflicts");
        Err(BudgetShortage::HeldElsewhere)
    }

    /// Reads the accounts of a customer. The first router that does so in a new era starts it.
    async fn read_accounts(
        &self,
        budget: &CustomerBudget,
        account: &mut CustomerAccount,
    ) -> Result<(), BudgetShortage> {
        for _ in 0..CONFLICT_ATTEMPTS {
            let page = self.rows.read(SPEND_TABLE, &budget.customer).await;
            let page = page.map_err(|error| {
                tracing::warn!(customer = %budget.customer, %error, "failed to read the accounts");
                self.pause_store();
                BudgetShortage::StoreAway
            })?;
            self.adopt_era(budget, account);
            if era_of(page.version) != account.era() {
                continue;
            }
            match account.load_all(&page.rows, Instant::now()) {
                LoadedRows::Known => {
                    let mut state = budget.state();
                    // Nobody can take over an account that is not written in the era yet.
                    state.limit = if account.era() > FIRST_ERA && account.is_carried() {
                        SpendLimit::UNLIMITED
                    } else {
                        SpendLimit::of(account.stored())
                    };
                    let known = account.all_totals();
                    merge_totals(
                        &mut state.known_draws,
                        known.iter().map(|(vm, totals)| (vm, *totals)),
                    );
                    state.knows_earlier_draws = true;
                    return Ok(());
                }
                LoadedRows::Unjoined(copy) => self.start_era(budget, account, &copy).await?,
            }
        }
        Err(BudgetShortage::HeldElsewhere)
    }

    /// If a recent read found that the grant and the pool together do not cover `amount`, returns
    /// the reason.
    fn known_shortage(
        &self,
        budget: &CustomerBudget,
        amount: Tokens,
        now: Instant,
    ) -> Option<BudgetShortage> {
        let missing = amount.saturating_sub(self.spendable(&budget.customer));
        budget.state().shortage_at(now, amount, missing)
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
        let mut pause_end = self.lock_pause_end();
        *pause_end = Some(Instant::now() + STORE_PAUSE);
    }

    fn is_store_paused(&self) -> bool {
        self.lock_pause_end()
            .is_some_and(|until| until > Instant::now())
    }

    fn lock_pause_end(&self) -> MutexGuard<'_, Option<Instant>> {
        self.store_pause_end
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Growth rate of the open tokens while a heartbeat is late, in tokens per second.
    fn late_rate(&self, budget: &CustomerBudget, spendable: Tokens) -> Tokens {
        let rate = budget.state().demand_rate.at(Instant::now()) * LATE_DEMAND_FACTOR;
        (rate as Tokens).max(budget.state().idle_tokens(spendable))
    }

    /// Tokens that this router should hold: its share of the remaining tokens of the budget.
    fn target_grant(&self, budget: &CustomerBudget, account: &CustomerAccount) -> Tokens {
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

    /// Tokens to draw: none while the grant covers the request and at least half of the target
    /// grant is left; otherwise up to the target grant, and at least what the request lacks.
    fn draw_amount(
        &self,
        budget: &CustomerBudget,
        account: &CustomerAccount,
        request: Tokens,
    ) -> Tokens {
        let target_grant = self.target_grant(budget, account);
        let spendable = self.spendable(&budget.customer) + account.unconfirmed();
        let free = account.free(budget.state().prepaid) + account.pending_return();
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
            account: AsyncMutex::new(CustomerAccount::new(customer.clone(), vm, boot)),
            state: Mutex::default(),
        });
        budgets.insert(customer.clone(), budget.clone());
        budget
    }

    fn leftovers(&self) -> MutexGuard<'_, HashSet<CustomerId>> {
        self.leftovers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn ledger(&self) -> MutexGuard<'_, GrantLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budgets(&self) -> MutexGuard<'_, HashMap<CustomerId, Arc<CustomerBudget>>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
