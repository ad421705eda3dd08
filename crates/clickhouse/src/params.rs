//! The percent-encoded parameters in the query string of a URL.

use std::fmt;

/// Maximum number of parameters in a URL. Every attempt copies all of them.
pub const MAX_PARAMS: usize = 512;

/// Names and values in the order given by the client.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Params(Vec<Param>);

#[derive(Clone, PartialEq, Eq)]
struct Param {
    name: String,
    value: String,
}

impl Params {
    /// Parses the part of a URL after the `?`; `None` if there are more than [`MAX_PARAMS`] parameters.
    pub fn parse(query_string: &str) -> Option<Params> {
        let mut params = Vec::new();
        for pair in query_string.split('&').filter(|pair| !pair.is_empty()) {
            if params.len() == MAX_PARAMS {
                return None;
            }
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            params.push(Param {
                name: decode(name),
                value: decode(value),
            });
        }
        Some(Params(params))
    }

    /// The value of a parameter; the last one if the name is repeated, as in ClickHouse.
    pub fn get(&self, name: &str) -> Option<&str> {
        let last = self.0.iter().rfind(|param| param.name == name)?;
        Some(&last.value)
    }

    /// The value of a parameter, unless it is empty.
    pub fn non_empty(&self, name: &str) -> Option<&str> {
        self.get(name).filter(|value| !value.is_empty())
    }

    /// Whether a boolean parameter is set to `1` or `true`.
    pub fn is_on(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|value| value == "1" || value.eq_ignore_ascii_case("true"))
    }

    /// Appends a parameter.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push(Param {
            name: name.into(),
            value: value.into(),
        });
    }

    /// All names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|param| (param.name.as_str(), param.value.as_str()))
    }
}

impl fmt::Debug for Params {
    /// Shows only the names, since a value may be a password.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.0.iter().map(|param| &param.name);
        f.debug_list().entries(names).finish()
    }
}

/// Decodes percent-encoding, and `+` as a space. Invalid escapes are kept as they are; invalid UTF-8 is replaced.
pub fn decode(text: &str) -> String {
    if !text.contains(['%', '+']) {
        return text.into();
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, following)) = rest.split_first() {
        match (byte, decode_hex_byte(following)) {
            (b'%', Some(escaped)) => {
                bytes.push(escaped);
                rest = &following[2..];
            }
            (b'+', _) => {
                bytes.push(b' ');
                rest = following;
            }
            _ => {
                bytes.push(byte);
                rest = following;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Decodes the two hexadecimal digits at the start of `bytes`.
fn decode_hex_byte(bytes: &[u8]) -> Option<u8> {
    let digit = |index: usize| char::from(*bytes.get(index)?).to_digit(16);
    u8::try_from(digit(0)? * 16 + digit(1)?).ok()
}

/// Appends a value to a URL, percent-encoded.
pub fn encode(text: &str, url: &mut String) {
    const HEX_DIGITS: &[u8; 16] = b"0123456789ABCDEF";
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            url.push(char::from(byte));
        } else {
            url.push('%');
            url.push(char::from(HEX_DIGITS[usize::from(byte >> 4)]));
            url.push(char::from(HEX_DIGITS[usize::from(byte & 0x0f)]));
        }
    }
}
