//! Wires without sockets: random pieces of bytes and random steps against models of a connection's states.

use driftfront::backends::clickhouse::HttpSession;
use driftfront::backends::engine_protocol::LineSession;
use driftfront::backends::{AttemptRequest, EngineEvent, EngineSession};
use driftfront::discovery::etcd::Etcd;
use driftfront::discovery::stream::Stream;
use driftfront::discovery::{read, EngineListWatch};
use driftfront_core::{
    AttemptKey, AttemptReport, Cause, ListKind, ParsedRequest, Phase, RequestId,
};
use driftfront_engine_registry::{EngineRegistry, RegistryChange};
use driftfront_http::{
    chunk, HttpError, Request, RequestReader, ResponsePart, ResponseReader, LAST_CHUNK,
};
use driftfront_settings::json::{parse, Json};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use std::collections::BTreeMap;
use std::rc::Rc;
use tinyjson::JsonValue;

fn check(test: impl Testable) {
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(60, 20_261_201))
        .quickcheck(test);
}

/// Cuts bytes where the numbers say.
fn cut(bytes: &[u8], cuts: &[u8]) -> Vec<Vec<u8>> {
    let (mut rest, mut pieces) = (bytes, Vec::new());
    for &n in cuts {
        let (piece, after) = rest.split_at(usize::from(n).min(rest.len()));
        pieces.push(piece.to_vec());
        rest = after;
    }
    pieces.push(rest.to_vec());
    pieces
}

#[test]
fn requests_are_the_same_however_fragmented() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over values"
    )]
    fn same(bodies: Vec<Vec<u8>>, chunked: Vec<bool>, cuts: Vec<u8>) -> bool {
        let mut bytes = Vec::new();
        for (n, body) in bodies.iter().enumerate() {
            bytes.extend(format!("POST /{n} HTTP/1.1\r\nHost: t\r\n").bytes());
            if chunked.get(n).copied().unwrap_or(false) {
                bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
                body.chunks(7).for_each(|piece| bytes.extend(chunk(piece)));
                bytes.extend(LAST_CHUNK);
            } else {
                bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
                bytes.extend(body);
            }
        }
        let (mut reader, mut read) = (RequestReader::new(1 << 16), Vec::new());
        for piece in cut(&bytes, &cuts) {
            reader.push(&piece);
            while let Some(request) = reader.next_request().expect("well formed") {
                read.push(request);
            }
        }
        let fits = |(n, r): (usize, &Request)| r.target == format!("/{n}") && r.body == bodies[n];
        read.len() == bodies.len() && read.iter().enumerate().all(fits) && !reader.is_mid_message()
    }
    check(same as fn(Vec<Vec<u8>>, Vec<bool>, Vec<u8>) -> bool);
}

#[test]
fn readers_are_bounded_and_never_panic() {
    fn bounded(pieces: Vec<Vec<u8>>) -> bool {
        let (mut requests, mut responses) = (RequestReader::new(100), ResponseReader::default());
        responses.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for piece in pieces {
            requests.push(&piece);
            responses.push(&piece);
            while let Ok(Some(_)) = requests.next_request() {}
            while let Ok(Some(_)) = responses.next_part() {}
        }
        true
    }
    check(bounded as fn(Vec<Vec<u8>>) -> bool);
    let fault = |bytes: &[u8]| {
        let mut reader = RequestReader::new(100);
        reader.push(bytes);
        reader.next_request().err()
    };
    // Two ways to tell a body's end are how requests are smuggled past a front.
    let both = b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(fault(both), Some(HttpError::Malformed));
    assert_eq!(
        fault(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        Some(HttpError::Malformed)
    );
    assert_eq!(
        fault(b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n"),
        Some(HttpError::Malformed)
    );
    assert_eq!(
        fault(b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
        Some(HttpError::BodyTooLarge)
    );
    assert_eq!(fault(&[b'G'; 20_000]), Some(HttpError::HeadTooLarge));
}

/// What an engine or the coordinator does next on a connection in lines.
#[derive(Clone, Debug)]
enum Step {
    AttemptRequest(u8),
    Page(u8, bool),
    ProgressReport(u8),
    End(u8, bool),
    Stop(u8),
    Probe,
    Pong,
    Nonsense,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let id = u8::arbitrary(g) % 4;
        match u8::arbitrary(g) % 20 {
            0..=4 => Step::AttemptRequest(id),
            5..=11 => Step::Page(id, bool::arbitrary(g)),
            12 => Step::ProgressReport(id),
            13..=14 => Step::End(id, bool::arbitrary(g)),
            15..=16 => Step::Stop(id),
            17 => Step::Probe,
            18 => Step::Pong,
            _ => Step::Nonsense,
        }
    }
}

#[test]
#[allow(clippy::too_many_lines, reason = "a model and its steps")]
fn line_session_follows_its_model() {
    // The model: for each request open, how many of its three pages have come; and how often it ended without being served,
    // since its id goes by this connection no more then.
    #[allow(
        clippy::too_many_lines,
        clippy::needless_pass_by_value,
        reason = "a model and its steps, whose values quickcheck hands over"
    )]
    fn follows(steps: Vec<Step>, cuts: Vec<u8>) -> bool {
        let mut lines = LineSession::new(32, Rc::from(["inflight".to_string()]));
        let (mut model, mut probes): (BTreeMap<u8, usize>, Vec<u64>) =
            (BTreeMap::new(), Vec::new());
        let mut ended = [0usize; 4];
        let key = |id: u8| AttemptKey {
            request: RequestId(u64::from(id)),
            number: 0,
        };
        for (n, step) in steps.iter().enumerate() {
            let (mut out, mut seen, mut want, mut text) =
                (Vec::new(), Vec::new(), Vec::new(), String::new());
            let times = ended;
            let call = |id: u8| format!("c{id}.{}", times[usize::from(id)]);
            let earlier =
                |id: u8| Some(format!("c{id}.{}", times[usize::from(id)].checked_sub(1)?));
            match *step {
                Step::AttemptRequest(id) if !model.contains_key(&id) => {
                    let ask = ask(&call(id));
                    assert!(lines.can_start(&ask.name));
                    assert!(earlier(id).is_none_or(|call| !lines.can_start(&call)));
                    lines.start_attempt(
                        &AttemptRequest {
                            timeout: 1_500_999,
                            ..start(key(id), &ask)
                        },
                        &mut out,
                    );
                    assert_eq!(
                        String::from_utf8_lossy(&out),
                        format!("REQ {} kind=k,ms=1500 1\r\nx\r\n", ask.name)
                    );
                    model.insert(id, 0);
                }
                Step::AttemptRequest(id) => assert!(!lines.can_start(&call(id))),
                Step::Page(id, twice) => {
                    let come = model.get(&id).copied().unwrap_or(0);
                    text = match come {
                        0 => format!("{} HIT fetches=3 6\r\n0\ta\tb\n\r\n", call(id)),
                        come => {
                            format!("{} PART fetch_no={come} 6\r\n{come}\ta\tb\n\r\n", call(id))
                        }
                    };
                    if twice {
                        // The copy is not the model's, and neither is an answer under an unknown id, or to an attempt that ended.
                        let other = earlier(id).unwrap_or("c9".into());
                        text = format!("{text}{text}{other} HIT fetches=1 0\r\n\r\n");
                    }
                    if model.contains_key(&id) {
                        want.push(EngineEvent::ResponseStarted(key(id)));
                        model.insert(id, come + 1);
                    }
                    if come == 2 {
                        let rows = b"0\ta\tb\n1\ta\tb\n2\ta\tb\n".to_vec();
                        let piece = driftfront_core::ResponseChunk {
                            headers: Vec::new(),
                            rows,
                            is_only_chunk: true,
                        };
                        want.extend([
                            EngineEvent::ResponseChunk(key(id), piece),
                            told(key(id)),
                            EngineEvent::Served(key(id)),
                        ]);
                        model.remove(&id);
                    }
                }
                Step::ProgressReport(id) => {
                    text = format!("{} INFO res=w,figure=2 0\r\n\r\n", call(id));
                    let note = driftfront_core::ProgressReport::WaitsForLoad;
                    want.extend(
                        model
                            .contains_key(&id)
                            .then_some(EngineEvent::ProgressReported(key(id), note)),
                    );
                }
                Step::End(id, full) => {
                    text = format!(
                        "{} {} - 0\r\n\r\n",
                        call(id),
                        if full { "SHED" } else { "FAULT" }
                    );
                    let cause = if full {
                        Cause::Rejected
                    } else {
                        Cause::Engine("FAULT".into())
                    };
                    if model.remove(&id).is_some() {
                        ended[usize::from(id)] += 1;
                        want.extend([told(key(id)), EngineEvent::Failed(key(id), cause)]);
                    }
                }
                Step::Stop(id) => {
                    assert!(lines.stop_attempt(key(id), &mut out));
                    let was_open = model.remove(&id).is_some();
                    let stop = if was_open {
                        format!("STOP {}\r\n", call(id))
                    } else {
                        String::new()
                    };
                    assert_eq!(String::from_utf8_lossy(&out), stop);
                    ended[usize::from(id)] += usize::from(was_open);
                }
                Step::Probe if probes.len() < 8 => {
                    lines.write_probe(n as u64, &mut out);
                    probes.push(n as u64);
                }
                Step::Pong if !probes.is_empty() => {
                    let tag = probes.remove(0);
                    text = format!("p{tag} PONG gauges=inflight:7;queue:1 0\r\n\r\n");
                    want.push(EngineEvent::ProbeEnded(
                        tag,
                        driftfront_core::Outcome::Ok,
                        vec![7.0],
                    ));
                }
                Step::Probe | Step::Pong => {}
                Step::Nonsense => {
                    // The connection ends: what is open on it is what the model says.
                    assert!(lines
                        .decode(0, b"c1 HIT fetches=x\r\n", &mut out, &mut seen)
                        .is_err());
                    let open: Vec<AttemptKey> = model.keys().map(|&id| key(id)).collect();
                    return lines.open_attempts() == open;
                }
            }
            for piece in cut(text.as_bytes(), &cuts) {
                lines
                    .decode(0, &piece, &mut out, &mut seen)
                    .expect("well formed");
            }
            assert_eq!(seen, want, "{step:?}");
            assert_eq!(lines.is_idle(), model.is_empty() && probes.is_empty());
        }
        true
    }
    check(follows as fn(Vec<Step>, Vec<u8>) -> bool);
}

#[test]
#[allow(clippy::too_many_lines, reason = "tests list their cases")]
fn malformed_response_ends_its_attempt_and_the_connection() {
    let key = AttemptKey {
        request: RequestId(1),
        number: 0,
    };
    let open = || {
        let mut lines = LineSession::new(32, Rc::from([]));
        lines.start_attempt(&start(key, &ask("c1")), &mut Vec::new());
        lines
    };
    for (answer, known) in [
        ("c1 HIT fetches=1 4\r\na\tb\n\r\n", true),
        ("c1 HIT fetches=1 5\r\na\tb\tc\r\n", true),
        ("c1 HIT - 6\r\na\tb\tc\n\r\n", true),
        ("c1 HIT fetches=99 6\r\na\tb\tc\n\r\n", true),
        ("c1 PART fetch_no=1 6\r\na\tb\tc\n\r\n", true),
        ("c1 HIT fetches=1 5\r\na\tb\tc\n\r\n", false),
        ("c1 HIT fetches=1 3000000000\r\n", false),
        ("c9 WHAT - 0\r\n\r\n", false),
        (&"x".repeat(5000), false),
    ] {
        let (mut lines, mut seen) = (open(), Vec::new());
        assert!(
            lines
                .decode(0, answer.as_bytes(), &mut Vec::new(), &mut seen)
                .is_err(),
            "{answer}"
        );
        let spoilt =
            matches!(seen[..], [EngineEvent::Failed(k, Cause::MalformedResponse(_))] if k == key);
        assert_eq!(
            (spoilt, lines.open_attempts().is_empty()),
            (known, known),
            "{answer}"
        );
    }
    // One that stops short on an open connection holds up all behind it; it is given some time.
    let (mut lines, mut out, mut seen) = (open(), Vec::new(), Vec::new());
    lines
        .decode(0, b"c1 HIT fetches=1 600\r\na\tb", &mut out, &mut seen)
        .unwrap();
    assert!(lines.check_timeouts(400_000, &mut out, &mut seen).is_ok());
    lines
        .decode(450_000, b"\tc\n", &mut out, &mut seen)
        .unwrap();
    assert!(lines.check_timeouts(600_000, &mut out, &mut seen).is_err());
    // A page that never comes is asked for once more, then its attempt is over and the rest goes on.
    let mut lines = open();
    lines
        .decode(0, b"c1 HIT fetches=2 0\r\n\r\n", &mut out, &mut seen)
        .unwrap();
    let mut again = Vec::new();
    for now in [200_000, 300_000, 400_000] {
        lines.check_timeouts(now, &mut again, &mut seen).unwrap();
    }
    assert_eq!(String::from_utf8(again).unwrap(), "FETCH c1 1\r\n");
    seen.clear();
    lines
        .check_timeouts(1_300_000, &mut out, &mut seen)
        .unwrap();
    assert!(
        matches!(seen[..], [EngineEvent::Failed(k, Cause::MalformedResponse(_))] if k == key)
            && lines.is_idle()
    );
}

#[test]
fn response_of_another_query_ends_the_connection() {
    let key = AttemptKey {
        request: RequestId(1),
        number: 0,
    };
    for (name, fine) in [("c1", true), ("c0", false)] {
        let (mut http, mut seen) = (HttpSession::new("h".into()), Vec::new());
        http.start_attempt(&start(key, &ask("c1")), &mut Vec::new());
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: {name}\r\nContent-Length: 2\r\n\r\n1\n"
        );
        assert_eq!(
            http.decode(0, answer.as_bytes(), &mut Vec::new(), &mut seen)
                .is_ok(),
            fine
        );
        assert_eq!(seen.contains(&EngineEvent::Served(key)), fine);
    }
}

/// An attempt under its request's own name.
fn start(key: AttemptKey, ask: &ParsedRequest) -> AttemptRequest<'_> {
    AttemptRequest {
        key,
        request: ask,
        class: "k",
        name: &ask.name,
        timeout: 1000,
        grant_mb: 0.0,
        progress_interval: None,
    }
}

/// An engine that tells nothing of itself or the query.
fn told(key: AttemptKey) -> EngineEvent {
    EngineEvent::AttemptReport(key, AttemptReport::default())
}

fn ask(call: &str) -> ParsedRequest {
    ParsedRequest {
        name: call.into(),
        statement: Rc::from(*b"x"),
        ..ParsedRequest::default()
    }
}

#[test]
fn stream_events_are_the_same_however_fragmented() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over values"
    )]
    fn same(numbers: Vec<u8>, cuts: Vec<u8>) -> bool {
        let mut stream = Stream::new("h".into(), 0);
        let opened = String::from_utf8(stream.open_request()).unwrap();
        assert!(opened.contains("\r\nLast-Event-ID: 0\r\n"));
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        let (mut want, mut last) = (Vec::new(), 0);
        for n in numbers {
            let text = format!(": c\n\nid: {n}\r\ndata: {{\"n\":\ndata: {n}}}\n\n");
            bytes.extend(chunk(text.as_bytes()));
            // What has been told already comes again after a new connection, and must not count twice.
            if n > last {
                (last, want) = (n, [want, vec![f64::from(n)]].concat());
            }
        }
        let (mut updates, mut out) = (Vec::new(), Vec::new());
        for piece in cut(&bytes, &cuts) {
            stream
                .decode(&piece, &mut out, &mut updates)
                .expect("well formed");
        }
        let seen: Vec<f64> = updates
            .iter()
            .filter_map(|u| Json(Some(u)).get("n").number())
            .collect();
        assert!(String::from_utf8(stream.open_request())
            .unwrap()
            .contains(&format!("\r\nLast-Event-ID: {last}\r\n")));
        seen == want
    }
    check(same as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn cut_event_is_requested_again_a_bounded_number_of_times() {
    let mut stream = Stream::new("h".into(), 4);
    let mut connection = |events: &str| {
        let asked = String::from_utf8(stream.open_request()).unwrap();
        let asked = asked
            .lines()
            .find_map(|l| l.strip_prefix("Last-Event-ID: "))
            .unwrap()
            .to_string();
        let bytes = [b"HTTP/1.1 200 OK\r\n\r\n", events.as_bytes()].concat();
        let (mut updates, mut out) = (Vec::new(), Vec::new());
        let ended = stream.decode(&bytes, &mut out, &mut updates).is_err();
        (asked, ended, updates.len())
    };
    // It breaks off in the middle, and the next one comes right behind it.
    let cut = "id: 5\ndata: {\"index\":5,\"endp\nid: 6\ndata: {\"index\":6}\n\n";
    let whole = "id: 5\ndata: {\"index\":5}\n\nid: 6\ndata: {\"index\":6}\n\n";
    assert_eq!(connection(cut), ("4".into(), true, 0));
    assert_eq!(connection(whole), ("4".into(), false, 2));
    let never = "id: 7\ndata: {\n\nid: 8\ndata: {\"index\":8}\n\n";
    for _ in 0..3 {
        assert_eq!(connection(never), ("6".into(), true, 0));
    }
    assert_eq!(connection(never), ("6".into(), false, 1));
    assert_eq!(connection(""), ("8".into(), false, 0));
}

fn apply(roster: &mut EngineRegistry, text: &str) -> RegistryChange {
    let json: JsonValue = format!("{{\"endpoints\":{text}}}").parse().expect("JSON");
    take(roster, &json)
}

fn take(roster: &mut EngineRegistry, update: &JsonValue) -> RegistryChange {
    let names = (["a".to_string(), "b".to_string()], ["std-8".to_string()]);
    let told = read(&names.0, &names.1, Json(Some(update))).expect("an update");
    roster.apply_listing(told.kind, told.descriptions)
}

#[test]
fn engines_are_distinguished_by_instance_not_address() {
    let mut table = EngineRegistry::new();
    let line = |id: &str, phase: &str, more: &str| {
        format!("{{\"instanceId\":\"{id}\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"b\",\"lifecycle\":\"{phase}\"{more}}}")
    };
    let old = apply(
        &mut table,
        &format!(
            "{{\"reset\":true,\"instances\":[{}]}}",
            line("x", "ready", "")
        ),
    );
    assert_eq!(
        (old.kind, old.lines[0].zone, old.lines[0].phase),
        (ListKind::Full, 1, Phase::Ready)
    );
    let lines = [
        line("x", "gone", ""),
        line("y", "ready", ""),
        "{\"bad\":1}".into(),
    ]
    .join(",");
    let new = apply(&mut table, &format!("{{\"instances\":[{lines}]}}"));
    assert_eq!(
        (new.kind, new.lines.len(), new.lines[0].phase),
        (ListKind::Changes, 2, Phase::Gone)
    );
    assert_ne!(new.lines[0].engine, new.lines[1].engine);
    // A new process of the same instance: old connections lead nowhere.
    let again = apply(
        &mut table,
        &format!(
            "{{\"instances\":[{}]}}",
            line("y", "ready", ",\"startedAtMs\":5")
        ),
    );
    assert_eq!(
        (again.restarted.len(), again.lines[0].started_at),
        (1, Some(5000))
    );
    table.forget_engine(new.lines[0].engine);
    assert!(table.addr(new.lines[0].engine).is_none() && table.addr(new.lines[1].engine).is_some());
}

#[test]
fn etcd_list_is_a_range_followed_by_a_watch() {
    let mut etcd = Etcd::new("h".into(), "/e/".into());
    let (mut out, mut updates) = (Vec::new(), Vec::new());
    let asked = String::from_utf8(etcd.open_request()).unwrap();
    // "/e/" and "/e0" in base64: all keys under the prefix.
    assert!(
        asked.starts_with("POST /v3/kv/range ")
            && asked.ends_with(r#"{"key":"L2Uv","range_end":"L2Uw"}"#)
    );
    let answer = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    // Key "/e/x", value {"hostPort":"127.0.0.1:9"}.
    let range = r#"{"header":{"revision":"41"},"kvs":[{"key":"L2UveA==","value":"eyJob3N0UG9ydCI6IjEyNy4wLjAuMTo5In0="}]}"#;
    etcd.decode(answer(range).as_bytes(), &mut out, &mut updates)
        .unwrap();
    let mut table = EngineRegistry::new();
    let change = take(&mut table, &updates.remove(0));
    assert_eq!(
        (change.kind, change.lines[0].phase),
        (ListKind::Full, Phase::Ready)
    );
    assert!(
        String::from_utf8_lossy(&out).contains("POST /v3/watch ")
            && out.ends_with(b"\"start_revision\":\"42\"}}")
    );
    let event =
        r#"{"result":{"events":[{"type":"DELETE","kv":{"key":"L2UveA==","mod_revision":"50"}}]}}"#;
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    let created = chunk(b"{\"result\":{\"created\":true}}\n");
    etcd.decode(
        &[head.as_bytes(), &created, &chunk(event.as_bytes())].concat(),
        &mut out,
        &mut updates,
    )
    .unwrap();
    assert!(updates.is_empty(), "the line is not whole yet");
    etcd.decode(&chunk(b"\n"), &mut out, &mut updates).unwrap();
    let change = take(&mut table, &updates.remove(0));
    assert_eq!(
        (change.kind, change.lines[0].phase),
        (ListKind::Changes, Phase::Gone)
    );
    // A new connection goes on behind what was seen; a cancelled watch reads the whole range anew.
    assert!(etcd
        .open_request()
        .ends_with(b"\"start_revision\":\"51\"}}"));
    let cancelled = chunk(b"{\"result\":{\"canceled\":true,\"compact_revision\":\"90\"}}\n");
    assert!(etcd
        .decode(
            &[head.as_bytes(), &cancelled].concat(),
            &mut out,
            &mut updates
        )
        .is_err());
    assert!(etcd.open_request().starts_with(b"POST /v3/kv/range "));
}

#[test]
fn response_without_its_end_is_not_complete() {
    let mut reader = ResponseReader::default();
    reader.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    let mut parts = Vec::new();
    while let Some(part) = reader.next_part().unwrap() {
        parts.push(part);
    }
    assert!(!parts.contains(&ResponsePart::End) && !reader.is_complete_at_close());
}

#[test]
fn listed_coordinators_are_no_engines() {
    let update = parse(
        br#"{"endpoints":{"reset":true,"instances":[
            {"instanceId":"c-1","coordinator":"127.0.0.1:7946"},
            {"instanceId":"c-2","coordinator":"nowhere"},
            {"coordinator":"127.0.0.1:7947"},
            {"instanceId":"e-1","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}}"#,
    )
    .unwrap();
    let told = read(&[], &[], Json(Some(&update))).unwrap();
    assert_eq!(
        told.coordinators,
        [("c-1".to_string(), "127.0.0.1:7946".parse().unwrap())]
    );
    assert_eq!(
        told.descriptions
            .iter()
            .map(|f| f.name.as_str())
            .collect::<Vec<_>>(),
        ["e-1"]
    );
    assert_eq!(told.rejected_entries.len(), 2);
    let first = told.rejected_entries[0].to_string();
    assert!(first.contains("c-2") && first.contains("nowhere"));
}
