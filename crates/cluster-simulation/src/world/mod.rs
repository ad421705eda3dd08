//! Many members and the network between them on virtual time: one thread, one seed, and the same bytes in each run.
//!
//! | module | what it does |
//! | --- | --- |
//! | this | the event loop, and what a run shows |
//! | `process` | one process: agent, socket, clock, disk |
//! | `faults` | applies fault actions |
//! | `members` | names, addresses and the key of members |

mod faults;
mod members;
mod process;

pub use members::{keyring, member_addr, member_name, KEY};

use crate::lease_workload::{LeaseLoad, LeaseWorkload};
use crate::script::{FaultAction, Link, Links, Script};
use driftfront_cluster::{
    consensus, Cluster, Counters, Identity, MemberMetadata, MemberStatus, Micros, Options,
};
use members::{member_at, member_named};
use process::Process;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

/// What clocks show when a script starts: later than any script sets one back.
const START: Micros = 100_000_000_000;
/// A process checks its timers this often.
const TICK_INTERVAL: Micros = 25_000;
/// How long a write to the disk takes.
const WRITE_TIME: Range<Micros> = 500..8_000;
/// The first members, whose addresses all members know at their start.
const SEEDS: u32 = 3;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

enum Event {
    /// The member checks its timers.
    Tick(u32),
    /// A datagram arrives at a member.
    Arrival { receiver: u32, bytes: Vec<u8> },
    /// The disk has completed the next write of a member's process of this incarnation.
    WriteCompleted { member: u32, incarnation: u32 },
}

/// Events happen by time, and at the same time in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    number: u64,
}

/// What happens next.
enum Step {
    Action(FaultAction),
    Event(Event),
}

/// A change of how one member sees another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// When, from the script's start.
    pub at: Micros,
    /// The member that sees it.
    pub observer: u32,
    /// The member that is seen.
    pub subject: u32,
    /// The new status.
    pub status: MemberStatus,
}

/// The simulated cluster.
pub struct World {
    now: Micros,
    script: Script,
    next_action: usize,
    processes: Vec<Process>,
    links: Links,
    events: BTreeMap<EventKey, Event>,
    events_scheduled: u64,
    rng: SmallRng,
    /// How members see each other, by observer and subject.
    views: BTreeMap<(u32, u32), MemberStatus>,
    /// All changes of how members see each other, in order.
    pub view_changes: Vec<ViewChange>,
    /// FNV-1a hash of all bytes that were sent, to compare runs.
    pub trace: u64,
    /// The lease workload, if there is one: see [`World::start_lease_workload`].
    pub lease_workload: Option<LeaseWorkload>,
}

impl World {
    /// All members of a script, just started.
    pub fn new(script: Script) -> World {
        let processes = (0..script.members).map(|_| Process::default());
        let mut world = World {
            now: START,
            next_action: 0,
            processes: processes.collect(),
            links: Links::new(script.members, script.zones, Link::default()),
            events: BTreeMap::new(),
            events_scheduled: 0,
            rng: SmallRng::seed_from_u64(script.seed),
            views: BTreeMap::new(),
            view_changes: Vec::new(),
            trace: FNV_OFFSET_BASIS,
            lease_workload: None,
            script,
        };
        for member in 0..world.script.members {
            world.start(member);
        }
        world
    }

    /// Time since the script's start.
    pub fn time(&self) -> Micros {
        self.now - START
    }

    /// Applies the actions of a script's text now.
    ///
    /// # Panics
    ///
    /// Where the text is no script.
    pub fn apply_text(&mut self, text: &str) {
        let script = Script::read(text).expect("a script");
        for timed in script.actions {
            self.apply_action(timed.action);
        }
    }

    /// From now on members request leases, and violations are recorded.
    pub fn start_lease_workload(&mut self, load: LeaseLoad) {
        self.lease_workload = Some(LeaseWorkload::new(load, self.script.seed));
    }

    /// A running member whose replica leads the log, if there is one.
    pub fn leader(&self) -> Option<u32> {
        let leads = |member: &u32| {
            let consensus = self.process(*member).consensus();
            let replica = consensus.and_then(|consensus| consensus.replica());
            replica.is_some_and(|replica| replica.leads())
        };
        self.running_members().into_iter().find(leads)
    }

    /// A member's disk, to be inspected or corrupted.
    pub fn disk_mut(&mut self, member: u32) -> &mut Vec<u8> {
        &mut self.process_mut(member).disk
    }

    /// What a member's clock shows.
    pub fn clock(&self, member: u32) -> Micros {
        self.process(member).clock(self.now)
    }

    /// A member's agent, while its process runs or is suspended.
    pub fn agent(&mut self, member: u32) -> Option<&mut Cluster> {
        self.process_mut(member).agent.as_mut()
    }

    /// Members whose processes run and are not suspended.
    pub fn running_members(&self) -> Vec<u32> {
        (0..self.script.members)
            .filter(|&member| self.process(member).is_running())
            .collect()
    }

    /// A member's counters over all its starts.
    pub fn counters(&self, member: u32) -> Counters {
        self.process(member).counters()
    }

    /// How one member sees another; `None` where it does not know it.
    pub fn status(&self, observer: u32, subject: u32) -> Option<MemberStatus> {
        self.views.get(&(observer, subject)).copied()
    }

    /// Whether all running members see exactly these members as not down.
    pub fn all_see_exactly(&self, members: &[u32]) -> bool {
        let sees = |observer: u32, subject: u32| {
            let status = self.status(observer, subject);
            status.is_some_and(|status| status != MemberStatus::Down)
        };
        self.running_members().into_iter().all(|observer| {
            let mut others = (0..self.script.members).filter(|&member| member != observer);
            others.all(|subject| sees(observer, subject) == members.contains(&subject))
        })
    }

    /// Runs on until this time of the script, or until the condition holds; whether it does. The condition is checked after
    /// each tick of a member.
    pub fn play(&mut self, until: Micros, condition: impl Fn(&World) -> bool) -> bool {
        let end = START + until;
        while self.now < end {
            match self.next_step(end) {
                None => self.now = end,
                Some(Step::Action(action)) => self.apply_action(action),
                Some(Step::Event(event)) => {
                    let has_ticked = self.handle_event(event);
                    if has_ticked && condition(self) {
                        return true;
                    }
                    self.check_leases();
                }
            }
        }
        condition(self)
    }

    /// Moves the time to the next action or event up to this time, if there is one, and takes it.
    fn next_step(&mut self, end: Micros) -> Option<Step> {
        let action_at = self
            .script
            .actions
            .get(self.next_action)
            .map(|timed| START + timed.at);
        let event_at = self.events.first_key_value().map(|(key, _)| key.at);
        let at = action_at.into_iter().chain(event_at).min()?;
        if at > end {
            return None;
        }
        self.now = self.now.max(at);
        if action_at == Some(at) {
            let action = self.script.actions[self.next_action].action.clone();
            self.next_action += 1;
            return Some(Step::Action(action));
        }
        let (_, event) = self.events.pop_first()?;
        Some(Step::Event(event))
    }

    /// Whether a member has checked its timers.
    fn handle_event(&mut self, event: Event) -> bool {
        match event {
            Event::Tick(member) => return self.handle_tick(member),
            Event::Arrival { receiver, bytes } => {
                if self.process_mut(receiver).buffer_datagram(bytes) {
                    self.handle_arrived(receiver);
                }
            }
            Event::WriteCompleted {
                member,
                incarnation,
            } => self.handle_write_completed(member, incarnation),
        }
        false
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.events_scheduled += 1;
        let number = self.events_scheduled;
        self.events.insert(EventKey { at, number }, event);
    }

    fn process(&self, member: u32) -> &Process {
        &self.processes[member as usize]
    }

    fn process_mut(&mut self, member: u32) -> &mut Process {
        &mut self.processes[member as usize]
    }

    /// Starts a member's process, unless it runs.
    fn start(&mut self, member: u32) {
        // Drawn for those that run as well: a seed keeps its run.
        let seed = self.rng.random();
        let first_tick = self.rng.random_range(0..TICK_INTERVAL);
        let session = Identity::session_at(self.clock(member), self.rng.random());
        if self.process(member).agent.is_some() {
            return;
        }
        let clock = self.clock(member);
        let options = self.agent_options(member, session, seed);
        self.process_mut(member).start(clock, options);
        self.schedule(self.now + first_tick, Event::Tick(member));
    }

    fn agent_options(&self, member: u32, session: u64, seed: u64) -> Options {
        let script = &self.script;
        let process = self.process(member);
        let zone = format!("z{}", member % script.zones);
        let consensus = (script.voters > 0).then(|| consensus::Options {
            initial_voters: (0..script.voters).map(member_name).collect(),
            replace_after: script.replace_after,
            zone: zone.clone(),
            file: script.persists_log.then(|| process.disk.clone()),
        });
        Options {
            identity: Identity {
                name: member_name(member),
                addr: member_addr(member),
                session,
                back: 0,
            },
            metadata: MemberMetadata {
                zone,
                build: "lab".into(),
                since_ms: process.clock(self.now) / 1000,
                ..MemberMetadata::default()
            },
            keys: keyring(),
            seeds: (0..SEEDS.min(script.members)).map(member_addr).collect(),
            seed,
            consensus,
        }
    }

    /// Ends a member's process without leaving the cluster.
    fn end(&mut self, member: u32) {
        let rng = &mut self.rng;
        let process = &mut self.processes[member as usize];
        process.end(|length| rng.random_range(0..=length));
        if let Some(workload) = &mut self.lease_workload {
            workload.forget_requests(member);
        }
        self.views.retain(|(observer, _), _| *observer != member);
    }

    /// A process does what is due; whether it runs and is not suspended.
    fn handle_tick(&mut self, member: u32) -> bool {
        if self.process(member).agent.is_some() {
            self.schedule(self.now + TICK_INTERVAL, Event::Tick(member));
        }
        if self.process(member).is_suspended {
            return false;
        }
        let (time, clock) = (self.time(), self.clock(member));
        let process = &mut self.processes[member as usize];
        process.read_socket(clock);
        if let Some(agent) = process.running_agent() {
            agent.tick(clock);
            if let Some(workload) = &mut self.lease_workload {
                workload.poll(member, time, clock, agent);
            }
        }
        self.collect_output(member);
        self.record_view_changes(member);
        true
    }

    /// A process reads what has arrived, unless it is suspended.
    fn handle_arrived(&mut self, member: u32) {
        let clock = self.clock(member);
        if self.process(member).is_running() {
            self.process_mut(member).read_socket(clock);
            self.collect_output(member);
        }
    }

    fn handle_write_completed(&mut self, member: u32, incarnation: u32) {
        let process = self.process_mut(member);
        if process.incarnation != incarnation {
            return;
        }
        if process.is_suspended {
            let event = Event::WriteCompleted {
                member,
                incarnation,
            };
            return self.schedule(self.now + TICK_INTERVAL, event);
        }
        process.complete_write();
        self.collect_output(member);
    }

    /// Sends and writes what a process has ready.
    fn collect_output(&mut self, member: u32) {
        let process = self.process_mut(member);
        let Some(agent) = &mut process.agent else {
            return;
        };
        let datagrams: Vec<_> = std::iter::from_fn(|| agent.next_outgoing()).collect();
        let (writes, incarnation) = (process.queue_writes(), process.incarnation);
        for _ in 0..writes {
            let at = self.now + self.rng.random_range(WRITE_TIME);
            let event = Event::WriteCompleted {
                member,
                incarnation,
            };
            self.schedule(at, event);
        }
        for (receiver, bytes) in datagrams {
            self.send_datagram(member, receiver, &bytes);
        }
    }

    fn send_datagram(&mut self, sender: u32, receiver: SocketAddr, bytes: &[u8]) {
        for byte in bytes {
            self.trace = (self.trace ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        let receiver = member_at(receiver).filter(|&member| member < self.script.members);
        let Some(receiver) = receiver else {
            return;
        };
        let link = self.links.between(sender, receiver);
        for latency in link.draw_latencies(&mut self.rng) {
            let bytes = bytes.to_vec();
            self.schedule(self.now + latency, Event::Arrival { receiver, bytes });
        }
    }

    /// Checks that of no resource more is held than there is, by what each running member may use now.
    fn check_leases(&mut self) {
        let time = self.now - START;
        let Some(workload) = &mut self.lease_workload else {
            return;
        };
        for (member, process) in (0..).zip(&self.processes) {
            let consensus = process.consensus().filter(|_| process.is_running());
            if let Some(consensus) = consensus {
                workload.record_usable(member, process.clock(self.now), consensus);
            }
        }
        workload.check_usable(time);
    }

    /// Records what has changed in how a member sees the others.
    fn record_view_changes(&mut self, observer: u32) {
        let at = self.time();
        let Some(agent) = &self.processes[observer as usize].agent else {
            return;
        };
        for view in agent.members().into_iter().filter(|view| !view.is_self) {
            let Some(subject) = member_named(&view.name) else {
                continue;
            };
            let status = view.status;
            if self.views.insert((observer, subject), status) != Some(status) {
                self.view_changes.push(ViewChange {
                    at,
                    observer,
                    subject,
                    status,
                });
            }
        }
    }
}
