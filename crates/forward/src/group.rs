//! Other routers as registered in the store, and the exchange with them.

use std::{
    collections::{BTreeMap, HashMap},
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use {
    futures_util::{StreamExt, future::join_all, stream::FuturesUnordered},
    jasminewall_core::{CustomerId, DomainId, Tokens, VmId, suspect::CRASH_TTL},
    jasminewall_ports::{
        Category, RowKey, RowPort, RowReply, RowTransaction, RowUpdate, StoreEra, StoredRow, era_of,
    },
    rand::seq::IndexedRandom,
    serde::Serialize,
    tarpc::{client, context, tokio_serde::formats::Bincode},
    tokio::time::{timeout, timeout_at},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

use crate::{
    draws::{DrawRecord, DrawSurvey, acks_needed},
    fleet::FleetView,
    forwarder::Forwarder,
    manager::{BudgetManager, DepositOutcome, PredecessorEnd, TokenPeers},
    notice::NoticeRecord,
    owner::OwnerPool,
    peer::{HeartbeatRecord, PEER_TIMEOUT, PeerRecord, RouterPeerClient},
    session::{SessionMode, StoreSession},
    supply::{SupplyAnswer, SupplyOutcome},
    trial,
};

/// Longest delay in ms before a router writes its accounts into a new era of the store.
const ENTER_ERA_DELAY_MS: u64 = 100;
/// Table of registered routers.
const PEER_TABLE: &str = "router";
/// Table of heartbeats, with a partition for each VM. They are apart from the registrations, so that
/// watching those shows only routers that come and go.
const HEARTBEAT_TABLE: &str = "heartbeat";
/// Key of the heartbeat in the partition of its VM.
const HEARTBEAT_KEY: &str = "run";
/// Table of news about endpoints. It has its own partition, so that it does not delay other writes.
pub(crate) const NOTICE_TABLE: &str = "notice";
pub(crate) const NOTICE_PARTITION: &str = "notice";
/// Number of rows that a router writes in turn. Routers that start later read these.
const NOTICE_SLOTS: u32 = 8;
/// Time for which crashes are batched: the connections to a crashed endpoint break one after the
/// other.
const NOTICE_DELAY: Duration = Duration::from_millis(30);
/// Pause after a response with news, which batches the news of several routers in a large fleet.
const NOTICE_PAUSE: Duration = Duration::from_millis(200);
/// Age in ms at which a reported rate limit is not used any more. The news that it ended may have been
/// replaced by then.
const RATE_TTL_MS: u64 = 60_000;
/// Longest delay in ms before a router reports completed suspects, and its growth per router. Of the
/// routers that could report the same, the first one spares the others.
const CLEAR_DELAY_MS: u64 = 100;
const CLEAR_DELAY_PER_ROUTER_MS: u64 = 4;
/// Longest time that a watch of the registrations waits at the store.
const PEER_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a response with changed registrations, so that routers that start together appear in
/// a few responses.
const PEER_CHANGE_PAUSE: Duration = Duration::from_millis(750);
/// Pause after a failed call for registrations or the heartbeat of the previous run.
const PEER_FAILURE_PAUSE: Duration = Duration::from_millis(250);
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
pub(crate) const ALL_OWNERS_MAX: usize = 16;
/// Longest wait for tokens from a peer, including the peer's transactions at the store. Tokens in a
/// later response are lost to both routers.
const GIVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest number of routers to which a router sends its load. The messages must not fill a link of
/// 10 Mbit/s, even if the router serves most callers of its failure domain.
pub(crate) const NEIGHBOUR_LIMIT: usize = 12;
/// Time per router of the fleet for which load changes are batched into one message. In a small
/// fleet the delay is short compared to the time to read a prompt. In a large one it keeps the
/// messages to a small part of a link's traffic.
const LOAD_DELAY_PER_ROUTER: Duration = Duration::from_millis(1);
/// Interval at which unchanged loads are sent again.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Number of peers to which a stopping router tries to hand its tokens.
const DEPOSIT_PEERS: usize = 3;
/// Seed of the hash that orders the routers that publish snapshots.
const PUBLISHER_SEED: u64 = 1;
/// Time for which an unresponsive peer is not called again.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(2);

/// Other routers, as registered in the store.
pub(crate) struct PeerGroup {
    vm: VmId,
    record: PeerRecord,
    rows: Arc<dyn RowPort>,
    table: Mutex<PeerTable>,
    /// Set when the router stops: its registration and heartbeat are not written again.
    leaving: AtomicBool,
}

/// Known routers.
#[derive(Default)]
struct PeerTable {
    /// All other routers.
    entries: HashMap<VmId, PeerEntry>,
    /// Routers that may own grants, this one included, by failure domain.
    owner_pools: BTreeMap<DomainId, OwnerPool<VmId>>,
    /// Era of the store in which the registrations were last read in full.
    era: Option<StoreEra>,
}

impl PeerTable {
    /// Chooses the routers that may own grants. Equal ones are ordered by their names' hashes.
    fn choose_owner_pools(&mut self, own_vm: &VmId, own_record: &PeerRecord) {
        let mut domains = BTreeMap::<DomainId, Vec<_>>::new();
        let others = self.entries.iter().map(|(vm, entry)| (vm, &entry.record));
        for (vm, record) in others.chain([(own_vm, own_record)]) {
            let rank = (record.link_mbps, xxh3_64(vm.as_bytes()));
            let domain = domains.entry(record.domain.clone()).or_default();
            domain.push((rank, vm.clone()));
        }
        let pools = domains.into_iter();
        let pools = pools.map(|(domain, ranked)| (domain, OwnerPool::choose(ranked)));
        self.owner_pools = pools.collect();
    }

    /// Whether all routers own grants.
    fn is_small(&self) -> bool {
        self.entries.len() < ALL_OWNERS_MAX
    }

    /// Router of a pool that owns the grant of a customer, by rendezvous hashing over those that
    /// respond.
    fn owner_of<'a>(
        &self,
        customer: &CustomerId,
        pool: &'a OwnerPool<VmId>,
        own_vm: &VmId,
        now: Instant,
    ) -> Option<&'a VmId> {
        let seed = xxh3_64(customer.as_bytes());
        let is_responsive = |vm: &VmId| {
            let entry = self.entries.get(vm);
            vm == own_vm || entry.is_some_and(|entry| entry.is_responsive(now))
        };
        pool.owner(is_responsive, |vm| xxh3_64_with_seed(vm.as_bytes(), seed))
    }
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
    has_supply_hints: bool,
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
            has_supply_hints: self.record.has_supply_hints,
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
            table: Mutex::default(),
            leaving: AtomicBool::new(false),
        })
    }

    /// Writes a heartbeat of this run.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    async fn send_heartbeat(&self, budgets: &BudgetManager) -> jasminewall_ports::Result<()> {
        let now = Instant::now();
        let record = HeartbeatRecord {
            boot: self.record.boot,
            heartbeat: budgets.session().heartbeat(now),
            era: budgets.entered_era(),
        };
        budgets.session().heartbeat_sent(now);
        let written = self.write(self.heartbeat_key(), Some(&record)).await;
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

    /// Reads the heartbeat on this VM. Returns how the previous run ended.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    async fn read_heartbeat(
        &self,
        budgets: &BudgetManager,
    ) -> jasminewall_ports::Result<PredecessorEnd> {
        let page = self.rows.read(HEARTBEAT_TABLE, &self.vm).await?;
        budgets.session().record_clock(page.now_ms, Instant::now());
        let value = page.rows.into_iter().find_map(|row| row.value);
        let Some(value) = value else {
            return Ok(PredecessorEnd::Unknown);
        };
        let record: HeartbeatRecord = match serde_json::from_slice(&value) {
            Ok(record) => record,
            Err(error) => {
                tracing::warn!(%error, "the heartbeat of the previous run is unreadable");
                return Ok(PredecessorEnd::Unknown);
            }
        };
        let late = StoreSession::max_lateness(record.heartbeat, page.now_ms);
        // A restored heartbeat says nothing of what the run consumed in the lost time.
        if record.era != era_of(page.version) {
            return Ok(PredecessorEnd::BeforeRestore);
        }
        Ok(match late {
            Some(late) if record.boot != self.record.boot => PredecessorEnd::Attached {
                boot: record.boot,
                late,
            },
            _ => PredecessorEnd::Unknown,
        })
    }

    /// Writes the registration of this router.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    async fn register(&self) -> jasminewall_ports::Result<()> {
        let key = RowKey::new(PEER_TABLE, "", self.vm.clone());
        self.write(key, Some(&self.record)).await.map(|_| ())
    }

    /// Removes the registration of this router.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    pub(crate) async fn unregister(&self) -> jasminewall_ports::Result<()> {
        self.leaving.store(true, Ordering::Relaxed);
        let key = RowKey::new(PEER_TABLE, "", self.vm.clone());
        self.write(key, None::<&PeerRecord>).await.map(|_| ())
    }

    /// Removes the heartbeat of this router, after which no successor takes over its accounts.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    pub(crate) async fn remove_heartbeat(&self) -> jasminewall_ports::Result<()> {
        let heartbeat = self.write(self.heartbeat_key(), None::<&HeartbeatRecord>);
        heartbeat.await.map(|_| ())
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    fn heartbeat_key(&self) -> RowKey {
        RowKey::new(HEARTBEAT_TABLE, self.vm.clone(), HEARTBEAT_KEY)
    }

    /// Writes or removes a row. Returns the store's clock in ms.
    async fn write(
        &self,
        key: RowKey,
        record: Option<&impl Serialize>,
    ) -> jasminewall_ports::Result<u64> {
        // Serializing plain fields cannot fail.
        let encode = |record| serde_json::to_vec(record).unwrap_or_default().into();
        let transaction = RowTransaction {
            preconditions: Vec::new(),
            updates: vec![RowUpdate {
                key,
                value: record.map(encode),
            }],
        };
        match self.rows.transact(transaction).await? {
            RowReply::Committed { now_ms, .. } => Ok(now_ms),
            RowReply::Conflict(_) => Err(jasminewall_ports::Error::new(
                Category::Invalid,
                "the store reported a conflict for a write without a condition",
            )),
        }
    }

    /// Other routers that remember draws: all of a small fleet, or those that may own grants.
    fn keepers(&self) -> Vec<PeerTarget> {
        let table = self.table();
        if table.is_small() {
            let entries = table.entries.iter();
            return entries.map(|(vm, entry)| entry.target(vm)).collect();
        }
        let pools = table.owner_pools.values().flat_map(OwnerPool::members);
        pools
            .filter_map(|vm| table.entries.get(vm).map(|entry| entry.target(vm)))
            .collect()
    }

    /// Routers that own grants of a customer in a large fleet: one per failure domain, with this
    /// router's domain first. `None` stands for this router.
    fn owners(&self, customer: &CustomerId) -> Vec<Option<PeerTarget>> {
        let now = Instant::now();
        let table = self.table();
        let mut pools: Vec<(&DomainId, &OwnerPool<VmId>)> = table.owner_pools.iter().collect();
        pools.sort_by_key(|(domain, _)| **domain != self.record.domain);
        let owners = pools.into_iter();
        let owners = owners.filter_map(|(_, pool)| table.owner_of(customer, pool, &self.vm, now));
        owners
            .map(|vm| table.entries.get(vm).map(|entry| entry.target(vm)))
            .collect()
    }

    /// Position of this router among those that may publish snapshots of the registrations, by
    /// rendezvous hashing over the routers that may own grants; `None` in a small fleet and for the
    /// other routers.
    pub(crate) fn publisher_rank(&self) -> Option<usize> {
        let table = self.table();
        if table.is_small() {
            return None;
        }
        let rank = |vm: &VmId| (xxh3_64_with_seed(vm.as_bytes(), PUBLISHER_SEED), vm.clone());
        let own = rank(&self.vm);
        let pools = table.owner_pools.values();
        let vms: Vec<&VmId> = pools.flat_map(|pool| pool.members()).collect();
        let is_candidate = vms.contains(&&self.vm);
        is_candidate.then(|| vms.into_iter().filter(|vm| rank(vm) > own).count())
    }

    /// Number of routers that own grants of one customer.
    fn owner_count(&self) -> usize {
        let table = self.table();
        if table.is_small() {
            table.entries.len() + 1
        } else {
            table.owner_pools.len()
        }
    }

    /// Number of routers that send heartbeats as often as this one: all routers, or only the
    /// possible owners of grants if this is one of them.
    fn heartbeat_group(&self) -> usize {
        let table = self.table();
        let mut pools = table.owner_pools.values();
        let is_in_pool = pools.any(|pool| pool.members().contains(&self.vm));
        if is_in_pool && !table.is_small() {
            table
                .owner_pools
                .values()
                .map(|pool| pool.members().len())
                .sum()
        } else {
            table.entries.len() + 1
        }
    }

    /// Applies registrations from the store: all of them, or those that changed. Returns whether
    /// this router's own registration is missing.
    ///
    /// A restored store lacks the registrations of the lost time, so the first read in an era drops
    /// none.
    fn apply_registrations(&self, rows: Vec<StoredRow>, all: bool, era: StoreEra) -> bool {
        let mut table = self.table();
        let mut entries = std::mem::take(&mut table.entries);
        let is_restored = table.era.replace(era).is_some_and(|before| before < era);
        let mut previous = if all && !is_restored {
            std::mem::take(&mut entries)
        } else {
            HashMap::new()
        };
        let mut own_missing = all;
        for row in rows {
            let vm = row.key.key;
            let record = row.value.and_then(|value| {
                serde_json::from_slice::<PeerRecord>(&value)
                    .inspect_err(|error| {
                        tracing::warn!(%vm, %error, "skipped an unreadable registration of a router");
                    })
                    .ok()
            });
            if vm == self.vm {
                own_missing = record.is_none_or(|record| record.boot != self.record.boot);
                continue;
            }
            let known = entries.remove(&vm).or_else(|| previous.remove(&vm));
            let Some(record) = record else { continue };
            let entry = match known {
                Some(entry) if entry.record.boot == record.boot => entry,
                _ => {
                    tracing::info!(%vm, address = %record.address, "router registered");
                    PeerEntry {
                        record,
                        client: None,
                        unresponsive_until: None,
                    }
                }
            };
            entries.insert(vm, entry);
        }
        table.entries = entries;
        table.choose_owner_pools(&self.vm, &self.record);
        own_missing
    }

    /// Random selection of responsive routers.
    fn sample(&self, limit: usize) -> Vec<PeerTarget> {
        let now = Instant::now();
        let peers = &self.table().entries;
        let responsive = peers.iter().filter(|(_, entry)| entry.is_responsive(now));
        let responsive: Vec<(&VmId, &PeerEntry)> = responsive.collect();
        let selected = responsive.choose_multiple(&mut rand::rng(), limit);
        selected.map(|(vm, entry)| entry.target(vm)).collect()
    }

    /// Routers that get the load of this one: all of a small fleet, otherwise some of the same
    /// failure domain, so that the number of messages stays bounded.
    fn neighbours(&self) -> Vec<PeerTarget> {
        let now = Instant::now();
        let peers = &self.table().entries;
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
        let routers = self.table().entries.len() + 1;
        LOAD_DELAY_PER_ROUTER * u32::try_from(routers).unwrap_or(u32::MAX)
    }

    /// Random delay before completed suspects are reported.
    fn clear_delay(&self) -> Duration {
        let routers = self.table().entries.len() as u64 + 1;
        let longest = CLEAR_DELAY_MS + CLEAR_DELAY_PER_ROUTER_MS * routers;
        Duration::from_millis(rand::random_range(0..longest))
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
        if let Some(entry) = self.table().entries.get_mut(&target.vm) {
            entry.client = Some(client.clone());
        }
        Some(client)
    }

    /// Closes the connection to an unresponsive router and excludes the router for a while.
    fn mark_unresponsive(&self, vm: &VmId) {
        let now = Instant::now();
        if let Some(entry) = self.table().entries.get_mut(vm) {
            // Several calls to one router may fail at the same time.
            if entry.is_responsive(now) {
                tracing::info!(%vm, "a router does not answer");
            }
            entry.client = None;
            entry.unresponsive_until = Some(now + UNRESPONSIVE_PAUSE);
        }
    }

    /// Asks some routers for a newer configuration and, with `endpoints`, newer registrations.
    pub(crate) async fn fetch_updates(&self, view: &FleetView, endpoints: bool) {
        for target in self.sample(UPDATE_PEERS) {
            let Some(client) = self.connect(&target).await else {
                continue;
            };
            let known = if endpoints {
                view.endpoint_version()
            } else {
                u64::MAX
            };
            let call = client.updates(peer_context(), view.config_version(), known);
            match timeout(PEER_TIMEOUT, call).await {
                Ok(Ok(updates)) => {
                    // The router becomes ready with the rest, so the evacuations come first.
                    if let Some(report) = updates.evacuations {
                        view.merge_evacuations(report, Instant::now());
                    }
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

    fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TokenPeers for PeerGroup {
    fn is_owner(&self, customer: &CustomerId) -> bool {
        let is_small = self.table().is_small();
        is_small || self.owners(customer).iter().any(Option::is_none)
    }

    fn ask<'a>(
        &'a self,
        customer: &'a CustomerId,
        minimum: Tokens,
        wanted: Tokens,
    ) -> Pin<Box<dyn Future<Output = SupplyOutcome> + Send + 'a>> {
        Box::pin(async move {
            let mut outcome = SupplyOutcome::default();
            let owners = if self.table().is_small() {
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
                if outcome.given >= minimum {
                    break;
                }
                let Some(client) = self.connect(&target).await else {
                    continue;
                };
                let wanted = wanted.saturating_sub(outcome.given);
                let is_first = outcome.answers == 0;
                let call = give(&client, &target, customer, wanted, is_first);
                // Tokens in a lost response stay unused, so the budget is not overspent.
                match timeout(GIVE_TIMEOUT, call).await {
                    Ok(Some(answer)) => outcome.add(answer),
                    _ => self.mark_unresponsive(&target.vm),
                }
            }
            outcome
        })
    }

    fn keeps_draws(&self) -> Option<bool> {
        let table = self.table();
        table.era?;
        let mut pools = table.owner_pools.values();
        Some(table.is_small() || pools.any(|pool| pool.members().contains(&self.vm)))
    }

    fn record_draw<'a>(
        &'a self,
        customer: &'a CustomerId,
        record: DrawRecord,
    ) -> Pin<Box<dyn Future<Output = bool> + Send + 'a>> {
        Box::pin(async move {
            if self.table().era.is_none() {
                // The other routers are not known yet.
                return false;
            }
            let keepers = self.keepers();
            let (needed, record) = (acks_needed(keepers.len()), &record);
            let calls = keepers.into_iter().map(|target| async move {
                let client = self.connect(&target).await?;
                let call = client.record_draw(peer_context(), customer.clone(), record.clone());
                match timeout(PEER_TIMEOUT, call).await {
                    Ok(Ok(remembered)) => Some(remembered),
                    _ => {
                        self.mark_unresponsive(&target.vm);
                        None
                    }
                }
            });
            let mut calls: FuturesUnordered<_> = calls.collect();
            let mut acks = 0;
            while acks < needed {
                match calls.next().await {
                    Some(Some(true)) => acks += 1,
                    Some(_) => {}
                    None => return false,
                }
            }
            true
        })
    }

    fn survey_draws<'a>(
        &'a self,
        customer: &'a CustomerId,
        era: StoreEra,
    ) -> Pin<Box<dyn Future<Output = Option<DrawSurvey>> + Send + 'a>> {
        Box::pin(async move {
            self.table().era?;
            let keepers = self.keepers();
            let count = keepers.len() + 1;
            let calls = keepers.into_iter().map(|target| async move {
                let client = self.connect(&target).await?;
                let call = client.report_draws(peer_context(), customer.clone(), era);
                timeout(PEER_TIMEOUT, call).await.ok()?.ok()
            });
            let reports = join_all(calls).await;
            Some(DrawSurvey {
                keepers: count,
                reports: reports.into_iter().flatten().collect(),
            })
        })
    }

    fn deposit<'a>(
        &'a self,
        customer: &'a CustomerId,
        tokens: Tokens,
    ) -> Pin<Box<dyn Future<Output = DepositOutcome> + Send + 'a>> {
        Box::pin(async move {
            let owners: Vec<PeerTarget> = if self.table().is_small() {
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
                return match call {
                    Ok(Ok(())) => DepositOutcome::Accepted,
                    _ => DepositOutcome::Unknown,
                };
            }
            DepositOutcome::NotSent
        })
    }
}

/// Asks one router for tokens; `None` if the call failed.
async fn give(
    client: &RouterPeerClient,
    target: &PeerTarget,
    customer: &CustomerId,
    wanted: Tokens,
    is_first: bool,
) -> Option<SupplyAnswer> {
    let context = context_with_timeout(GIVE_TIMEOUT);
    if target.has_supply_hints {
        let answer = client.give_or_hint(context, customer.clone(), wanted, is_first);
        return answer.await.ok();
    }
    let given = client.give(context, customer.clone(), wanted).await.ok()?;
    Some(SupplyAnswer {
        given,
        ..SupplyAnswer::default()
    })
}

fn peer_context() -> context::Context {
    context_with_timeout(PEER_TIMEOUT)
}

fn context_with_timeout(time: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + time;
    context
}

/// Registers this router and keeps the list of routers up to date. After each change of the list,
/// calls `on_change` with the VMs of the other routers and the number of routers that own a grant of
/// the same customer.
pub(crate) async fn follow_peers(
    group: Arc<PeerGroup>,
    budgets: Arc<BudgetManager>,
    on_change: impl Fn(Vec<VmId>, usize),
) {
    let mut since_version = None;
    let mut own_missing = true;
    loop {
        if own_missing && !group.is_leaving() {
            match group.register().await {
                Ok(()) => own_missing = false,
                Err(error) => tracing::warn!(%error, "this router was not registered"),
            }
        }
        let outcome = match since_version {
            None => group.rows.read(PEER_TABLE, "").await,
            Some(since) => {
                let deadline = Instant::now() + PEER_WATCH_TIMEOUT;
                group.rows.watch(PEER_TABLE, since, deadline).await
            }
        };
        let page = match outcome {
            Ok(page) => page,
            Err(error) => {
                tracing::debug!(%error, "failed to read or watch the registered routers");
                if error.category() == Category::Compacted {
                    since_version = None;
                }
                tokio::time::sleep(PEER_FAILURE_PAUSE).await;
                continue;
            }
        };
        let read_all = since_version.is_none();
        since_version = Some(page.version);
        if page.rows.is_empty() && !read_all {
            continue;
        }
        let era = era_of(page.version);
        own_missing = group.apply_registrations(page.rows, read_all, era) || own_missing;
        let others = group.table().entries.keys().cloned().collect();
        budgets.session().set_writers(group.heartbeat_group());
        on_change(others, group.owner_count());
        tokio::time::sleep(PEER_CHANGE_PAUSE).await;
    }
}

/// Finds out how the previous run ended, then writes heartbeats until the router unregisters.
pub(crate) async fn send_heartbeats(group: Arc<PeerGroup>, budgets: Arc<BudgetManager>) {
    loop {
        match group.read_heartbeat(&budgets).await {
            Ok(end) => {
                tracing::info!(?end, "found how the previous run ended");
                budgets.set_predecessor(end);
                break;
            }
            Err(error) => tracing::debug!(%error, "failed to read the previous heartbeat"),
        }
        tokio::time::sleep(PEER_FAILURE_PAUSE).await;
    }
    while !group.is_leaving() {
        if budgets.current_era() > budgets.entered_era() {
            // Spreads the transactions of routers that notice the new era together.
            let delay = rand::random_range(0..ENTER_ERA_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            budgets.enter_era().await;
        }
        let mode = budgets.session().mode(Instant::now());
        if mode == SessionMode::Late {
            // Shows whether the store responds again.
            match group.read_heartbeat(&budgets).await {
                Ok(_) => reattach(&group, &budgets).await,
                Err(error) => tracing::debug!(%error, "failed to read the own heartbeat"),
            }
        }
        let may_send = budgets.session().may_send(Instant::now());
        if may_send && let Err(error) = group.send_heartbeat(&budgets).await {
            tracing::warn!(%error, "the heartbeat was not written");
        }
        let interval = budgets.session().interval();
        tokio::time::sleep(interval).await;
    }
}

/// Attaches to the store again after an outage: first writes all accounts, then the heartbeat. In a
/// large fleet the accounts are written before the open tokens stop to grow, and then those that were
/// overdrawn meanwhile.
async fn reattach(group: &PeerGroup, budgets: &BudgetManager) {
    if !budgets.write_before_attach().await {
        return;
    }
    budgets.session().begin_attach();
    if !budgets.write_overdrawn().await {
        budgets.session().cancel_attach();
        return;
    }
    match group.send_heartbeat(budgets).await {
        Ok(()) => tracing::info!("attached to the store again"),
        Err(error) => tracing::warn!(%error, "the heartbeat was not written; still late"),
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

/// Sends news about endpoints to other routers: to all of them through the store, and directly to
/// some, which works without the store as well.
pub(crate) async fn send_notices(
    group: Arc<PeerGroup>,
    budgets: Arc<BudgetManager>,
    forwarder: Arc<Forwarder>,
) {
    let mut slot = rand::random_range(0..NOTICE_SLOTS);
    loop {
        forwarder.notice_added.notified().await;
        let delay = if forwarder.has_urgent_news() {
            NOTICE_DELAY
        } else {
            group.clear_delay()
        };
        tokio::time::sleep(delay).await;
        let notice = forwarder.take_notice();
        if notice.is_empty() {
            continue;
        }
        for target in group.neighbours() {
            let (group, notice) = (group.clone(), notice.clone());
            tokio::spawn(async move {
                let Some(client) = group.connect(&target).await else {
                    return;
                };
                let call = client.notice(peer_context(), notice);
                if !matches!(timeout(PEER_TIMEOUT, call).await, Ok(Ok(()))) {
                    group.mark_unresponsive(&target.vm);
                }
            });
        }
        slot = (slot + 1) % NOTICE_SLOTS;
        let key = RowKey::new(
            NOTICE_TABLE,
            NOTICE_PARTITION,
            format!("{}/{slot}", group.vm),
        );
        let record = NoticeRecord {
            written_ms: budgets.session().clock(Instant::now()).unwrap_or_default(),
            notice,
        };
        if let Err(error) = group.write(key, Some(&record)).await {
            tracing::warn!(%error, "news about endpoints was not written; only some routers know it");
        }
    }
}

/// Merges the news about endpoints that other routers write.
pub(crate) async fn follow_notices(group: Arc<PeerGroup>, forwarder: Arc<Forwarder>) {
    let mut since_version = None;
    loop {
        let outcome = match since_version {
            None => group.rows.read(NOTICE_TABLE, NOTICE_PARTITION).await,
            Some(since) => {
                let deadline = Instant::now() + PEER_WATCH_TIMEOUT;
                group.rows.watch(NOTICE_TABLE, since, deadline).await
            }
        };
        let page = match outcome {
            Ok(page) => page,
            Err(error) => {
                tracing::debug!(%error, "failed to read or watch the news about endpoints");
                if error.category() == Category::Compacted {
                    since_version = None;
                }
                tokio::time::sleep(PEER_FAILURE_PAUSE).await;
                continue;
            }
        };
        let oldest_ms = match since_version {
            None => page.now_ms.saturating_sub(CRASH_TTL.as_millis() as u64),
            Some(_) => 0,
        };
        since_version = Some(page.version);
        let is_empty = page.rows.is_empty();
        let mut rows = page.rows;
        rows.sort_by_key(|row| row.version);
        let (trials, rows) = rows
            .into_iter()
            .partition::<Vec<_>, _>(|row| trial::is_trial(&row.key));
        let notices = rows.iter().filter_map(read_notice);
        let notices: Vec<NoticeRecord> = notices
            .filter(|record| record.written_ms >= oldest_ms)
            .collect();
        // The clock of a restored store may be behind what was written before.
        let written_ms = notices.iter().map(|record| record.written_ms);
        let now_ms = written_ms.chain([page.now_ms]).max().unwrap_or_default();
        for mut record in notices {
            // A router that did not know the store's clock has only just written.
            let age_ms = match record.written_ms {
                0 => 0,
                written_ms => now_ms - written_ms,
            };
            if age_ms > RATE_TTL_MS {
                record.notice.rates.clear();
            }
            forwarder.merge_notice(&record.notice, Duration::from_millis(age_ms));
        }
        for row in trials {
            forwarder.merge_trial(&row, page.now_ms);
        }
        if !is_empty {
            tokio::time::sleep(NOTICE_PAUSE).await;
        }
    }
}

fn read_notice(row: &StoredRow) -> Option<NoticeRecord> {
    let value = row.value.as_deref()?;
    serde_json::from_slice(value)
        .inspect_err(|error| {
            tracing::warn!(key = %row.key.key, %error, "skipped unreadable news about endpoints");
        })
        .ok()
}

/// Asks peers for newer state while the store is unreachable, and for a newer configuration after it
/// was restored.
pub(crate) async fn poll_peer_updates(group: Weak<PeerGroup>, view: Arc<FleetView>) {
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        let Some(group) = group.upgrade() else { return };
        let is_alone = view.is_store_unreachable() || !view.is_ready();
        if is_alone || view.is_store_outdated(Instant::now()) {
            group.fetch_updates(&view, is_alone).await;
        }
    }
}
