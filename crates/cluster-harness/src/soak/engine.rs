//! An engine in the platform's language that misbehaves by a plan.

use super::plan::{Mode, Trouble};
use driftfront_mock_servers::ledger::RequestLog;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a request runs.
const RUNS: Duration = Duration::from_millis(2);

/// An engine that listens.
pub(super) struct Engine {
    addr: SocketAddr,
}

impl Engine {
    /// Starts one; its troubles count from `begun`.
    pub(super) fn start(
        troubles: Vec<Trouble>,
        begun: Instant,
        ledger: &Arc<RequestLog>,
    ) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let ledger = ledger.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let session = Session {
                    troubles: troubles.clone(),
                    begun,
                    ledger: ledger.clone(),
                    addr,
                };
                std::thread::spawn(move || session.serve(stream));
            }
        });
        Engine { addr }
    }

    /// Where it listens, which is its name in the ledger, too.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// One connection to an engine.
struct Session {
    troubles: Vec<Trouble>,
    begun: Instant,
    ledger: Arc<RequestLog>,
    addr: SocketAddr,
}

impl Session {
    fn mode(&self) -> Option<Mode> {
        let now = self.begun.elapsed();
        self.troubles
            .iter()
            .find(|t| t.during.contains(&now))
            .map(|t| t.mode)
    }

    /// Answers until the connection ends.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        while input.read_line(&mut line).is_ok_and(|n| n > 0) {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let answer = match words[..] {
                ["REQ", id, _, length] => match read_statement(&mut input, length) {
                    Some(statement) => self.run(id, &statement, &out),
                    None => return,
                },
                ["STAT" | "HELO", tag] if self.mode() != Some(Mode::Hang) => {
                    Some(format!("{tag} PONG gauges=inflight:1 0\r\n\r\n"))
                }
                _ => None,
            };
            if answer.is_some_and(|a| out.write_all(a.as_bytes()).is_err()) {
                return;
            }
            line.clear();
        }
    }

    /// What a request is answered, if it is.
    fn run(&self, id: &str, statement: &str, stream: &TcpStream) -> Option<String> {
        let mode = self.mode();
        let entry = self
            .ledger
            .begin(&self.addr.to_string(), id, statement, None);
        match mode {
            Some(Mode::Hang) => None,
            Some(Mode::Reset) => {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(std::net::Shutdown::Both);
                None
            }
            Some(Mode::Full) => {
                self.ledger.end(entry, false);
                Some(format!("{id} SHED - 0\r\n\r\n"))
            }
            Some(Mode::Fault) => {
                self.ledger.end(entry, true);
                Some(format!("{id} FAULT - 0\r\n\r\n"))
            }
            None => {
                std::thread::sleep(RUNS);
                self.ledger.end(entry, true);
                let row = format!("{statement}\tx\ty\n");
                Some(format!("{id} HIT fetches=1 {}\r\n{row}\r\n", row.len()))
            }
        }
    }
}

/// The statement behind a request's line, of the length told there.
fn read_statement(input: &mut impl Read, length: &str) -> Option<String> {
    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
    input.read_exact(&mut body).ok()?;
    body.truncate(body.len() - 2);
    String::from_utf8(body).ok()
}
