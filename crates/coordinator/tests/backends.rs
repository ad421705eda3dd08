//! Engine sessions of the backends, fed with bytes instead of sockets.

use driftfront::backends::clickhouse::HttpSession;
use driftfront::backends::{AttemptRequest, EngineEvent, EngineSession};
use driftfront_core::{AttemptKey, ParsedRequest, ProgressReport, RequestId};

/// Returns the progress that a session reports for a query when the engine sends this header value.
fn reported_progress(header_value: &str) -> Option<f64> {
    let mut session = HttpSession::new("engine".into());
    let request = ParsedRequest::default();
    let attempt = AttemptRequest {
        key: AttemptKey {
            request: RequestId(1),
            number: 0,
        },
        request: &request,
        class: "lookup",
        name: "q",
        timeout: 1_000_000,
        grant_mb: 0.0,
        progress_interval: None,
    };
    session.start_attempt(&attempt, &mut Vec::new());
    let head = format!("HTTP/1.1 200 OK\r\nX-ClickHouse-Progress: {header_value}\r\n");
    let mut events = Vec::new();
    session
        .decode(0, head.as_bytes(), &mut Vec::new(), &mut events)
        .expect("well formed");
    events.iter().find_map(|event| match event {
        EngineEvent::ProgressReported(_, ProgressReport::Progress(share)) => Some(*share),
        _ => None,
    })
}

#[test]
fn progress_share_is_read_from_the_progress_header() {
    let running =
        r#"{"read_rows":"2752512","read_bytes":"240570816","total_rows_to_read":"8880128"}"#;
    assert!(reported_progress(running).is_some_and(|share| (share - 0.31).abs() < 0.001));
    assert_eq!(
        reported_progress(r#"{"read_rows":"5","total_rows_to_read":"0"}"#),
        None
    );
    assert_eq!(reported_progress("nonsense"), None);
    assert_eq!(
        reported_progress(r#"{"read_rows":9, "total_rows_to_read": 3}"#),
        Some(1.0)
    );
}
