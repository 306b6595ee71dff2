//! Requests that may have run: their tokens stay held until an endpoint says what it ran.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jasminewall_core::{ConfigRecord, EndpointId, RecordKind, RequestId, Tokens};

use super::{RequestOutcome, reclaim, settle};
use crate::state::RouterState;

/// Time between two looks at the endpoints' lists of streams.
const RESOLVE_INTERVAL: Duration = Duration::from_secs(2);

/// Asks endpoints for the outcome of unresolved requests until the router stops.
pub(super) async fn run(state: Arc<RouterState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(RESOLVE_INTERVAL) => {}
            () = state.stop.cancelled() => return,
        }
        resolve(&state).await;
    }
}

/// Charges the unresolved requests whose endpoint lists them as ended.
///
/// A request that the endpoint does not list stays held: an endpoint that restarted has lost its
/// list, so a missing entry proves nothing.
pub(super) async fn resolve(state: &RouterState) {
    for (endpoint, requests) in unresolved_requests(state) {
        let config = state.fleet.config();
        let Some(ConfigRecord::Endpoint(record)) = config.get(RecordKind::Endpoint, &endpoint)
        else {
            continue;
        };
        if !record.lists_streams {
            continue;
        }
        let streams = match reclaim::list_streams(record, &state.holder).await {
            Ok(streams) => streams,
            Err(error) => {
                tracing::debug!(%endpoint, %error, "endpoint does not list its streams");
                continue;
            }
        };
        let ended: BTreeMap<RequestId, Tokens> = streams
            .into_iter()
            .filter(|stream| stream.state != reclaim::RUNNING)
            .map(|stream| (stream.request, stream.usage.total_tokens))
            .collect();
        for request in requests {
            if let Some(tokens) = ended.get(&request) {
                settle(state, &request, *tokens, RequestOutcome::Ran);
            }
        }
    }
}

/// Unresolved requests by the endpoint that got them last.
fn unresolved_requests(state: &RouterState) -> BTreeMap<EndpointId, Vec<RequestId>> {
    let mut requests = BTreeMap::<EndpointId, Vec<RequestId>>::new();
    let ledger = state.spend.ledger();
    for (request, note) in &ledger.notes {
        if let (true, Some(endpoint)) = (note.is_unresolved, &note.endpoint) {
            let entry = requests.entry(endpoint.clone()).or_default();
            entry.push(request.clone());
        }
    }
    requests
}
