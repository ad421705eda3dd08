//! The coordinator's program, its clients, and sites: engines and lists of engines around one coordinator.

pub mod clickhouse_site;
mod cluster;
mod configuration;
pub mod engine_list;
mod http_client;
pub mod line_engine;
mod measured_process;
mod mock_server;
pub mod platform_site;
mod process;
mod process_figures;

pub use cluster::start_cluster;
pub use configuration::{appliance, file, instance};
pub use http_client::{call, get, post, read_answer, read_next, Answer};
pub use measured_process::{unused_address, MeasuredProcess};
pub use mock_server::stand_in;
pub use process::{program, Coordinator};

use std::time::Duration;

/// A wait that long means that the test has failed; nothing is decided by it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
