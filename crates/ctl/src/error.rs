use std::fmt;

use serde_json::Value;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitKind {
    /// Done.
    Done = 0,
    /// Refused or invalid; nothing was changed.
    Refused = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// Another operator changed the configuration first; nothing was changed.
    Conflict = 3,
    /// The platform cannot be reached.
    Unreachable = 4,
}

/// Output of a command that was carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandReport {
    /// Exit code.
    pub exit: ExitKind,
    /// Text for people.
    pub text: String,
    /// The same for programs.
    pub json: Value,
}

impl CommandReport {
    /// Report of a command that is done.
    pub(crate) fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            exit: ExitKind::Done,
            text: text.into(),
            json,
        }
    }
}

/// Error of a command; the message names the place and the remedy.
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

    /// Joins mistakes into one report.
    pub(crate) fn report<E: fmt::Display>(errors: &[E]) -> Self {
        let lines: Vec<String> = errors.iter().map(E::to_string).collect();
        Self::refused(lines.join("\n"))
    }

    /// Exit code of the command.
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
