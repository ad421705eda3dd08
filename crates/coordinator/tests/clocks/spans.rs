//! Deadlines, waits and graces while the wall clock is set: nothing ends early, and nothing stands still.

use super::{site, HOUR, SECOND};
use driftfront_test_support::coordinator::platform_site::Site;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

fn send(site: &Site, class: &str, patience_ms: u32, statement: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.coordinator.addr).expect("the coordinator listens");
    let id = driftfront::net::fnv1a_64(statement.as_bytes());
    let length = statement.len();
    write!(
        stream,
        "POST /ops/{class} HTTP/1.1\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: {patience_ms}\r\n\
         Content-Length: {length}\r\n\r\n{statement}"
    )
    .expect("it reads");
    stream
}

/// Whether an answer's first byte comes within this time.
fn answers_within(stream: &mut TcpStream, time: Duration) -> bool {
    stream.set_read_timeout(Some(time)).expect("a timeout");
    matches!(stream.read(&mut [0; 1]), Ok(1))
}

#[test]
fn deadline_holds_when_the_wall_clock_is_set_back() {
    let (site, clock, _) = site(1, 5.0, WINDOW);
    let mut hangs = send(&site, "lookup", 1500, "SELECT silent");
    site.request_log.wait_for("SELECT silent", 1);
    clock.set(-HOUR);
    // Its time, the slack of the rules, and what a busy machine takes.
    assert!(
        answers_within(&mut hangs, Duration::from_millis(3000)),
        "{}",
        site.coordinator.log()
    );
}

#[test]
fn requests_do_not_end_early_when_the_wall_clock_is_set_forward() {
    for step in [3 * SECOND, 20 * SECOND, HOUR] {
        let (site, clock, _) = site(1, 5.0, WINDOW);
        let mut runs = send(&site, "report", 14_000, "SELECT silent");
        site.request_log.wait_for("SELECT silent", 1);
        clock.set(step);
        site.coordinator.wait_for_counter("wall_clock_steps", 1);
        // Far longer than the sweep that would end it, far shorter than any time-out that is due.
        assert!(
            !answers_within(&mut runs, Duration::from_millis(400)),
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
        let mut hangs = send(&site, "report", 14_000, "SELECT silent");
        site.request_log.wait_for("SELECT silent", 1);
        let begin = Instant::now();
        site.coordinator.terminate();
        clock.set(step);
        // The platform kills 3.7 s behind its signal, and the answer goes out before that; not at once, though.
        assert!(
            answers_within(&mut hangs, Duration::from_secs(6)),
            "step {step}"
        );
        let answered = begin.elapsed();
        drop(hangs);
        assert!(site.coordinator.wait().success());
        assert!(
            answered > Duration::from_secs(2),
            "step {step}: answered after {answered:?}"
        );
    }
}
