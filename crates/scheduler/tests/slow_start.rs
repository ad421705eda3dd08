//! Slow start when this host's clock is an hour ahead of the engine list's source or an hour behind
//! it, and when connections open late.

use driftfront_scheduler::*;
use driftfront_test_support::scheduler::*;

const HOUR: u64 = 3_600 * S;
const WARM_UP_TIME: u64 = 10 * S;

/// Work of each query.
const WORK: u64 = S;
/// Half of 20 cores at 85%, times 2, for 1 s, divided by 2 coordinators: 8.5 s of work.
const MAX_PER_WINDOW: usize = 8;

fn slow_start_settings() -> Settings {
    let mut s = settings(vec![class(60 * S, 1.0, 1.0)]);
    s.coordinators = 2;
    s.kinds = vec![MachineKind {
        cores: Some(20.0),
        memory_mb: None,
    }];
    s.slow_start = Some(SlowStart {
        initial_share: 0.5,
        warm_up_time: WARM_UP_TIME,
        overload_multiple: 2.0,
        window: S,
    });
    s
}

/// A coordinator that has learned the work of its queries.
fn trained_harness() -> SchedulerHarness {
    train(driftfront_scheduler::Controller::new(
        slow_start_settings(),
        7,
    ))
}

fn train(controller: driftfront_scheduler::Controller) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(slow_start_settings(), &[]);
    harness.controller = controller;
    harness.now += 2 * HOUR;
    harness.event(Event::EnginesListed {
        kind: ListKind::Cached,
        engines: &[listed(1)],
    });
    for n in 1..=6 {
        harness.arrive(0, WORK, 1);
        harness.end(QueryId(n), 0, Outcome::Ok, WORK);
    }
    harness
}

/// Ends the attempts that these actions start, and those that start as a result. Returns their
/// number.
fn serve(harness: &mut SchedulerHarness, actions: &[Action]) -> usize {
    let mut waiting = started_attempts(actions);
    let mut sent = 0;
    while let Some((query, _)) = waiting.pop() {
        sent += 1;
        waiting.extend(started_attempts(&harness.end(
            QueryId(query),
            0,
            Outcome::Ok,
            WORK,
        )));
    }
    sent
}

/// Number of queries sent within 0.9 s.
fn sent_within_900_ms(harness: &mut SchedulerHarness) -> usize {
    let mut sent = 0;
    for _ in 0..60 {
        let (_, act) = harness.arrive(0, WORK, 1);
        sent += serve(harness, &act);
        harness.now += 15 * MS;
    }
    sent
}

fn list_engine(harness: &mut SchedulerHarness, started_at: u64) {
    harness.event(Event::EnginesListed {
        kind: ListKind::Changes,
        engines: &[ListedEngine {
            started_at: Some(started_at),
            ..listed(1)
        }],
    });
}

#[test]
fn new_engine_warms_up_when_local_clock_is_an_hour_ahead() {
    let mut harness = trained_harness();
    let started_at = harness.now - HOUR;
    list_engine(&mut harness, started_at);
    let sent = sent_within_900_ms(&mut harness);
    assert!((3..=MAX_PER_WINDOW).contains(&sent), "{sent}");
}

#[test]
fn engine_is_warm_in_time_when_local_clock_is_an_hour_behind() {
    let mut harness = trained_harness();
    let started_at = harness.now + HOUR;
    list_engine(&mut harness, started_at);
    let slow_start = sent_within_900_ms(&mut harness);
    assert!((3..=MAX_PER_WINDOW).contains(&slow_start), "{slow_start}");
    // Queued queries are sent and end while the engine warms up.
    for _ in 0..WARM_UP_TIME / (50 * MS) {
        let act = harness.tick(50 * MS);
        serve(&mut harness, &act);
    }
    // The same entry is listed again, as after reconnecting to the list's source. It is not a new
    // start.
    list_engine(&mut harness, started_at);
    let warm = sent_within_900_ms(&mut harness);
    assert!(warm > 40, "{warm}");
}

#[test]
fn slow_start_budget_holds_when_connections_are_late() {
    let mut harness = train(
        driftfront_scheduler::Controller::new(slow_start_settings(), 7).awaiting_first_bytes(),
    );
    let started_at = harness.now;
    list_engine(&mut harness, started_at);
    // Two windows' budgets are planned while no connection is open.
    let mut planned = Vec::new();
    for _ in 0..2 {
        planned.extend(started_attempts(&harness.tick(1050 * MS)));
        for _ in 0..30 {
            let (_, act) = harness.arrive(0, WORK, 1);
            planned.extend(started_attempts(&act));
        }
    }
    // The connections open, and everything that waits could be sent at the same moment.
    let now = harness.now;
    let out = planned
        .iter()
        .filter(|(query, _)| {
            harness
                .controller
                .may_send_first_byte(now, QueryId(*query), 0)
        })
        .count();
    assert!(
        (3..=MAX_PER_WINDOW).contains(&out),
        "{out} of {} planned",
        planned.len()
    );
}
