//! A request core with the settings of the example site, for tests of the request lifecycle.

use crate::EXAMPLE_CONFIGURATION;
use driftfront_core::{Core, EngineId, Limits, ListedEngine, Phase};
use driftfront_scheduler::Settings;
use driftfront_settings::json::{parse, Json};

/// One second in microseconds, the core's unit of time.
pub const S: u64 = 1_000_000;
/// Index of the class `lookup` of the example site.
pub const LOOKUP: u16 = 0;
/// Index of the class `member-load` of the example site.
pub const LOAD: u16 = 2;
/// Seed of the scheduler's random number generator.
const SEED: u64 = 7;

/// Limits small enough for a test to reach with a few requests.
pub const LIMITS: Limits = Limits {
    max_open_requests: 40,
    probe_timeout: 300_000,
    answer_margin: 3_000,
    max_unknown_outcomes: 0,
    max_departed_names: 64,
    max_idempotency_keys: 64,
    engines_report_attempts: true,
};

/// Returns the settings of the example site after `edit` has changed its configuration.
pub fn settings(edit: impl FnOnce(&str) -> String) -> Settings {
    let text = edit(EXAMPLE_CONFIGURATION);
    let json = parse(text.as_bytes()).expect("the example configuration is valid JSON");
    driftfront_settings::from_json(Json(Some(&json)).get("settings"))
        .expect("the example settings are valid")
}

/// Creates a core without engines.
pub fn core(settings: Settings, limits: Limits) -> Core {
    Core::new(settings, limits, SEED)
}

/// Returns an entry of an engine list.
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
