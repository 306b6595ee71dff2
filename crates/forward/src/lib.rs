//! Forwarding of requests to model engines and plain services, paid from prepaid budgets.
//!
//! The crate contains the decisions, state and recovery of the forwarding path. Callers' requests,
//! calls to endpoints and the platform's store are reached through the ports in [`port`], so the
//! wire formats are defined elsewhere.
//!
//! ```
//! use jasminewall_forward::retry::RetryBudget;
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut budget = RetryBudget::new(Duration::from_secs(10), 0.2, 1.0);
//! assert!(budget.withdraw(now), "the slack allows one retry");
//! assert!(!budget.withdraw(now), "no request has earned another one");
//! ```

pub mod account;
pub mod allowance;
mod attempt;
mod balancer;
mod budget;
mod buffered;
mod dispatch;
pub mod draws;
pub mod eligible;
pub mod evacuation;
mod fleet;
mod follow;
mod forwarder;
mod group;
mod link;
mod manager;
mod metric;
mod node;
pub mod notice;
pub mod offer;
pub mod origin;
pub mod owner;
pub mod peer;
mod placement;
pub mod port;
pub mod record;
pub mod request;
pub mod retry;
pub mod session;
pub mod setting;
pub mod snapshot;
mod sse;
mod stream;
pub mod supply;
mod trial;
pub mod warmup;

pub use crate::{
    balancer::{LoadBalancer, RouterLoad},
    fleet::FleetView,
    forwarder::{Forwarder, StopWindow},
    link::LinkMeter,
    manager::{
        BudgetHold, BudgetManager, BudgetShortage, DepositOutcome, PredecessorEnd, TokenPeers,
    },
    metric::METRIC_NAMES,
    node::{ForwardNode, ForwardPorts},
    placement::{Placement, PlacementQuery},
    setting::ForwardSetting,
    sse::{EventSplitter, StreamEvent},
};
