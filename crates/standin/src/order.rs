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

/// Path of the order interface.
const ORDER_PATH: &str = "/jasminewall/order";

/// Order interface of a stand-in engine: takes orders and says what runs.
///
/// `POST /jasminewall/order` takes an order and answers 409 to an old fencing number when the engine
/// honours numbers; `GET` on the same path reads back what runs.
#[derive(Clone)]
pub struct OrderServer {
    state: Arc<Mutex<BookState>>,
}

struct BookState {
    guard: FencingGuard,
    load_time: Duration,
    orders: Vec<EngineOrder>,
}

impl OrderServer {
    /// Builds the interface of an engine that honours fencing numbers, or of one that ignores them.
    pub fn new(honours_fencing: bool) -> Self {
        let state = BookState {
            guard: FencingGuard::new(honours_fencing),
            load_time: Duration::ZERO,
            orders: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sets the time that a load takes.
    pub fn set_load_time(&self, time: Duration) {
        self.lock().load_time = time;
    }

    /// What the engine runs and has accepted.
    pub fn report(&self) -> EngineReport {
        self.lock().guard.report().clone()
    }

    /// Orders that the engine accepted, oldest first.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.lock().orders.clone()
    }

    /// Whether the engine runs a model.
    pub fn runs(&self, model: &str) -> bool {
        let running = self.report().running;
        running.is_some_and(|running| running.model == model)
    }

    /// Takes an order; `false` for an old number when the engine honours numbers.
    pub fn accept(&self, order: &EngineOrder) -> bool {
        let mut book = self.lock();
        let accepted = book.guard.accept(order);
        if accepted {
            book.orders.push(order.clone());
        }
        accepted
    }

    /// Routes of the interface, to merge into those of an engine.
    pub fn routes(&self) -> Router {
        Router::new()
            .route(ORDER_PATH, post(take).merge(get(read)))
            .with_state(self.clone())
    }

    /// Serves the interface alone until the listener fails.
    ///
    /// # Errors
    ///
    /// The error of the listener.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        axum::serve(listener, self.routes()).await
    }

    fn lock(&self) -> MutexGuard<'_, BookState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn finish_load(&self, target: &ModelVersion) {
        self.lock().guard.finish_load(target);
    }
}

async fn take(
    State(book): State<OrderServer>,
    Json(order): Json<EngineOrder>,
) -> (StatusCode, Json<EngineReport>) {
    if !book.accept(&order) {
        return (StatusCode::CONFLICT, Json(book.report()));
    }
    let time = book.lock().load_time;
    if time.is_zero() {
        book.finish_load(&order.target);
    } else {
        let book = book.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            book.finish_load(&order.target);
        });
    }
    (StatusCode::OK, Json(book.report()))
}

async fn read(State(book): State<OrderServer>) -> Json<EngineReport> {
    Json(book.report())
}
