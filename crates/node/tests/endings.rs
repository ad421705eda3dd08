//! Moments in which something ends while something else is still owed: `docs/endings.md` names each. The program runs on
//! loopback; a stand-in waits for events, and where two things have to be found at once the program is held still meanwhile.

mod common;

use common::lines::{config, serve, List, Site};
use common::{read_answer, read_next, stand_in, Coordinator};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

fn request(class: &str, id: u64, more: &str, statement: &str) -> String {
    let length = statement.len();
    format!(
        "POST /ops/{class} HTTP/1.1\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2400\r\n{more}\
         Content-Length: {length}\r\n\r\n{statement}"
    )
}

/// A load of the one key that these tests use, with all the time that its class gives.
fn load(id: u64, statement: &str) -> String {
    request("member-load", id, "X-Entity: 000000000000000a\r\n", statement).replace("2400", "25000")
}

fn open(site: &Site, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Waits for the end of what the other side says; an error if that is a reset.
fn rest(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(common::FOR_EVER)).unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).map(|_| rest)
}

/// A site whose engine holds the key of [`load`] until the returned end is dropped; the load's client stays.
fn with_key_taken() -> (Site, TcpStream, Sender<()>) {
    let (free, freed) = channel::<()>();
    let freed = Mutex::new(Some(freed));
    let mut site = Site::start(1);
    let ledger = site.ledger.clone();
    let engine = stand_in(move |stream| hold(stream, &ledger, &freed));
    // In place of the one that it started with, under another name.
    let line = common::instance("held", engine, "ready");
    site.list.tell(&[common::instance("e0", site.engines[0], "gone"), line], "");
    site.coordinator.wait_for("lists_taken", 3);
    site.engines = vec![engine];
    let first = open(&site, &load(1, "INSERT held"));
    site.ledger.wait_for("INSERT held", 1);
    (site, first, free)
}

/// An engine whose first "held" is answered once it is let go; all else at once.
fn hold(stream: TcpStream, ledger: &Arc<standins::ledger::Ledger>, freed: &Mutex<Option<Receiver<()>>>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let mut out = stream;
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let answer = match words[..] {
            ["STAT", tag] => format!("{tag} PONG gauges=inflight:1;queue:0;x0:0.1 0\r\n\r\n"),
            ["REQ", id, _, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                input.read_exact(&mut body).unwrap();
                let statement = String::from_utf8_lossy(&body[..body.len() - 2]).into_owned();
                let entry = ledger.begin("0", &ledger.of("").len().to_string(), &statement, None);
                if statement.contains("held") {
                    if let Some(freed) = freed.lock().unwrap().take() {
                        let _ = freed.recv();
                    }
                }
                ledger.end(entry, true);
                format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n")
            }
            _ => continue,
        };
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn behind_the_grace_of_a_shutdown_a_request_is_refused_and_never_sent() {
    let mut site = Site::start(1);
    let mut out = open(&site, &request("report", 1, "", "SELECT silent"));
    site.ledger.wait_for("SELECT silent", 1);
    let mut resting = open(&site, &request("lookup", 2, "", "SELECT 2"));
    assert_eq!(read_answer(&mut resting).status, 200);
    let late = request("lookup", 3, "", "SELECT late");
    let mut half = open(&site, &late[..40]);
    site.coordinator.wait_for("connections_clients", 4);
    site.coordinator.terminate();
    // Whoever rests is sent away in order once nothing more is taken; the engine hangs, so that the process stays.
    assert_eq!(rest(&mut resting).unwrap(), b"");
    half.write_all(&late.as_bytes()[40..]).unwrap();
    let answer = read_answer(&mut half);
    assert_eq!((answer.status, answer.header("Connection")), (429, Some("close")));
    assert_eq!(site.ledger.of("SELECT late").len(), 0);
    // Nobody listens any more, while what was taken before is answered all the same.
    let begin = std::time::Instant::now();
    while TcpStream::connect(site.coordinator.addr).is_ok() {
        assert!(begin.elapsed() < common::FOR_EVER);
    }
    assert_eq!(read_answer(&mut out).status, 429);
    assert!(site.coordinator.wait().success());
}

#[test]
fn what_waits_when_a_restart_s_kill_is_near_is_refused_so_that_it_may_be_served_elsewhere() {
    let (mut site, mut first, free) = with_key_taken();
    let mut second = open(&site, &load(2, "INSERT second"));
    site.coordinator.wait_for("requests_taken", 2);
    site.coordinator.terminate();
    // Its time is far from over, but the first of its key holds the only engine.
    assert_eq!(read_answer(&mut second).status, 429);
    drop(free);
    assert_eq!(read_answer(&mut first).status, 200);
    assert!(site.coordinator.wait().success());
    assert_eq!(site.ledger.of("INSERT").len(), 1);
}

#[test]
fn an_answer_written_as_the_process_ends_is_not_lost_to_bytes_behind_it() {
    let (mut site, mut first, free) = with_key_taken();
    site.coordinator.terminate();
    // Once nobody listens only this request keeps the process.
    let begin = std::time::Instant::now();
    while TcpStream::connect(site.coordinator.addr).is_ok() {
        assert!(begin.elapsed() < common::FOR_EVER);
    }
    // The answer, and a request that nobody will take, come to the program at one moment.
    site.coordinator.freeze();
    drop(free);
    site.ledger.wait_until("the load's end", |all| all.iter().any(|e| e.over.is_some()));
    first.write_all(request("lookup", 9, "", "SELECT never").as_bytes()).unwrap();
    site.coordinator.wake();
    let mut reader = Default::default();
    assert_eq!(read_next(&mut first, &mut reader).status, 200);
    // In order: an end, not a reset.
    assert!(rest(&mut first).is_ok());
    drop(first);
    assert!(site.coordinator.wait().success());
    assert_eq!(site.ledger.of("SELECT never").len(), 0);
}

#[test]
fn a_client_that_leaves_while_its_key_is_taken_is_never_sent_on_however_it_leaves() {
    let (site, mut first, free) = with_key_taken();
    let wait = |id: u64| {
        let stream = open(&site, &load(id, &format!("INSERT gone {id}")));
        site.coordinator.wait_for("requests_taken", id);
        stream
    };
    // By a close, by a reset, by half a close.
    drop(wait(2));
    let reset = wait(3);
    socket2::SockRef::from(&reset).set_linger(Some(std::time::Duration::ZERO)).unwrap();
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
    site.coordinator.wait_for("clients_left", 4);
    // By a call on another connection: its own one closes, as nothing more is owed there.
    let mut taken_back = wait(6);
    let delete = "DELETE /ops/member-load HTTP/1.1\r\nX-Call-Id: 0000000000000006\r\n\r\n";
    assert_eq!(common::call(site.coordinator.addr, delete.as_bytes()).status, 200);
    assert_eq!(rest(&mut taken_back).unwrap(), b"");
    site.coordinator.wait_for("clients_left", 5);
    // The one behind them has its turn as soon as the first is over.
    let mut last = open(&site, &load(7, "INSERT last"));
    site.coordinator.wait_for("requests_taken", 7);
    drop(free);
    assert_eq!(read_answer(&mut first).status, 200);
    assert_eq!(read_answer(&mut last).status, 200);
    assert_eq!(ran(&site), ["INSERT held", "INSERT last"]);
}

#[test]
fn a_client_that_left_before_it_was_read_is_not_sent_on() {
    let site = Site::start(1);
    // The way to its engine is open, so that what is taken would be there at once.
    assert_eq!(site.ask("lookup", 2500, "SELECT before").status, 200);
    // As one in a full backlog, or before a program that stood still.
    site.coordinator.freeze();
    for id in 1..=3 {
        drop(open(&site, &request("lookup", id, "", &format!("SELECT left {id}"))));
    }
    // One sends more behind it than is read at once.
    let much =
        request("lookup", 4, "", "SELECT left 4") + &request("lookup", 5, "", &"y".repeat(900)).repeat(90);
    drop(open(&site, &much));
    site.coordinator.wake();
    site.coordinator.wait_for("clients_left", 4);
    assert_eq!(site.ask("lookup", 2500, "SELECT here").status, 200);
    assert_eq!(ran(&site), ["SELECT before", "SELECT here"]);
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
        listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        listener.listen(0).unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap().as_socket().unwrap();
        // The backlog is full with this one.
        let filler = TcpStream::connect(addr).unwrap();
        let list = List::start();
        let config =
            config(list.addr).replace("\"ConnectTimeoutUs\": 250000", "\"ConnectTimeoutUs\": 60000000");
        let coordinator = Coordinator::start(&config);
        let site = Site { ledger: Arc::default(), coordinator, list, engines: vec![addr] };
        site.tell(&["ready"], "");
        site.coordinator.wait_until_ready();
        Unreached { site, listener, filler }
    }

    /// There is room now, and what has waited comes up.
    fn make_room(self) -> Site {
        let (ledger, listener) = (self.site.ledger.clone(), self.listener);
        std::thread::spawn(move || {
            while let Ok((socket, _)) = listener.accept() {
                let ledger = ledger.clone();
                std::thread::spawn(move || serve(socket.into(), 0, &ledger));
            }
        });
        drop(self.filler);
        self.site
    }
}

fn ran(site: &Site) -> Vec<String> {
    site.ledger.of("").into_iter().map(|e| e.statement).collect()
}

#[test]
fn a_client_that_leaves_while_a_connection_comes_up_is_not_sent_on_once_it_has() {
    let waits = Unreached::start();
    let leaves = open(&waits.site, &load(1, "INSERT left"));
    waits.site.coordinator.wait_for("attempts_sent", 1);
    drop(leaves);
    waits.site.coordinator.wait_for("clients_left", 1);
    let mut stays = open(&waits.site, &load(2, "INSERT stays"));
    waits.site.coordinator.wait_for("requests_taken", 2);
    let site = waits.make_room();
    assert_eq!(read_answer(&mut stays).status, 200);
    assert_eq!(ran(&site), ["INSERT stays"]);
}

#[test]
fn what_was_given_up_while_its_connection_came_up_is_not_sent_once_it_has() {
    let waits = Unreached::start();
    // Its time runs out: it never ran, so that it is refused.
    let mut late = open(&waits.site, &request("lookup", 1, "", "SELECT late").replace("2400", "300"));
    assert_eq!(read_answer(&mut late).status, 429);
    let mut next = open(&waits.site, &load(2, "INSERT next"));
    waits.site.coordinator.wait_for("requests_taken", 2);
    let site = waits.make_room();
    assert_eq!(read_answer(&mut next).status, 200);
    assert_eq!(ran(&site), ["INSERT next"]);
}

#[test]
fn what_waits_for_an_engine_whose_address_passes_to_another_runs_once_there() {
    let waits = Unreached::start();
    let mut load = open(&waits.site, &load(1, "INSERT moved"));
    waits.site.coordinator.wait_for("attempts_sent", 1);
    let addr = waits.site.engines[0];
    let lines = [common::instance("e0", addr, "gone"), common::instance("e1", addr, "ready")];
    waits.site.list.tell(&lines, "");
    waits.site.coordinator.wait_for("lists_taken", 3);
    let site = waits.make_room();
    assert_eq!(read_answer(&mut load).status, 200);
    assert_eq!(ran(&site), ["INSERT moved"]);
}

#[test]
fn half_an_answer_and_then_silence_costs_a_read_one_attempt_and_a_load_its_answer() {
    let site = Site::start(2);
    for words in ["half", "half endless"] {
        assert_eq!(site.ask("report", 15_000, &format!("SELECT {words}")).status, 200);
        assert_eq!(site.ledger.of(&format!("SELECT {words}")).len(), 2, "{words}");
        // It has run, and what it gave is lost: no other run, and an answer at once.
        assert_eq!(site.ask("member-load", 25_000, &format!("INSERT {words}")).status, 500);
        assert_eq!(site.ledger.of(&format!("INSERT {words}")).len(), 1, "{words}");
    }
    assert_eq!(site.coordinator.counter("answers_overdue"), 0);
}

#[test]
fn bad_clients_that_send_much_and_go_cost_a_waiting_request_nothing() {
    let (site, mut first, free) = with_key_taken();
    let site = Arc::new(site);
    let bad: Vec<_> = (0..4u64)
        .map(|n| {
            let site = site.clone();
            std::thread::spawn(move || {
                for k in 0..50 {
                    let text = match k % 4 {
                        0 => "\x16\x03\x01".repeat(20_000),
                        1 => request("lookup", 1000 * n + k, "", &"z".repeat(60_000))[..40_000].to_string(),
                        2 => request("lookup", 1000 * n + k, "", "SELECT x").repeat(300),
                        _ => "POST /ops/lookup HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n".to_string(),
                    };
                    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
                    let _ = stream.write_all(text.as_bytes());
                }
            })
        })
        .collect();
    bad.into_iter().for_each(|b| b.join().unwrap());
    assert_eq!(site.ask("lookup", 2500, "SELECT beside").status, 200);
    drop(free);
    assert_eq!(read_answer(&mut first).status, 200);
    // All of them are gone, with what was held for them.
    let begin = std::time::Instant::now();
    while site.coordinator.counter("connections_clients") > 2 {
        assert!(begin.elapsed() < common::FOR_EVER);
    }
}

#[test]
fn a_list_that_falls_silent_though_connected_is_taken_anew_and_no_drain_is_missed() {
    // It tells one event to each caller, the next of those behind its last, and then says nothing at all.
    let engines = Arc::new(Mutex::new(Vec::<String>::new()));
    let (told, asked) = (engines.clone(), Arc::new(Mutex::new(Vec::<usize>::new())));
    let calls = asked.clone();
    let addr = stand_in(move |mut stream| {
        let mut head = String::new();
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while !head.ends_with("\r\n\r\n") {
            if input.read_line(&mut head).unwrap_or(0) == 0 {
                return;
            }
        }
        let last = head.lines().find_map(|l| l.strip_prefix("Last-Event-ID: ")).unwrap();
        let last: usize = last.parse().unwrap();
        calls.lock().unwrap().push(last);
        let event = told.lock().unwrap().get(last).cloned();
        let event = event.map(|e| format!("id: {}\ndata: {e}\n\n", last + 1)).unwrap_or_default();
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{event}").as_bytes());
        let _ = input.read_line(&mut head);
    });
    let list = List { addr, events: Arc::default(), asked: Arc::default() };
    let coordinator = Coordinator::start(&config(addr));
    let mut site = Site { ledger: Arc::default(), coordinator, list, engines: Vec::new() };
    for n in 0..2 {
        let ledger = site.ledger.clone();
        site.engines.push(stand_in(move |stream| serve(stream, n, &ledger)));
    }
    let event = |index: usize, phase: &str| {
        let line = [
            common::instance("e0", site.engines[0], phase),
            common::instance("e1", site.engines[1], "ready"),
        ];
        format!(
            "{{\"index\":{index},\"endpoints\":{{\"generation\":1,\"reset\":false,\"instances\":[{}]}}}}",
            line.join(",")
        )
    };
    engines.lock().unwrap().extend([event(1, "ready"), event(2, "draining")]);
    site.coordinator.wait_for("lists_taken", 3);
    for n in 0..5 {
        assert_eq!(site.ask("lookup", 2500, &format!("SELECT {n}")).status, 200);
    }
    assert!(site.ledger.of("").iter().all(|e| e.engine == "1"));
    assert_eq!(asked.lock().unwrap()[..2], [0, 1]);
}

#[test]
fn a_request_that_comes_as_its_connection_makes_room_for_another_is_served() {
    let site = Site::set(1, |config| config.replace("\"sockets\": 1024", "\"sockets\": 100"));
    // 50 of 60 places are held by those that asked once and rest; the first of them is the longest idle.
    let mut resting: Vec<TcpStream> = Vec::new();
    for n in 0..50 {
        let mut stream = open(&site, &request("lookup", 100 + n, "", &format!("SELECT {n}")));
        assert_eq!(read_answer(&mut stream).status, 200);
        resting.push(stream);
    }
    site.coordinator.freeze();
    // The newcomers are found first, then the request on the connection that would go for one of them.
    let newcomer = |n| open(&site, &request("lookup", n, "", "SELECT new"));
    let mut newcomers: Vec<TcpStream> = (1..15).map(newcomer).collect();
    resting[0].write_all(request("lookup", 99, "", "SELECT crossing").as_bytes()).unwrap();
    site.coordinator.wake();
    assert_eq!(read_answer(&mut resting[0]).status, 200);
    for newcomer in &mut newcomers {
        assert_eq!(read_answer(newcomer).status, 200);
    }
    assert!(site.coordinator.counter("clients_dropped") > 0);
}

#[test]
fn a_second_answer_that_comes_late_does_not_end_the_next_attempt() {
    let tried = Arc::new(Mutex::new(Vec::<usize>::new()));
    let (seen, connections) = (tried.clone(), std::sync::atomic::AtomicUsize::new(0));
    let engine = stand_in(move |stream| {
        let number = connections.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let (mut input, mut out) = (BufReader::new(stream.try_clone().unwrap()), stream);
        let mut line = String::new();
        while input.read_line(&mut line).unwrap_or(0) > 0 {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            if let ["REQ", id, _, length] = words[..] {
                let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                input.read_exact(&mut body).unwrap();
                let tries = {
                    let mut seen = seen.lock().unwrap();
                    seen.push(number);
                    seen.len()
                };
                // The first attempt fails. Once the second is here the first one's end comes again, before any answer.
                let fault = format!("{id} FAULT - 0\r\n\r\n");
                let hit = format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n");
                let answer = if tries == 1 { fault } else { format!("{fault}{hit}") };
                let answer = if tries > 1 && seen.lock().unwrap()[0] != number { hit } else { answer };
                let _ = out.write_all(answer.as_bytes());
            } else if let ["STAT", tag] = words[..] {
                let _ =
                    out.write_all(format!("{tag} PONG gauges=inflight:0;queue:0;x0:0 0\r\n\r\n").as_bytes());
            }
            line.clear();
        }
    });
    let list = List::start();
    let coordinator = Coordinator::start(&config(list.addr));
    let site = Site { ledger: Arc::default(), coordinator, list, engines: vec![engine] };
    site.tell(&["ready"], "");
    site.coordinator.wait_until_ready();
    assert_eq!(site.ask("lookup", 2500, "SELECT 1").status, 200);
    // Each id goes once over a connection, so that what comes late has nobody to be taken for.
    let tried = tried.lock().unwrap();
    assert!(tried.len() == 2 && tried[0] != tried[1], "{tried:?}");
}

#[test]
fn an_answer_that_came_before_a_reset_counts_though_something_is_being_sent_there() {
    let (go, goes) = channel::<()>();
    let goes = Mutex::new(goes);
    let asked = Arc::new(Mutex::new(Vec::<String>::new()));
    let seen = asked.clone();
    let engine = stand_in(move |mut stream| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while input.read_line(&mut line).unwrap_or(0) > 0 {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            if let ["REQ", id, _, length] = words[..] {
                let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
                input.read_exact(&mut body).unwrap();
                let statement = String::from_utf8_lossy(&body[..body.len() - 2]).into_owned();
                seen.lock().unwrap().push(statement.clone());
                let _ = stream.write_all(format!("{id} INFO - 0\r\n\r\n").as_bytes());
                if statement == "SELECT first" {
                    let _ = goes.lock().unwrap().recv();
                    let _ = stream.write_all(format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n").as_bytes());
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
                    // The answer is there before the reset is.
                    return;
                }
                let _ = stream.write_all(format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n").as_bytes());
            }
            line.clear();
        }
    });
    let list = List::start();
    let edit = |config: String| config.replace("\"MayProbe\": true", "\"MayProbe\": false");
    let coordinator = Coordinator::start(&edit(config(list.addr)));
    let site = Site { ledger: Arc::default(), coordinator, list, engines: vec![engine] };
    site.tell(&["ready"], "");
    site.coordinator.wait_until_ready();
    let mut first = open(&site, &request("lookup", 1, "", "SELECT first"));
    let begin = std::time::Instant::now();
    while asked.lock().unwrap().is_empty() {
        assert!(begin.elapsed() < common::FOR_EVER);
    }
    let mut second = TcpStream::connect(site.coordinator.addr).unwrap();
    site.coordinator.wait_for("connections_clients", 3);
    site.coordinator.freeze();
    // The program finds the second request first, and with it something to send where all has ended.
    second.write_all(request("lookup", 2, "", "SELECT second").as_bytes()).unwrap();
    go.send(()).unwrap();
    let begin = std::time::Instant::now();
    while !engine_has_ended(engine) {
        assert!(begin.elapsed() < common::FOR_EVER);
    }
    site.coordinator.wake();
    assert_eq!(read_answer(&mut first).status, 200);
    assert_eq!(read_answer(&mut second).status, 200);
    assert_eq!(*asked.lock().unwrap(), ["SELECT first", "SELECT second"]);
}

/// Whether no connection to this address is established any more, by the system's table.
fn engine_has_ended(engine: SocketAddr) -> bool {
    let port = format!(":{:04X}", engine.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let established = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.len() > 3 && words[3] == "01" && (words[1].ends_with(&port) || words[2].ends_with(&port))
    };
    !table.lines().any(established)
}
