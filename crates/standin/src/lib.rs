//! Stand-ins for model engines and plain services, used by tests and by the fleet on one machine.
//!
//! ```no_run
//! use jasminewall_standin::ModelEngine;
//!
//! # async fn start() -> std::io::Result<()> {
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! ModelEngine::new("engine-1", &["glass-7b"]).serve(listener).await
//! # }
//! ```

mod engine;
mod order;
mod service;

pub use crate::{engine::ModelEngine, order::OrderServer, service::PlainService};
