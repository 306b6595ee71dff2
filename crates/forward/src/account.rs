//! Rows of prepaid budgets in the store, and one router's cache of them.
//!
//! All rows of a customer share a partition. The row `pool` counts the tokens that routers have
//! drawn from the budget. The row `grant/VM` is the account of the router on that VM. One
//! transaction over both rows moves tokens from the pool to an account. The drawn tokens therefore
//! never exceed the budget, even if responses are lost or calls are repeated.

use std::time::Duration;

use {
    bytes::Bytes,
    jasminewall_core::{BootId, CustomerId, Tokens, VmId},
    jasminewall_ports::{RowKey, RowPrecondition, RowTransaction, RowUpdate, StoredRow},
    serde::{Deserialize, Serialize},
};

/// Table of all prepaid budgets.
pub const SPEND_TABLE: &str = "spend";
/// Key of the pool row.
const POOL_KEY: &str = "pool";
/// Prefix of the account keys.
const GRANT_PREFIX: &str = "grant/";

/// Tokens that all routers drew from a budget, less the returned ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Net tokens drawn.
    pub drawn: Tokens,
}

/// Account row of one router run. All fields except `open` and `late_rate` are counters that only
/// grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Run of the router that owns the account.
    pub boot: BootId,
    /// Tokens drawn from the pool or taken over from the previous run.
    pub granted: Tokens,
    /// Tokens received from peers; the peers' own accounts count them as charged.
    #[serde(default)]
    pub received: Tokens,
    /// Tokens returned to the pool.
    pub returned: Tokens,
    /// Tokens consumed by requests or given to peers, as of the last write.
    pub charged: Tokens,
    /// Tokens that the run may consume beyond `charged` before it writes the row again. A run that
    /// is detached from the store may consume its whole grant; see [`StoreSession`].
    ///
    /// [`StoreSession`]: crate::session::StoreSession
    #[serde(default)]
    pub open: Tokens,
    /// Growth rate of `open` while the run's heartbeat is late, in tokens per second.
    #[serde(default)]
    pub late_rate: Tokens,
}

/// Tokens by which `open` grows while a heartbeat is late; rounded down.
pub fn late_tokens(rate: Tokens, late: Duration) -> Tokens {
    let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
    rate.saturating_mul(late_ms) / 1_000
}

impl AccountRow {
    /// Tokens that the run may still spend, as of the last write.
    pub fn unspent(&self) -> Tokens {
        (self.granted + self.received).saturating_sub(self.returned + self.charged)
    }

    /// Tokens that the run cannot have consumed if its heartbeat was late by at most `late`.
    pub fn reclaimable(&self, late: Duration) -> Tokens {
        let open = self.open.saturating_add(late_tokens(self.late_rate, late));
        self.unspent().saturating_sub(open)
    }
}

/// Row with its version, which is 0 if the row is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Versioned<T> {
    version: u64,
    row: T,
}

/// Usage that the next write of an account stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountUsage {
    /// Tokens consumed by requests or given to peers so far.
    pub charged: Tokens,
    /// Tokens received from peers so far.
    pub received: Tokens,
    /// Tokens that may be consumed beyond `charged`.
    pub open: Tokens,
    /// Growth rate of `open` while the heartbeat is late, in tokens per second.
    pub late_rate: Tokens,
}

/// Transaction that changes an account, and the rows as it leaves them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountChange {
    /// Transaction for the store.
    pub transaction: RowTransaction,
    pool: PoolRow,
    own: AccountRow,
}

/// One router run's cache of the rows of a customer.
#[derive(Clone, Debug)]
pub struct CustomerAccount {
    customer: CustomerId,
    vm: VmId,
    boot: BootId,
    pool: Versioned<PoolRow>,
    /// Row of this VM, which may still be that of a previous run.
    own: Versioned<AccountRow>,
    others_unspent: Tokens,
    /// Tokens returned by this run, including those that the next change returns.
    returned: Tokens,
    known: bool,
    /// Previous run on this VM, and the longest time for which its heartbeat may have been late.
    predecessor: Option<(BootId, Duration)>,
}

impl CustomerAccount {
    /// Creates a cache in which no row is known.
    pub fn new(customer: CustomerId, vm: VmId, boot: BootId) -> Self {
        Self {
            customer,
            vm,
            boot,
            pool: Versioned::default(),
            own: Versioned::default(),
            others_unspent: 0,
            returned: 0,
            known: false,
            predecessor: None,
        }
    }

    /// Sets the previous run on this VM, whose heartbeat was late by at most `late` when the run
    /// ended. The next change takes over the tokens that the run cannot have consumed.
    pub fn set_predecessor(&mut self, predecessor: BootId, late: Duration) {
        self.predecessor = Some((predecessor, late));
    }

    /// Whether the rows are known: they were read, and no change has had an unknown outcome since.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Records an unknown outcome: the rows must be read before the next change.
    pub fn mark_unknown(&mut self) {
        self.known = false;
    }

    /// Records that the rows are known again: the last change was either committed or had no
    /// effect.
    pub fn mark_known(&mut self) {
        self.known = true;
    }

    /// Prepaid tokens that are not drawn.
    pub fn free(&self, prepaid: Tokens) -> Tokens {
        prepaid.saturating_sub(self.pool.row.drawn)
    }

    /// Upper bound of the tokens that other routers have not spent, as of the last read of all
    /// rows.
    pub fn others_unspent(&self) -> Tokens {
        self.others_unspent
    }

    /// Tokens that wait to be returned to the pool by the next change.
    pub fn pending_return(&self) -> Tokens {
        self.returned - self.own_account().returned
    }

    /// Adds tokens that the next change returns to the pool. They must have been removed from the
    /// ledger before, so that nothing else can spend them.
    pub fn add_return(&mut self, tokens: Tokens) {
        self.returned += tokens;
    }

    /// Loads all rows of the partition. Returns the newly granted tokens.
    pub fn load_all(&mut self, rows: &[StoredRow]) -> Tokens {
        self.pool = Versioned::default();
        let before = self.own_account().granted;
        self.own = Versioned::default();
        self.others_unspent = 0;
        for row in rows {
            if row.key.key == POOL_KEY {
                self.pool = decode(row, UNREADABLE_POOL);
            } else if row.key.key == self.own_key().key {
                self.own = decode(row, AccountRow::default());
            } else if row.key.key.starts_with(GRANT_PREFIX) {
                self.others_unspent += decode(row, AccountRow::default()).row.unspent();
            }
        }
        self.known = true;
        self.own_account().granted.saturating_sub(before)
    }

    /// Loads the rows that a conflict returned. Returns the newly granted tokens.
    pub fn load_conflict(&mut self, rows: &[StoredRow]) -> Tokens {
        let before = self.own_account().granted;
        for row in rows {
            if row.key.key == POOL_KEY {
                self.pool = decode(row, UNREADABLE_POOL);
            } else if row.key.key == self.own_key().key {
                self.own = decode(row, AccountRow::default());
            }
        }
        self.known = true;
        self.own_account().granted.saturating_sub(before)
    }

    /// Builds a change that draws `draw` tokens from the pool, returns the pending ones to it and
    /// stores the usage.
    ///
    /// `None` if the pool has fewer than `draw` free tokens, or if nothing changes.
    pub fn change(
        &self,
        prepaid: Tokens,
        draw: Tokens,
        usage: AccountUsage,
    ) -> Option<AccountChange> {
        let before = self.own_account();
        let pending_return = self.pending_return();
        let own = AccountRow {
            boot: self.boot,
            granted: before.granted + draw + self.inheritable(),
            returned: before.returned + pending_return,
            received: usage.received,
            charged: usage.charged,
            open: usage.open,
            late_rate: usage.late_rate,
        };
        let drawn = self
            .pool
            .row
            .drawn
            .saturating_add(draw)
            .saturating_sub(pending_return);
        if draw > 0 && drawn > prepaid {
            return None;
        }
        if own == before || (own.granted == 0 && pending_return == 0 && self.own.version == 0) {
            return None;
        }
        let pool = PoolRow { drawn };
        // A transaction that only stores charges omits the pool row, so that it does not conflict
        // with those of other routers.
        let changes_pool = draw > 0 || pending_return > 0;
        let mut transaction = RowTransaction::default();
        let mut put = |key: RowKey, version: u64, value: Bytes| {
            transaction.preconditions.push(RowPrecondition {
                key: key.clone(),
                version,
            });
            transaction.updates.push(RowUpdate {
                key,
                value: Some(value),
            });
        };
        put(self.own_key(), self.own.version, encode(&own));
        if changes_pool {
            put(self.pool_key(), self.pool.version, encode(&pool));
        }
        Some(AccountChange {
            transaction,
            pool,
            own,
        })
    }

    /// Applies a committed change. Returns the granted tokens.
    pub fn apply_commit(&mut self, change: &AccountChange, version: u64) -> Tokens {
        let granted = change.own.granted - self.own_account().granted;
        if change.transaction.updates.len() > 1 {
            self.pool = Versioned {
                version,
                row: change.pool,
            };
        }
        self.own = Versioned {
            version,
            row: change.own,
        };
        granted
    }

    /// Tokens that the next change takes over from the previous run.
    pub fn inheritable(&self) -> Tokens {
        let row = &self.own.row;
        match self.predecessor {
            Some((boot, late)) if self.own.version > 0 && boot == row.boot => row.reclaimable(late),
            _ => 0,
        }
    }

    /// Tokens of a previous run that count as spent, because that run may have consumed them.
    pub fn stranded(&self) -> Tokens {
        if !self.holds_previous_run() {
            return 0;
        }
        self.own.row.unspent() - self.inheritable()
    }

    /// Whether the row of this VM still holds the account of a previous run.
    pub fn holds_previous_run(&self) -> bool {
        self.own.version > 0 && self.own.row.boot != self.boot
    }

    /// Account of this run as last read or written; empty while the row holds that of a previous
    /// run.
    pub fn stored(&self) -> AccountRow {
        self.own_account()
    }

    /// See [`Self::stored`].
    fn own_account(&self) -> AccountRow {
        if self.own.row.boot == self.boot {
            self.own.row
        } else {
            AccountRow::default()
        }
    }

    fn pool_key(&self) -> RowKey {
        RowKey::new(SPEND_TABLE, self.customer.clone(), POOL_KEY)
    }

    fn own_key(&self) -> RowKey {
        let key = format!("{GRANT_PREFIX}{}", self.vm);
        RowKey::new(SPEND_TABLE, self.customer.clone(), key)
    }
}

/// Stands for an unreadable pool row. Its budget counts as spent, not as unused.
const UNREADABLE_POOL: PoolRow = PoolRow {
    drawn: Tokens::MAX / 2,
};

fn decode<T: Default + for<'a> Deserialize<'a>>(row: &StoredRow, unreadable: T) -> Versioned<T> {
    let decoded = match row.value.as_deref() {
        None => T::default(),
        Some(value) => serde_json::from_slice(value).unwrap_or_else(|error| {
            tracing::error!(key = ?row.key, %error, "a row of a prepaid budget is unreadable; repair it");
            unreadable
        }),
    };
    Versioned {
        version: row.version,
        row: decoded,
    }
}

fn encode<T: Serialize>(row: &T) -> Bytes {
    // Serializing plain numbers cannot fail.
    serde_json::to_vec(row).unwrap_or_default().into()
}
