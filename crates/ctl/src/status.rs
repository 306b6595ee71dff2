//! Shows which routers have the newest revision in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use {
    http_body_util::{BodyExt, Empty},
    hyper::{Request, body::Bytes},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    jasminewall_core::Revision,
    serde_json::{Value, json},
};

use crate::{CommandReport, ControlClient, ExitKind, Result, client::parse};

/// Prefix of the registration rows.
const VM_PREFIX: &str = "vm/";
/// Longest time that a router may take to say its revision.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two rounds of questions.
const ROUND_WAIT: Duration = Duration::from_millis(250);
/// Field of a registration row with the address for callers, for routers that the settings do not list.
const ADDRESS_FIELD: &str = "caller_address";

struct VmStatus {
    vm: String,
    revision: Option<Revision>,
}

impl ControlClient {
    /// Shows the revision in force on each registered VM; waits until all have the newest one.
    ///
    /// # Errors
    ///
    /// `Unreachable` without the platform.
    pub async fn status(&self, wait: Option<Duration>) -> Result<CommandReport> {
        let deadline = Instant::now() + wait.unwrap_or_default();
        loop {
            let head = self.read_head().await?.state.revision();
            let vms = self.ask_vms().await?;
            let behind = vms.iter().any(|vm| vm.revision != Some(head));
            if !behind || Instant::now() >= deadline {
                let mut report = report(head, &vms);
                let silent = vms.iter().any(|vm| vm.revision.is_none());
                if silent && self.routers.is_empty() {
                    report.text.push_str(
                        "\nThe settings list no routers; add their addresses as [fleet] routers.",
                    );
                }
                return Ok(report);
            }
            tokio::time::sleep(ROUND_WAIT).await;
        }
    }

    /// Asks the routers of the settings and those whose registration names an address.
    async fn ask_vms(&self) -> Result<Vec<VmStatus>> {
        let mut vms = BTreeMap::new();
        let mut addresses: BTreeSet<String> = self.routers.iter().cloned().collect();
        for row in self.ports.table.scan(VM_PREFIX).await? {
            let value: Value = parse(&row.key, &row.value)?;
            if value["stopped"] == true {
                continue;
            }
            vms.insert(row.key[VM_PREFIX.len()..].to_owned(), None);
            addresses.extend(value[ADDRESS_FIELD].as_str().map(str::to_owned));
        }
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut asked = tokio::task::JoinSet::new();
        for address in addresses {
            let client = client.clone();
            asked.spawn(async move {
                let answer = tokio::time::timeout(ANSWER_TIMEOUT, ask(&client, &address)).await;
                (address, answer.ok().flatten())
            });
        }
        for (address, answer) in asked.join_all().await {
            match answer {
                Some((vm, revision)) => vms.insert(vm, Some(revision)),
                // The VM at a silent address is not known; it counts under its address.
                None => vms.insert(address, None),
            };
        }
        let vms = vms.into_iter();
        Ok(vms
            .map(|(vm, revision)| VmStatus { vm, revision })
            .collect())
    }
}

async fn ask(
    client: &Client<HttpConnector, Empty<Bytes>>,
    address: &str,
) -> Option<(String, Revision)> {
    let request = Request::get(format!("http://{address}/version"));
    let request = request.body(Empty::new()).ok()?;
    let response = client.request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).ok()?;
    Some((body["vm"].as_str()?.to_owned(), body["revision"].as_u64()?))
}

fn report(head: Revision, vms: &[VmStatus]) -> CommandReport {
    let named = |wanted: &dyn Fn(&VmStatus) -> bool| {
        let vms = vms.iter().filter(|vm| wanted(vm));
        vms.map(|vm| vm.vm.as_str()).collect::<Vec<_>>()
    };
    let current = named(&|vm| vm.revision == Some(head));
    let behind = named(&|vm| vm.revision.is_some_and(|revision| revision != head));
    let silent = named(&|vm| vm.revision.is_none());
    let mut lines = vec![format!("Revision {head} is accepted.")];
    let mut list = |vms: &[&str], end: &str| {
        if !vms.is_empty() {
            let verb = if vms.len() == 1 { "has" } else { "have" };
            let end = end.replace("{have}", verb);
            lines.push(format!("{} {end}", vms.join(", ")));
        }
    };
    list(&current, "{have} it in force.");
    list(&behind, "{have} an older revision in force.");
    list(
        &silent,
        "cannot be reached, so the revision there is not known.",
    );
    if vms.is_empty() {
        lines.push("No VM is registered.".into());
    }
    let exit = match (behind.is_empty(), silent.is_empty()) {
        (_, false) => ExitKind::Unreachable,
        (false, true) => ExitKind::Refused,
        (true, true) => ExitKind::Done,
    };
    let json =
        json!({"revision": head, "current": current, "behind": behind, "unreachable": silent});
    CommandReport {
        exit,
        text: lines.join("\n"),
        json,
    }
}
