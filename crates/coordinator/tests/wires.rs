//! Protocol decoders without sockets: randomly fragmented input, and random steps compared with a model of the
//! connection's state.

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

/// Splits bytes into fragments of the given lengths and the rest.
fn split_into_fragments(bytes: &[u8], lengths: &[u8]) -> Vec<Vec<u8>> {
    let (mut rest, mut fragments) = (bytes, Vec::new());
    for &length in lengths {
        let (fragment, after) = rest.split_at(usize::from(length).min(rest.len()));
        fragments.push(fragment.to_vec());
        rest = after;
    }
    fragments.push(rest.to_vec());
    fragments
}

#[test]
fn requests_are_the_same_however_fragmented() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn decodes_all_requests(bodies: Vec<Vec<u8>>, chunked: Vec<bool>, lengths: Vec<u8>) -> bool {
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
        let (mut reader, mut requests) = (RequestReader::new(1 << 16), Vec::new());
        for fragment in split_into_fragments(&bytes, &lengths) {
            reader.push(&fragment);
            while let Some(request) = reader.next_request().expect("well formed") {
                requests.push(request);
            }
        }
        let is_expected = |(n, request): (usize, &Request)| {
            request.target == format!("/{n}") && request.body == bodies[n]
        };
        requests.len() == bodies.len()
            && requests.iter().enumerate().all(is_expected)
            && !reader.is_mid_message()
    }
    check(decodes_all_requests as fn(Vec<Vec<u8>>, Vec<bool>, Vec<u8>) -> bool);
}

#[test]
fn readers_are_bounded_and_never_panic() {
    fn never_panics(fragments: Vec<Vec<u8>>) -> bool {
        let (mut requests, mut responses) = (RequestReader::new(100), ResponseReader::default());
        responses.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for fragment in fragments {
            requests.push(&fragment);
            responses.push(&fragment);
            while let Ok(Some(_)) = requests.next_request() {}
            while let Ok(Some(_)) = responses.next_part() {}
        }
        true
    }
    check(never_panics as fn(Vec<Vec<u8>>) -> bool);
    let error_of = |bytes: &[u8]| {
        let mut reader = RequestReader::new(100);
        reader.push(bytes);
        reader.next_request().err()
    };
    // Requests with two different framings of the body can be used for request smuggling.
    let both = b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(error_of(both), Some(HttpError::Malformed));
    assert_eq!(
        error_of(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        Some(HttpError::Malformed)
    );
    assert_eq!(
        error_of(b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n"),
        Some(HttpError::Malformed)
    );
    assert_eq!(
        error_of(b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
        Some(HttpError::BodyTooLarge)
    );
    assert_eq!(error_of(&[b'G'; 20_000]), Some(HttpError::HeadTooLarge));
}

/// One step of an engine or of the coordinator on a line protocol connection.
#[derive(Clone, Debug)]
enum Step {
    AttemptRequest(u8),
    Page(u8, bool),
    ProgressReport(u8),
    End(u8, bool),
    Stop(u8),
    Probe,
    Pong,
    Malformed,
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
            _ => Step::Malformed,
        }
    }
}

#[test]
#[allow(clippy::too_many_lines, reason = "a model and its steps")]
fn line_session_follows_its_model() {
    // The model has the number of pages received, of three, for each open request. It also counts how often each request
    // ended without being served, because an attempt name cannot be used again on the connection after that.
    #[allow(
        clippy::too_many_lines,
        clippy::needless_pass_by_value,
        reason = "a model and its steps; quickcheck passes arguments by value"
    )]
    fn follows_model(steps: Vec<Step>, lengths: Vec<u8>) -> bool {
        let mut session = LineSession::new(32, Rc::from(["inflight".to_string()]));
        let (mut model, mut probes): (BTreeMap<u8, usize>, Vec<u64>) =
            (BTreeMap::new(), Vec::new());
        let mut ended = [0usize; 4];
        let key = |id: u8| AttemptKey {
            request: RequestId(u64::from(id)),
            number: 0,
        };
        for (n, step) in steps.iter().enumerate() {
            let (mut out, mut events, mut expected, mut text) =
                (Vec::new(), Vec::new(), Vec::new(), String::new());
            let ended_before = ended;
            let name = |id: u8| format!("c{id}.{}", ended_before[usize::from(id)]);
            let earlier_name = |id: u8| {
                Some(format!(
                    "c{id}.{}",
                    ended_before[usize::from(id)].checked_sub(1)?
                ))
            };
            match *step {
                Step::AttemptRequest(id) if !model.contains_key(&id) => {
                    let request = parsed_request(&name(id));
                    assert!(session.can_start(&request.name));
                    assert!(earlier_name(id).is_none_or(|name| !session.can_start(&name)));
                    session.start_attempt(
                        &AttemptRequest {
                            timeout: 1_500_999,
                            ..attempt_request(key(id), &request)
                        },
                        &mut out,
                    );
                    assert_eq!(
                        String::from_utf8_lossy(&out),
                        format!("REQ {} kind=k,ms=1500 1\r\nx\r\n", request.name)
                    );
                    model.insert(id, 0);
                }
                Step::AttemptRequest(id) => assert!(!session.can_start(&name(id))),
                Step::Page(id, is_duplicated) => {
                    let received = model.get(&id).copied().unwrap_or(0);
                    text = match received {
                        0 => format!("{} HIT fetches=3 6\r\n0\ta\tb\n\r\n", name(id)),
                        page => {
                            format!("{} PART fetch_no={page} 6\r\n{page}\ta\tb\n\r\n", name(id))
                        }
                    };
                    if is_duplicated {
                        // Duplicate pages and responses under an unknown name or to an ended attempt must be ignored.
                        let ignored = earlier_name(id).unwrap_or("c9".into());
                        text = format!("{text}{text}{ignored} HIT fetches=1 0\r\n\r\n");
                    }
                    if model.contains_key(&id) {
                        expected.push(EngineEvent::ResponseStarted(key(id)));
                        model.insert(id, received + 1);
                    }
                    if received == 2 {
                        let rows = b"0\ta\tb\n1\ta\tb\n2\ta\tb\n".to_vec();
                        let chunk = driftfront_core::ResponseChunk {
                            headers: Vec::new(),
                            rows,
                            is_only_chunk: true,
                        };
                        expected.extend([
                            EngineEvent::ResponseChunk(key(id), chunk),
                            empty_report(key(id)),
                            EngineEvent::Served(key(id)),
                        ]);
                        model.remove(&id);
                    }
                }
                Step::ProgressReport(id) => {
                    text = format!("{} INFO res=w,figure=2 0\r\n\r\n", name(id));
                    let report = driftfront_core::ProgressReport::WaitsForLoad;
                    expected.extend(
                        model
                            .contains_key(&id)
                            .then_some(EngineEvent::ProgressReported(key(id), report)),
                    );
                }
                Step::End(id, is_rejection) => {
                    text = format!(
                        "{} {} - 0\r\n\r\n",
                        name(id),
                        if is_rejection { "SHED" } else { "FAULT" }
                    );
                    let cause = if is_rejection {
                        Cause::Rejected
                    } else {
                        Cause::Engine("FAULT".into())
                    };
                    if model.remove(&id).is_some() {
                        ended[usize::from(id)] += 1;
                        expected
                            .extend([empty_report(key(id)), EngineEvent::Failed(key(id), cause)]);
                    }
                }
                Step::Stop(id) => {
                    assert!(session.stop_attempt(key(id), &mut out));
                    let was_open = model.remove(&id).is_some();
                    let expected_line = if was_open {
                        format!("STOP {}\r\n", name(id))
                    } else {
                        String::new()
                    };
                    assert_eq!(String::from_utf8_lossy(&out), expected_line);
                    ended[usize::from(id)] += usize::from(was_open);
                }
                Step::Probe if probes.len() < 8 => {
                    session.write_probe(n as u64, &mut out);
                    probes.push(n as u64);
                }
                Step::Pong if !probes.is_empty() => {
                    let tag = probes.remove(0);
                    text = format!("p{tag} PONG gauges=inflight:7;queue:1 0\r\n\r\n");
                    expected.push(EngineEvent::ProbeEnded(
                        tag,
                        driftfront_core::Outcome::Ok,
                        vec![7.0],
                    ));
                }
                Step::Probe | Step::Pong => {}
                Step::Malformed => {
                    // The connection fails, and the open attempts are those of the model.
                    assert!(session
                        .decode(0, b"c1 HIT fetches=x\r\n", &mut out, &mut events)
                        .is_err());
                    let open: Vec<AttemptKey> = model.keys().map(|&id| key(id)).collect();
                    return session.open_attempts() == open;
                }
            }
            for fragment in split_into_fragments(text.as_bytes(), &lengths) {
                session
                    .decode(0, &fragment, &mut out, &mut events)
                    .expect("well formed");
            }
            assert_eq!(events, expected, "{step:?}");
            assert_eq!(session.is_idle(), model.is_empty() && probes.is_empty());
        }
        true
    }
    check(follows_model as fn(Vec<Step>, Vec<u8>) -> bool);
}

#[test]
#[allow(clippy::too_many_lines, reason = "a list of cases")]
fn malformed_response_ends_its_attempt_and_the_connection() {
    let key = AttemptKey {
        request: RequestId(1),
        number: 0,
    };
    let open = || {
        let mut session = LineSession::new(32, Rc::from([]));
        session.start_attempt(
            &attempt_request(key, &parsed_request("c1")),
            &mut Vec::new(),
        );
        session
    };
    for (response, has_known_attempt) in [
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
        let (mut session, mut events) = (open(), Vec::new());
        assert!(
            session
                .decode(0, response.as_bytes(), &mut Vec::new(), &mut events)
                .is_err(),
            "{response}"
        );
        let attempt_failed =
            matches!(events[..], [EngineEvent::Failed(k, Cause::MalformedResponse(_))] if k == key);
        assert_eq!(
            (attempt_failed, session.open_attempts().is_empty()),
            (has_known_attempt, has_known_attempt),
            "{response}"
        );
    }
    // An incomplete response blocks those after it on its connection; the connection fails after a timeout.
    let (mut session, mut out, mut events) = (open(), Vec::new(), Vec::new());
    session
        .decode(0, b"c1 HIT fetches=1 600\r\na\tb", &mut out, &mut events)
        .unwrap();
    assert!(session
        .check_timeouts(400_000, &mut out, &mut events)
        .is_ok());
    session
        .decode(450_000, b"\tc\n", &mut out, &mut events)
        .unwrap();
    assert!(session
        .check_timeouts(600_000, &mut out, &mut events)
        .is_err());
    // A missing page is requested once more; then its attempt fails and the connection stays in use.
    let mut session = open();
    session
        .decode(0, b"c1 HIT fetches=2 0\r\n\r\n", &mut out, &mut events)
        .unwrap();
    let mut second_requests = Vec::new();
    for now in [200_000, 300_000, 400_000] {
        session
            .check_timeouts(now, &mut second_requests, &mut events)
            .unwrap();
    }
    assert_eq!(
        String::from_utf8(second_requests).unwrap(),
        "FETCH c1 1\r\n"
    );
    events.clear();
    session
        .check_timeouts(1_300_000, &mut out, &mut events)
        .unwrap();
    assert!(
        matches!(events[..], [EngineEvent::Failed(k, Cause::MalformedResponse(_))] if k == key)
            && session.is_idle()
    );
}

#[test]
fn response_of_another_query_ends_the_connection() {
    let key = AttemptKey {
        request: RequestId(1),
        number: 0,
    };
    for (name, is_expected) in [("c1", true), ("c0", false)] {
        let (mut http, mut events) = (HttpSession::new("h".into()), Vec::new());
        http.start_attempt(
            &attempt_request(key, &parsed_request("c1")),
            &mut Vec::new(),
        );
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: {name}\r\nContent-Length: 2\r\n\r\n1\n"
        );
        assert_eq!(
            http.decode(0, response.as_bytes(), &mut Vec::new(), &mut events)
                .is_ok(),
            is_expected
        );
        assert_eq!(events.contains(&EngineEvent::Served(key)), is_expected);
    }
}

/// An attempt with the same name as its request.
fn attempt_request(key: AttemptKey, request: &ParsedRequest) -> AttemptRequest<'_> {
    AttemptRequest {
        key,
        request,
        class: "k",
        name: &request.name,
        timeout: 1000,
        grant_mb: 0.0,
        progress_interval: None,
    }
}

/// The report of an attempt whose engine sent no figures.
fn empty_report(key: AttemptKey) -> EngineEvent {
    EngineEvent::AttemptReport(key, AttemptReport::default())
}

fn parsed_request(name: &str) -> ParsedRequest {
    ParsedRequest {
        name: name.into(),
        statement: Rc::from(*b"x"),
        ..ParsedRequest::default()
    }
}

#[test]
fn stream_events_are_the_same_however_fragmented() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn decodes_all_events(numbers: Vec<u8>, lengths: Vec<u8>) -> bool {
        let mut stream = Stream::new("h".into(), 0);
        let opened = String::from_utf8(stream.open_request()).unwrap();
        assert!(opened.contains("\r\nLast-Event-ID: 0\r\n"));
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        let (mut expected, mut last) = (Vec::new(), 0);
        for n in numbers {
            let text = format!(": c\n\nid: {n}\r\ndata: {{\"n\":\ndata: {n}}}\n\n");
            bytes.extend(chunk(text.as_bytes()));
            // A source may repeat events after a reconnection; repeated events must be skipped.
            if n > last {
                (last, expected) = (n, [expected, vec![f64::from(n)]].concat());
            }
        }
        let (mut updates, mut out) = (Vec::new(), Vec::new());
        for fragment in split_into_fragments(&bytes, &lengths) {
            stream
                .decode(&fragment, &mut out, &mut updates)
                .expect("well formed");
        }
        let received: Vec<f64> = updates
            .iter()
            .filter_map(|u| Json(Some(u)).get("n").number())
            .collect();
        assert!(String::from_utf8(stream.open_request())
            .unwrap()
            .contains(&format!("\r\nLast-Event-ID: {last}\r\n")));
        received == expected
    }
    check(decodes_all_events as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn truncated_event_is_requested_again_a_bounded_number_of_times() {
    let mut stream = Stream::new("h".into(), 4);
    let mut connection = |events: &str| {
        let request = String::from_utf8(stream.open_request()).unwrap();
        let last_event_id = request
            .lines()
            .find_map(|l| l.strip_prefix("Last-Event-ID: "))
            .unwrap()
            .to_string();
        let bytes = [b"HTTP/1.1 200 OK\r\n\r\n", events.as_bytes()].concat();
        let (mut updates, mut out) = (Vec::new(), Vec::new());
        let ended = stream.decode(&bytes, &mut out, &mut updates).is_err();
        (last_event_id, ended, updates.len())
    };
    // The data of event 5 is truncated, and event 6 follows directly.
    let truncated = "id: 5\ndata: {\"index\":5,\"endp\nid: 6\ndata: {\"index\":6}\n\n";
    let complete = "id: 5\ndata: {\"index\":5}\n\nid: 6\ndata: {\"index\":6}\n\n";
    assert_eq!(connection(truncated), ("4".into(), true, 0));
    assert_eq!(connection(complete), ("4".into(), false, 2));
    let always_truncated = "id: 7\ndata: {\n\nid: 8\ndata: {\"index\":8}\n\n";
    for _ in 0..3 {
        assert_eq!(connection(always_truncated), ("6".into(), true, 0));
    }
    assert_eq!(connection(always_truncated), ("6".into(), false, 1));
    assert_eq!(connection(""), ("8".into(), false, 0));
}

fn apply_endpoints(registry: &mut EngineRegistry, text: &str) -> RegistryChange {
    let json: JsonValue = format!("{{\"endpoints\":{text}}}").parse().expect("JSON");
    apply_update(registry, &json)
}

fn apply_update(registry: &mut EngineRegistry, update: &JsonValue) -> RegistryChange {
    let names = (["a".to_string(), "b".to_string()], ["std-8".to_string()]);
    let listing = read(&names.0, &names.1, Json(Some(update))).expect("a valid update");
    registry.apply_listing(listing.kind, listing.descriptions)
}

#[test]
fn engines_are_distinguished_by_instance_not_address() {
    let mut registry = EngineRegistry::new();
    let instance = |id: &str, lifecycle: &str, more_fields: &str| {
        format!("{{\"instanceId\":\"{id}\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"b\",\"lifecycle\":\"{lifecycle}\"{more_fields}}}")
    };
    let old = apply_endpoints(
        &mut registry,
        &format!(
            "{{\"reset\":true,\"instances\":[{}]}}",
            instance("x", "ready", "")
        ),
    );
    assert_eq!(
        (old.kind, old.engines[0].zone, old.engines[0].phase),
        (ListKind::Full, 1, Phase::Ready)
    );
    let instances = [
        instance("x", "gone", ""),
        instance("y", "ready", ""),
        "{\"bad\":1}".into(),
    ]
    .join(",");
    let new = apply_endpoints(&mut registry, &format!("{{\"instances\":[{instances}]}}"));
    assert_eq!(
        (new.kind, new.engines.len(), new.engines[0].phase),
        (ListKind::Changes, 2, Phase::Gone)
    );
    assert_ne!(new.engines[0].engine, new.engines[1].engine);
    // A new start time means a new process of the same instance; connections to the old one are no longer valid.
    let again = apply_endpoints(
        &mut registry,
        &format!(
            "{{\"instances\":[{}]}}",
            instance("y", "ready", ",\"startedAtMs\":5")
        ),
    );
    assert_eq!(
        (again.restarted.len(), again.engines[0].started_at),
        (1, Some(5000))
    );
    registry.forget_engine(new.engines[0].engine);
    assert!(
        registry.addr(new.engines[0].engine).is_none()
            && registry.addr(new.engines[1].engine).is_some()
    );
}

#[test]
fn etcd_list_is_a_range_followed_by_a_watch() {
    let mut etcd = Etcd::new("h".into(), "/e/".into());
    let (mut out, mut updates) = (Vec::new(), Vec::new());
    let request = String::from_utf8(etcd.open_request()).unwrap();
    // "/e/" and "/e0" in base64: the range of all keys with the prefix.
    assert!(
        request.starts_with("POST /v3/kv/range ")
            && request.ends_with(r#"{"key":"L2Uv","range_end":"L2Uw"}"#)
    );
    let response = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    // Key "/e/x", value {"hostPort":"127.0.0.1:9"}.
    let range = r#"{"header":{"revision":"41"},"kvs":[{"key":"L2UveA==","value":"eyJob3N0UG9ydCI6IjEyNy4wLjAuMTo5In0="}]}"#;
    etcd.decode(response(range).as_bytes(), &mut out, &mut updates)
        .unwrap();
    let mut registry = EngineRegistry::new();
    let change = apply_update(&mut registry, &updates.remove(0));
    assert_eq!(
        (change.kind, change.engines[0].phase),
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
    assert!(updates.is_empty(), "the line is incomplete");
    etcd.decode(&chunk(b"\n"), &mut out, &mut updates).unwrap();
    let change = apply_update(&mut registry, &updates.remove(0));
    assert_eq!(
        (change.kind, change.engines[0].phase),
        (ListKind::Changes, Phase::Gone)
    );
    // A new connection resumes after the last revision received; after a cancelled watch the whole range is read again.
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
fn listed_coordinators_are_not_engines() {
    let update = parse(
        br#"{"endpoints":{"reset":true,"instances":[
            {"instanceId":"c-1","coordinator":"127.0.0.1:7946"},
            {"instanceId":"c-2","coordinator":"nowhere"},
            {"coordinator":"127.0.0.1:7947"},
            {"instanceId":"e-1","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}}"#,
    )
    .unwrap();
    let listing = read(&[], &[], Json(Some(&update))).unwrap();
    assert_eq!(
        listing.coordinators,
        [("c-1".to_string(), "127.0.0.1:7946".parse().unwrap())]
    );
    assert_eq!(
        listing
            .descriptions
            .iter()
            .map(|description| description.name.as_str())
            .collect::<Vec<_>>(),
        ["e-1"]
    );
    assert_eq!(listing.rejected_entries.len(), 2);
    let first = listing.rejected_entries[0].to_string();
    assert!(first.contains("c-2") && first.contains("nowhere"));
}
