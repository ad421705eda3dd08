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
pub use configuration::{example_configuration, instance, write_temp_file};
pub use http_client::{call, get, post, read_next_response, read_response, Response};
pub use measured_process::{unused_address, MeasuredProcess};
pub use mock_server::start_mock_server;
pub use process::{program, Coordinator};

use std::time::{Duration, Instant};

/// A wait that long means that the test has failed; nothing is decided by it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks at something that gives no notice of its changes: without it, tests would take the processor from the
/// program.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Polls until `is_done`; fails behind [`TEST_TIMEOUT`].
pub fn poll_until(mut is_done: impl FnMut() -> bool, failure: impl Fn() -> String) {
    let started = Instant::now();
    while !is_done() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{}", failure());
        std::thread::sleep(POLL_INTERVAL);
    }
}
