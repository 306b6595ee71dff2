//! Guards against a routing policy that breaks the request bounds of design.md, in a simulation
//! with virtual time and fixed seeds, at the sizes of both deployments.

use {
    jasminewall_core::{
        admission::WorkClass,
        choice::{EndpointPool, EndpointTable, RequestSpec},
    },
    jasminewall_testkit::sim::routing::{
        RoutingPolicy, RoutingResult, RoutingScenario, SECOND, Slowdown,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
};

/// Indexes of the slowed engines.
const SLOWED: [usize; 2] = [3, 7];
/// Second from which the engines are slowed.
const SLOW_FROM: usize = 40;
/// Second until which the engines are slowed.
const SLOW_UNTIL: usize = 100;

/// Scenarios of both deployments.
fn deployments(policy: RoutingPolicy) -> [RoutingScenario; 2] {
    [
        RoutingScenario::consortium(policy),
        RoutingScenario::cooperative(policy),
    ]
}

fn run_slowed(scenario: RoutingScenario, factor: u64) -> RoutingResult {
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

fn run_overloaded(scenario: RoutingScenario) -> RoutingResult {
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
    for scenario in deployments(RoutingPolicy::Jasminewall) {
        let with_long = scenario.clone().run();
        let without_long = scenario.without_class(WorkClass::Long).run();
        let p99 = |result: &RoutingResult| result.latency(Some(WorkClass::Short), 99.0);
        let ratio = p99(&with_long) / p99(&without_long);
        assert!(
            ratio <= 1.2,
            "p99 of short work is {ratio:.2} times that without long work"
        );
        assert_eq!(
            with_long.refused[0] + with_long.late[0],
            0,
            "short work was refused or late"
        );
    }
}

/// Guards against late first tokens and long gaps between tokens at 80% load.
#[test]
fn first_token_and_gaps_keep_their_bounds() {
    for scenario in deployments(RoutingPolicy::Jasminewall) {
        let result = scenario.run();
        let first_token = result.first_token(None, 95.0);
        let gap = result.token_gap(95.0);
        assert!(
            first_token <= 0.58,
            "95% of first tokens within {first_token:.3} s"
        );
        assert!(gap <= 0.067, "95% of gaps within {gap:.3} s");
    }
}

/// Guards against high tail latency while some endpoints are slow and report their load late.
#[test]
fn slowed_endpoints_keep_the_tail_bounded() {
    let other_scenarios = deployments(RoutingPolicy::LeastOutstanding);
    for (scenario, other) in deployments(RoutingPolicy::Jasminewall)
        .into_iter()
        .zip(other_scenarios)
    {
        let baseline = run_slowed(scenario.clone(), 1);
        let slow = run_slowed(scenario, 5);
        let other = run_slowed(other, 5);
        for class in [Some(WorkClass::Short), None] {
            let ratio = slow.latency(class, 99.0) / baseline.latency(class, 99.0);
            assert!(
                ratio <= 1.5,
                "{class:?}: p99 is {ratio:.2} times the baseline"
            );
        }
        // The p99 of all work is the run time of long work, which no routing policy can halve.
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
    for scenario in deployments(RoutingPolicy::Jasminewall) {
        let baseline = run_slowed(scenario.clone(), 1);
        let slow = run_slowed(scenario, 5);
        for engine in SLOWED {
            let from = SLOW_FROM + 2;
            let share = |result: &RoutingResult| result.traffic_share(engine, from, from + 10);
            let (before, after) = (share(&baseline), share(&slow));
            assert!(
                after <= before / 2.0,
                "share {after:.3}, without the slowdown {before:.3}"
            );
        }
    }
}

/// Guards against wasted work and late or false refusals under overload.
#[test]
fn overload_keeps_goodput_of_the_consortium() {
    let result = run_overloaded(RoutingScenario::consortium(RoutingPolicy::Jasminewall));
    let goodput = result.goodput_share();
    assert!(goodput >= 0.9, "goodput is {goodput:.3} of the capacity");
    assert_eq!(
        result.refused_started, 0,
        "requests were refused after they had started"
    );
    assert_eq!(result.refused_late, 0, "refusals came late");
}

/// Guards against wasted work and late or false refusals under overload.
#[test]
fn overload_keeps_goodput_of_the_cooperative() {
    let result = run_overloaded(RoutingScenario::cooperative(RoutingPolicy::Jasminewall));
    assert_eq!(
        result.refused_started, 0,
        "requests were refused after they had started"
    );
    assert_eq!(result.refused_late, 0, "refusals came late");
    let goodput = result.goodput_share();
    assert!(goodput >= 0.9, "goodput is {goodput:.3} of the capacity");
}

/// Guards against a customer that gets less than its fair share under overload.
#[test]
fn overload_keeps_fair_shares() {
    for scenario in deployments(RoutingPolicy::Jasminewall) {
        let ratio = run_overloaded(scenario).min_fair_ratio();
        assert!(ratio >= 1.0, "a customer got {ratio:.2} of its fair share");
    }
}

/// Guards against a decision whose cost grows with the number of endpoints.
#[test]
fn decision_cost_is_bounded() {
    let max_examined = [10, 100, 600].map(|endpoints| {
        let names = (0..endpoints).map(|index| (format!("engine-{index}").into(), 8));
        let mut pool = EndpointPool::new(names);
        let mut table = EndpointTable::default();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let start = std::time::Instant::now();
        let classes = WorkClass::ALL.into_iter().cycle();
        let decisions = classes.take(3_000).enumerate().map(|(step, class)| {
            let now = start + std::time::Duration::from_millis(step as u64 * 10);
            let spec = RequestSpec {
                class,
                expected_output: 20,
                prompt: 100,
                prefix: None,
                isolate: false,
                avoid: &[],
            };
            let choice = table.choose(&mut pool, &spec, |_| true, now, &mut rng);
            let choice = choice.expect("an endpoint has capacity");
            let attempt = table.begin(&choice.endpoint, &spec, now);
            table.finish(&choice.endpoint, attempt, None, now);
            choice.examined
        });
        decisions.max().unwrap_or(0)
    });
    // At most 32 endpoints are examined for the pool statistics, 12 for long work and 12 for the
    // choice.
    assert!(
        max_examined.iter().all(|examined| *examined <= 56),
        "{max_examined:?}"
    );
}
