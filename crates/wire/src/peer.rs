use std::{collections::BTreeMap, net::SocketAddr};

use {
    jasminewall_core::{
        BootId, BudgetId, DomainId, HolderId, RequestId, Revision, Tokens, VmId,
        member::MemberNotice,
    },
    serde::{Deserialize, Serialize},
};

/// Request of a health probe, with the state of the probing router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Run of the probing router.
    pub holder: HolderId,
    /// Address of the prober's peer service.
    pub address: SocketAddr,
    /// Configuration revision in force at the prober.
    pub revision: Revision,
    /// Suspect and leaving members known to the prober.
    pub notices: Vec<MemberNotice>,
}

/// Reply to a health probe, with the state of the probed router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// VM of the probed router.
    pub vm: VmId,
    /// Boot id of the probed router.
    pub boot: BootId,
    /// Failure domain of the probed router.
    pub failure_domain: DomainId,
    /// Configuration revision in force at the probed router.
    pub revision: Revision,
    /// Whether the probed router is stopping.
    pub leaving: bool,
    /// Suspect and leaving members known to the probed router.
    pub notices: Vec<MemberNotice>,
}

/// Request to transfer tokens from a peer. A retry with the same number returns the first result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Router run that receives the tokens.
    pub receiver: HolderId,
    /// Router run that gives the tokens; any other run refuses.
    pub giver: HolderId,
    /// Sequence number of the transfer per receiver and giver, starting at 1.
    pub number: u64,
    /// Budget that the tokens belong to.
    pub budget: BudgetId,
    /// Minimum number of tokens; the giver refuses if it has fewer to give.
    pub minimum: Tokens,
    /// Preferred number of tokens.
    pub wanted: Tokens,
}

/// Reply to a transfer request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferReply {
    /// Tokens moved from the giver to the receiver; 0 is a refusal.
    pub tokens: Tokens,
    /// Tokens that the giver can still transfer.
    pub remaining: Tokens,
}

/// Final totals of the tokens that a router received from a dead router run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseReply {
    /// Tokens received, per budget.
    pub received: BTreeMap<BudgetId, Tokens>,
}

/// Number of endpoint crashes that a router run attributes to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Router run that observed the crashes. Counts of different reporters are added.
    pub reporter: HolderId,
    /// Fingerprint of the request: a hash of customer, route and body.
    pub fingerprint: u64,
    /// Number of endpoint crashes while the request was running there.
    pub crashes: u32,
    /// Whether the request has succeeded since, which clears its count.
    pub cleared: bool,
}

/// Final charge of a stream that was resumed on another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Tokens to charge instead of the reserved amount.
    pub tokens: Tokens,
}

/// RPC service that each router offers to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Checks that the router is alive and returns its state.
    async fn probe(request: ProbeRequest) -> ProbeReply;
    /// Transfers tokens of the giver's grant to the receiver.
    async fn transfer(request: TransferRequest) -> TransferReply;
    /// Stops accepting tokens from the dead router run `giver`, and returns the totals received
    /// from it.
    async fn close_peer(giver: HolderId) -> CloseReply;
    /// Returns the configuration deltas after a revision, in order, as JSON texts, or the first
    /// part of a snapshot if the deltas are no longer kept.
    async fn configs_after(revision: Revision) -> Vec<String>;
    /// Returns a part of a snapshot of the configuration in force, as JSON text.
    async fn config_part(part: u32) -> Option<String>;
    /// Merges the caller's crash counts and returns those of the called router.
    async fn exchange_crashes(reports: Vec<CrashReport>) -> Vec<CrashReport>;
    /// Sets the final charge of a stream that was resumed on another router. Returns `false` if
    /// the request is unknown.
    async fn settle(request: SettleRequest) -> bool;
    /// Announces that a VM or endpoint is leaving. `boot` is the boot id of the VM, or 0 for an
    /// endpoint.
    async fn leaving(name: VmId, boot: BootId);
}
