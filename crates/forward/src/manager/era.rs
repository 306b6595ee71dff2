//! Accounts when the store was restored from a copy; see [`draws`](crate::draws).

use std::{
    sync::{Arc, MutexGuard, PoisonError, atomic::Ordering},
    time::Instant,
};

use {
    futures_util::{StreamExt, stream},
    jasminewall_core::{CustomerId, Tokens},
    jasminewall_ports::{RowReply, StoreEra},
};

use crate::{
    account::CustomerAccount,
    budget::CustomerBudget,
    draws::{
        COPY_AGE_MAX, DrawRecord, DrawReport, JOIN_PATIENCE, PoolCopy, PoolJoin, drawn_since,
        join_pool, merge_totals,
    },
    manager::{BudgetManager, BudgetShortage, PREFETCH_CUSTOMERS, PredecessorEnd},
};

/// Number of accounts that are written into a new era at a time. Each may wait for routers that do
/// not answer.
pub(super) const ENTER_CONCURRENCY: usize = 8;

impl BudgetManager {
    /// Reads the accounts of customers whose earlier draws this router does not know, so that it can
    /// tell others of them when the store is restored.
    pub async fn learn_draws(&self, prepaid_budgets: &[(CustomerId, Tokens)]) {
        let Some(keeps_draws) = self.peers.keeps_draws() else {
            return;
        };
        if prepaid_budgets.len() > PREFETCH_CUSTOMERS || !keeps_draws {
            self.has_learned_draws.store(true, Ordering::Relaxed);
            return;
        }
        let reads = stream::iter(prepaid_budgets.to_vec()).map(async |(customer, prepaid)| {
            let budget = self.budget(&customer);
            if budget.state().knows_earlier_draws {
                return true;
            }
            if self.is_store_paused() {
                return false;
            }
            budget.raise_prepaid(prepaid);
            let mut account = budget.account.lock().await;
            let read = self.read_accounts(&budget, &mut account).await;
            if let Err(shortage) = read {
                tracing::debug!(%customer, ?shortage, "failed to read the draws of a customer");
            }
            read.is_ok()
        });
        // A starting router of a large fleet takes over its accounts after these reads.
        let concurrency = if self.is_large() {
            ENTER_CONCURRENCY
        } else {
            1
        };
        let learned = reads
            .buffer_unordered(concurrency)
            .fold(true, async |all, read| all && read)
            .await;
        if learned && !prepaid_budgets.is_empty() {
            self.has_learned_draws.store(true, Ordering::Relaxed);
        }
    }

    /// Writes this run's accounts into the current era of the store, so that a successor can take
    /// them over. Has no effect if they stand there already.
    pub async fn enter_era(&self) {
        let era = self.current_era();
        let is_first_run = *self.predecessor() == Some(PredecessorEnd::BeforeRestore);
        let has_learned = self.has_learned_draws.load(Ordering::Relaxed);
        if self.entered_era() == era || (is_first_run && !has_learned) {
            return;
        }
        let budgets: Vec<Arc<CustomerBudget>> = self.budgets().values().cloned().collect();
        let written = budgets.into_iter().map(async |budget| {
            let mut account = budget.account.lock().await;
            if account.era() == era && account.is_known() {
                return true;
            }
            let written = self.commit_change(&budget, &mut account, 0, |_| 0).await;
            if let Err(shortage) = written {
                tracing::info!(customer = %budget.customer, era, ?shortage, "an account is not written in the new era yet");
            }
            written.is_ok()
        });
        let mut written = stream::iter(written).buffer_unordered(ENTER_CONCURRENCY);
        while let Some(is_written) = written.next().await {
            if !is_written {
                return;
            }
        }
        drop(written);
        self.entered_era.store(era, Ordering::Relaxed);
        tracing::info!(era, "all accounts stand in the new era of the store");
    }

    /// Era in whose rows the accounts of this run stand. A successor that finds an earlier one than
    /// that of the store knows that the run may have drawn tokens in the lost time.
    pub fn entered_era(&self) -> StoreEra {
        self.entered_era.load(Ordering::Relaxed)
    }

    /// Remembers a draw of another router. Returns `false` if this router has already told others
    /// what it knew, in a later era.
    pub fn record_peer_draw(&self, customer: &CustomerId, record: &DrawRecord) -> bool {
        let budget = self.budget(customer);
        let mut state = budget.state();
        if record.era < self.current_era() {
            return false;
        }
        merge_totals(&mut state.known_draws, [(&record.vm, record.totals)]);
        true
    }

    /// Reports the draws that this router knows to one that starts `era`. No draw of an earlier era
    /// is spent after this.
    pub fn report_draws(&self, customer: &CustomerId, era: StoreEra) -> DrawReport {
        self.learn_era(era);
        let budget = self.budget(customer);
        let state = budget.state();
        DrawReport {
            is_complete: state.knows_earlier_draws || self.ran_since_copy(),
            follows_restore: self.follows_restore(),
            totals: state.known_draws.clone().into_iter().collect(),
        }
    }

    /// Whether this run is older than any copy that the store may have been restored from.
    fn ran_since_copy(&self) -> bool {
        self.latest_era().1 >= self.started + COPY_AGE_MAX
    }

    /// Whether the previous run on this VM may have drawn tokens in the lost time. Routers write the
    /// pools of all customers within [`COPY_AGE_MAX`] after the start; customers without one are new
    /// after that.
    fn follows_restore(&self) -> bool {
        let is_first_run = matches!(
            *self.predecessor(),
            None | Some(PredecessorEnd::BeforeRestore)
        );
        is_first_run && self.started.elapsed() < COPY_AGE_MAX
    }

    /// Latest era of the store that this router knows of.
    pub fn current_era(&self) -> StoreEra {
        self.learn_era(self.rows.era())
    }

    fn learn_era(&self, era: StoreEra) -> StoreEra {
        let mut latest = self.latest_era();
        if era > latest.0 {
            *latest = (era, Instant::now());
        }
        latest.0
    }

    fn latest_era(&self) -> MutexGuard<'_, (StoreEra, Instant)> {
        self.latest_era
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the pool of a customer at the start of an era, from what all routers remember.
    pub(super) async fn start_era(
        &self,
        budget: &CustomerBudget,
        account: &CustomerAccount,
        copy: &PoolCopy,
    ) -> Result<(), BudgetShortage> {
        let (customer, era) = (&budget.customer, account.era());
        if self.predecessor().is_none() {
            return Err(BudgetShortage::StoreAway);
        }
        let survey = self.peers.survey_draws(customer, era).await;
        let survey = survey.ok_or(BudgetShortage::StoreAway)?;
        let own = self.report_draws(customer, era);
        let (join, known) = join_pool(copy, &own, &survey);
        let complete = survey.reports.iter().filter(|report| report.is_complete);
        let complete = complete.count();
        let waits_until = self.latest_era().1 + JOIN_PATIENCE;
        let prepaid = budget.state().prepaid;
        let drawn = match join {
            PoolJoin::Complete(drawn) => drawn,
            PoolJoin::Incomplete if Instant::now() < waits_until => {
                tracing::info!(
                    %customer, era, complete, keepers = survey.keepers,
                    "too few routers remember the draws from a pool; waiting for others"
                );
                return Err(BudgetShortage::StoreAway);
            }
            PoolJoin::Incomplete => {
                tracing::error!(
                    %customer, era, complete, keepers = survey.keepers, prepaid,
                    "draws of the lost time may be unknown; the rest of the pool counts as drawn"
                );
                prepaid.max(drawn_since(copy, &known))
            }
        };
        let transaction = account.start_era(drawn, &known);
        match self.rows.transact(transaction).await {
            Ok(RowReply::Committed { .. }) => {
                tracing::info!(%customer, era, copied = copy.drawn, drawn, complete, keepers = survey.keepers, prepaid, "wrote the pool of a new era");
                Ok(())
            }
            Ok(RowReply::Conflict(_)) => Ok(()),
            Err(error) => {
                tracing::warn!(%customer, %error, "failed to write the pool of a new era");
                self.pause_store();
                Err(BudgetShortage::StoreAway)
            }
        }
    }

    /// Lets the account follow the latest era of the store.
    pub(super) fn adopt_era(&self, budget: &CustomerBudget, account: &mut CustomerAccount) {
        let era = self.current_era();
        if era > account.era() {
            account.begin_era(era);
            budget.state().begin_era();
            tracing::info!(customer = %budget.customer, era, "an account enters a new era of the store");
        }
    }

    /// Makes draws spendable as soon as enough other routers know of them.
    pub(super) async fn confirm_draws(
        &self,
        budget: &CustomerBudget,
        account: &mut CustomerAccount,
    ) {
        if account.unconfirmed() == 0 {
            return;
        }
        let record = DrawRecord {
            era: account.era(),
            vm: self.holder.vm.clone(),
            totals: account.own_totals(),
        };
        let known = self
            .peers
            .record_draw(&budget.customer, record.clone())
            .await;
        if !known && !account.is_copied(Instant::now()) {
            tracing::info!(
                customer = %budget.customer, tokens = account.unconfirmed(),
                "too few routers know of a draw; it is not spent yet"
            );
            return;
        }
        {
            let mut state = budget.state();
            if self.current_era() != account.era() {
                return;
            }
            // Reports of this router include the draw from now on.
            merge_totals(&mut state.known_draws, [(&record.vm, record.totals)]);
        }
        let tokens = account.take_unconfirmed();
        self.ledger().credit(&budget.customer, tokens);
    }
}
