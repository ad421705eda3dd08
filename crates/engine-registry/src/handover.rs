//! The file through which the processes of one coordinator exchange state during an upgrade.
//!
//! Each process rewrites its own file as a whole and reads the files of the others. No file has two writers, so no update is
//! lost. Orders are merged by their timestamps: the latest order for an engine wins, so all processes converge regardless of
//! the order in which they read.
//!
//! Format: [`HEADER`], the length and the CRC-32 of the remaining bytes (both `u32`, little endian), then lines of
//! tab-separated fields. A file that is truncated or damaged is ignored as a whole.

use crate::{ActiveOrder, Order, MAX_NAME_BYTES};
use driftfront_scheduler::Micros;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The file header: the file type and the format version.
pub const HEADER: &[u8] = b"driftfront handover 1\n";
/// [`HEADER`] without the version.
const HEADER_NAME: &str = "driftfront handover ";
/// The format version that this program writes and reads.
const VERSION: &str = "1";
/// Size limit of a file, in bytes.
pub const MAX_HANDOVER_BYTES: usize = 4 * 1024 * 1024;
/// Length to which the first line of an unrecognized file is examined, in bytes.
const MAX_FOREIGN_LINE_BYTES: usize = 60;

/// The state that a process shares with the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandoverState {
    /// The process serves; processes that started before it stop accepting connections.
    pub ready: bool,
    /// Orders in force, by engine.
    pub orders: BTreeMap<String, ActiveOrder>,
    /// When orders were lifted, by engine.
    pub lifted: BTreeMap<String, Micros>,
    /// Names of engines that were ever listed, oldest first.
    pub names: Vec<String>,
}

/// Why a file is ignored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// The file has another format version.
    #[error("unsupported version {0}, expected version {VERSION}")]
    Version(String),
    /// The file is not a hand-over file.
    #[error("not a handover file")]
    NotHandoverFile,
    /// The file is truncated.
    #[error("the file is truncated")]
    Truncated,
    /// The file has its full length, but the checksum does not match.
    #[error("checksum mismatch")]
    Checksum,
    /// A line, counted from 1, has an unknown form; 0 if the file is not UTF-8.
    #[error("invalid line {0}")]
    Line(usize),
}

/// Encodes the state as the bytes of a file.
pub fn encode(state: &HandoverState) -> Vec<u8> {
    let text = format_state(state);
    let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
    let mut bytes = HEADER.to_vec();
    bytes.extend(length.to_le_bytes());
    bytes.extend(crc32fast::hash(text.as_bytes()).to_le_bytes());
    bytes.extend(text.bytes());
    bytes
}

/// Decodes the bytes of a file; the inverse of [`encode`].
///
/// # Errors
///
/// A [`HandoverError`] if the file is truncated, damaged, or of another version.
pub fn decode(bytes: &[u8]) -> Result<HandoverState, HandoverError> {
    let Some(rest) = bytes.strip_prefix(HEADER) else {
        return Err(unrecognized_file(bytes));
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
        parse_line(&mut state, line).ok_or(HandoverError::Line(index + 1))?;
    }
    Ok(state)
}

/// Why a file that does not begin with [`HEADER`] is ignored.
fn unrecognized_file(bytes: &[u8]) -> HandoverError {
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

/// The lines of the file.
fn format_state(state: &HandoverState) -> String {
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

/// Parses a line into the state; `None` if its form is unknown.
fn parse_line(state: &mut HandoverState, line: &str) -> Option<()> {
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
            state.orders.insert(parse_name(engine)?, active_order);
        }
        ["lift", engine, at] => {
            state.lifted.insert(parse_name(engine)?, at.parse().ok()?);
        }
        ["name", engine] => state.names.push(parse_name(engine)?),
        _ => return None,
    }
    Some(())
}

fn parse_name(name: &str) -> Option<String> {
    let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len());
    is_valid.then(|| name.to_string())
}
