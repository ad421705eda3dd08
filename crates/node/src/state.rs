//! The state folder: operators' orders that outlive a restart. Files are written by a thread of their own, so that the
//! event loop never waits for a disk; a command counts as done once its record is on the disk.

use driftfront_roster::record::{self, Record, COMPACT_AT, HEADER};
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

/// The file's name in the folder.
const NAME: &str = "orders";
/// Writes that wait for the disk; more are refused.
const WAITING_MOST: usize = 64;

/// What the writer is asked for.
enum Job {
    /// Records to be appended, and the number under which their end is told.
    Append(u64, Vec<Record>),
    /// The fewest records that say the same: the file is written anew.
    Compact(Vec<Record>),
}

/// How a write ended: its number, and what went wrong.
pub type Written = (u64, Result<(), String>);

/// The folder, open.
pub struct State {
    jobs: SyncSender<Job>,
    last: u64,
    size: usize,
}

/// Opens the folder: the records of an earlier life, what is to be told about them, and the writer.
pub fn open(
    folder: &Path,
    written: impl Fn(Written) + Send + 'static,
) -> Result<(State, Vec<Record>, Vec<String>), String> {
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
    file.read_to_end(&mut bytes).map_err(|e| say("can't be read", e))?;
    let read = record::read(&bytes).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut told = Vec::new();
    if let Some(why) = &read.spoilt {
        let cut = bytes.len() - read.well;
        told.push(format!("{}: {why}; {cut} bytes behind the last whole record are cut", path.display()));
    }
    file.set_len(read.well as u64).map_err(|e| say("can't be cut", e))?;
    file.seek(SeekFrom::End(0)).map_err(|e| say("can't be written", e))?;
    if read.well == 0 {
        file.write_all(HEADER).and_then(|()| file.sync_all()).map_err(|e| say("can't be written", e))?;
    }
    let (jobs, work) = sync_channel(WAITING_MOST);
    std::thread::Builder::new()
        .name("state".into())
        .spawn(move || write(&path, file, &work, written))
        .map_err(|e| say("no thread for it", e))?;
    Ok((State { jobs, last: 0, size: read.well.max(HEADER.len()) }, read.records, told))
}

fn write(path: &Path, mut file: File, work: &Receiver<Job>, written: impl Fn(Written)) {
    while let Ok(job) = work.recv() {
        match job {
            Job::Append(number, records) => {
                let bytes: Vec<u8> = records.iter().flat_map(record::encode).collect();
                let end = file.write_all(&bytes).and_then(|()| file.sync_data());
                written((number, end.map_err(|e| e.to_string())));
            }
            Job::Compact(records) => {
                // Beside the old one, and put in its place only when it is whole.
                match anew(path, &record::file(&records)) {
                    Ok(new) => file = new,
                    Err(e) => tracing::warn!("{}: not written anew: {e}", path.display()),
                }
            }
        }
    }
}

fn anew(path: &Path, bytes: &[u8]) -> std::io::Result<File> {
    let beside: PathBuf = path.with_extension("new");
    let _ = std::fs::remove_file(&beside);
    let mut file = OpenOptions::new().append(true).create(true).open(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    if let Some(folder) = path.parent() {
        File::open(folder)?.sync_all()?;
    }
    Ok(file)
}

impl State {
    /// Writes records down; their end is told under the number. `None`: too many wait for the disk.
    pub fn append(&mut self, records: Vec<Record>) -> Option<u64> {
        let size: usize = records.iter().map(|r| record::encode(r).len()).sum();
        self.last += 1;
        match self.jobs.try_send(Job::Append(self.last, records)) {
            Ok(()) => {
                self.size += size;
                Some(self.last)
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }

    /// Whether the file has grown so that it should be written anew.
    pub fn wants_compaction(&self) -> bool {
        self.size > COMPACT_AT
    }

    /// Writes the file anew.
    pub fn compact(&mut self, records: Vec<Record>) {
        let size = record::file(&records).len();
        if self.jobs.try_send(Job::Compact(records)).is_ok() {
            self.size = size;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use driftfront_roster::{Order, Standing};
    use std::sync::mpsc::channel;

    fn order(n: u64) -> Record {
        let standing = Standing { order: Order::Drain, since: n, by: "operator".into() };
        Record::Ordered { engine: format!("e{n}"), standing }
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
                (&known.records, known.spoilt.is_none()),
                "cut at {cut}"
            );
            let number = state.append(vec![order(9)]).expect("room");
            assert_eq!(ends.recv().expect("written"), (number, Ok(())));
            drop(state);
            assert_eq!(open_it().1, [&records[..], &[order(9)]].concat(), "cut at {cut}");
        }
        // A newer version's file is left as it is.
        std::fs::write(&path, b"driftfront state 9\n").expect("newer");
        assert!(open(&folder, |_| {}).is_err_and(|e| e.contains("version 9")));
        assert_eq!(std::fs::read(&path).expect("the file"), b"driftfront state 9\n");
        let _ = std::fs::remove_dir_all(&folder);
    }
}
