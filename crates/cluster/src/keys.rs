//! The keys that authenticate datagrams, and the file that holds them.

use siphasher::sip128::{Hasher128, SipHasher24};
use std::fmt;
use std::hash::Hasher;

/// Bytes of a key.
const KEY_BYTES: usize = 16;
/// Hex digits of a key in its file.
const KEY_DIGITS: usize = 2 * KEY_BYTES;
/// Bytes of an authentication tag.
pub(crate) const TAG_BYTES: usize = 16;
/// Keys that may be in use at once.
const MAX_KEYS: usize = 2;
/// What a key's fingerprint is the tag of.
const FINGERPRINT_INPUT: &[u8] = b"driftfront fleet key";

/// A key of 128 bits.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    /// Shows which key it is, and nothing of it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key(…{:02x})", self.id())
    }
}

impl Key {
    /// Reads a key of 32 hex digits.
    pub fn parse(text: &str) -> Option<Key> {
        let is_valid = text.len() == KEY_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = is_valid.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(Key(number.to_be_bytes()))
    }

    /// The authentication tag of these bytes: SipHash-2-4-128.
    pub(crate) fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }

    /// The first byte of the key's fingerprint: tells apart two in use at once, and nothing of either.
    pub fn id(&self) -> u8 {
        self.tag(FINGERPRINT_INPUT)[0]
    }
}

/// Why a key file holds no usable keys. The keys themselves are never part of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyringError {
    /// A line holds something else than a key.
    #[error("line {line}: a key has {KEY_DIGITS} hex digits")]
    MalformedKey {
        /// The line, from 1.
        line: usize,
    },
    /// More keys than may be in use at once.
    #[error("line {line}: {MAX_KEYS} keys at most")]
    TooManyKeys {
        /// The line of the first key too many, from 1.
        line: usize,
    },
    /// A key has the same id as an earlier one: datagrams would not tell which of them to check with.
    #[error("line {line}: this key can't be told from the one before; make another")]
    SameId {
        /// The line of the second key, from 1.
        line: usize,
    },
    /// There is no key at all.
    #[error("it holds no key")]
    Empty,
}

/// The keys in use: the first authenticates what is sent, all what is received. Two at once while they are changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Reads a key file: a line of 32 hex digits for each key, the first to send with; `#` begins a remark.
    ///
    /// # Errors
    ///
    /// Fails where a line holds no key, where there are too many or none, and where two can't be told apart. The error
    /// names the line.
    pub fn parse(text: &str) -> Result<Keyring, KeyringError> {
        let mut keys: Vec<Key> = Vec::new();
        for (line, content) in (1..).zip(text.lines()) {
            let content = content.split('#').next().unwrap_or_default().trim();
            if content.is_empty() {
                continue;
            }
            let key = Key::parse(content).ok_or(KeyringError::MalformedKey { line })?;
            if keys.len() == MAX_KEYS {
                return Err(KeyringError::TooManyKeys { line });
            }
            if keys.iter().any(|k| k.id() == key.id()) {
                return Err(KeyringError::SameId { line });
            }
            keys.push(key);
        }
        if keys.is_empty() {
            return Err(KeyringError::Empty);
        }
        Ok(Keyring { keys })
    }

    /// A ring of one key.
    pub fn from_key(key: Key) -> Keyring {
        Keyring { keys: vec![key] }
    }

    /// The ids of all keys, that of the one to send with first.
    pub fn ids(&self) -> Vec<u8> {
        self.keys.iter().map(Key::id).collect()
    }

    /// The key to send with.
    pub(crate) fn sending_key(&self) -> &Key {
        &self.keys[0]
    }

    /// The key of this id, and whether it is one on its way out.
    pub(crate) fn find(&self, id: u8) -> Option<(&Key, bool)> {
        let position = self.keys.iter().position(|k| k.id() == id)?;
        Some((&self.keys[position], position > 0))
    }
}
