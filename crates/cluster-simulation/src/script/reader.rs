//! Parses scripts from KDL.

use super::{Directions, FaultAction, Group, Link, Script, TimedAction};
use driftfront_cluster::Micros;
use kdl::{KdlDocument, KdlEntry, KdlNode};

/// Maximum number of members.
const MAX_MEMBERS: u64 = 1000;
/// Maximum number of voters.
const MAX_VOTERS: u64 = 5;

/// Why a script can't be parsed. Lines count from 1.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScriptError {
    /// The text is not KDL.
    #[error("line {line}: not valid KDL")]
    NotKdl {
        /// The line.
        line: usize,
    },
    /// A node is unknown or has invalid arguments.
    #[error("line {line}: {node}: {problem}")]
    WrongNode {
        /// The line.
        line: usize,
        /// The node's name.
        node: String,
        /// What is wrong with the node.
        problem: ScriptProblem,
    },
}

/// What is wrong with a node of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScriptProblem {
    /// The number is missing or malformed.
    #[error("expected a number")]
    NumberExpected,
    /// The time is missing or malformed.
    #[error("expected a time such as \"5 s\"")]
    TimeExpected,
    /// There are no groups, or one is malformed.
    #[error("expected groups such as \"m0\", \"z1\" or \"all\"")]
    GroupsExpected,
    /// A link does not have exactly two groups.
    #[error("expected two groups, from and to")]
    TwoGroupsExpected,
    /// The time in a property is malformed.
    #[error("expected a time such as \"5 ms\" or \"2 s\"")]
    MalformedTime,
    /// A probability is malformed or out of range.
    #[error("expected a probability from 0 to 1")]
    MalformedProbability,
    /// The directions are malformed.
    #[error("expected ways=\"both\", \"out\" or \"in\"")]
    MalformedDirections,
    /// The property `from` is missing or malformed.
    #[error("expected from=\"engines\", \"e0\" or \"m3\"")]
    FromExpected,
    /// The clock step is missing or malformed.
    #[error("expected by=\"3600 s\" or by=\"-3600 s\"")]
    ClockStepExpected,
    /// The action is unknown.
    #[error("unknown action")]
    UnknownAction,
}

/// Parses a script.
pub(super) fn read_script(text: &str) -> Result<Script, ScriptError> {
    let document = KdlDocument::parse(text).map_err(|error| {
        let diagnostic = error.diagnostics.first();
        let offset = diagnostic.map_or(0, |d| d.span.offset());
        ScriptError::NotKdl {
            line: line_at(text, offset),
        }
    })?;
    let mut script = Script {
        members: 3,
        zones: 1,
        voters: 0,
        persists_log: false,
        replace_after: 300_000_000,
        seed: 1,
        until: 30_000_000,
        actions: Vec::new(),
    };
    for node in document.nodes() {
        NodeReader { text, node }.read_into(&mut script)?;
    }
    script.actions.sort_by_key(|timed| timed.at);
    Ok(script)
}

/// Returns the line that contains an offset, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    let before = &text[..offset.min(text.len())];
    before.matches('\n').count() + 1
}

/// Parses a node.
struct NodeReader<'a> {
    text: &'a str,
    node: &'a KdlNode,
}

impl NodeReader<'_> {
    fn error(&self, problem: ScriptProblem) -> ScriptError {
        let offset = self.node.span().offset().min(self.text.len());
        let rest = &self.text[offset..];
        let skipped = rest.find(|c: char| !c.is_whitespace()).unwrap_or(0);
        ScriptError::WrongNode {
            line: line_at(self.text, offset + skipped),
            node: self.node.name().value().into(),
            problem,
        }
    }

    /// Parses a top-level node into the script.
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
                script.persists_log = keeps.unwrap_or(false);
                script.replace_after = self.time_of("replace-after", script.replace_after)?;
            }
            "seed" => script.seed = self.number()?,
            "until" => script.until = self.time()?,
            "at" => {
                let at = self.time()?;
                for node in self.node.children().map_or(&[][..], |c| c.nodes()) {
                    let reader = NodeReader { node, ..*self };
                    let action = reader.action()?;
                    script.actions.push(TimedAction { at, action });
                }
            }
            _ => script.actions.push(TimedAction {
                at: 0,
                action: self.action()?,
            }),
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
            .ok_or_else(|| self.error(ScriptProblem::NumberExpected))
    }

    fn time(&self) -> Result<Micros, ScriptError> {
        let first = self.arguments().next();
        first
            .and_then(|e| e.value().as_string().and_then(parse_time))
            .ok_or_else(|| self.error(ScriptProblem::TimeExpected))
    }

    fn groups(&self) -> Result<Vec<Group>, ScriptError> {
        let group = |e: &KdlEntry| e.value().as_string().and_then(parse_group);
        let groups: Option<Vec<Group>> = self.arguments().map(group).collect();
        groups
            .filter(|g| !g.is_empty())
            .ok_or_else(|| self.error(ScriptProblem::GroupsExpected))
    }

    fn time_of(&self, key: &str, default: Micros) -> Result<Micros, ScriptError> {
        let Some(value) = self.node.get(key) else {
            return Ok(default);
        };
        let time = value.as_string().and_then(parse_time);
        time.ok_or_else(|| self.error(ScriptProblem::MalformedTime))
    }

    /// Parses a property that is a probability. Returns 0 if it is missing.
    fn probability_of(&self, key: &str) -> Result<f64, ScriptError> {
        let Some(value) = self.node.get(key) else {
            return Ok(0.0);
        };
        let integer = || value.as_integer().map(|n| n as f64);
        let probability = value.as_float().or_else(integer);
        probability
            .filter(|p| (0.0..=1.0).contains(p))
            .ok_or_else(|| self.error(ScriptProblem::MalformedProbability))
    }

    fn directions(&self) -> Result<Directions, ScriptError> {
        match self.node.get("ways").map(|w| w.as_string()) {
            None | Some(Some("both")) => Ok(Directions::BOTH),
            Some(Some("out")) => Ok(Directions::OUTGOING),
            Some(Some("in")) => Ok(Directions::INCOMING),
            _ => Err(self.error(ScriptProblem::MalformedDirections)),
        }
    }

    fn from(&self) -> Result<Group, ScriptError> {
        let from = self.node.get("from").and_then(|f| f.as_string());
        from.and_then(parse_group)
            .ok_or_else(|| self.error(ScriptProblem::FromExpected))
    }

    fn action(&self) -> Result<FaultAction, ScriptError> {
        Ok(match self.node.name().value() {
            "link" => self.link()?,
            "cut" => FaultAction::Cut(self.groups()?, self.directions()?),
            "part" => FaultAction::Partition(self.groups()?, self.from()?, self.directions()?),
            "reset" => FaultAction::Reset(self.groups()?, self.from()?),
            "heal" => FaultAction::Heal,
            "kill" => FaultAction::Kill(self.groups()?),
            "stop" => FaultAction::Suspend(self.groups()?),
            "wake" => FaultAction::Resume(self.groups()?),
            "start" => FaultAction::Start(self.groups()?),
            "leave" => FaultAction::Leave(self.groups()?),
            "clock" => {
                let step = self.clock_step()?;
                FaultAction::Clock(self.groups()?, step)
            }
            _ => return Err(self.error(ScriptProblem::UnknownAction)),
        })
    }

    fn link(&self) -> Result<FaultAction, ScriptError> {
        let groups = self.groups()?;
        let [from, to] = &groups[..] else {
            return Err(self.error(ScriptProblem::TwoGroupsExpected));
        };
        let default = Link::default();
        let throttle = self.node.get("throttle").and_then(|t| t.as_integer());
        let link = Link {
            loss: self.probability_of("loss")?,
            duplication: self.probability_of("repeat")?,
            delay: self.time_of("delay", default.delay)?,
            jitter: self.time_of("jitter", default.jitter)?,
            is_cut: false,
            bytes_per_second: throttle.map_or(0, |t| u64::try_from(t.max(0)).unwrap_or(u64::MAX)),
        };
        Ok(FaultAction::Link(from.clone(), to.clone(), link))
    }

    /// Parses a clock step, in microseconds.
    fn clock_step(&self) -> Result<i64, ScriptError> {
        let by = self.node.get("by").and_then(|v| v.as_string());
        let by = by.unwrap_or_default();
        let step = match by.strip_prefix('-') {
            Some(back) => parse_time(back).map(|t| -(t as i64)),
            None => parse_time(by).map(|t| t as i64),
        };
        step.ok_or_else(|| self.error(ScriptProblem::ClockStepExpected))
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

/// Maximum time in a script, in microseconds.
const MAX_TIME_MICROS: f64 = 1e13;

/// Parses a time such as `"500 ms"`.
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
    let micros = number.trim().parse::<f64>().ok()? * factor;
    if !(0.0..=MAX_TIME_MICROS).contains(&micros) {
        return None;
    }
    #[allow(
        clippy::cast_possible_truncation,
        reason = "bounded above, and fractions of a microsecond are truncated"
    )]
    Some(micros as Micros)
}
