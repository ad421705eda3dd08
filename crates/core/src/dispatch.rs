//! Stage 4, send: how far each attempt has come, and what its end means for the rules.

use crate::RequestId;
use crate::{query, AttemptKey, Command, Core, Due, Request, RequestFate};
use driftfront_scheduler::interface::{
    AttemptEnded, EngineId, Event, Micros, Outcome, Phase, ProgressReport,
};
use std::fmt;

/// The way of a word to an engine, at most, with room for what holds it up. What we give up ourselves is out until
/// that word is there: a further attempt that overtook it would be a second copy.
const WAY: Micros = 40_000;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection yet.
    NotConnected,
    /// Connected; none of it written.
    Connected,
    /// Some of it written, not all: an engine cannot have run it.
    PartWritten,
    /// All of it written: it may run.
    WrittenWhole,
    /// Part of the answer has come.
    AnswerBegun,
}

/// Why an attempt ended without serving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection failed, or its peer closed it.
    Connection(String),
    /// We closed the connection: it was silent, or its peer spoke nonsense.
    Closed(String),
    /// Its time ran out.
    TimedOut,
    /// The engine turned it away unseen.
    Rejected,
    /// The engine answered with an error.
    Engine(String),
    /// What came as its answer can't be used: it has run, and no other answer will come.
    MalformedResponse(String),
    /// The engine left, or the time ran out, before a byte was written.
    Withheld,
    /// The statement itself is at fault: no other engine would do better.
    Statement(String),
    /// Its client left or wants it no more: nothing is wrong with the engine, where it may still run.
    Released,
    /// The module waits for it no longer, and its engine was told to end it.
    CancelledByScheduler,
}

/// The end of an attempt that did not serve: how far it had come, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// How far it had come.
    pub progress: Progress,
    /// Why it ended.
    pub cause: Cause,
}

impl Cause {
    /// The engine hears of this end from us; of any other it knows before we do.
    fn is_ours(&self) -> bool {
        matches!(
            self,
            Cause::Closed(_) | Cause::TimedOut | Cause::Released | Cause::CancelledByScheduler
        )
    }
}

impl AttemptError {
    /// What this proves, in the module's words.
    pub fn outcome(&self) -> Outcome {
        match self.cause {
            Cause::Rejected => Outcome::Rejected,
            Cause::Withheld => Outcome::Superseded,
            Cause::Engine(_) | Cause::MalformedResponse(_) => Outcome::Error,
            // Not written whole, it never was a query there.
            Cause::Released if self.progress < Progress::WrittenWhole => Outcome::Superseded,
            // A part already on its way becomes whole before the word that ends it.
            Cause::CancelledByScheduler if self.progress < Progress::PartWritten => {
                Outcome::Superseded
            }
            Cause::Statement(_) | Cause::Released | Cause::CancelledByScheduler => {
                Outcome::Cancelled
            }
            // Not written whole, it cannot have run: the connection's end gives up the written part.
            Cause::Connection(_) | Cause::Closed(_) if self.progress < Progress::WrittenWhole => {
                Outcome::Unreachable
            }
            Cause::Connection(_) | Cause::Closed(_) => Outcome::Reset,
            Cause::TimedOut if self.progress < Progress::PartWritten => Outcome::Unreachable,
            // A part already on its way may still become whole behind our back.
            Cause::TimedOut => Outcome::TimedOut,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let how = match self.progress {
            Progress::NotConnected => "not connected",
            Progress::Connected => "connected",
            Progress::PartWritten => "part written",
            Progress::WrittenWhole => "written whole",
            Progress::AnswerBegun => "answer begun",
        };
        match &self.cause {
            Cause::Connection(why) => write!(f, "{how}: connection failed: {why}"),
            Cause::Closed(why) => write!(f, "{how}: connection closed: {why}"),
            Cause::TimedOut => write!(f, "{how}: timed out"),
            Cause::Rejected => write!(f, "{how}: turned away"),
            Cause::Engine(why) => write!(f, "{how}: engine error: {why}"),
            Cause::MalformedResponse(why) => write!(f, "{how}: spoilt answer: {why}"),
            Cause::Withheld => write!(f, "{how}: withheld"),
            Cause::Statement(why) => write!(f, "{how}: statement at fault: {why}"),
            Cause::Released => write!(f, "{how}: released"),
            Cause::CancelledByScheduler => write!(f, "{how}: called off"),
        }
    }
}

impl std::error::Error for AttemptError {}

pub(crate) struct Attempt {
    pub engine: EngineId,
    pub sent: Micros,
    pub until: Micros,
    /// When its first byte was written, and when there was last word of it.
    pub written: Micros,
    pub heard: Micros,
    pub progress: Progress,
    pub outcome: Option<Outcome>,
    /// It was released: its outcome doesn't tell whether it still runs.
    pub released: bool,
    /// It was given up, and its engine may not know it yet.
    pub ending: Option<Cause>,
    /// Memory granted, MB; 0 leaves it to the engine.
    pub grant_mb: f64,
    /// What came with its answer.
    pub told: AttemptReport,
}

/// What an engine tells with an answer, of itself and of the query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptReport {
    /// Its load report, in the order of the settings; empty where none came.
    pub report: Vec<f64>,
    /// The work that the query needed, µs over all threads.
    pub work: Option<f64>,
    /// The memory that it needed, MB.
    pub memory_mb: Option<f64>,
}

/// An attempt beyond a request's first, for the log: what it follows.
#[derive(Debug)]
pub struct RetryContext<'a> {
    /// The client's name for the request.
    pub call: &'a str,
    /// The engine of the attempt before it.
    pub failed_on: EngineId,
    /// Why that one ended.
    pub after: &'a AttemptError,
}

impl Attempt {
    pub fn new(engine: EngineId, sent: Micros, until: Micros) -> Attempt {
        Attempt {
            engine,
            sent,
            until,
            written: sent,
            heard: 0,
            progress: Progress::NotConnected,
            outcome: None,
            released: false,
            ending: None,
            grant_mb: 0.0,
            told: AttemptReport::default(),
        }
    }

    /// It may still run, though nobody waits for it here.
    pub fn in_doubt(&self) -> bool {
        let let_go = self.released && self.outcome == Some(Outcome::Cancelled);
        let_go || matches!(self.outcome, Some(Outcome::TimedOut | Outcome::Reset))
    }
}

impl Request {
    /// The attempt that is out, with its number; there is one at most.
    pub(crate) fn out(&self) -> Option<(u8, &Attempt)> {
        let out = self
            .attempts
            .iter()
            .enumerate()
            .find(|(_, a)| a.outcome.is_none());
        out.map(|(number, attempt)| (number as u8, attempt))
    }

    /// What became of it, by the last attempt that may have run.
    pub(crate) fn fate(&self) -> RequestFate {
        let ran = |a: &&Attempt| a.outcome.is_some_and(|o| !o.never_ran());
        match self.attempts.iter().rev().find(ran) {
            None => RequestFate::NeverRan,
            Some(a) if a.in_doubt() => RequestFate::Unknown(a.engine),
            Some(a) => RequestFate::Ran(a.engine, a.outcome == Some(Outcome::Ok)),
        }
    }
}

impl Core {
    pub(crate) fn out(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        let attempt = self
            .requests
            .get_mut(&key.request)?
            .attempts
            .get_mut(usize::from(key.number))?;
        attempt.outcome.is_none().then_some(attempt)
    }

    /// Whether an attempt still waits for its end.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.made(key).is_some_and(|a| a.outcome.is_none())
    }

    /// An attempt of a request that is not over, whether it is out or has ended.
    pub(crate) fn made(&self, key: AttemptKey) -> Option<&Attempt> {
        self.requests
            .get(&key.request)?
            .attempts
            .get(usize::from(key.number))
    }

    /// Asked right before an attempt's first byte: how long it may take, or `None` if it must not go.
    /// The engine may have begun to drain, the time run out, or a budget been used up by what went out meanwhile, while the
    /// connection came up.
    pub fn may_write_attempt(&mut self, now: Micros, key: AttemptKey) -> Option<Micros> {
        let closed = self
            .requests
            .get(&key.request)
            .is_none_or(|r| r.closed || r.called_off);
        let attempt = self.out(key)?;
        let (engine, left) = (attempt.engine, attempt.until.saturating_sub(now));
        let ready = self.phases.get(&engine) == Some(&Phase::Ready);
        let request = self.requests.get(&key.request)?;
        let (class, token, deadline) = (
            request.ask.class,
            request.ask.token.clone(),
            request.deadline,
        );
        let known = self
            .tokens
            .good_until(class, token.as_ref())
            .is_none_or(|t| now < t);
        let may_go = ready && left > 0 && !closed && known;
        if may_go
            && self
                .controller
                .may_go_out(now, query(key.request), key.number)
        {
            if let Some(token) = token {
                self.tokens.written(now, class, &token, key, deadline);
            }
            self.out(key)?.written = now;
            return Some(left);
        }
        self.attempt_failed(now, key, Cause::Withheld);
        None
    }

    /// An attempt has come this far.
    pub fn record_progress(&mut self, key: AttemptKey, progress: Progress) {
        if let Some(attempt) = self.out(key) {
            attempt.progress = attempt.progress.max(progress);
        }
    }

    /// Word on an attempt that is out.
    pub fn record_progress_report(&mut self, now: Micros, key: AttemptKey, note: ProgressReport) {
        if self.out(key).is_some() {
            self.heard_of(now, key);
            self.tell(
                now,
                Event::ProgressReported(query(key.request), key.number, note),
            );
        }
    }

    /// An engine's answer to an attempt told this, whatever the answer is.
    pub fn record_attempt_report(&mut self, key: AttemptKey, told: AttemptReport) {
        if let Some(attempt) = self.out(key) {
            attempt.told = told;
        }
    }

    /// What an attempt follows; `None` for a request's first.
    pub fn retry_context(&self, key: AttemptKey) -> Option<RetryContext<'_>> {
        let request = self.requests.get(&key.request).filter(|_| key.number > 0)?;
        let (failed_on, after) = request.last_failure.as_ref()?;
        Some(RetryContext {
            call: &request.ask.call,
            failed_on: *failed_on,
            after,
        })
    }

    /// Memory that an attempt is granted, MB; 0 leaves it to the engine.
    pub fn grant_mb(&self, key: AttemptKey) -> f64 {
        self.made(key).map_or(0.0, |a| a.grant_mb)
    }

    /// An attempt ended without serving. Where its engine has to hear of that first, it ends a little later; `None`
    /// then, as for one that is not out.
    pub fn attempt_failed(
        &mut self,
        now: Micros,
        key: AttemptKey,
        cause: Cause,
    ) -> Option<AttemptError> {
        let open = self
            .requests
            .get(&key.request)
            .filter(|r| !r.closed && r.relaying.is_none());
        let waits = open.is_some_and(|r| now + 2 * WAY < r.deadline);
        let attempt = self.out(key)?;
        if attempt.ending.is_some() {
            return None;
        }
        if waits && cause.is_ours() && attempt.progress >= Progress::PartWritten {
            attempt.ending = Some(cause);
            self.set_timer(now + WAY, Due::GivenUp(key));
            return None;
        }
        self.attempt_over(now, key, cause)
    }

    /// The engine of an attempt that was given up knows it by now.
    pub(crate) fn given_up(&mut self, now: Micros, key: AttemptKey) {
        if let Some(cause) = self.out(key).and_then(|a| a.ending.take()) {
            self.attempt_over(now, key, cause);
        }
    }

    fn attempt_over(&mut self, now: Micros, key: AttemptKey, cause: Cause) -> Option<AttemptError> {
        let progress = self.out(key)?.progress;
        if let (Cause::Engine(words) | Cause::Statement(words), Some(request)) =
            (&cause, self.requests.get_mut(&key.request))
        {
            request.words = Some(words.as_str().into());
        }
        let error = AttemptError { progress, cause };
        let engine = self.out(key)?.engine;
        if let Some(request) = self.requests.get_mut(&key.request) {
            request.last_failure = Some((engine, error.clone()));
        }
        if self
            .requests
            .get(&key.request)
            .is_some_and(|r| r.drawn || r.called_off)
        {
            self.end_for_good(key.request, error.outcome());
        }
        let relaying = self
            .requests
            .get(&key.request)
            .is_some_and(|r| r.relaying == Some(key.number));
        if relaying || matches!(error.cause, Cause::Statement(_)) {
            // Once the client has a piece nothing is begun anew: another run could give other rows.
            self.fail(key.request);
        }
        self.end(now, key, error.outcome());
        Some(error)
    }

    /// No further attempt can be made: the body that it would need is not kept, or its client has called it off. A
    /// refusal where it never ran, else a failure.
    fn end_for_good(&mut self, id: RequestId, outcome: Outcome) {
        let called_off = self.requests.get(&id).is_some_and(|r| r.called_off);
        if outcome.never_ran() && !called_off {
            self.refuse(id, crate::admission::FULL_ADVICE);
        } else {
            self.fail(id);
        }
    }

    /// Some of a body that is not kept goes out: from here on there is no other attempt, and engines work on rows as
    /// they come, so that part of it may have run.
    pub fn mark_body_forwarded(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.drawn = true;
            for attempt in request.attempts.iter_mut().filter(|a| a.outcome.is_none()) {
                attempt.progress = attempt.progress.max(Progress::WrittenWhole);
            }
        }
    }

    /// What is out of a request has to end within this time, if that is sooner than it would.
    pub fn shorten_timeout(&mut self, now: Micros, id: RequestId, within: Micros) {
        let until = now.saturating_add(within);
        let Some((number, _)) = self.requests.get(&id).and_then(Request::out) else {
            return;
        };
        let key = AttemptKey {
            request: id,
            number,
        };
        if let Some(attempt) = self.out(key).filter(|a| until < a.until) {
            attempt.until = until;
            self.set_timer(until, Due::Attempt(key));
        }
    }

    pub(crate) fn attempt_timed_out(&mut self, now: Micros, key: AttemptKey) {
        let Some((engine, until, ending)) = self
            .out(key)
            .map(|a| (a.engine, a.until, a.ending.is_some()))
        else {
            return;
        };
        if until > now || ending {
            return;
        }
        self.commands
            .push_back(Command::AbandonAttempt(key, engine));
        self.attempt_failed(now, key, Cause::TimedOut);
    }

    /// Books an attempt's end and tells the module.
    pub(crate) fn end(&mut self, now: Micros, key: AttemptKey, outcome: Outcome) {
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            self.heard_of(now, key);
        }
        let Some(attempt) = self.out(key) else { return };
        attempt.outcome = Some(outcome);
        let AttemptReport {
            report,
            work,
            memory_mb,
        } = std::mem::take(&mut attempt.told);
        let (doubt, engine, spent) = (
            attempt.in_doubt(),
            attempt.engine,
            now.saturating_sub(attempt.sent),
        );
        if outcome.never_ran() {
            if let Some(token) = self
                .requests
                .get(&key.request)
                .and_then(|r| r.ask.token.as_ref())
            {
                self.tokens.never_ran(token, key);
            }
        }
        if doubt {
            self.remember(now, key, engine);
        }
        self.counters.ended[crate::accounting::place(outcome)] += 1;
        let last = self.requests.get(&key.request).is_some_and(|r| r.closed);
        let (query, attempt) = (query(key.request), key.number);
        let end = AttemptEnded {
            query,
            attempt,
            outcome,
            last,
            spent,
            work,
            memory_mb,
            report: &report,
        };
        self.tell(now, Event::AttemptEnded(end));
        self.drop_if_over(key.request);
    }
}
