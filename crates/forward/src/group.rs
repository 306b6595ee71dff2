//! Other routers as registered in the store, and the exchange with them.

use std::{
    collections::{HashMap, HashSet},
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    jasminewall_core::{CustomerId, DomainId, Tokens, VmId},
    jasminewall_ports::{Category, RowKey, RowPort, RowReply, RowTransaction, RowUpdate},
    rand::seq::IndexedRandom,
    tarpc::{client, context, tokio_serde::formats::Bincode},
    tokio::time::{timeout, timeout_at},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

use crate::{
    fleet::FleetView,
    forwarder::Forwarder,
    manager::{BudgetManager, PredecessorEnd, TokenPeers},
    peer::{CrashRecord, PEER_TIMEOUT, PeerRecord, RouterPeerClient},
    session::{SessionMode, StoreSession},
};

/// Table of registered routers.
const PEER_TABLE: &str = "router";
/// Interval between reads of the registered routers.
const PEER_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between reads shortly after the start, while other routers may be starting.
const START_INTERVAL: Duration = Duration::from_millis(750);
/// Time after the start for which the routers are read more often.
const START_PERIOD: Duration = Duration::from_secs(6);
/// Interval at which peers are asked for newer state while the store is unreachable. It fits four
/// times into the two seconds within which a configuration must be in force.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers that are asked for newer state; constant, so that the cost does not grow with
/// the fleet.
const UPDATE_PEERS: usize = 3;
/// Largest number of peers that are asked for tokens in addition to the owners of grants of the
/// customer. They are asked one after the other until there are enough tokens.
const TOKEN_PEERS: usize = 8;
/// Fleet size up to which every router owns a grant of every customer. In larger fleets a router's
/// share of a customer's demand is less than one request, so one router per failure domain owns a
/// grant and the others ask it.
const ALL_OWNERS_MAX: usize = 16;
/// Longest wait for tokens from a peer, including the peer's transactions at the store. Tokens in a
/// later response are lost to both routers.
const GIVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest number of routers to which a router sends its load. The messages must not fill a link of
/// 10 Mbit/s, even if the router serves most callers of its failure domain.
const NEIGHBOUR_LIMIT: usize = 12;
/// Time per router of the fleet for which load changes are batched into one message. In a small
/// fleet the delay is short compared to the time to read a prompt. In a large one it keeps the
/// messages to a small part of a link's traffic.
const LOAD_DELAY_PER_ROUTER: Duration = Duration::from_millis(1);
/// Interval at which unchanged loads are sent again.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Number of peers to which a stopping router tries to hand its tokens.
const DEPOSIT_PEERS: usize = 3;
/// Time for which an unresponsive peer is not called again.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(2);

/// Other routers, as registered in the store.
pub(crate) struct PeerGroup {
    vm: VmId,
    record: PeerRecord,
    rows: Arc<dyn RowPort>,
    peers: Mutex<HashMap<VmId, PeerEntry>>,
}

struct PeerEntry {
    record: PeerRecord,
    client: Option<RouterPeerClient>,
    /// When an unresponsive peer may be called again.
    unresponsive_until: Option<Instant>,
}

/// Peer to call, with its open connection if there is one.
struct PeerTarget {
    vm: VmId,
    address: SocketAddr,
    client: Option<RouterPeerClient>,
}

impl PeerEntry {
    /// Whether the peer may be called: it was not found unresponsive recently.
    fn is_responsive(&self, now: Instant) -> bool {
        self.unresponsive_until.is_none_or(|until| until <= now)
    }

    fn target(&self, vm: &VmId) -> PeerTarget {
        PeerTarget {
            vm: vm.clone(),
            address: self.record.address,
            client: self.client.clone(),
        }
    }
}

impl PeerGroup {
    /// Creates a group that knows no other router.
    pub(crate) fn new(vm: VmId, record: PeerRecord, rows: Arc<dyn RowPort>) -> Arc<Self> {
        Arc::new(Self {
            vm,
            record,
            rows,
            peers: Mutex::default(),
        })
    }

    /// Writes the registration of this router with a heartbeat.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    async fn send_heartbeat(&self, budgets: &BudgetManager) -> jasminewall_ports::Result<()> {
        let now = Instant::now();
        let record = PeerRecord {
            heartbeat: budgets.session().heartbeat(now),
            ..self.record.clone()
        };
        // Serializing plain fields cannot fail.
        let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        budgets.session().heartbeat_sent(now);
        let written = self.write(Some(value)).await;
        let mut session = budgets.session();
        match &written {
            Ok(now_ms) => {
                session.record_clock(*now_ms, Instant::now());
                session.heartbeat_written();
            }
            Err(error) if error.category() == Category::Unavailable => session.heartbeat_rejected(),
            Err(_) => session.heartbeat_uncertain(),
        }
        written.map(|_| ())
    }

    /// Removes the registration of this router.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    pub(crate) async fn unregister(&self) -> jasminewall_ports::Result<()> {
        self.write(None).await.map(|_| ())
    }

    async fn write(&self, value: Option<Bytes>) -> jasminewall_ports::Result<u64> {
        let key = RowKey::new(PEER_TABLE, "", self.vm.clone());
        let transaction = RowTransaction {
            preconditions: Vec::new(),
            updates: vec![RowUpdate { key, value }],
        };
        match self.rows.transact(transaction).await? {
            RowReply::Committed { now_ms, .. } => Ok(now_ms),
            RowReply::Conflict(_) => Err(jasminewall_ports::Error::new(
                Category::Invalid,
                "the store reported a conflict for a write without a condition",
            )),
        }
    }

    /// Routers that own grants of a customer in a large fleet: one per failure domain, chosen by
    /// rendezvous hashing, with this router's domain first. `None` stands for this router.
    fn owners(&self, customer: &CustomerId) -> Vec<Option<PeerTarget>> {
        let now = Instant::now();
        let peers = self.peers();
        let seed = xxh3_64(customer.as_bytes());
        let rank = |vm: &VmId| xxh3_64_with_seed(vm.as_bytes(), seed);
        let mut first = HashMap::from([(&self.record.domain, (rank(&self.vm), None))]);
        for (vm, entry) in peers.iter().filter(|(_, entry)| entry.is_responsive(now)) {
            let candidate = (rank(vm), Some(vm));
            let best = first.entry(&entry.record.domain).or_insert(candidate);
            if candidate.0 > best.0 {
                *best = candidate;
            }
        }
        let mut owners: Vec<(&DomainId, (u64, Option<&VmId>))> = first.into_iter().collect();
        owners.sort_by_key(|(domain, (rank, _))| (**domain != self.record.domain, *rank));
        let owners = owners.into_iter().map(|(_, (_, vm))| vm);
        owners.map(|vm| vm.map(|vm| peers[vm].target(vm))).collect()
    }

    /// Number of routers that own grants of one customer.
    fn owner_count(&self) -> usize {
        let peers = self.peers();
        if peers.len() < ALL_OWNERS_MAX {
            return peers.len() + 1;
        }
        let domains = peers.values().map(|entry| &entry.record.domain);
        let domains: HashSet<&DomainId> = domains.chain([&self.record.domain]).collect();
        domains.len()
    }

    /// Reads the registered routers. Returns their number and how the previous run on this VM
    /// ended.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    async fn refresh(
        &self,
        budgets: &BudgetManager,
    ) -> jasminewall_ports::Result<(usize, PredecessorEnd)> {
        let page = self.rows.read(PEER_TABLE, "").await?;
        budgets.session().record_clock(page.now_ms, Instant::now());
        let now_ms = page.now_ms;
        let mut end = PredecessorEnd::Unknown;
        let mut peers = self.peers();
        let mut entries = HashMap::new();
        for row in page.rows {
            let value = row.value.unwrap_or_default();
            let record: PeerRecord = match serde_json::from_slice(&value) {
                Ok(record) => record,
                Err(error) => {
                    tracing::warn!(vm = %row.key.key, %error, "skipped an unreadable registration of a router");
                    continue;
                }
            };
            if row.key.key == self.vm {
                let late = StoreSession::max_lateness(record.heartbeat, now_ms);
                if let Some(late) = late.filter(|_| record.boot != self.record.boot) {
                    let boot = record.boot;
                    end = PredecessorEnd::Attached { boot, late };
                }
                continue;
            }
            let previous = peers.remove(&row.key.key);
            let entry = match previous {
                Some(entry) if entry.record.boot == record.boot => entry,
                _ => {
                    tracing::info!(vm = %row.key.key, address = %record.address, "router registered");
                    PeerEntry {
                        record,
                        client: None,
                        unresponsive_until: None,
                    }
                }
            };
            entries.insert(row.key.key, entry);
        }
        *peers = entries;
        Ok((peers.len() + 1, end))
    }

    /// Random selection of responsive routers.
    fn sample(&self, limit: usize) -> Vec<PeerTarget> {
        let now = Instant::now();
        let peers = self.peers();
        let responsive = peers.iter().filter(|(_, entry)| entry.is_responsive(now));
        let responsive: Vec<(&VmId, &PeerEntry)> = responsive.collect();
        let selected = responsive.choose_multiple(&mut rand::rng(), limit);
        selected.map(|(vm, entry)| entry.target(vm)).collect()
    }

    /// Routers that get the load of this one: all of a small fleet, otherwise some of the same
    /// failure domain, so that the number of messages stays bounded.
    fn neighbours(&self) -> Vec<PeerTarget> {
        let now = Instant::now();
        let peers = self.peers();
        let is_small = peers.len() < NEIGHBOUR_LIMIT;
        let neighbours = peers.iter().filter(|(_, entry)| {
            (is_small || entry.record.domain == self.record.domain) && entry.is_responsive(now)
        });
        let mut neighbours: Vec<(&VmId, &PeerEntry)> = neighbours.collect();
        neighbours.sort_by_key(|(vm, _)| xxh3_64_with_seed(vm.as_bytes(), self.record.boot));
        let neighbours = neighbours.into_iter().take(NEIGHBOUR_LIMIT);
        neighbours.map(|(vm, entry)| entry.target(vm)).collect()
    }

    /// Time for which load changes are batched into one message.
    fn load_delay(&self) -> Duration {
        let routers = self.peers().len() + 1;
        LOAD_DELAY_PER_ROUTER * u32::try_from(routers).unwrap_or(u32::MAX)
    }

    /// Returns the connection to a peer, and opens it if there is none.
    async fn connect(&self, target: &PeerTarget) -> Option<RouterPeerClient> {
        if let Some(client) = &target.client {
            return Some(client.clone());
        }
        let transport = tarpc::serde_transport::tcp::connect(target.address, Bincode::default);
        let Ok(Ok(transport)) = timeout(PEER_TIMEOUT, transport).await else {
            self.mark_unresponsive(&target.vm);
            return None;
        };
        let client = RouterPeerClient::new(client::Config::default(), transport).spawn();
        if let Some(entry) = self.peers().get_mut(&target.vm) {
            entry.client = Some(client.clone());
        }
        Some(client)
    }

    /// Closes the connection to an unresponsive router and excludes the router for a while.
    fn mark_unresponsive(&self, vm: &VmId) {
        let now = Instant::now();
        if let Some(entry) = self.peers().get_mut(vm) {
            // Several calls to one router may fail at the same time.
            if entry.is_responsive(now) {
                tracing::info!(%vm, "a router does not answer");
            }
            entry.client = None;
            entry.unresponsive_until = Some(now + UNRESPONSIVE_PAUSE);
        }
    }

    /// Asks some routers for newer state.
    pub(crate) async fn fetch_updates(&self, view: &FleetView) {
        for target in self.sample(UPDATE_PEERS) {
            let Some(client) = self.connect(&target).await else {
                continue;
            };
            let versions = (view.config_version(), view.endpoint_version());
            let call = client.updates(peer_context(), versions.0, versions.1);
            match timeout(PEER_TIMEOUT, call).await {
                Ok(Ok(updates)) => {
                    if let Some(config) = updates.config {
                        view.install(config, "peer");
                    }
                    if let Some((version, records)) = updates.endpoints {
                        view.install_endpoints(version, records, Instant::now());
                    }
                }
                _ => self.mark_unresponsive(&target.vm),
            }
        }
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<VmId, PeerEntry>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TokenPeers for PeerGroup {
    fn is_owner(&self, customer: &CustomerId) -> bool {
        let is_small = self.peers().len() < ALL_OWNERS_MAX;
        is_small || self.owners(customer).iter().any(Option::is_none)
    }

    fn ask<'a>(
        &'a self,
        customer: &'a CustomerId,
        minimum: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = Tokens> + Send + 'a>> {
        Box::pin(async move {
            let mut received = 0;
            let owners = if self.peers().len() < ALL_OWNERS_MAX {
                Vec::new()
            } else {
                self.owners(customer).into_iter().flatten().collect()
            };
            let others = if owners.is_empty() || self.is_owner(customer) {
                self.sample(TOKEN_PEERS)
            } else {
                Vec::new()
            };
            for target in owners.into_iter().chain(others) {
                if received >= minimum {
                    break;
                }
                let Some(client) = self.connect(&target).await else {
                    continue;
                };
                let context = context_with_timeout(GIVE_TIMEOUT);
                let given = client.give(context, customer.clone(), wanted - received);
                // Tokens in a lost response stay unused, so the budget is not overspent.
                match timeout(GIVE_TIMEOUT, given).await {
                    Ok(Ok(given)) => received += given,
                    _ => self.mark_unresponsive(&target.vm),
                }
            }
            received
        })
    }

    fn deposit<'a>(
        &'a self,
        customer: &'a CustomerId,
        tokens: Tokens,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        Box::pin(async move {
            let owners: Vec<PeerTarget> = if self.peers().len() < ALL_OWNERS_MAX {
                self.sample(DEPOSIT_PEERS)
            } else {
                self.owners(customer).into_iter().flatten().collect()
            };
            for target in owners {
                let Some(client) = self.connect(&target).await else {
                    continue;
                };
                let call = client.deposit(peer_context(), customer.clone(), tokens);
                let call = timeout(PEER_TIMEOUT, call).await;
                // Without a response the tokens may have arrived, so they are not sent to another
                // peer.
                return matches!(call, Ok(Ok(())));
            }
            false
        })
    }
}

fn peer_context() -> context::Context {
    context_with_timeout(PEER_TIMEOUT)
}

fn context_with_timeout(time: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + time;
    context
}

/// Writes heartbeats and keeps the list of routers up to date. After each read of the list, calls
/// `on_refresh` with the number of routers and the number of those that own a grant of the same
/// customer.
pub(crate) async fn follow_peers(
    group: Arc<PeerGroup>,
    budgets: Arc<BudgetManager>,
    on_refresh: impl Fn(usize, usize),
) {
    let mut predecessor_known = false;
    let mut refresh_at = Instant::now();
    let start_end = refresh_at + START_PERIOD;
    loop {
        let now = Instant::now();
        let mode = budgets.session().mode(now);
        let is_late = matches!(mode, SessionMode::Late | SessionMode::Detached);
        if now >= refresh_at || is_late {
            match group.refresh(&budgets).await {
                Ok((routers, end)) => {
                    budgets.session().set_routers(routers);
                    on_refresh(routers, group.owner_count());
                    let starting = now < start_end;
                    refresh_at = now
                        + if starting {
                            START_INTERVAL
                        } else {
                            PEER_INTERVAL
                        };
                    if !predecessor_known {
                        tracing::info!(?end, routers, "found how the previous run ended");
                        budgets.set_predecessor(end);
                        predecessor_known = true;
                    }
                    if is_late {
                        reattach(&group, &budgets).await;
                    }
                }
                Err(error) => tracing::debug!(%error, "failed to read the registered routers"),
            }
        }
        let may_send = predecessor_known && budgets.session().may_send(Instant::now());
        if may_send && let Err(error) = group.send_heartbeat(&budgets).await {
            tracing::warn!(%error, "the heartbeat was not written");
        }
        let interval = budgets.session().interval();
        tokio::time::sleep(interval).await;
    }
}

/// Attaches to the store again after an outage: first writes all accounts, then the heartbeat.
async fn reattach(group: &PeerGroup, budgets: &BudgetManager) {
    budgets.session().begin_attach();
    if !budgets.write_overdrawn().await {
        budgets.session().cancel_attach();
        return;
    }
    match group.send_heartbeat(budgets).await {
        Ok(()) => tracing::info!("attached to the store again"),
        Err(error) => tracing::warn!(%error, "the heartbeat was not written; still detached"),
    }
}

/// Sends this router's load to other routers whenever it changes.
pub(crate) async fn send_loads(group: Arc<PeerGroup>, forwarder: Arc<Forwarder>) {
    let mut number = 0;
    let mut repeat_at = Instant::now() + LOAD_INTERVAL;
    loop {
        let changed = forwarder.load_changed.notified();
        let repeat = timeout_at(repeat_at.into(), changed).await.is_err();
        if repeat {
            repeat_at = Instant::now() + LOAD_INTERVAL;
        } else {
            tokio::time::sleep(group.load_delay()).await;
        }
        let loads = forwarder.take_loads(repeat);
        if loads.is_empty() {
            continue;
        }
        number += 1;
        for target in group.neighbours() {
            let (group, loads) = (group.clone(), loads.clone());
            tokio::spawn(async move {
                let Some(client) = group.connect(&target).await else {
                    return;
                };
                let call = client.loads(peer_context(), group.vm.clone(), number, loads);
                if !matches!(timeout(PEER_TIMEOUT, call).await, Ok(Ok(()))) {
                    group.mark_unresponsive(&target.vm);
                }
            });
        }
    }
}

/// Sends counts of requests that crashed endpoints to other routers.
pub(crate) async fn send_crashes(group: Arc<PeerGroup>, forwarder: Arc<Forwarder>) {
    loop {
        forwarder.crash_recorded.notified().await;
        let counts = forwarder.take_crashes().into_iter().map(CrashRecord::from);
        let counts: Vec<CrashRecord> = counts.collect();
        for target in group.neighbours() {
            let Some(client) = group.connect(&target).await else {
                continue;
            };
            let call = client.crashes(peer_context(), counts.clone());
            if !matches!(timeout(PEER_TIMEOUT, call).await, Ok(Ok(()))) {
                group.mark_unresponsive(&target.vm);
            }
        }
    }
}

/// Asks peers for newer state while the store is unreachable.
pub(crate) async fn poll_peer_updates(group: Weak<PeerGroup>, view: Arc<FleetView>) {
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        let Some(group) = group.upgrade() else { return };
        if view.is_store_unreachable() || !view.is_ready() {
            group.fetch_updates(&view).await;
        }
    }
}
