//! Rolling restart: takes engines out one after another. Each is drained, handed over to the operator once nothing runs there,
//! and warms up before the next one goes.
//!
//! Decisions only: the host says what it observes, [`RollingRestart::step`] says what to do. Never two engines at once, so never
//! two of one building; not while the others could not carry the load. It stops by itself when service drops, and continues
//! after a restart of the program from what was written down.

mod observed;
mod status;
mod text;

pub use observed::{EngineSnapshot, ObservedState};
pub use status::{HaltReason, Milestone, Status, WaitReason};

use crate::Micros;

/// Work that runs on longer than this after a drain is reported as slow.
const SLOW_DRAIN_MICROS: Micros = 60_000_000;
/// An engine that is back counts as warm after this time.
const WARM_UP_MICROS: Micros = 15_000_000;
/// A drop of the service level by this much since the beginning stops the rolling restart.
const MAX_SERVICE_DROP: f64 = 0.10;
/// The other engines must have this multiple of the capacity that the load uses.
const MIN_CAPACITY_MARGIN: f64 = 1.25;

/// Where a rolling restart stands with its current engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The next engine may be taken out as soon as the others can carry the load.
    Next,
    /// The engine is drained: what runs there ends.
    Draining,
    /// Nothing runs there: the operator has it, until it comes back.
    HandedOver,
    /// It is back, and warms up.
    WarmingUp,
    /// Stopped; an operator may let it continue.
    Stopped,
    /// All engines are completed.
    Done,
}

impl Stage {
    const NAMES: [(Stage, &'static str); 6] = [
        (Stage::Next, "next"),
        (Stage::Draining, "draining"),
        (Stage::HandedOver, "handed"),
        (Stage::WarmingUp, "warming"),
        (Stage::Stopped, "stopped"),
        (Stage::Done, "done"),
    ];

    /// The stage as records and snapshots name it.
    pub fn name(self) -> &'static str {
        let named = Stage::NAMES.iter().find(|(stage, _)| *stage == self);
        named.map_or("", |(_, name)| name)
    }

    /// Reads [`Stage::name`].
    fn from_name(name: &str) -> Option<Stage> {
        let named = Stage::NAMES.iter().find(|(_, known)| *known == name);
        named.map(|(stage, _)| *stage)
    }

    fn is_halted(self) -> bool {
        matches!(self, Stage::Stopped | Stage::Done)
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RollingRestartAction {
    /// Drain this engine.
    Drain(String),
    /// Lift the drain of this engine.
    Resume(String),
    /// Write the rolling restart down.
    Persist,
    /// Tell the operators.
    Announce(String),
}

/// What one look at the cluster does to a rolling restart.
enum Transition {
    /// Nothing, and the status stays as it is.
    Stay,
    /// Nothing yet; the reason is shown to operators.
    Wait(WaitReason),
    /// The next stage.
    Enter(Stage, Milestone),
    /// An order about the current engine, and the next stage.
    OrderAndEnter(RollingRestartAction, Stage, Milestone),
    /// Ends the rolling restart until an operator resumes it.
    Halt(HaltReason),
}

/// A rolling restart.
///
/// | stage | on | next stage | actions |
/// | --- | --- | --- | --- |
/// | `Next` | the others can carry the load | `Draining` | drain, unless drained already |
/// | `Draining` | somebody lifted the drain | `Stopped` | |
/// | `Draining` | nothing runs there | `HandedOver` | |
/// | `HandedOver` | it was restarted and is reachable | `WarmingUp` | resume |
/// | `HandedOver` | the operator says that it is back | `WarmingUp` | resume |
/// | `HandedOver` | somebody lifted the drain | `WarmingUp` | |
/// | `WarmingUp` | ready, for `WARM_UP_MICROS` | `Next`, or `Done` behind the last engine | |
/// | any but `Stopped`, `Done` | its engine left the list | `Next` | |
/// | any but `Stopped`, `Done` | service dropped | `Stopped` | |
/// | any | an operator stops it | `Stopped` | |
/// | `Stopped` | an operator resumes it | `Draining` if the engine is drained, else `Next` | |
///
/// Each new stage is written down ([`RollingRestartAction::Persist`]) and announced.
#[derive(Clone, Debug, PartialEq)]
pub struct RollingRestart {
    /// The engines that are still to go, the current one first.
    pub remaining: Vec<String>,
    /// Those that are completed, or were passed over.
    pub completed: Vec<String>,
    /// Where it stands with the first of `remaining`.
    pub stage: Stage,
    /// Since when, in microseconds of the host's clock.
    pub since: Micros,
    /// The engine's start as it was when it was drained: another one means a new process.
    pub started_at: Option<Micros>,
    /// Service level at the beginning, in thousandths.
    pub service_level: u32,
    /// What it waits for, what it has just done, or why it stopped.
    pub status: Status,
}

impl RollingRestart {
    /// A rolling restart of these engines. `service_level`: share of the priority weight that is served now, if it is known.
    pub fn new(now: Micros, engines: Vec<String>, service_level: Option<f64>) -> RollingRestart {
        RollingRestart {
            remaining: engines,
            completed: Vec::new(),
            stage: Stage::Next,
            since: now,
            started_at: None,
            service_level: thousandths(service_level.unwrap_or(1.0)),
            status: Status::NotStarted,
        }
    }

    /// The same in a new process, whose clock has nothing to do with the last one's: the time of the stage begins again.
    pub fn restart_stage_timer(self, now: Micros) -> RollingRestart {
        RollingRestart { since: now, ..self }
    }

    /// The current engine.
    pub fn current(&self) -> Option<&str> {
        self.remaining.first().map(String::as_str)
    }

    /// Whether all engines are completed.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// An operator stops it; an engine that is out stays out.
    pub fn stop(&mut self, now: Micros, reason: &str) -> Vec<RollingRestartAction> {
        let halt = Transition::Halt(HaltReason::Operator(reason.into()));
        self.apply(now, halt)
    }

    /// An operator lets it continue after a stop.
    pub fn resume(&mut self, now: Micros, observed: &ObservedState) -> Vec<RollingRestartAction> {
        if self.stage != Stage::Stopped {
            return Vec::new();
        }
        self.service_level = thousandths(observed.service_level.unwrap_or(1.0));
        let engine = self.current().and_then(|name| observed.engine(name));
        let stage = if engine.is_some_and(|engine| engine.is_drained) {
            Stage::Draining
        } else {
            Stage::Next
        };
        self.apply(now, Transition::Enter(stage, Milestone::Continued))
    }

    /// An operator says that the engine is back in order.
    pub fn confirm_engine_returned(&mut self, now: Micros) -> Vec<RollingRestartAction> {
        let (Stage::HandedOver, Some(engine)) = (self.stage, self.current()) else {
            return Vec::new();
        };
        let engine = engine.to_string();
        self.apply(
            now,
            Transition::OrderAndEnter(
                RollingRestartAction::Resume(engine.clone()),
                Stage::WarmingUp,
                Milestone::Returned(engine),
            ),
        )
    }

    /// Looks at the cluster once, and says what to do.
    pub fn step(&mut self, now: Micros, observed: &ObservedState) -> Vec<RollingRestartAction> {
        // No list has come yet, as after a restart: nothing can be said of any engine.
        if observed.engines.is_empty() {
            return Vec::new();
        }
        let Some(name) = self.current().map(String::from) else {
            return self.finish(now);
        };
        let Some(engine) = observed.engine(&name) else {
            return self.skip_engine(now, name);
        };
        let transition = match self.stage {
            Stage::Next => self.start_next_engine(engine, observed),
            Stage::Draining => self.check_drained(now, engine),
            Stage::HandedOver => self.check_restarted(engine),
            Stage::WarmingUp => self.check_warm(now, engine),
            Stage::Stopped | Stage::Done => Transition::Stay,
        };
        let mut actions = self.apply(now, transition);
        if let Some(halt) = self.check_service_level(observed) {
            actions.extend(self.apply(now, halt));
        }
        actions
    }

    /// No engine is left.
    fn finish(&mut self, now: Micros) -> Vec<RollingRestartAction> {
        if self.stage.is_halted() {
            return Vec::new();
        }
        self.apply(now, Transition::Enter(Stage::Done, Milestone::Finished))
    }

    /// The current engine has left the list: nothing is to be done with it.
    fn skip_engine(&mut self, now: Micros, name: String) -> Vec<RollingRestartAction> {
        if self.stage == Stage::Stopped {
            return Vec::new();
        }
        self.complete_engine();
        self.apply(
            now,
            Transition::Enter(Stage::Next, Milestone::Skipped(name)),
        )
    }

    fn start_next_engine(
        &mut self,
        engine: &EngineSnapshot,
        observed: &ObservedState,
    ) -> Transition {
        if let Some(reason) = observed.blocked_by(engine) {
            return Transition::Wait(reason);
        }
        self.started_at = engine.started_at;
        let name = engine.name.clone();
        let drained = Milestone::Drained(name.clone());
        if engine.is_drained {
            return Transition::Enter(Stage::Draining, drained);
        }
        let drain = RollingRestartAction::Drain(name);
        Transition::OrderAndEnter(drain, Stage::Draining, drained)
    }

    fn check_drained(&self, now: Micros, engine: &EngineSnapshot) -> Transition {
        let name = engine.name.clone();
        // Somebody else has lifted the drain: that wins.
        if !engine.is_drained {
            return Transition::Halt(HaltReason::Resumed(name));
        }
        if engine.running_queries == 0 {
            return Transition::Enter(Stage::HandedOver, Milestone::HandedOver(name));
        }
        let is_slow = self.time_in_stage(now) > SLOW_DRAIN_MICROS;
        Transition::Wait(match (engine.running_imports, is_slow) {
            (0, false) => WaitReason::QueriesRunning(name, engine.running_queries),
            (0, true) => WaitReason::SlowDrain(name, engine.running_queries),
            (imports, _) => WaitReason::ImportsRunning(name, imports),
        })
    }

    fn check_restarted(&self, engine: &EngineSnapshot) -> Transition {
        let name = engine.name.clone();
        let is_restarted = engine.started_at.is_some() && engine.started_at != self.started_at;
        if is_restarted && engine.is_reachable {
            return Transition::OrderAndEnter(
                RollingRestartAction::Resume(name.clone()),
                Stage::WarmingUp,
                Milestone::Restarted(name),
            );
        }
        if !engine.is_drained {
            return Transition::Enter(Stage::WarmingUp, Milestone::Resumed(name));
        }
        Transition::Stay
    }

    fn check_warm(&mut self, now: Micros, engine: &EngineSnapshot) -> Transition {
        let name = engine.name.clone();
        if !engine.is_ready {
            return Transition::Wait(WaitReason::NotReady(name));
        }
        let warm_for = self.time_in_stage(now);
        if warm_for < WARM_UP_MICROS {
            let seconds_left = (WARM_UP_MICROS - warm_for).div_ceil(1_000_000);
            return Transition::Wait(WaitReason::WarmingUp(name, seconds_left));
        }
        self.complete_engine();
        if self.remaining.is_empty() {
            Transition::Enter(Stage::Done, Milestone::Finished)
        } else {
            Transition::Enter(Stage::Next, Milestone::Warm(name))
        }
    }

    fn check_service_level(&self, observed: &ObservedState) -> Option<Transition> {
        let now = observed.service_level?;
        let before = f64::from(self.service_level) / 1000.0;
        if now >= before - MAX_SERVICE_DROP || self.stage.is_halted() {
            return None;
        }
        Some(Transition::Halt(HaltReason::ServiceDropped {
            now,
            before_thousandths: self.service_level,
        }))
    }

    fn apply(&mut self, now: Micros, transition: Transition) -> Vec<RollingRestartAction> {
        match transition {
            Transition::Stay => Vec::new(),
            Transition::Wait(reason) => {
                self.status = Status::Waiting(reason);
                Vec::new()
            }
            Transition::Enter(stage, milestone) => {
                self.enter(now, stage, Status::Reached(milestone))
            }
            Transition::OrderAndEnter(order, stage, milestone) => {
                let mut actions = vec![order];
                actions.extend(self.enter(now, stage, Status::Reached(milestone)));
                actions
            }
            Transition::Halt(reason) => self.enter(now, Stage::Stopped, Status::Halted(reason)),
        }
    }

    fn enter(&mut self, now: Micros, stage: Stage, status: Status) -> Vec<RollingRestartAction> {
        let announcement = status.to_string();
        (self.stage, self.since, self.status) = (stage, now, status);
        vec![
            RollingRestartAction::Persist,
            RollingRestartAction::Announce(announcement),
        ]
    }

    /// The current engine is completed, or passed over.
    fn complete_engine(&mut self) {
        let engine = self.remaining.remove(0);
        self.completed.push(engine);
    }

    fn time_in_stage(&self, now: Micros) -> Micros {
        now.saturating_sub(self.since)
    }

    /// What it would do, a line for each engine.
    pub fn plan(&self, observed: &ObservedState) -> Vec<String> {
        let line = |(index, name): (usize, &String)| {
            let number = index + 1;
            let Some(engine) = observed.engine(name) else {
                return format!("{number}. {name} is not listed: passed over");
            };
            let blocked = observed.blocked_by(engine);
            let blocked = blocked.map_or(String::new(), |reason| format!(" ({reason})"));
            let running = engine.running_queries;
            format!(
                "{number}. drain {name}{blocked}, wait for {running} queries, hand it over, wait until it is warm"
            )
        };
        self.remaining.iter().enumerate().map(line).collect()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "a share from 0 to 1; more saturates"
)]
fn thousandths(share: f64) -> u32 {
    (share * 1000.0) as u32
}
