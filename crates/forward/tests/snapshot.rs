//! Snapshots of the registrations, and routers that start from them.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    jasminewall_forward::{
        port::{ConfigUpdate, EndpointChange, EndpointUpdate, RecordPort},
        record::{EndpointRecord, EndpointState},
        snapshot::{EndpointSnapshot, load, refresh},
    },
    jasminewall_ports::{MemoryRows, PortFuture, RowKey, RowPage, RowPort},
};

const ENDPOINTS: usize = 3_000;

fn record(index: usize, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: format!("i-{index:010x}").into(),
        started_ms: 1_790_000_000_000 + index as u64,
        service: ["llm", "app"][usize::from(index.is_multiple_of(100))].into(),
        address: (Ipv4Addr::from_bits(0x0a01_0000 + index as u32), 8_080).into(),
        domain: format!("domain-{}", index % 4).into(),
        slots: 12,
        state: EndpointState::Ready,
        sequence,
        software: "v1".into(),
        cold_remaining: Duration::ZERO,
        cold: None,
    }
}

/// Registrations in the rows `servers`; the value of a row is the sequence, or unreadable.
struct RowRecords(MemoryRows);

impl RowRecords {
    fn put(&self, index: usize, value: Option<&str>) {
        let value = value.map(|value| Bytes::from(value.to_owned()));
        self.0
            .put(RowKey::new("servers", "", index.to_string()), value);
    }

    fn update(page: RowPage) -> EndpointUpdate {
        let changes = page.rows.into_iter().map(|row| {
            let index = row.key.key.parse().expect("an index");
            let sequence = row
                .value
                .and_then(|value| std::str::from_utf8(&value).ok()?.parse().ok());
            EndpointChange {
                id: record(index, 0).id,
                record: sequence.map(|sequence| record(index, sequence)),
            }
        });
        EndpointUpdate {
            changes: changes.collect(),
            version: page.version,
        }
    }
}

impl RecordPort for RowRecords {
    fn read_config(&self) -> PortFuture<'_, ConfigUpdate> {
        Box::pin(async { Ok(ConfigUpdate::default()) })
    }

    fn watch_config(&self, _: u64, _: Instant) -> PortFuture<'_, ConfigUpdate> {
        Box::pin(std::future::pending())
    }

    fn read_endpoints(&self) -> PortFuture<'_, EndpointUpdate> {
        Box::pin(async { Ok(Self::update(self.0.read("servers", "").await?)) })
    }

    fn watch_endpoints(&self, since: u64, deadline: Instant) -> PortFuture<'_, EndpointUpdate> {
        Box::pin(async move {
            Ok(Self::update(
                self.0.watch("servers", since, deadline).await?,
            ))
        })
    }
}

fn sequences(update: EndpointUpdate) -> Vec<(String, u64)> {
    let records = update
        .changes
        .into_iter()
        .filter_map(|change| change.record);
    let mut sequences: Vec<_> = records
        .map(|record| (record.id.to_string(), record.sequence))
        .collect();
    sequences.sort();
    sequences
}

/// Guards against starts that take longer than a second on a slow link because of thousands of rows.
#[test]
fn a_snapshot_of_thousands_of_endpoints_is_small_and_complete() {
    let records: Vec<EndpointRecord> = (0..ENDPOINTS).map(|index| record(index, 7)).collect();
    let snapshot = EndpointSnapshot {
        version: 9,
        records,
    };
    let updates = snapshot.clone().into_rows().expect("it fits");
    let values = updates.iter().filter_map(|update| update.value.as_ref());
    let bytes: usize = values.clone().map(Bytes::len).sum();
    assert!(bytes < ENDPOINTS * 50, "{bytes} bytes");
    assert!(values.clone().all(|value| value.len() <= 64 << 10));
    let rows = MemoryRows::new();
    for update in updates {
        rows.put(update.key, update.value);
    }
    let page = RowPage {
        version: 9,
        ..futures_util::FutureExt::now_or_never(rows.read("snapshot", "endpoints"))
            .expect("an answer at once")
            .expect("rows")
    };
    assert_eq!(EndpointSnapshot::from_rows(&page), Ok(Some(snapshot)));
}

/// Guards against requests to endpoints that changed or left after the snapshot was written.
#[tokio::test(start_paused = true)]
async fn a_start_from_a_snapshot_knows_what_a_full_read_knows() {
    let rows = MemoryRows::new();
    let records = RowRecords(rows.clone());
    (0..40).for_each(|index| records.put(index, Some("1")));
    records.put(40, Some("unreadable"));
    assert_eq!(
        load(&rows, &records).await.map(sequences),
        None,
        "no snapshot yet"
    );
    let written = refresh(0, &rows, &records)
        .await
        .expect("the store responds");
    assert!(written.is_some());
    records.put(1, Some("2"));
    records.put(2, None);
    records.put(3, Some("unreadable"));
    records.put(50, Some("1"));
    let loaded = load(&rows, &records).await.map(sequences);
    let read = records.read_endpoints().await.map(sequences).ok();
    assert_eq!(loaded, read);
}

/// Guards against registrations of the past: the changes since the snapshot are lost, or the snapshot
/// is of a time that a restored store does not know.
#[tokio::test(start_paused = true)]
async fn a_snapshot_without_the_changes_since_is_not_used() {
    let rows = MemoryRows::new();
    let records = RowRecords(rows.clone());
    records.put(1, Some("1"));
    let copy = rows.copy();
    refresh(0, &rows, &records)
        .await
        .expect("the store responds");
    assert!(load(&rows, &records).await.is_some());
    records.put(1, None);
    rows.compact();
    assert!(load(&rows, &records).await.is_none(), "the history is gone");
    rows.advance_clock(60_000);
    refresh(0, &rows, &records)
        .await
        .expect("the store responds");
    assert!(load(&rows, &records).await.is_some(), "a new snapshot");
    let (kept, page) = (rows.copy(), rows.read("snapshot", "endpoints").await);
    rows.restore(copy);
    assert!(load(&rows, &records).await.is_none(), "the copy has none");
    for row in page.expect("rows").rows {
        rows.put(row.key, row.value);
    }
    assert!(
        load(&rows, &records).await.is_none(),
        "a late write of the earlier era"
    );
    rows.restore(kept);
    assert!(
        load(&rows, &records).await.is_none(),
        "a copy that has the snapshot of an earlier era"
    );
}

/// Guards against snapshots that several routers write at the same time, and against none after the
/// first of them went away.
#[tokio::test(start_paused = true)]
async fn the_next_router_writes_when_the_first_is_away() {
    let rows = MemoryRows::new();
    let records = RowRecords(rows.clone());
    records.put(1, Some("1"));
    let mut written = Vec::new();
    for second in 0..30 {
        for rank in [0, 1, 2] {
            let is_away = rank == 0 && second >= 12;
            if !is_away && matches!(refresh(rank, &rows, &records).await, Ok(Some(_))) {
                written.push((second, rank));
            }
        }
        rows.advance_clock(1_000);
    }
    assert_eq!(written, [(0, 0), (6, 0), (18, 1)]);
}
