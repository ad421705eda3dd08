//! Steps of the wall clock while the program runs, by seconds and by an hour, forward and back. All durations must come from the
//! monotonic clock. The program runs on loopback with the fault-injection library preloaded.

mod budget;
mod spans;

use driftfront_cluster_harness::wall_clock::WallClock;
use driftfront_mock_servers::request_log::Budget;
use driftfront_test_support::coordinator::platform_site::Site;
use driftfront_test_support::coordinator::Coordinator;
use std::path::Path;
use std::time::{Duration, Instant};

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;

/// Starts a site whose coordinator has its own wall clock. The retry budget allows `free` retries per `window`, plus a tenth of the
/// requests.
fn site(engines: usize, free: f64, window: Duration) -> (Site, WallClock, Budget) {
    let clock = WallClock::new(Path::new(env!("CARGO_BIN_EXE_driftfront")));
    let budget = Budget {
        free,
        ratio: 0.1,
        window,
    };
    let site = Site::start_with(engines, |config| {
        Coordinator::with_wall_clock(&with_budget(&config, &budget), &clock)
    });
    (site, clock, budget)
}

fn with_budget(config: &str, budget: &Budget) -> String {
    config
        .replace(
            "\"MinExtra\": 5.0",
            &format!("\"MinExtra\": {}", budget.free),
        )
        .replace(
            "\"ExtraWindowUs\": 10000000",
            &format!("\"ExtraWindowUs\": {}", budget.window.as_micros()),
        )
}

/// Sends a request, waits for its response and returns when the request was sent.
fn ask(site: &Site, statement: &str) -> Instant {
    let sent_at = Instant::now();
    site.request("report", 10_000, statement);
    sent_at
}
