//! The names of all engines that were ever listed.

use std::collections::{BTreeSet, VecDeque};

/// Limit on the remembered names; beyond it the oldest are dropped. They tell an order for an engine that has left the list
/// from one with a mistyped name.
pub const MAX_KNOWN_NAMES: usize = 8192;

/// A bounded set of names in insertion order.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownNames {
    names: BTreeSet<String>,
    insertion_order: VecDeque<String>,
}

impl KnownNames {
    /// Adds a name, and drops the oldest names beyond the limit.
    pub(crate) fn insert(&mut self, name: &str) {
        if self.names.insert(name.into()) {
            self.insertion_order.push_back(name.into());
        }
        while self.insertion_order.len() > MAX_KNOWN_NAMES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.names.remove(&oldest);
            }
        }
    }

    /// Whether the name is remembered.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// All names, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &String> {
        self.insertion_order.iter()
    }
}
