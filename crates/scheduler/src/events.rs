//! Events: the input of a [`Controller`](crate::Controller).

use crate::types::{EngineId, Micros, Query, QueryId};

/// Whether an engine accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts work.
    Ready,
    /// It finishes its current work and accepts no more.
    Draining,
    /// It was removed from the engine list.
    Gone,
}

/// One entry of the engine list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEngine {
    /// Identifier of the engine.
    pub engine: EngineId,
    /// Zone of the engine.
    pub zone: u16,
    /// Machine kind, as an index into the settings.
    pub kind: u16,
    /// Cell of the engine.
    pub cell: u16,
    /// Whether the engine accepts work.
    pub phase: Phase,
    /// When it last started, if recently, by the clock of the list's source.
    pub started_at: Option<Micros>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine served the query.
    Ok,
    /// The engine answered with an error; the attempt may have run.
    Error,
    /// The engine had no capacity; the attempt never ran.
    Rejected,
    /// No answer arrived in time; the attempt may still be running.
    TimedOut,
    /// The engine could not be reached; the attempt never ran.
    Unreachable,
    /// The connection was lost; the attempt may have run or may still be running.
    Reset,
    /// The attempt was cancelled; it may have run or may still be running.
    Cancelled,
    /// The attempt was never sent, because another event made it obsolete or a limit forbade it.
    Superseded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
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

    /// Whether the attempt may still be running on its engine.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// What an engine reports about an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// Fraction of the work that is done, 0 to 1; approximate.
    Progress(f64),
    /// The attempt spills to disk, with the missing memory in MB.
    Spills(f64),
    /// The attempt waits for memory.
    WaitsForMemory,
    /// The attempt waits for a load of its table group to finish.
    WaitsForLoad,
}

/// What an engine list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changes only.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as stored earlier; it may be out of date.
    Cached,
}

/// The end of an attempt, with the statistics that the engine sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded<'a> {
    /// The query that the attempt belongs to.
    pub query: QueryId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// The query has its final answer, from this attempt or an earlier event.
    pub query_answered: bool,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Work that the query took in µs, summed over all threads, if reported.
    pub work: Option<f64>,
    /// Memory that the query needed in MB, if reported.
    pub memory_mb: Option<f64>,
    /// Load report of the engine, with values in the order of the settings; empty if none was sent.
    pub report: &'a [f64],
}

/// Something that the coordinator observed.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The engine list, or changes to it.
    EnginesListed {
        /// What the list contains.
        kind: ListKind,
        /// Entries of the list.
        engines: &'a [ListedEngine],
    },
    /// A poll of the engine list failed.
    DiscoveryFailed,
    /// A query was accepted.
    QueryArrived(Query),
    /// The client started to receive an attempt's rows, so no other attempt may answer.
    StreamStarted {
        /// The query.
        query: QueryId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// An engine reported on an attempt in flight.
    ProgressReported {
        /// The query.
        query: QueryId,
        /// Number of the attempt.
        attempt: u8,
        /// What the engine reported.
        report: ProgressReport,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded<'a>),
    /// The client has disconnected.
    ClientLeft(QueryId),
    /// A requested timer fired; carries its token.
    TimerFired(u64),
    /// A probe ended.
    ProbeEnded {
        /// The engine.
        engine: EngineId,
        /// How the probe ended.
        outcome: Outcome,
        /// Load report of the engine, with values in the order of the settings; empty if none was
        /// sent.
        report: &'a [f64],
    },
    /// A message from another coordinator arrived.
    GossipReceived {
        /// Index of the sender.
        from: u32,
        /// The message as received.
        message: &'a [u8],
    },
}
