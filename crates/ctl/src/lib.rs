//! Library behind `jasminectl`, the command line for operators of a jasminewall fleet.
//!
//! ```
//! use jasminewall_ctl::{ApplyOptions, ControlClient, DeclarationFile};
//! use jasminewall_ports::MemoryPlatform;
//!
//! # tokio::runtime::Runtime::new().expect("runtime").block_on(async {
//! let client = ControlClient::new(MemoryPlatform::new().ports(), 4);
//! let text = "schema = 2\n[[customer]]\nname = \"parish\"\nkey_sha256 = []\n";
//! let files = [DeclarationFile::new("fleet.toml", text)];
//! let report = client.apply(&files, &ApplyOptions::default()).await.expect("the table is available");
//! assert_eq!(report.text, "+ customer parish\nrevision 1 is accepted, with 1 changed record");
//! # });
//! ```

mod client;
mod command;
mod declare;
mod error;
mod explain;
mod ledger;
mod setting;
mod status;

pub use crate::{
    client::ControlClient,
    command::{DrainAction, TopUpPayment, check, hash_key},
    declare::{ApplyOptions, DeclarationFile},
    error::{CommandReport, Error, ExitKind, Result},
    setting::ControlSetting,
};
