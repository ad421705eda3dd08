//! Exceptions: their codes, names and statuses, what they prove, and how they look in an answer.

use std::fmt;

/// What an engine's exception proves of the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The engine turned it away before it began: it may run elsewhere.
    NeverRan,
    /// Any engine would say the same: the statement, its settings, its user or its session is at fault.
    OfTheStatement,
    /// It may have run, in part or whole.
    MayHaveRun,
}

/// An exception, as a client is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exception {
    /// Its code.
    pub code: u32,
    /// The whole text: `Code: N. DB::Exception: words. (NAME)`.
    pub text: String,
}

/// Codes, names and statuses of those that this program words itself or tells apart.
/// Source: ClickHouse's published list of error codes and its table from codes to HTTP statuses.
const CODES: &[(u32, &str, u16)] = &[
    (6, "CANNOT_PARSE_TEXT", 400),
    (8, "THERE_IS_NO_COLUMN", 500),
    (10, "NOT_FOUND_COLUMN_IN_BLOCK", 500),
    (15, "DUPLICATE_COLUMN", 500),
    (16, "NO_SUCH_COLUMN_IN_TABLE", 500),
    (20, "NUMBER_OF_COLUMNS_DOESNT_MATCH", 500),
    (26, "CANNOT_PARSE_ESCAPE_SEQUENCE", 400),
    (27, "CANNOT_PARSE_INPUT_ASSERTION_FAILED", 400),
    (36, "BAD_ARGUMENTS", 400),
    (38, "CANNOT_PARSE_DATE", 400),
    (41, "CANNOT_PARSE_DATETIME", 400),
    (42, "NUMBER_OF_ARGUMENTS_DOESNT_MATCH", 500),
    (43, "ILLEGAL_TYPE_OF_ARGUMENT", 500),
    (44, "ILLEGAL_COLUMN", 500),
    (46, "UNKNOWN_FUNCTION", 404),
    (47, "UNKNOWN_IDENTIFIER", 404),
    (48, "NOT_IMPLEMENTED", 501),
    (50, "UNKNOWN_TYPE", 404),
    (51, "EMPTY_LIST_OF_COLUMNS_QUERIED", 500),
    (53, "TYPE_MISMATCH", 400),
    (57, "TABLE_ALREADY_EXISTS", 500),
    (60, "UNKNOWN_TABLE", 404),
    (62, "SYNTAX_ERROR", 400),
    (63, "UNKNOWN_AGGREGATE_FUNCTION", 404),
    (69, "ARGUMENT_OUT_OF_BOUND", 500),
    (70, "CANNOT_CONVERT_TYPE", 400),
    (72, "CANNOT_PARSE_NUMBER", 400),
    (73, "UNKNOWN_FORMAT", 404),
    (81, "UNKNOWN_DATABASE", 404),
    (82, "DATABASE_ALREADY_EXISTS", 500),
    (115, "UNKNOWN_SETTING", 404),
    (117, "INCORRECT_DATA", 400),
    (130, "CANNOT_READ_ARRAY_FROM_TEXT", 400),
    (158, "TOO_MANY_ROWS", 500),
    (159, "TIMEOUT_EXCEEDED", 408),
    (160, "TOO_SLOW", 500),
    (164, "READONLY", 500),
    (192, "UNKNOWN_USER", 403),
    (193, "WRONG_PASSWORD", 403),
    (194, "REQUIRED_PASSWORD", 401),
    (202, "TOO_MANY_SIMULTANEOUS_QUERIES", 500),
    (209, "SOCKET_TIMEOUT", 503),
    (210, "NETWORK_ERROR", 500),
    (216, "QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING", 500),
    (217, "CANNOT_KILL", 500),
    (241, "MEMORY_LIMIT_EXCEEDED", 500),
    (242, "TABLE_IS_READ_ONLY", 500),
    (246, "CORRUPTED_DATA", 500),
    (271, "CANNOT_DECOMPRESS", 400),
    (307, "TOO_MANY_BYTES", 500),
    (354, "ZLIB_INFLATE_FAILED", 400),
    (372, "SESSION_NOT_FOUND", 500),
    (373, "SESSION_IS_LOCKED", 500),
    (381, "HTTP_LENGTH_REQUIRED", 411),
    (394, "QUERY_WAS_CANCELLED", 500),
    (395, "FUNCTION_THROW_IF_VALUE_IS_NON_ZERO", 500),
    (396, "TOO_MANY_ROWS_OR_BYTES", 500),
    (439, "CANNOT_SCHEDULE_TASK", 503),
    (456, "UNKNOWN_QUERY_PARAMETER", 500),
    (497, "ACCESS_DENIED", 500),
    (516, "AUTHENTICATION_FAILED", 403),
    (517, "CANNOT_ASSIGN_ALTER", 500),
    (636, "CANNOT_EXTRACT_TABLE_STRUCTURE", 500),
];

/// Those of the list that any engine would give: the statement's, its user's or its session's.
const OF_THE_STATEMENT: &[u32] = &[
    6, 8, 10, 15, 16, 20, 26, 27, 36, 38, 41, 42, 43, 44, 46, 47, 48, 50, 51, 53, 57, 60, 62, 63,
    69, 70, 72, 73, 81, 82, 115, 117, 130, 158, 164, 192, 193, 194, 216, 271, 307, 354, 372, 373,
    381, 394, 395, 396, 456, 497, 516, 636,
];

/// Engines full of queries say this: it never ran.
pub const TOO_MANY_QUERIES: u32 = 202;
/// What this program says where it can't know: the query failed, or its time ran out; it may have run.
pub const NETWORK_ERROR: u32 = 210;

/// Longest text read for an exception; longer words are cut.
pub const MAX_TEXT_BYTES: usize = 8 * 1024;

/// The published name of a code.
pub fn name(code: u32) -> Option<&'static str> {
    let at = CODES.binary_search_by_key(&code, |c| c.0).ok()?;
    Some(CODES[at].1)
}

/// The HTTP status that goes with a code.
pub fn status(code: u32) -> u16 {
    CODES
        .binary_search_by_key(&code, |c| c.0)
        .map_or(500, |at| CODES[at].2)
}

/// What a code proves; `status` decides where no code was told.
pub fn proof(code: Option<u32>, status: u16) -> Proof {
    match code {
        Some(TOO_MANY_QUERIES) => Proof::NeverRan,
        Some(code) if OF_THE_STATEMENT.contains(&code) => Proof::OfTheStatement,
        None if status == 503 || status == 429 => Proof::NeverRan,
        _ => Proof::MayHaveRun,
    }
}

/// The code in an exception's text, if it begins with one ("Code: 62. DB::Exception: ...").
pub fn code_of(text: &str) -> Option<u32> {
    let rest = text.trim_start().strip_prefix("Code: ")?;
    let end = rest.find(|c: char| !c.is_ascii_digit())?;
    let code = rest[..end].parse().ok()?;
    rest[end..]
        .trim_start_matches(['.', ',', ' '])
        .contains("Exception")
        .then_some(code)
}

impl Exception {
    /// One in this program's words, without a full stop.
    pub fn new(code: u32, words: &str) -> Exception {
        let name = name(code).unwrap_or("UNKNOWN_EXCEPTION");
        Exception {
            code,
            text: format!("Code: {code}. DB::Exception: {words}. ({name})"),
        }
    }

    /// An engine's text, if it tells a code.
    pub fn of_text(text: &str) -> Option<Exception> {
        Some(Exception {
            code: code_of(text)?,
            text: text.trim_end().into(),
        })
    }

    /// The HTTP status that goes with it.
    pub fn status(&self) -> u16 {
        status(self.code)
    }
}

impl fmt::Display for Exception {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::error::Error for Exception {}

/// An exception behind the last rows of a result, found by the tag that the head told:
/// `__exception__`, the tag, the text, its length and the tag again, `__exception__`, each behind CR LF.
pub fn tagged(tail: &[u8], tag: &str) -> Option<Exception> {
    let marker = format!("__exception__\r\n{tag}\r\n");
    let at = find_last(tail, marker.as_bytes())? + marker.len();
    let rest = String::from_utf8_lossy(&tail[at..]);
    // The text may have several lines; behind it stand its length and the tag.
    let end = rest.rfind(&format!(" {tag}\r\n")).unwrap_or(rest.len());
    let text = rest[..end]
        .trim_end_matches(|c: char| c.is_ascii_digit())
        .trim_end();
    Some(Exception::of_text(text).unwrap_or_else(|| Exception {
        code: 0,
        text: text.into(),
    }))
}

/// The bytes that tell of an exception behind rows, for clients that were told this tag.
pub fn marker(tag: &str, text: &str) -> String {
    let length = text.len() + 1;
    format!("\r\n__exception__\r\n{tag}\r\n{text}\n{length} {tag}\r\n__exception__\r\n")
}

/// An exception as the last lines of a result, from servers that tell no tag. `cut`: the result ended without a
/// proper end. Rows may hold such words themselves, so a result that ended well has to end like one: with its name
/// or the server's version in brackets.
pub fn last_lines(tail: &[u8], cut: bool) -> Option<Exception> {
    let text = String::from_utf8_lossy(tail);
    let begins = text
        .match_indices("Code: ")
        .filter(|(at, _)| *at == 0 || text[..*at].ends_with('\n'));
    let words = begins
        .map(|(at, _)| &text[at..])
        .filter(|words| code_of(words).is_some())
        .last()?;
    let exception = Exception::of_text(words)?;
    (cut || ends_like_one(&exception.text)).then_some(exception)
}

fn ends_like_one(text: &str) -> bool {
    let Some((_, last)) = text.strip_suffix(')').and_then(|t| t.rsplit_once('(')) else {
        return false;
    };
    let is_name = !last.is_empty()
        && last
            .bytes()
            .all(|b| b.is_ascii_uppercase() || b"_0123456789".contains(&b));
    is_name || text.contains("(version ")
}

/// An exception as the `exception` key at the end of a JSON format's result.
pub fn json_key(tail: &[u8]) -> Option<Exception> {
    let text = String::from_utf8_lossy(tail);
    let text = text.trim_end();
    // It is the last key: what stands behind its string closes the objects alone.
    let at = text.rfind("\"exception\"")? + "\"exception\"".len();
    let rest = text[at..]
        .trim_start()
        .strip_prefix(':')?
        .trim_start()
        .strip_prefix('"')?;
    let (words, behind) = json_string(rest)?;
    let closes = behind
        .chars()
        .all(|c| c.is_whitespace() || matches!(c, '}' | ']'));
    closes.then(|| Exception::of_text(&words)).flatten()
}

/// A JSON string behind its opening quote, and what stands behind the closing one.
fn json_string(text: &str) -> Option<(String, &str)> {
    let (mut out, mut chars) = (String::new(), text.char_indices());
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((out, &text[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => out.push('\n'),
                't' => out.push('\t'),
                'r' => out.push('\r'),
                'u' => {
                    let hex: String = chars.by_ref().take(4).map(|c| c.1).collect();
                    let code = u32::from_str_radix(&hex, 16).ok()?;
                    out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                }
                other => out.push(other),
            },
            c => out.push(c),
        }
    }
    None
}

fn find_last(hay: &[u8], needle: &[u8]) -> Option<usize> {
    memchr::memmem::rfind(hay, needle)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_list_is_in_order_so_that_codes_are_found() {
        assert!(CODES.windows(2).all(|w| w[0].0 < w[1].0));
        assert!(OF_THE_STATEMENT.iter().all(|&c| name(c).is_some()));
        assert_eq!(
            (name(62), status(62), status(99_999)),
            (Some("SYNTAX_ERROR"), 400, 500)
        );
    }

    #[test]
    fn codes_are_read_and_what_only_looks_like_one_is_not() {
        assert_eq!(code_of("Code: 62. DB::Exception: Syntax error"), Some(62));
        assert_eq!(
            code_of("Code: 241, e.displayText() = DB::Exception: Memory"),
            Some(241)
        );
        assert_eq!(code_of("Code: x. DB::Exception"), None);
        assert_eq!(code_of("Code: 62. nothing of the kind"), None);
        let own = Exception::new(372, "Session not found");
        assert_eq!(
            own.text,
            "Code: 372. DB::Exception: Session not found. (SESSION_NOT_FOUND)"
        );
        assert_eq!(Exception::of_text(&own.text), Some(own));
    }

    #[test]
    fn a_marker_is_found_with_all_its_lines_and_an_older_one_in_the_rows_is_not_mistaken() {
        let words = "Code: 241. DB::Exception: Memory\nlimit. (MEMORY_LIMIT_EXCEEDED)";
        let tail = format!(
            "1\n__exception__\r\nother\r\nCode: 1\n{}",
            marker("tag", words)
        );
        assert_eq!(
            tagged(tail.as_bytes(), "tag").map(|e| (e.code, e.text)),
            Some((241, words.into()))
        );
        assert_eq!(tagged(tail.as_bytes(), "nope"), None);
    }

    #[test]
    fn last_lines_are_an_exception_only_where_they_end_like_one() {
        let whole = b"1\n2\nCode: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)\n";
        assert_eq!(last_lines(whole, false).map(|e| e.code), Some(241));
        let version = b"Code: 241. DB::Exception: Memory (version 22.3.1 (official build))\n";
        assert_eq!(last_lines(version, false).map(|e| e.code), Some(241));
        // A row of a log table says the same words and goes on.
        let rows = b"Code: 241. DB::Exception: Memory\tand more columns\n7\t8\n";
        assert_eq!(last_lines(rows, false), None);
        assert_eq!(last_lines(rows, true).map(|e| e.code), Some(241));
        assert_eq!(last_lines(b"plain\n", true), None);
    }

    #[test]
    fn the_exception_key_counts_only_as_the_last_of_the_result() {
        let told =
            br#"{"data":[{"a":1}],"rows":1,"exception": "Code: 395. DB::Exception: Value \"x\"\n (N)"}"#;
        assert_eq!(json_key(told).map(|e| e.code), Some(395));
        let row = br#"{"data":[{"exception":"Code: 395. DB::Exception: in a row"}],"rows":1}"#;
        assert_eq!(json_key(row), None);
        assert_eq!(json_key(br#"{"exception":"Code: 395"#), None);
    }
}
