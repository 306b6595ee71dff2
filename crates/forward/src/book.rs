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
    contact::{ContactMode, StoreLink},
    tab::{DrainedPool, SpendLimit, SpendTab},
    total::{AccountUse, SPEND_TABLE, TotalAccount},
};

/// Part of the remaining tokens that all routers together hold at most. It covers outages of the
/// store of a quarter of the time for which a total lasts, at twice the usual demand; the rest is
/// what a crash of every router leaves.
const STANDING_SHARE: f64 = 0.75;
/// Time of own demand that is open to consumption before the next write. An account is written again
/// when half of it is used, and the other half lasts until a heartbeat is late. A crash loses the
/// open tokens, and a budget counts as spent by callers' bounds when 3 in 100 are left, about 1.3
/// seconds of the demand for which a total is made on the users' platform.
const OPEN_COVER: Duration = Duration::from_millis(900);
/// Growth of the open tokens while a heartbeat is late, in multiples of the own demand; the demand
/// may rise during an outage.
const LATE_DEMAND: f64 = 1.2;
/// Smallest growth a second as a part of the grant, as a divisor, for customers without recent
/// demand.
const LATE_FLOOR: Tokens = 16;
/// Longest time in which a router that gives tokens opens more of its grant; a few transactions.
const GIVE_WAIT: Duration = Duration::from_millis(60);
/// Time between two looks at whether a stopping router is detached.
const DETACH_POLL: Duration = Duration::from_millis(20);
/// Time between two looks at whether a restart has accounts to take over.
const INHERIT_POLL: Duration = Duration::from_millis(50);
/// Smallest open part of a grant, as a divisor, for customers without recent demand.
const OPEN_FLOOR: Tokens = 16;
/// Changes that one request waits for when others use up what is open.
const OPEN_TRIES: u32 = 3;
/// Customers up to which every router draws a grant before it sees a request, so that an outage
/// finds none without tokens.
const ADVANCE_CUSTOMERS: usize = 64;
/// Wait before the first grants are drawn, until routers that start together know each other, and
/// its random part, so that they do not conflict; both in ms.
const ADVANCE_WAIT_MS: u64 = 2_500;
const ADVANCE_SPREAD_MS: u64 = 2_000;
/// Tries of a change against conflicts with other routers.
const CONFLICT_TRIES: u32 = 8;
/// Time in which the store is not asked again after it failed, so that requests turn to peers at
/// once. A failure is noticed after up to 1.5 s.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Time in which peers move their tokens and totals are read again.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Time in which a pool that was found without enough tokens is not asked again; excess tokens of
/// other routers come back to it every [`REBALANCE_INTERVAL`].
const DRAINED_PAUSE: Duration = Duration::from_millis(500);
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
    fn is_keeper(&self, customer: &CustomerId) -> bool;
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
pub struct SpendBook {
    holder: HolderId,
    rows: Arc<dyn RowPort>,
    peers: Arc<dyn TokenPeers>,
    ledger: Mutex<GrantLedger>,
    tabs: Mutex<HashMap<CustomerId, Arc<SpendTab>>>,
    store_paused: Mutex<Option<Instant>>,
    link: Mutex<StoreLink>,
    predecessor: Mutex<Option<PredecessorEnd>>,
    holders: AtomicU64,
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
    book: Arc<SpendBook>,
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

impl SpendBook {
    /// Starts without any tokens.
    pub fn new(holder: HolderId, rows: Arc<dyn RowPort>, peers: Arc<dyn TokenPeers>) -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::new(GrantLedger::new(holder.clone())),
            holder,
            rows,
            peers,
            tabs: Mutex::default(),
            store_paused: Mutex::default(),
            link: Mutex::default(),
            predecessor: Mutex::default(),
            holders: AtomicU64::new(1),
            next_hold: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        })
    }

    /// Sets the number of routers that share the totals.
    pub fn set_holders(&self, holders: usize) {
        let holders = u64::try_from(holders).unwrap_or(u64::MAX).max(1);
        self.holders.store(holders, Ordering::Relaxed);
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
        let tab = self.tab(customer);
        let now = Instant::now();
        tab.raise(prepaid);
        tab.demand().note_size(amount);
        if let Some(hold) = self.try_hold(&tab, request, amount) {
            self.refill_soon(&tab);
            return Ok(hold);
        }
        if !self.peers.is_keeper(customer) {
            self.ask_peers(request, &tab, amount, None, deadline).await;
            if let Some(hold) = self.try_hold(&tab, request, amount) {
                return Ok(hold);
            }
        }
        let drained = self.drained(&tab, amount, now);
        let shortage = if let Some(shortage) = drained {
            shortage
        } else {
            match timeout_at(deadline.into(), self.refill(Some(request), &tab, amount)).await {
                Ok(Ok(())) => BudgetShortage::HeldElsewhere,
                Ok(Err(shortage)) => shortage,
                Err(_) => {
                    self.pause_store();
                    BudgetShortage::StoreAway
                }
            }
        };
        if let Some(hold) = self.try_hold(&tab, request, amount) {
            return Ok(hold);
        }
        if shortage != BudgetShortage::Spent && self.peers.is_keeper(customer) {
            self.ask_peers(request, &tab, amount, Some(shortage), deadline)
                .await;
        }
        self.try_hold(&tab, request, amount).ok_or(shortage)
    }

    /// Asks peers for what a request lacks. Tokens that arrive after `deadline` serve later requests.
    async fn ask_peers(
        self: &Arc<Self>,
        request: &RequestId,
        tab: &SpendTab,
        amount: Tokens,
        shortage: Option<BudgetShortage>,
        deadline: Instant,
    ) {
        let (book, customer) = (self.clone(), tab.customer.clone());
        let missing = amount.saturating_sub(self.room(tab).min(self.spendable(&customer)));
        let is_keeper = self.peers.is_keeper(&customer);
        let ahead = tab.demand().ask_ahead(is_keeper, Instant::now());
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
            %request, customer = %tab.customer, missing, given,
            shortage = shortage.map(tracing::field::debug), "asked peers for tokens"
        );
    }

    /// Gives tokens to a peer that has a request to serve; a keeper opens more of its grant first
    /// when it has to.
    pub async fn give(self: &Arc<Self>, customer: &CustomerId, wanted: Tokens) -> Tokens {
        let tab = self.tab(customer);
        let is_keeper = self.peers.is_keeper(customer);
        let may_open = self.drained(&tab, wanted, Instant::now()).is_none();
        if is_keeper && may_open && !self.covers(&tab, wanted) && tab.demand().prepaid > 0 {
            let deadline = Instant::now() + GIVE_WAIT;
            // A shortage shows in what can be given.
            let _ = timeout_at(deadline.into(), self.refill(None, &tab, wanted)).await;
        }
        let given = self.take_out(&tab, wanted);
        if is_keeper {
            tab.demand().rate.add(given, Instant::now());
            self.refill_soon(&tab);
        }
        given
    }

    /// Takes tokens out of the ledger, as far as they may be consumed.
    fn take_out(&self, tab: &SpendTab, wanted: Tokens) -> Tokens {
        let room = self.room(tab);
        let given = self.ledger().begin_return(&tab.customer, wanted.min(room));
        let mut demand = tab.demand();
        demand.given += given;
        demand.stale |= given < wanted;
        given
    }

    /// Contact with the store.
    pub fn link(&self) -> MutexGuard<'_, StoreLink> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When a request that was refused for its budget may find tokens.
    pub fn retry_at(&self, now: Instant) -> Instant {
        let detaches = self.link().detaches_at(now);
        detaches.unwrap_or(now + RETRY_PAUSE)
    }

    /// Says how the run before this one ended. Accounts are not changed before that is known.
    pub fn set_predecessor(&self, end: PredecessorEnd) {
        *self.predecessor() = Some(end);
    }

    /// Writes all accounts that consumed more than they left open; `false` when one could not be
    /// written.
    pub async fn write_overdrawn(&self) -> bool {
        let tabs: Vec<Arc<SpendTab>> = self.tabs().values().cloned().collect();
        for tab in tabs {
            if self.consumed(&tab) <= tab.demand().allowed(Duration::ZERO) {
                continue;
            }
            let mut account = tab.account.lock().await;
            if self.apply(&tab, &mut account, 0, |_| 0).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Tokens consumed, held and given so far.
    fn consumed(&self, tab: &SpendTab) -> Tokens {
        let given = tab.demand().given;
        let ledger = self.ledger();
        ledger.charged(&tab.customer) + ledger.held(&tab.customer) + given
    }

    /// Tokens that may be consumed before the next write.
    fn room(&self, tab: &SpendTab) -> Tokens {
        let now = Instant::now();
        let link = *self.link();
        let late = match link.mode(now) {
            ContactMode::Detached => return Tokens::MAX,
            ContactMode::Late => link.late_time(now),
            ContactMode::Attached | ContactMode::Attaching => Duration::ZERO,
        };
        let allowed = tab.demand().allowed(late);
        allowed.saturating_sub(self.consumed(tab))
    }

    /// Hands back all tokens that no request holds, to the store or, while it does not answer, to
    /// peers. They get whole grants only once this router is detached, which is waited for.
    pub async fn return_all(&self, deadline: Instant) {
        self.closed.store(true, Ordering::Relaxed);
        let tabs: Vec<Arc<SpendTab>> = self.tabs().values().cloned().collect();
        let mut left = Vec::new();
        for tab in tabs {
            if !self.return_spare(&tab, deadline).await {
                left.push(tab);
            }
        }
        while !left.is_empty() && Instant::now() < deadline {
            let is_detached = self.link().mode(Instant::now()) == ContactMode::Detached;
            if is_detached || self.has_contact() {
                break;
            }
            tokio::time::sleep(DETACH_POLL).await;
        }
        for tab in left {
            if self.return_spare(&tab, deadline).await {
                continue;
            }
            let tokens = self.take_out(&tab, self.spendable(&tab.customer));
            let kept = self.peers.deposit(&tab.customer, tokens).await;
            tracing::info!(customer = %tab.customer, tokens, kept, "gave tokens to a peer at the stop");
        }
    }

    /// Returns what no request holds to the store; `false` when it does not answer.
    async fn return_spare(&self, tab: &SpendTab, deadline: Instant) -> bool {
        if !self.has_contact() {
            return false;
        }
        let tokens = self.spendable(&tab.customer);
        let returned = timeout_at(deadline.into(), self.hand_back(tab, tokens)).await;
        let done = matches!(returned, Ok(Ok(())));
        tracing::info!(customer = %tab.customer, tokens, done, "returned tokens at the stop");
        done
    }

    /// Whether the store answered a moment ago.
    fn has_contact(&self) -> bool {
        let now = Instant::now();
        let link = *self.link();
        !self.is_store_paused() && link.mode(now) == ContactMode::Attached && !link.is_waiting(now)
    }

    /// Adds tokens that a peer hands over.
    pub fn receive(&self, customer: &CustomerId, tokens: Tokens) {
        let tab = self.tab(customer);
        tab.demand().received += tokens;
        self.ledger().credit(customer, tokens);
    }

    /// Draws grants ahead of demand and hands back what exceeds them, again and again.
    pub async fn rebalance(self: Arc<Self>, totals: impl Fn() -> Vec<(CustomerId, Tokens)>) {
        let spread = rand::rng().random_range(0..ADVANCE_SPREAD_MS);
        let start = Instant::now() + Duration::from_millis(ADVANCE_WAIT_MS + spread);
        while Instant::now() < start && !self.may_inherit() {
            tokio::time::sleep(INHERIT_POLL).await;
        }
        let mut tick = tokio::time::interval(REBALANCE_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let totals = totals();
            let advance = totals.len() <= ADVANCE_CUSTOMERS;
            for (customer, prepaid) in totals {
                let keeps = advance && (self.peers.is_keeper(&customer) || self.may_inherit());
                if keeps || self.tabs().contains_key(&customer) {
                    let tab = self.tab(&customer);
                    tab.raise(prepaid);
                    self.balance(&tab).await;
                }
            }
        }
    }

    /// Whether a run before this one left accounts that can be taken over.
    fn may_inherit(&self) -> bool {
        matches!(*self.predecessor(), Some(PredecessorEnd::Attached { .. }))
    }

    async fn balance(self: &Arc<Self>, tab: &Arc<SpendTab>) {
        let excess = {
            let mut account = tab.account.lock().await;
            let stale = std::mem::take(&mut tab.demand().stale);
            if stale && let Err(shortage) = self.read_all(tab, &mut account).await {
                tracing::info!(customer = %tab.customer, ?shortage, "the accounts stay as known");
            }
            if account.is_known() {
                let target = self.target(tab, &account);
                let target = if self.peers.is_keeper(&tab.customer) {
                    target
                } else {
                    // What requests left over serves the next ones.
                    2 * tab.demand().largest
                };
                let spendable = self.spendable(&tab.customer);
                // The margin avoids moves back and forth.
                if spendable > target + target / 2 {
                    spendable - target
                } else {
                    0
                }
            } else {
                0
            }
        };
        if excess == 0 {
            // An account of an earlier run is taken over even where no grant is kept.
            self.refill_when_low(tab);
            return;
        }
        let done = self.hand_back(tab, excess).await.is_ok();
        tracing::info!(customer = %tab.customer, tokens = excess, done, "returned excess tokens");
    }

    async fn hand_back(&self, tab: &SpendTab, spare: Tokens) -> Result<(), BudgetShortage> {
        let mut account = tab.account.lock().await;
        let taken = self.ledger().begin_return(&tab.customer, spare);
        account.set_aside(taken);
        self.apply(tab, &mut account, 0, |_| 0).await
    }

    fn try_hold(
        self: &Arc<Self>,
        tab: &SpendTab,
        request: &RequestId,
        amount: Tokens,
    ) -> Option<BudgetHold> {
        if self.room(tab) < amount {
            return None;
        }
        let number = self.next_hold.fetch_add(1, Ordering::Relaxed);
        let number = RequestId::from(number.to_string());
        self.ledger().hold(&tab.customer, &number, amount).ok()?;
        tab.demand().rate.add(amount, Instant::now());
        Some(BudgetHold {
            book: self.clone(),
            request: request.clone(),
            number,
            charge: 0,
        })
    }

    /// Refills a grant once half of it is used.
    async fn refill_ahead(&self, tab: &SpendTab) {
        if self.is_store_paused() {
            return;
        }
        if let Err(shortage) = self.refill(None, tab, 0).await {
            tracing::info!(customer = %tab.customer, ?shortage, "a refill ahead of need failed");
        }
    }

    /// Starts a refill in the background unless one is running.
    fn refill_soon(self: &Arc<Self>, tab: &Arc<SpendTab>) {
        if !self.peers.is_keeper(&tab.customer) {
            return;
        }
        self.refill_when_low(tab);
    }

    fn refill_when_low(self: &Arc<Self>, tab: &Arc<SpendTab>) {
        let spendable = self.spendable(&tab.customer);
        let room = self.room(tab);
        let mut demand = tab.demand();
        let below = demand.refill_below.is_none_or(|below| spendable < below);
        let low = below || room < demand.write_below.min(spendable);
        if demand.refilling || !low {
            return;
        }
        demand.refilling = true;
        drop(demand);
        let (book, tab) = (self.clone(), tab.clone());
        tokio::spawn(async move {
            book.refill_ahead(&tab).await;
            tab.demand().refilling = false;
        });
    }

    async fn refill(
        &self,
        request: Option<&RequestId>,
        tab: &SpendTab,
        amount: Tokens,
    ) -> Result<(), BudgetShortage> {
        let mut account = tab.account.lock().await;
        if self.is_store_paused() || self.closed.load(Ordering::Relaxed) {
            return Err(BudgetShortage::StoreAway);
        }
        if amount > 0 && self.covers(tab, amount) {
            return Ok(());
        }
        for _ in 0..OPEN_TRIES {
            let known = account.is_known() && !account.is_foreign();
            let most = self.spendable(&tab.customer) + account.free(tab.demand().prepaid);
            if known && amount > most {
                // A write would not help this request.
                break;
            }
            self.apply(tab, &mut account, amount, |account| {
                self.take(tab, account, amount)
            })
            .await?;
            if amount == 0 || self.covers(tab, amount) {
                return Ok(());
            }
        }
        if self.spendable(&tab.customer) >= amount || account.free(tab.demand().prepaid) >= amount {
            return Err(BudgetShortage::HeldElsewhere);
        }
        // Only a fresh look at all accounts can prove that the total is spent.
        self.read_all(tab, &mut account).await?;
        let prepaid = tab.demand().prepaid;
        let reachable =
            account.free(prepaid) + account.held_by_others() + self.spendable(&tab.customer);
        let shortage = if amount > reachable {
            BudgetShortage::Spent
        } else {
            BudgetShortage::HeldElsewhere
        };
        tracing::info!(
            request = request.map(|id| id.as_str()), customer = %tab.customer, amount, prepaid, free = account.free(prepaid),
            others = account.held_by_others(), ?shortage, "the total does not cover a request"
        );
        tab.demand().drained = Some(DrainedPool {
            until: Instant::now() + DRAINED_PAUSE,
            free: account.free(prepaid),
            shortage,
        });
        Err(shortage)
    }

    /// Commits one change of an account; `take` says how much to draw, given the rows as known.
    async fn apply(
        &self,
        tab: &SpendTab,
        account: &mut TotalAccount,
        amount: Tokens,
        take: impl Fn(&TotalAccount) -> Tokens,
    ) -> Result<(), BudgetShortage> {
        match *self.predecessor() {
            None => return Err(BudgetShortage::StoreAway),
            Some(PredecessorEnd::Attached { boot, late }) => account.inherit(boot, late),
            Some(PredecessorEnd::Unknown) => {}
        }
        for _ in 0..CONFLICT_TRIES {
            if !account.is_known() {
                self.read_all(tab, account).await?;
            }
            let prepaid = tab.demand().prepaid;
            // An account is taken over by itself, so that this does not conflict over the pool.
            let take = if account.is_foreign() {
                0
            } else {
                take(account)
            };
            let spendable = self.spendable(&tab.customer) + take + account.inheritance();
            let charged = self.consumed(tab) - self.ledger().held(&tab.customer);
            let expected = tab.demand().rate.expect(OPEN_COVER, Instant::now());
            let room = expected.max(spendable / OPEN_FLOOR).max(amount);
            let room = room.min(spendable);
            let received = tab.demand().received;
            let usage = AccountUse {
                charged,
                received,
                open: self.consumed(tab) + room - charged,
                late_rate: self.late_rate(tab, spendable),
            };
            let Some(change) = account.change(prepaid, take, usage) else {
                return Ok(());
            };
            let (inherited, stranded) = (account.inheritance(), account.stranded());
            let limit = SpendLimit {
                tokens: usage.charged + usage.open,
                received,
                late_rate: usage.late_rate,
            };
            tab.demand().expect_limit(limit);
            // A cancelled call leaves the outcome unknown.
            account.doubt();
            match self.rows.transact(change.transaction.clone()).await {
                Ok(RowReply::Committed { version, .. }) => {
                    let granted = account.committed(&change, version);
                    account.trust();
                    if inherited + stranded > 0 {
                        tracing::info!(customer = %tab.customer, inherited, stranded, "took over the account of an earlier run");
                    }
                    self.ledger().credit(&tab.customer, granted);
                    tab.demand().set_limit(limit, room);
                    tracing::info!(customer = %tab.customer, granted, version, room, free = account.free(prepaid), "account changed");
                    return Ok(());
                }
                Ok(RowReply::Conflict(rows)) => {
                    tab.demand().drop_limit();
                    let granted = account.adopt_conflict(&rows);
                    self.ledger().credit(&tab.customer, granted);
                    let pause = rand::rng().random_range(0..CONFLICT_PAUSE_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
                Err(error) => {
                    tracing::warn!(customer = %tab.customer, %error, "an account could not be changed");
                    self.pause_store();
                    if error.category() == Category::Unavailable {
                        tab.demand().drop_limit();
                        account.trust();
                    }
                    return Err(BudgetShortage::StoreAway);
                }
            }
        }
        tracing::warn!(customer = %tab.customer, "gave up a change of an account after conflicts");
        Err(BudgetShortage::HeldElsewhere)
    }

    async fn read_all(
        &self,
        tab: &SpendTab,
        account: &mut TotalAccount,
    ) -> Result<(), BudgetShortage> {
        let page = self.rows.read(SPEND_TABLE, &tab.customer).await;
        let page = page.map_err(|error| {
            tracing::warn!(customer = %tab.customer, %error, "the accounts could not be read");
            self.pause_store();
            BudgetShortage::StoreAway
        })?;
        let granted = account.adopt_all(&page.rows);
        tab.demand().limit = SpendLimit::of(account.stored());
        self.ledger().credit(&tab.customer, granted);
        Ok(())
    }

    /// Why own tokens and the pool do not cover an amount, as of a moment ago.
    fn drained(&self, tab: &SpendTab, amount: Tokens, now: Instant) -> Option<BudgetShortage> {
        let missing = amount.saturating_sub(self.spendable(&tab.customer));
        tab.demand().drained_at(now, missing)
    }

    fn covers(&self, tab: &SpendTab, amount: Tokens) -> bool {
        self.spendable(&tab.customer) >= amount && self.room(tab) >= amount
    }

    fn predecessor(&self) -> MutexGuard<'_, Option<PredecessorEnd>> {
        self.predecessor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn pause_store(&self) {
        let mut paused = self.paused();
        *paused = Some(Instant::now() + STORE_PAUSE);
    }

    fn is_store_paused(&self) -> bool {
        self.paused().is_some_and(|until| until > Instant::now())
    }

    fn paused(&self) -> MutexGuard<'_, Option<Instant>> {
        self.store_paused
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Growth of the open tokens while a heartbeat is late, in tokens a second.
    fn late_rate(&self, tab: &SpendTab, spendable: Tokens) -> Tokens {
        let demand = tab.demand().rate.at(Instant::now()) * LATE_DEMAND;
        (demand as Tokens).max(spendable / LATE_FLOOR)
    }

    /// Tokens that this router should hold: its part of the remaining ones.
    fn target(&self, tab: &SpendTab, account: &TotalAccount) -> Tokens {
        if !self.peers.is_keeper(&tab.customer) {
            return 0;
        }
        let prepaid = tab.demand().prepaid;
        let remaining = account.free(prepaid) + self.spendable(&tab.customer);
        let holders = self.holders.load(Ordering::Relaxed);
        let target = (remaining as f64 * STANDING_SHARE) as Tokens / holders;
        tab.demand().refill_below = Some(target / 2);
        target
    }

    /// Tokens to draw: up to the target once half of it is used, and always what a request needs.
    fn take(&self, tab: &SpendTab, account: &TotalAccount, request: Tokens) -> Tokens {
        let target = self.target(tab, account);
        let spendable = self.spendable(&tab.customer);
        let free = account.free(tab.demand().prepaid) + account.owes();
        let missing = request.saturating_sub(spendable);
        let ahead = if missing > 0 || spendable < target / 2 {
            target.saturating_sub(spendable)
        } else {
            0
        };
        missing.max(ahead).min(free)
    }

    fn tab(&self, customer: &CustomerId) -> Arc<SpendTab> {
        let mut tabs = self.tabs();
        if let Some(tab) = tabs.get(customer) {
            return tab.clone();
        }
        let HolderId { vm, boot } = self.holder.clone();
        let tab = Arc::new(SpendTab {
            customer: customer.clone(),
            account: AsyncMutex::new(TotalAccount::new(customer.clone(), vm, boot)),
            demand: Mutex::default(),
        });
        tabs.insert(customer.clone(), tab.clone());
        tab
    }

    fn ledger(&self) -> MutexGuard<'_, GrantLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tabs(&self) -> MutexGuard<'_, HashMap<CustomerId, Arc<SpendTab>>> {
        self.tabs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
