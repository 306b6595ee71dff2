//! Binary of the router.

use std::{
    net::IpAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    str::FromStr,
};

use {
    anyhow::{Context, Result},
    jasminewall_ports::HttpPlatform,
    jasminewall_router::{
        EmbedFleet, RouterHandle, RouterSetting, StandinFleet, StandinSetting, StopPlan,
        setting::{LogFormat, LogSetting},
        telemetry,
    },
    tokio::signal::unix::{SignalKind, signal},
};

mod flags {
    #![allow(missing_docs, unreachable_pub, clippy::unwrap_used)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Routes requests of many customers and spends their prepaid token budgets.
        cmd jasminewall {
            /// Start a whole fleet with stand-ins in this process, for a trial on one machine.
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
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jasminewall: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let command = flags::Jasminewall::from_env_or_exit();
    match command.subcommand {
        flags::JasminewallCmd::Embed(embed) => run_embed(embed.ip, embed.log).await,
        flags::JasminewallCmd::Standins(standins) => {
            run_standins(&standins.settings, standins.check).await
        }
        flags::JasminewallCmd::Run(run) => run_router(run.settings, run.check).await,
    }
}

async fn run_embed(ip: Option<String>, log: Option<String>) -> Result<()> {
    let level = log.as_deref().unwrap_or("warn");
    telemetry::start(LogFormat::Text, level)?;
    let ip: IpAddr = ip
        .as_deref()
        .unwrap_or("127.0.0.1")
        .parse()
        .context("--ip: write an IP address")?;
    let fleet = EmbedFleet::start(ip).await?;
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

/// Reads a settings file; `None` after a check that found no mistake.
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

async fn run_router(path: PathBuf, check: bool) -> Result<()> {
    let Some(setting) = read_settings::<RouterSetting>(&path, check)? else {
        return Ok(());
    };
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
