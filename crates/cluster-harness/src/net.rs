//! Datagrams between processes, by the link between the two.

use driftfront_cluster_simulation::{Group, Link, Links};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Datagrams under way at once; more are lost, as on a full link.
const UNDER_WAY: usize = 10_000;
const POLL: Duration = Duration::from_millis(50);

/// A datagram that is due then, for this member.
type Due = (Instant, u64, u32, Vec<u8>);

struct Shared {
    /// Where each process really listens.
    inner: Vec<Option<SocketAddr>>,
    links: Links,
    rng: SmallRng,
    order: u64,
    /// When a throttled link is free again.
    free: BTreeMap<(u32, u32), Instant>,
}

/// A throttled link holds this much; more is lost.
const THROTTLED_MOST: Duration = Duration::from_millis(200);

impl Shared {
    /// How long a throttled link takes for so many bytes behind all that it holds; nothing where they don't fit.
    fn throttle(&mut self, from: u32, to: u32, rate: u64, bytes: usize) -> Option<Duration> {
        if rate == 0 {
            return Some(Duration::ZERO);
        }
        let now = Instant::now();
        let begins = self.free.get(&(from, to)).copied().unwrap_or(now).max(now);
        let takes = Duration::from_secs_f64(bytes as f64 / rate as f64);
        (begins - now < THROTTLED_MOST).then(|| {
            self.free.insert((from, to), begins + takes);
            begins + takes - now
        })
    }
}

/// Loopback by itself: the rig adds nothing where no script says so.
fn bare() -> Link {
    Link {
        delay: 0,
        jitter: 0,
        ..Link::default()
    }
}

/// The network between the members of a rig.
#[derive(Clone)]
pub struct Net {
    public: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    over: Arc<AtomicBool>,
}

impl Net {
    /// For so many members; all that is drawn comes from this seed.
    pub fn start(members: u32, engines: u32, zones: u32, seed: u64) -> Net {
        let shared = Shared {
            inner: vec![None; members as usize],
            links: Links::new(members, zones, bare()).with_engines(engines),
            rng: SmallRng::seed_from_u64(seed),
            order: 0,
            free: BTreeMap::new(),
        };
        let shared = Arc::new(Mutex::new(shared));
        let over = Arc::new(AtomicBool::new(false));
        let (send, due) = channel();
        let mut public = Vec::new();
        for member in 0..members {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
            socket.set_read_timeout(Some(POLL)).expect("a timeout");
            public.push(socket.local_addr().expect("an address"));
            let (shared, over, send) = (shared.clone(), over.clone(), send.clone());
            std::thread::spawn(move || receive(&socket, member, &shared, &over, &send));
        }
        let (held, done) = (shared.clone(), over.clone());
        std::thread::spawn(move || deliver(&due, &held, &done));
        Net {
            public,
            shared,
            over,
        }
    }

    /// Where others send a member's datagrams.
    pub fn public(&self, member: u32) -> SocketAddr {
        self.public[member as usize]
    }

    /// A member's process listens here now.
    pub fn place(&self, member: u32, inner: SocketAddr) {
        self.with(|s| s.inner[member as usize] = Some(inner));
    }

    fn with<T>(&self, work: impl FnOnce(&mut Shared) -> T) -> T {
        work(&mut self.shared.lock().expect("no thread panics with it"))
    }

    /// Links from the first to the second become so.
    pub fn link(&self, from: &Group, to: &Group, link: Link) {
        self.with(|s| s.links.set(from, to, link));
    }

    /// Nothing comes between these and all others: from them, to them.
    pub fn cut(&self, some: &[u32], ways: (bool, bool)) {
        self.with(|s| s.links.cut(some, ways));
    }

    /// Nothing comes between the first and the second: from the first, to them.
    pub fn part(&self, some: &[Group], from: &Group, ways: (bool, bool)) {
        self.with(|s| {
            let (some, others) = (
                s.links.all_of(some),
                s.links.all_of(std::slice::from_ref(from)),
            );
            s.links.part(&some, &others, ways);
        });
    }

    /// All of these groups, by number; engines behind the members.
    pub fn all_of(&self, groups: &[Group]) -> Vec<u32> {
        self.with(|s| s.links.all_of(groups))
    }

    /// The link from one to another, by number.
    pub fn between(&self, from: u32, to: u32) -> Link {
        self.with(|s| s.links.between(from, to))
    }

    /// How long a piece of a connection takes by this link, drawn anew; nothing while nothing comes through.
    pub fn carries(&self, from: u32, to: u32, bytes: usize) -> Option<Duration> {
        self.with(|s| {
            let link = s.links.between(from, to);
            if link.cut {
                return None;
            }
            let jitter = if link.jitter > 0 {
                s.rng.random_range(0..link.jitter)
            } else {
                0
            };
            let throttle = if link.throttle > 0 {
                bytes as f64 / link.throttle as f64
            } else {
                0.0
            };
            Some(Duration::from_micros(link.delay + jitter) + Duration::from_secs_f64(throttle))
        })
    }

    /// No cut is left.
    pub fn heal(&self) {
        self.with(|s| s.links.heal());
    }
}

impl Net {
    /// Its threads end.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Whether it has ended.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }
}

fn receive(
    socket: &UdpSocket,
    to: u32,
    shared: &Mutex<Shared>,
    over: &AtomicBool,
    send: &Sender<Due>,
) {
    let mut bytes = [0; 2048];
    while !over.load(Ordering::Relaxed) {
        let Ok((n, from)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        let Ok(mut s) = shared.lock() else { return };
        // Who is no member, as a flood from elsewhere, comes through as it is.
        let sender = s
            .inner
            .iter()
            .position(|i| *i == Some(from))
            .map(|m| m as u32);
        let link = sender.map_or(bare(), |m| s.links.between(m, to));
        let held = sender.map_or(Some(Duration::ZERO), |m| {
            s.throttle(m, to, link.throttle, n)
        });
        for after in link.carry(&mut s.rng) {
            let Some(held) = held else { continue };
            s.order += 1;
            let at = Instant::now() + Duration::from_micros(after) + held;
            let _ = send.send((at, s.order, to, bytes[..n].to_vec()));
        }
    }
}

fn deliver(due: &Receiver<Due>, shared: &Mutex<Shared>, over: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut waiting: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    while !over.load(Ordering::Relaxed) {
        let next = waiting
            .peek()
            .map(|d| d.0 .0.saturating_duration_since(Instant::now()));
        match due.recv_timeout(next.unwrap_or(POLL).min(POLL)) {
            Ok(one) if waiting.len() < UNDER_WAY => waiting.push(Reverse(one)),
            Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while waiting.peek().is_some_and(|d| d.0 .0 <= Instant::now()) {
            let Some(Reverse((_, _, to, bytes))) = waiting.pop() else {
                break;
            };
            let inner = shared.lock().ok().and_then(|s| s.inner[to as usize]);
            if let Some(inner) = inner {
                let _ = socket.send_to(&bytes, inner);
            }
        }
    }
}
