//! Clients that keep a connection each and use it until it ends, whatever the coordinator has been told.

use super::plan::Plan;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A request that crosses the close of a resting connection within this time is the client's to send again.
pub(super) const CROSSES: Duration = Duration::from_millis(50);
/// A client waits so much longer than its time: what comes then is late, what does not come is lost.
pub(super) const LATE: Duration = Duration::from_millis(500);
/// Where nobody listens a client tries again after this.
const RECONNECT: Duration = Duration::from_millis(10);
/// A client rests for up to this long between its requests.
const RESTS_MOST_MS: u64 = 40;
/// The least time that a client gives.
const PATIENCE_LEAST_MS: u64 = 250;
/// Table groups that requests are spread over.
const GROUPS: u64 = 16;
/// One request in so many must not run twice.
const INSERTS: u64 = 5;

/// Where a coordinator's clients connect, and which of its processes that is.
#[derive(Clone, Default)]
pub(super) struct Target(Arc<Mutex<Option<(SocketAddr, u32)>>>);

impl Target {
    /// A process listens here from now on; nobody does with `None`.
    pub(super) fn set(&self, at: Option<(SocketAddr, u32)>) {
        *self.0.lock().expect("a target") = at;
    }

    fn get(&self) -> Option<(SocketAddr, u32)> {
        *self.0.lock().expect("a target")
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// It was answered: 200, and the status otherwise.
    Answered(u16),
    /// What came is no answer to it.
    Wrong,
    /// Its connection ended, or its time did, before a whole answer.
    Unanswered,
}

/// One request, as its client saw it.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    /// The coordinator, and which of its processes.
    pub process: (usize, u32),
    /// The statement, which names it everywhere.
    pub statement: String,
    /// Its time.
    pub patience: Duration,
    /// When its last byte was written.
    pub at: Instant,
    /// How long it took to its end.
    pub took: Duration,
    /// Its end.
    pub end: End,
}

/// All clients of a soak.
pub(super) struct Clients {
    threads: Vec<JoinHandle<Vec<Asked>>>,
}

impl Clients {
    /// They ask until the plan's end.
    pub(super) fn start(plan: &Plan, targets: &[Target]) -> Clients {
        let number = Arc::new(AtomicU64::new(plan.seed << 20));
        let until = Instant::now() + plan.length;
        let mut threads = Vec::new();
        for (coordinator, target) in targets.iter().enumerate() {
            for n in 0..plan.clients {
                let client = Client {
                    coordinator,
                    target: target.clone(),
                    rng: SmallRng::seed_from_u64(
                        plan.seed ^ ((coordinator * 100 + n) as u64) << 32,
                    ),
                    deadline: plan.deadline,
                    number: number.clone(),
                    until,
                    asked: Vec::new(),
                };
                threads.push(std::thread::spawn(move || client.run()));
            }
            for _ in 0..plan.coordinators[coordinator].crowd {
                let target = target.clone();
                std::thread::spawn(move || idle(&target, until));
            }
        }
        Clients { threads }
    }

    /// What they asked, once all are done.
    pub(super) fn end(self) -> Vec<Asked> {
        self.threads
            .into_iter()
            .flat_map(|t| t.join().expect("a client"))
            .collect()
    }
}

/// A client of a crowd: it connects, says nothing, and comes again when it is shut out.
fn idle(target: &Target, until: Instant) {
    while Instant::now() < until {
        if let Some(mut stream) = target
            .get()
            .and_then(|(addr, _)| TcpStream::connect(addr).ok())
        {
            let _ = stream.set_read_timeout(Some(
                until
                    .saturating_duration_since(Instant::now())
                    .max(RECONNECT),
            ));
            let _ = stream.read(&mut [0; 64]);
        }
        std::thread::sleep(RECONNECT * 5);
    }
}

struct Client {
    coordinator: usize,
    target: Target,
    rng: SmallRng,
    deadline: Duration,
    number: Arc<AtomicU64>,
    until: Instant,
    asked: Vec<Asked>,
}

impl Client {
    fn run(mut self) -> Vec<Asked> {
        let mut open: Option<(TcpStream, u32)> = None;
        while Instant::now() < self.until {
            std::thread::sleep(Duration::from_millis(
                self.rng.random_range(0..RESTS_MOST_MS),
            ));
            if open.is_none() {
                open = self.connect();
            }
            let Some((mut stream, process)) = open.take() else {
                std::thread::sleep(RECONNECT);
                continue;
            };
            if self.ask(&mut stream, process) {
                open = Some((stream, process));
            }
        }
        self.asked
    }

    fn connect(&self) -> Option<(TcpStream, u32)> {
        let (addr, process) = self.target.get()?;
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_nodelay(true).ok()?;
        Some((stream, process))
    }

    /// Asks on a connection; true if that may be used again.
    fn ask(&mut self, stream: &mut TcpStream, process: u32) -> bool {
        let n = self.number.fetch_add(1, Ordering::Relaxed);
        let (class, verb) = if n.is_multiple_of(INSERTS) {
            ("load", "INSERT")
        } else {
            ("lookup", "SELECT")
        };
        // Table groups spread the requests over the engines.
        let group = n % GROUPS;
        let statement = format!(
            "{verb} c{}p{process}n{n} FROM g_{group}.t",
            self.coordinator
        );
        let most = self.deadline.as_millis() as u64;
        let patience = self.rng.random_range(PATIENCE_LEAST_MS..=most);
        let request = format!(
            "POST /ops/{class} HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {n:016x}\r\nX-Patience-Ms: {patience}\r\n\
             Content-Length: {}\r\n\r\n{statement}",
            statement.len()
        );
        if stream.write_all(request.as_bytes()).is_err() {
            // Not written whole: it was never taken.
            return false;
        }
        let at = Instant::now();
        let patience = Duration::from_millis(patience);
        let (end, stays) = read_answer(stream, at + patience + LATE, &statement);
        let process = (self.coordinator, process);
        self.asked.push(Asked {
            process,
            statement,
            patience,
            at,
            took: at.elapsed(),
            end,
        });
        stays
    }
}

/// Reads one answer until this time; its end, and whether the connection stays open.
fn read_answer(stream: &mut TcpStream, until: Instant, statement: &str) -> (End, bool) {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some((status, body, closes)) = whole(&bytes) {
            let right = status != 200 || body.contains(statement);
            return (
                if right {
                    End::Answered(status)
                } else {
                    End::Wrong
                },
                right && !closes,
            );
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return (End::Unanswered, false);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return (End::Unanswered, false),
            Ok(n) => bytes.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return (End::Unanswered, false),
        }
    }
}

/// An answer's status and body, and whether its connection closes, once all of it is there.
fn whole(bytes: &[u8]) -> Option<(u16, String, bool)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let field = |name: &str| {
        head.lines().find_map(|l| {
            l.split_once(':')
                .filter(|f| f.0.eq_ignore_ascii_case(name))
                .map(|f| f.1.trim())
        })
    };
    let length: usize = field("content-length")?.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let closes = field("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    (body.len() >= length).then(|| (status, body.to_string(), closes))
}
