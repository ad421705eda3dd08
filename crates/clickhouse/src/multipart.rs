//! `multipart/form-data`: form fields and external tables, in one body.

use std::ops::Range;

/// Most parts in one body.
pub const MAX_PARTS: usize = 64;
const MAX_PART_HEAD_BYTES: usize = 4 * 1024;

/// A part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The field's name, or the external table's.
    pub name: String,
    /// The file's name, if it is one: external tables are files.
    pub file: Option<String>,
    /// Where its data stand in the body, in bytes.
    pub data: Range<usize>,
}

/// The boundary that a `Content-Type` names; `None` if it is no form or names none that may be used.
pub fn boundary(content_type: &str) -> Option<String> {
    let (kind, rest) = content_type.split_once(';')?;
    if !kind.trim().eq_ignore_ascii_case("multipart/form-data") {
        return None;
    }
    let told = rest.split(';').find_map(|p| {
        let (name, value) = p.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("boundary")
            .then(|| value.trim().trim_matches('"').to_string())
    })?;
    ((1..=70).contains(&told.len()) && told.bytes().all(|b| b.is_ascii_graphic() || b == b' '))
        .then_some(told)
}

/// Whether a `Content-Type` says that the body is a form, well or badly.
pub fn is_form(content_type: &str) -> bool {
    let kind = content_type.split(';').next().unwrap_or_default();
    kind.trim().eq_ignore_ascii_case("multipart/form-data")
}

/// Takes a whole body apart; the error says what is wrong with it.
pub fn parse(body: &[u8], boundary: &str) -> Result<Vec<Part>, &'static str> {
    let open = format!("--{boundary}");
    let between = format!("\r\n--{boundary}");
    let mut parts = Vec::new();
    let mut at = match body.strip_prefix(open.as_bytes()) {
        Some(_) => open.len(),
        None => find(body, between.as_bytes()).ok_or("the boundary never comes")? + between.len(),
    };
    loop {
        let rest = &body[at..];
        if rest.starts_with(b"--") {
            return Ok(parts);
        }
        // White space may pad a boundary's line.
        let pad = rest
            .iter()
            .take_while(|b| matches!(b, b' ' | b'\t'))
            .count();
        if !rest[pad..].starts_with(b"\r\n") {
            return Err("a boundary's line goes on");
        }
        at += pad + 2;
        if parts.len() == MAX_PARTS {
            return Err("there are too many parts");
        }
        let head_end = find(&body[at..], b"\r\n\r\n").ok_or("a part's head never ends")?;
        if head_end > MAX_PART_HEAD_BYTES {
            return Err("a part's head is too long");
        }
        let head = std::str::from_utf8(&body[at..at + head_end])
            .map_err(|_| "a part's head is no text")?;
        let (name, file) = disposition(head).ok_or("a part has no name")?;
        let begin = at + head_end + 4;
        let length =
            find(&body[begin..], between.as_bytes()).ok_or("the last boundary never comes")?;
        parts.push(Part {
            name,
            file,
            data: begin..begin + length,
        });
        at = begin + length + between.len();
    }
}

/// The name and file name in a part's head.
fn disposition(head: &str) -> Option<(String, Option<String>)> {
    let line = head.split("\r\n").find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.trim()
            .eq_ignore_ascii_case("content-disposition")
            .then_some(value)
    })?;
    let value = |key: &str| {
        line.split(';').skip(1).find_map(|p| {
            let (name, value) = p.split_once('=')?;
            name.trim()
                .eq_ignore_ascii_case(key)
                .then(|| value.trim().trim_matches('"').to_string())
        })
    };
    Some((value("name").filter(|n| !n.is_empty())?, value("filename")))
}

fn find(hay: &[u8], needle: &[u8]) -> Option<usize> {
    memchr::memmem::find(hay, needle)
}
