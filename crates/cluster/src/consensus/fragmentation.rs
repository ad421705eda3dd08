//! What is longer than a datagram, in parts: the sender tells the first few, and the receiver asks for what it lacks, so that
//! the receiver sets the pace and a lost datagram costs one more question.

use crate::Micros;
use std::collections::BTreeMap;

/// Bytes of a part.
pub const PART: usize = 1000;
/// Longest whole: a state at all its bounds is a third of it.
pub const WHOLE_MOST: usize = 512 * 1024;
/// Parts told unasked, and asked for at once.
const FIRST: usize = 4;
const ASKED: usize = 8;
/// Wholes held on their way, each way; the oldest goes first.
const HELD: usize = 8;
/// A sender holds what nobody asks for, and a receiver what does not come on, for this long.
const PATIENCE: Micros = 5_000_000;
/// A receiver asks again after this long without a part.
const AGAIN: Micros = 150_000;

/// A part: which whole, its kind, which of how many.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fragment {
    /// The whole, by the sender's count.
    pub whole: u64,
    /// What the whole is.
    pub kind: u8,
    /// Which part.
    pub number: u16,
    /// Of how many.
    pub of: u16,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

struct Outgoing {
    to: String,
    kind: u8,
    bytes: Vec<u8>,
    asked: Micros,
}

struct Incoming {
    kind: u8,
    parts: Vec<Option<Vec<u8>>>,
    came: Micros,
    asked: Micros,
}

/// All that is on its way in parts.
#[derive(Default)]
pub struct Fragments {
    last: u64,
    outgoing: BTreeMap<u64, Outgoing>,
    incoming: BTreeMap<(String, u64), Incoming>,
    /// Wholes given up, for their number, age or size.
    pub dropped: u64,
}

impl Outgoing {
    fn part(&self, whole: u64, number: usize) -> Option<Fragment> {
        let of = self.bytes.len().div_ceil(PART);
        let bytes = self.bytes.chunks(PART).nth(number)?.to_vec();
        Some(Fragment {
            whole,
            kind: self.kind,
            number: number as u16,
            of: of as u16,
            bytes,
        })
    }
}

impl Fragments {
    /// Begins to send something; the first parts of it. Nothing where it is too long.
    pub fn send(&mut self, now: Micros, to: &str, kind: u8, bytes: Vec<u8>) -> Vec<Fragment> {
        if bytes.is_empty() || bytes.len() > WHOLE_MOST {
            self.dropped += 1;
            return Vec::new();
        }
        // What was under way to the same one is out of date.
        self.outgoing.retain(|_, o| o.to != to || o.kind != kind);
        if self.outgoing.len() >= HELD {
            self.outgoing.pop_first();
            self.dropped += 1;
        }
        self.last += 1;
        let outgoing = Outgoing {
            to: to.into(),
            kind,
            bytes,
            asked: now,
        };
        let first = (0..FIRST)
            .filter_map(|n| outgoing.part(self.last, n))
            .collect();
        self.outgoing.insert(self.last, outgoing);
        first
    }

    /// Parts that the receiver lacks.
    pub fn wanted(&mut self, now: Micros, by: &str, whole: u64, numbers: &[u16]) -> Vec<Fragment> {
        let Some(outgoing) = self.outgoing.get_mut(&whole).filter(|o| o.to == by) else {
            return Vec::new();
        };
        outgoing.asked = now;
        numbers
            .iter()
            .take(ASKED)
            .filter_map(|&n| outgoing.part(whole, n.into()))
            .collect()
    }

    /// A part has come; the whole and its kind, if it was the last that lacked.
    pub fn take(&mut self, now: Micros, from: &str, part: Fragment) -> Option<(u8, Vec<u8>)> {
        let Fragment {
            whole,
            kind,
            number,
            of,
            bytes,
        } = part;
        let of = usize::from(of);
        let fits = of > 0
            && of <= WHOLE_MOST.div_ceil(PART)
            && usize::from(number) < of
            && bytes.len() <= PART;
        if !fits {
            self.dropped += 1;
            return None;
        }
        let key = (from.to_string(), whole);
        if !self.incoming.contains_key(&key) {
            // A later whole of its kind takes the place of an earlier one.
            self.incoming
                .retain(|(f, w), i| f != from || *w > whole || i.kind != kind);
            if self.incoming.len() >= HELD {
                self.dropped += 1;
                let oldest = self
                    .incoming
                    .iter()
                    .min_by_key(|i| i.1.came)
                    .map(|i| i.0.clone());
                oldest.map(|k| self.incoming.remove(&k));
            }
        }
        let incoming = self
            .incoming
            .entry(key.clone())
            .or_insert_with(|| Incoming {
                kind,
                parts: vec![None; of],
                came: now,
                asked: now,
            });
        if incoming.parts.len() != of || incoming.kind != kind {
            self.dropped += 1;
            return None;
        }
        incoming.came = now;
        incoming.parts[usize::from(number)].get_or_insert(bytes);
        if incoming.parts.iter().any(Option::is_none) {
            return None;
        }
        let done = self.incoming.remove(&key)?;
        Some((
            done.kind,
            done.parts.into_iter().flatten().flatten().collect(),
        ))
    }

    /// Time has passed: what is to be asked for, of whom.
    pub fn tick(&mut self, now: Micros) -> Vec<(String, u64, Vec<u16>)> {
        let before = self.outgoing.len() + self.incoming.len();
        self.outgoing.retain(|_, o| now <= o.asked + PATIENCE);
        self.incoming.retain(|_, i| now <= i.came + PATIENCE);
        self.dropped += (before - self.outgoing.len() - self.incoming.len()) as u64;
        let mut asks = Vec::new();
        for ((from, whole), i) in &mut self.incoming {
            if now >= i.came.max(i.asked) + AGAIN || now >= i.asked + AGAIN {
                i.asked = now;
                let lacks = i
                    .parts
                    .iter()
                    .enumerate()
                    .filter(|p| p.1.is_none())
                    .map(|p| p.0 as u16);
                asks.push((from.clone(), *whole, lacks.take(ASKED).collect()));
            }
        }
        asks
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_whole_comes_through_whatever_is_lost_and_in_whatever_order() {
        let bytes: Vec<u8> = (0..25_300u32).map(|n| (n * 7 % 251) as u8).collect();
        let (mut a, mut b) = (Fragments::default(), Fragments::default());
        let mut under_way = a.send(0, "b", 3, bytes.clone());
        let (mut now, mut n) = (0, 0);
        let whole = loop {
            let mut whole = None;
            for part in under_way.drain(..).rev() {
                n += 1;
                // Every third is lost, and every fifth comes twice.
                if n % 3 == 0 {
                    continue;
                }
                if n % 5 == 0 {
                    whole = b.take(now, "a", part.clone()).or(whole);
                }
                whole = b.take(now, "a", part).or(whole);
            }
            if let Some(whole) = whole {
                break whole;
            }
            now += 100_000;
            assert!(now < 20_000_000, "never whole");
            for (of, whole, lacks) in b.tick(now) {
                assert_eq!(of, "a");
                under_way.extend(a.wanted(now, "b", whole, &lacks));
            }
        };
        assert_eq!(whole, (3, bytes));
        assert!(b.incoming.is_empty());
        // Others get nothing of it, and it is forgotten when nobody asks.
        assert!(a.wanted(now, "c", 1, &[0]).is_empty());
        a.tick(now + PATIENCE * 2);
        assert!(a.outgoing.is_empty());
    }

    #[test]
    fn wholes_on_their_way_are_bounded_and_parts_that_contradict_are_dropped() {
        let mut parts = Fragments::default();
        for n in 0..3 * HELD {
            parts.send(0, &format!("m{n}"), 1, vec![1; 3000]);
            let part = Fragment {
                whole: 1,
                kind: 1,
                number: 0,
                of: 9,
                bytes: vec![0; 10],
            };
            assert!(parts.take(n as u64, &format!("m{n}"), part).is_none());
        }
        assert_eq!((parts.outgoing.len(), parts.incoming.len()), (HELD, HELD));
        let last = format!("m{}", 3 * HELD - 1);
        for (number, of, length) in [
            (0, 5, 10),
            (9, 9, 10),
            (0, 0, 0),
            (0, u16::MAX, 5),
            (0, 9, PART + 1),
        ] {
            let part = Fragment {
                whole: 1,
                kind: 1,
                number,
                of,
                bytes: vec![0; length],
            };
            assert!(parts.take(99, &last, part).is_none());
        }
        assert!(parts.send(0, "x", 1, vec![0; WHOLE_MOST + 1]).is_empty());
    }
}
