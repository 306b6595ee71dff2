//! Guards against an invariant check that cannot fail: each one is shown evidence that breaks it.

use std::time::SystemTime;

use {
    jasminewall_core::{
        HolderId,
        budget::grant_key,
        segment::{ChargeLine, SegmentRecord},
    },
    jasminewall_ports::TableRow,
    jasminewall_testkit::invariant::{EndpointRun, FleetEvidence, ReportedCharge},
    serde_json::{Value, json},
};

fn row(key: &str, value: &Value) -> TableRow {
    TableRow {
        key: key.into(),
        version: 1,
        value: value.to_string(),
    }
}

fn line(request: &str, tokens: u64) -> ChargeLine {
    ChargeLine {
        request: request.into(),
        customer: "parish".into(),
        budget: "b".into(),
        route: "glass-7b".into(),
        endpoint: None,
        tokens,
        outcome: "ran".into(),
        ended_at: SystemTime::UNIX_EPOCH,
    }
}

/// Two holders with 300 tokens each, of which 70 were transferred, and two charge lines.
fn sound() -> FleetEvidence {
    let holder = |vm: &str| HolderId::new(vm, 1);
    let pool = json!({"budgets": {"b": {"prepaid": 1000, "free": 390, "spent": 10}}});
    let one = json!({"seq": 2, "accounts": {"b": {"granted": 300, "returned": 0, "charged": 50, "given": {"vm-2": 70}}}});
    let two = json!({"seq": 1, "accounts": {"b": {"granted": 300, "returned": 0, "charged": 0, "received": {"vm-1": 70}}}});
    let segment = |seq, lines| SegmentRecord {
        holder: holder("vm-1"),
        shard: 0,
        seq,
        lines,
        open: Vec::new(),
    };
    let told = |request: &str, tokens| ReportedCharge {
        request: request.into(),
        budget: "b".into(),
        tokens,
    };
    FleetEvidence {
        rows: vec![
            row("config/head", &json!({"revision": 1})),
            row("config/log/000000000001", &json!({})),
            row("pool/0", &pool),
            row(&grant_key(0, &holder("vm-1")), &one),
            row(&grant_key(0, &holder("vm-2")), &two),
        ],
        // The third segment was not committed, so its line is no bill.
        segments: vec![
            segment(1, vec![line("r1", 20)]),
            segment(2, vec![line("r2", 30)]),
            segment(3, vec![line("r3", 5)]),
        ],
        runs: vec![run("order 1"), run("order 2")],
        reported: vec![told("r1", 20), told("r2", 30), told("gone", 0)],
        revisions: [("vm-1".into(), vec![0, 1, 1])].into(),
    }
}

fn run(work: &str) -> EndpointRun {
    EndpointRun {
        endpoint: "orders-a".into(),
        work: work.into(),
        idempotent: false,
    }
}

/// Replaces text in the row of a key.
fn edit(evidence: &mut FleetEvidence, key: &str, from: &str, to: &str) {
    let mut rows = evidence.rows.iter_mut();
    let row = rows.find(|row| row.key.starts_with(key));
    let row = row.expect("the row exists");
    assert!(row.value.contains(from), "{}", row.value);
    row.value = row.value.replace(from, to);
}

#[test]
fn each_check_can_fail() {
    assert_eq!(sound().violations(), []);
    type Damage = fn(&mut FleetEvidence);
    let damages: &[(&str, Damage)] = &[
        ("spent over prepaid", |e| {
            edit(e, "pool/", "\"spent\":10", "\"spent\":960");
            edit(e, "pool/", "\"free\":390", "\"free\":0");
        }),
        ("free tokens appear", |e| edit(e, "pool/", "390", "391")),
        ("grant counted twice", |e| {
            edit(e, "grant/0/vm-2", "300", "301");
        }),
        ("more charged than held", |e| {
            edit(e, "grant/0/vm-1", "\"charged\":50", "\"charged\":231");
        }),
        ("transfer received twice", |e| {
            edit(e, "grant/0/vm-2", "70", "140");
        }),
        ("billed twice", |e| e.segments[1].lines.push(line("r1", 20))),
        ("not billed", |e| {
            e.segments.remove(0);
        }),
        ("billed otherwise", |e| e.reported[0].tokens = 21),
        ("row differs from lines", |e| {
            edit(e, "grant/0/vm-1", "\"charged\":50", "\"charged\":49");
        }),
        ("run twice", |e| e.runs.push(run("order 2"))),
        ("revision lower", |e| {
            e.revisions.insert("vm-1".into(), vec![2, 1]);
        }),
        ("revision lost", |e| {
            e.rows.remove(1);
        }),
        ("revision half applied", |e| {
            e.rows.push(row("config/log/000000000002", &json!({})));
        }),
    ];
    let mut lines = Vec::new();
    for (name, damage) in damages {
        let mut evidence = sound();
        damage(&mut evidence);
        let violations = evidence.violations();
        assert!(!violations.is_empty(), "{name} is not found");
        let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
        lines.push(format!("{name}: {}", texts.join("; ")));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a sum of told charges that is compared with only a part of the spend.
#[test]
fn told_charges_are_summed() {
    let mut evidence = sound();
    // The pool's 10 tokens were spent by a holder that is gone.
    evidence.reported[2].tokens = 10;
    assert_eq!(evidence.check_reported(), []);
    evidence.reported[2].tokens = 9;
    let texts: Vec<String> = evidence
        .check_reported()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        texts,
        ["budget b: 59 tokens were reported to callers but 60 are spent"]
    );
}
