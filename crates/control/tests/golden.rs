//! Compares the control protocol, its messages and the generated command texts with golden files, byte for byte; see
//! `golden/README.md`.
//!
//! The members of a JSON object are unordered, so lines are compared with their members sorted by name.

use driftfront_control::management::{self, CallError, CallReader};
use driftfront_control::snapshot::{
    Class, Consensus, Engine, Lease, Member, Query, RollingRestart, Service, Snapshot, Voter,
};
use driftfront_control::{challenge_in, commands, greeting, key};
use driftfront_control::{
    LineReader, Reply, Request, RequestError, MAX_REPLY_BYTES, MAX_REQUEST_BYTES, VERSION,
};
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write as _;
use tinyjson::JsonValue;

/// Formats a JSON value with the members of its objects sorted by name.
fn format_sorted(value: &JsonValue) -> String {
    match value {
        JsonValue::Object(fields) => {
            let mut fields: Vec<_> = fields.iter().collect();
            fields.sort_by_key(|f| f.0);
            let format_member = |(name, value): (&String, &JsonValue)| {
                let name = JsonValue::from(name.clone()).stringify().expect("a name");
                format!("{name}:{}", format_sorted(value))
            };
            let members: Vec<String> = fields.into_iter().map(format_member).collect();
            format!("{{{}}}", members.join(","))
        }
        JsonValue::Array(list) => {
            let elements: Vec<String> = list.iter().map(format_sorted).collect();
            format!("[{}]", elements.join(","))
        }
        other => other.stringify().expect("a value"),
    }
}

/// Checks that the text is a single line, and sorts the members of its object.
fn sorted_line(line: &str) -> String {
    assert!(line.ends_with('\n') && line.matches('\n').count() == 1);
    format_sorted(&line.parse().expect("JSON")) + "\n"
}

fn requests() -> Vec<Request> {
    let engine = || "engine-1".to_string();
    vec![
        Request::Snapshot,
        Request::Follow(250),
        Request::Events(false),
        Request::Events(true),
        Request::Drain {
            engine: engine(),
            force: true,
        },
        Request::Resume(engine()),
        Request::Pause,
        Request::Unpause,
        Request::Add {
            engine: engine(),
            addr: "127.0.0.1:1".into(),
            zone: "room-a".into(),
            kind: "std-8".into(),
        },
        Request::Remove {
            engine: engine(),
            force: false,
        },
        Request::Roll(vec![engine(), "b\"\n".into()], true),
        Request::Roll(Vec::new(), false),
        Request::EngineReturned,
        Request::Hold {
            name: "room-a".into(),
            for_s: 600,
            stays: true,
            note: "a fan".into(),
        },
        Request::Unhold("room-a".into()),
        Request::RollStop,
        Request::RollResume,
        Request::Auth("00ff".into()),
    ]
}

#[test]
fn requests_match_golden_file() {
    let mut text = String::new();
    for (n, request) in requests().iter().enumerate() {
        text += &sorted_line(&request.line(n as u64));
    }
    assert_golden!("requests.jsonl", text);
    let golden = String::from_utf8(read_golden!("requests.jsonl")).expect("text");
    for ((n, request), line) in requests().into_iter().enumerate().zip(golden.lines()) {
        assert_eq!(Request::read(line), (n as u64, Ok(request)));
    }
    assert_eq!(golden.lines().count(), requests().len());
}

#[test]
fn missing_request_members_take_their_defaults() {
    let read = |line: &str| Request::read(line);
    assert_eq!(
        read(r#"{"id":1,"v":1,"do":"follow"}"#),
        (1, Ok(Request::Follow(1000)))
    );
    assert_eq!(
        read(r#"{"v":1,"do":"follow","every_ms":1}"#),
        (0, Ok(Request::Follow(50)))
    );
    assert_eq!(
        read(r#"{"v":1,"do":"follow","every_ms":1e9}"#),
        (0, Ok(Request::Follow(60_000)))
    );
    assert_eq!(
        read(r#"{"v":1,"do":"events"}"#),
        (0, Ok(Request::Events(false)))
    );
    assert_eq!(
        read(r#"{"v":1,"do":"drain","engine":"e"}"#),
        (
            0,
            Ok(Request::Drain {
                engine: "e".into(),
                force: false
            })
        )
    );
    assert_eq!(
        read(r#"{"v":1,"do":"add","engine":"e"}"#),
        (
            0,
            Ok(Request::Add {
                engine: "e".into(),
                addr: String::new(),
                zone: String::new(),
                kind: String::new(),
            })
        )
    );
    assert_eq!(
        read(r#"{"v":1,"do":"roll","engines":["a",1,"b"]}"#),
        (0, Ok(Request::Roll(vec!["a".into(), "b".into()], false)))
    );
    assert_eq!(
        read(r#"{"v":1,"do":"hold","name":"n","for_s":2.5}"#),
        (
            0,
            Ok(Request::Hold {
                name: "n".into(),
                for_s: 2,
                stays: false,
                note: String::new()
            })
        )
    );
}

#[test]
fn request_errors_match_golden_file() {
    let mut text = String::new();
    for line in [
        "nonsense",
        "[1]",
        "{}",
        r#"{"id":2,"v":1}"#,
        r#"{"id":3,"v":2,"do":"snapshot"}"#,
        r#"{"id":4,"v":1,"do":"drain"}"#,
        r#"{"id":4,"v":1,"do":"drain","engine":""}"#,
        r#"{"id":4,"v":1,"do":"drain","engine":5}"#,
        r#"{"id":5,"v":1,"do":"dance \u00e9"}"#,
        r#"{"id":5,"v":1,"do":"a word of more than forty characters, which is cut"}"#,
        r#"{"id":6,"v":1,"do":"hold","name":"n"}"#,
        r#"{"id":6,"v":1,"do":"hold","for_s":1}"#,
        r#"{"id":7,"v":1,"do":"unhold"}"#,
        r#"{"id":8,"v":1,"do":"auth"}"#,
        r#"{"id":-8,"v":1.5,"do":"pause"}"#,
    ] {
        let (id, request) = Request::read(line);
        let answer =
            request.map_or_else(|error: RequestError| error.to_string(), |_| "read".into());
        let _ = writeln!(text, "{line}\n    {id}: {answer}");
    }
    assert_golden!("bad-requests.txt", text);
}

#[test]
fn greeting_and_key_answer_match_golden_files() {
    let plain = greeting("0.9.1", None);
    let challenge = greeting("0.9.1", Some("c0ffee"));
    assert_golden!(
        "greeting.jsonl",
        sorted_line(&plain) + &sorted_line(&challenge)
    );
    let golden = String::from_utf8(read_golden!("greeting.jsonl")).expect("text");
    let read: Vec<_> = golden.lines().map(challenge_in).collect();
    assert_eq!(read, [Some(None), Some(Some("c0ffee".into()))]);
    assert_eq!(challenge_in("hello"), None);
    assert_eq!(
        (VERSION, MAX_REQUEST_BYTES, MAX_REPLY_BYTES),
        (1, 16_384, 16_777_216)
    );
    assert_golden!("key-answer.txt", key::answer(b"a key", "c0ffee"));
    let answer = String::from_utf8(read_golden!("key-answer.txt")).expect("text");
    assert!(key::verify_answer(b"a key", "c0ffee", &answer));
}

fn service(asked: u64) -> Service {
    Service {
        asked,
        served: 9,
        in_time: 8,
        refused: 2,
        failed: 1,
        p50_ms: 12.25,
        p99_ms: 1_250.5,
    }
}

fn engines() -> Vec<Engine> {
    let engine = |n: u64, phase: &str| Engine {
        name: format!("engine-{n}"),
        addr: format!("127.0.0.1:1812{n}"),
        zone: "room-a".into(),
        kind: "std-8".into(),
        phase: phase.into(),
        listed: Some("ready".into()),
        added: false,
        order: String::new(),
        order_by: String::new(),
        order_age_s: 0,
        running: 0,
        imports: 0,
        heard_ms: Some(20),
        connections: n,
        warm_in_s: 0,
        minute: service(12),
    };
    vec![
        engine(1, "ready"),
        Engine {
            running: 4,
            imports: 1,
            heard_ms: Some(12_000),
            ..engine(2, "ready")
        },
        Engine {
            running: 2,
            imports: 2,
            order: "drain".into(),
            order_by: "operator".into(),
            order_age_s: 300,
            ..engine(3, "draining")
        },
        Engine {
            listed: None,
            added: true,
            heard_ms: None,
            order: "remove".into(),
            order_by: "a roll".into(),
            order_age_s: 200_000,
            minute: Service::default(),
            ..engine(4, "gone")
        },
        Engine {
            warm_in_s: 9,
            heard_ms: Some(1_500),
            ..engine(5, "ready")
        },
        Engine {
            listed: Some("draining".into()),
            ..engine(6, "draining")
        },
    ]
}

fn members() -> Vec<Member> {
    let member = |name: &str, standing: &str, me: bool| Member {
        name: name.into(),
        addr: "127.0.0.1:7946".into(),
        standing: standing.into(),
        for_s: 7_300,
        zone: "room-a".into(),
        region: "north".into(),
        build: "0.9.1".into(),
        state: "ready".into(),
        since_ms: 1_764_000_000_000,
        told_age_s: Some(3),
        me,
    };
    vec![
        member("coordinator-a", "there", true),
        member("coordinator-b", "doubted", false),
        Member {
            told_age_s: None,
            state: String::new(),
            ..member("coordinator-c", "gone", false)
        },
    ]
}

fn consensus() -> Consensus {
    let voter = |name: &str, there| Voter {
        name: name.into(),
        there,
    };
    let lease = |name: &str, left_s, stays| Lease {
        name: name.into(),
        fence: 17,
        owner: "coordinator-a".into(),
        amount: 1,
        left_s,
        stays,
        note: "a fan".into(),
    };
    Consensus {
        part: "votes".into(),
        leader: "coordinator-a".into(),
        term: 4,
        index: 1_234,
        voters: vec![
            voter("coordinator-a", true),
            voter("coordinator-b", true),
            voter("coordinator-c", false),
        ],
        missing: Vec::new(),
        holds: vec![
            lease("room-a", Some(600), false),
            lease("room-b", Some(90), true),
            lease("room-c", None, true),
        ],
    }
}

fn classes() -> Vec<Class> {
    vec![
        Class {
            name: "lookup".into(),
            wanted_ms: 500,
            once: false,
            open: 3,
            minute: service(12),
            hour: service(1_000),
        },
        Class {
            name: "import".into(),
            wanted_ms: 3_000,
            once: true,
            open: 2,
            minute: Service::default(),
            hour: service(10),
        },
    ]
}

fn snapshot() -> Snapshot {
    Snapshot {
        version: "0.9.1".into(),
        name: "school \"north\"".into(),
        at: 1_764_000_000_000_000,
        up_s: 93_784,
        listen: "127.0.0.1:8123".into(),
        front: "clickhouse".into(),
        ready: true,
        stopping: false,
        state: "ready".into(),
        source: "the file engines.json".into(),
        source_age_s: Some(17),
        forgets: "Orders end with the program: there is no folder for them.".into(),
        open: 5,
        connections: vec![3, 7],
        engines: engines(),
        classes: classes(),
        queries: vec![
            Query {
                call: "load-7".into(),
                class: "import".into(),
                engine: "engine-2".into(),
                age_ms: 12_345,
                import: true,
            },
            Query {
                call: "q\t1".into(),
                class: "lookup".into(),
                engine: String::new(),
                age_ms: 4,
                import: false,
            },
        ],
        sessions: vec![12, 3],
        roll: Some(RollingRestart {
            stage: "draining".into(),
            engine: "engine-3".into(),
            left: vec!["engine-3".into(), "engine-5".into()],
            through: vec!["engine-1".into()],
            why: "engine-3 still runs 2 imports: they are not sent again, so it waits".into(),
        }),
        members: members(),
        agreed: Some(consensus()),
    }
}

#[test]
fn replies_match_golden_file() {
    let replies = || {
        vec![
            Reply::Done("engine-1 is drained: nothing new goes there\n".into()),
            Reply::Refused("there is no engine e".into()),
            Reply::Event(1_764_000_000_000_000, "engine-1: ready -> draining".into()),
            Reply::Snapshot(Box::new(snapshot())),
            Reply::Snapshot(Box::default()),
        ]
    };
    let mut text = String::new();
    for (n, reply) in replies().iter().enumerate() {
        text += &sorted_line(&reply.line(n as u64));
    }
    assert_golden!("replies.jsonl", text);
    let golden = String::from_utf8(read_golden!("replies.jsonl")).expect("text");
    assert_eq!(golden.lines().count(), replies().len());
    for ((n, reply), line) in replies().into_iter().enumerate().zip(golden.lines()) {
        assert_eq!(Reply::read(line), Some((n as u64, reply)));
    }
}

#[test]
fn replies_of_other_versions_are_readable() {
    let read = |line: &str| Reply::read(line);
    let newer =
        read(r#"{"id":1,"newer":1,"snapshot":{"name":"n","newer":[],"engines":[{"name":"e"}]}}"#);
    let engine = Engine {
        name: "e".into(),
        ..Engine::default()
    };
    let expected = Snapshot {
        name: "n".into(),
        engines: vec![engine],
        ..Snapshot::default()
    };
    assert_eq!(newer, Some((1, Reply::Snapshot(Box::new(expected)))));
    for line in [
        "nonsense",
        r#"{"done":"x"}"#,
        r#"{"id":1}"#,
        r#"{"id":1,"event":"x"}"#,
        r#"{"id":1,"snapshot":5}"#,
        r#"{"id":1,"snapshot":{"name":5}}"#,
        r#"{"id":1,"snapshot":{"engines":[{"running":-1}]}}"#,
    ] {
        assert_eq!(read(line), None, "{line}");
    }
    // Fractions of integer members are truncated.
    let truncated = read(r#"{"id":1,"snapshot":{"open":2.75,"connections":[1.5]}}"#);
    let Some((1, Reply::Snapshot(snapshot))) = truncated else {
        panic!("a snapshot")
    };
    assert_eq!((snapshot.open, &snapshot.connections[..]), (2, &[1][..]));
}

#[test]
fn nan_and_infinity_are_written_as_zero() {
    let service = Service {
        p50_ms: f64::NAN,
        p99_ms: f64::INFINITY,
        ..Service::default()
    };
    let snapshot = Snapshot {
        engines: vec![Engine {
            minute: service,
            ..Engine::default()
        }],
        ..Snapshot::default()
    };
    let line = Reply::Snapshot(Box::new(snapshot)).line(1);
    let Some((1, Reply::Snapshot(read))) = Reply::read(line.trim_end()) else {
        panic!("a snapshot")
    };
    assert_eq!(read.engines[0].minute, Service::default());
}

#[test]
fn lines_are_split_and_bounded() {
    let mut lines = LineReader::default();
    lines.push(b"one\r\ntwo\n\xff\nrest");
    for expected in [Some("one"), Some("two"), Some("\u{fffd}"), None] {
        assert_eq!(lines.next_line(4), Ok(expected.map(String::from)));
    }
    lines.push(b"x");
    assert!(lines.next_line(4).is_err());
}

#[test]
fn management_replies_match_golden_file() {
    let mut text = String::new();
    for line in [
        &b"STATUS\n"[..],
        b"STATUS\r\n",
        b"  SUSPEND   s-00c41f7a \n",
        b"RESTORE e1\n",
        b"PAUSE\n",
        b"RESUME\n",
        b"\n",
        b"status\n",
        b"a-word-of-more-than-forty-characters-which-is-cut-short\n",
        b"SUSPEND\n",
        b"RESTORE\n",
        b"PAUSE now\n",
        b"RESTORE a b\n",
        b"STA\xffTUS\n",
        b"STATUS\tx\n",
    ] {
        let call = CallReader::default().push(line).expect("a complete line");
        let outcome = call
            .map(|call| {
                let name = management::CALL_NAMES[call.index()];
                format!("call {} {name}", call.index())
            })
            .map_err(|error| error.to_string());
        let reply = management::reply(&outcome);
        let _ = write!(text, "{}\n    {reply}", line.escape_ascii());
    }
    for error in [
        CallError::TooLong,
        CallError::Unfinished,
        CallError::TooSlow,
    ] {
        let _ = write!(text, "{}", management::reply(&Err(error.to_string())));
    }
    text += &management::reply::<String>(&Ok(String::new()));
    text += &management::reply::<String>(&Ok("two\nlines\t\u{7f} here ".into()));
    text += &management::reply(&Err(String::new()));
    assert_golden!("management.txt", text);
    assert_eq!(management::MAX_CALL_BYTES, 1024);
}

/// The output of the program from a golden file of the coordinator, where it follows the command line and the exit code.
fn program_output(name: &str) -> String {
    let coordinator = concat!(env!("CARGO_MANIFEST_DIR"), "/../coordinator");
    let bytes = driftfront_test_support::golden::read(coordinator, &format!("operators/{name}"));
    let text = String::from_utf8(bytes).expect("text");
    let mut parts = text.splitn(3, '\n');
    let command_line = parts.next().expect("a command line");
    assert!(command_line.starts_with("$ driftfront "), "{command_line}");
    assert_eq!(parts.next(), Some("[0]"));
    parts.next().expect("the output").to_string()
}

#[test]
fn help_completions_and_manual_match_golden_files() {
    let help = program_output("help.txt");
    let (help, _) = help.split_once("the same: ").expect("help of commands");
    assert_eq!(commands::help(), help);
    for shell in ["bash", "zsh", "fish"] {
        let text = commands::completions(shell).expect("known");
        assert_eq!(text, program_output(&format!("completions.{shell}")));
    }
    assert_eq!(commands::manual(), program_output("manual.1"));
    let mut text = String::new();
    for exit in commands::EXIT_CODES {
        let _ = writeln!(text, "{} {}", exit.code, exit.about);
    }
    assert_golden!("exit-codes.txt", text);
}
