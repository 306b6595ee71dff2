//! Guards the request bounds of the design page, in virtual time with fixed seeds, at the sizes of
//! both deployments.

use {
    jasminewall_core::{
        admission::WorkClass,
        choice::{EndpointPool, EndpointTable, WorkSpec},
    },
    jasminewall_testkit::sim::routing::{
        RoutingPolicy, RoutingResult, RoutingScenario, SECOND, Slowdown,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
};

/// Engines that are slowed, and the time from which they are.
const SLOWED: [usize; 2] = [3, 7];
const SLOW_FROM: usize = 40;
const SLOW_UNTIL: usize = 100;

/// Both deployments.
fn sizes(policy: RoutingPolicy) -> [RoutingScenario; 2] {
    [
        RoutingScenario::consortium(policy),
        RoutingScenario::cooperative(policy),
    ]
}

fn slowed(scenario: RoutingScenario, factor: u64) -> RoutingResult {
    let slowdowns = SLOWED.map(|engine| Slowdown {
        engine,
        from: SLOW_FROM as u64 * SECOND,
        until: SLOW_UNTIL as u64 * SECOND,
        factor,
    });
    let scenario = RoutingScenario {
        load: 0.6,
        slowdowns: slowdowns.to_vec(),
        ..scenario
    };
    scenario.run()
}

fn overloaded(scenario: RoutingScenario) -> RoutingResult {
    let scenario = RoutingScenario {
        load: 1.2,
        seconds: 400,
        ..scenario
    };
    scenario.run()
}

/// Guards against short work that waits behind long work.
#[test]
fn short_work_is_not_delayed_by_long_work() {
    for scenario in sizes(RoutingPolicy::Jasminewall) {
        let with = scenario.clone().run();
        let without = scenario.without_class(WorkClass::Long).run();
        let p99 = |measure: &RoutingResult| measure.latency(Some(WorkClass::Short), 99.0);
        let ratio = p99(&with) / p99(&without);
        assert!(
            ratio <= 1.2,
            "p99 of short work is {ratio:.2} times that without long work"
        );
        assert_eq!(
            with.refused[0] + with.late[0],
            0,
            "short work was refused or late"
        );
    }
}

/// Guards against late first tokens and gaps between tokens at 80% load.
#[test]
fn first_token_and_gaps_keep_their_bounds() {
    for scenario in sizes(RoutingPolicy::Jasminewall) {
        let measure = scenario.run();
        let first = measure.first_token(None, 95.0);
        let gap = measure.token_gap(95.0);
        assert!(first <= 0.58, "95% of first tokens within {first:.3} s");
        assert!(gap <= 0.067, "95% of gaps within {gap:.3} s");
    }
}

/// Guards against a long tail while some endpoints are slowed and report it late.
#[test]
fn slowed_endpoints_keep_the_tail_bounded() {
    let others = sizes(RoutingPolicy::LeastOutstanding);
    for (scenario, other) in sizes(RoutingPolicy::Jasminewall).into_iter().zip(others) {
        let usual = slowed(scenario.clone(), 1);
        let slow = slowed(scenario, 5);
        let other = slowed(other, 5);
        for class in [Some(WorkClass::Short), None] {
            let ratio = slow.latency(class, 99.0) / usual.latency(class, 99.0);
            assert!(
                ratio <= 1.5,
                "{class:?}: p99 is {ratio:.2} times the unslowed one"
            );
        }
        // The p99 of all work is the run time of long work, which no choice halves.
        let short = Some(WorkClass::Short);
        let ratio = slow.latency(short, 99.0) / other.latency(short, 99.0);
        assert!(
            ratio < 0.5,
            "p99 is {ratio:.2} times that of least outstanding"
        );
    }
}

/// Guards against a slow endpoint that keeps its share of the traffic.
#[test]
fn slow_endpoint_loses_share_within_two_seconds() {
    for scenario in sizes(RoutingPolicy::Jasminewall) {
        let usual = slowed(scenario.clone(), 1);
        let slow = slowed(scenario, 5);
        for engine in SLOWED {
            let from = SLOW_FROM + 2;
            let share = |measure: &RoutingResult| measure.traffic_share(engine, from, from + 10);
            let (before, after) = (share(&usual), share(&slow));
            assert!(
                after <= before / 2.0,
                "share {after:.3}, unslowed {before:.3}"
            );
        }
    }
}

/// Guards against work that is done in vain, and late or untrue refusals, under overload.
#[test]
fn overload_keeps_goodput_of_the_consortium() {
    let measure = overloaded(RoutingScenario::consortium(RoutingPolicy::Jasminewall));
    let goodput = measure.goodput_share();
    assert!(goodput >= 0.9, "goodput is {goodput:.3} of the capacity");
    assert_eq!(measure.refused_started, 0, "refused work had run");
    assert_eq!(measure.refused_late, 0, "refusals came late");
}

/// Guards against work that is done in vain, and late or untrue refusals, under overload.
#[test]
fn overload_keeps_goodput_of_the_cooperative() {
    let measure = overloaded(RoutingScenario::cooperative(RoutingPolicy::Jasminewall));
    assert_eq!(measure.refused_started, 0, "refused work had run");
    assert_eq!(measure.refused_late, 0, "refusals came late");
    let goodput = measure.goodput_share();
    assert!(goodput >= 0.9, "goodput is {goodput:.3} of the capacity");
}

/// Guards against a customer that gets less than its fair share under overload.
#[test]
fn overload_keeps_fair_shares() {
    for scenario in sizes(RoutingPolicy::Jasminewall) {
        let ratio = overloaded(scenario).min_fair_ratio();
        assert!(ratio >= 1.0, "a customer got {ratio:.2} of its fair share");
    }
}

/// Guards against a decision whose cost grows with the number of endpoints.
#[test]
fn decision_cost_is_bounded() {
    let most = [10, 100, 600].map(|endpoints| {
        let names = (0..endpoints).map(|index| (format!("engine-{index}").into(), 8));
        let mut pool = EndpointPool::new(names);
        let mut table = EndpointTable::default();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let start = std::time::Instant::now();
        let classes = WorkClass::ALL.into_iter().cycle();
        let decisions = classes.take(3_000).enumerate().map(|(step, class)| {
            let now = start + std::time::Duration::from_millis(step as u64 * 10);
            let need = WorkSpec {
                class,
                work: 20,
                prompt: 100,
                prefix: None,
                isolate: false,
                avoid: &[],
            };
            let choice = table.choose(&mut pool, &need, |_| true, now, &mut rng);
            let choice = choice.expect("there is room");
            let work = table.begin(&choice.endpoint, &need, now);
            table.finish(&choice.endpoint, work, None, now);
            choice.examined
        });
        decisions.max().unwrap_or(0)
    });
    // 32 endpoints for the state of the pool, 12 for long work and 12 for the choice.
    assert!(most.iter().all(|examined| *examined <= 56), "{most:?}");
}
