//! Lifecycle of one request, as a state machine that determines its outcome.
//!
//! ```
//! use jasminewall_core::lifecycle::{RequestEvent, RequestLifecycle, RequestOutcome};
//!
//! let mut request = RequestLifecycle::new(true);
//! for event in [RequestEvent::Admit, RequestEvent::Hold, RequestEvent::Dispatch] {
//!     request.apply(event).expect("the event is allowed here");
//! }
//! request.apply(RequestEvent::Complete).expect("a dispatched request can complete");
//! assert_eq!(request.outcome(), Some(RequestOutcome::Ran));
//! ```

use statig::{
    Outcome,
    Outcome::{Handled, Transition},
    blocking::{self, InitializedStateMachine, IntoStateMachine, IntoStateMachineExt},
};

use crate::{Category, Error, RefusalCode, Result, refusal::RunState};

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Received from the caller and queued.
    Received,
    /// Taken from the queue.
    Admitted,
    /// Its worst-case charge is held on a grant.
    Held,
    /// The durable claim of a non-idempotent request is written.
    Claimed,
    /// Sent to at least one endpoint; no response yet.
    Dispatched,
    /// The headers of a response arrived.
    Streaming,
    /// Ended; the outcome is final.
    Settled(RequestOutcome),
}

/// Outcome of a request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole response arrived.
    Ran,
    /// Proven not to have run, without a refusal: the caller disconnected before the dispatch.
    NotRun,
    /// Refused, and proven not to have run.
    Refused,
    /// An attempt may have run, and the whole response did not arrive.
    MayHaveRun,
}

impl RequestOutcome {
    /// Run state to report in a refusal.
    pub fn run_state(self) -> RunState {
        match self {
            Self::Ran => RunState::Yes,
            Self::NotRun | Self::Refused => RunState::No,
            Self::MayHaveRun => RunState::Unknown,
        }
    }
}

/// How one attempt at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection failed before any byte of the request was sent.
    ConnectFailed,
    /// The endpoint itself reported that it did not run the request.
    ReportedNotRun,
    /// The connection was lost after bytes of the request were sent.
    ConnectionLost,
    /// The endpoint sent a response whose status does not exist.
    InvalidResponse,
    /// The endpoint made no progress before the progress deadline.
    TimedOut,
}

impl AttemptFailure {
    /// Whether the failure proves that the attempt did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::ReportedNotRun)
    }
}

/// Event in the lifecycle of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The queue released the request.
    Admit,
    /// Its worst-case charge is held.
    Hold,
    /// Its durable claim is written.
    Claim,
    /// An attempt is sent to an endpoint: the first one, a retry or a hedge.
    Dispatch,
    /// One open attempt failed.
    Fail(AttemptFailure),
    /// The headers or a part of a response arrived.
    Answer,
    /// The whole response arrived.
    Complete,
    /// The router refuses the request.
    Refuse(RefusalCode),
    /// The caller disconnected.
    Cancel,
}

/// Lifecycle of one request.
pub struct RequestLifecycle {
    machine: InitializedStateMachine<AttemptLog>,
}

/// Attempts of a request.
#[derive(Debug)]
struct AttemptLog {
    idempotent: bool,
    open_attempts: u32,
    unproven_failures: u32,
    attempts: u32,
    rejected: bool,
}

impl RequestLifecycle {
    /// Creates the lifecycle of a request, which may run more than once only if it is `idempotent`.
    pub fn new(idempotent: bool) -> Self {
        let log = AttemptLog {
            idempotent,
            open_attempts: 0,
            unproven_failures: 0,
            attempts: 0,
            rejected: false,
        };
        Self {
            machine: log.uninitialized_state_machine().init(),
        }
    }

    /// Applies an event; an event that the state does not allow has no effect.
    ///
    /// # Errors
    ///
    /// `State` for an event that the state does not allow, such as a second dispatch of a
    /// non-idempotent request whose first attempt may have run.
    pub fn apply(&mut self, event: RequestEvent) -> Result<RequestState> {
        self.machine.handle(&event);
        if self.machine.inner().rejected {
            return Err(Error::new(
                Category::State,
                format!(
                    "{event:?} is not allowed in state {:?}; report the outcome of the request instead",
                    self.state()
                ),
            ));
        }
        Ok(self.state())
    }

    /// Current state.
    pub fn state(&self) -> RequestState {
        *self.machine.state()
    }

    /// Outcome, once the request has ended.
    pub fn outcome(&self) -> Option<RequestOutcome> {
        match self.state() {
            RequestState::Settled(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Whether a dispatch is allowed now.
    pub fn can_dispatch(&self) -> bool {
        let log: &AttemptLog = self.machine.inner();
        match self.state() {
            RequestState::Held | RequestState::Dispatched => log.idempotent,
            RequestState::Claimed => true,
            _ => false,
        }
    }

    /// Number of dispatched attempts.
    pub fn attempts(&self) -> u32 {
        self.machine.inner().attempts
    }

    /// Whether no attempt can have run, so that a refusal may report "not run".
    pub fn has_not_run(&self) -> bool {
        let log: &AttemptLog = self.machine.inner();
        log.open_attempts == 0
            && log.unproven_failures == 0
            && self.outcome() != Some(RequestOutcome::Ran)
    }
}

impl IntoStateMachine for AttemptLog {
    type Event<'evt> = RequestEvent;
    type Context<'ctx> = ();
    type State = RequestState;
    type Superstate<'sub> = ();

    fn initial() -> Self::State {
        RequestState::Received
    }
}

impl blocking::State<AttemptLog> for RequestState {
    fn call_handler(
        &mut self,
        log: &mut AttemptLog,
        event: &RequestEvent,
        (): &mut (),
    ) -> Outcome<Self> {
        log.rejected = false;
        match (*self, *event) {
            (Self::Settled(_), _) => log.reject(),
            (state, RequestEvent::Cancel) => {
                Transition(Self::Settled(log.outcome_of(state, false)))
            }
            (state, RequestEvent::Refuse(_)) => {
                Transition(Self::Settled(log.outcome_of(state, true)))
            }
            (Self::Received, RequestEvent::Admit) => Transition(Self::Admitted),
            (Self::Admitted, RequestEvent::Hold) => Transition(Self::Held),
            (Self::Held, RequestEvent::Claim) if !log.idempotent => Transition(Self::Claimed),
            (Self::Held | Self::Dispatched, RequestEvent::Dispatch) if log.idempotent => {
                log.dispatch()
            }
            (Self::Claimed, RequestEvent::Dispatch) => log.dispatch(),
            (Self::Dispatched, RequestEvent::Fail(failure)) => log.fail(failure),
            (Self::Dispatched, RequestEvent::Answer) => Transition(Self::Streaming),
            (Self::Streaming, RequestEvent::Answer) => Handled,
            (Self::Dispatched | Self::Streaming, RequestEvent::Complete) => {
                Transition(Self::Settled(RequestOutcome::Ran))
            }
            // The caller has part of the response, which another run could not continue.
            (Self::Streaming, RequestEvent::Fail(_)) => {
                Transition(Self::Settled(RequestOutcome::MayHaveRun))
            }
            _ => log.reject(),
        }
    }
}

impl AttemptLog {
    fn reject(&mut self) -> Outcome<RequestState> {
        self.rejected = true;
        Handled
    }

    fn dispatch(&mut self) -> Outcome<RequestState> {
        self.open_attempts += 1;
        self.attempts += 1;
        Transition(RequestState::Dispatched)
    }

    fn fail(&mut self, failure: AttemptFailure) -> Outcome<RequestState> {
        self.open_attempts -= 1;
        if !failure.proves_not_run() {
            self.unproven_failures += 1;
        }
        if !self.idempotent {
            return Transition(if failure.proves_not_run() {
                RequestState::Claimed
            } else {
                RequestState::Settled(RequestOutcome::MayHaveRun)
            });
        }
        if self.open_attempts > 0 {
            return Handled;
        }
        Transition(RequestState::Held)
    }

    fn outcome_of(&self, state: RequestState, refused: bool) -> RequestOutcome {
        let may_have_run = self.open_attempts > 0
            || self.unproven_failures > 0
            || state == RequestState::Streaming;
        match (may_have_run, refused) {
            (true, _) => RequestOutcome::MayHaveRun,
            (false, true) => RequestOutcome::Refused,
            (false, false) => RequestOutcome::NotRun,
        }
    }
}
