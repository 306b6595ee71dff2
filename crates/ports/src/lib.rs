//! Interfaces to the platform's table service, object store, VM list and weight store, with an
//! in-memory implementation and an HTTP client and server.
//!
//! ```
//! use jasminewall_ports::{MemoryPlatform, RowWrite, TransactOutcome};
//!
//! # tokio::runtime::Runtime::new().expect("runtime").block_on(async {
//! let ports = MemoryPlatform::new().ports();
//! let write = RowWrite::create("vm/a", "{}");
//! let outcome = ports.table.transact(vec![write]).await.expect("the table answers");
//! assert_eq!(outcome, TransactOutcome::Committed);
//! # });
//! ```

mod error;
mod http;
mod memory;
mod port;
mod row;
mod serve;

pub use crate::{
    error::{Category, Error, Result},
    http::HttpPlatform,
    memory::{FaultPlan, MemoryPlatform, PlatformCounts},
    port::{
        ObjectPort, PlatformPorts, PortFuture, RowWrite, TablePort, TableRow, TransactOutcome,
        VmEntry, VmListPort, VmState, WeightPort,
    },
    row::{
        FIRST_ERA, MemoryRows, RowCopy, RowFault, RowKey, RowPage, RowPort, RowPrecondition,
        RowReply, RowTransaction, RowUpdate, StoreEra, StoredRow, era_of, era_version,
        stored_version,
    },
    serve::{PortRequest, PortResponse, serve},
};
