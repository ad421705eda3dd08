//! Rolling restart of engines, one at a time. Each engine is drained, handed over to the operator once nothing runs there, and
//! warmed up before the next one is drained.
//!
//! This module only decides: the host passes what it observes to [`RollingRestart::step`], and executes the returned actions.
//! No engine is drained while another is out, so there are never two out in one building, nor while the others lack the
//! capacity for the load. A rolling restart stops by itself when the service level drops. After a restart of the program it
//! continues from its last record.

mod observed;
mod status;
mod text;

pub use observed::{EngineSnapshot, ObservedState};
pub use status::{HaltReason, Milestone, Status, WaitReason};

use crate::Micros;

/// A drain that takes longer than this is reported as slow.
const SLOW_DRAIN_MICROS: Micros = 60_000_000;
/// An engine that is back and ready is considered warm after this time in [`Stage::WarmingUp`].
const WARM_UP_MICROS: Micros = 15_000_000;
/// The rolling restart stops if the service level drops by more than this since the start.
const MAX_SERVICE_DROP: f64 = 0.10;
/// Minimum ratio of the other engines' capacity to the capacity in use.
const MIN_CAPACITY_MARGIN: f64 = 1.25;

/// The stage of the current engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The engine is drained as soon as the others have the capacity for the load.
    Next,
    /// The engine is drained, and finishes its running queries.
    Draining,
    /// Nothing runs there. The operator may repair or restart the engine.
    HandedOver,
    /// The engine is back, and warms up.
    WarmingUp,
    /// Stopped until an operator resumes it.
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

    /// The name of the stage in records and snapshots.
    pub fn name(self) -> &'static str {
        let named = Stage::NAMES.iter().find(|(stage, _)| *stage == self);
        named.map_or("", |(_, name)| name)
    }

    /// Parses [`Stage::name`].
    fn from_name(name: &str) -> Option<Stage> {
        let named = Stage::NAMES.iter().find(|(_, known)| *known == name);
        named.map(|(stage, _)| *stage)
    }

    fn is_halted(self) -> bool {
        matches!(self, Stage::Stopped | Stage::Done)
    }
}

/// An action for the host to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RollingRestartAction {
    /// Drain this engine.
    Drain(String),
    /// Lift the drain of this engine.
    Resume(String),
    /// Store the rolling restart as a record.
    Persist,
    /// Report this message to operators.
    Announce(String),
}

/// The outcome of one step.
enum Transition {
    /// Stage and status stay the same.
    Stay,
    /// The stage stays the same; the reason is shown to operators.
    Wait(WaitReason),
    /// Enters a stage.
    Enter(Stage, Milestone),
    /// Gives an order for the current engine, and enters a stage.
    OrderAndEnter(RollingRestartAction, Stage, Milestone),
    /// Stops the rolling restart until an operator resumes it.
    Halt(HaltReason),
}

/// The state machine of a rolling restart.
///
/// | stage | event | next stage | actions |
/// | --- | --- | --- | --- |
/// | `Next` | the other engines have enough capacity | `Draining` | drain, unless already drained |
/// | `Draining` | someone lifted the drain | `Stopped` | |
/// | `Draining` | nothing runs there | `HandedOver` | |
/// | `HandedOver` | the engine was restarted and is reachable | `WarmingUp` | resume |
/// | `HandedOver` | the operator confirms that it is back | `WarmingUp` | resume |
/// | `HandedOver` | someone lifted the drain | `WarmingUp` | |
/// | `WarmingUp` | the engine is ready, and `WARM_UP_MICROS` have passed | `Next`, or `Done` after the last engine | |
/// | any but `Stopped`, `Done` | the engine left the list | `Next` | |
/// | any but `Stopped`, `Done` | the service level dropped | `Stopped` | |
/// | any | an operator stops it | `Stopped` | |
/// | `Stopped` | an operator resumes it | `Draining` if the engine is drained, else `Next` | |
///
/// Each stage change is stored ([`RollingRestartAction::Persist`]) and announced.
#[derive(Clone, Debug, PartialEq)]
pub struct RollingRestart {
    /// The engines still to be restarted, the current one first.
    pub remaining: Vec<String>,
    /// The engines that are completed or were skipped.
    pub completed: Vec<String>,
    /// The stage of the first engine in `remaining`.
    pub stage: Stage,
    /// When the stage was entered, in microseconds of the host's clock.
    pub since: Micros,
    /// The engine's start time when it was drained; another start time indicates a new process.
    pub started_at: Option<Micros>,
    /// Service level at the start of the rolling restart, in thousandths.
    pub service_level: u32,
    /// What it waits for, what it has just done, or why it stopped.
    pub status: Status,
}

impl RollingRestart {
    /// Creates a rolling restart of these engines. `service_level` is the share of the requested priority weight that is
    /// currently served, if known.
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

    /// Restarts the timer of the current stage. Used in a new process, whose clock is unrelated to that of the last one.
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

    /// Stops the rolling restart on an operator's request. A drained engine stays drained.
    pub fn stop(&mut self, now: Micros, reason: &str) -> Vec<RollingRestartAction> {
        let halt = Transition::Halt(HaltReason::Operator(reason.into()));
        self.apply(now, halt)
    }

    /// Continues after a stop, on an operator's request.
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

    /// Records the operator's confirmation that the engine is back.
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

    /// Evaluates the observed state once, and returns the actions to execute.
    pub fn step(&mut self, now: Micros, observed: &ObservedState) -> Vec<RollingRestartAction> {
        // No list has arrived yet, as after a restart: nothing is known about any engine.
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

    /// Finishes after the last engine.
    fn finish(&mut self, now: Micros) -> Vec<RollingRestartAction> {
        if self.stage.is_halted() {
            return Vec::new();
        }
        self.apply(now, Transition::Enter(Stage::Done, Milestone::Finished))
    }

    /// Skips the current engine, which has left the list.
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
        // Someone else has lifted the drain. That takes precedence.
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

    /// Marks the current engine as completed or skipped.
    fn complete_engine(&mut self) {
        let engine = self.remaining.remove(0);
        self.completed.push(engine);
    }

    fn time_in_stage(&self, now: Micros) -> Micros {
        now.saturating_sub(self.since)
    }

    /// Describes the planned actions, one line per engine.
    pub fn plan(&self, observed: &ObservedState) -> Vec<String> {
        let line = |(index, name): (usize, &String)| {
            let number = index + 1;
            let Some(engine) = observed.engine(name) else {
                return format!("{number}. {name} is not listed: skipped");
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
    reason = "a share between 0 and 1; larger values saturate"
)]
fn thousandths(share: f64) -> u32 {
    (share * 1000.0) as u32
}
