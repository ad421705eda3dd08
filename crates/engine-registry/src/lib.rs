//! Which engines exist, where they listen, and in which phase they are.
//!
//! A *source* (the platform's stream, etcd, a file) lists engines with their descriptions. An operator adds engines and
//! gives orders about them. An order holds until an operator lifts it, whatever sources say meanwhile, and outlives a restart
//! of the program by [`record`]s that the host writes to a file. Nothing in this crate does I/O or reads a clock.
//!
//! | property | who is believed |
//! | --- | --- |
//! | phase | an operator's `drain` or `remove`; else the source; else an engine that an operator added is ready |
//! | address, zone, kind, start | the source, while it lists the engine; else what the operator said when adding it |
//! | that an engine is gone | the source, unless an operator added the engine |
//!
//! [`EngineRegistry`] holds the engines. Each of its changes yields a [`RegistryChange`]: the lines that the scheduler has to
//! hear, in its own terms. [`rolling_restart`] takes engines out one after another; [`handover`] is how two processes of one
//! coordinator agree on orders during an upgrade.
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
