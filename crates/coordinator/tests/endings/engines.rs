//! Answers and connections of engines that end at a bad moment.

use super::{open, report, until};
use driftfront_test_support::coordinator::line_engine::read_statement;
use driftfront_test_support::coordinator::platform_site::Site;
use driftfront_test_support::coordinator::{read_response, start_mock_server, Coordinator};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

#[test]
fn half_a_response_fails_one_attempt() {
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
        // It has run, and what it gave is lost: no other run, and an answer at once.
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
    let tried = Arc::new(Mutex::new(Vec::<usize>::new()));
    let (seen, connections) = (tried.clone(), std::sync::atomic::AtomicUsize::new(0));
    let engine = start_mock_server(move |stream| {
        let number = connections.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let (mut input, mut out) = (BufReader::new(stream.try_clone().unwrap()), stream);
        let mut line = String::new();
        while input.read_line(&mut line).unwrap_or(0) > 0 {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            if let ["REQ", id, _, length] = words[..] {
                read_statement(&mut input, length);
                let tries = {
                    let mut seen = seen.lock().unwrap();
                    seen.push(number);
                    seen.len()
                };
                // The first attempt fails. Once the second is here the first one's end comes again, before any answer.
                let fault = format!("{id} FAULT - 0\r\n\r\n");
                let hit = format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n");
                let answer = if tries == 1 {
                    fault
                } else {
                    format!("{fault}{hit}")
                };
                let answer = if tries > 1 && seen.lock().unwrap()[0] != number {
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
    // Each id goes once over a connection, so that what comes late has nobody to be taken for.
    let tried = tried.lock().unwrap();
    assert!(tried.len() == 2 && tried[0] != tried[1], "{tried:?}");
}

#[test]
fn response_before_a_reset_counts_during_a_write() {
    let (go, goes) = channel::<()>();
    let goes = Mutex::new(goes);
    let asked = Arc::new(Mutex::new(Vec::<String>::new()));
    let seen = asked.clone();
    let engine = start_mock_server(move |mut stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while input.read_line(&mut line).unwrap_or(0) > 0 {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            if let ["REQ", id, _, length] = words[..] {
                let statement = read_statement(&mut input, length);
                seen.lock().unwrap().push(statement.clone());
                let _ = stream.write_all(format!("{id} INFO - 0\r\n\r\n").as_bytes());
                if statement == "SELECT first" {
                    let _ = goes.lock().unwrap().recv();
                    let _ = stream
                        .write_all(format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n").as_bytes());
                    let _ =
                        socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
                    // The answer is there before the reset is.
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
    until("it is asked", || !asked.lock().unwrap().is_empty());
    let mut second = TcpStream::connect(site.coordinator.addr).unwrap();
    site.coordinator.wait_for_counter("connections_clients", 3);
    site.coordinator.suspend();
    // The program finds the second request first, and with it something to send where all has ended.
    second
        .write_all(report(2, "SELECT second").as_bytes())
        .unwrap();
    go.send(()).unwrap();
    until("the engine has ended", || engine_has_ended(engine));
    site.coordinator.resume();
    assert_eq!(read_response(&mut first).status, 200);
    assert_eq!(read_response(&mut second).status, 200);
    assert_eq!(*asked.lock().unwrap(), ["SELECT first", "SELECT second"]);
}

/// Whether no connection to this address is established any more, by the system's table.
fn engine_has_ended(engine: SocketAddr) -> bool {
    let port = format!(":{:04X}", engine.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let established = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.len() > 3
            && words[3] == "01"
            && (words[1].ends_with(&port) || words[2].ends_with(&port))
    };
    !table.lines().any(established)
}
