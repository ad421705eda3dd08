//! Requests of ClickHouse's HTTP interface: what a client asks for, wherever in the request it is written.
//!
//! | module | job |
//! | --- | --- |
//! | `query` | a query's parameters, session and credentials |
//! | `statement` | finds the statement: in the URL, in a form or in the body |
//! | `forwarded` | the parameters and header fields that are forwarded to an engine |
//! | `error` | why a request can't be accepted |

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

/// Longest id of a query or a session.
pub const MAX_ID_BYTES: usize = 256;

/// What a client asks for.
#[derive(Debug)]
pub enum ClientRequest {
    /// `/ping`, or `/` without a query.
    Ping,
    /// `/replicas_status`: whether queries can be served.
    ReplicasStatus,
    /// `/alive`: whether queries can be served, in the platform's form.
    Alive,
    /// `/counters`: this program's counters.
    Counters,
    /// OPTIONS: a cross-origin preflight request.
    Options,
    /// A query.
    Query(Box<Query>),
    /// The path is unknown.
    UnknownPath,
    /// The path does not support the method.
    UnsupportedMethod,
}

/// The session that a query names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionParams {
    /// `session_id`: the client's own.
    pub id: String,
    /// `session_check`: the session must exist already.
    pub must_exist: bool,
    /// `session_timeout`: how long it lives after its last query.
    pub timeout: Option<Micros>,
}

/// A query and its parameters.
#[derive(Clone, Debug)]
pub struct Query {
    /// What the statement is.
    pub statement: Statement,
    /// `query_id`: the client's own id for it.
    pub id: Option<String>,
    /// `driftfront_class`: its class.
    pub class: Option<String>,
    /// `driftfront_key`: queries with the same key run in order.
    pub ordering_key: Option<String>,
    /// `max_execution_time`.
    pub max_execution_time: Option<Micros>,
    /// Its session, if it names one.
    pub session: Option<SessionParams>,
    /// Who asks.
    pub credentials: Credentials,
    /// Parameters to forward, percent-encoded, each behind an `&`.
    pub forwarded_params: String,
    /// Header fields to forward, each with its line's end. They may hold secrets.
    pub forwarded_headers: Secret,
    /// `compress`: the result is to come in ClickHouse's compressed blocks.
    pub wants_blocks: bool,
    /// `send_progress_in_http_headers`.
    pub wants_progress: bool,
    /// HEAD: the response has no body.
    pub is_head: bool,
    /// The client speaks HTTP/1.1 and understands chunked responses.
    pub supports_chunked: bool,
    /// `insert_deduplication_token`.
    pub deduplication_token: Option<String>,
}

/// Text that is forwarded and never shown.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({} bytes)", self.0.len())
    }
}

/// Parses a request. Of a body that is still arriving, the beginning is enough.
///
/// # Errors
///
/// Why a query can't be accepted.
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
