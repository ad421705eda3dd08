//! Records that each member tells of itself, and what the others know of them.
//!
//! A record belongs to its owner's name and has a kind; of two the one of the later session, then of the higher version
//! counts. A new one is passed on as a rumour for some rounds; what rumours missed is found by comparing versions over a
//! range of names with one other at a time. Records are bounded in size, by kind, and by owner; those of an owner that is
//! gone are kept for a while, as the last that was heard, with their age, and then dropped.
//!
//! Kinds that this build does not know are kept and passed on as they are: in every release two builds run side by side.

use crate::membership::MAX_NAME_BYTES;
use crate::Micros;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// What a record is about: a number that all builds agree on.
pub type Kind = u16;

/// A member's word on itself, as [`crate::MemberMetadata`].
pub const ABOUT: Kind = 1;
/// A member's part in what is agreed, as [`crate::consensus::Notice`].
pub const AGREED: Kind = 2;

/// Longest value.
pub const MAX_VALUE_BYTES: usize = 256;
/// Kinds of one owner, and owners.
const KINDS_MOST: usize = 16;
const OWNERS_MOST: usize = 1024;
/// Records of an owner that is gone are kept for this long.
const KEEP_GONE: Micros = 60_000_000;
/// Sessions and versions above this can't be outdone, so they are no honest owner's.
const NUMBER_MOST: u64 = 1 << 62;
/// An age that is told saturates here, at some 50 days.
const AGE_MOST: Micros = u32::MAX as Micros * 1000;

/// A record's place.
pub type Place = (Rc<str>, Kind);

#[derive(Clone, Debug)]
struct StoredRecord {
    session: u64,
    version: u64,
    value: Rc<[u8]>,
    /// When it came here, and how old it was.
    came: Micros,
    age: Micros,
    /// Rounds for which it is still passed on.
    rounds: u32,
}

impl StoredRecord {
    fn number(&self) -> (u64, u64) {
        (self.session, self.version)
    }
}

/// A record as a reader gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipRecord<'a> {
    /// Its value.
    pub value: &'a [u8],
    /// How long ago its owner told it, by as much as is known: at least what it took on its way.
    pub age: Micros,
    /// Its owner is there; else it is the last that was heard.
    pub reachable: bool,
    /// Grows with each word of the owner's.
    pub version: u64,
}

/// Counts of what did not fit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Records of an owner or kind beyond the bounds.
    pub bounds: u64,
    /// Datagrams that end within a record, or hold what can't be one.
    pub malformed: u64,
    /// Records under our own name that we never told.
    pub forged: u64,
}

/// All records that one member knows.
pub struct GossipState {
    me: Rc<str>,
    session: u64,
    records: BTreeMap<Place, StoredRecord>,
    /// Owners, and since when each has been gone.
    owners: BTreeMap<Rc<str>, Option<Micros>>,
    /// Where the next comparison begins.
    cursor: Place,
    /// What did not fit.
    pub refused: Refusals,
}

/// All places of an owner.
fn places_of(owner: &Rc<str>) -> RangeInclusive<Place> {
    (owner.clone(), 0)..=(owner.clone(), Kind::MAX)
}

fn first_place() -> Place {
    (Rc::from(""), 0)
}

struct Bytes<'a>(&'a [u8]);

impl<'a> Bytes<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(taken)
    }
    fn number(&mut self, bytes: usize) -> Option<u64> {
        Some(
            self.take(bytes)?
                .iter()
                .fold(0, |n, &b| n << 8 | u64::from(b)),
        )
    }
    /// A name and a kind.
    fn place(&mut self) -> Option<Place> {
        let length = self.number(1)? as usize;
        let name = std::str::from_utf8(self.take(length)?)
            .ok()
            .filter(|n| n.len() <= MAX_NAME_BYTES)?;
        Some((name.into(), self.number(2)? as Kind))
    }
}

fn write_place(place: &Place, out: &mut Vec<u8>) {
    out.push(place.0.len() as u8);
    out.extend_from_slice(place.0.as_bytes());
    out.extend(place.1.to_be_bytes());
}

impl GossipState {
    /// None yet, of a member of this name and session.
    pub fn new(me: &str, session: u64) -> GossipState {
        let me: Rc<str> = me.into();
        let owners = BTreeMap::from([(me.clone(), None)]);
        let (records, cursor, refused) = (BTreeMap::new(), first_place(), Refusals::default());
        GossipState {
            me,
            session,
            records,
            owners,
            cursor,
            refused,
        }
    }

    /// Tells a record of our own, if it is new. False where it is too long or of one kind too many.
    pub fn tell(&mut self, now: Micros, kind: Kind, value: &[u8], rounds: u32) -> bool {
        let place = (self.me.clone(), kind);
        let old = self.records.get(&place);
        if old.is_some_and(|r| *r.value == *value) {
            return true;
        }
        if value.len() > MAX_VALUE_BYTES || old.is_none() && self.kinds_of(&self.me) >= KINDS_MOST {
            self.refused.bounds += 1;
            return false;
        }
        let version = old.map_or(0, |r| r.version) + 1;
        let (session, value) = (self.session, Rc::from(value));
        self.records.insert(
            place,
            StoredRecord {
                session,
                version,
                value,
                came: now,
                age: 0,
                rounds,
            },
        );
        true
    }

    fn kinds_of(&self, owner: &Rc<str>) -> usize {
        self.records.range(places_of(owner)).count()
    }

    /// Our session from now on, if it is above the one before: our records are told anew under it.
    pub fn outdo(&mut self, now: Micros, session: u64, rounds: u32) {
        if session > self.session {
            self.session = session;
            let me = self.me.clone();
            for (_, r) in self.records.range_mut(places_of(&me)) {
                (r.session, r.came, r.rounds) = (session, now, rounds);
            }
        }
    }

    /// What is known of an owner under a kind.
    pub fn get(&self, now: Micros, owner: &str, kind: Kind) -> Option<GossipRecord<'_>> {
        let place = (Rc::from(owner), kind);
        let gone = self.owners.get(&place.0).copied().flatten();
        self.records
            .get(&place)
            .map(|r| self.fact(now, &place.0, gone, r))
    }

    fn fact<'a>(
        &self,
        now: Micros,
        owner: &str,
        gone: Option<Micros>,
        r: &'a StoredRecord,
    ) -> GossipRecord<'a> {
        // Our own word is as good as new for as long as we are there.
        let age = if owner == &*self.me {
            0
        } else {
            r.age + now.saturating_sub(r.came)
        };
        GossipRecord {
            value: &r.value,
            age,
            reachable: gone.is_none(),
            version: r.version,
        }
    }

    /// All that is known under a kind, by owner.
    pub fn all(
        &self,
        now: Micros,
        kind: Kind,
    ) -> impl Iterator<Item = (&str, GossipRecord<'_>)> + '_ {
        let of_kind = self.records.iter().filter(move |r| r.0 .1 == kind);
        of_kind.map(move |((owner, _), r)| {
            let gone = self.owners.get(owner).copied().flatten();
            (&**owner, self.fact(now, owner, gone, r))
        })
    }

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Who is there has changed, or time has passed: owners that are gone age, and those long gone are dropped.
    pub fn look(&mut self, now: Micros, is_there: impl Fn(&str) -> bool) {
        for (name, gone) in &mut self.owners {
            match **name == *self.me || is_there(name) {
                true => *gone = None,
                false => drop(gone.get_or_insert(now)),
            }
        }
        let over = |gone: &Option<Micros>| gone.is_some_and(|since| now > since + KEEP_GONE);
        let dropped: Vec<Rc<str>> = self
            .owners
            .iter()
            .filter(|o| over(o.1))
            .map(|o| o.0.clone())
            .collect();
        for name in dropped {
            self.drop_owner(&name);
        }
    }

    fn drop_owner(&mut self, name: &Rc<str>) {
        self.owners.remove(name);
        self.records.retain(|place, _| place.0 != *name);
    }

    /// Takes a record; true if it was news.
    fn accept(&mut self, now: Micros, place: Place, new: StoredRecord) -> bool {
        if place.0 == self.me {
            return self.contradict(now, &place, &new);
        }
        match self.records.get(&place) {
            Some(old) if old.number() >= new.number() => return false,
            Some(_) => {}
            None => {
                let known = self.owners.contains_key(&place.0);
                if !known && self.owners.len() >= OWNERS_MOST
                    || self.kinds_of(&place.0) >= KINDS_MOST
                {
                    self.refused.bounds += 1;
                    return false;
                }
            }
        }
        // What an earlier process of the owner's told says nothing any more.
        let (owner, session) = (place.0.clone(), new.session);
        self.records
            .retain(|p, r| p.0 != owner || r.session >= session);
        if self
            .records
            .range(places_of(&owner))
            .any(|r| r.1.session > session)
        {
            return false;
        }
        self.owners.entry(owner).or_insert(Some(now));
        self.records.insert(place, new);
        true
    }

    /// Somebody tells what we never told: ours is told anew, so that it outdoes that.
    fn contradict(&mut self, now: Micros, place: &Place, new: &StoredRecord) -> bool {
        let own = self.records.get(place);
        let known = own.is_some_and(|r| {
            r.number() > new.number() || r.number() == new.number() && r.value == new.value
        });
        if known || new.session < self.session {
            return false;
        }
        self.refused.forged += 1;
        self.session = self.session.max(new.session);
        let (session, me) = (self.session, self.me.clone());
        let least = new.version + 1;
        for (_, r) in self.records.range_mut(places_of(&me)) {
            (r.session, r.version, r.rounds, r.came) =
                (session, r.version.max(least), r.rounds.max(8), now);
        }
        true
    }

    /// Reads a datagram of records; how many were news. Each is passed on for so many rounds.
    pub fn take(&mut self, now: Micros, bytes: &[u8], rounds: u32) -> usize {
        let mut bytes = Bytes(bytes);
        let mut news = 0;
        while !bytes.0.is_empty() {
            let mut read = || {
                let place = bytes.place()?;
                let (session, version) = (bytes.number(8)?, bytes.number(8)?);
                let age = bytes.number(4)? * 1000;
                let length = bytes.number(2)? as usize;
                let value = bytes.take(length).filter(|v| v.len() <= MAX_VALUE_BYTES)?;
                let fits = !place.0.is_empty() && session <= NUMBER_MOST && version <= NUMBER_MOST;
                let record = StoredRecord {
                    session,
                    version,
                    value: value.into(),
                    came: now,
                    age,
                    rounds,
                };
                fits.then_some((place, record))
            };
            let Some((place, record)) = read() else {
                self.refused.malformed += 1;
                return news;
            };
            news += usize::from(self.accept(now, place, record));
        }
        news
    }

    fn write(now: Micros, place: &Place, r: &StoredRecord, own: bool, out: &mut Vec<u8>) {
        write_place(place, out);
        out.extend(r.session.to_be_bytes());
        out.extend(r.version.to_be_bytes());
        let age = if own {
            0
        } else {
            (r.age + now.saturating_sub(r.came)).min(AGE_MOST)
        };
        out.extend(((age / 1000) as u32).to_be_bytes());
        out.extend((r.value.len() as u16).to_be_bytes());
        out.extend_from_slice(&r.value);
    }

    /// A datagram of at most so many bytes with what is to be passed on in this round; `None` if nothing is.
    pub fn rumours(&mut self, now: Micros, most: usize) -> Option<Vec<u8>> {
        let mut due: Vec<Place> = self
            .records
            .iter()
            .filter(|r| r.1.rounds > 0)
            .map(|r| r.0.clone())
            .collect();
        // What was passed on least goes first.
        due.sort_by_key(|p| std::cmp::Reverse(self.records[p].rounds));
        let mut out = Vec::new();
        for place in due {
            let own = place.0 == self.me;
            let Some(r) = self.records.get_mut(&place) else {
                continue;
            };
            let before = out.len();
            GossipState::write(now, &place, r, own, &mut out);
            if out.len() > most {
                out.truncate(before);
                break;
            }
            r.rounds -= 1;
        }
        (!out.is_empty()).then_some(out)
    }

    /// Versions over the next range of places, to compare with another's: at most so many bytes. `ask` has the other tell
    /// its own where ours are older.
    pub fn digest(&mut self, most: usize) -> Vec<u8> {
        let low = self.cursor.clone();
        let (bytes, next) = self.digest_of(&low, None, most, true);
        self.cursor = next.unwrap_or_else(first_place);
        bytes
    }

    /// Versions from `low` on, up to `high` or as far as they fit; the first place that did not.
    fn digest_of(
        &self,
        low: &Place,
        high: Option<&Place>,
        most: usize,
        ask: bool,
    ) -> (Vec<u8>, Option<Place>) {
        let mut entries = Vec::new();
        let mut next = None;
        let mut last = None;
        // The head: the range, and whether an answer is wanted.
        let room = most.saturating_sub(2 + 2 * (3 + MAX_NAME_BYTES));
        for (place, r) in self.records.range(low.clone()..) {
            if high.is_some_and(|h| place > h) {
                break;
            }
            let before = entries.len();
            write_place(place, &mut entries);
            entries.extend(r.session.to_be_bytes());
            entries.extend(r.version.to_be_bytes());
            if entries.len() > room {
                entries.truncate(before);
                next = Some(place.clone());
                break;
            }
            last = Some(place.clone());
        }
        let mut out = vec![u8::from(ask)];
        write_place(low, &mut out);
        match (next.as_ref().and(last.as_ref()), high) {
            (Some(last), _) | (None, Some(last)) => {
                out.push(1);
                write_place(last, &mut out);
            }
            // To the end of all names.
            (None, None) => out.push(0),
        }
        out.extend(entries);
        (out, next)
    }

    /// Compares another's versions with ours: what it lacks, in datagrams of at most `most` bytes, `count` of them; and
    /// our own versions, where the other knows more and asked.
    pub fn compare(
        &mut self,
        now: Micros,
        bytes: &[u8],
        most: usize,
        count: usize,
    ) -> (Vec<Vec<u8>>, Option<Vec<u8>>) {
        let mut bytes = Bytes(bytes);
        let mut head = || {
            let ask = bytes.number(1)? == 1;
            let low = bytes.place()?;
            let high = if bytes.number(1)? == 1 {
                Some(bytes.place()?)
            } else {
                None
            };
            Some((ask, low, high))
        };
        let Some((ask, low, high)) = head() else {
            self.refused.malformed += 1;
            return (Vec::new(), None);
        };
        let mut theirs: BTreeMap<Place, (u64, u64)> = BTreeMap::new();
        while !bytes.0.is_empty() {
            let mut entry = || Some((bytes.place()?, (bytes.number(8)?, bytes.number(8)?)));
            let Some((place, number)) = entry() else {
                self.refused.malformed += 1;
                return (Vec::new(), None);
            };
            theirs.insert(place, number);
        }
        let inside = |place: &Place| high.as_ref().is_none_or(|h| place <= h);
        let ours = || {
            self.records
                .range(low.clone()..)
                .take_while(|r| inside(r.0))
        };
        let mut datagrams: Vec<Vec<u8>> = Vec::new();
        for (place, r) in ours().filter(|(p, r)| theirs.get(*p).is_none_or(|n| *n < r.number())) {
            let mut one = Vec::new();
            GossipState::write(now, place, r, place.0 == self.me, &mut one);
            let full = datagrams.len() >= count;
            match datagrams.last_mut().filter(|d| d.len() + one.len() <= most) {
                Some(open) => open.extend(one),
                None if full => break,
                None => datagrams.push(one),
            }
        }
        let lacks = theirs
            .iter()
            .any(|(place, n)| self.records.get(place).is_none_or(|r| r.number() < *n));
        let answer = (ask && lacks).then(|| self.digest_of(&low, high.as_ref(), most, false).0);
        (datagrams, answer)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{quickcheck, Arbitrary, Gen};

    const S: Micros = 1_000_000;
    const MOST: usize = 1100;

    /// Passes all of one's news on to another until neither has any.
    fn exchange(now: Micros, a: &mut GossipState, b: &mut GossipState) {
        for _ in 0..200 {
            let (for_b, ask) = {
                let digest = b.digest(MOST);
                a.compare(now, &digest, MOST, 2)
            };
            for d in &for_b {
                b.take(now, d, 0);
            }
            if let Some(ask) = ask {
                let (for_a, more) = b.compare(now, &ask, MOST, 2);
                assert!(more.is_none(), "an answer to an answer");
                for d in &for_a {
                    a.take(now, d, 0);
                }
            }
        }
    }

    #[test]
    fn the_newest_word_of_an_owner_counts_with_its_age() {
        let (mut a, mut b) = (GossipState::new("a", 5), GossipState::new("b", 6));
        assert!(a.tell(0, 7, b"one", 3));
        b.take(S, &a.rumours(S, MOST).unwrap(), 3);
        assert!(a.tell(2 * S, 7, b"two", 3));
        let second = a.rumours(2 * S, MOST).unwrap();
        b.look(2 * S, |name| name == "a");
        assert_eq!(b.take(3 * S, &second, 3), 1);
        assert_eq!(b.take(3 * S, &second, 3), 0, "news twice");
        let fact = b.get(5 * S, "a", 7).unwrap();
        assert_eq!(
            (fact.value, fact.age, fact.reachable),
            (&b"two"[..], 2 * S, true)
        );
        // Through a third its age goes on.
        let mut c = GossipState::new("c", 1);
        c.take(6 * S, &b.rumours(6 * S, MOST).unwrap(), 3);
        assert_eq!(c.get(6 * S, "a", 7).unwrap().age, 3 * S);
        // The owner's next process outdoes all of the one before, though it counts from one again.
        let mut again = GossipState::new("a", 9);
        again.tell(7 * S, 8, b"new", 3);
        b.take(7 * S, &again.rumours(7 * S, MOST).unwrap(), 3);
        assert!(b.get(7 * S, "a", 7).is_none());
        assert_eq!(b.get(7 * S, "a", 8).unwrap().value, b"new");
        b.take(8 * S, &second, 3);
        assert!(
            b.get(8 * S, "a", 7).is_none(),
            "a word of an earlier process came late"
        );
    }

    #[test]
    fn what_an_owner_that_is_gone_told_last_is_kept_for_a_while_and_marked() {
        let (mut a, mut b) = (GossipState::new("a", 5), GossipState::new("b", 6));
        a.tell(0, 1, b"x", 3);
        b.take(0, &a.rumours(0, MOST).unwrap(), 3);
        b.look(S, |_| true);
        assert!(b.get(S, "a", 1).unwrap().reachable);
        b.look(2 * S, |_| false);
        let fact = b.get(30 * S, "a", 1).unwrap();
        assert_eq!((fact.reachable, fact.age), (false, 30 * S));
        b.look(61 * S, |_| false);
        assert!(b.get(61 * S, "a", 1).is_some());
        b.look(63 * S, |_| false);
        assert!(b.get(63 * S, "a", 1).is_none() && b.is_empty());
    }

    #[test]
    fn a_word_under_another_s_name_does_not_outlive_that_one_s_next() {
        let (mut a, mut liar, mut b) = (
            GossipState::new("a", 5),
            GossipState::new("a", 5),
            GossipState::new("b", 6),
        );
        a.tell(0, 1, b"true", 3);
        for n in 0..40u8 {
            liar.tell(0, 1, &[n], 3);
        }
        let lie = liar.rumours(0, MOST).unwrap();
        b.take(0, &lie, 3);
        assert_eq!(b.get(0, "a", 1).unwrap().value, &[39]);
        a.take(S, &lie, 3);
        assert_eq!(a.refused.forged, 1);
        b.take(S, &a.rumours(S, MOST).unwrap(), 3);
        assert_eq!(b.get(S, "a", 1).unwrap().value, b"true");
        // Also under a session of the future; what nobody could outdo is no record.
        let mut future = GossipState::new("a", 1 << 40);
        future.tell(0, 1, b"lie", 3);
        let lie = future.rumours(0, MOST).unwrap();
        b.take(2 * S, &lie, 3);
        a.take(2 * S, &lie, 3);
        b.take(2 * S, &a.rumours(2 * S, MOST).unwrap(), 3);
        assert_eq!(b.get(2 * S, "a", 1).unwrap().value, b"true");
        let mut last = GossipState::new("a", u64::MAX);
        last.tell(0, 1, b"lie", 3);
        assert_eq!(b.take(3 * S, &last.rumours(0, MOST).unwrap(), 3), 0);
        assert_eq!(b.refused.malformed, 1);
    }

    #[test]
    fn bounds_on_size_kinds_and_owners_bite_and_are_counted() {
        let mut a = GossipState::new("a", 5);
        assert!(!a.tell(0, 1, &[0; MAX_VALUE_BYTES + 1], 3));
        for kind in 0..KINDS_MOST as Kind {
            assert!(a.tell(0, kind, b"x", 3));
        }
        assert!(!a.tell(0, 99, b"x", 3));
        assert_eq!(a.refused.bounds, 2);
        let mut b = GossipState::new("b", 6);
        for n in 0..OWNERS_MOST + 3 {
            let mut owner = GossipState::new(&format!("o{n}"), 1);
            owner.tell(0, 1, b"x", 1);
            b.take(0, &owner.rumours(0, MOST).unwrap(), 0);
        }
        assert_eq!((b.len(), b.refused.bounds), (OWNERS_MOST - 1, 4));
    }

    #[test]
    fn comparing_versions_brings_both_to_the_same_whatever_each_has_missed() {
        let (mut a, mut b) = (GossipState::new("a", 5), GossipState::new("b", 6));
        for n in 0..300 {
            let mut owner = GossipState::new(&format!("owner-{n:03}"), 1);
            owner.tell(0, 1, &[n as u8; 40], 1);
            let one = owner.rumours(0, MOST).unwrap();
            owner.tell(0, 1, &[n as u8; 41], 1);
            let two = owner.rumours(0, MOST).unwrap();
            for (n, side) in [(n, &mut a), (n + 1, &mut b)] {
                match n % 3 {
                    0 => drop(side.take(0, &one, 0)),
                    1 => drop(side.take(0, &two, 0)),
                    _ => {}
                }
            }
        }
        exchange(S, &mut a, &mut b);
        let all = |f: &GossipState| -> Vec<(Place, (u64, u64))> {
            f.records
                .iter()
                .map(|r| (r.0.clone(), r.1.number()))
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
    fn no_bytes_make_it_panic_or_grow_beyond_its_bounds() {
        fn stands(noise: Vec<Noise>) -> bool {
            let (mut a, mut b) = (GossipState::new("a", 5), GossipState::new("b", 6));
            b.tell(0, 1, b"value", 9);
            for Noise(bytes, at, with) in noise {
                let mut told = b.rumours(0, MOST).unwrap_or_default();
                let mut digest = b.digest(MOST);
                for d in [&mut told, &mut digest] {
                    if !d.is_empty() {
                        let at = at % d.len();
                        d[at] ^= with;
                    }
                }
                for d in [&bytes, &told, &digest] {
                    a.take(0, d, 1);
                    let (sends, answer) = a.compare(0, d, MOST, 2);
                    assert!(
                        sends.len() <= 2 && sends.iter().chain(&answer).all(|d| d.len() <= MOST)
                    );
                }
            }
            a.len() < 2000
        }
        quickcheck(stands as fn(Vec<Noise>) -> bool);
    }
}
