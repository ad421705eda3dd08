//! Names that were ever listed.

use std::collections::{BTreeSet, VecDeque};

/// Names kept, so that an order about an engine that has left can be told from a mistyped one; the oldest go first.
pub const MAX_KNOWN_NAMES: usize = 8192;

/// A bounded set of names, in the order in which they came.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownNames {
    names: BTreeSet<String>,
    by_age: VecDeque<String>,
}

impl KnownNames {
    /// Adds a name; the oldest go beyond the bound.
    pub(crate) fn insert(&mut self, name: &str) {
        if self.names.insert(name.into()) {
            self.by_age.push_back(name.into());
        }
        while self.by_age.len() > MAX_KNOWN_NAMES {
            if let Some(oldest) = self.by_age.pop_front() {
                self.names.remove(&oldest);
            }
        }
    }

    /// Whether this name was ever listed.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// All names, the oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &String> {
        self.by_age.iter()
    }
}
