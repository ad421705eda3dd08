//! Parsing of client requests.

use driftfront_clickhouse::block::{compress, Method};
use driftfront_clickhouse::coding::Coding;
use driftfront_clickhouse::request::{parse, ClientRequest, Query, RequestError};
use driftfront_http::Request;

fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Request {
    Request {
        method: method.into(),
        target: target.into(),
        headers: headers
            .iter()
            .map(|h| (h.0.to_string(), h.1.to_string()))
            .collect(),
        body: body.to_vec(),
        has_more_body: false,
        version_1_1: true,
        close: false,
    }
}

fn query(
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Query, RequestError> {
    match parse(&request(method, target, headers, body))? {
        ClientRequest::Query(query) => Ok(*query),
        other => panic!("{other:?}"),
    }
}

#[test]
fn statement_is_found_in_every_place_and_encoding() {
    let insert = b"INSERT INTO uni_4.t FORMAT CSV\n1,2\n";
    let gzip = driftfront_clickhouse::coding::compress(Coding::Gzip, insert).expect("compresses");
    let blocks = [
        compress(Method::Lz4, &insert[..9]),
        compress(Method::Zstd, &insert[9..]),
    ]
    .concat();
    let form = b"--b\r\nContent-Disposition: form-data; name=\"query\"\r\n\r\nINSERT INTO uni_4.t VALUES\r\n--b--";
    for (target, headers, body) in [
        ("/", vec![], &insert[..]),
        ("/?query=INSERT+INTO+uni_4.t+FORMAT+CSV", vec![], b"1,2\n"),
        ("/", vec![("Content-Encoding", "gzip")], &gzip),
        ("/?decompress=1", vec![], &blocks),
        (
            "/",
            vec![("Content-Type", "multipart/form-data; boundary=b")],
            form,
        ),
    ] {
        let read =
            query("POST", target, &headers, body).unwrap_or_else(|e| panic!("{target}: {e}"));
        assert_eq!(
            (
                read.statement.written_table.as_deref(),
                read.statement.table_group
            ),
            (Some("uni_4.t"), 4),
            "{target}"
        );
    }
}

#[test]
fn invalid_requests_get_an_error_code() {
    let code = |method, target, headers: &[(&str, &str)], body: &[u8]| {
        query(method, target, headers, body)
            .expect_err(target)
            .code()
    };
    let form = ("Content-Type", "multipart/form-data; boundary=b");
    assert_eq!(code("POST", "/", &[], b"  "), 62);
    assert_eq!(code("GET", "/?query=DROP+TABLE+t", &[], b""), 164);
    let insert = "/?query=WITH+1+AS+a+INSERT+INTO+t+SELECT+a";
    assert_eq!(code("GET", insert, &[], b""), 164);
    assert_eq!(
        code(
            "POST",
            "/?decompress=1",
            &[],
            b"SELECT 1 -- and more than one block's header"
        ),
        271
    );
    let mut block = compress(Method::Lz4, b"SELECT 1");
    block[30] ^= 1;
    assert_eq!(code("POST", "/?decompress=1", &[], &block), 271);
    assert_eq!(
        code("POST", "/", &[("Content-Encoding", "snappy")], b"x"),
        48
    );
    assert_eq!(code("POST", "/", &[form], b"nothing of the kind"), 36);
    assert_eq!(
        code(
            "POST",
            "/",
            &[("Content-Type", "multipart/form-data")],
            b"x"
        ),
        36
    );
    assert_eq!(
        code(
            "POST",
            "/?session_id=a&session_timeout=99999",
            &[],
            b"SELECT 1"
        ),
        36
    );
    assert_eq!(
        code("POST", "/?session_id=a&session_timeout=x", &[], b"SELECT 1"),
        36
    );
    assert_eq!(
        code(
            "POST",
            &format!("/?query_id={}", "a".repeat(300)),
            &[],
            b"SELECT 1"
        ),
        36
    );
}

#[test]
fn settings_are_forwarded_and_secrets_are_not_in_the_url() {
    let target =
        "/?database=uni&param_x=a%26b&password=hunter2&user=jana&query_id=q&max_execution_time=2.5\
                  &driftfront_class=report&session_id=s&session_check=1&send_progress_in_http_headers=1";
    let headers = [
        ("X-ClickHouse-Format", "CSV"),
        ("X-Evil", "1"),
        ("Accept-Encoding", "gzip, snappy"),
    ];
    let read = query("POST", target, &headers, b"SELECT 1").expect("well formed");
    assert_eq!(
        read.forwarded_params,
        "&database=uni&param_x=a%26b&session_id=s"
    );
    let secret =
        "X-ClickHouse-Format: CSV\r\nX-ClickHouse-User: jana\r\nX-ClickHouse-Key: hunter2\r\n";
    assert_eq!(read.forwarded_headers.0, secret);
    assert_eq!(
        (
            read.max_execution_time,
            read.wants_progress,
            read.wants_blocks
        ),
        (Some(2_500_000), true, false)
    );
    assert!(read
        .session
        .as_ref()
        .is_some_and(|s| s.id == "s" && s.must_exist));
    assert!(!format!("{read:?}").contains("hunter2"));
    let compressed =
        query("POST", "/?enable_http_compression=1", &headers, b"SELECT 1").expect("well formed");
    assert!(compressed
        .forwarded_headers
        .0
        .contains("Accept-Encoding: gzip\r\n"));
}

#[test]
fn unknown_paths_and_methods_are_distinguished() {
    let parsed = |method, target| parse(&request(method, target, &[], b"")).expect("no query");
    assert!(
        matches!(parsed("HEAD", "/"), ClientRequest::Ping)
            && matches!(parsed("GET", "/ping"), ClientRequest::Ping)
    );
    assert!(matches!(
        parsed("OPTIONS", "/?query=x"),
        ClientRequest::Options
    ));
    assert!(
        matches!(parsed("PUT", "/"), ClientRequest::UnsupportedMethod)
            && matches!(parsed("GET", "/x"), ClientRequest::UnknownPath)
    );
    assert!(matches!(
        parsed("GET", "/replicas_status"),
        ClientRequest::ReplicasStatus
    ));
}
