//! Writes a file on a thread of its own, so that the event loop never waits for a disk.
//!
//! Bytes are appended, or the whole file is replaced: the new one is written beside it and renamed once it is on the disk.
//! Completions are reported in the order of the jobs.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

/// Jobs that may wait for the disk; [`FileWriter::submit`] hands back what is beyond that.
const MAX_QUEUED_JOBS: usize = 64;

/// How a job's bytes change the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteMode {
    /// They are added at its end.
    Append,
    /// They become the whole file.
    Replace,
}

/// A write.
#[derive(Debug)]
pub struct WriteJob {
    /// Chosen by the caller, and reported with the completion.
    pub id: u64,
    /// Append or replace.
    pub mode: WriteMode,
    /// What is written.
    pub bytes: Vec<u8>,
}

/// The end of a write.
#[derive(Debug)]
pub struct WriteCompleted {
    /// The job's.
    pub id: u64,
    /// Whether the bytes are on the disk, else the first failure.
    pub result: io::Result<()>,
}

/// The writer of one file. Once it is dropped the jobs that were submitted are still done, and then the lock is released.
pub struct FileWriter {
    jobs: SyncSender<WriteJob>,
}

impl FileWriter {
    /// Starts the writer's thread for a file that is open for appending. `lock` is held for as long as anything may be
    /// written. `on_completed` is called on the writer's thread.
    ///
    /// # Errors
    ///
    /// The system starts no further thread.
    pub fn start(
        path: PathBuf,
        file: File,
        lock: Option<File>,
        on_completed: impl Fn(WriteCompleted) + Send + 'static,
    ) -> io::Result<FileWriter> {
        let (jobs, queue) = sync_channel(MAX_QUEUED_JOBS);
        std::thread::Builder::new()
            .name("disk".into())
            .spawn(move || {
                write_jobs(&path, file, &queue, on_completed);
                drop(lock);
            })?;
        Ok(FileWriter { jobs })
    }

    /// Queues a write.
    ///
    /// # Errors
    ///
    /// The job, where too many wait for the disk already.
    pub fn submit(&self, job: WriteJob) -> Result<(), WriteJob> {
        self.jobs
            .try_send(job)
            .map_err(|(TrySendError::Full(job) | TrySendError::Disconnected(job))| job)
    }
}

fn write_jobs(
    path: &Path,
    mut file: File,
    queue: &Receiver<WriteJob>,
    on_completed: impl Fn(WriteCompleted),
) {
    while let Ok(job) = queue.recv() {
        let result = match job.mode {
            WriteMode::Append => file.write_all(&job.bytes).and_then(|()| file.sync_data()),
            WriteMode::Replace => replace_file(path, &job.bytes).map(|new| file = new),
        };
        on_completed(WriteCompleted { id: job.id, result });
    }
}

/// Writes a new file beside the old one, and renames it once it is on the disk. Returns the new one, open for appending.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let temporary: PathBuf = path.with_extension("new");
    let _ = std::fs::remove_file(&temporary);
    let mut file = OpenOptions::new()
        .append(true)
        .create(true)
        .open(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    if let Some(folder) = path.parent() {
        File::open(folder)?.sync_all()?;
    }
    Ok(file)
}
