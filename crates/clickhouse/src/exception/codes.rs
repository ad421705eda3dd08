//! ClickHouse's error codes: names, HTTP statuses, and what each code implies for the query.
//!
//! Source: ClickHouse's published list of error codes and its table from codes to HTTP statuses.

/// The request or one of its parameters is invalid.
pub const BAD_ARGUMENTS: u32 = 36;
/// The feature is not supported.
pub const NOT_IMPLEMENTED: u32 = 48;
/// The statement can't be parsed.
pub const SYNTAX_ERROR: u32 = 62;
/// The statement writes, but only reads are allowed.
pub const READONLY: u32 = 164;
/// The server already runs its maximum number of queries; this one did not run.
pub const TOO_MANY_QUERIES: u32 = 202;
/// The query failed or timed out and may have run. The coordinator uses this code when the outcome is unknown.
pub const NETWORK_ERROR: u32 = 210;
/// A compressed body can't be decompressed.
pub const CANNOT_DECOMPRESS: u32 = 271;
/// No session has this id.
pub const SESSION_NOT_FOUND: u32 = 372;
/// Another query of the session is running.
pub const SESSION_IS_LOCKED: u32 = 373;
/// The user or key is wrong, missing or ambiguous.
pub const AUTHENTICATION_FAILED: u32 = 516;

/// Default status of an exception.
const INTERNAL_SERVER_ERROR: u16 = 500;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;

/// What an engine's error implies for the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// The engine rejected the query before it started; another engine may run it.
    Rejected,
    /// The statement, its settings, its user or its session is invalid; every engine would return the same error.
    Statement,
    /// The engine failed; the query may have run partially or completely.
    Engine,
}

/// A known error code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorCode {
    /// The number.
    pub code: u32,
    /// The published name.
    pub name: &'static str,
    /// The HTTP status of a response with this error.
    pub http_status: u16,
    /// What the error implies for the query.
    pub class: ErrorClass,
}

const fn rejection(code: u32, name: &'static str, http_status: u16) -> ErrorCode {
    error_code(code, name, http_status, ErrorClass::Rejected)
}

const fn statement_error(code: u32, name: &'static str, http_status: u16) -> ErrorCode {
    error_code(code, name, http_status, ErrorClass::Statement)
}

const fn engine_error(code: u32, name: &'static str, http_status: u16) -> ErrorCode {
    error_code(code, name, http_status, ErrorClass::Engine)
}

const fn error_code(
    code: u32,
    name: &'static str,
    http_status: u16,
    class: ErrorClass,
) -> ErrorCode {
    ErrorCode {
        code,
        name,
        http_status,
        class,
    }
}

/// The codes that the coordinator returns or distinguishes, in ascending order.
pub const ERROR_CODES: &[ErrorCode] = &[
    statement_error(6, "CANNOT_PARSE_TEXT", 400),
    statement_error(8, "THERE_IS_NO_COLUMN", 500),
    statement_error(10, "NOT_FOUND_COLUMN_IN_BLOCK", 500),
    statement_error(15, "DUPLICATE_COLUMN", 500),
    statement_error(16, "NO_SUCH_COLUMN_IN_TABLE", 500),
    statement_error(20, "NUMBER_OF_COLUMNS_DOESNT_MATCH", 500),
    statement_error(26, "CANNOT_PARSE_ESCAPE_SEQUENCE", 400),
    statement_error(27, "CANNOT_PARSE_INPUT_ASSERTION_FAILED", 400),
    statement_error(36, "BAD_ARGUMENTS", 400),
    statement_error(38, "CANNOT_PARSE_DATE", 400),
    statement_error(41, "CANNOT_PARSE_DATETIME", 400),
    statement_error(42, "NUMBER_OF_ARGUMENTS_DOESNT_MATCH", 500),
    statement_error(43, "ILLEGAL_TYPE_OF_ARGUMENT", 500),
    statement_error(44, "ILLEGAL_COLUMN", 500),
    statement_error(46, "UNKNOWN_FUNCTION", 404),
    statement_error(47, "UNKNOWN_IDENTIFIER", 404),
    statement_error(48, "NOT_IMPLEMENTED", 501),
    statement_error(50, "UNKNOWN_TYPE", 404),
    statement_error(51, "EMPTY_LIST_OF_COLUMNS_QUERIED", 500),
    statement_error(53, "TYPE_MISMATCH", 400),
    statement_error(57, "TABLE_ALREADY_EXISTS", 500),
    statement_error(60, "UNKNOWN_TABLE", 404),
    statement_error(62, "SYNTAX_ERROR", 400),
    statement_error(63, "UNKNOWN_AGGREGATE_FUNCTION", 404),
    statement_error(69, "ARGUMENT_OUT_OF_BOUND", 500),
    statement_error(70, "CANNOT_CONVERT_TYPE", 400),
    statement_error(72, "CANNOT_PARSE_NUMBER", 400),
    statement_error(73, "UNKNOWN_FORMAT", 404),
    statement_error(81, "UNKNOWN_DATABASE", 404),
    statement_error(82, "DATABASE_ALREADY_EXISTS", 500),
    statement_error(115, "UNKNOWN_SETTING", 404),
    statement_error(117, "INCORRECT_DATA", 400),
    statement_error(130, "CANNOT_READ_ARRAY_FROM_TEXT", 400),
    statement_error(158, "TOO_MANY_ROWS", 500),
    engine_error(159, "TIMEOUT_EXCEEDED", 408),
    engine_error(160, "TOO_SLOW", 500),
    statement_error(164, "READONLY", 500),
    statement_error(192, "UNKNOWN_USER", 403),
    statement_error(193, "WRONG_PASSWORD", 403),
    statement_error(194, "REQUIRED_PASSWORD", 401),
    rejection(202, "TOO_MANY_SIMULTANEOUS_QUERIES", 500),
    engine_error(209, "SOCKET_TIMEOUT", 503),
    engine_error(210, "NETWORK_ERROR", 500),
    statement_error(216, "QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING", 500),
    engine_error(217, "CANNOT_KILL", 500),
    engine_error(241, "MEMORY_LIMIT_EXCEEDED", 500),
    engine_error(242, "TABLE_IS_READ_ONLY", 500),
    engine_error(246, "CORRUPTED_DATA", 500),
    statement_error(271, "CANNOT_DECOMPRESS", 400),
    statement_error(307, "TOO_MANY_BYTES", 500),
    statement_error(354, "ZLIB_INFLATE_FAILED", 400),
    statement_error(372, "SESSION_NOT_FOUND", 500),
    statement_error(373, "SESSION_IS_LOCKED", 500),
    statement_error(381, "HTTP_LENGTH_REQUIRED", 411),
    statement_error(394, "QUERY_WAS_CANCELLED", 500),
    statement_error(395, "FUNCTION_THROW_IF_VALUE_IS_NON_ZERO", 500),
    statement_error(396, "TOO_MANY_ROWS_OR_BYTES", 500),
    engine_error(439, "CANNOT_SCHEDULE_TASK", 503),
    statement_error(456, "UNKNOWN_QUERY_PARAMETER", 500),
    statement_error(497, "ACCESS_DENIED", 500),
    statement_error(516, "AUTHENTICATION_FAILED", 403),
    engine_error(517, "CANNOT_ASSIGN_ALTER", 500),
    statement_error(636, "CANNOT_EXTRACT_TABLE_STRUCTURE", 500),
];

fn find(code: u32) -> Option<&'static ErrorCode> {
    let index = ERROR_CODES.binary_search_by_key(&code, |known| known.code);
    index.ok().map(|index| &ERROR_CODES[index])
}

/// The published name of a code, if the code is known.
pub fn error_name(code: u32) -> Option<&'static str> {
    find(code).map(|known| known.name)
}

/// The HTTP status of a response with this code.
pub fn http_status(code: u32) -> u16 {
    find(code).map_or(INTERNAL_SERVER_ERROR, |known| known.http_status)
}

/// Classifies an error by its code, or by the HTTP status of the response if there is no code.
pub fn classify(code: Option<u32>, http_status: u16) -> ErrorClass {
    match code {
        Some(code) => find(code).map_or(ErrorClass::Engine, |known| known.class),
        None if matches!(http_status, SERVICE_UNAVAILABLE | TOO_MANY_REQUESTS) => {
            ErrorClass::Rejected
        }
        None => ErrorClass::Engine,
    }
}
