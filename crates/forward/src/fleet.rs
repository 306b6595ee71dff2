use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    jasminewall_core::{DomainId, EndpointId},
    jasminewall_ports::{StoreEra, era_of},
};

use crate::{
    eligible::{EndpointFilter, RegionRule},
    evacuation::{EvacuationDiff, EvacuationReport, EvacuationTable},
    port::{ConfigUpdate, EndpointChange, EndpointUpdate},
    record::{
        EndpointRecord, EndpointState, FleetConfig, RegionId, ServiceId, ServiceRule,
        SoftwareVersion,
    },
    warmup::ColdClock,
};

/// Time that live endpoints need to register again after an outage of the store. The operators
/// state about two seconds.
const REREGISTER_GRACE: Duration = Duration::from_millis(2_300);

/// Time after a restore of the store within which live endpoints have registered again, and the
/// registrations of others have lapsed.
pub(crate) const OUTDATED_WINDOW: Duration = Duration::from_secs(10);
/// Time for which endpoints that left are remembered. A copy of the store from before may bring their
/// registrations back.
const GONE_TTL: Duration = Duration::from_secs(60);

/// Configuration and endpoints known to this router.
///
/// Lock order: `config`, then `evacuations`, then `endpoints`.
#[derive(Default)]
pub struct FleetView {
    config: Mutex<Option<Arc<FleetConfig>>>,
    evacuations: Mutex<EvacuationTable>,
    filter: EndpointFilter,
    endpoints: Mutex<EndpointSet>,
}

#[derive(Default)]
struct EndpointSet {
    version: u64,
    is_loaded: bool,
    members: HashMap<EndpointId, EndpointMember>,
    /// Ready endpoints by service, built when they are asked for and cleared when a registration
    /// changes. Listing hundreds of endpoints for each request would take a small VM's processor.
    ready: HashMap<ServiceId, ReadyList>,
    /// Number of changes of registrations.
    change: u64,
    store: StoreContact,
    /// Endpoints that left within [`GONE_TTL`].
    gone: HashMap<EndpointId, GoneEndpoint>,
    /// Until when the store may return registrations of a copy that it was restored from.
    outdated_until: Option<Instant>,
}

/// Last registration of an endpoint that left.
struct GoneEndpoint {
    started_ms: u64,
    sequence: u64,
    /// Era of the store at that time.
    era: StoreEra,
    forget_at: Instant,
}

struct ReadyList {
    records: Arc<Vec<EndpointRecord>>,
    /// When the first registration that is missing from the store is dropped, or the first endpoint
    /// is warm.
    valid_until: Option<Instant>,
}

struct EndpointMember {
    record: EndpointRecord,
    /// Until when it counts as cold.
    cold: ColdClock,
    /// Set while the registration is missing from the store because of an outage: when it is
    /// dropped, unless the endpoint registers again.
    drop_at: Option<Instant>,
}

/// Reachability of the store, as the watches see it.
#[derive(Clone, Copy, Debug, Default)]
enum StoreContact {
    #[default]
    Connected,
    Lost(Instant),
    Restored(Instant),
}

impl FleetView {
    /// Creates a view without any state; `regions` gives the region of each failure domain.
    pub fn new(regions: HashMap<DomainId, RegionId>) -> Self {
        Self {
            filter: EndpointFilter::new(regions),
            ..Self::default()
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.lock_config().clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.lock_config()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Store version of the endpoint list.
    pub fn endpoint_version(&self) -> u64 {
        self.lock_endpoints().version
    }

    /// Installs a configuration that is newer than the current one. Returns whether it was
    /// installed.
    pub fn install(&self, config: FleetConfig, source: &str) -> bool {
        let mut current = self.lock_config();
        let before = current.as_ref().map_or(0, |config| config.version);
        if config.version <= before {
            return false;
        }
        tracing::info!(
            version = config.version,
            before,
            source,
            routes = config.route_count(),
            "configuration in force"
        );
        *current = Some(Arc::new(config));
        // The lists say which endpoints are cold by the rules of the services.
        self.lock_endpoints().ready.clear();
        true
    }

    /// Failure domains that no request may be sent to.
    pub fn evacuated(&self) -> Arc<BTreeSet<DomainId>> {
        self.lock_evacuations().current()
    }

    /// Evacuations for other routers; `None` if none were read yet.
    pub fn evacuation_report(&self) -> Option<EvacuationReport> {
        self.lock_evacuations().report()
    }

    /// Whether the operator's table must be read again as a whole.
    pub fn needs_operator_read(&self, now: Instant) -> bool {
        self.lock_evacuations().needs_read(now)
    }

    /// Applies the evacuations of a read or a watch of the operator's table.
    pub fn update_evacuations(&self, update: &ConfigUpdate, now: Instant) {
        let changes = update.evacuations.clone();
        let mut table = self.lock_evacuations();
        let diff = if update.is_complete {
            let rows = changes.into_iter().filter(|change| change.is_evacuated);
            let rows = rows.map(|change| (change.domain, change.version));
            table.replace(update.version, rows.collect(), now)
        } else {
            table.apply(update.version, changes)
        };
        drop(table);
        self.note_evacuations(&diff, "store", now);
    }

    /// Merges the evacuations that another router knows.
    pub fn merge_evacuations(&self, report: EvacuationReport, now: Instant) {
        let diff = self.lock_evacuations().merge(report, now);
        self.note_evacuations(&diff, "peer", now);
    }

    fn note_evacuations(&self, diff: &EvacuationDiff, source: &str, now: Instant) {
        let records = self.live_endpoints(now);
        for domain in &diff.begun {
            let endpoints = records.iter().filter(|record| record.domain == *domain);
            let endpoints = endpoints.count();
            if endpoints == 0 {
                tracing::warn!(%domain, source, "a failure domain without a known endpoint is evacuated");
            } else {
                tracing::info!(%domain, source, endpoints, "the failure domain is evacuated");
            }
        }
        for domain in &diff.revoked {
            let cold = self.revoke_cold(domain, now);
            tracing::info!(%domain, source, cold, "the evacuation of the failure domain is revoked");
        }
    }

    /// Counts the endpoints of a failure domain as cold that was evacuated until now: they may have
    /// become cold meanwhile. Returns their number.
    fn revoke_cold(&self, domain: &DomainId, now: Instant) -> usize {
        let Some(config) = self.config() else {
            return 0;
        };
        let mut set = self.lock_endpoints();
        let mut count = 0;
        for member in set.members.values_mut() {
            let rule = config.services.get(&member.record.service);
            let rule = rule.filter(|rule| rule.warmup_per_s.is_some());
            if let Some(rule) = rule.filter(|_| member.record.domain == *domain) {
                member.cold.revoke(rule, now);
                count += 1;
            }
        }
        set.ready.clear();
        count
    }

    /// Records that a run of an endpoint crashed or refused a connection.
    pub fn suspect_cold(&self, endpoint: &EndpointId, started_ms: u64, now: Instant) {
        self.change_cold(endpoint, started_ms, "failure", now, |cold| {
            cold.suspect(now);
        });
    }

    /// Records the remaining cold time that a response of an endpoint run gives.
    pub fn extend_cold(
        &self,
        endpoint: &EndpointId,
        started_ms: u64,
        remaining: Duration,
        now: Instant,
    ) {
        self.change_cold(endpoint, started_ms, "response", now, |cold| {
            cold.extend(remaining, now);
        });
    }

    fn change_cold(
        &self,
        endpoint: &EndpointId,
        started_ms: u64,
        source: &str,
        now: Instant,
        change: impl FnOnce(&mut ColdClock),
    ) {
        let config = self.config();
        let mut set = self.lock_endpoints();
        let member = set.members.get_mut(endpoint);
        let Some(member) = member.filter(|member| member.record.started_ms == started_ms) else {
            return;
        };
        let rule = config
            .as_ref()
            .and_then(|config| config.services.get(&member.record.service));
        if rule.is_none_or(|rule| rule.warmup_per_s.is_none()) {
            return;
        }
        change(&mut member.cold);
        let cold_ms = member.cold.remaining(now).as_millis() as u64;
        tracing::info!(%endpoint, source, cold_ms, "the endpoint counts as cold");
        set.ready.clear();
    }

    /// Whether requests can be served: the configuration and the endpoints are known.
    pub fn is_ready(&self) -> bool {
        self.config().is_some() && self.lock_endpoints().is_loaded
    }

    /// Records that the store did not respond.
    pub fn store_failed(&self, now: Instant) {
        let mut set = self.lock_endpoints();
        if !matches!(set.store, StoreContact::Lost(_)) {
            tracing::warn!("lost contact with the store");
            set.store = StoreContact::Lost(now);
        }
    }

    /// Records that the store responded.
    pub fn store_responded(&self, now: Instant) {
        let mut set = self.lock_endpoints();
        if let StoreContact::Lost(since) = set.store {
            let away_ms = now.saturating_duration_since(since).as_millis();
            tracing::info!(%away_ms, "regained contact with the store");
            set.store = StoreContact::Restored(now);
        }
    }

    /// Whether the store may return state of a copy that it was restored from.
    pub fn is_store_outdated(&self, now: Instant) -> bool {
        let until = self.lock_endpoints().outdated_until;
        until.is_some_and(|until| now < until)
    }

    /// Whether the last read or watch of the store failed.
    pub fn is_store_unreachable(&self) -> bool {
        matches!(self.lock_endpoints().store, StoreContact::Lost(_))
    }

    /// Replaces all registrations by those in the store.
    pub fn replace_endpoints(&self, update: EndpointUpdate, now: Instant) {
        let mut set = self.lock_endpoints();
        if era_of(update.version) > era_of(set.version) {
            set.outdated_until = Some(now + OUTDATED_WINDOW);
            if set.is_loaded {
                // Endpoints whose registrations are from the lost time register again.
                set.store = StoreContact::Restored(now);
            }
        }
        set.version = set.version.max(update.version);
        let missing: Vec<EndpointId> = {
            let listed: HashSet<&EndpointId> =
                update.changes.iter().map(|change| &change.id).collect();
            let members = set.members.keys();
            members.filter(|id| !listed.contains(id)).cloned().collect()
        };
        let removed = missing
            .into_iter()
            .map(|id| EndpointChange { id, record: None });
        let changes: Vec<EndpointChange> = update.changes.into_iter().chain(removed).collect();
        for change in changes {
            set.apply(change, now);
        }
        set.is_loaded = true;
    }

    /// Applies changed registrations, and drops those that were kept after a store outage for long
    /// enough.
    pub fn update_endpoints(&self, update: EndpointUpdate, now: Instant) {
        let mut set = self.lock_endpoints();
        set.version = set.version.max(update.version);
        for change in update.changes {
            set.apply(change, now);
        }
        set.gone.retain(|_, gone| now < gone.forget_at);
        let before = set.members.len();
        set.members.retain(|id, member| {
            let is_live = member.is_live(now);
            if !is_live {
                tracing::info!(endpoint = %id, "lapsed endpoint did not register again; gone");
            }
            is_live
        });
        if set.members.len() < before {
            set.note_change();
        }
    }

    /// Replaces all registrations by those from a peer, if they are newer.
    pub fn install_endpoints(&self, version: u64, records: Vec<EndpointRecord>, now: Instant) {
        if version <= self.endpoint_version() {
            return;
        }
        let changes = records.into_iter().map(|record| EndpointChange {
            id: record.id.clone(),
            record: Some(record),
        });
        let changes = changes.collect();
        self.replace_endpoints(EndpointUpdate { changes, version }, now);
    }

    /// Number of known registrations.
    pub fn endpoint_count(&self) -> usize {
        self.lock_endpoints().members.len()
    }

    /// Number that grows with each change of a registration.
    pub fn registration_change(&self) -> u64 {
        self.lock_endpoints().change
    }

    /// Services with the software versions of their endpoints.
    pub fn software_versions(&self) -> BTreeSet<(ServiceId, SoftwareVersion)> {
        let set = self.lock_endpoints();
        let records = set.members.values().map(|member| &member.record);
        records
            .map(|record| (record.service.clone(), record.software.clone()))
            .collect()
    }

    /// Registrations in use.
    pub fn live_endpoints(&self, now: Instant) -> Vec<EndpointRecord> {
        let set = self.lock_endpoints();
        let members = set.members.values().filter(|member| member.is_live(now));
        members.map(|member| member.record.clone()).collect()
    }

    /// Endpoints of a service that accept new requests.
    pub fn ready_endpoints(&self, service: &ServiceId, now: Instant) -> Arc<Vec<EndpointRecord>> {
        let set = self.lock_endpoints();
        let cached = set.ready.get(service);
        if let Some(list) = cached.filter(|list| list.valid_until.is_none_or(|until| now < until)) {
            return list.records.clone();
        }
        drop(set);
        let config = self.config();
        let services = config.as_ref().map(|config| &config.services);
        let rule = services.and_then(|services| services.get(service));
        let mut set = self.lock_endpoints();
        let members = set.members.values().filter(|member| {
            member.record.service == *service
                && member.record.state == EndpointState::Ready
                && member.is_live(now)
        });
        let members: Vec<&EndpointMember> = members.collect();
        let records = members.iter().map(|member| member.listed(rule, now));
        let records = Arc::new(records.collect::<Vec<_>>());
        let cold = records.iter().filter_map(|record| record.cold);
        let drops = members.iter().filter_map(|member| member.drop_at);
        let valid_until = drops.chain(cold.map(|phase| phase.until)).min();
        let list = ReadyList {
            records: records.clone(),
            valid_until,
        };
        set.ready.insert(service.clone(), list);
        records
    }

    /// Ready endpoints of a service that a request with a region rule may be sent to.
    pub fn eligible_endpoints(
        &self,
        service: &ServiceId,
        regions: &RegionRule,
        now: Instant,
    ) -> Arc<Vec<EndpointRecord>> {
        let records = self.ready_endpoints(service, now);
        self.filter
            .filter(service, records, self.evacuated(), regions)
    }

    /// Logs the regions of a new configuration that no failure domain has.
    pub(crate) fn check_regions(&self, config: &FleetConfig) {
        self.filter.check_regions(config);
    }

    fn lock_config(&self) -> MutexGuard<'_, Option<Arc<FleetConfig>>> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_evacuations(&self) -> MutexGuard<'_, EvacuationTable> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_endpoints(&self) -> MutexGuard<'_, EndpointSet> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndpointMember {
    /// Registration with the state of its warm-up.
    fn listed(&self, rule: Option<&ServiceRule>, now: Instant) -> EndpointRecord {
        EndpointRecord {
            cold: rule.and_then(|rule| self.cold.phase(rule, now)),
            ..self.record.clone()
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        self.drop_at.is_none_or(|drop_at| now < drop_at)
    }
}

impl EndpointSet {
    fn note_change(&mut self) {
        self.ready.clear();
        self.change += 1;
    }

    fn apply(&mut self, change: EndpointChange, now: Instant) {
        let EndpointChange { id, record } = change;
        if let Some(record) = record {
            if self.is_outdated(&record, now) {
                tracing::info!(
                    endpoint = %id, state = ?record.state, sequence = record.sequence,
                    "ignored an outdated registration"
                );
                return;
            }
            let before = self.members.get(&id).map(|member| &member.record);
            let is_same = before.is_some_and(|before| {
                let sequence = record.sequence;
                EndpointRecord {
                    sequence,
                    cold_remaining: record.cold_remaining,
                    ..before.clone()
                } == record
            });
            if !is_same {
                tracing::info!(
                    endpoint = %id, service = %record.service, address = %record.address,
                    state = ?record.state, born = record.started_ms, software = %record.software, "endpoint registered"
                );
                self.note_change();
            }
            let known = self.members.get(&id);
            let is_later = known.is_none_or(|known| {
                let EndpointRecord {
                    started_ms,
                    sequence,
                    ..
                } = known.record;
                record.sequence == 0
                    || started_ms != record.started_ms
                    || record.sequence > sequence
            });
            let mut cold = known.map_or_else(ColdClock::default, |known| known.cold);
            let before = cold;
            cold.register(record.cold_remaining, is_later, now);
            if cold != before {
                self.ready.clear();
                if before == ColdClock::default() {
                    tracing::info!(endpoint = %id, remaining_ms = record.cold_remaining.as_millis() as u64, "the endpoint registered as cold");
                }
            }
            let member = EndpointMember {
                record,
                cold,
                drop_at: None,
            };
            self.members.insert(id, member);
            return;
        }
        let grace = self.grace_end(now);
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        match grace {
            Some(drop_at) if member.record.state == EndpointState::Ready => {
                if member.drop_at.is_none() {
                    tracing::info!(endpoint = %id, "registration lapsed during an outage of the store; kept for now");
                    member.drop_at = Some(drop_at);
                    self.note_change();
                }
            }
            _ => {
                tracing::info!(endpoint = %id, "endpoint removed");
                let gone = GoneEndpoint {
                    started_ms: member.record.started_ms,
                    sequence: member.record.sequence,
                    era: era_of(self.version),
                    forget_at: now + GONE_TTL,
                };
                self.members.remove(&id);
                self.gone.insert(id, gone);
                self.note_change();
            }
        }
    }

    /// Whether a later registration of the endpoint is known, or the endpoint has left since. A
    /// restored store returns such registrations.
    fn is_outdated(&self, record: &EndpointRecord, now: Instant) -> bool {
        if self.outdated_until.is_none_or(|until| until <= now) {
            return false;
        }
        let member = self.members.get(&record.id);
        let member = member.map(|member| &member.record);
        if member.is_some_and(|known| record.is_older_than(known.started_ms, known.sequence)) {
            return true;
        }
        let gone = self.gone.get(&record.id);
        gone.is_some_and(|gone| {
            let is_later = (gone.started_ms, gone.sequence) < (record.started_ms, record.sequence);
            gone.era < era_of(self.version) && !is_later
        })
    }

    /// Returns when to drop a registration that is missing from the store; `None` to drop it
    /// immediately.
    fn grace_end(&self, now: Instant) -> Option<Instant> {
        match self.store {
            StoreContact::Connected => None,
            StoreContact::Lost(_) => Some(now + REREGISTER_GRACE),
            StoreContact::Restored(restored_at) => {
                let end = restored_at + REREGISTER_GRACE;
                (now < end).then_some(end)
            }
        }
    }
}
