//! The log file format, and compaction of the log.

use driftfront_cluster::consensus::log::{Log, LogError, SharedLog};
use driftfront_cluster::consensus::log_identity::LogIdentity;
use driftfront_cluster::consensus::state::Voter;
use driftfront_cluster::consensus::store::{encode_file, entry_record, read, HEADER};
use raft::eraftpb::{Entry, Snapshot};
use raft::{GetEntriesContext, Storage};

fn entry(index: u64, term: u64, data: &str) -> Entry {
    Entry {
        index,
        term,
        data: data.as_bytes().to_vec().into(),
        ..Entry::default()
    }
}

fn voter(id: u64, name: &str) -> Voter {
    Voter {
        id,
        name: name.into(),
    }
}

fn log() -> Log {
    let initial_voters = vec![
        voter(5 << 20, "a"),
        voter(6 << 20, "b"),
        voter(7 << 20, "c"),
    ];
    let identity = LogIdentity::bootstrapped(5 << 20, initial_voters);
    let mut log = Log::new(identity.clone());
    log.install_snapshot(identity.first_snapshot());
    log
}

#[test]
fn file_truncated_at_any_byte_keeps_all_complete_records() {
    let mut file = encode_file(&log());
    // The end of each record in the file, and the log's last index there.
    let mut record_ends = vec![(file.len(), 1)];
    for n in 2..6 {
        file.extend(entry_record(&entry(n, 1, "some words")));
        record_ends.push((file.len(), n));
    }
    // An entry that replaces two uncommitted ones.
    file.extend(entry_record(&entry(4, 2, "other words")));
    record_ends.push((file.len(), 4));
    for end in 0..=file.len() {
        let loaded = read(&file[..end]).expect("a log file");
        let last_end = record_ends.iter().rev().find(|r| r.0 <= end);
        let last = loaded.log.as_ref().map_or(0, Log::last_index);
        match last_end {
            Some(record_end) => {
                assert_eq!(
                    (last, loaded.valid_bytes, loaded.damage.is_some()),
                    (record_end.1, record_end.0, end > record_end.0)
                )
            }
            // The cut is within the initial file, which is moved to its place only once it is complete.
            None => assert!(last <= 1 && loaded.valid_bytes <= end, "cut at {end}"),
        }
    }
    let log = read(&file).unwrap().log.unwrap();
    assert_eq!((log.term_at(3).unwrap(), log.term_at(4).unwrap()), (1, 2));
    assert!(log.term_at(5).is_err());
    // Rewriting the file is stable.
    let reread = read(&encode_file(&log)).unwrap().log.unwrap();
    assert_eq!(encode_file(&reread), encode_file(&log));
}

#[test]
fn damaged_byte_is_detected_and_unknown_file_is_rejected() {
    let mut file = encode_file(&log());
    file.extend(entry_record(&entry(2, 1, "some words")));
    let undamaged_bytes = read(&file).unwrap().valid_bytes;
    for at in HEADER.len()..file.len() {
        let mut damaged = file.clone();
        damaged[at] ^= 0x10;
        match read(&damaged) {
            Ok(loaded) => assert!(
                loaded.valid_bytes < undamaged_bytes && loaded.damage.is_some(),
                "byte {at}"
            ),
            Err(e) => panic!("byte {at}: {e}"),
        }
    }
    assert!(matches!(read(b"driftfront agreed 7\nx"), Err(LogError::NewerVersion(v)) if v == "7"));
    assert!(matches!(
        read(b"something else"),
        Err(LogError::UnknownFormat)
    ));
    // Complete records that contradict each other are not the damage of a power failure.
    let mut file = encode_file(&log());
    file.extend(entry_record(&entry(9, 1, "")));
    assert!(matches!(read(&file), Err(LogError::Inconsistent(_))));
}

#[test]
fn compacted_log_keeps_some_entries_and_knows_their_terms() {
    let shared = SharedLog::new(log());
    let all: Vec<Entry> = (2..=300).map(|n| entry(n, 1 + n / 100, "x")).collect();
    shared.0.borrow_mut().append(all).unwrap();
    assert!(shared.0.borrow().is_compaction_due());
    let mut snapshot = Snapshot::default();
    (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (290, 3);
    shared.0.borrow_mut().compact(snapshot);
    assert!(!shared.0.borrow().is_compaction_due());
    assert_eq!(
        (shared.first_index().unwrap(), shared.last_index().unwrap()),
        (227, 300)
    );
    assert_eq!(
        (
            shared.term(226).unwrap(),
            shared.term(290).unwrap(),
            shared.term(300).unwrap()
        ),
        (3, 3, 4)
    );
    assert!(shared.term(225).is_err());
    let some = shared
        .entries(227, 301, None, GetEntriesContext::empty(false))
        .unwrap();
    assert_eq!((some.len(), some[0].index), (74, 227));
    // After a restart the log starts at the snapshot.
    let reread = read(&encode_file(&shared.0.borrow())).unwrap().log.unwrap();
    let reread = SharedLog::new(reread);
    assert_eq!(
        (reread.first_index().unwrap(), reread.last_index().unwrap()),
        (291, 300)
    );
}
