//! Operators' commands, and the reasons for which they are refused.

use crate::order::{describe_active_order, ActiveOrder};
use crate::{EngineDescription, MAX_ENGINES, MAX_NAME_BYTES, MAX_ORDERS};

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// See [`Order::Drain`](crate::Order::Drain).
    Drain {
        /// The engine.
        engine: String,
        /// Drain it even if it is the last ready engine.
        force: bool,
    },
    /// Lifts a drain.
    Resume {
        /// The engine.
        engine: String,
    },
    /// Adds an engine that no source lists, or lifts its removal.
    Add {
        /// The description of the engine; its phase is ignored.
        description: EngineDescription,
    },
    /// See [`Order::Remove`](crate::Order::Remove).
    Remove {
        /// The engine.
        engine: String,
        /// Remove it even if it is ready.
        force: bool,
    },
}

/// Why a command is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// There is no engine of this name.
    #[error("there is no engine {engine}{}", suggestion(.nearest.as_deref()))]
    UnknownEngine {
        /// The name as given.
        engine: String,
        /// The closest known name, if there is a similar one.
        nearest: Option<String>,
    },
    /// An order for the engine is already in force.
    #[error("{engine} {}", describe_active_order(.active_order))]
    AlreadyOrdered {
        /// The engine.
        engine: String,
        /// The order.
        active_order: ActiveOrder,
    },
    /// The engine is removed, so there is no drain to lift.
    #[error("{0} was removed: add it to use it again")]
    IsRemoved(String),
    /// The engine is not drained by an order.
    #[error("{0} is not drained by an operator")]
    NotDrained(String),
    /// The engine was already added with the same description.
    #[error("{0} is there already")]
    AlreadyAdded(String),
    /// The engine is already removed.
    #[error("{0} was removed before")]
    AlreadyRemoved(String),
    /// It is the last ready engine.
    #[error(
        "{0} is the last engine that takes work: without it every request is refused. \
         Repeat the command with --force if that is what you want"
    )]
    LastReady(String),
    /// The engine is still ready.
    #[error("{0} still takes work: drain it first, or repeat the command with --force")]
    StillReady(String),
    /// The name is empty, too long, or contains control characters.
    #[error("an engine's name has 1 to {MAX_NAME_BYTES} plain characters")]
    InvalidName,
    /// A source lists an engine without an address, and no earlier address is known.
    #[error("{0}: no usable address")]
    NoAddress(String),
    /// An operator adds an unknown engine without an address.
    #[error("{0}: an address is required")]
    AddressRequired(String),
    /// The limit on engines or orders is reached.
    #[error("the limit of {MAX_ENGINES} engines or {MAX_ORDERS} orders is reached")]
    TooMany,
}

fn suggestion(nearest: Option<&str>) -> String {
    nearest.map_or(String::new(), |name| format!("; did you mean {name}?"))
}
