//! An index of sessions by key, eviction order and expiration.

use super::entry::{EvictionClass, Session};
use super::{Micros, SessionKey};
use std::collections::{BTreeSet, HashMap};

/// Position of a session in the eviction order: by class, then by last use.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    class: EvictionClass,
    last_used: Micros,
    session_key: SessionKey,
}

/// Position of a session in the expiration order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ExpirationKey {
    expires: Micros,
    session_key: SessionKey,
}

/// Owns the sessions. They are modified through [`SessionIndex::update`], which maintains the orders.
pub(super) struct SessionIndex<E> {
    sessions: HashMap<SessionKey, Session<E>>,
    eviction_order: BTreeSet<EvictionKey>,
    expiration_order: BTreeSet<ExpirationKey>,
    /// Number of sessions of [`EvictionClass::Probationary`].
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

    pub(super) fn get(&self, session_key: SessionKey) -> Option<&Session<E>> {
        self.sessions.get(&session_key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (SessionKey, &Session<E>)> {
        self.sessions
            .iter()
            .map(|(&session_key, session)| (session_key, session))
    }

    /// The session to evict next, if any may be evicted.
    pub(super) fn next_evictable(&self) -> Option<SessionKey> {
        let first = self.eviction_order.first()?;
        (first.class < EvictionClass::NotEvictable).then_some(first.session_key)
    }

    /// The session with the earliest expiration, if it has expired.
    pub(super) fn next_expired(&self, now: Micros) -> Option<SessionKey> {
        let first = self.expiration_order.first()?;
        (first.expires <= now).then_some(first.session_key)
    }

    pub(super) fn insert(&mut self, session_key: SessionKey, session: Session<E>) {
        let key = eviction_key(session_key, &session);
        self.probationary += usize::from(key.class == EvictionClass::Probationary);
        self.eviction_order.insert(key);
        self.expiration_order
            .insert(expiration_key(session_key, &session));
        self.sessions.insert(session_key, session);
    }

    pub(super) fn remove(&mut self, session_key: SessionKey) -> Option<Session<E>> {
        let session = self.sessions.remove(&session_key)?;
        let key = eviction_key(session_key, &session);
        self.probationary -= usize::from(key.class == EvictionClass::Probationary);
        self.eviction_order.remove(&key);
        self.expiration_order
            .remove(&expiration_key(session_key, &session));
        Some(session)
    }

    /// Modifies a session, if it exists.
    pub(super) fn update(&mut self, session_key: SessionKey, change: impl FnOnce(&mut Session<E>)) {
        if let Some(mut session) = self.remove(session_key) {
            change(&mut session);
            self.insert(session_key, session);
        }
        debug_assert_eq!(self.eviction_order.len(), self.sessions.len());
        debug_assert_eq!(self.expiration_order.len(), self.sessions.len());
    }

    /// Whether the orders and the count match the sessions; visits every session.
    pub(super) fn is_consistent(&self) -> bool {
        let is_probationary =
            |session: &&Session<E>| session.eviction_class() == EvictionClass::Probationary;
        let probationary = self.sessions.values().filter(is_probationary).count();
        self.probationary == probationary
            && self.eviction_order.len() == self.sessions.len()
            && self.expiration_order.len() == self.sessions.len()
    }
}

fn eviction_key<E: Copy + PartialEq>(session_key: SessionKey, session: &Session<E>) -> EvictionKey {
    EvictionKey {
        class: session.eviction_class(),
        last_used: session.last_used(),
        session_key,
    }
}

fn expiration_key<E: Copy + PartialEq>(
    session_key: SessionKey,
    session: &Session<E>,
) -> ExpirationKey {
    ExpirationKey {
        expires: session.expires(),
        session_key,
    }
}
