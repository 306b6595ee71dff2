//! Guards against an invariant check that cannot fail: each check must detect evidence of a
//! violation.

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

/// Evidence without violations: two holders with 300 tokens each, a transfer of 70 between them,
/// and two committed charge lines.
fn valid_evidence() -> FleetEvidence {
    let holder = |vm: &str| HolderId::new(vm, 1);
    let pool = json!({"budgets": {"b": {"prepaid": 1000, "free": 390, "spent": 10}}});
    let giver = json!({"seq": 2, "accounts": {"b": {"granted": 300, "returned": 0, "charged": 50, "given": {"vm-2": 70}}}});
    let receiver = json!({"seq": 1, "accounts": {"b": {"granted": 300, "returned": 0, "charged": 0, "received": {"vm-1": 70}}}});
    let segment = |seq, lines| SegmentRecord {
        holder: holder("vm-1"),
        shard: 0,
        seq,
        lines,
        open: Vec::new(),
    };
    let reported = |request: &str, tokens| ReportedCharge {
        request: request.into(),
        budget: "b".into(),
        tokens,
    };
    FleetEvidence {
        rows: vec![
            row("config/head", &json!({"revision": 1})),
            row("config/log/000000000001", &json!({})),
            row("pool/0", &pool),
            row(&grant_key(0, &holder("vm-1")), &giver),
            row(&grant_key(0, &holder("vm-2")), &receiver),
        ],
        // The third segment was not committed, so its line is not a charge.
        segments: vec![
            segment(1, vec![line("r1", 20)]),
            segment(2, vec![line("r2", 30)]),
            segment(3, vec![line("r3", 5)]),
        ],
        runs: vec![run("order 1"), run("order 2")],
        reported: vec![reported("r1", 20), reported("r2", 30), reported("gone", 0)],
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

/// Replaces text in the first row whose key starts with `key`.
fn edit_row(evidence: &mut FleetEvidence, key: &str, from: &str, to: &str) {
    let mut rows = evidence.rows.iter_mut();
    let row = rows.find(|row| row.key.starts_with(key));
    let row = row.expect("the row exists");
    assert!(row.value.contains(from), "{}", row.value);
    row.value = row.value.replace(from, to);
}

/// Guards against a check that accepts evidence of the violation that it has to detect.
#[test]
fn each_check_can_fail() {
    assert_eq!(valid_evidence().violations(), []);
    type Corruption = fn(&mut FleetEvidence);
    let corruptions: &[(&str, Corruption)] = &[
        ("spent over prepaid", |e| {
            edit_row(e, "pool/", "\"spent\":10", "\"spent\":960");
            edit_row(e, "pool/", "\"free\":390", "\"free\":0");
        }),
        ("free tokens appear", |e| edit_row(e, "pool/", "390", "391")),
        ("grant counted twice", |e| {
            edit_row(e, "grant/0/vm-2", "300", "301");
        }),
        ("more charged than held", |e| {
            edit_row(e, "grant/0/vm-1", "\"charged\":50", "\"charged\":231");
        }),
        ("transfer received twice", |e| {
            edit_row(e, "grant/0/vm-2", "70", "140");
        }),
        ("billed twice", |e| e.segments[1].lines.push(line("r1", 20))),
        ("not billed", |e| {
            e.segments.remove(0);
        }),
        ("billed another amount", |e| e.reported[0].tokens = 21),
        ("row differs from lines", |e| {
            edit_row(e, "grant/0/vm-1", "\"charged\":50", "\"charged\":49");
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
    for (name, corrupt) in corruptions {
        let mut evidence = valid_evidence();
        corrupt(&mut evidence);
        let violations = evidence.violations();
        assert!(!violations.is_empty(), "{name} is not detected");
        let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
        lines.push(format!("{name}: {}", texts.join("; ")));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against comparing the charges reported to callers with only a part of the spent tokens.
#[test]
fn reported_charges_are_summed() {
    let mut evidence = valid_evidence();
    // The pool row counts 10 spent tokens of a holder whose own row no longer exists.
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
