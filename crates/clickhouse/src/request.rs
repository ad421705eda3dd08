//! Requests of ClickHouse's HTTP interface: what a client asks for, wherever it wrote that.

use crate::block;
use crate::coding::{self, Coding};
use crate::credentials::Credentials;
use crate::exception::Exception;
use crate::multipart;
use crate::params::{encode, Params};
use crate::session::{Micros, MAX_SESSION_TIMEOUT};
use crate::sql::{Shape, MAX_SCANNED_BYTES};
use driftfront_http::{header, Request};
use std::fmt::Write as _;

/// Longest name of a query or a session.
pub const MAX_NAME_BYTES: usize = 256;
/// Most rows of headers passed on, in bytes: an engine's own bound on a head is near.
const MAX_HEADERS_BYTES: usize = 8 * 1024;

const BAD_ARGUMENTS: u32 = 36;
const SYNTAX_ERROR: u32 = 62;
const READONLY: u32 = 164;
const READONLY_METHOD: &str =
    "Cannot execute query in readonly mode. For queries over HTTP, method GET implies readonly. You should use method POST for \
     modifying queries";

/// What a client asks for.
#[derive(Debug)]
pub enum Asked {
    /// `/ping`, or `/` without a query: whether anybody is here.
    Ping,
    /// `/replicas_status`: whether it can serve.
    ReplicasStatus,
    /// This program's own: whether it can serve, in the platform's form.
    Alive,
    /// This program's own counters.
    Counters,
    /// OPTIONS: what a page of another origin may ask.
    Options,
    /// A query.
    Query(Box<Query>),
    /// There is no such path.
    NoPath,
    /// The path has no such method.
    NoMethod,
}

/// The session that a query belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Its id, the client's own.
    pub id: String,
    /// It has to exist already.
    pub check: bool,
    /// How long it lives after its last query.
    pub timeout: Option<Micros>,
}

/// A query, as it was asked.
#[derive(Clone, Debug)]
pub struct Query {
    /// What is seen of its statement.
    pub shape: Shape,
    /// The client's name for it.
    pub id: Option<String>,
    /// The class that the client names.
    pub class: Option<String>,
    /// The key of its order that the client names.
    pub key: Option<String>,
    /// `max_execution_time`.
    pub wanted_within: Option<Micros>,
    /// Its session, if it has one.
    pub session: Option<Told>,
    /// Who asks.
    pub credentials: Credentials,
    /// Parameters to be passed on, encoded: each behind an `&`.
    pub target: String,
    /// Headers to be passed on, each with its line's end. They may hold secrets.
    pub headers: Secret,
    /// The result comes in ClickHouse's own compressed blocks.
    pub frames: bool,
    /// The client wants to be told of progress in headers.
    pub progress: bool,
    /// Only the head of the answer is wanted.
    pub head_only: bool,
    /// The client knows chunks.
    pub chunks: bool,
    /// An insert's deduplication token.
    pub token: Option<String>,
}

/// Text that is passed on and never shown.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(pub String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Secret({} bytes)", self.0.len())
    }
}

/// Parameters that this program answers for itself, and doesn't pass on as they came.
const OURS: [&str; 9] = [
    "query_id",
    "max_execution_time",
    "driftfront_class",
    "driftfront_key",
    "user",
    "password",
    "session_check",
    "send_progress_in_http_headers",
    "http_headers_progress_interval_ms",
];

/// Headers that are passed on beside `X-ClickHouse-*`.
const PASSED: [&str; 7] = [
    "content-encoding",
    "content-type",
    "origin",
    "referer",
    "user-agent",
    "traceparent",
    "tracestate",
];

/// Reads a request; where its body goes on, by its beginning.
pub fn read(request: &Request) -> Result<Asked, Exception> {
    let (path, query) = request
        .target
        .split_once('?')
        .unwrap_or((&request.target, ""));
    let method = request.method.as_str();
    let fetch = matches!(method, "GET" | "HEAD");
    Ok(match (method, path) {
        ("OPTIONS", _) => Asked::Options,
        ("GET" | "HEAD", "/ping") => Asked::Ping,
        ("GET" | "HEAD", "/replicas_status") => Asked::ReplicasStatus,
        ("GET" | "HEAD", "/alive") => Asked::Alive,
        ("GET", "/counters") => Asked::Counters,
        ("GET" | "HEAD", "/") if query.is_empty() => Asked::Ping,
        ("GET" | "HEAD" | "POST", "/" | "/query") => {
            Asked::Query(Box::new(read_query(request, query, fetch)?))
        }
        (_, "/" | "/query" | "/ping" | "/replicas_status" | "/alive" | "/counters") => {
            Asked::NoMethod
        }
        _ => Asked::NoPath,
    })
}

fn bad(words: &str) -> Exception {
    Exception::new(BAD_ARGUMENTS, words)
}

/// A name that a client gave: bounded, and nothing that could forge a line.
fn named(what: &str, name: &str) -> Result<String, Exception> {
    if name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        return Err(bad(&format!(
            "{what} is longer than {MAX_NAME_BYTES} bytes or holds control characters"
        )));
    }
    Ok(name.into())
}

fn read_query(request: &Request, query: &str, fetch: bool) -> Result<Query, Exception> {
    let mut params = Params::parse(query).ok_or_else(|| bad("There are too many parameters"))?;
    let credentials = Credentials::read(&params, &request.headers)?;
    let shape = read_statement(request, &mut params, fetch)?;
    let in_url_or_header = |name: &str, in_header: &str| {
        let found = params
            .non_empty(name)
            .or_else(|| header(&request.headers, in_header));
        found.filter(|v| !v.is_empty())
    };
    let id = in_url_or_header("query_id", "X-ClickHouse-Query-Id")
        .map(|id| named("query_id", id))
        .transpose()?;
    let session = match params.non_empty("session_id") {
        Some(id) => Some(read_session(id, &params)?),
        None => None,
    };
    let compressed = params.is_on("enable_http_compression");
    let query = Query {
        id,
        class: in_url_or_header("driftfront_class", "X-Driftfront-Class").map(String::from),
        key: in_url_or_header("driftfront_key", "X-Driftfront-Key").map(String::from),
        wanted_within: seconds(&params, "max_execution_time").map(|s| (s * 1e6) as Micros),
        session,
        target: target(&params),
        headers: headers(request, &credentials, compressed)?,
        credentials,
        frames: params.is_on("compress"),
        progress: params.is_on("send_progress_in_http_headers"),
        head_only: request.method == "HEAD",
        chunks: request.version_1_1,
        token: params
            .non_empty("insert_deduplication_token")
            .map(String::from),
        shape,
    };
    Ok(query)
}

/// What is seen of the statement, wherever it stands; fields of a form join the parameters. The server reads the URL's part first, and
/// the body behind it.
fn read_statement(request: &Request, params: &mut Params, fetch: bool) -> Result<Shape, Exception> {
    let content_type = header(&request.headers, "content-type").unwrap_or_default();
    let in_body = if multipart::is_form(content_type) {
        read_form(request, content_type, params)?
    } else {
        readable(request, params)?
    };
    let in_url = params.get("query").unwrap_or_default();
    let shape = if in_url.trim().is_empty() {
        Shape::of(&in_body)
    } else {
        Shape::of(in_url)
    };
    if shape.empty {
        return Err(Exception::new(SYNTAX_ERROR, "Empty query"));
    }
    if fetch && !shape.reads {
        return Err(Exception::new(READONLY, READONLY_METHOD));
    }
    Ok(shape)
}

/// A parameter in seconds, above 0.
fn seconds(params: &Params, name: &str) -> Option<f64> {
    let seconds = params.get(name)?.parse::<f64>().ok()?;
    (seconds > 0.0).then_some(seconds)
}

fn read_session(id: &str, params: &Params) -> Result<Told, Exception> {
    let timeout = match params.non_empty("session_timeout") {
        None => None,
        Some(text) => {
            let seconds: u64 = text
                .parse()
                .map_err(|_| bad(&format!("Invalid session timeout: '{text}'")))?;
            let most = MAX_SESSION_TIMEOUT / 1_000_000;
            if seconds > most {
                let words = format!(
                    "Session timeout '{seconds}' is larger than max_session_timeout: {most}"
                );
                return Err(bad(&words));
            }
            Some(seconds * 1_000_000)
        }
    };
    Ok(Told {
        id: named("session_id", id)?,
        check: params.is_on("session_check"),
        timeout,
    })
}

/// The form's own fields join the parameters; answers with the field `query`.
fn read_form(
    request: &Request,
    content_type: &str,
    params: &mut Params,
) -> Result<String, Exception> {
    let boundary = multipart::boundary(content_type)
        .ok_or_else(|| bad("multipart/form-data without a boundary that can be used"))?;
    if request.has_more_body {
        // Only its beginning is here: what it asks has to stand in the URL.
        if params.non_empty("query").is_none() {
            return Err(bad("A form this large needs its query in the URL"));
        }
        return Ok(String::new());
    }
    let parts = multipart::parse(&request.body, &boundary)
        .map_err(|why| bad(&format!("multipart/form-data can't be read: {why}")))?;
    let mut statement = String::new();
    for part in parts.iter().filter(|p| p.file.is_none()) {
        let value = String::from_utf8_lossy(&request.body[part.data.clone()]).into_owned();
        if part.name == "query" {
            statement = value;
        } else if part.name.starts_with("driftfront_") || part.name.starts_with("session_") {
            params.push(&part.name, &value);
        }
    }
    Ok(statement)
}

/// The beginning of a body as text, unpacked where it is packed.
fn readable(request: &Request, params: &Params) -> Result<String, Exception> {
    // With the statement in the URL the body holds rows alone.
    if params.non_empty("query").is_some() || request.body.is_empty() {
        return Ok(String::new());
    }
    let mut first: Vec<u8> = match header(&request.headers, "content-encoding") {
        Some(name) if !name.eq_ignore_ascii_case("identity") => {
            let coding = Coding::from_name(name).ok_or_else(|| {
                Exception::new(
                    48,
                    &format!("Content-Encoding {name} is not supported here"),
                )
            })?;
            coding::decompress_prefix(coding, &request.body, MAX_SCANNED_BYTES)
        }
        _ => request.body[..request.body.len().min(MAX_SCANNED_BYTES)].to_vec(),
    };
    if params.is_on("decompress") {
        let packed = if first.len() < MAX_SCANNED_BYTES {
            &first
        } else {
            &request.body
        };
        let unpacked = block::decompress_prefix(packed, MAX_SCANNED_BYTES)
            .map_err(|e| Exception::new(271, &format!("Cannot decompress the body: {e}")))?;
        first = unpacked.data;
    }
    first.truncate(MAX_SCANNED_BYTES);
    Ok(String::from_utf8_lossy(&first).into_owned())
}

fn target(params: &Params) -> String {
    let mut target = String::new();
    for (name, value) in params.iter().filter(|p| !OURS.contains(&p.0)) {
        target.push('&');
        encode(name, &mut target);
        target.push('=');
        encode(value, &mut target);
    }
    target
}

fn headers(
    request: &Request,
    credentials: &Credentials,
    compressed: bool,
) -> Result<Secret, Exception> {
    let mut text = String::new();
    for (name, value) in &request.headers {
        let lower = name.to_ascii_lowercase();
        let passed = PASSED.contains(&lower.as_str())
            || lower.starts_with("x-clickhouse-") && lower != "x-clickhouse-query-id";
        if passed && !Credentials::is_one(name) {
            let _ = write!(text, "{name}: {value}\r\n");
        }
    }
    if compressed {
        // Only codings that can be followed are offered to engines: a result that can't be watched can't be trusted.
        let told = header(&request.headers, "accept-encoding").unwrap_or_default();
        let known = told
            .split(',')
            .filter(|c| Coding::from_name(c.split(';').next().unwrap_or_default()).is_some());
        let known: Vec<&str> = known.map(str::trim).collect();
        if !known.is_empty() {
            let _ = write!(text, "Accept-Encoding: {}\r\n", known.join(", "));
        }
    }
    for (name, value) in credentials.headers() {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if text.len() > MAX_HEADERS_BYTES {
        return Err(bad("The headers to be passed on are too long"));
    }
    Ok(Secret(text))
}
