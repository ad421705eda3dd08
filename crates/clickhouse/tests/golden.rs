//! Golden tests of the ClickHouse interface: output must not change, and data written by servers and earlier builds must
//! be parsed as before.

use driftfront_clickhouse::block::{self, BlockStream, Method};
use driftfront_clickhouse::coding::{self, Coding};
use driftfront_clickhouse::exception::{
    classify, error_name, find_in_last_lines, find_json_key, find_tagged, http_status, parse_code,
    tagged_exception, Exception,
};
use driftfront_clickhouse::request::{self, ClientRequest};
use driftfront_clickhouse::result_checker::{ResultChecker, ResultDescription};
use driftfront_clickhouse::session::{
    QueryOutcome, SessionEffect, SessionError, SessionKey, SessionQuery, SessionTable,
};
use driftfront_clickhouse::sql::Statement;

use driftfront_http::Request;
use driftfront_test_support::message_transcript::MessageTranscript;
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write as _;

#[test]
fn error_codes_keep_their_names_statuses_and_classes() {
    let mut text = String::new();
    for code in 0..1000 {
        let (name, status) = (error_name(code), http_status(code));
        let class = classify(Some(code), 500) as u8;
        if let Some(name) = name {
            let _ = writeln!(text, "{code} {name} {status} proof {class}");
        } else {
            assert_eq!((status, class), (500, 2), "{code}");
        }
    }
    for status in [400, 404, 429, 500, 503] {
        let _ = writeln!(
            text,
            "no code, {status}: proof {}",
            classify(None, status) as u8
        );
    }
    assert_golden!("codes.txt", text);
}

#[test]
fn exceptions_are_formatted_and_parsed_in_all_published_forms() {
    let mut forms = MessageTranscript::default();
    let own = Exception::new(241, "Memory limit (for query) exceeded");
    forms.record("text", &own.text);
    forms.record("unknown code", Exception::new(9999, "words").text);
    forms.record("tagged", tagged_exception("0a1b2c3d4e5f6789", &own.text));
    assert_golden!("exceptions.txt", forms.bytes());
    let mut found = MessageTranscript::default();
    let shown =
        |e: Option<Exception>| e.map_or("none".into(), |e| format!("{}: {}", e.code, e.text));
    let inputs = read_golden!("exceptions_in.txt");
    for input in String::from_utf8(inputs).expect("text").split("====\n") {
        let bytes = input.as_bytes();
        let text = format!(
            "{}\ncode {:?}\ntagged {}\nlast lines {}\nlast lines, cut {}\nJSON key {}",
            input.escape_default(),
            parse_code(input),
            shown(find_tagged(bytes, "0a1b2c3d4e5f6789")),
            shown(find_in_last_lines(bytes, false)),
            shown(find_in_last_lines(bytes, true)),
            shown(find_json_key(bytes)),
        );
        found.record("input", text);
    }
    assert_golden!("exceptions_read.txt", found.bytes());
}

/// Rows of three columns, repetitive enough to compress.
fn rows() -> Vec<u8> {
    "1\ta\tb\n2\tc\td\n".repeat(60).into_bytes()
}

#[test]
fn compressed_blocks_of_earlier_builds_are_decompressed() {
    for (method, name) in [
        (Method::None, "block_none.bin"),
        (Method::Lz4, "block_lz4.bin"),
        (Method::Zstd, "block_zstd.bin"),
    ] {
        if std::env::var_os("WRITE_GOLDEN").is_some() {
            assert_golden!(name, block::compress(method, &rows()));
        }
        let golden = read_golden!(name);
        assert_eq!(block::decompress(&golden), Ok(rows()), "{name}");
        // The header is fixed; the compressed bytes depend on the library's version.
        let made = block::compress(method, &rows());
        assert_eq!(made[16], golden[16], "{name}: the method byte");
        assert_eq!(
            made[21..25],
            golden[21..25],
            "{name}: the uncompressed size"
        );
        let mut blocks = BlockStream::default();
        blocks.push(&golden).expect("well formed");
        assert_eq!(blocks.complete_blocks(), 1);
        assert!(blocks.is_at_block_boundary());
        let description = ResultDescription {
            has_blocks: true,
            ..ResultDescription::default()
        };
        let mut checker = ResultChecker::new(&description).expect("a decoder");
        checker.push(&golden).expect("well formed");
        assert_eq!(checker.finish(false), Ok(()));
    }
    // Without compression the whole block is defined by this crate.
    assert_golden!("block_none.bin", block::compress(Method::None, &rows()));
}

#[test]
fn content_codings_of_earlier_builds_are_decoded() {
    for coding in [
        Coding::Gzip,
        Coding::Deflate,
        Coding::Brotli,
        Coding::Zstd,
        Coding::Lz4,
    ] {
        let name = format!("coding_{}.bin", coding.name());
        if std::env::var_os("WRITE_GOLDEN").is_some() {
            assert_golden!(
                &name,
                coding::compress(coding, &rows()).expect("compresses")
            );
        }
        let golden = read_golden!(&name);
        assert_eq!(
            coding::decompress_prefix(coding, &golden, 1 << 20),
            rows(),
            "{name}"
        );
        let description = ResultDescription {
            coding: Some(coding),
            ..ResultDescription::default()
        };
        let mut checker = ResultChecker::new(&description).expect("a decoder");
        checker.push(&golden).expect("well formed");
        assert_eq!(checker.finish(false), Ok(()), "{name}");
    }
}

fn query(method: &str, target: &str, headers: &[(&str, &str)], body: &str) -> Request {
    Request {
        method: method.into(),
        target: target.into(),
        headers: headers
            .iter()
            .map(|h| (h.0.to_string(), h.1.to_string()))
            .collect(),
        body: body.into(),
        has_more_body: false,
        version_1_1: true,
        close: false,
    }
}

/// The fields of a parsed request, one per line.
fn shown(request: &Request) -> String {
    let query = match request::parse(request) {
        Ok(ClientRequest::Query(query)) => query,
        Ok(ClientRequest::Ping) => return "ping".into(),
        Ok(ClientRequest::ReplicasStatus) => return "replicas status".into(),
        Ok(ClientRequest::Alive) => return "alive".into(),
        Ok(ClientRequest::Counters) => return "counters".into(),
        Ok(ClientRequest::Options) => return "options".into(),
        Ok(ClientRequest::UnknownPath) => return "no path".into(),
        Ok(ClientRequest::UnsupportedMethod) => return "no method".into(),
        Err(e) => {
            let e = Exception::from(e);
            return format!("{} {e}", e.status());
        }
    };
    let session = query
        .session
        .as_ref()
        .map(|s| (&s.id, s.must_exist, s.timeout));
    format!(
        "id {:?}\nclass {:?}\nkey {:?}\nwithin {:?}\nsession {session:?}\ntarget {}\nheaders {:?}\n\
         frames {} progress {} head {} chunks {}\ntoken {:?}\nuser {:?}",
        query.id,
        query.class,
        query.ordering_key,
        query.max_execution_time,
        query.forwarded_params,
        query.forwarded_headers.0,
        query.wants_blocks,
        query.wants_progress,
        query.is_head,
        query.supports_chunked,
        query.deduplication_token,
        query.credentials.user,
    )
}

const ALL_PARAMS: &str =
    "/?query_id=q-1&max_execution_time=2.5&driftfront_class=report&driftfront_key=k%201&session_id=s&\
     session_timeout=60&session_check=1&compress=1&send_progress_in_http_headers=1&database=uni_4&\
     param_a=x%2Fy&insert_deduplication_token=t&user=jana&password=secret&http_headers_progress_interval_ms=9";

const ALL_HEADERS: [(&str, &str); 15] = [
    ("X-ClickHouse-User", "jana"),
    ("X-ClickHouse-Key", "secret"),
    ("X-ClickHouse-Format", "CSV"),
    ("X-ClickHouse-Database", "uni_4"),
    ("X-ClickHouse-Query-Id", "q-2"),
    ("X-Driftfront-Class", "lookup"),
    ("X-Driftfront-Key", "k2"),
    ("User-Agent", "test"),
    ("Traceparent", "00-1-2-3"),
    ("Tracestate", "a=b"),
    ("Origin", "http://o"),
    ("Referer", "http://r"),
    ("Content-Type", "text/plain"),
    ("Accept-Encoding", "gzip, br;q=0"),
    ("X-Other", "dropped"),
];

const FORM: &str =
    "--b\r\nContent-Disposition: form-data; name=\"query\"\r\n\r\nSELECT 1\r\n--b\r\n\
     Content-Disposition: form-data; name=\"session_id\"\r\n\r\ns9\r\n--b--\r\n";
const FORM_TYPE: (&str, &str) = ("Content-Type", "multipart/form-data; boundary=b");
const SELECT: &str = "SELECT 1";

fn accepted_queries() -> Vec<(&'static str, Request)> {
    let compressed = "/?enable_http_compression=1";
    let bearer = [("Authorization", "Bearer a.b.c")];
    vec![
        ("all parameters", query("POST", ALL_PARAMS, &[], SELECT)),
        ("all headers", query("POST", "/", &ALL_HEADERS, SELECT)),
        (
            "compressed answer",
            query("POST", compressed, &ALL_HEADERS, SELECT),
        ),
        (
            "bearer",
            query("HEAD", "/query?query=SELECT%201", &bearer, ""),
        ),
        ("form", query("POST", "/", &[FORM_TYPE], FORM)),
    ]
}

fn rejected_queries() -> Vec<(&'static str, Request)> {
    let no_boundary = [("Content-Type", "multipart/form-data")];
    let write = "/?query=INSERT%20INTO%20t%20VALUES%20(1)";
    let bad_timeout = "/?session_id=s&session_timeout=x";
    let long_timeout = "/?session_id=s&session_timeout=99999";
    let digest = [("Authorization", "Digest x")];
    let bad_coding = [("Content-Encoding", "zz")];
    let bad_block = "x".repeat(40);
    vec![
        ("no boundary", query("POST", "/", &no_boundary, FORM)),
        ("not a form", query("POST", "/", &[FORM_TYPE], "x")),
        ("write by GET", query("GET", write, &[], "")),
        ("empty", query("POST", "/", &[], " -- nothing")),
        ("bad id", query("POST", "/?query_id=a%0Ab", &[], SELECT)),
        ("bad timeout", query("POST", bad_timeout, &[], SELECT)),
        ("long timeout", query("POST", long_timeout, &[], SELECT)),
        ("two users", query("POST", "/?user=a", &ALL_HEADERS, SELECT)),
        ("bad authorization", query("POST", "/", &digest, SELECT)),
        ("bad coding", query("POST", "/", &bad_coding, SELECT)),
        (
            "bad block",
            query("POST", "/?decompress=1", &[], &bad_block),
        ),
    ]
}

fn other_requests() -> Vec<(&'static str, Request)> {
    vec![
        ("ping", query("GET", "/ping", &[], "")),
        ("ping at the root", query("GET", "/", &[], "")),
        ("replicas", query("GET", "/replicas_status", &[], "")),
        ("alive", query("HEAD", "/alive", &[], "")),
        ("counters", query("GET", "/counters", &[], "")),
        ("options", query("OPTIONS", "/x", &[], "")),
        ("path", query("GET", "/x", &[], "")),
        ("method", query("PUT", "/", &[], "")),
    ]
}

#[test]
fn parsed_and_forwarded_requests_match_golden_file() {
    let mut transcript = MessageTranscript::default();
    let requests = [accepted_queries(), rejected_queries(), other_requests()];
    for (name, request) in requests.into_iter().flatten() {
        transcript.record(name, shown(&request));
    }
    let many = format!("/?{}", "a=1&".repeat(2000));
    let many = query("POST", &many, &[], SELECT);
    transcript.record("many parameters", shown(&many));
    assert_golden!("requests.txt", transcript.bytes());
}

#[test]
fn scanned_statements_match_golden_file() {
    let mut text = String::new();
    for statement in [
        "SELECT 1",
        "WITH 1 AS a SELECT a",
        "INSERT INTO uni_4.t VALUES (1)",
        "INSERT INTO t SELECT 1",
        "CREATE TABLE t (a Int8)",
        "CREATE TEMPORARY TABLE t (a Int8)",
        "SET a = 1",
        "USE uni_4",
        "BEGIN TRANSACTION",
        "SHOW TABLES",
        "EXPLAIN SELECT 1",
        "DESCRIBE t",
        "EXISTS t",
        "OPTIMIZE TABLE t",
        "SYSTEM FLUSH LOGS",
        "ALTER TABLE t DELETE WHERE 1",
        "DROP TABLE sales_3.t",
        "",
        "-- x",
        "COMMIT",
        "ROLLBACK",
        "KILL QUERY WHERE query_id = 'a' SYNC",
        "KILL QUERY WHERE query_id IN ('a', 'b') TEST",
        "KILL QUERY WHERE user = 'x'",
    ] {
        let s = Statement::scan(statement);
        let kill = s.kill.as_ref().map(|k| (&k.ids, &k.options));
        let leaves = match s.session_effect {
            SessionEffect::None => "nothing",
            SessionEffect::LeavesState => "something",
        };
        let _ = writeln!(
            text,
            "{statement:?}: empty {} reads {} harmless {} inserts {} writes {:?} tables {} leaves {leaves} kill {kill:?}",
            s.is_empty, s.is_read, s.is_idempotent, s.is_insert, s.written_table, s.table_group
        );
    }
    assert_golden!("statements.txt", text);
}

fn session_query(session: SessionKey, must_exist: bool, effect: SessionEffect) -> SessionQuery {
    SessionQuery {
        session,
        must_exist,
        timeout: None,
        effect,
    }
}

#[test]
fn session_errors_match_golden_file() {
    let mut table: SessionTable<u32> = SessionTable::with_limits(7, 1, 1);
    let mut transcript = MessageTranscript::default();
    let text = |error: SessionError| Exception::from(error).text;
    let name = table.key("jana", "s");
    let read = session_query(name, false, SessionEffect::None);
    let missing = session_query(name, true, SessionEffect::None);
    let missing = table.begin_query(0, &missing);
    transcript.record(
        "checked, none",
        missing.err().map_or_else(String::new, text),
    );
    let set = session_query(name, false, SessionEffect::LeavesState);
    table.begin_query(0, &set).expect("new");
    let locked = table.begin_query(1, &read);
    transcript.record("locked", locked.err().map_or_else(String::new, text));
    let other = session_query(table.key("jana", "t"), false, SessionEffect::None);
    let full = table.begin_query(1, &other);
    transcript.record("full", full.err().map_or_else(String::new, text));
    let outcome = QueryOutcome::Ran {
        engine: 1,
        succeeded: true,
    };
    table.end_query(2, name, outcome);
    table.remove_engine(1);
    let lost = table.begin_query(3, &read);
    transcript.record("lost", lost.err().map_or_else(String::new, text));
    assert_golden!("sessions.txt", transcript.bytes());
}
