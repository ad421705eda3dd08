//! What is written to engines, and what is read of their answers.

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

fn start<'a>(key: AttemptKey, ask: &'a ParsedRequest) -> AttemptRequest<'a> {
    AttemptRequest {
        key,
        request: ask,
        class: "member-load",
        name: &ask.name,
        timeout: 2_500_999,
        grant_mb: 0.0,
        progress_interval: None,
    }
}

fn ask(call: &str, statement: &[u8]) -> ParsedRequest {
    ParsedRequest {
        name: call.into(),
        statement: Rc::from(statement),
        ..ParsedRequest::default()
    }
}

fn lines() -> LineSession {
    let gauges = ["inflight".to_string(), "queue".into(), "x0".into()];
    LineSession::new(4, Rc::from(gauges))
}

/// What an answer brings, in words that do not hang on the names of types.
fn shown(seen: &[EngineEvent]) -> String {
    let mut text = String::new();
    for each in seen {
        text += &match each {
            EngineEvent::ProgressReported(k, note) => {
                format!("{} note {}\n", k.request.0, shown_note(note))
            }
            EngineEvent::ResponseStarted(k) => format!("{} begun\n", k.request.0),
            EngineEvent::ResponseChunk(k, piece) => format!(
                "{} piece {:?} whole {} {}\n",
                k.request.0,
                piece.headers,
                piece.is_only_chunk,
                piece.rows.escape_ascii()
            ),
            EngineEvent::AttemptReport(k, told) => format!(
                "{} report {:?} work {:?} memory {:?}\n",
                k.request.0, told.report, told.work, told.memory_mb
            ),
            EngineEvent::Served(k) => format!("{} served\n", k.request.0),
            EngineEvent::Failed(k, cause) => {
                format!("{} failed: {}\n", k.request.0, shown_cause(cause))
            }
            EngineEvent::ProbeEnded(tag, outcome, report) => {
                format!("probe {tag} {outcome:?} {report:?}\n")
            }
        };
    }
    text
}

fn shown_note(note: &driftfront_core::ProgressReport) -> String {
    use driftfront_core::ProgressReport;
    match note {
        ProgressReport::Progress(share) => format!("progress {share}"),
        ProgressReport::Spills(figure) => format!("spills {figure}"),
        ProgressReport::WaitsForMemory => "waits for memory".into(),
        ProgressReport::WaitsForLoad => "waits for load".into(),
        #[allow(
            unreachable_patterns,
            reason = "a later variant must not break the net"
        )]
        _ => "another".into(),
    }
}

fn shown_cause(cause: &driftfront_core::Cause) -> String {
    use driftfront_core::Cause;
    match cause {
        Cause::Rejected => "turned away".into(),
        Cause::Engine(words) => format!("engine: {words}"),
        Cause::MalformedResponse(words) => format!("spoilt: {words}"),
        Cause::Statement(words) => format!("statement: {words}"),
        _ => "another cause".into(),
    }
}

#[test]
fn lines_to_engines_are_written_as_ever() {
    let (mut wire, mut lines, mut seen) = (MessageTranscript::default(), lines(), Vec::new());
    let mut out = Vec::new();
    let mut next = |out: &mut Vec<u8>, name: &str| wire.record(name, std::mem::take(out));
    let plain = ask("9b1f03aa5c7e2d41", b"SELECT 1");
    lines.start_attempt(&start(key(1), &plain), &mut out);
    next(&mut out, "attempt");
    let token = ParsedRequest {
        idempotency_key: Some("t-1".into()),
        ..ask(
            "9b1f03aa5c7e2d42",
            "INSERT INTO t VALUES ('\u{e9}')\n".as_bytes(),
        )
    };
    let granted = AttemptRequest {
        grant_mb: 511.2,
        timeout: 1,
        ..start(key(2), &token)
    };
    lines.start_attempt(&granted, &mut out);
    next(&mut out, "attempt with a token and a grant, out of time");
    let most = ask("9b1f03aa5c7e2d43", b"");
    let granted = AttemptRequest {
        grant_mb: 1e12,
        timeout: 25_000_000,
        ..start(key(3), &most)
    };
    lines.start_attempt(&granted, &mut out);
    next(&mut out, "attempt with the largest grant");
    lines.write_probe(17, &mut out);
    next(&mut out, "probe");
    let answer = b"9b1f03aa5c7e2d41 HIT fetches=3 6\r\n1\ta\tb\n\r\n";
    lines.decode(0, answer, &mut out, &mut seen).unwrap();
    next(&mut out, "pages are asked for");
    lines.check_timeouts(300_000, &mut out, &mut seen).unwrap();
    next(&mut out, "pages are asked for again");
    let pages = b"9b1f03aa5c7e2d41 PART fetch_no=1 6\r\n2\ta\tb\n\r\n9b1f03aa5c7e2d41 PART fetch_no=2 6\r\n3\ta\tb\n\r\n";
    lines.decode(300_000, pages, &mut out, &mut seen).unwrap();
    next(&mut out, "all pages are there");
    assert!(lines.stop_attempt(key(2), &mut out));
    next(&mut out, "stop");
    assert!(lines.stop_attempt(key(2), &mut out));
    next(&mut out, "stop of what is not open");
    assert_golden!("wire/engine_lines_out.txt", wire.bytes());
}

#[test]
fn lines_of_engines_are_read_as_ever() {
    let mut read = MessageTranscript::default();
    for answer in [
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
        let (mut lines, mut out, mut seen) = (lines(), Vec::new(), Vec::new());
        lines.start_attempt(&start(key(1), &ask("c1", b"x")), &mut out);
        lines.write_probe(7, &mut out);
        let ended = lines.decode(0, answer.as_bytes(), &mut Vec::new(), &mut seen);
        let mut text = shown(&seen);
        if let Err(e) = ended {
            text += &format!("connection ends: {e}");
        }
        read.record(&answer.escape_default().to_string(), text);
    }
    let (mut lines, mut out, mut seen) = (lines(), Vec::new(), Vec::new());
    lines.start_attempt(&start(key(1), &ask("c1", b"x")), &mut out);
    let begun = b"c1 HIT fetches=2 0\r\n\r\n";
    lines.decode(0, begun, &mut out, &mut seen).unwrap();
    seen.clear();
    lines
        .check_timeouts(1_300_000, &mut out, &mut seen)
        .unwrap();
    read.record("pages never come", shown(&seen));
    lines
        .decode(0, b"c1 HIT fetches=2 0", &mut out, &mut seen)
        .unwrap();
    let stalled = lines.check_timeouts(600_000, &mut out, &mut seen);
    read.record("an answer stops short", stalled.unwrap_err().to_string());
    assert_golden!("wire/engine_lines_in.txt", read.bytes());
}

#[test]
fn clickhouse_requests_to_engines_are_written_as_ever() {
    let mut wire = MessageTranscript::default();
    let mut http = HttpSession::new("127.0.0.1:8123".into());
    let mut out = Vec::new();
    let mut next = |out: &mut Vec<u8>, name: &str| wire.record(name, std::mem::take(out));
    http.start_attempt(&start(key(1), &ask("a b/c", b"SELECT 1")), &mut out);
    next(&mut out, "query");
    let about = [
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
    let full = ParsedRequest {
        parameters: Rc::from(about),
        ..ask("q-1", b"SELECT 2")
    };
    let noted = AttemptRequest {
        name: "q-1-2",
        progress_interval: Some(250_000),
        timeout: 30_000_000,
        grant_mb: 64.0,
        ..start(key(2), &full)
    };
    http.start_attempt(&noted, &mut out);
    next(&mut out, "query with everything");
    let once = ParsedRequest {
        is_body_streamed: true,
        ..ask("q-2", b"INSERT INTO t FORMAT CSV\n1,2\n")
    };
    http.start_attempt(&start(key(3), &once), &mut out);
    next(&mut out, "upload");
    http.write_body_chunk(b"3,4\n", &mut out);
    next(&mut out, "more of the upload");
    http.finish_body(&mut out);
    next(&mut out, "end of the upload");
    http.write_probe(5, &mut out);
    next(&mut out, "probe");
    assert_golden!("wire/clickhouse_out.http", wire.bytes());
}

#[test]
#[allow(clippy::too_many_lines, reason = "tests list their cases")]
fn clickhouse_answers_of_engines_are_read_as_ever() {
    let mut read = MessageTranscript::default();
    let whole = |status: &str, headers: &str, body: &str| {
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
    for (name, answer) in [
        ("rows", whole("200 OK", headers, "1,2\n")),
        ("no rows", whole("200 OK", headers, "")),
        ("progress", whole("200 OK", &format!("{progress}{headers}"), "1,2\n")),
        (
            "turned away",
            whole(
                "500 E",
                "X-ClickHouse-Exception-Code: 202\r\n",
                "Code: 202. DB::Exception: Too many. (TOO_MANY_SIMULTANEOUS_QUERIES)\n",
            ),
        ),
        (
            "statement",
            whole("400 E", "", "Code: 62. DB::Exception: Syntax error. (SYNTAX_ERROR)\n"),
        ),
        ("engine", whole("500 E", "", memory)),
        ("no code, 503", whole("503 E", "", "busy\n")),
        ("no code, 500", whole("500 E", "", "oh\n")),
        ("tag", whole("200 OK", tagged, &marker)),
        ("last lines", whole("200 OK", headers, &format!("1\n{memory}"))),
        ("another query", whole("200 OK", "X-ClickHouse-Query-Id: r\r\n", "1\n")),
        ("coding", whole("200 OK", "Content-Encoding: zz\r\n", "1\n")),
        (
            "cut",
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n1,2\r\n{:x}\r\n{memory}\r\n", memory.len()),
        ),
        ("cut rows", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1\n".into()),
        ("to the close", "HTTP/1.0 200 OK\r\n\r\n1\n".into()),
        ("no HTTP", "what\r\n".into()),
    ] {
        let (mut http, mut seen) = (HttpSession::new("h".into()), Vec::new());
        let once = ParsedRequest {
            ..ask("client-name", b"SELECT 1")
        };
        let started = AttemptRequest {
            name: "q",
            ..start(key(1), &once)
        };
        http.start_attempt(&started, &mut Vec::new());
        let mut text = String::new();
        match http.decode(0, answer.as_bytes(), &mut Vec::new(), &mut seen) {
            Ok(()) => http.handle_eof(&mut seen),
            Err(e) => text = format!("connection ends: {e}\n"),
        }
        read.record(name, shown(&seen) + &text);
    }
    for (name, answer) in [
        ("probe", whole("200 OK", "", "Ok.\n")),
        ("probe, sick", whole("500 E", "", "oh\n")),
    ] {
        let (mut http, mut seen) = (HttpSession::new("h".into()), Vec::new());
        http.write_probe(9, &mut Vec::new());
        http.decode(0, answer.as_bytes(), &mut Vec::new(), &mut seen)
            .unwrap();
        read.record(name, shown(&seen));
    }
    assert_golden!("wire/clickhouse_in.txt", read.bytes());
}
