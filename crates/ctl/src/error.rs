use std::fmt;

use serde_json::Value;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// The command succeeded.
    Success = 0,
    /// The input is invalid, or a check failed; nothing was changed.
    Refused = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// Another operator changed the configuration first; nothing was changed.
    Conflict = 3,
    /// The platform or a router cannot be reached.
    Unreachable = 4,
}

/// Output and exit code of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandReport {
    /// Exit code of the process.
    pub exit: ExitKind,
    /// Human-readable output.
    pub text: String,
    /// Output for `--json`.
    pub json: Value,
}

impl CommandReport {
    /// Creates the report of a successful command.
    pub(crate) fn success(text: impl Into<String>, json: Value) -> Self {
        Self {
            exit: ExitKind::Success,
            text: text.into(),
            json,
        }
    }
}

/// Error of a command. The message says what is wrong and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    exit: ExitKind,
    message: String,
}

impl Error {
    pub(crate) fn new(exit: ExitKind, message: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
        }
    }

    pub(crate) fn refused(message: impl Into<String>) -> Self {
        Self::new(ExitKind::Refused, message)
    }

    /// Joins several errors into one, with a line for each.
    pub(crate) fn from_errors<E: fmt::Display>(errors: &[E]) -> Self {
        let lines: Vec<String> = errors.iter().map(E::to_string).collect();
        Self::refused(lines.join("\n"))
    }

    /// Returns the exit code of the command.
    pub fn exit(&self) -> ExitKind {
        self.exit
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl From<jasminewall_ports::Error> for Error {
    fn from(error: jasminewall_ports::Error) -> Self {
        let exit = match error.category() {
            jasminewall_ports::Category::Invalid => ExitKind::Refused,
            _ => ExitKind::Unreachable,
        };
        Self::new(exit, error.to_string())
    }
}

impl From<jasminewall_core::Error> for Error {
    fn from(error: jasminewall_core::Error) -> Self {
        Self::refused(error.to_string())
    }
}
