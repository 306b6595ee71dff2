//! Table rows that hold prepaid tokens: the pool of a shard and the grants of one holder.

use std::collections::{BTreeMap, BTreeSet};

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::{BudgetId, HolderId, ShardId, Tokens};

/// Key of the pool row of a shard.
pub fn pool_key(shard: ShardId) -> String {
    format!("pool/{shard}")
}

/// Prefix of all grant rows of a shard.
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
    /// Entry of each budget.
    pub budgets: BTreeMap<BudgetId, PoolEntry>,
}

/// Tokens of one budget that no holder has, and what holders that are gone have spent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEntry {
    /// Tokens paid in so far.
    pub prepaid: Tokens,
    /// Tokens that no holder has.
    pub free: Tokens,
    /// Tokens charged by holders whose grant rows are folded into the pool.
    pub spent: Tokens,
    /// Ids of the top-ups that took effect.
    pub top_ups: BTreeSet<SmolStr>,
}

impl PoolEntry {
    /// Adds a top-up once; repeats of the same id change nothing.
    pub fn top_up(&mut self, id: &SmolStr, amount: Tokens) -> bool {
        if !self.top_ups.insert(id.clone()) {
            return false;
        }
        self.prepaid += amount;
        self.free += amount;
        true
    }
}

/// Grants of one holder in one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRow {
    /// Router run that owns the row.
    pub holder: HolderId,
    /// Number of the last commit of the holder.
    pub seq: u64,
    /// Account of each budget.
    pub accounts: BTreeMap<BudgetId, GrantAccount>,
}

/// Committed account of one budget at one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAccount {
    /// Tokens taken from the pool.
    pub granted: Tokens,
    /// Tokens put back into the pool.
    pub returned: Tokens,
    /// Tokens charged for requests.
    pub charged: Tokens,
}
