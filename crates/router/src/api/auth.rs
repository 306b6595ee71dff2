//! Authentication of requests, and the choice of their budget and route.

use std::{
    collections::HashMap,
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, Instant},
};

use {
    axum::http::{HeaderMap, header, request::Parts},
    jasminewall_caller::CallerSlot,
    jasminewall_core::{
        BudgetId, ConfigRecord, ConfigState, CustomerId, RecordKind, Refusal, RefusalCode,
        RequestId, Revision,
        admission::WorkClass,
        record::{EndpointKind, RouteRecord},
    },
    sha2::{Digest, Sha256},
};

use super::{CallerApi, execute};

/// Authenticated request, with its budget and route.
#[derive(Clone, Debug)]
pub(super) struct RequestContext {
    pub(super) id: RequestId,
    pub(super) customer: CustomerId,
    pub(super) budget: BudgetId,
    pub(super) route: RouteRecord,
    pub(super) class: WorkClass,
    pub(super) received_at: Instant,
    pub(super) deadline: Instant,
    /// Slot of the caller's connection.
    pub(super) slot: Arc<CallerSlot>,
}

/// Index of customers by the hash of their API key, and of their default budgets. Rebuilt when the
/// configuration revision changes.
#[derive(Default)]
pub(super) struct AuthTable {
    index: RwLock<Arc<AuthIndex>>,
}

#[derive(Default)]
struct AuthIndex {
    revision: Revision,
    keys: HashMap<String, CustomerId>,
    /// Default budget of each customer with budgets: the only one, or `None` if there are several.
    budgets: HashMap<CustomerId, Option<BudgetId>>,
}

impl AuthIndex {
    fn new(config: &ConfigState) -> Self {
        let mut index = Self {
            revision: config.revision(),
            ..Self::default()
        };
        for record in config.records() {
            match record {
                ConfigRecord::Customer(customer) => {
                    for key in &customer.key_sha256 {
                        index.keys.insert(key.to_string(), customer.name.clone());
                    }
                }
                ConfigRecord::Budget(budget) => {
                    index
                        .budgets
                        .entry(budget.customer.clone())
                        .and_modify(|only| *only = None)
                        .or_insert_with(|| Some(budget.name.clone()));
                }
                _ => {}
            }
        }
        index
    }
}

impl AuthTable {
    fn index(&self, config: &ConfigState) -> Arc<AuthIndex> {
        let index = self
            .index
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if index.revision == config.revision() {
            return index;
        }
        let index = Arc::new(AuthIndex::new(config));
        *self.index.write().unwrap_or_else(PoisonError::into_inner) = index.clone();
        index
    }

    /// Returns the customer that the bearer key belongs to.
    pub(super) fn authenticate(
        &self,
        config: &ConfigState,
        headers: &HeaderMap,
    ) -> Result<CustomerId, Refusal> {
        if config.revision() == 0 {
            return Err(RefusalCode::NotReady.into());
        }
        let hash = bearer_key(headers).map(|key| hex::encode(Sha256::digest(key.as_bytes())));
        hash.and_then(|hash| self.index(config).keys.get(&hash).cloned())
            .ok_or_else(|| RefusalCode::Unauthenticated.into())
    }

    /// Returns the budget that the request names, or the customer's only budget.
    pub(super) fn select_budget(
        &self,
        config: &ConfigState,
        customer: &CustomerId,
        headers: &HeaderMap,
    ) -> Result<BudgetId, Refusal> {
        let Some(name) = headers.get("x-jasminewall-budget") else {
            let only = self.index(config).budgets.get(customer).cloned();
            return only
                .flatten()
                .ok_or_else(|| RefusalCode::BudgetRequired.into());
        };
        let name = name.to_str().unwrap_or_default();
        match config.get(RecordKind::Budget, name) {
            Some(ConfigRecord::Budget(budget)) if budget.customer == *customer => {
                Ok(budget.name.clone())
            }
            _ => Err(RefusalCode::BudgetForbidden.into()),
        }
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns whether all declared endpoints of a route run work of this kind.
pub(super) fn runs_kind(config: &ConfigState, route: &RouteRecord, kind: EndpointKind) -> bool {
    let mut endpoints = route.endpoints.iter();
    endpoints.all(|name| match config.get(RecordKind::Endpoint, name) {
        Some(ConfigRecord::Endpoint(endpoint)) => endpoint.runs == kind,
        _ => true,
    })
}

/// Authenticates a request and resolves its budget and route.
pub(super) fn authorize(
    api: &CallerApi,
    id: RequestId,
    received_at: Instant,
    parts: &Parts,
    route: &str,
    kind: EndpointKind,
) -> Result<RequestContext, Refusal> {
    let headers = &parts.headers;
    let config = api.state.fleet.config();
    let customer = api.auth.authenticate(&config, headers)?;
    let budget = api.auth.select_budget(&config, &customer, headers)?;
    // A model route called as a plain service would be charged its price per call, which is 0.
    let route = match config.get(RecordKind::Route, route) {
        Some(ConfigRecord::Route(route)) if runs_kind(&config, route, kind) => route.clone(),
        _ => return Err(RefusalCode::UnknownRoute.into()),
    };
    Ok(RequestContext {
        slot: execute::slot_of(parts)?,
        id,
        customer,
        budget,
        class: work_class(headers)?.unwrap_or(route.class),
        received_at,
        deadline: received_at + time_limit(headers, &route)?,
        route,
    })
}

fn work_class(headers: &HeaderMap) -> Result<Option<WorkClass>, Refusal> {
    let Some(value) = headers.get("x-jasminewall-class") else {
        return Ok(None);
    };
    match value.as_bytes() {
        b"short" => Ok(Some(WorkClass::Short)),
        b"normal" => Ok(Some(WorkClass::Normal)),
        b"long" => Ok(Some(WorkClass::Long)),
        _ => Err(Refusal::new(RefusalCode::InvalidRequest)
            .note("Write short, normal or long in the header 'x-jasminewall-class'.")),
    }
}

fn time_limit(headers: &HeaderMap, route: &RouteRecord) -> Result<Duration, Refusal> {
    let limit = Duration::from_millis(route.time_limit_ms);
    let Some(value) = headers.get("x-jasminewall-deadline-ms") else {
        return Ok(limit);
    };
    let requested = value.to_str().ok().and_then(|text| text.parse().ok());
    let requested = requested.ok_or_else(|| {
        Refusal::new(RefusalCode::InvalidRequest)
            .note("Write whole milliseconds in the header 'x-jasminewall-deadline-ms'.")
    })?;
    Ok(limit.min(Duration::from_millis(requested)))
}
