//! Golden tests of the engine protocols: the requests written to engines and how their responses are decoded.

use driftfront::backends::clickhouse::{
    HttpSession, COMPRESSED_BLOCKS, REQUEST_HEADERS, URL_PARAMETERS,
};
use driftfront::backends::engine_protocol::LineSession;
use driftfront::backends::{AttemptRequest, EngineEvent, EngineSession};
use driftfront_core::{AttemptKey, ParsedRequest, RequestId};
use driftfront_test_support::assert_golden;
use driftfront_test_support::message_transcript::MessageTranscript;
use std::rc::Rc;

fn key(number: u64) -> AttemptKey {
    AttemptKey {
        request: RequestId(number),
        number: 0,
    }
}

fn attempt_request<'a>(key: AttemptKey, request: &'a ParsedRequest) -> AttemptRequest<'a> {
    AttemptRequest {
        key,
        request,
        class: "member-load",
        name: &request.name,
        timeout: 2_500_999,
        grant_mb: 0.0,
        progress_interval: None,
    }
}

fn parsed_request(id: &str, statement: &[u8]) -> ParsedRequest {
    ParsedRequest {
        name: id.into(),
        statement: Rc::from(statement),
        ..ParsedRequest::default()
    }
}

fn line_session() -> LineSession {
    let gauges = ["inflight".to_string(), "queue".into(), "x0".into()];
    LineSession::new(4, Rc::from(gauges))
}

/// Formats events without the names of Rust types, so that the golden files survive their renaming.
fn format_events(events: &[EngineEvent]) -> String {
    let mut text = String::new();
    for event in events {
        text += &match event {
            EngineEvent::ProgressReported(key, report) => {
                format!("{} note {}\n", key.request.0, format_progress(report))
            }
            EngineEvent::ResponseStarted(key) => format!("{} begun\n", key.request.0),
            EngineEvent::ResponseChunk(key, chunk) => format!(
                "{} piece {:?} whole {} {}\n",
                key.request.0,
                chunk.headers,
                chunk.is_only_chunk,
                chunk.rows.escape_ascii()
            ),
            EngineEvent::AttemptReport(key, report) => format!(
                "{} report {:?} work {:?} memory {:?}\n",
                key.request.0, report.report, report.work, report.memory_mb
            ),
            EngineEvent::Served(key) => format!("{} served\n", key.request.0),
            EngineEvent::Failed(key, cause) => {
                format!("{} failed: {}\n", key.request.0, format_cause(cause))
            }
            EngineEvent::ProbeEnded(tag, outcome, report) => {
                format!("probe {tag} {outcome:?} {report:?}\n")
            }
        };
    }
    text
}

fn format_progress(report: &driftfront_core::ProgressReport) -> String {
    use driftfront_core::ProgressReport;
    match report {
        ProgressReport::Progress(share) => format!("progress {share}"),
        ProgressReport::Spills(count) => format!("spills {count}"),
        ProgressReport::WaitsForMemory => "waits for memory".into(),
        ProgressReport::WaitsForLoad => "waits for load".into(),
        #[allow(unreachable_patterns, reason = "compiles even when a variant is added")]
        _ => "another".into(),
    }
}

fn format_cause(cause: &driftfront_core::Cause) -> String {
    use driftfront_core::Cause;
    match cause {
        Cause::Rejected => "turned away".into(),
        Cause::Engine(message) => format!("engine: {message}"),
        Cause::MalformedResponse(message) => format!("spoilt: {message}"),
        Cause::Statement(message) => format!("statement: {message}"),
        _ => "another cause".into(),
    }
}

#[test]
fn line_protocol_requests_match_the_golden_file() {
    let (mut transcript, mut session, mut events) =
        (MessageTranscript::default(), line_session(), Vec::new());
    let mut out = Vec::new();
    let mut record = |out: &mut Vec<u8>, name: &str| transcript.record(name, std::mem::take(out));
    let plain = parsed_request("9b1f03aa5c7e2d41", b"SELECT 1");
    session.start_attempt(&attempt_request(key(1), &plain), &mut out);
    record(&mut out, "attempt");
    let with_token = ParsedRequest {
        idempotency_key: Some("t-1".into()),
        ..parsed_request(
            "9b1f03aa5c7e2d42",
            "INSERT INTO t VALUES ('\u{e9}')\n".as_bytes(),
        )
    };
    let granted = AttemptRequest {
        grant_mb: 511.2,
        timeout: 1,
        ..attempt_request(key(2), &with_token)
    };
    session.start_attempt(&granted, &mut out);
    record(&mut out, "attempt with a token and a grant, out of time");
    let empty = parsed_request("9b1f03aa5c7e2d43", b"");
    let granted = AttemptRequest {
        grant_mb: 1e12,
        timeout: 25_000_000,
        ..attempt_request(key(3), &empty)
    };
    session.start_attempt(&granted, &mut out);
    record(&mut out, "attempt with the largest grant");
    session.write_probe(17, &mut out);
    record(&mut out, "probe");
    let response = b"9b1f03aa5c7e2d41 HIT fetches=3 6\r\n1\ta\tb\n\r\n";
    session.decode(0, response, &mut out, &mut events).unwrap();
    record(&mut out, "pages are asked for");
    session
        .check_timeouts(300_000, &mut out, &mut events)
        .unwrap();
    record(&mut out, "pages are asked for again");
    let pages = b"9b1f03aa5c7e2d41 PART fetch_no=1 6\r\n2\ta\tb\n\r\n9b1f03aa5c7e2d41 PART fetch_no=2 6\r\n3\ta\tb\n\r\n";
    session
        .decode(300_000, pages, &mut out, &mut events)
        .unwrap();
    record(&mut out, "all pages are there");
    assert!(session.stop_attempt(key(2), &mut out));
    record(&mut out, "stop");
    assert!(session.stop_attempt(key(2), &mut out));
    record(&mut out, "stop of what is not open");
    assert_golden!("wire/engine_lines_out.txt", transcript.bytes());
}

#[test]
fn line_protocol_responses_are_decoded_as_in_the_golden_file() {
    let mut transcript = MessageTranscript::default();
    for response in [
        "c1 HIT fetches=1,gauges=inflight:2;queue:1;x0:0.25,effort=12.5,high=64 6\r\n1\ta\tb\n\r\n",
        "c1 HIT fetches=1,gauges=queue:3,effort=-1,high=1e12 0\r\n\r\n",
        "c1 HIT fetches=0,gauges=x0:x 0\r\n\r\n",
        "c1 SHED gauges=inflight:9 0\r\n\r\n",
        "c1 LATE - 0\r\n\r\n",
        "c1 FAULT gauges=inflight:9;queue:0;x0:1 0\r\n\r\n",
        "c1 INFO res=p,figure=0.5 0\r\n\r\nc1 INFO res=p,figure=7 0\r\n\r\n",
        "c1 INFO res=s,figure=3 0\r\n\r\nc1 INFO res=w,figure=1 0\r\n\r\nc1 INFO res=w,figure=2 0\r\n\r\n",
        "c1 INFO res=w,figure=3 0\r\n\r\nc1 INFO res=z,figure=1 0\r\n\r\nc1 INFO - 0\r\n\r\n",
        "p7 PONG gauges=inflight:1;queue:0;x0:0.5 0\r\n\r\n",
        "p7 SICK - 0\r\n\r\n",
        "p8 PONG - 0\r\n\r\nc9 HIT fetches=1 0\r\n\r\n",
        "c1 HIT - 0\r\n\r\n",
        "c1 HIT fetches=17 0\r\n\r\n",
        "c1 HIT fetches=1 3\r\n1\ta\r\n",
        "c1 PART fetch_no=1 0\r\n\r\n",
        "c1 PART - 0\r\n\r\n",
        "c1 HIT fetches=1 7000\r\n",
        "c1 HIT fetches=1 x\r\n",
        "c1 HIT fetches=1\r\n",
        "c1 HIT fetches=1 0\r\nxx",
        "c1 HIT fetches=1 0\n",
        "c1 WHAT - 0\r\n\r\n",
    ] {
        let (mut session, mut out, mut events) = (line_session(), Vec::new(), Vec::new());
        session.start_attempt(&attempt_request(key(1), &parsed_request("c1", b"x")), &mut out);
        session.write_probe(7, &mut out);
        let result = session.decode(0, response.as_bytes(), &mut Vec::new(), &mut events);
        let mut text = format_events(&events);
        if let Err(e) = result {
            text += &format!("connection ends: {e}");
        }
        transcript.record(&response.escape_default().to_string(), text);
    }
    let (mut session, mut out, mut events) = (line_session(), Vec::new(), Vec::new());
    session.start_attempt(
        &attempt_request(key(1), &parsed_request("c1", b"x")),
        &mut out,
    );
    let begun = b"c1 HIT fetches=2 0\r\n\r\n";
    session.decode(0, begun, &mut out, &mut events).unwrap();
    events.clear();
    session
        .check_timeouts(1_300_000, &mut out, &mut events)
        .unwrap();
    transcript.record("pages never come", format_events(&events));
    session
        .decode(0, b"c1 HIT fetches=2 0", &mut out, &mut events)
        .unwrap();
    let stalled = session.check_timeouts(600_000, &mut out, &mut events);
    transcript.record("an answer stops short", stalled.unwrap_err().to_string());
    assert_golden!("wire/engine_lines_in.txt", transcript.bytes());
}

#[test]
fn clickhouse_requests_match_the_golden_file() {
    let mut transcript = MessageTranscript::default();
    let mut session = HttpSession::new("127.0.0.1:8123".into());
    let mut out = Vec::new();
    let mut record = |out: &mut Vec<u8>, name: &str| transcript.record(name, std::mem::take(out));
    session.start_attempt(
        &attempt_request(key(1), &parsed_request("a b/c", b"SELECT 1")),
        &mut out,
    );
    record(&mut out, "query");
    let parameters = [
        (
            URL_PARAMETERS.to_string(),
            "&database=uni_4&session_id=s".to_string(),
        ),
        (
            REQUEST_HEADERS.to_string(),
            "X-ClickHouse-User: jana\r\nX-ClickHouse-Key: secret\r\nUser-Agent: t\r\n".to_string(),
        ),
        (COMPRESSED_BLOCKS.to_string(), String::new()),
    ];
    let all_fields = ParsedRequest {
        parameters: Rc::from(parameters),
        ..parsed_request("q-1", b"SELECT 2")
    };
    let with_progress = AttemptRequest {
        name: "q-1-2",
        progress_interval: Some(250_000),
        timeout: 30_000_000,
        grant_mb: 64.0,
        ..attempt_request(key(2), &all_fields)
    };
    session.start_attempt(&with_progress, &mut out);
    record(&mut out, "query with everything");
    let upload = ParsedRequest {
        is_body_streamed: true,
        ..parsed_request("q-2", b"INSERT INTO t FORMAT CSV\n1,2\n")
    };
    session.start_attempt(&attempt_request(key(3), &upload), &mut out);
    record(&mut out, "upload");
    session.write_body_chunk(b"3,4\n", &mut out);
    record(&mut out, "more of the upload");
    session.finish_body(&mut out);
    record(&mut out, "end of the upload");
    session.write_probe(5, &mut out);
    record(&mut out, "probe");
    assert_golden!("wire/clickhouse_out.http", transcript.bytes());
}

#[test]
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn clickhouse_responses_are_decoded_as_in_the_golden_file() {
    let mut transcript = MessageTranscript::default();
    let http_response = |status: &str, headers: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
    };
    let headers = "X-ClickHouse-Query-Id: q\r\nX-ClickHouse-Format: CSV\r\nX-ClickHouse-Summary: {}\r\n\
                   Content-Type: text/csv\r\nAccess-Control-Allow-Origin: *\r\nDate: now\r\nServer: x\r\n";
    let progress = "X-ClickHouse-Progress: {\"read_rows\":\"5\",\"total_rows_to_read\":\"10\"}\r\n";
    let memory = "Code: 241. DB::Exception: Memory limit. (MEMORY_LIMIT_EXCEEDED)\n";
    let tagged = "X-ClickHouse-Exception-Tag: 0a1b2c3d4e5f6789\r\n";
    let marker = format!(
        "1\n{}",
        driftfront_clickhouse::exception::tagged_exception("0a1b2c3d4e5f6789", memory.trim_end())
    );
    for (name, response) in [
        ("rows", http_response("200 OK", headers, "1,2\n")),
        ("no rows", http_response("200 OK", headers, "")),
        ("progress", http_response("200 OK", &format!("{progress}{headers}"), "1,2\n")),
        (
            "turned away",
            http_response(
                "500 E",
                "X-ClickHouse-Exception-Code: 202\r\n",
                "Code: 202. DB::Exception: Too many. (TOO_MANY_SIMULTANEOUS_QUERIES)\n",
            ),
        ),
        (
            "statement",
            http_response("400 E", "", "Code: 62. DB::Exception: Syntax error. (SYNTAX_ERROR)\n"),
        ),
        ("engine", http_response("500 E", "", memory)),
        ("no code, 503", http_response("503 E", "", "busy\n")),
        ("no code, 500", http_response("500 E", "", "oh\n")),
        ("tag", http_response("200 OK", tagged, &marker)),
        ("last lines", http_response("200 OK", headers, &format!("1\n{memory}"))),
        ("another query", http_response("200 OK", "X-ClickHouse-Query-Id: r\r\n", "1\n")),
        ("coding", http_response("200 OK", "Content-Encoding: zz\r\n", "1\n")),
        (
            "cut",
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n1,2\r\n{:x}\r\n{memory}\r\n", memory.len()),
        ),
        ("cut rows", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1\n".into()),
        ("to the close", "HTTP/1.0 200 OK\r\n\r\n1\n".into()),
        ("no HTTP", "what\r\n".into()),
    ] {
        let (mut session, mut events) = (HttpSession::new("h".into()), Vec::new());
        let request = ParsedRequest {
            ..parsed_request("client-name", b"SELECT 1")
        };
        let attempt = AttemptRequest {
            name: "q",
            ..attempt_request(key(1), &request)
        };
        session.start_attempt(&attempt, &mut Vec::new());
        let mut text = String::new();
        match session.decode(0, response.as_bytes(), &mut Vec::new(), &mut events) {
            Ok(()) => session.handle_eof(&mut events),
            Err(e) => text = format!("connection ends: {e}\n"),
        }
        transcript.record(name, format_events(&events) + &text);
    }
    for (name, response) in [
        ("probe", http_response("200 OK", "", "Ok.\n")),
        ("probe, sick", http_response("500 E", "", "oh\n")),
    ] {
        let (mut session, mut events) = (HttpSession::new("h".into()), Vec::new());
        session.write_probe(9, &mut Vec::new());
        session
            .decode(0, response.as_bytes(), &mut Vec::new(), &mut events)
            .unwrap();
        transcript.record(name, format_events(&events));
    }
    assert_golden!("wire/clickhouse_in.txt", transcript.bytes());
}
