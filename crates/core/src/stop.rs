//! Planned stops of endpoints and failure domains, and the remaining capacity during them.

use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    Category, ConfigRecord, ConfigState, EndpointId, Error, RecordKind, Result,
    record::{EndpointRecord, RouteRecord, StopRecord},
};

/// Margin by which a stop starts earlier and ends later than declared. VM clocks may be off by a
/// minute, and a router with a slow clock must not send work to a stopped endpoint.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(60);

/// Whether a stop applies to an endpoint, regardless of the time.
pub fn covers(stop: &StopRecord, endpoint: &EndpointRecord) -> bool {
    stop.endpoint.as_ref() == Some(&endpoint.name)
        || stop.failure_domain.as_ref() == Some(&endpoint.failure_domain)
}

/// Whether a stop is in effect at a wall-clock time, including [`CLOCK_MARGIN`].
pub fn in_effect(stop: &StopRecord, now: SystemTime) -> bool {
    let now = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let from = Duration::from_secs(stop.from).saturating_sub(CLOCK_MARGIN);
    let until = Duration::from_secs(stop.until).saturating_add(CLOCK_MARGIN);
    from <= now && now < until
}

/// Stop that covers an endpoint and is in effect at a wall-clock time, if any.
pub fn active_stop<'a>(
    config: &'a ConfigState,
    endpoint: &EndpointRecord,
    now: SystemTime,
) -> Option<&'a StopRecord> {
    stops(config).find(|stop| covers(stop, endpoint) && in_effect(stop, now))
}

/// Checks that every route keeps its minimum share of slots during a stop.
///
/// All declared stops with overlapping windows are added up, and the highest of their minimums
/// applies, so that a later stop cannot undercut an earlier one.
///
/// # Errors
///
/// `Data` for a stop without a target or with an empty window, `Limit` if too little capacity
/// remains; the message names the route.
pub fn check(config: &ConfigState, wanted: &StopRecord) -> Result<()> {
    check_fields(wanted)?;
    let mut all: Vec<&StopRecord> = stops(config)
        .filter(|stop| stop.name != wanted.name && windows_overlap(stop, wanted))
        .collect();
    all.push(wanted);
    // Capacity only decreases where a window starts, so checking these times covers the whole window.
    let times = all.iter().map(|stop| stop.from.max(wanted.from));
    for time in times.collect::<BTreeSet<u64>>() {
        let active: Vec<&StopRecord> = all
            .iter()
            .copied()
            .filter(|stop| stop.from <= time && time < stop.until)
            .collect();
        check_routes(config, wanted, &active)?;
    }
    Ok(())
}

fn check_fields(stop: &StopRecord) -> Result<()> {
    let position = format!("stop {}", stop.name);
    if stop.endpoint.is_some() == stop.failure_domain.is_some() {
        let message = "name either 'endpoint' or 'failure_domain'";
        return Err(Error::new(Category::Data, message).at(position));
    }
    if stop.from >= stop.until {
        let message = "the window is empty; write an 'until' after 'from'";
        return Err(Error::new(Category::Data, message).at(position));
    }
    Ok(())
}

fn check_routes(config: &ConfigState, wanted: &StopRecord, active: &[&StopRecord]) -> Result<()> {
    let minimum = active.iter().map(|stop| stop.remaining_percent).max();
    let minimum = u64::from(minimum.unwrap_or(0));
    for record in config.of_kind(RecordKind::Route) {
        let ConfigRecord::Route(route) = record else {
            continue;
        };
        let (remaining, total) = remaining_slots(config, route, active);
        if remaining * 100 < total * minimum {
            let message = format!(
                "route {} would keep {remaining} of {total} slots, under the minimum of {minimum}%; \
                 choose another window, stop fewer endpoints or lower 'remaining_percent'",
                route.name
            );
            return Err(Error::new(Category::Limit, message).at(format!("stop {}", wanted.name)));
        }
    }
    Ok(())
}

/// Slots of a route that remain during the active stops, and its total slots.
fn remaining_slots(
    config: &ConfigState,
    route: &RouteRecord,
    active: &[&StopRecord],
) -> (u64, u64) {
    let mut remaining = 0;
    let mut total = 0;
    for endpoint in route
        .endpoints
        .iter()
        .filter_map(|name| find_endpoint(config, name))
    {
        total += u64::from(endpoint.slots);
        let stopped = active.iter().any(|stop| covers(stop, endpoint));
        if !stopped && !endpoint.leaving {
            remaining += u64::from(endpoint.slots);
        }
    }
    (remaining, total)
}

fn find_endpoint<'a>(config: &'a ConfigState, name: &EndpointId) -> Option<&'a EndpointRecord> {
    match config.get(RecordKind::Endpoint, name) {
        Some(ConfigRecord::Endpoint(endpoint)) => Some(endpoint),
        _ => None,
    }
}

fn windows_overlap(first: &StopRecord, second: &StopRecord) -> bool {
    first.from < second.until && second.from < first.until
}

fn stops(config: &ConfigState) -> impl Iterator<Item = &StopRecord> {
    let records = config.of_kind(RecordKind::Stop);
    records.filter_map(|record| match record {
        ConfigRecord::Stop(stop) => Some(stop),
        _ => None,
    })
}
