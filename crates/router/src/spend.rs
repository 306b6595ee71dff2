//! Spends the grants of this router and commits its charges to the table service.
//!
//! A grant is the part of a prepaid budget that one router may spend on its own. Each request holds
//! its worst case in tokens, and the hold is replaced by the actual charge when the request ends.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use {
    jasminewall_core::{
        BudgetId, CustomerId, EndpointId, GrantLedger, HolderId, Refusal, RefusalCode, RequestId,
        RouteId, ShardId, Tokens,
        commit::CommitSequence,
        ledger::RequestCharge,
        segment::{ChargeLine, OpenRequest},
        shard_of,
        sizing::SpendForecast,
    },
    jasminewall_wire::{CloseReply, TransferReply, TransferRequest},
};

use crate::state::RouterState;

mod commits;
mod reclaim;
mod refill;
mod transfer;
mod unresolved;

pub use self::reclaim::ReclaimReport;
use self::refill::{RefillOutcome, ShortfallReport};

/// Interval between commits of charges.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of forecast spending that a grant covers, so that a router partitioned for this long
/// refuses no request.
const GRANT_HORIZON: Duration = Duration::from_secs(3_600);
/// Retry delay sent to a caller whose request was refused because tokens are out of reach.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Attempts to obtain tokens for one hold. Another request may use up the tokens of a refill or a
/// transfer first.
const HOLD_ATTEMPTS: u32 = 8;
/// Charge lines kept in memory: about 10 MB of the 32 MB that design.md allows a router.
const MAX_BACKLOG_LINES: usize = 40_000;
/// Attempts of a stopping router to commit its last charges.
const CLOSE_ATTEMPTS: u32 = 10;
/// Delay after each attempt of a stopping router.
const CLOSE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Grants, holds and charges of this router.
pub(crate) struct SpendState {
    ledger: Mutex<SpendLedger>,
    writers: Mutex<HashMap<ShardId, Arc<tokio::sync::Mutex<ShardWriter>>>>,
    /// Locks that keep the transfer requests to each giver in order.
    giver_locks: Mutex<HashMap<HolderId, Arc<tokio::sync::Mutex<()>>>>,
    /// Largest number of charge lines that may await their commit.
    backlog_limit: AtomicUsize,
}

/// Grant ledger with the data for charge lines and forecasts.
struct SpendLedger {
    grants: GrantLedger,
    holds: HashMap<RequestId, HoldEntry>,
    /// Charge lines that are in no segment yet.
    lines: HashMap<ShardId, Vec<ChargeLine>>,
    forecasts: HashMap<BudgetId, BudgetForecast>,
    /// Tokens that requests waiting for a refill need.
    waiting_tokens: HashMap<BudgetId, Tokens>,
    /// Shards in which this router has a grant row. It must not receive tokens in any other shard.
    shards_with_row: HashSet<ShardId>,
    /// Number of charge lines that are not committed yet.
    backlog: usize,
}

/// Hold of a request that has not been charged yet.
struct HoldEntry {
    hold: HoldRequest,
    /// Endpoint that the request was last sent to.
    endpoint: Option<EndpointId>,
    /// Whether the request ended without proof of its usage.
    is_unresolved: bool,
}

/// Spend forecast of one budget, with the times of its next moves between grant and pool.
#[derive(Clone, Copy)]
struct BudgetForecast {
    spend: SpendForecast,
    next_refill: Instant,
    next_return: Instant,
    /// Whether the budget was nearly used up when its pool row was last read.
    is_scarce: bool,
}

impl BudgetForecast {
    fn new(now: Instant) -> Self {
        Self {
            spend: SpendForecast::new(now),
            next_refill: now,
            next_return: now + commits::RETURN_INTERVAL,
            is_scarce: false,
        }
    }
}

/// Writes the commits of one shard. The lock around it keeps them in order.
struct ShardWriter {
    sequence: CommitSequence,
    /// Whether the segment of the next charges is in the object store.
    segment_stored: bool,
    /// Whether an earlier attempt to write the plan may still take effect.
    is_in_doubt: bool,
    /// Number of closed peers at the last check for their rows in the shard.
    closed_peer_count: usize,
    /// Time of that check.
    closed_peers_checked_at: Instant,
}

impl SpendState {
    pub(crate) fn new(holder: HolderId) -> Self {
        Self {
            ledger: Mutex::new(SpendLedger {
                grants: GrantLedger::new(holder),
                holds: HashMap::new(),
                lines: HashMap::new(),
                forecasts: HashMap::new(),
                waiting_tokens: HashMap::new(),
                shards_with_row: HashSet::new(),
                backlog: 0,
            }),
            writers: Mutex::default(),
            giver_locks: Mutex::default(),
            backlog_limit: AtomicUsize::new(MAX_BACKLOG_LINES),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, SpendLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn writer(&self, shard: ShardId) -> Arc<tokio::sync::Mutex<ShardWriter>> {
        let holder = self.ledger().grants.holder().clone();
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        let writer = writers.entry(shard).or_insert_with(|| {
            Arc::new(tokio::sync::Mutex::new(ShardWriter {
                sequence: CommitSequence::new(shard, holder),
                segment_stored: false,
                is_in_doubt: false,
                closed_peer_count: 0,
                closed_peers_checked_at: Instant::now(),
            }))
        });
        writer.clone()
    }

    /// Shards in which this router has a writer, in ascending order.
    fn shard_ids(&self) -> Vec<ShardId> {
        let writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ids: Vec<ShardId> = writers.keys().copied().collect();
        ids.sort_unstable();
        ids
    }
}

impl RouterState {
    /// Sets the largest number of charge lines that may await their commit.
    pub fn set_backlog_limit(&self, lines: usize) {
        self.spend.backlog_limit.store(lines, Ordering::Relaxed);
    }

    fn shard_of(&self, budget: &BudgetId) -> ShardId {
        shard_of(budget, self.setting.shards)
    }
}

/// Hold for one request, with the data for its charge line.
#[derive(Clone, Debug)]
pub(crate) struct HoldRequest {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// Customer that sent the request.
    pub(crate) customer: CustomerId,
    /// Budget that pays for it.
    pub(crate) budget: BudgetId,
    /// Route that serves it.
    pub(crate) route: RouteId,
    /// Largest number of tokens that it can use.
    pub(crate) amount: Tokens,
}

/// How a request with a hold ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChargeOutcome {
    /// Ran to completion.
    Ran,
    /// The caller disconnected while it ran.
    Cancelled,
    /// Certainly did not run.
    NotRun,
    /// May have run.
    Unknown,
}

impl ChargeOutcome {
    /// Name of the outcome in a charge line.
    fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::Cancelled => "cancelled",
            Self::NotRun => "failed",
            // A request of unknown outcome gets a charge line only once its outcome is proven.
            Self::Unknown => "unknown",
        }
    }
}

/// Holds the worst case of a request.
///
/// The tokens come from the grant of this router if it covers them, otherwise from spare tokens of
/// peers, then from the pool, and last from any peer that has tokens.
pub(crate) async fn hold(state: &RouterState, hold: &HoldRequest) -> Result<(), Refusal> {
    let HoldRequest { budget, amount, .. } = hold;
    let limit = state.spend.backlog_limit.load(Ordering::Relaxed);
    {
        let ledger = state.spend.ledger();
        if ledger.grants.is_closed() {
            return Err(Refusal::new(RefusalCode::TokensOutOfReach)
                .note("The account of this router was closed; another router can spend the budget.")
                .retry_after(RETRY_AFTER));
        }
        // Each open hold will need a charge line too.
        if ledger.backlog + ledger.holds.len() >= limit {
            return Err(Refusal::new(RefusalCode::ChargeBacklogFull).retry_after(RETRY_AFTER));
        }
    }
    if try_hold(state, hold) {
        return Ok(());
    }
    transfer::request_spare(state, budget, *amount).await;
    for _ in 0..HOLD_ATTEMPTS {
        if try_hold(state, hold) {
            return Ok(());
        }
        let (free, report) = match refill::refill(state, budget, *amount).await {
            RefillOutcome::Granted | RefillOutcome::Conflict => continue,
            RefillOutcome::Insufficient { free } => (
                free,
                refill::explain_shortfall(state, budget, *amount).await,
            ),
            RefillOutcome::Unavailable => (0, ShortfallReport::unreachable(state)),
        };
        if report.proves_shortfall {
            return Err(report.refusal);
        }
        if try_hold(state, hold) {
            return Ok(());
        }
        let shortfall = amount.saturating_sub(free);
        let received = transfer::request_shortfall(state, budget, shortfall, &report.holders).await;
        if try_hold(state, hold) {
            return Ok(());
        }
        if received == 0 {
            return Err(report.refusal);
        }
    }
    let refusal = Refusal::new(RefusalCode::TokensOutOfReach);
    Err(refusal.retry_after(RETRY_AFTER))
}

/// Holds tokens of the grant; `false` when it does not cover the request.
fn try_hold(state: &RouterState, hold: &HoldRequest) -> bool {
    let mut ledger = state.spend.ledger();
    let held = ledger.grants.hold(&hold.budget, &hold.request, hold.amount);
    if held.is_err() {
        return false;
    }
    let entry = HoldEntry {
        hold: hold.clone(),
        endpoint: None,
        is_unresolved: false,
    };
    ledger.holds.insert(hold.request.clone(), entry);
    true
}

/// Records the endpoint that a request is sent to, as evidence for its settlement.
pub(crate) fn record_endpoint(state: &RouterState, request: &RequestId, endpoint: &EndpointId) {
    if let Some(entry) = state.spend.ledger().holds.get_mut(request) {
        entry.endpoint = Some(endpoint.clone());
    }
}

/// Replaces the hold of a request by its charge.
///
/// A request of unknown outcome is not charged an estimate: its hold stays until the stream list of
/// its endpoint proves the charge, and the result is `None`.
pub(crate) fn settle(
    state: &RouterState,
    request: &RequestId,
    tokens: Tokens,
    outcome: ChargeOutcome,
) -> Option<RequestCharge> {
    let now = Instant::now();
    let mut ledger = state.spend.ledger();
    if outcome == ChargeOutcome::Unknown {
        let entry = ledger.holds.get_mut(request)?;
        entry.is_unresolved = true;
        let held = entry.hold.amount;
        tracing::warn!(%request, held, "request outcome is unknown; its tokens stay held");
        return None;
    }
    let charge = ledger.grants.settle(request, tokens).ok()?;
    let entry = ledger.holds.remove(request)?;
    let forecast = ledger
        .forecasts
        .entry(charge.budget.clone())
        .or_insert_with(|| BudgetForecast::new(now));
    forecast.spend.add(now, charge.tokens);
    let line = ChargeLine {
        request: request.clone(),
        customer: entry.hold.customer,
        budget: charge.budget.clone(),
        route: entry.hold.route,
        endpoint: entry.endpoint,
        tokens: charge.tokens,
        outcome: outcome.as_str().into(),
        ended_at: SystemTime::now(),
    };
    let shard = state.shard_of(&charge.budget);
    ledger.lines.entry(shard).or_default().push(line);
    ledger.backlog += 1;
    drop(ledger);
    tracing::info!(%request, tokens = charge.tokens, end = ?outcome, "request charged");
    Some(charge)
}

impl SpendLedger {
    /// Open requests on the budgets of a shard.
    fn open_requests(&self, in_shard: impl Fn(&BudgetId) -> bool) -> Vec<OpenRequest> {
        let entries = self
            .holds
            .iter()
            .filter(|(_, entry)| in_shard(&entry.hold.budget));
        entries
            .map(|(request, entry)| OpenRequest {
                request: request.clone(),
                budget: entry.hold.budget.clone(),
                hold: entry.hold.amount,
                endpoint: entry.endpoint.clone(),
            })
            .collect()
    }

    /// Tokens of a budget that this router is expected to spend within `horizon`.
    fn forecast(&self, budget: &BudgetId, horizon: Duration) -> Tokens {
        let forecast = self.forecasts.get(budget);
        forecast.map_or(0, |forecast| {
            forecast.spend.expected(Instant::now(), horizon)
        })
    }
}

/// Tokens of a budget that new requests at this router may hold.
pub(crate) fn spendable(state: &RouterState, budget: &BudgetId) -> Tokens {
    state.spend.ledger().grants.spendable(budget)
}

/// Gives tokens to a peer. A repeated request gets the reply to the first.
pub(crate) fn give(state: &RouterState, request: &TransferRequest) -> TransferReply {
    transfer::give(state, request)
}

/// Ends all transfers with a dead holder and returns the amounts received from it.
pub(crate) fn close_peer(state: &RouterState, dead: &HolderId) -> CloseReply {
    let received: BTreeMap<BudgetId, Tokens> = state.spend.ledger().grants.close_peer(dead);
    CloseReply { received }
}

/// Commits charges and resolves requests of unknown outcome until the router stops.
pub(crate) async fn run(state: Arc<RouterState>) {
    tokio::join!(run_commits(&state), unresolved::run(state.clone()));
}

async fn run_commits(state: &RouterState) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(FLUSH_INTERVAL) => {}
            () = state.stop.cancelled() => return,
        }
        commits::flush(state).await;
    }
}

/// Commits the last charges, returns all grants to the pools and folds the grant rows into the pool
/// rows, when the router stops.
pub(crate) async fn close(state: &RouterState) {
    for _ in 0..CLOSE_ATTEMPTS {
        unresolved::resolve(state).await;
        commits::flush(state).await;
        if commits::return_all(state).await {
            tracing::info!("all charges are committed and all grants returned");
            return;
        }
        tokio::time::sleep(CLOSE_RETRY_INTERVAL).await;
    }
    let backlog = state.spend.ledger().backlog;
    tracing::warn!(
        backlog,
        "the router stops with uncommitted charges or grants; another router must settle its account"
    );
}
