//! Tickets: signed in advance, each allows one run at the router run that issued it, without the
//! platform.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use {
    axum::{
        Json,
        body::Body,
        extract::Request,
        http::{HeaderValue, StatusCode, header},
        response::{IntoResponse, Response},
    },
    http_body_util::{BodyExt, Limited},
    jasminewall_core::{
        ConfigRecord, RecordKind, Refusal, RefusalCode, RequestId,
        refusal::RunState,
        token::{self, CallerToken, RunTicket},
    },
    serde::Deserialize,
    serde_json::json,
    smol_str::SmolStr,
    tokio::time::timeout,
};

use super::{
    CallerApi,
    auth::CallerRequest,
    completions, execute,
    execute::{AnswerPrice, WholeAnswer},
    once::OnceCall,
};
use crate::dispatch::DispatchJob;

/// Header that carries a ticket.
pub(super) const HEADER: &str = "x-jasminewall-ticket";
/// Header of a request that another router passed on.
const FORWARDED: &str = "x-jasminewall-forwarded";
/// Validity of a ticket; used tickets are remembered for as long, so it bounds their number.
const VALIDITY: Duration = Duration::from_secs(3_600);
/// Used tickets that are remembered; more are refused before they run.
const USED_MAX: usize = 16_384;
/// Bytes of answers that are kept for repeated tickets.
const ANSWER_BYTES: usize = 8 << 20;
/// Time that the holder may take beyond the deadline of the request.
const FORWARD_GRACE: Duration = Duration::from_secs(2);
/// Size of an answer beyond the route's limit, for its headers.
const FORWARD_SLACK: usize = 64 << 10;

/// Tickets that were used at this router.
pub(super) struct TicketTable {
    started: Instant,
    used: Mutex<UsedTickets>,
}

#[derive(Default)]
struct UsedTickets {
    entries: HashMap<SmolStr, TicketEntry>,
    answer_bytes: usize,
}

struct TicketEntry {
    fingerprint: String,
    until: Instant,
    state: TicketState,
}

#[derive(Clone)]
enum TicketState {
    Running,
    Ran(WholeAnswer),
    /// Ran, but the answers that are kept have reached their limit.
    RanUnkept,
    Unknown,
}

impl Default for TicketTable {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            used: Mutex::default(),
        }
    }
}

impl TicketTable {
    fn lock(&self) -> MutexGuard<'_, UsedTickets> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a ticket as running; `Some` is the answer of its run when that has ended.
    fn begin(&self, ticket: &RunTicket, fingerprint: &str) -> Result<Option<WholeAnswer>, Refusal> {
        let now = Instant::now();
        let mut used = self.lock();
        if let Some(entry) = used.entries.get(&ticket.id) {
            if entry.fingerprint != fingerprint {
                return Err(Refusal::new(RefusalCode::KeyReused)
                    .note("The ticket was used with a different request; get a new ticket."));
            }
            return match &entry.state {
                TicketState::Running => Err(Refusal::new(RefusalCode::KeyInProgress)
                    .note("The request of this ticket is still running; ask again later.")),
                TicketState::Ran(answer) => Ok(Some(answer.clone())),
                TicketState::RanUnkept => Err(Refusal::new(RefusalCode::MayHaveRun)
                    .note("The request of this ticket ran; its answer is no longer kept.")),
                TicketState::Unknown => Err(Refusal::new(RefusalCode::MayHaveRun)
                    .note("The request of this ticket may have run; it will not be run again.")),
            };
        }
        let until = self.started + Duration::from_millis(ticket.until_ms);
        if until <= now {
            return Err(RefusalCode::TicketInvalid.into());
        }
        if used.entries.len() >= USED_MAX {
            used.purge(now);
        }
        if used.entries.len() >= USED_MAX {
            return Err(RefusalCode::Overloaded.into());
        }
        let entry = TicketEntry {
            fingerprint: fingerprint.to_owned(),
            until,
            state: TicketState::Running,
        };
        used.entries.insert(ticket.id.clone(), entry);
        Ok(None)
    }

    /// Notes how the run of a ticket ended; one that did not run may be used again.
    fn end(&self, ticket: &RunTicket, result: &Result<WholeAnswer, Refusal>) {
        let mut used = self.lock();
        let state = match result {
            Ok(answer) if answer.not_run => None,
            Ok(answer) if used.answer_bytes + answer.body.len() <= ANSWER_BYTES => {
                used.answer_bytes += answer.body.len();
                Some(TicketState::Ran(answer.clone()))
            }
            Ok(_) => Some(TicketState::RanUnkept),
            Err(refusal) if refusal.code.ran() == RunState::No => None,
            Err(_) => Some(TicketState::Unknown),
        };
        match state {
            Some(state) => {
                if let Some(entry) = used.entries.get_mut(&ticket.id) {
                    entry.state = state;
                }
            }
            None => {
                used.entries.remove(&ticket.id);
            }
        }
    }
}

impl UsedTickets {
    /// Forgets tickets that are no longer valid and therefore cannot run again.
    fn purge(&mut self, now: Instant) {
        let answer_bytes = &mut self.answer_bytes;
        self.entries.retain(|_, entry| {
            let keep = entry.until > now || matches!(entry.state, TicketState::Running);
            if let (false, TicketState::Ran(answer)) = (keep, &entry.state) {
                *answer_bytes -= answer.body.len();
            }
            keep
        });
    }
}

#[derive(Deserialize)]
struct TicketWish {
    route: SmolStr,
}

/// Issues a ticket for one run of a route at this router.
pub(super) async fn issue(
    api: Arc<CallerApi>,
    id: RequestId,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let config = api.state.fleet.config();
    let customer = api.auth.customer(&config, &parts.headers)?;
    let budget = api.auth.budget(&config, &customer, &parts.headers)?;
    completions::check_content_type(&parts.headers)?;
    let body = execute::read_body(&api, &parts.headers, body).await?;
    let wish: TicketWish = serde_json::from_slice(&body).map_err(|error| {
        Refusal::new(RefusalCode::InvalidRequest)
            .note(format!("Send {{\"route\": NAME}} as the body: {error}."))
    })?;
    let Some(ConfigRecord::Route(route)) = config.get(RecordKind::Route, &wish.route) else {
        return Err(RefusalCode::UnknownRoute.into());
    };
    let setting = &api.state.setting;
    let until = api.tickets.started.elapsed() + VALIDITY;
    let ticket = RunTicket {
        id: id.clone(),
        customer,
        budget,
        route: route.name.clone(),
        holder: api.state.holder.clone(),
        address: setting.advertise.unwrap_or(setting.listen),
        until_ms: u64::try_from(until.as_millis()).unwrap_or(u64::MAX),
    };
    tracing::info!(ticket = %id, customer = %ticket.customer, route = %ticket.route, "ticket issued");
    let answer = json!({
        "holder": ticket.holder.to_string(), "route": ticket.route, "budget": ticket.budget,
        "valid_seconds": VALIDITY.as_secs(),
        "ticket": token::sign(setting.secret.as_bytes(), &CallerToken::Ticket(ticket))
            .map_err(|_| RefusalCode::InternalError)?,
    });
    Ok((StatusCode::CREATED, Json(answer)).into_response())
}

/// Runs a ticketed request here, or passes it on to the router that the ticket names.
pub(super) async fn run(
    api: &Arc<CallerApi>,
    caller: &CallerRequest,
    job: &DispatchJob,
    call: &OnceCall,
    price: AnswerPrice,
) -> Result<Response, Refusal> {
    let text = call.headers.get(HEADER).and_then(|text| text.to_str().ok());
    let secret = api.state.setting.secret.as_bytes();
    let ticket = match token::verify(secret, text.unwrap_or_default()) {
        Ok(CallerToken::Ticket(ticket)) if is_for(&ticket, caller) => ticket,
        _ => return Err(RefusalCode::TicketInvalid.into()),
    };
    if ticket.holder != api.state.holder {
        let peers = api.state.fleet.peers();
        let mut peers = peers.iter().map(|peer| &peer.holder);
        let replaced = ticket.holder.vm == api.state.holder.vm
            || peers.any(|peer| peer.vm == ticket.holder.vm && *peer != ticket.holder);
        // A forwarded request reached the address of the holder, where another run now listens.
        if replaced || call.headers.contains_key(FORWARDED) {
            return Err(RefusalCode::TicketVoid.into());
        }
        return forward(api, caller, &ticket, call).await;
    }
    if let Some(answer) = api.tickets.begin(&ticket, &call.fingerprint)? {
        let mut response = answer.into_response(api, caller);
        let replayed = HeaderValue::from_static("true");
        response
            .headers_mut()
            .insert("x-jasminewall-replayed", replayed);
        return Ok(response);
    }
    let result = execute::run_whole(api, caller, job, price).await;
    api.tickets.end(&ticket, &result);
    Ok(result?.into_response(api, caller))
}

fn is_for(ticket: &RunTicket, caller: &CallerRequest) -> bool {
    ticket.customer == caller.customer
        && ticket.route == caller.route.name
        && ticket.budget == caller.budget
}

async fn forward(
    api: &CallerApi,
    caller: &CallerRequest,
    ticket: &RunTicket,
    call: &OnceCall,
) -> Result<Response, Refusal> {
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{path}", ticket.address))
        .body(Body::from(call.body.clone()))
        .map_err(|_| RefusalCode::InvalidRequest)?;
    let headers = request.headers_mut();
    *headers = execute::end_to_end(&call.headers);
    for name in [
        header::AUTHORIZATION.as_str(),
        HEADER,
        "x-jasminewall-budget",
        "x-jasminewall-class",
        "x-jasminewall-deadline-ms",
    ] {
        if let Some(value) = call.headers.get(name) {
            headers.insert(header::HeaderName::from_static(name), value.clone());
        }
    }
    headers.insert(FORWARDED, HeaderValue::from_static("1"));
    tracing::info!(request = %caller.id, ticket = %ticket.id, holder = %ticket.holder, "ticketed request passed on");
    let limit = caller.route.answer_limit_bytes + FORWARD_SLACK;
    let exchange = async {
        let response = api.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                RefusalCode::TicketHolderUnreachable
            } else {
                RefusalCode::OutcomeUnknown
            }
        })?;
        let (mut parts, body) = response.into_parts();
        let whole = Limited::new(body, limit).collect().await;
        let whole = whole.map_err(|_| RefusalCode::OutcomeUnknown)?;
        parts.headers.remove(header::TRANSFER_ENCODING);
        parts.headers.remove(header::CONNECTION);
        Ok(Response::from_parts(parts, Body::from(whole.to_bytes())))
    };
    let left = caller.deadline.saturating_duration_since(Instant::now()) + FORWARD_GRACE;
    match timeout(left, exchange).await {
        Ok(result) => result.map_err(|code: RefusalCode| code.into()),
        Err(_) => Err(RefusalCode::AnswerTimeout.into()),
    }
}
