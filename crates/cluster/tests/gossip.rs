//! Replication of gossip records.
#![allow(
    clippy::cast_possible_truncation,
    reason = "numbers of a test are small"
)]

use driftfront_cluster::gossip::{GossipState, MAX_KINDS_PER_OWNER, MAX_OWNERS, MAX_VALUE_BYTES};
use driftfront_cluster::{Kind, Micros};
use quickcheck::{quickcheck, Arbitrary, Gen};

const S: Micros = 1_000_000;
const MAX_BYTES: usize = 1100;

/// Compares versions often enough that both members have all records of each other.
fn exchange(now: Micros, a: &mut GossipState, b: &mut GossipState) {
    for _ in 0..200 {
        let versions = b.next_versions(MAX_BYTES);
        let from_a = a.compare_versions(now, &versions, MAX_BYTES, 2);
        for d in &from_a.records {
            b.receive(now, d, 0);
        }
        if let Some(reply) = from_a.reply {
            let from_b = b.compare_versions(now, &reply, MAX_BYTES, 2);
            assert!(from_b.reply.is_none(), "a reply to a reply");
            for d in &from_b.records {
                a.receive(now, d, 0);
            }
        }
    }
}

#[test]
fn newest_record_of_an_owner_counts_with_its_age() {
    let (mut a, mut b) = (GossipState::new("a", 5), GossipState::new("b", 6));
    assert!(a.publish(0, 7, b"one", 3));
    b.receive(S, &a.next_rumors(S, MAX_BYTES).unwrap(), 3);
    assert!(a.publish(2 * S, 7, b"two", 3));
    let second = a.next_rumors(2 * S, MAX_BYTES).unwrap();
    b.update_reachability(2 * S, |name| name == "a");
    assert_eq!(b.receive(3 * S, &second, 3), 1);
    assert_eq!(
        b.receive(3 * S, &second, 3),
        0,
        "a repeated record is not new"
    );
    let record = b.get(5 * S, "a", 7).unwrap();
    assert_eq!(
        (record.value, record.age, record.reachable),
        (&b"two"[..], 2 * S, true)
    );
    // The age keeps growing when a third member relays the record.
    let mut c = GossipState::new("c", 1);
    c.receive(6 * S, &b.next_rumors(6 * S, MAX_BYTES).unwrap(), 3);
    assert_eq!(c.get(6 * S, "a", 7).unwrap().age, 3 * S);
    // Records of the owner's next process replace all earlier ones, although their numbers start from one again.
    let mut restarted = GossipState::new("a", 9);
    restarted.publish(7 * S, 8, b"new", 3);
    b.receive(7 * S, &restarted.next_rumors(7 * S, MAX_BYTES).unwrap(), 3);
    assert!(b.get(7 * S, "a", 7).is_none());
    assert_eq!(b.get(7 * S, "a", 8).unwrap().value, b"new");
    b.receive(8 * S, &second, 3);
    assert!(
        b.get(8 * S, "a", 7).is_none(),
        "a late record of an earlier process is ignored"
    );
}

#[test]
fn record_of_a_gone_owner_is_kept_for_a_while_and_marked() {
    let (mut a, mut b) = (GossipState::new("a", 5), GossipState::new("b", 6));
    a.publish(0, 1, b"x", 3);
    b.receive(0, &a.next_rumors(0, MAX_BYTES).unwrap(), 3);
    b.update_reachability(S, |_| true);
    assert!(b.get(S, "a", 1).unwrap().reachable);
    b.update_reachability(2 * S, |_| false);
    let record = b.get(30 * S, "a", 1).unwrap();
    assert_eq!((record.reachable, record.age), (false, 30 * S));
    b.update_reachability(61 * S, |_| false);
    assert!(b.get(61 * S, "a", 1).is_some());
    b.update_reachability(63 * S, |_| false);
    assert!(b.get(63 * S, "a", 1).is_none() && b.is_empty());
}

#[test]
fn forged_record_is_refuted_by_its_owner() {
    let (mut a, mut forger, mut b) = (
        GossipState::new("a", 5),
        GossipState::new("a", 5),
        GossipState::new("b", 6),
    );
    a.publish(0, 1, b"true", 3);
    for n in 0..40u8 {
        forger.publish(0, 1, &[n], 3);
    }
    let forged = forger.next_rumors(0, MAX_BYTES).unwrap();
    b.receive(0, &forged, 3);
    assert_eq!(b.get(0, "a", 1).unwrap().value, &[39]);
    a.receive(S, &forged, 3);
    assert_eq!(a.refused.forged, 1);
    b.receive(S, &a.next_rumors(S, MAX_BYTES).unwrap(), 3);
    assert_eq!(b.get(S, "a", 1).unwrap().value, b"true");
    // A forged record with a later session is refuted too; one with the highest session can't be refuted, so it is invalid.
    let mut future = GossipState::new("a", 1 << 40);
    future.publish(0, 1, b"lie", 3);
    let forged = future.next_rumors(0, MAX_BYTES).unwrap();
    b.receive(2 * S, &forged, 3);
    a.receive(2 * S, &forged, 3);
    b.receive(2 * S, &a.next_rumors(2 * S, MAX_BYTES).unwrap(), 3);
    assert_eq!(b.get(2 * S, "a", 1).unwrap().value, b"true");
    let mut last = GossipState::new("a", u64::MAX);
    last.publish(0, 1, b"lie", 3);
    assert_eq!(
        b.receive(3 * S, &last.next_rumors(0, MAX_BYTES).unwrap(), 3),
        0
    );
    assert_eq!(b.refused.malformed, 1);
}

#[test]
fn size_kinds_and_owners_are_bounded_and_refusals_counted() {
    let mut a = GossipState::new("a", 5);
    assert!(!a.publish(0, 1, &[0; MAX_VALUE_BYTES + 1], 3));
    for kind in 0..MAX_KINDS_PER_OWNER as Kind {
        assert!(a.publish(0, kind, b"x", 3));
    }
    assert!(!a.publish(0, 99, b"x", 3));
    assert_eq!(a.refused.over_limit, 2);
    let mut b = GossipState::new("b", 6);
    for n in 0..MAX_OWNERS + 3 {
        let mut owner = GossipState::new(&format!("o{n}"), 1);
        owner.publish(0, 1, b"x", 1);
        b.receive(0, &owner.next_rumors(0, MAX_BYTES).unwrap(), 0);
    }
    assert_eq!((b.len(), b.refused.over_limit), (MAX_OWNERS - 1, 4));
}

#[test]
fn comparing_versions_makes_both_members_converge() {
    let (mut a, mut b) = (GossipState::new("a", 5), GossipState::new("b", 6));
    for n in 0..300 {
        let mut owner = GossipState::new(&format!("owner-{n:03}"), 1);
        owner.publish(0, 1, &[n as u8; 40], 1);
        let one = owner.next_rumors(0, MAX_BYTES).unwrap();
        owner.publish(0, 1, &[n as u8; 41], 1);
        let two = owner.next_rumors(0, MAX_BYTES).unwrap();
        for (n, side) in [(n, &mut a), (n + 1, &mut b)] {
            match n % 3 {
                0 => drop(side.receive(0, &one, 0)),
                1 => drop(side.receive(0, &two, 0)),
                _ => {}
            }
        }
    }
    exchange(S, &mut a, &mut b);
    // All records have the same session.
    let all = |g: &GossipState| -> Vec<(String, u64, Vec<u8>)> {
        g.all(S, 1)
            .map(|(owner, r)| (owner.to_string(), r.version, r.value.to_vec()))
            .collect()
    };
    assert_eq!(a.len(), 300);
    assert_eq!(all(&a), all(&b));
}

#[derive(Clone, Debug)]
struct Noise(Vec<u8>, usize, u8);

impl Arbitrary for Noise {
    fn arbitrary(g: &mut Gen) -> Noise {
        Noise(Vec::arbitrary(g), usize::arbitrary(g), u8::arbitrary(g))
    }
}

#[test]
fn arbitrary_datagrams_cause_no_panic_and_no_unbounded_growth() {
    fn is_bounded(noise: Vec<Noise>) -> bool {
        let (mut a, mut b) = (GossipState::new("a", 5), GossipState::new("b", 6));
        b.publish(0, 1, b"value", 9);
        for Noise(bytes, at, with) in noise {
            let mut rumors = b.next_rumors(0, MAX_BYTES).unwrap_or_default();
            let mut versions = b.next_versions(MAX_BYTES);
            for d in [&mut rumors, &mut versions] {
                if !d.is_empty() {
                    let at = at % d.len();
                    d[at] ^= with;
                }
            }
            for d in [&bytes, &rumors, &versions] {
                a.receive(0, d, 1);
                let compared = a.compare_versions(0, d, MAX_BYTES, 2);
                assert!(
                    compared.records.len() <= 2
                        && compared
                            .records
                            .iter()
                            .chain(&compared.reply)
                            .all(|d| d.len() <= MAX_BYTES)
                );
            }
        }
        a.len() < 2000
    }
    quickcheck(is_bounded as fn(Vec<Noise>) -> bool);
}
