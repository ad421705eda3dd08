//! Scheduling rules, one by one, and all of them under random legal event sequences with fixed
//! seeds.
#![allow(
    clippy::cast_possible_truncation,
    reason = "the numbers of these tests are small"
)]

use driftfront_scheduler::*;
use driftfront_test_support::scheduler::*;
use std::collections::{BTreeMap, BTreeSet};

fn rejected(act: &[Action], q: QueryId) -> bool {
    act.iter()
        .any(|a| matches!(a, Action::Reject { query: x, .. } if *x == q))
}

fn failed(act: &[Action], q: QueryId) -> bool {
    act.contains(&Action::Fail(q))
}

#[test]
fn query_with_almost_no_time_is_answered_at_once() {
    let mut harness = SchedulerHarness::new(settings(vec![class(S, 1.0, 1.0)]), &[listed(1)]);
    let q = Query {
        client_timeout: 2 * MS,
        ..harness.query(0, S, 1)
    };
    let act = harness.event(Event::QueryArrived(q));
    assert!(rejected(&act, q.id));
    assert!(
        harness.end(q.id, 0, Outcome::Ok, S).is_empty(),
        "no further actions for it"
    );
}

#[test]
fn query_waits_for_engines_and_is_rejected_with_retry_after() {
    let mut harness = SchedulerHarness::new(settings(vec![class(S, 1.0, 1.0)]), &[]);
    let (q, act) = harness.arrive(0, 100 * MS, 1);
    assert!(act.is_empty());
    let act = harness.tick(2 * S);
    assert!(
        act.iter()
            .any(|a| matches!(a, Action::Reject { query: x, retry_after: after } if *x == q && *after > 0)),
        "{act:?}"
    );
}

#[test]
fn exclusive_session_uses_one_engine_until_it_drains() {
    let only = |engine| {
        Some(StickySession {
            engine: EngineId(engine),
            is_exclusive: true,
        })
    };
    for n in 0..30 {
        let mut harness = SchedulerHarness::new(
            settings(vec![class(9 * S, 1.0, 1.0)]),
            &[listed(1), listed(2), listed(3)],
        );
        let pin = only(1 + n % 3);
        let q = Query {
            sticky_session: pin,
            ..harness.query(0, 10 * MS, 1)
        };
        assert_eq!(
            started_attempts(&harness.event(Event::QueryArrived(q))),
            [(q.id.0, 1 + n % 3)]
        );
        // A retry goes to the same engine, although the engine failed.
        let retries = started_attempts(&harness.end(q.id, 0, Outcome::Unreachable, MS));
        assert!(retries.iter().all(|s| s.1 == 1 + n % 3), "{retries:?}");
    }
    let mut harness = SchedulerHarness::new(
        settings(vec![class(9 * S, 1.0, 1.0)]),
        &[listed(1), listed(2)],
    );
    let drained = ListedEngine {
        phase: Phase::Draining,
        ..listed(1)
    };
    harness.event(Event::EnginesListed {
        kind: ListKind::Changes,
        engines: &[drained],
    });
    let q = Query {
        sticky_session: only(1),
        ..harness.query(0, 10 * MS, 1)
    };
    let mut act = harness.event(Event::QueryArrived(q));
    act.extend(harness.event(Event::EnginesListed {
        kind: ListKind::Changes,
        engines: &[drained],
    }));
    assert!(
        started_attempts(&act).is_empty() && rejected(&act, q.id),
        "{act:?}"
    );
}

#[test]
fn sticky_session_leaves_its_engine_once_that_fails_or_drains() {
    let home = Some(StickySession {
        engine: EngineId(2),
        is_exclusive: false,
    });
    let mut harness = SchedulerHarness::new(
        settings(vec![class(9 * S, 1.0, 1.0)]),
        &[listed(1), listed(2), listed(3)],
    );
    for _ in 0..10 {
        let q = Query {
            sticky_session: home,
            ..harness.query(0, 10 * MS, 1)
        };
        assert_eq!(
            started_attempts(&harness.event(Event::QueryArrived(q))),
            [(q.id.0, 2)]
        );
    }
    let q = Query {
        sticky_session: home,
        ..harness.query(0, 10 * MS, 1)
    };
    harness.event(Event::QueryArrived(q));
    assert!(
        started_attempts(&harness.end(q.id, 0, Outcome::Unreachable, MS))
            .iter()
            .all(|s| s.1 != 2)
    );
    harness.event(Event::EnginesListed {
        kind: ListKind::Changes,
        engines: &[ListedEngine {
            phase: Phase::Draining,
            ..listed(2)
        }],
    });
    let q = Query {
        sticky_session: home,
        ..harness.query(0, 10 * MS, 1)
    };
    let sent = started_attempts(&harness.event(Event::QueryArrived(q)));
    assert!(sent.len() == 1 && sent[0].1 != 2);
}

#[test]
fn non_idempotent_query_is_not_retried_or_rejected_after_a_run() {
    let mut s = settings(vec![class(9 * S, 1.0, 1.0)]);
    s.classes[0].idempotency = Idempotency::NotIdempotent;
    for (outcome, is_retried) in [
        (Outcome::Reset, false),
        (Outcome::Error, false),
        (Outcome::Unreachable, true),
    ] {
        let mut harness = SchedulerHarness::new(s.clone(), &[listed(1), listed(2)]);
        let (q, _) = harness.arrive(0, S, 1);
        let act = harness.end(q, 0, outcome, 10 * MS);
        assert_eq!(
            started_attempts(&act).len(),
            usize::from(is_retried),
            "{outcome:?}"
        );
        assert_eq!(failed(&act, q), !is_retried, "{outcome:?}");
    }
}

// Guards against a repeat of a query that must not run twice although its class is idempotent.
#[test]
fn query_that_runs_once_is_not_retried_or_rejected_after_a_run() {
    for (outcome, is_retried) in [
        (Outcome::Reset, false),
        (Outcome::Error, false),
        (Outcome::Unreachable, true),
    ] {
        let classes = settings(vec![class(9 * S, 1.0, 1.0)]);
        let mut harness = SchedulerHarness::new(classes, &[listed(1), listed(2)]);
        let query = Query {
            runs_once: true,
            ..harness.query(0, S, 1)
        };
        harness.event(Event::QueryArrived(query));
        let actions = harness.end(query.id, 0, outcome, 10 * MS);
        let retries = started_attempts(&actions).len();
        assert_eq!(retries, usize::from(is_retried), "{outcome:?}");
        assert_eq!(failed(&actions, query.id), !is_retried, "{outcome:?}");
    }
}

#[test]
fn query_that_errs_everywhere_is_sent_twice_without_ejection() {
    let mut harness = SchedulerHarness::new(
        settings(vec![class(9 * S, 1.0, 1.0)]),
        &[listed(1), listed(2)],
    );
    for _ in 0..6 {
        let (q, act) = harness.arrive(0, S, 1);
        let first = started_attempts(&act)[0].1;
        let retries = started_attempts(&harness.end(q, 0, Outcome::Error, MS));
        assert_eq!(retries, [(q.0, 3 - first)]);
        assert!(rejected(&harness.end(q, 1, Outcome::Error, MS), q));
    }
    // If the other engine serves what engine 1 answers with an error, engine 1 is at fault: two
    // errors in a row eject it.
    let mut errors = 0;
    for _ in 0..20 {
        let (q, act) = harness.arrive(0, S, 1);
        let is_error = started_attempts(&act)[0].1 == 1;
        errors += usize::from(is_error);
        if is_error {
            harness.end(q, 0, Outcome::Error, MS);
        }
        harness.end(q, u8::from(is_error), Outcome::Ok, S);
    }
    assert_eq!(errors, 2);
}

#[test]
fn tenant_over_quota_is_shed_before_others() {
    let tenants = vec![Tenant { quota_per_s: 100.0 }];
    let with = Settings {
        tenants,
        over_quota_weight: 0.05,
        ..settings(vec![class(9 * S, 1.0, 1.0)])
    };
    let mut harness = SchedulerHarness::new(with, &[listed(1)]);
    // Queries wait for memory, so every engine is under pressure.
    harness.report(1, &[5.0]);
    for _ in 0..20 {
        let q = Query {
            tenant: u32::MAX,
            ..harness.query(0, 10 * MS, 1)
        };
        assert!(rejected(&harness.event(Event::QueryArrived(q)), q.id));
    }
    let (q, act) = harness.arrive(0, 10 * MS, 1);
    assert!(!rejected(&act, q));
    // If no tenants are configured, no query is over quota.
    let mut harness = SchedulerHarness::new(settings(vec![class(9 * S, 1.0, 1.0)]), &[listed(1)]);
    harness.report(1, &[5.0]);
    let q = Query {
        tenant: u32::MAX,
        ..harness.query(0, 10 * MS, 1)
    };
    assert!(!rejected(&harness.event(Event::QueryArrived(q)), q.id));
}

#[test]
fn keyed_query_is_retried_only_while_engines_know_its_key() {
    let keyed = || QueryClass {
        idempotency: Idempotency::WithKey,
        deduplication_window: 5 * S,
        ..class(9 * S, 1.0, 1.0)
    };
    // Whether the query has an idempotency key, until when an earlier query with the key is
    // recognized, and whether a lost connection leads to a retry.
    for (has_key, idempotent_until, is_retried) in [
        (true, None, true),
        (false, None, false),
        (true, Some(100 * S + MS), false),
    ] {
        let mut harness = SchedulerHarness::new(settings(vec![keyed()]), &[listed(1), listed(2)]);
        let q = Query {
            has_idempotency_key: has_key,
            idempotent_until: None,
            ..harness.query(0, S, 1)
        };
        assert_eq!(
            started_attempts(&harness.event(Event::QueryArrived(q))).len(),
            1
        );
        harness.controller.handle(
            harness.now,
            Event::ProgressReported {
                query: q.id,
                attempt: 0,
                report: ProgressReport::Progress(0.1),
            },
            &mut Vec::new(),
        );
        let act = harness.end(q.id, 0, Outcome::Reset, MS);
        if idempotent_until.is_none() {
            assert_eq!(
                started_attempts(&act).len(),
                usize::from(is_retried),
                "{has_key}"
            );
            assert_eq!(act.contains(&Action::Fail(q.id)), !is_retried);
        }
        // A query whose key is no longer recognized is never sent, and is rejected.
        let late = Query {
            has_idempotency_key: has_key,
            idempotent_until,
            ..harness.query(0, S, 2)
        };
        if idempotent_until.is_some() {
            assert!(started_attempts(&harness.event(Event::QueryArrived(late))).is_empty());
            assert!(rejected(&harness.tick(50 * MS), late.id));
        }
    }
}

#[test]
fn failing_engine_recovers_by_a_run_of_answers_not_by_one() {
    let list: Vec<ListedEngine> = (1..=4).map(listed).collect();
    let mut harness = SchedulerHarness::new(settings(vec![class(9 * S, 1.0, 1.0)]), &list);
    let (mut seen, mut routed_while_failing, mut tables) = (0, 0, 0);
    let mut send_query = |harness: &mut SchedulerHarness, failing: bool| {
        tables += 1;
        let (q, act) = harness.arrive(0, 100 * MS, tables);
        let there = started_attempts(&act)[0].1 == 1;
        seen += usize::from(there);
        // Four of five queries fail immediately, so the engine looks idle.
        let is_error = failing && there && seen % 5 != 0;
        if is_error {
            harness.end(q, 0, Outcome::Error, MS);
        }
        harness.end(q, u8::from(is_error), Outcome::Ok, 100 * MS);
        harness.tick(50 * MS);
        there
    };
    for _ in 0..800 {
        routed_while_failing += usize::from(send_query(&mut harness, true));
    }
    assert!(
        routed_while_failing * 40 < 800,
        "{routed_while_failing} of 800 went to the failing engine"
    );
    let routed_after_recovery = (0..800).filter(|_| send_query(&mut harness, false)).count();
    assert!(
        routed_after_recovery * 8 > 800,
        "{routed_after_recovery} of 800 went to the engine after its recovery"
    );
}

#[test]
fn connection_reset_ejects_the_engine_until_a_probe_answers() {
    let mut s = settings(vec![class(9 * S, 1.0, 1.0)]);
    (s.may_probe, s.coordinators) = (true, 2);
    s.slow_start = Some(SlowStart {
        initial_share: 0.3,
        warm_up_time: 10 * S,
        overload_multiple: 0.1,
        window: 2 * S,
    });
    let mut harness = SchedulerHarness::new(s, &[listed(1)]);
    let all: Vec<QueryId> = (0..4).map(|_| harness.arrive(0, 100 * MS, 1).0).collect();
    // All attempts on the connection end at once: this counts as one failure and causes one probe.
    let mut act = Vec::new();
    for q in &all {
        act.extend(harness.event(Event::AttemptEnded(AttemptEnded {
            query: *q,
            attempt: 0,
            outcome: Outcome::Reset,
            query_answered: true,
            elapsed: MS,
            work: None,
            memory_mb: None,
            report: &[],
        })));
    }
    assert_eq!(
        act.iter()
            .filter(|a| **a == Action::Probe(EngineId(1)))
            .count(),
        1,
        "{act:?}"
    );
    harness.report(1, &[0.0]);
    // The engine answers the probe, so it was never down. It is neither on probation nor warming
    // up; in both states it would accept almost no queries.
    let started: usize = (0..4)
        .map(|_| started_attempts(&harness.arrive(0, 100 * MS, 1).1).len())
        .sum();
    assert_eq!(started, 4);
}

#[test]
fn keyed_query_is_retried_only_in_its_scope_and_window() {
    let mut s = settings(vec![class(40 * S, 1.0, 1.0)]);
    s.classes[0].idempotency = Idempotency::WithKey;
    s.classes[0].deduplication_scope = DeduplicationScope::Cell;
    let list = [
        listed(1),
        ListedEngine {
            cell: 1,
            ..listed(2)
        },
        listed(3),
    ];
    for seed in 0..6u64 {
        let mut harness = SchedulerHarness::new(s.clone(), &list);
        harness.controller = driftfront_scheduler::Controller::new(s.clone(), seed);
        harness.event(Event::EnginesListed {
            kind: ListKind::Cached,
            engines: &list,
        });
        let (q, act) = harness.arrive(0, S, 1);
        let first = started_attempts(&act)[0].1;
        let retries = started_attempts(&harness.end(q, 0, Outcome::Reset, S));
        assert!(
            retries.iter().all(|s| (s.1 == 2) == (first == 2)),
            "{first} then {retries:?}"
        );
        // After the window a retry and a rejection are both forbidden.
        harness.now += 6 * S;
        let n = retries.len() as u8;
        let act = harness.end(q, n, Outcome::Reset, 6 * S);
        assert!(
            started_attempts(&act).is_empty() && failed(&act, q),
            "{act:?}"
        );
    }
}

#[test]
fn draining_engine_gets_nothing_and_its_queue_moves() {
    let mut harness = SchedulerHarness::new(settings(vec![class(60 * S, 1.0, 4.0)]), &[listed(1)]);
    harness.report(1, &[5.0]);
    for _ in 0..4 {
        harness.arrive(0, 4 * S, 1);
    }
    let act = harness.event(Event::EnginesListed {
        kind: ListKind::Changes,
        engines: &[
            ListedEngine {
                phase: Phase::Draining,
                ..listed(1)
            },
            listed(2),
        ],
    });
    assert!(
        !started_attempts(&act).is_empty() && started_attempts(&act).iter().all(|s| s.1 == 2),
        "{act:?}"
    );
}

#[test]
fn engine_in_slow_start_gets_no_more_than_its_part() {
    let mut s = settings(vec![class(60 * S, 1.0, 1.0)]);
    s.coordinators = 2;
    s.slow_start = Some(SlowStart {
        initial_share: 0.5,
        warm_up_time: 10 * S,
        overload_multiple: 2.0,
        window: 2 * S,
    });
    let mut harness = SchedulerHarness::new(s, &[listed(1)]);
    for n in 1..=6 {
        harness.arrive(0, 100 * MS, 1);
        harness.end(QueryId(n), 0, Outcome::Ok, 100 * MS);
    }
    let now = harness.now;
    harness.event(Event::EnginesListed {
        kind: ListKind::Changes,
        engines: &[ListedEngine {
            started_at: Some(now),
            ..listed(1)
        }],
    });
    // Half of two cores at 85%, times 2, for 2 s, divided by 2 coordinators: 1.7 s of work, in
    // queries of 0.1 s.
    let mut sent = 0;
    for _ in 0..60 {
        let (q, act) = harness.arrive(0, 100 * MS, 1);
        for s in started_attempts(&act) {
            sent += 1;
            harness.end(QueryId(s.0), 0, Outcome::Ok, 10 * MS);
        }
        let _ = q;
        harness.now += 20 * MS;
    }
    assert!((5..=17).contains(&sent), "{sent}");
}

#[test]
fn queries_of_a_key_run_in_order_and_rest_after_unknown_outcome() {
    let mut s = settings(vec![class(60 * S, 1.0, 1.0)]);
    s.classes[0].in_order = true;
    s.classes[0].idempotency = Idempotency::NotIdempotent;
    s.settle_time = S;
    let mut harness = SchedulerHarness::new(s, &[listed(1), listed(2)]);
    let keyed = |harness: &mut SchedulerHarness| {
        let q = Query {
            ordering_key: Some(4),
            ..harness.query(0, S, 1)
        };
        (q.id, harness.event(Event::QueryArrived(q)))
    };
    let (a, act) = keyed(&mut harness);
    assert_eq!(started_attempts(&act).len(), 1);
    let (b, act) = keyed(&mut harness);
    assert!(act.is_empty());
    let act = harness.end(a, 0, Outcome::Reset, S);
    assert!(failed(&act, a) && started_attempts(&act).is_empty());
    assert!(
        started_attempts(&harness.tick(900 * MS)).is_empty(),
        "the key is held"
    );
    let act = harness.tick(300 * MS);
    assert_eq!(
        started_attempts(&act)
            .iter()
            .map(|s| s.0)
            .collect::<Vec<_>>(),
        [b.0]
    );
}

#[test]
fn placement_holds_when_the_only_engine_is_down() {
    let mut s = settings(vec![class(60 * S, 1.0, 1.0)]);
    s.classes[0].kinds = Some(vec![1]);
    let mut harness = SchedulerHarness::new(
        s,
        &[
            listed(1),
            ListedEngine {
                kind: 1,
                ..listed(2)
            },
        ],
    );
    let (q, act) = harness.arrive(0, S, 1);
    assert_eq!(started_attempts(&act), [(q.0, 2)]);
    let act = harness.end(q, 0, Outcome::Unreachable, 250 * MS);
    assert!(started_attempts(&act).iter().all(|s| s.1 == 2));
}

#[test]
fn retries_stay_within_the_budget() {
    let mut s = settings(vec![class(60 * S, 1.0, 1.0)]);
    s.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        ratio: 0.0,
        window: 10 * S,
    });
    let mut harness = SchedulerHarness::new(s, &[listed(1), listed(2)]);
    let further: usize = (0..5)
        .map(|_| {
            let (q, _) = harness.arrive(0, S, 1);
            started_attempts(&harness.end(q, 0, Outcome::Unreachable, MS)).len()
        })
        .sum();
    assert_eq!(further, 2);
}

#[test]
fn requests_are_forgotten_after_the_budget_window() {
    let mut s = settings(vec![class(9 * S, 1.0, 1.0)]);
    s.retry_budget = Some(RetryBudget {
        min_retries: 5.0,
        ratio: 0.1,
        window: 10 * S,
    });
    let mut harness = SchedulerHarness::new(s, &[listed(1)]);
    for _ in 0..500 {
        let (q, _) = harness.arrive(0, 10 * MS, 1);
        harness.end(q, 0, Outcome::Ok, 10 * MS);
        harness.now += 100 * MS;
    }
    let usage = harness
        .controller
        .retry_budget_usage(harness.now)
        .expect("a budget");
    assert_eq!(
        (usage.times_held, harness.controller.open_queries()),
        (100, 0)
    );
}

#[test]
fn discovery_is_polled_again_after_a_failure() {
    let mut s = settings(vec![class(S, 1.0, 1.0)]);
    (s.poll_discovery, s.poll_timeout) = (true, Some(10 * S));
    let mut c = driftfront_scheduler::Controller::new(s, 1);
    let mut act = Vec::new();
    c.handle(
        0,
        Event::EnginesListed {
            kind: ListKind::Cached,
            engines: &[],
        },
        &mut act,
    );
    assert!(act.contains(&Action::WatchEngines));
    act.clear();
    c.handle(S, Event::DiscoveryFailed, &mut act);
    assert!(act.is_empty(), "no immediate retry");
    c.handle(2 * S, Event::TimerFired(0), &mut act);
    assert!(act.contains(&Action::WatchEngines));
}

#[test]
fn stream_is_neither_cancelled_nor_ended_by_the_deadline() {
    let mut harness =
        SchedulerHarness::new(settings(vec![class(S, 1.0, 1.0)]), &[listed(1), listed(2)]);
    let (q, _) = harness.arrive(0, 100 * MS, 1);
    harness.event(Event::StreamStarted {
        query: q,
        attempt: 0,
    });
    let mut act = harness.tick(70 * S);
    act.extend(harness.event(Event::TimerFired(q.0 + 1)));
    assert!(act.is_empty(), "{act:?}");
}

/// Random legal events, with every resulting action checked against the rules.
struct RandomRun {
    harness: SchedulerHarness,
    seed: u64,
    phase: BTreeMap<u64, Phase>,
    open: BTreeMap<QueryId, (Query, u64)>,
    attempts: BTreeMap<QueryId, Vec<(u64, Option<Outcome>)>>,
    timers: BTreeSet<(u64, u64)>,
    answered: BTreeSet<QueryId>,
    served: usize,
}

impl RandomRun {
    fn random(&mut self, n: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.seed >> 33) % n
    }

    fn event(&mut self, e: Event) {
        let mut act = Vec::new();
        self.harness
            .controller
            .handle(self.harness.now, e, &mut act);
        for a in act {
            match a {
                Action::SetTimer { after, token } => {
                    self.timers.insert((self.harness.now + after, token));
                }
                Action::StartAttempt {
                    query: q,
                    engine: e,
                    timeout,
                } => self.check_start(q, e.0, timeout),
                Action::Reject { query: q, .. } => {
                    let class = self.answer(q);
                    let never_ran = self.attempts[&q]
                        .iter()
                        .all(|t| t.1.is_some_and(Outcome::never_ran));
                    assert!(
                        class == 0 || never_ran,
                        "a non-idempotent query that may have run was rejected"
                    );
                }
                Action::Fail(q) => {
                    self.answer(q);
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, q: QueryId) -> u16 {
        assert!(self.answered.insert(q), "answered twice");
        let (query, deadline) = self.open.remove(&q).expect("an answer for an open query");
        assert!(self.harness.now <= deadline, "answered after the deadline");
        query.class
    }

    fn check_start(&mut self, q: QueryId, e: u64, timeout: u64) {
        let (query, deadline) = self.open.get(&q).expect("a send for an open query");
        assert!(timeout > 0 && self.harness.now + timeout <= *deadline);
        assert_eq!(
            self.phase[&e],
            Phase::Ready,
            "sent to an engine that is not ready"
        );
        let attempts = &self.attempts[&q];
        assert!(
            attempts.iter().all(|t| t.1.is_some()),
            "two attempts at once"
        );
        assert!(attempts.len() < 3, "too many attempts");
        if query.class == 1 {
            assert!(e % 2 == 0, "placed on a forbidden machine kind");
            assert!(
                attempts.iter().all(|t| t.1.is_some_and(Outcome::never_ran)),
                "a non-idempotent query may run twice"
            );
            for (o, (other, _)) in &self.open {
                let earlier =
                    *o < q && other.class == 1 && other.ordering_key == query.ordering_key;
                assert!(!earlier, "ordering key violated");
            }
        }
        self.attempts.get_mut(&q).expect("known").push((e, None));
    }

    fn step(&mut self) {
        let until = self.harness.now + 5 * MS;
        while let Some(&(at, token)) = self.timers.first().filter(|w| w.0 <= until) {
            self.timers.remove(&(at, token));
            self.harness.now = self.harness.now.max(at);
            self.event(Event::TimerFired(token));
        }
        self.harness.now = until;
        match self.random(12) {
            0..=3 => self.arrive(),
            4..=9 => self.end_attempt(),
            10 if self.random(12) == 0 => self.change_list(),
            _ => self.client_leaves(),
        }
    }

    fn arrive(&mut self) {
        let class = self.random(2) as u16;
        let work = 10 * MS + self.random(400) * MS;
        let budget = 20 * MS + self.random(3000) * MS;
        let key = Some(1 + self.random(3)).filter(|_| class == 1);
        let q = Query {
            client_timeout: budget,
            ordering_key: key,
            ..self.harness.query(class, work, work as u32 % 5)
        };
        self.open.insert(q.id, (q, self.harness.now + budget));
        self.attempts.insert(q.id, Vec::new());
        self.event(Event::QueryArrived(q));
    }

    /// Ends one of the attempts in flight.
    fn end_attempt(&mut self) {
        let out: Vec<(QueryId, u8)> = self
            .attempts
            .iter()
            .flat_map(|(q, t)| {
                t.iter()
                    .enumerate()
                    .filter(|t| t.1 .1.is_none())
                    .map(|t| (*q, t.0 as u8))
            })
            .collect();
        if out.is_empty() {
            return;
        }
        let (q, n) = out[self.random(out.len() as u64) as usize];
        let outcome = match self.random(10) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::Unreachable,
            3 => Outcome::Reset,
            4 => Outcome::TimedOut,
            _ => Outcome::Ok,
        };
        self.attempts.get_mut(&q).expect("known")[usize::from(n)].1 = Some(outcome);
        let mut last = self.answered.contains(&q);
        if outcome == Outcome::Ok && !last {
            last = true;
            self.answered.insert(q);
            self.open.remove(&q);
            self.served += 1;
        }
        let spent = 10 * MS + self.random(300) * MS;
        let (work, memory_mb) = (None, None);
        let report = [f64::NAN, self.random(9) as f64];
        let report = &report[self.random(2) as usize..];
        let end = AttemptEnded {
            query: q,
            attempt: n,
            outcome,
            query_answered: last,
            elapsed: spent,
            work,
            memory_mb,
            report,
        };
        self.event(Event::AttemptEnded(end));
    }

    fn change_list(&mut self) {
        let e = 1 + self.random(6);
        let phase =
            [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone][self.random(4) as usize];
        let started_at = Some(self.harness.now).filter(|_| phase == Phase::Ready);
        self.phase.insert(e, phase);
        let line = ListedEngine {
            phase,
            started_at,
            ..listed(e)
        };
        let line = ListedEngine {
            kind: (e % 2) as u16,
            ..line
        };
        self.event(Event::EnginesListed {
            kind: ListKind::Changes,
            engines: &[line],
        });
    }

    fn client_leaves(&mut self) {
        let open: Vec<QueryId> = self.open.keys().copied().collect();
        let unknown = QueryId(1 << 40);
        self.event(Event::ClientLeft(unknown));
        if self.random(8) == 0 && !open.is_empty() {
            let q = open[self.random(open.len() as u64) as usize];
            self.open.remove(&q);
            self.answered.insert(q);
            self.event(Event::ClientLeft(q));
        }
    }
}

fn random_run(seed: u64) -> RandomRun {
    let mut s = settings(vec![class(800 * MS, 1.0, 1.0), class(900 * MS, 4.0, 2.0)]);
    s.classes[1].idempotency = Idempotency::NotIdempotent;
    s.classes[1].in_order = true;
    s.classes[1].kinds = Some(vec![0]);
    s.max_attempts = Some(3);
    s.slow_start = Some(SlowStart {
        initial_share: 0.3,
        warm_up_time: 5 * S,
        overload_multiple: 2.0,
        window: S,
    });
    let list: Vec<ListedEngine> = (1..=6)
        .map(|e| ListedEngine {
            kind: (e % 2) as u16,
            ..listed(e)
        })
        .collect();
    let mut w = RandomRun {
        harness: SchedulerHarness::new(s.clone(), &[]),
        seed,
        phase: (1..=6).map(|e| (e, Phase::Ready)).collect(),
        open: BTreeMap::new(),
        attempts: BTreeMap::new(),
        timers: BTreeSet::new(),
        answered: BTreeSet::new(),
        served: 0,
    };
    w.harness.controller = driftfront_scheduler::Controller::new(s, seed);
    w.event(Event::EnginesListed {
        kind: ListKind::Cached,
        engines: &list,
    });
    w
}

#[test]
fn random_legal_events_never_break_a_rule() {
    for seed in 1..=40 {
        let mut w = random_run(seed);
        for _ in 0..3000 {
            w.step();
        }
        assert!(w.served > 50, "{} served", w.served);
        // No more arrivals: every open query must be answered by its deadline.
        let last = w.open.values().map(|o| o.1).max().unwrap_or(0);
        while let Some(&(at, token)) = w.timers.first().filter(|x| x.0 <= last) {
            w.timers.remove(&(at, token));
            w.harness.now = w.harness.now.max(at);
            w.event(Event::TimerFired(token));
        }
        assert!(w.open.is_empty(), "unanswered: {:?}", w.open.keys());
    }
}

#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut w = random_run(5);
        for _ in 0..2000 {
            w.step();
        }
        (w.attempts, w.answered)
    };
    assert_eq!(run(), run());
}
