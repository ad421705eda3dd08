//! Sessions of ClickHouse's HTTP interface (`session_id`): the engine that each is bound to, migration, and eviction.
//!
//! A session is bound to one engine. As long as its statements only read, it is *stateless*: its next query prefers the
//! same engine, but may run on another one if that engine drains or fails. A statement that creates session state (a
//! temporary table, SET, USE, a transaction) makes it *stateful*: it can't migrate and is lost with its engine.
//!
//! Clients choose session ids freely, so a flood of new ids must not evict the sessions in use. Eviction follows a
//! segmented LRU: a session that was used once is probationary and evicted first, one that was used again is
//! established, and one that is stateful or runs a query is never evicted.
//!
//! | module | purpose |
//! | --- | --- |
//! | `table` | [`SessionTable`]: the rules for all sessions of a coordinator |
//! | `entry` | the state of one session |
//! | `index` | the sessions by key, eviction order and expiration |
//!
//! The module does no I/O and reads no clock; the caller chooses the type that identifies engines.

mod entry;
mod index;
mod table;

pub use table::SessionTable;

use crate::exception::codes::{SESSION_IS_LOCKED, SESSION_NOT_FOUND, TOO_MANY_QUERIES};
use crate::exception::Exception;

/// Time in microseconds.
pub type Micros = u64;

pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;

/// Maximum number of sessions; each takes about 200 bytes.
pub const MAX_SESSIONS: usize = 8192;
/// Maximum number of probationary sessions.
pub const MAX_PROBATIONARY_SESSIONS: usize = 2048;
/// Maximum `session_timeout`, in microseconds; the same as ClickHouse's default.
pub const MAX_SESSION_TIMEOUT: Micros = 3600 * MICROS_PER_SECOND;
/// Timeout of a session without `session_timeout`, in microseconds; the same as ClickHouse's default.
pub const DEFAULT_SESSION_TIMEOUT: Micros = 60 * MICROS_PER_SECOND;

/// Identifies a session: a keyed hash of user and session id, so that memory use doesn't depend on the length of ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(u128);

/// The effect of a statement on its session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionEffect {
    /// No effect.
    #[default]
    None,
    /// State that later statements depend on: a temporary table, a setting, a database, a transaction.
    LeavesState,
}

/// A query to run in a session.
#[derive(Clone, Copy, Debug)]
pub struct SessionQuery {
    /// The session, see [`SessionTable::key`].
    pub session: SessionKey,
    /// The session must exist already (`session_check`).
    pub must_exist: bool,
    /// How long the session lives after its last query (`session_timeout`).
    pub timeout: Option<Micros>,
    /// The effect of the statement on the session.
    pub effect: SessionEffect,
}

/// The engine that a session is bound to.
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
    /// The query ran on no engine.
    NeverRan,
    /// The query ran to completion.
    Ran {
        /// The engine.
        engine: E,
        /// It completed without an exception.
        succeeded: bool,
    },
    /// The query may have run, and may still be running.
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
    /// `session_check` was set, and the session does not exist.
    #[error("Session not found")]
    NotFound,
    /// The session was stateful, and its engine was removed. Reported once; the next query starts a new session.
    #[error(
        "Session not found: the engine that held it has left, with what was set or created in it. Begin a new \
         session and create that anew"
    )]
    Lost,
    /// Another query of the session is running.
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
    /// Sessions created.
    pub begun: u64,
    /// Sessions that timed out.
    pub expired: u64,
    /// Sessions evicted because a limit was reached.
    pub evicted: u64,
    /// Queries rejected because no session could be evicted.
    pub rejected: u64,
    /// Stateful sessions whose engine was removed.
    pub lost: u64,
    /// Migrations of stateless sessions to another engine.
    pub migrated: u64,
}

/// Current number of sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionCounts {
    /// All sessions.
    pub total: usize,
    /// Stateful sessions whose engine is still available.
    pub stateful: usize,
    /// Sessions that can't be evicted: stateful, or running a query.
    pub not_evictable: usize,
}
