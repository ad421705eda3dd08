//! The links between members and engines, and how fault actions change them.

use super::{Directions, Group, Link};
use std::collections::BTreeMap;

/// The links between all members and engines. Engines are numbered after the members.
pub struct Links {
    members: u32,
    engines: u32,
    zones: u32,
    /// The properties of links that no action has changed.
    unchanged: Link,
    /// Changed links. The latest match takes precedence.
    changed: Vec<ChangedLink>,
    cuts: BTreeMap<Direction, Link>,
}

struct ChangedLink {
    from: Group,
    to: Group,
    link: Link,
}

/// One direction between two members or engines.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: u32,
    to: u32,
}

impl Links {
    /// Creates the links between members, all with the properties `unchanged`.
    pub fn new(members: u32, zones: u32, unchanged: Link) -> Links {
        Links {
            members,
            engines: 0,
            zones,
            unchanged,
            changed: Vec::new(),
            cuts: BTreeMap::new(),
        }
    }

    /// Adds engines, which are numbered after the members.
    pub fn with_engines(self, engines: u32) -> Links {
        Links { engines, ..self }
    }

    fn contains(&self, group: &Group, number: u32) -> bool {
        match number.checked_sub(self.members) {
            Some(engine) => group.contains_engine(engine),
            None => group.contains_member(number, self.zones),
        }
    }

    /// Returns the numbers of the members and engines in these groups.
    pub fn all_of(&self, groups: &[Group]) -> Vec<u32> {
        let is_named = |number: &u32| groups.iter().any(|group| self.contains(group, *number));
        (0..self.members + self.engines).filter(is_named).collect()
    }

    /// Returns the link from one member or engine to another.
    pub fn between(&self, from: u32, to: u32) -> Link {
        if let Some(cut) = self.cuts.get(&Direction { from, to }) {
            return *cut;
        }
        let mut latest_first = self.changed.iter().rev();
        let changed = latest_first
            .find(|changed| self.contains(&changed.from, from) && self.contains(&changed.to, to));
        changed.map_or(self.unchanged, |changed| changed.link)
    }

    /// Changes the links from one group to another.
    pub fn set(&mut self, from: &Group, to: &Group, link: Link) {
        self.changed.push(ChangedLink {
            from: from.clone(),
            to: to.clone(),
            link,
        });
    }

    /// Blocks traffic between these members and all others.
    pub fn cut(&mut self, members: &[u32], directions: Directions) {
        let others: Vec<u32> = (0..self.members)
            .filter(|member| !members.contains(member))
            .collect();
        self.partition(members, &others, directions);
    }

    /// Blocks traffic between these members and others. Directions are seen from the former.
    pub fn partition(&mut self, members: &[u32], others: &[u32], directions: Directions) {
        for &member in members {
            for &other in others {
                if directions.outgoing {
                    self.block(member, other);
                }
                if directions.incoming {
                    self.block(other, member);
                }
            }
        }
    }

    fn block(&mut self, from: u32, to: u32) {
        let link = Link {
            is_cut: true,
            ..self.between(from, to)
        };
        self.cuts.insert(Direction { from, to }, link);
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}
