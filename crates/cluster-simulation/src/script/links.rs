//! The links between members as actions change them.

use super::{Group, Link};
use std::collections::BTreeMap;

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
