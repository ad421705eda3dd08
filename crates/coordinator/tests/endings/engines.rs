//! Responses of engines that end early, arrive twice, or precede a reset.

use super::{open, report, wait_until};
use driftfront_test_support::coordinator::line_engine::read_statement;
use driftfront_test_support::coordinator::platform_site::Site;
use driftfront_test_support::coordinator::{read_response, start_mock_server, Coordinator};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

#[test]
fn incomplete_response_fails_only_its_attempt() {
    let site = Site::start(2);
    for words in ["half", "half endless"] {
        assert_eq!(
            site.request("report", 15_000, &format!("SELECT {words}"))
                .status,
            200
        );
        assert_eq!(
            site.request_log.of(&format!("SELECT {words}")).len(),
            2,
            "{words}"
        );
        // The load has run and its result is lost: it is not run again, and the error is sent at once.
        assert_eq!(
            site.request("member-load", 25_000, &format!("INSERT {words}"))
                .status,
            500
        );
        assert_eq!(
            site.request_log.of(&format!("INSERT {words}")).len(),
            1,
            "{words}"
        );
    }
    assert_eq!(site.coordinator.counter("answers_overdue"), 0);
}

#[test]
fn late_duplicate_response_does_not_end_the_next_attempt() {
    let attempts = Arc::new(Mutex::new(Vec::<usize>::new()));
    let (recorded_attempts, connections) =
        (attempts.clone(), std::sync::atomic::AtomicUsize::new(0));
    let engine = start_mock_server(move |stream| {
        let number = connections.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let (mut input, mut out) = (BufReader::new(stream.try_clone().unwrap()), stream);
        let mut line = String::new();
        while input.read_line(&mut line).unwrap_or(0) > 0 {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            if let ["REQ", id, _, length] = words[..] {
                read_statement(&mut input, length);
                let attempt_count = {
                    let mut attempts = recorded_attempts.lock().unwrap();
                    attempts.push(number);
                    attempts.len()
                };
                // The first attempt fails. When the second one arrives, the response of the first is sent again, before any other.
                let fault = format!("{id} FAULT - 0\r\n\r\n");
                let hit = format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n");
                let answer = if attempt_count == 1 {
                    fault
                } else {
                    format!("{fault}{hit}")
                };
                let answer = if attempt_count > 1 && recorded_attempts.lock().unwrap()[0] != number
                {
                    hit
                } else {
                    answer
                };
                let _ = out.write_all(answer.as_bytes());
            } else if let ["STAT", tag] = words[..] {
                let _ = out.write_all(
                    format!("{tag} PONG gauges=inflight:0;queue:0;x0:0 0\r\n\r\n").as_bytes(),
                );
            }
            line.clear();
        }
    });
    let site = Site::with_engines(Arc::default(), vec![engine], |config| {
        Coordinator::start(&config)
    });
    assert_eq!(site.request("lookup", 2500, "SELECT 1").status, 200);
    // An id is used once per connection, so a late response can't be matched to another attempt.
    let attempts = attempts.lock().unwrap();
    assert!(
        attempts.len() == 2 && attempts[0] != attempts[1],
        "{attempts:?}"
    );
}

#[test]
fn response_before_a_reset_counts_during_a_write() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let received = Arc::new(Mutex::new(Vec::<String>::new()));
    let statements = received.clone();
    let engine = start_mock_server(move |mut stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while input.read_line(&mut line).unwrap_or(0) > 0 {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            if let ["REQ", id, _, length] = words[..] {
                let statement = read_statement(&mut input, length);
                statements.lock().unwrap().push(statement.clone());
                let _ = stream.write_all(format!("{id} INFO - 0\r\n\r\n").as_bytes());
                if statement == "SELECT first" {
                    let _ = released.lock().unwrap().recv();
                    let _ = stream
                        .write_all(format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n").as_bytes());
                    let _ =
                        socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
                    // The response is delivered before the reset.
                    return;
                }
                let _ =
                    stream.write_all(format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n").as_bytes());
            }
            line.clear();
        }
    });
    let edit = |config: String| config.replace("\"MayProbe\": true", "\"MayProbe\": false");
    let site = Site::with_engines(Arc::default(), vec![engine], |config| {
        Coordinator::start(&edit(config))
    });
    let mut first = open(&site, &report(1, "SELECT first"));
    wait_until("the engine has the first query", || {
        !received.lock().unwrap().is_empty()
    });
    let mut second = TcpStream::connect(site.coordinator.addr).unwrap();
    site.coordinator.wait_for_counter("connections_clients", 3);
    site.coordinator.suspend();
    // The program finds the second request first and writes it to the connection that the engine has already reset.
    second
        .write_all(report(2, "SELECT second").as_bytes())
        .unwrap();
    release.send(()).unwrap();
    wait_until("the engine has closed its connections", || {
        has_no_connections(engine)
    });
    site.coordinator.resume();
    assert_eq!(read_response(&mut first).status, 200);
    assert_eq!(read_response(&mut second).status, 200);
    assert_eq!(*received.lock().unwrap(), ["SELECT first", "SELECT second"]);
}

/// Whether the system's TCP table has no established connection with this port.
fn has_no_connections(engine: SocketAddr) -> bool {
    let port = format!(":{:04X}", engine.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let established = |line: &str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns.len() > 3
            && columns[3] == "01"
            && (columns[1].ends_with(&port) || columns[2].ends_with(&port))
    };
    !table.lines().any(established)
}
