//! The state file: operators' orders and rolling restarts as records in a file that is only appended to.
//!
//! The file begins with [`HEADER`]. Each record is the length and the checksum (CRC-32) of its text, both `u32` little endian,
//! and the text: fields separated by tabs. A record counts once it is complete and its checksum fits; what follows the first
//! one that does not is a damaged tail, to be cut. So a power cut at any byte leaves the records before it.

use crate::rolling_restart::RollingRestart;
use crate::{ActiveOrder, EngineDescription, Order};
use driftfront_scheduler::Phase;

/// The beginning of the file: what it is, and the version of its format.
pub const HEADER: &[u8] = b"driftfront state 1\n";
/// The header without the version.
const HEADER_NAME: &str = "driftfront state ";
/// The version that this program writes and reads.
const VERSION: &str = "1";
/// Longest text of a record.
pub const MAX_RECORD_BYTES: usize = 16 * 1024;
/// Size of a file beyond which it is rewritten with the fewest records.
pub const COMPACTION_THRESHOLD_BYTES: usize = 256 * 1024;
/// Length and checksum before each record's text.
const RECORD_HEAD_BYTES: usize = 8;
/// Bytes of a foreign file's first line that are looked at.
const MAX_FOREIGN_LINE_BYTES: usize = 60;

/// One thing that outlives a restart.
#[derive(Clone, Debug, PartialEq)]
pub enum StateRecord {
    /// An operator's order about an engine.
    Ordered {
        /// The engine.
        engine: String,
        /// The order.
        active_order: ActiveOrder,
    },
    /// No order about this engine holds any more.
    Lifted {
        /// The engine.
        engine: String,
    },
    /// An operator added an engine.
    Added {
        /// What is known of it.
        description: EngineDescription,
    },
    /// The progress of a rolling restart; the last record counts. `None`: there is none any more.
    RollingRestart {
        /// The rolling restart.
        roll: Option<RollingRestart>,
    },
}

/// What a file held.
#[derive(Clone, Debug, PartialEq)]
pub struct StateFile {
    /// The records, in order.
    pub records: Vec<StateRecord>,
    /// Length of the valid part; what follows it is to be cut.
    pub valid_bytes: usize,
    /// What is wrong with the rest, if anything is.
    pub damage: Option<Damage>,
}

/// Why the tail of a state file can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The file ends inside its header.
    #[error("it was cut while it was begun")]
    TruncatedHeader,
    /// The file ends inside a record.
    #[error("it ends in the middle of a record")]
    TruncatedRecord,
    /// A record's length is beyond [`MAX_RECORD_BYTES`].
    #[error("a record of {0} bytes can't be")]
    RecordTooLong(usize),
    /// A record's text is not the one that was written.
    #[error("a record's checksum does not fit")]
    Checksum,
    /// A record's text is of no known form.
    #[error("a record can't be read")]
    InvalidRecord,
}

/// Why a file can't be used at all; it is left as it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateFileError {
    /// It is of a newer version.
    #[error("the state file is of version {0}, this program knows version {VERSION}: it is left as it is")]
    Newer(String),
    /// It is no state file.
    #[error("this is no state file of driftfront: it is left as it is")]
    NotStateFile,
}

/// A record's bytes in a file.
pub fn encode(record: &StateRecord) -> Vec<u8> {
    let text = record_text(record);
    debug_assert!(text.len() <= MAX_RECORD_BYTES);
    let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(text.as_bytes()).to_le_bytes());
    bytes.extend(text.bytes());
    bytes
}

/// A complete file of these records.
pub fn encode_file(records: &[StateRecord]) -> Vec<u8> {
    let mut bytes = HEADER.to_vec();
    records
        .iter()
        .for_each(|record| bytes.extend(encode(record)));
    bytes
}

/// Reads a file's bytes.
///
/// # Errors
///
/// A [`StateFileError`] where the file is not a state file of this version. A damaged tail is no error: see
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
        return Err(foreign_file(bytes));
    }
    let mut file = StateFile {
        records: Vec::new(),
        valid_bytes: HEADER.len(),
        damage: None,
    };
    while file.valid_bytes < bytes.len() {
        match read_record(&bytes[file.valid_bytes..]) {
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

fn foreign_file(bytes: &[u8]) -> StateFileError {
    let line = bytes.split(|&b| b == b'\n').next().unwrap_or_default();
    let line = String::from_utf8_lossy(&line[..line.len().min(MAX_FOREIGN_LINE_BYTES)]);
    match line.strip_prefix(HEADER_NAME) {
        Some(version) if version != VERSION => StateFileError::Newer(version.into()),
        _ => StateFileError::NotStateFile,
    }
}

/// Reads the record at the beginning of these bytes: the record, and its length in the file.
fn read_record(bytes: &[u8]) -> Result<(StateRecord, usize), Damage> {
    let (head, rest) = bytes
        .split_first_chunk::<RECORD_HEAD_BYTES>()
        .ok_or(Damage::TruncatedRecord)?;
    let [a, b, c, d, checksum @ ..] = *head;
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
    Ok((record, RECORD_HEAD_BYTES + length))
}

/// A record's text. Names hold no tabs, since control characters are refused in them.
fn record_text(record: &StateRecord) -> String {
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

/// Reads [`record_text`].
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
