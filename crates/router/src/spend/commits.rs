//! Commits of charges, transfers and moves between grant and pool: one transaction for each shard
//! with changes.

use std::time::{Duration, Instant};

use {
    anyhow::Context,
    futures_util::StreamExt,
    jasminewall_core::{
        BudgetId, HolderId, ShardId, Tokens,
        budget::{
            GrantRow, PoolRow, can_fold, fold, grant_key, grant_prefix, holder_key, pool_key,
        },
        commit::{CommitPlan, CommitState, GrantMove},
        segment::segment_key,
        shard_of,
        sizing::{GrantSizing, IDLE_LIMIT, grant_size},
    },
    jasminewall_ports::{Category, RowWrite, TableRow, TransactOutcome},
};

use super::{GRANT_HORIZON, ShardWriter, SpendLedger};
use crate::state::RouterState;

/// Interval between checks for tokens to return to the pool. Each return writes the pool row.
pub(super) const RETURN_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between checks of which closed peers still have a grant row.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_secs(600);
/// Shards that one flush commits concurrently.
const MAX_CONCURRENT_FLUSHES: usize = 16;
/// Delay before the next refill ahead of need, so that not every flush reads a pool without free
/// tokens.
const REFILL_BACKOFF: Duration = Duration::from_secs(10);

/// Commits the changes in each shard.
pub(super) async fn flush(state: &RouterState) {
    let shards = futures_util::stream::iter(active_shards(state));
    let flushes = shards.for_each_concurrent(MAX_CONCURRENT_FLUSHES, |shard| async move {
        if let Err(error) = flush_shard(state, shard).await {
            tracing::warn!(%error, shard, "cannot commit the charges of a shard; they are kept and retried");
        }
    });
    flushes.await;
}

/// Shards that may have changes to commit, in ascending order.
fn active_shards(state: &RouterState) -> Vec<ShardId> {
    let mut ids = state.spend.shard_ids();
    let ledger = state.spend.ledger();
    ids.extend(ledger.grants.budgets().map(|budget| state.shard_of(budget)));
    ids.sort_unstable();
    ids.dedup();
    ids
}

/// Stores the segment of the next charges, then commits the changes of one shard. Without a stored
/// segment, the commit carries no charges.
async fn flush_shard(state: &RouterState, shard: ShardId) -> anyhow::Result<()> {
    let segment = store_segment(state, shard).await;
    let writer = state.spend.writer(shard);
    let mut writer = writer.lock().await;
    let writer = &mut *writer;
    if writer.sequence.plan().is_some() && send(state, shard, writer).await? == CommitState::Pending
    {
        return Ok(());
    }
    refresh_closed_peers(state, shard, writer).await?;
    let moves = due_moves(state, shard);
    let has_uncommitted = {
        let ledger = state.spend.ledger();
        let shards = state.setting.shards;
        let in_shard = |budget: &BudgetId| shard_of(budget, shards) == shard;
        writer.sequence.has_uncommitted(&ledger.grants, in_shard)
    };
    if moves.is_empty() && !writer.segment_stored && !has_uncommitted {
        return segment;
    }
    commit(state, shard, writer, &moves, 0).await?;
    segment
}

/// Updates the closed peers that the next commit must name: those with a grant row in the shard.
async fn refresh_closed_peers(
    state: &RouterState,
    shard: ShardId,
    writer: &mut ShardWriter,
) -> anyhow::Result<()> {
    let closed = state.spend.ledger().grants.closed_peers().clone();
    let is_outdated =
        !closed.is_empty() && writer.closed_peers_checked_at.elapsed() >= CLOSED_CHECK_INTERVAL;
    if closed.len() == writer.closed_peer_count && !is_outdated {
        return Ok(());
    }
    let rows = read_grants(state, shard).await?;
    let keys = rows.iter().map(|(_, row)| holder_key(&row.holder));
    let closed_holders = keys.filter(|key| closed.contains(key)).collect();
    writer.sequence.set_closed_peers(closed_holders);
    writer.closed_peer_count = closed.len();
    writer.closed_peers_checked_at = Instant::now();
    Ok(())
}

/// Writes the segment of the next charges to the object store, unless it is stored already.
///
/// The shard is not locked during the write, so that a slow object store does not delay refills,
/// for which callers wait.
async fn store_segment(state: &RouterState, shard: ShardId) -> anyhow::Result<()> {
    let writer = state.spend.writer(shard);
    let segment = {
        let mut writer = writer.lock().await;
        let shards = state.setting.shards;
        let mut ledger = state.spend.ledger();
        let open = ledger.open_requests(|budget| shard_of(budget, shards) == shard);
        let lines = ledger.lines.entry(shard).or_default();
        writer.sequence.seal_segment(lines, open);
        match writer.sequence.segment() {
            Some(segment) if !writer.segment_stored => segment.clone(),
            _ => return Ok(()),
        }
    };
    let key = segment_key(&segment.holder, shard, segment.seq);
    let value = serde_json::to_vec(&segment)?;
    // `false` means that an earlier attempt stored the same segment, but its response was lost.
    let put = state.ports.object.put_new(&key, value).await;
    put.context("cannot store the segment")?;
    let mut writer = writer.lock().await;
    writer.segment_stored |= writer
        .sequence
        .segment()
        .is_some_and(|next| next.seq == segment.seq);
    Ok(())
}

/// Move of tokens between the pool and the grant. Its amount is computed from the pool row.
#[derive(Clone, Debug)]
pub(super) enum MoveRequest {
    /// Fills the grant up to a size and covers waiting requests.
    Fill(BudgetId, Tokens),
    /// Returns the tokens above a size, or the whole grant after a long idle time.
    Trim(BudgetId, Tokens, Duration),
    /// Returns the whole grant.
    Return(BudgetId),
}

/// Refills ahead of need and returns that are due in a shard.
fn due_moves(state: &RouterState, shard: ShardId) -> Vec<MoveRequest> {
    let now = Instant::now();
    let mut ledger = state.spend.ledger();
    let SpendLedger {
        grants, forecasts, ..
    } = &mut *ledger;
    let mut moves = Vec::new();
    let forecasts = forecasts
        .iter_mut()
        .filter(|(budget, _)| state.shard_of(budget) == shard);
    for (budget, forecast) in forecasts {
        let spendable = grants.spendable(budget);
        let size = grant_size(forecast.spend.expected(now, GRANT_HORIZON));
        let is_idle = forecast.spend.idle(now) >= IDLE_LIMIT;
        if !is_idle && spendable < size / 2 && now >= forecast.next_refill {
            forecast.next_refill = now + REFILL_BACKOFF;
            moves.push(MoveRequest::Fill(budget.clone(), size));
        }
        if spendable > 0 && (forecast.is_scarce || now >= forecast.next_return) {
            forecast.next_return = now + RETURN_INTERVAL;
            let idle = forecast.spend.idle(now);
            moves.push(MoveRequest::Trim(budget.clone(), size, idle));
        }
    }
    moves
}

/// Builds and sends a commit, with the amounts of its moves computed from the pool row.
///
/// `request` is the number of tokens needed by the request that triggered the refill, or 0.
pub(super) async fn commit(
    state: &RouterState,
    shard: ShardId,
    writer: &mut ShardWriter,
    moves: &[MoveRequest],
    request: Tokens,
) -> anyhow::Result<CommitState> {
    let pool = if moves.is_empty() {
        None
    } else {
        read_pool(state, shard).await?
    };
    let shards = state.setting.shards;
    let in_shard = |budget: &BudgetId| shard_of(budget, shards) == shard;
    {
        let mut ledger = state.spend.ledger();
        let sized = pool
            .as_ref()
            .map(|(pool, _)| size_moves(&mut ledger, pool, moves, request))
            .unwrap_or_default();
        let stored = writer.segment_stored;
        if sized.is_empty() && !stored && !writer.sequence.has_uncommitted(&ledger.grants, in_shard)
        {
            return Ok(CommitState::Aborted);
        }
        let pool = pool.filter(|_| !sized.is_empty());
        writer
            .sequence
            .build(&mut ledger.grants, in_shard, pool, &sized, stored);
    }
    writer.is_in_doubt = false;
    send(state, shard, writer).await
}

/// Computes the amounts of moves from the pool row and marks the budgets that are nearly used up.
fn size_moves(
    ledger: &mut SpendLedger,
    pool: &PoolRow,
    moves: &[MoveRequest],
    request: Tokens,
) -> Vec<GrantMove> {
    let mut sized = Vec::new();
    for requested in moves {
        let (tokens, sized_move) = match requested {
            MoveRequest::Fill(budget, size) => {
                let sizing = grant_sizing(ledger, pool, budget, *size, request);
                update_scarcity(ledger, budget, &sizing);
                let tokens = sizing.refill_amount();
                (tokens, GrantMove::Take(budget.clone(), tokens))
            }
            MoveRequest::Trim(budget, size, idle) => {
                let sizing = grant_sizing(ledger, pool, budget, *size, request);
                update_scarcity(ledger, budget, &sizing);
                let tokens = sizing.excess(*idle);
                (tokens, GrantMove::Return(budget.clone(), tokens))
            }
            MoveRequest::Return(budget) => (
                ledger.grants.spendable(budget),
                GrantMove::Return(budget.clone(), Tokens::MAX),
            ),
        };
        if tokens > 0 {
            sized.push(sized_move);
        }
    }
    sized
}

/// Records whether a budget is nearly used up.
fn update_scarcity(ledger: &mut SpendLedger, budget: &BudgetId, sizing: &GrantSizing) {
    if let Some(forecast) = ledger.forecasts.get_mut(budget) {
        forecast.is_scarce = sizing.is_scarce();
    }
}

/// Inputs for the size of a grant.
fn grant_sizing(
    ledger: &SpendLedger,
    pool: &PoolRow,
    budget: &BudgetId,
    size: Tokens,
    request: Tokens,
) -> GrantSizing {
    let entry = pool.budgets.get(budget);
    let own = holder_key(ledger.grants.holder());
    let holders = entry.map(|entry| &entry.holders).into_iter().flatten();
    let others = holders.filter(|key| **key != own).count();
    let free = entry.map_or(0, |entry| entry.free);
    let spendable = ledger.grants.spendable(budget);
    let waiting = ledger
        .waiting_tokens
        .get(budget)
        .copied()
        .unwrap_or_default();
    GrantSizing {
        spendable,
        // When the waiting requests cannot all be served, they must not draw all free tokens of the
        // pool to one router.
        request: if waiting <= free + spendable {
            waiting.max(request)
        } else {
            request
        },
        forecast: size,
        free,
        holders: others as u64 + 1,
    }
}

/// Reads the pool row of a shard and its version.
pub(super) async fn read_pool(
    state: &RouterState,
    shard: ShardId,
) -> anyhow::Result<Option<(PoolRow, u64)>> {
    let row = state.ports.table.read(&pool_key(shard)).await?;
    row.map(|row| Ok((serde_json::from_str(&row.value)?, row.version)))
        .transpose()
}

fn parse_grant(row: &TableRow) -> anyhow::Result<(u64, GrantRow)> {
    let grant = serde_json::from_str(&row.value).with_context(|| row.key.clone())?;
    Ok((row.version, grant))
}

/// Reads all grant rows of a shard and their versions.
pub(super) async fn read_grants(
    state: &RouterState,
    shard: ShardId,
) -> anyhow::Result<Vec<(u64, GrantRow)>> {
    let rows = state.ports.table.scan(&grant_prefix(shard)).await?;
    rows.iter().map(parse_grant).collect()
}

/// Row writes of a plan.
fn plan_writes(shard: ShardId, plan: &CommitPlan) -> anyhow::Result<Vec<RowWrite>> {
    let key = grant_key(shard, &plan.row.holder);
    let value = serde_json::to_string(&plan.row)?;
    let mut writes = vec![RowWrite::replace(key, plan.row_version, value)];
    if let Some((pool, version)) = &plan.pool {
        let value = serde_json::to_string(pool)?;
        writes.push(RowWrite::replace(pool_key(shard), *version, value));
    }
    Ok(writes)
}

/// Writes the plan of a shard, then reads the rows back to learn whether it took effect.
pub(super) async fn send(
    state: &RouterState,
    shard: ShardId,
    writer: &mut ShardWriter,
) -> anyhow::Result<CommitState> {
    let Some(plan) = writer.sequence.plan().cloned() else {
        return Ok(CommitState::Aborted);
    };
    let outcome = state.ports.table.transact(plan_writes(shard, &plan)?).await;
    if let Err(error) = &outcome
        && error.category() != Category::Unknown
    {
        if !writer.is_in_doubt {
            finish_plan(state, writer, CommitState::Aborted, 0);
        }
        return Err(error.clone().into());
    }
    writer.is_in_doubt = true;
    let row = state
        .ports
        .table
        .read(&grant_key(shard, &plan.row.holder))
        .await?;
    let row = row.as_ref().map(parse_grant).transpose()?;
    let pool = if plan.pool.is_some() && outcome != Ok(TransactOutcome::Committed) {
        state.ports.table.read(&pool_key(shard)).await?
    } else {
        None
    };
    let stored = row.as_ref().map(|(version, row)| (*version, row));
    let commit_state = plan.classify(stored, pool.map(|row| row.version));
    finish_plan(
        state,
        writer,
        commit_state,
        row.map_or(0, |(version, _)| version),
    );
    Ok(commit_state)
}

/// Updates the shard and the ledger with the outcome of a plan.
fn finish_plan(
    state: &RouterState,
    writer: &mut ShardWriter,
    commit_state: CommitState,
    version: u64,
) {
    let closes_row = writer.sequence.plan().is_some_and(|plan| plan.row.closed);
    let lines = writer
        .sequence
        .segment()
        .map_or(0, |segment| segment.lines.len());
    let mut ledger = state.spend.ledger();
    writer
        .sequence
        .resolve(&mut ledger.grants, commit_state, version);
    if writer.segment_stored && writer.sequence.segment().is_none() {
        writer.segment_stored = false;
        ledger.backlog -= lines;
    }
    match commit_state {
        CommitState::Applied => {
            let row = writer.sequence.row();
            let shard = row
                .accounts
                .keys()
                .next()
                .map(|budget| state.shard_of(budget));
            ledger.shards_with_row.extend(shard);
        }
        CommitState::Closed if !closes_row => {
            tracing::error!(
                "another router closed the account of this router run; it spends no more tokens"
            );
        }
        CommitState::Closed | CommitState::Aborted | CommitState::Pending => {}
    }
}

/// Returns all tokens to the pools, then closes and folds the grant rows; `false` while any of this
/// is left to do.
pub(super) async fn return_all(state: &RouterState) -> bool {
    let mut done = true;
    for shard in state.spend.shard_ids() {
        let writer = state.spend.writer(shard);
        let mut writer = writer.lock().await;
        match return_shard(state, shard, &mut writer).await {
            Ok(returned) => done &= returned,
            Err(error) => {
                tracing::warn!(%error, shard, "cannot return the grants of a shard");
                done = false;
            }
        }
    }
    done
}

/// Returns the grants in one shard and closes its row; `false` while any of this is left to do.
async fn return_shard(
    state: &RouterState,
    shard: ShardId,
    writer: &mut ShardWriter,
) -> anyhow::Result<bool> {
    if writer.sequence.version() == 0 || writer.sequence.row().closed {
        return Ok(writer.sequence.plan().is_none());
    }
    if writer.sequence.plan().is_some() && send(state, shard, writer).await? == CommitState::Pending
    {
        return Ok(false);
    }
    let shards = state.setting.shards;
    let moves: Vec<MoveRequest> = {
        let ledger = state.spend.ledger();
        let budgets = ledger.grants.budgets();
        budgets
            .filter(|budget| shard_of(budget, shards) == shard)
            .filter(|budget| ledger.grants.spendable(budget) > 0)
            .map(|budget| MoveRequest::Return(budget.clone()))
            .collect()
    };
    if !moves.is_empty() {
        commit(state, shard, writer, &moves, 0).await?;
    }
    let has_pending = {
        let ledger = state.spend.ledger();
        let mut accounts = writer.sequence.row().accounts.values();
        writer.sequence.segment().is_some()
            || ledger
                .lines
                .get(&shard)
                .is_some_and(|lines| !lines.is_empty())
            || accounts.any(|account| account.balance() > 0)
            || writer
                .sequence
                .has_uncommitted(&ledger.grants, |budget| shard_of(budget, shards) == shard)
    };
    if has_pending {
        return Ok(false);
    }
    close_row(state, shard, writer).await
}

/// Closes the row of this router, after which any router may fold it, then tries to fold it.
async fn close_row(
    state: &RouterState,
    shard: ShardId,
    writer: &mut ShardWriter,
) -> anyhow::Result<bool> {
    let others = read_grants(state, shard).await?;
    {
        let mut ledger = state.spend.ledger();
        let open = ledger.grants.pending_givers();
        let own = ledger.grants.holder().clone();
        // The closed row must stay final, so the ledger accepts no further transfers or charges.
        ledger.grants.close();
        let others = others.iter().filter(|(_, row)| row.holder != own);
        let keys = others.map(|(_, row)| holder_key(&row.holder));
        let keys: Vec<_> = keys.filter(|key| !open.contains(key)).collect();
        writer.sequence.build_close(keys);
    }
    writer.is_in_doubt = false;
    if send(state, shard, writer).await? != CommitState::Closed {
        return Ok(false);
    }
    fold_row(state, shard, &state.holder).await?;
    Ok(true)
}

/// Folds the closed row of a holder into the pool row and deletes it; `false` when that is not
/// possible yet.
pub(super) async fn fold_row(
    state: &RouterState,
    shard: ShardId,
    holder: &HolderId,
) -> anyhow::Result<bool> {
    let Some((mut pool, pool_version)) = read_pool(state, shard).await? else {
        return Ok(false);
    };
    let rows = read_grants(state, shard).await?;
    let Some((version, row)) = rows.iter().find(|(_, row)| row.holder == *holder) else {
        return Ok(true);
    };
    let others = rows.iter().filter(|(_, other)| other.holder != *holder);
    let others: Vec<GrantRow> = others.map(|(_, other)| other.clone()).collect();
    if !can_fold(row, &others) {
        return Ok(false);
    }
    fold(&mut pool, row);
    let writes = vec![
        RowWrite::replace(pool_key(shard), pool_version, serde_json::to_string(&pool)?),
        RowWrite::delete(grant_key(shard, holder), *version),
    ];
    // If the response is lost, the next attempt finds the row deleted.
    let outcome = state.ports.table.transact(writes).await?;
    Ok(outcome == TransactOutcome::Committed)
}
