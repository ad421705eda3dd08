//! Exceptions, as ClickHouse words them.

use driftfront_clickhouse::exception::{error_name, http_status};
use std::io;

/// The version that the engine says it has.
const VERSION: &str = "24.8.4.13";

/// Codes of exceptions, by their names on ClickHouse.
pub(super) mod code {
    pub(in super::super) const UNKNOWN_FUNCTION: u32 = 46;
    pub(in super::super) const UNKNOWN_IDENTIFIER: u32 = 47;
    pub(in super::super) const UNKNOWN_TABLE: u32 = 60;
    pub(in super::super) const SYNTAX_ERROR: u32 = 62;
    pub(in super::super) const UNKNOWN_FORMAT: u32 = 73;
    pub(in super::super) const BAD_ARGUMENTS: u32 = 36;
    pub(in super::super) const UNKNOWN_SETTING: u32 = 115;
    pub(in super::super) const TIMEOUT_EXCEEDED: u32 = 159;
    pub(in super::super) const READONLY: u32 = 164;
    pub(in super::super) const TOO_MANY_QUERIES: u32 = 202;
    pub(in super::super) const NETWORK_ERROR: u32 = 210;
    pub(in super::super) const QUERY_ID_IN_USE: u32 = 216;
    pub(in super::super) const MEMORY_LIMIT_EXCEEDED: u32 = 241;
    pub(in super::super) const CANNOT_DECOMPRESS: u32 = 271;
    pub(in super::super) const CANNOT_INFLATE: u32 = 354;
    pub(in super::super) const SESSION_NOT_FOUND: u32 = 372;
    pub(in super::super) const SESSION_IS_LOCKED: u32 = 373;
    pub(in super::super) const QUERY_WAS_CANCELLED: u32 = 394;
    pub(in super::super) const THROW_IF: u32 = 395;
    pub(in super::super) const UNKNOWN_PARAMETER: u32 = 456;
    pub(in super::super) const BAD_PARAMETER: u32 = 457;
    pub(in super::super) const AUTHENTICATION_FAILED: u32 = 516;
}

/// The status of a rejected query.
const SERVICE_UNAVAILABLE: u16 = 503;

/// An exception that a query ends with.
#[derive(Clone, Debug)]
pub(super) struct Exception {
    pub(super) code: u32,
    message: String,
}

impl Exception {
    pub(super) fn new(code: u32, message: impl Into<String>) -> Exception {
        Exception {
            code,
            message: message.into(),
        }
    }

    /// One that a statement has asked for.
    pub(super) fn requested(code: u32) -> Exception {
        Exception::new(code, "As was asked for")
    }

    /// As it stands in a response.
    pub(super) fn text(&self) -> String {
        let (code, message) = (self.code, &self.message);
        let name = error_name(code).unwrap_or("UNKNOWN");
        format!(
            "Code: {code}. DB::Exception: {message}. ({name}) (version {VERSION} (official build))"
        )
    }
}

/// Why a query has no result.
#[derive(Debug)]
pub(super) enum QueryError {
    /// An exception, in place of the result.
    Exception(Exception),
    /// The same, before the query began: it never ran.
    Rejected(Exception),
    /// The connection has failed.
    Io(io::Error),
}

impl QueryError {
    /// The status of the response with an exception.
    pub(super) fn http_status(&self) -> u16 {
        match self {
            QueryError::Exception(exception) => http_status(exception.code),
            QueryError::Rejected(_) | QueryError::Io(_) => SERVICE_UNAVAILABLE,
        }
    }
}

impl From<Exception> for QueryError {
    fn from(exception: Exception) -> QueryError {
        QueryError::Exception(exception)
    }
}

impl From<io::Error> for QueryError {
    fn from(error: io::Error) -> QueryError {
        QueryError::Io(error)
    }
}
