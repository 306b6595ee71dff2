//! Shows which routers have applied the newest revision.

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

use crate::{CommandReport, ControlClient, ExitKind, Result, client::parse_row};

/// Key prefix of the registration rows.
const VM_PREFIX: &str = "vm/";
/// Time limit for a router to report its revision.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two queries of all routers.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Field of a registration row that holds the caller-facing address, for routers missing in the settings.
const ADDRESS_FIELD: &str = "caller_address";

/// Revision in force on a VM; `None` if the VM cannot be reached.
struct VmStatus {
    vm: String,
    revision: Option<Revision>,
}

impl ControlClient {
    /// Shows the revision in force on each registered VM. With `wait`, polls until all VMs have the
    /// newest revision or the time has elapsed.
    ///
    /// # Errors
    ///
    /// `Unreachable` without the platform.
    pub async fn status(&self, wait: Option<Duration>) -> Result<CommandReport> {
        let deadline = Instant::now() + wait.unwrap_or_default();
        loop {
            let head = self.read_head().await?.state.revision();
            let vms = self.query_vms().await?;
            let behind = vms.iter().any(|vm| vm.revision != Some(head));
            if !behind || Instant::now() >= deadline {
                let mut report = report(head, &vms);
                let unreachable = vms.iter().any(|vm| vm.revision.is_none());
                if unreachable && self.routers.is_empty() {
                    report.text.push_str(
                        "\nThe settings list no routers; add their addresses as [fleet] routers.",
                    );
                }
                return Ok(report);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Queries the routers in the settings and those that registered an address.
    async fn query_vms(&self) -> Result<Vec<VmStatus>> {
        let mut vms = BTreeMap::new();
        let mut addresses: BTreeSet<String> = self.routers.iter().cloned().collect();
        for row in self.ports.table.scan(VM_PREFIX).await? {
            let value: Value = parse_row(&row.key, &row.value)?;
            if value["stopped"] == true {
                continue;
            }
            vms.insert(row.key[VM_PREFIX.len()..].to_owned(), None);
            addresses.extend(value[ADDRESS_FIELD].as_str().map(str::to_owned));
        }
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut queries = tokio::task::JoinSet::new();
        for address in addresses {
            let client = client.clone();
            queries.spawn(async move {
                let response =
                    tokio::time::timeout(RESPONSE_TIMEOUT, fetch_revision(&client, &address)).await;
                (address, response.ok().flatten())
            });
        }
        for (address, response) in queries.join_all().await {
            match response {
                Some((vm, revision)) => vms.insert(vm, Some(revision)),
                // The VM name at an unreachable address is unknown, so the address stands for it.
                None => vms.insert(address, None),
            };
        }
        let vms = vms.into_iter();
        Ok(vms
            .map(|(vm, revision)| VmStatus { vm, revision })
            .collect())
    }
}

/// Fetches the VM name and the revision in force from a router.
async fn fetch_revision(
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
    let names_where = |predicate: &dyn Fn(&VmStatus) -> bool| {
        let vms = vms.iter().filter(|vm| predicate(vm));
        vms.map(|vm| vm.vm.as_str()).collect::<Vec<_>>()
    };
    let current = names_where(&|vm| vm.revision == Some(head));
    let behind = names_where(&|vm| vm.revision.is_some_and(|revision| revision != head));
    let unreachable = names_where(&|vm| vm.revision.is_none());
    let mut lines = vec![format!("Revision {head} is accepted.")];
    let mut add_line = |vms: &[&str], end: &str| {
        if !vms.is_empty() {
            let verb = if vms.len() == 1 { "has" } else { "have" };
            let end = end.replace("{have}", verb);
            lines.push(format!("{} {end}", vms.join(", ")));
        }
    };
    add_line(&current, "{have} it in force.");
    add_line(&behind, "{have} an older revision in force.");
    add_line(
        &unreachable,
        "cannot be reached, so the revision there is not known.",
    );
    if vms.is_empty() {
        lines.push("No VM is registered.".into());
    }
    let exit = match (behind.is_empty(), unreachable.is_empty()) {
        (_, false) => ExitKind::Unreachable,
        (false, true) => ExitKind::Refused,
        (true, true) => ExitKind::Success,
    };
    let json =
        json!({"revision": head, "current": current, "behind": behind, "unreachable": unreachable});
    CommandReport {
        exit,
        text: lines.join("\n"),
        json,
    }
}
