//! The datagram format, keys and replay protection.
#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes values to a property"
)]

use driftfront_cluster::message_authentication::{
    AuthenticationError, MessageAuthenticator, Payload, MAX_PAYLOAD_BYTES, MAX_SESSIONS,
};
use driftfront_cluster::replay_window::{ReplayWindow, REPLAY_WINDOW};
use driftfront_cluster::{Keyring, MAX_DATAGRAM_BYTES};
use quickcheck::quickcheck;

fn keys(text: &str) -> Keyring {
    Keyring::parse(text).unwrap()
}

const ONE: &str = "000102030405060708090a0b0c0d0e0f";
const TWO: &str = "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff";

#[test]
fn datagram_is_accepted_once_and_only_unmodified() {
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
    assert_eq!(b.open(&sent), Err(AuthenticationError::Replayed));
    // Flipping any bit makes it invalid.
    let sent = a.seal(Payload::GossipState, b"hello", 8).unwrap();
    for n in 0..sent.len() * 8 {
        let mut modified = sent.clone();
        modified[n / 8] ^= 1 << (n % 8);
        assert!(b.open(&modified).is_err(), "bit {n}");
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
fn datagram_for_an_earlier_process_is_rejected_by_the_next() {
    let mut a = MessageAuthenticator::new(keys(ONE), 7);
    let sent = a.seal(Payload::Members, b"x", 8).unwrap();
    let mut restarted = MessageAuthenticator::new(keys(ONE), 9);
    assert_eq!(
        restarted.open(&sent),
        Err(AuthenticationError::StaleSession)
    );
    assert!(restarted
        .open(&a.seal(Payload::Members, b"x", 0).unwrap())
        .is_ok());
    // Its own datagram, reflected to it.
    let own = restarted.seal(Payload::Members, b"x", 0).unwrap();
    assert_eq!(restarted.open(&own), Err(AuthenticationError::StaleSession));
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
        Err(AuthenticationError::UnknownKey)
    );
    assert_eq!(
        old.open(&both.seal(Payload::GossipState, b"", 1).unwrap()),
        Err(AuthenticationError::UnknownKey)
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
        let error = Keyring::parse(text).unwrap_err();
        assert!(error.to_string().contains(why));
    }
    assert!(Keyring::parse(&format!("{ONE}\n{TWO}\n{ONE}"))
        .unwrap_err()
        .to_string()
        .contains("line 3"));
    assert!(
        !format!("{:?}", keys(ONE)).contains("0102"),
        "debug output must not contain a key"
    );
}

#[test]
fn datagrams_may_be_reordered_within_the_window() {
    let mut window = ReplayWindow::default();
    for count in [5, 3, 4, 200, 199, 73] {
        assert!(window.accept(count), "{count}");
        assert!(!window.accept(count), "{count} again");
    }
    assert!(!window.accept(72), "older than the window");
    assert!(!window.accept(0));
}

#[test]
fn sessions_are_limited_and_the_least_recent_is_evicted_first() {
    let mut own = MessageAuthenticator::new(keys(ONE), 1);
    for session in 10..10 + MAX_SESSIONS as u64 + 5 {
        let mut other = MessageAuthenticator::new(keys(ONE), session);
        own.open(&other.seal(Payload::GossipState, b"", 1).unwrap())
            .unwrap();
    }
    assert_eq!(
        (own.sessions().count(), own.evicted_sessions),
        (MAX_SESSIONS, 5)
    );
    assert!(!own.sessions().any(|s| s == 10) && own.sessions().any(|s| s == 15));
}

#[test]
fn count_is_accepted_once_in_any_order() {
    fn once(counts: Vec<u8>) -> bool {
        let mut window = ReplayWindow::default();
        let mut accepted = std::collections::BTreeSet::new();
        counts.iter().all(|&c| {
            let is_new = c > 0 && !accepted.contains(&c);
            let is_too_old = u64::from(c) + REPLAY_WINDOW <= window.highest();
            let is_accepted = window.accept(u64::from(c));
            if is_accepted {
                accepted.insert(c);
            }
            c == 0 || is_accepted == (is_new && !is_too_old)
        })
    }
    quickcheck(once as fn(Vec<u8>) -> bool);
}

#[test]
fn opening_arbitrary_bytes_never_panics() {
    fn is_rejected(bytes: Vec<u8>, has_magic: bool) -> bool {
        let mut own = MessageAuthenticator::new(keys(ONE), 1);
        let bytes = if has_magic {
            [b"DF\x01", &bytes[..]].concat()
        } else {
            bytes
        };
        own.open(&bytes).is_err()
    }
    quickcheck(is_rejected as fn(Vec<u8>, bool) -> bool);
}
