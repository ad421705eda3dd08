//! A core on the settings of the example site, for the tests of the request lifecycle.

use crate::EXAMPLE_CONFIGURATION;
use driftfront_core::{Core, EngineId, Limits, ListedEngine, Phase};
use driftfront_scheduler::Settings;
use driftfront_settings::json::{parse, Json};

/// A second in the core's unit, microseconds.
pub const S: u64 = 1_000_000;
/// The class `lookup` of the example.
pub const LOOKUP: u16 = 0;
/// The class `member-load` of the example.
pub const LOAD: u16 = 2;
/// Seed of the scheduler's random numbers.
const SEED: u64 = 7;

/// Bounds that a test reaches with a few requests.
pub const LIMITS: Limits = Limits {
    max_open_requests: 40,
    probe_timeout: 300_000,
    answer_margin: 3_000,
    max_unknown_outcomes: 0,
    max_idempotency_keys: 64,
    engines_report_attempts: true,
};

/// The example's settings, after `edit` has changed the text of the example's configuration.
pub fn settings(edit: impl FnOnce(&str) -> String) -> Settings {
    let text = edit(EXAMPLE_CONFIGURATION);
    let json = parse(text.as_bytes()).expect("the example is JSON");
    driftfront_settings::from_json(Json(Some(&json)).get("settings")).expect("settings")
}

/// A core without engines.
pub fn core(settings: Settings, limits: Limits) -> Core {
    Core::new(settings, limits, SEED)
}

/// An engine's line of a list.
pub fn listed(engine: u64, phase: Phase) -> ListedEngine {
    ListedEngine {
        engine: EngineId(engine),
        zone: 0,
        kind: 0,
        cell: 0,
        phase,
        started_at: None,
    }
}
