//! A file that is written by a thread of its own, so that the event loop never waits for a disk: bytes are appended, or the
//! file as a whole is written anew beside and put in its place. Ends are told in the order of the writes.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

/// Writes that wait for the disk; more find no room.
const WAITING_MOST: usize = 64;

/// What the writer is asked for, under a number of the asker's.
pub struct Job {
    /// Told back with its end.
    pub number: u64,
    /// The whole file, else what is to be appended.
    pub replaces_file: bool,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// How a write ended: its number, and what went wrong.
pub type Written = (u64, Result<(), String>);

/// The writer. Once it is dropped, what was asked for is still written, and then `until` of [`Disk::open`] is let go.
pub struct Disk {
    jobs: SyncSender<Job>,
}

impl Disk {
    /// For a file that is open for appending. `until` is held for as long as anything may be written: a lock.
    pub fn open(
        path: PathBuf,
        file: File,
        until: Option<File>,
        written: impl Fn(Written) + Send + 'static,
    ) -> std::io::Result<Disk> {
        let (jobs, work) = sync_channel(WAITING_MOST);
        std::thread::Builder::new()
            .name("disk".into())
            .spawn(move || {
                write(&path, file, &work, written);
                drop(until);
            })?;
        Ok(Disk { jobs })
    }

    /// Asks for a write; the job back where too many wait.
    pub fn ask(&self, job: Job) -> Result<(), Job> {
        use std::sync::mpsc::TrySendError::{Disconnected, Full};
        self.jobs
            .try_send(job)
            .map_err(|(Full(job) | Disconnected(job))| job)
    }
}

fn write(path: &Path, mut file: File, work: &Receiver<Job>, written: impl Fn(Written)) {
    while let Ok(job) = work.recv() {
        let end = match job.replaces_file {
            false => file.write_all(&job.bytes).and_then(|()| file.sync_data()),
            true => replaces_file(path, &job.bytes).map(|new| file = new),
        };
        written((job.number, end.map_err(|e| e.to_string())));
    }
}

/// Beside the old one, and put in its place only when it is whole.
fn replaces_file(path: &Path, bytes: &[u8]) -> std::io::Result<File> {
    let beside: PathBuf = path.with_extension("new");
    let _ = std::fs::remove_file(&beside);
    let mut file = OpenOptions::new().append(true).create(true).open(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    if let Some(folder) = path.parent() {
        File::open(folder)?.sync_all()?;
    }
    Ok(file)
}
