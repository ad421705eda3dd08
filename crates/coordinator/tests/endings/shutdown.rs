//! SIGTERM, and what comes while the process leaves.

use super::{held, let_pass, load, open, request, rest, until, with_key_taken};
use driftfront_test_support::coordinator::platform_site::Site;
use driftfront_test_support::coordinator::{read_next_response, read_response};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn until_nobody_listens(site: &Site) {
    until("nobody listens", || {
        TcpStream::connect(site.coordinator.addr).is_err()
    });
}

#[test]
fn request_after_the_shutdown_grace_is_rejected() {
    let mut site = Site::start(1);
    let mut out = open(&site, &request("report", 1, "", "SELECT silent"));
    site.request_log.wait_for("SELECT silent", 1);
    let mut resting = open(&site, &request("lookup", 2, "", "SELECT 2"));
    assert_eq!(read_response(&mut resting).status, 200);
    let late = request("lookup", 3, "", "SELECT late");
    let mut half = open(&site, &late[..40]);
    site.coordinator.wait_for_counter("connections_clients", 4);
    site.coordinator.terminate();
    // Whoever rests is sent away in order once nothing more is taken; the engine hangs, so that the process stays.
    assert_eq!(rest(&mut resting).unwrap(), b"");
    half.write_all(&late.as_bytes()[40..]).unwrap();
    let answer = read_response(&mut half);
    assert_eq!(
        (answer.status, answer.header("Connection")),
        (429, Some("close"))
    );
    assert_eq!(site.request_log.of("SELECT late").len(), 0);
    // Nobody listens any more, while what was taken before is answered all the same.
    until_nobody_listens(&site);
    assert_eq!(read_response(&mut out).status, 429);
    assert!(site.coordinator.wait().success());
}

#[test]
fn queued_requests_are_rejected_before_a_restart_kills() {
    let (mut site, mut first, gate) = with_key_taken();
    let mut second = open(&site, &load(2, "INSERT second"));
    site.coordinator.wait_for_counter("requests_taken", 2);
    let begin = Instant::now();
    site.coordinator.terminate();
    // Its time is far from over, but the first of its key holds the only engine.
    assert_eq!(read_response(&mut second).status, 429);
    // The first has begun, and may not run again elsewhere.
    assert_eq!(read_response(&mut first).status, 500);
    gate.open();
    assert!(site.coordinator.wait().success());
    // Both have 25 s.
    assert!(begin.elapsed() < Duration::from_secs(10));
    assert_eq!(site.request_log.of("INSERT").len(), 1);
}

#[test]
fn response_written_at_exit_is_not_lost_to_unread_bytes() {
    let (mut site, mut first, gate) = with_key_taken();
    site.coordinator.terminate();
    // Once nobody listens only this request keeps the process.
    until_nobody_listens(&site);
    // The answer, and a request that nobody will take, come to the program at one moment.
    site.coordinator.suspend();
    gate.open();
    site.request_log
        .wait_until("the load's end", |all| all.iter().any(|e| e.over.is_some()));
    first
        .write_all(request("lookup", 9, "", "SELECT never").as_bytes())
        .unwrap();
    site.coordinator.resume();
    let mut reader = Default::default();
    assert_eq!(read_next_response(&mut first, &mut reader).status, 200);
    // In order: an end, not a reset.
    assert!(rest(&mut first).is_ok());
    drop(first);
    assert!(site.coordinator.wait().success());
    assert_eq!(site.request_log.of("SELECT never").len(), 0);
}

#[test]
fn requests_during_a_freeze_past_the_grace_are_answered() {
    let (mut site, gate) = held(1);
    let mut out = open(&site, &request("lookup", 1, "", "SELECT held"));
    site.request_log.wait_for("SELECT held", 1);
    let mut resting = open(&site, &request("lookup", 2, "", "SELECT 2"));
    assert_eq!(read_response(&mut resting).status, 200);
    site.coordinator.terminate();
    until("the signal is taken", || {
        site.coordinator.is_shutting_down()
    });
    site.coordinator.suspend();
    // One in the backlog of a listener, one on a connection at rest: both are to be closed as soon as it goes on.
    let mut backlog = open(&site, &request("lookup", 3, "", "SELECT late"));
    resting
        .write_all(request("lookup", 4, "", "SELECT late").as_bytes())
        .unwrap();
    let_pass(Duration::from_millis(1000));
    site.coordinator.resume();
    for late in [&mut backlog, &mut resting] {
        let answer = read_response(late);
        assert_eq!(
            (answer.status, answer.header("Connection")),
            (429, Some("close"))
        );
        assert_eq!(rest(late).unwrap(), b"");
    }
    gate.open();
    assert_eq!(read_response(&mut out).status, 200);
    assert!(site.coordinator.wait().success());
    assert_eq!(site.request_log.of("SELECT late").len(), 0);
}

#[test]
fn hung_attempts_are_answered_before_a_restart_kills() {
    let (mut site, gate) = held(1);
    let mut read = open(
        &site,
        &request("report", 1, "", "SELECT held").replace("2400", "15000"),
    );
    let mut load = open(&site, &load(2, "INSERT held"));
    site.request_log.wait_for("SELECT held", 1);
    site.request_log.wait_for("INSERT held", 1);
    let begin = Instant::now();
    site.coordinator.terminate();
    // A read may run again elsewhere; a load that has begun may not.
    assert_eq!(read_response(&mut read).status, 429);
    assert_eq!(read_response(&mut load).status, 500);
    assert!(site.coordinator.wait().success());
    // The kill comes after 3.7 s; their own deadlines are far off.
    assert!(begin.elapsed() < Duration::from_secs(10));
    gate.open();
}

#[test]
fn request_half_read_at_exit_gets_408() {
    let mut site = Site::start(1);
    let mut half = open(&site, &request("lookup", 1, "", "SELECT half")[..40]);
    site.coordinator.wait_for_counter("connections_clients", 2);
    site.coordinator.terminate();
    let mut reader = Default::default();
    assert_eq!(read_next_response(&mut half, &mut reader).status, 408);
    // Its last bytes cross that: an end in order all the same.
    half.write_all(&request("lookup", 1, "", "SELECT half").as_bytes()[40..])
        .unwrap();
    assert!(rest(&mut half).is_ok());
    drop(half);
    assert!(site.coordinator.wait().success());
    assert_eq!(site.request_log.of("SELECT half").len(), 0);
}
