//! Words, brackets and strings in the text of a statement.

/// Leaves comments out; strings stay as they are.
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

/// The first word, which a space or a bracket ends, and what follows it.
pub(super) fn first_word(text: &str) -> (&str, &str) {
    let text = text.trim_start();
    let end = text.find(|c: char| c.is_whitespace() || c == '(');
    text.split_at(end.unwrap_or(text.len()))
}

/// What follows these words, if the text begins with them in any case.
pub(super) fn strip_words<'a>(text: &'a str, words: &[&str]) -> Option<&'a str> {
    let mut remaining = text;
    for word in words {
        let (first, behind) = first_word(remaining);
        if !first.eq_ignore_ascii_case(word) {
            return None;
        }
        remaining = behind;
    }
    Some(remaining)
}

/// The first word as a name, without quotes.
pub(super) fn name(text: &str) -> String {
    let (word, _) = first_word(text);
    word.trim_matches(['`', '"', ';']).to_string()
}

/// Splits at a separator outside brackets and strings.
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

/// Where a word stands outside brackets and strings; `wanted` is in lower case.
pub(super) fn find_word(text: &str, wanted: &str) -> Option<usize> {
    let is_in_word = |c: char| c.is_alphanumeric() || c == '_';
    let lower = text.to_ascii_lowercase();
    let (mut depth, mut is_in_string) = (0, false);
    for (at, c) in text.char_indices() {
        match c {
            '\'' => is_in_string = !is_in_string,
            '(' if !is_in_string => depth += 1,
            ')' if !is_in_string => depth -= 1,
            _ => {}
        }
        if depth != 0 || is_in_string || text[..at].ends_with(is_in_word) {
            continue;
        }
        if let Some(behind) = lower[at..].strip_prefix(wanted) {
            if !behind.starts_with(is_in_word) {
                return Some(at);
            }
        }
    }
    None
}
