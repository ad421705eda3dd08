//! Consensus under faults in the simulation: the real state machines on virtual time, with torn writes and clock steps.

use driftfront_cluster::consensus::Role;
use driftfront_cluster_simulation::lease_workload::LeaseLoad;
use driftfront_cluster_simulation::{fault_scenario, Script, World};

const S: u64 = 1_000_000;

fn world(script: &str) -> World {
    World::new(Script::read(script).expect("a script"))
}

fn role(w: &mut World, member: u32) -> Option<Role> {
    w.agent(member)?.consensus().map(|a| a.view().role)
}

/// Runs until a member is the leader. Returns the member and the time.
fn wait_for_leader(w: &mut World, until: u64) -> (u32, u64) {
    while w.time() < until {
        if let Some(leader) = w.leader() {
            return (leader, w.time());
        }
        let next = w.time() + S / 10;
        w.play(next, |_| false);
    }
    panic!("no leader until {until}");
}

fn assert_no_violations(w: &World) {
    let workload = w.lease_workload.as_ref().expect("a lease workload");
    assert!(workload.violations.is_empty(), "{:?}", workload.violations);
}

#[test]
fn voters_agree_and_all_members_request_and_observe() {
    for (members, voters, keeps) in [(3, 3, true), (8, 3, false), (12, 5, true)] {
        let mut w = world(&format!(
            "members {members}\nvoters {voters} keeps=#{keeps}"
        ));
        let (_, at) = wait_for_leader(&mut w, 10 * S);
        assert!(at < 6 * S, "leader elected at {at}");
        w.start_lease_workload(LeaseLoad::default());
        // No lease is granted while leases of an earlier log may still be in use.
        w.play(11 * S, |_| false);
        assert_eq!(w.lease_workload.as_ref().unwrap().granted, 0);
        w.play(60 * S, |_| false);
        assert_no_violations(&w);
        let workload = w.lease_workload.as_ref().unwrap();
        assert!(workload.granted > 20, "granted {}", workload.granted);
        let owners: std::collections::BTreeSet<u32> =
            workload.grants.values().map(|grant| grant.owner).collect();
        assert!(owners.len() == members as usize, "{owners:?}");
        for m in 0..members {
            let expected = if m < voters {
                Role::Voting
            } else {
                Role::Observing
            };
            assert_eq!(role(&mut w, m), Some(expected), "m{m}");
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
fn dead_leader_is_replaced_and_no_lease_has_two_holders() {
    for seed in 1..=8 {
        let mut w = world(&format!("members 5\nvoters 3 keeps=#true\nseed {seed}"));
        let (leader, _) = wait_for_leader(&mut w, 10 * S);
        w.start_lease_workload(LeaseLoad::default());
        w.play(40 * S, |_| false);
        let before = w.lease_workload.as_ref().unwrap().granted;
        assert!(before > 0);
        w.apply_text(&format!("kill \"m{leader}\""));
        let (next, at) = wait_for_leader(&mut w, 50 * S);
        assert!(
            next != leader && at < 44 * S,
            "seed {seed}: m{next} leads at {at}"
        );
        w.play(48 * S, |_| false);
        w.apply_text(&format!("start \"m{leader}\""));
        w.play(60 * S, |_| false);
        assert_no_violations(&w);
        assert!(
            w.lease_workload.as_ref().unwrap().granted > before,
            "seed {seed}"
        );
        assert_eq!(role(&mut w, leader), Some(Role::Voting));
    }
}

#[test]
fn resumed_leader_is_replaced_and_uses_no_expired_lease() {
    for seed in 1..=8 {
        let mut w = world(&format!("members 5\nvoters 3\nseed {seed}"));
        let (leader, _) = wait_for_leader(&mut w, 10 * S);
        w.start_lease_workload(LeaseLoad {
            polls_per_request: 8,
            ..LeaseLoad::default()
        });
        w.play(40 * S, |_| false);
        w.apply_text(&format!("stop \"m{leader}\""));
        let (next, _) = wait_for_leader(&mut w, 46 * S);
        w.play(48 * S, |_| false);
        let granted = w.lease_workload.as_ref().unwrap().granted;
        w.apply_text(&format!("wake \"m{leader}\""));
        w.play(70 * S, |_| false);
        assert_no_violations(&w);
        assert!(
            w.lease_workload.as_ref().unwrap().granted > granted,
            "seed {seed}"
        );
        let now = w.leader();
        assert!(now.is_some() && next != leader);
    }
}

#[test]
fn minority_grants_nothing_and_its_leases_end() {
    let mut w = world("members 6\nvoters 3 keeps=#true\nseed 4");
    wait_for_leader(&mut w, 10 * S);
    w.start_lease_workload(LeaseLoad {
        polls_per_request: 8,
        ..LeaseLoad::default()
    });
    w.play(40 * S, |_| false);
    // m0 is partitioned with one observer, m1 and m2 with the others.
    w.apply_text("cut \"m0\" \"m3\"");
    w.play(50 * S, |_| false);
    assert_no_violations(&w);
    for m in [0, 3] {
        let clock = w.clock(m);
        let consensus = w.agent(m).unwrap().consensus().unwrap();
        assert!(
            consensus.held().keys().all(|&f| !consensus.holds(f, clock)),
            "m{m} uses {:?}",
            consensus.held()
        );
        assert_eq!(
            consensus.view().leader,
            None,
            "m{m} knows that there is no majority"
        );
    }
    let granted = |w: &World, of: &[u32]| {
        w.lease_workload
            .as_ref()
            .unwrap()
            .grants
            .values()
            .filter(|grant| of.contains(&grant.owner))
            .count()
    };
    let (minority_grants, majority_grants) = (granted(&w, &[0, 3]), granted(&w, &[1, 2, 4, 5]));
    w.play(58 * S, |_| false);
    assert_eq!(
        granted(&w, &[0, 3]),
        minority_grants,
        "a minority grants no lease"
    );
    assert!(granted(&w, &[1, 2, 4, 5]) > majority_grants);
    w.apply_text("heal");
    w.play(75 * S, |_| false);
    assert!(granted(&w, &[0, 3]) > minority_grants);
    assert_no_violations(&w);
}

#[test]
fn voters_that_lose_their_logs_become_voters_again() {
    let mut w = world("members 5\nvoters 3\nseed 2");
    wait_for_leader(&mut w, 10 * S);
    w.start_lease_workload(LeaseLoad::default());
    for (n, at) in [(0, 40), (1, 50), (2, 60)] {
        w.play(at * S, |_| false);
        w.apply_text(&format!("kill \"m{n}\""));
        w.play((at + 1) * S, |_| false);
        w.apply_text(&format!("start \"m{n}\""));
    }
    w.play(75 * S, |_| false);
    assert_no_violations(&w);
    for m in 0..3 {
        assert_eq!(role(&mut w, m), Some(Role::Voting), "m{m}");
    }
    let granted = w.lease_workload.as_ref().unwrap().granted;
    w.play(90 * S, |_| false);
    assert!(w.lease_workload.as_ref().unwrap().granted > granted);
}

#[test]
fn lost_voter_is_replaced_and_observes_when_it_returns() {
    let mut w = world("members 6 zones=3\nvoters 3 keeps=#true replace-after=\"10 s\"\nseed 3");
    let (leader, _) = wait_for_leader(&mut w, 10 * S);
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
    // The replacement is from the victim's zone, which had no other voter.
    assert!(names.contains(&format!("m{}", victim + 3)), "{names:?}");
    w.apply_text(&format!("start \"m{victim}\""));
    w.play(85 * S, |_| false);
    assert_eq!(role(&mut w, victim), Some(Role::Observing));
    // Two of the three current voters form a majority, and the replacement is one of them.
    w.apply_text(&format!("kill \"m{leader}\""));
    let granted = w.lease_workload.as_ref().unwrap().granted;
    w.play(94 * S, |_| false);
    assert!(w.lease_workload.as_ref().unwrap().granted > granted);
    assert_no_violations(&w);
}

#[test]
fn voters_killed_at_the_same_time_recover_from_their_disks() {
    for seed in 1..=5 {
        let mut w = world(&format!("members 3\nvoters 3 keeps=#true\nseed {seed}"));
        wait_for_leader(&mut w, 10 * S);
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
        wait_for_leader(&mut w, 60 * S);
        w.play(61 * S, |_| false);
        let view = w.agent(0).unwrap().consensus().unwrap().view();
        // Fencing tokens continue above all that were granted, and there is no new waiting period without grants.
        assert!(view.index > 1);
        w.play(75 * S, |_| false);
        let workload = w.lease_workload.as_ref().unwrap();
        assert!(
            workload.grants.keys().max() > fences.iter().max(),
            "seed {seed}"
        );
        assert_no_violations(&w);
    }
}

#[test]
fn no_lease_has_two_holders_in_fault_scenarios_and_a_leader_remains() {
    for seed in 1..=16 {
        let mut script = fault_scenario::draw(6, seed, true);
        (script.voters, script.persists_log) = (if seed % 3 == 0 { 5 } else { 3 }, seed % 2 == 0);
        let mut w = World::new(script);
        w.start_lease_workload(LeaseLoad {
            polls_per_request: 10,
            ..LeaseLoad::default()
        });
        w.play(fault_scenario::QUIET_FROM + 60 * S, |_| false);
        assert_no_violations(&w);
        assert!(w.leader().is_some(), "seed {seed}: no leader");
        assert!(
            w.lease_workload.as_ref().unwrap().granted > 0,
            "seed {seed}"
        );
    }
}

#[test]
fn leader_clock_step_ends_no_lease_before_its_holder() {
    // In these scenarios clocks are set ahead by 15 and by 51 minutes while leases of one or two seconds are in use.
    for seed in [143, 285] {
        let mut script = fault_scenario::draw(6, seed, true);
        (script.voters, script.persists_log) = (3, true);
        let mut w = World::new(script);
        w.start_lease_workload(LeaseLoad {
            polls_per_request: 10,
            ..LeaseLoad::default()
        });
        w.play(fault_scenario::QUIET_FROM, |_| false);
        assert_no_violations(&w);
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
