use std::{collections::BTreeMap, net::SocketAddr};

use {
    jasminewall_core::{
        BootId, BudgetId, DomainId, HolderId, RequestId, Revision, Tokens, VmId,
        member::MemberNotice,
    },
    serde::{Deserialize, Serialize},
};

/// What a router says of itself when it probes a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Router that probes.
    pub holder: HolderId,
    /// Address of its peer service.
    pub address: SocketAddr,
    /// Its configuration revision in force.
    pub revision: Revision,
    /// Suspect and leaving members that it knows of.
    pub notices: Vec<MemberNotice>,
}

/// What a router says of itself when a peer probes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// VM of the router.
    pub vm: VmId,
    /// Run of the router.
    pub boot: BootId,
    /// Failure domain of the router.
    pub failure_domain: DomainId,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether the router is stopping.
    pub leaving: bool,
    /// Suspect and leaving members that it knows of.
    pub notices: Vec<MemberNotice>,
}

/// Asks a peer for tokens. Repeats with the same number get the first result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Router run that receives the tokens.
    pub receiver: HolderId,
    /// Router run that is asked; another run refuses.
    pub giver: HolderId,
    /// Number of the transfer, counted by the receiver for each giver from 1.
    pub number: u64,
    /// Budget.
    pub budget: BudgetId,
    /// Least number of tokens that helps.
    pub minimum: Tokens,
    /// Number of tokens wanted.
    pub wanted: Tokens,
}

/// Answer to a transfer request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferReply {
    /// Tokens debited from the giver and now owned by the receiver; 0 is a refusal.
    pub tokens: Tokens,
    /// Tokens that the giver still has.
    pub remaining: Tokens,
}

/// Final word of a router on what it received from a holder that is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseReply {
    /// Tokens received from that holder, per budget.
    pub received: BTreeMap<BudgetId, Tokens>,
}

/// Crash count of a request fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Router run that saw the crashes. Counts of several reporters add up.
    pub reporter: HolderId,
    /// Hash of customer, route and body.
    pub fingerprint: u64,
    /// Endpoint crashes while the request was open on them.
    pub crashes: u32,
    /// Whether a run ended well and cleared it.
    pub cleared: bool,
}

/// Charge of a stream that another router resumed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Request.
    pub request: RequestId,
    /// Tokens to charge in place of the hold.
    pub tokens: Tokens,
}

/// Calls that routers make to each other.
#[tarpc::service]
pub trait PeerService {
    /// Says that the router runs and what it has in force.
    async fn probe(request: ProbeRequest) -> ProbeReply;
    /// Gives tokens of the giver's grant to the receiver.
    async fn transfer(request: TransferRequest) -> TransferReply;
    /// Accepts no more tokens from a holder that is gone and says what was received.
    async fn close_peer(giver: HolderId) -> CloseReply;
    /// Configuration deltas after a revision, in order, as JSON texts; the first part of a snapshot
    /// when the deltas are not kept.
    async fn configs_after(revision: Revision) -> Vec<String>;
    /// Part of a snapshot of the configuration in force, as JSON text.
    async fn config_part(part: u32) -> Option<String>;
    /// Shares crash counts of fingerprints and returns the receiver's own.
    async fn exchange_suspects(reports: Vec<SuspectReport>) -> Vec<SuspectReport>;
    /// Charges a stream that the caller resumed elsewhere; `false` when it is not known here.
    async fn settle(request: SettleRequest) -> bool;
    /// Says that a VM or endpoint is leaving; `boot` is the run of the VM, or 0 for an endpoint.
    async fn leaving(name: VmId, boot: BootId);
}
