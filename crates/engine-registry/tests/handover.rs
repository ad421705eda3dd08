//! The hand-over file: truncated or damaged files are rejected.

use driftfront_engine_registry::handover::{decode, encode, HandoverError, HandoverState, HEADER};
use driftfront_engine_registry::{ActiveOrder, Order};
use quickcheck::{Gen, QuickCheck};

fn state() -> HandoverState {
    let active_order = |order, since| ActiveOrder {
        order,
        since,
        by: "the second address".into(),
    };
    HandoverState {
        ready: true,
        orders: [
            ("a".into(), active_order(Order::Drain, 7)),
            ("b c".into(), active_order(Order::Remove, u64::MAX)),
        ]
        .into(),
        lifted: [("d".into(), 9)].into(),
        names: vec!["a".into(), "é".into()],
    }
}

#[test]
fn truncation_or_damage_at_any_byte_is_rejected() {
    let bytes = encode(&state());
    assert_eq!(decode(&bytes), Ok(state()));
    for cut in 0..bytes.len() {
        assert_eq!(
            decode(&bytes[..cut]),
            Err(HandoverError::Truncated),
            "cut at {cut}"
        );
        let mut changed = bytes.clone();
        changed[cut] ^= 0x20;
        assert!(decode(&changed).is_err(), "changed at {cut}");
    }
    let newer = [
        b"driftfront handover 2\n".as_slice(),
        &bytes[HEADER.len()..],
    ]
    .concat();
    assert_eq!(decode(&newer), Err(HandoverError::Version("2".into())));
    assert_eq!(
        decode(&[&bytes[..], b"x"].concat()),
        Err(HandoverError::NotHandoverFile)
    );
    assert_eq!(
        decode(b"something else\n"),
        Err(HandoverError::NotHandoverFile)
    );
}

#[test]
fn random_bytes_are_rejected() {
    let is_rejected =
        |bytes: Vec<u8>| decode(&bytes).is_err() && decode(&[HEADER, &bytes].concat()).is_err();
    let mut check = QuickCheck::new()
        .tests(5_000)
        .rng(Gen::from_size_and_seed(60, 18));
    check.quickcheck(is_rejected as fn(Vec<u8>) -> bool);
}
