//! Logs and metrics.

use {
    anyhow::{Result, anyhow},
    tracing_subscriber::EnvFilter,
};

/// Form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text an event.
    Text,
    /// One JSON object an event.
    Json,
}

/// Starts logging to standard error, filtered by `RUST_LOG` (`info` by default).
///
/// # Errors
///
/// When logging was started before.
pub fn start(format: LogFormat) -> Result<()> {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let started = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|error| anyhow!("cannot start logging: {error}"))
}
