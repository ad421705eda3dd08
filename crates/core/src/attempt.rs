//! Attempts: how far each has come, how it ended, and what that proves.

use driftfront_scheduler::{EngineId, Micros, Outcome};
use std::fmt;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection yet.
    NotConnected,
    /// Connected; none of it written.
    Connected,
    /// Some of it written, not all: an engine cannot have run it.
    PartiallyWritten,
    /// All of it written: it may run.
    FullyWritten,
    /// Part of the response has come.
    ResponseStarted,
}

/// Why an attempt ended without serving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection failed, or its peer closed it.
    Connection(String),
    /// We closed the connection: it was silent, or its peer broke the protocol.
    Closed(String),
    /// Its time ran out.
    TimedOut,
    /// The engine had no capacity for it.
    Rejected,
    /// The engine answered with an error.
    Engine(String),
    /// What came as its response can't be used: it has run, and no other response will come.
    MalformedResponse(String),
    /// The engine left, or the time ran out, before a byte was written.
    NotSent,
    /// The statement itself is at fault: no other engine would do better.
    Statement(String),
    /// Its client left or wants it no more: nothing is wrong with the engine, where it may still run.
    Released,
    /// The scheduler waits for it no longer, and its engine was told to end it.
    CancelledByScheduler,
}

impl Cause {
    /// Whether the engine learns of this end from us; of any other it knows before we do.
    pub(crate) fn is_ours(&self) -> bool {
        matches!(
            self,
            Cause::Closed(_) | Cause::TimedOut | Cause::Released | Cause::CancelledByScheduler
        )
    }
}

/// The end of an attempt that did not serve: how far it had come, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// How far it had come.
    pub progress: Progress,
    /// Why it ended.
    pub cause: Cause,
}

impl AttemptError {
    /// What this proves, in the scheduler's terms.
    ///
    /// | cause | not written | part written | written whole, or more |
    /// | --- | --- | --- | --- |
    /// | connection failed or closed | unreachable | unreachable | reset |
    /// | timed out | unreachable | timed out | timed out |
    /// | cancelled by the scheduler | superseded | cancelled | cancelled |
    /// | released | superseded | superseded | cancelled |
    /// | withheld | superseded | superseded | superseded |
    /// | rejected | rejected | rejected | rejected |
    /// | engine error, malformed response | error | error | error |
    /// | statement at fault | cancelled | cancelled | cancelled |
    pub fn outcome(&self) -> Outcome {
        match self.cause {
            Cause::Rejected => Outcome::Rejected,
            Cause::NotSent => Outcome::Superseded,
            Cause::Engine(_) | Cause::MalformedResponse(_) => Outcome::Error,
            // Not written whole, it never was a query there.
            Cause::Released if self.progress < Progress::FullyWritten => Outcome::Superseded,
            // A part already on its way becomes whole before the notice that ends it.
            Cause::CancelledByScheduler if self.progress < Progress::PartiallyWritten => {
                Outcome::Superseded
            }
            Cause::Statement(_) | Cause::Released | Cause::CancelledByScheduler => {
                Outcome::Cancelled
            }
            // Not written whole, it cannot have run: the connection's end gives up the written part.
            Cause::Connection(_) | Cause::Closed(_) if self.progress < Progress::FullyWritten => {
                Outcome::Unreachable
            }
            Cause::Connection(_) | Cause::Closed(_) => Outcome::Reset,
            Cause::TimedOut if self.progress < Progress::PartiallyWritten => Outcome::Unreachable,
            // A part already on its way may still become whole behind our back.
            Cause::TimedOut => Outcome::TimedOut,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let progress = match self.progress {
            Progress::NotConnected => "not connected",
            Progress::Connected => "connected",
            Progress::PartiallyWritten => "part written",
            Progress::FullyWritten => "written whole",
            Progress::ResponseStarted => "answer begun",
        };
        match &self.cause {
            Cause::Connection(why) => write!(f, "{progress}: connection failed: {why}"),
            Cause::Closed(why) => write!(f, "{progress}: connection closed: {why}"),
            Cause::TimedOut => write!(f, "{progress}: timed out"),
            Cause::Rejected => write!(f, "{progress}: turned away"),
            Cause::Engine(why) => write!(f, "{progress}: engine error: {why}"),
            Cause::MalformedResponse(why) => write!(f, "{progress}: spoilt answer: {why}"),
            Cause::NotSent => write!(f, "{progress}: withheld"),
            Cause::Statement(why) => write!(f, "{progress}: statement at fault: {why}"),
            Cause::Released => write!(f, "{progress}: released"),
            Cause::CancelledByScheduler => write!(f, "{progress}: called off"),
        }
    }
}

impl std::error::Error for AttemptError {}

/// What an engine says with a response, of itself and of the query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptReport {
    /// Its load report, values in the order of the settings; empty where none came.
    pub report: Vec<f64>,
    /// The work that the query took, µs over all threads.
    pub work: Option<f64>,
    /// The memory that it needed, MB.
    pub memory_mb: Option<f64>,
}

/// What a retry follows, for the log.
#[derive(Debug)]
pub struct RetryContext<'a> {
    /// The client's name for the request.
    pub name: &'a str,
    /// The engine of the attempt before it.
    pub failed_on: EngineId,
    /// Why that one ended.
    pub error: &'a AttemptError,
}

/// An attempt of a request that is not settled.
pub(crate) struct Attempt {
    pub engine: EngineId,
    pub sent_at: Micros,
    /// When it times out.
    pub timeout_at: Micros,
    /// When its first byte was written; before that, when it was sent.
    pub written_at: Micros,
    /// When its engine last said something of it.
    pub reported_at: Micros,
    pub progress: Progress,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// It was released: its outcome doesn't tell whether it still runs.
    pub is_released: bool,
    /// It was abandoned for this cause, and its engine may not know that yet.
    pub abandoned_for: Option<Cause>,
    /// Memory granted, MB; 0 leaves it to the engine.
    pub grant_mb: f64,
    /// What came with its response.
    pub report: AttemptReport,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn new(engine: EngineId, now: Micros, timeout_at: Micros, grant_mb: f64) -> Attempt {
        Attempt {
            engine,
            sent_at: now,
            timeout_at,
            written_at: now,
            reported_at: 0,
            progress: Progress::NotConnected,
            outcome: None,
            is_released: false,
            abandoned_for: None,
            grant_mb,
            report: AttemptReport::default(),
        }
    }

    /// Whether it has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it has ended, but may still run.
    pub(crate) fn may_still_run(&self) -> bool {
        let was_let_go = self.is_released && self.outcome == Some(Outcome::Cancelled);
        was_let_go || matches!(self.outcome, Some(Outcome::TimedOut | Outcome::Reset))
    }
}
