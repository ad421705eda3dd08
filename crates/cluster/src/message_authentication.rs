//! The language of the datagrams: versioned, bounded, authenticated, and of no use a second time.
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
//! pay for each of its datagrams. What is sent can be read by who sees it: facts hold nothing secret.

use crate::MAX_DATAGRAM_BYTES;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::Hasher;

const MAGIC: &[u8; 2] = b"DF";
/// The version written, and the only one read: payloads grow by kinds and fields, not by versions.
pub const VERSION: u8 = 1;
const HEAD: usize = 29;
const TAG: usize = 16;
/// Most bytes of a payload.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD - TAG;
/// Sessions whose counts are remembered. Only who holds the key can make one be remembered.
const SESSIONS_MOST: usize = 2048;
/// Datagrams of one session may overtake each other by this many.
const WINDOW: u64 = 128;

/// What a payload is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Membership, in `foca`'s form.
    Members,
    /// Records.
    GossipState,
    /// Versions of records.
    Versions,
    /// To a member whose session is not above that of an earlier process of its name: which that was.
    StaleSession,
    /// What is agreed, and what is asked to be.
    Consensus,
    /// Of a later build: counted and let go.
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

    fn of(code: u8) -> Payload {
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

/// A key of 128 bits.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; 16]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key(…{:02x})", self.id())
    }
}

impl Key {
    /// Of 32 hex digits.
    pub fn parse(text: &str) -> Option<Key> {
        let fits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = fits.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(Key(number.to_be_bytes()))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(bytes);
        hasher.finish128().as_bytes()
    }

    /// Which key it is: tells apart two in use at once, and nothing of either.
    pub fn id(&self) -> u8 {
        self.tag(b"driftfront fleet key")[0]
    }
}

/// The keys in use: the first seals, all open. Two at once while they are changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keyring {
    keys: Vec<Key>,
}

/// Keys that may be in use at once.
const KEYS_MOST: usize = 2;

impl Keyring {
    /// Of a key file: a line of 32 hex digits each, the first to seal with; `#` begins a remark. The error names the line.
    pub fn parse(text: &str) -> Result<Keyring, String> {
        let mut keys: Vec<Key> = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let key = Key::parse(line).ok_or(format!("line {}: a key has 32 hex digits", n + 1))?;
            if keys.len() == KEYS_MOST {
                return Err(format!("line {}: {KEYS_MOST} keys at most", n + 1));
            }
            if keys.iter().any(|k| k.id() == key.id()) {
                return Err(format!(
                    "line {}: this key can't be told from the one before; make another",
                    n + 1
                ));
            }
            keys.push(key);
        }
        if keys.is_empty() {
            return Err("it holds no key".into());
        }
        Ok(Keyring { keys })
    }

    /// One key.
    pub fn of(key: Key) -> Keyring {
        Keyring { keys: vec![key] }
    }

    /// Which keys these are, the one that seals first.
    pub fn ids(&self) -> Vec<u8> {
        self.keys.iter().map(Key::id).collect()
    }
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// Not of this language, or too short or long.
    Foreign,
    /// Of another version.
    Version,
    /// Under a key that is not in use.
    UnknownKey,
    /// Spoilt on its way, or sealed by somebody without the key.
    Spoilt,
    /// It was taken before, or is too old to tell.
    Replayed,
    /// Meant for an earlier process at this address.
    Stale,
}

/// An authentic datagram, for the first time.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// What it is.
    pub payload: Payload,
    /// Its bytes.
    pub bytes: &'a [u8],
    /// The sender's session.
    pub session: u64,
    /// It was sealed with a key that is on its way out.
    pub old_key: bool,
}

#[derive(Clone, Copy, Default)]
struct Seen {
    highest: u64,
    /// Bit n: `highest - n` was taken.
    mask: u128,
    /// For forgetting: when it was last heard, in datagrams taken.
    at: u64,
}

impl Seen {
    /// Takes a count, once.
    fn take(&mut self, count: u64) -> bool {
        if count > self.highest {
            let ahead = count - self.highest;
            self.mask = if ahead >= WINDOW {
                0
            } else {
                self.mask << ahead
            };
            (self.highest, self.mask) = (count, self.mask | 1);
            return true;
        }
        let behind = self.highest - count;
        if behind >= WINDOW || self.mask >> behind & 1 == 1 {
            return false;
        }
        self.mask |= 1 << behind;
        true
    }
}

/// Seals and opens datagrams for one process.
pub struct MessageAuthenticator {
    keys: Keyring,
    session: u64,
    count: u64,
    seen: BTreeMap<u64, Seen>,
    taken: u64,
    /// Sessions forgotten, since there were too many.
    pub forgotten: u64,
}

impl MessageAuthenticator {
    /// For a process of this session; 0 is none.
    pub fn new(keys: Keyring, session: u64) -> MessageAuthenticator {
        MessageAuthenticator {
            keys,
            session: session.max(1),
            count: 0,
            seen: BTreeMap::new(),
            taken: 0,
            forgotten: 0,
        }
    }

    /// Another session from now on: what was meant for the one before is of no use any more.
    pub fn change_session(&mut self, session: u64) {
        self.session = session.max(1);
    }

    /// Other keys from now on.
    pub fn change_keys(&mut self, keys: Keyring) {
        self.keys = keys;
    }

    /// A datagram for the process of this session (0 where that is not known); `None` if the payload is too long.
    pub fn seal(&mut self, payload: Payload, bytes: &[u8], receiver: u64) -> Option<Vec<u8>> {
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        self.count += 1;
        let key = self.keys.keys[0];
        let mut out = Vec::with_capacity(HEAD + bytes.len() + TAG);
        out.extend_from_slice(MAGIC);
        out.extend([VERSION, key.id()]);
        for number in [self.session, self.count, receiver] {
            out.extend(number.to_be_bytes());
        }
        out.push(payload.code());
        out.extend_from_slice(bytes);
        out.extend(key.tag(&out));
        Some(out)
    }

    /// Opens a datagram.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<Opened<'a>, Refused> {
        if datagram.len() < HEAD + TAG
            || datagram.len() > MAX_DATAGRAM_BYTES
            || !datagram.starts_with(MAGIC)
        {
            return Err(Refused::Foreign);
        }
        if datagram[2] != VERSION {
            return Err(Refused::Version);
        }
        let key = self
            .keys
            .keys
            .iter()
            .position(|k| k.id() == datagram[3])
            .ok_or(Refused::UnknownKey)?;
        let (sealed, tag) = datagram.split_at(datagram.len() - TAG);
        // Compared whole, so that the time it takes tells nothing of where it differs.
        let differ = self.keys.keys[key]
            .tag(sealed)
            .iter()
            .zip(tag)
            .fold(0, |d, (a, b)| d | (a ^ b));
        if differ != 0 {
            return Err(Refused::Spoilt);
        }
        let number = |at: usize| {
            sealed[at..at + 8]
                .iter()
                .fold(0u64, |n, &b| n << 8 | u64::from(b))
        };
        let (session, count, receiver) = (number(4), number(12), number(20));
        if receiver != 0 && receiver != self.session || session == self.session {
            return Err(Refused::Stale);
        }
        self.taken += 1;
        if !self.seen.contains_key(&session) && self.seen.len() >= SESSIONS_MOST {
            let oldest = self.seen.iter().min_by_key(|s| s.1.at).map(|s| *s.0);
            self.forgotten += u64::from(oldest.is_some_and(|s| self.seen.remove(&s).is_some()));
        }
        let seen = self.seen.entry(session).or_default();
        seen.at = self.taken;
        if !seen.take(count) {
            return Err(Refused::Replayed);
        }
        let payload = Payload::of(sealed[28]);
        Ok(Opened {
            payload,
            bytes: &sealed[HEAD..],
            session,
            old_key: key > 0,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    fn keys(text: &str) -> Keyring {
        Keyring::parse(text).unwrap()
    }

    const ONE: &str = "000102030405060708090a0b0c0d0e0f";
    const TWO: &str = "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff";

    #[test]
    fn a_datagram_is_taken_once_and_only_as_it_was_sealed() {
        let (mut a, mut b) = (
            MessageAuthenticator::new(keys(ONE), 7),
            MessageAuthenticator::new(keys(ONE), 8),
        );
        let sent = a.seal(Payload::GossipState, b"hello", 8).unwrap();
        let opened = b.open(&sent).unwrap();
        assert_eq!(
            (opened.payload, opened.bytes, opened.session),
            (Payload::GossipState, &b"hello"[..], 7)
        );
        assert_eq!(b.open(&sent), Err(Refused::Replayed));
        // Every bit counts.
        let sent = a.seal(Payload::GossipState, b"hello", 8).unwrap();
        for n in 0..sent.len() * 8 {
            let mut spoilt = sent.clone();
            spoilt[n / 8] ^= 1 << (n % 8);
            assert!(b.open(&spoilt).is_err(), "bit {n}");
        }
        for length in 0..sent.len() {
            assert!(b.open(&sent[..length]).is_err());
        }
        assert!(b.open(&sent).is_ok());
        assert_eq!(
            a.seal(Payload::GossipState, &[0; MAX_PAYLOAD_BYTES + 1], 8),
            None
        );
        assert_eq!(
            a.seal(Payload::GossipState, &[0; MAX_PAYLOAD_BYTES], 8)
                .unwrap()
                .len(),
            MAX_DATAGRAM_BYTES
        );
    }

    #[test]
    fn what_was_meant_for_an_earlier_process_is_of_no_use_to_the_next() {
        let mut a = MessageAuthenticator::new(keys(ONE), 7);
        let sent = a.seal(Payload::Members, b"x", 8).unwrap();
        let mut restarted = MessageAuthenticator::new(keys(ONE), 9);
        assert_eq!(restarted.open(&sent), Err(Refused::Stale));
        assert!(restarted
            .open(&a.seal(Payload::Members, b"x", 0).unwrap())
            .is_ok());
        // Its own words, sent back to it.
        let own = restarted.seal(Payload::Members, b"x", 0).unwrap();
        assert_eq!(restarted.open(&own), Err(Refused::Stale));
    }

    #[test]
    fn keys_change_while_both_are_in_use() {
        let mut old = MessageAuthenticator::new(keys(ONE), 1);
        let mut both = MessageAuthenticator::new(keys(&format!("{TWO} # new\n\n{ONE}\n")), 2);
        let mut new = MessageAuthenticator::new(keys(TWO), 3);
        assert!(
            both.open(&old.seal(Payload::GossipState, b"", 2).unwrap())
                .unwrap()
                .old_key
        );
        assert!(
            !both
                .open(&new.seal(Payload::GossipState, b"", 2).unwrap())
                .unwrap()
                .old_key
        );
        assert_eq!(
            old.open(&new.seal(Payload::GossipState, b"", 1).unwrap()),
            Err(Refused::UnknownKey)
        );
        assert_eq!(
            old.open(&both.seal(Payload::GossipState, b"", 1).unwrap()),
            Err(Refused::UnknownKey)
        );
        old.change_keys(keys(&format!("{ONE}\n{TWO}")));
        assert!(old
            .open(&both.seal(Payload::GossipState, b"", 1).unwrap())
            .is_ok());
        for (text, why) in [
            ("", "no key"),
            ("xyz", "line 1"),
            (&format!("{ONE}\n{ONE}"), "line 2"),
        ] {
            assert!(Keyring::parse(text).unwrap_err().contains(why));
        }
        assert!(Keyring::parse(&format!("{ONE}\n{TWO}\n{ONE}"))
            .unwrap_err()
            .contains("line 3"));
        assert!(
            !format!("{:?}", keys(ONE)).contains("0102"),
            "a key is not shown"
        );
    }

    #[test]
    fn datagrams_may_overtake_each_other_within_the_window() {
        let mut seen = Seen::default();
        for count in [5, 3, 4, 200, 199, 73] {
            assert!(seen.take(count), "{count}");
            assert!(!seen.take(count), "{count} again");
        }
        assert!(!seen.take(72), "too old to tell");
        assert!(!seen.take(0));
    }

    #[test]
    fn sessions_are_bounded_and_the_longest_unheard_goes_first() {
        let mut own = MessageAuthenticator::new(keys(ONE), 1);
        for session in 10..10 + SESSIONS_MOST as u64 + 5 {
            let mut other = MessageAuthenticator::new(keys(ONE), session);
            own.open(&other.seal(Payload::GossipState, b"", 1).unwrap())
                .unwrap();
        }
        assert_eq!((own.seen.len(), own.forgotten), (SESSIONS_MOST, 5));
        assert!(!own.seen.contains_key(&10) && own.seen.contains_key(&15));
    }

    #[test]
    fn a_count_is_taken_once_in_whatever_order_counts_come() {
        fn once(counts: Vec<u8>) -> bool {
            let mut seen = Seen::default();
            let mut taken = std::collections::BTreeSet::new();
            counts.iter().all(|&c| {
                let fresh = c > 0 && !taken.contains(&c);
                let held = seen.highest;
                let old = u64::from(c) + WINDOW <= held;
                let took = seen.take(u64::from(c));
                if took {
                    taken.insert(c);
                }
                c == 0 || took == (fresh && !old)
            })
        }
        quickcheck(once as fn(Vec<u8>) -> bool);
    }

    #[test]
    fn nothing_that_comes_makes_it_panic() {
        fn opens(bytes: Vec<u8>, headed: bool) -> bool {
            let mut own = MessageAuthenticator::new(keys(ONE), 1);
            let bytes = if headed {
                [b"DF\x01", &bytes[..]].concat()
            } else {
                bytes
            };
            own.open(&bytes).is_err()
        }
        quickcheck(opens as fn(Vec<u8>, bool) -> bool);
    }
}
