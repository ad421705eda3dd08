//! Results on their way: errors behind the rows, and broken packing.

use driftfront_clickhouse::block::{self, BlockError, Method};
use driftfront_clickhouse::coding::{compress, Coding};
use driftfront_clickhouse::exception::tagged_exception;
use driftfront_clickhouse::result_checker::{ResultChecker, ResultDescription, ResultError};

const WORDS: &str = "Code: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)";

/// Every way to pack a result, and its checker.
fn ways(
    plain: &str,
    tag: Option<&str>,
    format: Option<&str>,
) -> Vec<(&'static str, Vec<u8>, ResultChecker)> {
    let frames = |text: &str| -> Vec<u8> {
        let (a, b) = text.as_bytes().split_at(text.len() / 2);
        [
            block::compress(Method::Lz4, a),
            block::compress(Method::Zstd, b),
        ]
        .concat()
    };
    let gzip = |bytes: &[u8]| compress(Coding::Gzip, bytes).expect("packs");
    let checker = |has_blocks, coding| {
        let description = ResultDescription {
            has_blocks,
            coding,
            exception_tag: tag,
            format,
        };
        ResultChecker::new(&description).expect("a decoder")
    };
    vec![
        ("plain", plain.into(), checker(false, None)),
        ("frames", frames(plain), checker(true, None)),
        (
            "gzip",
            gzip(plain.as_bytes()),
            checker(false, Some(Coding::Gzip)),
        ),
        (
            "both",
            gzip(&frames(plain)),
            checker(true, Some(Coding::Gzip)),
        ),
    ]
}

fn run(checker: &mut ResultChecker, bytes: &[u8], cut: bool) -> Result<(), ResultError> {
    bytes.chunks(50).try_for_each(|p| checker.push(p))?;
    checker.finish(cut)
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
    let tagged = rows.to_string() + &tagged_exception("tag", WORDS);
    let lines = format!("{rows}{WORDS}\n");
    for (text, tag, format) in [
        (&tagged, Some("tag"), None),
        (&lines, None, None),
        (&json, None, Some("JSONCompact")),
    ] {
        for (way, bytes, mut checker) in ways(text, tag, format) {
            let found = run(&mut checker, &bytes, false);
            let code = |f: ResultError| {
                if let ResultError::Exception(e) = f {
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
        for (way, bytes, mut checker) in ways(&rows, tag, Some("JSONEachRow")) {
            assert_eq!(run(&mut checker, &bytes, false), Ok(()), "{way}, {tag:?}");
        }
    }
}

#[test]
fn cut_or_corrupt_blocks_are_errors() {
    let rows = "1\ta\n".repeat(4000);
    for (way, bytes, mut checker) in ways(&rows, None, None).into_iter().skip(1) {
        assert!(
            run(&mut checker, &bytes[..bytes.len() - 5], true).is_err(),
            "{way} cut"
        );
    }
    let (_, mut bytes, mut checker) = ways(&rows, None, None).remove(1);
    let at = bytes.len() - 3;
    bytes[at] ^= 1;
    assert_eq!(
        run(&mut checker, &bytes, false),
        Err(ResultError::Block(BlockError::ChecksumMismatch))
    );
}

#[test]
fn plain_text_between_compressed_blocks_is_an_exception() {
    let description = ResultDescription {
        has_blocks: true,
        ..ResultDescription::default()
    };
    let mut checker = ResultChecker::new(&description).expect("a decoder");
    let bytes = [block::compress(Method::Lz4, b"1\n"), WORDS.into()].concat();
    assert!(matches!(checker.push(&bytes), Err(ResultError::Exception(e)) if e.code == 241));
}
