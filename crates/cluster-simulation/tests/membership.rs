//! Membership under faults in the simulation. Time limits are in virtual time, so that the tests are deterministic.

use driftfront_cluster::MemberStatus;
use driftfront_cluster_simulation::{fault_scenario, Script, World};

const S: u64 = 1_000_000;

fn world(script: &str) -> World {
    World::new(Script::read(script).expect("a script"))
}

fn all(n: u32) -> Vec<u32> {
    (0..n).collect()
}

/// Counts how often a member declared another one down, except for the members of `except`.
fn false_positives(world: &World, except: &[u32]) -> usize {
    let is_false = |s: &&driftfront_cluster_simulation::world::ViewChange| {
        s.status == MemberStatus::Down && !except.contains(&s.subject)
    };
    world.view_changes.iter().filter(is_false).count()
}

#[test]
fn members_that_start_together_discover_each_other() {
    let mut w = world("members 24 zones=3");
    assert!(
        w.play(5 * S, |w| w.all_see_exactly(&all(24))),
        "not within five seconds"
    );
}

#[test]
fn three_failures_of_eight_are_detected_by_all_in_time() {
    for seed in 1..=20 {
        let mut w = world(&format!(
            "members 8\nseed {seed}\nat \"10 s\" {{ kill \"m1\" \"m4\" \"m6\" }}"
        ));
        assert!(w.play(10 * S, |w| w.all_see_exactly(&all(8))));
        assert!(
            w.play(16 * S, |w| w.time() > 10 * S
                && w.all_see_exactly(&[0, 2, 3, 5, 7])),
            "seed {seed}"
        );
        assert_eq!(false_positives(&w, &[1, 4, 6]), 0, "seed {seed}");
    }
}

#[test]
fn halves_of_a_partition_merge_after_it_heals() {
    for seed in 1..=5 {
        let script = "at \"5 s\" { cut \"m0\" \"m1\" \"m2\" \"m3\" }\nat \"15 s\" { heal }";
        let mut w = world(&format!("members 8\nseed {seed}\n{script}"));
        assert!(w.play(5 * S, |w| w.all_see_exactly(&all(8))));
        let are_partitioned = |w: &World| {
            let sees = |by: u32, of: u32| w.status(by, of) != Some(MemberStatus::Down);
            (0..8).all(|by| (0..8).all(|of| by == of || sees(by, of) == ((by < 4) == (of < 4))))
        };
        assert!(
            w.play(15 * S, are_partitioned),
            "seed {seed}: the halves did not detect the partition"
        );
        assert!(
            w.play(26 * S, |w| w.time() > 15 * S && w.all_see_exactly(&all(8))),
            "seed {seed}: the halves did not merge"
        );
    }
}

#[test]
fn member_with_blocked_outgoing_traffic_is_down_until_the_cut_heals() {
    let mut w =
        world("members 8\nseed 3\nat \"5 s\" { cut \"m2\" ways=\"out\" }\nat \"20 s\" { heal }");
    assert!(w.play(5 * S, |w| w.all_see_exactly(&all(8))));
    let is_down = |w: &World| {
        (0..8)
            .filter(|&m| m != 2)
            .all(|m| w.status(m, 2) == Some(MemberStatus::Down))
    };
    assert!(w.play(12 * S, is_down));
    // No other member is declared down because of it.
    w.play(20 * S, |_| false);
    assert_eq!(
        w.view_changes
            .iter()
            .filter(|s| s.observer != 2 && s.subject != 2 && s.status == MemberStatus::Down)
            .count(),
        0
    );
    assert!(w.play(32 * S, |w| w.time() > 20 * S && w.all_see_exactly(&all(8))));
}

#[test]
fn resumed_process_declares_nobody_down() {
    for seed in 1..=10 {
        let mut w = world(&format!(
            "members 8\nseed {seed}\nat \"5 s\" {{ stop \"m3\" }}\nat \"13 s\" {{ wake \"m3\" }}"
        ));
        assert!(w.play(5 * S, |w| w.all_see_exactly(&all(8))));
        w.play(13 * S, |_| false);
        assert_eq!(w.status(0, 3), Some(MemberStatus::Down));
        assert!(
            w.play(24 * S, |w| w.time() > 13 * S && w.all_see_exactly(&all(8))),
            "seed {seed}"
        );
        assert_eq!(
            w.view_changes
                .iter()
                .filter(|s| s.observer == 3 && s.status == MemberStatus::Down)
                .count(),
            0,
            "seed {seed}"
        );
    }
}

#[test]
fn clock_step_of_an_hour_causes_no_false_positive() {
    for by in ["3600 s", "-900 s"] {
        let mut w = world(&format!(
            "members 8\nat \"5 s\" {{ clock \"m3\" by=\"{by}\" }}"
        ));
        assert!(w.play(5 * S, |w| w.all_see_exactly(&all(8))));
        w.play(20 * S, |_| false);
        assert!(
            w.all_see_exactly(&all(8)) && false_positives(&w, &[]) == 0,
            "{by}"
        );
    }
}

#[test]
fn members_wait_for_a_seed_and_then_discover_each_other() {
    let mut w = world("members 8\nkill \"m0\" \"m1\" \"m2\"\nat \"10 s\" { start \"m1\" }");
    w.play(9 * S, |_| false);
    assert!((3..8).all(|m| w.status(m, 7 - m % 2).is_none() || m == 7 - m % 2));
    assert!(w.play(18 * S, |w| w.time() > 10 * S
        && w.all_see_exactly(&[1, 3, 4, 5, 6, 7])));
}

#[test]
fn restarted_member_keeps_its_name() {
    let mut w = world("members 8\nat \"5 s\" { kill \"m3\" }\nat \"5500 ms\" { start \"m3\" }\nat \"12 s\" { kill \"m4\" }\nat \"20 s\" { start \"m4\" }");
    assert!(w.play(5 * S, |w| w.all_see_exactly(&all(8))));
    w.play(12 * S, |_| false);
    assert!(w.all_see_exactly(&all(8)));
    assert!(w.play(30 * S, |w| w.time() > 20 * S && w.all_see_exactly(&all(8))));
    assert_eq!(false_positives(&w, &[3, 4]), 0);
}

#[test]
fn member_that_leaves_is_down_at_once() {
    let mut w = world("members 8\nat \"5 s\" { leave \"m3\" }");
    assert!(w.play(5 * S, |w| w.all_see_exactly(&all(8))));
    assert!(w.play(5 * S + 700_000, |w| w.time() > 5 * S
        && w.all_see_exactly(&[0, 1, 2, 4, 5, 6, 7])));
}

#[test]
fn failure_is_detected_without_lasting_false_positives_at_30_percent_loss() {
    let mut w = world("members 16\nseed 5\nlink \"all\" \"all\" loss=0.3 repeat=0.1 delay=\"2 ms\" jitter=\"20 ms\"\nat \"20 s\" { kill \"m9\" }");
    assert!(w.play(10 * S, |w| w.all_see_exactly(&all(16))));
    let rest: Vec<u32> = (0..16).filter(|&m| m != 9).collect();
    assert!(w.play(28 * S, |w| w.time() > 20 * S && w.all_see_exactly(&rest)));
    // Duplicated datagrams were accepted only once.
    assert!((0..8).all(|m| w.counters(m).replayed > 0));
}

#[test]
fn record_reaches_all_and_is_marked_unreachable_when_its_owner_is_down() {
    let mut w = world(
        "members 12\nseed 2\nat \"5 s\" { cut \"m11\" }\nat \"12 s\" { heal }\nat \"30 s\" { kill \"m0\" }",
    );
    assert!(w.play(5 * S, |w| w.all_see_exactly(&all(12))));
    w.play(6 * S, |_| false);
    assert!(w
        .agent(0)
        .unwrap()
        .publish(9, b"published during a partition"));
    w.play(9 * S, |_| false);
    for m in 1..11 {
        assert!(w.agent(m).unwrap().record("m0", 9).is_some(), "m{m}");
    }
    assert!(w.agent(11).unwrap().record("m0", 9).is_none());
    w.play(29 * S, |_| false);
    let agent = w.agent(11).unwrap();
    let record = agent
        .record("m0", 9)
        .expect("anti-entropy repairs what gossip missed");
    assert!(
        record.reachable && record.age >= 20 * S && record.age < 25 * S,
        "{record:?}"
    );
    w.play(36 * S, |_| false);
    assert!(!w.agent(11).unwrap().record("m0", 9).unwrap().reachable);
}

#[test]
fn same_script_and_seed_send_the_same_bytes() {
    let script = "members 40 zones=4\nseed 11\nlink \"z0\" \"z1\" loss=0.2 jitter=\"30 ms\"\nat \"3 s\" { kill \"m7\" }\nat \"4 s\" { cut \"z2\" }\nat \"8 s\" { heal }";
    let run = || {
        let mut w = world(script);
        w.play(12 * S, |_| false);
        (w.trace, w.view_changes.len())
    };
    assert_eq!(run(), run());
    let other = script.replace("seed 11", "seed 12");
    let mut w = world(&other);
    w.play(12 * S, |_| false);
    assert_ne!(w.trace, run().0);
}

#[test]
fn traffic_per_member_does_not_grow_with_the_cluster() {
    let mut per_second = Vec::new();
    for members in [8, 96] {
        let mut w = world(&format!("members {members}"));
        assert!(
            w.play(15 * S, |w| w.all_see_exactly(&all(members))),
            "{members}"
        );
        w.play(15 * S, |_| false);
        let before: u64 = (0..members).map(|m| w.counters(m).sent).sum();
        w.play(25 * S, |_| false);
        let after: u64 = (0..members).map(|m| w.counters(m).sent).sum();
        per_second.push((after - before) as f64 / 10.0 / f64::from(members));
    }
    assert!(
        per_second[1] < 2.0 * per_second[0] && per_second[1] < 60.0,
        "{per_second:?}"
    );
}

#[test]
fn member_restarted_with_its_clock_set_back_rejoins() {
    let script =
        "at \"5 s\" { clock \"m3\" by=\"-900 s\" }\nat \"8 s\" { kill \"m3\" }\nat \"14 s\" { start \"m3\" }";
    let mut w = world(&format!("members 8\nseed 4\n{script}"));
    assert!(w.play(5 * S, |w| w.all_see_exactly(&all(8))));
    w.play(14 * S, |_| false);
    assert_eq!(w.status(0, 3), Some(MemberStatus::Down));
    assert!(w.play(19 * S, |w| w.time() > 14 * S && w.all_see_exactly(&all(8))));
    // Records that it publishes now are accepted, too.
    assert!(w.agent(3).unwrap().publish(9, b"after the restart"));
    w.play(21 * S, |_| false);
    assert!((0..8).all(|m| w.agent(m).unwrap().record("m3", 9).is_some()));
}

#[test]
fn members_converge_after_fault_scenarios() {
    for seed in 1..=25 {
        let mut w = World::new(fault_scenario::draw(6, seed, true));
        w.play(fault_scenario::QUIET_FROM, |_| false);
        let until = fault_scenario::QUIET_FROM + fault_scenario::CONVERGENCE_TIMEOUT;
        assert!(w.play(until, |w| w.all_see_exactly(&all(6))), "seed {seed}");
    }
}
