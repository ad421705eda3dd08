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

// Guards against a statement that counts as a read by its part in the URL while its part in the body writes.
#[test]
fn statement_in_url_and_body_is_one_statement() {
    for (target, body, is_read, table) in [
        (
            "/?query=WITH+1+AS+a",
            "INSERT INTO t SELECT a",
            false,
            Some("t"),
        ),
        (
            "/?query=SELECT+1",
            "PARALLEL WITH INSERT INTO t SELECT 1",
            false,
            None,
        ),
        (
            "/?query=--+note",
            "INSERT INTO t VALUES (1)",
            false,
            Some("t"),
        ),
        (
            "/?query=/*+note",
            "*/ INSERT INTO t VALUES (1)",
            false,
            Some("t"),
        ),
        ("/?query=INSERT+INTO", "t VALUES (1)", false, Some("t")),
        ("/?query=WITH+1+AS+a", "SELECT a", true, None),
        ("/?query=SELECT+1", ", 2", true, None),
        ("/?query=--+note", "SELECT 1", true, None),
        ("/?query=SEL", "ECT 1", false, None),
    ] {
        let read = query("POST", target, &[], body.as_bytes()).expect(target);
        let statement = &read.statement;
        assert_eq!(statement.is_read, is_read, "{target} {body}");
        assert_eq!(statement.written_table.as_deref(), table, "{target} {body}");
        let get = query("GET", target, &[], body.as_bytes());
        assert_eq!(get.is_ok(), is_read, "{target} {body}");
    }
    let kill = "/?query=KILL+QUERY+WHERE+query_id%3D'a'";
    let ids = |body: &[u8]| {
        let kill = query("POST", kill, &[], body)
            .expect("a kill")
            .statement
            .kill;
        kill.expect("a kill").ids
    };
    assert_eq!((ids(b"OR 1"), ids(b"SYNC")), (None, Some(vec!["a".into()])));
}

#[test]
fn statement_in_url_continues_in_a_compressed_body() {
    let insert = b"INSERT INTO t SELECT a";
    let gzip = driftfront_clickhouse::coding::compress(Coding::Gzip, insert).expect("compresses");
    let target = "/?query=WITH+1+AS+a";
    let read = query("POST", target, &[("Content-Encoding", "gzip")], &gzip).expect("a query");
    assert_eq!(read.statement.written_table.as_deref(), Some("t"));
    // The engine decides about a body that can't be read here.
    for coding in ["snappy", "gzip"] {
        let read = query("POST", target, &[("Content-Encoding", coding)], insert);
        assert!(!read.expect("a query").statement.is_idempotent, "{coding}");
    }
}

// Guards against one of several texts that counts as the statement while the server runs another one.
#[test]
fn statement_given_several_times_reads_only_if_each_reads() {
    let form = ("Content-Type", "multipart/form-data; boundary=b");
    let field = |text: &str| {
        format!("--b\r\nContent-Disposition: form-data; name=\"query\"\r\n\r\n{text}\r\n--b--")
    };
    let in_form = |target, text: &str| {
        let read = query("POST", target, &[form], field(text).as_bytes()).expect(target);
        read.statement.is_read
    };
    assert!(!in_form("/?query=SELECT+1", "INSERT INTO t VALUES (1)"));
    assert!(in_form("/?query=SELECT+1", "SELECT 1"));
    let in_url = |target| {
        query("POST", target, &[], b"")
            .expect(target)
            .statement
            .is_read
    };
    assert!(!in_url("/?query=INSERT+INTO+t&query=SELECT+1"));
    assert!(!in_url("/?query=SELECT+1&query=INSERT+INTO+t+SELECT+1"));
    assert!(in_url("/?query=&query=SELECT+1"));
}

// Guards against a statement whose end is unknown, or that is decoded differently elsewhere, and that counts as a read.
#[test]
fn statement_is_no_read_if_its_body_is_incomplete() {
    let select = b"SELECT 1";
    let streamed = Request {
        has_more_body: true,
        ..request("POST", "/", &[], select)
    };
    let Ok(ClientRequest::Query(streamed)) = parse(&streamed) else {
        panic!("a query");
    };
    assert!(!streamed.statement.is_idempotent);
    let mut cut =
        driftfront_clickhouse::coding::compress(Coding::Gzip, select).expect("compresses");
    let gzip = [("Content-Encoding", "gzip")];
    let is_read = |body: &[u8]| {
        query("POST", "/", &gzip, body)
            .expect("a query")
            .statement
            .is_read
    };
    assert!(is_read(&cut));
    cut.extend(b"trailing bytes");
    assert!(!is_read(&cut));
    let blocks = [compress(Method::Lz4, select), b"cut".to_vec()].concat();
    let read = query("POST", "/?decompress=1", &[], &blocks).expect("a query");
    assert!(!read.statement.is_read);
}

#[test]
fn read_is_found_in_every_coding_and_compression() {
    let select = b"WITH 1 AS a SELECT a";
    for name in ["gzip", "deflate", "br", "zstd", "lz4"] {
        let coding = Coding::from_name(name).expect("a known coding");
        let body = driftfront_clickhouse::coding::compress(coding, select).expect("compresses");
        let is_read = |body: &[u8]| {
            let read = query("POST", "/", &[("Content-Encoding", name)], body);
            read.expect("a query").statement.is_read
        };
        assert!(is_read(&body), "{name}");
        // Servers may decode a second stream behind the first one.
        let insert = b" PARALLEL WITH INSERT INTO t SELECT 1";
        let insert = driftfront_clickhouse::coding::compress(coding, insert).expect("compresses");
        assert!(!is_read(&[body, insert].concat()), "{name}");
    }
    for method in [Method::None, Method::Lz4, Method::Zstd] {
        let body = [
            compress(method, &select[..7]),
            compress(method, &select[7..]),
        ]
        .concat();
        let read = query("POST", "/?decompress=1", &[], &body).expect("a query");
        assert!(read.statement.is_read, "{method:?}");
    }
}

#[test]
fn long_body_in_blocks_with_a_content_coding_is_read() {
    let long = format!("INSERT INTO uni_4.t VALUES {}", "('a'),".repeat(60_000));
    let blocks = compress(Method::None, long.as_bytes());
    let gzip = driftfront_clickhouse::coding::compress(Coding::Gzip, &blocks).expect("compresses");
    let headers = [("Content-Encoding", "gzip")];
    let read = query("POST", "/?decompress=1", &headers, &gzip).expect("a query");
    assert_eq!(read.statement.written_table.as_deref(), Some("uni_4.t"));
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
