//! Parsing of a query's parameters, session and credentials.

use super::{
    deduplication, forwarded, statement, Query, RequestError, SessionParams, MAX_ID_BYTES,
};
use crate::credentials::Credentials;
use crate::params::Params;
use crate::session::{Micros, MAX_SESSION_TIMEOUT, MICROS_PER_SECOND};
use driftfront_http::{header, Request};

/// Parses a query. Some fields of a form are treated like parameters in the URL.
pub(super) fn parse(request: &Request, query_string: &str) -> Result<Query, RequestError> {
    let mut params = Params::parse(query_string).ok_or(RequestError::TooManyParams)?;
    let credentials = Credentials::parse(&params, &request.headers)?;
    let statement = statement::find(request, &mut params)?;
    let param_or_header = |param: &str, field: &str| {
        let value = params
            .non_empty(param)
            .or_else(|| header(&request.headers, field))?;
        (!value.is_empty()).then(|| value.to_string())
    };
    let id = param_or_header("query_id", "X-ClickHouse-Query-Id");
    let id = id.map(|id| checked_id("query_id", &id)).transpose()?;
    Ok(Query {
        is_deduplicated: deduplication::is_deduplicated(&params, &statement),
        statement,
        id,
        class: param_or_header("driftfront_class", "X-Driftfront-Class"),
        ordering_key: param_or_header("driftfront_key", "X-Driftfront-Key"),
        max_execution_time: positive_seconds(&params, "max_execution_time"),
        session: parse_session(&params)?,
        forwarded_params: forwarded::params(&params),
        forwarded_headers: forwarded::headers(
            request,
            &credentials,
            params.is_on("enable_http_compression"),
        )?,
        credentials,
        wants_blocks: params.is_on("compress"),
        wants_progress: params.is_on("send_progress_in_http_headers"),
        is_head: request.method == "HEAD",
        supports_chunked: request.version_1_1,
        deduplication_token: params
            .non_empty("insert_deduplication_token")
            .map(String::from),
    })
}

/// Checks an id chosen by a client: its length, and that no control characters could inject a header line.
fn checked_id(param: &'static str, id: &str) -> Result<String, RequestError> {
    if id.len() > MAX_ID_BYTES || id.chars().any(char::is_control) {
        return Err(RequestError::InvalidId { param });
    }
    Ok(id.into())
}

/// Parses a parameter in fractional seconds; `None` unless it is a number above 0.
#[allow(
    clippy::cast_possible_truncation,
    reason = "a float beyond the integer's range becomes its maximum"
)]
fn positive_seconds(params: &Params, name: &str) -> Option<Micros> {
    let seconds = params.get(name)?.parse::<f64>().ok()?;
    (seconds > 0.0).then_some((seconds * MICROS_PER_SECOND as f64) as Micros)
}

fn parse_session(params: &Params) -> Result<Option<SessionParams>, RequestError> {
    let Some(id) = params.non_empty("session_id") else {
        return Ok(None);
    };
    let timeout = params.non_empty("session_timeout");
    let timeout = timeout.map(parse_session_timeout).transpose()?;
    Ok(Some(SessionParams {
        id: checked_id("session_id", id)?,
        must_exist: params.is_on("session_check"),
        timeout,
    }))
}

fn parse_session_timeout(text: &str) -> Result<Micros, RequestError> {
    let max_seconds = MAX_SESSION_TIMEOUT / MICROS_PER_SECOND;
    let seconds: u64 = text
        .parse()
        .map_err(|_| RequestError::InvalidSessionTimeout(text.into()))?;
    if seconds > max_seconds {
        return Err(RequestError::SessionTimeoutTooLong {
            seconds,
            max_seconds,
        });
    }
    Ok(seconds * MICROS_PER_SECOND)
}
