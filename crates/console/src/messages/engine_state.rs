//! The displayed state of an engine.

use super::units::{capitalized, counted};
use driftfront_control::snapshot::Engine;

/// Time without any message from an engine that runs queries, in milliseconds, after which it is considered silent.
pub const SILENT_MILLIS: u64 = 3_000;

/// Whether an engine runs queries but sends nothing.
pub fn is_silent(engine: &Engine) -> bool {
    engine.running > 0 && engine.heard_ms.is_some_and(|ms| ms >= SILENT_MILLIS)
}

/// The state of an engine, in a few words.
pub fn engine_state(engine: &Engine) -> String {
    let is_ordered = !engine.order.is_empty();
    let state = match (engine.phase.as_str(), engine.running) {
        _ if is_silent(engine) => "silent",
        ("gone", _) if engine.order == "remove" => "removed",
        ("gone", _) => "gone",
        ("draining", 0) if is_ordered => "drained",
        ("draining", 0) => "drained by its source",
        ("draining", _) => "draining",
        _ if engine.warm_in_s > 0 => "getting warm",
        _ => "ready",
    };
    state.into()
}

/// A sentence, with a leading space, about what runs on an engine; empty if nothing does.
pub(super) fn running_sentence(engine: &Engine) -> String {
    let queries = engine.running.saturating_sub(engine.imports);
    let queries_run = |queries| capitalized(&counted(queries, "query runs", "queries run"));
    let imports = capitalized(&counted(engine.imports, "import", "imports"));
    let imports_run = match engine.imports {
        1 => format!("{imports} runs there; it will not be sent again."),
        _ => format!("{imports} run there; they will not be sent again."),
    };
    match (engine.imports, queries) {
        (0, 0) => String::new(),
        (0, queries) => format!(" {} there.", queries_run(queries)),
        (_, 0) => format!(" {imports_run}"),
        (_, queries) => format!(" {imports_run} {} too.", queries_run(queries)),
    }
}
