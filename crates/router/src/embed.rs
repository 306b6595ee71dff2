//! A whole fleet in one process: routers, stand-in platform, model engines and plain services.

use std::net::{IpAddr, SocketAddr};

use {
    anyhow::{Context, Result},
    jasminewall_core::{
        BudgetId, ConfigDelta, ConfigRecord,
        budget::{PoolRow, pool_key},
        record,
        revision::{ConfigChange, HEAD_KEY, HeadRow, log_key},
        shard_of,
    },
    jasminewall_platform::{MemoryPlatform, PlatformPorts, RowWrite, VmState},
    jasminewall_standin::{ModelEngine, PlainService},
    tokio::{net::TcpListener, task::JoinSet},
};

use crate::{setting::RouterSetting, state::RouterHandle};

/// Key of the sample customer.
const SAMPLE_KEY: &str = "sample-key-parish";
/// SHA-256 of the sample key.
const SAMPLE_KEY_SHA256: &str = "b217bdf7b013b544e53b5047c5cbe4bda70e4d58d090da88b04561230ae93f39";
/// Budget shards of the sample fleet.
const SHARDS: u32 = 4;
/// Failure domains of the sample fleet.
const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// A running fleet in one process.
pub struct EmbedFleet {
    /// Stand-in platform, for faults in tests.
    pub platform: MemoryPlatform,
    /// Running routers.
    pub routers: Vec<RouterHandle>,
    /// Address at which the stand-in platform is served.
    pub platform_address: SocketAddr,
    tasks: JoinSet<std::io::Result<()>>,
}

impl EmbedFleet {
    /// Starts stand-ins and three routers on free ports of an address.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub async fn start(ip: IpAddr) -> Result<Self> {
        let platform = MemoryPlatform::new();
        let mut tasks = JoinSet::new();
        let platform_listener = TcpListener::bind((ip, 0)).await?;
        let platform_address = platform_listener.local_addr()?;
        tasks.spawn(jasminewall_platform::serve(
            platform.clone(),
            platform_listener,
        ));
        let records = start_endpoints(ip, &mut tasks).await?;
        apply_sample(&platform.ports(), records).await?;
        let peer_addresses = free_addresses(ip, DOMAINS.len())?;
        let mut routers = Vec::new();
        for (index, domain) in DOMAINS.iter().enumerate() {
            let vm = format!("vm-{}", index + 1);
            platform.set_vm(&vm, Some(VmState::Live));
            let setting = RouterSetting {
                vm: vm.into(),
                failure_domain: (*domain).into(),
                listen: SocketAddr::new(ip, 0),
                peer_listen: peer_addresses[index],
                peers: peer_addresses
                    .iter()
                    .copied()
                    .filter(|address| *address != peer_addresses[index])
                    .collect(),
                platform: platform_address.to_string(),
                secret: "sample-secret".into(),
                shards: SHARDS,
            };
            routers.push(RouterHandle::start(setting, platform.ports()).await?);
        }
        Ok(Self {
            platform,
            routers,
            platform_address,
            tasks,
        })
    }

    /// Addresses, sample key and a call to paste.
    pub fn summary(&self) -> String {
        let mut lines = vec![format!(
            "platform stand-in  http://{}",
            self.platform_address
        )];
        for router in &self.routers {
            let setting = &router.state.setting;
            lines.push(format!(
                "router {} in {}  http://{}",
                setting.vm, setting.failure_domain, router.address
            ));
        }
        lines.push(format!("sample key  {SAMPLE_KEY}"));
        if let Some(router) = self.routers.first() {
            lines.push("try:".into());
            lines.push(format!(
                "curl -s http://{}/v1/chat/completions -H 'Authorization: Bearer {SAMPLE_KEY}' \
                 -H 'Content-Type: application/json' \
                 -d '{{\"model\":\"glass-7b\",\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
                router.address
            ));
        }
        lines.join("\n")
    }

    /// Stops the routers, then the stand-ins.
    pub async fn stop(mut self) {
        for router in self.routers {
            router.stop().await;
        }
        self.tasks.shutdown().await;
    }
}

/// Finds free ports, which routers need to know of each other before they start.
fn free_addresses(ip: IpAddr, count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: Vec<_> = (0..count)
        .map(|_| std::net::TcpListener::bind((ip, 0)))
        .collect::<std::io::Result<_>>()?;
    Ok(listeners
        .iter()
        .map(std::net::TcpListener::local_addr)
        .collect::<std::io::Result<_>>()?)
}

/// Starts two model engines and one plain service a failure domain; returns their records as TOML.
async fn start_endpoints(ip: IpAddr, tasks: &mut JoinSet<std::io::Result<()>>) -> Result<String> {
    let mut text = String::from("schema = 2\n");
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for domain in DOMAINS {
        for index in 1..=2 {
            let name = format!("engine-{}{index}", &domain["domain-".len()..]);
            let listener = TcpListener::bind((ip, 0)).await?;
            text.push_str(&endpoint_text(
                &name,
                "model_engine",
                listener.local_addr()?,
                domain,
            ));
            tasks.spawn(ModelEngine::new(&name, &["glass-7b"]).serve(listener));
            engines.push(name);
        }
        let name = format!("catalogue-{}", &domain["domain-".len()..]);
        let listener = TcpListener::bind((ip, 0)).await?;
        text.push_str(&endpoint_text(
            &name,
            "plain_service",
            listener.local_addr()?,
            domain,
        ));
        tasks.spawn(PlainService::new(&name).serve(listener));
        services.push(name);
    }
    text.push_str(&format!(
        "[[route]]\nname = \"glass-7b\"\nendpoints = {engines:?}\n"
    ));
    text.push_str(&format!(
        "[[route]]\nname = \"catalogue\"\nendpoints = {services:?}\nprice = 1\n"
    ));
    text.push_str(&format!(
        "[[customer]]\nname = \"parish\"\nkey_sha256 = [\"{SAMPLE_KEY_SHA256}\"]\n\
         [[budget]]\nname = \"parish-2026\"\ncustomer = \"parish\"\n\
         [[top_up]]\nname = \"parish-first\"\nbudget = \"parish-2026\"\namount = 1000000\n"
    ));
    Ok(text)
}

fn endpoint_text(name: &str, runs: &str, address: SocketAddr, domain: &str) -> String {
    format!(
        "[[endpoint]]\nname = \"{name}\"\nruns = \"{runs}\"\naddress = \"{address}\"\nfailure_domain = \"{domain}\"\n"
    )
}

async fn apply_sample(ports: &PlatformPorts, text: String) -> Result<()> {
    let records = record::from_str(&text).context("sample declarations")?;
    let mut writes = Vec::new();
    let mut pools = std::collections::BTreeMap::<u32, PoolRow>::new();
    for record in &records {
        if let ConfigRecord::TopUp(top_up) = record {
            let budget: &BudgetId = &top_up.budget;
            let pool = pools.entry(shard_of(budget, SHARDS)).or_default();
            pool.budgets
                .entry(budget.clone())
                .or_default()
                .top_up(&top_up.name, top_up.amount.unsigned_abs());
        }
    }
    for (shard, pool) in pools {
        writes.push(RowWrite::create(
            pool_key(shard),
            serde_json::to_string(&pool)?,
        ));
    }
    let changes = records.into_iter().map(ConfigChange::Put).collect();
    let delta = ConfigDelta {
        revision: 1,
        schema: record::SCHEMA_NEWEST,
        changes,
    };
    writes.push(RowWrite::create(log_key(1), serde_json::to_string(&delta)?));
    writes.push(RowWrite::create(
        HEAD_KEY,
        serde_json::to_string(&HeadRow { revision: 1 })?,
    ));
    ports.table.transact(writes).await?;
    Ok(())
}
