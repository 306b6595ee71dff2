//! Failure domains that the operator has evacuated: what the store says, and for how long it holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use {
    jasminewall_core::DomainId,
    jasminewall_ports::{era_of, stored_version},
    serde::{Deserialize, Serialize},
};

use crate::fleet::OUTDATED_WINDOW;

/// Operator's row of one failure domain that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Failure domain.
    pub domain: DomainId,
    /// Store version of the row; 0 if unknown.
    pub version: u64,
    /// Whether the row exists.
    pub is_evacuated: bool,
}

/// Evacuated failure domains as one router knows them, for another router. Its size is bounded by
/// the number of rows that the operator writes, one for each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Store version at which the set was known.
    pub version: u64,
    /// Evacuated failure domains, with the store versions of their rows.
    pub domains: BTreeMap<DomainId, u64>,
    /// Those of them that the store lost in a restore and that hold until it is read again.
    pub held: BTreeSet<DomainId>,
}

/// What changed for this router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationDiff {
    /// Failure domains that are evacuated now and were not before.
    pub begun: Vec<DomainId>,
    /// Failure domains whose evacuation was revoked.
    pub revoked: Vec<DomainId>,
}

/// Evacuated failure domains. Within one run the set never goes back to an older store version.
///
/// After a restore of the store, the domains known before hold until the operator's row is seen
/// again, or is missing from a full read later than [`OUTDATED_WINDOW`].
#[derive(Debug, Default)]
pub struct EvacuationTable {
    /// Store version up to which changes are known; 0 before the first read.
    version: u64,
    /// Evacuated domains, with the store versions of their rows.
    domains: BTreeMap<DomainId, u64>,
    /// Domains that are missing from the restored store.
    held: BTreeSet<DomainId>,
    /// Domains that were revoked in this run, with the version of the row that was removed. A copy
    /// of the store may bring that row back.
    revoked: BTreeMap<DomainId, u64>,
    /// Domains whose row was written or removed in the current era.
    settled: BTreeSet<DomainId>,
    /// Until when the store may return a state from before its restore.
    outdated_until: Option<Instant>,
    current: Arc<BTreeSet<DomainId>>,
}

impl EvacuationTable {
    /// Evacuated failure domains.
    pub fn current(&self) -> Arc<BTreeSet<DomainId>> {
        self.current.clone()
    }

    /// State for other routers; `None` before the first read.
    pub fn report(&self) -> Option<EvacuationReport> {
        (self.version > 0).then(|| EvacuationReport {
            version: self.version,
            domains: self.domains.clone(),
            held: self.held.clone(),
        })
    }

    /// Whether the whole table must be read again, since the store was restored.
    pub fn needs_read(&self, now: Instant) -> bool {
        self.outdated_until.is_some_and(|until| until <= now)
    }

    /// Replaces the set by the rows of a full read at `version`.
    pub fn replace(
        &mut self,
        version: u64,
        rows: BTreeMap<DomainId, u64>,
        now: Instant,
    ) -> EvacuationDiff {
        let is_late = self.needs_read(now);
        self.install(version, rows, is_late, now)
    }

    /// Installs a state; `is_late` if it was read long enough after a restore of the store.
    fn install(
        &mut self,
        version: u64,
        rows: BTreeMap<DomainId, u64>,
        is_late: bool,
        now: Instant,
    ) -> EvacuationDiff {
        if version < self.version {
            tracing::info!(
                version,
                known = self.version,
                "ignored an older state of the evacuations"
            );
            return EvacuationDiff::default();
        }
        let is_first = self.version == 0;
        let is_new_era = era_of(version) > era_of(self.version.max(1));
        if is_new_era {
            self.outdated_until = Some(now + OUTDATED_WINDOW);
            self.settled.clear();
        }
        self.version = version;
        let is_outdated = self.outdated_until.is_some() && (is_new_era || !is_late);
        if !is_outdated || is_first {
            if !is_outdated {
                self.outdated_until = None;
                self.revoked.clear();
            }
            self.held.clear();
            let before = std::mem::replace(&mut self.domains, rows);
            for (domain, removed) in before {
                if !self.domains.contains_key(&domain) {
                    self.revoked.insert(domain, removed);
                }
            }
            return self.refresh();
        }
        let era = era_of(version);
        let missing: Vec<(DomainId, u64)> = self
            .domains
            .iter()
            .filter(|(domain, _)| !rows.contains_key(*domain))
            .map(|(domain, row_version)| (domain.clone(), *row_version))
            .collect();
        for (domain, row_version) in missing {
            if era_of(row_version) == era {
                // The restored store had the row, so it was removed since.
                self.domains.remove(&domain);
            } else if self.held.insert(domain.clone()) {
                tracing::warn!(%domain, "the restored store lost an evacuation; it holds until the store is read again");
            }
        }
        for (domain, row_version) in rows {
            let is_copied = self
                .revoked
                .get(&domain)
                .is_some_and(|revoked| stored_version(*revoked) == stored_version(row_version));
            if is_copied && !self.settled.contains(&domain) {
                tracing::warn!(%domain, "the restored store brought back a revoked evacuation; ignored until the store is read again");
                continue;
            }
            self.held.remove(&domain);
            self.domains.insert(domain, row_version);
        }
        self.refresh()
    }

    /// Applies the changes of a watch that is complete up to `version`.
    pub fn apply(&mut self, version: u64, changes: Vec<EvacuationChange>) -> EvacuationDiff {
        if self.version == 0 || era_of(version) != era_of(self.version) {
            return EvacuationDiff::default();
        }
        for change in changes {
            let row_version = if change.version == 0 {
                version
            } else {
                change.version
            };
            if row_version <= self.version {
                continue;
            }
            self.held.remove(&change.domain);
            self.settled.insert(change.domain.clone());
            if change.is_evacuated {
                self.domains.insert(change.domain, row_version);
            } else if let Some(removed) = self.domains.remove(&change.domain) {
                self.revoked.insert(change.domain, removed);
            }
        }
        self.version = self.version.max(version);
        self.refresh()
    }

    /// Merges the state of another router.
    pub fn merge(&mut self, report: EvacuationReport, now: Instant) -> EvacuationDiff {
        let mut diff = EvacuationDiff::default();
        let EvacuationReport {
            version,
            domains,
            held,
        } = report;
        if version > self.version {
            let rows = domains.iter().filter(|(domain, _)| !held.contains(*domain));
            let rows = rows.map(|(domain, row)| (domain.clone(), *row)).collect();
            // Another router may have read its state too early to drop what is held here.
            diff = self.install(version, rows, false, now);
        }
        if self.outdated_until.is_none() || era_of(version) != era_of(self.version) {
            return diff;
        }
        for domain in held {
            if !self.settled.contains(&domain) && !self.domains.contains_key(&domain) {
                let row_version = domains.get(&domain).copied().unwrap_or_default();
                self.domains.insert(domain.clone(), row_version);
                self.held.insert(domain);
            }
        }
        let adopted = self.refresh();
        diff.begun.extend(adopted.begun);
        diff
    }

    fn refresh(&mut self) -> EvacuationDiff {
        let after: BTreeSet<DomainId> = self.domains.keys().cloned().collect();
        if after == *self.current {
            return EvacuationDiff::default();
        }
        let diff = EvacuationDiff {
            begun: after.difference(&self.current).cloned().collect(),
            revoked: self.current.difference(&after).cloned().collect(),
        };
        self.current = Arc::new(after);
        diff
    }
}
