//! Account of the tokens that one router may spend: grants, holds and charges.

use std::collections::HashMap;

use crate::{BudgetId, Category, Error, HolderId, RequestId, Result, Tokens};

/// Tokens that one router may spend, per budget.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    holder: HolderId,
    accounts: HashMap<BudgetId, LedgerAccount>,
    holds: HashMap<RequestId, RequestHold>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LedgerAccount {
    available: Tokens,
    charged: Tokens,
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

impl GrantLedger {
    /// Starts an empty ledger for one holder.
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder,
            accounts: HashMap::new(),
            holds: HashMap::new(),
        }
    }

    /// Router run that owns the ledger.
    pub fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// Adds tokens that the table has granted.
    pub fn credit(&mut self, budget: &BudgetId, tokens: Tokens) {
        self.accounts.entry(budget.clone()).or_default().available += tokens;
    }

    /// Tokens that new requests may hold.
    pub fn spendable(&self, budget: &BudgetId) -> Tokens {
        self.accounts
            .get(budget)
            .map_or(0, |account| account.available)
    }

    /// Tokens charged to a budget by this holder so far.
    pub fn charged(&self, budget: &BudgetId) -> Tokens {
        self.accounts
            .get(budget)
            .map_or(0, |account| account.charged)
    }

    /// Reserves the worst case of a request.
    ///
    /// # Errors
    ///
    /// `Limit` when the grant does not cover `amount`, `State` when the request has a hold already.
    pub fn hold(&mut self, budget: &BudgetId, request: &RequestId, amount: Tokens) -> Result<()> {
        if self.holds.contains_key(request) {
            return Err(Error::new(
                Category::State,
                "the request has a hold; settle it first",
            ));
        }
        let account = self.accounts.entry(budget.clone()).or_default();
        let Some(rest) = account.available.checked_sub(amount) else {
            return Err(Error::new(
                Category::Limit,
                "the grant does not cover the hold; refill it",
            ));
        };
        account.available = rest;
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
        account.available += hold.amount - tokens;
        account.charged += tokens;
        Ok(RequestCharge {
            budget: hold.budget,
            tokens,
        })
    }
}
