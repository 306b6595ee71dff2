//! News about endpoints that routers exchange.

use {
    jasminewall_core::suspect::{ClearReport, CrashReport},
    serde::{Deserialize, Serialize},
};

/// News about endpoints for all routers, from one of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetNotice {
    /// Crashes, one report for each request that was open.
    pub crashes: Vec<CrashReport>,
    /// Suspects that completed since.
    pub cleared: Vec<ClearReport>,
}

impl FleetNotice {
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    /// Drops what another router has already reported.
    pub(crate) fn remove_reported(&mut self, other: &Self) {
        for report in &other.cleared {
            let same = self.cleared.iter_mut();
            for pending in same.filter(|pending| pending.suspect == report.suspect) {
                pending
                    .crashes
                    .retain(|crash| !report.crashes.contains(crash));
            }
        }
        self.cleared.retain(|pending| !pending.crashes.is_empty());
    }
}

/// Row with a notice in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct NoticeRecord {
    /// Store's clock in ms when the notice was written; 0 if it was unknown.
    pub(crate) written_ms: u64,
    pub(crate) notice: FleetNotice,
}
