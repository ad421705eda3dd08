//! A rolling restart that continues in a new process, whose clock is unrelated to that of the last one. Without a restart of
//! the stage timer, an engine would count as warm too early or too late.

use driftfront_engine_registry::rolling_restart::{
    EngineSnapshot, ObservedState, RollingRestart, RollingRestartAction,
};

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// Longer than the warm-up of an engine.
const WARMED_UP: u64 = 20 * SECOND;

fn observed(is_drained: bool) -> ObservedState {
    let engine = |name: &str| EngineSnapshot {
        name: name.into(),
        is_ready: !is_drained || name != "a",
        is_drained: is_drained && name == "a",
        running_queries: 0,
        running_imports: 0,
        started_at: Some(1),
        is_reachable: true,
        zone: 0,
        capacity_share: 0.3,
    };
    ObservedState {
        engines: ["a", "b", "c"].map(engine).to_vec(),
        service_level: Some(0.9),
        load: 0.3,
    }
}

/// A rolling restart whose engine warms up, as recorded by a process at this time of its clock.
fn recorded_while_warming(now: u64) -> RollingRestart {
    let mut roll = RollingRestart::new(now, vec!["a".into()], Some(0.9));
    assert!(roll
        .step(now, &observed(false))
        .contains(&RollingRestartAction::Drain("a".into())));
    roll.step(now, &observed(true));
    roll.confirm_engine_returned(now);
    RollingRestart::from_text(&roll.to_text()).expect("well formed")
}

#[test]
fn warm_up_restarts_in_a_new_process_with_another_clock() {
    for written in [HOUR, 2 * HOUR, 3 * HOUR] {
        let now = 2 * HOUR;
        let mut roll = recorded_while_warming(written).restart_stage_timer(now);
        roll.step(now + SECOND, &observed(false));
        assert!(!roll.is_done(), "recorded at {written}: it is not warm yet");
        roll.step(now + WARMED_UP, &observed(false));
        assert!(roll.is_done(), "recorded at {written}: it is warm");
    }
}
