//! Rate limits, pauses and departures that endpoints announce in their responses.

use std::time::{Duration, Instant};

use {
    jasminewall_core::VmId,
    jasminewall_forward::{
        LoadBalancer, PlacementQuery,
        port::EndpointSignals,
        record::{EndpointRecord, EndpointState},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// Time for which a leaving endpoint still accepts requests.
const DRAIN: Duration = Duration::from_secs(2);

fn records(count: usize) -> Vec<EndpointRecord> {
    let records = (0..count).map(|number| EndpointRecord {
        id: format!("engine-{number}").into(),
        started_ms: 1,
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        domain: "a".into(),
        slots: 8,
        state: EndpointState::Ready,
        sequence: 0,
        software: "".into(),
        cold_remaining: Default::default(),
        cold: None,
    });
    records.collect()
}

fn query() -> PlacementQuery<'static> {
    PlacementQuery {
        prompt: None,
        max_gap: None,
        excluded: &[],
        connected: None,
    }
}

fn vm(number: usize) -> VmId {
    format!("vm-{number}").into()
}

/// Sends a request that the endpoint answers with `signals`; returns the endpoint's number.
fn send(
    balancer: &mut LoadBalancer,
    records: &[EndpointRecord],
    signals: EndpointSignals,
    now: Instant,
    rng: &mut StdRng,
) -> Option<usize> {
    let placement = balancer.choose(records, query(), now, rng)?;
    let mut in_flight = balancer.begin(&placement, None, now);
    balancer.record_signals(&in_flight, signals, DRAIN, now, rng);
    balancer.record_response(&mut in_flight, None, now);
    balancer.finish(&in_flight, false, now);
    let id = &placement.record.id;
    records.iter().position(|record| record.id == *id)
}

fn limit(per_second: f64) -> EndpointSignals {
    EndpointSignals {
        rate_limit: Some(per_second),
        ..EndpointSignals::default()
    }
}

/// Guards against routers that together send an endpoint more than it accepts. The platform's limit
/// is one and a half times the rate in 4 s, and five requests.
#[test]
fn all_routers_together_keep_to_a_rate_limit() {
    for (routers, per_second, idle_s) in [
        (1, 5.0, 0),
        (8, 5.2, 0),
        (8, 0.5, 30),
        (8, 40.0, 30),
        (65, 2.0, 30),
        (295, 1.0, 60),
    ] {
        let start = Instant::now();
        let records = records(1);
        let mut rng = StdRng::seed_from_u64(routers as u64);
        let mut fleet: Vec<LoadBalancer> = (0..routers)
            .map(|_| LoadBalancer::new("a".into()))
            .collect();
        for (number, balancer) in fleet.iter_mut().enumerate() {
            let others = (0..routers).filter(|other| *other != number).map(vm);
            balancer.set_routers(vm(number), others.collect(), start);
            send(balancer, &records, limit(per_second), start, &mut rng);
        }
        let mut sent_ms: Vec<u64> = Vec::new();
        // All routers have more requests than the endpoint accepts, at times after a pause.
        for step in 0..12_000 / 20 {
            let passed_ms = idle_s * 1_000 + step * 20;
            let now = start + Duration::from_millis(passed_ms);
            for balancer in &mut fleet {
                let is_busy = rng.random::<f64>() < 0.5;
                if is_busy && send(balancer, &records, limit(per_second), now, &mut rng).is_some() {
                    sent_ms.push(passed_ms);
                }
            }
        }
        let most = sent_ms
            .iter()
            .map(|first| {
                let window = sent_ms.iter();
                let window = window.filter(|at| (*first..*first + 4_000).contains(*at));
                window.count()
            })
            .max();
        let allowed = (per_second * 4.0 * 1.5 + 5.0) as usize;
        assert!(
            most.is_some_and(|most| most <= allowed),
            "{routers} routers sent {most:?} in 4 s at {per_second} a second; {allowed} are allowed"
        );
        let rate = sent_ms.len() as f64 / 12.0;
        assert!(
            (per_second * 0.7..=per_second * 1.2 + 0.5).contains(&rate),
            "{routers} routers used {rate} a second of {per_second}"
        );
    }
}

/// Guards against a limit that stays in force after the endpoint has stopped naming it, and against
/// one that is dropped by a response from before it was named.
#[test]
fn a_rate_limit_ends_with_the_first_later_response_without_it() {
    let start = Instant::now();
    let records = records(1);
    let mut rng = StdRng::seed_from_u64(1);
    let mut balancer = LoadBalancer::new("a".into());
    let placement = balancer.choose(&records, query(), start, &mut rng);
    let early = balancer.begin(&placement.expect("an endpoint"), None, start);
    let named = start + Duration::from_millis(50);
    assert!(send(&mut balancer, &records, limit(0.5), named, &mut rng).is_some());
    let later = start + Duration::from_millis(100);
    let none = EndpointSignals::default();
    let report = balancer.record_signals(&early, none, DRAIN, later, &mut rng);
    assert_eq!(report, None);
    assert_eq!(send(&mut balancer, &records, none, later, &mut rng), None);
    let waits = (1..=40).map(|step| later + Duration::from_millis(100) * step);
    let mut sends =
        waits.filter(|now| send(&mut balancer, &records, none, *now, &mut rng).is_some());
    assert!(
        sends.next().is_some(),
        "a send is due within two seconds, and its response lifts the limit"
    );
    assert!(sends.count() > 10);
}

/// Guards against requests to an endpoint that says it leaves, also after its registration lapsed
/// and came back; a later run under its id is used.
#[test]
fn a_leaving_endpoint_gets_no_request_after_the_drain_time() {
    let start = Instant::now();
    let mut pair = records(2);
    let mut rng = StdRng::seed_from_u64(1);
    let mut balancer = LoadBalancer::new("a".into());
    let leaving = EndpointSignals {
        is_leaving: true,
        ..EndpointSignals::default()
    };
    let none = EndpointSignals::default();
    assert_eq!(
        send(&mut balancer, &pair[..1], leaving, start, &mut rng),
        Some(0)
    );
    for _ in 0..50 {
        assert_eq!(send(&mut balancer, &pair, none, start, &mut rng), Some(1));
    }
    // Until it is gone, it is better than a refusal.
    let soon = start + DRAIN / 4;
    assert_eq!(
        send(&mut balancer, &pair[..1], none, soon, &mut rng),
        Some(0)
    );
    balancer.retain(&[]);
    for wait_s in [2, 60, 1_800] {
        let later = start + Duration::from_secs(wait_s);
        assert_eq!(send(&mut balancer, &pair[..1], none, later, &mut rng), None);
    }
    pair[0].started_ms = 2;
    let later = start + Duration::from_secs(1_801);
    assert_eq!(
        send(&mut balancer, &pair[..1], none, later, &mut rng),
        Some(0)
    );
}

/// Guards against requests to an endpoint that rejected one and named a time to wait; the refusal
/// says when it accepts requests again.
#[test]
fn an_endpoint_gets_no_request_while_it_asks_for_a_pause() {
    let start = Instant::now();
    let one = records(1);
    let mut rng = StdRng::seed_from_u64(1);
    let mut balancer = LoadBalancer::new("a".into());
    let until = start + Duration::from_secs(7);
    let pause = EndpointSignals {
        retry_at: Some(until),
        ..EndpointSignals::default()
    };
    let none = EndpointSignals::default();
    assert_eq!(send(&mut balancer, &one, pause, start, &mut rng), Some(0));
    for wait_ms in [0, 500, 6_999] {
        let now = start + Duration::from_millis(wait_ms);
        assert_eq!(send(&mut balancer, &one, none, now, &mut rng), None);
        assert_eq!(balancer.next_permit(&one, &[], now), Some(until));
    }
    assert_eq!(send(&mut balancer, &one, none, until, &mut rng), Some(0));
}
