//! Extraction of a query's statement from the URL, a form or the body.

use super::RequestError;
use crate::block;
use crate::coding::{self, Coding};
use crate::multipart;
use crate::params::Params;
use crate::sql::{Statement, MAX_SCANNED_BYTES};
use driftfront_http::{header, Request};

/// Prefixes of form fields that are treated like parameters in the URL.
const FORM_PARAM_PREFIXES: [&str; 2] = ["driftfront_", "session_"];

/// Finds and scans the statement, and adds fields of a form to the parameters. If both the URL and the body have text,
/// the server concatenates them, starting with the URL's, so the URL's text is scanned.
pub(super) fn find(request: &Request, params: &mut Params) -> Result<Statement, RequestError> {
    let content_type = header(&request.headers, "content-type").unwrap_or_default();
    let in_body = if multipart::is_form(content_type) {
        read_form(request, content_type, params)?
    } else {
        read_body(request, params)?
    };
    let in_url = params.get("query").unwrap_or_default();
    let text = if in_url.trim().is_empty() {
        in_body.as_str()
    } else {
        in_url
    };
    let statement = Statement::scan(text);
    if statement.is_empty {
        return Err(RequestError::EmptyQuery);
    }
    let is_read_only_method = matches!(request.method.as_str(), "GET" | "HEAD");
    if is_read_only_method && !statement.is_read {
        return Err(RequestError::ReadOnlyMethod);
    }
    Ok(statement)
}

/// Returns the form's `query` field and adds fields with known prefixes to the parameters.
fn read_form(
    request: &Request,
    content_type: &str,
    params: &mut Params,
) -> Result<String, RequestError> {
    let boundary = multipart::parse_boundary(content_type).ok_or(RequestError::NoBoundary)?;
    if request.has_more_body {
        // The fields of an incomplete form are unknown, so the query has to be in the URL.
        if params.non_empty("query").is_none() {
            return Err(RequestError::FormTooLarge);
        }
        return Ok(String::new());
    }
    let parts = multipart::parse(&request.body, &boundary)?;
    let mut statement = String::new();
    for part in parts.iter().filter(|part| part.file_name.is_none()) {
        let value = String::from_utf8_lossy(&request.body[part.content.clone()]).into_owned();
        let has_prefix = |prefix: &&str| part.name.starts_with(prefix);
        if part.name == "query" {
            statement = value;
        } else if FORM_PARAM_PREFIXES.iter().any(has_prefix) {
            params.push(&part.name, &value);
        }
    }
    Ok(statement)
}

/// The first part of a body as text, decoded and decompressed.
fn read_body(request: &Request, params: &Params) -> Result<String, RequestError> {
    // If the statement is in the URL, the body only contains rows.
    if params.non_empty("query").is_some() || request.body.is_empty() {
        return Ok(String::new());
    }
    let mut text = decode_beginning(request)?;
    if params.is_on("decompress") {
        // A block may be larger than the decoded part; then blocks are read from the body directly.
        let blocks = if text.len() < MAX_SCANNED_BYTES {
            &text
        } else {
            &request.body
        };
        text = block::decompress_prefix(blocks, MAX_SCANNED_BYTES)?.data;
    }
    text.truncate(MAX_SCANNED_BYTES);
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// At most [`MAX_SCANNED_BYTES`] of the body, with the content coding decoded.
fn decode_beginning(request: &Request) -> Result<Vec<u8>, RequestError> {
    match header(&request.headers, "content-encoding") {
        Some(name) if !name.eq_ignore_ascii_case("identity") => {
            let coding = Coding::from_name(name)
                .ok_or_else(|| RequestError::UnsupportedCoding(name.into()))?;
            let beginning = coding::decompress_prefix(coding, &request.body, MAX_SCANNED_BYTES);
            Ok(beginning)
        }
        _ => Ok(request.body[..request.body.len().min(MAX_SCANNED_BYTES)].to_vec()),
    }
}
