//! Queries that are not over yet, and their attempts.
//!
//! Bound: a query is removed once it has its final answer and none of its attempts is in flight.

use crate::actions::Action;
use crate::events::Outcome;
use crate::types::{EngineId, Micros, Query};
use std::collections::BTreeSet;

/// An attempt's number, which is its index among its query's attempts. There are never as many as don't fit.
pub(crate) fn attempt_number(index: usize) -> u8 {
    u8::try_from(index).unwrap_or(u8::MAX)
}

/// The least share of work done that a run time is projected from.
const MIN_PROGRESS: f64 = 0.005;

/// Where a query is.
///
/// ```text
/// WaitingForKey ─► AwaitingProbes ─► Unplaced ◄─► Queued ─► InFlight ─► Answered
/// ```
///
/// Any of them may be left for `Answered`, and `InFlight` for `Unplaced` or `Queued` when an attempt did not serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QueryState {
    /// Behind an earlier query of its ordering key.
    WaitingForKey,
    /// Waits for answers of engines that it may go to.
    AwaitingProbes,
    /// On no engine's queue: none is eligible now.
    Unplaced,
    /// In an engine's queue.
    Queued(EngineId),
    /// At least one attempt is out.
    InFlight,
    /// It has its final answer.
    Answered,
}

/// One attempt.
pub(crate) struct Attempt {
    /// The engine that it goes to, with its zone and cell at that time.
    pub engine: EngineId,
    pub zone: u16,
    pub cell: u16,
    pub sent_at: Micros,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// Total run time that the last progress report points to, µs.
    pub projected_run: Option<f64>,
    /// Memory reckoned with, MB.
    pub memory_mb: f64,
    /// Run time that was expected when it was sent, µs.
    pub expected_run: f64,
    /// The host was asked to cancel it.
    pub is_cancelled: bool,
    /// It waits for a load of its table group.
    pub is_blocked: bool,
}

impl Attempt {
    /// An attempt that goes out now. `record_send` fills in where its engine is.
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

    /// Records the share of its work that is done.
    pub(crate) fn record_progress(&mut self, now: Micros, done: f64) {
        self.is_blocked = false;
        self.projected_run = Some(self.age(now) / done.clamp(MIN_PROGRESS, 1.0));
    }

    /// How long it has been out, µs.
    pub(crate) fn age(&self, now: Micros) -> f64 {
        now.saturating_sub(self.sent_at) as f64
    }

    /// Whether its run tells of its engine: it was not cancelled and waits for no load.
    pub(crate) fn is_running(&self) -> bool {
        !self.is_cancelled && !self.is_blocked
    }
}

/// A query and all that is known of it.
pub(crate) struct PendingQuery {
    pub query: Query,
    pub arrived_at: Micros,
    /// When its client gives up.
    pub deadline: Micros,
    pub state: QueryState,
    pub attempts: Vec<Attempt>,
    /// Its tenant's quota was used up when it arrived.
    pub is_over_quota: bool,
    /// Its client gets an attempt's rows: no other attempt may answer.
    pub is_streaming: bool,
    /// Attempts that were cancelled or hedged because they ran long.
    pub overruns: u32,
    /// Engines whose attempts did not serve it.
    pub avoided: BTreeSet<EngineId>,
    /// Engines that were probed for this query.
    pub probed: Vec<EngineId>,
    /// Those of them whose answer is still awaited.
    pub awaited_probes: Vec<EngineId>,
}

impl PendingQuery {
    /// A query that arrives.
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

    /// Attempts that are out, with their numbers.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(|(_, a)| a.outcome.is_none())
    }

    /// Whether an attempt is out.
    pub(crate) fn has_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Whether attempts are out that may be ended for a better one: none of them streams.
    pub(crate) fn may_be_interrupted(&self) -> bool {
        self.state == QueryState::InFlight && !self.is_streaming
    }

    /// Engines where it ended in an error.
    pub(crate) fn engines_with_errors(&self) -> impl Iterator<Item = EngineId> + '_ {
        let has_erred = |a: &&Attempt| a.outcome == Some(Outcome::Error);
        self.attempts.iter().filter(has_erred).map(|a| a.engine)
    }

    /// Marks all attempts that are out, but for one, as cancelled; the actions that do so.
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
