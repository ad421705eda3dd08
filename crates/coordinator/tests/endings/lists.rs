//! The engine list: a silent source, an unreachable one, and one that returns with new events.

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
    // The source sends each caller the one event that follows its Last-Event-ID, and then nothing more.
    let published = Arc::new(Mutex::new(Vec::<String>::new()));
    let (events, last_ids) = (published.clone(), Arc::new(Mutex::new(Vec::<usize>::new())));
    let recorded_ids = last_ids.clone();
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
        recorded_ids.lock().unwrap().push(last);
        let event = events.lock().unwrap().get(last).cloned();
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
    let list_event = |index, phase| event(index, &instances(&site.engines, &[phase, "ready"]), "");
    published
        .lock()
        .unwrap()
        .extend([list_event(1, "ready"), list_event(2, "draining")]);
    site.coordinator.wait_for_counter("lists_taken", 3);
    for n in 0..5 {
        assert_eq!(
            site.request("lookup", 2500, &format!("SELECT {n}")).status,
            200
        );
    }
    assert!(site.request_log.of("").iter().all(|e| e.engine == "1"));
    // Each call asks for the events after the last received one. The first call may have been abandoned before its event arrived.
    let last_ids = last_ids.lock().unwrap();
    assert!(
        last_ids.is_sorted() && last_ids.contains(&1),
        "{last_ids:?}"
    );
}

#[test]
fn known_engines_are_served_while_the_list_is_unreachable() {
    // The socket is bound, so that no other process gets the address, and connections are refused until it listens.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    let request_log = Arc::new(RequestLog::default());
    let engines = engines(2, &request_log);
    let list_event = |index, phase| event(index, &instances(&engines, &[phase, "ready"]), "");
    let known_list = format!(
        "\"known\": {{\"index\": 3, \"updates\": [{}]}}, \"limits\"",
        list_event(3, "ready")
    );
    let coordinator = Coordinator::start(&config(addr).replace("\"limits\"", &known_list));
    coordinator.wait_until_ready();
    let answering_engine = |n: usize| {
        let headers = format!("X-Call-Id: {n:016x}\r\nX-Patience-Ms: 2400\r\n");
        let statement = format!("SELECT {n}");
        assert_eq!(
            post(coordinator.addr, "/ops/lookup", &headers, &statement).status,
            200
        );
        request_log.of(&statement)[0].engine.clone()
    };
    assert!((1..=8).map(answering_engine).any(|engine| engine == "0"));
    // The source is reachable again, with an event after the known ones.
    let before = coordinator.counter("lists_taken");
    socket.listen(8).unwrap();
    let (socket, _) = socket.accept().unwrap();
    let mut stream = TcpStream::from(socket);
    let head = read_head(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
    assert!(head.contains("\r\nLast-Event-ID: 3\r\n"), "{head}");
    let response = format!(
        "HTTP/1.1 200 OK\r\n\r\nid: 4\ndata: {}\n\n",
        list_event(4, "draining")
    );
    stream.write_all(response.as_bytes()).unwrap();
    coordinator.wait_for_counter("lists_taken", before + 1);
    assert!((11..=18).map(answering_engine).all(|engine| engine == "1"));
}
