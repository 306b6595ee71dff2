use std::fmt;

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Category {
    /// The call surely had no effect; it may be tried again.
    Unavailable,
    /// A write may have taken effect; read back before trying again.
    Unknown,
    /// The call itself is wrong.
    Invalid,
    /// The history that a watch asked for is gone; read the whole table.
    Compacted,
}

/// Error of a platform call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Error {
    category: Category,
    message: String,
}

impl Error {
    /// Builds an error whose message names the remedy.
    pub fn new(category: Category, message: impl Into<String>) -> Self {
        Self {
            category,
            message: message.into(),
        }
    }

    /// The call surely had no effect.
    pub fn unavailable() -> Self {
        Self::new(
            Category::Unavailable,
            "the platform cannot be reached; the call had no effect, try again",
        )
    }

    /// The write may have taken effect.
    pub fn unknown() -> Self {
        Self::new(
            Category::Unknown,
            "the platform's answer was lost; read back before trying again",
        )
    }

    /// Kind of the error.
    pub fn category(&self) -> Category {
        self.category
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
