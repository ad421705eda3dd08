//! Exceptions: error codes and detection in results.

use driftfront_clickhouse::exception::{
    error_name, find_in_last_lines, find_json_key, find_tagged, http_status,
    is_from_another_server, parse_code, tagged_exception, Exception, ERROR_CODES,
};

#[test]
fn error_codes_are_sorted_for_binary_search() {
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
fn codes_are_parsed_and_similar_text_is_not() {
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
fn exception_of_another_server_is_recognized() {
    let remote = "Code: 202. DB::Exception: Received from host:9000. DB::Exception: Too many \
                  simultaneous queries. Maximum: 100. (TOO_MANY_SIMULTANEOUS_QUERIES)";
    assert!(is_from_another_server(remote));
    let own = "Code: 202. DB::Exception: Too many simultaneous queries. Maximum: 100.";
    assert!(!is_from_another_server(own));
}

#[test]
fn tagged_exception_with_several_lines_is_found_and_another_tag_in_the_rows_is_ignored() {
    let text = "Code: 241. DB::Exception: Memory\nlimit. (MEMORY_LIMIT_EXCEEDED)";
    let tail = format!(
        "1\n__exception__\r\nother\r\nCode: 1\n{}",
        tagged_exception("tag", text)
    );
    assert_eq!(
        find_tagged(tail.as_bytes(), "tag").map(|e| (e.code, e.text)),
        Some((241, text.into()))
    );
    assert_eq!(find_tagged(tail.as_bytes(), "nope"), None);
}

#[test]
fn last_lines_are_an_exception_only_if_they_end_like_one() {
    let whole = b"1\n2\nCode: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)\n";
    assert_eq!(find_in_last_lines(whole, false).map(|e| e.code), Some(241));
    let version = b"Code: 241. DB::Exception: Memory (version 22.3.1 (official build))\n";
    assert_eq!(
        find_in_last_lines(version, false).map(|e| e.code),
        Some(241)
    );
    // A row of a log table contains the text of an exception, followed by more columns.
    let rows = b"Code: 241. DB::Exception: Memory\tand more columns\n7\t8\n";
    assert_eq!(find_in_last_lines(rows, false), None);
    assert_eq!(find_in_last_lines(rows, true).map(|e| e.code), Some(241));
    assert_eq!(find_in_last_lines(b"plain\n", true), None);
}

#[test]
fn exception_key_is_recognized_only_as_the_last_key_of_the_result() {
    let reported =
        br#"{"data":[{"a":1}],"rows":1,"exception": "Code: 395. DB::Exception: Value \"x\"\n (N)"}"#;
    assert_eq!(find_json_key(reported).map(|e| e.code), Some(395));
    let row = br#"{"data":[{"exception":"Code: 395. DB::Exception: in a row"}],"rows":1}"#;
    assert_eq!(find_json_key(row), None);
    assert_eq!(find_json_key(br#"{"exception":"Code: 395"#), None);
}
