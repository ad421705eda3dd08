//! A view of a JSON value that may be absent, so that unknown and missing keys need no care.

use std::collections::HashMap;
use tinyjson::JsonValue;

/// Deepest nesting read: the parser recurses, and a hostile text must not exhaust the stack.
const DEEPEST: usize = 64;

/// Parses a text, or says in words what is wrong with it.
pub fn parse(text: &[u8]) -> Result<JsonValue, String> {
    let text = std::str::from_utf8(text).map_err(|_| "not UTF-8".to_string())?;
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    for b in text.bytes() {
        match b {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return Err("nested too deeply".into());
        }
    }
    text.parse()
        .map_err(|e: tinyjson::JsonParseError| e.to_string())
}

/// A JSON value, or none.
#[derive(Clone, Copy)]
pub struct Json<'a>(pub Option<&'a JsonValue>);

impl<'a> Json<'a> {
    /// The value under a key.
    pub fn get(self, key: &str) -> Json<'a> {
        Json(
            self.0
                .and_then(|v| v.get::<HashMap<String, JsonValue>>())
                .and_then(|o| o.get(key)),
        )
    }
    /// The values of a list, if it is one.
    pub fn list(self) -> Option<&'a [JsonValue]> {
        self.0
            .and_then(|v| v.get::<Vec<JsonValue>>())
            .map(Vec::as_slice)
    }
    /// One value of a list.
    pub fn at(self, i: usize) -> Json<'a> {
        Json(self.list().and_then(|l| l.get(i)))
    }
    /// The values of a list; none if it is none.
    pub fn each(self) -> impl Iterator<Item = Json<'a>> {
        self.list().unwrap_or(&[]).iter().map(|v| Json(Some(v)))
    }
    /// A number.
    pub fn number(self) -> Option<f64> {
        self.0.and_then(|v| v.get::<f64>()).copied()
    }
    /// A whole number of 0 or more.
    pub fn whole(self) -> Option<u64> {
        self.number()
            .filter(|n| *n >= 0.0 && n.fract() == 0.0 && *n < 1.8e19)
            .map(|n| n as u64)
    }
    /// A string.
    pub fn text(self) -> Option<&'a str> {
        self.0.and_then(|v| v.get::<String>()).map(String::as_str)
    }
    /// A truth value; false if it is none.
    pub fn flag(self) -> bool {
        self.0
            .and_then(|v| v.get::<bool>())
            .copied()
            .unwrap_or(false)
    }
    /// Absent or null.
    pub fn is_null(self) -> bool {
        self.0.is_none_or(|v| v.is_null())
    }
    /// An object.
    pub fn is_object(self) -> bool {
        self.0.is_some_and(|v| v.is_object())
    }
}
