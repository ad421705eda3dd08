//! Idempotency keys (the wire's tokens), by which engines drop repeats, and when each may have run first.
//!
//! Engines know a repeat for a while only, counted from the first attempt that may have run. A client's own retry is a
//! request of its own here, under the same key: what the earlier one left running counts against it. So each key is
//! kept with the moment of its first writing, until none of its client's tries can still come.

use crate::AttemptKey;
use driftfront_scheduler::interface::{Idempotency, Micros, Settings};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

struct First {
    /// When its first byte was written.
    at: Micros,
    /// By which attempt: if that proves never to have run, the key is fresh again.
    by: AttemptKey,
    /// No try of it comes later than this.
    keep: Micros,
}

/// Idempotency keys of queries that may have run.
pub(crate) struct IdempotencyKeys {
    first: BTreeMap<Rc<str>, First>,
    /// In the order of their first writing; a key may stand here after it was dropped.
    order: VecDeque<(Micros, Rc<str>)>,
    /// For how long engines drop repeats, by class; `None` where the class is not keyed.
    windows: Vec<Option<Micros>>,
    most: usize,
}

impl IdempotencyKeys {
    pub fn new(settings: &Settings, most: usize) -> IdempotencyKeys {
        let window = |c: &driftfront_scheduler::interface::QueryClass| {
            (c.idempotency == Idempotency::WithKey).then_some(c.deduplication_window)
        };
        IdempotencyKeys {
            first: BTreeMap::new(),
            order: VecDeque::new(),
            windows: settings.classes.iter().map(window).collect(),
            most,
        }
    }

    fn window(&self, class: u16) -> Option<Micros> {
        self.windows.get(usize::from(class)).copied().flatten()
    }

    /// Whether what runs under a key of this class can be told from its repeats.
    pub fn is_keyed(&self, class: u16) -> bool {
        self.window(class).is_some()
    }

    /// Until when a query of this class may go under this key; `None`: for as long as it likes, as it never ran.
    pub fn good_until(&self, class: u16, token: Option<&Rc<str>>) -> Option<Micros> {
        let window = self.window(class)?;
        Some(self.first.get(token?)?.at.saturating_add(window))
    }

    /// A request under this key was taken that may be tried until then.
    pub fn taken(&mut self, class: u16, token: Option<&Rc<str>>, deadline: Micros) {
        let Some(window) = self.window(class) else {
            return;
        };
        if let Some(first) = token.and_then(|t| self.first.get_mut(t)) {
            first.keep = first.keep.max(deadline.saturating_add(window));
        }
    }

    /// Whether a query of this class under a key not known yet finds no room for it. It is not run then: a key that is
    /// dropped early would let its client's late retry run again.
    pub fn is_full(&mut self, now: Micros, class: u16, token: Option<&Rc<str>>) -> bool {
        let unknown = self.is_keyed(class) && token.is_some_and(|t| !self.first.contains_key(t));
        if !unknown || self.first.len() < self.most {
            return false;
        }
        self.forget(now);
        if self.first.len() >= self.most {
            // Behind one that is kept for long others may be over.
            self.first.retain(|_, f| f.keep > now);
            self.order
                .retain(|(at, token)| self.first.get(token).is_some_and(|f| f.at == *at));
        }
        self.first.len() >= self.most
    }

    /// An attempt under this key goes out: from here on it may run. Those admitted before the room was used up find their
    /// place all the same: they are bounded by the requests that may be open.
    pub fn written(
        &mut self,
        now: Micros,
        class: u16,
        token: &Rc<str>,
        by: AttemptKey,
        deadline: Micros,
    ) {
        let Some(window) = self.window(class) else {
            return;
        };
        if self.first.contains_key(token) {
            return;
        }
        self.forget(now);
        let first = First {
            at: now,
            by,
            keep: deadline.saturating_add(window),
        };
        self.first.insert(token.clone(), first);
        self.order.push_back((now, token.clone()));
    }

    /// An attempt proved never to have run.
    pub fn never_ran(&mut self, token: &Rc<str>, by: AttemptKey) {
        if self.first.get(token).is_some_and(|f| f.by == by) {
            self.first.remove(token);
        }
    }

    /// Keys that no try comes under any more.
    fn forget(&mut self, now: Micros) {
        while let Some((at, token)) = self.order.front() {
            let keep = self
                .first
                .get(token)
                .filter(|f| f.at == *at)
                .map(|f| f.keep);
            if keep.is_some_and(|keep| keep > now) {
                return;
            }
            if keep.is_some() {
                self.first.remove(token);
            }
            self.order.pop_front();
        }
    }
}
