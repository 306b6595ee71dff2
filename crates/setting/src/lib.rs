//! Reads the INI settings of the project's programs and reports all mistakes at once.
//!
//! ```
//! use jasminewall_setting::SettingReader;
//!
//! let known: &[(&str, &[&str])] = &[("router", &["listen"])];
//! let mut reader = SettingReader::new("[router]\nlistn = 127.0.0.1:1", known).expect("INI text");
//! let listen = reader.optional::<std::net::SocketAddr>("router", "listen", "ip:port");
//! let report = reader.finish(listen).expect_err("a key is not known");
//! assert!(report.to_string().contains("did you mean 'listen'?"));
//! ```

use std::{
    collections::BTreeMap,
    fmt,
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
    time::Duration,
};

use {ini::Ini, tracing_subscriber::EnvFilter};

/// Similarity above which a known name is offered for an unknown one, from 0 to 1.
const SIMILARITY_MIN: f64 = 0.6;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text an event.
    Text,
    /// One JSON object an event.
    Json,
}

/// Form and level of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSetting {
    /// Form of the lines.
    pub format: LogFormat,
    /// Filter such as `info` or `jasminewall_router=debug,warn`.
    pub level: String,
}

impl Default for LogSetting {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".into(),
        }
    }
}

/// All mistakes of one settings file, a line each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingErrors {
    faults: Vec<String>,
}

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} mistake(s) in the settings", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingErrors {}

/// Reads values and collects every mistake.
pub struct SettingReader {
    values: BTreeMap<(String, String), String>,
    faults: Vec<String>,
}

impl SettingReader {
    /// Reads INI text; `known` lists the sections and their keys.
    ///
    /// # Errors
    ///
    /// When the text is not INI.
    pub fn new(text: &str, known: &[(&str, &[&str])]) -> Result<Self, SettingErrors> {
        let ini = Ini::load_from_str(text).map_err(|error| SettingErrors {
            faults: vec![format!("line {}: {}", error.line, error.msg)],
        })?;
        let mut reader = Self {
            values: BTreeMap::new(),
            faults: Vec::new(),
        };
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            let keys = known.iter().find(|(name, _)| *name == section);
            let Some((_, keys)) = keys else {
                if !(section.is_empty() && properties.is_empty()) {
                    let names = known.iter().map(|(name, _)| *name);
                    reader.push_error(unknown(&format!("[{section}]"), "section", section, names));
                }
                continue;
            };
            for (key, value) in properties {
                let place = format!("[{section}] {key}");
                if !keys.contains(&key) {
                    reader.push_error(unknown(&place, "key", key, keys.iter().copied()));
                    continue;
                }
                let slot = (section.to_owned(), key.to_owned());
                if reader
                    .values
                    .insert(slot, value.trim().to_owned())
                    .is_some()
                {
                    reader.push_error(format!("{place}: it is set twice; keep one"));
                }
            }
        }
        Ok(reader)
    }

    /// Notes a mistake; the text names the remedy.
    pub fn push_error(&mut self, fault: impl Into<String>) {
        self.faults.push(fault.into());
    }

    /// Value of a key, unless it is absent or empty.
    pub fn get(&self, section: &str, key: &str) -> Option<String> {
        let slot = (section.to_owned(), key.to_owned());
        self.values
            .get(&slot)
            .filter(|text| !text.is_empty())
            .cloned()
    }

    /// Value of a key that must be there.
    pub fn required(&mut self, section: &str, key: &str) -> String {
        let value = self.get(section, key);
        if value.is_none() {
            self.push_error(format!("[{section}] {key}: it is missing; add it"));
        }
        value.unwrap_or_default()
    }

    /// Value of a key that may be absent; `form` says how to write it.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, form: &str) -> Option<T> {
        let text = self.get(section, key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.push_error(format!(
                "[{section}] {key}: '{text}' is not valid; write {form}"
            ));
        }
        value
    }

    /// Value of a key; without a default the key is required.
    pub fn parse<T>(&mut self, section: &str, key: &str, form: &str, default: Option<T>) -> T
    where
        T: FromStr + SettingFallback,
    {
        if let Some(default) = default
            && self.get(section, key).is_none()
        {
            return default;
        }
        if self.required(section, key).is_empty() {
            return T::fallback();
        }
        self.optional(section, key, form)
            .unwrap_or_else(T::fallback)
    }

    /// Whole number above 0.
    pub fn count<T>(&mut self, section: &str, key: &str, default: Option<T>) -> T
    where
        T: FromStr + SettingFallback + PartialEq + Default,
    {
        let value = self.parse(section, key, "a whole number above 0", default);
        if value == T::default() {
            self.push_error(format!("[{section}] {key}: write a whole number above 0"));
        }
        value
    }

    /// Time that is written in whole milliseconds.
    pub fn millis(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.count(section, key, Some(default)))
    }

    /// Values separated by commas.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, form: &str) -> Vec<T> {
        let text = self.get(section, key).unwrap_or_default();
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        let mut values = Vec::new();
        for item in items {
            match item.parse() {
                Ok(value) => values.push(value),
                Err(_) => {
                    self.push_error(format!(
                        "[{section}] {key}: '{item}' is not valid; write {form}"
                    ));
                }
            }
        }
        values
    }

    /// Form and level of the log, from the section `log`.
    pub fn log(&mut self) -> LogSetting {
        let defaults = LogSetting::default();
        let level = self.get("log", "level").unwrap_or(defaults.level);
        if let Err(error) = level.parse::<EnvFilter>() {
            self.push_error(format!("[log] level: '{level}' is not valid ({error}); write error, warn, info, debug or trace"));
        }
        let format = match self.get("log", "format").as_deref() {
            None | Some("text") => LogFormat::Text,
            Some("json") => LogFormat::Json,
            Some(other) => {
                self.push_error(format!(
                    "[log] format: '{other}' is not valid; write text or json"
                ));
                LogFormat::Text
            }
        };
        LogSetting { format, level }
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// All mistakes that were found.
    pub fn finish<T>(self, setting: T) -> Result<T, SettingErrors> {
        if self.faults.is_empty() {
            return Ok(setting);
        }
        let mut faults = self.faults;
        faults.dedup();
        Err(SettingErrors { faults })
    }
}

/// Value that stands in for a mistaken one while the rest of the file is checked.
pub trait SettingFallback {
    /// The value.
    fn fallback() -> Self;
}

impl SettingFallback for SocketAddr {
    fn fallback() -> Self {
        Self::from((Ipv4Addr::LOCALHOST, 0))
    }
}

macro_rules! fallback_one {
    ($($number:ty),*) => {
        $(impl SettingFallback for $number {
            fn fallback() -> Self {
                1
            }
        })*
    };
}

fallback_one!(u32, u64, usize);

/// Fault of an unknown name, with the nearest known one.
fn unknown<'a>(
    place: &str,
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> String {
    let near = known
        .clone()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|one, other| one.0.total_cmp(&other.0));
    match near {
        Some((_, near)) => format!("{place}: the {what} is not known; did you mean '{near}'?"),
        None => {
            let all: Vec<&str> = known.collect();
            format!(
                "{place}: the {what} is not known; known are {}",
                all.join(", ")
            )
        }
    }
}
