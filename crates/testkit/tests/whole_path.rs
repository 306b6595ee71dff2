//! Guards against a failure anywhere on the path from a completion request to the charge of its
//! budget.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    jasminewall_router::EmbeddedFleet,
    jasminewall_testkit::loopback::unique_loopback,
    serde_json::{Value, json},
};

#[tokio::test]
async fn completion_is_answered_and_charged() {
    let fleet = EmbeddedFleet::start(unique_loopback().into())
        .await
        .unwrap();
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let body = json!({"model": "glass-7b", "max_tokens": 8,
        "messages": [{"role": "user", "content": "two words"}]});
    let url = format!("http://{}/v1/chat/completions", fleet.routers[0].address);
    for _ in 0..100 {
        if fleet.routers[0].state.is_ready() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let request = Request::post(url)
        .header("authorization", "Bearer sample-key-parish")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let response = client.request(request).await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["x-jasminewall-charged"], "10");
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body["usage"]["total_tokens"], 10);
    fleet.stop().await;
}
