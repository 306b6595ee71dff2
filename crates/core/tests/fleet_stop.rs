//! Guards against planned stops that leave too little capacity or that take effect late.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jasminewall_core::{
    Category, ConfigRecord, ConfigState, RecordKind,
    record::{self, EndpointRecord, StopRecord},
    revision::{ConfigChange, ConfigDelta},
    stop::{CLOCK_MARGIN, active_stop, check, in_effect},
};

fn config(stops: &str) -> ConfigState {
    let mut text = String::from("schema = 2\n");
    for (name, domain) in [("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b")] {
        text.push_str(&format!(
            "[[endpoint]]\nname = \"{name}\"\nruns = \"model_engine\"\naddress = \"10.0.0.1:1\"\n\
             failure_domain = \"{domain}\"\n"
        ));
    }
    text.push_str("[[route]]\nname = \"m\"\nendpoints = [\"e1\", \"e2\", \"e3\", \"e4\"]\n");
    text.push_str(stops);
    let records = record::from_str(&text).unwrap();
    let mut config = ConfigState::default();
    let changes = records.into_iter().map(ConfigChange::Put).collect();
    let delta = ConfigDelta {
        revision: 1,
        schema: 2,
        changes,
    };
    config.apply(&delta).unwrap();
    config
}

fn stop(
    name: &str,
    endpoint: Option<&str>,
    domain: Option<&str>,
    window: (u64, u64),
) -> StopRecord {
    StopRecord {
        name: name.into(),
        endpoint: endpoint.map(Into::into),
        failure_domain: domain.map(Into::into),
        from: window.0,
        until: window.1,
        remaining_percent: 50,
    }
}

const FIRST: &str = "[[stop]]\nname = \"first\"\nendpoint = \"e1\"\nfrom = 1000\nuntil = 2000\n";

#[test]
fn overlapping_stops_count_together() {
    let config = config(FIRST);
    assert_eq!(
        check(&config, &stop("s", Some("e3"), None, (1500, 2500))),
        Ok(())
    );
    let error = check(&config, &stop("s", None, Some("b"), (1999, 2500))).unwrap_err();
    assert_eq!(error.category(), Category::Limit);
    assert_eq!(
        error.to_string(),
        "stop s: route m would keep 8 of 32 slots, under the minimum of 50%; choose another \
         window, stop fewer endpoints or lower 'remaining_percent'"
    );
    assert_eq!(
        check(&config, &stop("s", None, Some("b"), (2000, 2500))),
        Ok(())
    );
    assert_eq!(
        check(&config, &stop("first", None, Some("a"), (1000, 2000))),
        Ok(()),
        "a changed stop replaces its older declaration"
    );
}

/// Guards against a later stop whose lower minimum overrides that of an earlier one.
#[test]
fn the_highest_minimum_of_overlapping_stops_holds() {
    let config = config(FIRST);
    let mut second = stop("s", None, Some("b"), (1000, 2000));
    second.remaining_percent = 10;
    assert_eq!(
        check(&config, &second).unwrap_err().category(),
        Category::Limit
    );
}

#[test]
fn stops_without_target_or_window_are_refused() {
    let config = config("");
    let error = check(&config, &stop("s", None, None, (1, 2))).unwrap_err();
    assert_eq!(
        error.to_string(),
        "stop s: name either 'endpoint' or 'failure_domain'"
    );
    let error = check(&config, &stop("s", Some("e1"), None, (2, 2))).unwrap_err();
    assert!(error.to_string().contains("the window is empty"));
}

/// Guards against a router with a slow clock that sends work to a stopped endpoint.
#[test]
fn stops_begin_early_by_the_clock_margin() {
    let config = config(FIRST);
    let Some(ConfigRecord::Endpoint(endpoint)) = config.get(RecordKind::Endpoint, "e1") else {
        panic!("e1 is declared");
    };
    let endpoint: &EndpointRecord = endpoint;
    let at = |seconds: u64| UNIX_EPOCH + Duration::from_secs(seconds);
    let margin = CLOCK_MARGIN.as_secs();
    assert!(active_stop(&config, endpoint, at(1000 - margin - 1)).is_none());
    let found = active_stop(&config, endpoint, at(1000 - margin)).unwrap();
    assert!(in_effect(found, at(1999 + margin)));
    assert!(!in_effect(found, at(2000 + margin)));
    assert!(!in_effect(found, SystemTime::now()));
}
