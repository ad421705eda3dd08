//! `multipart/form-data` bodies (RFC 7578): form fields and external tables.

use memchr::memmem;
use std::ops::Range;

/// Maximum number of parts in a body.
pub const MAX_PARTS: usize = 64;
const MAX_PART_HEADER_BYTES: usize = 4 * 1024;
/// Maximum length of a boundary (RFC 2046).
const MAX_BOUNDARY_BYTES: usize = 70;
const MEDIA_TYPE: &str = "multipart/form-data";
const LINE_END: &[u8] = b"\r\n";
const HEADER_END: &[u8] = b"\r\n\r\n";
/// Follows the final boundary.
const CLOSE: &[u8] = b"--";

/// Why a body is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MultipartError {
    /// The body does not contain the boundary.
    #[error("the boundary never comes")]
    NoBoundary,
    /// Other text follows a boundary on its line.
    #[error("a boundary's line goes on")]
    InvalidBoundaryLine,
    /// The body has more than [`MAX_PARTS`] parts.
    #[error("there are too many parts")]
    TooManyParts,
    /// A part's header is incomplete.
    #[error("a part's head never ends")]
    UnterminatedHeader,
    /// A part's header is too long.
    #[error("a part's head is too long")]
    HeaderTooLong,
    /// A part's header is not UTF-8.
    #[error("a part's head is no text")]
    HeaderNotText,
    /// A part has no name.
    #[error("a part has no name")]
    NoName,
    /// No boundary follows a part.
    #[error("the last boundary never comes")]
    UnterminatedPart,
}

/// A part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The name of the field or external table.
    pub name: String,
    /// The file name; external tables have one.
    pub file_name: Option<String>,
    /// The byte range of the content in the body.
    pub content: Range<usize>,
}

/// Extracts the boundary from a `Content-Type`; `None` if it is not a form's or has no valid boundary.
pub fn parse_boundary(content_type: &str) -> Option<String> {
    if !is_form(content_type) {
        return None;
    }
    let boundary = parameter(content_type, "boundary")?;
    let is_valid = (1..=MAX_BOUNDARY_BYTES).contains(&boundary.len())
        && boundary.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    is_valid.then_some(boundary)
}

/// Whether a `Content-Type` is that of a form, with or without a boundary.
pub fn is_form(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(MEDIA_TYPE)
}

/// Splits a complete body into its parts.
///
/// # Errors
///
/// If the body is malformed.
pub fn parse(body: &[u8], boundary: &str) -> Result<Vec<Part>, MultipartError> {
    let delimiter = format!("\r\n--{boundary}");
    let mut parser = Parser {
        body,
        delimiter: delimiter.as_bytes(),
        position: 0,
    };
    parser.skip_preamble()?;
    let mut parts = Vec::new();
    while !parser.rest().starts_with(CLOSE) {
        parser.skip_boundary_line()?;
        if parts.len() == MAX_PARTS {
            return Err(MultipartError::TooManyParts);
        }
        parts.push(parser.read_part()?);
    }
    Ok(parts)
}

struct Parser<'a> {
    body: &'a [u8],
    /// Ends a part: a line break, two hyphens and the boundary.
    delimiter: &'a [u8],
    position: usize,
}

impl<'a> Parser<'a> {
    fn rest(&self) -> &'a [u8] {
        &self.body[self.position..]
    }

    /// Moves past the first boundary, which may be the first line of the body.
    fn skip_preamble(&mut self) -> Result<(), MultipartError> {
        let first_line = &self.delimiter[LINE_END.len()..];
        self.position = if self.body.starts_with(first_line) {
            first_line.len()
        } else {
            let start = memmem::find(self.body, self.delimiter);
            start.ok_or(MultipartError::NoBoundary)? + self.delimiter.len()
        };
        Ok(())
    }

    /// Moves to the line after a boundary, which may be padded with white space.
    fn skip_boundary_line(&mut self) -> Result<(), MultipartError> {
        let rest = self.rest();
        let padding = rest.iter().take_while(|b| matches!(b, b' ' | b'\t'));
        let padding = padding.count();
        if !rest[padding..].starts_with(LINE_END) {
            return Err(MultipartError::InvalidBoundaryLine);
        }
        self.position += padding + LINE_END.len();
        Ok(())
    }

    /// Reads a part and moves past the boundary that ends it.
    fn read_part(&mut self) -> Result<Part, MultipartError> {
        let rest = self.rest();
        let header_bytes =
            memmem::find(rest, HEADER_END).ok_or(MultipartError::UnterminatedHeader)?;
        if header_bytes > MAX_PART_HEADER_BYTES {
            return Err(MultipartError::HeaderTooLong);
        }
        let header = std::str::from_utf8(&rest[..header_bytes])
            .map_err(|_| MultipartError::HeaderNotText)?;
        let disposition = content_disposition(header).ok_or(MultipartError::NoName)?;
        let name = parameter(disposition, "name")
            .filter(|name| !name.is_empty())
            .ok_or(MultipartError::NoName)?;
        let start = self.position + header_bytes + HEADER_END.len();
        let content_bytes = memmem::find(&self.body[start..], self.delimiter)
            .ok_or(MultipartError::UnterminatedPart)?;
        let end = start + content_bytes;
        self.position = end + self.delimiter.len();
        Ok(Part {
            name,
            file_name: parameter(disposition, "filename"),
            content: start..end,
        })
    }
}

/// The value of `Content-Disposition` in a part's header.
fn content_disposition(header: &str) -> Option<&str> {
    header.split("\r\n").find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.trim()
            .eq_ignore_ascii_case("content-disposition")
            .then_some(value)
    })
}

/// Returns a parameter of a header field's value (`value; name="parameter"`) without its quotes.
fn parameter(field: &str, name: &str) -> Option<String> {
    field.split(';').skip(1).find_map(|parameter| {
        let (key, value) = parameter.split_once('=')?;
        key.trim()
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().trim_matches('"').to_string())
    })
}
