//! Runs a cluster of real processes on loopback under fault scenarios. Datagrams and connections between them can be lost,
//! delayed, duplicated, throttled or blocked in one or both directions, and processes can be killed, suspended, resumed and
//! restarted. Scripts have the format of the cluster simulation.
//!
//! Each process advertises an address on which the harness listens. The harness identifies the sender of a datagram by its
//! source address, and delivers or drops the datagram according to the link between sender and receiver.
#![forbid(unsafe_code)]
#![allow(
    clippy::missing_panics_doc,
    reason = "the harness is used by tests, which fail by panicking"
)]

mod event_log;
mod harness;
pub mod load;
pub mod net;
pub mod process;
mod process_log;
mod request_error;
pub mod soak;
pub mod tcp_proxy;
pub mod wall_clock;

pub use driftfront_cluster_simulation::world::{member_name, KEY};
pub use driftfront_cluster_simulation::{FaultAction, Group, Link, Script, TimedAction};
pub use driftfront_control::snapshot::{Consensus, Member};
pub use driftfront_control::Request;
pub use event_log::EventLog;
pub use harness::{ClusterHarness, EngineEndpoint};
pub use net::Net;
pub use process::Process;
pub use request_error::RequestError;
pub use tcp_proxy::TcpProxy;

use std::time::Duration;

/// How long tests wait for a condition before they fail. No behavior under test depends on it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
