//! Registrations of endpoints when the store is restored from a copy.

use std::time::{Duration, Instant};

use {
    jasminewall_forward::{
        FleetView,
        port::{EndpointChange, EndpointUpdate},
        record::{EndpointRecord, EndpointState},
    },
    jasminewall_ports::era_version,
};

fn record(id: &str, state: EndpointState, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        started_ms: 1_000,
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        slots: 4,
        state,
        sequence,
    }
}

fn update(version: u64, records: Vec<EndpointRecord>) -> EndpointUpdate {
    let changes = records.into_iter().map(|record| EndpointChange {
        id: record.id.clone(),
        record: Some(record),
    });
    EndpointUpdate {
        changes: changes.collect(),
        version,
    }
}

fn ready(view: &FleetView, now: Instant) -> Vec<String> {
    let records = view.ready_endpoints(&"llm".into(), now);
    let mut ids: Vec<_> = records.iter().map(|record| record.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against requests to endpoints that drain or left in the time that the store lost.
#[test]
fn a_restored_store_brings_no_leaving_endpoint_back() {
    use EndpointState::{Draining, Ready};
    let now = Instant::now();
    let view = FleetView::default();
    let copy = || vec![record("drains", Ready, 5), record("left", Ready, 5)];
    view.replace_endpoints(update(10, copy()), now);
    let removed = EndpointChange {
        id: "left".into(),
        record: None,
    };
    let mut lost = update(20, vec![record("drains", Draining, 6)]);
    lost.changes.push(removed);
    view.update_endpoints(lost, now);
    view.replace_endpoints(update(era_version(2, 10), copy()), now);
    assert_eq!(ready(&view, now), Vec::<String>::new());

    // An endpoint that was only silent for a while registers again.
    let again = update(era_version(2, 11), vec![record("left", Ready, 7)]);
    view.update_endpoints(again, now);
    assert_eq!(ready(&view, now), ["left"]);
}

/// Guards against endpoints that a router drops because they registered in the time that the store
/// lost.
#[test]
fn an_endpoint_of_the_lost_time_has_time_to_register_again() {
    let now = Instant::now();
    let view = FleetView::default();
    view.replace_endpoints(update(10, Vec::new()), now);
    let new = || record("new", EndpointState::Ready, 1);
    view.update_endpoints(update(20, vec![new()]), now);
    view.replace_endpoints(update(era_version(2, 10), Vec::new()), now);
    assert_eq!(ready(&view, now), ["new"]);
    let later = now + Duration::from_secs(5);
    assert_eq!(ready(&view, later), Vec::<String>::new());
}
