//! Evacuated failure domains: order of versions, restored stores, news from other routers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use {
    jasminewall_forward::evacuation::{EvacuationChange, EvacuationTable},
    jasminewall_ports::era_version,
};

const SECOND: Duration = Duration::from_secs(1);

fn rows(domains: &[(&str, u64)]) -> BTreeMap<smol_str::SmolStr, u64> {
    let rows = domains.iter();
    rows.map(|(domain, row)| ((*domain).into(), *row)).collect()
}

fn change(domain: &str, version: u64, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        domain: domain.into(),
        version,
        is_evacuated,
    }
}

fn known(table: &EvacuationTable) -> Vec<String> {
    table.current().iter().map(ToString::to_string).collect()
}

/// Guards against a set that goes back to an older version: by a late read, by changes that another
/// router already told, and by a router that knows less.
#[test]
fn the_set_never_goes_back_to_an_older_version() {
    let now = Instant::now();
    let (mut table, mut behind) = (EvacuationTable::default(), EvacuationTable::default());
    behind.replace(5, rows(&[]), now);
    table.replace(10, rows(&[("a", 8)]), now);
    table.apply(12, vec![change("b", 11, true), change("a", 12, false)]);
    assert_eq!(known(&table), ["b"]);
    table.replace(9, rows(&[("a", 8)]), now);
    table.merge(behind.report().expect("it was read"), now);
    assert_eq!(known(&table), ["b"]);
    behind.merge(table.report().expect("it was read"), now);
    // The watch of the router that was behind returns what it has learned since.
    let diff = behind.apply(11, vec![change("a", 8, true), change("b", 11, true)]);
    assert_eq!(
        (known(&behind), diff),
        (vec!["b".into()], Default::default())
    );
}

/// Guards against an evacuation that a restored store loses, against one that it brings back, and
/// against either that never ends.
#[test]
fn a_restored_store_does_not_undo_what_the_operator_did() {
    let start = Instant::now();
    let mut table = EvacuationTable::default();
    table.replace(10, rows(&[("revoked", 9)]), start);
    table.apply(
        14,
        vec![change("revoked", 11, false), change("lost", 14, true)],
    );
    let copied = |stored: u64| era_version(2, stored);
    let state = rows(&[("revoked", copied(9))]);
    table.replace(copied(10), state.clone(), start);
    assert_eq!(known(&table), ["lost"]);
    // A router that started since learns it, and so does one that is cut off.
    let mut started = EvacuationTable::default();
    started.replace(copied(10), rows(&[]), start);
    started.merge(table.report().expect("it was read"), start);
    assert_eq!(known(&started), ["lost"]);
    // A read that comes too early, and another router's, decide nothing.
    table.replace(copied(11), state.clone(), start + 5 * SECOND);
    let mut early = EvacuationTable::default();
    early.replace(copied(12), rows(&[]), start);
    table.merge(early.report().expect("it was read"), start + 11 * SECOND);
    assert_eq!(known(&table), ["lost"]);
    assert!(table.needs_read(start + 10 * SECOND));
    // The operator's row, once it is written again, counts at once.
    started.apply(copied(13), vec![change("lost", copied(13), true)]);
    started.apply(copied(14), vec![change("lost", copied(14), false)]);
    assert!(known(&started).is_empty());
    started.merge(table.report().expect("it was read"), start + SECOND);
    assert!(known(&started).is_empty());
    let diff = table.replace(copied(15), state, start + 11 * SECOND);
    assert_eq!(known(&table), ["revoked"]);
    assert_eq!(diff.revoked, ["lost"]);
    assert!(!table.needs_read(start + 30 * SECOND));
}
