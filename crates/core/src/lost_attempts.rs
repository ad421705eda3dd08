//! Attempts whose answer is lost: where engines tell every so often how each attempt fares, one that nothing is told of
//! any more will not be answered, though its engine answers others. Free of clocks, as all of the core.
//!
//! An engine short of memory says nothing of what waits there, but takes it in turn. So an attempt counts as lost only
//! where another that was written later to the same engine has been heard of since: then its own turn had come.

use crate::{AttemptKey, Command, Core, RequestId};
use driftfront_scheduler::interface::{EngineId, Idempotency, Micros, Settings};
use std::collections::BTreeMap;

/// Word is late by this part of its period, and this much more for the way. Seen: the first comes after up to one and a
/// half periods, the next after one each; between what is lost and what is not nothing was seen from 1.6 to 2 of them.
const LATE: f64 = 1.75;
const WAY: Micros = 30_000;
/// Looked at this often.
const EVERY: Micros = 25_000;

/// What is known of words on attempts.
pub(crate) struct LostAttemptDetector {
    /// A word is overdue after this long; `None` where none is told.
    after: Option<Micros>,
    /// The latest writing of an attempt that was heard of, by engine.
    passed: BTreeMap<EngineId, Micros>,
    next: Micros,
}

impl LostAttemptDetector {
    pub(crate) fn new(settings: &Settings, tells: bool) -> LostAttemptDetector {
        let after = settings.progress_interval.filter(|_| tells);
        LostAttemptDetector {
            after: after.map(|every| (every as f64 * LATE) as Micros + WAY),
            passed: BTreeMap::new(),
            next: 0,
        }
    }

    /// The engine is gone.
    pub(crate) fn forget(&mut self, engine: EngineId) {
        self.passed.remove(&engine);
    }
}

impl Core {
    /// There was word of an attempt: a note, or its answer.
    pub(crate) fn heard_of(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.out(key) else { return };
        let (engine, written) = (attempt.engine, attempt.written);
        attempt.heard = now;
        if self.unheard.after.is_some() {
            let passed = self.unheard.passed.entry(engine).or_default();
            *passed = (*passed).max(written);
        }
    }

    /// Gives up the attempts whose answers are lost, so that the module may try again while there is time.
    pub(crate) fn end_unheard(&mut self, now: Micros) {
        let Some(after) = self.unheard.after.filter(|_| now >= self.unheard.next) else {
            return;
        };
        self.unheard.next = now + EVERY;
        let lost = |(&id, r): (&RequestId, &crate::Request)| {
            let (number, a) = r.out().filter(|_| !r.closed && r.relaying.is_none())?;
            let safe = match self.idempotency(r.ask.class) {
                Some(Idempotency::Idempotent) => true,
                Some(Idempotency::WithKey) => r.ask.token.is_some(),
                Some(Idempotency::NotIdempotent) | None => false,
            };
            let passed = self
                .unheard
                .passed
                .get(&a.engine)
                .is_some_and(|&p| p > a.written);
            let whole = a.progress == crate::Progress::WrittenWhole;
            let late = a.ending.is_none() && now > a.heard.max(a.written) + after;
            (safe && passed && whole && late).then_some((
                AttemptKey {
                    request: id,
                    number,
                },
                a.engine,
            ))
        };
        let lost: Vec<(AttemptKey, EngineId)> = self.requests.iter().filter_map(lost).collect();
        for (key, engine) in lost {
            self.counters.unheard += 1;
            self.commands
                .push_back(Command::AbandonAttempt(key, engine));
            self.attempt_failed(now, key, crate::Cause::TimedOut);
        }
    }
}
