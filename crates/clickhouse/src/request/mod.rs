//! Parsing of requests to the ClickHouse HTTP interface.
//!
//! | module | purpose |
//! | --- | --- |
//! | `query` | a query's parameters, session and credentials |
//! | `statement` | finds the statement: in the URL, in a form or in the body |
//! | `deduplication` | whether engines drop repeats of a statement |
//! | `forwarded` | the parameters and header fields that are forwarded to an engine |
//! | `error` | errors in requests |

mod deduplication;
mod error;
mod forwarded;
mod query;
mod statement;

pub use error::RequestError;

use crate::credentials::Credentials;
use crate::session::Micros;
use crate::sql::Statement;
use driftfront_http::Request;
use std::fmt;

/// Maximum length of a query id or session id.
pub const MAX_ID_BYTES: usize = 256;

/// A parsed client request.
#[derive(Debug)]
pub enum ClientRequest {
    /// `/ping`, or `/` without a query string.
    Ping,
    /// `/replicas_status`: whether queries can be served.
    ReplicasStatus,
    /// `/alive`: whether queries can be served, with an empty body as in the platform's protocol.
    Alive,
    /// `/counters`: the coordinator's counters.
    Counters,
    /// OPTIONS: a cross-origin preflight request.
    Options,
    /// A query.
    Query(Box<Query>),
    /// A request for an unknown path.
    UnknownPath,
    /// A known path with a method that it does not support.
    UnsupportedMethod,
}

/// The session parameters of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionParams {
    /// `session_id`, chosen by the client.
    pub id: String,
    /// `session_check`: the session must exist already.
    pub must_exist: bool,
    /// `session_timeout`: how long the session lives after its last query.
    pub timeout: Option<Micros>,
}

/// A query with its parameters.
#[derive(Clone, Debug)]
pub struct Query {
    /// The scanned statement.
    pub statement: Statement,
    /// `query_id`, chosen by the client.
    pub id: Option<String>,
    /// `driftfront_class`: the class.
    pub class: Option<String>,
    /// `driftfront_key`: queries with the same key run in order.
    pub ordering_key: Option<String>,
    /// `max_execution_time`.
    pub max_execution_time: Option<Micros>,
    /// The session, if the query names one.
    pub session: Option<SessionParams>,
    /// The client's credentials.
    pub credentials: Credentials,
    /// Parameters to forward, percent-encoded, each preceded by `&`.
    pub forwarded_params: String,
    /// Header fields to forward, each followed by a line break. They may contain secrets.
    pub forwarded_headers: Secret,
    /// `compress`: the result is requested in ClickHouse's compressed blocks.
    pub wants_blocks: bool,
    /// `send_progress_in_http_headers`.
    pub wants_progress: bool,
    /// The method is HEAD: the response has no body.
    pub is_head: bool,
    /// The client uses HTTP/1.1, which supports chunked responses.
    pub supports_chunked: bool,
    /// `insert_deduplication_token`.
    pub deduplication_token: Option<String>,
    /// Engines use the token to drop repeats: the statement is an INSERT, and none of its settings turns deduplication off.
    pub is_deduplicated: bool,
}

/// Text that is forwarded but never logged.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({} bytes)", self.0.len())
    }
}

/// Parses a request. The first part of a streamed body is sufficient.
///
/// # Errors
///
/// If a query is invalid.
pub fn parse(request: &Request) -> Result<ClientRequest, RequestError> {
    let (path, query_string) = request
        .target
        .split_once('?')
        .unwrap_or((&request.target, ""));
    Ok(match (request.method.as_str(), path) {
        ("OPTIONS", _) => ClientRequest::Options,
        ("GET" | "HEAD", "/ping") => ClientRequest::Ping,
        ("GET" | "HEAD", "/replicas_status") => ClientRequest::ReplicasStatus,
        ("GET" | "HEAD", "/alive") => ClientRequest::Alive,
        ("GET", "/counters") => ClientRequest::Counters,
        ("GET" | "HEAD", "/") if query_string.is_empty() => ClientRequest::Ping,
        ("GET" | "HEAD" | "POST", "/" | "/query") => {
            ClientRequest::Query(Box::new(query::parse(request, query_string)?))
        }
        (_, "/" | "/query" | "/ping" | "/replicas_status" | "/alive" | "/counters") => {
            ClientRequest::UnsupportedMethod
        }
        _ => ClientRequest::UnknownPath,
    })
}
