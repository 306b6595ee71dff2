use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    axum::{
        Json, Router,
        extract::State,
        http::StatusCode,
        routing::{get, post},
    },
    jasminewall_core::order::{EngineOrder, EngineReport, FencingGuard, ModelVersion},
    tokio::net::TcpListener,
};

/// Path of the order API.
const ORDER_PATH: &str = "/jasminewall/order";

/// Order API of a stand-in engine: accepts orders to run a model and reports the running model.
///
/// `POST /jasminewall/order` places an order. An engine that honours fencing numbers responds to an
/// outdated number with 409. `GET` on the same path returns the report of the engine.
#[derive(Clone)]
pub struct OrderServer {
    state: Arc<Mutex<OrderState>>,
}

struct OrderState {
    guard: FencingGuard,
    load_time: Duration,
    orders: Vec<EngineOrder>,
}

impl OrderServer {
    /// Creates the API of an engine that honours fencing numbers, or of one that ignores them.
    pub fn new(honours_fencing: bool) -> Self {
        let state = OrderState {
            guard: FencingGuard::new(honours_fencing),
            load_time: Duration::ZERO,
            orders: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sets the time that loading a model takes.
    pub fn set_load_time(&self, time: Duration) {
        self.lock().load_time = time;
    }

    /// Returns the running and loading models and the highest accepted fencing number.
    pub fn report(&self) -> EngineReport {
        self.lock().guard.report().clone()
    }

    /// Returns the accepted orders, oldest first.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.lock().orders.clone()
    }

    /// Returns whether the engine is running `model`.
    pub fn is_running(&self, model: &str) -> bool {
        let running = self.report().running;
        running.is_some_and(|running| running.model == model)
    }

    /// Accepts an order. Returns `false` if the engine honours fencing numbers and the number is outdated.
    pub fn accept(&self, order: &EngineOrder) -> bool {
        let mut state = self.lock();
        let accepted = state.guard.accept(order);
        if accepted {
            state.orders.push(order.clone());
        }
        accepted
    }

    /// Returns the routes of the API, to merge into those of an engine.
    pub fn routes(&self) -> Router {
        Router::new()
            .route(ORDER_PATH, post(place_order).merge(get(read_report)))
            .with_state(self.clone())
    }

    /// Serves only this API until the listener fails.
    ///
    /// # Errors
    ///
    /// The error of the listener.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        axum::serve(listener, self.routes()).await
    }

    fn lock(&self) -> MutexGuard<'_, OrderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn finish_load(&self, target: &ModelVersion) {
        self.lock().guard.finish_load(target);
    }
}

async fn place_order(
    State(server): State<OrderServer>,
    Json(order): Json<EngineOrder>,
) -> (StatusCode, Json<EngineReport>) {
    if !server.accept(&order) {
        return (StatusCode::CONFLICT, Json(server.report()));
    }
    let time = server.lock().load_time;
    if time.is_zero() {
        server.finish_load(&order.target);
    } else {
        let server = server.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            server.finish_load(&order.target);
        });
    }
    (StatusCode::OK, Json(server.report()))
}

async fn read_report(State(server): State<OrderServer>) -> Json<EngineReport> {
    Json(server.report())
}
