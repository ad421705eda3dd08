//! ClickHouse's exceptions: their text, their codes, and how they are found behind the rows of a result.

pub mod codes;
mod in_result;

pub use codes::{
    classify, error_name, http_status, ErrorClass, ErrorCode, ERROR_CODES, NETWORK_ERROR,
    TOO_MANY_QUERIES,
};
pub use in_result::{find_in_last_lines, find_json_key, find_tagged, tagged_exception};

use std::fmt;

/// Longest exception text read; a longer one is cut.
pub const MAX_TEXT_BYTES: usize = 8 * 1024;

/// An exception, as clients read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// The error code; 0 where an engine's text names none.
    pub code: u32,
    /// The whole text: `Code: N. DB::Exception: message. (NAME)`.
    pub text: String,
}

impl Exception {
    /// An exception of this program. `message` has no full stop.
    pub fn new(code: u32, message: &str) -> Exception {
        let name = error_name(code).unwrap_or("UNKNOWN_EXCEPTION");
        Exception {
            code,
            text: format!("Code: {code}. DB::Exception: {message}. ({name})"),
        }
    }

    /// An engine's text, if it begins with a code.
    pub fn parse(text: &str) -> Option<Exception> {
        Some(Exception {
            code: parse_code(text)?,
            text: text.trim_end().into(),
        })
    }

    /// The HTTP status of a response with this exception.
    pub fn status(&self) -> u16 {
        http_status(self.code)
    }
}

impl fmt::Display for Exception {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::error::Error for Exception {}

/// The code that an exception's text begins with: `Code: 62. DB::Exception: ...`.
pub fn parse_code(text: &str) -> Option<u32> {
    let rest = text.trim_start().strip_prefix("Code: ")?;
    let digits = rest.find(|c: char| !c.is_ascii_digit())?;
    let (code, rest) = rest.split_at(digits);
    let code = code.parse().ok()?;
    let message = rest.trim_start_matches(['.', ',', ' ']);
    message.contains("Exception").then_some(code)
}
