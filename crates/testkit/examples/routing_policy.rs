//! Simulates each routing policy in virtual time and prints its latencies and goodput, with the
//! ratios to the policy of the router.
//!
//! ```text
//! cargo run --release -p jasminewall-testkit --example routing_policy
//! ```

use std::time::Instant;

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

/// Number of decisions over which their wall-clock time is averaged.
const DECISIONS: u32 = 20_000;

fn main() {
    type ScenarioConstructor = fn(RoutingPolicy) -> RoutingScenario;
    let deployments: [(&str, ScenarioConstructor); 2] = [
        ("consortium", RoutingScenario::consortium),
        ("cooperative", RoutingScenario::cooperative),
    ];
    for (name, scenario) in deployments {
        println!("{name}, 80% load");
        print_table(|policy| scenario(policy).run());
        println!("{name}, 80% load, no long work");
        print_table(|policy| scenario(policy).without_class(WorkClass::Long).run());
        println!("{name}, 60% load, 2 of 10 engines slowed five times from 40 s to 100 s");
        print_table(|policy| with_slowdowns(scenario(policy), 0.6, 5).run());
        println!("{name}, 60% load, none slowed");
        print_table(|policy| with_slowdowns(scenario(policy), 0.6, 1).run());
        println!("{name}, 120% load");
        print_table(|policy| {
            RoutingScenario {
                load: 1.2,
                ..scenario(policy)
            }
            .run()
        });
    }
    for endpoints in [10, 100, 600] {
        print_decision_time(endpoints);
    }
}

/// Sets the load of a scenario, and slows two engines from 40 s to 100 s.
fn with_slowdowns(scenario: RoutingScenario, load: f64, factor: u64) -> RoutingScenario {
    let slowdown = |engine| Slowdown {
        engine,
        from: 40 * SECOND,
        until: 100 * SECOND,
        factor,
    };
    RoutingScenario {
        load,
        slowdowns: vec![slowdown(3), slowdown(7)],
        ..scenario
    }
}

/// Runs all policies and prints a row for each.
fn print_table(run: impl Fn(RoutingPolicy) -> RoutingResult) {
    println!(
        "  {:<17} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>6} {:>8} {:>8} {:>6}",
        "policy",
        "short p99",
        "ratio",
        "p99",
        "ratio",
        "first95",
        "gap95",
        "goodput",
        "fair",
        "refused",
        "late",
        "extra"
    );
    let mut baseline = None;
    for policy in RoutingPolicy::ALL {
        let result = run(policy);
        let short = result.latency(Some(WorkClass::Short), 99.0);
        let all = result.latency(None, 99.0);
        let (baseline_short, baseline_all) = *baseline.get_or_insert((short, all));
        println!(
            "  {:<17} {short:>8.2}s {:>9.2} {all:>8.2}s {:>9.2} {:>7.3}s {:>7.3}s {:>8.3} {:>6.2} {:>8} {:>8} {:>6.3}",
            format!("{policy:?}"),
            short / baseline_short,
            all / baseline_all,
            result.first_token(None, 95.0),
            result.token_gap(95.0),
            result.goodput_share(),
            result.min_fair_ratio(),
            format!("{:?}", result.refused).replace(' ', ""),
            format!("{:?}", result.late).replace(' ', ""),
            result.extra_attempts as f64 / result.first_attempts as f64,
        );
    }
}

/// Prints the mean wall-clock time of a routing decision.
fn print_decision_time(endpoints: usize) {
    let names = (0..endpoints).map(|index| (format!("engine-{index}").into(), 8));
    let mut pool = EndpointPool::new(names);
    let mut table = EndpointTable::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let spec = RequestSpec {
        class: WorkClass::Short,
        expected_output: 20,
        prompt: 100,
        prefix: None,
        isolate: false,
        avoid: &[],
    };
    let started = Instant::now();
    for _ in 0..DECISIONS {
        let now = Instant::now();
        let choice = table.choose(&mut pool, &spec, |_| true, now, &mut rng);
        let endpoint = choice.expect("idle endpoints accept work").endpoint;
        let attempt = table.begin(&endpoint, &spec, now);
        table.finish(&endpoint, attempt, None, now);
    }
    let mean = started.elapsed() / DECISIONS;
    println!("one decision with {endpoints} endpoints: {mean:?} (wall clock)");
}
