//! Gossip: records that each member publishes about itself and that all members replicate.
//!
//! A record is identified by its owner's name and a kind. Of two records with the same key, the one with the later session,
//! then with the higher number, wins. A new record is passed on as a rumor for some rounds; records that rumors missed are
//! found by comparing versions with one other member at a time. The size of records and the numbers of kinds and owners are
//! limited. Records of an owner that is gone are kept for a while, with their age, and then dropped.
//!
//! Records of unknown kinds are kept and passed on unchanged, since two builds run side by side during every release.

mod comparison;
mod wire;

use crate::Micros;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use wire::{Reader, SentRecord};

pub use comparison::Comparison;

/// The kind of a record: a number that all builds agree on.
pub type Kind = u16;

/// A member's metadata: [`crate::MemberMetadata`].
pub const METADATA: Kind = 1;
/// A member's consensus notice: [`crate::consensus::Notice`].
pub const CONSENSUS: Kind = 2;

/// Longest value of a record.
pub const MAX_VALUE_BYTES: usize = 256;
/// Most kinds of one owner.
pub const MAX_KINDS_PER_OWNER: usize = 16;
/// Most owners, this member included.
pub const MAX_OWNERS: usize = 1024;
/// Records of an owner that is gone are kept for this long.
const GONE_OWNER_RETENTION: Micros = 60_000_000;
/// Minimum rounds for which a record is passed on again to refute a forged one.
const MIN_REFUTATION_ROUNDS: u32 = 8;

/// A record's owner and kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecordKey {
    owner: Rc<str>,
    kind: Kind,
}

impl RecordKey {
    fn first() -> RecordKey {
        RecordKey {
            owner: Rc::from(""),
            kind: 0,
        }
    }

    /// All keys of an owner.
    fn all_of(owner: &Rc<str>) -> RangeInclusive<RecordKey> {
        let key = |kind| RecordKey {
            owner: owner.clone(),
            kind,
        };
        key(0)..=key(Kind::MAX)
    }
}

/// The version of a record. Of two records with the same key, the one with the higher version wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecordVersion {
    /// The session of the owner's process.
    session: u64,
    /// Grows with each change of the value within a session.
    number: u64,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    version: RecordVersion,
    value: Rc<[u8]>,
    received_at: Micros,
    /// Its age when it was received.
    age_when_received: Micros,
    /// Remaining rounds for which it is passed on.
    rounds_left: u32,
}

/// A record as returned to readers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipRecord<'a> {
    /// Its value.
    pub value: &'a [u8],
    /// A lower bound on the time since its owner published it.
    pub age: Micros,
    /// Whether its owner is reachable; if not, this is the last known record.
    pub reachable: bool,
    /// Grows with each change of the value.
    pub version: u64,
}

/// Counters of rejected input.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Records over the limits on size, kinds or owners.
    pub over_limit: u64,
    /// Datagrams that are truncated or contain an invalid record.
    pub malformed: u64,
    /// Records under this member's name that it never published.
    pub forged: u64,
}

/// All records known to one member.
pub struct GossipState {
    name: Rc<str>,
    session: u64,
    records: BTreeMap<RecordKey, StoredRecord>,
    /// Owners, and since when each has been unreachable.
    owners: BTreeMap<Rc<str>, Option<Micros>>,
    /// The key at which the next comparison starts.
    next_compared: RecordKey,
    /// Counters of rejected input.
    pub refused: Refusals,
}

impl GossipState {
    /// An empty state for a member with this name and session.
    pub fn new(name: &str, session: u64) -> GossipState {
        let name: Rc<str> = name.into();
        GossipState {
            owners: BTreeMap::from([(name.clone(), None)]),
            name,
            session,
            records: BTreeMap::new(),
            next_compared: RecordKey::first(),
            refused: Refusals::default(),
        }
    }

    /// Publishes a record of this member, unless it is unchanged, and passes it on for `rounds`. False if it is too long or
    /// the member already has the maximum number of kinds.
    pub fn publish(&mut self, now: Micros, kind: Kind, value: &[u8], rounds: u32) -> bool {
        let key = RecordKey {
            owner: self.name.clone(),
            kind,
        };
        let old = self.records.get(&key);
        if old.is_some_and(|r| *r.value == *value) {
            return true;
        }
        let has_room = old.is_some() || self.kinds_of(&self.name) < MAX_KINDS_PER_OWNER;
        if value.len() > MAX_VALUE_BYTES || !has_room {
            self.refused.over_limit += 1;
            return false;
        }
        let record = StoredRecord {
            version: RecordVersion {
                session: self.session,
                number: old.map_or(0, |r| r.version.number) + 1,
            },
            value: Rc::from(value),
            received_at: now,
            age_when_received: 0,
            rounds_left: rounds,
        };
        self.records.insert(key, record);
        true
    }

    fn kinds_of(&self, owner: &Rc<str>) -> usize {
        self.records.range(RecordKey::all_of(owner)).count()
    }

    /// Moves this member to a later session, and publishes its records again under it.
    pub fn raise_session(&mut self, now: Micros, session: u64, rounds: u32) {
        if session <= self.session {
            return;
        }
        self.session = session;
        for (_, record) in self.records.range_mut(RecordKey::all_of(&self.name)) {
            record.version.session = session;
            record.received_at = now;
            record.rounds_left = rounds;
        }
    }

    /// The known record of an owner and kind.
    pub fn get(&self, now: Micros, owner: &str, kind: Kind) -> Option<GossipRecord<'_>> {
        let owner = Rc::from(owner);
        let key = RecordKey { owner, kind };
        let record = self.records.get(&key)?;
        Some(self.view(now, &key.owner, record))
    }

    fn view<'a>(&self, now: Micros, owner: &Rc<str>, record: &'a StoredRecord) -> GossipRecord<'a> {
        let gone_since = self.owners.get(owner).copied().flatten();
        GossipRecord {
            value: &record.value,
            age: self.age(now, owner, record),
            reachable: gone_since.is_none(),
            version: record.version.number,
        }
    }

    /// The age of a record. A member's own records are always current.
    fn age(&self, now: Micros, owner: &Rc<str>, record: &StoredRecord) -> Micros {
        if *owner == self.name {
            return 0;
        }
        record.age_when_received + now.saturating_sub(record.received_at)
    }

    /// All known records of a kind, by owner.
    pub fn all(
        &self,
        now: Micros,
        kind: Kind,
    ) -> impl Iterator<Item = (&str, GossipRecord<'_>)> + '_ {
        let of_kind = self.records.iter().filter(move |(key, _)| key.kind == kind);
        of_kind.map(move |(key, record)| (&*key.owner, self.view(now, &key.owner, record)))
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Marks unreachable owners, and drops those that have been unreachable for longer than `GONE_OWNER_RETENTION`.
    pub fn update_reachability(&mut self, now: Micros, is_reachable: impl Fn(&str) -> bool) {
        for (owner, gone_since) in &mut self.owners {
            if *owner == self.name || is_reachable(owner) {
                *gone_since = None;
            } else {
                gone_since.get_or_insert(now);
            }
        }
        let is_expired = |since: Micros| now > since + GONE_OWNER_RETENTION;
        let known = self.owners.len();
        self.owners
            .retain(|_, gone_since| !gone_since.is_some_and(is_expired));
        if self.owners.len() < known {
            let owners = &self.owners;
            self.records
                .retain(|key, _| owners.contains_key(&key.owner));
        }
    }

    /// Handles a datagram of records, and passes new ones on for `rounds`. Returns how many were new.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], rounds: u32) -> usize {
        let mut reader = Reader::new(bytes);
        let mut new_records = 0;
        while !reader.is_empty() {
            let Some(sent) = reader.record() else {
                self.refused.malformed += 1;
                return new_records;
            };
            new_records += usize::from(self.receive_record(now, sent, rounds));
        }
        new_records
    }

    /// Stores a received record; true if it was new.
    fn receive_record(&mut self, now: Micros, sent: SentRecord, rounds: u32) -> bool {
        let key = sent.key;
        let record = StoredRecord {
            version: sent.version,
            value: sent.value.into(),
            received_at: now,
            age_when_received: sent.age,
            rounds_left: rounds,
        };
        if key.owner == self.name {
            return self.refute(now, &key, &record);
        }
        match self.records.get(&key) {
            Some(old) if old.version >= record.version => return false,
            Some(_) => {}
            None if self.has_room_for(&key.owner) => {}
            None => {
                self.refused.over_limit += 1;
                return false;
            }
        }
        if !self.drop_earlier_sessions(&key.owner, record.version.session) {
            return false;
        }
        self.owners.entry(key.owner.clone()).or_insert(Some(now));
        self.records.insert(key, record);
        true
    }

    fn has_room_for(&self, owner: &Rc<str>) -> bool {
        let is_known = self.owners.contains_key(owner);
        (is_known || self.owners.len() < MAX_OWNERS) && self.kinds_of(owner) < MAX_KINDS_PER_OWNER
    }

    /// Drops the records of earlier sessions of an owner. False if a record of a later session is known.
    fn drop_earlier_sessions(&mut self, owner: &Rc<str>, session: u64) -> bool {
        self.records
            .retain(|key, r| key.owner != *owner || r.version.session >= session);
        let mut of_owner = self.records.range(RecordKey::all_of(owner));
        !of_owner.any(|(_, r)| r.version.session > session)
    }

    /// Refutes a received record that this member never published: publishes its own records again with higher versions.
    fn refute(&mut self, now: Micros, key: &RecordKey, sent: &StoredRecord) -> bool {
        let own = self.records.get(key);
        let is_known = own.is_some_and(|own| {
            own.version > sent.version || own.version == sent.version && own.value == sent.value
        });
        if is_known || sent.version.session < self.session {
            return false;
        }
        self.refused.forged += 1;
        self.session = self.session.max(sent.version.session);
        let min_number = sent.version.number + 1;
        for (_, own) in self.records.range_mut(RecordKey::all_of(&self.name)) {
            own.version.session = self.session;
            own.version.number = own.version.number.max(min_number);
            own.rounds_left = own.rounds_left.max(MIN_REFUTATION_ROUNDS);
            own.received_at = now;
        }
        true
    }

    fn write_record(&self, now: Micros, key: &RecordKey, record: &StoredRecord, out: &mut Vec<u8>) {
        let age = self.age(now, &key.owner, record);
        wire::write_record(key, record.version, age, &record.value, out);
    }

    /// A datagram of at most `max_bytes` with the records to pass on in this round; `None` if there are none.
    pub fn next_rumors(&mut self, now: Micros, max_bytes: usize) -> Option<Vec<u8>> {
        let is_due = |(_, record): &(&RecordKey, &StoredRecord)| record.rounds_left > 0;
        let due = self.records.iter().filter(is_due);
        let mut due: Vec<RecordKey> = due.map(|(key, _)| key.clone()).collect();
        // Records that were passed on least often go first.
        due.sort_by_key(|key| Reverse(self.records[key].rounds_left));
        let mut datagram = Vec::new();
        for key in due {
            let before = datagram.len();
            self.write_record(now, &key, &self.records[&key], &mut datagram);
            if datagram.len() > max_bytes {
                datagram.truncate(before);
                break;
            }
            if let Some(record) = self.records.get_mut(&key) {
                record.rounds_left -= 1;
            }
        }
        (!datagram.is_empty()).then_some(datagram)
    }
}
