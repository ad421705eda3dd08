//! Events: what a [`Controller`](crate::Controller) is told.

use crate::types::{EngineId, Micros, Query, QueryId};

/// Whether an engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Ready,
    /// It finishes what it has, and takes nothing new.
    Draining,
    /// It was removed from the list.
    Gone,
}

/// An entry of the list of engines.
#[derive(Clone, Copy, Debug)]
pub struct ListedEngine {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u16,
    /// Its machine kind, by index in the settings.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its phase.
    pub phase: Phase,
    /// When it last started, if that was lately; by the clock of whoever tells it.
    pub started_at: Option<Micros>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It served the query.
    Ok,
    /// The engine answered with an error; it may have run.
    Error,
    /// The engine had no capacity for it; it never ran.
    Rejected,
    /// No answer came in time; it may still run.
    TimedOut,
    /// The engine could not be reached; it never ran.
    Unreachable,
    /// The connection was lost; it may have run, or may still.
    Reset,
    /// It was cancelled; it may have run, or may still.
    Cancelled,
    /// It was never sent: something else had come first.
    Superseded,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Unreachable | Outcome::Superseded
        )
    }

    /// Whether the engine itself answered.
    pub(crate) fn is_answer(self) -> bool {
        matches!(self, Outcome::Ok | Outcome::Error | Outcome::Rejected)
    }

    /// Whether the attempt may still run on its engine.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// What an engine says of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// Share of its work that is done, 0 to 1; rough.
    Progress(f64),
    /// It spills to disk: MB of memory missing.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load of its table group to end.
    WaitsForLoad,
}

/// What a list of engines holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changes only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as it was stored earlier; it may be out of date.
    Cached,
}

/// The end of an attempt, and what the engine said with it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded<'a> {
    /// The query.
    pub query: QueryId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// The query has its final answer, by this or before.
    pub query_answered: bool,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Work that the query took in µs over all threads, if the engine says.
    pub work: Option<f64>,
    /// Memory that it needed in MB, if the engine says.
    pub memory_mb: Option<f64>,
    /// The engine's load report, values in the order of the settings; empty if none came.
    pub report: &'a [f64],
}

/// What a coordinator sees.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A list of engines, or changes to it.
    EnginesListed {
        /// What the list holds.
        kind: ListKind,
        /// Its entries.
        engines: &'a [ListedEngine],
    },
    /// A poll for the list of engines failed.
    DiscoveryFailed,
    /// A query was accepted.
    QueryArrived(Query),
    /// The client gets an attempt's rows: no other attempt may answer.
    StreamStarted {
        /// The query.
        query: QueryId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// An engine reports on an attempt in flight.
    ProgressReported {
        /// The query.
        query: QueryId,
        /// Number of the attempt.
        attempt: u8,
        /// What it says.
        report: ProgressReport,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded<'a>),
    /// The client has left.
    ClientLeft(QueryId),
    /// A timer that was asked for has fired; its token.
    TimerFired(u64),
    /// A probe has ended.
    ProbeEnded {
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// The engine's load report, values in the order of the settings; empty if none came.
        report: &'a [f64],
    },
    /// A message came from another coordinator.
    GossipReceived {
        /// The sender's number.
        from: u32,
        /// The message, as it came.
        message: &'a [u8],
    },
}
