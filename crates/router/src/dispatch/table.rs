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

/// Longest time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without traffic after which the kernel pings the other end of a connection.
const PING_AFTER: Duration = Duration::from_secs(5);
/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Pings without an answer after which a connection is dropped.
const PING_RETRIES: u32 = 3;
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest silence of an endpoint before it sends the head of a streamed answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of endpoints; it keeps their connections.
pub(super) type EndpointClient = Client<HttpConnector, Body>;
/// Endpoints that share a queue.
pub(super) type PoolKey = Arc<BTreeSet<EndpointId>>;

/// What the router knows of endpoints.
pub(crate) struct RoutingTable {
    inner: Mutex<RoutingInner>,
    suspects: Mutex<CrashTable>,
    clients: Mutex<HashMap<EndpointId, EndpointClient>>,
    head_timeout: Mutex<Duration>,
}

/// State of choice and admission, behind one lock because a queue hands out places.
#[derive(Default)]
pub(super) struct RoutingInner {
    pub(super) table: EndpointTable,
    pub(super) pools: HashMap<PoolKey, PoolState>,
    pub(super) lengths: LengthTable,
    pub(super) retries: RetryBudget,
    /// Times at which connections to an endpoint broke with a request open.
    pub(super) breaks: HashMap<EndpointId, Vec<Instant>>,
}

/// One set of endpoints with its queue.
pub(super) struct PoolState {
    pub(super) revision: Revision,
    pub(super) pool: EndpointPool,
    pub(super) records: HashMap<EndpointId, EndpointRecord>,
    pub(super) queue: AdmissionQueue<WaitingJob>,
}

impl RoutingTable {
    pub(crate) fn new(holder: HolderId) -> Self {
        Self {
            inner: Mutex::default(),
            suspects: Mutex::new(CrashTable::new(holder)),
            clients: Mutex::default(),
            head_timeout: Mutex::new(HEAD_TIMEOUT),
        }
    }

    pub(super) fn inner(&self) -> MutexGuard<'_, RoutingInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn suspects(&self) -> MutexGuard<'_, CrashTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What may be done with a fingerprint; 0 stands for an unknown one.
    pub(super) fn verdict(&self, fingerprint: u64) -> CrashDecision {
        if fingerprint == 0 {
            return CrashDecision::Allow;
        }
        self.suspects().decide(fingerprint, Instant::now())
    }

    pub(super) fn withdraw_retry(&self) -> bool {
        self.inner().retries.withdraw()
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

    /// Client of an endpoint, with its open connections.
    pub(super) fn client(&self, endpoint: &EndpointId) -> EndpointClient {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(endpoint.clone())
            .or_insert_with(new_client)
            .clone()
    }

    /// Gives up the connections to an endpoint; the next request opens a new one.
    pub(super) fn abandon_connections(&self, endpoint: &EndpointId) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.remove(endpoint);
    }
}

impl RoutingInner {
    /// Endpoints and queue of a route, as the configuration in force declares them.
    pub(super) fn pool(&mut self, config: &ConfigState, route: &RouteRecord) -> PoolKey {
        let known = self.pools.get_key_value(&route.endpoints);
        let key = known.map_or_else(|| Arc::new(route.endpoints.clone()), |(key, _)| key.clone());
        let revision = config.revision();
        if let Some(state) = self.pools.get_mut(&key) {
            if state.revision != revision {
                let records = records_of(config, &key);
                if records != state.records {
                    state.pool = pool_of(&records);
                    state.records = records;
                }
                state.revision = revision;
            }
            return key;
        }
        // Pools of routes that are gone are dropped once nothing waits in them.
        self.pools
            .retain(|_, state| state.revision == revision || !state.queue.is_idle());
        let records = records_of(config, &key);
        let state = PoolState {
            revision,
            pool: pool_of(&records),
            records,
            queue: AdmissionQueue::default(),
        };
        self.pools.insert(key.clone(), state);
        key
    }
}

fn records_of(
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

fn pool_of(records: &HashMap<EndpointId, EndpointRecord>) -> EndpointPool {
    let members = records
        .values()
        .map(|record| (record.name.clone(), record.slots));
    EndpointPool::new(members)
}

fn new_client() -> EndpointClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(PING_AFTER));
    connector.set_keepalive_interval(Some(PING_INTERVAL));
    connector.set_keepalive_retries(Some(PING_RETRIES));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(connector)
}
