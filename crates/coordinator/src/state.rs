//! The state folder: operators' orders that outlive a restart. A command counts as done once its record is on the disk.

use crate::file_writer::{Disk, Job};
use driftfront_engine_registry::record::{self, StateRecord, COMPACTION_THRESHOLD_BYTES, HEADER};
use std::fs::OpenOptions;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;

pub use crate::file_writer::Written;

/// The file's name in the folder.
const NAME: &str = "orders";
/// The number of a write that makes the file smaller.
const ANEW: u64 = 0;
/// The folder, open.
pub struct State {
    disk: Disk,
    last: u64,
    size: usize,
}

/// Opens the folder: the records of an earlier life, what is to be told about them, and the writer.
pub fn open(
    folder: &Path,
    written: impl Fn(Written) + Send + 'static,
) -> Result<(State, Vec<StateRecord>, Vec<String>), String> {
    let say = |what: &str, e: std::io::Error| format!("{}: {what}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(|e| say("can't be made", e))?;
    let path = folder.join(NAME);
    let mut file = OpenOptions::new()
        .read(true)
        // Whole records behind whatever is there: in an upgrade two processes write.
        .append(true)
        .create(true)
        .open(&path)
        .map_err(|e| say("can't be opened", e))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)
        .map_err(|e| say("can't be read", e))?;
    let read = record::read(&bytes).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut told = Vec::new();
    if let Some(why) = &read.damage {
        let cut = bytes.len() - read.valid_bytes;
        told.push(format!(
            "{}: {why}; {cut} bytes behind the last whole record are cut",
            path.display()
        ));
    }
    file.set_len(read.valid_bytes as u64)
        .map_err(|e| say("can't be cut", e))?;
    file.seek(SeekFrom::End(0))
        .map_err(|e| say("can't be written", e))?;
    if read.valid_bytes == 0 {
        file.write_all(HEADER)
            .and_then(|()| file.sync_all())
            .map_err(|e| say("can't be written", e))?;
    }
    let told_of = path.clone();
    let ends = move |(number, end): Written| match (number, &end) {
        // Nobody waits for the file to be smaller.
        (ANEW, Ok(())) => {}
        (ANEW, Err(e)) => tracing::warn!("{}: not written anew: {e}", told_of.display()),
        _ => written((number, end)),
    };
    let disk = Disk::open(path, file, None, ends).map_err(|e| say("no thread for it", e))?;
    Ok((
        State {
            disk,
            last: ANEW,
            size: read.valid_bytes.max(HEADER.len()),
        },
        read.records,
        told,
    ))
}

impl State {
    /// Writes records down; their end is told under the number. `None`: too many wait for the disk.
    pub fn append(&mut self, records: Vec<StateRecord>) -> Option<u64> {
        let bytes: Vec<u8> = records.iter().flat_map(record::encode).collect();
        let size = bytes.len();
        self.last += 1;
        let number = self.last;
        self.disk
            .ask(Job {
                number,
                replaces_file: false,
                bytes,
            })
            .ok()?;
        self.size += size;
        Some(number)
    }

    /// Whether the file has grown so that it should be written anew.
    pub fn wants_compaction(&self) -> bool {
        self.size > COMPACTION_THRESHOLD_BYTES
    }

    /// Writes the file anew.
    pub fn compact(&mut self, records: Vec<StateRecord>) {
        let bytes = record::file(&records);
        let size = bytes.len();
        if self
            .disk
            .ask(Job {
                number: ANEW,
                replaces_file: true,
                bytes,
            })
            .is_ok()
        {
            self.size = size;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use driftfront_engine_registry::{ActiveOrder, Order};
    use std::sync::mpsc::channel;

    fn order(n: u64) -> StateRecord {
        let active_order = ActiveOrder {
            order: Order::Drain,
            since: n,
            by: "operator".into(),
        };
        StateRecord::Ordered {
            engine: format!("e{n}"),
            active_order,
        }
    }

    #[test]
    fn what_was_written_is_read_again_and_a_spoilt_tail_is_cut_and_told() {
        let folder = std::env::temp_dir().join(format!("driftfront-state-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let (told, ends) = channel();
        let open_it = || {
            let told = told.clone();
            open(&folder, move |w| drop(told.send(w))).expect("a folder")
        };
        let (mut state, records, words) = open_it();
        assert!(records.is_empty() && words.is_empty());
        let number = state.append(vec![order(1), order(2)]).expect("room");
        assert_eq!(ends.recv().expect("written"), (number, Ok(())));
        drop(state);
        let path = folder.join(NAME);
        let mut bytes = std::fs::read(&path).expect("the file");
        bytes.truncate(bytes.len() - 3);
        std::fs::write(&path, &bytes).expect("cut");
        let (mut state, records, words) = open_it();
        assert_eq!((records, words.len()), (vec![order(1)], 1));
        // Written anew, and appended to.
        state.compact(vec![order(7)]);
        let number = state.append(vec![order(8)]).expect("room");
        assert_eq!(ends.recv().expect("written"), (number, Ok(())));
        drop(state);
        assert_eq!(open_it().1, vec![order(7), order(8)]);
        // A power cut at each byte: what is whole before it is read again, and the next order is appended to that.
        let whole = std::fs::read(&path).expect("the file");
        for cut in 0..=whole.len() {
            std::fs::write(&path, &whole[..cut]).expect("a prefix");
            let (mut state, records, words) = open_it();
            let known = record::read(&whole[..cut]).expect("ours");
            assert_eq!(
                (&records, words.is_empty()),
                (&known.records, known.damage.is_none()),
                "cut at {cut}"
            );
            let number = state.append(vec![order(9)]).expect("room");
            assert_eq!(ends.recv().expect("written"), (number, Ok(())));
            drop(state);
            assert_eq!(
                open_it().1,
                [&records[..], &[order(9)]].concat(),
                "cut at {cut}"
            );
        }
        // A newer version's file is left as it is.
        std::fs::write(&path, b"driftfront state 9\n").expect("newer");
        assert!(open(&folder, |_| {}).is_err_and(|e| e.contains("version 9")));
        assert_eq!(
            std::fs::read(&path).expect("the file"),
            b"driftfront state 9\n"
        );
        let _ = std::fs::remove_dir_all(&folder);
    }
}
