//! Sends requests to endpoints.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use {
    axum::body::Body,
    hyper::{Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jasminewall_core::{
        ConfigRecord, EndpointId, RecordKind, Refusal, RefusalCode, RequestId, Tokens,
        choice::{EndpointView, choose},
        record::{EndpointRecord, RouteRecord},
    },
};

use crate::state::RouterState;

/// What the router knows of endpoints.
pub(crate) struct RoutingTable {
    client: Client<HttpConnector, Body>,
    outstanding: Mutex<HashMap<EndpointId, Tokens>>,
}

impl RoutingTable {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            outstanding: Mutex::default(),
        }
    }

    fn add(&self, endpoint: &EndpointId, work: Tokens) {
        let mut outstanding = self
            .outstanding
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *outstanding.entry(endpoint.clone()).or_default() += work;
    }

    fn remove(&self, endpoint: &EndpointId, work: Tokens) {
        let mut outstanding = self
            .outstanding
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = outstanding.entry(endpoint.clone()).or_default();
        *entry = entry.saturating_sub(work);
    }

    fn of(&self, endpoint: &EndpointId) -> Tokens {
        let outstanding = self
            .outstanding
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        outstanding.get(endpoint).copied().unwrap_or_default()
    }
}

/// Chooses an endpoint of a route and logs the decision.
pub(crate) fn pick(
    state: &RouterState,
    route: &RouteRecord,
    request: &RequestId,
) -> Result<EndpointRecord, Refusal> {
    let config = state.fleet.config();
    let records: Vec<&EndpointRecord> = route
        .endpoints
        .iter()
        .filter_map(|name| match config.get(RecordKind::Endpoint, name) {
            Some(ConfigRecord::Endpoint(record)) if !record.leaving => Some(record),
            _ => None,
        })
        .collect();
    let views: Vec<EndpointView> = records
        .iter()
        .map(|record| EndpointView {
            endpoint: record.name.clone(),
            outstanding: state.routing.of(&record.name),
        })
        .collect();
    let choice = choose(&views, &mut rand::rng()).ok_or(RefusalCode::NoEndpoint)?;
    tracing::info!(
        %request,
        route = %route.name,
        revision = config.revision(),
        choice = %choice.endpoint,
        runner_up = choice.runner_up.as_deref().unwrap_or("none"),
        reason = "least outstanding of two",
        "endpoint chosen"
    );
    let record = records
        .into_iter()
        .find(|record| record.name == choice.endpoint);
    record
        .cloned()
        .ok_or_else(|| RefusalCode::NoEndpoint.into())
}

/// Sends a request to an endpoint and waits for the head of its answer.
pub(crate) async fn send(
    state: &RouterState,
    endpoint: &EndpointRecord,
    work: Tokens,
    request: Request<Body>,
) -> Result<Response<Incoming>, Refusal> {
    state.routing.add(&endpoint.name, work);
    let outcome = state.routing.client.request(request).await;
    state.routing.remove(&endpoint.name, work);
    outcome.map_err(|error| {
        tracing::warn!(endpoint = %endpoint.name, %error, "request to the endpoint failed");
        if error.is_connect() {
            RefusalCode::EndpointUnreachable.into()
        } else {
            RefusalCode::OutcomeUnknown.into()
        }
    })
}
