//! Tests the commands of `jasminectl` on an in-memory platform.

use std::time::{Duration, SystemTime};

use {
    jasminewall_core::{
        HolderId,
        budget::{grant_key, pool_key},
        segment::{ChargeLine, OpenRequest, SegmentRecord, segment_key},
        shard_of,
    },
    jasminewall_ctl::{
        ApplyOptions, CommandReport, ControlClient, ControlSetting, DeclarationFile, DrainAction,
        Error, ExitKind, TopUpPayment,
    },
    jasminewall_ports::{FaultPlan, MemoryPlatform, ObjectPort, RowWrite, TablePort},
    serde_json::json,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const SHARDS: u32 = 4;
const FLEET_TOML: &str = "schema = 2\n[[customer]]\nname = \"parish\"\nkey_sha256 = []\n\
    [[budget]]\nname = \"parish-2026\"\ncustomer = \"parish\"\n\
    [[top_up]]\nname = \"first\"\nbudget = \"parish-2026\"\namount = 1000\n\
    [[endpoint]]\nname = \"engine-1\"\nruns = \"model_engine\"\naddress = \"10.0.0.1:80\"\nfailure_domain = \"domain-a\"\n\
    [[endpoint]]\nname = \"engine-2\"\nruns = \"model_engine\"\naddress = \"10.0.0.2:80\"\nfailure_domain = \"domain-b\"\n\
    [[route]]\nname = \"glass-7b\"\nendpoints = [\"engine-1\", \"engine-2\"]\n";

fn client(platform: &MemoryPlatform) -> ControlClient {
    ControlClient::new(platform.ports(), SHARDS)
}

fn files(text: &str) -> Vec<DeclarationFile> {
    vec![DeclarationFile::new("fleet.toml", text)]
}

async fn apply(platform: &MemoryPlatform, text: &str) -> Result<CommandReport, Error> {
    client(platform)
        .apply(&files(text), &ApplyOptions::default())
        .await
}

/// Guards against a repeated `apply` that writes rows or adds a top-up a second time.
#[tokio::test]
async fn applying_twice_changes_nothing() {
    let platform = MemoryPlatform::new();
    let first = apply(&platform, FLEET_TOML).await.unwrap();
    let writes = platform.counts().row_writes;
    let second = apply(&platform, FLEET_TOML).await.unwrap();
    assert_eq!(platform.counts().row_writes, writes);
    insta::assert_snapshot!(format!("{}\n---\n{}", first.text, second.text));
    let printed = client(&platform).get(None, None).await.unwrap().text;
    let third = apply(&platform, &printed).await.unwrap();
    assert_eq!(
        third.text, second.text,
        "'get' prints the configuration in force"
    );
}

/// Guards against concurrent changes that are both reported as committed.
#[tokio::test(start_paused = true)]
async fn second_operator_gets_a_conflict() {
    let platform = MemoryPlatform::new();
    apply(&platform, FLEET_TOML).await.unwrap();
    // With the delay, all operators read the same head row before any of them writes.
    platform.set_faults(FaultPlan {
        delay_ms: 5,
        ..FaultPlan::default()
    });
    let mut commands = tokio::task::JoinSet::new();
    for weight in 2..10 {
        let text = format!(
            "schema = 2\n[[customer]]\nname = \"parish\"\nkey_sha256 = []\nweight = {weight}\n\
            [[top_up]]\nname = \"bonus-{weight}\"\nbudget = \"parish-2026\"\namount = 7\n"
        );
        let platform = platform.clone();
        commands.spawn(async move { apply(&platform, &text).await });
    }
    let results = commands.join_all().await;
    let conflicts: Vec<&Error> = results
        .iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    assert_eq!(conflicts.len(), 7);
    assert!(
        conflicts
            .iter()
            .all(|error| error.exit() == ExitKind::Conflict)
    );
    let ledger = client(&platform).ledger(None).await.unwrap();
    assert_eq!(
        ledger.json["budgets"]["parish-2026"]["prepaid"], 1007,
        "only the top-up of the committed change counts"
    );
    insta::assert_snapshot!(conflicts[0].to_string());
    let stale = ApplyOptions {
        base: Some(1),
        ..ApplyOptions::default()
    };
    let change = FLEET_TOML.replace(
        "80\"\nfailure_domain = \"domain-a",
        "81\"\nfailure_domain = \"domain-a",
    );
    let error = client(&platform)
        .apply(&files(&change), &stale)
        .await
        .unwrap_err();
    assert_eq!(
        error.exit(),
        ExitKind::Conflict,
        "an outdated base revision is a conflict"
    );
}

/// Guards against a commit whose response is lost being reported as failed, or its top-up counting
/// twice.
#[tokio::test]
async fn commits_with_lost_responses_are_confirmed() {
    for lose_answers in 1..=2 {
        let platform = MemoryPlatform::new();
        platform.set_faults(FaultPlan {
            lose_answers,
            ..FaultPlan::default()
        });
        let report = apply(&platform, FLEET_TOML).await.unwrap();
        assert!(
            report.text.contains("revision 1 is accepted"),
            "{}",
            report.text
        );
        let ledger = client(&platform).ledger(None).await.unwrap();
        assert_eq!(ledger.json["budgets"]["parish-2026"]["prepaid"], 1000);
    }
}

/// Guards against reports of success while the platform is down or rejects the credential.
#[tokio::test]
async fn unreachable_platform_is_reported() {
    let platform = MemoryPlatform::new();
    platform.set_faults(FaultPlan {
        table_down: true,
        ..FaultPlan::default()
    });
    let error = apply(&platform, FLEET_TOML).await.unwrap_err();
    assert_eq!(error.exit(), ExitKind::Unreachable);
    assert_eq!(
        error.to_string(),
        "the platform cannot be reached; the call had no effect, try again"
    );
    platform.set_faults(FaultPlan::default());
    platform.require_credential("secret");
    let error = apply(&platform, FLEET_TOML).await.unwrap_err();
    assert_eq!(error.exit(), ExitKind::Refused);
    assert_eq!(platform.counts().row_writes, 0);
    apply(&platform.with_credential("secret"), FLEET_TOML)
        .await
        .unwrap();
}

/// Guards against lowering a budget by tokens that are already granted to a router, which would allow
/// an overspend.
#[tokio::test]
async fn lowering_takes_free_tokens_only() {
    let platform = MemoryPlatform::new();
    apply(&platform, FLEET_TOML).await.unwrap();
    grant(&platform, 600, 100).await;
    let payment = TopUpPayment {
        id: "back".into(),
        budget: "parish-2026".into(),
        amount: -700,
    };
    let mut lines = vec![client(&platform).top_up(&payment).await.unwrap().text];
    lines.push(client(&platform).top_up(&payment).await.unwrap().text);
    lines.push(
        client(&platform)
            .ledger(Some("parish-2026"))
            .await
            .unwrap()
            .text,
    );
    let unknown = TopUpPayment {
        id: "x".into(),
        budget: "parish-2062".into(),
        amount: 1,
    };
    lines.push(
        client(&platform)
            .top_up(&unknown)
            .await
            .unwrap_err()
            .to_string(),
    );
    insta::assert_snapshot!(lines.join("\n---\n"));
}

/// Moves tokens from the pool to a holder in one transaction, as a router does.
async fn grant(platform: &MemoryPlatform, granted: u64, charged: u64) -> HolderId {
    let holder = HolderId::new("vm-1", 7);
    let shard = shard_of("parish-2026", SHARDS);
    let row = platform
        .read(&pool_key(shard))
        .await
        .expect("the table is available")
        .expect("the pool exists");
    let mut pool: serde_json::Value = serde_json::from_str(&row.value).expect("a JSON row");
    let free = &mut pool["budgets"]["parish-2026"]["free"];
    *free = (free.as_u64().expect("a number") - granted).into();
    let account = json!({"granted": granted, "returned": 0, "charged": charged});
    let grant = json!({"holder": holder, "seq": 2, "accounts": {"parish-2026": account}});
    let writes = vec![
        RowWrite::replace(row.key, row.version, pool.to_string()),
        RowWrite::create(grant_key(shard, &holder), grant.to_string()),
    ];
    platform
        .transact(writes)
        .await
        .expect("the table is available");
    holder
}

/// Guards against a ledger that does not report missing tokens.
#[tokio::test]
async fn ledger_says_when_it_does_not_add_up() {
    let platform = MemoryPlatform::new();
    apply(&platform, FLEET_TOML).await.unwrap();
    grant(&platform, 600, 100).await;
    let key = pool_key(shard_of("parish-2026", SHARDS));
    let row = platform.read(&key).await.unwrap().unwrap();
    let value = row.value.replace("\"free\":400", "\"free\":390");
    assert_ne!(value, row.value);
    platform
        .transact(vec![RowWrite::replace(key, row.version, value)])
        .await
        .unwrap();
    let report = client(&platform).ledger(None).await.unwrap();
    assert_eq!(report.exit, ExitKind::Refused);
    insta::assert_snapshot!(report.text);
}

/// Guards against explanations that contradict the charge lines or report uncommitted charges as
/// charged.
#[tokio::test]
async fn requests_are_explained() {
    let platform = MemoryPlatform::new();
    apply(&platform, FLEET_TOML).await.unwrap();
    let holder = grant(&platform, 600, 100).await;
    let line = |request: &str, outcome: &str, tokens| ChargeLine {
        request: request.into(),
        customer: "parish".into(),
        budget: "parish-2026".into(),
        route: "glass-7b".into(),
        endpoint: Some("engine-1".into()),
        tokens,
        outcome: outcome.into(),
        ended_at: SystemTime::UNIX_EPOCH,
    };
    let open = OpenRequest {
        request: "r-open".into(),
        budget: "parish-2026".into(),
        hold: 50,
        endpoint: None,
    };
    let shard = shard_of("parish-2026", SHARDS);
    for (seq, lines, open) in [
        (
            2,
            vec![line("r-ran", "ran", 100), line("r-not", "not_run", 0)],
            vec![open],
        ),
        (
            3,
            vec![line("r-late", "cancelled", 9), line("r-lost", "unknown", 0)],
            vec![],
        ),
    ] {
        let segment = SegmentRecord {
            holder: holder.clone(),
            shard,
            seq,
            lines,
            open,
        };
        let bytes = serde_json::to_vec(&segment).unwrap();
        platform
            .put_new(&segment_key(&holder, shard, seq), bytes)
            .await
            .unwrap();
    }
    let claim = "{\"request\":\"r-claim\",\"state\":{\"state\":\"ran\",\"charged\":3}}";
    platform
        .transact(vec![RowWrite::create("claim/parish/ab", claim)])
        .await
        .unwrap();
    let mut texts = Vec::new();
    for request in [
        "r-ran", "r-not", "r-open", "r-late", "r-lost", "r-claim", "r-none",
    ] {
        let report = client(&platform).explain(request).await.unwrap();
        assert_eq!(report.exit == ExitKind::Success, request != "r-none");
        texts.push(format!("{request}: {}", report.text));
    }
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against a drain that leaves a route without capacity, and the removal of a record that others
/// refer to.
#[tokio::test]
async fn drain_and_removal_are_checked() {
    let platform = MemoryPlatform::new();
    apply(&platform, FLEET_TOML).await.unwrap();
    let client = client(&platform);
    let mut lines = vec![
        client
            .drain(&DrainAction::Leaving("engine-1".into()))
            .await
            .unwrap()
            .text,
    ];
    let stop = DrainAction::Stop {
        name: "roof-works".into(),
        endpoint: None,
        failure_domain: Some("domain-b".into()),
        from: 10,
        until: 20,
        remaining_percent: 50,
    };
    lines.push(client.drain(&stop).await.unwrap_err().to_string());
    lines.push(
        client
            .drain(&DrainAction::Returning("engine-1".into()))
            .await
            .unwrap()
            .text,
    );
    lines.push(client.drain(&stop).await.unwrap().text);
    let remove = ApplyOptions {
        remove: vec!["endpoint/engine-1".into()],
        base: None,
    };
    lines.push(client.apply(&[], &remove).await.unwrap_err().to_string());
    let remove = ApplyOptions {
        remove: vec!["stop/roof-works".into()],
        base: None,
    };
    lines.push(client.diff(&[], &remove).await.unwrap().text);
    lines.push(client.apply(&[], &remove).await.unwrap().text);
    insta::assert_snapshot!(lines.join("\n---\n"));
}

/// Guards against accepting misspelt keys and reporting only the first error.
#[test]
fn settings_are_checked_as_a_whole() {
    let valid = "[platform]\naddress = 127.0.0.1:7000\n[operator]\nname = amaya\ncredential = s\n[fleet]\nshards = 4\n";
    let setting = ControlSetting::from_ini("a.ini", valid).unwrap();
    assert_eq!(setting.credential.as_deref(), Some("s"));
    let invalid =
        "[platform]\nadress = localhost\n[operator]\ncredentials = s\n[fleet]\nshards = none\n";
    let error = ControlSetting::from_ini("a.ini", invalid).unwrap_err();
    assert_eq!(error.exit(), ExitKind::Usage);
    insta::assert_snapshot!(error.to_string());
}

/// Starts a server on a free port that responds to every request as a router with this VM name and
/// revision. Returns its address.
async fn start_router(vm: &str, revision: u64) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let body = json!({"vm": vm, "revision": revision}).to_string();
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

/// Guards against reporting a revision as in force on a VM that is behind or unreachable.
#[tokio::test]
async fn status_names_each_vm() {
    let platform = MemoryPlatform::new();
    apply(&platform, FLEET_TOML).await.unwrap();
    let rows = ["vm-1", "vm-2", "vm-3"].map(|vm| RowWrite::create(format!("vm/{vm}"), "{}"));
    platform.transact(rows.to_vec()).await.unwrap();
    let stopped = RowWrite::create("vm/vm-0", "{\"stopped\":true}");
    platform.transact(vec![stopped]).await.unwrap();
    let mut lines = Vec::new();
    for (revision, exit) in [
        (1, ExitKind::Success),
        (0, ExitKind::Refused),
        (9, ExitKind::Unreachable),
    ] {
        let mut routers = vec![start_router("vm-1", 1).await, start_router("vm-2", 1).await];
        if revision < 9 {
            routers.push(start_router("vm-3", revision).await);
        }
        let client = client(&platform).with_routers(routers);
        let wait = Some(Duration::from_millis(300));
        let report = client.status(wait).await.unwrap();
        assert_eq!(report.exit, exit, "{}", report.text);
        lines.push(report.text);
    }
    lines.push(client(&platform).status(None).await.unwrap().text);
    insta::assert_snapshot!(lines.join("\n---\n"));
}
