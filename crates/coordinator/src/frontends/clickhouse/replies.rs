//! Responses without an engine: exceptions, pings, readiness.

use super::codes::BAD_ARGUMENTS;
use crate::frontends::FrontendAction;
use driftfront_clickhouse::exception::{Exception, TOO_MANY_QUERIES};
use driftfront_clickhouse::request::ClientRequest;
use driftfront_http::{response, response_head, BodyFraming, HttpError};

const TEXT: (&str, &str) = ("Content-Type", "text/plain; charset=UTF-8");
const HTML: (&str, &str) = ("Content-Type", "text/html; charset=UTF-8");
/// The message of a rejection without an engine's error.
pub(super) const OVERLOADED: &str = "Overloaded, try again later";
const EXCEPTION_CODE_HEADER: &str = "X-ClickHouse-Exception-Code";
/// CORS headers in the response to a preflight request.
const CROSS_ORIGIN_HEADERS: [(&str, &str); 4] = [
    ("Access-Control-Allow-Origin", "*"),
    ("Access-Control-Allow-Methods", "POST, GET, OPTIONS"),
    (
        "Access-Control-Allow-Headers",
        "origin, x-requested-with, x-clickhouse-format, x-clickhouse-user, x-clickhouse-key, \
         Authorization",
    ),
    ("Access-Control-Max-Age", "86400"),
];

/// The response to a request that is not a query.
pub(super) fn reply_to(request: &ClientRequest, head_only: bool) -> FrontendAction {
    let page = |status: u16, body: &str| complete_response(status, &[HTML], body, head_only);
    match request {
        ClientRequest::Ping => FrontendAction::Reply(page(200, "Ok.\n")),
        ClientRequest::ReplicasStatus => FrontendAction::ReportReadiness {
            ready: page(200, "Ok.\n"),
            not_ready: page(503, "No engine takes queries now.\n"),
        },
        ClientRequest::Alive => FrontendAction::ReportReadiness {
            ready: page(200, ""),
            not_ready: page(503, ""),
        },
        ClientRequest::Counters => FrontendAction::ReportCounters,
        ClientRequest::Options => {
            FrontendAction::Reply(response(204, &CROSS_ORIGIN_HEADERS, b"", false))
        }
        ClientRequest::UnsupportedMethod => FrontendAction::RejectBadRequest(page(405, "")),
        ClientRequest::UnknownPath => {
            FrontendAction::RejectBadRequest(page(404, "There is no such path here.\n"))
        }
        ClientRequest::Query(_) => FrontendAction::RejectBadRequest(page(500, "")),
    }
}

/// A response with an exception and the status for its code.
pub(super) fn exception(e: &Exception, head_only: bool) -> Vec<u8> {
    exception_with(e.status(), e, &[], head_only)
}

/// A response with an exception, the given status and additional headers.
pub(super) fn exception_with(
    status: u16,
    e: &Exception,
    more_headers: &[(&str, &str)],
    head_only: bool,
) -> Vec<u8> {
    let code = e.code.to_string();
    let mut headers = vec![TEXT, (EXCEPTION_CODE_HEADER, code.as_str())];
    headers.extend(more_headers);
    complete_response(status, &headers, &format!("{e}\n"), head_only)
}

/// The response to an incomplete request for which there is no memory; the connection is closed after it.
pub(super) fn overloaded() -> Vec<u8> {
    closing_exception(429, &Exception::new(TOO_MANY_QUERIES, OVERLOADED))
}

/// The response to a malformed request.
pub(super) fn http_error(error: HttpError) -> Vec<u8> {
    let text = match error {
        HttpError::Malformed => "The request can't be read as HTTP",
        HttpError::BodyTooLarge => "The body is too large",
        HttpError::HeadTooLarge => {
            "The URL and headers are too long, or there is no room for them now"
        }
    };
    closing_exception(error.status(), &Exception::new(BAD_ARGUMENTS, text))
}

/// A response with an exception, after which the connection is closed.
fn closing_exception(status: u16, e: &Exception) -> Vec<u8> {
    let code = e.code.to_string();
    let headers = [TEXT, (EXCEPTION_CODE_HEADER, &code)];
    response(status, &headers, format!("{e}\n").as_bytes(), true)
}

/// A complete response, or only its head.
fn complete_response(
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
    head_only: bool,
) -> Vec<u8> {
    let mut bytes = response_head(status, headers, BodyFraming::Length(body.len()), false);
    if !head_only {
        bytes.extend(body.bytes());
    }
    bytes
}
