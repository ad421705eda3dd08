//! The hand-over mailbox: a directory through which two processes of one coordinator exchange state during an upgrade.

use driftfront::handover::HandoverMailbox;
use driftfront_engine_registry::handover::HandoverState;
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("driftfront-handover-{}-{name}", std::process::id()));
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

/// Finds the directory in `tmp` whose name starts with `prefix`.
fn mailbox_folder(tmp: &Path, prefix: &str) -> PathBuf {
    let entries = std::fs::read_dir(tmp).unwrap().map(|e| e.unwrap().path());
    let has_prefix = |path: &PathBuf| {
        let file_name = path.file_name().unwrap().to_string_lossy().into_owned();
        file_name.starts_with(prefix)
    };
    entries
        .into_iter()
        .find(has_prefix)
        .expect("a mailbox directory with this prefix exists")
}

#[test]
fn new_process_reads_the_old_ones_state_and_succeeds_it_once_ready() {
    let tmp = folder("two");
    let mut old = HandoverMailbox::open(&tmp, "n/1").unwrap();
    let old_folder = mailbox_folder(&tmp, "driftfront-n-1-");
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
    // A coordinator with another name in the same directory is not a peer.
    let mut other = HandoverMailbox::open(&tmp, "n-1").unwrap();
    assert!(other.poll().received.is_empty() && !other.has_peers());
    // When the new process exits, the old one has no peer any more, and the files of the exited process are removed.
    drop(new);
    old.poll();
    assert!(!old.has_successor() && !old.has_peers());
    let remaining_files = std::fs::read_dir(&old_folder).unwrap().count();
    assert_eq!(remaining_files, 2);
    std::fs::remove_dir_all(&tmp).unwrap();
}

#[test]
fn damaged_file_is_reported_once_and_ignored_until_it_is_complete() {
    let tmp = folder("damaged");
    let mut old = HandoverMailbox::open(&tmp, "n").unwrap();
    let mut new = HandoverMailbox::open(&tmp, "n").unwrap();
    old.publish(message(true, "a")).unwrap();
    let file = format!("000000000001-{}.word", std::process::id());
    let path = mailbox_folder(&tmp, "driftfront-n-").join(file);
    let complete_bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &complete_bytes[..complete_bytes.len() - 1]).unwrap();
    let polled = new.poll();
    assert!(
        polled.received.is_empty()
            && polled.errors.len() == 1
            && !new.has_predecessor()
            && new.has_peers()
    );
    assert!(new.poll().errors.is_empty());
    std::fs::write(&path, &complete_bytes).unwrap();
    assert!(new.poll().received.len() == 1 && new.has_predecessor());
    std::fs::remove_dir_all(&tmp).unwrap();
}
