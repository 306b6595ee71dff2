//! Explains the outcome of a request from the charge segments and claim rows.

use {
    jasminewall_core::{
        budget::grant_key,
        segment::{ChargeLine, OpenRequest, SETTLED_PREFIX, SegmentRecord},
    },
    serde_json::{Value, json},
};

use crate::{CommandReport, ControlClient, ExitKind, Result, client::parse_row};

/// Key prefix of the charge segments.
const SEGMENT_PREFIX: &str = "segment/";
/// Key prefix of the claim rows.
const CLAIM_PREFIX: &str = "claim/";
/// Prefix of the request ids that routers generate.
const REQUEST_ID_PREFIX: &str = "jw-";
/// Number of hex digits at the end of a request id, after the VM name.
const REQUEST_ID_DIGITS: usize = 16;

/// Entry for a request in the charge segments of the object store.
enum RequestRecord {
    /// The request ended and has a charge line.
    Ended {
        line: ChargeLine,
        key: String,
        is_committed: bool,
    },
    /// The request had not ended when the segment was written.
    Open { open: OpenRequest, key: String },
}

impl ControlClient {
    /// Describes the outcome of a request in one sentence, followed by the entries that the
    /// sentence is based on.
    ///
    /// # Errors
    ///
    /// `Unreachable` without the platform.
    pub async fn explain(&self, request: &str) -> Result<CommandReport> {
        let record = self.find_record(request).await?;
        let claim = self.find_claim(request).await?;
        let mut sentence = match &record {
            Some(record) => record.sentence(),
            None => describe_claim(claim.as_ref()),
        };
        let mut facts = record.iter().map(RequestRecord::fact).collect::<Vec<_>>();
        if let Some((key, value)) = &claim {
            let state = value["state"]["state"].as_str().unwrap_or("unreadable");
            facts.push(format!("claim row {key}: {state}"));
        }
        if facts.is_empty() {
            sentence = format!("No record of request {request} was found. {sentence}");
            facts.push("no charge segment and no claim row names the request".into());
        }
        let found = record.is_some() || claim.is_some();
        Ok(CommandReport {
            exit: if found {
                ExitKind::Success
            } else {
                ExitKind::Refused
            },
            text: format!("{sentence}\n  {}", facts.join("\n  ")),
            json: json!({"request": request, "sentence": sentence, "facts": facts, "found": found}),
        })
    }

    async fn find_record(&self, request: &str) -> Result<Option<RequestRecord>> {
        // A request id contains the name of the VM that accepted the request; the segments of this VM
        // are searched first.
        let vm = request.len().checked_sub(REQUEST_ID_DIGITS + 1);
        let vm = vm.and_then(|end| request.get(..end)).unwrap_or_default();
        let vm = vm.strip_prefix(REQUEST_ID_PREFIX).unwrap_or(vm);
        let vm_prefix = format!("{SEGMENT_PREFIX}{vm}.");
        let mut keys = self.ports.object.list(&vm_prefix).await?;
        let vm_key_count = keys.len();
        let all = self.ports.object.list(SEGMENT_PREFIX).await?;
        keys.extend(all.into_iter().filter(|key| !key.starts_with(&vm_prefix)));
        keys.extend(self.ports.object.list(SETTLED_PREFIX).await?);
        let mut open = None;
        for (index, key) in keys.iter().enumerate() {
            let in_settled = key.starts_with(SETTLED_PREFIX);
            if index >= vm_key_count && open.is_some() && !in_settled {
                continue;
            }
            let Some(bytes) = self.ports.object.get(key).await? else {
                continue;
            };
            let segment: SegmentRecord = parse_row(key, &String::from_utf8_lossy(&bytes))?;
            if let Some(line) = segment.lines.iter().find(|line| line.request == request) {
                return Ok(Some(RequestRecord::Ended {
                    line: line.clone(),
                    key: key.clone(),
                    is_committed: self.is_committed(&segment).await?,
                }));
            }
            if let Some(found) = segment.open.iter().find(|open| open.request == request) {
                open = Some(RequestRecord::Open {
                    open: found.clone(),
                    key: key.clone(),
                });
            }
        }
        Ok(open)
    }

    /// Returns whether the commit that a segment belongs to took effect. A grant row is deleted only
    /// after the grant is settled, so a missing row means that the commit took effect.
    async fn is_committed(&self, segment: &SegmentRecord) -> Result<bool> {
        let key = grant_key(segment.shard, &segment.holder);
        let Some(row) = self.ports.table.read(&key).await? else {
            return Ok(true);
        };
        let row: Value = parse_row(&key, &row.value)?;
        Ok(row["seq"].as_u64().unwrap_or(0) >= segment.seq)
    }

    async fn find_claim(&self, request: &str) -> Result<Option<(String, Value)>> {
        for row in self.ports.table.scan(CLAIM_PREFIX).await? {
            let value: Value = parse_row(&row.key, &row.value)?;
            if value["request"] == request {
                return Ok(Some((row.key, value)));
            }
        }
        Ok(None)
    }
}

impl RequestRecord {
    /// Returns the outcome of the request as a sentence.
    fn sentence(&self) -> String {
        match self {
            Self::Ended {
                line, is_committed, ..
            } => {
                let charge = match (line.tokens, is_committed) {
                    (0, _) => "nothing was charged".to_owned(),
                    (tokens, true) => {
                        format!("{tokens} tokens were charged to budget {}", line.budget)
                    }
                    (tokens, false) => format!(
                        "a charge of {tokens} tokens to budget {} is not committed yet",
                        line.budget
                    ),
                };
                let endpoint = line.endpoint.as_deref().unwrap_or("no endpoint");
                let customer = &line.customer;
                match line.outcome.as_str() {
                    "ran" => format!(
                        "The request of customer {customer} ran to its end at {endpoint}; {charge}."
                    ),
                    "cancelled" => format!(
                        "The caller of customer {customer} disconnected while the request ran at {endpoint}; {charge}."
                    ),
                    "failed" => format!(
                        "Endpoint {endpoint} failed while it had the request of customer {customer}; {charge}."
                    ),
                    "not_run" => {
                        format!("The request of customer {customer} did not run; {charge}.")
                    }
                    _ => format!(
                        "The request of customer {customer} may have run at {endpoint} and will not be run again; {charge}."
                    ),
                }
            }
            Self::Open { open, .. } => format!(
                "The request is running, or its router has stopped and it is not settled yet; {} tokens of budget {} are held for it.",
                open.hold, open.budget
            ),
        }
    }

    /// Describes the entry and names the object that contains it.
    fn fact(&self) -> String {
        match self {
            Self::Ended {
                line,
                key,
                is_committed,
            } => format!(
                "charge line in {key}: route {}, endpoint {}, outcome {}, {} tokens, {}",
                line.route,
                line.endpoint.as_deref().unwrap_or("none"),
                line.outcome,
                line.tokens,
                if *is_committed {
                    "committed"
                } else {
                    "not committed yet"
                }
            ),
            Self::Open { open, key } => format!(
                "open request in {key}: endpoint {}, {} tokens held",
                open.endpoint.as_deref().unwrap_or("none"),
                open.hold
            ),
        }
    }
}

fn describe_claim(claim: Option<&(String, Value)>) -> String {
    let state = claim.and_then(|(_, value)| value["state"]["state"].as_str());
    let charged = claim.map_or(0, |(_, value)| {
        value["state"]["charged"].as_u64().unwrap_or(0)
    });
    match state {
        Some("ran") => format!("The request ran once and {charged} tokens were charged."),
        Some("not_run") => "The request did not run; nothing was charged.".into(),
        Some("open") => "The request is claimed and may be running; it will not be run by anyone else.".into(),
        Some(_) => "The request may have run; it will not be run again.".into(),
        None => "Either it was refused before it was sent to an endpoint, so that it did not run and cost nothing, or its router has not committed its charges yet; ask again in a minute.".into(),
    }
}
