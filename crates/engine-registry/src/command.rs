//! Operators' commands, and why one is refused.

use crate::order::{describe_active_order, ActiveOrder};
use crate::{EngineDescription, MAX_ENGINES, MAX_NAME_BYTES, MAX_ORDERS};

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// See [`Order::Drain`](crate::Order::Drain).
    Drain {
        /// The engine.
        engine: String,
        /// Also the last engine that is ready.
        force: bool,
    },
    /// Lifts a drain.
    Resume {
        /// The engine.
        engine: String,
    },
    /// Adds an engine that no source lists, or lifts its removal.
    Add {
        /// What is known of it; its phase is ignored.
        description: EngineDescription,
    },
    /// See [`Order::Remove`](crate::Order::Remove).
    Remove {
        /// The engine.
        engine: String,
        /// Also while it is ready.
        force: bool,
    },
}

/// Why a command is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// There is no engine of this name.
    #[error("there is no engine {engine}{}", suggestion(.nearest.as_deref()))]
    UnknownEngine {
        /// The name as it was given.
        engine: String,
        /// The known name that may be meant, if one is near.
        nearest: Option<String>,
    },
    /// An order about the engine holds already.
    #[error("{engine} {}", describe_active_order(.active_order))]
    AlreadyOrdered {
        /// The engine.
        engine: String,
        /// The order.
        active_order: ActiveOrder,
    },
    /// The engine was removed, so that there is no drain to lift.
    #[error("{0} was removed: add it to use it again")]
    IsRemoved(String),
    /// No drain of the engine holds.
    #[error("{0} is not drained by an operator")]
    NotDrained(String),
    /// The engine was added before, just as described now.
    #[error("{0} is there already")]
    AlreadyAdded(String),
    /// The engine was removed before.
    #[error("{0} was removed before")]
    AlreadyRemoved(String),
    /// It is the last engine that takes work.
    #[error(
        "{0} is the last engine that takes work: without it every request is refused. \
         Repeat the command with --force if that is what you want"
    )]
    LastReady(String),
    /// It still takes work.
    #[error("{0} still takes work: drain it first, or repeat the command with --force")]
    StillReady(String),
    /// The name can't be used.
    #[error("an engine's name has 1 to {MAX_NAME_BYTES} plain characters")]
    InvalidName,
    /// A source lists an engine without an address, and none is known.
    #[error("{0}: no usable address")]
    NoAddress(String),
    /// An operator adds an unknown engine without an address.
    #[error("{0}: say where it listens")]
    AddressRequired(String),
    /// There are too many engines or orders.
    #[error("there are too many engines ({MAX_ENGINES}) or orders ({MAX_ORDERS})")]
    TooMany,
}

fn suggestion(nearest: Option<&str>) -> String {
    nearest.map_or(String::new(), |name| format!("; did you mean {name}?"))
}
