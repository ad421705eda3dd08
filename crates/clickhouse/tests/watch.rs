//! Results on their way: errors behind the rows, and broken packing.

use driftfront_clickhouse::block::{self, FrameError, Method};
use driftfront_clickhouse::coding::{pack, Coding};
use driftfront_clickhouse::exception::marker;
use driftfront_clickhouse::watch::{Fault, Watch};

const WORDS: &str = "Code: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)";

/// Every way to pack a result, and its watch.
fn ways(
    plain: &str,
    tag: Option<&str>,
    format: Option<&str>,
) -> Vec<(&'static str, Vec<u8>, Watch)> {
    let frames = |text: &str| -> Vec<u8> {
        let (a, b) = text.as_bytes().split_at(text.len() / 2);
        [block::pack(Method::Lz4, a), block::pack(Method::Zstd, b)].concat()
    };
    let gzip = |bytes: &[u8]| pack(Coding::Gzip, bytes).expect("packs");
    let watch = |frames, coding| Watch::new(frames, coding, tag, format).expect("a decoder");
    vec![
        ("plain", plain.into(), watch(false, None)),
        ("frames", frames(plain), watch(true, None)),
        (
            "gzip",
            gzip(plain.as_bytes()),
            watch(false, Some(Coding::Gzip)),
        ),
        (
            "both",
            gzip(&frames(plain)),
            watch(true, Some(Coding::Gzip)),
        ),
    ]
}

fn run(watch: &mut Watch, bytes: &[u8], cut: bool) -> Result<(), Fault> {
    bytes.chunks(50).try_for_each(|p| watch.push(p))?;
    watch.end(cut)
}

#[test]
fn error_behind_the_rows_is_found_in_all_forms_and_packings() {
    for rows in [1, 400] {
        let rows = "1\ta\n".repeat(rows);
        each_form(&rows);
    }
}

fn each_form(rows: &str) {
    let json = format!("{{\"data\":[[1]],\"rows\":1,\"exception\":\"{WORDS}\"}}\n");
    let tagged = rows.to_string() + &marker("tag", WORDS);
    let lines = format!("{rows}{WORDS}\n");
    for (text, tag, format) in [
        (&tagged, Some("tag"), None),
        (&lines, None, None),
        (&json, None, Some("JSONCompact")),
    ] {
        for (way, bytes, mut watch) in ways(text, tag, format) {
            let found = run(&mut watch, &bytes, false);
            let code = |f: Fault| {
                if let Fault::Exception(e) = f {
                    e.code
                } else {
                    0
                }
            };
            assert_eq!(found.map_err(code), Err(241), "{way}, {tag:?}, {format:?}");
        }
    }
}

#[test]
fn good_result_passes_whatever_its_rows_say() {
    // Rows that hold an exception's words, and more rows.
    let rows = format!("{WORDS}\tin a log\n2\tb\n{{\"exception\":\"{WORDS}\"}}\n3\tc\n");
    for tag in [None, Some("tag")] {
        for (way, bytes, mut watch) in ways(&rows, tag, Some("JSONEachRow")) {
            assert_eq!(run(&mut watch, &bytes, false), Ok(()), "{way}, {tag:?}");
        }
    }
}

#[test]
fn cut_or_corrupt_blocks_are_errors() {
    let rows = "1\ta\n".repeat(4000);
    for (way, bytes, mut watch) in ways(&rows, None, None).into_iter().skip(1) {
        assert!(
            run(&mut watch, &bytes[..bytes.len() - 5], true).is_err(),
            "{way} cut"
        );
    }
    let (_, mut bytes, mut watch) = ways(&rows, None, None).remove(1);
    let at = bytes.len() - 3;
    bytes[at] ^= 1;
    assert_eq!(
        run(&mut watch, &bytes, false),
        Err(Fault::Frame(FrameError::Checksum))
    );
}

#[test]
fn plain_text_between_compressed_blocks_is_an_exception() {
    let mut watch = Watch::new(true, None, None, None).expect("a decoder");
    let bytes = [block::pack(Method::Lz4, b"1\n"), WORDS.into()].concat();
    assert!(matches!(watch.push(&bytes), Err(Fault::Exception(e)) if e.code == 241));
}
