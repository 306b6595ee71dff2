//! Chat completions, buffered and streamed.

use std::{sync::Arc, time::Instant};

use {
    axum::{
        body::Bytes,
        extract::Request,
        http::{HeaderMap, HeaderValue, Method, header},
        response::Response,
    },
    jasminewall_core::{
        Refusal, RefusalCode, RequestId, Tokens, record::EndpointKind, token::ResumeToken,
    },
    serde_json::{Map, Value, json},
};

use super::{
    CallerApi,
    auth::{self, RequestContext},
    execute::{self, ResponsePrice},
    once,
    relay::{self, ChargeTarget, StreamCharge, StreamRelay},
    resume, tickets,
};
use crate::dispatch::{DispatchJob, DispatchedJob};

/// Path of chat completions, both at the router and at engines.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Largest `n`, the number of completions that one request may ask for.
const MAX_CHOICES: u64 = 128;

/// Request body, with the fields that the router interprets.
struct CompletionRequest {
    payload: Map<String, Value>,
    model: String,
    stream: bool,
    include_usage: bool,
    choices: u64,
}

impl CompletionRequest {
    fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let payload: Value = serde_json::from_slice(body)
            .map_err(|error| invalid_request(&format!("The body is not valid JSON: {error}.")))?;
        let Value::Object(payload) = payload else {
            return Err(invalid_request("The body is not a JSON object."));
        };
        let model = payload.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| invalid_request("Name the 'model' as a string."))?;
        if !payload.get("messages").is_some_and(Value::is_array) {
            return Err(invalid_request("Send the 'messages' as a list."));
        }
        let stream = bool_field(&payload, "stream")?;
        let include_usage = match payload.get("stream_options") {
            None | Some(Value::Null) => false,
            Some(Value::Object(options)) => bool_field(options, "include_usage")?,
            Some(_) => return Err(invalid_request("Write 'stream_options' as a JSON object.")),
        };
        let choices = integer_field(&payload, "n")?.unwrap_or(1);
        if !(1..=MAX_CHOICES).contains(&choices) {
            return Err(invalid_request("Write 'n' from 1 to 128."));
        }
        Ok(Self {
            model: model.to_owned(),
            stream,
            include_usage,
            choices,
            payload,
        })
    }

    /// Caps the output tokens at `limit` and requests a usage report for streams. Returns the
    /// number of tokens that the engine may generate, which the hold must cover.
    fn apply_limits(&mut self, limit: Tokens) -> Result<Tokens, Refusal> {
        let mut max_output = None;
        for key in ["max_completion_tokens", "max_tokens"] {
            if let Some(requested) = integer_field(&self.payload, key)? {
                let requested = requested.min(limit);
                self.payload.insert(key.into(), json!(requested));
                max_output = max_output.max(Some(requested));
            }
        }
        if max_output.is_none() {
            self.payload.insert("max_tokens".into(), json!(limit));
        }
        if self.stream {
            let options = self.payload.entry("stream_options").or_insert(Value::Null);
            if options.is_null() {
                *options = json!({});
            }
            options["include_usage"] = json!(true);
        }
        Ok(max_output.unwrap_or(limit).saturating_mul(self.choices))
    }
}

fn invalid_request(note: &str) -> Refusal {
    Refusal::new(RefusalCode::InvalidRequest).note(note)
}

/// Reads an optional flag; a missing one is `false`.
fn bool_field(object: &Map<String, Value>, key: &str) -> Result<bool, Refusal> {
    match object.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid_request(&format!("Write '{key}' as true or false."))),
    }
}

/// Reads an optional whole number.
fn integer_field(object: &Map<String, Value>, key: &str) -> Result<Option<u64>, Refusal> {
    match object.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value
            .as_u64()
            .map(Some)
            .ok_or_else(|| invalid_request(&format!("Write '{key}' as a whole number."))),
    }
}

/// Handles one completion request.
pub(super) async fn run(
    api: Arc<CallerApi>,
    id: RequestId,
    received_at: Instant,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    api.auth
        .authenticate(&api.state.fleet.config(), &parts.headers)?;
    check_content_type(&parts.headers)?;
    let raw_body = execute::read_body(&api, &parts, body).await?;
    let mut completion = CompletionRequest::parse(&raw_body)?;
    let context = auth::authorize(
        &api,
        id,
        received_at,
        &parts,
        &completion.model,
        EndpointKind::ModelEngine,
    )?;
    if parts.headers.contains_key("x-jasminewall-resume") {
        return resume::run(&api, context, &parts.headers, completion.include_usage).await;
    }
    let max_output = completion.apply_limits(context.route.max_output)?;
    // A token is at least one byte of text, so the length of the body bounds the prompt tokens.
    let held_tokens = (raw_body.len() as Tokens).saturating_add(max_output);
    let engine_body = Bytes::from(Value::Object(completion.payload).to_string());
    let mut job = execute::build_job(
        &api,
        &context,
        held_tokens,
        (Method::POST, COMPLETIONS_PATH.to_owned()),
        json_headers(),
        (&raw_body, engine_body),
    );
    job.is_stream = completion.stream;
    let has_ticket = parts.headers.contains_key(tickets::TICKET_HEADER);
    if has_ticket || !context.route.idempotent {
        if completion.stream {
            return Err(invalid_request(
                "A request that runs at most once cannot be streamed; leave out 'stream'.",
            ));
        }
        let call = once::OnceCall::new(&context, &parts, raw_body);
        return once::run(&api, &context, job, call, ResponsePrice::Usage).await;
    }
    execute::hold(&api, &context, &job).await?;
    let dispatched = execute::send_held(&api, &context, &job).await?;
    if is_event_stream(&dispatched) {
        return Ok(relay_response(
            &api,
            context,
            &job,
            dispatched,
            completion.include_usage,
        ));
    }
    let response =
        execute::collect_response(&api, &context, &job, dispatched, ResponsePrice::Usage).await?;
    Ok(response.into_response(&api, &context))
}

fn relay_response(
    api: &Arc<CallerApi>,
    context: RequestContext,
    job: &DispatchJob,
    dispatched: DispatchedJob,
    include_usage: bool,
) -> Response {
    let address = resume::endpoint_address(api, &dispatched.endpoint).unwrap_or_default();
    let token = ResumeToken {
        request: context.id.clone(),
        customer: context.customer.clone(),
        budget: context.budget.clone(),
        endpoint: dispatched.endpoint,
        holder: api.state.holder.clone(),
        hold: job.held_tokens,
    };
    let token = resume::sign_token(api, token);
    let target = ChargeTarget::Own(job.held_tokens);
    let relay = StreamRelay {
        body: dispatched.response.into_body(),
        guard: Some(dispatched.guard),
        charge: StreamCharge::new(api.clone(), context, address, target),
        last_event_id: None,
        include_usage,
    };
    relay::into_response(relay, &token)
}

fn is_event_stream(dispatched: &DispatchedJob) -> bool {
    let content_type = dispatched.response.headers().get(header::CONTENT_TYPE);
    dispatched.response.status().is_success()
        && content_type
            .is_some_and(|content_type| content_type.as_bytes().starts_with(b"text/event-stream"))
}

fn json_headers() -> HeaderMap {
    let value = HeaderValue::from_static("application/json");
    HeaderMap::from_iter([(header::CONTENT_TYPE, value)])
}

/// Refuses a request whose content type is not JSON.
pub(super) fn check_content_type(headers: &HeaderMap) -> Result<(), Refusal> {
    let content_type = headers.get(header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|content_type| content_type.to_str().ok())
        .unwrap_or_default();
    let content_type = content_type.split(';').next().unwrap_or_default().trim();
    if content_type.eq_ignore_ascii_case("application/json") {
        Ok(())
    } else {
        Err(RefusalCode::UnsupportedMediaType.into())
    }
}
