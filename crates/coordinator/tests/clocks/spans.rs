//! Deadlines, timeouts and grace periods while the wall clock is set: none ends early, and none is extended.

use super::{site, HOUR, SECOND};
use driftfront_test_support::coordinator::platform_site::Site;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

fn send(site: &Site, class: &str, client_timeout_ms: u32, statement: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.coordinator.addr).expect("the coordinator listens");
    let id = driftfront::net::fnv1a_64(statement.as_bytes());
    let length = statement.len();
    write!(
        stream,
        "POST /ops/{class} HTTP/1.1\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: {client_timeout_ms}\r\n\
         Content-Length: {length}\r\n\r\n{statement}"
    )
    .expect("the coordinator accepts the request");
    stream
}

/// Whether the first byte of a response arrives within this time.
fn responds_within(stream: &mut TcpStream, timeout: Duration) -> bool {
    stream
        .set_read_timeout(Some(timeout))
        .expect("the timeout is set");
    matches!(stream.read(&mut [0; 1]), Ok(1))
}

#[test]
fn deadline_holds_when_the_wall_clock_is_set_back() {
    let (site, clock, _) = site(1, 5.0, WINDOW);
    let mut pending = send(&site, "lookup", 1500, "SELECT silent");
    site.request_log.wait_for("SELECT silent", 1);
    clock.set(-HOUR);
    // The request's 1.5 s, the allowed delay of a response, and a margin for a busy machine.
    assert!(
        responds_within(&mut pending, Duration::from_millis(3000)),
        "{}",
        site.coordinator.log()
    );
}

#[test]
fn requests_do_not_end_early_when_the_wall_clock_is_set_forward() {
    for step in [3 * SECOND, 20 * SECOND, HOUR] {
        let (site, clock, _) = site(1, 5.0, WINDOW);
        let mut running = send(&site, "report", 14_000, "SELECT silent");
        site.request_log.wait_for("SELECT silent", 1);
        clock.set(step);
        site.coordinator.wait_for_counter("wall_clock_steps", 1);
        // Much longer than the periodic check that would end the request early, and much shorter than any timeout that is due.
        assert!(
            !responds_within(&mut running, Duration::from_millis(400)),
            "step {step}"
        );
        assert_eq!(site.request_log.of("SELECT silent").len(), 1, "step {step}");
        assert_eq!(site.list.last_event_ids().len(), 1, "step {step}");
    }
}

#[test]
fn shutdown_keeps_its_deadlines_when_the_wall_clock_is_set() {
    for step in [-HOUR, HOUR] {
        let (mut site, clock, _) = site(1, 5.0, WINDOW);
        let mut pending = send(&site, "report", 14_000, "SELECT silent");
        site.request_log.wait_for("SELECT silent", 1);
        let start = Instant::now();
        site.coordinator.terminate();
        clock.set(step);
        // The platform kills the process 3.7 s after its signal. The response must come before that, but not at once.
        assert!(
            responds_within(&mut pending, Duration::from_secs(6)),
            "step {step}"
        );
        let responded = start.elapsed();
        drop(pending);
        assert!(site.coordinator.wait().success());
        assert!(
            responded > Duration::from_secs(2),
            "step {step}: responded after {responded:?}"
        );
    }
}
