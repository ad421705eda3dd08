//! Engines suspended and restored by name, independently of the lists of sources.

use driftfront_engine_registry::{EngineDescription, EngineRegistry, Refusal, MAX_KNOWN_NAMES};
use driftfront_scheduler::{ListKind, Phase};
use quickcheck::{Gen, QuickCheck};

fn description(name: &str, phase: Phase, started_at: Option<u64>) -> EngineDescription {
    let addr = "127.0.0.1:1000".parse().ok();
    EngineDescription {
        name: name.into(),
        addr,
        zone: 0,
        kind: 0,
        cell: 0,
        started_at,
        phase,
    }
}

#[test]
fn restored_engine_counts_as_just_started_unless_listed_later() {
    let mut registry = EngineRegistry::new();
    registry.apply_listing(
        ListKind::Full,
        vec![
            description("a", Phase::Ready, None),
            description("b", Phase::Ready, None),
        ],
    );
    assert!(registry.suspend_engine(10, "x", "a").unwrap().is_some());
    assert!(registry.suspend_engine(11, "x", "a").unwrap().is_none());
    let (change, _) = registry
        .restore_engine(20, "x", "a")
        .unwrap()
        .expect("a change");
    assert_eq!(
        (change.engines[0].phase, change.engines[0].started_at),
        (Phase::Ready, Some(20))
    );
    assert!(registry.restore_engine(21, "x", "a").unwrap().is_none());
    // The list reports late that the engine was restarted while it was suspended, and then another restart.
    assert!(registry
        .apply_listing(
            ListKind::Changes,
            vec![description("a", Phase::Ready, Some(15))]
        )
        .engines
        .is_empty());
    let change = registry.apply_listing(
        ListKind::Changes,
        vec![description("a", Phase::Ready, Some(30))],
    );
    assert_eq!(change.engines[0].started_at, Some(30));
}

#[test]
fn departed_engine_can_be_drained_and_an_unknown_one_cannot() {
    let mut registry = EngineRegistry::new();
    let change = registry.apply_listing(ListKind::Full, vec![description("a", Phase::Ready, None)]);
    registry.apply_listing(ListKind::Changes, vec![description("a", Phase::Gone, None)]);
    registry.forget_engine(change.engines[0].engine);
    assert!(matches!(
        registry.suspend_engine(1, "x", "aa"),
        Err(Refusal::UnknownEngine { .. })
    ));
    assert!(matches!(
        registry.restore_engine(1, "x", "aa"),
        Err(Refusal::UnknownEngine { .. })
    ));
    assert!(registry.suspend_engine(1, "x", "a").is_ok() && registry.orders().contains_key("a"));
    let back = registry.apply_listing(
        ListKind::Changes,
        vec![description("a", Phase::Ready, Some(5))],
    );
    assert_eq!(back.engines[0].phase, Phase::Draining);
    // The number of remembered names is bounded; the most recent ones are kept.
    for n in 0..MAX_KNOWN_NAMES {
        let name = format!("n{n}");
        let line = registry
            .apply_listing(
                ListKind::Changes,
                vec![description(&name, Phase::Ready, None)],
            )
            .engines[0];
        registry.apply_listing(
            ListKind::Changes,
            vec![description(&name, Phase::Gone, None)],
        );
        registry.forget_engine(line.engine);
    }
    assert!(registry.restore_engine(1, "x", "n9").is_ok());
    assert!(
        registry
            .apply_listing(
                ListKind::Changes,
                vec![description("z", Phase::Ready, None)]
            )
            .engines
            .len()
            == 1
    );
    assert!(registry.restore_engine(1, "x", "n0").is_err());
}

/// Two processes get random orders and exchange their states in any order. Once both have received everything, both agree,
/// and the last order for each engine is in force.
fn processes_agree(steps: Vec<(u8, u8, bool)>) -> bool {
    processes_agree_with_offsets(steps, [0, 0])
}

/// The same with clocks that differ by an hour in either direction, as after the wall clock was set between their starts.
fn processes_agree_with_clock_skew(steps: Vec<(u8, u8, bool)>) -> bool {
    const HOUR: u64 = 3_600_000_000;
    processes_agree_with_offsets(steps.clone(), [HOUR, 0])
        && processes_agree_with_offsets(steps, [0, HOUR])
}

fn processes_agree_with_offsets(steps: Vec<(u8, u8, bool)>, clock_offsets: [u64; 2]) -> bool {
    let engines = || {
        (0..3)
            .map(|n| description(&format!("e{n}"), Phase::Ready, None))
            .collect::<Vec<_>>()
    };
    let mut processes = [EngineRegistry::new(), EngineRegistry::new()];
    processes
        .iter_mut()
        .for_each(|r| drop(r.apply_listing(ListKind::Full, engines())));
    let mut last = [Phase::Ready; 3];
    for (now, (operation, engine, which)) in steps.into_iter().enumerate() {
        let (n, which) = (usize::from(engine % 3), usize::from(which));
        let now = now as u64 + 1 + clock_offsets[which];
        let name = format!("e{n}");
        match operation % 4 {
            0 => {
                last[n] = if processes[which].suspend_engine(now, "x", &name).is_ok() {
                    Phase::Draining
                } else {
                    return false;
                }
            }
            1 => {
                last[n] = if processes[which].restore_engine(now, "x", &name).is_ok() {
                    Phase::Ready
                } else {
                    return false;
                }
            }
            _ => {}
        }
        // Like the hosts, exchange states after every order. Receiving a state twice or late must change nothing.
        let state = processes[which].handover_state(true);
        let before = processes[1 - which].handover_state(true);
        drop(processes[1 - which].merge_handover(&state));
        drop(processes[which].merge_handover(&before));
    }
    let phases = |r: &EngineRegistry| r.engines().iter().map(|e| e.phase).collect::<Vec<_>>();
    phases(&processes[0]) == last && phases(&processes[1]) == last
}

#[test]
fn orders_given_to_either_of_two_processes_hold_in_both() {
    let mut check = QuickCheck::new()
        .tests(5_000)
        .rng(Gen::from_size_and_seed(40, 18));
    check.quickcheck(processes_agree as fn(Vec<(u8, u8, bool)>) -> bool);
    check.quickcheck(processes_agree_with_clock_skew as fn(Vec<(u8, u8, bool)>) -> bool);
}
