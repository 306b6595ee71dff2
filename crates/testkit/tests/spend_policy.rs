//! Guards against grant sizes that cause refusals of requests which a budget can pay.

use jasminewall_testkit::sim::policy::{GrantPolicy, PolicyScenario, measure};

const SEEDS: [u64; 2] = [1, 2];

/// Guards against false refusals without network faults.
#[test]
fn payable_requests_are_served_while_all_routers_communicate() {
    let result = measure(GrantPolicy::Forecast, PolicyScenario::Normal, &SEEDS);
    assert!(result.payable > 10_000, "{result}");
    assert_eq!((result.refused, result.overspent), (0, 0), "{result}");
}

/// Guards against grants that run out early while failure domains are cut off.
#[test]
fn one_hour_partition_refuses_under_one_percent() {
    let result = measure(GrantPolicy::Forecast, PolicyScenario::Partition, &SEEDS);
    assert!(result.payable > 10_000, "{result}");
    assert!(result.refused_rate() < 0.01, "{result}");
    assert_eq!(result.overspent, 0);
}

/// Guards against the last tokens of a budget remaining unused at routers that do not need them.
#[test]
fn last_tokens_refuse_under_five_percent() {
    let result = measure(GrantPolicy::Forecast, PolicyScenario::LastTokens, &SEEDS);
    assert!(result.payable > 1_000, "{result}");
    assert!(result.refused_rate() < 0.05, "{result}");
    assert_eq!(result.overspent, 0);
}

/// Guards against a simulation in which any policy would meet the bounds.
#[test]
fn other_policies_refuse_more() {
    let refused_rate = |policy, scenario| measure(policy, scenario, &SEEDS[..1]).refused_rate();
    let forecast = refused_rate(GrantPolicy::Forecast, PolicyScenario::LastTokens);
    for policy in &GrantPolicy::ALL[1..] {
        let other = refused_rate(*policy, PolicyScenario::LastTokens);
        assert!(
            other > forecast,
            "{policy:?}: {other}, forecast: {forecast}"
        );
    }
    let fixed = refused_rate(GrantPolicy::FixedGrant, PolicyScenario::Partition);
    assert!(fixed > 0.01, "fixed-size grants: {fixed}");
}
