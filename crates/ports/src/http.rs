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

/// Longest time that a platform call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of a platform stand-in that is served over HTTP.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    uri: Uri,
    name: Option<HeaderValue>,
    credential: Option<HeaderValue>,
}

impl HttpPlatform {
    /// Builds a client for the address `ip:port`.
    ///
    /// # Errors
    ///
    /// `Invalid` when the address is not `ip:port`.
    pub fn new(address: &str) -> Result<Self> {
        let uri = format!("http://{address}/port").parse().map_err(|_| {
            Error::new(Category::Invalid, "write the platform's address as ip:port")
        })?;
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            uri,
            name: None,
            credential: None,
        })
    }

    /// Names the client in each call.
    ///
    /// # Errors
    ///
    /// `Invalid` when the name has characters that a header cannot carry.
    pub fn with_name(mut self, name: &str) -> Result<Self> {
        self.name = Some(header_value(name)?);
        Ok(self)
    }

    /// Sends an operator's credential with each call.
    ///
    /// # Errors
    ///
    /// `Invalid` when the credential has characters that a header cannot carry.
    pub fn with_credential(mut self, credential: &str) -> Result<Self> {
        let mut value = header_value(credential)?;
        value.set_sensitive(true);
        self.credential = Some(value);
        Ok(self)
    }

    /// Ports that reach the platform through this client.
    pub fn ports(&self) -> PlatformPorts {
        let port = Arc::new(self.clone());
        PlatformPorts {
            table: port.clone(),
            object: port.clone(),
            vms: port.clone(),
            weights: port,
        }
    }

    /// Sends one call and reads its answer.
    ///
    /// # Errors
    ///
    /// `Unavailable` when no connection was made, `Unknown` when the answer was lost.
    pub async fn call(&self, request: &PortRequest) -> Result<PortResponse> {
        let body = serde_json::to_vec(request)
            .map_err(|error| Error::new(Category::Invalid, error.to_string()))?;
        let mut call = Request::post(self.uri.clone()).header("content-type", "application/json");
        if let Some(name) = &self.name {
            call = call.header(CLIENT_HEADER, name);
        }
        if let Some(credential) = &self.credential {
            call = call.header(OPERATOR_HEADER, credential);
        }
        let request = call
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::new(Category::Invalid, error.to_string()))?;
        match tokio::time::timeout(CALL_TIMEOUT, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::unknown()),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<PortResponse> {
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
    HeaderValue::from_str(text)
        .map_err(|_| Error::new(Category::Invalid, "write visible ASCII characters only"))
}

fn unexpected<T>() -> Result<T> {
    Err(Error::new(
        Category::Unknown,
        "the platform sent an answer of another call; read back",
    ))
}

macro_rules! expect {
    ($self:ident, $request:expr, $variant:ident) => {
        Box::pin(async move {
            match $self.call(&$request).await? {
                PortResponse::$variant(value) => Ok(value),
                _ => unexpected(),
            }
        })
    };
}

impl TablePort for HttpPlatform {
    fn read<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<TableRow>> {
        expect!(
            self,
            PortRequest::Read {
                key: key.to_owned()
            },
            Row
        )
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<TableRow>> {
        expect!(
            self,
            PortRequest::Scan {
                prefix: prefix.to_owned()
            },
            Rows
        )
    }

    fn transact(&self, writes: Vec<RowWrite>) -> PortFuture<'_, TransactOutcome> {
        let request = PortRequest::Transact { writes };
        expect!(self, request, Outcome)
    }
}

impl ObjectPort for HttpPlatform {
    fn put_new<'a>(&'a self, key: &'a str, value: Vec<u8>) -> PortFuture<'a, bool> {
        let request = PortRequest::PutNew {
            key: key.to_owned(),
            value,
        };
        expect!(self, request, Flag)
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Option<Vec<u8>>> {
        expect!(
            self,
            PortRequest::Get {
                key: key.to_owned()
            },
            Object
        )
    }

    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Vec<String>> {
        expect!(
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
        expect!(self, PortRequest::Vms, Vms)
    }
}

impl WeightPort for HttpPlatform {
    fn permit<'a>(&'a self, model: &'a str) -> PortFuture<'a, bool> {
        expect!(
            self,
            PortRequest::Permit {
                model: model.to_owned()
            },
            Flag
        )
    }
}
