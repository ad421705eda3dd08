//! Executes the rolling restart of engines, whose state machine is `driftfront_engine_registry::rolling_restart`.

use super::refusal::RequestRefusal;
use super::requests::Answer;
use crate::node::Node;
use driftfront_core::Micros;
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::rolling_restart::{
    ObservedState, RollingRestart, RollingRestartAction,
};
use driftfront_engine_registry::Command as Order;

/// The interval at which a rolling restart observes the engines.
const STEP_INTERVAL: Micros = 500_000;

/// The current or last rolling restart of this process, if any, and the time of its next step.
#[derive(Default)]
pub(super) struct RollingRestartRunner {
    restart: Option<RollingRestart>,
    next_step: Micros,
}

impl RollingRestartRunner {
    /// Restores a rolling restart recorded by an earlier process.
    pub(super) fn load(&mut self, restart: Option<RollingRestart>) {
        self.restart = restart;
    }

    /// The rolling restart, whether or not it is over.
    pub(super) fn current(&self) -> Option<&RollingRestart> {
        self.restart.as_ref()
    }

    /// The record of the rolling restart, whether or not it is over.
    pub(super) fn record(&self) -> StateRecord {
        StateRecord::RollingRestart {
            roll: self.restart.clone(),
        }
    }

    /// The record from which a restarted process continues; empty if the rolling restart is over.
    fn unfinished_record(&self) -> StateRecord {
        let unfinished = self.current().filter(|restart| !restart.is_done());
        StateRecord::RollingRestart {
            roll: unfinished.cloned(),
        }
    }

    fn is_running(&self) -> bool {
        self.current().is_some_and(|restart| !restart.is_done())
    }

    /// Starts a rolling restart; its first step is due immediately.
    fn start(&mut self, now: Micros, restart: RollingRestart) {
        self.restart = Some(restart);
        self.next_step = now;
    }

    fn is_step_due(&self, now: Micros) -> bool {
        self.is_running() && now >= self.next_step
    }

    /// Takes a step and returns the actions to execute.
    fn step(&mut self, now: Micros, observed: &ObservedState) -> Vec<RollingRestartAction> {
        self.next_step = now + STEP_INTERVAL;
        let restart = self.restart.as_mut();
        restart.map_or(Vec::new(), |restart| restart.step(now, observed))
    }
}

impl Node {
    /// Starts a rolling restart of these engines, or of all if none is named. A dry run only returns the plan.
    pub(super) fn begin_rolling_restart(
        &mut self,
        now: Micros,
        engines: Vec<String>,
        is_dry_run: bool,
    ) -> Result<Answer, RequestRefusal> {
        let observed = self.observed_state(now);
        let names = observed.engines.iter().map(|engine| engine.name.clone());
        let all: Vec<String> = names.collect();
        if let Some(unknown) = engines.iter().find(|engine| !all.contains(engine)) {
            return Err(RequestRefusal::NoSuchEngine(unknown.clone()));
        }
        let control = self.control.as_ref();
        let is_running = control.is_some_and(|control| control.rolling_restart.is_running());
        if is_running && !is_dry_run {
            return Err(RequestRefusal::AlreadyRolling);
        }
        let engines = if engines.is_empty() { all } else { engines };
        let restart = RollingRestart::new(now, engines, observed.service_level);
        let plan = restart.plan(&observed).join("\n");
        if !is_dry_run {
            self.start_rolling_restart(now, restart);
        }
        Ok(Answer::Done(plan))
    }

    fn start_rolling_restart(&mut self, now: Micros, restart: RollingRestart) {
        let count = restart.remaining.len();
        if let Some(control) = &mut self.control {
            control.rolling_restart.start(now, restart.clone());
        }
        self.record_event(now, format!("A rolling restart of {count} engines begins"));
        let roll = Some(restart);
        let _ = self.persist(now, &[StateRecord::RollingRestart { roll }]);
    }

    /// Handles an operator's confirmation that the engine which was handed over is back.
    pub(super) fn confirm_engine_returned(
        &mut self,
        now: Micros,
    ) -> Result<Answer, RequestRefusal> {
        let confirm =
            |restart: &mut RollingRestart, _: &ObservedState| restart.confirm_engine_returned(now);
        let status = self.change_rolling_restart(now, confirm);
        status.ok_or(RequestRefusal::NoEngineHandedOver)
    }

    /// Stops the rolling restart on an operator's request.
    pub(super) fn stop_rolling_restart(&mut self, now: Micros) -> Result<Answer, RequestRefusal> {
        let stop =
            |restart: &mut RollingRestart, _: &ObservedState| restart.stop(now, "by an operator");
        let status = self.change_rolling_restart(now, stop);
        status.ok_or(RequestRefusal::NothingToStop)
    }

    /// Resumes a stopped rolling restart on an operator's request.
    pub(super) fn resume_rolling_restart(&mut self, now: Micros) -> Result<Answer, RequestRefusal> {
        let resume =
            |restart: &mut RollingRestart, observed: &ObservedState| restart.resume(now, observed);
        let status = self.change_rolling_restart(now, resume);
        status.ok_or(RequestRefusal::NothingToResume)
    }

    /// Applies an operator's change to the rolling restart; returns `None` if it has no effect.
    fn change_rolling_restart(
        &mut self,
        now: Micros,
        change: impl FnOnce(&mut RollingRestart, &ObservedState) -> Vec<RollingRestartAction>,
    ) -> Option<Answer> {
        let observed = self.observed_state(now);
        let restart = self.control.as_mut()?.rolling_restart.restart.as_mut()?;
        let actions = change(restart, &observed);
        let status = restart.status.to_string();
        if actions.is_empty() {
            return None;
        }
        self.execute_rolling_restart_actions(now, actions);
        Some(Answer::Done(status))
    }

    /// Steps the rolling restart if a step is due.
    pub(super) fn step_rolling_restart(&mut self, now: Micros) {
        let is_due = |control: &super::Control| control.rolling_restart.is_step_due(now);
        if !self.control.as_ref().is_some_and(is_due) {
            return;
        }
        let observed = self.observed_state(now);
        let Some(control) = &mut self.control else {
            return;
        };
        let actions = control.rolling_restart.step(now, &observed);
        self.execute_rolling_restart_actions(now, actions);
    }

    fn execute_rolling_restart_actions(&mut self, now: Micros, actions: Vec<RollingRestartAction>) {
        if actions.is_empty() {
            return;
        }
        if let Some(control) = &mut self.control {
            control.snapshot = None;
        }
        for action in actions {
            match action {
                RollingRestartAction::Announce(message) => self.record_event(now, message),
                RollingRestartAction::Persist => self.persist_rolling_restart(now),
                RollingRestartAction::Drain(engine) => {
                    let force = false;
                    self.execute_rolling_restart_order(now, Order::Drain { engine, force });
                }
                RollingRestartAction::Resume(engine) => {
                    self.execute_rolling_restart_order(now, Order::Resume { engine });
                }
            }
        }
    }

    /// Persists the progress of the rolling restart.
    fn persist_rolling_restart(&mut self, now: Micros) {
        let control = self.control.as_ref();
        if let Some(record) = control.map(|control| control.rolling_restart.unfinished_record()) {
            let _ = self.persist(now, &[record]);
        }
    }

    fn execute_rolling_restart_order(&mut self, now: Micros, order: Order) {
        match self.registry.execute_command(now, "the roll", order) {
            Ok((change, records)) => {
                self.apply_registry_change(now, &change);
                self.publish_handover();
                let _ = self.persist(now, &records);
            }
            Err(refusal) => self.record_event(now, format!("Rolling restart: {refusal}")),
        }
    }
}
