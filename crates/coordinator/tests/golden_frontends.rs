//! Golden tests of the responses to clients: the bytes that the frontends write, and those that the running coordinator
//! sends.

use driftfront::frontends::clickhouse::{ClickHouse, ClickHouseConfig};
use driftfront::frontends::platform::Platform;
use driftfront::frontends::{
    ConnectionAction, Frontend, FrontendAction, QueryClasses, ResponseWriter,
};
use driftfront_core::{EngineId, ParsedRequest, ResponseChunk, SettledOutcome};
use driftfront_http::{HttpError, Request};
use driftfront_test_support::assert_golden;
use driftfront_test_support::coordinator::platform_site::Site;
use driftfront_test_support::coordinator::{clickhouse_site, TEST_TIMEOUT};
use driftfront_test_support::message_transcript::MessageTranscript;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::rc::Rc;

fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &str) -> Request {
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

fn classes() -> QueryClasses {
    let names: Vec<String> = vec!["lookup".into(), "member-load".into()];
    QueryClasses {
        names: names.into(),
        default_timeouts: Rc::from([2_500_000, 25_000_000]),
    }
}

fn format_request(request: &ParsedRequest) -> String {
    format!(
        "call {} class {} work {:?} memory {:?} tables {} key {:?} tenant {:?} token {:?} budget {}\n\
         about {:?}\nstatement {}\npin {:?} lost {:?} once {} ticket {}\n",
        request.name,
        request.class,
        request.work,
        request.memory_mb,
        request.table_group,
        request.ordering_key,
        request.tenant,
        request.idempotency_key,
        request.client_timeout,
        request.parameters,
        request.statement.escape_ascii(),
        request.sticky_session.map(|p| (p.engine.0, p.is_exclusive)),
        request.session_lost_error,
        request.is_body_streamed,
        request.ticket
    )
}

/// Records the frontend's action for a request. Returns the response writer if the request is accepted.
fn record(
    transcript: &mut MessageTranscript,
    name: &str,
    frontend: &mut dyn Frontend,
    request: Request,
) -> Option<Box<dyn ResponseWriter>> {
    match frontend.parse_request(request, 1_000_000, 0) {
        FrontendAction::Reply(bytes) => transcript.record(&format!("{name}: reply"), bytes),
        FrontendAction::RejectBadRequest(bytes) => {
            transcript.record(&format!("{name}: bad"), bytes)
        }
        FrontendAction::ReportReadiness { ready, not_ready } => {
            transcript.record(&format!("{name}: ready"), ready);
            transcript.record(&format!("{name}: not ready"), not_ready);
        }
        FrontendAction::ReportCounters => transcript.record(&format!("{name}: counters"), ""),
        FrontendAction::CancelRequest { request_id, reply } => {
            transcript.record(&format!("{name}: withdraw {request_id}"), reply)
        }
        FrontendAction::Accept(request, writer) => {
            transcript.record(&format!("{name}: taken"), format_request(&request));
            return Some(writer);
        }
        FrontendAction::Kill(kill) => {
            transcript.record(
                &format!("{name}: kill"),
                format!(
                    "{:?} test {} told {}",
                    kill.query_ids, kill.is_test, kill.message
                ),
            );
            transcript.record("answer where none runs", &kill.none_running_response);
            let request = (kill.request_for)(EngineId(3), "it's\\");
            transcript.record("to an engine", format_request(&request));
            return Some(kill.writer);
        }
    }
    None
}

fn response_chunk(headers: &[(&str, &str)], rows: &str, is_only_chunk: bool) -> ResponseChunk {
    ResponseChunk {
        headers: headers
            .iter()
            .map(|h| (h.0.to_string(), h.1.to_string()))
            .collect(),
        rows: rows.into(),
        is_only_chunk,
    }
}

fn format_connection_action(action: ConnectionAction) -> &'static str {
    match action {
        ConnectionAction::KeepOpen => "stays open",
        ConnectionAction::Close => "closes",
        ConnectionAction::Reset => "is reset",
    }
}

/// Writes one response. Returns what happens to the connection, if the writer decides it.
type WriteResponse<'a> =
    dyn Fn(&mut dyn ResponseWriter, &mut Vec<u8>) -> Option<ConnectionAction> + 'a;

/// Records every kind of response that a writer can write.
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn record_responses(
    transcript: &mut MessageTranscript,
    name: &str,
    mut writer: impl FnMut() -> Box<dyn ResponseWriter>,
) {
    let headers = [
        ("X-ClickHouse-Query-Id", "q-1"),
        ("Content-Type", "text/tab-separated-values"),
        ("X-ClickHouse-Exception-Tag", "0a1b2c3d4e5f6789"),
        ("X-ClickHouse-Progress", "{}"),
    ];
    let exception = "Code: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)";
    let mut record_response = |label: &str, write: &WriteResponse| {
        let mut out = Vec::new();
        let action = write(&mut *writer(), &mut out);
        let action = action.map_or("", format_connection_action);
        transcript.record(&format!("{name}: {label} {action}"), out);
    };
    record_response("one piece", &|w, out| {
        w.write_chunk(
            &response_chunk(&headers, "1\ta\t\"q\"\n2\t\u{e9}\tc\n", true),
            out,
        );
        Some(w.finish(out))
    });
    record_response("two pieces", &|w, out| {
        w.write_chunk(&response_chunk(&headers, "1\ta\tb\n", false), out);
        w.write_chunk(&response_chunk(&[], "2\ta\tb\n", false), out);
        Some(w.finish(out))
    });
    record_response("no rows", &|w, out| {
        w.write_chunk(&response_chunk(&[], "", true), out);
        Some(w.finish(out))
    });
    record_response("refused", &|w, out| {
        w.reject(0, None, out);
        None
    });
    record_response("refused, come back", &|w, out| {
        w.reject(1_234_567, None, out);
        None
    });
    record_response("refused, an engine's words", &|w, out| {
        w.reject(1_000, Some(exception), out);
        None
    });
    record_response("failed", &|w, out| {
        w.fail(None, out);
        None
    });
    record_response("failed, an engine's words", &|w, out| {
        w.fail(Some(exception), out);
        None
    });
    record_response("failed, words without a code", &|w, out| {
        w.fail(Some("oh"), out);
        None
    });
    record_response("cut", &|w, out| {
        w.write_chunk(&response_chunk(&headers, "1\ta\tb\n", false), out);
        Some(w.abort(None, out))
    });
    record_response("cut, an engine's words", &|w, out| {
        w.write_chunk(&response_chunk(&headers, "1\ta\tb\n", false), out);
        Some(w.abort(Some(exception), out))
    });
    record_response("cut, packed", &|w, out| {
        let compressed = [("Content-Encoding", "gzip"), headers[2]];
        w.write_chunk(&response_chunk(&compressed, "1\ta\tb\n", false), out);
        Some(w.abort(None, out))
    });
}

#[test]
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn platform_frontend_responses_match_the_golden_file() {
    let mut transcript = MessageTranscript::default();
    let mut frontend = Platform {
        classes: classes(),
        tenants: Rc::from(["east".to_string(), "west".to_string()]),
    };
    let call = ("X-Call-Id", "9b1f03aa5c7e2d41");
    let patience = ("X-Patience-Ms", "2500");
    let all = [
        call,
        patience,
        ("X-Customer", "west"),
        ("X-Repeat", "1"),
        ("X-Dedupe-Key", "t-1"),
        ("X-Weight-Ms", "12.5"),
        ("X-Need-Mb", "64"),
        ("X-Entity", "7f3a9c21e0b4d655"),
    ];
    let sql = "INSERT INTO sales_4.t SELECT 1";
    record(
        &mut transcript,
        "all fields",
        &mut frontend,
        request("POST", "/ops/member-load", &all, sql),
    );
    let fields = |more: &[(&'static str, &'static str)]| [&[call, patience], more].concat();
    for (name, headers, statement) in [
        ("no id", vec![patience], "x"),
        ("bad id", vec![("X-Call-Id", "a b"), patience], "x"),
        ("no patience", vec![call], "x"),
        ("bad patience", vec![call, ("X-Patience-Ms", "x")], "x"),
        ("long patience", vec![call, ("X-Patience-Ms", "9000")], "x"),
        ("field twice", fields(&[patience]), "x"),
        ("bad repeat", fields(&[("X-Repeat", "2")]), "x"),
        ("bad figure", fields(&[("X-Weight-Ms", "x")]), "x"),
        ("bad key", fields(&[("X-Entity", "x")]), "x"),
        ("bad token", fields(&[("X-Dedupe-Key", "a,b")]), "x"),
        ("empty statement", fields(&[]), " "),
        ("no text", fields(&[]), "a\0"),
        ("unknown tenant", fields(&[("X-Customer", "north")]), "x"),
    ] {
        let post = request("POST", "/ops/lookup", &headers, statement);
        record(&mut transcript, name, &mut frontend, post);
    }
    let not_text = Request {
        body: vec![0xff],
        ..request("POST", "/ops/lookup", &fields(&[]), "")
    };
    record(&mut transcript, "not UTF-8", &mut frontend, not_text);
    for (name, method, path) in [
        ("no path", "POST", "/what"),
        ("no class", "POST", "/ops/what"),
        ("no method", "PUT", "/ops/lookup"),
        ("withdraw", "DELETE", "/ops/lookup"),
        ("alive", "GET", "/alive?x"),
        ("counters", "GET", "/counters"),
    ] {
        record(
            &mut transcript,
            name,
            &mut frontend,
            request(method, path, &[call], ""),
        );
    }
    for fault in [
        HttpError::Malformed,
        HttpError::BodyTooLarge,
        HttpError::HeadTooLarge,
    ] {
        transcript.record("fault", frontend.error_response(fault));
    }
    record_responses(&mut transcript, "answer", || {
        let post = request("POST", "/ops/lookup", &[call, patience], "x");
        record(&mut MessageTranscript::default(), "", &mut frontend, post)
            .expect("an accepted request")
    });
    assert_golden!("wire/platform.http", transcript.bytes());
}

fn clickhouse() -> ClickHouse {
    let config = ClickHouseConfig {
        read_class: 0,
        write_class: 1,
        deduplicated_class: Some(0),
        upload_timeout: 60_000_000,
        body_budget_bytes: 1 << 20,
    };
    ClickHouse::new(classes(), config, 7)
}

#[test]
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn clickhouse_frontend_responses_match_the_golden_file() {
    let mut transcript = MessageTranscript::default();
    let mut frontend = clickhouse();
    for (name, method, target, headers, body) in [
        ("read", "POST", "/", vec![], "SELECT 1"),
        (
            "named",
            "POST",
            "/?query_id=q-1&max_execution_time=1&compress=1",
            vec![("X-ClickHouse-User", "jana")],
            "SELECT 1 FROM uni_4.t",
        ),
        (
            "write",
            "POST",
            "/?query_id=q-2",
            vec![],
            "INSERT INTO uni_4.t VALUES (1)",
        ),
        (
            "deduplicated",
            "POST",
            "/?query_id=q-3&insert_deduplication_token=t",
            vec![],
            "INSERT INTO uni_4.t VALUES (1)",
        ),
        (
            "key and class",
            "POST",
            "/?query_id=q-4&driftfront_key=k&driftfront_class=member-load",
            vec![],
            "SELECT 1",
        ),
        (
            "session",
            "POST",
            "/?query_id=q-5&session_id=s",
            vec![],
            "SET a = 1",
        ),
        (
            "no class",
            "POST",
            "/?driftfront_class=what",
            vec![],
            "SELECT 1",
        ),
        (
            "no class, head",
            "HEAD",
            "/?driftfront_class=what&query=SELECT%201",
            vec![],
            "",
        ),
        (
            "session locked",
            "POST",
            "/?query_id=q-6&session_id=s",
            vec![],
            "SELECT 1",
        ),
        (
            "kill",
            "POST",
            "/?query_id=k-1",
            vec![],
            "KILL QUERY WHERE query_id IN ('a', 'b') TEST",
        ),
        (
            "kill by user",
            "POST",
            "/?query_id=k-2",
            vec![],
            "KILL QUERY WHERE user = 'a'",
        ),
        (
            "write by GET",
            "GET",
            "/?query=DROP%20TABLE%20t",
            vec![],
            "",
        ),
        ("empty", "POST", "/", vec![], ""),
        ("ping", "GET", "/ping", vec![], ""),
        ("ping, head", "HEAD", "/ping", vec![], ""),
        ("replicas", "GET", "/replicas_status", vec![], ""),
        ("alive", "GET", "/alive", vec![], ""),
        ("counters", "GET", "/counters", vec![], ""),
        ("options", "OPTIONS", "/", vec![], ""),
        ("no method", "PUT", "/", vec![], ""),
        ("no path", "GET", "/what", vec![], ""),
    ] {
        record(
            &mut transcript,
            name,
            &mut frontend,
            request(method, target, &headers, body),
        );
    }
    let upload = Request {
        has_more_body: true,
        ..request("POST", "/?query_id=q-7", &[], "INSERT INTO t FORMAT CSV\n")
    };
    record(&mut transcript, "upload", &mut frontend, upload);
    let duplicate = ParsedRequest {
        name: "q-1".into(),
        ticket: 1,
        ..ParsedRequest::default()
    };
    transcript.record(
        "twin",
        frontend
            .duplicate_id_response(0, &duplicate)
            .expect("a response"),
    );
    frontend.settle_request(0, 5, SettledOutcome::Ran(EngineId(4), true));
    let in_session = request("POST", "/?query_id=q-8&session_id=s", &[], "SELECT 1");
    record(
        &mut transcript,
        "session is held by its engine",
        &mut frontend,
        in_session,
    );
    for fault in [
        HttpError::Malformed,
        HttpError::BodyTooLarge,
        HttpError::HeadTooLarge,
    ] {
        transcript.record("fault", frontend.error_response(fault));
    }
    transcript.record("counters", frontend.counters());
    for (name, method, target, version_1_1) in [
        ("answer", "POST", "/?query_id=q", true),
        (
            "answer with progress",
            "POST",
            "/?query_id=q&send_progress_in_http_headers=1",
            true,
        ),
        ("answer in HTTP/1.0", "POST", "/?query_id=q", false),
        (
            "answer to HEAD",
            "HEAD",
            "/?query_id=q&query=SELECT%201",
            true,
        ),
    ] {
        record_responses(&mut transcript, name, || {
            let query = Request {
                version_1_1,
                ..request(method, target, &[], "SELECT 1")
            };
            record(
                &mut MessageTranscript::default(),
                "",
                &mut clickhouse(),
                query,
            )
            .expect("an accepted request")
        });
    }
    assert_golden!("wire/clickhouse.http", transcript.bytes());
}

/// Sends bytes on a new connection and reads until it is closed.
fn exchange(addr: std::net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).expect("connect");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set the timeout");
    stream.write_all(bytes).expect("send");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("a response");
    response
}

/// Sends a request with `Expect: 100-continue` and its body after the interim response. Returns all bytes received.
fn exchange_with_expect(addr: std::net::SocketAddr, fields: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).expect("connect");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("set the timeout");
    let head = format!(
        "POST /ops/lookup HTTP/1.1\r\nExpect: 100-continue\r\nConnection: close\r\n{fields}Content-Length: 8\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("send");
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("an interim response");
        response.extend(byte);
    }
    stream.write_all(b"SELECT 1").expect("send");
    stream.read_to_end(&mut response).expect("a response");
    response
}

#[test]
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn platform_responses_on_the_wire_match_the_golden_files() {
    let site = Site::start(1);
    let addr = site.coordinator.addr;
    let mut transcript = MessageTranscript::default();
    let post = |path: &str, headers: &str, body: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let fields = |n: u32| format!("X-Call-Id: 9b1f03aa5c7e2d4{n}\r\nX-Patience-Ms: 2500\r\n");
    let close = "HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    let oversized = format!("{}\r\n\r\n", "Content-Length: 99999999");
    let query = post("/ops/lookup", &fields(1), "SELECT 1");
    for (name, bytes) in [
        ("result", query.clone()),
        (
            "failure",
            post("/ops/member-load", &fields(2), "INSERT fault"),
        ),
        ("half read", query[..query.len() - 1].into()),
        (
            "withdrawn",
            format!(
                "DELETE /ops/lookup HTTP/1.1\r\n{}Connection: close\r\n\r\n",
                fields(3)
            ),
        ),
        (
            "two on one connection",
            query.replace("Connection: close\r\n", "") + &query,
        ),
        ("bad", post("/ops/lookup", "", "SELECT 1")),
        ("alive", format!("GET /alive {close}")),
        ("malformed", "what is this\r\n\r\n".into()),
        (
            "too large a body",
            format!("POST /ops/lookup HTTP/1.1\r\n{oversized}"),
        ),
        (
            "too large a head",
            format!("GET /{} {close}", "x".repeat(20_000)),
        ),
        ("stray bytes", query.clone() + "stray"),
    ] {
        transcript.record(name, exchange(addr, bytes.as_bytes()));
    }
    transcript.record(
        "expects to be told to go on",
        exchange_with_expect(addr, &fields(4)),
    );
    let counters = exchange(addr, format!("GET /counters {close}").as_bytes());
    let counters = String::from_utf8(counters).expect("text");
    let (head, lines) = counters.split_once("\r\n\r\n").expect("a head");
    let head: Vec<&str> = head
        .split("\r\n")
        .filter(|l| !l.starts_with("Content-Length: "))
        .collect();
    transcript.record("counters, without its length", head.join("\r\n"));
    assert_golden!("wire/platform_sent.http", transcript.bytes());
    // The counters' values vary between runs; their names and order do not.
    let names: Vec<&str> = lines
        .lines()
        .map(|l| l.rsplit_once(' ').map_or(l, |l| l.0))
        .collect();
    assert_golden!("wire/platform_counters.txt", names.join("\n"));
}

#[test]
fn clickhouse_responses_on_the_wire_match_the_golden_files() {
    let site = clickhouse_site::Site::start(1);
    let addr = site.coordinator.addr;
    let mut transcript = MessageTranscript::default();
    let close = "HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    for (name, bytes) in [
        (
            "query",
            "POST /?query_id=q-1 HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: 8\r\n\r\nSELECT 1".into(),
        ),
        ("ping", format!("GET /ping {close}")),
        ("replicas", format!("GET /replicas_status {close}")),
        ("alive", format!("HEAD /alive {close}")),
        ("options", format!("OPTIONS / {close}")),
        ("no path", format!("GET /what {close}")),
        ("malformed", "what is this\r\n\r\n".into()),
        (
            "too large a head",
            format!("GET /{} {close}", "x".repeat(300_000)),
        ),
    ] {
        transcript.record(name, exchange(addr, bytes.as_bytes()));
    }
    let counters = exchange(addr, format!("GET /counters {close}").as_bytes());
    let counters = String::from_utf8(counters).expect("text");
    let (_, lines) = counters.split_once("\r\n\r\n").expect("a head");
    let names: Vec<&str> = lines
        .lines()
        .map(|l| l.rsplit_once(' ').map_or(l, |l| l.0))
        .collect();
    assert_golden!("wire/clickhouse_sent.http", transcript.bytes());
    assert_golden!("wire/clickhouse_counters.txt", names.join("\n"));
}
