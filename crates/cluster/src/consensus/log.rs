//! A replica's in-memory log, as `raft` reads it.
//!
//! Entries are numbered from 1 without gaps. Entries up to the compaction point are dropped; the snapshot covers them. A few
//! entries before the snapshot are kept after a compaction, for replicas that are slightly behind.

use super::log_identity::LogIdentity;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// Number of entries after the last snapshot at which the log is compacted.
pub const COMPACT_AT_ENTRIES: u64 = 256;
/// Applied entries that are kept after a compaction.
const ENTRIES_KEPT: u64 = 64;

/// Why a log file can't be used. The file is left unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The file has a newer version, which is given.
    NewerVersion(String),
    /// The file is not a log file.
    UnknownFormat,
    /// Complete records contradict each other, or one can't be decoded: the disk is failing, or the file was edited.
    Inconsistent(&'static str),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::NewerVersion(version) => write!(
                f,
                "the log is of version {version}, this program knows version 1: it is left as it is"
            ),
            LogError::UnknownFormat => {
                f.write_str("this is no log of driftfront: it is left as it is")
            }
            LogError::Inconsistent(what) => {
                write!(f, "the log is inconsistent: {what}; it is left as it is")
            }
        }
    }
}

impl std::error::Error for LogError {}

/// The entry up to which a log was compacted.
#[derive(Clone, Copy, Debug, Default)]
struct CompactionPoint {
    index: u64,
    term: u64,
}

/// A replica's log.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Identifies the log and the replica.
    pub identity: LogIdentity,
    hard_state: HardState,
    snapshot: Snapshot,
    compacted: CompactionPoint,
    /// All entries after the compaction point.
    entries: Vec<Entry>,
}

impl Log {
    /// An empty log, for a bootstrap or for a replica that was admitted to an existing log.
    pub fn new(identity: LogIdentity) -> Log {
        Log {
            identity,
            ..Log::default()
        }
    }

    /// The index of the last entry, or of the last one that the snapshot covers.
    pub fn last_index(&self) -> u64 {
        let last = self.entries.last().map(|e| e.index);
        last.unwrap_or_else(|| self.compacted.index.max(self.snapshot_index()))
    }

    /// The last snapshot; its index is 0 if there is none.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The index of the last entry that the snapshot covers; 0 if there is no snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// The term, vote and commit index.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Entries that the snapshot does not cover.
    pub fn entries_after_snapshot(&self) -> impl Iterator<Item = &Entry> + '_ {
        let snapshot_index = self.snapshot_index();
        self.entries
            .iter()
            .filter(move |e| e.index > snapshot_index)
    }

    /// Sets the term, vote and commit index.
    pub fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }

    /// Appends entries. An entry whose index exists already replaces that entry and all after it.
    ///
    /// # Errors
    ///
    /// Fails for an entry before the compaction point, and for one that would leave a gap.
    pub fn append(&mut self, entries: Vec<Entry>) -> Result<(), LogError> {
        for entry in entries {
            if entry.index <= self.compacted.index {
                return Err(LogError::Inconsistent(
                    "an entry overlaps the compacted log",
                ));
            }
            let position = self.position_of(entry.index);
            if position > self.entries.len() {
                return Err(LogError::Inconsistent("entries are missing"));
            }
            self.entries.truncate(position);
            self.entries.push(entry);
        }
        Ok(())
    }

    /// The position in `entries` of an index after the compaction point.
    fn position_of(&self, index: u64) -> usize {
        usize::try_from(index - self.compacted.index - 1).unwrap_or(usize::MAX)
    }

    /// Replaces the whole log by a leader's snapshot.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        self.compacted = CompactionPoint {
            index: metadata.index,
            term: metadata.term,
        };
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Installs this replica's own snapshot, and drops all but the last `ENTRIES_KEPT` entries before it.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        let keep_from = index.saturating_sub(ENTRIES_KEPT).max(self.compacted.index);
        if let Ok(term) = self.term_at(keep_from) {
            let compacted = usize::try_from(keep_from - self.compacted.index).unwrap_or(usize::MAX);
            self.entries.drain(..compacted);
            self.compacted = CompactionPoint {
                index: keep_from,
                term,
            };
        }
        self.snapshot = snapshot;
    }

    /// Whether the log has enough entries after the snapshot to be compacted.
    pub fn is_compaction_due(&self) -> bool {
        let since_snapshot = self.last_index().saturating_sub(self.snapshot_index());
        since_snapshot >= COMPACT_AT_ENTRIES
    }

    /// The term of the entry at this index.
    ///
    /// # Errors
    ///
    /// Fails as `raft` requires: `Compacted` before the compaction point, `Unavailable` after the last entry.
    pub fn term_at(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted.index {
            return Ok(self.compacted.term);
        }
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.compacted.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get(self.position_of(index));
        entry
            .map(|e| e.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    /// Fails if committed entries are missing. Entries after the commit index are valid, since that index is written late.
    pub(super) fn check(&self) -> Result<(), LogError> {
        if self.hard_state.commit > self.last_index() {
            return Err(LogError::Inconsistent("committed entries are missing"));
        }
        Ok(())
    }
}

/// The log that `raft` reads, shared with the replica that writes it.
#[derive(Clone, Debug, Default)]
pub struct SharedLog(pub Rc<RefCell<Log>>);

impl SharedLog {
    /// Wraps a log for sharing.
    pub fn new(log: Log) -> SharedLog {
        SharedLog(Rc::new(RefCell::new(log)))
    }
}

impl Storage for SharedLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let log = self.0.borrow();
        let voters: ConfState = log.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(log.hard_state.clone(), voters))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let log = self.0.borrow();
        if low <= log.compacted.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let wanted = log.position_of(low)..log.position_of(high);
        let entries = log
            .entries
            .get(wanted)
            .ok_or(Error::Store(StorageError::Unavailable))?;
        let mut entries = entries.to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.0.borrow().term_at(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().compacted.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().last_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let log = self.0.borrow();
        if log.snapshot_index() < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(log.snapshot.clone())
    }
}
