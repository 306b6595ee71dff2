use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jasminewall_ports::{Category, Result};

use crate::{
    fleet::FleetView,
    port::{ConfigPage, EndpointPage, RecordPort},
};

/// Longest time that a watch waits at the store. A dead connection is noticed after it, and a new
/// configuration must be in force within two seconds after the store is reachable again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after a failed call, so that a failing store is not called in a busy loop.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after changed registrations. Heartbeats change rows all the time. The pause batches
/// several changes into one response, and is short compared to the two seconds within which a
/// leaving endpoint must be noticed.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);

/// Watches the operator's configuration for as long as the router runs.
pub(crate) async fn follow_config(view: Arc<FleetView>, port: Arc<dyn RecordPort>) {
    let mut since = None;
    loop {
        let outcome = match since {
            None => port.read_config().await,
            Some(since) => {
                port.watch_config(since, Instant::now() + WATCH_TIMEOUT)
                    .await
            }
        };
        let page = record_outcome(&view, outcome, &mut since, "configuration").await;
        let Some(ConfigPage { config, version }) = page else {
            continue;
        };
        since = Some(version);
        if let Some(config) = config {
            view.install(config, "store");
        }
    }
}

/// Watches the endpoints' registrations for as long as the router runs.
pub(crate) async fn follow_endpoints(view: Arc<FleetView>, port: Arc<dyn RecordPort>) {
    let mut since = None;
    loop {
        let read_all = since.is_none();
        let outcome = match since {
            None => port.read_endpoints().await,
            Some(since) => {
                port.watch_endpoints(since, Instant::now() + WATCH_TIMEOUT)
                    .await
            }
        };
        let page = record_outcome(&view, outcome, &mut since, "endpoints").await;
        let Some(page) = page else {
            continue;
        };
        let EndpointPage { version, .. } = page;
        since = Some(version);
        let now = Instant::now();
        let changed = !page.changes.is_empty();
        if read_all {
            view.replace_endpoints(page, now);
        } else {
            view.update_endpoints(page, now);
        }
        if changed {
            tokio::time::sleep(CHANGE_PAUSE).await;
        }
    }
}

/// Records the outcome of a call to the store. If the store has compacted its history, the next
/// call reads everything.
async fn record_outcome<T>(
    view: &FleetView,
    outcome: Result<T>,
    since: &mut Option<u64>,
    what: &str,
) -> Option<T> {
    match outcome {
        Ok(page) => {
            view.store_answered(Instant::now());
            Some(page)
        }
        Err(error) if error.category() == Category::Compacted => {
            tracing::info!(what, "the store dropped its history; reading everything");
            *since = None;
            None
        }
        Err(error) => {
            tracing::debug!(what, %error, "a watch failed");
            view.store_failed(Instant::now());
            tokio::time::sleep(FAILURE_PAUSE).await;
            None
        }
    }
}
