//! Clients that each use one connection until it closes, regardless of signals to the coordinator.

use super::plan::Plan;
use super::response::{read_response, Received};
use super::ProcessId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A request whose connection closes within this time may have raced with the close of an idle connection. Clients have to retry
/// such a request.
pub(super) const CLOSE_RACE_TIME: Duration = Duration::from_millis(50);
/// How much longer than its timeout a client waits. A response within this time is late; without one the request is lost.
pub(super) const LATE_RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Pause before a client reconnects after a failed connection attempt.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(10);
/// Pause before a disconnected idle client reconnects.
const IDLE_RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum pause of a client between requests.
const MAX_PAUSE_MS: u64 = 40;
/// Minimum client timeout.
const MIN_TIMEOUT_MS: u64 = 250;
/// Number of table groups that requests are spread over.
const TABLE_GROUPS: u64 = 16;
/// Every n-th request is an insert, which must not run twice.
const INSERT_INTERVAL: u64 = 5;
/// Request numbers start at `seed << SEED_SHIFT`, so that those of different seeds don't overlap.
const SEED_SHIFT: u32 = 20;

/// A process that accepts clients.
#[derive(Clone, Copy)]
pub(super) struct Listening {
    /// The address for clients.
    pub addr: SocketAddr,
    /// Its number within its coordinator.
    pub process: u32,
}

/// The process of a coordinator that clients currently connect to.
#[derive(Clone, Default)]
pub(super) struct Target(Arc<Mutex<Option<Listening>>>);

impl Target {
    /// Makes clients connect to this process from now on.
    pub(super) fn set(&self, listening: Listening) {
        *self.0.lock().expect("locking the target") = Some(listening);
    }

    fn get(&self) -> Option<Listening> {
        *self.0.lock().expect("locking the target")
    }
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A complete response with this status; with 200 it contains the result.
    Answered(u16),
    /// A response with status 200 that does not belong to the request.
    Mismatched,
    /// The connection closed or the time was up before a complete response.
    Unanswered,
}

/// One request, as its client saw it.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    /// The process it was sent to.
    pub process: ProcessId,
    /// The statement, which is unique and identifies the request.
    pub statement: String,
    /// The client's timeout.
    pub timeout: Duration,
    /// When the request's last byte was written.
    pub sent_at: Instant,
    /// Time from `sent_at` to the outcome.
    pub duration: Duration,
    /// Its outcome.
    pub outcome: Outcome,
}

/// All clients of a soak test.
pub(super) struct Clients {
    threads: Vec<JoinHandle<Vec<RequestRecord>>>,
}

impl Clients {
    /// Starts the clients of all coordinators. They send requests until the end of the plan.
    pub(super) fn start(plan: &Plan, targets: &[Target]) -> Clients {
        let next_number = Arc::new(AtomicU64::new(plan.seed << SEED_SHIFT));
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
                    next_number: next_number.clone(),
                    until,
                    records: Vec::new(),
                };
                threads.push(std::thread::spawn(move || client.run()));
            }
            for _ in 0..plan.coordinators[coordinator].idle_clients {
                let target = target.clone();
                std::thread::spawn(move || stay_idle(&target, until));
            }
        }
        Clients { threads }
    }

    /// Waits for all clients, and returns their requests.
    pub(super) fn join(self) -> Vec<RequestRecord> {
        self.threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("joining a client thread"))
            .collect()
    }
}

/// Holds an idle connection, and reconnects whenever it is closed.
fn stay_idle(target: &Target, until: Instant) {
    while Instant::now() < until {
        let listening = target.get();
        if let Some(mut stream) = listening.and_then(|l| TcpStream::connect(l.addr).ok()) {
            let remaining = until.saturating_duration_since(Instant::now());
            let _ = stream.set_read_timeout(Some(remaining.max(RECONNECT_INTERVAL)));
            let _ = stream.read(&mut [0; 64]);
        }
        std::thread::sleep(IDLE_RECONNECT_INTERVAL);
    }
}

/// A client's connection and the process it is connected to.
struct Connection {
    stream: TcpStream,
    process: u32,
}

struct Client {
    coordinator: usize,
    target: Target,
    rng: SmallRng,
    /// The maximum timeout of a request.
    deadline: Duration,
    next_number: Arc<AtomicU64>,
    until: Instant,
    records: Vec<RequestRecord>,
}

impl Client {
    fn run(mut self) -> Vec<RequestRecord> {
        let mut open: Option<Connection> = None;
        while Instant::now() < self.until {
            let pause = self.rng.random_range(0..MAX_PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause));
            let Some(mut connection) = open.take().or_else(|| self.connect()) else {
                std::thread::sleep(RECONNECT_INTERVAL);
                continue;
            };
            if self.send_request(&mut connection) {
                open = Some(connection);
            }
        }
        self.records
    }

    fn connect(&self) -> Option<Connection> {
        let Listening { addr, process } = self.target.get()?;
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream, process })
    }

    /// Sends a request and waits for its outcome. Returns whether the connection may be reused.
    fn send_request(&mut self, connection: &mut Connection) -> bool {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (class, verb) = match number.is_multiple_of(INSERT_INTERVAL) {
            true => ("load", "INSERT"),
            false => ("lookup", "SELECT"),
        };
        // Table groups spread the requests over the engines.
        let group = number % TABLE_GROUPS;
        let statement = format!(
            "{verb} c{}p{}n{number} FROM g_{group}.t",
            self.coordinator, connection.process
        );
        let timeout = self.draw_timeout();
        let request = format!(
            "POST /ops/{class} HTTP/1.1\r\nHost: soak\r\nX-Call-Id: {number:016x}\r\nX-Patience-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{statement}",
            timeout.as_millis(),
            statement.len()
        );
        if connection.stream.write_all(request.as_bytes()).is_err() {
            // Not written completely, so the request was never accepted.
            return false;
        }
        let sent_at = Instant::now();
        let deadline = sent_at + timeout + LATE_RESPONSE_TIME;
        let Received {
            outcome,
            is_reusable,
        } = read_response(&mut connection.stream, deadline, &statement);
        self.records.push(RequestRecord {
            process: ProcessId {
                coordinator: self.coordinator,
                process: connection.process,
            },
            statement,
            timeout,
            sent_at,
            duration: sent_at.elapsed(),
            outcome,
        });
        is_reusable
    }

    fn draw_timeout(&mut self) -> Duration {
        let longest =
            u64::try_from(self.deadline.as_millis()).expect("a deadline of a few seconds");
        Duration::from_millis(self.rng.random_range(MIN_TIMEOUT_MS..=longest))
    }
}
