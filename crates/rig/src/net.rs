//! Datagrams between processes, by the link between the two.

use driftfront_lab::script::{Group, Link};
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
    links: BTreeMap<(u32, u32), Link>,
    usual: Vec<(Group, Group, Link)>,
    zones: u32,
    rng: SmallRng,
    order: u64,
    /// Datagrams let through, and lost.
    through: u64,
    lost: u64,
}

impl Shared {
    fn link(&self, from: u32, to: u32) -> Link {
        if let Some(link) = self.links.get(&(from, to)) {
            return *link;
        }
        let usual = self.usual.iter().rev().find(|u| u.0.has(from, self.zones) && u.1.has(to, self.zones));
        // Loopback by itself: the rig adds nothing where no script says so.
        usual.map_or(Link { delay: 0, jitter: 0, ..Link::default() }, |u| u.2)
    }
}

/// The network between the members of a rig.
pub struct Net {
    public: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    over: Arc<AtomicBool>,
    members: u32,
}

impl Net {
    /// For so many members; all that is drawn comes from this seed.
    pub fn start(members: u32, zones: u32, seed: u64) -> Net {
        let shared = Shared {
            inner: vec![None; members as usize],
            links: BTreeMap::new(),
            usual: Vec::new(),
            zones,
            rng: SmallRng::seed_from_u64(seed),
            order: 0,
            through: 0,
            lost: 0,
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
        Net { public, shared, over, members }
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
        self.with(|s| s.usual.push((from.clone(), to.clone(), link)));
    }

    /// Nothing comes between these and all others: from them, to them.
    pub fn cut(&self, some: &[u32], (out, into): (bool, bool)) {
        let members = self.members;
        self.with(|s| {
            for &one in some {
                for other in (0..members).filter(|m| !some.contains(m)) {
                    for (way, cut) in [((one, other), out), ((other, one), into)] {
                        if cut {
                            let link = Link { cut: true, ..s.link(way.0, way.1) };
                            s.links.insert(way, link);
                        }
                    }
                }
            }
        });
    }

    /// No cut is left.
    pub fn heal(&self) {
        self.with(|s| s.links.clear());
    }

    /// Datagrams let through, and lost.
    pub fn counts(&self) -> (u64, u64) {
        self.with(|s| (s.through, s.lost))
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn receive(socket: &UdpSocket, to: u32, shared: &Mutex<Shared>, over: &AtomicBool, send: &Sender<Due>) {
    let mut bytes = [0; 2048];
    while !over.load(Ordering::Relaxed) {
        let Ok((n, from)) = socket.recv_from(&mut bytes) else { continue };
        let Ok(mut s) = shared.lock() else { return };
        // Who is no member, as a flood from elsewhere, comes through as it is.
        let sender = s.inner.iter().position(|i| *i == Some(from)).map(|m| m as u32);
        let link = sender.map_or(Link { delay: 0, jitter: 0, ..Link::default() }, |m| s.link(m, to));
        let copies = 1 + u32::from(s.rng.random_bool(link.repeat));
        for _ in 0..copies {
            if link.cut || s.rng.random_bool(link.loss) {
                s.lost += 1;
                continue;
            }
            s.through += 1;
            let late = if link.jitter > 0 { s.rng.random_range(0..link.jitter) } else { 0 };
            let at = Instant::now() + Duration::from_micros(link.delay + late);
            s.order += 1;
            let _ = send.send((at, s.order, to, bytes[..n].to_vec()));
        }
    }
}

fn deliver(due: &Receiver<Due>, shared: &Mutex<Shared>, over: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut waiting: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    while !over.load(Ordering::Relaxed) {
        let next = waiting.peek().map(|d| d.0 .0.saturating_duration_since(Instant::now()));
        match due.recv_timeout(next.unwrap_or(POLL).min(POLL)) {
            Ok(one) if waiting.len() < UNDER_WAY => waiting.push(Reverse(one)),
            Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while waiting.peek().is_some_and(|d| d.0 .0 <= Instant::now()) {
            let Some(Reverse((_, _, to, bytes))) = waiting.pop() else { break };
            let inner = shared.lock().ok().and_then(|s| s.inner[to as usize]);
            if let Some(inner) = inner {
                let _ = socket.send_to(&bytes, inner);
            }
        }
    }
}
