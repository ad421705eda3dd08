//! The status of a rolling restart, and all its messages for operators.

use std::fmt;

/// What a rolling restart waits for, what it has just done, or why it stopped.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// No step was made yet; displayed as an empty text.
    NotStarted,
    /// The status text recorded by an earlier process.
    Recorded(String),
    /// It waits.
    Waiting(WaitReason),
    /// It has entered the current stage.
    Reached(Milestone),
    /// It has stopped.
    Halted(HaltReason),
}

/// What the current stage waits for.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WaitReason {
    /// Another engine is out.
    #[error("waits: {engine} is out too{}", if *.is_same_zone { ", in the same building" } else { "" })]
    EngineOut {
        /// The other engine.
        engine: String,
        /// Whether it is in the same zone.
        is_same_zone: bool,
    },
    /// No other engine takes work.
    #[error("waits: {0} is the last engine that takes work")]
    LastReady(String),
    /// The other engines lack the capacity for the load. Both values are shares of the total capacity.
    #[error(
        "waits: the load uses {:.0} in 100 of all engines, the others have {:.0}",
        .load * 100.0,
        .capacity * 100.0
    )]
    LoadTooHigh {
        /// Capacity in use.
        load: f64,
        /// Capacity of the other engines.
        capacity: f64,
    },
    /// The drained engine still runs queries: its name, and the number of queries.
    #[error("{0} ends what runs there: {1} queries")]
    QueriesRunning(String, usize),
    /// The drain takes long: the engine, and the number of queries that still run.
    #[error("{0} still runs {1} queries; their clients' time ends them")]
    SlowDrain(String, usize),
    /// The drained engine still runs imports: its name, and the number of imports.
    #[error("{0} still runs {1} imports: they are not sent again, so it waits")]
    ImportsRunning(String, usize),
    /// The engine is back, but not ready yet.
    #[error("{0} is not ready yet")]
    NotReady(String),
    /// The engine warms up: its name, and the remaining seconds.
    #[error("{0} gets warm: {1} s")]
    WarmingUp(String, u64),
}

/// The event that led into the current stage, with the name of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// The engine is drained.
    Drained(String),
    /// Nothing runs on the engine any more.
    HandedOver(String),
    /// The engine was restarted.
    Restarted(String),
    /// Someone lifted the drain of the engine.
    Resumed(String),
    /// The operator confirmed that the engine is back.
    Returned(String),
    /// The engine is warm.
    Warm(String),
    /// The engine has left the list.
    Skipped(String),
    /// An operator resumed the rolling restart.
    Continued,
    /// All engines are completed.
    Finished,
}

/// Why a rolling restart has stopped.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum HaltReason {
    /// An operator stopped it. The reason completes the sentence.
    #[error("The roll was stopped: {0}")]
    Operator(String),
    /// Someone lifted the drain of the current engine while it finished its queries.
    #[error("The roll stopped: {0} was resumed meanwhile")]
    Resumed(String),
    /// The service level has dropped: the served share of the requested priority weight.
    #[error(
        "The roll stopped: service is {:.0} in 100, it was {:.0} when it began",
        .now * 100.0,
        f64::from(*.before_thousandths) / 10.0
    )]
    ServiceDropped {
        /// Current service level, as a share.
        now: f64,
        /// Service level at the start, in thousandths.
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
