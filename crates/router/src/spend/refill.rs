//! Refills of the grant from the pool, and the explanation of a refusal for lack of tokens.

use std::collections::{BTreeMap, BTreeSet};

use {
    jasminewall_core::{
        BudgetId, Refusal, RefusalCode, Tokens,
        budget::{GrantRow, HolderKey, holder_key},
        commit::CommitState,
        shard_of,
        sizing::grant_size,
    },
    smol_str::SmolStr,
};

use super::{
    GRANT_COVER, RETRY_WAIT,
    commits::{self, WantedMove},
};
use crate::state::RouterState;

/// Requests that a refill covers at least while free tokens abound; without a forecast, each
/// request of a new holder would cost a write.
const FIRST_REQUESTS: Tokens = 16;

/// Result of a refill.
pub(super) enum RefillOutcome {
    /// The grant may cover the request now.
    Granted,
    /// Another commit came first; try again.
    Conflict,
    /// The grant and the free tokens together do not cover the request.
    Short {
        /// Free tokens of the pool.
        free: Tokens,
    },
    /// The platform cannot be reached, or the outcome of a commit is not known.
    Unreachable,
}

/// Tokens that waiting requests need; the refill that runs first covers them all.
struct WaitGuard<'a> {
    state: &'a RouterState,
    budget: &'a BudgetId,
    amount: Tokens,
}

impl<'a> WaitGuard<'a> {
    fn new(state: &'a RouterState, budget: &'a BudgetId, amount: Tokens) -> Self {
        let mut ledger = state.spend.ledger();
        *ledger.waiting.entry(budget.clone()).or_default() += amount;
        Self {
            state,
            budget,
            amount,
        }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut ledger = self.state.spend.ledger();
        let amount = self.amount;
        if let Some(waiting) = ledger.waiting.get_mut(self.budget) {
            *waiting = waiting.saturating_sub(amount);
        }
    }
}

/// Takes tokens from the pool for a request and, when the forecast says so, for those to come.
pub(super) async fn refill(
    state: &RouterState,
    budget: &BudgetId,
    amount: Tokens,
) -> RefillOutcome {
    let _waiting = WaitGuard::new(state, budget, amount);
    match try_refill(state, budget, amount).await {
        Ok(outcome) => outcome,
        Err(error) => {
            tracing::warn!(%error, %budget, "grant refill failed");
            RefillOutcome::Unreachable
        }
    }
}

async fn try_refill(
    state: &RouterState,
    budget: &BudgetId,
    amount: Tokens,
) -> anyhow::Result<RefillOutcome> {
    let shard = state.shard_of(budget);
    let slot = state.spend.slot(shard);
    let mut slot = slot.lock().await;
    if super::spendable(state, budget) >= amount {
        return Ok(RefillOutcome::Granted);
    }
    if slot.commit.plan().is_some() {
        return Ok(match commits::send(state, shard, &mut slot).await? {
            CommitState::Pending | CommitState::Closed => RefillOutcome::Unreachable,
            CommitState::Applied | CommitState::Aborted => RefillOutcome::Conflict,
        });
    }
    let free = free_tokens(state, budget).await?;
    if free + super::spendable(state, budget) < amount {
        return Ok(RefillOutcome::Short { free });
    }
    let size = grant_size(state.spend.ledger().forecast(budget, GRANT_COVER));
    let size = size.max(amount.saturating_mul(FIRST_REQUESTS));
    let moves = [WantedMove::Fill(budget.clone(), size)];
    Ok(
        match commits::commit(state, shard, &mut slot, &moves, amount).await? {
            CommitState::Applied => {
                tracing::info!(%budget, shard, "grant refilled");
                RefillOutcome::Granted
            }
            CommitState::Aborted => RefillOutcome::Conflict,
            CommitState::Pending | CommitState::Closed => RefillOutcome::Unreachable,
        },
    )
}

async fn free_tokens(state: &RouterState, budget: &BudgetId) -> anyhow::Result<Tokens> {
    let pool = commits::read_pool(state, state.shard_of(budget)).await?;
    let entry = pool.and_then(|(mut pool, _)| pool.budgets.remove(budget));
    Ok(entry.map_or(0, |entry| entry.free))
}

/// What is known of the tokens that the grant and the pool do not cover.
pub(super) struct RestView {
    /// Refusal, in case peers do not help.
    pub(super) refusal: Refusal,
    /// Whether the pool row and all grant rows prove that the budget does not cover the request.
    pub(super) is_spent: bool,
    /// Holders that have tokens by their rows.
    pub(super) holders: BTreeSet<HolderKey>,
}

impl RestView {
    fn out_of_reach(note: impl Into<SmolStr>) -> Self {
        Self {
            refusal: Refusal::new(RefusalCode::TokensOutOfReach)
                .retry_after(RETRY_WAIT)
                .note(note),
            is_spent: false,
            holders: BTreeSet::new(),
        }
    }

    /// View without the table service.
    pub(super) fn unreachable(state: &RouterState) -> Self {
        let domain = &state.setting.failure_domain;
        let peers = state.fleet.peers().len();
        Self::out_of_reach(format!(
            "What failure domain '{domain}' holds of the budget is spent; the table service cannot \
             be reached, and {peers} routers that can be reached have too few tokens."
        ))
    }
}

/// Reads where the rest of a budget is; it is proven to be spent only by all of its rows.
pub(super) async fn view(state: &RouterState, budget: &BudgetId, amount: Tokens) -> RestView {
    match read_rest(state, budget).await {
        Ok(Some(rest)) if rest.total() < amount => RestView {
            refusal: spent_refusal(rest.total(), amount),
            is_spent: true,
            holders: BTreeSet::new(),
        },
        Ok(Some(rest)) => RestView {
            holders: rest.elsewhere.keys().cloned().collect(),
            ..RestView::out_of_reach(rest.note(amount))
        },
        Ok(None) => RestView::out_of_reach(
            "The tokens of the budget are moving between routers; try again in a moment.",
        ),
        Err(error) => {
            tracing::warn!(%error, %budget, "the rest of the budget cannot be read");
            RestView::unreachable(state)
        }
    }
}

/// Refusal of a request that all tokens left of the budget together do not cover.
fn spent_refusal(left: Tokens, amount: Tokens) -> Refusal {
    let refusal = Refusal::new(RefusalCode::BudgetSpent);
    if left == 0 {
        return refusal;
    }
    refusal.note(format!(
        "The budget has at most {left} tokens left and the request may need {amount}; top the budget \
         up or ask for fewer tokens."
    ))
}

/// Tokens of a budget that are not charged, by where they are.
struct BudgetRest {
    free: Tokens,
    own: Tokens,
    held: Tokens,
    elsewhere: BTreeMap<HolderKey, Tokens>,
    unresolved: Tokens,
}

impl BudgetRest {
    fn total(&self) -> Tokens {
        let elsewhere: Tokens = self.elsewhere.values().sum();
        self.free + self.own + self.held + elsewhere + self.unresolved
    }

    fn note(&self, amount: Tokens) -> SmolStr {
        let elsewhere: Tokens = self.elsewhere.values().sum();
        let names: Vec<&str> = self.elsewhere.keys().map(HolderKey::as_str).collect();
        let mut note = format!(
            "The request needs {amount} tokens; {} are free or held by this router for new requests",
            self.free + self.own
        );
        if self.held > 0 {
            note.push_str(&format!(", {} by its running requests", self.held));
        }
        if elsewhere > 0 {
            note.push_str(&format!(
                ", {elsewhere} by other routers ({})",
                names.join(", ")
            ));
        }
        if self.unresolved > 0 {
            note.push_str(&format!(
                ", and {} are unresolved since a router failed",
                self.unresolved
            ));
        }
        note.push('.');
        note.into()
    }
}

/// Reads the pool and all grant rows; `None` when tokens moved while they were read.
async fn read_rest(state: &RouterState, budget: &BudgetId) -> anyhow::Result<Option<BudgetRest>> {
    let shard = state.shard_of(budget);
    // Tokens that return to the pool after it was read, but before the rows, would be missed.
    let pool = commits::read_pool(state, shard).await?;
    let rows = commits::read_grants(state, shard).await?;
    let again = commits::read_pool(state, shard).await?;
    if pool != again {
        return Ok(None);
    }
    let entry = pool.and_then(|(mut pool, _)| pool.budgets.remove(budget));
    let entry = entry.unwrap_or_default();
    let mut rows: Vec<GrantRow> = rows.into_iter().map(|(_, row)| row).collect();
    let ledger = state.spend.ledger();
    let ledger = &ledger.ledger;
    // The own row lacks transfers that are not committed.
    if let Some(own) = rows.iter_mut().find(|row| row.holder == *ledger.holder()) {
        ledger.fill_row(own, |name| shard_of(name, state.setting.shards) == shard);
    }
    let mut rest = BudgetRest {
        free: entry.free,
        own: ledger.spendable(budget),
        held: ledger.held(budget),
        elsewhere: BTreeMap::new(),
        unresolved: entry.unresolved.values().sum(),
    };
    for row in rows.iter().filter(|row| row.holder != *ledger.holder()) {
        let key = holder_key(&row.holder);
        let Some(account) = row.accounts.get(budget) else {
            continue;
        };
        let tokens = account.balance();
        if tokens > 0 && !entry.unresolved.contains_key(&key) {
            rest.elsewhere.insert(key, tokens);
        }
    }
    for (receiver, tokens) in in_flight(&rows, budget) {
        *rest.elsewhere.entry(receiver).or_default() += tokens;
    }
    Ok(Some(rest))
}

/// Tokens that a giver's row names as given and the receiver's row does not name as received.
fn in_flight(rows: &[GrantRow], budget: &BudgetId) -> Vec<(HolderKey, Tokens)> {
    let received = |receiver: &HolderKey, giver: &HolderKey| {
        let row = rows.iter().find(|row| holder_key(&row.holder) == *receiver);
        let account = row.and_then(|row| row.accounts.get(budget));
        account.and_then(|account| account.received.get(giver).copied())
    };
    let mut flights = Vec::new();
    for row in rows {
        let giver = holder_key(&row.holder);
        let given = row.accounts.get(budget).map(|account| &account.given);
        for (receiver, tokens) in given.into_iter().flatten() {
            let arrived = received(receiver, &giver).unwrap_or_default();
            if *tokens > arrived {
                flights.push((receiver.clone(), tokens - arrived));
            }
        }
    }
    flights
}
