//! Guards against wrong bills, lost tokens and untrue refusals of whole routers under faults.
#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

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
const OTHER: &str = "parish-lamps";
const SHARDS: u32 = 4;
/// Charge of one request: two words of prompt and eight tokens of answer.
const COST: Tokens = 10;

/// Upper limit of the hold of one request: the bytes of its body and its largest answer.
const WORST_CASE: Tokens = 140;

struct Answer {
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

/// The embedded fleet chooses its peer ports before it binds them; a test that runs at the same
/// time can take one of them in between.
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

async fn ask(fleet: &EmbeddedFleet, router: usize, budget: &str) -> Answer {
    ask_for(fleet, router, budget, 8).await
}

async fn ask_for(fleet: &EmbeddedFleet, router: usize, budget: &str, tokens: u64) -> Answer {
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
    Answer {
        status,
        charged,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    }
}

fn table(fleet: &EmbeddedFleet) -> Arc<dyn TablePort> {
    fleet.platform.ports().table
}

async fn change_pool(fleet: &EmbeddedFleet, budget: &str, change: impl Fn(&mut PoolEntry)) {
    let key = pool_key(shard_of(budget, SHARDS));
    let row = table(fleet).read(&key).await.unwrap();
    let mut pool = row.as_ref().map_or_else(PoolRow::default, |row| {
        serde_json::from_str(&row.value).unwrap()
    });
    change(pool.budgets.entry(budget.into()).or_default());
    let version = row.map_or(0, |row| row.version);
    let write = RowWrite::replace(key, version, serde_json::to_string(&pool).unwrap());
    table(fleet).transact(vec![write]).await.unwrap();
}

/// Makes the budget small before anything is spent.
async fn prepay(fleet: &EmbeddedFleet, budget: &str, tokens: Tokens) {
    change_pool(fleet, budget, |entry| {
        *entry = PoolEntry::default();
        entry.top_up(&"first".into(), tokens);
    })
    .await;
}

async fn entry_of(fleet: &EmbeddedFleet, budget: &str) -> PoolEntry {
    let row = table(fleet).read(&pool_key(shard_of(budget, SHARDS))).await;
    let pool: PoolRow = serde_json::from_str(&row.unwrap().unwrap().value).unwrap();
    pool.budgets[budget].clone()
}

async fn grants(fleet: &EmbeddedFleet) -> Vec<GrantRow> {
    let rows = table(fleet).scan("grant/").await.unwrap();
    let rows = rows
        .iter()
        .map(|row| serde_json::from_str(&row.value).unwrap());
    rows.collect()
}

/// Stops all routers and checks that everything paid in is either free or billed.
async fn stop_and_check(mut fleet: EmbeddedFleet, budget: &str, billed: Tokens) {
    fleet.platform.set_faults(FaultPlan::default());
    for router in std::mem::take(&mut fleet.routers) {
        router.stop().await;
    }
    let entry = entry_of(&fleet, budget).await;
    let rows = grants(&fleet).await;
    let accounts = || rows.iter().filter_map(|row| row.accounts.get(budget));
    let charged: Tokens = accounts().map(|account| account.charged).sum();
    let balance: Tokens = accounts().map(|account| account.balance()).sum();
    assert_eq!(
        entry.spent + charged,
        billed,
        "billed otherwise: {entry:?} {rows:?}"
    );
    assert_eq!(
        entry.free + entry.spent + charged + balance,
        entry.prepaid,
        "tokens are not conserved: {entry:?} {rows:?}"
    );
    fleet.stop().await;
}

/// Puts records into force with revision 2.
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

fn down() -> FaultPlan {
    FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    }
}

/// Guards against a repeated move or bill when a response is lost after the write took effect.
#[tokio::test]
async fn lost_responses_change_nothing() {
    let fleet = start().await;
    prepay(&fleet, BUDGET, 5_000).await;
    let mut billed = 0;
    for round in 0..12 {
        fleet.platform.set_faults(FaultPlan {
            lose_answers: 1,
            ..FaultPlan::default()
        });
        let answer = ask(&fleet, round % 3, BUDGET).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        billed += answer.charged;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    assert_eq!(billed, 12 * COST);
    stop_and_check(fleet, BUDGET, billed).await;
}

/// Guards against refusals from a grant that lasts, and against an unbounded backlog.
#[tokio::test]
async fn table_outage_is_bridged_by_grants() {
    let fleet = start().await;
    let mut billed = ask(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.platform.set_faults(down());
    for _ in 0..10 {
        let answer = ask(&fleet, 0, BUDGET).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        billed += answer.charged;
    }
    // This router never had a row, so it can receive no tokens and must not say that none exist.
    let refused = ask(&fleet, 1, BUDGET).await;
    assert_eq!(refused.body["code"], "tokens_out_of_reach");
    assert_eq!(refused.body["ran"], "no");
    fleet.routers[0].state.set_backlog_limit(10);
    let refused = ask(&fleet, 0, BUDGET).await;
    assert_eq!(refused.body["code"], "charge_backlog_full");
    fleet.platform.set_faults(FaultPlan::default());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let answer = ask(&fleet, 0, BUDGET).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    billed += answer.charged;
    stop_and_check(fleet, BUDGET, billed).await;
}

/// Guards against a refusal that calls a budget spent while the table cannot prove it, and
/// against a top-up that counts twice.
#[tokio::test]
async fn top_up_during_an_outage_counts_once() {
    let fleet = start().await;
    prepay(&fleet, BUDGET, 200).await;
    let mut billed = 0;
    let spent = loop {
        let answer = ask(&fleet, 0, BUDGET).await;
        billed += answer.charged;
        if answer.status != 200 {
            break answer;
        }
    };
    assert_eq!(spent.body["code"], "budget_spent", "{}", spent.body);
    let left = format!("{} tokens left", 200 - billed);
    let detail = spent.body["detail"].as_str().unwrap();
    assert!(detail.contains(&left), "{detail}");
    fleet.platform.set_faults(down());
    let refused = ask(&fleet, 0, BUDGET).await;
    assert_eq!(refused.body["code"], "tokens_out_of_reach");
    for _ in 0..2 {
        fleet.platform.set_faults(FaultPlan::default());
        change_pool(&fleet, BUDGET, |entry| {
            entry.top_up(&"second".into(), 1_000);
        })
        .await;
        fleet.platform.set_faults(down());
    }
    let refused = ask(&fleet, 0, BUDGET).await;
    assert_eq!(refused.body["code"], "tokens_out_of_reach");
    fleet.platform.set_faults(FaultPlan::default());
    assert_eq!(entry_of(&fleet, BUDGET).await.prepaid, 1_200);
    let answer = ask(&fleet, 0, BUDGET).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    billed += answer.charged;
    stop_and_check(fleet, BUDGET, billed).await;
}

/// Guards against the return or loss of tokens that a killed router may have spent.
#[tokio::test]
async fn killed_router_is_settled_from_its_segments() {
    let mut fleet = start().await;
    prepay(&fleet, BUDGET, 2_000).await;
    let mut billed = ask(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    // Segments are still stored while the rows cannot be written.
    fleet.platform.set_faults(down());
    billed += ask(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let dead: HolderId = fleet.routers[0].state.holder.clone();
    drop(fleet.routers.remove(0));
    fleet.platform.set_faults(FaultPlan::default());
    let reclaimer = fleet.routers[0].state.clone();
    let report = reclaimer
        .reclaim(&dead, TerminationProof::LeftList)
        .await
        .unwrap();
    assert_eq!(report.charged, COST, "{report:?}");
    assert_eq!(report.open_rows, 1, "{report:?}");
    let again = reclaimer
        .reclaim(&dead, TerminationProof::LeftList)
        .await
        .unwrap();
    assert_eq!((again.charged, again.unresolved), (0, report.unresolved));
    let entry = entry_of(&fleet, BUDGET).await;
    assert_eq!(entry.unresolved.values().sum::<Tokens>(), report.unresolved);
    assert_eq!(entry.free + report.unresolved + billed, entry.prepaid);
    assert!(report.unresolved > 0);
    // More than the rest: the refusal must name the unresolved tokens, not say that all is spent.
    let refused = ask_for(&fleet, 0, BUDGET, entry.free).await;
    assert_eq!(refused.body["code"], "tokens_out_of_reach");
    let detail = refused.body["detail"].as_str().unwrap();
    assert!(detail.contains("unresolved"), "{detail}");
    stop_and_check(fleet, BUDGET, billed).await;
}

/// Guards against a refusal of one budget because another budget of the customer is spent.
#[tokio::test]
async fn two_budgets_of_one_customer_are_apart() {
    let fleet = start().await;
    let record = BudgetRecord {
        name: OTHER.into(),
        customer: "parish".into(),
    };
    configure(&fleet, vec![ConfigRecord::Budget(record)]).await;
    prepay(&fleet, BUDGET, 1_000).await;
    prepay(&fleet, OTHER, 160).await;
    let mut billed = [0, 0];
    let mut refused = 0;
    for round in 0..8 {
        for (index, budget) in [BUDGET, OTHER].into_iter().enumerate() {
            let answer = ask(&fleet, round % 3, budget).await;
            billed[index] += answer.charged;
            if budget == BUDGET {
                assert_eq!(answer.status, 200, "{}", answer.body);
            } else if answer.status != 200 {
                refused += 1;
            }
        }
    }
    assert_eq!(billed[0], 8 * COST);
    assert!(refused > 0 && billed[1] <= 160);
    assert_eq!(entry_of(&fleet, OTHER).await.prepaid, 160);
    stop_and_check(fleet, BUDGET, billed[0]).await;
}

/// Guards against one table write for each of many requests that wait for the same refill.
#[tokio::test]
async fn concurrent_refills_are_one_write() {
    let fleet = start().await;
    let asks = (0..30).map(|_| ask(&fleet, 0, BUDGET));
    let answers = join_all(asks).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let step = grants(&fleet).await.iter().map(|row| row.step).sum::<u64>();
    assert!(step <= 5, "{step} commits for 30 requests at once");
    let billed = answers.iter().map(|answer| answer.charged).sum();
    stop_and_check(fleet, BUDGET, billed).await;
}

/// Guards against refusals while a reachable peer has tokens, and against transfers that lose or
/// duplicate tokens.
#[tokio::test]
async fn peers_supply_tokens_during_an_outage() {
    let fleet = start().await;
    prepay(&fleet, BUDGET, 700).await;
    let mut billed = 0;
    for router in [0, 1] {
        let answer = ask(&fleet, router, BUDGET).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        billed += answer.charged;
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.platform.set_faults(down());
    let rows = fleet.routers.iter().take(2);
    let holders: Vec<HolderId> = rows.map(|router| router.state.holder.clone()).collect();
    fleet.platform.set_faults(FaultPlan::default());
    let rows = grants(&fleet).await;
    fleet.platform.set_faults(down());
    let balance: Tokens = rows
        .iter()
        .filter(|row| holders.contains(&row.holder))
        .map(|row| row.accounts[BUDGET].balance())
        .sum();
    let mut served = 0;
    let mut refused = 0;
    for round in 0..100 {
        let answer = ask(&fleet, round % 2, BUDGET).await;
        billed += answer.charged;
        if answer.status == 200 {
            (served, refused) = (served + 1, 0);
            continue;
        }
        assert_eq!(answer.body["code"], "tokens_out_of_reach");
        refused += 1;
        if refused == 2 {
            break;
        }
    }
    assert_eq!(refused, 2, "the grants never ended");
    // Both routers together have less than the worst case of one request left.
    let left = balance - served * COST;
    assert!(
        left < WORST_CASE,
        "{left} of {balance} tokens are left after {served} requests"
    );
    fleet.platform.set_faults(FaultPlan::default());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let rows = grants(&fleet).await;
    let accounts = rows.iter().filter_map(|row| row.accounts.get(BUDGET));
    let received: Tokens = accounts.map(|account| account.received_total()).sum();
    assert!(received > 0, "no transfer took place: {rows:?}");
    stop_and_check(fleet, BUDGET, billed).await;
}

/// Guards against tokens that stay unresolved although every endpoint lists its streams, and
/// against a bill for a stream that a segment bills as well.
#[tokio::test]
async fn listed_streams_make_the_account_exact() {
    let mut fleet = start().await;
    prepay(&fleet, BUDGET, 2_000).await;
    let mut billed = ask(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    // Neither a segment nor a row shows this request; only the endpoint knows of it.
    fleet.platform.set_faults(FaultPlan {
        object_down: true,
        ..FaultPlan::default()
    });
    let answer = ask(&fleet, 0, BUDGET).await;
    billed += answer.charged;
    let dead = fleet.routers[0].state.holder.clone();
    drop(fleet.routers.remove(0));
    fleet.platform.set_faults(FaultPlan::default());
    let list = json!([{"request": answer.body["id"], "budget": BUDGET, "state": "ended",
        "usage": {"total_tokens": answer.charged}}]);
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
            endpoint.address = serve_list(list).await.to_string().into();
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
    assert_eq!(report.charged, COST, "{report:?}");
    assert_eq!((report.unresolved, report.open_rows), (0, 0), "{report:?}");
    let entry = entry_of(&fleet, BUDGET).await;
    assert_eq!((entry.spent, entry.free), (billed, entry.prepaid - billed));
    stop_and_check(fleet, BUDGET, billed).await;
}

/// Serves one list of streams on a free port.
async fn serve_list(list: Value) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = move || async move { axum::Json(json!({"streams": list})) };
    let app = axum::Router::new().route("/v1/streams", axum::routing::get(answer));
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

/// Guards against spending by a router whose account another one has closed by mistake.
#[tokio::test]
async fn wrongly_reclaimed_router_stops_spending() {
    let fleet = start().await;
    prepay(&fleet, BUDGET, 5_000).await;
    let mut billed = ask(&fleet, 0, BUDGET).await.charged;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let holder = fleet.routers[0].state.holder.clone();
    let reclaimer = fleet.routers[1].state.clone();
    let report = reclaimer
        .reclaim(&holder, TerminationProof::NewerBoot)
        .await
        .unwrap();
    assert!(report.unresolved > 0, "{report:?}");
    // The charge of this request cannot be committed, which tells the router that it is closed.
    let answer = ask(&fleet, 0, BUDGET).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let refused = ask(&fleet, 0, BUDGET).await;
    assert_eq!(
        refused.body["code"], "tokens_out_of_reach",
        "{}",
        refused.body
    );
    // Its segment is evidence, so a later settlement charges the request.
    let report = reclaimer
        .reclaim(&holder, TerminationProof::NewerBoot)
        .await
        .unwrap();
    assert_eq!(report.charged, answer.charged, "{report:?}");
    billed += answer.charged;
    let other = ask(&fleet, 1, BUDGET).await;
    assert_eq!(other.status, 200, "{}", other.body);
    billed += other.charged;
    stop_and_check(fleet, BUDGET, billed).await;
}

/// Guards against a row write for each request; all charges of a flush belong in one commit.
#[tokio::test]
async fn charges_are_committed_in_groups() {
    let fleet = start().await;
    ask(&fleet, 0, BUDGET).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = grants(&fleet).await[0].clone();
    let answers = join_all((0..40).map(|_| ask(&fleet, 0, BUDGET))).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let after = grants(&fleet).await[0].clone();
    let charged = after.accounts[BUDGET].charged - before.accounts[BUDGET].charged;
    assert_eq!(charged, 40 * COST);
    // 40 requests at once end within two flushes.
    assert!(
        after.seq - before.seq <= 3,
        "{} commits",
        after.seq - before.seq
    );
    stop_and_check(fleet, BUDGET, 41 * COST).await;
}
