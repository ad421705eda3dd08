//! Anti-entropy: compares the versions of a range of keys with one other member at a time, to find records that rumors missed.

use super::wire::{self, Reader, VersionRange};
use super::{GossipState, RecordKey, RecordVersion, StoredRecord};
use crate::Micros;

/// The result of a comparison with another member's versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Datagrams of records that the other member lacks.
    pub records: Vec<Vec<u8>>,
    /// A datagram of this member's versions, if the other has newer records and wants a reply.
    pub reply: Option<Vec<u8>>,
}

impl GossipState {
    /// A datagram of at most `max_bytes` with the versions of the next range of keys, for comparison by another member. It
    /// requests a reply if the other's records are newer.
    pub fn next_versions(&mut self, max_bytes: usize) -> Vec<u8> {
        let first = self.next_compared.clone();
        let (datagram, next) = self.versions_in(&first, None, max_bytes, true);
        self.next_compared = next.unwrap_or_else(RecordKey::first);
        datagram
    }

    /// A datagram with the versions of a range of keys, and the first key that did not fit.
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
        // If not all versions fit, the range ends with the last one that does.
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

    /// Compares another member's versions with this one's. Returns the records that it lacks, in up to `max_datagrams`
    /// datagrams of at most `max_bytes`, and this member's versions if the other has newer records.
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
