//! Durable claims that let a non-idempotent request run at most once.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

use crate::{HolderId, RefusalCode, RequestId, Tokens};

/// Key of the claim row for a customer's idempotency key.
pub fn claim_key(customer: &str, key: &str) -> String {
    format!(
        "claim/{customer}/{}",
        hex::encode(Sha256::digest(key.as_bytes()))
    )
}

/// Row that records the only run of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Request that made the claim.
    pub request: RequestId,
    /// Router run that may dispatch the request.
    pub holder: HolderId,
    /// SHA-256 of method, path and body, in hex.
    pub fingerprint: String,
    /// State of the claimed run.
    pub state: ClaimState,
}

/// State of a claimed run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// Claimed; the request may be running.
    Open,
    /// Completed with this response.
    Ran {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the response.
        content_type: String,
        /// Body of the response, in base64.
        body: String,
        /// Tokens charged.
        charged: Tokens,
    },
    /// Proven not to have run; the key may be claimed again.
    NotRun,
    /// The outcome is unknown, so the request is never run again.
    Unknown,
}

/// State of the holder in a claim row, as seen by the router that reads the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStatus {
    /// This router; the request is running or its outcome is not recorded yet.
    Running,
    /// This router, which never dispatched the request.
    NotDispatched,
    /// Another router that answers probes.
    Alive,
    /// Another router that does not answer, or an earlier run of any router.
    Unresponsive,
}

/// How to handle a request whose idempotency key has a claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Claim the key again, replacing the row.
    Claim,
    /// Return the recorded response.
    Replay,
    /// Refuse the request.
    Refuse(RefusalCode),
}

impl ClaimRow {
    /// Decides how to handle a request with the given fingerprint.
    pub fn decide(&self, fingerprint: &str, holder: HolderStatus) -> ClaimDecision {
        if self.fingerprint != fingerprint {
            return ClaimDecision::Refuse(RefusalCode::KeyReused);
        }
        match (&self.state, holder) {
            (ClaimState::Ran { .. }, _) => ClaimDecision::Replay,
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
