//! Connections and processes that end while a request or response is outstanding; `docs/endings.md` lists the cases. The program
//! runs on loopback against mock servers that wait for events. Where the program has to find two events in one iteration of its
//! event loop, the test stops the process until both have happened.

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

fn request(class: &str, id: u64, headers: &str, statement: &str) -> String {
    let length = statement.len();
    format!(
        "POST /ops/{class} HTTP/1.1\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2400\r\n{headers}\
         Content-Length: {length}\r\n\r\n{statement}"
    )
}

/// A load with the one ordering key that these tests use, and the longest client timeout of its class.
fn load(id: u64, statement: &str) -> String {
    request(
        "member-load",
        id,
        "X-Entity: 000000000000000a\r\n",
        statement,
    )
    .replace("2400", "25000")
}

/// A read with the longest client timeout of its class, so that it does not expire while the test stops the process.
fn report(id: u64, statement: &str) -> String {
    request("report", id, "", statement).replace("2400", "15000")
}

/// Opens a connection and sends this text.
fn open(site: &Site, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.coordinator.addr).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Reads until the peer closes the connection; a reset is an error.
fn read_to_close(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).map(|_| bytes)
}

/// The statements that the engines received, in order.
fn received_statements(site: &Site) -> Vec<String> {
    site.request_log
        .of("")
        .into_iter()
        .map(|e| e.statement)
        .collect()
}

/// Waits until a condition holds.
fn wait_until(what: &str, is_met: impl FnMut() -> bool) {
    poll_until(is_met, || format!("timed out waiting until {what}"));
}

/// Waits for a fixed time, where a test checks what has or has not happened after it.
fn wait_for_duration(duration: Duration) {
    std::thread::sleep(duration);
}

/// Blocks responses of a mock engine until it is opened.
#[derive(Default)]
struct Gate(Mutex<bool>, Condvar);

impl Gate {
    fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }

    fn wait_until_open(&self) {
        let is_open = self.0.lock().unwrap();
        drop(self.1.wait_while(is_open, |open| !*open).unwrap());
    }
}

/// A site whose engines answer a statement with "held" only after the returned gate has opened, reject one with "full" by a SHED,
/// and answer all others at once.
fn site_with_gate(engines: usize) -> (Site, Arc<Gate>) {
    let (request_log, gate) = (Arc::new(RequestLog::default()), Arc::new(Gate::default()));
    let engine = |n: usize| {
        let (request_log, gate) = (request_log.clone(), gate.clone());
        start_mock_server(move |stream| serve_engine(stream, &n.to_string(), &request_log, &gate))
    };
    let engines = (0..engines).map(engine).collect();
    (
        Site::with_engines(request_log, engines, |config| Coordinator::start(&config)),
        gate,
    )
}

/// Like [`site_with_gate`], with a running load that holds the ordering key of [`load`] until the gate opens. Also returns the
/// connection of that load's client.
fn site_with_busy_key() -> (Site, TcpStream, Arc<Gate>) {
    let (site, gate) = site_with_gate(1);
    let first = open(&site, &load(1, "INSERT held"));
    site.request_log.wait_for("INSERT held", 1);
    (site, first, gate)
}

fn serve_engine(stream: TcpStream, engine: &str, request_log: &Arc<RequestLog>, gate: &Arc<Gate>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let out = stream;
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let (answer, entry, is_held) = match words[..] {
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
        // A held response waits on its own thread, so that it does not delay other commands on this connection.
        let (mut out, request_log, gate) =
            (out.try_clone().unwrap(), request_log.clone(), gate.clone());
        let mut send_answer = move || {
            if is_held {
                gate.wait_until_open();
            }
            let _ = out.write_all(answer.as_bytes());
            entry
                .into_iter()
                .for_each(|entry| request_log.end(entry, true));
        };
        match is_held {
            true => drop(std::thread::spawn(send_answer)),
            false => send_answer(),
        }
    }
}
