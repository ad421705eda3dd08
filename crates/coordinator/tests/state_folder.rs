//! The state folder: what is written is read again, whatever a power cut leaves of it.

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

/// A state folder that is opened again and again.
struct Reopened<'p> {
    path: &'p Path,
    sender: Sender<WriteCompleted>,
    completions: Receiver<WriteCompleted>,
}

impl Reopened<'_> {
    fn open(&self) -> OpenedState {
        let sender = self.sender.clone();
        let opened = StateFolder::open(self.path, move |w| drop(sender.send(w)));
        opened.expect("a folder")
    }

    /// Appends records and waits until they are on the disk.
    fn append(&self, folder: &mut StateFolder, records: &[StateRecord]) {
        let id = folder.append(records).expect("room");
        let completed = self.completions.recv().expect("written");
        assert_eq!(completed.id, id);
        completed.result.expect("on the disk");
    }
}

#[test]
fn written_records_are_read_again_and_a_damaged_end_is_cut_and_reported() {
    let path = std::env::temp_dir().join(format!("driftfront-state-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (sender, completions) = channel();
    let state = Reopened {
        path: &path,
        sender,
        completions,
    };
    let mut opened = state.open();
    assert!(opened.records.is_empty() && opened.warnings.is_empty());
    state.append(&mut opened.folder, &[order(1), order(2)]);
    drop(opened);
    let file = path.join("orders");
    let mut bytes = std::fs::read(&file).expect("the file");
    bytes.truncate(bytes.len() - 3);
    std::fs::write(&file, &bytes).expect("cut");
    let mut opened = state.open();
    assert_eq!((opened.records, opened.warnings.len()), (vec![order(1)], 1));
    // Replaced by a shorter file, and appended to.
    opened.folder.compact(&[order(7)]);
    state.append(&mut opened.folder, &[order(8)]);
    drop(opened.folder);
    assert_eq!(state.open().records, vec![order(7), order(8)]);
    // A power cut at each byte: the complete records before it are read again, and the next order is appended to them.
    let whole = std::fs::read(&file).expect("the file");
    for cut in 0..=whole.len() {
        std::fs::write(&file, &whole[..cut]).expect("a prefix");
        let mut opened = state.open();
        let known = record::decode_file(&whole[..cut]).expect("ours");
        assert_eq!(
            (&opened.records, opened.warnings.is_empty()),
            (&known.records, known.damage.is_none()),
            "cut at {cut}"
        );
        state.append(&mut opened.folder, &[order(9)]);
        drop(opened.folder);
        assert_eq!(
            state.open().records,
            [&opened.records[..], &[order(9)]].concat(),
            "cut at {cut}"
        );
    }
    // A newer version's file is left as it is.
    std::fs::write(&file, b"driftfront state 9\n").expect("newer");
    let error = StateFolder::open(&path, |_| {}).err().expect("an error");
    assert!(error.to_string().contains("version 9"));
    assert_eq!(
        std::fs::read(&file).expect("the file"),
        b"driftfront state 9\n"
    );
    let _ = std::fs::remove_dir_all(&path);
}
