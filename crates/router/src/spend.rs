//! Spends the router's grants and commits its charges to the table service.

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
        commit::ShardCommit,
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
use self::refill::{RefillOutcome, RestView};

/// Time between two commits of charges.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Time of spending that a grant covers, so that a partition of that length refuses nothing.
const GRANT_COVER: Duration = Duration::from_secs(3_600);
/// Time after which a caller may try again when tokens are out of reach.
const RETRY_WAIT: Duration = Duration::from_secs(2);
/// Times that a hold looks for tokens; each refill or transfer may be used up by another request.
const HOLD_ATTEMPTS: u32 = 8;
/// Charge lines kept in memory, about 10 MB of the 32 MB that design.md allows a router.
const BACKLOG_LIMIT: usize = 40_000;
/// Times that a stopping router tries to commit, at intervals of `CLOSE_WAIT`.
const CLOSE_ATTEMPTS: u32 = 10;
/// Time between two tries of a stopping router.
const CLOSE_WAIT: Duration = Duration::from_millis(200);

/// Grants, holds and charges of the router.
pub(crate) struct SpendTable {
    ledger: Mutex<SpendLedger>,
    shards: Mutex<HashMap<ShardId, Arc<tokio::sync::Mutex<ShardSlot>>>>,
    givers: Mutex<HashMap<HolderId, Arc<tokio::sync::Mutex<()>>>>,
    backlog_limit: AtomicUsize,
}

/// Ledger with what charge lines and forecasts need besides.
struct SpendLedger {
    ledger: GrantLedger,
    notes: HashMap<RequestId, HoldNote>,
    lines: HashMap<ShardId, Vec<ChargeLine>>,
    forecasts: HashMap<BudgetId, BudgetForecast>,
    waiting: HashMap<BudgetId, Tokens>,
    /// Shards in which this router has a row, without which it must not receive tokens.
    with_row: HashSet<ShardId>,
    backlog: usize,
}

struct HoldNote {
    hold: HoldRequest,
    endpoint: Option<EndpointId>,
    /// Whether the request ended without proof of what it used.
    is_unresolved: bool,
}

#[derive(Clone, Copy)]
struct BudgetForecast {
    spend: SpendForecast,
    next_refill: Instant,
    next_return: Instant,
    /// Whether the budget neared its end when its pool row was last read.
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

/// Commits of one shard; the lock around it keeps them in order.
struct ShardSlot {
    commit: ShardCommit,
    /// Whether the segment of the next charges is in the object store.
    segment_stored: bool,
    /// Whether an earlier attempt at the plan may still take effect.
    is_uncertain: bool,
    /// Number of closed peers, and time, of the last check which of them have rows in the shard.
    closed_peers: usize,
    closed_at: Instant,
}

impl SpendTable {
    pub(crate) fn new(holder: HolderId) -> Self {
        Self {
            ledger: Mutex::new(SpendLedger {
                ledger: GrantLedger::new(holder),
                notes: HashMap::new(),
                lines: HashMap::new(),
                forecasts: HashMap::new(),
                waiting: HashMap::new(),
                with_row: HashSet::new(),
                backlog: 0,
            }),
            shards: Mutex::default(),
            givers: Mutex::default(),
            backlog_limit: AtomicUsize::new(BACKLOG_LIMIT),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, SpendLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slot(&self, shard: ShardId) -> Arc<tokio::sync::Mutex<ShardSlot>> {
        let holder = self.ledger().ledger.holder().clone();
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = shards.entry(shard).or_insert_with(|| {
            Arc::new(tokio::sync::Mutex::new(ShardSlot {
                commit: ShardCommit::new(shard, holder),
                segment_stored: false,
                is_uncertain: false,
                closed_peers: 0,
                closed_at: Instant::now(),
            }))
        });
        slot.clone()
    }

    /// Shards in which this router has an account.
    fn shard_ids(&self) -> Vec<ShardId> {
        let shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ids: Vec<ShardId> = shards.keys().copied().collect();
        ids.sort_unstable();
        ids
    }
}

impl RouterState {
    /// Replaces the number of charge lines that may wait for the platform.
    pub fn set_backlog_limit(&self, lines: usize) {
        self.spend.backlog_limit.store(lines, Ordering::Relaxed);
    }

    fn shard_of(&self, budget: &BudgetId) -> ShardId {
        shard_of(budget, self.setting.shards)
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
pub(crate) enum RequestOutcome {
    /// Ran to its end.
    Ran,
    /// The caller left while it ran.
    Cancelled,
    /// Surely did not run.
    NotRun,
    /// May have run.
    Unknown,
}

impl RequestOutcome {
    /// Word for the charge line.
    fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::Cancelled => "cancelled",
            Self::NotRun => "failed",
            // A hold of unknown outcome has no charge line until the outcome is proven.
            Self::Unknown => "unknown",
        }
    }
}

/// Holds the worst case of a request: from the own grant, then from peers, then from the platform.
pub(crate) async fn hold(state: &RouterState, hold: &HoldRequest) -> Result<(), Refusal> {
    let HoldRequest { budget, amount, .. } = hold;
    let limit = state.spend.backlog_limit.load(Ordering::Relaxed);
    {
        let ledger = state.spend.ledger();
        if ledger.ledger.is_closed() {
            return Err(Refusal::new(RefusalCode::TokensOutOfReach)
                .note("The account of this router was closed; another router can spend the budget.")
                .retry_after(RETRY_WAIT));
        }
        // An open request will need a line as well.
        if ledger.backlog + ledger.notes.len() >= limit {
            return Err(Refusal::new(RefusalCode::ChargeBacklogFull).retry_after(RETRY_WAIT));
        }
    }
    if try_hold(state, hold) {
        return Ok(());
    }
    transfer::ask_spare(state, budget, *amount).await;
    for _ in 0..HOLD_ATTEMPTS {
        if try_hold(state, hold) {
            return Ok(());
        }
        let (free, view) = match refill::refill(state, budget, *amount).await {
            RefillOutcome::Granted | RefillOutcome::Conflict => continue,
            RefillOutcome::Short { free } => (free, refill::view(state, budget, *amount).await),
            RefillOutcome::Unreachable => (0, RestView::unreachable(state)),
        };
        if view.is_spent {
            return Err(view.refusal);
        }
        if try_hold(state, hold) {
            return Ok(());
        }
        let lacks = amount.saturating_sub(free);
        let received = transfer::ask_rest(state, budget, lacks, &view.holders).await;
        if try_hold(state, hold) {
            return Ok(());
        }
        if received == 0 {
            return Err(view.refusal);
        }
    }
    let refusal = Refusal::new(RefusalCode::TokensOutOfReach);
    Err(refusal.retry_after(RETRY_WAIT))
}

fn try_hold(state: &RouterState, hold: &HoldRequest) -> bool {
    let mut ledger = state.spend.ledger();
    let held = ledger.ledger.hold(&hold.budget, &hold.request, hold.amount);
    if held.is_err() {
        return false;
    }
    let note = HoldNote {
        hold: hold.clone(),
        endpoint: None,
        is_unresolved: false,
    };
    ledger.notes.insert(hold.request.clone(), note);
    true
}

/// Notes the endpoint that a request is sent to, as evidence for its settlement.
pub(crate) fn record_endpoint(state: &RouterState, request: &RequestId, endpoint: &EndpointId) {
    if let Some(note) = state.spend.ledger().notes.get_mut(request) {
        note.endpoint = Some(endpoint.clone());
    }
}

/// Replaces the hold of a request by its charge.
///
/// A request that may have run is not charged on a guess: its hold stays until the endpoint's list
/// of streams proves the charge, and the result is `None`.
pub(crate) fn settle(
    state: &RouterState,
    request: &RequestId,
    tokens: Tokens,
    end: RequestOutcome,
) -> Option<RequestCharge> {
    let now = Instant::now();
    let mut ledger = state.spend.ledger();
    if end == RequestOutcome::Unknown {
        let note = ledger.notes.get_mut(request)?;
        note.is_unresolved = true;
        let held = note.hold.amount;
        tracing::warn!(%request, held, "the request may have run; its tokens stay held");
        return None;
    }
    let charge = ledger.ledger.settle(request, tokens).ok()?;
    let note = ledger.notes.remove(request)?;
    let forecast = ledger
        .forecasts
        .entry(charge.budget.clone())
        .or_insert_with(|| BudgetForecast::new(now));
    forecast.spend.add(now, charge.tokens);
    let line = ChargeLine {
        request: request.clone(),
        customer: note.hold.customer,
        budget: charge.budget.clone(),
        route: note.hold.route,
        endpoint: note.endpoint,
        tokens: charge.tokens,
        outcome: end.as_str().into(),
        ended_at: SystemTime::now(),
    };
    let shard = state.shard_of(&charge.budget);
    ledger.lines.entry(shard).or_default().push(line);
    ledger.backlog += 1;
    drop(ledger);
    tracing::info!(%request, tokens = charge.tokens, ?end, "request charged");
    Some(charge)
}

impl SpendLedger {
    /// Requests of a shard that hold tokens now.
    fn open_requests(&self, owns: impl Fn(&BudgetId) -> bool) -> Vec<OpenRequest> {
        let notes = self
            .notes
            .iter()
            .filter(|(_, note)| owns(&note.hold.budget));
        notes
            .map(|(request, note)| OpenRequest {
                request: request.clone(),
                budget: note.hold.budget.clone(),
                hold: note.hold.amount,
                endpoint: note.endpoint.clone(),
            })
            .collect()
    }

    /// Forecast spend of a budget in a time.
    fn forecast(&self, budget: &BudgetId, cover: Duration) -> Tokens {
        let forecast = self.forecasts.get(budget);
        forecast.map_or(0, |forecast| forecast.spend.expected(Instant::now(), cover))
    }
}

/// Tokens of a budget that this router may still spend.
pub(crate) fn spendable(state: &RouterState, budget: &BudgetId) -> Tokens {
    state.spend.ledger().ledger.spendable(budget)
}

/// Gives tokens to a peer; repeats of a transfer get the first result.
pub(crate) fn give(state: &RouterState, request: &TransferRequest) -> TransferReply {
    transfer::give(state, request)
}

/// Accepts no more tokens from a holder that is gone and says what was received from it.
pub(crate) fn close_giver(state: &RouterState, giver: &HolderId) -> CloseReply {
    let received: BTreeMap<BudgetId, Tokens> = state.spend.ledger().ledger.close_peer(giver);
    CloseReply { received }
}

/// Commits charges until the router stops.
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

/// Commits the last charges, returns all grants and folds the rows when the router stops.
pub(crate) async fn close(state: &RouterState) {
    for _ in 0..CLOSE_ATTEMPTS {
        unresolved::resolve(state).await;
        commits::flush(state).await;
        if commits::return_all(state).await {
            tracing::info!("all charges are committed and all grants returned");
            return;
        }
        tokio::time::sleep(CLOSE_WAIT).await;
    }
    let backlog = state.spend.ledger().backlog;
    tracing::warn!(
        backlog,
        "the router stops with an open account; it stays unresolved until it is settled"
    );
}
