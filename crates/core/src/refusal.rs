//! Refusals returned to callers: a stable code, a sentence and whether the request ran.

use std::time::Duration;

use {serde::Serialize, smol_str::SmolStr};

use crate::Tokens;

/// Whether a refused request ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Proven not to have run.
    No,
    /// Ran.
    Yes,
    /// May have run; the fleet will not run it again.
    Unknown,
}

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $status:literal, $ran:ident, $detail:literal;)*) => {
        /// Stable code of a refusal.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum RefusalCode { $($(#[$doc])* $name,)* }

        impl RefusalCode {
            /// All codes, in the order of the documentation table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Stable code in problem details.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// HTTP status.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Whether a request refused with this code ran.
            pub fn ran(self) -> RunState {
                match self { $(Self::$name => RunState::$ran,)* }
            }

            /// Sentence that explains the refusal.
            pub fn detail(self) -> &'static str {
                match self { $(Self::$name => $detail,)* }
            }
        }
    };
}

refusal_codes! {
    /// No key, or a key that no customer has.
    Unauthenticated = "unauthenticated", 401, No, "The request carries no valid key; send 'Authorization: Bearer KEY'.";
    /// The budget belongs to another customer or does not exist.
    BudgetForbidden = "budget_forbidden", 403, No, "The customer has no budget of that name.";
    /// No budget is named and the customer has none or several.
    BudgetRequired = "budget_required", 400, No, "Name the budget in the header 'x-jasminewall-budget'.";
    /// All tokens of the budget are known to be spent or held by running requests.
    BudgetSpent = "budget_spent", 402, No, "The budget is spent; top it up.";
    /// Other holders or the pool may have tokens, but cannot be reached.
    TokensOutOfReach = "tokens_out_of_reach", 503, No, "What this failure domain holds of the budget is spent, and the rest cannot be reached now; try again later.";
    /// Uncommitted charges reached the memory limit.
    ChargeBacklogFull = "charge_backlog_full", 503, No, "The platform has been out of reach for so long that no more charges can be kept; try again later.";
    /// The body is not what the interface expects.
    InvalidRequest = "invalid_request", 400, No, "The request is malformed.";
    /// The body is larger than the limit.
    BodyTooLarge = "body_too_large", 413, No, "The request body is larger than the limit.";
    /// The content type is not supported.
    UnsupportedMediaType = "unsupported_media_type", 415, No, "Send the body as 'application/json'.";
    /// The body did not arrive in time.
    RequestTimeout = "request_timeout", 408, No, "The request body did not arrive in time.";
    /// There is no memory for the body.
    BodyMemoryFull = "body_memory_full", 503, No, "The router holds too many large bodies at the moment; try again later.";
    /// The headers are more or larger than the limit.
    HeadersTooLarge = "headers_too_large", 431, No, "The request has more or larger headers than the limit.";
    /// The path is not served.
    UnknownPath = "unknown_path", 404, No, "The path or method is not served here.";
    /// No route serves the model or service.
    UnknownRoute = "unknown_route", 404, No, "No route serves that model or service; see '/v1/models'.";
    /// No endpoint of the route takes new work.
    NoEndpoint = "no_endpoint", 503, No, "No endpoint of the route takes work now; try again later.";
    /// Queues are full.
    Overloaded = "overloaded", 429, No, "The fleet is at its capacity; try again later.";
    /// The work cannot end before the deadline of the request.
    DeadlineTooShort = "deadline_too_short", 503, No, "The work is not expected to finish before its deadline at the present load, so it was not run.";
    /// The router is stopping.
    Draining = "draining", 503, No, "This router is stopping; try again at once, another one will answer.";
    /// The router has no configuration in force.
    NotReady = "not_ready", 503, No, "This router has no configuration yet; try again later.";
    /// No endpoint could be connected.
    EndpointUnreachable = "endpoint_unreachable", 502, No, "No connection to an endpoint could be made, so the request did not run.";
    /// The endpoint answered with an error of its own.
    EndpointFailed = "endpoint_failed", 502, Unknown, "The endpoint failed while it had the request; it may have run.";
    /// The response did not arrive.
    OutcomeUnknown = "outcome_unknown", 502, Unknown, "The connection to the endpoint was lost after the request was sent; it may have run and will not be run again.";
    /// The response did not end within the time limit of the route.
    AnswerTimeout = "answer_timeout", 504, Unknown, "The answer did not end within the time limit of the route or of the request; it may have run and will not be run again.";
    /// The response is larger than the limit of the route.
    AnswerTooLarge = "answer_too_large", 502, Yes, "The request ran, but its answer is larger than the limit of the route.";
    /// The endpoint sent a response that is incomplete or belongs to another request.
    AnswerInvalid = "answer_invalid", 502, Unknown, "The endpoint sent an answer that is broken or belongs to another request, so it was withheld; the request may have run.";
    /// The router failed while it had the request.
    InternalError = "internal_error", 500, Unknown, "The router failed while it had the request; it may have run.";
    /// The request crashed endpoints before.
    CrashesEndpoints = "crashes_endpoints", 422, Yes, "The request ran twice, the endpoint failed both times; it will not be run again.";
    /// A non-idempotent request needs a key.
    KeyRequired = "idempotency_key_required", 400, No, "The route is not idempotent; send an 'Idempotency-Key' header.";
    /// The key was used with another request.
    KeyReused = "idempotency_key_reused", 422, No, "The idempotency key was used with a different request; use a new key.";
    /// The first request with the key is still running.
    KeyInProgress = "request_in_progress", 409, Unknown, "The first request with this idempotency key is still running; ask again later.";
    /// The first request with the key has an unknown outcome.
    MayHaveRun = "may_have_run", 409, Unknown, "The first request with this idempotency key may have run; it will not be run again.";
    /// Claims cannot be written.
    ClaimsUnavailable = "claims_unavailable", 503, No, "The platform cannot record the request now, so it was not run; try again, or use a ticket.";
    /// The router run that issued the ticket has ended.
    TicketVoid = "ticket_void", 410, Unknown, "The router that the ticket names is gone; the ticket can never run again.";
    /// The ticket is malformed, expired or of another customer or route.
    TicketInvalid = "ticket_invalid", 400, No, "The ticket is not valid for this customer and route; send it exactly as received, within an hour.";
    /// The router that the ticket names cannot be reached.
    TicketHolderUnreachable = "ticket_holder_unreachable", 503, Unknown, "The router that the ticket names cannot be reached now; this attempt did not run, an earlier one with the ticket may have.";
    /// The resume token is not valid.
    ResumeInvalid = "resume_invalid", 400, No, "The resume token is not valid for this customer; send it exactly as received.";
    /// The stream cannot be resumed.
    ResumeUnavailable = "resume_unavailable", 503, Unknown, "The endpoint that runs the stream cannot be reached now; try again later.";
}

/// Refusal of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// Additional sentence about this case.
    pub note: Option<SmolStr>,
    /// Tokens charged despite the refusal.
    pub charged: Tokens,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the standard sentence of its code.
    pub fn new(code: RefusalCode) -> Self {
        Self {
            code,
            note: None,
            charged: 0,
            retry_after: None,
        }
    }

    /// Adds a sentence about this case.
    #[must_use]
    pub fn note(mut self, note: impl Into<SmolStr>) -> Self {
        self.note = Some(note.into());
        self
    }

    /// Sets the tokens charged despite the refusal.
    #[must_use]
    pub fn charged(mut self, tokens: Tokens) -> Self {
        self.charged = tokens;
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl From<RefusalCode> for Refusal {
    fn from(code: RefusalCode) -> Self {
        Self::new(code)
    }
}
