//! Exchange between routers: newer state for those that the store refuses, and spare tokens.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    futures_util::{StreamExt, future::join_all},
    jasminewall_core::{BootId, CustomerId, Tokens, VmId},
    jasminewall_ports::{Category, RowKey, RowPort, RowReply, RowTransaction, RowUpdate},
    rand::seq::IndexedRandom,
    serde::{Deserialize, Serialize},
    tarpc::{
        client, context,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Bincode,
    },
    tokio::time::timeout,
};

use crate::{
    book::{SpendBook, TokenPeers},
    fleet::FleetView,
    record::{EndpointRecord, FleetConfig},
};

/// Table in which routers register.
pub const PEER_TABLE: &str = "router";
/// Time between two reads of the registered routers.
const PEER_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two questions to peers while the store does not answer; four fit into the two
/// seconds in which a configuration must be in force.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a peer; links within a region take a few milliseconds.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);
/// Peers asked at once, so that the cost of a question does not grow with the fleet.
const ASKED_PEERS: usize = 3;

/// Registration of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Run of the router.
    pub boot: BootId,
    /// Address for other routers.
    pub address: SocketAddr,
}

/// State that is newer than what the asking router has.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetNews {
    /// Newer configuration.
    pub config: Option<FleetConfig>,
    /// Newer registrations with their store version.
    pub endpoints: Option<(u64, Vec<EndpointRecord>)>,
}

/// Calls between routers.
#[tarpc::service]
pub trait RouterPeer {
    /// State that is newer than the named versions.
    async fn news(config_version: u64, endpoint_version: u64) -> FleetNews;
    /// Takes spare tokens of a customer; the answer says how many.
    async fn give(customer: CustomerId, wanted: Tokens) -> Tokens;
}

#[derive(Clone)]
struct PeerServer {
    view: Arc<FleetView>,
    book: Arc<SpendBook>,
}

impl RouterPeer for PeerServer {
    async fn news(
        self,
        _: context::Context,
        config_version: u64,
        endpoint_version: u64,
    ) -> FleetNews {
        let config = self.view.config();
        let config = config.filter(|config| config.version > config_version);
        let version = self.view.endpoint_version();
        let newer = version > endpoint_version && !self.view.is_store_away();
        FleetNews {
            config: config.map(|config| FleetConfig::clone(&config)),
            endpoints: newer.then(|| (version, self.view.records(Instant::now()))),
        }
    }

    async fn give(self, _: context::Context, customer: CustomerId, wanted: Tokens) -> Tokens {
        let given = self.book.give(&customer, wanted);
        tracing::info!(%customer, wanted, given, "gave tokens to a peer");
        given
    }
}

/// Other routers, as registered in the store.
pub struct PeerGroup {
    vm: VmId,
    record: PeerRecord,
    rows: Arc<dyn RowPort>,
    peers: Mutex<HashMap<VmId, PeerLink>>,
}

struct PeerLink {
    record: PeerRecord,
    client: Option<RouterPeerClient>,
}

impl PeerGroup {
    /// Starts without knowledge of other routers.
    pub fn new(vm: VmId, record: PeerRecord, rows: Arc<dyn RowPort>) -> Arc<Self> {
        Arc::new(Self {
            vm,
            record,
            rows,
            peers: Mutex::default(),
        })
    }

    /// Registers this router; the registration of an earlier run is replaced.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn register(&self) -> jasminewall_ports::Result<()> {
        // A record of plain fields always encodes.
        let value = Bytes::from(serde_json::to_vec(&self.record).unwrap_or_default());
        self.write(Some(value)).await
    }

    /// Removes the registration of this router.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn unregister(&self) -> jasminewall_ports::Result<()> {
        self.write(None).await
    }

    async fn write(&self, value: Option<Bytes>) -> jasminewall_ports::Result<()> {
        let key = RowKey::new(PEER_TABLE, "", self.vm.clone());
        let transaction = RowTransaction {
            expect: Vec::new(),
            updates: vec![RowUpdate { key, value }],
        };
        match self.rows.transact(transaction).await? {
            RowReply::Committed(_) => Ok(()),
            RowReply::Conflict(_) => Err(jasminewall_ports::Error::new(
                Category::Invalid,
                "the store reported a conflict for a write without a condition",
            )),
        }
    }

    /// Reads the registered routers.
    ///
    /// # Errors
    ///
    /// When the store does not answer.
    pub async fn refresh(&self) -> jasminewall_ports::Result<usize> {
        let page = self.rows.read(PEER_TABLE, "").await?;
        let mut peers = self.peers();
        let mut found = HashMap::new();
        for row in page.rows {
            let value = row.value.unwrap_or_default();
            let record: PeerRecord = match serde_json::from_slice(&value) {
                Ok(record) => record,
                Err(error) => {
                    tracing::warn!(vm = %row.key.key, %error, "the registration of a router cannot be read; it is left out");
                    continue;
                }
            };
            if row.key.key == self.vm {
                continue;
            }
            let known = peers.remove(&row.key.key);
            let link = match known {
                Some(link) if link.record == record => link,
                _ => {
                    tracing::info!(vm = %row.key.key, address = %record.address, "router registered");
                    PeerLink {
                        record,
                        client: None,
                    }
                }
            };
            found.insert(row.key.key, link);
        }
        *peers = found;
        Ok(peers.len() + 1)
    }

    /// Some routers with open connections, drawn at random.
    async fn draw(&self) -> Vec<(VmId, RouterPeerClient)> {
        let drawn: Vec<(VmId, SocketAddr, Option<RouterPeerClient>)> = {
            let peers = self.peers();
            let all: Vec<(&VmId, &PeerLink)> = peers.iter().collect();
            let some = all.choose_multiple(&mut rand::rng(), ASKED_PEERS);
            let some =
                some.map(|(vm, link)| ((*vm).clone(), link.record.address, link.client.clone()));
            some.collect()
        };
        let opened = drawn.into_iter().map(async |(vm, address, client)| {
            if let Some(client) = client {
                return Some((vm, client));
            }
            let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default);
            let transport = match timeout(PEER_TIMEOUT, transport).await {
                Ok(Ok(transport)) => transport,
                Ok(Err(error)) => {
                    tracing::debug!(%vm, %error, "a router could not be reached");
                    return None;
                }
                Err(_) => return None,
            };
            let client = RouterPeerClient::new(client::Config::default(), transport).spawn();
            if let Some(link) = self.peers().get_mut(&vm) {
                link.client = Some(client.clone());
            }
            Some((vm, client))
        });
        join_all(opened).await.into_iter().flatten().collect()
    }

    /// Closes the connection to a router that did not answer; the next question opens a new one.
    fn drop_link(&self, vm: &VmId) {
        if let Some(link) = self.peers().get_mut(vm) {
            link.client = None;
        }
    }

    /// Asks some routers for state that is newer.
    pub(crate) async fn ask_news(&self, view: &FleetView) {
        for (vm, client) in self.draw().await {
            let versions = (view.config_version(), view.endpoint_version());
            let asked = client.news(deadline(), versions.0, versions.1);
            match timeout(PEER_TIMEOUT, asked).await {
                Ok(Ok(news)) => {
                    if let Some(config) = news.config {
                        view.install(config, "peer");
                    }
                    if let Some((version, records)) = news.endpoints {
                        view.adopt_endpoints(version, records, Instant::now());
                    }
                }
                _ => self.drop_link(&vm),
            }
        }
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<VmId, PeerLink>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TokenPeers for PeerGroup {
    fn ask<'a>(
        &'a self,
        customer: &'a CustomerId,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = Tokens> + Send + 'a>> {
        Box::pin(async move {
            let peers = self.draw().await;
            let asked = peers.into_iter().map(async |(vm, client)| {
                let given = client.give(deadline(), customer.clone(), wanted);
                // Tokens whose answer is lost stay out of use, which is safe.
                if let Ok(Ok(given)) = timeout(PEER_TIMEOUT, given).await {
                    given
                } else {
                    self.drop_link(&vm);
                    0
                }
            });
            join_all(asked).await.into_iter().sum()
        })
    }
}

fn deadline() -> context::Context {
    let mut context = context::current();
    context.deadline = (Instant::now() + PEER_TIMEOUT).into();
    context
}

/// Answers other routers for as long as the router runs.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    view: Arc<FleetView>,
    book: Arc<SpendBook>,
) -> std::io::Result<()> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let server = PeerServer { view, book };
    tokio::spawn(async move {
        while let Some(accepted) = incoming.next().await {
            let transport = match accepted {
                Ok(transport) => transport,
                Err(error) => {
                    tracing::warn!(%error, "a router's connection was not accepted");
                    continue;
                }
            };
            let channel = BaseChannel::with_defaults(transport);
            let server = server.clone();
            tokio::spawn(async move {
                let requests = channel.execute(server.serve());
                requests
                    .for_each(async |request| {
                        tokio::spawn(request);
                    })
                    .await;
            });
        }
    });
    Ok(())
}

/// Keeps the registration and the list of routers fresh; `notify` gets the number of routers.
pub(crate) async fn follow_peers(group: Arc<PeerGroup>, notify: impl Fn(usize)) {
    let mut registered = false;
    loop {
        if !registered {
            match group.register().await {
                Ok(()) => registered = true,
                Err(error) => tracing::warn!(%error, "the router could not be registered"),
            }
        }
        let mut pause = PEER_INTERVAL;
        match group.refresh().await {
            Ok(routers) => notify(routers),
            Err(error) => {
                tracing::debug!(%error, "the routers could not be read");
                pause = NEWS_INTERVAL;
            }
        }
        if !registered {
            pause = NEWS_INTERVAL;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Asks peers for newer state while the store does not answer.
pub(crate) async fn follow_news(group: Weak<PeerGroup>, view: Arc<FleetView>) {
    loop {
        tokio::time::sleep(NEWS_INTERVAL).await;
        let Some(group) = group.upgrade() else { return };
        if view.is_store_away() || !view.is_ready() {
            group.ask_news(&view).await;
        }
    }
}
