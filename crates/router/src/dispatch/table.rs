use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    axum::body::Body,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    jasminewall_core::{
        ConfigRecord, ConfigState, EndpointId, HolderId, RecordKind, Revision,
        admission::{AdmissionQueue, LengthTable},
        choice::{EndpointPool, EndpointTable},
        crash::{CrashDecision, CrashTable},
        record::{EndpointRecord, RouteRecord},
        retry::RetryBudget,
    },
};

use super::queue::WaitingJob;

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which the kernel sends TCP keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes after which a connection is dropped.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Default timeout for the head of a streamed response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP client with the pooled connections to one endpoint.
pub(super) type EndpointClient = Client<HttpConnector, Body>;
/// Names of the endpoints of a pool, which share a queue.
pub(super) type PoolKey = Arc<BTreeSet<EndpointId>>;

/// Routing state: endpoint statistics, queues, crash counts and endpoint clients.
pub(crate) struct RoutingTable {
    state: Mutex<RoutingState>,
    crash_counts: Mutex<CrashTable>,
    clients: Mutex<HashMap<EndpointId, EndpointClient>>,
    head_timeout: Mutex<Duration>,
}

/// State of endpoint choice and admission. Both are behind one lock, because a queue chooses the
/// endpoint when it admits a request.
#[derive(Default)]
pub(super) struct RoutingState {
    pub(super) table: EndpointTable,
    pub(super) pools: HashMap<PoolKey, PoolState>,
    pub(super) lengths: LengthTable,
    pub(super) retries: RetryBudget,
    /// Times at which connections to an endpoint broke during a request.
    pub(super) disconnects: HashMap<EndpointId, Vec<Instant>>,
}

/// Endpoint pool with its queue.
pub(super) struct PoolState {
    pub(super) revision: Revision,
    pub(super) pool: EndpointPool,
    pub(super) records: HashMap<EndpointId, EndpointRecord>,
    pub(super) queue: AdmissionQueue<WaitingJob>,
}

impl RoutingTable {
    pub(crate) fn new(holder: HolderId) -> Self {
        Self {
            state: Mutex::default(),
            crash_counts: Mutex::new(CrashTable::new(holder)),
            clients: Mutex::default(),
            head_timeout: Mutex::new(HEAD_TIMEOUT),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn crash_counts(&self) -> MutexGuard<'_, CrashTable> {
        self.crash_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether requests with a fingerprint may run. 0 means that the fingerprint is
    /// unknown.
    pub(super) fn decision(&self, fingerprint: u64) -> CrashDecision {
        if fingerprint == 0 {
            return CrashDecision::Allow;
        }
        self.crash_counts().decide(fingerprint, Instant::now())
    }

    pub(super) fn take_retry(&self) -> bool {
        self.lock().retries.withdraw()
    }

    pub(super) fn head_timeout(&self) -> Duration {
        *self
            .head_timeout
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_head_timeout(&self, timeout: Duration) {
        *self
            .head_timeout
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = timeout;
    }

    /// Returns the client of an endpoint, with its pooled connections.
    pub(super) fn client(&self, endpoint: &EndpointId) -> EndpointClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(endpoint.clone())
            .or_insert_with(new_client)
            .clone()
    }

    /// Abandons the pooled connections to an endpoint. The next request opens a new one.
    pub(super) fn abandon_connections(&self, endpoint: &EndpointId) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.remove(endpoint);
    }
}

impl RoutingState {
    /// Creates or updates the pool of a route to match the configuration. Returns its key.
    pub(super) fn ensure_pool(&mut self, config: &ConfigState, route: &RouteRecord) -> PoolKey {
        let known = self.pools.get_key_value(&route.endpoints);
        let key = known.map_or_else(|| Arc::new(route.endpoints.clone()), |(key, _)| key.clone());
        let revision = config.revision();
        if let Some(state) = self.pools.get_mut(&key) {
            if state.revision != revision {
                let records = endpoint_records(config, &key);
                if records != state.records {
                    state.pool = build_pool(&records);
                    state.records = records;
                }
                state.revision = revision;
            }
            return key;
        }
        // Drops the pools of removed routes once they are idle.
        self.pools
            .retain(|_, state| state.revision == revision || !state.queue.is_idle());
        let records = endpoint_records(config, &key);
        let state = PoolState {
            revision,
            pool: build_pool(&records),
            records,
            queue: AdmissionQueue::default(),
        };
        self.pools.insert(key.clone(), state);
        key
    }
}

fn endpoint_records(
    config: &ConfigState,
    endpoints: &BTreeSet<EndpointId>,
) -> HashMap<EndpointId, EndpointRecord> {
    let found = endpoints
        .iter()
        .filter_map(|name| match config.get(RecordKind::Endpoint, name) {
            Some(ConfigRecord::Endpoint(record)) => Some((name.clone(), record.clone())),
            _ => None,
        });
    found.collect()
}

fn build_pool(records: &HashMap<EndpointId, EndpointRecord>) -> EndpointPool {
    let members = records
        .values()
        .map(|record| (record.name.clone(), record.slots));
    EndpointPool::new(members)
}

fn new_client() -> EndpointClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    Client::builder(TokioExecutor::new())
        .http1_max_buf_size(crate::api::READ_BUFFER_BYTES)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(connector)
}
