//! What several processes of the program agree on, with faults between them. Waits are for what they say.

use driftfront_cluster_harness::process::Signal;
use driftfront_cluster_harness::{ClusterHarness, Consensus, Request};
use driftfront_test_support::coordinator::start_cluster;

/// Asks until it is held: nothing is lent for ten seconds after a founding, and a leader may be new.
fn held(harness: &ClusterHarness, by: u32, name: &str, for_s: u64) -> u64 {
    let since = std::time::Instant::now();
    loop {
        let said = harness.request_hold(by, name, for_s);
        if let Some(fence) = said
            .as_ref()
            .ok()
            .and_then(|w| w.rsplit(' ').next()?.parse().ok())
        {
            return fence;
        }
        let words = said.unwrap_err().to_string();
        let later = words.contains("yet") || words.contains("in time");
        assert!(
            later && since.elapsed() < driftfront_cluster_harness::TEST_TIMEOUT * 2,
            "{words}\n{}",
            harness.log().text()
        );
        std::thread::sleep(std::time::Duration::from_millis(300));
    }
}

/// Waits until this one knows that these are held, and nothing else.
fn wait_until_held(harness: &ClusterHarness, by: u32, names: &[&str]) {
    wait_until(harness, by, &format!("{names:?}"), |a| {
        let mut holds: Vec<&str> = a.holds.iter().map(|h| h.name.as_str()).collect();
        holds.sort();
        holds == names
    });
}

fn wait_until(harness: &ClusterHarness, of: u32, what: &str, holds: impl Fn(&Consensus) -> bool) {
    let since = std::time::Instant::now();
    while !harness.consensus(of).is_some_and(|a| holds(&a)) {
        let late = || {
            format!(
                "m{of}: {:?}, not {what}\n{}",
                harness.consensus(of),
                harness.log().text()
            )
        };
        assert!(
            since.elapsed() < driftfront_cluster_harness::TEST_TIMEOUT,
            "{}",
            late()
        );
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

fn wait_until_part(harness: &ClusterHarness, of: u32, part: &str) {
    wait_until(harness, of, part, |a| a.part == part);
}

#[test]
#[allow(clippy::too_many_lines, reason = "a scenario reads from top to bottom")]
fn hold_is_granted_once_and_outlives_leaders_partitions_and_restarts() {
    let (mut harness, _engine) = start_cluster("members 5\nvoters 3 keeps=#true");
    let voters = [0, 1, 2];
    let leader = harness.wait_for_leader(&voters, None);
    // At a reader; seen by all, and nobody else's until it is given back, by whomever.
    let first = held(&harness, 4, "room-a", 600);
    (0..5).for_each(|m| wait_until_held(&harness, m, &["room-a"]));
    let refusal = harness.request_hold(leader, "room-a", 5);
    let taken = refusal.unwrap_err().to_string();
    assert!(taken.contains("held already"), "{taken}");
    harness
        .request(3, &Request::Unhold("room-a".into()))
        .expect("anybody may");
    let second = held(&harness, leader, "room-a", 600);
    assert!(second > first, "numbers grow: {first}, {second}");

    // The leader dies: what is held stands, and another lends.
    harness.apply_script(&format!("kill \"m{leader}\""));
    let rest: Vec<u32> = voters.into_iter().filter(|&m| m != leader).collect();
    let next = harness.wait_for_leader(&rest, Some(leader));
    assert!(harness
        .request_hold(3, "room-a", 5)
        .unwrap_err()
        .to_string()
        .contains("held already"));
    held(&harness, 3, "room-b", 600);
    harness.apply_script(&format!("start \"m{leader}\""));
    wait_until_part(&harness, leader, "votes");
    wait_until_held(&harness, leader, &["room-a", "room-b"]);

    // It is stopped, others go on, and it wakes as a leader that knows of none of it.
    harness.wait_for_leader(&voters, None);
    harness.apply_script(&format!("stop \"m{next}\""));
    let rest: Vec<u32> = voters.into_iter().filter(|&m| m != next).collect();
    let third = harness.wait_for_leader(&rest, Some(next));
    harness
        .request(third, &Request::Unhold("room-a".into()))
        .expect("given back");
    let lent = held(&harness, 4, "room-a", 600);
    harness.apply_script(&format!("wake \"m{next}\""));
    // It is asked at once, while it may still believe that it leads.
    let refusal = harness.request_hold(next, "room-a", 600);
    let said = refusal.unwrap_err().to_string();
    assert!(said.contains("held already"), "{said}");
    // What it knew was the first of that name; it hears of the second.
    wait_until(&harness, next, "the later number", |a| {
        a.holds.iter().any(|h| h.fence == lent)
    });

    // A leader with a reader, cut off: a minority lends nothing, and says why.
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
    held(&harness, 4, "room-c", 600);
    harness.apply_script("heal");
    wait_until_held(&harness, 3, &["room-a", "room-b", "room-c"]);

    // All at once, with no word: what was agreed stands when they are back.
    harness.apply_script("kill \"all\"");
    harness.apply_script("start \"all\"");
    harness.wait_for_leader(&voters, None);
    assert!(harness
        .request_hold(4, "room-a", 5)
        .unwrap_err()
        .to_string()
        .contains("held already"));
    (0..5).for_each(|m| wait_until_held(&harness, m, &["room-a", "room-b", "room-c"]));
}

#[test]
fn voters_without_a_state_folder_grant_short_leases_only() {
    let (mut harness, _engine) = start_cluster("members 4\nvoters 3");
    let voters = [0, 1, 2];
    harness.wait_for_leader(&voters, None);
    held(&harness, 3, "room-a", 10);
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
    wait_until(&harness, 3, "three that decide", |a| {
        a.voters.len() == 3 && a.voters.iter().all(|v| v.there)
    });
}

#[test]
fn lost_voter_is_replaced_and_observes_when_it_returns() {
    let (mut harness, _engine) =
        start_cluster("members 4\nvoters 3 keeps=#true replace-after=\"3 s\"");
    let leader = harness.wait_for_leader(&[0, 1, 2], None);
    let gone = (leader + 1) % 3;
    harness.apply_script(&format!("kill \"m{gone}\""));
    wait_until_part(&harness, 3, "votes");
    harness.apply_script(&format!("start \"m{gone}\""));
    wait_until_part(&harness, gone, "reads");
    // What its file says now outlives another start, and it founds nothing.
    harness.apply_script(&format!("kill \"m{gone}\""));
    harness.apply_script(&format!("start \"m{gone}\""));
    wait_until_part(&harness, gone, "reads");
    harness.wait_for_leader(&[leader, 3], None);
}

#[test]
fn damaged_log_is_cut_and_catches_up_and_a_foreign_file_is_left() {
    let (mut harness, _engine) = start_cluster("members 3\nvoters 3 keeps=#true");
    harness.wait_for_leader(&[0, 1, 2], None);
    let file = harness.state_folder(2).join("agreed");
    let length = std::fs::read(&file).unwrap().len();
    // Within the last record, within an earlier one.
    // The last is no power cut: the disk lost what it had said it kept, and the engine of the log finds that out.
    for cut in [3, 40, length / 2] {
        harness.apply_script("kill \"m2\"");
        let bytes = std::fs::read(&file).unwrap();
        let kept = bytes.len().saturating_sub(cut);
        std::fs::write(&file, &bytes[..kept]).unwrap();
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
    let public: Vec<_> = (0..3).map(|m| harness.net.public_addr(m)).collect();
    let write = |names: &[usize]| {
        let engine = engine.addr();
        let mut lines = vec![format!(
            r#"{{"instanceId":"engine-1","hostPort":"{engine}","lifecycle":"ready"}}"#
        )];
        let line = |&m: &usize| format!(r#"{{"instanceId":"m{m}","coordinator":"{}"}}"#, public[m]);
        lines.extend(names.iter().map(line));
        std::fs::write(&list, format!(r#"{{"instances":[{}]}}"#, lines.join(","))).unwrap();
    };
    write(&[]);
    for m in 0..3 {
        // No seeds, and the engines of the list.
        harness.change_config(m, |text| {
            let no_seeds = text.split("seed \"").next().unwrap_or_default().to_string() + "}\n";
            let engines = no_seeds.find("engines {").unwrap();
            let end = no_seeds[engines..].find('\n').unwrap() + engines;
            let listed = format!("engines {{ file \"{}\" }}", list.display());
            format!("{}{listed}{}", &no_seeds[..engines], &no_seeds[end..])
        });
    }
    harness.apply_script("kill \"all\"");
    harness.apply_script("start \"all\"");
    harness.wait_until_members_are(&[0], &[0]);
    // Two of the three are listed: the third is found through them, as it asks them.
    write(&[0, 1]);
    harness.wait_until_members_are(&[0, 1, 2], &[0, 1, 2]);
}

#[test]
fn successor_takes_over_the_log_and_its_voter_slot() {
    let (mut harness, _engine) = start_cluster("members 3\nvoters 3 keeps=#true");
    let leader = harness.wait_for_leader(&[0, 1, 2], None);
    let upgraded = (leader + 1) % 3;
    held(&harness, leader, "room-a", 600);
    wait_until_held(&harness, upgraded, &["room-a"]);
    let mut old = harness.start_successor(upgraded);
    // Both run; the new one is known by its name, and keeps its hands off the log.
    harness.wait_until_members_are(&[leader], &[0, 1, 2]);
    assert!(
        harness.consensus(upgraded).is_none() && old.snapshot().is_some_and(|s| s.agreed.is_some())
    );
    // Signals come to the loop, whatever threads write to the disk: either would have ended it with no word.
    old.signal(Signal::Hangup);
    assert!(old.snapshot().is_some_and(|s| s.agreed.is_some()));
    old.signal(Signal::Terminate);
    assert!(
        old.wait(),
        "the old one ends well:\n{}",
        harness.log().text()
    );
    wait_until_part(&harness, upgraded, "votes");
    wait_until_held(&harness, upgraded, &["room-a"]);
    let others: Vec<u32> = (0..3).filter(|&m| m != upgraded).collect();
    assert!(
        others
            .iter()
            .all(|&m| harness.counter(m, "fleet_agreed_voters_changed") == 0),
        "its seat is its own"
    );
}
