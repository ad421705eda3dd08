//! Exceptions: their codes, and how they are found in results.

use driftfront_clickhouse::exception::{
    error_name, find_in_last_lines, find_json_key, find_tagged, http_status, parse_code,
    tagged_exception, Exception, ERROR_CODES,
};

#[test]
fn the_list_is_in_order_so_that_codes_are_found() {
    assert!(ERROR_CODES.windows(2).all(|w| w[0].code < w[1].code));
    assert!(ERROR_CODES
        .iter()
        .all(|known| error_name(known.code) == Some(known.name)));
    assert_eq!(
        (error_name(62), http_status(62), http_status(99_999)),
        (Some("SYNTAX_ERROR"), 400, 500)
    );
}

#[test]
fn codes_are_read_and_what_only_looks_like_one_is_not() {
    assert_eq!(
        parse_code("Code: 62. DB::Exception: Syntax error"),
        Some(62)
    );
    assert_eq!(
        parse_code("Code: 241, e.displayText() = DB::Exception: Memory"),
        Some(241)
    );
    assert_eq!(parse_code("Code: x. DB::Exception"), None);
    assert_eq!(parse_code("Code: 62. nothing of the kind"), None);
    let own = Exception::new(372, "Session not found");
    assert_eq!(
        own.text,
        "Code: 372. DB::Exception: Session not found. (SESSION_NOT_FOUND)"
    );
    assert_eq!(Exception::parse(&own.text), Some(own));
}

#[test]
fn a_marker_is_found_with_all_its_lines_and_an_older_one_in_the_rows_is_not_mistaken() {
    let words = "Code: 241. DB::Exception: Memory\nlimit. (MEMORY_LIMIT_EXCEEDED)";
    let tail = format!(
        "1\n__exception__\r\nother\r\nCode: 1\n{}",
        tagged_exception("tag", words)
    );
    assert_eq!(
        find_tagged(tail.as_bytes(), "tag").map(|e| (e.code, e.text)),
        Some((241, words.into()))
    );
    assert_eq!(find_tagged(tail.as_bytes(), "nope"), None);
}

#[test]
fn last_lines_are_an_exception_only_where_they_end_like_one() {
    let whole = b"1\n2\nCode: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)\n";
    assert_eq!(find_in_last_lines(whole, false).map(|e| e.code), Some(241));
    let version = b"Code: 241. DB::Exception: Memory (version 22.3.1 (official build))\n";
    assert_eq!(
        find_in_last_lines(version, false).map(|e| e.code),
        Some(241)
    );
    // A row of a log table says the same words and goes on.
    let rows = b"Code: 241. DB::Exception: Memory\tand more columns\n7\t8\n";
    assert_eq!(find_in_last_lines(rows, false), None);
    assert_eq!(find_in_last_lines(rows, true).map(|e| e.code), Some(241));
    assert_eq!(find_in_last_lines(b"plain\n", true), None);
}

#[test]
fn the_exception_key_counts_only_as_the_last_of_the_result() {
    let told =
        br#"{"data":[{"a":1}],"rows":1,"exception": "Code: 395. DB::Exception: Value \"x\"\n (N)"}"#;
    assert_eq!(find_json_key(told).map(|e| e.code), Some(395));
    let row = br#"{"data":[{"exception":"Code: 395. DB::Exception: in a row"}],"rows":1}"#;
    assert_eq!(find_json_key(row), None);
    assert_eq!(find_json_key(br#"{"exception":"Code: 395"#), None);
}
