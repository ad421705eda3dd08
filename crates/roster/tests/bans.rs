//! Engines taken out and put back by name, whatever lists say.

use driftfront_roster::{Fact, Refusal, Roster, NAMES_MOST};
use fernlink::interface::{ListKind, Phase};

fn fact(name: &str, phase: Phase, born: Option<u64>) -> Fact {
    let addr = "127.0.0.1:1000".parse().ok();
    Fact { name: name.into(), addr, zone: 0, kind: 0, cell: 0, born, phase }
}

#[test]
fn an_engine_that_is_put_back_counts_as_just_started_unless_the_list_knows_of_a_later_start() {
    let mut roster = Roster::new();
    roster.source(ListKind::Whole, vec![fact("a", Phase::Ready, None), fact("b", Phase::Ready, None)]);
    assert!(roster.suspend(10, "x", "a").unwrap().is_some());
    assert!(roster.suspend(11, "x", "a").unwrap().is_none());
    let (change, _) = roster.restore_engine(20, "x", "a").unwrap().expect("news");
    assert_eq!((change.lines[0].phase, change.lines[0].born), (Phase::Ready, Some(20)));
    assert!(roster.restore_engine(21, "x", "a").unwrap().is_none());
    // The list learns late that it was started anew while it was out, and later of another start.
    assert!(roster.source(ListKind::Changes, vec![fact("a", Phase::Ready, Some(15))]).lines.is_empty());
    let change = roster.source(ListKind::Changes, vec![fact("a", Phase::Ready, Some(30))]);
    assert_eq!(change.lines[0].born, Some(30));
}

#[test]
fn an_engine_that_is_gone_can_be_taken_out_and_one_that_never_was_can_not() {
    let mut roster = Roster::new();
    let change = roster.source(ListKind::Whole, vec![fact("a", Phase::Ready, None)]);
    roster.source(ListKind::Changes, vec![fact("a", Phase::Gone, None)]);
    roster.forget(change.lines[0].engine);
    assert!(matches!(roster.suspend(1, "x", "aa"), Err(Refusal::Unknown(..))));
    assert!(matches!(roster.restore_engine(1, "x", "aa"), Err(Refusal::Unknown(..))));
    assert!(roster.suspend(1, "x", "a").is_ok() && roster.orders().contains_key("a"));
    let back = roster.source(ListKind::Changes, vec![fact("a", Phase::Ready, Some(5))]);
    assert_eq!(back.lines[0].phase, Phase::Draining);
    // Names of old do not pile up for ever; the youngest are known.
    for n in 0..NAMES_MOST {
        let name = format!("n{n}");
        let line = roster.source(ListKind::Changes, vec![fact(&name, Phase::Ready, None)]).lines[0];
        roster.source(ListKind::Changes, vec![fact(&name, Phase::Gone, None)]);
        roster.forget(line.engine);
    }
    assert!(roster.restore_engine(1, "x", "n9").is_ok());
    assert!(roster.source(ListKind::Changes, vec![fact("z", Phase::Ready, None)]).lines.len() == 1);
    assert!(roster.restore_engine(1, "x", "n0").is_err());
}
