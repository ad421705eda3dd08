//! The registry of engines: which exist, which addresses they listen on, and which phase each is in.
//!
//! A *source* (the platform's stream, etcd, a file) lists engines with their descriptions. An operator adds engines and
//! gives orders about them. An order stays in force until an operator lifts it, regardless of what sources list, and survives
//! a restart of the program through [`record`]s that the host stores in a file. This crate does no I/O and reads no clock.
//!
//! | property | which source takes precedence |
//! | --- | --- |
//! | phase | an operator's `drain` or `remove`, then the source; an engine known only from an operator is ready |
//! | address, zone, kind, start time | the source while it lists the engine, then the operator who added it |
//! | whether the engine is gone | the source, unless an operator added the engine |
//!
//! [`EngineRegistry`] holds the engines. Each operation on it returns a [`RegistryChange`] with the update for the scheduler.
//! [`rolling_restart`] restarts engines one at a time; [`handover`] lets two processes of one coordinator agree on orders
//! during an upgrade.
#![forbid(unsafe_code)]

mod change;
mod command;
mod description;
pub mod handover;
mod known_names;
mod name;
mod order;
pub mod record;
mod registry;
pub mod rolling_restart;

pub use change::{phase_name, RegistryChange, RegistryUpdate};
pub use command::{Command, Refusal};
pub use description::EngineDescription;
pub use known_names::MAX_KNOWN_NAMES;
pub use name::{edit_distance, fnv1a_64, MAX_NAME_BYTES};
pub use order::{describe_active_order, ActiveOrder, Order, MAX_ORDERS};
pub use registry::{EngineRegistry, EngineState, MAX_ENGINES};

/// Time in microseconds.
pub type Micros = u64;
