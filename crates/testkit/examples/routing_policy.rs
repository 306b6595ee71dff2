//! Prints the measures of the routing policies in virtual time, with ratios to the router's own.
//!
//! ```text
//! cargo run --release -p jasminewall-testkit --example routing_policy
//! ```

use std::time::Instant;

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

/// Decisions of one wall-clock figure.
const DECISIONS: u32 = 20_000;

fn main() {
    type SizedScenario = fn(RoutingPolicy) -> RoutingScenario;
    let sizes: [(&str, SizedScenario); 2] = [
        ("consortium", RoutingScenario::consortium),
        ("cooperative", RoutingScenario::cooperative),
    ];
    for (name, sized) in sizes {
        println!("{name}, 80% load");
        table(|policy| sized(policy).run());
        println!("{name}, 80% load, no long work");
        table(|policy| sized(policy).without_class(WorkClass::Long).run());
        println!("{name}, 60% load, 2 of 10 engines slowed five times from 40 s to 100 s");
        table(|policy| slowed(sized(policy), 0.6, 5).run());
        println!("{name}, 60% load, none slowed");
        table(|policy| slowed(sized(policy), 0.6, 1).run());
        println!("{name}, 120% load");
        table(|policy| {
            RoutingScenario {
                load: 1.2,
                ..sized(policy)
            }
            .run()
        });
    }
    for endpoints in [10, 100, 600] {
        decision_time(endpoints);
    }
}

fn slowed(scenario: RoutingScenario, load: f64, factor: u64) -> RoutingScenario {
    let spell = |engine| Slowdown {
        engine,
        from: 40 * SECOND,
        until: 100 * SECOND,
        factor,
    };
    RoutingScenario {
        load,
        slowdowns: vec![spell(3), spell(7)],
        ..scenario
    }
}

fn table(run: impl Fn(RoutingPolicy) -> RoutingResult) {
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
    let mut own = None;
    for policy in RoutingPolicy::ALL {
        let measure = run(policy);
        let short = measure.latency(Some(WorkClass::Short), 99.0);
        let all = measure.latency(None, 99.0);
        let (own_short, own_all) = *own.get_or_insert((short, all));
        println!(
            "  {:<17} {short:>8.2}s {:>9.2} {all:>8.2}s {:>9.2} {:>7.3}s {:>7.3}s {:>8.3} {:>6.2} {:>8} {:>8} {:>6.3}",
            format!("{policy:?}"),
            short / own_short,
            all / own_all,
            measure.first_token(None, 95.0),
            measure.token_gap(95.0),
            measure.goodput_share(),
            measure.min_fair_ratio(),
            format!("{:?}", measure.refused).replace(' ', ""),
            format!("{:?}", measure.late).replace(' ', ""),
            measure.extra_attempts as f64 / measure.first_attempts as f64,
        );
    }
}

/// Prints the wall-clock time of one decision.
fn decision_time(endpoints: usize) {
    let names = (0..endpoints).map(|index| (format!("engine-{index}").into(), 8));
    let mut pool = EndpointPool::new(names);
    let mut table = EndpointTable::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let need = WorkSpec {
        class: WorkClass::Short,
        work: 20,
        prompt: 100,
        prefix: None,
        isolate: false,
        avoid: &[],
    };
    let started = Instant::now();
    for _ in 0..DECISIONS {
        let now = Instant::now();
        let choice = table.choose(&mut pool, &need, |_| true, now, &mut rng);
        let endpoint = choice.expect("endpoints with no work have room").endpoint;
        let work = table.begin(&endpoint, &need, now);
        table.finish(&endpoint, work, None, now);
    }
    let each = started.elapsed() / DECISIONS;
    println!("one decision with {endpoints} endpoints: {each:?} (wall clock)");
}
