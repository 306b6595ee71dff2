//! The jasminewall router: serves callers, spends its grants of customer budgets and follows the
//! configuration of the fleet.
//!
//! ```no_run
//! use jasminewall_router::{EmbeddedFleet, setting::LogFormat, telemetry};
//!
//! # async fn start() -> anyhow::Result<()> {
//! telemetry::start(LogFormat::Text, "warn")?;
//! let fleet = EmbeddedFleet::start("127.0.0.1".parse()?).await?;
//! println!("{}", fleet.summary());
//! # Ok(())
//! # }
//! ```

mod api;
mod dispatch;
mod embed;
mod fleet;
mod peer;
pub mod setting;
mod spend;
mod state;
pub mod telemetry;

pub use crate::{
    embed::{EmbeddedFleet, StandinFleet},
    fleet::{FleetIntervals, VersionReport},
    setting::{RouterSetting, StandinSetting},
    spend::ReclaimReport,
    state::{RouterHandle, RouterState, StopPlan},
};
