//! Decides which registered endpoints a request may be sent to: not those of evacuated failure
//! domains, and only those of the regions that its route and its customer allow.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use jasminewall_core::DomainId;

use crate::{
    forwarder::Forwarder,
    record::{CustomerRule, EndpointRecord, FleetConfig, RegionId, RouteRule, ServiceId},
    request::RefusalKind,
};

/// Largest number of filtered lists that are kept: services times the different sets of regions.
const LIST_LIMIT: usize = 64;

/// Regions that a request may go to; `None` for all of them.
pub type RegionRule = Option<Arc<BTreeSet<RegionId>>>;

/// Regions that both lists allow; an empty list allows all.
fn region_rule(route: &[RegionId], customer: &[RegionId]) -> RegionRule {
    let allowed: BTreeSet<RegionId> = match (route, customer) {
        ([], []) => return None,
        (list, []) | ([], list) => list.iter().cloned().collect(),
        (route, customer) => {
            let both = route.iter().filter(|region| customer.contains(region));
            both.cloned().collect()
        }
    };
    Some(Arc::new(allowed))
}

/// Filters endpoint lists, and keeps the results, since filtering hundreds of endpoints for each
/// request would take a small VM's processor.
#[derive(Debug, Default)]
pub(crate) struct EndpointFilter {
    /// Region of each failure domain.
    regions: HashMap<DomainId, RegionId>,
    lists: Mutex<HashMap<(ServiceId, RegionRule), FilteredList>>,
    /// Version of the configuration whose regions were checked.
    checked_version: AtomicU64,
}

#[derive(Debug)]
struct FilteredList {
    /// The list and the evacuated domains that the result was made from.
    source: Arc<Vec<EndpointRecord>>,
    evacuated: Arc<BTreeSet<DomainId>>,
    result: Arc<Vec<EndpointRecord>>,
}

impl EndpointFilter {
    pub(crate) fn new(regions: HashMap<DomainId, RegionId>) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Whether a request may be sent to an endpoint. A failure domain of unknown region is in no
    /// region.
    fn is_eligible(
        &self,
        record: &EndpointRecord,
        evacuated: &BTreeSet<DomainId>,
        allowed: &RegionRule,
    ) -> bool {
        let is_allowed = allowed.as_ref().is_none_or(|allowed| {
            let region = self.regions.get(&record.domain);
            region.is_some_and(|region| allowed.contains(region))
        });
        is_allowed && !evacuated.contains(&record.domain)
    }

    /// Endpoints of a service's list that a request may be sent to.
    pub(crate) fn filter(
        &self,
        service: &ServiceId,
        records: Arc<Vec<EndpointRecord>>,
        evacuated: Arc<BTreeSet<DomainId>>,
        allowed: &RegionRule,
    ) -> Arc<Vec<EndpointRecord>> {
        if evacuated.is_empty() && allowed.is_none() {
            return records;
        }
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (service.clone(), allowed.clone());
        if let Some(list) = lists.get(&key)
            && Arc::ptr_eq(&list.source, &records)
            && Arc::ptr_eq(&list.evacuated, &evacuated)
        {
            return list.result.clone();
        }
        let eligible = records.iter();
        let eligible = eligible.filter(|record| self.is_eligible(record, &evacuated, allowed));
        let result = Arc::new(eligible.cloned().collect::<Vec<_>>());
        if lists.len() >= LIST_LIMIT && !lists.contains_key(&key) {
            lists.clear();
        }
        let list = FilteredList {
            source: records,
            evacuated,
            result: result.clone(),
        };
        lists.insert(key, list);
        result
    }

    /// Logs the regions of a new configuration that no failure domain has, once.
    pub(crate) fn check_regions(&self, config: &FleetConfig) {
        let version = config.version;
        if self.checked_version.swap(version, Ordering::Relaxed) == version {
            return;
        }
        let known: HashSet<&RegionId> = self.regions.values().collect();
        let unknown: BTreeSet<&RegionId> = config
            .allowed_regions()
            .filter(|region| !known.contains(region))
            .collect();
        if !unknown.is_empty() {
            tracing::warn!(
                version,
                ?unknown,
                "the configuration allows regions that no failure domain has"
            );
        }
    }
}

impl Forwarder {
    /// Returns the regions that a request may go to.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if the service has ready endpoints, but the request may go to none of them. Such
    /// a request must not wait for tokens first.
    pub(crate) fn check_eligible(
        &self,
        config: &FleetConfig,
        route: &RouteRule,
        customer: Option<&CustomerRule>,
        service: &ServiceId,
    ) -> Result<RegionRule, RefusalKind> {
        let now = Instant::now();
        self.view.check_regions(config);
        let customer = customer.map_or(&[][..], |customer| &customer.allowed_regions);
        let regions = region_rule(&route.allowed_regions, customer);
        let ready = self.view.ready_endpoints(service, now).len();
        let eligible = self.view.eligible_endpoints(service, &regions, now).len();
        if eligible < ready {
            self.metrics.restricted();
        }
        if eligible == 0 && ready > 0 {
            tracing::info!(%service, ?regions, ready, "all endpoints are in evacuated failure domains or other regions");
            return Err(RefusalKind::NoEndpoint);
        }
        Ok(regions)
    }
}
