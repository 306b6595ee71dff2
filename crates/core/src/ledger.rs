//! Account of the tokens that one router may spend: grants, holds, charges and transfers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    BudgetId, Category, Error, HolderId, RequestId, Result, Tokens,
    budget::{GrantAccount, GrantRow, HolderKey, holder_key},
};

/// Tokens that one router may spend, per budget.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    holder: HolderId,
    accounts: HashMap<BudgetId, LedgerAccount>,
    holds: HashMap<RequestId, RequestHold>,
    answered: HashMap<HolderKey, (u64, Tokens)>,
    asked: HashMap<HolderKey, PendingTransfer>,
    closed_peers: BTreeSet<HolderKey>,
    closed: bool,
}

/// Account with what is not committed yet; `granted`, `returned` and `transferable` are committed.
#[derive(Clone, Debug, Default)]
struct LedgerAccount {
    row: GrantAccount,
    held: Tokens,
    returning: Tokens,
}

impl LedgerAccount {
    fn spendable(&self) -> Tokens {
        self.row
            .balance()
            .saturating_sub(self.held + self.returning)
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
    /// Budget that pays.
    pub budget: BudgetId,
    /// Tokens charged.
    pub tokens: Tokens,
}

/// Numbered request for tokens of one giver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingTransfer {
    /// Number, counted for each giver from 1.
    pub number: u64,
    /// Budget.
    pub budget: BudgetId,
    /// Least number of tokens that helps.
    pub minimum: Tokens,
    /// Number of tokens wanted.
    pub wanted: Tokens,
    /// Whether the reply has arrived.
    pub replied: bool,
}

impl GrantLedger {
    /// Starts an empty ledger for one holder.
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder,
            accounts: HashMap::new(),
            holds: HashMap::new(),
            answered: HashMap::new(),
            asked: HashMap::new(),
            closed_peers: BTreeSet::new(),
            closed: false,
        }
    }

    /// Router run that owns the ledger.
    pub fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// Adds tokens that the table has granted.
    pub fn credit(&mut self, budget: &BudgetId, tokens: Tokens) {
        self.accounts.entry(budget.clone()).or_default().row.granted += tokens;
    }

    /// Tokens that new requests may hold.
    pub fn spendable(&self, budget: &BudgetId) -> Tokens {
        if self.closed {
            return 0;
        }
        self.accounts
            .get(budget)
            .map_or(0, LedgerAccount::spendable)
    }

    /// Tokens charged to a budget by this holder so far.
    pub fn charged(&self, budget: &BudgetId) -> Tokens {
        self.accounts
            .get(budget)
            .map_or(0, |account| account.row.charged)
    }

    /// Tokens of a budget given to all peers so far.
    pub fn given(&self, budget: &BudgetId) -> Tokens {
        self.accounts
            .get(budget)
            .map_or(0, |account| account.row.given_total())
    }

    /// Tokens held by running requests of a budget.
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

    /// Whether the table refuses further commits of this holder.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Stops all spending, because the row of this holder was closed.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Reserves the worst case of a request.
    ///
    /// # Errors
    ///
    /// `Limit` when the grant does not cover `amount`, `State` when the request has a hold already
    /// or the ledger is closed.
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

    /// Replaces a hold by the actual charge, which is at most the hold.
    ///
    /// # Errors
    ///
    /// `State` when the request has no hold, so that a repeated settlement charges nothing.
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

    /// Sets tokens aside that a commit will return to the pool; says how many.
    pub fn begin_return(&mut self, budget: &BudgetId, tokens: Tokens) -> Tokens {
        let Some(account) = self.accounts.get_mut(budget) else {
            return 0;
        };
        let tokens = tokens.min(account.spendable());
        account.returning += tokens;
        tokens
    }

    /// Makes tokens spendable again whose return did not take effect.
    pub fn cancel_return(&mut self, budget: &BudgetId, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.returning = account.returning.saturating_sub(tokens);
        }
    }

    /// Copies transfers that are not committed into the next row of a shard.
    pub fn fill_row(&self, row: &mut GrantRow, owns: impl Fn(&BudgetId) -> bool) {
        for (budget, account) in self.accounts.iter().filter(|(budget, _)| owns(budget)) {
            let moved = !account.row.received.is_empty() || !account.row.given.is_empty();
            if !moved && !row.accounts.contains_key(budget) {
                continue;
            }
            let next = row.accounts.entry(budget.clone()).or_default();
            next.received.clone_from(&account.row.received);
            next.given.clone_from(&account.row.given);
            // Never lowered: transfers under the earlier allowance go on until the commit is known.
            let allowance = next.given_total() + account.spendable();
            next.transferable = next.transferable.max(allowance);
        }
    }

    /// Takes the moves of a commit that took effect into the ledger.
    pub fn apply_commit(&mut self, row: &GrantRow) {
        for (budget, stored) in &row.accounts {
            let account = self.accounts.entry(budget.clone()).or_default();
            let returned = stored.returned - account.row.returned;
            account.returning = account.returning.saturating_sub(returned);
            account.row.granted = stored.granted;
            account.row.returned = stored.returned;
            account.row.transferable = stored.transferable;
        }
    }

    /// Gives tokens to a peer. The debit comes first, and a repeat returns the first result.
    ///
    /// `keep` tokens stay here. 0 is a refusal: another run was asked, the receiver is closed, the
    /// number is out of order, or fewer than `least` tokens can be given.
    pub fn give(
        &mut self,
        giver: &HolderId,
        receiver: &HolderId,
        ask: &PendingTransfer,
        keep: Tokens,
    ) -> Tokens {
        let receiver = holder_key(receiver);
        if *giver != self.holder || self.closed || self.closed_peers.contains(&receiver) {
            return 0;
        }
        let (last, tokens) = self.answered.get(&receiver).copied().unwrap_or_default();
        if ask.number == last {
            return tokens;
        }
        if ask.number < last {
            return 0;
        }
        let Some(account) = self.accounts.get_mut(&ask.budget) else {
            self.answered.insert(receiver, (ask.number, 0));
            return 0;
        };
        let allowed = account
            .row
            .transferable
            .saturating_sub(account.row.given_total());
        let spare = account.spendable().saturating_sub(keep).min(allowed);
        let tokens = if spare < ask.minimum {
            0
        } else {
            spare.min(ask.wanted)
        };
        if tokens > 0 {
            *account.row.given.entry(receiver.clone()).or_default() += tokens;
        }
        self.answered.insert(receiver, (ask.number, tokens));
        tokens
    }

    /// Tokens of a budget that peers may still get before the next commit.
    pub fn givable(&self, budget: &BudgetId) -> Tokens {
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

    /// Next request to a giver: the unanswered one if there is one, otherwise a new one.
    ///
    /// `None` when no tokens are taken from this giver any more.
    pub fn request_transfer(
        &mut self,
        giver: &HolderId,
        budget: &BudgetId,
        least: Tokens,
        wanted: Tokens,
    ) -> Option<PendingTransfer> {
        let giver = holder_key(giver);
        if self.closed || self.closed_peers.contains(&giver) {
            return None;
        }
        let number = match self.asked.get(&giver) {
            Some(ask) if !ask.replied => return Some(ask.clone()),
            Some(ask) => ask.number + 1,
            None => 1,
        };
        let ask = PendingTransfer {
            number,
            budget: budget.clone(),
            minimum: least,
            wanted,
            replied: false,
        };
        self.asked.insert(giver, ask.clone());
        Some(ask)
    }

    /// Credits the reply to a request, once; late and repeated replies, and replies to an earlier
    /// run on the same address, change nothing.
    pub fn receive(
        &mut self,
        receiver: &HolderId,
        giver: &HolderId,
        number: u64,
        tokens: Tokens,
    ) -> bool {
        let giver = holder_key(giver);
        if *receiver != self.holder || self.closed || self.closed_peers.contains(&giver) {
            return false;
        }
        let Some(ask) = self.asked.get_mut(&giver) else {
            return false;
        };
        if ask.replied || ask.number != number {
            return false;
        }
        ask.replied = true;
        if tokens > 0 {
            let account = self.accounts.entry(ask.budget.clone()).or_default();
            *account.row.received.entry(giver).or_default() += tokens;
        }
        true
    }

    /// Exchanges no more tokens with a holder; says what was received from it, with finality.
    pub fn close_peer(&mut self, peer: &HolderId) -> BTreeMap<BudgetId, Tokens> {
        let peer = holder_key(peer);
        let accounts = self.accounts.iter();
        let received = accounts
            .filter_map(|(budget, account)| {
                Some((budget.clone(), *account.row.received.get(&peer)?))
            })
            .collect();
        self.closed_peers.insert(peer);
        received
    }

    /// Holders with which no more tokens are exchanged.
    pub fn closed_peers(&self) -> &BTreeSet<HolderKey> {
        &self.closed_peers
    }

    /// Givers that are not closed and have not answered the last request.
    pub fn pending_givers(&self) -> BTreeSet<HolderKey> {
        let open = self
            .asked
            .iter()
            .filter(|(giver, ask)| !ask.replied && !self.closed_peers.contains(*giver));
        open.map(|(giver, _)| giver.clone()).collect()
    }
}
