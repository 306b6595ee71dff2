//! Commits of charges, transfers and moves: one write for each dirty shard.

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

use super::{GRANT_COVER, ShardSlot, SpendLedger};
use crate::state::RouterState;

/// Time between two checks for tokens to hand back; each return is a write of the pool row.
pub(super) const RETURN_INTERVAL: Duration = Duration::from_secs(60);
/// Time between two checks which closed peers still have rows.
const CLOSED_INTERVAL: Duration = Duration::from_secs(600);
/// Shards that one flush commits at the same time.
const FLUSHES_AT_ONCE: usize = 16;
/// Time until the next early refill after the pool had nothing to give.
const REFILL_PAUSE: Duration = Duration::from_secs(10);

/// Commits what changed in each shard.
pub(super) async fn flush(state: &RouterState) {
    let shards = futures_util::stream::iter(dirty_shards(state));
    let flushes = shards.for_each_concurrent(FLUSHES_AT_ONCE, |shard| async move {
        if let Err(error) = flush_shard(state, shard).await {
            tracing::warn!(%error, shard, "charges are not committed; they are kept and tried again");
        }
    });
    flushes.await;
}

/// Shards with an account or with charge lines.
fn dirty_shards(state: &RouterState) -> Vec<ShardId> {
    let mut ids = state.spend.shard_ids();
    let ledger = state.spend.ledger();
    ids.extend(ledger.ledger.budgets().map(|budget| state.shard_of(budget)));
    ids.sort_unstable();
    ids.dedup();
    ids
}

async fn flush_shard(state: &RouterState, shard: ShardId) -> anyhow::Result<()> {
    let segment = store_segment(state, shard).await;
    let slot = state.spend.slot(shard);
    let mut slot = slot.lock().await;
    let slot = &mut *slot;
    if slot.commit.plan().is_some() && send(state, shard, slot).await? == CommitState::Pending {
        return Ok(());
    }
    check_closing(state, shard, slot).await?;
    let moves = wanted_moves(state, shard);
    let has_transfers = {
        let ledger = state.spend.ledger();
        let shards = state.setting.shards;
        let owns = |budget: &BudgetId| shard_of(budget, shards) == shard;
        slot.commit.has_transfers(&ledger.ledger, owns)
    };
    if moves.is_empty() && !slot.segment_stored && !has_transfers {
        return segment;
    }
    commit(state, shard, slot, &moves, 0).await?;
    segment
}

/// Finds which closed peers the next commit must name: those with a row in the shard.
async fn check_closing(
    state: &RouterState,
    shard: ShardId,
    slot: &mut ShardSlot,
) -> anyhow::Result<()> {
    let closed = state.spend.ledger().ledger.closed_peers().clone();
    let is_old = !closed.is_empty() && slot.closed_at.elapsed() >= CLOSED_INTERVAL;
    if closed.len() == slot.closed_peers && !is_old {
        return Ok(());
    }
    let rows = read_grants(state, shard).await?;
    let keys = rows.iter().map(|(_, row)| holder_key(&row.holder));
    let closing = keys.filter(|key| closed.contains(key)).collect();
    slot.commit.set_closed_peers(closing);
    slot.closed_peers = closed.len();
    slot.closed_at = Instant::now();
    Ok(())
}

/// Writes the segment of the next charges, unless it is stored already.
///
/// The shard is not locked meanwhile: refills, for which callers wait, go on without the charges
/// when the object store is slow.
async fn store_segment(state: &RouterState, shard: ShardId) -> anyhow::Result<()> {
    let slot = state.spend.slot(shard);
    let segment = {
        let mut slot = slot.lock().await;
        let shards = state.setting.shards;
        let mut ledger = state.spend.ledger();
        let open = ledger.open_requests(|budget| shard_of(budget, shards) == shard);
        let lines = ledger.lines.entry(shard).or_default();
        slot.commit.seal_segment(lines, open);
        match slot.commit.segment() {
            Some(segment) if !slot.segment_stored => segment.clone(),
            _ => return Ok(()),
        }
    };
    let key = segment_key(&segment.holder, shard, segment.seq);
    let value = serde_json::to_vec(&segment)?;
    // `false` means that an earlier attempt, whose answer was lost, has stored the same segment.
    let put = state.ports.object.put_new(&key, value).await;
    put.context("the segment is not stored")?;
    let mut slot = slot.lock().await;
    slot.segment_stored |= slot
        .commit
        .segment()
        .is_some_and(|next| next.seq == segment.seq);
    Ok(())
}

/// Move that is sized once the pool row is read.
#[derive(Clone, Debug)]
pub(super) enum WantedMove {
    /// Fills the grant to a size, and covers waiting requests.
    Fill(BudgetId, Tokens),
    /// Hands back what exceeds a size, or all of it after a long idle time.
    Trim(BudgetId, Tokens, Duration),
    /// Hands back all.
    Return(BudgetId),
}

/// Early refills and returns that are due in a shard.
fn wanted_moves(state: &RouterState, shard: ShardId) -> Vec<WantedMove> {
    let now = Instant::now();
    let mut ledger = state.spend.ledger();
    let SpendLedger {
        ledger, forecasts, ..
    } = &mut *ledger;
    let mut moves = Vec::new();
    let forecasts = forecasts
        .iter_mut()
        .filter(|(budget, _)| state.shard_of(budget) == shard);
    for (budget, forecast) in forecasts {
        let spendable = ledger.spendable(budget);
        let size = grant_size(forecast.spend.expected(now, GRANT_COVER));
        let is_idle = forecast.spend.idle(now) >= IDLE_LIMIT;
        if !is_idle && spendable < size / 2 && now >= forecast.next_refill {
            forecast.next_refill = now + REFILL_PAUSE;
            moves.push(WantedMove::Fill(budget.clone(), size));
        }
        if spendable > 0 && (forecast.is_scarce || now >= forecast.next_return) {
            forecast.next_return = now + RETURN_INTERVAL;
            let idle = forecast.spend.idle(now);
            moves.push(WantedMove::Trim(budget.clone(), size, idle));
        }
    }
    moves
}

/// Builds and sends a commit, with its moves sized by the pool row.
///
/// `request` is the number of tokens that the request which starts a refill needs.
pub(super) async fn commit(
    state: &RouterState,
    shard: ShardId,
    slot: &mut ShardSlot,
    moves: &[WantedMove],
    request: Tokens,
) -> anyhow::Result<CommitState> {
    let pool = if moves.is_empty() {
        None
    } else {
        read_pool(state, shard).await?
    };
    let shards = state.setting.shards;
    let owns = |budget: &BudgetId| shard_of(budget, shards) == shard;
    {
        let mut ledger = state.spend.ledger();
        let sized = pool
            .as_ref()
            .map(|(pool, _)| size_moves(&mut ledger, pool, moves, request))
            .unwrap_or_default();
        let stored = slot.segment_stored;
        if sized.is_empty() && !stored && !slot.commit.has_transfers(&ledger.ledger, owns) {
            return Ok(CommitState::Aborted);
        }
        let pool = pool.filter(|_| !sized.is_empty());
        slot.commit
            .build(&mut ledger.ledger, owns, pool, &sized, stored);
    }
    slot.is_uncertain = false;
    send(state, shard, slot).await
}

/// Sizes moves by the pool row, and notes which budgets near their end.
fn size_moves(
    ledger: &mut SpendLedger,
    pool: &PoolRow,
    moves: &[WantedMove],
    request: Tokens,
) -> Vec<GrantMove> {
    let mut sized = Vec::new();
    for step in moves {
        let (tokens, step) = match step {
            WantedMove::Fill(budget, size) => {
                let need = need_of(ledger, pool, budget, *size, request);
                note_scarcity(ledger, budget, &need);
                let tokens = need.refill_amount();
                (tokens, GrantMove::Take(budget.clone(), tokens))
            }
            WantedMove::Trim(budget, size, idle) => {
                let need = need_of(ledger, pool, budget, *size, request);
                note_scarcity(ledger, budget, &need);
                let tokens = need.excess(*idle);
                (tokens, GrantMove::Return(budget.clone(), tokens))
            }
            WantedMove::Return(budget) => (
                ledger.ledger.spendable(budget),
                GrantMove::Return(budget.clone(), Tokens::MAX),
            ),
        };
        if tokens > 0 {
            sized.push(step);
        }
    }
    sized
}

fn note_scarcity(ledger: &mut SpendLedger, budget: &BudgetId, need: &GrantSizing) {
    if let Some(forecast) = ledger.forecasts.get_mut(budget) {
        forecast.is_scarce = need.is_scarce();
    }
}

fn need_of(
    ledger: &SpendLedger,
    pool: &PoolRow,
    budget: &BudgetId,
    size: Tokens,
    request: Tokens,
) -> GrantSizing {
    let entry = pool.budgets.get(budget);
    let own = holder_key(ledger.ledger.holder());
    let holders = entry.map(|entry| &entry.holders).into_iter().flatten();
    let others = holders.filter(|key| **key != own).count();
    let free = entry.map_or(0, |entry| entry.free);
    let spendable = ledger.ledger.spendable(budget);
    let waiting = ledger.waiting.get(budget).copied().unwrap_or_default();
    GrantSizing {
        spendable,
        // Requests that cannot all be served must not draw all free tokens to one router.
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

/// Reads the pool row of a shard with its version.
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

/// Reads all grant rows of a shard with their versions.
pub(super) async fn read_grants(
    state: &RouterState,
    shard: ShardId,
) -> anyhow::Result<Vec<(u64, GrantRow)>> {
    let rows = state.ports.table.scan(&grant_prefix(shard)).await?;
    rows.iter().map(parse_grant).collect()
}

/// Writes of a plan.
fn writes_of(shard: ShardId, plan: &CommitPlan) -> anyhow::Result<Vec<RowWrite>> {
    let key = grant_key(shard, &plan.row.holder);
    let value = serde_json::to_string(&plan.row)?;
    let mut writes = vec![RowWrite::replace(key, plan.row_version, value)];
    if let Some((pool, version)) = &plan.pool {
        let value = serde_json::to_string(pool)?;
        writes.push(RowWrite::replace(pool_key(shard), *version, value));
    }
    Ok(writes)
}

/// Sends the plan of a shard and reads back whether it took effect.
pub(super) async fn send(
    state: &RouterState,
    shard: ShardId,
    slot: &mut ShardSlot,
) -> anyhow::Result<CommitState> {
    let Some(plan) = slot.commit.plan().cloned() else {
        return Ok(CommitState::Aborted);
    };
    let outcome = state.ports.table.transact(writes_of(shard, &plan)?).await;
    if let Err(error) = &outcome
        && error.category() != Category::Unknown
    {
        if !slot.is_uncertain {
            resolve(state, slot, CommitState::Aborted, 0);
        }
        return Err(error.clone().into());
    }
    slot.is_uncertain = true;
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
    let verdict = plan.classify(stored, pool.map(|row| row.version));
    resolve(state, slot, verdict, row.map_or(0, |(version, _)| version));
    Ok(verdict)
}

fn resolve(state: &RouterState, slot: &mut ShardSlot, verdict: CommitState, version: u64) {
    let is_stop = slot.commit.plan().is_some_and(|plan| plan.row.closed);
    let lines = slot
        .commit
        .segment()
        .map_or(0, |segment| segment.lines.len());
    let mut ledger = state.spend.ledger();
    slot.commit.resolve(&mut ledger.ledger, verdict, version);
    if slot.segment_stored && slot.commit.segment().is_none() {
        slot.segment_stored = false;
        ledger.backlog -= lines;
    }
    match verdict {
        CommitState::Applied => {
            let row = slot.commit.row();
            let shard = row
                .accounts
                .keys()
                .next()
                .map(|budget| state.shard_of(budget));
            ledger.with_row.extend(shard);
        }
        CommitState::Closed if !is_stop => {
            tracing::error!("the account of this router run was closed; it spends no more tokens");
        }
        CommitState::Closed | CommitState::Aborted | CommitState::Pending => {}
    }
}

/// Returns all tokens and closes and folds the rows; `false` when something is left to do.
pub(super) async fn return_all(state: &RouterState) -> bool {
    let mut done = true;
    for shard in state.spend.shard_ids() {
        let slot = state.spend.slot(shard);
        let mut slot = slot.lock().await;
        match return_shard(state, shard, &mut slot).await {
            Ok(returned) => done &= returned,
            Err(error) => {
                tracing::warn!(%error, shard, "grants are not returned");
                done = false;
            }
        }
    }
    done
}

async fn return_shard(
    state: &RouterState,
    shard: ShardId,
    slot: &mut ShardSlot,
) -> anyhow::Result<bool> {
    if slot.commit.version() == 0 || slot.commit.row().closed {
        return Ok(slot.commit.plan().is_none());
    }
    if slot.commit.plan().is_some() && send(state, shard, slot).await? == CommitState::Pending {
        return Ok(false);
    }
    let shards = state.setting.shards;
    let moves: Vec<WantedMove> = {
        let ledger = state.spend.ledger();
        let budgets = ledger.ledger.budgets();
        budgets
            .filter(|budget| shard_of(budget, shards) == shard)
            .filter(|budget| ledger.ledger.spendable(budget) > 0)
            .map(|budget| WantedMove::Return(budget.clone()))
            .collect()
    };
    if !moves.is_empty() {
        commit(state, shard, slot, &moves, 0).await?;
    }
    let has_open = {
        let ledger = state.spend.ledger();
        let mut accounts = slot.commit.row().accounts.values();
        slot.commit.segment().is_some()
            || ledger
                .lines
                .get(&shard)
                .is_some_and(|lines| !lines.is_empty())
            || accounts.any(|account| account.balance() > 0)
            || slot
                .commit
                .has_transfers(&ledger.ledger, |budget| shard_of(budget, shards) == shard)
    };
    if has_open {
        return Ok(false);
    }
    close_row(state, shard, slot).await
}

/// Closes the own row, so that any router may finish it, and folds it when nothing is open.
async fn close_row(
    state: &RouterState,
    shard: ShardId,
    slot: &mut ShardSlot,
) -> anyhow::Result<bool> {
    let others = read_grants(state, shard).await?;
    {
        let mut ledger = state.spend.ledger();
        let open = ledger.ledger.pending_givers();
        let own = ledger.ledger.holder().clone();
        // No transfers and charges may follow the closed row.
        ledger.ledger.close();
        let others = others.iter().filter(|(_, row)| row.holder != own);
        let keys = others.map(|(_, row)| holder_key(&row.holder));
        let keys: Vec<_> = keys.filter(|key| !open.contains(key)).collect();
        slot.commit.build_close(keys);
    }
    slot.is_uncertain = false;
    if send(state, shard, slot).await? != CommitState::Closed {
        return Ok(false);
    }
    fold_row(state, shard, &state.holder).await?;
    Ok(true)
}

/// Folds the row of a finished holder into the pool; `false` when it cannot be folded yet.
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
    // After a lost answer the next attempt finds the row deleted.
    let outcome = state.ports.table.transact(writes).await?;
    Ok(outcome == TransactOutcome::Committed)
}
