//! Life of one request, as a state machine that decides what may be said of its outcome.
//!
//! ```
//! use jasminewall_core::life::{LifeEnd, LifeEvent, RequestLife};
//!
//! let mut life = RequestLife::new(true);
//! for event in [LifeEvent::Admit, LifeEvent::Hold, LifeEvent::Dispatch] {
//!     life.apply(event).expect("the event is allowed here");
//! }
//! life.apply(LifeEvent::Complete).expect("a dispatched request can complete");
//! assert_eq!(life.end(), Some(LifeEnd::Ran));
//! ```

use statig::{
    Outcome,
    Outcome::{Handled, Transition},
    blocking::{self, InitializedStateMachine, IntoStateMachine, IntoStateMachineExt},
};

use crate::{Category, Error, RefusalCode, Result, refusal::RunState};

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeState {
    /// Received from the caller and queued.
    Received,
    /// Taken from the queue.
    Admitted,
    /// Its worst case is held on a grant.
    Held,
    /// The durable claim of a non-idempotent request is written.
    Claimed,
    /// Sent to at least one endpoint; no answer yet.
    Dispatched,
    /// The head of an answer arrived.
    Streaming,
    /// Ended; nothing changes the outcome any more.
    Settled(LifeEnd),
}

/// What can be said of a request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEnd {
    /// The whole answer arrived.
    Ran,
    /// Proven not to have run, without a refusal: the caller left before the dispatch.
    NotRun,
    /// Refused, and proven not to have run.
    Refused,
    /// Some attempt may have run, and the whole answer did not arrive.
    MayHaveRun,
}

impl LifeEnd {
    /// What a refusal may say with this end.
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
    /// The connection failed before a byte of the request could be sent.
    Unconnected,
    /// The endpoint itself reported that it did not run the request.
    ReportedNotRun,
    /// The connection broke after bytes were sent.
    Broken,
    /// The progress deadline passed without a sign of the endpoint.
    Silent,
}

impl AttemptFailure {
    /// Whether the attempt is proven not to have run.
    pub fn is_proof(self) -> bool {
        matches!(self, Self::Unconnected | Self::ReportedNotRun)
    }
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEvent {
    /// The queue released the request.
    Admit,
    /// Its worst case is held.
    Hold,
    /// Its claim is written.
    Claim,
    /// It is handed to an endpoint's connection: a first attempt, a retry or a hedge.
    Dispatch,
    /// One open attempt failed.
    Fail(AttemptFailure),
    /// The head of an answer, or more of it, arrived.
    Answer,
    /// The whole answer arrived.
    Complete,
    /// The router gives the request up.
    Refuse(RefusalCode),
    /// The caller left.
    Cancel,
}

/// Life of one request.
pub struct RequestLife {
    machine: InitializedStateMachine<LifeLedger>,
}

/// What the state machine remembers of the attempts.
#[derive(Debug)]
struct LifeLedger {
    idempotent: bool,
    open: u32,
    unproven: u32,
    attempts: u32,
    rejected: bool,
}

impl RequestLife {
    /// Starts the life of a request that may (`idempotent`) or may not run twice.
    pub fn new(idempotent: bool) -> Self {
        let ledger = LifeLedger {
            idempotent,
            open: 0,
            unproven: 0,
            attempts: 0,
            rejected: false,
        };
        Self {
            machine: ledger.uninitialized_state_machine().init(),
        }
    }

    /// Applies an event; an event that the state does not allow changes nothing.
    ///
    /// # Errors
    ///
    /// `State` for an event that the state does not allow, such as a second dispatch of a
    /// non-idempotent request whose first attempt may have run.
    pub fn apply(&mut self, event: LifeEvent) -> Result<LifeState> {
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

    /// Present state.
    pub fn state(&self) -> LifeState {
        *self.machine.state()
    }

    /// Outcome, once there is one.
    pub fn end(&self) -> Option<LifeEnd> {
        match self.state() {
            LifeState::Settled(end) => Some(end),
            _ => None,
        }
    }

    /// Whether a dispatch is allowed now.
    pub fn may_dispatch(&self) -> bool {
        let ledger: &LifeLedger = self.machine.inner();
        match self.state() {
            LifeState::Held | LifeState::Dispatched => ledger.idempotent,
            LifeState::Claimed => true,
            _ => false,
        }
    }

    /// Number of attempts that were dispatched.
    pub fn attempts(&self) -> u32 {
        self.machine.inner().attempts
    }

    /// Whether no attempt can have run, so that a refusal may say "not run".
    pub fn is_unrun(&self) -> bool {
        let ledger: &LifeLedger = self.machine.inner();
        ledger.open == 0 && ledger.unproven == 0 && self.end() != Some(LifeEnd::Ran)
    }
}

impl IntoStateMachine for LifeLedger {
    type Event<'evt> = LifeEvent;
    type Context<'ctx> = ();
    type State = LifeState;
    type Superstate<'sub> = ();

    fn initial() -> Self::State {
        LifeState::Received
    }
}

impl blocking::State<LifeLedger> for LifeState {
    fn call_handler(
        &mut self,
        ledger: &mut LifeLedger,
        event: &LifeEvent,
        (): &mut (),
    ) -> Outcome<Self> {
        ledger.rejected = false;
        match (*self, *event) {
            (Self::Settled(_), _) => ledger.reject(),
            (state, LifeEvent::Cancel) => Transition(Self::Settled(ledger.end_of(state, false))),
            (state, LifeEvent::Refuse(_)) => Transition(Self::Settled(ledger.end_of(state, true))),
            (Self::Received, LifeEvent::Admit) => Transition(Self::Admitted),
            (Self::Admitted, LifeEvent::Hold) => Transition(Self::Held),
            (Self::Held, LifeEvent::Claim) if !ledger.idempotent => Transition(Self::Claimed),
            (Self::Held | Self::Dispatched, LifeEvent::Dispatch) if ledger.idempotent => {
                ledger.dispatch()
            }
            (Self::Claimed, LifeEvent::Dispatch) => ledger.dispatch(),
            (Self::Dispatched, LifeEvent::Fail(failure)) => ledger.fail(failure),
            (Self::Dispatched, LifeEvent::Answer) => Transition(Self::Streaming),
            (Self::Streaming, LifeEvent::Answer) => Handled,
            (Self::Dispatched | Self::Streaming, LifeEvent::Complete) => {
                Transition(Self::Settled(LifeEnd::Ran))
            }
            // Part of the answer is with the caller, so another run could not continue it.
            (Self::Streaming, LifeEvent::Fail(_)) => Transition(Self::Settled(LifeEnd::MayHaveRun)),
            _ => ledger.reject(),
        }
    }
}

impl LifeLedger {
    fn reject(&mut self) -> Outcome<LifeState> {
        self.rejected = true;
        Handled
    }

    fn dispatch(&mut self) -> Outcome<LifeState> {
        self.open += 1;
        self.attempts += 1;
        Transition(LifeState::Dispatched)
    }

    fn fail(&mut self, failure: AttemptFailure) -> Outcome<LifeState> {
        self.open -= 1;
        if !failure.is_proof() {
            self.unproven += 1;
        }
        if !self.idempotent {
            return Transition(if failure.is_proof() {
                LifeState::Claimed
            } else {
                LifeState::Settled(LifeEnd::MayHaveRun)
            });
        }
        if self.open > 0 {
            return Handled;
        }
        Transition(LifeState::Held)
    }

    fn end_of(&self, state: LifeState, refused: bool) -> LifeEnd {
        let may_have_run = self.open > 0 || self.unproven > 0 || state == LifeState::Streaming;
        match (may_have_run, refused) {
            (true, _) => LifeEnd::MayHaveRun,
            (false, true) => LifeEnd::Refused,
            (false, false) => LifeEnd::NotRun,
        }
    }
}
