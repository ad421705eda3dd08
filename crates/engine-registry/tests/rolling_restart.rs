//! The rolling restart: its stages, wait conditions and stop conditions.

use driftfront_engine_registry::rolling_restart::{
    EngineSnapshot, ObservedState, RollingRestart, RollingRestartAction, Stage,
};

const STAGES: [Stage; 6] = [
    Stage::Next,
    Stage::Draining,
    Stage::HandedOver,
    Stage::WarmingUp,
    Stage::Stopped,
    Stage::Done,
];

const SECOND: u64 = 1_000_000;

fn engine(name: &str, zone: u16) -> EngineSnapshot {
    EngineSnapshot {
        name: name.into(),
        is_ready: true,
        is_drained: false,
        running_queries: 0,
        running_imports: 0,
        started_at: Some(1),
        is_reachable: true,
        zone,
        capacity_share: 0.25,
    }
}

fn observed() -> ObservedState {
    let engines = vec![
        engine("a", 0),
        engine("b", 0),
        engine("c", 1),
        engine("d", 1),
    ];
    ObservedState {
        engines,
        service_level: Some(0.95),
        load: 0.4,
    }
}

fn apply(observed: &mut ObservedState, actions: &[RollingRestartAction]) {
    for action in actions {
        let (RollingRestartAction::Drain(name) | RollingRestartAction::Resume(name)) = action
        else {
            continue;
        };
        let engine = observed
            .engines
            .iter_mut()
            .find(|e| e.name == *name)
            .expect("known");
        let is_drained = matches!(action, RollingRestartAction::Drain(_));
        (engine.is_drained, engine.is_ready) = (is_drained, !is_drained);
    }
}

fn set(observed: &mut ObservedState, name: &str, change: impl FnOnce(&mut EngineSnapshot)) {
    change(
        observed
            .engines
            .iter_mut()
            .find(|e| e.name == name)
            .expect("known"),
    );
}

#[test]
fn engines_are_restarted_one_at_a_time() {
    let mut observed = self::observed();
    let mut roll = RollingRestart::new(0, vec!["a".into(), "b".into()], observed.service_level);
    set(&mut observed, "a", |e| {
        (e.running_queries, e.running_imports) = (3, 1)
    });
    let actions = roll.step(SECOND, &observed);
    assert!(actions.contains(&RollingRestartAction::Drain("a".into())));
    apply(&mut observed, &actions);
    roll.step(2 * SECOND, &observed);
    assert!(roll.stage == Stage::Draining && roll.status.to_string().contains("1 imports"));
    set(&mut observed, "a", |e| {
        (e.running_queries, e.running_imports) = (0, 0)
    });
    roll.step(3 * SECOND, &observed);
    assert_eq!(roll.stage, Stage::HandedOver);
    // The operator restarts it; the next engine waits until it is warm.
    set(&mut observed, "a", |e| e.started_at = Some(9));
    let actions = roll.step(9 * SECOND, &observed);
    assert!(actions.contains(&RollingRestartAction::Resume("a".into())));
    apply(&mut observed, &actions);
    assert!(roll.step(20 * SECOND, &observed).is_empty());
    roll.step(25 * SECOND, &observed);
    assert_eq!((roll.current(), roll.stage), (Some("b"), Stage::Next));
    let actions = roll.step(26 * SECOND, &observed);
    apply(&mut observed, &actions);
    roll.step(27 * SECOND, &observed);
    let actions = roll.confirm_engine_returned(28 * SECOND);
    apply(&mut observed, &actions);
    roll.step(60 * SECOND, &observed);
    assert!(roll.is_done() && roll.completed == ["a", "b"]);
}

#[test]
fn it_waits_while_another_engine_is_out_or_capacity_is_insufficient() {
    let mut roll = RollingRestart::new(0, vec!["a".into()], Some(0.95));
    let mut busy = observed();
    busy.load = 0.7;
    assert!(
        roll.step(SECOND, &busy).is_empty()
            && roll.status.to_string().contains("the others have 75")
    );
    let mut out = observed();
    set(&mut out, "b", |e| e.is_drained = true);
    assert!(
        roll.step(2 * SECOND, &out).is_empty() && roll.status.to_string().contains("same building")
    );
    let alone = ObservedState {
        engines: vec![engine("a", 0)],
        ..observed()
    };
    assert!(
        roll.step(3 * SECOND, &alone).is_empty() && roll.status.to_string().contains("last engine")
    );
    assert!(roll.plan(&alone)[0].contains("last engine"));
    assert_eq!(roll.step(4 * SECOND, &observed()).len(), 3);
}

#[test]
fn it_stops_on_a_service_drop_or_a_lifted_drain_and_resumes() {
    let mut observed = self::observed();
    let mut roll = RollingRestart::new(0, vec!["a".into()], observed.service_level);
    let actions = roll.step(SECOND, &observed);
    apply(&mut observed, &actions);
    observed.service_level = Some(0.8);
    roll.step(2 * SECOND, &observed);
    assert!(roll.stage == Stage::Stopped && roll.status.to_string().contains("80 in 100"));
    assert!(roll.step(9 * SECOND, &observed).is_empty());
    roll.resume(10 * SECOND, &observed);
    assert_eq!(roll.stage, Stage::Draining);
    set(&mut observed, "a", |e| {
        (e.is_drained, e.is_ready) = (false, true)
    });
    roll.step(11 * SECOND, &observed);
    assert!(roll.stage == Stage::Stopped && roll.status.to_string().contains("resumed"));
}

#[test]
fn clock_set_back_only_prolongs_the_wait() {
    let mut observed = self::observed();
    let mut roll = RollingRestart::new(100 * SECOND, vec!["a".into()], observed.service_level);
    let actions = roll.step(101 * SECOND, &observed);
    apply(&mut observed, &actions);
    roll.step(SECOND, &observed);
    let actions = roll.confirm_engine_returned(2 * SECOND);
    apply(&mut observed, &actions);
    assert!(roll.step(SECOND, &observed).is_empty() && roll.stage == Stage::WarmingUp);
    roll.step(30 * SECOND, &observed);
    assert!(roll.is_done());
}

#[test]
fn text_round_trips_at_every_stage() {
    for stage in STAGES {
        let roll = RollingRestart {
            stage,
            started_at: Some(3),
            status: "w\tx".into(),
            ..RollingRestart::new(7, vec!["a".into()], None)
        };
        let back = RollingRestart::from_text(&roll.to_text()).expect("well formed");
        assert_eq!(
            (back.stage, back.remaining.clone(), back.started_at),
            (stage, roll.remaining.clone(), Some(3))
        );
    }
    assert_eq!(RollingRestart::from_text("nonsense"), None);
}
