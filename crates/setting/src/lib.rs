//! Parser for the INI settings files of the programs, which reports all errors at once.
//!
//! ```
//! use jasminewall_setting::SettingReader;
//!
//! let known: &[(&str, &[&str])] = &[("router", &["listen"])];
//! let mut reader = SettingReader::new("[router]\nlistn = 127.0.0.1:1", known).expect("INI text");
//! let listen = reader.optional::<std::net::SocketAddr>("router", "listen", "ip:port");
//! let errors = reader.finish(listen).expect_err("an unknown key");
//! assert!(errors.to_string().contains("did you mean 'listen'?"));
//! ```

use std::{
    collections::BTreeMap,
    fmt,
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
    time::Duration,
};

use {ini::Ini, tracing_subscriber::EnvFilter};

/// Minimum Jaro-Winkler similarity, from 0 to 1, for suggesting a known name.
const MIN_SIMILARITY: f64 = 0.6;

/// Keys of a section that accepts any key.
pub const ANY_KEY: &[&str] = &["*"];

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Log settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSetting {
    /// Format of the log.
    pub format: LogFormat,
    /// Level or filter, such as `info` or `jasminewall_router=debug,warn`.
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

/// All errors found in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingErrors {
    errors: Vec<String>,
}

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} mistake(s) in the settings", self.errors.len())?;
        for error in &self.errors {
            write!(f, "\n  {error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingErrors {}

/// Reads typed values and collects all errors.
pub struct SettingReader {
    values: BTreeMap<(String, String), String>,
    errors: Vec<String>,
}

impl SettingReader {
    /// Parses INI text; `known` lists the valid sections and their keys.
    ///
    /// # Errors
    ///
    /// If the text is not valid INI.
    pub fn new(text: &str, known: &[(&str, &[&str])]) -> Result<Self, SettingErrors> {
        let ini = Ini::load_from_str(text).map_err(|error| SettingErrors {
            errors: vec![format!("line {}: {}", error.line, error.msg)],
        })?;
        let mut reader = Self {
            values: BTreeMap::new(),
            errors: Vec::new(),
        };
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            let keys = known.iter().find(|(name, _)| *name == section);
            let Some((_, keys)) = keys else {
                if !(section.is_empty() && properties.is_empty()) {
                    let names = known.iter().map(|(name, _)| *name);
                    reader.push_error(unknown_name(
                        &format!("[{section}]"),
                        "section",
                        section,
                        names,
                    ));
                }
                continue;
            };
            for (key, value) in properties {
                let path = format!("[{section}] {key}");
                if *keys != ANY_KEY && !keys.contains(&key) {
                    reader.push_error(unknown_name(&path, "key", key, keys.iter().copied()));
                    continue;
                }
                let location = (section.to_owned(), key.to_owned());
                if reader
                    .values
                    .insert(location, value.trim().to_owned())
                    .is_some()
                {
                    reader.push_error(format!("{path}: it is set twice; keep one"));
                }
            }
        }
        Ok(reader)
    }

    /// Records an error. The message should say how to fix the error.
    pub fn push_error(&mut self, error: impl Into<String>) {
        self.errors.push(error.into());
    }

    /// Returns the value of a key, unless it is absent or empty.
    pub fn get(&self, section: &str, key: &str) -> Option<String> {
        let location = (section.to_owned(), key.to_owned());
        self.values
            .get(&location)
            .filter(|text| !text.is_empty())
            .cloned()
    }

    /// Returns the keys of a section with their values, except empty ones.
    pub fn section<'a>(&'a self, section: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let values = self.values.iter();
        values
            .filter(move |((name, _), value)| name == section && !value.is_empty())
            .map(|((_, key), value)| (key.as_str(), value.as_str()))
    }

    /// Returns the value of a required key, or an empty string after recording an error.
    pub fn required(&mut self, section: &str, key: &str) -> String {
        let value = self.get(section, key);
        if value.is_none() {
            self.push_error(format!("[{section}] {key}: it is missing; add it"));
        }
        value.unwrap_or_default()
    }

    /// Parses the value of an optional key; `form` describes a valid value in error messages.
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

    /// Parses the value of a key; without a default, the key is required.
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

    /// Parses a whole number above 0.
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

    /// Parses a duration in whole milliseconds, above 0.
    pub fn millis(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.count(section, key, Some(default)))
    }

    /// Parses `memory_mb` of a section: the memory of the machine in MB, if known. Platforms give it
    /// with or without a decimal point.
    pub fn memory(&mut self, section: &str) -> Option<usize> {
        let memory: f64 = self.optional(section, "memory_mb", "a number from 1")?;
        if memory.is_finite() && memory >= 1.0 {
            return Some(memory as usize);
        }
        self.push_error(format!("[{section}] memory_mb: write a number from 1"));
        None
    }

    /// Parses a comma-separated list.
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

    /// Parses the section `log`.
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

    /// Returns `setting` if no errors were recorded.
    ///
    /// # Errors
    ///
    /// All recorded errors, without consecutive duplicates.
    pub fn finish<T>(self, setting: T) -> Result<T, SettingErrors> {
        if self.errors.is_empty() {
            return Ok(setting);
        }
        let mut errors = self.errors;
        errors.dedup();
        Err(SettingErrors { errors })
    }
}

/// Placeholder for an invalid value, so that the rest of the file can be checked.
pub trait SettingFallback {
    /// Returns the placeholder.
    fn fallback() -> Self;
}

impl SettingFallback for SocketAddr {
    fn fallback() -> Self {
        Self::from((Ipv4Addr::LOCALHOST, 0))
    }
}

macro_rules! impl_fallback {
    ($($number:ty),*) => {
        $(impl SettingFallback for $number {
            fn fallback() -> Self {
                1
            }
        })*
    };
}

impl_fallback!(u32, u64, usize);

/// Formats the error for an unknown name, with the most similar known name as a suggestion.
fn unknown_name<'a>(
    path: &str,
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> String {
    let nearest = known
        .clone()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0));
    match nearest {
        Some((_, nearest)) => format!("{path}: the {kind} is not known; did you mean '{nearest}'?"),
        None => {
            let all: Vec<&str> = known.collect();
            format!(
                "{path}: the {kind} is not known; known are {}",
                all.join(", ")
            )
        }
    }
}
