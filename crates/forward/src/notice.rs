//! News about endpoints that routers exchange.

use {
    jasminewall_core::suspect::{ClearReport, CrashReport},
    serde::{Deserialize, Serialize},
};

use crate::allowance::RateReport;

/// News about endpoints for all routers, from one of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetNotice {
    /// Crashes, one report for each request that was open.
    pub crashes: Vec<CrashReport>,
    /// Suspects that completed since.
    pub cleared: Vec<ClearReport>,
    /// Changed rate limits of endpoints.
    pub rates: Vec<RateReport>,
}

impl FleetNotice {
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.rates.is_empty()
    }

    /// Adds a rate limit, which replaces an earlier one of the endpoint.
    pub(crate) fn add_rate(&mut self, report: RateReport) {
        self.rates.retain(|rate| rate.endpoint != report.endpoint);
        self.rates.push(report);
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
        self.rates.retain(|pending| !other.rates.contains(pending));
    }
}

/// Row with a notice in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct NoticeRecord {
    /// Store's clock in ms when the notice was written; 0 if it was unknown.
    pub(crate) written_ms: u64,
    pub(crate) notice: FleetNotice,
}
