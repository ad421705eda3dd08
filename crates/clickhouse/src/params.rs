//! What stands behind the `?` of a URL: names and values, percent-encoded.

/// Names and values in the order in which the client gave them.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Params(Vec<(String, String)>);

/// Most parameters in one URL: each is copied once for each attempt.
pub const MAX_PARAMS: usize = 512;

impl Params {
    /// Reads the part of a URL behind its `?`; `None` where there are more than [`MAX_PARAMS`].
    pub fn parse(query: &str) -> Option<Params> {
        let mut list = Vec::new();
        for pair in query.split('&').filter(|p| !p.is_empty()) {
            if list.len() == MAX_PARAMS {
                return None;
            }
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            list.push((decoded(name), decoded(value)));
        }
        Some(Params(list))
    }

    /// The last value under a name: where a client repeats one, ClickHouse heeds the last too.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .rev()
            .find(|p| p.0 == name)
            .map(|p| p.1.as_str())
    }

    /// The last value under a name that is not empty.
    pub fn non_empty(&self, name: &str) -> Option<&str> {
        self.get(name).filter(|v| !v.is_empty())
    }

    /// Whether a switch is on: `1` or `true`.
    pub fn is_on(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|v| v == "1" || v.eq_ignore_ascii_case("true"))
    }

    /// Adds one behind the others.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push((name.into(), value.into()));
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }
}

impl std::fmt::Debug for Params {
    /// Names alone: a value may be a password.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.0.iter().map(|p| &p.0)).finish()
    }
}

/// Undoes percent-encoding; what is no valid escape stays as it is, and what is no UTF-8 is replaced.
pub fn decoded(text: &str) -> String {
    if !text.contains(['%', '+']) {
        return text.into();
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&b, after)) = rest.split_first() {
        let digit = |n: usize| after.get(n).and_then(|&h| char::from(h).to_digit(16));
        match (b, digit(0), digit(1)) {
            (b'%', Some(high), Some(low)) => {
                bytes.push((high * 16 + low) as u8);
                rest = &after[2..];
            }
            _ => {
                bytes.push(if b == b'+' { b' ' } else { b });
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Percent-encodes a value for a URL behind what `into` holds.
pub fn encode(text: &str, into: &mut String) {
    const HEX: &[u8; 16] = b"0123456789ABCDEF";
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-_.~".contains(&b) {
            into.push(char::from(b));
        } else {
            into.push('%');
            into.push(char::from(HEX[usize::from(b >> 4)]));
            into.push(char::from(HEX[usize::from(b & 15)]));
        }
    }
}
