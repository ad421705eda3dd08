//! Detects an exception at the end of a result: an engine that fails after it sent status 200 appends the exception to
//! the rows.
//!
//! | form | written by | detected by |
//! | --- | --- | --- |
//! | between markers with a tag | servers that send the tag in `X-ClickHouse-Exception-Tag` | [`find_tagged`] |
//! | as the last lines | servers that send no tag, in formats whose rows end with a line feed | [`find_in_last_lines`] |
//! | behind the last byte | servers that send no tag, in other formats | [`find_after_rows`] |
//! | as the last key | servers, in JSON formats | [`find_json_key`] |
//! | as the last line | servers, in JSON formats with one value a line | [`find_json_line`] |
//! | as the last element | servers, in XML | [`find_xml_element`] |
//!
//! Two results can't be told from one with an exception, and count as such if the server sends no tag: one in a format with lines
//! whose last row is nothing but an exception's text, and one in RawBLOB that ends with such a text and a line feed.

use super::opening::{is_length_prefixed, last_opening, RowEnd};
use super::Exception;
use memchr::memmem;

const MARKER: &str = "__exception__";
const JSON_KEY: &str = "\"exception\"";
const JSON_LINE: &str = "{\"exception\": \"";
const XML_ELEMENT: &str = "<exception>";
/// The entities of XML and what they stand for; the ampersand comes last, as it begins the others.
const XML_ENTITIES: [(&str, &str); 5] = [
    ("&lt;", "<"),
    ("&gt;", ">"),
    ("&quot;", "\""),
    ("&apos;", "'"),
    ("&amp;", "&"),
];
/// Number of digits in a `\uXXXX` escape in JSON.
const JSON_ESCAPE_DIGITS: usize = 4;

/// Formats an exception that follows rows, for a client that received this tag in the response head:
/// the marker, the tag, the text, its length and the tag again, and the marker.
pub fn tagged_exception(tag: &str, text: &str) -> String {
    let length = text.len() + 1;
    format!("\r\n{MARKER}\r\n{tag}\r\n{text}\n{length} {tag}\r\n{MARKER}\r\n")
}

/// Finds an exception between markers with this tag, see [`tagged_exception`]. `end` is the end of the result; the middle of a long
/// text may be missing from it.
pub fn find_tagged(end: &[u8], tag: &str) -> Option<Exception> {
    let opening = format!("{MARKER}\r\n{tag}\r\n");
    let closing = format!(" {tag}\r\n{MARKER}\r\n");
    let start = match memmem::rfind(end, opening.as_bytes()) {
        Some(at) => at + opening.len(),
        // The text is longer than the end that was kept. Only the server knows the tag, so the closing alone is proof.
        None if end.ends_with(closing.as_bytes()) => {
            last_opening(end, end.len(), RowEnd::NoLineFeed).unwrap_or(0)
        }
        None => return None,
    };
    let rest = String::from_utf8_lossy(&end[start..]);
    // The text may span several lines; its length and the tag follow it.
    let text_end = rest.rfind(&format!(" {tag}\r\n")).unwrap_or(rest.len());
    let text = rest[..text_end]
        .trim_end_matches(|c: char| c.is_ascii_digit())
        .trim_end();
    Some(Exception::parse(text).unwrap_or_else(|| Exception {
        code: 0,
        text: text.into(),
    }))
}

/// Finds an exception in the last lines. Rows may contain the same text, so in a result that was not cut off the text
/// must also end like an exception: with the error's name or the server's version in parentheses.
pub fn find_in_last_lines(end: &[u8], is_cut: bool) -> Option<Exception> {
    let start = last_opening(end, end.len(), RowEnd::LineFeed)?;
    let exception = Exception::parse(&String::from_utf8_lossy(&end[start..]))?;
    (is_cut || ends_like_exception(&exception.text)).then_some(exception)
}

/// Finds an exception that follows rows without a line feed between them. In a result that was not cut off it must end like an
/// exception, with a line feed, and must not be a string of the rows whose length stands before it.
pub fn find_after_rows(end: &[u8], is_cut: bool) -> Option<Exception> {
    let start = last_opening(end, end.len(), RowEnd::NoLineFeed)?;
    let exception = Exception::parse(&String::from_utf8_lossy(&end[start..]))?;
    let is_appended =
        || end.ends_with(b")\n") && ends_like_exception(&exception.text) && !is_in_row(end, start);
    (is_cut || is_appended()).then_some(exception)
}

/// Whether the text at `start`, or a text around it that begins earlier, is a string of the last row.
fn is_in_row(end: &[u8], start: usize) -> bool {
    let mut starts = std::iter::successors(Some(start), |&later| {
        last_opening(end, later, RowEnd::NoLineFeed)
    });
    starts.any(|start| is_length_prefixed(end, start))
}

/// Whether a text ends with `(NAME)`, or ends with a parenthesis and contains the server's version. A text of several lines must end
/// with the version, as rows may follow a row with an exception.
fn ends_like_exception(text: &str) -> bool {
    let Some((_, name)) = text.strip_suffix(')').and_then(|t| t.rsplit_once('(')) else {
        return false;
    };
    let is_name_byte = |b: u8| b.is_ascii_uppercase() || b.is_ascii_digit() || b == b'_';
    let is_name = !name.is_empty() && name.bytes().all(is_name_byte);
    match text.rsplit_once('\n') {
        Some((_, last_line)) => last_line.contains("(version "),
        None => is_name || text.contains("(version "),
    }
}

/// Finds the exception that a JSON format with one value a line reports as its last line. Servers write a space behind the colon
/// there, and none in rows.
pub fn find_json_line(end: &[u8]) -> Option<Exception> {
    let start = memmem::rfind(end, JSON_LINE.as_bytes())?;
    let begins_line = start == 0 || end[start - 1] == b'\n';
    begins_line.then(|| find_json_key(&end[start..])).flatten()
}

/// Finds the exception in the last element of a result in XML. A column of that name is followed by the end of its row.
pub fn find_xml_element(end: &[u8]) -> Option<Exception> {
    let text = String::from_utf8_lossy(end);
    let inner = text.trim_end().strip_suffix("</result>")?.trim_end();
    let inner = inner.strip_suffix("</exception>")?;
    let start = inner.rfind(XML_ELEMENT)? + XML_ELEMENT.len();
    let mut message = inner[start..].to_string();
    for (entity, character) in XML_ENTITIES {
        message = message.replace(entity, character);
    }
    Exception::parse(&message)
}

/// Finds the exception under the `exception` key at the end of a result in a JSON format.
pub fn find_json_key(tail: &[u8]) -> Option<Exception> {
    let text = String::from_utf8_lossy(tail);
    let key = text.rfind(JSON_KEY)?;
    let value = text[key + JSON_KEY.len()..]
        .trim_start()
        .strip_prefix(':')?
        .trim_start()
        .strip_prefix('"')?;
    let string = JsonString::parse(value)?;
    // Only closing brackets follow the last key of the result; a row's column of that name is followed by other text.
    let is_last = string
        .rest
        .chars()
        .all(|c| c.is_whitespace() || matches!(c, '}' | ']'));
    if !is_last {
        return None;
    }
    Exception::parse(&string.value)
}

/// A JSON string.
struct JsonString<'a> {
    value: String,
    /// The text after the closing quote.
    rest: &'a str,
}

impl JsonString<'_> {
    /// Parses a string after its opening quote.
    fn parse(text: &str) -> Option<JsonString<'_>> {
        let mut value = String::new();
        let mut chars = text.char_indices();
        while let Some((at, c)) = chars.next() {
            match c {
                '"' => {
                    let rest = &text[at + 1..];
                    return Some(JsonString { value, rest });
                }
                '\\' => match chars.next()?.1 {
                    'n' => value.push('\n'),
                    't' => value.push('\t'),
                    'r' => value.push('\r'),
                    'u' => {
                        let digits = chars.by_ref().take(JSON_ESCAPE_DIGITS);
                        let digits: String = digits.map(|(_, digit)| digit).collect();
                        let code = u32::from_str_radix(&digits, 16).ok()?;
                        value.push(char::from_u32(code).unwrap_or(char::REPLACEMENT_CHARACTER));
                    }
                    other => value.push(other),
                },
                c => value.push(c),
            }
        }
        None
    }
}
