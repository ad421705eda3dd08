//! Applies the actions of a script to processes and links.

use super::ClusterHarness;
use crate::process::{Process, Signal};
use crate::{FaultAction, Group, Script, TimedAction};
use std::time::Duration;

impl ClusterHarness {
    /// Applies an action now.
    pub fn apply(&mut self, action: &FaultAction) {
        self.log.record(format!("{action:?}"));
        match action {
            FaultAction::Link(from, to, link) => self.net.set_link(from, to, *link),
            FaultAction::Partition(groups, from, directions) => {
                self.net.partition(groups, from, *directions)
            }
            FaultAction::Reset(groups, from) => self.reset_connections(groups, from),
            FaultAction::Heal => self.net.heal(),
            FaultAction::Cut(groups, directions) => {
                self.net.cut(&self.script.members_of(groups), *directions)
            }
            FaultAction::Kill(groups) => self.for_each(groups, Process::kill),
            FaultAction::Suspend(groups) => self.for_each(groups, |p| p.signal(Signal::Stop)),
            FaultAction::Resume(groups) => self.for_each(groups, |p| p.signal(Signal::Continue)),
            FaultAction::Leave(groups) => self.for_each(groups, |p| p.signal(Signal::Terminate)),
            FaultAction::Start(groups) => self
                .script
                .members_of(groups)
                .into_iter()
                .for_each(|member| self.start_member(member)),
            // Processes on one machine share its clock. Only the simulation supports clock steps.
            FaultAction::Clock(..) => {}
        }
    }

    /// Applies the actions of these script lines now.
    pub fn apply_script(&mut self, lines: &str) {
        let script = Script::read(lines).expect("valid script lines");
        for TimedAction { action, .. } in &script.actions {
            self.apply(action);
        }
    }

    /// Runs the script: applies each action at its time.
    pub fn play(&mut self) {
        for TimedAction { at, action } in self.script.actions.clone() {
            let at = Duration::from_micros(at);
            std::thread::sleep(at.saturating_sub(self.log.elapsed()));
            self.apply(&action);
        }
    }

    fn for_each(&mut self, groups: &[Group], act: impl Fn(&mut Process)) {
        for member in self.script.members_of(groups) {
            act(self.process(member));
        }
    }

    /// Closes all connections between these groups and `from`.
    fn reset_connections(&self, groups: &[Group], from: &Group) {
        let Some(links) = &self.engine_links else {
            return;
        };
        let some = self.net.numbers_of(groups);
        let others = self.net.numbers_of(std::slice::from_ref(from));
        links.reset(&some, &others);
    }
}
