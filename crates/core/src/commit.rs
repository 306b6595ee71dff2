//! Commits of one holder in one shard, numbered by the `step` of its grant row.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    BudgetId, GrantLedger, HolderId, ShardId, Tokens,
    budget::{GrantAccount, GrantRow, HolderKey, PoolRow, move_to_grant, move_to_pool},
    segment::{ChargeLine, OpenRequest, SegmentRecord},
};

/// One commit: the next grant row of a holder and, for moves, the next pool row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitPlan {
    /// Grant row after the commit.
    pub row: GrantRow,
    /// Expected version of the stored grant row; 0 if it must be absent.
    pub row_version: u64,
    /// Pool row after the commit with its expected version, for moves.
    pub pool: Option<(PoolRow, u64)>,
}

/// State of a commit as read back from the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitState {
    /// Took effect.
    Applied,
    /// Did not take effect and never will.
    Aborted,
    /// May still take effect; the identical plan must be sent again.
    Pending,
    /// The row is closed or deleted; the holder must stop spending.
    Closed,
}

impl CommitPlan {
    /// Determines the state of the commit from the stored rows, given with their versions.
    ///
    /// A write whose response was lost may arrive late. Only once an expected version has changed
    /// can it no longer take effect.
    pub fn classify(
        &self,
        row: Option<(u64, &GrantRow)>,
        pool_version: Option<u64>,
    ) -> CommitState {
        match row {
            Some((_, found)) if found.closed => return CommitState::Closed,
            Some((_, found)) if found.step >= self.row.step => return CommitState::Applied,
            None if self.row_version > 0 => return CommitState::Closed,
            _ => {}
        }
        let row_version = row.map_or(0, |(version, _)| version);
        let pool_changed = match (&self.pool, pool_version) {
            (Some((_, expected)), Some(version)) => version != *expected,
            _ => false,
        };
        if pool_changed || row_version != self.row_version {
            CommitState::Aborted
        } else {
            CommitState::Pending
        }
    }
}

/// Move of tokens between the pool and a grant row, with its maximum amount.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantMove {
    /// Takes at most this many free tokens.
    Take(BudgetId, Tokens),
    /// Returns at most this many spendable tokens.
    Return(BudgetId, Tokens),
}

/// Sequence of commits of one holder in one shard.
///
/// A segment or plan stays unchanged until it has taken effect or can no longer do so: a write whose
/// response was lost may still arrive and must then have the same content.
#[derive(Clone, Debug)]
pub struct CommitSequence {
    shard: ShardId,
    row: GrantRow,
    version: u64,
    segment: Option<SegmentRecord>,
    plan: Option<CommitPlan>,
    pending_returns: BTreeMap<BudgetId, Tokens>,
    closed_peers: BTreeSet<HolderKey>,
}

impl CommitSequence {
    /// Creates the state before the first commit.
    pub fn new(shard: ShardId, holder: HolderId) -> Self {
        Self {
            shard,
            row: GrantRow::new(holder),
            version: 0,
            segment: None,
            plan: None,
            pending_returns: BTreeMap::new(),
            closed_peers: BTreeSet::new(),
        }
    }

    /// Row of the last applied commit.
    pub fn row(&self) -> &GrantRow {
        &self.row
    }

    /// Version of the row; 0 before the first commit.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Commit with an unknown outcome, to be sent again unchanged.
    pub fn plan(&self) -> Option<&CommitPlan> {
        self.plan.as_ref()
    }

    /// Segment that must be stored in the object store before its charges are committed.
    pub fn segment(&self) -> Option<&SegmentRecord> {
        self.segment.as_ref()
    }

    /// Sets the closed peers to record in the next commit.
    ///
    /// Only holders with a row in the shard are needed, since only these are settled there. Naming all
    /// closed peers would let the row grow with every router that ever died.
    pub fn set_closed_peers(&mut self, closed_peers: BTreeSet<HolderKey>) {
        self.closed_peers = closed_peers;
    }

    /// Builds the next segment from the charge lines, unless an earlier one is still uncommitted.
    pub fn seal_segment(&mut self, lines: &mut Vec<ChargeLine>, open: Vec<OpenRequest>) {
        if self.segment.is_some() || lines.is_empty() {
            return;
        }
        self.segment = Some(SegmentRecord {
            holder: self.row.holder.clone(),
            shard: self.shard,
            seq: self.row.seq + 1,
            lines: std::mem::take(lines),
            open,
        });
    }

    /// Whether transfers or closed peers are uncommitted.
    pub fn has_uncommitted(
        &self,
        ledger: &GrantLedger,
        in_shard: impl Fn(&BudgetId) -> bool,
    ) -> bool {
        let mut next = self.row.clone();
        ledger.fill_row(&mut next, in_shard);
        let has_changes = next.accounts.iter().any(|(budget, account)| {
            let committed = self.row.accounts.get(budget);
            let is_same = |committed: &GrantAccount| {
                committed.given == account.given && committed.received == account.received
            };
            !committed.map_or(
                account.given.is_empty() && account.received.is_empty(),
                is_same,
            )
        });
        has_changes || (self.version > 0 && self.closed_peers != self.row.closed_peers)
    }

    /// Builds the next commit, including the charges of the segment if it is stored.
    ///
    /// Must not be called while the outcome of another plan is unknown.
    pub fn build(
        &mut self,
        ledger: &mut GrantLedger,
        in_shard: impl Fn(&BudgetId) -> bool,
        pool: Option<(PoolRow, u64)>,
        moves: &[GrantMove],
        segment_stored: bool,
    ) -> CommitPlan {
        let mut row = self.row.clone();
        row.step += 1;
        ledger.fill_row(&mut row, in_shard);
        row.closed_peers.clone_from(&self.closed_peers);
        if let (true, Some(segment)) = (segment_stored, &self.segment) {
            row.seq = segment.seq;
            for line in &segment.lines {
                row.accounts.entry(line.budget.clone()).or_default().charged += line.tokens;
            }
        }
        let pool = pool.map(|(mut pool, version)| {
            for grant_move in moves {
                self.apply_move(ledger, &mut pool, &mut row, grant_move);
            }
            (pool, version)
        });
        let plan = CommitPlan {
            row,
            row_version: self.version,
            pool,
        };
        self.plan = Some(plan.clone());
        plan
    }

    fn apply_move(
        &mut self,
        ledger: &mut GrantLedger,
        pool: &mut PoolRow,
        row: &mut GrantRow,
        grant_move: &GrantMove,
    ) {
        match grant_move {
            GrantMove::Take(budget, tokens) => {
                let taken = move_to_grant(pool, row, budget, *tokens);
                if let Some(account) = row.accounts.get_mut(budget) {
                    account.transferable += taken;
                }
            }
            GrantMove::Return(budget, tokens) => {
                let tokens = ledger.reserve_outgoing(budget, *tokens);
                *self.pending_returns.entry(budget.clone()).or_default() += tokens;
                move_to_pool(pool, row, budget, tokens);
            }
        }
    }

    /// Ends the plan with its outcome; `version` is that of the stored row. A pending plan is kept.
    pub fn resolve(&mut self, ledger: &mut GrantLedger, state: CommitState, version: u64) {
        if state == CommitState::Pending {
            return;
        }
        let Some(plan) = self.plan.take() else {
            return;
        };
        let returns = std::mem::take(&mut self.pending_returns);
        match state {
            CommitState::Applied => {
                if plan.row.seq > self.row.seq {
                    self.segment = None;
                }
                self.row = plan.row;
                self.version = version;
                ledger.apply_commit(&self.row);
            }
            CommitState::Closed => ledger.close(),
            CommitState::Aborted | CommitState::Pending => {
                for (budget, tokens) in &returns {
                    ledger.release_outgoing(budget, *tokens);
                }
            }
        }
    }

    /// Builds the commit that closes the row of a stopping holder whose requests have all ended.
    pub fn build_close(&mut self, peers: impl IntoIterator<Item = HolderKey>) -> CommitPlan {
        let mut row = self.row.clone();
        row.step += 1;
        row.closed = true;
        row.exact = true;
        row.closed_peers.extend(peers);
        let plan = CommitPlan {
            row,
            row_version: self.version,
            pool: None,
        };
        self.plan = Some(plan.clone());
        plan
    }
}
