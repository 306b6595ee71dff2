//! Guards against requests that hang or stop a router, refusals that are unclear or charged, and
//! problem codes that change or are undocumented.

#![expect(clippy::unwrap_used, reason = "helpers panic to fail the test")]

use std::{net::SocketAddr, time::Duration};

use {
    hyper::Method,
    jasminewall_core::RefusalCode,
    jasminewall_router::{EmbeddedFleet, setting::CallerLimits},
    jasminewall_testkit::caller::{
        CallerClient, CallerResponse, charged_total, completion_body, exchange_raw, start_fleet,
    },
    serde_json::{Value, json},
};

const API_DOC: &str = include_str!("../../../docs/api.md");
const COMPLETIONS_PATH: &str = "/v1/chat/completions";

async fn start() -> (EmbeddedFleet, CallerClient, SocketAddr) {
    let limits = CallerLimits {
        body_bytes: 4_096,
        body_timeout: Duration::from_millis(300),
        header_bytes: 2_048,
        header_count: 20,
        header_timeout: Duration::from_millis(300),
        memory_mb: None,
    };
    let fleet = start_fleet(limits).await.unwrap();
    let address = fleet.routers[0].address;
    (fleet, CallerClient::new(address), address)
}

/// Checks that the router still serves a request and that only this request was charged.
async fn check_and_stop(fleet: EmbeddedFleet, client: &CallerClient) {
    let response = client.complete(&json!({})).await.unwrap();
    assert_eq!(
        (response.status, response.header("x-jasminewall-charged")),
        (200, "10")
    );
    let platform = fleet.platform.clone();
    fleet.stop().await;
    assert_eq!(charged_total(&platform).await.unwrap(), 10);
}

fn assert_refused(response: &CallerResponse, status: u16, code: &str) {
    assert_eq!(
        (response.status, response.code().as_str()),
        (status, code),
        "{}",
        response.text()
    );
    assert_eq!(response.header("content-type"), "application/problem+json");
    let problem = response.json();
    assert_eq!(
        (&problem["ran"], &problem["charged"]),
        (&json!("no"), &json!(0))
    );
}

fn raw_post(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {COMPLETIONS_PATH} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\n\
         authorization: Bearer sample-key-parish\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Guards against a problem code that changes, and against wrong documentation of the codes.
#[test]
fn codes_are_stable_and_documented() {
    let mut table = String::new();
    for code in RefusalCode::ALL {
        let ran = serde_json::to_value(code.ran()).unwrap();
        let ran = ran.as_str().unwrap();
        let row = format!(
            "| `{}` | {} | {ran} | {} |\n",
            code.as_str(),
            code.status(),
            code.detail()
        );
        assert!(API_DOC.contains(&row), "docs/api.md lacks {row}");
        table.push_str(&row);
    }
    let rows = API_DOC.lines().filter(|line| {
        line.starts_with("| `") && line.contains(" | ") && line.split('|').count() == 6
    });
    assert_eq!(rows.count(), RefusalCode::ALL.len());
    insta::assert_snapshot!(table);
}

/// Guards against a malformed body that is forwarded, charged or stops the router.
#[tokio::test]
async fn malformed_bodies_are_refused() {
    let (fleet, client, _) = start().await;
    let send = async |body: Vec<u8>| {
        client
            .send(Method::POST, COMPLETIONS_PATH, &[], body)
            .await
            .unwrap()
    };
    for body in [
        b"{\"model\": ".to_vec(),
        b"{\"model\": \"glass-7b\", \"messages\": [\"\xff\xfe\"]}".to_vec(),
        b"[]".to_vec(),
        Vec::new(),
        vec![b'['; 3_000],
        b"{\"model\": 7, \"messages\": []}".to_vec(),
        b"{\"model\": \"glass-7b\"}".to_vec(),
    ] {
        assert_refused(&send(body).await, 400, "invalid_request");
    }
    for extra in [
        json!({"stream_options": 7}),
        json!({"stream": "yes"}),
        json!({"max_tokens": -1}),
        json!({"max_tokens": 1.5}),
        json!({"n": 0}),
        json!({"messages": "hello"}),
    ] {
        let body = completion_body(&extra).to_string();
        assert_refused(&send(body.into_bytes()).await, 400, "invalid_request");
    }
    let content_type = [("content-type", "text/plain")];
    let response = client.send(
        Method::POST,
        COMPLETIONS_PATH,
        &content_type,
        completion_body(&json!({})).to_string(),
    );
    assert_refused(&response.await.unwrap(), 415, "unsupported_media_type");
    check_and_stop(fleet, &client).await;
}

/// Guards against bodies and headers that use memory without a limit.
#[tokio::test]
async fn large_bodies_and_headers_are_refused() {
    let (fleet, client, address) = start().await;
    let response = client
        .send(Method::POST, COMPLETIONS_PATH, &[], vec![b'x'; 5_000])
        .await
        .unwrap();
    assert_refused(&response, 413, "body_too_large");
    let mut chunked = raw_post("transfer-encoding: chunked\r\n", b"");
    for _ in 0..3 {
        chunked.extend_from_slice(b"800\r\n");
        chunked.extend(std::iter::repeat_n(b'x', 2_048));
        chunked.extend_from_slice(b"\r\n");
    }
    let response = exchange_raw(address, &chunked, false).await.unwrap();
    assert!(
        response.starts_with("HTTP/1.1 413 ") && response.contains("body_too_large"),
        "{response}"
    );
    let names: Vec<String> = (0..30).map(|index| format!("x-{index}")).collect();
    let headers: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "1")).collect();
    let response = client
        .send(Method::GET, "/v1/models", &headers, "")
        .await
        .unwrap();
    assert_refused(&response, 431, "headers_too_large");
    let value = "x".repeat(3_000);
    let response = client
        .send(Method::GET, "/v1/models", &[("x-long", &value)], "")
        .await
        .unwrap();
    assert_refused(&response, 431, "headers_too_large");
    let oversized = raw_post(&"x-filler: 1\r\n".repeat(2_000), b"");
    let response = exchange_raw(address, &oversized, false).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    check_and_stop(fleet, &client).await;
}

/// Guards against connections that a caller occupies without sending a complete request.
#[tokio::test]
async fn slow_and_half_closed_requests_are_refused() {
    let (fleet, client, address) = start().await;
    let slow = raw_post("content-length: 100\r\n", b"{\"model\"");
    let response = exchange_raw(address, &slow, false).await.unwrap();
    assert!(
        response.starts_with("HTTP/1.1 408 ") && response.contains("request_timeout"),
        "{response}"
    );
    let response = exchange_raw(address, &slow, true).await.unwrap();
    assert!(
        response.starts_with("HTTP/1.1 400 ") && response.contains("ended early"),
        "{response}"
    );
    let unfinished = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    let response = exchange_raw(address, unfinished, false).await.unwrap();
    assert!(!response.contains(" 200 "), "{response}");
    let garbage = exchange_raw(address, b"\x16\x03\x01\x02\x00\r\n\r\n", false)
        .await
        .unwrap();
    assert!(
        garbage.is_empty() || garbage.starts_with("HTTP/1.1 400 "),
        "{garbage}"
    );
    check_and_stop(fleet, &client).await;
}

/// Guards against access without a valid key, charges to budgets of other customers, and unknown
/// names or values that are accepted.
#[tokio::test]
async fn unknown_names_and_foreign_budgets_are_refused() {
    let (fleet, client, address) = start().await;
    let response = client
        .complete(&json!({"model": "glass-8b"}))
        .await
        .unwrap();
    assert_refused(&response, 404, "unknown_route");
    for (method, path) in [
        (Method::GET, "/v2/x"),
        (Method::GET, COMPLETIONS_PATH),
        (Method::GET, "/svc/"),
    ] {
        let response = client.send(method, path, &[], "").await.unwrap();
        assert_refused(&response, 404, "unknown_path");
    }
    let body = completion_body(&json!({})).to_string();
    for budget in ["workshop-2026", "nobody", ""] {
        let headers = [("x-jasminewall-budget", budget)];
        let response = client
            .send(Method::POST, COMPLETIONS_PATH, &headers, body.clone())
            .await
            .unwrap();
        assert_refused(&response, 403, "budget_forbidden");
    }
    for (name, value) in [
        ("x-jasminewall-class", "urgent"),
        ("x-jasminewall-deadline-ms", "soon"),
    ] {
        let response = client
            .send(
                Method::POST,
                COMPLETIONS_PATH,
                &[(name, value)],
                body.clone(),
            )
            .await
            .unwrap();
        assert_refused(&response, 400, "invalid_request");
    }
    let unknown_client = CallerClient::with_key(address, "stolen");
    assert_refused(
        &unknown_client.complete(&json!({})).await.unwrap(),
        401,
        "unauthenticated",
    );
    for path in ["/v1/models", "/svc/catalogue/x"] {
        let response = unknown_client
            .send(Method::GET, path, &[], "")
            .await
            .unwrap();
        assert_refused(&response, 401, "unauthenticated");
    }
    check_and_stop(fleet, &client).await;
}

/// Guards against a list of models, a readiness or a version that differs from the state of the
/// router.
#[tokio::test]
async fn models_and_state_are_listed() {
    let (fleet, client, _) = start().await;
    let get = async |path: &str| client.send(Method::GET, path, &[], "").await.unwrap();
    let models = get("/v1/models").await.json();
    let names: Vec<&Value> = models["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|model| &model["id"])
        .collect();
    assert_eq!(names, ["glass-7b"]);
    assert_eq!(
        (get("/healthz").await.status, get("/readyz").await.status),
        (200, 200)
    );
    let version = get("/version").await.json();
    let holder = &fleet.routers[0].state.holder;
    assert_eq!(version["vm"], holder.vm.as_str());
    assert_eq!(version["boot"], format!("{:016x}", holder.boot));
    assert_eq!(version["revision"], 1);
    assert_eq!(version["version"], env!("CARGO_PKG_VERSION"));
    fleet.stop().await;
}
