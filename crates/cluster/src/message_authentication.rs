//! The form of datagrams: versioned, bounded, authenticated, and of no use a second time.
//!
//! ```text
//! 0   2  "DF"
//! 2   1  version, 1
//! 3   1  which key: the first byte of its fingerprint
//! 4   8  the sender's session: differs with each start of its process
//! 12  8  the sender's count, never used twice in a session
//! 20  8  the receiver's session, 0 where the sender does not know it
//! 28  1  kind of the payload
//! 29  n  payload
//! ..  16 SipHash-2-4-128 over all before, under the key
//! ```
//!
//! What costs least is looked at first: length and version before any hashing, so that foreign bytes cost a comparison
//! and a wrong key costs one hash. SipHash is a keyed function made for short messages; with a 128-bit tag a forged
//! datagram passes once in 2^128. HMAC-SHA-256 would do as well at some ten times the cost, which a flood would have us
//! pay for each of its datagrams. Payloads are not encrypted: records hold nothing secret.

use crate::keys::{Keyring, TAG_BYTES};
use crate::replay_window::ReplayWindow;
use crate::MAX_DATAGRAM_BYTES;
use std::collections::BTreeMap;

const MAGIC: &[u8; 2] = b"DF";
/// The version written, and the only one read: payloads grow by kinds and fields, not by versions.
pub const VERSION: u8 = 1;
/// Offsets of a datagram's fields.
const VERSION_AT: usize = 2;
const KEY_ID_AT: usize = 3;
const SESSION_AT: usize = 4;
const COUNT_AT: usize = 12;
const RECEIVER_AT: usize = 20;
const KIND_AT: usize = 28;
const HEAD_BYTES: usize = 29;
/// Longest payload.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD_BYTES - TAG_BYTES;
/// Sessions whose counts are remembered. Only who holds the key can make one be remembered.
pub const MAX_SESSIONS: usize = 2048;

/// The kind of a datagram's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Membership, in `foca`'s form.
    Members,
    /// Gossip records.
    GossipState,
    /// Versions of gossip records.
    Versions,
    /// To a member whose session is not above that of an earlier process of its name: which that was.
    StaleSession,
    /// Messages about consensus.
    Consensus,
    /// Of a later build: counted and ignored.
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

/// Why a datagram is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AuthenticationError {
    /// It is not of this form, or too short or long.
    UnknownProtocol,
    /// It is of another version.
    UnsupportedVersion,
    /// Its key is not in use.
    UnknownKey,
    /// It was damaged on its way, or made by somebody without the key.
    WrongTag,
    /// It was accepted before, or is too old to tell.
    Replayed,
    /// It is for an earlier process at this address, or comes from this one.
    StaleSession,
}

/// An authentic datagram, received for the first time.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The kind of its payload.
    pub payload: Payload,
    /// Its payload.
    pub bytes: &'a [u8],
    /// The sender's session.
    pub session: u64,
    /// Its key is on its way out.
    pub old_key: bool,
}

/// Counts of a session that were accepted.
#[derive(Default)]
struct SessionCounts {
    window: ReplayWindow,
    /// When it was last heard, in datagrams opened: the one that was not heard for longest is forgotten first.
    last_heard: u64,
}

/// Makes and checks the datagrams of one process.
pub struct MessageAuthenticator {
    keys: Keyring,
    session: u64,
    last_count: u64,
    sessions: BTreeMap<u64, SessionCounts>,
    opened: u64,
    /// Sessions forgotten, since there were too many.
    pub forgotten: u64,
}

impl MessageAuthenticator {
    /// For a process of this session; 0 is none.
    pub fn new(keys: Keyring, session: u64) -> MessageAuthenticator {
        MessageAuthenticator {
            keys,
            session: session.max(1),
            last_count: 0,
            sessions: BTreeMap::new(),
            opened: 0,
            forgotten: 0,
        }
    }

    /// Takes another session from now on: what is for the one before is of no use any more.
    pub fn change_session(&mut self, session: u64) {
        self.session = session.max(1);
    }

    /// Takes other keys from now on.
    pub fn change_keys(&mut self, keys: Keyring) {
        self.keys = keys;
    }

    /// Sessions whose counts are remembered.
    pub fn sessions(&self) -> impl Iterator<Item = u64> + '_ {
        self.sessions.keys().copied()
    }

    /// Makes a datagram for the process of this session (0 where that is not known); `None` if the payload is too long.
    pub fn seal(&mut self, payload: Payload, bytes: &[u8], receiver: u64) -> Option<Vec<u8>> {
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        self.last_count += 1;
        let key = self.keys.sending_key();
        let mut datagram = Vec::with_capacity(HEAD_BYTES + bytes.len() + TAG_BYTES);
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

    /// Checks a datagram and opens it.
    ///
    /// # Errors
    ///
    /// Fails for a datagram that is not authentic, not for this process, or not new: it is to be counted and dropped.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<Opened<'a>, AuthenticationError> {
        check_form(datagram)?;
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
            bytes: &content[HEAD_BYTES..],
            session,
            old_key,
        })
    }

    /// What the tag authenticates, and whether its key is on its way out.
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
            self.forget_session();
        }
        let counts = self.sessions.entry(session).or_default();
        counts.last_heard = self.opened;
        counts.window.accept(count)
    }

    fn forget_session(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(_, c)| c.last_heard);
        if let Some(session) = oldest.map(|(session, _)| *session) {
            self.sessions.remove(&session);
            self.forgotten += 1;
        }
    }
}

fn check_form(datagram: &[u8]) -> Result<(), AuthenticationError> {
    let lengths = HEAD_BYTES + TAG_BYTES..=MAX_DATAGRAM_BYTES;
    if !lengths.contains(&datagram.len()) || !datagram.starts_with(MAGIC) {
        return Err(AuthenticationError::UnknownProtocol);
    }
    if datagram[VERSION_AT] != VERSION {
        return Err(AuthenticationError::UnsupportedVersion);
    }
    Ok(())
}

/// Compares all bytes, so that the time it takes tells nothing of where tags differ.
fn is_same_tag(expected: &[u8], tag: &[u8]) -> bool {
    let pairs = expected.iter().zip(tag);
    pairs.fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
}

fn number_at(content: &[u8], at: usize) -> u64 {
    let bytes = content[at..at + 8].iter();
    bytes.fold(0, |number, &b| number << 8 | u64::from(b))
}
