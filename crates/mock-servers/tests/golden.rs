//! Compares the mock engine's responses byte for byte with golden files: statements, formats, sessions, codings and each fault.
//! See `golden/README.md`.
#![allow(clippy::too_many_lines, reason = "tests list their cases")]

use driftfront_mock_servers::engine::{Engine, Options, FORMATS};
use driftfront_mock_servers::request_log::RequestLog;
use driftfront_test_support::assert_golden;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

fn engine(options: Options) -> Engine {
    Engine::start(options, Arc::new(RequestLog::default()))
}

/// Sends these bytes and reads until the engine closes the connection.
fn exchange(addr: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).expect("the engine listens");
    stream.write_all(request).expect("it reads");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    response
}

fn post(target: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: e\r\nConnection: close\r\nContent-Length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A transcript of requests and responses, with non-ASCII bytes escaped.
struct Transcript {
    addr: SocketAddr,
    text: String,
}

impl Transcript {
    fn new(engine: &Engine) -> Transcript {
        Transcript {
            addr: engine.addr(),
            text: String::new(),
        }
    }

    fn send(&mut self, title: &str, request: &[u8]) {
        let response = exchange(self.addr, request);
        let response = response.escape_ascii().to_string().replace("\\n", "\\n\n");
        self.text += &format!("== {title}\n{response}\n");
    }

    /// Sends a statement in the body, with a query id.
    fn query(&mut self, statement: &str) {
        self.query_with("", statement);
    }

    fn query_with(&mut self, parameters: &str, statement: &str) {
        let target = format!("/?query_id=q1{parameters}");
        let title = format!("{parameters} {}", statement.escape_debug());
        self.send(title.trim(), &post(&target, "", statement.as_bytes()));
    }
}

#[test]
fn responses_to_statements() {
    let engine = engine(Options::default());
    let mut t = Transcript::new(&engine);
    for statement in [
        "SELECT 1",
        "SELECT 1, 'a\\'b' AS x",
        "SELECT number FROM numbers(3)",
        "SELECT number, 'x' FROM system.numbers LIMIT 2",
        "SELECT getSetting('max_threads')",
        "SELECT currentDatabase(), queryID()",
        "SELECT sleep(0.01)",
        "SELECT throwIf(number = 2) FROM numbers(5)",
        "SELECT repeat(toString(number), 3) FROM numbers(2)",
        "CREATE TABLE t (a UInt64) ENGINE = Memory",
        "EXISTS TABLE t",
        "EXISTS TABLE u",
        "SHOW TABLES",
        "INSERT INTO t VALUES (1), (2)",
        "INSERT INTO t FORMAT TabSeparated\n3\n4\n",
        "SELECT count() FROM t",
        "SELECT * FROM t",
        "SELECT * FROM u",
        "SHOW PROCESSLIST",
        "KILL QUERY WHERE query_id = 'q9'",
        "DROP TABLE t",
        "SET max_threads = 3",
        "USE other",
        "DANCE",
        "",
        "SELECT 1 FORMAT Odd",
        "SELECT nonsense(",
        "/* a comment */ SELECT 2 -- behind",
    ] {
        t.query(statement);
    }
    assert_golden!("statements.txt", t.text);
}

#[test]
fn result_formats() {
    let engine = engine(Options::default());
    let mut t = Transcript::new(&engine);
    for format in FORMATS {
        t.query(&format!(
            "SELECT number, 'a\"b\\t' AS x FROM numbers(2) FORMAT {format}"
        ));
        t.query(&format!(
            "SELECT number FROM numbers(2) FORMAT {format} /* standin: late=241 */"
        ));
        t.query_with(
            "&http_write_exception_in_output_format=1",
            &format!("SELECT number FROM numbers(2) FORMAT {format} /* standin: late=241 */"),
        );
    }
    assert_golden!("formats.txt", t.text);
}

#[test]
fn injected_faults() {
    let engine = engine(Options::default());
    let mut t = Transcript::new(&engine);
    for fault in [
        "error=60",
        "error=241",
        "error=9999",
        "full",
        "cut",
        "sleep_ms=5 cut",
        "late=241",
        "late=241 whole",
        "lie",
        "twice",
        "bad_block",
        "cut_after=20",
        "bad_block_after=20",
        "slow_ms=1",
        "crawl_ms=1",
        "first error=241",
        "first error=241",
    ] {
        t.query(&format!(
            "SELECT number FROM numbers(9) /* standin: {fault} */"
        ));
        if fault.contains("block") {
            let statement = format!("SELECT number FROM numbers(9) /* standin: {fault} */");
            t.query_with("&compress=1", &statement);
        }
    }
    t.query("INSERT INTO t FORMAT TabSeparated /* standin: error_after=3 */\n1\n2\n3\n");
    let old = Options {
        tags: false,
        ..Options::default()
    };
    let old = self::engine(old);
    t.addr = old.addr();
    t.query("SELECT number FROM numbers(2) /* standin: late=241 */");
    t.query("SELECT 1");
    assert_golden!("faults.txt", t.text);
}

#[test]
fn silent_engine_sends_nothing_until_the_client_disconnects() {
    let engine = engine(Options::default());
    for fault in ["silent", "silent_after=20"] {
        let statement = format!("SELECT number FROM numbers(9) /* standin: {fault} */");
        let mut stream = TcpStream::connect(engine.addr()).expect("the engine listens");
        let request = post("/?query_id=q2", "", statement.as_bytes());
        stream.write_all(&request).expect("it reads");
        stream.shutdown(Shutdown::Write).expect("still open");
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        let name = format!("{}.txt", fault.split('=').next().expect("a word"));
        assert_golden!(&name, response.escape_ascii().to_string());
    }
}

#[test]
fn methods_paths_forms_and_codings() {
    let engine = engine(Options::default());
    let mut t = Transcript::new(&engine);
    let get = |target: &str, version: &str| {
        format!("GET {target} HTTP/{version}\r\nHost: e\r\nConnection: close\r\n\r\n").into_bytes()
    };
    t.send("ping", &get("/ping", "1.1"));
    t.send("replicas", &get("/replicas_status", "1.1"));
    t.send("root", &get("/", "1.1"));
    t.send("no such path", &get("/x", "1.1"));
    t.send("in URL", &get("/?query_id=q1&query=SELECT%201", "1.1"));
    t.send("1.0", &get("/?query_id=q1&query=SELECT%201", "1.0"));
    t.send(
        "GET that writes",
        &get("/?query_id=q1&query=DROP%20TABLE%20t", "1.1"),
    );
    t.send(
        "HEAD",
        b"HEAD /?query_id=q1&query=SELECT%201 HTTP/1.0\r\nHost: e\r\nConnection: close\r\n\r\n",
    );
    t.send(
        "OPTIONS",
        b"OPTIONS / HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n",
    );
    t.send(
        "PUT",
        b"PUT / HTTP/1.1\r\nHost: e\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    );
    t.send("malformed", b"NONSENSE\r\n\r\n");
    t.send(
        "chunked, awaited",
        b"POST /?query_id=q1 HTTP/1.1\r\nHost: e\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\
          Expect: 100-continue\r\n\r\n8\r\nSELECT 1\r\n0\r\n\r\n",
    );
    let form = "--b\r\nContent-Disposition: form-data; name=\"query\"\r\n\r\nSELECT 7\r\n--b--\r\n";
    t.send(
        "form",
        &post(
            "/?query_id=q1",
            "Content-Type: multipart/form-data; boundary=b\r\n",
            form.as_bytes(),
        ),
    );
    t.send(
        "form without boundary",
        &post(
            "/?query_id=q1",
            "Content-Type: multipart/form-data\r\n",
            b"x",
        ),
    );
    t.send(
        "rows behind a statement in the URL",
        &post(
            "/?query_id=q1&query=INSERT%20INTO%20t%20FORMAT%20CSV",
            "",
            b"1\n2\n",
        ),
    );
    t.send(
        "id, format, database and origin in headers",
        &post(
            "/?add_http_cors_header=1",
            "X-ClickHouse-Query-Id: q3\r\nX-ClickHouse-Format: JSONEachRow\r\nX-ClickHouse-Database: d\r\n\
             Origin: http://o\r\n",
            b"SELECT currentDatabase() AS d",
        ),
    );
    for (parameters, headers) in [
        ("&compress=1", ""),
        ("&compress=1&network_compression_method=zstd", ""),
        ("&enable_http_compression=1", "Accept-Encoding: gzip\r\n"),
        ("&enable_http_compression=1", "Accept-Encoding: deflate\r\n"),
        ("&decompress=1", ""),
        ("", "Content-Encoding: gzip\r\n"),
    ] {
        let title = format!("{parameters} {}", headers.trim_end());
        let target = format!("/?query_id=q1{parameters}");
        t.send(title.trim(), &post(&target, headers, b"SELECT 1"));
    }
    t.query_with("&param_x=5", "SELECT {x:UInt64}");
    t.query_with("&default_format=CSV", "SELECT 'a'");
    assert_golden!("requests.txt", t.text);
}

#[test]
fn sessions_and_users() {
    let engine = engine(Options::default());
    let mut t = Transcript::new(&engine);
    for (parameters, statement) in [
        ("&session_id=s&session_check=1", "SELECT 1"),
        ("&session_id=s", "SET max_threads = 7"),
        ("&session_id=s", "SELECT getSetting('max_threads')"),
        ("&session_id=s", "USE other"),
        ("&session_id=s", "SELECT currentDatabase()"),
        ("&session_id=s", "CREATE TEMPORARY TABLE t (a UInt64)"),
        ("&session_id=s", "INSERT INTO t VALUES (1)"),
        ("&session_id=s", "SELECT * FROM t"),
        ("", "SELECT * FROM t"),
        ("&session_id=s&session_check=1", "SELECT 1"),
    ] {
        t.query_with(parameters, statement);
    }
    let guarded = Options {
        user: Some(("u".into(), "k".into())),
        max_statements: 0,
        ..Options::default()
    };
    let guarded = self::engine(guarded);
    t.addr = guarded.addr();
    t.query("SELECT 1");
    t.query_with("&user=u&password=x", "SELECT 1");
    t.query_with("&user=u&password=k", "SELECT 1");
    t.send(
        "basic",
        &post(
            "/?query_id=q1",
            "Authorization: Basic dTpr\r\n",
            b"SELECT 1",
        ),
    );
    assert_golden!("sessions.txt", t.text);
}
