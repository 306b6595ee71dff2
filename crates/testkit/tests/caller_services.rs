//! Guards against a non-idempotent request that runs twice, a retry that gets a false result, and
//! calls of plain services that leak headers, exceed limits or are charged a wrong price.

#![expect(clippy::unwrap_used, reason = "helpers panic to fail the test")]

use std::{collections::BTreeSet, time::Duration};

use {
    hyper::Method,
    jasminewall_ports::FaultPlan,
    jasminewall_router::{EmbeddedFleet, RouterHandle, RouterSetting},
    jasminewall_testkit::caller::{
        CallerClient, CallerResponse, SECOND_KEY, charged_total, start_fleet, wait_ready,
    },
    serde_json::json,
};

async fn start() -> (EmbeddedFleet, Vec<CallerClient>) {
    let fleet = start_fleet(Default::default()).await.unwrap();
    let clients = fleet
        .routers
        .iter()
        .map(|router| CallerClient::new(router.address));
    let clients = clients.collect();
    (fleet, clients)
}

async fn stop(fleet: EmbeddedFleet) -> u64 {
    let platform = fleet.platform.clone();
    fleet.stop().await;
    charged_total(&platform).await.unwrap()
}

async fn order(
    client: &CallerClient,
    key: &str,
    query: &str,
    body: &'static str,
) -> CallerResponse {
    let path = format!("/svc/orders/windows{query}");
    let headers = [("idempotency-key", key)];
    client
        .send(Method::POST, &path, &headers, body)
        .await
        .unwrap()
}

async fn order_with_ticket(
    client: &CallerClient,
    ticket: &str,
    body: &'static str,
) -> CallerResponse {
    let headers = [("x-jasminewall-ticket", ticket)];
    let path = "/svc/orders/windows";
    client
        .send(Method::POST, path, &headers, body)
        .await
        .unwrap()
}

async fn issue_ticket(client: &CallerClient) -> String {
    let body = json!({"route": "orders"}).to_string();
    let response = client
        .send(Method::POST, "/v1/tickets", &[], body)
        .await
        .unwrap();
    assert_eq!(response.status, 201, "{}", response.text());
    response.json()["ticket"].as_str().unwrap().to_owned()
}

/// Makes a router obtain tokens, so that its next call does not need the platform.
async fn obtain_tokens(client: &CallerClient) {
    let response = client
        .send(Method::GET, "/svc/catalogue/", &[], "")
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
}

/// Guards against a call that loses its method, path, query or body, and against headers that must
/// not reach the service.
#[tokio::test]
async fn call_is_forwarded_without_hop_by_hop_headers() {
    let (fleet, clients) = start().await;
    let headers = [
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("te", "trailers"),
        ("x-jasminewall-class", "short"),
        ("x-kept", "yes"),
        ("content-type", "text/plain"),
    ];
    let path = "/svc/catalogue/panes/7?colour=blue";
    let response = clients[0]
        .send(Method::PUT, path, &headers, "plain")
        .await
        .unwrap();
    assert_eq!(
        (response.status, response.header("x-jasminewall-charged")),
        (200, "1")
    );
    let received = response.json();
    assert_eq!(
        (
            &received["method"],
            &received["path"],
            &received["query"],
            &received["body_bytes"]
        ),
        (
            &json!("PUT"),
            &json!("/panes/7"),
            &json!("colour=blue"),
            &json!(5)
        )
    );
    let names: BTreeSet<&str> = received["headers"]
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    let expected = [
        "content-length",
        "content-type",
        "host",
        "x-jasminewall-budget",
        "x-jasminewall-holder",
        "x-jasminewall-request",
        "x-kept",
    ];
    assert_eq!(names, BTreeSet::from(expected));
    assert_eq!(stop(fleet).await, 1);
}

/// Guards against a status that HTTP does not define and that reaches the caller as a response.
#[tokio::test]
async fn undefined_status_is_not_a_response() {
    let (fleet, clients) = start().await;
    for status in [600, 999] {
        let path = format!("/svc/catalogue/panes?status={status}");
        let response = clients[0].send(Method::GET, &path, &[], "").await.unwrap();
        assert_eq!(
            (response.status, response.code().as_str()),
            (502, "outcome_unknown"),
            "{status}"
        );
    }
    fleet.stop().await;
}

/// Guards against wrong charges and run states when a service fails, exceeds a limit or returns the
/// response to another request.
#[tokio::test]
async fn service_errors_and_exceeded_limits_are_charged_correctly() {
    let (fleet, clients) = start().await;
    let get = async |path: &str, headers: &[(&str, &str)]| {
        let path = format!("/svc/catalogue/{path}");
        clients[0]
            .send(Method::GET, &path, headers, "")
            .await
            .unwrap()
    };
    let large = get("?bytes=70000", &[]).await;
    assert_eq!(
        (large.status, large.code().as_str()),
        (502, "answer_too_large")
    );
    assert_eq!(
        (&large.json()["ran"], &large.json()["charged"]),
        (&json!("yes"), &json!(1))
    );
    let failed = get("?status=500", &[]).await;
    assert_eq!(
        (failed.status, failed.header("x-jasminewall-charged")),
        (500, "0")
    );
    let used = get("?status=409&usage=1", &[]).await;
    assert_eq!(
        (used.status, used.header("x-jasminewall-charged")),
        (409, "1")
    );
    let foreign = get("?id=jw-vm-9-0000000000000001", &[]).await;
    assert_eq!(
        (foreign.status, foreign.code().as_str()),
        (502, "answer_invalid")
    );
    let late = get("?sleep_ms=3000", &[("x-jasminewall-deadline-ms", "150")]).await;
    assert_eq!((late.status, late.code().as_str()), (504, "answer_timeout"));
    assert_eq!(late.json()["ran"], "unknown");
    let model = clients[0]
        .send(Method::POST, "/svc/glass-7b/v1/chat/completions", &[], "{}")
        .await
        .unwrap();
    assert_eq!(
        (model.status, model.code().as_str()),
        (404, "unknown_route")
    );
    fleet.stop().await;
}

/// Guards against a second run when an order is retried at any router, and against a key that is
/// accepted for another body or shared by two customers.
#[tokio::test]
async fn claimed_request_runs_once_and_is_answered_by_every_router() {
    let (fleet, clients) = start().await;
    let missing = clients[0]
        .send(Method::POST, "/svc/orders/windows", &[], "a")
        .await
        .unwrap();
    assert_eq!(
        (missing.status, missing.code().as_str()),
        (400, "idempotency_key_required")
    );
    let first = order(&clients[0], "key-1", "", "a").await;
    assert_eq!(
        (first.status, first.header("x-jasminewall-charged")),
        (200, "5")
    );
    for client in &clients {
        let retry = order(client, "key-1", "", "a").await;
        assert_eq!((retry.status, &retry.body), (200, &first.body));
        assert_eq!(retry.header("x-jasminewall-replayed"), "true");
        assert_eq!(
            retry.header("x-jasminewall-request"),
            first.header("x-jasminewall-request")
        );
        let reused = order(client, "key-1", "", "b").await;
        assert_eq!(
            (reused.status, reused.code().as_str()),
            (422, "idempotency_key_reused")
        );
    }
    let other_customer = CallerClient::with_key(fleet.routers[0].address, SECOND_KEY);
    let other = order(&other_customer, "key-1", "", "a").await;
    assert_ne!(other.json()["serial"], first.json()["serial"]);
    assert_eq!(stop(fleet).await, 10);
}

/// Guards against a second run when requests with the same key reach several routers at once.
#[tokio::test]
async fn concurrent_requests_with_one_key_run_once() {
    let (fleet, clients) = start().await;
    // Peers are probed every second; a router must know that the holder is alive.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let slow = "?sleep_ms=400";
    // The delay makes all requests look for a claim before the first one is written.
    fleet.platform.set_faults(FaultPlan {
        delay_ms: 20,
        ..FaultPlan::default()
    });
    let all = futures_util::future::join_all(
        (0..12).map(|index| order(&clients[index % 3], "key-2", slow, "a")),
    )
    .await;
    let ran = all.iter().filter(|response| response.status == 200).count();
    assert_eq!(ran, 1);
    for refused in all.iter().filter(|response| response.status != 200) {
        assert_eq!(
            (refused.status, refused.code().as_str()),
            (409, "request_in_progress")
        );
    }
    assert_eq!(stop(fleet).await, 5);
}

/// Guards against a second run, or a key that stays blocked, when the write of a claim takes effect
/// but its response is lost.
#[tokio::test]
async fn claim_survives_lost_responses_of_the_table_service() {
    let (fleet, clients) = start().await;
    obtain_tokens(&clients[0]).await;
    let mut serials = BTreeSet::new();
    let mut ran = 0;
    for index in 0..20 {
        fleet.platform.set_faults(FaultPlan {
            lose_answers: 1 + index % 3,
            ..FaultPlan::default()
        });
        let key = format!("lost-{index}");
        let first = order(&clients[0], &key, "", "a").await;
        fleet.platform.set_faults(FaultPlan::default());
        let retry = order(&clients[0], &key, "", "a").await;
        assert_eq!(retry.status, 200, "{}", retry.text());
        if first.status == 200 {
            assert_eq!(first.body, retry.body);
        } else {
            assert_eq!(first.json()["ran"], "no", "{}", first.text());
        }
        let json = retry.json();
        serials.insert(json["serial"].as_str().unwrap().to_owned());
        ran += 1;
    }
    assert_eq!(serials.len(), ran);
    assert_eq!(stop(fleet).await, 5 * ran as u64 + 1);
}

/// Guards against a run without a stored claim while the platform is down, and against a ticket
/// that runs twice, is forged or belongs to another customer.
#[tokio::test]
async fn platform_outage_refuses_claims_and_runs_tickets_once() {
    let (fleet, clients) = start().await;
    obtain_tokens(&clients[0]).await;
    fleet.platform.set_faults(FaultPlan {
        table_down: true,
        object_down: true,
        ..FaultPlan::default()
    });
    let claim = order(&clients[0], "key-3", "", "a").await;
    assert_eq!(
        (claim.status, claim.code().as_str()),
        (503, "claims_unavailable")
    );
    let ticket = issue_ticket(&clients[0]).await;
    let first = order_with_ticket(&clients[2], &ticket, "a").await;
    assert_eq!(
        (first.status, first.header("x-jasminewall-charged")),
        (200, "5"),
        "{}",
        first.text()
    );
    for client in &clients {
        let retry = order_with_ticket(client, &ticket, "a").await;
        assert_eq!((retry.status, &retry.body), (200, &first.body));
        let reused = order_with_ticket(client, &ticket, "b").await;
        assert_eq!(reused.code(), "idempotency_key_reused");
    }
    let other_customer = CallerClient::with_key(fleet.routers[1].address, SECOND_KEY);
    assert_eq!(
        order_with_ticket(&other_customer, &ticket, "a")
            .await
            .code(),
        "ticket_invalid"
    );
    let forged = ticket.replace('.', "0.");
    assert_eq!(
        order_with_ticket(&clients[0], &forged, "a").await.code(),
        "ticket_invalid"
    );
    fleet.platform.set_faults(FaultPlan::default());
    assert_eq!(stop(fleet).await, 6);
}

/// Guards against a second run of an order whose router crashed, and of a ticket that the router
/// issued before the crash.
#[test]
fn ticket_of_a_crashed_router_never_runs() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let crashing_runtime = tokio::runtime::Runtime::new().unwrap();
    let (fleet, setting, ticket, claimed) = runtime.block_on(async {
        let (fleet, clients) = start().await;
        let mut setting = RouterSetting {
            vm: "vm-crash".into(),
            listen: "127.0.0.1:0".parse().unwrap(),
            peer_listen: "127.0.0.1:0".parse().unwrap(),
            ..fleet.routers[0].state.setting.clone()
        };
        let started =
            crashing_runtime.spawn(RouterHandle::start(setting.clone(), fleet.platform.ports()));
        let router = started.await.unwrap().unwrap();
        wait_ready(&router.state).await.unwrap();
        setting.listen = router.address;
        let client = CallerClient::new(router.address);
        let ticket = issue_ticket(&client).await;
        let claimed = tokio::spawn(async move {
            let path = "/svc/orders/windows?sleep_ms=60000";
            let headers = [("idempotency-key", "crashed")];
            client.send(Method::POST, path, &headers, "a").await
        });
        obtain_tokens(&clients[0]).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        (fleet, setting, ticket, claimed)
    });
    crashing_runtime.shutdown_background();
    runtime.block_on(async {
        assert!(claimed.await.unwrap().is_err());
        let client = CallerClient::new(fleet.routers[0].address);
        let retry = order(&client, "crashed", "?sleep_ms=60000", "a").await;
        assert_eq!((retry.status, retry.code().as_str()), (409, "may_have_run"));
        let unreachable = order_with_ticket(&client, &ticket, "a").await;
        assert_eq!(unreachable.code(), "ticket_holder_unreachable");
        let router = RouterHandle::start(setting, fleet.platform.ports())
            .await
            .unwrap();
        wait_ready(&router.state).await.unwrap();
        for address in [fleet.routers[0].address, router.address] {
            let void = order_with_ticket(&CallerClient::new(address), &ticket, "a").await;
            assert_eq!((void.status, void.code().as_str()), (410, "ticket_void"));
        }
        router.stop().await;
        fleet.stop().await;
    });
}
