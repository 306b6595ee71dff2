use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use {
    axum::{
        Json, Router,
        extract::State,
        http::{Method, Uri},
    },
    serde_json::{Value, json},
    smol_str::SmolStr,
    tokio::net::TcpListener,
};

/// Stand-in plain service that counts what it ran.
#[derive(Clone)]
pub struct PlainService {
    name: SmolStr,
    runs: Arc<AtomicU64>,
}

impl PlainService {
    /// Builds a service that has run nothing.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            runs: Arc::default(),
        }
    }

    /// Number of calls that the service ran.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    /// Serves any path until the listener fails.
    ///
    /// # Errors
    ///
    /// The error of the listener.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let app = Router::new().fallback(run).with_state(self);
        axum::serve(listener, app).await
    }
}

async fn run(State(service): State<PlainService>, method: Method, uri: Uri) -> Json<Value> {
    let serial = service.runs.fetch_add(1, Ordering::SeqCst) + 1;
    Json(json!({
        "service": service.name, "serial": format!("{}-{serial}", service.name),
        "method": method.as_str(), "path": uri.path(),
    }))
}
