//! Rows of prepaid budgets in the store, and one router's cache of them.
//!
//! All rows of a customer share a partition. The row `pool` counts the tokens that routers have
//! drawn from the budget. The row `grant/VM` is the account of the router on that VM. One
//! transaction over both rows moves tokens from the pool to an account. The drawn tokens therefore
//! never exceed the budget, even if responses are lost or calls are repeated.
//!
//! In later eras of the store the keys name the era (`pool@2`, `grant@2/VM`), so that a late write of
//! an earlier era changes no row in use. The first router that needs a pool in an era writes it, with
//! the rows of all VMs that drew from it; see [`draws`](crate::draws).

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    jasminewall_core::{BootId, CustomerId, Tokens, VmId},
    jasminewall_ports::{
        FIRST_ERA, RowKey, RowPrecondition, RowTransaction, RowUpdate, StoreEra, StoredRow,
    },
    serde::{Deserialize, Serialize},
};

use crate::{
    draws::{COPY_AGE_MAX, DrawMap, DrawTotals, PoolCopy},
    session::EARLIER_LATENESS_MAX,
};

/// Table of all prepaid budgets.
pub const SPEND_TABLE: &str = "spend";
/// Key of the pool row.
const POOL_KEY: &str = "pool";
/// Prefix of the account keys.
const GRANT_PREFIX: &str = "grant/";
/// Prefixes of the pool and account keys in later eras, before the number of the era.
const ERA_POOL_PREFIX: &str = "pool@";
const ERA_GRANT_PREFIX: &str = "grant@";
/// Stands for the run in an account that the first router of an era wrote for a VM.
const NO_BOOT: BootId = 0;
/// Largest number of accounts in the transaction that starts an era; a transaction has at most a
/// hundred entries.
const JOINED_ACCOUNTS_MAX: usize = 98;

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
    /// Tokens that the run may consume beyond `charged` before it writes the row again. They grow
    /// while a heartbeat of the run is late; see [`StoreSession`].
    ///
    /// [`StoreSession`]: crate::session::StoreSession
    #[serde(default)]
    pub open: Tokens,
    /// Growth rate of `open` from when the run's heartbeat is late, in tokens per second; see
    /// [`late_tokens`].
    #[serde(default)]
    pub late_rate: Tokens,
    /// Tokens that all runs of the VM exchanged with the pool.
    #[serde(default)]
    pub totals: DrawTotals,
}

/// Lateness from which the open tokens grow faster: a crashed router is usually back by then, so the
/// run is more likely cut off, and requests of other routers' callers may come to it. Must not be
/// shorter, or runs of earlier versions take over tokens that were open.
const FAST_GROWTH_AFTER: Duration = EARLIER_LATENESS_MAX;
/// Factor of that growth.
const FAST_GROWTH_FACTOR: u64 = 2;

/// Tokens by which `open` has grown when a heartbeat is late by `late`; rounded down. `rate` is in
/// tokens per second and doubles after `FAST_GROWTH_AFTER`.
pub fn late_tokens(rate: Tokens, late: Duration) -> Tokens {
    let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let fast_ms = ms(late.saturating_sub(FAST_GROWTH_AFTER));
    let grown_ms = fast_ms
        .saturating_mul(FAST_GROWTH_FACTOR - 1)
        .saturating_add(ms(late));
    rate.saturating_mul(grown_ms) / 1_000
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
    /// Growth rate of `open` from when the heartbeat is late, in tokens per second.
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

/// Rows of one era.
#[derive(Clone, Debug, Default)]
struct EraRows {
    pool: Option<Versioned<PoolRow>>,
    grants: BTreeMap<VmId, Versioned<AccountRow>>,
}

/// Result of a read of all rows of a customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadedRows {
    /// The rows of the era are known.
    Known,
    /// The store was restored, and no router has written the pool of the era yet.
    Unjoined(PoolCopy),
}

/// Draws that are committed but may not be spent yet, since too few routers know of them.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedDraws {
    tokens: Tokens,
    /// When any copy of the store includes them.
    safe_at: Instant,
}

/// One router run's cache of the rows of a customer.
#[derive(Clone, Debug)]
pub struct CustomerAccount {
    customer: CustomerId,
    vm: VmId,
    boot: BootId,
    /// Era of the cached rows.
    era: StoreEra,
    pool: Versioned<PoolRow>,
    /// Row of this VM, which may still be that of a previous run.
    own: Versioned<AccountRow>,
    /// Account of this run in earlier eras.
    carried: AccountRow,
    unconfirmed: Option<UnconfirmedDraws>,
    others_unspent: Tokens,
    all_totals: DrawMap,
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
            era: FIRST_ERA,
            pool: Versioned::default(),
            own: Versioned::default(),
            carried: AccountRow::default(),
            unconfirmed: None,
            others_unspent: 0,
            all_totals: DrawMap::new(),
            returned: 0,
            known: false,
            predecessor: None,
        }
    }

    /// Era of the cached rows.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Forgets the rows of earlier eras. The account of this run goes on as this run knows it;
    /// unconfirmed draws are dropped, since the pool of the new era may not include them.
    pub fn begin_era(&mut self, era: StoreEra) {
        let unconfirmed = self.unconfirmed.take().map_or(0, |draws| draws.tokens);
        let mut carried = self.own_account();
        carried.granted = carried.granted.saturating_sub(unconfirmed);
        carried.totals.drawn = carried.totals.drawn.saturating_sub(unconfirmed);
        self.carried = carried;
        self.era = era;
        self.pool = Versioned::default();
        self.own = Versioned::default();
        self.known = false;
    }

    /// Tokens of unconfirmed draws.
    pub fn unconfirmed(&self) -> Tokens {
        self.unconfirmed.map_or(0, |draws| draws.tokens)
    }

    /// Whether unconfirmed draws may be spent although too few routers know of them.
    pub fn is_copied(&self, now: Instant) -> bool {
        self.unconfirmed.is_none_or(|draws| draws.safe_at <= now)
    }

    /// Adds draws that other routers must know of before they are spent.
    pub fn add_unconfirmed(&mut self, tokens: Tokens, now: Instant) {
        if tokens > 0 {
            self.unconfirmed = Some(UnconfirmedDraws {
                tokens: self.unconfirmed() + tokens,
                safe_at: now + COPY_AGE_MAX,
            });
        }
    }

    /// Takes the draws that may be spent from now on.
    pub fn take_unconfirmed(&mut self) -> Tokens {
        self.unconfirmed.take().map_or(0, |draws| draws.tokens)
    }

    /// Whether this run has not written its account in the current era yet.
    pub fn is_carried(&self) -> bool {
        self.own.row.boot != self.boot
    }

    /// Totals of all VMs in the era's rows, as of the last read of all rows.
    pub fn all_totals(&self) -> &DrawMap {
        &self.all_totals
    }

    /// Totals of this VM as of the last read or commit.
    pub fn own_totals(&self) -> DrawTotals {
        let mut totals = self.carried.totals;
        totals.merge(self.own.row.totals);
        totals
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
        self.returned.saturating_sub(self.own_account().returned)
    }

    /// Adds tokens that the next change returns to the pool. They must have been removed from the
    /// ledger before, so that nothing else can spend them.
    pub fn add_return(&mut self, tokens: Tokens) {
        self.returned += tokens;
    }

    /// Loads all rows of the partition, and adds draws that are new to this run to the unconfirmed
    /// ones.
    pub fn load_all(&mut self, rows: &[StoredRow], now: Instant) -> LoadedRows {
        let mut eras: BTreeMap<StoreEra, EraRows> = BTreeMap::new();
        for row in rows {
            match parse_key(&row.key.key) {
                Some((era, None)) => {
                    eras.entry(era).or_default().pool = Some(decode(row, UNREADABLE_POOL));
                }
                Some((era, Some(vm))) => {
                    let account = decode(row, AccountRow::default());
                    eras.entry(era).or_default().grants.insert(vm, account);
                }
                None => tracing::warn!(key = ?row.key, "skipped a row with an unknown key"),
            }
        }
        let current = eras.remove(&self.era).unwrap_or_default();
        if self.era > FIRST_ERA && current.pool.is_none() {
            return LoadedRows::Unjoined(pool_copy(&eras));
        }
        let before = self.own_account().granted;
        self.pool = current.pool.unwrap_or_default();
        let own = current.grants.get(&self.vm).copied();
        self.load_own(own.unwrap_or_default());
        let others = current.grants.iter().filter(|(vm, _)| **vm != self.vm);
        self.others_unspent = others.map(|(_, account)| account.row.unspent()).sum();
        let totals = current.grants.iter();
        self.all_totals = totals
            .map(|(vm, account)| (vm.clone(), account.row.totals))
            .collect();
        self.known = true;
        let granted = self.own_account().granted.saturating_sub(before);
        self.add_unconfirmed(granted, now);
        LoadedRows::Known
    }

    /// Loads the row of this VM. The router that started the era may have found a change of this run
    /// whose outcome is unknown here. Returned tokens then do not return again. Drawn ones stay
    /// unspent: the draw may have been performed late, on rows of an earlier era that no longer count.
    fn load_own(&mut self, own: Versioned<AccountRow>) {
        self.own = own;
        let is_joined = own.version > 0 && own.row.boot == NO_BOOT;
        if is_joined && self.carried.boot == self.boot {
            let (totals, carried) = (own.row.totals, &mut self.carried);
            carried.returned += totals.returned.saturating_sub(carried.totals.returned);
            carried.totals.merge(totals);
        }
    }

    /// Transaction that starts the era: the pool with `drawn` net tokens, and the totals of all VMs.
    pub fn start_era(&self, drawn: Tokens, known: &DrawMap) -> RowTransaction {
        let pool = RowUpdate {
            key: self.pool_key(),
            value: Some(encode(&PoolRow { drawn })),
        };
        let accounts = known.iter().take(JOINED_ACCOUNTS_MAX);
        let accounts = accounts.map(|(vm, totals)| RowUpdate {
            key: self.grant_key(vm),
            // Counts as unspent until the VM's run writes what it has spent.
            value: Some(encode(&AccountRow {
                boot: NO_BOOT,
                granted: totals.drawn,
                returned: totals.returned,
                totals: *totals,
                ..AccountRow::default()
            })),
        });
        RowTransaction {
            preconditions: vec![RowPrecondition {
                key: self.pool_key(),
                version: 0,
            }],
            updates: accounts.chain([pool]).collect(),
        }
    }

    /// Loads the rows that a conflict returned; see [`load_all`](Self::load_all).
    pub fn load_conflict(&mut self, rows: &[StoredRow], now: Instant) {
        let before = self.own_account().granted;
        for row in rows {
            if row.key == self.pool_key() {
                self.pool = decode(row, UNREADABLE_POOL);
            } else if row.key == self.own_key() {
                self.load_own(decode(row, AccountRow::default()));
            }
        }
        self.known = true;
        let granted = self.own_account().granted.saturating_sub(before);
        self.add_unconfirmed(granted, now);
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
        let totals = self.own_totals();
        let own = AccountRow {
            boot: self.boot,
            granted: before.granted + draw + self.inheritable(),
            returned: before.returned + pending_return,
            received: usage.received,
            charged: usage.charged,
            open: usage.open,
            late_rate: usage.late_rate,
            totals: DrawTotals {
                drawn: totals.drawn + draw,
                returned: totals.returned + pending_return,
            },
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
        let is_stored = own == before && self.own.row.boot == self.boot;
        if is_stored || (own.granted == 0 && pending_return == 0 && self.own.version == 0) {
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
        self.own.version > 0 && ![self.boot, NO_BOOT].contains(&self.own.row.boot)
    }

    /// Account of this run as last read or written; that of the earlier eras while the row holds
    /// none.
    pub fn stored(&self) -> AccountRow {
        self.own_account()
    }

    /// See [`Self::stored`].
    fn own_account(&self) -> AccountRow {
        if self.own.row.boot == self.boot {
            self.own.row
        } else {
            self.carried
        }
    }

    fn pool_key(&self) -> RowKey {
        let key = match self.era {
            FIRST_ERA => POOL_KEY.to_owned(),
            era => format!("{ERA_POOL_PREFIX}{era}"),
        };
        RowKey::new(SPEND_TABLE, self.customer.clone(), key)
    }

    fn own_key(&self) -> RowKey {
        self.grant_key(&self.vm)
    }

    fn grant_key(&self, vm: &VmId) -> RowKey {
        let key = match self.era {
            FIRST_ERA => format!("{GRANT_PREFIX}{vm}"),
            era => format!("{ERA_GRANT_PREFIX}{era}/{vm}"),
        };
        RowKey::new(SPEND_TABLE, self.customer.clone(), key)
    }
}

/// Era of a row, and the VM if it is an account; `None` if the key is unknown.
fn parse_key(key: &str) -> Option<(StoreEra, Option<VmId>)> {
    if key == POOL_KEY {
        return Some((FIRST_ERA, None));
    }
    if let Some(vm) = key.strip_prefix(GRANT_PREFIX) {
        return Some((FIRST_ERA, Some(vm.into())));
    }
    if let Some(era) = key.strip_prefix(ERA_POOL_PREFIX) {
        return Some((era.parse().ok()?, None));
    }
    let (era, vm) = key.strip_prefix(ERA_GRANT_PREFIX)?.split_once('/')?;
    Some((era.parse().ok()?, Some(vm.into())))
}

/// Pool of the latest of some eras, and the largest totals of all of them.
fn pool_copy(eras: &BTreeMap<StoreEra, EraRows>) -> PoolCopy {
    let mut copy = PoolCopy::default();
    for rows in eras.values() {
        let totals =
            |(vm, account): (&VmId, &Versioned<AccountRow>)| (vm.clone(), account.row.totals);
        for (vm, totals) in rows.grants.iter().map(totals) {
            copy.known.entry(vm).or_default().merge(totals);
        }
        if let Some(pool) = rows.pool {
            copy.drawn = pool.row.drawn;
            copy.included = rows.grants.iter().map(totals).collect();
        }
    }
    copy
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
