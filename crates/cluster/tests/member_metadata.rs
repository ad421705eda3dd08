//! Encoding of member metadata.
#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes values to a property"
)]

use driftfront_cluster::member_metadata::MAX_TEXT_BYTES;
use driftfront_cluster::{MemberMetadata, State};
use quickcheck::quickcheck;

#[test]
fn metadata_is_decoded_by_builds_that_know_fewer_fields() {
    let metadata = MemberMetadata {
        zone: "room-a".into(),
        region: "north".into(),
        build: "0.2.0".into(),
        state: State::Paused,
        since_ms: 1_764_600_000_123,
    };
    assert_eq!(
        MemberMetadata::decode(&metadata.encode()),
        Some(metadata.clone())
    );
    let mut later = metadata.encode();
    later.extend([99, 3, 1, 2, 3]);
    assert_eq!(MemberMetadata::decode(&later), Some(metadata.clone()));
    let unknown = MemberMetadata::decode(&[4, 4, b'r', b'o', b'l', b'l']).unwrap();
    assert_eq!(unknown.state, State::Other);
    for end in 1..later.len() {
        let read = MemberMetadata::decode(&later[..end]);
        assert!(read.is_none() || read.is_some_and(|a| a.zone == "room-a" || a.zone.is_empty()));
    }
    let long = MemberMetadata {
        zone: "é".repeat(60),
        ..metadata
    };
    assert_eq!(
        MemberMetadata::decode(&long.encode()).unwrap().zone,
        "é".repeat(24)
    );
}

#[test]
fn decoding_arbitrary_bytes_never_panics() {
    fn is_bounded(bytes: Vec<u8>) -> bool {
        MemberMetadata::decode(&bytes).is_none_or(|a| a.zone.len() <= MAX_TEXT_BYTES)
    }
    quickcheck(is_bounded as fn(Vec<u8>) -> bool);
}
