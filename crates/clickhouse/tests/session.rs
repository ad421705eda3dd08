//! Sessions: affinity, loss, expiration and eviction.

use driftfront_clickhouse::exception::Exception;
use driftfront_clickhouse::session::{
    Micros, QueryOutcome, SessionAffinity, SessionCounts, SessionEffect, SessionError, SessionKey,
    SessionQuery, SessionTable, MAX_PROBATIONARY_SESSIONS,
};

const SECOND: Micros = 1_000_000;

fn query(session: SessionKey, effect: SessionEffect) -> SessionQuery {
    SessionQuery {
        session,
        must_exist: false,
        timeout: None,
        effect,
    }
}

/// Runs a query that only reads; returns the session's affinity before the query.
fn read(
    table: &mut SessionTable<u8>,
    now: Micros,
    id: &str,
    engine: u8,
) -> Option<SessionAffinity<u8>> {
    run(table, now, id, engine, SessionEffect::None)
}

/// Runs a statement that makes its session stateful.
fn set(table: &mut SessionTable<u8>, now: Micros, id: &str, engine: u8) {
    run(table, now, id, engine, SessionEffect::LeavesState);
}

fn run(
    table: &mut SessionTable<u8>,
    now: Micros,
    id: &str,
    engine: u8,
    effect: SessionEffect,
) -> Option<SessionAffinity<u8>> {
    let key = table.key("u", id);
    let affinity = table.begin_query(now, &query(key, effect)).expect("room");
    let outcome = QueryOutcome::Ran {
        engine,
        succeeded: true,
    };
    table.end_query(now, key, outcome);
    affinity
}

fn affinity(engine: u8, is_exclusive: bool) -> Option<SessionAffinity<u8>> {
    Some(SessionAffinity {
        engine,
        is_exclusive,
    })
}

#[test]
fn session_stays_on_its_engine_and_a_stateless_one_migrates_when_the_engine_is_removed() {
    let mut table = SessionTable::new(1);
    assert_eq!(read(&mut table, 0, "a", 3), None);
    assert_eq!(read(&mut table, 1, "a", 3), affinity(3, false));
    table.remove_engine(3);
    assert_eq!(read(&mut table, 2, "a", 4), None);
    assert_eq!(read(&mut table, 3, "a", 4), affinity(4, false));
}

#[test]
fn stateful_session_is_lost_with_its_engine_and_the_loss_is_reported_once() {
    let mut table = SessionTable::new(1);
    set(&mut table, 0, "a", 3);
    assert_eq!(read(&mut table, 1, "a", 3), affinity(3, true));
    table.remove_engine(3);
    let next = query(table.key("u", "a"), SessionEffect::None);
    let lost = table.begin_query(2, &next).expect_err("lost");
    let exception = Exception::from(lost);
    assert!(exception.code == 372 && exception.text.contains("has left"));
    // The loss has been reported, so the client may start a new session.
    assert_eq!(table.begin_query(3, &next), Ok(None));
    assert_eq!(table.counters().lost, 1);
}

#[test]
fn failed_statement_leaves_no_state_and_one_of_unknown_outcome_does() {
    let mut table = SessionTable::new(1);
    let failed = QueryOutcome::Ran {
        engine: 3,
        succeeded: false,
    };
    let unknown = QueryOutcome::Unknown { engine: 3 };
    for (id, outcome, is_exclusive) in [("a", failed, false), ("b", unknown, true)] {
        let key = table.key("u", id);
        table
            .begin_query(0, &query(key, SessionEffect::LeavesState))
            .expect("room");
        table.end_query(0, key, outcome);
        let next = SessionQuery {
            must_exist: true,
            ..query(key, SessionEffect::None)
        };
        assert_eq!(table.begin_query(1, &next), Ok(affinity(3, is_exclusive)));
    }
}

#[test]
fn session_is_locked_during_a_query_and_expires_after_its_timeout() {
    let mut table: SessionTable<u8> = SessionTable::new(1);
    let (key, other) = (table.key("u", "a"), table.key("v", "a"));
    let begin = |table: &mut SessionTable<u8>, now, session, must_exist| {
        let next = SessionQuery {
            must_exist,
            timeout: Some(10 * SECOND),
            ..query(session, SessionEffect::None)
        };
        table.begin_query(now, &next).map_err(SessionError::code)
    };
    let ran = QueryOutcome::Ran {
        engine: 1,
        succeeded: true,
    };
    assert_eq!(begin(&mut table, 0, key, true), Err(372));
    assert_eq!(begin(&mut table, 0, key, false), Ok(None));
    assert_eq!(begin(&mut table, 0, key, false), Err(373));
    assert_eq!(
        begin(&mut table, 0, other, false),
        Ok(None),
        "another user's"
    );
    // A running query prevents expiration; the timeout counts from the end of the query.
    assert_eq!(begin(&mut table, 30 * SECOND, key, false), Err(373));
    table.end_query(31 * SECOND, key, ran);
    assert!(begin(&mut table, 40 * SECOND, key, true).is_ok());
    table.end_query(40 * SECOND, key, ran);
    assert_eq!(begin(&mut table, 50 * SECOND, key, true), Err(372));
    assert_eq!(table.counters().expired, 1);
    // A session whose first query never ran does not exist.
    table.end_query(51 * SECOND, other, QueryOutcome::NeverRan);
    assert_eq!(begin(&mut table, 51 * SECOND, other, true), Err(372));
}

#[test]
fn million_new_ids_evict_no_session_in_use_and_memory_stays_bounded() {
    let mut table = SessionTable::new(7);
    for n in 0..100 {
        set(&mut table, n, &format!("stateful-{n}"), 1);
        read(&mut table, n, &format!("used-{n}"), 2);
        read(&mut table, n, &format!("used-{n}"), 2);
    }
    for n in 0..1_000_000 {
        read(&mut table, 100 + n, &format!("new-{n}"), 3);
    }
    assert!(table.counts().total <= MAX_PROBATIONARY_SESSIONS + 200 && table.is_consistent());
    for n in 0..100 {
        let now = 2 * SECOND;
        assert!(read(&mut table, now, &format!("stateful-{n}"), 1).is_some_and(|h| h.is_exclusive));
        assert!(read(&mut table, now, &format!("used-{n}"), 2).is_some());
    }
    assert!(table.counters().evicted >= 1_000_000 - MAX_PROBATIONARY_SESSIONS as u64);
}

#[test]
fn new_session_is_rejected_if_all_sessions_are_stateful() {
    let mut table = SessionTable::with_limits(7, 20, 5);
    for n in 0..20 {
        set(&mut table, n, &format!("{n}"), 1);
    }
    let next = query(table.key("u", "more"), SessionEffect::None);
    let rejected = table.begin_query(30, &next).map_err(SessionError::code);
    assert_eq!(rejected, Err(202));
    let counts = SessionCounts {
        total: 20,
        stateful: 20,
        not_evictable: 20,
    };
    assert_eq!((table.counts(), table.counters().rejected), (counts, 1));
}
