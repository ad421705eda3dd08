//! Reads scripts from KDL.

use super::{FaultAction, Group, Link, Script};
use driftfront_cluster::Micros;
use kdl::{KdlDocument, KdlEntry, KdlNode};
use std::fmt;

/// Members of a script at most.
const MAX_MEMBERS: u64 = 1000;
/// Voters of a script at most.
const MAX_VOTERS: u64 = 5;

/// Why a script can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptError {
    /// The line, from 1.
    pub line: usize,
    /// The name of the node that is wrong; `None` where the text is no KDL.
    pub node: Option<String>,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if let Some(node) = &self.node {
            write!(f, "{node}: ")?;
        }
        f.write_str(self.problem)
    }
}

impl std::error::Error for ScriptError {}

/// Reads a script.
pub(super) fn read_script(text: &str) -> Result<Script, ScriptError> {
    let document = KdlDocument::parse(text).map_err(|error| {
        let diagnostic = error.diagnostics.first();
        let offset = diagnostic.map_or(0, |d| d.span.offset());
        ScriptError {
            line: line_at(text, offset),
            node: None,
            problem: "no KDL",
        }
    })?;
    let mut script = Script {
        members: 3,
        zones: 1,
        voters: 0,
        keeps: false,
        replace_after: 300_000_000,
        seed: 1,
        until: 30_000_000,
        actions: Vec::new(),
    };
    for node in document.nodes() {
        NodeReader { text, node }.read_into(&mut script)?;
    }
    script.actions.sort_by_key(|d| d.0);
    Ok(script)
}

/// The line of an offset, from 1.
fn line_at(text: &str, offset: usize) -> usize {
    let before = &text[..offset.min(text.len())];
    before.matches('\n').count() + 1
}

/// Reads one node.
struct NodeReader<'a> {
    text: &'a str,
    node: &'a KdlNode,
}

impl NodeReader<'_> {
    fn error(&self, problem: &'static str) -> ScriptError {
        let offset = self.node.span().offset().min(self.text.len());
        let behind = &self.text[offset..];
        let skipped = behind.find(|c: char| !c.is_whitespace()).unwrap_or(0);
        ScriptError {
            line: line_at(self.text, offset + skipped),
            node: Some(self.node.name().value().into()),
            problem,
        }
    }

    /// Reads a node of the script's first level.
    fn read_into(&self, script: &mut Script) -> Result<(), ScriptError> {
        match self.node.name().value() {
            "members" => {
                script.members = self.number()?.clamp(1, MAX_MEMBERS) as u32;
                let zones = self.node.get("zones").and_then(|z| z.as_integer());
                script.zones = u32::try_from(zones.unwrap_or(1)).unwrap_or(1).max(1);
            }
            "voters" => {
                script.voters = self.number()?.min(MAX_VOTERS) as u32;
                let keeps = self.node.get("keeps").and_then(|k| k.as_bool());
                script.keeps = keeps.unwrap_or(false);
                script.replace_after = self.time_of("replace-after", script.replace_after)?;
            }
            "seed" => script.seed = self.number()?,
            "until" => script.until = self.time()?,
            "at" => {
                let at = self.time()?;
                for node in self.node.children().map_or(&[][..], |c| c.nodes()) {
                    let reader = NodeReader { node, ..*self };
                    script.actions.push((at, reader.action()?));
                }
            }
            _ => script.actions.push((0, self.action()?)),
        }
        Ok(())
    }

    fn arguments(&self) -> impl Iterator<Item = &KdlEntry> {
        self.node.entries().iter().filter(|e| e.name().is_none())
    }

    fn number(&self) -> Result<u64, ScriptError> {
        let first = self.arguments().next();
        let number = first.and_then(|e| e.value().as_integer());
        number
            .and_then(|n| u64::try_from(n).ok())
            .ok_or_else(|| self.error("it takes a number"))
    }

    fn time(&self) -> Result<Micros, ScriptError> {
        let first = self.arguments().next();
        first
            .and_then(|e| e.value().as_string().and_then(parse_time))
            .ok_or_else(|| self.error("it takes a time, as \"5 s\""))
    }

    fn groups(&self) -> Result<Vec<Group>, ScriptError> {
        let group = |e: &KdlEntry| e.value().as_string().and_then(parse_group);
        let groups: Option<Vec<Group>> = self.arguments().map(group).collect();
        groups
            .filter(|g| !g.is_empty())
            .ok_or_else(|| self.error("write \"m0\", \"z1\" or \"all\""))
    }

    fn time_of(&self, key: &str, default: Micros) -> Result<Micros, ScriptError> {
        let Some(value) = self.node.get(key) else {
            return Ok(default);
        };
        let time = value.as_string().and_then(parse_time);
        time.ok_or_else(|| self.error("a time is \"5 ms\" or \"2 s\""))
    }

    /// A part of all, from 0 to 1.
    fn part_of(&self, key: &str) -> Result<f64, ScriptError> {
        let Some(value) = self.node.get(key) else {
            return Ok(0.0);
        };
        let integer = || value.as_integer().map(|n| n as f64);
        let part = value.as_float().or_else(integer);
        part.filter(|p| (0.0..=1.0).contains(p))
            .ok_or_else(|| self.error("a part is 0 to 1"))
    }

    fn ways(&self) -> Result<(bool, bool), ScriptError> {
        match self.node.get("ways").map(|w| w.as_string()) {
            None | Some(Some("both")) => Ok((true, true)),
            Some(Some("out")) => Ok((true, false)),
            Some(Some("in")) => Ok((false, true)),
            _ => Err(self.error("ways is \"both\", \"out\" or \"in\"")),
        }
    }

    fn from(&self) -> Result<Group, ScriptError> {
        let from = self.node.get("from").and_then(|f| f.as_string());
        from.and_then(parse_group)
            .ok_or_else(|| self.error("write from=\"engines\", \"e0\" or \"m3\""))
    }

    fn action(&self) -> Result<FaultAction, ScriptError> {
        Ok(match self.node.name().value() {
            "link" => self.link()?,
            "cut" => FaultAction::Cut(self.groups()?, self.ways()?),
            "part" => FaultAction::Part(self.groups()?, self.from()?, self.ways()?),
            "reset" => FaultAction::Reset(self.groups()?, self.from()?),
            "heal" => FaultAction::Heal,
            "kill" => FaultAction::Kill(self.groups()?),
            "stop" => FaultAction::Stop(self.groups()?),
            "wake" => FaultAction::Wake(self.groups()?),
            "start" => FaultAction::Start(self.groups()?),
            "leave" => FaultAction::Leave(self.groups()?),
            "clock" => {
                let step = self.clock_step()?;
                FaultAction::Clock(self.groups()?, step)
            }
            _ => return Err(self.error("no such deed")),
        })
    }

    fn link(&self) -> Result<FaultAction, ScriptError> {
        let groups = self.groups()?;
        let [from, to] = &groups[..] else {
            return Err(self.error("it takes two groups, from and to"));
        };
        let usual = Link::default();
        let throttle = self.node.get("throttle").and_then(|t| t.as_integer());
        let link = Link {
            loss: self.part_of("loss")?,
            repeat: self.part_of("repeat")?,
            delay: self.time_of("delay", usual.delay)?,
            jitter: self.time_of("jitter", usual.jitter)?,
            cut: false,
            throttle: throttle.map_or(0, |t| t.max(0) as u64),
        };
        Ok(FaultAction::Link(from.clone(), to.clone(), link))
    }

    /// By how many microseconds a clock is set.
    fn clock_step(&self) -> Result<i64, ScriptError> {
        let by = self.node.get("by").and_then(|v| v.as_string());
        let by = by.unwrap_or_default();
        let step = match by.strip_prefix('-') {
            Some(back) => parse_time(back).map(|t| -(t as i64)),
            None => parse_time(by).map(|t| t as i64),
        };
        step.ok_or_else(|| self.error("write by=\"3600 s\" or by=\"-3600 s\""))
    }
}

fn parse_group(text: &str) -> Option<Group> {
    let number = |prefix: &str| text.strip_prefix(prefix)?.parse().ok();
    match text {
        "all" => Some(Group::All),
        "engines" => Some(Group::Engines),
        _ => number("m")
            .map(Group::Member)
            .or_else(|| number("z").map(Group::Zone))
            .or_else(|| number("e").map(Group::Engine)),
    }
}

/// Longest time of a script, in microseconds.
const MAX_TIME_MICROS: f64 = 1e13;

/// A time such as `"500 ms"`.
fn parse_time(text: &str) -> Option<Micros> {
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
    (0.0..=MAX_TIME_MICROS)
        .contains(&time)
        .then_some(time as Micros)
}
