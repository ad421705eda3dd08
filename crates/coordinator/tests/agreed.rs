//! Consensus between several coordinator processes under crashes, stops and partitions. The tests wait for the state that the
//! processes report.

use driftfront_cluster_harness::process::Signal;
use driftfront_cluster_harness::{ClusterHarness, Consensus, Request};
use driftfront_test_support::coordinator::start_cluster;

/// Requests a hold until it is granted and returns its fencing token. No hold is granted during the first ten seconds after the
/// cluster has been founded, and a new leader may not answer in time.
fn acquire_hold(harness: &ClusterHarness, by: u32, name: &str, for_s: u64) -> u64 {
    let start = std::time::Instant::now();
    loop {
        let reply = harness.request_hold(by, name, for_s);
        if let Some(fence) = reply
            .as_ref()
            .ok()
            .and_then(|text| text.rsplit(' ').next()?.parse().ok())
        {
            return fence;
        }
        let error = reply.unwrap_err().to_string();
        let is_temporary = error.contains("yet") || error.contains("in time");
        assert!(
            is_temporary && start.elapsed() < driftfront_cluster_harness::TEST_TIMEOUT * 2,
            "{error}\n{}",
            harness.log().text()
        );
        std::thread::sleep(std::time::Duration::from_millis(300));
    }
}

/// Waits until member `of` reports exactly these holds.
fn wait_until_holds_are(harness: &ClusterHarness, of: u32, names: &[&str]) {
    wait_until(harness, of, &format!("{names:?}"), |consensus| {
        let mut holds: Vec<&str> = consensus.holds.iter().map(|h| h.name.as_str()).collect();
        holds.sort();
        holds == names
    });
}

fn wait_until(
    harness: &ClusterHarness,
    of: u32,
    expected: &str,
    is_met: impl Fn(&Consensus) -> bool,
) {
    let start = std::time::Instant::now();
    while !harness
        .consensus(of)
        .is_some_and(|consensus| is_met(&consensus))
    {
        let failure = || {
            format!(
                "m{of}: expected {expected}, got {:?}\n{}",
                harness.consensus(of),
                harness.log().text()
            )
        };
        assert!(
            start.elapsed() < driftfront_cluster_harness::TEST_TIMEOUT,
            "{}",
            failure()
        );
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

fn wait_until_part(harness: &ClusterHarness, of: u32, part: &str) {
    wait_until(harness, of, part, |consensus| consensus.part == part);
}

#[test]
#[allow(clippy::too_many_lines, reason = "one scenario with several steps")]
fn hold_is_granted_once_and_outlives_leaders_partitions_and_restarts() {
    let (mut harness, _engine) = start_cluster("members 5\nvoters 3 keeps=#true");
    let voters = [0, 1, 2];
    let leader = harness.wait_for_leader(&voters, None);
    // A hold that a learner requested is visible to all members and refused to others until any member releases it.
    let first = acquire_hold(&harness, 4, "room-a", 600);
    (0..5).for_each(|m| wait_until_holds_are(&harness, m, &["room-a"]));
    let refusal = harness.request_hold(leader, "room-a", 5);
    let error = refusal.unwrap_err().to_string();
    assert!(error.contains("held already"), "{error}");
    harness
        .request(3, &Request::Unhold("room-a".into()))
        .expect("any member can release a hold");
    let second = acquire_hold(&harness, leader, "room-a", 600);
    assert!(
        second > first,
        "fencing tokens must increase: {first}, {second}"
    );

    // After the leader is killed, its holds remain and a new leader grants others.
    harness.apply_script(&format!("kill \"m{leader}\""));
    let rest: Vec<u32> = voters.into_iter().filter(|&m| m != leader).collect();
    let next = harness.wait_for_leader(&rest, Some(leader));
    assert!(harness
        .request_hold(3, "room-a", 5)
        .unwrap_err()
        .to_string()
        .contains("held already"));
    acquire_hold(&harness, 3, "room-b", 600);
    harness.apply_script(&format!("start \"m{leader}\""));
    wait_until_part(&harness, leader, "votes");
    wait_until_holds_are(&harness, leader, &["room-a", "room-b"]);

    // The leader is stopped while the others elect a new one. When it resumes, it still considers itself the leader.
    harness.wait_for_leader(&voters, None);
    harness.apply_script(&format!("stop \"m{next}\""));
    let rest: Vec<u32> = voters.into_iter().filter(|&m| m != next).collect();
    let third = harness.wait_for_leader(&rest, Some(next));
    harness
        .request(third, &Request::Unhold("room-a".into()))
        .expect("the hold is released");
    let fence = acquire_hold(&harness, 4, "room-a", 600);
    harness.apply_script(&format!("wake \"m{next}\""));
    // The request is sent at once, while the old leader may still consider itself the leader.
    let refusal = harness.request_hold(next, "room-a", 600);
    let error = refusal.unwrap_err().to_string();
    assert!(error.contains("held already"), "{error}");
    // The old leader knew the earlier hold of this name, and learns of the later one.
    wait_until(&harness, next, "the later fencing token", |consensus| {
        consensus.holds.iter().any(|h| h.fence == fence)
    });

    // A leader that is partitioned with one learner is in a minority: it grants no hold and names the reason.
    let leader = harness.wait_for_leader(&voters, None);
    harness.apply_script(&format!("cut \"m{leader}\" \"m3\""));
    let rest: Vec<u32> = voters.into_iter().filter(|&m| m != leader).collect();
    harness.wait_for_leader(&rest, Some(leader));
    assert!(harness
        .request_hold(3, "room-c", 5)
        .unwrap_err()
        .to_string()
        .contains("no majority"));
    assert!(harness
        .request_hold(leader, "room-c", 5)
        .unwrap_err()
        .to_string()
        .contains("no majority"));
    acquire_hold(&harness, 4, "room-c", 600);
    harness.apply_script("heal");
    wait_until_holds_are(&harness, 3, &["room-a", "room-b", "room-c"]);

    // When all members are killed at once, committed state is still there after the restart.
    harness.apply_script("kill \"all\"");
    harness.apply_script("start \"all\"");
    harness.wait_for_leader(&voters, None);
    assert!(harness
        .request_hold(4, "room-a", 5)
        .unwrap_err()
        .to_string()
        .contains("held already"));
    (0..5).for_each(|m| wait_until_holds_are(&harness, m, &["room-a", "room-b", "room-c"]));
}

#[test]
fn voters_without_a_state_folder_grant_short_leases_only() {
    let (mut harness, _engine) = start_cluster("members 4\nvoters 3");
    let voters = [0, 1, 2];
    harness.wait_for_leader(&voters, None);
    acquire_hold(&harness, 3, "room-a", 10);
    assert!(harness
        .request_hold(3, "room-b", 11)
        .unwrap_err()
        .to_string()
        .contains("10 s"));
    for m in voters {
        harness.apply_script(&format!("kill \"m{m}\""));
        harness.apply_script(&format!("start \"m{m}\""));
        wait_until_part(&harness, m, "votes");
        harness.wait_for_leader(&voters, None);
    }
    wait_until(&harness, 3, "three reachable voters", |consensus| {
        consensus.voters.len() == 3 && consensus.voters.iter().all(|v| v.there)
    });
}

#[test]
fn lost_voter_is_replaced_and_observes_when_it_returns() {
    let (mut harness, _engine) =
        start_cluster("members 4\nvoters 3 keeps=#true replace-after=\"3 s\"");
    let leader = harness.wait_for_leader(&[0, 1, 2], None);
    let lost = (leader + 1) % 3;
    harness.apply_script(&format!("kill \"m{lost}\""));
    wait_until_part(&harness, 3, "votes");
    harness.apply_script(&format!("start \"m{lost}\""));
    wait_until_part(&harness, lost, "reads");
    // Its file records that it is no voter: after another restart it is still a learner and founds no cluster.
    harness.apply_script(&format!("kill \"m{lost}\""));
    harness.apply_script(&format!("start \"m{lost}\""));
    wait_until_part(&harness, lost, "reads");
    harness.wait_for_leader(&[leader, 3], None);
}

#[test]
fn damaged_log_is_truncated_and_catches_up_and_an_unknown_file_is_kept() {
    let (mut harness, _engine) = start_cluster("members 3\nvoters 3 keeps=#true");
    harness.wait_for_leader(&[0, 1, 2], None);
    let file = harness.state_folder(2).join("agreed");
    let length = std::fs::read(&file).unwrap().len();
    // The file is cut within its last record, within an earlier one, and at half its length. A power cut can't cause the third
    // damage: the disk has lost records that it had confirmed, and the log implementation has to detect that.
    for cut in [3, 40, length / 2] {
        harness.apply_script("kill \"m2\"");
        let bytes = std::fs::read(&file).unwrap();
        let kept_length = bytes.len().saturating_sub(cut);
        std::fs::write(&file, &bytes[..kept_length]).unwrap();
        harness.apply_script("start \"m2\"");
        wait_until_part(&harness, 2, "votes");
        let leader = harness.wait_for_leader(&[0, 1, 2], None);
        let index = harness.consensus(leader).unwrap().index;
        harness.wait_for_counter(2, "fleet_agreed_index", index);
    }
    harness.apply_script("kill \"m2\"");
    std::fs::write(&file, b"driftfront agreed 9\n of a later build").unwrap();
    harness.apply_script("start \"m2\"");
    harness.wait_for_counter(2, "fleet_agreed_disk_failed", 1);
    wait_until_part(&harness, 2, "reads");
    assert_eq!(
        std::fs::read(&file).unwrap(),
        b"driftfront agreed 9\n of a later build"
    );
    harness.wait_for_leader(&[0, 1], None);
}

#[test]
fn coordinators_find_each_other_by_the_engine_list() {
    let (mut harness, engine) = start_cluster("members 3");
    let list = harness.state_folder(0).with_extension("list");
    let addresses: Vec<_> = (0..3).map(|m| harness.net.public_addr(m)).collect();
    let write = |names: &[usize]| {
        let engine = engine.addr();
        let mut lines = vec![format!(
            r#"{{"instanceId":"engine-1","hostPort":"{engine}","lifecycle":"ready"}}"#
        )];
        let line = |&m: &usize| {
            format!(
                r#"{{"instanceId":"m{m}","coordinator":"{}"}}"#,
                addresses[m]
            )
        };
        lines.extend(names.iter().map(line));
        std::fs::write(&list, format!(r#"{{"instances":[{}]}}"#, lines.join(","))).unwrap();
    };
    write(&[]);
    for m in 0..3 {
        // The configuration has no seeds and reads its engines from the list.
        harness.change_config(m, |text| {
            let without_seeds =
                text.split("seed \"").next().unwrap_or_default().to_string() + "}\n";
            let engines = without_seeds.find("engines {").unwrap();
            let end = without_seeds[engines..].find('\n').unwrap() + engines;
            let file_list = format!("engines {{ file \"{}\" }}", list.display());
            format!(
                "{}{file_list}{}",
                &without_seeds[..engines],
                &without_seeds[end..]
            )
        });
    }
    harness.apply_script("kill \"all\"");
    harness.apply_script("start \"all\"");
    harness.wait_until_members_are(&[0], &[0]);
    // Two of the three are listed. The third one contacts them and so becomes known to both.
    write(&[0, 1]);
    harness.wait_until_members_are(&[0, 1, 2], &[0, 1, 2]);
}

#[test]
fn successor_takes_over_the_log_and_its_voter_slot() {
    let (mut harness, _engine) = start_cluster("members 3\nvoters 3 keeps=#true");
    let leader = harness.wait_for_leader(&[0, 1, 2], None);
    let upgraded = (leader + 1) % 3;
    acquire_hold(&harness, leader, "room-a", 600);
    wait_until_holds_are(&harness, upgraded, &["room-a"]);
    let mut old = harness.start_successor(upgraded);
    // While both processes run, the new one is the member under that name and does not open the log.
    harness.wait_until_members_are(&[leader], &[0, 1, 2]);
    assert!(
        harness.consensus(upgraded).is_none() && old.snapshot().is_some_and(|s| s.agreed.is_some())
    );
    // The event loop must receive the signals. If a thread that writes to the disk received one, either signal would kill the
    // process without a shutdown.
    old.signal(Signal::Hangup);
    assert!(old.snapshot().is_some_and(|s| s.agreed.is_some()));
    old.signal(Signal::Terminate);
    assert!(
        old.wait(),
        "the old process did not exit cleanly:\n{}",
        harness.log().text()
    );
    wait_until_part(&harness, upgraded, "votes");
    wait_until_holds_are(&harness, upgraded, &["room-a"]);
    let others: Vec<u32> = (0..3).filter(|&m| m != upgraded).collect();
    assert!(
        others
            .iter()
            .all(|&m| harness.counter(m, "fleet_agreed_voters_changed") == 0),
        "the upgrade must not change the set of voters"
    );
}
