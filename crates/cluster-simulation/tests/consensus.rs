//! What is agreed, under faults, on virtual time: the real unit with the real engine of the log, disks that tear, clocks that
//! jump.

use driftfront_cluster::consensus::Role;
use driftfront_cluster_simulation::lease_workload::LeaseLoad;
use driftfront_cluster_simulation::{Script, World};

const S: u64 = 1_000_000;

fn world(script: &str) -> World {
    World::new(Script::read(script).expect("a script"))
}

fn role(w: &mut World, member: u32) -> Option<Role> {
    w.agent(member)?.consensus().map(|a| a.view().role)
}

/// Plays until some member leads; when that was.
fn led(w: &mut World, until: u64) -> (u32, u64) {
    while w.time() < until {
        if let Some(leader) = w.leader() {
            return (leader, w.time());
        }
        let next = w.time() + S / 10;
        w.play(next, |_| false);
    }
    panic!("nobody leads at {until}");
}

fn assert_right(w: &World) {
    let rights = w.lease_workload.as_ref().expect("asked");
    assert!(rights.violations.is_empty(), "{:?}", rights.violations);
}

#[test]
fn voters_agree_and_all_members_request_and_observe() {
    for (members, voters, keeps) in [(3, 3, true), (8, 3, false), (12, 5, true)] {
        let mut w = world(&format!(
            "members {members}\nvoters {voters} keeps=#{keeps}"
        ));
        let (_, at) = led(&mut w, 10 * S);
        assert!(at < 6 * S, "founded after {at}");
        w.start_lease_workload(LeaseLoad::default());
        // Nothing is lent while rights of an earlier log may hold.
        w.play(11 * S, |_| false);
        assert_eq!(w.lease_workload.as_ref().unwrap().granted, 0);
        w.play(60 * S, |_| false);
        assert_right(&w);
        let rights = w.lease_workload.as_ref().unwrap();
        assert!(rights.granted > 20, "lent {}", rights.granted);
        let owners: std::collections::BTreeSet<u32> =
            rights.grants.values().map(|grant| grant.owner).collect();
        assert!(owners.len() == members as usize, "{owners:?}");
        for m in 0..members {
            let wanted = if m < voters {
                Role::Voting
            } else {
                Role::Observing
            };
            assert_eq!(role(&mut w, m), Some(wanted), "m{m}");
            let view = w.agent(m).unwrap().consensus().unwrap().view();
            assert_eq!(
                (view.voters.len(), view.leader.is_some()),
                (voters as usize, true),
                "m{m}"
            );
        }
    }
}

#[test]
fn dead_leader_is_followed_and_no_lease_held_twice() {
    for seed in 1..=8 {
        let mut w = world(&format!("members 5\nvoters 3 keeps=#true\nseed {seed}"));
        let (leader, _) = led(&mut w, 10 * S);
        w.start_lease_workload(LeaseLoad::default());
        w.play(40 * S, |_| false);
        let before = w.lease_workload.as_ref().unwrap().granted;
        assert!(before > 0);
        w.apply_text(&format!("kill \"m{leader}\""));
        let (next, at) = led(&mut w, 50 * S);
        assert!(
            next != leader && at < 44 * S,
            "seed {seed}: m{next} leads at {at}"
        );
        w.play(48 * S, |_| false);
        w.apply_text(&format!("start \"m{leader}\""));
        w.play(60 * S, |_| false);
        assert_right(&w);
        assert!(
            w.lease_workload.as_ref().unwrap().granted > before,
            "seed {seed}"
        );
        assert_eq!(role(&mut w, leader), Some(Role::Voting));
    }
}

#[test]
fn resumed_leader_uses_no_lease_and_leads_nobody() {
    for seed in 1..=8 {
        let mut w = world(&format!("members 5\nvoters 3\nseed {seed}"));
        let (leader, _) = led(&mut w, 10 * S);
        w.start_lease_workload(LeaseLoad {
            polls_per_request: 8,
            ..LeaseLoad::default()
        });
        w.play(40 * S, |_| false);
        w.apply_text(&format!("stop \"m{leader}\""));
        let (next, _) = led(&mut w, 46 * S);
        w.play(48 * S, |_| false);
        let lent = w.lease_workload.as_ref().unwrap().granted;
        w.apply_text(&format!("wake \"m{leader}\""));
        w.play(70 * S, |_| false);
        assert_right(&w);
        assert!(
            w.lease_workload.as_ref().unwrap().granted > lent,
            "seed {seed}"
        );
        let now = w.leader();
        assert!(now.is_some() && next != leader);
    }
}

#[test]
fn minority_grants_nothing_and_its_leases_end() {
    let mut w = world("members 6\nvoters 3 keeps=#true\nseed 4");
    led(&mut w, 10 * S);
    w.start_lease_workload(LeaseLoad {
        polls_per_request: 8,
        ..LeaseLoad::default()
    });
    w.play(40 * S, |_| false);
    // m0 alone with a reader, m1 and m2 with the others.
    w.apply_text("cut \"m0\" \"m3\"");
    w.play(50 * S, |_| false);
    assert_right(&w);
    for m in [0, 3] {
        let clock = w.clock(m);
        let agreed = w.agent(m).unwrap().consensus().unwrap();
        assert!(
            agreed.held().keys().all(|&f| !agreed.holds(f, clock)),
            "m{m} acts on {:?}",
            agreed.held()
        );
        assert_eq!(
            agreed.view().leader,
            None,
            "m{m} sees that there is no majority"
        );
    }
    let lent = |w: &World, of: &[u32]| {
        w.lease_workload
            .as_ref()
            .unwrap()
            .grants
            .values()
            .filter(|grant| of.contains(&grant.owner))
            .count()
    };
    let (small, large) = (lent(&w, &[0, 3]), lent(&w, &[1, 2, 4, 5]));
    w.play(58 * S, |_| false);
    assert_eq!(lent(&w, &[0, 3]), small, "a minority lends nothing");
    assert!(lent(&w, &[1, 2, 4, 5]) > large);
    w.apply_text("heal");
    w.play(75 * S, |_| false);
    assert!(lent(&w, &[0, 3]) > small);
    assert_right(&w);
}

#[test]
fn voters_that_lose_their_logs_get_their_slots_again() {
    let mut w = world("members 5\nvoters 3\nseed 2");
    led(&mut w, 10 * S);
    w.start_lease_workload(LeaseLoad::default());
    for (n, at) in [(0, 40), (1, 50), (2, 60)] {
        w.play(at * S, |_| false);
        w.apply_text(&format!("kill \"m{n}\""));
        w.play((at + 1) * S, |_| false);
        w.apply_text(&format!("start \"m{n}\""));
    }
    w.play(75 * S, |_| false);
    assert_right(&w);
    for m in 0..3 {
        assert_eq!(role(&mut w, m), Some(Role::Voting), "m{m}");
    }
    let lent = w.lease_workload.as_ref().unwrap().granted;
    w.play(90 * S, |_| false);
    assert!(w.lease_workload.as_ref().unwrap().granted > lent);
}

#[test]
fn lost_voter_is_replaced_and_observes_when_it_returns() {
    let mut w = world("members 6 zones=3\nvoters 3 keeps=#true replace-after=\"10 s\"\nseed 3");
    let (leader, _) = led(&mut w, 10 * S);
    let victim = (leader + 1) % 3;
    w.start_lease_workload(LeaseLoad::default());
    w.play(40 * S, |_| false);
    w.apply_text(&format!("kill \"m{victim}\""));
    w.play(70 * S, |_| false);
    let voters = |w: &mut World| w.agent(leader).unwrap().consensus().unwrap().view().voters;
    let names: Vec<String> = voters(&mut w).into_iter().map(|v| v.name).collect();
    assert!(
        names.len() == 3 && !names.contains(&format!("m{victim}")),
        "{names:?}"
    );
    // Of its zone, since that one had no voter left.
    assert!(names.contains(&format!("m{}", victim + 3)), "{names:?}");
    w.apply_text(&format!("start \"m{victim}\""));
    w.play(85 * S, |_| false);
    assert_eq!(role(&mut w, victim), Some(Role::Observing));
    // Two of the three there now are enough, and the one that was let in is one of them.
    w.apply_text(&format!("kill \"m{leader}\""));
    let lent = w.lease_workload.as_ref().unwrap().granted;
    w.play(94 * S, |_| false);
    assert!(w.lease_workload.as_ref().unwrap().granted > lent);
    assert_right(&w);
}

#[test]
fn voters_killed_at_once_go_on_from_their_disks() {
    for seed in 1..=5 {
        let mut w = world(&format!("members 3\nvoters 3 keeps=#true\nseed {seed}"));
        led(&mut w, 10 * S);
        w.start_lease_workload(LeaseLoad {
            max_duration: 20 * S,
            ..LeaseLoad::default()
        });
        w.play(45 * S, |_| false);
        let fences: Vec<u64> = w
            .lease_workload
            .as_ref()
            .unwrap()
            .grants
            .keys()
            .copied()
            .collect();
        assert!(!fences.is_empty());
        w.apply_text("kill \"all\"");
        w.apply_text("start \"all\"");
        led(&mut w, 60 * S);
        w.play(61 * S, |_| false);
        let view = w.agent(0).unwrap().consensus().unwrap().view();
        // Numbers go on above all that were lent, and no time of silence begins anew.
        assert!(view.index > 1);
        w.play(75 * S, |_| false);
        let rights = w.lease_workload.as_ref().unwrap();
        assert!(
            rights.grants.keys().max() > fences.iter().max(),
            "seed {seed}"
        );
        assert_right(&w);
    }
}

#[test]
fn fault_scenarios_hold_no_lease_twice_and_leave_a_leader() {
    for seed in 1..=16 {
        let mut script = driftfront_cluster_simulation::fault_scenario::draw(6, seed, true);
        (script.voters, script.persists_log) = (if seed % 3 == 0 { 5 } else { 3 }, seed % 2 == 0);
        let mut w = World::new(script);
        w.start_lease_workload(LeaseLoad {
            polls_per_request: 10,
            ..LeaseLoad::default()
        });
        w.play(
            driftfront_cluster_simulation::fault_scenario::QUIET_FROM + 60 * S,
            |_| false,
        );
        assert_right(&w);
        assert!(w.leader().is_some(), "seed {seed}: nobody leads");
        assert!(
            w.lease_workload.as_ref().unwrap().granted > 0,
            "seed {seed}"
        );
    }
}

#[test]
fn leader_clock_step_ends_no_lease_before_its_holder() {
    // In these clocks are set ahead by 15 and by 51 minutes while something is lent for a second or two.
    for seed in [143, 285] {
        let mut script = driftfront_cluster_simulation::fault_scenario::draw(6, seed, true);
        (script.voters, script.persists_log) = (3, true);
        let mut w = World::new(script);
        w.start_lease_workload(LeaseLoad {
            polls_per_request: 10,
            ..LeaseLoad::default()
        });
        w.play(
            driftfront_cluster_simulation::fault_scenario::QUIET_FROM,
            |_| false,
        );
        assert_right(&w);
    }
}

#[test]
fn same_seed_grants_the_same_leases() {
    let run = || {
        let mut w = world("members 6\nvoters 3 keeps=#true\nseed 9\nat \"40 s\" { kill \"m1\" }");
        w.start_lease_workload(LeaseLoad::default());
        w.play(50 * S, |_| false);
        (w.trace, w.lease_workload.unwrap().grants)
    };
    assert_eq!(run(), run());
}
