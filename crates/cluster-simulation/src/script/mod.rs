//! Fault scripts, as data: which fault is injected into which members, and when.
//!
//! ```kdl
//! members 8 zones=2            // m0 .. m7, zone z0, z1 in turn
//! voters 3 keeps=#true replace-after="10 s"   // m0 .. m2 replicate the consensus log, on disk with keeps
//! seed 7
//! until "40 s"
//! link "all" "all" delay="2 ms" jitter="1 ms"
//! at "5 s" { cut "m0" "m1" }                   // between those and all others, both ways
//! at "6 s" { cut "z1" ways="out" }              // what they send is lost, what they receive is not
//! at "9 s" { link "m0" "all" loss=0.3 delay="50 ms" repeat=0.1 }
//! at "10 s" { part "m0" "z1" from="e0" }        // between those and that engine (or "engines", "m3")
//! at "11 s" { reset "m0" from="engines" }       // their connections end
//! at "12 s" { link "m1" "engines" delay="80 ms" throttle=20000 }   // bytes a second
//! at "15 s" { heal }
//! at "20 s" { kill "m2" }                      // without leaving
//! at "21 s" { stop "m3" }                      // suspended, until it is woken
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
    /// All engines; only the harness of processes has some.
    Engines,
    /// One engine, by number.
    Engine(u32),
}

impl Group {
    /// Whether a member belongs to the group.
    pub fn contains_member(&self, member: u32, zones: u32) -> bool {
        match self {
            Group::All => true,
            Group::Zone(zone) => member % zones.max(1) == *zone,
            Group::Member(one) => member == *one,
            Group::Engines | Group::Engine(_) => false,
        }
    }

    /// Whether an engine belongs to the group.
    pub fn contains_engine(&self, engine: u32) -> bool {
        match self {
            Group::Engines => true,
            Group::Engine(one) => engine == *one,
            _ => false,
        }
    }
}

/// Which directions of a group's traffic a cut blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Directions {
    /// What the group sends.
    pub outgoing: bool,
    /// What the group receives.
    pub incoming: bool,
}

impl Directions {
    /// Both directions.
    pub const BOTH: Directions = Directions {
        outgoing: true,
        incoming: true,
    };
    /// Only what the group sends.
    pub const OUTGOING: Directions = Directions {
        outgoing: true,
        incoming: false,
    };
    /// Only what the group receives.
    pub const INCOMING: Directions = Directions {
        outgoing: false,
        incoming: true,
    };
}

/// The properties of a link, in one direction between two members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is sent twice, from 0 to 1.
    pub duplication: f64,
    /// Fixed latency.
    pub delay: Micros,
    /// Further latency, drawn for each datagram below this bound: datagrams may overtake each other.
    pub jitter: Micros,
    /// Whether all is lost; nothing of a connection arrives.
    pub is_cut: bool,
    /// Bandwidth limit; 0 for none.
    pub bytes_per_second: u64,
}

impl Default for Link {
    /// A link within a data center: half a millisecond.
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
    /// Draws the latency of each copy of one datagram that arrives; empty if it is lost.
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

/// A fault that a script injects, or ends.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Changes the links from the first group to the second.
    Link(Group, Group, Link),
    /// Blocks traffic between these groups and all other members.
    Cut(Vec<Group>, Directions),
    /// Blocks traffic between these groups and that group; directions are of the former.
    Partition(Vec<Group>, Group, Directions),
    /// Ends all connections between these groups and that group.
    Reset(Vec<Group>, Group),
    /// Ends all cuts.
    Heal,
    /// Kills processes: they don't leave the cluster first.
    Kill(Vec<Group>),
    /// Suspends processes.
    Suspend(Vec<Group>),
    /// Resumes suspended processes.
    Resume(Vec<Group>),
    /// Starts processes that ended, under the same names.
    Start(Vec<Group>),
    /// Ends processes after they left the cluster.
    Leave(Vec<Group>),
    /// Sets clocks forward, or back, by so many microseconds.
    Clock(Vec<Group>, i64),
}

/// A fault action and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAction {
    /// When, from the script's start.
    pub at: Micros,
    /// What happens.
    pub action: FaultAction,
}

/// A fault script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// The number of members.
    pub members: u32,
    /// The number of zones, to which members belong in turn.
    pub zones: u32,
    /// The first so many members are the initial voters of the consensus log; 0: there is none.
    pub voters: u32,
    /// Whether voters persist the log.
    pub persists_log: bool,
    /// A voter that is down for so long is replaced.
    pub replace_after: Micros,
    /// The seed of all random draws.
    pub seed: u64,
    /// When the script ends.
    pub until: Micros,
    /// All fault actions, ordered by time.
    pub actions: Vec<TimedAction>,
}

impl Script {
    /// The members of these groups, by number.
    pub fn members_of(&self, groups: &[Group]) -> Vec<u32> {
        let is_named = |member: &u32| {
            let mut groups = groups.iter();
            groups.any(|group| group.contains_member(*member, self.zones))
        };
        (0..self.members).filter(is_named).collect()
    }

    /// Reads a script.
    ///
    /// # Errors
    ///
    /// Fails where the text is not KDL, and where a node is unknown or has wrong arguments; the error names the line.
    pub fn read(text: &str) -> Result<Script, ScriptError> {
        reader::read_script(text)
    }
}
