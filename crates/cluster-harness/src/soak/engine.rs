//! A mock engine that speaks the platform's line protocol and injects planned faults.

use super::plan::{EngineFault, FaultMode};
use driftfront_mock_servers::request_log::RequestLog;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Execution time of a request.
const RUN_TIME: Duration = Duration::from_millis(2);

/// A running mock engine.
pub(super) struct Engine {
    addr: SocketAddr,
}

impl Engine {
    /// Starts an engine. The times of its faults are relative to `started`.
    pub(super) fn start(
        faults: Vec<EngineFault>,
        started: Instant,
        request_log: &Arc<RequestLog>,
    ) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port");
        let addr = listener.local_addr().expect("reading the local address");
        let request_log = request_log.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let session = Session {
                    faults: faults.clone(),
                    started,
                    request_log: request_log.clone(),
                    addr,
                };
                std::thread::spawn(move || session.serve(stream));
            }
        });
        Engine { addr }
    }

    /// Returns the address it listens on, which is also its name in the request log.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// One connection to an engine.
struct Session {
    faults: Vec<EngineFault>,
    started: Instant,
    request_log: Arc<RequestLog>,
    addr: SocketAddr,
}

impl Session {
    /// Returns the fault that is currently active.
    fn fault_mode(&self) -> Option<FaultMode> {
        let now = self.started.elapsed();
        self.faults
            .iter()
            .find(|fault| fault.during.contains(&now))
            .map(|fault| fault.mode)
    }

    /// Responds to requests until the connection closes.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        while input.read_line(&mut line).is_ok_and(|n| n > 0) {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let response = match words[..] {
                ["REQ", id, _, length] => match read_statement(&mut input, length) {
                    Some(statement) => self.run(id, &statement, &out),
                    None => return,
                },
                ["STAT" | "HELO", tag] if self.fault_mode() != Some(FaultMode::Hang) => {
                    Some(format!("{tag} PONG gauges=inflight:1 0\r\n\r\n"))
                }
                _ => None,
            };
            if response.is_some_and(|r| out.write_all(r.as_bytes()).is_err()) {
                return;
            }
            line.clear();
        }
    }

    /// Executes a request. Returns the response, if any.
    fn run(&self, id: &str, statement: &str, stream: &TcpStream) -> Option<String> {
        let fault_mode = self.fault_mode();
        let entry = self
            .request_log
            .begin(&self.addr.to_string(), id, statement, None);
        match fault_mode {
            Some(FaultMode::Hang) => None,
            Some(FaultMode::Reset) => {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(std::net::Shutdown::Both);
                None
            }
            Some(FaultMode::Full) => {
                self.request_log.end(entry, false);
                Some(format!("{id} SHED - 0\r\n\r\n"))
            }
            Some(FaultMode::Fault) => {
                self.request_log.end(entry, true);
                Some(format!("{id} FAULT - 0\r\n\r\n"))
            }
            None => {
                std::thread::sleep(RUN_TIME);
                self.request_log.end(entry, true);
                let row = format!("{statement}\tx\ty\n");
                Some(format!("{id} HIT fetches=1 {}\r\n{row}\r\n", row.len()))
            }
        }
    }
}

/// Reads the statement that follows a request line with its length.
fn read_statement(input: &mut impl Read, length: &str) -> Option<String> {
    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
    input.read_exact(&mut body).ok()?;
    body.truncate(body.len() - 2);
    String::from_utf8(body).ok()
}
