//! Errors found while reading settings.

use crate::json::JsonError;

/// The reason settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("Config is not JSON: {0}")]
    NotJson(#[from] JsonError),
    /// The top-level JSON value is not an object.
    #[error("Config is not a JSON object")]
    NotAnObject,
    /// A key is missing or malformed.
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// A key that is missing or malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path} {problem}")]
pub struct KeyError {
    /// The key's path, for example `Profiles[2].Worth`.
    pub path: String,
    /// The problem with its value.
    pub problem: Problem,
}

/// The problem with a key, displayed as a predicate that follows the key's path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// A number is required.
    #[error("is missing or not a number")]
    MissingOrNotNumber,
    /// A non-negative number is required.
    #[error("is negative")]
    Negative,
    /// A list is required.
    #[error("is missing or not a list")]
    MissingOrNotList,
    /// A non-empty list is required.
    #[error("is empty")]
    Empty,
    /// The value is not a list.
    #[error("is not a list")]
    NotList,
    /// The list contains a value that is not an integer of 16 bits.
    #[error("contains a value that is not an integer from 0 to 65535")]
    NotIndexes,
    /// One of a fixed set of names is required.
    #[error("is missing or unknown")]
    MissingOrUnknown,
    /// The value is none of the known names.
    #[error("is unknown: {0}")]
    Unknown(String),
}

impl KeyError {
    /// Creates the error for the key at `path`.
    pub(crate) fn new(path: &str, problem: Problem) -> KeyError {
        KeyError {
            path: path.into(),
            problem,
        }
    }

    /// Prefixes the key's path with the section that contains it.
    pub(crate) fn within(self, section: &str) -> KeyError {
        KeyError {
            path: format!("{section}.{}", self.path),
            problem: self.problem,
        }
    }
}

/// For callers that only display the error.
impl From<SettingsError> for String {
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}
