//! Runs the coordinator as a process, with clients, mock engines and engine lists.

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
mod process_usage;

pub use cluster::start_cluster;
pub use configuration::{example_configuration, instance, write_temp_file};
pub use http_client::{call, get, post, read_next_response, read_response, Response};
pub use measured_process::{unused_address, MeasuredProcess};
pub use mock_server::start_mock_server;
pub use process::{program, Coordinator};

use std::time::{Duration, Instant};

/// How long tests wait for a condition before they fail. No behavior under test depends on it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Polling interval. Without a pause, polling tests would take processor time from the program under test.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Polls until `is_done` returns true. Panics with `failure` after [`TEST_TIMEOUT`].
pub fn poll_until(mut is_done: impl FnMut() -> bool, failure: impl Fn() -> String) {
    let started = Instant::now();
    while !is_done() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{}", failure());
        std::thread::sleep(POLL_INTERVAL);
    }
}
