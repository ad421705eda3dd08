//! Clients that keep a connection each and use it until it ends, whatever signals the coordinator got.

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

/// A request that crosses the close of an idle connection within this time is the client's to send again.
pub(super) const CLOSE_CROSSING_TIME: Duration = Duration::from_millis(50);
/// A client waits so much longer than its timeout: what comes then is late, what does not come is lost.
pub(super) const LATE_TIME: Duration = Duration::from_millis(500);
/// Where nobody listens a client connects again after this.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(10);
/// An idle client that was disconnected connects again after this.
const IDLE_RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// A client pauses for up to this long between its requests.
const MAX_PAUSE_MS: u64 = 40;
/// The shortest timeout of a client.
const MIN_TIMEOUT_MS: u64 = 250;
/// Table groups that requests are spread over.
const TABLE_GROUPS: u64 = 16;
/// One request in so many must not run twice.
const INSERT_INTERVAL: u64 = 5;
/// Numbers of requests of one seed are below those of the next.
const SEED_SHIFT: u32 = 20;

/// A process that serves clients.
#[derive(Clone, Copy)]
pub(super) struct Listening {
    /// Where its clients connect.
    pub addr: SocketAddr,
    /// Its number among the coordinator's processes.
    pub process: u32,
}

/// The process of a coordinator to which clients connect at present.
#[derive(Clone, Default)]
pub(super) struct Target(Arc<Mutex<Option<Listening>>>);

impl Target {
    /// Clients connect to this process from now on.
    pub(super) fn set(&self, listening: Listening) {
        *self.0.lock().expect("a target") = Some(listening);
    }

    fn get(&self) -> Option<Listening> {
        *self.0.lock().expect("a target")
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// A response came: 200 with its result, or another status.
    Answered(u16),
    /// What came is no response to it.
    Wrong,
    /// Its connection or its time ended before a complete response.
    Unanswered,
}

/// One request, as its client saw it.
#[derive(Clone, Debug)]
pub(super) struct RequestRecord {
    /// The process that it was sent to.
    pub process: ProcessId,
    /// The statement, which names it everywhere.
    pub statement: String,
    /// How long its client waits.
    pub timeout: Duration,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// How long it took to its end.
    pub duration: Duration,
    /// Its end.
    pub end: End,
}

/// All clients of a soak.
pub(super) struct Clients {
    threads: Vec<JoinHandle<Vec<RequestRecord>>>,
}

impl Clients {
    /// Starts the clients of all coordinators; they send requests until the plan's end.
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

    /// All requests, once all clients are done.
    pub(super) fn end(self) -> Vec<RequestRecord> {
        self.threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a client"))
            .collect()
    }
}

/// Connects, sends nothing, and connects again when it is disconnected.
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

/// A client's connection, and the process at its other end.
struct Connection {
    stream: TcpStream,
    process: u32,
}

struct Client {
    coordinator: usize,
    target: Target,
    rng: SmallRng,
    /// The longest timeout of a request.
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

    /// Sends a request and waits for its end; whether the connection may be used again.
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
            // Not written completely: it was never accepted.
            return false;
        }
        let sent_at = Instant::now();
        let give_up_at = sent_at + timeout + LATE_TIME;
        let Received { end, stays_open } =
            read_response(&mut connection.stream, give_up_at, &statement);
        self.records.push(RequestRecord {
            process: ProcessId {
                coordinator: self.coordinator,
                process: connection.process,
            },
            statement,
            timeout,
            sent_at,
            duration: sent_at.elapsed(),
            end,
        });
        stays_open
    }

    fn draw_timeout(&mut self) -> Duration {
        let longest = u64::try_from(self.deadline.as_millis()).expect("a few seconds");
        Duration::from_millis(self.rng.random_range(MIN_TIMEOUT_MS..=longest))
    }
}
