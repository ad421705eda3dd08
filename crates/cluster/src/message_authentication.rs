//! The datagram format: versioned, bounded, authenticated and protected against replay.
//!
//! ```text
//! 0   2  "DF"
//! 2   1  version, 1
//! 3   1  key id: the first byte of the key's fingerprint
//! 4   8  the sender's session: differs with each start of its process
//! 12  8  the sender's datagram count, never used twice in a session
//! 20  8  the receiver's session, 0 if the sender does not know it
//! 28  1  kind of the payload
//! 29  n  payload
//! ..  16 SipHash-2-4-128 of all preceding bytes, under the key
//! ```
//!
//! The cheapest checks come first: length and version before any hashing, so that foreign bytes cost one comparison and a
//! wrong key costs one hash. SipHash is a keyed function designed for short messages; with a 128-bit tag a forged datagram
//! passes with probability 2^-128. HMAC-SHA-256 would serve as well at about ten times the cost, which would have to be paid
//! for each datagram of a flood. Payloads are not encrypted: records contain no secrets.

use crate::keys::{Keyring, TAG_BYTES};
use crate::replay_window::ReplayWindow;
use crate::MAX_DATAGRAM_BYTES;
use std::collections::BTreeMap;

const MAGIC: &[u8; 2] = b"DF";
/// The only version written and accepted. Payloads are extended by new kinds and fields, not by new versions.
pub const VERSION: u8 = 1;
/// Offsets of a datagram's fields.
const VERSION_AT: usize = 2;
const KEY_ID_AT: usize = 3;
const SESSION_AT: usize = 4;
const COUNT_AT: usize = 12;
const RECEIVER_AT: usize = 20;
const KIND_AT: usize = 28;
const HEADER_BYTES: usize = 29;
/// Longest payload.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES;
/// Sessions whose counts are remembered. Only a holder of the key can add a session.
pub const MAX_SESSIONS: usize = 2048;

/// The kind of a datagram's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Membership, in the format of `foca`.
    Members,
    /// Gossip records.
    GossipState,
    /// Versions of gossip records.
    Versions,
    /// Tells a member that an earlier process of its name had a later session, and which.
    StaleSession,
    /// Consensus messages.
    Consensus,
    /// A kind of a later build: counted and ignored.
    Unknown(u8),
}

impl Payload {
    fn code(self) -> u8 {
        match self {
            Payload::Members => 1,
            Payload::GossipState => 2,
            Payload::Versions => 3,
            Payload::StaleSession => 4,
            Payload::Consensus => 5,
            Payload::Unknown(code) => code,
        }
    }

    fn from_code(code: u8) -> Payload {
        match code {
            1 => Payload::Members,
            2 => Payload::GossipState,
            3 => Payload::Versions,
            4 => Payload::StaleSession,
            5 => Payload::Consensus,
            other => Payload::Unknown(other),
        }
    }
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AuthenticationError {
    /// It is too short or too long, or does not start with the magic bytes.
    UnknownProtocol,
    /// It has an unsupported version.
    UnsupportedVersion,
    /// Its key is not in use.
    UnknownKey,
    /// It was damaged in transit, or created without the key.
    WrongTag,
    /// It was accepted before, or is older than the replay window.
    Replayed,
    /// It is addressed to an earlier process at this address, or was sent by this process.
    StaleSession,
}

/// The content of an authentic datagram that was received for the first time.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The kind of its payload.
    pub payload: Payload,
    /// Its payload.
    pub bytes: &'a [u8],
    /// The sender's session.
    pub session: u64,
    /// Its key is the one being rotated out.
    pub old_key: bool,
}

/// The accepted counts of a session.
#[derive(Default)]
struct SessionCounts {
    window: ReplayWindow,
    /// The value of `opened` at the session's last datagram: the least recently used session is evicted first.
    last_used: u64,
}

/// Creates and verifies the datagrams of one process.
pub struct MessageAuthenticator {
    keys: Keyring,
    session: u64,
    last_count: u64,
    sessions: BTreeMap<u64, SessionCounts>,
    /// Authentic datagrams received so far.
    opened: u64,
    /// Sessions evicted because there were more than [`MAX_SESSIONS`].
    pub evicted_sessions: u64,
}

impl MessageAuthenticator {
    /// Creates an authenticator for a process with this session. Session 0 is reserved and replaced by 1.
    pub fn new(keys: Keyring, session: u64) -> MessageAuthenticator {
        MessageAuthenticator {
            keys,
            session: session.max(1),
            last_count: 0,
            sessions: BTreeMap::new(),
            opened: 0,
            evicted_sessions: 0,
        }
    }

    /// Changes the session: datagrams addressed to the previous one are rejected from now on.
    pub fn change_session(&mut self, session: u64) {
        self.session = session.max(1);
    }

    /// Replaces the keys.
    pub fn change_keys(&mut self, keys: Keyring) {
        self.keys = keys;
    }

    /// Sessions whose counts are remembered.
    pub fn sessions(&self) -> impl Iterator<Item = u64> + '_ {
        self.sessions.keys().copied()
    }

    /// Creates a datagram for the process with session `receiver` (0 if unknown); `None` if the payload is too long.
    pub fn seal(&mut self, payload: Payload, bytes: &[u8], receiver: u64) -> Option<Vec<u8>> {
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        self.last_count += 1;
        let key = self.keys.sending_key();
        let mut datagram = Vec::with_capacity(HEADER_BYTES + bytes.len() + TAG_BYTES);
        datagram.extend_from_slice(MAGIC);
        datagram.extend([VERSION, key.id()]);
        for number in [self.session, self.last_count, receiver] {
            datagram.extend(number.to_be_bytes());
        }
        datagram.push(payload.code());
        datagram.extend_from_slice(bytes);
        datagram.extend(key.tag(&datagram));
        Some(datagram)
    }

    /// Verifies a datagram and returns its content.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not authentic, not addressed to this process, or a replay. The caller counts and drops it.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<Opened<'a>, AuthenticationError> {
        check_header(datagram)?;
        let (content, old_key) = self.check_tag(datagram)?;
        let session = number_at(content, SESSION_AT);
        let receiver = number_at(content, RECEIVER_AT);
        let is_for_other = receiver != 0 && receiver != self.session;
        if is_for_other || session == self.session {
            return Err(AuthenticationError::StaleSession);
        }
        if !self.accept_count(session, number_at(content, COUNT_AT)) {
            return Err(AuthenticationError::Replayed);
        }
        Ok(Opened {
            payload: Payload::from_code(content[KIND_AT]),
            bytes: &content[HEADER_BYTES..],
            session,
            old_key,
        })
    }

    /// Returns the authenticated bytes, and whether their key is the one being rotated out.
    fn check_tag<'a>(&self, datagram: &'a [u8]) -> Result<(&'a [u8], bool), AuthenticationError> {
        let (key, old_key) = self
            .keys
            .find(datagram[KEY_ID_AT])
            .ok_or(AuthenticationError::UnknownKey)?;
        let (content, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if !is_same_tag(&key.tag(content), tag) {
            return Err(AuthenticationError::WrongTag);
        }
        Ok((content, old_key))
    }

    /// Accepts a session's count once.
    fn accept_count(&mut self, session: u64, count: u64) -> bool {
        self.opened += 1;
        if !self.sessions.contains_key(&session) && self.sessions.len() >= MAX_SESSIONS {
            self.evict_session();
        }
        let counts = self.sessions.entry(session).or_default();
        counts.last_used = self.opened;
        counts.window.accept(count)
    }

    fn evict_session(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(_, c)| c.last_used);
        if let Some(session) = oldest.map(|(session, _)| *session) {
            self.sessions.remove(&session);
            self.evicted_sessions += 1;
        }
    }
}

fn check_header(datagram: &[u8]) -> Result<(), AuthenticationError> {
    let lengths = HEADER_BYTES + TAG_BYTES..=MAX_DATAGRAM_BYTES;
    if !lengths.contains(&datagram.len()) || !datagram.starts_with(MAGIC) {
        return Err(AuthenticationError::UnknownProtocol);
    }
    if datagram[VERSION_AT] != VERSION {
        return Err(AuthenticationError::UnsupportedVersion);
    }
    Ok(())
}

/// Compares all bytes, so that the time it takes does not reveal where the tags differ.
fn is_same_tag(expected: &[u8], tag: &[u8]) -> bool {
    let pairs = expected.iter().zip(tag);
    pairs.fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
}

fn number_at(content: &[u8], at: usize) -> u64 {
    let bytes = content[at..at + 8].iter();
    bytes.fold(0, |number, &b| number << 8 | u64::from(b))
}
