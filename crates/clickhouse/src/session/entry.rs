//! The state of one session.

use super::{Micros, QueryOutcome, SessionAffinity, SessionEffect, SessionQuery};

/// Eviction priority: sessions of the first class are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    /// Used once, or lost.
    Probationary,
    /// Used more than once.
    Established,
    /// Stateful, or running a query.
    NotEvictable,
}

/// Number of uses from which a session is established.
const ESTABLISHED_USES: u32 = 2;

/// One session.
pub(super) struct Session<E> {
    engine: Option<E>,
    is_stateful: bool,
    /// The engine that held the session's state was removed.
    is_lost: bool,
    /// The effect of the running query.
    running: Option<SessionEffect>,
    uses: u32,
    last_used: Micros,
    expires: Micros,
    timeout: Micros,
}

impl<E: Copy + PartialEq> Session<E> {
    /// Creates a session that is bound to no engine yet.
    pub(super) fn new(now: Micros, timeout: Micros) -> Session<E> {
        Session {
            engine: None,
            is_stateful: false,
            is_lost: false,
            running: None,
            uses: 0,
            last_used: now,
            expires: now + timeout,
            timeout,
        }
    }

    pub(super) fn eviction_class(&self) -> EvictionClass {
        if self.is_running() || self.is_stateful() {
            EvictionClass::NotEvictable
        } else if self.uses < ESTABLISHED_USES || self.is_lost {
            EvictionClass::Probationary
        } else {
            EvictionClass::Established
        }
    }

    pub(super) fn last_used(&self) -> Micros {
        self.last_used
    }

    pub(super) fn expires(&self) -> Micros {
        self.expires
    }

    pub(super) fn is_running(&self) -> bool {
        self.running.is_some()
    }

    pub(super) fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether the session's engine holds state for it.
    pub(super) fn is_stateful(&self) -> bool {
        self.is_stateful && !self.is_lost
    }

    pub(super) fn is_assigned_to(&self, engine: E) -> bool {
        self.engine == Some(engine)
    }

    pub(super) fn affinity(&self) -> Option<SessionAffinity<E>> {
        Some(SessionAffinity {
            engine: self.engine?,
            is_exclusive: self.is_stateful,
        })
    }

    /// Whether a query that ran on `engine` moves the session there.
    pub(super) fn migrates_to(&self, engine: E) -> bool {
        let is_elsewhere = self.engine.is_some_and(|current| current != engine);
        is_elsewhere && !self.is_stateful && !self.is_lost
    }

    pub(super) fn begin_query(&mut self, now: Micros, timeout: Micros, query: &SessionQuery) {
        self.running = Some(query.effect);
        self.uses = self.uses.saturating_add(1);
        self.last_used = now;
        self.timeout = timeout;
    }

    pub(super) fn end_query(&mut self, now: Micros, outcome: QueryOutcome<E>) {
        let leaves_state = self.running.take() == Some(SessionEffect::LeavesState);
        if let Some(engine) = outcome.engine().filter(|_| !self.is_lost) {
            self.engine = Some(engine);
            self.is_stateful |= leaves_state && outcome.may_have_succeeded();
        }
        self.last_used = now;
        self.expires = now + self.timeout;
    }

    /// Unbinds the session from its engine, which accepts no more queries. A query that is still running there may bind it again.
    pub(super) fn remove_engine(&mut self) {
        self.engine = None;
        self.is_lost |= self.is_stateful;
    }

    /// Postpones the expiration of a session whose query runs longer than its timeout.
    pub(super) fn postpone_expiration(&mut self, now: Micros) {
        self.expires = now + self.timeout.max(super::MICROS_PER_SECOND);
    }
}
