//! Cold endpoints: many routers that each decide alone.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use {
    jasminewall_core::VmId,
    jasminewall_forward::{
        FleetView, LoadBalancer, PlacementQuery,
        allowance::SendPermit,
        evacuation::EvacuationChange,
        port::{ConfigUpdate, EndpointChange, EndpointUpdate},
        record::{CallerLimits, EndpointRecord, EndpointState, FleetConfig, ServiceRule},
        warmup::{ColdPhase, WarmupTable},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
};

const PER_SECOND: f64 = 10.0;
/// 1.5 times the rate, and 5 requests.
const BOUND: usize = 20;
const ENDPOINTS: usize = 20;
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);
/// Longest time from a decision to the arrival at the endpoint.
const TRANSIT_MS: u64 = 190;

fn endpoint(number: usize) -> EndpointRecord {
    EndpointRecord {
        id: format!("engine-{number}").into(),
        started_ms: 1,
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        domain: "a".into(),
        slots: 12,
        state: EndpointState::Ready,
        sequence: 1,
        software: "".into(),
        cold_remaining: Duration::ZERO,
        cold: None,
    }
}

/// What the routers know of each other.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Membership {
    /// All know all.
    Agreed,
    /// Each does not know a random fifth of the others.
    Gaps,
    /// Two halves do not know each other.
    Halves,
    /// Nobody has heard of another router yet.
    Unknown,
}

fn router(
    own: usize,
    routers: usize,
    known: Membership,
    now: Instant,
    rng: &mut StdRng,
) -> LoadBalancer {
    let mut balancer = LoadBalancer::new("a".into());
    balancer.set_cold_bound(1.5, 5.0);
    let mut others: Vec<usize> = (0..routers).filter(|other| *other != own).collect();
    match known {
        Membership::Agreed => {}
        Membership::Gaps => {
            others.shuffle(rng);
            others.truncate(routers - 1 - routers / 5);
        }
        Membership::Halves => others.retain(|other| other % 2 == own % 2),
        Membership::Unknown => return balancer,
    }
    let vm = |number: usize| -> VmId { format!("vm-{number}").into() };
    let others = others.into_iter().map(vm).collect();
    balancer.set_routers(vm(own), others, now);
    balancer
}

/// Plays 6 s in which all routers always have a request and all endpoints are cold. Returns the
/// arrivals per endpoint and second, and the largest number in a sliding second.
fn play(routers: usize, known: Membership, restarts: bool) -> (f64, usize) {
    let mut rng = StdRng::seed_from_u64(routers as u64);
    let begin = Instant::now();
    let mut balancers: Vec<LoadBalancer> = (0..routers)
        .map(|own| router(own, routers, known, begin, &mut rng))
        .collect();
    let start = begin + 3 * SECOND;
    let phase = ColdPhase {
        until: start + 60 * SECOND,
        per_second: PER_SECOND,
    };
    let records: Vec<EndpointRecord> = (0..ENDPOINTS)
        .map(|number| EndpointRecord {
            cold: Some(phase),
            ..endpoint(number)
        })
        .collect();
    let query = PlacementQuery {
        prompt: None,
        max_gap: None,
        excluded: &[],
        connected: None,
    };
    let mut arrivals: Vec<Vec<Instant>> = vec![Vec::new(); ENDPOINTS];
    for step in 0..300 {
        let now = start + STEP * step;
        // Each router restarts every 16 s on average.
        if restarts && rng.random_bool(routers as f64 * STEP.as_secs_f64() / 16.0) {
            let own = rng.random_range(0..routers);
            balancers[own] = router(own, routers, known, now, &mut rng);
        }
        for balancer in &mut balancers {
            while let Some(placement) = balancer.choose(&records, query, now, &mut rng) {
                let in_flight = balancer.begin(&placement, None, now);
                balancer.finish(&in_flight, false, now);
                let id = &placement.record.id;
                let number = records.iter().position(|record| record.id == *id);
                let transit = Duration::from_millis(rng.random_range(0..TRANSIT_MS));
                arrivals[number.expect("a known endpoint")].push(now + transit);
            }
        }
    }
    let mut largest = 0;
    for times in &mut arrivals {
        times.sort();
        let mut window = VecDeque::new();
        for at in times.iter() {
            window.push_back(*at);
            while *at - window[0] >= SECOND {
                window.pop_front();
            }
            largest = largest.max(window.len());
        }
    }
    let total: usize = arrivals.iter().map(Vec::len).sum();
    (total as f64 / 6.0 / ENDPOINTS as f64, largest)
}

/// Guards against endpoints that crash because all routers together send more than a cold endpoint
/// takes, and against a domain of cold endpoints that is not used although there is demand.
#[test]
fn cold_endpoints_are_neither_flooded_nor_starved() {
    for routers in [8, 66, 295] {
        for (known, restarts) in [
            (Membership::Agreed, false),
            (Membership::Gaps, true),
            (Membership::Halves, false),
        ] {
            let (rate, largest) = play(routers, known, restarts);
            println!("{routers} {known:?}: {rate:.1}/s, {largest}");
            assert!(largest <= BOUND, "{routers} {known:?}: {largest}");
            assert!(rate >= PER_SECOND / 2.0, "{routers} {known:?}: {rate}");
        }
        assert_eq!(play(routers, Membership::Unknown, false), (0.0, 0));
    }
}

/// Guards against endpoints that lose their owners when routers are removed for good, and against
/// extreme rates that end the process.
#[test]
fn others_take_over_from_removed_routers() {
    let now = Instant::now();
    let later = now + 12 * SECOND;
    let names: Vec<VmId> = (0..40)
        .map(|number| format!("vm-{number}").into())
        .collect();
    let mut table = WarmupTable::default();
    table.set_bound(1.5, 5.0);
    table.set_routers(&names[0], &names[1..], now);
    let owned = |table: &mut WarmupTable, per_second: f64| {
        let until = later + SECOND;
        let records = (0..100).map(|number| EndpointRecord {
            cold: Some(ColdPhase { until, per_second }),
            ..endpoint(number)
        });
        let allowed = records.filter(|record| table.permit(record, later) == SendPermit::Allowed);
        allowed.count()
    };
    assert!(owned(&mut table, PER_SECOND) < 30);
    table.set_routers(&names[0], &names[1..4], now);
    table.expire(now + 11 * SECOND);
    for per_second in [PER_SECOND, 1e9, f64::MAX, 1e-300, 3e-19] {
        let allowed = owned(&mut table, per_second);
        assert!(
            allowed == 100 || per_second < 1.0,
            "{allowed} at {per_second}"
        );
    }
}

fn view(now: Instant) -> FleetView {
    let view = FleetView::default();
    let rule = ServiceRule {
        engine: None,
        cold_start: 8 * SECOND,
        warmup_per_s: Some(PER_SECOND),
    };
    let services = [("llm".into(), rule)].into_iter().collect();
    let config = FleetConfig::new(1, vec![], services, vec![], CallerLimits::default());
    view.install(config, "test");
    register(&view, 1, Duration::ZERO, now);
    view
}

fn register(view: &FleetView, sequence: u64, cold_remaining: Duration, now: Instant) {
    let record = EndpointRecord {
        sequence,
        cold_remaining,
        ..endpoint(1)
    };
    let changes = vec![EndpointChange {
        id: record.id.clone(),
        record: Some(record),
    }];
    let version = sequence;
    view.update_endpoints(EndpointUpdate { changes, version }, now);
}

fn is_cold(view: &FleetView, now: Instant) -> bool {
    let records = view.ready_endpoints(&"llm".into(), now);
    records[0].cold.is_some_and(|phase| phase.until > now)
}

fn set_evacuated(view: &FleetView, version: u64, is_evacuated: bool, now: Instant) {
    let change = EvacuationChange {
        domain: "a".into(),
        version,
        is_evacuated,
    };
    let update = ConfigUpdate {
        config: None,
        evacuations: vec![change],
        is_complete: version == 1,
        version,
    };
    view.update_evacuations(&update, now);
}

/// Guards against endpoints that are taken for warm: after a crash, and after an evacuation, before
/// a registration that is later says so; and against those that stay cold for too long.
#[test]
fn an_endpoint_is_cold_until_a_later_registration() {
    let start = Instant::now();
    let at = |seconds: u32| start + seconds * SECOND;
    let view = view(start);
    assert!(!is_cold(&view, at(0)));
    register(&view, 2, 3 * SECOND, at(0));
    assert!(is_cold(&view, at(2)) && !is_cold(&view, at(3)));
    // The same registration once more, as a read of the whole table returns it.
    register(&view, 2, 3 * SECOND, at(5));
    assert!(!is_cold(&view, at(5)));
    view.suspect_cold(&"engine-1".into(), 1, at(6));
    register(&view, 2, Duration::ZERO, at(7));
    assert!(is_cold(&view, at(30)));
    register(&view, 3, Duration::ZERO, at(31));
    assert!(!is_cold(&view, at(31)));
    view.extend_cold(&"engine-1".into(), 1, 2 * SECOND, at(32));
    assert!(is_cold(&view, at(33)) && !is_cold(&view, at(34)));

    set_evacuated(&view, 1, true, at(40));
    assert!(
        view.eligible_endpoints(&"llm".into(), &None, at(40))
            .is_empty()
    );
    register(&view, 4, Duration::ZERO, at(41));
    set_evacuated(&view, 2, false, at(42));
    assert!(is_cold(&view, at(49)) && !is_cold(&view, at(50)));
    register(&view, 5, Duration::ZERO, at(43));
    assert!(!is_cold(&view, at(43)));
}
