//! Attribution of endpoint crashes to requests and to parts of their prompts.
//!
//! Whatever was open at a crashed endpoint is a suspect. A suspect that runs to its end elsewhere is
//! cleared of the crashes known by then; one that is open in several crashes and never completes is
//! blocked.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::{Duration, Instant},
};

use {
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::Xxh3,
};

use crate::EndpointId;

/// Crashes after which a whole request is blocked. Its callers retry it, so it crashes an endpoint
/// with every retry.
const REQUEST_LIMIT: usize = 2;
/// Crashes after which a prompt part is blocked. Requests that merely share the endpoint with the
/// cause are rarely open in four crashes without one of them completing in between.
const PART_LIMIT: usize = 4;
/// Time after the last completion of a request with a part in which the part is not blocked, so that a crash of
/// many endpoints at once does not block the parts that most requests share.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Time for which a crash counts. Fixing an engine takes longer, and callers retry for minutes.
pub const CRASH_TTL: Duration = Duration::from_secs(3_600);
/// Largest number of crashes kept; the oldest are dropped first.
const CRASH_LIMIT: usize = 256;
/// Largest number of parts for which the last completion is remembered.
const COMPLETION_LIMIT: usize = 4_096;

/// Identifies one crash of one endpoint run.
pub type CrashId = u64;

/// Returns the id of the crash of an endpoint run, the same at all routers.
///
/// `started_ms` is the start of the run as Unix time in ms.
pub fn crash_id(endpoint: &EndpointId, started_ms: u64) -> CrashId {
    let mut hash = Xxh3::new();
    hash.update(endpoint.as_bytes());
    hash.update(&started_ms.to_le_bytes());
    hash.digest()
}

/// What may have crashed an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashSuspect {
    /// Prompt part, by its id.
    Part(u64),
    /// Whole request, by its [`fingerprint`](crate::crash::fingerprint).
    Request(u64),
}

impl CrashSuspect {
    fn limit(self) -> usize {
        match self {
            Self::Part(_) => PART_LIMIT,
            Self::Request(_) => REQUEST_LIMIT,
        }
    }
}

/// Suspects of one crash, as seen by one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crash that the suspects were open in.
    pub crash: CrashId,
    /// Prompt parts in prompt order, then the whole request.
    pub suspects: Vec<CrashSuspect>,
}

/// Completed run of a suspect, which shows that it did not cause some crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearReport {
    /// Suspect that completed.
    pub suspect: CrashSuspect,
    /// Crashes that were known before.
    pub crashes: Vec<CrashId>,
}

/// Crashes of a fleet's endpoints, their suspects, and the suspects that are blocked.
///
/// Reports may arrive repeatedly and in any order.
#[derive(Debug, Default)]
pub struct SuspectTable {
    crashes: BTreeMap<CrashId, CrashEntry>,
    /// Last completion of a request with a part, as far as this router knows.
    completions: HashMap<CrashSuspect, Instant>,
    culprits: BTreeSet<CrashSuspect>,
    /// When a suspect that completed recently may be blocked.
    review_at: Option<Instant>,
}

#[derive(Debug)]
struct CrashEntry {
    /// Suspects with their rank: the position of a part in its prompt.
    suspects: HashMap<CrashSuspect, usize>,
    cleared: HashSet<CrashSuspect>,
    expires: Instant,
}

impl CrashEntry {
    fn accuses(&self, suspect: CrashSuspect) -> bool {
        self.suspects.contains_key(&suspect) && !self.cleared.contains(&suspect)
    }
}

impl SuspectTable {
    /// Adds suspects of a crash. Returns those that are blocked from now on.
    pub fn record_crash(&mut self, report: &CrashReport, now: Instant) -> Vec<CrashSuspect> {
        let entry = self.entry(report.crash, now);
        for (position, suspect) in report.suspects.iter().enumerate() {
            let rank = entry.suspects.entry(*suspect).or_default();
            *rank = position.max(*rank);
        }
        self.evict(now);
        self.review(now)
    }

    /// Records that a request with these suspects completed. Returns reports for the other routers.
    pub fn record_completion(
        &mut self,
        suspects: &[CrashSuspect],
        now: Instant,
    ) -> Vec<ClearReport> {
        let mut reports = Vec::new();
        for suspect in suspects {
            self.complete(*suspect, now);
            let crashes = self.crashes.iter();
            let accusing = crashes.filter(|(_, entry)| entry.accuses(*suspect));
            let crashes: Vec<CrashId> = accusing.map(|(crash, _)| *crash).collect();
            if !crashes.is_empty() {
                reports.push(ClearReport {
                    suspect: *suspect,
                    crashes,
                });
            }
        }
        self.clear(&reports, now);
        reports
    }

    /// Applies reports of completed runs.
    pub fn clear(&mut self, reports: &[ClearReport], now: Instant) {
        for report in reports {
            self.complete(report.suspect, now);
            for crash in &report.crashes {
                // The report of the crash itself may arrive later.
                self.entry(*crash, now).cleared.insert(report.suspect);
            }
        }
        if !reports.is_empty() {
            self.evict(now);
            self.review(now);
        }
    }

    /// Returns the first of the suspects that is blocked.
    pub fn culprit_among(
        &mut self,
        suspects: &[CrashSuspect],
        now: Instant,
    ) -> Option<CrashSuspect> {
        if self.review_at.is_some_and(|at| at <= now) {
            self.review(now);
        }
        let mut suspects = suspects.iter().copied();
        suspects.find(|suspect| self.culprits.contains(suspect))
    }

    fn complete(&mut self, suspect: CrashSuspect, now: Instant) {
        if matches!(suspect, CrashSuspect::Request(_)) {
            return;
        }
        self.completions.insert(suspect, now);
        if self.completions.len() > COMPLETION_LIMIT {
            let mut times: Vec<Instant> = self.completions.values().copied().collect();
            times.sort_unstable();
            let oldest = times[times.len() / 4];
            self.completions.retain(|_, completed| *completed > oldest);
        }
    }

    /// Blocks the suspects that explain most crashes, one after the other. A crash that a blocked
    /// suspect explains counts against no other one.
    fn review(&mut self, now: Instant) -> Vec<CrashSuspect> {
        let before = std::mem::take(&mut self.culprits);
        self.review_at = None;
        let mut unexplained: Vec<&CrashEntry> = self.crashes.values().collect();
        loop {
            let mut counts: HashMap<CrashSuspect, (usize, usize)> = HashMap::new();
            for entry in &unexplained {
                let accused = entry.suspects.iter();
                let accused = accused.filter(|(suspect, _)| !entry.cleared.contains(*suspect));
                for (suspect, rank) in accused {
                    let (count, highest) = counts.entry(*suspect).or_default();
                    *count += 1;
                    *highest = (*highest).max(*rank);
                }
            }
            let over = counts
                .into_iter()
                .filter(|(suspect, (count, _))| *count >= suspect.limit());
            let mut quiet = Vec::new();
            for (suspect, (count, rank)) in over {
                let completed = self.completions.get(&suspect);
                match completed.map(|completed| *completed + QUIET_TIME) {
                    Some(until) if until > now => {
                        self.review_at =
                            Some(self.review_at.map_or(until, |review| review.min(until)));
                    }
                    // The later of two parts is the more specific explanation.
                    _ => quiet.push((count, rank, Reverse(suspect))),
                }
            }
            let Some((_, _, Reverse(culprit))) = quiet.into_iter().max() else {
                break;
            };
            self.culprits.insert(culprit);
            unexplained.retain(|entry| !entry.accuses(culprit));
        }
        self.culprits.difference(&before).copied().collect()
    }

    fn entry(&mut self, crash: CrashId, now: Instant) -> &mut CrashEntry {
        self.crashes.entry(crash).or_insert_with(|| CrashEntry {
            suspects: HashMap::new(),
            cleared: HashSet::new(),
            expires: now + CRASH_TTL,
        })
    }

    fn evict(&mut self, now: Instant) {
        self.crashes.retain(|_, entry| entry.expires > now);
        while self.crashes.len() > CRASH_LIMIT {
            let oldest = self.crashes.iter().min_by_key(|(_, entry)| entry.expires);
            let Some(crash) = oldest.map(|(crash, _)| *crash) else {
                return;
            };
            self.crashes.remove(&crash);
        }
    }
}
