//! Settings of `jasminectl`, read from an INI file.

use {ini::Ini, jasminewall_ports::HttpPlatform};

use crate::{ControlClient, Error, ExitKind, Result};

/// Section and name of each key in the settings file.
const KNOWN_KEYS: &[(&str, &str)] = &[
    ("platform", "address"),
    ("operator", "name"),
    ("operator", "credential"),
    ("fleet", "shards"),
    ("fleet", "routers"),
];

/// Settings of `jasminectl`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSetting {
    /// Address of the platform, as `ip:port`.
    pub platform_address: String,
    /// Name of the operator, sent to the platform.
    pub operator: String,
    /// Credential for configuration writes; commands that only read need none.
    pub credential: Option<String>,
    /// Number of budget shards, as in the routers' settings.
    pub shards: u32,
    /// Caller-facing addresses of the routers, as `ip:port`, that `status` queries.
    pub routers: Vec<String>,
}

impl ControlSetting {
    /// Parses settings and reports all errors at once; `file` is the name to use in messages.
    ///
    /// # Errors
    ///
    /// `Usage`, with one line for each error.
    pub fn from_ini(file: &str, text: &str) -> Result<Self> {
        let usage_error = |message: String| Error::new(ExitKind::Usage, message);
        let ini = Ini::load_from_str(text)
            .map_err(|error| usage_error(format!("{file}:{}: {}", error.line, error.msg)))?;
        let mut errors = unknown_key_errors(file, &ini);
        let mut required = |section: &str, key: &str| {
            let value = ini.get_from(Some(section), key).unwrap_or_default();
            if value.is_empty() {
                errors.push(format!("{file}: [{section}] {key} is missing; add it"));
            }
            value.to_owned()
        };
        let platform_address = required("platform", "address");
        let operator = required("operator", "name");
        let shards = required("fleet", "shards");
        if !platform_address.is_empty() && platform_address.parse::<std::net::SocketAddr>().is_err()
        {
            errors.push(format!(
                "{file}: [platform] address: '{platform_address}' is not an address; write ip:port"
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
            return Err(usage_error(errors.join("\n")));
        }
        let credential = ini.get_from(Some("operator"), "credential");
        Ok(Self {
            platform_address,
            operator,
            credential: credential.map(str::to_owned),
            shards: count.unwrap_or(1),
            routers,
        })
    }

    /// Creates a client of the platform with these settings.
    ///
    /// # Errors
    ///
    /// `Refused` if the address is malformed or another value is not valid in an HTTP header.
    pub fn client(&self) -> Result<ControlClient> {
        let mut platform = HttpPlatform::new(&self.platform_address)?.named(&self.operator)?;
        if let Some(credential) = &self.credential {
            platform = platform.with_credential(credential)?;
        }
        let client = ControlClient::new(platform.ports(), self.shards);
        Ok(client.with_routers(self.routers.clone()))
    }
}

fn unknown_key_errors(file: &str, ini: &Ini) -> Vec<String> {
    let mut errors = Vec::new();
    for (section, properties) in ini {
        let section = section.unwrap_or("");
        for (key, _) in properties {
            if KNOWN_KEYS.contains(&(section, key)) {
                continue;
            }
            let label = |(section, key): &(&str, &str)| format!("[{section}] {key}");
            let found = label(&(section, key));
            let names = KNOWN_KEYS.iter().map(label);
            let closest = names.min_by_key(|name| strsim::damerau_levenshtein(name, &found));
            errors.push(format!(
                "{file}: {found} is not known; did you mean {}?",
                closest.unwrap_or_default()
            ));
        }
    }
    errors
}
