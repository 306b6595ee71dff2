use std::fmt;

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`]; determines how a caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Category {
    /// The call had no effect and may be retried.
    Unavailable,
    /// A write may have taken effect; read back before retrying.
    Unknown,
    /// The call is invalid and must be corrected.
    Invalid,
    /// The requested watch history was compacted; read the whole table.
    Compacted,
}

/// Error of a platform call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Error {
    category: Category,
    message: String,
}

impl Error {
    /// Creates an error. The message should say how to resolve the error.
    pub fn new(category: Category, message: impl Into<String>) -> Self {
        Self {
            category,
            message: message.into(),
        }
    }

    /// Creates an error of category [`Category::Unavailable`].
    pub fn unavailable() -> Self {
        Self::new(
            Category::Unavailable,
            "the platform cannot be reached; the call had no effect, try again",
        )
    }

    /// Creates an error of category [`Category::Unknown`].
    pub fn unknown() -> Self {
        Self::new(
            Category::Unknown,
            "no response from the platform; read back before retrying",
        )
    }

    /// Returns the category.
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
