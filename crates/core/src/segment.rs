//! Segments of charge lines: one object per charge commit of a holder, kept in the object store.

use std::time::SystemTime;

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::{BudgetId, CustomerId, EndpointId, HolderId, RequestId, RouteId, ShardId, Tokens};

/// Key prefix of all segments of one holder.
pub fn segment_prefix(holder: &HolderId) -> String {
    format!("segment/{holder}/")
}

/// Key of the segment of one commit in one shard.
pub fn segment_key(holder: &HolderId, shard: ShardId, seq: u64) -> String {
    format!("segment/{holder}/{shard}/{seq:012}")
}

/// Key prefix of the charge lines written by the settlement of dead holders.
pub const SETTLED_PREFIX: &str = "settled/";

/// Key of the charge line of a request that a dead holder's settlement charged from an endpoint's
/// stream list.
pub fn settled_key(holder: &HolderId, shard: ShardId, request: &str) -> String {
    format!("{SETTLED_PREFIX}{holder}/{shard}/{request}")
}

/// Charge lines and open requests of one commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// Router run that wrote the segment.
    pub holder: HolderId,
    /// Shard of the budgets.
    pub shard: ShardId,
    /// Sequence number of the commit that the segment belongs to.
    pub seq: u64,
    /// Requests that ended since the previous commit.
    pub lines: Vec<ChargeLine>,
    /// Requests that were open at the commit.
    pub open: Vec<OpenRequest>,
}

/// Charge of one finished request, for the ledger and for `jasminectl explain`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChargeLine {
    /// Id of the request.
    pub request: RequestId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Budget that was charged.
    pub budget: BudgetId,
    /// Route of the request.
    pub route: RouteId,
    /// Endpoint that ran it, if any.
    pub endpoint: Option<EndpointId>,
    /// Tokens charged.
    pub tokens: Tokens,
    /// Outcome: `ran`, `cancelled`, `failed` or `unknown`.
    pub outcome: SmolStr,
    /// Wall-clock time of the end; for display only.
    pub ended_at: SystemTime,
}

/// Request that was dispatched and has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Budget whose tokens are held.
    pub budget: BudgetId,
    /// Tokens held.
    pub hold: Tokens,
    /// Endpoint that it was sent to, once chosen.
    pub endpoint: Option<EndpointId>,
}
