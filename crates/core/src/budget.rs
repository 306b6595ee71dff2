//! Table rows that hold prepaid tokens: the pool of a shard and the grants of one holder.

use std::collections::{BTreeMap, BTreeSet};

use {
    serde::{Deserialize, Serialize},
    smol_str::{SmolStr, ToSmolStr},
};

use crate::{BudgetId, HolderId, RequestId, ShardId, Tokens, record::TopUpRecord};

/// Text form of a [`HolderId`], used as a key of JSON maps.
pub type HolderKey = SmolStr;

/// Key of a holder in JSON maps.
pub fn holder_key(holder: &HolderId) -> HolderKey {
    holder.to_smolstr()
}

/// Key of a shard's pool row.
pub fn pool_key(shard: ShardId) -> String {
    format!("pool/{shard}")
}

/// Key prefix of a shard's grant rows.
pub fn grant_prefix(shard: ShardId) -> String {
    format!("grant/{shard}/")
}

/// Key of the grant row of one holder in a shard.
pub fn grant_key(shard: ShardId, holder: &HolderId) -> String {
    format!("grant/{shard}/{holder}")
}

/// Free tokens of the budgets of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Entry per budget.
    pub budgets: BTreeMap<BudgetId, PoolEntry>,
}

/// Unallocated tokens of one budget, and the tokens spent by holders whose rows were folded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEntry {
    /// Total tokens paid in.
    pub prepaid: Tokens,
    /// Tokens that are not granted to a holder.
    pub free: Tokens,
    /// Tokens charged by holders whose grant rows are folded into the pool.
    pub spent: Tokens,
    /// Ids of the applied top-ups and lowerings.
    pub top_ups: BTreeSet<SmolStr>,
    /// Tokens taken back by each lowering, by id.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lowered: BTreeMap<SmolStr, Tokens>,
    /// Holders that have tokens of the budget.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub holders: BTreeSet<HolderKey>,
    /// Tokens of dead holders whose use is not proven, copied from their closed grant rows.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unresolved: BTreeMap<HolderKey, Tokens>,
}

/// Result of lowering a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LowerOutcome {
    /// Tokens taken back.
    pub taken: Tokens,
    /// Requested tokens that were not taken back, because they are granted or spent.
    pub shortfall: Tokens,
}

impl PoolEntry {
    /// Applies a declared payment once: adds its tokens or, for a negative amount, takes free tokens
    /// back and returns the outcome.
    pub fn apply_payment(&mut self, record: &TopUpRecord) -> Option<LowerOutcome> {
        let size = record.amount.unsigned_abs();
        if record.amount < 0 {
            return Some(self.lower(&record.name, size));
        }
        self.top_up(&record.name, size);
        None
    }

    /// Adds a top-up once; returns `false` without effect if its id is already applied.
    pub fn top_up(&mut self, id: &SmolStr, amount: Tokens) -> bool {
        if !self.top_ups.insert(id.clone()) {
            return false;
        }
        self.prepaid += amount;
        self.free += amount;
        true
    }

    /// Takes free tokens back once; repeating the same id returns the first result.
    pub fn lower(&mut self, id: &SmolStr, amount: Tokens) -> LowerOutcome {
        if self.top_ups.insert(id.clone()) {
            let taken = amount.min(self.free);
            self.free -= taken;
            self.prepaid -= taken;
            self.lowered.insert(id.clone(), taken);
        }
        let taken = self.lowered.get(id).copied().unwrap_or_default();
        LowerOutcome {
            taken,
            shortfall: amount.saturating_sub(taken),
        }
    }
}

/// Grants of one holder in one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRow {
    /// Router run that owns the row.
    pub holder: HolderId,
    /// Number of the last commit that carries charges, which names its segment.
    pub seq: u64,
    /// Number of the last commit of any kind, which shows whether a commit with a lost response took
    /// effect.
    #[serde(default)]
    pub step: u64,
    /// Whether the row is closed, since the holder is dead or stopped; the holder's later commits
    /// conflict.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub closed: bool,
    /// Whether the charges of a closed row are complete, as shown by the holder itself or by evidence.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub exact: bool,
    /// Holders with which transfers have ended; amounts given and received are final.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub closed_peers: BTreeSet<HolderKey>,
    /// Requests charged by the settlement of the closed row.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub settled: BTreeSet<RequestId>,
    /// Account per budget.
    pub accounts: BTreeMap<BudgetId, GrantAccount>,
}

impl GrantRow {
    /// Creates the row of a holder before its first commit.
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder,
            seq: 0,
            step: 0,
            closed: false,
            exact: false,
            closed_peers: BTreeSet::new(),
            settled: BTreeSet::new(),
            accounts: BTreeMap::new(),
        }
    }
}

/// Committed account of one budget at one holder. No amount ever decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAccount {
    /// Tokens taken from the pool.
    pub granted: Tokens,
    /// Tokens put back into the pool.
    pub returned: Tokens,
    /// Tokens charged for requests.
    pub charged: Tokens,
    /// Tokens received from each peer.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub received: BTreeMap<HolderKey, Tokens>,
    /// Tokens given to each peer.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub given: BTreeMap<HolderKey, Tokens>,
    /// Upper limit for the sum of `given` until the next commit.
    #[serde(default)]
    pub transferable: Tokens,
}

impl GrantAccount {
    /// Tokens received from all peers.
    pub fn received_total(&self) -> Tokens {
        self.received.values().sum()
    }

    /// Tokens given to all peers.
    pub fn given_total(&self) -> Tokens {
        self.given.values().sum()
    }

    /// Tokens granted or received that were neither returned, given nor charged.
    pub fn balance(&self) -> Tokens {
        (self.granted + self.received_total())
            .saturating_sub(self.returned + self.given_total() + self.charged)
    }

    /// Tokens that left the account beyond those it records as granted or received. They came from
    /// a peer whose transfer the account does not show yet.
    pub fn shortfall(&self) -> Tokens {
        (self.returned + self.given_total() + self.charged)
            .saturating_sub(self.granted + self.received_total())
    }
}

/// Moves tokens from the pool to a holder, at most those that are free; returns their number.
pub fn move_to_grant(
    pool: &mut PoolRow,
    row: &mut GrantRow,
    budget: &BudgetId,
    tokens: Tokens,
) -> Tokens {
    let Some(entry) = pool.budgets.get_mut(budget) else {
        return 0;
    };
    let tokens = tokens.min(entry.free);
    if tokens > 0 {
        entry.free -= tokens;
        entry.holders.insert(holder_key(&row.holder));
        row.accounts.entry(budget.clone()).or_default().granted += tokens;
    }
    tokens
}

/// Moves tokens from a holder back to the pool, at most the balance of its account; returns their
/// number.
pub fn move_to_pool(
    pool: &mut PoolRow,
    row: &mut GrantRow,
    budget: &BudgetId,
    tokens: Tokens,
) -> Tokens {
    let Some(account) = row.accounts.get_mut(budget) else {
        return 0;
    };
    let tokens = tokens.min(account.balance());
    account.returned += tokens;
    let entry = pool.budgets.entry(budget.clone()).or_default();
    entry.free += tokens;
    if account.balance() == 0 {
        entry.holders.remove(&holder_key(&row.holder));
    }
    tokens
}

/// Whether a closed row with complete charges can be folded into the pool: all its balances are 0, and
/// it agrees with every other row of the shard on the final amounts of their transfers.
pub fn can_fold(row: &GrantRow, others: &[GrantRow]) -> bool {
    let empty = row.accounts.values().all(|account| account.balance() == 0);
    let is_settled = |other: &GrantRow| {
        let is_final = transfers_final(row, other, others)
            || row.closed_peers.contains(&holder_key(&other.holder));
        is_final && transfers_match(row, other)
    };
    row.closed && row.exact && empty && others.iter().all(is_settled)
}

/// Whether the transfers between a closed row and another holder are final on the other side.
/// `others` are all rows of the shard except `row`.
pub(crate) fn transfers_final(row: &GrantRow, other: &GrantRow, others: &[GrantRow]) -> bool {
    other.closed_peers.contains(&holder_key(&row.holder)) || is_conclusive(other, others)
}

/// Whether a closed row shows everything that its holder received: its charges are complete, and so
/// are the tokens that it gave, according to all other rows. A holder that gave more than its row
/// can cover got the rest from a peer.
fn is_conclusive(row: &GrantRow, others: &[GrantRow]) -> bool {
    let key = holder_key(&row.holder);
    let is_covered = row
        .accounts
        .values()
        .all(|account| account.shortfall() == 0);
    let is_consistent = |other: &GrantRow| {
        let has_ended = other.closed && other.exact || other.closed_peers.contains(&key);
        has_ended && transfers_match(row, other)
    };
    let mut peers = others.iter().filter(|other| other.holder != row.holder);
    row.closed && row.exact && is_covered && peers.all(is_consistent)
}

/// Whether two rows record the same amounts for their transfers.
pub fn transfers_match(row: &GrantRow, other: &GrantRow) -> bool {
    let (key, peer) = (holder_key(&row.holder), holder_key(&other.holder));
    let budgets = row.accounts.keys().chain(other.accounts.keys());
    let amount = |map: Option<&BTreeMap<HolderKey, Tokens>>, key: &HolderKey| {
        map.and_then(|map| map.get(key))
            .copied()
            .unwrap_or_default()
    };
    budgets.into_iter().all(|budget| {
        let (a, b) = (row.accounts.get(budget), other.accounts.get(budget));
        amount(a.map(|a| &a.given), &peer) == amount(b.map(|b| &b.received), &key)
            && amount(a.map(|a| &a.received), &peer) == amount(b.map(|b| &b.given), &key)
    })
}

/// Adds the charges of a closed row to the pool; the row must then be deleted.
pub fn fold(pool: &mut PoolRow, row: &GrantRow) {
    let key = holder_key(&row.holder);
    for (budget, account) in &row.accounts {
        let entry = pool.budgets.entry(budget.clone()).or_default();
        entry.spent += account.charged;
        entry.holders.remove(&key);
        entry.unresolved.remove(&key);
    }
}
