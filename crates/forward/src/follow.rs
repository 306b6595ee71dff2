use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jasminewall_ports::{Category, Result, RowPort};

use crate::{
    fleet::FleetView,
    port::{ConfigUpdate, EndpointUpdate, RecordPort},
    snapshot,
};

/// Longest time that a watch waits at the store. A dead connection is noticed only when the watch
/// times out, and a new configuration must be in force within two seconds after the store is
/// reachable again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after a failed call, so that a failing store is not called in a busy loop.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after changed registrations, as a part of the time within which a leaving endpoint must be
/// noticed. Endpoints renew their registrations all the time, so the pause batches several changes
/// into one response.
const CHANGE_PAUSE_DIVISOR: u32 = 4;

/// Watches the operator's configuration for as long as the router runs.
pub(crate) async fn follow_config(view: Arc<FleetView>, port: Arc<dyn RecordPort>) {
    let mut since_version = None;
    loop {
        if view.needs_operator_read(Instant::now()) {
            since_version = None;
        }
        let outcome = match since_version {
            None => port.read_config().await,
            Some(since) => {
                port.watch_config(since, Instant::now() + WATCH_TIMEOUT)
                    .await
            }
        };
        let update = handle_outcome(&view, outcome, &mut since_version, "configuration").await;
        let Some(update) = update else {
            continue;
        };
        // The router becomes ready with the configuration, so the evacuations come first.
        view.update_evacuations(&update, Instant::now());
        let ConfigUpdate {
            config, version, ..
        } = update;
        since_version = Some(version);
        if let Some(config) = config {
            view.install(config, "store");
        }
    }
}

/// Watches the endpoints' registrations for as long as the router runs. `drain` is the time within
/// which a leaving endpoint must be noticed.
pub(crate) async fn follow_endpoints(
    view: Arc<FleetView>,
    port: Arc<dyn RecordPort>,
    rows: Arc<dyn RowPort>,
    drain: Duration,
) {
    let mut since_version = None;
    loop {
        let read_all = since_version.is_none();
        let outcome = match since_version {
            None => match snapshot::load(rows.as_ref(), port.as_ref()).await {
                Some(update) => Ok(update),
                None => port.read_endpoints().await,
            },
            Some(since) => {
                port.watch_endpoints(since, Instant::now() + WATCH_TIMEOUT)
                    .await
            }
        };
        let update = handle_outcome(&view, outcome, &mut since_version, "endpoints").await;
        let Some(update) = update else {
            continue;
        };
        let EndpointUpdate { version, .. } = update;
        since_version = Some(version);
        let now = Instant::now();
        let changed = !update.changes.is_empty();
        if read_all {
            view.replace_endpoints(update, now);
        } else {
            view.update_endpoints(update, now);
        }
        if changed {
            tokio::time::sleep(drain / CHANGE_PAUSE_DIVISOR).await;
        }
    }
}

/// Returns the result of a call to the store; `None` if the call failed. After a failure it waits
/// for [`FAILURE_PAUSE`]. If the store has compacted its history, it resets `since_version`
/// instead, so that the next call reads everything.
async fn handle_outcome<T>(
    view: &FleetView,
    outcome: Result<T>,
    since_version: &mut Option<u64>,
    what: &str,
) -> Option<T> {
    match outcome {
        Ok(update) => {
            view.store_responded(Instant::now());
            Some(update)
        }
        Err(error) if error.category() == Category::Compacted => {
            tracing::info!(what, "the store dropped its history; reading everything");
            *since_version = None;
            None
        }
        Err(error) => {
            tracing::debug!(what, %error, "failed to read or watch the store");
            view.store_failed(Instant::now());
            tokio::time::sleep(FAILURE_PAUSE).await;
            None
        }
    }
}
