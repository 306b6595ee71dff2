//! Pools at the start of an era, from what routers remember.

use {
    jasminewall_core::{Tokens, VmId},
    jasminewall_forward::draws::{
        DrawMap, DrawReport, DrawSurvey, DrawTotals, PoolCopy, PoolJoin, acks_needed, join_pool,
    },
};

fn totals(drawn: Tokens, returned: Tokens) -> DrawTotals {
    DrawTotals { drawn, returned }
}

fn map(entries: &[(&str, DrawTotals)]) -> DrawMap {
    let entries = entries.iter();
    entries
        .map(|(vm, totals)| ((*vm).into(), *totals))
        .collect()
}

fn report(is_complete: bool, entries: &[(&str, DrawTotals)]) -> DrawReport {
    DrawReport {
        is_complete,
        follows_restore: !is_complete,
        totals: map(entries).into_iter().collect(),
    }
}

/// Copy in which two VMs hold 400 tokens.
fn copy() -> PoolCopy {
    let included = map(&[("vm-1", totals(300, 0)), ("vm-2", totals(150, 50))]);
    PoolCopy {
        drawn: 400,
        known: included.clone(),
        included,
    }
}

/// Guards against a pool that lacks draws or returns of the lost time, and against one that counts
/// those of several answers twice.
#[test]
fn a_pool_includes_what_any_router_remembers() {
    let survey = DrawSurvey {
        keepers: 3,
        reports: vec![
            report(true, &[("vm-1", totals(500, 0)), ("vm-3", totals(70, 0))]),
            report(true, &[("vm-1", totals(450, 0)), ("vm-2", totals(150, 90))]),
        ],
    };
    let (join, known) = join_pool(&copy(), &report(true, &[]), &survey);
    assert_eq!(join, PoolJoin::Complete(400 + 200 + 70 - 40));
    assert_eq!(known[&VmId::from("vm-1")], totals(500, 0));
}

/// Guards against draws that are lost with the routers that knew of them: a pool is complete only if
/// no set of routers that forgot can be all that knew of a draw.
#[test]
fn a_pool_is_complete_only_if_a_router_that_knows_each_draw_answers() {
    for keepers in 1..=15_usize {
        for forgetful in 0..=keepers {
            let reports = (1..keepers).map(|number| report(number >= forgetful, &[]));
            let survey = DrawSurvey {
                keepers,
                reports: reports.collect(),
            };
            let own = report(forgetful == 0, &[]);
            let (join, _) = join_pool(&copy(), &own, &survey);
            let knowing = 1 + acks_needed(keepers - 1);
            if forgetful >= knowing {
                assert_eq!(join, PoolJoin::Incomplete, "{forgetful} of {keepers}");
            }
            if forgetful == 0 || forgetful + 2 < knowing {
                assert_eq!(join, PoolJoin::Complete(400), "{forgetful} of {keepers}");
            }
        }
    }
}

/// Guards against a new customer, or a new fleet, that gets no tokens from a store that was once
/// restored.
#[test]
fn a_pool_of_which_nobody_can_know_is_new() {
    let survey = |report: DrawReport| DrawSurvey {
        keepers: 3,
        reports: vec![report.clone(), report],
    };
    let unknown = DrawReport::default();
    let (join, _) = join_pool(&PoolCopy::default(), &unknown, &survey(unknown.clone()));
    assert_eq!(join, PoolJoin::Complete(0));
    let forgot = report(false, &[]);
    let (join, _) = join_pool(&PoolCopy::default(), &unknown, &survey(forgot));
    assert_eq!(join, PoolJoin::Incomplete);
}
