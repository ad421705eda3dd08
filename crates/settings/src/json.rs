//! A view of a JSON value that may be absent, so that unknown and missing keys need no care.

use std::collections::HashMap;
use tinyjson::{JsonParseError, JsonValue};

/// Deepest nesting read: the parser recurses, and a hostile text must not exhaust the stack.
const MAX_DEPTH: usize = 64;
/// Numbers from here on are no whole numbers of 64 bits.
const WHOLE_NUMBERS_END: f64 = 1.8e19;

/// Why a text is no JSON.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// It is no text.
    #[error("not UTF-8")]
    NotUtf8,
    /// It is nested more deeply than this program reads.
    #[error("nested too deeply")]
    TooDeep,
    /// It is malformed.
    #[error("{0}")]
    Syntax(JsonParseError),
}

/// For callers that only show the error.
impl From<JsonError> for String {
    fn from(error: JsonError) -> String {
        error.to_string()
    }
}

/// Parses a text.
///
/// # Errors
///
/// A [`JsonError`] that says what is wrong, and where.
pub fn parse(text: &[u8]) -> Result<JsonValue, JsonError> {
    let text = std::str::from_utf8(text).map_err(|_| JsonError::NotUtf8)?;
    check_depth(text)?;
    text.parse().map_err(JsonError::Syntax)
}

/// Counts brackets outside strings.
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

/// A JSON value, or none.
#[derive(Clone, Copy)]
pub struct Json<'a>(pub Option<&'a JsonValue>);

impl<'a> Json<'a> {
    /// The value of a member; none where this is no object or has no such member.
    pub fn get(self, key: &str) -> Json<'a> {
        let members = self.0.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        Json(members.and_then(|members| members.get(key)))
    }
    /// The values of a list; `None` where this is no list.
    pub fn list(self) -> Option<&'a [JsonValue]> {
        self.0?.get::<Vec<JsonValue>>().map(Vec::as_slice)
    }
    /// One value of a list.
    pub fn at(self, index: usize) -> Json<'a> {
        Json(self.list().and_then(|list| list.get(index)))
    }
    /// The values of a list; none where this is no list.
    pub fn each(self) -> impl Iterator<Item = Json<'a>> {
        let list = self.list().unwrap_or(&[]);
        list.iter().map(|value| Json(Some(value)))
    }
    /// A number.
    pub fn number(self) -> Option<f64> {
        self.0?.get::<f64>().copied()
    }
    /// A whole number of 0 or more.
    #[allow(
        clippy::cast_possible_truncation,
        reason = "it has no fraction and is in range"
    )]
    pub fn integer(self) -> Option<u64> {
        let is_whole = |n: &f64| *n >= 0.0 && n.fract() == 0.0 && *n < WHOLE_NUMBERS_END;
        self.number().filter(is_whole).map(|n| n as u64)
    }
    /// A string.
    pub fn text(self) -> Option<&'a str> {
        self.0?.get::<String>().map(String::as_str)
    }
    /// A truth value; false where this is none.
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
