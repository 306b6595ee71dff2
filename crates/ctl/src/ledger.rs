//! Shows where the tokens of each budget are, and whether they add up.

use std::collections::BTreeMap;

use {
    jasminewall_core::{BudgetId, Tokens},
    jasminewall_ports::TableRow,
    serde::Serialize,
    serde_json::{Value, json},
};

use crate::{CommandReport, ControlClient, Error, ExitKind, Result, client::parse};

/// Prefix of the rows with free tokens.
const POOL_PREFIX: &str = "pool/";
/// Prefix of the rows with the grants of holders.
const GRANT_PREFIX: &str = "grant/";
/// Times that the rows are read again when a pool changed while the grants were read.
const READ_ATTEMPTS: u32 = 5;

/// Where the tokens of one budget are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct BudgetSheet {
    prepaid: Tokens,
    free: Tokens,
    spent: Tokens,
    granted: BTreeMap<String, Tokens>,
    unresolved: Tokens,
    /// Sum of the parts less `prepaid`; 0 when the ledger adds up.
    difference: i128,
}

impl ControlClient {
    /// Shows where the tokens of every budget, or of one, are.
    ///
    /// # Errors
    ///
    /// `Refused` for an unknown budget, `Unreachable` without the platform.
    pub async fn ledger(&self, budget: Option<&str>) -> Result<CommandReport> {
        let (pools, grants, steady) = self.read_accounts().await?;
        let mut sheets = sheets_of(&pools, &grants)?;
        if let Some(budget) = budget {
            sheets.retain(|name, _| name == budget);
            if sheets.is_empty() {
                let message = format!(
                    "no tokens were ever paid into budget '{budget}'; see 'jasminectl get budget'"
                );
                return Err(Error::refused(message));
            }
        }
        let mut lines: Vec<String> = sheets
            .iter()
            .map(|(name, sheet)| sheet.text(name))
            .collect();
        let wrong = sheets
            .values()
            .filter(|sheet| sheet.difference != 0)
            .count();
        lines.push(match (sheets.len(), wrong, steady) {
            (0, _, _) => "No tokens were ever paid in.".into(),
            (_, 0, _) => "All budgets add up.".into(),
            (_, _, false) => "Tokens moved while the rows were read; repeat the command.".into(),
            (all, wrong, true) => format!("{wrong} of {all} budgets do not add up; report this."),
        });
        let exit = if wrong == 0 {
            ExitKind::Done
        } else {
            ExitKind::Refused
        };
        let json = json!({"budgets": sheets, "adds_up": wrong == 0});
        Ok(CommandReport {
            exit,
            text: lines.join("\n"),
            json,
        })
    }

    /// Reads pools and grants; the last value says that no pool changed in between.
    async fn read_accounts(&self) -> Result<(Vec<TableRow>, Vec<TableRow>, bool)> {
        let mut pools = self.ports.table.scan(POOL_PREFIX).await?;
        let mut attempt = 1;
        loop {
            let grants = self.ports.table.scan(GRANT_PREFIX).await?;
            let after = self.ports.table.scan(POOL_PREFIX).await?;
            if after == pools || attempt == READ_ATTEMPTS {
                return Ok((after.clone(), grants, after == pools));
            }
            pools = after;
            attempt += 1;
        }
    }
}

fn sheets_of(pools: &[TableRow], grants: &[TableRow]) -> Result<BTreeMap<BudgetId, BudgetSheet>> {
    let mut sheets = BTreeMap::<BudgetId, BudgetSheet>::new();
    for row in pools {
        let value: Value = parse(&row.key, &row.value)?;
        for (budget, entry) in value["budgets"].as_object().into_iter().flatten() {
            let sheet = sheets.entry(budget.as_str().into()).or_default();
            sheet.prepaid += number(entry, "prepaid");
            sheet.free += number(entry, "free");
            sheet.spent += number(entry, "spent");
        }
    }
    let mut transfers = BTreeMap::<BudgetId, i128>::new();
    for row in grants {
        let value: Value = parse(&row.key, &row.value)?;
        let holder = row.key.rsplit('/').next().unwrap_or_default();
        for (budget, account) in value["accounts"].as_object().into_iter().flatten() {
            let budget = BudgetId::from(budget.as_str());
            let sheet = sheets.entry(budget.clone()).or_default();
            let sum_in = number(account, "granted") + number(account, "received");
            let sum_out = number(account, "returned") + number(account, "given");
            let charged = number(account, "charged");
            sheet.spent += charged;
            let left = i128::from(sum_in) - i128::from(sum_out) - i128::from(charged);
            let transfer = i128::from(number(account, "given"));
            *transfers.entry(budget).or_default() +=
                transfer - i128::from(number(account, "received"));
            let tokens = Tokens::try_from(left).unwrap_or(0);
            sheet.difference += left.min(0);
            if value["closed"] == true {
                sheet.unresolved += tokens;
            } else if tokens > 0 {
                sheet.granted.insert(holder.to_owned(), tokens);
            }
        }
    }
    for (budget, sheet) in &mut sheets {
        // Tokens that a giver committed and no receiver has committed yet belong to nobody so far.
        let transit = transfers.get(budget).copied().unwrap_or(0);
        sheet.unresolved += Tokens::try_from(transit).unwrap_or(0);
        sheet.difference += transit.min(0);
        let granted: i128 = sheet.granted.values().copied().map(i128::from).sum();
        let parts = [sheet.free, sheet.spent, sheet.unresolved].map(i128::from);
        let sum = granted + parts.iter().sum::<i128>();
        sheet.difference += sum - i128::from(sheet.prepaid);
    }
    Ok(sheets)
}

/// Amount of a field; a field with one amount for each peer counts as their sum.
fn number(value: &Value, field: &str) -> Tokens {
    match &value[field] {
        Value::Object(parts) => parts.values().filter_map(Value::as_u64).sum(),
        amount => amount.as_u64().unwrap_or(0),
    }
}

impl BudgetSheet {
    fn text(&self, name: &str) -> String {
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
            more if more > 0 => {
                format!("  The parts add up to {more} tokens more than were paid in.")
            }
            less => format!(
                "  The parts add up to {} tokens less than were paid in.",
                -less
            ),
        });
        lines.join("\n")
    }
}
