//! RPC protocol between the routers of a fleet: `tarpc` over TCP with authenticated frames.
//!
//! ```
//! use jasminewall_wire::ProbeReply;
//!
//! let reply = ProbeReply {
//!     vm: "vm-1".into(),
//!     boot: 7,
//!     failure_domain: "domain-a".into(),
//!     revision: 3,
//!     leaving: false,
//!     notices: Vec::new(),
//! };
//! assert_eq!(reply.revision, 3);
//! ```

mod peer;
mod seal;

pub use crate::{
    peer::{
        CloseReply, CrashReport, PeerService, PeerServiceClient, PeerServiceRequest,
        PeerServiceResponse, ProbeReply, ProbeRequest, ServePeerService, SettleRequest,
        TransferReply, TransferRequest,
    },
    seal::{
        AuthenticatedCodec, AuthenticatedTransport, MAX_FRAME_SIZE, accept, connect, frame_size,
    },
};
