//! Settlement of the accounts of routers that are proven to be dead.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use {
    axum::body::Body,
    http_body_util::BodyExt,
    hyper::Request,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    jasminewall_core::{
        BudgetId, ConfigRecord, CustomerId, EndpointId, HolderId, RecordKind, RequestId, RouteId,
        ShardId, Tokens,
        budget::{GrantRow, grant_key, pool_key},
        member::TerminationProof,
        record::EndpointRecord,
        segment::{ChargeLine, SegmentRecord, segment_prefix, settled_key},
        settle::{ChargeEvidence, SettlementEvidence, evidence_prefix, settle_row},
    },
    jasminewall_ports::{RowWrite, TransactOutcome},
    serde::Deserialize,
    smol_str::SmolStr,
};

use super::{ChargeOutcome, commits, transfer};
use crate::state::RouterState;

/// Timeout for reading the stream list of an endpoint.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest stream list that is read.
const LIST_LIMIT_BYTES: usize = 4 << 20;
/// State of a listed stream that has not ended.
pub(super) const STREAM_RUNNING: &str = "running";

/// Account of a dead router after an attempt to settle it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReclaimReport {
    /// Tokens newly charged from evidence.
    pub charged: Tokens,
    /// Tokens returned to the pools.
    pub returned: Tokens,
    /// Tokens whose use is not proven yet.
    pub unresolved: Tokens,
    /// Grant rows that are not folded yet. Call [`RouterState::reclaim`] again while there are any.
    pub open_rows: u32,
}

/// Response of an endpoint that lists its streams.
#[derive(Deserialize)]
struct StreamList {
    streams: Vec<ListedStream>,
}

/// One stream in the list of an endpoint.
#[derive(Deserialize)]
pub(super) struct ListedStream {
    pub(super) request: RequestId,
    budget: Option<BudgetId>,
    pub(super) state: SmolStr,
    pub(super) usage: StreamUsage,
}

/// Tokens that a stream has used.
#[derive(Deserialize)]
pub(super) struct StreamUsage {
    pub(super) total_tokens: Tokens,
}

impl RouterState {
    /// Settles the account of a router run that is proven to be dead, as far as the evidence
    /// allows.
    ///
    /// Call it again while the report has open rows: peers and endpoints that do not respond now
    /// may respond later.
    ///
    /// # Errors
    ///
    /// When the platform cannot be reached. Work done before the error is kept. Also when `dead` is
    /// this router run, or when its row must be closed and `proof` does not allow that.
    pub async fn reclaim(
        &self,
        dead: &HolderId,
        proof: TerminationProof,
    ) -> anyhow::Result<ReclaimReport> {
        let mut report = ReclaimReport::default();
        if *dead == self.holder {
            anyhow::bail!("cannot reclaim the account of this router run, which is alive");
        }
        for shard in 0..self.setting.shards {
            let key = grant_key(shard, dead);
            if self.ports.table.read(&key).await?.is_none() {
                continue;
            }
            report.open_rows += 1;
            if reclaim_shard(self, shard, dead, proof, &mut report).await? {
                report.open_rows -= 1;
            }
        }
        tracing::info!(%dead, ?proof, ?report, "account of a dead router settled as far as proven");
        Ok(report)
    }
}

/// Makes one attempt to settle and fold the grant row in one shard; `true` once it is folded.
async fn reclaim_shard(
    state: &RouterState,
    shard: ShardId,
    dead: &HolderId,
    proof: TerminationProof,
    report: &mut ReclaimReport,
) -> anyhow::Result<bool> {
    close_row(state, shard, dead, proof).await?;
    close_peers(state, dead).await;
    let evidence = collect_evidence(state, shard, dead).await?;
    settle_shard(state, shard, dead, &evidence, report).await?;
    commits::fold_row(state, shard, dead).await
}

/// Closes the grant row before the settlement, so that the commits of a holder wrongly declared
/// dead fail from then on.
async fn close_row(
    state: &RouterState,
    shard: ShardId,
    dead: &HolderId,
    proof: TerminationProof,
) -> anyhow::Result<()> {
    let rows = commits::read_grants(state, shard).await?;
    let Some((version, row)) = rows.into_iter().find(|(_, row)| row.holder == *dead) else {
        return Ok(());
    };
    if row.closed {
        return Ok(());
    }
    if proof == TerminationProof::Returned {
        anyhow::bail!(
            "the grant row of '{dead}' is not closed; another proof of its death is needed"
        );
    }
    let row = GrantRow {
        closed: true,
        ..row
    };
    let key = grant_key(shard, dead);
    let write = RowWrite::replace(key, version, serde_json::to_string(&row)?);
    match state.ports.table.transact(vec![write]).await? {
        TransactOutcome::Committed => Ok(()),
        TransactOutcome::Conflict => {
            anyhow::bail!("the grant row of '{dead}' changed during the write; retry")
        }
    }
}

/// Ends transfers with the dead holder at this router and at all reachable peers.
///
/// Each of them records this in its grant rows with its next commit, and the settlement reads it
/// there.
async fn close_peers(state: &RouterState, dead: &HolderId) {
    state.spend.ledger().grants.close_peer(dead);
    for peer in state.fleet.peers() {
        if let Err(error) = transfer::request_close(state, &peer, dead).await {
            tracing::warn!(%error, peer = %peer.holder, "peer does not close the dead router's transfers yet");
        }
    }
    commits::flush(state).await;
}

/// Settles the grant row of one shard, as far as the evidence allows, and stores the result.
async fn settle_shard(
    state: &RouterState,
    shard: ShardId,
    dead: &HolderId,
    evidence: &SettlementEvidence,
    report: &mut ReclaimReport,
) -> anyhow::Result<()> {
    let Some((mut pool, pool_version)) = commits::read_pool(state, shard).await? else {
        anyhow::bail!("the pool row of shard {shard} is missing");
    };
    let before = pool.clone();
    let rows = commits::read_grants(state, shard).await?;
    let (dead_rows, others): (Vec<_>, Vec<_>) =
        rows.into_iter().partition(|(_, row)| row.holder == *dead);
    let Some((version, stored)) = dead_rows.into_iter().next() else {
        return Ok(());
    };
    let others: Vec<GrantRow> = others.into_iter().map(|(_, row)| row).collect();
    let mut row = stored.clone();
    let outcome = settle_row(&mut pool, &mut row, &others, evidence);
    report.unresolved += outcome.unresolved.values().sum::<Tokens>();
    if pool == before && row == stored {
        return Ok(());
    }
    let charged: BTreeSet<RequestId> = row.settled.difference(&stored.settled).cloned().collect();
    let lines = missing_lines(state, evidence, &charged);
    store_lines(state, shard, dead, lines).await?;
    let writes = vec![
        RowWrite::replace(pool_key(shard), pool_version, serde_json::to_string(&pool)?),
        RowWrite::replace(
            grant_key(shard, dead),
            version,
            serde_json::to_string(&row)?,
        ),
    ];
    if state.ports.table.transact(writes).await? == TransactOutcome::Committed {
        report.charged += outcome.charged.values().sum::<Tokens>();
        report.returned += outcome.returned.values().sum::<Tokens>();
    }
    Ok(())
}

/// Stores a charge line for each newly charged request that no segment contains.
///
/// Each line is stored under a key of its request and before the grant row, so that a retried
/// settlement adds no duplicates.
async fn store_lines(
    state: &RouterState,
    shard: ShardId,
    dead: &HolderId,
    lines: Vec<ChargeLine>,
) -> anyhow::Result<()> {
    for line in lines {
        let key = settled_key(dead, shard, &line.request);
        let segment = SegmentRecord {
            holder: dead.clone(),
            shard,
            seq: 0,
            lines: vec![line],
            open: Vec::new(),
        };
        let object = &state.ports.object;
        object.put_new(&key, serde_json::to_vec(&segment)?).await?;
    }
    Ok(())
}

/// Charge lines of the newly charged requests that no segment contains.
fn missing_lines(
    state: &RouterState,
    evidence: &SettlementEvidence,
    charged: &BTreeSet<RequestId>,
) -> Vec<ChargeLine> {
    let segments = evidence.segments.iter();
    let in_segments: BTreeSet<&RequestId> = segments
        .flat_map(|segment| segment.lines.iter().map(|line| &line.request))
        .collect();
    let mut lines = Vec::new();
    let mut add = |endpoint: Option<&EndpointId>, charge: &ChargeEvidence| {
        if charged.contains(&charge.request) && !in_segments.contains(&charge.request) {
            lines.push(charge_line(state, endpoint, charge));
        }
    };
    for charge in &evidence.resumed {
        add(None, charge);
    }
    for (endpoint, charges) in &evidence.listed {
        for charge in charges {
            add(Some(endpoint), charge);
        }
    }
    lines
}

/// Charge line of a request charged from evidence. The route stays empty, because the evidence does
/// not contain it.
fn charge_line(
    state: &RouterState,
    endpoint: Option<&EndpointId>,
    charge: &ChargeEvidence,
) -> ChargeLine {
    let config = state.fleet.config();
    let customer = match config.get(RecordKind::Budget, &charge.budget) {
        Some(ConfigRecord::Budget(budget)) => budget.customer.clone(),
        _ => CustomerId::default(),
    };
    ChargeLine {
        request: charge.request.clone(),
        customer,
        budget: charge.budget.clone(),
        route: RouteId::default(),
        endpoint: endpoint.cloned(),
        tokens: charge.tokens,
        outcome: ChargeOutcome::Ran.as_str().into(),
        ended_at: SystemTime::now(),
    }
}

/// Collects the evidence on a dead holder: its segments, the charges of streams that other routers
/// resumed, and the stream lists of endpoints.
async fn collect_evidence(
    state: &RouterState,
    shard: ShardId,
    dead: &HolderId,
) -> anyhow::Result<SettlementEvidence> {
    let mut evidence = SettlementEvidence::default();
    let object = &state.ports.object;
    let prefix = format!("{}{shard}/", segment_prefix(dead));
    for key in object.list(&prefix).await? {
        if let Some(value) = object.get(&key).await? {
            let segment: SegmentRecord = serde_json::from_slice(&value)?;
            evidence.segments.push(segment);
        }
    }
    for key in object.list(&evidence_prefix(dead)).await? {
        if let Some(value) = object.get(&key).await? {
            let charge: ChargeEvidence = serde_json::from_slice(&value)?;
            evidence.resumed.push(charge);
        }
    }
    let in_shard = |charge: &ChargeEvidence| state.shard_of(&charge.budget) == shard;
    evidence.resumed.retain(in_shard);
    let records: Vec<EndpointRecord> = state
        .fleet
        .config()
        .records()
        .filter_map(|record| match record {
            ConfigRecord::Endpoint(endpoint) => Some(endpoint.clone()),
            _ => None,
        })
        .collect();
    evidence.endpoints = records.iter().map(|record| record.name.clone()).collect();
    evidence
        .endpoints
        .extend(segment_endpoints(&evidence.segments));
    let budgets = segment_budgets(&evidence.segments);
    for record in records.iter().filter(|record| record.lists_streams) {
        let streams = match list_streams(record, dead).await {
            Ok(streams) => streams,
            Err(error) => {
                tracing::warn!(endpoint = %record.name, %error, "endpoint does not list its streams");
                continue;
            }
        };
        let mut all_ended = true;
        let mut charges = Vec::new();
        for stream in streams {
            let budget = stream
                .budget
                .or_else(|| budgets.get(&stream.request).cloned());
            let (true, Some(budget)) = (stream.state != STREAM_RUNNING, budget) else {
                tracing::info!(
                    endpoint = %record.name, %dead, request = %stream.request,
                    "listed stream still runs, or its budget is not known"
                );
                all_ended = false;
                continue;
            };
            charges.push(ChargeEvidence {
                request: stream.request,
                budget,
                tokens: stream.usage.total_tokens,
            });
        }
        charges.retain(in_shard);
        if all_ended {
            evidence.listed.insert(record.name.clone(), charges);
        } else {
            // The charges of ended streams are proven even while other streams still run.
            evidence.resumed.extend(charges);
        }
    }
    Ok(evidence)
}

/// Budget of each request in the segments.
fn segment_budgets(segments: &[SegmentRecord]) -> BTreeMap<RequestId, BudgetId> {
    let lines = segments.iter().flat_map(|segment| &segment.lines);
    let open = segments.iter().flat_map(|segment| &segment.open);
    lines
        .map(|line| (line.request.clone(), line.budget.clone()))
        .chain(open.map(|request| (request.request.clone(), request.budget.clone())))
        .collect()
}

/// Endpoints in the segments, including those no longer in the configuration.
fn segment_endpoints(segments: &[SegmentRecord]) -> BTreeSet<EndpointId> {
    let lines = segments.iter().flat_map(|segment| &segment.lines);
    let open = segments.iter().flat_map(|segment| &segment.open);
    lines
        .filter_map(|line| line.endpoint.clone())
        .chain(open.filter_map(|request| request.endpoint.clone()))
        .collect()
}

/// Reads the streams of a holder from one endpoint.
pub(super) async fn list_streams(
    record: &EndpointRecord,
    dead: &HolderId,
) -> anyhow::Result<Vec<ListedStream>> {
    let client: Client<_, Body> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}/v1/streams?holder={dead}", record.address);
    let request = Request::get(uri).body(Body::empty())?;
    let call = async {
        let response = client.request(request).await?;
        if !response.status().is_success() {
            anyhow::bail!("the endpoint responded with status {}", response.status());
        }
        let body = http_body_util::Limited::new(response.into_body(), LIST_LIMIT_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("cannot read the stream list: {error}"))?;
        Ok(body.to_bytes())
    };
    let body = tokio::time::timeout(LIST_TIMEOUT, call).await??;
    let list: StreamList = serde_json::from_slice(&body)?;
    Ok(list.streams)
}
