//! Many members and the network between them, on virtual time: one thread, one seed, the same to the byte each time.

use crate::rights::{Leases, Load};
use crate::script::{FaultAction, Link, Links, Script};
use driftfront_cluster::consensus::replica::Write;
use driftfront_cluster::{
    consensus, Cluster, Counters, Identity, Key, Keyring, MemberMetadata, MemberStatus, Micros,
    Options,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What clocks show at a script's beginning: later than any script sets one back.
const BEGIN: Micros = 100_000_000_000;
/// A process looks at its timers this often.
const SWEEP: Micros = 25_000;
/// Datagrams that a process's socket holds while it stands still.
const SOCKET_HOLDS: usize = 256;
/// Members whose addresses all are told at their start.
const SEEDS: u32 = 3;

struct Process {
    fleet: Option<Cluster>,
    /// Stands still; what comes waits in its socket.
    stopped: bool,
    socket: VecDeque<Vec<u8>>,
    /// What its clock shows more than the world's.
    clock: i64,
    /// Counts of its earlier lives.
    before: Counters,
    /// What its disk holds, and what waits to be.
    disk: Vec<u8>,
    writes: VecDeque<Write>,
    /// Which life it is in: what one wrote is nothing to the next.
    life: u32,
}

enum Event {
    Look(u32),
    Deliver(u32, Vec<u8>),
    /// A write of that life is on the disk.
    Kept(u32, u32),
}

/// A member's view of another's standing, and when it came to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// When.
    pub at: Micros,
    /// Who sees.
    pub by: u32,
    /// Whom.
    pub of: u32,
    /// How.
    pub standing: Option<MemberStatus>,
}

/// The world.
pub struct World {
    now: Micros,
    script: Script,
    next_action: usize,
    processes: Vec<Process>,
    links: Links,
    queue: BTreeMap<(Micros, u64), Event>,
    order: u64,
    rng: SmallRng,
    /// Standing of each at each, as last seen.
    views: BTreeMap<(u32, u32), MemberStatus>,
    /// Each change of them, in order.
    pub seen: Vec<Seen>,
    /// A sum over all that was sent, for comparing runs.
    pub trace: u64,
    /// Members that ask for rights, and what is held: see [`World::ask`].
    pub rights: Option<Leases>,
}

/// The name of a member.
pub fn name(member: u32) -> String {
    format!("m{member}")
}

/// Where a member's datagrams go.
pub fn addr(member: u32) -> SocketAddr {
    SocketAddr::from(([127, 1, (member >> 8) as u8, member as u8], 7946))
}

fn member_at(addr: SocketAddr) -> Option<u32> {
    match addr {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            Some(u32::from(high) << 8 | u32::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

/// The key of all members.
pub const KEY: &str = "000102030405060708090a0b0c0d0e0f";

/// A keyring of it.
pub fn keys() -> Keyring {
    Keyring::of(Key::parse(KEY).expect("32 digits"))
}

impl World {
    /// All members of a script, just started.
    pub fn new(script: Script) -> World {
        let rng = SmallRng::seed_from_u64(script.seed);
        let process = |_| Process {
            fleet: None,
            stopped: false,
            socket: VecDeque::new(),
            clock: 0,
            before: Counters::default(),
            disk: Vec::new(),
            writes: VecDeque::new(),
            life: 0,
        };
        let mut world = World {
            now: BEGIN,
            next_action: 0,
            processes: (0..script.members).map(process).collect(),
            links: Links::new(script.members, script.zones, Link::default()),
            queue: BTreeMap::new(),
            order: 0,
            rng,
            views: BTreeMap::new(),
            seen: Vec::new(),
            trace: 0xcbf2_9ce4_8422_2325,
            rights: None,
            script,
        };
        for member in 0..world.script.members {
            world.start(member);
        }
        world
    }

    /// Time since the script's beginning.
    pub fn time(&self) -> Micros {
        self.now - BEGIN
    }

    /// Does what this line of a script says, now.
    pub fn now(&mut self, line: &str) {
        let script = Script::read(line).expect("a line of a script");
        for (_, action) in script.actions {
            self.action(action);
        }
    }

    /// From now on members ask for rights, and it is looked at whether any is held twice.
    pub fn ask(&mut self, load: Load) {
        self.rights = Some(Leases::new(load, self.script.seed));
    }

    /// Each has a replica of the log or a copy of what is agreed, and some member leads.
    pub fn led(&mut self) -> Option<u32> {
        let leads = |f: &Cluster| {
            f.consensus()
                .and_then(|a| a.replica())
                .is_some_and(|r| r.leads())
        };
        self.living()
            .into_iter()
            .find(|&m| self.processes[m as usize].fleet.as_ref().is_some_and(leads))
    }

    /// A member's disk, to be spoilt.
    pub fn disk(&mut self, member: u32) -> &mut Vec<u8> {
        &mut self.processes[member as usize].disk
    }

    /// What a member's clock shows.
    pub fn clock_of(&self, member: u32) -> Micros {
        self.clock(member)
    }

    /// A member's fleet, while it lives.
    pub fn fleet(&mut self, member: u32) -> Option<&mut Cluster> {
        self.processes[member as usize].fleet.as_mut()
    }

    /// Members that live and don't stand still.
    pub fn living(&self) -> Vec<u32> {
        let lives = |m: &u32| {
            let p = &self.processes[*m as usize];
            p.fleet.is_some() && !p.stopped
        };
        (0..self.script.members).filter(lives).collect()
    }

    /// Counts of all lives of a member.
    pub fn counters(&self, member: u32) -> Counters {
        let p = &self.processes[member as usize];
        let mut sum = p.before;
        if let Some(c) = p.fleet.as_ref().map(Cluster::counters) {
            sum.sent += c.sent;
            sum.sent_bytes += c.sent_bytes;
            sum.accepted += c.accepted;
            sum.members_down += c.members_down;
            sum.rejoins += c.rejoins;
            sum.rate_limited += c.rate_limited;
            sum.replayed += c.replayed;
            sum.stale_session += c.stale_session;
            sum.unreadable += c.unreadable;
            sum.refused += c.refused;
        }
        sum
    }

    /// How one sees another now; `None` where it does not know it.
    pub fn standing(&self, by: u32, of: u32) -> Option<MemberStatus> {
        self.views.get(&(by, of)).copied()
    }

    /// Whether all that live see just these there.
    pub fn agree(&self, there: &[u32]) -> bool {
        let sees = |by: u32, of: u32| {
            matches!(
                self.standing(by, of),
                Some(MemberStatus::Alive | MemberStatus::Suspected)
            )
        };
        let all = 0..self.script.members;
        self.living().iter().all(|&by| {
            all.clone()
                .filter(|&of| of != by)
                .all(|of| sees(by, of) == there.contains(&of))
        })
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.queue.insert((at, self.order), event);
    }

    fn start(&mut self, member: u32) {
        let clock = self.clock(member);
        let seed = self.rng.random();
        let phase = self.rng.random_range(0..SWEEP);
        let session = Identity::session_at(clock, self.rng.random());
        let p = &mut self.processes[member as usize];
        if p.fleet.is_some() {
            return;
        }
        let me = Identity {
            name: name(member),
            addr: addr(member),
            session,
            back: 0,
        };
        let about = MemberMetadata {
            zone: format!("z{}", member % self.script.zones),
            build: "lab".into(),
            since_ms: clock / 1000,
            ..MemberMetadata::default()
        };
        let seeds = (0..SEEDS.min(self.script.members)).map(addr).collect();
        let initial_voters = (0..self.script.voters).map(name).collect();
        let file = self.script.keeps.then(|| p.disk.clone());
        let asked = consensus::Options {
            initial_voters,
            replace_after: self.script.replace_after,
            zone: about.zone.clone(),
            file,
        };
        let agreed = (self.script.voters > 0).then_some(asked);
        let options = Options {
            identity: me,
            metadata: about,
            keys: keys(),
            seeds,
            seed,
            consensus: agreed,
        };
        p.life += 1;
        p.writes.clear();
        if let Ok(loaded) = consensus::store::read(&p.disk) {
            p.disk.truncate(loaded.valid_bytes);
        }
        p.fleet = Some(Cluster::new(clock, options));
        p.socket.clear();
        p.stopped = false;
        self.push(self.now + phase, Event::Look(member));
    }

    fn clock(&self, member: u32) -> Micros {
        (self.now as i64 + self.processes[member as usize].clock) as Micros
    }

    fn end(&mut self, member: u32) {
        let before = self.counters(member);
        let p = &mut self.processes[member as usize];
        p.before = before;
        p.fleet = None;
        // The write under way is torn where the power went.
        if let Some(write) = p.writes.pop_front().filter(|w| !w.replaces_file) {
            let torn = self.rng.random_range(0..=write.bytes.len());
            p.disk.extend_from_slice(&write.bytes[..torn]);
        }
        p.writes.clear();
        if let Some(rights) = &mut self.rights {
            rights.ended(member);
        }
        p.socket.clear();
        // What it saw is not asked any more.
        self.views.retain(|(by, _), _| *by != member);
    }

    fn carry(&mut self, from: u32, to: SocketAddr, bytes: Vec<u8>) {
        for b in &bytes {
            self.trace = (self.trace ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        }
        let Some(to) = member_at(to).filter(|&m| m < self.script.members) else {
            return;
        };
        for after in self.links.between(from, to).carry(&mut self.rng) {
            self.push(self.now + after, Event::Deliver(to, bytes.clone()));
        }
    }

    /// What a process does once something has come, or its time.
    fn work(&mut self, member: u32, look: bool) {
        let clock = self.clock(member);
        let p = &mut self.processes[member as usize];
        if p.stopped {
            return;
        }
        let Some(fleet) = p.fleet.as_mut() else {
            return;
        };
        for bytes in p.socket.drain(..) {
            fleet.handle_datagram(clock, &bytes);
        }
        if look {
            fleet.tick(clock);
        }
        if let (true, Some(rights)) = (look, self.rights.as_mut()) {
            rights.go_on(member, self.now - BEGIN, clock, fleet);
        }
        self.hand_on(member);
    }

    /// Sends and keeps what a process has ready.
    fn hand_on(&mut self, member: u32) {
        let p = &mut self.processes[member as usize];
        let Some(fleet) = p.fleet.as_mut() else {
            return;
        };
        let (mut sends, mut kept, life) = (Vec::new(), 0, p.life);
        while let Some(send) = fleet.next_outgoing() {
            sends.push(send);
        }
        while let Some(write) = fleet.next_write() {
            p.writes.push_back(write);
            kept += 1;
        }
        for _ in 0..kept {
            let after = self.rng.random_range(500..8_000);
            self.push(self.now + after, Event::Kept(member, life));
        }
        for (to, bytes) in sends {
            self.carry(member, to, bytes);
        }
    }

    /// The disk has taken the next write.
    fn keep(&mut self, member: u32, life: u32) {
        let p = &mut self.processes[member as usize];
        if p.life != life {
            return;
        }
        if p.stopped {
            return self.push(self.now + SWEEP, Event::Kept(member, life));
        }
        let (Some(fleet), Some(write)) = (p.fleet.as_mut(), p.writes.pop_front()) else {
            return;
        };
        if write.replaces_file {
            p.disk.clear();
        }
        // As the program opens it: whatever was torn is cut before anything is written behind it.
        p.disk.extend_from_slice(&write.bytes);
        fleet.confirm_write(write.number);
        self.hand_on(member);
    }

    /// Looks whether of any pot more is held than there is, by what each would do now.
    fn check(&mut self) {
        let Some(mut rights) = self.rights.take() else {
            return;
        };
        for member in self.living() {
            let clock = self.clock(member);
            if let Some(agreed) = self.processes[member as usize]
                .fleet
                .as_ref()
                .and_then(Cluster::consensus)
            {
                rights.holds(member, clock, agreed);
            }
        }
        rights.check(self.now - BEGIN);
        self.rights = Some(rights);
    }

    /// Notes what has changed in how a member sees the others.
    fn watch(&mut self, by: u32) {
        let Some(fleet) = self.processes[by as usize].fleet.as_ref() else {
            return;
        };
        for view in fleet.members().into_iter().filter(|v| !v.is_self) {
            let Some(of) = view.name.strip_prefix('m').and_then(|n| n.parse().ok()) else {
                continue;
            };
            if self.views.insert((by, of), view.status) != Some(view.status) {
                self.seen.push(Seen {
                    at: self.now - BEGIN,
                    by,
                    of,
                    standing: Some(view.status),
                });
            }
        }
    }

    fn action(&mut self, action: FaultAction) {
        match action {
            FaultAction::Link(from, to, link) => self.links.set(&from, &to, link),
            FaultAction::Heal => self.links.heal(),
            FaultAction::Cut(groups, ways) => {
                self.links.cut(&self.script.members_of(&groups), ways)
            }
            FaultAction::Part(groups, from, ways) => {
                let others = self.links.all_of(&[from]);
                self.links
                    .part(&self.script.members_of(&groups), &others, ways);
            }
            // There are no connections here.
            FaultAction::Reset(..) => {}
            FaultAction::Kill(groups) => self
                .script
                .members_of(&groups)
                .into_iter()
                .for_each(|m| self.end(m)),
            FaultAction::Stop(groups) => {
                for m in self.script.members_of(&groups) {
                    self.processes[m as usize].stopped = true;
                }
            }
            FaultAction::Wake(groups) => {
                for m in self.script.members_of(&groups) {
                    self.processes[m as usize].stopped = false;
                    self.work(m, false);
                }
            }
            FaultAction::Start(groups) => self
                .script
                .members_of(&groups)
                .into_iter()
                .for_each(|m| self.start(m)),
            FaultAction::Leave(groups) => {
                for m in self.script.members_of(&groups) {
                    let clock = self.clock(m);
                    if let Some(fleet) = self.fleet(m) {
                        fleet.leave(clock);
                    }
                    self.work(m, false);
                    self.end(m);
                }
            }
            FaultAction::Clock(groups, by) => {
                for m in self.script.members_of(&groups) {
                    self.processes[m as usize].clock += by;
                }
            }
        }
    }

    /// Plays on until this time of the script, or until this holds; whether it does.
    pub fn play(&mut self, until: Micros, holds: impl Fn(&World) -> bool) -> bool {
        while self.time() < until {
            let due = self
                .script
                .actions
                .get(self.next_action)
                .map(|d| d.0 + BEGIN);
            let next = self.queue.first_key_value().map(|e| e.0 .0);
            let end = until + BEGIN;
            let at = due.into_iter().chain(next).min().unwrap_or(end);
            if at > end {
                self.now = end;
                break;
            }
            self.now = self.now.max(at);
            if due.is_some_and(|due| due <= at) {
                let action = self.script.actions[self.next_action].1.clone();
                self.next_action += 1;
                self.action(action);
                continue;
            }
            match self.queue.pop_first().map(|e| e.1) {
                Some(Event::Look(m)) => {
                    if self.processes[m as usize].fleet.is_some() {
                        self.push(self.now + SWEEP, Event::Look(m));
                    }
                    if !self.processes[m as usize].stopped {
                        self.work(m, true);
                        self.watch(m);
                        if holds(self) {
                            return true;
                        }
                    }
                }
                Some(Event::Deliver(to, bytes)) => {
                    let p = &mut self.processes[to as usize];
                    if p.fleet.is_some() && p.socket.len() < SOCKET_HOLDS {
                        p.socket.push_back(bytes);
                        self.work(to, false);
                    }
                }
                Some(Event::Kept(m, life)) => self.keep(m, life),
                None => {}
            }
            self.check();
        }
        holds(self)
    }
}
