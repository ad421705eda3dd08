//! What is wrong with settings.

use crate::json::JsonError;

/// Why settings can't be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is no JSON.
    #[error("Config is not JSON: {0}")]
    NotJson(#[from] JsonError),
    /// The JSON is no object.
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
    /// The key's path, as `Profiles[2].Worth`.
    pub path: String,
    /// What is wrong with it.
    pub problem: Problem,
}

/// What is wrong with a key, as the end of a sentence.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// A number is required.
    #[error("is missing or not a number")]
    MissingOrNoNumber,
    /// A number of 0 or more is required.
    #[error("is negative")]
    Negative,
    /// A list is required.
    #[error("is missing or not a list")]
    MissingOrNoList,
    /// A list with at least one element is required.
    #[error("is empty")]
    Empty,
    /// The value is no list.
    #[error("is not a list")]
    NoList,
    /// The list holds something else than indexes.
    #[error("holds no numbers")]
    NoIndexes,
    /// One of a few words is required.
    #[error("is missing or unknown")]
    MissingOrUnknown,
    /// The word is none of those known.
    #[error("is unknown: {0}")]
    Unknown(String),
}

impl KeyError {
    /// An error of this key.
    pub(crate) fn new(path: &str, problem: Problem) -> KeyError {
        KeyError {
            path: path.into(),
            problem,
        }
    }

    /// The same error, with the key inside this section.
    pub(crate) fn within(self, section: &str) -> KeyError {
        KeyError {
            path: format!("{section}.{}", self.path),
            problem: self.problem,
        }
    }
}

/// For callers that only show the error.
impl From<SettingsError> for String {
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}
