//! Tracks idempotency keys, which engines use to deduplicate queries, and when each key was first used.
//!
//! Engines deduplicate only within a window that starts with the first attempt that may have run. A client's own retry arrives as
//! a separate request with the same key, but attempts of the earlier request count towards the window. So each key is retained
//! with the time of its first write until none of its client's retries can arrive any more.

use crate::request::AttemptKey;
use driftfront_scheduler::{Idempotency, Micros, QueryClass, Settings};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The first attempt that was written with a key.
struct FirstWrite {
    /// When its first byte was written.
    at: Micros,
    /// The attempt. If it turns out never to have run, the key counts as unused again.
    by: AttemptKey,
    /// No retry with the key arrives after this time.
    retain_until: Micros,
}

/// A bounded set of the idempotency keys of queries that may have run.
pub(crate) struct IdempotencyKeys {
    first_writes: BTreeMap<Rc<str>, FirstWrite>,
    /// Keys in the order of their first write; may contain keys that were removed from `first_writes`.
    by_time: VecDeque<(Micros, Rc<str>)>,
    /// Deduplication window by class; `None` for classes without idempotency keys.
    windows: Vec<Option<Micros>>,
    max_keys: usize,
}

impl IdempotencyKeys {
    /// Creates an empty set that holds `max_keys` keys.
    pub(crate) fn new(settings: &Settings, max_keys: usize) -> IdempotencyKeys {
        let window = |class: &QueryClass| {
            let has_keys = class.idempotency == Idempotency::WithKey;
            has_keys.then_some(class.deduplication_window)
        };
        IdempotencyKeys {
            first_writes: BTreeMap::new(),
            by_time: VecDeque::new(),
            windows: settings.classes.iter().map(window).collect(),
            max_keys,
        }
    }

    fn window(&self, class: u16) -> Option<Micros> {
        self.windows.get(usize::from(class)).copied().flatten()
    }

    /// Whether engines deduplicate this class's queries by idempotency key.
    pub(crate) fn is_keyed(&self, class: u16) -> bool {
        self.window(class).is_some()
    }

    /// Until when engines deduplicate queries of this class with this key; `None` if no attempt with the key may have run, so that
    /// one may be sent at any time.
    pub(crate) fn deduplicated_until(&self, class: u16, key: Option<&Rc<str>>) -> Option<Micros> {
        let window = self.window(class)?;
        Some(self.first_writes.get(key?)?.at.saturating_add(window))
    }

    /// Extends a known key's retention for a request with this key that may be attempted until `deadline`.
    pub(crate) fn record_request(&mut self, class: u16, key: Option<&Rc<str>>, deadline: Micros) {
        let Some(window) = self.window(class) else {
            return;
        };
        if let Some(first) = key.and_then(|k| self.first_writes.get_mut(k)) {
            let retain_until = deadline.saturating_add(window);
            first.retain_until = first.retain_until.max(retain_until);
        }
    }

    /// Whether a query of this class has a new key for which there is no room. Such a query must not run: if a key were
    /// evicted early, a late retry by its client would run the query a second time.
    pub(crate) fn is_full(&mut self, now: Micros, class: u16, key: Option<&Rc<str>>) -> bool {
        let is_unknown = |key: &Rc<str>| !self.first_writes.contains_key(key);
        let needs_room = self.is_keyed(class) && key.is_some_and(is_unknown);
        if !needs_room || self.first_writes.len() < self.max_keys {
            return false;
        }
        self.forget_oldest(now);
        if self.first_writes.len() >= self.max_keys {
            self.forget_all_expired(now);
        }
        self.first_writes.len() >= self.max_keys
    }

    /// Records that an attempt with this key is being written and may run from now on. The key is added even if the set is full,
    /// since requests admitted before it filled up must be tracked; the limit on open requests bounds the excess.
    pub(crate) fn record_write(
        &mut self,
        now: Micros,
        class: u16,
        key: &Rc<str>,
        by: AttemptKey,
        deadline: Micros,
    ) {
        let Some(window) = self.window(class) else {
            return;
        };
        if self.first_writes.contains_key(key) {
            return;
        }
        self.forget_oldest(now);
        let first = FirstWrite {
            at: now,
            by,
            retain_until: deadline.saturating_add(window),
        };
        self.first_writes.insert(key.clone(), first);
        self.by_time.push_back((now, key.clone()));
    }

    /// Removes a key whose first write was by an attempt that turned out never to have run.
    pub(crate) fn forget_write(&mut self, key: &Rc<str>, by: AttemptKey) {
        if self.first_writes.get(key).is_some_and(|f| f.by == by) {
            self.first_writes.remove(key);
        }
    }

    /// Removes the oldest keys up to the first one whose retention has not expired.
    fn forget_oldest(&mut self, now: Micros) {
        while let Some((at, key)) = self.by_time.front() {
            // An entry whose key was removed or written again later is stale.
            let first = self.first_writes.get(key).filter(|f| f.at == *at);
            if let Some(first) = first {
                if first.retain_until > now {
                    return;
                }
                self.first_writes.remove(key);
            }
            self.by_time.pop_front();
        }
    }

    /// Removes all keys whose retention has expired, including those behind an older key with a longer retention.
    fn forget_all_expired(&mut self, now: Micros) {
        let first_writes = &mut self.first_writes;
        first_writes.retain(|_, first| first.retain_until > now);
        self.by_time
            .retain(|(at, key)| first_writes.get(key).is_some_and(|f| f.at == *at));
    }
}
