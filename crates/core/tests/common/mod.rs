//! A core on the example's settings, for all tests of it.
#![allow(dead_code, reason = "not each test file uses all of it")]

use driftfront_core::{Core, EngineId, Limits, ListedEngine, Phase};
use driftfront_scheduler::Settings;
use driftfront_settings::json::{parse, Json};

pub(crate) const S: u64 = 1_000_000;
/// Classes of the example.
pub(crate) const LOOKUP: u16 = 0;
pub(crate) const LOAD: u16 = 2;

pub(crate) const LIMITS: Limits = Limits {
    max_open_requests: 40,
    probe_timeout: 300_000,
    answer_margin: 3_000,
    max_unknown_outcomes: 0,
    max_idempotency_keys: 64,
    engines_report_attempts: true,
};

/// The example's settings, with another text in places.
pub(crate) fn settings(edit: impl FnOnce(&str) -> String) -> Settings {
    let text = edit(include_str!("../../../coordinator/tests/common/site.json"));
    let json = parse(text.as_bytes()).expect("the example is JSON");
    driftfront_settings::from_json(Json(Some(&json)).get("settings")).expect("settings")
}

pub(crate) fn core(settings: Settings, limits: Limits) -> Core {
    Core::new(settings, limits, 7)
}

/// An engine's line of a list.
pub(crate) fn listed(engine: u64, phase: Phase) -> ListedEngine {
    ListedEngine {
        engine: EngineId(engine),
        zone: 0,
        kind: 0,
        cell: 0,
        phase,
        started_at: None,
    }
}
