//! Settings of a router, read from an INI file.

use std::{net::SocketAddr, str::FromStr};

use {
    anyhow::{Context, Result},
    ini::Ini,
    jasminewall_core::{DomainId, ShardId, VmId},
};

/// Settings of one router.
#[derive(Clone, Debug)]
pub struct RouterSetting {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: DomainId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the peer service.
    pub peer_listen: SocketAddr,
    /// Addresses of the peer services of other routers.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform, as `ip:port`.
    pub platform: String,
    /// Secret that all routers of the fleet share.
    pub secret: String,
    /// Number of budget shards of the deployment.
    pub shards: ShardId,
}

impl FromStr for RouterSetting {
    type Err = anyhow::Error;

    /// Reads settings from INI text; an error names the section and key to correct.
    fn from_str(text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text).context("the settings are not valid INI")?;
        let value = |section: &str, key: &str| {
            ini.get_from(Some(section), key)
                .map(str::to_owned)
                .with_context(|| format!("[{section}] {key} is missing; add it"))
        };
        Ok(Self {
            vm: value("router", "vm")?.into(),
            failure_domain: value("router", "failure_domain")?.into(),
            listen: value("router", "listen")?
                .parse()
                .context("[router] listen: write ip:port")?,
            peer_listen: value("router", "peer_listen")?
                .parse()
                .context("[router] peer_listen: write ip:port")?,
            peers: value("fleet", "peers")?
                .split(',')
                .map(|peer| {
                    peer.trim()
                        .parse()
                        .context("[fleet] peers: write ip:port, ip:port")
                })
                .collect::<Result<_>>()?,
            platform: value("platform", "address")?,
            secret: value("fleet", "secret")?,
            shards: value("fleet", "shards")?
                .parse()
                .context("[fleet] shards: write a number")?,
        })
    }
}
