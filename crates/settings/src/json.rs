//! Accessors for a JSON value that may be absent, so that nested lookups need no checks for missing keys.

use std::collections::HashMap;
use tinyjson::{JsonParseError, JsonValue};

/// Maximum nesting depth. The parser is recursive, so malicious input could otherwise exhaust the stack.
const MAX_DEPTH: usize = 64;
/// Exclusive upper bound for integers; just below 2^64, so that every accepted number fits a `u64`.
const INTEGERS_END: f64 = 1.8e19;

/// The reason a text could not be parsed as JSON.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// The bytes are not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The nesting is deeper than the supported maximum.
    #[error("nested too deeply")]
    TooDeep,
    /// The syntax is invalid.
    #[error("{0}")]
    Syntax(JsonParseError),
}

/// For callers that only display the error.
impl From<JsonError> for String {
    fn from(error: JsonError) -> String {
        error.to_string()
    }
}

/// Parses a JSON text.
///
/// # Errors
///
/// A [`JsonError`] if the text is not UTF-8, nested too deeply or malformed.
pub fn parse(text: &[u8]) -> Result<JsonValue, JsonError> {
    let text = std::str::from_utf8(text).map_err(|_| JsonError::NotUtf8)?;
    check_depth(text)?;
    text.parse().map_err(JsonError::Syntax)
}

/// Checks the nesting depth by counting brackets outside strings.
fn check_depth(text: &str) -> Result<(), JsonError> {
    let (mut depth, mut is_in_string, mut is_escaped) = (0usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_in_string => is_escaped = true,
            b'"' => is_in_string = !is_in_string,
            b'[' | b'{' if !is_in_string => depth += 1,
            b']' | b'}' if !is_in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(JsonError::TooDeep);
        }
    }
    Ok(())
}

/// A JSON value that may be absent.
#[derive(Clone, Copy)]
pub struct Json<'a>(pub Option<&'a JsonValue>);

impl<'a> Json<'a> {
    /// The value of an object's member; absent if this is not an object or has no such member.
    pub fn get(self, key: &str) -> Json<'a> {
        let members = self.0.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        Json(members.and_then(|members| members.get(key)))
    }
    /// The list's values; `None` if this is not a list.
    pub fn list(self) -> Option<&'a [JsonValue]> {
        self.0?.get::<Vec<JsonValue>>().map(Vec::as_slice)
    }
    /// The list's value at `index`; absent if this is not a list or is shorter.
    pub fn at(self, index: usize) -> Json<'a> {
        Json(self.list().and_then(|list| list.get(index)))
    }
    /// Iterates over the list's values; empty if this is not a list.
    pub fn each(self) -> impl Iterator<Item = Json<'a>> {
        let list = self.list().unwrap_or(&[]);
        list.iter().map(|value| Json(Some(value)))
    }
    /// The number; `None` if this is not a number.
    pub fn number(self) -> Option<f64> {
        self.0?.get::<f64>().copied()
    }
    /// The number if it is a non-negative integer; else `None`.
    #[allow(
        clippy::cast_possible_truncation,
        reason = "it has no fraction and is in range"
    )]
    pub fn integer(self) -> Option<u64> {
        let is_integer = |n: &f64| *n >= 0.0 && n.fract() == 0.0 && *n < INTEGERS_END;
        self.number().filter(is_integer).map(|n| n as u64)
    }
    /// The string; `None` if this is not a string.
    pub fn text(self) -> Option<&'a str> {
        self.0?.get::<String>().map(String::as_str)
    }
    /// The boolean; false if this is not a boolean.
    pub fn flag(self) -> bool {
        let flag = self.0.and_then(|v| v.get::<bool>());
        flag.copied().unwrap_or(false)
    }
    /// Whether this is absent or null.
    pub fn is_null(self) -> bool {
        self.0.is_none_or(|v| v.is_null())
    }
    /// Whether this is an object.
    pub fn is_object(self) -> bool {
        self.0.is_some_and(|v| v.is_object())
    }
}
