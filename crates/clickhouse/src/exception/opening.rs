//! Where an exception may begin in a result.

use super::{parse_code, FOREIGN_TYPES};
use memchr::memmem;

const CODE: &[u8] = b"Code: ";
/// The keys under which formats report an exception, up to its text.
const KEYS: [&[u8]; 3] = [b"\"exception\": \"", b"\"exception\":\"", b"<exception>"];
/// The code and the type of an exception stand within this many bytes.
const HEAD_BYTES: usize = 512;

/// How the rows of a format end, which decides where an exception that the server appends may begin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowEnd {
    /// With a line feed: an appended exception begins a line.
    #[default]
    LineFeed,
    /// Without one: an appended exception may begin at any byte.
    NoLineFeed,
}

/// Names or first parts of the names of formats whose rows don't end with a line feed, or that have no rows.
const FORMATS_WITHOUT_LINE_FEED: [&str; 15] = [
    "RowBinary",
    "Native",
    "Values",
    "JSON",
    "XML",
    "MsgPack",
    "Protobuf",
    "Avro",
    "Arrow",
    "Parquet",
    "ORC",
    "BSON",
    "CapnProto",
    "Npy",
    "RawBLOB",
];

impl RowEnd {
    /// The end of rows in the format of this name; formats that are not known have lines.
    pub fn of_format(name: &str) -> RowEnd {
        let has_name = |begin: &&str| name.starts_with(begin);
        if !is_json_lines(name) && FORMATS_WITHOUT_LINE_FEED.iter().any(has_name) {
            RowEnd::NoLineFeed
        } else {
            RowEnd::LineFeed
        }
    }

    /// Whether an exception may be appended to these bytes.
    fn allows_exception(self, before: &[u8]) -> bool {
        self == RowEnd::NoLineFeed || before.last().is_none_or(|&byte| byte == b'\n')
    }
}

/// Whether a format has one JSON value a line.
pub fn is_json_lines(format: &str) -> bool {
    format.starts_with("JSON") && (format.contains("EachRow") || format == "JSONLines")
}

/// The start of the last exception text before `end` that stands where an exception is appended to rows.
pub(super) fn last_opening(bytes: &[u8], end: usize, row_end: RowEnd) -> Option<usize> {
    rfind(bytes, 0, end, |before| row_end.allows_exception(before))
}

/// The start of the last exception text in `bytes[from..to]`, appended to rows or reported by the format. The text itself may go on
/// behind `to`.
pub(crate) fn last_possible_opening(
    bytes: &[u8],
    from: usize,
    to: usize,
    row_end: RowEnd,
) -> Option<usize> {
    let is_after_key = |before: &[u8]| KEYS.iter().any(|key| before.ends_with(key));
    rfind(bytes, from, to, |before| {
        row_end.allows_exception(before) || is_after_key(before)
    })
}

/// The start of the last exception text in `bytes[from..to]` with `is_placed` for the bytes before it.
fn rfind(bytes: &[u8], from: usize, to: usize, is_placed: impl Fn(&[u8]) -> bool) -> Option<usize> {
    let mut end = bytes.len().min(to.saturating_add(CODE.len() - 1));
    while let Some(code) = memmem::rfind(bytes.get(from..end)?, CODE).map(|at| from + at) {
        let has_number = bytes.get(code + CODE.len()).is_some_and(u8::is_ascii_digit);
        let start = text_start(bytes, code);
        let head = &bytes[start..bytes.len().min(start + HEAD_BYTES)];
        if has_number
            && is_placed(&bytes[..start])
            && parse_code(&String::from_utf8_lossy(head)).is_some()
        {
            return Some(start);
        }
        end = code + CODE.len() - 1;
    }
    None
}

/// The start of the text whose code stands at `code`.
fn text_start(bytes: &[u8], code: usize) -> usize {
    let before = &bytes[..code];
    let prefix = FOREIGN_TYPES
        .iter()
        .find(|t| before.ends_with(t.as_bytes()));
    code - prefix.map_or(0, |p| p.len())
}

/// Whether the bytes before `start` say that the text from there to the end is a string of a binary format: its length stands
/// before it.
pub(super) fn is_length_prefixed(bytes: &[u8], start: usize) -> bool {
    let (before, length) = (&bytes[..start], bytes.len() - start);
    let Ok(length) = u32::try_from(length) else {
        return false;
    };
    let is_varint = |number: u32| before.ends_with(&varint(number));
    let [_, _, high, low] = length.to_be_bytes();
    let mut message_pack = [&[0xdb], &length.to_be_bytes()[..]].concat();
    if length <= u32::from(u8::MAX) {
        message_pack = vec![0xd9, low];
    } else if length <= u32::from(u16::MAX) {
        message_pack = vec![0xda, high, low];
    }
    // Avro writes lengths as signed numbers, the sign in the lowest bit.
    is_varint(length) || is_varint(length.saturating_mul(2)) || before.ends_with(&message_pack)
}

/// A number in unsigned LEB128.
fn varint(mut number: u32) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        let [group, ..] = (number & 0x7f).to_le_bytes();
        number >>= 7;
        if number == 0 {
            bytes.push(group);
            return bytes;
        }
        bytes.push(group | 0x80);
    }
}
