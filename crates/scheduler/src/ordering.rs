//! Order of queries by key: those of one key run one at a time, in the order in which they were accepted.
//!
//! Input: arrivals, ends, and attempts that may still run. Output: the query of a key whose turn it is. Bound: one entry for
//! each key with an open query or a rest that is not over.

use crate::types::{Micros, QueryId};
use std::collections::{BTreeMap, VecDeque};

/// The queries of one key.
#[derive(Default)]
struct KeyQueue {
    /// In the order in which they were accepted; the first is the one whose turn it is.
    queries: VecDeque<QueryId>,
    /// An attempt that may still run holds the key until then.
    rests_until: Micros,
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

    /// Removes a query that is over.
    pub(crate) fn remove(&mut self, key: u64, query: QueryId) {
        let queue = self.queues.entry(key).or_default();
        queue.queries.retain(|&other| other != query);
    }

    /// Holds a key until this time: an attempt of unknown outcome may still run.
    pub(crate) fn hold_key(&mut self, key: u64, until: Micros) {
        self.queues.entry(key).or_default().rests_until = until;
    }

    /// The query whose turn it is, unless the key rests. Forgets a key that no query waits for.
    pub(crate) fn first(&mut self, now: Micros, key: u64) -> Option<QueryId> {
        let queue = self.queues.get(&key).filter(|q| now >= q.rests_until)?;
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
