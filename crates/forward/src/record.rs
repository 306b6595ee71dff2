//! Configuration and endpoints as the forwarding path uses them.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use {
    jasminewall_core::{CustomerId, DomainId, EndpointId, RouteId, Tokens},
    rand::Rng,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// Name of a group of interchangeable endpoints.
pub type ServiceId = SmolStr;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// Answers are event streams that run at most once.
    Stream,
    /// Answers are event streams that another endpoint may continue after the last event.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether a request may be sent again after an unknown outcome.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Rule for requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: RouteId,
    /// Host that callers name.
    pub host: SmolStr,
    /// Start of the path, with a slash at both ends.
    pub prefix: SmolStr,
    /// Services with the weights by which requests are split among them.
    pub targets: Vec<(ServiceId, u32)>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or its first event, that the operator aims at.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub target_gap: Option<Duration>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl RouteRule {
    /// Draws a service by the weights of the split; `None` when no service has a weight.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&ServiceId> {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = rng.random_range(0..total);
        for (service, weight) in &self.targets {
            if drawn < *weight {
                return Some(service);
            }
            drawn -= weight;
        }
        None
    }
}

/// What the configuration says of the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRule {
    /// Tokens that one event of a stream holds at most.
    pub event_tokens: Tokens,
}

/// Group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Set when the endpoints are model engines.
    pub engine: Option<EngineRule>,
}

/// Customer with the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerRule {
    /// Name of the customer.
    pub name: CustomerId,
    /// Rank that goes before a route's rank, if set; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Tokens that the customer may consume in total; `None` without a limit.
    pub prepaid: Option<Tokens>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest sum of all header lines, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits before a configuration is known; they only bound memory.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whole configuration of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version; versions only grow.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    routes: HashMap<SmolStr, Vec<RouteRule>>,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceRule>,
    customers: Vec<CustomerRule>,
    keys: HashMap<SmolStr, usize>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Builds a configuration; each customer comes with its keys.
    pub fn new(
        version: u64,
        rules: Vec<RouteRule>,
        services: HashMap<ServiceId, ServiceRule>,
        customers: Vec<(CustomerRule, Vec<SmolStr>)>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes: HashMap<SmolStr, Vec<RouteRule>> = HashMap::new();
        for rule in rules {
            routes.entry(rule.host.clone()).or_default().push(rule);
        }
        for list in routes.values_mut() {
            list.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let mut keys = HashMap::new();
        let mut rules = Vec::with_capacity(customers.len());
        for (index, (customer, own)) in customers.into_iter().enumerate() {
            keys.extend(own.into_iter().map(|key| (key, index)));
            rules.push(customer);
        }
        Self {
            version,
            routes,
            services,
            customers: rules,
            keys,
            limits,
        }
    }

    /// Route of a host and path: the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let rules = self.routes.get(host)?;
        rules.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// Customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&CustomerRule> {
        self.customers.get(*self.keys.get(key)?)
    }

    /// Customers with a prepaid total.
    pub fn prepaid_budgets(&self) -> Vec<(CustomerId, Tokens)> {
        let customers = self.customers.iter();
        let prepaid_budgets = customers.filter_map(|one| Some((one.name.clone(), one.prepaid?)));
        prepaid_budgets.collect()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether the configuration has customers at all; without any, requests need no key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes new work.
    Ready,
    /// Finishes its work and leaves.
    Draining,
}

/// Registration of one run of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Id under which the run is registered.
    pub id: EndpointId,
    /// Unix time of the start in ms; tells two runs under one id apart.
    pub started_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
}
