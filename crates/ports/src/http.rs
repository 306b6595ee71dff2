use std::{sync::Arc, time::Duration};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Uri, header::HeaderValue},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
};

use crate::{
    Category, Error, Result,
    port::{
        ObjectPort, PlatformPorts, PortFuture, RowWrite, TablePort, TableRow, TransactOutcome,
        VmEntry, VmListPort, WeightPort,
    },
    serve::{CLIENT_HEADER, OPERATOR_HEADER, PortRequest, PortResponse},
};

/// Timeout of a platform call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of a stand-in platform served by [`serve`](crate::serve()).
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    uri: Uri,
    name: Option<HeaderValue>,
    credential: Option<HeaderValue>,
}

impl HttpPlatform {
    /// Creates a client for the address `ip:port`.
    ///
    /// # Errors
    ///
    /// `Invalid` if the address is not `ip:port`.
    pub fn new(address: &str) -> Result<Self> {
        let uri = format!("http://{address}/port").parse().map_err(|_| {
            Error::new(
                Category::Invalid,
                "the platform address is not valid; write it as ip:port",
            )
        })?;
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            uri,
            name: None,
            credential: None,
        })
    }

    /// Sets the client name sent with each call.
    ///
    /// # Errors
    ///
    /// `Invalid` if the name is not a valid header value.
    pub fn with_name(mut self, name: &str) -> Result<Self> {
        self.name = Some(header_value(name)?);
        Ok(self)
    }

    /// Sets the operator credential sent with each call.
    ///
    /// # Errors
    ///
    /// `Invalid` if the credential is not a valid header value.
    pub fn with_credential(mut self, credential: &str) -> Result<Self> {
        let mut value = header_value(credential)?;
        value.set_sensitive(true);
        self.credential = Some(value);
        Ok(self)
    }

    /// Returns ports that call the platform through this client.
    pub fn ports(&self) -> PlatformPorts {
        let port = Arc::new(self.clone());
        PlatformPorts {
            table: port.clone(),
            object: port.clone(),
            vms: port.clone(),
            weights: port,
        }
    }

    /// Sends a call and returns its response.
    ///
    /// # Errors
    ///
    /// `Unavailable` if no connection was established, `Unknown` if no valid response arrived in
    /// time, or the error returned by the platform.
    pub async fn call(&self, request: &PortRequest) -> Result<PortResponse> {
        let body = serde_json::to_vec(request)
            .map_err(|error| Error::new(Category::Invalid, error.to_string()))?;
        let mut builder =
            Request::post(self.uri.clone()).header("content-type", "application/json");
        if let Some(name) = &self.name {
            builder = builder.header(CLIENT_HEADER, name);
        }
        if let Some(credential) = &self.credential {
            builder = builder.header(OPERATOR_HEADER, credential);
        }
        let request = builder
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::new(Category::Invalid, error.to_string()))?;
        match tokio::time::timeout(CALL_TIMEOUT, self.send(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::unknown()),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<PortResponse> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::unavailable()
            } else {
                Error::unknown()
            }
        })?;
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|_| Error::unknown())?;
        serde_json::from_slice::<Result<PortResponse>>(&body.to_bytes())
            .map_err(|_| Error::unknown())?
    }
}

fn header_value(text: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(text).map_err(|_| {
        Error::new(
            Category::Invalid,
            "the header value is not valid; use visible ASCII characters only",
        )
    })
}

fn unexpected_response<T>() -> Result<T> {
    Err(Error::new(
        Category::Unknown,
        "the platform returned a response of the wrong type; read back before retrying",
    ))
}

macro_rules! call_expecting {
    ($self:ident, $request:expr, $variant:ident) => {
        Box::pin(async move {
            match $self.call(&$request).await? {
                PortResponse::$variant(value) => Ok(value),
                _ => unexpected_response(),
            }
        })
    };
}

impl TablePort for HttpPlatform {
    fn read<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<TableRow>> {
        call_expecting!(
            self,
            PortRequest::Read {
                key: key.to_owned()
            },
            Row
        )
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<TableRow>> {
        call_expecting!(
            self,
            PortRequest::Scan {
                prefix: prefix.to_owned()
            },
            Rows
        )
    }

    fn transact(&self, writes: Vec<RowWrite>) -> PortFuture<'_, TransactOutcome> {
        let request = PortRequest::Transact { writes };
        call_expecting!(self, request, Outcome)
    }
}

impl ObjectPort for HttpPlatform {
    fn put_new<'a>(&'a self, key: &'a str, value: Vec<u8>) -> PortFuture<'a, bool> {
        let request = PortRequest::PutNew {
            key: key.to_owned(),
            value,
        };
        call_expecting!(self, request, Flag)
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<Vec<u8>>> {
        call_expecting!(
            self,
            PortRequest::Get {
                key: key.to_owned()
            },
            Object
        )
    }

    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<String>> {
        call_expecting!(
            self,
            PortRequest::List {
                prefix: prefix.to_owned()
            },
            Keys
        )
    }
}

impl VmListPort for HttpPlatform {
    fn list(&self) -> PortFuture<'_, Vec<VmEntry>> {
        call_expecting!(self, PortRequest::Vms, Vms)
    }
}

impl WeightPort for HttpPlatform {
    fn permit<'a>(&'a self, model: &'a str) -> PortFuture<'a, bool> {
        call_expecting!(
            self,
            PortRequest::Permit {
                model: model.to_owned()
            },
            Flag
        )
    }
}
