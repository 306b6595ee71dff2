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

/// Tokens generated when a request names no limit.
const DEFAULT_OUTPUT: u64 = 16;
/// Ended streams that are kept for resuming and listing.
const STREAMS_KEPT: usize = 4_096;

/// Stand-in model engine with the chat-completions interface.
///
/// It keeps streams by request id, so that they can be resumed, cancelled and listed. The field
/// `standin` of a request makes it fail on purpose, for example `{"standin": {"status": 500}}`.
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

#[derive(Default)]
struct StreamTable {
    by_request: BTreeMap<String, Arc<StreamRecord>>,
    order: VecDeque<String>,
}

/// Who pays for a request, as the router said.
struct StreamPayer {
    holder: String,
    budget: String,
}

/// Request that goes on when its connection is lost. Whole answers are listed like streams: a list
/// that lacks them would prove that their tokens were not used.
struct StreamRecord {
    job: EngineJob,
    payer: StreamPayer,
    progress: watch::Sender<StreamProgress>,
}

#[derive(Clone, Copy, Debug, Default)]
struct StreamProgress {
    generated: u64,
    state: StreamState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StreamState {
    #[default]
    Running,
    Ended,
    Cancelled,
}

/// Failure that a request asks the stand-in to show.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct FaultWish {
    /// Answers with this HTTP status.
    status: Option<u16>,
    /// Reports this many tokens in the answer with `status`.
    usage: Option<u64>,
    /// Answers under this id in place of the request's.
    id: Option<String>,
    /// Ends the first connection without `[DONE]` after this many tokens.
    cut_after: Option<u64>,
    /// Forgets the stream when its connection is cut, so that it cannot be resumed.
    forget: bool,
    /// Sends every event twice, and the whole stream twice.
    twice: bool,
    /// Bytes added to each token.
    pad: usize,
    /// Time for one token, in milliseconds.
    token_ms: Option<u64>,
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
                streams: Mutex::default(),
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
    let fault: FaultWish = serde_json::from_value(body["standin"].clone()).unwrap_or_default();
    if let Some(status) = fault.status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut error = json!({"error": {"message": "asked to fail", "code": "standin"}});
        if let Some(usage) = fault.usage {
            error["usage"] = json!({"total_tokens": usage});
        }
        return (status, Json(error)).into_response();
    }
    let request = text_of(&headers, "x-jasminewall-request");
    let job = EngineJob {
        id: fault.id.clone().unwrap_or_else(|| request.clone()),
        model,
        prompt: prompt_tokens(&body),
        output: output_tokens(&body),
        usage_wanted: body["stream_options"]["include_usage"]
            .as_bool()
            .unwrap_or(false),
        token_time: fault
            .token_ms
            .map_or(engine.token_time, Duration::from_millis),
    };
    let is_stream = body["stream"].as_bool().unwrap_or(false);
    let payer = StreamPayer {
        holder: text_of(&headers, "x-jasminewall-holder"),
        budget: text_of(&headers, "x-jasminewall-budget"),
    };
    let record = engine.start(request, payer, job, is_stream);
    if is_stream {
        return events(engine, record, 0, &fault);
    }
    let mut progress = record.progress.subscribe();
    let ended = progress.wait_for(|progress| progress.state != StreamState::Running);
    if ended.await.is_err() {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let job = &record.job;
    let text: Vec<String> = (0..job.output).map(|index| engine.word(index)).collect();
    Json(json!({
        "id": job.id, "object": "chat.completion", "created": 0, "model": job.model,
        "choices": [{"index": 0, "finish_reason": "stop",
            "message": {"role": "assistant", "content": text.join(" ")}}],
        "usage": job.usage(job.output),
    }))
    .into_response()
}

#[derive(Deserialize)]
struct ResumeQuery {
    after: Option<u64>,
}

/// Sends the events of a stream after an offset.
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
    let first = query.after.map_or(0, |after| after + 1);
    events(engine, record, first, &FaultWish::default())
}

/// Stops a stream and reports what it used.
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

/// Lists streams, of one holder when it is named.
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
    prompt: u64,
    output: u64,
    usage_wanted: bool,
    token_time: Duration,
}

impl EngineJob {
    fn usage(&self, generated: u64) -> Value {
        json!({"prompt_tokens": self.prompt, "completion_tokens": generated,
            "total_tokens": self.prompt + generated})
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
            "state": state, "usage": self.job.usage(progress.generated)})
    }
}

impl EngineState {
    fn word(&self, index: u64) -> String {
        format!("{}:{index}", self.name)
    }

    fn streams(&self) -> MutexGuard<'_, StreamTable> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, id: &str) -> Option<Arc<StreamRecord>> {
        self.streams().by_request.get(id).cloned()
    }

    /// Generates a stream in the background, whether or not anyone reads it.
    fn start(
        &self,
        request: String,
        payer: StreamPayer,
        job: EngineJob,
        is_stream: bool,
    ) -> Arc<StreamRecord> {
        let record = Arc::new(StreamRecord {
            job,
            payer,
            progress: watch::Sender::default(),
        });
        let mut streams = self.streams();
        streams.order.push_back(request.clone());
        streams.by_request.insert(request, record.clone());
        if streams.order.len() > STREAMS_KEPT
            && let Some(oldest) = streams.order.pop_front()
        {
            streams.by_request.remove(&oldest);
        }
        drop(streams);
        if is_stream {
            tokio::spawn(generate(record.clone()));
        } else {
            tokio::spawn(generate_whole(record.clone()));
        }
        record
    }
}

/// Generates a whole answer with one timer.
async fn generate_whole(record: Arc<StreamRecord>) {
    let tokens = record.job.output;
    let time = record.job.token_time * u32::try_from(tokens).unwrap_or(u32::MAX);
    tokio::time::sleep(time).await;
    record.progress.send_modify(|progress| {
        if progress.state == StreamState::Running {
            progress.generated = tokens;
            progress.state = StreamState::Ended;
        }
    });
}

async fn generate(record: Arc<StreamRecord>) {
    for _ in 0..record.job.output {
        tokio::time::sleep(record.job.token_time).await;
        let going = record.progress.send_if_modified(|progress| {
            let running = progress.state == StreamState::Running;
            progress.generated += u64::from(running);
            running
        });
        if !going {
            return;
        }
    }
    record.progress.send_modify(|progress| {
        if progress.state == StreamState::Running {
            progress.state = StreamState::Ended;
        }
    });
}

/// Events of a stream from an index on; event ids are the indexes of the tokens.
fn events(
    engine: Arc<EngineState>,
    record: Arc<StreamRecord>,
    first: u64,
    fault: &FaultWish,
) -> Response {
    let fault = fault.clone();
    let events = async_stream::stream! {
        let mut progress = record.progress.subscribe();
        let job = &record.job;
        let mut index = first;
        let copies = if fault.twice { 2 } else { 1 };
        for copy in 0..copies {
            if copy > 0 {
                index = first;
            }
            loop {
                let seen = *progress.borrow_and_update();
                while index < seen.generated {
                    if fault.cut_after == Some(index) {
                        if fault.forget {
                            engine.streams().by_request.retain(|_, other| !Arc::ptr_eq(other, &record));
                        }
                        return;
                    }
                    let delta = json!({"role": "assistant", "content": format!("{}{} ", "x".repeat(fault.pad), engine.word(index))});
                    let data = job.chunk(&delta, None).to_string();
                    for _ in 0..copies {
                        yield Ok::<_, Infallible>(Event::default().id(index.to_string()).data(data.clone()));
                    }
                    index += 1;
                }
                match seen.state {
                    StreamState::Running => if progress.changed().await.is_err() { return },
                    StreamState::Cancelled => return,
                    StreamState::Ended => break,
                }
            }
            yield Ok(Event::default().id(job.output.to_string()).data(job.chunk(&json!({}), Some("stop")).to_string()));
            if job.usage_wanted {
                let mut last = job.chunk(&json!({}), None);
                last["choices"] = json!([]);
                last["usage"] = job.usage(job.output);
                yield Ok(Event::default().data(last.to_string()));
            }
            yield Ok(Event::default().data("[DONE]"));
        }
    };
    Sse::new(events).into_response()
}

fn text_of(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("none").to_owned()
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
