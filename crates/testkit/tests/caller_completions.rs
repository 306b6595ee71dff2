//! Guards against responses that are incomplete, duplicated or belong to another request, and
//! against charges that are missing, duplicated or of a wrong amount.

#![expect(clippy::unwrap_used, reason = "helpers panic to fail the test")]

use std::{net::SocketAddr, time::Duration};

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Method, Response, body::Incoming},
    jasminewall_core::{ConfigRecord, record},
    jasminewall_ports::{MemoryPlatform, ObjectPort, TablePort},
    jasminewall_router::{EmbeddedFleet, RouterHandle, RouterSetting},
    jasminewall_testkit::caller::{
        CallerClient, CallerResponse, SECOND_KEY, charged_total, completion_body, start_fleet,
        wait_ready,
    },
    serde_json::{Value, json},
};

const COMPLETIONS_PATH: &str = "/v1/chat/completions";

async fn start() -> (EmbeddedFleet, CallerClient) {
    let fleet = start_fleet(Default::default()).await.unwrap();
    let client = CallerClient::new(fleet.routers[0].address);
    (fleet, client)
}

/// Stops the fleet, which commits all charges, and returns their sum.
async fn stop(fleet: EmbeddedFleet) -> u64 {
    let platform = fleet.platform.clone();
    fleet.stop().await;
    charged_total(&platform).await.unwrap()
}

fn data_lines(text: &str) -> Vec<&str> {
    let lines = text.lines();
    lines
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

/// Indexes of the tokens in a stream; the stand-in engine writes each token as `engine:index`.
fn token_indexes(text: &str) -> Vec<u64> {
    let chunks = data_lines(text)
        .into_iter()
        .filter(|line| line.starts_with('{'));
    let chunks = chunks.map(|line| serde_json::from_str::<Value>(line).unwrap());
    let texts = chunks.filter_map(|chunk| {
        let text = chunk["choices"][0]["delta"]["content"].as_str()?;
        Some(text.trim().rsplit(':').next()?.parse().unwrap())
    });
    texts.collect()
}

/// Addresses of the model engines of the sample fleet.
async fn engine_addresses(platform: &MemoryPlatform) -> Vec<SocketAddr> {
    let log = platform.scan("config/log/").await.unwrap();
    let delta: Value = serde_json::from_str(&log[0].value).unwrap();
    let changes = delta["changes"].as_array().unwrap().clone();
    let records = changes
        .into_iter()
        .map(|change| serde_json::from_value(change["put"].clone()));
    records
        .filter_map(|record| match record.unwrap() {
            ConfigRecord::Endpoint(endpoint)
                if endpoint.runs == record::EndpointKind::ModelEngine =>
            {
                Some(endpoint.address.parse().unwrap())
            }
            _ => None,
        })
        .collect()
}

/// Entry of one stream in the lists of the engines; `Null` if no engine lists it.
async fn find_stream(platform: &MemoryPlatform, request: &str) -> Value {
    for address in engine_addresses(platform).await {
        let engine = CallerClient::new(address);
        let list = engine
            .send(Method::GET, "/v1/streams", &[], "")
            .await
            .unwrap()
            .json();
        for stream in list["streams"].as_array().unwrap() {
            if stream["request"] == request {
                return stream.clone();
            }
        }
    }
    Value::Null
}

async fn next_data(response: &mut Response<Incoming>) -> Option<Bytes> {
    let frame = response.body_mut().frame().await?.ok()?;
    frame.into_data().ok()
}

/// Guards against usage that the caller did not request or gets twice, and against events that
/// common clients cannot read.
#[tokio::test]
async fn streamed_usage_is_sent_only_when_requested() {
    let (fleet, client) = start().await;
    let without_usage = client.complete(&json!({"stream": true})).await.unwrap();
    let with_usage = json!({"stream": true, "stream_options": {"include_usage": true}});
    let with_usage = client.complete(&with_usage).await.unwrap();
    assert!(!without_usage.text().contains("\"usage\""));
    let lines = with_usage.text();
    let lines = data_lines(&lines);
    assert_eq!(
        lines
            .iter()
            .filter(|line| line.contains("\"usage\""))
            .count(),
        1
    );
    assert!(lines[lines.len() - 2].contains("\"total_tokens\":10"));
    for response in [without_usage, with_usage] {
        let text = response.text();
        assert_eq!(token_indexes(&text), (0..8).collect::<Vec<_>>());
        // Common clients report a block without data as an empty event if the previous block has an
        // id.
        for block in text.strip_suffix("\n\n").unwrap().split("\n\n") {
            assert!(block.contains("data: "), "{block}");
        }
        let (_, tail) = text.split_once(": x-jasminewall-charged=10 ").unwrap();
        assert!(tail.ends_with("\ndata: [DONE]\n\n"), "{tail}");
        assert_eq!(tail.matches('\n').count(), 3);
        assert_eq!(text.matches("[DONE]").count(), 1);
        assert!(!response.header("x-jasminewall-request").is_empty());
        assert!(!response.header("x-jasminewall-resume").is_empty());
    }
    assert_eq!(stop(fleet).await, 20);
}

/// Guards against endpoint errors that are hidden from the caller, and against charges for them
/// beyond the reported usage.
#[tokio::test]
async fn endpoint_errors_are_forwarded_and_charge_only_reported_usage() {
    let (fleet, client) = start().await;
    for stream in [false, true] {
        let failed = json!({"stream": stream, "standin": {"status": 500}});
        let failed = client.complete(&failed).await.unwrap();
        assert_eq!(
            (failed.status, failed.header("x-jasminewall-charged")),
            (500, "0")
        );
        assert_eq!(failed.json()["error"]["code"], "standin");
        let used = json!({"stream": stream, "standin": {"status": 503, "usage": 7}});
        let used = client.complete(&used).await.unwrap();
        assert_eq!(
            (used.status, used.header("x-jasminewall-charged")),
            (503, "7")
        );
    }
    assert_eq!(stop(fleet).await, 14);
}

/// Guards against a stream that runs on after its caller has disconnected, and against a charge
/// that differs from the tokens generated until then.
#[tokio::test]
async fn disconnect_cancels_the_stream_and_charges_generated_tokens() {
    let (fleet, client) = start().await;
    let body = completion_body(&json!({"stream": true, "max_tokens": 900})).to_string();
    let mut response = client
        .open(Method::POST, COMPLETIONS_PATH, &[], body)
        .await
        .unwrap();
    let request = response.headers()["x-jasminewall-request"]
        .to_str()
        .unwrap()
        .to_owned();
    for _ in 0..3 {
        next_data(&mut response).await.unwrap();
    }
    drop(response);
    drop(client);
    let mut stream = Value::Null;
    for _ in 0..100 {
        stream = find_stream(&fleet.platform, &request).await;
        if stream["state"] != "running" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(stream["state"], "cancelled");
    let used = stream["usage"]["total_tokens"].as_u64().unwrap();
    assert!((5..900).contains(&used), "{used}");
    assert_eq!(stop(fleet).await, used);
}

/// Guards against tokens that stay held after the deadline when a caller does not read its stream.
#[tokio::test]
async fn stalled_caller_holds_tokens_only_until_its_deadline() {
    let (fleet, client) = start().await;
    let extra =
        json!({"stream": true, "max_tokens": 4000, "standin": {"token_ms": 1, "pad": 65536}});
    let body = completion_body(&extra).to_string();
    let deadline = [("x-jasminewall-deadline-ms", "500")];
    let response = client
        .open(Method::POST, COMPLETIONS_PATH, &deadline, body)
        .await
        .unwrap();
    assert_eq!(response.status(), 200, "the request is admitted");
    let request = response.headers()["x-jasminewall-request"]
        .to_str()
        .unwrap()
        .to_owned();
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let stream = find_stream(&fleet.platform, &request).await;
    assert_eq!(stream["state"], "cancelled");
    drop(response);
    assert_eq!(
        stop(fleet).await,
        stream["usage"]["total_tokens"].as_u64().unwrap()
    );
}

/// Guards against a missing charge when the caller of an unstreamed request disconnects.
#[tokio::test]
async fn unstreamed_request_is_charged_after_a_disconnect() {
    let (fleet, client) = start().await;
    let body = json!({"max_tokens": 40});
    let abandoned = tokio::time::timeout(Duration::from_millis(50), client.complete(&body)).await;
    assert!(abandoned.is_err());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(stop(fleet).await, 42);
}

/// Guards against a response that reaches the caller of another request.
#[tokio::test]
async fn responses_to_other_requests_are_withheld() {
    let (fleet, client) = start().await;
    let foreign = json!({"standin": {"id": "jw-vm-9-0000000000000001"}});
    let response = client.complete(&foreign).await.unwrap();
    assert_eq!(
        (response.status, response.code().as_str()),
        (502, "answer_invalid")
    );
    let mut foreign = completion_body(&foreign);
    foreign["stream"] = json!(true);
    let mut response = client
        .open(Method::POST, COMPLETIONS_PATH, &[], foreign.to_string())
        .await
        .unwrap();
    let mut text = String::new();
    while let Some(data) = next_data(&mut response).await {
        text.push_str(&String::from_utf8_lossy(&data));
    }
    assert!(text.contains("answer_invalid"), "{text}");
    assert!(
        !text.contains("\"content\"") && !text.contains("[DONE]"),
        "{text}"
    );
    fleet.stop().await;
}

/// Guards against tokens that the caller gets twice because an endpoint sends its events twice.
#[tokio::test]
async fn duplicate_events_and_streams_reach_the_caller_once() {
    let (fleet, client) = start().await;
    let duplicated = json!({"stream": true, "standin": {"twice": true}});
    let text = client.complete(&duplicated).await.unwrap().text();
    assert_eq!(token_indexes(&text), (0..8).collect::<Vec<_>>());
    assert_eq!(text.matches("[DONE]").count(), 1);
    assert_eq!(stop(fleet).await, 10);
}

/// Guards against a second run, or missing tokens, when the connection to the endpoint breaks in
/// the middle of a stream.
#[tokio::test]
async fn broken_stream_continues_without_a_second_run() {
    let (fleet, client) = start().await;
    let cut = json!({"stream": true, "standin": {"cut_after": 3}});
    let text = client.complete(&cut).await.unwrap().text();
    assert_eq!(token_indexes(&text), (0..8).collect::<Vec<_>>());
    assert!(text.ends_with("data: [DONE]\n\n"));
    assert_eq!(stop(fleet).await, 10);
}

/// Guards against a silent stream that is cut off because its engine cannot be reached on a new
/// connection, though the open one would bring the rest.
#[tokio::test]
async fn silent_stream_is_kept_while_it_cannot_be_resumed() {
    let (fleet, client) = start().await;
    let fault = json!({"pause_before": 3, "pause_ms": 21_000, "refuses_resume": true});
    let pausing = json!({"stream": true, "standin": fault});
    let text = client.complete(&pausing).await.unwrap().text();
    assert_eq!(token_indexes(&text), (0..8).collect::<Vec<_>>());
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(stop(fleet).await, 10);
}

/// Guards against a caller that takes a truncated response for a complete one when the endpoint has
/// lost the stream.
#[tokio::test]
async fn lost_stream_does_not_end_cleanly() {
    let (fleet, client) = start().await;
    let lost =
        completion_body(&json!({"stream": true, "standin": {"cut_after": 3, "forget": true}}));
    let mut response = client
        .open(Method::POST, COMPLETIONS_PATH, &[], lost.to_string())
        .await
        .unwrap();
    let mut text = String::new();
    let is_complete = loop {
        match response.body_mut().frame().await {
            Some(Ok(frame)) => text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap())),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    assert!(
        !is_complete,
        "the body of a lost stream ended without an error"
    );
    assert!(
        text.contains("outcome_unknown") && !text.contains("[DONE]"),
        "{text}"
    );
    fleet.stop().await;
}

async fn resume(client: &CallerClient, token: &str, last_event: &str) -> CallerResponse {
    let headers = [
        ("x-jasminewall-resume", token),
        ("last-event-id", last_event),
    ];
    let body = completion_body(&json!({"stream": true, "max_tokens": 100})).to_string();
    client
        .send(Method::POST, COMPLETIONS_PATH, &headers, body)
        .await
        .unwrap()
}

/// Opens a stream of 100 tokens and reads up to event 2; returns the open response, the resume
/// token and the request id.
async fn open_stream(client: &CallerClient) -> (Response<Incoming>, String, String) {
    let body = completion_body(&json!({"stream": true, "max_tokens": 100})).to_string();
    let mut response = client
        .open(Method::POST, COMPLETIONS_PATH, &[], body)
        .await
        .unwrap();
    let header = |name: &str| response.headers()[name].to_str().unwrap().to_owned();
    let (token, request) = (
        header("x-jasminewall-resume"),
        header("x-jasminewall-request"),
    );
    let mut text = String::new();
    while !text.contains("id: 2\n") {
        let data = next_data(&mut response).await.unwrap();
        text.push_str(&String::from_utf8_lossy(&data));
    }
    (response, token, request)
}

/// Guards against a second charge when a stream is resumed at another router, and against a resume
/// token that is forged or belongs to another customer.
#[tokio::test]
async fn resumed_stream_is_charged_once_by_its_holder() {
    let (fleet, client) = start().await;
    // Peers are probed every second; the second router must know the first one.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let (mut response, token, _) = open_stream(&client).await;
    let peer = CallerClient::new(fleet.routers[1].address);
    let resumed = resume(&peer, &token, "2").await;
    assert_eq!(token_indexes(&resumed.text()), (3..100).collect::<Vec<_>>());
    assert!(
        resumed.text().contains("x-jasminewall-charged=102 "),
        "{}",
        resumed.text()
    );
    while next_data(&mut response).await.is_some() {}
    let other_customer = CallerClient::with_key(fleet.routers[1].address, SECOND_KEY);
    assert_eq!(
        resume(&other_customer, &token, "2").await.code(),
        "resume_invalid"
    );
    let forged = token.replace('.', "0.");
    assert_eq!(resume(&peer, &forged, "2").await.code(), "resume_invalid");
    let objects = ObjectPort::list(&fleet.platform, "evidence/")
        .await
        .unwrap();
    assert_eq!(objects, Vec::<String>::new());
    assert_eq!(stop(fleet).await, 102);
}

/// Guards against a resumed stream that is not charged until its first router ends it. The caller
/// of that router does not read and thereby blocks the router, so only the peer call can charge the
/// stream.
#[tokio::test]
async fn resumed_stream_is_charged_by_the_peer_call() {
    let (fleet, client) = start().await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let extra =
        json!({"stream": true, "max_tokens": 600, "standin": {"token_ms": 1, "pad": 65536}});
    let body = completion_body(&extra).to_string();
    let response = client
        .open(Method::POST, COMPLETIONS_PATH, &[], body)
        .await
        .unwrap();
    let token = response.headers()["x-jasminewall-resume"]
        .to_str()
        .unwrap()
        .to_owned();
    let peer = CallerClient::new(fleet.routers[1].address);
    let resumed = resume(&peer, &token, "2").await;
    assert_eq!(token_indexes(&resumed.text()), (3..600).collect::<Vec<_>>());
    let mut charged = 0;
    for _ in 0..40 {
        charged = charged_total(&fleet.platform).await.unwrap();
        if charged > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(charged, 602);
    drop(response);
    assert_eq!(stop(fleet).await, 602);
}

/// Guards against a stream, or the evidence for its charge, that is lost with its router.
#[test]
fn stream_survives_the_crash_of_its_router() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let crashing_runtime = tokio::runtime::Runtime::new().unwrap();
    let (fleet, holder, response, token, request) = runtime.block_on(async {
        let (fleet, _) = start().await;
        let setting = RouterSetting {
            vm: "vm-crash".into(),
            listen: "127.0.0.1:0".parse().unwrap(),
            peer_listen: "127.0.0.1:0".parse().unwrap(),
            ..fleet.routers[0].state.setting.clone()
        };
        let ports = fleet.platform.ports();
        let started = crashing_runtime.spawn(RouterHandle::start(setting, ports));
        let router = started.await.unwrap().unwrap();
        wait_ready(&router.state).await.unwrap();
        let (response, token, request) = open_stream(&CallerClient::new(router.address)).await;
        (fleet, router.state.holder.clone(), response, token, request)
    });
    // Aborts all tasks of the router while the stream is open.
    crashing_runtime.shutdown_background();
    runtime.block_on(async {
        drop(response);
        let client = CallerClient::new(fleet.routers[0].address);
        let resumed = resume(&client, &token, "2").await;
        assert_eq!(resumed.status, 200, "{}", resumed.text());
        assert_eq!(token_indexes(&resumed.text()), (3..100).collect::<Vec<_>>());
        let key = format!("evidence/{holder}/{request}");
        let mut evidence = None;
        for _ in 0..100 {
            evidence = fleet.platform.get(&key).await.unwrap();
            if evidence.is_some() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let evidence: Value = serde_json::from_slice(&evidence.unwrap()).unwrap();
        assert_eq!(evidence["tokens"], 102);
        assert_eq!(
            find_stream(&fleet.platform, &request).await["state"],
            "ended"
        );
        fleet.stop().await;
    });
}
