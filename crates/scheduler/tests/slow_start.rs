//! Engines that start, told by somebody whose clock is an hour ahead of this host's, or behind it.

mod common;

use common::*;
use driftfront_scheduler::interface::*;

const HOUR: u64 = 3_600 * S;
const WARM_AFTER: u64 = 10 * S;

/// A query's work.
const WORK: u64 = S;
/// Half of twenty cores at 85%, twice that, over 1 s, by 2 gateways: 8.5 s of work.
const MOST_IN_A_WINDOW: usize = 8;

fn rig_settings() -> Settings {
    let mut s = settings(vec![class(60 * S, 1.0, 1.0)]);
    s.coordinators = 2;
    s.kinds = vec![MachineKind {
        cores: Some(20.0),
        memory_mb: None,
    }];
    s.slow_start = Some(SlowStart {
        from: 0.5,
        warm_up_time: WARM_AFTER,
        multiple: 2.0,
        window: S,
    });
    s
}

/// A gateway that has learnt what its queries cost.
fn learnt() -> Rig {
    learnt_by(driftfront_scheduler::Controller::new(rig_settings(), 7))
}

fn learnt_by(controller: driftfront_scheduler::Controller) -> Rig {
    let mut rig = Rig::new(rig_settings(), &[]);
    rig.c = controller;
    rig.now += 2 * HOUR;
    rig.event(Event::EnginesListed(ListKind::Cached, &[listed(1)]));
    for n in 1..=6 {
        rig.arrive(0, WORK, 1);
        rig.end(QueryId(n), 0, Outcome::Ok, WORK);
    }
    rig
}

/// Ends what these actions send, and what that lets go in its turn; how many went out.
fn serve(rig: &mut Rig, actions: &[Action]) -> usize {
    let mut waiting = sends(actions);
    let mut sent = 0;
    while let Some((query, _)) = waiting.pop() {
        sent += 1;
        waiting.extend(sends(&rig.end(QueryId(query), 0, Outcome::Ok, WORK)));
    }
    sent
}

/// Queries that go out within 0.9 s.
fn sent(rig: &mut Rig) -> usize {
    let mut sent = 0;
    for _ in 0..60 {
        let (_, act) = rig.arrive(0, WORK, 1);
        sent += serve(rig, &act);
        rig.now += 15 * MS;
    }
    sent
}

fn told(rig: &mut Rig, started_at: u64) {
    rig.event(Event::EnginesListed(
        ListKind::Changes,
        &[ListedEngine {
            started_at: Some(started_at),
            ..listed(1)
        }],
    ));
}

#[test]
fn an_engine_told_as_new_is_cold_though_this_clock_is_an_hour_ahead() {
    let mut rig = learnt();
    let started_at = rig.now - HOUR;
    told(&mut rig, started_at);
    let sent = sent(&mut rig);
    assert!((3..=MOST_IN_A_WINDOW).contains(&sent), "{sent}");
}

#[test]
fn an_engine_gets_warm_in_its_time_though_this_clock_is_an_hour_behind() {
    let mut rig = learnt();
    let started_at = rig.now + HOUR;
    told(&mut rig, started_at);
    let slow_start = sent(&mut rig);
    assert!((3..=MOST_IN_A_WINDOW).contains(&slow_start), "{slow_start}");
    // What waited meanwhile goes out and ends.
    for _ in 0..WARM_AFTER / (50 * MS) {
        let act = rig.tick(50 * MS);
        serve(&mut rig, &act);
    }
    // The same line comes again, as after a new connection to the list: that is no new start.
    told(&mut rig, started_at);
    let warm = sent(&mut rig);
    assert!(warm > 40, "{warm}");
}

#[test]
fn what_waits_for_a_late_connection_to_a_cold_engine_goes_out_within_its_budget() {
    let mut rig =
        learnt_by(driftfront_scheduler::Controller::new(rig_settings(), 7).awaiting_first_bytes());
    let started_at = rig.now;
    told(&mut rig, started_at);
    // Two windows' parts are planned while no connection is up.
    let mut planned = Vec::new();
    for _ in 0..2 {
        planned.extend(sends(&rig.tick(1050 * MS)));
        for _ in 0..30 {
            let (_, act) = rig.arrive(0, WORK, 1);
            planned.extend(sends(&act));
        }
    }
    // It comes up, and all that waits may go at one moment.
    let now = rig.now;
    let out = planned
        .iter()
        .filter(|(query, _)| rig.c.may_go_out(now, QueryId(*query), 0))
        .count();
    assert!(
        (3..=MOST_IN_A_WINDOW).contains(&out),
        "{out} of {} planned",
        planned.len()
    );
}
