//! The request lifecycle between a client's frontend and an engine's backend.
//!
//! [`Core`] owns the state that the [`driftfront_scheduler`] does not: internal ids, deadlines, attempts, timers, counters and the
//! final answer of each request. It does no I/O and reads no clock: the host passes in the current time, reports events of its
//! connections and executes the returned [`Command`]s.
//!
//! A request passes six stages, one per module: `accept`, `admission`, `routing`, `dispatch`, `response` and `accounting`. The
//! module `attempt_end` handles the end of an attempt. Each request gets exactly one final answer, from the code path that closes
//! it. A request is settled, and dropped, once it is closed and no attempt is in flight.
#![forbid(unsafe_code)]

mod accept;
mod accounting;
mod admission;
mod attempt;
mod attempt_end;
mod command;
mod dispatch;
mod engine_list;
mod idempotency;
pub mod lifecycle;
mod lost_attempts;
mod names;
mod probes;
mod request;
mod response;
mod routing;
mod running;
mod timers;

pub use accounting::Counters;
pub use attempt::{AttemptError, AttemptReport, Cause, Progress, RetryContext};
pub use command::Command;
pub use driftfront_scheduler::RetryBudgetUsage;
pub use driftfront_scheduler::{
    EngineId, ListKind, ListedEngine, Micros, Outcome, Phase, ProgressReport, StickySession,
};
pub use request::{Accepted, AttemptKey, ParsedRequest, RequestId, ResponseChunk, SettledOutcome};
pub use running::RunningQuery;

use crate::idempotency::IdempotencyKeys;
use crate::lost_attempts::LostAttemptDetector;
use crate::names::RequestNames;
use crate::request::Request;
use crate::running::UnknownOutcomes;
use crate::timers::{ScheduledTimer, MIN_PRUNED_TIMERS};
use driftfront_scheduler::Controller;
use driftfront_scheduler::{Idempotency, QueryId, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

impl RequestId {
    /// The scheduler's id for the request.
    fn query(self) -> QueryId {
        QueryId(self.0)
    }
}

/// Limits set by the host in addition to the scheduler's settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open requests; further requests are rejected.
    pub max_open_requests: usize,
    /// A probe without an answer after this time has failed.
    pub probe_timeout: Micros,
    /// Every final answer is given at least this long before the client's timeout.
    pub answer_margin: Micros,
    /// Maximum number of attempts with unknown outcome that are tracked by name, so that they can be found and killed; 0 disables
    /// tracking.
    pub max_unknown_outcomes: usize,
    /// Maximum number of names that are remembered because their clients left without an answer, so that they don't run again; 0
    /// disables it.
    pub max_departed_names: usize,
    /// Maximum number of idempotency keys that are tracked; requests with further keys are rejected.
    pub max_idempotency_keys: usize,
    /// Whether engines report on each attempt separately, at the interval given in the settings; an attempt without reports is
    /// then considered lost.
    pub engines_report_attempts: bool,
}

/// The coordinator's request handling, without I/O.
pub struct Core {
    controller: Controller,
    limits: Limits,
    /// Idempotency of queries, indexed by class.
    class_idempotency: Vec<Idempotency>,
    /// Whether the settings define tenants.
    has_tenants: bool,
    /// Maximum Retry-After; `None` if clients do not honor it.
    max_retry_after: Option<Micros>,
    /// Whether new requests are rejected because the process shuts down.
    is_shutting_down: bool,
    /// Requests that are not settled.
    requests: BTreeMap<RequestId, Request>,
    names: RequestNames,
    /// Number of open requests, which have no final answer yet.
    open_count: usize,
    engine_phases: BTreeMap<EngineId, Phase>,
    /// Engines of the probes in flight, by tag.
    probes: BTreeMap<u64, EngineId>,
    /// Min-heap: the timer that is due next comes first.
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Number of timers at which those without an effect are dropped.
    prune_timers_at: usize,
    /// The last number from the counter shared by request ids, probe tags and timer order; numbers are never reused.
    last_number: u64,
    commands: VecDeque<Command>,
    counters: Counters,
    unknown_outcomes: UnknownOutcomes,
    lost_attempts: LostAttemptDetector,
    idempotency_keys: IdempotencyKeys,
}

impl Core {
    /// Creates a core without requests. The same seed and the same calls produce the same commands.
    pub fn new(settings: Settings, limits: Limits, seed: u64) -> Core {
        Core {
            class_idempotency: settings.classes.iter().map(|c| c.idempotency).collect(),
            has_tenants: !settings.tenants.is_empty(),
            max_retry_after: settings.max_retry_after,
            is_shutting_down: false,
            lost_attempts: LostAttemptDetector::new(&settings, limits.engines_report_attempts),
            idempotency_keys: IdempotencyKeys::new(&settings, limits.max_idempotency_keys),
            unknown_outcomes: UnknownOutcomes::new(limits.max_unknown_outcomes),
            controller: Controller::new(settings, seed).awaiting_first_bytes(),
            limits,
            requests: BTreeMap::new(),
            names: RequestNames::new(limits.max_departed_names),
            open_count: 0,
            engine_phases: BTreeMap::new(),
            probes: BTreeMap::new(),
            timers: BinaryHeap::new(),
            prune_timers_at: MIN_PRUNED_TIMERS,
            last_number: 0,
            commands: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// The next command to execute, if any.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Rejects all new requests from now on, because the process shuts down.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// Idempotency of a request; `None` if its class does not exist.
    fn idempotency(&self, request: &ParsedRequest) -> Option<Idempotency> {
        let class = self.class_idempotency.get(usize::from(request.class))?;
        Some(request.idempotency(*class))
    }

    /// Number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.open_count
    }

    /// Current use of the retry budget; `None` if the settings define none.
    pub fn retry_budget_usage(&self, now: Micros) -> Option<RetryBudgetUsage> {
        self.controller.retry_budget_usage(now)
    }

    /// The counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns a number that was not used before.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
