//! Detection of requests that crash the endpoints that run them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::Xxh3;

use crate::HolderId;

/// Crashes after which a request is refused.
pub const CRASH_LIMIT: u32 = 2;
/// Time for which a crash counts: longer than callers retry, which is minutes, but short enough that
/// requests are not refused for days after an engine update fixed the fault.
const CRASH_TTL: Duration = Duration::from_secs(3_600);
/// Maximum number of fingerprints kept; the oldest are evicted first.
const FINGERPRINT_LIMIT: usize = 10_000;

/// Hashes the parts of a request that determine what an endpoint runs, such as customer, route and
/// body; never returns 0.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(part);
        hash.update(&[0xff]);
    }
    hash.digest().max(1)
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// Runs normally.
    Allow,
    /// Runs once more, alone on its endpoint.
    Isolate,
    /// Does not run again; it crashed two endpoints.
    Refuse,
}

/// Crash counts of request fingerprints, as known to one router.
///
/// Every router counts the crashes that it observes under its own id, and peers exchange these
/// counts (a grow-only counter): the sum over routers is the number of crashes in the fleet,
/// regardless of the number and order of exchanges.
#[derive(Debug)]
pub struct CrashTable {
    holder: HolderId,
    entries: HashMap<u64, CrashEntry>,
}

#[derive(Clone, Debug)]
struct CrashEntry {
    crashes: BTreeMap<HolderId, u32>,
    cleared_crashes: u32,
    expires: Instant,
}

/// Crashes that one router observed for one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Router run that observed the crashes.
    pub reporter: HolderId,
    /// Fingerprint of the request; see [`fingerprint`].
    pub fingerprint: u64,
    /// Number of crashes that the reporter observed.
    pub crashes: u32,
    /// Whether a later run succeeded.
    pub cleared: bool,
}

impl CrashEntry {
    fn total(&self) -> u32 {
        self.crashes.values().sum()
    }

    fn uncleared(&self) -> u32 {
        self.total().saturating_sub(self.cleared_crashes)
    }
}

impl CrashTable {
    /// Creates the empty table of a router run.
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder,
            entries: HashMap::new(),
        }
    }

    /// Counts an endpoint's crash for each request that was open on it.
    pub fn record_crash(&mut self, fingerprints: &[u64], now: Instant) {
        for fingerprint in fingerprints {
            let entry = Self::entry(&mut self.entries, *fingerprint, now);
            *entry.crashes.entry(self.holder.clone()).or_default() += 1;
            entry.expires = now + CRASH_TTL;
        }
        self.evict(now);
    }

    /// Clears a fingerprint after a successful run.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.cleared_crashes = entry.total();
        }
    }

    /// Decides how a request with a fingerprint may run.
    pub fn decide(&self, fingerprint: u64, now: Instant) -> CrashDecision {
        let entry = self.entries.get(&fingerprint);
        match entry.filter(|entry| entry.expires > now) {
            Some(entry) if entry.uncleared() >= CRASH_LIMIT => CrashDecision::Refuse,
            Some(entry) if entry.uncleared() > 0 => CrashDecision::Isolate,
            _ => CrashDecision::Allow,
        }
    }

    /// All counts, this router's own and those received from peers.
    pub fn counts(&self) -> Vec<CrashCount> {
        let fingerprints: Vec<u64> = self.entries.keys().copied().collect();
        self.counts_of(&fingerprints)
    }

    /// Counts of the given fingerprints, without duplicates and in order.
    pub fn counts_of(&self, fingerprints: &[u64]) -> Vec<CrashCount> {
        let wanted: BTreeSet<u64> = fingerprints.iter().copied().collect();
        let mut counts = Vec::new();
        for fingerprint in &wanted {
            let Some(entry) = self.entries.get(fingerprint) else {
                continue;
            };
            for (reporter, crashes) in &entry.crashes {
                counts.push(CrashCount {
                    reporter: reporter.clone(),
                    fingerprint: *fingerprint,
                    crashes: *crashes,
                    cleared: entry.uncleared() == 0,
                });
            }
        }
        counts
    }

    /// Merges counts of a peer; repeated and outdated counts have no effect.
    pub fn merge(&mut self, counts: &[CrashCount], now: Instant) {
        let mut cleared_crashes: HashMap<u64, u32> = HashMap::new();
        for count in counts {
            let entry = Self::entry(&mut self.entries, count.fingerprint, now);
            let known = entry.crashes.entry(count.reporter.clone()).or_default();
            if count.crashes > *known {
                *known = count.crashes;
                entry.expires = now + CRASH_TTL;
            }
            if count.cleared {
                *cleared_crashes.entry(count.fingerprint).or_default() += count.crashes;
            }
        }
        // A success clears only the crashes that its sender knew of.
        for (fingerprint, crashes) in cleared_crashes {
            if let Some(entry) = self.entries.get_mut(&fingerprint) {
                entry.cleared_crashes = entry.cleared_crashes.max(crashes);
            }
        }
        self.evict(now);
    }

    fn entry(
        entries: &mut HashMap<u64, CrashEntry>,
        fingerprint: u64,
        now: Instant,
    ) -> &mut CrashEntry {
        entries.entry(fingerprint).or_insert_with(|| CrashEntry {
            crashes: BTreeMap::new(),
            cleared_crashes: 0,
            expires: now + CRASH_TTL,
        })
    }

    fn evict(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expires > now);
        while self.entries.len() > FINGERPRINT_LIMIT {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.expires);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&fingerprint);
        }
    }
}
