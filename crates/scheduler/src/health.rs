//! Health checks: finds silent engines, detects slow ones from attempts in flight, and selects
//! engines to probe.
//!
//! Input: the engine records, once per tick. Output: silent engines, and engines to probe. Bound:
//! one pass over the engines and their attempts in flight.

use crate::engines::Engine;
use crate::events::Phase;
use crate::load_reports::MAX_REPORT_AGE;
use crate::overruns::OVERRUN_RATIO;
use crate::probes::PROBES_PER_QUERY;
use crate::slowdown::MAX_SLOWDOWN;
use crate::state::SchedulerState;
use crate::types::{EngineId, Micros};

/// An engine with attempts in flight that sends nothing for this long is silent, in µs. Longer than
/// short stalls.
const SILENCE_MICROS: f64 = 1_600_000.0;
/// Progress reports are overdue after this many intervals.
const OVERDUE_INTERVALS: f64 = 3.0;
/// Probe interval of engines on probation, and of engines that report only in answers to probes.
const PROBE_INTERVAL: Micros = 1_000_000;

/// Result of a health check.
pub(crate) struct HealthCheck {
    /// Engines treated as failed because they are silent while others respond.
    pub silent: Vec<EngineId>,
    /// Engines to probe, most urgent first, within the probe budget.
    pub due_probes: Vec<EngineId>,
}

/// Observations of the attempts in flight on one engine.
struct InFlight {
    attempts: usize,
    /// Attempts whose next progress report or answer is overdue.
    overdue: usize,
    /// Smallest slowdown that any of the attempts indicates.
    slowdown: f64,
}

/// Checks all engines. `probe_credit` is the number of probes that may be sent.
pub(crate) fn check_engines(
    state: &mut SchedulerState,
    now: Micros,
    probe_credit: f64,
) -> HealthCheck {
    let in_flight = |(&id, engine)| (id, observe_in_flight(state, now, engine));
    let observed: Vec<(EngineId, InFlight)> = state.engines.iter().map(in_flight).collect();
    update_slowdowns(state, now, &observed);
    HealthCheck {
        silent: silent_engines(state, now, &observed),
        due_probes: due_probes(state, now, probe_credit),
    }
}

fn observe_in_flight(state: &SchedulerState, now: Micros, engine: &Engine) -> InFlight {
    let mut seen = InFlight {
        attempts: 0,
        overdue: 0,
        slowdown: MAX_SLOWDOWN,
    };
    let attempts = state.attempts_on(engine).map(|(_, attempt)| attempt);
    for attempt in attempts.filter(|a| a.is_running()) {
        let age = attempt.age(now);
        let max_silence = match state.settings.progress_interval {
            Some(interval) => OVERDUE_INTERVALS * interval as f64,
            None => OVERRUN_RATIO * attempt.expected_run,
        };
        let run = attempt.projected_run.unwrap_or(age).max(age);
        let slowdown = run * engine.slowdown.ratio() / attempt.expected_run.max(1.0);
        seen.slowdown = seen.slowdown.min(slowdown);
        seen.attempts += 1;
        seen.overdue += usize::from(age > max_silence.max(SILENCE_MICROS));
    }
    seen
}

/// Raises the slowdown of an engine whose attempts in flight all run long, before any answer shows
/// it.
fn update_slowdowns(state: &mut SchedulerState, now: Micros, observed: &[(EngineId, InFlight)]) {
    let uses_subset = state.uses_subset;
    let baseline = if uses_subset {
        state.cluster.slowdown
    } else {
        1.0
    };
    // A single attempt may have a bad query plan, but a coordinator with small shares rarely has
    // more than one.
    let min_attempts = if uses_subset { 1 } else { 2 };
    for (engine, (_, seen)) in state.engines.values_mut().zip(observed) {
        let slowdown = (seen.attempts >= min_attempts).then_some(seen.slowdown);
        engine.slowdown.raise_or_decay(slowdown, baseline, now);
    }
}

/// Engines whose attempts are overdue and that have sent nothing. If fewer than half of the engines
/// with attempts in flight respond, the cause is more likely this coordinator or the whole cluster,
/// and no engine is reported.
fn silent_engines(
    state: &SchedulerState,
    now: Micros,
    observed: &[(EngineId, InFlight)],
) -> Vec<EngineId> {
    let (mut silent, mut responding, mut with_attempts) = (Vec::new(), 0, 0);
    // Without progress reports, a single long query is no evidence: it may have a bad plan.
    let min_overdue = if state.settings.progress_interval.is_none() {
        2
    } else {
        1
    };
    for (engine, (id, seen)) in state.engines.values().zip(observed) {
        let silence = now.saturating_sub(engine.health.last_contact_at) as f64;
        with_attempts += usize::from(seen.attempts > 0);
        responding += usize::from(seen.attempts > 0 && silence < SILENCE_MICROS);
        let is_overdue = seen.overdue >= min_overdue && silence > SILENCE_MICROS;
        if is_overdue && !engine.health.is_ejected(now) {
            silent.push(*id);
        }
    }
    if responding * 2 < with_attempts {
        silent.clear();
    }
    silent
}

/// Engines to probe: those on probation first, then those with the oldest contact.
#[allow(
    clippy::cast_possible_truncation,
    reason = "a whole number of probes; excess ones are never used"
)]
fn due_probes(state: &SchedulerState, now: Micros, probe_credit: f64) -> Vec<EngineId> {
    if !state.settings.may_probe {
        return Vec::new();
    }
    let due = |(&id, engine): (&EngineId, &Engine)| {
        let health = &engine.health;
        let last = health.last_contact_at.max(health.probed_at);
        let is_idle = now > last + MAX_REPORT_AGE;
        let wants_probes =
            state.settings.report_on_probe || health.is_on_probation() && !health.is_ejected(now);
        let is_due = is_idle || wants_probes && now > health.probed_at + PROBE_INTERVAL;
        (engine.phase == Phase::Ready && is_due).then_some((!health.is_on_probation(), last, id))
    };
    let mut probes: Vec<_> = state.engines.iter().filter_map(due).collect();
    probes.sort();
    // Reserve probes for queries that probe their candidates before they are sent.
    let serves_queries = state.settings.report_on_probe && state.lost_zones.silent_zones() == 0;
    let reserved = if serves_queries {
        PROBES_PER_QUERY
    } else {
        0.0
    };
    let spare = probe_credit - reserved;
    probes.truncate(spare.max(0.0) as usize);
    probes.into_iter().map(|probe| probe.2).collect()
}
