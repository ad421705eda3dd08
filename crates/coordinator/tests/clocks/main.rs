//! Wall clocks that are set while the program runs, by seconds and by an hour, forwards and back: every span that it keeps is one
//! of a clock that nobody sets. The program runs on loopback with the fault shim preloaded.

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

/// A site whose coordinator lives by a wall clock of its own. `window`: of the retry budget.
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

/// Hands in a request and waits for its answer; when it was handed in.
fn ask(site: &Site, statement: &str) -> Instant {
    let at = Instant::now();
    site.request("report", 10_000, statement);
    at
}
