//! Extraction of a query's statement from the URL, a form or the body.

use super::RequestError;
use crate::block;
use crate::body_budget::MAX_BUFFERED_BYTES;
use crate::coding::{self, Coding};
use crate::multipart;
use crate::params::Params;
use crate::sql::{Statement, StatementStart, MAX_SCANNED_BYTES, USUAL_SCANNED_BYTES};
use driftfront_http::{header, Request};
use std::borrow::Cow;

/// Prefixes of form fields that are treated like parameters in the URL.
const FORM_PARAM_PREFIXES: [&str; 2] = ["driftfront_", "session_"];

/// Maximum length of the compressed blocks from which the start of a statement is read.
const MAX_BLOCKS_BYTES: usize = MAX_BUFFERED_BYTES;

/// Finds and scans the statement, and adds fields of a form to the parameters.
pub(super) fn find(request: &Request, params: &mut Params) -> Result<Statement, RequestError> {
    let source = StatementSource::find(request, params)?;
    let statement = source.scan()?;
    if statement.is_empty {
        return Err(RequestError::EmptyQuery);
    }
    let is_read_only_method = matches!(request.method.as_str(), "GET" | "HEAD");
    if is_read_only_method && !statement.is_read {
        return Err(RequestError::ReadOnlyMethod);
    }
    Ok(statement)
}

/// Where the text of a statement comes from.
struct StatementSource<'a> {
    request: &'a Request,
    /// The texts of `query` in the URL and in a form.
    fields: Vec<String>,
    /// Whether the statement continues in the body, or is there altogether.
    has_body: bool,
    /// Whether the body is in compressed blocks.
    has_blocks: bool,
}

impl StatementSource<'_> {
    fn find<'a>(
        request: &'a Request,
        params: &mut Params,
    ) -> Result<StatementSource<'a>, RequestError> {
        let content_type = header(&request.headers, "content-type").unwrap_or_default();
        let is_form = multipart::is_form(content_type);
        let in_form = if is_form {
            read_form(request, content_type, params)?
        } else {
            Vec::new()
        };
        let in_url = params.iter().filter(|(name, _)| *name == "query");
        let in_url = in_url.map(|(_, text)| text.to_string());
        let mut fields: Vec<String> = in_url.chain(in_form).collect();
        fields.retain(|text| !text.trim().is_empty());
        Ok(StatementSource {
            request,
            fields,
            has_body: !is_form && (!request.body.is_empty() || request.has_more_body),
            has_blocks: params.is_on("decompress"),
        })
    }

    /// Scans the statement, as much of it as is needed.
    fn scan(&self) -> Result<Statement, RequestError> {
        let mut statement = Statement::default();
        for max_bytes in [USUAL_SCANNED_BYTES, MAX_SCANNED_BYTES] {
            statement = self.scan_start(max_bytes)?;
            if !statement.is_undecided {
                break;
            }
        }
        let reads_in_each = || self.fields.iter().all(|text| Statement::scan(text).is_read);
        if self.fields.len() > 1 && !reads_in_each() {
            // Servers may run all texts as one statement, or one of them.
            statement.is_read = false;
            statement.is_idempotent = false;
            statement.is_insert = false;
        }
        Ok(statement)
    }

    fn scan_start(&self, max_bytes: usize) -> Result<Statement, RequestError> {
        let fields = self.fields.join("\n");
        let in_fields = StatementStart::of(&fields, max_bytes);
        if !self.has_body {
            return Ok(Statement::scan_start(&in_fields));
        }
        if self.fields.is_empty() {
            return Ok(Statement::scan_start(&self.read_body(max_bytes)?));
        }
        let statement = Statement::scan_start(&StatementStart {
            is_complete: false,
            ..in_fields.clone()
        });
        if !statement.is_undecided || !in_fields.is_complete {
            return Ok(statement);
        }
        // The server appends the body to the text in the URL, after a line feed.
        let Ok(in_body) = self.read_body(max_bytes - fields.len()) else {
            return Ok(statement);
        };
        Ok(Statement::scan_start(&StatementStart {
            text: format!("{fields}\n{}", in_body.text).into(),
            is_complete: in_body.is_complete,
        }))
    }

    /// Reads up to `max_bytes` of the body as text, decoded and decompressed.
    fn read_body(&self, max_bytes: usize) -> Result<StatementStart<'static>, RequestError> {
        let start = if self.has_blocks {
            decompress_blocks(&decode_body(self.request, MAX_BLOCKS_BYTES)?, max_bytes)?
        } else {
            decode_body(self.request, max_bytes)?
        };
        let length = start.bytes.len().min(max_bytes);
        Ok(StatementStart {
            text: String::from_utf8_lossy(&start.bytes[..length])
                .into_owned()
                .into(),
            is_complete: start.is_complete && length == start.bytes.len(),
        })
    }
}

/// Returns the texts of the form's fields `query` and adds fields with known prefixes to the parameters.
fn read_form(
    request: &Request,
    content_type: &str,
    params: &mut Params,
) -> Result<Vec<String>, RequestError> {
    let boundary = multipart::parse_boundary(content_type).ok_or(RequestError::NoBoundary)?;
    if request.has_more_body {
        // The fields of an incomplete form are unknown, so the query has to be in the URL.
        if params.non_empty("query").is_none() {
            return Err(RequestError::FormTooLarge);
        }
        return Ok(Vec::new());
    }
    let parts = multipart::parse(&request.body, &boundary)?;
    let mut statements = Vec::new();
    for part in parts.iter().filter(|part| part.file_name.is_none()) {
        let value = String::from_utf8_lossy(&request.body[part.content.clone()]).into_owned();
        let has_prefix = |prefix: &&str| part.name.starts_with(prefix);
        if part.name == "query" {
            statements.push(value);
        } else if FORM_PARAM_PREFIXES.iter().any(has_prefix) {
            params.push(&part.name, &value);
        }
    }
    Ok(statements)
}

/// The start of a body.
struct BodyStart<'a> {
    bytes: Cow<'a, [u8]>,
    /// Whether this is the complete body.
    is_complete: bool,
}

/// The first `max_bytes` of a body without its content coding.
fn decode_body(request: &Request, max_bytes: usize) -> Result<BodyStart<'_>, RequestError> {
    let coding = header(&request.headers, "content-encoding")
        .filter(|name| !name.eq_ignore_ascii_case("identity"));
    let Some(name) = coding else {
        let length = request.body.len().min(max_bytes);
        return Ok(BodyStart {
            bytes: request.body[..length].into(),
            is_complete: length == request.body.len() && !request.has_more_body,
        });
    };
    let coding =
        Coding::from_name(name).ok_or_else(|| RequestError::UnsupportedCoding(name.into()))?;
    let decoded = coding::decompress_start(coding, &request.body, max_bytes);
    Ok(BodyStart {
        bytes: decoded.bytes.into(),
        is_complete: decoded.is_complete && !request.has_more_body,
    })
}

/// Decompresses the first blocks of a body, until they contain `min_bytes`.
fn decompress_blocks(
    body: &BodyStart,
    min_bytes: usize,
) -> Result<BodyStart<'static>, RequestError> {
    let prefix = block::decompress_prefix(&body.bytes, min_bytes)?;
    Ok(BodyStart {
        bytes: prefix.data.into(),
        is_complete: body.is_complete && prefix.block_bytes == body.bytes.len(),
    })
}
