use std::fmt;

use smol_str::SmolStr;

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`], for callers that handle categories differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Text that does not parse.
    Syntax,
    /// Well-formed input with a value that is not allowed.
    Data,
    /// A record with an unknown schema version, kind or field.
    Schema,
    /// A change based on an outdated state.
    Conflict,
    /// A limit on tokens, size or time.
    Limit,
    /// An operation that the current state does not allow.
    State,
}

/// Error with its category and, if known, its position in the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    category: Category,
    position: Option<SmolStr>,
    message: String,
}

impl Error {
    /// Creates an error; the message says how to fix the problem.
    pub fn new(category: Category, message: impl Into<String>) -> Self {
        Self {
            category,
            position: None,
            message: message.into(),
        }
    }

    /// Sets the file, line, record or field where the error was found.
    #[must_use]
    pub fn at(mut self, position: impl Into<SmolStr>) -> Self {
        self.position = Some(position.into());
        self
    }

    /// Category of the error.
    pub fn category(&self) -> Category {
        self.category
    }

    /// File, line, record or field where the error was found.
    pub fn position(&self) -> Option<&str> {
        self.position.as_deref()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.position {
            Some(position) => write!(f, "{position}: {}", self.message),
            None => f.write_str(&self.message),
        }
    }
}

impl std::error::Error for Error {}
