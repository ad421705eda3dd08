//! Detects an exception at the end of a result: an engine that fails after it sent status 200 appends the exception to
//! the rows.
//!
//! | form | written by | detected by |
//! | --- | --- | --- |
//! | between markers with a tag | servers that send the tag in `X-ClickHouse-Exception-Tag` | [`find_tagged`] |
//! | as the last lines | servers that send no tag | [`find_in_last_lines`] |
//! | as the last key | servers, in JSON formats | [`find_json_key`] |

use super::{parse_code, Exception};
use memchr::memmem;

const MARKER: &str = "__exception__";
const JSON_KEY: &str = "\"exception\"";
/// Number of digits in a `\uXXXX` escape in JSON.
const JSON_ESCAPE_DIGITS: usize = 4;

/// Formats an exception that follows rows, for a client that received this tag in the response head:
/// the marker, the tag, the text, its length and the tag again, and the marker.
pub fn tagged_exception(tag: &str, text: &str) -> String {
    let length = text.len() + 1;
    format!("\r\n{MARKER}\r\n{tag}\r\n{text}\n{length} {tag}\r\n{MARKER}\r\n")
}

/// Finds an exception between markers with this tag, see [`tagged_exception`].
pub fn find_tagged(tail: &[u8], tag: &str) -> Option<Exception> {
    let opening = format!("{MARKER}\r\n{tag}\r\n");
    let start = memmem::rfind(tail, opening.as_bytes())? + opening.len();
    let rest = String::from_utf8_lossy(&tail[start..]);
    // The text may span several lines; its length and the tag follow it.
    let end = rest.rfind(&format!(" {tag}\r\n")).unwrap_or(rest.len());
    let text = rest[..end]
        .trim_end_matches(|c: char| c.is_ascii_digit())
        .trim_end();
    Some(Exception::parse(text).unwrap_or_else(|| Exception {
        code: 0,
        text: text.into(),
    }))
}

/// Finds an exception in the last lines. Rows may contain the same text, so in a result that was not cut off the text
/// must also end like an exception: with the error's name or the server's version in parentheses.
pub fn find_in_last_lines(tail: &[u8], is_cut: bool) -> Option<Exception> {
    let text = String::from_utf8_lossy(tail);
    let last = text
        .match_indices("Code: ")
        .filter(|(at, _)| *at == 0 || text[..*at].ends_with('\n'))
        .map(|(at, _)| &text[at..])
        .filter(|lines| parse_code(lines).is_some())
        .last()?;
    let exception = Exception::parse(last)?;
    (is_cut || ends_like_exception(&exception.text)).then_some(exception)
}

/// Whether a text ends with `(NAME)`, or ends with a parenthesis and contains the server's version.
fn ends_like_exception(text: &str) -> bool {
    let Some((_, name)) = text.strip_suffix(')').and_then(|t| t.rsplit_once('(')) else {
        return false;
    };
    let is_name_byte = |b: u8| b.is_ascii_uppercase() || b.is_ascii_digit() || b == b'_';
    let is_name = !name.is_empty() && name.bytes().all(is_name_byte);
    is_name || text.contains("(version ")
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
