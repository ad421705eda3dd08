//! The folder in which processes of one coordinator exchange what they must know while an upgrade has two of them run.
//!
//! Each process has two files there, named by its [`ProcessNumber`]: `.word` with its last message, in the form of
//! `driftfront_engine_registry::handover`, and `.lock`, locked for as long as the process lives. Each writes only its own files.
//!
//! Used only where the platform passes the clients' socket. The folder is in `$TMPDIR`, which the platform keeps in memory:
//! the few small reads and writes are done on the event loop.

use driftfront_engine_registry::handover::{
    decode, encode, HandoverError, HandoverState, MAX_HANDOVER_BYTES,
};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Processes read with each poll: more than a few of one coordinator are a mistake somewhere.
const MAX_PROCESSES: usize = 16;

/// Which process of the coordinator; later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessNumber {
    /// One more than the greatest at its start.
    pub sequence: u64,
    /// Its process id, for two that start at once.
    pub pid: u32,
}

impl ProcessNumber {
    /// Parses the name of a lock file.
    fn from_lock_name(name: &str) -> Option<ProcessNumber> {
        let (sequence, pid) = name.strip_suffix(".lock")?.split_once('-')?;
        Some(ProcessNumber {
            sequence: sequence.parse().ok()?,
            pid: pid.parse().ok()?,
        })
    }

    fn file(self, folder: &Path, kind: FileKind) -> PathBuf {
        let (sequence, pid) = (self.sequence, self.pid);
        folder.join(format!("{sequence:012}-{pid}.{}", kind.extension()))
    }
}

/// A process's files.
#[derive(Clone, Copy)]
enum FileKind {
    /// Its last message.
    Message,
    /// Locked while it lives.
    Lock,
    /// A message or lock that has not got its name yet.
    Temporary,
}

impl FileKind {
    const ALL: [FileKind; 3] = [FileKind::Message, FileKind::Temporary, FileKind::Lock];

    fn extension(self) -> &'static str {
        match self {
            FileKind::Message => "word",
            FileKind::Lock => "lock",
            FileKind::Temporary => "new",
        }
    }
}

/// Tells two writings of a file apart.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified: u64,
}

impl FileVersion {
    /// The default where there is no such file.
    fn of(path: &Path) -> FileVersion {
        std::fs::metadata(path).map_or(FileVersion::default(), |metadata| FileVersion {
            inode: metadata.ino(),
            modified: metadata.mtime_nsec() as u64
                ^ metadata.size() << 32
                ^ metadata.mtime() as u64,
        })
    }
}

/// Another process of this coordinator, as last seen.
struct Peer {
    version: FileVersion,
    message: Option<HandoverState>,
}

impl Peer {
    fn is_ready(&self) -> bool {
        self.message.as_ref().is_some_and(|message| message.ready)
    }
}

/// Exchanges messages with the other processes of this coordinator in their common folder.
pub struct HandoverMailbox {
    folder: PathBuf,
    number: ProcessNumber,
    /// Held, and with it locked, for as long as this process lives.
    _lock: File,
    peers: BTreeMap<ProcessNumber, Peer>,
    /// What this process last wrote.
    published: Option<HandoverState>,
}

/// A message that has changed since the last poll.
#[derive(Debug, PartialEq)]
pub struct ReceivedMessage {
    /// Its writer.
    pub from: ProcessNumber,
    /// What it says.
    pub message: HandoverState,
}

/// What a poll has found.
#[derive(Debug, Default)]
pub struct PollResult {
    /// Messages that are new, the earliest process's first.
    pub received: Vec<ReceivedMessage>,
    /// What went wrong, for the log.
    pub errors: Vec<PollError>,
}

/// What went wrong in a poll.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    /// The folder can't be listed.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A process's message can't be read.
    #[error("what process {} wrote is not taken over: {source}", process.pid)]
    Message {
        /// The process.
        process: ProcessNumber,
        /// Why.
        source: MessageError,
    },
}

/// Why a message can't be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// Its file has more bytes than any message.
    #[error("{0} bytes are too many")]
    TooLarge(u64),
    /// The system can't read its file.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Its file holds no message.
    #[error(transparent)]
    Malformed(#[from] HandoverError),
}

impl HandoverMailbox {
    /// Joins the processes of this name, in the folder for it below `tmp`, as the latest of them.
    ///
    /// # Errors
    ///
    /// The folder or a file in it can't be made, read or locked.
    pub fn open(tmp: &Path, name: &str) -> io::Result<HandoverMailbox> {
        let folder = tmp.join(folder_name(name));
        std::fs::create_dir_all(&folder)?;
        let processes = list_processes(&folder)?;
        let last = processes.last().map_or(0, |process| process.sequence);
        let number = ProcessNumber {
            sequence: last.saturating_add(1),
            pid: std::process::id(),
        };
        // Locked before it has the name that others look for: to them it would be a dead process's.
        let temporary = number.file(&folder, FileKind::Temporary);
        let lock = File::create(&temporary)?;
        lock.lock()?;
        std::fs::rename(&temporary, number.file(&folder, FileKind::Lock))?;
        Ok(HandoverMailbox {
            folder,
            number,
            _lock: lock,
            peers: BTreeMap::new(),
            published: None,
        })
    }

    /// Writes this process's message for the others; one that has not changed is not written again.
    ///
    /// # Errors
    ///
    /// The file can't be written; the next call tries again.
    pub fn publish(&mut self, message: HandoverState) -> io::Result<()> {
        if self.published.as_ref() == Some(&message) {
            return Ok(());
        }
        // Renamed once it is complete: a reader sees the old message or the new one.
        let temporary = self.number.file(&self.folder, FileKind::Temporary);
        std::fs::write(&temporary, encode(&message))?;
        std::fs::rename(
            &temporary,
            self.number.file(&self.folder, FileKind::Message),
        )?;
        self.published = Some(message);
        Ok(())
    }

    /// Reads what the others have written since the last poll. Files of processes that have ended are removed, once their
    /// last message is read.
    pub fn poll(&mut self) -> PollResult {
        let mut result = PollResult::default();
        let processes = match list_processes(&self.folder) {
            Ok(processes) => processes,
            Err(source) => {
                let folder = self.folder.clone();
                result.errors.push(PollError::Folder { folder, source });
                return result;
            }
        };
        let own = self.number;
        let others = processes.iter().filter(|&&number| number != own);
        for &number in others.take(MAX_PROCESSES) {
            // Checked before its message is read: what it wrote last is not missed.
            let is_alive = self.is_alive(number);
            self.read_message(number, &mut result);
            if !is_alive {
                self.peers.remove(&number);
                for kind in FileKind::ALL {
                    let _ = std::fs::remove_file(number.file(&self.folder, kind));
                }
            }
        }
        self.peers.retain(|number, _| processes.contains(number));
        result
    }

    /// Reads a process's message, if its file has changed.
    fn read_message(&mut self, number: ProcessNumber, result: &mut PollResult) {
        let path = number.file(&self.folder, FileKind::Message);
        let version = FileVersion::of(&path);
        if self.peers.get(&number).map(|peer| peer.version) == Some(version) {
            return;
        }
        let is_missing = version == FileVersion::default();
        let read = (!is_missing).then(|| read_file(&path)).transpose();
        let message = read.unwrap_or_else(|source| {
            let process = number;
            result.errors.push(PollError::Message { process, source });
            None
        });
        if let Some(message) = message.clone() {
            result.received.push(ReceivedMessage {
                from: number,
                message,
            });
        }
        self.peers.insert(number, Peer { version, message });
    }

    /// Whether a process still holds its lock.
    fn is_alive(&self, number: ProcessNumber) -> bool {
        match File::open(number.file(&self.folder, FileKind::Lock)) {
            // Only a lock that can be had, or none, shows an end: any other failure, as of descriptors, does not.
            Ok(lock) => lock.try_lock_shared().is_err(),
            Err(e) => e.kind() != io::ErrorKind::NotFound,
        }
    }

    /// Whether another process of this coordinator runs.
    pub fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Whether an earlier process serves.
    pub fn has_predecessor(&self) -> bool {
        self.peers
            .iter()
            .any(|(&number, peer)| number < self.number && peer.is_ready())
    }

    /// Whether a later process serves.
    pub fn has_successor(&self) -> bool {
        self.peers
            .iter()
            .any(|(&number, peer)| number > self.number && peer.is_ready())
    }
}

impl Drop for HandoverMailbox {
    fn drop(&mut self) {
        // Another process may still have to read the message: it removes that and the lock.
        let kinds = if self.has_peers() {
            &[FileKind::Temporary][..]
        } else {
            &FileKind::ALL
        };
        for &kind in kinds {
            let _ = std::fs::remove_file(self.number.file(&self.folder, kind));
        }
    }
}

/// The folder's name: the coordinator's, legible, and its hash, so that names which differ in other characters stay apart.
fn folder_name(coordinator: &str) -> String {
    let legible: String = coordinator
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '-' })
        .collect();
    let hash = crate::net::fnv1a_64(coordinator.as_bytes());
    format!("driftfront-{legible}-{hash:016x}")
}

/// The processes that have a lock file, the earliest first.
fn list_processes(folder: &Path) -> io::Result<Vec<ProcessNumber>> {
    let mut processes = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        processes.extend(name.to_str().and_then(ProcessNumber::from_lock_name));
    }
    processes.sort_unstable();
    Ok(processes)
}

fn read_file(path: &Path) -> Result<HandoverState, MessageError> {
    let size = std::fs::metadata(path)?.len();
    if size > MAX_HANDOVER_BYTES as u64 {
        return Err(MessageError::TooLarge(size));
    }
    Ok(decode(&std::fs::read(path)?)?)
}
