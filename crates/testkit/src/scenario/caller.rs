//! Callers of a scenario and the sentences about what they were told.

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

/// What a caller was told.
pub(super) struct CallerOutcome {
    /// Id of the request, when the router named it.
    pub(super) request: Option<RequestId>,
    /// Tokens that the caller was told.
    pub(super) charged: Tokens,
    /// Whether the caller got no answer.
    pub(super) lost: bool,
    /// The outcome as a sentence.
    pub(super) sentence: String,
}

/// HTTP client of all callers.
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

/// Key of a customer.
pub(super) fn key_of(customer: &str) -> String {
    format!("scenario-key-of-{customer}")
}

impl ScenarioCaller {
    /// Asks a model and checks that the answer is whole.
    pub(super) async fn ask(
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
            .header("authorization", format!("Bearer {}", key_of(customer)))
            .header("content-type", "application/json");
        if let Some(budget) = budget {
            request = request.header("x-jasminewall-budget", budget);
        }
        let whole = |body: &Value| {
            let content = body["choices"][0]["message"]["content"].as_str();
            let written = content.map_or(0, |text| text.split_whitespace().count() as u64);
            written == tokens
        };
        self.send(request, body.to_string(), whole).await
    }

    /// Orders something that must not be made twice.
    pub(super) async fn order(
        &self,
        address: SocketAddr,
        customer: &str,
        route: &str,
        key: Option<&str>,
        what: &str,
    ) -> CallerOutcome {
        let path = key.unwrap_or("without-key");
        let mut request = Request::post(format!("http://{address}/svc/{route}/{path}"))
            .header("authorization", format!("Bearer {}", key_of(customer)))
            .header("content-type", "text/plain");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.send(request, what.to_owned(), |_| true).await
    }

    async fn send(
        &self,
        request: hyper::http::request::Builder,
        body: String,
        whole: impl Fn(&Value) -> bool,
    ) -> CallerOutcome {
        match self.exchange(request, body).await {
            Ok((status, headers, body)) => outcome_of(status, &headers, &body, whole),
            Err(_) => CallerOutcome {
                request: None,
                charged: 0,
                lost: true,
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

    /// Revision that a router says it has in force.
    pub(super) async fn revision(&self, address: SocketAddr) -> Option<Revision> {
        let request = Request::get(format!("http://{address}/version"));
        let (_, _, body) = self.exchange(request, String::new()).await.ok()?;
        serde_json::from_slice::<Value>(&body).ok()?["revision"].as_u64()
    }
}

fn outcome_of(
    status: u16,
    headers: &HeaderMap,
    body: &[u8],
    whole: impl Fn(&Value) -> bool,
) -> CallerOutcome {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let request = header("x-jasminewall-request").or_else(|| value["request"].as_str());
    let request = request.map(RequestId::from);
    let told = header("x-jasminewall-charged").and_then(|told| told.parse().ok());
    let charged = told.or_else(|| value["charged"].as_u64()).unwrap_or(0);
    let price = match charged {
        0 => "nothing was charged".to_owned(),
        1 => "1 token was charged".to_owned(),
        tokens => format!("{tokens} tokens were charged"),
    };
    let sentence = if (200..300).contains(&status) {
        let answer = if whole(&value) {
            "got the complete answer"
        } else {
            "got an answer that is NOT complete"
        };
        format!("{answer}; {price}")
    } else {
        let ran = match value["ran"].as_str() {
            Some("no") => "it did not run",
            Some("yes") => "it ran",
            _ => "it may have run",
        };
        let detail = value["detail"].as_str().unwrap_or("no reason was given");
        format!("refused ({status}): {detail} So {ran} and {price}")
    };
    CallerOutcome {
        request,
        charged,
        lost: false,
        sentence,
    }
}
