//! Actions: what a [`Controller`](crate::Controller) asks for.

use crate::types::{EngineId, Micros, QueryId};

/// What a controller asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the memory grant (MB; 0 leaves it to the engine) and the priority of a query's next attempt.
    SetResources(QueryId, f64, u8),
    /// Starts an attempt on an engine, with a time-out. Attempts of a query are numbered from 0.
    StartAttempt(QueryId, EngineId, Micros),
    /// Cancels an attempt, by its number.
    CancelAttempt(QueryId, u8),
    /// Final answer: rejected; the client may retry after this time. Nothing has run, or a repeat does no harm.
    Reject(QueryId, Micros),
    /// Final answer: failed; it may have run.
    Fail(QueryId),
    /// Asks for [`Event::TimerFired`](crate::Event::TimerFired) after this time, with this token.
    SetTimer(Micros, u64),
    /// Probes an engine.
    Probe(EngineId),
    /// Sends a message to a peer, by its number.
    SendGossip(u32, Vec<u8>),
    /// Asks discovery for the list of engines, and for changes from then on.
    WatchEngines,
    /// A line for the operators' log.
    Log(String),
}

/// What is to be done, in order.
pub type Actions = Vec<Action>;
