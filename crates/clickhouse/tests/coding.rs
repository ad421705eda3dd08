//! Content codings: compression, incremental decoding and negotiation.

use driftfront_clickhouse::coding::{compress, decompress_prefix, Coding, Decoder};
use driftfront_clickhouse::tail::{TailBuffer, TAIL_BYTES};

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
fn every_coding_is_decoded_in_chunks_of_any_size() {
    let plain = text();
    for coding in ALL {
        let compressed = compress(coding, &plain).expect("compresses");
        for step in [11, 1000, 1 << 20] {
            let mut decoder = Decoder::new(coding, TailBuffer::default()).expect("a decoder");
            for part in compressed.chunks(step) {
                decoder.push(part).expect("well formed");
            }
            decoder
                .finish()
                .unwrap_or_else(|e| panic!("{coding:?}: {e}"));
            assert_eq!(
                decoder.get_ref().written(),
                plain.len() as u64,
                "{coding:?}"
            );
            assert!(
                plain.ends_with(decoder.get_ref().bytes())
                    && decoder.get_ref().bytes().len() >= 1000
            );
        }
        assert_eq!(
            decompress_prefix(coding, &compressed, 100),
            &plain[..100],
            "{coding:?}"
        );
        assert_eq!(Coding::from_name(coding.name()), Some(coding));
    }
}

#[test]
fn corrupt_stream_never_panics() {
    let plain = text();
    for coding in ALL {
        let compressed = compress(coding, &plain).expect("compresses");
        for at in [0, 3, compressed.len() / 2] {
            let mut corrupt = compressed.clone();
            corrupt[at] ^= 0xff;
            let mut decoder = Decoder::new(coding, TailBuffer::default()).expect("a decoder");
            let _ = decoder.push(&corrupt).and_then(|()| decoder.finish());
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
fn tail_buffer_retains_the_last_bytes_of_writes_of_any_size() {
    let plain = text();
    for step in [1, 100, TAIL_BYTES, 3 * TAIL_BYTES] {
        let mut tail = TailBuffer::default();
        plain[..50_000].chunks(step).for_each(|p| tail.push(p));
        assert_eq!(tail.bytes(), &plain[50_000 - TAIL_BYTES..50_000]);
    }
}

#[test]
fn lz4_frame_continues_after_an_empty_uncompressed_block() {
    let header = [0x04, 0x22, 0x4d, 0x18, 0x60, 0x40, 0x82];
    let empty_block = [0, 0, 0, 0x80];
    let block = [2, 0, 0, 0x80, b'a', b'b'];
    let end_mark = [0; 4];
    let frame = [&header[..], &empty_block, &block, &end_mark].concat();
    let mut decoder = Decoder::new(Coding::Lz4, TailBuffer::default()).expect("a decoder");
    decoder.push(&frame).expect("well formed");
    decoder.finish().expect("complete");
    assert_eq!(decoder.get_ref().bytes(), b"ab");
}
