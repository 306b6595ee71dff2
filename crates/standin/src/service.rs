use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    axum::{
        Json, Router,
        body::Bytes,
        extract::{DefaultBodyLimit, Query, State},
        http::{HeaderMap, Method, StatusCode, Uri},
        response::{IntoResponse, Response},
        serve::ListenerExt,
    },
    serde::Deserialize,
    serde_json::{Map, Value, json},
    smol_str::SmolStr,
    tokio::net::TcpListener,
};

/// Largest request body; above the limit of the routers.
const BODY_LIMIT: usize = 8 << 20;

/// Stand-in for a plain service, which counts its calls.
///
/// The query can inject faults: `status` sets the HTTP status, `sleep_ms` delays the response, `bytes`
/// adds padding, `id` replaces the request id in the response, `usage` reports used tokens.
#[derive(Clone)]
pub struct PlainService {
    name: SmolStr,
    call_count: Arc<AtomicU64>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct FaultQuery {
    status: Option<u16>,
    sleep_ms: u64,
    bytes: usize,
    id: Option<String>,
    usage: Option<u64>,
}

impl PlainService {
    /// Creates a service that has had no calls.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            call_count: Arc::default(),
        }
    }

    /// Returns the number of calls so far.
    pub fn call_count(&self) -> u64 {
        self.call_count.load(Ordering::SeqCst)
    }

    /// Responds on any path until the listener fails.
    ///
    /// # Errors
    ///
    /// The error of the listener.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let app = Router::new()
            .fallback(respond)
            .layer(DefaultBodyLimit::max(BODY_LIMIT))
            .with_state(self);
        // Without TCP_NODELAY, delayed acknowledgements add 40 ms to a stream of small events.
        let listener = listener.tap_io(|stream| {
            let _ = stream.set_nodelay(true);
        });
        axum::serve(listener, app).await
    }
}

async fn respond(
    State(service): State<PlainService>,
    Query(fault): Query<FaultQuery>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let serial = service.call_count.fetch_add(1, Ordering::SeqCst) + 1;
    tokio::time::sleep(Duration::from_millis(fault.sleep_ms)).await;
    let header_values: Map<String, Value> = headers
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.to_string(), Value::from(value.as_ref()))
        })
        .collect();
    let mut content = json!({
        "service": service.name, "serial": format!("{}-{serial}", service.name),
        "method": method.as_str(), "path": uri.path(), "query": uri.query(),
        "headers": header_values, "body_bytes": body.len(),
    });
    if fault.bytes > 0 {
        content["padding"] = "x".repeat(fault.bytes).into();
    }
    if let Some(usage) = fault.usage {
        content["usage"] = json!({"total_tokens": usage});
    }
    let status = fault
        .status
        .and_then(|status| StatusCode::from_u16(status).ok());
    let mut response = (status.unwrap_or(StatusCode::OK), Json(content)).into_response();
    let request_id = match fault.id {
        Some(id) => id.parse().ok(),
        None => headers.get("x-jasminewall-request").cloned(),
    };
    if let Some(request_id) = request_id {
        response
            .headers_mut()
            .insert("x-jasminewall-request", request_id);
    }
    response
}
