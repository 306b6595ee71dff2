//! Snapshots of the endpoints' registrations in the store.
//!
//! A router that starts needs all registrations. With thousands of endpoints, reading them row by row
//! takes longer than a second on a link of 10 Mbit/s, and after a loss of all routers hundreds of them
//! read at the same time. A few routers therefore write a compact snapshot from time to time. A router
//! that starts reads it and then only the changes since; if they are no longer available, it reads all
//! rows.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    bincode::Options,
    bytes::Bytes,
    jasminewall_core::{DomainId, EndpointId},
    jasminewall_ports::{
        Category, Error, RowKey, RowPage, RowPort, RowReply, RowTransaction, RowUpdate, StoredRow,
        era_of,
    },
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

use crate::{
    fleet::FleetView,
    group::PeerGroup,
    port::{EndpointChange, EndpointUpdate, RecordPort},
    record::{EndpointRecord, ServiceId, SoftwareVersion},
};

/// Table of the snapshot.
const SNAPSHOT_TABLE: &str = "snapshot";
/// Partition of the snapshot itself, in rows of at most [`ROW_BYTES`].
const ENDPOINT_PARTITION: &str = "endpoints";
/// Partition and key of the time at which the last snapshot was written. It is apart from the
/// snapshot, so that the routers that may write one need not read the whole.
const TIME_PARTITION: &str = "written";
/// Number of the format; a snapshot of another format is not used.
const FORMAT: u8 = 1;
/// Largest content of a row, below the store's limit of 64 KiB.
const ROW_BYTES: usize = 48 << 10;
/// Largest number of rows; with more, one response of the store would not hold the snapshot.
const ROW_LIMIT: usize = 12;
/// Number of endpoints from which snapshots are written. Fewer fit into one response of the store.
const ENDPOINT_MIN: usize = 500;
/// Age at which a snapshot is replaced. The store keeps the changes of the last seconds only; 20 on
/// most platforms.
const REFRESH_INTERVAL: Duration = Duration::from_secs(6);
/// Number of routers that may write snapshots. The second and third do when the first is away.
const PUBLISHER_LIMIT: usize = 3;

/// Registrations of all endpoints at one version of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointSnapshot {
    /// Store version at which the registrations were read.
    pub version: u64,
    /// Registrations that can be read.
    pub records: Vec<EndpointRecord>,
}

/// Part of a snapshot in one row.
#[derive(Serialize, Deserialize)]
struct SnapshotRow {
    format: u8,
    version: u64,
    index: usize,
    count: usize,
    content: Vec<u8>,
}

/// Registrations with texts that recur replaced by their index.
#[derive(Default, Serialize, Deserialize)]
struct SnapshotContent {
    services: Vec<ServiceId>,
    domains: Vec<DomainId>,
    software: Vec<SoftwareVersion>,
    entries: Vec<SnapshotEntry>,
}

#[derive(Serialize, Deserialize)]
struct SnapshotEntry {
    service: usize,
    domain: usize,
    software: usize,
    /// Registration whose service, domain and software are empty.
    record: EndpointRecord,
}

/// Why a snapshot cannot be used or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// A row cannot be parsed, or a part is missing.
    #[error("the snapshot is incomplete or has another format; read all registrations")]
    Unreadable,
    /// The snapshot is from before the last restore of the store.
    #[error("the snapshot is from an earlier era of the store; read all registrations")]
    EarlierEra,
    /// The registrations do not fit into [`ROW_LIMIT`] rows.
    #[error("{0} endpoints are too many for a snapshot")]
    TooLarge(usize),
}

impl EndpointSnapshot {
    /// Splits the snapshot into rows.
    ///
    /// # Errors
    ///
    /// If there are too many endpoints.
    pub fn into_rows(self) -> Result<Vec<RowUpdate>, SnapshotError> {
        let (version, endpoints) = (self.version, self.records.len());
        let mut content = SnapshotContent::default();
        for mut record in self.records {
            let entry = SnapshotEntry {
                service: index_of(&mut content.services, std::mem::take(&mut record.service)),
                domain: index_of(&mut content.domains, std::mem::take(&mut record.domain)),
                software: index_of(&mut content.software, std::mem::take(&mut record.software)),
                record,
            };
            content.entries.push(entry);
        }
        let too_large = |_| SnapshotError::TooLarge(endpoints);
        let bytes = format().serialize(&content).map_err(too_large)?;
        let chunks: Vec<&[u8]> = bytes.chunks(ROW_BYTES).collect();
        if chunks.len() > ROW_LIMIT {
            return Err(SnapshotError::TooLarge(endpoints));
        }
        let count = chunks.len();
        let rows = chunks.into_iter().enumerate().map(|(index, chunk)| {
            let row = SnapshotRow {
                format: FORMAT,
                version,
                index,
                count,
                content: chunk.to_vec(),
            };
            let value = format().serialize(&row).map_err(too_large)?;
            Ok(RowUpdate {
                key: RowKey::new(SNAPSHOT_TABLE, ENDPOINT_PARTITION, index.to_string()),
                value: Some(value.into()),
            })
        });
        rows.collect()
    }

    /// Parses the rows of a snapshot; `None` if there are none.
    ///
    /// # Errors
    ///
    /// If the rows are not a complete snapshot of the store's era.
    pub fn from_rows(page: &RowPage) -> Result<Option<Self>, SnapshotError> {
        let values = page.rows.iter().filter_map(|row| row.value.as_deref());
        let rows: Vec<SnapshotRow> = values
            .map(|value| format().deserialize(value))
            .collect::<Result<_, _>>()
            .map_err(|_| SnapshotError::Unreadable)?;
        // A larger snapshot may have left rows beyond the last one of this.
        let Some(first) = rows.iter().find(|row| row.index == 0) else {
            return if rows.is_empty() {
                Ok(None)
            } else {
                Err(SnapshotError::Unreadable)
            };
        };
        let (version, count) = (first.version, first.count);
        if first.format != FORMAT {
            return Err(SnapshotError::Unreadable);
        }
        if era_of(version) != era_of(page.version) || version > page.version {
            return Err(SnapshotError::EarlierEra);
        }
        let parts = rows.into_iter().filter(|row| row.index < count);
        let parts: BTreeMap<usize, SnapshotRow> = parts.map(|row| (row.index, row)).collect();
        if parts.len() != count || parts.values().any(|row| row.version != version) {
            return Err(SnapshotError::Unreadable);
        }
        let bytes: Vec<u8> = parts.into_values().flat_map(|row| row.content).collect();
        let content: SnapshotContent = format()
            .deserialize(&bytes)
            .map_err(|_| SnapshotError::Unreadable)?;
        let records = content.entries.iter().map(|entry| {
            let mut record = entry.record.clone();
            record.service = content.services.get(entry.service)?.clone();
            record.domain = content.domains.get(entry.domain)?.clone();
            record.software = content.software.get(entry.software)?.clone();
            Some(record)
        });
        let records: Option<Vec<EndpointRecord>> = records.collect();
        let records = records.ok_or(SnapshotError::Unreadable)?;
        Ok(Some(Self { version, records }))
    }

    /// Applies the changes since the snapshot.
    pub fn apply(self, changes: EndpointUpdate) -> EndpointUpdate {
        let mut records: BTreeMap<EndpointId, Option<EndpointRecord>> = self
            .records
            .into_iter()
            .map(|record| (record.id.clone(), Some(record)))
            .collect();
        for change in changes.changes {
            records.insert(change.id, change.record);
        }
        let present = records.into_iter().filter(|(_, record)| record.is_some());
        EndpointUpdate {
            changes: present
                .map(|(id, record)| EndpointChange { id, record })
                .collect(),
            version: changes.version.max(self.version),
        }
    }
}

/// Encoding of the rows, with small integers in one byte.
fn format() -> impl Options {
    bincode::DefaultOptions::new().allow_trailing_bytes()
}

fn index_of(texts: &mut Vec<SmolStr>, text: SmolStr) -> usize {
    texts
        .iter()
        .position(|known| *known == text)
        .unwrap_or_else(|| {
            texts.push(text);
            texts.len() - 1
        })
}

/// Reads the registrations from the snapshot and the changes since; `None` if all rows must be read.
///
/// Nothing is returned before the changes are known: an endpoint of the snapshot may have left.
pub async fn load(rows: &dyn RowPort, records: &dyn RecordPort) -> Option<EndpointUpdate> {
    let page = rows.read(SNAPSHOT_TABLE, ENDPOINT_PARTITION).await.ok()?;
    let snapshot = match EndpointSnapshot::from_rows(&page) {
        Ok(snapshot) => snapshot?,
        Err(error) => {
            tracing::info!(%error, "did not use the snapshot of the endpoints");
            return None;
        }
    };
    let (version, endpoints) = (snapshot.version, snapshot.records.len());
    match records.watch_endpoints(version, Instant::now()).await {
        Ok(changes) => {
            let changed = changes.changes.len();
            tracing::info!(
                version,
                endpoints,
                changed,
                "read a snapshot of the endpoints"
            );
            Some(snapshot.apply(changes))
        }
        Err(error) => {
            tracing::info!(version, %error, "did not use the snapshot of the endpoints");
            None
        }
    }
}

/// Writes snapshots for as long as the router runs, if it is one of those that do.
pub(crate) async fn publish(
    group: Arc<PeerGroup>,
    view: Arc<FleetView>,
    rows: Arc<dyn RowPort>,
    records: Arc<dyn RecordPort>,
) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL / 4).await;
        let rank = group.publisher_rank();
        let Some(rank) = rank.filter(|rank| *rank < PUBLISHER_LIMIT) else {
            continue;
        };
        if view.endpoint_count() < ENDPOINT_MIN || view.is_store_unreachable() {
            continue;
        }
        match refresh(rank, rows.as_ref(), records.as_ref()).await {
            Ok(Some(version)) => tracing::info!(version, "wrote a snapshot of the endpoints"),
            Ok(None) => {}
            Err(error) => tracing::info!(%error, "wrote no snapshot of the endpoints"),
        }
    }
}

/// Writes a snapshot if the last one is too old. Returns its version.
///
/// # Errors
///
/// When the store does not respond, or there are too many endpoints.
pub async fn refresh(
    rank: usize,
    rows: &dyn RowPort,
    records: &dyn RecordPort,
) -> jasminewall_ports::Result<Option<u64>> {
    let page = rows.read(SNAPSHOT_TABLE, TIME_PARTITION).await?;
    let row = page.rows.into_iter().next();
    let written_ms = row.as_ref().and_then(written_ms);
    let max_age = REFRESH_INTERVAL * (1 + u32::try_from(rank).unwrap_or(u32::MAX - 1));
    // A time in the future was written before the store was restored.
    let is_fresh = written_ms.is_some_and(|at| {
        let age = page.now_ms.checked_sub(at).map(Duration::from_millis);
        age.is_some_and(|age| age < max_age)
    });
    if is_fresh {
        return Ok(None);
    }
    let update = records.read_endpoints().await?;
    let version = update.version;
    let records = update.changes.into_iter();
    let snapshot = EndpointSnapshot {
        version,
        records: records.filter_map(|change| change.record).collect(),
    };
    let updates = snapshot.into_rows();
    write(
        rows,
        updates.map_err(|error| Error::new(Category::Invalid, error.to_string()))?,
    )
    .await?;
    let time = RowUpdate {
        key: RowKey::new(SNAPSHOT_TABLE, TIME_PARTITION, TIME_PARTITION),
        value: Some(Bytes::from(page.now_ms.to_string())),
    };
    write(rows, vec![time]).await?;
    Ok(Some(version))
}

fn written_ms(row: &StoredRow) -> Option<u64> {
    std::str::from_utf8(row.value.as_deref()?)
        .ok()?
        .parse()
        .ok()
}

async fn write(rows: &dyn RowPort, updates: Vec<RowUpdate>) -> jasminewall_ports::Result<()> {
    let transaction = RowTransaction {
        preconditions: Vec::new(),
        updates,
    };
    match rows.transact(transaction).await? {
        RowReply::Committed { .. } | RowReply::Conflict(_) => Ok(()),
    }
}
