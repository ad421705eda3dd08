//! Header fields.

/// A header field's name and value.
pub type Header = (String, String);

/// Returns the value of the first header field with this name; names are case-insensitive.
pub fn header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|h| h.0.eq_ignore_ascii_case(name))
        .map(|h| h.1.as_str())
}

/// Bytes of memory that a field occupies, with an allocator's overhead for each of its two strings: fields may be very short.
pub(crate) fn held_bytes(field: &Header) -> usize {
    const ALLOCATION_OVERHEAD: usize = 32;
    size_of::<Header>() + field.0.capacity() + field.1.capacity() + 2 * ALLOCATION_OVERHEAD
}

/// Copies parsed fields, trims white space around values and replaces invalid UTF-8.
pub(crate) fn to_owned(headers: &[httparse::Header]) -> Vec<Header> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_string();
    headers
        .iter()
        .map(|h| (h.name.to_string(), text(h.value)))
        .collect()
}

/// Whether the sender closes the connection after the message; `version` is the minor HTTP version.
pub(crate) fn closes_connection(version: Option<u8>, headers: &[Header]) -> bool {
    match header(headers, "connection") {
        Some(value) if value.eq_ignore_ascii_case("close") => true,
        Some(value) if value.eq_ignore_ascii_case("keep-alive") => false,
        _ => version == Some(0),
    }
}
