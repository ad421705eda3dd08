//! Applies the fault actions of a script.

use super::World;
use crate::script::{FaultAction, Group};

impl World {
    /// Applies an action at the current time.
    pub(super) fn apply_action(&mut self, action: FaultAction) {
        match action {
            FaultAction::Link(from, to, link) => self.links.set(&from, &to, link),
            FaultAction::Cut(groups, directions) => {
                let members = self.script.members_of(&groups);
                self.links.cut(&members, directions);
            }
            FaultAction::Partition(groups, other, directions) => {
                let members = self.script.members_of(&groups);
                let others = self.links.all_of(&[other]);
                self.links.partition(&members, &others, directions);
            }
            // The simulation has no connections.
            FaultAction::Reset(..) => {}
            FaultAction::Heal => self.links.heal(),
            FaultAction::Kill(groups) => self.for_each_of(&groups, World::kill),
            FaultAction::Suspend(groups) => self.for_each_of(&groups, World::suspend),
            FaultAction::Resume(groups) => self.for_each_of(&groups, World::resume),
            FaultAction::Start(groups) => self.for_each_of(&groups, World::start),
            FaultAction::Leave(groups) => self.for_each_of(&groups, World::leave),
            FaultAction::Clock(groups, step) => self.for_each_of(&groups, |world, member| {
                world.process_mut(member).clock_offset += step;
            }),
        }
    }

    fn for_each_of(&mut self, groups: &[Group], apply: impl Fn(&mut World, u32)) {
        for member in self.script.members_of(groups) {
            apply(self, member);
        }
    }
}
