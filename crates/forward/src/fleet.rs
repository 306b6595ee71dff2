use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    jasminewall_core::EndpointId,
    jasminewall_ports::{StoreEra, era_of},
};

use crate::{
    port::{EndpointChange, EndpointUpdate},
    record::{EndpointRecord, EndpointState, FleetConfig, ServiceId, SoftwareVersion},
};

/// Time that live endpoints need to register again after an outage of the store. The operators
/// state about two seconds.
const REREGISTER_GRACE: Duration = Duration::from_millis(2_300);

/// Time after a restore of the store within which live endpoints have registered again, and the
/// registrations of others have lapsed.
const OUTDATED_WINDOW: Duration = Duration::from_secs(10);
/// Time for which endpoints that left are remembered. A copy of the store from before may bring their
/// registrations back.
const GONE_TTL: Duration = Duration::from_secs(60);

/// Configuration and endpoints known to this router.
///
/// Lock order: `config`, then `endpoints`.
#[derive(Default)]
pub struct FleetView {
    config: Mutex<Option<Arc<FleetConfig>>>,
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
    /// When the first registration that is missing from the store is dropped.
    valid_until: Option<Instant>,
}

struct EndpointMember {
    record: EndpointRecord,
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
        true
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
        let mut set = self.lock_endpoints();
        let cached = set.ready.get(service);
        if let Some(list) = cached.filter(|list| list.valid_until.is_none_or(|until| now < until)) {
            return list.records.clone();
        }
        let members = set.members.values().filter(|member| {
            member.record.service == *service
                && member.record.state == EndpointState::Ready
                && member.is_live(now)
        });
        let members: Vec<&EndpointMember> = members.collect();
        let valid_until = members.iter().filter_map(|member| member.drop_at).min();
        let records = members.iter().map(|member| member.record.clone());
        let records = Arc::new(records.collect::<Vec<_>>());
        let list = ReadyList {
            records: records.clone(),
            valid_until,
        };
        set.ready.insert(service.clone(), list);
        records
    }

    fn lock_config(&self) -> MutexGuard<'_, Option<Arc<FleetConfig>>> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_endpoints(&self) -> MutexGuard<'_, EndpointSet> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndpointMember {
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
            let member = EndpointMember {
                record,
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
