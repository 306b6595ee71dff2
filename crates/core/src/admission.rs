//! Admission of requests by class of work.

use serde::{Deserialize, Serialize};

/// Class of work, by how long a caller can wait and how long the work runs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// A person waits at a counter or a phone.
    Short,
    /// Ordinary work.
    #[default]
    Normal,
    /// Dossiers that can wait.
    Long,
}
