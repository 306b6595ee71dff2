//! Checks the guarantees of a fleet: compares the stored rows and segments with the work that
//! endpoints ran and the charges that were reported to callers.

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

/// One execution of a request, as recorded by the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRun {
    /// Endpoint that ran the request.
    pub endpoint: EndpointId,
    /// Content of the request; executions of the same order have equal work.
    pub work: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Charge that a response reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedCharge {
    /// Charged request.
    pub request: RequestId,
    /// Budget that pays for the request.
    pub budget: BudgetId,
    /// Charged tokens.
    pub tokens: Tokens,
}

/// Input of the checks; collect it after the last charges are committed.
#[derive(Clone, Debug, Default)]
pub struct FleetEvidence {
    /// All rows of the table.
    pub rows: Vec<TableRow>,
    /// All charge segments in the object store.
    pub segments: Vec<SegmentRecord>,
    /// Executions that the endpoints recorded.
    pub runs: Vec<EndpointRun>,
    /// Charges that were reported to callers, for requests that have ended.
    pub reported: Vec<ReportedCharge>,
    /// Configuration revisions in force on each router, in the order of observation.
    pub revisions: BTreeMap<VmId, Vec<Revision>>,
}

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// More tokens were spent than were paid in.
    Overspent {
        /// Budget.
        budget: BudgetId,
        /// Tokens spent.
        spent: i128,
        /// Tokens paid in.
        prepaid: i128,
    },
    /// The free, spent and granted tokens of a budget do not add up to the tokens paid in.
    NotConserved {
        /// Budget.
        budget: BudgetId,
        /// Sum of the free, spent and granted tokens.
        accounted: i128,
        /// Tokens paid in.
        prepaid: i128,
    },
    /// A holder charged, returned and gave away more tokens than it was granted and received.
    Overdrawn {
        /// Key of the grant row.
        row: String,
        /// Budget.
        budget: BudgetId,
    },
    /// Routers received more tokens by transfer than were given.
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
    /// The charge line differs from the charge reported to the caller.
    BillMismatch {
        /// Request.
        request: RequestId,
        /// Tokens reported to the caller.
        reported: Tokens,
        /// Tokens in the charge line.
        billed: Tokens,
    },
    /// The charge in a grant row differs from the sum of the committed charge lines of its holder.
    LineMismatch {
        /// Key of the grant row.
        row: String,
        /// Budget.
        budget: BudgetId,
        /// Tokens charged in the row.
        charged: i128,
        /// Sum of the tokens in the charge lines.
        lines: i128,
    },
    /// The tokens spent differ from the sum of the charges reported to callers.
    SpendMismatch {
        /// Budget.
        budget: BudgetId,
        /// Sum of the tokens reported to callers.
        reported: i128,
        /// Tokens spent.
        spent: i128,
    },
    /// Work that is not idempotent ran more than once.
    RanTwice {
        /// Content of the request.
        work: String,
        /// Number of executions.
        runs: usize,
    },
    /// A router went back to an older revision.
    RevisionDecreased {
        /// VM of the router.
        vm: VmId,
    },
    /// The log of revisions has a gap, or the head does not name the last revision in the log.
    RevisionLogMismatch {
        /// Revision that is missing from the log or logged above the head.
        revision: Revision,
    },
}

impl InvariantViolation {
    /// Whether more tokens were reported to callers than are spent according to the rows.
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
                accounted,
                prepaid,
            } => {
                write!(
                    f,
                    "budget {budget}: free, spent and granted tokens sum to {accounted} but {prepaid} were paid in"
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
    /// Reads all rows and segments from the platform; the other fields stay empty.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached or a segment cannot be read.
    pub async fn gather(ports: &PlatformPorts) -> Result<Self> {
        let rows = ports.table.scan("").await?;
        let mut segments = Vec::new();
        let mut keys = ports.object.list("segment/").await?;
        keys.extend(ports.object.list(SETTLED_PREFIX).await?);
        for key in keys {
            let bytes = ports
                .object
                .get(&key)
                .await?
                .context("a listed segment does not exist")?;
            segments.push(serde_json::from_slice(&bytes).with_context(|| key.clone())?);
        }
        Ok(Self {
            rows,
            segments,
            ..Self::default()
        })
    }

    /// Runs all checks except [`Self::check_reported`], which may only be used when every caller
    /// got a response.
    pub fn violations(&self) -> Vec<InvariantViolation> {
        let mut violations = self.check_tokens();
        violations.extend(self.check_bills());
        violations.extend(self.check_runs());
        violations.extend(self.check_revisions());
        violations
    }

    /// Checks that no budget is overspent and that tokens are conserved.
    pub fn check_tokens(&self) -> Vec<InvariantViolation> {
        let mut violations = Vec::new();
        let mut totals = BTreeMap::<BudgetId, BudgetTotal>::new();
        for (_, budget, entry) in self.entries("pool/", "budgets") {
            let total = totals.entry(budget).or_default();
            total.prepaid += amount(&entry, "prepaid");
            total.spent += amount(&entry, "spent");
            total.accounted += ["free", "spent"]
                .map(|field| amount(&entry, field))
                .iter()
                .sum::<i128>();
        }
        for (row, budget, account) in self.entries("grant/", "accounts") {
            let total = totals.entry(budget.clone()).or_default();
            let [granted, returned, received, given, charged] =
                ["granted", "returned", "received", "given", "charged"]
                    .map(|field| amount(&account, field));
            total.spent += charged;
            total.accounted += granted - returned;
            total.in_transit += given - received;
            if granted + received - given - returned - charged < 0 {
                violations.push(InvariantViolation::Overdrawn { row, budget });
            }
        }
        for (budget, total) in totals {
            let BudgetTotal {
                prepaid,
                spent,
                accounted,
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
            if accounted != prepaid {
                let budget = budget.clone();
                violations.push(InvariantViolation::NotConserved {
                    budget,
                    accounted,
                    prepaid,
                });
            }
            if in_transit < 0 {
                violations.push(InvariantViolation::TransferExceeded { budget });
            }
        }
        violations
    }

    /// Checks that each request that ended is billed exactly once, with the tokens reported to its
    /// caller.
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
            let charged = amount(&account, "charged");
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
        for charge in &self.reported {
            let request = charge.request.clone();
            match billed.get(&charge.request) {
                None if charge.tokens > 0 => {
                    violations.push(InvariantViolation::NotBilled { request });
                }
                Some(tokens) if *tokens != charge.tokens => {
                    violations.push(InvariantViolation::BillMismatch {
                        request,
                        reported: charge.tokens,
                        billed: *tokens,
                    });
                }
                _ => {}
            }
        }
        violations
    }

    /// Checks that the spend of each budget equals the sum of the charges reported to callers. Only
    /// valid when every caller got a response.
    pub fn check_reported(&self) -> Vec<InvariantViolation> {
        let mut sums = BTreeMap::<BudgetId, (i128, i128)>::new();
        for charge in &self.reported {
            sums.entry(charge.budget.clone()).or_default().0 += i128::from(charge.tokens);
        }
        let pools = self.entries("pool/", "budgets").into_iter();
        for (_, budget, entry) in pools {
            sums.entry(budget).or_default().1 += amount(&entry, "spent");
        }
        for (_, budget, account) in self.entries("grant/", "accounts") {
            sums.entry(budget).or_default().1 += amount(&account, "charged");
        }
        let mismatches = sums
            .into_iter()
            .filter(|(_, (reported, spent))| reported != spent);
        mismatches
            .map(
                |(budget, (reported, spent))| InvariantViolation::SpendMismatch {
                    budget,
                    reported,
                    spent,
                },
            )
            .collect()
    }

    /// Returns the tokens spent of a budget, according to the pool and grant rows.
    pub fn spent(&self, budget: &str) -> i128 {
        let pools = self.entries("pool/", "budgets").into_iter();
        let pool_spent = pools.map(|(_, name, entry)| (name, amount(&entry, "spent")));
        let grants = self.entries("grant/", "accounts").into_iter();
        let grant_charged = grants.map(|(_, name, account)| (name, amount(&account, "charged")));
        let spent = pool_spent
            .chain(grant_charged)
            .filter(|(name, _)| name == budget);
        spent.map(|(_, tokens)| tokens).sum()
    }

    /// Checks that work that is not idempotent ran at most once.
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

    /// Checks that the revision in force never decreases on a router, and that the log has every
    /// revision up to the head.
    pub fn check_revisions(&self) -> Vec<InvariantViolation> {
        let mut violations = Vec::new();
        for (vm, revisions) in &self.revisions {
            if !revisions.is_sorted() {
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
        let mismatched = logged.symmetric_difference(&expected);
        violations.extend(
            mismatched.map(|revision| InvariantViolation::RevisionLogMismatch {
                revision: *revision,
            }),
        );
        violations
    }

    /// Returns the entries of a field by budget, with the key of their row, for all rows with a
    /// prefix.
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

    /// Returns the charge lines of committed segments, with the key of their grant row. A segment
    /// with a higher sequence number than its row was not committed and bills nothing.
    fn committed_lines(&self) -> Vec<(String, &ChargeLine)> {
        let committed_seqs: BTreeMap<&str, u64> = self
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
            // A missing row was folded into the pool after all its segments had been settled.
            let committed = committed_seqs
                .get(key.as_str())
                .is_none_or(|seq| segment.seq <= *seq);
            if committed {
                lines.extend(segment.lines.iter().map(|line| (key.clone(), line)));
            }
        }
        lines
    }
}

/// Sums of the amounts of one budget over all pool and grant rows.
#[derive(Default)]
struct BudgetTotal {
    /// Tokens paid in.
    prepaid: i128,
    /// Tokens spent, including those charged in grant rows.
    spent: i128,
    /// Free tokens, spent tokens in pool rows, and granted tokens that were not returned.
    accounted: i128,
    /// Tokens given but not yet received by transfer.
    in_transit: i128,
}

/// Returns the amount in a field of a row; a field with one amount per peer counts as their sum.
fn amount(value: &Value, field: &str) -> i128 {
    match &value[field] {
        Value::Object(by_peer) => by_peer
            .values()
            .filter_map(Value::as_u64)
            .map(i128::from)
            .sum(),
        amount => amount.as_u64().map_or(0, i128::from),
    }
}
