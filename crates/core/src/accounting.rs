//! Stage 6, book: which engines there are, and what was taken in, sent and answered.

use crate::{Command, Core, RequestId};
use driftfront_scheduler::interface::{
    EngineId, Event, ListKind, ListedEngine, Micros, Outcome, Phase,
};
use std::fmt;

const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Rejected, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::Superseded, "moot"),
];

pub(crate) fn place(outcome: Outcome) -> usize {
    OUTCOMES.iter().position(|o| o.0 == outcome).unwrap_or(0)
}

/// What has passed through since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken in.
    pub taken: u64,
    /// Final answers: served.
    pub served: u64,
    /// Final answers: refused.
    pub refused: u64,
    /// Final answers: failed.
    pub failed: u64,
    /// Final answers: failed after the answer had begun.
    pub broken: u64,
    /// Clients that left before their answer.
    pub left: u64,
    /// Answers that only the deadline's guard gave.
    pub overdue: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts beyond a request's first.
    pub further: u64,
    /// Attempts ended, by outcome.
    pub ended: [u64; 8],
    /// Probes sent.
    pub probes: u64,
    /// Probes answered well.
    pub probes_answered: u64,
    /// Engine lists and changes taken over.
    pub lists: u64,
    /// Requests ended by a client's word.
    pub called_off: u64,
    /// Attempts given up since their client left.
    pub released: u64,
    /// Attempts of unknown fate that could not be remembered: the bound on them bit.
    pub doubts_dropped: u64,
    /// Attempts given up since nothing was told of them any more.
    pub unheard: u64,
    /// Engines whose idle connections were all reset.
    pub doubted: u64,
    /// Attempts that the module called off.
    pub stopped: u64,
    /// Keyed requests not run, since an earlier try may have run too long ago for engines to know.
    pub tokens_late: u64,
    /// Requests of a tenant that the settings don't name, where they name some.
    pub tenants_unnamed: u64,
    /// Keyed requests refused, since no more idempotency keys can be remembered.
    pub tokens_full: u64,
    /// Keyed attempts without an idempotency key: they run once.
    pub tokens_missing: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, count) in [
            ("requests_taken", self.taken),
            ("answers_served", self.served),
            ("answers_refused", self.refused),
            ("answers_failed", self.failed),
            ("answers_broken", self.broken),
            ("clients_left", self.left),
            ("answers_overdue", self.overdue),
            ("attempts_sent", self.sent),
            ("attempts_further", self.further),
            ("probes_sent", self.probes),
            ("probes_answered", self.probes_answered),
            ("lists_taken", self.lists),
            ("requests_called_off", self.called_off),
            ("attempts_released", self.released),
            ("doubts_dropped", self.doubts_dropped),
            ("attempts_unheard", self.unheard),
            ("engines_doubted", self.doubted),
            ("attempts_called_off", self.stopped),
            ("tokens_late", self.tokens_late),
            ("tokens_missing", self.tokens_missing),
            ("tokens_full", self.tokens_full),
            ("tenants_unnamed", self.tenants_unnamed),
        ] {
            writeln!(f, "{name} {count}")?;
        }
        for (n, (_, name)) in OUTCOMES.iter().enumerate() {
            writeln!(f, "attempts_ended{{outcome=\"{name}\"}} {}", self.ended[n])?;
        }
        Ok(())
    }
}

impl Core {
    /// Takes over a list of engines, or changes to it.
    pub fn update_engines(&mut self, now: Micros, kind: ListKind, list: &[ListedEngine]) {
        self.counters.lists += 1;
        if kind != ListKind::Changes {
            self.phases
                .values_mut()
                .for_each(|phase| *phase = Phase::Gone);
        }
        for listed in list {
            self.phases.insert(listed.engine, listed.phase);
        }
        self.end_stranded(now);
        self.tell(now, Event::EnginesListed(kind, list));
        let gone: Vec<_> = self
            .phases
            .iter()
            .filter(|p| *p.1 == Phase::Gone)
            .map(|p| *p.0)
            .collect();
        for engine in gone {
            self.phases.remove(&engine);
            self.unheard.forget(engine);
            self.commands.push_back(Command::ForgetEngine(engine));
        }
    }

    /// Ends what could only go to an engine that takes nothing more and is not there yet: no choice is left that
    /// the module could make, and the client is told why.
    fn end_stranded(&mut self, now: Micros) {
        let stranded = |r: &crate::Request| {
            let only = r.ask.pin.filter(|p| p.only && !r.closed).map(|p| p.engine);
            let gone = only.is_some_and(|e| self.phases.get(&e) != Some(&Phase::Ready));
            gone && r.out().is_none()
        };
        let ids: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|r| stranded(r.1))
            .map(|r| *r.0)
            .collect();
        for id in ids {
            let words = self.requests.get(&id).and_then(|r| r.ask.lost.clone());
            self.fail_saying(id, words);
            self.tell(now, Event::ClientLeft(crate::query(id)));
        }
    }

    /// All engines of the list.
    pub fn listed_engines(&self) -> Vec<EngineId> {
        self.phases.keys().copied().collect()
    }

    /// An engine's phase; `None` if it is gone or was never listed.
    pub fn engine_phase(&self, engine: EngineId) -> Option<Phase> {
        self.phases.get(&engine).copied()
    }

    /// Whether any engine takes work.
    pub fn has_engines(&self) -> bool {
        self.phases.values().any(|&phase| phase == Phase::Ready)
    }
}
