//! Draws from the pools of prepaid budgets, as routers remember them for each other, and what
//! follows from them after the store was restored from a copy.
//!
//! A restored store lacks the draws of the lost time, while their tokens are already out. A router
//! therefore spends a draw only once enough other routers know of it. In a new era of the store, the
//! first router that needs a pool asks all of them and derives the pool from their answers. If so
//! many routers lost their memory that a draw may be unknown to the rest, nothing more is drawn.

use std::{collections::BTreeMap, time::Duration};

use {
    jasminewall_core::{Tokens, VmId},
    jasminewall_ports::StoreEra,
    serde::{Deserialize, Serialize},
};

/// Largest age of a copy that a store is restored from. Draws that the store has kept for longer
/// need no router to remember them.
pub(crate) const COPY_AGE_MAX: Duration = Duration::from_secs(30);
/// Time after the start of an era for which a router waits for others that do not answer. Frozen and
/// cut-off routers may be back by then.
pub(crate) const JOIN_PATIENCE: Duration = Duration::from_millis(3_000);

/// Tokens that the router runs of one VM exchanged with a pool. Both counters only grow, so the
/// larger one is the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrawTotals {
    /// Tokens drawn.
    pub drawn: Tokens,
    /// Tokens returned.
    pub returned: Tokens,
}

/// Totals of all VMs that ever drew from a pool.
pub type DrawMap = BTreeMap<VmId, DrawTotals>;

/// Totals of one VM that other routers remember, with the era in which it drew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrawRecord {
    /// Era of the store.
    pub era: StoreEra,
    /// VM of the router.
    pub vm: VmId,
    /// Its totals.
    pub totals: DrawTotals,
}

/// What one router remembers of the draws from a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrawReport {
    /// Whether the router knows all draws before its start, and hears of later ones.
    pub is_complete: bool,
    /// Whether the router started after the store was restored, and a previous run on its VM before.
    pub follows_restore: bool,
    /// Totals that it knows.
    pub totals: Vec<(VmId, DrawTotals)>,
}

/// Answers of the routers that remember draws.
#[derive(Clone, Debug, Default)]
pub struct DrawSurvey {
    /// Number of routers that remember draws, including those that did not answer.
    pub keepers: usize,
    /// Answers.
    pub reports: Vec<DrawReport>,
}

/// Pool in the copy that the store was restored from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolCopy {
    /// Net tokens drawn.
    pub drawn: Tokens,
    /// Totals that the net tokens include.
    pub included: DrawMap,
    /// Largest totals in the accounts of all eras.
    pub known: DrawMap,
}

/// Pool at the start of an era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolJoin {
    /// All draws are known; these tokens are drawn.
    Complete(Tokens),
    /// Some draws may be unknown until more routers answer.
    Incomplete,
}

impl DrawTotals {
    /// Takes over what is later in `other`.
    pub fn merge(&mut self, other: Self) {
        self.drawn = self.drawn.max(other.drawn);
        self.returned = self.returned.max(other.returned);
    }
}

/// Merges totals into a map.
pub fn merge_totals<'a>(
    map: &mut DrawMap,
    other: impl IntoIterator<Item = (&'a VmId, DrawTotals)>,
) {
    for (vm, totals) in other {
        map.entry(vm.clone()).or_default().merge(totals);
    }
}

/// Number of other routers that must know of a draw before it is spent, of `others` that remember
/// draws.
pub fn acks_needed(others: usize) -> usize {
    others.div_ceil(2)
}

/// Number of routers, of `keepers`, that may have lost their memory without a draw being lost: fewer
/// than know of each draw. One is left for a router that came after a draw.
fn loss_tolerance(keepers: usize) -> usize {
    acks_needed(keepers.saturating_sub(1)).saturating_sub(1)
}

/// Derives a pool at the start of an era. `own` is what this router itself remembers.
pub fn join_pool(copy: &PoolCopy, own: &DrawReport, survey: &DrawSurvey) -> (PoolJoin, DrawMap) {
    let mut known = copy.known.clone();
    let reports = || survey.reports.iter().chain([own]);
    for report in reports() {
        merge_totals(
            &mut known,
            report.totals.iter().map(|(vm, totals)| (vm, *totals)),
        );
    }
    let complete = reports().filter(|report| report.is_complete).count();
    let incomplete = survey.keepers.saturating_sub(complete);
    // Nobody has heard of the customer, and nobody can have forgotten it.
    let is_new =
        complete == 0 && known.is_empty() && !reports().any(|report| report.follows_restore);
    if !is_new && incomplete > loss_tolerance(survey.keepers) {
        return (PoolJoin::Incomplete, known);
    }
    (PoolJoin::Complete(drawn_since(copy, &known)), known)
}

/// Net tokens drawn: those of the copy and what was drawn and returned since.
pub fn drawn_since(copy: &PoolCopy, known: &DrawMap) -> Tokens {
    let (mut drawn, mut returned) = (copy.drawn, 0);
    for (vm, totals) in known {
        let included = copy.included.get(vm).copied().unwrap_or_default();
        drawn += totals.drawn.saturating_sub(included.drawn);
        returned += totals.returned.saturating_sub(included.returned);
    }
    drawn.saturating_sub(returned)
}
