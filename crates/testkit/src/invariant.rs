//! Checks of the guarantees against the platform's rows and segments, what the endpoints ran and
//! what callers were reported.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use {
    anyhow::{Context, Result},
    jasminewall_core::{
        BudgetId, EndpointId, RequestId, Revision, Tokens, VmId,
        revision::{HEAD_KEY, HeadRow},
        segment::{ChargeLine, SETTLED_PREFIX, SegmentRecord},
    },
    jasminewall_ports::{PlatformPorts, TableRow},
    serde_json::Value,
};

/// Run of a request at an endpoint, as the endpoint counted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRun {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// What the caller asked for; two runs of one order have the same work.
    pub work: String,
    /// Whether the work may run more than once.
    pub idempotent: bool,
}

/// Charge that a caller was reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedCharge {
    /// Request.
    pub request: RequestId,
    /// Budget that pays.
    pub budget: BudgetId,
    /// Tokens.
    pub tokens: Tokens,
}

/// All that the checks look at; gather it after the last charges were committed.
#[derive(Clone, Debug, Default)]
pub struct FleetEvidence {
    /// Rows of the table.
    pub rows: Vec<TableRow>,
    /// Segments of the object store.
    pub segments: Vec<SegmentRecord>,
    /// Runs that the endpoints counted.
    pub runs: Vec<EndpointRun>,
    /// Charges that callers were reported, for requests that ended.
    pub reported: Vec<ReportedCharge>,
    /// Revisions that each router had in force, in the order in which they were seen.
    pub revisions: BTreeMap<VmId, Vec<Revision>>,
}

/// Guarantee that the evidence contradicts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// More was spent than was paid in.
    Overspent {
        /// Budget.
        budget: BudgetId,
        /// Tokens spent.
        spent: i128,
        /// Tokens paid in.
        prepaid: i128,
    },
    /// Tokens appeared or disappeared.
    NotConserved {
        /// Budget.
        budget: BudgetId,
        /// Sum of all parts.
        parts: i128,
        /// Tokens paid in.
        prepaid: i128,
    },
    /// A holder charged, returned or gave more than it had.
    Overdrawn {
        /// Key of the grant row.
        row: String,
        /// Budget.
        budget: BudgetId,
    },
    /// More tokens were received from peers than were given.
    TransferExceeded {
        /// Budget.
        budget: BudgetId,
    },
    /// A request has several charge lines.
    BilledTwice {
        /// Request.
        request: RequestId,
    },
    /// A request that ran has no charge line.
    NotBilled {
        /// Request.
        request: RequestId,
    },
    /// The charge line differs from what the caller was reported.
    BillMismatch {
        /// Request.
        request: RequestId,
        /// Tokens that the caller was reported.
        reported: Tokens,
        /// Tokens of the charge line.
        billed: Tokens,
    },
    /// The committed charges of a holder differ from its committed charge lines.
    LineMismatch {
        /// Key of the grant row.
        row: String,
        /// Budget.
        budget: BudgetId,
        /// Tokens charged in the row.
        charged: i128,
        /// Tokens of the lines.
        lines: i128,
    },
    /// The tokens spent differ from the sum of what callers were reported.
    SpendMismatch {
        /// Budget.
        budget: BudgetId,
        /// Sum of what callers were reported.
        reported: i128,
        /// Tokens spent.
        spent: i128,
    },
    /// Work that must run at most once ran more often.
    RanTwice {
        /// Work.
        work: String,
        /// Number of runs.
        runs: usize,
    },
    /// A router went back to an older revision.
    RevisionDecreased {
        /// VM of the router.
        vm: VmId,
    },
    /// The log of revisions has a gap, or the head names another revision than its last.
    RevisionLogMismatch {
        /// Revision.
        revision: Revision,
    },
}

impl InvariantViolation {
    /// Whether callers were told more than the rows say is spent.
    pub fn is_missing_spend(&self) -> bool {
        matches!(self, Self::SpendMismatch { reported, spent, .. } if reported > spent)
    }
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Overspent {
                budget,
                spent,
                prepaid,
            } => {
                write!(
                    f,
                    "budget {budget}: {spent} tokens are spent but only {prepaid} were paid in"
                )
            }
            Self::NotConserved {
                budget,
                parts,
                prepaid,
            } => {
                write!(
                    f,
                    "budget {budget}: free, spent and granted tokens sum to {parts} but {prepaid} were paid in"
                )
            }
            Self::Overdrawn { row, budget } => {
                write!(
                    f,
                    "row {row}: the holder used more tokens of budget {budget} than it had"
                )
            }
            Self::TransferExceeded { budget } => {
                write!(
                    f,
                    "budget {budget}: more tokens were received by transfer than were given"
                )
            }
            Self::BilledTwice { request } => write!(f, "request {request} was billed twice"),
            Self::NotBilled { request } => write!(f, "request {request} ran but was not billed"),
            Self::BillMismatch {
                request,
                reported,
                billed,
            } => {
                write!(
                    f,
                    "request {request}: {reported} tokens were reported to the caller but {billed} were billed"
                )
            }
            Self::LineMismatch {
                row,
                budget,
                charged,
                lines,
            } => {
                write!(
                    f,
                    "row {row}: {charged} tokens of budget {budget} are charged but its charge lines sum to {lines}"
                )
            }
            Self::SpendMismatch {
                budget,
                reported,
                spent,
            } => {
                write!(
                    f,
                    "budget {budget}: {reported} tokens were reported to callers but {spent} are spent"
                )
            }
            Self::RanTwice { work, runs } => write!(f, "{work} ran {runs} times"),
            Self::RevisionDecreased { vm } => write!(f, "{vm} went back to an older revision"),
            Self::RevisionLogMismatch { revision } => {
                write!(
                    f,
                    "revision {revision} is missing from the log or logged above the head"
                )
            }
        }
    }
}

impl FleetEvidence {
    /// Reads all rows and segments of a platform.
    ///
    /// # Errors
    ///
    /// When the platform cannot be reached or a segment cannot be read.
    pub async fn gather(ports: &PlatformPorts) -> Result<Self> {
        let rows = ports.table.scan("").await?;
        let mut segments = Vec::new();
        let mut keys = ports.object.list("segment/").await?;
        keys.extend(ports.object.list(SETTLED_PREFIX).await?);
        for key in keys {
            let bytes = ports.object.get(&key).await?.context("a segment is gone")?;
            segments.push(serde_json::from_slice(&bytes).with_context(|| key.clone())?);
        }
        Ok(Self {
            rows,
            segments,
            ..Self::default()
        })
    }

    /// All violations, in the order of the guarantees.
    pub fn violations(&self) -> Vec<InvariantViolation> {
        let mut violations = self.check_tokens();
        violations.extend(self.check_bills());
        violations.extend(self.check_runs());
        violations.extend(self.check_revisions());
        violations
    }

    /// Spend is within what was paid in, and tokens are conserved.
    pub fn check_tokens(&self) -> Vec<InvariantViolation> {
        let mut violations = Vec::new();
        let mut totals = BTreeMap::<BudgetId, BudgetTotal>::new();
        for (_, budget, entry) in self.entries("pool/", "budgets") {
            let total = totals.entry(budget).or_default();
            total.prepaid += number(&entry, "prepaid");
            total.spent += number(&entry, "spent");
            total.parts += ["free", "spent"]
                .map(|part| number(&entry, part))
                .iter()
                .sum::<i128>();
        }
        for (row, budget, account) in self.entries("grant/", "accounts") {
            let total = totals.entry(budget.clone()).or_default();
            let [granted, returned, received, given, charged] =
                ["granted", "returned", "received", "given", "charged"]
                    .map(|part| number(&account, part));
            total.spent += charged;
            total.parts += granted - returned;
            total.in_transit += given - received;
            if granted + received - given - returned - charged < 0 {
                violations.push(InvariantViolation::Overdrawn { row, budget });
            }
        }
        for (budget, total) in totals {
            let BudgetTotal {
                prepaid,
                spent,
                parts,
                in_transit,
            } = total;
            if spent > prepaid {
                let budget = budget.clone();
                violations.push(InvariantViolation::Overspent {
                    budget,
                    spent,
                    prepaid,
                });
            }
            if parts != prepaid {
                let budget = budget.clone();
                violations.push(InvariantViolation::NotConserved {
                    budget,
                    parts,
                    prepaid,
                });
            }
            if in_transit < 0 {
                violations.push(InvariantViolation::TransferExceeded { budget });
            }
        }
        violations
    }

    /// Each request that ended is billed exactly once, as its caller was reported.
    pub fn check_bills(&self) -> Vec<InvariantViolation> {
        let mut violations = Vec::new();
        let mut billed = BTreeMap::<&RequestId, Tokens>::new();
        let mut lines = BTreeMap::<(String, &BudgetId), i128>::new();
        for (row, line) in self.committed_lines() {
            *lines.entry((row, &line.budget)).or_default() += i128::from(line.tokens);
            if billed.insert(&line.request, line.tokens).is_some() {
                let request = line.request.clone();
                violations.push(InvariantViolation::BilledTwice { request });
            }
        }
        for (row, budget, account) in self.entries("grant/", "accounts") {
            let charged = number(&account, "charged");
            let sum = lines.get(&(row.clone(), &budget)).copied().unwrap_or(0);
            if charged != sum {
                violations.push(InvariantViolation::LineMismatch {
                    row,
                    budget,
                    charged,
                    lines: sum,
                });
            }
        }
        for reported in &self.reported {
            let request = reported.request.clone();
            match billed.get(&reported.request) {
                None if reported.tokens > 0 => {
                    violations.push(InvariantViolation::NotBilled { request });
                }
                Some(tokens) if *tokens != reported.tokens => {
                    violations.push(InvariantViolation::BillMismatch {
                        request,
                        reported: reported.tokens,
                        billed: *tokens,
                    });
                }
                _ => {}
            }
        }
        violations
    }

    /// The spend of each budget is the sum of what its callers were reported. Use it only when every
    /// caller got an answer.
    pub fn check_reported(&self) -> Vec<InvariantViolation> {
        let mut sums = BTreeMap::<BudgetId, (i128, i128)>::new();
        for reported in &self.reported {
            sums.entry(reported.budget.clone()).or_default().0 += i128::from(reported.tokens);
        }
        let pools = self.entries("pool/", "budgets").into_iter();
        for (_, budget, entry) in pools {
            sums.entry(budget).or_default().1 += number(&entry, "spent");
        }
        for (_, budget, account) in self.entries("grant/", "accounts") {
            sums.entry(budget).or_default().1 += number(&account, "charged");
        }
        let differ = sums
            .into_iter()
            .filter(|(_, (reported, spent))| reported != spent);
        differ
            .map(
                |(budget, (reported, spent))| InvariantViolation::SpendMismatch {
                    budget,
                    reported,
                    spent,
                },
            )
            .collect()
    }

    /// Tokens spent of a budget, by the rows.
    pub fn spent(&self, budget: &str) -> i128 {
        let pools = self.entries("pool/", "budgets").into_iter();
        let free = pools.map(|(_, name, entry)| (name, number(&entry, "spent")));
        let grants = self.entries("grant/", "accounts").into_iter();
        let held = grants.map(|(_, name, account)| (name, number(&account, "charged")));
        let spent = free.chain(held).filter(|(name, _)| name == budget);
        spent.map(|(_, tokens)| tokens).sum()
    }

    /// Work that is not idempotent ran at most once.
    pub fn check_runs(&self) -> Vec<InvariantViolation> {
        let mut runs = BTreeMap::<&str, usize>::new();
        for run in self.runs.iter().filter(|run| !run.idempotent) {
            *runs.entry(&run.work).or_default() += 1;
        }
        let repeated = runs.into_iter().filter(|(_, runs)| *runs > 1);
        repeated
            .map(|(work, runs)| InvariantViolation::RanTwice {
                work: work.to_owned(),
                runs,
            })
            .collect()
    }

    /// Revisions only grow, and the log has each of them.
    pub fn check_revisions(&self) -> Vec<InvariantViolation> {
        let mut violations = Vec::new();
        for (vm, seen) in &self.revisions {
            if !seen.is_sorted() {
                violations.push(InvariantViolation::RevisionDecreased { vm: vm.clone() });
            }
        }
        let head = self.rows.iter().find(|row| row.key == HEAD_KEY);
        let head = head.and_then(|row| serde_json::from_str::<HeadRow>(&row.value).ok());
        let head = head.map_or(0, |head| head.revision);
        let logged: BTreeSet<Revision> = self
            .rows
            .iter()
            .filter_map(|row| row.key.strip_prefix("config/log/")?.parse().ok())
            .collect();
        let expected: BTreeSet<Revision> = (1..=head).collect();
        let missing = logged.symmetric_difference(&expected);
        violations.extend(
            missing.map(|revision| InvariantViolation::RevisionLogMismatch {
                revision: *revision,
            }),
        );
        violations
    }

    /// Entries by budget of all rows with a prefix, with the key of the row.
    fn entries(&self, prefix: &str, field: &str) -> Vec<(String, BudgetId, Value)> {
        let mut entries = Vec::new();
        for row in self.rows.iter().filter(|row| row.key.starts_with(prefix)) {
            let value: Value = serde_json::from_str(&row.value).unwrap_or_default();
            for (budget, entry) in value[field].as_object().into_iter().flatten() {
                entries.push((row.key.clone(), budget.as_str().into(), entry.clone()));
            }
        }
        entries
    }

    /// Charge lines of committed segments, with the key of their grant row. A segment beyond the
    /// commit number of its row is evidence and no bill.
    fn committed_lines(&self) -> Vec<(String, &ChargeLine)> {
        let seqs: BTreeMap<&str, u64> = self
            .rows
            .iter()
            .filter(|row| row.key.starts_with("grant/"))
            .filter_map(|row| {
                let value: Value = serde_json::from_str(&row.value).ok()?;
                Some((row.key.as_str(), value["seq"].as_u64()?))
            })
            .collect();
        let mut lines = Vec::new();
        for segment in &self.segments {
            let key = jasminewall_core::budget::grant_key(segment.shard, &segment.holder);
            // A row that is gone was folded into the pool after all its segments were settled.
            let committed = seqs.get(key.as_str()).is_none_or(|seq| segment.seq <= *seq);
            if committed {
                lines.extend(segment.lines.iter().map(|line| (key.clone(), line)));
            }
        }
        lines
    }
}

#[derive(Default)]
struct BudgetTotal {
    prepaid: i128,
    spent: i128,
    parts: i128,
    in_transit: i128,
}

/// Amount of a field; a field with one amount for each peer counts as their sum.
fn number(value: &Value, field: &str) -> i128 {
    match &value[field] {
        Value::Object(parts) => parts
            .values()
            .filter_map(Value::as_u64)
            .map(i128::from)
            .sum(),
        amount => amount.as_u64().map_or(0, i128::from),
    }
}
