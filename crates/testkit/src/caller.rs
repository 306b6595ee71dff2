//! Caller of a fleet, for tests and measurements of the interface.

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

/// Key of the sample customer.
pub const KEY: &str = "sample-key-parish";
/// Key of the second sample customer.
pub const SECOND_KEY: &str = "sample-key-workshop";
/// Longest time that a fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a raw exchange may take.
const RAW_TIMEOUT: Duration = Duration::from_secs(10);

/// Whole response.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallerResponse {
    /// Body as JSON; `Null` when it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Header as text; empty when it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Code of the problem details; empty for other answers.
    pub fn code(&self) -> String {
        self.json()["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// HTTP client with a key.
#[derive(Clone)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    key: String,
}

impl CallerClient {
    /// Builds a client of the sample customer.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_key(address, KEY)
    }

    /// Builds a client with a key.
    pub fn with_key(address: SocketAddr, key: &str) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
            key: key.to_owned(),
        }
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// When the connection fails.
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
        let is_typed = headers.iter().any(|(name, _)| *name == "content-type");
        if !is_typed {
            request = request.header("content-type", "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        Ok(self.client.request(request).await?)
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When the connection fails or the answer breaks off.
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

    /// Sends a chat completion.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn complete(&self, extra: &Value) -> Result<CallerResponse> {
        let body = completion_body(extra).to_string();
        self.send(Method::POST, "/v1/chat/completions", &[], body)
            .await
    }
}

/// Body of a chat completion with a prompt of two tokens; `extra` adds and replaces fields.
pub fn completion_body(extra: &Value) -> Value {
    let mut body = json!({"model": "glass-7b", "max_tokens": 8,
        "messages": [{"role": "user", "content": "two words"}]});
    if let (Some(body), Some(extra)) = (body.as_object_mut(), extra.as_object()) {
        body.extend(extra.clone());
    }
    body
}

/// Sends bytes, closes the sending half when asked, and reads to the end of the connection.
///
/// # Errors
///
/// When the connection cannot be made or stays open too long.
pub async fn exchange_raw(address: SocketAddr, bytes: &[u8], close: bool) -> Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    // The router may refuse and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    if close {
        stream.shutdown().await?;
    }
    let mut answer = Vec::new();
    let read = timeout(RAW_TIMEOUT, stream.read_to_end(&mut answer)).await;
    let _ = read.context("the connection stays open")?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Starts the sample fleet and waits until all routers are ready.
///
/// # Errors
///
/// When the fleet does not start or become ready.
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
/// When that takes too long.
pub async fn wait_ready(state: &RouterState) -> Result<()> {
    let ready = async {
        while !state.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    if timeout(READY_TIMEOUT, ready).await.is_err() {
        bail!("router {} does not become ready", state.setting.vm);
    }
    Ok(())
}

/// Sum of the tokens charged in all grant rows and of those folded into the pools.
///
/// # Errors
///
/// When the table cannot be read.
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
