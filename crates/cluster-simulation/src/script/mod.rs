//! Fault scripts, which define the faults that are injected, their targets and their times.
//!
//! ```kdl
//! members 8 zones=2            // m0 .. m7, zone z0, z1 in turn
//! voters 3 keeps=#true replace-after="10 s"   // m0 .. m2 replicate the consensus log; keeps: persistently
//! seed 7
//! until "40 s"
//! link "all" "all" delay="2 ms" jitter="1 ms"
//! at "5 s" { cut "m0" "m1" }                   // between these and all other members, both ways
//! at "6 s" { cut "z1" ways="out" }              // only outgoing traffic is blocked
//! at "9 s" { link "m0" "all" loss=0.3 delay="50 ms" repeat=0.1 }
//! at "10 s" { part "m0" "z1" from="e0" }        // between these and an engine (or "engines", "m3")
//! at "11 s" { reset "m0" from="engines" }       // closes their connections
//! at "12 s" { link "m1" "engines" delay="80 ms" throttle=20000 }   // bytes per second
//! at "15 s" { heal }
//! at "20 s" { kill "m2" }                      // without leaving the cluster
//! at "21 s" { stop "m3" }                      // suspends the process until wake
//! at "29 s" { wake "m3" }
//! at "30 s" { start "m2" }
//! at "31 s" { leave "m4" }
//! at "32 s" { clock "m5" by="3600 s" }
//! ```

mod links;
mod reader;

pub use links::Links;
pub use reader::{ScriptError, ScriptProblem};

use driftfront_cluster::Micros;
use rand::Rng;

/// A group of members or engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Group {
    /// All members.
    All,
    /// The members of a zone.
    Zone(u32),
    /// One member, by number.
    Member(u32),
    /// All engines. The simulation has none, only the harness does.
    Engines,
    /// One engine, by number.
    Engine(u32),
}

impl Group {
    /// Returns whether a member belongs to the group.
    pub fn contains_member(&self, member: u32, zones: u32) -> bool {
        match self {
            Group::All => true,
            Group::Zone(zone) => member % zones.max(1) == *zone,
            Group::Member(one) => member == *one,
            Group::Engines | Group::Engine(_) => false,
        }
    }

    /// Returns whether an engine belongs to the group.
    pub fn contains_engine(&self, engine: u32) -> bool {
        match self {
            Group::Engines => true,
            Group::Engine(one) => engine == *one,
            _ => false,
        }
    }
}

/// The directions of a group's traffic that a cut blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Directions {
    /// Traffic that the group sends.
    pub outgoing: bool,
    /// Traffic that the group receives.
    pub incoming: bool,
}

impl Directions {
    /// Both directions.
    pub const BOTH: Directions = Directions {
        outgoing: true,
        incoming: true,
    };
    /// Only traffic that the group sends.
    pub const OUTGOING: Directions = Directions {
        outgoing: true,
        incoming: false,
    };
    /// Only traffic that the group receives.
    pub const INCOMING: Directions = Directions {
        outgoing: false,
        incoming: true,
    };
}

/// The properties of one direction of a link between two members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is duplicated, from 0 to 1.
    pub duplication: f64,
    /// Fixed latency.
    pub delay: Micros,
    /// Upper bound of the random latency added to each datagram. Datagrams may be reordered because of it.
    pub jitter: Micros,
    /// Whether all traffic is blocked, including that of connections.
    pub is_cut: bool,
    /// Bandwidth limit, or 0 for none.
    pub bytes_per_second: u64,
}

impl Default for Link {
    /// Returns a link within a data center, with a latency of half a millisecond.
    fn default() -> Link {
        Link {
            loss: 0.0,
            duplication: 0.0,
            delay: 500,
            jitter: 100,
            is_cut: false,
            bytes_per_second: 0,
        }
    }
}

impl Link {
    /// Draws the latency of each copy of a datagram that arrives. Empty if the datagram is lost.
    pub fn draw_latencies(&self, rng: &mut impl Rng) -> Vec<Micros> {
        let copies = 1 + u32::from(rng.random_bool(self.duplication));
        let mut latencies = Vec::new();
        for _ in 0..copies {
            if self.is_cut || rng.random_bool(self.loss) {
                continue;
            }
            let jitter = if self.jitter > 0 {
                rng.random_range(0..self.jitter)
            } else {
                0
            };
            latencies.push(self.delay + jitter);
        }
        latencies
    }
}

/// An action of a script that injects a fault or ends one.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Changes the links from the first group to the second.
    Link(Group, Group, Link),
    /// Blocks traffic between these groups and all other members.
    Cut(Vec<Group>, Directions),
    /// Blocks traffic between these groups and another one. Directions are seen from the former.
    Partition(Vec<Group>, Group, Directions),
    /// Closes all connections between these groups and another one.
    Reset(Vec<Group>, Group),
    /// Ends all cuts.
    Heal,
    /// Kills processes, which don't leave the cluster first.
    Kill(Vec<Group>),
    /// Suspends processes.
    Suspend(Vec<Group>),
    /// Resumes suspended processes.
    Resume(Vec<Group>),
    /// Restarts ended processes under the same names.
    Start(Vec<Group>),
    /// Makes processes leave the cluster and ends them.
    Leave(Vec<Group>),
    /// Steps clocks by an offset in microseconds, which may be negative.
    Clock(Vec<Group>, i64),
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAction {
    /// When, relative to the start of the script.
    pub at: Micros,
    /// The action.
    pub action: FaultAction,
}

/// A fault script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// The number of members.
    pub members: u32,
    /// The number of zones. Members are assigned round-robin.
    pub zones: u32,
    /// The number of initial voters of the consensus log, which are the first members. 0 disables consensus.
    pub voters: u32,
    /// Whether voters persist the log.
    pub persists_log: bool,
    /// How long a voter may be down before it is replaced.
    pub replace_after: Micros,
    /// The seed of all random draws.
    pub seed: u64,
    /// When the script ends.
    pub until: Micros,
    /// All fault actions, ordered by time.
    pub actions: Vec<TimedAction>,
}

impl Script {
    /// Returns the numbers of the members in these groups.
    pub fn members_of(&self, groups: &[Group]) -> Vec<u32> {
        let is_named = |member: &u32| {
            let mut groups = groups.iter();
            groups.any(|group| group.contains_member(*member, self.zones))
        };
        (0..self.members).filter(is_named).collect()
    }

    /// Parses a script.
    ///
    /// # Errors
    ///
    /// Fails if the text is not KDL, or a node is unknown or has invalid arguments. The error contains the line.
    pub fn read(text: &str) -> Result<Script, ScriptError> {
        reader::read_script(text)
    }
}
