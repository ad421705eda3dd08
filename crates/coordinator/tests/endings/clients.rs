//! Clients that leave while something of theirs waits, and connections that make room for others.

use super::{held, let_pass, load, open, ran, report, request, rest, until, with_key_taken};
use driftfront_test_support::coordinator::engine_list::EngineList;
use driftfront_test_support::coordinator::line_engine::serve;
use driftfront_test_support::coordinator::platform_site::{config, Site};
use driftfront_test_support::coordinator::{call, instance, read_response, Coordinator};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Nothing of a client that has left while its request waited goes out so much later.
const TERM: Duration = Duration::from_millis(300);

#[test]
fn client_that_leaves_while_its_key_is_busy_is_not_forwarded() {
    let (site, mut first, gate) = with_key_taken();
    let wait = |id: u64| {
        let stream = open(&site, &load(id, &format!("INSERT gone {id}")));
        site.coordinator.wait_for_counter("requests_taken", id);
        stream
    };
    // By a close, by a reset, by half a close.
    drop(wait(2));
    let reset = wait(3);
    socket2::SockRef::from(&reset)
        .set_linger(Some(std::time::Duration::ZERO))
        .unwrap();
    drop(reset);
    let half = wait(4);
    half.shutdown(Shutdown::Write).unwrap();
    // With more behind it than is read ahead.
    let mut loud = wait(5);
    loud.set_nonblocking(true).unwrap();
    let junk = request("lookup", 6, "", &"x".repeat(1000)).repeat(64);
    let mut written = 0;
    while written < 200_000 {
        match loud.write(junk.as_bytes()) {
            Ok(n) => written += n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
            Err(e) => panic!("{e}"),
        }
    }
    assert!(written > 70_000, "{written}");
    drop(loud);
    site.coordinator.wait_for_counter("clients_left", 4);
    // By a call on another connection: its own one closes, as nothing more is owed there.
    let mut taken_back = wait(6);
    let delete = "DELETE /ops/member-load HTTP/1.1\r\nX-Call-Id: 0000000000000006\r\n\r\n";
    assert_eq!(call(site.coordinator.addr, delete.as_bytes()).status, 200);
    assert_eq!(rest(&mut taken_back).unwrap(), b"");
    site.coordinator.wait_for_counter("clients_left", 5);
    // The one behind them has its turn as soon as the first is over.
    let mut last = open(&site, &load(7, "INSERT last"));
    site.coordinator.wait_for_counter("requests_taken", 7);
    gate.open();
    assert_eq!(read_response(&mut first).status, 200);
    assert_eq!(read_response(&mut last).status, 200);
    assert_eq!(ran(&site), ["INSERT held", "INSERT last"]);
}

/// Ends a client's connection at once. A mere drop would not: a process that another test starts holds a copy of the socket
/// until it has begun.
fn leave(stream: TcpStream) {
    stream.shutdown(Shutdown::Both).expect("it is connected");
    drop(stream);
}

#[test]
fn client_that_left_before_its_request_was_read_is_not_forwarded() {
    let site = Site::start(1);
    // The way to its engine is open, so that what is taken would be there at once.
    assert_eq!(site.request("lookup", 2500, "SELECT before").status, 200);
    // As one in a full backlog, or before a program that stood still.
    site.coordinator.suspend();
    for id in 1..=3 {
        leave(open(
            &site,
            &request("lookup", id, "", &format!("SELECT left {id}")),
        ));
    }
    // One sends more behind it than is read at once.
    let much = request("lookup", 4, "", "SELECT left 4")
        + &request("lookup", 5, "", &"y".repeat(900)).repeat(90);
    leave(open(&site, &much));
    site.coordinator.resume();
    site.coordinator.wait_for_counter("clients_left", 4);
    assert_eq!(site.request("lookup", 2500, "SELECT here").status, 200);
    assert_eq!(ran(&site), ["SELECT before", "SELECT here"]);
}

#[test]
fn clients_that_leave_the_queue_together_are_not_forwarded() {
    let (site, gate) = held(1);
    let all = 60;
    let ask = |id| report(id, &format!("SELECT held {id}"));
    let waiting: Vec<TcpStream> = (1..=all).map(|id| open(&site, &ask(id))).collect();
    site.coordinator.wait_for_counter("requests_taken", all);
    site.request_log
        .wait_until("some are out", |all| !all.is_empty());
    // Found at one moment: else each that leaves makes room for one that has not left yet.
    site.coordinator.suspend();
    drop(waiting);
    site.coordinator.resume();
    site.coordinator.wait_for_counter("clients_left", all);
    let_pass(TERM);
    // The engine had as much as it may; the others waited for one of these to end.
    let sent = site.request_log.of("held").len() as u64;
    assert!(sent > 0 && sent < all, "{sent}");
    gate.open();
    until("it serves as before", || {
        site.request("lookup", 2400, "SELECT behind").status == 200
    });
    let_pass(TERM);
    assert_eq!(site.request_log.of("held").len() as u64, sent);
}

#[test]
fn client_that_leaves_as_its_attempt_is_rejected_is_not_retried() {
    let (site, gate) = held(1);
    // Enough at once for a second connection, so that a further attempt need not wait for one.
    let others: Vec<TcpStream> = (2..10)
        .map(|id| open(&site, &report(id, &format!("SELECT held {id}"))))
        .collect();
    site.coordinator.wait_for_counter("connections_engines", 2);
    let leaves = open(&site, &report(1, "SELECT held, then full"));
    site.request_log.wait_for("SELECT held, then full", 1);
    // The engine's no and the client's end are found at one moment.
    site.coordinator.suspend();
    gate.open();
    site.request_log.wait_until("the engine's no", |all| {
        all.iter().all(|e| e.over.is_some())
    });
    leave(leaves);
    site.coordinator.resume();
    site.coordinator.wait_for_counter("clients_left", 1);
    let_pass(TERM);
    assert_eq!(site.request_log.of("SELECT held, then full").len(), 1);
    others
        .into_iter()
        .for_each(|mut other| assert_eq!(read_response(&mut other).status, 200));
}

/// A site whose one engine can't be connected to, and does not refuse either, until room is made.
struct Unreached {
    site: Site,
    listener: Socket,
    filler: TcpStream,
}

impl Unreached {
    fn start() -> Unreached {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
            .unwrap();
        listener.listen(0).unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap().as_socket().unwrap();
        // The backlog is full with this one.
        let filler = TcpStream::connect(addr).unwrap();
        let list = EngineList::start();
        let config = config(list.addr).replace(
            "\"ConnectTimeoutUs\": 250000",
            "\"ConnectTimeoutUs\": 60000000",
        );
        let coordinator = Coordinator::start(&config);
        let site = Site {
            request_log: Arc::default(),
            coordinator,
            list,
            engines: vec![addr],
        };
        site.publish(&["ready"], "");
        site.coordinator.wait_until_ready();
        Unreached {
            site,
            listener,
            filler,
        }
    }

    /// There is room now, and what has waited comes up.
    fn make_room(self) -> Site {
        let (request_log, listener) = (self.site.request_log.clone(), self.listener);
        std::thread::spawn(move || {
            while let Ok((socket, _)) = listener.accept() {
                let request_log = request_log.clone();
                std::thread::spawn(move || serve(socket.into(), 0, &request_log));
            }
        });
        drop(self.filler);
        self.site
    }
}

#[test]
fn client_that_leaves_during_a_connect_is_not_forwarded() {
    let waits = Unreached::start();
    let leaves = open(&waits.site, &load(1, "INSERT left"));
    waits.site.coordinator.wait_for_counter("attempts_sent", 1);
    drop(leaves);
    waits.site.coordinator.wait_for_counter("clients_left", 1);
    let mut stays = open(&waits.site, &load(2, "INSERT stays"));
    waits.site.coordinator.wait_for_counter("requests_taken", 2);
    let site = waits.make_room();
    assert_eq!(read_response(&mut stays).status, 200);
    assert_eq!(ran(&site), ["INSERT stays"]);
}

#[test]
fn attempt_abandoned_during_a_connect_is_not_sent() {
    let waits = Unreached::start();
    // Its time runs out: it never ran, so that it is refused.
    let mut late = open(
        &waits.site,
        &request("lookup", 1, "", "SELECT late").replace("2400", "300"),
    );
    assert_eq!(read_response(&mut late).status, 429);
    let mut next = open(&waits.site, &load(2, "INSERT next"));
    waits.site.coordinator.wait_for_counter("requests_taken", 2);
    let site = waits.make_room();
    assert_eq!(read_response(&mut next).status, 200);
    assert_eq!(ran(&site), ["INSERT next"]);
}

#[test]
fn request_runs_once_when_its_engine_s_address_is_reused() {
    let waits = Unreached::start();
    let mut load = open(&waits.site, &load(1, "INSERT moved"));
    waits.site.coordinator.wait_for_counter("attempts_sent", 1);
    let addr = waits.site.engines[0];
    let lines = [instance("e0", addr, "gone"), instance("e1", addr, "ready")];
    waits.site.list.publish(&lines, "");
    waits.site.coordinator.wait_for_counter("lists_taken", 3);
    let site = waits.make_room();
    assert_eq!(read_response(&mut load).status, 200);
    assert_eq!(ran(&site), ["INSERT moved"]);
}

#[test]
fn flooding_clients_do_not_delay_a_waiting_request() {
    let (site, mut first, gate) = with_key_taken();
    let site = Arc::new(site);
    let bad: Vec<_> = (0..4u64)
        .map(|n| {
            let site = site.clone();
            std::thread::spawn(move || {
                for k in 0..50 {
                    let text = match k % 4 {
                        0 => "\x16\x03\x01".repeat(20_000),
                        1 => request("lookup", 1000 * n + k, "", &"z".repeat(60_000))[..40_000]
                            .to_string(),
                        2 => request("lookup", 1000 * n + k, "", "SELECT x").repeat(300),
                        _ => "POST /ops/lookup HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"
                            .to_string(),
                    };
                    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
                    let _ = stream.write_all(text.as_bytes());
                }
            })
        })
        .collect();
    bad.into_iter().for_each(|b| b.join().unwrap());
    // A whole answer, if maybe a refusal while the flood's own requests are out.
    assert!([200, 429].contains(&site.request("lookup", 2500, "SELECT beside").status));
    gate.open();
    assert_eq!(read_response(&mut first).status, 200);
    // All of them are gone, with what was held for them.
    until("they are gone", || {
        site.coordinator.counter("connections_clients") <= 2
    });
    until("it serves as before", || {
        site.request("lookup", 2500, "SELECT behind").status == 200
    });
}

#[test]
fn request_that_arrives_during_eviction_is_served() {
    let site = Site::with_config(1, |config| {
        config.replace("\"sockets\": 1024", "\"sockets\": 100")
    });
    // 50 of 60 places are held by those that asked once and rest; the first of them is the longest idle.
    let mut resting: Vec<TcpStream> = Vec::new();
    for n in 0..50 {
        let mut stream = open(
            &site,
            &request("lookup", 100 + n, "", &format!("SELECT {n}")),
        );
        assert_eq!(read_response(&mut stream).status, 200);
        resting.push(stream);
    }
    site.coordinator.suspend();
    // The newcomers are found first, then the request on the connection that would go for one of them.
    let newcomer = |n| open(&site, &request("lookup", n, "", "SELECT new"));
    let mut newcomers: Vec<TcpStream> = (1..15).map(newcomer).collect();
    resting[0]
        .write_all(request("lookup", 99, "", "SELECT crossing").as_bytes())
        .unwrap();
    site.coordinator.resume();
    assert_eq!(read_response(&mut resting[0]).status, 200);
    for newcomer in &mut newcomers {
        assert_eq!(read_response(newcomer).status, 200);
    }
    assert!(site.coordinator.counter("clients_dropped") > 0);
}
