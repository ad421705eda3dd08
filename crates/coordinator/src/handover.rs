//! The folder through which processes of the same coordinator exchange state while two of them run during an upgrade.
//!
//! Each process has two files in it, named by its [`ProcessNumber`]: `.word` contains its last message, in the format of
//! `driftfront_engine_registry::handover`, and `.lock` is locked while the process is alive. A process writes only its own
//! files.
//!
//! This is used only if the platform passes the client listener. The folder is in `$TMPDIR`, which the platform keeps in
//! memory, so the few small reads and writes are done on the event loop.

use driftfront_engine_registry::handover::{
    decode, encode, HandoverError, HandoverState, MAX_HANDOVER_BYTES,
};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The maximum number of other processes read in each poll. More than a few processes of one coordinator indicate a fault.
const MAX_PROCESSES: usize = 16;

/// Identifies a process of the coordinator; processes that started later compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessNumber {
    /// One more than the greatest sequence number found at start.
    pub sequence: u64,
    /// The process id, which distinguishes two processes that start at the same time.
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

/// The kinds of files that a process writes.
#[derive(Clone, Copy)]
enum FileKind {
    /// The process's last message.
    Message,
    /// Locked while the process is alive.
    Lock,
    /// A message or lock file before it is renamed.
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

/// Detects whether a file has been rewritten.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified: u64,
}

impl FileVersion {
    /// Returns the default if the file does not exist.
    fn of(path: &Path) -> FileVersion {
        std::fs::metadata(path).map_or(FileVersion::default(), |metadata| FileVersion {
            inode: metadata.ino(),
            modified: metadata.mtime_nsec() as u64
                ^ metadata.size() << 32
                ^ metadata.mtime() as u64,
        })
    }
}

/// Another process of this coordinator, as of the last poll.
struct Peer {
    version: FileVersion,
    message: Option<HandoverState>,
}

impl Peer {
    fn is_ready(&self) -> bool {
        self.message.as_ref().is_some_and(|message| message.ready)
    }
}

/// Exchanges messages with the other processes of this coordinator through their shared folder.
pub struct HandoverMailbox {
    folder: PathBuf,
    number: ProcessNumber,
    /// The lock file; the lock is held until this process ends.
    _lock: File,
    peers: BTreeMap<ProcessNumber, Peer>,
    /// The last message that this process wrote.
    published: Option<HandoverState>,
}

/// A message that has changed since the last poll.
#[derive(Debug, PartialEq)]
pub struct ReceivedMessage {
    /// The process that wrote it.
    pub from: ProcessNumber,
    /// Its contents.
    pub message: HandoverState,
}

/// The result of a poll.
#[derive(Debug, Default)]
pub struct PollResult {
    /// New messages, ordered from the earliest process to the latest.
    pub received: Vec<ReceivedMessage>,
    /// Errors to be logged.
    pub errors: Vec<PollError>,
}

/// An error during a poll.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    /// The folder cannot be listed.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The shared folder.
        folder: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A process's message cannot be read.
    #[error("ignoring the message of process {}: {source}", process.pid)]
    Message {
        /// The process that wrote the message.
        process: ProcessNumber,
        /// Why the message cannot be read.
        source: MessageError,
    },
}

/// Why a message cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The file exceeds the maximum size of a message.
    #[error("the file has {0} bytes, more than {MAX_HANDOVER_BYTES}")]
    TooLarge(u64),
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file does not contain a valid message.
    #[error(transparent)]
    Malformed(#[from] HandoverError),
}

impl HandoverMailbox {
    /// Opens the folder of the coordinator `name` below `tmp`, and registers this process as the latest in it.
    ///
    /// # Errors
    ///
    /// The folder or a file in it cannot be created, read or locked.
    pub fn open(tmp: &Path, name: &str) -> io::Result<HandoverMailbox> {
        let folder = tmp.join(folder_name(name));
        std::fs::create_dir_all(&folder)?;
        let processes = list_processes(&folder)?;
        let last = processes.last().map_or(0, |process| process.sequence);
        let number = ProcessNumber {
            sequence: last.saturating_add(1),
            pid: std::process::id(),
        };
        // The file is locked before it gets its final name: others would take an unlocked file for one of a dead process.
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

    /// Writes this process's message for the others. An unchanged message is not written again.
    ///
    /// # Errors
    ///
    /// The file cannot be written; the next call tries again.
    pub fn publish(&mut self, message: HandoverState) -> io::Result<()> {
        if self.published.as_ref() == Some(&message) {
            return Ok(());
        }
        // Renamed once it is complete, so that a reader sees either the old message or the new one.
        let temporary = self.number.file(&self.folder, FileKind::Temporary);
        std::fs::write(&temporary, encode(&message))?;
        std::fs::rename(
            &temporary,
            self.number.file(&self.folder, FileKind::Message),
        )?;
        self.published = Some(message);
        Ok(())
    }

    /// Reads the messages that have changed since the last poll. Files of ended processes are removed after their last message
    /// has been read.
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
            // Checked before the message is read, so that the last message of an ending process is not missed.
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

    /// Reads a process's message if its file has changed.
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

    /// Whether the process still holds its lock.
    fn is_alive(&self, number: ProcessNumber) -> bool {
        match File::open(number.file(&self.folder, FileKind::Lock)) {
            // Only a free lock or a missing file means that the process has ended. Other errors, such as running out of file
            // descriptors, do not.
            Ok(lock) => lock.try_lock_shared().is_err(),
            Err(e) => e.kind() != io::ErrorKind::NotFound,
        }
    }

    /// Whether another process of this coordinator is running.
    pub fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Whether an earlier process is ready.
    pub fn has_predecessor(&self) -> bool {
        self.peers
            .iter()
            .any(|(&number, peer)| number < self.number && peer.is_ready())
    }

    /// Whether a later process is ready.
    pub fn has_successor(&self) -> bool {
        self.peers
            .iter()
            .any(|(&number, peer)| number > self.number && peer.is_ready())
    }
}

impl Drop for HandoverMailbox {
    fn drop(&mut self) {
        // Another process may still need to read the message; it then removes the message and the lock file.
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

/// The folder's name: the coordinator's name with other characters replaced by `-`, and a hash of the original name, so that
/// different names never share a folder.
fn folder_name(coordinator: &str) -> String {
    let legible: String = coordinator
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '-' })
        .collect();
    let hash = crate::net::fnv1a_64(coordinator.as_bytes());
    format!("driftfront-{legible}-{hash:016x}")
}

/// The processes that have a lock file, ordered from the earliest to the latest.
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
