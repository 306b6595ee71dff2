//! Guards against wrong charges, lost tokens and false refusals by whole routers under faults.
#![expect(clippy::unwrap_used, reason = "helpers panic to fail the test")]

use std::{sync::Arc, time::Duration};

use {
    bytes::Bytes,
    futures_util::future::join_all,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    jasminewall_core::{
        ConfigDelta, ConfigRecord, HolderId, Tokens,
        budget::{GrantRow, PoolEntry, PoolRow, pool_key},
        member::TerminationProof,
        record::{BudgetRecord, SCHEMA_NEWEST},
        revision::{ConfigChange, HEAD_KEY, HeadRow, log_key},
        shard_of,
    },
    jasminewall_ports::{FaultPlan, RowWrite, TablePort},
    jasminewall_router::EmbeddedFleet,
    jasminewall_testkit::loopback::unique_loopback,
    serde_json::{Value, json},
};

const BUDGET: &str = "parish-2026";
const OTHER_BUDGET: &str = "parish-lamps";
const SHARDS: u32 = 4;
/// Charge of one request: two prompt tokens and eight output tokens.
const REQUEST_COST: Tokens = 10;

/// Upper limit of the tokens held for one request: the bytes of its body and its maximum output.
const MAX_HOLD: Tokens = 140;

struct CompletionResponse {
    status: u16,
    charged: Tokens,
    body: Value,
}

async fn start() -> EmbeddedFleet {
    let fleet = start_embedded().await;
    for router in &fleet.routers {
        while !router.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    // Routers know their peers after the next probe.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet
}

/// Starts an embedded fleet. The fleet chooses its peer ports before it binds them, so a concurrent
/// test can take one of them in between; the start is then repeated.
async fn start_embedded() -> EmbeddedFleet {
    loop {
        match EmbeddedFleet::start(unique_loopback().into()).await {
            Ok(fleet) => return fleet,
            Err(error) => {
                let error = error.downcast::<std::io::Error>().unwrap();
                assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse, "{error}");
            }
        }
    }
}

async fn complete(fleet: &EmbeddedFleet, router: usize, budget: &str) -> CompletionResponse {
    complete_up_to(fleet, router, budget, 8).await
}

async fn complete_up_to(
    fleet: &EmbeddedFleet,
    router: usize,
    budget: &str,
    tokens: u64,
) -> CompletionResponse {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let body = json!({"model": "glass-7b", "max_tokens": tokens,
        "messages": [{"role": "user", "content": "two words"}]});
    let url = format!(
        "http://{}/v1/chat/completions",
        fleet.routers[router].address
    );
    let request = Request::post(url)
        .header("authorization", "Bearer sample-key-parish")
        .header("content-type", "application/json")
        .header("x-jasminewall-budget", budget)
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let response = client.request(request).await.unwrap();
    let charged = response.headers().get("x-jasminewall-charged");
    let charged = charged.map_or(0, |value| value.to_str().unwrap().parse().unwrap());
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    CompletionResponse {
        status,
        charged,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    }
}

fn table(fleet: &EmbeddedFleet) -> Arc<dyn TablePort> {
    fleet.platform.ports().table
}

async fn update_pool(fleet: &EmbeddedFleet, budget: &str, update: impl Fn(&mut PoolEntry)) {
    let key = pool_key(shard_of(budget, SHARDS));
    let row = table(fleet).read(&key).await.unwrap();
    let mut pool = row.as_ref().map_or_else(PoolRow::default, |row| {
        serde_json::from_str(&row.value).unwrap()
    });
    update(pool.budgets.entry(budget.into()).or_default());
    let version = row.map_or(0, |row| row.version);
    let write = RowWrite::replace(key, version, serde_json::to_string(&pool).unwrap());
    table(fleet).transact(vec![write]).await.unwrap();
}

/// Replaces the tokens of a budget by one top-up, before any of them is granted.
async fn prepay(fleet: &EmbeddedFleet, budget: &str, tokens: Tokens) {
    update_pool(fleet, budget, |entry| {
        *entry = PoolEntry::default();
        entry.top_up(&"first".into(), tokens);
    })
    .await;
}

async fn pool_entry(fleet: &EmbeddedFleet, budget: &str) -> PoolEntry {
    let row = table(fleet).read(&pool_key(shard_of(budget, SHARDS))).await;
    let pool: PoolRow = serde_json::from_str(&row.unwrap().unwrap().value).unwrap();
    pool.budgets[budget].clone()
}

async fn grant_rows(fleet: &EmbeddedFleet) -> Vec<GrantRow> {
    let rows = table(fleet).scan("grant/").await.unwrap();
    let rows = rows
        .iter()
        .map(|row| serde_json::from_str(&row.value).unwrap());
    rows.collect()
}

/// Stops all routers and checks the charged total and that no tokens were lost or created.
async fn stop_and_check(mut fleet: EmbeddedFleet, budget: &str, total_charged: Tokens) {
    fleet.platform.set_faults(FaultPlan::default());
    for router in std::mem::take(&mut fleet.routers) {
        router.stop().await;
    }
    let entry = pool_entry(&fleet, budget).await;
    let rows = grant_rows(&fleet).await;
    let accounts = || rows.iter().filter_map(|row| row.accounts.get(budget));
    let charged: Tokens = accounts().map(|account| account.charged).sum();
    let balance: Tokens = accounts().map(|account| account.balance()).sum();
    assert_eq!(
        entry.spent + charged,
        total_charged,
        "wrong charged total: {entry:?} {rows:?}"
    );
    assert_eq!(
        entry.free + entry.spent + charged + balance,
        entry.prepaid,
        "tokens are not conserved: {entry:?} {rows:?}"
    );
    fleet.stop().await;
}

/// Publishes records as revision 2 and waits until it is in force.
async fn configure(fleet: &EmbeddedFleet, records: Vec<ConfigRecord>) {
    let delta = ConfigDelta {
        revision: 2,
        schema: SCHEMA_NEWEST,
        changes: records.into_iter().map(ConfigChange::Put).collect(),
    };
    let head = table(fleet).read(HEAD_KEY).await.unwrap().unwrap();
    let row = serde_json::to_string(&HeadRow { revision: 2 }).unwrap();
    let writes = vec![
        RowWrite::create(log_key(2), serde_json::to_string(&delta).unwrap()),
        RowWrite::replace(HEAD_KEY, head.version, row),
    ];
    table(fleet).transact(writes).await.unwrap();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
}

fn table_outage() -> FaultPlan {
    FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    }
}

/// Guards against a second transfer or charge when the response to a write that took effect is
/// lost.
#[tokio::test]
async fn lost_responses_change_nothing() {
    let fleet = start().await;
    prepay(&fleet, BUDGET, 5_000).await;
    let mut total_charged = 0;
    for round in 0..12 {
        fleet.platform.set_faults(FaultPlan {
            lose_answers: 1,
            ..FaultPlan::default()
        });
        let response = complete(&fleet, round % 3, BUDGET).await;
        assert_eq!(response.status, 200, "{}", response.body);
        total_charged += response.charged;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    assert_eq!(total_charged, 12 * REQUEST_COST);
    stop_and_check(fleet, BUDGET, total_charged).await;
}

/// Guards against refusals while a router has granted tokens, and against an unbounded backlog of
/// uncommitted charges.
#[tokio::test]
async fn table_outage_is_bridged_by_grants() {
    let fleet = start().await;
    let mut total_charged = complete(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.platform.set_faults(table_outage());
    for _ in 0..10 {
        let response = complete(&fleet, 0, BUDGET).await;
        assert_eq!(response.status, 200, "{}", response.body);
        total_charged += response.charged;
    }
    // This router has no grant row, so it cannot receive tokens and must not report the budget as
    // spent.
    let refused = complete(&fleet, 1, BUDGET).await;
    assert_eq!(refused.body["code"], "tokens_out_of_reach");
    assert_eq!(refused.body["ran"], "no");
    fleet.routers[0].state.set_backlog_limit(10);
    let refused = complete(&fleet, 0, BUDGET).await;
    assert_eq!(refused.body["code"], "charge_backlog_full");
    fleet.platform.set_faults(FaultPlan::default());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let response = complete(&fleet, 0, BUDGET).await;
    assert_eq!(response.status, 200, "{}", response.body);
    total_charged += response.charged;
    stop_and_check(fleet, BUDGET, total_charged).await;
}

/// Guards against a refusal that reports a budget as spent while the table cannot be read, and
/// against a top-up that counts twice.
#[tokio::test]
async fn top_up_during_an_outage_counts_once() {
    let fleet = start().await;
    prepay(&fleet, BUDGET, 200).await;
    let mut total_charged = 0;
    let spent = loop {
        let response = complete(&fleet, 0, BUDGET).await;
        total_charged += response.charged;
        if response.status != 200 {
            break response;
        }
    };
    assert_eq!(spent.body["code"], "budget_spent", "{}", spent.body);
    let remaining = format!("{} tokens left", 200 - total_charged);
    let detail = spent.body["detail"].as_str().unwrap();
    assert!(detail.contains(&remaining), "{detail}");
    fleet.platform.set_faults(table_outage());
    let refused = complete(&fleet, 0, BUDGET).await;
    assert_eq!(refused.body["code"], "tokens_out_of_reach");
    for _ in 0..2 {
        fleet.platform.set_faults(FaultPlan::default());
        update_pool(&fleet, BUDGET, |entry| {
            entry.top_up(&"second".into(), 1_000);
        })
        .await;
        fleet.platform.set_faults(table_outage());
    }
    let refused = complete(&fleet, 0, BUDGET).await;
    assert_eq!(refused.body["code"], "tokens_out_of_reach");
    fleet.platform.set_faults(FaultPlan::default());
    assert_eq!(pool_entry(&fleet, BUDGET).await.prepaid, 1_200);
    let response = complete(&fleet, 0, BUDGET).await;
    assert_eq!(response.status, 200, "{}", response.body);
    total_charged += response.charged;
    stop_and_check(fleet, BUDGET, total_charged).await;
}

/// Guards against tokens that are lost, or returned to the pool although a killed router may have
/// spent them.
#[tokio::test]
async fn killed_router_is_settled_from_its_segments() {
    let mut fleet = start().await;
    prepay(&fleet, BUDGET, 2_000).await;
    let mut total_charged = complete(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    // Segments can still be stored while the rows cannot be written.
    fleet.platform.set_faults(table_outage());
    total_charged += complete(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let dead: HolderId = fleet.routers[0].state.holder.clone();
    drop(fleet.routers.remove(0));
    fleet.platform.set_faults(FaultPlan::default());
    let reclaimer = fleet.routers[0].state.clone();
    let report = reclaimer
        .reclaim(&dead, TerminationProof::LeftList)
        .await
        .unwrap();
    assert_eq!(report.charged, REQUEST_COST, "{report:?}");
    assert_eq!(report.open_rows, 1, "{report:?}");
    let again = reclaimer
        .reclaim(&dead, TerminationProof::LeftList)
        .await
        .unwrap();
    assert_eq!((again.charged, again.unresolved), (0, report.unresolved));
    let entry = pool_entry(&fleet, BUDGET).await;
    assert_eq!(entry.unresolved.values().sum::<Tokens>(), report.unresolved);
    assert_eq!(
        entry.free + report.unresolved + total_charged,
        entry.prepaid
    );
    assert!(report.unresolved > 0);
    // More than is available: the refusal must mention the unresolved tokens and must not report
    // the budget as spent.
    let refused = complete_up_to(&fleet, 0, BUDGET, entry.free).await;
    assert_eq!(refused.body["code"], "tokens_out_of_reach");
    let detail = refused.body["detail"].as_str().unwrap();
    assert!(detail.contains("unresolved"), "{detail}");
    stop_and_check(fleet, BUDGET, total_charged).await;
}

/// Guards against a refusal of one budget because another budget of the customer is spent.
#[tokio::test]
async fn two_budgets_of_one_customer_are_independent() {
    let fleet = start().await;
    let record = BudgetRecord {
        name: OTHER_BUDGET.into(),
        customer: "parish".into(),
    };
    configure(&fleet, vec![ConfigRecord::Budget(record)]).await;
    prepay(&fleet, BUDGET, 1_000).await;
    prepay(&fleet, OTHER_BUDGET, 160).await;
    let mut total_charged = [0, 0];
    let mut refused = 0;
    for round in 0..8 {
        for (index, budget) in [BUDGET, OTHER_BUDGET].into_iter().enumerate() {
            let response = complete(&fleet, round % 3, budget).await;
            total_charged[index] += response.charged;
            if budget == BUDGET {
                assert_eq!(response.status, 200, "{}", response.body);
            } else if response.status != 200 {
                refused += 1;
            }
        }
    }
    assert_eq!(total_charged[0], 8 * REQUEST_COST);
    assert!(refused > 0 && total_charged[1] <= 160);
    assert_eq!(pool_entry(&fleet, OTHER_BUDGET).await.prepaid, 160);
    stop_and_check(fleet, BUDGET, total_charged[0]).await;
}

/// Guards against a separate table write for each request that waits for the same refill.
#[tokio::test]
async fn concurrent_refills_share_one_write() {
    let fleet = start().await;
    let requests = (0..30).map(|_| complete(&fleet, 0, BUDGET));
    let responses = join_all(requests).await;
    assert!(responses.iter().all(|response| response.status == 200));
    let step = grant_rows(&fleet)
        .await
        .iter()
        .map(|row| row.step)
        .sum::<u64>();
    assert!(step <= 5, "{step} commits for 30 concurrent requests");
    let total_charged = responses.iter().map(|response| response.charged).sum();
    stop_and_check(fleet, BUDGET, total_charged).await;
}

/// Guards against refusals while a reachable peer has tokens, and against transfers that lose or
/// duplicate tokens.
#[tokio::test]
async fn peers_supply_tokens_during_an_outage() {
    let fleet = start().await;
    prepay(&fleet, BUDGET, 700).await;
    let mut total_charged = 0;
    for router in [0, 1] {
        let response = complete(&fleet, router, BUDGET).await;
        assert_eq!(response.status, 200, "{}", response.body);
        total_charged += response.charged;
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.platform.set_faults(table_outage());
    let routers = fleet.routers.iter().take(2);
    let holders: Vec<HolderId> = routers.map(|router| router.state.holder.clone()).collect();
    fleet.platform.set_faults(FaultPlan::default());
    let rows = grant_rows(&fleet).await;
    fleet.platform.set_faults(table_outage());
    let balance: Tokens = rows
        .iter()
        .filter(|row| holders.contains(&row.holder))
        .map(|row| row.accounts[BUDGET].balance())
        .sum();
    let mut served = 0;
    let mut consecutive_refusals = 0;
    for round in 0..100 {
        let response = complete(&fleet, round % 2, BUDGET).await;
        total_charged += response.charged;
        if response.status == 200 {
            (served, consecutive_refusals) = (served + 1, 0);
            continue;
        }
        assert_eq!(response.body["code"], "tokens_out_of_reach");
        consecutive_refusals += 1;
        if consecutive_refusals == 2 {
            break;
        }
    }
    assert_eq!(consecutive_refusals, 2, "the granted tokens never ran out");
    // Together, both routers have fewer tokens left than one request may hold.
    let left = balance - served * REQUEST_COST;
    assert!(
        left < MAX_HOLD,
        "{left} of {balance} tokens are left after {served} requests"
    );
    fleet.platform.set_faults(FaultPlan::default());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let rows = grant_rows(&fleet).await;
    let accounts = rows.iter().filter_map(|row| row.accounts.get(BUDGET));
    let received: Tokens = accounts.map(|account| account.received_total()).sum();
    assert!(received > 0, "no transfer took place: {rows:?}");
    stop_and_check(fleet, BUDGET, total_charged).await;
}

/// Guards against tokens that stay unresolved although every endpoint lists its streams, and
/// against a second charge for a stream that a segment already charges.
#[tokio::test]
async fn listed_streams_leave_no_tokens_unresolved() {
    let mut fleet = start().await;
    prepay(&fleet, BUDGET, 2_000).await;
    let mut total_charged = complete(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    // Neither a segment nor a row records this request; only the endpoint lists it.
    fleet.platform.set_faults(FaultPlan {
        object_down: true,
        ..FaultPlan::default()
    });
    let response = complete(&fleet, 0, BUDGET).await;
    total_charged += response.charged;
    let dead = fleet.routers[0].state.holder.clone();
    drop(fleet.routers.remove(0));
    fleet.platform.set_faults(FaultPlan::default());
    let list = json!([{"request": response.body["id"], "budget": BUDGET, "state": "ended",
        "usage": {"total_tokens": response.charged}}]);
    let row = table(&fleet).read(&log_key(1)).await.unwrap().unwrap();
    let delta: ConfigDelta = serde_json::from_str(&row.value).unwrap();
    let mut records = Vec::new();
    for change in delta.changes {
        if let ConfigChange::Put(ConfigRecord::Endpoint(mut endpoint)) = change {
            // The first endpoint lists the stream, the others list none.
            let list = if records.is_empty() {
                list.clone()
            } else {
                json!([])
            };
            endpoint.address = serve_streams(list).await.to_string().into();
            endpoint.lists_streams = true;
            records.push(ConfigRecord::Endpoint(endpoint));
        }
    }
    configure(&fleet, records).await;
    let reclaimer = fleet.routers[0].state.clone();
    let report = reclaimer
        .reclaim(&dead, TerminationProof::LeftList)
        .await
        .unwrap();
    assert_eq!(report.charged, REQUEST_COST, "{report:?}");
    assert_eq!((report.unresolved, report.open_rows), (0, 0), "{report:?}");
    let entry = pool_entry(&fleet, BUDGET).await;
    assert_eq!(
        (entry.spent, entry.free),
        (total_charged, entry.prepaid - total_charged)
    );
    stop_and_check(fleet, BUDGET, total_charged).await;
}

/// Serves a fixed list of streams on a free port.
async fn serve_streams(list: Value) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = move || async move { axum::Json(json!({"streams": list})) };
    let app = axum::Router::new().route("/v1/streams", axum::routing::get(handler));
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

/// Guards against spending by a live router whose account another router closed by mistake.
#[tokio::test]
async fn wrongly_reclaimed_router_stops_spending() {
    let fleet = start().await;
    prepay(&fleet, BUDGET, 5_000).await;
    let mut total_charged = complete(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let holder = fleet.routers[0].state.holder.clone();
    let reclaimer = fleet.routers[1].state.clone();
    let report = reclaimer
        .reclaim(&holder, TerminationProof::NewerBoot)
        .await
        .unwrap();
    assert!(report.unresolved > 0, "{report:?}");
    // The charge of this request cannot be committed, which tells the router that its account is
    // closed.
    let response = complete(&fleet, 0, BUDGET).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let refused = complete(&fleet, 0, BUDGET).await;
    assert_eq!(
        refused.body["code"], "tokens_out_of_reach",
        "{}",
        refused.body
    );
    // The segment is evidence, so a later settlement charges the request.
    let report = reclaimer
        .reclaim(&holder, TerminationProof::NewerBoot)
        .await
        .unwrap();
    assert_eq!(report.charged, response.charged, "{report:?}");
    total_charged += response.charged;
    let other = complete(&fleet, 1, BUDGET).await;
    assert_eq!(other.status, 200, "{}", other.body);
    total_charged += other.charged;
    stop_and_check(fleet, BUDGET, total_charged).await;
}

/// Guards against a separate row write for each request; a flush must commit all charges at once.
#[tokio::test]
async fn charges_are_committed_in_groups() {
    let fleet = start().await;
    complete(&fleet, 0, BUDGET).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = grant_rows(&fleet).await[0].clone();
    let responses = join_all((0..40).map(|_| complete(&fleet, 0, BUDGET))).await;
    assert!(responses.iter().all(|response| response.status == 200));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let after = grant_rows(&fleet).await[0].clone();
    let charged = after.accounts[BUDGET].charged - before.accounts[BUDGET].charged;
    assert_eq!(charged, 40 * REQUEST_COST);
    // 40 concurrent requests end within two flushes.
    assert!(
        after.seq - before.seq <= 3,
        "{} commits",
        after.seq - before.seq
    );
    stop_and_check(fleet, BUDGET, 41 * REQUEST_COST).await;
}
