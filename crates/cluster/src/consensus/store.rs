//! A replica's log: what `raft` reads of it, and its form in a file.
//!
//! The file begins with [`HEADER`]; behind it stand records, each its length and its CRC-32 (both `u32` little endian), a
//! kind and a body. A record counts once it is whole: what stands behind the first that is not is a spoilt tail, and was
//! never said to be kept. A file that grows is written anew beside, and put in its place when it is whole.
//!
//! Bodies are `raft`'s own messages in their protobuf form, which later versions of it may add fields to.

use crate::consensus::bootstrap::Bootstrapped;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::RefCell;
use std::rc::Rc;

/// The file's beginning: what it is, and the version of its form.
pub const HEADER: &[u8] = b"driftfront agreed 1\n";
/// Longest record: a snapshot at its bounds is a fifth of it.
const RECORD_MOST: usize = 1024 * 1024;
/// Entries behind the last snapshot with which the log is cut, and of those applied so many stay for who is a little late.
pub const CUT_AT: usize = 256;
const CUT_KEEPS: u64 = 64;

const FOUNDED: u8 = 1;
const VOTE: u8 = 2;
const ENTRY: u8 = 3;
const SNAPSHOT: u8 = 4;

/// Why a file can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// Of a newer version, to be left alone.
    Newer(String),
    /// It is no such file.
    NotOurs,
    /// Whole records contradict each other, or one can't be read: a disk that lies, or somebody's hand.
    Wrong(&'static str),
}

impl std::fmt::Display for Unusable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unusable::Newer(v) => {
                write!(
                    f,
                    "the log is of version {v}, this program knows version 1: it is left as it is"
                )
            }
            Unusable::NotOurs => f.write_str("this is no log of driftfront: it is left as it is"),
            Unusable::Wrong(what) => {
                write!(f, "the log contradicts itself: {what}; it is left as it is")
            }
        }
    }
}

impl std::error::Error for Unusable {}

/// A replica's log.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Whose it is.
    pub founded: Bootstrapped,
    hard: HardState,
    snapshot: Snapshot,
    /// The place before the first entry that is held, and its term.
    cut: (u64, u64),
    entries: Vec<Entry>,
}

/// What a file held.
#[derive(Debug)]
pub struct Loaded {
    /// The log; none where nothing was founded yet.
    pub log: Option<Log>,
    /// Bytes of the file that are well.
    pub valid_bytes: usize,
    /// What is wrong with the rest, if anything is.
    pub damage: Option<&'static str>,
}

/// A record as it stands in the file.
fn record(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut hash = crc32fast::Hasher::new();
    hash.update(&[kind]);
    hash.update(body);
    let mut bytes = (body.len() as u32 + 1).to_le_bytes().to_vec();
    bytes.extend(hash.finalize().to_le_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(body);
    bytes
}

/// A protobuf message's bytes: writing to memory fails for none that this builds.
pub(crate) fn bytes_of(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

pub(crate) fn entry_record(entry: &Entry) -> Vec<u8> {
    record(ENTRY, &bytes_of(entry))
}

pub(crate) fn hard_record(hard: &HardState) -> Vec<u8> {
    record(VOTE, &bytes_of(hard))
}

pub(crate) fn snapshot_record(snapshot: &Snapshot) -> Vec<u8> {
    record(SNAPSHOT, &bytes_of(snapshot))
}

/// Reads a file's bytes.
pub fn read(bytes: &[u8]) -> Result<Loaded, Unusable> {
    if bytes.len() < HEADER.len() && HEADER.starts_with(bytes) {
        return Ok(Loaded {
            log: None,
            valid_bytes: 0,
            damage: (!bytes.is_empty()).then_some("it was cut while it was begun"),
        });
    }
    if !bytes.starts_with(HEADER) {
        let line = bytes.split(|&b| b == b'\n').next().unwrap_or_default();
        let line = String::from_utf8_lossy(&line[..line.len().min(40)]).into_owned();
        let version = line
            .strip_prefix("driftfront agreed ")
            .filter(|v| *v != "1");
        return Err(version.map_or(Unusable::NotOurs, |v| Unusable::Newer(v.into())));
    }
    let mut log: Option<Log> = None;
    let mut valid_bytes = HEADER.len();
    let damage = loop {
        let rest = &bytes[valid_bytes..];
        if rest.is_empty() {
            break None;
        }
        let Some(head) = rest.get(..8) else {
            break Some("it ends in the middle of a record");
        };
        let word =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let length = word(0) as usize;
        if length == 0 || length > RECORD_MOST {
            break Some("a record's length is none");
        }
        let Some(body) = rest[8..].get(..length) else {
            break Some("it ends in the middle of a record");
        };
        if crc32fast::hash(body) != word(4) {
            break Some("a record's checksum does not fit");
        }
        take(&mut log, body[0], &body[1..])?;
        valid_bytes += 8 + length;
    };
    if let Some(log) = &log {
        log.check()?;
    }
    Ok(Loaded {
        log,
        valid_bytes,
        damage,
    })
}

fn take(log: &mut Option<Log>, kind: u8, body: &[u8]) -> Result<(), Unusable> {
    if kind == FOUNDED {
        let founded =
            Bootstrapped::read(body).ok_or(Unusable::Wrong("whose it is can't be read"))?;
        *log = Some(Log::of(founded));
        return Ok(());
    }
    let unread = |_| Unusable::Wrong("a record can't be read");
    let log = log
        .as_mut()
        .ok_or(Unusable::Wrong("it does not begin with whose it is"))?;
    match kind {
        VOTE => log.hard = HardState::parse_from_bytes(body).map_err(unread)?,
        ENTRY => log.append(vec![Entry::parse_from_bytes(body).map_err(unread)?])?,
        SNAPSHOT => log.replace(Snapshot::parse_from_bytes(body).map_err(unread)?),
        // Of a later build: the header would have told of what must be understood.
        _ => {}
    }
    Ok(())
}

impl Log {
    /// Of one that was just founded, or let in: the founders' snapshot, or nothing yet.
    pub fn of(founded: Bootstrapped) -> Log {
        Log {
            founded,
            ..Log::default()
        }
    }

    /// The whole file that says the same.
    pub fn file(&self) -> Vec<u8> {
        let mut bytes = HEADER.to_vec();
        bytes.extend(record(FOUNDED, &self.founded.write()));
        if self.snapshot.get_metadata().index > 0 {
            bytes.extend(snapshot_record(&self.snapshot));
        }
        let behind = self
            .entries
            .iter()
            .filter(|e| e.index > self.snapshot.get_metadata().index);
        behind.for_each(|e| bytes.extend(entry_record(e)));
        bytes.extend(hard_record(&self.hard));
        bytes
    }

    /// It was replaced: nothing of it is used any more, and it founds no other.
    pub fn is_replaced(&self) -> bool {
        self.founded.id == 0
    }

    fn check(&self) -> Result<(), Unusable> {
        let last = self.last();
        // The commit is told late: what is behind it is whole all the same.
        if self.hard.commit > last {
            return Err(Unusable::Wrong("it lacks what it says was agreed"));
        }
        Ok(())
    }

    /// The last place.
    pub fn last(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.cut.0.max(self.snapshot.get_metadata().index), |e| {
                e.index
            })
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Term, vote and what was known to be agreed.
    pub fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
    }

    /// Entries behind, or in place of, those that are there.
    pub fn append(&mut self, entries: Vec<Entry>) -> Result<(), Unusable> {
        for entry in entries {
            if entry.index <= self.cut.0 {
                return Err(Unusable::Wrong("an entry stands where all is agreed"));
            }
            let place = (entry.index - self.cut.0 - 1) as usize;
            if place > self.entries.len() {
                return Err(Unusable::Wrong("entries are missing"));
            }
            self.entries.truncate(place);
            self.entries.push(entry);
        }
        Ok(())
    }

    /// A snapshot in place of all that was there.
    pub fn replace(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.cut = (meta.index, meta.term);
        self.hard.commit = self.hard.commit.max(meta.index);
        self.hard.term = self.hard.term.max(meta.term);
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// A snapshot of our own of what is applied: entries well before it are let go.
    pub fn cut(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        let keep_from = index.saturating_sub(CUT_KEEPS).max(self.cut.0);
        if let Ok(term) = self.term_at(keep_from) {
            let gone = (keep_from - self.cut.0) as usize;
            self.entries.drain(..gone);
            self.cut = (keep_from, term);
        }
        self.snapshot = snapshot;
    }

    /// Whether entries have gathered so that the log should be cut.
    pub fn wants_cut(&self) -> bool {
        let behind = self
            .last()
            .saturating_sub(self.snapshot.get_metadata().index);
        behind as usize >= CUT_AT
    }

    /// The term of the entry at this place.
    pub fn term_at(&self, index: u64) -> raft::Result<u64> {
        if index == self.cut.0 {
            return Ok(self.cut.1);
        }
        if index == self.snapshot.get_metadata().index {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.cut.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.cut.0 - 1) as usize);
        entry
            .map(|e| e.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }
}

/// The log as `raft` reads it, shared with the replica that writes it.
#[derive(Clone, Debug, Default)]
pub struct Shared(pub Rc<RefCell<Log>>);

impl Storage for Shared {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let log = self.0.borrow();
        let conf: ConfState = log.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(log.hard.clone(), conf))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let log = self.0.borrow();
        if low <= log.cut.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = |index: u64| (index - log.cut.0 - 1) as usize;
        let some = log
            .entries
            .get(at(low)..at(high))
            .ok_or(Error::Store(StorageError::Unavailable))?;
        let mut some = some.to_vec();
        raft::util::limit_size(&mut some, max_size.into());
        Ok(some)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.0.borrow().term_at(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().cut.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let log = self.0.borrow();
        if log.snapshot.get_metadata().index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(log.snapshot.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64, term: u64, data: &str) -> Entry {
        Entry {
            index,
            term,
            data: data.as_bytes().to_vec().into(),
            ..Entry::default()
        }
    }

    fn log() -> Log {
        let initial_voters = vec![
            (5 << 20, "a".to_string()),
            (6 << 20, "b".into()),
            (7 << 20, "c".into()),
        ];
        let founded = Bootstrapped::new(5 << 20, initial_voters);
        let mut log = Log::of(founded.clone());
        log.replace(founded.snapshot());
        log
    }

    #[test]
    fn a_file_that_is_cut_at_any_byte_holds_all_whole_records_before_it() {
        let mut file = log().file();
        let mut marks = vec![(file.len(), 1)];
        for n in 2..6 {
            file.extend(entry_record(&entry(n, 1, "some words")));
            marks.push((file.len(), n));
        }
        // An entry in place of two that were never agreed.
        file.extend(entry_record(&entry(4, 2, "other words")));
        marks.push((file.len(), 4));
        for end in 0..=file.len() {
            let loaded = read(&file[..end]).expect("ours");
            let whole = marks.iter().rev().find(|m| m.0 <= end);
            let last = loaded.log.as_ref().map_or(0, Log::last);
            match whole {
                Some(mark) => {
                    assert_eq!(
                        (last, loaded.valid_bytes, loaded.damage.is_some()),
                        (mark.1, mark.0, end > mark.0)
                    )
                }
                // Within the file as it was first written, which is put in its place only when whole.
                None => assert!(last <= 1 && loaded.valid_bytes <= end, "cut at {end}"),
            }
        }
        let log = read(&file).unwrap().log.unwrap();
        assert_eq!((log.term_at(3).unwrap(), log.term_at(4).unwrap()), (1, 2));
        assert!(log.term_at(5).is_err());
        // Written anew it says the same.
        assert_eq!(read(&log.file()).unwrap().log.unwrap().file(), log.file());
    }

    #[test]
    fn a_spoilt_byte_is_found_and_a_foreign_or_newer_file_is_left_alone() {
        let mut file = log().file();
        file.extend(entry_record(&entry(2, 1, "some words")));
        let whole = read(&file).unwrap().valid_bytes;
        for at in HEADER.len()..file.len() {
            let mut damage = file.clone();
            damage[at] ^= 0x10;
            match read(&damage) {
                Ok(loaded) => assert!(
                    loaded.valid_bytes < whole && loaded.damage.is_some(),
                    "byte {at}"
                ),
                Err(e) => panic!("byte {at}: {e}"),
            }
        }
        assert!(matches!(read(b"driftfront agreed 7\nx"), Err(Unusable::Newer(v)) if v == "7"));
        assert!(matches!(read(b"something else"), Err(Unusable::NotOurs)));
        // Whole records that can't stand so are no power cut.
        let mut file = log().file();
        file.extend(entry_record(&entry(9, 1, "")));
        assert!(matches!(read(&file), Err(Unusable::Wrong(_))));
    }

    #[test]
    fn a_cut_log_keeps_some_entries_for_who_is_late_and_knows_the_terms_it_needs() {
        let shared = Shared(Rc::new(RefCell::new(log())));
        let all: Vec<Entry> = (2..=300).map(|n| entry(n, 1 + n / 100, "x")).collect();
        shared.0.borrow_mut().append(all).unwrap();
        assert!(shared.0.borrow().wants_cut());
        let mut snapshot = Snapshot::default();
        (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (290, 3);
        shared.0.borrow_mut().cut(snapshot);
        assert!(!shared.0.borrow().wants_cut());
        assert_eq!(
            (shared.first_index().unwrap(), shared.last_index().unwrap()),
            (227, 300)
        );
        assert_eq!(
            (
                shared.term(226).unwrap(),
                shared.term(290).unwrap(),
                shared.term(300).unwrap()
            ),
            (3, 3, 4)
        );
        assert!(shared.term(225).is_err());
        let some = shared
            .entries(227, 301, None, GetEntriesContext::empty(false))
            .unwrap();
        assert_eq!((some.len(), some[0].index), (74, 227));
        // What is read again after a restart begins at the snapshot.
        let again = read(&shared.0.borrow().file()).unwrap().log.unwrap();
        assert_eq!((again.cut.0, again.last()), (290, 300));
    }
}
