//! Durable claims that make a non-idempotent request run at most once.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

use crate::{HolderId, RefusalCode, RequestId, Tokens};

/// Key of the claim row of a customer's idempotency key.
pub fn claim_key(customer: &str, key: &str) -> String {
    format!(
        "claim/{customer}/{}",
        hex::encode(Sha256::digest(key.as_bytes()))
    )
}

/// Row that names the only run of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Request that made the claim.
    pub request: RequestId,
    /// Router run that may dispatch the request.
    pub holder: HolderId,
    /// SHA-256 of method, path and body, in hex.
    pub fingerprint: String,
    /// What is known of the run.
    pub state: ClaimState,
}

/// What is known of a claimed run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// Claimed; it may be running.
    Open,
    /// Ran to its end with this answer.
    Ran {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer, in base64.
        body: String,
        /// Tokens charged.
        charged: Tokens,
    },
    /// Proven not to have run; the key may be claimed again.
    NotRun,
    /// The outcome is unknown and the request is never run again.
    Unknown,
}

/// What the router that reads a claim row knows of the holder in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStatus {
    /// This router, and the request is running or its outcome is not recorded yet.
    Running,
    /// This router, and it never dispatched the request.
    NotDispatched,
    /// Another router that answers probes.
    Alive,
    /// Another router that does not answer, or an earlier run of one that does.
    Unresponsive,
}

/// What a request with an idempotency key may do, given the row of that key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Claim the key anew, replacing the row.
    Claim,
    /// Send the recorded answer.
    Answer,
    /// Refuse.
    Refuse(RefusalCode),
}

impl ClaimRow {
    /// Decides what a request with a fingerprint may do.
    pub fn decide(&self, fingerprint: &str, holder: HolderStatus) -> ClaimDecision {
        if self.fingerprint != fingerprint {
            return ClaimDecision::Refuse(RefusalCode::KeyReused);
        }
        match (&self.state, holder) {
            (ClaimState::Ran { .. }, _) => ClaimDecision::Answer,
            (ClaimState::NotRun, _) | (ClaimState::Open, HolderStatus::NotDispatched) => {
                ClaimDecision::Claim
            }
            (ClaimState::Open, HolderStatus::Running | HolderStatus::Alive) => {
                ClaimDecision::Refuse(RefusalCode::KeyInProgress)
            }
            (ClaimState::Open, HolderStatus::Unresponsive) | (ClaimState::Unknown, _) => {
                ClaimDecision::Refuse(RefusalCode::MayHaveRun)
            }
        }
    }
}
