//! SIGTERM, and requests that arrive while the process shuts down.

use super::{
    load, open, read_to_close, request, site_with_busy_key, site_with_gate, wait_for_duration,
    wait_until,
};
use driftfront_test_support::coordinator::platform_site::Site;
use driftfront_test_support::coordinator::{read_next_response, read_response};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn wait_until_listener_closed(site: &Site) {
    wait_until("the listener is closed", || {
        TcpStream::connect(site.coordinator.addr).is_err()
    });
}

#[test]
fn request_after_the_shutdown_grace_is_rejected() {
    let mut site = Site::start(1);
    let mut running = open(&site, &request("report", 1, "", "SELECT silent"));
    site.request_log.wait_for("SELECT silent", 1);
    let mut idle = open(&site, &request("lookup", 2, "", "SELECT 2"));
    assert_eq!(read_response(&mut idle).status, 200);
    let late = request("lookup", 3, "", "SELECT late");
    let mut partial = open(&site, &late[..40]);
    site.coordinator.wait_for_counter("connections_clients", 4);
    site.coordinator.terminate();
    // Once no more requests are accepted, idle connections are closed without a reset. The hanging engine keeps the process alive.
    assert_eq!(read_to_close(&mut idle).unwrap(), b"");
    partial.write_all(&late.as_bytes()[40..]).unwrap();
    let answer = read_response(&mut partial);
    assert_eq!(
        (answer.status, answer.header("Connection")),
        (429, Some("close"))
    );
    assert_eq!(site.request_log.of("SELECT late").len(), 0);
    // The listener is closed, and the request that was accepted before is still answered.
    wait_until_listener_closed(&site);
    assert_eq!(read_response(&mut running).status, 429);
    assert!(site.coordinator.wait().success());
}

#[test]
fn queued_requests_are_rejected_before_the_process_is_killed() {
    let (mut site, mut first, gate) = site_with_busy_key();
    let mut second = open(&site, &load(2, "INSERT second"));
    site.coordinator.wait_for_counter("requests_taken", 2);
    let start = Instant::now();
    site.coordinator.terminate();
    // The second load has most of its client timeout left, but waits for the first one, which has the same ordering key and
    // occupies the only engine.
    assert_eq!(read_response(&mut second).status, 429);
    // The first load has started and must not run again on another engine.
    assert_eq!(read_response(&mut first).status, 500);
    gate.open();
    assert!(site.coordinator.wait().success());
    // Both loads have a client timeout of 25 s, and the process exits much earlier.
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(site.request_log.of("INSERT").len(), 1);
}

#[test]
fn response_written_at_exit_is_not_lost_to_unread_bytes() {
    let (mut site, mut first, gate) = site_with_busy_key();
    site.coordinator.terminate();
    // After the listener is closed, only this request keeps the process running.
    wait_until_listener_closed(&site);
    // The program finds two events at once: the engine's response, and a request that it won't accept any more.
    site.coordinator.suspend();
    gate.open();
    site.request_log.wait_until("the load's end", |entries| {
        entries.iter().any(|e| e.end_seq.is_some())
    });
    first
        .write_all(request("lookup", 9, "", "SELECT never").as_bytes())
        .unwrap();
    site.coordinator.resume();
    let mut reader = Default::default();
    assert_eq!(read_next_response(&mut first, &mut reader).status, 200);
    // The connection is closed without a reset.
    assert!(read_to_close(&mut first).is_ok());
    drop(first);
    assert!(site.coordinator.wait().success());
    assert_eq!(site.request_log.of("SELECT never").len(), 0);
}

#[test]
fn requests_during_a_stop_past_the_grace_period_are_answered() {
    let (mut site, gate) = site_with_gate(1);
    let mut running = open(&site, &request("lookup", 1, "", "SELECT held"));
    site.request_log.wait_for("SELECT held", 1);
    let mut idle = open(&site, &request("lookup", 2, "", "SELECT 2"));
    assert_eq!(read_response(&mut idle).status, 200);
    site.coordinator.terminate();
    wait_until("the shutdown has begun", || {
        site.coordinator.is_shutting_down()
    });
    site.coordinator.suspend();
    // One request is on a connection in the listener's backlog, one on an idle connection. Both connections are due to be closed as
    // soon as the process continues.
    let mut backlog = open(&site, &request("lookup", 3, "", "SELECT late"));
    idle.write_all(request("lookup", 4, "", "SELECT late").as_bytes())
        .unwrap();
    wait_for_duration(Duration::from_millis(1000));
    site.coordinator.resume();
    for late in [&mut backlog, &mut idle] {
        let answer = read_response(late);
        assert_eq!(
            (answer.status, answer.header("Connection")),
            (429, Some("close"))
        );
        assert_eq!(read_to_close(late).unwrap(), b"");
    }
    gate.open();
    assert_eq!(read_response(&mut running).status, 200);
    assert!(site.coordinator.wait().success());
    assert_eq!(site.request_log.of("SELECT late").len(), 0);
}

#[test]
fn hung_attempts_are_answered_before_the_process_is_killed() {
    let (mut site, gate) = site_with_gate(1);
    let mut read = open(
        &site,
        &request("report", 1, "", "SELECT held").replace("2400", "15000"),
    );
    let mut load = open(&site, &load(2, "INSERT held"));
    site.request_log.wait_for("SELECT held", 1);
    site.request_log.wait_for("INSERT held", 1);
    let start = Instant::now();
    site.coordinator.terminate();
    // A read may run again on another engine; a load that has started may not.
    assert_eq!(read_response(&mut read).status, 429);
    assert_eq!(read_response(&mut load).status, 500);
    assert!(site.coordinator.wait().success());
    // The platform kills the process after 3.7 s; the requests' own deadlines are much later.
    assert!(start.elapsed() < Duration::from_secs(10));
    gate.open();
}

#[test]
fn request_partially_received_at_exit_gets_408() {
    let mut site = Site::start(1);
    let mut partial = open(&site, &request("lookup", 1, "", "SELECT half")[..40]);
    site.coordinator.wait_for_counter("connections_clients", 2);
    site.coordinator.terminate();
    let mut reader = Default::default();
    assert_eq!(read_next_response(&mut partial, &mut reader).status, 408);
    // The rest of the request arrives after the 408. The connection is still closed without a reset.
    partial
        .write_all(&request("lookup", 1, "", "SELECT half").as_bytes()[40..])
        .unwrap();
    assert!(read_to_close(&mut partial).is_ok());
    drop(partial);
    assert!(site.coordinator.wait().success());
    assert_eq!(site.request_log.of("SELECT half").len(), 0);
}
