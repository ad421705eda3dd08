//! Forwards datagrams between processes, as the link between the two allows: lost, late, repeated, throttled or cut.
//!
//! Each member has a public socket here, to which the others send. One thread per socket receives and draws what the link does to a
//! datagram; one thread delivers what is due to where the member's process listens at that moment.

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

/// Datagrams in flight at once; more are lost, as on a full link.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 10_000;
/// The threads look this often whether the network has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest datagram that is forwarded whole; members send shorter ones.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Time that a throttled link's queue takes to drain at most; what would wait longer is lost.
const MAX_THROTTLED_QUEUE: Duration = Duration::from_millis(200);

/// A datagram in flight. Ordered by when it is due, then by when it was received.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    due: Instant,
    sequence: u64,
    to: u32,
    bytes: Vec<u8>,
}

/// What the network's threads share.
struct Shared {
    /// Where each member's process listens; `None` while it does not run.
    processes: Vec<Option<SocketAddr>>,
    links: Links,
    rng: SmallRng,
    /// Datagrams received so far.
    sequence: u64,
    /// When the queue of a throttled link is drained, by sender and receiver.
    drained_at: BTreeMap<(u32, u32), Instant>,
}

impl Shared {
    /// The member whose process sends from this address.
    fn member_at(&self, addr: SocketAddr) -> Option<u32> {
        let known = (0..).zip(&self.processes);
        known
            .filter(|(_, process)| **process == Some(addr))
            .map(|(member, _)| member)
            .next()
    }

    /// Queues `bytes` on a throttled link (`rate`: bytes a second, 0 for no limit). The delay that this adds; `None` where the queue
    /// is full.
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

/// How long `bytes` take at a rate in bytes a second.
fn time_at_rate(bytes: usize, rate: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate as f64)
}

/// A link that adds nothing to loopback: what holds where no script says otherwise.
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
    /// Where others send each member's datagrams.
    public: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    has_ended: Arc<AtomicBool>,
}

impl Net {
    /// Starts the network of so many members and engines; all that is drawn at random comes from this seed.
    ///
    /// # Panics
    ///
    /// Panics where a socket can't be bound on loopback.
    pub fn start(members: u32, engines: u32, zones: u32, seed: u64) -> Net {
        let shared = Shared {
            processes: vec![None; members as usize],
            links: Links::new(members, zones, unimpaired_link()).with_engines(engines),
            rng: SmallRng::seed_from_u64(seed),
            sequence: 0,
            drained_at: BTreeMap::new(),
        };
        let shared = Arc::new(Mutex::new(shared));
        let has_ended = Arc::new(AtomicBool::new(false));
        let (send, due) = channel();
        let mut public = Vec::new();
        for member in 0..members {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
            socket
                .set_read_timeout(Some(POLL_INTERVAL))
                .expect("a timeout");
            public.push(socket.local_addr().expect("an address"));
            let (shared, has_ended, send) = (shared.clone(), has_ended.clone(), send.clone());
            std::thread::spawn(move || receive(&socket, member, &shared, &has_ended, &send));
        }
        let (for_delivery, ended) = (shared.clone(), has_ended.clone());
        std::thread::spawn(move || deliver(&due, &for_delivery, &ended));
        Net {
            public,
            shared,
            has_ended,
        }
    }

    /// Where others send a member's datagrams.
    pub fn public_addr(&self, member: u32) -> SocketAddr {
        self.public[member as usize]
    }

    /// Sets where a member's process listens from now on.
    pub fn set_process_addr(&self, member: u32, process: SocketAddr) {
        self.with(|s| s.processes[member as usize] = Some(process));
    }

    fn with<T>(&self, work: impl FnOnce(&mut Shared) -> T) -> T {
        work(&mut self.shared.lock().expect("no thread panics with it"))
    }

    /// Replaces the links from each member of `from` to each member of `to`.
    pub fn set_link(&self, from: &Group, to: &Group, link: Link) {
        self.with(|s| s.links.set(from, to, link));
    }

    /// Cuts the links between `some` and all others.
    pub fn cut(&self, some: &[u32], directions: Directions) {
        self.with(|s| s.links.cut(some, directions));
    }

    /// Cuts the links between `some` and `from`; directions are of the former.
    pub fn partition(&self, some: &[Group], from: &Group, directions: Directions) {
        self.with(|s| {
            let some = s.links.all_of(some);
            let others = s.links.all_of(std::slice::from_ref(from));
            s.links.partition(&some, &others, directions);
        });
    }

    /// The members of these groups, by number; engines are numbered after the members.
    pub fn numbers_of(&self, groups: &[Group]) -> Vec<u32> {
        self.with(|s| s.links.all_of(groups))
    }

    /// The link from one to another, by number.
    pub fn between(&self, from: u32, to: u32) -> Link {
        self.with(|s| s.links.between(from, to))
    }

    /// How long `bytes` of a connection take on this link, drawn at random each time; `None` while the link is cut.
    pub fn transfer_time(&self, from: u32, to: u32, bytes: usize) -> Option<Duration> {
        self.with(|s| {
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

    /// Mends all cuts.
    pub fn heal(&self) {
        self.with(|s| s.links.heal());
    }

    /// Ends the network's threads.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }
}

/// Receives what is sent to a member, and draws what the link does to it.
fn receive(
    socket: &UdpSocket,
    to: u32,
    shared: &Mutex<Shared>,
    has_ended: &AtomicBool,
    send: &Sender<InFlight>,
) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    while !has_ended.load(Ordering::Relaxed) {
        let Ok((n, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        let Ok(mut s) = shared.lock() else { return };
        // Datagrams of others than members, as a flood from elsewhere, are forwarded as they are.
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

/// Delivers each datagram once it is due.
fn deliver(received: &Receiver<InFlight>, shared: &Mutex<Shared>, has_ended: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut waiting: BinaryHeap<Reverse<InFlight>> = BinaryHeap::new();
    while !has_ended.load(Ordering::Relaxed) {
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
            if let Some(inner) = process {
                let _ = socket.send_to(&bytes, inner);
            }
        }
    }
}
