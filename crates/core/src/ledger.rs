//! Ledger of the tokens that one router may spend: grants, holds, charges and transfers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    BudgetId, Category, Error, HolderId, RequestId, Result, ShardId, Tokens,
    budget::{GrantAccount, GrantRow, HolderKey, holder_key},
};

/// Tokens that one router may spend, per budget.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    holder: HolderId,
    accounts: HashMap<BudgetId, LedgerAccount>,
    holds: HashMap<RequestId, RequestHold>,
    replies: HashMap<HolderKey, (u64, Tokens)>,
    requested: HashMap<HolderKey, PendingTransfer>,
    /// Shards in which each giver is known to have a grant row. One entry for each peer that had tokens
    /// to give, removed when transfers with it end.
    giver_shards: HashMap<HolderKey, BTreeSet<ShardId>>,
    closed_peers: BTreeSet<HolderKey>,
    closed: bool,
}

/// Account including uncommitted charges and transfers; `granted`, `returned` and `transferable` are
/// committed values.
#[derive(Clone, Debug, Default)]
struct LedgerAccount {
    row: GrantAccount,
    held: Tokens,
    outgoing: Tokens,
}

impl LedgerAccount {
    fn spendable(&self) -> Tokens {
        self.row.balance().saturating_sub(self.held + self.outgoing)
    }
}

#[derive(Clone, Debug)]
struct RequestHold {
    budget: BudgetId,
    amount: Tokens,
}

/// Final charge of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestCharge {
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Tokens charged.
    pub tokens: Tokens,
}

/// Numbered transfer request to one giver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingTransfer {
    /// Sequence number per giver, starting at 1.
    pub number: u64,
    /// Budget whose tokens are requested.
    pub budget: BudgetId,
    /// Shard of the budget.
    pub shard: ShardId,
    /// Minimum number of tokens to give.
    pub minimum: Tokens,
    /// Number of tokens requested; 0 only asks how many the giver has.
    pub wanted: Tokens,
    /// Whether the reply has arrived.
    pub replied: bool,
}

impl PendingTransfer {
    /// Whether the request only asks how many tokens the giver has.
    pub fn is_inquiry(&self) -> bool {
        self.wanted == 0
    }
}

impl GrantLedger {
    /// Creates an empty ledger for one holder.
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder,
            accounts: HashMap::new(),
            holds: HashMap::new(),
            replies: HashMap::new(),
            requested: HashMap::new(),
            giver_shards: HashMap::new(),
            closed_peers: BTreeSet::new(),
            closed: false,
        }
    }

    /// Router run that owns the ledger.
    pub fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// Adds tokens granted by a committed row.
    pub fn credit(&mut self, budget: &BudgetId, tokens: Tokens) {
        self.accounts.entry(budget.clone()).or_default().row.granted += tokens;
    }

    /// Tokens available for new holds.
    pub fn spendable(&self, budget: &BudgetId) -> Tokens {
        if self.closed {
            return 0;
        }
        self.accounts
            .get(budget)
            .map_or(0, LedgerAccount::spendable)
    }

    /// Tokens that this holder has charged to a budget.
    pub fn charged(&self, budget: &BudgetId) -> Tokens {
        self.accounts
            .get(budget)
            .map_or(0, |account| account.row.charged)
    }

    /// Tokens of a budget that this holder has given to peers.
    pub fn given(&self, budget: &BudgetId) -> Tokens {
        self.accounts
            .get(budget)
            .map_or(0, |account| account.row.given_total())
    }

    /// Tokens of a budget held by running requests.
    pub fn held(&self, budget: &BudgetId) -> Tokens {
        self.accounts.get(budget).map_or(0, |account| account.held)
    }

    /// Budgets with an account.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.accounts.keys()
    }

    /// Holds of running requests, as request, budget and amount.
    pub fn holds(&self) -> impl Iterator<Item = (&RequestId, &BudgetId, Tokens)> {
        let holds = self.holds.iter();
        holds.map(|(request, hold)| (request, &hold.budget, hold.amount))
    }

    /// Whether the row of this holder is closed, so that its commits are rejected.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Stops all spending after the row of this holder was closed.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Reserves the worst-case charge of a request.
    ///
    /// # Errors
    ///
    /// `Limit` if the grant does not cover `amount`, `State` if the request already has a hold or the
    /// ledger is closed.
    pub fn hold(&mut self, budget: &BudgetId, request: &RequestId, amount: Tokens) -> Result<()> {
        if self.closed {
            return Err(Error::new(
                Category::State,
                "the account of this router run is closed; restart the router",
            ));
        }
        if self.holds.contains_key(request) {
            return Err(Error::new(
                Category::State,
                "the request has a hold; settle it first",
            ));
        }
        let account = self.accounts.entry(budget.clone()).or_default();
        if account.spendable() < amount {
            return Err(Error::new(
                Category::Limit,
                "the grant does not cover the hold; refill it",
            ));
        }
        account.held += amount;
        self.holds.insert(
            request.clone(),
            RequestHold {
                budget: budget.clone(),
                amount,
            },
        );
        Ok(())
    }

    /// Replaces a hold by the actual charge, capped at the held amount.
    ///
    /// # Errors
    ///
    /// `State` if the request has no hold, so that settling twice does not charge twice.
    pub fn settle(&mut self, request: &RequestId, tokens: Tokens) -> Result<RequestCharge> {
        let Some(hold) = self.holds.remove(request) else {
            return Err(Error::new(
                Category::State,
                "the request has no hold; it is settled already",
            ));
        };
        let tokens = tokens.min(hold.amount);
        let account = self.accounts.entry(hold.budget.clone()).or_default();
        account.held -= hold.amount;
        account.row.charged += tokens;
        Ok(RequestCharge {
            budget: hold.budget,
            tokens,
        })
    }

    /// Reserves tokens that will leave the ledger with a commit, such as a return to the pool. Returns
    /// their number, which is lower if fewer are spendable.
    pub fn reserve_outgoing(&mut self, budget: &BudgetId, tokens: Tokens) -> Tokens {
        let Some(account) = self.accounts.get_mut(budget) else {
            return 0;
        };
        let tokens = tokens.min(account.spendable());
        account.outgoing += tokens;
        tokens
    }

    /// Releases reserved tokens whose commit did not take effect.
    pub fn release_outgoing(&mut self, budget: &BudgetId, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.outgoing = account.outgoing.saturating_sub(tokens);
        }
    }

    /// Copies uncommitted transfers into the next row of a shard.
    pub fn fill_row(&self, row: &mut GrantRow, in_shard: impl Fn(&BudgetId) -> bool) {
        for (budget, account) in self.accounts.iter().filter(|(budget, _)| in_shard(budget)) {
            let moved = !account.row.received.is_empty() || !account.row.given.is_empty();
            if !moved && !row.accounts.contains_key(budget) {
                continue;
            }
            let next = row.accounts.entry(budget.clone()).or_default();
            next.received.clone_from(&account.row.received);
            next.given.clone_from(&account.row.given);
            // Never lowered: transfers may use the earlier allowance until the outcome of the commit is
            // known.
            let allowance = next.given_total() + account.spendable();
            next.transferable = next.transferable.max(allowance);
        }
    }

    /// Applies the grants and returns of a commit that took effect.
    pub fn apply_commit(&mut self, row: &GrantRow) {
        for (budget, stored) in &row.accounts {
            let account = self.accounts.entry(budget.clone()).or_default();
            let returned = stored.returned - account.row.returned;
            account.outgoing = account.outgoing.saturating_sub(returned);
            account.row.granted = stored.granted;
            account.row.returned = stored.returned;
            account.row.transferable = stored.transferable;
        }
    }

    /// Gives tokens to a peer, debited before the reply is sent; a repeated request returns the first
    /// result.
    ///
    /// `keep` tokens are not given away. Returns 0 for a refusal: the request is for another run, the
    /// receiver is closed, the number is outdated, or less than the minimum can be given.
    pub fn give(
        &mut self,
        giver: &HolderId,
        receiver: &HolderId,
        transfer: &PendingTransfer,
        keep: Tokens,
    ) -> Tokens {
        let receiver = holder_key(receiver);
        if *giver != self.holder || self.closed || self.closed_peers.contains(&receiver) {
            return 0;
        }
        let (last, tokens) = self.replies.get(&receiver).copied().unwrap_or_default();
        if transfer.number == last {
            return tokens;
        }
        if transfer.number < last {
            return 0;
        }
        let Some(account) = self.accounts.get_mut(&transfer.budget) else {
            self.replies.insert(receiver, (transfer.number, 0));
            return 0;
        };
        let allowed = account
            .row
            .transferable
            .saturating_sub(account.row.given_total());
        let available = account.spendable().saturating_sub(keep).min(allowed);
        let tokens = if available < transfer.minimum {
            0
        } else {
            available.min(transfer.wanted)
        };
        if tokens > 0 {
            *account.row.given.entry(receiver.clone()).or_default() += tokens;
        }
        self.replies.insert(receiver, (transfer.number, tokens));
        tokens
    }

    /// Tokens of a budget that may still be given to peers before the next commit.
    pub fn transfer_limit(&self, budget: &BudgetId) -> Tokens {
        if self.closed {
            return 0;
        }
        self.accounts.get(budget).map_or(0, |account| {
            let allowed = account
                .row
                .transferable
                .saturating_sub(account.row.given_total());
            account.spendable().min(allowed)
        })
    }

    /// Returns the pending transfer request to a giver, or creates a new one.
    ///
    /// The first request to a giver in a shard is an inquiry. The row of this holder can be folded
    /// while a giver without a row is not known to the settlement, and tokens that this giver sent in
    /// reply to a late request would be lost. So tokens are requested only from givers with a row.
    ///
    /// `None` if the ledger or the giver is closed.
    pub fn request_transfer(
        &mut self,
        giver: &HolderId,
        shard: ShardId,
        budget: &BudgetId,
        minimum: Tokens,
        wanted: Tokens,
    ) -> Option<PendingTransfer> {
        let giver = holder_key(giver);
        if self.closed || self.closed_peers.contains(&giver) {
            return None;
        }
        let number = match self.requested.get(&giver) {
            Some(transfer) if !transfer.replied => return Some(transfer.clone()),
            Some(transfer) => transfer.number + 1,
            None => 1,
        };
        let has_row = self
            .giver_shards
            .get(&giver)
            .is_some_and(|shards| shards.contains(&shard));
        let (minimum, wanted) = if has_row { (minimum, wanted) } else { (0, 0) };
        let transfer = PendingTransfer {
            number,
            budget: budget.clone(),
            shard,
            minimum,
            wanted,
            replied: false,
        };
        self.requested.insert(giver, transfer.clone());
        Some(transfer)
    }

    /// Credits the reply to a transfer request once. Late and repeated replies, and replies to an
    /// earlier run on the same address, have no effect.
    ///
    /// `remaining` are the tokens that the giver can still transfer, which only a giver with a grant row
    /// has.
    pub fn receive(
        &mut self,
        receiver: &HolderId,
        giver: &HolderId,
        number: u64,
        tokens: Tokens,
        remaining: Tokens,
    ) -> bool {
        let giver = holder_key(giver);
        if *receiver != self.holder || self.closed || self.closed_peers.contains(&giver) {
            return false;
        }
        let Some(transfer) = self.requested.get_mut(&giver) else {
            return false;
        };
        if transfer.replied || transfer.number != number {
            return false;
        }
        transfer.replied = true;
        if remaining > 0 {
            let shards = self.giver_shards.entry(giver.clone()).or_default();
            shards.insert(transfer.shard);
        }
        if tokens > 0 {
            let account = self.accounts.entry(transfer.budget.clone()).or_default();
            *account.row.received.entry(giver).or_default() += tokens;
        }
        true
    }

    /// Ends all transfers with a holder and returns the final amounts received from it.
    pub fn close_peer(&mut self, peer: &HolderId) -> BTreeMap<BudgetId, Tokens> {
        let peer = holder_key(peer);
        let accounts = self.accounts.iter();
        let received = accounts
            .filter_map(|(budget, account)| {
                Some((budget.clone(), *account.row.received.get(&peer)?))
            })
            .collect();
        self.giver_shards.remove(&peer);
        self.closed_peers.insert(peer);
        received
    }

    /// Holders with which transfers have ended.
    pub fn closed_peers(&self) -> &BTreeSet<HolderKey> {
        &self.closed_peers
    }

    /// Givers that are not closed and have not replied to the last request.
    pub fn pending_givers(&self) -> BTreeSet<HolderKey> {
        let open = self
            .requested
            .iter()
            .filter(|(giver, transfer)| !transfer.replied && !self.closed_peers.contains(*giver));
        open.map(|(giver, _)| giver.clone()).collect()
    }
}
