//! Parameters and header fields that are forwarded to engines.

use super::{RequestError, Secret};
use crate::coding::Coding;
use crate::credentials::Credentials;
use crate::params::{encode, Params};
use driftfront_http::{header, Request};
use std::fmt::Write as _;

/// Maximum total size of forwarded header fields. An engine's limit on the whole head is only slightly higher.
const MAX_FORWARDED_HEADERS_BYTES: usize = 8 * 1024;

/// Parameters that the coordinator handles itself and doesn't forward unchanged.
const OWN_PARAMS: [&str; 9] = [
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

/// Forwarded header fields, in addition to those that start with [`CLICKHOUSE_PREFIX`].
const FORWARDED_HEADERS: [&str; 7] = [
    "content-encoding",
    "content-type",
    "origin",
    "referer",
    "user-agent",
    "traceparent",
    "tracestate",
];
const CLICKHOUSE_PREFIX: &str = "x-clickhouse-";
/// Not forwarded, since each attempt has its own id.
const QUERY_ID_HEADER: &str = "x-clickhouse-query-id";

/// The forwarded parameters, percent-encoded, each preceded by `&`.
pub(super) fn params(params: &Params) -> String {
    let mut encoded = String::new();
    for (name, value) in params.iter().filter(|(name, _)| !OWN_PARAMS.contains(name)) {
        encoded.push('&');
        encode(name, &mut encoded);
        encoded.push('=');
        encode(value, &mut encoded);
    }
    encoded
}

/// The forwarded header fields, each followed by a line break. `accepts_compression` says whether the client enabled
/// content codings (`enable_http_compression`).
pub(super) fn headers(
    request: &Request,
    credentials: &Credentials,
    accepts_compression: bool,
) -> Result<Secret, RequestError> {
    let mut text = String::new();
    let mut add = |name: &str, value: &str| {
        let _ = write!(text, "{name}: {value}\r\n");
    };
    for (name, value) in request.headers.iter().filter(|h| is_forwarded(&h.0)) {
        add(name, value);
    }
    if accepts_compression {
        let accepted = header(&request.headers, "accept-encoding").unwrap_or_default();
        let codings = known_codings(accepted);
        if !codings.is_empty() {
            add("Accept-Encoding", &codings);
        }
    }
    for (name, value) in credentials.headers() {
        add(name, value);
    }
    if text.len() > MAX_FORWARDED_HEADERS_BYTES {
        return Err(RequestError::HeadersTooLong);
    }
    Ok(Secret(text))
}

fn is_forwarded(name: &str) -> bool {
    if Credentials::is_credentials_header(name) {
        return false;
    }
    let name = name.to_ascii_lowercase();
    let is_clickhouse = name.starts_with(CLICKHOUSE_PREFIX) && name != QUERY_ID_HEADER;
    is_clickhouse || FORWARDED_HEADERS.contains(&name.as_str())
}

/// Filters an `Accept-Encoding` for supported codings: a result that can't be decoded can't be checked for errors.
fn known_codings(accept_encoding: &str) -> String {
    let is_known = |item: &&str| {
        let name = item.split(';').next().unwrap_or_default();
        Coding::from_name(name).is_some()
    };
    let items = accept_encoding.split(',').filter(is_known);
    let items: Vec<&str> = items.map(str::trim).collect();
    items.join(", ")
}
