//! Requests that crash the endpoints that run them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::Xxh3;

use crate::HolderId;

/// Crashes after which a request is refused.
pub const CRASH_LIMIT: u32 = 2;
/// Time for which a crash counts. Callers retry for minutes, and an engine update that repairs the
/// fault should not leave requests refused for days.
const CRASH_MEMORY: Duration = Duration::from_secs(3_600);
/// Largest number of fingerprints kept; the oldest go first.
const FINGERPRINT_LIMIT: usize = 10_000;

/// Hash of the parts of a request that decide what an endpoint runs, such as customer, route and
/// body; never 0.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(part);
        hash.update(&[0xff]);
    }
    hash.digest().max(1)
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// Runs like any other.
    Allow,
    /// Runs once more, with no other request on its endpoint.
    Isolate,
    /// Crashed two endpoints; is not run again.
    Refuse,
}

/// Crash counts of request fingerprints, as known to one router.
///
/// Every router counts the crashes that it saw itself under its own id, and peers exchange these
/// counts. The sum over routers is the number of crashes in the fleet, however often and in which
/// order the counts are exchanged.
#[derive(Debug)]
pub struct CrashTable {
    holder: HolderId,
    entries: HashMap<u64, CrashEntry>,
}

#[derive(Clone, Debug)]
struct CrashEntry {
    crashes: BTreeMap<HolderId, u32>,
    forgiven: u32,
    expires: Instant,
}

/// Crashes that one router saw for one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Router run that saw the crashes.
    pub reporter: HolderId,
    /// Hash of customer, route and body.
    pub fingerprint: u64,
    /// Number of crashes that the reporter saw.
    pub crashes: u32,
    /// Whether a run ended well after these crashes.
    pub cleared: bool,
}

impl CrashEntry {
    fn total(&self) -> u32 {
        self.crashes.values().sum()
    }

    fn open(&self) -> u32 {
        self.total().saturating_sub(self.forgiven)
    }
}

impl CrashTable {
    /// Builds an empty table of a router run.
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder,
            entries: HashMap::new(),
        }
    }

    /// Counts a crash against every request that was open on the endpoint.
    pub fn record_crash(&mut self, fingerprints: &[u64], now: Instant) {
        for fingerprint in fingerprints {
            let entry = Self::entry(&mut self.entries, *fingerprint, now);
            *entry.crashes.entry(self.holder.clone()).or_default() += 1;
            entry.expires = now + CRASH_MEMORY;
        }
        self.forget(now);
    }

    /// Clears a fingerprint whose run ended well.
    pub fn clear(&mut self, fingerprint: u64) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.forgiven = entry.total();
        }
    }

    /// What may be done with a fingerprint.
    pub fn decide(&self, fingerprint: u64, now: Instant) -> CrashDecision {
        let entry = self.entries.get(&fingerprint);
        match entry.filter(|entry| entry.expires > now) {
            Some(entry) if entry.open() >= CRASH_LIMIT => CrashDecision::Refuse,
            Some(entry) if entry.open() > 0 => CrashDecision::Isolate,
            _ => CrashDecision::Allow,
        }
    }

    /// All counts for peers: the own ones and those learned from others.
    pub fn counts(&self) -> Vec<CrashCount> {
        let fingerprints: Vec<u64> = self.entries.keys().copied().collect();
        self.counts_of(&fingerprints)
    }

    /// Counts of some fingerprints, each once and in order.
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
                    cleared: entry.open() == 0,
                });
            }
        }
        counts
    }

    /// Merges counts of a peer; repeats and old counts change nothing.
    pub fn merge(&mut self, counts: &[CrashCount], now: Instant) {
        let mut forgiven: HashMap<u64, u32> = HashMap::new();
        for count in counts {
            let entry = Self::entry(&mut self.entries, count.fingerprint, now);
            let known = entry.crashes.entry(count.reporter.clone()).or_default();
            if count.crashes > *known {
                *known = count.crashes;
                entry.expires = now + CRASH_MEMORY;
            }
            if count.cleared {
                *forgiven.entry(count.fingerprint).or_default() += count.crashes;
            }
        }
        // A clearance covers the crashes that its sender knew of, and no later ones.
        for (fingerprint, crashes) in forgiven {
            if let Some(entry) = self.entries.get_mut(&fingerprint) {
                entry.forgiven = entry.forgiven.max(crashes);
            }
        }
        self.forget(now);
    }

    fn entry(
        entries: &mut HashMap<u64, CrashEntry>,
        fingerprint: u64,
        now: Instant,
    ) -> &mut CrashEntry {
        entries.entry(fingerprint).or_insert_with(|| CrashEntry {
            crashes: BTreeMap::new(),
            forgiven: 0,
            expires: now + CRASH_MEMORY,
        })
    }

    fn forget(&mut self, now: Instant) {
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
