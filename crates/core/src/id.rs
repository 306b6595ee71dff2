use std::fmt;

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Name of a VM that runs a router.
pub type VmId = SmolStr;
/// Id of one run of the router on a VM. Ids do not tell the order of runs; registration rows do.
pub type BootId = u64;
/// Name of a failure domain.
pub type DomainId = SmolStr;
/// Name of a customer.
pub type CustomerId = SmolStr;
/// Name of a prepaid budget.
pub type BudgetId = SmolStr;
/// Name of a model engine or plain service instance.
pub type EndpointId = SmolStr;
/// Name of a route to endpoints.
pub type RouteId = SmolStr;
/// Id of a request, unique in the fleet.
pub type RequestId = SmolStr;
/// Number of tokens: of a prepaid budget, or of a prompt or output.
pub type Tokens = u64;
/// Number of a configuration revision; 0 is the empty configuration.
pub type Revision = u64;
/// Index of a shard, or number of shards. A shard is a group of budgets that share table rows.
pub type ShardId = u32;

/// One run of a router process: the only writer of its grant accounts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId {
    /// VM on which the router runs.
    pub vm: VmId,
    /// Id of the run on that VM.
    pub boot: BootId,
}

impl HolderId {
    /// Creates a holder id.
    pub fn new(vm: impl Into<VmId>, boot: BootId) -> Self {
        Self {
            vm: vm.into(),
            boot,
        }
    }
}

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}", self.vm, self.boot)
    }
}

/// Returns the shard of a budget, in `0..shards`.
pub fn shard_of(budget: &str, shards: ShardId) -> ShardId {
    let shards = u64::from(shards.max(1));
    u32::try_from(xxh3_64(budget.as_bytes()) % shards).unwrap_or(0)
}
