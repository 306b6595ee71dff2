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

/// Header that names the client of a call.
pub(crate) const CLIENT_HEADER: &str = "x-jasminewall-client";
/// Header with the credential of an operator.
pub(crate) const OPERATOR_HEADER: &str = "x-jasminewall-operator";
/// Largest call, in bytes; a segment of charge lines is written in one call.
const CALL_LIMIT: usize = 64 << 20;

/// Call of a port, as the HTTP stand-in reads it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum PortRequest {
    /// Reads a row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Reads rows by prefix.
    Scan {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Applies writes.
    Transact {
        /// Writes.
        writes: Vec<RowWrite>,
    },
    /// Writes an object once.
    PutNew {
        /// Key of the object.
        key: String,
        /// Bytes.
        value: Vec<u8>,
    },
    /// Reads an object.
    Get {
        /// Key of the object.
        key: String,
    },
    /// Lists objects.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Reads the VM list.
    Vms,
    /// Takes a permit for a model's weights.
    Permit {
        /// Name of the model.
        model: String,
    },
    /// Replaces the faults of the stand-in.
    SetFaults {
        /// New faults.
        faults: FaultPlan,
    },
    /// Puts a VM on the list or takes it off.
    SetVm {
        /// Name of the VM.
        vm: String,
        /// State; `None` takes it off.
        state: Option<VmState>,
    },
    /// Reads the call counts.
    Counts,
}

/// Answer of the HTTP stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", content = "value", rename_all = "snake_case")]
pub enum PortResponse {
    /// Row, if any.
    Row(Option<TableRow>),
    /// Rows.
    Rows(Vec<TableRow>),
    /// Outcome of a transaction.
    Outcome(TransactOutcome),
    /// Whether something was written or permitted.
    Flag(bool),
    /// Object, if any.
    Object(Option<Vec<u8>>),
    /// Keys.
    Keys(Vec<String>),
    /// VM list.
    Vms(Vec<VmEntry>),
    /// Call counts.
    Counts(PlatformCounts),
    /// Nothing to say.
    Done,
}

/// Serves a stand-in platform over HTTP until the listener fails.
///
/// # Errors
///
/// The error of the listener.
pub async fn serve(platform: MemoryPlatform, listener: TcpListener) -> std::io::Result<()> {
    let app = Router::new()
        .route("/port", post(answer))
        .layer(DefaultBodyLimit::max(CALL_LIMIT))
        .with_state(Arc::new(platform));
    axum::serve(listener, app).await
}

async fn answer(
    State(platform): State<Arc<MemoryPlatform>>,
    headers: HeaderMap,
    Json(request): Json<PortRequest>,
) -> Json<Result<PortResponse>> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let mut platform = platform.client(text(CLIENT_HEADER).unwrap_or_default());
    if let Some(credential) = text(OPERATOR_HEADER) {
        platform = platform.operator(credential);
    }
    Json(call(&platform, request).await)
}

async fn call(platform: &MemoryPlatform, request: PortRequest) -> Result<PortResponse> {
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
