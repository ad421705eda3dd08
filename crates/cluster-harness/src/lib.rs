//! Many processes of the real program on loopback, under fault scenarios: what they send each other is lost, delayed, repeated or
//! cut, one way or both; processes are killed, stopped, continued and started again. Scripts are those of the cluster simulation.
//!
//! Each process advertises an address at which the harness receives. The harness knows each sender by the address that its
//! datagrams come from, and delivers or drops them by the link between the two.
#![forbid(unsafe_code)]
#![allow(
    clippy::missing_panics_doc,
    reason = "the harness serves tests and trials, which fail by a panic"
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

/// A wait that long means that the test has failed; nothing is decided by it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
