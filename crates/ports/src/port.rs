use std::{future::Future, pin::Pin, sync::Arc};

use {
    jasminewall_core::VmId,
    serde::{Deserialize, Serialize},
};

use crate::Result;

/// Future returned by a port call.
pub type PortFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Row of the table service. The versions of a key never decrease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row, starting at 1.
    pub version: u64,
    /// Content as JSON text.
    pub value: String,
}

/// Conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// Required version of the row; 0 if the row must be absent.
    pub expected: u64,
    /// New JSON text; `None` deletes the row.
    pub value: Option<String>,
}

impl RowWrite {
    /// Creates a row; requires that it is absent.
    pub fn create(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            expected: 0,
            value: Some(value.into()),
        }
    }

    /// Replaces a row; requires version `expected`.
    pub fn replace(key: impl Into<String>, expected: u64, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            expected,
            value: Some(value.into()),
        }
    }

    /// Deletes a row; requires version `expected`.
    pub fn delete(key: impl Into<String>, expected: u64) -> Self {
        Self {
            key: key.into(),
            expected,
            value: None,
        }
    }
}

/// Outcome of a transaction, as reported by the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TransactOutcome {
    /// All writes took effect.
    Committed,
    /// A row did not have the required version; no write took effect.
    Conflict,
}

/// Transactional table service.
pub trait TablePort: Send + Sync {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<TableRow>>;
    /// Reads all rows whose key starts with a prefix, in key order.
    fn scan<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<TableRow>>;
    /// Applies all writes atomically, or none if a version does not match.
    fn transact(&self, writes: Vec<RowWrite>) -> PortFuture<'_, TransactOutcome>;
}

/// Object store with immutable objects.
pub trait ObjectPort: Send + Sync {
    /// Writes an object unless the key exists. Returns whether it was written.
    fn put_new<'a>(&'a self, key: &'a str, value: Vec<u8>) -> PortFuture<'a, bool>;
    /// Reads an object.
    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<Vec<u8>>>;
    /// Lists the keys that start with a prefix, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<String>>;
}

/// State of a VM on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// Entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// State of the VM.
    pub state: VmState,
}

/// List of live and leaving VMs; changes appear with a delay.
pub trait VmListPort: Send + Sync {
    /// Reads the list.
    fn list(&self) -> PortFuture<'_, Vec<VmEntry>>;
}

/// Rate-limited store of model weights.
pub trait WeightPort: Send + Sync {
    /// Acquires a permit to load the weights of a model. Returns `false` if the rate limit is
    /// reached.
    fn permit<'a>(&'a self, model: &'a str) -> PortFuture<'a, bool>;
}

/// All ports of the platform.
#[derive(Clone)]
pub struct PlatformPorts {
    /// Table service.
    pub table: Arc<dyn TablePort>,
    /// Object store.
    pub object: Arc<dyn ObjectPort>,
    /// VM list.
    pub vms: Arc<dyn VmListPort>,
    /// Store of model weights.
    pub weights: Arc<dyn WeightPort>,
}
