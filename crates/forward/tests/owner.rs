//! Owners of grants in a failure domain of a large fleet.

use jasminewall_forward::owner::OwnerPool;

fn owners(speeds: &[u32], down: &[usize]) -> Vec<usize> {
    let candidates = speeds.iter().enumerate();
    let candidates = candidates.map(|(vm, speed)| ((*speed, 0), vm)).collect();
    let pool = OwnerPool::choose(candidates);
    let is_up = |vm: &usize| !down.contains(vm);
    // Scores as rendezvous hashing gives them to many customers: each member comes first for some.
    let chosen = (0..speeds.len()).filter_map(|first| {
        let score = |vm: &usize| u64::from(*vm == first);
        pool.owner(is_up, score).copied()
    });
    let mut owners: Vec<usize> = chosen.collect();
    owners.sort_unstable();
    owners.dedup();
    owners
}

/// Guards against an owner whose link the requests of its share of the customers fill: of a domain
/// with two links of 200 Mbit/s the third owner had one of 10 Mbit/s, and 5,459 requests asked it.
#[test]
fn slow_routers_own_grants_only_while_no_fast_one_responds() {
    let domain = [10, 200, 10, 200, 10];
    assert_eq!(owners(&domain, &[]), [1, 3]);
    assert_eq!(owners(&domain, &[1]), [3]);
    assert_eq!(owners(&domain, &[1, 3]).len(), 1);
    assert_eq!(owners(&[50, 200, 49, 49], &[]), [0, 1]);
    assert_eq!(owners(&[100, 100, 50, 25, 25], &[]).len(), 3);
    // Unknown speeds are equal, and speeds at the limit of the type do not overflow.
    assert_eq!(owners(&[0, 0, 0, 0], &[]).len(), 3);
    assert_eq!(owners(&[u32::MAX, 1, 0], &[]), [0]);
    assert_eq!(owners(&[], &[]), Vec::<usize>::new());
}
