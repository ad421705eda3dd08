//! Formatting and parsing of requests and replies.

use driftfront_control::{LineReader, LineTooLong, Reply, Request, RequestError};

#[test]
fn requests_round_trip() {
    let engine = || "engine-1".to_string();
    for request in [
        Request::Snapshot,
        Request::Follow(250),
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
            zone: "a".into(),
            kind: String::new(),
        },
        Request::Remove {
            engine: engine(),
            force: false,
        },
        Request::Roll(vec![engine(), "b\"\n".into()], true),
        Request::Hold {
            name: "room-a".into(),
            for_s: 600,
            stays: true,
            note: "a fan".into(),
        },
        Request::Unhold("room-a".into()),
        Request::EngineReturned,
        Request::RollStop,
        Request::RollResume,
        Request::Auth("00ff".into()),
    ] {
        assert_eq!(
            Request::read(request.line(7).trim_end()),
            (7, Ok(request.clone()))
        );
    }
}

#[test]
fn errors_are_reported_with_the_id_of_the_line() {
    assert_eq!(Request::read("nonsense"), (0, Err(RequestError::NotJson)));
    assert_eq!(
        Request::read(r#"{"id":3,"v":2,"do":"snapshot"}"#),
        (3, Err(RequestError::Version(2)))
    );
    assert_eq!(
        Request::read(r#"{"id":4,"v":1,"do":"drain"}"#),
        (4, Err(RequestError::Missing("engine")))
    );
    assert_eq!(
        Request::read(r#"{"id":5,"v":1,"do":"dance"}"#),
        (5, Err(RequestError::Unknown("dance".into())))
    );
}

#[test]
fn replies_round_trip_and_lines_are_bounded() {
    for reply in [
        Reply::Done("a\nb".into()),
        Reply::Refused("no".into()),
        Reply::Event(5, "x".into()),
    ] {
        assert_eq!(Reply::read(reply.line(9).trim_end()), Some((9, reply)));
    }
    let mut lines = LineReader::default();
    lines.push(b"one\r\ntwo");
    assert_eq!(lines.next_line(100), Ok(Some("one".into())));
    assert_eq!(lines.next_line(100), Ok(None));
    lines.push(&[b'x'; 200]);
    assert_eq!(lines.next_line(100), Err(LineTooLong));
}
