//! The format of gossip datagrams. All numbers are big endian.
//!
//! A datagram of records is a sequence of:
//!
//! ```text
//! 1  length of the owner's name   n  the owner's name     2  kind
//! 8  session                      8  number               4  age in milliseconds
//! 2  length of the value          n  value
//! ```
//!
//! A datagram of versions holds a range of keys, and the versions of all records in it:
//!
//! ```text
//! 1  1 if the receiver should reply with its own versions when its records are older
//! .. the first key of the range   1  1 if a last key follows, else the range is open-ended
//! .. the last key of the range
//! .. for each record: key         8  session              8  number
//! ```

use super::{Kind, RecordKey, RecordVersion, MAX_VALUE_BYTES};
use crate::membership::MAX_NAME_BYTES;
use crate::Micros;
use std::collections::BTreeMap;

/// Longest key: the name's length, the name, the kind.
const MAX_KEY_BYTES: usize = 1 + MAX_NAME_BYTES + 2;
/// Longest header of a datagram of versions: two flags and two keys.
pub(super) const MAX_RANGE_BYTES: usize = 2 + 2 * MAX_KEY_BYTES;
/// Ages saturate at this value when sent, about 50 days.
const MAX_AGE_MILLIS: u64 = u32::MAX as u64;
/// Higher versions are rejected: an owner could not publish a higher one to refute a forged record.
const MAX_VERSION_NUMBER: u64 = 1 << 62;

/// A record on the wire.
pub(super) struct SentRecord<'a> {
    pub(super) key: RecordKey,
    pub(super) version: RecordVersion,
    pub(super) age: Micros,
    pub(super) value: &'a [u8],
}

/// Versions of all records in a range of keys.
pub(super) struct VersionRange {
    pub(super) wants_reply: bool,
    pub(super) first: RecordKey,
    /// `None` for an open-ended range.
    pub(super) last: Option<RecordKey>,
    pub(super) versions: BTreeMap<RecordKey, RecordVersion>,
}

/// Reads a datagram front to back.
pub(super) struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader(bytes)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, remaining) = self.0.split_at_checked(count)?;
        self.0 = remaining;
        Some(taken)
    }

    fn u8(&mut self) -> Option<u8> {
        self.bytes(1).map(|b| b[0])
    }

    fn u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.bytes(2)?.try_into().ok()?))
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.bytes(4)?.try_into().ok()?))
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.bytes(8)?.try_into().ok()?))
    }

    fn key(&mut self) -> Option<RecordKey> {
        let length = self.u8()?;
        let owner = std::str::from_utf8(self.bytes(length.into())?).ok()?;
        let kind: Kind = self.u16()?;
        (owner.len() <= MAX_NAME_BYTES).then(|| RecordKey {
            owner: owner.into(),
            kind,
        })
    }

    fn version(&mut self) -> Option<RecordVersion> {
        Some(RecordVersion {
            session: self.u64()?,
            number: self.u64()?,
        })
    }

    /// The next record; `None` if it is truncated or invalid.
    pub(super) fn record(&mut self) -> Option<SentRecord<'a>> {
        let key = self.key()?;
        let version = self.version()?;
        let age_millis = self.u32()?;
        let length = self.u16()?;
        let value = self.bytes(length.into())?;
        let is_valid = value.len() <= MAX_VALUE_BYTES
            && !key.owner.is_empty()
            && version.session <= MAX_VERSION_NUMBER
            && version.number <= MAX_VERSION_NUMBER;
        is_valid.then(|| SentRecord {
            key,
            version,
            age: Micros::from(age_millis) * 1000,
            value,
        })
    }

    /// Reads the whole datagram as a datagram of versions.
    pub(super) fn version_range(mut self) -> Option<VersionRange> {
        let wants_reply = self.u8()? == 1;
        let first = self.key()?;
        let last = match self.u8()? {
            1 => Some(self.key()?),
            _ => None,
        };
        let mut versions = BTreeMap::new();
        while !self.is_empty() {
            let key = self.key()?;
            versions.insert(key, self.version()?);
        }
        Some(VersionRange {
            wants_reply,
            first,
            last,
            versions,
        })
    }
}

fn write_key(key: &RecordKey, out: &mut Vec<u8>) {
    let length = u8::try_from(key.owner.len()).expect("a name is at most MAX_NAME_BYTES long");
    out.push(length);
    out.extend_from_slice(key.owner.as_bytes());
    out.extend(key.kind.to_be_bytes());
}

/// Writes an entry of a datagram of versions.
pub(super) fn write_version(key: &RecordKey, version: RecordVersion, out: &mut Vec<u8>) {
    write_key(key, out);
    out.extend(version.session.to_be_bytes());
    out.extend(version.number.to_be_bytes());
}

/// Writes the header of a datagram of versions.
pub(super) fn write_range(
    wants_reply: bool,
    first: &RecordKey,
    last: Option<&RecordKey>,
    out: &mut Vec<u8>,
) {
    out.push(u8::from(wants_reply));
    write_key(first, out);
    out.push(u8::from(last.is_some()));
    if let Some(last) = last {
        write_key(last, out);
    }
}

/// Writes a record.
pub(super) fn write_record(
    key: &RecordKey,
    version: RecordVersion,
    age: Micros,
    value: &[u8],
    out: &mut Vec<u8>,
) {
    write_version(key, version, out);
    let age_millis = u32::try_from((age / 1000).min(MAX_AGE_MILLIS)).unwrap_or(u32::MAX);
    out.extend(age_millis.to_be_bytes());
    let length = u16::try_from(value.len()).expect("a value is at most MAX_VALUE_BYTES long");
    out.extend(length.to_be_bytes());
    out.extend_from_slice(value);
}
