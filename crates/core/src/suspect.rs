//! Attribution of endpoint crashes to requests and to parts of their prompts.
//!
//! Whatever was open at a crashed endpoint is a suspect. A suspect that runs to its end elsewhere is
//! cleared of the crashes known by then; one that is open in several crashes and never completes is
//! blocked.
//!
//! Endpoints may also crash together, for a cause of their own. What counts against a suspect:
//!
//! - A crash that coincides with several others in which the suspect was not open does not count:
//!   their common cause is another one.
//! - Crashes within a second form one event. It counts once if the suspect is a prompt part that
//!   completed before: a part that crashes endpoints never completes, so that its presence in many
//!   crashes shows only that it is a common one.
//! - Otherwise each crash counts, but crashes that coincide with others do not block a part alone.
//!
//! A block that rests on such counts can still be wrong, for example if all endpoints crash before
//! anything has completed. [`crate::trial`] lets a few requests of the whole fleet through to find out.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet},
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
/// Longest time between the first and the last crash of an event. Covers the loss of a rack that
/// routers notice at different moments.
const EVENT_WINDOW: Duration = Duration::from_secs(1);
/// Largest time between two crashes with a common cause.
const COINCIDENCE_TIME: Duration = Duration::from_millis(200);
/// Smallest number of coinciding crashes that a suspect was not open in, for them to have another
/// cause.
const UNRELATED_MIN: usize = 2;
/// Largest number of coinciding crashes of an event that count: all endpoints may crash together before
/// anything completed.
const EVENT_STRIKES: usize = PART_LIMIT - 1;
/// Number of events, or of crashes that coincide with no other, from which a block is unlikely to be
/// wrong.
const STRONG_EVENTS: usize = 3;
/// Time for which a completion shows that a part does not crash endpoints. An engine update may
/// change that.
const PROOF_TTL: Duration = Duration::from_secs(600);
/// Time for which a crash counts. Fixing an engine takes longer, and callers retry for minutes.
pub const CRASH_TTL: Duration = Duration::from_secs(3_600);
/// Largest number of crashes kept, more than there are endpoints. The oldest are dropped first, but
/// those that a blocked suspect explains last.
const CRASH_LIMIT: usize = 1_024;
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
    blocks: BTreeMap<CrashSuspect, ActiveBlock>,
    /// Blocks that [`take_blocks`](Self::take_blocks) has not returned yet.
    new_blocks: Vec<SuspectBlock>,
    /// Whether `blocks` may differ from what the reports show. They are reviewed before the next
    /// request, since a mass crash brings thousands of reports.
    is_outdated: bool,
    /// When the oldest crash no longer counts.
    review_at: Option<Instant>,
}

/// Suspect that is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveBlock {
    /// Suspect.
    pub suspect: CrashSuspect,
    /// Whether several events or single crashes count against it.
    pub is_strong: bool,
    /// Last crash that counts against it.
    pub last_crash: Instant,
}

/// Suspect that was blocked, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectBlock {
    /// Suspect that is blocked from now on.
    pub suspect: CrashSuspect,
    /// Number of events that counted against it.
    pub events: usize,
    /// Crashes in which it was open, with the time since each, oldest first.
    pub crashes: Vec<(CrashId, Duration)>,
    /// Last completion of a request with it before these crashes.
    pub completed_before: Option<Duration>,
}

#[derive(Debug)]
struct CrashEntry {
    /// Suspects with their rank: the position of a part in its prompt.
    suspects: HashMap<CrashSuspect, usize>,
    cleared: HashSet<CrashSuspect>,
    /// When the endpoint crashed: the earliest time that was reported.
    crashed: Instant,
}

/// What counts against a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SuspicionCount {
    strikes: usize,
    events: usize,
    /// Number of counted crashes that coincide with no other.
    alone: usize,
    /// Largest rank of the suspect in these crashes.
    rank: usize,
}

impl SuspectTable {
    /// Adds suspects of a crash that happened at `crashed`, as far as known.
    pub fn record_crash(&mut self, report: &CrashReport, crashed: Instant) {
        let entry = self.entry(report.crash, crashed);
        entry.crashed = entry.crashed.min(crashed);
        for (position, suspect) in report.suspects.iter().enumerate() {
            let rank = entry.suspects.entry(*suspect).or_default();
            *rank = position.max(*rank);
        }
        self.is_outdated = true;
        if self.crashes.len() > 2 * CRASH_LIMIT {
            self.evict(crashed);
        }
    }

    /// Records that a request with these suspects completed. Returns reports for the other routers.
    pub fn record_completion(
        &mut self,
        suspects: &[CrashSuspect],
        now: Instant,
    ) -> Vec<ClearReport> {
        let mut reports = Vec::new();
        for suspect in suspects {
            let accusing = self.crashes.iter();
            let accusing = accusing.filter(|(_, entry)| self.accuses(entry, *suspect));
            let crashes: Vec<CrashId> = accusing.map(|(crash, _)| *crash).collect();
            self.complete(*suspect, now);
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

    /// Applies reports of runs that completed at `completed`, as far as known.
    pub fn clear(&mut self, reports: &[ClearReport], completed: Instant) {
        for report in reports {
            self.complete(report.suspect, completed);
            for crash in &report.crashes {
                // The report of the crash itself may arrive later.
                let entry = self.entry(*crash, completed);
                entry.cleared.insert(report.suspect);
            }
            self.is_outdated = true;
        }
    }

    /// Returns the first of the suspects that is blocked.
    pub fn culprit_among(
        &mut self,
        suspects: &[CrashSuspect],
        now: Instant,
    ) -> Option<CrashSuspect> {
        let blocks = self.blocks_among(suspects, now);
        blocks.first().map(|block| block.suspect)
    }

    /// Returns the blocks of those of the suspects that are blocked.
    pub fn blocks_among(&mut self, suspects: &[CrashSuspect], now: Instant) -> Vec<ActiveBlock> {
        self.review(now);
        let blocks = suspects
            .iter()
            .filter_map(|suspect| self.blocks.get(suspect));
        blocks.copied().collect()
    }

    /// Returns the blocks since the last call.
    pub fn take_blocks(&mut self) -> Vec<SuspectBlock> {
        std::mem::take(&mut self.new_blocks)
    }

    /// Whether a crash counts against a suspect: it was open and has not completed since.
    fn accuses(&self, entry: &CrashEntry, suspect: CrashSuspect) -> bool {
        let completed = self.completions.get(&suspect);
        entry.suspects.contains_key(&suspect)
            && !entry.cleared.contains(&suspect)
            && completed.is_none_or(|completed| *completed <= entry.crashed)
    }

    /// Whether a part completed before a crash, so that its presence there is no evidence.
    fn is_proven(&self, entry: &CrashEntry, suspect: CrashSuspect) -> bool {
        let completed = self.completions.get(&suspect);
        completed.is_some_and(|completed| {
            entry.crashed.saturating_duration_since(*completed) <= PROOF_TTL
        })
    }

    /// Applies the report that a request with a part completed at `completed`, as far as known.
    pub fn record_proof(&mut self, suspect: CrashSuspect, completed: Instant) {
        self.complete(suspect, completed);
        self.is_outdated = true;
    }

    /// Records when a request with a part completed. Only the last time counts.
    fn complete(&mut self, suspect: CrashSuspect, completed: Instant) {
        if matches!(suspect, CrashSuspect::Request(_)) {
            return;
        }
        let last = self.completions.entry(suspect).or_insert(completed);
        *last = completed.max(*last);
        if self.completions.len() > COMPLETION_LIMIT {
            let mut times: Vec<Instant> = self.completions.values().copied().collect();
            times.sort_unstable();
            let oldest = times[times.len() / 4];
            self.completions.retain(|_, completed| *completed > oldest);
        }
    }

    /// Blocks the suspects that explain most crashes, one after the other. A crash that a blocked
    /// suspect explains counts against no other one.
    fn review(&mut self, now: Instant) {
        let expired = self.review_at.is_some_and(|at| at <= now);
        if !std::mem::take(&mut self.is_outdated) && !expired {
            return;
        }
        self.evict(now);
        let oldest = self.crashes.values().map(|entry| entry.crashed).min();
        self.review_at = oldest.map(|oldest| oldest + CRASH_TTL);
        let entries = self.crashes.iter();
        let entries = entries.filter(|(_, entry)| !entry.suspects.is_empty());
        let mut unexplained: Vec<(CrashId, &CrashEntry)> =
            entries.map(|(crash, entry)| (*crash, entry)).collect();
        unexplained.sort_by_key(|(_, entry)| entry.crashed);
        let mut blocks = BTreeMap::new();
        let mut new_blocks = Vec::new();
        loop {
            let counts = self.count_suspicions(&unexplained).into_iter();
            let over = counts.filter(|(suspect, count)| count.strikes >= suspect.limit());
            // A crash that coincides with no other is the strongest evidence. The later of two parts
            // is the more specific explanation.
            let worst = over.max_by_key(|(suspect, count)| {
                let is_blocked = self.blocks.contains_key(suspect);
                let (events, strikes, rank) = (count.events, count.strikes, count.rank);
                (
                    count.alone,
                    is_blocked,
                    events,
                    strikes,
                    rank,
                    Reverse(*suspect),
                )
            });
            let Some((culprit, count)) = worst else {
                break;
            };
            let (explained, left) = unexplained
                .into_iter()
                .partition::<Vec<_>, _>(|(_, entry)| self.accuses(entry, culprit));
            unexplained = left;
            let block = ActiveBlock {
                suspect: culprit,
                is_strong: count.events.max(count.alone) >= STRONG_EVENTS,
                last_crash: explained.last().map_or(now, |(_, entry)| entry.crashed),
            };
            blocks.insert(culprit, block);
            if !self.blocks.contains_key(&culprit) {
                let age = |at: Instant| now.saturating_duration_since(at);
                let crashes = explained.iter();
                let crashes = crashes.map(|(crash, entry)| (*crash, age(entry.crashed)));
                new_blocks.push(SuspectBlock {
                    suspect: culprit,
                    events: count.events,
                    crashes: crashes.collect(),
                    completed_before: self.completions.get(&culprit).map(|at| age(*at)),
                });
            }
        }
        self.blocks = blocks;
        self.new_blocks.extend(new_blocks);
    }

    /// Counts the crashes against each suspect. `entries` are in the order of their time.
    fn count_suspicions(
        &self,
        entries: &[(CrashId, &CrashEntry)],
    ) -> HashMap<CrashSuspect, SuspicionCount> {
        let times: Vec<Instant> = entries.iter().map(|(_, entry)| entry.crashed).collect();
        let mut open_in: HashMap<CrashSuspect, Vec<&CrashEntry>> = HashMap::new();
        for (_, entry) in entries {
            for suspect in entry.suspects.keys() {
                if self.accuses(entry, *suspect) {
                    open_in.entry(*suspect).or_default().push(entry);
                }
            }
        }
        open_in.retain(|suspect, open_in| open_in.len() >= suspect.limit());
        let counts = open_in.into_iter().map(|(suspect, open_in)| {
            let count = self.count_strikes(suspect, &open_in, &times);
            (suspect, count)
        });
        counts.collect()
    }

    /// Counts the crashes in which a suspect was open against it. `times` are those of all crashes.
    fn count_strikes(
        &self,
        suspect: CrashSuspect,
        open_in: &[&CrashEntry],
        times: &[Instant],
    ) -> SuspicionCount {
        let own_times: Vec<Instant> = open_in.iter().map(|entry| entry.crashed).collect();
        let mut count = SuspicionCount::default();
        let mut event: Option<(Instant, usize)> = None;
        for entry in open_in {
            let own = count_near(&own_times, entry.crashed);
            let total = count_near(times, entry.crashed);
            if is_unrelated(own, total) {
                continue;
            }
            let most = if self.is_proven(entry, suspect) {
                1
            } else {
                EVENT_STRIKES
            };
            let current = event.filter(|(until, _)| entry.crashed < *until);
            let (until, strikes) = current.unwrap_or_else(|| {
                count.events += 1;
                (entry.crashed + EVENT_WINDOW, 0)
            });
            let is_alone = total == 1;
            count.alone += usize::from(is_alone);
            let strike = usize::from(strikes < most || (is_alone && most > 1));
            count.strikes += strike;
            event = Some((until, strikes + strike));
            let rank = entry.suspects.get(&suspect).copied().unwrap_or_default();
            count.rank = count.rank.max(rank);
        }
        count
    }

    fn entry(&mut self, crash: CrashId, crashed: Instant) -> &mut CrashEntry {
        self.crashes.entry(crash).or_insert_with(|| CrashEntry {
            suspects: HashMap::new(),
            cleared: HashSet::new(),
            crashed,
        })
    }

    fn evict(&mut self, now: Instant) {
        self.crashes
            .retain(|_, entry| now.saturating_duration_since(entry.crashed) < CRASH_TTL);
        let surplus = self.crashes.len().saturating_sub(CRASH_LIMIT);
        if surplus == 0 {
            return;
        }
        let explained = |entry: &CrashEntry| {
            let mut culprits = self.blocks.keys();
            culprits.any(|culprit| self.accuses(entry, *culprit))
        };
        let entries = self.crashes.iter();
        let mut order: Vec<(bool, Instant, CrashId)> = entries
            .map(|(crash, entry)| (explained(entry), entry.crashed, *crash))
            .collect();
        order.sort_unstable();
        for (_, _, crash) in &order[..surplus] {
            self.crashes.remove(crash);
        }
    }
}

/// Whether `total` coinciding crashes have another cause than a suspect that was open in `own` of them
/// only.
fn is_unrelated(own: usize, total: usize) -> bool {
    total - own >= UNRELATED_MIN && own * 2 < total
}

/// Number of ordered `times` within [`COINCIDENCE_TIME`] of one.
fn count_near(times: &[Instant], at: Instant) -> usize {
    let end = times.partition_point(|time| *time <= at + COINCIDENCE_TIME);
    let start = times.partition_point(|time| *time + COINCIDENCE_TIME < at);
    end - start
}
