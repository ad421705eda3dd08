//! The ClickHouse HTTP interface for engines: one query at a time per connection.
//!
//! | module | purpose |
//! | --- | --- |
//! | `session` | the state of a connection |
//! | `request` | serialization of queries |
//! | `response` | processing of one response |
//! | `cause` | maps engine errors to failure causes |

mod cause;
mod request;
mod response;
mod session;

use driftfront_clickhouse::result_checker::ResultError;
use driftfront_http::HttpError;

pub use session::HttpSession;

/// Name of a parameter in [`driftfront_core::ParsedRequest::parameters`] that the frontend sets for this backend: encoded URL
/// parameters, each preceded by `&`.
pub const URL_PARAMETERS: &str = "target";
/// Parameter with header fields, each followed by a line break. See [`URL_PARAMETERS`].
pub const REQUEST_HEADERS: &str = "headers";
/// Parameter that is present if the result is requested in compressed blocks. See [`URL_PARAMETERS`].
pub const COMPRESSED_BLOCKS: &str = "frames";

/// Header that engines send repeatedly while a query runs, before the head of the response is complete.
const PROGRESS_HEADER: &str = "X-ClickHouse-Progress";
/// Header with the query id on the engine.
const QUERY_ID_HEADER: &str = "X-ClickHouse-Query-Id";

/// Why a connection can't be decoded any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClickHouseError {
    /// The response is not valid HTTP.
    #[error("invalid HTTP: {0}")]
    Http(HttpError),
    /// A duplicate of an earlier response, or a response to another query.
    #[error("response to another query")]
    OtherQuery,
    /// A response without a request.
    #[error("response without a request")]
    Unsolicited,
    /// An unknown content coding, so that the result can't be checked.
    #[error("unsupported content coding {0}")]
    UnknownCoding(String),
    /// The result is invalid.
    #[error(transparent)]
    Result(#[from] ResultError),
}
