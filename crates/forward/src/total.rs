//! Rows of prepaid totals in the store, and what one router knows of them.
//!
//! A customer's rows share a partition: `pool` counts the tokens that were drawn from the total, and
//! `grant/VM` is the account of the router on that VM. Tokens enter an account only by a transaction
//! over both rows, so the drawn tokens never exceed the total, whatever is lost or repeated.

use std::time::Duration;

use {
    bytes::Bytes,
    jasminewall_core::{BootId, CustomerId, Tokens, VmId},
    jasminewall_ports::{RowExpectation, RowKey, RowTransaction, RowUpdate, StoredRow},
    serde::{Deserialize, Serialize},
};

/// Table of all totals.
pub const SPEND_TABLE: &str = "spend";
/// Key of the pool row.
const POOL_KEY: &str = "pool";
/// Start of the keys of accounts.
const GRANT_PREFIX: &str = "grant/";

/// Tokens that were drawn from a total by all routers, less those that were returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Net tokens drawn.
    pub drawn: Tokens,
}

/// Account of one router run; its counts only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAccount {
    /// Run of the router that owns the account.
    pub boot: BootId,
    /// Tokens drawn from the total.
    pub granted: Tokens,
    /// Tokens that peers gave; the giver counts them as consumed.
    #[serde(default)]
    pub received: Tokens,
    /// Tokens returned to the total.
    pub returned: Tokens,
    /// Tokens consumed by requests or given to peers, as of the last write.
    pub charged: Tokens,
    /// Tokens that the run may consume beyond `charged` before it writes again, unless it is
    /// detached; see [`StoreSession`](crate::session::StoreSession).
    #[serde(default)]
    pub open: Tokens,
    /// Growth of `open` while the run's heartbeat is late, in tokens a second.
    #[serde(default)]
    pub late_rate: Tokens,
}

/// Tokens that come to the open ones while a heartbeat is late; rounded down.
pub fn late_tokens(rate: Tokens, late: Duration) -> Tokens {
    let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
    rate.saturating_mul(late_ms) / 1_000
}

impl GrantAccount {
    /// Tokens that the run may still spend, as of the last write.
    pub fn unspent(&self) -> Tokens {
        (self.granted + self.received).saturating_sub(self.returned + self.charged)
    }

    /// Tokens that the run surely has not consumed if its heartbeat was late for `late` at most.
    pub fn reclaimable(&self, late: Duration) -> Tokens {
        let open = self.open.saturating_add(late_tokens(self.late_rate, late));
        self.unspent().saturating_sub(open)
    }
}

/// Row with its version; version 0 when it is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Versioned<T> {
    version: u64,
    row: T,
}

/// Use of an account that its next write names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountUsage {
    /// Tokens consumed by requests or given to peers so far.
    pub charged: Tokens,
    /// Tokens received from peers so far.
    pub received: Tokens,
    /// Tokens that are open beyond `charged`.
    pub open: Tokens,
    /// Growth of `open` while the heartbeat is late, in tokens a second.
    pub late_rate: Tokens,
}

/// Transaction that changes an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountChange {
    /// Transaction for the store.
    pub transaction: RowTransaction,
    pool: PoolRow,
    own: GrantAccount,
}

/// What one router run knows of the rows of one customer.
#[derive(Clone, Debug)]
pub struct CustomerRows {
    customer: CustomerId,
    vm: VmId,
    boot: BootId,
    pool: Versioned<PoolRow>,
    own: Versioned<GrantAccount>,
    others_unspent: Tokens,
    returned: Tokens,
    known: bool,
    predecessor: Option<(BootId, Duration)>,
}

impl CustomerRows {
    /// Starts without any knowledge of the rows.
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

    /// Lets the account take over what a run on this VM surely left whose heartbeat was late for
    /// `late` at most when it ended.
    pub fn inherit(&mut self, predecessor: BootId, late: Duration) {
        self.predecessor = Some((predecessor, late));
    }

    /// Whether the rows were read since the last unknown outcome.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Notes an unknown outcome: the rows must be read before the next change.
    pub fn mark_unknown(&mut self) {
        self.known = false;
    }

    /// Notes that the rows are as they were before a call that surely had no effect, or as the
    /// change that took effect left them.
    pub fn mark_known(&mut self) {
        self.known = true;
    }

    /// Tokens of a total that are not drawn.
    pub fn free(&self, prepaid: Tokens) -> Tokens {
        prepaid.saturating_sub(self.pool.row.drawn)
    }

    /// Tokens that other routers may still spend, at most, as of the last read of all rows.
    pub fn held_by_others(&self) -> Tokens {
        self.others_unspent
    }

    /// Tokens that the own account has returned, or will return with the next change.
    pub fn unreturned(&self) -> Tokens {
        self.returned - self.own_account().returned
    }

    /// Sets tokens aside to be returned with the next change. The caller has taken them out of the
    /// ledger, for good.
    pub fn add_return(&mut self, tokens: Tokens) {
        self.returned += tokens;
    }

    /// Takes in all rows of the partition; says how many tokens were newly granted.
    pub fn load_all(&mut self, rows: &[StoredRow]) -> Tokens {
        self.pool = Versioned::default();
        let before = self.own_account().granted;
        self.own = Versioned::default();
        self.others_unspent = 0;
        for row in rows {
            if row.key.key == POOL_KEY {
                self.pool = decode(row, UNREADABLE_POOL);
            } else if row.key.key == self.own_key().key {
                self.own = decode(row, GrantAccount::default());
            } else if row.key.key.starts_with(GRANT_PREFIX) {
                self.others_unspent += decode(row, GrantAccount::default()).row.unspent();
            }
        }
        self.known = true;
        self.own_account().granted.saturating_sub(before)
    }

    /// Takes in the rows that a conflict returned; says how many tokens were newly granted.
    pub fn load_conflict(&mut self, rows: &[StoredRow]) -> Tokens {
        let before = self.own_account().granted;
        for row in rows {
            if row.key.key == POOL_KEY {
                self.pool = decode(row, UNREADABLE_POOL);
            } else if row.key.key == self.own_key().key {
                self.own = decode(row, GrantAccount::default());
            }
        }
        self.known = true;
        self.own_account().granted.saturating_sub(before)
    }

    /// Change that draws `take` tokens, returns what is set aside and stores the charges.
    ///
    /// `None` when the total has fewer free tokens, or nothing changes.
    pub fn change(
        &self,
        prepaid: Tokens,
        take: Tokens,
        usage: AccountUsage,
    ) -> Option<AccountChange> {
        let before = self.own_account();
        let owed = self.unreturned();
        let own = GrantAccount {
            boot: self.boot,
            granted: before.granted + take + self.inheritable(),
            returned: before.returned + owed,
            received: usage.received,
            charged: usage.charged,
            open: usage.open,
            late_rate: usage.late_rate,
        };
        let drawn = self
            .pool
            .row
            .drawn
            .saturating_add(take)
            .saturating_sub(owed);
        if take > 0 && drawn > prepaid {
            return None;
        }
        if own == before || (own.granted == 0 && owed == 0 && self.own.version == 0) {
            return None;
        }
        let pool = PoolRow { drawn };
        // Charges alone leave the pool row as it is, so that routers do not conflict over it.
        let moves = take > 0 || owed > 0;
        let mut transaction = RowTransaction::default();
        let mut put = |key: RowKey, version: u64, value: Bytes| {
            transaction.expect.push(RowExpectation {
                key: key.clone(),
                version,
            });
            transaction.updates.push(RowUpdate {
                key,
                value: Some(value),
            });
        };
        put(self.own_key(), self.own.version, encode(&own));
        if moves {
            put(self.pool_key(), self.pool.version, encode(&pool));
        }
        Some(AccountChange {
            transaction,
            pool,
            own,
        })
    }

    /// Takes in a change that took effect; says how many tokens were granted.
    pub fn committed(&mut self, change: &AccountChange, version: u64) -> Tokens {
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

    /// Tokens that the next change takes over from the run before.
    pub fn inheritable(&self) -> Tokens {
        let row = &self.own.row;
        match self.predecessor {
            Some((boot, late)) if self.own.version > 0 && boot == row.boot => row.reclaimable(late),
            _ => 0,
        }
    }

    /// Tokens of an earlier run's account that count as spent, since their use is not known.
    pub fn stranded(&self) -> Tokens {
        if !self.is_previous_run() {
            return 0;
        }
        self.own.row.unspent() - self.inheritable()
    }

    /// Whether the row still shows the account of an earlier run.
    pub fn is_previous_run(&self) -> bool {
        self.own.version > 0 && self.own.row.boot != self.boot
    }

    /// Account as of the last known write.
    pub fn stored(&self) -> GrantAccount {
        self.own_account()
    }

    /// Own account; what is not inherited of an earlier run's account counts as spent.
    fn own_account(&self) -> GrantAccount {
        if self.own.row.boot == self.boot {
            self.own.row
        } else {
            GrantAccount::default()
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

/// Stands in for a pool row that cannot be read, so that it does not look like an untouched total.
const UNREADABLE_POOL: PoolRow = PoolRow {
    drawn: Tokens::MAX / 2,
};

fn decode<T: Default + for<'a> Deserialize<'a>>(row: &StoredRow, unreadable: T) -> Versioned<T> {
    let decoded = match row.value.as_deref() {
        None => T::default(),
        Some(value) => serde_json::from_slice(value).unwrap_or_else(|error| {
            tracing::error!(key = ?row.key, %error, "a row of a prepaid total cannot be read; repair it");
            unreadable
        }),
    };
    Versioned {
        version: row.version,
        row: decoded,
    }
}

fn encode<T: Serialize>(row: &T) -> Bytes {
    // The rows hold plain numbers only, which always encode.
    serde_json::to_vec(row).unwrap_or_default().into()
}
