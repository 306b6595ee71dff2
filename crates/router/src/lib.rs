//! The jasminewall router: serves callers, spends grants and follows the fleet's configuration.
//!
//! ```no_run
//! use jasminewall_router::{EmbedFleet, telemetry};
//!
//! # async fn start() -> anyhow::Result<()> {
//! telemetry::start(telemetry::LogFormat::Text)?;
//! let fleet = EmbedFleet::start("127.0.0.1".parse()?).await?;
//! println!("{}", fleet.summary());
//! # Ok(())
//! # }
//! ```

mod api;
mod dispatch;
mod embed;
mod fleet;
mod peer;
mod setting;
mod spend;
mod state;
pub mod telemetry;

pub use crate::{
    embed::EmbedFleet,
    fleet::{FleetIntervals, VersionReport},
    setting::RouterSetting,
    state::{RouterHandle, RouterState, StopPlan},
};
