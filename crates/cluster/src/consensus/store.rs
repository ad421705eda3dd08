//! The format of log files.
//!
//! The file starts with [`HEADER`], followed by records. Each record consists of its length and its CRC-32 (both `u32` little
//! endian), a kind and a body. Everything after the last complete record is a damaged tail, whose writes were never confirmed.
//! When a file has grown, it is written anew under a temporary name and replaces the old file once it is complete.
//!
//! | kind | body |
//! | --- | --- |
//! | 1 | the log's identity, in postcard format |
//! | 2 | the hard state of `raft`: term, vote, commit index |
//! | 3 | an entry; replaces all entries with its index and above |
//! | 4 | a snapshot; replaces everything before it |
//!
//! Bodies of kinds 2 to 4 are messages of `raft` in protobuf format, to which later versions of it may add fields.

use super::log::{Log, LogError};
use super::log_identity::LogIdentity;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};

/// The header of a log file, which ends with the format version.
pub const HEADER: &[u8] = b"driftfront agreed 1\n";
/// The header before its version.
const HEADER_PREFIX: &str = "driftfront agreed ";
/// Longest first line that is parsed for a version.
const MAX_HEADER_BYTES: usize = 40;
/// Longest record. A snapshot that reaches all its limits takes a fifth of it.
const MAX_RECORD_BYTES: usize = 1024 * 1024;
/// Length of a record's header: its length and checksum.
const RECORD_HEADER_BYTES: usize = 8;

const IDENTITY_RECORD: u8 = 1;
const HARD_STATE_RECORD: u8 = 2;
const ENTRY_RECORD: u8 = 3;
const SNAPSHOT_RECORD: u8 = 4;

/// The content of a log file.
#[derive(Debug)]
pub struct Loaded {
    /// The log; `None` if nothing was bootstrapped yet.
    pub log: Option<Log>,
    /// The length of the valid part: the file must be truncated to it before anything is appended.
    pub valid_bytes: usize,
    /// The damage of the rest, if there is any.
    pub damage: Option<&'static str>,
}

/// Encodes a record.
fn record(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&[kind]);
    checksum.update(body);
    let length = u32::try_from(body.len() + 1).expect("a record is shorter than MAX_RECORD_BYTES");
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(checksum.finalize().to_le_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a protobuf message; writing the messages built here to memory can't fail.
pub(super) fn encode_protobuf(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// The record that appends an entry.
pub fn entry_record(entry: &Entry) -> Vec<u8> {
    record(ENTRY_RECORD, &encode_protobuf(entry))
}

/// The record of a term, vote and commit index.
pub(super) fn hard_state_record(hard_state: &HardState) -> Vec<u8> {
    record(HARD_STATE_RECORD, &encode_protobuf(hard_state))
}

fn snapshot_record(snapshot: &Snapshot) -> Vec<u8> {
    record(SNAPSHOT_RECORD, &encode_protobuf(snapshot))
}

/// The complete file of a log.
pub fn encode_file(log: &Log) -> Vec<u8> {
    let mut bytes = HEADER.to_vec();
    bytes.extend(record(IDENTITY_RECORD, &log.identity.encode()));
    if log.snapshot_index() > 0 {
        bytes.extend(snapshot_record(log.snapshot()));
    }
    for entry in log.entries_after_snapshot() {
        bytes.extend(entry_record(entry));
    }
    bytes.extend(hard_state_record(log.hard_state()));
    bytes
}

/// Reads a log file. A damaged tail is not an error: see [`Loaded::damage`].
///
/// # Errors
///
/// Fails for a file of another program or of a newer version, and if complete records contradict each other.
pub fn read(bytes: &[u8]) -> Result<Loaded, LogError> {
    if bytes.len() < HEADER.len() && HEADER.starts_with(bytes) {
        return Ok(Loaded {
            log: None,
            valid_bytes: 0,
            damage: (!bytes.is_empty()).then_some("it was cut while it was begun"),
        });
    }
    if !bytes.starts_with(HEADER) {
        return Err(unknown_header(bytes));
    }
    let mut log: Option<Log> = None;
    let mut valid_bytes = HEADER.len();
    let damage = loop {
        match next_record(&bytes[valid_bytes..]) {
            NextRecord::End => break None,
            NextRecord::Damaged(what) => break Some(what),
            NextRecord::Complete { kind, body } => {
                apply_record(&mut log, kind, body)?;
                valid_bytes += RECORD_HEADER_BYTES + 1 + body.len();
            }
        }
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

fn unknown_header(bytes: &[u8]) -> LogError {
    let line = bytes.split(|&b| b == b'\n').next().unwrap_or_default();
    let line = String::from_utf8_lossy(&line[..line.len().min(MAX_HEADER_BYTES)]);
    let version = line.strip_prefix(HEADER_PREFIX).filter(|v| *v != "1");
    version.map_or(LogError::UnknownFormat, |v| {
        LogError::NewerVersion(v.into())
    })
}

enum NextRecord<'a> {
    End,
    Damaged(&'static str),
    Complete { kind: u8, body: &'a [u8] },
}

fn next_record(bytes: &[u8]) -> NextRecord<'_> {
    const CUT: NextRecord<'_> = NextRecord::Damaged("it ends in the middle of a record");
    if bytes.is_empty() {
        return NextRecord::End;
    }
    let Some(([l0, l1, l2, l3, c0, c1, c2, c3], rest)) = bytes.split_first_chunk() else {
        return CUT;
    };
    let length = u32::from_le_bytes([*l0, *l1, *l2, *l3]) as usize;
    let checksum = u32::from_le_bytes([*c0, *c1, *c2, *c3]);
    if length == 0 || length > MAX_RECORD_BYTES {
        return NextRecord::Damaged("a record's length is none");
    }
    let Some(content) = rest.get(..length) else {
        return CUT;
    };
    if crc32fast::hash(content) != checksum {
        return NextRecord::Damaged("a record's checksum does not fit");
    }
    NextRecord::Complete {
        kind: content[0],
        body: &content[1..],
    }
}

fn apply_record(log: &mut Option<Log>, kind: u8, body: &[u8]) -> Result<(), LogError> {
    if kind == IDENTITY_RECORD {
        let identity = LogIdentity::decode(body).ok_or(LogError::Inconsistent(
            "the identity record can't be decoded",
        ))?;
        *log = Some(Log::new(identity));
        return Ok(());
    }
    let unreadable = |_| LogError::Inconsistent("a record can't be decoded");
    let log = log.as_mut().ok_or(LogError::Inconsistent(
        "the first record is not its identity",
    ))?;
    match kind {
        HARD_STATE_RECORD => {
            log.set_hard_state(HardState::parse_from_bytes(body).map_err(unreadable)?);
        }
        ENTRY_RECORD => log.append(vec![Entry::parse_from_bytes(body).map_err(unreadable)?])?,
        SNAPSHOT_RECORD => {
            log.install_snapshot(Snapshot::parse_from_bytes(body).map_err(unreadable)?);
        }
        // Kinds of a later build are skipped; a kind that must not be skipped comes with a new version in the header.
        _ => {}
    }
    Ok(())
}
