//! The session table of a coordinator.

use super::entry::{EvictionClass, Session};
use super::index::SessionIndex;
use super::{
    Micros, QueryOutcome, SessionAffinity, SessionCounters, SessionCounts, SessionError,
    SessionKey, SessionQuery, DEFAULT_SESSION_TIMEOUT, MAX_PROBATIONARY_SESSIONS, MAX_SESSIONS,
    MAX_SESSION_TIMEOUT,
};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// Separates user and id in the hash input; the byte does not occur in UTF-8 text.
const NAME_SEPARATOR: u8 = 0xff;

/// All sessions of a coordinator. `E` identifies an engine.
pub struct SessionTable<E> {
    sessions: SessionIndex<E>,
    max_sessions: usize,
    max_probationary: usize,
    hasher: SipHasher13,
    counters: SessionCounters,
}

impl<E: Copy + PartialEq> SessionTable<E> {
    /// Creates an empty table. The seed keys the hash of session ids, so that clients can't choose colliding ids.
    pub fn new(seed: u64) -> SessionTable<E> {
        SessionTable::with_limits(seed, MAX_SESSIONS, MAX_PROBATIONARY_SESSIONS)
    }

    /// Creates an empty table with the given limits on all sessions and on probationary ones.
    pub fn with_limits(seed: u64, max_sessions: usize, max_probationary: usize) -> SessionTable<E> {
        SessionTable {
            sessions: SessionIndex::new(),
            max_sessions,
            max_probationary,
            hasher: SipHasher13::new_with_keys(seed, !seed),
            counters: SessionCounters::default(),
        }
    }

    /// The key of a user's session. The same id of another user is a different session.
    pub fn key(&self, user: &str, id: &str) -> SessionKey {
        let mut hasher = self.hasher;
        hasher.write(user.as_bytes());
        hasher.write_u8(NAME_SEPARATOR);
        hasher.write(id.as_bytes());
        SessionKey(hasher.finish128().as_u128())
    }

    /// Starts a query of a session and locks the session until [`SessionTable::end_query`]. Returns the session's
    /// affinity, if it is bound to an engine already.
    ///
    /// # Errors
    ///
    /// If the query can't run in this session.
    pub fn begin_query(
        &mut self,
        now: Micros,
        query: &SessionQuery,
    ) -> Result<Option<SessionAffinity<E>>, SessionError> {
        self.expire(now);
        let timeout = query
            .timeout
            .unwrap_or(DEFAULT_SESSION_TIMEOUT)
            .min(MAX_SESSION_TIMEOUT);
        match self.sessions.get(query.session) {
            Some(session) if session.is_running() => return Err(SessionError::Locked),
            Some(session) if session.is_lost() => {
                self.sessions.remove(query.session);
                return Err(SessionError::Lost);
            }
            Some(_) => {}
            None if query.must_exist => return Err(SessionError::NotFound),
            None => {
                self.evict_if_full()?;
                self.counters.begun += 1;
                self.sessions
                    .insert(query.session, Session::new(now, timeout));
            }
        }
        self.sessions
            .update(query.session, |s| s.begin_query(now, timeout, query));
        Ok(self.sessions.get(query.session).and_then(Session::affinity))
    }

    /// Ends a session's query, once none of its attempts is running.
    pub fn end_query(&mut self, now: Micros, session_key: SessionKey, outcome: QueryOutcome<E>) {
        let Some(session) = self.sessions.get(session_key) else {
            return;
        };
        match outcome.engine() {
            // The session's first query reached no engine, so no engine has the session.
            None if session.affinity().is_none() => {
                self.sessions.remove(session_key);
                return;
            }
            Some(engine) if session.migrates_to(engine) => self.counters.migrated += 1,
            _ => {}
        }
        self.sessions
            .update(session_key, |s| s.end_query(now, outcome));
    }

    /// Removes an engine that drains or has failed. Stateless sessions may migrate; stateful ones are lost.
    pub fn remove_engine(&mut self, engine: E) {
        let session_keys: Vec<SessionKey> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_assigned_to(engine))
            .map(|(session_key, _)| session_key)
            .collect();
        for session_key in session_keys {
            let is_stateful = self
                .sessions
                .get(session_key)
                .is_some_and(Session::is_stateful);
            self.counters.lost += u64::from(is_stateful);
            self.sessions.update(session_key, Session::remove_engine);
        }
    }

    /// Removes sessions whose timeout has passed, except those that run a query.
    pub fn expire(&mut self, now: Micros) {
        while let Some(session_key) = self.sessions.next_expired(now) {
            if self
                .sessions
                .get(session_key)
                .is_some_and(Session::is_running)
            {
                self.sessions
                    .update(session_key, |s| s.postpone_expiration(now));
            } else {
                self.counters.expired += 1;
                self.sessions.remove(session_key);
            }
        }
    }

    /// Current number of sessions; visits every session.
    pub fn counts(&self) -> SessionCounts {
        let count = |is_counted: &dyn Fn(&Session<E>) -> bool| {
            let all = self.sessions.iter();
            all.filter(|(_, session)| is_counted(session)).count()
        };
        SessionCounts {
            total: self.sessions.len(),
            stateful: count(&|session| session.is_stateful()),
            not_evictable: count(&|s| s.eviction_class() == EvictionClass::NotEvictable),
        }
    }

    /// The current counters.
    pub fn counters(&self) -> SessionCounters {
        self.counters
    }

    /// Whether the table's indexes match its sessions. For tests; visits every session.
    pub fn is_consistent(&self) -> bool {
        self.sessions.is_consistent()
    }

    /// Evicts a session if a limit is reached.
    fn evict_if_full(&mut self) -> Result<(), SessionError> {
        let has_room = self.sessions.len() < self.max_sessions;
        if has_room && self.sessions.probationary() < self.max_probationary {
            return Ok(());
        }
        match self.sessions.next_evictable() {
            Some(session_key) => {
                self.counters.evicted += 1;
                self.sessions.remove(session_key);
                Ok(())
            }
            None if has_room => Ok(()),
            None => {
                self.counters.rejected += 1;
                Err(SessionError::TooManySessions)
            }
        }
    }
}
