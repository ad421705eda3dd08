//! End-to-end tests of the platform frontend: clients, the coordinator process, mock engines and a mock engine list.

use driftfront_test_support::coordinator::engine_list::EngineList;
use driftfront_test_support::coordinator::platform_site::{config, Site};
use driftfront_test_support::coordinator::{
    call, read_next_response, read_response, start_mock_server, Coordinator,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

#[test]
fn result_is_complete_with_all_its_pages() {
    let site = Site::start(2);
    let one = site.request("lookup", 2500, "SELECT 1");
    assert_eq!(
        (one.status, one.text().as_str()),
        (200, "{\"data\":[[\"1\",\"a\",\"b\"]]}")
    );
    let rows: Vec<String> = (0..8)
        .flat_map(|n| std::iter::repeat_n(format!("[\"{n}\",\"a\",\"b\"]"), 900))
        .collect();
    let complete_body = format!("{{\"data\":[{}]}}", rows.join(","));
    assert_eq!(
        site.request("report", 15_000, "SELECT pages").text(),
        complete_body
    );
    // The connection closes after the first page. A read may be retried, because no row has been sent to the client yet.
    assert_eq!(
        site.request("report", 15_000, "SELECT pages lost").text(),
        complete_body
    );
    assert_eq!(site.request_log.of("pages lost").len(), 2);
    assert_eq!(
        site.request("member-load", 15_000, "INSERT pages lost")
            .status,
        500
    );
    site.request_log.assert_rules(4);
}

#[test]
fn engine_is_suspected_when_all_idle_connections_are_reset() {
    let (close, close_signal) = channel::<()>();
    let close_signal = Mutex::new(close_signal);
    let failing_engine = start_mock_server(move |mut stream| {
        // The request is left partly unread, so that closing the socket resets the connection.
        let mut head = [0; 20];
        stream.read_exact(&mut head).unwrap();
        let id = head.split(|b| *b == b' ').nth(1).unwrap();
        stream
            .write_all(&[id, b" HIT fetches=1 6\r\n1\ta\tb\n\r\n"].concat())
            .unwrap();
        let _ = close_signal.lock().unwrap().recv();
    });
    let list = EngineList::start();
    let coordinator =
        Coordinator::start(&config(list.addr).replace("\"MayProbe\": true", "\"MayProbe\": false"));
    let site = Site {
        request_log: Arc::default(),
        coordinator,
        list,
        engines: vec![failing_engine],
    };
    site.publish(&["ready"], "");
    site.coordinator.wait_until_ready();
    assert_eq!(site.request("lookup", 2500, "SELECT first").status, 200);
    assert_eq!(site.coordinator.counter("engines_doubted"), 0);
    close.send(()).unwrap();
    site.coordinator.wait_for_counter("engines_doubted", 1);
}

#[test]
fn failed_attempt_is_retried_only_where_its_class_allows() {
    let site = Site::start(3);
    for (keyword, insert_status) in [
        ("full", 200),
        ("fault", 500),
        ("dies", 500),
        ("nonsense", 500),
    ] {
        assert_eq!(
            site.request("lookup", 2500, &format!("SELECT {keyword}"))
                .status,
            200,
            "{keyword}"
        );
        assert_eq!(
            site.request("member-load", 25_000, &format!("INSERT {keyword}"))
                .status,
            insert_status,
            "{keyword}"
        );
    }
    site.request_log.assert_rules(8);
}

#[test]
fn request_to_a_silent_engine_is_answered_in_time_and_not_retried() {
    let site = Site::start(2);
    let insert = site.request("member-load", 700, "INSERT silent");
    // The load may have run, so the response is a failure and not a rejection.
    assert_eq!(
        (insert.status, insert.text().as_str()),
        (500, "{\"error\":\"Internal\"}")
    );
    let read = site.request("lookup", 300, "SELECT silent");
    assert_eq!(
        (read.status, read.header("X-Come-Back-Ms").is_some()),
        (429, true)
    );
    assert_eq!(
        (
            site.request_log.of("INSERT").len(),
            site.request_log.of("SELECT").len()
        ),
        (1, 1)
    );
    assert_eq!(site.coordinator.counter("answers_overdue"), 0);
}

#[test]
fn malformed_response_does_not_end_a_load_beside_it() {
    let site = Arc::new(Site::start(1));
    let load_site = site.clone();
    let load = std::thread::spawn(move || {
        load_site
            .request("member-load", 900, "INSERT silent")
            .status
    });
    site.request_log.wait_for("INSERT silent", 1);
    // The malformed response ends its connection and every attempt on it; the load uses another connection.
    assert_eq!(site.request("lookup", 2500, "SELECT nonsense").status, 200);
    assert_eq!(load.join().unwrap(), 500);
    site.coordinator
        .wait_for_counter("attempts_ended{outcome=\"timed_out\"}", 1);
    assert_eq!(
        site.coordinator
            .counter("attempts_ended{outcome=\"reset\"}"),
        1
    );
}

#[test]
fn reads_on_a_silent_connection_are_retried_elsewhere() {
    // Progress reports are due every 0.1 s, so a connection without any for long enough counts as dead.
    let site = Site::with_config(2, |config| {
        config.replace("\"TellsEveryUs\": 0", "\"TellsEveryUs\": 100000")
    });
    assert_eq!(site.request("report", 15_000, "SELECT mute").status, 200);
    assert_eq!(site.request_log.of("SELECT mute").len(), 2);
    assert_eq!(site.request("member-load", 1500, "INSERT mute").status, 500);
    assert_eq!(site.request_log.of("INSERT mute").len(), 1);
    site.coordinator
        .wait_for_counter("attempts_ended{outcome=\"timed_out\"}", 1);
}

#[test]
fn key_order_is_kept_when_a_client_disconnects() {
    let site = Site::start(1);
    let head = "POST /ops/member-load HTTP/1.1\r\nX-Call-Id: 00000000000000ab\r\nX-Patience-Ms: 900\r\nX-Entity: 000000000000000a\r\n";
    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
    write!(stream, "{head}Content-Length: 13\r\n\r\nINSERT silent").unwrap();
    // The statement must have reached its engine: one not yet written is not sent after its client disconnects.
    site.request_log.wait_for("INSERT silent", 1);
    drop(stream);
    site.coordinator.wait_for_counter("clients_left", 1);
    // The next statement of the key waits until the open attempt ends, and then for the key's settling time.
    assert_eq!(site.request("member-load", 25_000, "INSERT 2").status, 200);
    assert_eq!(
        site.coordinator
            .counter("attempts_ended{outcome=\"timed_out\"}"),
        1
    );
}

#[test]
fn event_stream_resumes_after_its_last_event() {
    let site = Site::start(2);
    site.publish(&["ready", "ready"], ",\"x\":\"hang up\"");
    site.coordinator.wait_for_counter("lists_taken", 3);
    site.publish(&["draining", "ready"], "");
    site.coordinator.wait_for_counter("lists_taken", 4);
    assert_eq!(site.list.last_event_ids(), ["0", "2"]);
    for n in 0..10 {
        assert_eq!(
            site.request("lookup", 2500, &format!("SELECT drained {n}"))
                .status,
            200
        );
    }
    assert!(site
        .request_log
        .of("drained")
        .iter()
        .all(|e| e.engine == "1"));
}

#[test]
fn reload_moves_discovery_and_keeps_open_connections() {
    let mut site = Site::start(2);
    let mut open = TcpStream::connect(site.coordinator.addr).unwrap();
    open.write_all(b"POST /ops/lookup HTTP/1.1\r\nX-Call-Id: 00000000000000ab\r\n")
        .unwrap();
    // An invalid configuration file neither stops the coordinator nor drops its discovery source.
    site.coordinator.reload("{ half a fi");
    site.publish(&["ready", "ready"], "");
    site.coordinator.wait_for_counter("lists_taken", 3);
    // The new source has all events so far; the coordinator requests those after its last one.
    let new_list = EngineList::start();
    new_list.copy_events(&site.list);
    site.coordinator.reload(&config(new_list.addr));
    site.list = new_list;
    site.publish(&["draining", "ready"], "");
    site.coordinator.wait_for_counter("lists_taken", 4);
    assert_eq!(site.list.last_event_ids(), ["2"]);
    open.write_all(b"X-Patience-Ms: 2500\r\nContent-Length: 14\r\n\r\nSELECT drained")
        .unwrap();
    assert_eq!(read_response(&mut open).status, 200);
    assert_eq!(site.request_log.of("drained")[0].engine, "1");
}

#[test]
fn fragmented_and_pipelined_requests_are_answered_in_order() {
    let site = Site::start(1);
    let mut text = String::new();
    for n in 0..3 {
        let head = format!(
            "POST /ops/lookup HTTP/1.1\r\nX-Call-Id: 00000000000000a{n}\r\nX-Patience-Ms: 2500\r\n"
        );
        text += &format!("{head}Content-Length: 8\r\n\r\nSELECT {n}");
    }
    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
    stream.set_nodelay(true).unwrap();
    for byte in text.as_bytes() {
        stream.write_all(&[*byte]).unwrap();
    }
    let mut reader = Default::default();
    for _ in 0..3 {
        assert_eq!(read_next_response(&mut stream, &mut reader).status, 200);
    }
    let truncated = {
        let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
        stream.write_all(&text.as_bytes()[..40]).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        read_response(&mut stream)
    };
    assert_eq!(truncated.status, 400);
    assert_eq!(
        call(
            site.coordinator.addr,
            b"DELETE /ops/lookup HTTP/1.1\r\n\r\n"
        )
        .status,
        405
    );
}

#[test]
fn invalid_requests_are_rejected_and_reach_no_engine() {
    let site = Site::start(1);
    let fields = "X-Call-Id: 00000000000000ab\r\nX-Patience-Ms: 2500\r\n";
    let post = |rest: &str| format!("POST /ops/lookup HTTP/1.1\r\n{fields}{rest}");
    let smuggled = post("Content-Length: 8\r\n\r\nSELECT 9");
    for (bytes, status) in [
        (
            post("Content-Length: 8\r\nContent-Length: 8\r\n\r\nSELECT 1"),
            400,
        ),
        (post("Content-Length: -8\r\n\r\nSELECT 1"), 400),
        (
            post("Content-Length: 99999999999999999999\r\n\r\nSELECT 1"),
            413,
        ),
        (post("Content-Length: 60000000\r\n\r\nSELECT 1"), 413),
        // The request smuggled in its body must not be accepted either.
        (
            post(&format!(
                "Content-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{smuggled}"
            )),
            400,
        ),
        // With too small a length, half a statement would run.
        (post("Content-Length: 8\r\n\r\nSELECT 1 FROM b"), 400),
        (
            post("X-Entity: 0a\r\nContent-Length: 8\r\n\r\nSELECT 1"),
            400,
        ),
        (post("Content-Length: 0\r\n\r\n"), 400),
        ("\x16\x03\x01\x02\x00".into(), 400),
    ] {
        assert_eq!(
            call(site.coordinator.addr, bytes.as_bytes()).status,
            status,
            "{bytes}"
        );
    }
    // Connections that send nothing or an incomplete request are closed by the coordinator.
    let mut silent = TcpStream::connect(site.coordinator.addr).unwrap();
    let mut incomplete = TcpStream::connect(site.coordinator.addr).unwrap();
    incomplete
        .write_all(post("Content-Length: 9\r\n\r\nSELECT 1").as_bytes())
        .unwrap();
    assert_eq!(read_response(&mut incomplete).status, 408);
    assert_eq!(silent.read(&mut [0]).unwrap(), 0);
    assert_eq!(site.request_log.of("").len(), 0);
    // If the rest of a body with too small a length arrives later, the open attempt's result is not sent.
    let mut late = TcpStream::connect(site.coordinator.addr).unwrap();
    late.write_all(post("Content-Length: 13\r\n\r\nSELECT silent").as_bytes())
        .unwrap();
    site.request_log.wait_for("SELECT silent", 1);
    // A second request with the ID of an open one is not confused with it.
    assert_eq!(
        call(
            site.coordinator.addr,
            post("Content-Length: 8\r\n\r\nSELECT 7").as_bytes()
        )
        .status,
        500
    );
    late.write_all(b" FROM b").unwrap();
    assert_eq!(read_response(&mut late).status, 400);
    assert_eq!(site.request_log.of("").len(), 1);
}

#[test]
fn idle_connections_are_replaced_by_new_clients() {
    let site = Site::with_config(1, |config| {
        config.replace("\"sockets\": 1024", "\"sockets\": 100")
    });
    // Clients may use 60 of the 100; each further connection replaces the one idle for longest.
    let idle_clients: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(site.coordinator.addr).unwrap())
        .collect();
    assert_eq!(site.request("lookup", 2500, "SELECT 1").status, 200);
    assert!(site.coordinator.counter("connections_clients") <= 60);
    drop(idle_clients);
}

#[test]
fn thousands_of_pipelined_requests_do_not_exhaust_the_stack() {
    let site = Site::start(1);
    let head = "POST /ops/lookup HTTP/1.1\r\nX-Call-Id: 00000000000000ab\r\nX-Patience-Ms: 1\r\nContent-Length: 1\r\n\r\nx";
    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
    let mut writing = stream.try_clone().unwrap();
    let writer = std::thread::spawn(move || writing.write_all(head.repeat(5000).as_bytes()));
    let mut reader = Default::default();
    // Each is rejected at once, because its timeout of 1 ms is too short, and gets its own response.
    for _ in 0..5000 {
        assert_eq!(read_next_response(&mut stream, &mut reader).status, 429);
    }
    assert!(writer.join().unwrap().is_ok());
}
