//! Software versions that began streams, for callers that take a stream up after its connection broke.
//!
//! Events of two software versions do not fit into one stream. A caller that returns, mostly to
//! another router, names the attempt that began its stream. While only one version can have begun
//! it, no more is needed. While more than one can, each router writes the version of the streams that
//! it begins to the store, in batches, so that this is known even if all routers are gone. A stream
//! whose version remains unknown is refused, and the caller starts again.

use std::{
    collections::{BTreeSet, HashMap},
    ops::Range,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use {
    jasminewall_ports::{
        FIRST_ERA, RowKey, RowPort, RowTransaction, RowUpdate, StoreEra, StoredRow,
    },
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::{
    fleet::FleetView,
    record::{ServiceId, SoftwareVersion},
};

/// Table of the versions that serve or served, and of the streams that they began.
const ORIGIN_TABLE: &str = "stream";
/// Partition of the versions, with a key for each service and version.
const VERSION_PARTITION: &str = "version";
/// Partition of the streams, with the attempts that began them as keys.
const BEGUN_PARTITION: &str = "begun";
/// Shortest interval at which new streams are written. A crash loses those begun since.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Write interval per router, so that all of them together write at most 400 times per second.
const WRITE_INTERVAL_PER_ROUTER: Duration = Duration::from_micros(2_500);
/// Shortest time for which the origin of a stream is remembered, also after its version left. Routes
/// with longer streams extend it.
const ORIGIN_TTL_MIN: Duration = Duration::from_secs(20);
/// Shortest and longest time in s between two removals of rows that ended routers left.
const CLEANUP_INTERVAL_S: Range<u64> = 1_800..5_400;
/// Age at which such rows are removed.
const LEFT_ROW_AGE: Duration = Duration::from_secs(3_600);
/// Largest number of rows in a transaction.
const BATCH_MAX: usize = 90;
/// Largest number of remembered streams, to bound the memory.
const ORIGIN_LIMIT: usize = 20_000;
/// Longest attempt id that fits into a row key.
const ATTEMPT_LEN_MAX: usize = 150;

/// Id of a caller's attempt.
pub type AttemptId = SmolStr;

/// Row of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRow {
    /// Store's clock in ms when the last endpoint of the version left; `None` while there is one.
    gone_ms: Option<u64>,
}

/// Row of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BegunRow {
    software: SoftwareVersion,
    /// Store's clock in ms when the row was written; 0 if unknown.
    written_ms: u64,
}

/// Which version began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamOrigin {
    /// Began at this version.
    Known(SoftwareVersion),
    /// More than one version can have begun it.
    Unknown,
}

/// Whether a row says what is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowState {
    /// Not written yet.
    Pending,
    /// Written.
    Stored,
}

#[derive(Debug)]
struct BegunStream {
    service: ServiceId,
    software: SoftwareVersion,
    forget_at: Instant,
    row: RowState,
}

#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    /// Until when streams of a version that left may be taken up; `None` while it serves.
    forget_at: Option<Instant>,
    row: RowState,
}

struct OriginState {
    /// Time for which callers may take up a stream after it began.
    ttl: Duration,
    streams: HashMap<AttemptId, BegunStream>,
    /// Versions that serve, or left within `ttl`.
    versions: HashMap<(ServiceId, SoftwareVersion), SeenVersion>,
    /// Whether the versions that served before the start of this run are known.
    is_loaded: bool,
    /// Reading of the store's clock in ms, and when it was received.
    clock: Option<(u64, Instant)>,
    era: StoreEra,
}

impl Default for OriginState {
    fn default() -> Self {
        Self {
            ttl: ORIGIN_TTL_MIN,
            streams: HashMap::new(),
            versions: HashMap::new(),
            is_loaded: false,
            clock: None,
            era: FIRST_ERA,
        }
    }
}

impl OriginState {
    /// Versions that can have begun a stream that is taken up now.
    fn possible(&self, service: &ServiceId, now: Instant) -> BTreeSet<SoftwareVersion> {
        let versions = self.versions.iter();
        let possible = versions.filter(|((of, _), seen)| {
            of == service && seen.forget_at.is_none_or(|forget_at| now < forget_at)
        });
        possible
            .map(|((_, software), _)| software.clone())
            .collect()
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        self.clock.map_or(0, |(clock_ms, received)| {
            let passed = now.saturating_duration_since(received).as_millis();
            clock_ms + u64::try_from(passed).unwrap_or(u64::MAX)
        })
    }

    /// Merges the versions in the store. Those that left while no router was there to see it count
    /// as gone from now on.
    fn load_versions(&mut self, rows: &[StoredRow], now_ms: u64, now: Instant) {
        for row in rows {
            let Some((service, software)) = row.key.key.split_once('/') else {
                continue;
            };
            let stored: VersionRow = match row.value.as_deref().map(serde_json::from_slice) {
                Some(Ok(stored)) => stored,
                Some(Err(error)) => {
                    tracing::warn!(key = %row.key.key, %error, "skipped an unreadable software version");
                    continue;
                }
                None => continue,
            };
            let age = stored.gone_ms.map(|gone_ms| now_ms.saturating_sub(gone_ms));
            let left = self
                .ttl
                .saturating_sub(Duration::from_millis(age.unwrap_or(0)));
            let key = (service.into(), software.into());
            self.versions.entry(key).or_insert(SeenVersion {
                forget_at: Some(now + left),
                row: match stored.gone_ms {
                    Some(_) => RowState::Stored,
                    None => RowState::Pending,
                },
            });
        }
        self.clock = Some((now_ms, now));
        self.is_loaded = true;
    }

    /// Updates the versions that serve.
    fn observe(&mut self, serving: &BTreeSet<(ServiceId, SoftwareVersion)>, now: Instant) {
        for key in serving {
            let known = self.versions.get(key);
            if known.is_none_or(|seen| seen.forget_at.is_some()) {
                tracing::info!(service = %key.0, software = %key.1, "a software version serves");
                let seen = SeenVersion {
                    forget_at: None,
                    row: RowState::Pending,
                };
                self.versions.insert(key.clone(), seen);
            }
        }
        for (key, seen) in &mut self.versions {
            if seen.forget_at.is_none() && !serving.contains(key) {
                tracing::info!(service = %key.0, software = %key.1, "the last endpoint of a software version left");
                seen.forget_at = Some(now + self.ttl);
                seen.row = RowState::Pending;
            }
        }
    }

    /// Next updates to write: versions first, then streams of services with several versions, and the
    /// removal of what is too old. Returns them with what they record.
    fn next_updates(&mut self, now: Instant) -> Vec<(RowUpdate, WrittenRow)> {
        let mut updates = Vec::new();
        let clock_ms = self.clock_ms(now);
        for ((service, software), seen) in &self.versions {
            let is_over = seen.forget_at.is_some_and(|forget_at| forget_at <= now);
            if seen.row == RowState::Pending || is_over {
                let ttl_ms = self.ttl.as_millis() as u64;
                let gone_ms = seen.forget_at.map(|forget_at| {
                    let left = forget_at.saturating_duration_since(now).as_millis() as u64;
                    (clock_ms + left).saturating_sub(ttl_ms)
                });
                let key = RowKey::new(
                    ORIGIN_TABLE,
                    VERSION_PARTITION,
                    format!("{service}/{software}"),
                );
                let value = (!is_over).then(|| encode(&VersionRow { gone_ms }));
                let written =
                    WrittenRow::Version(service.clone(), software.clone(), seen.forget_at);
                updates.push((RowUpdate { key, value }, written));
            }
        }
        if !updates.is_empty() {
            updates.truncate(BATCH_MAX);
            return updates;
        }
        let several: BTreeSet<ServiceId> = {
            let services = self.versions.keys().map(|(service, _)| service.clone());
            let services: BTreeSet<ServiceId> = services.collect();
            let mut services = services.into_iter().collect::<Vec<_>>();
            services.retain(|service| self.possible(service, now).len() > 1);
            services.into_iter().collect()
        };
        self.streams
            .retain(|_, stream| stream.row == RowState::Stored || now < stream.forget_at);
        for (attempt, stream) in &self.streams {
            let is_over = stream.forget_at <= now;
            let is_new = stream.row == RowState::Pending && several.contains(&stream.service);
            if !is_over && !is_new {
                continue;
            }
            let row = BegunRow {
                software: stream.software.clone(),
                written_ms: clock_ms,
            };
            let key = RowKey::new(ORIGIN_TABLE, BEGUN_PARTITION, attempt.clone());
            let value = (!is_over).then(|| encode(&row));
            updates.push((
                RowUpdate { key, value },
                WrittenRow::Stream(attempt.clone(), is_over),
            ));
            if updates.len() == BATCH_MAX {
                break;
            }
        }
        updates
    }

    fn record_written(&mut self, written: Vec<WrittenRow>, now: Instant) {
        for row in written {
            match row {
                WrittenRow::Version(service, software, forget_at) => {
                    let key = (service, software);
                    if forget_at.is_some_and(|forget_at| forget_at <= now) {
                        self.versions.remove(&key);
                    } else if let Some(seen) = self.versions.get_mut(&key)
                        && seen.forget_at == forget_at
                    {
                        seen.row = RowState::Stored;
                    }
                }
                WrittenRow::Stream(attempt, true) => {
                    self.streams.remove(&attempt);
                }
                WrittenRow::Stream(attempt, false) => {
                    if let Some(stream) = self.streams.get_mut(&attempt) {
                        stream.row = RowState::Stored;
                    }
                }
            }
        }
    }

    /// What a restored store lost is written again.
    fn enter_era(&mut self, era: StoreEra) {
        if era == self.era {
            return;
        }
        self.era = era;
        for seen in self.versions.values_mut() {
            seen.row = RowState::Pending;
        }
        for stream in self.streams.values_mut() {
            stream.row = RowState::Pending;
        }
    }
}

/// Row that a transaction writes.
enum WrittenRow {
    /// Version, with its value of `forget_at`.
    Version(ServiceId, SoftwareVersion, Option<Instant>),
    /// Stream, and whether its row is removed.
    Stream(AttemptId, bool),
}

/// Streams that this router began, and the versions that serve.
pub struct StreamOrigins {
    rows: Arc<dyn RowPort>,
    /// Number of routers that write streams.
    routers: AtomicU32,
    state: Mutex<OriginState>,
}

impl StreamOrigins {
    /// Creates a registry that knows no streams.
    pub fn new(rows: Arc<dyn RowPort>) -> Self {
        Self {
            rows,
            routers: AtomicU32::new(1),
            state: Mutex::default(),
        }
    }

    /// Sets the number of routers that write streams.
    pub fn set_routers(&self, routers: usize) {
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        self.routers.store(routers, Ordering::Relaxed);
    }

    fn write_interval(&self) -> Duration {
        let routers = self.routers.load(Ordering::Relaxed);
        WRITE_INTERVAL_MIN.max(WRITE_INTERVAL_PER_ROUTER.saturating_mul(routers))
    }

    /// Records the version that brought the first event of an attempt.
    pub fn record_start(
        &self,
        attempt: &AttemptId,
        service: &ServiceId,
        software: SoftwareVersion,
    ) {
        let mut state = self.state();
        if attempt.len() > ATTEMPT_LEN_MAX || state.streams.len() >= ORIGIN_LIMIT {
            tracing::warn!(%attempt, "cannot remember which software version began a stream");
            return;
        }
        let stream = BegunStream {
            service: service.clone(),
            software,
            forget_at: Instant::now() + state.ttl,
            row: RowState::Pending,
        };
        state.streams.insert(attempt.clone(), stream);
    }

    /// Finds the version that began the stream of an attempt; `None` stands for an unnamed one.
    pub async fn find(&self, attempt: Option<&AttemptId>, service: &ServiceId) -> StreamOrigin {
        if let Some(attempt) = attempt
            && let Some(stream) = self.state().streams.get(attempt)
        {
            return StreamOrigin::Known(stream.software.clone());
        }
        let stored = match attempt {
            Some(attempt) if attempt.len() <= ATTEMPT_LEN_MAX => self.find_row(attempt).await,
            _ => Ok(None),
        };
        let versions = match stored {
            Ok(Some(row)) => return StreamOrigin::Known(row.software),
            // Other routers may know of a version that this one has not seen.
            Ok(None) => self.load().await,
            Err(error) => Err(error),
        };
        if let Err(error) = versions {
            // A version may have joined that this router can't know of.
            tracing::warn!(?attempt, %error, "failed to read which software version began a stream");
            return StreamOrigin::Unknown;
        }
        let now = Instant::now();
        let state = self.state();
        let mut possible = state.possible(service, now).into_iter();
        match (possible.next(), possible.next()) {
            (Some(software), None) => StreamOrigin::Known(software),
            _ => StreamOrigin::Unknown,
        }
    }

    async fn find_row(&self, attempt: &AttemptId) -> jasminewall_ports::Result<Option<BegunRow>> {
        let key = RowKey::new(ORIGIN_TABLE, BEGUN_PARTITION, attempt.clone());
        let value = self.rows.read_row(&key).await?.and_then(|row| row.value);
        let row = value.and_then(|value| {
            serde_json::from_slice(&value)
                .inspect_err(
                    |error| tracing::warn!(%attempt, %error, "skipped an unreadable stream"),
                )
                .ok()
        });
        Ok(row)
    }

    /// Reads the versions in the store.
    async fn load(&self) -> jasminewall_ports::Result<()> {
        let page = self.rows.read(ORIGIN_TABLE, VERSION_PARTITION).await?;
        let mut state = self.state();
        state.load_versions(&page.rows, page.now_ms, Instant::now());
        Ok(())
    }

    /// Writes what other routers need, for as long as this one runs.
    pub(crate) async fn write_all(self: Arc<Self>, view: Arc<FleetView>) {
        let mut seen_change = None;
        let cleanup_s = rand::random_range(CLEANUP_INTERVAL_S);
        let mut cleanup_at = Instant::now() + Duration::from_secs(cleanup_s);
        loop {
            tokio::time::sleep(self.write_interval()).await;
            let change = view.registration_change();
            if !view.is_ready() || view.is_store_unreachable() {
                continue;
            }
            if !self.state().is_loaded
                && let Err(error) = self.load().await
            {
                tracing::debug!(%error, "failed to read the software versions");
                continue;
            }
            if seen_change != Some(change) {
                let serving = view.software_versions();
                let longest = view.config().map(|config| config.longest_stream());
                let mut state = self.state();
                state.ttl = ORIGIN_TTL_MIN.max(longest.unwrap_or_default());
                state.observe(&serving, Instant::now());
                seen_change = Some(change);
            }
            self.write_pending().await;
            if cleanup_at <= Instant::now() {
                cleanup_at = Instant::now() + Duration::from_secs(cleanup_s);
                if let Err(error) = self.remove_left_rows().await {
                    tracing::warn!(%error, "failed to remove the streams of ended routers");
                }
            }
        }
    }

    /// Removes the rows of streams that routers left in the store when they ended.
    ///
    /// # Errors
    ///
    /// When the store does not respond.
    pub async fn remove_left_rows(&self) -> jasminewall_ports::Result<()> {
        let page = self.rows.read(ORIGIN_TABLE, BEGUN_PARTITION).await?;
        let oldest_ms = page.now_ms.saturating_sub(LEFT_ROW_AGE.as_millis() as u64);
        let is_left = |row: &StoredRow| {
            let value = row.value.as_deref().unwrap_or_default();
            serde_json::from_slice(value).is_ok_and(|row: BegunRow| row.written_ms < oldest_ms)
        };
        let left = page.rows.into_iter().filter(is_left);
        let updates = left.map(|row| RowUpdate {
            key: row.key,
            value: None,
        });
        let updates: Vec<RowUpdate> = updates.collect();
        for batch in updates.chunks(BATCH_MAX) {
            let transaction = RowTransaction {
                preconditions: Vec::new(),
                updates: batch.to_vec(),
            };
            self.rows.transact(transaction).await?;
        }
        Ok(())
    }

    /// Writes all pending rows, or as many as the store accepts.
    pub async fn write_pending(&self) {
        self.state().enter_era(self.rows.era());
        loop {
            let updates = self.state().next_updates(Instant::now());
            if updates.is_empty() {
                return;
            }
            let (updates, written): (Vec<_>, Vec<_>) = updates.into_iter().unzip();
            let transaction = RowTransaction {
                preconditions: Vec::new(),
                updates,
            };
            if let Err(error) = self.rows.transact(transaction).await {
                tracing::warn!(%error, "the software versions of streams were not written");
                return;
            }
            self.state().record_written(written, Instant::now());
        }
    }

    /// Records the versions that serve.
    pub fn observe(&self, serving: &BTreeSet<(ServiceId, SoftwareVersion)>) {
        self.state().observe(serving, Instant::now());
    }

    fn state(&self) -> MutexGuard<'_, OriginState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn encode<T: Serialize>(row: &T) -> bytes::Bytes {
    // Serializing plain fields cannot fail.
    serde_json::to_vec(row).unwrap_or_default().into()
}
