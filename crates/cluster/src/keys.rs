//! Keys that authenticate datagrams, and the format of the key file.

use siphasher::sip128::{Hasher128, SipHasher24};
use std::fmt;
use std::hash::Hasher;

const KEY_BYTES: usize = 16;
/// Hex digits of a key in the key file.
const KEY_DIGITS: usize = 2 * KEY_BYTES;
/// Length of an authentication tag.
pub(crate) const TAG_BYTES: usize = 16;
/// Keys that may be in use at once: the current and, during a key rotation, the previous one.
const MAX_KEYS: usize = 2;
/// The input whose tag is a key's fingerprint.
const FINGERPRINT_INPUT: &[u8] = b"driftfront fleet key";

/// A 128-bit key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    /// Prints the key's id only, never its bytes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key(…{:02x})", self.id())
    }
}

impl Key {
    /// Parses a key of 32 hex digits.
    pub fn parse(text: &str) -> Option<Key> {
        let is_valid = text.len() == KEY_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = is_valid.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(Key(number.to_be_bytes()))
    }

    /// Computes the authentication tag of `bytes`: SipHash-2-4-128.
    pub(crate) fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }

    /// The first byte of the key's fingerprint. It distinguishes two keys in use at once without revealing either.
    pub fn id(&self) -> u8 {
        self.tag(FINGERPRINT_INPUT)[0]
    }
}

/// Why a key file is invalid. Messages never contain key material.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyringError {
    /// A line is not a valid key.
    #[error("line {line}: a key has {KEY_DIGITS} hex digits")]
    MalformedKey {
        /// The line number, from 1.
        line: usize,
    },
    /// The file holds more keys than may be in use at once.
    #[error("line {line}: {MAX_KEYS} keys at most")]
    TooManyKeys {
        /// The line number of the first excess key, from 1.
        line: usize,
    },
    /// A key has the same id as an earlier one: a receiver could not tell which of them authenticates a datagram.
    #[error("line {line}: this key can't be told from the one before; make another")]
    DuplicateId {
        /// The line number of the second key, from 1.
        line: usize,
    },
    /// The file holds no key.
    #[error("it holds no key")]
    Empty,
}

/// The keys in use. The first one authenticates sent datagrams; received datagrams may use any of them. A keyring holds two
/// keys only during a key rotation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Parses a key file: one line of 32 hex digits for each key, the sending key first; `#` starts a comment.
    ///
    /// # Errors
    ///
    /// Fails if a line is not a key, if there are no keys or too many, or if two keys have the same id. The error names the
    /// line.
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
                return Err(KeyringError::DuplicateId { line });
            }
            keys.push(key);
        }
        if keys.is_empty() {
            return Err(KeyringError::Empty);
        }
        Ok(Keyring { keys })
    }

    /// A keyring with a single key.
    pub fn from_key(key: Key) -> Keyring {
        Keyring { keys: vec![key] }
    }

    /// The ids of all keys, the sending key's first.
    pub fn ids(&self) -> Vec<u8> {
        self.keys.iter().map(Key::id).collect()
    }

    /// The key that authenticates sent datagrams.
    pub(crate) fn sending_key(&self) -> &Key {
        &self.keys[0]
    }

    /// The key with this id, and whether it is the one being rotated out.
    pub(crate) fn find(&self, id: u8) -> Option<(&Key, bool)> {
        let position = self.keys.iter().position(|k| k.id() == id)?;
        Some((&self.keys[position], position > 0))
    }
}
