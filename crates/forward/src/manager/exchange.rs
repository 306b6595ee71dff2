//! Exchange of tokens between this router and its peers; see [`supply`](crate::supply).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use {
    jasminewall_core::{CustomerId, RequestId, Tokens},
    tokio::{task::JoinHandle, time::timeout_at},
};

use crate::{
    budget::CustomerBudget,
    manager::{BudgetManager, BudgetShortage},
    session::SessionMode,
    supply::{
        OwnerState, SUPPLY_TIMEOUT, SupplyAnswer, SupplyOutcome, SupplyOutlook, spread_delay,
    },
};

/// Longest time for which a router refills its grant before it gives tokens to a peer; enough for a
/// few transactions.
const GIVE_REFILL_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which a refused caller may retry. By then, peers have moved tokens and exhausted
/// budgets are read again.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

impl BudgetManager {
    /// When a request that was refused for lack of tokens may succeed: when an owner of a grant
    /// expects more. In a large fleet the returns of several callers are spread.
    pub fn retry_at(&self, customer: Option<&CustomerId>, now: Instant) -> Instant {
        if !self.is_large() {
            return now + RETRY_AFTER;
        }
        let more_at = customer.and_then(|customer| {
            let budget = self.budgets().get(customer).cloned();
            budget?.state().supply.more_at(now)
        });
        let delay = more_at.map_or(RETRY_AFTER, |at| at - now);
        now + spread_delay(delay, rand::random())
    }

    /// Gives tokens to a peer that has a request to serve. A router that owns a grant first refills
    /// it and opens more of it if necessary.
    pub async fn give(self: &Arc<Self>, customer: &CustomerId, wanted: Tokens) -> Tokens {
        self.give_counted(customer, wanted, false).await
    }

    /// Like [`Self::give`]. With `counts_unmet`, the tokens that are not given count as demand too.
    pub(super) async fn give_counted(
        self: &Arc<Self>,
        customer: &CustomerId,
        wanted: Tokens,
        counts_unmet: bool,
    ) -> Tokens {
        let budget = self.budget(customer);
        budget.state().last_amount = wanted;
        let is_owner = self.peers.is_owner(customer);
        let may_open = self
            .known_shortage(&budget, wanted, Instant::now())
            .is_none();
        if is_owner && may_open && !self.covers(&budget, wanted) && budget.state().prepaid > 0 {
            let deadline = Instant::now() + GIVE_REFILL_TIMEOUT;
            // A shortage reduces the given tokens.
            if !self.is_large() {
                let _ = timeout_at(deadline.into(), self.refill(None, &budget, wanted)).await;
            } else if !self.is_store_away(Instant::now()) {
                let refill = self.refill_detached(None, &budget, wanted);
                let _ = timeout_at(deadline.into(), refill).await;
            }
        }
        let given = self.withdraw(&budget, wanted);
        if is_owner {
            let now = Instant::now();
            let mut state = budget.state();
            let demand = if counts_unmet { wanted } else { given };
            state.demand_rate.add(demand, now);
            state.lent.lend(given, now);
            drop(state);
            self.maybe_refill(&budget);
        }
        given
    }

    /// Like [`Self::give`]. An owner of a grant that gives fewer tokens says when it expects more. If
    /// it is the first router that is asked, tokens that it does not give count as demand too, so that
    /// the growth of its open tokens follows the demand and not what it could give.
    pub async fn give_or_hint(
        self: &Arc<Self>,
        customer: &CustomerId,
        wanted: Tokens,
        is_first: bool,
    ) -> SupplyAnswer {
        let given = self.give_counted(customer, wanted, is_first).await;
        let budget = self.budget(customer);
        let (now, missing) = (Instant::now(), wanted.saturating_sub(given));
        let pool_shortage = self.known_shortage(&budget, wanted, now);
        let spendable = self.spendable(customer);
        let is_store_away = self.is_store_away(now);
        let state = budget.state();
        if missing == 0 || state.prepaid == 0 || !self.peers.is_owner(customer) {
            return SupplyAnswer {
                given,
                ..SupplyAnswer::default()
            };
        }
        let pool_read_at = state.exhausted.map(|pool| pool.until);
        let pool_read_in = pool_read_at.map(|at| at.saturating_duration_since(now));
        let owner = OwnerState {
            missing,
            spendable,
            late_rate: state.limit.late_rate,
            is_store_away,
            pool_read_in: pool_shortage.and(pool_read_in),
        };
        owner.answer(given, state.lent.recent(now))
    }

    /// Draws the tokens that a request lacks from the pool. Returns why the request gets none if it
    /// still lacks some.
    pub(super) async fn draw(
        self: &Arc<Self>,
        request: &RequestId,
        budget: &Arc<CustomerBudget>,
        amount: Tokens,
        supply: Option<SupplyOutcome>,
        now: Instant,
        deadline: Instant,
    ) -> BudgetShortage {
        if let Some(shortage) = self.known_shortage(budget, amount, now) {
            return shortage;
        }
        if !self.is_large() {
            let refill = self.refill(Some(request), budget, amount);
            return match timeout_at(deadline.into(), refill).await {
                Ok(Ok(())) => BudgetShortage::HeldElsewhere,
                Ok(Err(shortage)) => shortage,
                Err(_) => {
                    self.pause_store();
                    BudgetShortage::StoreAway
                }
            };
        }
        if self.is_store_away(Instant::now()) {
            return BudgetShortage::StoreAway;
        }
        if supply.is_some_and(|supply| supply.outlook == SupplyOutlook::Writing) {
            // An owner draws from the pool. Draws of all routers that lack tokens would conflict
            // with its own.
            return BudgetShortage::HeldElsewhere;
        }
        let refill = self.refill_detached(Some(request.clone()), budget, amount);
        match timeout_at(deadline.into(), refill).await {
            Ok(Ok(Err(shortage))) => shortage,
            Ok(Ok(Ok(()))) => BudgetShortage::HeldElsewhere,
            Ok(Err(_)) | Err(_) => BudgetShortage::StoreAway,
        }
    }

    /// Starts a refill that goes on if the caller stops to wait for it: a cancelled transaction has an
    /// unknown outcome. Its tokens serve later requests.
    pub(super) fn refill_detached(
        self: &Arc<Self>,
        request: Option<RequestId>,
        budget: &Arc<CustomerBudget>,
        amount: Tokens,
    ) -> JoinHandle<Result<(), BudgetShortage>> {
        let (manager, budget) = (self.clone(), budget.clone());
        tokio::spawn(async move {
            let refill = manager.refill(request.as_ref(), &budget, amount);
            let refilled = tokio::time::timeout(SUPPLY_TIMEOUT, refill).await;
            refilled.unwrap_or_else(|_| {
                manager.pause_store();
                Err(BudgetShortage::StoreAway)
            })
        })
    }

    /// Why a request gets no tokens. In a large fleet a budget is spent only if tokens that owners
    /// lent to other routers would not cover the request either.
    pub(super) fn final_shortage(
        &self,
        budget: &CustomerBudget,
        amount: Tokens,
        shortage: BudgetShortage,
        supply: Option<SupplyOutcome>,
    ) -> BudgetShortage {
        if shortage != BudgetShortage::Spent || !self.is_large() {
            return shortage;
        }
        let state = budget.state();
        let is_owner_heard = supply.is_some_and(|supply| supply.answers > 0);
        let lent = state.lent.recent(Instant::now()) + supply.map_or(0, |supply| supply.lent);
        let reachable = state.exhausted.map_or(0, |pool| pool.reachable) + lent;
        // Tokens that an owner gave since it wrote its account count twice.
        let reachable = reachable.min(state.prepaid);
        let is_owner = self.peers.is_owner(&budget.customer);
        if amount > reachable && (is_owner || is_owner_heard) {
            BudgetShortage::Spent
        } else {
            BudgetShortage::HeldElsewhere
        }
    }

    /// Asks peers for the tokens that a request lacks, unless they recently had too few. Tokens that
    /// arrive after `deadline` serve later requests. Returns the answers, if they came in time.
    pub(super) async fn ask_peers(
        self: &Arc<Self>,
        request: &RequestId,
        budget: &Arc<CustomerBudget>,
        amount: Tokens,
        shortage: Option<BudgetShortage>,
        deadline: Instant,
    ) -> Option<SupplyOutcome> {
        let (manager, customer) = (self.clone(), budget.customer.clone());
        let missing = amount.saturating_sub(self.allowance(budget).min(self.spendable(&customer)));
        if self.is_large()
            && let Some(known) = budget.state().supply.shortage(missing, Instant::now())
        {
            tracing::info!(
                %request, %customer, missing, outlook = ?known.outlook,
                "peers recently had too few tokens; not asked again"
            );
            self.count_ask("remembered");
            return Some(known);
        }
        let is_owner = self.peers.is_owner(&customer);
        let spendable = if self.is_large() {
            self.spendable(&customer).saturating_sub(amount)
        } else {
            0
        };
        let ahead = budget
            .state()
            .ask_ahead(is_owner, spendable, Instant::now());
        let asker = budget.clone();
        let call = tokio::spawn(async move {
            let outcome = manager.peers.ask(&customer, missing, missing + ahead).await;
            manager.receive(&customer, outcome.given);
            let mut state = asker.state();
            state.supply.record(missing, outcome, Instant::now());
            state.asking_ahead &= ahead == 0;
            outcome
        });
        let outcome = match timeout_at(deadline.into(), call).await {
            Ok(Ok(outcome)) => Some(outcome),
            _ => None,
        };
        let given = outcome.map(|outcome| outcome.given);
        self.count_ask(match given {
            Some(given) if given >= missing => "served",
            Some(_) => "short",
            None => "late",
        });
        tracing::info!(
            %request, customer = %budget.customer, missing, given,
            shortage = shortage.map(tracing::field::debug), "asked peers for tokens"
        );
        outcome
    }

    /// Asks peers for tokens of future demand before a request lacks them, if this router owns no
    /// grant and has used half of what it keeps.
    pub(super) fn maybe_ask_early(self: &Arc<Self>, budget: &Arc<CustomerBudget>) {
        if !self.is_large() || self.peers.is_owner(&budget.customer) {
            return;
        }
        let spendable = self.spendable(&budget.customer);
        let ahead = budget.state().ask_early(spendable, Instant::now());
        if ahead == 0 {
            return;
        }
        let (manager, budget) = (self.clone(), budget.clone());
        tokio::spawn(async move {
            let customer = &budget.customer;
            // The first owner that has any is enough; a request that lacks tokens asks all.
            let outcome = manager.peers.ask(customer, 1, ahead).await;
            manager.receive(customer, outcome.given);
            let mut state = budget.state();
            if outcome.given == 0 {
                state.supply.record(ahead, outcome, Instant::now());
            }
            state.asking_ahead = false;
            drop(state);
            manager.count_ask("early");
            tracing::debug!(%customer, ahead, given = outcome.given, "asked peers for tokens early");
        });
    }

    /// Whether a call to the store would only wait: a heartbeat is late or overdue, or a call failed
    /// recently.
    pub(super) fn is_store_away(&self, now: Instant) -> bool {
        let session = *self.session();
        let is_quiet = match session.mode(now) {
            SessionMode::Late => true,
            SessionMode::Attached => session.is_overdue(now),
            // The store has responded after the outage.
            SessionMode::Attaching => false,
        };
        self.is_store_paused() || is_quiet
    }

    pub(super) fn count_ask(&self, outcome: &str) {
        if let Some(metrics) = self.metrics.get() {
            metrics.asked_tokens(outcome);
        }
    }
}
