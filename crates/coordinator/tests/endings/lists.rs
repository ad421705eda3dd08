//! The list of engines: silent, away, or back with news.

use driftfront_mock_servers::request_log::RequestLog;
use driftfront_test_support::coordinator::engine_list::{event, instances, read_head, EngineList};
use driftfront_test_support::coordinator::line_engine::engines;
use driftfront_test_support::coordinator::platform_site::{config, Site};
use driftfront_test_support::coordinator::{post, start_mock_server, Coordinator};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

#[test]
fn silent_list_is_reconnected_and_no_drain_is_missed() {
    // It tells one event to each caller, the next of those behind its last, and then says nothing at all.
    let tells = Arc::new(Mutex::new(Vec::<String>::new()));
    let (told, asked) = (tells.clone(), Arc::new(Mutex::new(Vec::<usize>::new())));
    let calls = asked.clone();
    let addr = start_mock_server(move |mut stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let Some(head) = read_head(&mut input) else {
            return;
        };
        let last = head
            .lines()
            .find_map(|l| l.strip_prefix("Last-Event-ID: "))
            .unwrap();
        let last: usize = last.parse().unwrap();
        calls.lock().unwrap().push(last);
        let event = told.lock().unwrap().get(last).cloned();
        let event = event
            .map(|e| format!("id: {}\ndata: {e}\n\n", last + 1))
            .unwrap_or_default();
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{event}").as_bytes());
        let _ = input.read_line(&mut String::new());
    });
    let list = EngineList::at(addr);
    let coordinator = Coordinator::start(&config(addr));
    let request_log = Arc::default();
    let site = Site {
        coordinator,
        list,
        engines: engines(2, &request_log),
        request_log,
    };
    let news = |index, phase| event(index, &instances(&site.engines, &[phase, "ready"]), "");
    tells
        .lock()
        .unwrap()
        .extend([news(1, "ready"), news(2, "draining")]);
    site.coordinator.wait_for_counter("lists_taken", 3);
    for n in 0..5 {
        assert_eq!(
            site.request("lookup", 2500, &format!("SELECT {n}")).status,
            200
        );
    }
    assert!(site.request_log.of("").iter().all(|e| e.engine == "1"));
    // Behind the last event each time; the first call may have been given up before its event came.
    let asked = asked.lock().unwrap();
    assert!(asked.is_sorted() && asked.contains(&1), "{asked:?}");
}

#[test]
fn known_engines_are_served_while_the_list_is_unreachable() {
    // Bound, so that nobody else gets the address, and refused until it listens.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    let request_log = Arc::new(RequestLog::default());
    let engines = engines(2, &request_log);
    let news = |index, phase| event(index, &instances(&engines, &[phase, "ready"]), "");
    let known = format!(
        "\"known\": {{\"index\": 3, \"updates\": [{}]}}, \"limits\"",
        news(3, "ready")
    );
    let coordinator = Coordinator::start(&config(addr).replace("\"limits\"", &known));
    coordinator.wait_until_ready();
    let ask = |n: usize| {
        let headers = format!("X-Call-Id: {n:016x}\r\nX-Patience-Ms: 2400\r\n");
        let statement = format!("SELECT {n}");
        assert_eq!(
            post(coordinator.addr, "/ops/lookup", &headers, &statement).status,
            200
        );
        request_log.of(&statement)[0].engine.clone()
    };
    assert!((1..=8).map(ask).any(|engine| engine == "0"));
    // It is back, with news from behind what was known.
    let before = coordinator.counter("lists_taken");
    socket.listen(8).unwrap();
    let (socket, _) = socket.accept().unwrap();
    let mut stream = TcpStream::from(socket);
    let head = read_head(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
    assert!(head.contains("\r\nLast-Event-ID: 3\r\n"), "{head}");
    let told = format!(
        "HTTP/1.1 200 OK\r\n\r\nid: 4\ndata: {}\n\n",
        news(4, "draining")
    );
    stream.write_all(told.as_bytes()).unwrap();
    coordinator.wait_for_counter("lists_taken", before + 1);
    assert!((11..=18).map(ask).all(|engine| engine == "1"));
}
