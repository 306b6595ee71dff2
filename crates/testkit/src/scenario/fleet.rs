//! Fleet of a scenario: declared records, stand-in endpoints, and one runtime for each router.

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
    NamedArguments,
    caller::{ScenarioCaller, key_of},
    gate::EndpointGate,
    positional,
    service::RecordingService,
};
use crate::{invariant::EndpointRun, loopback::unique_loopback};

/// Longest wait for the address of a crashed run to be free.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two attempts to bind.
const BIND_INTERVAL: Duration = Duration::from_millis(50);
/// Budget shards of a scenario.
pub(super) const SHARDS: u32 = 4;
/// Longest time until the tasks of a crashed router are gone.
const CRASH_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) struct ScenarioFleet {
    platform: MemoryPlatform,
    text: String,
    budgets: BTreeMap<String, Vec<String>>,
    services: BTreeMap<String, RecordingService>,
    gates: BTreeMap<String, EndpointGate>,
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
            text: "schema = 2\n".into(),
            budgets: BTreeMap::new(),
            services: BTreeMap::new(),
            gates: BTreeMap::new(),
            routers: BTreeMap::new(),
            models: vec!["glass-7b".into()],
        }
    }

    /// Declarations so far.
    pub(super) fn text(&self) -> &str {
        &self.text
    }

    /// Declares a record of the script and starts its stand-in.
    pub(super) async fn declare(
        &mut self,
        kind: &str,
        args: &mut ArgumentConsumer<'_>,
    ) -> Result<()> {
        let name = positional(args, "name")?;
        let section = match kind {
            "customer" => self.customer_text(name, 1)?,
            "budget" => {
                let customer = args.lookup("customer").context("name customer=NAME")?;
                let tokens = args.lookup("tokens").context("write tokens=N")?;
                let budgets = self.budgets.entry(customer.clone()).or_default();
                budgets.push(name.to_owned());
                format!(
                    "[[budget]]\nname = \"{name}\"\ncustomer = \"{customer}\"\n\
                     [[top_up]]\nname = \"{name}-first\"\nbudget = \"{name}\"\namount = {tokens}\n"
                )
            }
            "engine" | "service" => self.start_endpoint(kind, name, args).await?,
            _ => {
                let endpoints = args.rest_pos();
                let idempotent = args.lookup("idempotent").unwrap_or_else(|| "true".into());
                let price = args.lookup("price").unwrap_or_else(|| "0".into());
                format!(
                    "[[route]]\nname = \"{name}\"\nendpoints = {endpoints:?}\n\
                     idempotent = {idempotent}\nprice = {price}\n"
                )
            }
        };
        self.text
            .push_str(section.strip_prefix("schema = 2\n").unwrap_or(&section));
        Ok(())
    }

    /// Declaration of a customer with its scenario key.
    pub(super) fn customer_text(&self, name: &str, weight: u32) -> Result<String> {
        Ok(format!(
            "schema = 2\n[[customer]]\nname = \"{name}\"\nkey_sha256 = [\"{}\"]\nweight = {weight}\n",
            hash_key(&key_of(name))
        ))
    }

    async fn start_endpoint(
        &mut self,
        kind: &str,
        name: &str,
        args: &mut ArgumentConsumer<'_>,
    ) -> Result<String> {
        let domain = args.lookup("domain").unwrap_or_else(|| "domain-a".into());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let gate = EndpointGate::open(listener.local_addr()?).await?;
        let address = gate.address();
        self.gates.insert(name.to_owned(), gate);
        let lists = args.lookup("lists").unwrap_or_else(|| "false".into());
        let runs = if kind == "engine" {
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
            "[[endpoint]]\nname = \"{name}\"\nruns = \"{runs}\"\naddress = \"{address}\"\nfailure_domain = \"{domain}\"\nlists_streams = {lists}\n"
        ))
    }

    /// Starts routers vm-1 to vm-N, each in a failure domain of its own.
    pub(super) async fn start(&mut self, count: usize) -> Result<()> {
        let addresses = free_addresses(unique_loopback().into(), 2 * count)?;
        let (callers, peers) = addresses.split_at(count);
        for index in 0..count {
            let vm = format!("vm-{}", index + 1);
            let others = peers
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let others: Vec<String> = others.map(|(_, address)| address.to_string()).collect();
            let domain = ["a", "b", "c"][index % 3];
            let setting = format!(
                "[router]\nvm = {vm}\nfailure_domain = domain-{domain}\nlisten = {}\npeer_listen = {}\n\
                 [fleet]\npeers = {}\nsecret = scenario-secret\nshards = {SHARDS}\n\
                 [platform]\naddress = 127.0.0.1:1\n",
                callers[index],
                peers[index],
                others.join(", ")
            );
            let router = ScenarioRouter {
                setting,
                address: callers[index],
                running: None,
            };
            self.routers.insert(vm.clone(), router);
            self.restart(&vm).await?;
        }
        Ok(())
    }

    /// Starts a router that does not run.
    pub(super) async fn restart(&mut self, vm: &str) -> Result<()> {
        self.platform.set_vm(vm, Some(VmState::Live));
        let ports = self.platform.client(vm).ports();
        let router = self.router(vm)?;
        let setting: RouterSetting = router.setting.parse()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let start = start_when_free(setting, ports);
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

    /// Ends a router at once, with its connections.
    pub(super) fn crash(&mut self, vm: &str) -> Result<()> {
        let (runtime, handle) = self.take(vm)?;
        drop(handle);
        // The port must be free before the router is started again.
        runtime.shutdown_timeout(CRASH_TIMEOUT);
        Ok(())
    }

    /// Stops a router gracefully and takes it off the VM list.
    pub(super) async fn stop(&mut self, vm: &str) -> Result<()> {
        let (runtime, handle) = self.take(vm)?;
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

    fn take(&mut self, vm: &str) -> Result<(Runtime, RouterHandle)> {
        let running = self.router(vm)?.running.take();
        running.with_context(|| format!("{vm} does not run"))
    }

    /// Address of a router, or of the first one that runs.
    pub(super) fn address(&self, vm: Option<&str>) -> Result<SocketAddr> {
        let mut routers = self.routers.iter();
        let found = routers.find(|(name, router)| match vm {
            Some(vm) => *name == vm,
            None => router.running.is_some(),
        });
        let (_, router) = found.context("no such router runs")?;
        Ok(router.address)
    }

    /// Whether all running routers take requests.
    pub(super) fn is_ready(&self) -> bool {
        let mut running = self
            .routers
            .values()
            .filter_map(|router| router.running.as_ref());
        running.all(|(_, handle)| handle.state.is_ready())
    }

    /// Revision that each running router says it has in force.
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

    /// The only budget of a customer.
    pub(super) fn budget_of(&self, customer: &str) -> Option<&str> {
        let budgets = self.budgets.get(customer)?;
        budgets.first().map(String::as_str)
    }

    /// Loses the next answer of a service after it ran the order.
    pub(super) fn lose_answer(&self, service: &str) -> Result<()> {
        let found = self.services.get(service);
        ensure!(found.is_some(), "no service is named '{service}'");
        if let Some(service) = found {
            service.lose_answer();
        }
        Ok(())
    }

    /// Gate in front of an endpoint.
    pub(super) fn gate(&self, endpoint: &str) -> Result<&EndpointGate> {
        let gate = self.gates.get(endpoint);
        gate.with_context(|| format!("no endpoint is named '{endpoint}'"))
    }

    /// Crashes of all endpoints.
    pub(super) fn crashes(&self) -> u32 {
        self.gates.values().map(EndpointGate::crashes).sum()
    }

    /// Number of orders that a service ran.
    pub(super) fn runs_of(&self, service: &str) -> usize {
        self.services
            .get(service)
            .map_or(0, |service| service.runs().len())
    }

    /// Runs of all services.
    pub(super) fn runs(&self) -> Vec<EndpointRun> {
        let runs = self.services.values().map(RecordingService::runs);
        runs.flatten().collect()
    }
}

impl Drop for ScenarioFleet {
    /// A runtime must not be dropped where another one blocks, so each is shut down on its own.
    fn drop(&mut self) {
        for router in self.routers.values_mut() {
            if let Some((runtime, handle)) = router.running.take() {
                runtime.shutdown_background();
                drop(handle);
            }
        }
    }
}

/// Starts a router, again while its address is taken: the tasks of a crashed run, which hold the
/// sockets, end a moment after the crash.
async fn start_when_free(setting: RouterSetting, ports: PlatformPorts) -> Result<RouterHandle> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match RouterHandle::start(setting.clone(), ports.clone()).await {
            Err(_) if Instant::now() < deadline => sleep(BIND_INTERVAL).await,
            started => return started,
        }
    }
}

/// Finds free ports, which routers need to know of each other before they start.
fn free_addresses(ip: IpAddr, count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: Vec<_> = (0..count)
        .map(|_| std::net::TcpListener::bind((ip, 0)))
        .collect::<std::io::Result<_>>()?;
    let addresses = listeners.iter().map(std::net::TcpListener::local_addr);
    Ok(addresses.collect::<std::io::Result<_>>()?)
}
