//! `multipart/form-data` bodies.

use driftfront_clickhouse::multipart::{is_form, parse, parse_boundary, MAX_PARTS};

const BODY: &str = "--b1\r\nContent-Disposition: form-data; name=\"query\"\r\n\r\nSELECT 1\r\n--b1\r\n\
    content-disposition: form-data; name=\"t\"; filename=\"t.tsv\"\r\nContent-Type: text/plain\r\n\r\n1\t--b1\n\
    \r\n--b1--\r\n";

#[test]
fn fields_and_tables_are_distinguished() {
    let content_type = "multipart/form-data; charset=utf-8; boundary=\"b1\"";
    let parts =
        parse(BODY.as_bytes(), &parse_boundary(content_type).expect("one")).expect("well formed");
    let data = |n: usize| &BODY[parts[n].content.clone()];
    assert_eq!(
        (parts[0].name.as_str(), &parts[0].file_name, data(0)),
        ("query", &None, "SELECT 1")
    );
    assert_eq!((parts[1].name.as_str(), data(1)), ("t", "1\t--b1\n"));
    assert_eq!(parts[1].file_name.as_deref(), Some("t.tsv"));
}

#[test]
fn every_truncated_body_is_an_error() {
    let whole = BODY.trim_end().len();
    for end in 0..whole {
        assert!(
            parse(&BODY.as_bytes()[..end], "b1").is_err(),
            "cut at {end}"
        );
    }
    assert!(parse(BODY.as_bytes(), "other").is_err());
    assert!(parse(
        b"--b\r\nContent-Disposition: form-data\r\n\r\n\r\n--b--",
        "b"
    )
    .is_err());
    let many = "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n\r\n"
        .repeat(MAX_PARTS + 1)
        + "--b--";
    let error = parse(many.as_bytes(), "b").expect_err("too many");
    assert_eq!(error.to_string(), "there are too many parts");
    assert_eq!(parse_boundary("multipart/form-data"), None);
    assert!(is_form("Multipart/Form-Data") && parse_boundary("text/plain; boundary=b").is_none());
}
