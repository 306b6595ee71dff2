//! Ports of the forwarding path to endpoints and to the operator's records.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Instant};

use {
    bytes::Bytes,
    futures_util::Stream,
    http::{HeaderMap, StatusCode},
    jasminewall_core::{CustomerId, EndpointId},
    jasminewall_ports::PortFuture,
    smol_str::SmolStr,
};

use crate::{
    record::{EndpointRecord, FleetConfig},
    request::ForwardRequest,
};

/// One send of a request to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCall<'a> {
    /// Request of the caller.
    pub request: &'a ForwardRequest,
    /// Run of the endpoint that may execute it; another one must refuse.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Customer that pays.
    pub customer: Option<CustomerId>,
    /// When the endpoint must stop working.
    pub deadline: Instant,
    /// Event after which a stream goes on.
    pub resume_from: Option<SmolStr>,
    /// Rank at the engine, from 0 (first) to 9.
    pub priority: Option<u8>,
    /// Whether the request may be sent again when a reused connection turns out to be closed.
    pub retryable: bool,
}

/// Load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual.
    pub slowdown_percent: u32,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing of the request reached the endpoint.
    #[error("the request was not sent ({0}); send it to another endpoint")]
    NotSent(SmolStr),
    /// The request was sent and may have run.
    #[error("the outcome is unknown ({0}); repeat it only if it may run twice")]
    Unknown(SmolStr),
}

/// Body of an endpoint's answer.
pub type EndpointBody = Pin<Box<dyn Stream<Item = Result<Bytes, CallError>> + Send>>;

/// Answer of an endpoint.
pub struct EndpointResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Whether the answer is signed and names the request's id.
    pub authentic: bool,
    /// Whether the endpoint says that it has not run the request.
    pub not_run: bool,
    /// Load at the time of the answer.
    pub load: Option<EndpointLoad>,
    /// Length of the body when it is known.
    pub length: Option<u64>,
    /// Body.
    pub body: EndpointBody,
}

/// Future of a call to an endpoint.
pub type CallFuture<'a> =
    Pin<Box<dyn Future<Output = Result<EndpointResponse, CallError>> + Send + 'a>>;

/// Calls to endpoints.
pub trait EndpointPort: Send + Sync {
    /// Sends a request. Dropping the future or the body tells the endpoint to stop.
    fn call<'a>(&'a self, call: EndpointCall<'a>) -> CallFuture<'a>;
    /// Whether an address takes a connection; no request is sent.
    fn accepts(&self, address: SocketAddr) -> Pin<Box<dyn Future<Output = bool> + Send + '_>>;
}

/// Newest configuration with the store version at which it was read.
#[derive(Clone, Debug, Default)]
pub struct ConfigPage {
    /// Configuration; `None` when there is none or nothing changed.
    pub config: Option<FleetConfig>,
    /// Store version from which a watch goes on.
    pub version: u64,
}

/// Registration that was added, changed, or removed (`None`).
#[derive(Clone, Debug)]
pub struct EndpointChange {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Registration; `None` when it was removed or cannot be read.
    pub record: Option<EndpointRecord>,
}

/// Registrations of endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointPage {
    /// All registrations after a read, the changed ones after a watch.
    pub changes: Vec<EndpointChange>,
    /// Store version from which a watch goes on.
    pub version: u64,
}

/// The operator's configuration and the endpoints' registrations.
///
/// A watch returns an empty page at its deadline and fails with `Compacted` when the history is
/// gone.
pub trait RecordPort: Send + Sync {
    /// Reads the newest configuration.
    fn read_config(&self) -> PortFuture<'_, ConfigPage>;
    /// Waits for a newer configuration.
    fn watch_config(&self, since: u64, deadline: Instant) -> PortFuture<'_, ConfigPage>;
    /// Reads all registrations.
    fn read_endpoints(&self) -> PortFuture<'_, EndpointPage>;
    /// Waits for changed registrations.
    fn watch_endpoints(&self, since: u64, deadline: Instant) -> PortFuture<'_, EndpointPage>;
}
