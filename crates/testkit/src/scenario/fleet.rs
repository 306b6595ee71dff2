//! Fleet of a scenario: declared records, stand-in endpoints, and routers with a runtime each.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use {
    anyhow::{Context, Result, ensure},
    goldenscript::ArgumentConsumer,
    jasminewall_core::{Revision, VmId},
    jasminewall_ctl::hash_key,
    jasminewall_ports::{MemoryPlatform, PlatformPorts, VmState},
    jasminewall_router::{RouterHandle, RouterSetting},
    jasminewall_standin::ModelEngine,
    tokio::{
        net::TcpListener,
        runtime::Runtime,
        time::{Instant, sleep},
    },
};

use super::{
    OptionalArguments,
    caller::{ScenarioCaller, api_key},
    positional,
    proxy::EndpointProxy,
    service::RecordingService,
};
use crate::{invariant::EndpointRun, loopback::unique_loopback};

/// Time limit for the address of a crashed router to become free.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two attempts to bind.
const BIND_INTERVAL: Duration = Duration::from_millis(50);
/// Number of budget shards in a scenario.
pub(super) const SHARDS: u32 = 4;
/// Time limit for the tasks of a crashed router to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Endpoints and routers of a scenario, with the declarations of its records.
pub(super) struct ScenarioFleet {
    platform: MemoryPlatform,
    declarations: String,
    /// Budgets by customer.
    budgets: BTreeMap<String, Vec<String>>,
    services: BTreeMap<String, RecordingService>,
    proxies: BTreeMap<String, EndpointProxy>,
    routers: BTreeMap<String, ScenarioRouter>,
    models: Vec<String>,
}

/// Router with its own runtime, so that a crash ends all of its tasks and connections at once.
struct ScenarioRouter {
    setting: String,
    address: SocketAddr,
    running: Option<(Runtime, RouterHandle)>,
}

impl ScenarioFleet {
    pub(super) fn new(platform: MemoryPlatform) -> Self {
        Self {
            platform,
            declarations: "schema = 2\n".into(),
            budgets: BTreeMap::new(),
            services: BTreeMap::new(),
            proxies: BTreeMap::new(),
            routers: BTreeMap::new(),
            models: vec!["glass-7b".into()],
        }
    }

    /// Returns the declarations made so far, as TOML.
    pub(super) fn declarations(&self) -> &str {
        &self.declarations
    }

    /// Declares a record of the script, and starts the stand-in if it is an endpoint.
    pub(super) async fn declare(
        &mut self,
        kind: &str,
        args: &mut ArgumentConsumer<'_>,
    ) -> Result<()> {
        let name = positional(args, "name")?;
        let section = match kind {
            "customer" => self.customer_declaration(name, 1)?,
            "budget" => {
                let customer = args
                    .lookup("customer")
                    .context("budget needs customer=NAME")?;
                let tokens = args.lookup("tokens").context("budget needs tokens=N")?;
                let budgets = self.budgets.entry(customer.clone()).or_default();
                budgets.push(name.to_owned());
                format!(
                    "[[budget]]\nname = \"{name}\"\ncustomer = \"{customer}\"\n\
                     [[top_up]]\nname = \"{name}-first\"\nbudget = \"{name}\"\namount = {tokens}\n"
                )
            }
            "engine" | "service" => self.start_endpoint(kind, name, args).await?,
            _ => {
                let endpoints = args.rest_positional();
                let idempotent = args.lookup("idempotent").unwrap_or_else(|| "true".into());
                let price = args.lookup("price").unwrap_or_else(|| "0".into());
                format!(
                    "[[route]]\nname = \"{name}\"\nendpoints = {endpoints:?}\n\
                     idempotent = {idempotent}\nprice = {price}\n"
                )
            }
        };
        self.declarations
            .push_str(section.strip_prefix("schema = 2\n").unwrap_or(&section));
        Ok(())
    }

    /// Returns the declaration of a customer with its scenario key.
    pub(super) fn customer_declaration(&self, name: &str, weight: u32) -> Result<String> {
        Ok(format!(
            "schema = 2\n[[customer]]\nname = \"{name}\"\nkey_sha256 = [\"{}\"]\nweight = {weight}\n",
            hash_key(&api_key(name))
        ))
    }

    /// Starts a stand-in endpoint behind a proxy and returns its declaration.
    async fn start_endpoint(
        &mut self,
        kind: &str,
        name: &str,
        args: &mut ArgumentConsumer<'_>,
    ) -> Result<String> {
        let domain = args.lookup("domain").unwrap_or_else(|| "domain-a".into());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = EndpointProxy::start(listener.local_addr()?).await?;
        let address = proxy.address();
        self.proxies.insert(name.to_owned(), proxy);
        let lists_streams = args.lookup("lists").unwrap_or_else(|| "false".into());
        let endpoint_kind = if kind == "engine" {
            let models: Vec<&str> = self.models.iter().map(String::as_str).collect();
            tokio::spawn(ModelEngine::new(name, &models).serve(listener));
            "model_engine"
        } else {
            let service = RecordingService::new(name);
            self.services.insert(name.to_owned(), service.clone());
            tokio::spawn(service.serve(listener));
            "plain_service"
        };
        Ok(format!(
            "[[endpoint]]\nname = \"{name}\"\nruns = \"{endpoint_kind}\"\naddress = \"{address}\"\nfailure_domain = \"{domain}\"\nlists_streams = {lists_streams}\n"
        ))
    }

    /// Starts routers vm-1 to vm-N, spread over three failure domains.
    pub(super) async fn start(&mut self, count: usize) -> Result<()> {
        let addresses = free_addresses(unique_loopback().into(), 2 * count)?;
        let (caller_addresses, peer_addresses) = addresses.split_at(count);
        for index in 0..count {
            let vm = format!("vm-{}", index + 1);
            let other_peers = peer_addresses
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let other_peers: Vec<String> = other_peers
                .map(|(_, address)| address.to_string())
                .collect();
            let domain = ["a", "b", "c"][index % 3];
            let setting = format!(
                "[router]\nvm = {vm}\nfailure_domain = domain-{domain}\nlisten = {}\npeer_listen = {}\n\
                 [fleet]\npeers = {}\nsecret = scenario-secret\nshards = {SHARDS}\n\
                 [platform]\naddress = 127.0.0.1:1\n",
                caller_addresses[index],
                peer_addresses[index],
                other_peers.join(", ")
            );
            let router = ScenarioRouter {
                setting,
                address: caller_addresses[index],
                running: None,
            };
            self.routers.insert(vm.clone(), router);
            self.restart(&vm).await?;
        }
        Ok(())
    }

    /// Starts a router that is not running.
    pub(super) async fn restart(&mut self, vm: &str) -> Result<()> {
        self.platform.set_vm(vm, Some(VmState::Live));
        let ports = self.platform.client(vm).ports();
        let router = self.router(vm)?;
        let setting: RouterSetting = router.setting.parse()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let start = start_with_retry(setting, ports);
        let started = runtime.spawn(start).await;
        match started {
            Ok(Ok(handle)) => {
                router.running = Some((runtime, handle));
                Ok(())
            }
            failed => {
                runtime.shutdown_background();
                failed??;
                Ok(())
            }
        }
    }

    /// Ends a router abruptly, with all its tasks and connections.
    pub(super) fn crash(&mut self, vm: &str) -> Result<()> {
        let (runtime, handle) = self.take_running(vm)?;
        drop(handle);
        // The port must be free before the router is started again.
        runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        Ok(())
    }

    /// Stops a router gracefully and removes its VM from the VM list.
    pub(super) async fn stop(&mut self, vm: &str) -> Result<()> {
        let (runtime, handle) = self.take_running(vm)?;
        runtime.spawn(handle.stop()).await?;
        runtime.shutdown_background();
        self.platform.set_vm(vm, None);
        Ok(())
    }

    fn router(&mut self, vm: &str) -> Result<&mut ScenarioRouter> {
        self.routers
            .get_mut(vm)
            .with_context(|| format!("no router is named '{vm}'"))
    }

    fn take_running(&mut self, vm: &str) -> Result<(Runtime, RouterHandle)> {
        let running = self.router(vm)?.running.take();
        running.with_context(|| format!("{vm} is not running"))
    }

    /// Returns the caller address of a router, or of the first one that is running.
    pub(super) fn address(&self, vm: Option<&str>) -> Result<SocketAddr> {
        let mut routers = self.routers.iter();
        let found = routers.find(|(name, router)| match vm {
            Some(vm) => *name == vm,
            None => router.running.is_some(),
        });
        let (_, router) = found.context("no such router is running")?;
        Ok(router.address)
    }

    /// Whether all running routers are ready for requests.
    pub(super) fn is_ready(&self) -> bool {
        let mut running = self
            .routers
            .values()
            .filter_map(|router| router.running.as_ref());
        running.all(|(_, handle)| handle.state.is_ready())
    }

    /// Returns the revision that each running router reports as in force.
    pub(super) async fn revisions(&self, caller: &ScenarioCaller) -> Vec<(VmId, Option<Revision>)> {
        let mut revisions = Vec::new();
        for (vm, router) in &self.routers {
            if router.running.is_some() {
                revisions.push((
                    VmId::from(vm.as_str()),
                    caller.revision(router.address).await,
                ));
            }
        }
        revisions
    }

    /// Returns the first budget of a customer.
    pub(super) fn first_budget(&self, customer: &str) -> Option<&str> {
        let budgets = self.budgets.get(customer)?;
        budgets.first().map(String::as_str)
    }

    /// Makes a service run one more order and then break off its response.
    pub(super) fn lose_response(&self, service: &str) -> Result<()> {
        let found = self.services.get(service);
        ensure!(found.is_some(), "no service is named '{service}'");
        if let Some(service) = found {
            service.lose_response();
        }
        Ok(())
    }

    /// Returns the proxy in front of an endpoint.
    pub(super) fn proxy(&self, endpoint: &str) -> Result<&EndpointProxy> {
        let proxy = self.proxies.get(endpoint);
        proxy.with_context(|| format!("no endpoint is named '{endpoint}'"))
    }

    /// Returns the number of crashes of all endpoints.
    pub(super) fn crash_count(&self) -> u32 {
        self.proxies.values().map(EndpointProxy::crash_count).sum()
    }

    /// Returns the number of orders that a service ran.
    pub(super) fn run_count(&self, service: &str) -> usize {
        self.services
            .get(service)
            .map_or(0, |service| service.runs().len())
    }

    /// Returns the executions at all services.
    pub(super) fn runs(&self) -> Vec<EndpointRun> {
        let runs = self.services.values().map(RecordingService::runs);
        runs.flatten().collect()
    }
}

impl Drop for ScenarioFleet {
    /// Shuts the runtimes down in the background: dropping a runtime within another one panics.
    fn drop(&mut self) {
        for router in self.routers.values_mut() {
            if let Some((runtime, handle)) = router.running.take() {
                runtime.shutdown_background();
                drop(handle);
            }
        }
    }
}

/// Starts a router and retries until `BIND_TIMEOUT`: the tasks of a crashed run, which hold the
/// sockets, may end shortly after the crash.
async fn start_with_retry(setting: RouterSetting, ports: PlatformPorts) -> Result<RouterHandle> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match RouterHandle::start(setting.clone(), ports.clone()).await {
            Err(_) if Instant::now() < deadline => sleep(BIND_INTERVAL).await,
            started => return started,
        }
    }
}

/// Finds addresses with free ports, since routers must know each other's ports before they start.
fn free_addresses(ip: IpAddr, count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: Vec<_> = (0..count)
        .map(|_| std::net::TcpListener::bind((ip, 0)))
        .collect::<std::io::Result<_>>()?;
    let addresses = listeners.iter().map(std::net::TcpListener::local_addr);
    Ok(addresses.collect::<std::io::Result<_>>()?)
}
