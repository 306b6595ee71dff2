//! HTTP client of the callers in a scenario, and sentences about the outcomes of their requests.

use std::net::SocketAddr;

use {
    anyhow::Result,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, body::Incoming, header::HeaderMap},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jasminewall_core::{RequestId, Revision, Tokens},
    serde_json::{Value, json},
};

/// Outcome of a request as its caller sees it.
pub(super) struct CallerOutcome {
    /// Request id, if the response has one.
    pub(super) request: Option<RequestId>,
    /// Tokens that the response reports as charged.
    pub(super) charged: Tokens,
    /// Whether the caller got no response.
    pub(super) is_lost: bool,
    /// Outcome as a sentence.
    pub(super) sentence: String,
}

/// HTTP client that all callers share.
pub(super) struct ScenarioCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for ScenarioCaller {
    fn default() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

/// Returns the API key of a customer.
pub(super) fn api_key(customer: &str) -> String {
    format!("scenario-key-of-{customer}")
}

impl ScenarioCaller {
    /// Sends a chat completion request and checks that the response has all requested tokens.
    pub(super) async fn complete(
        &self,
        address: SocketAddr,
        customer: &str,
        budget: Option<&str>,
        route: &str,
        prompt: &str,
        tokens: u64,
    ) -> CallerOutcome {
        let body = json!({"model": route, "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}]});
        let mut request = Request::post(format!("http://{address}/v1/chat/completions"))
            .header("authorization", format!("Bearer {}", api_key(customer)))
            .header("content-type", "application/json");
        if let Some(budget) = budget {
            request = request.header("x-jasminewall-budget", budget);
        }
        let is_complete = |body: &Value| {
            let content = body["choices"][0]["message"]["content"].as_str();
            let count = content.map_or(0, |text| text.split_whitespace().count() as u64);
            count == tokens
        };
        self.send(request, body.to_string(), is_complete).await
    }

    /// Sends a service request that must not run twice.
    pub(super) async fn order(
        &self,
        address: SocketAddr,
        customer: &str,
        route: &str,
        key: Option<&str>,
        item: &str,
    ) -> CallerOutcome {
        let path = key.unwrap_or("without-key");
        let mut request = Request::post(format!("http://{address}/svc/{route}/{path}"))
            .header("authorization", format!("Bearer {}", api_key(customer)))
            .header("content-type", "text/plain");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.send(request, item.to_owned(), |_| true).await
    }

    async fn send(
        &self,
        request: hyper::http::request::Builder,
        body: String,
        is_complete: impl Fn(&Value) -> bool,
    ) -> CallerOutcome {
        match self.exchange(request, body).await {
            Ok((status, headers, body)) => parse_outcome(status, &headers, &body, is_complete),
            Err(_) => CallerOutcome {
                request: None,
                charged: 0,
                is_lost: true,
                sentence: "got no answer; the router cannot be reached or broke off".into(),
            },
        }
    }

    async fn exchange(
        &self,
        request: hyper::http::request::Builder,
        body: String,
    ) -> Result<(u16, HeaderMap, Bytes)> {
        let request = request.body(Full::new(Bytes::from(body)))?;
        let response: hyper::Response<Incoming> = self.client.request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok((parts.status.as_u16(), parts.headers, body))
    }

    /// Returns the revision that a router reports as in force.
    pub(super) async fn revision(&self, address: SocketAddr) -> Option<Revision> {
        let request = Request::get(format!("http://{address}/version"));
        let (_, _, body) = self.exchange(request, String::new()).await.ok()?;
        serde_json::from_slice::<Value>(&body).ok()?["revision"].as_u64()
    }
}

/// Derives the outcome from the headers of a response and its body, a result or problem details.
fn parse_outcome(
    status: u16,
    headers: &HeaderMap,
    body: &[u8],
    is_complete: impl Fn(&Value) -> bool,
) -> CallerOutcome {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let request = header("x-jasminewall-request").or_else(|| value["request"].as_str());
    let request = request.map(RequestId::from);
    let charged = header("x-jasminewall-charged").and_then(|charged| charged.parse().ok());
    let charged = charged.or_else(|| value["charged"].as_u64()).unwrap_or(0);
    let charge = match charged {
        0 => "nothing was charged".to_owned(),
        1 => "1 token was charged".to_owned(),
        tokens => format!("{tokens} tokens were charged"),
    };
    let sentence = if (200..300).contains(&status) {
        let answer = if is_complete(&value) {
            "got the complete answer"
        } else {
            "got an answer that is NOT complete"
        };
        format!("{answer}; {charge}")
    } else {
        let ran = match value["ran"].as_str() {
            Some("no") => "it did not run",
            Some("yes") => "it ran",
            _ => "it may have run",
        };
        let detail = value["detail"].as_str().unwrap_or("no reason was given");
        format!("refused ({status}): {detail} So {ran} and {charge}")
    };
    CallerOutcome {
        request,
        charged,
        is_lost: false,
        sentence,
    }
}
