//! A rolling restart that continues in a new process, whose clock has nothing to do with the last one's.

use driftfront_engine_registry::rolling_restart::{
    EngineSnapshot, ObservedState, RollingRestart, RollingRestartAction,
};

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
/// Longer than an engine gets warm.
const LONG: u64 = 20 * SECOND;

fn sight(is_drained: bool) -> ObservedState {
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

/// A roll whose engine gets warm, as a process whose clock shows this time wrote it down.
fn warming(now: u64) -> RollingRestart {
    let mut roll = RollingRestart::new(now, vec!["a".into()], Some(0.9));
    assert!(roll
        .step(now, &sight(false))
        .contains(&RollingRestartAction::Drain("a".into())));
    roll.step(now, &sight(true));
    roll.confirm_engine_returned(now);
    RollingRestart::from_text(&roll.to_text()).expect("as it was written")
}

#[test]
fn warm_up_begins_again_in_a_new_process_with_another_clock() {
    for written in [HOUR, 2 * HOUR, 3 * HOUR] {
        let now = 2 * HOUR;
        let mut roll = warming(written).restart_stage_timer(now);
        roll.step(now + SECOND, &sight(false));
        assert!(!roll.is_done(), "written at {written}: it is not warm yet");
        roll.step(now + LONG, &sight(false));
        assert!(
            roll.is_done(),
            "written at {written}: it has been warm for long"
        );
    }
}
