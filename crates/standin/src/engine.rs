use std::{
    collections::{BTreeMap, VecDeque},
    convert::Infallible,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    axum::{
        Json, Router,
        extract::{Path, Query, State},
        http::{HeaderMap, StatusCode},
        response::{
            IntoResponse, Response,
            sse::{Event, Sse},
        },
        routing::{get, post},
        serve::ListenerExt,
    },
    serde::Deserialize,
    serde_json::{Value, json},
    smol_str::SmolStr,
    tokio::{net::TcpListener, sync::watch},
};

/// Number of generated tokens if a request sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;
/// Number of streams kept for resuming and listing; the oldest are dropped first.
const MAX_STREAMS: usize = 4_096;

/// Stand-in for a model engine with the chat-completions API.
///
/// Streams are kept by request id, so that they can be resumed, cancelled and listed. The field
/// `standin` of a request injects a fault, for example `{"standin": {"status": 500}}`.
#[derive(Clone)]
pub struct ModelEngine {
    state: Arc<EngineState>,
}

struct EngineState {
    name: SmolStr,
    models: Vec<SmolStr>,
    token_time: Duration,
    streams: Mutex<StreamTable>,
}

/// Kept streams by request id.
#[derive(Default)]
struct StreamTable {
    by_request: BTreeMap<String, Arc<StreamRecord>>,
    /// Request ids, oldest first.
    request_ids: VecDeque<String>,
}

/// Token holder and budget that pay for a request, from the headers that the router sets.
struct StreamPayer {
    holder: String,
    budget: String,
}

/// Request that keeps running when its connection is lost. Requests without streaming are recorded
/// and listed too, because absence from the list counts as proof that a request used no tokens.
struct StreamRecord {
    job: EngineJob,
    payer: StreamPayer,
    refuses_resume: bool,
    progress: watch::Sender<StreamProgress>,
}

#[derive(Clone, Copy, Debug, Default)]
struct StreamProgress {
    generated_tokens: u64,
    state: StreamState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StreamState {
    #[default]
    Running,
    Ended,
    Cancelled,
}

/// Faults that a request asks the stand-in to inject.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct FaultOptions {
    /// Responds with this HTTP status.
    status: Option<u16>,
    /// Token usage reported in the response with `status`.
    usage: Option<u64>,
    /// Responds with this id instead of the request's id.
    id: Option<String>,
    /// Ends the first connection after this many tokens, without `[DONE]`.
    cut_after: Option<u64>,
    /// Deletes the stream when `cut_after` ends its connection, so that it cannot be resumed.
    forget: bool,
    /// Pauses the first connection before the event with this index.
    pause_before: Option<u64>,
    /// Time of that pause, in milliseconds.
    pause_ms: u64,
    /// Responds with 503 to requests to resume the stream.
    refuses_resume: bool,
    /// Sends every event twice, and the whole stream twice.
    twice: bool,
    /// Number of bytes added to each token.
    pad: usize,
    /// Time per token, in milliseconds.
    token_ms: Option<u64>,
}

impl ModelEngine {
    /// Creates an engine that serves models at 5 ms per token.
    pub fn new(name: &str, models: &[&str]) -> Self {
        let models = models.iter().copied().map(SmolStr::new).collect();
        let token_time = Duration::from_millis(5);
        Self {
            state: Arc::new(EngineState {
                name: name.into(),
                models,
                token_time,
                streams: Mutex::default(),
            }),
        }
    }

    /// Serves the API until the listener fails.
    ///
    /// # Errors
    ///
    /// The error of the listener.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let app = Router::new()
            .route("/v1/chat/completions", post(complete))
            .route("/v1/streams", get(list))
            .route("/v1/streams/{id}", get(resume).delete(cancel))
            .with_state(self.state);
        // Without TCP_NODELAY, delayed acknowledgements add 40 ms to a stream of small events.
        let listener = listener.tap_io(|stream| {
            let _ = stream.set_nodelay(true);
        });
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
    let fault: FaultOptions = serde_json::from_value(body["standin"].clone()).unwrap_or_default();
    if let Some(status) = fault.status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut error = json!({"error": {"message": "asked to fail", "code": "standin"}});
        if let Some(usage) = fault.usage {
            error["usage"] = json!({"total_tokens": usage});
        }
        return (status, Json(error)).into_response();
    }
    let request = header_text(&headers, "x-jasminewall-request");
    let job = EngineJob {
        id: fault.id.clone().unwrap_or_else(|| request.clone()),
        model,
        prompt_tokens: count_prompt_tokens(&body),
        output_tokens: output_limit(&body),
        include_usage: body["stream_options"]["include_usage"]
            .as_bool()
            .unwrap_or(false),
        token_time: fault
            .token_ms
            .map_or(engine.token_time, Duration::from_millis),
    };
    let is_stream = body["stream"].as_bool().unwrap_or(false);
    let payer = StreamPayer {
        holder: header_text(&headers, "x-jasminewall-holder"),
        budget: header_text(&headers, "x-jasminewall-budget"),
    };
    let record = engine.start(request, payer, job, is_stream, fault.refuses_resume);
    if is_stream {
        return stream_events(engine, record, 0, &fault);
    }
    let mut progress = record.progress.subscribe();
    let completion = progress.wait_for(|progress| progress.state != StreamState::Running);
    if completion.await.is_err() {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let job = &record.job;
    let text: Vec<String> = (0..job.output_tokens)
        .map(|index| engine.token_text(index))
        .collect();
    Json(json!({
        "id": job.id, "object": "chat.completion", "created": 0, "model": job.model,
        "choices": [{"index": 0, "finish_reason": "stop",
            "message": {"role": "assistant", "content": text.join(" ")}}],
        "usage": job.usage(job.output_tokens),
    }))
    .into_response()
}

#[derive(Deserialize)]
struct ResumeQuery {
    after: Option<u64>,
}

/// Sends the events of a stream after the one with id `after`.
async fn resume(
    State(engine): State<Arc<EngineState>>,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    let Some(record) = engine.find(&id) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if record.progress.borrow().state == StreamState::Cancelled {
        return StatusCode::GONE.into_response();
    }
    if record.refuses_resume {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let first_index = query.after.map_or(0, |after| after + 1);
    stream_events(engine, record, first_index, &FaultOptions::default())
}

/// Cancels a stream and returns its token usage.
async fn cancel(State(engine): State<Arc<EngineState>>, Path(id): Path<String>) -> Response {
    let Some(record) = engine.find(&id) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    record.progress.send_modify(|progress| {
        if progress.state == StreamState::Running {
            progress.state = StreamState::Cancelled;
        }
    });
    Json(record.summary(&id)).into_response()
}

#[derive(Deserialize)]
struct ListQuery {
    holder: Option<String>,
}

/// Lists all streams, or those of one holder.
async fn list(State(engine): State<Arc<EngineState>>, Query(query): Query<ListQuery>) -> Response {
    let streams = engine.streams();
    let listed = streams.by_request.iter().filter(|(_, record)| {
        let holder = query.holder.as_ref();
        holder.is_none_or(|holder| *holder == record.payer.holder)
    });
    let listed: Vec<Value> = listed.map(|(id, record)| record.summary(id)).collect();
    Json(json!({"streams": listed})).into_response()
}

#[derive(Clone)]
struct EngineJob {
    id: String,
    model: String,
    prompt_tokens: u64,
    output_tokens: u64,
    include_usage: bool,
    token_time: Duration,
}

impl EngineJob {
    fn usage(&self, generated_tokens: u64) -> Value {
        json!({"prompt_tokens": self.prompt_tokens, "completion_tokens": generated_tokens,
            "total_tokens": self.prompt_tokens + generated_tokens})
    }

    fn chunk(&self, delta: &Value, finish: Option<&str>) -> Value {
        json!({"id": self.id, "object": "chat.completion.chunk", "created": 0, "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}]})
    }
}

impl StreamRecord {
    fn summary(&self, id: &str) -> Value {
        let progress = *self.progress.borrow();
        let state = match progress.state {
            StreamState::Running => "running",
            StreamState::Ended => "ended",
            StreamState::Cancelled => "cancelled",
        };
        json!({"request": id, "holder": self.payer.holder, "budget": self.payer.budget,
            "state": state, "usage": self.job.usage(progress.generated_tokens)})
    }
}

impl EngineState {
    fn token_text(&self, index: u64) -> String {
        format!("{}:{index}", self.name)
    }

    fn streams(&self) -> MutexGuard<'_, StreamTable> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, id: &str) -> Option<Arc<StreamRecord>> {
        self.streams().by_request.get(id).cloned()
    }

    /// Starts generating a response in the background, whether or not a connection reads it.
    fn start(
        &self,
        request: String,
        payer: StreamPayer,
        job: EngineJob,
        is_stream: bool,
        refuses_resume: bool,
    ) -> Arc<StreamRecord> {
        let record = Arc::new(StreamRecord {
            job,
            payer,
            refuses_resume,
            progress: watch::Sender::default(),
        });
        let mut streams = self.streams();
        streams.request_ids.push_back(request.clone());
        streams.by_request.insert(request, record.clone());
        if streams.request_ids.len() > MAX_STREAMS
            && let Some(oldest) = streams.request_ids.pop_front()
        {
            streams.by_request.remove(&oldest);
        }
        drop(streams);
        if is_stream {
            tokio::spawn(generate(record.clone()));
        } else {
            tokio::spawn(generate_at_once(record.clone()));
        }
        record
    }
}

/// Generates all tokens of a response after a single delay.
async fn generate_at_once(record: Arc<StreamRecord>) {
    let tokens = record.job.output_tokens;
    let time = record.job.token_time * u32::try_from(tokens).unwrap_or(u32::MAX);
    tokio::time::sleep(time).await;
    record.progress.send_modify(|progress| {
        if progress.state == StreamState::Running {
            progress.generated_tokens = tokens;
            progress.state = StreamState::Ended;
        }
    });
}

/// Generates the tokens of a stream one by one.
async fn generate(record: Arc<StreamRecord>) {
    for _ in 0..record.job.output_tokens {
        tokio::time::sleep(record.job.token_time).await;
        let is_running = record.progress.send_if_modified(|progress| {
            let is_running = progress.state == StreamState::Running;
            progress.generated_tokens += u64::from(is_running);
            is_running
        });
        if !is_running {
            return;
        }
    }
    record.progress.send_modify(|progress| {
        if progress.state == StreamState::Running {
            progress.state = StreamState::Ended;
        }
    });
}

/// Sends the events of a stream from an index on. The id of an event is the index of its token.
fn stream_events(
    engine: Arc<EngineState>,
    record: Arc<StreamRecord>,
    first_index: u64,
    fault: &FaultOptions,
) -> Response {
    let fault = fault.clone();
    let events = async_stream::stream! {
        let mut progress = record.progress.subscribe();
        let job = &record.job;
        let mut index = first_index;
        let copies = if fault.twice { 2 } else { 1 };
        for copy in 0..copies {
            if copy > 0 {
                index = first_index;
            }
            loop {
                let current = *progress.borrow_and_update();
                while index < current.generated_tokens {
                    if fault.cut_after == Some(index) {
                        if fault.forget {
                            engine.streams().by_request.retain(|_, other| !Arc::ptr_eq(other, &record));
                        }
                        return;
                    }
                    if fault.pause_before == Some(index) {
                        tokio::time::sleep(Duration::from_millis(fault.pause_ms)).await;
                    }
                    let delta = json!({"role": "assistant", "content": format!("{}{} ", "x".repeat(fault.pad), engine.token_text(index))});
                    let data = job.chunk(&delta, None).to_string();
                    for _ in 0..copies {
                        yield Ok::<_, Infallible>(Event::default().id(index.to_string()).data(data.clone()));
                    }
                    index += 1;
                }
                match current.state {
                    StreamState::Running => if progress.changed().await.is_err() { return },
                    StreamState::Cancelled => return,
                    StreamState::Ended => break,
                }
            }
            yield Ok(Event::default().id(job.output_tokens.to_string()).data(job.chunk(&json!({}), Some("stop")).to_string()));
            if job.include_usage {
                let mut usage_chunk = job.chunk(&json!({}), None);
                usage_chunk["choices"] = json!([]);
                usage_chunk["usage"] = job.usage(job.output_tokens);
                yield Ok(Event::default().data(usage_chunk.to_string()));
            }
            yield Ok(Event::default().data("[DONE]"));
        }
    };
    Sse::new(events).into_response()
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("none").to_owned()
}

/// Counts the words of the messages as prompt tokens, at least 1.
fn count_prompt_tokens(body: &Value) -> u64 {
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let words = |message: &Value| {
        message["content"]
            .as_str()
            .map_or(0, |text| text.split_whitespace().count() as u64)
    };
    messages.iter().map(words).sum::<u64>().max(1)
}

/// Returns the number of tokens that a request asks for.
fn output_limit(body: &Value) -> u64 {
    let limit = body["max_completion_tokens"]
        .as_u64()
        .or_else(|| body["max_tokens"].as_u64());
    limit.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1)
}
