//! The sessions by name, by eviction order and by expiration.

use super::entry::{EvictionClass, Session};
use super::{Micros, SessionName};
use std::collections::{BTreeSet, HashMap};

/// Place of a session in the eviction order: class, then last use.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    class: EvictionClass,
    last_used: Micros,
    name: SessionName,
}

/// Place of a session in the order of expiration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ExpirationKey {
    expires: Micros,
    name: SessionName,
}

/// Owns the sessions; changes go through [`SessionIndex::update`], which keeps the orders up to date.
pub(super) struct SessionIndex<E> {
    sessions: HashMap<SessionName, Session<E>>,
    eviction_order: BTreeSet<EvictionKey>,
    expiration_order: BTreeSet<ExpirationKey>,
    /// Sessions of [`EvictionClass::Probationary`].
    probationary: usize,
}

impl<E: Copy + PartialEq> SessionIndex<E> {
    pub(super) fn new() -> SessionIndex<E> {
        SessionIndex {
            sessions: HashMap::new(),
            eviction_order: BTreeSet::new(),
            expiration_order: BTreeSet::new(),
            probationary: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.sessions.len()
    }

    pub(super) fn probationary(&self) -> usize {
        self.probationary
    }

    pub(super) fn get(&self, name: SessionName) -> Option<&Session<E>> {
        self.sessions.get(&name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (SessionName, &Session<E>)> {
        self.sessions.iter().map(|(&name, session)| (name, session))
    }

    /// The session to evict next, if any may be.
    pub(super) fn next_evictable(&self) -> Option<SessionName> {
        let first = self.eviction_order.first()?;
        (first.class < EvictionClass::NotEvictable).then_some(first.name)
    }

    /// The session that expires first, if it has expired.
    pub(super) fn next_expired(&self, now: Micros) -> Option<SessionName> {
        let first = self.expiration_order.first()?;
        (first.expires <= now).then_some(first.name)
    }

    pub(super) fn insert(&mut self, name: SessionName, session: Session<E>) {
        let key = eviction_key(name, &session);
        self.probationary += usize::from(key.class == EvictionClass::Probationary);
        self.eviction_order.insert(key);
        self.expiration_order.insert(expiration_key(name, &session));
        self.sessions.insert(name, session);
    }

    pub(super) fn remove(&mut self, name: SessionName) -> Option<Session<E>> {
        let session = self.sessions.remove(&name)?;
        let key = eviction_key(name, &session);
        self.probationary -= usize::from(key.class == EvictionClass::Probationary);
        self.eviction_order.remove(&key);
        self.expiration_order
            .remove(&expiration_key(name, &session));
        Some(session)
    }

    /// Changes a session, if it is there.
    pub(super) fn update(&mut self, name: SessionName, change: impl FnOnce(&mut Session<E>)) {
        if let Some(mut session) = self.remove(name) {
            change(&mut session);
            self.insert(name, session);
        }
        debug_assert_eq!(self.eviction_order.len(), self.sessions.len());
        debug_assert_eq!(self.expiration_order.len(), self.sessions.len());
    }

    /// Whether orders and count agree with the sessions; visits every session.
    pub(super) fn is_consistent(&self) -> bool {
        let is_probationary =
            |session: &&Session<E>| session.eviction_class() == EvictionClass::Probationary;
        let probationary = self.sessions.values().filter(is_probationary).count();
        self.probationary == probationary
            && self.eviction_order.len() == self.sessions.len()
            && self.expiration_order.len() == self.sessions.len()
    }
}

fn eviction_key<E: Copy + PartialEq>(name: SessionName, session: &Session<E>) -> EvictionKey {
    EvictionKey {
        class: session.eviction_class(),
        last_used: session.last_used(),
        name,
    }
}

fn expiration_key<E: Copy + PartialEq>(name: SessionName, session: &Session<E>) -> ExpirationKey {
    ExpirationKey {
        expires: session.expires(),
        name,
    }
}
