//! Actions: what a [`Controller`](crate::Controller) asks for.

use crate::types::{EngineId, Micros, QueryId};

/// What a controller asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the resources of a query's next attempt.
    SetResources {
        /// The query.
        query: QueryId,
        /// Memory grant, MB; 0 leaves it to the engine.
        memory_mb: f64,
        /// Priority on the engine; 0 is the lowest.
        priority: u8,
    },
    /// Starts an attempt. Attempts of a query are numbered from 0.
    StartAttempt {
        /// The query.
        query: QueryId,
        /// The engine that it goes to.
        engine: EngineId,
        /// Time until it is given up, from now.
        timeout: Micros,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The query.
        query: QueryId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// Final answer: rejected. Nothing has run, or a repeat does no harm.
    Reject {
        /// The query.
        query: QueryId,
        /// The client may retry after this time.
        retry_after: Micros,
    },
    /// Final answer: failed; it may have run.
    Fail(QueryId),
    /// Asks for [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// Time until then, from now.
        after: Micros,
        /// The token that comes back with the event.
        token: u64,
    },
    /// Probes an engine.
    Probe(EngineId),
    /// Sends a message to another coordinator.
    SendGossip {
        /// Its number.
        peer: u32,
        /// The message, 256 bytes at most.
        message: Vec<u8>,
    },
    /// Asks discovery for the list of engines, and for changes from then on.
    WatchEngines,
    /// A line for the operators' log.
    Log(String),
}

/// What is to be done, in order.
pub type Actions = Vec<Action>;
