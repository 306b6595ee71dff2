//! Shows how the tokens of each budget are distributed, and checks that they add up.

use std::collections::BTreeMap;

use {
    jasminewall_core::{BudgetId, Tokens},
    jasminewall_ports::TableRow,
    serde::Serialize,
    serde_json::{Value, json},
};

use crate::{CommandReport, ControlClient, Error, ExitKind, Result, client::parse_row};

/// Key prefix of the pool rows, which hold the free tokens.
const POOL_PREFIX: &str = "pool/";
/// Key prefix of the grant rows, one per holder and shard.
const GRANT_PREFIX: &str = "grant/";
/// Maximum attempts to read the grant rows while no pool row changes.
const MAX_READ_ATTEMPTS: u32 = 5;

/// Distribution of the tokens of a budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct BudgetBalance {
    prepaid: Tokens,
    free: Tokens,
    spent: Tokens,
    granted: BTreeMap<String, Tokens>,
    /// Tokens of closed grants and of transfers that no receiver has committed.
    unresolved: Tokens,
    /// Sum of the parts minus `prepaid`; 0 if they add up.
    difference: i128,
}

impl ControlClient {
    /// Shows the distribution of the tokens of one budget or of all budgets.
    ///
    /// # Errors
    ///
    /// `Refused` for an unknown budget, `Unreachable` without the platform.
    pub async fn ledger(&self, budget: Option<&str>) -> Result<CommandReport> {
        let (pools, grants, is_consistent) = self.read_rows().await?;
        let mut balances = sum_balances(&pools, &grants)?;
        if let Some(budget) = budget {
            balances.retain(|name, _| name == budget);
            if balances.is_empty() {
                let message = format!(
                    "no tokens were ever paid into budget '{budget}'; see 'jasminectl get budget'"
                );
                return Err(Error::refused(message));
            }
        }
        let mut lines: Vec<String> = balances
            .iter()
            .map(|(name, balance)| balance.to_text(name))
            .collect();
        let mismatched = balances
            .values()
            .filter(|balance| balance.difference != 0)
            .count();
        lines.push(match (balances.len(), mismatched, is_consistent) {
            (0, _, _) => "No tokens were ever paid in.".into(),
            (_, 0, _) => "All budgets add up.".into(),
            (_, _, false) => "Tokens moved while the rows were read; repeat the command.".into(),
            (all, mismatched, true) => {
                format!("{mismatched} of {all} budgets do not add up; report this.")
            }
        });
        let exit = if mismatched == 0 {
            ExitKind::Success
        } else {
            ExitKind::Refused
        };
        let json = json!({"budgets": balances, "adds_up": mismatched == 0});
        Ok(CommandReport {
            exit,
            text: lines.join("\n"),
            json,
        })
    }

    /// Reads the pool and grant rows. The flag is true if no pool row changed while the grant rows
    /// were read.
    async fn read_rows(&self) -> Result<(Vec<TableRow>, Vec<TableRow>, bool)> {
        let mut pools = self.ports.table.scan(POOL_PREFIX).await?;
        let mut attempt = 1;
        loop {
            let grants = self.ports.table.scan(GRANT_PREFIX).await?;
            let reread = self.ports.table.scan(POOL_PREFIX).await?;
            if reread == pools || attempt == MAX_READ_ATTEMPTS {
                return Ok((reread.clone(), grants, reread == pools));
            }
            pools = reread;
            attempt += 1;
        }
    }
}

/// Adds up the pool and grant rows by budget.
fn sum_balances(
    pools: &[TableRow],
    grants: &[TableRow],
) -> Result<BTreeMap<BudgetId, BudgetBalance>> {
    let mut balances = BTreeMap::<BudgetId, BudgetBalance>::new();
    for row in pools {
        let value: Value = parse_row(&row.key, &row.value)?;
        for (budget, entry) in value["budgets"].as_object().into_iter().flatten() {
            let balance = balances.entry(budget.as_str().into()).or_default();
            balance.prepaid += amount_of(entry, "prepaid");
            balance.free += amount_of(entry, "free");
            balance.spent += amount_of(entry, "spent");
        }
    }
    let mut transfers = BTreeMap::<BudgetId, i128>::new();
    for row in grants {
        let value: Value = parse_row(&row.key, &row.value)?;
        let holder = row.key.rsplit('/').next().unwrap_or_default();
        for (budget, account) in value["accounts"].as_object().into_iter().flatten() {
            let budget = BudgetId::from(budget.as_str());
            let balance = balances.entry(budget.clone()).or_default();
            let inflow = amount_of(account, "granted") + amount_of(account, "received");
            let outflow = amount_of(account, "returned") + amount_of(account, "given");
            let charged = amount_of(account, "charged");
            balance.spent += charged;
            let remaining = i128::from(inflow) - i128::from(outflow) - i128::from(charged);
            let transfer = i128::from(amount_of(account, "given"));
            *transfers.entry(budget).or_default() +=
                transfer - i128::from(amount_of(account, "received"));
            let tokens = Tokens::try_from(remaining).unwrap_or(0);
            balance.difference += remaining.min(0);
            if value["closed"] == true {
                balance.unresolved += tokens;
            } else if tokens > 0 {
                balance.granted.insert(holder.to_owned(), tokens);
            }
        }
    }
    for (budget, balance) in &mut balances {
        // Tokens in transit: the sender has committed the transfer and the receiver has not yet.
        let in_transit = transfers.get(budget).copied().unwrap_or(0);
        balance.unresolved += Tokens::try_from(in_transit).unwrap_or(0);
        balance.difference += in_transit.min(0);
        let granted: i128 = balance.granted.values().copied().map(i128::from).sum();
        let parts = [balance.free, balance.spent, balance.unresolved].map(i128::from);
        let sum = granted + parts.iter().sum::<i128>();
        balance.difference += sum - i128::from(balance.prepaid);
    }
    Ok(balances)
}

/// Returns the amount in a field. For a field with an amount per peer, returns their sum.
fn amount_of(value: &Value, field: &str) -> Tokens {
    match &value[field] {
        Value::Object(parts) => parts.values().filter_map(Value::as_u64).sum(),
        amount => amount.as_u64().unwrap_or(0),
    }
}

impl BudgetBalance {
    /// Formats the balance for the output.
    fn to_text(&self, name: &str) -> String {
        let mut lines = vec![
            format!("Budget {name}: {} tokens were paid in.", self.prepaid),
            format!("  {} are free: no router has them.", self.free),
            format!("  {} are spent: they are on the bill.", self.spent),
        ];
        for (holder, tokens) in &self.granted {
            let vm = holder
                .rsplit_once('.')
                .map_or(holder.as_str(), |(vm, _)| vm);
            lines.push(format!(
                "  {tokens} are granted to {vm}: it spends them, or holds them for running requests."
            ));
        }
        if self.unresolved > 0 {
            lines.push(format!(
                "  {} are unresolved: it is not proven yet whether they are spent, so they are neither billed nor free.",
                self.unresolved
            ));
        }
        lines.push(match self.difference {
            0 => "  The parts add up to the tokens paid in.".into(),
            excess if excess > 0 => {
                format!("  The parts add up to {excess} tokens more than were paid in.")
            }
            deficit => format!(
                "  The parts add up to {} tokens less than were paid in.",
                -deficit
            ),
        });
        lines.join("\n")
    }
}
