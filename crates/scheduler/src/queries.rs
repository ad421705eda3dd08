//! Queries that have not concluded, and their attempts.
//!
//! Bound: a query is removed once it has its final answer and no attempt is in flight.

use crate::actions::Action;
use crate::events::Outcome;
use crate::types::{EngineId, Micros, Query};
use std::collections::BTreeSet;

/// Number of an attempt, which is its index among its query's attempts. The limit on attempts
/// ensures that it fits.
pub(crate) fn attempt_number(index: usize) -> u8 {
    u8::try_from(index).unwrap_or(u8::MAX)
}

/// Smallest fraction of work done from which a run time is projected.
const MIN_PROGRESS: f64 = 0.005;

/// State of a query.
///
/// ```text
/// WaitingForKey ─► AwaitingProbes ─► Unplaced ◄─► Queued ─► InFlight ─► Answered
/// ```
///
/// Every state can change to `Answered`, and `InFlight` to `Unplaced` or `Queued` when an attempt
/// did not serve the query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QueryState {
    /// Waits for an earlier query with the same ordering key.
    WaitingForKey,
    /// Waits for answers to probes of its candidate engines.
    AwaitingProbes,
    /// In no engine's queue, since no engine is eligible.
    Unplaced,
    /// In an engine's queue.
    Queued(EngineId),
    /// At least one attempt is in flight.
    InFlight,
    /// It has its final answer.
    Answered,
}

/// An execution of a query on one engine.
pub(crate) struct Attempt {
    /// The engine, with its zone and cell when the attempt was sent.
    pub engine: EngineId,
    pub zone: u16,
    pub cell: u16,
    pub sent_at: Micros,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// Total run time projected from the last progress report, µs.
    pub projected_run: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: f64,
    /// Run time expected when the attempt was sent, µs.
    pub expected_run: f64,
    /// The host was asked to cancel it.
    pub is_cancelled: bool,
    /// It waits for a load of its table group.
    pub is_blocked: bool,
}

impl Attempt {
    /// An attempt that is sent now. [`record_start`](crate::attempts::record_start) sets its zone
    /// and cell.
    pub(crate) fn new(engine: EngineId, now: Micros, memory_mb: f64, expected_run: f64) -> Attempt {
        Attempt {
            engine,
            zone: 0,
            cell: 0,
            sent_at: now,
            outcome: None,
            projected_run: None,
            memory_mb,
            expected_run,
            is_cancelled: false,
            is_blocked: false,
        }
    }

    /// Whether its outcome proves that it never ran.
    pub(crate) fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }

    /// Records the fraction of its work that is done.
    pub(crate) fn record_progress(&mut self, now: Micros, done: f64) {
        self.is_blocked = false;
        self.projected_run = Some(self.age(now) / done.clamp(MIN_PROGRESS, 1.0));
    }

    /// Time since it was sent, µs.
    pub(crate) fn age(&self, now: Micros) -> f64 {
        now.saturating_sub(self.sent_at) as f64
    }

    /// Whether its run time is evidence about its engine: it was not cancelled and does not wait
    /// for a load.
    pub(crate) fn is_running(&self) -> bool {
        !self.is_cancelled && !self.is_blocked
    }
}

/// A query with its state and attempts.
pub(crate) struct PendingQuery {
    pub query: Query,
    pub arrived_at: Micros,
    /// When the client gives up.
    pub deadline: Micros,
    pub state: QueryState,
    pub attempts: Vec<Attempt>,
    /// Its tenant's quota was exhausted when it arrived.
    pub is_over_quota: bool,
    /// The client receives an attempt's rows, so no other attempt may answer.
    pub is_streaming: bool,
    /// Attempts that were cancelled or hedged because they ran too long.
    pub overruns: u32,
    /// Engines whose attempts did not serve the query.
    pub avoided: BTreeSet<EngineId>,
    /// Engines that were probed for this query.
    pub probed: Vec<EngineId>,
    /// Probed engines whose answer is still awaited.
    pub awaited_probes: Vec<EngineId>,
}

impl PendingQuery {
    /// A query that arrives now.
    pub(crate) fn new(query: Query, now: Micros, is_over_quota: bool) -> PendingQuery {
        PendingQuery {
            query,
            arrived_at: now,
            deadline: now.saturating_add(query.client_timeout),
            state: QueryState::Unplaced,
            attempts: Vec::new(),
            is_over_quota,
            is_streaming: false,
            overruns: 0,
            avoided: BTreeSet::new(),
            probed: Vec::new(),
            awaited_probes: Vec::new(),
        }
    }

    /// Attempts in flight, with their numbers.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(|(_, a)| a.outcome.is_none())
    }

    /// Whether an attempt is in flight.
    pub(crate) fn has_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Whether the attempts in flight may be replaced: none of them streams to the client.
    pub(crate) fn may_be_interrupted(&self) -> bool {
        self.state == QueryState::InFlight && !self.is_streaming
    }

    /// Engines that answered the query with an error.
    pub(crate) fn engines_with_errors(&self) -> impl Iterator<Item = EngineId> + '_ {
        let has_error = |a: &&Attempt| a.outcome == Some(Outcome::Error);
        self.attempts.iter().filter(has_error).map(|a| a.engine)
    }

    /// Marks all attempts in flight as cancelled, except `keep`, and returns the actions that
    /// cancel them.
    pub(crate) fn cancel_in_flight(&mut self, keep: Option<u8>) -> Vec<Action> {
        let mut cancels = Vec::new();
        for (n, attempt) in self.attempts.iter_mut().enumerate() {
            let is_kept = keep.map(usize::from) == Some(n);
            if attempt.outcome.is_none() && !attempt.is_cancelled && !is_kept {
                attempt.is_cancelled = true;
                cancels.push(Action::CancelAttempt {
                    query: self.query.id,
                    attempt: attempt_number(n),
                });
            }
        }
        cancels
    }
}
