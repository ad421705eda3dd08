//! What one process of a coordinator tells the other ones during an upgrade, as the bytes of a file.
//!
//! Each process writes a file of its own, complete each time, and reads those of the others; none writes into another's, so
//! nothing is lost between two writers. Orders are merged by their times: the later one about an engine holds, and whoever
//! reads in whatever order ends with the same.
//!
//! The file is [`HEADER`], then length and checksum (CRC-32) of the rest, both `u32` little endian, then lines of fields
//! separated by tabs. A file that is not complete to the last byte counts as none.

use crate::{ActiveOrder, Order, MAX_NAME_BYTES};
use driftfront_scheduler::Micros;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The beginning of the file: what it is, and the version of its format.
pub const HEADER: &[u8] = b"driftfront handover 1\n";
/// The header without the version.
const HEADER_NAME: &str = "driftfront handover ";
/// The version that this program writes and reads.
const VERSION: &str = "1";
/// Largest file read.
pub const MAX_HANDOVER_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of a foreign file's first line that are looked at.
const MAX_FOREIGN_LINE_BYTES: usize = 60;

/// The state of one process, as the others read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandoverState {
    /// It serves: those that started before it leave new connections to it.
    pub ready: bool,
    /// Orders that hold, by engine.
    pub orders: BTreeMap<String, ActiveOrder>,
    /// When orders were lifted, by engine.
    pub lifted: BTreeMap<String, Micros>,
    /// Engines that were ever listed, the oldest first.
    pub names: Vec<String>,
}

/// Why a file counts as none.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// It is of another version.
    #[error("it is of version {0}, this program knows version {VERSION}")]
    Version(String),
    /// It is no hand-over file.
    #[error("it is no handover file")]
    NotHandoverFile,
    /// It is not complete.
    #[error("it is not whole")]
    Truncated,
    /// It is complete, but its bytes are not those that were written.
    #[error("its checksum does not fit")]
    Checksum,
    /// A line, counted from 1, is of no known form; 0 where the file is no text.
    #[error("line {0} can't be read")]
    Line(usize),
}

/// The file's bytes.
pub fn encode(state: &HandoverState) -> Vec<u8> {
    let text = state_text(state);
    let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
    let mut bytes = HEADER.to_vec();
    bytes.extend(length.to_le_bytes());
    bytes.extend(crc32fast::hash(text.as_bytes()).to_le_bytes());
    bytes.extend(text.bytes());
    bytes
}

/// Reads [`encode`].
///
/// # Errors
///
/// A [`HandoverError`] for a file that is cut, damaged, or of another version.
pub fn decode(bytes: &[u8]) -> Result<HandoverState, HandoverError> {
    let Some(rest) = bytes.strip_prefix(HEADER) else {
        return Err(foreign_file(bytes));
    };
    let (head, text) = rest
        .split_first_chunk::<8>()
        .ok_or(HandoverError::Truncated)?;
    let [a, b, c, d, checksum @ ..] = *head;
    let length = u32::from_le_bytes([a, b, c, d]) as usize;
    match text.len().cmp(&length) {
        Ordering::Less => return Err(HandoverError::Truncated),
        Ordering::Greater => return Err(HandoverError::NotHandoverFile),
        Ordering::Equal => {}
    }
    if crc32fast::hash(text) != u32::from_le_bytes(checksum) {
        return Err(HandoverError::Checksum);
    }
    let text = std::str::from_utf8(text).map_err(|_| HandoverError::Line(0))?;
    let mut state = HandoverState::default();
    for (index, line) in text.lines().enumerate() {
        read_line(&mut state, line).ok_or(HandoverError::Line(index + 1))?;
    }
    Ok(state)
}

fn foreign_file(bytes: &[u8]) -> HandoverError {
    let line = bytes.split(|&b| b == b'\n').next().unwrap_or_default();
    let line = String::from_utf8_lossy(&line[..line.len().min(MAX_FOREIGN_LINE_BYTES)]);
    let is_complete = bytes.len() > line.len();
    match line.strip_prefix(HEADER_NAME) {
        Some(version) if is_complete && version != VERSION => {
            HandoverError::Version(version.into())
        }
        _ if HEADER.starts_with(bytes) => HandoverError::Truncated,
        _ => HandoverError::NotHandoverFile,
    }
}

fn state_text(state: &HandoverState) -> String {
    let mut text = format!("{}\n", if state.ready { "ready" } else { "starting" });
    for (engine, active) in &state.orders {
        let order = active.order.name();
        let by = active.by.replace(|c: char| c.is_control(), " ");
        text += &format!("{order}\t{engine}\t{}\t{by}\n", active.since);
    }
    for (engine, at) in &state.lifted {
        text += &format!("lift\t{engine}\t{at}\n");
    }
    for name in &state.names {
        text += &format!("name\t{name}\n");
    }
    text
}

/// Reads one line into the state; `None` where it is of no known form.
fn read_line(state: &mut HandoverState, line: &str) -> Option<()> {
    let fields: Vec<&str> = line.split('\t').collect();
    match fields[..] {
        ["ready"] => state.ready = true,
        ["starting"] => state.ready = false,
        [order @ ("drain" | "remove"), engine, since, by] => {
            let active_order = ActiveOrder {
                order: Order::from_name(order)?,
                since: since.parse().ok()?,
                by: by.into(),
            };
            state.orders.insert(read_name(engine)?, active_order);
        }
        ["lift", engine, at] => {
            state.lifted.insert(read_name(engine)?, at.parse().ok()?);
        }
        ["name", engine] => state.names.push(read_name(engine)?),
        _ => return None,
    }
    Some(())
}

fn read_name(name: &str) -> Option<String> {
    let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len());
    is_valid.then(|| name.to_string())
}
