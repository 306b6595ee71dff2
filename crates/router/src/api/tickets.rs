//! Tickets, signed in advance. Each allows one run at the router process that issued it, even while
//! the platform is unavailable.

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
    auth::RequestContext,
    completions, execute,
    execute::{BufferedResponse, ResponsePrice},
    once::OnceCall,
};
use crate::dispatch::DispatchJob;

/// Header that carries a ticket.
pub(super) const TICKET_HEADER: &str = "x-jasminewall-ticket";
/// Header of a request that another router forwarded.
const FORWARDED_HEADER: &str = "x-jasminewall-forwarded";
/// Lifetime of a ticket. A used ticket is remembered until it expires, so the lifetime also limits
/// the memory for used tickets.
const TICKET_VALIDITY: Duration = Duration::from_secs(3_600);
/// Maximum number of used tickets that are remembered. Further requests are refused before they
/// run.
const MAX_USED_TICKETS: usize = 16_384;
/// Maximum total size of the response bodies that are cached for repeated tickets.
const MAX_CACHED_BYTES: usize = 8 << 20;
/// Time after the request's deadline that the issuing router may take to respond.
const FORWARD_GRACE: Duration = Duration::from_secs(2);
/// Allowance beyond the route's response limit for a response forwarded by the issuing router.
const FORWARD_OVERHEAD_BYTES: usize = 64 << 10;

/// Tickets of this router: the start of their clock, and those that were used.
pub(super) struct TicketTable {
    /// Start of this router, from which the expiry of its tickets counts.
    started: Instant,
    used: Mutex<UsedTickets>,
}

/// Used tickets, with the responses that are cached for repeated requests.
#[derive(Default)]
struct UsedTickets {
    entries: HashMap<SmolStr, TicketEntry>,
    cached_bytes: usize,
}

struct TicketEntry {
    fingerprint: String,
    valid_until: Instant,
    state: TicketState,
}

#[derive(Clone)]
enum TicketState {
    Running,
    Ran(BufferedResponse),
    /// Ran, but its response did not fit into the cache.
    RanUncached,
    /// May have run; the outcome is unknown.
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

    /// Marks an unused ticket as running and returns `None`. Returns the cached response if the ticket
    /// has run already.
    ///
    /// # Errors
    ///
    /// A refusal if the ticket has expired, was used with a different request, is running, has run
    /// without a cached response, or may have run, or if the table is full.
    fn start_run(
        &self,
        ticket: &RunTicket,
        fingerprint: &str,
    ) -> Result<Option<BufferedResponse>, Refusal> {
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
                TicketState::Ran(response) => Ok(Some(response.clone())),
                TicketState::RanUncached => Err(Refusal::new(RefusalCode::MayHaveRun)
                    .note("The request of this ticket ran; its answer is no longer kept.")),
                TicketState::Unknown => Err(Refusal::new(RefusalCode::MayHaveRun)
                    .note("The request of this ticket may have run; it will not be run again.")),
            };
        }
        let valid_until = self.started + Duration::from_millis(ticket.until_ms);
        if valid_until <= now {
            return Err(RefusalCode::TicketInvalid.into());
        }
        if used.entries.len() >= MAX_USED_TICKETS {
            used.purge(now);
        }
        if used.entries.len() >= MAX_USED_TICKETS {
            return Err(RefusalCode::Overloaded.into());
        }
        let entry = TicketEntry {
            fingerprint: fingerprint.to_owned(),
            valid_until,
            state: TicketState::Running,
        };
        used.entries.insert(ticket.id.clone(), entry);
        Ok(None)
    }

    /// Records how the run of a ticket ended. If the request did not run, the ticket may be used
    /// again.
    fn finish_run(&self, ticket: &RunTicket, result: &Result<BufferedResponse, Refusal>) {
        let mut used = self.lock();
        let state = match result {
            Ok(response) if response.not_run => None,
            Ok(response) if used.cached_bytes + response.body.len() <= MAX_CACHED_BYTES => {
                used.cached_bytes += response.body.len();
                Some(TicketState::Ran(response.clone()))
            }
            Ok(_) => Some(TicketState::RanUncached),
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
    /// Removes expired tickets, which cannot run again.
    fn purge(&mut self, now: Instant) {
        let cached_bytes = &mut self.cached_bytes;
        self.entries.retain(|_, entry| {
            let keep = entry.valid_until > now || matches!(entry.state, TicketState::Running);
            if let (false, TicketState::Ran(response)) = (keep, &entry.state) {
                *cached_bytes -= response.body.len();
            }
            keep
        });
    }
}

#[derive(Deserialize)]
struct TicketRequest {
    route: SmolStr,
}

/// Issues a ticket for one run of a route at this router.
pub(super) async fn issue(
    api: Arc<CallerApi>,
    ticket_id: RequestId,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let config = api.state.fleet.config();
    let customer = api.auth.authenticate(&config, &parts.headers)?;
    let budget = api.auth.select_budget(&config, &customer, &parts.headers)?;
    completions::check_content_type(&parts.headers)?;
    let body = execute::read_body(&api, &parts, body).await?;
    let ticket_request: TicketRequest = serde_json::from_slice(&body).map_err(|error| {
        Refusal::new(RefusalCode::InvalidRequest)
            .note(format!("Send {{\"route\": NAME}} as the body: {error}."))
    })?;
    let Some(ConfigRecord::Route(route)) = config.get(RecordKind::Route, &ticket_request.route)
    else {
        return Err(RefusalCode::UnknownRoute.into());
    };
    let setting = &api.state.setting;
    let valid_until = api.tickets.started.elapsed() + TICKET_VALIDITY;
    let ticket = RunTicket {
        id: ticket_id.clone(),
        customer,
        budget,
        route: route.name.clone(),
        holder: api.state.holder.clone(),
        address: setting.advertise.unwrap_or(setting.listen),
        until_ms: u64::try_from(valid_until.as_millis()).unwrap_or(u64::MAX),
    };
    tracing::info!(ticket = %ticket_id, customer = %ticket.customer, route = %ticket.route, "ticket issued");
    let response = json!({
        "holder": ticket.holder.to_string(), "route": ticket.route, "budget": ticket.budget,
        "valid_seconds": TICKET_VALIDITY.as_secs(),
        "ticket": token::sign(setting.secret.as_bytes(), &CallerToken::Ticket(ticket))
            .map_err(|_| RefusalCode::InternalError)?,
    });
    Ok((StatusCode::CREATED, Json(response)).into_response())
}

/// Runs a request with a ticket, or forwards it to the router that issued the ticket.
pub(super) async fn run(
    api: &Arc<CallerApi>,
    context: &RequestContext,
    job: &DispatchJob,
    call: &OnceCall,
    price: ResponsePrice,
) -> Result<Response, Refusal> {
    let text = call
        .headers
        .get(TICKET_HEADER)
        .and_then(|text| text.to_str().ok());
    let secret = api.state.setting.secret.as_bytes();
    let ticket = match token::verify(secret, text.unwrap_or_default()) {
        Ok(CallerToken::Ticket(ticket)) if matches_request(&ticket, context) => ticket,
        _ => return Err(RefusalCode::TicketInvalid.into()),
    };
    if ticket.holder != api.state.holder {
        let peers = api.state.fleet.peers();
        let mut holders = peers.iter().map(|peer| &peer.holder);
        let issuer_restarted = ticket.holder.vm == api.state.holder.vm
            || holders.any(|holder| holder.vm == ticket.holder.vm && *holder != ticket.holder);
        // If another router forwarded the request to this address, the issuing router listened here
        // before and has ended.
        if issuer_restarted || call.headers.contains_key(FORWARDED_HEADER) {
            return Err(RefusalCode::TicketVoid.into());
        }
        return forward_to_issuer(api, context, &ticket, call).await;
    }
    if let Some(response) = api.tickets.start_run(&ticket, &call.fingerprint)? {
        let mut response = response.into_response(api, context);
        let replayed = HeaderValue::from_static("true");
        response
            .headers_mut()
            .insert("x-jasminewall-replayed", replayed);
        return Ok(response);
    }
    let result = execute::run_buffered(api, context, job, price).await;
    api.tickets.finish_run(&ticket, &result);
    Ok(result?.into_response(api, context))
}

fn matches_request(ticket: &RunTicket, context: &RequestContext) -> bool {
    ticket.customer == context.customer
        && ticket.route == context.route.name
        && ticket.budget == context.budget
}

async fn forward_to_issuer(
    api: &CallerApi,
    context: &RequestContext,
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
    *headers = execute::end_to_end_headers(&call.headers);
    for name in [
        header::AUTHORIZATION.as_str(),
        TICKET_HEADER,
        "x-jasminewall-budget",
        "x-jasminewall-class",
        "x-jasminewall-deadline-ms",
    ] {
        if let Some(value) = call.headers.get(name) {
            headers.insert(header::HeaderName::from_static(name), value.clone());
        }
    }
    headers.insert(FORWARDED_HEADER, HeaderValue::from_static("1"));
    tracing::info!(request = %context.id, ticket = %ticket.id, holder = %ticket.holder, "request forwarded to the router that issued its ticket");
    let limit = context.route.answer_limit_bytes + FORWARD_OVERHEAD_BYTES;
    let exchange = async {
        let response = api.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                RefusalCode::TicketHolderUnreachable
            } else {
                RefusalCode::OutcomeUnknown
            }
        })?;
        let (mut parts, body) = response.into_parts();
        let collected = Limited::new(body, limit).collect().await;
        let collected = collected.map_err(|_| RefusalCode::OutcomeUnknown)?;
        parts.headers.remove(header::TRANSFER_ENCODING);
        parts.headers.remove(header::CONNECTION);
        Ok(Response::from_parts(
            parts,
            Body::from(collected.to_bytes()),
        ))
    };
    let time_left = context.deadline.saturating_duration_since(Instant::now()) + FORWARD_GRACE;
    match timeout(time_left, exchange).await {
        Ok(result) => result.map_err(|code: RefusalCode| code.into()),
        Err(_) => Err(RefusalCode::AnswerTimeout.into()),
    }
}
