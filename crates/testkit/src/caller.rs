//! HTTP client of a fleet, for tests and load measurements of the caller API.

use std::{net::SocketAddr, time::Duration};

use {
    anyhow::{Context, Result, bail},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, Response, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jasminewall_core::{
        Tokens,
        budget::{GrantRow, PoolRow},
    },
    jasminewall_ports::{MemoryPlatform, TablePort},
    jasminewall_router::{EmbeddedFleet, RouterState, setting::CallerLimits},
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

use crate::loopback::unique_loopback;

/// API key of the first sample customer.
pub const FIRST_KEY: &str = "sample-key-parish";
/// API key of the second sample customer.
pub const SECOND_KEY: &str = "sample-key-workshop";
/// Time limit for a router to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for reading the response of a raw exchange.
const RAW_TIMEOUT: Duration = Duration::from_secs(10);

/// Response with its complete body.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl CallerResponse {
    /// Parses the body as JSON; returns `Null` when it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns a header as text, or an empty string when it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the code of the problem details, or an empty string for other responses.
    pub fn code(&self) -> String {
        self.json()["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// HTTP client that authenticates with an API key.
#[derive(Clone)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    key: String,
}

impl CallerClient {
    /// Creates a client with the key of the first sample customer.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_key(address, FIRST_KEY)
    }

    /// Creates a client with the given key.
    pub fn with_key(address: SocketAddr, key: &str) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
            key: key.to_owned(),
        }
    }

    /// Sends a request and returns the response as soon as its headers arrive.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key));
        let has_content_type = headers.iter().any(|(name, _)| *name == "content-type");
        if !has_content_type {
            request = request.header("content-type", "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        Ok(self.client.request(request).await?)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the response is truncated.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<CallerResponse> {
        let response = self.open(method, path, headers, body).await?;
        let (parts, body) = response.into_parts();
        Ok(CallerResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    /// Sends a chat completion request; `fields` is passed to [`completion_body`].
    ///
    /// # Errors
    ///
    /// Fails under the same conditions as [`Self::send`].
    pub async fn complete(&self, fields: &Value) -> Result<CallerResponse> {
        let body = completion_body(fields).to_string();
        self.send(Method::POST, "/v1/chat/completions", &[], body)
            .await
    }
}

/// Builds the body of a chat completion request with a prompt of two tokens; `fields` adds or
/// replaces fields.
pub fn completion_body(fields: &Value) -> Value {
    let mut body = json!({"model": "glass-7b", "max_tokens": 8,
        "messages": [{"role": "user", "content": "two words"}]});
    if let (Some(body), Some(fields)) = (body.as_object_mut(), fields.as_object()) {
        body.extend(fields.clone());
    }
    body
}

/// Sends bytes over TCP, shuts down the sending half if `half_close` is set, and reads until the
/// router closes the connection.
///
/// # Errors
///
/// Fails when the connection cannot be established or is not closed within 10 s.
pub async fn exchange_raw(address: SocketAddr, bytes: &[u8], half_close: bool) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    // Write errors are ignored: the router may refuse the request and close the connection early.
    let _ = stream.write_all(bytes).await;
    if half_close {
        stream.shutdown().await?;
    }
    let mut response = Vec::new();
    let read = timeout(RAW_TIMEOUT, stream.read_to_end(&mut response)).await;
    let _ = read.context("the connection was not closed in time")?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Starts the sample fleet and waits until all its routers are ready.
///
/// # Errors
///
/// Fails when the fleet does not start or a router is not ready within 10 s.
pub async fn start_fleet(limits: CallerLimits) -> Result<EmbeddedFleet> {
    let fleet = EmbeddedFleet::start_with_limits(unique_loopback().into(), limits).await?;
    for router in &fleet.routers {
        wait_ready(&router.state).await?;
    }
    Ok(fleet)
}

/// Waits until a router is ready.
///
/// # Errors
///
/// Fails when the router is not ready within 10 s.
pub async fn wait_ready(state: &RouterState) -> Result<()> {
    let ready = async {
        while !state.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    if timeout(READY_TIMEOUT, ready).await.is_err() {
        bail!("router {} is not ready in time", state.setting.vm);
    }
    Ok(())
}

/// Sums the tokens charged in all grant rows and those already folded into the pool rows.
///
/// # Errors
///
/// Fails when the table cannot be read.
pub async fn charged_total(platform: &MemoryPlatform) -> Result<Tokens> {
    let mut total = 0;
    for row in platform.scan("grant/").await? {
        let row: GrantRow = serde_json::from_str(&row.value)?;
        total += row
            .accounts
            .values()
            .map(|account| account.charged)
            .sum::<Tokens>();
    }
    for row in platform.scan("pool/").await? {
        let row: PoolRow = serde_json::from_str(&row.value)?;
        total += row
            .budgets
            .values()
            .map(|entry| entry.spent)
            .sum::<Tokens>();
    }
    Ok(total)
}
