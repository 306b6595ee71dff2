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

use super::{RequestOutcome, commits, transfer};
use crate::state::RouterState;

/// Longest time to wait for an endpoint's list of streams.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest list of streams that is read, in bytes.
const LIST_LIMIT: usize = 4 << 20;
/// State of a listed stream that has not ended.
pub(super) const RUNNING: &str = "running";

/// State of a dead router's account after an attempt to settle it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReclaimReport {
    /// Tokens newly charged from evidence.
    pub charged: Tokens,
    /// Tokens returned to the pools.
    pub returned: Tokens,
    /// Tokens whose use is not proven yet.
    pub unresolved: Tokens,
    /// Rows that are not folded yet; call again while there are any.
    pub open_rows: u32,
}

/// Answer of an endpoint that lists its streams.
#[derive(Deserialize)]
struct StreamList {
    streams: Vec<ListedStream>,
}

/// Stream of an endpoint's list.
#[derive(Deserialize)]
pub(super) struct ListedStream {
    pub(super) request: RequestId,
    budget: Option<BudgetId>,
    pub(super) state: SmolStr,
    pub(super) usage: StreamUsage,
}

#[derive(Deserialize)]
pub(super) struct StreamUsage {
    pub(super) total_tokens: Tokens,
}

impl RouterState {
    /// Settles the account of a router run that is proven to be dead, as far as evidence allows.
    ///
    /// Call it again while rows are open: peers and endpoints that do not answer now may later.
    ///
    /// # Errors
    ///
    /// When the platform cannot be reached; what was done so far stays done.
    pub async fn reclaim(
        &self,
        dead: &HolderId,
        proof: TerminationProof,
    ) -> anyhow::Result<ReclaimReport> {
        let mut report = ReclaimReport::default();
        if *dead == self.holder {
            anyhow::bail!("this router run is alive; it returns its tokens when it stops");
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

/// One attempt at the row of one shard; `true` once it is folded.
async fn reclaim_shard(
    state: &RouterState,
    shard: ShardId,
    dead: &HolderId,
    proof: TerminationProof,
    report: &mut ReclaimReport,
) -> anyhow::Result<bool> {
    close_row(state, shard, dead, proof).await?;
    close_peers(state, dead).await;
    let evidence = gather(state, shard, dead).await?;
    settle_shard(state, shard, dead, &evidence, report).await?;
    commits::fold_row(state, shard, dead).await
}

/// Closes the row first, so that commits of a holder that is wrongly declared dead fail.
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
        anyhow::bail!("'{dead}' has not closed its row; wait for another proof of its death");
    }
    let row = GrantRow {
        closed: true,
        ..row
    };
    let key = grant_key(shard, dead);
    let write = RowWrite::replace(key, version, serde_json::to_string(&row)?);
    match state.ports.table.transact(vec![write]).await? {
        TransactOutcome::Committed => Ok(()),
        TransactOutcome::Conflict => anyhow::bail!("the row of '{dead}' changed; try again"),
    }
}

/// Ends transfers with the dead holder here and at all peers in reach.
///
/// Each writes that into its own rows with its next commit, where the settlement reads it.
async fn close_peers(state: &RouterState, dead: &HolderId) {
    state.spend.ledger().ledger.close_peer(dead);
    for peer in state.fleet.peers() {
        if let Err(error) = transfer::close_at(state, &peer, dead).await {
            tracing::warn!(%error, peer = %peer.holder, "peer does not close the dead router's transfers yet");
        }
    }
    commits::flush(state).await;
}

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
    let (own, others): (Vec<_>, Vec<_>) =
        rows.into_iter().partition(|(_, row)| row.holder == *dead);
    let Some((version, stored)) = own.into_iter().next() else {
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

/// Writes a charge line for each newly charged request that no segment names.
///
/// The lines are stored before the row, once for each request, so that a settlement that is tried
/// again adds none.
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

/// Charge lines of newly charged requests that no segment names.
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
            lines.push(line_of(state, endpoint, charge));
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

/// Charge line of a request that an endpoint lists, which does not say its route.
fn line_of(
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
        outcome: RequestOutcome::Ran.as_str().into(),
        ended_at: SystemTime::now(),
    }
}

async fn gather(
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
    let owns = |charge: &ChargeEvidence| state.shard_of(&charge.budget) == shard;
    evidence.resumed.retain(owns);
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
        .extend(noted_endpoints(&evidence.segments));
    let budgets = noted_budgets(&evidence.segments);
    for record in records.iter().filter(|record| record.lists_streams) {
        let streams = match list_streams(record, dead).await {
            Ok(streams) => streams,
            Err(error) => {
                tracing::warn!(endpoint = %record.name, %error, "endpoint does not list its streams");
                continue;
            }
        };
        let mut is_final = true;
        let mut charges = Vec::new();
        for stream in streams {
            let budget = stream
                .budget
                .or_else(|| budgets.get(&stream.request).cloned());
            let (true, Some(budget)) = (stream.state != RUNNING, budget) else {
                tracing::info!(
                    endpoint = %record.name, %dead, request = %stream.request,
                    "listed stream still runs, or its budget is not known"
                );
                is_final = false;
                continue;
            };
            charges.push(ChargeEvidence {
                request: stream.request,
                budget,
                tokens: stream.usage.total_tokens,
            });
        }
        charges.retain(owns);
        if is_final {
            evidence.listed.insert(record.name.clone(), charges);
        } else {
            // What has ended is proven, although the list as a whole is not final.
            evidence.resumed.extend(charges);
        }
    }
    Ok(evidence)
}

/// Budget of each request that the segments name.
fn noted_budgets(segments: &[SegmentRecord]) -> BTreeMap<RequestId, BudgetId> {
    let lines = segments.iter().flat_map(|segment| &segment.lines);
    let open = segments.iter().flat_map(|segment| &segment.open);
    lines
        .map(|line| (line.request.clone(), line.budget.clone()))
        .chain(open.map(|request| (request.request.clone(), request.budget.clone())))
        .collect()
}

/// Endpoints that the segments name, which may have left the configuration.
fn noted_endpoints(segments: &[SegmentRecord]) -> BTreeSet<EndpointId> {
    let lines = segments.iter().flat_map(|segment| &segment.lines);
    let open = segments.iter().flat_map(|segment| &segment.open);
    lines
        .filter_map(|line| line.endpoint.clone())
        .chain(open.filter_map(|request| request.endpoint.clone()))
        .collect()
}

/// Streams of a holder at one endpoint.
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
            anyhow::bail!("the endpoint answers {}", response.status());
        }
        let body = http_body_util::Limited::new(response.into_body(), LIST_LIMIT);
        let body = body.collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("the list cannot be read: {error}"))?;
        Ok(body.to_bytes())
    };
    let body = tokio::time::timeout(LIST_TIMEOUT, call).await??;
    let list: StreamList = serde_json::from_slice(&body)?;
    Ok(list.streams)
}
