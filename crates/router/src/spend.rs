//! Spends the router's grants and commits its charges to the table service.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    jasminewall_core::{
        BudgetId, CustomerId, EndpointId, GrantLedger, HolderId, Refusal, RefusalCode, RequestId,
        RouteId, ShardId, Tokens,
        budget::{GrantRow, PoolRow, grant_key, pool_key},
        ledger::RequestCharge,
        shard_of,
    },
    jasminewall_platform::{RowWrite, TransactOutcome},
    jasminewall_wire::{CloseReply, TransferReply, TransferRequest},
};

use crate::state::RouterState;

/// Time between two commits of charges.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Smallest number of tokens taken from the pool at once.
const GRANT_MIN: Tokens = 1_000;
/// Time after which a caller may try again when tokens are out of reach.
const RETRY_WAIT: Duration = Duration::from_secs(2);
/// Times that a grant move is tried again after a conflict.
const MOVE_ATTEMPTS: u32 = 8;

/// Grants, holds and charges of the router.
pub(crate) struct SpendTable {
    ledger: Mutex<GrantLedger>,
    rows: tokio::sync::Mutex<HashMap<ShardId, ShardRow>>,
}

struct ShardRow {
    version: u64,
    row: GrantRow,
}

impl SpendTable {
    pub(crate) fn new(holder: HolderId) -> Self {
        Self {
            ledger: Mutex::new(GrantLedger::new(holder)),
            rows: tokio::sync::Mutex::default(),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, GrantLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tokens to hold for one request, and what its charge line says of it.
#[derive(Clone, Debug)]
pub(crate) struct HoldRequest {
    /// Request.
    pub(crate) request: RequestId,
    /// Customer that sent it.
    pub(crate) customer: CustomerId,
    /// Budget that pays.
    pub(crate) budget: BudgetId,
    /// Route that serves it.
    pub(crate) route: RouteId,
    /// Worst case in tokens.
    pub(crate) amount: Tokens,
}

/// How a request with a hold ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// Ran to its end.
    Ran,
    /// The caller left while it ran.
    Cancelled,
    /// Surely did not run.
    NotRun,
    /// May have run.
    Unknown,
}

/// Holds the worst case of a request, with a refill of the grant when it does not cover it.
pub(crate) async fn hold(state: &RouterState, hold: &HoldRequest) -> Result<(), Refusal> {
    let HoldRequest {
        request,
        budget,
        amount,
        ..
    } = hold;
    tracing::debug!(%request, customer = %hold.customer, route = %hold.route, "hold wanted");
    for _ in 0..MOVE_ATTEMPTS {
        if state.spend.ledger().hold(budget, request, *amount).is_ok() {
            return Ok(());
        }
        match refill(state, budget, *amount).await {
            Ok(RefillOutcome::Granted | RefillOutcome::Conflict) => {}
            Ok(RefillOutcome::Spent) => return Err(RefusalCode::TokensOutOfReach.into()),
            Err(error) => {
                tracing::warn!(%error, %budget, "grant refill failed");
                return Err(Refusal::new(RefusalCode::TokensOutOfReach).retry_after(RETRY_WAIT));
            }
        }
    }
    Err(Refusal::new(RefusalCode::TokensOutOfReach).retry_after(RETRY_WAIT))
}

/// Notes the endpoint that a request is sent to, as evidence for its settlement.
pub(crate) fn note_endpoint(_state: &RouterState, request: &RequestId, endpoint: &EndpointId) {
    tracing::debug!(%request, %endpoint, "request is sent");
}

/// Replaces the hold of a request by its charge.
pub(crate) fn settle(
    state: &RouterState,
    request: &RequestId,
    tokens: Tokens,
    end: RequestEnd,
) -> Option<RequestCharge> {
    let charge = state.spend.ledger().settle(request, tokens).ok()?;
    tracing::info!(%request, tokens = charge.tokens, ?end, "request charged");
    Some(charge)
}

/// Tokens of a budget that this router may still spend.
pub(crate) fn spendable(state: &RouterState, budget: &BudgetId) -> Tokens {
    state.spend.ledger().spendable(budget)
}

/// Gives tokens to a peer; repeats of a transfer get the first result.
pub(crate) fn give(state: &RouterState, request: &TransferRequest) -> TransferReply {
    TransferReply {
        tokens: 0,
        left: spendable(state, &request.budget),
    }
}

/// Accepts no more tokens from a holder that is gone and says what was received from it.
pub(crate) fn close_giver(_state: &RouterState, _giver: &HolderId) -> CloseReply {
    CloseReply {
        received: BTreeMap::new(),
    }
}

enum RefillOutcome {
    Granted,
    Conflict,
    Spent,
}

async fn refill(
    state: &RouterState,
    budget: &BudgetId,
    amount: Tokens,
) -> anyhow::Result<RefillOutcome> {
    let shard = shard_of(budget, state.setting.shards);
    let mut rows = state.spend.rows.lock().await;
    let Some(pool_row) = state.ports.table.read(&pool_key(shard)).await? else {
        return Ok(RefillOutcome::Spent);
    };
    let mut pool: PoolRow = serde_json::from_str(&pool_row.value)?;
    let Some(entry) = pool.budgets.get_mut(budget) else {
        return Ok(RefillOutcome::Spent);
    };
    if entry.free < amount {
        return Ok(RefillOutcome::Spent);
    }
    let taken = amount.max(GRANT_MIN).min(entry.free);
    entry.free -= taken;
    let shard_row = rows
        .entry(shard)
        .or_insert_with(|| ShardRow::new(&state.holder));
    let mut next = shard_row.row.clone();
    next.seq += 1;
    next.accounts.entry(budget.clone()).or_default().granted += taken;
    let key = grant_key(shard, &state.holder);
    let writes = vec![
        RowWrite::replace(
            pool_key(shard),
            pool_row.version,
            serde_json::to_string(&pool)?,
        ),
        RowWrite::replace(
            key.clone(),
            shard_row.version,
            serde_json::to_string(&next)?,
        ),
    ];
    if !commit(state, &key, shard_row, next, writes).await? {
        return Ok(RefillOutcome::Conflict);
    }
    state.spend.ledger().credit(budget, taken);
    tracing::info!(%budget, shard, taken, "grant refilled");
    Ok(RefillOutcome::Granted)
}

/// Applies a numbered commit; reads back the row when the answer is lost.
async fn commit(
    state: &RouterState,
    key: &str,
    shard_row: &mut ShardRow,
    next: GrantRow,
    writes: Vec<RowWrite>,
) -> anyhow::Result<bool> {
    let outcome = state.ports.table.transact(writes).await;
    if matches!(outcome, Ok(TransactOutcome::Conflict)) {
        return Ok(false);
    }
    let row = state.ports.table.read(key).await?;
    let stored: Option<GrantRow> = row
        .as_ref()
        .map(|row| serde_json::from_str(&row.value))
        .transpose()?;
    if stored.as_ref() != Some(&next) {
        outcome?;
        return Ok(false);
    }
    shard_row.version = row.map_or(0, |row| row.version);
    shard_row.row = next;
    Ok(true)
}

impl ShardRow {
    fn new(holder: &HolderId) -> Self {
        let row = GrantRow::new(holder.clone());
        Self { version: 0, row }
    }
}

/// Commits charges until the router stops.
pub(crate) async fn run(state: Arc<RouterState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(FLUSH_INTERVAL) => {}
            () = state.stop.cancelled() => return,
        }
        flush(&state).await;
    }
}

async fn flush(state: &RouterState) {
    let mut rows = state.spend.rows.lock().await;
    for (shard, shard_row) in rows.iter_mut() {
        if let Err(error) = flush_shard(state, *shard, shard_row).await {
            tracing::warn!(%error, shard, "charges are not committed; they are kept and tried again");
        }
    }
}

async fn flush_shard(
    state: &RouterState,
    shard: ShardId,
    shard_row: &mut ShardRow,
) -> anyhow::Result<()> {
    let mut next = shard_row.row.clone();
    for (budget, account) in &mut next.accounts {
        account.charged = state.spend.ledger().charged(budget);
    }
    if next == shard_row.row {
        return Ok(());
    }
    next.seq += 1;
    let key = grant_key(shard, &state.holder);
    let writes = vec![RowWrite::replace(
        key.clone(),
        shard_row.version,
        serde_json::to_string(&next)?,
    )];
    commit(state, &key, shard_row, next, writes).await?;
    Ok(())
}

/// Commits the last charges when the router stops.
pub(crate) async fn close(state: &RouterState) {
    flush(state).await;
}
