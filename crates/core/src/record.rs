//! Configuration records and the declaration files that hold them.

use std::collections::BTreeSet;

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

mod check;
mod parse;

pub use self::{
    check::{check, check_removal},
    parse::{DeclaredRecord, DeclaredSet, parse_file},
};

use crate::{
    BudgetId, CustomerId, DomainId, EndpointId, Error, Result, RouteId, Tokens,
    admission::WorkClass,
};

/// Oldest supported schema version.
pub const SCHEMA_OLDEST: u32 = 1;
/// Newest supported schema version.
pub const SCHEMA_NEWEST: u32 = 2;

/// Kind of a configuration record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// A customer and its keys.
    Customer,
    /// A prepaid budget.
    Budget,
    /// Tokens paid into a budget.
    TopUp,
    /// A model engine or plain service instance.
    Endpoint,
    /// A route from a model or service name to endpoints.
    Route,
    /// A planned stop.
    Stop,
    /// A model that engines should run.
    Model,
}

impl RecordKind {
    /// All kinds; each kind only refers to earlier ones.
    pub const ALL: &'static [Self] = &[
        Self::Customer,
        Self::Budget,
        Self::TopUp,
        Self::Endpoint,
        Self::Route,
        Self::Stop,
        Self::Model,
    ];

    /// Name of the kind in declaration files.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Budget => "budget",
            Self::TopUp => "top_up",
            Self::Endpoint => "endpoint",
            Self::Route => "route",
            Self::Stop => "stop",
            Self::Model => "model",
        }
    }

    /// Kind with the given name in declaration files.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.as_str() == name)
    }
}

/// One configuration record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A customer and its keys.
    Customer(CustomerRecord),
    /// A prepaid budget.
    Budget(BudgetRecord),
    /// Tokens paid into a budget.
    TopUp(TopUpRecord),
    /// A model engine or plain service instance.
    Endpoint(EndpointRecord),
    /// A route from a model or service name to endpoints.
    Route(RouteRecord),
    /// A planned stop.
    Stop(StopRecord),
    /// A model that engines should run.
    Model(ModelRecord),
}

impl ConfigRecord {
    /// Kind of the record.
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Customer(_) => RecordKind::Customer,
            Self::Budget(_) => RecordKind::Budget,
            Self::TopUp(_) => RecordKind::TopUp,
            Self::Endpoint(_) => RecordKind::Endpoint,
            Self::Route(_) => RecordKind::Route,
            Self::Stop(_) => RecordKind::Stop,
            Self::Model(_) => RecordKind::Model,
        }
    }

    /// Name of the record, unique within its kind.
    pub fn name(&self) -> &SmolStr {
        match self {
            Self::Customer(record) => &record.name,
            Self::Budget(record) => &record.name,
            Self::TopUp(record) => &record.name,
            Self::Endpoint(record) => &record.name,
            Self::Route(record) => &record.name,
            Self::Stop(record) => &record.name,
            Self::Model(record) => &record.name,
        }
    }
}

/// A customer and the SHA-256 hashes of its keys, in hex.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRecord {
    /// Name of the customer.
    pub name: CustomerId,
    /// SHA-256 of each key, in hex.
    pub key_sha256: Vec<SmolStr>,
    /// Share of capacity relative to other customers under load.
    #[serde(default = "default_one")]
    pub weight: u32,
}

/// A prepaid budget of a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRecord {
    /// Name of the budget.
    pub name: BudgetId,
    /// Customer that spends it.
    pub customer: CustomerId,
}

/// Payment of tokens into a budget; takes effect once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopUpRecord {
    /// Id of the payment.
    pub name: SmolStr,
    /// Budget that receives it.
    pub budget: BudgetId,
    /// Tokens paid in; a negative amount takes free tokens back.
    pub amount: i64,
}

/// What an endpoint runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    ModelEngine,
    /// A plain service.
    PlainService,
}

/// A model engine or plain service instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// Name of the endpoint.
    pub name: EndpointId,
    /// What it runs.
    pub runs: EndpointKind,
    /// IP address and port.
    pub address: SmolStr,
    /// Failure domain of the endpoint.
    pub failure_domain: DomainId,
    /// Number of requests that it serves concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it rejects orders with an old fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
    /// Whether it lists its streams by holder, as evidence for settlement.
    #[serde(default)]
    pub lists_streams: bool,
    /// Whether it is being removed and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A route from a model or service name to endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRecord {
    /// Model name, or the service name in `/svc/{name}/...`.
    pub name: RouteId,
    /// Endpoints that serve it.
    pub endpoints: BTreeSet<EndpointId>,
    /// Whether a request may run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Work class of requests that do not set one.
    #[serde(default)]
    pub class: WorkClass,
    /// Tokens charged for one call of a plain service.
    #[serde(default)]
    pub price: Tokens,
    /// Maximum number of tokens that a request may generate.
    #[serde(default = "default_max_output")]
    pub max_output: Tokens,
    /// Time limit for the whole response, in milliseconds.
    #[serde(default = "default_time_limit_ms")]
    pub time_limit_ms: u64,
    /// Size limit for the response of a plain service, in bytes.
    #[serde(default = "default_answer_limit_bytes")]
    pub answer_limit_bytes: usize,
}

/// A planned stop of an endpoint or a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopRecord {
    /// Name of the stop.
    pub name: SmolStr,
    /// Endpoint that stops.
    #[serde(default)]
    pub endpoint: Option<EndpointId>,
    /// Failure domain that stops.
    #[serde(default)]
    pub failure_domain: Option<DomainId>,
    /// Start of the window, in seconds since the Unix epoch.
    pub from: u64,
    /// End of the window, in seconds since the Unix epoch.
    pub until: u64,
    /// Share of the slots of each route that must remain, in percent.
    #[serde(default = "default_remaining_percent")]
    pub remaining_percent: u32,
}

/// A model that engines should run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRecord {
    /// Name of the model.
    pub name: SmolStr,
    /// Version that engines should run.
    pub version: SmolStr,
    /// Minimum number of engines that should run it.
    #[serde(default = "default_one")]
    pub replicas: u32,
}

fn default_one() -> u32 {
    1
}

fn default_slots() -> u32 {
    8
}

fn default_remaining_percent() -> u32 {
    50
}

fn default_idempotent() -> bool {
    true
}

fn default_max_output() -> Tokens {
    4_096
}

fn default_time_limit_ms() -> u64 {
    600_000
}

fn default_answer_limit_bytes() -> usize {
    4 << 20
}

/// Parses one declaration file without checking references between records.
///
/// # Errors
///
/// `Syntax`, `Schema` or `Data`; the message has one line per mistake.
pub fn from_str(text: &str) -> Result<Vec<ConfigRecord>> {
    let declared = parse_file("declarations", text);
    if declared.errors.is_empty() {
        return Ok(declared.into_records());
    }
    let category = declared.errors[0].category();
    let lines: Vec<String> = declared.errors.iter().map(Error::to_string).collect();
    Err(Error::new(category, lines.join("\n")))
}
