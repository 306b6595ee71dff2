//! Messages between the routers of a fleet, carried by `tarpc` over TCP.
//!
//! ```
//! use jasminewall_wire::ProbeReply;
//!
//! let reply = ProbeReply { vm: "vm-1".into(), boot: 7, revision: 3, leaving: false };
//! assert_eq!(reply.revision, 3);
//! ```

mod peer;

pub use crate::peer::{
    CloseReply, PeerService, PeerServiceClient, ProbeReply, ServePeerService, SettleRequest,
    SuspectReport, TransferReply, TransferRequest,
};
