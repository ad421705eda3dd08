//! A fleet of processes before engines, with faults on all links at once, and the rules counted from outside: at the
//! engines by their request log, at the clients by what they got.

use driftfront_cluster_harness::load::{count_outcomes, Load, LoadPlan, Outcome, RequestRecord};
use driftfront_cluster_harness::{ClusterHarness, EngineEndpoint};
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

fn engines(n: usize) -> (Vec<Engine>, Arc<RequestLog>) {
    let request_log = Arc::new(RequestLog::default());
    let engine = |n| {
        Engine::start(
            Options {
                name: format!("e{n}"),
                ..Options::default()
            },
            request_log.clone(),
        )
    };
    ((0..n).map(engine).collect(), request_log)
}

fn harness(script: &str, engines: &[Engine]) -> ClusterHarness {
    let named = engines
        .iter()
        .map(|engine| EngineEndpoint {
            name: engine.name().to_string(),
            addr: engine.addr(),
        })
        .collect();
    ClusterHarness::with_engines(env!("CARGO_BIN_EXE_driftfront"), named, script)
}

fn clients(harness: &ClusterHarness, members: u32, plan: &LoadPlan) -> Load {
    let addrs: BTreeMap<_, _> = (0..members).map(|m| (m, harness.client_addr(m))).collect();
    Load::start(addrs, plan)
}

fn wait_until_done(harness: &ClusterHarness, load: &Load, least: usize) {
    let since = std::time::Instant::now();
    while load.completed() < least {
        assert!(
            since.elapsed() < driftfront_cluster_harness::TEST_TIMEOUT,
            "{} of {least}\n{}",
            load.completed(),
            harness.log().text()
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn rules_hold_while_links_and_members_fail() {
    let (engines, request_log) = engines(3);
    let mut harness = harness("members 4 zones=2\nvoters 3\nseed 5", &engines);
    harness.wait_until_members_are(&[0, 1, 2, 3], &[0, 1, 2, 3]);
    let plan = LoadPlan {
        clients_per_member: 3,
        max_requests: 400,
        insert_interval: 5,
        pause: Duration::from_millis(5),
    };
    let load = clients(&harness, 4, &plan);
    wait_until_done(&harness, &load, 100);
    harness.apply_script(
        "link \"all\" \"engines\" delay=\"3 ms\" jitter=\"4 ms\"; link \"engines\" \"all\" delay=\"3 ms\"",
    );
    harness.apply_script("cut \"m0\" \"m1\"");
    harness.apply_script("part \"m1\" from=\"e0\" ways=\"in\"");
    wait_until_done(&harness, &load, 300);
    harness.apply_script("reset \"all\" from=\"e1\"");
    harness.apply_script("link \"m2\" \"engines\" throttle=20000");
    wait_until_done(&harness, &load, 500);
    harness.apply_script("heal");
    // One is killed, and back where its clients find it; another stands still for a while.
    harness.apply_script("kill \"m3\"");
    let killed = load.completed();
    harness.apply_script("start \"m3\"");
    load.set_addr(3, harness.client_addr(3));
    harness.apply_script("stop \"m2\"");
    wait_until_done(&harness, &load, killed + 100);
    harness.apply_script("wake \"m2\"");
    harness.apply_script("reset \"all\" from=\"engines\"");
    wait_until_done(&harness, &load, killed + 400);
    harness.wait_until_members_are(&[0, 1, 2, 3], &[0, 1, 2, 3]);
    let all = load.stop();
    // A reset may cost a statement that must not run twice; nothing is answered twice, or never.
    let odd = |a: &&RequestRecord| {
        a.outcome == Outcome::Malformed
            || a.member != 3 && matches!(a.outcome, Outcome::Incomplete | Outcome::NotConnected)
    };
    let wrong: Vec<_> = all.iter().filter(odd).collect();
    assert!(wrong.is_empty(), "{wrong:#?}\n{}", harness.log().text());
    let counts = count_outcomes(&all);
    assert!(counts[&Outcome::Served] > all.len() / 2, "{counts:?}");
    // What a killed process had out its clients may ask again; here none does, so that the count is the fleet's.
    request_log.assert_rules(all.len());
}

#[test]
fn member_cut_off_from_an_engine_serves_by_the_others() {
    let (engines, request_log) = engines(2);
    let mut harness = harness("members 2", &engines);
    harness.wait_until_members_are(&[0, 1], &[0, 1]);
    // What the engine says is lost: it hears and runs, and nobody knows.
    harness.apply_script("part \"m0\" from=\"e0\" ways=\"in\"");
    let load = clients(
        &harness,
        2,
        &LoadPlan {
            clients_per_member: 2,
            max_requests: 60,
            insert_interval: 0,
            pause: Duration::from_millis(2),
        },
    );
    wait_until_done(&harness, &load, 240);
    let all = load.stop();
    let counts = count_outcomes(&all);
    assert!(
        counts.get(&Outcome::Served).copied().unwrap_or(0) >= 230,
        "{counts:?}\n{}",
        harness.log().text()
    );
    assert!(
        counts
            .keys()
            .all(|g| matches!(g, Outcome::Served | Outcome::Rejected | Outcome::Failed)),
        "{counts:?}"
    );
    request_log.assert_rules(all.len());
}
