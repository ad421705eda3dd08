//! Scripts of faults, as data: what is done to which members, and when.
//!
//! ```kdl
//! members 8 zones=2            // m0 .. m7, zone z0, z1 in turn
//! voters 3 keeps=#true replace-after="10 s"   // m0 .. m2 keep a log of what is agreed, on disk where they keep it
//! seed 7
//! until "40 s"
//! link "all" "all" delay="2 ms" jitter="1 ms"
//! at "5 s" { cut "m0" "m1" }                   // from those, to all others, both ways
//! at "6 s" { cut "z1" ways="out" }              // what they send is lost, what they hear is not
//! at "9 s" { link "m0" "all" loss=0.3 delay="50 ms" repeat=0.1 }
//! at "10 s" { part "m0" "z1" from="e0" }        // nothing comes between those and that engine (or "engines", "m3")
//! at "11 s" { reset "m0" from="engines" }       // their connections end
//! at "12 s" { link "m1" "engines" delay="80 ms" throttle=20000 }   // bytes a second
//! at "15 s" { heal }
//! at "20 s" { kill "m2" }                      // with no word
//! at "21 s" { stop "m3" }                      // stands still, and wakes as if nothing were
//! at "29 s" { wake "m3" }
//! at "30 s" { start "m2" }
//! at "31 s" { leave "m4" }
//! at "32 s" { clock "m5" by="3600 s" }
//! ```

mod links;
mod reader;

pub use links::Links;
pub use reader::ScriptError;

use driftfront_cluster::Micros;
use rand::Rng;

/// Some members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Group {
    /// All.
    All,
    /// Those of a zone.
    Zone(u32),
    /// One, by number.
    Member(u32),
    /// All engines, where a rig has some.
    Engines,
    /// One of them.
    Engine(u32),
}

impl Group {
    /// Whether a member is one of them.
    pub fn has(&self, member: u32, zones: u32) -> bool {
        match self {
            Group::All => true,
            Group::Zone(zone) => member % zones.max(1) == *zone,
            Group::Member(one) => member == *one,
            Group::Engines | Group::Engine(_) => false,
        }
    }

    /// Whether an engine is one of them.
    pub fn has_engine(&self, engine: u32) -> bool {
        match self {
            Group::Engines => true,
            Group::Engine(one) => engine == *one,
            _ => false,
        }
    }
}

/// What becomes of datagrams one way between two members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub repeat: f64,
    /// Time that all take.
    pub delay: Micros,
    /// Further time, drawn anew for each up to this: what draws less overtakes.
    pub jitter: Micros,
    /// All are lost; of a connection nothing comes on.
    pub cut: bool,
    /// Bytes a second; 0 for as many as there are.
    pub throttle: u64,
}

impl Default for Link {
    /// A quiet building: half a millisecond.
    fn default() -> Link {
        Link {
            loss: 0.0,
            repeat: 0.0,
            delay: 500,
            jitter: 100,
            cut: false,
            throttle: 0,
        }
    }
}

impl Link {
    /// What becomes of one datagram, drawn anew: after how long each copy of it comes, for those that do.
    pub fn carry(&self, rng: &mut impl Rng) -> Vec<Micros> {
        let copies = 1 + u32::from(rng.random_bool(self.repeat));
        let mut come = Vec::new();
        for _ in 0..copies {
            if self.cut || rng.random_bool(self.loss) {
                continue;
            }
            let late = if self.jitter > 0 {
                rng.random_range(0..self.jitter)
            } else {
                0
            };
            come.push(self.delay + late);
        }
        come
    }
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Links from the first to the second become so.
    Link(Group, Group, Link),
    /// Nothing comes between these and all others: from them (`true`, _), to them (_, `true`).
    Cut(Vec<Group>, (bool, bool)),
    /// Nothing comes between the first and the second: from the first (`true`, _), to them (_, `true`).
    Part(Vec<Group>, Group, (bool, bool)),
    /// All connections between the first and the second end.
    Reset(Vec<Group>, Group),
    /// No cut is left.
    Heal,
    /// A process ends with no word.
    Kill(Vec<Group>),
    /// It stands still.
    Stop(Vec<Group>),
    /// It goes on.
    Wake(Vec<Group>),
    /// It is started again, under its name.
    Start(Vec<Group>),
    /// It leaves in order.
    Leave(Vec<Group>),
    /// Its clock shows so much more, or less.
    Clock(Vec<Group>, i64),
}

/// A script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// How many members, and in how many zones.
    pub members: u32,
    /// See `members`.
    pub zones: u32,
    /// The first so many are the first voters of what is agreed; 0: nothing is.
    pub voters: u32,
    /// What they agree on is kept on disk.
    pub keeps: bool,
    /// A voter that is gone for so long is replaced.
    pub replace_after: Micros,
    /// For all that is drawn at random.
    pub seed: u64,
    /// When it ends.
    pub until: Micros,
    /// What is done, in the order of time.
    pub actions: Vec<(Micros, FaultAction)>,
}

impl Script {
    /// The members of these groups.
    pub fn members_of(&self, groups: &[Group]) -> Vec<u32> {
        (0..self.members)
            .filter(|&m| groups.iter().any(|g| g.has(m, self.zones)))
            .collect()
    }

    /// Reads a script.
    ///
    /// # Errors
    ///
    /// Fails where the text is no KDL, and where a line says what no script can; the error names the line.
    pub fn read(text: &str) -> Result<Script, ScriptError> {
        reader::read_script(text)
    }
}
