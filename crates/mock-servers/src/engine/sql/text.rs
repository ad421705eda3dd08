//! Finds keywords, brackets and strings in a statement's text.

/// Removes comments outside strings.
pub(super) fn without_comments(text: &str) -> String {
    let mut out = String::new();
    let mut remaining = text;
    while let Some(c) = remaining.chars().next() {
        if let Some(comment) = remaining.strip_prefix("/*") {
            remaining = comment.find("*/").map_or("", |at| &comment[at + 2..]);
            out.push(' ');
        } else if remaining.starts_with("--") {
            remaining = remaining.find('\n').map_or("", |at| &remaining[at..]);
        } else if c == '\'' {
            let closing = remaining[1..].find('\'');
            let length = closing.map_or(remaining.len(), |at| at + 2);
            out.push_str(&remaining[..length]);
            remaining = &remaining[length..];
        } else {
            out.push(c);
            remaining = &remaining[c.len_utf8()..];
        }
    }
    out
}

/// Splits the text after its first token, which ends at white space or an opening bracket.
pub(super) fn split_first_token(text: &str) -> (&str, &str) {
    let text = text.trim_start();
    let end = text.find(|c: char| c.is_whitespace() || c == '(');
    text.split_at(end.unwrap_or(text.len()))
}

/// Returns the text after these keywords if it starts with them, ignoring case.
pub(super) fn strip_keywords<'a>(text: &'a str, keywords: &[&str]) -> Option<&'a str> {
    let mut remaining = text;
    for keyword in keywords {
        let (first, rest) = split_first_token(remaining);
        if !first.eq_ignore_ascii_case(keyword) {
            return None;
        }
        remaining = rest;
    }
    Some(remaining)
}

/// Returns the first token as a name, without quotes.
pub(super) fn name(text: &str) -> String {
    let (token, _) = split_first_token(text);
    token.trim_matches(['`', '"', ';']).to_string()
}

/// Splits the text at each separator outside brackets and strings.
pub(super) fn split(text: &str, separator: char) -> Vec<&str> {
    let mut parts = Vec::new();
    let (mut start, mut depth, mut is_in_string) = (0, 0, false);
    for (at, c) in text.char_indices() {
        match c {
            '\'' => is_in_string = !is_in_string,
            '(' | '{' if !is_in_string => depth += 1,
            ')' | '}' if !is_in_string => depth -= 1,
            c if c == separator && depth == 0 && !is_in_string => {
                parts.push(&text[start..at]);
                start = at + c.len_utf8();
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

/// Finds a keyword outside brackets and strings, ignoring case; `wanted` must be in lower case.
pub(super) fn find_keyword(text: &str, wanted: &str) -> Option<usize> {
    let is_name_char = |c: char| c.is_alphanumeric() || c == '_';
    let lower = text.to_ascii_lowercase();
    let (mut depth, mut is_in_string) = (0, false);
    for (at, c) in text.char_indices() {
        match c {
            '\'' => is_in_string = !is_in_string,
            '(' if !is_in_string => depth += 1,
            ')' if !is_in_string => depth -= 1,
            _ => {}
        }
        if depth != 0 || is_in_string || text[..at].ends_with(is_name_char) {
            continue;
        }
        if let Some(rest) = lower[at..].strip_prefix(wanted) {
            if !rest.starts_with(is_name_char) {
                return Some(at);
            }
        }
    }
    None
}
