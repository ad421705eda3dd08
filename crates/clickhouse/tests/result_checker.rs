//! Checks of results: exceptions after the rows, and corrupt compression.

use driftfront_clickhouse::block::{self, BlockError, Method};
use driftfront_clickhouse::coding::{compress, Coding};
use driftfront_clickhouse::exception::tagged_exception;
use driftfront_clickhouse::result_checker::{ResultChecker, ResultDescription, ResultError};

const EXCEPTION: &str = "Code: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)";

/// The result in every compression, each with a checker.
fn compressions(
    plain: &str,
    tag: Option<&str>,
    format: Option<&str>,
) -> Vec<(&'static str, Vec<u8>, ResultChecker)> {
    let blocks = |text: &str| -> Vec<u8> {
        let (a, b) = text.as_bytes().split_at(text.len() / 2);
        [
            block::compress(Method::Lz4, a),
            block::compress(Method::Zstd, b),
        ]
        .concat()
    };
    let gzip = |bytes: &[u8]| compress(Coding::Gzip, bytes).expect("compresses");
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
        ("blocks", blocks(plain), checker(true, None)),
        (
            "gzip",
            gzip(plain.as_bytes()),
            checker(false, Some(Coding::Gzip)),
        ),
        (
            "both",
            gzip(&blocks(plain)),
            checker(true, Some(Coding::Gzip)),
        ),
    ]
}

fn run(checker: &mut ResultChecker, bytes: &[u8], is_cut: bool) -> Result<(), ResultError> {
    bytes.chunks(50).try_for_each(|p| checker.push(p))?;
    checker.finish(is_cut)
}

#[test]
fn exception_after_the_rows_is_found_in_all_forms_and_compressions() {
    for rows in [1, 400] {
        let rows = "1\ta\n".repeat(rows);
        check_every_form(&rows);
    }
}

fn check_every_form(rows: &str) {
    let json = format!("{{\"data\":[[1]],\"rows\":1,\"exception\":\"{EXCEPTION}\"}}\n");
    let tagged = rows.to_string() + &tagged_exception("tag", EXCEPTION);
    let lines = format!("{rows}{EXCEPTION}\n");
    for (text, tag, format) in [
        (&tagged, Some("tag"), None),
        (&lines, None, None),
        (&json, None, Some("JSONCompact")),
    ] {
        for (compression, bytes, mut checker) in compressions(text, tag, format) {
            let found = run(&mut checker, &bytes, false);
            let code = |f: ResultError| {
                if let ResultError::Exception(e) = f {
                    e.code
                } else {
                    0
                }
            };
            assert_eq!(
                found.map_err(code),
                Err(241),
                "{compression}, {tag:?}, {format:?}"
            );
        }
    }
}

#[test]
fn valid_result_passes_even_if_its_rows_contain_an_exception_text() {
    // Rows that contain an exception's text, followed by more rows.
    let rows = format!("{EXCEPTION}\tin a log\n2\tb\n{{\"exception\":\"{EXCEPTION}\"}}\n3\tc\n");
    for tag in [None, Some("tag")] {
        for (compression, bytes, mut checker) in compressions(&rows, tag, Some("JSONEachRow")) {
            assert_eq!(
                run(&mut checker, &bytes, false),
                Ok(()),
                "{compression}, {tag:?}"
            );
        }
    }
}

#[test]
fn cut_or_corrupt_blocks_are_errors() {
    let rows = "1\ta\n".repeat(4000);
    for (compression, bytes, mut checker) in compressions(&rows, None, None).into_iter().skip(1) {
        assert!(
            run(&mut checker, &bytes[..bytes.len() - 5], true).is_err(),
            "{compression} cut"
        );
    }
    let (_, mut bytes, mut checker) = compressions(&rows, None, None).remove(1);
    let at = bytes.len() - 3;
    bytes[at] ^= 1;
    assert_eq!(
        run(&mut checker, &bytes, false),
        Err(ResultError::Block(BlockError::ChecksumMismatch))
    );
}

#[test]
fn plain_text_in_place_of_a_compressed_block_is_an_exception() {
    let description = ResultDescription {
        has_blocks: true,
        ..ResultDescription::default()
    };
    let mut checker = ResultChecker::new(&description).expect("a decoder");
    let bytes = [block::compress(Method::Lz4, b"1\n"), EXCEPTION.into()].concat();
    assert!(matches!(checker.push(&bytes), Err(ResultError::Exception(e)) if e.code == 241));
}
