//! Content codings: packing, unpacking in pieces, and what a server would choose.

use driftfront_clickhouse::coding::{beginning, pack, Coding, Tail, Unpacker, TAIL_BYTES};

const ALL: [Coding; 5] = [
    Coding::Gzip,
    Coding::Deflate,
    Coding::Brotli,
    Coding::Zstd,
    Coding::Lz4,
];

fn text() -> Vec<u8> {
    (0..40_000)
        .flat_map(|n| format!("{n}\talumni of {}\n", n * 7919 % 1000).into_bytes())
        .collect()
}

#[test]
fn every_coding_is_decoded_however_fragmented() {
    let plain = text();
    for coding in ALL {
        let packed = pack(coding, &plain).expect("packs");
        for step in [11, 1000, 1 << 20] {
            let mut unpacker = Unpacker::new(coding, Tail::default()).expect("a decoder");
            for piece in packed.chunks(step) {
                unpacker.push(piece).expect("well formed");
            }
            unpacker
                .may_end()
                .unwrap_or_else(|e| panic!("{coding:?}: {e}"));
            assert_eq!(unpacker.get_ref().total, plain.len() as u64, "{coding:?}");
            assert!(
                plain.ends_with(unpacker.get_ref().bytes())
                    && unpacker.get_ref().bytes().len() >= 1000
            );
        }
        assert_eq!(beginning(coding, &packed, 100), &plain[..100], "{coding:?}");
        assert_eq!(Coding::of(coding.name()), Some(coding));
    }
}

#[test]
fn corrupt_stream_never_panics() {
    let plain = text();
    for coding in ALL {
        let packed = pack(coding, &plain).expect("packs");
        for at in [0, 3, packed.len() / 2] {
            let mut bad = packed.clone();
            bad[at] ^= 0xff;
            let mut unpacker = Unpacker::new(coding, Tail::default()).expect("a decoder");
            let _ = unpacker.push(&bad).and_then(|()| unpacker.may_end());
        }
    }
}

#[test]
fn coding_is_negotiated_in_the_server_s_order() {
    assert_eq!(Coding::negotiate("gzip, deflate, br"), Some(Coding::Brotli));
    assert_eq!(Coding::negotiate("gzip;q=1.0, br;q=0"), Some(Coding::Gzip));
    assert_eq!(Coding::negotiate("identity, *"), None);
}

#[test]
fn a_tail_keeps_the_last_bytes_however_they_come() {
    let plain = text();
    for step in [1, 100, TAIL_BYTES, 3 * TAIL_BYTES] {
        let mut tail = Tail::default();
        plain[..50_000].chunks(step).for_each(|p| tail.push(p));
        assert_eq!(tail.bytes(), &plain[50_000 - TAIL_BYTES..50_000]);
    }
}
