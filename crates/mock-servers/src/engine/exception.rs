//! Exceptions in ClickHouse's format.

use driftfront_clickhouse::exception::{error_name, http_status};
use std::io;

/// The server version in exceptions.
const VERSION: &str = "24.8.4.13";

/// Exception codes, by ClickHouse's names.
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

/// The HTTP status of a rejected query.
const SERVICE_UNAVAILABLE: u16 = 503;

/// The exception of a failed query.
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

    /// The exception that a statement requests as a fault.
    pub(super) fn requested(code: u32) -> Exception {
        Exception::new(code, "As was asked for")
    }

    /// The exception of another server that a query on this one used.
    pub(super) fn remote(code: u32) -> Exception {
        let message = "Received from other-server:9000. DB::Exception: As was asked for";
        Exception::new(code, message)
    }

    /// Formats the exception for a response.
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
    /// The query failed.
    Exception(Exception),
    /// The query was rejected before it started.
    Rejected(Exception),
    /// The connection failed.
    Io(io::Error),
}

impl QueryError {
    /// The HTTP status of the response.
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
