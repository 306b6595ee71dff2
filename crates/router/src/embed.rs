//! Complete fleet in one process: routers, stand-in platform, model engines and plain services.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::Path,
};

use {
    anyhow::{Context, Result},
    jasminewall_core::{
        BudgetId, ConfigDelta, ConfigRecord, ShardId,
        budget::{PoolRow, pool_key},
        record::{self, EndpointKind},
        revision::{ConfigChange, HEAD_KEY, HeadRow, log_key},
        shard_of,
    },
    jasminewall_ports::{MemoryPlatform, PlatformPorts, RowWrite, VmState},
    jasminewall_standin::{ModelEngine, PlainService},
    tokio::{net::TcpListener, task::JoinSet},
};

use crate::{
    setting::{CallerLimits, RouterSetting, StandinSetting},
    state::RouterHandle,
};

/// Key of the sample customer.
const SAMPLE_KEY: &str = "sample-key-parish";
/// SHA-256 of the sample key.
const SAMPLE_KEY_SHA256: &str = "b217bdf7b013b544e53b5047c5cbe4bda70e4d58d090da88b04561230ae93f39";
/// SHA-256 of `sample-key-workshop`, the key of a second customer.
const SECOND_KEY_SHA256: &str = "f4e4fd78e1012c33cc2ff5257090be00ad129ff39dd3d46247b62832c3d02eeb";
/// Budget shards of the sample fleet.
const SHARDS: u32 = 4;
/// Attempts to start. Another process may take a port after it was found to be free.
const START_ATTEMPTS: u32 = 4;
/// Failure domains of the sample fleet.
const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// A running fleet in one process.
pub struct EmbeddedFleet {
    /// Stand-in platform, in which tests inject faults.
    pub platform: MemoryPlatform,
    /// Running routers.
    pub routers: Vec<RouterHandle>,
    /// Address at which the stand-in platform is served.
    pub platform_address: SocketAddr,
    tasks: JoinSet<std::io::Result<()>>,
}

impl EmbeddedFleet {
    /// Starts stand-ins and three routers on free ports of an address.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub async fn start(ip: IpAddr) -> Result<Self> {
        Self::start_with_limits(ip, CallerLimits::default()).await
    }

    /// Starts stand-ins and three routers with the given limits on what callers may send.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub async fn start_with_limits(ip: IpAddr, limits: CallerLimits) -> Result<Self> {
        let mut attempts = START_ATTEMPTS;
        loop {
            attempts -= 1;
            match Self::try_start(ip, limits).await {
                Err(error) if attempts > 0 => tracing::warn!(%error, "start failed; retrying"),
                result => return result,
            }
        }
    }

    async fn try_start(ip: IpAddr, limits: CallerLimits) -> Result<Self> {
        let platform = MemoryPlatform::new();
        let mut tasks = JoinSet::new();
        let platform_listener = TcpListener::bind((ip, 0)).await?;
        let platform_address = platform_listener.local_addr()?;
        tasks.spawn(jasminewall_ports::serve(
            platform.clone(),
            platform_listener,
        ));
        let (text, listeners) = sample_declarations(ip).await?;
        let records = record::from_str(&text).context("sample declarations")?;
        start_endpoints(&records, listeners, &mut tasks).await?;
        apply_records(&platform.ports(), records, SHARDS).await?;
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
                limits,
                ..RouterSetting::default()
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

    /// Returns the addresses, the sample key and an example request for the command line.
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
        lines.push("stop it with Ctrl-C".into());
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

/// Finds free ports. Routers need each other's addresses before they start.
fn free_addresses(ip: IpAddr, count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: Vec<_> = (0..count)
        .map(|_| std::net::TcpListener::bind((ip, 0)))
        .collect::<std::io::Result<_>>()?;
    Ok(listeners
        .iter()
        .map(std::net::TcpListener::local_addr)
        .collect::<std::io::Result<_>>()?)
}

/// Stand-in platform and endpoints of a declaration file, for routers in other processes.
pub struct StandinFleet {
    /// Stand-in platform.
    pub platform: MemoryPlatform,
    /// Address at which the stand-in platform is served.
    pub platform_address: SocketAddr,
    /// Names and addresses of the stand-in endpoints.
    pub endpoints: Vec<(String, String)>,
    tasks: JoinSet<std::io::Result<()>>,
}

impl StandinFleet {
    /// Serves the platform and every declared endpoint, and applies the declarations as revision 1.
    ///
    /// # Errors
    ///
    /// When the declarations cannot be read or an address cannot be bound.
    pub async fn start(setting: &StandinSetting, folder: &Path) -> Result<Self> {
        let path = folder.join(&setting.declarations);
        let text = std::fs::read_to_string(&path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        let records = record::from_str(&text).with_context(|| path.display().to_string())?;
        let platform = MemoryPlatform::new();
        let mut tasks = JoinSet::new();
        let listener = TcpListener::bind(setting.platform)
            .await
            .with_context(|| format!("cannot bind {}", setting.platform))?;
        let platform_address = listener.local_addr()?;
        let endpoints = start_endpoints(&records, BTreeMap::new(), &mut tasks).await?;
        apply_records(&platform.ports(), records, setting.shards).await?;
        for vm in &setting.vms {
            platform.set_vm(vm, Some(VmState::Live));
        }
        tasks.spawn(jasminewall_ports::serve(platform.clone(), listener));
        Ok(Self {
            platform,
            platform_address,
            endpoints,
            tasks,
        })
    }

    /// Stops the stand-ins.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Bound listeners of endpoints, by endpoint name.
type EndpointListeners = BTreeMap<String, TcpListener>;

/// Declares two model engines and one plain service of each kind per failure domain, on free ports.
async fn sample_declarations(ip: IpAddr) -> Result<(String, EndpointListeners)> {
    let mut text = String::from("schema = 2\n");
    let mut names = [Vec::new(), Vec::new(), Vec::new()];
    let mut listeners = EndpointListeners::new();
    for domain in DOMAINS {
        let letter = &domain["domain-".len()..];
        let endpoints = [
            (0, format!("engine-{letter}1"), "model_engine"),
            (0, format!("engine-{letter}2"), "model_engine"),
            (1, format!("catalogue-{letter}"), "plain_service"),
            (2, format!("orders-{letter}"), "plain_service"),
        ];
        for (route, name, runs) in endpoints {
            let listener = TcpListener::bind((ip, 0)).await?;
            let address = listener.local_addr()?;
            listeners.insert(name.clone(), listener);
            text.push_str(&format!(
                "[[endpoint]]\nname = \"{name}\"\nruns = \"{runs}\"\naddress = \"{address}\"\n\
                 failure_domain = \"{domain}\"\nlists_streams = {}\n",
                route == 0
            ));
            names[route].push(name);
        }
    }
    let [engines, catalogues, orders] = names;
    text.push_str(&format!(
        "[[route]]\nname = \"glass-7b\"\nendpoints = {engines:?}\n\
         [[route]]\nname = \"catalogue\"\nendpoints = {catalogues:?}\nprice = 1\nanswer_limit_bytes = 65536\n\
         [[route]]\nname = \"orders\"\nendpoints = {orders:?}\nprice = 5\nidempotent = false\n\
         [[customer]]\nname = \"parish\"\nkey_sha256 = [\"{SAMPLE_KEY_SHA256}\"]\n\
         [[customer]]\nname = \"workshop\"\nkey_sha256 = [\"{SECOND_KEY_SHA256}\"]\n\
         [[budget]]\nname = \"parish-2026\"\ncustomer = \"parish\"\n\
         [[budget]]\nname = \"workshop-2026\"\ncustomer = \"workshop\"\n\
         [[top_up]]\nname = \"parish-first\"\nbudget = \"parish-2026\"\namount = 1000000\n\
         [[top_up]]\nname = \"workshop-first\"\nbudget = \"workshop-2026\"\namount = 1000000\n"
    ));
    Ok((text, listeners))
}

/// Serves a stand-in for each declared endpoint at its address. Returns their names and addresses.
async fn start_endpoints(
    records: &[ConfigRecord],
    mut listeners: EndpointListeners,
    tasks: &mut JoinSet<std::io::Result<()>>,
) -> Result<Vec<(String, String)>> {
    let mut started = Vec::new();
    for record in records {
        let ConfigRecord::Endpoint(endpoint) = record else {
            continue;
        };
        let listener = match listeners.remove(endpoint.name.as_str()) {
            Some(listener) => listener,
            None => TcpListener::bind(endpoint.address.as_str())
                .await
                .with_context(|| {
                    format!(
                        "endpoint {}: cannot bind {}",
                        endpoint.name, endpoint.address
                    )
                })?,
        };
        match endpoint.runs {
            EndpointKind::ModelEngine => {
                let models: Vec<&str> = records
                    .iter()
                    .filter_map(|record| match record {
                        ConfigRecord::Route(route) => Some(route),
                        _ => None,
                    })
                    .filter(|route| route.endpoints.contains(&endpoint.name))
                    .map(|route| route.name.as_str())
                    .collect();
                tasks.spawn(ModelEngine::new(&endpoint.name, &models).serve(listener));
            }
            EndpointKind::PlainService => {
                tasks.spawn(PlainService::new(&endpoint.name).serve(listener));
            }
        }
        started.push((endpoint.name.to_string(), endpoint.address.to_string()));
    }
    Ok(started)
}

async fn apply_records(
    ports: &PlatformPorts,
    records: Vec<ConfigRecord>,
    shards: ShardId,
) -> Result<()> {
    let mut writes = Vec::new();
    let mut pools = BTreeMap::<ShardId, PoolRow>::new();
    for record in &records {
        if let ConfigRecord::TopUp(top_up) = record {
            let budget: &BudgetId = &top_up.budget;
            let pool = pools.entry(shard_of(budget, shards)).or_default();
            pool.budgets
                .entry(budget.clone())
                .or_default()
                .apply_payment(top_up);
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
