//! Accounts after an outage of the store.
//!
//! Handles the load of a large fleet when the store is back: an owner of grants has overdrawn the
//! accounts of nearly all customers, and its requests get tokens again as these are written.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use {
    futures_util::{StreamExt, stream},
    jasminewall_core::Tokens,
};

use crate::{
    account::CustomerAccount,
    budget::CustomerBudget,
    manager::{BudgetManager, era::ENTER_CONCURRENCY},
};

impl BudgetManager {
    /// Writes the accounts that consumed more than they left open, while the heartbeat still counts as
    /// late, and refills the grants. Open tokens grow on until then. In large fleets only; returns
    /// `false` if a write failed.
    ///
    /// Once the router attaches, only what the accounts leave open may be consumed. Without this, all
    /// customers whose accounts were not written yet would be refused meanwhile, for seconds in a fleet
    /// whose routers all write at once.
    pub async fn write_before_attach(&self) -> bool {
        if !self.is_large() {
            return true;
        }
        // The store has just responded.
        *self.lock_pause_end() = None;
        self.write_accounts(|budget, account| self.draw_amount(budget, account, 0))
            .await
    }

    /// Writes all accounts that consumed more than they left open. Returns `false` if a write
    /// failed.
    pub async fn write_overdrawn(&self) -> bool {
        self.write_accounts(|_, _| 0).await
    }

    async fn write_accounts(
        &self,
        draw: impl Fn(&CustomerBudget, &CustomerAccount) -> Tokens + Copy,
    ) -> bool {
        let budgets: Vec<Arc<CustomerBudget>> = self.budgets().values().cloned().collect();
        let mut overdrawn: Vec<_> = budgets
            .into_iter()
            .filter(|budget| self.is_overdrawn(budget))
            .collect();
        let now = Instant::now();
        // Most callers wait for the customers with the highest demand.
        overdrawn.sort_by_cached_key(|budget| {
            let demand = budget.state().demand_rate;
            std::cmp::Reverse(demand.expected(Duration::from_secs(1), now))
        });
        let concurrency = if self.is_large() {
            ENTER_CONCURRENCY
        } else {
            1
        };
        let has_failed = AtomicBool::new(false);
        let writes = stream::iter(overdrawn).map(async |budget| {
            let mut account = budget.account.lock().await;
            if has_failed.load(Ordering::Relaxed) || !self.is_overdrawn(&budget) {
                return;
            }
            let written =
                self.commit_change(&budget, &mut account, 0, |account| draw(&budget, account));
            if written.await.is_err() {
                has_failed.store(true, Ordering::Relaxed);
            }
        });
        writes
            .buffer_unordered(concurrency)
            .for_each(async |()| {})
            .await;
        !has_failed.into_inner()
    }

    /// Whether a customer's account consumed more than it leaves open without a late heartbeat.
    fn is_overdrawn(&self, budget: &CustomerBudget) -> bool {
        self.consumed(budget) > budget.state().allowed(Duration::ZERO)
    }
}
