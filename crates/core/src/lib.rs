//! Decisions of the jasminewall router fleet, free of I/O: time and randomness are passed in.
//!
//! ```
//! use jasminewall_core::{GrantLedger, HolderId};
//!
//! let holder = HolderId::new("vm-1", 7);
//! let mut ledger = GrantLedger::new(holder);
//! ledger.credit(&"glass".into(), 1_000);
//! ledger.hold(&"glass".into(), &"req-1".into(), 400).expect("the grant covers the hold");
//! let charge = ledger.settle(&"req-1".into(), 120).expect("the request has a hold");
//! assert_eq!(charge.tokens, 120);
//! assert_eq!(ledger.spendable(&"glass".into()), 880);
//! ```

pub mod admission;
pub mod body_account;
pub mod budget;
pub mod choice;
pub mod claim;
pub mod commit;
pub mod crash;
mod error;
mod id;
pub mod ledger;
pub mod lifecycle;
pub mod member;
pub mod order;
pub mod record;
pub mod refusal;
pub mod retry;
pub mod revision;
pub mod segment;
pub mod settle;
pub mod sizing;
pub mod stop;
pub mod suspect;
pub mod token;
pub mod trial;

pub use crate::{
    error::{Category, Error, Result},
    id::{
        BootId, BudgetId, CustomerId, DomainId, EndpointId, HolderId, RequestId, Revision, RouteId,
        ShardId, Tokens, VmId, shard_of,
    },
    ledger::GrantLedger,
    record::{ConfigRecord, RecordKind},
    refusal::{Refusal, RefusalCode},
    revision::{ConfigDelta, ConfigFollower, ConfigState},
};
