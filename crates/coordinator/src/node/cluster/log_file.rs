//! The file of the consensus log in the state folder, written by a thread of its own.
//!
//! In an upgrade two processes of one name run. The log is one process's: the one that holds its lock. The process that hands
//! over releases the lock as soon as it does, and the next takes the log up then.

use crate::file_writer::{FileWriter, WriteCompleted, WriteJob, WriteMode};
use driftfront_cluster::consensus::replica::Write;
use driftfront_cluster::consensus::store;
use std::collections::VecDeque;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// The log's file in the state folder.
const FILE_NAME: &str = "agreed";
/// The file whose lock stands for the log's.
const LOCK_NAME: &str = "agreed.lock";

/// The log's file can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub(super) struct LogFileError {
    /// The file.
    path: PathBuf,
    /// What the system says.
    source: io::Error,
}

/// The log's file, locked by this process.
pub(super) struct LockedLogFile {
    path: PathBuf,
    /// Open for appending.
    file: File,
    lock: File,
    /// What it holds.
    pub(super) bytes: Vec<u8>,
}

impl LockedLogFile {
    /// Opens the file below `folder` under its lock; `None` while another process has that.
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

    /// Starts the thread that writes the file. The lock is held for as long as anything may be written.
    pub(super) fn start_writer(
        self,
        on_completed: impl Fn(WriteCompleted) + Send + 'static,
    ) -> io::Result<FileWriter> {
        FileWriter::start(self.path, self.file, Some(self.lock), on_completed)
    }
}

/// A file that ends in the middle of a record is cut behind the last complete one.
fn truncate_damaged_tail(path: &Path, file: &File, bytes: &mut Vec<u8>) -> io::Result<()> {
    let Ok(loaded) = store::read(bytes) else {
        // Reported when the log is opened.
        return Ok(());
    };
    if let Some(damage) = loaded.damage {
        let cut = bytes.len() - loaded.valid_bytes;
        tracing::warn!("{}: {damage}; {cut} bytes are cut", path.display());
        file.set_len(loaded.valid_bytes as u64)?;
        bytes.truncate(loaded.valid_bytes);
    }
    Ok(())
}

/// Writes of the log on their way to the disk, in order.
#[derive(Default)]
pub(super) struct LogWriter {
    writer: Option<FileWriter>,
    /// Writes that wait for capacity in the writer's queue.
    waiting: VecDeque<Write>,
}

impl LogWriter {
    /// Submits writes to this file from now on.
    pub(super) fn open(&mut self, writer: FileWriter) {
        self.writer = Some(writer);
    }

    /// Closes the file; its lock is released once all that was submitted is written.
    pub(super) fn close(&mut self) {
        self.writer = None;
    }

    /// Queues a write.
    pub(super) fn push(&mut self, write: Write) {
        self.waiting.push_back(write);
    }

    /// Submits what the writer has capacity for; without a file all writes are dropped.
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
