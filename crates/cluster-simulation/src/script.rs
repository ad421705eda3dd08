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

use driftfront_cluster::Micros;
use kdl::{KdlDocument, KdlEntry, KdlNode};
use rand::Rng;
use std::collections::BTreeMap;

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
    fn read(text: &str) -> Option<Group> {
        let number = |with: &str| text.strip_prefix(with)?.parse().ok();
        match text {
            "all" => Some(Group::All),
            "engines" => Some(Group::Engines),
            _ => number("m")
                .map(Group::Member)
                .or_else(|| number("z").map(Group::Zone))
                .or_else(|| number("e").map(Group::Engine)),
        }
    }

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

/// The links between all members, and engines behind them by number, as deeds change them.
pub struct Links {
    members: u32,
    engines: u32,
    zones: u32,
    /// Where no deed says anything.
    otherwise: Link,
    usual: Vec<(Group, Group, Link)>,
    cuts: BTreeMap<(u32, u32), Link>,
}

impl Links {
    /// All are so.
    pub fn new(members: u32, zones: u32, otherwise: Link) -> Links {
        Links {
            members,
            engines: 0,
            zones,
            otherwise,
            usual: Vec::new(),
            cuts: BTreeMap::new(),
        }
    }

    /// With so many engines: the first has the number behind the last member's.
    pub fn with_engines(self, engines: u32) -> Links {
        Links { engines, ..self }
    }

    fn has(&self, group: &Group, one: u32) -> bool {
        match one.checked_sub(self.members) {
            Some(engine) => group.has_engine(engine),
            None => group.has(one, self.zones),
        }
    }

    /// All of these groups, by number.
    pub fn all_of(&self, groups: &[Group]) -> Vec<u32> {
        (0..self.members + self.engines)
            .filter(|&one| groups.iter().any(|g| self.has(g, one)))
            .collect()
    }

    /// The link from one member to another.
    pub fn between(&self, from: u32, to: u32) -> Link {
        let usual = || {
            self.usual
                .iter()
                .rev()
                .find(|u| self.has(&u.0, from) && self.has(&u.1, to))
        };
        let cut = self.cuts.get(&(from, to)).copied();
        cut.unwrap_or_else(|| usual().map_or(self.otherwise, |u| u.2))
    }

    /// Links from the first to the second become so.
    pub fn set(&mut self, from: &Group, to: &Group, link: Link) {
        self.usual.push((from.clone(), to.clone(), link));
    }

    /// Nothing comes between these and all others: from them, to them.
    pub fn cut(&mut self, some: &[u32], ways: (bool, bool)) {
        let others: Vec<u32> = (0..self.members).filter(|m| !some.contains(m)).collect();
        self.part(some, &others, ways);
    }

    /// Nothing comes between these and those: from these, to these.
    pub fn part(&mut self, some: &[u32], others: &[u32], (out, into): (bool, bool)) {
        for &one in some {
            for &other in others {
                for (way, _) in [((one, other), out), ((other, one), into)]
                    .into_iter()
                    .filter(|w| w.1)
                {
                    let link = Link {
                        cut: true,
                        ..self.between(way.0, way.1)
                    };
                    self.cuts.insert(way, link);
                }
            }
        }
    }

    /// No cut is left.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
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
    pub deeds: Vec<(Micros, Deed)>,
}

/// A time such as `"500 ms"`.
fn time(text: &str) -> Option<Micros> {
    let text = text.trim();
    let split = text.find(|c: char| c.is_alphabetic())?;
    let (number, unit) = text.split_at(split);
    let factor = match unit {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        _ => return None,
    };
    let time = number.trim().parse::<f64>().ok()? * factor;
    (0.0..=1e13).contains(&time).then_some(time as Micros)
}

struct Reader<'a>(&'a str);

impl Reader<'_> {
    fn wrong(&self, node: &KdlNode, what: &str) -> String {
        let offset = node.span().offset().min(self.0.len());
        let skipped = self.0[offset..]
            .find(|c: char| !c.is_whitespace())
            .unwrap_or(0);
        let line = self.0[..offset + skipped].matches('\n').count() + 1;
        format!("line {line}: {}: {what}", node.name().value())
    }

    fn arguments<'n>(&self, node: &'n KdlNode) -> Vec<&'n KdlEntry> {
        node.entries()
            .iter()
            .filter(|e| e.name().is_none())
            .collect()
    }

    fn groups(&self, node: &KdlNode) -> Result<Vec<Group>, String> {
        let one = |e: &&KdlEntry| e.value().as_string().and_then(Group::read);
        let groups: Option<Vec<Group>> = self.arguments(node).iter().map(one).collect();
        groups
            .filter(|g| !g.is_empty())
            .ok_or_else(|| self.wrong(node, "write \"m0\", \"z1\" or \"all\""))
    }

    fn time_of(&self, node: &KdlNode, key: &str, otherwise: Micros) -> Result<Micros, String> {
        match node.get(key) {
            None => Ok(otherwise),
            Some(v) => v
                .as_string()
                .and_then(time)
                .ok_or_else(|| self.wrong(node, "a time is \"5 ms\" or \"2 s\"")),
        }
    }

    fn part_of(&self, node: &KdlNode, key: &str) -> Result<f64, String> {
        let Some(v) = node.get(key) else {
            return Ok(0.0);
        };
        let part = v.as_float().or_else(|| v.as_integer().map(|n| n as f64));
        part.filter(|p| (0.0..=1.0).contains(p))
            .ok_or_else(|| self.wrong(node, "a part is 0 to 1"))
    }

    fn ways(&self, node: &KdlNode) -> Result<(bool, bool), String> {
        match node.get("ways").map(|w| w.as_string()) {
            None | Some(Some("both")) => Ok((true, true)),
            Some(Some("out")) => Ok((true, false)),
            Some(Some("in")) => Ok((false, true)),
            _ => Err(self.wrong(node, "ways is \"both\", \"out\" or \"in\"")),
        }
    }

    fn from(&self, node: &KdlNode) -> Result<Group, String> {
        let from = node
            .get("from")
            .and_then(|f| f.as_string())
            .and_then(Group::read);
        from.ok_or_else(|| self.wrong(node, "write from=\"engines\", \"e0\" or \"m3\""))
    }

    fn deed(&self, node: &KdlNode) -> Result<Deed, String> {
        Ok(match node.name().value() {
            "link" => {
                let groups = self.groups(node)?;
                let [from, to] = &groups[..] else {
                    return Err(self.wrong(node, "it takes two groups, from and to"));
                };
                let usual = Link::default();
                let link = Link {
                    loss: self.part_of(node, "loss")?,
                    repeat: self.part_of(node, "repeat")?,
                    delay: self.time_of(node, "delay", usual.delay)?,
                    jitter: self.time_of(node, "jitter", usual.jitter)?,
                    cut: false,
                    throttle: node
                        .get("throttle")
                        .and_then(|t| t.as_integer())
                        .map_or(0, |t| t.max(0) as u64),
                };
                Deed::Link(from.clone(), to.clone(), link)
            }
            "cut" => Deed::Cut(self.groups(node)?, self.ways(node)?),
            "part" => Deed::Part(self.groups(node)?, self.from(node)?, self.ways(node)?),
            "reset" => Deed::Reset(self.groups(node)?, self.from(node)?),
            "heal" => Deed::Heal,
            "kill" => Deed::Kill(self.groups(node)?),
            "stop" => Deed::Stop(self.groups(node)?),
            "wake" => Deed::Wake(self.groups(node)?),
            "start" => Deed::Start(self.groups(node)?),
            "leave" => Deed::Leave(self.groups(node)?),
            "clock" => {
                let by = node
                    .get("by")
                    .and_then(|v| v.as_string())
                    .unwrap_or_default();
                let jump = match by.strip_prefix('-') {
                    Some(back) => time(back).map(|t| -(t as i64)),
                    None => time(by).map(|t| t as i64),
                };
                let jump =
                    jump.ok_or_else(|| self.wrong(node, "write by=\"3600 s\" or by=\"-3600 s\""))?;
                Deed::Clock(self.groups(node)?, jump)
            }
            _ => return Err(self.wrong(node, "no such deed")),
        })
    }
}

impl Script {
    /// The members of these groups.
    pub fn members_of(&self, groups: &[Group]) -> Vec<u32> {
        (0..self.members)
            .filter(|&m| groups.iter().any(|g| g.has(m, self.zones)))
            .collect()
    }

    /// Reads a script; an error names its line.
    pub fn read(text: &str) -> Result<Script, String> {
        let document = KdlDocument::parse(text).map_err(|e| {
            let offset = e
                .diagnostics
                .first()
                .map_or(0, |d| d.span.offset())
                .min(text.len());
            format!("line {}: no KDL", text[..offset].matches('\n').count() + 1)
        })?;
        let reader = Reader(text);
        let mut script = Script {
            members: 3,
            zones: 1,
            voters: 0,
            keeps: false,
            replace_after: 300_000_000,
            seed: 1,
            until: 30_000_000,
            deeds: Vec::new(),
        };
        for node in document.nodes() {
            let number = || -> Result<u64, String> {
                let first = reader
                    .arguments(node)
                    .first()
                    .and_then(|e| e.value().as_integer());
                first
                    .and_then(|n| u64::try_from(n).ok())
                    .ok_or_else(|| reader.wrong(node, "it takes a number"))
            };
            let span = || -> Result<Micros, String> {
                let first = reader
                    .arguments(node)
                    .first()
                    .and_then(|e| e.value().as_string().and_then(time));
                first.ok_or_else(|| reader.wrong(node, "it takes a time, as \"5 s\""))
            };
            match node.name().value() {
                "members" => {
                    script.members = number()?.clamp(1, 1000) as u32;
                    let zones = node.get("zones").and_then(|z| z.as_integer()).unwrap_or(1);
                    script.zones = u32::try_from(zones).unwrap_or(1).max(1);
                }
                "voters" => {
                    script.voters = number()?.min(5) as u32;
                    script.keeps = node.get("keeps").and_then(|k| k.as_bool()).unwrap_or(false);
                    script.replace_after =
                        reader.time_of(node, "replace-after", script.replace_after)?;
                }
                "seed" => script.seed = number()?,
                "until" => script.until = span()?,
                "at" => {
                    let at = span()?;
                    for deed in node.children().map_or(&[][..], |c| c.nodes()) {
                        script.deeds.push((at, reader.deed(deed)?));
                    }
                }
                _ => script.deeds.push((0, reader.deed(node)?)),
            }
        }
        script.deeds.sort_by_key(|d| d.0);
        Ok(script)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_script_is_read_and_a_mistake_is_told_with_its_line() {
        let text = "members 8 zones=2\nseed 7\nuntil \"40 s\"\nlink \"all\" \"z1\" delay=\"2 ms\" loss=0.3\n\
                    at \"5 s\" { cut \"m0\" \"m1\" ways=\"out\"; heal }\nat \"1 s\" { clock \"m5\" by=\"-3600 s\" }\n";
        let script = Script::read(text).unwrap();
        assert_eq!(
            (script.members, script.zones, script.seed, script.until),
            (8, 2, 7, 40_000_000)
        );
        let link = Link {
            loss: 0.3,
            delay: 2_000,
            ..Link::default()
        };
        assert_eq!(
            script.deeds,
            [
                (0, Deed::Link(Group::All, Group::Zone(1), link)),
                (
                    1_000_000,
                    Deed::Clock(vec![Group::Member(5)], -3_600_000_000)
                ),
                (
                    5_000_000,
                    Deed::Cut(vec![Group::Member(0), Group::Member(1)], (true, false))
                ),
                (5_000_000, Deed::Heal),
            ]
        );
        for (text, line) in [
            ("members 3\n\nat \"x\" { heal }", "line 3: at"),
            ("at \"1 s\" {\n  fly \"m1\"\n}", "line 2: fly"),
            ("link \"all\" loss=0.1", "line 1: link"),
            ("link \"all\" \"m1\" loss=7", "line 1: link"),
            ("cut \"somebody\"", "line 1: cut"),
            ("members {", "line 1"),
        ] {
            let error = Script::read(text).unwrap_err();
            assert!(error.starts_with(line), "{text}: {error}");
        }
    }
}
