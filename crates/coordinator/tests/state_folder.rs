//! The state folder: records survive a reopen, and complete records survive a file that a power cut has truncated.

use driftfront::file_writer::WriteCompleted;
use driftfront::state_folder::{OpenedState, StateFolder};
use driftfront_engine_registry::record::{self, StateRecord};
use driftfront_engine_registry::{ActiveOrder, Order};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};

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

/// A state folder that the test opens several times.
struct TestFolder<'p> {
    path: &'p Path,
    sender: Sender<WriteCompleted>,
    completions: Receiver<WriteCompleted>,
}

impl TestFolder<'_> {
    fn open(&self) -> OpenedState {
        let sender = self.sender.clone();
        let opened = StateFolder::open(self.path, move |w| drop(sender.send(w)));
        opened.expect("the state folder opens")
    }

    /// Appends records and waits until they have been written to disk.
    fn append(&self, folder: &mut StateFolder, records: &[StateRecord]) {
        let id = folder.append(records).expect("the write queue has room");
        let completed = self.completions.recv().expect("a write completion");
        assert_eq!(completed.id, id);
        completed.result.expect("the write succeeds");
    }
}

#[test]
fn written_records_are_read_again_and_a_damaged_end_is_cut_and_reported() {
    let path = std::env::temp_dir().join(format!("driftfront-state-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (sender, completions) = channel();
    let state = TestFolder {
        path: &path,
        sender,
        completions,
    };
    let mut opened = state.open();
    assert!(opened.records.is_empty() && opened.warnings.is_empty());
    state.append(&mut opened.folder, &[order(1), order(2)]);
    drop(opened);
    let file = path.join("orders");
    let mut bytes = std::fs::read(&file).expect("the file is read");
    bytes.truncate(bytes.len() - 3);
    std::fs::write(&file, &bytes).expect("the truncated file is written");
    let mut opened = state.open();
    assert_eq!((opened.records, opened.warnings.len()), (vec![order(1)], 1));
    // The file is compacted to a shorter one, and appended to.
    opened.folder.compact(&[order(7)]);
    state.append(&mut opened.folder, &[order(8)]);
    drop(opened.folder);
    assert_eq!(state.open().records, vec![order(7), order(8)]);
    // For a truncation at each byte: the complete records before it are read, and the next record is appended after them.
    let complete_bytes = std::fs::read(&file).expect("the file is read");
    for cut in 0..=complete_bytes.len() {
        std::fs::write(&file, &complete_bytes[..cut]).expect("the truncated file is written");
        let mut opened = state.open();
        let expected = record::decode_file(&complete_bytes[..cut]).expect("a supported version");
        assert_eq!(
            (&opened.records, opened.warnings.is_empty()),
            (&expected.records, expected.damage.is_none()),
            "truncated at byte {cut}"
        );
        state.append(&mut opened.folder, &[order(9)]);
        drop(opened.folder);
        assert_eq!(
            state.open().records,
            [&opened.records[..], &[order(9)]].concat(),
            "truncated at byte {cut}"
        );
    }
    // A file of a newer format version is refused and not modified.
    std::fs::write(&file, b"driftfront state 9\n").expect("the file is written");
    let error = StateFolder::open(&path, |_| {})
        .err()
        .expect("a version error");
    assert!(error.to_string().contains("version 9"));
    assert_eq!(
        std::fs::read(&file).expect("the file is read"),
        b"driftfront state 9\n"
    );
    let _ = std::fs::remove_dir_all(&path);
}
