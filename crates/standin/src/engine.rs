use std::{convert::Infallible, sync::Arc, time::Duration};

use {
    axum::{
        Json, Router,
        extract::State,
        http::{HeaderMap, StatusCode},
        response::{
            IntoResponse, Response,
            sse::{Event, Sse},
        },
        routing::post,
    },
    serde_json::{Value, json},
    smol_str::SmolStr,
    tokio::net::TcpListener,
};

/// Tokens generated when a request names no limit.
const DEFAULT_OUTPUT: u64 = 16;

/// Stand-in model engine with the chat-completions interface.
#[derive(Clone)]
pub struct ModelEngine {
    state: Arc<EngineState>,
}

struct EngineState {
    name: SmolStr,
    models: Vec<SmolStr>,
    token_time: Duration,
}

impl ModelEngine {
    /// Builds an engine that serves models at 5 ms a token.
    pub fn new(name: &str, models: &[&str]) -> Self {
        let models = models.iter().copied().map(SmolStr::new).collect();
        let token_time = Duration::from_millis(5);
        Self {
            state: Arc::new(EngineState {
                name: name.into(),
                models,
                token_time,
            }),
        }
    }

    /// Serves the engine until the listener fails.
    ///
    /// # Errors
    ///
    /// The error of the listener.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let app = Router::new()
            .route("/v1/chat/completions", post(complete))
            .with_state(self.state);
        axum::serve(listener, app).await
    }
}

async fn complete(
    State(engine): State<Arc<EngineState>>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    if !engine.models.iter().any(|name| *name == model) {
        let error =
            json!({"error": {"message": "the model is not loaded here", "code": "not_run"}});
        return (StatusCode::NOT_FOUND, Json(error)).into_response();
    }
    let id = headers
        .get("x-jasminewall-request")
        .and_then(|id| id.to_str().ok())
        .unwrap_or("none");
    let job = EngineJob {
        id: id.to_owned(),
        model,
        prompt: prompt_tokens(&body),
        output: output_tokens(&body),
        usage_wanted: body["stream_options"]["include_usage"]
            .as_bool()
            .unwrap_or(false),
    };
    if body["stream"].as_bool().unwrap_or(false) {
        return stream(engine, job);
    }
    tokio::time::sleep(engine.token_time * u32::try_from(job.output).unwrap_or(u32::MAX)).await;
    let text: Vec<String> = (0..job.output).map(|index| engine.word(index)).collect();
    Json(json!({
        "id": job.id, "object": "chat.completion", "created": 0, "model": job.model,
        "choices": [{"index": 0, "finish_reason": "stop",
            "message": {"role": "assistant", "content": text.join(" ")}}],
        "usage": job.usage(),
    }))
    .into_response()
}

struct EngineJob {
    id: String,
    model: String,
    prompt: u64,
    output: u64,
    usage_wanted: bool,
}

impl EngineJob {
    fn usage(&self) -> Value {
        json!({"prompt_tokens": self.prompt, "completion_tokens": self.output,
            "total_tokens": self.prompt + self.output})
    }

    fn chunk(&self, delta: &Value, finish: Option<&str>) -> Value {
        json!({"id": self.id, "object": "chat.completion.chunk", "created": 0, "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}]})
    }
}

impl EngineState {
    fn word(&self, index: u64) -> String {
        format!("{}:{index}", self.name)
    }
}

fn stream(engine: Arc<EngineState>, job: EngineJob) -> Response {
    let events = async_stream::stream! {
        for index in 0..job.output {
            tokio::time::sleep(engine.token_time).await;
            let delta = json!({"role": "assistant", "content": format!("{} ", engine.word(index))});
            yield Ok::<_, Infallible>(Event::default().id(index.to_string()).data(job.chunk(&delta, None).to_string()));
        }
        yield Ok(Event::default().data(job.chunk(&json!({}), Some("stop")).to_string()));
        if job.usage_wanted {
            let mut last = job.chunk(&json!({}), None);
            last["choices"] = json!([]);
            last["usage"] = job.usage();
            yield Ok(Event::default().data(last.to_string()));
        }
        yield Ok(Event::default().data("[DONE]"));
    };
    Sse::new(events).into_response()
}

/// Counts prompt tokens as words of the messages, at least one.
fn prompt_tokens(body: &Value) -> u64 {
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let words = |message: &Value| {
        message["content"]
            .as_str()
            .map_or(0, |text| text.split_whitespace().count() as u64)
    };
    messages.iter().map(words).sum::<u64>().max(1)
}

fn output_tokens(body: &Value) -> u64 {
    let limit = body["max_completion_tokens"]
        .as_u64()
        .or_else(|| body["max_tokens"].as_u64());
    limit.unwrap_or(DEFAULT_OUTPUT).max(1)
}
