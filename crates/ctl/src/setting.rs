//! Settings of the command line, read from an INI file.

use {ini::Ini, jasminewall_ports::HttpPlatform};

use crate::{ControlClient, Error, ExitKind, Result};

/// Sections and keys of the settings file.
const KNOWN: &[(&str, &str)] = &[
    ("platform", "address"),
    ("operator", "name"),
    ("operator", "credential"),
    ("fleet", "shards"),
    ("fleet", "routers"),
];

/// Settings of one operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSetting {
    /// Address of the platform, as `ip:port`.
    pub platform: String,
    /// Name under which the platform sees this operator.
    pub name: String,
    /// Credential for configuration writes; may be absent for reading commands.
    pub credential: Option<String>,
    /// Number of budget shards of the deployment, as in the routers' settings.
    pub shards: u32,
    /// Callers' addresses of the routers, as `ip:port`, for `status`.
    pub routers: Vec<String>,
}

impl ControlSetting {
    /// Reads and checks settings as a whole; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// `Usage`, with one line for each mistake.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        let usage = |message: String| Error::new(ExitKind::Usage, message);
        let ini = Ini::load_from_str(text)
            .map_err(|error| usage(format!("{file}:{}: {}", error.line, error.msg)))?;
        let mut errors = unknown_keys(file, &ini);
        let mut required = |section: &str, key: &str| {
            let value = ini.get_from(Some(section), key).unwrap_or_default();
            if value.is_empty() {
                errors.push(format!("{file}: [{section}] {key} is missing; add it"));
            }
            value.to_owned()
        };
        let platform = required("platform", "address");
        let name = required("operator", "name");
        let shards = required("fleet", "shards");
        if !platform.is_empty() && platform.parse::<std::net::SocketAddr>().is_err() {
            errors.push(format!(
                "{file}: [platform] address: '{platform}' is not an address; write ip:port"
            ));
        }
        let count = shards.parse().ok().filter(|count| *count > 0);
        if !shards.is_empty() && count.is_none() {
            errors.push(format!(
                "{file}: [fleet] shards: '{shards}' is not a number from 1; write the routers' value"
            ));
        }
        let routers = ini.get_from(Some("fleet"), "routers").unwrap_or_default();
        let routers = routers.split(',').map(str::trim);
        let routers: Vec<String> = routers
            .filter(|item| !item.is_empty())
            .map(str::to_owned)
            .collect();
        for router in &routers {
            if router.parse::<std::net::SocketAddr>().is_err() {
                errors.push(format!(
                    "{file}: [fleet] routers: '{router}' is not an address; write ip:port, ip:port"
                ));
            }
        }
        if !errors.is_empty() {
            return Err(usage(errors.join("\n")));
        }
        let credential = ini.get_from(Some("operator"), "credential");
        Ok(Self {
            platform,
            name,
            credential: credential.map(str::to_owned),
            shards: count.unwrap_or(1),
            routers,
        })
    }

    /// Client that reaches the platform with these settings.
    ///
    /// # Errors
    ///
    /// `Refused` when a value cannot be sent.
    pub fn client(&self) -> Result<ControlClient> {
        let mut platform = HttpPlatform::new(&self.platform)?.with_name(&self.name)?;
        if let Some(credential) = &self.credential {
            platform = platform.with_credential(credential)?;
        }
        let client = ControlClient::new(platform.ports(), self.shards);
        Ok(client.with_routers(self.routers.clone()))
    }
}

fn unknown_keys(file: &str, ini: &Ini) -> Vec<String> {
    let mut errors = Vec::new();
    for (section, properties) in ini {
        let section = section.unwrap_or("");
        for (key, _) in properties {
            if KNOWN.contains(&(section, key)) {
                continue;
            }
            let label = |(section, key): &(&str, &str)| format!("[{section}] {key}");
            let found = label(&(section, key));
            let names = KNOWN.iter().map(label);
            let near = names.min_by_key(|name| strsim::damerau_levenshtein(name, &found));
            errors.push(format!(
                "{file}: {found} is not known; did you mean {}?",
                near.unwrap_or_default()
            ));
        }
    }
    errors
}
