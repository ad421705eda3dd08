//! Actions: the output of a [`Controller`](crate::Controller).

use crate::types::{EngineId, Micros, QueryId};

/// What the controller asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the memory grant and priority of the query's next attempt.
    SetResources {
        /// The query.
        query: QueryId,
        /// Memory grant in MB; 0 leaves the choice to the engine.
        memory_mb: f64,
        /// Priority on the engine; 0 is the lowest.
        priority: u8,
    },
    /// Starts an attempt. The attempts of a query are numbered from 0.
    StartAttempt {
        /// The query.
        query: QueryId,
        /// The engine that runs the attempt.
        engine: EngineId,
        /// Time from now after which the attempt is abandoned.
        timeout: Micros,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The query.
        query: QueryId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// Final answer: rejected. The query has not run, or repeating it is harmless.
    Reject {
        /// The query.
        query: QueryId,
        /// Time after which the client may retry.
        retry_after: Micros,
    },
    /// Final answer: failed. The query may have run.
    Fail(QueryId),
    /// Requests an [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// Time from now until the timer fires.
        after: Micros,
        /// Token that the event carries.
        token: u64,
    },
    /// Probes an engine.
    Probe(EngineId),
    /// Sends a message to another coordinator.
    SendGossip {
        /// Index of the recipient.
        peer: u32,
        /// The message, at most 256 bytes.
        message: Vec<u8>,
    },
    /// Requests the engine list from discovery, and its changes from then on.
    WatchEngines,
    /// A line for the operators' log.
    Log(String),
}

/// Actions in the order in which they are to be carried out.
pub type Actions = Vec<Action>;
