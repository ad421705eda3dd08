//! The state file: an append-only log of operators' orders and rolling restarts.
//!
//! The file begins with [`HEADER`]. Each record consists of the length and the CRC-32 of its text (both `u32`, little endian),
//! followed by the text itself: tab-separated fields. A record is valid if it is complete and its checksum matches. Everything
//! from the first invalid record on is a damaged tail, which the host truncates. After a power failure during a write, all
//! earlier records are therefore still readable.

use crate::rolling_restart::RollingRestart;
use crate::{ActiveOrder, EngineDescription, Order};
use driftfront_scheduler::Phase;

/// The file header: the file type and the format version.
pub const HEADER: &[u8] = b"driftfront state 1\n";
/// [`HEADER`] without the version.
const HEADER_NAME: &str = "driftfront state ";
/// The format version that this program writes and reads.
const VERSION: &str = "1";
/// Maximum length of a record's text, in bytes.
pub const MAX_RECORD_BYTES: usize = 16 * 1024;
/// File size beyond which the file is compacted.
pub const COMPACTION_THRESHOLD_BYTES: usize = 256 * 1024;
/// Size of a record's header (length and checksum), in bytes.
const RECORD_HEADER_BYTES: usize = 8;
/// Length to which the first line of an unrecognized file is examined, in bytes.
const MAX_FOREIGN_LINE_BYTES: usize = 60;

/// A piece of state that survives a restart.
#[derive(Clone, Debug, PartialEq)]
pub enum StateRecord {
    /// An order was given for an engine.
    Ordered {
        /// The engine.
        engine: String,
        /// The order.
        active_order: ActiveOrder,
    },
    /// The order for an engine was lifted.
    Lifted {
        /// The engine.
        engine: String,
    },
    /// An operator added an engine.
    Added {
        /// The description of the engine.
        description: EngineDescription,
    },
    /// The progress of a rolling restart; the last such record wins.
    RollingRestart {
        /// The rolling restart; `None` if there is none any more.
        roll: Option<RollingRestart>,
    },
}

/// The decoded contents of a state file.
#[derive(Clone, Debug, PartialEq)]
pub struct StateFile {
    /// The records, in order.
    pub records: Vec<StateRecord>,
    /// Length of the valid part, in bytes; the rest is to be truncated.
    pub valid_bytes: usize,
    /// What is wrong with the tail, if it is damaged.
    pub damage: Option<Damage>,
}

/// Why the tail of a state file is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The file ends inside its header.
    #[error("the file ends inside its header")]
    TruncatedHeader,
    /// The file ends inside a record.
    #[error("the file ends inside a record")]
    TruncatedRecord,
    /// The length of a record exceeds [`MAX_RECORD_BYTES`].
    #[error("a record length of {0} bytes exceeds the limit of {MAX_RECORD_BYTES}")]
    RecordTooLong(usize),
    /// The checksum of a record does not match its text.
    #[error("record checksum mismatch")]
    Checksum,
    /// The text of a record has an unknown form.
    #[error("invalid record text")]
    InvalidRecord,
}

/// Why a file can't be used at all. The host leaves such a file unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateFileError {
    /// The file has another format version.
    #[error("unsupported state file version {0}, expected version {VERSION}; the file is left unchanged")]
    Newer(String),
    /// The file is not a state file.
    #[error("not a driftfront state file; the file is left unchanged")]
    NotStateFile,
}

/// Encodes a record as it is stored in the file.
pub fn encode(record: &StateRecord) -> Vec<u8> {
    let text = format_record(record);
    debug_assert!(text.len() <= MAX_RECORD_BYTES);
    let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(text.as_bytes()).to_le_bytes());
    bytes.extend(text.bytes());
    bytes
}

/// Encodes a complete file with these records.
pub fn encode_file(records: &[StateRecord]) -> Vec<u8> {
    let mut bytes = HEADER.to_vec();
    records
        .iter()
        .for_each(|record| bytes.extend(encode(record)));
    bytes
}

/// Decodes the bytes of a file.
///
/// # Errors
///
/// A [`StateFileError`] if the file is not a state file of this version. A damaged tail is not an error; it is reported in
/// [`StateFile::damage`].
pub fn decode_file(bytes: &[u8]) -> Result<StateFile, StateFileError> {
    if bytes.len() < HEADER.len() && HEADER.starts_with(bytes) {
        return Ok(StateFile {
            records: Vec::new(),
            valid_bytes: 0,
            damage: (!bytes.is_empty()).then_some(Damage::TruncatedHeader),
        });
    }
    if !bytes.starts_with(HEADER) {
        return Err(unrecognized_file(bytes));
    }
    let mut file = StateFile {
        records: Vec::new(),
        valid_bytes: HEADER.len(),
        damage: None,
    };
    while file.valid_bytes < bytes.len() {
        match decode_record(&bytes[file.valid_bytes..]) {
            Ok((record, length)) => {
                file.records.push(record);
                file.valid_bytes += length;
            }
            Err(damage) => {
                file.damage = Some(damage);
                break;
            }
        }
    }
    Ok(file)
}

/// Why a file that does not begin with [`HEADER`] is rejected.
fn unrecognized_file(bytes: &[u8]) -> StateFileError {
    let line = bytes.split(|&b| b == b'\n').next().unwrap_or_default();
    let line = String::from_utf8_lossy(&line[..line.len().min(MAX_FOREIGN_LINE_BYTES)]);
    match line.strip_prefix(HEADER_NAME) {
        Some(version) if version != VERSION => StateFileError::Newer(version.into()),
        _ => StateFileError::NotStateFile,
    }
}

/// Decodes the record at the start of these bytes. Returns it with its encoded length.
fn decode_record(bytes: &[u8]) -> Result<(StateRecord, usize), Damage> {
    let (header, rest) = bytes
        .split_first_chunk::<RECORD_HEADER_BYTES>()
        .ok_or(Damage::TruncatedRecord)?;
    let [a, b, c, d, checksum @ ..] = *header;
    let length = u32::from_le_bytes([a, b, c, d]) as usize;
    if length > MAX_RECORD_BYTES {
        return Err(Damage::RecordTooLong(length));
    }
    let text = rest.get(..length).ok_or(Damage::TruncatedRecord)?;
    if crc32fast::hash(text) != u32::from_le_bytes(checksum) {
        return Err(Damage::Checksum);
    }
    let record = std::str::from_utf8(text).ok().and_then(parse_record);
    let record = record.ok_or(Damage::InvalidRecord)?;
    Ok((record, RECORD_HEADER_BYTES + length))
}

/// The text of a record. Names contain no tabs, since control characters are rejected in them.
fn format_record(record: &StateRecord) -> String {
    match record {
        StateRecord::Ordered {
            engine,
            active_order,
        } => {
            let order = active_order.order.name();
            let by = active_order.by.replace(['\t', '\n'], " ");
            format!("{order}\t{engine}\t{}\t{by}", active_order.since)
        }
        StateRecord::Lifted { engine } => format!("lift\t{engine}"),
        StateRecord::Added { description } => {
            let addr = description.addr.map_or("-".to_string(), |a| a.to_string());
            format!(
                "add\t{}\t{addr}\t{}\t{}\t{}",
                description.name, description.zone, description.kind, description.cell
            )
        }
        StateRecord::RollingRestart { roll: None } => "roll\tnone".into(),
        StateRecord::RollingRestart { roll: Some(roll) } => format!("roll\t{}", roll.to_text()),
    }
}

/// Parses the text of a record; the inverse of [`format_record`].
fn parse_record(text: &str) -> Option<StateRecord> {
    let (kind, rest) = text.split_once('\t')?;
    let mut fields = rest.split('\t');
    match kind {
        "drain" | "remove" => Some(StateRecord::Ordered {
            engine: fields.next()?.into(),
            active_order: ActiveOrder {
                order: Order::from_name(kind)?,
                since: fields.next()?.parse().ok()?,
                by: fields.next()?.into(),
            },
        }),
        "lift" => Some(StateRecord::Lifted {
            engine: fields.next()?.into(),
        }),
        "add" => Some(StateRecord::Added {
            description: parse_description(fields)?,
        }),
        "roll" if rest == "none" => Some(StateRecord::RollingRestart { roll: None }),
        "roll" => Some(StateRecord::RollingRestart {
            roll: Some(RollingRestart::from_text(rest)?),
        }),
        _ => None,
    }
}

fn parse_description<'a>(mut fields: impl Iterator<Item = &'a str>) -> Option<EngineDescription> {
    Some(EngineDescription {
        name: fields.next()?.into(),
        addr: match fields.next()? {
            "-" => None,
            addr => Some(addr.parse().ok()?),
        },
        zone: fields.next()?.parse().ok()?,
        kind: fields.next()?.parse().ok()?,
        cell: fields.next()?.parse().ok()?,
        started_at: None,
        phase: Phase::Ready,
    })
}
