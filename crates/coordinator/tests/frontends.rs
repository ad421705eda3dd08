//! Request parsing and response writing of the platform frontend, without sockets.

use driftfront::frontends::platform::Platform;
use driftfront::frontends::{Frontend, FrontendAction, QueryClasses, ResponseWriter};
use driftfront_core::{ParsedRequest, ResponseChunk};
use driftfront_http::Request;
use std::rc::Rc;

fn post(path: &str, headers: &[(&str, &str)], body: &str) -> FrontendAction {
    let headers = headers
        .iter()
        .map(|h| (h.0.to_string(), h.1.to_string()))
        .collect();
    let (method, target, body) = ("POST".into(), path.into(), body.as_bytes().to_vec());
    let names: Vec<String> = vec!["lookup".into(), "member-load".into()];
    let mut frontend = Platform {
        classes: QueryClasses {
            names: names.into(),
            default_timeouts: Rc::from([2_500_000, 25_000_000]),
        },
        tenants: Rc::from(["east".to_string(), "west".to_string(), "east".to_string()]),
    };
    frontend.parse_request(
        Request {
            method,
            target,
            headers,
            body,
            close: false,
            has_more_body: false,
            version_1_1: true,
        },
        0,
        0,
    )
}

const CALL: (&str, &str) = ("X-Call-Id", "9b1f03aa5c7e2d41");

fn accepted(action: FrontendAction) -> ParsedRequest {
    match action {
        FrontendAction::Accept(request, _) => request,
        _ => panic!("not accepted"),
    }
}

fn status(action: FrontendAction) -> String {
    match action {
        FrontendAction::RejectBadRequest(bytes) => String::from_utf8_lossy(&bytes[9..12]).into(),
        _ => "none".into(),
    }
}

#[test]
fn timeout_of_a_keyed_request_is_reduced_by_the_client_delay() {
    let patience = ("X-Patience-Ms", "25000");
    let keyed = post(
        "/ops/member-load",
        &[CALL, patience, ("X-Entity", "7f3a9c21e0b4d655")],
        "x",
    );
    let request = accepted(keyed);
    assert_eq!(
        (request.client_timeout, request.ordering_key, request.class),
        (24_400_000, Some(0x7f3a_9c21_e0b4_d655), 1)
    );
    let lookup = post("/ops/lookup", &[CALL, ("X-Patience-Ms", "2500")], "x");
    assert_eq!(accepted(lookup).client_timeout, 2_500_000);
}

#[test]
fn invalid_requests_are_rejected_with_400_or_404() {
    let patience = ("X-Patience-Ms", "2500");
    assert_eq!(status(post("/ops/other", &[CALL, patience], "x")), "404");
    assert_eq!(status(post("/other", &[CALL, patience], "x")), "404");
    assert_eq!(status(post("/ops/lookup", &[patience], "x")), "400");
    assert_eq!(status(post("/ops/lookup", &[CALL], "x")), "400");
    for id in ["a STOP b", "9b1f03aa5c7e2d4", "+b1f03aa5c7e2d41", ""] {
        assert_eq!(
            status(post("/ops/lookup", &[("X-Call-Id", id), patience], "x")),
            "400",
            "{id}"
        );
        assert_eq!(
            status(post(
                "/ops/lookup",
                &[CALL, patience, ("X-Entity", id)],
                "x"
            )),
            "400"
        );
    }
    for timeout in ["NaN", "inf", "-1", "0", "5001", "1e300", "12 34", ""] {
        assert_eq!(
            status(post(
                "/ops/lookup",
                &[CALL, ("X-Patience-Ms", timeout)],
                "x"
            )),
            "400",
            "{timeout}"
        );
    }
    for header in [
        ("X-Weight-Ms", "1e10"),
        ("X-Need-Mb", "-3"),
        ("X-Repeat", "yes"),
        CALL,
    ] {
        assert_eq!(
            status(post("/ops/lookup", &[CALL, patience, header], "x")),
            "400",
            "{header:?}"
        );
    }
    for statement in ["", " \r\n", "SELECT \0"] {
        assert_eq!(
            status(post("/ops/lookup", &[CALL, patience], statement)),
            "400"
        );
    }
}

fn writer() -> Box<dyn ResponseWriter> {
    match post("/ops/lookup", &[CALL, ("X-Patience-Ms", "2500")], "x") {
        FrontendAction::Accept(_, writer) => writer,
        _ => panic!("not accepted"),
    }
}

#[test]
fn rows_are_written_unchanged_and_in_order() {
    let (mut response, mut out) = (writer(), Vec::new());
    let chunk = |rows: &str| ResponseChunk {
        headers: Vec::new(),
        rows: rows.into(),
        is_only_chunk: false,
    };
    response.write_chunk(&chunk("a\t1\t\"q\"\nb\t\t\u{e9}\n"), &mut out);
    response.write_chunk(&chunk("c\t2\ty\n"), &mut out);
    assert!(out.is_empty());
    response.finish(&mut out);
    let text = String::from_utf8(out).unwrap();
    let body =
        "{\"data\":[[\"a\",\"1\",\"\\\"q\\\"\"],[\"b\",\"\",\"\u{e9}\"],[\"c\",\"2\",\"y\"]]}";
    assert!(text.ends_with(body), "{text}");
    let mut empty = Vec::new();
    writer().finish(&mut empty);
    assert!(empty.ends_with(b"{\"data\":[]}"));
}
