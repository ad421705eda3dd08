//! The folder in which processes of one coordinator tell each other what they must know while an upgrade has two of
//! them run: a file each, and a lock that shows whether its writer lives. The form is `driftfront_engine_registry::handover`.
//!
//! Used only where the platform passes the clients' socket. The folder is in `$TMPDIR`, which the platform keeps in
//! memory: the few small reads and writes are done on the loop.

use driftfront_engine_registry::handover::{decode, encode, HandoverState, MAX_HANDOVER_BYTES};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Which process: a later one has a higher number. The second is the process id, for two that start at once.
pub type Number = (u64, u32);

/// Files looked at with each poll: more than a few processes of one coordinator are a mistake somewhere.
const FILES_MOST: usize = 16;

/// Another process of this coordinator, as last seen.
struct Other {
    /// What tells one state of its file from another.
    stamp: (u64, u64),
    word: Option<HandoverState>,
}

/// This process's place in the folder.
pub struct HandoverMailbox {
    folder: PathBuf,
    number: Number,
    /// Held, and with it locked, for as long as this process lives.
    _lock: File,
    others: BTreeMap<Number, Other>,
    /// What this process last wrote.
    written: Option<HandoverState>,
}

/// What a poll has found.
#[derive(Debug, Default)]
pub struct News {
    /// Words that are new, the earliest process first.
    pub words: Vec<(Number, HandoverState)>,
    /// What went wrong, to be told in the log.
    pub told: Vec<String>,
}

fn file(folder: &Path, number: Number, kind: &str) -> PathBuf {
    folder.join(format!("{:012}-{}.{kind}", number.0, number.1))
}

fn number_of(name: &str) -> Option<Number> {
    let (first, second) = name.strip_suffix(".lock")?.split_once('-')?;
    Some((first.parse().ok()?, second.parse().ok()?))
}

impl HandoverMailbox {
    /// Takes a place behind all that are there. The name of a coordinator keeps two of them apart in one folder.
    pub fn open(tmp: &Path, name: &str) -> io::Result<HandoverMailbox> {
        let plain: String = name
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() { c } else { '-' })
            .collect();
        let folder = tmp.join(format!(
            "driftfront-{plain}-{:016x}",
            crate::net::fnv1a_64(name.as_bytes())
        ));
        std::fs::create_dir_all(&folder)?;
        let last = numbers(&folder)?
            .into_iter()
            .map(|n| n.0)
            .max()
            .unwrap_or(0);
        let number = (last.saturating_add(1), std::process::id());
        // Locked before it has the name that others look for: to them it would be a dead one's.
        let beside = file(&folder, number, "new");
        let lock = File::create(&beside)?;
        lock.lock()?;
        std::fs::rename(&beside, file(&folder, number, "lock"))?;
        Ok(HandoverMailbox {
            folder,
            number,
            _lock: lock,
            others: BTreeMap::new(),
            written: None,
        })
    }

    /// Tells the others; what was told already is not written again.
    pub fn tell(&mut self, word: HandoverState) -> io::Result<()> {
        if self.written.as_ref() == Some(&word) {
            return Ok(());
        }
        // Beside the old one, and put in its place when it is whole.
        let beside = file(&self.folder, self.number, "new");
        std::fs::write(&beside, encode(&word))?;
        std::fs::rename(&beside, file(&self.folder, self.number, "word"))?;
        self.written = Some(word);
        Ok(())
    }

    /// Looks at the others. Files of those that have ended go, once their last word is read.
    pub fn poll(&mut self) -> News {
        let mut news = News::default();
        let numbers = match numbers(&self.folder) {
            Ok(numbers) => numbers,
            Err(e) => {
                news.told.push(format!("{}: {e}", self.folder.display()));
                return news;
            }
        };
        for &number in numbers
            .iter()
            .filter(|&&n| n != self.number)
            .take(FILES_MOST)
        {
            let lives = self.lives(number);
            let path = file(&self.folder, number, "word");
            let stamp = std::fs::metadata(&path).map_or((0, 0), |m| {
                (
                    m.ino(),
                    m.mtime_nsec() as u64 ^ m.size() << 32 ^ m.mtime() as u64,
                )
            });
            let known = self.others.get(&number).map(|o| o.stamp);
            if known != Some(stamp) {
                let read = if stamp == (0, 0) {
                    Ok(None)
                } else {
                    read(&path).map(Some)
                };
                let word = read.unwrap_or_else(|why| {
                    news.told.push(format!(
                        "what process {} wrote is not taken over: {why}",
                        number.1
                    ));
                    None
                });
                news.words.extend(word.clone().map(|w| (number, w)));
                self.others.insert(number, Other { stamp, word });
            }
            if !lives {
                self.others.remove(&number);
                for kind in ["word", "new", "lock"] {
                    let _ = std::fs::remove_file(file(&self.folder, number, kind));
                }
            }
        }
        self.others.retain(|n, _| numbers.contains(n));
        news
    }

    /// Whether a process still holds its lock.
    fn lives(&self, number: Number) -> bool {
        match File::open(file(&self.folder, number, "lock")) {
            // Only a lock that can be had, or none, shows an end: any other trouble, as of descriptors, does not.
            Ok(lock) => !matches!(lock.try_lock_shared(), Ok(())),
            Err(e) => e.kind() != io::ErrorKind::NotFound,
        }
    }

    /// Whether another process runs.
    pub fn shares(&self) -> bool {
        !self.others.is_empty()
    }

    /// Whether an earlier process serves.
    pub fn has_predecessor(&self) -> bool {
        self.others
            .iter()
            .any(|(&n, o)| n < self.number && o.word.as_ref().is_some_and(|w| w.ready))
    }

    /// Whether a later process serves.
    pub fn has_successor(&self) -> bool {
        self.others
            .iter()
            .any(|(&n, o)| n > self.number && o.word.as_ref().is_some_and(|w| w.ready))
    }
}

impl Drop for HandoverMailbox {
    fn drop(&mut self) {
        // The word stays where a successor may still have to read it: that one removes both.
        let kinds: &[&str] = if self.shares() {
            &["new"]
        } else {
            &["word", "new", "lock"]
        };
        for kind in kinds {
            let _ = std::fs::remove_file(file(&self.folder, self.number, kind));
        }
    }
}

fn numbers(folder: &Path) -> io::Result<Vec<Number>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        numbers.extend(entry?.file_name().to_str().and_then(number_of));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn read(path: &Path) -> Result<HandoverState, String> {
    let size = std::fs::metadata(path).map_err(|e| e.to_string())?.len();
    if size > MAX_HANDOVER_BYTES as u64 {
        return Err(format!("{size} bytes are too many"));
    }
    let bytes = std::fs::read(path).map_err(|e| e.to_string())?;
    decode(&bytes).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let path =
            std::env::temp_dir().join(format!("driftfront-post-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        path
    }

    fn word(ready: bool, name: &str) -> HandoverState {
        HandoverState {
            ready,
            names: vec![name.into()],
            ..HandoverState::default()
        }
    }

    #[test]
    fn a_later_process_hears_an_earlier_one_and_succeeds_it_once_it_is_ready() {
        let tmp = folder("two");
        let mut old = HandoverMailbox::open(&tmp, "n/1").unwrap();
        old.tell(word(true, "a")).unwrap();
        assert!(old.poll().words.is_empty() && !old.shares());
        let mut new = HandoverMailbox::open(&tmp, "n/1").unwrap();
        assert_eq!(new.poll().words.len(), 1);
        assert!(new.has_predecessor() && new.poll().words.is_empty());
        new.tell(word(false, "b")).unwrap();
        assert_eq!(old.poll().words.len(), 1);
        assert!(!old.has_successor() && old.shares());
        new.tell(word(true, "b")).unwrap();
        assert!(old.poll().words.len() == 1 && old.has_successor());
        // Another coordinator in the same folder is none of ours.
        let mut other = HandoverMailbox::open(&tmp, "n-1").unwrap();
        assert!(other.poll().words.is_empty() && !other.shares());
        // The new one dies: the old one sees that it is alone, and nothing of the dead is left.
        drop(new);
        old.poll();
        assert!(!old.has_successor() && !old.shares());
        let left = std::fs::read_dir(&old.folder).unwrap().count();
        assert_eq!(left, 2);
        std::fs::remove_dir_all(&tmp).unwrap();
    }

    #[test]
    fn a_spoilt_file_is_told_once_and_counts_as_none_until_it_is_well_again() {
        let tmp = folder("spoilt");
        let mut old = HandoverMailbox::open(&tmp, "n").unwrap();
        let mut new = HandoverMailbox::open(&tmp, "n").unwrap();
        old.tell(word(true, "a")).unwrap();
        let path = file(&old.folder, old.number, "word");
        let whole = std::fs::read(&path).unwrap();
        std::fs::write(&path, &whole[..whole.len() - 1]).unwrap();
        let news = new.poll();
        assert!(
            news.words.is_empty() && news.told.len() == 1 && !new.has_predecessor() && new.shares()
        );
        assert!(new.poll().told.is_empty());
        old.written = None;
        old.tell(word(true, "a")).unwrap();
        assert!(new.poll().words.len() == 1 && new.has_predecessor());
        std::fs::remove_dir_all(&tmp).unwrap();
    }
}
