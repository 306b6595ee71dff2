//! Connections and bodies of callers within the memory of the machine.
//!
//! One [`CallerMemory`] for each process holds the account of all bodies and the slots of all
//! connections. Both caller interfaces use it.

mod body;
mod connection;
mod listener;
mod memory;

pub use crate::{
    body::BodyError,
    connection::{CallerSlot, CallerStream, GuardedBody, SlotEnd},
    listener::listen,
    memory::{CallerEvent, CallerMemory, METRIC_NAMES},
};
