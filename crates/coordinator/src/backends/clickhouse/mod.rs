//! ClickHouse's HTTP interface towards engines: one query at a time on a connection.
//!
//! | module | job |
//! | --- | --- |
//! | `session` | the connection's state: what is in flight, and its end |
//! | `request` | the bytes of a query |
//! | `response` | one response, from its head to its end |
//! | `cause` | what an error of an engine says of the attempt |

mod cause;
mod request;
mod response;
mod session;

use driftfront_clickhouse::result_checker::ResultError;
use driftfront_http::HttpError;

pub use session::HttpSession;

/// Names in [`driftfront_core::ParsedRequest::parameters`] of what the frontend tells this backend: URL parameters, encoded, each behind
/// an `&`.
pub const URL_PARAMETERS: &str = "target";
/// Headers, each with its line's end. See [`URL_PARAMETERS`].
pub const REQUEST_HEADERS: &str = "headers";
/// There where the result comes in compressed blocks. See [`URL_PARAMETERS`].
pub const COMPRESSED_BLOCKS: &str = "frames";

/// Header that engines send for as long as a query runs, before the head of the response is complete.
const PROGRESS_HEADER: &str = "X-ClickHouse-Progress";
/// Header with the query's name on its engine.
const QUERY_ID_HEADER: &str = "X-ClickHouse-Query-Id";

/// Why nothing more can be read on a connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClickHouseError {
    /// It is not HTTP.
    #[error("bad HTTP: {0:?}")]
    Http(HttpError),
    /// A second copy of an earlier response, or somebody else's.
    #[error("an answer to another query")]
    OtherQuery,
    /// A response without a request.
    #[error("an answer that nobody asked for")]
    Unsolicited,
    /// A content coding that the result can't be checked under.
    #[error("content coding {0} can't be followed")]
    UnknownCoding(String),
    /// The result is broken.
    #[error(transparent)]
    Result(#[from] ResultError),
}
