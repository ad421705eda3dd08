//! Writes a file on a dedicated thread, so that the event loop never blocks on disk I/O.
//!
//! A job either appends bytes or replaces the whole file. A replacement is written to a temporary file, synced and renamed.
//! Completions are reported in the order of submission.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

/// The maximum number of queued jobs; [`FileWriter::submit`] returns any further job to its caller.
const MAX_QUEUED_JOBS: usize = 64;

/// How a job's bytes change the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteMode {
    /// Appends them to the file.
    Append,
    /// Replaces the file's contents with them.
    Replace,
}

/// A write to the file.
#[derive(Debug)]
pub struct WriteJob {
    /// Chosen by the caller and returned with the completion.
    pub id: u64,
    /// How the bytes change the file.
    pub mode: WriteMode,
    /// The bytes to write.
    pub bytes: Vec<u8>,
}

/// The completion of a write.
#[derive(Debug)]
pub struct WriteCompleted {
    /// The id of the job.
    pub id: u64,
    /// `Ok` once the bytes are synced to disk, otherwise the first error.
    pub result: io::Result<()>,
}

/// The writer of one file. After it is dropped, the thread completes the queued jobs and then releases the lock.
pub struct FileWriter {
    jobs: SyncSender<WriteJob>,
}

impl FileWriter {
    /// Starts the writer thread for a file that is open for appending. `lock` is held until the last job is written.
    /// `on_completed` is called on the writer thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
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

    /// Queues a write without blocking.
    ///
    /// # Errors
    ///
    /// Returns the job if the queue is full or the writer thread has ended.
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

/// Replaces the file atomically: writes a temporary file in the same folder, syncs it and renames it. Returns the new file,
/// open for appending.
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
