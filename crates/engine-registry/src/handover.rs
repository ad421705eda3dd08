//! What one process of a coordinator tells the others while an upgrade has two of them run, as the bytes of a file.
//!
//! Each process writes a file of its own, whole and anew each time, and reads those of the others; none writes into
//! another's, so no word is lost between two writers. Orders are merged by their times: the later one about an engine
//! holds, and whoever reads in whatever order ends with the same.
//!
//! The file is [`HEADER`], then length and checksum (CRC-32) of the rest, both `u32` little endian, then lines of words
//! parted by tabs. A file that is not whole to the last byte counts as none.

use crate::{ActiveOrder, Order, MAX_NAME_BYTES};
use driftfront_scheduler::interface::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// The file's beginning: what it is, and the version of its form.
pub const HEADER: &[u8] = b"driftfront handover 1\n";
/// Largest file read.
pub const MAX_HANDOVER_BYTES: usize = 4 * 1024 * 1024;

/// What one process says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandoverState {
    /// It serves: those that started before it leave new connections to it.
    pub ready: bool,
    /// Orders that stand.
    pub orders: BTreeMap<String, ActiveOrder>,
    /// Orders that were lifted, and when.
    pub lifted: BTreeMap<String, Micros>,
    /// Engines that were ever listed.
    pub names: Vec<String>,
}

/// Why a file counts as none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverError {
    /// It is of another version.
    Version(String),
    /// It is no such file.
    NotOurs,
    /// It is not whole.
    Cut,
    /// It is whole, but its bytes are not those that were written.
    Checksum,
    /// A line of it says nothing that is known.
    Line(usize),
}

impl fmt::Display for HandoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandoverError::Version(version) => write!(
                f,
                "it is of version {version}, this program knows version 1"
            ),
            HandoverError::NotOurs => f.write_str("it is no handover file"),
            HandoverError::Cut => f.write_str("it is not whole"),
            HandoverError::Checksum => f.write_str("its checksum does not fit"),
            HandoverError::Line(n) => write!(f, "line {n} can't be read"),
        }
    }
}

impl std::error::Error for HandoverError {}

/// A word's bytes.
pub fn encode(word: &HandoverState) -> Vec<u8> {
    let mut text = format!("{}\n", if word.ready { "ready" } else { "starting" });
    for (engine, s) in &word.orders {
        let order = match s.order {
            Order::Drain => "drain",
            Order::Remove => "remove",
        };
        let by = s.by.replace(|c: char| c.is_control(), " ");
        text += &format!("{order}\t{engine}\t{}\t{by}\n", s.since);
    }
    for (engine, at) in &word.lifted {
        text += &format!("lift\t{engine}\t{at}\n");
    }
    for name in &word.names {
        text += &format!("name\t{name}\n");
    }
    let mut bytes = HEADER.to_vec();
    bytes.extend((text.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(text.as_bytes()).to_le_bytes());
    bytes.extend(text.bytes());
    bytes
}

/// Reads a word; half of one, or another version's, is none.
pub fn decode(bytes: &[u8]) -> Result<HandoverState, HandoverError> {
    let Some(rest) = bytes.strip_prefix(HEADER) else {
        let line = bytes.split(|&b| b == b'\n').next().unwrap_or_default();
        let line = String::from_utf8_lossy(&line[..line.len().min(60)]).into_owned();
        let whole = bytes.len() > line.len();
        return Err(match line.strip_prefix("driftfront handover ") {
            Some(version) if whole && version != "1" => HandoverError::Version(version.into()),
            _ if HEADER.starts_with(bytes) => HandoverError::Cut,
            _ => HandoverError::NotOurs,
        });
    };
    let (head, text) = rest.split_at_checked(8).ok_or(HandoverError::Cut)?;
    let number = |n: usize| u32::from_le_bytes([head[n], head[n + 1], head[n + 2], head[n + 3]]);
    match text.len().cmp(&(number(0) as usize)) {
        std::cmp::Ordering::Less => return Err(HandoverError::Cut),
        std::cmp::Ordering::Greater => return Err(HandoverError::NotOurs),
        std::cmp::Ordering::Equal if crc32fast::hash(text) != number(4) => {
            return Err(HandoverError::Checksum)
        }
        std::cmp::Ordering::Equal => {}
    }
    let text = std::str::from_utf8(text).map_err(|_| HandoverError::Line(0))?;
    let mut word = HandoverState::default();
    for (n, line) in text.lines().enumerate() {
        read_line(&mut word, line).ok_or(HandoverError::Line(n + 1))?;
    }
    Ok(word)
}

fn read_line(word: &mut HandoverState, line: &str) -> Option<()> {
    let words: Vec<&str> = line.split('\t').collect();
    let fits = |engine: &str| {
        (1..=MAX_NAME_BYTES)
            .contains(&engine.len())
            .then(|| engine.to_string())
    };
    match words[..] {
        ["ready"] => word.ready = true,
        ["starting"] => word.ready = false,
        [order @ ("drain" | "remove"), engine, since, by] => {
            let order = if order == "drain" {
                Order::Drain
            } else {
                Order::Remove
            };
            let active_order = ActiveOrder {
                order,
                since: since.parse().ok()?,
                by: by.into(),
            };
            word.orders.insert(fits(engine)?, active_order);
        }
        ["lift", engine, at] => drop(word.lifted.insert(fits(engine)?, at.parse().ok()?)),
        ["name", engine] => word.names.push(fits(engine)?),
        _ => return None,
    }
    Some(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    fn word() -> HandoverState {
        let active_order = |order, since| ActiveOrder {
            order,
            since,
            by: "the second address".into(),
        };
        HandoverState {
            ready: true,
            orders: [
                ("a".into(), active_order(Order::Drain, 7)),
                ("b c".into(), active_order(Order::Remove, u64::MAX)),
            ]
            .into(),
            lifted: [("d".into(), 9)].into(),
            names: vec!["a".into(), "é".into()],
        }
    }

    #[test]
    fn a_file_cut_at_any_byte_or_with_any_byte_spoilt_counts_as_none() {
        let bytes = encode(&word());
        assert_eq!(decode(&bytes), Ok(word()));
        for cut in 0..bytes.len() {
            assert_eq!(
                decode(&bytes[..cut]),
                Err(HandoverError::Cut),
                "cut at {cut}"
            );
            let mut spoilt = bytes.clone();
            spoilt[cut] ^= 0x20;
            assert!(decode(&spoilt).is_err(), "spoilt at {cut}");
        }
        let newer = [
            b"driftfront handover 2\n".as_slice(),
            &bytes[HEADER.len()..],
        ]
        .concat();
        assert_eq!(decode(&newer), Err(HandoverError::Version("2".into())));
        assert_eq!(
            decode(&[&bytes[..], b"x"].concat()),
            Err(HandoverError::NotOurs)
        );
        assert_eq!(decode(b"something else\n"), Err(HandoverError::NotOurs));
    }

    #[test]
    fn random_bytes_are_no_word() {
        let never =
            |bytes: Vec<u8>| decode(&bytes).is_err() && decode(&[HEADER, &bytes].concat()).is_err();
        let mut check = QuickCheck::new()
            .tests(5_000)
            .rng(Gen::from_size_and_seed(60, 18));
        check.quickcheck(never as fn(Vec<u8>) -> bool);
    }
}
