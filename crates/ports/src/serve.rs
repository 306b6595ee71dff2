use std::sync::Arc;

use {
    axum::{
        Json, Router,
        extract::{DefaultBodyLimit, State},
        http::HeaderMap,
        routing::post,
    },
    serde::{Deserialize, Serialize},
    tokio::net::TcpListener,
};

use crate::{
    FaultPlan, MemoryPlatform, PlatformCounts, Result, RowWrite, TableRow, TransactOutcome,
    VmEntry, VmState,
    port::{ObjectPort, TablePort, VmListPort, WeightPort},
};

/// Header with the name of the client.
pub(crate) const CLIENT_HEADER: &str = "x-jasminewall-client";
/// Header with the credential of an operator.
pub(crate) const OPERATOR_HEADER: &str = "x-jasminewall-operator";
/// Maximum size of a call, in bytes; a segment of charge lines is written in one call.
const MAX_CALL_SIZE: usize = 64 << 20;

/// Call of a port, as sent to the HTTP stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum PortRequest {
    /// Reads a row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Reads the rows whose keys start with a prefix.
    Scan {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Applies writes in a transaction.
    Transact {
        /// Writes of the transaction.
        writes: Vec<RowWrite>,
    },
    /// Writes an object unless its key exists.
    PutNew {
        /// Key of the object.
        key: String,
        /// Content of the object.
        value: Vec<u8>,
    },
    /// Reads an object.
    Get {
        /// Key of the object.
        key: String,
    },
    /// Lists the objects whose keys start with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Reads the VM list.
    Vms,
    /// Acquires a permit to load a model's weights.
    Permit {
        /// Name of the model.
        model: String,
    },
    /// Replaces the injected faults.
    SetFaults {
        /// New faults.
        faults: FaultPlan,
    },
    /// Adds a VM to the VM list, or updates or removes it.
    SetVm {
        /// Name of the VM.
        vm: String,
        /// State of the VM; `None` removes it.
        state: Option<VmState>,
    },
    /// Returns the operation counts.
    Counts,
}

/// Response of the HTTP stand-in to a port call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", content = "value", rename_all = "snake_case")]
pub enum PortResponse {
    /// Row, if it exists.
    Row(Option<TableRow>),
    /// Rows.
    Rows(Vec<TableRow>),
    /// Outcome of a transaction.
    Outcome(TransactOutcome),
    /// Whether the object was written or the permit granted.
    Flag(bool),
    /// Object, if it exists.
    Object(Option<Vec<u8>>),
    /// Keys.
    Keys(Vec<String>),
    /// VM list.
    Vms(Vec<VmEntry>),
    /// Operation counts.
    Counts(PlatformCounts),
    /// Success without a value.
    Done,
}

/// Serves a stand-in platform over HTTP.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve(platform: MemoryPlatform, listener: TcpListener) -> std::io::Result<()> {
    let app = Router::new()
        .route("/port", post(handle))
        .layer(DefaultBodyLimit::max(MAX_CALL_SIZE))
        .with_state(Arc::new(platform));
    axum::serve(listener, app).await
}

async fn handle(
    State(platform): State<Arc<MemoryPlatform>>,
    headers: HeaderMap,
    Json(request): Json<PortRequest>,
) -> Json<Result<PortResponse>> {
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let mut platform = platform.client(header(CLIENT_HEADER).unwrap_or_default());
    if let Some(credential) = header(OPERATOR_HEADER) {
        platform = platform.with_credential(credential);
    }
    Json(dispatch(&platform, request).await)
}

async fn dispatch(platform: &MemoryPlatform, request: PortRequest) -> Result<PortResponse> {
    Ok(match request {
        PortRequest::Read { key } => PortResponse::Row(platform.read(&key).await?),
        PortRequest::Scan { prefix } => PortResponse::Rows(platform.scan(&prefix).await?),
        PortRequest::Transact { writes } => PortResponse::Outcome(platform.transact(writes).await?),
        PortRequest::PutNew { key, value } => {
            PortResponse::Flag(platform.put_new(&key, value).await?)
        }
        PortRequest::Get { key } => PortResponse::Object(platform.get(&key).await?),
        PortRequest::List { prefix } => {
            PortResponse::Keys(ObjectPort::list(platform, &prefix).await?)
        }
        PortRequest::Vms => PortResponse::Vms(VmListPort::list(platform).await?),
        PortRequest::Permit { model } => PortResponse::Flag(platform.permit(&model).await?),
        PortRequest::SetFaults { faults } => {
            platform.set_faults(faults);
            PortResponse::Done
        }
        PortRequest::SetVm { vm, state } => {
            platform.set_vm(&vm, state);
            PortResponse::Done
        }
        PortRequest::Counts => PortResponse::Counts(platform.counts()),
    })
}
