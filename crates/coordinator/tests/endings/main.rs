//! Moments in which something ends while something else is still owed: `docs/endings.md` names each. The program runs on
//! loopback; a stand-in waits for events, and where two things have to be found at once the program is held still meanwhile.

mod clients;
mod engines;
mod lists;
mod shutdown;

use driftfront_mock_servers::request_log::RequestLog;
use driftfront_test_support::coordinator::line_engine::read_statement;
use driftfront_test_support::coordinator::platform_site::Site;
use driftfront_test_support::coordinator::{
    poll_until, start_mock_server, Coordinator, TEST_TIMEOUT,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

fn request(class: &str, id: u64, more: &str, statement: &str) -> String {
    let length = statement.len();
    format!(
        "POST /ops/{class} HTTP/1.1\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2400\r\n{more}\
         Content-Length: {length}\r\n\r\n{statement}"
    )
}

/// A load of the one key that these tests use, with all the time that its class gives.
fn load(id: u64, statement: &str) -> String {
    request(
        "member-load",
        id,
        "X-Entity: 000000000000000a\r\n",
        statement,
    )
    .replace("2400", "25000")
}

/// A read with all the time that its class gives: however long the program is held still, its deadline is not what is seen.
fn report(id: u64, statement: &str) -> String {
    request("report", id, "", statement).replace("2400", "15000")
}

fn open(site: &Site, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Waits for the end of what the other side says; an error if that is a reset.
fn rest(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).map(|_| rest)
}

fn ran(site: &Site) -> Vec<String> {
    site.request_log
        .of("")
        .into_iter()
        .map(|e| e.statement)
        .collect()
}

/// Waits until something is so.
fn until(what: &str, so: impl FnMut() -> bool) {
    poll_until(so, || format!("never: {what}"));
}

/// Lets a time pass that a rule names: what comes behind it is what the test is about.
fn let_pass(time: Duration) {
    std::thread::sleep(time);
}

/// What is held at an engine waits here until it is opened.
#[derive(Default)]
struct Gate(Mutex<bool>, Condvar);

impl Gate {
    fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }

    fn pass(&self) {
        let shut = self.0.lock().unwrap();
        drop(self.1.wait_while(shut, |open| !*open).unwrap());
    }
}

/// A site whose engines answer what says "held" behind the returned gate, "full" by a SHED, and all else at once.
fn held(engines: usize) -> (Site, Arc<Gate>) {
    let (request_log, gate) = (Arc::new(RequestLog::default()), Arc::new(Gate::default()));
    let engine = |n: usize| {
        let (runs, gate) = (request_log.clone(), gate.clone());
        start_mock_server(move |stream| hold(stream, &n.to_string(), &runs, &gate))
    };
    let engines = (0..engines).map(engine).collect();
    (
        Site::with_engines(request_log, engines, |config| Coordinator::start(&config)),
        gate,
    )
}

/// The same, with the key of [`load`] taken until the gate opens; the load's client stays.
fn with_key_taken() -> (Site, TcpStream, Arc<Gate>) {
    let (site, gate) = held(1);
    let first = open(&site, &load(1, "INSERT held"));
    site.request_log.wait_for("INSERT held", 1);
    (site, first, gate)
}

fn hold(stream: TcpStream, engine: &str, request_log: &Arc<RequestLog>, gate: &Arc<Gate>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let out = stream;
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let (answer, entry, waits) = match words[..] {
            ["STAT", tag] => (
                format!("{tag} PONG gauges=inflight:1;queue:0;x0:0.1 0\r\n\r\n"),
                None,
                false,
            ),
            ["REQ", id, _, length] => {
                let statement = read_statement(&mut input, length);
                let number = request_log.of("").len().to_string();
                let entry = request_log.begin(engine, &number, &statement, None);
                let answer = match statement.contains("full") {
                    true => format!("{id} SHED - 0\r\n\r\n"),
                    false => format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n"),
                };
                (answer, Some(entry), statement.contains("held"))
            }
            _ => continue,
        };
        // On a thread of its own: what is held must not hold up what else comes here.
        let (mut out, request_log, gate) =
            (out.try_clone().unwrap(), request_log.clone(), gate.clone());
        let mut answer = move || {
            if waits {
                gate.pass();
            }
            let _ = out.write_all(answer.as_bytes());
            entry
                .into_iter()
                .for_each(|entry| request_log.end(entry, true));
        };
        match waits {
            true => drop(std::thread::spawn(answer)),
            false => answer(),
        }
    }
}
