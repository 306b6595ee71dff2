//! Settlement of a dead holder's accounts from evidence of its charges.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    BudgetId, EndpointId, HolderId, RequestId, Tokens,
    budget::{self, GrantRow, HolderKey, PoolRow, holder_key, move_to_pool},
    segment::{ChargeLine, SegmentRecord},
};

/// Key prefix of the evidence objects about one holder.
pub fn evidence_prefix(holder: &HolderId) -> String {
    format!("evidence/{holder}/")
}

/// Key of the evidence object about one request of a holder.
pub fn evidence_key(holder: &HolderId, request: &RequestId) -> String {
    format!("evidence/{holder}/{request}")
}

/// Charge of one request of a dead holder, from an evidence object or an endpoint's stream list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeEvidence {
    /// Id of the request.
    pub request: RequestId,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Tokens that the request used.
    pub tokens: Tokens,
}

impl ChargeEvidence {
    fn from_line(line: &ChargeLine) -> Self {
        Self {
            request: line.request.clone(),
            budget: line.budget.clone(),
            tokens: line.tokens,
        }
    }
}

/// Evidence about a dead holder besides its row.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettlementEvidence {
    /// Segments of the shard, in any order.
    pub segments: Vec<SegmentRecord>,
    /// Charges recorded by routers that resumed streams of the holder.
    pub resumed: Vec<ChargeEvidence>,
    /// Charges of the holder's requests, by endpoint that listed its streams.
    pub listed: BTreeMap<EndpointId, Vec<ChargeEvidence>>,
    /// Endpoints that the holder could have used.
    pub endpoints: BTreeSet<EndpointId>,
}

impl SettlementEvidence {
    /// Whether every endpoint that the holder could have used has listed its streams.
    pub fn all_listed(&self) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.all(|endpoint| self.listed.contains_key(endpoint))
    }
}

/// Result of one settlement. It may be repeated once there is more evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettleOutcome {
    /// Tokens newly charged, per budget.
    pub charged: BTreeMap<BudgetId, Tokens>,
    /// Tokens returned to the pool, per budget.
    pub returned: BTreeMap<BudgetId, Tokens>,
    /// Tokens whose use is not proven, per budget.
    pub unresolved: BTreeMap<BudgetId, Tokens>,
}

/// Settles a closed row: charges proven use, and returns the rest once the charges are complete.
///
/// `others` are all other grant rows of the shard, read after the row was closed and after `pool`.
/// The result must be committed together with the pool row on the version that was read: this
/// serializes settlements of two dead holders that exchanged tokens.
pub fn settle_row(
    pool: &mut PoolRow,
    row: &mut GrantRow,
    others: &[GrantRow],
    evidence: &SettlementEvidence,
) -> SettleOutcome {
    reconcile_transfers(row, others);
    cover_shortfalls(row, others);
    let charged = charge_evidence(row, others, evidence);
    row.exact |= evidence.all_listed() && charged.is_complete;
    // Peers that may still exchange tokens with the holder could have received part of its balance.
    let all_final = others
        .iter()
        .all(|other| budget::transfers_final(row, other, others));
    let mut outcome = SettleOutcome {
        charged: charged.tokens,
        ..SettleOutcome::default()
    };
    for budget in row.accounts.keys().cloned().collect::<Vec<_>>() {
        settle_account(pool, row, &budget, row.exact && all_final, &mut outcome);
    }
    outcome
}

/// Returns the balance of an account to the pool if `can_return`, or else lists it as unresolved.
fn settle_account(
    pool: &mut PoolRow,
    row: &mut GrantRow,
    budget: &BudgetId,
    can_return: bool,
    outcome: &mut SettleOutcome,
) {
    let key = holder_key(&row.holder);
    let balance = row.accounts[budget].balance();
    let entry = pool.budgets.entry(budget.clone()).or_default();
    entry.unresolved.remove(&key);
    if balance == 0 {
        return;
    }
    if can_return {
        move_to_pool(pool, row, budget, balance);
        outcome.returned.insert(budget.clone(), balance);
    } else {
        entry.unresolved.insert(key, balance);
        outcome.unresolved.insert(budget.clone(), balance);
    }
}

/// Reconciles each transfer with the peer's row: takes the larger amount of both sides, since the
/// giver debits first and the receiver's amount is therefore proof. If the peer has ended its
/// transfers with the holder, its received amount is final and replaces the given one: the rest was
/// lost with a response and stays with the giver.
fn reconcile_transfers(row: &mut GrantRow, others: &[GrantRow]) {
    let key = holder_key(&row.holder);
    for other in others {
        let peer = holder_key(&other.holder);
        let has_ended = other.closed_peers.contains(&key);
        let names: BTreeSet<BudgetId> = row
            .accounts
            .keys()
            .chain(other.accounts.keys())
            .cloned()
            .collect();
        for name in names {
            let peer_account = other.accounts.get(&name).cloned().unwrap_or_default();
            let to_them = peer_account.received.get(&key).copied().unwrap_or_default();
            let from_them = peer_account.given.get(&key).copied().unwrap_or_default();
            if to_them == 0 && from_them == 0 && !row.accounts.contains_key(&name) {
                continue;
            }
            let account = row.accounts.entry(name).or_default();
            let given = account.given.entry(peer.clone()).or_default();
            *given = if has_ended {
                to_them
            } else {
                to_them.max(*given)
            };
            let received = account.received.entry(peer.clone()).or_default();
            *received = from_them.max(*received);
            account.given.retain(|_, tokens| *tokens > 0);
            account.received.retain(|_, tokens| *tokens > 0);
        }
    }
}

/// Tokens charged from evidence, per budget.
struct ChargeTotals {
    tokens: BTreeMap<BudgetId, Tokens>,
    /// Whether the balance covered every proven request.
    is_complete: bool,
}

/// Charges each proven request at most once, and in full or not at all: first from segments after
/// the last commit, then from resumed streams, then from the endpoints' lists.
fn charge_evidence(
    row: &mut GrantRow,
    others: &[GrantRow],
    evidence: &SettlementEvidence,
) -> ChargeTotals {
    let mut segments: Vec<&SegmentRecord> = evidence.segments.iter().collect();
    segments.sort_by_key(|segment| segment.seq);
    let seq = row.seq;
    let (committed, uncommitted): (Vec<_>, Vec<_>) =
        segments.into_iter().partition(|segment| segment.seq <= seq);
    let lines = |segments: Vec<&SegmentRecord>| -> Vec<ChargeEvidence> {
        let lines = segments.into_iter().flat_map(|segment| &segment.lines);
        lines.map(ChargeEvidence::from_line).collect()
    };
    let committed: BTreeSet<RequestId> = lines(committed)
        .into_iter()
        .map(|charge| charge.request)
        .collect();
    let mut charges = lines(uncommitted);
    charges.extend(evidence.resumed.iter().cloned());
    charges.extend(evidence.listed.values().flatten().cloned());
    let mut result = ChargeTotals {
        tokens: BTreeMap::new(),
        is_complete: true,
    };
    for charge in charges {
        if committed.contains(&charge.request) || row.settled.contains(&charge.request) {
            continue;
        }
        if !cover_charge(row, others, &charge) {
            result.is_complete = false;
            continue;
        }
        let account = row.accounts.entry(charge.budget.clone()).or_default();
        account.charged += charge.tokens;
        row.settled.insert(charge.request);
        *result.tokens.entry(charge.budget).or_default() += charge.tokens;
    }
    result
}

/// Records transfers from dead givers for tokens that the row is known to have given but cannot
/// cover. What no giver can cover yet is left for a later settlement.
fn cover_shortfalls(row: &mut GrantRow, others: &[GrantRow]) {
    for budget in row.accounts.keys().cloned().collect::<Vec<_>>() {
        let missing = row.accounts[&budget].shortfall();
        let (transfers, _) = find_transfers(row, others, &budget, missing);
        record_received(row, &budget, transfers);
    }
}

/// Covers a proven charge from the balance and from unrecorded transfers, which are recorded as
/// received. Returns `false` without effect if the charge cannot be covered.
fn cover_charge(row: &mut GrantRow, others: &[GrantRow], charge: &ChargeEvidence) -> bool {
    let account = row.accounts.entry(charge.budget.clone()).or_default();
    let missing = (charge.tokens + account.shortfall()).saturating_sub(account.balance());
    let (transfers, is_covered) = find_transfers(row, others, &charge.budget, missing);
    if is_covered {
        record_received(row, &charge.budget, transfers);
    }
    is_covered
}

/// Finds unrecorded transfers that add up to `missing` tokens, and whether they do.
///
/// Tokens that the balance lacks must have come from a peer whose row does not show the transfer. If
/// that giver is dead as well and its charges are complete, its balance must contain them, and its
/// settlement records them as given.
fn find_transfers(
    row: &GrantRow,
    others: &[GrantRow],
    budget: &BudgetId,
    mut missing: Tokens,
) -> (Vec<(HolderKey, Tokens)>, bool) {
    let key = holder_key(&row.holder);
    let received = row.accounts.get(budget).map(|account| &account.received);
    let mut transfers = Vec::new();
    for giver in others.iter().filter(|other| other.closed && other.exact) {
        let giver_key = holder_key(&giver.holder);
        let recorded = received.and_then(|received| received.get(&giver_key));
        let available = available_balance(giver, others, budget, &key, recorded.copied());
        let tokens = available.min(missing);
        missing -= tokens;
        if tokens > 0 {
            transfers.push((giver_key, tokens));
        }
    }
    (transfers, missing == 0)
}

fn record_received(row: &mut GrantRow, budget: &BudgetId, transfers: Vec<(HolderKey, Tokens)>) {
    let account = row.accounts.entry(budget.clone()).or_default();
    for (giver, tokens) in transfers {
        *account.received.entry(giver).or_default() += tokens;
    }
}

/// Balance of a dead giver minus the tokens that other rows received from it and that its own row
/// does not show as given.
fn available_balance(
    giver: &GrantRow,
    others: &[GrantRow],
    budget: &BudgetId,
    receiver: &HolderKey,
    received: Option<Tokens>,
) -> Tokens {
    let Some(account) = giver.accounts.get(budget) else {
        return 0;
    };
    let giver_key = holder_key(&giver.holder);
    let unrecorded_from = |key: &HolderKey, received: Tokens| {
        received.saturating_sub(account.given.get(key).copied().unwrap_or_default())
    };
    let others = others.iter().filter(|other| other.holder != giver.holder);
    let by_others: Tokens = others
        .filter_map(|other| {
            let received = other.accounts.get(budget)?.received.get(&giver_key)?;
            Some(unrecorded_from(&holder_key(&other.holder), *received))
        })
        .sum();
    let unrecorded = by_others + unrecorded_from(receiver, received.unwrap_or_default());
    account.balance().saturating_sub(unrecorded)
}
