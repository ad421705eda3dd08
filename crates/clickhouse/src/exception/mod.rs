//! ClickHouse exceptions: text, error codes, and detection after the rows of a result.

pub mod codes;
mod in_result;
mod opening;

pub use codes::{
    classify, error_name, http_status, ErrorClass, ErrorCode, ERROR_CODES, NETWORK_ERROR,
    TOO_MANY_QUERIES,
};
pub use in_result::{
    find_after_rows, find_in_last_lines, find_json_key, find_json_line, find_tagged,
    find_xml_element, tagged_exception,
};
pub(crate) use opening::last_possible_opening;
pub use opening::{is_json_lines, RowEnd};

use std::fmt;

/// Maximum length of an exception text; longer ones are truncated.
pub const MAX_TEXT_BYTES: usize = 8 * 1024;

/// What servers write before the code of an exception that is not one of their own.
const FOREIGN_TYPES: [&str; 3] = [
    "Poco::Exception. ",
    "std::exception. ",
    "Unknown exception. ",
];

/// An exception in the form sent to clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// The error code; 0 if an engine's text has none.
    pub code: u32,
    /// The full text: `Code: N. DB::Exception: message. (NAME)`.
    pub text: String,
}

impl Exception {
    /// Creates an exception of the coordinator. `message` must not end with a full stop.
    pub fn new(code: u32, message: &str) -> Exception {
        let name = error_name(code).unwrap_or("UNKNOWN_EXCEPTION");
        Exception {
            code,
            text: format!("Code: {code}. DB::Exception: {message}. ({name})"),
        }
    }

    /// Parses an engine's text; `None` if it does not start with a code.
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

/// Whether an exception was thrown by another server that the query used. Its code then says nothing of the query itself, which has
/// started.
pub fn is_from_another_server(text: &str) -> bool {
    text.contains("Exception: Received from ")
}

/// Parses the code at the start of an exception's text: `Code: 62. DB::Exception: ...`, or `Poco::Exception. Code: 1000, ...`.
pub fn parse_code(text: &str) -> Option<u32> {
    let text = text.trim_start();
    let foreign = FOREIGN_TYPES.iter().find_map(|t| text.strip_prefix(t));
    let rest = foreign.unwrap_or(text).strip_prefix("Code: ")?;
    let digits = rest.find(|c: char| !c.is_ascii_digit())?;
    let (code, rest) = rest.split_at(digits);
    let code = code.parse().ok()?;
    let message = rest.trim_start_matches(['.', ',', ' ']);
    (foreign.is_some() || message.contains("Exception")).then_some(code)
}
