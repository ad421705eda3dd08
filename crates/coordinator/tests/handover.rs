//! The folder in which two processes of one coordinator exchange orders during an upgrade.

use driftfront::handover::HandoverMailbox;
use driftfront_engine_registry::handover::HandoverState;
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("driftfront-post-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn message(ready: bool, name: &str) -> HandoverState {
    HandoverState {
        ready,
        names: vec![name.into()],
        ..HandoverState::default()
    }
}

/// The one folder below `tmp` whose name begins with this.
fn inner_folder(tmp: &Path, name: &str) -> PathBuf {
    let entries = std::fs::read_dir(tmp).unwrap().map(|e| e.unwrap().path());
    let is_named = |path: &PathBuf| {
        let file_name = path.file_name().unwrap().to_string_lossy().into_owned();
        file_name.starts_with(name)
    };
    entries.into_iter().find(is_named).expect("a folder")
}

#[test]
fn a_later_process_reads_an_earlier_one_and_succeeds_it_once_it_is_ready() {
    let tmp = folder("two");
    let mut old = HandoverMailbox::open(&tmp, "n/1").unwrap();
    let old_folder = inner_folder(&tmp, "driftfront-n-1-");
    old.publish(message(true, "a")).unwrap();
    assert!(old.poll().received.is_empty() && !old.has_peers());
    let mut new = HandoverMailbox::open(&tmp, "n/1").unwrap();
    assert_eq!(new.poll().received.len(), 1);
    assert!(new.has_predecessor() && new.poll().received.is_empty());
    new.publish(message(false, "b")).unwrap();
    assert_eq!(old.poll().received.len(), 1);
    assert!(!old.has_successor() && old.has_peers());
    new.publish(message(true, "b")).unwrap();
    assert!(old.poll().received.len() == 1 && old.has_successor());
    // Another coordinator in the same folder is no process of this one.
    let mut other = HandoverMailbox::open(&tmp, "n-1").unwrap();
    assert!(other.poll().received.is_empty() && !other.has_peers());
    // The new one dies: the old one sees that it is alone, and nothing of the dead is left.
    drop(new);
    old.poll();
    assert!(!old.has_successor() && !old.has_peers());
    let left = std::fs::read_dir(&old_folder).unwrap().count();
    assert_eq!(left, 2);
    std::fs::remove_dir_all(&tmp).unwrap();
}

#[test]
fn a_damaged_file_is_reported_once_and_counts_as_none_until_it_is_complete_again() {
    let tmp = folder("spoilt");
    let mut old = HandoverMailbox::open(&tmp, "n").unwrap();
    let mut new = HandoverMailbox::open(&tmp, "n").unwrap();
    old.publish(message(true, "a")).unwrap();
    let file = format!("000000000001-{}.word", std::process::id());
    let path = inner_folder(&tmp, "driftfront-n-").join(file);
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() - 1]).unwrap();
    let polled = new.poll();
    assert!(
        polled.received.is_empty()
            && polled.errors.len() == 1
            && !new.has_predecessor()
            && new.has_peers()
    );
    assert!(new.poll().errors.is_empty());
    std::fs::write(&path, &whole).unwrap();
    assert!(new.poll().received.len() == 1 && new.has_predecessor());
    std::fs::remove_dir_all(&tmp).unwrap();
}
