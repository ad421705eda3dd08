//! Clients of a harness's members, and what each request came to: it must have one final response, or a broken connection where
//! its process was killed.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// No response takes longer; what does is none.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Its result came.
    Served,
    /// It was rejected: not run, or harmless to repeat.
    Rejected,
    /// It failed.
    Failed,
    /// The connection ended before a complete response.
    Incomplete,
    /// Nobody listened: it was not accepted.
    NotConnected,
    /// More than one response came, or something that is none.
    Malformed,
}

/// One request, and what became of it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The member that it was sent to.
    pub member: u32,
    /// The statement.
    pub statement: String,
    /// What became of it.
    pub outcome: Outcome,
    /// When it was sent, since the load's start.
    pub sent_at: Duration,
    /// When it was over, since the load's start.
    pub ended_at: Duration,
    /// All that came.
    pub response: String,
}

/// How clients send requests.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Clients of each member.
    pub clients_per_member: u32,
    /// Requests of each client at most.
    pub max_requests: u32,
    /// One request in so many is an insert into a table of its member's own; 0 for none.
    pub insert_interval: u32,
    /// Time between a client's requests.
    pub pause: Duration,
}

/// Clients at work.
pub struct Load {
    clients: Vec<JoinHandle<()>>,
    shared: Arc<Shared>,
}

/// What all clients share.
struct Shared {
    plan: LoadPlan,
    started: Instant,
    has_ended: AtomicBool,
    /// Number of the next statement.
    next_number: AtomicU64,
    /// Where each member's clients connect now.
    addrs: Mutex<BTreeMap<u32, SocketAddr>>,
    records: Mutex<Vec<RequestRecord>>,
}

impl Load {
    /// Starts the clients of the members that listen at these addresses.
    pub fn start(addrs: BTreeMap<u32, SocketAddr>, plan: &LoadPlan) -> Load {
        let members: Vec<u32> = addrs.keys().copied().collect();
        let shared = Arc::new(Shared {
            plan: plan.clone(),
            started: Instant::now(),
            has_ended: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            addrs: Mutex::new(addrs),
            records: Mutex::default(),
        });
        let mut clients = Vec::new();
        for member in members {
            for _ in 0..plan.clients_per_member {
                let shared = shared.clone();
                clients.push(std::thread::spawn(move || shared.run_client(member)));
            }
        }
        Load { clients, shared }
    }

    /// Has a member's clients connect to `addr` from now on.
    pub fn set_addr(&self, member: u32, addr: SocketAddr) {
        if let Ok(mut addrs) = self.shared.addrs.lock() {
            addrs.insert(member, addr);
        }
    }

    /// How many requests are over.
    pub fn completed(&self) -> usize {
        self.shared.records.lock().map_or(0, |r| r.len())
    }

    /// Lets all clients finish the request that they wait for, and returns all requests.
    pub fn stop(self) -> Vec<RequestRecord> {
        self.shared.has_ended.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        let records = self.shared.records.lock();
        records.map(|r| r.clone()).unwrap_or_default()
    }
}

impl Shared {
    fn run_client(&self, member: u32) {
        for turn in 0..self.plan.max_requests {
            if self.has_ended.load(Ordering::Relaxed) {
                return;
            }
            let record = self.send_request(member, turn);
            if let Ok(mut records) = self.records.lock() {
                records.push(record);
            }
            std::thread::sleep(self.plan.pause);
        }
    }

    /// Sends a client's next request and waits for what becomes of it.
    fn send_request(&self, member: u32, turn: u32) -> RequestRecord {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let interval = self.plan.insert_interval;
        let statement = match interval > 0 && turn.is_multiple_of(interval) {
            true => format!("INSERT INTO t{member} VALUES ({number})"),
            false => format!("SELECT {number}"),
        };
        let addr = self.addrs.lock().ok().and_then(|a| a.get(&member).copied());
        let sent_at = self.started.elapsed();
        let (outcome, response) = addr.map_or((Outcome::NotConnected, String::new()), |addr| {
            exchange(addr, &statement)
        });
        RequestRecord {
            member,
            statement,
            outcome,
            sent_at,
            ended_at: self.started.elapsed(),
            response,
        }
    }
}

/// How many requests had each outcome.
pub fn count_outcomes(records: &[RequestRecord]) -> BTreeMap<Outcome, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        *counts.entry(record.outcome).or_default() += 1;
    }
    counts
}

/// Sends a statement on a new connection; what became of it, and all that came.
fn exchange(addr: SocketAddr, statement: &str) -> (Outcome, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, RESPONSE_TIMEOUT) else {
        return (Outcome::NotConnected, String::new());
    };
    let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    let request = format!(
        "POST / HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{statement}",
        statement.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return (Outcome::Incomplete, String::new());
    }
    let mut bytes = Vec::new();
    let closed = stream.read_to_end(&mut bytes).is_ok();
    let response = String::from_utf8_lossy(&bytes).into_owned();
    (classify_response(&response, closed), response)
}

/// What a response says of its request: it is exactly one, and complete, or none. `closed`: the connection was closed in order.
pub fn classify_response(response: &str, closed: bool) -> Outcome {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return Outcome::Incomplete;
    };
    if body.contains("HTTP/1.1 ") {
        return Outcome::Malformed;
    }
    let is_complete = match content_length(head) {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n") || body.is_empty() && closed,
    };
    if !is_complete {
        return Outcome::Incomplete;
    }
    let status = head.split(' ').nth(1).and_then(|s| s.parse::<u16>().ok());
    match status {
        Some(200) => Outcome::Served,
        Some(429 | 503) => Outcome::Rejected,
        Some(_) => Outcome::Failed,
        None => Outcome::Malformed,
    }
}

fn content_length(head: &str) -> Option<usize> {
    head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        if !name.eq_ignore_ascii_case("content-length") {
            return None;
        }
        value.trim().parse().ok()
    })
}
