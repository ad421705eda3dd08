//! Attempts: their progress, their end, and the outcome derived from both.

use driftfront_scheduler::{EngineId, Micros, Outcome};
use std::fmt;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection yet.
    NotConnected,
    /// Connected, but nothing written.
    Connected,
    /// Partially written, and too little for the engine to have begun to run the query.
    PartiallyWritten,
    /// Fully written, or so far that the engine may have begun to run the query: inserts are applied while their rows arrive.
    FullyWritten,
    /// Part of the response has been received.
    ResponseStarted,
}

/// Why an attempt ended without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection failed or was closed by the engine.
    Connection(String),
    /// The coordinator closed the connection, because it was silent or the engine violated the protocol.
    Closed(String),
    /// The timeout expired.
    TimedOut,
    /// The engine had no capacity for the query.
    Rejected,
    /// The engine returned an error.
    Engine(String),
    /// The response is malformed: the query has run, and no other response will follow.
    MalformedResponse(String),
    /// Before the first byte was written, the engine stopped accepting queries, the timeout expired or the request ended.
    NotSent,
    /// The statement is invalid: it would fail on any other engine too.
    Statement(String),
    /// The client disconnected or no longer needs the result. The engine is not at fault, and the query may still run there.
    Released,
    /// The scheduler cancelled the attempt, and the engine was notified.
    CancelledByScheduler,
}

impl Cause {
    /// Whether the coordinator ended the attempt, so that the engine has to be notified. All other ends are initiated by the
    /// engine or its connection.
    pub(crate) fn is_initiated_locally(&self) -> bool {
        matches!(
            self,
            Cause::Closed(_) | Cause::TimedOut | Cause::Released | Cause::CancelledByScheduler
        )
    }
}

/// The failure of an attempt: its progress and the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptError {
    /// Progress at the time of the failure.
    pub progress: Progress,
    /// Why the attempt ended.
    pub cause: Cause,
}

impl AttemptError {
    /// The outcome that the scheduler is notified of.
    ///
    /// | cause | not written | partially written | fully written or later |
    /// | --- | --- | --- | --- |
    /// | connection failed or closed | unreachable | unreachable | reset |
    /// | timed out | unreachable | timed out | timed out |
    /// | cancelled by the scheduler | superseded | cancelled | cancelled |
    /// | released | superseded | superseded | cancelled |
    /// | not sent | superseded | superseded | superseded |
    /// | rejected | rejected | rejected | rejected |
    /// | engine error, malformed response | error | error | error |
    /// | invalid statement | cancelled | cancelled | cancelled |
    pub fn outcome(&self) -> Outcome {
        match self.cause {
            Cause::Rejected => Outcome::Rejected,
            Cause::NotSent => Outcome::Superseded,
            Cause::Engine(_) | Cause::MalformedResponse(_) => Outcome::Error,
            // The engine never received a complete query.
            Cause::Released if self.progress < Progress::FullyWritten => Outcome::Superseded,
            // The rest of a partially written query may reach the engine before the cancellation does.
            Cause::CancelledByScheduler if self.progress < Progress::PartiallyWritten => {
                Outcome::Superseded
            }
            Cause::Statement(_) | Cause::Released | Cause::CancelledByScheduler => {
                Outcome::Cancelled
            }
            // A partially written query cannot run: the engine discards it when the connection ends.
            Cause::Connection(_) | Cause::Closed(_) if self.progress < Progress::FullyWritten => {
                Outcome::Unreachable
            }
            Cause::Connection(_) | Cause::Closed(_) => Outcome::Reset,
            Cause::TimedOut if self.progress < Progress::PartiallyWritten => Outcome::Unreachable,
            // The rest of a partially written query may still reach the engine after the timeout.
            Cause::TimedOut => Outcome::TimedOut,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let progress = match self.progress {
            Progress::NotConnected => "not connected",
            Progress::Connected => "connected",
            Progress::PartiallyWritten => "partially written",
            Progress::FullyWritten => "fully written",
            Progress::ResponseStarted => "response started",
        };
        match &self.cause {
            Cause::Connection(why) => write!(f, "{progress}: connection failed: {why}"),
            Cause::Closed(why) => write!(f, "{progress}: connection closed: {why}"),
            Cause::TimedOut => write!(f, "{progress}: timed out"),
            Cause::Rejected => write!(f, "{progress}: rejected"),
            Cause::Engine(why) => write!(f, "{progress}: engine error: {why}"),
            Cause::MalformedResponse(why) => write!(f, "{progress}: malformed response: {why}"),
            Cause::NotSent => write!(f, "{progress}: not sent"),
            Cause::Statement(why) => write!(f, "{progress}: invalid statement: {why}"),
            Cause::Released => write!(f, "{progress}: released"),
            Cause::CancelledByScheduler => write!(f, "{progress}: cancelled by the scheduler"),
        }
    }
}

impl std::error::Error for AttemptError {}

/// Statistics that an engine sends with a response, about itself and the query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptReport {
    /// The engine's load report, with values in the order of the settings; empty if it sent none.
    pub report: Vec<f64>,
    /// The query's work in µs, summed over all threads.
    pub work: Option<f64>,
    /// The query's memory usage in MB.
    pub memory_mb: Option<f64>,
}

/// The failure that caused a retry, for the log.
#[derive(Debug)]
pub struct RetryContext<'a> {
    /// The client's name for the request.
    pub name: &'a str,
    /// Index of the request's class in the settings.
    pub class: u16,
    /// The engine of the previous attempt.
    pub failed_on: EngineId,
    /// Why the previous attempt failed.
    pub error: &'a AttemptError,
}

/// An attempt of a request that is not settled.
pub(crate) struct Attempt {
    pub engine: EngineId,
    pub sent_at: Micros,
    pub timeout_at: Micros,
    /// When the first byte was written; before that, when the attempt was sent.
    pub written_at: Micros,
    /// When the engine last reported on the attempt.
    pub reported_at: Micros,
    pub progress: Progress,
    /// The final outcome; `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
    /// Whether the attempt was released, so that the query may still run whatever the outcome says.
    pub is_released: bool,
    /// Set if the attempt was abandoned for this cause and the engine may not have been notified yet.
    pub abandoned_for: Option<Cause>,
    /// Memory grant in MB; 0 leaves the limit to the engine.
    pub grant_mb: f64,
    /// Statistics received with the response.
    pub report: AttemptReport,
}

impl Attempt {
    /// Creates an attempt that is sent now.
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

    /// Whether the attempt has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the attempt has ended but the query may still run on the engine.
    pub(crate) fn may_still_run(&self) -> bool {
        let was_released = self.is_released && self.outcome == Some(Outcome::Cancelled);
        was_released || matches!(self.outcome, Some(Outcome::TimedOut | Outcome::Reset))
    }
}
