//! What operators read of a rolling restart: every sentence, in one place.

use std::fmt;

/// What a rolling restart waits for, has just done, or was stopped by.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// No step was made yet; shown as nothing.
    NotStarted,
    /// As an earlier process wrote it down.
    Recorded(String),
    /// It waits.
    Waiting(WaitReason),
    /// It has entered its stage.
    Reached(Milestone),
    /// It was stopped.
    Halted(HaltReason),
}

/// Why the next step can't be made yet.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WaitReason {
    /// Another engine is out.
    #[error("waits: {engine} is out too{}", if *.is_same_zone { ", in the same building" } else { "" })]
    EngineOut {
        /// The other engine.
        engine: String,
        /// It stands in the same zone.
        is_same_zone: bool,
    },
    /// No other engine takes work.
    #[error("waits: {0} is the last engine that takes work")]
    LastReady(String),
    /// The others could not carry the load. Both are shares of all engines' capacity.
    #[error(
        "waits: the load uses {:.0} in 100 of all engines, the others have {:.0}",
        .load * 100.0,
        .capacity * 100.0
    )]
    LoadTooHigh {
        /// What the load uses.
        load: f64,
        /// What the other engines have.
        capacity: f64,
    },
    /// Queries end on the drained engine: its name, and how many.
    #[error("{0} ends what runs there: {1} queries")]
    QueriesRunning(String, usize),
    /// Queries run on for long after the drain: the engine, and how many.
    #[error("{0} still runs {1} queries; their clients' time ends them")]
    SlowDrain(String, usize),
    /// Imports run on the drained engine: its name, and how many.
    #[error("{0} still runs {1} imports: they are not sent again, so it waits")]
    ImportsRunning(String, usize),
    /// The engine is back, but takes no work yet.
    #[error("{0} is not ready yet")]
    NotReady(String),
    /// The engine warms up: its name, and the seconds left.
    #[error("{0} gets warm: {1} s")]
    WarmingUp(String, u64),
}

/// How a stage was entered; with the engine's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// The engine is drained.
    Drained(String),
    /// Nothing runs there any more.
    HandedOver(String),
    /// It has another process.
    Restarted(String),
    /// Somebody lifted its drain.
    Resumed(String),
    /// The operator says that it is back.
    Returned(String),
    /// It is warm.
    Warm(String),
    /// It has left the list.
    Skipped(String),
    /// An operator let the rolling restart continue.
    Continued,
    /// All engines are completed.
    Finished,
}

/// Why a rolling restart was stopped.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum HaltReason {
    /// An operator stopped it; the reason continues the sentence.
    #[error("The roll was stopped: {0}")]
    Operator(String),
    /// Somebody lifted the drain of the current engine while it ended its work.
    #[error("The roll stopped: {0} was resumed meanwhile")]
    Resumed(String),
    /// Service has dropped: served shares of the priority weight asked for.
    #[error(
        "The roll stopped: service is {:.0} in 100, it was {:.0} when it began",
        .now * 100.0,
        f64::from(*.before_thousandths) / 10.0
    )]
    ServiceDropped {
        /// The service level now, as a share.
        now: f64,
        /// The service level at the beginning, in thousandths.
        before_thousandths: u32,
    },
}

impl fmt::Display for Milestone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Milestone::Drained(engine) => {
                write!(f, "{engine} is drained: nothing new goes there")
            }
            Milestone::HandedOver(engine) => {
                write!(
                    f,
                    "{engine} is free: repair or restart it, then say that it is back"
                )
            }
            Milestone::Restarted(engine) => write!(f, "{engine} has restarted and gets warm"),
            Milestone::Resumed(engine) => write!(f, "{engine} was resumed and gets warm"),
            Milestone::Returned(engine) => write!(f, "{engine} is back and gets warm"),
            Milestone::Warm(engine) => write!(f, "{engine} is warm"),
            Milestone::Skipped(engine) => {
                write!(f, "{engine} is not listed any more: it is passed over")
            }
            Milestone::Continued => f.write_str("The roll goes on"),
            Milestone::Finished => f.write_str("The roll is done"),
        }
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Status::NotStarted => Ok(()),
            Status::Recorded(text) => f.write_str(text),
            Status::Waiting(reason) => reason.fmt(f),
            Status::Reached(milestone) => milestone.fmt(f),
            Status::Halted(reason) => reason.fmt(f),
        }
    }
}

impl From<&str> for Status {
    fn from(recorded: &str) -> Status {
        match recorded {
            "" => Status::NotStarted,
            text => Status::Recorded(text.into()),
        }
    }
}
