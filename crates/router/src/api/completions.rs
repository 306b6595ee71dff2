//! Chat completions, whole and streamed.

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
    auth::{self, CallerRequest},
    execute::{self, AnswerPrice},
    once,
    relay::{self, ChargeTarget, StreamCharge, StreamRelay},
    resume, tickets,
};
use crate::dispatch::{DispatchAnswer, DispatchJob};

/// Path of the interface, here and at engines.
const PATH: &str = "/v1/chat/completions";
/// Answers that a request may ask for at once.
const CHOICES_MAX: u64 = 128;

/// What the router reads of a request's body.
struct CompletionBody {
    payload: Map<String, Value>,
    model: String,
    stream: bool,
    usage_wanted: bool,
    choices: u64,
}

impl CompletionBody {
    fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let payload: Value = serde_json::from_slice(body)
            .map_err(|error| invalid(&format!("The body is not valid JSON: {error}.")))?;
        let Value::Object(payload) = payload else {
            return Err(invalid("The body is not a JSON object."));
        };
        let model = payload.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| invalid("Name the 'model' as a string."))?;
        if !payload.get("messages").is_some_and(Value::is_array) {
            return Err(invalid("Send the 'messages' as a list."));
        }
        let stream = flag(&payload, "stream")?;
        let usage_wanted = match payload.get("stream_options") {
            None | Some(Value::Null) => false,
            Some(Value::Object(options)) => flag(options, "include_usage")?,
            Some(_) => return Err(invalid("Write 'stream_options' as a JSON object.")),
        };
        let choices = number(&payload, "n")?.unwrap_or(1);
        if !(1..=CHOICES_MAX).contains(&choices) {
            return Err(invalid("Write 'n' from 1 to 128."));
        }
        Ok(Self {
            model: model.to_owned(),
            stream,
            usage_wanted,
            choices,
            payload,
        })
    }

    /// Sets the limits that the hold covers, and asks the engine for usage; returns the tokens
    /// that the engine may generate.
    fn bound(&mut self, limit: Tokens) -> Result<Tokens, Refusal> {
        let mut output = None;
        for key in ["max_completion_tokens", "max_tokens"] {
            if let Some(wanted) = number(&self.payload, key)? {
                let wanted = wanted.min(limit);
                self.payload.insert(key.into(), json!(wanted));
                output = output.max(Some(wanted));
            }
        }
        if output.is_none() {
            self.payload.insert("max_tokens".into(), json!(limit));
        }
        if self.stream {
            let options = self.payload.entry("stream_options").or_insert(Value::Null);
            if options.is_null() {
                *options = json!({});
            }
            options["include_usage"] = json!(true);
        }
        Ok(output.unwrap_or(limit).saturating_mul(self.choices))
    }
}

fn invalid(note: &str) -> Refusal {
    Refusal::new(RefusalCode::InvalidRequest).note(note)
}

fn flag(object: &Map<String, Value>, key: &str) -> Result<bool, Refusal> {
    match object.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid(&format!("Write '{key}' as true or false."))),
    }
}

fn number(object: &Map<String, Value>, key: &str) -> Result<Option<u64>, Refusal> {
    match object.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value
            .as_u64()
            .map(Some)
            .ok_or_else(|| invalid(&format!("Write '{key}' as a whole number."))),
    }
}

/// Answers one request.
pub(super) async fn run(
    api: Arc<CallerApi>,
    id: RequestId,
    received: Instant,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    api.auth
        .customer(&api.state.fleet.config(), &parts.headers)?;
    check_content_type(&parts.headers)?;
    let received_body = execute::read_body(&api, &parts.headers, body).await?;
    let mut body = CompletionBody::parse(&received_body)?;
    let caller = auth::authorize(
        &api,
        id,
        received,
        &parts.headers,
        &body.model,
        EndpointKind::ModelEngine,
    )?;
    if parts.headers.contains_key("x-jasminewall-resume") {
        return resume::run(&api, caller, &parts.headers, body.usage_wanted).await;
    }
    let output = body.bound(caller.route.max_output)?;
    // A token is at least one byte of text, so the body's length bounds the prompt.
    let work = (received_body.len() as Tokens).saturating_add(output);
    let sent = Bytes::from(Value::Object(body.payload).to_string());
    let mut job = execute::job_of(
        &api,
        &caller,
        work,
        (Method::POST, PATH.to_owned()),
        content_type(),
        (&received_body, sent),
    );
    job.is_stream = body.stream;
    let ticketed = parts.headers.contains_key(tickets::HEADER);
    if ticketed || !caller.route.idempotent {
        if body.stream {
            return Err(invalid(
                "A request that runs at most once cannot be streamed; leave out 'stream'.",
            ));
        }
        let call = once::OnceCall::new(&caller, &parts, received_body);
        return once::run(&api, &caller, job, call, AnswerPrice::Usage).await;
    }
    execute::hold(&api, &caller, &job).await?;
    let answer = execute::execute(&api, &caller, &job).await?;
    if is_event_stream(&answer) {
        return Ok(relay_answer(&api, caller, &job, answer, body.usage_wanted));
    }
    let whole = execute::collect(&api, &caller, &job, answer, AnswerPrice::Usage).await?;
    Ok(whole.into_response(&api, &caller))
}

fn relay_answer(
    api: &Arc<CallerApi>,
    caller: CallerRequest,
    job: &DispatchJob,
    answer: DispatchAnswer,
    usage_wanted: bool,
) -> Response {
    let address = resume::address_of(api, &answer.endpoint).unwrap_or_default();
    let token = ResumeToken {
        request: caller.id.clone(),
        customer: caller.customer.clone(),
        budget: caller.budget.clone(),
        endpoint: answer.endpoint,
        holder: api.state.holder.clone(),
        hold: job.work,
    };
    let token = resume::sign(api, token);
    let target = ChargeTarget::Own(job.work);
    let relay = StreamRelay {
        body: answer.response.into_body(),
        guard: Some(answer.guard),
        charge: StreamCharge::new(api.clone(), caller, address, target),
        last: None,
        usage_wanted,
    };
    relay::respond(relay, &token)
}

fn is_event_stream(answer: &DispatchAnswer) -> bool {
    let kind = answer.response.headers().get(header::CONTENT_TYPE);
    answer.response.status().is_success()
        && kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

fn content_type() -> HeaderMap {
    let value = HeaderValue::from_static("application/json");
    HeaderMap::from_iter([(header::CONTENT_TYPE, value)])
}

/// Refuses a body that is not declared as JSON.
pub(super) fn check_content_type(headers: &HeaderMap) -> Result<(), Refusal> {
    let kind = headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    let kind = kind.split(';').next().unwrap_or_default().trim();
    if kind.eq_ignore_ascii_case("application/json") {
        Ok(())
    } else {
        Err(RefusalCode::UnsupportedMediaType.into())
    }
}
