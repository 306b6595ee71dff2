//! Configuration and endpoints, as used by the forwarding path.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use {
    jasminewall_core::{CustomerId, DomainId, EndpointId, RouteId, Tokens},
    rand::Rng,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::warmup::ColdPhase;

/// Name of a group of interchangeable endpoints.
pub type ServiceId = SmolStr;
/// Version of an endpoint's software; empty if unknown.
pub type SoftwareVersion = SmolStr;

/// Name of a region, which has one or several failure domains.
pub type RegionId = SmolStr;

/// Which requests of a route may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// Responses are event streams of requests that run at most once.
    Stream,
    /// Responses are event streams that another endpoint may continue after the last event.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether a request may be sent again after an unknown outcome.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Rule for requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: RouteId,
    /// Host of the requests.
    pub host: SmolStr,
    /// Path prefix, with a slash at both ends.
    pub prefix: SmolStr,
    /// Services and their weights in the traffic split.
    pub weighted_services: Vec<(ServiceId, u32)>,
    /// Which requests may be sent again.
    pub retry_policy: RetryPolicy,
    /// Time limit of a request, unless the caller sets a shorter one.
    pub timeout: Duration,
    /// Intended time to the response, or to its first event.
    pub target_latency: Duration,
    /// Longest acceptable pause between two events of a stream.
    pub target_gap: Option<Duration>,
    /// Largest number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Regions whose endpoints may get requests; empty for all.
    pub allowed_regions: Vec<RegionId>,
}

impl RouteRule {
    /// Picks a random service by the weights of the traffic split; `None` if no service has a
    /// weight.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&ServiceId> {
        let total: u32 = self
            .weighted_services
            .iter()
            .map(|(_, weight)| weight)
            .sum();
        if total == 0 {
            return None;
        }
        let mut drawn = rng.random_range(0..total);
        for (service, weight) in &self.weighted_services {
            if drawn < *weight {
                return Some(service);
            }
            drawn -= weight;
        }
        None
    }
}

/// Settings of the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRule {
    /// Largest number of tokens in one event of a stream.
    pub event_tokens: Tokens,
}

/// Group of interchangeable endpoints.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Settings of the engines; `None` if the endpoints are not model engines.
    pub engine: Option<EngineRule>,
    /// Time for which an endpoint is cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold endpoint can take from all routers together; `None` for no
    /// limit.
    pub warmup_per_s: Option<f64>,
}

/// Settings of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerRule {
    /// Name of the customer.
    pub name: CustomerId,
    /// Priority that overrides the route's, if set; 0 is the highest.
    pub priority: Option<u8>,
    /// Tokens that the customer may consume in total; `None` for no limit.
    pub prepaid: Option<Tokens>,
    /// Regions whose endpoints may get requests; empty for all.
    pub allowed_regions: Vec<RegionId>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest total size of the header lines, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known; they only bound memory.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Complete configuration of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version, which only grows.
    pub version: u64,
    /// Routes by host, with the longest prefix first.
    routes: HashMap<SmolStr, Vec<RouteRule>>,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceRule>,
    customers: Vec<CustomerRule>,
    keys: HashMap<SmolStr, usize>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// Creates a configuration; each customer comes with its keys.
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
        for (index, (customer, customer_keys)) in customers.into_iter().enumerate() {
            keys.extend(customer_keys.into_iter().map(|key| (key, index)));
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

    /// Route with the longest prefix of the path, for a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let rules = self.routes.get(host)?;
        rules.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// Customer to which a key belongs.
    pub fn customer(&self, key: &str) -> Option<&CustomerRule> {
        self.customers.get(*self.keys.get(key)?)
    }

    /// Prepaid tokens of all customers with a prepaid budget.
    pub fn prepaid_budgets(&self) -> Vec<(CustomerId, Tokens)> {
        let customers = self.customers.iter();
        let prepaid_budgets =
            customers.filter_map(|customer| Some((customer.name.clone(), customer.prepaid?)));
        prepaid_budgets.collect()
    }

    /// Longest time for which a caller waits for a stream.
    pub fn longest_stream(&self) -> Duration {
        let routes = self.routes.values().flatten();
        let streams = routes.filter(|route| route.retry_policy.is_stream());
        streams.map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Regions that any route or customer names.
    pub fn allowed_regions(&self) -> impl Iterator<Item = &RegionId> {
        let routes = self.routes.values().flatten();
        let routes = routes.flat_map(|rule| &rule.allowed_regions);
        routes.chain(self.customers.iter().flat_map(|rule| &rule.allowed_regions))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there are any customers; without them, requests need no key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and then leaves.
    Draining,
}

/// Registration of one run of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Unix time of the start in ms, which distinguishes runs with the same id.
    pub started_ms: u64,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Number of the registration, which grows during a run; 0 if unknown.
    pub sequence: u64,
    /// Version of its software. Events of two versions do not fit into one stream.
    pub software: SoftwareVersion,
    /// Time for which it was still cold when it registered.
    pub cold_remaining: Duration,
    /// Whether it counts as cold at this router; set in the lists of
    /// [`FleetView`](crate::FleetView) only.
    #[serde(skip)]
    pub cold: Option<ColdPhase>,
}

impl EndpointRecord {
    /// Whether this registration is older than one of the same endpoint.
    pub fn is_older_than(&self, started_ms: u64, sequence: u64) -> bool {
        (self.started_ms, self.sequence) < (started_ms, sequence)
    }
}
