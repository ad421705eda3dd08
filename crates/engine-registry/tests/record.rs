//! The state file: recovery after truncation or damage, and rejection of unrecognized files.

use driftfront_engine_registry::record::{
    self, decode_file, encode, encode_file, StateFileError, StateRecord, HEADER,
};
use driftfront_engine_registry::{ActiveOrder, EngineDescription, Order};
use driftfront_scheduler::Phase;

fn records() -> Vec<StateRecord> {
    let active_order = |order| ActiveOrder {
        order,
        since: 1_764_000_000_000_000,
        by: "operator".into(),
    };
    let description = EngineDescription {
        name: "engine-9".into(),
        addr: Some("127.0.0.1:8123".parse().expect("an address")),
        zone: 1,
        kind: 0,
        cell: 2,
        started_at: None,
        phase: Phase::Ready,
    };
    vec![
        StateRecord::Ordered {
            engine: "engine-1".into(),
            active_order: active_order(Order::Drain),
        },
        StateRecord::Added { description },
        StateRecord::Ordered {
            engine: "engine-2".into(),
            active_order: active_order(Order::Remove),
        },
        StateRecord::Lifted {
            engine: "engine-1".into(),
        },
        StateRecord::RollingRestart { roll: None },
    ]
}

#[test]
fn truncation_at_any_byte_keeps_the_records_before_it() {
    let (records, complete) = (records(), encode_file(&records()));
    let mut ends = vec![HEADER.len()];
    for record in &records {
        ends.push(ends[ends.len() - 1] + encode(record).len());
    }
    for cut in 0..=complete.len() {
        let read = decode_file(&complete[..cut]).expect("a state file");
        let count = ends.iter().skip(1).filter(|&&end| end <= cut).count();
        assert_eq!(read.records, records[..count], "cut at {cut}");
        assert_eq!(
            read.damage.is_none(),
            cut == 0 || ends.contains(&cut),
            "cut at {cut}"
        );
        assert!(read.valid_bytes <= cut);
        // Records appended after the valid part are readable.
        let mut repaired = if read.valid_bytes == 0 {
            HEADER.to_vec()
        } else {
            complete[..read.valid_bytes].to_vec()
        };
        repaired.extend(encode(&records[0]));
        assert_eq!(
            record::decode_file(&repaired)
                .expect("a state file")
                .records
                .len(),
            count + 1
        );
    }
}

#[test]
fn changed_byte_loses_only_its_record_and_those_after_it() {
    let (records, complete) = (records(), encode_file(&records()));
    for at in HEADER.len()..complete.len() {
        let mut damaged = complete.clone();
        damaged[at] ^= 0x10;
        let read = decode_file(&damaged).expect("a state file");
        assert!(
            read.damage.is_some() && read.records.len() < records.len(),
            "byte {at}"
        );
        assert_eq!(read.records, records[..read.records.len()]);
    }
}

#[test]
fn files_of_another_version_or_type_are_rejected() {
    assert_eq!(
        decode_file(b"driftfront state 2\nwhatever"),
        Err(StateFileError::Newer("2".into()))
    );
    assert_eq!(
        decode_file(b"{\"instances\":[]}, which is something else"),
        Err(StateFileError::NotStateFile)
    );
    assert!(decode_file(b"")
        .expect("an empty file is valid")
        .damage
        .is_none());
}
