//! Invariant checks of the budget accounting.

use std::collections::BTreeMap;

use jasminewall_core::{
    BudgetId, RequestId, Tokens,
    budget::{GrantAccount, GrantRow, holder_key},
};

use super::{BUDGETS, SpendSchedule, TOP_UP_TOKENS, is_top_up};

impl SpendSchedule {
    /// Checks that no budget is overspent and no committed charge is lost.
    pub(super) fn check_step(&mut self) -> Result<(), String> {
        for budget in BUDGETS.map(BudgetId::from) {
            let entry = &self.table.pool.1.budgets[&budget];
            let alive = self.routers.iter().filter(|router| router.is_alive);
            let granted: Tokens = alive
                .map(|router| router.ledger.spendable(&budget) + router.ledger.held(&budget))
                .sum();
            let used: Tokens = self
                .runs
                .iter()
                .filter(|run| run.budget == budget)
                .filter(|run| run.is_settled || !self.routers[run.router].is_alive)
                .map(|run| run.tokens)
                .sum();
            if entry.free + granted + used > entry.prepaid {
                return Err(format!(
                    "{budget}: {} free, {granted} granted and {used} used tokens exceed {} prepaid",
                    entry.free, entry.prepaid
                ));
            }
            let paid = self.initial_prepaid[&budget]
                + TOP_UP_TOKENS * entry.top_ups.iter().filter(|id| is_top_up(id)).count() as Tokens;
            let lowered: Tokens = entry.lowered.values().sum();
            if entry.prepaid != paid - lowered {
                return Err(format!(
                    "{budget}: {} tokens are prepaid, but {paid} were paid in and {lowered} taken back",
                    entry.prepaid
                ));
            }
            let rows = self.table.grants.values().map(|(_, row)| row);
            let charged = entry.spent + sum(rows, &budget, |account| account.charged);
            let last_charged = self.last_charged.insert(budget.clone(), charged);
            if last_charged.is_some_and(|last| last > charged) {
                return Err(format!(
                    "{budget}: committed charges decreased to {charged} tokens"
                ));
            }
        }
        Ok(())
    }

    /// Checks that no router gave more than its committed row allows.
    pub(super) fn check_allowances(&self) -> Result<(), String> {
        for router in self.routers.iter().filter(|router| router.is_alive) {
            for budget in router.ledger.budgets() {
                let stored = router.commit.row().accounts.get(budget);
                let allowed = stored.map_or(0, |stored| stored.transferable);
                if router.ledger.given(budget) > allowed {
                    let holder = router.ledger.holder();
                    return Err(format!(
                        "{budget}: {holder} gave more than {allowed} tokens"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks after recovery that tokens are conserved and each request is billed once.
    pub(super) fn check_end(&mut self) -> Result<(), String> {
        let rows: Vec<&GrantRow> = self.table.grants.values().map(|(_, row)| row).collect();
        for budget in BUDGETS.map(BudgetId::from) {
            let entry = &self.table.pool.1.budgets[&budget];
            let balance = sum(rows.iter().copied(), &budget, |account| account.balance());
            let charged = sum(rows.iter().copied(), &budget, |account| account.charged);
            let total = entry.free + entry.spent + balance + charged;
            if total != entry.prepaid {
                return Err(format!(
                    "{budget}: free {} + spent {} + granted {balance} + charged {charged} is not \
                     the prepaid {}",
                    entry.free, entry.spent, entry.prepaid
                ));
            }
            let closed = rows.iter().copied().filter(|row| row.closed);
            let unresolved = sum(closed, &budget, |account| account.balance());
            let recorded: Tokens = entry.unresolved.values().sum();
            if unresolved != recorded {
                return Err(format!(
                    "{budget}: {unresolved} tokens are unresolved, but the pool row says {recorded}"
                ));
            }
            self.counts.unresolved += recorded;
        }
        if self.all_endpoints_list && self.counts.unresolved > 0 {
            return Err("tokens stay unresolved although all endpoints list their streams".into());
        }
        self.check_bills()
    }

    fn check_bills(&self) -> Result<(), String> {
        let mut bills = BTreeMap::<RequestId, Vec<Tokens>>::new();
        let rows = self.table.grants.values().map(|(_, row)| row);
        for row in rows.chain(&self.table.deleted) {
            let key = holder_key(&row.holder);
            let segments = self.segments.values();
            for segment in segments.filter(|segment| holder_key(&segment.holder) == key) {
                for line in segment.lines.iter().filter(|_| segment.seq <= row.seq) {
                    bills
                        .entry(line.request.clone())
                        .or_default()
                        .push(line.tokens);
                }
            }
            for request in &row.settled {
                let run = self.runs.iter().find(|run| run.request == *request);
                let tokens = run.map_or(0, |run| run.tokens);
                bills.entry(request.clone()).or_default().push(tokens);
            }
        }
        let entries = self.table.pool.1.budgets.values();
        let spent: Tokens = entries.map(|entry| entry.spent).sum();
        let rows = || self.table.grants.values().map(|(_, row)| row);
        let charged: Tokens = BUDGETS
            .map(|budget| sum(rows(), &budget.into(), |account| account.charged))
            .iter()
            .sum();
        let billed: Tokens = bills.values().flatten().sum();
        if spent + charged != billed {
            return Err(format!(
                "{} tokens are charged, but the bills sum to {billed}",
                spent + charged
            ));
        }
        for run in &self.runs {
            let billed = bills.get(&run.request).map_or(&[][..], Vec::as_slice);
            let is_unresolved = self.counts.unresolved > 0 && billed.is_empty();
            if billed != [run.tokens] && !is_unresolved && run.tokens > 0 {
                return Err(format!(
                    "request {} used {} tokens, but its bills are {billed:?}",
                    run.request, run.tokens
                ));
            }
        }
        Ok(())
    }
}

/// Sums an amount of the accounts of a budget over grant rows.
fn sum<'a>(
    rows: impl Iterator<Item = &'a GrantRow>,
    budget: &BudgetId,
    amount: impl Fn(&GrantAccount) -> Tokens,
) -> Tokens {
    rows.filter_map(|row| row.accounts.get(budget))
        .map(amount)
        .sum()
}
