use {
    jasminewall_core::{BootId, Revision, VmId},
    serde::{Deserialize, Serialize},
};

/// What a router says of itself when a peer probes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// VM of the router.
    pub vm: VmId,
    /// Run of the router.
    pub boot: BootId,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether the router is stopping.
    pub leaving: bool,
}

/// Calls that routers make to each other.
#[tarpc::service]
pub trait PeerService {
    /// Says that the router runs and what it has in force.
    async fn probe() -> ProbeReply;
}
