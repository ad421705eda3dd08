//! Idempotency keys, by which engines drop repeats, and when a query under each may have run first.
//!
//! Engines know a repeat for a while only, counted from the first attempt that may have run. A client's own retry is a
//! request of its own here, under the same key: what the earlier one left running counts against it. So each key is
//! retained with the moment of its first write, until none of its client's retries can still come.

use crate::request::AttemptKey;
use driftfront_scheduler::{Idempotency, Micros, QueryClass, Settings};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The first write under a key.
struct FirstWrite {
    /// When its first byte was written.
    at: Micros,
    /// By which attempt: if that proves never to have run, the key is new again.
    by: AttemptKey,
    /// No retry under the key comes later than this.
    retain_until: Micros,
}

/// Idempotency keys of queries that may have run, up to a bound.
pub(crate) struct IdempotencyKeys {
    first_writes: BTreeMap<Rc<str>, FirstWrite>,
    /// In the order of their first write; a key may stand here after it was dropped.
    by_time: VecDeque<(Micros, Rc<str>)>,
    /// For how long engines drop repeats, by class; `None` where they don't.
    windows: Vec<Option<Micros>>,
    max_keys: usize,
}

impl IdempotencyKeys {
    /// None yet.
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

    /// Whether engines know repeats of this class's queries by their key.
    pub(crate) fn is_keyed(&self, class: u16) -> bool {
        self.window(class).is_some()
    }

    /// Until when engines know a query of this class under this key; `None`: it never ran, and may go at any time.
    pub(crate) fn known_until(&self, class: u16, key: Option<&Rc<str>>) -> Option<Micros> {
        let window = self.window(class)?;
        Some(self.first_writes.get(key?)?.at.saturating_add(window))
    }

    /// Records a request under this key that may be tried until its deadline.
    pub(crate) fn record_request(&mut self, class: u16, key: Option<&Rc<str>>, deadline: Micros) {
        let Some(window) = self.window(class) else {
            return;
        };
        if let Some(first) = key.and_then(|k| self.first_writes.get_mut(k)) {
            let retain_until = deadline.saturating_add(window);
            first.retain_until = first.retain_until.max(retain_until);
        }
    }

    /// Whether a query of this class under a key that is not known yet finds no room for it. It is not run then: a key that is
    /// dropped early would let its client's late retry run again.
    pub(crate) fn is_full(&mut self, now: Micros, class: u16, key: Option<&Rc<str>>) -> bool {
        let is_unknown = |key: &Rc<str>| !self.first_writes.contains_key(key);
        let needs_room = self.is_keyed(class) && key.is_some_and(is_unknown);
        if !needs_room || self.first_writes.len() < self.max_keys {
            return false;
        }
        self.forget_oldest(now);
        if self.first_writes.len() >= self.max_keys {
            self.forget_all_over(now);
        }
        self.first_writes.len() >= self.max_keys
    }

    /// Records that an attempt under this key goes out: from here on it may run. Those admitted before the room was used up find
    /// their place all the same: they are bounded by the requests that may be open.
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

    /// Forgets a key whose first write was by an attempt that proved never to have run.
    pub(crate) fn forget_write(&mut self, key: &Rc<str>, by: AttemptKey) {
        if self.first_writes.get(key).is_some_and(|f| f.by == by) {
            self.first_writes.remove(key);
        }
    }

    /// Forgets the oldest keys, as far as no retry can come under them.
    fn forget_oldest(&mut self, now: Micros) {
        while let Some((at, key)) = self.by_time.front() {
            // A key that was dropped, or written anew since, is retained by its later entry.
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

    /// Forgets all keys that no retry can come under: behind one that is retained for long others may be over.
    fn forget_all_over(&mut self, now: Micros) {
        let first_writes = &mut self.first_writes;
        first_writes.retain(|_, first| first.retain_until > now);
        self.by_time
            .retain(|(at, key)| first_writes.get(key).is_some_and(|f| f.at == *at));
    }
}
