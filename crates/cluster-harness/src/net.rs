//! Forwards datagrams between processes, and drops, delays, duplicates, throttles or blocks them according to the link between
//! sender and receiver.
//!
//! Each member has a public socket here, to which the others send. One thread per socket receives datagrams and draws the effect of
//! the link on each. Another thread delivers due datagrams to the address on which the member's process currently listens.

use driftfront_cluster_simulation::{Directions, Group, Link, Links};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of datagrams in flight. Further ones are lost, as on a saturated link.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 10_000;
/// How often the threads check whether the network was shut down.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the receive buffer. Longer datagrams would be truncated; members send shorter ones.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Maximum queueing delay of a throttled link. Datagrams that would wait longer are lost.
const MAX_THROTTLED_QUEUE: Duration = Duration::from_millis(200);

/// A datagram in flight, ordered by delivery time, then by arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    due: Instant,
    sequence: u64,
    to: u32,
    bytes: Vec<u8>,
}

/// State shared by the network's threads.
struct Shared {
    /// The address on which each member's process listens; `None` if none has been set.
    processes: Vec<Option<SocketAddr>>,
    links: Links,
    rng: SmallRng,
    /// Number of datagrams received so far.
    sequence: u64,
    /// When the queue of a throttled link will be drained, by sender and receiver.
    drained_at: BTreeMap<(u32, u32), Instant>,
}

impl Shared {
    /// Returns the member whose process sends from this address.
    fn member_at(&self, addr: SocketAddr) -> Option<u32> {
        let known = (0..).zip(&self.processes);
        known
            .filter(|(_, process)| **process == Some(addr))
            .map(|(member, _)| member)
            .next()
    }

    /// Queues `bytes` on a throttled link (`rate` in bytes per second, 0 for no limit). Returns the delay that this adds, or `None`
    /// if the queue is full.
    fn queue_throttled(&mut self, from: u32, to: u32, rate: u64, bytes: usize) -> Option<Duration> {
        if rate == 0 {
            return Some(Duration::ZERO);
        }
        let now = Instant::now();
        let drained_at = self.drained_at.get(&(from, to)).copied();
        let begin = drained_at.unwrap_or(now).max(now);
        let transfer = time_at_rate(bytes, rate);
        (begin - now < MAX_THROTTLED_QUEUE).then(|| {
            self.drained_at.insert((from, to), begin + transfer);
            begin + transfer - now
        })
    }
}

/// Returns the transfer time of `bytes` at a rate in bytes per second.
fn time_at_rate(bytes: usize, rate: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate as f64)
}

/// A link without added latency, the default where a script sets none.
fn unimpaired_link() -> Link {
    Link {
        delay: 0,
        jitter: 0,
        ..Link::default()
    }
}

/// The network between the members of a harness.
#[derive(Clone)]
pub struct Net {
    /// The address to which other members send each member's datagrams.
    public: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    is_shut_down: Arc<AtomicBool>,
}

impl Net {
    /// Starts the network. All random draws come from `seed`.
    ///
    /// # Panics
    ///
    /// Panics if a socket can't be bound on loopback.
    pub fn start(members: u32, engines: u32, zones: u32, seed: u64) -> Net {
        let shared = Shared {
            processes: vec![None; members as usize],
            links: Links::new(members, zones, unimpaired_link()).with_engines(engines),
            rng: SmallRng::seed_from_u64(seed),
            sequence: 0,
            drained_at: BTreeMap::new(),
        };
        let shared = Arc::new(Mutex::new(shared));
        let is_shut_down = Arc::new(AtomicBool::new(false));
        let (send, due) = channel();
        let mut public = Vec::new();
        for member in 0..members {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("binding a loopback port");
            socket
                .set_read_timeout(Some(POLL_INTERVAL))
                .expect("setting the read timeout");
            public.push(socket.local_addr().expect("reading the local address"));
            let (shared, is_shut_down, send) = (shared.clone(), is_shut_down.clone(), send.clone());
            std::thread::spawn(move || receive(&socket, member, &shared, &is_shut_down, &send));
        }
        let (delivery_shared, delivery_is_shut_down) = (shared.clone(), is_shut_down.clone());
        std::thread::spawn(move || deliver(&due, &delivery_shared, &delivery_is_shut_down));
        Net {
            public,
            shared,
            is_shut_down,
        }
    }

    /// Returns the address to which other members send a member's datagrams.
    pub fn public_addr(&self, member: u32) -> SocketAddr {
        self.public[member as usize]
    }

    /// Sets the address on which a member's process listens from now on.
    pub fn set_process_addr(&self, member: u32, process: SocketAddr) {
        self.with_shared(|s| s.processes[member as usize] = Some(process));
    }

    fn with_shared<T>(&self, work: impl FnOnce(&mut Shared) -> T) -> T {
        work(
            &mut self
                .shared
                .lock()
                .expect("no thread panics while holding the lock"),
        )
    }

    /// Replaces the links from each member of `from` to each member of `to`.
    pub fn set_link(&self, from: &Group, to: &Group, link: Link) {
        self.with_shared(|s| s.links.set(from, to, link));
    }

    /// Blocks traffic between `some` members and all others.
    pub fn cut(&self, some: &[u32], directions: Directions) {
        self.with_shared(|s| s.links.cut(some, directions));
    }

    /// Blocks traffic between `some` and `from`. Directions are seen from `some`.
    pub fn partition(&self, some: &[Group], from: &Group, directions: Directions) {
        self.with_shared(|s| {
            let some = s.links.all_of(some);
            let others = s.links.all_of(std::slice::from_ref(from));
            s.links.partition(&some, &others, directions);
        });
    }

    /// Returns the numbers of the members and engines in these groups. Engines are numbered after the members.
    pub fn numbers_of(&self, groups: &[Group]) -> Vec<u32> {
        self.with_shared(|s| s.links.all_of(groups))
    }

    /// Returns the link from one member or engine to another, by number.
    pub fn link_between(&self, from: u32, to: u32) -> Link {
        self.with_shared(|s| s.links.between(from, to))
    }

    /// Draws the transfer time of `bytes` of a connection on this link. Returns `None` while the link is cut.
    pub fn transfer_time(&self, from: u32, to: u32, bytes: usize) -> Option<Duration> {
        self.with_shared(|s| {
            let link = s.links.between(from, to);
            if link.is_cut {
                return None;
            }
            let jitter = match link.jitter {
                0 => 0,
                most => s.rng.random_range(0..most),
            };
            let throttled = match link.bytes_per_second {
                0 => Duration::ZERO,
                rate => time_at_rate(bytes, rate),
            };
            Some(Duration::from_micros(link.delay + jitter) + throttled)
        })
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.with_shared(|s| s.links.heal());
    }

    /// Stops the network's threads.
    pub fn shut_down(&self) {
        self.is_shut_down.store(true, Ordering::Relaxed);
    }

    /// Returns whether the network was shut down.
    pub fn is_shut_down(&self) -> bool {
        self.is_shut_down.load(Ordering::Relaxed)
    }
}

/// Receives datagrams sent to a member, and draws the effect of the link on each.
fn receive(
    socket: &UdpSocket,
    to: u32,
    shared: &Mutex<Shared>,
    is_shut_down: &AtomicBool,
    send: &Sender<InFlight>,
) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    while !is_shut_down.load(Ordering::Relaxed) {
        let Ok((n, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        let Ok(mut s) = shared.lock() else { return };
        // Datagrams from non-members, such as a flood that a test sends, are forwarded unchanged.
        let sender = s.member_at(from);
        let link = sender.map_or(unimpaired_link(), |m| s.links.between(m, to));
        let queued = sender.map_or(Some(Duration::ZERO), |m| {
            s.queue_throttled(m, to, link.bytes_per_second, n)
        });
        for after in link.draw_latencies(&mut s.rng) {
            let Some(queued) = queued else { continue };
            s.sequence += 1;
            let _ = send.send(InFlight {
                due: Instant::now() + Duration::from_micros(after) + queued,
                sequence: s.sequence,
                to,
                bytes: bytes[..n].to_vec(),
            });
        }
    }
}

/// Delivers each datagram when it is due.
fn deliver(received: &Receiver<InFlight>, shared: &Mutex<Shared>, is_shut_down: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("binding a loopback port");
    let mut waiting: BinaryHeap<Reverse<InFlight>> = BinaryHeap::new();
    while !is_shut_down.load(Ordering::Relaxed) {
        let next = waiting
            .peek()
            .map(|d| d.0.due.saturating_duration_since(Instant::now()));
        match received.recv_timeout(next.unwrap_or(POLL_INTERVAL).min(POLL_INTERVAL)) {
            Ok(datagram) if waiting.len() < MAX_DATAGRAMS_IN_FLIGHT => {
                waiting.push(Reverse(datagram))
            }
            Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while waiting.peek().is_some_and(|d| d.0.due <= Instant::now()) {
            let Some(Reverse(InFlight { to, bytes, .. })) = waiting.pop() else {
                break;
            };
            let process = shared.lock().ok().and_then(|s| s.processes[to as usize]);
            if let Some(addr) = process {
                let _ = socket.send_to(&bytes, addr);
            }
        }
    }
}
