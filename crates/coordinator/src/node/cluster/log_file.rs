//! The file of the consensus log in the state folder, written on a dedicated thread.
//!
//! During an upgrade two processes of the same coordinator run. Only the one that holds the lock uses the log. The process that
//! hands over releases the lock immediately, and its successor then opens the log.

use crate::file_writer::{FileWriter, WriteCompleted, WriteJob, WriteMode};
use driftfront_cluster::consensus::replica::Write;
use driftfront_cluster::consensus::store;
use std::collections::VecDeque;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// The name of the log's file in the state folder.
const FILE_NAME: &str = "agreed";
/// The name of the file whose lock protects the log.
const LOCK_NAME: &str = "agreed.lock";

/// The log's file cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub(super) struct LogFileError {
    /// The path of the file.
    path: PathBuf,
    /// The underlying error.
    source: io::Error,
}

/// The log's file, locked by this process.
pub(super) struct LockedLogFile {
    path: PathBuf,
    /// Open for appending.
    file: File,
    lock: File,
    /// Its contents.
    pub(super) bytes: Vec<u8>,
}

impl LockedLogFile {
    /// Locks and opens the file in `folder`. Returns `None` while another process holds the lock.
    pub(super) fn open(folder: &Path) -> Result<Option<LockedLogFile>, LogFileError> {
        let path = folder.join(FILE_NAME);
        Self::open_at(folder, &path).map_err(|source| LogFileError { path, source })
    }

    fn open_at(folder: &Path, path: &Path) -> io::Result<Option<LockedLogFile>> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_NAME))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Ok(None),
            Err(TryLockError::Error(e)) => return Err(e),
        }
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        truncate_damaged_tail(path, &file, &mut bytes)?;
        Ok(Some(LockedLogFile {
            path: path.into(),
            file,
            lock,
            bytes,
        }))
    }

    /// Starts the writer thread. The lock is held until the last write is done.
    pub(super) fn start_writer(
        self,
        on_completed: impl Fn(WriteCompleted) + Send + 'static,
    ) -> io::Result<FileWriter> {
        FileWriter::start(self.path, self.file, Some(self.lock), on_completed)
    }
}

/// Truncates a file that ends in the middle of a record after the last complete record.
fn truncate_damaged_tail(path: &Path, file: &File, bytes: &mut Vec<u8>) -> io::Result<()> {
    let Ok(loaded) = store::read(bytes) else {
        // An unreadable file is reported when the log is opened.
        return Ok(());
    };
    if let Some(damage) = loaded.damage {
        let cut = bytes.len() - loaded.valid_bytes;
        tracing::warn!("{}: {damage}; truncated {cut} bytes", path.display());
        file.set_len(loaded.valid_bytes as u64)?;
        bytes.truncate(loaded.valid_bytes);
    }
    Ok(())
}

/// The log's pending writes, in order.
#[derive(Default)]
pub(super) struct LogWriter {
    writer: Option<FileWriter>,
    /// Writes waiting for capacity in the writer's queue.
    waiting: VecDeque<Write>,
}

impl LogWriter {
    /// Uses this writer for all further writes.
    pub(super) fn open(&mut self, writer: FileWriter) {
        self.writer = Some(writer);
    }

    /// Closes the file. Its lock is released once all submitted writes are done.
    pub(super) fn close(&mut self) {
        self.writer = None;
    }

    /// Queues a write.
    pub(super) fn push(&mut self, write: Write) {
        self.waiting.push_back(write);
    }

    /// Submits writes until the writer's queue is full. Without a writer all writes are discarded.
    pub(super) fn submit(&mut self) {
        let Some(writer) = &self.writer else {
            return self.waiting.clear();
        };
        while let Some(write) = self.waiting.pop_front() {
            if let Err(job) = writer.submit(to_job(write)) {
                self.waiting.push_front(from_job(job));
                return;
            }
        }
    }
}

fn to_job(write: Write) -> WriteJob {
    WriteJob {
        id: write.number,
        mode: if write.replaces_file {
            WriteMode::Replace
        } else {
            WriteMode::Append
        },
        bytes: write.bytes,
    }
}

fn from_job(job: WriteJob) -> Write {
    Write {
        number: job.id,
        replaces_file: job.mode == WriteMode::Replace,
        bytes: job.bytes,
    }
}
