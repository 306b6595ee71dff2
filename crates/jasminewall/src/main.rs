//! Command line of the router.

use std::{
    net::IpAddr,
    num::NonZeroUsize,
    path::{Path, PathBuf},
    pin::Pin,
    process::ExitCode,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use {
    anyhow::{Context, Result},
    jasminewall_forward::{ForwardNode, ForwardPorts, ForwardSetting},
    jasminewall_platform::{EndpointClient, SETTINGS_VARIABLE, StoreClient, serve_until_stop},
    jasminewall_ports::HttpPlatform,
    jasminewall_router::{
        EmbeddedFleet, RouterHandle, RouterSetting, StandinFleet, StandinSetting, StopPlan,
        setting::{LogFormat, LogSetting},
        telemetry,
    },
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
    },
};

mod flags {
    #![allow(missing_docs, unreachable_pub, clippy::unwrap_used)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Routes requests of many customers and spends their prepaid token budgets.
        cmd jasminewall {
            /// Start a fleet with stand-ins in this process, to try it out on one machine.
            cmd embed {
                /// IP address to listen on; 127.0.0.1 by default.
                optional --ip ip: String
                /// Log level; warn by default.
                optional --log level: String
            }
            /// Serve the stand-in platform and endpoints for routers in other processes.
            cmd standins {
                /// Settings, an INI file.
                required settings: PathBuf
                /// Check the settings and exit.
                optional --check
            }
            /// Run one router.
            cmd run {
                /// Settings, an INI file.
                required settings: PathBuf
                /// Check the settings and exit.
                optional --check
            }
            /// Print the version and the commit of the build.
            cmd version {}
            /// Run one router on the production platform.
            ///
            /// Without --settings, the platform's environment variable names the settings file.
            cmd serve {
                /// Settings, an INI file.
                optional --settings path: PathBuf
                /// Check the settings and exit.
                optional --check
            }
        }
    }
}

/// Version of the package.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Commit of the sources, with the suffix `-changed` if they had uncommitted changes.
const COMMIT: &str = env!("JASMINEWALL_COMMIT");

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jasminewall: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let command = flags::Jasminewall::from_env_or_exit();
    let future: CommandFuture = match command.subcommand {
        flags::JasminewallCmd::Embed(embed) => Box::pin(run_embed(embed.ip, embed.log)),
        flags::JasminewallCmd::Standins(standins) => {
            Box::pin(async move { run_standins(&standins.settings, standins.check).await })
        }
        flags::JasminewallCmd::Version(_) => {
            println!("jasminewall {VERSION} ({COMMIT})");
            return Ok(());
        }
        flags::JasminewallCmd::Run(run) => return run_router(&run.settings, run.check),
        flags::JasminewallCmd::Serve(serve) => return run_serve(serve.settings, serve.check),
    };
    Runtime::new()?.block_on(future)
}

type CommandFuture = Pin<Box<dyn Future<Output = Result<()>>>>;

/// Runs one router on the production platform, where each VM has a fraction of a CPU core. A
/// single-threaded runtime performs best there.
fn run_serve(path: Option<PathBuf>, check: bool) -> Result<()> {
    let path = match path {
        Some(path) => path,
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .with_context(|| format!("set {SETTINGS_VARIABLE} or give --settings"))?,
    };
    let Some(setting) = read_settings::<ForwardSetting>(&path, check)? else {
        return Ok(());
    };
    let log = telemetry::start_stdout(setting.log.format, &setting.log.level)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(path, setting))?;
    tracing::info!(dropped_lines = log.dropped_lines(), "end");
    Ok(())
}

async fn serve(path: PathBuf, setting: ForwardSetting) -> Result<()> {
    tracing::info!(vm = %setting.vm, bounds = ?setting.bounds, failure_domain = %setting.failure_domain, store = %setting.store, version = VERSION, commit = COMMIT, "start");
    let store = Arc::new(StoreClient::new(setting.store));
    let ports = ForwardPorts {
        rows: store.clone(),
        records: store,
        endpoints: Arc::new(EndpointClient::default()),
    };
    let node = ForwardNode::start(&setting, ports)
        .await
        .with_context(|| format!("cannot listen on {}", setting.peer_listen))?;
    tokio::spawn(watch_settings(path, setting.clone(), node.clone()));
    serve_until_stop(node, &setting).await?;
    Ok(())
}

/// Time between two reads of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies updated bounds from the settings file, on SIGHUP and by polling.
async fn watch_settings(path: PathBuf, mut setting: ForwardSetting, node: Arc<ForwardNode>) {
    let mut sighup = match signal(SignalKind::hangup()) {
        Ok(sighup) => sighup,
        Err(error) => {
            tracing::error!(%error, "cannot install the SIGHUP handler; changes of the settings file are ignored");
            return;
        }
    };
    loop {
        tokio::select! {
            _ = sighup.recv() => tracing::info!("received SIGHUP, reading the settings file"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        let updated = match read_settings::<ForwardSetting>(&path, false) {
            Ok(Some(updated)) => updated,
            Ok(None) => continue,
            Err(error) => {
                tracing::warn!(
                    error = format!("{error:#}"),
                    "cannot read the settings file, keeping the current settings"
                );
                continue;
            }
        };
        if updated.bounds != setting.bounds {
            tracing::info!(bounds = ?updated.bounds, "applied updated bounds from the settings file");
            node.set_bounds(updated.bounds);
        }
        if (updated.listen, updated.store) != (setting.listen, setting.store) {
            tracing::warn!("a changed address takes effect after a restart");
        }
        setting = updated;
    }
}

async fn run_embed(ip: Option<String>, log: Option<String>) -> Result<()> {
    let level = log.as_deref().unwrap_or("warn");
    telemetry::start(LogFormat::Text, level)?;
    let ip: IpAddr = ip
        .as_deref()
        .unwrap_or("127.0.0.1")
        .parse()
        .context("--ip: expected an IP address")?;
    let fleet = EmbeddedFleet::start(ip).await?;
    println!("{}", fleet.summary());
    stop_signal().await?;
    fleet.stop().await;
    Ok(())
}

async fn run_standins(path: &Path, check: bool) -> Result<()> {
    let Some(setting) = read_settings::<StandinSetting>(path, check)? else {
        return Ok(());
    };
    start_log(&setting.log)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let fleet = StandinFleet::start(&setting, folder).await?;
    println!("platform stand-in  http://{}", fleet.platform_address);
    for (name, address) in &fleet.endpoints {
        println!("endpoint {name}  http://{address}");
    }
    tokio::signal::ctrl_c().await?;
    fleet.stop().await;
    Ok(())
}

/// Reads and validates a settings file. Returns `None` if `check` is set.
fn read_settings<T>(path: &Path, check: bool) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    let setting = text
        .parse::<T>()
        .with_context(|| path.display().to_string())?;
    if check {
        println!("{}: the settings are valid", path.display());
        return Ok(None);
    }
    Ok(Some(setting))
}

fn start_log(setting: &LogSetting) -> Result<()> {
    telemetry::start(setting.format, &setting.level)
}

/// Memory of the machine in MB for each thread of the runtime. The allocator keeps what a thread has
/// freed for that thread, so that crowds on many threads exceed the memory of a small machine.
const THREAD_MEMORY_MB: usize = 64;

fn run_router(path: &Path, check: bool) -> Result<()> {
    let Some(setting) = read_settings::<RouterSetting>(path, check)? else {
        return Ok(());
    };
    router_runtime(setting.limits.memory_mb)?.block_on(serve_router(setting))
}

/// Builds a runtime with a thread for each core, or fewer if the memory of the machine is known.
fn router_runtime(memory_mb: Option<usize>) -> std::io::Result<Runtime> {
    let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    let threads = memory_mb.map_or(cores, |memory| (memory / THREAD_MEMORY_MB).clamp(1, cores));
    let mut builder = match threads {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.worker_threads(threads).enable_all().build()
}

async fn serve_router(setting: RouterSetting) -> Result<()> {
    start_log(&setting.log)?;
    let ports = HttpPlatform::new(&setting.platform)?.ports();
    let router = RouterHandle::start(setting, ports).await?;
    println!("listening on {}", router.address);
    stop_signal().await?;
    router.stop_with(StopPlan::default()).await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
