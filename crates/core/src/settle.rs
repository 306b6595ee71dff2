//! Settlement of a dead router's account from evidence.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    BudgetId, EndpointId, HolderId, RequestId, Tokens,
    budget::{self, GrantRow, HolderKey, PoolRow, holder_key, move_to_pool},
    segment::{ChargeLine, SegmentRecord},
};

/// Prefix of the evidence objects on one holder.
pub fn evidence_prefix(holder: &HolderId) -> String {
    format!("evidence/{holder}/")
}

/// Key of the evidence object on one request of a holder.
pub fn evidence_key(holder: &HolderId, request: &RequestId) -> String {
    format!("evidence/{holder}/{request}")
}

/// Charge of one request of a dead holder, from an evidence object or an endpoint's stream list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeEvidence {
    /// Request.
    pub request: RequestId,
    /// Budget that pays.
    pub budget: BudgetId,
    /// Tokens that the request used.
    pub tokens: Tokens,
}

impl ChargeEvidence {
    fn of_line(line: &ChargeLine) -> Self {
        Self {
            request: line.request.clone(),
            budget: line.budget.clone(),
            tokens: line.tokens,
        }
    }
}

/// What is known of a dead holder besides its row.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettlementEvidence {
    /// Segments of the shard, in any order.
    pub segments: Vec<SegmentRecord>,
    /// Evidence objects of routers that resumed streams.
    pub resumed: Vec<ChargeEvidence>,
    /// Requests of the holder on each endpoint that listed them.
    pub listed: BTreeMap<EndpointId, Vec<ChargeEvidence>>,
    /// Endpoints that the holder could have used.
    pub endpoints: BTreeSet<EndpointId>,
}

impl SettlementEvidence {
    /// Whether every endpoint that the holder could have used has listed its requests.
    pub fn is_exact(&self) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.all(|endpoint| self.listed.contains_key(endpoint))
    }
}

/// Result of one settlement; a later one with more evidence continues from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettleOutcome {
    /// Tokens newly charged, per budget.
    pub charged: BTreeMap<BudgetId, Tokens>,
    /// Tokens returned to the pool, per budget.
    pub returned: BTreeMap<BudgetId, Tokens>,
    /// Tokens whose use is not proven, per budget.
    pub unresolved: BTreeMap<BudgetId, Tokens>,
}

/// Settles a closed row: charges what is proven, and returns the rest once the account is exact.
///
/// `others` are all other grant rows of the shard, read after the row was closed and after `pool`.
/// The result must be stored together with the pool row in the version that was read: this puts
/// settlements of two dead holders that gave each other tokens in order.
pub fn settle_row(
    pool: &mut PoolRow,
    row: &mut GrantRow,
    others: &[GrantRow],
    evidence: &SettlementEvidence,
) -> SettleOutcome {
    match_transfers(row, others);
    let charged = charge_evidence(row, others, evidence);
    row.exact |= evidence.is_exact() && charged.is_complete;
    // A peer that may still exchange tokens with the row can hold part of its balance.
    let is_final = others.iter().all(|other| budget::is_final(row, other));
    let mut outcome = SettleOutcome {
        charged: charged.tokens,
        ..SettleOutcome::default()
    };
    for name in row.accounts.keys().cloned().collect::<Vec<_>>() {
        settle_account(pool, row, &name, row.exact && is_final, &mut outcome);
    }
    outcome
}

fn settle_account(
    pool: &mut PoolRow,
    row: &mut GrantRow,
    name: &BudgetId,
    exact: bool,
    outcome: &mut SettleOutcome,
) {
    let key = holder_key(&row.holder);
    let balance = row.accounts[name].balance();
    let entry = pool.budgets.entry(name.clone()).or_default();
    entry.unresolved.remove(&key);
    if balance == 0 {
        return;
    }
    if exact {
        move_to_pool(pool, row, name, balance);
        outcome.returned.insert(name.clone(), balance);
    } else {
        entry.unresolved.insert(key, balance);
        outcome.unresolved.insert(name.clone(), balance);
    }
}

/// Takes over the larger of both sides' amounts: the giver debits first, so a receiver's amount
/// is proof. What a final receiver does not have was lost with a response and stays here.
fn match_transfers(row: &mut GrantRow, others: &[GrantRow]) {
    let key = holder_key(&row.holder);
    for other in others {
        let peer = holder_key(&other.holder);
        let is_final = other.closed_peers.contains(&key);
        let names: BTreeSet<BudgetId> = row
            .accounts
            .keys()
            .chain(other.accounts.keys())
            .cloned()
            .collect();
        for name in names {
            let theirs = other.accounts.get(&name).cloned().unwrap_or_default();
            let to_them = theirs.received.get(&key).copied().unwrap_or_default();
            let from_them = theirs.given.get(&key).copied().unwrap_or_default();
            if to_them == 0 && from_them == 0 && !row.accounts.contains_key(&name) {
                continue;
            }
            let account = row.accounts.entry(name).or_default();
            let given = account.given.entry(peer.clone()).or_default();
            *given = if is_final {
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

struct EvidenceCharge {
    tokens: BTreeMap<BudgetId, Tokens>,
    is_complete: bool,
}

/// Charges each proven request once and as a whole: segments beyond the committed number first,
/// then evidence of resumed streams, then the endpoints' lists.
fn charge_evidence(
    row: &mut GrantRow,
    others: &[GrantRow],
    evidence: &SettlementEvidence,
) -> EvidenceCharge {
    let mut segments: Vec<&SegmentRecord> = evidence.segments.iter().collect();
    segments.sort_by_key(|segment| segment.seq);
    let seq = row.seq;
    let (committed, beyond): (Vec<_>, Vec<_>) =
        segments.into_iter().partition(|segment| segment.seq <= seq);
    let lines = |segments: Vec<&SegmentRecord>| -> Vec<ChargeEvidence> {
        let lines = segments.into_iter().flat_map(|segment| &segment.lines);
        lines.map(ChargeEvidence::of_line).collect()
    };
    let committed: BTreeSet<RequestId> = lines(committed)
        .into_iter()
        .map(|charge| charge.request)
        .collect();
    let mut charges = lines(beyond);
    charges.extend(evidence.resumed.iter().cloned());
    charges.extend(evidence.listed.values().flatten().cloned());
    let mut result = EvidenceCharge {
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

/// Whether the balance covers a proven charge.
///
/// Tokens that the balance lacks came from a peer whose row does not show the transfer. When the
/// giver is dead as well and its own charges are exact, its balance must contain them; they are
/// entered as received, and the settlement of the giver takes the amount over.
fn cover_charge(row: &mut GrantRow, others: &[GrantRow], charge: &ChargeEvidence) -> bool {
    let key = holder_key(&row.holder);
    let account = row.accounts.entry(charge.budget.clone()).or_default();
    let mut missing = charge.tokens.saturating_sub(account.balance());
    let mut sources = Vec::new();
    for giver in others.iter().filter(|other| other.closed && other.exact) {
        let own = account.received.get(&holder_key(&giver.holder));
        let spare = spare_of(giver, others, &charge.budget, &key, own.copied());
        let tokens = spare.min(missing);
        missing -= tokens;
        sources.push((holder_key(&giver.holder), tokens));
    }
    if missing > 0 {
        return false;
    }
    for (giver, tokens) in sources.into_iter().filter(|(_, tokens)| *tokens > 0) {
        *account.received.entry(giver).or_default() += tokens;
    }
    true
}

/// Balance of a dead giver less what rows name as received from it and it does not name as given.
fn spare_of(
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
    let lacks = |key: &HolderKey, received: Tokens| {
        received.saturating_sub(account.given.get(key).copied().unwrap_or_default())
    };
    let others = others.iter().filter(|other| other.holder != giver.holder);
    let named: Tokens = others
        .filter_map(|other| {
            let received = other.accounts.get(budget)?.received.get(&giver_key)?;
            Some(lacks(&holder_key(&other.holder), *received))
        })
        .sum();
    let named = named + lacks(receiver, received.unwrap_or_default());
    account.balance().saturating_sub(named)
}
