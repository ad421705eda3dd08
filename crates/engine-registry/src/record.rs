//! What an operator ordered, as records in a file that is only appended to.
//!
//! The file begins with [`HEADER`]. Each record is its length and its checksum (CRC-32), both `u32` little endian, and
//! its text. A record counts once it is whole and its checksum fits; what stands behind the first that does not is a
//! spoilt tail, to be cut. So a power cut at any byte leaves the records before it.

use crate::rolling_restart::RollingRestart;
use crate::{ActiveOrder, EngineDescription, Order};
use driftfront_scheduler::interface::Phase;

/// The file's beginning: what it is, and the version of its form.
pub const HEADER: &[u8] = b"driftfront state 1\n";
/// Longest record.
pub const MAX_RECORD_BYTES: usize = 16 * 1024;
/// Bytes of a file beyond which it is written anew with the fewest records.
pub const COMPACTION_THRESHOLD_BYTES: usize = 256 * 1024;

/// One thing that is to outlive a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateRecord {
    /// An operator's order about an engine.
    Ordered {
        /// The engine.
        engine: String,
        /// The order.
        active_order: ActiveOrder,
    },
    /// No order about this engine stands any more.
    Lifted {
        /// The engine.
        engine: String,
    },
    /// An operator added an engine.
    Added {
        /// Its facts.
        description: EngineDescription,
    },
    /// Where a roll stands; the last one counts. `None`: there is none any more.
    RollingRestart {
        /// The roll.
        roll: Option<RollingRestart>,
    },
}

/// What a file held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateFile {
    /// The records, in order.
    pub records: Vec<StateRecord>,
    /// Bytes of it that are well; what stands behind them is to be cut.
    pub valid_bytes: usize,
    /// What is wrong with the rest, if anything is.
    pub damage: Option<String>,
}

/// A file that can't be used at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateFileError {
    /// It is of a newer version, and must not be touched.
    Newer(String),
    /// It is no such file.
    NotOurs,
}

impl std::fmt::Display for StateFileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StateFileError::Newer(version) => {
                write!(f, "the state file is of version {version}, this program knows version 1: it is left as it is")
            }
            StateFileError::NotOurs => {
                f.write_str("this is no state file of driftfront: it is left as it is")
            }
        }
    }
}

impl std::error::Error for StateFileError {}

/// A record's bytes in a file.
pub fn encode(record: &StateRecord) -> Vec<u8> {
    let text = text(record);
    debug_assert!(text.len() <= MAX_RECORD_BYTES);
    let mut bytes = (text.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(text.as_bytes()).to_le_bytes());
    bytes.extend(text.bytes());
    bytes
}

/// A whole file of these records.
pub fn file(records: &[StateRecord]) -> Vec<u8> {
    let mut bytes = HEADER.to_vec();
    records.iter().for_each(|r| bytes.extend(encode(r)));
    bytes
}

/// Reads a file's bytes.
pub fn read(bytes: &[u8]) -> Result<StateFile, StateFileError> {
    if bytes.len() < HEADER.len() && HEADER.starts_with(bytes) {
        // Cut while it was begun: nothing had been written down yet.
        let damage = (!bytes.is_empty()).then(|| "it was cut while it was begun".to_string());
        return Ok(StateFile {
            records: Vec::new(),
            valid_bytes: 0,
            damage,
        });
    }
    if !bytes.starts_with(HEADER) {
        let line = bytes.split(|&b| b == b'\n').next().unwrap_or_default();
        let line = String::from_utf8_lossy(&line[..line.len().min(60)]).into_owned();
        return Err(match line.strip_prefix("driftfront state ") {
            Some(version) if version != "1" => StateFileError::Newer(version.into()),
            _ => StateFileError::NotOurs,
        });
    }
    let mut valid_bytes = HEADER.len();
    let mut records = Vec::new();
    let damage = loop {
        let rest = &bytes[valid_bytes..];
        if rest.is_empty() {
            break None;
        }
        let Some(head) = rest.get(..8) else {
            break Some("it ends in the middle of a record".to_string());
        };
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let sum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
        if length > MAX_RECORD_BYTES {
            break Some(format!("a record of {length} bytes can't be"));
        }
        let Some(text) = rest.get(8..8 + length) else {
            break Some("it ends in the middle of a record".to_string());
        };
        if crc32fast::hash(text) != sum {
            break Some("a record's checksum does not fit".to_string());
        }
        match std::str::from_utf8(text).ok().and_then(parse) {
            Some(record) => records.push(record),
            None => break Some("a record can't be read".to_string()),
        }
        valid_bytes += 8 + length;
    };
    Ok(StateFile {
        records,
        valid_bytes,
        damage,
    })
}

/// Words parted by tabs; names hold none, since control characters are refused.
fn text(record: &StateRecord) -> String {
    match record {
        StateRecord::Ordered {
            engine,
            active_order,
        } => {
            let order = match active_order.order {
                Order::Drain => "drain",
                Order::Remove => "remove",
            };
            format!(
                "{order}\t{engine}\t{}\t{}",
                active_order.since,
                active_order.by.replace(['\t', '\n'], " ")
            )
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
        StateRecord::RollingRestart { roll: Some(roll) } => format!("roll\t{}", roll.text()),
    }
}

fn parse(text: &str) -> Option<StateRecord> {
    let (word, rest) = text.split_once('\t')?;
    let mut words = rest.split('\t');
    let mut next = || words.next();
    match word {
        "drain" | "remove" => {
            let order = if word == "drain" {
                Order::Drain
            } else {
                Order::Remove
            };
            let engine = next()?.to_string();
            let since = next()?.parse().ok()?;
            let by = next()?.to_string();
            Some(StateRecord::Ordered {
                engine,
                active_order: ActiveOrder { order, since, by },
            })
        }
        "lift" => Some(StateRecord::Lifted {
            engine: next()?.into(),
        }),
        "add" => {
            let name = next()?.to_string();
            let addr = next()?;
            let addr = if addr == "-" {
                None
            } else {
                Some(addr.parse().ok()?)
            };
            let mut number = || next()?.parse::<u16>().ok();
            let (zone, kind, cell) = (number()?, number()?, number()?);
            Some(StateRecord::Added {
                description: EngineDescription {
                    name,
                    addr,
                    zone,
                    kind,
                    cell,
                    started_at: None,
                    phase: Phase::Ready,
                },
            })
        }
        "roll" if rest == "none" => Some(StateRecord::RollingRestart { roll: None }),
        "roll" => Some(StateRecord::RollingRestart {
            roll: Some(RollingRestart::of_text(rest)?),
        }),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn records() -> Vec<StateRecord> {
        let active_order = |order| ActiveOrder {
            order,
            since: 1_764_000_000_000_000,
            by: "operator".into(),
        };
        let description = EngineDescription {
            name: "engine-9".into(),
            addr: Some("127.0.0.1:8123".parse().expect("an address")),
            zone: 1,
            kind: 0,
            cell: 2,
            started_at: None,
            phase: Phase::Ready,
        };
        vec![
            StateRecord::Ordered {
                engine: "engine-1".into(),
                active_order: active_order(Order::Drain),
            },
            StateRecord::Added { description },
            StateRecord::Ordered {
                engine: "engine-2".into(),
                active_order: active_order(Order::Remove),
            },
            StateRecord::Lifted {
                engine: "engine-1".into(),
            },
            StateRecord::RollingRestart { roll: None },
        ]
    }

    #[test]
    fn a_power_cut_at_any_byte_leaves_the_records_before_it() {
        let (records, whole) = (records(), file(&records()));
        let mut ends = vec![HEADER.len()];
        for record in &records {
            ends.push(ends[ends.len() - 1] + encode(record).len());
        }
        for cut in 0..=whole.len() {
            let read = read(&whole[..cut]).expect("ours");
            let count = ends.iter().skip(1).filter(|&&end| end <= cut).count();
            assert_eq!(read.records, records[..count], "cut at {cut}");
            assert_eq!(
                read.damage.is_none(),
                cut == 0 || ends.contains(&cut),
                "cut at {cut}"
            );
            assert!(read.valid_bytes <= cut);
            // What is appended behind the cut is read again.
            let mut mended = if read.valid_bytes == 0 {
                HEADER.to_vec()
            } else {
                whole[..read.valid_bytes].to_vec()
            };
            mended.extend(encode(&records[0]));
            assert_eq!(super::read(&mended).expect("ours").records.len(), count + 1);
        }
    }

    #[test]
    fn any_changed_byte_costs_that_record_and_those_behind_it_and_nothing_before() {
        let (records, whole) = (records(), file(&records()));
        for at in HEADER.len()..whole.len() {
            let mut bad = whole.clone();
            bad[at] ^= 0x10;
            let read = read(&bad).expect("ours");
            assert!(
                read.damage.is_some() && read.records.len() < records.len(),
                "byte {at}"
            );
            assert_eq!(read.records, records[..read.records.len()]);
        }
    }

    #[test]
    fn files_of_another_version_or_kind_are_left_alone() {
        assert_eq!(
            read(b"driftfront state 2\nwhatever"),
            Err(StateFileError::Newer("2".into()))
        );
        assert_eq!(
            read(b"{\"instances\":[]}, which is something else"),
            Err(StateFileError::NotOurs)
        );
        assert!(read(b"").expect("new").damage.is_none());
    }
}
