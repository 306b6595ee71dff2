//! Refills a grant from the pool and explains why a request is refused for lack of tokens.

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
    GRANT_HORIZON, RETRY_AFTER,
    commits::{self, MoveRequest},
};
use crate::state::RouterState;

/// Minimum number of requests of the same size that a refill covers, while the pool has plenty of
/// free tokens. A new holder has no forecast, so each of its requests would otherwise cost a write.
const MIN_REQUESTS_COVERED: Tokens = 16;

/// Result of a refill.
pub(super) enum RefillOutcome {
    /// The grant covered the request, from the refill or already before it. Another request may use
    /// the tokens first.
    Granted,
    /// The refill did not take effect, since the pool row changed or an earlier commit of this router
    /// had to be completed first; retry.
    Conflict,
    /// The grant and the free tokens together do not cover the request.
    Insufficient {
        /// Free tokens of the pool.
        free: Tokens,
    },
    /// The table service cannot be reached, the outcome of a commit is unknown, or the row is closed.
    Unavailable,
}

/// Counts the tokens of a waiting request while it exists; the first refill to run covers all
/// waiting requests.
struct WaitingGuard<'a> {
    state: &'a RouterState,
    budget: &'a BudgetId,
    amount: Tokens,
}

impl<'a> WaitingGuard<'a> {
    fn new(state: &'a RouterState, budget: &'a BudgetId, amount: Tokens) -> Self {
        let mut ledger = state.spend.ledger();
        *ledger.waiting_tokens.entry(budget.clone()).or_default() += amount;
        Self {
            state,
            budget,
            amount,
        }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut ledger = self.state.spend.ledger();
        let amount = self.amount;
        if let Some(waiting) = ledger.waiting_tokens.get_mut(self.budget) {
            *waiting = waiting.saturating_sub(amount);
        }
    }
}

/// Takes tokens from the pool for a request and for the forecast spend.
pub(super) async fn refill(
    state: &RouterState,
    budget: &BudgetId,
    amount: Tokens,
) -> RefillOutcome {
    let _waiting = WaitingGuard::new(state, budget, amount);
    match try_refill(state, budget, amount).await {
        Ok(outcome) => outcome,
        Err(error) => {
            tracing::warn!(%error, %budget, "cannot refill the grant");
            RefillOutcome::Unavailable
        }
    }
}

async fn try_refill(
    state: &RouterState,
    budget: &BudgetId,
    amount: Tokens,
) -> anyhow::Result<RefillOutcome> {
    let shard = state.shard_of(budget);
    let writer = state.spend.writer(shard);
    let mut writer = writer.lock().await;
    if super::spendable(state, budget) >= amount {
        return Ok(RefillOutcome::Granted);
    }
    if writer.sequence.plan().is_some() {
        return Ok(match commits::send(state, shard, &mut writer).await? {
            CommitState::Pending | CommitState::Closed => RefillOutcome::Unavailable,
            CommitState::Applied | CommitState::Aborted => RefillOutcome::Conflict,
        });
    }
    let free = free_tokens(state, budget).await?;
    if free + super::spendable(state, budget) < amount {
        return Ok(RefillOutcome::Insufficient { free });
    }
    let size = grant_size(state.spend.ledger().forecast(budget, GRANT_HORIZON));
    let size = size.max(amount.saturating_mul(MIN_REQUESTS_COVERED));
    let moves = [MoveRequest::Fill(budget.clone(), size)];
    Ok(
        match commits::commit(state, shard, &mut writer, &moves, amount).await? {
            CommitState::Applied => {
                tracing::info!(%budget, shard, "grant refilled");
                RefillOutcome::Granted
            }
            CommitState::Aborted => RefillOutcome::Conflict,
            CommitState::Pending | CommitState::Closed => RefillOutcome::Unavailable,
        },
    )
}

/// Free tokens of a budget in its pool row.
async fn free_tokens(state: &RouterState, budget: &BudgetId) -> anyhow::Result<Tokens> {
    let pool = commits::read_pool(state, state.shard_of(budget)).await?;
    let entry = pool.and_then(|(mut pool, _)| pool.budgets.remove(budget));
    Ok(entry.map_or(0, |entry| entry.free))
}

/// Why the grant and the pool do not cover a request, and which peers may have the tokens.
pub(super) struct ShortfallReport {
    /// Refusal to send if no peer gives enough tokens.
    pub(super) refusal: Refusal,
    /// Whether the pool row and all grant rows prove that the budget does not cover the request.
    pub(super) proves_shortfall: bool,
    /// Other holders that have tokens according to their grant rows.
    pub(super) holders: BTreeSet<HolderKey>,
}

impl ShortfallReport {
    /// Report when the budget may cover the request, but not at this router.
    fn out_of_reach(note: impl Into<SmolStr>) -> Self {
        Self {
            refusal: Refusal::new(RefusalCode::TokensOutOfReach)
                .retry_after(RETRY_AFTER)
                .note(note),
            proves_shortfall: false,
            holders: BTreeSet::new(),
        }
    }

    /// Report when the table service cannot be reached.
    pub(super) fn unreachable(state: &RouterState) -> Self {
        let domain = &state.setting.failure_domain;
        let peers = state.fleet.peers().len();
        Self::out_of_reach(format!(
            "What failure domain '{domain}' holds of the budget is spent; the table service cannot \
             be reached, and {peers} routers that can be reached have too few tokens."
        ))
    }
}

/// Reports which holders have the remaining tokens of a budget, or that the budget is spent.
pub(super) async fn explain_shortfall(
    state: &RouterState,
    budget: &BudgetId,
    amount: Tokens,
) -> ShortfallReport {
    match read_remaining(state, budget).await {
        Ok(Some(remaining)) if remaining.total() < amount => ShortfallReport {
            refusal: spent_refusal(remaining.total(), amount),
            proves_shortfall: true,
            holders: BTreeSet::new(),
        },
        Ok(Some(remaining)) => ShortfallReport {
            holders: remaining.others.keys().cloned().collect(),
            ..ShortfallReport::out_of_reach(remaining.describe(amount))
        },
        Ok(None) => ShortfallReport::out_of_reach(
            "The tokens of the budget are moving between routers; try again in a moment.",
        ),
        Err(error) => {
            tracing::warn!(%error, %budget, "cannot read the remaining tokens of a budget");
            ShortfallReport::unreachable(state)
        }
    }
}

/// Refusal of a request that the remaining tokens of the budget do not cover.
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

/// Tokens of a budget that are not charged yet, by location.
struct RemainingTokens {
    /// Free tokens of the pool.
    free: Tokens,
    /// Spendable tokens of this router.
    own: Tokens,
    /// Tokens held by open requests of this router.
    held: Tokens,
    /// Tokens of other holders, including transfers in flight to them.
    others: BTreeMap<HolderKey, Tokens>,
    /// Tokens of dead routers whose use is not proven.
    unresolved: Tokens,
}

impl RemainingTokens {
    /// Remaining tokens at all locations.
    fn total(&self) -> Tokens {
        let others: Tokens = self.others.values().sum();
        self.free + self.own + self.held + others + self.unresolved
    }

    /// Describes the locations in the words of a refusal.
    fn describe(&self, amount: Tokens) -> SmolStr {
        let others: Tokens = self.others.values().sum();
        let names: Vec<&str> = self.others.keys().map(HolderKey::as_str).collect();
        let mut note = format!(
            "The request needs {amount} tokens; {} are free or held by this router for new requests",
            self.free + self.own
        );
        if self.held > 0 {
            note.push_str(&format!(", {} by its running requests", self.held));
        }
        if others > 0 {
            note.push_str(&format!(
                ", {others} by other routers ({})",
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

/// Reads the pool row and all grant rows; `None` when the pool row changed during the reads.
async fn read_remaining(
    state: &RouterState,
    budget: &BudgetId,
) -> anyhow::Result<Option<RemainingTokens>> {
    let shard = state.shard_of(budget);
    // Tokens returned to the pool between its read and that of the grant rows would be missed, so
    // the pool row is read again.
    let pool = commits::read_pool(state, shard).await?;
    let rows = commits::read_grants(state, shard).await?;
    let reread = commits::read_pool(state, shard).await?;
    if pool != reread {
        return Ok(None);
    }
    let entry = pool.and_then(|(mut pool, _)| pool.budgets.remove(budget));
    let entry = entry.unwrap_or_default();
    let mut rows: Vec<GrantRow> = rows.into_iter().map(|(_, row)| row).collect();
    let ledger = state.spend.ledger();
    let grants = &ledger.grants;
    // The stored row of this router lacks transfers that are not committed yet.
    if let Some(own) = rows.iter_mut().find(|row| row.holder == *grants.holder()) {
        grants.fill_row(own, |name| shard_of(name, state.setting.shards) == shard);
    }
    let mut remaining = RemainingTokens {
        free: entry.free,
        own: grants.spendable(budget),
        held: grants.held(budget),
        others: BTreeMap::new(),
        unresolved: entry.unresolved.values().sum(),
    };
    for row in rows.iter().filter(|row| row.holder != *grants.holder()) {
        let key = holder_key(&row.holder);
        let Some(account) = row.accounts.get(budget) else {
            continue;
        };
        let tokens = account.balance();
        if tokens > 0 && !entry.unresolved.contains_key(&key) {
            remaining.others.insert(key, tokens);
        }
    }
    for (receiver, tokens) in transfers_in_flight(&rows, budget) {
        *remaining.others.entry(receiver).or_default() += tokens;
    }
    Ok(Some(remaining))
}

/// Tokens that the row of the giver lists as given and that of the receiver does not list as
/// received yet.
fn transfers_in_flight(rows: &[GrantRow], budget: &BudgetId) -> Vec<(HolderKey, Tokens)> {
    let received = |receiver: &HolderKey, giver: &HolderKey| {
        let row = rows.iter().find(|row| holder_key(&row.holder) == *receiver);
        let account = row.and_then(|row| row.accounts.get(budget));
        account.and_then(|account| account.received.get(giver).copied())
    };
    let mut transfers = Vec::new();
    for row in rows {
        let giver = holder_key(&row.holder);
        let given = row.accounts.get(budget).map(|account| &account.given);
        for (receiver, tokens) in given.into_iter().flatten() {
            let arrived = received(receiver, &giver).unwrap_or_default();
            if *tokens > arrived {
                transfers.push((receiver.clone(), tokens - arrived));
            }
        }
    }
    transfers
}
