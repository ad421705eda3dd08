//! Simulates members and the network between them on virtual time. A run is single-threaded and deterministic: the same seed sends
//! the same bytes.
//!
//! | module | what it does |
//! | --- | --- |
//! | this | the main loop and the results of a run |
//! | `events` | the event queue |
//! | `process` | a process with its agent, socket, clock and disk |
//! | `lifecycle` | starts, suspends, resumes and ends processes |
//! | `input_output` | handles ticks, datagrams and writes |
//! | `faults` | applies fault actions |
//! | `members` | names, addresses and the shared key of members |

mod events;
mod faults;
mod input_output;
mod lifecycle;
mod members;
mod process;

pub use members::{keyring, member_addr, member_name, KEY};

use crate::lease_workload::{LeaseLoad, LeaseWorkload};
use crate::script::{FaultAction, Link, Links, Script};
use driftfront_cluster::{Cluster, Counters, MemberStatus, Micros};
use events::{Event, EventQueue};
use input_output::FNV_OFFSET_BASIS;
use members::member_named;
use process::Process;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;

/// Clock value at the start of a script, larger than any backward clock step of a script.
const START: Micros = 100_000_000_000;
/// Interval at which a process checks its timers.
const TICK_INTERVAL: Micros = 25_000;

/// The next step of a run.
enum Step {
    Action(FaultAction),
    Event(Event),
}

/// A change of one member's view of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// When, relative to the start of the script.
    pub at: Micros,
    /// The member whose view changed.
    pub observer: u32,
    /// The member whose status changed.
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
    events: EventQueue,
    rng: SmallRng,
    /// The members' views of each other, by observer and subject.
    views: BTreeMap<(u32, u32), MemberStatus>,
    /// All changes of the members' views of each other, in order.
    pub view_changes: Vec<ViewChange>,
    /// FNV-1a hash of all bytes sent, for comparing runs.
    pub trace: u64,
    /// The lease workload, if one was started with [`World::start_lease_workload`].
    pub lease_workload: Option<LeaseWorkload>,
}

impl World {
    /// Creates the world of a script, with all members started.
    pub fn new(script: Script) -> World {
        let processes = (0..script.members).map(|_| Process::default());
        let mut world = World {
            now: START,
            next_action: 0,
            processes: processes.collect(),
            links: Links::new(script.members, script.zones, Link::default()),
            events: EventQueue::default(),
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

    /// Returns the time since the start of the script.
    pub fn time(&self) -> Micros {
        self.now - START
    }

    /// Applies the actions of these script lines now.
    ///
    /// # Panics
    ///
    /// Panics if the text is not a valid script.
    pub fn apply_text(&mut self, text: &str) {
        let script = Script::read(text).expect("a valid script");
        for timed in script.actions {
            self.apply_action(timed.action);
        }
    }

    /// Makes members request leases from now on, and records violations.
    pub fn start_lease_workload(&mut self, load: LeaseLoad) {
        self.lease_workload = Some(LeaseWorkload::new(load, self.script.seed));
    }

    /// Returns a running member that is the leader of the consensus log, if there is one.
    pub fn leader(&self) -> Option<u32> {
        let leads = |member: &u32| {
            let consensus = self.process(*member).consensus();
            let replica = consensus.and_then(|consensus| consensus.replica());
            replica.is_some_and(|replica| replica.leads())
        };
        self.running_members().into_iter().find(leads)
    }

    /// Returns a member's disk, for inspection or corruption.
    pub fn disk_mut(&mut self, member: u32) -> &mut Vec<u8> {
        &mut self.process_mut(member).disk
    }

    /// Returns the value of a member's clock.
    pub fn clock(&self, member: u32) -> Micros {
        self.process(member).clock(self.now)
    }

    /// Returns a member's agent, while its process runs or is suspended.
    pub fn agent(&mut self, member: u32) -> Option<&mut Cluster> {
        self.process_mut(member).agent.as_mut()
    }

    /// Returns the members whose processes run and are not suspended.
    pub fn running_members(&self) -> Vec<u32> {
        (0..self.script.members)
            .filter(|&member| self.process(member).is_running())
            .collect()
    }

    /// Returns a member's counters, summed over all its incarnations.
    pub fn counters(&self, member: u32) -> Counters {
        self.process(member).counters()
    }

    /// Returns the status of one member as seen by another; `None` if the observer does not know it.
    pub fn status(&self, observer: u32, subject: u32) -> Option<MemberStatus> {
        self.views.get(&(observer, subject)).copied()
    }

    /// Returns whether every running member sees exactly these members as not down.
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

    /// Runs until this time of the script, or until the condition holds. Returns whether it holds. The condition is checked after
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

    /// Takes the next action or event up to `end`, if there is one, and advances the time to it.
    fn next_step(&mut self, end: Micros) -> Option<Step> {
        let action_at = self
            .script
            .actions
            .get(self.next_action)
            .map(|timed| START + timed.at);
        let event_at = self.events.next_at();
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
        self.events.pop().map(Step::Event)
    }

    fn process(&self, member: u32) -> &Process {
        &self.processes[member as usize]
    }

    fn process_mut(&mut self, member: u32) -> &mut Process {
        &mut self.processes[member as usize]
    }

    /// Checks that no resource has two holders, according to the leases that each running member may use now.
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

    /// Records the changes of a member's view of the others.
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
