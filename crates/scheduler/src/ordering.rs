//! Ordering of queries by key: queries with the same key run one at a time, in the order in which
//! they were accepted.
//!
//! Input: arrivals, ends, and attempts that may still be running. Output: the next query of a key.
//! Bound: one entry per key with an open query or a hold that has not expired.

use crate::types::{Micros, QueryId};
use std::collections::{BTreeMap, VecDeque};

/// The queries of one key.
#[derive(Default)]
struct KeyQueue {
    /// In acceptance order; the first is the next to run.
    queries: VecDeque<QueryId>,
    /// The key is held until this time because of an attempt that may still be running.
    held_until: Micros,
}

/// The queries of all keys.
#[derive(Default)]
pub(crate) struct KeyQueues {
    queues: BTreeMap<u64, KeyQueue>,
}

impl KeyQueues {
    /// Adds a query behind all others of its key.
    pub(crate) fn push(&mut self, key: u64, query: QueryId) {
        self.queues.entry(key).or_default().queries.push_back(query);
    }

    /// Removes a query that has concluded.
    pub(crate) fn remove(&mut self, key: u64, query: QueryId) {
        let queue = self.queues.entry(key).or_default();
        queue.queries.retain(|&other| other != query);
    }

    /// Holds a key until this time: an attempt of unknown outcome may still be running.
    pub(crate) fn hold_key(&mut self, key: u64, until: Micros) {
        self.queues.entry(key).or_default().held_until = until;
    }

    /// The next query of a key, unless the key is held. Drops a key that has no queries.
    pub(crate) fn first(&mut self, now: Micros, key: u64) -> Option<QueryId> {
        let queue = self.queues.get(&key).filter(|q| now >= q.held_until)?;
        let first = queue.queries.front().copied();
        if first.is_none() {
            self.queues.remove(&key);
        }
        first
    }

    /// All keys that are known.
    pub(crate) fn keys(&self) -> Vec<u64> {
        self.queues.keys().copied().collect()
    }
}
