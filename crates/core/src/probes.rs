//! Probes: health checks of engines that the scheduler asks for.

use crate::timers::Timer;
use crate::{Command, Core};
use driftfront_scheduler::{EngineId, Event, Micros, Outcome, Phase};

impl Core {
    /// Starts a probe of an engine.
    pub(crate) fn start_probe(&mut self, now: Micros, engine: EngineId) {
        let tag = self.next_number();
        self.probes.insert(tag, engine);
        self.counters.probes_sent += 1;
        self.set_timer(now + self.limits.probe_timeout, Timer::Probe(tag));
        self.commands.push_back(Command::Probe(engine, tag));
    }

    /// Records the result of the probe with this tag. Only the first result counts.
    pub fn record_probe(&mut self, now: Micros, tag: u64, outcome: Outcome, report: &[f64]) {
        if let Some(engine) = self.probes.remove(&tag) {
            self.counters.probes_answered += u64::from(outcome == Outcome::Ok);
            self.notify_scheduler(
                now,
                Event::ProbeEnded {
                    engine,
                    outcome,
                    report,
                },
            );
        }
    }

    /// Records that all idle connections to an engine were reset. Its process may have ended, so the scheduler is notified before
    /// it sends another attempt there.
    pub fn suspect_engine(&mut self, now: Micros, engine: EngineId) {
        if self.engine_phase(engine) == Some(Phase::Ready) {
            self.counters.engines_suspected += 1;
            self.notify_scheduler(
                now,
                Event::ProbeEnded {
                    engine,
                    outcome: Outcome::Reset,
                    report: &[],
                },
            );
        }
    }
}
