//! Clients that send requests to the members of a harness, and the outcome of each request: exactly one complete response, or a
//! broken connection if the process was killed.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Connect and read timeout. A response that takes longer counts as incomplete.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The response had status 200.
    Served,
    /// The response had status 429 or 503: the request was not executed, or is safe to retry.
    Rejected,
    /// The response had any other status.
    Failed,
    /// The connection ended before a complete response.
    Incomplete,
    /// The connection was not established, so the request was never accepted.
    NotConnected,
    /// The client received more than one response, or something that is not a response.
    Malformed,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The member it was sent to.
    pub member: u32,
    /// The statement.
    pub statement: String,
    /// Its outcome.
    pub outcome: Outcome,
    /// When it was sent, relative to the start of the load.
    pub sent_at: Duration,
    /// When it completed, relative to the start of the load.
    pub ended_at: Duration,
    /// All bytes received.
    pub response: String,
}

/// How clients send requests.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Number of clients per member.
    pub clients_per_member: u32,
    /// Maximum number of requests per client.
    pub max_requests: u32,
    /// Every n-th request of a client is an insert into a table that belongs to its member; 0 disables inserts.
    pub insert_interval: u32,
    /// Time that a client waits between requests.
    pub pause: Duration,
}

/// Running clients.
pub struct Load {
    clients: Vec<JoinHandle<()>>,
    shared: Arc<Shared>,
}

/// State shared by all clients.
struct Shared {
    plan: LoadPlan,
    started: Instant,
    is_stopped: AtomicBool,
    /// Number of the next statement.
    next_number: AtomicU64,
    /// The address that each member's clients currently connect to.
    addrs: Mutex<BTreeMap<u32, SocketAddr>>,
    records: Mutex<Vec<RequestRecord>>,
}

impl Load {
    /// Starts clients for the members that listen on these addresses.
    pub fn start(addrs: BTreeMap<u32, SocketAddr>, plan: &LoadPlan) -> Load {
        let members: Vec<u32> = addrs.keys().copied().collect();
        let shared = Arc::new(Shared {
            plan: plan.clone(),
            started: Instant::now(),
            is_stopped: AtomicBool::new(false),
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

    /// Makes the clients of a member connect to `addr` from now on.
    pub fn set_addr(&self, member: u32, addr: SocketAddr) {
        if let Ok(mut addrs) = self.shared.addrs.lock() {
            addrs.insert(member, addr);
        }
    }

    /// Returns the number of completed requests.
    pub fn completed(&self) -> usize {
        self.shared.records.lock().map_or(0, |r| r.len())
    }

    /// Stops all clients after their current request, and returns all requests.
    pub fn stop(self) -> Vec<RequestRecord> {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        let records = self.shared.records.lock();
        records.map(|r| r.clone()).unwrap_or_default()
    }
}

impl Shared {
    fn run_client(&self, member: u32) {
        for index in 0..self.plan.max_requests {
            if self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            let record = self.send_request(member, index);
            if let Ok(mut records) = self.records.lock() {
                records.push(record);
            }
            std::thread::sleep(self.plan.pause);
        }
    }

    /// Sends a client's next request and waits for its outcome.
    fn send_request(&self, member: u32, index: u32) -> RequestRecord {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let interval = self.plan.insert_interval;
        let statement = match interval > 0 && index.is_multiple_of(interval) {
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

/// Counts the requests per outcome.
pub fn count_outcomes(records: &[RequestRecord]) -> BTreeMap<Outcome, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        *counts.entry(record.outcome).or_default() += 1;
    }
    counts
}

/// Sends a statement on a new connection. Returns the outcome and all bytes received.
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

/// Classifies what a client received: exactly one complete response, or an error. `closed` says whether the connection was closed
/// cleanly.
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
