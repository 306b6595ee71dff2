//! Resolves requests of unknown outcome: their tokens stay held until an endpoint reports their
//! usage.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jasminewall_core::{ConfigRecord, EndpointId, RecordKind, RequestId, Tokens};

use super::{ChargeOutcome, reclaim, settle};
use crate::state::RouterState;

/// Interval between reads of the stream lists of endpoints.
const RESOLVE_INTERVAL: Duration = Duration::from_secs(2);

/// Resolves requests of unknown outcome until the router stops.
pub(super) async fn run(state: Arc<RouterState>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(RESOLVE_INTERVAL) => {}
            () = state.stop.cancelled() => return,
        }
        resolve(&state).await;
    }
}

/// Charges the unresolved requests that their endpoint lists as ended.
///
/// The tokens of a request that is not listed stay held: an endpoint loses its list when it
/// restarts, so a missing entry proves nothing.
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
            .filter(|stream| stream.state != reclaim::STREAM_RUNNING)
            .map(|stream| (stream.request, stream.usage.total_tokens))
            .collect();
        for request in requests {
            if let Some(tokens) = ended.get(&request) {
                settle(state, &request, *tokens, ChargeOutcome::Ran);
            }
        }
    }
}

/// Unresolved requests by the endpoint that they were last sent to.
fn unresolved_requests(state: &RouterState) -> BTreeMap<EndpointId, Vec<RequestId>> {
    let mut requests = BTreeMap::<EndpointId, Vec<RequestId>>::new();
    let ledger = state.spend.ledger();
    for (request, entry) in &ledger.holds {
        if let (true, Some(endpoint)) = (entry.is_unresolved, &entry.endpoint) {
            let requests = requests.entry(endpoint.clone()).or_default();
            requests.push(request.clone());
        }
    }
    requests
}
