//! Segments of charge lines: one object in the object store for each commit of a holder.

use std::time::SystemTime;

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::{BudgetId, CustomerId, EndpointId, HolderId, RequestId, RouteId, ShardId, Tokens};

/// Prefix of all segments of one holder.
pub fn segment_prefix(holder: &HolderId) -> String {
    format!("segment/{holder}/")
}

/// Key of the segment that belongs to one commit of one shard.
pub fn segment_key(holder: &HolderId, shard: ShardId, seq: u64) -> String {
    format!("segment/{holder}/{shard}/{seq:012}")
}

/// Prefix of the charge lines that settlements of dead holders wrote.
pub const SETTLED_PREFIX: &str = "settled/";

/// Key of the line of a request that the settlement of a dead holder charged from a list.
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
    /// Number of the commit that the segment belongs to.
    pub seq: u64,
    /// Requests that ended since the commit before.
    pub lines: Vec<ChargeLine>,
    /// Requests that were open at the commit.
    pub open: Vec<OpenRequest>,
}

/// End of one request, for the ledger and for `jasminectl explain`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChargeLine {
    /// Request.
    pub request: RequestId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Budget that paid.
    pub budget: BudgetId,
    /// Route.
    pub route: RouteId,
    /// Endpoint that ran it, if any.
    pub endpoint: Option<EndpointId>,
    /// Tokens charged.
    pub tokens: Tokens,
    /// One word for the end: `ran`, `cancelled`, `failed`, `unknown`.
    pub outcome: SmolStr,
    /// Wall-clock time of the end, for people only.
    pub ended_at: SystemTime,
}

/// Request that was dispatched and had not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Request.
    pub request: RequestId,
    /// Budget whose tokens are held.
    pub budget: BudgetId,
    /// Tokens held.
    pub hold: Tokens,
    /// Endpoint that got it, once chosen.
    pub endpoint: Option<EndpointId>,
}
