//! Sessions of ClickHouse's HTTP interface (`session_id`): which engine each lives on, whether it may migrate, and
//! which are evicted.
//!
//! A session is state on one engine. While its statements only read it is *stateless*: its next query prefers the
//! same engine, but may run elsewhere when that engine drains or fails. A statement that leaves something behind (a
//! temporary table, SET, USE, a transaction) makes it *stateful*: it lives and ends with its engine.
//!
//! Clients choose session ids freely, so a flood of new ids must not evict the sessions in use. Eviction is that of a
//! segmented LRU cache: a session that was used once is probationary and goes first, one that was used again is
//! established, one that is stateful or runs a query is never evicted.
//!
//! | module | job |
//! | --- | --- |
//! | `table` | [`SessionTable`]: the rules for all sessions of a coordinator |
//! | `entry` | the state of one session |
//! | `index` | the sessions by name, by eviction order and by expiration |
//!
//! There are no sockets and no clock here; engines are named by a type of the caller's.

mod entry;
mod index;
mod table;

pub use table::SessionTable;

use crate::exception::codes::{SESSION_IS_LOCKED, SESSION_NOT_FOUND, TOO_MANY_QUERIES};
use crate::exception::Exception;

/// Time in microseconds.
pub type Micros = u64;

pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;

/// Bound on all sessions; each takes some 200 bytes.
pub const MAX_SESSIONS: usize = 8192;
/// Bound on probationary sessions.
pub const MAX_PROBATIONARY_SESSIONS: usize = 2048;
/// Largest `session_timeout`, in microseconds; the server's own default bound.
pub const MAX_SESSION_TIMEOUT: Micros = 3600 * MICROS_PER_SECOND;
/// Timeout of a session without `session_timeout`, in microseconds; the server's own default.
pub const DEFAULT_SESSION_TIMEOUT: Micros = 60 * MICROS_PER_SECOND;

/// Identifies a session: a keyed hash of its user and id, so that memory is bounded however long the ids are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(u128);

/// What a statement leaves in its session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionEffect {
    /// Nothing.
    #[default]
    None,
    /// Something that later statements depend on: a temporary table, a setting, a database, a transaction.
    LeavesState,
}

/// A query that is about to run in a session.
#[derive(Clone, Copy, Debug)]
pub struct SessionQuery {
    /// The session, see [`SessionTable::key`].
    pub session: SessionKey,
    /// The session must exist already (`session_check`).
    pub must_exist: bool,
    /// How long the session lives after its last query (`session_timeout`).
    pub timeout: Option<Micros>,
    /// What the statement leaves in the session.
    pub effect: SessionEffect,
}

/// The engine that a session lives on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionAffinity<E> {
    /// The engine.
    pub engine: E,
    /// The session is stateful: its queries can run on no other engine.
    pub is_exclusive: bool,
}

/// How a query of a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome<E> {
    /// It ran on no engine.
    NeverRan,
    /// It ran to its end.
    Ran {
        /// The engine.
        engine: E,
        /// It ended without an exception.
        succeeded: bool,
    },
    /// It may have run, and may still be running.
    Unknown {
        /// The engine.
        engine: E,
    },
}

impl<E: Copy> QueryOutcome<E> {
    /// The engine on which the query ran or may have run.
    fn engine(&self) -> Option<E> {
        match *self {
            QueryOutcome::NeverRan => None,
            QueryOutcome::Ran { engine, .. } | QueryOutcome::Unknown { engine } => Some(engine),
        }
    }

    /// Whether the statement may have taken effect.
    fn may_have_succeeded(&self) -> bool {
        match self {
            QueryOutcome::NeverRan => false,
            QueryOutcome::Ran { succeeded, .. } => *succeeded,
            QueryOutcome::Unknown { .. } => true,
        }
    }
}

/// Why a query can't run in its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// `session_check` was given, and there is no such session.
    #[error("Session not found")]
    NotFound,
    /// The session was stateful, and its engine left. Reported once: the next query begins a new session.
    #[error(
        "Session not found: the engine that held it has left, with what was set or created in it. Begin a new \
         session and create that anew"
    )]
    Lost,
    /// Another query of the session runs.
    #[error("Session is locked by a concurrent client: one query at a time")]
    Locked,
    /// The table is full, and no session may be evicted.
    #[error("Too many sessions hold something or run a query: try again later")]
    TooManySessions,
}

impl SessionError {
    /// ClickHouse's error code.
    pub fn code(self) -> u32 {
        match self {
            SessionError::NotFound | SessionError::Lost => SESSION_NOT_FOUND,
            SessionError::Locked => SESSION_IS_LOCKED,
            SessionError::TooManySessions => TOO_MANY_QUERIES,
        }
    }
}

impl From<SessionError> for Exception {
    fn from(error: SessionError) -> Exception {
        Exception::new(error.code(), &error.to_string())
    }
}

/// Counters since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounters {
    /// Sessions begun.
    pub begun: u64,
    /// Sessions ended by their timeout.
    pub expired: u64,
    /// Sessions evicted for new ones: the bounds were reached.
    pub evicted: u64,
    /// Queries rejected since no session could be evicted.
    pub rejected: u64,
    /// Stateful sessions whose engine left.
    pub lost: u64,
    /// Times that a stateless session moved to another engine.
    pub migrated: u64,
}

/// How many sessions are held now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSessions {
    /// All of them.
    pub total: usize,
    /// Stateful ones whose engine is there.
    pub stateful: usize,
    /// Those that may not be evicted: stateful, or running a query.
    pub not_evictable: usize,
}
