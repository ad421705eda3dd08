//! Comparing versions with one other member at a time, over a range of keys: finds what rumors missed.

use super::wire::{self, Reader, VersionRange};
use super::{GossipState, RecordKey, RecordVersion, StoredRecord};
use crate::Micros;

/// What follows of a comparison with another member's versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Datagrams of records that the other lacks.
    pub records: Vec<Vec<u8>>,
    /// A datagram of this member's versions, where the other knows more and wants a reply.
    pub reply: Option<Vec<u8>>,
}

impl GossipState {
    /// A datagram of at most so many bytes with versions over the next range of keys, to compare with another member's. It
    /// wants a reply where the other's are newer.
    pub fn next_versions(&mut self, max_bytes: usize) -> Vec<u8> {
        let first = self.next_compared.clone();
        let (datagram, next) = self.versions_in(&first, None, max_bytes, true);
        self.next_compared = next.unwrap_or_else(RecordKey::first);
        datagram
    }

    /// Versions over a range of keys, and the first key that did not fit.
    fn versions_in(
        &self,
        first: &RecordKey,
        last: Option<&RecordKey>,
        max_bytes: usize,
        wants_reply: bool,
    ) -> (Vec<u8>, Option<RecordKey>) {
        let room = max_bytes.saturating_sub(wire::MAX_RANGE_BYTES);
        let mut versions = Vec::new();
        let (mut last_written, mut next) = (None, None);
        for (key, record) in self.records_in(first, last) {
            let before = versions.len();
            wire::write_version(key, record.version, &mut versions);
            if versions.len() > room {
                versions.truncate(before);
                next = Some(key.clone());
                break;
            }
            last_written = Some(key);
        }
        // Where not all fitted the range ends with the last that did.
        let last = match next {
            Some(_) => last_written.or(last),
            None => last,
        };
        let mut datagram = Vec::new();
        wire::write_range(wants_reply, first, last, &mut datagram);
        datagram.extend(versions);
        (datagram, next)
    }

    fn records_in<'a>(
        &'a self,
        first: &RecordKey,
        last: Option<&'a RecordKey>,
    ) -> impl Iterator<Item = (&'a RecordKey, &'a StoredRecord)> + 'a {
        self.records
            .range(first.clone()..)
            .take_while(move |(key, _)| last.is_none_or(|last| *key <= last))
    }

    /// Compares another member's versions with this one's: what it lacks, in so many datagrams of at most `max_bytes`, and
    /// this member's versions, where the other knows more.
    pub fn compare_versions(
        &mut self,
        now: Micros,
        bytes: &[u8],
        max_bytes: usize,
        max_datagrams: usize,
    ) -> Comparison {
        let Some(theirs) = Reader::new(bytes).version_range() else {
            self.refused.malformed += 1;
            return Comparison::default();
        };
        let records = self.newer_records(now, &theirs, max_bytes, max_datagrams);
        let is_newer = |(key, version): (&RecordKey, &RecordVersion)| {
            self.records.get(key).is_none_or(|r| r.version < *version)
        };
        let knows_more = theirs.versions.iter().any(is_newer);
        let own_versions = || {
            let (datagram, _) =
                self.versions_in(&theirs.first, theirs.last.as_ref(), max_bytes, false);
            datagram
        };
        Comparison {
            records,
            reply: (theirs.wants_reply && knows_more).then(own_versions),
        }
    }

    /// Datagrams of records that are newer than these versions.
    fn newer_records(
        &self,
        now: Micros,
        theirs: &VersionRange,
        max_bytes: usize,
        max_datagrams: usize,
    ) -> Vec<Vec<u8>> {
        let mut datagrams: Vec<Vec<u8>> = Vec::new();
        for (key, record) in self.records_in(&theirs.first, theirs.last.as_ref()) {
            let known = theirs.versions.get(key);
            if known.is_some_and(|version| *version >= record.version) {
                continue;
            }
            let mut bytes = Vec::new();
            self.write_record(now, key, record, &mut bytes);
            let fits = |d: &&mut Vec<u8>| d.len() + bytes.len() <= max_bytes;
            if let Some(open) = datagrams.last_mut().filter(fits) {
                open.extend(bytes);
            } else if datagrams.len() < max_datagrams {
                datagrams.push(bytes);
            } else {
                break;
            }
        }
        datagrams
    }
}
