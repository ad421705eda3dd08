//! Engines that start, told by somebody whose clock is an hour ahead of this host's, or behind it.

mod common;

use common::*;
use fernlink::interface::*;

const HOUR: u64 = 3_600 * S;
const WARM_AFTER: u64 = 10 * S;

/// A gateway that has learnt what its queries cost.
fn learnt() -> Rig {
    let mut s = settings(vec![class(60 * S, 1.0, 1.0)]);
    s.gateways = 2;
    s.cold = Some(ColdStart { from: 0.5, warm_after: WARM_AFTER, multiple: 2.0, window: 2 * S });
    let mut rig = Rig::new(s, &[]);
    rig.now += 2 * HOUR;
    rig.event(Event::Engines(ListKind::Cached, &[listed(1)]));
    for n in 1..=6 {
        rig.arrive(0, 100 * MS, 1);
        rig.end(QueryId(n), 0, Outcome::Ok, 100 * MS);
    }
    rig
}

/// Ends what these actions send, and what that lets go in its turn; how many went out.
fn serve(rig: &mut Rig, actions: &[Action]) -> usize {
    let mut waiting = sends(actions);
    let mut sent = 0;
    while let Some((query, _)) = waiting.pop() {
        sent += 1;
        waiting.extend(sends(&rig.end(QueryId(query), 0, Outcome::Ok, 100 * MS)));
    }
    sent
}

/// Queries of 0.1 s that go out within 1.2 s.
fn sent(rig: &mut Rig) -> usize {
    let mut sent = 0;
    for _ in 0..60 {
        let (_, act) = rig.arrive(0, 100 * MS, 1);
        sent += serve(rig, &act);
        rig.now += 20 * MS;
    }
    sent
}

fn told(rig: &mut Rig, born: u64) {
    rig.event(Event::Engines(ListKind::Changes, &[Listed { born: Some(born), ..listed(1) }]));
}

#[test]
fn an_engine_told_as_new_is_cold_though_this_clock_is_an_hour_ahead() {
    let mut rig = learnt();
    let born = rig.now - HOUR;
    told(&mut rig, born);
    // Half of two cores at 85%, twice that, over 2 s, by 2 gateways: 1.7 s of work, in queries of 0.1 s.
    let sent = sent(&mut rig);
    assert!((5..=17).contains(&sent), "{sent}");
}

#[test]
fn an_engine_gets_warm_in_its_time_though_this_clock_is_an_hour_behind() {
    let mut rig = learnt();
    let born = rig.now + HOUR;
    told(&mut rig, born);
    let cold = sent(&mut rig);
    assert!((5..=17).contains(&cold), "{cold}");
    // What waited meanwhile goes out and ends.
    for _ in 0..WARM_AFTER / (50 * MS) {
        let act = rig.tick(50 * MS);
        serve(&mut rig, &act);
    }
    // The same line comes again, as after a new connection to the list: that is no new start.
    told(&mut rig, born);
    let warm = sent(&mut rig);
    assert!(warm > 40, "{warm}");
}
